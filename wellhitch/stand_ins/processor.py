"""The one-line processor of an office: work in order of arrival, a bounded wait, a cold start, falling over.

WorkCosts is counted in set-ups: 1.0 is the work of one set-up, which takes `setup_us` on a warm processor.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from wellhitch.net.transport import now_us


@dataclass(frozen=True, slots=True)
class WorkCosts:
    """What a dialogue costs, in set-ups."""

    look: float = 0.2
    reject: float = 0.2
    follow: float = 0.35
    word: float = 0.1


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How a fresh processor starts: its first share of capacity, when it is warm (us), and the multiple of
    present capacity that over the window (us) makes it fall over for good."""

    share: float
    warm_after: int
    multiple: float
    window: int


@dataclass(slots=True, eq=False)
class Job:
    """A piece of work in line."""

    work: float
    done: Callable[[], None]
    dropped: bool = False
    begun: bool = False


class Processor:
    """One line of work."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        setup_us: float,
        queue_us: int,
        cold: ColdStart,
        started: int | None,
        finish_first: bool,
        fell: Callable[[], None],
        drawn: Callable[[], float] | None = None,
    ) -> None:
        self.loop, self.setup_us, self.queue_us, self.cold = loop, setup_us, queue_us, cold
        self.started, self.finish_first, self.fell = started, finish_first, fell
        self.drawn = drawn
        self.slow = 1.0  # times slower, by all troubles together
        self.hung = False
        self.dead = False
        self._line: deque[Job] = deque()
        self._ahead: deque[Job] = deque()
        self._work_waiting = 0.0
        self._running_until = 0
        self._running = False
        self._sent: deque[tuple[int, float]] = deque()
        self._sent_work = 0.0

    def share(self, now: int) -> float:
        """Share of its capacity that it has now."""
        if self.started is None or now - self.started >= self.cold.warm_after:
            return 1.0
        return self.cold.share + (1 - self.cold.share) * max(0, now - self.started) / self.cold.warm_after

    def unit_us(self, now: int) -> float:
        """How long one set-up takes now."""
        return self.setup_us * self.slow / self.share(now)

    def wait(self, now: int) -> int:
        """How long new work would wait, in us."""
        return int(max(0, self._running_until - now) + self._work_waiting * self.unit_us(now))

    def full(self, now: int) -> bool:
        """Whether it turns set-ups away."""
        return self.wait(now) > self.queue_us

    def submit(self, work: float, done: Callable[[], None], ahead: bool = False) -> Job:
        """Put work in line; `ahead`: before all set-ups where this processor finishes first."""
        job = Job(work, done)
        if self.dead:
            return job
        (self._ahead if ahead and self.finish_first else self._line).append(job)
        self._work_waiting += work
        self._next()
        return job

    def drop(self, job: Job) -> None:
        """Forget a job that has not begun: it leaves the line when its turn comes, at no cost."""
        if not job.dropped and not job.begun:
            job.dropped = True
            self._work_waiting -= job.work

    def _next(self) -> None:
        if self._running or self.hung or self.dead:
            return
        job = None
        while job is None or job.dropped:
            line = self._ahead or self._line
            if not line:
                self._work_waiting = 0.0
                return
            job = line.popleft()
        job.begun = True
        self._work_waiting -= job.work
        now = now_us(self.loop)
        took = job.work * self.unit_us(now) * (self.drawn() if self.drawn else 1.0)
        self._running, self._running_until = True, int(now + took)
        self.loop.call_later(took / 1e6, self._finish, job)

    def _finish(self, job: Job) -> None:
        self._running = False
        if self.dead:
            return
        if not self.hung:
            job.done()
        self._next()

    def resume(self) -> None:
        """After a hang: what lay in line is lost, as its senders have given it up."""
        self.hung = False
        self._line.clear()
        self._ahead.clear()
        self._work_waiting = 0.0
        self._next()

    def pressed(self, work: float, now: int) -> None:
        """Set-up work has reached it; too much while it is cold, and it falls over for good."""
        if self.dead or self.share(now) >= 1.0:
            return
        self._sent.append((now, work))
        self._sent_work += work
        while self._sent and self._sent[0][0] <= now - self.cold.window:
            self._sent_work -= self._sent.popleft()[1]
        if self._sent_work > allowed_work(self.cold, self.share(now), self.setup_us):
            self.dead = True
            self.fell()


COLD_SLACK = 2.0  # set-ups beyond the budget that chance alone may bring together


def allowed_work(cold: ColdStart, share: float, setup_us: float) -> float:
    """Set-up work that a cold processor bears over the window, at its share of capacity now."""
    return cold.multiple * share * cold.window / setup_us + COLD_SLACK
