"""Decoder and encoder of office lines: newline-delimited JSON messages between the call server and an office.

Bytes in any chunks decode to lines or to one `BadLine`. The length of a line is bounded.
"""

import msgspec

MAX_LINE_BYTES = 16 * 1024  # the bound that the platform's protocol sets


class Line(msgspec.Struct):
    """One message. `call_id` is the caller's Call-ID, or the id of a liveness test."""

    type: str = msgspec.field(name="t")
    call_id: str = msgspec.field(name="ref", default="")
    fields: dict[str, str | int | float | bool | None] = msgspec.field(name="f", default_factory=dict)
    cause: int | None = msgspec.field(name="c", default=None)
    description: str | None = msgspec.field(name="d", default=None)


class BadLine(Exception):
    """Bytes that are not an office line. `reason` names the violated rule; `lines_before` holds the valid lines that
    were decoded from the same chunk."""

    def __init__(self, reason: str, lines_before: list[Line]) -> None:
        super().__init__(reason)
        self.reason, self.lines_before = reason, lines_before


class Decoder:
    """Decodes what one connection receives. It must not be used after a BadLine."""

    __slots__ = ("_buffered",)

    _decoder = msgspec.json.Decoder(Line, strict=False)  # numbers may come as strings

    def __init__(self) -> None:
        self._buffered = b""

    @property
    def pending(self) -> bool:
        """Whether an incomplete line is buffered."""
        return bool(self._buffered)

    def feed(self, data: bytes | memoryview) -> list[Line]:
        """Return the lines that `data` completes. Raises BadLine."""
        buffer = self._buffered + data if self._buffered else bytes(data)
        parts = buffer.split(b"\n")
        self._buffered = parts.pop()
        lines: list[Line] = []
        for part in parts:
            if len(part) >= MAX_LINE_BYTES:
                raise BadLine("line_too_long", lines)
            if not part.strip():
                continue
            try:
                line = self._decoder.decode(part)
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError):
                raise BadLine("line_unreadable", lines) from None
            lines.append(line)
        if len(self._buffered) >= MAX_LINE_BYTES:
            raise BadLine("line_too_long", lines)
        return lines


_encode = msgspec.json.Encoder().encode


def set_up(
    call_id: str, traffic_class: str, called_number: str, time_left_ms: int, description: str
) -> bytes:
    """Encode a set-up request."""
    fields = {"class": traffic_class, "key": called_number, "left": str(time_left_ms)}
    return _encode({"t": "new", "ref": call_id, "f": fields, "d": description}) + b"\n"


def release(call_id: str, cause: int) -> bytes:
    """Encode the release of a call, or the cancellation of a set-up that has no answer yet."""
    return _encode({"t": "down", "ref": call_id, "f": {}, "c": cause}) + b"\n"


def test(test_id: str) -> bytes:
    """Encode a liveness test, which a working office answers at once."""
    return _encode({"t": "hb", "ref": test_id, "f": {}, "c": 0}) + b"\n"


def parse_load(load: object) -> dict[str, float]:
    """Parse a load report, `name:number` pairs separated by semicolons. Pairs without a valid number are skipped."""
    values: dict[str, float] = {}
    if isinstance(load, str):
        for part in load.split(";")[:16]:
            name, _, number = part.partition(":")
            try:
                values[name.strip()] = float(number)
            except ValueError:
                continue
    return values
