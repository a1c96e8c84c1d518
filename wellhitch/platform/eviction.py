"""Which of the callers' connections is closed when there are more than the descriptors allow. Pure; times in seconds.

A connection that has just come up may bring a whole message with it, which is read only some turns of the loop later:
what it wants is not known before, and it is not chosen before.
"""

from collections.abc import Callable
from typing import Generic, TypeVar

Connection = TypeVar("Connection")

# A first message comes with its connection. One that does not say it within this time gives way to those that spoke.
FIRST_MESSAGE_S = 0.02
# A connection that has been silent for so long is likely to stay so, and gives way to any other.
SILENT_S = 0.2
# Callers read their answers in milliseconds; a connection quiet for longer is not in use.
IN_USE_S = 0.5
# What crossed a close has come by then, and the other end has had the time to close too.
READ_AFTER_CLOSE_S = 0.01


class ConnectionTable(Generic[Connection]):
    """All connections from callers that are open, in three groups, and in each the one unheard longest first."""

    def __init__(
        self, set_ups_on: Callable[[Connection], int], calls_on: Callable[[Connection], int]
    ) -> None:
        """`set_ups_on` and `calls_on`: how many set-ups are open on a connection, and how many calls it set up."""
        self._set_ups_on, self._calls_on = set_ups_on, calls_on
        # Without a whole message so far, and since when they are up.
        self.silent: dict[Connection, float] = {}
        # With one, and when the last one came.
        self.heard: dict[Connection, float] = {}
        # Closed from here, since when, and read to their end.
        self.closing: dict[Connection, float] = {}

    def __len__(self) -> int:
        return self.in_service + len(self.closing)

    @property
    def in_service(self) -> int:
        """How many are open and not being closed."""
        return len(self.silent) + len(self.heard)

    def opened(self, connection: Connection, now: float) -> None:
        """A connection came up."""
        self.silent[connection] = now

    def message_came(self, connection: Connection, now: float) -> None:
        """A whole message came on a connection that is not being closed."""
        self.forget(connection)
        self.heard[connection] = now

    def lingers(self, connection: Connection, now: float) -> None:
        """A connection is being closed, and read until the other end has closed it too."""
        self.forget(connection)
        self.closing[connection] = now

    def forget(self, connection: Connection) -> None:
        """A connection counts no more."""
        self.silent.pop(connection, None)
        self.heard.pop(connection, None)
        self.closing.pop(connection, None)

    def next_to_evict(self, now: float) -> Connection | None:
        """The connection whose end costs its caller least: of those that are in no use first, then of the others. None
        where it is a new one that has yet to say what it wants."""
        return (
            self._silent(now - SILENT_S)
            or self._unused(now - IN_USE_S, with_calls=False)
            or self._unused(now - IN_USE_S, with_calls=True)
            or self._silent(now - FIRST_MESSAGE_S)
            or (None if self.silent else self._of_those_in_use(now))
        )

    def _of_those_in_use(self, now: float) -> Connection | None:
        """One without set-ups, or at last the newest, whose set-ups are then refused."""
        return (
            self._unused(now, with_calls=False)
            or self._unused(now, with_calls=True)
            or next(reversed(self.heard), None)
        )

    def next_to_reset(self, now: float) -> Connection | None:
        """The connection closed longest ago, if it has been read for long enough."""
        for connection, since in self.closing.items():
            return connection if now - since >= READ_AFTER_CLOSE_S else None
        return None

    def _silent(self, up_by: float) -> Connection | None:
        """The one that has been silent longest, if it came up by then."""
        for connection, since in self.silent.items():
            return connection if since <= up_by else None
        return None

    def _unused(self, heard_by: float, with_calls: bool) -> Connection | None:
        """The one unheard longest, at least since `heard_by`, on which no set-up is open."""
        for connection, heard_at in self.heard.items():
            if heard_at > heard_by:
                break
            if not self._set_ups_on(connection) and (with_calls or not self._calls_on(connection)):
                return connection
        return None
