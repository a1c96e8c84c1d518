"""Benchmarks one call server process over loopback, with two baselines: a bare relay of the same frames and `decide`
alone.

All are measured in one run, because machines are noisy: the ratios count. The offices answer at once and do no work;
they and the callers run in separate processes, so that only the call server's core is saturated.
"""

import asyncio
import multiprocessing
import os
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from wellhitch.interface import events as ev
from wellhitch.interface.facts import ColdStartRule, Permissions, ReleaseRule, ServerTopology, TrafficClass
from wellhitch.interface.state import Exchange
from wellhitch.ledger.entries import NumberKeys
from wellhitch.ledger.service import SettlementService
from wellhitch.net.transport import Listener, LoopbackNetwork, now_us
from wellhitch.rules import decide
from wellhitch.server.daemon import Daemon, Log, ServerAddresses
from wellhitch.server.switch import ServerIO, Switch
from wellhitch.store.system import SystemDisk
from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel, PersistentChannel

SECOND_US = 1_000_000
TRAFFIC_CLASS = TrafficClass("measured", 1.0, 0.2, 1_500_000, 9 * SECOND_US, 1, 10 * SECOND_US, (), True, 0)
GROUP_CIRCUITS = 1 << 20  # never exhausted, so that every set-up succeeds


def server_started(number: int, offices: int) -> ev.ServerStarted:
    """Return the start event of a measured call server."""
    return ev.ServerStarted(
        seed=1,
        traffic_classes=(TRAFFIC_CLASS,),
        topology=ServerTopology(number, offices - 1, False, 0),
        permissions=Permissions(5, True, False, False, 0, True),
        release=ReleaseRule(200_000, 250_000),
        cold_start=ColdStartRule(0.33, 15 * SECOND_US, 2.5, 2 * SECOND_US),
    )


class Relay(Switch):
    """A switch that sends the same frames without decisions: each dialogue takes the direct route."""

    def feed(self, event: ev.Event, now: int) -> None:
        if isinstance(event, ev.DialogueArrived):
            for office in self.offices.values():
                if office.number == event.destination:
                    self._dial(event.dialogue, office.id, event.time_left, now)


# ---- offices and the call server, each in a separate process ----


class _EchoOffice:
    """An office that answers everything at once."""

    def __init__(self, number: int) -> None:
        self.number = number

    def channel_opened(self, port: Channel) -> None:
        """Do nothing: only the call server's home office reports group sizes."""

    def channel_closed(self, port: Channel, why: str) -> None:
        """Do nothing: the office keeps no dialogues."""

    def circuits_held(self, port: Channel) -> int:
        """Return zero: the office keeps no dialogues."""
        return 0

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """Answer at once."""
        match frame:
            case frames.Setup(dial_ref):
                port.send(frames.Answer(dial_ref))
            case frames.ProcessStep(dial_ref, step) if dial_ref:
                port.send(frames.StepProcessed(dial_ref, step))
            case frames.Release(dial_ref) | frames.Cancel(dial_ref):
                port.send(frames.Released(dial_ref))


class _HomeEchoOffice(_EchoOffice):
    """The echo office of the measured call server's exchange, which reports the sizes of the trunk groups."""

    def __init__(self, number: int, offices: int) -> None:
        super().__init__(number)
        self.offices = offices

    def channel_opened(self, port: Channel) -> None:
        for other in range(self.offices):
            if other != self.number:
                port.send(frames.GroupState(other, 0, GROUP_CIRCUITS))


class _DiscoveryEcho(_EchoOffice):
    """A discovery server that sends one list of offices."""

    def __init__(self, entries: list[frames.OfficeListEntry]) -> None:
        super().__init__(-1)
        self.entries = entries

    def channel_opened(self, port: Channel) -> None:
        port.send(frames.OfficeList("whole", 1, self.entries))


def _listen(
    loop: asyncio.AbstractEventLoop, owner: Any, role: str, number: int, ready: Callable[[Listener], None]
) -> None:
    hello = frames.Hello(role, number, 1)
    LoopbackNetwork(loop).listen(
        "127.0.0.1:0", lambda: Channel(loop, owner, hello, ("call_server",)), lambda listener: ready(listener)
    )


