"""Records of the platform's call server: a dial, a pending call, an established call and an office.

They hold no decisions; the decision module keeps its own state."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, auto

from wellhitch.interface.events import OfficeState
from wellhitch.net.transport import Timer
from wellhitch.platform.liveness import OfficeLiveness

REMEMBERED_US = 10_000_000  # releases at offices, and of unknown calls
MAX_REMEMBERED = 4096  # such releases, of one office and of unknown calls


@dataclass(slots=True)
class OfficeRelease:
    """The release of a call or dial that this server sent to an office. `connection` is the one on which it was
    written, None while it has yet to be written, also for another time after that connection was lost. A `dial_only`
    was released on its own connection, with which the office gives it up too."""

    cause: int
    released_at: int
    dial_only: bool = False
    connection: Hashable | None = None
    written_at: int = 0


class DialState(Enum):
    """Progress of one dial."""

    PENDING = auto()  # handed to the office's connections, not answered
    ENDED = auto()


@dataclass(slots=True, eq=False)
class OfficeRecord:
    """One office, identified by its id and not its address. Connections, dials and calls belong to the record."""

    id: str
    number: int
    address: str
    state: OfficeState
    started_at: int | None
    dials: dict[str, PendingDial] = field(default_factory=dict)
    calls: dict[str, EstablishedCall] = field(default_factory=dict)
    # What this server released at the office, by Call-ID: established calls, and dials that may have become calls.
    released: dict[str, OfficeRelease] = field(default_factory=dict)
    # When bytes last arrived on each connection that is up.
    received_at: dict[Hashable, int] = field(default_factory=dict)
    cut_timer: Timer | None = None
    liveness: OfficeLiveness = field(kw_only=True)

    @property
    def has_unsent_releases(self) -> bool:
        """Whether a release waits for a connection."""
        return any(release.connection is None for release in self.released.values())

    def remember_released(self, call_id: str, release: OfficeRelease, now: int) -> None:
        """Remember a release, which may be lost with its connection and is then sent again."""
        self.released.pop(call_id, None)
        self.released[call_id] = release
        while self.released:
            oldest = next(iter(self.released))
            if (
                len(self.released) <= MAX_REMEMBERED
                and now - self.released[oldest].released_at <= REMEMBERED_US
            ):
                break
            del self.released[oldest]


@dataclass(slots=True, eq=False)
class PendingCall:
    """An accepted set-up until its final answer. `echo` holds the header lines that each response repeats."""

    id: int
    call_id: str
    connection: Hashable
    echo: str
    traffic_class: str
    called_number: str
    description: str
    destination: int
    transit: bool
    dial: PendingDial | None = None
    dial_count: int = 0
    # Those that this server ended, in addition to `EndedDials`, which may have forgotten them.
    ended_dials: list[PendingDial] = field(default_factory=list)

    @property
    def size_bytes(self) -> int:
        """How much of what its caller sent is kept until the answer."""
        return len(self.echo) + len(self.description)


@dataclass(slots=True, eq=False)
class PendingDial:
    """One attempt to set a call up at an office. `connection` is the office's connection on which the set-up was sent;
    None while it waits for one. It is none of `earlier_connections`, on which lines about earlier dials of the same
    Call-ID may still arrive."""

    call: PendingCall
    number: int
    office: OfficeRecord
    started_at: int
    state: DialState = DialState.PENDING
    timer: Timer | None = None
    connection: object | None = None
    earlier_connections: frozenset[Hashable] = frozenset()

    def end(self) -> None:
        """Mark the dial as ended. Raises RuntimeError if it has ended already, which is a defect of the server."""
        if self.state is DialState.ENDED:
            raise RuntimeError(f"dial {self.call.call_id}.{self.number} has already ended")
        self.state = DialState.ENDED


@dataclass(slots=True, eq=False)
class EstablishedCall:
    """A call that was answered, at `established_at`. `dialogue` and `dial_number` identify its dial to the decision
    module; `dialogue` is None for a call from before a restart. `connection` is the caller's, None once that of a call
    from before a restart has closed. `office_connection` is
    the one of its set-up, None for a call from before a restart; `earlier_connections` are as in `PendingDial`."""

    call_id: str
    office: OfficeRecord
    connection: Hashable
    dialogue: int | None
    dial_number: int
    established_at: int
    office_connection: Hashable = None
    earlier_connections: frozenset[Hashable] = frozenset()
