"""The store: power cut at every write and sync, disks that are full, read-only, slow or damaged."""

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

from wellhitch.emulator.disk import SECTOR, Blob, EmulatedDisk, PowerCut
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
def test_any_bytes_are_a_record_or_damage(data: bytes) -> None:
    try:
        version, body = unpack("a", b"k", data)
    except DamagedRecord:
        return
    assert pack(Change("a", b"k", body, version)) == data


@given(st.binary(max_size=60), st.data())
def test_a_flipped_bit_or_another_place_is_found(body: bytes, data: st.DataObject) -> None:
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


# ---- what waits ----


def test_changes_go_in_groups_and_what_is_at_risk_is_told() -> None:
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


def test_a_failed_batch_comes_again_as_it_was_after_doubling_waits() -> None:
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


def test_what_finds_no_room_is_refused_counted_and_told_once_there_is_room() -> None:
    writer = Writer(max_waiting=3)
    assert [writer.put([change(n)], n) for n in range(6)] == [True] * 3 + [False] * 3
    assert writer.take_refused().count == 0  # no room to say so yet
    writer.begin(10)
    writer.committed(11)
    told = writer.take_refused()
    assert (told.count, told.first, told.last) == (3, 3, 5) and writer.take_refused().count == 0


def test_a_commit_holds_no_more_than_its_bound() -> None:
    writer = Writer()
    for n in range(MAX_CHANGES_PER_COMMIT + 5):
        writer.put([change(n)], 0)
    assert writer.due(0) == 0 and len(writer.begin(0)) == MAX_CHANGES_PER_COMMIT


def test_groups_are_never_parted_between_two_commits() -> None:
    writer = Writer()
    writer.put([change(n) for n in range(MAX_CHANGES_PER_COMMIT - 1)], 0)
    writer.put([change(n) for n in range(MAX_CHANGES_PER_COMMIT + 7)], 0)
    writer.put([change(1)], 0)
    assert len(writer.begin(0)) == 2 * MAX_CHANGES_PER_COMMIT + 6
    writer.failed("full", 0)
    assert len(writer.begin(0)) == 2 * MAX_CHANGES_PER_COMMIT + 6
    writer.committed(1)
    assert writer.held == 1


def test_upkeep_keeps_to_its_budget_and_a_full_log_goes_first() -> None:
    upkeep, now, pages = Maintenance(scrubbing=False), 0, 0
    for _ in range(100):
        now += SECOND // 10
        pages += STEP_PAGES if upkeep.next(Sizes(CHECKPOINT_THRESHOLD_PAGES, 0), False, now) else 0
    assert pages <= 10 * PAGES_PER_S + PAGES_PER_S and pages > 9 * PAGES_PER_S
    assert upkeep.next(Sizes(CHECKPOINT_THRESHOLD_PAGES, 0), True, now + SECOND) == ""
    assert upkeep.next(Sizes(MAX_LOG_PAGES, 0), True, now + SECOND) == "checkpoint"


# ---- power cuts ----


@contextlib.contextmanager
def until_the_cut(disk: EmulatedDisk) -> Iterator[None]:
    """What fails once the power is gone is of no matter."""
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


def lived(disk: EmulatedDisk) -> int:
    """Commits of a small run with upkeep between, until the power goes; how many returned."""
    done = 0
    with until_the_cut(disk), opened(disk) as engine:
        for n, batch in enumerate(BATCHES):
            engine.commit(batch)
            if disk.dead:
                break
            done = n + 1
            if n % 4 == 3:
                engine.checkpoint()
            if n == 8:
                engine.commit([Change("a", one.key, None) for one in BATCHES[0]])
                engine.vacuum()
    return done


def found(disk: EmulatedDisk) -> dict[bytes, bytes]:
    """All records of the next life. Damage raises."""
    out = {}
    with opened(disk) as engine:
        assert engine.db.pragma("integrity_check") == "ok"
        for one in engine.scan("a"):
            assert not isinstance(one, DamagedRecord), one
            out[one[0]] = one[2]
    return out


