"""Dials and calls at offices that this server ended, and which of them a line from an office is about. Pure.

A Call-ID passes to the office unchanged. All dials of a call at one office share it, as do those of a call in transit
that the exchange before this one cancelled and set up again, and a line from the office names the Call-ID alone. Only
the connection tells whose line it is: an office sends what concerns a set-up on the connection of that set-up, and
cancels the set-up when that connection closes. Hence no set-up goes out on a connection on which the office may still
send a line about an earlier one with the same Call-ID.
"""

from collections.abc import Callable, Collection, Hashable
from dataclasses import dataclass
from enum import Enum, auto

# From the end of a dial until its office has read the release and written its last line about it.
LATE_END_US = 500_000
# At all offices together. Callers cancel a few set-ups a second; bad clients could fill the memory otherwise.
MAX_ENDED_DIALS = 16_384


class LineOwner(Enum):
    """Which dial of a Call-ID a line from an office is about."""

    CURRENT = auto()  # the one that is pending, or whose call is established
    EARLIER = auto()  # one that this server ended
    UNCERTAIN = auto()


def line_owner(
    arrived_on: Hashable,
    sent_on: Hashable,
    earlier: Collection[Hashable],
    is_open: Callable[[Hashable], bool],
    may_end_call: bool,
    earlier_may_end: bool = True,
) -> LineOwner:
    """Which dial a line is about that arrived on one connection, where the current dial was sent on `sent_on` and
    the `earlier` ones on others.

    `may_end_call`: the line may be the release of a call that was answered, and not only an answer or a refusal. The
    release of a call comes on any connection once the office takes the one of its set-up for closed, which this server
    may not do yet: after a network interruption, for instance. `earlier_may_end`: an earlier dial was ended so
    recently that its end may still arrive."""
    if not earlier:
        return LineOwner.CURRENT
    if arrived_on == sent_on:
        earlier_call_possible = may_end_call and not all(map(is_open, earlier))
        return LineOwner.UNCERTAIN if earlier_call_possible else LineOwner.CURRENT
    if arrived_on in earlier and is_open(sent_on) and (earlier_may_end or not may_end_call):
        return LineOwner.EARLIER
    return LineOwner.UNCERTAIN


@dataclass(slots=True)
class _Entry:
    """One Call-ID at one office: when its latest dial or call was ended, and the connections on which lines about it
    may still arrive, each once."""

    ended_at: int
    connections: tuple[Hashable, ...]


class EndedDials:
    """The Call-IDs whose dial or call at an office this server ended a short time ago."""

    def __init__(self, retention_us: int, limit: int = MAX_ENDED_DIALS) -> None:
        self._retention_us, self._limit = retention_us, limit
        self._entries: dict[tuple[str, str], _Entry] = {}  # by office and Call-ID, the latest last

    def __len__(self) -> int:
        return len(self._entries)

    def contains(self, office_id: str, call_id: str) -> bool:
        """Whether a dial or call with this Call-ID was ended at an office."""
        return (office_id, call_id) in self._entries

    def end_may_arrive(self, office_id: str, call_id: str, now: int) -> bool:
        """Whether a dial or call with this Call-ID was ended so recently that the office's end of it may still
        arrive."""
        entry = self._entries.get((office_id, call_id))
        return entry is not None and now - entry.ended_at < LATE_END_US

    def add(self, office_id: str, call_id: str, connection: Hashable, now: int) -> None:
        """Remember a dial or call that this server ended; `connection` is the one of its set-up, None if unknown."""
        earlier = self._entries.pop((office_id, call_id), None)
        others = () if earlier is None else earlier.connections
        connections = others if connection in others else (*others, connection)
        self._entries[office_id, call_id] = _Entry(now, connections)
        self._forget_old(now)

    def ended_by_office(self, office_id: str, call_id: str, connection: Hashable) -> None:
        """The office sent its end of an earlier dial on a connection, and no more about it will arrive there."""
        entry = self._entries.get((office_id, call_id))
        if entry is not None:
            entry.connections = tuple(other for other in entry.connections if other != connection)

    def connections(self, office_id: str, call_id: str) -> frozenset[Hashable]:
        """The connections on which lines about earlier dials of a Call-ID may still arrive."""
        entry = self._entries.get((office_id, call_id))
        return frozenset(entry.connections) if entry is not None else frozenset()

    def _forget_old(self, now: int) -> None:
        while self._entries:
            oldest, entry = next(iter(self._entries.items()))
            if len(self._entries) <= self._limit and now - entry.ended_at <= self._retention_us:
                return
            del self._entries[oldest]
