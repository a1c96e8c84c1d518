"""The bytes of one record: a checksum over its place and its content, and upgrades of old versions.

    1 byte   format: 1
    2 bytes  version of the body, big-endian, assigned by the bucket's owner
    16 bytes blake3 over bucket, key, version and body
    rest     body

A bucket is a named set of records; the file and the log call it `shelf`. SQLite's pages carry no checksum: of 150 bytes
flipped at random in a file, 134 were read back as different content without an error (`docs/design/store.md`). The
checksum also detects a record that was moved to another key."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from blake3 import blake3

FORMAT = 1
HEADER_BYTES = 3
# Two equal sums occur by chance once in 2^64 tries. Forgery is not a concern here; the ledger's chains carry 32 bytes.
CHECKSUM_BYTES = 16


class DamagedRecord(Exception):
    """A stored record that differs from what was written."""

    def __init__(self, bucket: str, key: bytes, why: str) -> None:
        super().__init__(f"shelf {bucket}, key {key.hex()}: {why}")
        self.bucket, self.key, self.why = bucket, key, why


@dataclass(frozen=True, slots=True)
class Change:
    """One record to put, or to delete if `body` is None."""

    bucket: str
    key: bytes
    body: bytes | None
    version: int = 1

    @property
    def size(self) -> int:
        """Approximate number of bytes that the change writes to disk."""
        return len(self.key) + len(self.body or b"") + HEADER_BYTES + CHECKSUM_BYTES


def checksum(bucket: str, key: bytes, version: int, body: bytes) -> bytes:
    """The checksum of a record."""
    hasher = blake3(len(bucket).to_bytes(2, "big") + bucket.encode())
    hasher.update(len(key).to_bytes(2, "big") + key + version.to_bytes(2, "big"))
    hasher.update(body)
    return hasher.digest(CHECKSUM_BYTES)


def pack(change: Change) -> bytes:
    """Encode a record. Raises ValueError unless it has a body and a version from 1 to 65,535."""
    if change.body is None or not 0 < change.version < 1 << 16:
        raise ValueError(f"record without a body, or version {change.version} not from 1 to 65535")
    total = checksum(change.bucket, change.key, change.version, change.body)
    return bytes([FORMAT]) + change.version.to_bytes(2, "big") + total + change.body


def unpack(bucket: str, key: bytes, data: bytes) -> tuple[int, bytes]:
    """Version and body of a record. Any input gives a record or raises DamagedRecord."""
    if len(data) < HEADER_BYTES + CHECKSUM_BYTES:
        raise DamagedRecord(bucket, key, f"{len(data)} bytes, too few for a record")
    version, body = int.from_bytes(data[1:3], "big"), data[HEADER_BYTES + CHECKSUM_BYTES :]
    if data[HEADER_BYTES : HEADER_BYTES + CHECKSUM_BYTES] != checksum(bucket, key, version, body):
        raise DamagedRecord(bucket, key, "its checksum does not match")
    if data[0] != FORMAT:
        raise DamagedRecord(bucket, key, f"format {data[0]}; this program reads {FORMAT}")
    return version, body


Upgrade = Callable[[bytes], bytes]


@dataclass(frozen=True, slots=True)
class Upgrades:
    """Converts bodies of older versions to the current one: `steps[n]` converts version n to n + 1."""

    current: int
    steps: Mapping[int, Upgrade]

    def __post_init__(self) -> None:
        missing = [version for version in range(1, self.current) if version not in self.steps]
        if missing:
            raise ValueError(f"no step from version {missing[0]}")

    def body(self, bucket: str, key: bytes, version: int, body: bytes) -> bytes:
        """The body in the current version. Raises DamagedRecord for a version that a newer program wrote; the record
        stays as it is, so that an older program does not destroy data by reading it."""
        if not 1 <= version <= self.current:
            raise DamagedRecord(bucket, key, f"version {version}; this program reads 1 to {self.current}")
        for step in range(version, self.current):
            body = self.steps[step](body)
        return body
