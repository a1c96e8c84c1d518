"""The ledger as a service on an event loop. It connects the journal, the store, the agreement on periods, the
reconciliation with other instances and the export; the decisions are made in those modules. A dialogue never waits for
the ledger."""

import asyncio
import random
import re
import shlex
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

import msgspec

from wellhitch.ledger import closing, export, periods, reconcile
from wellhitch.ledger.chain import ChainId, Row, decode_row
from wellhitch.ledger.entries import Corrected, InvalidEntryError, NumberKeys
from wellhitch.ledger.journal import (
    ABOUT_BUCKET,
    CHAIN_BUCKET,
    ESTABLISHED_BUCKET,
    HEARTBEAT_INTERVAL_US,
    IDENTITY_BUCKET,
    PEER_ROWS_BUCKET,
    PERIOD_BUCKET,
    DialogueFacts,
    EstablishedDialogue,
    Identity,
    Journal,
    WrongDiskError,
    last_position,
    open_journal,
)
from wellhitch.ledger.outbox import Outbox
from wellhitch.ledger.periods import (
    Agreement,
    Outcome,
    PeriodRecord,
    next_period,
    period_at,
    period_end,
    previous_period,
)
from wellhitch.ledger.reconcile import Collection, Pull, TokenBucket
from wellhitch.net.transport import now_us
from wellhitch.store.engine import Engine
from wellhitch.store.records import Change, DamagedRecord
from wellhitch.store.service import Disk, StoreService
from wellhitch.store.writer import LINGER_US

STORE_NAME = "ledger"
EXPORT_BUCKET, FILE_BUCKET, FIGURE_BUCKET = "export", "file", "figure"
DIGEST_BYTES = 16  # prefix of a row's hash that identifies the row in a pull
# Time between two pulls from the same instance when nothing is missing; evidence is at most this old.
PULL_INTERVAL_US = 10_000_000
# Time between two checks whether the replica holds rows of this instance that are missing here. They are needed again
# only after the disk was changed under a running process.
OWN_ROWS_PULL_INTERVAL_US = 300_000_000
DIGESTS_PER_READ = 1_000  # rows read at once; takes 15 ms of processor time
DIGEST_READ_INTERVAL_S = 0.05  # between two reads; loading takes at most a third of a processor
DIGEST_READ_RETRY_S = 1.0
# Events held until the store is open: 20 s of 520 dialogues a second, two events each.
MAX_EARLY_EVENTS = 20_000
MAX_CHANGES_PER_EVENT = 6  # changes that one event makes, with a record of lost entries before it

Message = periods.Message | reconcile.Message
MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)


@dataclass(slots=True)
class StoredState:
    """What the store holds when it is opened. `last`: sequence and hash of the last row of the latest chain.
    `digests_from`: the first period whose digests are loaded at the start; earlier ones are loaded on request."""

    identity: bytes | None = None
    last: tuple[int, bytes] | None = None
    established: list[EstablishedDialogue] = field(default_factory=list)
    periods: dict[str, PeriodRecord] = field(default_factory=dict)
    digests_from: str = ""
    export_progress: export.ExportProgress = field(default_factory=export.ExportProgress)
    files: dict[int, bytes] = field(default_factory=dict)
    damaged: int = 0


def read_store(engine: Engine) -> StoredState:
    """Read what the service needs to start. Runs on the disk's thread."""
    state = StoredState()
    identity_record = engine.get(IDENTITY_BUCKET, b"")
    if identity_record:
        state.identity = identity_record[1]
        identity = msgspec.msgpack.decode(identity_record[1], type=Identity)
        chain = ChainId(identity.number, identity.marks[-1])
        for record in engine.scan(CHAIN_BUCKET, chain.key(), chain.key((1 << 64) - 1), reverse=True):
            if not isinstance(record, DamagedRecord):
                state.last = last_position(chain, decode_row(record[2]))
                break
            state.damaged += 1
    for record in _intact_records(engine, ESTABLISHED_BUCKET, state):
        state.established.append(msgspec.msgpack.decode(record[2], type=EstablishedDialogue))
    for record in _intact_records(engine, PERIOD_BUCKET, state):
        period_record = periods.RECORD_DECODER.decode(record[2])
        state.periods[period_record.period] = period_record
    open_periods = {name for name, period_record in state.periods.items() if period_record.closed is None}
    state.digests_from = min(open_periods, default=max(state.periods, default=""))
    export_record = engine.get(EXPORT_BUCKET, b"")
    if export_record:
        state.export_progress = msgspec.msgpack.decode(export_record[1], type=export.ExportProgress)
    for record in _intact_records(engine, FILE_BUCKET, state):
        state.files[int.from_bytes(record[0], "big")] = record[2]
    return state


