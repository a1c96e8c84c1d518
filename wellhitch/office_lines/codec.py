"""Bytes <-> messages. Any bytes, however cut, give lines or one `BadLine`; every length is bounded."""

import msgspec

MAX_LINE_BYTES = 16 * 1024  # bytes; the platform's own bound


class Line(msgspec.Struct):
    """One message: its type, the id, fields (strings or numbers), and where they belong a cause and a description."""

    t: str
    ref: str = ""
    f: dict[str, str | int | float | bool | None] = {}
    c: int | None = None
    d: str | None = None


class BadLine(Exception):
    """Bytes that are no line of an office. `reason` names what was passed; `before` holds the lines that were good."""

    def __init__(self, reason: str, before: list[Line]) -> None:
        super().__init__(reason)
        self.reason, self.before = reason, before


class Decoder:
    """One end of one link. After BadLine it is of no more use."""

    __slots__ = ("_held",)

    _decoder = msgspec.json.Decoder(Line, strict=False)  # figures may come as strings

    def __init__(self) -> None:
        self._held = b""

    @property
    def pending(self) -> bool:
        """Whether a line has begun and is not whole."""
        return bool(self._held)

    def feed(self, data: bytes | memoryview) -> list[Line]:
        """Whole lines. Raises BadLine."""
        buffer = self._held + data if self._held else bytes(data)
        parts = buffer.split(b"\n")
        self._held = parts.pop()
        out: list[Line] = []
        for part in parts:
            if len(part) >= MAX_LINE_BYTES:
                raise BadLine("line_too_long", out)
            if not part.strip():
                continue
            try:
                line = self._decoder.decode(part)
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError):
                raise BadLine("line_unreadable", out) from None
            out.append(line)
        if len(self._held) >= MAX_LINE_BYTES:
            raise BadLine("line_too_long", out)
        return out


_encode = msgspec.json.Encoder().encode


def set_up(ref: str, use_case: str, key: str, left_ms: int, description: str) -> bytes:
    """A set-up."""
    fields = {"class": use_case, "key": key, "left": str(left_ms)}
    return _encode({"t": "new", "ref": ref, "f": fields, "d": description}) + b"\n"


def release(ref: str, cause: int) -> bytes:
    """A set-up given up, or a release."""
    return _encode({"t": "down", "ref": ref, "f": {}, "c": cause}) + b"\n"


def test(ref: str) -> bytes:
    """A test, which a working endpoint answers at once."""
    return _encode({"t": "hb", "ref": ref, "f": {}, "c": 0}) + b"\n"


def parse_load(load: object) -> dict[str, float]:
    """A load report, `name:figure` parted by semicolons; what is no figure is skipped."""
    out: dict[str, float] = {}
    if isinstance(load, str):
        for part in load.split(";")[:16]:
            name, _, figure = part.partition(":")
            try:
                out[name.strip()] = float(figure)
            except ValueError:
                continue
    return out
