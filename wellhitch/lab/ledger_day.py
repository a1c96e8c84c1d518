"""Plays a day with ledgers across the end of a month and compares the bookings with the captures.

Call servers are killed, machines lose power, clocks differ, and the accounting side loses answers.
"""

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


class _InMemoryOutbox:
    """Hands files to the simulated accounting side in virtual time; receipts are returned by the next poll."""

    def __init__(self, accounting: Accounting, instance: int) -> None:
        self.accounting, self.instance = accounting, instance
        self.receipts: list[bytes] = []

    def put(self, sequence: int, data: bytes) -> None:
        """See `Outbox`."""
        self.receipts += self.accounting.receive_file(self.instance, data)

    def take_receipts(self) -> list[bytes]:
        """See `Outbox`."""
        receipts, self.receipts = self.receipts, []
        return receipts


@dataclass
class LedgerDayResult:
    """The bookings of a played day and the dialogues that its captures show."""

    verdict: Verdict
    established: "dict[tuple[int, int], EstablishedDialogue]"
    booked: dict[tuple[int, int], BookedTotal]
    chain_faults: list[ChainFault]
    accounting: Counter[str]
    exported: dict[int, str]
    counts: Counter[str]
    log_events: list[tuple[int, str, dict[str, Any]]] = field(default_factory=list)


def play(
    day: Day,
    accounting_faults: AccountingFaults,
    seed: int = 1,
    power_cuts: Callable[[int], bool] = lambda number: False,
    after_s: float = 60.0,
    clock_offsets_s: dict[int, float] | None = None,
    disk: str = "",
) -> LedgerDayResult:
    """Play a day that begins six seconds before the month ends, then continue until the month is closed and exported.

    `power_cuts` returns whether a call server that the day's faults kill also loses the power of its machine. `disk`:
    once the month is exported, the second call server is killed and restarts with an `old` disk, as it was in the
    middle of the day, or with a `new`, empty one.
    """
    loop = VirtualLoop()
    log_events: list[tuple[int, str, dict[str, Any]]] = []

    def log(number: int) -> Log:
        def write(event: str, **facts: Any) -> None:
            if event.startswith(("ledger", "store")):
                log_events.append((number, event, facts))

        return write

    try:
        rng = random.Random(seed)
        net = EmulatedNetwork(loop, day.seed, zone_delay(day), day.net.jitter)
        addresses = HostAddresses()
        fleet = InProcessFleet(loop, day, addresses, net, log)
        fleet.clock_offsets_s = clock_offsets_s or {}
        fleet.wall_clock_at_start_us = period_end(PERIOD) - 6_000_000 - round(STARTUP_S * 1e6)
        fleet.power_cut = lambda number: rng.random() if power_cuts(number) else None
        accounting_disk = EmulatedDisk(seed)
        keys = {exchange.number: bytes([exchange.number % 256, 7]) * 16 for exchange in day.exchanges}
        accounting = Accounting(accounting_disk.open("books"), keys, accounting_faults, rng)
        fleet.accounting_channels = {
            number: AccountingChannel(key, _InMemoryOutbox(accounting, number))
            for number, key in keys.items()
        }
        simulation = SimulatedFleet(
            loop, day, net.for_host, addresses, fleet, EmulatedLinkFaultInjector(net), None
        )
        for exchange in day.exchanges:
            fleet.start(exchange.number)
        loop.advance(STARTUP_S)
        simulation.start_callers()
        schedule(simulation)
        second = day.exchanges[1].number
        loop.advance(duration_us(day.length) / 2e6)
        old_disk = fleet.disks[second].after_kill()
        loop.advance(duration_us(day.length) / 2e6)
        simulation.stop_new_calls()
        tail_elapsed_s = 0.0
        while simulation.open_calls and tail_elapsed_s < duration_us(day.tail) / 1e6:
            loop.advance(0.5)
            tail_elapsed_s += 0.5
        for callers in simulation.callers.values():
            callers.hang_up_all()
        loop.advance(SETTLE_S)
        # The trunk connections no longer matter to the ledgers; the connections between call servers stay up.
        remaining_s = (
            period_end(PERIOD) + CLOCK_MARGIN_US - fleet.wall_clock_at_start_us
        ) / 1e6 - loop.time()
        loop.advance(max(0.0, remaining_s) + after_s)
        if disk:
            fleet.kill(second)
            fleet.disks[second] = old_disk if disk == "old" else EmulatedDisk(99)
            fleet.start(second)
            loop.advance(after_s)
        # Dialogues that ended after the month belong to the next one; it is closed by setting all clocks a month ahead.
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
        captures = [read_capture(recorder.lines, name) for name, recorder in simulation.recorders.items()]
        chain_faults = [chain_fault for disk in fleet.disks.values() for chain_fault in verify_disk(disk)]
        return LedgerDayResult(
            judge(captures),
            established_dialogues(captures),
            accounting.booked_totals(),
            chain_faults,
            accounting.counts,
            exported,
            counts,
            log_events=log_events,
        )
    finally:
        loop.close()


