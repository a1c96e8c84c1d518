"""`wellhitch ledger`: shows, verifies, corrects, rates and exports the ledger of a call server."""

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

MAX_LISTED = 10  # dialogues or faults that are listed one by one; the others are only counted

SETTINGS_FILE = click.argument("settings_file", metavar="SHEET", type=click.Path(path_type=Path))
FORMAT = click.option("--format", "form", type=click.Choice(["table", "json", "csv"]), default="table")
PERIOD = click.option("--period", default="", help="a month such as 2026-12; default: all time")


@click.group()
def ledger() -> None:
    """Show, verify, close, correct, rate and export a ledger. SHEET is the settings file of its call server.

    \b
    wellhitch ledger show fleet/exchange-3.jsonnet --period 2026-12
    wellhitch ledger verify fleet/exchange-3.jsonnet
    wellhitch ledger rate fleet/exchange-3.jsonnet tariff.jsonnet --period 2026-12
    wellhitch ledger correct fleet/exchange-3.jsonnet 3/4294967301 -60000000 --who ana --why "line was dead"
    """


def _read(settings_file: Path) -> tuple[ServerSettings, reader.LedgerContents]:
    settings = read_server_settings(settings_file)
    if settings.ledger is None:
        raise InvalidSettings(str(settings_file), ["ledger: not set, so this call server has no ledger"])
    try:
        return settings, reader.read(settings_file.parent / settings.ledger.folder)
    except StoreError as error:
        raise InvalidSettings(str(settings_file), [f"ledger.folder: {error}"]) from None


def _format(rows: list[dict[str, Any]], form: str) -> str:
    """Format rows as a table, as JSON or as CSV."""
    if form == "json":
        return msgspec.json.format(msgspec.json.encode(rows), indent=2).decode()
    if not rows:
        return "nothing" if form == "table" else ""
    names = list(rows[0])
    if form == "csv":
        text = io.StringIO()
        writer = csv.DictWriter(text, names)
        writer.writeheader()
        writer.writerows(rows)
        return text.getvalue().rstrip()
    cells = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    return "\n".join(
        "  ".join(cell.ljust(widths[column]) for column, cell in enumerate(line)).rstrip() for line in cells
    )


def _format_time(wall_us: int) -> str:
    return datetime.fromtimestamp(wall_us / 1e6, UTC).strftime("%Y-%m-%d %H:%M:%S")


def _as_of(text: str) -> int | None:
    """Return the end of a day as wall-clock microseconds, or None without a day. Raises InvalidSettings."""
    if not text:
        return None
    try:
        next_day = date.fromisoformat(text) + timedelta(days=1)
    except ValueError:
        raise InvalidSettings("--as-of", [f"{text!r}: must be a day such as 2026-12-31"]) from None
    return int(datetime(next_day.year, next_day.month, next_day.day, tzinfo=UTC).timestamp()) * 1_000_000


@ledger.command()
@SETTINGS_FILE
@PERIOD
@FORMAT
@click.option("--as-of", default="", help="only what was known at the end of this day")
@click.option("--called", default="", help="only dialogues to this number, as far as the keys for it exist")
@click.option(
    "--disputes", is_flag=True, help="only dialogues that origin and destination reported differently"
)
def show(settings_file: Path, period: str, form: str, as_of: str, called: str, disputes: bool) -> None:
    """Show the settled dialogues of this call server, the lost entries and the state of each period."""
    with exit_on_invalid_settings():
        settings, contents = _read(settings_file)
        until = _as_of(as_of)
        keys = read_number_keys(settings, settings_file)
        try:
            settled = contents.settled(period, until)
        except ValueError as error:
            raise InvalidSettings("--period", [str(error)]) from None
    if called:
        dialogue_ids = {
            (entry.origin, entry.dialogue)
            for _, _, entry in contents.rows
            if isinstance(entry, Answered) and keys.matches(called, entry.called_hash, entry.number_key)
        }
        settled = [dialogue for dialogue in settled if dialogue.dialogue_id in dialogue_ids]
    rows = [
        {
            "dialogue": f"{dialogue.dialogue_id[0]}/{dialogue.dialogue_id[1]}",
            "state": dialogue.state,
            "tenant": dialogue.tenant,
            "use_case": dialogue.traffic_class,
            "to": dialogue.destination,
            "ended": _format_time(dialogue.ended),
            "billed_us": dialogue.billed,
            "corrected_us": dialogue.corrected,
            "tags": " ".join(dialogue.tags),
            "dispute": dialogue.dispute,
        }
        for dialogue in settled
        if dialogue.dispute or not disputes
    ]
    click.echo(_format(rows, form))
    if form == "table":
        for chain, lost in contents.lost_entries():
            click.echo(
                f"lost: {lost.count} entries of chain {chain}, "
                f"{_format_time(lost.first)} to {_format_time(lost.last)}"
            )
        for name, period_state in sorted(contents.periods.items()):
            state = (
                "closed"
                if period_state.closed is not None
                else "closing"
                if period_state.statement
                else "open"
            )
            click.echo(f"period {name}: {state}, {len(period_state.closed or ())} instances")


