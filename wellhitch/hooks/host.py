"""The hooks of one call server: loads a version of all hook files, runs the hooks of each point within budgets, and
merges their results. No I/O: the caller passes in file contents and the time."""

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
from wellhitch.hooks.points import (
    MAX_FAVOUR,
    MAX_TAGS,
    POINTS,
    HookResult,
    InvalidHookResult,
    Type,
    parse_result,
)
from wellhitch.hooks.values import Budget, Duration, HookError, ListValue, Record, Value

# Of one run: a ten-line hook takes about 60 steps, and the worst program is stopped in about 2 ms.
MAX_STEPS = 5_000
MAX_MEMORY_CELLS = 5_000  # of one run
LOAD_BUDGET = 100_000  # steps, and cells, for the constants of one file and for each of its tests
MAX_STATE_KEYS = 1_000  # that one file remembers; beyond it the key that expires first is dropped


class HookState:
    """The state that one file remembers: for each key its value and expiry time."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[Value, int]] = {}

    def apply(self, changes: Mapping[str, tuple[Value, Duration]], now: int) -> int:
        """Store what a run remembered. Returns how many keys that had not expired were dropped to make room."""
        for key, (value, lifetime) in changes.items():
            self.values[key] = (value, now + int(lifetime))
        excess = len(self.values) - MAX_STATE_KEYS
        if excess <= 0:
            return 0
        for key in [key for key, (_, until) in self.values.items() if until <= now]:
            del self.values[key]
        dropped = sorted(self.values, key=lambda key: self.values[key][1])[
            : max(0, len(self.values) - MAX_STATE_KEYS)
        ]
        for key in dropped:
            del self.values[key]
        return len(dropped)


class _RunState(dict[str, tuple[Value, Duration]]):
    """State as one run sees it. The host applies its changes to the stored state only if the run succeeds."""

    def __init__(self, stored: HookState, now: int) -> None:
        super().__init__()
        self._stored, self._now = stored, now

    def get(self, key: str, default: Any = None) -> Any:
        """The value that this run wrote, else the stored value unless it has expired."""
        if key in self:
            return self[key]
        stored = self._stored.values.get(key)
        return (stored[0], Duration(0)) if stored and stored[1] > self._now else default


@dataclass(frozen=True, slots=True)
class Version:
    """All hook files of one load, the highest priority first. `digest` identifies their contents."""

    digest: str
    programs: tuple[Program, ...]

    def programs_at(self, point: str) -> tuple[Program, ...]:
        """The files that have a hook at a point, the highest priority first."""
        return tuple(program for program in self.programs if point in program.hooks)


def load_version(texts: Mapping[str, str], parser: Parser) -> Version:
    """Parse, check, compile and test all files. Their priority is the order of their names. Raises tree.InvalidHooks
    with all errors; failures of the files' own tests are among them."""
    diagnostics: list[tree.Diagnostic] = []
    programs: list[Program] = []
    for name in sorted(texts):
        try:
            file = parser.parse(texts[name], name)
            errors = check(file)
            diagnostics += errors
            if not errors:
                program = compile_file(file, Budget(LOAD_BUDGET, LOAD_BUDGET))
                diagnostics += run_tests(program)
                programs.append(program)
        except tree.InvalidHooks as invalid:
            diagnostics += invalid.diagnostics
        except HookError as error:
            diagnostics.append(tree.Diagnostic(name, error.position, f"in a constant: {error.text}"))
    if diagnostics:
        raise tree.InvalidHooks(diagnostics)
    contents = "".join(f"{name}\0{texts[name]}\0" for name in sorted(texts))
    return Version(blake3(contents.encode()).hexdigest()[:12], tuple(programs))


def run_tests(program: Program) -> list[tree.Diagnostic]:
    """Run the tests of a file. Returns one diagnostic for each that fails."""
    diagnostics = []
    for index, test in enumerate(program.file.tests):
        try:
            program.run_test(index, Budget(LOAD_BUDGET, LOAD_BUDGET))
        except HookError as error:
            diagnostics.append(
                tree.Diagnostic(program.file.name, error.position, f"test {test.title!r}: {error.text}")
            )
    return diagnostics


def to_value(fact: Any, wanted: Type) -> Value:
    """Convert a fact of the server to a value of the language, by its type at the hook point. A Record is returned
    unchanged."""
    if isinstance(fact, Record):
        return fact
    if isinstance(wanted, dict):
        return Record({name: to_value(fact[name], inner) for name, inner in wanted.items()}, 1)
    if wanted == "duration":
        return Duration(int(fact))
    if isinstance(fact, (list, tuple)):
        return ListValue(tuple(fact), 1)
    value: Value = fact
    return value


Log = Callable[..., None]
MAX_LOGGED_DIFFERENCES = 20  # between a version and its shadow; all are counted
CANARY_BUCKETS = (
    10_000  # that called numbers are hashed into: a canary's share is set in hundredths of a percent
)


def canary_bucket(called: str, digest: str) -> int:
    """The bucket of a called number, from 0 to CANARY_BUCKETS - 1. It is the same for one version at every call server,
    and drawn anew for the next version."""
    return int.from_bytes(blake3(f"{digest} {called}".encode()).digest(4), "big") % CANARY_BUCKETS


