"""All interleavings of a small state machine over messages that are lost, doubled and late: a breadth-first search over
the same pure code that is in service. A message once sent may be delivered at any later step, any number of times, or
never, so the network is the set of all that was ever sent."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

State = TypeVar("State")
ENCODER = msgspec.msgpack.Encoder(order="deterministic")

Sent = tuple[int, int, bytes]  # from, to, message


@dataclass(frozen=True, slots=True)
class World:
    """Nodes as bytes, all that was ever sent, and how many steps of each bounded kind were used."""

    nodes: tuple[bytes, ...]
    sent: frozenset[Sent]
    used: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What a search saw: states, the longest way, and the first broken invariant with its way."""

    states: int
    depth: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


Step = tuple[str, World]


@dataclass(slots=True)
class Search(Generic[State]):
    """`steps`: all that may happen in a world, each with a name. `wrong`: what is broken in a world, or nothing."""

    steps: Callable[[World], list[Step]]
    wrong: Callable[[World], str]
    most: int = 200_000

    def run(self, start: World) -> SearchResult:
        """Search from a world."""
        seen: dict[World, tuple[World | None, str]] = {start: (None, "")}
        edge, depth = [start], 0
        while edge:
            after: list[World] = []
            for world in edge:
                for name, reached in self.steps(world):
                    if reached in seen:
                        continue
                    seen[reached] = world, name
                    broken = self.wrong(reached)
                    if broken:
                        return SearchResult(len(seen), depth + 1, False, broken, _way(seen, reached))
                    after.append(reached)
                    if len(seen) >= self.most:
                        return SearchResult(len(seen), depth + 1, False)
            edge, depth = after, depth + 1
        return SearchResult(len(seen), depth - 1, True)


def _way(seen: dict[World, tuple[World | None, str]], world: World) -> tuple[str, ...]:
    out: list[str] = []
    at: World | None = world
    while at is not None:
        before, name = seen[at]
        if name:
            out.append(name)
        at = before
    return tuple(reversed(out))
