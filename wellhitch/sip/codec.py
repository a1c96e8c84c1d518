"""Bytes <-> messages. Any bytes, however cut, give messages or one `BadSip`; every length is bounded."""

import re
from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16 * 1024  # bytes; the platform's own bound
MAX_HEAD_BYTES = 8 * 1024  # bytes; half of a message: usual heads have three hundred
MAX_START_LINE_BYTES = 600  # bytes of a first line: far extra_headers than any address of the platform
MAX_HEADERS = 64  # usual messages have seven
SINGLE_VALUE_HEADERS = frozenset(("call-id", "cseq", "content-length", "x-tier", "x-deadline", "x-attrs"))
"""Headers that may stand once: with two, either reading could be the wrong one."""

_REQUEST = re.compile(r"([A-Z]{1,16}) (sips?:[!-~]{1,300}) SIP/2\.0")
_RESPONSE = re.compile(r"SIP/2\.0 ([1-6][0-9]{2})(?: [^\r\n]*)?")
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f]")
_NAME = re.compile(r"[A-Za-z0-9!%*_+`'~.-]{1,64}")


@dataclass(slots=True)
class Request:
    """A request: header names are lower-case."""

    method: str
    uri: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class Response:
    """A response: header names are lower-case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


Message = Request | Response


class BadSip(Exception):
    """Bytes that are no SIP of this platform. `reason` names the bound or the rule that was passed; `before` holds the
    messages that were good; `request` the one at fault as far as it could be read, to answer it by."""

    def __init__(self, reason: str, before: list[Message], request: Request | None = None) -> None:
        super().__init__(reason)
        self.reason, self.before, self.request = reason, before, request


class _Fault(Exception):
    def __init__(self, reason: str, request: Request | None = None) -> None:
        super().__init__(reason)
        self.reason, self.request = reason, request


class Decoder:
    """One end of one connection. After BadSip it is of no more use."""

    __slots__ = ("_held", "_message", "_need")

    def __init__(self) -> None:
        self._held = b""
        self._message: Message | None = None
        self._need = 0

    @property
    def pending(self) -> bool:
        """Whether a message has begun and is not whole."""
        return bool(self._held) or self._message is not None

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Whole messages. Raises BadSip."""
        out: list[Message] = []
        buffer = self._held + data if self._held else bytes(data)
        at = 0
        try:
            while True:
                if self._message is None:
                    while buffer.startswith(b"\r\n", at):  # keep-alive between messages
                        at += 2
                    end = buffer.find(b"\r\n\r\n", at, at + MAX_HEAD_BYTES)
                    if end < 0:
                        _unfinished(buffer, at)
                        break
                    self._message, self._need = _head(buffer[at:end])
                    at = end + 4
                if len(buffer) - at < self._need:
                    break
                self._message.body = buffer[at : at + self._need]
                out.append(self._message)
                at += self._need
                self._message = None
        except _Fault as fault:
            self._held, self._message = b"", None
            raise BadSip(fault.reason, out, fault.request) from None
        self._held = buffer[at:] if at else buffer
        return out


def _unfinished(buffer: bytes, at: int) -> None:
    """What a head that is not whole must keep to already, so that noise is found when it comes, not at its end."""
    if len(buffer) - at >= MAX_HEAD_BYTES:
        raise _Fault("head_too_long")
    line = buffer.find(b"\r\n", at, at + MAX_START_LINE_BYTES)
    if line >= 0:
        _start(buffer[at:line])
    elif len(buffer) - at >= MAX_START_LINE_BYTES:
        raise _Fault("start_line")


def _start(line: bytes) -> Message:
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise _Fault("start_line") from None
    found = _REQUEST.fullmatch(text)
    if found:
        return Request(found[1], found[2])
    found = _RESPONSE.fullmatch(text)
    if found:
        return Response(int(found[1]))
    raise _Fault("start_line")


def _head(head: bytes) -> tuple[Message, int]:
    """The message without its body, and how long that is."""
    first, _, rest = head.partition(b"\r\n")
    message = _start(first)
    request = message if isinstance(message, Request) else None
    try:
        lines = rest.decode("utf-8").split("\r\n") if rest else []
    except UnicodeDecodeError:
        raise _Fault("no_text", request) from None
    if len(lines) > MAX_HEADERS:
        raise _Fault("too_many_headers", request)
    headers, fault = message.headers, ""
    for line in lines:
        name, colon, value = line.partition(":")
        name = name.rstrip(" \t").lower()
        if not colon or not _NAME.fullmatch(name) or _CONTROL.search(value):
            fault = fault or "header"
        elif name not in headers:
            headers[name] = value.strip(" \t")
        elif name in SINGLE_VALUE_HEADERS:
            fault = fault or "header_twice"
        else:
            headers[name] += ", " + value.strip(" \t")
    if fault:
        raise _Fault(fault, request)
    told = headers.get("content-length")
    if told is None:
        raise _Fault("no_length", request)
    if not (told.isascii() and told.isdigit()):
        raise _Fault("length", request)
    if len(told) > 9 or len(head) + 4 + int(told) > MAX_MESSAGE_BYTES:
        raise _Fault("too_large", request)
    return message, int(told)


REASONS = {
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
    """The header lines that every response to a request repeats."""
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
    """A response; `extra_headers` holds whole header lines."""
    head = f"SIP/2.0 {status} {REASONS.get(status, '')}\r\n{echoed}{extra_headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def request(method: str, call_id: str, cseq: int, extra_headers: str = "") -> bytes:
    """A request without a body, from the call server to a caller; `extra_headers` holds whole header lines."""
    return (
        f"{method} sip:caller@net SIP/2.0\r\nVia: SIP/2.0/TCP exchange\r\nCall-ID: {call_id}\r\n"
        f"CSeq: {cseq} {method}\r\n{extra_headers}Content-Length: 0\r\n\r\n"
    ).encode()
