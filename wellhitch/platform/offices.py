"""Links to offices: the only file of the platform that touches them. Decides nothing; the core is told what came.

Each office has a few links, so that a spoilt one takes few dials along: a set-up goes out on one on which nothing
waits, where there is one, and another is opened meanwhile.
"""

import asyncio
from collections import Counter
from typing import Any, Protocol, cast

from wellhitch.net.transport import ConnectFailure, Network
from wellhitch.office_lines import codec as lines
from wellhitch.platform.records import DialOut, OfficeEnd

READ_BYTES = 64 * 1024  # of the one buffer that all links share
# s that an office may pause within a line while set-ups wait on the link: while it stops short, the answers behind it
# are held up.
PARTIAL_S = 0.25
# s where none waits. A slow writer gets to end its line, which may be the release of a call.
PARTIAL_IDLE_S = 1.0
AGAIN_S = 0.1  # before a link is tried again, doubling up to
AGAIN_MOST_S = 1.0  # an office that restarts is reached soon, and one that is dead costs one try a second
MOST_QUEUED = 512  # lines that wait for a link to an office: releases, which it would hear late


class Hears(Protocol):
    """Who is told what offices say."""

    def office_heard(self, end: OfficeEnd, link: "OfficeLink") -> None:
        """Bytes came, whatever they are."""

    def office_said(self, end: OfficeEnd, link: "OfficeLink", line: lines.Line) -> None:
        """A whole line came."""

    def dial_lost(self, dial: DialOut, reached: bool) -> None:
        """The link of a dial was lost, or never came up."""

    def office_refuses(self, end: OfficeEnd) -> None:
        """No link is up, and a new one was refused."""

    def office_reached(self, end: OfficeEnd, link: "OfficeLink") -> None:
        """A link is up."""

    def office_lost(self, end: OfficeEnd, link: "OfficeLink") -> None:
        """A link is gone."""

    def log(self, event: str, **facts: Any) -> None:
        """One line of the log."""


