"""Whole days in virtual time: every trouble bites, and in the hard cases the rules are kept by the captures."""

import hashlib
from collections.abc import Callable
from typing import Any

import pytest
from world import RULES, USE_CASES, broken_rules, day, fault_line, play_day

from wellhitch.lab.fleet import InProcessFleet
from wellhitch.lab.play import DayResult
from wellhitch.settings.day import FAULT_KINDS, Day
from wellhitch.stand_ins.faults import FAULT_INJECTORS
from wellhitch.stand_ins.simulated_fleet import SimulatedFleet
from wellhitch.trunk import frames
from wellhitch.trunk.capture import Note


def frames_of(done: DayResult, kind: type, party: str, way: str) -> list[Any]:
    """Frames of one kind that a party saw."""
    return [
        line
        for one in done.captures
        if one.party == party
        for line in one.records
        if not isinstance(line, Note) and line.direction == way and isinstance(line.frame, kind)
    ]


def notes_of(done: DayResult, what: str, party: str) -> list[Note]:
    """Notes of one kind."""
    found = [
        line for one in done.captures if one.party == party for line in one.records if isinstance(line, Note)
    ]
    return [note for note in found if note.kind == what]


def served(done: DayResult) -> float:
    return done.service.overall


def slowest(done: DayResult) -> int:
    times = sorted(done.service.setup_times_us)
    return times[int(len(times) * 0.9)]


def cut(done: DayResult) -> int:
    return sum(one.cut for one in done.service.by_traffic_class.values())


def count(name: str) -> Callable[[DayResult], int]:
    """A count of the offices."""
    return lambda done: sum(office.get(name, 0) for office in done.offices.values())


def tell(name: str) -> Callable[[DayResult], int]:
    """A count that the call servers tell of themselves."""
    return lambda done: sum(status.get("counts", {}).get(name, 0) for status in done.servers.values())


def asked(done: DayResult) -> int:
    return sum(one.asked for one in done.service.by_traffic_class.values())


def most_of_one(done: DayResult) -> int:
    return max(status.get("counts", {}).get("taken", 0) for status in done.servers.values())


def short_tries(done: DayResult) -> int:
    return sum(line.frame.left < 2_000_000 for line in frames_of(done, frames.Call, "callers", "out"))


def fresh_offices(done: DayResult) -> int:
    return sum("." in name for name in done.offices)


def told_twice(done: DayResult) -> int:
    return len(frames_of(done, frames.Answer, "office", "out")) - count("answered")(done)


def old_lists(done: DayResult) -> int:
    return tell("lists_skipped")(done)


def oldest_load(done: DayResult) -> int:
    """How often a load of no wait is told though the processor is pressed: the report is old."""
    loads = [
        line.frame.load.wait for line in frames_of(done, frames.Answer, "office", "out") if line.frame.load
    ]
    return sum(wait == 0 for wait in loads)


TOLD = {"limits": {"may_tell_peers": True}}


def words_missed(done: DayResult) -> int:
    return -tell("event.PeerSaid")(done)


def downs(done: DayResult) -> int:
    return len(notes_of(done, "down", "office"))


def longest_pause(done: DayResult) -> int:
    """The longest time between two answers to one exchange's callers."""
    out = 0
    for one in done.captures:
        if one.party == "callers":
            times = [
                line.time_us for line in one.records if not isinstance(line, Note) and line.direction == "in"
            ]
            out = max([out, *(b - a for a, b in zip(times, times[1:], strict=False))])
    return out


def latest_answer(done: DayResult) -> int:
    """How much of its time the answer that came last within it had left, less than nothing."""
    asked, out = dict[tuple[str, int], tuple[int, int]](), -(1 << 40)
    for one in done.captures:
        if one.party == "callers":
            for line in one.records:
                if isinstance(line, Note):
                    continue
                if isinstance(line.frame, frames.Call):
                    asked[one.name, line.frame.id] = line.time_us, line.frame.left
                elif isinstance(line.frame, frames.Final):
                    since, left = asked[one.name, line.frame.id]
                    out = max(out, line.time_us - since - left)
    return out


