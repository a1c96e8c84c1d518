"""Joins a loop, a disk and the store's decisions: changes are taken at once, commits and upkeep run on the disk one at
a time, and whoever asks is told when what it put is safe."""

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

UPKEEP_EVERY = (
    0.2  # s between looks at what upkeep is due: one piece each, so at most PAGES_PER_S and no more
)
OPEN_AGAIN = 5_000_000  # us after which a store that could not be opened is tried again


class Disk(Protocol):
    """Where files lie. One piece of work at a time, off the loop; `done` is called on the loop."""

    def open(self, name: str) -> Engine:
        """Open a store for this process alone. Raises StoreFault: `in_use` where another has it."""

    def run(self, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """Do work that may block, in the order asked; `done` gets its result, or the StoreFault it raised."""

    def read_concurrently(
        self, engine: Engine, work: Callable[[Engine], Any], done: Callable[[Any], None]
    ) -> None:
        """Read on a connection of its own, beside `run`."""


@dataclass(frozen=True, slots=True)
class StoreCondition:
    """What the store says of itself: its state, what a power cut would lose now, what it had to refuse."""

    state: str
    changes_at_risk: int
    us_at_risk: int
    refused: int
    damaged: int


class StoreService:
    """One store in service. `log` takes an event with facts."""

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
        self.writer, self.upkeep = Writer(linger, max_waiting), Maintenance()
        self.counts: Counter[str] = Counter()
        self.engine: Engine | None = None
        self.damage: list[DamagedRecord] = []
        self._safe: deque[tuple[int, Callable[[], None]]] = deque()
        self._put_count = self._safe_count = 0
        self._scrub = ScrubProgress()
        self._snapshot_to = ""
        self._snapshot_done: Callable[[str], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._busy = self._closing = False
        self._open_error_kind = ""
        self._read_first: Callable[[Engine], Any] = lambda engine: None
        self._ready: Callable[[Any], None] = lambda found: None
        self._said = "well"
        self._looking: asyncio.TimerHandle | None = None

    def now(self) -> int:
        """The loop's time in us."""
        return now_us(self.loop)

    # -- opening --

    def open(self, read: Callable[[Engine], Any], ready: Callable[[Any], None]) -> None:
        """Open the file; `read` runs on the disk and reads what is there, `ready` gets that on the loop. Where it
        cannot be opened, that is logged and tried again; changes wait meanwhile as for a failing disk."""
        self._read_first, self._ready = read, ready
        self._try_open()
        self._looking = self.loop.call_later(UPKEEP_EVERY, self._look)

    def _try_open(self) -> None:
        if self._closing:
            return

        def work() -> tuple[Engine, Any]:
            engine = self.disk.open(self.name)
            try:
                return engine, self._read_first(engine)
            except Exception:  # a damaged record, say: closed again, or the next try finds the file in use
                engine.close()
                raise

        self._run(work, self._is_open)

    def _is_open(self, found: Any) -> None:
        if isinstance(found, StoreError):
            self._open_error_kind = found.kind
            self.counts["store_not_opened"] += 1
            self.write_log("store_not_opened", name=self.name, trouble=found.kind, why=str(found))
            self.loop.call_later(OPEN_AGAIN / 1e6, self._try_open)
            return
        self.engine, self._open_error_kind = found[0], ""
        self.write_log("store_opened", name=self.name)
        self._ready(found[1])
        self._arm()

    # -- writing --

    def put(self, changes: Sequence[Change], safe: Callable[[], None] | None = None) -> bool:
        """Take changes; False, and none is taken, where there is no room. `safe` is called on the loop once all are
        on disk."""
        now = self.now()
        if not self.writer.put(changes, now):
            return False
        self._put_count += len(changes)
        if safe:
            self._safe.append((self._put_count, safe))
        self._arm()
        return True

    def has_capacity(self, changes: int) -> bool:
        """Whether so many changes would be taken now."""
        return self.writer.held + changes <= self.writer.max_waiting

    def count_refused(self) -> None:
        """Count something that found no room."""
        self.writer.refuse(self.now())

    def take_refused(self) -> RefusedChanges:
        """As `Writer.take_refused`."""
        return self.writer.take_refused()

    def _arm(self) -> None:
        if self._timer or self.engine is None or self._closing:
            return
        due = self.writer.due(self.now())
        if due is not None:
            self._timer = self.loop.call_later(due / 1e6, self._commit)

    def _commit(self) -> None:
        self._timer = None
        engine = self.engine
        if engine is None or self.writer.began is not None or not self.writer.held:
            return
        batch = self.writer.begin(self.now())

        def done(found: Any) -> None:
            if isinstance(found, StoreError):
                self.counts[f"store_failed.{found.kind}"] += 1
                self.writer.failed(found.kind, self.now())
            else:
                self._safe_count += self.writer.committed(self.now())
                while self._safe and self._safe[0][0] <= self._safe_count:
                    self._safe.popleft()[1]()
            self._tell()
            self._arm()

        self._run(lambda: engine.commit(batch), done)

    # -- upkeep --

    def _look(self) -> None:
        """Every so often: one piece of upkeep, if the disk is idle."""
        if self._closing:
            return
        self._looking = self.loop.call_later(UPKEEP_EVERY, self._look)
        self._tell()
        engine = self.engine
        if engine is None or self._busy:
            return
        self._busy = True
        now, pressed = self.now(), self.writer.at_risk(self.now())[1] > 10 * self.writer.linger

        def work() -> Any:
            piece = self.upkeep.next(engine.sizes(), pressed, now)
            if piece == "checkpoint":
                engine.checkpoint()
            elif piece == "vacuum":
                engine.vacuum()
            elif piece == "snapshot":
                return piece, engine.snapshot(self._snapshot_to)
            elif piece == "scrub":
                return piece, engine.scrub(self._scrub, SCRUB_STEP_RECORDS)
            return piece, None

        def done(found: Any) -> None:
            self._busy = False
            if isinstance(found, StoreError):
                self.counts["store_upkeep_failed"] += 1
                if self.upkeep.snapshot:
                    self._snapshot_over(str(found))
                return
            piece, what = found
            if piece:
                self.counts[f"store_upkeep.{piece}"] += 1
            if piece == "snapshot" and what:
                self._snapshot_over("")
            elif piece == "scrub":
                self._scrubbed(what)

        self._run(work, done)

    def _scrubbed(self, found: list[DamagedRecord] | None) -> None:
        if found is None:
            self.write_log("store_scrubbed", records=self._scrub.records, damaged=self._scrub.damage)
            self._scrub = ScrubProgress()
            self.upkeep.scrubbed(self.now())
            # Beside the commits, for it reads the whole file in one piece.
            self.read_concurrently(lambda engine: engine.check(), self._checked)
            return
        for damage in found:
            self.counts["store_damaged"] += 1
            self.damage.append(damage)
            self.write_log("store_damaged", shelf=damage.bucket, key=damage.key.hex(), why=damage.why)

    def _checked(self, found: Any) -> None:
        for why in [str(found)] if isinstance(found, StoreError) else found:
            self.counts["store_damaged"] += 1
            self.write_log("store_damaged", shelf="", key="", why=why)

    def snapshot(self, to: str, done: Callable[[str], None]) -> None:
        """Copy the store into a file beside, piece by piece; `done` gets nothing, or why it failed."""
        if self.upkeep.snapshot:
            done("a snapshot is being made already")
            return
        self._snapshot_to, self._snapshot_done = to, done
        self.upkeep.snapshot = True

    def _snapshot_over(self, why: str) -> None:
        self.upkeep.snapshot = False
        done, self._snapshot_done = self._snapshot_done, None
        if done:
            done(why)

    # -- reading --

    def read(self, work: Callable[[Engine], Any], done: Callable[[Any], None]) -> None:
        """Read on the disk, after all commits that are under way; `done` gets the result or a StoreFault."""
        engine = self.engine
        if engine is None:
            self.loop.call_soon(
                done, StoreError(self._open_error_kind or "failing", f"{self.name} is not open")
            )
            return
        self._run(lambda: work(engine), done)

    def read_concurrently(self, work: Callable[[Engine], Any], done: Callable[[Any], None]) -> None:
        """Read much, beside the commits and not between them; what waits to be committed may be missing."""
        engine = self.engine
        if engine is None:
            self.loop.call_soon(
                done, StoreError(self._open_error_kind or "failing", f"{self.name} is not open")
            )
            return
        self.disk.read_concurrently(engine, work, lambda found: None if self._closing else done(found))

    def run(self, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """Do other work that blocks on the same disk."""
        self._run(work, done)

    def condition(self) -> StoreCondition:
        """How the store is now."""
        changes, age = self.writer.at_risk(self.now())
        state = self._open_error_kind or self.writer.condition(self.now())
        return StoreCondition(state, changes, age, self.writer.refused.count, self.counts["store_damaged"])

    def _tell(self) -> None:
        state = self.condition().state
        if state != self._said:
            self.write_log("store_condition", name=self.name, before=self._said, now=state)
            self._said = state

    def _run(self, work: Callable[[], Any], done: Callable[[Any], None]) -> None:
        self.disk.run(work, lambda found: None if self._closing else done(found))

    # -- the end --

    def close(self, closed: Callable[[], None] | None = None) -> None:
        """Commit what waits, once, and close; what the disk does not take is lost and logged."""
        if self._closing:
            return
        self._halt()
        engine, batches = self.engine, []
        if self.writer.writing:
            # Under way or failed: put again as it was, which does no harm.
            batches.append([change for group, _ in self.writer.writing for change in group])
        batches.append([change for group, _ in self.writer.waiting for change in group])

        def work() -> None:
            if engine is None:
                raise StoreError("failing", f"{self.name} is not open")
            try:
                for batch in batches:
                    engine.commit(batch)
            finally:
                engine.close()

        def done(found: Any) -> None:
            if isinstance(found, StoreError) and any(batches):
                self.write_log("store_lost", name=self.name, changes=sum(map(len, batches)), why=str(found))
            if closed:
                closed()

        self.disk.run(work, done)

    def kill(self) -> None:
        """Stop at once, as a killed process: what waits is lost. The file is left as it is."""
        self._halt()
        engine, self.engine = self.engine, None
        if engine:
            self.disk.run(engine.close, lambda found: None)

    def _halt(self) -> None:
        self._closing = True
        for timer in (self._timer, self._looking):
            if timer:
                timer.cancel()
