"""Shared by the platform tests: exchange 0's call server, offices 1 and 2, discovery and callers, in virtual time."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from wellhitch.board.codec import DRAINING, READY, REMOVED, DiscoveryEntry, Update
from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.interface import events as ev
from wellhitch.interface.facts import ColdStartRule, Permissions, ReleaseRule, ServerTopology, TrafficClass
from wellhitch.net.transport import now_us
from wellhitch.platform.configuration import Addresses, Configuration
from wellhitch.platform.service import Service
from wellhitch.stand_ins.platform import Caller, DiscoveryServer, PlatformOffice, invite

SECOND = 1_000_000
UNIX_START_US = 1_796_000_000 * SECOND  # Unix time when the loop's clock is 0
TRAFFIC_CLASSES = (
    TrafficClass("cheap", 1.0, 0.25, 380_000, 3 * SECOND, 1, 2 * SECOND, (), True, 0),
    TrafficClass("dear", 6.0, 0.25, 300_000, 2 * SECOND, 1, 2 * SECOND, (), True, 0),
)
SERVER = "10.0.0.1"
DISCOVERY = "10.2.0.1:8500"
__all__ = ["DRAINING", "REMOVED", "READY", "SECOND", "UNIX_START_US", "World", "invite", "row"]


def row(
    number: int, state: int = READY, office: int | None = None, started_ms: int = 0, host: str = ""
) -> DiscoveryEntry:
    """An office of exchange `number` in a discovery update. Its id is `office`, by default the exchange number."""
    office_number = number if office is None else office
    return DiscoveryEntry(
        f"s-{office_number:08x}", f"{host or f'10.1.0.{office_number}'}:2905", state, number, started_ms
    )


def configuration(**over: Any) -> Configuration:
    """The configuration of the call server, with fields replaced by `over`."""
    server_started = ev.ServerStarted(
        seed=7,
        traffic_classes=TRAFFIC_CLASSES,
        topology=ServerTopology(0, 2, False, 0, True),
        permissions=Permissions(5, True, False, True, 0, False),
        release=ReleaseRule(100_000, 250_000),
        cold_start=ColdStartRule(0.33, 15 * SECOND, 2.5, 2 * SECOND),
    )
    default = Configuration(
        addresses=Addresses(
            "n0",
            f"{SERVER}:2905",
            DISCOVERY,
            f"{SERVER}:7946",
            ("10.3.0.1:7946", "10.3.0.2:7946"),
            "10.3.255.1:7946",
        ),
        server_started=server_started,
        revision=1,
        known_updates=(Update(1, True, (row(0), row(1), row(2))),),
        max_descriptors=256,
        max_open=2000,
        connect_timeout_us=500_000,
    )
    return replace(default, **over)


class World:
    """The call server and its simulated counterparts on one virtual loop."""

    def __init__(self, **over: Any) -> None:
        self.loop = VirtualLoop()
        self.net = EmulatedNetwork(self.loop, 3)
        self.errors: list[dict[str, Any]] = []
        self.loop.set_exception_handler(lambda loop, context: self.errors.append(context))
        self.log: list[tuple[str, dict[str, Any]]] = []
        self.stopped = False
        self.offices = {number: self.office(number) for number in (1, 2)}
        self.discovery = DiscoveryServer(self.loop, self.net.for_host("10.2.0.1"), DISCOVERY)
        self.service = self.start_server(**over)
        self.core = self.service.core
        self.counts = self.core.counts
        self.run(0.1)

    def start_server(self, **over: Any) -> Service:
        """Start a call server."""
        service = Service(
            self.loop,
            self.net.for_host(SERVER),
            configuration(**over),
            lambda: UNIX_START_US + now_us(self.loop),
            self._write_log,
            self._on_stopped,
        )
        service.start()
        return service

    def _write_log(self, event: str, **facts: Any) -> None:
        self.log.append((event, facts))

    def _on_stopped(self) -> None:
        self.stopped = True

    def office(self, number: int) -> PlatformOffice:
        """Start an office at the address given by `row`."""
        return PlatformOffice(self.loop, self.net.for_host(f"10.1.0.{number}"), f"10.1.0.{number}:2905")

    def caller(self, host: str = "10.9.0.1", **over: Any) -> Caller:
        """Open a connection from a caller."""
        return Caller(self.loop, self.net.for_host(host), f"{SERVER}:2905", **over)

    def run(self, seconds: float) -> None:
        """Advance virtual time, and fail on any exception raised by a callback."""
        self.loop.advance(seconds)
        assert not self.errors, self.errors

    def run_until(self, seconds: float, condition: Callable[[], bool]) -> bool:
        """Advance virtual time in small steps, at most `seconds`, until `condition` holds; returns whether it does."""
        for _ in range(int(seconds / 0.01)):
            if condition():
                return True
            self.run(0.01)
        return condition()

    def establish(self, call_id: str, caller: Caller | None = None, destination: int = 1) -> Caller:
        """Set up a call and return its caller once it is established."""
        caller = caller or self.caller()
        caller.send(invite(call_id, destination))
        self.run(0.1)
        assert caller.statuses(call_id) == [200]
        return caller