class OfficeLink(asyncio.BufferedProtocol):
    """One link to an office."""

    __slots__ = ("pool", "transport", "decoder", "dials", "partial", "since", "__weakref__")

    def __init__(self, pool: "Pool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.decoder = lines.Decoder()
        self.dials: dict[DialOut, None] = {}
        self.partial: Any = None
        self.since = 0.0  # s, when it came up

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pool.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.links.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.transport is None:
            return
        if self.partial is not None:
            self.partial.cancel()
            self.partial = None
        pool = self.pool
        pool.links.hears.office_heard(pool.end, self)
        try:
            said = self.decoder.feed(pool.links.buffer[:nbytes])
        except lines.BadLine as bad:
            self._take(bad.before)
            self.spoilt(bad.limit)
            return
        self._take(said)
        if self.decoder.pending and self.transport is not None:
            self.partial = pool.links.loop.call_later(PARTIAL_S, self._stopped_short)

    def _stopped_short(self) -> None:
        if self.dials:
            self.spoilt("line_stopped_short")
        else:
            more = PARTIAL_IDLE_S - PARTIAL_S
            self.partial = self.pool.links.loop.call_later(more, self.spoilt, "line_stopped_short")

    def _take(self, said: list[lines.Line]) -> None:
        for line in said:
            self.pool.links.hears.office_said(self.pool.end, self, line)

    @property
    def writable(self) -> bool:
        """Whether what is written may arrive: asyncio tells that a link is lost only in the turn after it noticed."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, line: bytes) -> None:
        """Write, where it may arrive."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line)

    def test(self, line: bytes) -> None:
        """Send a test, unless what was sent before still waits."""
        if self.transport is not None and not self.transport.get_write_buffer_size():
            self.write(line)

    def spoilt(self, limit: str) -> None:
        """Guards against an answer that cannot be read: what comes after it on this link can't be told apart, so the
        link goes, and its unanswered dials with it."""
        self.pool.links.counts[f"office.{limit}"] += 1
        if self.transport is not None:
            self.transport.abort()
        self._gone(limit)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None:
            self._gone("closed by the endpoint", read_to_its_end=True)
        else:
            self._gone(f"ended by the endpoint: {exc!r}")

    def _gone(self, why: str, read_to_its_end: bool = False) -> None:
        if self.transport is None:
            return
        self.transport = None
        if self.partial is not None:
            self.partial.cancel()
            self.partial = None
        self.pool.lost(self, why, read_to_its_end)


class Pool:
    """The links to one office, at most `links.most`."""

    def __init__(self, links: "OfficeLinks", end: OfficeEnd) -> None:
        self.links, self.end, self.address = links, end, end.address
        self.up: dict[OfficeLink, None] = {}
        self.opening = 0
        self.waiting: dict[DialOut, tuple[bytes, Any]] = {}
        self.queue: list[bytes] = []
        self.kept = True  # links are wanted
        self.ended = False  # none will be wanted again
        self._again: Any = None
        self._pause = AGAIN_S

    # -- sending --

    def dial(self, dial: DialOut, line: bytes) -> None:
        """Send a set-up, or let it wait for a link."""
        best, least = None, 1 << 30
        for link in self.up:
            if link.writable and len(link.dials) < least:
                best, least = link, len(link.dials)
                if not least:
                    break
        if best is None:
            due = self.links.loop.call_later(self.links.connect_within, self._unreached, dial)
            self.waiting[dial] = line, due
            if not self.opening:
                self._open()
            return
        self._write(best, dial, line)
        if least and len(self.up) + self.opening < self.links.most:
            self._open()

    def _write(self, link: OfficeLink, dial: DialOut, line: bytes) -> None:
        dial.link = link
        link.dials[dial] = None
        link.write(line)

    def _unreached(self, dial: DialOut) -> None:
        if self.waiting.pop(dial, None) is not None:
            self.links.hears.dial_lost(dial, False)

    def undial(self, dial: DialOut) -> bool:
        """A dial is over; True where its set-up still waited."""
        waited = self.waiting.pop(dial, None)
        if waited is not None:
            waited[1].cancel()
            return True
        link = dial.link
        if isinstance(link, OfficeLink):
            link.dials.pop(dial, None)
        return False

    def send(self, line: bytes, near: object | None) -> None:
        """Send on `near` if it is up, else on any, else on the next."""
        link = next((link for link in self.up if link.writable), None)
        if isinstance(near, OfficeLink) and near in self.up and near.writable:
            link = near
        if link is not None:
            link.write(line)
        elif self.ended:
            self.links.counts["office.unsent_at_end"] += 1
        elif len(self.queue) < MOST_QUEUED:
            self.queue.append(line)
            if not self.opening and self._again is None:
                self._open()
        else:
            self.links.counts["office.queue_full"] += 1

    # -- links --

    def keep(self) -> None:
        """Keep a link up."""
        self.kept = True
        if not self.up and not self.opening and self._again is None:
            self._open()

    def open_another(self) -> None:
        """Open one more, in place of an idle one where there are as many as may be."""
        if self.opening:
            return
        if len(self.up) >= max(2, self.links.most // 2):
            idle = next((link for link in self.up if not link.dials), None)
            if idle is None or idle.transport is None:
                return
            self._open()
            idle.transport.close()
            idle._gone("replaced by another")
        else:
            self._open()

    def _open(self) -> None:
        if self._again is not None:
            self._again.cancel()
            self._again = None
        self.opening += 1
        self.links.network.connect(self.address, lambda: OfficeLink(self), self._failed)

    def opened(self, link: OfficeLink) -> None:
        """A link is up."""
        self.opening -= 1
        if self.ended or (not self.kept and not self.end.calls and not self.waiting and not self.queue):
            assert link.transport is not None
            link.transport.abort()
            link.transport = None
            return
        self.up[link] = None
        link.since = self.links.loop.time()
        self._pause = AGAIN_S
        self.links.hears.office_reached(self.end, link)
        for line in self.queue:
            link.write(line)
        self.queue.clear()
        for dial, (line, due) in list(self.waiting.items()):
            due.cancel()
            self._write(link, dial, line)
        self.waiting.clear()

    def _failed(self, failure: ConnectFailure) -> None:
        self.opening -= 1
        self.links.counts["office.link_failed"] += 1
        self.links.hears.log(
            "endpoint_connection_failed", endpoint=self.end.id, why=failure.detail, left=len(self.up)
        )
        if self.up or self.opening:
            return
        for dial, (_, due) in list(self.waiting.items()):
            due.cancel()
            self.waiting.pop(dial, None)
            self.links.hears.dial_lost(dial, False)
        if failure.refused:
            self.links.hears.office_refuses(self.end)
        self._later()

    def _later(self) -> None:
        if self._again is None and (self.kept or self.end.calls):
            self._again = self.links.loop.call_later(self._pause, self._try_again)
            self._pause = min(2 * self._pause, AGAIN_MOST_S)

    def _try_again(self) -> None:
        self._again = None
        if self._wants_another(True):
            self._open()

    def lost(self, link: OfficeLink, why: str, read_to_its_end: bool) -> None:
        """A link is gone, and its unanswered dials with it."""
        was_up = self.up.pop(link, 0) is None
        self.links.hears.office_lost(self.end, link)
        self.links.hears.log(
            "endpoint_connection_lost",
            endpoint=self.end.id,
            why=why,
            attempts=len(link.dials),
            left=len(self.up),
        )
        dials, link.dials = link.dials, {}
        for dial in dials:
            self.links.hears.dial_lost(dial, True)
        if was_up and self._wants_another(read_to_its_end):
            if self.links.loop.time() - link.since < AGAIN_S:
                self._later()  # guards against an office that resets each link at once: a dial still opens one
            else:
                self._open()

    def _wants_another(self, read_to_its_end: bool) -> bool:
        """Whether another link is to be opened. After one that was not read to its end it is, where calls stand: a
        release may have been lost with it, and the office sends that again on the next one that is opened."""
        if self.opening or self.ended:
            return False
        if not self.up:
            return self.kept or bool(self.end.calls)
        return bool(self.end.calls) and not read_to_its_end

    def unsent_stays(self) -> None:
        """Reset the links in whose buffers something waits."""
        for link in list(self.up):
            if link.transport is not None and link.transport.get_write_buffer_size():
                self.links.counts["office.unsent_at_drain"] += 1
                link.transport.abort()
                link._gone("unsent at a drain")

    def read_no_more(self) -> None:
        """The process ends: what still comes is for the next one. What was written is sent; no new link is opened."""
        self.kept, self.ended = False, True
        if self._again is not None:
            self._again.cancel()
            self._again = None
        for link in self.up:
            if link.transport is not None:
                link.transport.pause_reading()

    def drop(self, now: bool) -> None:
        """Let the links go: at once and for good, or those on which nothing is out."""
        self.kept, self.ended = False, now
        if self._again is not None:
            self._again.cancel()
            self._again = None
        for link in list(self.up):
            if link.transport is not None and (now or not link.dials):
                if now:
                    link.transport.abort()
                else:
                    link.transport.close()
                link._gone("let go")


class OfficeLinks:
    """The links to all offices. `connect_within` in seconds; `most` links to one office."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        hears: Hears,
        connect_within: float,
        share: int,
        counts: Counter[str],
    ) -> None:
        """`share`: descriptors for all links to offices together."""
        self.loop, self.network, self.hears, self.connect_within = loop, network, hears, connect_within
        self.share, self.counts = share, counts
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.pools: dict[OfficeEnd, Pool] = {}

    @property
    def most(self) -> int:
        """Links to one office: its share of the descriptors, at most sixteen, which more dials than one link may lose
        together seldom need."""
        return max(2, min(16, self.share // max(1, len(self.pools))))

    def pool(self, end: OfficeEnd) -> Pool:
        """The links to an office."""
        pool = self.pools.get(end)
        if pool is None:
            pool = self.pools[end] = Pool(self, end)
        return pool

    def read_no_more(self) -> None:
        """Take nothing more from any office."""
        for pool in self.pools.values():
            pool.read_no_more()

    def drop(self, end: OfficeEnd, now: bool) -> None:
        """Let an office's links go."""
        pool = self.pools.pop(end, None)
        if pool is not None:
            pool.drop(now)
