"""Benchmarks of the ledger.

They measure the write rate compared with the bare store, the recovery, the verification, and reconciliation compared
with invertible sketches.
"""

import random
import shutil
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from wellhitch.lab.sketches import CELL_BYTES, HASHES, Sketch, make_item
from wellhitch.ledger.chain import ChainId, verify
from wellhitch.ledger.entries import NumberKeys
from wellhitch.ledger.journal import DialogueFacts, open_journal
from wellhitch.ledger.periods import period_end
from wellhitch.ledger.reconcile import (
    MAX_FETCHED_ROWS,
    RETRY_INTERVAL_US,
    Collection,
    CompareRanges,
    Fetch,
    Pull,
    compare_ranges,
)
from wellhitch.ledger.service import DIGESTS_PER_READ, read_digests, read_store
from wellhitch.store.engine import Engine
from wellhitch.store.records import Change
from wellhitch.store.writer import MAX_CHANGES_PER_COMMIT

START_US = period_end("2026-11")
ROW_BYTES = 200  # approximate size of a fetched row


def _dialogues(count: int) -> Iterator[list[Change]]:
    """Yield the changes of `count` dialogues as their origin records them, two rows each."""
    journal, _ = open_journal(3, None, None, 7, NumberKeys({1: b"k" * 32}))
    for n in range(count):
        dialogue = DialogueFacts("origin", 3, n, "card-lock", n % 60, f"{n:010}", 1, f"tenant-{n % 20}")
        yield journal.answered(dialogue, "stands", START_US + n * 2000, n * 2000) + journal.ended(
            "origin", 3, n, "released", START_US + n * 2000 + 1000, n * 2000 + 1000
        )


def _commits(
    engine: Engine, changes: Iterator[list[Change]], max_changes: int = MAX_CHANGES_PER_COMMIT
) -> tuple[int, float]:
    """Write all changes in groups; return their number and the seconds spent on writing alone."""
    count, write_s, batch = 0, 0.0, list[Change]()

    def commit() -> None:
        nonlocal count, write_s
        started = time.perf_counter()
        engine.commit(batch)
        write_s += time.perf_counter() - started
        count += len(batch)
        batch.clear()
        if engine.sizes().log > 4000:
            engine.checkpoint()

    for dialogue_changes in changes:
        batch += dialogue_changes
        if len(batch) >= max_changes:
            commit()
    if batch:
        commit()
    return count, write_s


