"""Reads a ledger from its disk, whether or not its daemon is running: the data of `wellhitch ledger`. Read-only."""

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
    """All rows of a ledger's disk, and the faults found in them."""

    number: int
    rows: list[tuple[ChainId, Row, Entry]] = field(default_factory=list)
    periods: dict[str, PeriodRecord] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def evidence(self, as_of: int | None = None) -> dict[DialogueId, DialogueEvidence]:
        """Evidence about the dialogues of this origin, optionally only from before a wall time."""
        evidence = (
            entry
            for _, _, entry in self.rows
            if getattr(entry, "origin", None) == self.number
            and (as_of is None or getattr(entry, "wall_us", 0) < as_of)
        )
        return group_by_dialogue(evidence)

    def settled(self, period: str = "", as_of: int | None = None) -> list[Settled]:
        """Settled dialogues, all or those that ended in a period, as known at a wall time."""
        dialogues = [evidence.settled() for _, evidence in sorted(self.evidence(as_of).items())]
        if not period:
            return dialogues
        low, high = period_end(previous_period(period)), period_end(period)
        return [
            dialogue for dialogue in dialogues if dialogue.state != "orphan" and low <= dialogue.ended < high
        ]

    def lost_entries(self) -> list[tuple[ChainId, EntriesLost]]:
        """The records of lost entries, with their chain."""
        return [(chain, entry) for chain, _, entry in self.rows if isinstance(entry, EntriesLost)]


def read(folder: Path) -> LedgerContents:
    """Read a ledger's folder. Raises StoreError."""
    path = folder / "ledger"
    if not path.is_file():  # opening a pipe would block the database
        raise StoreError("failing", f"{path}: no ledger there")
    engine = Engine(str(path), read_only=True)
    try:
        return _read(engine, str(path))
    finally:
        engine.close()


def _read(engine: Engine, path: str) -> LedgerContents:
    try:
        identity_record = engine.get(IDENTITY_BUCKET, b"")
    except DamagedRecord as damage:
        raise StoreError("damaged", f"{path}: {damage}") from None
    if identity_record is None:
        raise StoreError("foreign", f"{path}: the store contains no ledger")
    contents = LedgerContents(msgspec.msgpack.decode(identity_record[1], type=Identity).number)
    for record in engine.scan(PERIOD_BUCKET):
        if isinstance(record, DamagedRecord):
            contents.faults.append(str(record))
        else:
            period_record = RECORD_DECODER.decode(record[2])
            contents.periods[period_record.period] = period_record
    for bucket in (CHAIN_BUCKET, PEER_ROWS_BUCKET):
        chains: dict[ChainId, list[tuple[int, bytes | None]]] = {}
        for record in engine.scan(bucket):
            key = record.key if isinstance(record, DamagedRecord) else record[0]
            chain, seq = ChainId.from_key(key)
            chains.setdefault(chain, []).append(
                (seq, None if isinstance(record, DamagedRecord) else record[2])
            )
        for chain, rows in chains.items():
            contents.rows += _decode_rows(chain, rows)
            if bucket == CHAIN_BUCKET:
                contents.faults += [str(fault) for fault in _verify_chain(contents, chain, rows)]
    return contents


def _decode_rows(
    chain: ChainId, rows: list[tuple[int, bytes | None]]
) -> Iterator[tuple[ChainId, Row, Entry]]:
    for _, data in rows:
        try:
            if data is not None:
                row = decode_row(data)
                yield chain, row, decode(row.entry)
        except InvalidEntryError:
            continue  # reported by verify


def _verify_chain(
    contents: LedgerContents, chain: ChainId, rows: list[tuple[int, bytes | None]]
) -> Iterator[ChainFault]:
    """Verify a chain, also against the statements made about it when periods were closed."""
    heads = {}
    for record in contents.periods.values():
        for statement in (*(record.closed or ()), *([record.statement] if record.statement else [])):
            if ChainId(statement.number, statement.mark) == chain:
                heads[statement.seq] = statement.hash
    head = max(heads.items(), default=None)
    yield from verify(chain, rows, head)
