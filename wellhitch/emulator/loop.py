"""An asyncio loop in virtual time: its clock jumps to the next timer, so a day takes only its processing time.

It keeps asyncio's scheduling and replaces only the selector: instead of waiting, it advances the clock.
"""

import asyncio
from collections.abc import Callable
from typing import Any


class DeadlockError(Exception):
    """The loop has neither ready callbacks nor timers and would wait forever."""


class VirtualLoop(asyncio.BaseEventLoop):
    """A loop in virtual time. The clock counts whole nanoseconds from zero."""

    def __init__(self, wait: Callable[[float], None] | None = None) -> None:
        """`wait`: called with the virtual seconds to wait, for playing a day at a visible speed."""
        super().__init__()
        self._now_ns = 0
        self._wait = wait
        self._selector = self  # BaseEventLoop calls its select() between rounds

    def time(self) -> float:
        """Virtual seconds since the loop was created."""
        return self._now_ns / 1e9

    def select(self, timeout: float | None) -> list[Any]:
        """Advance the clock instead of waiting."""
        if timeout is None:
            raise DeadlockError
        if timeout > 0:
            # Rounded up to a whole microsecond: rounded down, the timer would not be due and the loop would spin.
            if self._wait:
                self._wait(timeout)
            self._now_ns += -(-round(timeout * 1e9) // 1000) * 1000
        return []

    def advance(self, seconds: float) -> None:
        """Run for `seconds` of virtual time."""
        self.call_later(seconds, self.stop)
        self.run_forever()

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass
