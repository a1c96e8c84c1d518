"""Connections from callers. Messages that arrive on them are passed on as `CallerEvents`.

Each limit on a connection has a name under which violations are counted: `silent`, `half`, `unread`, `full`,
`open_on_link` and those of the SIP codec.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol, cast

from wellhitch.net.transport import Listener, Network
from wellhitch.platform.eviction import SILENT_S, ConnectionTable
from wellhitch.platform.set_up_request import read_call_id, reports_established_call
from wellhitch.sip import codec as sip

# Turns of the loop from accepting a connection until the data that came with it has been read.
READING_TURNS = 2
# Between attempts to evict connections while new ones wait; a fraction of the time a new one has for its first message.
EVICTION_RETRY_S = 0.005
# Between checks for overdue connections; an eighth of the shortest limit.
SWEEP_INTERVAL_S = 0.25
# Without a complete message. Callers expect a refusal or a close within three seconds.
SILENT_LIMIT_S = 2.0
# Without a pending set-up or a call. Ordinary callers close an idle connection after four seconds.
IDLE_LIMIT_S = 6.0
# From a message's first byte to its last, the same limit as for silence; it is shorter while draining.
PARTIAL_MESSAGE_S = 2.0
PARTIAL_WHILE_DRAINING_S = 0.5
# How long, and how much, is read from a connection that is being closed. Closing with unread bytes resets the
# connection, and the caller may lose the last answer written. The limits stop a client that never ceases to write.
LINGER_S = 1.0
LINGER_BYTES = 256 * 1024
# Answers that wait for a caller to read: some two hundred.
MAX_UNSENT_BYTES = 64 * 1024
# Pending on one connection; ordinary callers have tens.
MAX_SET_UPS = 400
READ_BUFFER_BYTES = 64 * 1024  # shared by all connections


class CallerEvents(Protocol):
    """Receives what happens on callers' connections, and knows what is pending on each."""

    def message_received(self, connection: "CallerConnection", message: sip.Message) -> None:
        """A complete message arrived."""

    def connection_closing(self, connection: "CallerConnection") -> None:
        """This server is about to close a connection; its pending set-ups are to be answered."""

    def connection_closed(self, connection: "CallerConnection") -> None:
        """A connection is gone."""

    def set_ups_on(self, connection: "CallerConnection") -> int:
        """How many set-ups are pending on a connection."""

    def calls_on(self, connection: "CallerConnection") -> int:
        """How many established calls were set up on a connection."""

    def log(self, event: str, **facts: Any) -> None:
        """Write one line of the log."""


