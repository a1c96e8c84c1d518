"""The store: power cuts at every write and sync; disks that are full, read-only, slow or damaged."""

import asyncio
import contextlib
import random
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import apsw
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wellhitch.emulator.disk import SECTOR, EmulatedDisk, EmulatedFile, PowerCut
from wellhitch.emulator.loop import VirtualLoop
from wellhitch.store.engine import Engine, ScrubProgress, StoreError
from wellhitch.store.maintenance import (
    CHECKPOINT_THRESHOLD_PAGES,
    MAX_LOG_PAGES,
    PAGES_PER_S,
    STEP_PAGES,
    Maintenance,
    Sizes,
)
from wellhitch.store.records import (
    CHECKSUM_BYTES,
    HEADER_BYTES,
    Change,
    DamagedRecord,
    Upgrades,
    pack,
    unpack,
)
from wellhitch.store.service import StoreService
from wellhitch.store.system import SystemDisk
from wellhitch.store.writer import (
    INITIAL_RETRY_WAIT_US,
    LINGER_US,
    MAX_CHANGES_PER_COMMIT,
    MAX_RETRY_WAIT_US,
    SLOW_COMMIT_US,
    Writer,
)

SECOND = 1_000_000


def change(n: int, size: int = 40, bucket: str = "a") -> Change:
    return Change(bucket, n.to_bytes(4, "big"), bytes([n % 251]) * size)


# ---- records ----


@given(st.binary(max_size=80))
def test_any_bytes_are_a_record_or_reported_as_damaged(data: bytes) -> None:
    try:
        version, body = unpack("a", b"k", data)
    except DamagedRecord:
        return
    assert pack(Change("a", b"k", body, version)) == data


@given(st.binary(max_size=60), st.data())
def test_a_flipped_bit_or_a_moved_record_is_detected(body: bytes, data: st.DataObject) -> None:
    packed = bytearray(pack(Change("a", b"k", body)))
    assert unpack("a", b"k", bytes(packed)) == (1, body)
    for bucket, key in (("b", b"k"), ("a", b"l"), ("ak", b"")):
        with pytest.raises(DamagedRecord):
            unpack(bucket, key, bytes(packed))
    packed[data.draw(st.integers(0, len(packed) - 1))] ^= 1 << data.draw(st.integers(0, 7))
    with pytest.raises(DamagedRecord):
        unpack("a", b"k", bytes(packed))


def test_old_versions_are_upgraded_and_newer_ones_left_alone() -> None:
    steps = Upgrades(3, {1: lambda body: body + b"2", 2: lambda body: body + b"3"})
    assert steps.body("a", b"", 1, b"x") == b"x23" and steps.body("a", b"", 3, b"x") == b"x"
    with pytest.raises(DamagedRecord, match="version 4"):
        steps.body("a", b"", 4, b"x")
    with pytest.raises(ValueError, match="no step from version 2"):
        Upgrades(3, {1: bytes})


# ---- group commit and maintenance ----


def test_changes_are_committed_in_groups_and_those_at_risk_are_reported() -> None:
    writer = Writer()
    for n in range(5):
        assert writer.put([change(n)], n * 1000)
    assert writer.due(4000) == LINGER_US - 4000 and writer.at_risk(4000) == (5, 4000)
    assert writer.begin(LINGER_US) == [change(n) for n in range(5)]
    writer.put([change(9)], LINGER_US)
    assert writer.due(LINGER_US) is None and writer.at_risk(LINGER_US) == (6, LINGER_US)
    assert (
        writer.condition(LINGER_US + SLOW_COMMIT_US) == "well"
        and writer.condition(LINGER_US + SLOW_COMMIT_US + 1) == "slow"
    )
    assert writer.committed(LINGER_US + 300) == 5 and writer.at_risk(LINGER_US + 300) == (1, 300)


def test_a_failed_batch_is_retried_unchanged_after_doubling_waits() -> None:
    writer, now, waits = Writer(), 0, []
    writer.put([change(1)], now)
    for _ in range(8):
        assert writer.begin(now) == [change(1)]
        writer.failed("full", now)
        writer.put([change(2)], now)
        assert writer.condition(now) == "full"
        waits.append(writer.due(now) or 0)
        now += waits[-1]
    assert waits == [min(INITIAL_RETRY_WAIT_US << n, MAX_RETRY_WAIT_US) for n in range(8)]
    writer.begin(now)
    writer.committed(now)
    assert writer.condition(now) == "well" and len(writer.begin(now)) == 8
    assert writer.held == 8


