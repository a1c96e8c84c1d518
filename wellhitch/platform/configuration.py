"""Reads the file named by `LB_CONFIG` into typed records and validates it."""

from dataclasses import dataclass
from typing import Any

import msgspec

from wellhitch.adapter.codec import read_server_started
from wellhitch.board import codec as board
from wellhitch.interface.events import ServerStarted
from wellhitch.net.transport import require_ip_address, split_address
from wellhitch.settings.checked import InvalidSettings, read_lenient, short_repr

# A file with hundreds of updates under `known` has some tens of thousands of bytes.
MAX_FILE_BYTES = 4 * 1024 * 1024
# With fewer, offices, discovery and connections being accepted leave no descriptors for callers.
MIN_DESCRIPTORS = 64


class _TrafficClass(msgspec.Struct):
    name: str
    importance: float | msgspec.UnsetType = msgspec.UNSET
    late_value: float | msgspec.UnsetType = msgspec.UNSET
    objective_ns: int | msgspec.UnsetType = msgspec.UNSET
    deadline_ns: int | msgspec.UnsetType = msgspec.UNSET
    semantics: str | msgspec.UnsetType = msgspec.UNSET
    group: str | msgspec.UnsetType = msgspec.UNSET
    memory_span_ns: int | msgspec.UnsetType = msgspec.UNSET


class _FamilyInfo(msgspec.Struct):
    self_no: int | msgspec.UnsetType = msgspec.UNSET
    topology: str | msgspec.UnsetType = msgspec.UNSET
    centre_advises: bool | msgspec.UnsetType = msgspec.UNSET
    circuits_by_class: list[int] | msgspec.UnsetType = msgspec.UNSET
    class_hold_ns: list[int] | msgspec.UnsetType = msgspec.UNSET
    skilled_pools: list[list[int]] | msgspec.UnsetType = msgspec.UNSET
    clear_wait_ns: int | msgspec.UnsetType = msgspec.UNSET


class _PlatformLimits(msgspec.Struct):
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


class _Settings(msgspec.Struct):
    """Types of the settings that `adapter.codec` reads, so that an error names the field with the wrong type."""

    classes: list[_TrafficClass]
    family_info: _FamilyInfo
    limits: _PlatformLimits
    rules: _Rules
    balancers: int | msgspec.UnsetType = msgspec.UNSET
    discovery: str | msgspec.UnsetType = msgspec.UNSET
    callers: _Callers | msgspec.UnsetType = msgspec.UNSET


class _ProcessLimits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: float = 0.0
    cores: float = 1.0


class _ConfigurationFile(msgspec.Struct):
    name: str
    listen: str
    seed: str
    settings: dict[str, Any]
    known: dict[str, Any]
    limits: _ProcessLimits
    board: str
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""


@dataclass(frozen=True, slots=True)
class Addresses:
    """Name of this call server, and the addresses (host:port) at which it listens, follows discovery and reaches other
    call servers. `peers_all` is the address that reaches all of them."""

    name: str
    listen: str
    discovery: str
    peer_listen: str
    peers: tuple[str, ...]
    peers_all: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that a call server needs to start. `server_started` is the first event of the decision module;
    `known_updates` are the discovery updates up to `revision`."""

    addresses: Addresses
    server_started: ServerStarted
    revision: int
    known_updates: tuple[board.Update, ...]
    max_descriptors: int
    max_open: int
    connect_timeout_us: int


def read_configuration(path: str) -> Configuration:
    """Read and validate the file. Raises InvalidSettings naming the file, the field and its value."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise InvalidSettings(path, [f"cannot be read: {error.strerror}"]) from None
    if len(raw) > MAX_FILE_BYTES:
        raise InvalidSettings(path, [f"larger than {MAX_FILE_BYTES} bytes"])
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidSettings(path, [f"not JSON: {error}"]) from None
    decoded = read_lenient(value, _ConfigurationFile, path)
    for field, address in (
        ("listen", decoded.listen),
        ("board", decoded.board),
        ("peer_listen", decoded.peer_listen),
        ("peers_all", decoded.peers_all),
        *((f"peers[{index}]", peer) for index, peer in enumerate(decoded.peers)),
    ):
        if address or field in ("listen", "board"):
            _check_address(path, field, address)
    try:
        seed = int(decoded.seed, 16)
    except ValueError:
        raise InvalidSettings(path, [f"seed = {short_repr(decoded.seed)}: not hexadecimal"]) from None
    if decoded.limits.sockets < MIN_DESCRIPTORS:
        raise InvalidSettings(
            path, [f"limits.sockets = {decoded.limits.sockets}: less than {MIN_DESCRIPTORS}"]
        )
    settings = read_lenient({"settings": decoded.settings}, _SettingsWrapper, path).settings
    server_started = read_server_started(seed, msgspec.to_builtins(settings))
    if not server_started.traffic_classes:
        raise InvalidSettings(path, ["settings.classes = []: at least one traffic class is required"])
    revision, known_updates = board.read_known_updates(decoded.known, path)
    for update in known_updates:
        for row in update.entries:
            _check_address(path, f"known: address of {row.id}", row.address)
    connect_timeout_ns = settings.limits.connect_timeout_ns
    max_open = settings.limits.max_open
    return Configuration(
        Addresses(
            decoded.name,
            decoded.listen,
            decoded.board,
            decoded.peer_listen,
            tuple(decoded.peers),
            decoded.peers_all,
        ),
        server_started,
        revision,
        tuple(known_updates),
        decoded.limits.sockets,
        max_open if isinstance(max_open, int) and max_open > 0 else 20_000,
        connect_timeout_ns // 1000
        if isinstance(connect_timeout_ns, int) and connect_timeout_ns > 0
        else 500_000,
    )


class _SettingsWrapper(msgspec.Struct):
    settings: _Settings


def _check_address(path: str, field: str, address: str) -> None:
    try:
        require_ip_address(split_address(address)[0])
    except ValueError as error:
        raise InvalidSettings(path, [f"{field} = {short_repr(address)}: {error}"]) from None
