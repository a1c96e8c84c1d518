"""Bad input as one clear error and exit code 2, never a traceback."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager

import click

from wellhitch.settings.checked import Faults


@contextmanager
def told_plainly() -> Iterator[None]:
    """Turn faults of settings into lines on standard error and exit code 2."""
    try:
        yield
    except Faults as faults:
        click.echo(str(faults), err=True)
        sys.exit(2)
