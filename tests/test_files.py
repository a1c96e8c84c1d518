"""Every file that is read: a directory, a pipe, garbage, an empty or a missing file in its place is reported as one
clear error that names it."""

import json
import os
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from test_settings import DOORS
from test_settings import SHEET as PLAIN
from world import day

from wellhitch.cli.main import main
from wellhitch.cli.serve import read_hooks_state
from wellhitch.ledger.entries import NumberKeys
from wellhitch.ledger.journal import open_journal
from wellhitch.ledger.outbox import MAX_RECEIPTS_PER_READ, FolderOutbox
from wellhitch.store.engine import Engine
from wellhitch.store.files import read_file
from wellhitch.trunk.capture import BadCapture, read_capture, read_folder

LEDGER = {
    "folder": "kept", "roster": [3], "number_keys": "keys.json", "export": "way", "export_key": "both.key",
}  # fmt: skip
DECEMBER = 1_796_083_200_000_000
SHEET = {**PLAIN, "peers": 0, "doors": {**DOORS, "operators": "127.0.0.1:1"}, "ledger": LEDGER}


def pipe(path: Path) -> None:
    os.mkfifo(path)


def directory(path: Path) -> None:
    path.mkdir()


def garbage(path: Path) -> None:
    path.write_bytes(bytes(range(256)) * 3)


def empty(path: Path) -> None:
    path.write_bytes(b"")


def missing(path: Path) -> None:
    pass


def too_large(path: Path) -> None:
    with path.open("wb") as file:
        file.truncate(1 << 40)


CREATORS = [pipe, directory, garbage, empty, missing]
FILES = [
    ("sheet.json", ["check", "sheet.json"]),
    ("sheet.json", ["serve", "sheet.json"]),
    ("day.json", ["day", "play", "day.json", "--virtual"]),
    ("drawn.json", ["day", "from-bench", "drawn.json"]),
    ("keys.json", ["serve", "sheet.json"]),
    ("both.key", ["serve", "sheet.json"]),
    ("tariff.json", ["ledger", "rate", "sheet.json", "tariff.json"]),
    ("kept/ledger", ["ledger", "verify", "sheet.json"]),
    ("hooks/a.hook", ["hooks", "test", "hooks"]),
    ("captures/a.capture", ["judge", "captures"]),
]


@pytest.fixture
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    monkeypatch.chdir(tmp_path)
    for name in ("kept", "hooks", "captures"):
        (tmp_path / name).mkdir()
    (tmp_path / "sheet.json").write_text(json.dumps(SHEET))
    (tmp_path / "day.json").write_bytes(msgspec.json.encode(day()))
    (tmp_path / "keys.json").write_text(json.dumps({"1": "6b" * 32}))
    (tmp_path / "both.key").write_text("6b" * 32)
    (tmp_path / "tariff.json").write_text(json.dumps({"currency": "BRL", "prices": []}))
    engine = Engine(str(tmp_path / "kept" / "ledger"))
    engine.commit(open_journal(3, None, None, 7, NumberKeys({}))[0].heartbeat(DECEMBER))
    engine.close()
    return tmp_path


@pytest.mark.parametrize("create", CREATORS, ids=lambda create: create.__name__)
@pytest.mark.parametrize(
    ("name", "words"), FILES, ids=lambda value: value if isinstance(value, str) else value[0]
)
def test_an_unusable_file_is_one_clear_error(
    folder: Path, name: str, words: list[str], create: Callable[[Path], None]
) -> None:
    path = folder / name
    path.unlink(missing_ok=True)
    create(path)
    done = CliRunner().invoke(main, words)
    if words[0] == "hooks" and create is empty:
        assert done.exit_code == 0  # an empty file is a valid file without hooks
        return
    assert isinstance(done.exception, SystemExit), done.exception
    output = done.output.strip()
    assert done.exit_code in (1, 2) and output and "Traceback" not in output
    assert path.name in output or path.parent.name in output, output


def test_a_file_over_the_limit_is_reported_and_not_read(tmp_path: Path) -> None:
    too_large(tmp_path / "x")
    with pytest.raises(OSError, match="over"):
        read_file(tmp_path / "x")


@pytest.mark.parametrize("create", [pipe, directory, too_large], ids=lambda create: create.__name__)
def test_hook_state_that_is_not_a_regular_file_is_logged_and_the_start_continues(
    tmp_path: Path, create: Callable[[Path], None]
) -> None:
    create(tmp_path / "state")
    log_lines: list[str] = []
    assert (
        read_hooks_state(
            tmp_path / "state", lambda event, **facts: log_lines.append(f"{event} {facts['why']}")
        )
        == b""
    )
    assert len(log_lines) == 1 and log_lines[0].startswith("hooks_state_dropped") and "state" in log_lines[0]


@pytest.mark.parametrize("create", [pipe, directory, too_large], ids=lambda create: create.__name__)
def test_an_unreadable_receipt_does_not_hold_up_the_others(
    tmp_path: Path, create: Callable[[Path], None]
) -> None:
    """A directory made every read fail and a pipe blocked the disk's thread, so that the ledger was not written."""
    outbox, back = FolderOutbox(tmp_path, 3), tmp_path / "back"
    back.mkdir()
    create(back / "3-0.wr")
    for n in range(1, MAX_RECEIPTS_PER_READ + 4):
        (back / f"3-{n}.wr").write_bytes(b"r%d" % n)
    with pytest.raises(OSError, match="3-0.wr"):
        outbox.take_receipts()
    assert (
        len(outbox.take_receipts()) == MAX_RECEIPTS_PER_READ
        and len(outbox.take_receipts()) == 3
        and outbox.take_receipts() == []
    )


HEAD = b'{"capture":1,"party":"office","name":"x"}'


@pytest.mark.parametrize(
    "line",
    [
        b'"abc"', b"5", b"null", b'["a","in",1,"office",2,"Leave",1]', b'[1,2,"x",3,[],"Leave",1]', b"[]",
        b'{"t":"x","note":5}', b'{"note":"x"}', b"[" * 3000, b"\xff\xfe",
        b'[1e400,"in",1,"office",2,"Leave",1]', b'{"end":"x"}',
    ],
)  # fmt: skip
def test_an_invalid_line_of_a_capture_is_reported_with_its_number(line: bytes) -> None:
    with pytest.raises(BadCapture, match="x:2"):
        read_capture([HEAD, line, b'{"end":1}'], "x")


@pytest.mark.parametrize("create", [pipe, directory], ids=lambda create: create.__name__)
def test_an_unusable_capture_in_a_folder_is_reported(tmp_path: Path, create: Callable[[Path], None]) -> None:
    create(tmp_path / "a.capture")
    with pytest.raises(BadCapture, match="a.capture"):
        read_folder(tmp_path)
