"""The grammar of the hooks' language, and source text -> tree (`tree.py`). docs/language.md teaches it.

Parsing is lark's LALR: linear in the text, so that no text is slow to read. Errors name file, line, column and a hint.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lark import Lark, Token, Tree, UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from wellhitch.hooks import tree
from wellhitch.hooks.values import Duration, Value, kind

MAX_SOURCE_CHARS = 64 * 1024  # characters; the longest sample hook has some 1,500
MAX_NEST = 60  # nodes in each other; a deep sample has 12, and every pass over the tree recurses as deep

GRAMMAR = r"""
start: item*
?item: hook | function | test | constant
hook: "on" NAME block
function: "function" NAME "(" [names] ")" block
test: "test" TEXT block
constant: "let" NAME "=" expr
names: NAME ("," NAME)*
block: "{" statement* "}"

?statement: "let" NAME "=" expr                     -> let
          | expr "=" expr                           -> assign
          | "if" expr block otherwise?              -> branch
          | "match" expr "{" arm* "}"               -> match
          | "while" expr block                      -> while_loop
          | "for" NAME "in" expr block              -> for_loop
          | "break"                                 -> break_loop
          | "continue"                              -> continue_loop
          | "return" expr?                          -> give_back
          | "expect" expr                           -> expect
          | expr                                    -> do
otherwise: "else" block | "else" "if" expr block otherwise?
arm: patterns ["if" expr] "=>" block
patterns: pattern ("|" pattern)*
pattern: "_"                                        -> any_pattern
       | literal                                    -> same_pattern
       | MINUS NUMBER                               -> negative_pattern
       | literal ".." literal                       -> range_pattern
       | TEXT "*"                                   -> prefix_pattern

?expr: or_expr
?or_expr: and_expr
        | and_expr ("or" and_expr)+                 -> or_chain
?and_expr: not_expr
         | not_expr ("and" not_expr)+               -> and_chain
?not_expr: "not" not_expr                           -> negate
         | compare
?compare: sum
        | sum COMPARE sum                           -> arithmetic
        | sum "in" sum                              -> within
?sum: product
    | product ((PLUS | MINUS) product)+             -> arithmetic
?product: unary
        | unary (MULTIPLY unary)+                   -> arithmetic
?unary: MINUS unary                                 -> minus
      | postfix
?postfix: atom
        | postfix "." NAME                          -> field
        | postfix "[" expr "]"                      -> index
        | NAME "(" [arguments] ")"                  -> call
arguments: expr ("," expr)*
?atom: literal
     | NAME                                         -> name
     | "(" expr ")"
     | "[" [arguments] "]"                          -> list_of
     | "{" [pair ("," pair)*] "}"                   -> record_of
pair: NAME ":" expr
?literal: NUMBER                                    -> number
        | DURATION                                  -> duration
        | TEXT                                      -> text
        | "true"                                    -> true
        | "false"                                   -> false
        | "none"                                    -> none

