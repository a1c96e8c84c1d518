"""Which caller connection is served next while more has arrived than one turn of the loop may take. Pure.

This is self-clocked fair queueing with bytes as the cost: each connection gets the same share while it has something to
send, and one with little is served before those with much, so that a caller's occasional request does not wait for the
requests of many others that send large ones, or at full speed.
"""

from collections.abc import Hashable
from heapq import heappop, heappush
from itertools import count
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)

# How far a connection may be ahead of its share; one that was the only one for a time is not made to wait for it.
MAX_LEAD_BYTES = 16 * 1024


class FairQueue(Generic[Connection]):
    """The connections that wait to be served. The queue's virtual time is in bytes: the tag of the connection that was
    served last. A connection's tag is the virtual time at which its bytes are due to be served."""

    def __init__(self) -> None:
        self._now = 0
        self._tags: dict[Connection, int] = {}
        self._waiting: dict[Connection, int] = {}  # and the number of its entry in the heap
        self._heap: list[tuple[int, int, Connection]] = []
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, connection: Connection, size: int) -> None:
        """Add a connection with `size` bytes to be served at once. One that waits already stays in its place."""
        if connection in self._waiting:
            return
        self.charge(connection, size)
        number = self._waiting[connection] = next(self._numbers)
        heappush(self._heap, (self._tags[connection], number, connection))

    def charge(self, connection: Connection, size: int) -> None:
        """Count `size` bytes of a connection, also where they were served without waiting."""
        start = min(max(self._tags.get(connection, 0), self._now), self._now + MAX_LEAD_BYTES)
        self._tags[connection] = start + size

    def pop(self) -> Connection | None:
        """Remove and return the connection to be served next, None where none waits."""
        while self._heap:
            tag, number, connection = heappop(self._heap)
            if self._waiting.get(connection) == number:
                del self._waiting[connection]
                self._now = max(self._now, tag)
                return connection
        return None

    def forget(self, connection: Connection) -> None:
        """Remove a connection that is gone."""
        self._tags.pop(connection, None)
        self._waiting.pop(connection, None)
