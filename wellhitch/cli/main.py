"""The command group. Exit codes: 0 well, 1 the check failed, 2 wrong use or settings."""

from importlib import import_module

import click

COMMANDS = ("check", "day", "hooks", "judge", "ledger", "measure", "platform", "serve")


class _Lazy(click.Group):
    """Subcommands are imported when one is asked for: the platform's call server must not pay for the others'
    libraries."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = getattr(import_module(f"wellhitch.cli.{cmd_name}"), cmd_name)
        return command


@click.group(cls=_Lazy)
def main() -> None:
    """A call router for trunk groups.

    \b
    wellhitch check FILE.jsonnet     all faults of a sheet or a day, before anything starts
    wellhitch serve FILE.jsonnet     run one exchange's call server
    wellhitch platform               run one on the operators' platform, as LB_CONFIG says
    wellhitch day play FILE.jsonnet  play a day against stand-ins and judge it
    wellhitch judge FOLDER           settle the five rules from captures
    wellhitch hooks test FOLDER      tools for those who write hooks
    wellhitch ledger show SHEET      what was counted; verify, rate, correct, export
    wellhitch measure server         figures of this machine, beside a baseline
    """