def verify_disk(disk: EmulatedDisk) -> list[ChainFault]:
    """Verify the chains on a disk and return their faults."""
    engine = disk.after_kill().open(STORE_NAME)
    chains: dict[ChainId, list[tuple[int, bytes | None]]] = {}
    for record in engine.scan("chain"):
        key = record.key if isinstance(record, DamagedRecord) else record[0]
        chain_id, sequence = ChainId.from_key(key)
        chains.setdefault(chain_id, []).append(
            (sequence, None if isinstance(record, DamagedRecord) else record[2])
        )
    engine.close()
    return [chain_fault for chain_id, rows in chains.items() for chain_fault in verify(chain_id, rows)]


@dataclass(slots=True)
class EstablishedDialogue:
    """A dialogue that was reported to its caller as established, according to the captures.

    `caller_us` and `office_us` are its durations at the caller's end and at the far office's; `office_us` is None if
    the office's capture shows no end.
    """

    tenant: str
    caller_us: int
    office_us: int | None = None


def established_dialogues(captures: list[Capture]) -> dict[tuple[int, int], EstablishedDialogue]:
    """Return the established dialogues by (origin, dialogue).

    Callers do not know these numbers: they are taken from the far office's Setup, which is matched by the called
    number. No two callers share a called number.
    """
    # By called number: (answered, ended, set-up).
    at_offices: dict[str, list[tuple[int, int | None, frames.Setup]]] = {}
    for capture in captures:
        if capture.party == "office":
            _collect_office_dialogues(capture, at_offices)
    established: dict[tuple[int, int], EstablishedDialogue] = {}
    for capture in captures:
        if capture.party != "callers":
            continue
        for call, began, ended in _caller_dialogues(capture):
            # The answer that the caller received is the last one that an office with this number sent before.
            candidates = [found for found in at_offices.get(call.called or "", []) if found[0] <= began]
            if candidates:
                answered, released, setup = max(candidates, key=lambda found: found[0])
                office_us = None if released is None else released - answered
                established[setup.origin, setup.dialogue] = EstablishedDialogue(
                    call.tenant or "", ended - began, office_us
                )
    return established


def _collect_office_dialogues(
    capture: Capture, into: dict[str, list[tuple[int, int | None, frames.Setup]]]
) -> None:
    """Add the dialogues of an office's capture to `into`, by called number."""
    setups: dict[tuple[int, int], frames.Setup] = {}
    answered: dict[tuple[int, int], int] = {}

    def end(key: tuple[int, int], time_us: int | None) -> None:
        if key in answered:
            setup = setups[key]
            into.setdefault(setup.called or "", []).append((answered.pop(key), time_us, setup))

    for record in capture.records:
        if isinstance(record, Note):
            if record.kind == "down":
                for key in [key for key in answered if key[0] == record.facts["link"]]:
                    end(key, record.time_us)
            continue
        frame, key = record.frame, (record.connection, getattr(record.frame, "dial_ref", 0))
        if (
            isinstance(frame, frames.Setup)
            and record.direction == "in"
            and frame.destination == capture.facts["number"]
        ):
            setups[key] = frame
        elif isinstance(frame, frames.Answer) and record.direction == "out" and key in setups:
            answered.setdefault(key, record.time_us)
        elif isinstance(frame, frames.Release) or (
            isinstance(frame, frames.Cut) and record.direction == "out"
        ):
            end(key, record.time_us)
        elif isinstance(frame, frames.Cancel):
            answered.pop(key, None)
    for key in list(answered):
        end(key, None)


