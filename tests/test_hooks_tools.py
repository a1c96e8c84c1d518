"""The tools for those who write hooks, as they are used."""

from pathlib import Path
from typing import Any

import msgspec
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from test_hooks_service import BROKEN
from world import USE_CASES, day, rules, trouble

from wellhitch.cli.main import main
from wellhitch.hooks.formatter import format_source
from wellhitch.lab.play import play_sockets

SAMPLES = str(Path(__file__).parents[1] / "hooks")


def said(*args: str) -> tuple[int, str]:
    done = CliRunner().invoke(main, ["hooks", *args])
    assert done.exception is None or isinstance(done.exception, SystemExit), done.exception
    return done.exit_code, done.output


def folder(tmp_path: Path, name: str = "h", **texts: str) -> str:
    made = tmp_path / name
    made.mkdir()
    for file, text in texts.items():
        (made / f"{file}.hook").write_text(text)
    return str(made)


def test_the_samples_are_well() -> None:
    assert said("check", SAMPLES)[0] == 0 and said("format", "--check", SAMPLES)[0] == 0
    assert said("test", SAMPLES)[1].endswith(" passed, 0 failed\n")


def test_faults_are_listed_with_their_places(tmp_path: Path) -> None:
    where = folder(tmp_path, a="on arrive { let x = cal }", b="on arrive { return {favor: 1} }")
    code, text = said("check", where)
    assert code == 1 and "a.hook:1:21: no name cal (is call meant?)" in text and "b.hook:1:" in text
    code, text = said("test", folder(tmp_path, "t", c='test "no" { expect 1 == 2 }'))
    assert code == 1 and "c.hook:1:13: test 'no'" in text and "0 passed, 1 failed" in text
    assert said("check", str(tmp_path / "none"))[0] == 2
    assert said("check", folder(tmp_path, "empty"))[0] == 2


def test_explain_tells_what_each_hook_says(tmp_path: Path) -> None:
    code, text = said("explain", SAMPLES, "--call", '{"use_case": "card-lock"}')
    assert code == 0 and "10-card-lock.hook: favour 2.0, tags ['urgent']" in text and "steps)" in text
    where = folder(
        tmp_path, a="on arrive { let x = 1 / 0 }", b='on arrive { return {use_case: "none such"} }'
    )
    text = said("explain", where)[1]
    assert "a.hook:1:13: fails: divided by nought" in text and "its answer is not taken" in text
    assert said("explain", SAMPLES, "--call", '{"use": 1}') == (2, "--call: no field 'use'; known are called, "
        "destination, id, left, redialled, tenant, use_case, width\n")  # fmt: skip
    assert (
        "--call: destination: Expected `int`" in said("explain", SAMPLES, "--call", '{"destination": "x"}')[1]
    )


def test_run_and_shadow_on_a_captured_day(tmp_path: Path) -> None:
    file = tmp_path / "d.jsonnet"
    file.write_bytes(msgspec.json.encode(day(length="4s")))
    captured = str(tmp_path / "captured")
    CliRunner().invoke(main, ["day", "play", str(file), "--virtual", "--capture", captured])
    one = folder(tmp_path, "one", a='on arrive { if call.use_case == "dear" { return {favour: 2} } }')
    two = folder(tmp_path, "two", a='on arrive { if call.use_case == "dear" { return {push_back: "x"} } }')
    code, text = said("run", one, "--capture", captured)
    row = next(line for line in text.splitlines() if line.startswith("dear")).split()
    assert code == 0 and row[1] == row[4] and int(row[1]) > 2
    text = said("shadow", one, two, "--capture", captured)[1]
    assert text.startswith(f"{row[1]} of ") and "favour 2.0 -> push back x" in text
    code, text = said("run", one, "--day", str(file))
    assert code == 0 and "without hooks: service" in text and "with hooks: service" in text
    assert said("run", one)[0] == 2


@given(st.text(alphabet='{}[]()"#\\ab \n', max_size=80))
def test_laying_out_twice_is_laying_out_once_and_changes_only_space(text: str) -> None:
    once = format_source(text)
    assert format_source(once) == once
    assert [line.strip() for line in once.splitlines() if line.strip()] == [
        line.strip() for line in text.splitlines() if line.strip()
    ]


def test_broken_hooks_on_real_sockets(tmp_path: Path) -> None:
    brief: list[dict[str, Any]] = [{**use, "hold": "300ms"} for use in USE_CASES]
    lost = [trouble("answer_lost", at="1s", length="1s", size=0.3)]
    made = day(n=3, rate=10, length="2s", tail="20s", use_cases=brief, hooks=BROKEN, troubles=lost)
    done = play_sockets(made, tmp_path, processes=False)
    assert rules(done) == [] and not done.left_open
    counts = done.servers[0]["counts"]
    assert counts["hooks_failed.memory"] >= 3 and counts["hooks_failed.wrong"] >= 3