def offices_process(pipe: Connection, numbers: list[int], offices: int, home: int) -> None:
    """Run the offices with these numbers: send their addresses over `pipe`, then serve until it delivers a message."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        addresses: dict[int, str] = {}
        for number in numbers:
            office = _HomeEchoOffice(number, offices) if number == home else _EchoOffice(number)
            _listen(loop, office, "office", number, partial(_record_address, addresses, number))
        while len(addresses) < len(numbers):
            await asyncio.sleep(0.01)
        pipe.send(addresses)
        await loop.run_in_executor(None, pipe.recv)

    asyncio.run(run())


def _record_address(addresses: dict[int, str], number: int, listener: Listener) -> None:
    addresses[number] = listener.address


START_TIME_US = 1_796_083_200_000_000  # any Unix time will do: the first of December 2026


def server_process(
    pipe: Connection, relay: bool, offices: int, addresses: dict[int, str], hooks: dict[str, str], ledger: str
) -> None:
    """Run the measured call server as number 0 with its own discovery server.

    `ledger`: the folder of its ledger, or an empty string for none.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        entries = [
            frames.OfficeListEntry(f"o{n}", n, "ready", None, address)
            for n, address in sorted(addresses.items())
        ]
        discovery: list[str] = []
        _listen(
            loop, _DiscoveryEcho(entries), "register", -1, lambda listener: discovery.append(listener.address)
        )
        while not discovery:
            await asyncio.sleep(0.01)

        def make_switch(started: ev.ServerStarted, max_open: int, io: ServerIO) -> Switch:
            return (Relay if relay else Switch)(started, max_open, io)

        server_addresses = ServerAddresses("127.0.0.1:0", "", "", discovery[0], "")

        def make_settlement(
            ledger_loop: asyncio.AbstractEventLoop, send: Callable[[int, bytes], bool], log: Log
        ) -> SettlementService:
            disk = SystemDisk(ledger_loop, Path(ledger))
            keys = NumberKeys({1: b"k" * 32})
            return SettlementService(
                ledger_loop, disk, 0, (0,), keys, lambda now: START_TIME_US + now, send, log, random.Random(1)
            )

        daemon = Daemon(
            loop,
            LoopbackNetwork(loop),
            server_started(0, offices),
            server_addresses,
            1 << 20,
            1,
            _discard_log,
            make_switch,
            hooks,
            make_settlement=make_settlement if ledger else None,
        )
        daemon.start()
        while (
            "callers" not in daemon.listeners
            or sum(office.connected for office in daemon.switch.offices.values()) < offices
        ):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        pipe.send(daemon.listeners["callers"].address)
        while True:
            request = await loop.run_in_executor(None, pipe.recv)
            if request == "end":
                return
            pipe.send((time.process_time(), _resident_bytes(), len(daemon.switch.calls)))

    asyncio.run(run())


def _discard_log(event: str, **fields: Any) -> None:
    pass


def _resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


@dataclass
class _LoadGenerator:
    """The callers of a benchmark.

    Closed loop: a fixed number of dialogues at a time, each released as soon as it is established. Open loop: a rate of
    dialogues per second.
    """

    loop: asyncio.AbstractEventLoop
    offices: int
    rng: random.Random
    hold_us: int = 0
    started: dict[int, int] = field(default_factory=dict)
    delays: Any = None
    established: int = 0
    others: int = 0
    next_id: int = 0
    port: Channel | None = None
    closed: bool = False

    def channel_opened(self, port: Channel) -> None:
        """Keep the connection to the call server."""
        self.port = port

    def channel_closed(self, port: Channel, why: str) -> None:
        """Forget the connection to the call server."""
        self.port = None

    def circuits_held(self, port: Channel) -> int:
        """Return zero: callers have no circuits."""
        return 0

    def call(self) -> None:
        """Start one more dialogue."""
        self.next_id += 1
        self.started[self.next_id] = now_us(self.loop)
        destination = 1 + self.rng.randrange(self.offices - 1)
        call = frames.Call(self.next_id, TRAFFIC_CLASS.name, destination, f"{self.next_id:x}", 9 * SECOND_US)
        if self.port:
            self.port.send(call)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """Count a final answer and record its set-up delay."""
        if not isinstance(frame, frames.Final):
            return
        delay_us = now_us(self.loop) - self.started.pop(frame.id, 0)
        if frame.answer == "stands":
            self.established += 1
            if self.delays is not None:
                self.delays.record_value(max(1, delay_us))
            if self.hold_us:
                self.loop.call_later(self.hold_us / 1e6, self._hang_up, frame.id)
            else:
                self._hang_up(frame.id)
        else:
            self.others += 1
        if self.closed:
            self.call()

    def _hang_up(self, id: int) -> None:
        if self.port:
            self.port.send(frames.HangUp(id))


async def _connect(address: str, offices: int) -> tuple[_LoadGenerator, PersistentChannel]:
    loop = asyncio.get_running_loop()
    load = _LoadGenerator(loop, offices, random.Random(3))
    hello = frames.Hello("caller", 0, 1)
    channel = PersistentChannel(
        loop, LoopbackNetwork(loop), address, load, hello, ("call_server",), random.Random(4)
    )
    while load.port is None:
        await asyncio.sleep(0.01)
    return load, channel


# ---- measurements ----


@dataclass(frozen=True, slots=True)
class Rate:
    """The result of a closed loop: dialogues per second, and the share of a core that the call server used."""

    per_s: float
    cpu_share: float


@dataclass(frozen=True, slots=True)
class Delays:
    """The result of an open loop: the offered rate, the dialogues by outcome, and percentiles of the set-up delay."""

    offered_per_s: float
    established: int
    others: int
    median_us: int
    p99_us: int


