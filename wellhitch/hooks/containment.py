"""Which hooks may run now. Pure: what happened and when goes in, a yes or no comes out; no I/O, no clock.

Two things are held apart. A hook that *fails* is benched: for one key (a tenant, else a use case) where that key alone
makes it fail, for all where several do. A hook that *costs* is passed over when steps are short: all hooks share a
bucket of steps a second, and the lower a hook's standing, the fuller the bucket must be for it to run. StepBucket are
counted by the programs themselves, so the same day gives the same answers on every machine.
"""

from dataclasses import dataclass, field

FAILURE_WINDOW_US = (
    10_000_000  # us in which failures are counted: some thousand dialogues at the rate of one exchange
)
FAILURES_TO_SUSPEND = 3  # of one key within the window: one or two are chance, or one odd caller
KEYS_TO_SUSPEND_ALL = (
    3  # benched keys within the window, and the hook is benched for all: it is the hook, not the key
)
FIRST_SUSPENSION_US = 5_000_000  # us; doubles with each bench that follows a failed trial, to the longest
MAX_SUSPENSION_US = 600_000_000  # us; ten minutes, so that a mended cause is found without anybody's doing
MAX_KEYS = 256  # of one hook; beyond it the oldest is forgotten
STEPS_PER_S = (
    2_000_000  # of all hooks of one call server: about a third of a core at 5 million steps a second
)
RESERVED_SHARE = (
    0.5  # of the bucket: the lowest hook runs only while so much is left, the first down to nothing
)


@dataclass(slots=True)
class Suspension:
    """One hook's record for one key, or for all. After a bench the next run is a trial: a failure benches it again
    at once and for twice as long, a run that ends well clears the record."""

    failures: list[int] = field(default_factory=list)
    until: int = 0
    span: int = FIRST_SUSPENSION_US

    def may_run(self, now: int) -> bool:
        """Whether it may run."""
        return now >= self.until

    def record_success(self) -> None:
        """A run ended well."""
        if self.until:
            self.until, self.span = 0, FIRST_SUSPENSION_US
            self.failures.clear()

    def record_failure(self, now: int) -> bool:
        """A run failed; whether this benches it."""
        if self.until:
            self.span = min(2 * self.span, MAX_SUSPENSION_US)
            self.until = now + self.span
            return True
        self.failures = [t for t in self.failures if now - t < FAILURE_WINDOW_US] + [now]
        if len(self.failures) < FAILURES_TO_SUSPEND:
            return False
        self.failures.clear()
        self.until = now + self.span
        return True


@dataclass(slots=True)
class HookSuspensions:
    """All benches of one hook."""

    all_keys: Suspension = field(default_factory=Suspension)
    keys: dict[str, Suspension] = field(default_factory=dict)
    suspended_at: dict[str, int] = field(default_factory=dict)

    def may_run(self, key: str, now: int) -> bool:
        """Whether the hook may run for this key."""
        bench = self.keys.get(key)
        return self.all_keys.may_run(now) and (bench is None or bench.may_run(now))

    def record_success(self, key: str) -> None:
        """A run ended well."""
        self.all_keys.record_success()
        bench = self.keys.get(key)
        if bench:
            bench.record_success()
            if not bench.failures:
                del self.keys[key]

    def record_failure(self, key: str, now: int) -> str:
        """A run failed; tells `key` or `all` where this benches it for one key or for all, else nothing."""
        if self.all_keys.until:
            self.all_keys.record_failure(now)
            return "all"
        bench = self.keys.get(key)
        if bench is None:
            if len(self.keys) >= MAX_KEYS:
                del self.keys[next(iter(self.keys))]
            bench = self.keys[key] = Suspension()
        if not bench.record_failure(now):
            return ""
        self.suspended_at = {one: t for one, t in self.suspended_at.items() if now - t < FAILURE_WINDOW_US}
        self.suspended_at[key] = now
        if len(self.suspended_at) < KEYS_TO_SUSPEND_ALL:
            return "key"
        self.suspended_at.clear()
        self.keys.clear()
        self.all_keys.until = now + self.all_keys.span
        return "all"


@dataclass(slots=True)
class StepBucket:
    """The bucket of steps that all hooks share."""

    left: float = float(STEPS_PER_S)
    at: int = 0

    def may_run(self, place: int, of: int, now: int) -> bool:
        """Whether the hook at `place` of `of`, 0 the highest, may run."""
        self.left = min(float(STEPS_PER_S), self.left + STEPS_PER_S * (now - self.at) / 1_000_000)
        self.at = now
        needed = RESERVED_SHARE * place / max(1, of - 1)
        return self.left > needed * STEPS_PER_S

    def spend(self, steps: int) -> None:
        """A run has cost so much."""
        self.left -= steps
