"""The real disk: a folder, a thread for blocking work, and a lock so that no two processes write to one store."""

import asyncio
import fcntl
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from wellhitch.store.engine import Engine, StoreError, as_store_error


class SystemDisk:
    """Stores in a folder. Blocking work runs on one thread, in order; long reads on another."""

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: Path) -> None:
        self._loop, self._folder = loop, folder
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._reader_thread = ThreadPoolExecutor(1, thread_name_prefix="disk-aside")
        self._locks: dict[str, int] = {}

    def open(self, name: str) -> Engine:
        """See `Disk`. The kernel releases the lock with the process, however the process ends."""
        path = self._folder / name
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            if name not in self._locks:
                lock = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                except OSError:
                    os.close(lock)
                    raise StoreError("in_use", f"{path}: in use by another process") from None
                self._locks[name] = lock
        except OSError as error:
            raise StoreError("read_only", f"{path}: {error.strerror}") from None
        return Engine(str(path))

    def run(self, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """See `Disk`."""
        self._submit(self._thread, work, done)

    def read_concurrently(
        self, engine: Engine, work: Callable[[Engine], Any], done: Callable[[Any], None]
    ) -> None:
        """See `Disk`."""

        def read() -> Any:
            reader = Engine(engine.name, read_only=True)
            try:
                return work(reader)
            finally:
                reader.close()

        self._submit(self._reader_thread, read, done)

    def _submit(
        self, thread: ThreadPoolExecutor, work: Callable[[], Any], done: Callable[[Any], None]
    ) -> None:
        def guarded() -> None:
            result: Any
            try:
                result = work()
            except Exception as error:
                result = as_store_error(error)
            if not self._loop.is_closed():
                self._loop.call_soon_threadsafe(done, result)

        thread.submit(guarded)

    def close(self) -> None:
        """Wait for the work that was requested, then release the locks."""
        self._reader_thread.shutdown(cancel_futures=True)
        self._thread.shutdown()
        for lock in self._locks.values():
            os.close(lock)
        self._locks.clear()
