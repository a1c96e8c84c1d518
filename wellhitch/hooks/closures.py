"""Runs hooks: the tree is turned into closures once, names into places of a list. What is run in service.

Costs are those of `walker.py`, which says the same in the plainest way and is what this is checked against.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from wellhitch.hooks import tree
from wellhitch.hooks import values as v
from wellhitch.hooks.cost import own_size, size, weight
from wellhitch.hooks.patterns import fits
from wellhitch.hooks.points import POINTS
from wellhitch.hooks.values import Budget, HookFault, Value

NEXT, BREAK, CONTINUE, RETURN = 0, 1, 2, 3


class Frame:
    """One call: its places, the budget, and the value it gives back."""

    __slots__ = ("budget", "out", "places")

    def __init__(self, places: list[Value], budget: Budget) -> None:
        self.places, self.budget = places, budget
        self.out: Value = None


Eval = Callable[[Frame], Value]
Run = Callable[[Frame], int]


@dataclass(slots=True)
class Code:
    """A function or hook, ready to run."""

    name: str
    takes: int
    places: int
    weight: int
    body: Run | None = None

    def call(self, arguments: list[Value], budget: Budget) -> Value:
        """Run it. Raises HookFault."""
        budget.depth -= self.weight
        if budget.depth < 0:
            raise HookFault("depth", f"calls in each other too deep, at {self.name}")
        at = budget.used_at
        frame = Frame(arguments + [None] * (self.places - self.takes), budget)
        assert self.body is not None
        self.body(frame)
        budget.depth += self.weight
        budget.used_at = at
        return frame.out


@dataclass(slots=True)
class Program:
    """A whole file, ready to run."""

    file: tree.File
    functions: dict[str, Code] = field(default_factory=dict)
    hooks: dict[str, Code] = field(default_factory=dict)
    tests: list[Code] = field(default_factory=list)

    def run(self, point: str, inputs: dict[str, Value], budget: Budget) -> Value:
        """Run the hook of a point. Raises HookFault, with the place in the file."""
        names = POINTS[point].inputs
        return self._guarded(self.hooks[point], [inputs[name] for name in names], budget)

    def test(self, at: int, budget: Budget) -> Value:
        """Run a test. Raises HookFault where what it expects is not so."""
        return self._guarded(self.tests[at], [], budget)

    def _guarded(self, code: Code, arguments: list[Value], budget: Budget) -> Value:
        try:
            return code.call(arguments, budget)
        except HookFault as fault:
            if fault.at == (0, 0):
                fault.at = budget.used_at
            raise


class _Names:
    """Names to places while a function is compiled."""

    def __init__(self, given: tuple[str, ...]) -> None:
        self.blocks: list[dict[str, int]] = [{name: at for at, name in enumerate(given)}]
        self.most = len(given)

    def add(self, name: str) -> int:
        place = self.most
        self.most += 1
        self.blocks[-1][name] = place
        return place

    def find(self, name: str) -> int | None:
        for block in reversed(self.blocks):
            if name in block:
                return block[name]
        return None


class _Compiler:
    def __init__(self, file: tree.File, budget: Budget) -> None:
        self.file = file
        self.out = Program(file)
        self.constants: dict[str, Value] = {}
        self.names = _Names(())
        for function in file.functions.values():
            self.out.functions[function.name] = Code(
                function.name, len(function.names), 0, weight(function.block)
            )
        for hook in file.hooks.values():
            takes = len(POINTS[hook.point].inputs)
            self.out.hooks[hook.point] = Code(hook.point, takes, 0, weight(hook.block))
        for constant in file.constants.values():
            budget.pay(1 + size(constant.value))
            self.constants[constant.name] = self.expr(constant.value)(Frame([], budget))
        for function in file.functions.values():
            self._body(self.out.functions[function.name], function.names, function.block)
        for hook in file.hooks.values():
            self._body(self.out.hooks[hook.point], tuple(POINTS[hook.point].inputs), hook.block)
        for test in file.tests:
            code = Code(test.what, 0, 0, weight(test.block))
            self._body(code, (), test.block)
            self.out.tests.append(code)

    def _body(self, code: Code, given: tuple[str, ...], block: tree.Block) -> None:
        self.names = _Names(given)
        code.body = self.block(block)
        code.places = self.names.most

    # -- statements --

    def block(self, block: tree.Block) -> Run:
        self.names.blocks.append({})
        runs = [self.statement(s) for s in block.statements]
        self.names.blocks.pop()
        if len(runs) == 1:
            return runs[0]

        def run(f: Frame) -> int:
            for one in runs:
                how = one(f)
                if how:
                    return how
            return NEXT

        return run

    def statement(self, s: tree.Statement) -> Run:
        inner = self._statement(s)
        cost, at = 1 + own_size(s), s.at

        def run(f: Frame) -> int:
            budget = f.budget
            budget.used_at = at
            budget.steps -= cost
            if budget.steps < 0:
                budget.pay(0)
            return inner(f)

        return run

    def _statement(self, s: tree.Statement) -> Run:
        match s:
            case tree.Let(_, name, value):
                made = self.expr(value)
                return _set(self.names.add(name), made)
            case tree.Assign(_, name, path, value):
                return self._assign(name, path, value)
            case tree.Branch():
                return self._branch(s)
            case tree.Match():
                return self._match(s)
            case tree.While():
                return self._while(s)
            case tree.For():
                return self._for(s)
            case tree.Leave(_, how):
                code = BREAK if how == "break" else CONTINUE
                return lambda f: code
            case tree.Return(_, value):
                return _give(self.expr(value) if value else None)
            case tree.Expect(_, value):
                return _expect(self.expr(value))
        return _do(self.expr(s.value))

    def _assign(self, name: str, path: tuple[str | tree.Expr, ...], value: tree.Expr) -> Run:
        made, place = self.expr(value), self.names.find(name)
        assert place is not None  # checked before
        if not path:
            return _set(place, made)
        keys = [_constantly(key) if isinstance(key, str) else self.expr(key) for key in path]

        def run(f: Frame) -> int:
            new = made(f)
            f.places[place] = v.put(f.places[place], [key(f) for key in keys], new, f.budget)
            return NEXT

        return run

    def _branch(self, s: tree.Branch) -> Run:
        ways = [(self.expr(condition), self.block(block)) for condition, block in s.ways]
        otherwise = self.block(s.otherwise) if s.otherwise else None

        def run(f: Frame) -> int:
            for condition, block in ways:
                if v.truth(condition(f)):
                    return block(f)
            return otherwise(f) if otherwise else NEXT

        return run

    def _match(self, s: tree.Match) -> Run:
        value = self.expr(s.value)
        arms = [
            (arm.patterns, self.expr(arm.guard) if arm.guard else None, self.block(arm.block))
            for arm in s.arms
        ]

        def run(f: Frame) -> int:
            found = value(f)
            for patterns, guard, block in arms:
                f.budget.pay(len(patterns))
                if any(fits(one, found, f.budget) for one in patterns) and (
                    guard is None or v.truth(guard(f))
                ):
                    return block(f)
            return NEXT

        return run

    def _while(self, s: tree.While) -> Run:
        condition, block, cost = self.expr(s.condition), self.block(s.block), 1 + size(s.condition)

        def run(f: Frame) -> int:
            while True:
                f.budget.pay(cost)
                if not v.truth(condition(f)):
                    return NEXT
                how = block(f)
                if how == BREAK:
                    return NEXT
                if how == RETURN:
                    return how

        return run

    def _for(self, s: tree.For) -> Run:
        value = self.expr(s.value)
        self.names.blocks.append({})
        place = self.names.add(s.name)
        block = self.block(s.block)
        self.names.blocks.pop()

        def run(f: Frame) -> int:
            for one in v.each(value(f)):
                f.budget.pay(1)
                f.places[place] = one
                how = block(f)
                if how == BREAK:
                    return NEXT
                if how == RETURN:
                    return how
            return NEXT

        return run

    # -- expressions --

    def expr(self, e: tree.Expr) -> Eval:
        match e:
            case tree.Literal(_, value):
                return _constantly(value)
            case tree.Name(_, name):
                place = self.names.find(name)
                if place is None:
                    return _constantly(self.constants[name])
                return _place(place)
            case tree.Unary(_, op, value):
                inner = self.expr(value)
                return (lambda f: not v.truth(inner(f))) if op == "not" else (lambda f: v.minus(inner(f)))
            case tree.Logic(_, op, parts):
                return _logic(op == "and", [self.expr(part) for part in parts])
            case tree.Binary(_, op, left, right):
                return _binary(op, self.expr(left), self.expr(right))
            case tree.Field(_, value, name):
                inner = self.expr(value)
                return lambda f: v.get_field(inner(f), name)
            case tree.Index(_, value, key):
                inner, made = self.expr(value), self.expr(key)
                return lambda f: v.get_index(inner(f), made(f))
            case tree.Call():
                return self._call(e)
            case tree.ListOf(_, items):
                evals = [self.expr(item) for item in items]
                return lambda f: v.make_list(tuple([one(f) for one in evals]), f.budget)
            case tree.RecordOf(_, fields):
                pairs = [(name, self.expr(value)) for name, value in fields]
                return lambda f: v.make_record({name: one(f) for name, one in pairs}, f.budget)

    def _call(self, e: tree.Call) -> Eval:
        evals = [self.expr(one) for one in e.arguments]
        code = self.out.functions.get(e.name) or self.out.hooks.get(e.name)
        if code is not None:
            taken = code
            return lambda f: taken.call([one(f) for one in evals], f.budget)
        builtin = v.BUILTINS[e.name][1]
        if len(evals) == 1:
            only = evals[0]
            return lambda f: builtin(only(f), f.budget)
        return lambda f: builtin(*[one(f) for one in evals], f.budget)


def _set(place: int, made: Eval) -> Run:
    def run(f: Frame) -> int:
        f.places[place] = made(f)
        return NEXT

    return run


def _give(made: Eval | None) -> Run:
    def run(f: Frame) -> int:
        f.out = made(f) if made else None
        return RETURN

    return run


def _expect(made: Eval) -> Run:
    def run(f: Frame) -> int:
        if not v.truth(made(f)):
            raise HookFault("wrong", "what is expected is not so")
        return NEXT

    return run


def _do(made: Eval) -> Run:
    def run(f: Frame) -> int:
        made(f)
        return NEXT

    return run


def _constantly(value: Value) -> Eval:
    return lambda f: value


def _place(place: int) -> Eval:
    return lambda f: f.places[place]


def _logic(all_of: bool, evals: list[Eval]) -> Eval:
    def look(f: Frame) -> Value:
        for one in evals:
            if v.truth(one(f)) is not all_of:
                return not all_of
        return all_of

    return look


def _binary(op: str, left: Eval, right: Eval) -> Eval:
    if op == "==":
        return lambda f: v.same(left(f), right(f), f.budget)
    if op == "!=":
        return lambda f: not v.same(left(f), right(f), f.budget)
    return lambda f: v.binary(op, left(f), right(f), f.budget)


def compiled(file: tree.File, budget: Budget) -> Program:
    """The file ready to run; its constants are reckoned within `budget`. The file was checked before. Raises
    HookFault."""
    return _Compiler(file, budget).out