def expected(commits: int, deleted: bool) -> dict[bytes, bytes]:
    out = {one.key: one.body or b"" for batch in BATCHES[:commits] for one in batch}
    for one in BATCHES[0] if deleted else []:
        out.pop(one.key, None)
    return out


def test_power_cut_at_every_write_and_every_sync_loses_nothing_that_was_told_safe() -> None:
    whole = EmulatedDisk(1)
    assert lived(whole) == len(BATCHES)
    points = 0
    for at in range(whole.ops):
        cut = EmulatedDisk(1)
        cut.cut_at = at
        done = lived(cut)
        for seed, keep in ((at, 0.0), (at, 1.0), (at, 0.5), (at + 1, 0.9), (at + 2, 0.1)):
            records = found(cut.after_power_cut(seed, keep))
            # What was told safe is there; the batch that was under way is there as a whole or not at all.
            ways = [expected(n, gone) for n in (done, done + 1) for gone in (False, True)]
            assert records in ways, (at, seed, keep, done)
            if done < 9:
                assert records in (expected(done, False), expected(done + 1, False))
            points += 1
    assert points == 5 * whole.ops and whole.ops > 100


def test_cuts_of_a_long_run_and_of_the_lives_after_it() -> None:
    """Sampled by seed: each life begins on what the one before left, and is cut again, also while it recovers."""
    chance = random.Random(5)
    for round_ in range(60):
        disk, safe, maybe = EmulatedDisk(round_), {}, {}
        for life in range(4):
            disk.cut_at = chance.randrange(400)
            with until_the_cut(disk), opened(disk) as engine:
                there = {one[0]: one[2] for one in engine.scan("a") if not isinstance(one, DamagedRecord)}
                assert safe.items() <= there.items() <= (safe | maybe).items()
                safe, maybe = there, {}
                for n in range(200):
                    batch = [
                        change(life * 1000 + n * 4 + i, chance.randrange(300))
                        for i in range(chance.randrange(1, 4))
                    ]
                    maybe = {one.key: one.body or b"" for one in batch}
                    engine.commit(batch)
                    if disk.dead:
                        break
                    safe, maybe = safe | maybe, {}
                    if chance.random() < 0.1:
                        engine.checkpoint()
            disk = disk.after_power_cut(chance.randrange(1 << 30), chance.random())


def test_a_test_disk_that_lies_about_syncs_is_caught() -> None:
    """The cuts above can fail: a disk whose sync does nothing loses what was told safe."""

    class Lying(EmulatedDisk):
        def after_power_cut(self, seed: int, keep: float) -> EmulatedDisk:
            for blob in self.files.values():
                blob.durable = b""
                blob.pending = [(0, bytes(blob.now))]
            return super().after_power_cut(seed, keep)

    lost = 0
    for at in range(100, 160):
        cut = Lying(1)
        cut.cut_at = at
        done = lived(cut)
        try:
            lost += found(cut.after_power_cut(at, 0.5)) not in (
                expected(done, False),
                expected(done + 1, False),
            )
        except (StoreError, AssertionError, apsw.Error):
            lost += 1
    assert lost > 50


def test_the_emulated_disk_keeps_tears_and_loses_sectors_by_chance() -> None:
    blob = Blob()
    blob.write(0, b"o" * 4 * SECTOR)
    blob.sync()
    blob.write(100, b"n" * 3 * SECTOR)
    seen = {blob.survivor(random.Random(seed), 0.5) for seed in range(40)}
    assert len(seen) > 12 and all(len(one) == 4 * SECTOR and one[:100] == b"o" * 100 for one in seen)
    assert blob.survivor(random.Random(1), 0.0) == b"o" * 4 * SECTOR


# ---- damage ----


