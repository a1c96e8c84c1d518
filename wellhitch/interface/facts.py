"""Configuration that a call server receives once, at its start. Times are whole microseconds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """One class of dialogues. A dialogue takes `width` circuits and usually lasts for `hold`. The target latency and
    the deadline count from the first try of a dialogue. An answer after the target latency is worth `late_share` of
    the value. A repeatable class may be dialled again within `repeat_within` of the first dial, or at any time if
    that is 0."""

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
    """Position of this call server among the others. `own_number` is None where the offices are pools. With
    `has_centre`, a centre advises a tandem for each dialogue."""

    own_number: int | None
    peer_count: int
    must_subscribe: bool
    subscribe_timeout: int
    has_centre: bool = False


@dataclass(frozen=True, slots=True)
class Permissions:
    """What this deployment permits a call server to do."""

    max_dials: int
    may_cancel: bool
    may_probe: bool
    may_message_peers: bool
    max_retry_after: int
    callers_mark_redials: bool


@dataclass(frozen=True, slots=True)
class ReleaseRule:
    """`release_wait`: time after a dial without a confirmed end until its circuits are free and the dialogue may be
    dialled again. `drain_grace`: time after which nothing new may reach a draining office."""

    release_wait: int
    drain_grace: int


@dataclass(frozen=True, slots=True)
class ColdStartRule:
    """A processor starts at `start_share` of its capacity and is warm after `warm_after`. Until then, set-ups for
    more than `multiple` times its current capacity within `window` make it fail."""

    start_share: float
    warm_after: int
    multiple: float
    window: int
