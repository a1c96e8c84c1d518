"""Values of the hooks' language and what can be done with them, all under a budget. Pure.

    none, true/false      Python's
    number                int or float, within 2^53 either way
    text                  str
    duration              Duration: whole microseconds
    list, record          ListValue, Record: never changed once made; setting a place makes a new one

Nothing here may run long or grow large without the budget knowing: every operation of which the work depends on its
values' size pays for that size first.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

LARGEST = 1 << 53  # whole numbers beyond it are not exact
DEEPEST = 16  # lists in lists; every pass over a value recurses as deep


class HookError(Exception):
    """A hook failed: what it did cannot be done, or its budget is spent. `kind`: `steps`, `memory`, `depth` or
    `wrong`."""

    def __init__(self, kind: str, text: str, at: tuple[int, int] = (0, 0)) -> None:
        super().__init__(text)
        self.kind, self.text, self.position = kind, text, at


class Duration(int):
    """A duration in whole microseconds."""

    __slots__ = ()


@dataclass(slots=True)
class ListValue:
    """A list. Never changed once made; not frozen, since that trebles the time to make one."""

    items: tuple["Value", ...]
    depth: int


@dataclass(slots=True)
class Record:
    """Values by name. Never changed once made."""

    fields: dict[str, "Value"]
    depth: int


Value = None | bool | int | float | str | Duration | ListValue | Record


@dataclass(slots=True)
class Budget:
    """What one run may use: steps, cells of memory (a cell is a place in a list or record, or 16 characters), and
    nodes in each other on the way of calls."""

    steps: int = 20_000
    memory: int = 20_000
    depth: int = 300
    used_at: tuple[int, int] = (0, 0)
    store: dict[str, tuple[Value, Duration]] = field(default_factory=dict)

    def pay(self, steps: int) -> None:
        """Raises HookError where the steps are spent."""
        self.steps -= steps
        if self.steps < 0:
            raise HookError("steps", "the budget of steps is spent: does a loop never end?")

    def take(self, cells: int) -> None:
        """Pay for memory, and for the work of filling it. Raises HookError."""
        self.memory -= cells
        if self.memory < 0:
            raise HookError("memory", "the budget of memory is spent: does something grow in a loop?")
        self.steps -= cells // 4
        if self.steps < 0:
            self.pay(0)


def kind(value: Value) -> str:
    """The name of a value's type."""
    return KINDS[value.__class__]


KINDS: dict[type, str] = {
    type(None): "none",
    bool: "truth",
    Duration: "duration",
    int: "number",
    float: "number",
    str: "text",
    ListValue: "list",
    Record: "record",
}


def wrong(text: str) -> HookError:
    """A fault of the program's own."""
    return HookError("wrong", text)


def depth(value: Value) -> int:
    """How deep lists and records lie in it."""
    return value.depth if isinstance(value, (ListValue, Record)) else 0


def make_list(items: tuple[Value, ...], budget: Budget) -> ListValue:
    """A list, paid for."""
    budget.take(len(items) + 1)
    return ListValue(items, _around(items))


def make_record(fields: dict[str, Value], budget: Budget) -> Record:
    """A record, paid for."""
    budget.take(len(fields) + 1)
    return Record(fields, _around(fields.values()))


def _around(values: Iterable[Value]) -> int:
    """The depth of what holds these. Raises HookError where it is too deep."""
    deep = 0
    for one in values:
        if (one.__class__ is Record or one.__class__ is ListValue) and one.depth > deep:
            deep = one.depth
    if deep >= DEEPEST:
        raise HookError("depth", f"lists and records in each other over {DEEPEST} deep")
    return deep + 1


def bounded(value: int | float) -> int | float:
    """A number within bounds. Raises HookError: also for what is no number."""
    if not -LARGEST <= value <= LARGEST:
        raise wrong("a number beyond 9007199254740992")
    return value


def is_number(value: Value) -> bool:
    """Whether it is a number, and no duration or truth."""
    return isinstance(value, (int, float)) and not isinstance(value, (bool, Duration))


def truth(value: Value) -> bool:
    """The value as a condition; only true and false are."""
    if value is True or value is False:
        return value
    raise wrong(f"a {kind(value)} is no condition; compare it with something")


