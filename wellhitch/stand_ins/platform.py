"""Stand-ins for callers, offices and the notice board of the operators' platform, over the call server's own seam.
They say what they are told to, sound or not, and keep all that they hear with the time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from wellhitch.board import codec as board_codec
from wellhitch.net.transport import ConnectFailure, Listener, Network, now_us
from wellhitch.office_lines import codec as lines
from wellhitch.sip import codec as sip


class _Connection(asyncio.BufferedProtocol):
    """One end of a stream that hands on what comes."""

    def __init__(
        self, came: Callable[["_Connection", bytes], None], up: Callable[["_Connection"], None] | None = None
    ) -> None:
        self.on_data, self.on_connected = came, up
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray(65536)
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.on_connected:
            self.on_connected(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.on_data(self, bytes(self.buffer[:nbytes]))

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True

    def write(self, data: bytes) -> None:
        """Send bytes, whatever they are."""
        if self.transport is not None and not self.closed:
            self.transport.write(data)


@dataclass(eq=False)
class Caller:
    """One connection from a caller. Answers BYE as usual callers do, unless told not to."""

    loop: asyncio.AbstractEventLoop
    network: Network
    address: str
    received: list[tuple[int, sip.Message]] = field(default_factory=list)
    answers_bye: bool = True
    reads: bool = True
    connect_error: str = ""
    connection: _Connection | None = None
    _unsent: list[bytes] = field(default_factory=list)
    _decoder: sip.Decoder = field(default_factory=sip.Decoder)

    def __post_init__(self) -> None:
        self.network.connect(
            self.address, lambda: _Connection(self._data_received, self._connected), self._connect_failed
        )

    def _connect_failed(self, failure: ConnectFailure) -> None:
        self.connect_error = failure.detail

    def _connected(self, end: _Connection) -> None:
        self.connection = end
        if not self.reads and end.transport is not None:
            end.transport.pause_reading()
        for data in self._unsent:
            end.write(data)
        self._unsent.clear()

    def _data_received(self, end: _Connection, data: bytes) -> None:
        for message in self._decoder.feed(data):
            self.received.append((now_us(self.loop), message))
            if isinstance(message, sip.Request) and message.method == "BYE" and self.answers_bye:
                self.send(sip.response(200, sip.echo(message)))

    def send(self, data: bytes) -> None:
        """Send bytes, once the connection is up."""
        if self.connection is None:
            self._unsent.append(data)
        else:
            self.connection.write(data)

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.close()

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self.connection is not None and self.connection.closed

    def statuses(self, ref: str, method: str = "INVITE") -> list[int]:
        """The answers to one message of a dialogue, in order."""
        return [
            one.status
            for _, one in self.received
            if isinstance(one, sip.Response)
            and one.headers.get("call-id") == ref
            and one.headers.get("cseq", "").endswith(method)
        ]

    def byes(self, ref: str) -> list[tuple[int, str]]:
        """When a dialogue was released towards this caller, and the reason told."""
        return [
            (at, one.headers.get("reason", ""))
            for at, one in self.received
            if isinstance(one, sip.Request) and one.method == "BYE" and one.headers.get("call-id") == ref
        ]


@dataclass(eq=False)
class PlatformOffice:
    """One office at an address. `answers`: whether it answers each set-up at once."""

    loop: asyncio.AbstractEventLoop
    network: Network
    address: str
    answers: bool = True
    spare: int = 50
    total: int = 50
    received: list[tuple[int, lines.Line]] = field(default_factory=list)
    connections: list[_Connection] = field(default_factory=list)
    connection_by_call_id: dict[str, _Connection] = field(default_factory=dict)
    connections_opened: int = 0
    resets_connections: bool = False  # trouble: each link is reset when it has just come up
    listener: Listener | None = None
    _decoders: dict[_Connection, lines.Decoder] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.listen()

    def listen(self) -> None:
        """Take links."""
        self.network.listen(
            self.address, lambda: _Connection(self._data_received, self._connected), self._ready
        )

    def _ready(self, listener: Listener) -> None:
        self.listener = listener

    def stop_listening(self) -> None:
        """Refuse links."""
        if self.listener is not None:
            self.listener.close()

    def _connected(self, end: _Connection) -> None:
        self.connections_opened += 1
        if self.resets_connections and end.transport is not None:
            self.loop.call_later(0.005, end.transport.abort)
            return
        self.connections.append(end)
        self._decoders[end] = lines.Decoder()
        end.write(
            b'{"t":"gauge","ref":"0000000000000000","f":{"load":"spare:%d;total:%d"}}\n'
            % (self.spare, self.total)
        )

    def _data_received(self, end: _Connection, data: bytes) -> None:
        for line in self._decoders[end].feed(data):
            self.received.append((now_us(self.loop), line))
            if line.type == "new":
                self.connection_by_call_id[line.call_id] = end
                if self.answers:
                    self.answer(line.call_id)

    def lines_of_type(self, kind: str) -> list[lines.Line]:
        """The lines of one type that came."""
        return [line for _, line in self.received if line.type == kind]

    def send_raw(self, ref: str, data: bytes) -> None:
        """Send bytes on the link of a set-up."""
        self.connection_by_call_id[ref].write(data)

    def answer(self, ref: str, description: str = "office's own\r\n") -> None:
        """Answer a set-up."""
        text = description.replace("\r\n", "\\r\\n")
        self.send_raw(ref, f'{{"t":"up","ref":"{ref}","f":{{}},"d":"{text}"}}\n'.encode())

    def end_call(self, ref: str, cause: int, note: str = "", end: _Connection | None = None) -> None:
        """Refuse a set-up or release a call, on its link or on another."""
        fields = f'"note":"{note}"' if note else ""
        (end or self.connection_by_call_id[ref]).write(
            f'{{"t":"down","ref":"{ref}","f":{{{fields}}},"c":{cause}}}\n'.encode()
        )

    def reset_connections(self) -> None:
        """Reset every link."""
        for end in self.connections:
            if end.transport is not None and not end.closed:
                end.transport.abort()
        self.connections.clear()


@dataclass(eq=False)
class DiscoveryServer:
    """The notice board at an address: tells its events from the number that each connection asks after."""

    loop: asyncio.AbstractEventLoop
    network: Network
    address: str
    updates: list[board_codec.Update] = field(default_factory=list)
    subscriptions: list[tuple[int, int]] = field(default_factory=list)  # when, and after which number
    silent: bool = False
    listener: Listener | None = None
    connections: list[_Connection] = field(default_factory=list)
    _partial_requests: dict[_Connection, bytes] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.network.listen(self.address, lambda: _Connection(self._data_received), self._ready)
        self.loop.call_later(1, self._send_heartbeat)

    def _ready(self, listener: Listener) -> None:
        self.listener = listener

    def _data_received(self, end: _Connection, data: bytes) -> None:
        asking = self._partial_requests.get(end, b"") + data
        self._partial_requests[end] = asking
        if len(asking) == 8:
            number = int.from_bytes(asking, "big")
            self.subscriptions.append((now_us(self.loop), number))
            self.connections.append(end)
            if not self.silent:
                for event in self.updates:
                    if event.revision > number:
                        end.write(board_codec.encode_update(event))

    def _send_heartbeat(self) -> None:
        self.loop.call_later(1, self._send_heartbeat)
        last = max((event.revision for event in self.updates), default=1)
        self.send_raw(board_codec.encode_update(board_codec.Update(last, False, (), True)))

    def send_raw(self, data: bytes) -> None:
        """Write bytes to all that follow."""
        if not self.silent:
            for end in self.connections:
                end.write(data)

    def publish(
        self, *rows: board_codec.DiscoveryEntry, whole: bool = False, loud: bool = True
    ) -> board_codec.Update:
        """A new event; not written to anybody where it is not `loud`."""
        last = max((event.revision for event in self.updates), default=1)
        notice = board_codec.Update(last + 1, whole, rows)
        self.updates.append(notice)
        if loud:
            self.send_raw(board_codec.encode_update(notice))
        return notice

    def reset_connections(self) -> None:
        """Reset every connection."""
        for end in self.connections:
            if end.transport is not None and not end.closed:
                end.transport.abort()
        self.connections.clear()


def invite(
    ref: str,
    destination: int = 1,
    use_case: str = "cheap",
    left_ms: int = 1000,
    more: str = "",
    body: bytes = b"caller's own\r\n",
    key: str = "7f3a9c21e0b4d655",
) -> bytes:
    """A set-up as callers write it; `more` goes on in X-Attrs."""
    return (
        f"INVITE sip:{key}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {ref}\r\nCSeq: 1 INVITE\r\n"
        f"X-Tier: {use_case}\r\nX-Deadline: {left_ms}\r\nX-Attrs: dest:{destination};width:1;via:-1{more}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def bodyless_request(method: str, ref: str) -> bytes:
    """A message without a body: ACK, CANCEL, BYE, OPTIONS."""
    return (
        f"{method} sip:exchange@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {ref}\r\nCSeq: 1 {method}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()
