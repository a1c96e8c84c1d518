"""Hooks in service: suspensions, versions, state, and a simulated day with faults and broken hooks."""

from pathlib import Path
from typing import Any

import msgspec
import pytest
from blake3 import blake3
from hypothesis import given, settings
from hypothesis import strategies as st
from world import broken_rules, day, fault_line, play_day

from wellhitch.hooks.containment import (
    FAILURES_TO_SUSPEND,
    FIRST_SUSPENSION_US,
    KEYS_TO_SUSPEND_ALL,
    MAX_SUSPENSION_US,
    STEPS_PER_S,
    HookSuspensions,
    StepBucket,
)
from wellhitch.hooks.grammar import Parser
from wellhitch.hooks.host import CANARY_BUCKETS, MAX_STATE_KEYS, Hooks, HookState, load_version
from wellhitch.hooks.state_file import decode_state, encode_state
from wellhitch.hooks.tree import InvalidHooks
from wellhitch.hooks.values import Duration, ListValue, Record
from wellhitch.lab.fleet import InProcessFleet
from wellhitch.lab.play import DayResult
from wellhitch.stand_ins.simulated_fleet import SimulatedFleet
from wellhitch.trunk import frames
from wellhitch.trunk.capture import Note

PARSER = Parser()
SAMPLES = {file.name: file.read_text() for file in (Path(__file__).parents[1] / "hooks").glob("*.hook")}
TRAFFIC_CLASSES = frozenset({"cheap", "dear", "card-lock", "balance-check", "loan-simulation"})
SECOND = 1_000_000


def facts(**call: Any) -> dict[str, Any]:
    base = {
        "use_case": "cheap", "destination": 1, "called": "1", "width": 1, "redialled": False, "transit": False,
        "tenant": None, "left": SECOND,
    }  # fmt: skip
    return {
        "call": {**base, **call},
        "clock": {"hour": 9, "minute": 0, "weekday": 1, "date": "2026-12-01", "since_start": 0},
        "load": {"held": 0, "own_price": 0.0, "price_there": 0.0, "free_there": None},
        "place": {"number": 0},
    }


def hooks(**texts: str) -> Hooks:
    logged: list[str] = []
    loaded = Hooks(load_version(texts, PARSER), TRAFFIC_CLASSES, lambda event, **fields: logged.append(event))
    return loaded


# ---- suspensions ----


def test_a_key_that_makes_a_hook_fail_is_suspended_alone() -> None:
    suspensions = HookSuspensions()
    outcomes = [suspensions.record_failure("slow tenant", now) for now in range(FAILURES_TO_SUSPEND)]
    assert outcomes == [""] * (FAILURES_TO_SUSPEND - 1) + ["key"]
    assert not suspensions.may_run("slow tenant", 10) and suspensions.may_run("another", 10)
    assert suspensions.may_run("slow tenant", FIRST_SUSPENSION_US + 10)


def test_several_failing_keys_suspend_the_hook_for_all_keys() -> None:
    suspensions = HookSuspensions()
    outcomes = [
        suspensions.record_failure(f"tenant {key}", 0)
        for key in range(KEYS_TO_SUSPEND_ALL)
        for _ in range(FAILURES_TO_SUSPEND)
    ]
    assert outcomes[-1] == "all" and not suspensions.may_run("another tenant", 10)


def test_each_failed_trial_doubles_the_suspension_and_one_success_clears_it() -> None:
    suspensions, now, spans = HookSuspensions(), 0, []
    for _ in range(FAILURES_TO_SUSPEND):
        suspensions.record_failure("t", now)
    for _ in range(12):
        start = now
        while not suspensions.may_run("t", now):
            now += SECOND
        spans.append(now - start)
        suspensions.record_failure("t", now)
    assert spans[0] == FIRST_SUSPENSION_US and spans[1] == 2 * spans[0] and max(spans) == MAX_SUSPENSION_US
    now += MAX_SUSPENSION_US
    suspensions.record_success("t")
    assert "t" not in suspensions.keys and suspensions.record_failure("t", now) == ""


def test_the_hook_of_lowest_priority_is_skipped_first_when_steps_are_short() -> None:
    steps = StepBucket(left=0.4 * STEPS_PER_S, refilled_at=0)
    assert [steps.may_run(place, 3, 0) for place in range(3)] == [True, True, False]
    steps.spend(int(0.3 * STEPS_PER_S))
    assert [steps.may_run(place, 3, 0) for place in range(3)] == [True, False, False]
    assert steps.may_run(2, 3, SECOND)


# ---- merged results ----


