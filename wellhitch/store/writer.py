"""What waits for the disk, and when it goes: group commit. Pure: takes what happened and now.

A dialogue never waits: `put` takes a change at once, and the disk gets all that waits as one commit when the one
before is done and the oldest has lingered. What a power cut would lose is what waits and what is being written:
`at_risk` tells it in changes and us. A disk that fails keeps its batch, which is tried again after doubling waits;
what waits is bounded, and what comes beyond is refused and counted, never silently dropped."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from wellhitch.store.records import Change

LINGER_US = (
    20_000  # us that the oldest change waits for company: at 1,000 a second 20 go in one commit, whose sync
)
# (0.2 ms here, 5 to 10 ms on a turning disk) is then a small part
MAX_WAITING_CHANGES = (
    100_000  # changes; a hundred seconds of 520 dialogues a second, two changes each, some 25 MB
)
MAX_CHANGES_PER_COMMIT = (
    5_000  # changes of a commit, but for a group that has more; ten ms of work here, so that what follows
)
# does not wait long
INITIAL_RETRY_WAIT_US = 100_000  # us before a failed commit is tried again, doubling
MAX_RETRY_WAIT_US = 5_000_000  # us: a disk with room again is used within that
SLOW_COMMIT_US = (
    1_000_000  # us that a commit may take before the disk is called slow; a hundred times the usual
)


@dataclass(slots=True)
class RefusedChanges:
    """Changes that found no room, as one stretch of time."""

    count: int = 0
    first: int = 0
    last: int = 0


@dataclass(slots=True)
class Writer:
    """Changes on their way to one disk. `trouble` names what the disk suffers from, empty where it is well:
    `full`, `read_only`, `damaged`, `failing`."""

    linger: int = LINGER_US
    max_waiting: int = MAX_WAITING_CHANGES
    waiting: deque[tuple[Sequence[Change], int]] = field(default_factory=deque)
    writing: list[tuple[Sequence[Change], int]] = field(default_factory=list)
    held: int = 0  # changes not on disk yet
    began: int | None = None
    retry_at: int = 0
    wait: int = INITIAL_RETRY_WAIT_US
    fault: str = ""
    refused: RefusedChanges = field(default_factory=RefusedChanges)
    longest: int = 0

    def put(self, changes: Sequence[Change], now: int) -> bool:
        """Take a group of changes, which go in one commit; False, and none is taken, where there is no room: they are
        counted among the refused."""
        if self.held + len(changes) > self.max_waiting:
            for _ in changes:
                self.refuse(now)
            return False
        self.waiting.append((changes, now))
        self.held += len(changes)
        return True

    def refuse(self, now: int) -> None:
        """Count a change that found no room."""
        if not self.refused.count:
            self.refused.first = now
        self.refused.count += 1
        self.refused.last = now

    def due(self, now: int) -> int | None:
        """us until a commit should begin; None while one is under way or nothing waits."""
        if self.began is not None or not self.held:
            return None
        if self.writing:
            return max(0, self.retry_at - now)
        if self.held >= MAX_CHANGES_PER_COMMIT:
            return 0
        return max(0, self.waiting[0][1] + self.linger - now)

    def begin(self, now: int) -> list[Change]:
        """The changes of the next commit, in the order they came. A batch that failed comes again as it was: its
        commit may have reached the disk although that said otherwise, and the same put twice does no harm."""
        assert self.began is None
        count = 0
        while self.waiting and not self.fault and count < MAX_CHANGES_PER_COMMIT:
            # Groups are never parted: half of what belongs together is worth nothing.
            group = self.waiting.popleft()
            self.writing.append(group)
            count += len(group[0])
        self.began = now
        return [change for group, _ in self.writing for change in group]

    def committed(self, now: int) -> int:
        """The commit is on disk; returns how many changes that were."""
        done = sum(len(group) for group, _ in self.writing)
        self.held -= done
        self.longest = max(self.longest, now - (self.began or now))
        self.writing, self.began = [], None
        self.fault, self.wait = "", INITIAL_RETRY_WAIT_US
        return done

    def failed(self, fault: str, now: int) -> None:
        """The disk did not take the commit."""
        self.began = None
        self.fault = fault
        self.retry_at = now + self.wait
        self.wait = min(2 * self.wait, MAX_RETRY_WAIT_US)

    def condition(self, now: int) -> str:
        """`well`, `slow`, or the trouble."""
        if self.fault:
            return self.fault
        return "slow" if self.began is not None and now - self.began > SLOW_COMMIT_US else "well"

    def at_risk(self, now: int) -> tuple[int, int]:
        """What a power cut now would lose: changes, and the age of the oldest in us."""
        oldest = self.writing[0][1] if self.writing else self.waiting[0][1] if self.waiting else now
        return self.held, now - oldest

    def take_refused(self) -> RefusedChanges:
        """What was refused since this was last asked, where there is room again to say so; else nothing."""
        if not self.refused.count or self.held >= self.max_waiting:
            return RefusedChanges()
        told, self.refused = self.refused, RefusedChanges()
        return told
