"""Injects every fault at every stage of a dialogue, into the real switch, channels and daemon in virtual time, at the
moment when a dialogue reaches the stage. Afterwards the captures must show that all five rules were kept, and no state
may be left over."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, cast

import pytest
from test_judge import AnswersTwice, DialsTwoAtOnce, FloodsColdOffices, IgnoresDrains, ResendsAtOnce
from world import broken_rules, day, fault_line, play_day

from wellhitch.deciding import runner as runner_module
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.interface import events as ev
from wellhitch.lab.fleet import InProcessFleet
from wellhitch.lab.play import DayResult
from wellhitch.server.dials import DialState, PendingDial
from wellhitch.server.switch import Switch
from wellhitch.settings.day import Day, FaultSettings
from wellhitch.stand_ins.faults import FAULT_INJECTORS
from wellhitch.stand_ins.simulated_fleet import SimulatedFleet
from wellhitch.trunk import frames

INJECT_FROM_S = 4.0  # of virtual time: the connections are up, and callers have called for one second
HANG = {"troubles": [fault_line("hang", at="1s", length="3s", on=[1])]}
DEPLOY = {"troubles": [fault_line("deploy", at="1s", on=[1], size=0.34, extra=2)]}
SPARSE = {"groups": [{"ends": [0, 2], "size": 30}, {"ends": [1, 2], "size": 30}]}
# Stage -> call server, office at the other end (None: the callers), and settings that the day needs.
STAGES: dict[str, tuple[int, int | None, dict[str, Any]]] = {
    "arrival": (0, None, {}),
    "decision": (0, None, {}),
    "own processor": (0, 0, {}),
    "dial sent": (0, 1, {}),
    "answered": (0, 1, {}),
    "established": (0, 1, {}),
    "transit": (2, 2, SPARSE),
    "release": (0, 1, {}),
    "release wait": (0, 1, HANG),
    "drain": (0, 1, DEPLOY),
    "cold office": (0, 1, DEPLOY),
    "shutdown": (0, 1, {}),
}


class FaultInjection:
    """One day with one fault."""

    def __init__(self, stage: str, fault: str, switch_class: type[Switch] = Switch, **over: Any) -> None:
        self.stage, self.fault, self.switch_class = stage, fault, switch_class
        self.number, self.office, settings = STAGES[stage]
        extra_settings = {"ledger": True} if fault in ("disk full", "disk damaged") else {}
        if fault == "hook raises":
            extra_settings = {"hooks": {"a": "on arrive { return {favour: 1 / length([])} }"}}
        self.day: Day = day(rate=12, length="3s", tail="12s", **settings, **extra_settings, **over)
        self.simulation: SimulatedFleet
        self.fleet: InProcessFleet
        self.injected = False
        self.raise_in_decision = False
        self.leftovers: list[str] = []

    # -- detecting the stage --

    def stage_reached(self, switch: Switch, stage: str) -> None:
        simulation = self.simulation
        if (
            self.injected
            or stage != self.stage
            or switch.number != self.number
            or simulation.loop.time() < INJECT_FROM_S
        ):
            return
        self.injected = True
        simulation.loop.call_soon(FAULTS[self.fault], self)

    def make_switch(self, *arguments: Any) -> Switch:
        injection = self

        class StageReportingSwitch(self.switch_class):  # type: ignore[name-defined,misc]
            def call_received(self, *args: Any) -> None:
                injection.stage_reached(self, "arrival")
                super().call_received(*args)

            def feed(self, event: ev.Event, now: int) -> None:
                super().feed(event, now)
                if isinstance(event, ev.DialogueArrived):
                    injection.stage_reached(self, "decision")

            def _dial(self, *args: Any) -> None:
                super()._dial(*args)
                injection.stage_reached(self, "own processor")

            def _setup_processed(self, dial: PendingDial, accepted: bool, now: int) -> None:
                super()._setup_processed(dial, accepted, now)
                if dial.state is DialState.SENT:
                    injection.stage_reached(self, "dial sent")
                    if dial.office.started_at is not None:
                        injection.stage_reached(self, "cold office")

            def setup_answered(self, *args: Any) -> None:
                super().setup_answered(*args)
                injection.stage_reached(self, "answered")

            def _establish(self, *args: Any) -> None:
                super()._establish(*args)
                injection.stage_reached(self, "established")

            def transit_setup(self, *args: Any) -> None:
                super().transit_setup(*args)
                injection.stage_reached(self, "transit")

            def _end_dial(self, dial: PendingDial, message: Any, now: int) -> None:
                super()._end_dial(dial, message, now)
                if isinstance(message, frames.Release):
                    injection.stage_reached(self, "release")

            def _dial_timed_out(self, *args: Any) -> None:
                super()._dial_timed_out(*args)
                injection.stage_reached(self, "release wait")

            def office_list_received(self, frame: frames.OfficeList, now: int) -> bool:
                applied: bool = super().office_list_received(frame, now)
                if any(entry.state == "draining" for entry in frame.entries):
                    injection.stage_reached(self, "drain")
                return applied

        return cast(Switch, StageReportingSwitch(*arguments))

    # -- used by the faults --

    @property
    def host(self) -> str:
        return f"server-{self.number}"

    @property
    def peer_host(self) -> str:
        return f"callers-{self.number}" if self.office is None else self.simulation.host_of(self.office)

    @property
    def net(self) -> EmulatedNetwork:
        assert self.fleet.net
        return self.fleet.net

    @property
    def switch(self) -> Switch:
        return self.fleet.daemons[self.number].switch

    def later(self, seconds: float, callback: Callable[..., object], *args: Any) -> None:
        self.simulation.loop.call_later(seconds, callback, *args)

    def inject(self, kind: str, seconds: float, on: int, how: str = "") -> None:
        settings = FaultSettings(kind, "0s", f"{round(seconds * 1000)}ms", [on], 1.0, how=how)
        undo = FAULT_INJECTORS[kind](self.simulation, settings)
        if undo:
            self.later(seconds, undo)

    def send_bytes(self, data: bytes) -> None:
        """Send bytes from the other end."""
        for pipe in self.net.connections(self.peer_host, self.host):
            pipe.write(data)

    # -- the day --

    def prepare(self, simulation: SimulatedFleet, fleet: InProcessFleet) -> None:
        self.simulation, self.fleet = simulation, fleet
        status = fleet.status

        def status_after_check(number: int) -> dict[str, Any] | None:
            self.leftovers += self.find_leftovers(number)
            return status(number)

        fleet.status = status_after_check  # type: ignore[method-assign]
        if self.stage == "shutdown":
            simulation.loop.call_later(INJECT_FROM_S, self.shut_down)

    def shut_down(self) -> None:
        self.fleet.daemons[0].stop(2_000_000, lambda: None)
        self.stage_reached(self.switch, "shutdown")

    def find_leftovers(self, number: int) -> list[str]:
        daemon = self.fleet.daemons.get(number)
        if daemon is None or daemon.stopped:
            return []
        switch, found = daemon.switch, []
        for office in switch.offices.values():
            for name in ("dials", "processing", "transits"):
                found += [f"{office.id}: {name}" for _ in getattr(office, name)]
        found += [f"dialogue {call.id}" for call in switch.calls.values()]
        found += [f"decided {dialogue}" for dialogue in switch.exchange.dialogues]
        found += [
            f"group {n}: {group.local_count}" for n, group in switch.groups.items() if group.local_count
        ]
        found += [f"timer of {name}" for name in self.timers(switch)]
        return [f"server {number}: {leftover}" for leftover in found]

    def timers(self, switch: Switch) -> Iterator[str]:
        """Pending timers of dials."""
        for handle in self.simulation.loop._scheduled:  # type: ignore[attr-defined]
            for callback in handle._args[1] if not handle._cancelled and len(handle._args or ()) == 3 else ():
                name = getattr(callback, "__qualname__", "")
                if (
                    any(method in name for method in ("_send", "_end_dial", "_reset_dial"))
                    and not handle._args[2].cancelled
                ):
                    yield name

    def play(self) -> DayResult:
        unpatched = runner_module.decide

        def decide(exchange: Any, event: Any, now: int) -> Any:
            if self.raise_in_decision and exchange is self.switch.exchange:
                self.raise_in_decision = False
                raise KeyError("broken on purpose")
            return unpatched(exchange, event, now)

        with patched(runner_module, "decide", decide):
            return play_day(self.day, self.make_switch, prepare=self.prepare)


@contextmanager
def patched(where: Any, name: str, value: Any) -> Iterator[None]:
    original = getattr(where, name)
    setattr(where, name, value)
    try:
        yield
    finally:
        setattr(where, name, original)


# ---- faults ----


def truncate_stream(injection: FaultInjection) -> None:
    for pipe in injection.net.connections(injection.peer_host, injection.host):
        pipe.write(b"\x01\x00\x00\x40half")
        pipe.close()


def half_open_connection(injection: FaultInjection) -> None:
    if injection.office is not None:
        injection.inject("half_open", 5.0, injection.office)
        if injection.office != injection.number:
            return
    # The callers' connection, or the own office's: no longer than an answer may take.
    injection.net.faults_between(injection.host, injection.peer_host).silent = True
    peer_host = injection.peer_host
    injection.later(1.0, setattr, injection.net.faults_between(injection.host, peer_host), "silent", False)
    injection.later(1.0, injection.net.end_silence, injection.host, peer_host)


def duplicate_events(injection: FaultInjection) -> None:
    """Handle each event of the next second and a half twice."""
    switch: Any = injection.switch
    names = [
        "call_received",
        "caller_hung_up",
        "step_processed",
        "setup_answered",
        "setup_rejected",
        "dial_cut",
        "dial_released",
        "transit_setup",
        "transit_ended",
        "office_list_received",
    ]
    for name in names:
        once = getattr(switch, name)

        def twice(*args: Any, once: Callable[..., Any] = once) -> Any:
            once(*args)
            return once(*args)

        setattr(switch, name, twice)
        injection.later(1.5, switch.__dict__.pop, name, None)


def restart_other_end(injection: FaultInjection) -> None:
    if injection.office is None:
        channel = injection.simulation.callers[injection.number].channel.current
        assert channel
        channel.fail("restarts", notify_peer=False)
    else:
        injection.inject("crash", 0.3, injection.office)


def damage_disk(injection: FaultInjection) -> None:
    for blob in injection.fleet.disks[injection.number].files.values():
        blob.content[4200:9000] = bytes(len(blob.content[4200:9000]))


def fill_disk(injection: FaultInjection) -> None:
    injection.fleet.disks[injection.number].full = True
    injection.later(2.0, setattr, injection.fleet.disks[injection.number], "full", False)


def cut_register(injection: FaultInjection) -> None:
    injection.net.faults_between(injection.host, "register").refuses = True
    injection.net.reset_connections(injection.host, "register")


class FailingLedger:
    """A ledger whose methods all raise."""

    def answered(self, *arguments: Any) -> None:
        raise OSError("broken on purpose")

    ended = local_dialogue_ended = answered


FAULTS: dict[str, Callable[[FaultInjection], None]] = {
    "malformed": lambda injection: injection.send_bytes(b"\x01\x00\x00\x05\xc1\xc1\xc1\xc1\xc1"),
    "truncated": truncate_stream,
    "too large": lambda injection: injection.send_bytes(b"\x01\x7f\xff\xff"),
    "silent": lambda injection: injection.inject(
        "hang", 2.0, 1 if injection.office is None else injection.office
    ),
    "half open": half_open_connection,
    "closed": lambda injection: cast(
        None, injection.net.reset_connections(injection.host, injection.peer_host)
    ),
    "duplicated": duplicate_events,
    "reordered": lambda injection: injection.inject(
        "answer_reordered", 1.5, 1 if injection.office is None else injection.office
    ),
    "lost": lambda injection: injection.inject(
        "answer_lost", 1.5, 1 if injection.office is None else injection.office
    ),
    "cut by the other end": lambda injection: injection.inject(
        "answer_lost", 1.5, 1 if injection.office is None else injection.office, "reset"
    ),
    "other side restarted": restart_other_end,
    "own process paused": lambda injection: injection.inject("server_paused", 1.5, injection.number),
    "own process killed": lambda injection: injection.inject("server_killed", 1.0, injection.number),
    "disk full": fill_disk,
    "disk damaged": damage_disk,
    "outdated list": lambda injection: injection.simulation.register.restart(3),
    "register unreachable": cut_register,
    "decision raises": lambda injection: setattr(injection, "raise_in_decision", True),
    "hook raises": lambda injection: None,  # raises at each dialogue of the day
    "ledger raises": lambda injection: setattr(injection.switch, "ledger", FailingLedger()),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("stage", STAGES)
def test_a_fault_at_a_stage_breaks_no_rule_and_leaves_no_state_behind(stage: str, fault: str) -> None:
    injection = FaultInjection(stage, fault)
    played = injection.play()
    assert injection.injected, "the stage was never reached"
    assert played.verdict.violations == [] and played.verdict.examined["dialogues"] > 30
    assert injection.leftovers == [] and not played.left_open and not played.leaked_circuits


class NeverReleasesCircuits(Switch):
    """Does not free circuits when the far end has confirmed the release."""

    def _finish_release(self, dial: PendingDial, now: int) -> None:
        pass


@pytest.mark.parametrize(
    ("rule", "switch_class", "stage", "fault"),
    [
        (1, AnswersTwice, "established", "closed"),
        (2, DialsTwoAtOnce, "dial sent", "silent"),
        (3, IgnoresDrains, "drain", "outdated list"),
        (4, FloodsColdOffices, "cold office", "reordered"),
        (5, ResendsAtOnce, "dial sent", "cut by the other end"),
        (0, NeverReleasesCircuits, "release", "duplicated"),
    ],
)
def test_deliberate_bugs_in_the_server_are_detected(
    rule: int, switch_class: type[Switch], stage: str, fault: str
) -> None:
    injection = FaultInjection(stage, fault, switch_class, setup="40ms" if rule == 4 else "10ms")
    played = injection.play()
    assert rule in broken_rules(played) if rule else injection.leftovers
