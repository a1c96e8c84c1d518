"""Decoder and encoder of discovery updates: binary frames on a connection, and JSON in the configuration file.

Bytes in any chunks decode to updates or to one `BadFrame`. The length of a frame is bounded.
"""

import struct
from typing import Any

import msgspec

from wellhitch.settings.checked import read_lenient

RECORD = struct.Struct(">IIHBBBHIQ")  # id, address, port, state, zone, kind, cell, weight, start time
HEAD = struct.Struct(">IQB")  # length of the rest of the frame, revision, kind
MAX_RECORDS = 4096  # offices in one frame, hundreds of times as many as in any list of the platform
MAX_FRAME_BYTES = 9 + RECORD.size * MAX_RECORDS  # without the four bytes of the length itself
READY, DRAINING, REMOVED = 0, 1, 2
STATES = {"up": READY, "draining": DRAINING, "removed": REMOVED}


class DiscoveryEntry(msgspec.Struct, frozen=True):
    """One office: its id as text, its address as host:port, its state, the number of its exchange, and the Unix time in
    milliseconds at which it started late, or 0."""

    id: str
    address: str
    state: int
    exchange: int
    started_ms: int


class Update(msgspec.Struct, frozen=True):
    """One update: its revision, whether it is the full list, and its entries. A `heartbeat` has no entries and only
    shows that the discovery service is alive."""

    revision: int
    full: bool
    entries: tuple[DiscoveryEntry, ...]
    heartbeat: bool = False


class BadFrame(Exception):
    """Bytes that are not a valid frame. `reason` names the violated rule; `updates_before` holds the valid updates
    that were decoded from the same chunk."""

    def __init__(self, reason: str, updates_before: list[Update]) -> None:
        super().__init__(reason)
        self.reason, self.updates_before = reason, updates_before


class Decoder:
    """Decodes what one connection to the discovery service receives."""

    def __init__(self) -> None:
        self._buffered = b""

    def feed(self, data: bytes | memoryview) -> list[Update]:
        """Return the updates that `data` completes. Raises BadFrame."""
        buffer, updates, position = self._buffered + data, list[Update](), 0
        while len(buffer) - position >= HEAD.size:
            length, revision, kind = HEAD.unpack_from(buffer, position)
            payload_size = length - 9
            if not 9 <= length <= MAX_FRAME_BYTES:
                raise BadFrame("frame_length", updates)
            if kind > 2 or payload_size % RECORD.size or (kind == 0 and payload_size):
                raise BadFrame("frame_form", updates)
            if len(buffer) - position < 4 + length:
                break
            payload = buffer[position + HEAD.size : position + 4 + length]
            position += 4 + length
            entries = tuple(_entry(record, updates) for record in RECORD.iter_unpack(payload))
            updates.append(Update(revision, kind == 1, entries, kind == 0))
        self._buffered = buffer[position:]
        return updates


def _entry(record: tuple[int, ...], updates_before: list[Update]) -> DiscoveryEntry:
    office, address, port, state, _zone, _kind, exchange, _weight, started_ms = record
    if state > REMOVED or port == 0:
        raise BadFrame("record", updates_before)
    host = ".".join(str(address >> shift & 255) for shift in (24, 16, 8, 0))
    return DiscoveryEntry(f"s-{office:08x}", f"{host}:{port}", state, exchange, started_ms)


def encode_subscription(revision: int) -> bytes:
    """Encode the request that opens a connection: send the updates after `revision`."""
    return struct.pack(">Q", revision)


def encode_update(update: Update) -> bytes:
    """Encode an update as the discovery service does; used by simulated ones."""
    payload = b"".join(
        RECORD.pack(
            int(entry.id[2:], 16),
            _packed_host(entry.address),
            _port(entry.address),
            entry.state,
            0,
            0,
            entry.exchange,
            1000,
            entry.started_ms,
        )
        for entry in update.entries
    )
    kind = 0 if update.heartbeat else 1 if update.full else 2
    return HEAD.pack(9 + len(payload), update.revision, kind) + payload


def _packed_host(address: str) -> int:
    packed = 0
    for part in address.rpartition(":")[0].split("."):
        packed = packed << 8 | int(part)
    return packed


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


# ---- the same updates as JSON ----


class _Server(msgspec.Struct):
    id: str
    addr: str
    state: str
    cell: int
    started_ms: int = 0
    zone: Any = None
    kind: Any = None
    weight: Any = None


class _Pool(msgspec.Struct):
    servers: list[_Server]
    version: Any = None
    full: bool = False


class _KnownUpdate(msgspec.Struct):
    revision: int = msgspec.field(name="rev")
    pool: _Pool


class KnownUpdates(msgspec.Struct):
    """The updates up to the start of the process, with the last revision."""

    revision: int = msgspec.field(name="rev")
    updates: list[_KnownUpdate] = msgspec.field(name="notices")


def read_known_updates(value: Any, where: str) -> tuple[int, list[Update]]:
    """Return the last revision and the updates. Raises InvalidSettings, which names field and value."""
    known = read_lenient(value, KnownUpdates, where)
    updates = []
    for known_update in known.updates:
        entries = []
        for server in known_update.pool.servers:
            state = STATES.get(server.state, REMOVED)  # with an unknown state, no call may be sent there
            entries.append(DiscoveryEntry(server.id, server.addr, state, server.cell, server.started_ms))
        updates.append(Update(known_update.revision, known_update.pool.full, tuple(entries)))
    return known.revision, updates
