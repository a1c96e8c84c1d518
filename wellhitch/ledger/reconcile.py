"""Finds the rows that another instance has and this one lacks, with traffic that grows with the differences. Pure.

Each end keeps its items (a key in order, a digest) with sums over ranges. The pulling end asks whether ranges are the
same; the answering end splits those that differ or, where few items are left, lists them (range-based set
reconciliation: A. Meyer, "Range-Based Set Reconciliation", 2023). Every request may be lost, duplicated or delayed: the
answering end keeps no state, the pulling end repeats requests that were not answered.

Compared with invertible sketches (`lab/sketches.py`): these need fewer bytes for few differences, but a sketch must be
rebuilt over all items for each size that is tried, seconds of a processor for a million, while a range's sum takes two
look-ups."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from blake3 import blake3

# Parts of a range that is split: four levels for a million items. 8 took one more round, 32 half as many bytes again.
SPLIT_FACTOR = 16
MAX_LISTED_ITEMS = 16  # a range with at most this many items is listed instead of split
RANGE_SUM_BYTES = 8  # sums of ranges that differ are equal once in 2^64 comparisons
MAX_RANGES = 64  # in one request: the answer, if all are split, has 20 KB, a third of a frame
MAX_FETCHED_ROWS = 100  # in one request: some 30 KB
RETRY_INTERVAL_US = 1_000_000
# Per instance, requests and answers together: 0.4 % of a poor trunk of 100 Mbit/s, and 10 ms of a processor a second.
RATE_BYTES_PER_S = 50_000
BURST_BYTES = 100_000  # sent at once after an idle time

Key = bytes


class RangeSummary(msgspec.Struct, frozen=True, array_like=True):
    """A range of keys from `low` up to but without `high` (empty: no upper bound), with the count and sum of the items
    that one end has in it."""

    low: Key
    high: Key
    count: int
    sum: bytes


class RangeItems(msgspec.Struct, frozen=True, array_like=True):
    """A range with all of its items, each with its digest."""

    low: Key
    high: Key
    items: tuple[tuple[Key, bytes], ...]


class CompareRanges(msgspec.Struct, frozen=True, array_like=True, tag="Look"):
    """Asks whether these ranges are the same at the other end. `topic` names the collection."""

    topic: str
    ranges: tuple[RangeSummary, ...]


class RangeDifferences(msgspec.Struct, frozen=True, array_like=True, tag="Differ"):
    """The answer: ranges that are the same, ranges split, ranges listed. A range that is missing did not fit."""

    topic: str
    same: tuple[tuple[Key, Key], ...]
    split: tuple[tuple[Key, Key, tuple[RangeSummary, ...]], ...]
    listed: tuple[RangeItems, ...]


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks for these rows."""

    topic: str
    keys: tuple[Key, ...]