def _intact_records(engine: Engine, bucket: str, state: StoredState) -> Iterator[tuple[bytes, int, bytes]]:
    """The intact records of a bucket. Damaged ones are counted and reported once the service is ready."""
    for record in engine.scan(bucket):
        if isinstance(record, DamagedRecord):
            state.damaged += 1
        else:
            yield record


RowDigest = tuple[str, bytes, str, bytes]
"""Bucket, key, period and digest of a row."""


def read_digests(
    engine: Engine, bucket: str, after: bytes, limit: int
) -> tuple[list[RowDigest], bytes | None]:
    """Digests of the next rows of a bucket, and the key to continue after; None for the key after the last row."""
    digests: list[RowDigest] = []
    last: bytes | None = None
    for record in islice(engine.scan(bucket, after + b"\0"), limit):
        last = record.key if isinstance(record, DamagedRecord) else record[0]
        if isinstance(record, DamagedRecord):
            continue
        if bucket == ABOUT_BUCKET:
            digests.append((bucket, record[0], record[2][:7].decode(), record[2][7 : 7 + DIGEST_BYTES]))
        else:
            row = decode_row(record[2])
            digests.append(
                (bucket, record[0], row.period, row.hash(ChainId.from_key(record[0])[0])[:DIGEST_BYTES])
            )
    return digests, last


@dataclass(frozen=True, slots=True)
class AccountingChannel:
    """The outbox to the accounting side, and the key shared with it."""

    key: bytes
    outbox: Outbox


@dataclass(frozen=True, slots=True)
class PeriodLines:
    """Lines of the next file of a period, and whether more files follow."""

    lines: list[export.ExportLine]
    more: bool
    lost_entries: int


def settle_period(engine: Engine, number: int, period: str) -> PeriodLines:
    """Settle a period over all rows on disk and return what is not exported yet. Runs concurrently with commits."""

    def rows() -> Iterator[tuple[str, Row]]:
        for bucket in (CHAIN_BUCKET, PEER_ROWS_BUCKET):
            for record in engine.scan(bucket):
                if not isinstance(record, DamagedRecord):
                    yield str(ChainId.from_key(record[0])[0]), decode_row(record[2])

    settled, lost_entries = closing.settled(number, rows(), period)
    exported = {}
    for record in engine.scan(FIGURE_BUCKET):
        if not isinstance(record, DamagedRecord):
            dialogue_id = int.from_bytes(record[0][:4], "big"), int.from_bytes(record[0][4:], "big")
            exported[dialogue_id] = msgspec.msgpack.decode(record[2], type=export.ExportedFigure)
    lines = export.export_lines(period, settled, exported)
    return PeriodLines(
        lines[: export.MAX_LINES_PER_FILE], len(lines) > export.MAX_LINES_PER_FILE, len(lost_entries)
    )


def _figure_change(line: export.ExportLine, period: str) -> Change:
    """Records the figure of a line that was exported."""
    key = line.origin.to_bytes(4, "big") + (line.dialogue & (1 << 64) - 1).to_bytes(8, "big")
    figure = export.ExportedFigure(line.billed, line.corrects or period)
    return Change(FIGURE_BUCKET, key, msgspec.msgpack.encode(figure))


def _figure_removal(line: export.ExportLine) -> Change:
    """Removes the figure of a line whose file became void."""
    return Change(FIGURE_BUCKET, _figure_change(line, "").key, None)


