"""Callers' connections: the only file of the platform that touches them. Decides nothing; the core is told what came.

The door's limits are here, each with a name under which it is counted: `silent`, `half`, `unread`, `full`,
`open_on_link` and those of the codec.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol, cast

from wellhitch.net.seam import Listener, Network
from wellhitch.platform.door import names_call
from wellhitch.platform.eviction import SILENT_S, ConnectionTable
from wellhitch.sip import codec as sip

READING_TURNS = 2  # of the loop, from a connection's coming up until what came with it has been read
ROOM_STEP_S = (
    0.005  # between looks for room while new connections wait: a part of what a new one is given to speak
)
SWEEP_S = 0.25  # between looks at connections that are overdue: an eighth of the shortest limit
MOST_SILENT_S = (
    2.0  # that a connection may stay without a whole message: a refusal or a close is due within three
)
IDLE_S = 6.0  # that a connection may stay on which nothing is open or stands: usual callers close theirs after four
HALF_S = 2.0  # that a message may take from its first byte to its last, for the same reason
# s that a connection being closed is read to its end: a close with bytes unread resets it, and the other end may lose
# the last answer that was written.
LINGER_S = 1.0
HALF_SAID_S = 0.5  # that a draining connection waits for the rest of a message
LINGER_BYTES = 256 * 1024  # and no more than this: a bad client writes without end
MOST_UNREAD = 64 * 1024  # bytes that wait for a caller to read; some two hundred answers
MOST_OPEN = 400  # set-ups open on one connection; usual callers have tens
READ_BYTES = 64 * 1024  # of the one buffer that all connections share


class Hears(Protocol):
    """Who is told what callers say."""

    def caller_said(self, link: "CallerLink", message: sip.Message) -> None:
        """A whole message came."""

    def caller_closing(self, link: "CallerLink") -> None:
        """A connection is about to be closed from here: what is open on it is answered first."""

    def caller_closed(self, link: "CallerLink") -> None:
        """A connection is gone."""

    def open_on(self, link: "CallerLink") -> int:
        """How many set-ups are open on it."""

    def standing_on(self, link: "CallerLink") -> int:
        """How many calls stand whose set-up came on it."""

    def log(self, event: str, **facts: Any) -> None:
        """One line of the log."""


class CallerLink(asyncio.BufferedProtocol):
    """One connection from a caller."""

    __slots__ = (
        "door",
        "transport",
        "decoder",
        "since",
        "half_since",
        "closing_since",
        "discarded",
        "messages",
        "peer",
        "unreadable",
        "__weakref__",
    )

    def __init__(self, door: "Door") -> None:
        self.door = door
        self.transport: asyncio.Transport | None = None
        self.decoder = sip.Decoder()
        self.since = 0.0
        self.half_since: float | None = None
        self.closing_since: float | None = None
        self.discarded = 0  # bytes that came while it was being closed
        self.messages = 0  # whole ones that came
        self.peer = ""  # address of the other end, for the log
        self.unreadable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.since = self.door.loop.time()
        self.peer = str(transport.get_extra_info("peername"))
        self.door.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.door.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.closing_since is not None:
            self._read_while_closing(nbytes)
            return
        try:
            messages = self.decoder.feed(self.door.buffer[:nbytes])
        except sip.BadSip as bad:
            self.unreadable = True
            # The connection closes, so that no answer to a set-up before the noise could arrive: none is dialled.
            self._take(
                [one for one in bad.before if not (isinstance(one, sip.Request) and one.method == "INVITE")]
            )
            self.door.counts[f"door.{bad.limit}"] += 1
            self._refuse_and_close(bad)
            return
        self.messages += len(messages)
        if messages:
            self.door.heard(self)
        self._take(messages)
        if not self.decoder.pending:
            self.half_since = None
        elif self.half_since is None or messages:
            self.half_since = self.door.loop.time()

    def _read_while_closing(self, nbytes: int) -> None:
        """What comes after the close: the ends of calls count, and calls that are named, since nothing is answered to
        that; a set-up cannot be answered any more."""
        self.discarded += nbytes
        if self.discarded > LINGER_BYTES:
            self.door.abort(self)
        if self.unreadable or self.discarded > LINGER_BYTES:
            return
        try:
            messages = self.decoder.feed(self.door.buffer[:nbytes])
        except sip.BadSip:
            self.unreadable = True
            return
        for message in messages:
            if isinstance(message, sip.Response) or message.method == "BYE" or names_call(message):
                self.door.hears.caller_said(self, message)

    def _take(self, messages: list[sip.Message]) -> None:
        for message in messages:
            if self.closing_since is not None:
                return
            if (
                isinstance(message, sip.Request)
                and message.method == "INVITE"
                and self.door.hears.open_on(self) >= MOST_OPEN
            ):
                self.door.counts["door.open_on_link"] += 1
                self.write(sip.response(503, sip.echo(message)))
                continue
            self.door.hears.caller_said(self, message)

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
        if transport.get_write_buffer_size() > MOST_UNREAD:
            self.door.counts["door.unread"] += 1
            self.door.closing_for(self, "unread")
            self.closing_since = self.door.loop.time()
            transport.abort()
        return True

    def close(self, why: str) -> None:
        """Close once what was written is out and the other end has closed too. `why` is for the log."""
        if self.closing_since is not None:
            return
        self.door.closing_for(self, why)
        self.door.hears.caller_closing(self)
        self.closing_since = self.door.loop.time()
        self.door.table.lingers(self, self.closing_since)
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
            self.closing_since = self.door.loop.time()
        self.door.lost(self)


class Door:
    """All connections from callers, at most `most`, and for moments `room` more that have just come up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        hears: Hears,
        most: int,
        room: int,
        counts: Counter[str],
    ) -> None:
        self.loop, self.network, self.hears, self.counts = loop, network, hears, counts
        self.most, self.room = most, room
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.table: ConnectionTable[CallerLink] = ConnectionTable(hears.open_on, hears.standing_on)
        self.listener: Listener | None = None
        self._sweeping: Any = None
        self._looking_for_room: Any = None

    def listen(self, address: str, ready: Callable[[], None]) -> None:
        """Take connections at this address alone."""

        def listening(listener: Listener) -> None:
            self.listener = listener
            ready()

        self.network.listen(address, lambda: CallerLink(self), listening)
        self._sweeping = self.loop.call_later(SWEEP_S, self._sweep)

    def opened(self, link: CallerLink) -> None:
        """A connection is there. Guards the descriptors: where there are too many, others are closed, but not before
        what has come on all of them is read."""
        self.table.opened(link, self.loop.time())
        if self._too_many:
            if self.open > self.most + self.room and self.listener is not None:
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
        return self.table.in_service > self.most or self.open > self.most + self.room

    def _make_room(self) -> None:
        """Close connections where too many are in service, and read them to their end. While there is no room for that,
        and while it is not known what the new ones want, more of them wait to be taken."""
        now = self.loop.time()
        while self.table.in_service > self.most:
            evicted = self.table.next_to_evict(now)
            if evicted is None:
                break
            self.counts["door.full"] += 1
            evicted.close("full")
        while self.open > self.most + self.room:
            closed = self.table.next_to_reset(now)
            if closed is None:
                break
            self.abort(closed)
        if self.listener is not None:
            if self.open > self.most + self.room:
                self.listener.pause()
            else:
                self.listener.resume()
        if self._too_many and self._looking_for_room is None:
            self._looking_for_room = self.loop.call_later(ROOM_STEP_S, self._look_for_room)

    def _look_for_room(self) -> None:
        self._looking_for_room = None
        self._make_room()

    def heard(self, link: CallerLink) -> None:
        """A whole message came: it is the last to go of those that may."""
        link.since = self.loop.time()
        if link.closing_since is None:
            self.table.message_came(link, link.since)

    def abort(self, link: CallerLink) -> None:
        """Close at once, with a reset."""
        # It counts no more from here on: asyncio tells that it is lost only in the next turn, and in one turn a burst
        # brings hundreds, each of which must put another one out.
        self.table.forget(link)
        if link.closing_since is None:
            self.closing_for(link, "full")
        link.closing_since = link.closing_since or self.loop.time()
        if link.transport is not None:
            link.transport.abort()

    def lost(self, link: CallerLink) -> None:
        """A connection is gone."""
        self.table.forget(link)
        self.hears.caller_closed(link)

    def closing_for(self, link: CallerLink, why: str) -> None:
        """A connection is closed from here: say why, and what is left on it."""
        hears = self.hears
        hears.log(
            "caller_connection_closed",
            why=why,
            open=hears.open_on(link),
            established=hears.standing_on(link),
            peer=link.peer,
            messages=link.messages,
            quiet_ms=round((self.loop.time() - link.since) * 1000),
        )

    @property
    def open(self) -> int:
        """Connections that are open."""
        return len(self.table)

    def _sweep(self) -> None:
        now = self.loop.time()
        self._sweeping = self.loop.call_later(SWEEP_S, self._sweep)
        for link in list(self.table.closing):
            if link.closing_since is not None and now - link.closing_since > LINGER_S:
                self.abort(link)
        for link in [*self.table.silent, *self.table.heard]:
            if link.half_since is not None and now - link.half_since > HALF_S:
                if self.hears.open_on(link):
                    continue  # a slow writer; what it asked before is answered first
                self.counts["door.half"] += 1
                link.write(sip.response(408, ""))
                link.close("half")
            elif link in self.table.silent:
                if now - link.since > MOST_SILENT_S:
                    self.counts["door.silent"] += 1
                    link.close("silent")
            elif (
                now - link.since > IDLE_S
                and not self.hears.open_on(link)
                and not self.hears.standing_on(link)
            ):
                self.counts["door.idle"] += 1
                link.close("idle")

    def close_unused(self) -> None:
        """While draining: close each connection on which nothing is open, half said, or still to be told."""
        now = self.loop.time()
        for link in [*self.table.silent, *self.table.heard]:
            half = link.half_since is not None and now - link.half_since < HALF_SAID_S
            new = link in self.table.silent and now - link.since < SILENT_S
            if not (half or new or self.hears.open_on(link) or self.hears.standing_on(link)):
                link.close("draining")

    def stop_listening(self) -> None:
        """Take no new connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Close all."""
        self.stop_listening()
        for link in [*self.table.silent, *self.table.heard]:
            link.close("stopping")

    def abort_all(self) -> None:
        """Leave nothing open."""
        for timer in (self._sweeping, self._looking_for_room):
            if timer is not None:
                timer.cancel()
        for link in [*self.table.silent, *self.table.heard, *self.table.closing]:
            self.abort(link)
