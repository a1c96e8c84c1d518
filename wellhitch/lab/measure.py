"""Measures one call server process over loopback, beside a bare relay of the same frames and `decide` alone.

All in one run, for machines are noisy: ratios count. The offices answer at once and do no work; they and the callers
run in processes of their own, so that the call server's core is the one that is full.
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

SECOND = 1_000_000
USE = TrafficClass("measured", 1.0, 0.2, 1_500_000, 9 * SECOND, 1, 10 * SECOND, (), True, 0)
GROUP = 1 << 20  # circuits: none is ever short, so that all is set up


def facts(number: int, offices: int) -> ev.ServerStarted:
    """Start facts of a measured call server."""
    return ev.ServerStarted(
        seed=1,
        traffic_classes=(USE,),
        topology=ServerTopology(number, offices - 1, False, 0),
        permissions=Permissions(5, True, False, False, 0, True),
        release=ReleaseRule(200_000, 250_000),
        cold_start=ColdStartRule(0.33, 15 * SECOND, 2.5, 2 * SECOND),
    )


class Relay(Switch):
    """The same frames with no decision: each dialogue goes direct."""

    def feed(self, event: ev.Event, now: int) -> None:
        if isinstance(event, ev.DialogueArrived):
            for end in self.offices.values():
                if end.number == event.destination:
                    self._send(event.dialogue, end.id, event.time_left, now)


# ---- the far ends, each a process ----


class _Echo:
    """An office that takes everything at once."""

    def __init__(self, number: int) -> None:
        self.number = number

    def channel_opened(self, port: Channel) -> None:
        """The own call server is told the sizes of its groups."""

    def channel_closed(self, port: Channel, why: str) -> None:
        """Nothing is held."""

    def circuits_held(self, port: Channel) -> int:
        """Nothing is held."""
        return 0

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """Answer at once."""
        match frame:
            case frames.Setup(ref):
                port.send(frames.Answer(ref))
            case frames.ProcessStep(ref, what) if ref:
                port.send(frames.StepProcessed(ref, what))
            case frames.Release(ref) | frames.Cancel(ref):
                port.send(frames.Released(ref))


class _HomeEcho(_Echo):
    def __init__(self, number: int, offices: int) -> None:
        super().__init__(number)
        self.offices = offices

    def channel_opened(self, port: Channel) -> None:
        for other in range(self.offices):
            if other != self.number:
                port.send(frames.GroupState(other, 0, GROUP))


class _List(_Echo):
    def __init__(self, lines: list[frames.OfficeListEntry]) -> None:
        super().__init__(-1)
        self.lines = lines

    def channel_opened(self, port: Channel) -> None:
        port.send(frames.OfficeList("whole", 1, self.lines))


def _listen(
    loop: asyncio.AbstractEventLoop, owner: Any, role: str, number: int, ready: Callable[[Listener], None]
) -> None:
    hello = frames.Hello(role, number, 1)
    LoopbackNetwork(loop).listen(
        "127.0.0.1:0", lambda: Channel(loop, owner, hello, ("call_server",)), lambda listener: ready(listener)
    )


def offices_process(pipe: Connection, numbers: list[int], offices: int, home: int) -> None:
    """Offices of these numbers; tells their addresses, then serves until told to end."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        known: dict[int, str] = {}
        for number in numbers:
            owner = _HomeEcho(number, offices) if number == home else _Echo(number)
            _listen(loop, owner, "office", number, partial(_note_address, known, number))
        while len(known) < len(numbers):
            await asyncio.sleep(0.01)
        pipe.send(known)
        await loop.run_in_executor(None, pipe.recv)

    asyncio.run(run())


def _note_address(known: dict[int, str], number: int, made: Listener) -> None:
    known[number] = made.address


EPOCH = 1_796_083_200_000_000  # us; any wall time does, the first of December 2026


