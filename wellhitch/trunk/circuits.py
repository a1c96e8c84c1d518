"""Circuits of a trunk group at one end. Pure. Both ends run this code, each for the dials of its own side, and report
their counts to each other, so that both see the same number of free circuits after the delay of one message.

A dial holds its circuits from the send to its end, and after a timeout, reset or cancel until the other end confirms
the release or the release wait is over: until then the far end may still hold them.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field


@dataclass(slots=True)
class TrunkGroup:
    """One trunk group: its size, the circuits that this end's dials hold, and the count that the other end reported."""

    size: int
    local_holders: dict[Hashable, int] = field(default_factory=dict)
    local_count: int = 0
    remote_count: int = 0

    @property
    def free(self) -> int:
        """Circuits that neither end holds, as far as is known here. Never negative: when both ends seize the last
        circuit, the counts overlap until one dial is rejected."""
        return max(0, self.size - self.local_count - self.remote_count)

    def seize(self, holder: Hashable, width: int) -> bool:
        """Seize `width` circuits for `holder`; returns False, and seizes none, if too few are free."""
        if self.free < width or holder in self.local_holders:
            return False
        self.local_holders[holder] = width
        self.local_count += width
        return True

    def release(self, holder: Hashable) -> bool:
        """Release the circuits of `holder`; returns False if it held none, because a release may be reported twice."""
        width = self.local_holders.pop(holder, 0)
        self.local_count -= width
        return width > 0


def track_disagreement(
    local: int, remote: int, since: int | None, now: int, allowed: int
) -> tuple[int | None, bool]:
    """Track whether the two ends' counts on one connection differ for longer than `allowed`; frames in flight
    explain shorter differences. Takes the time since when they differ, or None; returns it updated, and whether the
    disagreement must be reported."""
    if local == remote:
        return None, False
    since = now if since is None else since
    return since, now - since > allowed
