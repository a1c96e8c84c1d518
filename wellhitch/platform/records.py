"""Records of the platform's call server, by how long they live: a dial, a dialogue, a call that stands, an office.
Pure. Nothing is decided by them; the decisions keep their own."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, auto

from wellhitch.interface.events import OfficeState
from wellhitch.net.seam import Timer
from wellhitch.platform.liveness import EndpointLiveness

REMEMBERED_US = 10_000_000  # that a ref given up is remembered at its office: longer than any deadline here
MOST_REMEMBERED = 4096  # refs given up at one office, and releases of calls not known


class Step(Enum):
    """How far a dial is."""

    OUT = auto()  # handed to the office's links, unanswered
    OVER = auto()


@dataclass(slots=True, eq=False)
class OfficeEnd:
    """One office under its id: links, dials and calls belong to that, never to an address."""

    id: str
    number: int
    address: str
    standing: OfficeState
    started: int | None
    dials: dict[str, DialOut] = field(default_factory=dict)
    calls: dict[str, Call] = field(default_factory=dict)
    given_up: dict[str, int] = field(default_factory=dict)  # refs given up here, and when
    released: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # calls ended from here: cause and when
    cut: Timer | None = None
    liveness: EndpointLiveness = field(kw_only=True)

    def remember_released(self, ref: str, cause: int, now: int) -> None:
        """An established call was ended from here; its release may be lost with the connection."""
        self.released[ref] = (cause, now)
        while self.released:
            first = next(iter(self.released))
            if len(self.released) <= MOST_REMEMBERED and now - self.released[first][1] <= REMEMBERED_US:
                break
            del self.released[first]

    def remember_given_up(self, ref: str, now: int) -> None:
        """A ref was given up here; a late answer or release of it is then known for one."""
        self.given_up.pop(ref, None)
        self.given_up[ref] = now
        while self.given_up:
            first = next(iter(self.given_up))
            if len(self.given_up) <= MOST_REMEMBERED and now - self.given_up[first] <= REMEMBERED_US:
                break
            del self.given_up[first]


@dataclass(slots=True, eq=False)
class Taken:
    """A dialogue from its set-up to its answer. `echo`: the header lines that each response repeats."""

    id: int
    ref: str
    link: Hashable
    echo: str
    use_case: str
    key: str
    description: str
    destination: int
    transit: bool
    out: DialOut | None = None
    dials: int = 0


@dataclass(slots=True, eq=False)
class DialOut:
    """One dial. `link`: the office's link that it went out on; None while it waits for one."""

    taken: Taken
    number: int
    office: OfficeEnd
    sent: int
    step: Step = Step.OUT
    timer: Timer | None = None
    link: object | None = None

    def end(self) -> None:
        """It is out no more. Raises RuntimeError the second time: a defect of the server."""
        if self.step is Step.OVER:
            raise RuntimeError(f"dial {self.taken.ref}.{self.number} is over already")
        self.step = Step.OVER


@dataclass(slots=True, eq=False)
class Call:
    """A call that stands, established here at `since`. `dialogue` and `dial` as the decisions know them; None for one
    from before a restart."""

    ref: str
    office: OfficeEnd
    link: Hashable
    dialogue: int | None
    dial: int
    since: int