def _caller_dialogues(capture: Capture) -> list[tuple[frames.Call, int, int]]:
    """Return the calls that were reported to their caller as established: (call, established, ended) in us."""
    calls: dict[tuple[int, int], frames.Call] = {}
    established: dict[tuple[int, int], int] = {}
    dialogues = []

    def end(key: tuple[int, int], time_us: int) -> None:
        if key in established:
            dialogues.append((calls[key], established.pop(key), time_us))

    for record in capture.records:
        if isinstance(record, Note):
            if record.kind == "down":
                for key in [key for key in established if key[0] == record.facts["link"]]:
                    end(key, record.time_us)
            continue
        frame, key = record.frame, (record.connection, getattr(record.frame, "id", 0))
        if isinstance(frame, frames.Call):
            calls[key] = frame
        elif isinstance(frame, frames.Final) and frame.answer == "stands":
            established[key] = record.time_us
        elif isinstance(frame, (frames.HangUp, frames.Ended)):
            end(key, record.time_us)
    return dialogues


# By how much the durations at a caller and at a call server may differ: the delays between them, an answer or a release
# that is queued in the call server's processor, and the time to detect a broken connection.
TOLERANCE_US = 400_000


def find_discrepancies(result: LedgerDayResult, killed_us: int = 0) -> list[str]:
    """Return a message for each dialogue whose booking differs from the captures.

    `killed_us`: by how much a dialogue cut by a crash may be billed too little.
    """
    discrepancies = []
    for name, seen in result.established.items():
        booked = result.booked.get(name)
        if booked is None:
            discrepancies.append(f"{name}: established for {seen.caller_us} us and is not booked")
            continue
        duration_us = min(seen.caller_us, seen.office_us if seen.office_us is not None else seen.caller_us)
        if not duration_us - TOLERANCE_US - killed_us <= booked.billed <= duration_us + TOLERANCE_US:
            discrepancies.append(
                f"{name}: lasted {seen.caller_us} us at the caller, {seen.office_us} us at the office, booked {booked}"
            )
        if booked.tenant != seen.tenant:
            discrepancies.append(f"{name}: a dialogue of tenant {seen.tenant}, booked to {booked.tenant}")
    discrepancies += [
        f"{name}: booked and never established" for name in result.booked.keys() - result.established.keys()
    ]
    return discrepancies


@dataclass(slots=True)
class Audit:
    """The comparison of the ledgers of a day that was played in processes with its captures.

    `lost` are dialogues without a booking, `wrong` the other discrepancies, `faults` the faults of the stored ledgers.
    """

    established: int
    billed: int
    lost: list[str]
    wrong: list[str]
    faults: list[str]
    killed: int


def audit(folder: Path) -> Audit:
    """Compare the ledgers `ledger-N` of a folder with the captures beside them.

    What each origin's disk settles to must match the dialogues in the captures. Those that are missing on the disk are
    `lost`: a process that is killed loses the entries of the linger interval. Raises BadCapture, StoreError.
    """
    captures = read_folder(folder)
    booked: dict[tuple[int, int], BookedTotal] = {}
    faults: list[str] = []
    for path in sorted(folder.glob("ledger-*")):
        ledger = reader.read(path)
        faults += ledger.faults
        for dialogue in ledger.settled():
            if dialogue.state == "billed":
                booked[dialogue.dialogue_id] = BookedTotal(
                    dialogue.tenant, dialogue.traffic_class, dialogue.billed, 1
                )
    established = established_dialogues(captures)
    notes = [record for capture in captures for record in capture.records if isinstance(record, Note)]
    killed = sum(note.kind == "server_killed" for note in notes)
    result = LedgerDayResult(Verdict([], Counter()), established, booked, [], Counter(), {}, Counter())
    # A killed process bills up to its last heartbeat entry: one second, plus the time that entry waits for the disk.
    discrepancies = find_discrepancies(result, 1_200_000 if killed else 0)
    lost = [discrepancy for discrepancy in discrepancies if discrepancy.endswith("is not booked")]
    wrong = [discrepancy for discrepancy in discrepancies if discrepancy not in lost]
    return Audit(len(established), len(booked), lost, wrong, faults, killed)
