"""`wellhitch ledger`: its output, and its errors for wrong use, settings and files."""

import json
import os
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from wellhitch.cli.main import main
from wellhitch.ledger.entries import Corrected, NumberKeys
from wellhitch.ledger.export import INITIAL_MAC, export_lines, make_file, read_receipt
from wellhitch.ledger.journal import DialogueFacts, open_journal
from wellhitch.ledger.outbox import FolderOutbox
from wellhitch.ledger.periods import period_end
from wellhitch.ledger.settle import Settled
from wellhitch.store.engine import Engine

SECOND = 1_000_000
DECEMBER = period_end("2026-11")
KEY = b"k" * 32

SHEET = """{
  number: 3, seed: 1, peers: 0,
  use_cases: [{name: 'card-lock', payoff: 1, agreed_time: '1s', outer_limit: '3s'}],
  rules: {release_wait: '200ms', drain_grace: '250ms', cold_share: 0.3, cold_for: '10s', cold_multiple: 2.5,
          cold_window: '2s'},
  doors: {callers: '127.0.0.1:0', register: '127.0.0.1:1', operators: '127.0.0.1:1'},
  ledger: {folder: 'kept', roster: [3], number_keys: 'keys.json'},
}"""
TARIFF = """{currency: 'BRL', prices: [
  {use_case: 'card-lock', from_day: '2026-01-01', set_up: 100000, a_minute: 60000},
]}"""


@pytest.fixture
def sheet(tmp_path: Path) -> Path:
    """A call server's folder with three dialogues in its ledger, one of them corrected days later."""
    (tmp_path / "sheet.jsonnet").write_text(SHEET)
    (tmp_path / "tariff.jsonnet").write_text(TARIFF)
    (tmp_path / "keys.json").write_text(json.dumps({"1": "6b" * 32}))
    (tmp_path / "kept").mkdir()
    journal, _ = open_journal(3, None, None, 7, NumberKeys({1: KEY}))
    changes = journal.resume([], 0, DECEMBER) + journal.heartbeat(DECEMBER)
    for n, duration_s in ((1, 10), (2, 20), (3, 30)):
        facts = DialogueFacts("origin", 3, n, "card-lock", 5, f"080{n}", 1, "north" if n < 3 else "south")
        changes += journal.answered(facts, "stands", DECEMBER, 0)
        changes += journal.ended(
            "origin", 3, n, "released", DECEMBER + duration_s * SECOND, duration_s * SECOND
        )
    late = DECEMBER + 5 * 86_400 * SECOND
    changes += journal.append(Corrected(3, 2, -15 * SECOND, "ana", "line was dead", late), late)
    engine = Engine(str(tmp_path / "kept" / "ledger"))
    engine.commit(changes)
    engine.close()
    return tmp_path / "sheet.jsonnet"


def run_ledger(*words: object) -> Result:
    found = CliRunner().invoke(main, ["ledger", *map(str, words)])
    assert "Traceback" not in found.output
    return found


def test_dialogues_are_shown_as_a_table_json_and_csv(sheet: Path) -> None:
    assert "3/2" in run_ledger("show", sheet).output
    rows = json.loads(run_ledger("show", sheet, "--format", "json").output)
    assert [(one["dialogue"], one["billed_us"]) for one in rows] == [
        ("3/1", 10 * SECOND), ("3/2", 5 * SECOND), ("3/3", 30 * SECOND),
    ]  # fmt: skip
    assert len(run_ledger("show", sheet, "--format", "csv").output.strip().splitlines()) == 4
    # As of a day before the correction.
    before = json.loads(run_ledger("show", sheet, "--format", "json", "--as-of", "2026-12-04").output)
    assert before[1]["billed_us"] == 20 * SECOND and before[1]["corrected_us"] == 0
    assert json.loads(run_ledger("show", sheet, "--format", "json", "--period", "2026-11").output) == []
    found = json.loads(run_ledger("show", sheet, "--format", "json", "--called", "0803").output)
    assert [one["dialogue"] for one in found] == ["3/3"]
    assert json.loads(run_ledger("show", sheet, "--format", "json", "--disputes").output) == []


def test_the_amounts_of_the_tenants_add_up_and_a_page_is_written(sheet: Path) -> None:
    page = sheet.with_name("page.html")
    result = run_ledger(
        "rate", sheet, sheet.with_name("tariff.jsonnet"), "--period", "2026-12", "--out", page
    )
    # Two of north: 0.10 + 0.10 + 15 s at 0.001; one of south: 0.10 + 30 s.
    assert (
        result.exit_code == 0
        and "total: 0.35 BRL" in result.output
        and "0.22" in result.output
        and "0.13" in result.output
    )
    text = page.read_text()
    assert text.count("data:image/png") == 2 and "<td>north</td>" in text and "http" not in text