MORE: dict[str, tuple[dict[str, Any], Callable[[DayResult], float], dict[str, Any]]] = {
    "slow": ({"size": 8, "on": [1]}, slowest, {}),
    "hang": ({"on": [1]}, lambda done: -served(done), {}),
    "answer_lost": ({"size": 0.4}, count("answers_lost"), {}),
    "burst": ({"size": 3}, asked, {}),
    "hot_caller": ({"size": 1.0, "on": [2]}, most_of_one, {}),
    "hot_number": ({"size": 0.8, "on": [1]}, count("lines_busy"), {}),
    "give_up": ({"size": 0.9, "extra": 0.2}, short_tries, {}),
    "deploy": ({"on": [0, 1], "size": 0.34, "extra": 1}, fresh_offices, {}),
    "neighbour": ({"size": 0.9, "extra": 1}, slowest, {}),
    "shared_slow": ({"size": 6}, slowest, {}),
    "origin_slow": ({"size": 60, "on": [0]}, cut, {"zoned": True}),
    "report_late": ({"size": 3}, oldest_load, {"offices": {"reports": "wait"}, "rate": 25.0}),
    "balancer_crash": ({"on": [1], "length": "1s"}, cut, {}),
    "ageing": ({"size": 10, "extra": 1, "on": [1]}, fresh_offices, {}),
    "mass_restart": ({"on": [0, 1, 2], "length": "1s"}, fresh_offices, {}),
    "errors": ({"size": 0.5}, count("fault"), {}),
    "crash": ({"on": [1], "length": "1s"}, cut, {}),
    "link_cut": ({"on": [1]}, downs, {}),
    "half_open": ({"on": [1], "length": "5s"}, downs, {}),
    "reads_nothing": ({"on": [1]}, slowest, {}),
    "trickle": ({}, slowest, {"setup": "100us"}),
    "mid_frame_reset": ({"on": [1]}, downs, {}),
    "garbage": ({"on": [1]}, downs, {}),
    "answer_twice": ({"size": 0.5}, told_twice, {}),
    "answer_reordered": ({"size": 0.5}, count("answers_reordered"), {}),
    "words_lost": ({"length": "6s"}, words_missed, TOLD),
    "words_late": ({"size": 30, "length": "8s"}, words_missed, TOLD),
    "answer_after_release": ({}, told_twice, {}),
    "list_goes_back": (
        {},
        old_lists,
        {"with": [fault_line("deploy", at="3s", on=[0, 1], size=0.34, extra=1)]},
    ),
    "register_restart": ({"size": 2}, lambda done: len(notes_of(done, "down", "register")), {}),
    "server_paused": ({"on": [1], "length": "2s"}, longest_pause, {}),
    "server_killed": ({"on": [1], "length": "1s"}, cut, {}),
    "server_stalls": (
        {"size": 40, "extra": 0.05, "length": "8s"},
        latest_answer,
        {"with": [fault_line("hang", on=[1])], "rate": 20.0},
    ),
}


def test_every_kind_of_trouble_has_its_play_and_its_proof() -> None:
    assert set(FAULT_INJECTORS) == set(FAULT_KINDS) == set(MORE)


@pytest.mark.parametrize("kind", FAULT_KINDS)
def test_a_trouble_bites_and_the_rules_hold(kind: str) -> None:
    line, bite, over = MORE[kind]
    over = dict(over)
    always = over.pop("with", [])
    if over.pop("zoned", False):
        over["exchanges"] = [
            {"number": n, "zone": "ab"[n % 2], "setup": "10ms", "calls": {str((n + 1) % 3): 8}}
            for n in range(3)
        ]
    quiet = play_day(day(**over, troubles=always))
    ill = play_day(day(**over, troubles=[*always, fault_line(kind, **line)]))
    assert quiet.verdict.violations == [] and ill.verdict.violations == []
    assert bite(ill) > bite(quiet), f"{bite(ill)} with {kind}, {bite(quiet)} without"
    assert not ill.left_open and not ill.leaked_circuits


# ---- one seed, one history ----


def digest(done: DayResult) -> str:
    return hashlib.sha256(repr([(one.name, one.records) for one in done.captures]).encode()).hexdigest()