@ledger.command()
@SETTINGS_FILE
def verify(settings_file: Path) -> None:
    """Read every record and verify each chain. Lists each fault; the exit code is 1 if there is one."""
    with exit_on_invalid_settings():
        _, contents = _read(settings_file)
    for fault in contents.faults:
        click.echo(fault)
    chains = {name for name, _, _ in contents.rows if name.number == contents.number}
    click.echo(f"{len(contents.rows)} rows, {len(chains)} own chains, {len(contents.faults)} faults")
    sys.exit(1 if contents.faults else 0)


def _tariff(path: Path) -> Tariff:
    tariff = read_settings(evaluate(path), Tariff, str(path))
    if errors := tariff_errors(tariff):
        raise InvalidSettings(str(path), errors)
    return tariff


def _format_money(cents: int) -> str:
    return f"{'-' if cents < 0 else ''}{abs(cents) // 100}.{abs(cents) % 100:02}"


@ledger.command()
@SETTINGS_FILE
@click.argument("tariff", type=click.Path(path_type=Path))
@PERIOD
@FORMAT
@click.option("--as-of", default="", help="only what was known at the end of this day")
@click.option("--out", type=click.Path(path_type=Path), help="also write an HTML page with charts")
def rate(settings_file: Path, tariff: Path, period: str, form: str, as_of: str, out: Path | None) -> None:
    """Rate dialogues by a TARIFF: what each tenant owes, in lines that add up to the cent. The exit code is 1 if a
    dialogue has no price."""
    with exit_on_invalid_settings():
        _, contents = _read(settings_file)
        prices = _tariff(tariff)
        try:
            settled = contents.settled(period, _as_of(as_of))
        except ValueError as error:
            raise InvalidSettings("--period", [str(error)]) from None
    lines, unrated = invoice(prices, settled)
    cents = to_cents({f"{line.tenant}\0{line.traffic_class}": line.micros for line in lines})
    rows = [
        {
            "tenant": line.tenant,
            "use_case": line.traffic_class,
            "dialogues": line.dialogues,
            "seconds": f"{line.duration_us / 1e6:.3f}",
            prices.currency: _format_money(cents[f"{line.tenant}\0{line.traffic_class}"]),
        }
        for line in lines
    ]
    click.echo(_format(rows, form))
    if form == "table":
        click.echo(f"total: {_format_money(sum(cents.values()))} {prices.currency}")
    for message in unrated[:MAX_LISTED]:
        click.echo(message, err=True)
    if len(unrated) > MAX_LISTED:
        click.echo(f"and {len(unrated) - MAX_LISTED} more without a price", err=True)
    if out:
        out.write_text(
            month_report(period or "all time", prices.currency, lines, cents, settled), encoding="utf-8"
        )
        click.echo(f"written: {out}", err=True)
    sys.exit(1 if unrated else 0)


def _send_command(settings_file: Path, command: str) -> str:
    """Send a ledger command to the daemon at its operators' address, and return the answer. Raises InvalidSettings."""
    settings = read_server_settings(settings_file)
    if not settings.doors.operators:
        raise InvalidSettings(str(settings_file), ["doors.operators = '': required to reach the daemon"])
    host, port = split_address(settings.doors.operators)
    try:
        with socket.create_connection((host, port), timeout=5) as connection:
            connection.sendall(f"ledger {command}\n".encode())
            return b"".join(iter(lambda: connection.recv(65536), b"")).decode().rstrip()
    except OSError as error:
        raise InvalidSettings(
            str(settings_file), [f"doors.operators = {settings.doors.operators!r}: {error}"]
        ) from None


def _print_answer(answer: str) -> None:
    """Print the daemon's answer; exit with 1 if the command was not carried out."""
    click.echo(answer)
    sys.exit(1 if answer.startswith(("not done", "no ledger")) else 0)


@ledger.command()
@SETTINGS_FILE
@click.argument("period")
def close(settings_file: Path, period: str) -> None:
    """Close PERIOD early: the running daemon makes its statement and adds no more entries to it."""
    with exit_on_invalid_settings():
        answer = _send_command(settings_file, f"close {period}")
    _print_answer(answer)


