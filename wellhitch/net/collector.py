"""Keeps the garbage collector from holding the loop up.

A full collection looks at every object that is alive. Most of a process's objects are its code, made at the start and
there for good; over those alone it takes tens of milliseconds, in which nobody is answered.
"""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


def freeze_startup_objects() -> int:
    """Take all objects that are alive now out of later collections; returns how many these are."""
    gc.collect()
    gc.freeze()
    return gc.get_freeze_count()


@contextmanager
def startup_objects_frozen() -> Iterator[None]:
    """As `freeze_startup_objects`, until the block ends."""
    freeze_startup_objects()
    try:
        yield
    finally:
        gc.unfreeze()
