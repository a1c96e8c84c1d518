"""Entries of the ledger: what happened to a dialogue as one call server saw it. Pure.

Wall times are whole microseconds since 1970, UTC, by the clock that is handed in; spans are by the loop's clock and
do not jump. Entries are msgpack arrays, their type's name first; a field is only ever added at the end, with a
default."""

from collections.abc import Mapping

import msgspec
from blake3 import blake3

NUMBER_HASH = 12  # bytes of a called number's hash: a million numbers meet by chance once in 10^17


class Answered(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A dialogue got its one answer, as `side` (`origin`, `tandem`, `destination`) saw it: `stands`, `pushed_back`,
    `forfeited`, or `gone`, hung up before an answer. `origin` and `dialogue` name it in the whole fleet; `number` is
    the called number hashed under the key `number_key`. `dial`: which dial of the end before asked here, -1 at the
    origin; `onward`: which own dial stood, `via` the tandem it went by, both -1 where there is none."""

    side: str
    origin: int
    dialogue: int
    traffic_class: str
    destination: int
    answer: str
    at: int
    width: int = 1
    tenant: str = ""
    number: bytes = b""
    number_key: int = 0
    tags: tuple[str, ...] = ()
    hooks: str = ""
    dial: int = -1
    onward: int = -1
    via: int = -1


class Ended(msgspec.Struct, frozen=True, array_like=True, tag="Over"):
    """A dialogue that stood is over. `how`: `released`, `cut`, or `restart`: this instance died while it stood, and
    `stood` counts to the last moment it surely lived."""

    side: str
    origin: int
    dialogue: int
    how: str
    at: int
    stood: int
    dial: int = -1


class EntriesLost(msgspec.Struct, frozen=True, array_like=True, tag="Lacking"):
    """Entries that found no room for a disk that was full or failed: how many, and between when. What they said is
    lost; that they were is not."""

    count: int
    first: int
    last: int


class Restarted(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The first row of each process's chain: the process before surely lived until `alive`, and what it saw within the
    `unsafe` microseconds after may be lost. `mark`, `seq`, `hash`: where its chain ended, as far as this disk
    knows; mark 0 on a new disk. An old disk is told by this: others know rows beyond."""

    at: int
    alive: int
    unsafe: int
    mark: int = 0
    seq: int = 0
    hash: bytes = b""


class Corrected(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Staff correct what is billed of a dialogue by `change` us, in whatever period it stands. The entries it speaks
    of are left as they are."""

    origin: int
    dialogue: int
    change: int
    who: str
    why: str
    at: int


class Rekeyed(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """From here on called numbers are hashed under another key."""

    number_key: int
    at: int


Entry = Answered | Ended | EntriesLost | Restarted | Corrected | Rekeyed

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Entry)


class InvalidEntryError(Exception):
    """Bytes that are no entry."""


def encode(entry: Entry) -> bytes:
    """An entry's bytes: the same for the same entry everywhere."""
    return _ENCODER.encode(entry)


def decode(data: bytes) -> Entry:
    """An entry. Raises BadEntry; total."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as fault:
        raise InvalidEntryError(str(fault)) from None


class NumberKeys:
    """Keys under which called numbers are hashed: the newest is used, older ones let staff look a number up that was
    hashed under them, until the key is thrown away; then nobody can."""

    def __init__(self, keys: Mapping[int, bytes]) -> None:
        """`keys`: 32 bytes each, by a number that grows. Raises ValueError."""
        for number, key in keys.items():
            if len(key) != 32 or number < 1:
                raise ValueError(f"number key {number}: 32 bytes, not {len(key)}")
        self._keys = dict(keys)
        self.newest = max(self._keys, default=0)

    def hashed(self, called: str | None) -> tuple[bytes, int]:
        """The hash and the key's number; nothing for no number or no key."""
        if called is None or not self.newest:
            return b"", 0
        return self._under(self.newest, called), self.newest

    def matches(self, called: str, number: bytes, number_key: int) -> bool | None:
        """Whether a hash is this number's; None where its key is gone."""
        return self._under(number_key, called) == number if number_key in self._keys else None

    def _under(self, key: int, called: str) -> bytes:
        return blake3(called.encode(), key=self._keys[key]).digest(NUMBER_HASH)