class SettlementService:
    """The ledger of one instance. `send` sends bytes to another instance and returns whether a connection was up;
    `wall` converts the loop's time to wall time, both in us."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        disk: Disk,
        number: int,
        roster: Iterable[int],
        keys: NumberKeys,
        wall: Callable[[int], int],
        send: Callable[[int, bytes], bool],
        log: Callable[..., None],
        rng: random.Random,
        linger: int = LINGER_US,
        accounting: AccountingChannel | None = None,
    ) -> None:
        self.loop, self.number, self.to_wall, self.send_bytes, self.write_log = loop, number, wall, send, log
        self.roster = tuple(sorted({number, *roster}))
        self.number_keys, self.rng = keys, rng
        self.store = StoreService(loop, disk, STORE_NAME, log, linger)
        self.counts: Counter[str] = Counter()
        self.journal: Journal | None = None
        self.agreements: dict[str, Agreement] = {}
        self.open_period = ""
        self.rows_about: dict[tuple[int, str], Collection] = {}  # own rows, by origin and period
        self.digests_from = ""  # earlier periods of `rows_about` are loaded on request
        self.last_exported = ""  # periods of `peer_rows` and `own_rows` up to this one are loaded on request
        self.digests_loaded = False
        self._loading: set[tuple[int, str]] = set()
        # Rows of other instances: those about own dialogues, and all rows of the instance that is replicated here.
        self.peer_rows: dict[tuple[int, str], Collection] = {}
        # All own rows, which the replica holder pulls.
        self.own_rows: dict[tuple[int, str], Collection] = {}
        self.pulls: dict[tuple[int, str], Pull] = {}
        self.last_pull_us: dict[tuple[int, str], int] = {}
        self.reconciled: set[tuple[int, str]] = (
            set()
        )  # pulled completely after the other instance's statement
        self.bandwidth = TokenBucket()
        self.accounting = accounting
        self.export_progress = export.ExportProgress()
        self.sender: export.Sender | None = None
        self._settling = self._handing_over = False
        self.logged_closed: set[str] = set()
        self.disk_error = ""
        self._early_events: deque[Callable[[], None]] = deque()
        self._pending_ends: deque[tuple[str, int, int, str, int, int, int]] = deque()
        self._last_retry_us = 0
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    # -- startup --

    def start(self) -> None:
        """Open the store; events that arrive before it is open are held."""
        self.store.open(read_store, self._opened)
        self._timer = self.loop.call_later(HEARTBEAT_INTERVAL_US / 1e6, self._on_tick)

    def _now(self) -> int:
        return now_us(self.loop)

    def wall(self) -> int:
        """The current wall time in us."""
        return self.to_wall(self._now())

    def _opened(self, stored: StoredState) -> None:
        try:
            self.journal, new = open_journal(
                self.number, stored.identity, stored.last, self.rng.getrandbits(62), self.number_keys
            )
        except WrongDiskError as error:
            # Nothing is written to another instance's disk. Calls continue without a ledger.
            self.disk_error = str(error)
            self.counts["ledger_other_disk"] += 1
            self.write_log("ledger_refused", why=str(error))
            return
        if stored.damaged:
            self.counts["ledger_damaged"] += stored.damaged
            self.write_log("ledger_damaged", records=stored.damaged)
        journal, wall = self.journal, self.wall()
        for record in stored.periods.values():
            self.agreements[record.period] = Agreement(self.number, self.roster, record)
            if record.statement:
                journal.stated_periods.add(record.period)
        self.digests_from, self.last_exported = stored.digests_from, stored.export_progress.completed_period
        self.export_progress = stored.export_progress
        if self.accounting:
            self.sender = export.Sender(
                self.accounting.key, self.number, stored.export_progress, stored.files
            )
        last_stated = max(journal.stated_periods, default="")
        # On an old disk this is the period in which the instance last ran, not the present one. Otherwise a process
        # that was away while a period ended would never state that period, and all others would wait for it.
        self.open_period = (
            next_period(last_stated) if last_stated else period_at(wall if new else journal.identity.alive_at)
        )
        if not new:
            self.write_log("ledger_restarted", chain=str(journal.chain.name), before=journal.previous_end[1])
        # Dialogues left by the previous process are ended as of its last heartbeat before this process's own events.
        restart_changes = journal.resume(stored.established, LINGER_US, wall)
        self._write(restart_changes + journal.heartbeat(wall))
        while self._early_events:
            self._early_events.popleft()()
        self._read_next_digests([ABOUT_BUCKET, PEER_ROWS_BUCKET, CHAIN_BUCKET], b"")

    def _read_next_digests(self, buckets: list[str], after: bytes) -> None:
        """Load the digests that are on disk, in steps alongside the other work: a million take a minute. Until all are
        loaded nothing is pulled from other instances and their requests are not answered."""
        if not buckets:
            self.digests_loaded = True
            return
        bucket = buckets[0]

        def done(result: Any) -> None:
            if not isinstance(result, tuple):
                self.loop.call_later(DIGEST_READ_RETRY_S, self._read_next_digests, buckets, after)
                return
            digests, last = result
            for digest in digests:
                self._add_digest(*digest)
            if last is None:
                self._read_next_digests(buckets[1:], b"")
            else:
                self.loop.call_later(DIGEST_READ_INTERVAL_S, self._read_next_digests, buckets, last)

        self.store.read_concurrently(
            lambda engine: read_digests(engine, bucket, after, DIGESTS_PER_READ), done
        )

    def _add_digest(self, bucket: str, key: bytes, period: str, digest: bytes) -> None:
        if bucket == ABOUT_BUCKET:
            if period >= self.digests_from:
                self._collection(self.rows_about, int.from_bytes(key[:4], "big"), period).add(key[4:], digest)
        elif period > self.last_exported:
            collections = self.peer_rows if bucket == PEER_ROWS_BUCKET else self.own_rows
            self._collection(collections, ChainId.from_key(key)[0].number, period).add(key, digest)

    def _collection(
        self, collections: dict[tuple[int, str], Collection], number: int, period: str
    ) -> Collection:
        collection = collections.get((number, period))
        if collection is None:
            collection = collections[number, period] = Collection()
        return collection

    # -- events from the server --

    def _run_when_open(self, work: Callable[[], None]) -> None:
        if self.journal is not None:
            work()
        elif not self.disk_error and len(self._early_events) < MAX_EARLY_EVENTS:
            self._early_events.append(work)
        else:
            self.counts["ledger_missed"] += 1

    def answered(self, facts: DialogueFacts, answer: str) -> None:
        """A dialogue got its answer."""
        wall, now = self.wall(), self._now()

        def work() -> None:
            journal = self._require_journal()
            if self._has_capacity():
                self._write(journal.answered(facts, answer, wall, now))

        self._run_when_open(work)

    def ended(self, side: str, origin: int, dialogue: int, ending: str, dial: int = -1) -> None:
        """An established dialogue ended."""
        pending_end = (side, origin, dialogue, ending, self.wall(), self._now(), dial)

        def work() -> None:
            # An end is not dropped when the store is at capacity but waits: otherwise a crash would bill the dialogue
            # up to the last heartbeat. There are never more pending ends than dialogues.
            self._pending_ends.append(pending_end)
            self._write_pending_ends()

        self._run_when_open(work)

    def _write_pending_ends(self) -> None:
        journal = self._require_journal()
        while self._pending_ends and self.store.has_capacity(MAX_CHANGES_PER_EVENT):
            self._write(journal.ended(*self._pending_ends.popleft()))

    def local_dialogue_ended(self, facts: DialogueFacts, ending: str, duration: int) -> None:
        """The own office reported the end of a dialogue that ran within this exchange."""
        wall = self.wall()

        def work() -> None:
            journal = self._require_journal()
            if self._has_capacity():
                self._write(journal.local_dialogue_ended(facts, ending, duration, wall))

        self._run_when_open(work)

    def correct(self, origin: int, dialogue: int, change: int, who: str, why: str) -> str:
        """Record a correction by an operator. Returns an error message, or an empty string on success."""
        if self.journal is None:
            return "the ledger is not open"
        if origin != self.number:
            return f"dialogue {origin}/{dialogue} must be corrected at call server {origin}"
        if not who or not why or max(len(who), len(why)) > 200:
            return "who and why must each have 1 to 200 characters"
        self._write(
            self.journal.append(Corrected(origin, dialogue, change, who, why, self.wall()), self.wall())
        )
        return ""

    def _require_journal(self) -> Journal:
        assert self.journal is not None
        return self.journal

    def _has_capacity(self) -> bool:
        """Whether the store has capacity for an event. Events that were dropped are recorded as soon as it has."""
        if not self.store.has_capacity(MAX_CHANGES_PER_EVENT):
            self.store.count_refused()
            self.counts["ledger_refused"] += 1
            return False
        refused = self.store.take_refused()
        if refused.count:
            wall = self.wall()
            first, last = (self.to_wall(time) for time in (refused.first, refused.last))
            self._write(self._require_journal().entries_lost(refused.count, first, last, wall))
        return True

    def _write(self, changes: list[Change], durable: Callable[[], None] | None = None) -> None:
        new_rows = self.journal.new_rows if self.journal else []
        for period, key, hash_, about in new_rows:
            digest = hash_[:DIGEST_BYTES]
            self._collection(self.own_rows, self.number, period).add(key, digest)
            if about is not None and about != self.number:
                self._collection(self.rows_about, about, period).add(key, digest)
        new_rows.clear()
        self.store.put(changes, durable)

    # -- timer --

    def _on_tick(self) -> None:
        if self._closed:
            return
        self._timer = self.loop.call_later(HEARTBEAT_INTERVAL_US / 1e6, self._on_tick)
        if self.journal is None:
            return
        wall, now = self.wall(), self._now()
        if self.store.has_capacity(MAX_CHANGES_PER_EVENT):
            self._write_pending_ends()
            self._has_capacity()
            self._write(self.journal.heartbeat(wall))
        while self.open_period and period_end(self.open_period) + periods.CLOCK_MARGIN_US <= wall:
            self.state_period(self.open_period)
        if now - self._last_retry_us >= periods.RETRY_INTERVAL_US:
            self._last_retry_us = now
            for agreement in self.agreements.values():
                self._apply(agreement, agreement.retry(wall))
        self._run_pulls(now)
        self._export_next()
        self._hand_over(now)

    def state_period(self, period: str) -> None:
        """State that this instance adds no more rows to a period: at its end, or earlier on an operator's request."""
        journal = self._require_journal()
        agreement = self.agreements.get(period)
        if agreement is None:
            agreement = self.agreements[period] = Agreement(self.number, self.roster, PeriodRecord(period))
        if agreement.record.statement is None:
            self._apply(agreement, agreement.record_own_statement(journal.statement(period)))
            self.write_log("ledger_period_stated", period=period, rows=journal.chain.seq)
        if period >= self.open_period:
            self.open_period = next_period(period)

    def _apply(self, agreement: Agreement, outcome: Outcome) -> None:
        """Persist first, then send."""
        sends = outcome.send

        def send_all() -> None:
            for to, message in sends:
                self._send(to, message)

        if outcome.persist:
            key = agreement.record.period.encode()
            self._write([Change(PERIOD_BUCKET, key, msgspec.msgpack.encode(agreement.record))], send_all)
        else:
            send_all()
        if (
            outcome.persist
            and agreement.state == "closed"
            and agreement.record.period not in self.logged_closed
        ):
            self.logged_closed.add(agreement.record.period)
            self.write_log(
                "ledger_period_closed",
                period=agreement.record.period,
                instances=len(agreement.record.closed or ()),
            )

    # -- other instances --

    def _send(self, to: int, message: Message) -> bool:
        data = msgspec.msgpack.encode(message)
        self.counts["ledger_bytes_sent"] += len(data)
        return self.send_bytes(to, data)

    def receive(self, sender: int, data: bytes) -> None:
        """Handle a message from another instance. Malformed messages, and those of senders that are not on the roster,
        are counted and ignored: any process that can connect may claim to be a call server."""
        if self.journal is None:
            return
        if sender not in self.roster:
            self.counts["ledger_strange_message"] += 1
            return
        try:
            message = MESSAGE_DECODER.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            self.counts["ledger_strange_message"] += 1
            return
        if isinstance(message, reconcile.CompareRanges):
            self._answer_comparison(sender, message)
        elif isinstance(message, reconcile.Fetch):
            self._answer_fetch(sender, message)
        elif isinstance(message, reconcile.RangeDifferences):
            pull = self.pulls.get((sender, message.topic))
            if pull:
                pull.apply_differences(message)
                self._send_requests(sender, pull)
        elif isinstance(message, reconcile.Rows):
            self._store_rows(sender, message)
        else:
            self._receive_agreement(sender, message)

    def _receive_agreement(self, sender: int, message: periods.Message) -> None:
        try:
            period_end(message.period)
        except ValueError:
            self.counts["ledger_strange_message"] += 1
            return
        agreement = self.agreements.get(message.period)
        if agreement is None:
            # The sender's clock is ahead. Its message is kept; this instance states the period by its own clock.
            agreement = self.agreements[message.period] = Agreement(
                self.number, self.roster, PeriodRecord(message.period)
            )
        self._apply(agreement, agreement.receive(sender, message))
        if agreement.record.closed is not None and agreement.record.statement is None:
            # The period was closed without this instance, whose later rows for it count as late.
            self.state_period(message.period)

    def _load_period(
        self, bucket: str, owner: int, period: str, into: dict[tuple[int, str], Collection]
    ) -> None:
        """Load the rows of an earlier period, which another instance asked for, into `into`. Guards against answering
        that there are none: the other instance would take itself for complete."""
        key = (owner, period)
        if key in self._loading:
            return
        self._loading.add(key)

        def work(engine: Engine) -> Collection:
            collection, low = Collection(), owner.to_bytes(4, "big")
            for record in engine.scan(bucket, low, (owner + 1).to_bytes(4, "big")):
                if isinstance(record, DamagedRecord):
                    continue
                if bucket == ABOUT_BUCKET:
                    if record[2][:7].decode() == period:
                        collection.add(record[0][4:], record[2][7 : 7 + DIGEST_BYTES])
                elif (row := decode_row(record[2])).period == period:
                    collection.add(record[0], row.hash(ChainId.from_key(record[0])[0])[:DIGEST_BYTES])
            return collection

        def done(result: Any) -> None:
            self._loading.discard(key)
            if isinstance(result, Collection):
                into[key] = result

        self.store.read_concurrently(work, done)

    def _requested_collection(self, sender: int, topic: str) -> Collection | None:
        """The collection that a topic names for the sender: `about/PERIOD`, rows about the sender's dialogues;
        `all/PERIOD`, all own rows, for the replica holder; `back/PERIOD`, the sender's own rows that are replicated
        here. None while it is being loaded; the sender asks again."""
        kind, _, period = topic.partition("/")
        if not self.digests_loaded:
            return None
        if kind == "about":
            if period < self.digests_from and (sender, period) not in self.rows_about:
                self._load_period(ABOUT_BUCKET, sender, period, self.rows_about)
                return None
            return self._collection(self.rows_about, sender, period)
        if kind == "all":
            return self._collection(self.own_rows, self.number, period)
        if kind == "back":
            if period <= self.last_exported and (sender, period) not in self.peer_rows:
                self._load_period(PEER_ROWS_BUCKET, sender, period, self.peer_rows)
                return None
            return self._collection(self.peer_rows, sender, period)
        return None

    def _answer_comparison(self, sender: int, request: reconcile.CompareRanges) -> None:
        collection = self._requested_collection(sender, request.topic)
        if collection is None:
            return
        differences = reconcile.compare_ranges(collection, request)
        if self.bandwidth.take(len(msgspec.msgpack.encode(differences)), self._now()):
            self._send(sender, differences)
        else:
            self.counts["ledger_held_back"] += 1

    def _answer_fetch(self, sender: int, fetch: reconcile.Fetch) -> None:
        collection = self._requested_collection(sender, fetch.topic)
        keys = [
            key
            for key in fetch.keys[: reconcile.MAX_FETCHED_ROWS]
            if collection and collection.get(key) is not None
        ]
        bucket = PEER_ROWS_BUCKET if fetch.topic.startswith("back/") else CHAIN_BUCKET
        if not self.bandwidth.take(300 * len(keys), self._now()):
            self.counts["ledger_held_back"] += 1
            return

        def work(engine: Engine) -> list[tuple[bytes, bytes]]:
            rows = []
            for key in keys:
                try:
                    record = engine.get(bucket, key)
                except DamagedRecord:
                    continue
                if record:
                    rows.append((key, record[1]))
            return rows

        def done(result: Any) -> None:
            if isinstance(result, list) and result:
                self._send(sender, reconcile.Rows(fetch.topic, tuple(result)))

        self.store.read(work, done)

    def _store_rows(self, sender: int, message: reconcile.Rows) -> None:
        pull = self.pulls.get((sender, message.topic))
        if pull is None:
            return
        for key, data in message.rows:
            own_rows = pull.topic.startswith("back/")
            row = self._decode_row_of(self.number if own_rows else sender, key, data)
            if (
                row
                and self.store.has_capacity(MAX_CHANGES_PER_EVENT)
                and pull.accept_row(key, row.hash(ChainId.from_key(key)[0])[:DIGEST_BYTES])
            ):
                self.counts["ledger_rows_back" if own_rows else "ledger_rows_heard"] += 1
                self._write([Change(CHAIN_BUCKET if own_rows else PEER_ROWS_BUCKET, key, data)])
        self._send_requests(sender, pull)

    def _decode_row_of(self, owner: int, key: bytes, data: bytes) -> Row | None:
        """Decode a row; None if it is malformed or does not belong to a chain of `owner`."""
        try:
            name, seq = ChainId.from_key(key)
            row = decode_row(data)
        except InvalidEntryError:
            name, row, seq = ChainId(-1, 0), None, 0
        if row is None or name.number != owner or row.seq != seq:
            self.counts["ledger_strange_message"] += 1
            return None
        return row

    @property
    def replicated_instance(self) -> int:
        """The instance whose rows are all replicated here: the one before on the roster, taken as a ring."""
        return self.roster[self.roster.index(self.number) - 1]

    @property
    def replica_holder(self) -> int:
        """The instance that replicates all rows of this one."""
        return self.roster[(self.roster.index(self.number) + 1) % len(self.roster)]

    def _run_pulls(self, now: int) -> None:
        """Continue pulls and start those that are due: of the open period and of periods with missing evidence."""
        if not self.digests_loaded:
            return
        wanted = {
            self.open_period,
            *(name for name, agreement in self.agreements.items() if self._lacks_evidence(name, agreement)),
        }
        for other in self.roster:
            if other == self.number:
                continue
            for period in sorted(wanted):
                kind = "all" if other == self.replicated_instance else "about"
                self._continue_pull(other, f"{kind}/{period}", self.peer_rows, other, PULL_INTERVAL_US, now)
            if other == self.replica_holder:
                # Restores what a lost or old disk lacks of this period and the one before. Operators restore older
                # periods from a snapshot.
                for period in (self.open_period, previous_period(self.open_period)):
                    self._continue_pull(
                        other,
                        f"back/{period}",
                        self.own_rows,
                        self.number,
                        OWN_ROWS_PULL_INTERVAL_US,
                        now,
                    )

    def _continue_pull(
        self,
        other: int,
        topic: str,
        collections: dict[tuple[int, str], Collection],
        owner: int,
        interval: int,
        now: int,
    ) -> None:
        key = (other, topic)
        pull = self.pulls.get(key)
        if pull is None and now - self.last_pull_us.get(key, -interval) >= interval:
            collection = self._collection(collections, owner, topic.partition("/")[2])
            pull = self.pulls[key] = Pull(topic, collection)
        if pull is not None:
            self._send_requests(other, pull)

    def _lacks_evidence(self, period: str, agreement: Agreement) -> bool:
        """Whether evidence of a period may still be missing."""
        content = agreement.record.closed
        if content is None:
            return True
        return any(
            (statement.number, period) not in self.reconciled
            for statement in content
            if statement.number != self.number
        )

    def _send_requests(self, other: int, pull: Pull) -> None:
        now = self._now()
        for message in pull.next_requests(now):
            if not self.bandwidth.take(len(msgspec.msgpack.encode(message)), now):
                self.counts["ledger_held_back"] += 1
                continue  # sent again after the retry interval, like a lost request
            self._send(other, message)
        if pull.done:
            self._pull_finished(other, pull, now)

    def _pull_finished(self, other: int, pull: Pull, now: int) -> None:
        """All rows that were requested have arrived."""
        kind, _, period = pull.topic.partition("/")
        del self.pulls[other, pull.topic]
        self.last_pull_us[other, pull.topic] = now
        self.counts["ledger_pulls"] += 1
        if kind == "back":
            return  # rows that exist only here have not been replicated yet, and are no conflict
        if pull.conflicts:
            self.counts["ledger_strange_rows"] += len(pull.conflicts)
            self.write_log("ledger_rows_differ", instance=other, rows=len(pull.conflicts))
        agreement = self.agreements.get(period)
        if agreement and (other in agreement.statements or agreement.record.closed is not None):
            self.reconciled.add((other, period))

    # -- export --

    def _export_next(self) -> None:
        """Make the next file of the first period that is not exported, once it is closed and all its evidence is
        here."""
        unexported = sorted(name for name in self.agreements if name > self.export_progress.completed_period)
        if self.sender is None or self._settling or not unexported:
            return
        period = unexported[0]
        agreement = self.agreements[period]
        if agreement.record.closed is None or self._lacks_evidence(period, agreement):
            return
        self._settling = True

        def done(result: Any) -> None:
            if isinstance(result, PeriodLines):
                self._make_file(period, result)
            else:
                self._settling = False
                self.counts["ledger_export_failed"] += 1

        self.store.read_concurrently(lambda engine: settle_period(engine, self.number, period), done)

    def _make_file(self, period: str, settled: PeriodLines) -> None:
        accounting, sender = self.accounting, self.sender
        assert accounting and sender
        sequence = self.export_progress.sequence + 1
        data = export.make_file(
            accounting.key, self.number, sequence, period, settled.lines, self.export_progress.mac
        )
        mac = export.read_file(accounting.key, data).mac
        before = msgspec.structs.replace(self.export_progress)
        self.export_progress.sequence, self.export_progress.mac = sequence, mac
        if not settled.more:
            self.export_progress.completed_period = period
        changes = [
            Change(FILE_BUCKET, sequence.to_bytes(8, "big"), data),
            Change(EXPORT_BUCKET, b"", msgspec.msgpack.encode(self.export_progress)),
        ]
        changes += [_figure_change(line, period) for line in settled.lines]

        def durable() -> None:
            # Handed over only once it is on disk: the other side must not see a file that a power cut takes back.
            sender.files[sequence] = data
            self._settling = False
            self.write_log(
                "ledger_file_made",
                sequence=sequence,
                period=period,
                lines=len(settled.lines),
                lacking=settled.lost_entries,
            )

        if not self.store.put(changes, durable):
            for name in ("sequence", "mac", "completed_period"):
                setattr(self.export_progress, name, getattr(before, name))
            self._settling = False

    def _hand_over(self, now: int) -> None:
        accounting, sender = self.accounting, self.sender
        if accounting is None or sender is None or self._handing_over or not sender.files:
            return
        data, sequence = sender.next_file(now), min(sender.files)
        self._handing_over = True

        def work() -> Any:
            try:
                if data is not None:
                    accounting.outbox.put(sequence, data)
                return accounting.outbox.take_receipts()
            except OSError as error:
                return error

        def done(result: Any) -> None:
            self._handing_over = False
            if not isinstance(result, list):
                self.counts["ledger_hand_over_failed"] += 1
                self.write_log("ledger_hand_over_failed", why=str(result))
                return
            for data in result:
                returned = sender.adopt_returned_file(data)
                if returned is not None:
                    self._adopt_file(*returned)
                else:
                    self._receipt_received(sender, data)

        self.store.run(work, done)

    def _adopt_file(self, file: export.File, void: list[export.File]) -> None:
        """Adopt a file that this instance made on a disk it lost: the file's figures are what was exported, and those
        of the `void` files made in its place were not."""
        manifest = file.manifest
        # The period is settled again: dialogues that the returned files do not contain go into the next file.
        self.export_progress.completed_period = max(
            (name for name in self.agreements if name < manifest.period), default=""
        )
        changes = [Change(EXPORT_BUCKET, b"", msgspec.msgpack.encode(self.export_progress))]
        for void_file in void:
            changes.append(Change(FILE_BUCKET, void_file.manifest.sequence.to_bytes(8, "big"), None))
            for line in void_file.lines:
                previous = msgspec.structs.replace(line, billed=line.billed - line.change)
                changes.append(
                    _figure_change(previous, line.corrects) if line.corrects else _figure_removal(line)
                )
        changes += [_figure_change(line, manifest.period) for line in file.lines]
        self.counts["ledger_files_given_back"] += 1
        self.write_log("ledger_file_given_back", sequence=manifest.sequence, period=manifest.period)
        self._write(changes)

    def _receipt_received(self, sender: export.Sender, receipt: bytes) -> None:
        sequence = sender.accept_receipt(receipt)
        if sequence is None:
            self.counts["ledger_strange_receipt"] += 1
            self.write_log("ledger_strange_receipt", why=sender.last_error)
            return
        self._write(
            [
                Change(EXPORT_BUCKET, b"", msgspec.msgpack.encode(self.export_progress)),
                Change(FILE_BUCKET, sequence.to_bytes(8, "big"), None),
            ]
        )
        self.write_log("ledger_file_booked", sequence=sequence)

    # -- operators --

    def status(self) -> dict[str, Any]:
        """The current state, as JSON values."""
        condition = self.store.condition()
        return {
            "state": self.disk_error or condition.state,
            "changes_at_risk": condition.changes_at_risk,
            "us_at_risk": condition.us_at_risk,
            "chain": str(self.journal.chain.name) if self.journal else "",
            "row": self.journal.chain.seq if self.journal else 0,
            "standing": len(self.journal.established) if self.journal else 0,
            "period": self.open_period,
            "periods": {name: agreement.state for name, agreement in sorted(self.agreements.items())},
            "level_with": len(self.reconciled),
            "exported": {
                "periods_to": self.export_progress.completed_period,
                "files": self.export_progress.sequence,
                "booked": self.export_progress.receipted,
                "waiting": len(self.sender.files) if self.sender else 0,
            },
            "counts": dict(sorted((self.counts + self.store.counts).items())),
        }

    def run_command(self, command: str) -> str:
        """Run an operator's command and return the answer; `Daemon.ledger_request` lists the commands. Raises
        ValueError."""
        arguments = shlex.split(command)
        if not arguments:
            return msgspec.json.format(msgspec.json.encode(self.status()), indent=2).decode()
        if self.journal is None:
            raise ValueError(self.disk_error or f"the store is not open: {self.store.condition().state}")
        match arguments:
            case ["close", period]:
                if period_end(period) <= 0 or period > self.open_period:
                    raise ValueError(f"period {period}: the open one is {self.open_period}")
                self.state_period(period)
                return f"{period} is stated; it is closed when a majority agrees: {self.agreements[period].state}"
            case ["correct", dialogue, change, who, why]:
                origin, _, number = dialogue.partition("/")
                # Bounds the numbers: one that the entry's encoding cannot hold would raise while the entry is made.
                if not re.fullmatch("[0-9]{1,5}/[0-9]{1,18} -?[0-9]{1,15}", f"{dialogue} {change}"):
                    shown = f"{dialogue[:40]} {change[:40]}"
                    raise ValueError(
                        f"correct {shown}: expected ORIGIN/DIALOGUE and whole microseconds of at most 15 digits"
                    )
                error = self.correct(int(origin), int(number), int(change), who, why)
                if error:
                    raise ValueError(error)
                return f"{dialogue} is corrected by {change} us in what is exported next"
            case ["snapshot", name]:
                if "/" in name or name.startswith((".", STORE_NAME)):
                    raise ValueError(f"snapshot {name!r}: expected a name in the ledger's folder")
                self.store.snapshot(
                    name, lambda why: self.write_log("ledger_snapshot", name=name, failed=why)
                )
                return f"{name} is being made; the log reports when it is complete"
        raise ValueError(
            f"unknown command {arguments[0][:20]!r}: close PERIOD, correct DIALOGUE US WHO WHY, or snapshot NAME"
        )

    def close(self, closed: Callable[[], None] | None = None) -> None:
        """End the established dialogues, whose connections end with the process, write pending changes and close the
        store."""
        if self.journal is not None:
            for dialogue, _ in list(self.journal.established.values()):
                self.ended(dialogue.side, dialogue.origin, dialogue.dialogue, "cut", dialogue.dial)
            self._write(self.journal.heartbeat(self.wall()))
        self._halt()
        self.store.close(closed)

    def kill(self) -> None:
        """Stop without closing the store, as a killed process does."""
        self._halt()
        self.store.kill()

    def _halt(self) -> None:
        self._closed = True
        if self._timer:
            self._timer.cancel()