def mixed() -> Day:
    kinds = [
        fault_line("answer_lost", at="1s", size=0.3),
        fault_line("deploy", at="2s", on=[0, 1], size=0.34, extra=1),
        fault_line("server_paused", at="4s", length="1s", on=[2]),
        fault_line("link_cut", at="5s", on=[1]),
        fault_line("server_killed", at="6s", length="1s", on=[0]),
    ]
    return day(net={"same": "2ms", "cross": "2ms", "jitter": 0.3}, troubles=kinds)


def test_the_same_seed_gives_the_same_captures_and_another_does_not() -> None:
    one, two = play_day(mixed()), play_day(mixed())
    assert digest(one) == digest(two) and one.verdict.violations == []
    other = play_day(day(seed=8))
    assert digest(other) != digest(play_day(day()))


# ---- hard cases ----


def test_an_office_drains_while_it_reads_nothing() -> None:
    """Set-ups lie unread in buffers that are not ours; none is worked on after the grace."""
    made = day(
        rate=20,
        troubles=[
            fault_line("reads_nothing", at="3s", length="4s", on=[1]),
            fault_line("deploy", at="3500ms", on=[1], size=0.34, extra=6),
        ],
    )
    done = play_day(made)
    assert done.verdict.violations == []
    assert tell("resets_of_drained")(done) > 0


def test_a_tandems_process_is_killed_with_dialogues_in_transit() -> None:
    groups = [{"ends": [0, 2], "size": 100}, {"ends": [1, 2], "size": 100}]
    told = {"may_tell_peers": True}
    killed = [fault_line("server_killed", length="2s", on=[2])]
    done = play_day(day(groups=groups, limits=told, rate=12, troubles=killed))
    assert done.verdict.violations == [] and done.verdict.examined["transits"] > 50
    assert cut(done) > 5 and not done.leaked_circuits and not done.left_open


def test_a_restarted_call_server_names_no_dialogue_as_the_one_before_did() -> None:
    done = play_day(day(rate=15, troubles=[fault_line("server_killed", length="1s", on=[0])]))
    lives = {
        line.frame.dialogue >> 32
        for line in frames_of(done, frames.Setup, "office", "in")
        if line.number == 0
    }
    assert lives == {1, 2} and done.verdict.violations == []


def test_a_link_flaps_faster_than_the_release_wait() -> None:
    done = play_day(day(rate=15, troubles=[fault_line("link_cut", size=30, extra=0.12, on=[1])]))
    assert done.verdict.violations == [] and not done.leaked_circuits
    assert downs(done) >= 40


def test_the_register_restarts_with_an_older_list_than_ours() -> None:
    """What drained stays drained: the older list is skipped until the register has caught up."""
    made = day(
        rate=12,
        troubles=[
            fault_line("deploy", at="2s", on=[1], size=0.34, extra=6),
            fault_line("register_restart", at="4s", size=3),
        ],
    )
    done = play_day(made)
    assert done.verdict.violations == [] and tell("lists_skipped")(done) >= 3


def test_all_offices_come_up_at_once_and_cold() -> None:
    done = play_day(day(n=4, rate=20, setup="20ms", troubles=[fault_line("mass_restart", length="500ms")]))
    assert done.verdict.violations == [] and done.verdict.examined["cold_setups"] > 20
    assert not count("fell_over")(done)


def test_call_servers_with_clocks_an_hour_apart() -> None:
    made = mixed()
    apart = play_day(made, clock_offsets_s={0: 3600.0, 1: 0.0, 2: -0.5 + 7200.0})
    assert apart.verdict.violations == []
    assert abs(served(apart) - served(play_day(made))) < 0.05


def test_a_call_server_that_stands_still_answers_what_it_owes_once_it_goes_on() -> None:
    made = day(rate=20, setup="4ms", troubles=[fault_line("server_paused", length="2s", on=[0, 1])])
    done = play_day(made)
    assert done.verdict.violations == [] and not done.left_open
    assert longest_pause(done) >= 2_000_000


