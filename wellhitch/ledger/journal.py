"""Turns what the server reports into entries and appends them to the chain. Pure: changes for the store are returned;
wall time and the loop's time are passed in.

Each established dialogue also has a record of its own, so that after a crash the open dialogues are known without
reading the chain. Buckets:

    identity   the instance that owns the disk, its chains, its last heartbeat
    chain      rows of the own chains, by chain and sequence
    standing   dialogues that are established now
    about      own rows about another instance's dialogues, by origin: period (7 bytes) and hash; the origin pulls these
    period     the state of each period that must survive a restart (`periods.PeriodRecord`)
    heard      rows of other instances: about own dialogues, or all rows of the instance that is replicated here"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wellhitch.ledger.chain import INITIAL_HASH, Chain, ChainId, Row
from wellhitch.ledger.entries import Answered, Ended, EntriesLost, Entry, NumberKeys, Restarted
from wellhitch.ledger.periods import Statement, next_period, period_at, period_end, previous_period
from wellhitch.store.records import Change

(
    CHAIN_BUCKET,
    ESTABLISHED_BUCKET,
    ABOUT_BUCKET,
    PERIOD_BUCKET,
    IDENTITY_BUCKET,
    PEER_ROWS_BUCKET,
) = "chain", "standing", "about", "period", "identity", "heard"
# Time between heartbeat records: the most that a dialogue cut by a crash is billed too little.
HEARTBEAT_INTERVAL_US = 1_000_000
SIDE_CODES = {"origin": 0, "tandem": 1, "destination": 2}


class Identity(msgspec.Struct, array_like=True):
    """The instance that owns the disk. `marks`: the marks of all its chains, the present one last. `alive_at`: the wall
    time of the last heartbeat."""

    number: int
    marks: list[int]
    alive_at: int = 0


class EstablishedDialogue(msgspec.Struct, frozen=True, array_like=True):
    """An established dialogue. `wall_us`: wall time at which it was established."""

    side: str
    origin: int
    dialogue: int
    wall_us: int
    dial: int = -1


class WrongDiskError(Exception):
    """The disk belongs to another instance."""


@dataclass(frozen=True, slots=True)
class DialogueFacts:
    """A dialogue as the server reports it. The fields are those of `entries.Answered`, with the called number in
    clear."""

    side: str
    origin: int
    dialogue: int
    traffic_class: str
    destination: int
    called_number: str | None
    width: int = 1
    tenant: str | None = None
    tags: tuple[str, ...] = ()
    hooks_version: str = ""
    dial: int = -1
    onward_dial: int = -1
    tandem: int = -1


def established_key(side: str, origin: int, dialogue: int, dial: int) -> bytes:
    """The store's key of an established dialogue. Several dials may ask a tandem for the same dialogue."""
    name = origin.to_bytes(4, "big") + (dialogue & (1 << 64) - 1).to_bytes(8, "big")
    return name + bytes([SIDE_CODES[side]]) + (dial + 1 & 0xFFFF).to_bytes(2, "big")


NewRow = tuple[str, bytes, bytes, int | None]
"""Period, key and hash of a row, and the origin of the dialogue that it is about."""


