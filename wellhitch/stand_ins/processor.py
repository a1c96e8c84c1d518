"""The single-server queue of an office: FIFO order, a bounded wait, a cold start, and failure by overload while cold.

Work is measured in set-ups: 1.0 is the work of one set-up, which takes `setup_us` on a warm processor.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from wellhitch.net.transport import now_us


@dataclass(frozen=True, slots=True)
class WorkCosts:
    """The cost of the steps of a dialogue, in set-ups."""

    lookup: float = 0.2
    reject: float = 0.2
    follow_up: float = 0.35
    peer_message: float = 0.1


@dataclass(frozen=True, slots=True)
class ColdStart:
    """The cold start of a new processor: its initial share of capacity, when it is warm, and the multiple of its
    current capacity which, if exceeded over the window, makes it fail permanently."""

    initial_share: float
    warm_after_us: int
    multiple: float
    window_us: int


@dataclass(slots=True, eq=False)
class Job:
    """A queued piece of work."""

    work: float
    done: Callable[[], None]
    dropped: bool = False
    started: bool = False


class Processor:
    """A single server with a queue, and a second queue served first if `finish_first` is set."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        setup_us: float,
        queue_us: int,
        cold_start: ColdStart,
        started: int | None,
        finish_first: bool,
        on_overload: Callable[[], None],
        work_factor: Callable[[], float] | None = None,
    ) -> None:
        self.loop, self.setup_us, self.queue_us, self.cold_start = loop, setup_us, queue_us, cold_start
        self.started, self.finish_first, self.on_overload = started, finish_first, on_overload
        self.work_factor = work_factor
        self.slowdown = 1.0  # the product of all slowdown faults
        self.hung = False
        self.dead = False
        self._queue: deque[Job] = deque()
        self._priority_queue: deque[Job] = deque()
        self._queued_work = 0.0
        self._busy_until = 0
        self._busy = False
        self._recent_setups: deque[tuple[int, float]] = deque()
        self._recent_work = 0.0

    def capacity_share(self, now: int) -> float:
        """The share of its full capacity available now."""
        if self.started is None or now - self.started >= self.cold_start.warm_after_us:
            return 1.0
        return (
            self.cold_start.initial_share
            + (1 - self.cold_start.initial_share) * max(0, now - self.started) / self.cold_start.warm_after_us
        )

    def unit_us(self, now: int) -> float:
        """The processing time of one set-up now."""
        return self.setup_us * self.slowdown / self.capacity_share(now)

    def wait(self, now: int) -> int:
        """The waiting time of new work, in us."""
        return int(max(0, self._busy_until - now) + self._queued_work * self.unit_us(now))

    def is_full(self, now: int) -> bool:
        """Whether set-ups are rejected because the wait exceeds its bound."""
        return self.wait(now) > self.queue_us

    def submit(self, work: float, done: Callable[[], None], ahead: bool = False) -> Job:
        """Queue work. `ahead`: before all set-ups, if this processor finishes dialogues first."""
        job = Job(work, done)
        if self.dead:
            return job
        (self._priority_queue if ahead and self.finish_first else self._queue).append(job)
        self._queued_work += work
        self._start_next()
        return job

    def drop(self, job: Job) -> None:
        """Drop a job that has not started: it is removed without cost when its turn comes."""
        if not job.dropped and not job.started:
            job.dropped = True
            self._queued_work -= job.work

    def _start_next(self) -> None:
        if self._busy or self.hung or self.dead:
            return
        job = None
        while job is None or job.dropped:
            queue = self._priority_queue or self._queue
            if not queue:
                self._queued_work = 0.0
                return
            job = queue.popleft()
        job.started = True
        self._queued_work -= job.work
        now = now_us(self.loop)
        duration_us = job.work * self.unit_us(now) * (self.work_factor() if self.work_factor else 1.0)
        self._busy, self._busy_until = True, int(now + duration_us)
        self.loop.call_later(duration_us / 1e6, self._finish, job)

    def _finish(self, job: Job) -> None:
        self._busy = False
        if self.dead:
            return
        if not self.hung:
            job.done()
        self._start_next()

    def resume(self) -> None:
        """Continue after a hang. Queued work is lost, as its senders have abandoned it."""
        self.hung = False
        self._queue.clear()
        self._priority_queue.clear()
        self._queued_work = 0.0
        self._start_next()

    def count_setup(self, work: float, now: int) -> None:
        """Account for arriving set-up work; too much of it while cold makes the processor fail permanently."""
        if self.dead or self.capacity_share(now) >= 1.0:
            return
        self._recent_setups.append((now, work))
        self._recent_work += work
        while self._recent_setups and self._recent_setups[0][0] <= now - self.cold_start.window_us:
            self._recent_work -= self._recent_setups.popleft()[1]
        if self._recent_work > allowed_work(self.cold_start, self.capacity_share(now), self.setup_us):
            self.dead = True
            self.on_overload()


COLD_SLACK = 2.0  # set-ups beyond the budget that may coincide by chance


def allowed_work(cold_start: ColdStart, share: float, setup_us: float) -> float:
    """The set-up work that a cold processor withstands over the window, at its current share of capacity."""
    return cold_start.multiple * share * cold_start.window_us / setup_us + COLD_SLACK