def test_changes_beyond_capacity_are_refused_counted_and_reported_once_there_is_capacity() -> None:
    writer = Writer(max_waiting=3)
    assert [writer.put([change(n)], n) for n in range(6)] == [True] * 3 + [False] * 3
    assert writer.take_refused().count == 0  # no capacity to record it yet
    writer.begin(10)
    writer.committed(11)
    refused = writer.take_refused()
    assert (refused.count, refused.first, refused.last) == (3, 3, 5) and writer.take_refused().count == 0


def test_the_size_of_a_commit_is_bounded() -> None:
    writer = Writer()
    for n in range(MAX_CHANGES_PER_COMMIT + 5):
        writer.put([change(n)], 0)
    assert writer.due(0) == 0 and len(writer.begin(0)) == MAX_CHANGES_PER_COMMIT


def test_groups_are_never_divided_between_two_commits() -> None:
    writer = Writer()
    writer.put([change(n) for n in range(MAX_CHANGES_PER_COMMIT - 1)], 0)
    writer.put([change(n) for n in range(MAX_CHANGES_PER_COMMIT + 7)], 0)
    writer.put([change(1)], 0)
    assert len(writer.begin(0)) == 2 * MAX_CHANGES_PER_COMMIT + 6
    writer.failed("full", 0)
    assert len(writer.begin(0)) == 2 * MAX_CHANGES_PER_COMMIT + 6
    writer.committed(1)
    assert writer.held == 1


def test_maintenance_keeps_to_its_budget_and_a_full_log_comes_first() -> None:
    upkeep, now, pages = Maintenance(scrubbing=False), 0, 0
    for _ in range(100):
        now += SECOND // 10
        pages += STEP_PAGES if upkeep.next(Sizes(CHECKPOINT_THRESHOLD_PAGES, 0), False, now) else 0
    assert pages <= 10 * PAGES_PER_S + PAGES_PER_S and pages > 9 * PAGES_PER_S
    assert upkeep.next(Sizes(CHECKPOINT_THRESHOLD_PAGES, 0), True, now + SECOND) == ""
    assert upkeep.next(Sizes(MAX_LOG_PAGES, 0), True, now + SECOND) == "checkpoint"


# ---- power cuts ----


@contextlib.contextmanager
def power_cut_expected(disk: EmulatedDisk) -> Iterator[None]:
    """Ignores errors raised after the power was cut."""
    try:
        yield
    except (PowerCut, StoreError):
        assert disk.dead


@contextlib.contextmanager
def opened(disk: EmulatedDisk) -> Iterator[Engine]:
    engine = disk.open("s")
    try:
        yield engine
    finally:
        with contextlib.suppress(PowerCut):
            engine.close()


BATCHES = [[change(n * 10 + i, 30 + 90 * (n % 4)) for i in range(1 + n % 5)] for n in range(12)]


def run_until_cut(disk: EmulatedDisk) -> int:
    """Runs commits with maintenance in between until the power is cut; returns how many commits completed."""
    done = 0
    with power_cut_expected(disk), opened(disk) as engine:
        for n, batch in enumerate(BATCHES):
            engine.commit(batch)
            if disk.dead:
                break
            done = n + 1
            if n % 4 == 3:
                engine.checkpoint()
            if n == 8:
                engine.commit([Change("a", change.key, None) for change in BATCHES[0]])
                engine.vacuum()
    return done


def stored_records(disk: EmulatedDisk) -> dict[bytes, bytes]:
    """All records found after a restart. Fails on a damaged one."""
    records = {}
    with opened(disk) as engine:
        assert engine.db.pragma("integrity_check") == "ok"
        for record in engine.scan("a"):
            assert not isinstance(record, DamagedRecord), record
            records[record[0]] = record[2]
    return records


def expected(commits: int, deleted: bool) -> dict[bytes, bytes]:
    records = {change.key: change.body or b"" for batch in BATCHES[:commits] for change in batch}
    for change in BATCHES[0] if deleted else []:
        records.pop(change.key, None)
    return records


