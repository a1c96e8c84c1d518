"""Backoff between attempts to reopen a lost connection. Pure."""

import random

FIRST_WAIT_US = 50_000  # a peer on the same machine restarts within some 50 ms
MAX_WAIT_US = 3_000_000  # an unreachable peer costs one attempt in three seconds


class ReconnectBackoff:
    """Exponential backoff with jitter over nearly the whole wait, so that clients that lost the same peer at once do
    not reconnect at once."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._limit = FIRST_WAIT_US

    def next_wait(self) -> int:
        """Time to wait before the next attempt, in us."""
        wait = int(self._limit * (0.1 + 0.9 * self._rng.random()))
        self._limit = min(2 * self._limit, MAX_WAIT_US)
        return wait

    def reset(self) -> None:
        """The connection is up: start over with the shortest wait after the next loss."""
        self._limit = FIRST_WAIT_US
