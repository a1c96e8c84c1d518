"""The entries of one instance as a chain: each row is bound by its hash to the one before, so that a missing or altered
one is found and named. Pure.

A chain's name is the instance's number and a mark drawn as its process begins, and its first row names the end of the
chain before. An instance that lost its disk, or came back with an old one, so never says a row's number twice."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
from blake3 import blake3

from wellhitch.ledger.entries import Entry, InvalidEntryError, decode, encode

HASH_BYTES = 32
INITIAL_HASH = bytes(HASH_BYTES)  # what the first row is bound to


@dataclass(frozen=True, slots=True, order=True)
class ChainId:
    """Which chain."""

    number: int
    mark: int

    def key(self, seq: int = 0) -> bytes:
        """The store's key of a row: chains lie together, rows in order."""
        return self.number.to_bytes(4, "big") + self.mark.to_bytes(8, "big") + seq.to_bytes(8, "big")

    @staticmethod
    def from_key(key: bytes) -> "tuple[ChainId, int]":
        """Chain and row of a key. Raises BadEntry."""
        if len(key) != 20:
            raise InvalidEntryError(f"a key of {len(key)} bytes")
        name = ChainId(int.from_bytes(key[:4], "big"), int.from_bytes(key[4:12], "big"))
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
    previous_hash: bytes

    def hash(self, chain: ChainId) -> bytes:
        """The row's hash: over the chain's name and all of it."""
        return blake3(chain.key(self.seq) + _ENCODER.encode(self)).digest(HASH_BYTES)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Row)


def decode_row(data: bytes) -> Row:
    """A row. Raises BadEntry; total."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as fault:
        raise InvalidEntryError(str(fault)) from None


@dataclass(slots=True)
class Chain:
    """The end of a chain, to which rows are added."""

    name: ChainId
    seq: int = 0
    last_hash: bytes = INITIAL_HASH
    last_row: bytes = b""  # encoded

    def append(self, entry: Entry, period: str, late_for: str = "") -> Row:
        """The next row."""
        row = Row(self.seq + 1, period, late_for, encode(entry), self.last_hash)
        self.seq, self.last_row = row.seq, _ENCODER.encode(row)
        self.last_hash = blake3(self.name.key(row.seq) + self.last_row).digest(HASH_BYTES)
        return row


@dataclass(frozen=True, slots=True)
class ChainFault:
    """One thing wrong with a chain."""

    chain: ChainId
    seq: int
    why: str

    def __str__(self) -> str:
        return f"chain {self.chain}, row {self.seq}: {self.why}"


def verify(
    chain: ChainId, rows: Iterable[tuple[int, bytes | None]], head: tuple[int, bytes] | None = None
) -> Iterator[ChainFault]:
    """What is wrong with a whole chain: `rows` are its stored rows in order by their keys, None for one that the store
    calls damaged. `head`: the last row and its hash as another place knows it (a peer, a period's statement): a chain
    that was cut off at its end, or rewritten from some row on, does not reach it."""
    expected, previous_hash = 1, INITIAL_HASH
    chain_intact = True  # whether `before` is sure: after a row that is lost it is not
    hashes: dict[int, bytes] = {}
    for seq, data in rows:
        if seq != expected:
            until = f" to {seq - 1}" if seq - 1 > expected else ""
            yield ChainFault(chain, expected, f"missing{until}")
            chain_intact = False
        expected = seq + 1
        row, why = _row(data)
        if row is None:
            yield ChainFault(chain, seq, why)
            chain_intact = False
            continue
        if row.seq != seq:
            yield ChainFault(chain, seq, f"it says it is row {row.seq}")
        elif chain_intact and row.previous_hash != previous_hash:
            yield ChainFault(
                chain, seq, f"it does not follow row {seq - 1} as that is: one of the two was altered"
            )
        previous_hash, chain_intact = row.hash(chain), True
        if head and seq == head[0]:
            hashes[seq] = previous_hash
    if head and head[0] >= expected:
        yield ChainFault(chain, expected, f"missing to {head[0]}, which another place knows")
    elif head and head[0] in hashes and hashes[head[0]] != head[1]:
        yield ChainFault(chain, head[0], "another place knows it with another hash: the chain was rewritten")


def _row(data: bytes | None) -> tuple[Row | None, str]:
    if data is None:
        return None, "damaged on disk"
    try:
        row = decode_row(data)
        decode(row.entry)
    except InvalidEntryError as bad:
        return None, f"no row: {bad}"
    return row, ""
