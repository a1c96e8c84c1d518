"""Two folders through which files go to the accounting side and receipts come back. Files appear whole: they are
written beside, synced and renamed. Runs on the disk's thread."""

import contextlib
import os
from pathlib import Path
from typing import Protocol

from wellhitch.store.files import read_file

MAX_RETURNED_FILE_BYTES = (
    16 << 20
)  # bytes of what comes back: a receipt has some 80, a file that is given back some 2 MB

MAX_RECEIPTS_PER_READ = 32  # bounds memory when the folder is full; more wait for the next read


class Outbox(Protocol):
    """The way to the accounting side. Calls may block."""

    def put(self, sequence: int, data: bytes) -> None:
        """Hand a file over. Raises OSError."""

    def take_receipts(self) -> list[bytes]:
        """Receipts that lie there, and files given back, in order; and take them away. Raises OSError."""


class FolderOutbox:
    """`out/INSTANCE-SEQUENCE.wh` to the accounting side, `back/INSTANCE-*.wr` from it, in a folder that both reach."""

    def __init__(self, folder: Path, instance: int) -> None:
        self._folder, self._instance = folder, instance

    def put(self, sequence: int, data: bytes) -> None:
        """As `Box`."""
        out = self._folder / "out"
        out.mkdir(parents=True, exist_ok=True)
        write_atomically(out / f"{self._instance}-{sequence:08}.wh", data)

    def take_receipts(self) -> list[bytes]:
        """As `Box`."""
        found = list[bytes]()
        for path in sorted((self._folder / "back").glob(f"{self._instance}-*.wr"))[:MAX_RECEIPTS_PER_READ]:
            try:
                data = read_file(path, MAX_RETURNED_FILE_BYTES)
            except OSError:
                # Guards the others, and the disk's thread, against a directory, a pipe or a file without end: it is
                # put aside under another name, told once, and what lies behind it is read at the next look.
                quarantine(path)
                if found:
                    return found
                raise
            found.append(data)
            path.unlink()
        return found


def quarantine(path: Path) -> None:
    """Out of the way of the others, under a name that nobody looks for."""
    path.rename(path.with_name(f"{path.name}.bad"))


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file so that whoever looks sees all of it or none."""
    beside = path.with_name(f".{path.name}.part")
    try:
        with beside.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        beside.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            beside.unlink()
        raise
