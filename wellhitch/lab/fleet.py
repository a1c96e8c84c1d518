"""The call servers of a day: in this process, on emulated or real sockets, or each in a separate process."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from wellhitch.emulator.disk import EmulatedDisk
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.emulator.pausable_loop import PausableLoop
from wellhitch.interface.events import ServerStarted
from wellhitch.lab.loopback import allocate_loopback_address
from wellhitch.ledger.entries import NumberKeys
from wellhitch.ledger.service import AccountingChannel, SettlementService
from wellhitch.net.transport import LoopbackNetwork
from wellhitch.server.daemon import Daemon, Log, MakeSettlement, ServerAddresses
from wellhitch.server.switch import ServerIO, Switch
from wellhitch.settings.day import Day
from wellhitch.settings.server import (
    LedgerSettings,
    ListenerSettings,
    ServerSettings,
    TrafficClassSettings,
    duration_us,
    start_event,
)
from wellhitch.stand_ins.faults import UnsupportedFaultError


class HostAddresses:
    """Addresses on the emulated network, where a host is identified by its name."""

    def of(self, host: str, listener: str) -> str:
        """See `Addresses.of`."""
        return f"{host}:{_PORTS[listener]}"


_PORTS = {"trunk": 1, "callers": 2, "peers": 3, "operators": 4, "list": 5, "advice": 6}


class LoopbackAddresses:
    """Loopback addresses reserved for this process; one is allocated when a listener is first looked up."""

    def __init__(self) -> None:
        self._allocated: dict[tuple[str, str], str] = {}

    def of(self, host: str, listener: str) -> str:
        """See `Addresses.of`."""
        address = self._allocated.get((host, listener))
        if address is None:
            address = self._allocated[host, listener] = allocate_loopback_address()
        return address


def server_settings(day: Day, number: int, addresses: HostAddresses | LoopbackAddresses) -> ServerSettings:
    """Return the settings of one call server of a day."""
    host = f"server-{number}"
    traffic_classes = [
        TrafficClassSettings(
            **{name: getattr(traffic_class, name) for name in TrafficClassSettings.__struct_fields__}
        )
        for traffic_class in day.use_cases
    ]
    return ServerSettings(
        number=number,
        seed=day.seed * 1000 + number,
        peers=len(day.exchanges) - 1,
        use_cases=traffic_classes,
        rules=day.rules,
        limits=day.limits,
        hooks=day.hooks,
        ledger=LedgerSettings(f"ledger-{number}", [exchange.number for exchange in day.exchanges])
        if day.ledger
        else None,
        doors=ListenerSettings(
            callers=addresses.of(host, "callers"),
            register=addresses.of("register", "list"),
            peers=addresses.of(host, "peers"),
            operators=addresses.of(host, "operators"),
            centre=addresses.of("centre", "advice") if day.centre else "",
        ),
    )


def server_addresses(settings: ServerSettings) -> ServerAddresses:
    """Return the addresses in a call server's settings in the form that the daemon expects."""
    addresses = settings.doors
    return ServerAddresses(
        addresses.callers, addresses.peers, addresses.operators, addresses.register, addresses.centre
    )


def zone_delay(day: Day) -> Callable[[str, str], int]:
    """Return a function that gives the one-way delay between two hosts of a day in microseconds."""
    local_us, same_zone_us, cross_zone_us = (
        duration_us(day.net.here),
        duration_us(day.net.same),
        duration_us(day.net.cross),
    )
    zones = {exchange.number: exchange.zone for exchange in day.exchanges}
    cache: dict[tuple[str, str], int] = {}

    def exchange_number(host: str) -> int | None:
        digits = host.partition("-")[2].partition(".")[0]
        return int(digits) if digits else None

    def delay(a: str, b: str) -> int:
        delay_us = cache.get((a, b))
        if delay_us is None:
            x, y = exchange_number(a), exchange_number(b)
            different = x is not None and y is not None and x != y
            delay_us = (
                local_us
                if not different
                else same_zone_us
                if zones[x or 0] == zones[y or 0]
                else cross_zone_us
            )
            cache[a, b] = delay_us
        return delay_us

    return delay


