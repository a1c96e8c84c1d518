"""`wellhitch ledger`: what was counted, whether it is whole, what it costs, and the way to the accounting side."""

import csv
import io
import random
import re
import socket
import sys
import time
from datetime import UTC, date, datetime, timedelta
from pathlib import Path
from typing import Any

import click
import msgspec

from wellhitch.cli.check import read_server_settings
from wellhitch.cli.errors import exit_on_invalid_settings
from wellhitch.cli.serve import read_export_key, read_number_keys
from wellhitch.lab import ledger_day
from wellhitch.lab.ledger_page import month_report
from wellhitch.ledger import reader
from wellhitch.ledger.entries import Answered
from wellhitch.ledger.outbox import quarantine, write_atomically
from wellhitch.ledger.rating import Tariff, invoice, tariff_errors, to_cents
from wellhitch.net.transport import split_address
from wellhitch.settings.checked import InvalidSettings
from wellhitch.settings.checked import read as read_settings
from wellhitch.settings.server import ServerSettings
from wellhitch.settings.template import evaluate
from wellhitch.stand_ins.accounting import Accounting, AccountingFaults
from wellhitch.store.engine import Engine, StoreError
from wellhitch.store.files import read_file
from wellhitch.trunk.capture import BadCapture

MOST_UNRATED = 10  # dialogues without a price that are named; the rest is counted

SHEET = click.argument("sheet", type=click.Path(path_type=Path))
FORMAT = click.option("--format", "form", type=click.Choice(["table", "json", "csv"]), default="table")
PERIOD = click.option("--period", default="", help="a month, such as 2026-12; all time where left out")


@click.group()
def ledger() -> None:
    """Show, verify, close, correct, rate and export what was counted. SHEET is the call server's.

    \b
    wellhitch ledger show fleet/exchange-3.jsonnet --period 2026-12
    wellhitch ledger verify fleet/exchange-3.jsonnet
    wellhitch ledger rate fleet/exchange-3.jsonnet tariff.jsonnet --period 2026-12
    wellhitch ledger correct fleet/exchange-3.jsonnet 3/4294967301 -60000000 --who ana --why "line was dead"
    """


def _read(sheet: Path) -> tuple[ServerSettings, reader.LedgerContents]:
    made = read_server_settings(sheet)
    if made.ledger is None:
        raise InvalidSettings(str(sheet), ["ledger: this call server keeps none"])
    try:
        return made, reader.read(sheet.parent / made.ledger.folder)
    except StoreError as fault:
        raise InvalidSettings(str(sheet), [f"ledger.folder: {fault}"]) from None


def _shown(rows: list[dict[str, Any]], form: str) -> str:
    """Rows as a table for people, JSON or CSV for programs."""
    if form == "json":
        return msgspec.json.format(msgspec.json.encode(rows), indent=2).decode()
    if not rows:
        return "nothing" if form == "table" else ""
    names = list(rows[0])
    if form == "csv":
        out = io.StringIO()
        writer = csv.DictWriter(out, names)
        writer.writeheader()
        writer.writerows(rows)
        return out.getvalue().rstrip()
    cells = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[at]) for line in cells) for at in range(len(names))]
    return "\n".join(
        "  ".join(cell.ljust(widths[at]) for at, cell in enumerate(line)).rstrip() for line in cells
    )


def _at(wall: int) -> str:
    return datetime.fromtimestamp(wall / 1e6, UTC).strftime("%Y-%m-%d %H:%M:%S")


def _as_of(text: str) -> int | None:
    """The end of a day, as a wall time. Raises InvalidSettings."""
    if not text:
        return None
    try:
        after = date.fromisoformat(text) + timedelta(days=1)
    except ValueError:
        raise InvalidSettings("--as-of", [f"{text!r}: a day such as 2026-12-31"]) from None
    return int(datetime(after.year, after.month, after.day, tzinfo=UTC).timestamp()) * 1_000_000