def measure_rates(folder: Path, entries: int) -> list[str]:
    """Measure writing, recovery and verification of `entries` entries."""
    lines = [f"{entries:,} entries on disk"]
    raw = Engine(str(folder / "raw"))
    raw_changes = ([Change("raw", n.to_bytes(20, "big"), b"x" * 120)] for n in range(entries))
    started = time.perf_counter()
    raw_count, raw_write_s = _commits(raw, raw_changes)
    raw_total_s = time.perf_counter() - started
    raw.close()
    engine = Engine(str(folder / "ledger"))
    started = time.perf_counter()
    _, write_s = _commits(engine, _dialogues(entries // 2))
    total_s = time.perf_counter() - started
    lines.append(f"  store alone, records of 120 bytes     {raw_count / raw_total_s:10,.0f} a second")
    lines.append(
        f"  entries, made, chained and written    {entries / total_s:10,.0f} a second, "
        f"{write_s / total_s:.0%} of it writing"
    )
    lines.append(
        f"  the disk has {sum(path.stat().st_size for path in folder.glob('ledger*')) / entries:.0f} bytes an entry"
    )
    journal, _ = open_journal(3, None, None, 7, NumberKeys({}))
    engine.commit(journal.heartbeat(START_US))
    # The state after a kill: the log is not checkpointed and nothing is closed.
    shutil.copytree(folder, folder / "killed", ignore=shutil.ignore_patterns("raw*", "killed"))
    started = time.perf_counter()
    recovered = Engine(str(folder / "killed" / "ledger"))
    open_s = time.perf_counter() - started
    read_store(recovered)
    ready_s = time.perf_counter() - started
    lines.append(
        f"  recovery after a kill                 {ready_s:10.3f} s until entries are added again (aim 3 s), "
        f"{open_s:.3f} s of it the database's own"
    )
    started, count, after = time.perf_counter(), 0, b""
    while True:
        digests, last = read_digests(recovered, "chain", after, DIGESTS_PER_READ)
        count += len(digests)
        if last is None:
            break
        after = last
    elapsed_s = time.perf_counter() - started
    lines.append(
        f"  digests read beside the work          {count / elapsed_s:10,.0f} a second, {elapsed_s:.1f} s in all"
    )
    chain_id = ChainId(3, 7)
    started = time.perf_counter()
    rows = (
        (int.from_bytes(record[0][12:], "big"), record[2])
        for record in recovered.scan("chain", chain_id.key(), chain_id.key((1 << 64) - 1))
        if isinstance(record, tuple)
    )
    chain_faults = list(verify(chain_id, rows))
    elapsed_s = time.perf_counter() - started
    lines.append(
        f"  verify                                {entries / elapsed_s:10,.0f} entries a second, "
        f"{len(chain_faults)} faults"
    )
    recovered.close()
    engine.close()
    return lines


def _reconcile_by_ranges(
    mine: Collection, theirs: Collection, loss: float, seed: int
) -> tuple[int, int, int, float]:
    """Pull until both collections are equal.

    Returns the bytes in both directions without the rows, the bytes of the rows, the rounds and the CPU seconds.
    """
    rng, pull, now = random.Random(seed), Pull("about/2026-12", mine), 0
    message_bytes = row_bytes = 0
    started = time.process_time()
    while not pull.done:
        for message in pull.next_requests(now):
            message_bytes += len(msgspec.msgpack.encode(message))
            if rng.random() < loss:
                continue
            if isinstance(message, CompareRanges):
                differences = compare_ranges(theirs, message)
                message_bytes += len(msgspec.msgpack.encode(differences))
                if rng.random() >= loss:
                    pull.apply_differences(differences)
            elif isinstance(message, Fetch):
                row_bytes += (ROW_BYTES + 24) * len(message.keys)
                if rng.random() >= loss:
                    for key in message.keys:
                        pull.accept_row(key, theirs.get(key) or b"")
        now += RETRY_INTERVAL_US
    return message_bytes, row_bytes, pull.rounds, time.process_time() - started


def _reconcile_by_sketch(
    mine: Collection, theirs: Collection, difference_count: int
) -> tuple[int, int, float]:
    """Reconcile with invertible sketches, without message loss.

    The first size fits the given number of differences (an estimator would cost about 10 KB more); it is doubled while
    it is too small. Returns the bytes, the rounds and the CPU seconds.
    """
    size, sent_bytes, rounds = (difference_count + 6) * 3 // 2 // HASHES * HASHES, 0, 0
    started = time.process_time()
    own_items = [make_item(key, digest) for key, digest in mine.items(b"", b"")]
    other_items = [make_item(key, digest) for key, digest in theirs.items(b"", b"")]
    while True:
        remote = Sketch(size)
        remote.add(other_items)
        rounds += 1
        sent_bytes += size * CELL_BYTES
        local = Sketch(size)
        local.add(own_items)
        if remote.subtract(local).decode() is not None:
            return sent_bytes, rounds, time.process_time() - started
        size *= 2


def measure_reconciliation(items: int) -> list[str]:
    """Measure the bytes, rounds and time to make two collections equal."""
    rng = random.Random(3)
    entries = [(ChainId(3, 7).key(n), rng.randbytes(16)) for n in range(items)]
    full_bytes = items * (20 + 16)
    lines = [f"reconciling {items:,} entries; sending all keys and digests: {full_bytes:,} bytes"]
    lines.append(
        "  differences  loss   ranges: bytes  of all  rounds  cpu s    + rows    sketches: bytes  rounds  cpu s"
    )
    theirs = Collection()
    theirs.extend(entries)
    theirs.summarize(b"", b"")
    for differences in (0, 10, 1000):
        missing = set(rng.sample(range(items), differences))
        base = Collection()
        base.extend(entry for n, entry in enumerate(entries) if n not in missing)
        base.summarize(b"", b"")
        for loss in (0.0, 0.1, 0.3):
            mine = Collection(list(base.keys), list(base.digests), list(base._sums))
            message_bytes, row_bytes, rounds, cpu_s = _reconcile_by_ranges(mine, theirs, loss, 1)
            sketch_columns = ""
            if loss == 0.0:
                sketch_bytes, sketch_rounds, sketch_cpu_s = _reconcile_by_sketch(
                    base, theirs, 1 + differences
                )
                sketch_columns = f"{sketch_bytes:15,}  {sketch_rounds:6}  {sketch_cpu_s:5.1f}"
            lines.append(
                f"  {differences:11}  {loss:4.0%}  {message_bytes:14,}  {message_bytes / full_bytes:6.3%}"
                f"  {rounds:6}  {cpu_s:5.2f}"
                f"  {row_bytes:8,}  {sketch_columns}"
            )
    lines.append(f"  at most {MAX_FETCHED_ROWS} rows a question; a row has some {ROW_BYTES} bytes")
    return lines


def report(entries: int, progress: Callable[[str], None]) -> None:
    """Run all measurements and pass each line of the report to `progress`."""
    folder = Path(tempfile.mkdtemp(prefix="wellhitch-ledger-"))
    try:
        for line in measure_rates(folder, entries):
            progress(line)
        for line in measure_reconciliation(entries):
            progress(line)
    finally:
        shutil.rmtree(folder)
