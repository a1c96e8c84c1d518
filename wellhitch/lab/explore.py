"""Model checking of a small state machine whose messages are lost, duplicated and delayed.

A breadth-first search over all interleavings runs the same pure code as production. A message once sent may be
delivered at any later step, any number of times, or never, so the network is the set of all messages ever sent.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

State = TypeVar("State")
ENCODER = msgspec.msgpack.Encoder(order="deterministic")

SentMessage = tuple[int, int, bytes]  # sender, receiver, encoded message


@dataclass(frozen=True, slots=True)
class World:
    """The encoded state of each node, all messages ever sent, and how many steps of each bounded kind were taken."""

    nodes: tuple[bytes, ...]
    sent: frozenset[SentMessage]
    used: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The outcome of a search: states visited, the greatest depth, and the first violated invariant with its trace.

    `complete`: every reachable state was visited.
    """

    states: int
    depth: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


Step = tuple[str, World]


@dataclass(slots=True)
class Search(Generic[State]):
    """A breadth-first search.

    `steps` returns every named step that is possible in a world. `find_violation` returns the invariant that a world
    violates, or an empty string.
    """

    steps: Callable[[World], list[Step]]
    find_violation: Callable[[World], str]
    max_states: int = 200_000

    def run(self, start: World) -> SearchResult:
        """Search from `start` until an invariant is violated, all states are visited or `max_states` is reached."""
        seen: dict[World, tuple[World | None, str]] = {start: (None, "")}
        frontier, depth = [start], 0
        while frontier:
            next_frontier: list[World] = []
            for world in frontier:
                for name, reached in self.steps(world):
                    if reached in seen:
                        continue
                    seen[reached] = world, name
                    violation = self.find_violation(reached)
                    if violation:
                        return SearchResult(len(seen), depth + 1, False, violation, _trace(seen, reached))
                    next_frontier.append(reached)
                    if len(seen) >= self.max_states:
                        return SearchResult(len(seen), depth + 1, False)
            frontier, depth = next_frontier, depth + 1
        return SearchResult(len(seen), depth - 1, True)


def _trace(seen: dict[World, tuple[World | None, str]], world: World) -> tuple[str, ...]:
    names: list[str] = []
    current: World | None = world
    while current is not None:
        previous, name = seen[current]
        if name:
            names.append(name)
        current = previous
    return tuple(reversed(names))
