"""Values of the hook language and the operations on them, all charged to a budget.

    none, truth           None, bool
    number                int or float, with a magnitude of at most 2^53
    text                  str
    duration              Duration: whole microseconds
    list, record          ListValue, Record: immutable by convention; an assignment to an item makes a new value

Every operation whose work depends on the size of its operands charges that size to the budget before it does the
work, so that no operation runs long or allocates much unaccounted.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

MAX_NUMBER = 1 << 53  # larger whole numbers are not exact as floats
MAX_VALUE_DEPTH = 16  # of nested lists and records; functions over values recurse to this depth


class HookError(Exception):
    """A hook failed: an invalid operation or an exceeded budget. `kind` is `steps`, `memory`, `depth` or `wrong`
    (invalid operation)."""

    def __init__(self, kind: str, text: str, position: tuple[int, int] = (0, 0)) -> None:
        super().__init__(text)
        self.kind, self.text, self.position = kind, text, position


class Duration(int):
    """A duration in whole microseconds."""

    __slots__ = ()


@dataclass(slots=True)
class ListValue:
    """A list. Never changed once made, but not a frozen dataclass: that trebles the time to construct one."""

    items: tuple["Value", ...]
    depth: int


@dataclass(slots=True)
class Record:
    """A record: values by field name. Never changed once made."""

    fields: dict[str, "Value"]
    depth: int


Value = None | bool | int | float | str | Duration | ListValue | Record


@dataclass(slots=True)
class Budget:
    """What one run may use: steps, cells of memory (a cell is one item of a list or record, or 16 characters of a
    text), and the summed depth of the syntax trees on the call stack."""

    steps: int = 20_000
    memory: int = 20_000
    depth: int = 300
    position: tuple[int, int] = (0, 0)
    store: dict[str, tuple[Value, Duration]] = field(default_factory=dict)

    def spend_steps(self, steps: int) -> None:
        """Charge steps. Raises HookError once the step budget is exceeded."""
        self.steps -= steps
        if self.steps < 0:
            raise HookError("steps", "step budget exceeded; does a loop never end?")

    def allocate(self, cells: int) -> None:
        """Charge memory, and the steps to fill it. Raises HookError once a budget is exceeded."""
        self.memory -= cells
        if self.memory < 0:
            raise HookError("memory", "memory budget exceeded; does a value grow in a loop?")
        self.steps -= cells // 4
        if self.steps < 0:
            self.spend_steps(0)


def kind(value: Value) -> str:
    """The name of a value's type in the hook language."""
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


def program_error(text: str) -> HookError:
    """The error of an operation that the language does not allow."""
    return HookError("wrong", text)


def nesting_depth(value: Value) -> int:
    """The nesting depth of lists and records in a value; 0 for any other value."""
    return value.depth if isinstance(value, (ListValue, Record)) else 0


def make_list(items: tuple[Value, ...], budget: Budget) -> ListValue:
    """A new list, charged to the budget."""
    budget.allocate(len(items) + 1)
    return ListValue(items, _container_depth(items))


def make_record(fields: dict[str, Value], budget: Budget) -> Record:
    """A new record, charged to the budget."""
    budget.allocate(len(fields) + 1)
    return Record(fields, _container_depth(fields.values()))


def _container_depth(values: Iterable[Value]) -> int:
    """The depth of a container of these values. Raises HookError if it is too deep."""
    deepest = 0
    for value in values:
        if (value.__class__ is Record or value.__class__ is ListValue) and value.depth > deepest:
            deepest = value.depth
    if deepest >= MAX_VALUE_DEPTH:
        raise HookError("depth", f"lists and records nested more than {MAX_VALUE_DEPTH} deep")
    return deepest + 1


def check_range(value: int | float) -> int | float:
    """The number, if it is within bounds. Raises HookError otherwise, also for NaN."""
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise program_error("number out of range: its magnitude exceeds 9007199254740992")
    return value


def is_number(value: Value) -> bool:
    """Whether a value is of kind number. Durations and truths are not, though they are Python ints."""
    return isinstance(value, (int, float)) and not isinstance(value, (bool, Duration))


def as_condition(value: Value) -> bool:
    """The value as a condition. Raises HookError unless it is true or false."""
    if value is True or value is False:
        return value
    raise program_error(f"a {kind(value)} cannot be used as a condition; compare it with a value")


