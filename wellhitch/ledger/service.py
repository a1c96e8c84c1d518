"""The ledger in service: joins the book, the store, the agreement on periods and the pulls from other instances to a
loop. It decides nothing of these; a dialogue never waits for it."""

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
    ABOUT,
    ALIVE_EVERY,
    CHAIN,
    HEARD,
    IDENTITY,
    PERIOD,
    STANDING,
    DialogueFacts,
    EstablishedDialogue,
    Identity,
    Journal,
    WrongDiskError,
    last_of,
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

STORE = "ledger"
EXPORT, FILES, FIGURE = "export", "file", "figure"
DIGEST = 16  # bytes of a row's hash by which it is told apart in a pull
PULL_EVERY = (
    10_000_000  # us between two pulls from the same instance when all is level: evidence is so old at most
)
BACK_EVERY = (
    300_000_000  # us between two looks whether another keeps own rows that are not here: only a disk that
)
# was changed under a running process would need it again
READ_ROWS = 1_000  # rows of one piece when digests are read: 15 ms of a processor
READ_EVERY_S = 0.05  # between two pieces: a third of a processor at most
READ_AGAIN_S = 1.0  # after a piece that failed
MOST_EARLY = 20_000  # events kept while the store is not open yet: 20 s of 520 dialogues a second, two each
ROOM = 6  # changes that one event makes at most, with a gap before it

Message = periods.Message | reconcile.Message
MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)


@dataclass(slots=True)
class Found:
    """What the store holds when it is opened."""

    identity: bytes | None = None
    last: tuple[int, bytes] | None = None
    standing: list[EstablishedDialogue] = field(default_factory=list)
    periods: dict[str, PeriodRecord] = field(default_factory=dict)
    about_from: str = ""  # the first period of which they are read; earlier ones are read when asked for
    export_progress: export.ExportProgress = field(default_factory=export.ExportProgress)
    files: dict[int, bytes] = field(default_factory=dict)
    damaged: int = 0


def read_store(engine: Engine) -> Found:
    """Read what a desk needs to begin, on the disk."""
    out = Found()
    found = engine.get(IDENTITY, b"")
    if found:
        out.identity = found[1]
        identity = msgspec.msgpack.decode(found[1], type=Identity)
        name = ChainId(identity.number, identity.marks[-1])
        for one in engine.scan(CHAIN, name.key(), name.key((1 << 64) - 1), reverse=True):
            if not isinstance(one, DamagedRecord):
                out.last = last_of(name, decode_row(one[2]))
                break
            out.damaged += 1
    for one in _sound(engine, STANDING, out):
        out.standing.append(msgspec.msgpack.decode(one[2], type=EstablishedDialogue))
    for one in _sound(engine, PERIOD, out):
        kept = periods.RECORD_DECODER.decode(one[2])
        out.periods[kept.period] = kept
    open_periods = {name for name, kept in out.periods.items() if kept.closed is None}
    out.about_from = min(open_periods, default=max(out.periods, default=""))
    found = engine.get(EXPORT, b"")
    if found:
        out.export_progress = msgspec.msgpack.decode(found[1], type=export.ExportProgress)
    for one in _sound(engine, FILES, out):
        out.files[int.from_bytes(one[0], "big")] = one[2]
    return out


def _sound(engine: Engine, shelf: str, out: Found) -> Iterator[tuple[bytes, int, bytes]]:
    """The records of a shelf that are whole; the others are counted, and said once the desk is ready."""
    for one in engine.scan(shelf):
        if isinstance(one, DamagedRecord):
            out.damaged += 1
        else:
            yield one


Digested = tuple[str, bytes, str, bytes]
"""Shelf, key, period and digest of a row."""


def read_digests(engine: Engine, shelf: str, after: bytes, most: int) -> tuple[list[Digested], bytes | None]:
    """The next rows of a shelf, and the key to go on after; None when that was the last."""
    out: list[Digested] = []
    last: bytes | None = None
    for one in islice(engine.scan(shelf, after + b"\0"), most):
        last = one.key if isinstance(one, DamagedRecord) else one[0]
        if isinstance(one, DamagedRecord):
            continue
        if shelf == ABOUT:
            out.append((shelf, one[0], one[2][:7].decode(), one[2][7 : 7 + DIGEST]))
        else:
            row = decode_row(one[2])
            out.append((shelf, one[0], row.period, row.hash(ChainId.from_key(one[0])[0])[:DIGEST]))
    return out, last


