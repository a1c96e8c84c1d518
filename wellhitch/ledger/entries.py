"""Entries of the ledger: what happened to a dialogue as one call server saw it. Pure.

Wall times are whole microseconds since 1970, UTC, by a clock that is passed in; durations are measured by the loop's
clock and do not jump. Entries are msgpack arrays with the type's tag first. A field may only be added at the end, with
a default."""

from collections.abc import Mapping

import msgspec
from blake3 import blake3

NUMBER_HASH_BYTES = 12  # of a million numbers two collide by chance once in 10^17


class Answered(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A dialogue got its one answer, as `side` (`origin`, `tandem`, `destination`) saw it: `stands` (established),
    `pushed_back` (rejected), `forfeited` (failed) or `gone` (cancelled by the caller before an answer). `origin` and
    `dialogue` identify it in the whole fleet. `called_hash` is the called number hashed under the key `number_key`.
    `dial`: the previous end's dial that asked here, -1 at the origin. `onward_dial`: the own dial that was established,
    and `tandem`: the tandem it used; both -1 if there is none. `wall_us`: wall time."""

    side: str
    origin: int
    dialogue: int
    traffic_class: str
    destination: int
    answer: str
    wall_us: int
    width: int = 1
    tenant: str = ""
    called_hash: bytes = b""
    number_key: int = 0
    tags: tuple[str, ...] = ()
    hooks_version: str = ""
    dial: int = -1
    onward_dial: int = -1
    tandem: int = -1


class Ended(msgspec.Struct, frozen=True, array_like=True, tag="Over"):
    """An established dialogue ended. `ending`: `released`, `cut`, or `restart`: this instance died during the dialogue,
    and `duration` (us) counts to its last heartbeat."""

    side: str
    origin: int
    dialogue: int
    ending: str
    wall_us: int
    duration: int
    dial: int = -1


class EntriesLost(msgspec.Struct, frozen=True, array_like=True, tag="Lacking"):
    """Entries were dropped because the disk was full or failing: how many, and the wall times between which."""

    count: int
    first: int
    last: int


class Restarted(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The first row of each process's chain. The previous process was running until `alive_at`; what it saw within the
    `unsafe_us` microseconds after that may be lost. `mark`, `seq`, `hash`: where its chain ended, as far as this disk
    knows; mark 0 on a new disk. This reveals an old disk: other instances know rows beyond that end."""

    wall_us: int
    alive_at: int
    unsafe_us: int
    mark: int = 0
    seq: int = 0
    hash: bytes = b""


class Corrected(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An operator corrects the billed duration of a dialogue by `change` us, in whatever period it is counted. The
    dialogue's entries are left unchanged."""

    origin: int
    dialogue: int
    change: int
    who: str
    why: str
    wall_us: int


class Rekeyed(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """From here on called numbers are hashed under the key `number_key`."""

    number_key: int
    wall_us: int


Entry = Answered | Ended | EntriesLost | Restarted | Corrected | Rekeyed

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Entry)


class InvalidEntryError(Exception):
    """Bytes that do not decode to an entry."""


def encode(entry: Entry) -> bytes:
    """Encode an entry. Equal entries have equal bytes at every instance."""
    return _ENCODER.encode(entry)


def decode(data: bytes) -> Entry:
    """Decode an entry. Any input gives an entry or raises InvalidEntryError."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidEntryError(str(error)) from None


class NumberKeys:
    """Keys under which called numbers are hashed. New numbers use the newest key. An older key lets operators look up
    numbers that were hashed under it; once it is deleted they cannot be looked up any more."""

    def __init__(self, keys: Mapping[int, bytes]) -> None:
        """`keys`: 32 bytes each, by increasing key number. Raises ValueError."""
        for number, key in keys.items():
            if len(key) != 32 or number < 1:
                raise ValueError(f"number key {number}: expected 32 bytes, got {len(key)}")
        self._keys = dict(keys)
        self.newest = max(self._keys, default=0)

    def hashed(self, called: str | None) -> tuple[bytes, int]:
        """The hash of a called number and its key's number; empty without a number or a key."""
        if called is None or not self.newest:
            return b"", 0
        return self._hash(self.newest, called), self.newest

    def matches(self, called: str, called_hash: bytes, number_key: int) -> bool | None:
        """Whether a hash belongs to a called number; None if its key was deleted."""
        return self._hash(number_key, called) == called_hash if number_key in self._keys else None

    def _hash(self, number_key: int, called: str) -> bytes:
        return blake3(called.encode(), key=self._keys[number_key]).digest(NUMBER_HASH_BYTES)
