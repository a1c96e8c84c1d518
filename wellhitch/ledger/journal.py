"""Makes entries of what the server sees and binds them into the chain. Pure: changes for the store are returned, the
wall clock and the loop's are handed in.

A dialogue that stands is noted on a shelf of its own, so that after a crash it is known what stood, without reading the
chain. Shelves:

    identity   whose disk this is, the present chain, the last moment it surely lived
    chain      rows of own chains, by chain and row
    standing   dialogues that stand now
    about      own rows about another's dialogues, by their origin: period (7 bytes) and hash; what it may ask for
    period     what must not be forgotten of each period (`periods.Kept`)
    heard      rows of others, about dialogues of this origin"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wellhitch.ledger.chain import INITIAL_HASH, Chain, ChainId, Row
from wellhitch.ledger.entries import Answered, Ended, EntriesLost, Entry, NumberKeys, Restarted
from wellhitch.ledger.periods import Statement, next_period, period_at, period_end, previous_period
from wellhitch.store.records import Change

CHAIN, STANDING, ABOUT, PERIOD, IDENTITY, HEARD = "chain", "standing", "about", "period", "identity", "heard"
ALIVE_EVERY = (
    1_000_000  # us between notes of life: what a dialogue cut by a crash is billed too little at most
)
SIDE_CODES = {"origin": 0, "tandem": 1, "destination": 2}


class Identity(msgspec.Struct, array_like=True):
    """Whose disk this is. `marks`: of all its chains, the present last."""

    number: int
    marks: list[int]
    alive_at: int = 0


class EstablishedDialogue(msgspec.Struct, frozen=True, array_like=True):
    """A dialogue that stands."""

    side: str
    origin: int
    dialogue: int
    at: int
    dial: int = -1


class WrongDiskError(Exception):
    """The disk belongs to another instance."""


@dataclass(frozen=True, slots=True)
class DialogueFacts:
    """A dialogue as the server tells it."""

    side: str
    origin: int
    dialogue: int
    traffic_class: str
    destination: int
    called: str | None
    width: int = 1
    tenant: str | None = None
    tags: tuple[str, ...] = ()
    hooks: str = ""
    dial: int = -1
    onward: int = -1
    via: int = -1


def standing_key(side: str, origin: int, dialogue: int, dial: int) -> bytes:
    """The store's key of a dialogue that stands. A tandem may be asked for the same dialogue by several dials."""
    name = origin.to_bytes(4, "big") + (dialogue & (1 << 64) - 1).to_bytes(8, "big")
    return name + bytes([SIDE_CODES[side]]) + (dial + 1 & 0xFFFF).to_bytes(2, "big")


NewRow = tuple[str, bytes, bytes, int | None]
"""Period, key and hash of a row, and whose dialogue it is about."""