@dataclass(frozen=True, slots=True)
class AccountingChannel:
    """The way to the accounting side, and the key that only the two sides have."""

    key: bytes
    outbox: Outbox


@dataclass(frozen=True, slots=True)
class Reckoned:
    """What the next file of a period holds; whether more follow."""

    lines: list[export.ExportLine]
    more: bool
    lacking: int


def reckon(engine: Engine, number: int, period: str) -> Reckoned:
    """Settle a period over all rows on disk, and what of it is not exported yet. Runs beside the commits."""

    def rows() -> Iterator[tuple[str, Row]]:
        for shelf in (CHAIN, HEARD):
            for one in engine.scan(shelf):
                if not isinstance(one, DamagedRecord):
                    yield str(ChainId.from_key(one[0])[0]), decode_row(one[2])

    settled, lacking = closing.settled(number, rows(), period)
    before = {}
    for one in engine.scan(FIGURE):
        if not isinstance(one, DamagedRecord):
            name = int.from_bytes(one[0][:4], "big"), int.from_bytes(one[0][4:], "big")
            before[name] = msgspec.msgpack.decode(one[2], type=export.ExportedFigure)
    lines = export.export_lines(period, settled, before)
    return Reckoned(lines[: export.MAX_LINES_PER_FILE], len(lines) > export.MAX_LINES_PER_FILE, len(lacking))


def _figure(line: export.ExportLine, period: str) -> Change:
    """What is remembered of a line that was exported."""
    key = line.origin.to_bytes(4, "big") + (line.dialogue & (1 << 64) - 1).to_bytes(8, "big")
    figure = export.ExportedFigure(line.billed, line.corrects or period)
    return Change(FIGURE, key, msgspec.msgpack.encode(figure))


def _no_figure(line: export.ExportLine) -> Change:
    """A line that was not exported after all."""
    return Change(FIGURE, _figure(line, "").key, None)


