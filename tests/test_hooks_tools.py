"""The command-line tools for hook files."""

from pathlib import Path
from typing import Any

import msgspec
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from test_hooks_service import BROKEN
from world import USE_CASES, broken_rules, day, fault_line

from wellhitch.cli.main import main
from wellhitch.hooks.formatter import format_source
from wellhitch.lab.play import play_sockets

SAMPLES = str(Path(__file__).parents[1] / "hooks")


def invoke_hooks(*args: str) -> tuple[int, str]:
    done = CliRunner().invoke(main, ["hooks", *args])
    assert done.exception is None or isinstance(done.exception, SystemExit), done.exception
    return done.exit_code, done.output


def hook_folder(tmp_path: Path, name: str = "h", **texts: str) -> str:
    folder = tmp_path / name
    folder.mkdir()
    for file, text in texts.items():
        (folder / f"{file}.hook").write_text(text)
    return str(folder)


def test_the_sample_hooks_pass_check_format_and_test() -> None:
    assert invoke_hooks("check", SAMPLES)[0] == 0 and invoke_hooks("format", "--check", SAMPLES)[0] == 0
    assert invoke_hooks("test", SAMPLES)[1].endswith(" passed, 0 failed\n")


def test_errors_are_listed_with_their_positions(tmp_path: Path) -> None:
    where = hook_folder(tmp_path, a="on arrive { let x = cal }", b="on arrive { return {favor: 1} }")
    code, text = invoke_hooks("check", where)
    assert (
        code == 1 and "a.hook:1:21: undefined name cal (did you mean call?)" in text and "b.hook:1:" in text
    )
    code, text = invoke_hooks("test", hook_folder(tmp_path, "t", c='test "no" { expect 1 == 2 }'))
    assert code == 1 and "c.hook:1:13: test 'no'" in text and "0 passed, 1 failed" in text
    assert invoke_hooks("check", str(tmp_path / "none"))[0] == 2
    assert invoke_hooks("check", hook_folder(tmp_path, "empty"))[0] == 2


def test_explain_shows_the_result_of_each_hook(tmp_path: Path) -> None:
    code, text = invoke_hooks("explain", SAMPLES, "--call", '{"use_case": "card-lock"}')
    assert code == 0 and "10-card-lock.hook: favour 2.0, tags ['urgent']" in text and "steps)" in text
    where = hook_folder(
        tmp_path, a="on arrive { let x = 1 / 0 }", b='on arrive { return {use_case: "none such"} }'
    )
    text = invoke_hooks("explain", where)[1]
    assert "a.hook:1:13: fails: division by zero" in text and "b.hook: invalid result: " in text
    assert invoke_hooks("explain", SAMPLES, "--call", '{"use": 1}') == (2, "--call: no field 'use'; known are called, "
        "destination, id, left, redialled, tenant, use_case, width\n")  # fmt: skip
    assert (
        "--call: destination: Expected `int`"
        in invoke_hooks("explain", SAMPLES, "--call", '{"destination": "x"}')[1]
    )


def test_run_and_shadow_on_a_captured_day(tmp_path: Path) -> None:
    file = tmp_path / "d.jsonnet"
    file.write_bytes(msgspec.json.encode(day(length="4s")))
    captured = str(tmp_path / "captured")
    CliRunner().invoke(main, ["day", "play", str(file), "--virtual", "--capture", captured])
    one = hook_folder(tmp_path, "one", a='on arrive { if call.use_case == "dear" { return {favour: 2} } }')
    two = hook_folder(
        tmp_path, "two", a='on arrive { if call.use_case == "dear" { return {push_back: "x"} } }'
    )
    code, text = invoke_hooks("run", one, "--capture", captured)
    row = next(line for line in text.splitlines() if line.startswith("dear")).split()
    assert code == 0 and row[1] == row[4] and int(row[1]) > 2
    text = invoke_hooks("shadow", one, two, "--capture", captured)[1]
    assert text.startswith(f"{row[1]} of ") and "favour 2.0 -> push back x" in text
    code, text = invoke_hooks("run", one, "--day", str(file))
    assert code == 0 and "without hooks: service" in text and "with hooks: service" in text
    assert invoke_hooks("run", one)[0] == 2


@given(st.text(alphabet='{}[]()"#\\ab \n', max_size=80))
def test_formatting_is_idempotent_and_changes_only_space(text: str) -> None:
    formatted = format_source(text)
    assert format_source(formatted) == formatted
    assert [line.strip() for line in formatted.splitlines() if line.strip()] == [
        line.strip() for line in text.splitlines() if line.strip()
    ]


def test_broken_hooks_on_real_sockets(tmp_path: Path) -> None:
    brief: list[dict[str, Any]] = [{**use, "hold": "300ms"} for use in USE_CASES]
    lost = [fault_line("answer_lost", at="1s", length="1s", size=0.3)]
    made = day(n=3, rate=10, length="2s", tail="20s", use_cases=brief, hooks=BROKEN, troubles=lost)
    done = play_sockets(made, tmp_path, processes=False)
    assert broken_rules(done) == [] and not done.left_open
    counts = done.servers[0]["counts"]
    assert counts["hooks_failed.memory"] >= 3 and counts["hooks_failed.wrong"] >= 3
