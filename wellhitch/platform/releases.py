"""Releases (BYE) on their way to callers: chooses connections, resends until one is answered, drops the outdated.

An established call belongs to no connection. Its release goes out on the connection of its set-up, else on another open
one on which callers have sent dialogues, else on the next one that opens in time. A release that is not answered is
resent on another connection: an open one may belong to a client that does not know the call and answers nothing.
"""

from collections.abc import Callable, Collection, Hashable
from dataclasses import dataclass, field

from wellhitch.net.transport import Timer

# How long a release may wait for a connection: the platform's limit for notifying a caller that its call has ended.
RETENTION_US = 8_000_000
# How long a caller may take to answer; most answer within milliseconds. Three retries fit into the second that a
# release may take.
ANSWER_TIMEOUT_US = 200_000
MAX_UNACKNOWLEDGED = 8192  # more calls than one exchange ever has established


@dataclass(slots=True, eq=False)
class Release:
    """One release: its message, when its call ended, the connection it was last written to, and all those tried."""

    call_id: str
    data: bytes
    ended_at: int
    connection: Hashable | None = None
    tried: set[Hashable] = field(default_factory=set)


class ReleaseQueue:
    """Releases that wait for a connection, or were written and not answered yet."""

    def __init__(
        self,
        write: Callable[[Hashable, bytes], bool],
        start_timer: Callable[[int, Callable[[int], None]], Timer],
        log: Callable[..., None],
    ) -> None:
        self._write, self._start_timer, self._log = write, start_timer, log
        # Connections used for dialogues, in the order of first use.
        self._connections: dict[Hashable, None] = {}
        # Those on which a release was answered, the latest last.
        self._answering: dict[Hashable, None] = {}
        self._unacknowledged: dict[str, Release] = {}
        self._retry_timer: Timer | None = None
        self.dropped = 0  # not answered in time, or displaced
        self.resent = 0

    def __len__(self) -> int:
        return len(self._unacknowledged)

    @property
    def connections(self) -> Collection[Hashable]:
        """The open connections on which releases may go out."""
        return self._connections.keys()

    def connection_used(self, connection: Hashable, now: int) -> None:
        """A caller sent a dialogue on this connection: waiting releases may go out on it."""
        if connection not in self._connections:
            self._connections[connection] = None
            for release in list(self._unacknowledged.values()):
                if release.connection is None:
                    self._send(release, now)

    def connection_closed(self, connection: Hashable, now: int) -> None:
        """Resend on another connection each release last written to this one, as the caller may not have read it."""
        self._connections.pop(connection, None)
        self._answering.pop(connection, None)
        for release in list(self._unacknowledged.values()):
            release.tried.discard(connection)
            if release.connection == connection:
                release.connection = None
                self._send(release, now)

    def add(self, call_id: str, data: bytes, connection: Hashable, now: int) -> None:
        """Send the release of a call to its caller, preferably on `connection`."""
        if len(self._unacknowledged) >= MAX_UNACKNOWLEDGED:
            self._drop(next(iter(self._unacknowledged)), "too many releases wait for an answer")
        release = self._unacknowledged[call_id] = Release(call_id, data, now)
        if connection in self._connections and self._write(connection, data):
            release.connection = connection
            release.tried.add(connection)
        else:
            self._send(release, now)
        self._schedule_retry()

    def forget(self, call_id: str) -> None:
        """A new call was set up under the Call-ID of one that is over: another release would end the new one."""
        self._unacknowledged.pop(call_id, None)

    def answered(self, call_id: str, connection: Hashable) -> None:
        """A caller answered the release of a call."""
        if self._unacknowledged.pop(call_id, None) is not None and connection in self._connections:
            self._answering.pop(connection, None)
            self._answering[connection] = None

    def _send(self, release: Release, now: int) -> None:
        """Write on a connection not tried yet, first on those where releases were answered. Once all were tried, the
        next attempt starts over."""
        for connections in (self._answering, self._connections):
            for connection in reversed(connections):
                if connection not in release.tried and self._write(connection, release.data):
                    if release.tried:
                        self.resent += 1
                        self._log(
                            "release_sent_again", call=release.call_id, connections_tried=len(release.tried)
                        )
                    release.connection = connection
                    release.tried.add(connection)
                    return
        release.tried.clear()

    def _drop(self, call_id: str, why: str) -> None:
        del self._unacknowledged[call_id]
        self.dropped += 1
        self._log("release_dropped", call=call_id, why=why)

    def _schedule_retry(self) -> None:
        if self._retry_timer is None and self._unacknowledged:
            self._retry_timer = self._start_timer(ANSWER_TIMEOUT_US, self._retry)

    def _retry(self, now: int) -> None:
        self._retry_timer = None
        for release in list(self._unacknowledged.values()):
            age_us = now - release.ended_at
            if age_us > RETENTION_US:
                self._drop(release.call_id, "no caller answered in time")
            elif age_us >= ANSWER_TIMEOUT_US:
                self._send(release, now)
        self._schedule_retry()
