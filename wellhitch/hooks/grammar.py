"""The grammar of the hook language, and the parser from source text to a syntax tree (`tree.py`). The language is
described in docs/language.md.

The parser is lark's LALR parser: its time is linear in the length of the text, so that no input is slow to parse.
Errors have file, line, column and a hint.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lark import Lark, Token, Tree, UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from wellhitch.hooks import tree
from wellhitch.hooks.values import Duration, Value, kind

MAX_SOURCE_CHARS = 64 * 1024  # of one file; the longest sample hook has about 1,500
MAX_NESTING = 60  # of tree nodes; a deep sample has 12. Functions over the tree recurse to this depth.

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
          | "return" expr?                          -> return_value
          | "expect" expr                           -> expect
          | expr                                    -> expression
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
    """Parses hook files. Building a parser takes about 30 ms, so one should be reused for all files."""

    def __init__(self) -> None:
        self._lark = Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=True)

    def parse(self, text: str, name: str) -> tree.File:
        """Parse a file. Raises tree.InvalidHooks with the first syntax error."""
        if len(text) > MAX_SOURCE_CHARS:
            raise tree.InvalidHooks(
                [tree.Diagnostic(name, (1, 1), f"{len(text)} characters, more than {MAX_SOURCE_CHARS}")]
            )
        try:
            raw = self._lark.parse(text)
        except UnexpectedInput as error:
            raise tree.InvalidHooks([_syntax_error(error, name)]) from None
        _check_parse_depth(raw, name)
        try:
            return _Builder(name).file(raw)
        except tree.InvalidHooks as invalid:
            raise tree.InvalidHooks(
                [replace(diagnostic, file=name) for diagnostic in invalid.diagnostics]
            ) from None


def _syntax_error(error: UnexpectedInput, name: str) -> tree.Diagnostic:
    position = (max(1, error.line or 1), max(1, error.column or 1))
    if isinstance(error, UnexpectedCharacters):
        return tree.Diagnostic(name, position, f"{error.char!r} is not allowed here", _char_hint(error.char))
    if isinstance(error, UnexpectedToken):
        if error.token.type == "$END":
            return tree.Diagnostic(name, position, "unexpected end of file", "a } or ) is missing")
        token = str(error.token)
        hint = "= assigns, == compares" if token == "=" else "a name, or a { before it, may be missing"
        return tree.Diagnostic(name, position, f"{token!r} is unexpected here", hint)
    return tree.Diagnostic(name, position, "syntax error")


def _char_hint(char: str) -> str:
    if char in "'`":
        return 'texts are written in "double quotes"'
    if char == "&":
        return "the operator is written and"
    if char == ";":
        return "statements do not end with ;"
    return "names consist of lower-case letters, digits and _" if char.isalpha() else ""


def _check_parse_depth(raw: Tree[Token], name: str) -> None:
    """Reject a parse tree that is nested too deep, without recursion."""
    pending: list[tuple[Tree[Token], int]] = [(raw, 1)]
    while pending:
        node, depth = pending.pop()
        if depth > MAX_NESTING:
            position = (getattr(node.meta, "line", 1), getattr(node.meta, "column", 1))
            raise tree.InvalidHooks(
                [
                    tree.Diagnostic(
                        name, position, f"nested more than {MAX_NESTING} deep", "split it into functions"
                    )
                ]
            )
        pending += [(child, depth + 1) for child in node.children if isinstance(child, Tree)]


def _check_tree_depth(root: tree.Node, name: str) -> None:
    """Reject a syntax tree that is too deep, such as that of a sum of a thousand terms, without recursion."""
    pending: list[tuple[object, int]] = [(root, 1)]
    while pending:
        node, depth = pending.pop()
        if isinstance(node, tuple):
            pending += [(item, depth) for item in node]
        elif isinstance(node, tree.Node):
            if depth > MAX_NESTING:
                raise tree.InvalidHooks(
                    [
                        tree.Diagnostic(
                            name,
                            node.position,
                            f"nested more than {MAX_NESTING} deep",
                            "use let for parts of it",
                        )
                    ]
                )
            pending += [
                (getattr(node, field), depth + 1)
                for field in node.__dataclass_fields__
                if field != "position"
            ]


class _Builder:
    """Converts lark's parse tree to the syntax tree of `tree.py`."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.diagnostics: list[tree.Diagnostic] = []

    def file(self, raw: Tree[Token]) -> tree.File:
        """Build the file. A hook, function or constant that is defined twice is an error."""
        file = tree.File(self.name)
        for item in raw.children:
            assert isinstance(item, Tree)
            position, parts = _position(item), item.children
            if item.data == "hook":
                self._define(
                    file.hooks,
                    str(parts[0]),
                    tree.Hook(position, str(parts[0]), self.block(parts[1])),
                    "hook",
                )
            elif item.data == "function":
                names = tuple(str(name) for name in parts[1].children) if isinstance(parts[1], Tree) else ()
                function = tree.Function(position, str(parts[0]), names, self.block(parts[2]))
                self._define(file.functions, function.name, function, "function")
            elif item.data == "test":
                file.tests.append(tree.Test(position, _text(parts[0]), self.block(parts[1])))
            else:
                constant = tree.Constant(position, str(parts[0]), self.expr(parts[1]))
                self._define(file.constants, constant.name, constant, "constant")
        for node in [*file.hooks.values(), *file.functions.values(), *file.constants.values(), *file.tests]:
            _check_tree_depth(node, self.name)
        if self.diagnostics:
            raise tree.InvalidHooks(self.diagnostics)
        return file

    def _define(self, known: dict[str, Any], name: str, node: tree.Node, category: str) -> None:
        if name in known:
            first = known[name].position
            self.diagnostics.append(
                tree.Diagnostic(
                    self.name,
                    node.position,
                    f"{category} {name} is defined twice",
                    f"first in line {first[0]}",
                )
            )
        known[name] = node

    def block(self, raw: Any) -> tree.Block:
        """Build a block."""
        return tree.Block(_position(raw), tuple(self.statement(child) for child in raw.children))

    def statement(self, raw: Tree[Token]) -> tree.Statement:
        """Build a statement."""
        position, parts = _position(raw), raw.children
        match raw.data:
            case "let":
                return tree.Let(position, str(parts[0]), self.expr(parts[1]))
            case "assign":
                return self._assign(position, self.expr(parts[0]), self.expr(parts[1]))
            case "branch":
                return self._branch(raw)
            case "match":
                return tree.Match(position, self.expr(parts[0]), tuple(self._arm(part) for part in parts[1:]))
            case "while_loop":
                return tree.While(position, self.expr(parts[0]), self.block(parts[1]))
            case "for_loop":
                return tree.For(position, str(parts[0]), self.expr(parts[1]), self.block(parts[2]))
            case "break_loop" | "continue_loop":
                return tree.LoopExit(position, str(raw.data)[:-5])
            case "return_value":
                return tree.Return(position, self.expr(parts[0]) if parts and parts[0] is not None else None)
            case "expect":
                return tree.Expect(position, self.expr(parts[0]))
        return tree.ExpressionStatement(position, self.expr(parts[0]))

    def _assign(self, position: tree.Position, target: tree.Expr, value: tree.Expr) -> tree.Assign:
        path: list[str | tree.Expr] = []
        while isinstance(target, (tree.Field, tree.Index)):
            path.append(target.name if isinstance(target, tree.Field) else target.key)
            target = target.value
        if not isinstance(target, tree.Name):
            self.diagnostics.append(
                tree.Diagnostic(self.name, position, "only a name, a field or a list item can be assigned")
            )
            return tree.Assign(position, "", (), value)
        return tree.Assign(position, target.name, tuple(reversed(path)), value)

    def _branch(self, raw: Tree[Token]) -> tree.If:
        branches: list[tuple[tree.Expr, tree.Block]] = []
        parts: list[Any] = list(raw.children)
        otherwise: tree.Block | None = None
        while parts:
            if len(parts) == 1:  # the final else
                otherwise = self.block(parts[0])
                break
            branches.append((self.expr(parts[0]), self.block(parts[1])))
            parts = list(parts[2].children) if len(parts) > 2 and parts[2] is not None else []
        return tree.If(_position(raw), tuple(branches), otherwise)

    def _arm(self, raw: Any) -> tree.MatchArm:
        patterns, guard, block = raw.children
        built = tuple(self._pattern(pattern) for pattern in patterns.children)
        return tree.MatchArm(
            _position(raw), built, self.expr(guard) if guard is not None else None, self.block(block)
        )

    def _pattern(self, raw: Any) -> tree.Pattern:
        position = _position(raw)
        match raw.data:
            case "any_pattern":
                return tree.WildcardPattern(position)
            case "negative_pattern":
                return tree.LiteralPattern(position, -_number(raw.children[1]))
            case "prefix_pattern":
                return tree.PrefixPattern(position, _text(raw.children[0]))
            case "range_pattern":
                low, high = (_literal(child) for child in raw.children)
                if kind(low) != kind(high) or kind(low) not in ("number", "duration", "text"):
                    self.diagnostics.append(
                        tree.Diagnostic(
                            self.name,
                            position,
                            "a range needs two numbers, two durations or two texts",
                            "1..5 or 8h..18h",
                        )
                    )
                return tree.RangePattern(position, low, high)
        return tree.LiteralPattern(position, _literal(raw.children[0]))

    def expr(self, raw: Any) -> tree.Expr:
        """Build an expression."""
        position, parts = _position(raw), raw.children
        match str(raw.data):
            case "number" | "duration" | "text" | "true" | "false" | "none":
                return tree.Literal(position, _literal(raw))
            case "name":
                return tree.Name(position, str(parts[0]))
            case "or_chain" | "and_chain":
                return tree.BooleanOp(position, str(raw.data)[:-6], tuple(self.expr(part) for part in parts))
            case "negate":
                return tree.Unary(position, "not", self.expr(parts[0]))
            case "minus":
                return tree.Unary(position, "-", self.expr(parts[1]))
            case "within":
                return tree.Binary(position, "in", self.expr(parts[0]), self.expr(parts[1]))
            case "arithmetic":
                left = self.expr(parts[0])
                for op, right in zip(parts[1::2], parts[2::2], strict=True):
                    left = tree.Binary((op.line, op.column), str(op), left, self.expr(right))
                return left
            case "field":
                return tree.Field(position, self.expr(parts[0]), str(parts[1]))
            case "index":
                return tree.Index(position, self.expr(parts[0]), self.expr(parts[1]))
            case "call":
                arguments = parts[1].children if parts[1] is not None else []
                return tree.Call(
                    position, str(parts[0]), tuple(self.expr(argument) for argument in arguments)
                )
            case "list_of":
                items = parts[0].children if parts and parts[0] is not None else []
                return tree.ListLiteral(position, tuple(self.expr(item) for item in items))
        pairs = [part for part in parts if part is not None]
        return tree.RecordLiteral(
            position, tuple((str(pair.children[0]), self.expr(pair.children[1])) for pair in pairs)
        )


