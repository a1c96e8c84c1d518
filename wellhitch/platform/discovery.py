"""The client of discovery: follows its updates over lost connections, silence and changes of address."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import cast

from wellhitch.board import codec
from wellhitch.net.transport import ConnectFailure, Network
from wellhitch.platform.watch_policy import Order, Revisions, WatchPolicy, watch_to_close

READ_BUFFER_BYTES = 16 * 1024


class _Watch(asyncio.BufferedProtocol):
    """One connection on which discovery sends its updates."""

    def __init__(self, client: "DiscoveryClient") -> None:
        self.client = client
        self.decoder = codec.Decoder()
        self.buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.transport: asyncio.Transport | None = None
        self.ended = False
        self.silent_since = 0.0  # in seconds of the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.client.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if not self.ended:
            self.client.received(self, self.buffer[:nbytes])

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended:
            self.ended = True
            self.client.lost(self)

    def end(self) -> None:
        """Close the connection and ignore what still arrives on it."""
        self.ended = True
        if self.transport is not None:
            self.transport.abort()


class DiscoveryClient:
    """Receives the updates of discovery in order, starting after the last revision held."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: str,
        revision: int,
        on_update: Callable[[codec.Update], None],
        log: Callable[..., None],
        counts: Counter[str],
    ) -> None:
        """`revision` is that of the last update held; `on_update` is called with each later one."""
        self.loop, self.network, self.address = loop, network, address
        self.on_update, self.log, self.counts = on_update, log, counts
        self.stopped = False
        self._revisions = Revisions(revision)
        self._policy = WatchPolicy()
        self._watches: list[_Watch] = []  # the oldest first
        self._attempt = 0  # increases with each attempt, to recognize the late result of an earlier one
        self._connecting = False
        self._retry_timer: asyncio.TimerHandle | None = None
        self._silence_timer: asyncio.TimerHandle | None = None

    @property
    def revision(self) -> int:
        """The revision of the last update held."""
        return self._revisions.held

    def start(self) -> None:
        """Connect to discovery."""
        self._connect()

    def change_address(self, address: str) -> None:
        """Reconnect at another address; the revisions continue."""
        self.log("discovery_moved", address=address, revision=self.revision)
        self.address = address
        if not self.stopped:
            self._reconnect()

    def stop(self) -> None:
        """Close all connections and stop following discovery."""
        self.stopped = True
        self._close_all()

    # ---- connecting ----

    def _reconnect(self) -> None:
        self._close_all()
        self._policy.answered()
        self._connect()

    def _close_all(self) -> None:
        for timer in (self._retry_timer, self._silence_timer):
            if timer is not None:
                timer.cancel()
        self._retry_timer = self._silence_timer = None
        self._attempt += 1
        self._connecting = False
        for watch in self._watches:
            watch.end()
        self._watches.clear()

    def _connect(self) -> None:
        self._retry_timer = None
        self._attempt += 1
        self._connecting = True
        attempt = self._attempt

        def failed(failure: ConnectFailure) -> None:
            if attempt == self._attempt:
                self._connecting = False
                self.counts["discovery.unreachable"] += 1
                self.log("discovery_unreachable", why=failure.detail, revision=self.revision)
                self._retry_later()

        def create_watch() -> _Watch:
            watch = _Watch(self)
            watch.ended = attempt != self._attempt
            return watch

        self.network.connect(self.address, create_watch, failed)

    def _retry_later(self) -> None:
        if not self.stopped and self._retry_timer is None and not self._connecting:
            self._retry_timer = self.loop.call_later(self._policy.next_retry(), self._connect)

    def opened(self, watch: _Watch) -> None:
        """A connection is up: request the updates after the last one held."""
        if watch.ended or self.stopped:
            watch.end()
            return
        self._connecting = False
        watch.silent_since = self.loop.time()
        to_close = watch_to_close([watch.silent_since - other.silent_since for other in self._watches])
        if to_close is not None:
            self._watches.pop(to_close).end()
        self._watches.append(watch)
        assert watch.transport is not None
        watch.transport.write(codec.encode_subscription(self.revision))
        self._restart_silence_timer()

    def lost(self, watch: _Watch) -> None:
        """A connection is gone."""
        if watch not in self._watches:
            return
        self.counts["discovery.broken"] += 1
        self.log("discovery_broken", revision=self.revision)
        self._remove(watch)

    def _remove(self, watch: _Watch) -> None:
        """Close a watch; if it was the last one, reconnect soon."""
        watch.end()
        self._watches.remove(watch)
        if not self._watches:
            if self._silence_timer is not None:
                self._silence_timer.cancel()
                self._silence_timer = None
            self._retry_later()

    # ---- silence ----

    def _restart_silence_timer(self) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._silence_timer = self.loop.call_later(self._policy.silence_s, self._silence_timeout)

    def _silence_timeout(self) -> None:
        self._silence_timer = None
        self.counts["discovery.silent"] += 1
        self.log("discovery_silent", revision=self.revision, watches=len(self._watches))
        self._policy.back_off_after_silence()
        if not self._connecting and self._retry_timer is None:
            self._connect()

    # ---- updates ----

    def received(self, watch: _Watch, data: memoryview) -> None:
        """Decode bytes from discovery and apply the updates in them."""
        if watch not in self._watches:
            return
        self._keep_only(watch)
        watch.silent_since = self.loop.time()
        self._restart_silence_timer()
        limit = ""
        try:
            updates = watch.decoder.feed(data)
        except codec.BadFrame as error:
            updates, limit = error.updates_before, str(error)
        for update in updates:
            if not self._apply(update):
                return
            self._policy.answered()
        if limit:
            self.counts[f"discovery.{limit}"] += 1
            self.log("discovery_unreadable", limit=limit, revision=self.revision)
            self._remove(watch)

    def _keep_only(self, watch: _Watch) -> None:
        """Close the other watches and stop opening another: this one has delivered data."""
        for other in [other for other in self._watches if other is not watch]:
            other.end()
            self._watches.remove(other)
        if self._connecting or self._retry_timer is not None:
            self._attempt += 1
            self._connecting = False
            if self._retry_timer is not None:
                self._retry_timer.cancel()
                self._retry_timer = None

    def _apply(self, update: codec.Update) -> bool:
        """Apply one update; False where the client reconnects instead to request missing ones."""
        match self._revisions.order(update.revision, update.full, update.heartbeat):
            case Order.HELD_ALREADY:
                self.counts["discovery.held_already"] += not update.heartbeat
            case Order.AFTER_GAP:
                self.counts["discovery.gap"] += 1
                self.log("discovery_gap", revision=self.revision, came=update.revision)
                self._reconnect()
                return False
            case Order.NEXT:
                self._revisions.accept(update.revision)
                self.on_update(update)
        return True
