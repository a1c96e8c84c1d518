"""Measures the ledger: entries a second beside the store's own rate, recovery of a million entries, verifying,
reconciling beside other ways, and what it costs a call server."""

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

START = period_end("2026-11")
ROW = 200  # bytes of a row that is fetched, about


def _dialogues(count: int) -> Iterator[list[Change]]:
    """Changes of dialogues as one origin sees them, two rows each."""
    book, _ = open_journal(3, None, None, 7, NumberKeys({1: b"k" * 32}))
    for n in range(count):
        seen = DialogueFacts("origin", 3, n, "card-lock", n % 60, f"{n:010}", 1, f"tenant-{n % 20}")
        yield book.answered(seen, "stands", START + n * 2000, n * 2000) + book.ended(
            "origin", 3, n, "released", START + n * 2000 + 1000, n * 2000 + 1000
        )


def _commits(
    engine: Engine, changes: Iterator[list[Change]], most: int = MAX_CHANGES_PER_COMMIT
) -> tuple[int, float]:
    """Write all in groups; how many changes, and the seconds that writing alone took."""
    count, spent, batch = 0, 0.0, list[Change]()

    def commit() -> None:
        nonlocal count, spent
        began = time.perf_counter()
        engine.commit(batch)
        spent += time.perf_counter() - began
        count += len(batch)
        batch.clear()
        if engine.sizes().log > 4000:
            engine.checkpoint()

    for some in changes:
        batch += some
        if len(batch) >= most:
            commit()
    if batch:
        commit()
    return count, spent


