"""The command group. Exit codes: 0 well, 1 the check failed, 2 wrong use or settings."""

import click

from wellhitch.cli.check import check
from wellhitch.cli.day import day
from wellhitch.cli.hooks import hooks
from wellhitch.cli.judge import judge
from wellhitch.cli.ledger import ledger
from wellhitch.cli.measure import measure
from wellhitch.cli.serve import serve


@click.group()
def main() -> None:
    """A call router for trunk groups.

    \b
    wellhitch check FILE.jsonnet     all faults of a sheet or a day, before anything starts
    wellhitch serve FILE.jsonnet     run one exchange's call server
    wellhitch day play FILE.jsonnet  play a day against stand-ins and judge it
    wellhitch judge FOLDER           settle the five rules from captures
    wellhitch hooks test FOLDER      tools for those who write hooks
    wellhitch ledger show SHEET      what was counted; verify, rate, correct, export
    wellhitch measure server         figures of this machine, beside a baseline
    """


main.add_command(serve)
main.add_command(check)
main.add_command(day)
main.add_command(judge)
main.add_command(hooks)
main.add_command(ledger)
main.add_command(measure)
