"""`wellhitch check`: every fault of a sheet or a day."""

from pathlib import Path

import click

from wellhitch.cli.errors import exit_on_invalid_settings
from wellhitch.hooks.grammar import Parser
from wellhitch.hooks.host import load_version
from wellhitch.hooks.tree import InvalidHooks
from wellhitch.settings import checked, day, server
from wellhitch.settings.template import evaluate


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """List every fault of a sheet or a day FILE, each with field, value and what is allowed.

    \b
    Example: wellhitch check fleet/exchange-3.jsonnet
    """
    with exit_on_invalid_settings():
        value = evaluate(file)
        if isinstance(value, dict) and "exchanges" in value:
            read_day(file)
            click.echo(f"{file}: a day, without faults")
        else:
            read_server_settings(file)
            click.echo(f"{file}: a sheet, without faults")


def read_server_settings(file: Path) -> server.ServerSettings:
    """A sheet, checked as a whole. Raises InvalidSettings."""
    made = checked.read(evaluate(file), server.ServerSettings, str(file))
    server.check(made, str(file))
    check_hooks(made.hooks, str(file))
    return made


def check_hooks(texts: dict[str, str], where: str) -> None:
    """The hooks of a sheet or day, with their own tests. Raises InvalidSettings."""
    if texts:
        try:
            load_version(texts, Parser())
        except InvalidHooks as bad:
            raise checked.InvalidSettings(where, [f"hooks: {fault}" for fault in bad.diagnostics]) from None


def read_day(file: Path) -> day.Day:
    """A day, checked as a whole. Raises InvalidSettings."""
    made = checked.read(evaluate(file), day.Day, str(file))
    day.check(made, str(file))
    check_hooks(made.hooks, str(file))
    return made
