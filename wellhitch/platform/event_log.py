"""The log of a call server on the platform: one JSON object per line, written so that it never delays a call.

Lines are dropped and counted when the reader is too slow, and when they exceed a budget: misbehaving clients cause
events at any rate, and logging all of them would delay the answers to other clients.
"""

import os
import select
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

LINES_PER_S = 300  # twice the rate caused by the calls of the busiest call server on the platform
BURST_LINES = 900  # three seconds of that, as a restart or a lost office ends many calls at once


class LineBudget:
    """A token bucket for log lines. Pure; times in seconds."""

    def __init__(self, per_second: float, burst: float) -> None:
        self._per_second, self._burst = per_second, burst
        self._tokens = burst
        self._refilled_at = 0.0

    def take(self, now: float) -> bool:
        """Whether one more line may be written now."""
        refill = max(0.0, now - self._refilled_at) * self._per_second
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Writes events to a descriptor. The wall-clock time in a line is for its readers only."""

    def __init__(self, descriptor: int, unix_now: Callable[[], float] = time.time) -> None:
        self._descriptor, self._unix_now = descriptor, unix_now
        self._budget = LineBudget(LINES_PER_S, BURST_LINES)
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped: Counter[str] = Counter()

    def __call__(self, event: str, **facts: Any) -> None:
        """Write one event, with the counts of lines dropped since the last line."""
        now = self._unix_now()
        if not self._budget.take(now):
            self.dropped[event] += 1
            return
        line = {"at": round(now, 3), "event": event, **facts}
        if self.dropped:
            line["lines_dropped"] = dict(self.dropped)
        if self._write(msgspec.json.encode(line, enc_hook=str) + b"\n"):
            self.dropped.clear()
        else:
            self.dropped[event] += 1

    def _write(self, line: bytes) -> bool:
        """Write without blocking; False where the reader is too slow or gone."""
        try:
            if not self._poll.poll(0):
                return False
            os.write(self._descriptor, line)
        except OSError:
            return False
        return True
