"""A ledger read from its disk, beside the daemon or without one: what `wellhitch ledger` shows. Reads alone."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from wellhitch.ledger.chain import ChainFault, ChainId, Row, decode_row, verify
from wellhitch.ledger.entries import EntriesLost, Entry, InvalidEntryError, decode
from wellhitch.ledger.journal import CHAIN_BUCKET, IDENTITY_BUCKET, PEER_ROWS_BUCKET, PERIOD_BUCKET, Identity
from wellhitch.ledger.periods import RECORD_DECODER, PeriodRecord, period_end, previous_period
from wellhitch.ledger.settle import DialogueEvidence, DialogueId, Settled, group_by_dialogue
from wellhitch.store.engine import Engine, StoreError
from wellhitch.store.records import DamagedRecord


@dataclass(slots=True)
class LedgerContents:
    """All rows of a ledger's disk, and what is wrong with them."""

    number: int
    rows: list[tuple[ChainId, Row, Entry]] = field(default_factory=list)
    periods: dict[str, PeriodRecord] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def evidence(self, as_of: int | None = None) -> dict[DialogueId, DialogueEvidence]:
        """Dialogues of this origin, by what had happened until a wall time."""
        found = (
            entry
            for _, _, entry in self.rows
            if getattr(entry, "origin", None) == self.number
            and (as_of is None or getattr(entry, "at", 0) < as_of)
        )
        return group_by_dialogue(found)

    def settled(self, period: str = "", as_of: int | None = None) -> list[Settled]:
        """Settled dialogues, of all time or of those that ended in a period, as was known at a wall time."""
        out = [one.settled() for _, one in sorted(self.evidence(as_of).items())]
        if not period:
            return out
        low, high = period_end(previous_period(period)), period_end(period)
        return [one for one in out if one.state != "orphan" and low <= one.ended < high]

    def lost_entries(self) -> list[tuple[ChainId, EntriesLost]]:
        """Where entries are lacking."""
        return [(name, entry) for name, _, entry in self.rows if isinstance(entry, EntriesLost)]


def read(folder: Path) -> LedgerContents:
    """Read a ledger's folder. Raises StoreFault."""
    path = folder / "ledger"
    if not path.is_file():  # nor a pipe, which would hold the database up
        raise StoreError("failing", f"{path}: no ledger there")
    engine = Engine(str(path), read_only=True)
    try:
        return _read(engine, str(path))
    finally:
        engine.close()


def _read(engine: Engine, where: str) -> LedgerContents:
    try:
        found = engine.get(IDENTITY_BUCKET, b"")
    except DamagedRecord as damage:
        raise StoreError("damaged", f"{where}: {damage}") from None
    if found is None:
        raise StoreError("foreign", f"{where}: no ledger was begun there")
    out = LedgerContents(msgspec.msgpack.decode(found[1], type=Identity).number)
    for one in engine.scan(PERIOD_BUCKET):
        if isinstance(one, DamagedRecord):
            out.faults.append(str(one))
        else:
            kept = RECORD_DECODER.decode(one[2])
            out.periods[kept.period] = kept
    for bucket in (CHAIN_BUCKET, PEER_ROWS_BUCKET):
        chains: dict[ChainId, list[tuple[int, bytes | None]]] = {}
        for one in engine.scan(bucket):
            key = one.key if isinstance(one, DamagedRecord) else one[0]
            name, seq = ChainId.from_key(key)
            chains.setdefault(name, []).append((seq, None if isinstance(one, DamagedRecord) else one[2]))
        for name, rows in chains.items():
            out.rows += _rows(name, rows)
            if bucket == CHAIN_BUCKET:
                out.faults += [str(wrong) for wrong in _verified(out, name, rows)]
    return out


def _rows(name: ChainId, rows: list[tuple[int, bytes | None]]) -> Iterator[tuple[ChainId, Row, Entry]]:
    for _, data in rows:
        try:
            if data is not None:
                row = decode_row(data)
                yield name, row, decode(row.entry)
        except InvalidEntryError:
            continue  # verify names it


def _verified(
    out: LedgerContents, name: ChainId, rows: list[tuple[int, bytes | None]]
) -> Iterator[ChainFault]:
    """A chain, held also against what was stated of it when periods were closed."""
    heads = {}
    for kept in out.periods.values():
        for one in (*(kept.closed or ()), *([kept.statement] if kept.statement else [])):
            if ChainId(one.number, one.mark) == name:
                heads[one.seq] = one.hash
    head = max(heads.items(), default=None)
    yield from verify(name, rows, head)