@ledger.command()
@SHEET
@PERIOD
@FORMAT
@click.option("--as-of", default="", help="as was known at the end of a day")
@click.option("--called", default="", help="only dialogues to this number, as far as its key is kept")
@click.option("--disputes", is_flag=True, help="only those of which the ends saw different things")
def show(sheet: Path, period: str, form: str, as_of: str, called: str, disputes: bool) -> None:
    """Settled dialogues of this call server, with what is lacking and the state of each period."""
    with exit_on_invalid_settings():
        made, found = _read(sheet)
        until = _as_of(as_of)
        keys = read_number_keys(made, sheet)
        try:
            settled = found.settled(period, until)
        except ValueError as fault:
            raise InvalidSettings("--period", [str(fault)]) from None
    if called:
        names = {
            (entry.origin, entry.dialogue)
            for _, _, entry in found.rows
            if isinstance(entry, Answered) and keys.matches(called, entry.called_hash, entry.number_key)
        }
        settled = [one for one in settled if one.dialogue_id in names]
    rows = [
        {
            "dialogue": f"{one.dialogue_id[0]}/{one.dialogue_id[1]}",
            "state": one.state,
            "tenant": one.tenant,
            "use_case": one.traffic_class,
            "to": one.destination,
            "ended": _at(one.ended),
            "billed_us": one.billed,
            "corrected_us": one.corrected,
            "tags": " ".join(one.tags),
            "dispute": one.dispute,
        }
        for one in settled
        if one.dispute or not disputes
    ]
    click.echo(_shown(rows, form))
    if form == "table":
        for chain, lack in found.lost_entries():
            click.echo(
                f"lacking: {lack.count} entries of chain {chain}, {_at(lack.first)} to {_at(lack.last)}"
            )
        for name, kept in sorted(found.periods.items()):
            state = "closed" if kept.closed is not None else "closing" if kept.statement else "open"
            click.echo(f"period {name}: {state}, {len(kept.closed or ())} instances")


@ledger.command()
@SHEET
def verify(sheet: Path) -> None:
    """Read every record and hold each chain together; exit 1 and each fault named where it is not whole."""
    with exit_on_invalid_settings():
        _, found = _read(sheet)
    for wrong in found.faults:
        click.echo(wrong)
    chains = {name for name, _, _ in found.rows if name.number == found.number}
    click.echo(f"{len(found.rows)} rows, {len(chains)} chains of its own, {len(found.faults)} faults")
    sys.exit(1 if found.faults else 0)


def _tariff(path: Path) -> Tariff:
    tariff = read_settings(evaluate(path), Tariff, str(path))
    if faults := tariff_errors(tariff):
        raise InvalidSettings(str(path), faults)
    return tariff


def _money(cents: int) -> str:
    return f"{'-' if cents < 0 else ''}{abs(cents) // 100}.{abs(cents) % 100:02}"


@ledger.command()
@SHEET
@click.argument("tariff", type=click.Path(path_type=Path))
@PERIOD
@FORMAT
@click.option("--as-of", default="", help="as was known at the end of a day")
@click.option("--out", type=click.Path(path_type=Path), help="also write a page with charts")
def rate(sheet: Path, tariff: Path, period: str, form: str, as_of: str, out: Path | None) -> None:
    """What each tenant owes by a TARIFF: lines that add up to the cent. Exit 1 where a dialogue has no price."""
    with exit_on_invalid_settings():
        _, found = _read(sheet)
        prices = _tariff(tariff)
        try:
            settled = found.settled(period, _as_of(as_of))
        except ValueError as fault:
            raise InvalidSettings("--period", [str(fault)]) from None
    lines, unrated = invoice(prices, settled)
    cents = to_cents({f"{one.tenant}\0{one.traffic_class}": one.micros for one in lines})
    rows = [
        {
            "tenant": one.tenant,
            "use_case": one.traffic_class,
            "dialogues": one.dialogues,
            "seconds": f"{one.duration_us / 1e6:.3f}",
            prices.currency: _money(cents[f"{one.tenant}\0{one.traffic_class}"]),
        }
        for one in lines
    ]
    click.echo(_shown(rows, form))
    if form == "table":
        click.echo(f"whole: {_money(sum(cents.values()))} {prices.currency}")
    for word in unrated[:MOST_UNRATED]:
        click.echo(word, err=True)
    if len(unrated) > MOST_UNRATED:
        click.echo(f"and {len(unrated) - MOST_UNRATED} more without a price", err=True)
    if out:
        out.write_text(
            month_report(period or "all time", prices.currency, lines, cents, settled), encoding="utf-8"
        )
        click.echo(f"written: {out}", err=True)
    sys.exit(1 if unrated else 0)


def _ask(sheet: Path, what: str) -> str:
    """Ask the daemon at its operators' door. Raises InvalidSettings."""
    made = read_server_settings(sheet)
    if not made.doors.operators:
        raise InvalidSettings(str(sheet), ["doors.operators = '': the daemon is asked there"])
    host, port = split_address(made.doors.operators)
    try:
        with socket.create_connection((host, port), timeout=5) as line:
            line.sendall(f"ledger {what}\n".encode())
            return b"".join(iter(lambda: line.recv(65536), b"")).decode().rstrip()
    except OSError as fault:
        raise InvalidSettings(str(sheet), [f"doors.operators = {made.doors.operators!r}: {fault}"]) from None


