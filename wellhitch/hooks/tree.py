"""A hook file as a tree. Plain records; `position` is line and column, from 1."""

from __future__ import annotations

from dataclasses import dataclass, field

from wellhitch.hooks.values import Value

Position = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Node:
    """Anything with a place in the file."""

    position: Position


# ---- expressions ----


@dataclass(frozen=True, slots=True)
class Literal(Node):
    """A number, text, duration, true, false or none, as its value."""

    value: Value


@dataclass(frozen=True, slots=True)
class Name(Node):
    """A variable."""

    name: str


@dataclass(frozen=True, slots=True)
class Unary(Node):
    """`-x` or `not x`."""

    op: str
    value: Expr


@dataclass(frozen=True, slots=True)
class Binary(Node):
    """Arithmetic, a comparison, or `in`."""

    op: str
    left: Expr
    right: Expr


@dataclass(frozen=True, slots=True)
class Logic(Node):
    """`and` or `or`; the right side is looked at only where it matters."""

    op: str
    parts: tuple[Expr, ...]


@dataclass(frozen=True, slots=True)
class Field(Node):
    """`value.name`."""

    value: Expr
    name: str


@dataclass(frozen=True, slots=True)
class Index(Node):
    """`value[key]`."""

    value: Expr
    key: Expr


@dataclass(frozen=True, slots=True)
class Call(Node):
    """`name(arguments)`."""

    name: str
    arguments: tuple[Expr, ...]


@dataclass(frozen=True, slots=True)
class ListOf(Node):
    """`[a, b]`."""

    items: tuple[Expr, ...]


@dataclass(frozen=True, slots=True)
class RecordOf(Node):
    """`{name: a}`."""

    fields: tuple[tuple[str, Expr], ...]


Expr = Literal | Name | Unary | Binary | Logic | Field | Index | Call | ListOf | RecordOf


# ---- patterns ----


@dataclass(frozen=True, slots=True)
class AnyPattern(Node):
    """`_`."""


@dataclass(frozen=True, slots=True)
class SamePattern(Node):
    """A literal."""

    value: Value


@dataclass(frozen=True, slots=True)
class RangePattern(Node):
    """`low..high`, both included."""

    low: Value
    high: Value


@dataclass(frozen=True, slots=True)
class PrefixPattern(Node):
    """`"text"*`: any text that begins so."""

    prefix: str


Pattern = AnyPattern | SamePattern | RangePattern | PrefixPattern


# ---- statements ----


@dataclass(frozen=True, slots=True)
class Let(Node):
    """`let name = value`."""

    name: str
    value: Expr


@dataclass(frozen=True, slots=True)
class Assign(Node):
    """`name = value`, or to a field or place of it; `path` from the name on."""

    name: str
    path: tuple[str | Expr, ...]
    value: Expr


@dataclass(frozen=True, slots=True)
class Branch(Node):
    """`if`, any number of `else if`, `else`."""

    ways: tuple[tuple[Expr, Block], ...]
    otherwise: Block | None


@dataclass(frozen=True, slots=True)
class Arm(Node):
    """One arm of a match."""

    patterns: tuple[Pattern, ...]
    guard: Expr | None
    block: Block


@dataclass(frozen=True, slots=True)
class Match(Node):
    """The first arm that fits is taken; none, and it goes on after the match."""

    value: Expr
    arms: tuple[Arm, ...]


@dataclass(frozen=True, slots=True)
class While(Node):
    """Loop while it is true."""

    condition: Expr
    block: Block


@dataclass(frozen=True, slots=True)
class For(Node):
    """Loop over a list, a record's names, or the numbers from 0 under a number."""

    name: str
    value: Expr
    block: Block


@dataclass(frozen=True, slots=True)
class Leave(Node):
    """`break` or `continue`."""

    how: str


@dataclass(frozen=True, slots=True)
class Return(Node):
    """Give a value back."""

    value: Expr | None


@dataclass(frozen=True, slots=True)
class Expect(Node):
    """In a test: what must be true."""

    value: Expr


@dataclass(frozen=True, slots=True)
class Do(Node):
    """An expression for what it does."""

    value: Expr


Statement = Let | Assign | Branch | Match | While | For | Leave | Return | Expect | Do


@dataclass(frozen=True, slots=True)
class Block(Node):
    """Statements in order."""

    statements: tuple[Statement, ...]


# ---- a file ----


@dataclass(frozen=True, slots=True)
class Function(Node):
    """`function name(names) { }`."""

    name: str
    names: tuple[str, ...]
    block: Block


@dataclass(frozen=True, slots=True)
class Hook(Node):
    """`on point { }`."""

    point: str
    block: Block


@dataclass(frozen=True, slots=True)
class Test(Node):
    """`test "what" { }`."""

    what: str
    block: Block


@dataclass(frozen=True, slots=True)
class Constant(Node):
    """`let name = value` outside of all."""

    name: str
    value: Expr


@dataclass(slots=True)
class File:
    """One hook file."""

    name: str
    hooks: dict[str, Hook] = field(default_factory=dict)
    functions: dict[str, Function] = field(default_factory=dict)
    constants: dict[str, Constant] = field(default_factory=dict)
    tests: list[Test] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """One thing wrong with a file."""

    file: str
    position: Position
    text: str
    hint: str = ""

    def __str__(self) -> str:
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.file}:{self.position[0]}:{self.position[1]}: {self.text}{hint}"


class InvalidHooks(Exception):
    """A file that cannot be taken, with all that is wrong."""

    def __init__(self, faults: list[Diagnostic]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.diagnostics = faults
