"""Events observed by the stand-ins of a trial. The checker reads these records and the call servers' logs only."""

from dataclasses import dataclass, field
from enum import Enum, auto


class EventKind(Enum):
    """Kind of an observed event."""

    REQUEST_SENT = auto()  # by a client: the set-up's last byte was written
    ANSWERED = auto()  # by a client: a final answer; `status` holds it
    CANCELLED = auto()  # by a client: it cancelled the set-up
    CONNECTION_ENDED = auto()  # by a client: the connection of an unanswered set-up ended
    CUT_OFF = auto()  # by the clients: from now on nothing reaches them or the call server
    RESTORED = auto()  # by the clients: everything held back meanwhile arrives
    CONNECTED = auto()  # by the clients: their first connection is open
    DISCONNECTED = auto()  # by the clients: their last connection has ended
    CALL_REPORTED = auto()  # by a client: it reported a call established before a restart of the call server
    CLIENT_RELEASED = auto()  # by a client: it ended the call itself
    RELEASE_RECEIVED = auto()  # by a client: a release arrived
    SETUP_RECEIVED = auto()  # by an endpoint: a whole set-up arrived
    ATTEMPT_ENDED = auto()  # by an endpoint: no usable answer was sent; `status`: the cause, if any
    ESTABLISHED = auto()  # by an endpoint: the answer was written
    CALL_ENDED = auto()  # by an endpoint: the call ended on its side
    RELEASE_SENT = auto()  # by an endpoint: its release was written to an open connection
    RELEASED_BY_SERVER = auto()  # by an endpoint: the call server's release arrived
    ENDPOINT_RESTARTED = auto()  # by an endpoint: its process runs again and has lost its former calls
    STATE_REPORTED = auto()  # by discovery: from `time_s` on, the server must know the state `detail`
    SERVER_STARTED = auto()  # by the trial: a call server process was started
    SERVER_READY = auto()  # it answered an OPTIONS request
    SERVER_TERMINATED = auto()  # SIGTERM was sent
    SERVER_ENDED = auto()  # it exited without SIGKILL; `status` holds the exit code
    SERVER_KILLED = auto()  # SIGKILL was sent


@dataclass(frozen=True, slots=True)
class Record:
    """One observed event; `time_s` is on the event loop's clock. `server` is the call server concerned."""

    time_s: float
    kind: EventKind
    call_id: str = ""
    server: str = ""
    endpoint: str = ""
    status: int = 0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Lag:
    """The event loop of the stand-ins ran late by `delay_s`, as noticed at `time_s`."""

    time_s: float
    delay_s: float


@dataclass(slots=True)
class Records:
    """All observed events of a trial, and the delays of the stand-ins' event loop."""

    entries: list[Record] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)

    def add(self, record: Record) -> None:
        """Append one event."""
        self.entries.append(record)

    def max_lag_s(self, start_s: float, end_s: float) -> float:
        """The longest delay of the event loop that overlaps a period, in seconds; 0 if there was none."""
        delays_s = [
            lag.delay_s for lag in self.lags if start_s <= lag.time_s and lag.time_s - lag.delay_s <= end_s
        ]
        return max(delays_s, default=0.0)

    def of_kind(self, *kinds: EventKind) -> list[Record]:
        """The events of the given kinds, in the order of recording."""
        return [record for record in self.entries if record.kind in kinds]
