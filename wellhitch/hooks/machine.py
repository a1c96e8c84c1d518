"""Runs hooks on a bytecode machine: instructions in a list, values on a stack. Measured beside the other ways; not in
service."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wellhitch.hooks import tree
from wellhitch.hooks import values as v
from wellhitch.hooks.cost import own_size, size, weight
from wellhitch.hooks.patterns import fits
from wellhitch.hooks.points import POINTS
from wellhitch.hooks.values import Budget, HookFault, Value
from wellhitch.hooks.walker import Walker

(CONST, LOAD, STORE, STEP, PAY, JUMP, JUMP_IF_NOT, TRUTH, NOT, MINUS, BINARY, FIELD, INDEX, LIST, RECORD, CALL, BUILTIN,
 PUT, POP, FITS, EACH, NEXT, RETURN, EXPECT, AND, OR) = range(26)  # fmt: skip
Op = list[Any]


@dataclass(slots=True)
class Code:
    """A function as instructions."""

    name: str
    takes: int
    weight: int
    ops: list[Op] = field(default_factory=list)
    places: int = 0


class Machine:
    """One file, run by instructions."""

    def __init__(self, file: tree.File, budget: Budget) -> None:
        self.constants = Walker(file, budget).constants
        self.codes: dict[str, Code] = {}
        for function in file.functions.values():
            self.codes[function.name] = Code(function.name, len(function.names), weight(function.block))
        for hook in file.hooks.values():
            self.codes[hook.point] = Code(hook.point, len(POINTS[hook.point].inputs), weight(hook.block))
        for function in file.functions.values():
            _Assembler(self, self.codes[function.name], function.names, function.block)
        for hook in file.hooks.values():
            _Assembler(self, self.codes[hook.point], tuple(POINTS[hook.point].inputs), hook.block)

    def run(self, point: str, inputs: dict[str, Value], budget: Budget) -> Value:
        """Run the hook of a point. Raises HookFault, with the place in the file."""
        try:
            return self.call(self.codes[point], [inputs[name] for name in POINTS[point].inputs], budget)
        except HookFault as fault:
            if fault.at == (0, 0):
                fault.at = budget.used_at
            raise

    def call(self, code: Code, given: list[Value], budget: Budget) -> Value:
        """Run one function."""
        budget.depth -= code.weight
        if budget.depth < 0:
            raise HookFault("depth", f"calls in each other too deep, at {code.name}")
        came = budget.used_at
        places: list[Any] = given + [None] * (code.places - code.takes)
        stack: list[Any] = []
        push, pop = stack.append, stack.pop
        ops, at = code.ops, 0
        out: Value = None
        while True:
            op, a, b = ops[at]
            at += 1
            if op == LOAD:
                push(places[a])
            elif op == CONST:
                push(a)
            elif op == STEP:
                budget.used_at = b
                budget.steps -= a
                if budget.steps < 0:
                    budget.pay(0)
            elif op == FIELD:
                push(v.get_field(pop(), a))
            elif op == BINARY:
                right = pop()
                push(v.binary(a, pop(), right, budget))
            elif op == JUMP_IF_NOT:
                if not v.truth(pop()):
                    at = a
            elif op == STORE:
                places[a] = pop()
            elif op == JUMP:
                at = a
            elif op == PAY:
                if b:
                    budget.used_at = b
                budget.pay(a)
            elif op == FITS:
                push(any(fits(one, places[b], budget) for one in a))
            elif op == BUILTIN:
                given = stack[len(stack) - b :]
                del stack[len(stack) - b :]
                push(a(*given, budget))
            elif op == CALL:
                given = stack[len(stack) - b :]
                del stack[len(stack) - b :]
                push(self.call(a, given, budget))
            elif op == AND:
                if not v.truth(stack[-1]):
                    at = a
                else:
                    pop()
            elif op == OR:
                if v.truth(stack[-1]):
                    at = a
                else:
                    pop()
            elif op == TRUTH:
                v.truth(stack[-1])
            elif op == NOT:
                push(not v.truth(pop()))
            elif op == MINUS:
                push(v.minus(pop()))
            elif op == INDEX:
                key = pop()
                push(v.get_index(pop(), key))
            elif op == LIST:
                given = stack[len(stack) - a :]
                del stack[len(stack) - a :]
                push(v.make_list(tuple(given), budget))
            elif op == RECORD:
                given = stack[len(stack) - len(a) :]
                del stack[len(stack) - len(a) :]
                push(v.make_record(dict(zip(a, given, strict=True)), budget))
            elif op == PUT:
                keys = stack[len(stack) - b :]
                del stack[len(stack) - b :]
                places[a] = v.put(places[a], keys, pop(), budget)
            elif op == EACH:
                places[a] = v.each(pop())
            elif op == NEXT:
                for one in places[a]:
                    places[a + 1] = one
                    break
                else:
                    at = b
            elif op == POP:
                pop()
            elif op == EXPECT:
                if not v.truth(pop()):
                    raise HookFault("wrong", "what is expected is not so")
            else:
                out = pop()
                break
        budget.depth += code.weight
        budget.used_at = came
        return out


class _Assembler:
    def __init__(self, machine: Machine, code: Code, given: tuple[str, ...], block: tree.Block) -> None:
        self.machine, self.code = machine, code
        self.scopes: list[dict[str, int]] = [{name: at for at, name in enumerate(given)}]
        code.places = len(given)
        self.loops: list[tuple[int, list[Op]]] = []
        self.block(block)
        self.put(CONST, None)
        self.put(RETURN)

    def put(self, op: int, a: Any = None, b: Any = None) -> Op:
        made = [op, a, b]
        self.code.ops.append(made)
        return made

    def here(self) -> int:
        return len(self.code.ops)

    def place(self, count: int = 1) -> int:
        self.code.places += count
        return self.code.places - count

    def block(self, block: tree.Block) -> None:
        self.scopes.append({})
        for s in block.statements:
            self.put(STEP, 1 + own_size(s), s.at)
            self.statement(s)
        self.scopes.pop()

    def statement(self, s: tree.Statement) -> None:
        match s:
            case tree.Let(_, name, value):
                self.expr(value)
                place = self.scopes[-1][name] = self.place()
                self.put(STORE, place)
            case tree.Assign(_, name, path, value):
                self.expr(value)
                for key in path:
                    self.put(CONST, key) if isinstance(key, str) else self.expr(key)
                place = next(scope[name] for scope in reversed(self.scopes) if name in scope)
                self.put(PUT, place, len(path)) if path else self.put(STORE, place)
            case tree.Branch(_, ways, otherwise):
                ends = []
                for condition, block in ways:
                    self.expr(condition)
                    skip = self.put(JUMP_IF_NOT)
                    self.block(block)
                    ends.append(self.put(JUMP))
                    skip[1] = self.here()
                if otherwise:
                    self.block(otherwise)
                for end in ends:
                    end[1] = self.here()
            case tree.Match(_, value, arms):
                self.expr(value)
                place, ends = self.place(), []
                self.put(STORE, place)
                for arm in arms:
                    self.put(PAY, len(arm.patterns))
                    self.put(FITS, arm.patterns, place)
                    skips = [self.put(JUMP_IF_NOT)]
                    if arm.guard:
                        self.expr(arm.guard)
                        skips.append(self.put(JUMP_IF_NOT))
                    self.block(arm.block)
                    ends.append(self.put(JUMP))
                    for skip in skips:
                        skip[1] = self.here()
                for end in ends:
                    end[1] = self.here()
            case tree.While(at, condition, block):
                top = self.here()
                self.put(PAY, 1 + size(condition), at)
                self.expr(condition)
                self.loop(top, self.put(JUMP_IF_NOT), 1, block)
            case tree.For(at, name, value, block):
                self.expr(value)
                place = self.place(2)
                self.put(EACH, place)
                top = self.here()
                out = self.put(NEXT, place)
                self.put(PAY, 1, at)
                self.scopes.append({name: place + 1})
                self.loop(top, out, 2, block)
                self.scopes.pop()
            case tree.Leave(_, how):
                top, breaks = self.loops[-1]
                if how == "break":
                    breaks.append(self.put(JUMP))
                else:
                    self.put(JUMP, top)
            case tree.Return(_, value):
                self.expr(value) if value else self.put(CONST, None)
                self.put(RETURN)
            case tree.Expect(_, value):
                self.expr(value)
                self.put(EXPECT)
            case tree.Do(_, value):
                self.expr(value)
                self.put(POP)

    def loop(self, top: int, out: Op, field: int, block: tree.Block) -> None:
        self.loops.append((top, []))
        self.block(block)
        self.put(JUMP, top)
        out[field] = self.here()
        for one in self.loops.pop()[1]:
            one[1] = self.here()

    def expr(self, e: tree.Expr) -> None:
        match e:
            case tree.Literal(_, value):
                self.put(CONST, value)
            case tree.Name(_, name):
                place = next((scope[name] for scope in reversed(self.scopes) if name in scope), None)
                self.put(CONST, self.machine.constants[name]) if place is None else self.put(LOAD, place)
            case tree.Unary(_, op, value):
                self.expr(value)
                self.put(NOT if op == "not" else MINUS)
            case tree.Logic(_, op, parts):
                jumps = []
                for part in parts[:-1]:
                    self.expr(part)
                    jumps.append(self.put(AND if op == "and" else OR))
                self.expr(parts[-1])
                self.put(TRUTH)
                for jump in jumps:
                    jump[1] = self.here()
            case tree.Binary(_, op, left, right):
                self.expr(left)
                self.expr(right)
                self.put(BINARY, op)
            case tree.Field(_, value, name):
                self.expr(value)
                self.put(FIELD, name)
            case tree.Index(_, value, key):
                self.expr(value)
                self.expr(key)
                self.put(INDEX)
            case tree.ListOf(_, items):
                for one in items:
                    self.expr(one)
                self.put(LIST, len(items))
            case tree.RecordOf(_, fields):
                for _, one in fields:
                    self.expr(one)
                self.put(RECORD, [name for name, _ in fields])
            case tree.Call(_, name, arguments):
                for one in arguments:
                    self.expr(one)
                code = self.machine.codes.get(name)
                builtin: Callable[..., Value] | None = None if code else v.BUILTINS[name][1]
                self.put(CALL if code else BUILTIN, code or builtin, len(arguments))