def _quote(text: str) -> str:
    return "'" + text.replace("'", " ").replace("\n", " ") + "'"


@ledger.command()
@SETTINGS_FILE
@click.argument("dialogue")
@click.argument("change", type=int)
@click.option("--who", required=True)
@click.option("--why", required=True)
def correct(settings_file: Path, dialogue: str, change: int, who: str, why: str) -> None:
    """Correct the billed time of a DIALOGUE (ORIGIN/NUMBER) by CHANGE microseconds; a credit is negative."""
    with exit_on_invalid_settings():
        answer = _send_command(settings_file, f"correct {dialogue} {change} {_quote(who)} {_quote(why)}")
    _print_answer(answer)


@ledger.command()
@SETTINGS_FILE
def export(settings_file: Path) -> None:
    """Show the progress of the export of the running daemon."""
    _print_status(settings_file, ("exported", "periods"))


@ledger.command()
@SETTINGS_FILE
def reconcile(settings_file: Path) -> None:
    """Show how far the running daemon is reconciled with the others, and the differences."""
    _print_status(settings_file, ("state", "level_with", "periods", "counts"))


def _print_status(settings_file: Path, names: tuple[str, ...]) -> None:
    with exit_on_invalid_settings():
        answer = _send_command(settings_file, "")
    try:
        status = msgspec.json.decode(answer.encode())
    except msgspec.MsgspecError:
        _print_answer(answer)
        return
    click.echo(
        msgspec.json.format(msgspec.json.encode({name: status[name] for name in names}), indent=2).decode()
    )


@ledger.command()
@click.argument("folder", type=click.Path(path_type=Path))
def audit(folder: Path) -> None:
    """Compare the ledgers of a day with its captures. FOLDER is that of `day play --processes --capture FOLDER`, of a
    day with `ledger: true`. The exit code is 1 if a dialogue is billed for another time than it was established."""
    with exit_on_invalid_settings():
        try:
            result = ledger_day.audit(folder)
        except (BadCapture, StoreError) as error:
            raise InvalidSettings(str(folder), [str(error)]) from None
    for message in [*result.faults, *result.wrong, *result.lost][:MAX_LISTED]:
        click.echo(message)
    click.echo(
        f"{result.established} dialogues were established by the captures, {result.billed} are billed; "
        f"{len(result.lost)} lost with {result.killed} killed processes, {len(result.wrong)} billed wrongly, "
        f"{len(result.faults)} faults"
    )
    sys.exit(1 if result.wrong or result.faults else 0)


@ledger.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option(
    "--key",
    required=True,
    type=click.Path(path_type=Path),
    help="the file with the key that both sides share",
)
@click.option("--once", is_flag=True, help="process the present files, then stop")
@click.option("--loses", default=0.0, help="share of answers to lose")
@click.option("--halves", default=0.0, help="share of files of which only half is processed")
def accounting(folder: Path, key: Path, once: bool, loses: float, halves: float) -> None:
    """Simulate the accounting system on the export FOLDER, for trials: book each file once, in FOLDER/books."""
    with exit_on_invalid_settings():
        shared_key = read_export_key(key)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            engine = Engine(str(folder / "books"))
        except (StoreError, OSError) as error:
            raise InvalidSettings(str(folder), [str(error)]) from None
    (folder / "back").mkdir(exist_ok=True)
    accounting_system = Accounting(engine, {}, AccountingFaults(loses, 0.0, 0.0, halves), random.Random(1))
    receipts = 0
    while True:
        for path in sorted((folder / "out").glob("*-*.wh")):
            number = re.fullmatch("([0-9]{1,5})-[0-9]+[.]wh", path.name)
            try:
                if not number:
                    raise OSError("not named INSTANCE-SEQUENCE.wh")
                data = read_file(path)
            except OSError as error:
                click.echo(f"{path}: quarantined: {error.strerror or error}", err=True)
                quarantine(path)
                continue
            instance = int(number[1])
            accounting_system.keys[instance] = shared_key
            for receipt in accounting_system.receive_file(instance, data):
                receipts += 1
                write_atomically(folder / "back" / f"{instance}-{time.time_ns()}-{receipts:04}.wr", receipt)
            path.unlink()
        if once:
            break
        time.sleep(0.5)
    booked = accounting_system.booked_totals()
    total = sum(dialogue.billed for dialogue in booked.values())
    click.echo(
        f"{accounting_system.counts['booked']} files booked; {len(booked)} dialogues, {total / 1e6:.3f} s in all"
    )
    engine.close()
