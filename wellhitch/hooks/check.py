"""Static checks of a hook file: undefined names, wrong numbers of arguments, unknown fields, kinds that are known
not to fit, unreachable code and loops that never end."""

from dataclasses import dataclass, field

from wellhitch.hooks import tree
from wellhitch.hooks.points import POINTS, Point, Type
from wellhitch.hooks.values import BUILTINS, kind

ANY: Type = "any"
MAX_LOOP_NESTING = 16  # within one function; Python, which hooks are compiled to, allows 20 nested blocks
KEYWORDS = ("return", "break", "continue", "else", "while", "match", "true", "false", "none", "expect")
_ARITHMETIC = {
    ("+", "number"),
    ("+", "text"),
    ("+", "list"),
    ("+", "duration"),
    ("-", "number"),
    ("-", "duration"),
}


@dataclass
class _Scope:
    """The visible names with their types, innermost block last."""

    blocks: list[dict[str, Type]] = field(default_factory=lambda: [{}])

    def find(self, name: str) -> Type | None:
        """The type of a name; None if it is undefined."""
        for block in reversed(self.blocks):
            if name in block:
                return block[name]
        return None


@dataclass
class _Checker:
    file: tree.File
    diagnostics: list[tree.Diagnostic] = field(default_factory=list)
    scope: _Scope = field(default_factory=_Scope)
    point: Point | None = None
    point_name: str = ""
    loops: int = 0
    in_test: bool = False

    def report(self, position: tree.Position, text: str, hint: str = "") -> None:
        """Add an error."""
        self.diagnostics.append(tree.Diagnostic(self.file.name, position, text, hint))

    # -- the file --

    def run(self) -> list[tree.Diagnostic]:
        """Check the whole file."""
        known: dict[str, Type] = {}
        for constant in self.file.constants.values():
            self.scope = _Scope([dict(known)])
            known[constant.name] = self.expr(constant.value)
        for function in self.file.functions.values():
            if function.name in BUILTINS or function.name in POINTS:
                self.report(
                    function.position, f"{function.name} is the name of a built-in function or hook point"
                )
            if len(set(function.parameters)) != len(function.parameters):
                self.report(
                    function.position, f"function {function.name} has two parameters of the same name"
                )
            self._body(known, dict.fromkeys(function.parameters, ANY), function.block, None, "")
        for hook in self.file.hooks.values():
            point = POINTS.get(hook.point)
            if point is None:
                self.report(
                    hook.position, f"no hook point {hook.point}", f"the hook points are {', '.join(POINTS)}"
                )
                continue
            self._body(known, dict(point.inputs), hook.block, point, hook.point)
        self.in_test = True
        for test in self.file.tests:
            self._body(known, {}, test.block, None, "")
        return sorted(self.diagnostics, key=lambda diagnostic: diagnostic.position)

    def _body(
        self,
        known: dict[str, Type],
        inputs: dict[str, Type],
        block: tree.Block,
        point: Point | None,
        name: str,
    ) -> None:
        """Check the block of a function, hook or test. `point` is the hook point of a hook."""
        self.scope = _Scope([dict(known), inputs])
        self.point, self.point_name, self.loops = point, name, 0
        self.block(block)

    # -- statements --

    def block(self, block: tree.Block) -> bool:
        """Check a block. Returns whether its end is never reached."""
        self.scope.blocks.append({})
        ended = False
        reported = False
        for statement in block.statements:
            if ended and not reported:
                self.report(statement.position, "unreachable statement")
                reported = True
            ended = self.statement(statement) or ended
        self.scope.blocks.pop()
        return ended

    def statement(self, statement: tree.Statement) -> bool:
        """Check a statement. Returns whether the statement after it is never reached."""
        match statement:
            case tree.Let(position, name, value):
                value_type = self.expr(value)
                if self.scope.find(name) is not None:
                    self.report(position, f"{name} is already defined", "leave out let to assign to it")
                self.scope.blocks[-1][name] = value_type
            case tree.Assign(position, name, path, value):
                self._assign(position, name, path, value)
            case tree.If():
                return self._if(statement)
            case tree.Match(_, value, arms):
                self.expr(value)
                ends = [self._arm(arm) for arm in arms]
                exhaustive = any(
                    isinstance(pattern, tree.WildcardPattern) and not arm.guard
                    for arm in arms
                    for pattern in arm.patterns
                )
                return exhaustive and all(ends)
            case tree.While(position, condition, block):
                self._condition(condition)
                self._loop(position)
                self.block(block)
                self.loops -= 1
                if _is_literal_true(condition) and not _may_leave(block):
                    self.report(position, "this loop never ends", "a break or return is missing")
                    return True
                return _is_literal_true(condition) and not _may_break(block)
            case tree.For(position, name, value, block):
                self.expr(value)
                self.scope.blocks.append({name: ANY})
                self._loop(position)
                self.block(block)
                self.loops -= 1
                self.scope.blocks.pop()
            case tree.LoopExit(position, keyword):
                if not self.loops:
                    self.report(position, f"{keyword} outside of a loop")
                return True
            case tree.Return(position, value):
                self._return(position, value)
                return True
            case tree.Expect(position, value):
                if not self.in_test:
                    self.report(position, "expect is allowed in tests only")
                self._condition(value)
            case tree.ExpressionStatement(position, value):
                self.expr(value)
                if not isinstance(value, tree.Call):
                    self.report(
                        position, "this statement has no effect", "a call or an assignment is expected"
                    )
        return False

    def _loop(self, position: tree.Position) -> None:
        self.loops += 1
        if self.loops > MAX_LOOP_NESTING:
            self.report(
                position, f"loops nested more than {MAX_LOOP_NESTING} deep", "split them into functions"
            )

    def _assign(
        self, position: tree.Position, name: str, path: tuple[str | tree.Expr, ...], value: tree.Expr
    ) -> None:
        assigned = self.expr(value)
        for key in path:
            if not isinstance(key, str):
                self.expr(key)
        if name in self.file.constants:
            self.report(position, f"{name} is a constant and cannot be assigned")
        elif self.scope.find(name) is None:
            self.report(position, f"undefined name {name} in assignment", f"let {name} = ... defines it")
        elif not path:
            for block in self.scope.blocks:
                if name in block:
                    block[name] = assigned if block[name] == assigned else ANY

    def _if(self, statement: tree.If) -> bool:
        ends = []
        for condition, block in statement.branches:
            self._condition(condition)
            ends.append(self.block(block))
        if statement.otherwise is None:
            return False
        return self.block(statement.otherwise) and all(ends)

    def _arm(self, arm: tree.MatchArm) -> bool:
        if arm.guard:
            self._condition(arm.guard)
        return self.block(arm.block)

    def _condition(self, value: tree.Expr) -> None:
        value_type = self.expr(value)
        if value_type not in (ANY, "truth"):
            self.report(
                value.position,
                f"a {_kind_name(value_type)} cannot be used as a condition",
                "compare it with a value",
            )

    def _return(self, position: tree.Position, value: tree.Expr | None) -> None:
        value_type = self.expr(value) if value else "none"
        if self.point is None:
            return
        if value_type not in (ANY, "none", "record") and not isinstance(value_type, dict):
            self.report(
                position, f"on {self.point_name} returns a record or nothing, not a {_kind_name(value_type)}"
            )
        if isinstance(value, tree.RecordLiteral):
            for name, returned in value.fields:
                wanted = self.point.outputs.get(name)
                if wanted is None:
                    allowed = ", ".join(self.point.outputs) or "nothing"
                    self.report(
                        returned.position,
                        f"on {self.point_name} cannot return {name}",
                        f"it may return {allowed}",
                    )
                elif (
                    isinstance(returned, tree.Literal)
                    and returned.value is not None
                    and kind(returned.value) != wanted
                ):
                    self.report(returned.position, f"{name} must be a {wanted}, not a {kind(returned.value)}")

    # -- expressions --

    def expr(self, expression: tree.Expr) -> Type:
        """Check an expression. Returns its type."""
        match expression:
            case tree.Literal(_, value):
                return kind(value)
            case tree.Name(position, name):
                value_type = self.scope.find(name)
                if value_type is None:
                    names = [known for block in self.scope.blocks for known in block]
                    self.report(position, f"undefined name {name}", _suggest(name, [*names, *KEYWORDS]))
                    return ANY
                return value_type
            case tree.Unary(_, op, value):
                if op == "not":
                    self._condition(value)
                    return "truth"
                return self.expr(value)
            case tree.BooleanOp(_, _, parts):
                for part in parts:
                    self._condition(part)
                return "truth"
            case tree.Binary():
                return self._binary(expression)
            case tree.Field(position, value, name):
                return self._field(position, self.expr(value), name)
            case tree.Index(_, value, key):
                self.expr(key)
                self.expr(value)
                return ANY
            case tree.Call():
                return self._call(expression)
            case tree.ListLiteral(_, items):
                for item in items:
                    self.expr(item)
                return "list"
            case tree.RecordLiteral(position, fields):
                names = [name for name, _ in fields]
                for name in {name for name in names if names.count(name) > 1}:
                    self.report(position, f"field {name} is given twice")
                return {name: self.expr(value) for name, value in fields}

    def _binary(self, binary: tree.Binary) -> Type:
        left, right = self.expr(binary.left), self.expr(binary.right)
        if binary.op in ("==", "!="):
            if (
                ANY not in (left, right)
                and _kind_name(left) != _kind_name(right)
                and "none" not in (left, right)
            ):
                self.report(binary.position, f"a {_kind_name(left)} is never equal to a {_kind_name(right)}")
            return "truth"
        if binary.op in ("in", "<", "<=", ">", ">="):
            if binary.op != "in" and ANY not in (left, right) and _kind_name(left) != _kind_name(right):
                self.report(
                    binary.position,
                    f"{_kind_name(left)} {binary.op} {_kind_name(right)} is not defined",
                )
            return "truth"
        if ANY in (left, right):
            return ANY
        names = (_kind_name(left), _kind_name(right))
        if names[0] == names[1] and ((binary.op, names[0]) in _ARITHMETIC or names[0] == "number"):
            return left
        if names == ("duration", "duration") and binary.op == "/":
            return "number"
        if (
            names in (("duration", "number"), ("number", "duration"))
            and binary.op in "*/"
            and names[0] != binary.op
        ):
            return "duration"
        self.report(
            binary.position,
            f"{names[0]} {binary.op} {names[1]} is not defined",
            "text(x) converts any value to text",
        )
        return ANY

    def _field(self, position: tree.Position, value_type: Type, name: str) -> Type:
        if isinstance(value_type, dict):
            if name not in value_type:
                self.report(
                    position,
                    f"no field {name}",
                    _suggest(name, list(value_type)) or f"the fields are {', '.join(value_type)}",
                )
                return ANY
            inner: Type = value_type[name]
            return inner
        if value_type not in (ANY, "record"):
            self.report(position, f"a {value_type} has no field {name}")
        return ANY

    def _call(self, call: tree.Call) -> Type:
        for argument in call.arguments:
            self.expr(argument)
        if self.in_test and call.name in self.file.hooks:
            wanted = len(POINTS[call.name].inputs) if call.name in POINTS else len(call.arguments)
        elif call.name in self.file.functions:
            wanted = len(self.file.functions[call.name].parameters)
        elif call.name in BUILTINS:
            wanted = BUILTINS[call.name][0]
        else:
            known = [*self.file.functions, *BUILTINS]
            self.report(call.position, f"undefined function {call.name}", _suggest(call.name, known))
            return ANY
        if wanted != len(call.arguments):
            self.report(call.position, f"{call.name} takes {wanted} argument(s), not {len(call.arguments)}")
        return _RETURN_TYPES.get(call.name, ANY) if call.name not in self.file.functions else ANY


