"""The file: SQLite through apsw, one table of records. The only place where the project meets the database.

Write-ahead log, a sync at each commit, the log brought in piece by piece by `upkeep`. All calls block; in service
they run off the loop (`service.py`)."""

import contextlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import apsw

from wellhitch.store.maintenance import STEP_PAGES, Sizes
from wellhitch.store.records import Change, DamagedRecord, pack, unpack

APPLICATION = 0x57484C53  # "WHLS", in the file's header: a file of something else is not written to
LAYOUT = 1  # of the tables
BUSY_MS = 200  # a reader of the tools' holds a checkpoint up that long at most


class StoreError(Exception):
    """The store cannot do what it should. `trouble`: `full`, `read_only`, `damaged`, `failing`, `in_use`, `foreign`."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


SQLITE_ERROR_KINDS: tuple[tuple[type[apsw.Error], str], ...] = (
    (apsw.FullError, "full"),
    (apsw.ReadOnlyError, "read_only"),
    (apsw.CantOpenError, "read_only"),
    (apsw.PermissionsError, "read_only"),
    (apsw.CorruptError, "damaged"),
    (apsw.NotADBError, "damaged"),
    (apsw.FormatError, "damaged"),
    (apsw.BusyError, "in_use"),
    (apsw.LockedError, "in_use"),
)


def as_store_error(error: Exception) -> StoreError:
    """Whatever work on a disk raised, as a fault that whoever waits for the work is told. Guards against work that ends
    without a word: upkeep, commits and the opening of the store then waited for it for ever."""
    if isinstance(error, StoreError):
        return error
    if isinstance(error, apsw.Error):
        return from_sqlite_error(error, "the store")
    return StoreError(
        "damaged" if isinstance(error, DamagedRecord) else "failing", f"{type(error).__name__}: {error}"
    )


def from_sqlite_error(error: apsw.Error, name: str) -> StoreError:
    """SQLite's error as ours."""
    kind = next((kind for error_type, kind in SQLITE_ERROR_KINDS if isinstance(error, error_type)), "failing")
    return StoreError(kind, f"{name}: {error}")


@dataclass(slots=True)
class ScrubProgress:
    """How far a pass over all records is, and the damage it found."""

    after: tuple[str, bytes] = ("", b"")
    records: int = 0
    damage: int = 0


# Read as blobs whatever their type says: a damaged record may call itself a text, which need not be one, or nothing.


