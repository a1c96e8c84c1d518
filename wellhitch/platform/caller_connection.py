"""One connection from a caller: decodes what arrives, passes messages on as `CallerEvents`, and closes in such a way
that no answer is lost.

What arrives is handled at once as long as the loop keeps up. Then each connection holds a few kilobytes, is not read
meanwhile, and is served in turn (`fair_queue.py`).

Each limit on a connection has a name under which violations are counted: `unread`, `open_on_link` and those of the SIP
codec.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Hashable
from typing import Any, Protocol, TypeGuard, cast

from wellhitch.net.transport import Network
from wellhitch.platform.set_up_request import reports_established_call
from wellhitch.sip import codec as sip

# How much is read from a connection that is being closed; the limit stops a client that never ceases to write.
LINGER_BYTES = 256 * 1024
# Ends of calls, and reports of established ones; they count although no answer can be written.
METHODS_READ_TO_THE_END = frozenset(("BYE", "CANCEL", "INVITE"))
# What is read from a connection at once, and held where it must wait: some ten set-ups.
READ_AT_ONCE_BYTES = 4096
# Answers that wait for a caller to read: some two hundred.
MAX_UNSENT_BYTES = 64 * 1024
# Pending on one connection; ordinary callers have tens.
MAX_SET_UPS = 400


class CallerEvents(Protocol):
    """Receives what happens on callers' connections, and knows what is pending on each."""

    def message_received(self, connection: CallerConnection, message: sip.Message) -> None:
        """A complete message arrived."""

    def connection_closing(self, connection: CallerConnection) -> None:
        """This server is about to close a connection; its pending set-ups are to be answered."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """A connection is gone."""

    def set_ups_on(self, connection: CallerConnection) -> int:
        """How many set-ups are pending on a connection."""

    def calls_on(self, connection: CallerConnection) -> int:
        """How many established calls were set up on a connection."""

    def connections_for_ends(self) -> Collection[Hashable]:
        """The connections on which the end of a call may have to be told that was set up on another one."""

    def log(self, event: str, **facts: Any) -> None:
        """Write one line of the log."""


class ConnectionOwner(Protocol):
    """What a connection needs of the collection of all connections from callers."""

    loop: asyncio.AbstractEventLoop
    network: Network
    buffer: memoryview
    counts: Counter[str]
    events: CallerEvents

    def opened(self, connection: CallerConnection) -> None:
        """A connection came up."""

    def may_serve_now(self, connection: CallerConnection, size: int) -> bool:
        """Whether `size` bytes that have arrived on a connection may be handled at once."""

    def serve_later(self, connection: CallerConnection) -> None:
        """Call `serve_held` on a connection in a later turn of the loop."""

    def message_received(self, connection: CallerConnection) -> None:
        """A complete message arrived on a connection."""

    def closing_started(self, connection: CallerConnection) -> None:
        """This server began to close a connection."""

    def lost(self, connection: CallerConnection) -> None:
        """A connection is gone."""

    def abort(self, connection: CallerConnection) -> None:
        """Reset a connection at once."""

    def log_close(self, connection: CallerConnection, why: str) -> None:
        """Log why this server closes a connection."""

    def set_up_while_closing(self, connection: CallerConnection, set_up: sip.Request, answered: bool) -> None:
        """A set-up was read after the decision to close, and was refused if it was `answered`."""

    def set_up_ignored(self, connection: CallerConnection, set_up: sip.Request) -> None:
        """A set-up was read whose caller had left."""

    def after_reading(self, callback: Callable[[], None]) -> None:
        """Call `callback` once all that has arrived by now on any connection is read."""


class CallerConnection(asyncio.BufferedProtocol):
    """One connection from a caller."""

    __slots__ = (
        "owner",
        "transport",
        "decoder",
        "last_message_at",
        "last_used_at",
        "partial_since",
        "closing_since",
        "write_ended",
        "discarded_bytes",
        "message_count",
        "peer",
        "unreadable",
        "held",
        "caller_left",
        "__weakref__",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.decoder = sip.Decoder()
        self.last_message_at = 0.0  # or when the connection came up
        self.last_used_at = 0.0  # the same, or when it was last seen with a set-up or a call
        self.partial_since: float | None = None
        self.closing_since: float | None = (
            None  # when this server decided to close, or the connection was lost
        )
        self.write_ended = False  # nothing more can be written
        self.discarded_bytes = 0  # received while the connection is being closed
        self.message_count = 0  # complete messages received
        self.peer = ""  # address of the caller, for the log
        self.unreadable = False
        # Received, and left undecoded until the connection is served again; nothing more is read meanwhile.
        self.held = b""
        self.caller_left = False

    def __str__(self) -> str:
        """The caller's address, by which the log names the connection."""
        return self.peer

    @property
    def unsent_bytes(self) -> int:
        """How much of what was written the caller has not taken yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.last_message_at = self.last_used_at = self.owner.loop.time()
        self.peer = str(transport.get_extra_info("peername"))
        self.owner.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.owner.buffer if self.closing_since is not None else self.owner.buffer[:READ_AT_ONCE_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        data = self.owner.buffer[:nbytes]
        if self.closing_since is not None:
            self._read_while_closing(data)
        elif self.held or not self.owner.may_serve_now(self, nbytes):
            self._hold(data)
        else:
            self._serve(data)

    def _hold(self, data: memoryview) -> None:
        self.held += bytes(data)
        if self.transport is not None:
            self.transport.pause_reading()
        self.owner.serve_later(self)

    def _take_held(self) -> memoryview:
        data, self.held = memoryview(self.held), b""
        return data

    def serve_held(self) -> None:
        """Handle what was held, and read on."""
        data = self._take_held()
        if data and self.closing_since is None:
            self._serve(data)
        self._resume_reading()

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _serve(self, data: memoryview) -> None:
        try:
            messages = self.decoder.feed(data)
        except sip.BadSip as error:
            self.unreadable = True
            self._invalid_bytes_received(error)
            return
        self.message_count += len(messages)
        if messages:
            self.owner.message_received(self)
        self._dispatch(messages)
        if not self.decoder.pending:
            self.partial_since = None
        elif self.partial_since is None or messages:
            self.partial_since = self.owner.loop.time()

    def _read_while_closing(self, data: memoryview) -> None:
        """Read on after the decision to close: what ends a call counts on any connection."""
        self.discarded_bytes += len(data)
        if self.discarded_bytes > LINGER_BYTES:
            self.owner.abort(self)
        if self.unreadable or self.discarded_bytes > LINGER_BYTES:
            return
        try:
            messages = self.decoder.feed(data)
        except sip.BadSip as error:
            self.unreadable = True
            messages = error.messages_before
        self._dispatch(messages)

    def _receive_while_closing(self, message: sip.Message) -> None:
        """Handle a message that was read after the decision to close."""
        if _is_set_up(message):
            self._refuse_set_up(message)
        elif isinstance(message, sip.Response) or message.method in METHODS_READ_TO_THE_END:
            self.owner.events.message_received(self, message)

    def _refuse_set_up(self, set_up: sip.Request) -> None:
        """Refuse a set-up on a connection that is about to close, as long as an answer can be written."""
        answered = not self.write_ended and self._write_any(sip.response(503, sip.echo(set_up)))
        self.owner.set_up_while_closing(self, set_up, answered)

    def _dispatch(self, messages: list[sip.Message]) -> None:
        for message in messages:
            if self.closing_since is not None:
                self._receive_while_closing(message)
            elif _is_set_up(message) and self.has_left():
                self.owner.set_up_ignored(self, message)
            elif (
                isinstance(message, sip.Request)
                and message.method == "INVITE"
                and self.owner.events.set_ups_on(self) >= MAX_SET_UPS
            ):
                self.owner.counts["door.open_on_link"] += 1
                self.write(sip.response(503, sip.echo(message)))
            else:
                self.owner.events.message_received(self, message)

    def has_left(self) -> bool:
        """Whether the caller has closed or reset the connection. What it sent before that may still be unread then, and
        its set-ups are given up."""
        if not self.caller_left:
            self.caller_left = self.transport is None or self.owner.network.peer_has_ended(self.transport)
        return self.caller_left

    def _invalid_bytes_received(self, error: sip.BadSip) -> None:
        """Refuse the set-ups before the invalid bytes, as the connection closes before an office could answer."""
        self.owner.counts[f"door.{error.reason}"] += 1
        for message in error.messages_before:
            if _is_set_up(message):
                self._refuse_set_up(message)
            else:
                self.owner.events.message_received(self, message)
        request = error.request
        if request is None or request.method != "ACK":  # an ACK is never answered
            status = 413 if error.reason in ("too_large", "head_too_long", "too_many_headers") else 400
            self.write(sip.response(status, sip.echo(request) if request else ""))
        self.close(error.reason)

    def write(self, data: bytes) -> bool:
        """Write; False where the connection is closed or closing."""
        return self.closing_since is None and self._write_any(data)

    def _write_any(self, data: bytes) -> bool:
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.owner.counts["door.unread"] += 1
            self.owner.log_close(self, "unread")
            self.closing_since = self.owner.loop.time()
            transport.abort()
        return True

    def close(self, why: str) -> None:
        """Answer the pending set-ups and those that have arrived, then close once the written data is sent and the
        caller has closed too. `why` is for the log."""
        if self.closing_since is not None:
            return
        self.owner.log_close(self, why)
        self.owner.events.connection_closing(self)
        self.closing_since = self.owner.loop.time()
        self.owner.closing_started(self)
        if self.held:
            self._read_while_closing(self._take_held())
            self._resume_reading()
        self.owner.after_reading(self._end_writing)

    def _end_writing(self) -> None:
        self.write_ended = True
        if self.transport is None or self.transport.is_closing():
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
        if self.held:
            self._read_while_closing(self._take_held())
        self.owner.lost(self)


def _is_set_up(message: sip.Message) -> TypeGuard[sip.Request]:
    """Whether a message is a set-up, which needs an answer; a report of an established call is none."""
    return (
        isinstance(message, sip.Request)
        and message.method == "INVITE"
        and not reports_established_call(message)
    )
