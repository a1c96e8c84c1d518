"""`python -m wellhitch.lab.trials`: runs the trials of a range of seeds, several at a time, and reports each result."""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

from wellhitch.lab.trials.plan import FaultKind
from wellhitch.lab.trials.run import run_seed

TRIAL_TIMEOUT_S = 180  # for one trial, including the start of its processes


def _parse_kinds(text: str) -> tuple[FaultKind, ...] | None:
    if not text:
        return None
    try:
        return tuple(FaultKind[name.upper()] for name in text.split("+"))
    except KeyError as error:
        choices = ", ".join(kind.name.lower() for kind in FaultKind)
        raise click.BadParameter(f"{error}: unknown kind of fault; choose from {choices}") from None


def _run_in_process(seed: int, arguments: list[str]) -> tuple[bool, str]:
    """Run one trial in a separate process, so that its event loop is not shared with other trials."""
    command = [sys.executable, "-m", "wellhitch.lab.trials", str(seed), str(seed), *arguments]
    try:
        process = subprocess.run(command, capture_output=True, text=True, timeout=TRIAL_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return False, f"seed {seed} FAILED: not finished after {TRIAL_TIMEOUT_S} s"
    return process.returncode == 0, process.stdout.strip() or process.stderr.strip()


@click.command()
@click.argument("first", type=int)
@click.argument("last", type=int)
@click.option("--kinds", default="", help="Kinds of fault joined by +, instead of those drawn from the seed.")
@click.option("--together", default=4, show_default=True, help="Trials run at the same time.")
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Folder in which the records and logs of the trials are kept.",
)
def main(first: int, last: int, kinds: str, together: int, keep: Path | None) -> None:
    """Run the trials of the seeds FIRST to LAST.

    \b
    python -m wellhitch.lab.trials 1 50 --together 8 --keep /tmp/trials
    """
    if first == last:
        outcome = run_seed(first, _parse_kinds(kinds), keep)
        click.echo(outcome.report())
        sys.exit(0 if outcome.verdict.passed else 1)
    arguments = [*(("--kinds", kinds) if kinds else ()), *(("--keep", str(keep)) if keep else ())]
    _parse_kinds(kinds)
    with ThreadPoolExecutor(together) as pool:
        results = list(pool.map(lambda seed: _run_in_process(seed, arguments), range(first, last + 1)))
    for _, report in results:
        click.echo(report)
    failed = sum(not passed for passed, _ in results)
    click.echo(f"{len(results) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
