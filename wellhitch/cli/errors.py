"""Bad input as one clear error and exit code 2, never a traceback."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager

import click

from wellhitch.settings.checked import InvalidSettings


@contextmanager
def exit_on_invalid_settings() -> Iterator[None]:
    """Turn faults of settings into lines on standard error and exit code 2."""
    try:
        yield
    except InvalidSettings as faults:
        click.echo(str(faults), err=True)
        sys.exit(2)
