"""A day with ledgers, over a month's end, whose books are held against what the callers and offices saw: call servers
that are killed, machines that lose power, clocks that differ, an accounting side that loses answers."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wellhitch.emulator.disk import EmulatedDisk
from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.judge.rules import Verdict, judge
from wellhitch.lab.fleet import HostAddresses, InProcessFleet, zone_delay
from wellhitch.lab.play import SETTLE_S, STARTUP_S, EmulatedLinkFaultInjector
from wellhitch.ledger import reader
from wellhitch.ledger.chain import ChainFault, ChainId, verify
from wellhitch.ledger.periods import CLOCK_MARGIN_US, next_period, period_end
from wellhitch.ledger.service import STORE_NAME, AccountingChannel
from wellhitch.server.daemon import Log
from wellhitch.settings.day import Day
from wellhitch.settings.server import duration_us
from wellhitch.stand_ins.accounting import Accounting, AccountingFaults, BookedTotal
from wellhitch.stand_ins.faults import schedule
from wellhitch.stand_ins.simulated_fleet import SimulatedFleet
from wellhitch.store.records import DamagedRecord
from wellhitch.trunk import frames
from wellhitch.trunk.capture import Capture, Note, read_capture, read_folder

PERIOD = "2026-12"


class _Box:
    """The way to the stand-in accounting side, in virtual time: receipts come at the next look."""

    def __init__(self, accounting: Accounting, instance: int) -> None:
        self.accounting, self.instance = accounting, instance
        self.back: list[bytes] = []

    def put(self, sequence: int, data: bytes) -> None:
        """As `Box`."""
        self.back += self.accounting.hand_over(self.instance, data)

    def take_receipts(self) -> list[bytes]:
        """As `Box`."""
        out, self.back = self.back, []
        return out


@dataclass
class LedgerDayResult:
    """What a day left in the books, beside what was seen."""

    verdict: Verdict
    established: "dict[tuple[int, int], EstablishedDialogue]"
    booked: dict[tuple[int, int], BookedTotal]
    wrong: list[ChainFault]
    accounting: Counter[str]
    exported: dict[int, str]
    counts: Counter[str]
    words: list[tuple[int, str, dict[str, Any]]] = field(default_factory=list)


def play(
    day: Day,
    ills: AccountingFaults,
    seed: int = 1,
    power_cuts: Callable[[int], bool] = lambda number: False,
    after_s: float = 60.0,
    clock_offsets_s: dict[int, float] | None = None,
    disk: str = "",
) -> LedgerDayResult:
    """Play a day that begins six seconds before the month ends, then as long as closing and export take. A call server
    that the day's troubles kill loses the power of its machine where `power_cuts` says so. `disk`: once the month is
    exported the second call server is killed and comes back with an `old` disk, of the middle of the day, or a `new`
    one."""
    loop = VirtualLoop()
    words: list[tuple[int, str, dict[str, Any]]] = []

    def log(number: int) -> Log:
        def write(event: str, **facts: Any) -> None:
            if event.startswith(("ledger", "store")):
                words.append((number, event, facts))

        return write

    try:
        chance = random.Random(seed)
        net = EmulatedNetwork(loop, day.seed, zone_delay(day), day.net.jitter)
        addresses = HostAddresses()
        fleet = InProcessFleet(loop, day, addresses, net, log)
        fleet.clock_offsets_s = clock_offsets_s or {}
        fleet.wall_clock_at_start_us = period_end(PERIOD) - 6_000_000 - round(STARTUP_S * 1e6)
        fleet.power_cut = lambda number: chance.random() if power_cuts(number) else None
        accounting_disk = EmulatedDisk(seed)
        keys = {one.number: bytes([one.number % 256, 7]) * 16 for one in day.exchanges}
        accounting = Accounting(accounting_disk.open("books"), keys, ills, chance)
        fleet.accounting_channels = {
            number: AccountingChannel(key, _Box(accounting, number)) for number, key in keys.items()
        }
        simulation = SimulatedFleet(loop, day, net.at, addresses, fleet, EmulatedLinkFaultInjector(net), None)
        for one in day.exchanges:
            fleet.start(one.number)
        loop.advance(STARTUP_S)
        simulation.begin()
        schedule(simulation)
        second = day.exchanges[1].number
        loop.advance(duration_us(day.length) / 2e6)
        old = fleet.disks[second].after_kill()
        loop.advance(duration_us(day.length) / 2e6)
        simulation.finish()
        spent = 0.0
        while simulation.open and spent < duration_us(day.tail) / 1e6:
            loop.advance(0.5)
            spent += 0.5
        for callers in simulation.callers.values():
            callers.hang_up()
        loop.advance(SETTLE_S)
        # The day's links are of no use to the books; the ledgers' own go on.
        left = (period_end(PERIOD) + CLOCK_MARGIN_US - fleet.wall_clock_at_start_us) / 1e6 - loop.time()
        loop.advance(max(0.0, left) + after_s)
        if disk:
            fleet.kill(second)
            fleet.disks[second] = old if disk == "old" else EmulatedDisk(99)
            fleet.start(second)
            loop.advance(after_s)
        # What ended after the month counts in the next, which ends as soon as all clocks are set a month on.
        fleet.wall_clock_at_start_us += period_end(next_period(PERIOD)) - period_end(PERIOD)
        loop.advance(after_s)
        exported = {
            number: daemon.settlement.export_progress.completed_period
            for number, daemon in fleet.daemons.items()
            if daemon.settlement
        }
        counts: Counter[str] = Counter()
        for daemon in fleet.daemons.values():
            if daemon.settlement:
                counts += daemon.settlement.counts
        fleet.power_cut = lambda number: None
        fleet.close()
        simulation.close()
        captures = [read_capture(recorder.held, name) for name, recorder in simulation.recorders.items()]
        wrong = [one for disk in fleet.disks.values() for one in verify_disk(disk)]
        return LedgerDayResult(
            judge(captures),
            established_dialogues(captures),
            accounting.booked(),
            wrong,
            accounting.counts,
            exported,
            counts,
            words=words,
        )
    finally:
        loop.close()


def verify_disk(disk: EmulatedDisk) -> list[ChainFault]:
    """What is wrong with the chains on a disk."""
    engine = disk.after_kill().open(STORE_NAME)
    chains: dict[ChainId, list[tuple[int, bytes | None]]] = {}
    for one in engine.scan("chain"):
        key = one.key if isinstance(one, DamagedRecord) else one[0]
        name, seq = ChainId.from_key(key)
        chains.setdefault(name, []).append((seq, None if isinstance(one, DamagedRecord) else one[2]))
    engine.close()
    return [wrong for name, rows in chains.items() for wrong in verify(name, rows)]


@dataclass(slots=True)
class EstablishedDialogue:
    """A dialogue that a caller was told stands, by the captures: how long the caller's end and the far office's saw it
    stand (None: no end seen there)."""

    tenant: str
    caller: int
    office: int | None = None


def established_dialogues(captures: list[Capture]) -> dict[tuple[int, int], EstablishedDialogue]:
    """Dialogues that stood, by their names in the fleet. Callers do not know these: the far office's Setup names the
    dialogue and the number called, which no two callers share."""
    offices: dict[str, list[tuple[int, int | None, frames.Setup]]] = {}  # by number called: answered, ended
    for capture in captures:
        if capture.party == "office":
            _office(capture, offices)
    out: dict[tuple[int, int], EstablishedDialogue] = {}
    for capture in captures:
        if capture.party != "callers":
            continue
        for call, began, ended in _told(capture):
            # The answer on its way to the caller: the last that an office of the number gave before.
            fit = [one for one in offices.get(call.called or "", []) if one[0] <= began]
            if fit:
                answered, over, setup = max(fit, key=lambda one: one[0])
                far = None if over is None else over - answered
                out[setup.origin, setup.dialogue] = EstablishedDialogue(call.tenant or "", ended - began, far)
    return out


def _office(capture: Capture, into: dict[str, list[tuple[int, int | None, frames.Setup]]]) -> None:
    setups: dict[tuple[int, int], frames.Setup] = {}
    standing: dict[tuple[int, int], int] = {}

    def over(key: tuple[int, int], at: int | None) -> None:
        if key in standing:
            setup = setups[key]
            into.setdefault(setup.called or "", []).append((standing.pop(key), at, setup))

    for line in capture.records:
        if isinstance(line, Note):
            if line.kind == "down":
                for key in [key for key in standing if key[0] == line.facts["link"]]:
                    over(key, line.time_us)
            continue
        frame, key = line.frame, (line.connection, getattr(line.frame, "dial_ref", 0))
        if (
            isinstance(frame, frames.Setup)
            and line.direction == "in"
            and frame.destination == capture.facts["number"]
        ):
            setups[key] = frame
        elif isinstance(frame, frames.Answer) and line.direction == "out" and key in setups:
            standing.setdefault(key, line.time_us)
        elif isinstance(frame, frames.Release) or (isinstance(frame, frames.Cut) and line.direction == "out"):
            over(key, line.time_us)
        elif isinstance(frame, frames.Cancel):
            standing.pop(key, None)
    for key in list(standing):
        over(key, None)


def _told(capture: Capture) -> list[tuple[frames.Call, int, int]]:
    """Calls that were told to stand: when they heard, and when that was over for the caller."""
    calls: dict[tuple[int, int], frames.Call] = {}
    heard: dict[tuple[int, int], int] = {}
    out = []

    def over(key: tuple[int, int], at: int) -> None:
        if key in heard:
            out.append((calls[key], heard.pop(key), at))

    for line in capture.records:
        if isinstance(line, Note):
            if line.kind == "down":
                for key in [key for key in heard if key[0] == line.facts["link"]]:
                    over(key, line.time_us)
            continue
        frame, key = line.frame, (line.connection, getattr(line.frame, "id", 0))
        if isinstance(frame, frames.Call):
            calls[key] = frame
        elif isinstance(frame, frames.Final) and frame.answer == "stands":
            heard[key] = line.time_us
        elif isinstance(frame, (frames.HangUp, frames.Ended)):
            over(key, line.time_us)
    return out


WAY = 400_000  # us that a caller's and a call server's view of one span may differ: the ways between them, an answer or
# a release that waits in the own processor, and a link that is found broken


def find_discrepancies(books: LedgerDayResult, killed_us: int = 0) -> list[str]:
    """Where the books are not what stood. `killed_us`: what a dialogue cut by a crash may be billed too little."""
    out = []
    for name, stood in books.established.items():
        booked = books.booked.get(name)
        if booked is None:
            out.append(f"{name}: stood {stood.caller} and is not booked")
            continue
        most = min(stood.caller, stood.office if stood.office is not None else stood.caller)
        if not most - WAY - killed_us <= booked.billed <= most + WAY:
            out.append(
                f"{name}: stood {stood.caller} at the caller, {stood.office} at the office, booked {booked}"
            )
        if booked.tenant != stood.tenant:
            out.append(f"{name}: of {stood.tenant}, booked to {booked.tenant}")
    out += [f"{name}: booked and never stood" for name in books.booked.keys() - books.established.keys()]
    return out


@dataclass(slots=True)
class Audit:
    """The ledgers of a day that was played in processes, held against its captures."""

    established: int
    billed: int
    lost: list[str]
    wrong: list[str]
    faults: list[str]
    killed: int


def audit(folder: Path) -> Audit:
    """Hold `ledger-N` of a folder against the captures beside them: what each origin's disk settles to is what stood.
    `lost`: dialogues that stood and are not on the disk, as a process that is killed loses what came within the linger.
    Raises BadCapture, StoreFault."""
    captures = read_folder(folder)
    booked: dict[tuple[int, int], BookedTotal] = {}
    faults: list[str] = []
    for path in sorted(folder.glob("ledger-*")):
        found = reader.read(path)
        faults += found.faults
        for one in found.settled():
            if one.state == "billed":
                booked[one.dialogue_id] = BookedTotal(one.tenant, one.traffic_class, one.billed, 1)
    stood = established_dialogues(captures)
    notes = [line for capture in captures for line in capture.records if isinstance(line, Note)]
    killed = sum(note.kind == "server_killed" for note in notes)
    books = LedgerDayResult(Verdict([], Counter()), stood, booked, [], Counter(), {}, Counter())
    # A process that was killed is billed to its last note of life: a second, and as long as that waits for the disk.
    found_wrong = find_discrepancies(books, 1_200_000 if killed else 0)
    lost = [one for one in found_wrong if one.endswith("is not booked")]
    wrong = [one for one in found_wrong if one not in lost]
    return Audit(len(stood), len(booked), lost, wrong, faults, killed)
