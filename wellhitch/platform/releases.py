"""Releases on their way to callers. Pure.

A call that stands belongs to no connection: its release goes out on the one of its set-up, else on another open one
that callers have used for dialogues, else on the next that opens, within its time.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass

KEEP = 8_000_000  # us that a release may wait for a connection: the platform's time for what has stood and is over
MOST = 8192  # releases that wait; more calls than that do not stand at one exchange


@dataclass(slots=True, eq=False)
class Release:
    """One release: its bytes, the connection it was written to, None while it waits, and when its call ended."""

    ref: str
    data: bytes
    over: int
    link: Hashable | None = None


class Releases:
    """What waits, and what was written and not yet heard."""

    def __init__(self, write: Callable[[Hashable, bytes], bool]) -> None:
        self._write = write
        self._links: dict[Hashable, None] = {}  # used for dialogues; the last used at the end
        self._unheard: dict[str, Release] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._unheard)

    def used(self, link: Hashable, now: int) -> None:
        """A caller has sent a dialogue on this connection: what waits may go out on it."""
        if link not in self._links:
            self._links[link] = None
            self._send_waiting(now)

    def closed(self, link: Hashable, now: int) -> None:
        """A connection is gone. Guards against a release that was written to it and that nobody has read: it goes out
        on another."""
        self._links.pop(link, None)
        for one in self._unheard.values():
            if one.link == link:
                one.link = None
        self._send_waiting(now)

    def add(self, ref: str, data: bytes, link: Hashable, now: int) -> None:
        """A call is over and its caller must hear it."""
        self._expire(now)
        if len(self._unheard) >= MOST:
            self._unheard.pop(next(iter(self._unheard)))
            self.dropped += 1
        one = self._unheard[ref] = Release(ref, data, now)
        if link in self._links and self._write(link, data):
            one.link = link
        else:
            self._send(one)

    def heard(self, ref: str) -> None:
        """Its caller has answered."""
        self._unheard.pop(ref, None)

    def _send(self, one: Release) -> None:
        for link in reversed(self._links):
            if self._write(link, one.data):
                one.link = link
                return

    def _send_waiting(self, now: int) -> None:
        self._expire(now)
        for one in list(self._unheard.values()):
            if one.link is None:
                self._send(one)

    def _expire(self, now: int) -> None:
        """Those of calls that ended so long ago that their caller has been told otherwise or never will be."""
        while self._unheard:
            one = next(iter(self._unheard.values()))
            if now - one.over <= KEEP:
                return
            del self._unheard[one.ref]
            self.dropped += one.link is None
