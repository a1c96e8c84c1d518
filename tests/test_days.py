"""Whole days in virtual time: every fault has its effect, and no rule is violated, also in the hard cases."""

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


def frames_of(played: DayResult, kind: type, party: str, direction: str) -> list[Any]:
    """The frames of one type that a party sent or received."""
    return [
        record
        for capture in played.captures
        if capture.party == party
        for record in capture.records
        if not isinstance(record, Note) and record.direction == direction and isinstance(record.frame, kind)
    ]


def notes_of(played: DayResult, kind: str, party: str) -> list[Note]:
    """The notes of one kind in a party's captures."""
    found = [
        record
        for capture in played.captures
        if capture.party == party
        for record in capture.records
        if isinstance(record, Note)
    ]
    return [note for note in found if note.kind == kind]


def service_level(played: DayResult) -> float:
    return played.service.overall


def high_setup_time(played: DayResult) -> int:
    times = sorted(played.service.setup_times_us)
    return times[int(len(times) * 0.9)]


def cut_calls(played: DayResult) -> int:
    return sum(outcomes.cut for outcomes in played.service.by_traffic_class.values())


def office_counter(name: str) -> Callable[[DayResult], int]:
    """A counter, summed over the offices."""
    return lambda played: sum(office.get(name, 0) for office in played.offices.values())


def server_counter(name: str) -> Callable[[DayResult], int]:
    """A counter reported by the call servers, summed."""
    return lambda played: sum(status.get("counts", {}).get(name, 0) for status in played.servers.values())


def requested_calls(played: DayResult) -> int:
    return sum(outcomes.asked for outcomes in played.service.by_traffic_class.values())


def max_calls_of_a_server(played: DayResult) -> int:
    return max(status.get("counts", {}).get("taken", 0) for status in played.servers.values())


def short_attempts(played: DayResult) -> int:
    return sum(record.frame.left < 2_000_000 for record in frames_of(played, frames.Call, "callers", "out"))


def replacement_offices(played: DayResult) -> int:
    return sum("." in name for name in played.offices)


def surplus_answers(played: DayResult) -> int:
    return len(frames_of(played, frames.Answer, "office", "out")) - office_counter("answered")(played)


def skipped_lists(played: DayResult) -> int:
    return server_counter("lists_skipped")(played)


def outdated_reports(played: DayResult) -> int:
    """How many reports state no wait although the processor is busy, because they are outdated."""
    loads = [
        record.frame.load.queue_wait
        for record in frames_of(played, frames.Answer, "office", "out")
        if record.frame.load
    ]
    return sum(wait == 0 for wait in loads)


PEERS_ALLOWED = {"limits": {"may_tell_peers": True}}


def missing_peer_messages(played: DayResult) -> int:
    return -server_counter("event.PeerSaid")(played)


def lost_connections(played: DayResult) -> int:
    return len(notes_of(played, "down", "office"))


def longest_answer_gap(played: DayResult) -> int:
    """The longest time between two answers to one exchange's callers."""
    result = 0
    for capture in played.captures:
        if capture.party == "callers":
            times = [
                record.time_us
                for record in capture.records
                if not isinstance(record, Note) and record.direction == "in"
            ]
            result = max([result, *(b - a for a, b in zip(times, times[1:], strict=False))])
    return result


def max_lateness(played: DayResult) -> int:
    """The lateness of the latest answer relative to its deadline; negative when all are in time."""
    open_calls, result = dict[tuple[str, int], tuple[int, int]](), -(1 << 40)
    for capture in played.captures:
        if capture.party == "callers":
            for record in capture.records:
                if isinstance(record, Note):
                    continue
                if isinstance(record.frame, frames.Call):
                    open_calls[capture.name, record.frame.id] = record.time_us, record.frame.left
                elif isinstance(record.frame, frames.Final):
                    since, left = open_calls[capture.name, record.frame.id]
                    result = max(result, record.time_us - since - left)
    return result