@dataclass
class InProcessFleet:
    """Call servers that run in this process.

    On the emulated network each server runs on a separate pausable loop.
    """

    loop: asyncio.AbstractEventLoop
    day: Day
    addresses: HostAddresses | LoopbackAddresses
    net: EmulatedNetwork | None
    log: Callable[[int], Log]
    daemons: dict[int, Daemon] = field(default_factory=dict)
    boots: dict[int, int] = field(default_factory=dict)
    loops: dict[int, PausableLoop] = field(default_factory=dict)
    make_switch: Callable[[ServerStarted, int, ServerIO], Switch] = Switch
    clock_offsets_s: dict[int, float] = field(default_factory=dict)  # by which a call server's clock is ahead
    disks: dict[int, EmulatedDisk] = field(default_factory=dict)
    # By call server.
    accounting_channels: dict[int, AccountingChannel] = field(default_factory=dict)
    # Called for a server that is killed: the share of its unsynced writes that survives if its machine loses power,
    # None if only the process dies.
    power_cut: Callable[[int], float | None] = lambda number: None
    # Microseconds since 1970 at which the day begins: the first of December 2026.
    wall_clock_at_start_us: int = 1_796_083_200_000_000

    def start(self, number: int) -> None:
        """See `Servers`."""
        boot = self.boots[number] = self.boots.get(number, 0) + 1
        settings = server_settings(self.day, number, self.addresses)
        host = f"server-{number}"
        loop = self.loop
        if self.net is not None:
            pausable_loop = self.loops[number] = self.net.party_loops[host] = PausableLoop(
                self.loop, self.clock_offsets_s.get(number, 0.0)
            )
            loop = pausable_loop.as_loop()
        network = self.net.for_host(host) if self.net is not None else LoopbackNetwork(self.loop)
        daemon = self.daemons[number] = Daemon(
            loop,
            network,
            start_event(settings),
            server_addresses(settings),
            settings.limits.max_open,
            boot,
            self.log(number),
            self.make_switch,
            hooks=settings.hooks,
            make_settlement=self._settlement_factory(number) if self.day.ledger else None,
        )
        daemon.start()

    def _settlement_factory(self, number: int) -> MakeSettlement:
        """Return a factory of settlement services on an emulated disk that outlives the server process."""
        roster = tuple(exchange.number for exchange in self.day.exchanges)
        keys = NumberKeys({1: bytes([number % 256]) * 32})
        boot = self.boots[number]

        def make(
            loop: asyncio.AbstractEventLoop, send: Callable[[int, bytes], bool], log: Log
        ) -> SettlementService:
            disk = self.disks.get(number)
            if disk is None:
                disk = self.disks[number] = EmulatedDisk(number)
            disk.loop = loop
            rng = random.Random(f"{self.day.seed} {number} {boot}")
            return SettlementService(
                loop,
                disk,
                number,
                roster,
                keys,
                lambda now: now + self.wall_clock_at_start_us,
                send,
                log,
                rng,
                accounting=self.accounting_channels.get(number),
            )

        return make

    def kill(self, number: int) -> None:
        """See `Servers`."""
        daemon = self.daemons.pop(number)
        if self.net is None:
            daemon.kill()
            return
        host = f"server-{number}"
        self.loops[number].killed = True
        daemon.stopped = True
        if daemon.settlement:
            surviving_share = self.power_cut(number)
            if surviving_share is None:
                daemon.settlement.kill()
                self.disks[number] = self.disks[number].after_kill()
            else:
                self.disks[number] = self.disks[number].after_power_cut(self.boots[number], surviving_share)
                daemon.settlement.kill()
        for listener in daemon.listeners.values():
            listener.close()
        self.net.reset_host(host)

    def pause(self, number: int) -> None:
        """See `Servers`."""
        if self.net is None:
            raise UnsupportedFaultError("a call server can be paused only with --processes or --virtual")
        self.loops[number].pause()

    def resume(self, number: int) -> None:
        """See `Servers`."""
        if number in self.daemons:
            self.loops[number].resume()

    def status(self, number: int) -> dict[str, Any] | None:
        """Return the status that the call server reports, None if it is down. The verdict does not use it."""
        return self.daemons[number].status() if number in self.daemons else None

    def close(self) -> None:
        """Kill all call servers."""
        for number in list(self.daemons):
            self.kill(number)


@dataclass
class ProcessFleet:
    """Call servers that run in separate processes, as in production."""

    day: Day
    addresses: LoopbackAddresses
    folder: Path
    running: dict[int, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, number: int) -> None:
        """See `Servers`."""
        path = self.folder / f"server-{number}.jsonnet"
        if not path.exists():
            settings = server_settings(self.day, number, self.addresses)
            path.write_bytes(msgspec.json.format(msgspec.json.encode(settings), indent=2))
        log = (self.folder / f"server-{number}.log").open("ab")
        self.running[number] = subprocess.Popen(
            [sys.executable, "-m", "wellhitch", "serve", str(path)],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill(self, number: int) -> None:
        """See `Servers`."""
        process = self.running.pop(number)
        process.kill()
        process.wait()

    def pause(self, number: int) -> None:
        """See `Servers`."""
        os.kill(self.running[number].pid, signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """See `Servers`."""
        if number in self.running:
            os.kill(self.running[number].pid, signal.SIGCONT)

    def status(self, number: int) -> dict[str, Any] | None:
        """Return the status that the call server reports on its operators' socket, None if there is no valid answer."""
        host, _, port = self.addresses.of(f"server-{number}", "operators").rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=2) as connection:
                connection.sendall(b"status\n")
                reply = b"".join(iter(lambda: connection.recv(65536), b""))
            value = json.loads(reply)
        except (OSError, ValueError):
            return None
        return value if isinstance(value, dict) else None

    def close(self) -> None:
        """Terminate all call servers; kill those that do not exit within five seconds."""
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.running.values():
            try:
                process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.running.clear()
