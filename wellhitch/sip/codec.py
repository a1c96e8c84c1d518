"""Decoder and encoder of SIP messages.

Bytes in any chunks decode to messages or to one `BadSip`. The length of every part of a message is bounded.
"""

import re
from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16 * 1024  # the bound that the platform's protocol sets
MAX_HEAD_BYTES = 8 * 1024  # half of a message; usual heads have 300 bytes
MAX_START_LINE_BYTES = 600  # far longer than with any address of the platform
MAX_HEADERS = 64  # usual messages have seven
SINGLE_VALUE_HEADERS = frozenset(("call-id", "cseq", "content-length", "x-tier", "x-deadline", "x-attrs"))
"""Headers that must not be repeated: with two values, either could be the wrong one."""

_REQUEST_LINE = re.compile(r"([A-Z]{1,16}) (sips?:[!-~]{1,300}) SIP/2\.0")
_STATUS_LINE = re.compile(r"SIP/2\.0 ([1-6][0-9]{2})(?: [^\r\n]*)?")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f]")
_HEADER_NAME = re.compile(r"[A-Za-z0-9!%*_+`'~.-]{1,64}")


@dataclass(slots=True)
class Request:
    """A request. Header names are in lower case."""

    method: str
    uri: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class Response:
    """A response. Header names are in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


Message = Request | Response


class BadSip(Exception):
    """Bytes that are not a valid message.

    `reason` names the violated rule or limit. `messages_before` holds the valid messages that were decoded from the
    same chunk. `request` is the invalid request as far as it could be read, so that it can be answered.
    """

    def __init__(self, reason: str, messages_before: list[Message], request: Request | None = None) -> None:
        super().__init__(reason)
        self.reason, self.messages_before, self.request = reason, messages_before, request


class _InvalidMessage(Exception):
    def __init__(self, reason: str, request: Request | None = None) -> None:
        super().__init__(reason)
        self.reason, self.request = reason, request


class Decoder:
    """Decodes what one connection receives. It must not be used after a BadSip."""

    __slots__ = ("_body_length", "_buffered", "_message")

    def __init__(self) -> None:
        self._buffered = b""
        self._message: Message | None = None
        self._body_length = 0

    @property
    def pending(self) -> bool:
        """Whether an incomplete message is buffered."""
        return bool(self._buffered) or self._message is not None

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Return the messages that `data` completes. Raises BadSip."""
        messages: list[Message] = []
        buffer = self._buffered + data if self._buffered else bytes(data)
        position = 0
        try:
            while True:
                if self._message is None:
                    while buffer.startswith(b"\r\n", position):  # keep-alive between messages
                        position += 2
                    head_end = buffer.find(b"\r\n\r\n", position, position + MAX_HEAD_BYTES)
                    if head_end < 0:
                        _check_incomplete_head(buffer, position)
                        break
                    self._message, self._body_length = _parse_head(buffer[position:head_end])
                    position = head_end + 4
                if len(buffer) - position < self._body_length:
                    break
                self._message.body = buffer[position : position + self._body_length]
                messages.append(self._message)
                position += self._body_length
                self._message = None
        except _InvalidMessage as error:
            self._buffered, self._message = b"", None
            raise BadSip(error.reason, messages, error.request) from None
        self._buffered = buffer[position:] if position else buffer
        return messages


def _check_incomplete_head(buffer: bytes, position: int) -> None:
    """Check the start line and the length of a head before all of it has arrived, so that invalid bytes are detected
    without waiting for its end."""
    if len(buffer) - position >= MAX_HEAD_BYTES:
        raise _InvalidMessage("head_too_long")
    line_end = buffer.find(b"\r\n", position, position + MAX_START_LINE_BYTES)
    if line_end >= 0:
        _parse_start_line(buffer[position:line_end])
    elif len(buffer) - position >= MAX_START_LINE_BYTES:
        raise _InvalidMessage("start_line")


def _parse_start_line(line: bytes) -> Message:
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise _InvalidMessage("start_line") from None
    match = _REQUEST_LINE.fullmatch(text)
    if match:
        return Request(match[1], match[2])
    match = _STATUS_LINE.fullmatch(text)
    if match:
        return Response(int(match[1]))
    raise _InvalidMessage("start_line")


def _parse_head(head: bytes) -> tuple[Message, int]:
    """Return the message without its body, and the length of the body in bytes."""
    start_line, _, rest = head.partition(b"\r\n")
    message = _parse_start_line(start_line)
    request = message if isinstance(message, Request) else None
    try:
        lines = rest.decode("utf-8").split("\r\n") if rest else []
    except UnicodeDecodeError:
        raise _InvalidMessage("no_text", request) from None
    if len(lines) > MAX_HEADERS:
        raise _InvalidMessage("too_many_headers", request)
    headers, reason = message.headers, ""
    for line in lines:
        name, colon, value = line.partition(":")
        name = name.rstrip(" \t").lower()
        if not colon or not _HEADER_NAME.fullmatch(name) or _CONTROL_CHARACTER.search(value):
            reason = reason or "header"
        elif name not in headers:
            headers[name] = value.strip(" \t")
        elif name in SINGLE_VALUE_HEADERS:
            reason = reason or "header_twice"
        else:
            headers[name] += ", " + value.strip(" \t")
    if reason:
        raise _InvalidMessage(reason, request)
    content_length = headers.get("content-length")
    if content_length is None:
        raise _InvalidMessage("no_length", request)
    if not (content_length.isascii() and content_length.isdigit()):
        raise _InvalidMessage("length", request)
    if len(content_length) > 9 or len(head) + 4 + int(content_length) > MAX_MESSAGE_BYTES:
        raise _InvalidMessage("too_large", request)
    return message, int(content_length)


REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    481: "Call/Transaction Does Not Exist",
    487: "Request Terminated",
    500: "Server Internal Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}


def echo(request: Request) -> str:
    """Return the header lines that a response repeats from its request."""
    headers = request.headers
    lines = [
        f"{name}: {headers[key]}\r\n"
        for key, name in (
            ("via", "Via"),
            ("from", "From"),
            ("to", "To"),
            ("call-id", "Call-ID"),
            ("cseq", "CSeq"),
        )
        if key in headers
    ]
    return "".join(lines)


def response(status: int, echoed: str, body: bytes = b"", extra_headers: str = "") -> bytes:
    """Encode a response. `extra_headers` holds complete header lines."""
    head = (
        f"SIP/2.0 {status} {REASON_PHRASES.get(status, '')}\r\n"
        f"{echoed}{extra_headers}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def request(method: str, call_id: str, cseq: int, extra_headers: str = "") -> bytes:
    """Encode a request without a body from the call server to a caller. `extra_headers` holds complete header lines."""
    return (
        f"{method} sip:caller@net SIP/2.0\r\nVia: SIP/2.0/TCP exchange\r\nCall-ID: {call_id}\r\n"
        f"CSeq: {cseq} {method}\r\n{extra_headers}Content-Length: 0\r\n\r\n"
    ).encode()