FAULT_CASES: dict[str, tuple[dict[str, Any], Callable[[DayResult], float], dict[str, Any]]] = {
    "slow": ({"size": 8, "on": [1]}, high_setup_time, {}),
    "hang": ({"on": [1]}, lambda played: -service_level(played), {}),
    "answer_lost": ({"size": 0.4}, office_counter("answers_lost"), {}),
    "burst": ({"size": 3}, requested_calls, {}),
    "hot_caller": ({"size": 1.0, "on": [2]}, max_calls_of_a_server, {}),
    "hot_number": ({"size": 0.8, "on": [1]}, office_counter("lines_busy"), {}),
    "give_up": ({"size": 0.9, "extra": 0.2}, short_attempts, {}),
    "deploy": ({"on": [0, 1], "size": 0.34, "extra": 1}, replacement_offices, {}),
    "neighbour": ({"size": 0.9, "extra": 1}, high_setup_time, {}),
    "shared_slow": ({"size": 6}, high_setup_time, {}),
    "origin_slow": ({"size": 60, "on": [0]}, cut_calls, {"zoned": True}),
    "report_late": ({"size": 3}, outdated_reports, {"offices": {"reports": "wait"}, "rate": 25.0}),
    "balancer_crash": ({"on": [1], "length": "1s"}, cut_calls, {}),
    "ageing": ({"size": 10, "extra": 1, "on": [1]}, replacement_offices, {}),
    "mass_restart": ({"on": [0, 1, 2], "length": "1s"}, replacement_offices, {}),
    "errors": ({"size": 0.5}, office_counter("fault"), {}),
    "crash": ({"on": [1], "length": "1s"}, cut_calls, {}),
    "link_cut": ({"on": [1]}, lost_connections, {}),
    "half_open": ({"on": [1], "length": "5s"}, lost_connections, {}),
    "reads_nothing": ({"on": [1]}, high_setup_time, {}),
    "trickle": ({}, high_setup_time, {"setup": "100us"}),
    "mid_frame_reset": ({"on": [1]}, lost_connections, {}),
    "garbage": ({"on": [1]}, lost_connections, {}),
    "answer_twice": ({"size": 0.5}, surplus_answers, {}),
    "answer_reordered": ({"size": 0.5}, office_counter("answers_reordered"), {}),
    "words_lost": ({"length": "6s"}, missing_peer_messages, PEERS_ALLOWED),
    "words_late": ({"size": 30, "length": "8s"}, missing_peer_messages, PEERS_ALLOWED),
    "answer_after_release": ({}, surplus_answers, {}),
    "list_goes_back": (
        {},
        skipped_lists,
        {"with": [fault_line("deploy", at="3s", on=[0, 1], size=0.34, extra=1)]},
    ),
    "register_restart": ({"size": 2}, lambda played: len(notes_of(played, "down", "register")), {}),
    "server_paused": ({"on": [1], "length": "2s"}, longest_answer_gap, {}),
    "server_killed": ({"on": [1], "length": "1s"}, cut_calls, {}),
    "server_stalls": (
        {"size": 40, "extra": 0.05, "length": "8s"},
        max_lateness,
        {"with": [fault_line("hang", on=[1])], "rate": 20.0},
    ),
}


def test_every_fault_kind_has_an_injector_and_a_measure() -> None:
    assert set(FAULT_INJECTORS) == set(FAULT_KINDS) == set(FAULT_CASES)


@pytest.mark.parametrize("kind", FAULT_KINDS)
def test_a_fault_has_its_effect_and_the_rules_hold(kind: str) -> None:
    line, measure, overrides = FAULT_CASES[kind]
    overrides = dict(overrides)
    other_faults = overrides.pop("with", [])
    if overrides.pop("zoned", False):
        overrides["exchanges"] = [
            {"number": n, "zone": "ab"[n % 2], "setup": "10ms", "calls": {str((n + 1) % 3): 8}}
            for n in range(3)
        ]
    baseline = play_day(day(**overrides, troubles=other_faults))
    faulty = play_day(day(**overrides, troubles=[*other_faults, fault_line(kind, **line)]))
    assert baseline.verdict.violations == [] and faulty.verdict.violations == []
    assert measure(faulty) > measure(baseline), f"{measure(faulty)} with {kind}, {measure(baseline)} without"
    assert not faulty.left_open and not faulty.leaked_circuits


# ---- determinism ----


def digest(played: DayResult) -> str:
    return hashlib.sha256(
        repr([(capture.name, capture.records) for capture in played.captures]).encode()
    ).hexdigest()


def mixed_day() -> Day:
    faults = [
        fault_line("answer_lost", at="1s", size=0.3),
        fault_line("deploy", at="2s", on=[0, 1], size=0.34, extra=1),
        fault_line("server_paused", at="4s", length="1s", on=[2]),
        fault_line("link_cut", at="5s", on=[1]),
        fault_line("server_killed", at="6s", length="1s", on=[0]),
    ]
    return day(net={"same": "2ms", "cross": "2ms", "jitter": 0.3}, troubles=faults)


def test_the_same_seed_gives_the_same_captures_and_another_does_not() -> None:
    first, second = play_day(mixed_day()), play_day(mixed_day())
    assert digest(first) == digest(second) and first.verdict.violations == []
    other = play_day(day(seed=8))
    assert digest(other) != digest(play_day(day()))


# ---- hard cases ----


def test_an_office_drains_while_it_reads_nothing() -> None:
    """Set-ups are unread in the office's socket buffers; none is processed after the drain grace."""
    settings = day(
        rate=20,
        troubles=[
            fault_line("reads_nothing", at="3s", length="4s", on=[1]),
            fault_line("deploy", at="3500ms", on=[1], size=0.34, extra=6),
        ],
    )
    played = play_day(settings)
    assert played.verdict.violations == []
    assert server_counter("resets_of_drained")(played) > 0


def test_a_tandems_process_is_killed_with_dialogues_in_transit() -> None:
    groups = [{"ends": [0, 2], "size": 100}, {"ends": [1, 2], "size": 100}]
    limits = {"may_tell_peers": True}
    kills = [fault_line("server_killed", length="2s", on=[2])]
    played = play_day(day(groups=groups, limits=limits, rate=12, troubles=kills))
    assert played.verdict.violations == [] and played.verdict.examined["transits"] > 50
    assert cut_calls(played) > 5 and not played.leaked_circuits and not played.left_open


