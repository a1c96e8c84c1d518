"""Records of the call server: accepted dialogues, and each dial from the send until its last circuit is free.

Pure. The decision module keeps records of its own; these hold what is needed to execute its actions, and no decision
depends on them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf

from wellhitch.interface.events import DialResult, OfficeState, ReleaseCause
from wellhitch.net.transport import Timer
from wellhitch.trunk import frames


class DialState(Enum):
    """State of a dial."""

    PROCESSING_SETUP = auto()  # queued at the own processor, not sent yet
    SENT = auto()  # sent, unanswered
    PROCESSING_ANSWER = auto()  # answered; the answer is queued at the own processor
    ESTABLISHED = auto()
    RELEASING = auto()  # over; circuits held until the far end confirms or the release wait is over
    FREE = auto()


ALLOWED_TRANSITIONS: dict[DialState, tuple[DialState, ...]] = {
    DialState.PROCESSING_SETUP: (DialState.SENT, DialState.FREE),
    DialState.SENT: (DialState.PROCESSING_ANSWER, DialState.RELEASING, DialState.FREE),
    DialState.PROCESSING_ANSWER: (DialState.ESTABLISHED, DialState.RELEASING, DialState.FREE),
    DialState.ESTABLISHED: (DialState.RELEASING, DialState.FREE),
    DialState.RELEASING: (DialState.FREE,),
    DialState.FREE: (),
}
"""All permitted state transitions of a dial; any other is a defect of the server and raises."""


# Ids remembered for each connection: a duplicate arrives within a few hundred frames.
MAX_RECENT_IDS = 512


class RecentIds:
    """The last ids received on a connection. Guards rule 1: an id that came again after its answer was taken for a new
    dialogue, which was answered a second time."""

    def __init__(self) -> None:
        self._ids: dict[int, None] = {}

    def add(self, id: int) -> None:
        """Remember an id, and forget the oldest one over the limit."""
        self._ids[id] = None
        if len(self._ids) > MAX_RECENT_IDS:
            del self._ids[next(iter(self._ids))]

    def __contains__(self, id: int) -> bool:
        return id in self._ids

    def __len__(self) -> int:
        return len(self._ids)


@dataclass(slots=True, eq=False)
class OfficeRecord:
    """One office and the state of its connection."""

    id: str
    number: int
    address: str
    state: OfficeState
    started_at: int | None
    connected: bool = False
    boot_id: int = 0
    last_dial_ref: int = 0
    hook_mark: str = ""
    dials: dict[int, PendingDial] = field(default_factory=dict)
    processing: dict[int, PendingDial] = field(default_factory=dict)
    transits: dict[int, PendingCall] = field(default_factory=dict)
    recent_refs: RecentIds = field(default_factory=RecentIds)
    counts_differ_since: int | None = None

    def new_dial_ref(self) -> int:
        """A reference that was never used on this connection before."""
        self.last_dial_ref += 1
        return self.last_dial_ref


@dataclass(slots=True, eq=False)
class PendingCall:
    """An accepted dialogue: from a caller (`connection` and the id on it), or in transit (`own_office` and the
    reference on its connection)."""

    id: int
    use_case: str
    destination: int
    called: str | None
    width: int
    origin: int
    origin_dialogue: int
    connection: object | None = None
    caller_id: int = 0
    own_office: OfficeRecord | None = None
    own_office_ref: int = 0
    origin_dial: int = -1  # in transit: number of the dial at the origin
    answer_owed: bool = True
    tenant: str | None = None
    tags: tuple[str, ...] = ()
    arrived_at: int = 0
    deadline: int = 0
    hooks_version: str = ""
    dials: list[PendingDial] = field(default_factory=list)
    last_cause: ReleaseCause = ReleaseCause.NONE

    @property
    def active_dial(self) -> PendingDial | None:
        """The dial that is pending or established, if any."""
        last = self.dials[-1] if self.dials else None
        return (
            last
            if last
            and last.state
            in (
                DialState.PROCESSING_SETUP,
                DialState.SENT,
                DialState.PROCESSING_ANSWER,
                DialState.ESTABLISHED,
            )
            else None
        )

    @property
    def established(self) -> bool:
        """Whether the dialogue is established."""
        return bool(self.dials) and self.dials[-1].state is DialState.ESTABLISHED


@dataclass(slots=True, eq=False)
class PendingDial:
    """One dial. `dial_ref` identifies it on the connection to the office, `own_office_ref` on that to the own office;
    each is zero until it is used."""

    call: PendingCall
    number: int
    office: OfficeRecord
    own_office: OfficeRecord
    started_at: int
    deadline: int
    state: DialState = DialState.PROCESSING_SETUP
    dial_ref: int = 0
    own_office_ref: int = 0
    timer: Timer | None = None

    def move_to(self, state: DialState) -> None:
        """Change the state. Raises RuntimeError for a transition that the table does not permit."""
        if state not in ALLOWED_TRANSITIONS[self.state]:
            raise RuntimeError(f"dial {self.call.id}.{self.number}: {self.state.name} to {state.name}")
        self.state = state


REJECT_OUTCOMES: dict[str, tuple[DialResult, ReleaseCause]] = {
    "no_circuit": (DialResult.FULL, ReleaseCause.NO_CIRCUIT),
    "turned_back": (DialResult.FULL, ReleaseCause.TURNED_BACK),
    "far_processor_full": (DialResult.FULL, ReleaseCause.FAR_PROCESSOR_FULL),
    "processor_full": (DialResult.FULL, ReleaseCause.PROCESSOR_FULL),
    "lines_busy": (DialResult.FAULT, ReleaseCause.LINES_BUSY),
    "fault": (DialResult.FAULT, ReleaseCause.NONE),
    "unreachable": (DialResult.UNREACHABLE, ReleaseCause.NONE),
}
"""Result and cause of a dial, as the decision module sees them, for each reason of a Reject frame."""

OFFICE_STATES = {"ready": OfficeState.READY, "draining": OfficeState.DRAINING, "gone": OfficeState.GONE}


def upstream_reject_reason(call: PendingCall) -> str:
    """Reason to send upstream when a dialogue in transit was not established: the cause of its last dial."""
    if call.last_cause in (ReleaseCause.PROCESSOR_FULL, ReleaseCause.FAR_PROCESSOR_FULL):
        return "far_processor_full"
    return "lines_busy" if call.last_cause is ReleaseCause.LINES_BUSY else "turned_back"


def checked_load(load: frames.Load | None) -> tuple[float | None, int | None, float | None, float | None]:
    """The values of a load report, None for those that are missing or invalid. Guards against negative and non-finite
    values: NaN compares as neither above nor below a bound, and made the price of a full office zero."""
    if load is None:
        return None, None, None, None
    values = (load.utilisation, load.takes_per_s, load.hold_back)
    utilisation, takes_per_s, hold_back = (
        value if value is None or 0 <= value < inf else None for value in values
    )
    wait = load.wait if load.wait is not None and 0 <= load.wait < 1 << 53 else None
    return utilisation, wait, takes_per_s, hold_back
