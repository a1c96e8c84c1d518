"""What a closed period says: all rows that are known up to it, gathered by dialogue and settled. Pure over rows."""

from collections.abc import Iterable

from wellhitch.ledger.chain import Row
from wellhitch.ledger.entries import EntriesLost, InvalidEntryError, decode
from wellhitch.ledger.settle import DialogueEvidence, DialogueId, Settled, group_by_dialogue


def settled(
    origin: int, rows: Iterable[tuple[str, Row]], until: str
) -> tuple[list[Settled], list[tuple[str, EntriesLost]]]:
    """The dialogues of one origin by the rows of all ends (`chain name, row`) in periods up to `until`; and where
    entries are lacking, with the chain that says so. A row of a later period waits for that one's closing."""
    found: dict[DialogueId, DialogueEvidence] = {}
    lacking = []
    for chain, row in rows:
        if row.period > until:
            continue
        try:
            entry = decode(row.entry)
        except InvalidEntryError:
            continue  # named by verify; it says nothing of any dialogue
        if isinstance(entry, EntriesLost):
            lacking.append((chain, entry))
        elif getattr(entry, "origin", None) == origin:
            group_by_dialogue([entry], found)
    return [views.settled() for views in found.values()], lacking
