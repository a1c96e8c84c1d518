"""The schedule of a shutdown and what each phase refuses. Pure; times are in microseconds after SIGTERM.

SIGKILL comes at the earliest 0.7 s after the longest deadline (which counts for three seconds at most), measured from
SIGTERM. Callers keep opening connections for 0.4 s and use open ones until the end, so the server drains: it first
serves as before, then refuses new set-ups and closes each connection that has no pending set-up and no call. A
connection with established calls stays open so that their ends can be reported on it. Before SIGKILL can come, every
pending set-up has been answered and every connection closed.

An office sends the release of a call once more on its next connection only. One that is read while no caller can be
notified is lost, as the next process never receives it. Hence nothing is read from offices without a caller to notify,
and the process ends early once it has no caller connection left, whatever calls are established.
"""

from dataclasses import dataclass
from enum import Enum, auto

LONGEST_COUNTED_DEADLINE_US = 3_000_000
KILL_AFTER_DEADLINE_US = 700_000
# Callers treat the server as running for at most 0.6 s after the signal.
SERVE_US = 700_000
# From the last answers to SIGKILL: a turn of a busy loop, the time callers take to read, and set-ups sent while their
# connection closes.
ANSWER_BEFORE_KILL_US = 300_000
END_BEFORE_KILL_US = 120_000


class Phase(Enum):
    """The phase of a shutdown."""

    SERVING = auto()  # serves as before, but health checks already fail
    DRAINING = auto()  # refuses new set-ups and closes unused connections
    CLOSING = auto()  # everything is answered and every connection is being closed


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When the phases begin, and the latest time at which the process ends."""

    drain_at: int
    close_at: int
    end_at: int

    def phase(self, since_signal: int) -> Phase:
        """The phase at a time after SIGTERM."""
        if since_signal >= self.close_at:
            return Phase.CLOSING
        return Phase.DRAINING if since_signal >= self.drain_at else Phase.SERVING


def shutdown_schedule(longest_deadline: int) -> ShutdownSchedule:
    """The schedule for the longest deadline of any traffic class; 0 where no deadline is configured."""
    counted = min(longest_deadline or LONGEST_COUNTED_DEADLINE_US, LONGEST_COUNTED_DEADLINE_US)
    kill_at = counted + KILL_AFTER_DEADLINE_US
    close_at = kill_at - ANSWER_BEFORE_KILL_US
    return ShutdownSchedule(min(SERVE_US, close_at), close_at, kill_at - END_BEFORE_KILL_US)


def nothing_left(pending: int, connections: int) -> bool:
    """Whether a draining server may close at once: no pending set-up and no caller connection is left. The ends of
    established calls can then be told by the next process only."""
    return not (pending or connections)
