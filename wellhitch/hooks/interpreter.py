"""Runs hooks by walking the tree: the plainest statement of what the language means. Not used in service; generated
programs are run by it and by `emit.py`, and values, faults and costs must be the same."""

from dataclasses import dataclass, field

from wellhitch.hooks import tree
from wellhitch.hooks import values as v
from wellhitch.hooks.cost import own_size, size, weight
from wellhitch.hooks.patterns import fits
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
    """One file, walked."""

    file: tree.File
    budget: Budget
    constants: dict[str, Value] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for constant in self.file.constants.values():
            self.budget.pay(1 + size(constant.value))
            self.constants[constant.name] = self.expr(constant.value, [{}])

    def run(self, point: str, inputs: dict[str, Value]) -> Value:
        """Run the hook of a point. Raises HookError, with the place in the file."""
        try:
            return self.call(point, self.file.hooks[point].block, dict(inputs))
        except HookError as fault:
            if fault.position == (0, 0):
                fault.position = self.budget.used_at
            raise

    def call(self, name: str, block: tree.Block, given: dict[str, Value]) -> Value:
        """Run a function or hook."""
        heavy = weight(block)
        self.budget.depth -= heavy
        if self.budget.depth < 0:
            raise HookError("depth", f"calls in each other too deep, at {name}")
        at, out = self.budget.used_at, None
        try:
            self.block(block, [given])
        except _Return as told:
            out = told.value
        self.budget.depth += heavy
        self.budget.used_at = at
        return out

    def block(self, block: tree.Block, env: list[dict[str, Value]]) -> None:
        """Statements in order, in a scope of their own."""
        inner = [*env, {}]
        for s in block.statements:
            self.budget.used_at = s.position
            self.budget.pay(1 + own_size(s))
            self.statement(s, inner)

    def statement(self, s: tree.Statement, env: list[dict[str, Value]]) -> None:
        """One statement."""
        match s:
            case tree.Let(_, name, value):
                env[-1][name] = self.expr(value, env)
            case tree.Assign(_, name, path, value):
                new = self.expr(value, env)
                scope = next(one for one in reversed(env) if name in one)
                keys: list[str | Value] = [
                    key if isinstance(key, str) else self.expr(key, env) for key in path
                ]
                scope[name] = v.put(scope[name], keys, new, self.budget)
            case tree.Branch(_, ways, otherwise):
                for condition, block in ways:
                    if v.truth(self.expr(condition, env)):
                        self.block(block, env)
                        return
                if otherwise:
                    self.block(otherwise, env)
            case tree.Match(_, value, arms):
                found = self.expr(value, env)
                for arm in arms:
                    self.budget.pay(len(arm.patterns))
                    if any(fits(one, found, self.budget) for one in arm.patterns) and (
                        arm.guard is None or v.truth(self.expr(arm.guard, env))
                    ):
                        self.block(arm.block, env)
                        return
            case tree.While(_, condition, block):
                self._while(condition, block, env)
            case tree.For(_, name, value, block):
                for one in v.each(self.expr(value, env)):
                    self.budget.used_at = s.position
                    self.budget.pay(1)
                    if self._turn(block, [*env, {name: one}]):
                        return
            case tree.Leave(_, how):
                raise _Break if how == "break" else _Continue
            case tree.Return(_, value):
                raise _Return(self.expr(value, env) if value else None)
            case tree.Expect(_, value):
                if not v.truth(self.expr(value, env)):
                    raise HookError("wrong", "what is expected is not so")
            case tree.Do(_, value):
                self.expr(value, env)

    def _while(self, condition: tree.Expr, block: tree.Block, env: list[dict[str, Value]]) -> None:
        at = self.budget.used_at
        while True:
            self.budget.used_at = at
            self.budget.pay(1 + size(condition))
            if not v.truth(self.expr(condition, env)) or self._turn(block, env):
                return

    def _turn(self, block: tree.Block, env: list[dict[str, Value]]) -> bool:
        """One turn of a loop; whether it was the last."""
        try:
            self.block(block, env)
        except _Break:
            return True
        except _Continue:
            pass
        return False

    def expr(self, e: tree.Expr, env: list[dict[str, Value]]) -> Value:
        """The value of an expression."""
        budget = self.budget
        match e:
            case tree.Literal(_, value):
                return value
            case tree.Name(_, name):
                for scope in reversed(env):
                    if name in scope:
                        return scope[name]
                return self.constants[name]
            case tree.Unary(_, op, inner):
                found = self.expr(inner, env)
                return not v.truth(found) if op == "not" else v.minus(found)
            case tree.Logic(_, op, parts):
                for part in parts:
                    if v.truth(self.expr(part, env)) is not (op == "and"):
                        return op != "and"
                return op == "and"
            case tree.Binary(_, op, left, right):
                return v.binary(op, self.expr(left, env), self.expr(right, env), budget)
            case tree.Field(_, inner, name):
                return v.get_field(self.expr(inner, env), name)
            case tree.Index(_, inner, key):
                return v.get_index(self.expr(inner, env), self.expr(key, env))
            case tree.ListOf(_, items):
                return v.make_list(tuple(self.expr(one, env) for one in items), budget)
            case tree.RecordOf(_, fields):
                return v.make_record({name: self.expr(one, env) for name, one in fields}, budget)
            case tree.Call(_, name, arguments):
                return self._call(name, [self.expr(one, env) for one in arguments])

    def _call(self, name: str, given: list[Value]) -> Value:
        if name in self.file.functions:
            function = self.file.functions[name]
            return self.call(name, function.block, dict(zip(function.names, given, strict=True)))
        if name in self.file.hooks:
            inputs = dict(zip(POINTS[name].inputs, given, strict=True))
            return self.call(name, self.file.hooks[name].block, inputs)
        return v.BUILTINS[name][1](*given, self.budget)