def test_of_two_contradicting_results_the_one_of_higher_priority_wins() -> None:
    service = hooks(
        a='on arrive { return {use_case: "dear", favour: 2} }',
        b='on arrive { return {use_case: "cheap", favour: 0.5} }',
    )
    result = service.evaluate("arrive", facts(), "k", 0)
    assert result.use_case == "dear" and result.favour == 1.0


def test_a_hook_that_fails_is_skipped_and_the_next_one_runs() -> None:
    service = hooks(a="on arrive { let x = 1 / 0 }", b="on arrive { return {favour: 2} }")
    for now in range(6):
        assert service.evaluate("arrive", facts(), "k", now).favour == 2
    assert (
        service.counts["hooks_failed.wrong"] == FAILURES_TO_SUSPEND
        and service.counts["hooks_passed_over.benched"] == 3
    )


def test_a_hook_that_is_slow_for_one_tenant_is_suspended_for_that_tenant() -> None:
    text = 'on arrive { if call.tenant == "big" { let n = 0 while n >= 0 { n = n + 1 } } return {favour: 2} }'
    service = hooks(a=text)
    for now in range(10):
        assert service.evaluate("arrive", facts(tenant="big"), "big", now).favour == 1
        assert service.evaluate("arrive", facts(tenant="small"), "small", now).favour == 2
    assert (
        service.counts["hooks_failed.steps"] == FAILURES_TO_SUSPEND
        and service.counts["hooks_benched.key"] == 1
    )


def test_state_expires_and_a_failed_run_stores_none() -> None:
    text = """on arrive {
      let n = recall("n", 0) + 1
      remember("n", n, 2s)
      if call.called == "bad" { let x = 1 / 0 }
      return {tags: [text(n)]}
    }"""
    service = hooks(a=text)
    assert [service.evaluate("arrive", facts(), "k", now).tags for now in (0, 1, 2)] == [
        ("1",),
        ("2",),
        ("3",),
    ]
    assert service.evaluate("arrive", facts(called="bad"), "k", 3).tags == ()
    assert service.evaluate("arrive", facts(), "k", 4).tags == ("4",)
    assert service.evaluate("arrive", facts(), "k", 4 + 2 * SECOND).tags == ("1",)


def test_state_that_grows_is_bounded_and_drops_are_counted() -> None:
    service = hooks(a="on arrive { for i in 90 { remember(call.called + text(i), 1, 1h) } }")
    for n in range(15):
        service.evaluate("arrive", facts(called=f"{n}-"), "k", n)
    assert (
        len(service.states["a"].values) == MAX_STATE_KEYS
        and service.counts["hooks_state_dropped"] == 15 * 90 - MAX_STATE_KEYS
    )


def test_state_survives_a_swap_of_versions() -> None:
    service = hooks(a='on arrive { remember("n", recall("n", 0) + 1, 1h) return {tags: ["old"]} }')
    service.evaluate("arrive", facts(), "k", 0)
    old = service.version
    new = load_version({"a": 'on arrive { return {tags: ["new " + text(recall("n", 0))]} }'}, PARSER)
    service.swap(new)
    assert service.evaluate("arrive", facts(), "k", 1).tags == ("new 1",)
    service.swap(old)
    assert service.evaluate("arrive", facts(), "k", 2).tags == ("old",) and old.digest != new.digest


def test_a_version_that_fails_its_own_tests_is_rejected() -> None:
    with pytest.raises(InvalidHooks, match="a:1:36: test 'no': expectation failed"):
        load_version(
            {"a": 'on arrive { return } test "no" {   expect arrive({}, {}, {}, {}) != none }'}, PARSER
        )


def test_the_sample_hooks_pass_their_own_tests() -> None:
    assert len(SAMPLES) >= 6
    assert len(load_version(SAMPLES, PARSER).programs) == len(SAMPLES)


# ---- broken hooks in a simulated day ----

BROKEN = {
    "a-loops": 'on arrive { if call.use_case == "dear" { let n = 0 while n >= 0 { n = n + 1 } } }',
    "b-allocates": "on arrive { let a = [1] while length(a) > 0 { a = a + a } }",
    "c-raises": """
        on arrive { let x = 1 / 0 }
        on answer { let x = [][1] }
        on list { let x = [office][1] }
        on tick { let x = place.number / 0 }""",
    "d-wrong-type": "on arrive { let x = [] x = 5 return x }",
    "e-lies": 'on arrive { let c = "unknown" return {use_case: c} }',
    "f-changes": """on arrive {
        let n = recall("n", 0)
        remember("n", n + 1, 1h)
        if n % 2 == 0 { return {favour: 9} }
        return {favour: -9}
    }""",
    "g-fills": """on arrive {
        let n = recall("n", 0)
        remember("n", n + 200, 1h)
        for i in 90 { remember(text(n + i), i, 1h) }
    }""",
    "h-deep": "function f(x) { return f([x]) } on tick { f(1) } on arrive { f(1) }",
    "i-undoes": "on arrive { return {favour: 0.4} }",
    "j-undone": "on arrive { return {favour: 2.5} }",
}