def _told(said: str) -> None:
    click.echo(said)
    sys.exit(1 if said.startswith(("not done", "no ledger")) else 0)


@ledger.command()
@SHEET
@click.argument("period")
def close(sheet: Path, period: str) -> None:
    """State a period early: the running daemon adds no more to it."""
    with exit_on_invalid_settings():
        said = _ask(sheet, f"close {period}")
    _told(said)


def _quoted(text: str) -> str:
    return "'" + text.replace("'", " ").replace("\n", " ") + "'"


@ledger.command()
@SHEET
@click.argument("dialogue")
@click.argument("change", type=int)
@click.option("--who", required=True)
@click.option("--why", required=True)
def correct(sheet: Path, dialogue: str, change: int, who: str, why: str) -> None:
    """Correct what is billed of a DIALOGUE (ORIGIN/NUMBER) by CHANGE us; a credit is under nought."""
    with exit_on_invalid_settings():
        said = _ask(sheet, f"correct {dialogue} {change} {_quoted(who)} {_quoted(why)}")
    _told(said)


@ledger.command()
@SHEET
def export(sheet: Path) -> None:
    """How far the export of the running daemon is."""
    _status(sheet, ("exported", "periods"))


@ledger.command()
@SHEET
def reconcile(sheet: Path) -> None:
    """How level the running daemon is with the others, and what of theirs differs."""
    _status(sheet, ("state", "level_with", "periods", "counts"))


def _status(sheet: Path, names: tuple[str, ...]) -> None:
    with exit_on_invalid_settings():
        said = _ask(sheet, "")
    try:
        plain = msgspec.json.decode(said.encode())
    except msgspec.MsgspecError:
        _told(said)
        return
    click.echo(
        msgspec.json.format(msgspec.json.encode({name: plain[name] for name in names}), indent=2).decode()
    )


@ledger.command()
@click.argument("folder", type=click.Path(path_type=Path))
def audit(folder: Path) -> None:
    """Hold the ledgers of a day against its captures: FOLDER is that of `day play --processes --capture FOLDER`, of a
    day with `ledger: true`. Exit 1 where a dialogue is billed otherwise than it stood."""
    with exit_on_invalid_settings():
        try:
            found = ledger_day.audit(folder)
        except (BadCapture, StoreError) as fault:
            raise InvalidSettings(str(folder), [str(fault)]) from None
    for word in [*found.faults, *found.wrong, *found.lost][:MOST_UNRATED]:
        click.echo(word)
    click.echo(
        f"{found.established} dialogues stood by the captures, {found.billed} are billed; {len(found.lost)} lost with "
        f"{found.killed} killed processes, {len(found.wrong)} otherwise than they stood, {len(found.faults)} faults"
    )
    sys.exit(1 if found.wrong or found.faults else 0)


@ledger.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option(
    "--key", required=True, type=click.Path(path_type=Path), help="the file with the key of both sides"
)
@click.option("--once", is_flag=True, help="take what lies there, then stop")
@click.option("--loses", default=0.0, help="share of answers lost")
@click.option("--halves", default=0.0, help="share of files of which half is taken")
def accounting(folder: Path, key: Path, once: bool, loses: float, halves: float) -> None:
    """Play the accounting side on the export FOLDER: book each file once, in FOLDER/books. For trials."""
    with exit_on_invalid_settings():
        both = read_export_key(key)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            engine = Engine(str(folder / "books"))
        except (StoreError, OSError) as fault:
            raise InvalidSettings(str(folder), [str(fault)]) from None
    (folder / "back").mkdir(exist_ok=True)
    side = Accounting(engine, {}, AccountingFaults(loses, 0.0, 0.0, halves), random.Random(1))
    count = 0
    while True:
        for path in sorted((folder / "out").glob("*-*.wh")):
            number = re.fullmatch("([0-9]{1,5})-[0-9]+[.]wh", path.name)
            try:
                if not number:
                    raise OSError("not named INSTANCE-SEQUENCE.wh")
                data = read_file(path)
            except OSError as fault:
                click.echo(f"{path}: put aside: {fault.strerror or fault}", err=True)
                quarantine(path)
                continue
            instance = int(number[1])
            side.keys[instance] = both
            for said in side.hand_over(instance, data):
                count += 1
                write_atomically(folder / "back" / f"{instance}-{time.time_ns()}-{count:04}.wr", said)
            path.unlink()
        if once:
            break
        time.sleep(0.5)
    booked = side.booked()
    total = sum(one.billed for one in booked.values())
    click.echo(f"{side.counts['booked']} files booked; {len(booked)} dialogues, {total / 1e6:.3f} s in all")
    engine.close()