def test_a_power_cut_at_every_write_and_every_sync_loses_no_durable_change() -> None:
    whole = EmulatedDisk(1)
    assert run_until_cut(whole) == len(BATCHES)
    points = 0
    for at in range(whole.operations):
        cut = EmulatedDisk(1)
        cut.power_cut_at = at
        done = run_until_cut(cut)
        for seed, keep in ((at, 0.0), (at, 1.0), (at, 0.5), (at + 1, 0.9), (at + 2, 0.1)):
            records = stored_records(cut.after_power_cut(seed, keep))
            # Completed commits are there; the batch under way is there as a whole or not at all.
            ways = [expected(n, gone) for n in (done, done + 1) for gone in (False, True)]
            assert records in ways, (at, seed, keep, done)
            if done < 9:
                assert records in (expected(done, False), expected(done + 1, False))
            points += 1
    assert points == 5 * whole.operations and whole.operations > 100


def test_power_cuts_in_a_long_run_and_in_the_recoveries_after_it() -> None:
    """Sampled by seed: each run starts on the disk that the previous one left and may be cut during recovery."""
    rng = random.Random(5)
    for round_ in range(60):
        disk, durable, in_flight = EmulatedDisk(round_), {}, {}
        for life in range(4):
            disk.power_cut_at = rng.randrange(400)
            with power_cut_expected(disk), opened(disk) as engine:
                stored = {
                    record[0]: record[2]
                    for record in engine.scan("a")
                    if not isinstance(record, DamagedRecord)
                }
                assert durable.items() <= stored.items() <= (durable | in_flight).items()
                durable, in_flight = stored, {}
                for n in range(200):
                    batch = [
                        change(life * 1000 + n * 4 + i, rng.randrange(300))
                        for i in range(rng.randrange(1, 4))
                    ]
                    in_flight = {change.key: change.body or b"" for change in batch}
                    engine.commit(batch)
                    if disk.dead:
                        break
                    durable, in_flight = durable | in_flight, {}
                    if rng.random() < 0.1:
                        engine.checkpoint()
            disk = disk.after_power_cut(rng.randrange(1 << 30), rng.random())


def test_the_power_cut_test_detects_a_disk_that_ignores_syncs() -> None:
    """Shows that the tests above can fail: a disk whose sync does nothing loses completed commits."""

    class Lying(EmulatedDisk):
        def after_power_cut(self, seed: int, keep: float) -> EmulatedDisk:
            for blob in self.files.values():
                blob.synced = b""
                blob.unsynced = [(0, bytes(blob.content))]
            return super().after_power_cut(seed, keep)

    lost = 0
    for at in range(100, 160):
        cut = Lying(1)
        cut.power_cut_at = at
        done = run_until_cut(cut)
        try:
            lost += stored_records(cut.after_power_cut(at, 0.5)) not in (
                expected(done, False),
                expected(done + 1, False),
            )
        except (StoreError, AssertionError, apsw.Error):
            lost += 1
    assert lost > 50


def test_the_emulated_disk_keeps_tears_and_loses_sectors_at_random() -> None:
    blob = EmulatedFile()
    blob.write(0, b"o" * 4 * SECTOR)
    blob.sync()
    blob.write(100, b"n" * 3 * SECTOR)
    survivors = {blob.after_power_cut(random.Random(seed), 0.5) for seed in range(40)}
    assert len(survivors) > 12 and all(
        len(survivor) == 4 * SECTOR and survivor[:100] == b"o" * 100 for survivor in survivors
    )
    assert blob.after_power_cut(random.Random(1), 0.0) == b"o" * 4 * SECTOR


# ---- damage ----


def test_a_flipped_bit_in_any_page_is_detected_or_outside_all_records() -> None:
    disk = EmulatedDisk(1)
    engine = disk.open("s")
    for n in range(60):
        engine.commit([change(n * 5 + i, 200) for i in range(5)])
    engine.close()
    whole, good = bytes(disk.files["s"].content), stored_records(disk.after_kill())
    pages = len(whole) // 4096
    detected = 0
    for page in range(pages):
        for at in (page * 4096 + 3, page * 4096 + 40, page * 4096 + 2100, page * 4096 + 4090):
            damaged_disk = EmulatedDisk(1)
            damaged_disk.files["s"] = EmulatedFile(content=bytearray(whole))
            damaged_disk.files["s"].content[at] ^= 0x20
            read: dict[bytes, bytes] = {}
            hits = 0
            try:
                for record in damaged_disk.open("s").scan("a"):
                    if isinstance(record, DamagedRecord):
                        hits += 1
                    else:
                        read[record[0]] = record[2]
            except StoreError as error:
                assert error.kind in ("damaged", "foreign", "failing"), error
                hits += 1
            # A key never has a body that was not written under it.
            assert read.items() <= good.items(), at
            detected += hits > 0
    assert detected > pages


