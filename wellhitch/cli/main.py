"""The command group. Exit codes: 0 for success, 1 for a failed check, 2 for invalid use or settings."""

from importlib import import_module

import click

COMMANDS = ("check", "day", "hooks", "judge", "ledger", "measure", "platform", "serve")


class _LazyGroup(click.Group):
    """Imports a subcommand only when it is run, so that `wellhitch platform` does not load the libraries of the
    others."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = getattr(import_module(f"wellhitch.cli.{cmd_name}"), cmd_name)
        return command


@click.group(cls=_LazyGroup)
def main() -> None:
    """A call router for trunk groups.

    \b
    wellhitch check FILE.jsonnet     list every error in the settings of a call server or a day
    wellhitch serve FILE.jsonnet     run the call server of one exchange
    wellhitch platform               run a call server on the operators' platform, configured by LB_CONFIG
    wellhitch day play FILE.jsonnet  play a day on a simulated fleet and judge it
    wellhitch judge FOLDER           check captures against the five rules
    wellhitch hooks test FOLDER      tools for authors of hooks
    wellhitch ledger show SHEET      show the ledger; also verify, rate, correct, export
    wellhitch measure server         measure this machine against a baseline
    """
