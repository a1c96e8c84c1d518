"""`wellhitch day`: play a day."""

import sys
import tempfile
from pathlib import Path

import click
import msgspec

from wellhitch.cli.check import read_day
from wellhitch.cli.errors import exit_on_invalid_settings
from wellhitch.judge.page import service_page, verdict_page
from wellhitch.lab.from_bench import convert
from wellhitch.lab.play import Played, play_sockets, play_virtual
from wellhitch.settings import checked
from wellhitch.settings.checked import InvalidSettings
from wellhitch.settings.day import Day
from wellhitch.settings.day import check as check_day
from wellhitch.stand_ins.faults import UnsupportedFaultError
from wellhitch.store.files import read_file


@click.group()
def day() -> None:
    """Days: a fleet, its traffic and its troubles in one file."""


@day.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--virtual", is_flag=True, help="in virtual time: as fast as it goes, the same on every run")
@click.option(
    "--speed", type=click.FloatRange(0, min_open=True), help="of virtual time: so many times a clock's"
)
@click.option("--processes", is_flag=True, help="each call server in a process of its own")
@click.option("--capture", type=click.Path(path_type=Path), help="folder to keep captures in")
def play(file: Path, virtual: bool, speed: float | None, processes: bool, capture: Path | None) -> None:
    """Play the day FILE on loopback sockets and judge it. Exit code 0 only if all five rules were kept.

    \b
    Example: wellhitch day play days/bad.jsonnet --processes --capture /tmp/bad-day
    """
    if speed and not virtual:
        raise click.UsageError("--speed needs --virtual: real sockets keep real time")
    if virtual and processes:
        raise click.UsageError("--virtual runs in one process; leave out --processes")
    with exit_on_invalid_settings():
        made = read_day(file)

    def progress(done: float, held: int) -> None:
        if sys.stderr.isatty():
            click.echo(f"\r  second {done:.0f} of {made.length}, {held} dialogues ", nl=False, err=True)

    with tempfile.TemporaryDirectory(prefix="wellhitch-day-") as scratch:
        folder = capture or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.glob("*.capture")):
            click.echo(f"{folder}: holds captures of another day; name an empty folder", err=True)
            sys.exit(2)
        try:
            if virtual:
                played = play_virtual(
                    made, folder if capture else None, progress=progress, speed=speed or 0.0
                )
            else:
                played = play_sockets(made, folder, processes, progress=progress)
        except UnsupportedFaultError as fault:
            click.echo(f"{file}: {fault}", err=True)
            sys.exit(2)
    if sys.stderr.isatty():
        click.echo("\r" + " " * 60 + "\r", nl=False, err=True)
    click.echo(page(made.name, played))
    sys.exit(1 if played.verdict.violations or played.left_open else 0)


@day.command("from-bench")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", type=int, default=1, show_default=True, help="the seed of our day")
@click.option(
    "--output", "-o", type=click.Path(path_type=Path), help="where to write it (else standard output)"
)
def from_bench(file: Path, seed: int, output: Path | None) -> None:
    """Turn a day FILE that the operators' bench draws into one of ours; what is not carried over is named.

    \b
    Example: wellhitch day from-bench drawn.json -o drawn.jsonnet
    """
    with exit_on_invalid_settings():
        try:
            value = msgspec.json.decode(read_file(file))
        except OSError as fault:
            raise InvalidSettings(str(file), [fault.strerror or "cannot be read"]) from None
        except msgspec.DecodeError as fault:
            raise InvalidSettings(str(file), [str(fault)]) from None
        made, notes = convert(value, file.stem, seed)
        check_day(checked.read(made, Day, str(file)), str(file))
    for note in notes:
        click.echo(note, err=True)
    text = msgspec.json.format(msgspec.json.encode(made), indent=1)
    if output:
        output.write_bytes(text + b"\n")
    else:
        click.echo(text.decode())


def page(name: str, played: Played) -> str:
    """All of a played day on one page."""
    out = [f"day {name}, played in {played.seconds:.1f} s", "", verdict_page(played.verdict), ""]
    out += [service_page(played.service), "", "call servers, by their own account"]
    for number, status in played.servers.items():
        counts = status.get("counts", {})
        shown = {
            "taken": counts.get("taken", 0),
            "stand": counts.get("answer.stands", 0),
            "pushed back": counts.get("answer.pushed_back", 0),
            "forfeited": counts.get("answer.forfeited", 0),
            "dials": counts.get("sends", 0),
            "links lost": counts.get("links_lost.office", 0),
            "faults": counts.get("decision_faults", 0),
        }
        out.append(f"  {number:4}  " + ", ".join(f"{what} {count}" for what, count in shown.items()))
    out.append("offices")
    for office, counts in played.offices.items():
        shown_counts = ", ".join(
            f"{what.replace('_', ' ')} {count}" for what, count in sorted(counts.items())
        )
        out.append(f"  {office}: {shown_counts or 'nothing came'}")
    if played.left_open:
        out.append(
            f"{played.left_open} dialogues were still open at the end: lengthen `tail`, or see what hangs"
        )
    if played.lost_circuits:
        out.append("circuits still counted at the end: " + "; ".join(played.lost_circuits))
    return "\n".join(out)
