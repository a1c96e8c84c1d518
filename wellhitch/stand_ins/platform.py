"""Simulated callers, offices and discovery of the operators' platform, on the call server's network interface. They
send any bytes they are given, valid or not, and keep all received messages with their times."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from wellhitch.board import codec as board_codec
from wellhitch.net.transport import ConnectFailure, Listener, Network, now_us
from wellhitch.office_lines import codec as lines
from wellhitch.sip import codec as sip


class _Connection(asyncio.BufferedProtocol):
    """One end of a stream that passes received bytes on."""

    def __init__(
        self,
        on_data: Callable[["_Connection", bytes], None],
        on_connected: Callable[["_Connection"], None] | None = None,
    ) -> None:
        self.on_data, self.on_connected = on_data, on_connected
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
        """Send any bytes."""
        if self.transport is not None and not self.closed:
            self.transport.write(data)


@dataclass(eq=False)
class Caller:
    """One connection from a caller. Answers BYE unless `answers_bye` is off."""

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

    def _connected(self, connection: _Connection) -> None:
        self.connection = connection
        if not self.reads and connection.transport is not None:
            connection.transport.pause_reading()
        for data in self._unsent:
            connection.write(data)
        self._unsent.clear()

    def _data_received(self, connection: _Connection, data: bytes) -> None:
        for message in self._decoder.feed(data):
            self.received.append((now_us(self.loop), message))
            if isinstance(message, sip.Request) and message.method == "BYE" and self.answers_bye:
                self.send(sip.response(200, sip.echo(message)))

    def send(self, data: bytes) -> None:
        """Send bytes as soon as the connection is established."""
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

    def statuses(self, call_id: str, method: str = "INVITE") -> list[int]:
        """The response statuses to one request of a dialogue, in order."""
        return [
            message.status
            for _, message in self.received
            if isinstance(message, sip.Response)
            and message.headers.get("call-id") == call_id
            and message.headers.get("cseq", "").endswith(method)
        ]

    def byes(self, call_id: str) -> list[tuple[int, str]]:
        """The time and reason of each release of a dialogue towards this caller."""
        return [
            (time_us, message.headers.get("reason", ""))
            for time_us, message in self.received
            if isinstance(message, sip.Request)
            and message.method == "BYE"
            and message.headers.get("call-id") == call_id
        ]


@dataclass(eq=False)
class PlatformOffice:
    """One office at an address. `answers`: whether it answers each set-up immediately."""

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
    resets_connections: bool = False  # fault: each connection is reset just after it opened
    listener: Listener | None = None
    _decoders: dict[_Connection, lines.Decoder] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.listen()

    def listen(self) -> None:
        """Accept connections."""
        self.network.listen(
            self.address, lambda: _Connection(self._data_received, self._connected), self._ready
        )

    def _ready(self, listener: Listener) -> None:
        self.listener = listener

    def stop_listening(self) -> None:
        """Refuse connections."""
        if self.listener is not None:
            self.listener.close()

    def _connected(self, connection: _Connection) -> None:
        self.connections_opened += 1
        if self.resets_connections and connection.transport is not None:
            self.loop.call_later(0.005, connection.transport.abort)
            return
        self.connections.append(connection)
        self._decoders[connection] = lines.Decoder()
        connection.write(
            b'{"t":"gauge","ref":"0000000000000000","f":{"load":"spare:%d;total:%d"}}\n'
            % (self.spare, self.total)
        )

    def _data_received(self, connection: _Connection, data: bytes) -> None:
        for line in self._decoders[connection].feed(data):
            self.received.append((now_us(self.loop), line))
            if line.type == "new":
                self.connection_by_call_id[line.call_id] = connection
                if self.answers:
                    self.answer(line.call_id)

    def lines_of_type(self, kind: str) -> list[lines.Line]:
        """The received lines of one type."""
        return [line for _, line in self.received if line.type == kind]

    def send_raw(self, call_id: str, data: bytes) -> None:
        """Send bytes on the connection of a set-up."""
        self.connection_by_call_id[call_id].write(data)

    def answer(self, call_id: str, description: str = "office's own\r\n") -> None:
        """Answer a set-up."""
        text = description.replace("\r\n", "\\r\\n")
        self.send_raw(call_id, f'{{"t":"up","ref":"{call_id}","f":{{}},"d":"{text}"}}\n'.encode())

    def end_call(
        self, call_id: str, cause: int, note: str = "", connection: _Connection | None = None
    ) -> None:
        """Reject a set-up or release a call, on its connection or on another."""
        fields = f'"note":"{note}"' if note else ""
        (connection or self.connection_by_call_id[call_id]).write(
            f'{{"t":"down","ref":"{call_id}","f":{{{fields}}},"c":{cause}}}\n'.encode()
        )

    def reset_connections(self) -> None:
        """Reset every connection."""
        for connection in self.connections:
            if connection.transport is not None and not connection.closed:
                connection.transport.abort()
        self.connections.clear()


@dataclass(eq=False)
class DiscoveryServer:
    """The discovery service at an address: sends each connection the updates after the revision it asks for."""

    loop: asyncio.AbstractEventLoop
    network: Network
    address: str
    updates: list[board_codec.Update] = field(default_factory=list)
    subscriptions: list[tuple[int, int]] = field(default_factory=list)  # (time, revision asked for)
    silent: bool = False
    listener: Listener | None = None
    connections: list[_Connection] = field(default_factory=list)
    _partial_requests: dict[_Connection, bytes] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.network.listen(self.address, lambda: _Connection(self._data_received), self._ready)
        self.loop.call_later(1, self._send_heartbeat)

    def _ready(self, listener: Listener) -> None:
        self.listener = listener

    def _data_received(self, connection: _Connection, data: bytes) -> None:
        request = self._partial_requests.get(connection, b"") + data
        self._partial_requests[connection] = request
        if len(request) == 8:
            revision = int.from_bytes(request, "big")
            self.subscriptions.append((now_us(self.loop), revision))
            self.connections.append(connection)
            if not self.silent:
                for update in self.updates:
                    if update.revision > revision:
                        connection.write(board_codec.encode_update(update))

    def _send_heartbeat(self) -> None:
        self.loop.call_later(1, self._send_heartbeat)
        last_revision = max((update.revision for update in self.updates), default=1)
        self.send_raw(board_codec.encode_update(board_codec.Update(last_revision, False, (), True)))

    def send_raw(self, data: bytes) -> None:
        """Send bytes to all subscribers."""
        if not self.silent:
            for connection in self.connections:
                connection.write(data)

    def publish(
        self, *rows: board_codec.DiscoveryEntry, whole: bool = False, send: bool = True
    ) -> board_codec.Update:
        """Add an update, and send it to the subscribers if `send`."""
        last_revision = max((update.revision for update in self.updates), default=1)
        update = board_codec.Update(last_revision + 1, whole, rows)
        self.updates.append(update)
        if send:
            self.send_raw(board_codec.encode_update(update))
        return update

    def reset_connections(self) -> None:
        """Reset every connection."""
        for connection in self.connections:
            if connection.transport is not None and not connection.closed:
                connection.transport.abort()
        self.connections.clear()


def invite(
    call_id: str,
    destination: int = 1,
    traffic_class: str = "cheap",
    left_ms: int = 1000,
    extra_attributes: str = "",
    body: bytes = b"caller's own\r\n",
    key: str = "7f3a9c21e0b4d655",
) -> bytes:
    """A set-up as sent by callers; `extra_attributes` is appended to X-Attrs."""
    return (
        f"INVITE sip:{key}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\nCSeq: 1 INVITE\r\n"
        f"X-Tier: {traffic_class}\r\nX-Deadline: {left_ms}\r\n"
        f"X-Attrs: dest:{destination};width:1;via:-1{extra_attributes}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def bodyless_request(method: str, call_id: str) -> bytes:
    """A request without a body: ACK, CANCEL, BYE or OPTIONS."""
    return (
        f"{method} sip:exchange@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\nCSeq: 1 {method}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()
