"""Tests that the judge finds and names each violation by call servers with deliberate faults."""

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
    def _send_answer(self, call: PendingCall, answer: str, retry_after: int, now: int) -> None:
        super()._send_answer(call, answer, retry_after, now)
        if call.connection is not None:
            self.io.send_to_caller(call.connection, frames.Final(call.caller_id, answer, 0))


class NeverAnswersSome(Switch):
    def _send_answer(self, call: PendingCall, answer: str, retry_after: int, now: int) -> None:
        if answer == "stands" or call.id % 2:
            super()._send_answer(call, answer, retry_after, now)
        else:
            call.answer_owed = False
            self._forget(call)


class AnswersLate(Switch):
    """Assumes deadlines half a second later than they are."""

    def _begin(self, call: PendingCall, left: int, *rest: Any) -> None:
        super()._begin(call, left + 500_000, *rest)


class RejectsTransitsTwice(Switch):
    def _send_answer(self, call: PendingCall, answer: str, retry_after: int, now: int) -> None:
        super()._send_answer(call, answer, retry_after, now)
        if call.own_office is not None:
            self.io.send_to_office(call.own_office.id, frames.Reject(call.own_office_ref, "turned_back"))


class DialsTwoAtOnce(Switch):
    """Sends each set-up to a second office as well."""

    def _setup_processed(self, dial: PendingDial, accepted: bool, now: int) -> None:
        super()._setup_processed(dial, accepted, now)
        others = [
            office
            for office in self.offices.values()
            if office.connected and office is not dial.office and office.number != self.number
        ]
        if dial.state is DialState.SENT and others:
            call = dial.call
            setup = frames.Setup(
                others[0].new_dial_ref() + 1_000_000, call.origin, call.origin_dialogue, dial.number + 1,
                call.use_case, others[0].number, None, 1_000_000, 1,
            )  # fmt: skip
            self.io.send_to_office(others[0].id, setup)


class NeverCancels(Switch):
    """Dials again after a timeout without sending a Cancel to the first office."""

    def _end_dial(self, dial: PendingDial, frame: frames.Cancel | frames.Release, now: int) -> None:
        if isinstance(frame, frames.Cancel) and dial.state is DialState.SENT:
            dial.office.dials.pop(dial.dial_ref, None)
            dial.move_to(DialState.FREE)
            self._release_circuits(dial)
            self._cancel_timer(dial)
        else:
            super()._end_dial(dial, frame, now)


class IgnoresDrains(Switch):
    def office_list_received(self, frame: frames.OfficeList, now: int) -> None:
        entries = [entry for entry in frame.entries if entry.state != "draining" and entry.age is None]
        super().office_list_received(frames.OfficeList(frame.kind, frame.revision, entries), now)


class AppliesDrainsLate(Switch):
    def office_list_received(self, frame: frames.OfficeList, now: int) -> None:
        if frame.kind == "whole":
            super().office_list_received(frame, now)
        else:
            self.io.start_timer(
                1_500_000,
                lambda fired_at: super(AppliesDrainsLate, self).office_list_received(frame, fired_at),
            )


class IgnoresColdStart(Switch):
    """Does not limit the set-ups to a cold office."""

    def __init__(self, configuration: ev.ServerStarted, max_open: int, io: switch_module.ServerIO) -> None:
        super().__init__(
            replace(configuration, cold_start=replace(configuration.cold_start, warm_after=0)), max_open, io
        )


class FloodsColdOffices(Switch):
    """Sends 60 set-ups at once to a cold office."""

    def office_list_received(self, frame: frames.OfficeList, now: int) -> None:
        super().office_list_received(frame, now)
        for entry in frame.entries:
            if entry.age is not None and entry.state == "ready" and entry.number != self.number:
                self.io.start_timer(2_000_000, lambda fired_at, office=entry.office: self._flood(office))

    def _flood(self, office: str) -> None:
        for index in range(60):
            self.io.send_to_office(
                office,
                frames.Setup(5_000_000 + index, self.number, 10**6 + index, 0, "cheap", 1, None, 10**6, 1),
            )


class ResendsEarly(Switch):
    """Uses a release wait that is one millisecond too short."""

    def __init__(self, configuration: ev.ServerStarted, max_open: int, io: switch_module.ServerIO) -> None:
        release = replace(configuration.release, release_wait=configuration.release.release_wait - 1000)
        super().__init__(replace(configuration, release=release), max_open, io)


class ResendsAtOnce(Switch):
    def __init__(self, configuration: ev.ServerStarted, max_open: int, io: switch_module.ServerIO) -> None:
        super().__init__(
            replace(configuration, release=replace(configuration.release, release_wait=0)), max_open, io
        )


