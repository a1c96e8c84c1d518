"""Plays a day: stand-ins and call servers on one network, then the judge over what was captured."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.judge.rules import Verdict, judge
from wellhitch.judge.service import Service, service
from wellhitch.lab.fleet import HostAddresses, InProcessFleet, LoopbackAddresses, ProcessFleet, zone_delay
from wellhitch.net.collector import startup_objects_frozen
from wellhitch.net.transport import LoopbackNetwork
from wellhitch.server.daemon import Log
from wellhitch.settings.day import Day
from wellhitch.settings.server import duration_us
from wellhitch.stand_ins.faults import schedule
from wellhitch.stand_ins.simulated_fleet import SimulatedFleet
from wellhitch.trunk.capture import Capture, read_capture, read_folder

STARTUP_S = 3.0  # until all links stand, before the first caller
SETTLE_S = 2.0  # after the last caller hung up: releases and counts are on their way
LOOPBACK_DELAY_US = 30_000  # us; a busy loop on a shared machine is the way's time there


@dataclass
class DayResult:
    """What a day left."""

    verdict: Verdict
    service: Service
    captures: list[Capture]
    servers: dict[int, dict[str, Any]]
    offices: dict[str, dict[str, int]]
    left_open: int
    seconds: float
    leaked_circuits: list[str] = field(default_factory=list)


def null_log(number: int) -> Log:
    """A log that is not kept."""

    def log(event: str, **facts: Any) -> None:
        pass

    return log


class EmulatedLinkFaultInjector:
    """InvalidSettings of links on the emulated network."""

    def __init__(self, net: EmulatedNetwork) -> None:
        self.net = net

    def cut(self, here: str, there: str) -> int:
        """As `LinkFaultInjector`."""
        return self.net.cut(here, there)

    def spoil(self, here: str, there: str, what: str, how: bool | int) -> None:
        """As `LinkFaultInjector`."""
        setattr(self.net.spoil(here, there), what, how)
        if what == "silent" and not how:
            self.net.heal(here, there)


def play_virtual(
    day: Day,
    folder: Path | None = None,
    log: Callable[[int], Log] = null_log,
    progress: Callable[[float, int], None] | None = None,
    speed: float = 0.0,
) -> DayResult:
    """A day in virtual time: the same on every run, as fast as it goes, or `speed` times as fast as a clock."""
    began = time.perf_counter()
    loop = VirtualLoop((lambda seconds: time.sleep(seconds / speed)) if speed else None)
    try:
        net = EmulatedNetwork(loop, day.seed, zone_delay(day), day.net.jitter)
        addresses = HostAddresses()
        fleet = InProcessFleet(loop, day, addresses, net, log)
        simulation = SimulatedFleet(
            loop, day, net.at, addresses, fleet, EmulatedLinkFaultInjector(net), folder
        )
        return run_day(loop, day, simulation, fleet, folder, progress, began, loop.advance)
    finally:
        loop.close()


def play_sockets(
    day: Day,
    folder: Path,
    processes: bool,
    log: Callable[[int], Log] = null_log,
    progress: Callable[[float, int], None] | None = None,
) -> DayResult:
    """A day on real loopback sockets, in its own time."""
    began = time.perf_counter()
    loop = asyncio.new_event_loop()
    fleet: InProcessFleet | ProcessFleet | None = None
    try:
        addresses = LoopbackAddresses()
        fleet = (
            ProcessFleet(day, addresses, folder)
            if processes
            else InProcessFleet(loop, day, addresses, None, log)
        )
        simulation = _SocketFleet(
            loop, day, lambda host: LoopbackNetwork(loop), addresses, fleet, None, folder
        )

        def advance(seconds: float) -> None:
            loop.run_until_complete(asyncio.sleep(seconds))

        with startup_objects_frozen():  # a stand-in that is late is taken for a call server that is
            return run_day(loop, day, simulation, fleet, folder, progress, began, advance)
    finally:
        if fleet is not None:
            fleet.close()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class _SocketFleet(SimulatedFleet):
    def ways(self) -> tuple[int, int]:
        return LOOPBACK_DELAY_US, LOOPBACK_DELAY_US


def run_day(
    loop: asyncio.AbstractEventLoop,
    day: Day,
    simulation: SimulatedFleet,
    fleet: InProcessFleet | ProcessFleet,
    folder: Path | None,
    progress: Callable[[float, int], None] | None,
    began: float,
    advance: Callable[[float], None],
) -> DayResult:
    for one in day.exchanges:
        fleet.start(one.number)
    advance(STARTUP_S)
    simulation.begin()
    schedule(simulation)
    whole = duration_us(day.length) / 1e6
    done = 0.0
    while done < whole:
        step = min(1.0, whole - done)
        advance(step)
        done += step
        if progress:
            progress(done, simulation.open)
    simulation.finish()
    tail = duration_us(day.tail) / 1e6
    spent = 0.0
    while simulation.open and spent < tail:
        advance(0.5)
        spent += 0.5
    for callers in simulation.callers.values():
        callers.hang_up()
    advance(SETTLE_S)
    left_open = simulation.open
    lost = [] if left_open else _lost_circuits(simulation)
    servers = {one.number: fleet.status(one.number) or {} for one in day.exchanges}
    fleet.close()
    simulation.close()
    if folder is not None:
        captures = read_folder(folder)
    else:
        captures = [read_capture(recorder.held, name) for name, recorder in simulation.recorders.items()]
    offices = {
        office.name: dict(office.counts) for office in [*simulation.past, *simulation.offices.values()]
    }
    return DayResult(
        judge(captures),
        service(captures),
        captures,
        servers,
        offices,
        left_open,
        time.perf_counter() - began,
        lost,
    )


def _lost_circuits(simulation: SimulatedFleet) -> list[str]:
    """Groups of which an end still counts circuits when no dialogue is left: counted at the offices' ends, of
    their own and of what the call servers told them."""
    out = []
    for number, trunks in sorted(simulation.trunks.items()):
        for other, group in sorted(trunks.groups.items()):
            if group.local_count or group.remote_count:
                out.append(
                    f"{number}-{other}: {group.local_count} from there, {group.remote_count} from here"
                )
    return out
