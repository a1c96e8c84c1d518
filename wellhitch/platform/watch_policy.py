"""When the discovery client reconnects, and which updates it applies. Pure; times in seconds.

A watch is one open connection to discovery. A silent watch stays open when another is opened: discovery may only be
slow or overloaded, and reconnecting each time an answer is late would never let it answer. The first watch that
delivers data is kept and the others are closed.

With three watches, the oldest waits for an answer however late, and the other two replace each other: so discovery that
needs many seconds is heard, and so is one that answers within a few on new connections alone.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

# Discovery sends an empty frame every second. The platform counts an update as received four seconds after it was made,
# whether or not an open watch delivered it.
SILENCE_S = 1.8
# The timeout doubles while discovery stays silent. An update counts as received six seconds after discovery is
# reachable again, which leaves time to connect and receive an answer.
MAX_SILENCE_S = 3.6
MAX_WATCHES = 3
# A watch that was silent for so long is closed before any other.
MAX_WAIT_S = 30.0
# An update that a broken watch missed counts as received two seconds after the break.
RETRY_S = 0.05
MAX_RETRY_S = 0.5


@dataclass(slots=True)
class WatchPolicy:
    """The delays before the next connection to discovery; data from discovery resets them."""

    silence_s: float = SILENCE_S
    retry_s: float = RETRY_S

    def answered(self) -> None:
        """Reset the delays: discovery sent something."""
        self.silence_s, self.retry_s = SILENCE_S, RETRY_S

    def back_off_after_silence(self) -> None:
        """Double the silence timeout: nothing was received for `silence_s`."""
        self.silence_s = min(2 * self.silence_s, MAX_SILENCE_S)

    def next_retry(self) -> float:
        """How long to wait after a watch broke or could not be opened; each call doubles the next delay."""
        wait, self.retry_s = self.retry_s, min(2 * self.retry_s, MAX_RETRY_S)
        return wait


def watch_to_close(silent_s: Sequence[float]) -> int | None:
    """Which watch gives way to a new one: its index, given how long each has been silent, the oldest first. None while
    there is room."""
    if len(silent_s) < MAX_WATCHES:
        return None
    return 0 if silent_s[0] >= MAX_WAIT_S else 1


class Order(Enum):
    """How an update's revision relates to the last one held."""

    NEXT = auto()
    HELD_ALREADY = auto()
    AFTER_GAP = auto()


@dataclass(slots=True)
class Revisions:
    """The last revision held. A revision after a gap is requested again once, then accepted as it comes."""

    held: int
    _requested_again: int | None = field(default=None)

    def order(self, revision: int, whole: bool, empty: bool) -> Order:
        """Compare an update with the revision held. An empty update only names the latest revision."""
        if revision <= self.held:
            return Order.HELD_ALREADY
        skips = empty or (revision > self.held + 1 and not whole)
        if skips and self._requested_again != revision:
            self._requested_again = revision
            return Order.AFTER_GAP
        return Order.HELD_ALREADY if empty else Order.NEXT

    def accept(self, revision: int) -> None:
        """Record that an update was applied."""
        self.held, self._requested_again = revision, None
