"""A ledger read from its disk, beside the daemon or without one: what `wellhitch ledger` shows. Reads alone."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from wellhitch.ledger.chain import ChainName, Row, Wrong, read_row, verify
from wellhitch.ledger.entries import BadEntry, Entry, Lacking, decode
from wellhitch.ledger.journal import CHAIN, HEARD, IDENTITY, PERIOD, Identity
from wellhitch.ledger.periods import KEPT, Kept, end_of, previous_of
from wellhitch.ledger.settle import Name, Settled, Views, gather
from wellhitch.store.engine import Engine, StoreFault
from wellhitch.store.records import Damaged


@dataclass(slots=True)
class Reading:
    """All rows of a ledger's disk, and what is wrong with them."""

    number: int
    rows: list[tuple[ChainName, Row, Entry]] = field(default_factory=list)
    periods: dict[str, Kept] = field(default_factory=dict)
    wrong: list[str] = field(default_factory=list)

    def views(self, as_of: int | None = None) -> dict[Name, Views]:
        """Dialogues of this origin, by what had happened until a wall time."""
        found = (
            entry
            for _, _, entry in self.rows
            if getattr(entry, "origin", None) == self.number
            and (as_of is None or getattr(entry, "at", 0) < as_of)
        )
        return gather(found)

    def settled(self, period: str = "", as_of: int | None = None) -> list[Settled]:
        """Settled dialogues, of all time or of those that ended in a period, as was known at a wall time."""
        out = [one.settled() for _, one in sorted(self.views(as_of).items())]
        if not period:
            return out
        low, high = end_of(previous_of(period)), end_of(period)
        return [one for one in out if one.state != "orphan" and low <= one.ended < high]

    def lacking(self) -> list[tuple[ChainName, Lacking]]:
        """Where entries are lacking."""
        return [(name, entry) for name, _, entry in self.rows if isinstance(entry, Lacking)]


def read(folder: Path) -> Reading:
    """Read a ledger's folder. Raises StoreFault."""
    path = folder / "ledger"
    if not path.is_file():  # nor a pipe, which would hold the database up
        raise StoreFault("failing", f"{path}: no ledger there")
    engine = Engine(str(path), read_only=True)
    try:
        return _read(engine, str(path))
    finally:
        engine.close()


def _read(engine: Engine, where: str) -> Reading:
    try:
        found = engine.get(IDENTITY, b"")
    except Damaged as damage:
        raise StoreFault("damaged", f"{where}: {damage}") from None
    if found is None:
        raise StoreFault("foreign", f"{where}: no ledger was begun there")
    out = Reading(msgspec.msgpack.decode(found[1], type=Identity).number)
    for one in engine.scan(PERIOD):
        if isinstance(one, Damaged):
            out.wrong.append(str(one))
        else:
            kept = KEPT.decode(one[2])
            out.periods[kept.period] = kept
    for shelf in (CHAIN, HEARD):
        chains: dict[ChainName, list[tuple[int, bytes | None]]] = {}
        for one in engine.scan(shelf):
            key = one.key if isinstance(one, Damaged) else one[0]
            name, seq = ChainName.of_key(key)
            chains.setdefault(name, []).append((seq, None if isinstance(one, Damaged) else one[2]))
        for name, rows in chains.items():
            out.rows += _rows(name, rows)
            if shelf == CHAIN:
                out.wrong += [str(wrong) for wrong in _verified(out, name, rows)]
    return out


def _rows(name: ChainName, rows: list[tuple[int, bytes | None]]) -> Iterator[tuple[ChainName, Row, Entry]]:
    for _, data in rows:
        try:
            if data is not None:
                row = read_row(data)
                yield name, row, decode(row.entry)
        except BadEntry:
            continue  # verify names it


def _verified(out: Reading, name: ChainName, rows: list[tuple[int, bytes | None]]) -> Iterator[Wrong]:
    """A chain, held also against what was stated of it when periods were closed."""
    heads = {}
    for kept in out.periods.values():
        for one in (*(kept.closed or ()), *([kept.statement] if kept.statement else [])):
            if ChainName(one.number, one.mark) == name:
                heads[one.seq] = one.hash
    head = max(heads.items(), default=None)
    yield from verify(name, rows, head)