def test_a_bit_flipped_in_any_page_is_found_or_in_no_record() -> None:
    disk = EmulatedDisk(1)
    engine = disk.open("s")
    for n in range(60):
        engine.commit([change(n * 5 + i, 200) for i in range(5)])
    engine.close()
    whole, good = bytes(disk.files["s"].now), found(disk.after_kill())
    pages = len(whole) // 4096
    told = 0
    for page in range(pages):
        for at in (page * 4096 + 3, page * 4096 + 40, page * 4096 + 2100, page * 4096 + 4090):
            hurt = EmulatedDisk(1)
            hurt.files["s"] = Blob(now=bytearray(whole))
            hurt.files["s"].now[at] ^= 0x20
            read: dict[bytes, bytes] = {}
            hits = 0
            try:
                for one in hurt.open("s").scan("a"):
                    if isinstance(one, DamagedRecord):
                        hits += 1
                    else:
                        read[one[0]] = one[2]
            except StoreError as fault:
                assert fault.kind in ("damaged", "foreign", "failing"), fault
                hits += 1
            # Never another body under a key: what is read is what was written.
            assert read.items() <= good.items(), at
            told += hits > 0
    assert told > pages


def test_scrubbing_names_each_damaged_record() -> None:
    engine = EmulatedDisk(1).open("s")
    engine.commit([change(n) for n in range(50)])
    engine.db.execute("update record set data = zeroblob(30) where key = ?", (change(7).key,))
    engine.db.execute("update record set key = ? where key = ?", (b"\xff", change(9).key))
    state, seen = ScrubProgress(), []
    while (some := engine.scrub(state, 8)) is not None:
        seen += some
    assert [(one.bucket, one.key) for one in seen] == [("a", change(7).key), ("a", b"\xff")]
    assert state.records == 50 and state.damage == 2


def test_a_damaged_record_that_calls_itself_a_text_or_nothing_is_told() -> None:
    """Found by the tools' test: such a record ended the read with an error of the database's own."""
    engine = EmulatedDisk(1).open("s")
    engine.commit([change(n) for n in range(4)])
    engine.db.execute("update record set data = cast(x'ff41ff' as text) where key = ?", (change(1).key,))
    engine.db.execute("update record set data = 5 where key = ?", (change(2).key,))
    found = list(engine.scan("a"))
    assert [isinstance(one, DamagedRecord) for one in found] == [False, True, True, False]
    with pytest.raises(DamagedRecord):
        engine.get("a", change(1).key)
    assert len(engine.scrub(ScrubProgress(), 10) or []) == 2


def test_a_file_of_something_else_is_not_written_to(tmp_path: Path) -> None:
    (tmp_path / "s").write_bytes(b"no database at all" * 400)
    with pytest.raises(StoreError) as fault:
        Engine(str(tmp_path / "s"))
    assert fault.value.kind == "damaged"

    with apsw.Connection(str(tmp_path / "t")) as other:
        other.execute("create table x(y)")
    other.close()
    with pytest.raises(StoreError, match="something else"):
        Engine(str(tmp_path / "t"))


# ---- in service, in virtual time ----


class World:
    def __init__(self, **more: Any) -> None:
        self.loop = VirtualLoop()
        self.disk = EmulatedDisk(1, self.loop)
        self.words: list[tuple[str, dict[str, Any]]] = []
        self.safe: list[int] = []
        self.keeper = StoreService(
            self.loop, self.disk, "s", lambda event, **facts: self.words.append((event, facts)), **more
        )
        self.keeper.open(lambda engine: None, lambda found: None)

    def put(self, n: int) -> bool:
        return self.keeper.put([change(n)], lambda: self.safe.append(n))

    def events(self) -> list[str]:
        return [event for event, _ in self.words]


def test_changes_are_safe_within_the_linger_and_a_power_cut_loses_no_more() -> None:
    world = World()
    world.loop.advance(1)
    for n in range(100):
        world.put(n)
        world.loop.advance(0.001)
    risk = world.keeper.condition()
    assert risk.changes_at_risk <= 21 and risk.us_at_risk <= LINGER_US + 1000
    there = found(world.disk.after_power_cut(1, 0.0))
    assert set(there) >= {change(n).key for n in world.safe} and len(there) >= 79


