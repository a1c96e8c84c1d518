"""The judge is worth what it catches: servers broken on purpose, each found by the captures and named."""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from world import RULES, broken_rules, day, fault_line, play_day

from wellhitch.interface import events as ev
from wellhitch.judge.rules import judge
from wellhitch.server import switch as switch_module
from wellhitch.server.dials import DialState, PendingCall, PendingDial
from wellhitch.server.switch import Switch
from wellhitch.settings.day import Day
from wellhitch.trunk import frames
from wellhitch.trunk.capture import BadCapture, read_capture, read_folder

LOST = [fault_line("answer_lost", length="8s", size=0.5)]
DEPLOY = [fault_line("deploy", on=[1], size=0.34, extra=4)]


class AnswersTwice(Switch):
    def _send_answer(self, taken: PendingCall, answer: str, come_back: int, now: int) -> None:
        super()._send_answer(taken, answer, come_back, now)
        if taken.connection is not None:
            self.io.send_to_caller(taken.connection, frames.Final(taken.caller_id, answer, 0))


class NeverAnswersSome(Switch):
    def _send_answer(self, taken: PendingCall, answer: str, come_back: int, now: int) -> None:
        if answer == "stands" or taken.id % 2:
            super()._send_answer(taken, answer, come_back, now)
        else:
            taken.answer_owed = False
            self._forget(taken)


class AnswersLate(Switch):
    """Takes the callers' time for half a second longer than it is."""

    def _begin(self, taken: PendingCall, left: int, *rest: Any) -> None:
        super()._begin(taken, left + 500_000, *rest)


class TurnsTransitsBackTwice(Switch):
    def _send_answer(self, taken: PendingCall, answer: str, come_back: int, now: int) -> None:
        super()._send_answer(taken, answer, come_back, now)
        if taken.own_office is not None:
            self.io.send_to_office(taken.own_office.id, frames.Reject(taken.own_office_ref, "turned_back"))


class DialsTwoAtOnce(Switch):
    """Sends each set-up to another office as well."""

    def _setup_processed(self, dial: PendingDial, accepted: bool, now: int) -> None:
        super()._setup_processed(dial, accepted, now)
        others = [
            e
            for e in self.offices.values()
            if e.connected and e is not dial.office and e.number != self.number
        ]
        if dial.state is DialState.SENT and others:
            taken = dial.call
            setup = frames.Setup(
                others[0].new_dial_ref() + 1_000_000, taken.origin, taken.origin_dialogue, dial.number + 1,
                taken.use_case, others[0].number, None, 1_000_000, 1,
            )  # fmt: skip
            self.io.send_to_office(others[0].id, setup)


class NeverCallsOff(Switch):
    """Forgets what timed out without a word to the office, and dials again."""

    def _end_dial(self, dial: PendingDial, word: frames.Cancel | frames.Release, now: int) -> None:
        if isinstance(word, frames.Cancel) and dial.state is DialState.SENT:
            dial.office.dials.pop(dial.dial_ref, None)
            dial.move_to(DialState.FREE)
            self._release_circuits(dial)
            self._cancel_timer(dial)
        else:
            super()._end_dial(dial, word, now)


class HearsNoDrains(Switch):
    def office_list_received(self, frame: frames.OfficeList, now: int) -> None:
        lines = [line for line in frame.entries if line.state != "draining" and line.age is None]
        super().office_list_received(frames.OfficeList(frame.kind, frame.revision, lines), now)


class HearsDrainsLate(Switch):
    def office_list_received(self, frame: frames.OfficeList, now: int) -> None:
        if frame.kind == "whole":
            super().office_list_received(frame, now)
        else:
            self.io.start_timer(
                1_500_000, lambda at: super(HearsDrainsLate, self).office_list_received(frame, at)
            )


class KnowsNoColdOffice(Switch):
    """All of them at once send a fresh processor what they like."""

    def __init__(self, configuration: ev.ServerStarted, max_open: int, io: switch_module.ServerIO) -> None:
        super().__init__(
            replace(configuration, cold_start=replace(configuration.cold_start, warm_after=0)), max_open, io
        )


class FloodsTheCold(Switch):
    """Tries whether a fresh office can bear ten set-ups at once from each."""

    def office_list_received(self, frame: frames.OfficeList, now: int) -> None:
        super().office_list_received(frame, now)
        for line in frame.entries:
            if line.age is not None and line.state == "ready" and line.number != self.number:
                self.io.start_timer(2_000_000, lambda at, office=line.office: self._flood(office))

    def _flood(self, office: str) -> None:
        for at in range(60):
            self.io.send_to_office(
                office, frames.Setup(5_000_000 + at, self.number, 10**6 + at, 0, "cheap", 1, None, 10**6, 1)
            )


class ResendsEarly(Switch):
    """A release wait that is one millisecond short."""

    def __init__(self, configuration: ev.ServerStarted, max_open: int, io: switch_module.ServerIO) -> None:
        short = replace(configuration.release, release_wait=configuration.release.release_wait - 1000)
        super().__init__(replace(configuration, release=short), max_open, io)


