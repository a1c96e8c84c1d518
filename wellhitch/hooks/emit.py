"""Compiles a checked hook file to Python source and that to bytecode. This is how hooks run in service.

Only literals of a hook file, written by `repr`, reach the generated source. Variables become `v1`, `v2`, ..., functions
`f0`, `f1`, ..., and the source has no access to builtins, only to `NAMESPACE`. Each sub-expression is assigned on its
own line, so the source nests only as deep as the statements do and stays within Python's limits on nesting. The
position of an error is looked up by the line of the source that raised it: a run without errors spends no time on
positions.

Frequent operations (on numbers, short texts and fields of records) are emitted inline; all others call `values.py`.
Costs, values, errors and positions are the same as those of `interpreter.py`; tests compare both on generated programs.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any

from wellhitch.hooks import tree
from wellhitch.hooks import values as v
from wellhitch.hooks.cost import children, node_count, node_depth, statement_cost
from wellhitch.hooks.interpreter import Interpreter
from wellhitch.hooks.points import POINTS
from wellhitch.hooks.values import Budget, HookError, ListValue, Record, Value

FREE_TEXT_CHARS = 64  # comparing with a shorter text costs no step (`values.equal`)
NAMESPACE: dict[str, Any] = {
    "__builtins__": {},
    "ListValue": ListValue,
    "Record": Record,
    "int": int,
    "float": float,
    "str": str,
    "equal": v.equal,
    "apply_operator": v.apply_operator,
    "contains": v.contains,
    "check_range": v.check_range,
    "as_condition": v.as_condition,
    "negate": v.negate,
    "get_field": v.get_field,
    "get_index": v.get_index,
    "replace_at": v.replace_at,
    "iterate": v.iterate,
    "in_range": v.in_range,
    "make_list": v.make_list,
    "make_record": v.make_record,
    "to_text": v.to_text,
    "HookError": HookError,
    **{f"b_{name}": builtin for name, (_, builtin) in v.BUILTINS.items()},
}
"""All names that the generated source can use besides those that it defines."""

RETURN_KINDS = {
    "length": "number",
    "text": "text",
    "lower": "text",
    "starts": "truth",
    "ends": "truth",
    "floor": "number",
}
"""Kinds of the values that built-in functions always return."""


@dataclass(frozen=True, slots=True)
class _Operand:
    """The result of an expression in the generated source: a variable or literal, and its kind if that is certain. For
    constants, `is_constant` is set and `value` is the value."""

    code: str
    kind: str = "any"
    is_constant: bool = False
    value: Value = None


@dataclass(slots=True)
class Program:
    """A compiled hook file."""

    file: tree.File
    source: str = ""
    positions: dict[int, tree.Position] = field(default_factory=dict)
    hooks: dict[str, Callable[..., Value]] = field(default_factory=dict)
    tests: list[Callable[..., Value]] = field(default_factory=list)

    def run(self, point: str, inputs: dict[str, Value], budget: Budget) -> Value:
        """Run the hook of a point. Raises HookError with the position in the file."""
        try:
            return self.hooks[point](*[inputs[name] for name in POINTS[point].inputs], budget)
        except HookError as error:
            self._set_position(error)
            raise

    def run_test(self, index: int, budget: Budget) -> Value:
        """Run a test. Raises HookError if it fails."""
        try:
            return self.tests[index](budget)
        except HookError as error:
            self._set_position(error)
            raise

    def _set_position(self, error: HookError) -> None:
        frame: TracebackType | None = error.__traceback__
        while frame is not None:
            if frame.tb_frame.f_code.co_filename == SOURCE_NAME and frame.tb_lineno in self.positions:
                error.position = self.positions[frame.tb_lineno]
            frame = frame.tb_next


SOURCE_NAME = "<hook>"  # the file name of all generated source; identifies its lines in a traceback


class _Emitter:
    """Generates the Python source of one file."""

    def __init__(self, file: tree.File, constants: dict[str, Value]) -> None:
        self.file, self.constants = file, constants
        self.lines: list[str] = []
        self.positions: dict[int, tree.Position] = {}
        self.namespace: dict[str, Any] = dict(NAMESPACE)
        self.functions = {name: f"f{index}" for index, name in enumerate(file.functions)}
        self.hooks = {point: f"h_{point}" for point in file.hooks}
        self.indent, self.position, self.variable_count, self.is_leaf = 0, (0, 0), 0, True
        self.scopes: list[dict[str, str]] = []
        for function in file.functions.values():
            self.function(self.functions[function.name], function.name, function.parameters, function.block)
        for hook in file.hooks.values():
            self.function(self.hooks[hook.point], hook.point, tuple(POINTS[hook.point].inputs), hook.block)
        for index, test in enumerate(file.tests):
            self.function(f"t_{index}", test.title, (), test.block)

    # -- lines and names --

    def line(self, text: str) -> None:
        """Append a line at the current indent, with the position in the hook file that errors in it get."""
        self.lines.append("    " * self.indent + text)
        if self.position != (0, 0):
            self.positions[len(self.lines)] = self.position

    def new_variable(self) -> str:
        """A Python variable that is new in the current function."""
        self.variable_count += 1
        return f"v{self.variable_count}"

    def add_constant(self, value: object) -> str:
        """Add a value that has no Python literal to the namespace. Returns its name."""
        name = f"k{len(self.namespace)}"
        self.namespace[name] = value
        return name

    def find_variable(self, name: str) -> str | None:
        """The Python variable of a variable of the hook file; None for a constant."""
        return next((scope[name] for scope in reversed(self.scopes) if name in scope), None)

    def literal(self, value: Value) -> _Operand:
        """The operand of a constant value."""
        kind = v.kind(value)
        has_literal = value is None or isinstance(value, (bool, str)) or kind == "number"
        # In brackets, since `5.fields` is a syntax error in Python.
        return _Operand(f"({value!r})" if has_literal else self.add_constant(value), kind, True, value)

    def charge(self, cost: int) -> None:
        """Emit the lines that charge steps."""
        self.line(f"b.steps = s = b.steps - {cost}")
        self.line("if s < 0: b.spend_steps(0)")

    # -- functions and statements --

    def function(self, name: str, title: str, parameters: tuple[str, ...], block: tree.Block) -> None:
        """Emit a function, hook or test."""
        self.position, self.indent, self.variable_count = (0, 0), 0, 0
        scope = {parameter: self.new_variable() for parameter in parameters}
        self.scopes = [scope]
        # A function that calls no other only checks the depth budget: it would return what it took anyway.
        self.is_leaf = not _contains_call(block, self.functions.keys() | self.hooks.keys())
        self.depth_cost = node_depth(block)
        self.line(f"def {name}({', '.join([*scope.values(), 'b'])}):")
        self.indent = 1
        self.line(f"if b.depth < {self.depth_cost}:")
        self.line(f"    raise HookError('depth', {'calls nested too deep, at ' + title!r})")
        if not self.is_leaf:
            self.line(f"b.depth -= {self.depth_cost}")
        self.block(block)
        self.position = (0, 0)
        self.return_value("None")

    def return_value(self, code: str) -> None:
        """Emit a return, which gives back what the function took of the depth budget."""
        if not self.is_leaf:
            self.line(f"b.depth += {self.depth_cost}")
        self.line(f"return {code}")

    def block(self, block: tree.Block) -> None:
        """Emit the statements of a block."""
        self.scopes.append({})
        for statement in block.statements:
            self.position = statement.position
            self.charge(1 + statement_cost(statement))
            self.statement(statement)
            self.position = statement.position
        if not block.statements:
            self.line("pass")
        self.scopes.pop()

    def nested_block(self, opening: str, block: tree.Block) -> None:
        """Emit a compound statement: its opening line and its block."""
        self.line(opening)
        position, self.indent = self.position, self.indent + 1
        self.block(block)
        self.indent -= 1
        self.position = position

    def statement(self, statement: tree.Statement) -> None:
        """Emit one statement."""
        match statement:
            case tree.Let(_, name, value):
                operand, variable = self.expr(value), self.new_variable()
                self.scopes[-1][name] = variable
                self.line(f"{variable} = {operand.code}")
            case tree.Assign(_, name, path, value):
                operand, keys = self.expr(value), []
                for key in path:
                    keys.append(repr(key) if isinstance(key, str) else self.expr(key).code)
                variable = self.find_variable(name) or ""  # always found: the file was checked
                new = (
                    f"replace_at({variable}, [{', '.join(keys)}], {operand.code}, b)"
                    if path
                    else operand.code
                )
                self.line(f"{variable} = {new}")
            case tree.If():
                self.if_statement(statement)
            case tree.Match():
                self.match(statement)
            case tree.While(_, condition, block):
                self.line("while True:")
                self.indent += 1
                self.charge(1 + node_count(condition))
                self.line(f"if not {self.condition(condition)}: break")
                self.indent -= 1
                self.loop_body(block)
            case tree.For(_, name, value, block):
                operand, variable = self.expr(value), self.new_variable()
                self.line(f"for {variable} in iterate({operand.code}):")
                self.indent += 1
                self.charge(1)
                self.indent -= 1
                self.scopes.append({name: variable})
                self.loop_body(block)
                self.scopes.pop()
            case tree.LoopExit(_, keyword):
                self.line(keyword)
            case tree.Return(_, value):
                self.return_value(self.expr(value).code if value else "None")
            case tree.Expect(_, value):
                self.line(f"if not {self.condition(value)}: raise HookError('wrong', 'expectation failed')")
            case tree.ExpressionStatement(_, value):
                self.expr(value)

    def loop_body(self, block: tree.Block) -> None:
        """Emit the block of a compound statement whose opening lines are already emitted."""
        position, self.indent = self.position, self.indent + 1
        self.block(block)
        self.indent -= 1
        self.position = position

    def if_statement(self, statement: tree.If) -> None:
        """Emit the branches one after another rather than nested: Python could not compile hundreds of nested ones."""
        if len(statement.branches) == 1:
            self.nested_block(f"if {self.condition(statement.branches[0][0])}:", statement.branches[0][1])
            if statement.otherwise:
                self.nested_block("else:", statement.otherwise)
            return
        pending = self.new_variable()
        self.line(f"{pending} = True")
        for condition, block in statement.branches:
            self.line(f"if {pending}:")
            self.indent += 1
            self.line(f"if {self.condition(condition)}:")
            self.line(f"    {pending} = False")
            self.loop_body(block)
            self.indent -= 1
        if statement.otherwise:
            self.nested_block(f"if {pending}:", statement.otherwise)

    def match(self, statement: tree.Match) -> None:
        """Emit the arms one after another; a flag skips those after the first that matches."""
        operand, pending = self.expr(statement.value), self.new_variable()
        self.line(f"{pending} = True")
        for arm in statement.arms:
            self.line(f"if {pending}:")
            self.indent += 1
            self.charge(len(arm.patterns))
            matched = self.new_variable()
            for index, pattern in enumerate(arm.patterns):
                self.line(
                    f"{f'if not {matched}: ' if index else ''}{matched} = {self.pattern_test(pattern, operand.code)}"
                )
            if arm.guard:
                self.line(f"if {matched}:")
                self.indent += 1
                self.line(f"{matched} = {self.condition(arm.guard)}")
                self.indent -= 1
            self.line(f"if {matched}:")
            self.line(f"    {pending} = False")
            self.loop_body(arm.block)
            self.indent -= 1

    def pattern_test(self, pattern: tree.Pattern, code: str) -> str:
        """The Python expression that tests a value against a pattern."""
        match pattern:
            case tree.LiteralPattern(_, wanted):
                return self.equality(_Operand(code), self.literal(wanted))
            case tree.RangePattern(_, low, high):
                return f"in_range({code}, {self.literal(low).code}, {self.literal(high).code})"
            case tree.PrefixPattern(_, prefix):
                return f"{code}.__class__ is str and {code}.startswith({prefix!r})"
        return "True"

    # -- expressions: each returns an operand after the lines that compute it are emitted --

    def condition(self, expression: tree.Expr) -> str:
        """Emit an expression with a check that it is true or false. Returns its code."""
        operand = self.expr(expression)
        if operand.is_constant and operand.kind != "truth":
            self.line(f"as_condition({operand.code})")
        elif operand.kind != "truth":
            self.line(
                f"if {operand.code} is not True and {operand.code} is not False: as_condition({operand.code})"
            )
        return operand.code

    def assign(self, text: str, kind: str = "any") -> _Operand:
        """Emit the assignment of a Python expression to a new variable."""
        variable = self.new_variable()
        self.line(f"{variable} = {text}")
        return _Operand(variable, kind)

    def expr(self, expression: tree.Expr) -> _Operand:
        """Emit an expression."""
        match expression:
            case tree.Literal(_, value):
                return self.literal(value)
            case tree.Name(_, name):
                variable = self.find_variable(name)
                return _Operand(variable) if variable else self.literal(self.constants[name])
            case tree.Unary(_, op, value):
                if op == "not":
                    return self.assign(f"not {self.condition(value)}", "truth")
                return self.assign(f"negate({self.expr(value).code})")
            case tree.BooleanOp(_, op, parts):
                variable = self.new_variable()
                self.line(f"{variable} = {self.condition(parts[0])}")
                for part in parts[1:]:
                    self.line(f"if {variable}:" if op == "and" else f"if not {variable}:")
                    self.indent += 1
                    self.line(f"{variable} = {self.condition(part)}")
                    self.indent -= 1
                return _Operand(variable, "truth")
            case tree.Binary(_, op, left, right):
                return self.binary(op, self.expr(left), self.expr(right))
            case tree.Field(_, value, name):
                return self.field(self.expr(value).code, name)
            case tree.Index(_, value, key):
                container, index = self.expr(value), self.expr(key)
                return self.assign(f"get_index({container.code}, {index.code})")
            case tree.ListLiteral(_, items):
                return self.list_of([self.expr(item) for item in items])
            case tree.RecordLiteral(_, fields):
                pairs = [(name, self.expr(item).code) for name, item in fields]
                text = ", ".join(f"{name!r}: {code}" for name, code in pairs)
                return self.assign(f"make_record({{{text}}}, b)", "record")
            case tree.Call(_, name, arguments):
                return self.call(name, [self.expr(argument) for argument in arguments])

    def field(self, code: str, name: str) -> _Operand:
        """Emit access to a field."""
        variable = self.new_variable()
        self.line(
            f"if {code}.__class__ is Record and {name!r} in {code}.fields: {variable} = {code}.fields[{name!r}]"
        )
        self.line(f"else: {variable} = get_field({code}, {name!r})")
        return _Operand(variable)

    def list_of(self, items: list[_Operand]) -> _Operand:
        """Emit a list literal."""
        if items and all(item.is_constant and v.nesting_depth(item.value) == 0 for item in items):
            # Values never change, so all runs share one list; each run still spends its memory.
            self.line(f"b.allocate({len(items) + 1})")
            return self.literal(ListValue(tuple(item.value for item in items), 1))
        return self.assign(f"make_list(({''.join(item.code + ', ' for item in items)}), b)", "list")

    def call(self, name: str, arguments: list[_Operand]) -> _Operand:
        """Emit a call."""
        codes = ", ".join([*(argument.code for argument in arguments), "b"])
        defined = self.functions.get(name) or self.hooks.get(name)
        if defined:
            return self.assign(f"{defined}({codes})")
        if name == "text":
            only = arguments[0].code
            return self.assign(f"{only} if {only}.__class__ is str else to_text({only}, b)", "text")
        return self.assign(f"b_{name}({codes})", RETURN_KINDS.get(name, "any"))

    def equality(self, left: _Operand, right: _Operand) -> str:
        """The Python expression for equality of two operands, which costs no step if one is a short constant."""
        if left.is_constant and not right.is_constant:
            left, right = right, left
        if (
            left.is_constant
            and right.is_constant
            and _compares_free(left.value)
            and _compares_free(right.value)
        ):
            return f"({v.equal(left.value, right.value, Budget())})"
        if right.is_constant:
            if right.kind in ("truth", "none"):
                return f"{left.code} is {right.code}"
            if right.kind == "text" and len(str(right.value)) < FREE_TEXT_CHARS:
                return f"{left.code} == {right.code}"
            if right.kind == "number":
                return f"{left.code} == {right.code} and {_number_test(left) or 'True'}"
        return f"equal({left.code}, {right.code}, b)"

    def binary(self, op: str, left: _Operand, right: _Operand) -> _Operand:
        """Emit a binary operator: inline for numbers, else by `values.apply_operator`."""
        if op == "==":
            return self.assign(self.equality(left, right), "truth")
        if op == "!=":
            return self.assign(f"not ({self.equality(left, right)})", "truth")
        if op == "in":
            return self.membership(left, right)
        general = f"apply_operator({op!r}, {left.code}, {right.code}, b)"
        compares, kind = op in ("<", "<=", ">", ">="), "any"
        if op in ("/", "%") and not (right.is_constant and right.kind == "number" and right.value):
            return self.assign(general)
        if any(operand.kind not in ("any", "number") for operand in (left, right)):
            return self.assign(general, "truth" if compares else "any")
        variable, checks = (
            self.new_variable(),
            " and ".join(filter(None, (_number_test(left), _number_test(right)))),
        )
        if compares:
            kind = "truth"
        elif not checks:
            kind = "number"
        inner = 1 if checks else 0
        if checks:
            self.line(f"if {checks}:")
        self.indent += inner
        self.line(f"{variable} = {left.code} {op} {right.code}")
        if not compares:
            self.line(f"if not -{v.MAX_NUMBER} <= {variable} <= {v.MAX_NUMBER}: check_range({variable})")
        self.indent -= inner
        if checks:
            self.line(f"else: {variable} = {general}")
        return _Operand(variable, kind)

    def membership(self, left: _Operand, right: _Operand) -> _Operand:
        """Emit `in`. For a constant list of short texts it is one lookup in a frozenset."""
        items = right.value.items if right.is_constant and isinstance(right.value, ListValue) else ()
        if not items or not all(isinstance(item, str) and len(item) < FREE_TEXT_CHARS for item in items):
            return self.assign(f"contains({left.code}, {right.code}, b)", "truth")
        variable = self.new_variable()
        self.line(f"if {left.code}.__class__ is not ListValue and {left.code}.__class__ is not Record:")
        self.indent += 1
        self.charge(len(items))
        self.line(f"{variable} = {left.code} in {self.add_constant(frozenset(items))}")
        self.indent -= 1
        self.line(f"else: {variable} = contains({left.code}, {right.code}, b)")
        return _Operand(variable, "truth")


def _compares_free(value: Value) -> bool:
    """Whether a comparison with this value costs no step, whatever the other operand is."""
    return v.nesting_depth(value) == 0 and not (isinstance(value, str) and len(value) >= FREE_TEXT_CHARS)


def _number_test(operand: _Operand) -> str:
    """The Python expression that tests for a number; empty if the operand always is one."""
    code = operand.code
    return "" if operand.kind == "number" else f"({code}.__class__ is int or {code}.__class__ is float)"


def _contains_call(node: tree.Node, names: set[str]) -> bool:
    """Whether a call of one of these functions occurs under a node."""
    return (isinstance(node, tree.Call) and node.name in names) or any(
        _contains_call(child, names) for child in children(node)
    )


def compile_file(file: tree.File, budget: Budget) -> Program:
    """Compile a file that was checked before. Its constants are evaluated within `budget`. Raises HookError if that
    fails."""
    emitter = _Emitter(file, Interpreter(file, budget).constants)
    source = "\n".join(emitter.lines) + "\n"
    namespace = emitter.namespace
    exec(compile(source, SOURCE_NAME, "exec", dont_inherit=True), namespace)  # noqa: S102 - generated source, see above
    return Program(
        file,
        source,
        emitter.positions,
        {point: namespace[name] for point, name in emitter.hooks.items()},
        [namespace[f"t_{index}"] for index in range(len(file.tests))],
    )
