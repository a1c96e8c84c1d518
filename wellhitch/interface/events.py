"""Events that a call server receives. They name dialogues and offices by id. Times are whole microseconds."""

from dataclasses import dataclass, field
from enum import Enum, auto

from wellhitch.interface.facts import ColdStartRule, Permissions, ReleaseRule, ServerTopology, TrafficClass


class DialResult(Enum):
    """How a dial ended. The names, in lower case, are counters (`ending.fault`) and values in the log."""

    ENDED_WELL = auto()
    FAULT = auto()
    FULL = auto()
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()


class ReleaseCause(Enum):
    """The reason given with the end of a dial. The names, in lower case, are counters (`blame.no_circuit`) and values
    in the log."""

    NONE = auto()
    NO_CIRCUIT = auto()
    TURNED_BACK = auto()
    FAR_PROCESSOR_FULL = auto()
    PROCESSOR_FULL = auto()
    LINES_BUSY = auto()


class OfficeState(Enum):
    """State of an office in the office list. The names, in lower case, appear in the status output and in hooks."""

    READY = auto()
    DRAINING = auto()
    GONE = auto()


class ListKind(Enum):
    """Kind of an office list: changes only, the full list, a list cached before the start, or a failed request."""

    CHANGES = auto()
    FULL = auto()
    CACHED = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class OfficeReport:
    """State that an office reports: the trunk group's free circuits and size, then the processor's figures. A field
    is None where the office does not report it. `load_reduction` is the share of their load that senders should hold
    back."""

    free_circuits: int | None = None
    group_size: int | None = None
    utilisation: float | None = None
    queue_wait: int | None = None
    accept_rate_per_s: float | None = None
    load_reduction: float | None = None


@dataclass(frozen=True, slots=True)
class OfficeEntry:
    """One entry of the office list. `started_at` is None for an office that started long ago."""

    office: str
    number: int
    state: OfficeState
    started_at: int | None


@dataclass(frozen=True, slots=True)
class ServerStarted:
    """The call server has started. Until the first office list arrives, this configuration is all that it knows."""

    seed: int
    traffic_classes: tuple[TrafficClass, ...]
    topology: ServerTopology
    permissions: Permissions
    release: ReleaseRule
    cold_start: ColdStartRule


@dataclass(frozen=True, slots=True)
class OfficeListReceived:
    """An update of the office list arrived from discovery, or a request for it failed."""

    kind: ListKind
    entries: tuple[OfficeEntry, ...]


@dataclass(frozen=True, slots=True)
class DialogueArrived:
    """A caller or another exchange handed over a dialogue. It must get one final answer within `time_left`. The
    operators' hooks set `value_factor`, by which the value of its traffic class is multiplied. A dialogue that was
    dialled before, cancelled, and comes again has `not_before`, the earliest time of its next dial, and
    `may_have_run_at`, when the first dial that may have run it was sent."""

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
    not_before: int = 0
    may_have_run_at: int | None = None


@dataclass(frozen=True, slots=True)
class DialogueEstablished:
    """A dial was answered, and the dialogue is established."""

    dialogue: int
    dial: int
    setup_delay: int


@dataclass(frozen=True, slots=True)
class DialEnded:
    """A dial ended. With `dialogue_over`, the dialogue needs no answer any more."""

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
    """A trunk group changed, or a probe was answered or failed."""

    office: str
    from_probe: bool
    answered: bool
    report: OfficeReport


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller left before an answer, and the dialogue is over."""

    dialogue: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer started with this token is due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another call server arrived."""

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
