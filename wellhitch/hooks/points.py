"""Hook points: the inputs of each, the fields that its hooks may return, and the bounds on their values."""

from dataclasses import dataclass
from typing import Any

from wellhitch.hooks.values import ListValue, Record, Value, is_number, kind

# A type: the name of a kind, "any", or the types of a record's fields by name.
Type = str | dict[str, Any]

# A hook may multiply or divide the value of a dialogue by at most this factor. With three traffic classes whose values
# are at most 6 to 1 apart, it suffices to bring any class level with the next one, but not to turn the least valuable
# class into the most valuable.
MAX_FAVOUR = 3.0
MAX_TAGS = 8  # of one dialogue
MAX_TEXT_CHARS = 64  # of a tag or reason: both appear in each log line and later in ledger entries

CALL_TYPE: Type = {
    "use_case": "text",
    "destination": "number",
    "called": "any",
    "width": "number",
    "redialled": "truth",
    "transit": "truth",
    "tenant": "any",
    "left": "duration",
}
CLOCK_TYPE: Type = {
    "hour": "number",
    "minute": "number",
    "weekday": "number",
    "date": "text",
    "since_start": "duration",
}
LOAD_TYPE: Type = {"held": "number", "own_price": "number", "price_there": "number", "free_there": "any"}
PLACE_TYPE: Type = {"number": "number"}


@dataclass(frozen=True, slots=True)
class Point:
    """A hook point: the types of its inputs by name, and the kinds of the fields that its hooks may return."""

    inputs: dict[str, Type]
    outputs: dict[str, str]


POINTS: dict[str, Point] = {
    "arrive": Point(
        {"call": CALL_TYPE, "clock": CLOCK_TYPE, "load": LOAD_TYPE, "place": PLACE_TYPE},
        {"use_case": "text", "favour": "number", "tags": "list", "push_back": "text"},
    ),
    "answer": Point(
        {
            "call": CALL_TYPE,
            "clock": CLOCK_TYPE,
            "place": PLACE_TYPE,
            "answer": "text",
            "took": "duration",
            "tags": "list",
        },
        {"tags": "list"},
    ),
    "list": Point(
        {
            "office": {"id": "text", "number": "number", "standing": "text"},
            "clock": CLOCK_TYPE,
            "place": PLACE_TYPE,
        },
        {"mark": "text"},
    ),
    "tick": Point(
        {"clock": CLOCK_TYPE, "load": {"held": "number", "own_price": "number"}, "place": PLACE_TYPE}, {}
    ),
}
"""`arrive`: a dialogue arrived. `answer`: it got its final answer. `list`: an entry of the office list changed.
`tick`: once a second, to maintain state."""


@dataclass(slots=True)
class HookResult:
    """What hooks returned, within bounds. The fields have their names in the hook language. Not frozen: one is made at
    each dialogue, and a frozen dataclass trebles the time to construct it."""

    use_case: str | None = None
    favour: float = 1.0
    tags: tuple[str, ...] = ()
    push_back: str | None = None
    mark: str | None = None


class InvalidHookResult(Exception):
    """A hook returned a value that its point does not accept."""


def parse_result(point: str, value: Value, traffic_classes: frozenset[str]) -> HookResult:
    """Parse the returned value of a hook. A favour out of bounds is clamped; anything else that is invalid raises
    InvalidHookResult with the reason."""
    if value is None:
        return HookResult()
    if not isinstance(value, Record):
        raise InvalidHookResult(f"on {point} returns a record or nothing, not a {kind(value)}")
    outputs = POINTS[point].outputs
    for name, returned in value.fields.items():
        if name not in outputs:
            raise InvalidHookResult(
                f"on {point} cannot return {name}; it may return {', '.join(outputs) or 'nothing'}"
            )
        if returned is not None and kind(returned) != outputs[name]:
            raise InvalidHookResult(f"{name} is a {kind(returned)}, expected a {outputs[name]}")
    get = value.fields.get
    use_case, favour, tags = get("use_case"), get("favour"), get("tags")
    if isinstance(use_case, str) and use_case not in traffic_classes:
        raise InvalidHookResult(f"unknown traffic class {use_case[:40]!r}")
    return HookResult(
        use_case=use_case if isinstance(use_case, str) else None,
        favour=_parse_favour(favour),
        tags=_parse_tags(tags),
        push_back=_parse_text("push_back", get("push_back")),
        mark=_parse_text("mark", get("mark")),
    )


def _parse_favour(value: Value) -> float:
    if value is None or not is_number(value):
        return 1.0
    return min(MAX_FAVOUR, max(1 / MAX_FAVOUR, float(value)))  # type: ignore[arg-type]


def _parse_text(name: str, value: Value) -> str | None:
    if not isinstance(value, str):
        return None
    if len(value) > MAX_TEXT_CHARS:
        raise InvalidHookResult(f"{name} of {len(value)} characters is longer than {MAX_TEXT_CHARS}")
    return value


def _parse_tags(value: Value) -> tuple[str, ...]:
    if not isinstance(value, ListValue):
        return ()
    if len(value.items) > MAX_TAGS:
        raise InvalidHookResult(f"{len(value.items)} tags, more than {MAX_TAGS}")
    tags = []
    for item in value.items:
        if not isinstance(item, str):
            raise InvalidHookResult(f"a tag must be a text, not a {kind(item)}")
        tags.append(_parse_text("a tag", item) or "")
    return tuple(tags)
