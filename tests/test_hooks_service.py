"""Hooks in service: containment, versions, state, and a bad day with broken hooks."""

from pathlib import Path
from typing import Any

import msgspec
import pytest
from blake3 import blake3
from hypothesis import given, settings
from hypothesis import strategies as st
from world import day, played, rules, trouble

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
from wellhitch.lab.fleet import InProcess
from wellhitch.lab.play import Played
from wellhitch.stand_ins.town import Town
from wellhitch.trunk import frames
from wellhitch.trunk.capture import Note

PARSER = Parser()
SAMPLES = {file.name: file.read_text() for file in (Path(__file__).parents[1] / "hooks").glob("*.hook")}
USE_CASES = frozenset({"cheap", "dear", "card-lock", "balance-check", "loan-simulation"})
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
    said: list[str] = []
    made = Hooks(load_version(texts, PARSER), USE_CASES, lambda event, **f: said.append(event))
    return made


# ---- containment ----


def test_a_key_that_makes_a_hook_fail_is_benched_alone() -> None:
    standing = HookSuspensions()
    told = [standing.record_failure("slow tenant", now) for now in range(FAILURES_TO_SUSPEND)]
    assert told == [""] * (FAILURES_TO_SUSPEND - 1) + ["key"]
    assert not standing.may_run("slow tenant", 10) and standing.may_run("another", 10)
    assert standing.may_run("slow tenant", FIRST_SUSPENSION_US + 10)


def test_several_keys_bench_the_hook_for_all() -> None:
    standing = HookSuspensions()
    told = [
        standing.record_failure(f"tenant {key}", 0)
        for key in range(KEYS_TO_SUSPEND_ALL)
        for _ in range(FAILURES_TO_SUSPEND)
    ]
    assert told[-1] == "all" and not standing.may_run("anybody", 10)


def test_each_failed_trial_doubles_the_bench_and_one_good_run_clears_it() -> None:
    standing, now, spans = HookSuspensions(), 0, []
    for _ in range(FAILURES_TO_SUSPEND):
        standing.record_failure("t", now)
    for _ in range(12):
        start = now
        while not standing.may_run("t", now):
            now += SECOND
        spans.append(now - start)
        standing.record_failure("t", now)
    assert spans[0] == FIRST_SUSPENSION_US and spans[1] == 2 * spans[0] and max(spans) == MAX_SUSPENSION_US
    now += MAX_SUSPENSION_US
    standing.record_success("t")
    assert "t" not in standing.keys and standing.record_failure("t", now) == ""


def test_the_lowest_hook_is_passed_over_first_when_steps_are_short() -> None:
    steps = StepBucket(left=0.4 * STEPS_PER_S, at=0)
    assert [steps.may_run(place, 3, 0) for place in range(3)] == [True, True, False]
    steps.spend(int(0.3 * STEPS_PER_S))
    assert [steps.may_run(place, 3, 0) for place in range(3)] == [True, False, False]
    assert steps.may_run(2, 3, SECOND)


# ---- what hooks say together ----


def test_of_two_that_undo_each_other_the_higher_holds() -> None:
    made = hooks(
        a='on arrive { return {use_case: "dear", favour: 2} }',
        b='on arrive { return {use_case: "cheap", favour: 0.5} }',
    )
    said = made.evaluate("arrive", facts(), "k", 0)
    assert said.use_case == "dear" and said.favour == 1.0


def test_a_hook_that_fails_is_passed_over_and_the_next_one_runs() -> None:
    made = hooks(a="on arrive { let x = 1 / 0 }", b="on arrive { return {favour: 2} }")
    for now in range(6):
        assert made.evaluate("arrive", facts(), "k", now).favour == 2
    assert (
        made.counts["hooks_failed.wrong"] == FAILURES_TO_SUSPEND
        and made.counts["hooks_passed_over.benched"] == 3
    )


