"""`wellhitch check`: lists every error in the settings of a call server or of a day."""

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
    """List every error in FILE, the settings of a call server or of a day, with field, value and what is allowed.

    \b
    Example: wellhitch check fleet/exchange-3.jsonnet
    """
    with exit_on_invalid_settings():
        value = evaluate(file)
        if isinstance(value, dict) and "exchanges" in value:
            read_day(file)
            click.echo(f"{file}: a day, without errors")
        else:
            read_server_settings(file)
            click.echo(f"{file}: settings of a call server, without errors")


def read_server_settings(file: Path) -> server.ServerSettings:
    """Read and check the settings of a call server. Raises InvalidSettings."""
    settings = checked.read(evaluate(file), server.ServerSettings, str(file))
    server.check(settings, str(file))
    check_hooks(settings.hooks, str(file))
    return settings


def check_hooks(texts: dict[str, str], where: str) -> None:
    """Check the hooks in the settings, and run their tests. Raises InvalidSettings."""
    if texts:
        try:
            load_version(texts, Parser())
        except InvalidHooks as error:
            raise checked.InvalidSettings(
                where, [f"hooks: {diagnostic}" for diagnostic in error.diagnostics]
            ) from None


def read_day(file: Path) -> day.Day:
    """Read and check a day. Raises InvalidSettings."""
    settings = checked.read(evaluate(file), day.Day, str(file))
    day.check(settings, str(file))
    check_hooks(settings.hooks, str(file))
    return settings