def _position(raw: Any) -> tree.Position:
    meta = raw.meta
    return (getattr(meta, "line", 1), getattr(meta, "column", 1))


MAX_NUMBER_CHARS = 18  # of a number or duration in the source; 2^53 has 16 digits


def _number_text(token: Any) -> str:
    """The text of a number or duration. Raises tree.InvalidHooks if it is too long."""
    text = str(token)
    if len(text) > MAX_NUMBER_CHARS:
        diagnostic = tree.Diagnostic(
            "",
            (token.line, token.column),
            f"a number of {len(text)} characters is too long",
            "15 digits at most",
        )
        raise tree.InvalidHooks([diagnostic])
    return text


def _number(token: Any) -> int | float:
    text = _number_text(token)
    return float(text) if "." in text else int(text)


def _text(token: Any) -> str:
    """The value of a text literal, with its escapes resolved."""
    chars, index, raw = [], 0, str(token)[1:-1]
    while index < len(raw):
        length = 2 if raw[index] == "\\" else 1
        chars.append(ESCAPES.get(raw[index : index + length], raw[index : index + length]))
        index += length
    return "".join(chars)


def _duration(token: Any) -> Duration:
    text = _number_text(token)
    unit = next(name for name in ("us", "ms", "min", "s", "h") if text.endswith(name))
    return Duration(round(float(text[: -len(unit)]) * UNITS[unit]))


_LITERALS: dict[str, Callable[[Any], Value]] = {"number": _number, "duration": _duration, "text": _text}


def _literal(raw: Any) -> Value:
    kind = str(raw.data)
    return CONSTANTS[kind] if kind in CONSTANTS else _LITERALS[kind](raw.children[0])