@pytest.mark.parametrize(
    "over",
    [
        {"n": 1},
        {"n": 2},
        {"group": 0},
        {"group": 1},
        {"limits": {"most_dials": 1}},
        {"limits": {"may_cancel": False, "max_open": 1}},
        {"rules": {**RULES, "release_wait": "20s"}},
        {"rules": {**RULES, "release_wait": "0s", "drain_grace": "0s", "cold_for": "0s"}},
        {"callers": {"patience": 0.01, "retries": 0}},
        {"use_cases": [{**USE_CASES[0], "agreed_time": "1ms", "hold": "0s"}]},
        {"use_cases": [{**USE_CASES[0], "width": 20}]},
        {"offices": {"queue": "0s"}},
        {"callers": {"retries": 50, "pause": "0s"}, "group": 1},
    ],
    ids=str,
)
def test_settings_that_are_legal_but_extreme(over: dict[str, Any]) -> None:
    lost = [fault_line("answer_lost", size=0.5)] if over.get("n", 3) > 1 else []
    done = play_day(day(**{"troubles": lost, "length": "6s", **over}) if over.get("n") != 1 else alone())
    assert done.verdict.violations == [] and not done.left_open and not done.leaked_circuits
    assert all(not status["counts"].get("decision_faults") for status in done.servers.values())


def alone() -> Day:
    """One exchange, whose callers call itself: there is no way, and they are told at once."""
    return day(n=1, length="4s", exchanges=[{"number": 0, "setup": "10ms", "calls": {"0": 5}}])


def test_a_decision_that_raises_now_and_then_breaks_no_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    from wellhitch.deciding import runner as runner_module

    real, seen = runner_module.decide, [0]

    def faulty(x: Any, event: Any, now: int) -> Any:
        seen[0] += 1
        if seen[0] % 97 == 0:
            raise KeyError("broken on purpose")
        return real(x, event, now)

    monkeypatch.setattr(runner_module, "decide", faulty)
    done = play_day(day(rate=12))
    assert broken_rules(done) == [] and tell("decision_faults")(done) > 20 and not done.left_open


def test_what_the_operators_see_is_there() -> None:
    seen: dict[str, Any] = {}

    def look(simulation: SimulatedFleet, fleet: InProcessFleet) -> None:
        simulation.loop.call_later(6, lambda: seen.update(fleet.daemons[0].status()))

    play_day(day(), prepare=look)
    assert seen["number"] == 0 and {one["id"] for one in seen["offices"]} == {
        "office-0",
        "office-1",
        "office-2",
    }
    assert seen["groups"]["1"]["size"] == 20 and seen["counts"]["taken"] > 10


@pytest.mark.parametrize(
    "troubles",
    [
        # Found by drawing days at random: each broke a rule by the judge's eyes, lost a circuit, or fell over itself.
        [
            fault_line("reads_nothing", at="2s", length="4s", on=[1]),
            fault_line("answer_lost", at="1s", length="8s", size=0.5),
        ],
        [
            fault_line("half_open", at="2s", length="2s", on=[1]),
            fault_line("half_open", at="3s", length="3s", on=[1, 2]),
        ],
        [
            fault_line("half_open", at="2s", length="8s", on=[0]),
            fault_line("answer_lost", at="1s", length="8s", size=0.5),
        ],
        [
            fault_line("server_killed", at="2s", length="3s", on=[0]),
            fault_line("server_killed", at="3s", length="5s", on=[0, 1]),
        ],
        [
            fault_line("server_paused", at="2s", length="3s", on=[0]),
            fault_line("server_killed", at="3s", length="60s", on=[0]),
        ],
    ],
    ids=lambda troubles: "+".join(one["kind"] for one in troubles),
)
def test_troubles_that_meet(troubles: list[dict[str, Any]]) -> None:
    groups = [{"ends": [0, 2], "size": 40}, {"ends": [1, 2], "size": 40}]
    for over in ({}, {"groups": groups, "limits": {"may_tell_peers": True}}):
        done = play_day(day(rate=15, setup="1ms", troubles=troubles, **over))
        assert done.verdict.violations == [] and not done.left_open and not done.leaked_circuits