def rates(folder: Path, entries: int) -> list[str]:
    """Writing, recovery and verifying of so many entries."""
    out = [f"{entries:,} entries on disk"]
    raw = Engine(str(folder / "raw"))
    plain = ([Change("raw", n.to_bytes(20, "big"), b"x" * 120)] for n in range(entries))
    began = time.perf_counter()
    raw_count, raw_spent = _commits(raw, plain)
    raw_all = time.perf_counter() - began
    raw.close()
    engine = Engine(str(folder / "ledger"))
    began = time.perf_counter()
    _, spent = _commits(engine, _dialogues(entries // 2))
    whole = time.perf_counter() - began
    out.append(f"  store alone, records of 120 bytes     {raw_count / raw_all:10,.0f} a second")
    out.append(
        f"  entries, made, chained and written    {entries / whole:10,.0f} a second, {spent / whole:.0%} of it writing"
    )
    out.append(
        f"  the disk has {sum(one.stat().st_size for one in folder.glob('ledger*')) / entries:.0f} bytes an entry"
    )
    book, _ = open_journal(3, None, None, 7, NumberKeys({}))
    engine.commit(book.heartbeat(START))
    # As after a kill: the log is not brought in, nothing is closed.
    shutil.copytree(folder, folder / "killed", ignore=shutil.ignore_patterns("raw*", "killed"))
    began = time.perf_counter()
    again = Engine(str(folder / "killed" / "ledger"))
    opened = time.perf_counter() - began
    read_store(again)
    ready = time.perf_counter() - began
    out.append(
        f"  recovery after a kill                 {ready:10.3f} s until entries are added again (aim 3 s), "
        f"{opened:.3f} s of it the database's own"
    )
    began, count, after = time.perf_counter(), 0, b""
    while True:
        some, last = read_digests(again, "chain", after, DIGESTS_PER_READ)
        count += len(some)
        if last is None:
            break
        after = last
    spent = time.perf_counter() - began
    out.append(
        f"  digests read beside the work          {count / spent:10,.0f} a second, {spent:.1f} s in all"
    )
    name = ChainId(3, 7)
    began = time.perf_counter()
    rows = (
        (int.from_bytes(one[0][12:], "big"), one[2])
        for one in again.scan("chain", name.key(), name.key((1 << 64) - 1))
        if isinstance(one, tuple)
    )
    wrong = list(verify(name, rows))
    spent = time.perf_counter() - began
    out.append(
        f"  verify                                {entries / spent:10,.0f} entries a second, {len(wrong)} faults"
    )
    again.close()
    engine.close()
    return out


def _level(mine: Collection, theirs: Collection, loss: float, seed: int) -> tuple[int, int, int, float]:
    """Pull until level: bytes both ways without the rows, bytes of rows, rounds, seconds of processor."""
    chance, pull, now = random.Random(seed), Pull("about/2026-12", mine), 0
    asked = rows = 0
    began = time.process_time()
    while not pull.done:
        for message in pull.next_requests(now):
            asked += len(msgspec.msgpack.encode(message))
            if chance.random() < loss:
                continue
            if isinstance(message, CompareRanges):
                told = compare_ranges(theirs, message)
                asked += len(msgspec.msgpack.encode(told))
                if chance.random() >= loss:
                    pull.apply_differences(told)
            elif isinstance(message, Fetch):
                rows += (ROW + 24) * len(message.keys)
                if chance.random() >= loss:
                    for key in message.keys:
                        pull.accept_row(key, theirs.get(key) or b"")
        now += RETRY_INTERVAL_US
    return asked, rows, pull.rounds, time.process_time() - began


def _by_sketch(mine: Collection, theirs: Collection, guess: int) -> tuple[int, int, float]:
    """The same with invertible sketches, nothing lost, the size guessed well at once (an estimator would cost some
    10 KB more) and doubled where it was too small: bytes, rounds, seconds of processor."""
    size, sent, rounds = (guess + 6) * 3 // 2 // HASHES * HASHES, 0, 0
    began = time.process_time()
    own = [make_item(key, digest) for key, digest in mine.items(b"", b"")]
    other = [make_item(key, digest) for key, digest in theirs.items(b"", b"")]
    while True:
        there = Sketch(size)
        there.add(other)
        rounds += 1
        sent += size * CELL_BYTES
        here = Sketch(size)
        here.add(own)
        if there.subtract(here).decode() is not None:
            return sent, rounds, time.process_time() - began
        size *= 2


def reconciling(items: int) -> list[str]:
    """Bytes, rounds and time to make two collections level."""
    chance = random.Random(3)
    whole = [(ChainId(3, 7).key(n), chance.randbytes(16)) for n in range(items)]
    everything = items * (20 + 16)
    out = [f"reconciling {items:,} entries; sending all keys and digests: {everything:,} bytes"]
    out.append(
        "  differences  loss   ranges: bytes  of all  rounds  cpu s    + rows    sketches: bytes  rounds  cpu s"
    )
    theirs = Collection()
    theirs.extend(whole)
    theirs.summarize(b"", b"")
    for differences in (0, 10, 1000):
        gone = set(chance.sample(range(items), differences))
        base = Collection()
        base.extend(one for n, one in enumerate(whole) if n not in gone)
        base.summarize(b"", b"")
        for loss in (0.0, 0.1, 0.3):
            mine = Collection(list(base.keys), list(base.digests), list(base._sums))
            asked, rows, rounds, spent = _level(mine, theirs, loss, 1)
            sketch = ""
            if loss == 0.0:
                size, turns, cpu = _by_sketch(base, theirs, 1 + differences)
                sketch = f"{size:15,}  {turns:6}  {cpu:5.1f}"
            out.append(
                f"  {differences:11}  {loss:4.0%}  {asked:14,}  {asked / everything:6.3%}  {rounds:6}  {spent:5.2f}"
                f"  {rows:8,}  {sketch}"
            )
    out.append(f"  at most {MAX_FETCHED_ROWS} rows a question; a row has some {ROW} bytes")
    return out


def report(entries: int, progress: Callable[[str], None]) -> None:
    """All of it, line by line."""
    folder = Path(tempfile.mkdtemp(prefix="wellhitch-ledger-"))
    try:
        for line in rates(folder, entries):
            progress(line)
        for line in reconciling(entries):
            progress(line)
    finally:
        shutil.rmtree(folder)