@dataclass
class Hooks:
    """The hooks in service. `shadow` is another version that runs next to it with its own state, suspensions and steps;
    its results are used only for called numbers whose bucket is below `canary` (of CANARY_BUCKETS)."""

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
        self._programs = {point: self.version.programs_at(point) for point in POINTS}

    def has_hooks(self, point: str) -> bool:
        """Whether this version or its shadow has a hook at a point; if not, its inputs need not be collected."""
        return bool(self._programs[point]) or (self.shadow is not None and self.shadow.has_hooks(point))

    def start_shadow(self, version: Version) -> None:
        """Run another version as shadow from now on. It starts with a copy of the state of this version."""
        states = {name: HookState() for name in self.states}
        for name, state in states.items():
            state.values = dict(self.states[name].values)
        self.shadow = Hooks(version, self.traffic_classes, self.log, Counter(), states)
        self.canary = 0
        self.log("hooks_shadowed", version=self.version.digest, shadow=version.digest)

    def drop_shadow(self) -> None:
        """Stop running the shadow."""
        self.shadow, self.canary = None, 0

    def deciding_for(self, called: str | None) -> "Hooks":
        """This version or its shadow, whichever decides for a called number. Both never decide for one dialogue."""
        if self.shadow is None or not self.canary or called is None:
            return self
        return self.shadow if canary_bucket(called, self.shadow.version.digest) < self.canary else self

    def consult(
        self, point: str, facts: Mapping[str, Any], key: str, now: int, called: str | None
    ) -> tuple[HookResult, str]:
        """The result of the deciding version, and that version's digest. If a shadow is set, both versions run, and
        differences are counted."""
        deciding = self.deciding_for(called)
        result = deciding.evaluate(point, facts, key, now)
        if self.shadow is not None:
            other = (self if deciding is self.shadow else self.shadow).evaluate(point, facts, key, now)
            if other == result:
                self.counts["hooks_shadow.same"] += 1
            else:
                self.counts["hooks_shadow.differs"] += 1
                if self.counts["hooks_shadow.differs"] <= MAX_LOGGED_DIFFERENCES:
                    self.log("hooks_differ", point=point, decided=repr(result), other=repr(other), key=key)
        return result, deciding.version.digest

    def swap(self, version: Version) -> None:
        """Replace the version from now on. State is kept by file name; suspensions are cleared."""
        self.log("hooks_swapped", before=self.version.digest, after=version.digest)
        self.version = version
        self.__post_init__()
        self.suspensions.clear()
        self.drop_shadow()

    def evaluate(self, point: str, facts: Mapping[str, Any], key: str, now: int) -> HookResult:
        """The merged result of all hooks of a point. Never raises: a hook that fails is skipped.

        Of two results that contradict each other the one of higher priority wins; favours multiply, within bounds."""
        programs = self._programs[point]
        if not programs:
            return HookResult()
        inputs = {name: to_value(facts[name], wanted) for name, wanted in POINTS[point].inputs.items()}
        merged: HookResult | None = None
        for rank, program in enumerate(programs):
            result = self._run(program, point, inputs, key, rank, len(programs), now)
            if result is not None:
                merged = result if merged is None else _merge(merged, result)
        return merged or HookResult()

    def _run(
        self,
        program: Program,
        point: str,
        inputs: dict[str, Value],
        key: str,
        rank: int,
        hooks: int,
        now: int,
    ) -> HookResult | None:
        name = program.file.name
        suspensions = self.suspensions.get(name)
        if suspensions is None:
            suspensions = self.suspensions[name] = HookSuspensions()
        if not self.step_bucket.may_run(rank, hooks, now):
            self.counts["hooks_passed_over.pressed"] += 1
            return None
        if not suspensions.may_run(key, now):
            self.counts["hooks_passed_over.benched"] += 1
            return None
        state = self.states.get(name)
        if state is None:
            state = self.states[name] = HookState()
        run_state = _RunState(state, now)
        budget = Budget(MAX_STEPS, MAX_MEMORY_CELLS, store=run_state)
        self.counts["hooks_run"] += 1
        try:
            result = parse_result(point, program.run(point, inputs, budget), self.traffic_classes)
        except (HookError, InvalidHookResult) as error:
            self._record_failure(error, name, point, key, suspensions, now)
            return None
        finally:
            self.step_bucket.spend(MAX_STEPS - max(0, budget.steps))
        suspensions.record_success(key)
        if run_state and (dropped := state.apply(run_state, now)):
            self.counts["hooks_state_dropped"] += dropped
        return result

    def _record_failure(
        self,
        error: HookError | InvalidHookResult,
        name: str,
        point: str,
        key: str,
        suspensions: HookSuspensions,
        now: int,
    ) -> None:
        kind = error.kind if isinstance(error, HookError) else "answer"
        line = error.position[0] if isinstance(error, HookError) else 0
        self.counts[f"hooks_failed.{kind}"] += 1
        suspended = suspensions.record_failure(key, now)
        if suspended:
            self.counts[f"hooks_benched.{suspended}"] += 1
            self.log("hook_benched", hook=name, point=point, line=line, why=str(error), of=suspended, key=key)


def _merge(first: HookResult, second: HookResult) -> HookResult:
    """Merge two results; the first has the higher priority."""
    favour = min(MAX_FAVOUR, max(1 / MAX_FAVOUR, first.favour * second.favour))
    tags = (*first.tags, *(tag for tag in second.tags if tag not in first.tags))[:MAX_TAGS]
    return HookResult(
        use_case=first.use_case or second.use_case,
        favour=favour,
        tags=tags,
        push_back=first.push_back or second.push_back,
        mark=first.mark or second.mark,
    )
