"""What whole-path tests share: small days in virtual time, and two ports on an emulated network."""

import random
from collections.abc import Callable
from typing import Any

from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.lab import play
from wellhitch.lab.fleet import HostAddresses, InProcessFleet, zone_delay
from wellhitch.server.switch import Switch
from wellhitch.settings import checked
from wellhitch.settings.day import Day, check
from wellhitch.stand_ins.simulated_fleet import SimulatedFleet
from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel

USE_CASES = [
    {
        "name": "cheap",
        "payoff": 1,
        "share": 8,
        "agreed_time": "1500ms",
        "outer_limit": "9s",
        "late_share": 0.2,
        "hold": "2s",
    },
    {
        "name": "dear",
        "payoff": 6,
        "share": 1,
        "agreed_time": "1200ms",
        "outer_limit": "6s",
        "late_share": 0.2,
        "hold": "2s",
    },
]
RULES = {
    "release_wait": "200ms",
    "drain_grace": "250ms",
    "cold_share": 0.33,
    "cold_for": "10s",
    "cold_multiple": 2.5,
    "cold_window": "2s",
}


def day(n: int = 3, rate: float = 8.0, group: int = 20, setup: str = "10ms", **over: Any) -> Day:
    """A day of `n` exchanges, all pairs linked, `rate` dialogues a second from each."""
    plain = {
        "name": "test",
        "seed": 7,
        "length": "10s",
        "tail": "15s",
        "use_cases": USE_CASES,
        "rules": RULES,
        "net": {"same": "2ms", "cross": "2ms"},
        "register": {"notice": "300ms", "silent_notice": "500ms", "add": "200ms", "spread": "50ms"},
        "exchanges": [
            {
                "number": i,
                "setup": setup,
                "calls": {str(j): rate / max(1, n - 1) for j in range(n) if j != i},
            }
            for i in range(n)
        ],
        "groups": [{"ends": [a, b], "size": group} for a in range(n) for b in range(a + 1, n)],
        **over,
    }
    made = checked.read(plain, Day, "test")
    check(made, "test")
    return made


def trouble(kind: str, at: str = "2s", length: str = "4s", **over: Any) -> dict[str, Any]:
    """One trouble of a day."""
    return {"kind": kind, "at": at, "length": length, **over}


def played(
    made: Day,
    make_switch: Callable[..., Switch] = Switch,
    clock_offsets_s: dict[int, float] | None = None,
    meddle: Callable[[SimulatedFleet, InProcessFleet], None] | None = None,
) -> play.DayResult:
    """A day in virtual time, with call servers of another make, clocks that differ, or a hand in it."""
    loop = VirtualLoop()
    try:
        net = EmulatedNetwork(loop, made.seed, zone_delay(made), made.net.jitter)
        addresses = HostAddresses()
        fleet = InProcessFleet(
            loop,
            made,
            addresses,
            net,
            play.null_log,
            make_switch=make_switch,
            clock_offsets_s=clock_offsets_s or {},
        )
        simulation = SimulatedFleet(loop, made, net.at, addresses, fleet, play.EmulatedLinkFaultInjector(net))
        if meddle:
            meddle(simulation, fleet)
        return play.run_day(loop, made, simulation, fleet, None, None, 0.0, loop.advance)
    finally:
        loop.close()


def rules(done: play.DayResult) -> list[int]:
    """The rules that were broken."""
    return sorted({one.rule for one in done.verdict.breaks})


class Hand:
    """An owner of ports that writes down what it is told."""

    def __init__(self) -> None:
        self.up: list[Channel] = []
        self.got: list[frames.AnyFrame] = []
        self.down: list[str] = []

    def channel_opened(self, port: Channel) -> None:
        self.up.append(port)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        if not isinstance(frame, frames.Heartbeat):
            self.got.append(frame)

    def channel_closed(self, port: Channel, why: str) -> None:
        self.down.append(why)

    def circuits_held(self, port: Channel) -> int:
        return 0


class TwoEnds:
    """A call server's end and an office's, linked."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.net = EmulatedNetwork(self.loop, 1)
        self.server, self.office = Hand(), Hand()
        self.net.at("o").listen("o:1", self._office, lambda listener: None)
        self.loop.advance(0.1)
        self.net.at("s").connect("o:1", self._server, self.server.down.append)
        self.loop.advance(0.1)
        self.a, self.b = self.server.up[0], self.office.up[0]

    def _office(self) -> Channel:
        return Channel(self.loop, self.office, frames.Hello("office", 1, 1), ("call_server",))

    def _server(self) -> Channel:
        return Channel(self.loop, self.server, frames.Hello("call_server", 0, 1), ("office",))


def chance() -> random.Random:
    """A seeded generator."""
    return random.Random(5)
