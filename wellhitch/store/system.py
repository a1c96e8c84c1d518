"""The real disk: a folder, one thread for what blocks, and a lock so that no two processes write one store."""

import asyncio
import fcntl
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from wellhitch.store.engine import Engine, StoreError, as_store_error


class SystemDisk:
    """Stores in a folder. The thread decides nothing: it does what blocks, one piece after the other."""

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: Path) -> None:
        self._loop, self._folder = loop, folder
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._aside = ThreadPoolExecutor(1, thread_name_prefix="disk-aside")
        self._locks: dict[str, int] = {}

    def open(self, name: str) -> Engine:
        """As `Disk`. The lock is the kernel's and goes with the process, however that ends."""
        path = self._folder / name
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            if name not in self._locks:
                held = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
                try:
                    fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
                except OSError:
                    os.close(held)
                    raise StoreError("in_use", f"{path}: another process has it") from None
                self._locks[name] = held
        except OSError as fault:
            raise StoreError("read_only", f"{path}: {fault.strerror}") from None
        return Engine(str(path))

    def run(self, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """As `Disk`."""
        self._on(self._thread, work, done)

    def read_concurrently(
        self, engine: Engine, work: Callable[[Engine], Any], done: Callable[[Any], None]
    ) -> None:
        """As `Disk`."""

        def read() -> Any:
            other = Engine(engine.name, read_only=True)
            try:
                return work(other)
            finally:
                other.close()

        self._on(self._aside, read, done)

    def _on(self, thread: ThreadPoolExecutor, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        def guarded() -> None:
            found: Any
            try:
                found = work()
            except Exception as fault:
                found = as_store_error(fault)
            if not self._loop.is_closed():
                self._loop.call_soon_threadsafe(done, found)

        thread.submit(guarded)

    def close(self) -> None:
        """Wait for what was asked, then let the locks go."""
        self._aside.shutdown(cancel_futures=True)
        self._thread.shutdown()
        for held in self._locks.values():
            os.close(held)
        self._locks.clear()
