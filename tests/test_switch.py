"""The switch alone: events in by hand, frames out to a list, time by hand."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

import msgspec
import pytest
from conftest import CHEAP, DEAR, SECOND

from wellhitch.deciding import runner as runner_module
from wellhitch.interface import events as ev
from wellhitch.interface.facts import ColdStartRule, Permissions, ReleaseRule, ServerTopology
from wellhitch.server.dials import (
    ALLOWED_TRANSITIONS,
    MAX_RECENT_IDS,
    DialState,
    PendingCall,
    PendingDial,
    RecentIds,
)
from wellhitch.server.switch import ANSWER_MARGIN_US, Switch
from wellhitch.trunk import frames

WAIT = 200_000


@dataclass(order=True)
class Ring:
    due: int
    at: int
    ring: Callable[[int], None] = field(compare=False)
    cancelled: bool = field(default=False, compare=False)

    def cancel(self) -> None:
        self.cancelled = True


@dataclass
class Paper:
    """An outlet that writes everything down."""

    sent: list[tuple[str, frames.AnyFrame]] = field(default_factory=list)
    waiting: list[frames.AnyFrame] = field(default_factory=list)
    timers: list[Ring] = field(default_factory=list)
    said: list[str] = field(default_factory=list)
    resets: list[str] = field(default_factory=list)
    read_to: int = 0
    now: int = 0
    rung: int = 0

    def send_to_caller(self, connection: Hashable, frame: frames.AnyFrame) -> bool:
        self.sent.append(("caller", frame))
        return True

    def send_to_office(self, office: str, frame: frames.AnyFrame) -> bool:
        self.sent.append((office, frame))
        return True

    def withdraw(self, office: str, matches: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        taken = [frame for frame in self.waiting if matches(frame)]
        self.waiting = [frame for frame in self.waiting if not matches(frame)]
        return taken

    def send_mark(self, office: str) -> int:
        return 1

    def mark_confirmed(self, office: str, sequence: int) -> bool:
        return self.read_to >= sequence

    def reset_connection(self, office: str, reason: str) -> None:
        self.resets.append(office)

    def keep_connection(self, office: str, address: str) -> None:
        pass

    def drop_connection(self, office: str) -> None:
        pass

    def send_to_peers(self, text: bytes) -> None:
        pass

    def start_timer(self, delay: int, callback: Callable[[int], None]) -> Ring:
        made = Ring(self.now + delay, len(self.timers) + self.rung, callback)
        heappush(self.timers, made)
        return made

    def log(self, event: str, **facts: Any) -> None:
        self.said.append(event)


class Bench:
    """A switch at exchange 0 with offices 0, 1, 2, all up, groups of `size`."""

    def __init__(self, size: int = 10, max_open: int = 100) -> None:
        self.out = Paper()
        opened = ev.ServerStarted(
            3,
            (CHEAP, DEAR),
            ServerTopology(0, 2, False, 0),
            Permissions(4, False, False, False, 0, True),
            ReleaseRule(WAIT, 250_000),
            ColdStartRule(0.3, 10 * SECOND, 2.5, 2 * SECOND),
        )
        self.switch = Switch(opened, max_open, self.out)
        self.switch.start(0)
        self.told("ready", "ready", "ready")
        for number in range(3):
            self.switch.office_connected(f"o{number}", number, 1, 0)
        for number in (1, 2):
            self.switch.group_state_received("o0", frames.GroupState(number, 0, size), 0)

    def told(self, *standings: str, revision: int = 1) -> None:
        lines = [frames.OfficeListEntry(f"o{n}", n, s, None, f"o{n}:1") for n, s in enumerate(standings)]
        self.switch.office_list_received(frames.OfficeList("whole", revision, lines), self.out.now)

    def run(self, us: int) -> None:
        until = self.out.now + us
        while self.out.timers and self.out.timers[0].due <= until:
            first = heappop(self.out.timers)
            self.out.rung += 1
            self.out.now = max(self.out.now, first.due)
            if not first.cancelled:
                first.ring(self.out.now)
        self.out.now = until

    def call(self, id: int = 1, destination: int = 1, left: int = 3 * SECOND, width: int = 1) -> None:
        call = frames.Call(id, "cheap", destination, "aa", left, width)
        self.switch.call_received("link", call, self.out.now)

    def of(self, kind: type) -> list[Any]:
        return [frame for _, frame in self.out.sent if isinstance(frame, kind)]

    def pass_own(self) -> None:
        """The own processor lets the last step through."""
        step = [frame for frame in self.of(frames.ProcessStep) if frame.dial_ref][-1]
        self.switch.step_processed("o0", frames.StepProcessed(step.dial_ref, step.step), self.out.now)

    def dial(self, **call: Any) -> frames.Setup:
        """A call whose set-up is out."""
        self.call(**call)
        self.pass_own()
        made: frames.Setup = self.of(frames.Setup)[-1]
        return made

    def stand(self) -> frames.Setup:
        setup = self.dial()
        self.switch.setup_answered("o1", frames.Answer(setup.dial_ref), self.out.now)
        self.pass_own()
        return setup

    @property
    def finals(self) -> list[str]:
        return [frame.answer for frame in self.of(frames.Final)]

    def free(self) -> int:
        return self.switch.groups[1].free


@pytest.fixture
def bench() -> Bench:
    return Bench()


def test_a_dialogue_stands_and_is_released_with_its_circuits(bench: Bench) -> None:
    setup = bench.stand()
    assert bench.finals == ["stands"] and bench.free() == 9
    bench.switch.caller_hung_up("link", 1, bench.out.now)
    assert bench.of(frames.Release) == [frames.Release(setup.dial_ref)] and bench.free() == 9
    bench.switch.dial_released("o1", frames.Released(setup.dial_ref), bench.out.now)
    assert bench.free() == 10 and not bench.switch.calls and bench.finals == ["stands"]


def test_circuits_come_back_after_the_release_wait_where_nobody_confirms(bench: Bench) -> None:
    bench.dial()
    bench.run(3 * SECOND - ANSWER_MARGIN_US)
    assert bench.finals == ["forfeited"] and len(bench.of(frames.Cancel)) >= 1
    assert bench.free() == 9
    bench.run(WAIT)
    assert bench.free() == 10


def test_the_answer_comes_before_the_callers_time_is_up(bench: Bench) -> None:
    bench.call()
    bench.run(3 * SECOND - ANSWER_MARGIN_US)
    assert bench.finals and not bench.of(frames.Setup)  # the own processor never passed it


def test_an_answer_that_crosses_the_cancel_is_a_stray(bench: Bench) -> None:
    setup = bench.dial()
    bench.run(3 * SECOND)
    bench.switch.setup_answered("o1", frames.Answer(setup.dial_ref), bench.out.now)
    bench.run(SECOND)
    bench.switch.setup_answered("o1", frames.Answer(setup.dial_ref), bench.out.now)
    assert bench.finals == ["forfeited"] and bench.switch.counts["strays.Answer"] == 2


def test_a_caller_that_leaves_as_its_dial_times_out_and_is_answered_gets_nothing_more(bench: Bench) -> None:
    """All three in one turn of the loop, the answer first."""
    setup = bench.dial()
    bench.out.now += 3 * SECOND - ANSWER_MARGIN_US
    bench.switch.setup_answered("o1", frames.Answer(setup.dial_ref), bench.out.now)
    bench.switch.caller_hung_up("link", 1, bench.out.now)
    bench.run(SECOND)
    assert bench.finals == [] and bench.of(frames.Cancel) == [frames.Cancel(setup.dial_ref)]
    assert not bench.switch.calls and bench.free() == 10


def test_an_answer_told_twice_is_one_answer(bench: Bench) -> None:
    setup = bench.stand()
    bench.switch.setup_answered("o1", frames.Answer(setup.dial_ref), bench.out.now)
    assert bench.finals == ["stands"] and bench.switch.counts["strays.Answer"] == 1


def test_a_setup_that_waits_here_is_taken_back_when_its_office_drains(bench: Bench) -> None:
    setup = bench.dial()
    bench.out.waiting.append(setup)
    bench.told("ready", "draining", "ready", revision=2)
    assert bench.out.waiting == [] and bench.switch.counts["kept_back.drained"] == 1
    assert bench.finals == ["pushed_back"] and bench.free() == 10


def test_a_setup_that_waits_here_is_taken_back_when_its_dial_is_over(bench: Bench) -> None:
    """Else it went out once the office reads again, for a dialogue that is answered or dialled elsewhere."""
    bench.out.waiting.append(bench.dial())
    bench.run(4 * SECOND)
    assert bench.out.waiting == [] and not bench.of(frames.Cancel) and bench.free() == 10


def test_a_setup_in_the_own_processor_is_kept_back_when_its_office_drains(bench: Bench) -> None:
    bench.call()
    bench.told("ready", "draining", "ready", revision=2)
    bench.pass_own()
    assert not bench.of(frames.Setup) and bench.finals == ["pushed_back"]


@pytest.mark.parametrize(("read_to", "resets"), [(0, ["o1"]), (1, [])])
def test_a_draining_office_that_does_not_read_loses_its_link_within_the_grace(
    bench: Bench, read_to: int, resets: list[str]
) -> None:
    bench.dial()
    bench.out.read_to = read_to
    bench.told("ready", "draining", "ready", revision=2)
    bench.run(249_000)
    assert bench.out.resets == resets


def test_offices_that_are_gone_are_forgotten(bench: Bench) -> None:
    for revision in range(2, 50):
        lines = [frames.OfficeListEntry(f"o1.{revision}", 1, "ready", 0, "x:1")]
        bench.switch.office_list_received(frames.OfficeList("whole", revision, lines), 0)
    assert list(bench.switch.offices) == ["o1.49"]


def test_a_list_that_goes_back_is_skipped(bench: Bench) -> None:
    bench.told("ready", "draining", "ready", revision=5)
    bench.told("ready", "ready", "ready", revision=4)
    assert bench.switch.offices["o1"].state is ev.OfficeState.DRAINING
    assert bench.switch.counts["lists_skipped"] == 1


def test_an_old_list_may_shut_an_office_but_not_open_one(bench: Bench) -> None:
    """A register that restarted counts from an old revision; its news of a drain is news all the same."""
    bench.told("ready", "ready", "draining", revision=9)
    bench.told("ready", "draining", "ready", revision=3)
    assert bench.switch.offices["o1"].state is ev.OfficeState.DRAINING
    assert bench.switch.offices["o2"].state is ev.OfficeState.DRAINING
    assert bench.switch.offices["o0"].state is ev.OfficeState.READY and bench.switch.revision == 9
    bench.call()
    assert bench.finals == ["pushed_back"]


def test_an_old_list_does_not_shut_a_processor_that_started_since(bench: Bench) -> None:
    bench.out.now = 100 * SECOND
    fresh = [frames.OfficeListEntry("o1", 1, "ready", SECOND, "o1:1")]
    bench.switch.office_list_received(frames.OfficeList("changes", 9, fresh), bench.out.now)
    old = [frames.OfficeListEntry("o1", 1, "gone", 50 * SECOND, "o1:1")]
    bench.switch.office_list_received(frames.OfficeList("changes", 3, old), bench.out.now)
    assert bench.switch.offices["o1"].state is ev.OfficeState.READY


def test_a_malformed_list_leaves_the_last_good_one(bench: Bench) -> None:
    bench.told("gone", "sleeping", "gone", revision=5)
    assert bench.switch.offices["o0"].state is ev.OfficeState.READY and bench.switch.revision == 1


def test_full_groups_and_a_dead_own_office_are_told_as_not_sent() -> None:
    bench = Bench(size=1)
    bench.switch.group_state_received("o0", frames.GroupState(2, 0, 0), 0)  # no way over the other
    bench.run(SECOND)
    bench.dial(id=1)
    bench.call(id=2)
    assert bench.finals == ["pushed_back"] and len(bench.of(frames.Setup)) == 1
    alone = Bench()
    alone.switch.office_disconnected("o0", "test", 0)
    alone.call()
    assert alone.finals == ["pushed_back"] and alone.switch.counts["blame.processor_full"] >= 1


def test_a_lost_link_resets_its_dials_and_cuts_what_stood(bench: Bench) -> None:
    bench.stand()
    bench.dial(id=2)
    bench.switch.office_disconnected("o1", "test", bench.out.now)
    assert bench.of(frames.Ended) == [frames.Ended(1)] and bench.free() == 8
    bench.run(WAIT)
    assert bench.free() == 10


def test_what_the_own_processor_had_in_hand_is_lost_with_it(bench: Bench) -> None:
    setup = bench.dial()
    bench.call(id=2)
    bench.switch.office_disconnected("o0", "test", bench.out.now)
    assert frames.Cancel(setup.dial_ref) in bench.of(frames.Cancel)
    bench.run(3 * SECOND)
    assert sorted(bench.finals) == ["pushed_back", "pushed_back"] and bench.free() == 10


def test_a_dialogue_in_transit_is_handed_on_or_turned_back(bench: Bench) -> None:
    setup = frames.Setup(9, 2, 77, 0, "cheap", 1, "aa", 2 * SECOND, 1)
    bench.switch.transit_setup("o0", setup, 0)
    bench.pass_own()
    onward = bench.of(frames.Setup)[-1]
    assert (onward.origin, onward.dialogue, onward.destination) == (2, 77, 1)
    bench.switch.setup_rejected("o1", frames.Reject(onward.dial_ref, "processor_full"), 0)
    assert ("o0", frames.Reject(9, "far_processor_full")) in bench.out.sent


def test_a_transit_called_off_upstream_is_called_off_onward(bench: Bench) -> None:
    bench.switch.transit_setup("o0", frames.Setup(9, 2, 77, 0, "cheap", 1, None, 2 * SECOND, 1), 0)
    bench.pass_own()
    onward = bench.of(frames.Setup)[-1]
    bench.switch.transit_ended("o0", 9, 0)
    assert ("o1", frames.Cancel(onward.dial_ref)) in bench.out.sent
    assert ("o0", frames.Released(9)) in bench.out.sent and not bench.switch.calls


@pytest.mark.parametrize(
    "kind",
    [
        ev.DialogueArrived,
        ev.DialogueEstablished,
        ev.DialEnded,
        ev.CallerLeft,
        ev.TimerFired,
        ev.OfficeReported,
        ev.OfficeListReceived,
    ],
)
def test_a_decision_that_raises_costs_one_dialogue_its_chance_and_nobody_an_answer(
    bench: Bench, kind: type, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = runner_module.decide
    armed = [True]

    def faulty(x: Any, event: Any, now: int) -> Any:
        if armed[0] and isinstance(event, kind):
            armed[0] = False
            raise ZeroDivisionError("broken on purpose")
        return real(x, event, now)

    monkeypatch.setattr(runner_module, "decide", faulty)
    setup = bench.dial() if kind is not ev.DialogueArrived else None
    if kind is ev.DialogueArrived:
        bench.call()
    elif kind is ev.DialogueEstablished:
        bench.switch.setup_answered("o1", frames.Answer(setup.dial_ref), 0)
        bench.pass_own()
    elif kind is ev.DialEnded:
        bench.switch.setup_rejected("o1", frames.Reject(setup.dial_ref, "fault"), 0)
    elif kind is ev.CallerLeft:
        bench.switch.caller_hung_up("link", 1, 0)
    elif kind is ev.OfficeListReceived:
        bench.told("ready", "ready", "ready", revision=2)
    bench.run(4 * SECOND)
    assert bench.switch.counts["decision_faults"] == 1 and "decision_fault" in bench.out.said
    assert len(bench.finals) == (0 if kind is ev.CallerLeft else 1)
    bench.call(id=2)
    bench.pass_own()
    assert len(bench.of(frames.Setup)) == (1 if kind is ev.DialogueArrived else 2)  # the next one goes
    assert any(one.due > bench.out.now for one in bench.out.timers if not one.cancelled)


def test_calls_beyond_the_limits_are_turned_away_before_they_are_taken() -> None:
    bench = Bench(max_open=1)
    bench.call(id=1)
    bench.call(id=2)
    assert bench.finals == ["pushed_back"] and bench.switch.counts["turned_away.max_open"] == 1
    bench = Bench()
    bench.switch.call_received("link", frames.Call(3, "unheard-of", 1, None, SECOND), 0)
    bench.switch.call_received("link", frames.Call(4, "cheap", 1, None, 0), 0)
    bench.switch.call_received("link", frames.Call(5, "cheap", 1, "9" * 65, SECOND), 0)
    assert bench.finals == ["pushed_back"] * 3 and not bench.switch.calls
    for why in ("unknown_use_case", "no_time", "text_too_long"):
        assert bench.switch.counts[f"turned_away.{why}"] == 1


def test_a_call_with_an_id_that_is_open_is_skipped_and_the_first_gets_its_one_answer(bench: Bench) -> None:
    setup = bench.dial(id=1)
    bench.call(id=1)
    bench.switch.setup_answered("o1", frames.Answer(setup.dial_ref), 0)
    bench.pass_own()
    assert bench.finals == ["stands"] and bench.switch.counts["strays.Call"] == 1


def test_twenty_thousand_dialogues_are_held_and_all_answered() -> None:
    bench = Bench(size=100_000, max_open=20_000)
    for id in range(20_100):
        bench.call(id=id)
    assert len(bench.switch.calls) == 20_000 and len(bench.finals) == 100
    bench.run(4 * SECOND)
    assert len(bench.finals) == 20_100 and not bench.switch.calls and bench.free() == 100_000


def test_stopping_takes_nothing_more_and_tells_what_is_owed(bench: Bench) -> None:
    bench.dial()
    assert bench.switch.stop_accepting(0) == 1
    bench.call(id=2)
    assert bench.finals == ["pushed_back"]


def test_ends_that_count_different_circuits_for_long_are_told_of(bench: Bench) -> None:
    bench.dial()
    bench.switch.compare_counts("o1", 1, 0)
    bench.switch.compare_counts("o1", 0, 1)
    bench.switch.compare_counts("o1", 0, 2 * SECOND)
    assert "circuits_disagree" not in bench.out.said
    bench.switch.compare_counts("o1", 0, 4 * SECOND)
    assert "circuits_disagree" in bench.out.said and bench.switch.counts["circuits_disagree"] == 1


def test_a_dial_goes_no_way_but_the_tables() -> None:
    assert set(ALLOWED_TRANSITIONS) == set(DialState) and ALLOWED_TRANSITIONS[DialState.FREE] == ()
    with pytest.raises(RuntimeError, match="FREE to SENT"):
        PendingDial(PendingCall(1, "", 0, None, 1, 0, 0), 0, None, None, 0, 0, DialState.FREE).move_to(
            DialState.SENT
        )  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"width": 65}, "width"),
        ({"width": 1 << 60}, "width"),
        ({"destination": -5}, "destination"),
        ({"destination": 1 << 63}, "destination"),
    ],
)
def test_figures_of_a_call_outside_their_range_are_turned_away(
    bench: Bench, change: dict[str, int], why: str
) -> None:
    bench.call(**change)
    assert bench.finals == ["pushed_back"] and not bench.switch.calls
    assert bench.switch.counts[f"turned_away.{why}"] == 1


def test_a_time_without_end_holds_a_place_no_longer_than_the_outer_limit(bench: Bench) -> None:
    """The office answers nothing; the dialogue and its circuits were held for ever."""
    bench.dial(left=1 << 62)
    bench.run(CHEAP.deadline + SECOND)
    assert bench.finals == ["forfeited"] and not bench.switch.calls and bench.free() == 10


@pytest.mark.parametrize(
    "change",
    [{"origin": -1}, {"origin": 1 << 16}, {"dialogue": -1}, {"destination": -1}, {"width": 65}, {"dial": -1}],
)
def test_a_transit_with_figures_outside_their_range_is_turned_back(
    bench: Bench, change: dict[str, int]
) -> None:
    setup = frames.Setup(9, 2, 77, 0, "cheap", 1, "aa", SECOND, 1)
    bench.switch.transit_setup("o0", msgspec.structs.replace(setup, **change), 0)
    assert [frame.dial_ref for frame in bench.of(frames.Reject)] == [9] and not bench.switch.calls


class Raising:
    """A ledger that fails at every word."""

    def answered(self, seen: Any, answer: str) -> None:
        raise OverflowError("int too big to convert")

    def ended(self, side: str, origin: int, dialogue: int, how: str, dial: int = -1) -> None:
        raise OverflowError("int too big to convert")

    def local_dialogue_ended(self, seen: Any, how: str, stood: int) -> None:
        raise OverflowError("int too big to convert")


def test_a_ledger_that_raises_costs_no_dialogue(bench: Bench) -> None:
    bench.switch.ledger = Raising()
    bench.stand()
    bench.switch.caller_hung_up("link", 1, bench.out.now)
    bench.switch.carried_dialogue_ended("o0", frames.CarriedDialogue(2, 7, "cheap", None, 1, "released", 5))
    assert bench.finals == ["stands"] and len(bench.of(frames.Release)) == 1 and not bench.switch.calls
    assert bench.switch.counts["ledger_faults"] == 3 and bench.out.said.count("ledger_fault") == 3


def test_an_age_under_nought_is_a_start_just_now(bench: Bench) -> None:
    lines = [frames.OfficeListEntry("o1", 1, "ready", -(10**9), "o1:1")]
    bench.switch.office_list_received(frames.OfficeList("changes", 2, lines), 5)
    assert bench.switch.exchange.offices["o1"].started_at == 5


@pytest.mark.parametrize("figure", [float("nan"), float("inf"), -1.0])
def test_a_load_that_is_no_figure_is_not_told(bench: Bench, figure: float) -> None:
    """NaN beside 'full' made the price nought: the office that was full drew all."""
    office = bench.switch.exchange.offices["o1"]
    office.price = 0.5
    bench.switch.load_reported("o1", frames.LoadReport(frames.Load(figure, -1, figure, figure)), 0)
    assert office.utilisation is None and office.queue_wait is None


def test_an_id_or_ref_that_comes_again_is_skipped_whether_its_dialogue_is_open_or_over(bench: Bench) -> None:
    """A frame told twice, the second after the answer: it was taken for a new dialogue and answered again."""
    bench.call(id=7, destination=9)
    bench.call(id=7, destination=9)
    assert bench.finals == ["pushed_back"] and bench.switch.counts["strays.Call"] == 1
    setup = frames.Setup(5, 2, 77, 0, "cheap", 1, "aa", SECOND, 1)
    bench.switch.transit_setup("o0", setup, 0)
    bench.switch.transit_setup("o0", setup, 0)
    assert not bench.of(frames.Reject) and len(bench.switch.calls) == 1
    bench.switch.transit_ended("o0", 5, 0)
    bench.switch.transit_setup("o0", setup, 0)
    assert not bench.of(frames.Reject) and not bench.switch.calls and bench.switch.counts["strays.Setup"] == 2
    bench.switch.caller_disconnected("link", 0)
    bench.call(id=7, destination=9)  # a new link may begin again
    assert bench.finals == ["pushed_back"] * 2


def test_ids_that_are_over_are_remembered_up_to_a_bound() -> None:
    ids = RecentIds()
    for n in range(3 * MAX_RECENT_IDS):
        ids.add(n)
    assert 3 * MAX_RECENT_IDS - 1 in ids and 0 not in ids and len(ids) == MAX_RECENT_IDS


# ---- edges of figures and clocks ----


def test_a_group_that_shrinks_below_what_is_held_shows_no_room_and_comes_back(bench: Bench) -> None:
    for n in range(4):
        bench.call(id=n)
    assert bench.free() == 6
    bench.switch.group_state_received("o0", frames.GroupState(1, 1, 2), 0)
    assert bench.free() == 0 and bench.switch.groups[1].local_count == 4
    for n in range(4):
        bench.switch.caller_hung_up("link", n, bench.out.now)
    bench.run(SECOND)
    assert bench.free() == 1 and not bench.switch.calls


@pytest.mark.parametrize("size", [0, 1])
def test_a_group_of_one_circuit_or_none(size: int) -> None:
    bench = Bench(size=size)
    bench.run(SECOND)
    bench.call(id=1)
    bench.call(id=2)
    assert len(bench.switch.calls) == size and len(bench.finals) == 2 - size


def test_hours_of_silence_and_a_clock_that_stands_still_and_jumps(bench: Bench) -> None:
    bench.stand()
    bench.run(3 * 3600 * SECOND)
    assert len(bench.switch.calls) == 1 and not bench.switch.counts["decision_faults"]
    setup = bench.dial(id=2, left=60 * SECOND)
    bench.out.now += 5 * 3600 * SECOND  # paused: all timers ring late, at the time it is then
    bench.run(10 * SECOND)
    assert bench.finals == ["stands", "forfeited"] and len(bench.switch.calls) == 1
    bench.switch.setup_answered("o1", frames.Answer(setup.dial_ref), bench.out.now)
    assert bench.switch.counts["strays.Answer"] == 1
    assert bench.dial(id=3).dial_ref > setup.dial_ref and not bench.switch.counts["decision_faults"]


def test_a_fleet_of_one_and_an_empty_list_push_back_at_once(bench: Bench) -> None:
    bench.switch.office_list_received(frames.OfficeList("whole", 2, []), 0)
    bench.call()
    assert bench.finals == ["pushed_back"] and not bench.switch.offices


@pytest.mark.parametrize("revision", [(1 << 63) - 1, -1, 0])
def test_a_revision_that_jumps_or_goes_back_shuts_and_never_opens(bench: Bench, revision: int) -> None:
    bench.told("ready", "draining", "ready", revision=5)
    bench.told("ready", "ready", "ready", revision=revision)
    opened = bench.switch.offices["o1"].state is ev.OfficeState.READY
    assert opened == (revision > 5)


# Known red (KNOWN-RED.txt): revisions never go back by the protocol, so a register that lost its count is an old list
# for ever. To take what it names anew would open offices that were heard to drain.
def test_a_register_that_lost_its_count_can_name_new_offices(bench: Bench) -> None:
    bench.told("ready", "ready", "ready", revision=1_000_000)
    lines = [frames.OfficeListEntry("o1.1", 1, "ready", 0, "o1.1:1")]
    bench.switch.office_list_received(frames.OfficeList("changes", 3, lines), 0)
    assert "o1.1" in bench.switch.offices