class CallerConnection(asyncio.BufferedProtocol):
    """One connection from a caller."""

    __slots__ = (
        "owner",
        "transport",
        "decoder",
        "last_message_at",
        "partial_since",
        "closing_since",
        "discarded_bytes",
        "message_count",
        "peer",
        "unreadable",
        "__weakref__",
    )

    def __init__(self, owner: "CallerConnections") -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.decoder = sip.Decoder()
        self.last_message_at = 0.0  # or when the connection came up
        self.partial_since: float | None = None
        self.closing_since: float | None = None
        self.discarded_bytes = 0  # received while the connection is being closed
        self.message_count = 0  # complete messages received
        self.peer = ""  # address of the caller, for the log
        self.unreadable = False

    def __str__(self) -> str:
        """The caller's address, by which the log names the connection."""
        return self.peer

    @property
    def unsent_bytes(self) -> int:
        """How much of what was written the caller has not taken yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.last_message_at = self.owner.loop.time()
        self.peer = str(transport.get_extra_info("peername"))
        self.owner.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.owner.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.closing_since is not None:
            self._read_while_closing(nbytes)
            return
        try:
            messages = self.decoder.feed(self.owner.buffer[:nbytes])
        except sip.BadSip as error:
            self.unreadable = True
            # Set-ups before the invalid bytes are not dialled: the connection closes, so their answers could not
            # arrive.
            self._dispatch(
                [
                    message
                    for message in error.messages_before
                    if not (isinstance(message, sip.Request) and message.method == "INVITE")
                ]
            )
            self.owner.counts[f"door.{error.reason}"] += 1
            self._refuse_and_close(error)
            return
        self.message_count += len(messages)
        if messages:
            self.owner.message_received(self)
        self._dispatch(messages)
        if not self.decoder.pending:
            self.partial_since = None
        elif self.partial_since is None or messages:
            self.partial_since = self.owner.loop.time()

    def _read_while_closing(self, nbytes: int) -> None:
        """Handle messages that arrive after the close: releases, and reports of established calls, which need no
        answer. A set-up can no longer be answered and is ignored."""
        self.discarded_bytes += nbytes
        if self.discarded_bytes > LINGER_BYTES:
            self.owner.abort(self)
        if self.unreadable or self.discarded_bytes > LINGER_BYTES:
            return
        try:
            messages = self.decoder.feed(self.owner.buffer[:nbytes])
        except sip.BadSip:
            self.unreadable = True
            return
        for message in messages:
            if (
                isinstance(message, sip.Response)
                or message.method == "BYE"
                or reports_established_call(message)
            ):
                self.owner.events.message_received(self, message)
            elif message.method == "INVITE":
                self.owner.log_ignored_set_up(self, message)

    def _dispatch(self, messages: list[sip.Message]) -> None:
        for message in messages:
            if self.closing_since is not None:
                return
            if (
                isinstance(message, sip.Request)
                and message.method == "INVITE"
                and self.owner.events.set_ups_on(self) >= MAX_SET_UPS
            ):
                self.owner.counts["door.open_on_link"] += 1
                self.write(sip.response(503, sip.echo(message)))
                continue
            self.owner.events.message_received(self, message)

    def _refuse_and_close(self, error: sip.BadSip) -> None:
        request = error.request
        if request is None or request.method != "ACK":  # an ACK is never answered
            status = 413 if error.reason in ("too_large", "head_too_long", "too_many_headers") else 400
            self.write(sip.response(status, sip.echo(request) if request else ""))
        self.close(error.reason)

    def write(self, data: bytes) -> bool:
        """Write; False where the connection is closed or closing."""
        transport = self.transport
        if transport is None or self.closing_since is not None or transport.is_closing():
            return False
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.owner.counts["door.unread"] += 1
            self.owner.log_close(self, "unread")
            self.closing_since = self.owner.loop.time()
            transport.abort()
        return True

    def close(self, why: str) -> None:
        """Close once the written data is sent and the caller has closed too. `why` is for the log."""
        if self.closing_since is not None:
            return
        self.owner.log_close(self, why)
        self.owner.events.connection_closing(self)
        self.closing_since = self.owner.loop.time()
        self.owner.table.closing_started(self, self.closing_since)
        if self.transport is None:
            return
        try:
            self.transport.write_eof()
        except OSError:  # the caller has reset the connection
            self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self.closing_since is None:
            self.closing_since = self.owner.loop.time()
        self.owner.lost(self)


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
            self._after_turns(READING_TURNS, self._evict)

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
        connection.last_message_at = self.loop.time()
        if connection.closing_since is None:
            self.table.message_received(connection, connection.last_message_at)

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

    def log_ignored_set_up(self, connection: CallerConnection, set_up: sip.Request) -> None:
        """Log a set-up that arrived on a connection after this server began to close it."""
        since = connection.closing_since
        self.counts["set_ups_ignored"] += 1
        self.events.log(
            "set_up_ignored",
            call=read_call_id(set_up),
            peer=connection.peer,
            closing_ms=None if since is None else round((self.loop.time() - since) * 1000),
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
            if connection.partial_since is not None and now - connection.partial_since > PARTIAL_MESSAGE_S:
                if self.events.set_ups_on(connection):
                    continue  # a slow writer; its pending set-ups are answered first
                self.counts["door.half"] += 1
                connection.write(sip.response(408, ""))
                connection.close("half")
            elif connection in self.table.silent:
                if now - connection.last_message_at > SILENT_LIMIT_S:
                    self.counts["door.silent"] += 1
                    connection.close("silent")
            elif (
                now - connection.last_message_at > IDLE_LIMIT_S
                and not self.events.set_ups_on(connection)
                and not self.events.calls_on(connection)
            ):
                self.counts["door.idle"] += 1
                connection.close("idle")

    def close_unused(self) -> None:
        """While draining, close each connection without pending set-ups, calls or a partly received message."""
        now = self.loop.time()
        for connection in [*self.table.silent, *self.table.active]:
            partial = (
                connection.partial_since is not None
                and now - connection.partial_since < PARTIAL_WHILE_DRAINING_S
            )
            new = connection in self.table.silent and now - connection.last_message_at < SILENT_S
            if not (partial or new or self.events.set_ups_on(connection) or self.events.calls_on(connection)):
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