def test_scrubbing_names_each_damaged_record() -> None:
    engine = EmulatedDisk(1).open("s")
    engine.commit([change(n) for n in range(50)])
    engine.db.execute("update record set data = zeroblob(30) where key = ?", (change(7).key,))
    engine.db.execute("update record set key = ? where key = ?", (b"\xff", change(9).key))
    progress, damaged = ScrubProgress(), []
    while (batch := engine.scrub(progress, 8)) is not None:
        damaged += batch
    assert [(record.bucket, record.key) for record in damaged] == [("a", change(7).key), ("a", b"\xff")]
    assert progress.records == 50 and progress.damage == 2


def test_a_damaged_record_stored_as_a_text_or_a_number_is_reported() -> None:
    """Such a record ended the read with an error of the database."""
    engine = EmulatedDisk(1).open("s")
    engine.commit([change(n) for n in range(4)])
    engine.db.execute("update record set data = cast(x'ff41ff' as text) where key = ?", (change(1).key,))
    engine.db.execute("update record set data = 5 where key = ?", (change(2).key,))
    records = list(engine.scan("a"))
    assert [isinstance(record, DamagedRecord) for record in records] == [False, True, True, False]
    with pytest.raises(DamagedRecord):
        engine.get("a", change(1).key)
    assert len(engine.scrub(ScrubProgress(), 10) or []) == 2


def test_a_file_of_another_application_is_not_written_to(tmp_path: Path) -> None:
    (tmp_path / "s").write_bytes(b"no database at all" * 400)
    with pytest.raises(StoreError) as raised:
        Engine(str(tmp_path / "s"))
    assert raised.value.kind == "damaged"

    with apsw.Connection(str(tmp_path / "t")) as other:
        other.execute("create table x(y)")
    other.close()
    with pytest.raises(StoreError, match="another application"):
        Engine(str(tmp_path / "t"))


# ---- on an event loop, in virtual time ----


class StoreBench:
    def __init__(self, **more: Any) -> None:
        self.loop = VirtualLoop()
        self.disk = EmulatedDisk(1, self.loop)
        self.log_lines: list[tuple[str, dict[str, Any]]] = []
        self.durable: list[int] = []
        self.store = StoreService(
            self.loop, self.disk, "s", lambda event, **facts: self.log_lines.append((event, facts)), **more
        )
        self.store.open(lambda engine: None, lambda result: None)

    def put(self, n: int) -> bool:
        return self.store.put([change(n)], lambda: self.durable.append(n))

    def events(self) -> list[str]:
        return [event for event, _ in self.log_lines]


def test_changes_are_durable_within_the_linger_time_and_a_power_cut_loses_no_more() -> None:
    bench = StoreBench()
    bench.loop.advance(1)
    for n in range(100):
        bench.put(n)
        bench.loop.advance(0.001)
    risk = bench.store.condition()
    assert risk.changes_at_risk <= 21 and risk.us_at_risk <= LINGER_US + 1000
    stored = stored_records(bench.disk.after_power_cut(1, 0.0))
    assert set(stored) >= {change(n).key for n in bench.durable} and len(stored) >= 79


def test_a_full_disk_keeps_waiting_changes_then_refuses_and_recovers_with_free_space() -> None:
    bench = StoreBench(max_waiting=50)
    bench.loop.advance(1)
    bench.disk.full = True
    accepted = [bench.put(n) for n in range(80)]
    bench.loop.advance(20)
    assert (
        accepted == [True] * 50 + [False] * 30
        and bench.store.condition().state == "full"
        and not bench.durable
    )
    bench.disk.full = False
    bench.loop.advance(6)
    assert bench.durable == list(range(50)) and bench.store.condition().state == "well"
    refused = bench.store.take_refused()
    assert refused.count == 30 and bench.events().count("store_condition") == 2


def test_a_read_only_disk_and_a_disk_that_takes_five_seconds_do_not_block_callers() -> None:
    bench = StoreBench()
    bench.loop.advance(1)
    bench.disk.read_only = True
    bench.put(1)
    bench.loop.advance(3)
    assert bench.store.condition().state == "read_only"
    bench.disk.read_only, bench.disk.operation_us = False, 5 * SECOND
    bench.loop.advance(7)
    for n in range(2, 500):
        assert bench.put(n)
    bench.loop.advance(2)
    assert bench.store.condition().state == "slow"
    bench.loop.advance(30)
    assert bench.durable == list(range(1, 500))


