"""Selects the caller connection to close when there are more than the descriptors allow. Pure; times in seconds.

A new connection may bring a complete message, which is read only some turns of the loop later. What it wants is unknown
until then, and it is not selected before.
"""

from collections.abc import Callable
from typing import Generic, TypeVar

Connection = TypeVar("Connection")

# A first message comes with its connection. A connection without one after this time yields to those that sent one.
FIRST_MESSAGE_S = 0.02
# A connection that has been silent for so long is likely to stay silent, and yields to any other.
SILENT_S = 0.2
# Callers read their answers in milliseconds; a connection that is quiet for longer is not in use.
IN_USE_S = 0.5
# Messages sent before the caller noticed the close have arrived by then, and it has had the time to close too.
READ_AFTER_CLOSE_S = 0.01


class ConnectionTable(Generic[Connection]):
    """All open connections from callers in three groups, each ordered by its last message, the oldest first."""

    def __init__(
        self, set_ups_on: Callable[[Connection], int], calls_on: Callable[[Connection], int]
    ) -> None:
        """`set_ups_on` and `calls_on` return how many set-ups are pending on a connection, and how many established
        calls were set up on it."""
        self._set_ups_on, self._calls_on = set_ups_on, calls_on
        # Connections without a complete message so far, and when each came up.
        self.silent: dict[Connection, float] = {}
        # Connections with one, and when the last one arrived.
        self.active: dict[Connection, float] = {}
        # Connections that this server is closing, and since when; they are read until the caller closes too.
        self.closing: dict[Connection, float] = {}

    def __len__(self) -> int:
        return self.in_service + len(self.closing)

    @property
    def in_service(self) -> int:
        """How many connections are open and not being closed."""
        return len(self.silent) + len(self.active)

    def opened(self, connection: Connection, now: float) -> None:
        """Add a new connection."""
        self.silent[connection] = now

    def message_received(self, connection: Connection, now: float) -> None:
        """Note a complete message on a connection that is not being closed."""
        self.forget(connection)
        self.active[connection] = now

    def closing_started(self, connection: Connection, now: float) -> None:
        """Note that this server is closing a connection."""
        self.forget(connection)
        self.closing[connection] = now

    def forget(self, connection: Connection) -> None:
        """Remove a connection."""
        self.silent.pop(connection, None)
        self.active.pop(connection, None)
        self.closing.pop(connection, None)

    def next_to_evict(self, now: float) -> Connection | None:
        """The connection whose loss costs its caller least: first those not in use, then the others. None while a new
        connection has yet to send its first message."""
        return (
            self._oldest_silent(now - SILENT_S)
            or self._oldest_without_set_ups(now - IN_USE_S, with_calls=False)
            or self._oldest_without_set_ups(now - IN_USE_S, with_calls=True)
            or self._oldest_silent(now - FIRST_MESSAGE_S)
            or (None if self.silent else self._next_in_use(now))
        )

    def _next_in_use(self, now: float) -> Connection | None:
        """A connection without set-ups, else the one with the latest message, whose set-ups are then refused."""
        return (
            self._oldest_without_set_ups(now, with_calls=False)
            or self._oldest_without_set_ups(now, with_calls=True)
            or next(reversed(self.active), None)
        )

    def next_to_reset(self, now: float) -> Connection | None:
        """The connection whose closing began first, if it has been read for long enough."""
        for connection, since in self.closing.items():
            return connection if now - since >= READ_AFTER_CLOSE_S else None
        return None

    def _oldest_silent(self, opened_by: float) -> Connection | None:
        """The connection that has been silent longest, if it came up by `opened_by`."""
        for connection, opened_at in self.silent.items():
            return connection if opened_at <= opened_by else None
        return None

    def _oldest_without_set_ups(self, last_message_by: float, with_calls: bool) -> Connection | None:
        """The connection without pending set-ups that has been quiet longest, at least since `last_message_by`. One
        with established calls qualifies only `with_calls`."""
        for connection, last_message_at in self.active.items():
            if last_message_at > last_message_by:
                break
            if not self._set_ups_on(connection) and (with_calls or not self._calls_on(connection)):
                return connection
        return None
