"""All connections from callers: the listener, the limits of time and number, and which connections yield to others.

Each limit has a name under which violations are counted: `silent`, `half`, `idle`, `full` and those of a single
connection (`caller_connection.py`).
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from wellhitch.net.transport import Listener, Network
from wellhitch.platform.caller_connection import CallerConnection, CallerEvents
from wellhitch.platform.eviction import SILENT_S, ConnectionTable
from wellhitch.platform.fair_queue import FairQueue
from wellhitch.platform.set_up_request import read_call_id
from wellhitch.sip import codec as sip

# Turns of the loop until all data has been read that has arrived by now, also on a connection just accepted.
READING_TURNS = 2
# Between attempts to evict connections while new ones wait; a fraction of the time a new one has for its first message.
EVICTION_RETRY_S = 0.005
# Between checks for overdue connections; an eighth of the shortest limit.
SWEEP_INTERVAL_S = 0.25
# Without any message, and until the first one is complete. Callers expect a refusal or a close within three seconds.
SILENT_LIMIT_S = 2.0
FIRST_MESSAGE_LIMIT_S = 2.5
# From the last message, set-up or call, without another. Ordinary callers close an idle connection after four seconds.
IDLE_LIMIT_S = 6.0
# From a message's first byte to its last, the same limit as for silence; it is shorter while draining.
PARTIAL_MESSAGE_S = 2.0
PARTIAL_WHILE_DRAINING_S = 0.5
# How long a connection that is being closed is read. Closing with unread bytes resets the connection, and the caller
# may lose the last answer written.
LINGER_S = 1.0
READ_BUFFER_BYTES = 64 * 1024  # shared by all connections
# How long messages from callers are handled in one turn of the loop. Offices, timers and callers that have sent little
# wait for no more than this and one connection's messages.
SERVE_PER_TURN_S = 0.005


class CallerConnections:
    """All connections from callers: at most `limit`, and `new_capacity` more while new ones have not been read yet."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        events: CallerEvents,
        limit: int,
        new_capacity: int,
        counts: Counter[str],
    ) -> None:
        self.loop, self.network, self.events, self.counts = loop, network, events, counts
        self.limit, self.new_capacity = limit, new_capacity
        self.buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.table: ConnectionTable[CallerConnection] = ConnectionTable(events.set_ups_on, events.calls_on)
        self.listener: Listener | None = None
        self._sweep_timer: Any = None
        self._eviction_timer: Any = None
        self._queue: FairQueue[CallerConnection] = FairQueue()
        self._serving_queue = False  # `_serve_waiting` is scheduled
        self._turn_ends_at: float | None = None  # of this turn's time for messages from callers

    def listen(self, address: str, ready: Callable[[], None]) -> None:
        """Accept connections at an address; `ready` is called once that has begun."""

        def listening(listener: Listener) -> None:
            self.listener = listener
            ready()

        self.network.listen(address, lambda: CallerConnection(self), listening)
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def opened(self, connection: CallerConnection) -> None:
        """Add a connection. If this exceeds the limits, others are closed to free descriptors, but not before the data
        that came with each connection is read."""
        self.table.opened(connection, self.loop.time())
        if self._over_limit:
            if self.open > self.limit + self.new_capacity and self.listener is not None:
                self.listener.pause()
            self.after_reading(self._evict)

    def may_serve_now(self, connection: CallerConnection, size: int) -> bool:
        """See `ConnectionOwner`."""
        if self._serving_queue:
            return False
        now = self.loop.time()
        if self._turn_ends_at is None:
            self._turn_ends_at = now + SERVE_PER_TURN_S
            self.loop.call_soon(self._turn_ended)
        if now >= self._turn_ends_at:
            return False
        self._queue.charge(connection, size)
        return True

    def _turn_ended(self) -> None:
        self._turn_ends_at = None

    def serve_later(self, connection: CallerConnection) -> None:
        """See `ConnectionOwner`."""
        self._queue.add(connection, len(connection.held))
        if not self._serving_queue:
            self._serving_queue = True
            self.loop.call_soon(self._serve_waiting)

    def _serve_waiting(self) -> None:
        """Serve the connections that wait, for this turn's time."""
        ends_at = self.loop.time() + SERVE_PER_TURN_S
        while (connection := self._queue.pop()) is not None:
            connection.serve_held()
            if self.loop.time() >= ends_at:
                break
        self._serving_queue = bool(self._queue)
        if self._serving_queue:
            self.counts["callers_waited"] += 1
            self.loop.call_soon(self._serve_waiting)

    def after_reading(self, callback: Callable[[], None]) -> None:
        """See `ConnectionOwner`."""
        self._after_turns(READING_TURNS, callback)

    def _after_turns(self, turns: int, callback: Callable[[], None]) -> None:
        """Call `callback` after a number of turns of the loop."""
        if turns == 0:
            callback()
        else:
            self.loop.call_soon(self._after_turns, turns - 1, callback)

    @property
    def _over_limit(self) -> bool:
        return self.table.in_service > self.limit or self.open > self.limit + self.new_capacity

    def _evict(self) -> None:
        """Close connections while too many are in service, and keep reading them until the callers close too. New
        connections are not accepted while there is no capacity left, and while it is unknown what the latest ones
        want."""
        now = self.loop.time()
        while self.table.in_service > self.limit:
            evicted = self.table.next_to_evict(now)
            if evicted is None:
                break
            self.counts["door.full"] += 1
            evicted.close("full")
        while self.open > self.limit + self.new_capacity:
            closing = self.table.next_to_reset(now)
            if closing is None:
                break
            self.abort(closing)
        if self.listener is not None:
            if self.open > self.limit + self.new_capacity:
                self.listener.pause()
            else:
                self.listener.resume()
        if self._over_limit and self._eviction_timer is None:
            self._eviction_timer = self.loop.call_later(EVICTION_RETRY_S, self._retry_eviction)

    def _retry_eviction(self) -> None:
        self._eviction_timer = None
        self._evict()

    def message_received(self, connection: CallerConnection) -> None:
        """Note the time of a complete message: connections that were quiet longer are evicted first."""
        connection.last_message_at = connection.last_used_at = self.loop.time()
        if connection.closing_since is None:
            self.table.message_received(connection, connection.last_message_at)

    def closing_started(self, connection: CallerConnection) -> None:
        """See `ConnectionOwner`."""
        self.table.closing_started(connection, self.loop.time())

    def abort(self, connection: CallerConnection) -> None:
        """Reset a connection at once."""
        # It stops counting here: asyncio reports the loss only in the next turn, and a burst brings hundreds of
        # connections in one turn, each of which must displace a different one.
        self.table.forget(connection)
        if connection.closing_since is None:
            self.log_close(connection, "full")
        connection.closing_since = connection.closing_since or self.loop.time()
        if connection.transport is not None:
            connection.transport.abort()

    def lost(self, connection: CallerConnection) -> None:
        """Forget a connection that is gone."""
        self.table.forget(connection)
        self._queue.forget(connection)
        self.events.connection_closed(connection)

    def log_close(self, connection: CallerConnection, why: str) -> None:
        """Log why this server closes a connection, and what is pending on it."""
        events = self.events
        events.log(
            "caller_connection_closed",
            why=why,
            open=events.set_ups_on(connection),
            established=events.calls_on(connection),
            peer=connection.peer,
            messages=connection.message_count,
            unsent=connection.unsent_bytes,
            quiet_ms=round((self.loop.time() - connection.last_message_at) * 1000),
        )

    def set_up_while_closing(self, connection: CallerConnection, set_up: sip.Request, answered: bool) -> None:
        """See `ConnectionOwner`."""
        since = connection.closing_since
        self.counts["door.closing" if answered else "set_ups_ignored"] += 1
        self.events.log(
            "request_refused" if answered else "set_up_ignored",
            call=read_call_id(set_up),
            why="closing",
            caller=connection.peer,
            closing_ms=None if since is None else round((self.loop.time() - since) * 1000),
        )

    def set_up_ignored(self, connection: CallerConnection, set_up: sip.Request) -> None:
        """See `ConnectionOwner`."""
        self.counts["set_ups_ignored"] += 1
        self.events.log(
            "set_up_ignored", call=read_call_id(set_up), why="caller_left", caller=connection.peer
        )

    @property
    def open(self) -> int:
        """How many connections are open, including those being closed."""
        return len(self.table)

    def _sweep(self) -> None:
        """Close the connections that have exceeded a time limit."""
        now = self.loop.time()
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        for connection in list(self.table.closing):
            if connection.closing_since is not None and now - connection.closing_since > LINGER_S:
                self.abort(connection)
        for connection in [*self.table.silent, *self.table.active]:
            limit = self._exceeded_limit(connection, now)
            if limit is None:
                continue
            self.counts[f"door.{limit}"] += 1
            if limit == "half":
                connection.write(sip.response(408, ""))
            connection.close(limit)

    def _exceeded_limit(self, connection: CallerConnection, now: float) -> str | None:
        """The name of the time limit that a connection has exceeded, if any. One that waits to be served has not."""
        if connection.held:
            return None
        if self.events.set_ups_on(connection) or self.events.calls_on(connection):
            connection.last_used_at = now
        if connection.partial_since is not None:
            # A slow writer's pending set-ups are answered first.
            overdue = now - connection.partial_since > PARTIAL_MESSAGE_S
            if overdue and not self.events.set_ups_on(connection):
                return "half"
            if connection in self.table.silent and now - connection.last_used_at > FIRST_MESSAGE_LIMIT_S:
                return "half"
            return None
        if connection in self.table.silent:
            return "silent" if now - connection.last_used_at > SILENT_LIMIT_S else None
        return "idle" if now - connection.last_used_at > IDLE_LIMIT_S else None

    def close_unused(self) -> None:
        """While draining, close each connection without pending set-ups, calls or a partly received message, unless the
        end of another connection's call may have to be told on it."""
        now = self.loop.time()
        for_ends = self.events.connections_for_ends()
        for connection in [*self.table.silent, *self.table.active]:
            partial = (
                connection.partial_since is not None
                and now - connection.partial_since < PARTIAL_WHILE_DRAINING_S
            )
            new = connection in self.table.silent and now - connection.last_message_at < SILENT_S
            in_use = self.events.set_ups_on(connection) or self.events.calls_on(connection)
            if not (partial or new or in_use or connection.held or connection in for_ends):
                connection.close("draining")

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for connection in [*self.table.silent, *self.table.active]:
            connection.close("stopping")

    def abort_all(self) -> None:
        """Reset all connections and stop the timers."""
        for timer in (self._sweep_timer, self._eviction_timer):
            if timer is not None:
                timer.cancel()
        for connection in [*self.table.silent, *self.table.active, *self.table.closing]:
            self.abort(connection)