@dataclass(slots=True)
class Journal:
    """One instance's own entries."""

    identity: Identity
    chain: Chain
    keys: NumberKeys
    previous_end: tuple[int, int, bytes] = (0, 0, b"")  # mark, row and hash where the chain before ended
    stated_periods: set[str] = field(default_factory=set)
    established: dict[bytes, tuple[EstablishedDialogue, int]] = field(default_factory=dict)
    new_rows: list[NewRow] = field(default_factory=list)  # rows added since this was last emptied
    _month: tuple[int, int, str] = (0, 0, "")

    # -- rows --

    def _row(self, entry: Entry, wall: int, about: int | None = None) -> list[Change]:
        if not self._month[0] <= wall < self._month[1]:
            name = period_at(wall)
            self._month = period_end(previous_period(name)), period_end(name), name
        period, late_for = self._month[2], ""
        while period in self.stated_periods:
            # The clock was set back, or staff closed early: the statement holds, the row goes on into the next.
            late_for = late_for or period
            period = next_period(period)
        row = self.chain.append(entry, period, late_for)
        key = self.chain.name.key(row.seq)
        self.new_rows.append((period, key, self.chain.last_hash, about))
        out = [Change(CHAIN, key, self.chain.last_row)]
        if about is not None and about != self.identity.number:
            body = period.encode() + self.chain.last_hash
            out.append(Change(ABOUT, about.to_bytes(4, "big") + key, body))
        return out

    def _answered(self, seen: DialogueFacts, answer: str, at: int) -> Answered:
        number, number_key = self.keys.hashed(seen.called)
        return Answered(
            seen.side,
            seen.origin,
            seen.dialogue,
            seen.traffic_class,
            seen.destination,
            answer,
            at,
            seen.width,
            seen.tenant or "",
            number,
            number_key,
            seen.tags,
            seen.hooks,
            seen.dial,
            seen.onward,
            seen.via,
        )

    def answered(self, seen: DialogueFacts, answer: str, wall: int, now: int) -> list[Change]:
        """A dialogue got its answer here."""
        entry = self._answered(seen, answer, wall)
        out = self._row(entry, wall, seen.origin)
        if answer == "stands":
            key = standing_key(seen.side, seen.origin, seen.dialogue, seen.dial)
            held = EstablishedDialogue(seen.side, seen.origin, seen.dialogue, wall, seen.dial)
            self.established[key] = held, now
            out.append(Change(STANDING, key, msgspec.msgpack.encode(held)))
        return out

    def ended(
        self, side: str, origin: int, dialogue: int, how: str, wall: int, now: int, dial: int = -1
    ) -> list[Change]:
        """A dialogue that stood is over. How long it stood is by the loop's clock, which nobody sets back."""
        key = standing_key(side, origin, dialogue, dial)
        held = self.established.pop(key, None)
        if held is None:
            return []  # it never stood as far as this ledger was told: nothing to end
        entry = Ended(side, origin, dialogue, how, wall, max(0, now - held[1]), dial)
        return [*self._row(entry, wall, origin), Change(STANDING, key, None)]

    def local_dialogue_ended(self, seen: DialogueFacts, how: str, stood: int, wall: int) -> list[Change]:
        """The own office told of a dialogue that ended in this exchange and is over: both entries at once."""
        answer = self._answered(seen, "stands", wall - stood)
        ended = Ended(seen.side, seen.origin, seen.dialogue, how, wall, stood, seen.dial)
        return self._row(answer, wall, seen.origin) + self._row(ended, wall, seen.origin)

    def append(self, entry: Entry, wall: int) -> list[Change]:
        """An entry of staff's, or of the ledger itself."""
        return self._row(entry, wall)

    def entries_lost(self, count: int, first: int, last: int, wall: int) -> list[Change]:
        """Entries found no room on the disk: say so."""
        return self._row(EntriesLost(count, first, last), wall)

    # -- life --

    def heartbeat(self, wall: int) -> list[Change]:
        """Note that this instance lives."""
        self.identity.alive_at = max(self.identity.alive_at, wall)
        return [Change(IDENTITY, b"", msgspec.msgpack.encode(self.identity))]

    def statement(self, period: str) -> Statement:
        """How far the chain goes for a period; nothing is added to it for that period from now on."""
        self.stated_periods.add(period)
        return Statement(self.identity.number, self.chain.name.mark, self.chain.seq, self.chain.last_hash)

    def resume(self, established: Iterable[EstablishedDialogue], unsafe: int, wall: int) -> list[Change]:
        """What a process says first: where the chain before ended, and that what stood is cut as of the last moment
        that the one before surely lived."""
        alive_at = self.identity.alive_at
        end = self.previous_end
        out = self._row(Restarted(wall, alive_at, unsafe, *end), wall)
        for held in established:
            # A clock set back between the two lives must not make a span under nought.
            ended = Ended(
                held.side,
                held.origin,
                held.dialogue,
                "restart",
                alive_at,
                max(0, alive_at - held.at),
                held.dial,
            )
            out += self._row(ended, wall, held.origin)
            out.append(Change(STANDING, standing_key(held.side, held.origin, held.dialogue, held.dial), None))
        return out


def open_journal(
    number: int, found: bytes | None, last: tuple[int, bytes] | None, mark: int, keys: NumberKeys
) -> tuple[Journal, bool]:
    """The book of an instance, from its identity record and the last row of its latest chain (its place and hash); and
    whether the disk is new. Each process begins a chain of its own, named by `mark`: on an old disk the numbers of the
    rows that follow may be used up. Raises OtherDisk where it is another instance's."""
    if found is None:
        return Journal(Identity(number, [mark]), Chain(ChainId(number, mark)), keys), True
    identity = msgspec.msgpack.decode(found, type=Identity)
    if identity.number != number:
        raise WrongDiskError(f"this disk is that of call server {identity.number}, not {number}")
    end = (identity.marks[-1], *(last or (0, INITIAL_HASH)))
    while mark in identity.marks:  # drawn again by chance: its rows would take the place of the old ones
        mark += 1
    identity.marks.append(mark)
    return Journal(identity, Chain(ChainId(number, mark)), keys, end), False


def last_of(name: ChainId, row: Row | None) -> tuple[int, bytes]:
    """Place and hash of a chain's last row."""
    return (row.seq, row.hash(name)) if row else (0, INITIAL_HASH)