COMPARE: "==" | "!=" | "<=" | ">=" | "<" | ">"
PLUS: "+"
MINUS: "-"
MULTIPLY: "*" | "/" | "%"
DURATION.3: /[0-9]+(\.[0-9]+)?(us|ms|s|min|h)\b/
NUMBER.2: /[0-9]+(\.[0-9]+)?/
TEXT: /"[^"\n\\]*(\\["\\nt][^"\n\\]*)*"/
NAME: /[a-z][a-z0-9_]*/
%import common.WS
COMMENT: /#[^\n]*/
%ignore WS
%ignore COMMENT
"""

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
ESCAPES = {'\\"': '"', "\\\\": "\\", "\\n": "\n", "\\t": "\t"}
CONSTANTS: dict[str, Value] = {"true": True, "false": False, "none": None}


class Parser:
    """Reads hook files. Building it takes some 30 ms, so one is kept for as long as files are read."""

    def __init__(self) -> None:
        self._lark = Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=True)

    def parse(self, text: str, name: str) -> tree.File:
        """The file as a tree. Raises tree.InvalidHooks with the first thing that cannot be read."""
        if len(text) > MAX_SOURCE_CHARS:
            raise tree.InvalidHooks(
                [tree.Diagnostic(name, (1, 1), f"{len(text)} characters, over {MAX_SOURCE_CHARS}")]
            )
        try:
            raw = self._lark.parse(text)
        except UnexpectedInput as fault:
            raise tree.InvalidHooks([_unexpected(fault, name)]) from None
        _depth(raw, name)
        try:
            return _Builder(name).file(raw)
        except tree.InvalidHooks as bad:
            raise tree.InvalidHooks([replace(fault, file=name) for fault in bad.diagnostics]) from None


def _unexpected(fault: UnexpectedInput, name: str) -> tree.Diagnostic:
    at = (max(1, fault.line or 1), max(1, fault.column or 1))
    if isinstance(fault, UnexpectedCharacters):
        return tree.Diagnostic(name, at, f"{fault.char!r} means nothing here", _char_hint(fault.char))
    if isinstance(fault, UnexpectedToken):
        if fault.token.type == "$END":
            return tree.Diagnostic(name, at, "the file ends too soon", "a } or ) is missing")
        word = str(fault.token)
        hint = "= sets, == compares" if word == "=" else "a name, or a { before it, may be missing"
        return tree.Diagnostic(name, at, f"{word!r} cannot stand here", hint)
    return tree.Diagnostic(name, at, "cannot be read")


def _char_hint(char: str) -> str:
    if char in "'`":
        return 'texts stand in "double quotes"'
    if char == "&":
        return "write and"
    if char == ";":
        return "statements need no ;"
    return "names are small letters, digits and _" if char.isalpha() else ""


def _depth(raw: Tree[Token], name: str) -> None:
    """Refuse what is nested too deep, without recursion."""
    held: list[tuple[Tree[Token], int]] = [(raw, 1)]
    while held:
        node, depth = held.pop()
        if depth > MAX_NEST:
            at = (getattr(node.meta, "line", 1), getattr(node.meta, "column", 1))
            raise tree.InvalidHooks(
                [tree.Diagnostic(name, at, f"nested over {MAX_NEST} deep", "use functions")]
            )
        held += [(child, depth + 1) for child in node.children if isinstance(child, Tree)]


def _nested(top: tree.Node, name: str) -> None:
    """Refuse a tree that is too deep, such as that of a sum of a thousand terms, without recursion."""
    held: list[tuple[object, int]] = [(top, 1)]
    while held:
        node, depth = held.pop()
        if isinstance(node, tuple):
            held += [(one, depth) for one in node]
        elif isinstance(node, tree.Node):
            if depth > MAX_NEST:
                raise tree.InvalidHooks(
                    [tree.Diagnostic(name, node.position, f"nested over {MAX_NEST} deep", "use let")]
                )
            held += [
                (getattr(node, one), depth + 1) for one in node.__dataclass_fields__ if one != "position"
            ]


class _Builder:
    """lark's tree -> ours."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults: list[tree.Diagnostic] = []

    def file(self, raw: Tree[Token]) -> tree.File:
        """All items; a name that stands twice is a fault."""
        out = tree.File(self.name)
        for item in raw.children:
            assert isinstance(item, Tree)
            at, parts = _at(item), item.children
            if item.data == "hook":
                self._once(
                    out.hooks, str(parts[0]), tree.Hook(at, str(parts[0]), self.block(parts[1])), "hook"
                )
            elif item.data == "function":
                names = tuple(str(one) for one in parts[1].children) if isinstance(parts[1], Tree) else ()
                made = tree.Function(at, str(parts[0]), names, self.block(parts[2]))
                self._once(out.functions, made.name, made, "function")
            elif item.data == "test":
                out.tests.append(tree.Test(at, _text(parts[0]), self.block(parts[1])))
            else:
                constant = tree.Constant(at, str(parts[0]), self.expr(parts[1]))
                self._once(out.constants, constant.name, constant, "constant")
        for node in [*out.hooks.values(), *out.functions.values(), *out.constants.values(), *out.tests]:
            _nested(node, self.name)
        if self.faults:
            raise tree.InvalidHooks(self.faults)
        return out

    def _once(self, known: dict[str, Any], name: str, made: tree.Node, what: str) -> None:
        if name in known:
            first = known[name].position
            self.faults.append(
                tree.Diagnostic(
                    self.name, made.position, f"{what} {name} stands twice", f"first in line {first[0]}"
                )
            )
        known[name] = made

    def block(self, raw: Any) -> tree.Block:
        """Statements in order."""
        return tree.Block(_at(raw), tuple(self.statement(one) for one in raw.children))

    def statement(self, raw: Tree[Token]) -> tree.Statement:
        """One statement."""
        at, parts = _at(raw), raw.children
        match raw.data:
            case "let":
                return tree.Let(at, str(parts[0]), self.expr(parts[1]))
            case "assign":
                return self._assign(at, self.expr(parts[0]), self.expr(parts[1]))
            case "branch":
                return self._branch(raw)
            case "match":
                return tree.Match(at, self.expr(parts[0]), tuple(self._arm(one) for one in parts[1:]))
            case "while_loop":
                return tree.While(at, self.expr(parts[0]), self.block(parts[1]))
            case "for_loop":
                return tree.For(at, str(parts[0]), self.expr(parts[1]), self.block(parts[2]))
            case "break_loop" | "continue_loop":
                return tree.Leave(at, str(raw.data)[:-5])
            case "give_back":
                return tree.Return(at, self.expr(parts[0]) if parts and parts[0] is not None else None)
            case "expect":
                return tree.Expect(at, self.expr(parts[0]))
        return tree.Do(at, self.expr(parts[0]))

    def _assign(self, at: tree.Position, target: tree.Expr, value: tree.Expr) -> tree.Assign:
        path: list[str | tree.Expr] = []
        while isinstance(target, (tree.Field, tree.Index)):
            path.append(target.name if isinstance(target, tree.Field) else target.key)
            target = target.value
        if not isinstance(target, tree.Name):
            self.faults.append(tree.Diagnostic(self.name, at, "only a name, a field or a place can be set"))
            return tree.Assign(at, "", (), value)
        return tree.Assign(at, target.name, tuple(reversed(path)), value)

    def _branch(self, raw: Tree[Token]) -> tree.Branch:
        ways: list[tuple[tree.Expr, tree.Block]] = []
        parts: list[Any] = list(raw.children)
        otherwise: tree.Block | None = None
        while parts:
            if len(parts) == 1:  # a last else
                otherwise = self.block(parts[0])
                break
            ways.append((self.expr(parts[0]), self.block(parts[1])))
            parts = list(parts[2].children) if len(parts) > 2 and parts[2] is not None else []
        return tree.Branch(_at(raw), tuple(ways), otherwise)

    def _arm(self, raw: Any) -> tree.Arm:
        patterns, guard, block = raw.children
        made = tuple(self._pattern(one) for one in patterns.children)
        return tree.Arm(_at(raw), made, self.expr(guard) if guard is not None else None, self.block(block))

    def _pattern(self, raw: Any) -> tree.Pattern:
        at = _at(raw)
        match raw.data:
            case "any_pattern":
                return tree.AnyPattern(at)
            case "negative_pattern":
                return tree.SamePattern(at, -_number(raw.children[1]))
            case "prefix_pattern":
                return tree.PrefixPattern(at, _text(raw.children[0]))
            case "range_pattern":
                low, high = (_literal(one) for one in raw.children)
                if kind(low) != kind(high) or kind(low) not in ("number", "duration", "text"):
                    self.faults.append(
                        tree.Diagnostic(self.name, at, "a range needs two of a kind", "1..5 or 8h..18h")
                    )
                return tree.RangePattern(at, low, high)
        return tree.SamePattern(at, _literal(raw.children[0]))

    def expr(self, raw: Any) -> tree.Expr:
        """One expression."""
        at, parts = _at(raw), raw.children
        match str(raw.data):
            case "number" | "duration" | "text" | "true" | "false" | "none":
                return tree.Literal(at, _literal(raw))
            case "name":
                return tree.Name(at, str(parts[0]))
            case "or_chain" | "and_chain":
                return tree.Logic(at, str(raw.data)[:-6], tuple(self.expr(one) for one in parts))
            case "negate":
                return tree.Unary(at, "not", self.expr(parts[0]))
            case "minus":
                return tree.Unary(at, "-", self.expr(parts[1]))
            case "within":
                return tree.Binary(at, "in", self.expr(parts[0]), self.expr(parts[1]))
            case "arithmetic":
                out = self.expr(parts[0])
                for op, right in zip(parts[1::2], parts[2::2], strict=True):
                    out = tree.Binary((op.line, op.column), str(op), out, self.expr(right))
                return out
            case "field":
                return tree.Field(at, self.expr(parts[0]), str(parts[1]))
            case "index":
                return tree.Index(at, self.expr(parts[0]), self.expr(parts[1]))
            case "call":
                given = parts[1].children if parts[1] is not None else []
                return tree.Call(at, str(parts[0]), tuple(self.expr(one) for one in given))
            case "list_of":
                given = parts[0].children if parts and parts[0] is not None else []
                return tree.ListOf(at, tuple(self.expr(one) for one in given))
        pairs = [one for one in parts if one is not None]
        return tree.RecordOf(at, tuple((str(one.children[0]), self.expr(one.children[1])) for one in pairs))


