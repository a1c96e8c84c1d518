"""A disk in memory whose power can be cut at any write or sync, and that keeps, loses, tears and reorders what was not
synced, sector by sector. The store's engine runs on it as on the real one, through SQLite's own file seam (a VFS)."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import apsw

from wellhitch.store.engine import Engine, StoreError, as_store_error

SECTOR = 512  # bytes that a disk writes at once, at best: the least that can be torn off


class PowerCut(Exception):
    """The power is gone: nothing more is read or written in this life."""


@dataclass(slots=True)
class EmulatedFile:
    """One file: what is surely on the platter, what the program sees, and the writes between the two."""

    durable: bytes = b""
    now: bytearray = field(default_factory=bytearray)
    pending: list[tuple[int, bytes | None]] = field(
        default_factory=list
    )  # (at, bytes), or (size, None): truncated

    def write(self, at: int, data: bytes) -> None:
        """Write, not synced."""
        _put(self.now, at, data)
        self.pending.append((at, data))

    def truncate(self, size: int) -> None:
        """Cut off, not synced."""
        del self.now[size:]
        self.pending.append((size, None))

    def sync(self) -> None:
        """All is on the platter."""
        self.durable = bytes(self.now)
        self.pending.clear()

    def survivor(self, chance: random.Random, keep: float) -> bytes:
        """What is there after a power cut: of each write since the last sync, each sector is kept with the
        probability `keep`, else lost, and now and then torn in the middle; whatever the order they were written in."""
        out = bytearray(self.durable)
        for at, data in self.pending:
            if data is None:
                if chance.random() < keep:
                    del out[at:]
                continue
            for start in range(at - at % SECTOR, at + len(data), SECTOR):
                low, high = max(start, at), min(start + SECTOR, at + len(data))
                drawn = chance.random()
                if drawn < keep * 0.9:
                    _put(out, low, data[low - at : high - at])
                elif drawn < keep:
                    _put(out, low, data[low - at : chance.randrange(low, high) - at])
        return bytes(out)


def _put(into: bytearray, at: int, data: bytes) -> None:
    if not data:
        return
    if len(into) < at:
        into.extend(bytes(at - len(into)))
    into[at : at + len(data)] = data


_NAMES = count()


class EmulatedDisk:
    """One machine's disk. `cut_at`: the number of the write or sync at which the power goes, counted from 0 in each
    life. `ills` as troubles set them: `full`, `read_only`, `slow_us`."""

    def __init__(self, seed: int = 0, loop: asyncio.AbstractEventLoop | None = None) -> None:
        self.chance = random.Random(seed)
        self.loop = loop
        self.files: dict[str, EmulatedFile] = {}
        self.ops = 0
        self.cut_at: int | None = None
        self.dead = False
        self.full = self.read_only = False
        self.took_us = 200  # of one piece of work, in virtual time: a commit on a fast disk
        self.locked: set[str] = set()
        self._free_at = 0
        self._vfs = _Vfs(self, f"emulated-{next(_NAMES)}")

    # -- the seam --

    def open(self, name: str) -> Engine:
        """As `Disk`."""
        if name in self.locked:
            raise StoreError("in_use", f"{name}: in use by another process")
        engine = Engine(name, self._vfs.vfs_name, exclusive=True)
        self.locked.add(name)
        return engine

    def run(self, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """As `Disk`: done at once, told after the time it takes, behind what was asked before."""
        found: Any
        if self.dead:
            return
        try:
            found = work()
        except PowerCut:
            return  # nobody is left to be told
        except Exception as fault:
            found = as_store_error(fault)
        if self.dead:
            return  # the power went where the database looks past a failure
        if self.loop is None:
            done(found)
            return
        now = round(self.loop.time() * 1e6)
        self._free_at = max(self._free_at, now) + self.took_us
        self.loop.call_later((self._free_at - now) / 1e6, done, found)

    def read_concurrently(
        self, engine: Engine, work: Callable[[Engine], Any], done: Callable[[Any], None]
    ) -> None:
        """As `Disk`."""
        self.run(lambda: work(engine), done)

    # -- life and death --

    def op(self) -> bool:
        """One write or sync is about to happen; whether it has any effect. Raises PowerCut once, where the power goes:
        what the dying program still does has no effect. Where the database looks past a failure only `dead` tells."""
        if self.dead:
            return False
        if self.ops == self.cut_at:
            self.dead = True
            raise PowerCut
        self.ops += 1
        return True

    def after_power_cut(self, seed: int, keep: float) -> "EmulatedDisk":
        """The disk as the next life finds it."""
        out = EmulatedDisk(seed, self.loop)
        chance = random.Random(seed)
        for name in sorted(self.files):
            kept = self.files[name].survivor(chance, keep)
            out.files[name] = EmulatedFile(kept, bytearray(kept))
        return out

    def after_kill(self) -> "EmulatedDisk":
        """The disk as the next process finds it where only the process died: the system still writes all out."""
        out = EmulatedDisk(self.chance.randrange(1 << 30), self.loop)
        out.files = {
            name: EmulatedFile(bytes(one.now), bytearray(one.now)) for name, one in self.files.items()
        }
        return out


class _Vfs(apsw.VFS):
    def __init__(self, disk: EmulatedDisk, name: str) -> None:
        self.disk, self.vfs_name = disk, name
        super().__init__(name, "")

    def xOpen(self, name: Any, flags: list[int]) -> Any:  # noqa: N802 - SQLite's name
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
        if self.disk.op():
            self.disk.files.pop(name, None)

    def xAccess(self, name: str, flags: int) -> bool:  # noqa: N802
        return name in self.disk.files

    def xFullPathname(self, name: str) -> str:  # noqa: N802
        return name

    def xRandomness(self, size: int) -> bytes:  # noqa: N802
        return self.disk.chance.randbytes(size)

    def xSleep(self, us: int) -> int:  # noqa: N802
        return us

    def xCurrentTime(self) -> float:  # noqa: N802
        return 2461000.5

    def xCurrentTimeInt64(self) -> int:  # noqa: N802
        return 0


class _File:
    def __init__(self, disk: EmulatedDisk, blob: EmulatedFile) -> None:
        self.disk, self.blob = disk, blob

    def xRead(self, size: int, at: int) -> bytes:  # noqa: N802
        return bytes(self.blob.now[at : at + size])

    def xWrite(self, data: bytes, at: int) -> None:  # noqa: N802
        if self.disk.read_only:
            raise apsw.ReadOnlyError("read-only disk")
        if self.disk.full and at + len(data) > len(self.blob.now):
            raise apsw.FullError("disk full")
        try:
            if not self.disk.op():
                return
        except PowerCut:
            # The write that the power went in may be on the platter, in part or not at all.
            self.blob.pending.append((at, bytes(data)))
            raise
        self.blob.write(at, bytes(data))

    def xTruncate(self, size: int) -> None:  # noqa: N802
        if self.disk.op():
            self.blob.truncate(size)

    def xSync(self, flags: int) -> bool:  # noqa: N802
        if self.disk.op():
            self.blob.sync()
        return True

    def xFileSize(self) -> int:  # noqa: N802
        return len(self.blob.now)

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