@dataclass(slots=True)
class Journal:
    """The entries of one instance. `new_rows`: rows appended since the caller last cleared it."""

    identity: Identity
    chain: Chain
    keys: NumberKeys
    previous_end: tuple[int, int, bytes] = (0, 0, b"")  # mark, row and hash where the previous chain ended
    stated_periods: set[str] = field(default_factory=set)
    established: dict[bytes, tuple[EstablishedDialogue, int]] = field(default_factory=dict)
    new_rows: list[NewRow] = field(default_factory=list)
    _current_period: tuple[int, int, str] = (0, 0, "")  # start and end in wall time, name

    # -- rows --

    def _append_row(self, entry: Entry, wall: int, about: int | None = None) -> list[Change]:
        if not self._current_period[0] <= wall < self._current_period[1]:
            name = period_at(wall)
            self._current_period = period_end(previous_period(name)), period_end(name), name
        period, late_for = self._current_period[2], ""
        while period in self.stated_periods:
            # The clock was set back, or an operator closed the period early. The statement holds: the row counts in
            # the next period.
            late_for = late_for or period
            period = next_period(period)
        row = self.chain.append(entry, period, late_for)
        key = self.chain.name.key(row.seq)
        self.new_rows.append((period, key, self.chain.last_hash, about))
        changes = [Change(CHAIN_BUCKET, key, self.chain.last_row)]
        if about is not None and about != self.identity.number:
            body = period.encode() + self.chain.last_hash
            changes.append(Change(ABOUT_BUCKET, about.to_bytes(4, "big") + key, body))
        return changes

    def _answer_entry(self, facts: DialogueFacts, answer: str, wall: int) -> Answered:
        called_hash, number_key = self.keys.hashed(facts.called_number)
        return Answered(
            facts.side,
            facts.origin,
            facts.dialogue,
            facts.traffic_class,
            facts.destination,
            answer,
            wall,
            facts.width,
            facts.tenant or "",
            called_hash,
            number_key,
            facts.tags,
            facts.hooks_version,
            facts.dial,
            facts.onward_dial,
            facts.tandem,
        )

    def answered(self, facts: DialogueFacts, answer: str, wall: int, now: int) -> list[Change]:
        """A dialogue was answered here."""
        entry = self._answer_entry(facts, answer, wall)
        changes = self._append_row(entry, wall, facts.origin)
        if answer == "stands":
            key = established_key(facts.side, facts.origin, facts.dialogue, facts.dial)
            dialogue = EstablishedDialogue(facts.side, facts.origin, facts.dialogue, wall, facts.dial)
            self.established[key] = dialogue, now
            changes.append(Change(ESTABLISHED_BUCKET, key, msgspec.msgpack.encode(dialogue)))
        return changes

    def ended(
        self, side: str, origin: int, dialogue: int, ending: str, wall: int, now: int, dial: int = -1
    ) -> list[Change]:
        """An established dialogue ended. Its duration is measured by the loop's clock, which is never set back."""
        key = established_key(side, origin, dialogue, dial)
        established = self.established.pop(key, None)
        if established is None:
            return []  # this ledger never saw it established
        entry = Ended(side, origin, dialogue, ending, wall, max(0, now - established[1]), dial)
        return [*self._append_row(entry, wall, origin), Change(ESTABLISHED_BUCKET, key, None)]

    def local_dialogue_ended(
        self, facts: DialogueFacts, ending: str, duration: int, wall: int
    ) -> list[Change]:
        """The own office reported a dialogue within this exchange after its end: both entries are made at once."""
        answer = self._answer_entry(facts, "stands", wall - duration)
        ended = Ended(facts.side, facts.origin, facts.dialogue, ending, wall, duration, facts.dial)
        return self._append_row(answer, wall, facts.origin) + self._append_row(ended, wall, facts.origin)

    def append(self, entry: Entry, wall: int) -> list[Change]:
        """Append an entry of an operator or of the ledger itself."""
        return self._append_row(entry, wall)

    def entries_lost(self, count: int, first: int, last: int, wall: int) -> list[Change]:
        """Record that entries were dropped because the store was at capacity."""
        return self._append_row(EntriesLost(count, first, last), wall)

    # -- lifetime --

    def heartbeat(self, wall: int) -> list[Change]:
        """Record that this instance is running."""
        self.identity.alive_at = max(self.identity.alive_at, wall)
        return [Change(IDENTITY_BUCKET, b"", msgspec.msgpack.encode(self.identity))]

    def statement(self, period: str) -> Statement:
        """How far the chain goes for a period. From now on no row is added to that period."""
        self.stated_periods.add(period)
        return Statement(self.identity.number, self.chain.name.mark, self.chain.seq, self.chain.last_hash)

    def resume(self, established: Iterable[EstablishedDialogue], unsafe_us: int, wall: int) -> list[Change]:
        """The first entries of a process: where the previous chain ended, and that the dialogues it left were cut as of
        the previous process's last heartbeat."""
        alive_at = self.identity.alive_at
        previous_end = self.previous_end
        changes = self._append_row(Restarted(wall, alive_at, unsafe_us, *previous_end), wall)
        for dialogue in established:
            # A clock set back between the two processes must not make the duration negative.
            ended = Ended(
                dialogue.side,
                dialogue.origin,
                dialogue.dialogue,
                "restart",
                alive_at,
                max(0, alive_at - dialogue.wall_us),
                dialogue.dial,
            )
            changes += self._append_row(ended, wall, dialogue.origin)
            changes.append(
                Change(
                    ESTABLISHED_BUCKET,
                    established_key(dialogue.side, dialogue.origin, dialogue.dialogue, dialogue.dial),
                    None,
                )
            )
        return changes


def open_journal(
    number: int, identity_record: bytes | None, last: tuple[int, bytes] | None, mark: int, keys: NumberKeys
) -> tuple[Journal, bool]:
    """The journal of an instance, from its identity record and the position of the last row of its latest chain; and
    whether the disk is new. Each process starts a new chain, named by `mark`: on an old disk the sequence numbers that
    follow may be in use already. Raises WrongDiskError if the disk belongs to another instance."""
    if identity_record is None:
        return Journal(Identity(number, [mark]), Chain(ChainId(number, mark)), keys), True
    identity = msgspec.msgpack.decode(identity_record, type=Identity)
    if identity.number != number:
        raise WrongDiskError(f"the disk belongs to call server {identity.number}, not {number}")
    previous_end = (identity.marks[-1], *(last or (0, INITIAL_HASH)))
    while mark in identity.marks:  # the same mark drawn again: its rows would overwrite the old ones
        mark += 1
    identity.marks.append(mark)
    return Journal(identity, Chain(ChainId(number, mark)), keys, previous_end), False


def last_position(name: ChainId, row: Row | None) -> tuple[int, bytes]:
    """Sequence and hash of a chain's last row."""
    return (row.seq, row.hash(name)) if row else (0, INITIAL_HASH)