def test_a_full_disk_keeps_what_waits_then_refuses_and_goes_on_when_there_is_room() -> None:
    world = World(max_waiting=50)
    world.loop.advance(1)
    world.disk.full = True
    took = [world.put(n) for n in range(80)]
    world.loop.advance(20)
    assert took == [True] * 50 + [False] * 30 and world.keeper.condition().state == "full" and not world.safe
    world.disk.full = False
    world.loop.advance(6)
    assert world.safe == list(range(50)) and world.keeper.condition().state == "well"
    told = world.keeper.take_refused()
    assert told.count == 30 and world.events().count("store_condition") == 2


def test_a_read_only_disk_and_a_disk_that_takes_five_seconds_hold_nobody_up() -> None:
    world = World()
    world.loop.advance(1)
    world.disk.read_only = True
    world.put(1)
    world.loop.advance(3)
    assert world.keeper.condition().state == "read_only"
    world.disk.read_only, world.disk.took_us = False, 5 * SECOND
    world.loop.advance(7)
    for n in range(2, 500):
        assert world.put(n)
    world.loop.advance(2)
    assert world.keeper.condition().state == "slow"
    world.loop.advance(30)
    assert world.safe == list(range(1, 500))


def test_a_store_that_cannot_be_opened_is_tried_again_and_what_came_meanwhile_is_kept() -> None:
    world = World()
    world.disk.locked.add("s")
    world.keeper = StoreService(
        world.loop, world.disk, "s", lambda event, **facts: world.words.append((event, facts))
    )
    world.keeper.open(lambda engine: None, lambda found: None)
    world.loop.advance(1)
    assert world.keeper.condition().state == "in_use" and world.put(1)
    world.disk.locked.clear()
    world.loop.advance(6)
    assert world.safe == [1]


def test_upkeep_brings_the_log_in_scrubs_and_makes_snapshots_while_commits_go_on() -> None:
    world = World()
    world.loop.advance(1)
    done: list[str] = []
    for n in range(3000):
        world.keeper.put([change(n, 3000)])
        if n == 1500:
            world.keeper.snapshot("copy", done.append)
        world.loop.advance(0.01)
    world.loop.advance(60)
    assert world.keeper.counts["store_upkeep.checkpoint"] and world.keeper.counts["store_upkeep.scrub"]
    assert "store_scrubbed" in world.events() and len(found(world.disk.after_kill())) == 3000
    assert done == [""]
    copy = world.disk.after_kill()
    copy.files["s"] = copy.files["copy"]
    del copy.files["s-wal"]
    assert 1500 < len(found(copy)) <= 3000


def test_closing_commits_what_waits_and_killing_does_not() -> None:
    for ends, kept in (("close", 1), ("kill", 0)):
        world = World()
        world.loop.advance(1)
        world.put(1)
        getattr(world.keeper, ends)()
        assert len(found(world.disk.after_kill())) == kept


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
    told = subprocess.run([sys.executable, "-c", text, str(tmp_path)], capture_output=True, text=True)
    engine.close()
    disk.close()
    loop.close()
    assert told.stdout.split() == ["1", "in_use"], told.stderr


def test_a_process_killed_at_random_moments_loses_nothing_told_safe(tmp_path: Path) -> None:
    text = (
        "import sys; from wellhitch.store.engine import Engine; from wellhitch.store.records import Change\n"
        "engine = Engine(sys.argv[1])\n"
        "for n in range(1000000):\n"
        "    engine.commit([Change('a', n.to_bytes(4, 'big'), b'x' * 100), Change('b', n.to_bytes(4, 'big'), b'y')])\n"
        "    print(n, flush=True)\n"
        "    if n % 50 == 7: engine.checkpoint()\n"
    )
    for told_before_the_kill in (1, 60, 151):
        path = tmp_path / f"s{told_before_the_kill}"
        child = subprocess.Popen([sys.executable, "-c", text, str(path)], stdout=subprocess.PIPE, text=True)
        assert child.stdout
        for _ in range(told_before_the_kill):
            last = int(child.stdout.readline())
        child.kill()
        child.wait()
        child.stdout.close()
        engine = Engine(str(path))
        a, b = (len(list(engine.scan(bucket))) for bucket in "ab")
        assert a == b and a > last and not any(isinstance(one, DamagedRecord) for one in engine.scan("a"))
        engine.close()
    assert HEADER_BYTES + CHECKSUM_BYTES == 19


