"""Reads and validates set-up requests (INVITE) from callers. Each violated limit has a name, under which it is counted.

Routing and admission are decided elsewhere."""

import re
from collections.abc import Mapping
from dataclasses import dataclass

from wellhitch.sip.codec import Request

# Ten minutes. Deadlines on the platform are a few seconds; a longer one is an invalid value.
MAX_DEADLINE_MS = 600_000
# Circuits of one call; the largest trunk groups have some hundreds.
MAX_WIDTH = 1024
# Discovery sends exchange numbers in two bytes.
MAX_EXCHANGES = 65536
# Usual descriptions have eighty bytes. Even if most of it is escaped, the JSON line stays under 16 KiB.
MAX_DESCRIPTION_BYTES = 4096

_ADDRESS = re.compile(r"sips?:([0-9a-fA-F]{16})@[!-~]+")
_CALL_ID = re.compile(r"[0-9a-fA-F]{16}")
_OFFICE_ID = re.compile(r"s-[0-9a-f]{8}")
_INTEGER = re.compile(r"-?[0-9]{1,9}")
_CSEQ = re.compile(r"[0-9]{1,10} [A-Z]{1,16}")


@dataclass(frozen=True, slots=True)
class SetUp:
    """A set-up as a caller sent it. `established_at` is the id of the office where the call is already established."""

    call_id: str
    called_number: str
    traffic_class: str
    time_left: int
    destination: int
    width: int
    advised_tandem: int | None
    transit: bool
    is_redial: bool
    established_at: str | None
    description: str


def read_call_id(request: Request) -> str | None:
    """The Call-ID of a message; None where it is missing or malformed."""
    call_id = request.headers.get("call-id", "")
    return call_id if is_call_id(call_id) else None


def is_call_id(text: str) -> bool:
    """Whether a text is a well-formed Call-ID."""
    return _CALL_ID.fullmatch(text) is not None


def has_valid_cseq(request: Request) -> bool:
    """Whether the CSeq header is present and names the request's method."""
    cseq = request.headers.get("cseq", "")
    return bool(_CSEQ.fullmatch(cseq)) and cseq.endswith(f" {request.method}")


def reports_established_call(request: Request) -> bool:
    """Whether an INVITE reports a call that is already established; such a request is not answered."""
    return request.method == "INVITE" and "at" in (_attributes(request.headers.get("x-attrs", "")) or ())


def read_set_up(request: Request, traffic_classes: Mapping[str, object]) -> SetUp | str:
    """The set-up, or the name of the field or limit that is wrong."""
    headers = request.headers
    call_id, address = read_call_id(request), _ADDRESS.fullmatch(request.uri)
    if call_id is None:
        return "no_id"
    if address is None:
        return "number_called"
    if not has_valid_cseq(request):
        return "cseq"
    traffic_class, deadline_ms = headers.get("x-tier", ""), headers.get("x-deadline", "")
    if traffic_class not in traffic_classes:
        return "unknown_use_case"
    if not _INTEGER.fullmatch(deadline_ms) or not 0 < int(deadline_ms) <= MAX_DEADLINE_MS:
        return "left"
    attributes = _attributes(headers.get("x-attrs", ""))
    if attributes is None:
        return "attributes"
    established_at = attributes.get("at")
    if established_at is not None and not _OFFICE_ID.fullmatch(established_at):
        return "at"
    destination, width = _integer(attributes, "dest", None), _integer(attributes, "width", 1)
    advised_tandem, transit = _integer(attributes, "via", -1), _integer(attributes, "transit", 0)
    if destination is None or not 0 <= destination < MAX_EXCHANGES:
        return "destination"
    if width is None or not 1 <= width <= MAX_WIDTH:
        return "width"
    if advised_tandem is None or not -1 <= advised_tandem < MAX_EXCHANGES:
        return "advised"
    if transit not in (0, 1):
        return "transit"
    if len(request.body) > MAX_DESCRIPTION_BYTES:
        return "description_too_long"
    try:
        description = request.body.decode("utf-8")
    except UnicodeDecodeError:
        return "description_no_text"
    is_redial = headers.get("x-resent", "0") not in ("", "0", "false")
    valid_advised_tandem = advised_tandem if advised_tandem >= 0 and not transit else None
    return SetUp(
        call_id,
        address[1],
        traffic_class,
        int(deadline_ms) * 1000,
        destination,
        width,
        valid_advised_tandem,
        bool(transit),
        is_redial,
        established_at,
        description,
    )


def _attributes(text: str) -> dict[str, str] | None:
    """Attributes `name:value` separated by semicolons; None where one has no value, a name repeats or there are more
    than 16."""
    attributes: dict[str, str] = {}
    for part in text.split(";"):
        if not part.strip():
            continue
        name, colon, value = part.partition(":")
        name = name.strip()
        if not colon or name in attributes or len(attributes) >= 16:
            return None
        attributes[name] = value.strip()
    return attributes


def _integer(attributes: dict[str, str], name: str, default: int | None) -> int | None:
    """An attribute's integer value, `default` where it is absent, None where it is no integer."""
    value = attributes.get(name)
    if value is None:
        return default
    return int(value) if _INTEGER.fullmatch(value) else None
