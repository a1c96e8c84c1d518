"""Circuits of the trunk groups at one end. Pure. Both ends run this same text, each for what its own side
dialled; each tells the other its count, so that both reckon the same free circuits within one message's way.

A dial holds its circuits from the send to its end, and after a time-out, reset or cancel until the other end
confirms the release or the release wait is over: until then the far end may still hold them.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field


@dataclass(slots=True)
class TrunkGroup:
    """One trunk group: its size, what this end's dials hold, and what the other side told it holds."""

    size: int
    local_holders: dict[Hashable, int] = field(default_factory=dict)
    local_count: int = 0
    remote_count: int = 0

    @property
    def free(self) -> int:
        """Circuits that neither side holds, as far as is known here. Never below nought: while both ends seize
        the last circuit the counts may overlap until one is turned back."""
        return max(0, self.size - self.local_count - self.remote_count)

    def seize(self, holder: Hashable, width: int) -> bool:
        """Take `width` circuits for `holder`, or none where they are not there."""
        if self.free < width or holder in self.local_holders:
            return False
        self.local_holders[holder] = width
        self.local_count += width
        return True

    def release(self, holder: Hashable) -> bool:
        """Give back what `holder` holds; False where it held nothing, for a release may be told twice."""
        width = self.local_holders.pop(holder, 0)
        self.local_count -= width
        return width > 0


def track_disagreement(
    mine: int, theirs: int, since: int | None, now: int, allowed: int
) -> tuple[int | None, bool]:
    """Whether the two ends' counts of one link have differed for longer than `allowed` (us): frames on the way
    explain less. Takes since when they differ, or None; returns the same for now, and whether to say so."""
    if mine == theirs:
        return None, False
    since = now if since is None else since
    return since, now - since > allowed