def _at(raw: Any) -> tree.Position:
    meta = raw.meta
    return (getattr(meta, "line", 1), getattr(meta, "column", 1))


MAX_DIGITS = 18  # of a number or duration as written; 2^53 has sixteen


def _digits(token: Any) -> str:
    text = str(token)
    if len(text) > MAX_DIGITS:
        fault = tree.Diagnostic(
            "", (token.line, token.column), f"a number of {len(text)} characters", "15 digits at most"
        )
        raise tree.InvalidHooks([fault])
    return text


def _number(token: Any) -> int | float:
    text = _digits(token)
    return float(text) if "." in text else int(text)


def _text(token: Any) -> str:
    out, at, raw = [], 0, str(token)[1:-1]
    while at < len(raw):
        step = 2 if raw[at] == "\\" else 1
        out.append(ESCAPES.get(raw[at : at + step], raw[at : at + step]))
        at += step
    return "".join(out)


def _duration(token: Any) -> Duration:
    text = _digits(token)
    unit = next(name for name in ("us", "ms", "min", "s", "h") if text.endswith(name))
    return Duration(round(float(text[: -len(unit)]) * UNITS[unit]))


_LITERALS: dict[str, Callable[[Any], Value]] = {"number": _number, "duration": _duration, "text": _text}


def _literal(raw: Any) -> Value:
    kind = str(raw.data)
    return CONSTANTS[kind] if kind in CONSTANTS else _LITERALS[kind](raw.children[0])