def test_a_hook_that_is_slow_for_one_tenant_is_benched_for_that_tenant() -> None:
    text = 'on arrive { if call.tenant == "big" { let n = 0 while n >= 0 { n = n + 1 } } return {favour: 2} }'
    made = hooks(a=text)
    for now in range(10):
        assert made.evaluate("arrive", facts(tenant="big"), "big", now).favour == 1
        assert made.evaluate("arrive", facts(tenant="small"), "small", now).favour == 2
    assert made.counts["hooks_failed.steps"] == FAILURES_TO_SUSPEND and made.counts["hooks_benched.key"] == 1


def test_state_is_kept_for_its_time_and_a_failed_run_keeps_nothing() -> None:
    text = """on arrive {
      let n = recall("n", 0) + 1
      remember("n", n, 2s)
      if call.called == "bad" { let x = 1 / 0 }
      return {tags: [text(n)]}
    }"""
    made = hooks(a=text)
    assert [made.evaluate("arrive", facts(), "k", now).tags for now in (0, 1, 2)] == [("1",), ("2",), ("3",)]
    assert made.evaluate("arrive", facts(called="bad"), "k", 3).tags == ()
    assert made.evaluate("arrive", facts(), "k", 4).tags == ("4",)
    assert made.evaluate("arrive", facts(), "k", 4 + 2 * SECOND).tags == ("1",)


def test_state_that_grows_is_bounded_and_told() -> None:
    made = hooks(a="on arrive { for i in 90 { remember(call.called + text(i), 1, 1h) } }")
    for n in range(15):
        made.evaluate("arrive", facts(called=f"{n}-"), "k", n)
    assert (
        len(made.states["a"].values) == MAX_STATE_KEYS
        and made.counts["hooks_state_dropped"] == 15 * 90 - MAX_STATE_KEYS
    )


def test_a_swap_is_whole_and_state_survives_it() -> None:
    made = hooks(a='on arrive { remember("n", recall("n", 0) + 1, 1h) return {tags: ["old"]} }')
    made.evaluate("arrive", facts(), "k", 0)
    old = made.version
    new = load_version({"a": 'on arrive { return {tags: ["new " + text(recall("n", 0))]} }'}, PARSER)
    made.swap(new)
    assert made.evaluate("arrive", facts(), "k", 1).tags == ("new 1",)
    made.swap(old)
    assert made.evaluate("arrive", facts(), "k", 2).tags == ("old",) and old.digest != new.digest


def test_a_version_that_fails_its_own_tests_is_not_taken() -> None:
    with pytest.raises(InvalidHooks, match="a:1:36: test 'no': what is expected is not so"):
        load_version(
            {"a": 'on arrive { return } test "no" {   expect arrive({}, {}, {}, {}) != none }'}, PARSER
        )


def test_the_samples_pass_their_own_tests() -> None:
    assert len(SAMPLES) >= 6
    assert len(load_version(SAMPLES, PARSER).programs) == len(SAMPLES)


# ---- the broken hooks, on the whole path ----

