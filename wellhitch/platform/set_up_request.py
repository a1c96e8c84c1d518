"""What a set-up must be to be taken. Pure: limits of the door, each with its name; nothing of routing or admission."""

import re
from collections.abc import Mapping
from dataclasses import dataclass

from wellhitch.sip.codec import Request

# Ten minutes; deadlines of the platform are seconds, and what is longer is no figure.
MAX_LEFT_MS = 600_000
# Circuits of one call; the largest trunk groups have some hundreds.
MAX_WIDTH = 1024
# Exchange numbers are two bytes at discovery.
NUMBERS = 65536
# Usual ones have eighty bytes, and as a JSON line it stays under 16 KiB even where most of it is escaped.
MAX_DESCRIPTION = 4096

_ADDRESS = re.compile(r"sips?:([0-9a-fA-F]{16})@[!-~]+")
_ID = re.compile(r"[0-9a-fA-F]{16}")
_OFFICE = re.compile(r"s-[0-9a-f]{8}")
_FIGURE = re.compile(r"-?[0-9]{1,9}")
_CSEQ = re.compile(r"[0-9]{1,10} [A-Z]{1,16}")


@dataclass(frozen=True, slots=True)
class SetUp:
    """A set-up as a caller sent it; `left` in us. `at`: the office at which it stands already."""

    ref: str
    key: str
    use_case: str
    left: int
    destination: int
    width: int
    advised: int | None
    transit: bool
    redialled: bool
    at: str | None
    description: str


def dialogue_id(request: Request) -> str | None:
    """The id that a message names, or None where it has none."""
    ref = request.headers.get("call-id", "")
    return ref if _ID.fullmatch(ref) else None


def cseq_fits(request: Request) -> bool:
    """Whether CSeq is there and names the method."""
    told = request.headers.get("cseq", "")
    return bool(_CSEQ.fullmatch(told)) and told.endswith(f" {request.method}")


def names_call(request: Request) -> bool:
    """Whether it names a call that is up already, to which no answer is expected."""
    return request.method == "INVITE" and "at" in (_attributes(request.headers.get("x-attrs", "")) or ())


def read_set_up(request: Request, use_cases: Mapping[str, object]) -> SetUp | str:
    """The set-up, or the name of what is wrong with it."""
    headers = request.headers
    ref, address = dialogue_id(request), _ADDRESS.fullmatch(request.uri)
    if ref is None:
        return "no_id"
    if address is None:
        return "number_called"
    if not cseq_fits(request):
        return "cseq"
    use_case, left = headers.get("x-tier", ""), headers.get("x-deadline", "")
    if use_case not in use_cases:
        return "unknown_use_case"
    if not _FIGURE.fullmatch(left) or not 0 < int(left) <= MAX_LEFT_MS:
        return "left"
    attributes = _attributes(headers.get("x-attrs", ""))
    if attributes is None:
        return "attributes"
    at = attributes.get("at")
    if at is not None and not _OFFICE.fullmatch(at):
        return "at"
    destination, width = _figure(attributes, "dest", None), _figure(attributes, "width", 1)
    advised, transit = _figure(attributes, "via", -1), _figure(attributes, "transit", 0)
    if destination is None or not 0 <= destination < NUMBERS:
        return "destination"
    if width is None or not 1 <= width <= MAX_WIDTH:
        return "width"
    if advised is None or not -1 <= advised < NUMBERS:
        return "advised"
    if transit not in (0, 1):
        return "transit"
    if len(request.body) > MAX_DESCRIPTION:
        return "description_too_long"
    try:
        description = request.body.decode("utf-8")
    except UnicodeDecodeError:
        return "description_no_text"
    redialled = headers.get("x-resent", "0") not in ("", "0", "false")
    known = advised if advised >= 0 and not transit else None
    return SetUp(
        ref,
        address[1],
        use_case,
        int(left) * 1000,
        destination,
        width,
        known,
        bool(transit),
        redialled,
        at,
        description,
    )


def _attributes(text: str) -> dict[str, str] | None:
    """`name:value` parted by semicolons; None where one has no value or is told twice."""
    out: dict[str, str] = {}
    for part in text.split(";"):
        if not part.strip():
            continue
        name, colon, value = part.partition(":")
        name = name.strip()
        if not colon or name in out or len(out) >= 16:
            return None
        out[name] = value.strip()
    return out


def _figure(attributes: dict[str, str], name: str, absent: int | None) -> int | None:
    """A whole figure, `absent` where it is not told, None where it is none."""
    told = attributes.get(name)
    if told is None:
        return absent
    return int(told) if _FIGURE.fullmatch(told) else None
