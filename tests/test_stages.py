"""Every fault at every stage of a dialogue: the project's own switch, links and daemon in virtual time, struck at the
very moment at which a dialogue reaches the stage. At the end all five rules by the captures, and nothing left over."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, cast

import pytest
from test_judge import AnswersTwice, DialsTwoAtOnce, FloodsTheCold, HearsNoDrains, ResendsAtOnce
from world import day, played, rules, trouble

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

FROM = 4.0  # virtual seconds: links stand, and callers have called for one
HANG = {"troubles": [trouble("hang", at="1s", length="3s", on=[1])]}
DEPLOY = {"troubles": [trouble("deploy", at="1s", on=[1], size=0.34, extra=2)]}
SPARSE = {"groups": [{"ends": [0, 2], "size": 30}, {"ends": [1, 2], "size": 30}]}
# Stage -> whose call server, whose office is at the other end (none: the callers), and what the day needs.
STAGES: dict[str, tuple[int, int | None, dict[str, Any]]] = {
    "arrival": (0, None, {}),
    "decision": (0, None, {}),
    "own processor": (0, 0, {}),
    "dial out": (0, 1, {}),
    "answered": (0, 1, {}),
    "stands": (0, 1, {}),
    "transit": (2, 2, SPARSE),
    "release": (0, 1, {}),
    "release wait": (0, 1, HANG),
    "drain": (0, 1, DEPLOY),
    "cold office": (0, 1, DEPLOY),
    "shutdown": (0, 1, {}),
}


class Struck:
    """One day, struck once."""

    def __init__(self, stage: str, fault: str, base: type[Switch] = Switch, **over: Any) -> None:
        self.stage, self.fault, self.base = stage, fault, base
        self.number, self.office, needs = STAGES[stage]
        more = {"ledger": True} if fault in ("disk full", "disk damaged") else {}
        if fault == "hook raises":
            more = {"hooks": {"a": "on arrive { return {favour: 1 / length([])} }"}}
        self.made: Day = day(rate=12, length="3s", tail="12s", **needs, **more, **over)
        self.simulation: SimulatedFleet
        self.fleet: InProcessFleet
        self.done = False
        self.raises = False
        self.left: list[str] = []

    # -- reaching the stage --

    def reached(self, switch: Switch, stage: str) -> None:
        simulation = self.simulation
        if self.done or stage != self.stage or switch.number != self.number or simulation.loop.time() < FROM:
            return
        self.done = True
        simulation.loop.call_soon(FAULTS[self.fault], self)

    def make_switch(self, *given: Any) -> Switch:
        struck = self

        class Staged(self.base):  # type: ignore[name-defined,misc]
            def call_received(self, *args: Any) -> None:
                struck.reached(self, "arrival")
                super().call_received(*args)

            def feed(self, event: ev.Event, now: int) -> None:
                super().feed(event, now)
                if isinstance(event, ev.DialogueArrived):
                    struck.reached(self, "decision")

            def _send(self, *args: Any) -> None:
                super()._send(*args)
                struck.reached(self, "own processor")

            def _setup_processed(self, dial: PendingDial, accepted: bool, now: int) -> None:
                super()._setup_processed(dial, accepted, now)
                if dial.state is DialState.SENT:
                    struck.reached(self, "dial out")
                    if dial.office.started_at is not None:
                        struck.reached(self, "cold office")

            def setup_answered(self, *args: Any) -> None:
                super().setup_answered(*args)
                struck.reached(self, "answered")

            def _establish(self, *args: Any) -> None:
                super()._establish(*args)
                struck.reached(self, "stands")

            def transit_setup(self, *args: Any) -> None:
                super().transit_setup(*args)
                struck.reached(self, "transit")

            def _end_dial(self, dial: PendingDial, word: Any, now: int) -> None:
                super()._end_dial(dial, word, now)
                if isinstance(word, frames.Release):
                    struck.reached(self, "release")

            def _dial_timed_out(self, *args: Any) -> None:
                super()._dial_timed_out(*args)
                struck.reached(self, "release wait")

            def office_list_received(self, frame: frames.OfficeList, now: int) -> bool:
                followed: bool = super().office_list_received(frame, now)
                if any(line.state == "draining" for line in frame.entries):
                    struck.reached(self, "drain")
                return followed

        return cast(Switch, Staged(*given))

    # -- what a fault is done with --

    @property
    def host(self) -> str:
        return f"server-{self.number}"

    @property
    def other(self) -> str:
        return f"callers-{self.number}" if self.office is None else self.simulation.host_of(self.office)

    @property
    def net(self) -> EmulatedNetwork:
        assert self.fleet.net
        return self.fleet.net

    @property
    def switch(self) -> Switch:
        return self.fleet.daemons[self.number].switch

    def later(self, seconds: float, work: Callable[..., object], *args: Any) -> None:
        self.simulation.loop.call_later(seconds, work, *args)

    def trouble(self, kind: str, seconds: float, on: int, how: str = "") -> None:
        line = FaultSettings(kind, "0s", f"{round(seconds * 1000)}ms", [on], 1.0, how=how)
        undo = FAULT_INJECTORS[kind](self.simulation, line)
        if undo:
            self.later(seconds, undo)

    def said(self, data: bytes) -> None:
        """Bytes from the other end."""
        for pipe in self.net.links(self.other, self.host):
            pipe.write(data)

    # -- the day --

    def meddle(self, simulation: SimulatedFleet, fleet: InProcessFleet) -> None:
        self.simulation, self.fleet = simulation, fleet
        status = fleet.status

        def looked(number: int) -> dict[str, Any] | None:
            self.left += self.left_over(number)
            return status(number)

        fleet.status = looked  # type: ignore[method-assign]
        if self.stage == "shutdown":
            simulation.loop.call_later(FROM, self.shut)

    def shut(self) -> None:
        self.fleet.daemons[0].stop(2_000_000, lambda: None)
        self.reached(self.switch, "shutdown")

    def left_over(self, number: int) -> list[str]:
        daemon = self.fleet.daemons.get(number)
        if daemon is None or daemon.stopped:
            return []
        switch, out = daemon.switch, []
        for end in switch.offices.values():
            for name in ("dials", "processing", "transits"):
                out += [f"{end.id}: {name}" for _ in getattr(end, name)]
        out += [f"dialogue {taken.id}" for taken in switch.calls.values()]
        out += [f"decided {known}" for known in switch.exchange.dialogues]
        out += [f"group {n}: {group.local_count}" for n, group in switch.groups.items() if group.local_count]
        out += [f"timer of {name}" for name in self.timers(switch)]
        return [f"server {number}: {one}" for one in out]

    def timers(self, switch: Switch) -> Iterator[str]:
        """Timers of dials that are still to ring."""
        for handle in self.simulation.loop._scheduled:  # type: ignore[attr-defined]
            for ring in handle._args[1] if not handle._cancelled and len(handle._args or ()) == 3 else ():
                name = getattr(ring, "__qualname__", "")
                if (
                    any(one in name for one in ("_send", "_end_dial", "_reset_dial"))
                    and not handle._args[2].cancelled
                ):
                    yield name

    def play(self) -> DayResult:
        real = runner_module.decide

        def decide(x: Any, event: Any, now: int) -> Any:
            if self.raises and x is self.switch.exchange:
                self.raises = False
                raise KeyError("broken on purpose")
            return real(x, event, now)

        with patched(runner_module, "decide", decide):
            return played(self.made, self.make_switch, meddle=self.meddle)


@contextmanager
def patched(where: Any, name: str, value: Any) -> Iterator[None]:
    before = getattr(where, name)
    setattr(where, name, value)
    try:
        yield
    finally:
        setattr(where, name, before)


# ---- faults ----


def cut_off(s: Struck) -> None:
    for pipe in s.net.links(s.other, s.host):
        pipe.write(b"\x01\x00\x00\x40half")
        pipe.close()


def half_open(s: Struck) -> None:
    if s.office is not None:
        s.trouble("half_open", 5.0, s.office)
        if s.office != s.number:
            return
    # The callers' link, or the own office's: no longer than an answer may take.
    s.net.spoil(s.host, s.other).silent = True
    other = s.other
    s.later(1.0, setattr, s.net.spoil(s.host, other), "silent", False)
    s.later(1.0, s.net.heal, s.host, other)


def doubled(s: Struck) -> None:
    """What comes in the next second and a half comes twice."""
    switch: Any = s.switch
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
        s.later(1.5, switch.__dict__.pop, name, None)


def restarted(s: Struck) -> None:
    if s.office is None:
        port = s.simulation.callers[s.number].link.current
        assert port
        port.fail("restarts", notify_peer=False)
    else:
        s.trouble("crash", 0.3, s.office)


def disk_damaged(s: Struck) -> None:
    for blob in s.fleet.disks[s.number].files.values():
        blob.now[4200:9000] = bytes(len(blob.now[4200:9000]))


def disk_full(s: Struck) -> None:
    s.fleet.disks[s.number].full = True
    s.later(2.0, setattr, s.fleet.disks[s.number], "full", False)


def list_shut(s: Struck) -> None:
    s.net.spoil(s.host, "register").broken = True
    s.net.cut(s.host, "register")


class Failing:
    """A ledger that fails at every word."""

    def answered(self, *what: Any) -> None:
        raise OSError("broken on purpose")

    ended = local_dialogue_ended = answered


FAULTS: dict[str, Callable[[Struck], None]] = {
    "malformed": lambda s: s.said(b"\x01\x00\x00\x05\xc1\xc1\xc1\xc1\xc1"),
    "cut off": cut_off,
    "too large": lambda s: s.said(b"\x01\x7f\xff\xff"),
    "silent": lambda s: s.trouble("hang", 2.0, 1 if s.office is None else s.office),
    "half open": half_open,
    "closed": lambda s: cast(None, s.net.cut(s.host, s.other)),
    "doubled": doubled,
    "reordered": lambda s: s.trouble("answer_reordered", 1.5, 1 if s.office is None else s.office),
    "lost": lambda s: s.trouble("answer_lost", 1.5, 1 if s.office is None else s.office),
    "cut there": lambda s: s.trouble("answer_lost", 1.5, 1 if s.office is None else s.office, "reset"),
    "other side restarted": restarted,
    "own process paused": lambda s: s.trouble("server_paused", 1.5, s.number),
    "own process killed": lambda s: s.trouble("server_killed", 1.0, s.number),
    "disk full": disk_full,
    "disk damaged": disk_damaged,
    "list old": lambda s: s.simulation.register.restart(3),
    "list shut": list_shut,
    "decision raises": lambda s: setattr(s, "raises", True),
    "hook raises": lambda s: None,  # at each dialogue of the day
    "ledger raises": lambda s: setattr(s.switch, "ledger", Failing()),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("stage", STAGES)
def test_a_fault_at_a_stage_breaks_no_rule_and_leaves_nothing(stage: str, fault: str) -> None:
    struck = Struck(stage, fault)
    done = struck.play()
    assert struck.done, "the stage was never reached"
    assert done.verdict.breaks == [] and done.verdict.seen["dialogues"] > 30
    assert struck.left == [] and not done.left_open and not done.leaked_circuits


class NeverFrees(Switch):
    """Forgets to give circuits back when the far end has confirmed."""

    def _finish_release(self, dial: PendingDial, now: int) -> None:
        pass


@pytest.mark.parametrize(
    ("rule", "base", "stage", "fault"),
    [
        (1, AnswersTwice, "stands", "closed"),
        (2, DialsTwoAtOnce, "dial out", "silent"),
        (3, HearsNoDrains, "drain", "list old"),
        (4, FloodsTheCold, "cold office", "reordered"),
        (5, ResendsAtOnce, "dial out", "cut there"),
        (0, NeverFrees, "release", "doubled"),
    ],
)
def test_the_table_catches_a_server_that_is_broken_on_purpose(
    rule: int, base: type[Switch], stage: str, fault: str
) -> None:
    struck = Struck(stage, fault, base, setup="40ms" if rule == 4 else "10ms")
    done = struck.play()
    assert rule in rules(done) if rule else struck.left
