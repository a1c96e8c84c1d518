"""What another instance has and this one lacks, found with bytes that grow with the differences. Pure.

Each end keeps its items (a key in order, a digest) with sums over ranges; the puller asks whether ranges are the same,
the other end splits those that differ or, where few are left, names the items (range-based set reconciliation: A.
Meyer, "Range-Based Set Reconciliation", 2023). Every question may be lost, doubled or late: the answering end keeps
nothing, the puller asks again what was not answered.

Weighed against invertible sketches (`lab/sketches.py`): these need fewer bytes for few differences, but a sketch has to
be built anew over all items for each size that is tried, seconds of a processor for a million, where a range's sum is
two look-ups."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from blake3 import blake3

SPLIT_FACTOR = (
    16  # parts of a range: four levels for a million items; 8 took a round more, 32 half as many bytes again
)
MAX_LISTED_ITEMS = 16  # items of a range that are named instead of split
RANGE_SUM_BYTES = 8  # bytes of a range's sum: two that differ agree once in 2^64 comparisons
MAX_RANGES = 64  # in one question: the answer to all of them, split, has 20 KB, a third of a frame
MAX_FETCHED_ROWS = 100  # rows asked for at once: some 30 KB
RETRY_INTERVAL_US = 1_000_000  # us until what was not answered is asked again
# Per instance, requests and answers together: 0.4 % of a poor trunk of 100 Mbit/s, and 10 ms of a processor a second.
RATE_BYTES_PER_S = 50_000
BURST_BYTES = 100_000  # bytes at once after a silence

Key = bytes


class RangeSummary(msgspec.Struct, frozen=True, array_like=True):
    """A range, both as keys: from `low`, under `high` (empty: to the end), with what one end has in it."""

    low: Key
    high: Key
    count: int
    sum: bytes


class RangeItems(msgspec.Struct, frozen=True, array_like=True):
    """A range of few items: each with its digest."""

    low: Key
    high: Key
    items: tuple[tuple[Key, bytes], ...]


class CompareRanges(msgspec.Struct, frozen=True, array_like=True, tag="Look"):
    """Is this all you have in these ranges? `topic` names the collection."""

    topic: str
    ranges: tuple[RangeSummary, ...]


class RangeDifferences(msgspec.Struct, frozen=True, array_like=True, tag="Differ"):
    """The answer: ranges that are the same, ranges split, ranges named. Ranges asked and not answered did not fit."""

    topic: str
    same: tuple[tuple[Key, Key], ...]
    split: tuple[tuple[Key, Key, tuple[RangeSummary, ...]], ...]
    named: tuple[RangeItems, ...]


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Send me these rows."""

    topic: str
    keys: tuple[Key, ...]


