"""Settings report all errors at once, with field, value and what is allowed. Output and exit codes of commands."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from world import RULES, USE_CASES, day, play_day

from wellhitch.cli.main import main
from wellhitch.lab.fleet import HostAddresses, server_settings
from wellhitch.lab.from_bench import convert
from wellhitch.settings import checked, server
from wellhitch.settings.checked import InvalidSettings
from wellhitch.settings.day import Day, check

DOORS = {"callers": "127.0.0.1:0", "register": "127.0.0.1:7000"}
USES = [{name: value for name, value in use.items() if name != "share"} for use in USE_CASES]
SHEET = {"number": 3, "seed": 1, "peers": 2, "use_cases": USES, "rules": RULES, "doors": DOORS}


def run_command(*args: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, list(args))
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def test_server_settings_are_read_with_durations_in_whole_microseconds() -> None:
    event = server.start_event(checked.read(SHEET, server.ServerSettings, "x"))
    assert event.traffic_classes[0].target_latency == 1_500_000 and event.release.release_wait == 200_000
    assert event.topology.own_number == 3 and not event.topology.has_centre


@pytest.mark.parametrize(("text", "us"), [("1.5s", 1_500_000), ("250ms", 250_000), ("7us", 7), ("0s", 0)])
def test_durations(text: str, us: int) -> None:
    assert server.duration_us(text) == us


def test_all_errors_are_listed_at_once() -> None:
    bad: dict[str, Any] = json.loads(json.dumps(SHEET))
    bad["number"] = -1
    bad["colour"] = "red"
    bad["use_cases"][0]["payoff"] = "much"
    bad["use_cases"][1]["agreed_time"] = "2 hours"
    del bad["rules"]["release_wait"]
    with pytest.raises(InvalidSettings) as caught:
        checked.read(bad, server.ServerSettings, "x.jsonnet")
    errors = caught.value.errors
    assert len(errors) == 5
    for start in (
        "colour = 'red'",
        "number = -1",
        "use_cases[0].payoff = 'much'",
        "rules.release_wait: missing",
    ):
        assert any(error.startswith(start) for error in errors), (start, errors)
    assert any("use_cases[1].agreed_time = '2 hours'" in error for error in errors)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"use_cases": []}, "use_cases = []"),
        ({"use_cases": [USES[0], USES[0]]}, "named twice"),
        ({"use_cases": [{**USES[0], "agreed_time": "0s"}]}, "must be at least 1ms"),
        ({"use_cases": [{**USES[0], "agreed_time": "10s"}]}, "longer than outer_limit"),
        ({"doors": {**DOORS, "register": ""}}, "doors.register"),
        ({"doors": {**DOORS, "callers": "10.0.0.1:70"}}, "a loopback address"),
        ({"doors": {**DOORS, "callers": "127.0.0.1:99999"}}, "not host:port"),
        ({"doors": {**DOORS, "callers": "127.evil.example:7000"}}, "a loopback address"),
    ],
)
def test_conditions_between_fields_are_checked(change: dict[str, Any], message: str) -> None:
    with pytest.raises(InvalidSettings, match=message.replace("[", r"\[").replace("]", r"\]")):
        server.check(checked.read({**SHEET, **change}, server.ServerSettings, "x"), "x")


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"groups": [{"ends": [0, 9], "size": 1}]}, "must be two different exchanges of the day"),
        ({"groups": [{"ends": [0, 1], "size": 1}, {"ends": [1, 0], "size": 1}]}, "this pair is listed twice"),
        ({"troubles": [{"kind": "plague", "at": "1s"}]}, "'plague'"),
        ({"troubles": [{"kind": "slow", "at": "1s", "on": [7]}]}, "no such exchange"),
    ],
)
def test_conditions_in_days_are_checked(change: dict[str, Any], message: str) -> None:
    with pytest.raises(InvalidSettings, match=message):
        day(**change)


def write(tmp_path: Path, value: Any) -> str:
    file = tmp_path / "x.jsonnet"
    file.write_text(value if isinstance(value, str) else json.dumps(value))
    return str(file)


def test_check_accepts_valid_and_rejects_invalid_files(tmp_path: Path) -> None:
    assert run_command("check", write(tmp_path, SHEET)) == (
        0,
        f"{tmp_path}/x.jsonnet: settings of a call server, without errors\n",
    )
    code, text = run_command("check", write(tmp_path, {**SHEET, "number": "three", "seed": -1}))
    assert code == 2 and "number = 'three'" in text and "seed = -1" in text
    code, text = run_command("check", write(tmp_path, "{ number: 1 + }"))
    assert code == 2 and "x.jsonnet:1:" in text
    code, text = run_command("check", str(tmp_path / "none.jsonnet"))
    assert code == 2 and "no such file" in text
    assert run_command("serve", write(tmp_path, "[]"))[0] == 2


def test_play_and_judge_commands(tmp_path: Path) -> None:
    short_day = json.loads(json.dumps(to_plain(day(length="3s"))))
    file, folder = write(tmp_path, short_day), str(tmp_path / "captures")
    code, text = run_command("day", "play", file, "--virtual", "--capture", folder)
    assert code == 0 and text.count(" kept\n") == 5
    code, again = run_command("judge", folder)
    assert code == 0 and "never two dials out" in again
    # Captures of another day are not overwritten.
    assert run_command("day", "play", file, "--virtual", "--capture", folder)[0] == 2
    (Path(folder) / "world.capture").write_text("")
    code, text = run_command("judge", folder)
    assert code == 2 and "world.capture: empty" in text


def to_plain(settings: Day) -> Any:
    return msgspec.to_builtins(settings)


def test_settings_of_a_call_server_are_made_from_a_day() -> None:
    settings = server_settings(day(), 1, HostAddresses())
    assert settings.doors.callers == "server-1:2" and settings.peers == 2


# ---- days of the operators' bench ----


def bench_day(**changes: Any) -> dict[str, Any]:
    """A small day in the format of the operators' bench."""
    n = 3
    sizes = [0, 12, 12, 0, 0, 0, 0, 0, 0]  # no trunk group between 1 and 2
    bench = {
        "v": 1, "site": "s", "family": "trunks", "kind": "trouble", "length": 6_000_000, "tail": 1,
        "zones": ["a", "b"], "net": {"same": 2000, "cross": 4000, "client": 0, "jitter": 0.2},
        "traffic": {"load": 0.9, "shape": [[0.0, 1.0], [3.0, 1.2]], "zone_share": [0.6, 0.4]},
        "clients": {
            "retries": 1, "try_share": 0.35, "backoff": "exp", "backoff_us": 800_000.0, "honour": 0.5,
            "max_retry_after": 2_000_000, "impatient": 0.0, "marks_retry": True,
        },
        "discovery": {"ask": False, "notice": 500_000, "silent_notice": 900_000, "add": 300_000, "spread": 50_000},
        "allow": {
            "max_attempts": 5, "cancel": True, "probes": False, "peers": True, "retry_after": True, "max_open": 9000,
        },
        "drain_grace": 250_000, "fall_multiple": 2.5, "fall_for": 2_000_000,
        "classes": [
            {
                "name": "cheap", "share": 3.0, "work": 2000.0, "aim": 1_500_000, "deadline": 9_000_000, "worth": 1.0,
                "late_worth": 0.2,
            }
        ],
        "tiers": [
            {
                "kinds": [{"cold_from": 0.4, "cold": 9_000_000, "error_rate": 0.0}], "report_how": "answers",
                "report_fields": ["x0", "x1", "qps"], "stated_cold_from": 0.33, "stated_cold": 15_000_000,
            }
        ],
        "servers": [{"zone": i % 2, "cell": i % n, "speed": 0.1} for i in range(n + 1)],
        "balancers": [{"zone": i % 2, "weight": 1.0} for i in range(n)],
        "troubles": [
            {"kind": "answer_lost", "at": 1_000_000, "len": 2_000_000, "size": 0.3, "extra": 0, "on": [1], "which": 0,
             "steps": [], "how": "reset"},
            {"kind": "deploy", "at": 2_000_000, "len": 2_000_000, "size": 0.3, "extra": 1.0, "on": [], "which": 0,
             "steps": [{"at": 2_500_000, "stop": [2], "start": [3]}]},
            {"kind": "locusts", "at": 0, "len": 1, "size": 1, "extra": 0, "on": [], "which": 0, "steps": []},
        ],
        "fam": {
            "n": n, "pools": False, "capacity": 12.0, "pull": [[0, 1, 1], [1, 0, 0.5], [1, 0.5, 0]], "size": sizes,
            "hold": [2_000_000.0], "width": [1], "advice": 700_000, "drift": 2_000_000, "drift_cv": 0.4,
            "cancel_drops": True, "far": "answers", "finish_first": False, "follow": 0.4, "hot_lines": 5, "look": 0.2,
            "peer_work": 0.1, "queue": 1_500_000.0, "reject": 0.2, "release": 200_000, "tells_wait": False,
            "moon": "full",
        },
        "stars": 5,
    }  # fmt: skip
    return {**bench, **changes}