class ResendsAtOnce(Switch):
    def __init__(self, configuration: ev.ServerStarted, max_open: int, io: switch_module.ServerIO) -> None:
        super().__init__(
            replace(configuration, release=replace(configuration.release, release_wait=0)), max_open, io
        )


def sparse(**over: Any) -> Day:
    """No group between 0 and 1: their dialogues go over 2."""
    groups = [{"ends": [0, 2], "size": 30}, {"ends": [1, 2], "size": 30}]
    return day(groups=groups, **over)


def cold_day(rate: float) -> Day:
    """Exchange 1 has a slow processor, which dies and comes back cold."""
    exchanges = [
        {"number": n, "setup": "40ms" if n == 1 else "2ms", "calls": {} if n == 1 else {"1": rate}}
        for n in range(4)
    ]
    return day(n=4, group=60, exchanges=exchanges, troubles=[fault_line("crash", length="1s", on=[1])])


BROKEN: list[tuple[type[Switch], int, Callable[[], Day], str]] = [
    (AnswersTwice, 1, lambda: day(), "a second answer"),
    (NeverAnswersSome, 1, lambda: day(group=2), "no answer within"),
    (AnswersLate, 1, lambda: day(troubles=[fault_line("hang", on=[1])]), "no answer within"),
    (TurnsTransitsBackTwice, 1, lambda: sparse(), "a second answer, PushBack after Answer"),
    (DialsTwoAtOnce, 2, lambda: day(), "is out"),
    (NeverCallsOff, 2, lambda: day(troubles=LOST), "is out"),
    (HearsNoDrains, 3, lambda: day(troubles=DEPLOY), "told that it drains"),
    (HearsDrainsLate, 3, lambda: day(troubles=DEPLOY), "told that it drains"),
    (KnowsNoColdOffice, 4, lambda: cold_day(20), "set-ups in a window"),
    (FloodsTheCold, 4, lambda: cold_day(4), "set-ups in a window"),
    # A processor that takes no time, or its delay would hide the millisecond.
    (ResendsEarly, 5, lambda: day(setup="100us", troubles=LOST), "the wait is 200000"),
    (ResendsAtOnce, 5, lambda: day(troubles=LOST), "the wait is 200000"),
]


@pytest.mark.parametrize(
    ("broken", "rule", "made", "said"), BROKEN, ids=lambda x: getattr(x, "__name__", None)
)
def test_a_broken_server_is_caught_and_named(
    broken: type[Switch], rule: int, made: Callable[[], Day], said: str
) -> None:
    done = play_day(made(), broken)
    found = [one for one in done.verdict.violations if one.rule == rule]
    assert found, f"rule {rule} not caught; others: {broken_rules(done)}"
    assert any(said in one.description for one in found), found[0].description


@pytest.mark.parametrize("made", {id(made): made for _, _, made, _ in BROKEN}.values())
def test_the_same_days_break_nothing_with_the_real_server(made: Callable[[], Day]) -> None:
    done = play_day(made())
    assert done.verdict.violations == []
    assert done.verdict.examined["dialogues"] > 50 and not done.left_open


def lines(*text: str) -> list[bytes]:
    return [line.encode() for line in text]


HEAD = '{"capture":1,"party":"callers","name":"callers-0","number":0}'


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ((), "empty"),
        ((HEAD,), "cut off"),
        ((HEAD, '{"end":3}'), "0 lines, not 3"),
        ((HEAD, '[1,"in",1,"office",2,"Setup",1'), "x:2"),
        ((HEAD, '[1,"in",1,"office",2,"Nonsense",1]', '{"end":1}'), "x:2"),
        (('{"a":1}',), "not a capture"),
        ((HEAD, '{"end":0}', HEAD), "after the end"),
    ],
)
def test_a_damaged_capture_is_an_error_and_no_pass(text: tuple[str, ...], said: str) -> None:
    with pytest.raises(BadCapture, match=said):
        read_capture(lines(*text), "x")


def test_captures_that_miss_a_party_or_hold_no_dialogue_are_no_pass(tmp_path: Path) -> None:
    with pytest.raises(BadCapture, match="no captures"):
        read_folder(tmp_path)
    done = play_day(day(length="2s"))
    with pytest.raises(BadCapture, match="'register'"):
        judge([one for one in done.captures if one.party != "register"])
    for one in done.captures:
        one.records.clear()
    with pytest.raises(BadCapture, match="nothing to judge"):
        judge(done.captures)


def test_the_figures_come_from_the_capture() -> None:
    done = play_day(day(length="2s"))
    world = next(one for one in done.captures if one.party == "world")
    assert world.facts["release_wait"] == 200_000 and RULES["release_wait"] == "200ms"
    del world.facts["release_wait"]
    with pytest.raises(BadCapture, match="release_wait"):
        judge(done.captures)
