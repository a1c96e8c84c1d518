"""Reads whole files that users or other programs provide. Guards against what is not a regular file: opening a pipe
would block for ever, a directory or a file of gigabytes is reported as such."""

import errno
import os
import stat
from pathlib import Path

MAX_FILE_BYTES = 64 << 20  # default limit: far above any settings file, key or state


def read_file(path: Path, limit: int = MAX_FILE_BYTES) -> bytes:
    """All bytes of a regular file. Raises OSError, also for other kinds of file and for one over `limit` bytes."""
    # Opened without blocking and then checked: between a check and an open the file could be replaced.
    with open(path, "rb", opener=_open_nonblocking) as file:
        size = os.fstat(file.fileno()).st_size
        if size > limit:
            raise OSError(errno.EFBIG, f"{size} bytes, over the limit of {limit}", str(path))
        return file.read(limit)


def _open_nonblocking(path: str, flags: int) -> int:
    opened = os.open(path, flags | os.O_NONBLOCK)
    if not stat.S_ISREG(os.fstat(opened).st_mode):
        os.close(opened)
        raise OSError(errno.EINVAL, "not a regular file", str(path))
    return opened
