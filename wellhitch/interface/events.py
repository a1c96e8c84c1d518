"""What can happen to a call server. Ids appear here and nowhere further in."""

from dataclasses import dataclass, field
from enum import Enum, auto

from wellhitch.interface.facts import ColdStartRule, Permissions, ReleaseRule, ServerTopology, TrafficClass


class DialResult(Enum):
    """How a dial ended."""

    ENDED_WELL = auto()
    FAULT = auto()
    FULL = auto()
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()


class ReleaseCause(Enum):
    """The reason that came with an ending."""

    NONE = auto()
    NO_CIRCUIT = auto()
    TURNED_BACK = auto()
    FAR_PROCESSOR_FULL = auto()
    PROCESSOR_FULL = auto()
    LINES_BUSY = auto()


class OfficeState(Enum):
    """What the list says of an office."""

    READY = auto()
    DRAINING = auto()
    GONE = auto()


class ListKind(Enum):
    """Which kind of list came."""

    CHANGES = auto()
    FULL = auto()
    CACHED = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class OfficeReport:
    """Free circuits and size of the trunk group, then the processor's figures; None where not told."""

    free_circuits: int | None = None
    group_size: int | None = None
    utilisation: float | None = None
    queue_wait: int | None = None
    accept_rate_per_s: float | None = None
    load_reduction: float | None = None


@dataclass(frozen=True, slots=True)
class OfficeEntry:
    """One line of the list of offices; `started` is None for long ago."""

    office: str
    number: int
    state: OfficeState
    started_at: int | None


@dataclass(frozen=True, slots=True)
class ServerStarted:
    """The call server has started and knows nothing else yet."""

    seed: int
    traffic_classes: tuple[TrafficClass, ...]
    topology: ServerTopology
    permissions: Permissions
    release: ReleaseRule
    cold_start: ColdStartRule


@dataclass(frozen=True, slots=True)
class OfficeListReceived:
    """Discovery spoke."""

    kind: ListKind
    entries: tuple[OfficeEntry, ...]


@dataclass(frozen=True, slots=True)
class DialogueArrived:
    """A dialogue was handed over; it is owed one final answer within `left`. `favour`: times its use case's payoff,
    as the operators' hooks say."""

    dialogue: int
    traffic_class: str
    destination: int
    called_number: str | None
    time_left: int
    width: int
    advised_tandem: int | None
    is_redial: bool
    transit: bool
    value_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class DialogueEstablished:
    """A dial was answered: the dialogue stands."""

    dialogue: int
    dial: int
    setup_delay: int


@dataclass(frozen=True, slots=True)
class DialEnded:
    """A dial came to its end; `over` tells that the dialogue needs no answer any more."""

    dialogue: int
    dial: int
    office: str
    result: DialResult
    cause: ReleaseCause
    retry_after: int
    dialogue_over: bool
    report: OfficeReport


@dataclass(frozen=True, slots=True)
class OfficeReported:
    """A trunk group changed, or a probe came back."""

    office: str
    from_probe: bool
    answered: bool
    report: OfficeReport


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller left; the dialogue is over."""

    dialogue: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer is due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another call server sent a message."""

    peer: int
    text: bytes = field(default=b"")


Event = (
    ServerStarted
    | OfficeListReceived
    | DialogueArrived
    | DialogueEstablished
    | DialEnded
    | OfficeReported
    | CallerLeft
    | TimerFired
    | PeerMessageReceived
)