class Engine:
    """One open file. `vfs`: the file seam, empty for the system's. `alone`: no other process may open it, and no
    shared memory is needed; the emulated disk has none."""

    def __init__(self, name: str, vfs: str = "", exclusive: bool = False, read_only: bool = False) -> None:
        """Raises StoreFault."""
        self.name, self.vfs = name, vfs
        flags = (
            apsw.SQLITE_OPEN_READONLY if read_only else apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_CREATE
        )
        self._backup: apsw.Backup | None = None
        self._copy: apsw.Connection | None = None
        try:
            self.db = apsw.Connection(name, flags=flags, vfs=vfs or None)
        except apsw.Error as error:
            raise from_sqlite_error(error, name) from None
        try:
            self._open(exclusive, read_only)
        except Exception as error:
            with contextlib.suppress(Exception):  # the first fault is the one to tell
                self.db.close(True)
            if isinstance(error, apsw.Error):
                raise from_sqlite_error(error, name) from None
            raise

    def _open(self, exclusive: bool, read_only: bool) -> None:
        self.db.set_busy_timeout(BUSY_MS)
        if exclusive:
            self.db.execute("pragma locking_mode = exclusive")
        found, layout = self.db.pragma("application_id"), self.db.pragma("user_version")
        empty = self.db.execute("select count(*) from sqlite_schema").get == 0
        if not empty and found != APPLICATION:
            raise StoreError("foreign", f"{self.name}: a database of something else")
        if not empty and layout != LAYOUT:
            raise StoreError("foreign", f"{self.name}: layout {layout}; this program reads {LAYOUT}")
        if read_only:
            return
        if empty:
            self.db.execute("pragma page_size = 4096")
            self.db.execute("pragma auto_vacuum = incremental")
        self.db.execute("pragma journal_mode = wal")
        self.db.execute("pragma synchronous = full")
        self.db.execute("pragma wal_autocheckpoint = 0")
        self.db.execute("pragma cell_size_check = on")
        if empty:
            with self.db:
                self.db.execute("create table shelf(number integer primary key, name text not null unique)")
                self.db.execute(
                    "create table record(shelf integer not null, key blob not null, data blob not null, "
                    "primary key(shelf, key)) without rowid"
                )
                self.db.execute(f"pragma user_version = {LAYOUT}")
                self.db.execute(f"pragma application_id = {APPLICATION}")

    # -- writing --

    def commit(self, changes: Sequence[Change]) -> None:
        """Put and take away, all or nothing, on disk when this returns. Raises StoreFault."""
        try:
            with self.db:
                numbers = self._numbers({change.bucket for change in changes})
                # Of several changes of one key the last holds: what came and went within a commit is never written.
                last = {(numbers[change.bucket], change.key): change for change in changes}
                put = [(*at, pack(one)) for at, one in last.items() if one.body is not None]
                gone = [at for at, one in last.items() if one.body is None]
                self.db.executemany("insert or replace into record values (?, ?, ?)", put)
                self.db.executemany("delete from record where shelf = ? and key = ?", gone)
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None

    def _numbers(self, names: set[str]) -> dict[str, int]:
        out = {}
        for name in sorted(names):
            self.db.execute("insert or ignore into shelf(name) values (?)", (name,))
            out[name] = self.db.execute("select number from shelf where name = ?", (name,)).get
        return out

    # -- reading --

    def get(self, bucket: str, key: bytes) -> tuple[int, bytes] | None:
        """Version and body. Raises Damaged, StoreFault."""
        try:
            found = self.db.execute(
                "select cast(data as blob) from record, shelf "
                "where shelf.name = ? and record.shelf = shelf.number and key = ?",
                (bucket, key),
            ).get
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None
        return None if found is None else unpack(bucket, key, found)

    def scan(
        self, bucket: str, low: bytes = b"", high: bytes | None = None, reverse: bool = False
    ) -> Iterator[tuple[bytes, int, bytes] | DamagedRecord]:
        """Keys from `low` on, under `high`, in order, or from the last `back`; a damaged record is told in its place.
        Raises StoreFault."""
        order = "desc" if reverse else "asc"
        top, values = ("", (bucket, low)) if high is None else ("and key < ?", (bucket, low, high))
        try:
            rows = self.db.execute(
                "select cast(key as blob), cast(data as blob) from record, shelf "
                "where shelf.name = ? and record.shelf = shelf.number "
                f"and key >= ? {top} order by key {order}",
                values,
            )
            for key, data in rows:
                try:
                    yield key, *unpack(bucket, key or b"", data or b"")
                except DamagedRecord as damage:
                    yield damage
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None

    def buckets(self) -> list[str]:
        """Names of all shelves. Raises StoreFault."""
        try:
            return [name for (name,) in self.db.execute("select name from shelf order by name")]
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None

    # -- upkeep: one piece at a time --

    def sizes(self) -> Sizes:
        """Pages of the log that are not brought in, and free ones in the file."""
        log, brought_in = self.db.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_NOOP)
        return Sizes(max(0, log - brought_in), int(self.db.pragma("freelist_count")))

    def checkpoint(self) -> None:
        """Bring the log in. Raises StoreFault."""
        try:
            self.db.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
        except apsw.BusyError:
            return  # a reader stands in the way; the log is brought in at the next try
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None

    def vacuum(self) -> None:
        """Give free pages back. Raises StoreFault."""
        try:
            self.db.execute(f"pragma incremental_vacuum({STEP_PAGES})").get  # noqa: B018 - runs to its end
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None

    def scrub(self, state: ScrubProgress, records: int) -> list[DamagedRecord] | None:
        """Read the next records again; the damage among them, or None when the pass is over. Raises StoreFault."""
        try:
            rows = list(
                self.db.execute(
                    "select name, cast(key as blob), cast(data as blob) from record, shelf "
                    "where shelf.number = record.shelf and "
                    "(name, key) > (?, ?) order by name, key limit ?",
                    (*state.after, records),
                )
            )
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None
        if not rows:
            return None
        out = []
        for name, key, data in rows:
            try:
                unpack(name, key or b"", data or b"")
            except DamagedRecord as damage:
                out.append(damage)
        state.after = (rows[-1][0], rows[-1][1])
        state.records += len(rows)
        state.damage += len(out)
        return out

    def check(self) -> list[str]:
        """What the database itself finds wrong with the whole file, ten lines at most. Guards against a bit flipped in
        an inner page, which hides records: no checksum of ours is asked about those. Reads all. Raises StoreFault."""
        try:
            found = [text for (text,) in self.db.execute("pragma quick_check(10)")]
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None
        return [] if found == ["ok"] else found

    def snapshot(self, to: str) -> bool:
        """Copy the next piece into another file beside, which is whole once this returns True and no store before. A
        commit between two pieces is copied too. Raises StoreFault."""
        try:
            if self._backup is None:
                self._copy = apsw.Connection(str(Path(self.name).with_name(to)), vfs=self.vfs or None)
                self._backup = self._copy.backup("main", self.db, "main")
            self._backup.step(STEP_PAGES)
            if not self._backup.done:
                return False
            self._end_snapshot()
        except apsw.Error as error:
            self._end_snapshot()
            raise from_sqlite_error(error, to) from None
        return True

    def _end_snapshot(self) -> None:
        if self._backup:
            self._backup.close(True)
        if self._copy:
            self._copy.close(True)
        self._backup = self._copy = None

    def close(self) -> None:
        """Bring the log in and close, as far as the disk lets."""
        self._end_snapshot()
        self.db.close(True)
