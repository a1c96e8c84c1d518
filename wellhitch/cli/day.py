"""`wellhitch day`: plays days, which are simulated runs of a fleet."""

import sys
import tempfile
from pathlib import Path

import click
import msgspec

from wellhitch.cli.check import read_day
from wellhitch.cli.errors import exit_on_invalid_settings
from wellhitch.judge.page import service_page, verdict_page
from wellhitch.lab.from_bench import convert
from wellhitch.lab.play import DayResult, play_sockets, play_virtual
from wellhitch.settings import checked
from wellhitch.settings.checked import InvalidSettings
from wellhitch.settings.day import Day
from wellhitch.settings.day import check as check_day
from wellhitch.stand_ins.faults import UnsupportedFaultError
from wellhitch.store.files import read_file


@click.group()
def day() -> None:
    """Days: a simulated fleet, its traffic and its faults in one file."""


@day.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--virtual", is_flag=True, help="in virtual time: as fast as possible, and the same on every run"
)
@click.option(
    "--speed",
    type=click.FloatRange(0, min_open=True),
    help="with --virtual: so many times as fast as real time",
)
@click.option("--processes", is_flag=True, help="run each call server in a separate process")
@click.option("--capture", type=click.Path(path_type=Path), help="folder in which to keep the captures")
def play(file: Path, virtual: bool, speed: float | None, processes: bool, capture: Path | None) -> None:
    """Play the day FILE on loopback sockets and judge it. The exit code is 0 only if all five rules were kept.

    \b
    Example: wellhitch day play days/bad.jsonnet --processes --capture /tmp/bad-day
    """
    if speed and not virtual:
        raise click.UsageError("--speed requires --virtual: real sockets run in real time")
    if virtual and processes:
        raise click.UsageError("--virtual runs in one process; omit --processes")
    with exit_on_invalid_settings():
        settings = read_day(file)

    def progress(done: float, held: int) -> None:
        if sys.stderr.isatty():
            click.echo(f"\r  second {done:.0f} of {settings.length}, {held} dialogues ", nl=False, err=True)

    with tempfile.TemporaryDirectory(prefix="wellhitch-day-") as scratch:
        folder = capture or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.glob("*.capture")):
            click.echo(f"{folder}: contains captures of another day; name an empty folder", err=True)
            sys.exit(2)
        try:
            if virtual:
                played = play_virtual(
                    settings, folder if capture else None, progress=progress, speed=speed or 0.0
                )
            else:
                played = play_sockets(settings, folder, processes, progress=progress)
        except UnsupportedFaultError as error:
            click.echo(f"{file}: {error}", err=True)
            sys.exit(2)
    if sys.stderr.isatty():
        click.echo("\r" + " " * 60 + "\r", nl=False, err=True)
    click.echo(page(settings.name, played))
    sys.exit(1 if played.verdict.violations or played.left_open else 0)


@day.command("from-bench")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", type=int, default=1, show_default=True, help="seed of the converted day")
@click.option(
    "--output", "-o", type=click.Path(path_type=Path), help="file to write (default: standard output)"
)
def from_bench(file: Path, seed: int, output: Path | None) -> None:
    """Convert a day FILE of the operators' bench to a day of this program; lists what is not carried over.

    \b
    Example: wellhitch day from-bench drawn.json -o drawn.jsonnet
    """
    with exit_on_invalid_settings():
        try:
            value = msgspec.json.decode(read_file(file))
        except OSError as error:
            raise InvalidSettings(str(file), [error.strerror or "cannot be read"]) from None
        except msgspec.DecodeError as error:
            raise InvalidSettings(str(file), [str(error)]) from None
        converted, notes = convert(value, file.stem, seed)
        check_day(checked.read(converted, Day, str(file)), str(file))
    for note in notes:
        click.echo(note, err=True)
    text = msgspec.json.format(msgspec.json.encode(converted), indent=1)
    if output:
        output.write_bytes(text + b"\n")
    else:
        click.echo(text.decode())


def page(name: str, played: DayResult) -> str:
    """The text report of a played day."""
    lines = [f"day {name}, played in {played.seconds:.1f} s", "", verdict_page(played.verdict), ""]
    lines += [service_page(played.service), "", "call servers, by their own counts"]
    for number, status in played.servers.items():
        counts = status.get("counts", {})
        selected = {
            "taken": counts.get("taken", 0),
            "stand": counts.get("answer.stands", 0),
            "pushed back": counts.get("answer.pushed_back", 0),
            "forfeited": counts.get("answer.forfeited", 0),
            "dials": counts.get("sends", 0),
            "links lost": counts.get("links_lost.office", 0),
            "faults": counts.get("decision_faults", 0),
        }
        lines.append(f"  {number:4}  " + ", ".join(f"{label} {count}" for label, count in selected.items()))
    lines.append("offices")
    for office, counts in played.offices.items():
        shown_counts = ", ".join(
            f"{label.replace('_', ' ')} {count}" for label, count in sorted(counts.items())
        )
        lines.append(f"  {office}: {shown_counts or 'nothing came'}")
    if played.left_open:
        lines.append(
            f"{played.left_open} dialogues were still open at the end: lengthen `tail`, or find what blocks them"
        )
    if played.leaked_circuits:
        lines.append("circuits still in use at the end: " + "; ".join(played.leaked_circuits))
    return "\n".join(lines)
