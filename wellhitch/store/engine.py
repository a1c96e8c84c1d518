"""The store's file: SQLite through apsw, one table of records. The only module that uses the database.

It uses a write-ahead log with a sync at each commit; the log is checkpointed in steps by `maintenance`. All calls
block; `service.py` runs them off the event loop."""

import contextlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import apsw

from wellhitch.store.maintenance import STEP_PAGES, Sizes
from wellhitch.store.records import Change, DamagedRecord, pack, unpack

APPLICATION_ID = 0x57484C53  # "WHLS" in the file's header: the file of another application is not written to
LAYOUT_VERSION = 1  # of the tables
BUSY_TIMEOUT_MS = 200  # the longest that a command-line reader holds up a checkpoint


class StoreError(Exception):
    """A store operation failed. `kind`: `full`, `read_only`, `damaged`, `failing`, `in_use` or `foreign`."""

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
    """Convert any exception raised by work on a disk, so that the caller is always notified. Without this maintenance,
    commits and the opening of the store would wait for ever for work that failed."""
    if isinstance(error, StoreError):
        return error
    if isinstance(error, apsw.Error):
        return from_sqlite_error(error, "the store")
    return StoreError(
        "damaged" if isinstance(error, DamagedRecord) else "failing", f"{type(error).__name__}: {error}"
    )


def from_sqlite_error(error: apsw.Error, name: str) -> StoreError:
    """Convert an error of SQLite."""
    kind = next((kind for error_type, kind in SQLITE_ERROR_KINDS if isinstance(error, error_type)), "failing")
    return StoreError(kind, f"{name}: {error}")


@dataclass(slots=True)
class ScrubProgress:
    """The progress of a pass over all records, and the damage it found."""

    after: tuple[str, bytes] = ("", b"")
    records: int = 0
    damage: int = 0


# Keys and data are read as blobs whatever their type: a damaged record may claim to be a text, which it need not be, or
# null.


