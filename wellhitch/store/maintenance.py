"""Decides which maintenance step is next, within a budget of pages per second that keeps the effect on commits small.
Pure."""

from dataclasses import dataclass

PAGES_PER_S = 500  # 2 MB a second in 4 KB pages: a tenth of what a poor disk sustains
STEP_PAGES = 100  # pages of one step: a few ms, the longest that a commit waits behind maintenance
CHECKPOINT_THRESHOLD_PAGES = 1_000  # of the write-ahead log: 4 MB, replayed in a few ms after a crash
# From here the log is checkpointed regardless of the budget. It would grow without bound when writes exceed the budget.
MAX_LOG_PAGES = 16_000
VACUUM_THRESHOLD_PAGES = 1_000  # free pages in the file before any are returned
SCRUB_STEP_RECORDS = 400  # records verified in one step; about as many bytes as STEP_PAGES
SCRUB_INTERVAL_US = 24 * 3_600_000_000  # between two passes over all records


@dataclass(slots=True)
class Sizes:
    """What the engine reports of its file, in pages: the log not checkpointed yet, and free pages."""

    log: int = 0
    free: int = 0


@dataclass(slots=True)
class Maintenance:
    """The maintenance state of one file. `budget`: pages that may be used now; `snapshot`: whether one is under way."""

    budget: float = float(PAGES_PER_S)
    updated_us: int = 0
    snapshot: bool = False
    scrubbing: bool = True
    scrubbed_at: int = 0

    def next(self, sizes: Sizes, delayed: bool, now: int) -> str:
        """The step to run now: `checkpoint`, `snapshot`, `vacuum`, `scrub`, or an empty string. `delayed`: changes wait
        longer than they should, and only a log at its limit is handled."""
        self.budget = min(float(PAGES_PER_S), self.budget + PAGES_PER_S * (now - self.updated_us) / 1_000_000)
        self.updated_us = now
        if sizes.log >= MAX_LOG_PAGES:
            return self._take("checkpoint")
        if delayed or self.budget < STEP_PAGES:
            return ""
        if sizes.log >= CHECKPOINT_THRESHOLD_PAGES:
            return self._take("checkpoint")
        if self.snapshot:
            return self._take("snapshot")
        if sizes.free >= VACUUM_THRESHOLD_PAGES:
            return self._take("vacuum")
        if not self.scrubbing and now - self.scrubbed_at >= SCRUB_INTERVAL_US:
            self.scrubbing = True
        return self._take("scrub") if self.scrubbing else ""

    def _take(self, step: str) -> str:
        self.budget -= STEP_PAGES
        return step

    def scrubbed(self, now: int) -> None:
        """A pass over all records is complete."""
        self.scrubbing, self.scrubbed_at = False, now
