"""Which piece of upkeep is next, within a budget of pages a second, so that commits hardly notice. Pure."""

from dataclasses import dataclass

PAGES_PER_S = 500  # 2 MB a second of 4 KB pages: a tenth of what a poor disk bears
STEP_PAGES = 100  # pages of one piece: some ms, the longest that a commit waits behind upkeep
CHECKPOINT_THRESHOLD_PAGES = 1_000  # pages in the write-ahead log: 4 MB, read again in a few ms after a crash
MAX_LOG_PAGES = (
    16_000  # pages: from here the log is brought in whatever the budget says, or it would grow for ever
)
# where more is written than the budget moves
VACUUM_THRESHOLD_PAGES = 1_000  # free pages in the file before any are given back
SCRUB_STEP_RECORDS = 400  # records read again in one piece; about as many bytes as PIECE pages
SCRUB_INTERVAL_US = 24 * 3_600_000_000  # us between two passes over all records


@dataclass(slots=True)
class Sizes:
    """What the engine tells of its file, in pages."""

    log: int = 0
    free: int = 0


@dataclass(slots=True)
class Maintenance:
    """The state of upkeep of one file. `snapshot`: whether one is being made."""

    budget: float = float(PAGES_PER_S)
    at: int = 0
    snapshot: bool = False
    scrubbing: bool = True
    scrubbed_at: int = 0

    def next(self, sizes: Sizes, pressed: bool, now: int) -> str:
        """The piece to do now: `checkpoint`, `snapshot`, `vacuum`, `scrub`, or nothing. `pressed`: changes wait longer
        than they should, and everything but a log at its limit is put off."""
        self.budget = min(float(PAGES_PER_S), self.budget + PAGES_PER_S * (now - self.at) / 1_000_000)
        self.at = now
        if sizes.log >= MAX_LOG_PAGES:
            return self._take("checkpoint")
        if pressed or self.budget < STEP_PAGES:
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

    def _take(self, piece: str) -> str:
        self.budget -= STEP_PAGES
        return piece

    def scrubbed(self, now: int) -> None:
        """A pass over all records is done."""
        self.scrubbing, self.scrubbed_at = False, now
