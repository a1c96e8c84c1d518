"""What can be known to be wrong before a hook runs: names, numbers of values, fields and kinds where they are known,
code that is never reached, loops that never end. Pure: a file in, faults out."""

from dataclasses import dataclass, field

from wellhitch.hooks import tree
from wellhitch.hooks.points import POINTS, Point, Type
from wellhitch.hooks.values import BUILTINS, kind

ANY: Type = "any"
MAX_LOOPS = 16  # in each other within one function; Python, into which hooks are compiled, bears 20
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
    """Names that can be seen, innermost block last."""

    blocks: list[dict[str, Type]] = field(default_factory=lambda: [{}])

    def find(self, name: str) -> Type | None:
        for block in reversed(self.blocks):
            if name in block:
                return block[name]
        return None


@dataclass
class _Checker:
    file: tree.File
    faults: list[tree.Diagnostic] = field(default_factory=list)
    scope: _Scope = field(default_factory=_Scope)
    point: Point | None = None
    point_name: str = ""
    loops: int = 0
    in_test: bool = False

    def say(self, at: tree.Position, text: str, hint: str = "") -> None:
        self.faults.append(tree.Diagnostic(self.file.name, at, text, hint))

    # -- a file --

    def run(self) -> list[tree.Diagnostic]:
        known: dict[str, Type] = {}
        for constant in self.file.constants.values():
            self.scope = _Scope([dict(known)])
            known[constant.name] = self.expr(constant.value)
        for function in self.file.functions.values():
            if function.name in BUILTINS or function.name in POINTS:
                self.say(function.position, f"{function.name} is a name of the language's own")
            if len(set(function.names)) != len(function.names):
                self.say(function.position, f"function {function.name} takes a name twice")
            self._body(known, dict.fromkeys(function.names, ANY), function.block, None, "")
        for hook in self.file.hooks.values():
            point = POINTS.get(hook.point)
            if point is None:
                self.say(hook.position, f"no hook point {hook.point}", f"there are {', '.join(POINTS)}")
                continue
            self._body(known, dict(point.inputs), hook.block, point, hook.point)
        self.in_test = True
        for test in self.file.tests:
            self._body(known, {}, test.block, None, "")
        return sorted(self.faults, key=lambda fault: fault.position)

    def _body(
        self,
        known: dict[str, Type],
        given: dict[str, Type],
        block: tree.Block,
        point: Point | None,
        name: str,
    ) -> None:
        self.scope = _Scope([dict(known), given])
        self.point, self.point_name, self.loops = point, name, 0
        self.block(block)

    # -- statements --

    def block(self, block: tree.Block) -> bool:
        """Check a block; whether its end is never reached."""
        self.scope.blocks.append({})
        ended = False
        told = False
        for statement in block.statements:
            if ended and not told:
                self.say(statement.position, "this is never reached")
                told = True
            ended = self.statement(statement) or ended
        self.scope.blocks.pop()
        return ended

    def statement(self, s: tree.Statement) -> bool:
        match s:
            case tree.Let(at, name, value):
                found = self.expr(value)
                if self.scope.find(name) is not None:
                    self.say(at, f"{name} is there already", "leave out let to set it")
                self.scope.blocks[-1][name] = found
            case tree.Assign(at, name, path, value):
                self._assign(at, name, path, value)
            case tree.Branch():
                return self._branch(s)
            case tree.Match(_, value, arms):
                self.expr(value)
                ends = [self._arm(arm) for arm in arms]
                total = any(
                    isinstance(p, tree.AnyPattern) and not arm.guard for arm in arms for p in arm.patterns
                )
                return total and all(ends)
            case tree.While(at, condition, block):
                self._condition(condition)
                self._loop(at)
                self.block(block)
                self.loops -= 1
                if _literal_true(condition) and not _leaves(block):
                    self.say(at, "this loop never ends", "a break or return is missing")
                    return True
                return _literal_true(condition) and not _breaks(block)
            case tree.For(at, name, value, block):
                self.expr(value)
                self.scope.blocks.append({name: ANY})
                self._loop(at)
                self.block(block)
                self.loops -= 1
                self.scope.blocks.pop()
            case tree.Leave(at, how):
                if not self.loops:
                    self.say(at, f"{how} outside of a loop")
                return True
            case tree.Return(at, value):
                self._return(at, value)
                return True
            case tree.Expect(at, value):
                if not self.in_test:
                    self.say(at, "expect is for tests")
                self._condition(value)
            case tree.Do(at, value):
                self.expr(value)
                if not isinstance(value, tree.Call):
                    self.say(at, "this does nothing", "a call, or name = value")
        return False

    def _loop(self, at: tree.Position) -> None:
        self.loops += 1
        if self.loops > MAX_LOOPS:
            self.say(at, f"loops in each other over {MAX_LOOPS} deep", "use functions")

    def _assign(
        self, at: tree.Position, name: str, path: tuple[str | tree.Expr, ...], value: tree.Expr
    ) -> None:
        found = self.expr(value)
        for key in path:
            if not isinstance(key, str):
                self.expr(key)
        if name in self.file.constants:
            self.say(at, f"{name} is a constant and cannot be set")
        elif self.scope.find(name) is None:
            self.say(at, f"no name {name} to set", f"let {name} = ... makes one")
        elif not path:
            for block in self.scope.blocks:
                if name in block:
                    block[name] = found if block[name] == found else ANY

    def _branch(self, s: tree.Branch) -> bool:
        ends = []
        for condition, block in s.ways:
            self._condition(condition)
            ends.append(self.block(block))
        if s.otherwise is None:
            return False
        return self.block(s.otherwise) and all(ends)

    def _arm(self, arm: tree.Arm) -> bool:
        if arm.guard:
            self._condition(arm.guard)
        return self.block(arm.block)

    def _condition(self, value: tree.Expr) -> None:
        found = self.expr(value)
        if found not in (ANY, "truth"):
            self.say(value.position, f"a {_name(found)} is no condition", "compare it with something")

    def _return(self, at: tree.Position, value: tree.Expr | None) -> None:
        found = self.expr(value) if value else "none"
        if self.point is None:
            return
        if found not in (ANY, "none", "record") and not isinstance(found, dict):
            self.say(at, f"on {self.point_name} returns a record or nothing, not a {_name(found)}")
        if isinstance(value, tree.RecordOf):
            for name, one in value.fields:
                wanted = self.point.says.get(name)
                if wanted is None:
                    may = ", ".join(self.point.says) or "nothing"
                    self.say(one.position, f"on {self.point_name} may not say {name}", f"it may say {may}")
                elif isinstance(one, tree.Literal) and one.value is not None and kind(one.value) != wanted:
                    self.say(one.position, f"{name} is a {wanted}, not a {kind(one.value)}")

    # -- expressions --

    def expr(self, e: tree.Expr) -> Type:
        match e:
            case tree.Literal(_, value):
                return kind(value)
            case tree.Name(at, name):
                found = self.scope.find(name)
                if found is None:
                    names = [n for b in self.scope.blocks for n in b]
                    self.say(at, f"no name {name}", _near(name, [*names, *KEYWORDS]))
                    return ANY
                return found
            case tree.Unary(_, op, value):
                if op == "not":
                    self._condition(value)
                    return "truth"
                return self.expr(value)
            case tree.Logic(_, _, parts):
                for part in parts:
                    self._condition(part)
                return "truth"
            case tree.Binary():
                return self._binary(e)
            case tree.Field(at, value, name):
                return self._field(at, self.expr(value), name)
            case tree.Index(_, value, key):
                self.expr(key)
                self.expr(value)
                return ANY
            case tree.Call():
                return self._call(e)
            case tree.ListOf(_, items):
                for item in items:
                    self.expr(item)
                return "list"
            case tree.RecordOf(at, fields):
                names = [name for name, _ in fields]
                for name in {name for name in names if names.count(name) > 1}:
                    self.say(at, f"field {name} stands twice")
                return {name: self.expr(value) for name, value in fields}

    def _binary(self, e: tree.Binary) -> Type:
        left, right = self.expr(e.left), self.expr(e.right)
        if e.op in ("==", "!="):
            if ANY not in (left, right) and _name(left) != _name(right) and "none" not in (left, right):
                self.say(e.position, f"a {_name(left)} is never equal to a {_name(right)}")
            return "truth"
        if e.op in ("in", "<", "<=", ">", ">="):
            if e.op != "in" and ANY not in (left, right) and _name(left) != _name(right):
                self.say(e.position, f"{_name(left)} {e.op} {_name(right)} means nothing")
            return "truth"
        if ANY in (left, right):
            return ANY
        names = (_name(left), _name(right))
        if names[0] == names[1] and ((e.op, names[0]) in _ARITHMETIC or names[0] == "number"):
            return left
        if names == ("duration", "duration") and e.op == "/":
            return "number"
        if names in (("duration", "number"), ("number", "duration")) and e.op in "*/" and names[0] != e.op:
            return "duration"
        self.say(
            e.position, f"{names[0]} {e.op} {names[1]} means nothing", "text(x) makes a text of anything"
        )
        return ANY

    def _field(self, at: tree.Position, found: Type, name: str) -> Type:
        if isinstance(found, dict):
            if name not in found:
                self.say(at, f"no field {name}", _near(name, list(found)) or f"there are {', '.join(found)}")
                return ANY
            inner: Type = found[name]
            return inner
        if found not in (ANY, "record"):
            self.say(at, f"a {found} has no field {name}")
        return ANY

    def _call(self, e: tree.Call) -> Type:
        for one in e.arguments:
            self.expr(one)
        if self.in_test and e.name in self.file.hooks:
            wanted = len(POINTS[e.name].inputs) if e.name in POINTS else len(e.arguments)
        elif e.name in self.file.functions:
            wanted = len(self.file.functions[e.name].names)
        elif e.name in BUILTINS:
            wanted = BUILTINS[e.name][0]
        else:
            known = [*self.file.functions, *BUILTINS]
            self.say(e.position, f"no function {e.name}", _near(e.name, known))
            return ANY
        if wanted != len(e.arguments):
            self.say(e.position, f"{e.name} takes {wanted} values, not {len(e.arguments)}")
        return _GIVES.get(e.name, ANY) if e.name not in self.file.functions else ANY


