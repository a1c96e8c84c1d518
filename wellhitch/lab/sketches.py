"""Invertible sketches, the other way of reconciling that `ledger.reconcile` was weighed against (Eppstein and others,
"What's the Difference?", SIGCOMM 2011). Measured beside ranges; not in service."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from blake3 import blake3

HASHES = 3  # cells of each item
CELL = 4 + 16 + 4  # bytes of a cell as it would be sent: count, sum of items, sum of checks


def item_of(key: bytes, digest: bytes) -> int:
    """An item of 16 bytes."""
    return int.from_bytes(blake3(key + digest).digest(16), "big")


@dataclass(slots=True)
class Sketch:
    """`size` cells; items go in, the difference of two comes out where it is small enough."""

    size: int
    counts: list[int] = field(default_factory=list)
    sums: list[int] = field(default_factory=list)
    checks: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.counts, self.sums, self.checks = ([0] * self.size for _ in range(3))

    def _places(self, item: int) -> list[int]:
        part = self.size // HASHES
        return [n * part + (item >> 32 * n) % 0xFFFFFFFB % part for n in range(HASHES)]

    def put(self, items: Iterable[int], by: int = 1) -> None:
        """Put items in, or take them out with `by` -1."""
        for item in items:
            check = item * 0x9E3779B97F4A7C15 >> 64 & 0xFFFFFFFF
            for at in self._places(item):
                self.counts[at] += by
                self.sums[at] ^= item
                self.checks[at] ^= check

    def less(self, other: "Sketch") -> "Sketch":
        """The difference of two of one size."""
        out = Sketch(self.size)
        for at in range(self.size):
            out.counts[at] = self.counts[at] - other.counts[at]
            out.sums[at] = self.sums[at] ^ other.sums[at]
            out.checks[at] = self.checks[at] ^ other.checks[at]
        return out

    def decoded(self) -> tuple[set[int], set[int]] | None:
        """Items that only the first and only the second has; None where they are too many."""
        first: set[int] = set()
        second: set[int] = set()
        pure = [at for at in range(self.size) if self._pure(at)]
        while pure:
            at = pure.pop()
            if not self._pure(at):
                continue
            item, by = self.sums[at], self.counts[at]
            (first if by > 0 else second).add(item)
            self.put([item], -by)
            pure += [place for place in self._places(item) if self._pure(place)]
        return None if any(self.sums) or any(self.counts) else (first, second)

    def _pure(self, at: int) -> bool:
        item = self.sums[at]
        return abs(self.counts[at]) == 1 and self.checks[at] == item * 0x9E3779B97F4A7C15 >> 64 & 0xFFFFFFFF
