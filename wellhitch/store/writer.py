"""Group commit: which changes wait for the disk and when they are written. Pure: events and the time are passed in.

A dialogue never waits: `put` accepts a change at once. The disk gets all waiting changes as one commit when the
previous commit is done and the oldest change has waited for the linger time. A power cut would lose what is waiting or
being written; `at_risk` reports it as a number of changes and an age in us. When the disk fails, the batch is kept and
retried after doubling waits. The number of waiting changes is bounded; changes beyond it are refused and counted, never
dropped silently."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from wellhitch.store.records import Change

# Time that the oldest change waits for others: at 1,000 a second 20 go in one commit, of which the sync (0.2 ms on a
# fast disk, 5 to 10 ms on a hard disk) is then a small part.
LINGER_US = 20_000
MAX_WAITING_CHANGES = 100_000  # 100 seconds of 520 dialogues a second, two changes each, some 25 MB
# Except for a group that has more. Takes 10 ms, so that the next commit does not wait long.
MAX_CHANGES_PER_COMMIT = 5_000
INITIAL_RETRY_WAIT_US = 100_000  # before a failed commit is retried; doubles
MAX_RETRY_WAIT_US = 5_000_000  # a disk that has free space again is used within this time
SLOW_COMMIT_US = 1_000_000  # a commit that takes longer marks the disk as slow; 100 times the usual


@dataclass(slots=True)
class RefusedChanges:
    """Changes that were refused for lack of capacity, and the times of the first and last."""

    count: int = 0
    first: int = 0
    last: int = 0


@dataclass(slots=True)
class Writer:
    """Changes on their way to one disk. `fault`: `full`, `read_only`, `damaged` or `failing`; empty while the disk
    works. `held`: changes not on disk yet. `began`: start of the commit under way. `longest`: of all commits, in us."""

    linger: int = LINGER_US
    max_waiting: int = MAX_WAITING_CHANGES
    waiting: deque[tuple[Sequence[Change], int]] = field(default_factory=deque)
    writing: list[tuple[Sequence[Change], int]] = field(default_factory=list)
    held: int = 0
    began: int | None = None
    retry_at: int = 0
    wait: int = INITIAL_RETRY_WAIT_US
    fault: str = ""
    refused: RefusedChanges = field(default_factory=RefusedChanges)
    longest: int = 0

    def put(self, changes: Sequence[Change], now: int) -> bool:
        """Accept a group of changes, which are committed together. Returns False, and accepts none, if capacity is
        exceeded: they are counted as refused."""
        if self.held + len(changes) > self.max_waiting:
            for _ in changes:
                self.refuse(now)
            return False
        self.waiting.append((changes, now))
        self.held += len(changes)
        return True

    def refuse(self, now: int) -> None:
        """Count a refused change."""
        if not self.refused.count:
            self.refused.first = now
        self.refused.count += 1
        self.refused.last = now

    def due(self, now: int) -> int | None:
        """Time in us until a commit should begin; None while one is under way or nothing waits."""
        if self.began is not None or not self.held:
            return None
        if self.writing:
            return max(0, self.retry_at - now)
        if self.held >= MAX_CHANGES_PER_COMMIT:
            return 0
        return max(0, self.waiting[0][1] + self.linger - now)

    def begin(self, now: int) -> list[Change]:
        """The changes of the next commit, in order of arrival. A failed batch is repeated unchanged: its commit may
        have reached the disk despite the error, and putting the same records twice is harmless."""
        assert self.began is None
        count = 0
        while self.waiting and not self.fault and count < MAX_CHANGES_PER_COMMIT:
            # Groups are never divided between two commits: their changes are consistent only together.
            group = self.waiting.popleft()
            self.writing.append(group)
            count += len(group[0])
        self.began = now
        return [change for group, _ in self.writing for change in group]

    def committed(self, now: int) -> int:
        """The commit is on disk; returns the number of its changes."""
        count = sum(len(group) for group, _ in self.writing)
        self.held -= count
        self.longest = max(self.longest, now - (self.began or now))
        self.writing, self.began = [], None
        self.fault, self.wait = "", INITIAL_RETRY_WAIT_US
        return count

    def failed(self, fault: str, now: int) -> None:
        """The commit failed."""
        self.began = None
        self.fault = fault
        self.retry_at = now + self.wait
        self.wait = min(2 * self.wait, MAX_RETRY_WAIT_US)

    def condition(self, now: int) -> str:
        """`well`, `slow`, or the fault."""
        if self.fault:
            return self.fault
        return "slow" if self.began is not None and now - self.began > SLOW_COMMIT_US else "well"

    def at_risk(self, now: int) -> tuple[int, int]:
        """What a power cut would lose now: the number of changes, and the age of the oldest in us."""
        oldest = self.writing[0][1] if self.writing else self.waiting[0][1] if self.waiting else now
        return self.held, now - oldest

    def take_refused(self) -> RefusedChanges:
        """The changes refused since the last call, once there is capacity to record that; until then none."""
        if not self.refused.count or self.held >= self.max_waiting:
            return RefusedChanges()
        taken, self.refused = self.refused, RefusedChanges()
        return taken