class Rows(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The rows that were asked for."""

    topic: str
    rows: tuple[tuple[Key, bytes], ...]


Message = CompareRanges | RangeDifferences | Fetch | Rows


@dataclass(slots=True)
class Collection:
    """Items in order of their keys, with running sums of their digests, so that a range's sum takes two look-ups.
    Appending is cheap. After an insertion elsewhere the sums behind it are rebuilt on the next request."""

    keys: list[Key] = field(default_factory=list)
    digests: list[bytes] = field(default_factory=list)
    _sums: list[int] = field(default_factory=lambda: [0])

    def add(self, key: Key, digest: bytes) -> None:
        """Add an item, or replace its digest."""
        index = bisect_left(self.keys, key) if self.keys and key <= self.keys[-1] else len(self.keys)
        if index < len(self.keys) and self.keys[index] == key:
            if self.digests[index] == digest:
                return
            self.digests[index] = digest
        else:
            self.keys.insert(index, key)
            self.digests.insert(index, digest)
        del self._sums[index + 1 :]

    def extend(self, items: Iterable[tuple[Key, bytes]]) -> None:
        """Add several items."""
        for key, digest in items:
            self.add(key, digest)

    def get(self, key: Key) -> bytes | None:
        """An item's digest."""
        index = bisect_left(self.keys, key)
        return self.digests[index] if index < len(self.keys) and self.keys[index] == key else None

    def bounds(self, low: Key, high: Key) -> tuple[int, int]:
        """First and end index of a range. A range with swapped ends, which only a faulty peer sends, is empty."""
        first = bisect_left(self.keys, low)
        return first, max(first, bisect_left(self.keys, high)) if high else len(self.keys)

    def summarize(self, low: Key, high: Key) -> RangeSummary:
        """Count and sum of the items of a range."""
        first, end = self.bounds(low, high)
        return self._summarize(low, high, first, end)

    def _summarize(self, low: Key, high: Key, first: int, end: int) -> RangeSummary:
        sums = self._sums
        for index in range(len(sums) - 1, end):
            # The key is part of the sum: over digests alone, two items that swapped digests would go unnoticed.
            mixed = blake3(self.keys[index] + self.digests[index]).digest(RANGE_SUM_BYTES)
            sums.append(sums[-1] + int.from_bytes(mixed, "big") & (1 << 8 * RANGE_SUM_BYTES) - 1)
        total = (sums[end] - sums[first]) & (1 << 8 * RANGE_SUM_BYTES) - 1
        return RangeSummary(low, high, end - first, total.to_bytes(RANGE_SUM_BYTES, "big"))

    def split(self, low: Key, high: Key) -> tuple[RangeSummary, ...]:
        """Split a range into parts with about equal numbers of items at this end."""
        first, end = self.bounds(low, high)
        cuts = sorted(
            {first + (end - first) * n // SPLIT_FACTOR for n in range(1, SPLIT_FACTOR)} - {first, end}
        )
        edges = [low, *(self.keys[index] for index in cuts), high]
        indexes = [first, *cuts, end]
        return tuple(
            self._summarize(edges[n], edges[n + 1], indexes[n], indexes[n + 1]) for n in range(len(cuts) + 1)
        )

    def items(self, low: Key, high: Key) -> tuple[tuple[Key, bytes], ...]:
        """All items of a range."""
        first, end = self.bounds(low, high)
        return tuple(zip(self.keys[first:end], self.digests[first:end], strict=True))


def compare_ranges(collection: Collection, request: CompareRanges) -> RangeDifferences:
    """The answering end's answer. It keeps no state."""
    same, split, listed = [], [], []
    for theirs in request.ranges[:MAX_RANGES]:
        own = collection.summarize(theirs.low, theirs.high)
        if (own.count, own.sum) == (theirs.count, theirs.sum):
            same.append((theirs.low, theirs.high))
        elif own.count <= MAX_LISTED_ITEMS:
            listed.append(RangeItems(theirs.low, theirs.high, collection.items(theirs.low, theirs.high)))
        else:
            split.append((theirs.low, theirs.high, collection.split(theirs.low, theirs.high)))
    return RangeDifferences(request.topic, tuple(same), tuple(split), tuple(listed))


@dataclass(slots=True)
class Pull:
    """Brings a collection up to date with another end's. `pending_ranges` and `missing_rows` hold what is requested,
    with the time of the last request (negative: not requested yet). `conflicts`: keys that exist only here, or differ.
    These are not removed or replaced; they are evidence for operators."""

    topic: str
    collection: Collection
    pending_ranges: dict[tuple[Key, Key], int] = field(default_factory=dict)
    missing_rows: dict[Key, tuple[bytes, int]] = field(default_factory=dict)
    conflicts: dict[Key, str] = field(default_factory=dict)
    rounds: int = 0
    started: bool = False

    @property
    def done(self) -> bool:
        """Whether nothing is missing any more."""
        return self.started and not self.pending_ranges and not self.missing_rows

    def next_requests(self, now: int) -> list[Message]:
        """Requests to send now: those not sent yet, and those not answered for RETRY_INTERVAL_US."""
        if not self.started:
            self.started = True
            self.pending_ranges[b"", b""] = -RETRY_INTERVAL_US - 1
        requests: list[Message] = []
        due = [
            bounds
            for bounds, sent_us in self.pending_ranges.items()
            if now - sent_us >= RETRY_INTERVAL_US or sent_us < 0
        ][:MAX_RANGES]
        if due:
            for bounds in due:
                self.pending_ranges[bounds] = now
            requests.append(
                CompareRanges(self.topic, tuple(self.collection.summarize(low, high) for low, high in due))
            )
        keys = [
            key
            for key, (_, sent_us) in self.missing_rows.items()
            if now - sent_us >= RETRY_INTERVAL_US or sent_us < 0
        ][:MAX_FETCHED_ROWS]
        if keys:
            for key in keys:
                self.missing_rows[key] = self.missing_rows[key][0], now
            requests.append(Fetch(self.topic, tuple(keys)))
        self.rounds += bool(requests)
        return requests

    def apply_differences(self, differences: RangeDifferences) -> None:
        """Handle an answer. Ranges that were not requested, or are answered twice, change nothing."""
        for low, high in differences.same:
            self.pending_ranges.pop((low, high), None)
        for low, high, parts in differences.split:
            if self.pending_ranges.pop((low, high), None) is None:
                continue
            for theirs in parts:
                own = self.collection.summarize(theirs.low, theirs.high)
                if (own.count, own.sum) != (theirs.count, theirs.sum):
                    self.pending_ranges[theirs.low, theirs.high] = -1
        for listed in differences.listed:
            if self.pending_ranges.pop((listed.low, listed.high), None) is None:
                continue
            their_digests = dict(listed.items)
            for key, digest in their_digests.items():
                own_digest = self.collection.get(key)
                if own_digest is None:
                    self.missing_rows.setdefault(key, (digest, -1))
                elif own_digest != digest:
                    self.conflicts[key] = "differs"
            for key, _ in self.collection.items(listed.low, listed.high):
                if key not in their_digests:
                    self.conflicts[key] = "only here"

    def accept_row(self, key: Key, digest: bytes) -> bool:
        """A row arrived. Returns whether it was requested and has the digest that was listed."""
        missing = self.missing_rows.get(key)
        if missing is None or missing[0] != digest:
            return False
        del self.missing_rows[key]
        self.collection.add(key, digest)
        return True


@dataclass(slots=True)
class TokenBucket:
    """Limits the bytes sent a second."""

    rate: int = RATE_BYTES_PER_S
    tokens: float = float(BURST_BYTES)
    updated_us: int = 0

    def take(self, size: int, now: int) -> bool:
        """Whether `size` bytes may be sent now; if so they are deducted."""
        self.tokens = min(float(BURST_BYTES), self.tokens + self.rate * (now - self.updated_us) / 1_000_000)
        self.updated_us = now
        if size > self.tokens:
            return False
        self.tokens -= size
        return True