def test_a_store_that_cannot_be_opened_is_retried_and_changes_put_meanwhile_are_kept() -> None:
    bench = StoreBench()
    bench.disk.locked.add("s")
    bench.store = StoreService(
        bench.loop, bench.disk, "s", lambda event, **facts: bench.log_lines.append((event, facts))
    )
    bench.store.open(lambda engine: None, lambda result: None)
    bench.loop.advance(1)
    assert bench.store.condition().state == "in_use" and bench.put(1)
    bench.disk.locked.clear()
    bench.loop.advance(6)
    assert bench.durable == [1]


def test_maintenance_checkpoints_scrubs_and_makes_snapshots_during_commits() -> None:
    bench = StoreBench()
    bench.loop.advance(1)
    done: list[str] = []
    for n in range(3000):
        bench.store.put([change(n, 3000)])
        if n == 1500:
            bench.store.snapshot("copy", done.append)
        bench.loop.advance(0.01)
    bench.loop.advance(60)
    assert bench.store.counts["store_upkeep.checkpoint"] and bench.store.counts["store_upkeep.scrub"]
    assert "store_scrubbed" in bench.events() and len(stored_records(bench.disk.after_kill())) == 3000
    assert done == [""]
    copy = bench.disk.after_kill()
    copy.files["s"] = copy.files["copy"]
    del copy.files["s-wal"]
    assert 1500 < len(stored_records(copy)) <= 3000


def test_closing_commits_waiting_changes_and_killing_does_not() -> None:
    for ends, kept in (("close", 1), ("kill", 0)):
        bench = StoreBench()
        bench.loop.advance(1)
        bench.put(1)
        getattr(bench.store, ends)()
        assert len(stored_records(bench.disk.after_kill())) == kept


# ---- the real disk ----


def test_the_same_store_is_refused_to_a_second_process(tmp_path: Path) -> None:
    import asyncio

    loop = asyncio.new_event_loop()
    disk = SystemDisk(loop, tmp_path)
    engine = disk.open("s")
    engine.commit([change(1)])
    text = (
        "import sys, asyncio, pathlib; from wellhitch.store.system import SystemDisk\n"
        "from wellhitch.store.engine import Engine, StoreError\n"
        "folder = pathlib.Path(sys.argv[1])\n"
        "print(len(list(Engine(str(folder / 's'), read_only=True).scan('a'))))\n"
        "try: SystemDisk(asyncio.new_event_loop(), folder).open('s')\n"
        "except StoreError as error: print(error.kind)\n"
    )
    child = subprocess.run([sys.executable, "-c", text, str(tmp_path)], capture_output=True, text=True)
    engine.close()
    disk.close()
    loop.close()
    assert child.stdout.split() == ["1", "in_use"], child.stderr


def test_a_process_killed_at_random_moments_loses_no_durable_change(tmp_path: Path) -> None:
    text = (
        "import sys; from wellhitch.store.engine import Engine; from wellhitch.store.records import Change\n"
        "engine = Engine(sys.argv[1])\n"
        "for n in range(1000000):\n"
        "    engine.commit([Change('a', n.to_bytes(4, 'big'), b'x' * 100), Change('b', n.to_bytes(4, 'big'), b'y')])\n"
        "    print(n, flush=True)\n"
        "    if n % 50 == 7: engine.checkpoint()\n"
    )
    for reported_before_kill in (1, 60, 151):
        path = tmp_path / f"s{reported_before_kill}"
        child = subprocess.Popen([sys.executable, "-c", text, str(path)], stdout=subprocess.PIPE, text=True)
        assert child.stdout
        for _ in range(reported_before_kill):
            last = int(child.stdout.readline())
        child.kill()
        child.wait()
        child.stdout.close()
        engine = Engine(str(path))
        a, b = (len(list(engine.scan(bucket))) for bucket in "ab")
        assert (
            a == b and a > last and not any(isinstance(record, DamagedRecord) for record in engine.scan("a"))
        )
        engine.close()
    assert HEADER_BYTES + CHECKSUM_BYTES == 19


# ---- exceptions without a specific error kind ----


