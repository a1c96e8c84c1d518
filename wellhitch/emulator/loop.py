"""An asyncio loop whose clock jumps to the next timer: a day takes as long as its work, not as its hours.

It keeps asyncio's own scheduling and replaces the selector alone: where that would wait, the clock moves on.
"""

import asyncio
from collections.abc import Callable
from typing import Any


class DeadlockError(Exception):
    """The loop has neither work nor a timer, and would wait for ever."""


class VirtualLoop(asyncio.BaseEventLoop):
    """A loop in virtual time. The clock counts whole nanoseconds from nought."""

    def __init__(self, wait: Callable[[float], None] | None = None) -> None:
        """`wait`: called with the virtual seconds that would be waited; for a day that people watch."""
        super().__init__()
        self._now_ns = 0
        self._wait = wait
        self._selector = self  # BaseEventLoop calls its select() between rounds

    def time(self) -> float:
        """Virtual seconds since the loop was made."""
        return self._now_ns / 1e9

    def select(self, timeout: float | None) -> list[Any]:
        """Move the clock instead of waiting."""
        if timeout is None:
            raise DeadlockError
        if timeout > 0:
            # Rounded up to a whole microsecond: rounded down, the timer would not be due and the loop would
            # turn on the spot.
            if self._wait:
                self._wait(timeout)
            self._now_ns += -(-round(timeout * 1e9) // 1000) * 1000
        return []

    def advance(self, seconds: float) -> None:
        """Run for so much virtual time."""
        self.call_later(seconds, self.stop)
        self.run_forever()

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass
