"""Decides which hooks may run now. Pure: it takes events and the time; it does no I/O and reads no clock.

Failures and cost are handled separately. A hook that *fails* is suspended: for one key (a tenant, else a traffic class)
if it fails for that key alone, for all keys if it fails for several. A hook that *costs* steps is skipped when steps
are short: all hooks share a token bucket of steps per second, and the lower the priority of a hook, the fuller the
bucket must be for it to run. Programs count their own steps, so the same input gives the same decisions on every
machine.
"""

from dataclasses import dataclass, field

# Failures are counted over this time: about a thousand dialogues at the rate of one exchange.
FAILURE_WINDOW_US = 10_000_000
# Failures of one key within the window that suspend it: one or two may be chance, or one unusual caller.
FAILURES_TO_SUSPEND = 3
# Keys suspended within the window that suspend the hook for all keys: then the cause is the hook, not the key.
KEYS_TO_SUSPEND_ALL = 3
# Doubles with each suspension that follows a failed trial, up to MAX_SUSPENSION_US.
FIRST_SUSPENSION_US = 5_000_000
# Ten minutes, so that the hook recovers without an operator soon after the cause is removed.
MAX_SUSPENSION_US = 600_000_000
MAX_KEYS = 256  # of one hook; beyond it the oldest key is dropped
# Of all hooks of one call server: about a third of a core at 5 million steps a second.
STEPS_PER_S = 2_000_000
# The share of the bucket that must be left for the hook of lowest priority to run; the first may empty the bucket.
RESERVED_SHARE = 0.5


@dataclass(slots=True)
class Suspension:
    """The failures and suspension of one hook for one key, or for all keys. After a suspension the next run is a
    trial: if it fails, the hook is suspended again at once and for twice as long; if it succeeds, the record is
    cleared."""

    failures: list[int] = field(default_factory=list)
    until: int = 0
    duration: int = FIRST_SUSPENSION_US

    def may_run(self, now: int) -> bool:
        """Whether the hook is not suspended."""
        return now >= self.until

    def record_success(self) -> None:
        """Record a run that succeeded."""
        if self.until:
            self.until, self.duration = 0, FIRST_SUSPENSION_US
            self.failures.clear()

    def record_failure(self, now: int) -> bool:
        """Record a run that failed. Returns whether this suspends the hook."""
        if self.until:
            self.duration = min(2 * self.duration, MAX_SUSPENSION_US)
            self.until = now + self.duration
            return True
        self.failures = [t for t in self.failures if now - t < FAILURE_WINDOW_US] + [now]
        if len(self.failures) < FAILURES_TO_SUSPEND:
            return False
        self.failures.clear()
        self.until = now + self.duration
        return True


@dataclass(slots=True)
class HookSuspensions:
    """The suspensions of one hook: for all keys, and by key."""

    all_keys: Suspension = field(default_factory=Suspension)
    keys: dict[str, Suspension] = field(default_factory=dict)
    suspended_at: dict[str, int] = field(default_factory=dict)

    def may_run(self, key: str, now: int) -> bool:
        """Whether the hook may run for this key."""
        suspension = self.keys.get(key)
        return self.all_keys.may_run(now) and (suspension is None or suspension.may_run(now))

    def record_success(self, key: str) -> None:
        """Record a run that succeeded for a key."""
        self.all_keys.record_success()
        suspension = self.keys.get(key)
        if suspension:
            suspension.record_success()
            if not suspension.failures:
                del self.keys[key]

    def record_failure(self, key: str, now: int) -> str:
        """Record a run that failed for a key. Returns `key` or `all` if this suspends the hook for the key or for all
        keys, else an empty string."""
        if self.all_keys.until:
            self.all_keys.record_failure(now)
            return "all"
        suspension = self.keys.get(key)
        if suspension is None:
            if len(self.keys) >= MAX_KEYS:
                del self.keys[next(iter(self.keys))]
            suspension = self.keys[key] = Suspension()
        if not suspension.record_failure(now):
            return ""
        self.suspended_at = {
            other: t for other, t in self.suspended_at.items() if now - t < FAILURE_WINDOW_US
        }
        self.suspended_at[key] = now
        if len(self.suspended_at) < KEYS_TO_SUSPEND_ALL:
            return "key"
        self.suspended_at.clear()
        self.keys.clear()
        self.all_keys.until = now + self.all_keys.duration
        return "all"


@dataclass(slots=True)
class StepBucket:
    """The token bucket of steps that all hooks share."""

    left: float = float(STEPS_PER_S)
    refilled_at: int = 0

    def may_run(self, rank: int, hooks: int, now: int) -> bool:
        """Whether the hook of this rank among so many hooks, with rank 0 the highest priority, may run."""
        self.left = min(float(STEPS_PER_S), self.left + STEPS_PER_S * (now - self.refilled_at) / 1_000_000)
        self.refilled_at = now
        needed = RESERVED_SHARE * rank / max(1, hooks - 1)
        return self.left > needed * STEPS_PER_S

    def spend(self, steps: int) -> None:
        """Charge the steps that a run has used."""
        self.left -= steps
