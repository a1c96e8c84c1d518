"""Records of the call server's own: what it has taken, and each dial from the send to the last circuit freed.
Pure. The decisions keep their own records; these hold what carrying out needs and nothing is decided by them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf

from wellhitch.interface.events import DialResult, OfficeState, ReleaseCause
from wellhitch.net.transport import Timer
from wellhitch.trunk import frames


class DialState(Enum):
    """How far a dial is."""

    PROCESSING_SETUP = auto()  # through the own processor, not sent yet
    SENT = auto()  # sent, unanswered
    PROCESSING_ANSWER = auto()  # answered, the answer passes the own processor
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
"""Every way a dial may go; anything else is a defect of the server and raises."""


MAX_RECENT_IDS = (
    512  # ids of one link that are remembered: what is told twice comes within a few hundred frames
)


class RecentIds:
    """The last ids heard on a link. Guards rule 1: one that came again after its answer was taken for a new dialogue,
    and answered a second time."""

    def __init__(self) -> None:
        self._ids: dict[int, None] = {}

    def add(self, id: int) -> None:
        """This one was heard."""
        self._ids[id] = None
        if len(self._ids) > MAX_RECENT_IDS:
            del self._ids[next(iter(self._ids))]

    def __contains__(self, id: int) -> bool:
        return id in self._ids

    def __len__(self) -> int:
        return len(self._ids)


@dataclass(slots=True, eq=False)
class OfficeRecord:
    """One office as the call server reaches it."""

    id: str
    number: int
    address: str
    state: OfficeState
    started_at: int | None
    connected: bool = False
    boot: int = 0
    last_dial_ref: int = 0
    hook_mark: str = ""
    dials: dict[int, PendingDial] = field(default_factory=dict)
    processing: dict[int, PendingDial] = field(default_factory=dict)
    transits: dict[int, PendingCall] = field(default_factory=dict)
    recent_refs: RecentIds = field(default_factory=RecentIds)
    counts_differ_since: int | None = None

    def new_dial_ref(self) -> int:
        """A ref never used on this link before."""
        self.last_dial_ref += 1
        return self.last_dial_ref


@dataclass(slots=True, eq=False)
class PendingCall:
    """A dialogue taken: from a caller (`link` and its id there) or in transit (`home` and the ref there)."""

    id: int
    use_case: str
    destination: int
    called: str | None
    width: int
    origin: int
    origin_id: int
    connection: object | None = None
    caller_id: int = 0
    own_office: OfficeRecord | None = None
    own_office_ref: int = 0
    origin_dial: int = -1  # in transit: which dial of the origin's this is
    answer_owed: bool = True
    tenant: str | None = None
    tags: tuple[str, ...] = ()
    arrived_at: int = 0
    deadline: int = 0
    hooks_version: str = ""
    dials: list[PendingDial] = field(default_factory=list)
    last_blame: ReleaseCause = ReleaseCause.NONE

    @property
    def active_dial(self) -> PendingDial | None:
        """The dial that is out or stands, if any."""
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
        """Whether it stands."""
        return bool(self.dials) and self.dials[-1].state is DialState.ESTABLISHED


@dataclass(slots=True, eq=False)
class PendingDial:
    """One dial. `ref` names it on the office's link, `home_ref` on the own office's, once each was used."""

    call: PendingCall
    number: int
    office: OfficeRecord
    own_office: OfficeRecord
    sent_at: int
    deadline: int
    state: DialState = DialState.PROCESSING_SETUP
    dial_ref: int = 0
    own_office_ref: int = 0
    timer: Timer | None = None

    def move_to(self, state: DialState) -> None:
        """Go to the next step. Raises RuntimeError where the table does not allow it."""
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
"""What a PushBack's reason means to the decisions."""

OFFICE_STATES = {"ready": OfficeState.READY, "draining": OfficeState.DRAINING, "gone": OfficeState.GONE}


def upstream_reject_reason(call: PendingCall) -> str:
    """Reason told upstream when a dialogue in transit was not brought on: what its last dial met beyond."""
    if call.last_blame in (ReleaseCause.PROCESSOR_FULL, ReleaseCause.FAR_PROCESSOR_FULL):
        return "far_processor_full"
    return "lines_busy" if call.last_blame is ReleaseCause.LINES_BUSY else "turned_back"


def checked_load(load: frames.Load | None) -> tuple[float | None, int | None, float | None, float | None]:
    """A load report's figures, None where not told. Guards against what is no figure, or under nought: NaN is neither
    over a bound nor under it, and made a price nought even beside 'full'."""
    if load is None:
        return None, None, None, None
    shares = (load.utilisation, load.takes_per_s, load.hold_back)
    utilisation, takes, hold_back = (one if one is None or 0 <= one < inf else None for one in shares)
    wait = load.wait if load.wait is not None and 0 <= load.wait < 1 << 53 else None
    return utilisation, wait, takes, hold_back
