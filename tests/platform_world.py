"""What tests of the platform share: a call server of exchange 0, offices 1 and 2, board, callers, in virtual time."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from wellhitch.board.codec import DRAINING, GONE, READY, Notice, Row
from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.interface import events as ev
from wellhitch.interface.facts import ColdStartRule, Permissions, ReleaseRule, ServerTopology, TrafficClass
from wellhitch.net.seam import now_us
from wellhitch.platform.configuration import Place as Where
from wellhitch.platform.configuration import Told
from wellhitch.platform.service import Service
from wellhitch.stand_ins.platform import Board, Caller, PlatformOffice, invite

SECOND = 1_000_000
UNIX = 1_796_000_000 * SECOND  # Unix time at nought of the loop's clock
USES = (
    TrafficClass("cheap", 1.0, 0.25, 380_000, 3 * SECOND, 1, 2 * SECOND, (), True, 0),
    TrafficClass("dear", 6.0, 0.25, 300_000, 2 * SECOND, 1, 2 * SECOND, (), True, 0),
)
HERE = "10.0.0.1"
BOARD = "10.2.0.1:8500"
__all__ = ["DRAINING", "GONE", "READY", "SECOND", "UNIX", "World", "invite", "row"]


def row(
    number: int, state: int = READY, office: int | None = None, started_ms: int = 0, host: str = ""
) -> Row:
    """An office of an exchange; its id is the number where none is given."""
    made = number if office is None else office
    return Row(f"s-{made:08x}", f"{host or f'10.1.0.{made}'}:2905", state, number, started_ms)


def told(**over: Any) -> Told:
    """What a start is told."""
    opened = ev.ServerStarted(
        seed=7,
        traffic_classes=USES,
        topology=ServerTopology(0, 2, False, 0, True),
        permissions=Permissions(5, True, False, True, 0, False),
        release=ReleaseRule(100_000, 250_000),
        cold_start=ColdStartRule(0.33, 15 * SECOND, 2.5, 2 * SECOND),
    )
    made = Told(
        place=Where(
            "n0", f"{HERE}:2905", BOARD, f"{HERE}:7946", ("10.3.0.1:7946", "10.3.0.2:7946"), "10.3.255.1:7946"
        ),
        opened=opened,
        number=1,
        known=(Notice(1, True, (row(0), row(1), row(2))),),
        sockets=256,
        max_open=2000,
        connect_within=500_000,
    )
    return replace(made, **over)


class World:
    """All parties on one virtual loop; `run` lets so many seconds pass."""

    def __init__(self, **over: Any) -> None:
        self.loop = VirtualLoop()
        self.net = EmulatedNetwork(self.loop, 3)
        self.faults: list[dict[str, Any]] = []
        self.loop.set_exception_handler(lambda loop, context: self.faults.append(context))
        self.log: list[tuple[str, dict[str, Any]]] = []
        self.ended = False
        self.offices = {number: self.office(number) for number in (1, 2)}
        self.board = Board(self.loop, self.net.at("10.2.0.1"), BOARD)
        self.service = self.serve(**over)
        self.core = self.service.core
        self.counts = self.core.counts
        self.run(0.1)

    def serve(self, **over: Any) -> Service:
        """Start a call server."""
        service = Service(
            self.loop,
            self.net.at(HERE),
            told(**over),
            lambda: UNIX + now_us(self.loop),
            self._said,
            self._end,
        )
        service.start()
        return service

    def _said(self, event: str, **facts: Any) -> None:
        self.log.append((event, facts))

    def _end(self) -> None:
        self.ended = True

    def office(self, number: int) -> PlatformOffice:
        """An office at the address that the list gives it."""
        return PlatformOffice(self.loop, self.net.at(f"10.1.0.{number}"), f"10.1.0.{number}:2905")

    def caller(self, host: str = "10.9.0.1", **over: Any) -> Caller:
        """A connection from a caller."""
        return Caller(self.loop, self.net.at(host), f"{HERE}:2905", **over)

    def run(self, seconds: float) -> None:
        """Let time pass; nothing may have raised on the way."""
        self.loop.advance(seconds)
        assert not self.faults, self.faults

    def until(self, seconds: float, done: Callable[[], bool]) -> bool:
        """Let time pass in small steps until something is so."""
        for _ in range(int(seconds / 0.01)):
            if done():
                return True
            self.run(0.01)
        return done()

    def standing(self, ref: str, caller: Caller | None = None, destination: int = 1) -> Caller:
        """A call that stands at an office."""
        caller = caller or self.caller()
        caller.say(invite(ref, destination))
        self.run(0.1)
        assert caller.statuses(ref) == [200]
        return caller