_RETURN_TYPES: dict[str, Type] = {
    "length": "number", "text": "text", "lower": "text", "starts": "truth", "ends": "truth", "split": "list",
    "floor": "number", "push": "list",
}  # fmt: skip


def check(file: tree.File) -> list[tree.Diagnostic]:
    """All errors of a file, in the order of their positions."""
    return _Checker(file).run()


def _kind_name(checked: Type) -> str:
    """The name of a type as messages show it."""
    return "record" if isinstance(checked, dict) else checked


def _suggest(name: str, known: list[str]) -> str:
    """A hint if a known name is similar: it starts with the same letters or has the same letters in another order."""
    for candidate in known:
        if (
            candidate != name
            and (candidate.startswith(name[:3]) or sorted(candidate) == sorted(name))
            and abs(len(candidate) - len(name)) < 3
        ):
            return f"did you mean {candidate}?"
    return ""


def _is_literal_true(expression: tree.Expr) -> bool:
    return isinstance(expression, tree.Literal) and expression.value is True


def _statements(block: tree.Block) -> list[tree.Statement]:
    """All statements of a block and of all blocks within it."""
    statements: list[tree.Statement] = []
    for statement in block.statements:
        statements.append(statement)
        for inner in _inner_blocks(statement):
            statements += _statements(inner)
    return statements


def _inner_blocks(statement: tree.Statement) -> list[tree.Block]:
    match statement:
        case tree.If(_, branches, otherwise):
            return [block for _, block in branches] + ([otherwise] if otherwise else [])
        case tree.Match(_, _, arms):
            return [arm.block for arm in arms]
        case tree.While(_, _, block) | tree.For(_, _, _, block):
            return [block]
    return []


def _may_break(block: tree.Block) -> bool:
    """Whether a block may break the loop that it belongs to. A break in an inner loop does not count."""
    for statement in block.statements:
        if isinstance(statement, tree.LoopExit) and statement.keyword == "break":
            return True
        if not isinstance(statement, (tree.While, tree.For)) and any(
            _may_break(inner) for inner in _inner_blocks(statement)
        ):
            return True
    return False


def _may_leave(block: tree.Block) -> bool:
    """Whether a block may leave the loop that it belongs to, by break or return."""
    return _may_break(block) or any(isinstance(statement, tree.Return) for statement in _statements(block))