def test_a_bench_day_is_converted_and_each_dropped_part_is_noted() -> None:
    plain, notes = convert(bench_day(), "drawn", 3)
    converted = checked.read(plain, Day, "drawn")
    check(converted, "drawn")
    assert (
        converted.rules.release_wait == "200000us"
        and converted.offices.reports == "takes"
        and converted.centre
    )
    assert [group.ends for group in converted.groups] == [[0, 1], [0, 2]]
    assert sum(sum(one.calls.values()) for one in converted.exchanges) == pytest.approx(0.9 * 12)
    # Two of the three exchanges are in zone a, which has six tenths of the traffic.
    assert sum(converted.exchanges[0].calls.values()) == pytest.approx(0.9 * 12 * 0.3)
    assert [one.kind for one in converted.troubles] == ["answer_lost", "deploy"]
    assert converted.troubles[0].how == "reset" and converted.troubles[1].on == [2]
    for text in (
        "stars: not known",
        "fam.moon: not known",
        "'locusts': not known, not played",
        "site: not carried",
    ):
        assert any(text in note for note in notes), text


def test_a_bench_day_plays_and_keeps_the_rules() -> None:
    converted = checked.read(convert(bench_day(), "drawn", 3)[0], Day, "drawn")
    result = play_day(converted)
    assert result.verdict.violations == [] and result.service.overall > 0.5


