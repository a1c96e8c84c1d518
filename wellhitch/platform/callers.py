"""Callers' connections: the only file of the platform that touches them. The core is told what came.

Each limit has a name under which it is counted: `silent`, `half`, `unread`, `full`, `open_on_link` and those of the
codec.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol, cast

from wellhitch.net.seam import Listener, Network
from wellhitch.platform.eviction import SILENT_S, ConnectionTable
from wellhitch.platform.set_up_request import names_call
from wellhitch.sip import codec as sip

# Turns of the loop from a connection's coming up until what came with it has been read.
READING_TURNS = 2
# Between looks for room while new connections wait: a part of what a new one is given to speak.
ROOM_STEP_S = 0.005
# Between looks at connections that are overdue: an eighth of the shortest limit.
SWEEP_S = 0.25
# Without a whole message: a refusal or a close is due within three seconds.
SILENT_LIMIT_S = 2.0
# Without a set-up or a call: usual callers close theirs after four seconds.
IDLE_S = 6.0
# From a message's first byte to its last, as for `SILENT_LIMIT_S`, and while draining.
PARTIAL_MESSAGE_S = 2.0
PARTIAL_WHILE_DRAINING_S = 0.5
# That a connection being closed is read to its end: a close with bytes unread resets it, and the other end may lose the
# last answer that was written. A bad client writes without end.
LINGER_S = 1.0
LINGER_BYTES = 256 * 1024
# That wait for a caller to read: some two hundred answers.
MAX_UNSENT_BYTES = 64 * 1024
# Open on one connection; usual callers have tens.
MAX_SET_UPS = 400
# Of the one buffer that all connections share.
READ_BYTES = 64 * 1024


class CallerEvents(Protocol):
    """Who is told what callers send, and knows what is open on their connections."""

    def message_received(self, connection: "CallerConnection", message: sip.Message) -> None:
        """A whole message came."""

    def connection_closing(self, connection: "CallerConnection") -> None:
        """A connection is about to be closed from here: what is open on it is answered first."""

    def connection_closed(self, connection: "CallerConnection") -> None:
        """A connection is gone."""

    def set_ups_on(self, connection: "CallerConnection") -> int:
        """How many set-ups are open on it."""

    def calls_on(self, connection: "CallerConnection") -> int:
        """How many calls stand whose set-up came on it."""

    def log(self, event: str, **facts: Any) -> None:
        """One line of the log."""


class CallerConnection(asyncio.BufferedProtocol):
    """One connection from a caller."""

    __slots__ = (
        "owner",
        "transport",
        "decoder",
        "since",
        "partial_since",
        "closing_since",
        "discarded",
        "messages",
        "peer",
        "unreadable",
        "__weakref__",
    )

    def __init__(self, owner: "CallerConnections") -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.decoder = sip.Decoder()
        self.since = 0.0
        self.partial_since: float | None = None
        self.closing_since: float | None = None
        self.discarded = 0  # bytes that came while it was being closed
        self.messages = 0  # whole ones that came
        self.peer = ""  # address of the other end, for the log
        self.unreadable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.since = self.owner.loop.time()
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
        except sip.BadSip as bad:
            self.unreadable = True
            # The connection closes, so that no answer to a set-up before the noise could arrive: none is dialled.
            self._take(
                [one for one in bad.before if not (isinstance(one, sip.Request) and one.method == "INVITE")]
            )
            self.owner.counts[f"door.{bad.limit}"] += 1
            self._refuse_and_close(bad)
            return
        self.messages += len(messages)
        if messages:
            self.owner.heard(self)
        self._take(messages)
        if not self.decoder.pending:
            self.partial_since = None
        elif self.partial_since is None or messages:
            self.partial_since = self.owner.loop.time()

    def _read_while_closing(self, nbytes: int) -> None:
        """What comes after the close: the ends of calls count, and calls that are named, since nothing is answered to
        that; a set-up cannot be answered any more."""
        self.discarded += nbytes
        if self.discarded > LINGER_BYTES:
            self.owner.abort(self)
        if self.unreadable or self.discarded > LINGER_BYTES:
            return
        try:
            messages = self.decoder.feed(self.owner.buffer[:nbytes])
        except sip.BadSip:
            self.unreadable = True
            return
        for message in messages:
            if isinstance(message, sip.Response) or message.method == "BYE" or names_call(message):
                self.owner.events.message_received(self, message)

    def _take(self, messages: list[sip.Message]) -> None:
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

    def _refuse_and_close(self, bad: sip.BadSip) -> None:
        request = bad.request
        if request is None or request.method != "ACK":  # an ACK is never answered
            status = 413 if bad.limit in ("too_large", "head_too_long", "too_many_headers") else 400
            self.write(sip.response(status, sip.echo(request) if request else ""))
        self.close(bad.limit)

    def write(self, data: bytes) -> bool:
        """Write; False where the connection is closed or closing."""
        transport = self.transport
        if transport is None or self.closing_since is not None or transport.is_closing():
            return False
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.owner.counts["door.unread"] += 1
            self.owner.closing_for(self, "unread")
            self.closing_since = self.owner.loop.time()
            transport.abort()
        return True

    def close(self, why: str) -> None:
        """Close once what was written is out and the other end has closed too. `why` is for the log."""
        if self.closing_since is not None:
            return
        self.owner.closing_for(self, why)
        self.owner.events.connection_closing(self)
        self.closing_since = self.owner.loop.time()
        self.owner.table.lingers(self, self.closing_since)
        if self.transport is None:
            return
        try:
            self.transport.write_eof()
        except OSError:  # the other end has reset it
            self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self.closing_since is None:
            self.closing_since = self.owner.loop.time()
        self.owner.lost(self)


class CallerConnections:
    """All connections from callers, at most `limit`, and for moments `room` more that have just come up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        events: CallerEvents,
        limit: int,
        room: int,
        counts: Counter[str],
    ) -> None:
        self.loop, self.network, self.events, self.counts = loop, network, events, counts
        self.limit, self.room = limit, room
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.table: ConnectionTable[CallerConnection] = ConnectionTable(events.set_ups_on, events.calls_on)
        self.listener: Listener | None = None
        self._sweeping: Any = None
        self._looking_for_room: Any = None

    def listen(self, address: str, ready: Callable[[], None]) -> None:
        """Take connections at this address alone."""

        def listening(listener: Listener) -> None:
            self.listener = listener
            ready()

        self.network.listen(address, lambda: CallerConnection(self), listening)
        self._sweeping = self.loop.call_later(SWEEP_S, self._sweep)

    def opened(self, connection: CallerConnection) -> None:
        """A connection is there. Guards the descriptors: where there are too many, others are closed, but not before
        what has come on all of them is read."""
        self.table.opened(connection, self.loop.time())
        if self._too_many:
            if self.open > self.limit + self.room and self.listener is not None:
                self.listener.pause()
            self._after_turns(READING_TURNS, self._make_room)

    def _after_turns(self, turns: int, work: Callable[[], None]) -> None:
        """Do something some turns of the loop later."""
        if turns == 0:
            work()
        else:
            self.loop.call_soon(self._after_turns, turns - 1, work)

    @property
    def _too_many(self) -> bool:
        return self.table.in_service > self.limit or self.open > self.limit + self.room

    def _make_room(self) -> None:
        """Close connections where too many are in service, and read them to their end. While there is no room for that,
        and while it is not known what the new ones want, more of them wait to be taken."""
        now = self.loop.time()
        while self.table.in_service > self.limit:
            evicted = self.table.next_to_evict(now)
            if evicted is None:
                break
            self.counts["door.full"] += 1
            evicted.close("full")
        while self.open > self.limit + self.room:
            closed = self.table.next_to_reset(now)
            if closed is None:
                break
            self.abort(closed)
        if self.listener is not None:
            if self.open > self.limit + self.room:
                self.listener.pause()
            else:
                self.listener.resume()
        if self._too_many and self._looking_for_room is None:
            self._looking_for_room = self.loop.call_later(ROOM_STEP_S, self._look_for_room)

    def _look_for_room(self) -> None:
        self._looking_for_room = None
        self._make_room()

    def heard(self, connection: CallerConnection) -> None:
        """A whole message came: it is the last to go of those that may."""
        connection.since = self.loop.time()
        if connection.closing_since is None:
            self.table.message_came(connection, connection.since)

    def abort(self, connection: CallerConnection) -> None:
        """Close at once, with a reset."""
        # It counts no more from here on: asyncio tells that it is lost only in the next turn, and in one turn a burst
        # brings hundreds, each of which must put another one out.
        self.table.forget(connection)
        if connection.closing_since is None:
            self.closing_for(connection, "full")
        connection.closing_since = connection.closing_since or self.loop.time()
        if connection.transport is not None:
            connection.transport.abort()

    def lost(self, connection: CallerConnection) -> None:
        """A connection is gone."""
        self.table.forget(connection)
        self.events.connection_closed(connection)

    def closing_for(self, connection: CallerConnection, why: str) -> None:
        """A connection is closed from here: say why, and what is left on it."""
        events = self.events
        events.log(
            "caller_connection_closed",
            why=why,
            open=events.set_ups_on(connection),
            established=events.calls_on(connection),
            peer=connection.peer,
            messages=connection.messages,
            quiet_ms=round((self.loop.time() - connection.since) * 1000),
        )

    @property
    def open(self) -> int:
        """Connections that are open."""
        return len(self.table)

    def _sweep(self) -> None:
        now = self.loop.time()
        self._sweeping = self.loop.call_later(SWEEP_S, self._sweep)
        for connection in list(self.table.closing):
            if connection.closing_since is not None and now - connection.closing_since > LINGER_S:
                self.abort(connection)
        for connection in [*self.table.silent, *self.table.heard]:
            if connection.partial_since is not None and now - connection.partial_since > PARTIAL_MESSAGE_S:
                if self.events.set_ups_on(connection):
                    continue  # a slow writer; what it asked before is answered first
                self.counts["door.half"] += 1
                connection.write(sip.response(408, ""))
                connection.close("half")
            elif connection in self.table.silent:
                if now - connection.since > SILENT_LIMIT_S:
                    self.counts["door.silent"] += 1
                    connection.close("silent")
            elif (
                now - connection.since > IDLE_S
                and not self.events.set_ups_on(connection)
                and not self.events.calls_on(connection)
            ):
                self.counts["door.idle"] += 1
                connection.close("idle")

    def close_unused(self) -> None:
        """While draining: close each connection on which nothing is open, half said, or still to be told."""
        now = self.loop.time()
        for connection in [*self.table.silent, *self.table.heard]:
            half = (
                connection.partial_since is not None
                and now - connection.partial_since < PARTIAL_WHILE_DRAINING_S
            )
            new = connection in self.table.silent and now - connection.since < SILENT_S
            if not (half or new or self.events.set_ups_on(connection) or self.events.calls_on(connection)):
                connection.close("draining")

    def stop_listening(self) -> None:
        """Take no new connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Close all."""
        self.stop_listening()
        for connection in [*self.table.silent, *self.table.heard]:
            connection.close("stopping")

    def abort_all(self) -> None:
        """Leave nothing open."""
        for timer in (self._sweeping, self._looking_for_room):
            if timer is not None:
                timer.cancel()
        for connection in [*self.table.silent, *self.table.heard, *self.table.closing]:
            self.abort(connection)