def day_with_faults(texts: dict[str, str]) -> DayResult:
    troubles = [
        fault_line("crash", at="2s", length="1s", on=[1]),
        fault_line("deploy", at="3s", on=[2], size=0.34, extra=2),
        fault_line("answer_lost", at="5s", length="3s", size=0.2),
    ]
    return play_day(day(n=3, rate=12, troubles=troubles, hooks=texts))


def test_a_day_with_faults_and_broken_hooks() -> None:
    plain, broken = day_with_faults({}), day_with_faults(BROKEN)
    assert broken_rules(plain) == broken_rules(broken) == []
    assert not broken.left_open and not broken.leaked_circuits
    counts = broken.servers[0]["counts"]
    kinds = [name for name in counts if name.startswith("hooks_failed.")]
    assert {"hooks_failed.steps", "hooks_failed.memory", "hooks_failed.wrong", "hooks_failed.answer"} <= set(
        kinds
    )
    assert counts["hooks_benched.all"] >= 3 and counts["hooks_passed_over.benched"] > 50
    medians = [
        sorted(done.service.setup_times_us)[len(done.service.setup_times_us) // 2] for done in (plain, broken)
    ]
    assert medians[1] < 1.1 * medians[0]


def test_a_favoured_traffic_class_is_rejected_less_under_load() -> None:
    slow = fault_line("slow", at="1s", length="9s", size=4)
    favoured = {"a": 'on arrive { if call.use_case == "dear" { return {favour: 3} } }'}
    plain = play_day(day(rate=25, troubles=[slow])).service.by_traffic_class["dear"]
    moved = play_day(day(rate=25, troubles=[slow], hooks=favoured)).service.by_traffic_class["dear"]
    assert moved.rejected / moved.asked < 0.6 * plain.rejected / plain.asked


def test_a_rejection_and_a_traffic_class_from_hooks_take_effect() -> None:
    texts = {
        "a": 'on arrive { if call.destination == 1 { return {push_back: "closed"} } return {use_case: "dear"} }'
    }
    done = play_day(day(hooks=texts))
    assert done.verdict.violations == []
    counts = done.servers[0]["counts"]
    assert counts["hooks_pushed_back"] > 5 and counts["hooks_named_use_case"] > 5


def test_a_shadow_decides_nothing_and_its_differences_are_counted() -> None:
    service = hooks(a="on arrive { return {favour: 2} }")
    service.start_shadow(
        load_version(
            {"a": 'on arrive { if call.called == "7" { return {favour: 3} } return {favour: 2} }'}, PARSER
        )
    )
    for called in range(10):
        result, digest = service.consult("arrive", facts(called=str(called)), "k", called, str(called))
        assert result.favour == 2 and digest == service.version.digest
    assert service.counts["hooks_shadow.differs"] == 1 and service.counts["hooks_shadow.same"] == 9


def test_a_canary_decides_for_its_share_of_called_numbers_and_always_the_same() -> None:
    service = hooks(a="on arrive { return {favour: 2} }")
    service.start_shadow(load_version({"a": "on arrive { return {favour: 3} }"}, PARSER))
    service.canary = CANARY_BUCKETS // 5
    first = [service.consult("arrive", facts(called=str(n)), "k", n, str(n)) for n in range(500)]
    again = [service.consult("arrive", facts(called=str(n)), "k", n, str(n)) for n in range(500)]
    assert first == again
    assert 60 < sum(result.favour == 3 for result, _ in first) < 140
    assert all((result.favour == 3) == (digest != service.version.digest) for result, digest in first)


def test_a_failing_shadow_does_not_affect_the_deciding_version() -> None:
    service = hooks(a="on arrive { return {favour: 2} }")
    service.start_shadow(load_version({"a": "on arrive { let n = 0 while n >= 0 { n = n + 1 } }"}, PARSER))
    for now in range(50):
        assert service.consult("arrive", facts(), "k", now, "1")[0].favour == 2
    assert service.shadow is not None and service.shadow.counts["hooks_failed.steps"] == FAILURES_TO_SUSPEND
    assert not any(name.startswith("hooks_failed") for name in service.counts)


def test_operator_commands_change_versions_while_calls_arrive() -> None:
    texts = {"a": "on arrive { return {favour: 2} }"}
    sheet_hooks = dict(texts)
    replies: list[str] = []

    def operate(simulation: SimulatedFleet, fleet: InProcessFleet) -> None:
        def request(command: str, text: str | None = None) -> None:
            if text:
                sheet_hooks["a"] = text
            daemon = fleet.daemons[0]
            daemon.read_hooks = lambda: sheet_hooks
            replies.append(daemon.hooks_request(command))

        steps = [
            ("reload", "on arrive { return {favour: 3} }"),
            ("back", None),
            ("reload", "on arrive { return 5 }"),
            ("shadow", 'on arrive { return {push_back: "x"} }'),
            ("canary 200", None),
            ("canary 50", None),
            ("", None),
            ("take", None),
            ("back", None),
            ("drop", None),
        ]
        for index, (command, text) in enumerate(steps):
            simulation.loop.call_later(4 + index * 0.5, request, command, text)

    done = play_day(day(rate=30, hooks=texts), prepare=operate)
    assert done.verdict.violations == [] and not done.left_open
    assert "runs from now on; hooks back" in replies[0] and "runs from now on" in replies[1]
    assert replies[2].startswith("not taken") and "returns a record or nothing" in replies[2]
    assert "decides nothing" in replies[3] and "a percentage" in replies[4] and "50% of called" in replies[5]
    assert (
        '"canary_percent": 50.0' in replies[6]
        and "runs from now on" in replies[7]
        and replies[9].startswith("no shadow")
    )
    assert done.servers[0]["counts"]["hooks_pushed_back"] > 10


def test_the_version_that_decided_is_in_the_capture() -> None:
    texts = {"a": 'on arrive { if call.destination == 1 { return {push_back: "closed"} } }'}
    done = play_day(day(hooks=texts, length="4s"))
    finals = [
        line.frame
        for capture in done.captures
        if capture.party == "callers"
        for line in capture.records
        if not isinstance(line, Note) and isinstance(line.frame, frames.Final)
    ]
    assert {final.hooks_version for final in finals} == {load_version(texts, PARSER).digest}


def example_states() -> dict[str, HookState]:
    state = HookState()
    record = Record({"n": 1, "spans": ListValue((Duration(5), None, True), 1)}, 2)
    state.values = {"a": (record, 10 * SECOND), "ended": (1, 0)}
    return {"f": state}


def test_state_is_restored_with_its_remaining_lifetime() -> None:
    states, messages = decode_state(encode_state(example_states(), SECOND), 100 * SECOND)
    assert messages == [] and states["f"].values == {
        "a": (example_states()["f"].values["a"][0], 109 * SECOND)
    }
    assert decode_state(b"", 0) == ({}, [])


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 200), st.integers(0, 255))
def test_a_damaged_file_is_dropped_with_a_message(position: int, byte: int) -> None:
    data = bytearray(encode_state(example_states(), 0))
    position %= len(data)
    changed = data[position] != byte and not (position == len(data) - 1 and bytes((byte,)).isspace())
    data[position] = byte
    states, messages = decode_state(bytes(data), 0)
    if changed and bytes(data).strip() != encode_state(example_states(), 0).strip():
        assert states == {} and "dropped" in messages[0]


@pytest.mark.parametrize(
    ("body", "message"),
    [
        ({"form": 2, "files": {}}, "form 2"),
        ({"form": 1, "files": {"f": 5}}, "unexpected structure"),
        ({"form": 1, "files": {"f": {"k": [[1] * 100, 5]}}}, "too large"),
        ({"form": 1, "files": {"f": {"k": [{"x": 1}, 5]}}}, "not a value"),
        ({"form": 1, "files": {"f": {"k" * 65: [1, 5]}}}, "too large"),
        ({"form": 1, "files": {"f": {"k": [1e300, 5]}}}, "out of range"),
        ({"form": 1, "files": {"f": {str(n): [1, 5] for n in range(1200)}}}, "1200 keys"),
    ],
)
def test_oversized_or_invalid_state_is_dropped_with_a_message(body: Any, message: str) -> None:
    line = msgspec.json.encode(body)
    states, messages = decode_state(line + b"\n" + blake3(line).hexdigest().encode(), 0)
    assert message in messages[0] and sum(len(state.values) for state in states.values()) <= MAX_STATE_KEYS
