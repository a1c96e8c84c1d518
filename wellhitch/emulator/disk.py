"""An in-memory disk whose power can be cut at any write or sync. Unsynced writes are then kept, lost, torn or
reordered, sector by sector. The store's engine runs on it through a SQLite VFS, as on a real disk."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import apsw

from wellhitch.store.engine import Engine, StoreError, as_store_error

SECTOR = 512  # bytes a disk writes at once at best: the smallest unit of a torn write


class PowerCut(Exception):
    """The power was cut: this emulated process reads and writes nothing more."""


@dataclass(slots=True)
class EmulatedFile:
    """One file: its durable content, the content the program sees, and the unsynced writes between the two."""

    synced: bytes = b""
    content: bytearray = field(default_factory=bytearray)
    # (offset, bytes), or (size, None) for a truncation
    unsynced: list[tuple[int, bytes | None]] = field(default_factory=list)

    def write(self, offset: int, data: bytes) -> None:
        """Write without syncing."""
        _put(self.content, offset, data)
        self.unsynced.append((offset, data))

    def truncate(self, size: int) -> None:
        """Truncate without syncing."""
        del self.content[size:]
        self.unsynced.append((size, None))

    def sync(self) -> None:
        """Make all writes durable."""
        self.synced = bytes(self.content)
        self.unsynced.clear()

    def after_power_cut(self, rng: random.Random, keep: float) -> bytes:
        """The content after a power cut: of each write since the last sync, each sector is kept with probability
        `keep`, otherwise lost, and sometimes torn in the middle, regardless of the order of the writes."""
        result = bytearray(self.synced)
        for offset, data in self.unsynced:
            if data is None:
                if rng.random() < keep:
                    del result[offset:]
                continue
            for start in range(offset - offset % SECTOR, offset + len(data), SECTOR):
                low, high = max(start, offset), min(start + SECTOR, offset + len(data))
                draw = rng.random()
                if draw < keep * 0.9:
                    _put(result, low, data[low - offset : high - offset])
                elif draw < keep:
                    _put(result, low, data[low - offset : rng.randrange(low, high) - offset])
        return bytes(result)


def _put(into: bytearray, offset: int, data: bytes) -> None:
    if not data:
        return
    if len(into) < offset:
        into.extend(bytes(offset - len(into)))
    into[offset : offset + len(data)] = data


_NAMES = count()


class EmulatedDisk:
    """One machine's disk. `power_cut_at`: the index of the write or sync at which the power is cut, counted from 0 in
    each process. Faults: `full`, `read_only`, and a raised `operation_us`."""

    def __init__(self, seed: int = 0, loop: asyncio.AbstractEventLoop | None = None) -> None:
        self.rng = random.Random(seed)
        self.loop = loop
        self.files: dict[str, EmulatedFile] = {}
        self.operations = 0
        self.power_cut_at: int | None = None
        self.dead = False
        self.full = self.read_only = False
        self.operation_us = 200  # virtual time of one operation: a commit on a fast disk
        self.locked: set[str] = set()
        self._free_at = 0
        self._vfs = _Vfs(self, f"emulated-{next(_NAMES)}")

    # -- the interface `Disk` --

    def open(self, name: str) -> Engine:
        """As `Disk`."""
        if name in self.locked:
            raise StoreError("in_use", f"{name}: in use by another process")
        engine = Engine(name, self._vfs.vfs_name, exclusive=True)
        self.locked.add(name)
        return engine

    def run(self, operation: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """As `Disk`: runs at once and reports after the operation time, queued behind earlier operations."""
        outcome: Any
        if self.dead:
            return
        try:
            outcome = operation()
        except PowerCut:
            return  # the process died with the power
        except Exception as error:
            outcome = as_store_error(error)
        if self.dead:
            return  # the power was cut in a call whose failure SQLite ignores
        if self.loop is None:
            done(outcome)
            return
        now = round(self.loop.time() * 1e6)
        self._free_at = max(self._free_at, now) + self.operation_us
        self.loop.call_later((self._free_at - now) / 1e6, done, outcome)

    def read_concurrently(
        self, engine: Engine, operation: Callable[[Engine], Any], done: Callable[[Any], None]
    ) -> None:
        """As `Disk`."""
        self.run(lambda: operation(engine), done)

    # -- power cuts and kills --

    def begin_operation(self) -> bool:
        """Count a write or sync; returns whether it has any effect. Raises PowerCut once, when the power is cut; later
        operations have no effect. Where SQLite ignores the exception, only `dead` shows the power cut."""
        if self.dead:
            return False
        if self.operations == self.power_cut_at:
            self.dead = True
            raise PowerCut
        self.operations += 1
        return True

    def after_power_cut(self, seed: int, keep: float) -> "EmulatedDisk":
        """The disk as the next process finds it."""
        result = EmulatedDisk(seed, self.loop)
        rng = random.Random(seed)
        for name in sorted(self.files):
            content = self.files[name].after_power_cut(rng, keep)
            result.files[name] = EmulatedFile(content, bytearray(content))
        return result

    def after_kill(self) -> "EmulatedDisk":
        """The disk after only the process was killed: the operating system still writes everything out."""
        result = EmulatedDisk(self.rng.randrange(1 << 30), self.loop)
        result.files = {
            name: EmulatedFile(bytes(file.content), bytearray(file.content))
            for name, file in self.files.items()
        }
        return result


class _Vfs(apsw.VFS):
    def __init__(self, disk: EmulatedDisk, name: str) -> None:
        self.disk, self.vfs_name = disk, name
        super().__init__(name, "")

    def xOpen(self, name: Any, flags: list[int]) -> Any:  # noqa: N802 - the VFS method's name
        text = (
            name
            if isinstance(name, str)
            else name.filename()
            if name
            else f"temporary-{len(self.disk.files)}"
        )
        if text not in self.disk.files:
            if not flags[0] & apsw.SQLITE_OPEN_CREATE:
                raise apsw.CantOpenError(text)
            self.disk.files[text] = EmulatedFile()
        flags[1] = flags[0]
        return _File(self.disk, self.disk.files[text])

    def xDelete(self, name: str, sync_dir: bool) -> None:  # noqa: N802
        if self.disk.begin_operation():
            self.disk.files.pop(name, None)

    def xAccess(self, name: str, flags: int) -> bool:  # noqa: N802
        return name in self.disk.files

    def xFullPathname(self, name: str) -> str:  # noqa: N802
        return name

    def xRandomness(self, size: int) -> bytes:  # noqa: N802
        return self.disk.rng.randbytes(size)

    def xSleep(self, us: int) -> int:  # noqa: N802
        return us

    def xCurrentTime(self) -> float:  # noqa: N802
        return 2461000.5

    def xCurrentTimeInt64(self) -> int:  # noqa: N802
        return 0


class _File:
    def __init__(self, disk: EmulatedDisk, file: EmulatedFile) -> None:
        self.disk, self.file = disk, file

    def xRead(self, size: int, offset: int) -> bytes:  # noqa: N802
        return bytes(self.file.content[offset : offset + size])

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        if self.disk.read_only:
            raise apsw.ReadOnlyError("read-only disk")
        if self.disk.full and offset + len(data) > len(self.file.content):
            raise apsw.FullError("disk full")
        try:
            if not self.disk.begin_operation():
                return
        except PowerCut:
            # The write during which the power was cut may be durable in whole, in part or not at all.
            self.file.unsynced.append((offset, bytes(data)))
            raise
        self.file.write(offset, bytes(data))

    def xTruncate(self, size: int) -> None:  # noqa: N802
        if self.disk.begin_operation():
            self.file.truncate(size)

    def xSync(self, flags: int) -> bool:  # noqa: N802
        if self.disk.begin_operation():
            self.file.sync()
        return True

    def xFileSize(self) -> int:  # noqa: N802
        return len(self.file.content)

    def xLock(self, level: int) -> None:  # noqa: N802
        pass

    def xUnlock(self, level: int) -> None:  # noqa: N802
        pass

    def xCheckReservedLock(self) -> bool:  # noqa: N802
        return False

    def xFileControl(self, op: int, pointer: int) -> bool:  # noqa: N802
        return False

    def xSectorSize(self) -> int:  # noqa: N802
        return SECTOR

    def xDeviceCharacteristics(self) -> int:  # noqa: N802
        return 0

    def xClose(self) -> None:  # noqa: N802
        pass