class ServerBenchmark:
    """One call server process with its offices, which run until `close`."""

    def __init__(
        self, offices: int, relay: bool = False, hooks: dict[str, str] | None = None, ledger: str = ""
    ) -> None:
        context = multiprocessing.get_context("spawn")
        self.offices = offices
        self._running: list[tuple[Any, Connection]] = []
        addresses: dict[int, str] = {}
        for numbers in ([0], list(range(1, offices))):
            pipe = self._start(context, offices_process, numbers, offices, 0)
            addresses.update(pipe.recv())
        self.pipe = self._start(context, server_process, relay, offices, addresses, hooks or {}, ledger)
        self.address: str = self.pipe.recv()

    def _start(self, context: Any, target: Callable[..., None], *args: Any) -> Connection:
        parent_end, child_end = context.Pipe()
        process = context.Process(target=target, args=(child_end, *args), daemon=True)
        process.start()
        self._running.append((process, parent_end))
        connection: Connection = parent_end
        return connection

    def usage(self) -> tuple[float, int, int]:
        """Return the CPU seconds, resident bytes and open dialogues of the call server."""
        self.pipe.send("used")
        usage: tuple[float, int, int] = self.pipe.recv()
        return usage

    def close(self) -> None:
        """End the call server and its offices; kill those that do not exit within five seconds."""
        for _, pipe in self._running:
            pipe.send("end")
        for process, _ in self._running:
            process.join(5)
            if process.is_alive():
                process.kill()

    def max_rate(self, seconds: float, concurrency: int = 64) -> Rate:
        """Measure the rate of a closed loop with `concurrency` dialogues at a time."""

        async def run() -> Rate:
            load, channel = await _connect(self.address, self.offices)
            load.closed = True
            for _ in range(concurrency):
                load.call()
            await asyncio.sleep(0.5)
            established, cpu_s, started = load.established, self.usage()[0], time.perf_counter()
            await asyncio.sleep(seconds)
            elapsed_s = time.perf_counter() - started
            rate = Rate((load.established - established) / elapsed_s, (self.usage()[0] - cpu_s) / elapsed_s)
            load.closed = False
            channel.close()
            return rate

        return asyncio.run(run())

    def setup_delays(self, rate: float, seconds: float) -> Delays:
        """Measure the set-up delays of `rate` dialogues per second, at random times and held for two seconds each."""

        async def run() -> Delays:
            load, channel = await _connect(self.address, self.offices)
            load.hold_us = 2 * SECOND_US
            load.delays = HdrHistogram(1, 10 * SECOND_US, 3)
            loop, rng = load.loop, random.Random(6)
            until = loop.time() + seconds
            due = loop.time()
            while due < until:
                due += rng.expovariate(rate)
                await asyncio.sleep(max(0.0, due - loop.time()))
                load.call()
            await asyncio.sleep(1)
            channel.close()
            delays = load.delays
            return Delays(
                rate,
                load.established,
                load.others,
                delays.get_value_at_percentile(50),
                delays.get_value_at_percentile(99),
            )

        return asyncio.run(run())

    def bytes_per_dialogue(self, dialogues: int) -> float:
        """Measure the memory of the call server in bytes per open dialogue."""

        async def run() -> float:
            load, channel = await _connect(self.address, self.offices)
            load.hold_us = 600 * SECOND_US
            before = self.usage()[1]
            while load.established + load.others < dialogues:
                if len(load.started) < 64:
                    load.call()
                else:
                    await asyncio.sleep(0)
            _, after, open_dialogues = self.usage()
            channel.close()
            return (after - before) / max(1, open_dialogues)

        return asyncio.run(run())


def decision_rate(offices: int, per_s: float, dialogues: int) -> float:
    """Measure how many dialogues per second the decisions alone can handle.

    The decisions get the events of dialogues that are set up on the direct route and established, `per_s` per second of
    their own clock; no frames are sent.
    """
    exchange = Exchange()
    now = 0
    decide(exchange, server_started(0, offices), now)
    entries = tuple(ev.OfficeEntry(f"o{n}", n, ev.OfficeState.READY, None) for n in range(offices))
    decide(exchange, ev.OfficeListReceived(ev.ListKind.FULL, entries), now)
    report = ev.OfficeReport(GROUP_CIRCUITS, GROUP_CIRCUITS)
    for n in range(1, offices):
        decide(exchange, ev.OfficeReported(f"o{n}", False, True, report), now)
    rng = random.Random(9)
    interval_us, tick_us = int(SECOND_US / per_s), SECOND_US // 4
    next_tick = tick_us
    started = time.process_time()
    for id in range(1, dialogues + 1):
        now += interval_us
        while next_tick <= now:
            decide(exchange, ev.TimerFired(0), next_tick)
            next_tick += tick_us
        n = 1 + rng.randrange(offices - 1)
        decide(
            exchange,
            ev.DialogueArrived(id, TRAFFIC_CLASS.name, n, f"{id:x}", 9 * SECOND_US, 1, None, False, False),
            now,
        )
        decide(exchange, ev.DialogueEstablished(id, 0, 2000), now)
        decide(
            exchange,
            ev.DialEnded(id, 0, f"o{n}", ev.DialResult.ENDED_WELL, ev.ReleaseCause.NONE, 0, True, report),
            now + 1,
        )
        decide(exchange, ev.OfficeReported(f"o{n}", False, True, report), now + 1)
    return dialogues / (time.process_time() - started)
