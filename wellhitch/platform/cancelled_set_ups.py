"""Set-ups that were cancelled after they had been dialled, which may come again under the same Call-ID. Pure.

A caller whose connection ends just as it sends a set-up sends it once more on another. What the first one held at its
office may stay taken for the release wait, and the call may have run.
"""

from dataclasses import dataclass

# Callers cancel a few set-ups a second; bad clients hundreds at once.
MAX_CANCELLED = 4096


@dataclass(frozen=True, slots=True)
class EarlierDials:
    """What the dials of a cancelled set-up leave behind: the earliest time of the next dial, and when the first one
    that may have run the call was sent, None if none may have."""

    not_before: int
    may_have_run_at: int | None


class CancelledSetUps:
    """The latest cancelled set-ups by Call-ID, for `retention_us` each."""

    def __init__(self, retention_us: int, limit: int = MAX_CANCELLED) -> None:
        self._retention_us, self._limit = retention_us, limit
        self._entries: dict[str, tuple[int, EarlierDials]] = {}  # and when cancelled, the latest last

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, call_id: str, dials: EarlierDials, now: int) -> None:
        """Remember a set-up that is cancelled now."""
        self._entries.pop(call_id, None)
        self._entries[call_id] = now, dials
        while self._entries:
            oldest = next(iter(self._entries))
            if len(self._entries) <= self._limit and now - self._entries[oldest][0] <= self._retention_us:
                break
            del self._entries[oldest]

    def take(self, call_id: str, now: int) -> EarlierDials | None:
        """Return what is remembered of a set-up that comes again, and forget it."""
        cancelled_at, dials = self._entries.pop(call_id, (0, None))
        return dials if dials is not None and now - cancelled_at <= self._retention_us else None