BROKEN = {
    "a-loops": 'on arrive { if call.use_case == "dear" { let n = 0 while n >= 0 { n = n + 1 } } }',
    "b-allocates": "on arrive { let a = [1] while length(a) > 0 { a = a + a } }",
    "c-raises": """
        on arrive { let x = 1 / 0 }
        on answer { let x = [][1] }
        on list { let x = [office][1] }
        on tick { let x = place.number / 0 }""",
    "d-wrong-type": "on arrive { let x = [] x = 5 return x }",
    "e-lies": 'on arrive { let c = "unheard-of" return {use_case: c} }',
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


def bad_day(texts: dict[str, str]) -> Played:
    troubles = [
        trouble("crash", at="2s", length="1s", on=[1]),
        trouble("deploy", at="3s", on=[2], size=0.34, extra=2),
        trouble("answer_lost", at="5s", length="3s", size=0.2),
    ]
    return played(day(n=3, rate=12, troubles=troubles, hooks=texts))


def test_a_bad_day_with_broken_hooks() -> None:
    plain, broken = bad_day({}), bad_day(BROKEN)
    assert rules(plain) == rules(broken) == []
    assert not broken.left_open and not broken.lost_circuits
    counts = broken.servers[0]["counts"]
    kinds = [name for name in counts if name.startswith("hooks_failed.")]
    assert {"hooks_failed.steps", "hooks_failed.memory", "hooks_failed.wrong", "hooks_failed.answer"} <= set(
        kinds
    )
    assert counts["hooks_benched.all"] >= 3 and counts["hooks_passed_over.benched"] > 50
    medians = [sorted(done.service.set_up_us)[len(done.service.set_up_us) // 2] for done in (plain, broken)]
    assert medians[1] < 1.1 * medians[0]


def test_favour_moves_who_is_pushed_back_under_pressure() -> None:
    slow = trouble("slow", at="1s", length="9s", size=4)
    favoured = {"a": 'on arrive { if call.use_case == "dear" { return {favour: 3} } }'}
    plain = played(day(rate=25, troubles=[slow])).service.by_use_case["dear"]
    moved = played(day(rate=25, troubles=[slow], hooks=favoured)).service.by_use_case["dear"]
    assert moved.pushed_back / moved.asked < 0.6 * plain.pushed_back / plain.asked


def test_a_push_back_and_a_named_use_case_reach_the_callers() -> None:
    texts = {
        "a": 'on arrive { if call.destination == 1 { return {push_back: "closed"} } return {use_case: "dear"} }'
    }
    done = played(day(hooks=texts))
    assert done.verdict.breaks == []
    counts = done.servers[0]["counts"]
    assert counts["hooks_pushed_back"] > 5 and counts["hooks_named_use_case"] > 5


def test_a_shadow_decides_nothing_and_its_differences_are_counted() -> None:
    made = hooks(a="on arrive { return {favour: 2} }")
    made.start_shadow(
        load_version(
            {"a": 'on arrive { if call.called == "7" { return {favour: 3} } return {favour: 2} }'}, PARSER
        )
    )
    for called in range(10):
        said, mark = made.consult("arrive", facts(called=str(called)), "k", called, str(called))
        assert said.favour == 2 and mark == made.version.digest
    assert made.counts["hooks_shadow.differs"] == 1 and made.counts["hooks_shadow.same"] == 9


def test_a_canary_decides_for_its_share_of_called_numbers_and_always_the_same() -> None:
    made = hooks(a="on arrive { return {favour: 2} }")
    made.start_shadow(load_version({"a": "on arrive { return {favour: 3} }"}, PARSER))
    made.canary = CANARY_BUCKETS // 5
    first = [made.consult("arrive", facts(called=str(n)), "k", n, str(n)) for n in range(500)]
    again = [made.consult("arrive", facts(called=str(n)), "k", n, str(n)) for n in range(500)]
    assert first == again
    assert 60 < sum(said.favour == 3 for said, _ in first) < 140
    assert all((said.favour == 3) == (mark != made.version.digest) for said, mark in first)


def test_a_failing_shadow_costs_nobody_anything() -> None:
    made = hooks(a="on arrive { return {favour: 2} }")
    made.start_shadow(load_version({"a": "on arrive { let n = 0 while n >= 0 { n = n + 1 } }"}, PARSER))
    for now in range(50):
        assert made.consult("arrive", facts(), "k", now, "1")[0].favour == 2
    assert made.shadow is not None and made.shadow.counts["hooks_failed.steps"] == FAILURES_TO_SUSPEND
    assert not any(name.startswith("hooks_failed") for name in made.counts)


def test_operators_swap_shadow_and_go_back_in_the_middle_of_a_flood() -> None:
    texts = {"a": "on arrive { return {favour: 2} }"}
    now_in_the_sheet = dict(texts)
    said: list[str] = []

    def hand(town: Town, fleet: InProcess) -> None:
        def ask(what: str, text: str | None = None) -> None:
            if text:
                now_in_the_sheet["a"] = text
            daemon = fleet.daemons[0]
            daemon.reread = lambda: now_in_the_sheet
            said.append(daemon.hooks_asked(what))

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
        for at, (what, text) in enumerate(steps):
            town.loop.call_later(4 + at * 0.5, ask, what, text)

    done = played(day(rate=30, hooks=texts), meddle=hand)
    assert done.verdict.breaks == [] and not done.left_open
    assert "runs from now on; hooks back" in said[0] and "runs from now on" in said[1]
    assert said[2].startswith("not taken") and "returns a record or nothing" in said[2]
    assert "decides nothing" in said[3] and "a percentage" in said[4] and "50% of called" in said[5]
    assert (
        '"canary_percent": 50.0' in said[6]
        and "runs from now on" in said[7]
        and said[9].startswith("no shadow")
    )
    assert done.servers[0]["counts"]["hooks_pushed_back"] > 10


def test_the_version_that_decided_is_in_the_capture() -> None:
    texts = {"a": 'on arrive { if call.destination == 1 { return {push_back: "closed"} } }'}
    done = played(day(hooks=texts, length="4s"))
    finals = [
        line.frame
        for one in done.captures
        if one.party == "callers"
        for line in one.records
        if not isinstance(line, Note) and isinstance(line.frame, frames.Final)
    ]
    assert {final.hooks_version for final in finals} == {load_version(texts, PARSER).digest}


def remembering() -> dict[str, HookState]:
    kept = HookState()
    shown = Record({"n": 1, "spans": ListValue((Duration(5), None, True), 1)}, 2)
    kept.values = {"a": (shown, 10 * SECOND), "ended": (1, 0)}
    return {"f": kept}


def test_what_is_remembered_comes_back_with_what_is_left_of_its_time() -> None:
    found, words = decode_state(encode_state(remembering(), SECOND), 100 * SECOND)
    assert words == [] and found["f"].values == {"a": (remembering()["f"].values["a"][0], 109 * SECOND)}
    assert decode_state(b"", 0) == ({}, [])


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 200), st.integers(0, 255))
def test_a_damaged_file_is_dropped_with_a_word(at: int, byte: int) -> None:
    data = bytearray(encode_state(remembering(), 0))
    at %= len(data)
    changed = data[at] != byte and not (at == len(data) - 1 and bytes((byte,)).isspace())
    data[at] = byte
    found, words = decode_state(bytes(data), 0)
    if changed and bytes(data).strip() != encode_state(remembering(), 0).strip():
        assert found == {} and "dropped" in words[0]


@pytest.mark.parametrize(
    ("body", "word"),
    [
        ({"form": 2, "files": {}}, "form 2"),
        ({"form": 1, "files": {"f": 5}}, "not as it should be"),
        ({"form": 1, "files": {"f": {"k": [[1] * 100, 5]}}}, "too large"),
        ({"form": 1, "files": {"f": {"k": [{"x": 1}, 5]}}}, "no value"),
        ({"form": 1, "files": {"f": {"k" * 65: [1, 5]}}}, "too large"),
        ({"form": 1, "files": {"f": {"k": [1e300, 5]}}}, "out of bounds"),
        ({"form": 1, "files": {"f": {str(n): [1, 5] for n in range(1200)}}}, "1200 keys"),
    ],
)
def test_oversized_or_foreign_state_is_dropped_with_a_word(body: Any, word: str) -> None:
    line = msgspec.json.encode(body)
    found, words = decode_state(line + b"\n" + blake3(line).hexdigest().encode(), 0)
    assert word in words[0] and sum(len(one.values) for one in found.values()) <= MAX_STATE_KEYS
