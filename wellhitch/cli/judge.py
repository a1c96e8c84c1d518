"""`wellhitch judge`: the five rules from captures."""

import sys
from pathlib import Path

import click

from wellhitch.judge.page import service_page, verdict_page
from wellhitch.judge.rules import judge as settle
from wellhitch.judge.service import service
from wellhitch.trunk.capture import BadCapture, read_folder


@click.command()
@click.argument("captures", type=click.Path(path_type=Path))
def judge(captures: Path) -> None:
    """Settle the five rules from a folder of CAPTURES, as `day play --capture` writes it.

    \b
    Example: wellhitch judge /tmp/bad-day
    """
    try:
        read = read_folder(captures)
        verdict = settle(read)
        click.echo(verdict_page(verdict))
        click.echo(service_page(service(read)))
    except BadCapture as fault:
        click.echo(f"cannot be judged: {fault}", err=True)
        sys.exit(2)
    sys.exit(1 if verdict.violations else 0)