def test_a_restarted_call_server_reuses_no_dialogue_id() -> None:
    played = play_day(day(rate=15, troubles=[fault_line("server_killed", length="1s", on=[0])]))
    boot_numbers = {
        record.frame.dialogue >> 32
        for record in frames_of(played, frames.Setup, "office", "in")
        if record.number == 0
    }
    assert boot_numbers == {1, 2} and played.verdict.violations == []


def test_a_link_flaps_faster_than_the_release_wait() -> None:
    played = play_day(day(rate=15, troubles=[fault_line("link_cut", size=30, extra=0.12, on=[1])]))
    assert played.verdict.violations == [] and not played.leaked_circuits
    assert lost_connections(played) >= 40


def test_the_register_restarts_with_an_outdated_list() -> None:
    """A draining office stays draining: the outdated list is ignored until the register has caught up."""
    settings = day(
        rate=12,
        troubles=[
            fault_line("deploy", at="2s", on=[1], size=0.34, extra=6),
            fault_line("register_restart", at="4s", size=3),
        ],
    )
    played = play_day(settings)
    assert played.verdict.violations == [] and server_counter("lists_skipped")(played) >= 3


def test_all_offices_restart_cold_at_once() -> None:
    played = play_day(day(n=4, rate=20, setup="20ms", troubles=[fault_line("mass_restart", length="500ms")]))
    assert played.verdict.violations == [] and played.verdict.examined["cold_setups"] > 20
    assert not office_counter("fell_over")(played)


def test_call_servers_with_clocks_an_hour_apart() -> None:
    settings = mixed_day()
    skewed = play_day(settings, clock_offsets_s={0: 3600.0, 1: 0.0, 2: -0.5 + 7200.0})
    assert skewed.verdict.violations == []
    assert abs(service_level(skewed) - service_level(play_day(settings))) < 0.05


def test_a_paused_call_server_answers_outstanding_calls_after_it_resumes() -> None:
    settings = day(rate=20, setup="4ms", troubles=[fault_line("server_paused", length="2s", on=[0, 1])])
    played = play_day(settings)
    assert played.verdict.violations == [] and not played.left_open
    assert longest_answer_gap(played) >= 2_000_000


@pytest.mark.parametrize(
    "overrides",
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
def test_settings_that_are_legal_but_extreme(overrides: dict[str, Any]) -> None:
    lost_answers = [fault_line("answer_lost", size=0.5)] if overrides.get("n", 3) > 1 else []
    played = play_day(
        day(**{"troubles": lost_answers, "length": "6s", **overrides})
        if overrides.get("n") != 1
        else single_exchange_day()
    )
    assert played.verdict.violations == [] and not played.left_open and not played.leaked_circuits
    assert all(not status["counts"].get("decision_faults") for status in played.servers.values())


def single_exchange_day() -> Day:
    """One exchange whose callers call their own exchange: there is no route, and they are answered at once."""
    return day(n=1, length="4s", exchanges=[{"number": 0, "setup": "10ms", "calls": {"0": 5}}])


def test_a_decision_that_raises_occasionally_violates_no_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    from wellhitch.deciding import runner as runner_module

    real_decide, calls = runner_module.decide, [0]

    def faulty(x: Any, event: Any, now: int) -> Any:
        calls[0] += 1
        if calls[0] % 97 == 0:
            raise KeyError("broken on purpose")
        return real_decide(x, event, now)

    monkeypatch.setattr(runner_module, "decide", faulty)
    played = play_day(day(rate=12))
    assert (
        broken_rules(played) == [] and server_counter("decision_faults")(played) > 20 and not played.left_open
    )


def test_the_status_for_operators_is_complete() -> None:
    status: dict[str, Any] = {}

    def read_status(simulation: SimulatedFleet, fleet: InProcessFleet) -> None:
        simulation.loop.call_later(6, lambda: status.update(fleet.daemons[0].status()))

    play_day(day(), prepare=read_status)
    assert status["number"] == 0 and {office["id"] for office in status["offices"]} == {
        "office-0",
        "office-1",
        "office-2",
    }
    assert status["groups"]["1"]["size"] == 20 and status["counts"]["taken"] > 10


@pytest.mark.parametrize(
    "faults",
    [
        # Found by random days: each violated a rule, lost a circuit, or crashed.
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
    ids=lambda faults: "+".join(fault["kind"] for fault in faults),
)
def test_overlapping_faults(faults: list[dict[str, Any]]) -> None:
    groups = [{"ends": [0, 2], "size": 40}, {"ends": [1, 2], "size": 40}]
    for overrides in ({}, {"groups": groups, "limits": {"may_tell_peers": True}}):
        played = play_day(day(rate=15, setup="1ms", troubles=faults, **overrides))
        assert played.verdict.violations == [] and not played.left_open and not played.leaked_circuits
