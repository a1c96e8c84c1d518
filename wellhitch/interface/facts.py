"""What a call server is told once, at start, in small records. Times are whole microseconds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """One kind of dialogue; the agreed time and the outer limit count from its first try."""

    name: str
    value: float
    late_share: float
    target_latency: int
    deadline: int
    width: int
    hold: int
    pools: tuple[int, ...]
    repeatable: bool
    repeat_within: int


@dataclass(frozen=True, slots=True)
class ServerTopology:
    """Where this call server stands; `number` is None where the offices are pools, `advised` tells of a
    centre that names a tandem with each dialogue."""

    own_number: int | None
    peer_count: int
    must_subscribe: bool
    subscribe_timeout: int
    has_centre: bool = False


@dataclass(frozen=True, slots=True)
class Permissions:
    """What this deployment lets a call server do."""

    max_dials: int
    may_cancel: bool
    may_probe: bool
    may_message_peers: bool
    max_retry_after: int
    callers_mark_redials: bool


@dataclass(frozen=True, slots=True)
class ReleaseRule:
    """Waits that the rules on release and on draining state."""

    release_wait: int
    drain_grace: int


@dataclass(frozen=True, slots=True)
class ColdStartRule:
    """How a fresh processor starts and what makes it fall over."""

    start_share: float
    warm_after: int
    multiple: float
    window: int
