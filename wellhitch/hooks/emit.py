"""Runs hooks: a checked file is turned into Python source once, and that is compiled. What is run in service.

Nothing of a file's text stands in the source but literals by `repr`: names become places (`v0`, `v1`), functions
numbers, and the source sees no builtins, only what `SEEN` names. Each sub-expression is a line of its own, so that
the source nests only as statements do and Python's own limits are never met. A fault's place is read off the line of
the source where it rose: a run that goes well pays nothing for places.

What goes often (numbers, short texts, fields of records) stands in line; all else calls `values.py`. Costs, values,
faults and places are those of `interpreter.py`, the plainest statement of the language, held against it by generated
programs.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any

from wellhitch.hooks import tree
from wellhitch.hooks import values as v
from wellhitch.hooks.cost import children, own_size, size, weight
from wellhitch.hooks.interpreter import Interpreter
from wellhitch.hooks.points import POINTS
from wellhitch.hooks.values import Budget, HookError, ListValue, Record, Value

SHORT = 64  # characters: comparing with a shorter text costs no step (`values.same`)
SEEN: dict[str, Any] = {
    "__builtins__": {},
    "ListValue": ListValue,
    "Record": Record,
    "int": int,
    "float": float,
    "str": str,
    "same": v.same,
    "binary": v.binary,
    "within": v.within,
    "bounded": v.bounded,
    "truth": v.truth,
    "minus": v.minus,
    "get_field": v.get_field,
    "get_index": v.get_index,
    "put": v.put,
    "each": v.each,
    "in_range": v.in_range,
    "make_list": v.make_list,
    "make_record": v.make_record,
    "to_text": v.to_text,
    "HookError": HookError,
    **{f"b_{name}": builtin for name, (_, builtin) in v.BUILTINS.items()},
}
"""All that the source can name besides its own."""

GIVES = {
    "length": "number",
    "text": "text",
    "lower": "text",
    "starts": "truth",
    "ends": "truth",
    "floor": "number",
}
"""Kinds that a built-in function surely gives."""


@dataclass(frozen=True, slots=True)
class _Got:
    """Where a value stands while the source is written: an atom of Python, and its kind where it is sure. `known`
    tells that `value` is it."""

    atom: str
    kind: str = "any"
    known: bool = False
    value: Value = None


@dataclass(slots=True)
class Program:
    """A whole file, ready to run."""

    file: tree.File
    source: str = ""
    places: dict[int, tree.Position] = field(default_factory=dict)
    hooks: dict[str, Callable[..., Value]] = field(default_factory=dict)
    tests: list[Callable[..., Value]] = field(default_factory=list)

    def run(self, point: str, inputs: dict[str, Value], budget: Budget) -> Value:
        """Run the hook of a point. Raises HookError, with the place in the file."""
        try:
            return self.hooks[point](*[inputs[name] for name in POINTS[point].inputs], budget)
        except HookError as fault:
            self._placed(fault)
            raise

    def test(self, at: int, budget: Budget) -> Value:
        """Run a test. Raises HookError where what it expects is not so."""
        try:
            return self.tests[at](budget)
        except HookError as fault:
            self._placed(fault)
            raise

    def _placed(self, fault: HookError) -> None:
        step: TracebackType | None = fault.__traceback__
        while step is not None:
            if step.tb_frame.f_code.co_filename == MARK and step.tb_lineno in self.places:
                fault.position = self.places[step.tb_lineno]
            step = step.tb_next


MARK = "<hook>"  # the file name of all compiled source, by which its lines are told in a traceback


class _Writer:
    """Writes the source of one file."""

    def __init__(self, file: tree.File, constants: dict[str, Value]) -> None:
        self.file, self.given = file, constants
        self.lines: list[str] = []
        self.places: dict[int, tree.Position] = {}
        self.seen: dict[str, Any] = dict(SEEN)
        self.functions = {name: f"f{at}" for at, name in enumerate(file.functions)}
        self.hooks = {point: f"h_{point}" for point in file.hooks}
        self.depth, self.at, self.fresh, self.leaves = 0, (0, 0), 0, True
        self.scopes: list[dict[str, str]] = []
        for function in file.functions.values():
            self.function(self.functions[function.name], function.name, function.names, function.block)
        for hook in file.hooks.values():
            self.function(self.hooks[hook.point], hook.point, tuple(POINTS[hook.point].inputs), hook.block)
        for at, test in enumerate(file.tests):
            self.function(f"t_{at}", test.what, (), test.block)

    # -- lines and names --

    def line(self, text: str) -> None:
        self.lines.append("    " * self.depth + text)
        if self.at != (0, 0):
            self.places[len(self.lines)] = self.at

    def new(self) -> str:
        self.fresh += 1
        return f"v{self.fresh}"

    def keep(self, value: object) -> str:
        """A value that has no literal, by a name."""
        name = f"k{len(self.seen)}"
        self.seen[name] = value
        return name

    def find(self, name: str) -> str | None:
        return next((scope[name] for scope in reversed(self.scopes) if name in scope), None)

    def constant(self, value: Value) -> _Got:
        kind = v.kind(value)
        plain = value is None or isinstance(value, (bool, str)) or kind == "number"
        # In brackets, since `5.fields` is no Python.
        return _Got(f"({value!r})" if plain else self.keep(value), kind, True, value)

    def pay(self, cost: int) -> None:
        self.line(f"b.steps = s = b.steps - {cost}")
        self.line("if s < 0: b.pay(0)")

    # -- functions and statements --

    def function(self, name: str, title: str, given: tuple[str, ...], block: tree.Block) -> None:
        self.at, self.depth, self.fresh = (0, 0), 0, 0
        scope = {one: self.new() for one in given}
        self.scopes = [scope]
        # One that calls no other needs only to look: what it takes of the depth is back when it ends.
        self.leaves = not _calls(block, self.functions.keys() | self.hooks.keys())
        self.heavy = weight(block)
        self.line(f"def {name}({', '.join([*scope.values(), 'b'])}):")
        self.depth = 1
        self.line(f"if b.depth < {self.heavy}:")
        self.line(f"    raise HookError('depth', {'calls in each other too deep, at ' + title!r})")
        if not self.leaves:
            self.line(f"b.depth -= {self.heavy}")
        self.block(block)
        self.at = (0, 0)
        self.leave("None")

    def leave(self, atom: str) -> None:
        if not self.leaves:
            self.line(f"b.depth += {self.heavy}")
        self.line(f"return {atom}")

    def block(self, block: tree.Block) -> None:
        self.scopes.append({})
        for s in block.statements:
            self.at = s.position
            self.pay(1 + own_size(s))
            self.statement(s)
            self.at = s.position
        if not block.statements:
            self.line("pass")
        self.scopes.pop()

    def under(self, opening: str, block: tree.Block) -> None:
        self.line(opening)
        at, self.depth = self.at, self.depth + 1
        self.block(block)
        self.depth -= 1
        self.at = at

    def statement(self, s: tree.Statement) -> None:
        match s:
            case tree.Let(_, name, value):
                got, place = self.expr(value), self.new()
                self.scopes[-1][name] = place
                self.line(f"{place} = {got.atom}")
            case tree.Assign(_, name, path, value):
                got, keys = self.expr(value), []
                for key in path:
                    keys.append(repr(key) if isinstance(key, str) else self.expr(key).atom)
                place = self.find(name) or ""  # checked before
                new = f"put({place}, [{', '.join(keys)}], {got.atom}, b)" if path else got.atom
                self.line(f"{place} = {new}")
            case tree.Branch():
                self.branch(s)
            case tree.Match():
                self.match(s)
            case tree.While(_, condition, block):
                self.line("while True:")
                self.depth += 1
                self.pay(1 + size(condition))
                self.line(f"if not {self.condition(condition)}: break")
                self.depth -= 1
                self._inner(block)
            case tree.For(_, name, value, block):
                got, place = self.expr(value), self.new()
                self.line(f"for {place} in each({got.atom}):")
                self.depth += 1
                self.pay(1)
                self.depth -= 1
                self.scopes.append({name: place})
                self._inner(block)
                self.scopes.pop()
            case tree.Leave(_, how):
                self.line(how)
            case tree.Return(_, value):
                self.leave(self.expr(value).atom if value else "None")
            case tree.Expect(_, value):
                self.line(
                    f"if not {self.condition(value)}: raise HookError('wrong', 'what is expected is not so')"
                )
            case tree.Do(_, value):
                self.expr(value)

    def _inner(self, block: tree.Block) -> None:
        """The block of a loop whose first lines are written."""
        at, self.depth = self.at, self.depth + 1
        self.block(block)
        self.depth -= 1
        self.at = at

    def branch(self, s: tree.Branch) -> None:
        """Ways one after another, not in each other: a chain of hundreds must not nest."""
        if len(s.ways) == 1:
            self.under(f"if {self.condition(s.ways[0][0])}:", s.ways[0][1])
            if s.otherwise:
                self.under("else:", s.otherwise)
            return
        left = self.new()
        self.line(f"{left} = True")
        for condition, block in s.ways:
            self.line(f"if {left}:")
            self.depth += 1
            self.line(f"if {self.condition(condition)}:")
            self.line(f"    {left} = False")
            self._inner(block)
            self.depth -= 1
        if s.otherwise:
            self.under(f"if {left}:", s.otherwise)

    def match(self, s: tree.Match) -> None:
        got, left = self.expr(s.value), self.new()
        self.line(f"{left} = True")
        for arm in s.arms:
            self.line(f"if {left}:")
            self.depth += 1
            self.pay(len(arm.patterns))
            fits = self.new()
            for at, pattern in enumerate(arm.patterns):
                self.line(f"{f'if not {fits}: ' if at else ''}{fits} = {self.fits(pattern, got.atom)}")
            if arm.guard:
                self.line(f"if {fits}:")
                self.depth += 1
                self.line(f"{fits} = {self.condition(arm.guard)}")
                self.depth -= 1
            self.line(f"if {fits}:")
            self.line(f"    {left} = False")
            self._inner(arm.block)
            self.depth -= 1

    def fits(self, pattern: tree.Pattern, atom: str) -> str:
        match pattern:
            case tree.SamePattern(_, wanted):
                return self.equal(_Got(atom), self.constant(wanted))
            case tree.RangePattern(_, low, high):
                return f"in_range({atom}, {self.constant(low).atom}, {self.constant(high).atom})"
            case tree.PrefixPattern(_, prefix):
                return f"{atom}.__class__ is str and {atom}.startswith({prefix!r})"
        return "True"

    # -- expressions: each gives an atom, its lines written before --

    def condition(self, e: tree.Expr) -> str:
        got = self.expr(e)
        if got.known and got.kind != "truth":
            self.line(f"truth({got.atom})")
        elif got.kind != "truth":
            self.line(f"if {got.atom} is not True and {got.atom} is not False: truth({got.atom})")
        return got.atom

    def set(self, text: str, kind: str = "any") -> _Got:
        place = self.new()
        self.line(f"{place} = {text}")
        return _Got(place, kind)

    def expr(self, e: tree.Expr) -> _Got:
        match e:
            case tree.Literal(_, value):
                return self.constant(value)
            case tree.Name(_, name):
                place = self.find(name)
                return _Got(place) if place else self.constant(self.given[name])
            case tree.Unary(_, op, value):
                if op == "not":
                    return self.set(f"not {self.condition(value)}", "truth")
                return self.set(f"minus({self.expr(value).atom})")
            case tree.Logic(_, op, parts):
                place = self.new()
                self.line(f"{place} = {self.condition(parts[0])}")
                for part in parts[1:]:
                    self.line(f"if {place}:" if op == "and" else f"if not {place}:")
                    self.depth += 1
                    self.line(f"{place} = {self.condition(part)}")
                    self.depth -= 1
                return _Got(place, "truth")
            case tree.Binary(_, op, left, right):
                return self.binary(op, self.expr(left), self.expr(right))
            case tree.Field(_, value, name):
                return self.field(self.expr(value).atom, name)
            case tree.Index(_, value, key):
                held, at = self.expr(value), self.expr(key)
                return self.set(f"get_index({held.atom}, {at.atom})")
            case tree.ListOf(_, items):
                return self.list_of([self.expr(one) for one in items])
            case tree.RecordOf(_, fields):
                pairs = [(name, self.expr(one).atom) for name, one in fields]
                text = ", ".join(f"{name!r}: {atom}" for name, atom in pairs)
                return self.set(f"make_record({{{text}}}, b)", "record")
            case tree.Call(_, name, arguments):
                return self.call(name, [self.expr(one) for one in arguments])

    def field(self, atom: str, name: str) -> _Got:
        place = self.new()
        self.line(
            f"if {atom}.__class__ is Record and {name!r} in {atom}.fields: {place} = {atom}.fields[{name!r}]"
        )
        self.line(f"else: {place} = get_field({atom}, {name!r})")
        return _Got(place)

    def list_of(self, items: list[_Got]) -> _Got:
        if items and all(one.known and v.depth(one.value) == 0 for one in items):
            # The same list each time: values never change, so one serves all runs, and each run pays for it.
            self.line(f"b.take({len(items) + 1})")
            return self.constant(ListValue(tuple(one.value for one in items), 1))
        return self.set(f"make_list(({''.join(one.atom + ', ' for one in items)}), b)", "list")

    def call(self, name: str, given: list[_Got]) -> _Got:
        atoms = ", ".join([*(one.atom for one in given), "b"])
        own = self.functions.get(name) or self.hooks.get(name)
        if own:
            return self.set(f"{own}({atoms})")
        if name == "text":
            only = given[0].atom
            return self.set(f"{only} if {only}.__class__ is str else to_text({only}, b)", "text")
        return self.set(f"b_{name}({atoms})", GIVES.get(name, "any"))

    def equal(self, left: _Got, right: _Got) -> str:
        """Whether two are equal, as an expression: told apart by kind, and free where one is a short constant."""
        if left.known and not right.known:
            left, right = right, left
        if left.known and right.known and _free(left.value) and _free(right.value):
            return f"({v.same(left.value, right.value, Budget())})"
        if right.known:
            if right.kind in ("truth", "none"):
                return f"{left.atom} is {right.atom}"
            if right.kind == "text" and len(str(right.value)) < SHORT:
                return f"{left.atom} == {right.atom}"
            if right.kind == "number":
                return f"{left.atom} == {right.atom} and {_is_number(left) or 'True'}"
        return f"same({left.atom}, {right.atom}, b)"

    def binary(self, op: str, left: _Got, right: _Got) -> _Got:
        if op == "==":
            return self.set(self.equal(left, right), "truth")
        if op == "!=":
            return self.set(f"not ({self.equal(left, right)})", "truth")
        if op == "in":
            return self.within(left, right)
        slow = f"binary({op!r}, {left.atom}, {right.atom}, b)"
        compares, kind = op in ("<", "<=", ">", ">="), "any"
        if op in ("/", "%") and not (right.known and right.kind == "number" and right.value):
            return self.set(slow)
        if any(one.kind not in ("any", "number") for one in (left, right)):
            return self.set(slow, "truth" if compares else "any")
        place, sure = self.new(), " and ".join(filter(None, (_is_number(left), _is_number(right))))
        if compares:
            kind = "truth"
        elif not sure:
            kind = "number"
        inner = 1 if sure else 0
        if sure:
            self.line(f"if {sure}:")
        self.depth += inner
        self.line(f"{place} = {left.atom} {op} {right.atom}")
        if not compares:
            self.line(f"if not -{v.LARGEST} <= {place} <= {v.LARGEST}: bounded({place})")
        self.depth -= inner
        if sure:
            self.line(f"else: {place} = {slow}")
        return _Got(place, kind)

    def within(self, left: _Got, right: _Got) -> _Got:
        """`in`; among a list of short texts that is known, one look."""
        items = right.value.items if right.known and isinstance(right.value, ListValue) else ()
        if not items or not all(isinstance(one, str) and len(one) < SHORT for one in items):
            return self.set(f"within({left.atom}, {right.atom}, b)", "truth")
        place = self.new()
        self.line(f"if {left.atom}.__class__ is not ListValue and {left.atom}.__class__ is not Record:")
        self.depth += 1
        self.pay(len(items))
        self.line(f"{place} = {left.atom} in {self.keep(frozenset(items))}")
        self.depth -= 1
        self.line(f"else: {place} = within({left.atom}, {right.atom}, b)")
        return _Got(place, "truth")


def _free(value: Value) -> bool:
    """Whether comparing with it costs no step, whatever the other is."""
    return v.depth(value) == 0 and not (isinstance(value, str) and len(value) >= SHORT)


def _is_number(got: _Got) -> str:
    """The test for a number, or nothing where it surely is one."""
    atom = got.atom
    return "" if got.kind == "number" else f"({atom}.__class__ is int or {atom}.__class__ is float)"


def _calls(node: tree.Node, names: set[str]) -> bool:
    """Whether any function of the file is called under a node."""
    return (isinstance(node, tree.Call) and node.name in names) or any(
        _calls(one, names) for one in children(node)
    )


def compile_file(file: tree.File, budget: Budget) -> Program:
    """The file ready to run; its constants are reckoned within `budget`. The file was checked before. Raises
    HookError."""
    writer = _Writer(file, Interpreter(file, budget).constants)
    source = "\n".join(writer.lines) + "\n"
    seen = writer.seen
    exec(compile(source, MARK, "exec", dont_inherit=True), seen)  # noqa: S102 - of what is written, see above
    return Program(
        file,
        source,
        writer.places,
        {point: seen[name] for point, name in writer.hooks.items()},
        [seen[f"t_{at}"] for at in range(len(file.tests))],
    )