@pytest.mark.parametrize(
    ("value", "message"),
    [
        ([], "not a day file of the bench"),
        ({"fam": {}}, "classes: missing"),
        (bench_day(fam={**bench_day()["fam"], "pools": True}), "pools of agents are not played"),
    ],
)
def test_a_day_that_cannot_be_converted_is_one_clear_error(value: Any, message: str, tmp_path: Path) -> None:
    file = tmp_path / "d.json"
    file.write_text(json.dumps(value))
    code, text = run_command("day", "from-bench", str(file))
    assert code == 2 and message in text


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"rules": {**RULES, "release_wait": "9" * 400 + "s"}}, "rules.release_wait"),
        ({"rules": {**RULES, "cold_for": "99999999999s"}}, "rules.cold_for"),
        ({"use_cases": [{**USES[0], "outer_limit": "1" + "0" * 18 + "us"}]}, "outer_limit"),
        ({"use_cases": [{**USES[0], "payoff": 1e300}]}, "payoff"),
        ({"rules": {**RULES, "cold_multiple": 1e300}}, "cold_multiple"),
        ({"seed": 1 << 80}, "seed"),
        ({"limits": {"most_dials": 1 << 70}}, "most_dials"),
        ({"use_cases": [{**USES[0], "name": "x" * 100_000}]}, "name"),
    ],
)
def test_numbers_out_of_range_are_errors_with_their_field(change: dict[str, Any], message: str) -> None:
    """Without a bound, a duration of 400 digits ended in a traceback, and one of 10^18 us made an answer that cannot be
    encoded."""
    with pytest.raises(InvalidSettings, match=message):
        server.check(checked.read({**SHEET, **change}, server.ServerSettings, "x"), "x")


@pytest.mark.parametrize("number", ["\u00b2", "9" * 5000, "-1", ""])
def test_calls_to_an_exchange_outside_the_day_are_an_error(number: str) -> None:
    plain = msgspec.to_builtins(day())
    plain["exchanges"][0]["calls"] = {number: 1.0}
    with pytest.raises(InvalidSettings, match="no such exchange"):
        check(checked.read(plain, Day, "x"), "x")
