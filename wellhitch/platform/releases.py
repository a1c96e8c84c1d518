"""Releases on their way to callers. Pure.

A call that stands belongs to no connection: its release goes out on the one of its set-up, else on another open one
that callers have used for dialogues, else on the next that opens, within its time. One that is not answered goes out
again on another connection: what is open may be a stranger's, who knows nothing of the call.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from wellhitch.net.transport import Timer

KEEP = 8_000_000  # us that a release may wait for a connection: the platform's time for what has stood and is over
HEAR_WITHIN = (
    200_000  # us for a caller to answer: usual ones do in one, and three more tries fall within the second
)
# that a release may take
MOST = 8192  # releases that wait; more calls than that do not stand at one exchange


@dataclass(slots=True, eq=False)
class Release:
    """One release: its bytes, when its call ended, the connection it was last written to, those tried so far."""

    ref: str
    data: bytes
    over: int
    link: Hashable | None = None
    tried: set[Hashable] = field(default_factory=set)


class Releases:
    """What waits, and what was written and not yet heard."""

    def __init__(
        self,
        write: Callable[[Hashable, bytes], bool],
        timer: Callable[[int, Callable[[int], None]], Timer],
        log: Callable[..., None],
    ) -> None:
        self._write, self._timer, self._log = write, timer, log
        self._links: dict[Hashable, None] = {}  # used for dialogues; the last first used at the end
        self._answering: dict[Hashable, None] = {}  # on which a release was answered; the last at the end
        self._unheard: dict[str, Release] = {}
        self._look: Timer | None = None
        self.dropped = 0  # whose time was up before anybody answered
        self.again = 0  # written once more

    def __len__(self) -> int:
        return len(self._unheard)

    def used(self, link: Hashable, now: int) -> None:
        """A caller has sent a dialogue on this connection: what waits may go out on it."""
        if link not in self._links:
            self._links[link] = None
            for one in list(self._unheard.values()):
                if one.link is None:
                    self._send(one, now)

    def closed(self, link: Hashable, now: int) -> None:
        """A connection is gone. Guards against a release that was written to it and that nobody has read: it goes out
        on another."""
        self._links.pop(link, None)
        self._answering.pop(link, None)
        for one in list(self._unheard.values()):
            one.tried.discard(link)
            if one.link == link:
                one.link = None
                self._send(one, now)

    def add(self, ref: str, data: bytes, link: Hashable, now: int) -> None:
        """A call is over and its caller must hear it."""
        if len(self._unheard) >= MOST:
            self._drop(next(iter(self._unheard)), "too many wait")
        one = self._unheard[ref] = Release(ref, data, now)
        if link in self._links and self._write(link, data):
            one.link = link
            one.tried.add(link)
        else:
            self._send(one, now)
        self._look_later()

    def heard(self, ref: str, link: Hashable) -> None:
        """A caller has answered."""
        if self._unheard.pop(ref, None) is not None and link in self._links:
            self._answering.pop(link, None)
            self._answering[link] = None

    def _send(self, one: Release, now: int) -> None:
        """On a connection not tried yet, one on which releases are answered first; where all were tried, again."""
        for links in (self._answering, self._links):
            for link in reversed(links):
                if link not in one.tried and self._write(link, one.data):
                    if one.tried:
                        self.again += 1
                        self._log("release_sent_again", call=one.ref, connections_tried=len(one.tried))
                    one.link = link
                    one.tried.add(link)
                    return
        one.tried.clear()

    def _drop(self, ref: str, why: str) -> None:
        del self._unheard[ref]
        self.dropped += 1
        self._log("release_dropped", call=ref, why=why)

    def _look_later(self) -> None:
        if self._look is None and self._unheard:
            self._look = self._timer(HEAR_WITHIN, self._look_now)

    def _look_now(self, now: int) -> None:
        self._look = None
        for one in list(self._unheard.values()):
            age = now - one.over
            if age > KEEP:
                self._drop(one.ref, "nobody answered in time")
            elif age >= HEAR_WITHIN:
                self._send(one, now)
        self._look_later()