class Engine:
    """One open file. `vfs`: the SQLite VFS, empty for the system's. `exclusive`: no other process may open the file,
    and no shared memory is needed; the emulated disk has none."""

    def __init__(self, name: str, vfs: str = "", exclusive: bool = False, read_only: bool = False) -> None:
        """Raises StoreError."""
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
            with contextlib.suppress(Exception):  # the first error is the one to report
                self.db.close(True)
            if isinstance(error, apsw.Error):
                raise from_sqlite_error(error, name) from None
            raise

    def _open(self, exclusive: bool, read_only: bool) -> None:
        self.db.set_busy_timeout(BUSY_TIMEOUT_MS)
        if exclusive:
            self.db.execute("pragma locking_mode = exclusive")
        application_id, layout = self.db.pragma("application_id"), self.db.pragma("user_version")
        empty = self.db.execute("select count(*) from sqlite_schema").get == 0
        if not empty and application_id != APPLICATION_ID:
            raise StoreError("foreign", f"{self.name}: a database of another application")
        if not empty and layout != LAYOUT_VERSION:
            raise StoreError("foreign", f"{self.name}: layout {layout}; this program reads {LAYOUT_VERSION}")
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
                self.db.execute(f"pragma user_version = {LAYOUT_VERSION}")
                self.db.execute(f"pragma application_id = {APPLICATION_ID}")

    # -- writing --

    def commit(self, changes: Sequence[Change]) -> None:
        """Put and delete atomically; the changes are on disk when this returns. Raises StoreError."""
        try:
            with self.db:
                numbers = self._numbers({change.bucket for change in changes})
                # Of several changes to one key only the last is written.
                last = {(numbers[change.bucket], change.key): change for change in changes}
                put = [(*place, pack(change)) for place, change in last.items() if change.body is not None]
                deleted = [place for place, change in last.items() if change.body is None]
                self.db.executemany("insert or replace into record values (?, ?, ?)", put)
                self.db.executemany("delete from record where shelf = ? and key = ?", deleted)
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None

    def _numbers(self, names: set[str]) -> dict[str, int]:
        numbers = {}
        for name in sorted(names):
            self.db.execute("insert or ignore into shelf(name) values (?)", (name,))
            numbers[name] = self.db.execute("select number from shelf where name = ?", (name,)).get
        return numbers

    # -- reading --

    def get(self, bucket: str, key: bytes) -> tuple[int, bytes] | None:
        """Version and body of a record. Raises DamagedRecord, StoreError."""
        try:
            data = self.db.execute(
                "select cast(data as blob) from record, shelf "
                "where shelf.name = ? and record.shelf = shelf.number and key = ?",
                (bucket, key),
            ).get
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None
        return None if data is None else unpack(bucket, key, data)

    def scan(
        self, bucket: str, low: bytes = b"", high: bytes | None = None, reverse: bool = False
    ) -> Iterator[tuple[bytes, int, bytes] | DamagedRecord]:
        """Key, version and body of the records from `low` up to but without `high`, in key order or `reverse`. A
        damaged record is yielded in its place. Raises StoreError."""
        order = "desc" if reverse else "asc"
        upper_bound, values = ("", (bucket, low)) if high is None else ("and key < ?", (bucket, low, high))
        try:
            rows = self.db.execute(
                "select cast(key as blob), cast(data as blob) from record, shelf "
                "where shelf.name = ? and record.shelf = shelf.number "
                f"and key >= ? {upper_bound} order by key {order}",
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
        """Names of all buckets. Raises StoreError."""
        try:
            return [name for (name,) in self.db.execute("select name from shelf order by name")]
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None

    # -- maintenance: one step per call --

    def sizes(self) -> Sizes:
        """Pages of the log that are not checkpointed yet, and free pages in the file."""
        log, checkpointed = self.db.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_NOOP)
        return Sizes(max(0, log - checkpointed), int(self.db.pragma("freelist_count")))

    def checkpoint(self) -> None:
        """Checkpoint the log. Raises StoreError."""
        try:
            self.db.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
        except apsw.BusyError:
            return  # blocked by a reader; the next attempt checkpoints the log
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None

    def vacuum(self) -> None:
        """Return free pages to the file system. Raises StoreError."""
        try:
            self.db.execute(f"pragma incremental_vacuum({STEP_PAGES})").get  # noqa: B018 - runs to its end
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None

    def scrub(self, progress: ScrubProgress, records: int) -> list[DamagedRecord] | None:
        """Verify the next records. Returns the damaged ones, or None when the pass is complete. Raises StoreError."""
        try:
            rows = list(
                self.db.execute(
                    "select name, cast(key as blob), cast(data as blob) from record, shelf "
                    "where shelf.number = record.shelf and "
                    "(name, key) > (?, ?) order by name, key limit ?",
                    (*progress.after, records),
                )
            )
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None
        if not rows:
            return None
        damaged = []
        for name, key, data in rows:
            try:
                unpack(name, key or b"", data or b"")
            except DamagedRecord as damage:
                damaged.append(damage)
        progress.after = (rows[-1][0], rows[-1][1])
        progress.records += len(rows)
        progress.damage += len(damaged)
        return damaged

    def check(self) -> list[str]:
        """The faults that the database itself finds in the whole file, at most ten lines. Guards against a flipped bit
        in an inner page, which hides records, so that their checksums are never verified. Reads the whole file. Raises
        StoreError."""
        try:
            faults = [text for (text,) in self.db.execute("pragma quick_check(10)")]
        except apsw.Error as error:
            raise from_sqlite_error(error, self.name) from None
        return [] if faults == ["ok"] else faults

    def snapshot(self, to: str) -> bool:
        """Copy the next STEP_PAGES into another file in the same folder. The copy is complete once this returns True
        and unusable before; a commit between two steps is copied too. Raises StoreError."""
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
        """Checkpoint the log and close, as far as the disk allows."""
        self._end_snapshot()
        self.db.close(True)
