"""Hook points: what each is given and what it may say. The bounds on what may be said stand here."""

from dataclasses import dataclass
from typing import Any

from wellhitch.hooks.values import ListValue, Record, Value, is_number, kind

# A type: the name of a kind, "any", or a record's fields by name.
Type = str | dict[str, Any]

FAVOUR = 3.0  # times the payoff that a hook may raise or lower: enough to set any of three use cases, whose payoffs
# lie 6 to 1 apart, beside its neighbour, and not enough to make the cheapest the dearest
MAX_TAGS = 8  # of one dialogue
MAX_TEXT = 64  # characters of a tag or reason: they stand in each log line and, later, ledger entry

CALL: Type = {
    "use_case": "text",
    "destination": "number",
    "called": "any",
    "width": "number",
    "redialled": "truth",
    "transit": "truth",
    "tenant": "any",
    "left": "duration",
}
CLOCK: Type = {
    "hour": "number",
    "minute": "number",
    "weekday": "number",
    "date": "text",
    "since_start": "duration",
}
LOAD: Type = {"held": "number", "own_price": "number", "price_there": "number", "free_there": "any"}
PLACE: Type = {"number": "number"}


@dataclass(frozen=True, slots=True)
class Point:
    """One hook point: inputs by name, and the fields of the record that it may return."""

    inputs: dict[str, Type]
    says: dict[str, str]


POINTS: dict[str, Point] = {
    "arrive": Point(
        {"call": CALL, "clock": CLOCK, "load": LOAD, "place": PLACE},
        {"use_case": "text", "favour": "number", "tags": "list", "push_back": "text"},
    ),
    "answer": Point(
        {"call": CALL, "clock": CLOCK, "place": PLACE, "answer": "text", "took": "duration", "tags": "list"},
        {"tags": "list"},
    ),
    "list": Point(
        {"office": {"id": "text", "number": "number", "standing": "text"}, "clock": CLOCK, "place": PLACE},
        {"mark": "text"},
    ),
    "tick": Point({"clock": CLOCK, "load": {"held": "number", "own_price": "number"}, "place": PLACE}, {}),
}
"""`arrive`: a dialogue came. `answer`: it got its final answer. `list`: a line of the list changed. `tick`: once a
second, to keep state."""


@dataclass(slots=True)
class HookResult:
    """What a hook said, within bounds. Not frozen: one is made at each dialogue, and that trebles its cost."""

    use_case: str | None = None
    favour: float = 1.0
    tags: tuple[str, ...] = ()
    push_back: str | None = None
    mark: str | None = None


class InvalidHookResult(Exception):
    """A hook returned what its point does not take."""


def parse_result(point: str, value: Value, use_cases: frozenset[str]) -> HookResult:
    """What was said. Raises InvalidHookResult with why; a favour beyond its bounds is brought within them."""
    if value is None:
        return HookResult()
    if not isinstance(value, Record):
        raise InvalidHookResult(f"on {point} returns a record or nothing, not a {kind(value)}")
    says = POINTS[point].says
    for name, one in value.fields.items():
        if name not in says:
            raise InvalidHookResult(
                f"on {point} may not say {name}; it may say {', '.join(says) or 'nothing'}"
            )
        if one is not None and kind(one) != says[name]:
            raise InvalidHookResult(f"{name} is a {kind(one)}, not a {says[name]}")
    get = value.fields.get
    use_case, favour, tags = get("use_case"), get("favour"), get("tags")
    if isinstance(use_case, str) and use_case not in use_cases:
        raise InvalidHookResult(f"no use case {use_case[:40]!r}")
    return HookResult(
        use_case=use_case if isinstance(use_case, str) else None,
        favour=_favour(favour),
        tags=_tags(tags),
        push_back=_short("push_back", get("push_back")),
        mark=_short("mark", get("mark")),
    )


def _favour(value: Value) -> float:
    if value is None or not is_number(value):
        return 1.0
    return min(FAVOUR, max(1 / FAVOUR, float(value)))  # type: ignore[arg-type]


def _short(name: str, value: Value) -> str | None:
    if not isinstance(value, str):
        return None
    if len(value) > MAX_TEXT:
        raise InvalidHookResult(f"{name} of {len(value)} characters, over {MAX_TEXT}")
    return value


def _tags(value: Value) -> tuple[str, ...]:
    if not isinstance(value, ListValue):
        return ()
    if len(value.items) > MAX_TAGS:
        raise InvalidHookResult(f"{len(value.items)} tags, over {MAX_TAGS}")
    out = []
    for one in value.items:
        if not isinstance(one, str):
            raise InvalidHookResult(f"a tag is a text, not a {kind(one)}")
        out.append(_short("a tag", one) or "")
    return tuple(out)
