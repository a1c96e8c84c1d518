"""The bytes of one record: a checksum of our own over where it lies and what it says, and upgrades of old versions.

    1 byte   format: 1
    2 bytes  version of the body, big-endian: the shelf's owner counts them
    16 bytes blake3 over shelf, key, version and body
    rest     body

SQLite's pages carry no checksum: of 150 bytes flipped at random in a file, 134 were read back as other content
without a word (`docs/design/store.md`). A record that was moved to another key is found as well as one altered."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from blake3 import blake3

FORMAT = 1
HEADER_BYTES = 3
CHECKSUM_BYTES = (
    16  # bytes: chance finds an equal sum once in 2^64 tries, and nobody forges one here; chains carry 32
)


class DamagedRecord(Exception):
    """A record that is not what was written. Names shelf and key."""

    def __init__(self, bucket: str, key: bytes, why: str) -> None:
        super().__init__(f"shelf {bucket}, key {key.hex()}: {why}")
        self.bucket, self.key, self.why = bucket, key, why


@dataclass(frozen=True, slots=True)
class Change:
    """One record to put, or, with `body` None, to take away."""

    bucket: str
    key: bytes
    body: bytes | None
    version: int = 1

    @property
    def size(self) -> int:
        """Bytes that it makes the disk write, about."""
        return len(self.key) + len(self.body or b"") + HEADER_BYTES + CHECKSUM_BYTES


def checksum(bucket: str, key: bytes, version: int, body: bytes) -> bytes:
    """The sum of a record."""
    made = blake3(len(bucket).to_bytes(2, "big") + bucket.encode())
    made.update(len(key).to_bytes(2, "big") + key + version.to_bytes(2, "big"))
    made.update(body)
    return made.digest(CHECKSUM_BYTES)


def pack(change: Change) -> bytes:
    """A record's bytes. Raises ValueError where the version is none of 1 to 65,535."""
    if change.body is None or not 0 < change.version < 1 << 16:
        raise ValueError(f"version {change.version} of a record, or no body")
    total = checksum(change.bucket, change.key, change.version, change.body)
    return bytes([FORMAT]) + change.version.to_bytes(2, "big") + total + change.body


def unpack(bucket: str, key: bytes, data: bytes) -> tuple[int, bytes]:
    """Version and body. Raises Damaged; total: any bytes give a record or that."""
    if len(data) < HEADER_BYTES + CHECKSUM_BYTES:
        raise DamagedRecord(bucket, key, f"{len(data)} bytes, too few for a record")
    version, body = int.from_bytes(data[1:3], "big"), data[HEADER_BYTES + CHECKSUM_BYTES :]
    if data[HEADER_BYTES : HEADER_BYTES + CHECKSUM_BYTES] != checksum(bucket, key, version, body):
        raise DamagedRecord(bucket, key, "its checksum does not fit")
    if data[0] != FORMAT:
        raise DamagedRecord(bucket, key, f"format {data[0]}; this program reads {FORMAT}")
    return version, body


Upgrade = Callable[[bytes], bytes]


@dataclass(frozen=True, slots=True)
class Upgrades:
    """How bodies of older versions become the present one: `steps[n]` turns version n into n + 1."""

    present: int
    steps: Mapping[int, Upgrade]

    def __post_init__(self) -> None:
        missing = [n for n in range(1, self.present) if n not in self.steps]
        if missing:
            raise ValueError(f"no step from version {missing[0]}")

    def body(self, bucket: str, key: bytes, version: int, body: bytes) -> bytes:
        """The body as of the present version. Raises Damaged for a version that a newer program wrote: it is left as
        it is, for nothing may be lost by an older one reading it."""
        if not 1 <= version <= self.present:
            raise DamagedRecord(bucket, key, f"version {version}; this program reads 1 to {self.present}")
        for n in range(version, self.present):
            body = self.steps[n](body)
        return body