@pytest.mark.parametrize(
    "error", [OverflowError("int too big"), apsw.IOError("disk I/O error"), DamagedRecord("a", b"k", "why")]
)
def test_any_exception_of_work_on_a_disk_is_reported(tmp_path: Path, error: Exception) -> None:
    """Otherwise the caller is never notified and waits for the disk for ever."""

    def work() -> None:
        raise error

    async def run_on_system_disk() -> Any:
        loop = asyncio.get_running_loop()
        disk, reported = SystemDisk(loop, tmp_path), loop.create_future()
        disk.run(work, reported.set_result)
        result = await asyncio.wait_for(reported, 30)
        disk.close()
        return result

    results: list[Any] = []
    EmulatedDisk().run(work, results.append)
    for result in (asyncio.run(run_on_system_disk()), *results):
        assert isinstance(result, StoreError) and str(error) in str(result)
        assert result.kind == ("damaged" if isinstance(error, DamagedRecord) else "failing")


def test_maintenance_continues_after_a_disk_error() -> None:
    """An error while reading the sizes left maintenance marked as running: the log grew without bound."""
    loop, log = VirtualLoop(), list[str]()
    store = StoreService(loop, EmulatedDisk(1, loop), "s", lambda event, **facts: log.append(event))
    store.open(lambda engine: None, lambda result: None)
    loop.advance(0.1)
    engine = store.engine
    assert engine
    sizes, engine.sizes = engine.sizes, lambda: (_ for _ in ()).throw(apsw.IOError("no"))  # type: ignore[method-assign]
    loop.advance(1.0)
    assert store.counts["store_upkeep_failed"] > 1 and "store_scrubbed" not in log
    engine.sizes = sizes  # type: ignore[method-assign]
    loop.advance(2.0)
    assert "store_scrubbed" in log


def test_a_store_whose_first_read_fails_is_logged_and_closed() -> None:
    loop, log = VirtualLoop(), list[str]()
    disk = EmulatedDisk(1, loop)
    store = StoreService(
        loop, disk, "s", lambda event, **facts: log.append(f"{event} {facts.get('trouble')}")
    )
    opened: list[Engine] = []

    def read(engine: Engine) -> None:
        opened.append(engine)
        raise DamagedRecord("identity", b"", "its checksum does not match")

    store.open(read, lambda result: None)
    loop.advance(1.0)
    assert log[0] == "store_not_opened damaged" and store.condition().state == "damaged"
    with pytest.raises((StoreError, apsw.Error)):
        opened[0].get("a", b"")  # closed, so that the next attempt does not find it in use


def silently_lost_records(tmp_path: Path, place: int) -> int:
    """The number of records that neither reading nor a scrub reports after a bit of an inner page was flipped."""
    path = tmp_path / "s"
    engine = Engine(str(path))
    engine.commit([change(n, 150) for n in range(2000)])
    engine.close()
    data = bytearray(path.read_bytes())
    inner = next(at for at in range(4096, len(data), 4096) if data[at] == 2)
    data[inner + place] ^= 1
    path.write_bytes(data)
    try:
        engine = Engine(str(path))
        rows, state, damaged = list(engine.scan("a")), ScrubProgress(), 0
        while (found := engine.scrub(state, 1000)) is not None:
            damaged += len(found)
        damaged += len(engine.check())
        engine.close()
    except StoreError:
        return 0
    return 0 if damaged else 2000 - len(rows)


@pytest.mark.parametrize("place", [3, 4, 5, 6, 8, 11, 12, 13, 20, 40, 4000])
def test_no_record_is_lost_silently(tmp_path: Path, place: int) -> None:
    """Five of 150 flips hid up to 700 records, so that their checksums were never verified."""
    assert not silently_lost_records(tmp_path, place)


def test_a_pass_over_all_records_ends_with_the_databases_own_check() -> None:
    loop, log = VirtualLoop(), list[tuple[str, Any]]()
    store = StoreService(
        loop, EmulatedDisk(1, loop), "s", lambda event, **facts: log.append((event, facts.get("why")))
    )
    store.open(lambda engine: None, lambda result: None)
    loop.advance(0.1)
    assert store.engine
    store.engine.check = lambda: ["page 7: out of order"]  # type: ignore[method-assign]
    loop.advance(3.0)
    assert ("store_damaged", "page 7: out of order") in log and store.condition().damaged == 1
