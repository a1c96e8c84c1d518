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

SPLIT = (
    16  # parts of a range: four levels for a million items; 8 took a round more, 32 half as many bytes again
)
FEW = 16  # items of a range that are named instead of split
SUM = 8  # bytes of a range's sum: two that differ agree once in 2^64 comparisons
MOST_RANGES = 64  # in one question: the answer to all of them, split, has 20 KB, a third of a frame
MOST_FETCHED = 100  # rows asked for at once: some 30 KB
AGAIN = 1_000_000  # us until what was not answered is asked again
RATE = 50_000  # bytes a second that one instance asks for and answers, all together: four parts in a thousand of the
# 100 Mbit/s of a poor trunk, and 10 ms of a processor in each second
BURST = 100_000  # bytes at once after a silence

Key = bytes


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A range, both as keys: from `low`, under `high` (empty: to the end), with what one end has in it."""

    low: Key
    high: Key
    count: int
    sum: bytes


class Named(msgspec.Struct, frozen=True, array_like=True):
    """A range of few items: each with its digest."""

    low: Key
    high: Key
    items: tuple[tuple[Key, bytes], ...]


class Look(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Is this all you have in these ranges? `topic` names the collection."""

    topic: str
    parts: tuple[Part, ...]


class Differ(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The answer: ranges that are the same, ranges split, ranges named. Ranges asked and not answered did not fit."""

    topic: str
    same: tuple[tuple[Key, Key], ...]
    split: tuple[tuple[Key, Key, tuple[Part, ...]], ...]
    named: tuple[Named, ...]


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Send me these rows."""

    topic: str
    keys: tuple[Key, ...]


class Rows(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The rows."""

    topic: str
    rows: tuple[tuple[Key, bytes], ...]


Message = Look | Differ | Fetch | Rows


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

    def part(self, low: Key, high: Key) -> Part:
        """What this end has in a range."""
        a, b = self.bounds(low, high)
        return self._part(low, high, a, b)

    def _part(self, low: Key, high: Key, a: int, b: int) -> Part:
        sums = self._sums
        for at in range(len(sums) - 1, b):
            # A digest alone would let two items trade their digests unseen: the key goes into the sum.
            mixed = blake3(self.keys[at] + self.digests[at]).digest(SUM)
            sums.append(sums[-1] + int.from_bytes(mixed, "big") & (1 << 8 * SUM) - 1)
        total = (sums[b] - sums[a]) & (1 << 8 * SUM) - 1
        return Part(low, high, b - a, total.to_bytes(SUM, "big"))

    def split(self, low: Key, high: Key) -> tuple[Part, ...]:
        """A range in about equal parts by what this end has."""
        a, b = self.bounds(low, high)
        cuts = sorted({a + (b - a) * n // SPLIT for n in range(1, SPLIT)} - {a, b})
        edges = [low, *(self.keys[at] for at in cuts), high]
        places = [a, *cuts, b]
        return tuple(
            self._part(edges[n], edges[n + 1], places[n], places[n + 1]) for n in range(len(cuts) + 1)
        )

    def items(self, low: Key, high: Key) -> tuple[tuple[Key, bytes], ...]:
        """All items of a range."""
        a, b = self.bounds(low, high)
        return tuple(zip(self.keys[a:b], self.digests[a:b], strict=True))


def answer(mine: Collection, look: Look) -> Differ:
    """What the other end answers. It keeps nothing."""
    same, split, named = [], [], []
    for part in look.parts[:MOST_RANGES]:
        own = mine.part(part.low, part.high)
        if (own.count, own.sum) == (part.count, part.sum):
            same.append((part.low, part.high))
        elif own.count <= FEW:
            named.append(Named(part.low, part.high, mine.items(part.low, part.high)))
        else:
            split.append((part.low, part.high, mine.split(part.low, part.high)))
    return Differ(look.topic, tuple(same), tuple(split), tuple(named))


@dataclass(slots=True)
class Pull:
    """One collection being made level with another end's. `lacks`: keys to fetch. `strange`: keys that are here and
    not there, or differ: nothing is taken away for them; they are evidence that staff are shown."""

    topic: str
    mine: Collection
    asked: dict[tuple[Key, Key], int] = field(default_factory=dict)
    lacks: dict[Key, tuple[bytes, int]] = field(default_factory=dict)
    strange: dict[Key, str] = field(default_factory=dict)
    rounds: int = 0
    begun: bool = False

    @property
    def done(self) -> bool:
        """Whether all is level."""
        return self.begun and not self.asked and not self.lacks

    def next(self, now: int) -> list[Message]:
        """What to ask now: whatever was not asked yet, or not answered for AGAIN."""
        if not self.begun:
            self.begun = True
            self.asked[b"", b""] = -AGAIN - 1
        out: list[Message] = []
        due = [one for one, at in self.asked.items() if now - at >= AGAIN or at < 0][:MOST_RANGES]
        if due:
            for one in due:
                self.asked[one] = now
            out.append(Look(self.topic, tuple(self.mine.part(low, high) for low, high in due)))
        keys = [key for key, (_, at) in self.lacks.items() if now - at >= AGAIN or at < 0][:MOST_FETCHED]
        if keys:
            for key in keys:
                self.lacks[key] = self.lacks[key][0], now
            out.append(Fetch(self.topic, tuple(keys)))
        self.rounds += bool(out)
        return out

    def heard(self, differ: Differ) -> None:
        """An answer; one that was not asked for, or came twice, changes nothing."""
        for low, high in differ.same:
            self.asked.pop((low, high), None)
        for low, high, parts in differ.split:
            if self.asked.pop((low, high), None) is None:
                continue
            for part in parts:
                own = self.mine.part(part.low, part.high)
                if (own.count, own.sum) != (part.count, part.sum):
                    self.asked[part.low, part.high] = -1
        for named in differ.named:
            if self.asked.pop((named.low, named.high), None) is None:
                continue
            theirs = dict(named.items)
            for key, digest in theirs.items():
                own_digest = self.mine.get(key)
                if own_digest is None:
                    self.lacks.setdefault(key, (digest, -1))
                elif own_digest != digest:
                    self.strange[key] = "differs"
            for key, _ in self.mine.items(named.low, named.high):
                if key not in theirs:
                    self.strange[key] = "only here"

    def took(self, key: Key, digest: bytes) -> bool:
        """A row came; whether it is one that was asked for, as it was named."""
        wanted = self.lacks.get(key)
        if wanted is None or wanted[0] != digest:
            return False
        del self.lacks[key]
        self.mine.add(key, digest)
        return True


@dataclass(slots=True)
class Allowance:
    """Bytes that may be sent now."""

    rate: int = RATE
    left: float = float(BURST)
    at: int = 0

    def may(self, size: int, now: int) -> bool:
        """Whether so many bytes may go; they are then taken off."""
        self.left = min(float(BURST), self.left + self.rate * (now - self.at) / 1_000_000)
        self.at = now
        if size > self.left:
            return False
        self.left -= size
        return True