def to_text(value: Value, budget: Budget) -> str:
    """A value converted to text."""
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
    named = value.fields.items() if isinstance(value, Record) else [("", item) for item in value.items]
    parts = []
    for name, item in named:
        part = f"{name}: {to_text(item, budget)}" if name else to_text(item, budget)
        # Charged before the parts are joined: a list may hold one long text a thousand times, at a thousand cells.
        budget.allocate(len(part) // 16 + 1)
        parts.append(part)
    joined = ", ".join(parts)
    return f"[{joined}]" if isinstance(value, ListValue) else f"{{{joined}}}"


def equal(left: Value, right: Value, budget: Budget) -> bool:
    """Whether two values are equal. Values of different kinds never are."""
    if isinstance(left, ListValue) and isinstance(right, ListValue):
        # Two steps a pair: a list that occurs several times is compared as often, the slowest work per step.
        budget.spend_steps(2 + 2 * min(len(left.items), len(right.items)))
        return len(left.items) == len(right.items) and all(
            equal(a, b, budget) for a, b in zip(left.items, right.items, strict=True)
        )
    if isinstance(left, Record) and isinstance(right, Record):
        budget.spend_steps(2 + 2 * min(len(left.fields), len(right.fields)))
        return left.fields.keys() == right.fields.keys() and all(
            equal(value, right.fields[name], budget) for name, value in left.fields.items()
        )
    if isinstance(left, str) and isinstance(right, str):
        budget.spend_steps(min(len(left), len(right)) // 64)
    return KINDS[left.__class__] == KINDS[right.__class__] and left == right


def apply_operator(op: str, left: Value, right: Value, budget: Budget) -> Value:
    """Arithmetic and comparison. Raises HookError if the operator is not defined for the operands."""
    if op == "==":
        return equal(left, right, budget)
    if op == "!=":
        return not equal(left, right, budget)
    if op == "in":
        return contains(left, right, budget)
    if is_number(left) and is_number(right):
        return _number_operator(op, left, right)  # type: ignore[arg-type]
    if isinstance(left, str) and isinstance(right, str):
        return _text_operator(op, left, right, budget)
    if isinstance(left, Duration) or isinstance(right, Duration):
        return _duration_operator(op, left, right)
    if op == "+" and isinstance(left, ListValue) and isinstance(right, ListValue):
        return make_list(left.items + right.items, budget) if _check_memory(left, right, budget) else None
    raise program_error(f"{kind(left)} {op} {kind(right)} is not defined")


def _check_memory(left: ListValue, right: ListValue, budget: Budget) -> bool:
    """Raises HookError before a list is concatenated that would exceed the memory budget."""
    if len(left.items) + len(right.items) > budget.memory:
        raise HookError("memory", "memory budget exceeded; does a value grow in a loop?")
    return True


def _compare(op: str, left: int | float | str, right: int | float | str) -> bool | None:
    if op == "<":
        return left < right  # type: ignore[operator]
    if op == "<=":
        return left <= right  # type: ignore[operator]
    if op == ">":
        return left > right  # type: ignore[operator]
    return left >= right if op == ">=" else None  # type: ignore[operator]


def _number_operator(op: str, left: int | float, right: int | float) -> Value:
    if op == "+":
        return check_range(left + right)
    if op == "-":
        return check_range(left - right)
    if op == "*":
        return check_range(left * right)
    if op in ("/", "%"):
        return _divide(left, right) if op == "/" else _modulo(left, right)
    return _compare(op, left, right)


def _modulo(left: int | float, right: int | float) -> int | float:
    if right == 0:
        raise program_error("division by zero")
    return check_range(left % right)


def _text_operator(op: str, left: str, right: str, budget: Budget) -> Value:
    if op == "+":
        budget.allocate((len(left) + len(right)) // 16 + 1)
        return left + right
    budget.spend_steps(min(len(left), len(right)) // 64)
    result = _compare(op, left, right)
    if result is None:
        raise program_error(f"text {op} text is not defined")
    return result


def _duration_operator(op: str, left: Value, right: Value) -> Value:
    if isinstance(left, Duration) and isinstance(right, Duration):
        if op in ("+", "-"):
            return Duration(check_range(int(left) + int(right) if op == "+" else int(left) - int(right)))
        if op == "/":
            return _divide(int(left), int(right))
        result = _compare(op, int(left), int(right))
        if result is not None:
            return result
    elif op == "*" and isinstance(left, Duration) and is_number(right):
        return Duration(check_range(int(left) * _number_argument("*", right)))
    elif op == "*" and isinstance(right, Duration) and is_number(left):
        return Duration(check_range(int(right) * _number_argument("*", left)))
    elif op == "/" and isinstance(left, Duration) and is_number(right):
        return Duration(_divide(int(left), _number_argument("/", right)))
    raise program_error(f"{kind(left)} {op} {kind(right)} is not defined")


def _divide(left: int | float, right: int | float) -> int | float:
    if right == 0:
        raise program_error("division by zero")
    return check_range(left / right)


def contains(item: Value, container: Value, budget: Budget) -> bool:
    """Whether a list contains an item, a record has a field of that name, or a text contains a part."""
    if isinstance(container, ListValue):
        budget.spend_steps(len(container.items))
        return any(equal(item, other, budget) for other in container.items)
    if isinstance(container, Record) and isinstance(item, str):
        return item in container.fields
    if isinstance(container, str) and isinstance(item, str):
        # Python searches a text in about linear time; a naive search would take the product of the lengths.
        budget.spend_steps(len(container) // 16 + min(len(item), len(container)) // 16)
        return item in container
    raise program_error(f"{kind(item)} in {kind(container)} is not defined")


def negate(value: Value) -> Value:
    """The negative of a number or duration."""
    if isinstance(value, Duration):
        return Duration(-int(value))
    if is_number(value):
        return -value  # type: ignore[operator]
    raise program_error(f"- of a {kind(value)} is not defined")


def get_field(value: Value, name: str) -> Value:
    """The value of a field of a record."""
    if not isinstance(value, Record):
        raise program_error(f"a {kind(value)} has no field {name}")
    if name not in value.fields:
        raise program_error(f"no field {name}; the fields are {', '.join(list(value.fields)[:8]) or 'none'}")
    return value.fields[name]


def get_index(value: Value, key: Value) -> Value:
    """An item of a list, counted from 0, or a field of a record by its name."""
    if isinstance(value, ListValue):
        if not isinstance(key, int) or isinstance(key, (bool, Duration)):
            raise program_error(f"a list index must be a whole number, not a {kind(key)}")
        if not 0 <= key < len(value.items):
            raise program_error(f"index {key} is out of range for a list of length {len(value.items)}")
        return value.items[key]
    if isinstance(value, Record) and isinstance(key, str):
        return get_field(value, key)
    raise program_error(f"a {kind(value)} cannot be indexed by a {kind(key)}")


def replace_at(value: Value, path: list[str | Value], new: Value, budget: Budget) -> Value:
    """A copy of the value with the item at the path replaced; parts off the path are shared."""
    if not path:
        return new
    key, rest = path[0], path[1:]
    if isinstance(value, Record) and isinstance(key, str):
        budget.allocate(len(value.fields))
        inner = replace_at(value.fields.get(key), rest, new, budget) if rest else new
        return make_record({**value.fields, key: inner}, budget)
    if isinstance(value, ListValue):
        old = get_index(value, key)
        budget.allocate(len(value.items))
        at: int = key  # type: ignore[assignment]
        items = (*value.items[:at], replace_at(old, rest, new, budget), *value.items[at + 1 :])
        return make_list(items, budget)
    raise program_error(f"a {kind(value)} has no items or fields to assign")


def iterate(value: Value) -> Iterator[Value]:
    """The values that `for` iterates over."""
    if isinstance(value, ListValue):
        return iter(value.items)
    if isinstance(value, Record):
        return iter(list(value.fields))
    if isinstance(value, int) and not isinstance(value, (bool, Duration)):
        return iter(range(value))
    raise program_error(f"for iterates over a list, a record or a whole number, not a {kind(value)}")


def in_range(value: Value, low: Value, high: Value) -> bool:
    """Whether a value has the kind of the range and lies in it, both ends included."""
    if kind(value) != kind(low):
        return False
    return low <= value <= high  # type: ignore[operator]


# ---- built-in functions ----


def _text_argument(name: str, value: Value, budget: Budget) -> str:
    if not isinstance(value, str):
        raise program_error(f"{name} takes a text, not a {kind(value)}")
    budget.allocate(len(value) // 16 + 1)
    return value


def _length(value: Value, budget: Budget) -> Value:
    if isinstance(value, ListValue):
        return len(value.items)
    if isinstance(value, Record):
        return len(value.fields)
    if isinstance(value, str):
        return len(value)
    raise program_error(f"length of a {kind(value)} is not defined")


def _number_argument(name: str, value: Value) -> int | float:
    if not is_number(value):
        raise program_error(f"{name} takes a number, not a {kind(value)}")
    return value  # type: ignore[return-value]


def _parse_number(value: Value, budget: Budget) -> Value:
    text = _text_argument("number", value, budget).strip()
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
    raise program_error(f"get from a {kind(value)} by a {kind(key)} is not defined")


def _starts(value: Value, part: Value, budget: Budget) -> Value:
    return _text_arguments("starts", value, part, budget).startswith(part)  # type: ignore[arg-type]


def _ends(value: Value, part: Value, budget: Budget) -> Value:
    return _text_arguments("ends", value, part, budget).endswith(part)  # type: ignore[arg-type]


def _text_arguments(name: str, value: Value, part: Value, budget: Budget) -> str:
    if not isinstance(value, str) or not isinstance(part, str):
        raise program_error(f"{name} takes a text, not a {kind(part if isinstance(value, str) else value)}")
    budget.allocate((len(value) + len(part)) // 16 + 2)
    return value


def _push(value: Value, item: Value, budget: Budget) -> Value:
    if not isinstance(value, ListValue):
        raise program_error(f"push takes a list, not a {kind(value)}")
    return make_list((*value.items, item), budget)


def _split(value: Value, by: Value, budget: Budget) -> Value:
    text, separator = _text_argument("split", value, budget), _text_argument("split", by, budget)
    if not separator:
        raise program_error("split needs a non-empty separator")
    budget.allocate(len(text) // len(separator) + 1)
    return make_list(tuple(text.split(separator)), budget)


def _least(a: Value, b: Value, budget: Budget) -> Value:
    return a if as_condition(apply_operator("<=", a, b, budget)) else b


def _most(a: Value, b: Value, budget: Budget) -> Value:
    return a if as_condition(apply_operator(">=", a, b, budget)) else b


def _recall(key: Value, default: Value, budget: Budget) -> Value:
    stored = budget.store.get(_text_argument("recall", key, budget))
    return default if stored is None else stored[0]


MAX_STORED_CELLS = 64  # of one remembered value: enough for a few counters or a short list
MAX_KEY_CHARS = 64  # of a key to remember a value under


def count_cells(value: Value, budget: Budget) -> int:
    """The number of cells of a value. A part that occurs several times is counted each time."""
    budget.spend_steps(1)
    if isinstance(value, str):
        return 1 + len(value) // 16
    if isinstance(value, ListValue):
        return 1 + sum(count_cells(item, budget) for item in value.items)
    if isinstance(value, Record):
        return 1 + sum(count_cells(item, budget) for item in value.fields.values())
    return 1


def _remember(key: Value, value: Value, lifetime: Value, budget: Budget) -> Value:
    name = _text_argument("remember", key, budget)
    if not isinstance(lifetime, Duration) or lifetime <= 0:
        raise program_error("remember takes a key, a value and a duration greater than zero")
    if len(name) > MAX_KEY_CHARS:
        raise program_error(f"a key of {len(name)} characters is longer than {MAX_KEY_CHARS}")
    if count_cells(value, budget) > MAX_STORED_CELLS:
        raise HookError("memory", f"the value is too large to remember: more than {MAX_STORED_CELLS} cells")
    budget.allocate(8)
    budget.store[name] = (value, lifetime)
    return value


Builtin = Callable[..., Value]
BUILTINS: dict[str, tuple[int, Builtin]] = {
    "length": (1, _length),
    "text": (1, to_text),
    "number": (1, _parse_number),
    "lower": (1, lambda value, budget: _text_argument("lower", value, budget).lower()),
    "starts": (2, _starts),
    "ends": (2, _ends),
    "split": (2, _split),
    "floor": (1, lambda value, budget: int(_number_argument("floor", value) // 1)),
    "least": (2, _least),
    "most": (2, _most),
    "get": (3, _get),
    "push": (2, _push),
    "recall": (2, _recall),
    "remember": (3, _remember),
}
"""Built-in functions by name, each with its number of parameters. `recall(key, default)` and
`remember(key, value, duration)` access the state of the hook file, which the host bounds and expires."""
