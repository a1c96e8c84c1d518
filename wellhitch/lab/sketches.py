"""Invertible Bloom lookup tables, the alternative to the range comparison of `ledger.reconcile`.

After Eppstein and others, "What's the Difference?", SIGCOMM 2011. Only the benchmarks use them, as a comparison.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from blake3 import blake3

HASHES = 3  # cells that each item maps to
CELL_BYTES = 4 + 16 + 4  # size of an encoded cell: count, XOR of items, XOR of checksums


def make_item(key: bytes, digest: bytes) -> int:
    """Return the 16-byte item that stands for an entry, as an integer."""
    return int.from_bytes(blake3(key + digest).digest(16), "big")


@dataclass(slots=True)
class Sketch:
    """A sketch of `size` cells; the difference of two sketches can be decoded if it is small enough."""

    size: int
    counts: list[int] = field(default_factory=list)
    sums: list[int] = field(default_factory=list)
    checksums: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.counts, self.sums, self.checksums = ([0] * self.size for _ in range(3))

    def _cells(self, item: int) -> list[int]:
        partition = self.size // HASHES
        return [n * partition + (item >> 32 * n) % 0xFFFFFFFB % partition for n in range(HASHES)]

    def add(self, items: Iterable[int], sign: int = 1) -> None:
        """Add items, or remove them with a `sign` of -1."""
        for item in items:
            checksum = item * 0x9E3779B97F4A7C15 >> 64 & 0xFFFFFFFF
            for cell in self._cells(item):
                self.counts[cell] += sign
                self.sums[cell] ^= item
                self.checksums[cell] ^= checksum

    def subtract(self, other: "Sketch") -> "Sketch":
        """Return the difference of two sketches of the same size."""
        difference = Sketch(self.size)
        for cell in range(self.size):
            difference.counts[cell] = self.counts[cell] - other.counts[cell]
            difference.sums[cell] = self.sums[cell] ^ other.sums[cell]
            difference.checksums[cell] = self.checksums[cell] ^ other.checksums[cell]
        return difference

    def decode(self) -> tuple[set[int], set[int]] | None:
        """Return the items that only the first and only the second sketch had, None if they are too many to decode."""
        first: set[int] = set()
        second: set[int] = set()
        pure = [cell for cell in range(self.size) if self._pure(cell)]
        while pure:
            cell = pure.pop()
            if not self._pure(cell):
                continue
            item, sign = self.sums[cell], self.counts[cell]
            (first if sign > 0 else second).add(item)
            self.add([item], -sign)
            pure += [cell for cell in self._cells(item) if self._pure(cell)]
        return None if any(self.sums) or any(self.counts) else (first, second)

    def _pure(self, cell: int) -> bool:
        item = self.sums[cell]
        return (
            abs(self.counts[cell]) == 1
            and self.checksums[cell] == item * 0x9E3779B97F4A7C15 >> 64 & 0xFFFFFFFF
        )
