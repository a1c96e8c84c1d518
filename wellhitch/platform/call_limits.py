"""How many established calls, and how many bytes of pending set-ups, are accepted. Pure.

Both are kept until they end, and clients may send large set-ups at full speed, or set up calls that nobody ever ends.
Above a limit only callers with a small part of all may add more, so that the others are served on when a few clients
have used it up; above twice the limit nobody may.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """A limit on what all callers' connections hold together."""

    limit: int

    def may_add(self, held: int, held_by_connection: int, connections: int) -> bool:
        """Whether a connection that holds `held_by_connection` of all that is `held` may add more, where callers use
        `connections`."""
        if held < self.limit:
            return True
        has_small_part = 2 * held_by_connection * connections < held
        return has_small_part and held < 2 * self.limit


# More established calls than one exchange ever has; twice as many take some 50 MB.
CALLS = SharedLimit(8192)
# Header lines and descriptions of pending set-ups: 300 bytes of a usual one, up to 16 KiB.
PENDING_BYTES = SharedLimit(8 * 1024 * 1024)
