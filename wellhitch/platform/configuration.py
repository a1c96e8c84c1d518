"""`LB_CONFIG` as typed records. Pure, but for one read of the file."""

from dataclasses import dataclass
from typing import Any

import msgspec

from wellhitch.adapter.codec import read_opened
from wellhitch.board import codec as board
from wellhitch.interface.events import ServerStarted
from wellhitch.net.seam import only_numeric, split
from wellhitch.settings.checked import Faults, read_open, shown

MAX_FILE = 4 * 1024 * 1024  # bytes; with hundreds of events under `known` it has some tens of thousands
FEWEST_SOCKETS = 64  # under this nothing is left for callers beside offices, board and what waits to be taken


class _UseCase(msgspec.Struct):
    name: str
    importance: float | msgspec.UnsetType = msgspec.UNSET
    late_value: float | msgspec.UnsetType = msgspec.UNSET
    objective_ns: int | msgspec.UnsetType = msgspec.UNSET
    deadline_ns: int | msgspec.UnsetType = msgspec.UNSET
    semantics: str | msgspec.UnsetType = msgspec.UNSET
    group: str | msgspec.UnsetType = msgspec.UNSET
    memory_span_ns: int | msgspec.UnsetType = msgspec.UNSET


class _Family(msgspec.Struct):
    self_no: int | msgspec.UnsetType = msgspec.UNSET
    topology: str | msgspec.UnsetType = msgspec.UNSET
    centre_advises: bool | msgspec.UnsetType = msgspec.UNSET
    circuits_by_class: list[int] | msgspec.UnsetType = msgspec.UNSET
    class_hold_ns: list[int] | msgspec.UnsetType = msgspec.UNSET
    skilled_pools: list[list[int]] | msgspec.UnsetType = msgspec.UNSET
    clear_wait_ns: int | msgspec.UnsetType = msgspec.UNSET


class _Allowed(msgspec.Struct):
    most_tries: int | msgspec.UnsetType = msgspec.UNSET
    may_cancel: bool | msgspec.UnsetType = msgspec.UNSET
    probes: bool | msgspec.UnsetType = msgspec.UNSET
    peer_messages: bool | msgspec.UnsetType = msgspec.UNSET
    retry_after: bool | msgspec.UnsetType = msgspec.UNSET
    max_retry_after_ns: int | msgspec.UnsetType = msgspec.UNSET
    max_open: int | msgspec.UnsetType = msgspec.UNSET
    connect_timeout_ns: int | msgspec.UnsetType = msgspec.UNSET


class _Rules(msgspec.Struct):
    ask_within_ns: int | msgspec.UnsetType = msgspec.UNSET
    drain_grace_ns: int | msgspec.UnsetType = msgspec.UNSET
    cold_from: float | msgspec.UnsetType = msgspec.UNSET
    cold_ns: int | msgspec.UnsetType = msgspec.UNSET
    fall_multiple: float | msgspec.UnsetType = msgspec.UNSET
    tip_after_ns: int | msgspec.UnsetType = msgspec.UNSET


class _Callers(msgspec.Struct):
    marks_retry: bool | msgspec.UnsetType = msgspec.UNSET


class _Told(msgspec.Struct):
    """Of the settings, what the adapter's reader reads: their types, so that a wrong one is named."""

    classes: list[_UseCase]
    family_info: _Family
    limits: _Allowed
    rules: _Rules
    balancers: int | msgspec.UnsetType = msgspec.UNSET
    discovery: str | msgspec.UnsetType = msgspec.UNSET
    callers: _Callers | msgspec.UnsetType = msgspec.UNSET


class _Limits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: float = 0.0
    cores: float = 1.0


class _File(msgspec.Struct):
    name: str
    listen: str
    seed: str
    settings: dict[str, Any]
    known: dict[str, Any]
    limits: _Limits
    board: str
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""


@dataclass(frozen=True, slots=True)
class Place:
    """Where this call server listens and whom it follows, as host:port."""

    name: str
    listen: str
    board: str
    peer_listen: str
    peers: tuple[str, ...]
    peers_all: str


@dataclass(frozen=True, slots=True)
class Told:
    """All that a start needs: the place, the module's first event, the list so far with its last number, limits.
    `connect_within` in us."""

    place: Place
    opened: ServerStarted
    number: int
    known: tuple[board.Notice, ...]
    sockets: int
    max_open: int
    connect_within: int


def read_configuration(path: str) -> Told:
    """Read the file. Raises Faults naming the file, the field and its value."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_FILE + 1)
    except OSError as fault:
        raise Faults(path, [f"cannot be read: {fault.strerror}"]) from None
    if len(raw) > MAX_FILE:
        raise Faults(path, [f"over {MAX_FILE} bytes"])
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise Faults(path, [f"not JSON: {fault}"]) from None
    told = read_open(value, _File, path)
    for field, address in (
        ("listen", told.listen),
        ("board", told.board),
        ("peer_listen", told.peer_listen),
        ("peers_all", told.peers_all),
        *((f"peers[{at}]", peer) for at, peer in enumerate(told.peers)),
    ):
        if address or field in ("listen", "board"):
            _address(path, field, address)
    try:
        seed = int(told.seed, 16)
    except ValueError:
        raise Faults(path, [f"seed = {shown(told.seed)}: not hexadecimal"]) from None
    if told.limits.sockets < FEWEST_SOCKETS:
        raise Faults(path, [f"limits.sockets = {told.limits.sockets}: under {FEWEST_SOCKETS}"])
    settings = read_open({"settings": told.settings}, _Settings, path).settings
    opened = read_opened(seed, msgspec.to_builtins(settings))
    if not opened.traffic_classes:
        raise Faults(path, ["settings.classes = []: no use case"])
    number, known = board.read_known(told.known, path)
    for notice in known:
        for row in notice.rows:
            _address(path, f"known: address of {row.id}", row.address)
    connect_within = settings.limits.connect_timeout_ns
    max_open = settings.limits.max_open
    return Told(
        Place(told.name, told.listen, told.board, told.peer_listen, tuple(told.peers), told.peers_all),
        opened,
        number,
        tuple(known),
        told.limits.sockets,
        max_open if isinstance(max_open, int) and max_open > 0 else 20_000,
        connect_within // 1000 if isinstance(connect_within, int) and connect_within > 0 else 500_000,
    )


class _Settings(msgspec.Struct):
    settings: _Told


def _address(path: str, field: str, address: str) -> None:
    try:
        only_numeric(split(address)[0])
    except ValueError as fault:
        raise Faults(path, [f"{field} = {shown(address)}: {fault}"]) from None
