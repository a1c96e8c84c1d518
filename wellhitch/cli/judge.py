"""`wellhitch judge`: checks captures against the five rules."""

import sys
from pathlib import Path

import click

from wellhitch.judge.page import service_page, verdict_page
from wellhitch.judge.rules import judge as judge_captures
from wellhitch.judge.service import service
from wellhitch.trunk.capture import BadCapture, read_folder


@click.command()
@click.argument("captures", type=click.Path(path_type=Path))
def judge(captures: Path) -> None:
    """Check the folder CAPTURES, which `day play --capture` writes, against the five rules.

    \b
    Example: wellhitch judge /tmp/bad-day
    """
    try:
        records = read_folder(captures)
        verdict = judge_captures(records)
        click.echo(verdict_page(verdict))
        click.echo(service_page(service(records)))
    except BadCapture as error:
        click.echo(f"cannot be judged: {error}", err=True)
        sys.exit(2)
    sys.exit(1 if verdict.violations else 0)
