"""Exchange of files with the accounting side through two folders: export files go out, receipts come back. Files appear
complete: each is written under a temporary name, synced and renamed. Runs on the disk's thread."""

import contextlib
import os
from pathlib import Path
from typing import Protocol

from wellhitch.store.files import read_file

MAX_RETURNED_FILE_BYTES = 16 << 20  # a receipt has some 80 bytes, a returned file some 2 MB
MAX_RECEIPTS_PER_READ = 32  # bounds memory when the folder is full; more wait for the next read


class Outbox(Protocol):
    """Connects to the accounting side. Calls may block."""

    def put(self, sequence: int, data: bytes) -> None:
        """Hand a file over. Raises OSError."""

    def take_receipts(self) -> list[bytes]:
        """Read and remove the receipts and returned files that have arrived, in order. Raises OSError."""


class FolderOutbox:
    """Writes `out/INSTANCE-SEQUENCE.wh` for the accounting side and reads `back/INSTANCE-*.wr` from it, in a shared
    folder."""

    def __init__(self, folder: Path, instance: int) -> None:
        self._folder, self._instance = folder, instance

    def put(self, sequence: int, data: bytes) -> None:
        """See `Outbox`."""
        out = self._folder / "out"
        out.mkdir(parents=True, exist_ok=True)
        write_atomically(out / f"{self._instance}-{sequence:08}.wh", data)

    def take_receipts(self) -> list[bytes]:
        """See `Outbox`."""
        receipts = list[bytes]()
        for path in sorted((self._folder / "back").glob(f"{self._instance}-*.wr"))[:MAX_RECEIPTS_PER_READ]:
            try:
                data = read_file(path, MAX_RETURNED_FILE_BYTES)
            except OSError:
                # A directory, a pipe or an endless file must not hold up the other files or the disk's thread: it is
                # renamed and reported once, and the files behind it are read next time.
                quarantine(path)
                if receipts:
                    return receipts
                raise
            receipts.append(data)
            path.unlink()
        return receipts


def quarantine(path: Path) -> None:
    """Rename a file so that it is not read again."""
    path.rename(path.with_name(f"{path.name}.bad"))


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file so that readers see either all of it or nothing."""
    temporary = path.with_name(f".{path.name}.part")
    try:
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
