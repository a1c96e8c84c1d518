"""Shared by the end-to-end tests: small days in virtual time, and two connected channels on an emulated network."""

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


def day(n: int = 3, rate: float = 8.0, group: int = 20, setup: str = "10ms", **overrides: Any) -> Day:
    """A day of `n` exchanges with trunk groups between all pairs and `rate` dialogues a second from each."""
    settings = {
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
        **overrides,
    }
    checked_day = checked.read(settings, Day, "test")
    check(checked_day, "test")
    return checked_day


def fault_line(kind: str, at: str = "2s", length: str = "4s", **overrides: Any) -> dict[str, Any]:
    """The settings of one fault of a day."""
    return {"kind": kind, "at": at, "length": length, **overrides}


def play_day(
    day: Day,
    make_switch: Callable[..., Switch] = Switch,
    clock_offsets_s: dict[int, float] | None = None,
    prepare: Callable[[SimulatedFleet, InProcessFleet], None] | None = None,
) -> play.DayResult:
    """Run a day in virtual time, optionally with other call servers, with clocks that differ, or after `prepare`."""
    loop = VirtualLoop()
    try:
        net = EmulatedNetwork(loop, day.seed, zone_delay(day), day.net.jitter)
        addresses = HostAddresses()
        fleet = InProcessFleet(
            loop,
            day,
            addresses,
            net,
            play.null_log,
            make_switch=make_switch,
            clock_offsets_s=clock_offsets_s or {},
        )
        simulation = SimulatedFleet(
            loop, day, net.for_host, addresses, fleet, play.EmulatedLinkFaultInjector(net)
        )
        if prepare:
            prepare(simulation, fleet)
        return play.run_day(loop, day, simulation, fleet, None, None, 0.0, loop.advance)
    finally:
        loop.close()


def broken_rules(played: play.DayResult) -> list[int]:
    """The numbers of the rules that were broken."""
    return sorted({violation.rule for violation in played.verdict.violations})


class RecordingOwner:
    """A channel owner that records all events."""

    def __init__(self) -> None:
        self.opened: list[Channel] = []
        self.received: list[frames.AnyFrame] = []
        self.close_reasons: list[str] = []

    def channel_opened(self, channel: Channel) -> None:
        self.opened.append(channel)

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        if not isinstance(frame, frames.Heartbeat):
            self.received.append(frame)

    def channel_closed(self, channel: Channel, reason: str) -> None:
        self.close_reasons.append(reason)

    def circuits_held(self, channel: Channel) -> int:
        return 0


class ConnectedChannels:
    """Two connected channels: the end of a call server and that of an office."""

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
    """A random generator with a fixed seed."""
    return random.Random(5)