def sparse(**over: Any) -> Day:
    """A day without a group between exchanges 0 and 1: their dialogues go through 2."""
    groups = [{"ends": [0, 2], "size": 30}, {"ends": [1, 2], "size": 30}]
    return day(groups=groups, **over)


def cold_day(rate: float) -> Day:
    """A day on which the slow processor of exchange 1 crashes and restarts cold."""
    exchanges = [
        {"number": n, "setup": "40ms" if n == 1 else "2ms", "calls": {} if n == 1 else {"1": rate}}
        for n in range(4)
    ]
    return day(n=4, group=60, exchanges=exchanges, troubles=[fault_line("crash", length="1s", on=[1])])


FAULTY_SERVERS: list[tuple[type[Switch], int, Callable[[], Day], str]] = [
    (AnswersTwice, 1, lambda: day(), "a second answer"),
    (NeverAnswersSome, 1, lambda: day(group=2), "no answer within"),
    (AnswersLate, 1, lambda: day(troubles=[fault_line("hang", on=[1])]), "no answer within"),
    (RejectsTransitsTwice, 1, lambda: sparse(), "a second answer, PushBack after Answer"),
    (DialsTwoAtOnce, 2, lambda: day(), "is out"),
    (NeverCancels, 2, lambda: day(troubles=LOST), "is out"),
    (IgnoresDrains, 3, lambda: day(troubles=DEPLOY), "told that it drains"),
    (AppliesDrainsLate, 3, lambda: day(troubles=DEPLOY), "told that it drains"),
    (IgnoresColdStart, 4, lambda: cold_day(20), "set-ups in a window"),
    (FloodsColdOffices, 4, lambda: cold_day(4), "set-ups in a window"),
    # With a fast processor; a processing delay would hide the missing millisecond.
    (ResendsEarly, 5, lambda: day(setup="100us", troubles=LOST), "the wait is 200000"),
    (ResendsAtOnce, 5, lambda: day(troubles=LOST), "the wait is 200000"),
]


@pytest.mark.parametrize(
    ("faulty", "rule", "make_day", "message"), FAULTY_SERVERS, ids=lambda x: getattr(x, "__name__", None)
)
def test_a_faulty_server_is_found_and_named(
    faulty: type[Switch], rule: int, make_day: Callable[[], Day], message: str
) -> None:
    played = play_day(make_day(), faulty)
    found = [violation for violation in played.verdict.violations if violation.rule == rule]
    assert found, f"rule {rule} not found; others: {broken_rules(played)}"
    assert any(message in violation.description for violation in found), found[0].description


@pytest.mark.parametrize(
    "make_day", {id(make_day): make_day for _, _, make_day, _ in FAULTY_SERVERS}.values()
)
def test_the_same_days_have_no_violations_with_the_real_server(make_day: Callable[[], Day]) -> None:
    played = play_day(make_day())
    assert played.verdict.violations == []
    assert played.verdict.examined["dialogues"] > 50 and not played.left_open


def encoded(*lines: str) -> list[bytes]:
    return [line.encode() for line in lines]


HEADER = '{"capture":1,"party":"callers","name":"callers-0","number":0}'


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ((), "empty"),
        ((HEADER,), "cut off"),
        ((HEADER, '{"end":3}'), "0 lines, not 3"),
        ((HEADER, '[1,"in",1,"office",2,"Setup",1'), "x:2"),
        ((HEADER, '[1,"in",1,"office",2,"Nonsense",1]', '{"end":1}'), "x:2"),
        (('{"a":1}',), "not a capture"),
        ((HEADER, '{"end":0}', HEADER), "after the end"),
    ],
)
def test_a_damaged_capture_is_an_error(lines: tuple[str, ...], message: str) -> None:
    with pytest.raises(BadCapture, match=message):
        read_capture(encoded(*lines), "x")


def test_captures_without_a_party_or_a_dialogue_are_an_error(tmp_path: Path) -> None:
    with pytest.raises(BadCapture, match="no captures"):
        read_folder(tmp_path)
    played = play_day(day(length="2s"))
    with pytest.raises(BadCapture, match="'register'"):
        judge([capture for capture in played.captures if capture.party != "register"])
    for capture in played.captures:
        capture.records.clear()
    with pytest.raises(BadCapture, match="nothing to judge"):
        judge(played.captures)


def test_rule_parameters_come_from_the_capture() -> None:
    played = play_day(day(length="2s"))
    world = next(capture for capture in played.captures if capture.party == "world")
    assert world.facts["release_wait"] == 200_000 and RULES["release_wait"] == "200ms"
    del world.facts["release_wait"]
    with pytest.raises(BadCapture, match="release_wait"):
        judge(played.captures)
