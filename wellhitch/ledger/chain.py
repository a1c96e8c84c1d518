"""The entries of one instance as a hash chain: each row contains the hash of the row before, so that a missing or
altered row is detected and located. Pure.

A chain is identified by the instance's number and a mark drawn when its process starts; its first row names the end of
the previous chain. An instance that lost its disk, or came back with an old one, therefore never reuses a row's
sequence number."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
from blake3 import blake3

from wellhitch.ledger.entries import Entry, InvalidEntryError, decode, encode

HASH_BYTES = 32
INITIAL_HASH = bytes(HASH_BYTES)  # the previous hash of the first row


@dataclass(frozen=True, slots=True, order=True)
class ChainId:
    """Identifies a chain: the instance's number and the mark of the process that wrote it."""

    number: int
    mark: int

    def key(self, seq: int = 0) -> bytes:
        """The store's key of a row. Rows of a chain sort together and in order."""
        return self.number.to_bytes(4, "big") + self.mark.to_bytes(8, "big") + seq.to_bytes(8, "big")

    @staticmethod
    def from_key(key: bytes) -> "tuple[ChainId, int]":
        """Chain and sequence number of a key. Raises InvalidEntryError."""
        if len(key) != 20:
            raise InvalidEntryError(f"row key: expected 20 bytes, got {len(key)}")
        chain = ChainId(int.from_bytes(key[:4], "big"), int.from_bytes(key[4:12], "big"))
        return chain, int.from_bytes(key[12:], "big")

    def __str__(self) -> str:
        return f"{self.number}-{self.mark:x}"


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row: its sequence number from 1, the period it counts in, the period it came too late for (else empty), the
    encoded entry and the hash of the previous row."""

    seq: int
    period: str
    late_for: str
    entry: bytes
    previous_hash: bytes

    def hash(self, chain: ChainId) -> bytes:
        """The row's hash, over its key in the chain and all of its fields."""
        return blake3(chain.key(self.seq) + _ENCODER.encode(self)).digest(HASH_BYTES)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Row)


def decode_row(data: bytes) -> Row:
    """Decode a row. Any input gives a row or raises InvalidEntryError."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidEntryError(str(error)) from None


@dataclass(slots=True)
class Chain:
    """The end of a chain, where rows are appended."""

    name: ChainId
    seq: int = 0
    last_hash: bytes = INITIAL_HASH
    last_row: bytes = b""  # encoded

    def append(self, entry: Entry, period: str, late_for: str = "") -> Row:
        """Append an entry and return its row."""
        row = Row(self.seq + 1, period, late_for, encode(entry), self.last_hash)
        self.seq, self.last_row = row.seq, _ENCODER.encode(row)
        self.last_hash = blake3(self.name.key(row.seq) + self.last_row).digest(HASH_BYTES)
        return row


@dataclass(frozen=True, slots=True)
class ChainFault:
    """One fault of a chain."""

    chain: ChainId
    seq: int
    why: str

    def __str__(self) -> str:
        return f"chain {self.chain}, row {self.seq}: {self.why}"


def verify(
    chain: ChainId, rows: Iterable[tuple[int, bytes | None]], head: tuple[int, bytes] | None = None
) -> Iterator[ChainFault]:
    """Yield the faults of a whole chain. `rows` are its stored rows in key order, None for a damaged record. `head` is
    the last row and its hash as known elsewhere (a peer, a statement): a chain that was truncated, or rewritten
    from some row on, does not match it."""
    expected, previous_hash = 1, INITIAL_HASH
    previous_known = True  # False after a row that is lost: the next row cannot be checked against it
    hashes: dict[int, bytes] = {}
    for seq, data in rows:
        if seq != expected:
            until = f" to {seq - 1}" if seq - 1 > expected else ""
            yield ChainFault(chain, expected, f"missing{until}")
            previous_known = False
        expected = seq + 1
        row, why = _decode_stored(data)
        if row is None:
            yield ChainFault(chain, seq, why)
            previous_known = False
            continue
        if row.seq != seq:
            yield ChainFault(chain, seq, f"stored under this key is row {row.seq}")
        elif previous_known and row.previous_hash != previous_hash:
            yield ChainFault(
                chain, seq, f"does not follow row {seq - 1} as stored: one of the two was altered"
            )
        previous_hash, previous_known = row.hash(chain), True
        if head and seq == head[0]:
            hashes[seq] = previous_hash
    if head and head[0] >= expected:
        yield ChainFault(chain, expected, f"missing to {head[0]}, which is known elsewhere")
    elif head and head[0] in hashes and hashes[head[0]] != head[1]:
        yield ChainFault(chain, head[0], "known elsewhere with another hash: the chain was rewritten")


def _decode_stored(data: bytes | None) -> tuple[Row | None, str]:
    if data is None:
        return None, "damaged on disk"
    try:
        row = decode_row(data)
        decode(row.entry)
    except InvalidEntryError as error:
        return None, f"not a row: {error}"
    return row, ""