def test_an_intact_ledger_verifies_and_each_fault_is_reported(sheet: Path) -> None:
    assert run_ledger("verify", sheet).exit_code == 0
    engine = Engine(str(sheet.parent / "kept" / "ledger"))
    keys = [one[0] for one in engine.scan("chain") if isinstance(one, tuple)]
    engine.db.execute(
        "update record set data = substr(data, 1, 40) || x'00' || substr(data, 42) where key = ?", (keys[2],)
    )
    engine.db.execute("delete from record where key = ?", (keys[4],))
    engine.close()
    result = run_ledger("verify", sheet)
    assert result.exit_code == 1
    assert (
        "row 3: damaged on disk" in result.output
        and "row 5: missing" in result.output
        and "2 faults" in result.output
    )


@pytest.mark.parametrize(
    ("words", "code", "why"),
    [
        (["show", "SHEET", "--period", "2026-13"], 2, "period '2026-13': expected a month such as 2026-12"),
        (["show", "SHEET", "--as-of", "soon"], 2, "--as-of: 'soon': must be a day such as"),
        (["show", "none.jsonnet"], 2, "no such file"),
        (["rate", "SHEET", "TARIFF", "--period", "x"], 2, "period 'x'"),
        (["close", "SHEET", "2026-12"], 2, "doors.operators = '127.0.0.1:1'"),
        (["correct", "SHEET", "3/1", "many", "--who", "a", "--why", "b"], 2, "'many' is not a valid integer"),
    ],
)
def test_wrong_use_is_one_clear_error(sheet: Path, words: list[str], code: int, why: str) -> None:
    names = {"SHEET": str(sheet), "TARIFF": str(sheet.with_name("tariff.jsonnet"))}
    result = run_ledger(*(names.get(word, word) for word in words))
    assert result.exit_code == code and why in result.output


def test_wrong_settings_and_keys_are_reported_with_their_field(sheet: Path) -> None:
    sheet.write_text(SHEET.replace("roster: [3]", "roster: [4, 4], export: 'x'"))
    result = run_ledger("show", sheet).output
    for why in (
        "4: named twice",
        "this call server, 3, is missing",
        "ledger.export and ledger.export_key: set both, or neither",
    ):
        assert why in result
    sheet.write_text(SHEET)
    sheet.with_name("keys.json").write_text('{"1": "zz"}')
    assert "ledger.number_keys" in run_ledger("show", sheet, "--called", "1").output
    sheet.with_name("tariff.jsonnet").write_text(
        "{currency: 'BRL', prices: [{use_case: 'a', from_day: 'soon'}]}"
    )
    assert (
        "prices[0].from_day = 'soon'" in run_ledger("rate", sheet, sheet.with_name("tariff.jsonnet")).output
    )
    (sheet.parent / "kept" / "ledger").write_bytes(b"garbage" * 1000)
    assert "ledger.folder" in run_ledger("verify", sheet).output


def test_files_are_exchanged_through_folders_and_the_stand_in_books_each_once(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_text(KEY.hex())
    outbox = FolderOutbox(tmp_path / "way", 3)
    made = export_lines("2026-12", [Settled((3, n), "billed", SECOND, ended=DECEMBER) for n in range(4)], {})
    data = make_file(KEY, 3, 1, "2026-12", made, INITIAL_MAC)
    for _ in range(2):
        outbox.put(1, data)
        result = run_ledger("accounting", tmp_path / "way", "--key", key, "--once")
        assert "4 dialogues, 4.000 s in all" in result.output
        assert [read_receipt(KEY, one).sequence for one in outbox.take_receipts()] == [
            1
        ] and outbox.take_receipts() == []
    assert "1 files booked" not in result.output  # the second time it was only answered again
    key.write_text("short")
    assert "ledger.export_key" in run_ledger("accounting", tmp_path / "way", "--key", key, "--once").output


def test_an_invalid_file_in_the_accounting_folder_does_not_hold_up_the_others(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_text(KEY.hex())
    outbox = FolderOutbox(tmp_path / "way", 3)
    made = export_lines("2026-12", [Settled((3, 1), "billed", SECOND, ended=DECEMBER)], {})
    outbox.put(1, make_file(KEY, 3, 1, "2026-12", made, INITIAL_MAC))
    (tmp_path / "way" / "out" / "\u00b2-1.wh").write_bytes(b"x")
    (tmp_path / "way" / "out" / "1-1.wh").mkdir()
    os.mkfifo(tmp_path / "way" / "out" / "2-1.wh")
    result = run_ledger("accounting", tmp_path / "way", "--key", key, "--once")
    assert "1 files booked" in result.output and result.exit_code == 0
    for name in ("\u00b2-1.wh", "1-1.wh", "2-1.wh"):
        assert f"{name}: quarantined" in result.output
