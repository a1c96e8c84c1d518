"""Settles all rows known up to a closed period. Pure over rows."""

from collections.abc import Iterable

from wellhitch.ledger.chain import Row
from wellhitch.ledger.entries import EntriesLost, InvalidEntryError, decode
from wellhitch.ledger.settle import DialogueEvidence, DialogueId, Settled, group_by_dialogue


def settled(
    origin: int, rows: Iterable[tuple[str, Row]], until: str
) -> tuple[list[Settled], list[tuple[str, EntriesLost]]]:
    """Settle the dialogues of one origin from the rows of all ends (`chain name, row`) in periods up to `until`. Also
    returns the records of lost entries, with their chain. A row of a later period waits until that period is closed."""
    evidence_by_id: dict[DialogueId, DialogueEvidence] = {}
    lost_entries = []
    for chain, row in rows:
        if row.period > until:
            continue
        try:
            entry = decode(row.entry)
        except InvalidEntryError:
            continue  # reported by chain.verify
        if isinstance(entry, EntriesLost):
            lost_entries.append((chain, entry))
        elif getattr(entry, "origin", None) == origin:
            group_by_dialogue([entry], evidence_by_id)
    return [evidence.settled() for evidence in evidence_by_id.values()], lost_entries