class Rows(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The rows."""

    topic: str
    rows: tuple[tuple[Key, bytes], ...]


Message = CompareRanges | RangeDifferences | Fetch | Rows


@dataclass(slots=True)
class Collection:
    """Items in order of their keys, with running sums of their digests, so that a range's sum is two look-ups. Adding
    at the end is cheap; elsewhere, the sums behind are made anew when next asked for."""

    keys: list[Key] = field(default_factory=list)
    digests: list[bytes] = field(default_factory=list)
    _sums: list[int] = field(default_factory=lambda: [0])

    def add(self, key: Key, digest: bytes) -> None:
        """Add an item, or give it another digest."""
        at = bisect_left(self.keys, key) if self.keys and key <= self.keys[-1] else len(self.keys)
        if at < len(self.keys) and self.keys[at] == key:
            if self.digests[at] == digest:
                return
            self.digests[at] = digest
        else:
            self.keys.insert(at, key)
            self.digests.insert(at, digest)
        del self._sums[at + 1 :]

    def extend(self, items: Iterable[tuple[Key, bytes]]) -> None:
        """Add many."""
        for key, digest in items:
            self.add(key, digest)

    def get(self, key: Key) -> bytes | None:
        """An item's digest."""
        at = bisect_left(self.keys, key)
        return self.digests[at] if at < len(self.keys) and self.keys[at] == key else None

    def bounds(self, low: Key, high: Key) -> tuple[int, int]:
        """Places of a range; one whose ends are swapped, which nobody but a stranger asks about, is empty."""
        a = bisect_left(self.keys, low)
        return a, max(a, bisect_left(self.keys, high)) if high else len(self.keys)

    def summarize(self, low: Key, high: Key) -> RangeSummary:
        """What this end has in a range."""
        a, b = self.bounds(low, high)
        return self._summarize(low, high, a, b)

    def _summarize(self, low: Key, high: Key, a: int, b: int) -> RangeSummary:
        sums = self._sums
        for at in range(len(sums) - 1, b):
            # A digest alone would let two items trade their digests unseen: the key goes into the sum.
            mixed = blake3(self.keys[at] + self.digests[at]).digest(RANGE_SUM_BYTES)
            sums.append(sums[-1] + int.from_bytes(mixed, "big") & (1 << 8 * RANGE_SUM_BYTES) - 1)
        total = (sums[b] - sums[a]) & (1 << 8 * RANGE_SUM_BYTES) - 1
        return RangeSummary(low, high, b - a, total.to_bytes(RANGE_SUM_BYTES, "big"))

    def split(self, low: Key, high: Key) -> tuple[RangeSummary, ...]:
        """A range in about equal parts by what this end has."""
        a, b = self.bounds(low, high)
        cuts = sorted({a + (b - a) * n // SPLIT_FACTOR for n in range(1, SPLIT_FACTOR)} - {a, b})
        edges = [low, *(self.keys[at] for at in cuts), high]
        places = [a, *cuts, b]
        return tuple(
            self._summarize(edges[n], edges[n + 1], places[n], places[n + 1]) for n in range(len(cuts) + 1)
        )

    def items(self, low: Key, high: Key) -> tuple[tuple[Key, bytes], ...]:
        """All items of a range."""
        a, b = self.bounds(low, high)
        return tuple(zip(self.keys[a:b], self.digests[a:b], strict=True))


def compare_ranges(collection: Collection, look: CompareRanges) -> RangeDifferences:
    """What the other end answers. It keeps nothing."""
    same, split, named = [], [], []
    for summary in look.ranges[:MAX_RANGES]:
        own = collection.summarize(summary.low, summary.high)
        if (own.count, own.sum) == (summary.count, summary.sum):
            same.append((summary.low, summary.high))
        elif own.count <= MAX_LISTED_ITEMS:
            named.append(RangeItems(summary.low, summary.high, collection.items(summary.low, summary.high)))
        else:
            split.append((summary.low, summary.high, collection.split(summary.low, summary.high)))
    return RangeDifferences(look.topic, tuple(same), tuple(split), tuple(named))


@dataclass(slots=True)
class Pull:
    """One collection being made level with another end's. `lacks`: keys to fetch. `strange`: keys that are here and
    not there, or differ: nothing is taken away for them; they are evidence that staff are shown."""

    topic: str
    collection: Collection
    pending_ranges: dict[tuple[Key, Key], int] = field(default_factory=dict)
    missing_rows: dict[Key, tuple[bytes, int]] = field(default_factory=dict)
    conflicts: dict[Key, str] = field(default_factory=dict)
    rounds: int = 0
    started: bool = False

    @property
    def done(self) -> bool:
        """Whether all is level."""
        return self.started and not self.pending_ranges and not self.missing_rows

    def next_requests(self, now: int) -> list[Message]:
        """What to ask now: whatever was not asked yet, or not answered for AGAIN."""
        if not self.started:
            self.started = True
            self.pending_ranges[b"", b""] = -RETRY_INTERVAL_US - 1
        out: list[Message] = []
        due = [one for one, at in self.pending_ranges.items() if now - at >= RETRY_INTERVAL_US or at < 0][
            :MAX_RANGES
        ]
        if due:
            for one in due:
                self.pending_ranges[one] = now
            out.append(
                CompareRanges(self.topic, tuple(self.collection.summarize(low, high) for low, high in due))
            )
        keys = [key for key, (_, at) in self.missing_rows.items() if now - at >= RETRY_INTERVAL_US or at < 0][
            :MAX_FETCHED_ROWS
        ]
        if keys:
            for key in keys:
                self.missing_rows[key] = self.missing_rows[key][0], now
            out.append(Fetch(self.topic, tuple(keys)))
        self.rounds += bool(out)
        return out

    def apply_differences(self, differences: RangeDifferences) -> None:
        """An answer; one that was not asked for, or came twice, changes nothing."""
        for low, high in differences.same:
            self.pending_ranges.pop((low, high), None)
        for low, high, ranges in differences.split:
            if self.pending_ranges.pop((low, high), None) is None:
                continue
            for summary in ranges:
                own = self.collection.summarize(summary.low, summary.high)
                if (own.count, own.sum) != (summary.count, summary.sum):
                    self.pending_ranges[summary.low, summary.high] = -1
        for named in differences.named:
            if self.pending_ranges.pop((named.low, named.high), None) is None:
                continue
            theirs = dict(named.items)
            for key, digest in theirs.items():
                own_digest = self.collection.get(key)
                if own_digest is None:
                    self.missing_rows.setdefault(key, (digest, -1))
                elif own_digest != digest:
                    self.conflicts[key] = "differs"
            for key, _ in self.collection.items(named.low, named.high):
                if key not in theirs:
                    self.conflicts[key] = "only here"

    def accept_row(self, key: Key, digest: bytes) -> bool:
        """A row came; whether it is one that was asked for, as it was named."""
        wanted = self.missing_rows.get(key)
        if wanted is None or wanted[0] != digest:
            return False
        del self.missing_rows[key]
        self.collection.add(key, digest)
        return True


@dataclass(slots=True)
class TokenBucket:
    """Bytes that may be sent now."""

    rate: int = RATE_BYTES_PER_S
    tokens: float = float(BURST_BYTES)
    at: int = 0

    def take(self, size: int, now: int) -> bool:
        """Whether so many bytes may go; they are then taken off."""
        self.tokens = min(float(BURST_BYTES), self.tokens + self.rate * (now - self.at) / 1_000_000)
        self.at = now
        if size > self.tokens:
            return False
        self.tokens -= size
        return True
