"""Runs a store on an event loop: changes are accepted at once, commits and maintenance run on the disk one at a time,
and callers are notified when their changes are durable."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from wellhitch.net.transport import now_us
from wellhitch.store.engine import Engine, ScrubProgress, StoreError
from wellhitch.store.maintenance import SCRUB_STEP_RECORDS, Maintenance
from wellhitch.store.records import Change, DamagedRecord
from wellhitch.store.writer import LINGER_US, MAX_WAITING_CHANGES, RefusedChanges, Writer

# At most one step each time, which keeps maintenance within PAGES_PER_S.
MAINTENANCE_INTERVAL_S = 0.2
OPEN_RETRY_US = 5_000_000  # until opening a store that could not be opened is retried


class Disk(Protocol):
    """A place for files. Work runs off the loop, one piece at a time; `done` is called on the loop."""

    def open(self, name: str) -> Engine:
        """Open a store exclusively for this process. Raises StoreError: `in_use` if another process has it open."""

    def run(self, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """Do work that may block, in the order requested; `done` gets its result or a StoreError."""

    def read_concurrently(
        self, engine: Engine, work: Callable[[Engine], Any], done: Callable[[Any], None]
    ) -> None:
        """Read on a separate connection, concurrently with `run`."""


@dataclass(frozen=True, slots=True)
class StoreCondition:
    """The state of a store, what a power cut would lose now, and the numbers of refused changes and damaged records."""

    state: str
    changes_at_risk: int
    us_at_risk: int
    refused: int
    damaged: int


class StoreService:
    """One store on an event loop. `log` takes an event and its fields."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        disk: Disk,
        name: str,
        log: Callable[..., None],
        linger: int = LINGER_US,
        max_waiting: int = MAX_WAITING_CHANGES,
    ) -> None:
        self.loop, self.disk, self.name, self.write_log = loop, disk, name, log
        self.writer, self.maintenance = Writer(linger, max_waiting), Maintenance()
        self.counts: Counter[str] = Counter()
        self.engine: Engine | None = None
        self.damage: list[DamagedRecord] = []
        self._durable_callbacks: deque[tuple[int, Callable[[], None]]] = deque()
        self._put_count = self._durable_count = 0
        self._scrub = ScrubProgress()
        self._snapshot_to = ""
        self._snapshot_done: Callable[[str], None] | None = None
        self._commit_timer: asyncio.TimerHandle | None = None
        self._maintaining = self._closing = False
        self._open_error_kind = ""
        self._read_first: Callable[[Engine], Any] = lambda engine: None
        self._ready: Callable[[Any], None] = lambda result: None
        self._logged_state = "well"
        self._maintenance_timer: asyncio.TimerHandle | None = None

    def now(self) -> int:
        """The loop's time in us."""
        return now_us(self.loop)

    # -- opening --

    def open(self, read: Callable[[Engine], Any], ready: Callable[[Any], None]) -> None:
        """Open the file. `read` runs on the disk and reads the stored state, `ready` gets its result on the loop. If
        the file cannot be opened, that is logged and retried; changes wait meanwhile as for a failing disk."""
        self._read_first, self._ready = read, ready
        self._try_open()
        self._maintenance_timer = self.loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)

    def _try_open(self) -> None:
        if self._closing:
            return

        def work() -> tuple[Engine, Any]:
            engine = self.disk.open(self.name)
            try:
                return engine, self._read_first(engine)
            except (
                Exception
            ):  # such as a damaged record; if left open, the next attempt would find the file in use
                engine.close()
                raise

        self._run(work, self._opened)

    def _opened(self, result: Any) -> None:
        if isinstance(result, StoreError):
            self._open_error_kind = result.kind
            self.counts["store_not_opened"] += 1
            self.write_log("store_not_opened", name=self.name, trouble=result.kind, why=str(result))
            self.loop.call_later(OPEN_RETRY_US / 1e6, self._try_open)
            return
        self.engine, self._open_error_kind = result[0], ""
        self.write_log("store_opened", name=self.name)
        self._ready(result[1])
        self._schedule_commit()

    # -- writing --

    def put(self, changes: Sequence[Change], durable: Callable[[], None] | None = None) -> bool:
        """Accept changes. Returns False, and accepts none, if capacity is exceeded. `durable` is called on the loop
        once all are on disk."""
        now = self.now()
        if not self.writer.put(changes, now):
            return False
        self._put_count += len(changes)
        if durable:
            self._durable_callbacks.append((self._put_count, durable))
        self._schedule_commit()
        return True

    def has_capacity(self, changes: int) -> bool:
        """Whether this number of changes would be accepted now."""
        return self.writer.held + changes <= self.writer.max_waiting

    def count_refused(self) -> None:
        """Count a change that the caller dropped for lack of capacity."""
        self.writer.refuse(self.now())

    def take_refused(self) -> RefusedChanges:
        """See `Writer.take_refused`."""
        return self.writer.take_refused()

    def _schedule_commit(self) -> None:
        if self._commit_timer or self.engine is None or self._closing:
            return
        due = self.writer.due(self.now())
        if due is not None:
            self._commit_timer = self.loop.call_later(due / 1e6, self._commit)

    def _commit(self) -> None:
        self._commit_timer = None
        engine = self.engine
        if engine is None or self.writer.began is not None or not self.writer.held:
            return
        batch = self.writer.begin(self.now())

        def done(result: Any) -> None:
            if isinstance(result, StoreError):
                self.counts[f"store_failed.{result.kind}"] += 1
                self.writer.failed(result.kind, self.now())
            else:
                self._durable_count += self.writer.committed(self.now())
                while self._durable_callbacks and self._durable_callbacks[0][0] <= self._durable_count:
                    self._durable_callbacks.popleft()[1]()
            self._log_condition()
            self._schedule_commit()

        self._run(lambda: engine.commit(batch), done)

    # -- maintenance --

    def _maintain(self) -> None:
        """Run one step of maintenance, unless one is still running."""
        if self._closing:
            return
        self._maintenance_timer = self.loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)
        self._log_condition()
        engine = self.engine
        if engine is None or self._maintaining:
            return
        self._maintaining = True
        now, delayed = self.now(), self.writer.at_risk(self.now())[1] > 10 * self.writer.linger

        def work() -> Any:
            step = self.maintenance.next(engine.sizes(), delayed, now)
            if step == "checkpoint":
                engine.checkpoint()
            elif step == "vacuum":
                engine.vacuum()
            elif step == "snapshot":
                return step, engine.snapshot(self._snapshot_to)
            elif step == "scrub":
                return step, engine.scrub(self._scrub, SCRUB_STEP_RECORDS)
            return step, None

        def done(result: Any) -> None:
            self._maintaining = False
            if isinstance(result, StoreError):
                self.counts["store_upkeep_failed"] += 1
                if self.maintenance.snapshot:
                    self._snapshot_ended(str(result))
                return
            step, step_result = result
            if step:
                self.counts[f"store_upkeep.{step}"] += 1
            if step == "snapshot" and step_result:
                self._snapshot_ended("")
            elif step == "scrub":
                self._scrubbed(step_result)

        self._run(work, done)

    def _scrubbed(self, damaged: list[DamagedRecord] | None) -> None:
        if damaged is None:
            self.write_log("store_scrubbed", records=self._scrub.records, damaged=self._scrub.damage)
            self._scrub = ScrubProgress()
            self.maintenance.scrubbed(self.now())
            # Runs concurrently with commits, since it reads the whole file in one step.
            self.read_concurrently(lambda engine: engine.check(), self._checked)
            return
        for record in damaged:
            self.counts["store_damaged"] += 1
            self.damage.append(record)
            self.write_log("store_damaged", shelf=record.bucket, key=record.key.hex(), why=record.why)

    def _checked(self, result: Any) -> None:
        for why in [str(result)] if isinstance(result, StoreError) else result:
            self.counts["store_damaged"] += 1
            self.write_log("store_damaged", shelf="", key="", why=why)

    def snapshot(self, to: str, done: Callable[[str], None]) -> None:
        """Copy the store into another file in the same folder, step by step; `done` gets an error message, or an empty
        string on success."""
        if self.maintenance.snapshot:
            done("another snapshot is being made")
            return
        self._snapshot_to, self._snapshot_done = to, done
        self.maintenance.snapshot = True

    def _snapshot_ended(self, why: str) -> None:
        self.maintenance.snapshot = False
        done, self._snapshot_done = self._snapshot_done, None
        if done:
            done(why)

    # -- reading --

    def read(self, work: Callable[[Engine], Any], done: Callable[[Any], None]) -> None:
        """Read on the disk, after all commits that are under way; `done` gets the result or a StoreError."""
        engine = self.engine
        if engine is None:
            self.loop.call_soon(
                done, StoreError(self._open_error_kind or "failing", f"store {self.name} is not open")
            )
            return
        self._run(lambda: work(engine), done)

    def read_concurrently(self, work: Callable[[Engine], Any], done: Callable[[Any], None]) -> None:
        """Read large amounts concurrently with commits. Changes that wait to be committed may be missing."""
        engine = self.engine
        if engine is None:
            self.loop.call_soon(
                done, StoreError(self._open_error_kind or "failing", f"store {self.name} is not open")
            )
            return
        self.disk.read_concurrently(engine, work, lambda result: None if self._closing else done(result))

    def run(self, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """Do other blocking work on the same disk."""
        self._run(work, done)

    def condition(self) -> StoreCondition:
        """The store's current condition."""
        changes, age = self.writer.at_risk(self.now())
        state = self._open_error_kind or self.writer.condition(self.now())
        return StoreCondition(state, changes, age, self.writer.refused.count, self.counts["store_damaged"])

    def _log_condition(self) -> None:
        state = self.condition().state
        if state != self._logged_state:
            self.write_log("store_condition", name=self.name, before=self._logged_state, now=state)
            self._logged_state = state

    def _run(self, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        self.disk.run(work, lambda result: None if self._closing else done(result))

    # -- closing --

    def close(self, closed: Callable[[], None] | None = None) -> None:
        """Commit waiting changes once and close; changes that the disk does not accept are lost, and logged."""
        if self._closing:
            return
        self._halt()
        engine, batches = self.engine, []
        if self.writer.writing:
            # Under way or failed: putting these changes again unchanged is harmless.
            batches.append([change for group, _ in self.writer.writing for change in group])
        batches.append([change for group, _ in self.writer.waiting for change in group])

        def work() -> None:
            if engine is None:
                raise StoreError("failing", f"store {self.name} is not open")
            try:
                for batch in batches:
                    engine.commit(batch)
            finally:
                engine.close()

        def done(result: Any) -> None:
            if isinstance(result, StoreError) and any(batches):
                self.write_log("store_lost", name=self.name, changes=sum(map(len, batches)), why=str(result))
            if closed:
                closed()

        self.disk.run(work, done)

    def kill(self) -> None:
        """Stop at once, as a killed process does: waiting changes are lost and the file is left as it is."""
        self._halt()
        engine, self.engine = self.engine, None
        if engine:
            self.disk.run(engine.close, lambda result: None)

    def _halt(self) -> None:
        self._closing = True
        for timer in (self._commit_timer, self._maintenance_timer):
            if timer:
                timer.cancel()
