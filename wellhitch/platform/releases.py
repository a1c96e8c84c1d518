"""Releases (BYE) on their way to callers: chooses connections, resends until one is answered, drops the outdated.

An established call belongs to no connection. Its release goes out on the connection of its set-up, and once that is
gone, on the others on which callers have sent dialogues: nothing tells which of them leads to the call's owner. Those
on which releases were answered come first, then the newest. Each attempt goes to more connections than the one before,
so that all of them have the release within a second. A caller that does not know the call may refuse its release, or
not answer it; only another answer, or a refusal on the connection of the set-up, ends the attempts.
"""

from collections.abc import Callable, Collection, Hashable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from wellhitch.net.transport import Timer

# How long a release may wait for a connection: the platform's limit for notifying a caller that its call has ended.
RETENTION_US = 8_000_000
# How long a caller may take to answer; most answer within milliseconds.
ANSWER_TIMEOUT_US = 200_000
# Between checks for releases that were not answered.
CHECK_INTERVAL_US = 50_000
# By how much the number of connections grows from one attempt to the next. Five attempts fit into the second that a
# release may take, and reach 341 connections: a third of 1024 descriptors, as many as callers hold at most.
FAN_OUT = 4
# Messages written in one check; when many calls have lost their connections, their attempts take turns.
MAX_RESENDS_PER_CHECK = 512
MAX_UNACKNOWLEDGED = 8192  # more calls than one exchange ever has established


@dataclass(slots=True, eq=False)
class Release:
    """The release of one call. `owner` is the connection of the call's set-up while that is open, `written_on` the open
    connections on which the release was written, `refused_on` those on which the caller does not know the call. `tried`
    are those of the current round, which ends when none is left to try."""

    call_id: str
    data: bytes
    ended_at: int
    owner: Hashable | None = None
    written_on: set[Hashable] = field(default_factory=set)
    refused_on: set[Hashable] = field(default_factory=set)
    tried: set[Hashable] = field(default_factory=set)
    attempted_at: int = 0
    fan_out: int = 1  # of the next attempt
    rounds: int = 0  # completed ones

    def forget_connection(self, connection: Hashable) -> None:
        """Remove a connection that is gone."""
        for connections in (self.written_on, self.refused_on, self.tried):
            connections.discard(connection)
        if self.owner == connection:
            self.owner = None


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
        # The same by the time of their latest attempt, the earliest first.
        self._by_attempt: dict[Release, None] = {}
        self._check_timer: Timer | None = None
        self.dropped = 0  # not answered in time, or displaced
        self.resent = 0

    def __len__(self) -> int:
        return len(self._unacknowledged)

    @property
    def connections(self) -> Collection[Hashable]:
        """The open connections on which releases may go out."""
        return self._connections.keys()

    def connection_used(self, connection: Hashable, now: int) -> None:
        """A caller sent a dialogue on this connection: the owner of a call whose connection is gone may have come
        back on it."""
        if connection in self._connections:
            return
        self._connections[connection] = None
        ownerless = (release for release in self._unacknowledged.values() if release.owner is None)
        for release in list(islice(ownerless, MAX_RESENDS_PER_CHECK)):
            unsent = not release.written_on
            if self._write_on(release, connection) and unsent:
                self._note_attempt(release, now)

    def connection_closed(self, connection: Hashable, now: int) -> None:
        """Resend on another connection each release that was written to this one alone, as the caller may not have read
        it."""
        self._connections.pop(connection, None)
        self._answering.pop(connection, None)
        for release in list(self._unacknowledged.values()):
            was_written_here = connection in release.written_on
            release.forget_connection(connection)
            if was_written_here and not release.written_on:
                self._attempt(release, MAX_RESENDS_PER_CHECK, now)

    def add(self, call_id: str, data: bytes, connection: Hashable, now: int) -> None:
        """Send the release of a call to its caller, preferably on `connection`."""
        self.forget(call_id)
        if len(self._unacknowledged) >= MAX_UNACKNOWLEDGED:
            self._drop(next(iter(self._unacknowledged)), "too many releases wait for an answer")
        release = self._unacknowledged[call_id] = Release(call_id, data, now)
        if connection in self._connections and self._write_on(release, connection):
            release.owner = connection
            self._note_attempt(release, now)
        else:
            self._attempt(release, MAX_RESENDS_PER_CHECK, now)
        self._schedule_check()

    def forget(self, call_id: str) -> None:
        """Stop sending a release: its caller has released the call too, or a new call was set up under its Call-ID,
        which another release would end."""
        release = self._unacknowledged.pop(call_id, None)
        if release is not None:
            self._by_attempt.pop(release, None)

    def answered(self, call_id: str, connection: Hashable, status: int) -> None:
        """A caller answered the release of a call with a final status. Any client may refuse the release of a call that
        it does not know; only on the connection of the set-up does this show that the call's owner was notified."""
        release = self._unacknowledged.get(call_id)
        if release is None or connection not in release.written_on or status < 200:
            return
        if status >= 300 and connection != release.owner:
            release.refused_on.add(connection)
            return
        self.forget(call_id)
        if status < 300 and connection in self._connections:
            self._answering.pop(connection, None)
            self._answering[connection] = None

    def _attempt(self, release: Release, budget: int, now: int) -> int:
        """Write on the next connections, at most `budget`; on one if that of the set-up is open, or all were tried
        once. Then a new round starts with those that did not refuse. Returns how many were written to."""
        single = release.owner is not None or release.rounds
        wanted = 1 if single else min(release.fan_out, budget)
        tried_before, written = len(release.tried), 0
        for connection in list(self._untried(release)):
            if written == wanted:
                break
            written += self._write_on(release, connection)
        if tried_before and written:
            self.resent += written
            self._log("release_sent_again", call=release.call_id, connections_tried=tried_before, on=written)
        if not written:
            release.rounds += 1
            release.tried = set(release.refused_on)
        elif not single:
            release.fan_out *= FAN_OUT
        self._note_attempt(release, now)
        return written

    def _untried(self, release: Release) -> Iterator[Hashable]:
        """The connections on which a release was not written yet, the likeliest first."""
        for connection in reversed(self._answering):
            if connection not in release.tried:
                yield connection
        for connection in reversed(self._connections):
            if connection not in release.tried and connection not in self._answering:
                yield connection

    def _write_on(self, release: Release, connection: Hashable) -> bool:
        written = self._write(connection, release.data)
        if written:
            release.written_on.add(connection)
            release.tried.add(connection)
        return written

    def _note_attempt(self, release: Release, now: int) -> None:
        release.attempted_at = now
        self._by_attempt.pop(release, None)
        self._by_attempt[release] = None

    def _drop(self, call_id: str, why: str) -> None:
        release = self._unacknowledged[call_id]
        self.forget(call_id)
        self.dropped += 1
        self._log("release_dropped", call=call_id, why=why, connections=len(release.written_on))

    def _schedule_check(self) -> None:
        if self._check_timer is None and self._unacknowledged:
            self._check_timer = self._start_timer(CHECK_INTERVAL_US, self._check)

    def _check(self, now: int) -> None:
        """Resend the releases that were not answered, and drop those whose time is up."""
        self._check_timer = None
        budget = MAX_RESENDS_PER_CHECK
        for release in list(self._by_attempt):
            if now - release.attempted_at < ANSWER_TIMEOUT_US or not budget:
                break
            if now - release.ended_at > RETENTION_US:
                self._drop(release.call_id, "no caller answered in time")
            else:
                budget -= self._attempt(release, budget, now)
        self._schedule_check()
