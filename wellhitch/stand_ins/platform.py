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
        self.came, self.up = came, up
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray(65536)
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.up:
            self.up(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.came(self, bytes(self.buffer[:nbytes]))

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
    heard: list[tuple[int, sip.Message]] = field(default_factory=list)
    answers_bye: bool = True
    reads: bool = True
    refused: str = ""
    end: _Connection | None = None
    _waiting: list[bytes] = field(default_factory=list)
    _decoder: sip.Decoder = field(default_factory=sip.Decoder)

    def __post_init__(self) -> None:
        self.network.connect(self.address, lambda: _Connection(self._came, self._up), self._failed)

    def _failed(self, failure: ConnectFailure) -> None:
        self.refused = failure.detail

    def _up(self, end: _Connection) -> None:
        self.end = end
        if not self.reads and end.transport is not None:
            end.transport.pause_reading()
        for data in self._waiting:
            end.write(data)
        self._waiting.clear()

    def _came(self, end: _Connection, data: bytes) -> None:
        for message in self._decoder.feed(data):
            self.heard.append((now_us(self.loop), message))
            if isinstance(message, sip.Request) and message.method == "BYE" and self.answers_bye:
                self.say(sip.response(200, sip.echo(message)))

    def say(self, data: bytes) -> None:
        """Send bytes, once the connection is up."""
        if self.end is None:
            self._waiting.append(data)
        else:
            self.end.write(data)

    def close(self) -> None:
        """Close the connection."""
        if self.end is not None and self.end.transport is not None:
            self.end.transport.close()

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self.end is not None and self.end.closed

    def statuses(self, ref: str, method: str = "INVITE") -> list[int]:
        """The answers to one message of a dialogue, in order."""
        return [
            one.status
            for _, one in self.heard
            if isinstance(one, sip.Response)
            and one.headers.get("call-id") == ref
            and one.headers.get("cseq", "").endswith(method)
        ]

    def byes(self, ref: str) -> list[tuple[int, str]]:
        """When a dialogue was released towards this caller, and the reason told."""
        return [
            (at, one.headers.get("reason", ""))
            for at, one in self.heard
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
    took: list[tuple[int, lines.Line]] = field(default_factory=list)
    ends: list[_Connection] = field(default_factory=list)
    by_ref: dict[str, _Connection] = field(default_factory=dict)
    opened: int = 0
    resets: bool = False  # trouble: each link is reset when it has just come up
    listener: Listener | None = None
    _decoders: dict[_Connection, lines.Decoder] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.listen()

    def listen(self) -> None:
        """Take links."""
        self.network.listen(self.address, lambda: _Connection(self._came, self._up), self._ready)

    def _ready(self, listener: Listener) -> None:
        self.listener = listener

    def stop_listening(self) -> None:
        """Refuse links."""
        if self.listener is not None:
            self.listener.close()

    def _up(self, end: _Connection) -> None:
        self.opened += 1
        if self.resets and end.transport is not None:
            self.loop.call_later(0.005, end.transport.abort)
            return
        self.ends.append(end)
        self._decoders[end] = lines.Decoder()
        end.write(
            b'{"t":"gauge","ref":"0000000000000000","f":{"load":"spare:%d;total:%d"}}\n'
            % (self.spare, self.total)
        )

    def _came(self, end: _Connection, data: bytes) -> None:
        for line in self._decoders[end].feed(data):
            self.took.append((now_us(self.loop), line))
            if line.type == "new":
                self.by_ref[line.call_id] = end
                if self.answers:
                    self.up(line.call_id)

    def said(self, kind: str) -> list[lines.Line]:
        """The lines of one type that came."""
        return [line for _, line in self.took if line.type == kind]

    def raw(self, ref: str, data: bytes) -> None:
        """Send bytes on the link of a set-up."""
        self.by_ref[ref].write(data)

    def up(self, ref: str, description: str = "office's own\r\n") -> None:
        """Answer a set-up."""
        text = description.replace("\r\n", "\\r\\n")
        self.raw(ref, f'{{"t":"up","ref":"{ref}","f":{{}},"d":"{text}"}}\n'.encode())

    def down(self, ref: str, cause: int, note: str = "", end: _Connection | None = None) -> None:
        """Refuse a set-up or release a call, on its link or on another."""
        fields = f'"note":"{note}"' if note else ""
        (end or self.by_ref[ref]).write(
            f'{{"t":"down","ref":"{ref}","f":{{{fields}}},"c":{cause}}}\n'.encode()
        )

    def cut(self) -> None:
        """Reset every link."""
        for end in self.ends:
            if end.transport is not None and not end.closed:
                end.transport.abort()
        self.ends.clear()


@dataclass(eq=False)
class DiscoveryServer:
    """The notice board at an address: tells its events from the number that each connection asks after."""

    loop: asyncio.AbstractEventLoop
    network: Network
    address: str
    events: list[board_codec.Update] = field(default_factory=list)
    asked: list[tuple[int, int]] = field(default_factory=list)  # when, and after which number
    silent: bool = False
    listener: Listener | None = None
    ends: list[_Connection] = field(default_factory=list)
    _asking: dict[_Connection, bytes] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.network.listen(self.address, lambda: _Connection(self._came), self._ready)
        self.loop.call_later(1, self._beat)

    def _ready(self, listener: Listener) -> None:
        self.listener = listener

    def _came(self, end: _Connection, data: bytes) -> None:
        asking = self._asking.get(end, b"") + data
        self._asking[end] = asking
        if len(asking) == 8:
            number = int.from_bytes(asking, "big")
            self.asked.append((now_us(self.loop), number))
            self.ends.append(end)
            if not self.silent:
                for event in self.events:
                    if event.revision > number:
                        end.write(board_codec.encode_update(event))

    def _beat(self) -> None:
        self.loop.call_later(1, self._beat)
        last = max((event.revision for event in self.events), default=1)
        self.raw(board_codec.encode_update(board_codec.Update(last, False, (), True)))

    def raw(self, data: bytes) -> None:
        """Write bytes to all that follow."""
        if not self.silent:
            for end in self.ends:
                end.write(data)

    def tell(
        self, *rows: board_codec.DiscoveryEntry, whole: bool = False, loud: bool = True
    ) -> board_codec.Update:
        """A new event; not written to anybody where it is not `loud`."""
        last = max((event.revision for event in self.events), default=1)
        notice = board_codec.Update(last + 1, whole, rows)
        self.events.append(notice)
        if loud:
            self.raw(board_codec.encode_update(notice))
        return notice

    def cut(self) -> None:
        """Reset every connection."""
        for end in self.ends:
            if end.transport is not None and not end.closed:
                end.transport.abort()
        self.ends.clear()


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