class SettlementService:
    """One instance's ledger. `send` carries bytes to another instance and tells whether a link was there; `wall` turns
    the loop's time into the wall's, both in us."""

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
        chance: random.Random,
        linger: int = LINGER_US,
        accounting: AccountingChannel | None = None,
    ) -> None:
        self.loop, self.number, self.wall_at, self.send_bytes, self.write_log = loop, number, wall, send, log
        self.roster = tuple(sorted({number, *roster}))
        self.keys, self.chance = keys, chance
        self.keeper = StoreService(loop, disk, STORE, log, linger)
        self.counts: Counter[str] = Counter()
        self.book: Journal | None = None
        self.agreements: dict[str, Agreement] = {}
        self.period = ""  # the one that is open
        self.about: dict[tuple[int, str], Collection] = {}  # own rows, by origin and period
        self.about_from = ""  # earlier periods are read when asked for
        self.kept_to = ""  # up to it, as well
        self.digests_read = False
        self._loading: set[tuple[int, str]] = set()
        self.heard: dict[
            tuple[int, str], Collection
        ] = {}  # others' rows: about own dialogues, or all of one's
        self.own: dict[tuple[int, str], Collection] = {}  # all own rows, for the instance that keeps them too
        self.pulls: dict[tuple[int, str], Pull] = {}
        self.pulled: dict[tuple[int, str], int] = {}
        self.level: set[tuple[int, str]] = set()  # pulled to the end after the other end's statement
        self.bandwidth = TokenBucket()
        self.accounting = accounting
        self.export_progress = export.ExportProgress()
        self.sender: export.Sender | None = None
        self._reckoning = self._handing = False
        self.told_closed: set[str] = set()
        self.refused_disk = ""
        self._early: deque[Callable[[], None]] = deque()
        self._unsaid: deque[tuple[str, int, int, str, int, int, int]] = deque()
        self._again = 0
        self._tick: asyncio.TimerHandle | None = None
        self._closed = False

    # -- beginning --

    def start(self) -> None:
        """Open the store; what the server tells meanwhile is kept."""
        self.keeper.open(read_store, self._ready)
        self._tick = self.loop.call_later(ALIVE_EVERY / 1e6, self._ticked)

    def _now(self) -> int:
        return now_us(self.loop)

    def wall(self) -> int:
        """The wall clock now, in us."""
        return self.wall_at(self._now())

    def _ready(self, found: Found) -> None:
        try:
            self.book, new = open_journal(
                self.number, found.identity, found.last, self.chance.getrandbits(62), self.keys
            )
        except WrongDiskError as fault:
            # Nothing is written to another's disk; calls go on, and the ledger says what it is.
            self.refused_disk = str(fault)
            self.counts["ledger_other_disk"] += 1
            self.write_log("ledger_refused", why=str(fault))
            return
        if found.damaged:
            self.counts["ledger_damaged"] += found.damaged
            self.write_log("ledger_damaged", records=found.damaged)
        book, wall = self.book, self.wall()
        for kept in found.periods.values():
            self.agreements[kept.period] = Agreement(self.number, self.roster, kept)
            if kept.statement:
                book.stated_periods.add(kept.period)
        self.about_from, self.kept_to = found.about_from, found.export_progress.completed_period
        self.export_progress = found.export_progress
        if self.accounting:
            self.sender = export.Sender(self.accounting.key, self.number, found.export_progress, found.files)
        stated = max(book.stated_periods, default="")
        # On an old disk the period in which it last lived, not the present one: else a process that was away while a
        # period ended would never state that, and all others would wait for it.
        self.period = next_period(stated) if stated else period_at(wall if new else book.identity.alive_at)
        if not new:
            self.write_log("ledger_restarted", chain=str(book.chain.name), before=book.previous_end[1])
        # First what the process before left, which is reckoned to its last moment; then this one's own.
        first = book.resume(found.standing, LINGER_US, wall)
        self._put(first + book.heartbeat(wall))
        while self._early:
            self._early.popleft()()
        self._read_on([ABOUT, HEARD, CHAIN], b"")

    def _read_on(self, shelves: list[str], after: bytes) -> None:
        """Read the digests that are on disk, piece by piece beside the work: a million take a minute, and until then
        nothing is pulled from others or answered to them."""
        if not shelves:
            self.digests_read = True
            return
        shelf = shelves[0]

        def done(found: Any) -> None:
            if not isinstance(found, tuple):
                self.loop.call_later(READ_AGAIN_S, self._read_on, shelves, after)
                return
            rows, last = found
            for one in rows:
                self._digested(*one)
            if last is None:
                self._read_on(shelves[1:], b"")
            else:
                self.loop.call_later(READ_EVERY_S, self._read_on, shelves, last)

        self.keeper.read_concurrently(lambda engine: read_digests(engine, shelf, after, READ_ROWS), done)

    def _digested(self, shelf: str, key: bytes, period: str, digest: bytes) -> None:
        if shelf == ABOUT:
            if period >= self.about_from:
                self._collection(self.about, int.from_bytes(key[:4], "big"), period).add(key[4:], digest)
        elif period > self.kept_to:
            where = self.heard if shelf == HEARD else self.own
            self._collection(where, ChainId.from_key(key)[0].number, period).add(key, digest)

    def _collection(self, where: dict[tuple[int, str], Collection], number: int, period: str) -> Collection:
        found = where.get((number, period))
        if found is None:
            found = where[number, period] = Collection()
        return found

    # -- what the server tells --

    def _event(self, work: Callable[[], None]) -> None:
        if self.book is not None:
            work()
        elif not self.refused_disk and len(self._early) < MOST_EARLY:
            self._early.append(work)
        else:
            self.counts["ledger_missed"] += 1

    def answered(self, seen: DialogueFacts, answer: str) -> None:
        """A dialogue got its answer."""
        wall, now = self.wall(), self._now()

        def work() -> None:
            book = self._book()
            if self._room():
                self._put(book.answered(seen, answer, wall, now))

        self._event(work)

    def ended(self, side: str, origin: int, dialogue: int, how: str, dial: int = -1) -> None:
        """A dialogue that stood is over."""
        what = (side, origin, dialogue, how, self.wall(), self._now(), dial)

        def work() -> None:
            # The end of a dialogue is not refused for want of room: it waits, else a crash would count the dialogue
            # on to the last moment of life. There are never more of these than dialogues.
            self._unsaid.append(what)
            self._say_overs()

        self._event(work)

    def _say_overs(self) -> None:
        book = self._book()
        while self._unsaid and self.keeper.room(ROOM):
            self._put(book.ended(*self._unsaid.popleft()))

    def local_dialogue_ended(self, seen: DialogueFacts, how: str, stood: int) -> None:
        """The own office told of a dialogue that ended in this exchange."""
        wall = self.wall()

        def work() -> None:
            book = self._book()
            if self._room():
                self._put(book.local_dialogue_ended(seen, how, stood, wall))

        self._event(work)

    def correct(self, origin: int, dialogue: int, change: int, who: str, why: str) -> str:
        """A correction by staff; returns what is wrong with it, or nothing."""
        if self.book is None:
            return "the ledger is not open"
        if origin != self.number:
            return f"dialogue {origin}/{dialogue} is call server {origin}'s to correct"
        if not who or not why or max(len(who), len(why)) > 200:
            return "who and why: a text each, 200 characters at most"
        self._put(self.book.append(Corrected(origin, dialogue, change, who, why, self.wall()), self.wall()))
        return ""

    def _book(self) -> Journal:
        assert self.book is not None
        return self.book

    def _room(self) -> bool:
        """Whether there is room for an event; what there was none for is said as soon as there is."""
        if not self.keeper.room(ROOM):
            self.keeper.refuse()
            self.counts["ledger_refused"] += 1
            return False
        refused = self.keeper.refused()
        if refused.count:
            wall = self.wall()
            first, last = (self.wall_at(at) for at in (refused.first, refused.last))
            self._put(self._book().entries_lost(refused.count, first, last, wall))
        return True

    def _put(self, changes: list[Change], safe: Callable[[], None] | None = None) -> None:
        fresh = self.book.new_rows if self.book else []
        for period, key, hash_, about in fresh:
            digest = hash_[:DIGEST]
            self._collection(self.own, self.number, period).add(key, digest)
            if about is not None and about != self.number:
                self._collection(self.about, about, period).add(key, digest)
        fresh.clear()
        self.keeper.put(changes, safe)

    # -- time --

    def _ticked(self) -> None:
        if self._closed:
            return
        self._tick = self.loop.call_later(ALIVE_EVERY / 1e6, self._ticked)
        if self.book is None:
            return
        wall, now = self.wall(), self._now()
        if self.keeper.room(ROOM):
            self._say_overs()
            self._room()
            self._put(self.book.heartbeat(wall))
        while self.period and period_end(self.period) + periods.CLOCK_MARGIN_US <= wall:
            self.state(self.period)
        if now - self._again >= periods.RETRY_INTERVAL_US:
            self._again = now
            for one in self.agreements.values():
                self._do(one, one.retry(wall))
        self._pull(now)
        self._export()
        self._hand_over(now)

    def state(self, period: str) -> None:
        """Say that this instance has no more for a period: at its end, or early by staff."""
        book = self._book()
        one = self.agreements.get(period)
        if one is None:
            one = self.agreements[period] = Agreement(self.number, self.roster, PeriodRecord(period))
        if one.record.statement is None:
            self._do(one, one.record_own_statement(book.statement(period)))
            self.write_log("ledger_period_stated", period=period, rows=book.chain.seq)
        if period >= self.period:
            self.period = next_period(period)

    def _do(self, one: Agreement, out: Outcome) -> None:
        """Keep first, then say."""
        sends = out.send

        def say() -> None:
            for to, message in sends:
                self._send(to, message)

        if out.persist:
            key = one.record.period.encode()
            self._put([Change(PERIOD, key, msgspec.msgpack.encode(one.record))], say)
        else:
            say()
        if out.persist and one.state == "closed" and one.record.period not in self.told_closed:
            self.told_closed.add(one.record.period)
            self.write_log(
                "ledger_period_closed", period=one.record.period, instances=len(one.record.closed or ())
            )

    # -- other instances --

    def _send(self, to: int, message: Message) -> bool:
        data = msgspec.msgpack.encode(message)
        self.counts["ledger_bytes_sent"] += len(data)
        return self.send_bytes(to, data)

    def receive(self, sender: int, data: bytes) -> None:
        """Bytes of another instance's. What is no message, or of one that keeps no ledger with this one, is skipped and
        counted: whoever reaches the door may call himself a call server."""
        if self.book is None:
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
            self._looked(sender, message)
        elif isinstance(message, reconcile.Fetch):
            self._fetched(sender, message)
        elif isinstance(message, reconcile.RangeDifferences):
            pull = self.pulls.get((sender, message.topic))
            if pull:
                pull.apply_differences(message)
                self._ask(sender, pull)
        elif isinstance(message, reconcile.Rows):
            self._took(sender, message)
        else:
            self._agree(sender, message)

    def _agree(self, sender: int, message: periods.Message) -> None:
        try:
            period_end(message.period)
        except ValueError:
            self.counts["ledger_strange_message"] += 1
            return
        one = self.agreements.get(message.period)
        if one is None:
            # Another's clock is ahead: its word is kept, this instance states when its own clock says so.
            one = self.agreements[message.period] = Agreement(
                self.number, self.roster, PeriodRecord(message.period)
            )
        self._do(one, one.receive(sender, message))
        if one.record.closed is not None and one.record.statement is None:
            # Closed without this instance: it says no more for that period, what it adds is late.
            self.state(message.period)

    def _load(self, shelf: str, whose: int, period: str, into: dict[tuple[int, str], Collection]) -> None:
        """Read rows of an earlier period, for which another asks, into `into`. Guards against an answer that there are
        none, by which it would call itself level."""
        key = (whose, period)
        if key in self._loading:
            return
        self._loading.add(key)

        def work(engine: Engine) -> Collection:
            made, low = Collection(), whose.to_bytes(4, "big")
            for one in engine.scan(shelf, low, (whose + 1).to_bytes(4, "big")):
                if isinstance(one, DamagedRecord):
                    continue
                if shelf == ABOUT:
                    if one[2][:7].decode() == period:
                        made.add(one[0][4:], one[2][7 : 7 + DIGEST])
                elif (row := decode_row(one[2])).period == period:
                    made.add(one[0], row.hash(ChainId.from_key(one[0])[0])[:DIGEST])
            return made

        def done(found: Any) -> None:
            self._loading.discard(key)
            if isinstance(found, Collection):
                into[key] = found

        self.keeper.read_concurrently(work, done)

    def _asked_for(self, sender: int, topic: str) -> Collection | None:
        """What a topic names for an instance: `about/PERIOD`, rows about its dialogues; `all/PERIOD`, all own rows, for
        the one that keeps them too; `back/PERIOD`, its own rows as far as they are kept here."""
        kind, _, period = topic.partition("/")
        if not self.digests_read:
            return None  # it asks again
        if kind == "about":
            if period < self.about_from and (sender, period) not in self.about:
                self._load(ABOUT, sender, period, self.about)
                return None  # it asks again
            return self._collection(self.about, sender, period)
        if kind == "all":
            return self._collection(self.own, self.number, period)
        if kind == "back":
            if period <= self.kept_to and (sender, period) not in self.heard:
                self._load(HEARD, sender, period, self.heard)
                return None
            return self._collection(self.heard, sender, period)
        return None

    def _looked(self, sender: int, look: reconcile.CompareRanges) -> None:
        mine = self._asked_for(sender, look.topic)
        if mine is None:
            return
        told = reconcile.compare_ranges(mine, look)
        if self.bandwidth.take(len(msgspec.msgpack.encode(told)), self._now()):
            self._send(sender, told)
        else:
            self.counts["ledger_held_back"] += 1

    def _fetched(self, sender: int, fetch: reconcile.Fetch) -> None:
        mine = self._asked_for(sender, fetch.topic)
        keys = [key for key in fetch.keys[: reconcile.MAX_FETCHED_ROWS] if mine and mine.get(key) is not None]
        shelf = HEARD if fetch.topic.startswith("back/") else CHAIN
        if not self.bandwidth.take(300 * len(keys), self._now()):
            self.counts["ledger_held_back"] += 1
            return

        def work(engine: Engine) -> list[tuple[bytes, bytes]]:
            out = []
            for key in keys:
                try:
                    found = engine.get(shelf, key)
                except DamagedRecord:
                    continue
                if found:
                    out.append((key, found[1]))
            return out

        def done(found: Any) -> None:
            if isinstance(found, list) and found:
                self._send(sender, reconcile.Rows(fetch.topic, tuple(found)))

        self.keeper.read(work, done)

    def _took(self, sender: int, message: reconcile.Rows) -> None:
        pull = self.pulls.get((sender, message.topic))
        if pull is None:
            return
        for key, data in message.rows:
            back = pull.topic.startswith("back/")
            row = self._row_of(self.number if back else sender, key, data)
            if (
                row
                and self.keeper.room(ROOM)
                and pull.accept_row(key, row.hash(ChainId.from_key(key)[0])[:DIGEST])
            ):
                self.counts["ledger_rows_back" if back else "ledger_rows_heard"] += 1
                self._put([Change(CHAIN if back else HEARD, key, data)])
        self._ask(sender, pull)

    def _row_of(self, owner: int, key: bytes, data: bytes) -> Row | None:
        """A row, where it is one of that instance's own."""
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
    def kept_for(self) -> int:
        """The instance all of whose rows are kept here too: the one before on the roster, in a ring."""
        return self.roster[self.roster.index(self.number) - 1]

    @property
    def kept_at(self) -> int:
        """The instance that keeps all rows of this one."""
        return self.roster[(self.roster.index(self.number) + 1) % len(self.roster)]

    def _pull(self, now: int) -> None:
        """Go on with pulls, and begin those that are due: the open period and those not closed yet."""
        if not self.digests_read:
            return
        wanted = {self.period, *(name for name, one in self.agreements.items() if self._needs(name, one))}
        for other in self.roster:
            if other == self.number:
                continue
            for period in sorted(wanted):
                kind = "all" if other == self.kept_for else "about"
                self._pull_one(other, f"{kind}/{period}", self.heard, other, PULL_EVERY, now)
            if other == self.kept_at:
                # What a lost or old disk lacks comes back from there: of this period and the one before; what is older
                # staff bring back from a snapshot.
                for period in (self.period, previous_period(self.period)):
                    self._pull_one(other, f"back/{period}", self.own, self.number, BACK_EVERY, now)

    def _pull_one(
        self,
        other: int,
        topic: str,
        where: dict[tuple[int, str], Collection],
        whose: int,
        every: int,
        now: int,
    ) -> None:
        key = (other, topic)
        pull = self.pulls.get(key)
        if pull is None and now - self.pulled.get(key, -every) >= every:
            mine = self._collection(where, whose, topic.partition("/")[2])
            pull = self.pulls[key] = Pull(topic, mine)
        if pull is not None:
            self._ask(other, pull)

    def _needs(self, period: str, one: Agreement) -> bool:
        """Whether evidence of a period may still be lacking."""
        content = one.record.closed
        if content is None:
            return True
        return any(
            (other.number, period) not in self.level for other in content if other.number != self.number
        )

    def _ask(self, other: int, pull: Pull) -> None:
        now = self._now()
        for message in pull.next_requests(now):
            if not self.bandwidth.take(len(msgspec.msgpack.encode(message)), now):
                self.counts["ledger_held_back"] += 1
                continue  # asked again after a while, like one that was lost
            self._send(other, message)
        if pull.done:
            self._pulled(other, pull, now)

    def _pulled(self, other: int, pull: Pull, now: int) -> None:
        """All that was asked for is here."""
        kind, _, period = pull.topic.partition("/")
        del self.pulls[other, pull.topic]
        self.pulled[other, pull.topic] = now
        self.counts["ledger_pulls"] += 1
        if kind == "back":
            return  # what is only here has not got there yet
        if pull.conflicts:
            self.counts["ledger_strange_rows"] += len(pull.conflicts)
            self.write_log("ledger_rows_differ", instance=other, rows=len(pull.conflicts))
        one = self.agreements.get(period)
        if one and (other in one.statements or one.record.closed is not None):
            self.level.add((other, period))

    # -- export --

    def _export(self) -> None:
        """Make the next file of the next period that is closed and for which all evidence is here."""
        later = sorted(name for name in self.agreements if name > self.export_progress.completed_period)
        if self.sender is None or self._reckoning or not later:
            return
        period = later[0]
        one = self.agreements[period]
        if one.record.closed is None or self._needs(period, one):
            return
        self._reckoning = True

        def done(found: Any) -> None:
            if isinstance(found, Reckoned):
                self._make_file(period, found)
            else:
                self._reckoning = False
                self.counts["ledger_export_failed"] += 1

        self.keeper.read_concurrently(lambda engine: reckon(engine, self.number, period), done)

    def _make_file(self, period: str, found: Reckoned) -> None:
        accounting, sender = self.accounting, self.sender
        assert accounting and sender
        sequence = self.export_progress.sequence + 1
        data = export.make_file(
            accounting.key, self.number, sequence, period, found.lines, self.export_progress.mac
        )
        mac = export.read_file(accounting.key, data).mac
        before = msgspec.structs.replace(self.export_progress)
        self.export_progress.sequence, self.export_progress.mac = sequence, mac
        if not found.more:
            self.export_progress.completed_period = period
        changes = [
            Change(FILES, sequence.to_bytes(8, "big"), data),
            Change(EXPORT, b"", msgspec.msgpack.encode(self.export_progress)),
        ]
        changes += [_figure(line, period) for line in found.lines]

        def safe() -> None:
            # Handed over only now: a file that a power cut took back must not have been seen by the other side.
            sender.files[sequence] = data
            self._reckoning = False
            self.write_log(
                "ledger_file_made",
                sequence=sequence,
                period=period,
                lines=len(found.lines),
                lacking=found.lacking,
            )

        if not self.keeper.put(changes, safe):
            for name in ("sequence", "mac", "completed_period"):
                setattr(self.export_progress, name, getattr(before, name))
            self._reckoning = False

    def _hand_over(self, now: int) -> None:
        accounting, sender = self.accounting, self.sender
        if accounting is None or sender is None or self._handing or not sender.files:
            return
        data, sequence = sender.next(now), min(sender.files)
        self._handing = True

        def work() -> Any:
            try:
                if data is not None:
                    accounting.outbox.put(sequence, data)
                return accounting.outbox.take_receipts()
            except OSError as fault:
                return fault

        def done(found: Any) -> None:
            self._handing = False
            if not isinstance(found, list):
                self.counts["ledger_hand_over_failed"] += 1
                self.write_log("ledger_hand_over_failed", why=str(found))
                return
            for data in found:
                back = sender.adopt_returned_file(data)
                if back is not None:
                    self._adopt(*back)
                else:
                    self._receipted(sender, data)

        self.keeper.run(work, done)

    def _adopt(self, file: export.File, void: list[export.File]) -> None:
        """A file that this instance had made and does not remember: its figures are what was exported, and those of the
        files that were made in its place were not."""
        one = file.manifest
        # The period is reckoned once more: what of it is not in the files that are given back goes in the next.
        self.export_progress.completed_period = max(
            (name for name in self.agreements if name < one.period), default=""
        )
        changes = [Change(EXPORT, b"", msgspec.msgpack.encode(self.export_progress))]
        for other in void:
            changes.append(Change(FILES, other.manifest.sequence.to_bytes(8, "big"), None))
            for line in other.lines:
                was = msgspec.structs.replace(line, billed=line.billed - line.change)
                changes.append(_figure(was, line.corrects) if line.corrects else _no_figure(line))
        changes += [_figure(line, one.period) for line in file.lines]
        self.counts["ledger_files_given_back"] += 1
        self.write_log("ledger_file_given_back", sequence=one.sequence, period=one.period)
        self._put(changes)

    def _receipted(self, sender: export.Sender, receipt: bytes) -> None:
        sequence = sender.accept_receipt(receipt)
        if sequence is None:
            self.counts["ledger_strange_receipt"] += 1
            self.write_log("ledger_strange_receipt", why=sender.last_error)
            return
        self._put(
            [
                Change(EXPORT, b"", msgspec.msgpack.encode(self.export_progress)),
                Change(FILES, sequence.to_bytes(8, "big"), None),
            ]
        )
        self.write_log("ledger_file_booked", sequence=sequence)

    # -- what is shown --

    def status(self) -> dict[str, Any]:
        """State as it is."""
        condition = self.keeper.condition()
        return {
            "state": self.refused_disk or condition.state,
            "changes_at_risk": condition.changes_at_risk,
            "us_at_risk": condition.us_at_risk,
            "chain": str(self.book.chain.name) if self.book else "",
            "row": self.book.chain.seq if self.book else 0,
            "standing": len(self.book.established) if self.book else 0,
            "period": self.period,
            "periods": {name: one.state for name, one in sorted(self.agreements.items())},
            "level_with": len(self.level),
            "exported": {
                "periods_to": self.export_progress.completed_period,
                "files": self.export_progress.sequence,
                "booked": self.export_progress.receipted,
                "waiting": len(self.sender.files) if self.sender else 0,
            },
            "counts": dict(sorted((self.counts + self.keeper.counts).items())),
        }

    def run_command(self, what: str) -> str:
        """An operator's word: see `Daemon.ledger_asked`. Raises ValueError."""
        words = shlex.split(what)
        if not words:
            return msgspec.json.format(msgspec.json.encode(self.status()), indent=2).decode()
        if self.book is None:
            raise ValueError(self.refused_disk or f"the store is not open: {self.keeper.condition().state}")
        match words:
            case ["close", period]:
                if period_end(period) <= 0 or period > self.period:
                    raise ValueError(f"period {period}: the open one is {self.period}")
                self.state(period)
                return f"{period} is stated; it is closed when a majority agrees: {self.agreements[period].state}"
            case ["correct", dialogue, change, who, why]:
                origin, _, number = dialogue.partition("/")
                # In bounds: what an entry has no form for would raise in the middle of making one.
                if not re.fullmatch("[0-9]{1,5}/[0-9]{1,18} -?[0-9]{1,15}", f"{dialogue} {change}"):
                    named = f"{dialogue[:40]} {change[:40]}"
                    raise ValueError(
                        f"correct {named}: ORIGIN/DIALOGUE, whole microseconds of 15 digits at most"
                    )
                wrong = self.correct(int(origin), int(number), int(change), who, why)
                if wrong:
                    raise ValueError(wrong)
                return f"{dialogue} is corrected by {change} us in what is exported next"
            case ["snapshot", name]:
                if "/" in name or name.startswith((".", STORE)):
                    raise ValueError(f"snapshot {name!r}: a name in the ledger's folder")
                self.keeper.snapshot(
                    name, lambda why: self.write_log("ledger_snapshot", name=name, failed=why)
                )
                return f"{name} is being made; the log says when it is whole"
        raise ValueError(f"{words[0][:20]!r}: close PERIOD, correct DIALOGUE US WHO WHY, or snapshot NAME")

    def close(self, closed: Callable[[], None] | None = None) -> None:
        """End what stands, for its links go with the process, write what waits and close the store."""
        if self.book is not None:
            for held, _ in list(self.book.established.values()):
                self.ended(held.side, held.origin, held.dialogue, "cut", held.dial)
            self._put(self.book.heartbeat(self.wall()))
        self._halt()
        self.keeper.close(closed)

    def kill(self) -> None:
        """Stop as a killed process does."""
        self._halt()
        self.keeper.kill()

    def _halt(self) -> None:
        self._closed = True
        if self._tick:
            self._tick.cancel()
