"""Bytes <-> frames, and the same events as JSON. Any bytes, however cut, give frames or one `BadFrame`."""

import struct
from typing import Any

import msgspec

from wellhitch.settings.checked import read_lenient

RECORD = struct.Struct(">IIHBBBHIQ")  # id address port state zone kind cell weight started
HEAD = struct.Struct(">IQB")  # length number kind
MAX_RECORDS = 4096  # offices in one frame: hundreds of times any list of the platform
MAX_FRAME_BYTES = 9 + RECORD.size * MAX_RECORDS
READY, DRAINING, REMOVED = 0, 1, 2
STATES = {"up": READY, "draining": DRAINING, "removed": REMOVED}


class DiscoveryEntry(msgspec.Struct, frozen=True):
    """One office: its id in text, host:port, state, exchange number, and Unix ms of a late start or 0."""

    id: str
    address: str
    state: int
    exchange: int
    started_ms: int


class Update(msgspec.Struct, frozen=True):
    """One event: its number, whether it is the whole list, its rows. `empty`: it only says that the board lives."""

    revision: int
    full: bool
    entries: tuple[DiscoveryEntry, ...]
    heartbeat: bool = False


class BadFrame(Exception):
    """Bytes that are no frame. `before` holds the notices that were good."""

    def __init__(self, reason: str, before: list[Update]) -> None:
        super().__init__(reason)
        self.reason, self.before = reason, before


class Decoder:
    """One connection to the board."""

    def __init__(self) -> None:
        self._held = b""

    def feed(self, data: bytes | memoryview) -> list[Update]:
        """Whole notices. Raises BadFrame."""
        buffer, out, at = self._held + data, list[Update](), 0
        while len(buffer) - at >= HEAD.size:
            length, number, kind = HEAD.unpack_from(buffer, at)
            size = length - 9
            if not 9 <= length <= MAX_FRAME_BYTES:
                raise BadFrame("frame_length", out)
            if kind > 2 or size % RECORD.size or (kind == 0 and size):
                raise BadFrame("frame_form", out)
            if len(buffer) - at < 4 + length:
                break
            payload = buffer[at + HEAD.size : at + 4 + length]
            at += 4 + length
            rows = tuple(_row(one, out) for one in RECORD.iter_unpack(payload))
            out.append(Update(number, kind == 1, rows, kind == 0))
        self._held = buffer[at:]
        return out


def _row(record: tuple[int, ...], before: list[Update]) -> DiscoveryEntry:
    office, address, port, state, _zone, _kind, cell, _weight, started = record
    if state > REMOVED or port == 0:
        raise BadFrame("record", before)
    host = ".".join(str(address >> shift & 255) for shift in (24, 16, 8, 0))
    return DiscoveryEntry(f"s-{office:08x}", f"{host}:{port}", state, cell, started)


def encode_subscription(revision: int) -> bytes:
    """What is written first: the number of the last event held."""
    return struct.pack(">Q", revision)


def encode_update(notice: Update) -> bytes:
    """A notice as the board writes it; for stand-ins."""
    payload = b"".join(
        RECORD.pack(
            int(row.id[2:], 16),
            _packed(row.address),
            _port(row.address),
            row.state,
            0,
            0,
            row.exchange,
            1000,
            row.started_ms,
        )
        for row in notice.entries
    )
    kind = 0 if notice.heartbeat else 1 if notice.full else 2
    return HEAD.pack(9 + len(payload), notice.revision, kind) + payload


def _packed(address: str) -> int:
    packed = 0
    for part in address.rpartition(":")[0].split("."):
        packed = packed << 8 | int(part)
    return packed


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


# ---- the same events as JSON ----


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
    rev: int
    pool: _Pool


class KnownUpdates(msgspec.Struct):
    """The events up to the start."""

    rev: int
    notices: list[_KnownUpdate]


def read_known_updates(value: Any, where: str) -> tuple[int, list[Update]]:
    """Last number and the events. Raises InvalidSettings naming field and value."""
    known = read_lenient(value, KnownUpdates, where)
    out = []
    for notice in known.notices:
        rows = []
        for server in notice.pool.servers:
            state = STATES.get(server.state, REMOVED)  # an unknown word is no leave to send there
            rows.append(DiscoveryEntry(server.id, server.addr, state, server.cell, server.started_ms))
        out.append(Update(notice.rev, notice.pool.full, tuple(rows)))
    return known.rev, out
