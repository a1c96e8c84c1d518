"""When to try a lost link again. Pure."""

import random

FIRST_WAIT_US = 50_000  # us; a restarted neighbour on one machine is back within some 50 ms
MAX_WAIT_US = 3_000_000  # us; a link to one that is gone costs one try in three seconds


class ReconnectBackoff:
    """Waits that double to a limit and are drawn from their whole length, so that all who lost the same
    neighbour at once do not come back at once."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._limit = FIRST_WAIT_US

    def next_wait(self) -> int:
        """How long to wait before the next try, in us."""
        drawn = int(self._limit * (0.1 + 0.9 * self._rng.random()))
        self._limit = min(2 * self._limit, MAX_WAIT_US)
        return drawn

    def reset(self) -> None:
        """The link stands: the next loss starts over."""
        self._limit = FIRST_WAIT_US
