"""When to try a lost link again. Pure."""

import random

FIRST = 50_000  # us; a restarted neighbour on one machine is back within some 50 ms
LONGEST = 3_000_000  # us; a link to one that is gone costs one try in three seconds


class Redial:
    """Waits that double to a limit and are drawn from their whole length, so that all who lost the same
    neighbour at once do not come back at once."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._limit = FIRST

    def wait(self) -> int:
        """How long to wait before the next try, in us."""
        drawn = int(self._limit * (0.1 + 0.9 * self._chance.random()))
        self._limit = min(2 * self._limit, LONGEST)
        return drawn

    def came_up(self) -> None:
        """The link stands: the next loss starts over."""
        self._limit = FIRST
