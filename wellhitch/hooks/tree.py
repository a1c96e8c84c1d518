"""The syntax tree of a hook file. `position` is line and column, both counted from 1."""

from __future__ import annotations

from dataclasses import dataclass, field

from wellhitch.hooks.values import Value

Position = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Node:
    """Base of all syntax tree nodes."""

    position: Position


# ---- expressions ----


@dataclass(frozen=True, slots=True)
class Literal(Node):
    """A number, text, duration, true, false or none, as its value."""

    value: Value


@dataclass(frozen=True, slots=True)
class Name(Node):
    """A use of a variable or constant."""

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
class BooleanOp(Node):
    """A chain of `and` or of `or`; evaluated from the left until the result is known."""

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
class ListLiteral(Node):
    """`[a, b]`."""

    items: tuple[Expr, ...]


@dataclass(frozen=True, slots=True)
class RecordLiteral(Node):
    """`{name: a}`."""

    fields: tuple[tuple[str, Expr], ...]


Expr = Literal | Name | Unary | Binary | BooleanOp | Field | Index | Call | ListLiteral | RecordLiteral


# ---- patterns ----


@dataclass(frozen=True, slots=True)
class WildcardPattern(Node):
    """`_`: matches any value."""


@dataclass(frozen=True, slots=True)
class LiteralPattern(Node):
    """A literal: matches an equal value of the same kind."""

    value: Value


@dataclass(frozen=True, slots=True)
class RangePattern(Node):
    """`low..high`, both included."""

    low: Value
    high: Value


@dataclass(frozen=True, slots=True)
class PrefixPattern(Node):
    """`"text"*`: any text that starts with the prefix."""

    prefix: str


Pattern = WildcardPattern | LiteralPattern | RangePattern | PrefixPattern


# ---- statements ----


@dataclass(frozen=True, slots=True)
class Let(Node):
    """`let name = value`."""

    name: str
    value: Expr


@dataclass(frozen=True, slots=True)
class Assign(Node):
    """`name = value`, or an assignment to a field or item of it; `path` leads from the name to that item."""

    name: str
    path: tuple[str | Expr, ...]
    value: Expr


@dataclass(frozen=True, slots=True)
class If(Node):
    """`if`, any number of `else if`, `else`."""

    branches: tuple[tuple[Expr, Block], ...]
    otherwise: Block | None


@dataclass(frozen=True, slots=True)
class MatchArm(Node):
    """One arm of a match."""

    patterns: tuple[Pattern, ...]
    guard: Expr | None
    block: Block


@dataclass(frozen=True, slots=True)
class Match(Node):
    """`match`: runs the first arm that matches; if none does, execution continues after the match."""

    value: Expr
    arms: tuple[MatchArm, ...]


@dataclass(frozen=True, slots=True)
class While(Node):
    """Loop while the condition is true."""

    condition: Expr
    block: Block


@dataclass(frozen=True, slots=True)
class For(Node):
    """Loop over a list, a record's names, or the numbers from 0 up to, but not including, a number."""

    name: str
    value: Expr
    block: Block


@dataclass(frozen=True, slots=True)
class LoopExit(Node):
    """`break` or `continue`."""

    keyword: str


@dataclass(frozen=True, slots=True)
class Return(Node):
    """Return from the hook or function, with a value or without."""

    value: Expr | None


@dataclass(frozen=True, slots=True)
class Expect(Node):
    """An assertion; allowed in tests only."""

    value: Expr


@dataclass(frozen=True, slots=True)
class ExpressionStatement(Node):
    """An expression evaluated for its side effect."""

    value: Expr


Statement = Let | Assign | If | Match | While | For | LoopExit | Return | Expect | ExpressionStatement


@dataclass(frozen=True, slots=True)
class Block(Node):
    """Statements in order."""

    statements: tuple[Statement, ...]


# ---- a file ----


@dataclass(frozen=True, slots=True)
class Function(Node):
    """`function name(parameters) { }`."""

    name: str
    parameters: tuple[str, ...]
    block: Block


@dataclass(frozen=True, slots=True)
class Hook(Node):
    """`on point { }`."""

    point: str
    block: Block


@dataclass(frozen=True, slots=True)
class Test(Node):
    """`test "title" { }`."""

    title: str
    block: Block


@dataclass(frozen=True, slots=True)
class Constant(Node):
    """`let name = value` at the top level of the file."""

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
    """One error in a hook file, with its position and an optional hint."""

    file: str
    position: Position
    text: str
    hint: str = ""

    def __str__(self) -> str:
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.file}:{self.position[0]}:{self.position[1]}: {self.text}{hint}"


class InvalidHooks(Exception):
    """Hook files that were rejected, with all their errors."""

    def __init__(self, diagnostics: list[Diagnostic]) -> None:
        super().__init__("\n".join(str(diagnostic) for diagnostic in diagnostics))
        self.diagnostics = diagnostics