def server_process(
    pipe: Connection, relay: bool, offices: int, known: dict[int, str], hooks: dict[str, str], ledger: str
) -> None:
    """The measured call server at number 0, with a register of its own beside it; its ledger in a folder, if any."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        lines = [
            frames.OfficeListEntry(f"o{n}", n, "ready", None, address) for n, address in sorted(known.items())
        ]
        register: list[str] = []
        _listen(loop, _List(lines), "register", -1, lambda made: register.append(made.address))
        while not register:
            await asyncio.sleep(0.01)

        def make(opened: ev.ServerStarted, max_open: int, outlet: ServerIO) -> Switch:
            return (Relay if relay else Switch)(opened, max_open, outlet)

        doors = ServerAddresses("127.0.0.1:0", "", "", register[0], "")

        def desk(
            on: asyncio.AbstractEventLoop, send: Callable[[int, bytes], bool], log: Log
        ) -> SettlementService:
            disk = SystemDisk(on, Path(ledger))
            keys = NumberKeys({1: b"k" * 32})
            return SettlementService(
                on, disk, 0, (0,), keys, lambda now: EPOCH + now, send, log, random.Random(1)
            )

        daemon = Daemon(
            loop,
            LoopbackNetwork(loop),
            facts(0, offices),
            doors,
            1 << 20,
            1,
            _silent,
            make,
            hooks,
            make_settlement=desk if ledger else None,
        )
        daemon.start()
        while (
            "callers" not in daemon.listeners
            or sum(e.connected for e in daemon.switch.offices.values()) < offices
        ):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        pipe.send(daemon.listeners["callers"].address)
        while True:
            asked = await loop.run_in_executor(None, pipe.recv)
            if asked == "end":
                return
            pipe.send((time.process_time(), _resident(), len(daemon.switch.calls)))

    asyncio.run(run())


def _silent(event: str, **facts: Any) -> None:
    pass


def _resident() -> int:
    """Bytes of memory that this process has resident."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


@dataclass
class _Load:
    """Callers: closed (`width` dialogues at a time, each left as soon as it stands) or open (`rate` a second)."""

    loop: asyncio.AbstractEventLoop
    offices: int
    chance: random.Random
    hold_us: int = 0
    began: dict[int, int] = field(default_factory=dict)
    delays: Any = None
    stood: int = 0
    others: int = 0
    next_id: int = 0
    port: Channel | None = None
    closed: bool = False

    def channel_opened(self, port: Channel) -> None:
        """The call server answers."""
        self.port = port

    def channel_closed(self, port: Channel, why: str) -> None:
        """It is gone."""
        self.port = None

    def circuits_held(self, port: Channel) -> int:
        """No circuits."""
        return 0

    def call(self) -> None:
        """One dialogue more."""
        self.next_id += 1
        self.began[self.next_id] = now_us(self.loop)
        destination = 1 + self.chance.randrange(self.offices - 1)
        call = frames.Call(self.next_id, USE.name, destination, f"{self.next_id:x}", 9 * SECOND)
        if self.port:
            self.port.send(call)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """An answer."""
        if not isinstance(frame, frames.Final):
            return
        took = now_us(self.loop) - self.began.pop(frame.id, 0)
        if frame.answer == "stands":
            self.stood += 1
            if self.delays is not None:
                self.delays.record_value(max(1, took))
            if self.hold_us:
                self.loop.call_later(self.hold_us / 1e6, self._leave, frame.id)
            else:
                self._leave(frame.id)
        else:
            self.others += 1
        if self.closed:
            self.call()

    def _leave(self, id: int) -> None:
        if self.port:
            self.port.send(frames.HangUp(id))


async def _linked(address: str, offices: int) -> tuple[_Load, PersistentChannel]:
    loop = asyncio.get_running_loop()
    load = _Load(loop, offices, random.Random(3))
    hello = frames.Hello("caller", 0, 1)
    link = PersistentChannel(
        loop, LoopbackNetwork(loop), address, load, hello, ("call_server",), random.Random(4)
    )
    while load.port is None:
        await asyncio.sleep(0.01)
    return load, link


# ---- what is measured ----


@dataclass(frozen=True, slots=True)
class Rate:
    """A closed loop: dialogues a second, and how much of a core the call server used."""

    per_s: float
    cpu_share: float


@dataclass(frozen=True, slots=True)
class Delays:
    """An open loop: what was asked and stood, and the set-up delays in us."""

    offered_per_s: float
    established: int
    others: int
    median_us: int
    p99_us: int


