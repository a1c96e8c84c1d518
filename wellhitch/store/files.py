"""Files that people or other programs put there, read whole. Guards against what is no file: a pipe holds whoever opens
it up for ever, a directory or a file of gigabytes is told as such."""

import errno
import os
import stat
from pathlib import Path

MOST = 64 << 20  # bytes, where a caller names no bound of its own: far over any sheet, key or state


def read_file(path: Path, most: int = MOST) -> bytes:
    """All bytes of a regular file. Raises OSError, also for what is none and for one over `most` bytes."""
    # Opened without waiting, then looked at: between a look and an opening it could become another.
    with open(path, "rb", opener=_at_once) as file:
        size = os.fstat(file.fileno()).st_size
        if size > most:
            raise OSError(errno.EFBIG, f"{size} bytes, over {most}", str(path))
        return file.read(most)


def _at_once(path: str, flags: int) -> int:
    opened = os.open(path, flags | os.O_NONBLOCK)
    if not stat.S_ISREG(os.fstat(opened).st_mode):
        os.close(opened)
        raise OSError(errno.EINVAL, "not a file", str(path))
    return opened
