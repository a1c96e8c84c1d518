"""A tree-walking interpreter for hooks: the reference semantics of the language. It does not run in service; tests
run generated programs by it and by `emit.py`, and values, errors and costs must be the same."""

from dataclasses import dataclass, field

from wellhitch.hooks import tree
from wellhitch.hooks import values as v
from wellhitch.hooks.cost import node_count, node_depth, statement_cost
from wellhitch.hooks.patterns import matches
from wellhitch.hooks.points import POINTS
from wellhitch.hooks.values import Budget, HookError, Value


class _Return(Exception):
    def __init__(self, value: Value) -> None:
        super().__init__()
        self.value = value


class _Break(Exception):
    pass


class _Continue(Exception):
    pass


@dataclass
class Interpreter:
    """Runs one hook file."""

    file: tree.File
    budget: Budget
    constants: dict[str, Value] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for constant in self.file.constants.values():
            self.budget.spend_steps(1 + node_count(constant.value))
            self.constants[constant.name] = self.expr(constant.value, [{}])

    def run(self, point: str, inputs: dict[str, Value]) -> Value:
        """Run the hook of a point. Raises HookError with the position in the file."""
        try:
            return self.call(point, self.file.hooks[point].block, dict(inputs))
        except HookError as error:
            if error.position == (0, 0):
                error.position = self.budget.position
            raise

    def call(self, name: str, block: tree.Block, arguments: dict[str, Value]) -> Value:
        """Run a function or hook."""
        depth = node_depth(block)
        self.budget.depth -= depth
        if self.budget.depth < 0:
            raise HookError("depth", f"calls nested too deep, at {name}")
        position, value = self.budget.position, None
        try:
            self.block(block, [arguments])
        except _Return as returned:
            value = returned.value
        self.budget.depth += depth
        self.budget.position = position
        return value

    def block(self, block: tree.Block, scopes: list[dict[str, Value]]) -> None:
        """Run the statements of a block in a new scope."""
        inner = [*scopes, {}]
        for statement in block.statements:
            self.budget.position = statement.position
            self.budget.spend_steps(1 + statement_cost(statement))
            self.statement(statement, inner)

    def statement(self, statement: tree.Statement, scopes: list[dict[str, Value]]) -> None:
        """Run one statement."""
        match statement:
            case tree.Let(_, name, value):
                scopes[-1][name] = self.expr(value, scopes)
            case tree.Assign(_, name, path, value):
                new = self.expr(value, scopes)
                scope = next(scope for scope in reversed(scopes) if name in scope)
                keys: list[str | Value] = [
                    key if isinstance(key, str) else self.expr(key, scopes) for key in path
                ]
                scope[name] = v.replace_at(scope[name], keys, new, self.budget)
            case tree.If(_, branches, otherwise):
                for condition, block in branches:
                    if v.as_condition(self.expr(condition, scopes)):
                        self.block(block, scopes)
                        return
                if otherwise:
                    self.block(otherwise, scopes)
            case tree.Match(_, value, arms):
                matched = self.expr(value, scopes)
                for arm in arms:
                    self.budget.spend_steps(len(arm.patterns))
                    if any(matches(pattern, matched, self.budget) for pattern in arm.patterns) and (
                        arm.guard is None or v.as_condition(self.expr(arm.guard, scopes))
                    ):
                        self.block(arm.block, scopes)
                        return
            case tree.While(_, condition, block):
                self._while(condition, block, scopes)
            case tree.For(_, name, value, block):
                for item in v.iterate(self.expr(value, scopes)):
                    self.budget.position = statement.position
                    self.budget.spend_steps(1)
                    if self._iteration(block, [*scopes, {name: item}]):
                        return
            case tree.LoopExit(_, keyword):
                raise _Break if keyword == "break" else _Continue
            case tree.Return(_, value):
                raise _Return(self.expr(value, scopes) if value else None)
            case tree.Expect(_, value):
                if not v.as_condition(self.expr(value, scopes)):
                    raise HookError("wrong", "expectation failed")
            case tree.ExpressionStatement(_, value):
                self.expr(value, scopes)

    def _while(self, condition: tree.Expr, block: tree.Block, scopes: list[dict[str, Value]]) -> None:
        position = self.budget.position
        while True:
            self.budget.position = position
            self.budget.spend_steps(1 + node_count(condition))
            if not v.as_condition(self.expr(condition, scopes)) or self._iteration(block, scopes):
                return

    def _iteration(self, block: tree.Block, scopes: list[dict[str, Value]]) -> bool:
        """Run the body of a loop once. Returns whether it left the loop by `break`."""
        try:
            self.block(block, scopes)
        except _Break:
            return True
        except _Continue:
            pass
        return False

    def expr(self, expression: tree.Expr, scopes: list[dict[str, Value]]) -> Value:
        """Evaluate an expression."""
        budget = self.budget
        match expression:
            case tree.Literal(_, value):
                return value
            case tree.Name(_, name):
                for scope in reversed(scopes):
                    if name in scope:
                        return scope[name]
                return self.constants[name]
            case tree.Unary(_, op, inner):
                operand = self.expr(inner, scopes)
                return not v.as_condition(operand) if op == "not" else v.negate(operand)
            case tree.BooleanOp(_, op, parts):
                for part in parts:
                    if v.as_condition(self.expr(part, scopes)) is not (op == "and"):
                        return op != "and"
                return op == "and"
            case tree.Binary(_, op, left, right):
                return v.apply_operator(op, self.expr(left, scopes), self.expr(right, scopes), budget)
            case tree.Field(_, inner, name):
                return v.get_field(self.expr(inner, scopes), name)
            case tree.Index(_, inner, key):
                return v.get_index(self.expr(inner, scopes), self.expr(key, scopes))
            case tree.ListLiteral(_, items):
                return v.make_list(tuple(self.expr(item, scopes) for item in items), budget)
            case tree.RecordLiteral(_, fields):
                return v.make_record({name: self.expr(item, scopes) for name, item in fields}, budget)
            case tree.Call(_, name, arguments):
                return self._call(name, [self.expr(argument, scopes) for argument in arguments])

    def _call(self, name: str, arguments: list[Value]) -> Value:
        if name in self.file.functions:
            function = self.file.functions[name]
            return self.call(name, function.block, dict(zip(function.parameters, arguments, strict=True)))
        if name in self.file.hooks:
            inputs = dict(zip(POINTS[name].inputs, arguments, strict=True))
            return self.call(name, self.file.hooks[name].block, inputs)
        return v.BUILTINS[name][1](*arguments, self.budget)
