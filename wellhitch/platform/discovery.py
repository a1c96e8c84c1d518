"""The client of discovery: the only file of the platform that touches its connections."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import cast

from wellhitch.board import codec
from wellhitch.net.transport import ConnectFailure, Network
from wellhitch.platform.watch_policy import MOST_WATCHES, Order, Revisions, WatchPolicy

READ_BYTES = 16 * 1024


class _Watch(asyncio.BufferedProtocol):
    """One connection on which discovery tells its updates."""

    def __init__(self, client: "DiscoveryClient") -> None:
        self.client = client
        self.decoder = codec.Decoder()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.transport: asyncio.Transport | None = None
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.client.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if not self.over:
            self.client.received(self, self.buffer[:nbytes])

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.over:
            self.over = True
            self.client.lost(self)

    def end(self) -> None:
        """Nothing that still comes counts."""
        self.over = True
        if self.transport is not None:
            self.transport.abort()


class DiscoveryClient:
    """Follows discovery from the last revision held, over breaks, silence and new addresses."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: str,
        revision: int,
        on_update: Callable[[codec.Notice], None],
        log: Callable[..., None],
        counts: Counter[str],
    ) -> None:
        """`revision`: of the last update held."""
        self.loop, self.network, self.address = loop, network, address
        self.on_update, self.log, self.counts = on_update, log, counts
        self.stopped = False
        self._revisions = Revisions(revision)
        self._policy = WatchPolicy()
        self._watches: list[_Watch] = []  # the oldest first
        self._attempt = 0  # raised with each try, so that an old one that comes up late is known for one
        self._connecting = False
        self._retry: asyncio.TimerHandle | None = None
        self._silence: asyncio.TimerHandle | None = None

    @property
    def revision(self) -> int:
        """Of the last update held."""
        return self._revisions.held

    def start(self) -> None:
        """Connect."""
        self._connect()

    def move(self, address: str) -> None:
        """Discovery has another address now; the revisions go on."""
        self.log("discovery_moved", address=address, revision=self.revision)
        self.address = address
        if not self.stopped:
            self._start_anew()

    def stop(self) -> None:
        """Follow no more."""
        self.stopped = True
        self._drop_all()

    # ---- connecting ----

    def _start_anew(self) -> None:
        self._drop_all()
        self._policy.spoke()
        self._connect()

    def _drop_all(self) -> None:
        for timer in (self._retry, self._silence):
            if timer is not None:
                timer.cancel()
        self._retry = self._silence = None
        self._attempt += 1
        self._connecting = False
        for watch in self._watches:
            watch.end()
        self._watches.clear()

    def _connect(self) -> None:
        self._retry = None
        self._attempt += 1
        self._connecting = True
        attempt = self._attempt

        def failed(failure: ConnectFailure) -> None:
            if attempt == self._attempt:
                self._connecting = False
                self.counts["discovery.unreachable"] += 1
                self.log("discovery_unreachable", why=failure.detail, revision=self.revision)
                self._retry_later()

        def made() -> _Watch:
            watch = _Watch(self)
            watch.over = attempt != self._attempt
            return watch

        self.network.connect(self.address, made, failed)

    def _retry_later(self) -> None:
        if not self.stopped and self._retry is None and not self._connecting:
            self._retry = self.loop.call_later(self._policy.next_retry(), self._connect)

    def opened(self, watch: _Watch) -> None:
        """A connection is up: ask for what came after the last update held."""
        if watch.over or self.stopped:
            watch.end()
            return
        self._connecting = False
        if len(self._watches) >= MOST_WATCHES:
            self._watches.pop(0).end()
        self._watches.append(watch)
        assert watch.transport is not None
        watch.transport.write(codec.ask(self.revision))
        self._expect_news()

    def lost(self, watch: _Watch) -> None:
        """A connection is gone."""
        if watch not in self._watches:
            return
        self.counts["discovery.broken"] += 1
        self.log("discovery_broken", revision=self.revision)
        self._let_go(watch)

    def _let_go(self, watch: _Watch) -> None:
        """A watch is over; where it was the last one, another is opened soon."""
        watch.end()
        self._watches.remove(watch)
        if not self._watches:
            if self._silence is not None:
                self._silence.cancel()
                self._silence = None
            self._retry_later()

    # ---- silence ----

    def _expect_news(self) -> None:
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self.loop.call_later(self._policy.silence_s, self._silent)

    def _silent(self) -> None:
        self._silence = None
        self.counts["discovery.silent"] += 1
        self.log("discovery_silent", revision=self.revision, watches=len(self._watches))
        self._policy.after_silence()
        if not self._connecting and self._retry is None:
            self._connect()

    # ---- updates ----

    def received(self, watch: _Watch, data: memoryview) -> None:
        """Bytes from discovery."""
        if watch not in self._watches:
            return
        self._keep_only(watch)
        self._expect_news()
        limit = ""
        try:
            updates = watch.decoder.feed(data)
        except codec.BadFrame as bad:
            updates, limit = bad.before, str(bad)
        for update in updates:
            if not self._take(update):
                return
            self._policy.spoke()
        if limit:
            self.counts[f"discovery.{limit}"] += 1
            self.log("discovery_unreadable", limit=limit, revision=self.revision)
            self._let_go(watch)

    def _keep_only(self, watch: _Watch) -> None:
        """This one speaks: the others are not needed, nor one that is being opened."""
        for other in [other for other in self._watches if other is not watch]:
            other.end()
            self._watches.remove(other)
        if self._connecting or self._retry is not None:
            self._attempt += 1
            self._connecting = False
            if self._retry is not None:
                self._retry.cancel()
                self._retry = None

    def _take(self, update: codec.Notice) -> bool:
        """One update; False where discovery is asked again instead."""
        match self._revisions.order(update.number, update.whole, update.empty):
            case Order.HELD_ALREADY:
                self.counts["discovery.held_already"] += not update.empty
            case Order.AFTER_A_GAP:
                self.counts["discovery.gap"] += 1
                self.log("discovery_gap", revision=self.revision, came=update.number)
                self._start_anew()
                return False
            case Order.NEXT:
                self._revisions.take(update.number)
                self.on_update(update)
        return True