_GIVES: dict[str, Type] = {
    "length": "number", "text": "text", "lower": "text", "starts": "truth", "ends": "truth", "split": "list",
    "floor": "number", "push": "list",
}  # fmt: skip


def check(file: tree.File) -> list[tree.Diagnostic]:
    """All faults of a file, in its order."""
    return _Checker(file).run()


def _name(found: Type) -> str:
    return "record" if isinstance(found, dict) else found


def _near(name: str, known: list[str]) -> str:
    """A hint where a known name is one slip away."""
    for one in known:
        if (
            one != name
            and (one.startswith(name[:3]) or sorted(one) == sorted(name))
            and abs(len(one) - len(name)) < 3
        ):
            return f"is {one} meant?"
    return ""


def _literal_true(e: tree.Expr) -> bool:
    return isinstance(e, tree.Literal) and e.value is True


def _statements(block: tree.Block) -> list[tree.Statement]:
    """All statements of a block and the blocks in it, those of inner loops too."""
    out: list[tree.Statement] = []
    for s in block.statements:
        out.append(s)
        for inner in _inner(s):
            out += _statements(inner)
    return out


def _inner(s: tree.Statement) -> list[tree.Block]:
    match s:
        case tree.Branch(_, ways, otherwise):
            return [block for _, block in ways] + ([otherwise] if otherwise else [])
        case tree.Match(_, _, arms):
            return [arm.block for arm in arms]
        case tree.While(_, _, block) | tree.For(_, _, _, block):
            return [block]
    return []


def _breaks(block: tree.Block) -> bool:
    """Whether a block may break the loop it belongs to; inner loops keep their own breaks."""
    for s in block.statements:
        if isinstance(s, tree.Leave) and s.how == "break":
            return True
        if not isinstance(s, (tree.While, tree.For)) and any(_breaks(inner) for inner in _inner(s)):
            return True
    return False


def _leaves(block: tree.Block) -> bool:
    return _breaks(block) or any(isinstance(s, tree.Return) for s in _statements(block))