# ---- faults that the engine has no name for ----


@pytest.mark.parametrize(
    "fault", [OverflowError("int too big"), apsw.IOError("disk I/O error"), DamagedRecord("a", b"k", "why")]
)
def test_work_on_a_disk_that_raises_anything_is_told(tmp_path: Path, fault: Exception) -> None:
    """Else nobody was told, and whoever waited for the disk waited for ever."""

    def work() -> None:
        raise fault

    async def tried() -> Any:
        loop = asyncio.get_running_loop()
        disk, told = SystemDisk(loop, tmp_path), loop.create_future()
        disk.run(work, told.set_result)
        found = await asyncio.wait_for(told, 30)
        disk.close()
        return found

    told: list[Any] = []
    EmulatedDisk().run(work, told.append)
    for found in (asyncio.run(tried()), *told):
        assert isinstance(found, StoreError) and str(fault) in str(found)
        assert found.kind == ("damaged" if isinstance(fault, DamagedRecord) else "failing")


def test_upkeep_goes_on_after_an_error_of_the_disk() -> None:
    """An error while sizes were asked for left it busy for good: the log grew without bound."""
    loop, log = VirtualLoop(), list[str]()
    keeper = StoreService(loop, EmulatedDisk(1, loop), "s", lambda event, **facts: log.append(event))
    keeper.open(lambda engine: None, lambda found: None)
    loop.advance(0.1)
    engine = keeper.engine
    assert engine
    sizes, engine.sizes = engine.sizes, lambda: (_ for _ in ()).throw(apsw.IOError("no"))  # type: ignore[method-assign]
    loop.advance(1.0)
    assert keeper.counts["store_upkeep_failed"] > 1 and "store_scrubbed" not in log
    engine.sizes = sizes  # type: ignore[method-assign]
    loop.advance(2.0)
    assert "store_scrubbed" in log


def test_a_store_whose_first_reading_fails_is_said_and_closed() -> None:
    loop, log = VirtualLoop(), list[str]()
    disk = EmulatedDisk(1, loop)
    keeper = StoreService(
        loop, disk, "s", lambda event, **facts: log.append(f"{event} {facts.get('trouble')}")
    )
    opened: list[Engine] = []

    def read(engine: Engine) -> None:
        opened.append(engine)
        raise DamagedRecord("identity", b"", "its checksum does not fit")

    keeper.open(read, lambda found: None)
    loop.advance(1.0)
    assert log[0] == "store_not_opened damaged" and keeper.condition().state == "damaged"
    with pytest.raises((StoreError, apsw.Error)):
        opened[0].get("a", b"")  # closed, so that the next try finds it free


def _gone_unsaid(tmp_path: Path, place: int) -> int:
    """Records that neither reading nor a scrub speaks of, after a bit is flipped at a place of an inner page."""
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
def test_no_record_is_gone_without_a_word(tmp_path: Path, place: int) -> None:
    """Five of 150 flips hid up to 700 records, and no checksum of ours was asked about them."""
    assert not _gone_unsaid(tmp_path, place)


def test_a_pass_over_all_records_ends_with_the_databases_own_check() -> None:
    loop, log = VirtualLoop(), list[tuple[str, Any]]()
    keeper = StoreService(
        loop, EmulatedDisk(1, loop), "s", lambda event, **facts: log.append((event, facts.get("why")))
    )
    keeper.open(lambda engine: None, lambda found: None)
    loop.advance(0.1)
    assert keeper.engine
    keeper.engine.check = lambda: ["page 7: out of order"]  # type: ignore[method-assign]
    loop.advance(3.0)
    assert ("store_damaged", "page 7: out of order") in log and keeper.condition().damaged == 1
