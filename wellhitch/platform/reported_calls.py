"""Which of the calls that callers report as established before this server's start are kept. Pure.

Nothing confirms such a call before its office releases it. Any client can report calls that no office knows, whose end
never comes, so their number is limited. At the limit a call is forgotten whose reporter is the least likely to own it:
sound callers keep a connection with a call on it, and have a small part of all calls on each.
"""

from collections.abc import Hashable
from heapq import heapify, heappop, heappush

# Far more than one exchange has established, and half of the releases that may wait for an answer (`releases.py`).
MAX_REPORTED_CALLS = 4096


class _Reporter:
    """One caller's connection, open or closed, and the calls reported on it."""

    __slots__ = ("connection", "call_ids", "number")

    def __init__(self, connection: Hashable, number: int) -> None:
        self.connection: Hashable = connection
        self.call_ids: dict[str, None] = {}
        self.number = number


class ReportedCalls:
    """The Call-IDs that are kept, by the connection on which each was reported."""

    def __init__(self, limit: int = MAX_REPORTED_CALLS) -> None:
        self._limit = limit
        self._reporter_of: dict[str, _Reporter] = {}
        self._open: dict[Hashable, _Reporter] = {}
        # Reporters whose connection has closed, the one with the most calls first: (-calls, number, reporter). The
        # number of calls may have fallen since.
        self._closed: list[tuple[int, int, _Reporter]] = []
        self._yielding: _Reporter | None = None
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._reporter_of)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._reporter_of

    def add(self, call_id: str, connection: Hashable) -> str | None:
        """Add a call that was reported on an open connection. Returns the call to forget instead, if any; it may be the
        new one."""
        reporter = self._open.get(connection)
        if reporter is None:
            self._last_number += 1
            reporter = self._open[connection] = _Reporter(connection, self._last_number)
        reporter.call_ids[call_id] = None
        self._reporter_of[call_id] = reporter
        if len(self) <= self._limit:
            return None
        forgotten = self._next_to_forget(reporter)
        self.remove(forgotten)
        return forgotten

    def remove(self, call_id: str) -> None:
        """Remove a call that has ended."""
        reporter = self._reporter_of.pop(call_id, None)
        if reporter is None:
            return
        del reporter.call_ids[call_id]
        if not reporter.call_ids and self._open.get(reporter.connection) is reporter:
            del self._open[reporter.connection]

    def connection_closed(self, connection: Hashable) -> list[str]:
        """A caller's connection has closed. Returns the calls that were reported on it."""
        reporter = self._open.pop(connection, None)
        if reporter is None:
            return []
        reporter.connection = None
        heappush(self._closed, (-len(reporter.call_ids), reporter.number, reporter))
        if len(self._closed) > 2 * self._limit:
            self._closed = [entry for entry in self._closed if entry[2].call_ids]
            heapify(self._closed)
        return list(reporter.call_ids)

    def _next_to_forget(self, latest: _Reporter) -> str:
        """The latest call of the reporter with the most calls, of one whose connection has closed if there is any."""
        reporter = self._largest_closed()
        if reporter is None:
            reporter = max(self._open.values(), key=lambda other: len(other.call_ids))
            if len(reporter.call_ids) == len(latest.call_ids):
                reporter = latest
        return next(reversed(reporter.call_ids))

    def _largest_closed(self) -> _Reporter | None:
        """The closed reporter that had the most calls when it was chosen. It gives up all of its calls before another
        one is chosen: many that each keep a few would take more memory."""
        while self._yielding is None or not self._yielding.call_ids:
            if not self._closed:
                return None
            negative_calls, number, reporter = heappop(self._closed)
            calls = len(reporter.call_ids)
            if -negative_calls == calls:
                self._yielding = reporter
            elif calls:
                heappush(self._closed, (-calls, number, reporter))
        return self._yielding
