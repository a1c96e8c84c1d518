"""The hooks of one call server: a version of all files, run at each point within budgets, what they say brought
together. No I/O: texts are handed in, time too."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from blake3 import blake3

from wellhitch.hooks import tree
from wellhitch.hooks.check import check
from wellhitch.hooks.containment import HookSuspensions, StepBucket
from wellhitch.hooks.emit import Program, compile_file
from wellhitch.hooks.grammar import Parser
from wellhitch.hooks.points import FAVOUR, MAX_TAGS, POINTS, HookResult, InvalidHookResult, Type, parse_result
from wellhitch.hooks.values import Budget, Duration, HookError, ListValue, Record, Value

MAX_STEPS = 5_000  # of one run; a ten-line hook takes some 60, and the worst program ends in about 2 ms
MAX_MEMORY_CELLS = 5_000  # cells of one run
LOAD_BUDGET = 100_000  # for the constants of one file, and each of its tests
MAX_STATE_KEYS = 1_000  # keys that one file remembers; the one that ends soonest goes first


class HookState:
    """What one file remembers, with when each key ends."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[Value, int]] = {}

    def apply(self, changes: Mapping[str, tuple[Value, Duration]], now: int) -> int:
        """Keep what a run remembered; returns how many keys had to go for it."""
        for key, (value, span) in changes.items():
            self.values[key] = (value, now + int(span))
        over = len(self.values) - MAX_STATE_KEYS
        if over <= 0:
            return 0
        for key in [key for key, (_, until) in self.values.items() if until <= now]:
            del self.values[key]
        dropped = sorted(self.values, key=lambda key: self.values[key][1])[
            : max(0, len(self.values) - MAX_STATE_KEYS)
        ]
        for key in dropped:
            del self.values[key]
        return len(dropped)


class _View(dict[str, tuple[Value, Duration]]):
    """A run's own view: what it writes is kept only if it ends well."""

    def __init__(self, kept: HookState, now: int) -> None:
        super().__init__()
        self._kept, self._now = kept, now

    def get(self, key: str, default: Any = None) -> Any:
        """What this run wrote, else what is kept and has not ended."""
        if key in self:
            return self[key]
        found = self._kept.values.get(key)
        return (found[0], Duration(0)) if found and found[1] > self._now else default


@dataclass(frozen=True, slots=True)
class Version:
    """All files as loaded, by standing: the first has the highest. `mark` names the texts."""

    digest: str
    programs: tuple[Program, ...]

    def programs_at(self, point: str) -> tuple[Program, ...]:
        """The files with a hook at a point, by standing."""
        return tuple(program for program in self.programs if point in program.hooks)


def load_version(texts: Mapping[str, str], parser: Parser) -> Version:
    """Read, check and test all files; their names' order is their standing. Raises tree.InvalidHooks with all faults:
    a version that fails its own tests is not taken."""
    faults: list[tree.Diagnostic] = []
    programs: list[Program] = []
    for name in sorted(texts):
        try:
            file = parser.parse(texts[name], name)
            found = check(file)
            faults += found
            if not found:
                program = compile_file(file, Budget(LOAD_BUDGET, LOAD_BUDGET))
                faults += run_tests(program)
                programs.append(program)
        except tree.InvalidHooks as bad:
            faults += bad.diagnostics
        except HookError as fault:
            faults.append(tree.Diagnostic(name, fault.position, f"a constant: {fault.text}"))
    if faults:
        raise tree.InvalidHooks(faults)
    whole = "".join(f"{name}\0{texts[name]}\0" for name in sorted(texts))
    return Version(blake3(whole.encode()).hexdigest()[:12], tuple(programs))


def run_tests(program: Program) -> list[tree.Diagnostic]:
    """The faults of a file's own tests."""
    out = []
    for at, test in enumerate(program.file.tests):
        try:
            program.test(at, Budget(LOAD_BUDGET, LOAD_BUDGET))
        except HookError as fault:
            out.append(
                tree.Diagnostic(program.file.name, fault.position, f"test {test.what!r}: {fault.text}")
            )
    return out


def to_value(given: Any, wanted: Type) -> Value:
    """A fact of the server as a value of the language, by the point's type; a record that is one already stays."""
    if isinstance(given, Record):
        return given
    if isinstance(wanted, dict):
        return Record({name: to_value(given[name], inner) for name, inner in wanted.items()}, 1)
    if wanted == "duration":
        return Duration(int(given))
    if isinstance(given, (list, tuple)):
        return ListValue(tuple(given), 1)
    value: Value = given
    return value


Log = Callable[..., None]
LISTED = 20  # differences of a shadow that the log names; all are counted
CANARY_BUCKETS = 10_000  # into which called numbers fall for a canary: a hundredth of a percent


def canary_bucket(called: str, mark: str) -> int:
    """Where a called number falls, from 0 to CANARY_BUCKETS - 1: the same for the same version at every call server, and
    another draw for the next version."""
    return int.from_bytes(blake3(f"{mark} {called}".encode()).digest(4), "big") % CANARY_BUCKETS


