"""Keeps the garbage collector from blocking the event loop.

A full collection visits every live object. Most objects of a process are its code, created at the start and never
freed; visiting those alone takes tens of milliseconds, in which no call is answered.
"""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


def freeze_startup_objects() -> int:
    """Exclude all live objects from later collections; returns their number."""
    gc.collect()
    gc.freeze()
    return gc.get_freeze_count()


@contextmanager
def startup_objects_frozen() -> Iterator[None]:
    """Exclude all live objects from collections until the block ends."""
    freeze_startup_objects()
    try:
        yield
    finally:
        gc.unfreeze()
