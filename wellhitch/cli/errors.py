"""Reports invalid input as one clear error with exit code 2, without a traceback."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager

import click

from wellhitch.settings.checked import InvalidSettings


@contextmanager
def exit_on_invalid_settings() -> Iterator[None]:
    """On InvalidSettings, print its errors to standard error and exit with code 2."""
    try:
        yield
    except InvalidSettings as error:
        click.echo(str(error), err=True)
        sys.exit(2)