@dataclass
class Hooks:
    """The hooks in service. `shadow`: another version that runs beside, with state, benches and steps of its own;
    it decides nothing, but for the called numbers that fall under `canary` (of CANARY_BUCKETS)."""

    version: Version
    traffic_classes: frozenset[str]
    log: Log
    counts: Counter[str] = field(default_factory=Counter)
    states: dict[str, HookState] = field(default_factory=dict)
    suspensions: dict[str, HookSuspensions] = field(default_factory=dict)
    step_bucket: StepBucket = field(default_factory=StepBucket)
    shadow: "Hooks | None" = None
    canary: int = 0

    def __post_init__(self) -> None:
        self._at = {point: self.version.programs_at(point) for point in POINTS}

    def has_hooks(self, point: str) -> bool:
        """Whether any hook, or the shadow's, stands at a point: facts need not be gathered for nobody."""
        return bool(self._at[point]) or (self.shadow is not None and self.shadow.has_hooks(point))

    def start_shadow(self, version: Version) -> None:
        """Run another version beside this one from now on. What files remember is copied to start with."""
        kept = {name: HookState() for name in self.states}
        for name, one in kept.items():
            one.values = dict(self.states[name].values)
        self.shadow = Hooks(version, self.traffic_classes, self.log, Counter(), kept)
        self.canary = 0
        self.log("hooks_shadowed", version=self.version.digest, shadow=version.digest)

    def drop_shadow(self) -> None:
        """Let the shadow go."""
        self.shadow, self.canary = None, 0

    def deciding_for(self, called: str | None) -> "Hooks":
        """Which of the two decides for a called number: one dialogue is never decided by both."""
        if self.shadow is None or not self.canary or called is None:
            return self
        return self.shadow if canary_bucket(called, self.shadow.version.digest) < self.canary else self

    def consult(
        self, point: str, facts: Mapping[str, Any], key: str, now: int, called: str | None
    ) -> tuple[HookResult, str]:
        """What is said, and the version that said it. A shadow is run too, and where it differs that is counted."""
        chosen = self.deciding_for(called)
        said = chosen.evaluate(point, facts, key, now)
        if self.shadow is not None:
            other = (self if chosen is self.shadow else self.shadow).evaluate(point, facts, key, now)
            if other == said:
                self.counts["hooks_shadow.same"] += 1
            else:
                self.counts["hooks_shadow.differs"] += 1
                if self.counts["hooks_shadow.differs"] <= LISTED:
                    self.log("hooks_differ", point=point, decided=repr(said), other=repr(other), key=key)
        return said, chosen.version.digest

    def swap(self, version: Version) -> None:
        """Another version from now on. What files remember stays with their names; benches start over."""
        self.log("hooks_swapped", before=self.version.digest, after=version.digest)
        self.version = version
        self.__post_init__()
        self.suspensions.clear()
        self.drop_shadow()

    def evaluate(self, point: str, facts: Mapping[str, Any], key: str, now: int) -> HookResult:
        """What all hooks of a point say together. Never raises: a hook that fails is passed over.

        Of two that contradict each other the one of higher standing holds; favours multiply, within bounds."""
        programs = self._at[point]
        if not programs:
            return HookResult()
        inputs = {name: to_value(facts[name], wanted) for name, wanted in POINTS[point].inputs.items()}
        together: HookResult | None = None
        for place, program in enumerate(programs):
            one = self._run(program, point, inputs, key, place, len(programs), now)
            if one is not None:
                together = one if together is None else _joined(together, one)
        return together or HookResult()

    def _run(
        self, program: Program, point: str, inputs: dict[str, Value], key: str, place: int, of: int, now: int
    ) -> HookResult | None:
        name = program.file.name
        suspensions = self.suspensions.get(name)
        if suspensions is None:
            suspensions = self.suspensions[name] = HookSuspensions()
        if not self.step_bucket.may_run(place, of, now):
            self.counts["hooks_passed_over.pressed"] += 1
            return None
        if not suspensions.may_run(key, now):
            self.counts["hooks_passed_over.benched"] += 1
            return None
        kept = self.states.get(name)
        if kept is None:
            kept = self.states[name] = HookState()
        view = _View(kept, now)
        budget = Budget(MAX_STEPS, MAX_MEMORY_CELLS, store=view)
        self.counts["hooks_run"] += 1
        try:
            said = parse_result(point, program.run(point, inputs, budget), self.traffic_classes)
        except (HookError, InvalidHookResult) as fault:
            self._failed(fault, name, point, key, suspensions, now)
            return None
        finally:
            self.step_bucket.spend(MAX_STEPS - max(0, budget.steps))
        suspensions.record_success(key)
        if view and (dropped := kept.apply(view, now)):
            self.counts["hooks_state_dropped"] += dropped
        return said

    def _failed(
        self,
        fault: HookError | InvalidHookResult,
        name: str,
        point: str,
        key: str,
        suspensions: HookSuspensions,
        now: int,
    ) -> None:
        what = fault.kind if isinstance(fault, HookError) else "answer"
        at = fault.position[0] if isinstance(fault, HookError) else 0
        self.counts[f"hooks_failed.{what}"] += 1
        benched = suspensions.record_failure(key, now)
        if benched:
            self.counts[f"hooks_benched.{benched}"] += 1
            self.log("hook_benched", hook=name, point=point, line=at, why=str(fault), of=benched, key=key)


def _joined(first: HookResult, then: HookResult) -> HookResult:
    """What two say together; the first has the higher standing."""
    favour = min(FAVOUR, max(1 / FAVOUR, first.favour * then.favour))
    tags = (*first.tags, *(tag for tag in then.tags if tag not in first.tags))[:MAX_TAGS]
    return HookResult(
        use_case=first.use_case or then.use_case,
        favour=favour,
        tags=tags,
        push_back=first.push_back or then.push_back,
        mark=first.mark or then.mark,
    )
