"""Records of the call server's own: what it has taken, and each dial from the send to the last circuit freed.
Pure. The decisions keep their own records; these hold what carrying out needs and nothing is decided by them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf

from wellhitch.interface.events import DialResult, OfficeState, ReleaseCause
from wellhitch.net.transport import Timer
from wellhitch.trunk import frames


class Step(Enum):
    """How far a dial is."""

    PASSING = auto()  # through the own processor, not sent yet
    OUT = auto()  # sent, unanswered
    ANSWERING = auto()  # answered, the answer passes the own processor
    STANDS = auto()
    FREEING = auto()  # over; circuits held until the far end confirms or the release wait is over
    FREE = auto()


LEGAL: dict[Step, tuple[Step, ...]] = {
    Step.PASSING: (Step.OUT, Step.FREE),
    Step.OUT: (Step.ANSWERING, Step.FREEING, Step.FREE),
    Step.ANSWERING: (Step.STANDS, Step.FREEING, Step.FREE),
    Step.STANDS: (Step.FREEING, Step.FREE),
    Step.FREEING: (Step.FREE,),
    Step.FREE: (),
}
"""Every way a dial may go; anything else is a defect of the server and raises."""


MOST_RECENT = 512  # ids of one link that are remembered: what is told twice comes within a few hundred frames


class Recent:
    """The last ids heard on a link. Guards rule 1: one that came again after its answer was taken for a new dialogue,
    and answered a second time."""

    def __init__(self) -> None:
        self._ids: dict[int, None] = {}

    def add(self, one: int) -> None:
        """This one was heard."""
        self._ids[one] = None
        if len(self._ids) > MOST_RECENT:
            del self._ids[next(iter(self._ids))]

    def __contains__(self, one: int) -> bool:
        return one in self._ids

    def __len__(self) -> int:
        return len(self._ids)


@dataclass(slots=True, eq=False)
class OfficeEnd:
    """One office as the call server reaches it."""

    id: str
    number: int
    address: str
    standing: OfficeState
    started: int | None
    up: bool = False
    boot: int = 0
    next_ref: int = 0
    mark: str = ""
    dials: dict[int, DialOut] = field(default_factory=dict)
    passing: dict[int, DialOut] = field(default_factory=dict)
    transits: dict[int, Taken] = field(default_factory=dict)
    heard: Recent = field(default_factory=Recent)
    differs_since: int | None = None

    def ref(self) -> int:
        """A ref never used on this link before."""
        self.next_ref += 1
        return self.next_ref


@dataclass(slots=True, eq=False)
class Taken:
    """A dialogue taken: from a caller (`link` and its id there) or in transit (`home` and the ref there)."""

    id: int
    use_case: str
    destination: int
    called: str | None
    width: int
    origin: int
    origin_id: int
    link: object | None = None
    caller_id: int = 0
    home: OfficeEnd | None = None
    home_ref: int = 0
    asked_dial: int = -1  # in transit: which dial of the origin's this is
    owed: bool = True
    tenant: str | None = None
    tags: tuple[str, ...] = ()
    came: int = 0
    until: int = 0
    version: str = ""
    dials: list[DialOut] = field(default_factory=list)
    last_blame: ReleaseCause = ReleaseCause.NONE

    @property
    def active(self) -> DialOut | None:
        """The dial that is out or stands, if any."""
        last = self.dials[-1] if self.dials else None
        return last if last and last.step in (Step.PASSING, Step.OUT, Step.ANSWERING, Step.STANDS) else None

    @property
    def stands(self) -> bool:
        """Whether it stands."""
        return bool(self.dials) and self.dials[-1].step is Step.STANDS


@dataclass(slots=True, eq=False)
class DialOut:
    """One dial. `ref` names it on the office's link, `home_ref` on the own office's, once each was used."""

    taken: Taken
    number: int
    office: OfficeEnd
    home: OfficeEnd
    sent: int
    until: int
    step: Step = Step.PASSING
    ref: int = 0
    home_ref: int = 0
    timer: Timer | None = None

    def move(self, step: Step) -> None:
        """Go to the next step. Raises RuntimeError where the table does not allow it."""
        if step not in LEGAL[self.step]:
            raise RuntimeError(f"dial {self.taken.id}.{self.number}: {self.step.name} to {step.name}")
        self.step = step


ENDINGS: dict[str, tuple[DialResult, ReleaseCause]] = {
    "no_circuit": (DialResult.FULL, ReleaseCause.NO_CIRCUIT),
    "turned_back": (DialResult.FULL, ReleaseCause.TURNED_BACK),
    "far_processor_full": (DialResult.FULL, ReleaseCause.FAR_PROCESSOR_FULL),
    "processor_full": (DialResult.FULL, ReleaseCause.PROCESSOR_FULL),
    "lines_busy": (DialResult.FAULT, ReleaseCause.LINES_BUSY),
    "fault": (DialResult.FAULT, ReleaseCause.NONE),
    "unreachable": (DialResult.UNREACHABLE, ReleaseCause.NONE),
}
"""What a PushBack's reason means to the decisions."""

STANDINGS = {"ready": OfficeState.READY, "draining": OfficeState.DRAINING, "gone": OfficeState.GONE}


def turned_back_reason(taken: Taken) -> str:
    """Reason told upstream when a dialogue in transit was not brought on: what its last dial met beyond."""
    if taken.last_blame in (ReleaseCause.PROCESSOR_FULL, ReleaseCause.FAR_PROCESSOR_FULL):
        return "far_processor_full"
    return "lines_busy" if taken.last_blame is ReleaseCause.LINES_BUSY else "turned_back"


def load_of(load: frames.Load | None) -> tuple[float | None, int | None, float | None, float | None]:
    """A load report's figures, None where not told. Guards against what is no figure, or under nought: NaN is neither
    over a bound nor under it, and made a price nought even beside 'full'."""
    if load is None:
        return None, None, None, None
    shares = (load.utilisation, load.takes_per_s, load.hold_back)
    utilisation, takes, hold_back = (one if one is None or 0 <= one < inf else None for one in shares)
    wait = load.wait if load.wait is not None and 0 <= load.wait < 1 << 53 else None
    return utilisation, wait, takes, hold_back
