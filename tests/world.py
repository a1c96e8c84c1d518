"""What whole-path tests share: small days in virtual time, and two ports on an emulated network."""

import random
from collections.abc import Callable
from typing import Any

from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.lab import play
from wellhitch.lab.fleet import HostAddresses, InProcess, zone_delay
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


def fault_line(kind: str, at: str = "2s", length: str = "4s", **over: Any) -> dict[str, Any]:
    """One trouble of a day."""
    return {"kind": kind, "at": at, "length": length, **over}


def play_day(
    made: Day,
    make_switch: Callable[..., Switch] = Switch,
    clocks: dict[int, float] | None = None,
    prepare: Callable[[SimulatedFleet, InProcess], None] | None = None,
) -> play.Played:
    """A day in virtual time, with call servers of another make, clocks that differ, or a hand in it."""
    loop = VirtualLoop()
    try:
        net = EmulatedNetwork(loop, made.seed, zone_delay(made), made.net.jitter)
        addresses = HostAddresses()
        fleet = InProcess(
            loop, made, addresses, net, play.quiet_log, make_switch=make_switch, clocks=clocks or {}
        )
        simulation = SimulatedFleet(loop, made, net.for_host, addresses, fleet, play.VirtualWire(net))
        if prepare:
            prepare(simulation, fleet)
        return play._run(loop, made, simulation, fleet, None, None, 0.0, loop.advance)
    finally:
        loop.close()


def broken_rules(done: play.Played) -> list[int]:
    """The rules that were broken."""
    return sorted({one.rule for one in done.verdict.violations})


class RecordingOwner:
    """An owner of ports that writes down what it is told."""

    def __init__(self) -> None:
        self.opened: list[Channel] = []
        self.received: list[frames.AnyFrame] = []
        self.close_reasons: list[str] = []

    def channel_opened(self, port: Channel) -> None:
        self.opened.append(port)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        if not isinstance(frame, frames.Heartbeat):
            self.received.append(frame)

    def channel_closed(self, port: Channel, why: str) -> None:
        self.close_reasons.append(why)

    def circuits_held(self, port: Channel) -> int:
        return 0


class ConnectedChannels:
    """A call server's end and an office's, linked."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.net = EmulatedNetwork(self.loop, 1)
        self.server_owner, self.office_owner = RecordingOwner(), RecordingOwner()
        self.net.for_host("o").listen("o:1", self._office_channel, lambda listener: None)
        self.loop.advance(0.1)
        self.net.for_host("s").connect("o:1", self._server_channel, self.server_owner.close_reasons.append)
        self.loop.advance(0.1)
        self.server_channel, self.office_channel = self.server_owner.opened[0], self.office_owner.opened[0]

    def _office_channel(self) -> Channel:
        return Channel(self.loop, self.office_owner, frames.Hello("office", 1, 1), ("call_server",))

    def _server_channel(self) -> Channel:
        return Channel(self.loop, self.server_owner, frames.Hello("call_server", 0, 1), ("office",))


def chance() -> random.Random:
    """A seeded generator."""
    return random.Random(5)
