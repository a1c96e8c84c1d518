"""The call servers of a day, in this process (virtual or real) or each in a process of its own."""

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
    """Addresses on the emulated network: hosts are names."""

    def of(self, host: str, door: str) -> str:
        """As `Addresses`."""
        return f"{host}:{_PORTS[door]}"


_PORTS = {"trunk": 1, "callers": 2, "peers": 3, "operators": 4, "list": 5, "advice": 6}


class LoopbackAddresses:
    """Addresses on loopback: each door gets one of this process's own when first asked for."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], str] = {}

    def of(self, host: str, door: str) -> str:
        """As `Addresses`."""
        known = self._known.get((host, door))
        if known is None:
            known = self._known[host, door] = allocate_loopback_address()
        return known


def server_settings(day: Day, number: int, addresses: HostAddresses | LoopbackAddresses) -> ServerSettings:
    """The sheet of one call server of a day."""
    host = f"server-{number}"
    cases = [
        TrafficClassSettings(**{name: getattr(case, name) for name in TrafficClassSettings.__struct_fields__})
        for case in day.use_cases
    ]
    return ServerSettings(
        number=number,
        seed=day.seed * 1000 + number,
        peers=len(day.exchanges) - 1,
        use_cases=cases,
        rules=day.rules,
        limits=day.limits,
        hooks=day.hooks,
        ledger=LedgerSettings(f"ledger-{number}", [one.number for one in day.exchanges])
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


def server_addresses(sheet: ServerSettings) -> ServerAddresses:
    """The doors of a sheet, as the daemon takes them."""
    d = sheet.doors
    return ServerAddresses(d.callers, d.peers, d.operators, d.register, d.centre)


def zone_delay(day: Day) -> Callable[[str, str], int]:
    """One-way times between the hosts of a day."""
    here, same, cross = duration_us(day.net.here), duration_us(day.net.same), duration_us(day.net.cross)
    zones = {one.number: one.zone for one in day.exchanges}
    known: dict[tuple[str, str], int] = {}

    def number(host: str) -> int | None:
        digits = host.partition("-")[2].partition(".")[0]
        return int(digits) if digits else None

    def delay(a: str, b: str) -> int:
        found = known.get((a, b))
        if found is None:
            x, y = number(a), number(b)
            apart = x is not None and y is not None and x != y
            found = here if not apart else same if zones[x or 0] == zones[y or 0] else cross
            known[a, b] = found
        return found

    return delay


@dataclass
class InProcessFleet:
    """Call servers in this process. On the emulated network each has its own gate, so that it can be paused."""

    loop: asyncio.AbstractEventLoop
    day: Day
    addresses: HostAddresses | LoopbackAddresses
    net: EmulatedNetwork | None
    log: Callable[[int], Log]
    daemons: dict[int, Daemon] = field(default_factory=dict)
    boots: dict[int, int] = field(default_factory=dict)
    parties: dict[int, PausableLoop] = field(default_factory=dict)
    make_switch: Callable[[ServerStarted, int, ServerIO], Switch] = Switch
    clock_offsets_s: dict[int, float] = field(
        default_factory=dict
    )  # seconds that a call server's clock is ahead
    disks: dict[int, EmulatedDisk] = field(default_factory=dict)
    accounting_channels: dict[int, AccountingChannel] = field(
        default_factory=dict
    )  # to the accounting side, by call server
    power_cut: Callable[[int], float | None] = lambda number: (
        None
    )  # for one that is killed: the share of what was not
    # synced that survives, where its machine lost power, None where only the process died
    wall_at_start: int = 1_796_083_200_000_000  # us since 1970 as the day begins: the first of December 2026

    def start(self, number: int) -> None:
        """As `Servers`."""
        boot = self.boots[number] = self.boots.get(number, 0) + 1
        sheet = server_settings(self.day, number, self.addresses)
        host = f"server-{number}"
        loop = self.loop
        if self.net is not None:
            party = self.parties[number] = self.net.gates[host] = PausableLoop(
                self.loop, self.clock_offsets_s.get(number, 0.0)
            )
            loop = party.as_loop()
        network = self.net.at(host) if self.net is not None else LoopbackNetwork(self.loop)
        daemon = self.daemons[number] = Daemon(
            loop,
            network,
            start_event(sheet),
            server_addresses(sheet),
            sheet.limits.max_open,
            boot,
            self.log(number),
            self.make_switch,
            hooks=sheet.hooks,
            make_settlement=self._desk(number) if self.day.ledger else None,
        )
        daemon.start()

    def _desk(self, number: int) -> MakeSettlement:
        """A ledger on an emulated disk that outlives the process."""
        roster = tuple(one.number for one in self.day.exchanges)
        keys = NumberKeys({1: bytes([number % 256]) * 32})
        life = self.boots[number]

        def make(
            loop: asyncio.AbstractEventLoop, send: Callable[[int, bytes], bool], log: Log
        ) -> SettlementService:
            disk = self.disks.get(number)
            if disk is None:
                disk = self.disks[number] = EmulatedDisk(number)
            disk.loop = loop
            chance = random.Random(f"{self.day.seed} {number} {life}")
            return SettlementService(
                loop,
                disk,
                number,
                roster,
                keys,
                lambda now: now + self.wall_at_start,
                send,
                log,
                chance,
                accounting=self.accounting_channels.get(number),
            )

        return make

    def kill(self, number: int) -> None:
        """As `Servers`."""
        daemon = self.daemons.pop(number)
        if self.net is None:
            daemon.kill()
            return
        host = f"server-{number}"
        self.parties[number].gone = True
        daemon.stopped = True
        if daemon.settlement:
            keep = self.power_cut(number)
            if keep is None:
                daemon.settlement.kill()
                self.disks[number] = self.disks[number].after_kill()
            else:
                self.disks[number] = self.disks[number].after_power_cut(self.boots[number], keep)
                daemon.settlement.kill()
        for listener in daemon.listeners.values():
            listener.close()
        self.net.reset_host(host)

    def pause(self, number: int) -> None:
        """As `Servers`."""
        if self.net is None:
            raise UnsupportedFaultError(
                "a call server is paused only in a process of its own (--processes) or --virtual"
            )
        self.parties[number].pause()

    def resume(self, number: int) -> None:
        """As `Servers`."""
        if number in self.daemons:
            self.parties[number].resume()

    def status(self, number: int) -> dict[str, Any] | None:
        """What the call server says of itself: shown, never judged by."""
        return self.daemons[number].status() if number in self.daemons else None

    def close(self) -> None:
        """End them all."""
        for number in list(self.daemons):
            self.kill(number)


@dataclass
class ProcessFleet:
    """Each call server in a process of its own, as in service."""

    day: Day
    addresses: LoopbackAddresses
    folder: Path
    running: dict[int, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, number: int) -> None:
        """As `Servers`."""
        sheet = self.folder / f"server-{number}.jsonnet"
        if not sheet.exists():
            made = server_settings(self.day, number, self.addresses)
            sheet.write_bytes(msgspec.json.format(msgspec.json.encode(made), indent=2))
        log = (self.folder / f"server-{number}.log").open("ab")
        self.running[number] = subprocess.Popen(
            [sys.executable, "-m", "wellhitch", "serve", str(sheet)],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill(self, number: int) -> None:
        """As `Servers`."""
        process = self.running.pop(number)
        process.kill()
        process.wait()

    def pause(self, number: int) -> None:
        """As `Servers`."""
        os.kill(self.running[number].pid, signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """As `Servers`."""
        if number in self.running:
            os.kill(self.running[number].pid, signal.SIGCONT)

    def status(self, number: int) -> dict[str, Any] | None:
        """What the call server says of itself, by its operators' socket."""
        host, _, port = self.addresses.of(f"server-{number}", "operators").rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=2) as line:
                line.sendall(b"status\n")
                said = b"".join(iter(lambda: line.recv(65536), b""))
            value = json.loads(said)
        except (OSError, ValueError):
            return None
        return value if isinstance(value, dict) else None

    def close(self) -> None:
        """End them all: asked first, then outright."""
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
