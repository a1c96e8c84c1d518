"""Plays a day: runs the simulated parties and the call servers on one network, then judges the captures."""

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

STARTUP_S = 3.0  # for all connections to be established before the first call
SETTLE_S = 2.0  # for releases and circuit counts in transit after the last caller hung up
LOOPBACK_DELAY_US = 30_000  # on loopback the delay is that of a busy event loop on a shared machine


@dataclass
class DayResult:
    """The outcome of a played day."""

    verdict: Verdict
    service: Service
    captures: list[Capture]
    servers: dict[int, dict[str, Any]]
    offices: dict[str, dict[str, int]]
    left_open: int
    seconds: float
    leaked_circuits: list[str] = field(default_factory=list)


def null_log(number: int) -> Log:
    """Return a log function that discards its events."""

    def log(event: str, **facts: Any) -> None:
        pass

    return log


class EmulatedLinkFaultInjector:
    """Injects faults into the connections of the emulated network."""

    def __init__(self, net: EmulatedNetwork) -> None:
        self.net = net

    def reset_connections(self, here: str, there: str) -> int:
        """See `LinkFaultInjector.reset_connections`."""
        return self.net.reset_connections(here, there)

    def set_fault(self, here: str, there: str, what: str, how: bool | int) -> None:
        """See `LinkFaultInjector.set_fault`."""
        setattr(self.net.faults_between(here, there), what, how)
        if what == "silent" and not how:
            self.net.end_silence(here, there)


def play_virtual(
    day: Day,
    folder: Path | None = None,
    log: Callable[[int], Log] = null_log,
    progress: Callable[[float, int], None] | None = None,
    speed: float = 0.0,
) -> DayResult:
    """Play a day in virtual time, with the same result on every run.

    It runs as fast as possible, or `speed` times as fast as real time if `speed` is not zero.
    """
    started = time.perf_counter()
    loop = VirtualLoop((lambda seconds: time.sleep(seconds / speed)) if speed else None)
    try:
        net = EmulatedNetwork(loop, day.seed, zone_delay(day), day.net.jitter)
        addresses = HostAddresses()
        fleet = InProcessFleet(loop, day, addresses, net, log)
        simulation = SimulatedFleet(
            loop, day, net.for_host, addresses, fleet, EmulatedLinkFaultInjector(net), folder
        )
        return run_day(loop, day, simulation, fleet, folder, progress, started, loop.advance)
    finally:
        loop.close()


def play_sockets(
    day: Day,
    folder: Path,
    processes: bool,
    log: Callable[[int], Log] = null_log,
    progress: Callable[[float, int], None] | None = None,
) -> DayResult:
    """Play a day on loopback sockets in real time; with `processes`, each call server runs in a separate process."""
    started = time.perf_counter()
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

        with startup_objects_frozen():  # a late simulated party would look like a late call server
            return run_day(loop, day, simulation, fleet, folder, progress, started, advance)
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
    started: float,
    advance: Callable[[float], None],
) -> DayResult:
    """Run a day whose call servers and simulated parties are set up; `advance` runs the loop for so many seconds."""
    for exchange in day.exchanges:
        fleet.start(exchange.number)
    advance(STARTUP_S)
    simulation.start_callers()
    schedule(simulation)
    length_s = duration_us(day.length) / 1e6
    elapsed_s = 0.0
    while elapsed_s < length_s:
        step_s = min(1.0, length_s - elapsed_s)
        advance(step_s)
        elapsed_s += step_s
        if progress:
            progress(elapsed_s, simulation.open_calls)
    simulation.stop_new_calls()
    tail_s = duration_us(day.tail) / 1e6
    tail_elapsed_s = 0.0
    while simulation.open_calls and tail_elapsed_s < tail_s:
        advance(0.5)
        tail_elapsed_s += 0.5
    for callers in simulation.callers.values():
        callers.hang_up_all()
    advance(SETTLE_S)
    left_open = simulation.open_calls
    leaked = [] if left_open else _leaked_circuits(simulation)
    servers = {exchange.number: fleet.status(exchange.number) or {} for exchange in day.exchanges}
    fleet.close()
    simulation.close()
    if folder is not None:
        captures = read_folder(folder)
    else:
        captures = [read_capture(recorder.lines, name) for name, recorder in simulation.recorders.items()]
    offices = {
        office.name: dict(office.counts)
        for office in [*simulation.replaced_offices, *simulation.offices.values()]
    }
    return DayResult(
        judge(captures),
        service(captures),
        captures,
        servers,
        offices,
        left_open,
        time.perf_counter() - started,
        leaked,
    )


def _leaked_circuits(simulation: SimulatedFleet) -> list[str]:
    """Return the trunk groups that still count circuits in use although no dialogue is left.

    The offices' ends are checked: their own counts, and the counts that the call servers reported to them.
    """
    leaks = []
    for number, trunks in sorted(simulation.trunks.items()):
        for other, group in sorted(trunks.groups.items()):
            if group.local_count or group.remote_count:
                leaks.append(
                    f"{number}-{other}: {group.local_count} from there, {group.remote_count} from here"
                )
    return leaks