class ServerBenchmark:
    """One call server process with its offices, for as long as it is needed."""

    def __init__(
        self, offices: int, relay: bool = False, hooks: dict[str, str] | None = None, ledger: str = ""
    ) -> None:
        context = multiprocessing.get_context("spawn")
        self.offices = offices
        self._running: list[tuple[Any, Connection]] = []
        known: dict[int, str] = {}
        for numbers in ([0], list(range(1, offices))):
            pipe = self._start(context, offices_process, numbers, offices, 0)
            known.update(pipe.recv())
        self.pipe = self._start(context, server_process, relay, offices, known, hooks or {}, ledger)
        self.address: str = self.pipe.recv()

    def _start(self, context: Any, work: Callable[..., None], *args: Any) -> Connection:
        here, there = context.Pipe()
        process = context.Process(target=work, args=(there, *args), daemon=True)
        process.start()
        self._running.append((process, here))
        made: Connection = here
        return made

    def used(self) -> tuple[float, int, int]:
        """CPU seconds, resident bytes and held dialogues of the call server."""
        self.pipe.send("used")
        told: tuple[float, int, int] = self.pipe.recv()
        return told

    def close(self) -> None:
        """End all its processes."""
        for _, pipe in self._running:
            pipe.send("end")
        for process, _ in self._running:
            process.join(5)
            if process.is_alive():
                process.kill()

    def max_rate(self, seconds: float, width: int = 64) -> Rate:
        """As many dialogues as it takes, `width` at a time."""

        async def run() -> Rate:
            load, link = await _linked(self.address, self.offices)
            load.closed = True
            for _ in range(width):
                load.call()
            await asyncio.sleep(0.5)
            stood, used, began = load.stood, self.used()[0], time.perf_counter()
            await asyncio.sleep(seconds)
            took = time.perf_counter() - began
            rate = Rate((load.stood - stood) / took, (self.used()[0] - used) / took)
            load.closed = False
            link.close()
            return rate

        return asyncio.run(run())

    def setup_delays(self, rate: float, seconds: float) -> Delays:
        """`rate` dialogues a second, at chance times, each held for two seconds."""

        async def run() -> Delays:
            load, link = await _linked(self.address, self.offices)
            load.hold_us = 2 * SECOND
            load.delays = HdrHistogram(1, 10 * SECOND, 3)
            loop, chance = load.loop, random.Random(6)
            until = loop.time() + seconds
            due = loop.time()
            while due < until:
                due += chance.expovariate(rate)
                await asyncio.sleep(max(0.0, due - loop.time()))
                load.call()
            await asyncio.sleep(1)
            link.close()
            d = load.delays
            return Delays(
                rate,
                load.stood,
                load.others,
                d.get_value_at_percentile(50),
                d.get_value_at_percentile(99),
            )

        return asyncio.run(run())

    def bytes_per_dialogue(self, dialogues: int) -> float:
        """Bytes of the call server's memory for each dialogue held."""

        async def run() -> float:
            load, link = await _linked(self.address, self.offices)
            load.hold_us = 600 * SECOND
            before = self.used()[1]
            while load.stood + load.others < dialogues:
                if len(load.began) < 64:
                    load.call()
                else:
                    await asyncio.sleep(0)
            _, after, held = self.used()
            link.close()
            return (after - before) / max(1, held)

        return asyncio.run(run())


def decision_rate(offices: int, per_s: float, dialogues: int) -> float:
    """Dialogues a second that the decisions bear on their own: the events of a dialogue that is set up direct and
    stands, at `per_s` of the decisions' own clock, without a frame."""
    x = Exchange()
    now = 0
    decide(x, facts(0, offices), now)
    entries = tuple(ev.OfficeEntry(f"o{n}", n, ev.OfficeState.READY, None) for n in range(offices))
    decide(x, ev.OfficeListReceived(ev.ListKind.FULL, entries), now)
    report = ev.OfficeReport(GROUP, GROUP)
    for n in range(1, offices):
        decide(x, ev.OfficeReported(f"o{n}", False, True, report), now)
    chance = random.Random(9)
    gap, tick = int(SECOND / per_s), SECOND // 4
    next_tick = tick
    began = time.process_time()
    for id in range(1, dialogues + 1):
        now += gap
        while next_tick <= now:
            decide(x, ev.TimerFired(0), next_tick)
            next_tick += tick
        n = 1 + chance.randrange(offices - 1)
        decide(x, ev.DialogueArrived(id, USE.name, n, f"{id:x}", 9 * SECOND, 1, None, False, False), now)
        decide(x, ev.DialogueEstablished(id, 0, 2000), now)
        decide(
            x,
            ev.DialEnded(id, 0, f"o{n}", ev.DialResult.ENDED_WELL, ev.ReleaseCause.NONE, 0, True, report),
            now + 1,
        )
        decide(x, ev.OfficeReported(f"o{n}", False, True, report), now + 1)
    return dialogues / (time.process_time() - began)