def to_text(value: Value, budget: Budget) -> str:
    """A value as text."""
    if isinstance(value, str):
        return value
    if isinstance(value, Duration):
        return f"{int(value)}us"
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return "none"
    if isinstance(value, (int, float)):
        return repr(value)
    named = value.fields.items() if isinstance(value, Record) else [("", one) for one in value.items]
    parts = []
    for name, one in named:
        part = f"{name}: {to_text(one, budget)}" if name else to_text(one, budget)
        # Paid before they are joined: a list may hold one long text a thousand times, at a thousand cells.
        budget.take(len(part) // 16 + 1)
        parts.append(part)
    made = ", ".join(parts)
    return f"[{made}]" if isinstance(value, ListValue) else f"{{{made}}}"


def same(left: Value, right: Value, budget: Budget) -> bool:
    """Whether two values are equal; of different kinds they are not."""
    if isinstance(left, ListValue) and isinstance(right, ListValue):
        # Two a pair: shared lists are compared as often as they stand, and that is the slowest work a step does.
        budget.pay(2 + 2 * min(len(left.items), len(right.items)))
        return len(left.items) == len(right.items) and all(
            same(a, b, budget) for a, b in zip(left.items, right.items, strict=True)
        )
    if isinstance(left, Record) and isinstance(right, Record):
        budget.pay(2 + 2 * min(len(left.fields), len(right.fields)))
        return left.fields.keys() == right.fields.keys() and all(
            same(value, right.fields[name], budget) for name, value in left.fields.items()
        )
    if isinstance(left, str) and isinstance(right, str):
        budget.pay(min(len(left), len(right)) // 64)
    return KINDS[left.__class__] == KINDS[right.__class__] and left == right


def binary(op: str, left: Value, right: Value, budget: Budget) -> Value:
    """Arithmetic and comparison. Raises HookError where the kinds do not go together."""
    if op == "==":
        return same(left, right, budget)
    if op == "!=":
        return not same(left, right, budget)
    if op == "in":
        return within(left, right, budget)
    if is_number(left) and is_number(right):
        return _numbers(op, left, right)  # type: ignore[arg-type]
    if isinstance(left, str) and isinstance(right, str):
        return _texts(op, left, right, budget)
    if isinstance(left, Duration) or isinstance(right, Duration):
        return _spans(op, left, right)
    if op == "+" and isinstance(left, ListValue) and isinstance(right, ListValue):
        return make_list(left.items + right.items, budget) if _room(left, right, budget) else None
    raise wrong(f"{kind(left)} {op} {kind(right)} means nothing")


def _room(left: ListValue, right: ListValue, budget: Budget) -> bool:
    """Raises before a list is made that the budget would not bear."""
    if len(left.items) + len(right.items) > budget.memory:
        raise HookError("memory", "the budget of memory is spent: does something grow in a loop?")
    return True


def _compare(op: str, left: int | float | str, right: int | float | str) -> bool | None:
    if op == "<":
        return left < right  # type: ignore[operator]
    if op == "<=":
        return left <= right  # type: ignore[operator]
    if op == ">":
        return left > right  # type: ignore[operator]
    return left >= right if op == ">=" else None  # type: ignore[operator]


def _numbers(op: str, left: int | float, right: int | float) -> Value:
    if op == "+":
        return bounded(left + right)
    if op == "-":
        return bounded(left - right)
    if op == "*":
        return bounded(left * right)
    if op in ("/", "%"):
        return _divided(left, right) if op == "/" else _rest(left, right)
    return _compare(op, left, right)


def _rest(left: int | float, right: int | float) -> int | float:
    if right == 0:
        raise wrong("divided by nought")
    return bounded(left % right)


def _texts(op: str, left: str, right: str, budget: Budget) -> Value:
    if op == "+":
        budget.take((len(left) + len(right)) // 16 + 1)
        return left + right
    budget.pay(min(len(left), len(right)) // 64)
    found = _compare(op, left, right)
    if found is None:
        raise wrong(f"text {op} text means nothing")
    return found


def _spans(op: str, left: Value, right: Value) -> Value:
    if isinstance(left, Duration) and isinstance(right, Duration):
        if op in ("+", "-"):
            return Duration(bounded(int(left) + int(right) if op == "+" else int(left) - int(right)))
        if op == "/":
            return _divided(int(left), int(right))
        found = _compare(op, int(left), int(right))
        if found is not None:
            return found
    elif op == "*" and isinstance(left, Duration) and is_number(right):
        return Duration(bounded(int(left) * _number("*", right)))
    elif op == "*" and isinstance(right, Duration) and is_number(left):
        return Duration(bounded(int(right) * _number("*", left)))
    elif op == "/" and isinstance(left, Duration) and is_number(right):
        return Duration(_divided(int(left), _number("/", right)))
    raise wrong(f"{kind(left)} {op} {kind(right)} means nothing")


def _divided(left: int | float, right: int | float) -> int | float:
    if right == 0:
        raise wrong("divided by nought")
    return bounded(left / right)


def within(item: Value, where: Value, budget: Budget) -> bool:
    """Whether a list has an item, a record a name, a text a part."""
    if isinstance(where, ListValue):
        budget.pay(len(where.items))
        return any(same(item, one, budget) for one in where.items)
    if isinstance(where, Record) and isinstance(item, str):
        return item in where.fields
    if isinstance(where, str) and isinstance(item, str):
        # Python looks a part up in about linear time; the product is the worst that any search would take.
        budget.pay(len(where) // 16 + min(len(item), len(where)) // 16)
        return item in where
    raise wrong(f"{kind(item)} in {kind(where)} means nothing")


def minus(value: Value) -> Value:
    """The negative of a number or duration."""
    if isinstance(value, Duration):
        return Duration(-int(value))
    if is_number(value):
        return -value  # type: ignore[operator]
    raise wrong(f"- of a {kind(value)} means nothing")


def get_field(value: Value, name: str) -> Value:
    """A field of a record."""
    if not isinstance(value, Record):
        raise wrong(f"a {kind(value)} has no field {name}")
    if name not in value.fields:
        raise wrong(f"no field {name}; there are {', '.join(list(value.fields)[:8]) or 'none'}")
    return value.fields[name]


def get_index(value: Value, key: Value) -> Value:
    """A place of a list, from 0, or a field by its name."""
    if isinstance(value, ListValue):
        if not isinstance(key, int) or isinstance(key, (bool, Duration)):
            raise wrong(f"a place in a list is a whole number, not {kind(key)}")
        if not 0 <= key < len(value.items):
            raise wrong(f"place {key} of a list of {len(value.items)}")
        return value.items[key]
    if isinstance(value, Record) and isinstance(key, str):
        return get_field(value, key)
    raise wrong(f"a {kind(value)} has no place {kind(key)}")


def put(value: Value, path: list[str | Value], new: Value, budget: Budget) -> Value:
    """The value with one place set: a new value, as far as the path goes."""
    if not path:
        return new
    key, rest = path[0], path[1:]
    if isinstance(value, Record) and isinstance(key, str):
        budget.take(len(value.fields))
        inner = put(value.fields.get(key), rest, new, budget) if rest else new
        return make_record({**value.fields, key: inner}, budget)
    if isinstance(value, ListValue):
        old = get_index(value, key)
        budget.take(len(value.items))
        at: int = key  # type: ignore[assignment]
        items = (*value.items[:at], put(old, rest, new, budget), *value.items[at + 1 :])
        return make_list(items, budget)
    raise wrong(f"a {kind(value)} has no place to set")


def each(value: Value) -> Iterator[Value]:
    """What `for` goes over."""
    if isinstance(value, ListValue):
        return iter(value.items)
    if isinstance(value, Record):
        return iter(list(value.fields))
    if isinstance(value, int) and not isinstance(value, (bool, Duration)):
        return iter(range(value))
    raise wrong(f"for goes over a list, a record or a whole number, not a {kind(value)}")


def in_range(value: Value, low: Value, high: Value) -> bool:
    """Whether a value of the range's kind lies in it, both ends included."""
    if kind(value) != kind(low):
        return False
    return low <= value <= high  # type: ignore[operator]


# ---- functions that every hook may call ----


def _one_text(name: str, value: Value, budget: Budget) -> str:
    if not isinstance(value, str):
        raise wrong(f"{name} takes a text, not a {kind(value)}")
    budget.take(len(value) // 16 + 1)
    return value


def _length(value: Value, budget: Budget) -> Value:
    if isinstance(value, ListValue):
        return len(value.items)
    if isinstance(value, Record):
        return len(value.fields)
    if isinstance(value, str):
        return len(value)
    raise wrong(f"length of a {kind(value)} means nothing")


def _number(name: str, value: Value) -> int | float:
    if not is_number(value):
        raise wrong(f"{name} takes a number, not a {kind(value)}")
    return value  # type: ignore[return-value]


def _to_number(value: Value, budget: Budget) -> Value:
    text = _one_text("number", value, budget).strip()
    digits = text[1:] if text[:1] == "-" else text
    whole, _, part = digits.partition(".")
    if not (digits.isascii() and whole.isdigit() and len(digits) <= 16 and (not part or part.isdigit())):
        return None
    return float(text) if "." in text else int(text)


def _get(value: Value, key: Value, default: Value, budget: Budget) -> Value:
    if isinstance(value, Record) and isinstance(key, str):
        return value.fields.get(key, default)
    if isinstance(value, ListValue) and isinstance(key, int) and not isinstance(key, bool):
        return value.items[key] if 0 <= key < len(value.items) else default
    raise wrong(f"get from a {kind(value)} by a {kind(key)} means nothing")


def _starts(value: Value, part: Value, budget: Budget) -> Value:
    return _two_texts("starts", value, part, budget).startswith(part)  # type: ignore[arg-type]


def _ends(value: Value, part: Value, budget: Budget) -> Value:
    return _two_texts("ends", value, part, budget).endswith(part)  # type: ignore[arg-type]


def _two_texts(name: str, value: Value, part: Value, budget: Budget) -> str:
    if not isinstance(value, str) or not isinstance(part, str):
        raise wrong(f"{name} takes a text, not a {kind(part if isinstance(value, str) else value)}")
    budget.take((len(value) + len(part)) // 16 + 2)
    return value


def _push(value: Value, item: Value, budget: Budget) -> Value:
    if not isinstance(value, ListValue):
        raise wrong(f"push takes a list, not a {kind(value)}")
    return make_list((*value.items, item), budget)


def _split(value: Value, by: Value, budget: Budget) -> Value:
    text, mark = _one_text("split", value, budget), _one_text("split", by, budget)
    if not mark:
        raise wrong("split by an empty text means nothing")
    budget.take(len(text) // len(mark) + 1)
    return make_list(tuple(text.split(mark)), budget)


def _least(a: Value, b: Value, budget: Budget) -> Value:
    return a if truth(binary("<=", a, b, budget)) else b


def _most(a: Value, b: Value, budget: Budget) -> Value:
    return a if truth(binary(">=", a, b, budget)) else b


def _recall(key: Value, default: Value, budget: Budget) -> Value:
    found = budget.store.get(_one_text("recall", key, budget))
    return default if found is None else found[0]


LARGEST_KEPT = 64  # cells of one value that is remembered: a few counters, or a short list
LONGEST_KEY = 64  # characters


def cells(value: Value, budget: Budget) -> int:
    """Cells that a value fills, shared parts as often as they stand in it."""
    budget.pay(1)
    if isinstance(value, str):
        return 1 + len(value) // 16
    if isinstance(value, ListValue):
        return 1 + sum(cells(one, budget) for one in value.items)
    if isinstance(value, Record):
        return 1 + sum(cells(one, budget) for one in value.fields.values())
    return 1


def _remember(key: Value, value: Value, span: Value, budget: Budget) -> Value:
    name = _one_text("remember", key, budget)
    if not isinstance(span, Duration) or span <= 0:
        raise wrong("remember takes a key, a value and a duration over nought")
    if len(name) > LONGEST_KEY:
        raise wrong(f"a key of {len(name)} characters, over {LONGEST_KEY}")
    if cells(value, budget) > LARGEST_KEPT:
        raise HookError("memory", f"a value too large to remember: over {LARGEST_KEPT} cells")
    budget.take(8)
    budget.store[name] = (value, span)
    return value


Builtin = Callable[..., Value]
BUILTINS: dict[str, tuple[int, Builtin]] = {
    "length": (1, _length),
    "text": (1, to_text),
    "number": (1, _to_number),
    "lower": (1, lambda value, budget: _one_text("lower", value, budget).lower()),
    "starts": (2, _starts),
    "ends": (2, _ends),
    "split": (2, _split),
    "floor": (1, lambda value, budget: int(_number("floor", value) // 1)),
    "least": (2, _least),
    "most": (2, _most),
    "get": (3, _get),
    "push": (2, _push),
    "recall": (2, _recall),
    "remember": (3, _remember),
}
"""Functions by name: how many values each takes. `recall(key, default)` and `remember(key, value, duration)` reach
the hook's own state, which the host bounds and lets expire."""
