"""The entries of one instance as a chain: each row is bound by its hash to the one before, so that a missing or altered
one is found and named. Pure.

A chain's name is the instance's number and a mark drawn as its process begins, and its first row names the end of the
chain before. An instance that lost its disk, or came back with an old one, so never says a row's number twice."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
from blake3 import blake3

from wellhitch.ledger.entries import BadEntry, Entry, decode, encode

HASH = 32
START = bytes(HASH)  # what the first row is bound to


@dataclass(frozen=True, slots=True, order=True)
class ChainName:
    """Which chain."""

    number: int
    mark: int

    def key(self, seq: int = 0) -> bytes:
        """The store's key of a row: chains lie together, rows in order."""
        return self.number.to_bytes(4, "big") + self.mark.to_bytes(8, "big") + seq.to_bytes(8, "big")

    @staticmethod
    def of_key(key: bytes) -> "tuple[ChainName, int]":
        """Chain and row of a key. Raises BadEntry."""
        if len(key) != 20:
            raise BadEntry(f"a key of {len(key)} bytes")
        name = ChainName(int.from_bytes(key[:4], "big"), int.from_bytes(key[4:12], "big"))
        return name, int.from_bytes(key[12:], "big")

    def __str__(self) -> str:
        return f"{self.number}-{self.mark:x}"


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row: its place from 1, the period it counts in, the period it came too late for (else empty), the entry's
    bytes and the hash of the row before."""

    seq: int
    period: str
    late_for: str
    entry: bytes
    before: bytes

    def hash(self, chain: ChainName) -> bytes:
        """The row's hash: over the chain's name and all of it."""
        return blake3(chain.key(self.seq) + _ENCODER.encode(self)).digest(HASH)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Row)


def read_row(data: bytes) -> Row:
    """A row. Raises BadEntry; total."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as fault:
        raise BadEntry(str(fault)) from None


@dataclass(slots=True)
class Chain:
    """The end of a chain, to which rows are added."""

    name: ChainName
    seq: int = 0
    last: bytes = START
    data: bytes = b""  # the last row's bytes

    def add(self, entry: Entry, period: str, late_for: str = "") -> Row:
        """The next row."""
        row = Row(self.seq + 1, period, late_for, encode(entry), self.last)
        self.seq, self.data = row.seq, _ENCODER.encode(row)
        self.last = blake3(self.name.key(row.seq) + self.data).digest(HASH)
        return row


@dataclass(frozen=True, slots=True)
class Wrong:
    """One thing wrong with a chain."""

    chain: ChainName
    seq: int
    why: str

    def __str__(self) -> str:
        return f"chain {self.chain}, row {self.seq}: {self.why}"


def verify(
    chain: ChainName, rows: Iterable[tuple[int, bytes | None]], head: tuple[int, bytes] | None = None
) -> Iterator[Wrong]:
    """What is wrong with a whole chain: `rows` are its stored rows in order by their keys, None for one that the store
    calls damaged. `head`: the last row and its hash as another place knows it (a peer, a period's statement): a chain
    that was cut off at its end, or rewritten from some row on, does not reach it."""
    expected, before = 1, START
    known = True  # whether `before` is sure: after a row that is lost it is not
    hashes: dict[int, bytes] = {}
    for seq, data in rows:
        if seq != expected:
            last = f" to {seq - 1}" if seq - 1 > expected else ""
            yield Wrong(chain, expected, f"missing{last}")
            known = False
        expected = seq + 1
        row, why = _row(data)
        if row is None:
            yield Wrong(chain, seq, why)
            known = False
            continue
        if row.seq != seq:
            yield Wrong(chain, seq, f"it says it is row {row.seq}")
        elif known and row.before != before:
            yield Wrong(
                chain, seq, f"it does not follow row {seq - 1} as that is: one of the two was altered"
            )
        before, known = row.hash(chain), True
        if head and seq == head[0]:
            hashes[seq] = before
    if head and head[0] >= expected:
        yield Wrong(chain, expected, f"missing to {head[0]}, which another place knows")
    elif head and head[0] in hashes and hashes[head[0]] != head[1]:
        yield Wrong(chain, head[0], "another place knows it with another hash: the chain was rewritten")


def _row(data: bytes | None) -> tuple[Row | None, str]:
    if data is None:
        return None, "damaged on disk"
    try:
        row = read_row(data)
        decode(row.entry)
    except BadEntry as bad:
        return None, f"no row: {bad}"
    return row, ""
