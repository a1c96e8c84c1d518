"""The transport layer of a trunk connection: one end of a stream, with its buffers, heartbeats and limits."""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from wellhitch.net.transport import Network, now_us
from wellhitch.trunk import codec, frames
from wellhitch.trunk.backoff import ReconnectBackoff
from wellhitch.trunk.connection import (
    HEARTBEAT_INTERVAL_US,
    SILENCE_TIMEOUT_US,
    Connection,
    ConnectionState,
    ProtocolError,
)

READ_BUFFER_BYTES = 16 * 1024  # some 300 frames a read
MAX_UNSENT_FRAMES = 4096  # queued for a peer that has stopped reading; one more closes the connection
# On one connection; above it, reading pauses until the second is over. Five times what one process handles: a limit of
# 20,000 held the own office, with four frames a dialogue, at 5,000 dialogues a second.
MAX_FRAMES_PER_S = 100_000

FrameTap = Callable[[str, "Channel", frames.AnyFrame], None]
"""Called with the direction (`in` or `out`), the channel and the frame, for each frame received or handed to the
transport."""


class ChannelOwner(Protocol):
    """Receives the events of a channel. Frames may be sent between `channel_opened` and `channel_closed`."""

    def channel_opened(self, channel: "Channel") -> None:
        """The Hello of the other end was received: `channel.peer`."""

    def frame_received(self, channel: "Channel", frame: frames.AnyFrame) -> None:
        """A frame was received."""

    def channel_closed(self, channel: "Channel", reason: str) -> None:
        """The connection is closed; called once, and only after `channel_opened`."""

    def circuits_held(self, channel: "Channel") -> int:
        """Circuits held for dials on this connection, for the heartbeat."""


class Channel(asyncio.BufferedProtocol):
    """One end of a stream that carries frames."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        owner: ChannelOwner,
        hello: frames.Hello,
        accepted_roles: tuple[str, ...],
        tap: FrameTap | None = None,
        on_closed: Callable[[str], None] | None = None,
    ) -> None:
        self.loop, self.owner, self.hello, self.tap = loop, owner, hello, tap
        self.connection = Connection(hello.role, accepted_roles, now_us(loop))
        self.transport: asyncio.Transport | None = None
        self.write_paused = False  # by the transport, whose buffer is full
        self.refusal_reason = ""  # why the connection is closed as soon as it is up; empty if it is accepted
        self.rate_pauses = 0
        self._on_closed = on_closed
        self._unsent: deque[frames.AnyFrame] = deque()
        self._flush_scheduled = False
        self._buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._close_reason = ""
        self._rate_second = 0
        self._frames_in_second = 0
        self._owner_notified = False
        self._last_mark = 0
        self._last_marked = 0

    @property
    def peer(self) -> frames.Hello:
        """The Hello of the other end; available from `channel_opened` on."""
        assert self.connection.peer is not None
        return self.connection.peer

    # -- sending --

    def send(self, frame: frames.AnyFrame) -> bool:
        """Queue a frame; False where the connection is closed. All frames of one iteration of the event loop are sent
        together. A peer that has stopped reading costs at most MAX_UNSENT_FRAMES frames, then its connection."""
        if self.connection.state is ConnectionState.CLOSED or self.transport is None:
            return False
        if len(self._unsent) >= MAX_UNSENT_FRAMES:
            self.fail(
                f"the other end does not read: {MAX_UNSENT_FRAMES} frames are unsent", notify_peer=False
            )
            return False
        self._unsent.append(frame)
        if not self._flush_scheduled and not self.write_paused:
            self._flush_scheduled = True
            self.loop.call_soon(self._flush)
        return True

    def send_mark(self) -> int:
        """Send a mark; `mark_confirmed` returns True once the other end has read all that was sent until now."""
        self._last_mark += 1
        self.send(frames.Mark(self._last_mark))
        return self._last_mark

    def mark_confirmed(self, sequence: int) -> bool:
        """Whether the other end has confirmed the mark."""
        return self._last_marked >= sequence

    def withdraw(self, matches: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        """Remove and return the matching frames that were not handed to the transport yet."""
        withdrawn = [frame for frame in self._unsent if matches(frame)]
        if withdrawn:
            self._unsent = deque(frame for frame in self._unsent if not matches(frame))
        return withdrawn

    def _flush(self) -> None:
        self._flush_scheduled = False
        while self._unsent and not self.write_paused and self.transport is not None:
            if self.transport.is_closing():
                return
            # In batches, so that the transport can pause writing in between and the rest can still be withdrawn.
            batch = [self._unsent.popleft() for _ in range(min(len(self._unsent), 32))]
            self.transport.write(b"".join([self._encoded(frame) for frame in batch]))

    def _encoded(self, frame: frames.AnyFrame) -> bytes:
        """Encode a frame and pass it to the tap. Guards against a frame that cannot be encoded: one such frame lost its
        whole batch, answers included, without an error."""
        try:
            data = codec.encode(frame)
        except codec.BadFrame as error:
            self.loop.call_exception_handler(
                {"message": "cannot encode a frame; it was not sent", "exception": error}
            )
            return b""
        if self.tap:
            self.tap("out", self, frame)
        return data

    def fail(self, reason: str, notify_peer: bool = True) -> None:
        """Close the connection after an error; with `notify_peer` the other end is sent the reason first."""
        if self.connection.state is not ConnectionState.CLOSED or not self._close_reason:
            self._close_reason = self._close_reason or reason
            self.connection.mark_closed()
            if self.transport is not None and not self.transport.is_closing():
                if notify_peer:
                    self.transport.write(codec.encode(frames.Fault(reason[:400])))
                    self.transport.close()
                else:
                    self.transport.abort()

    def close(self) -> None:
        """Send what is queued, then close."""
        if self.transport is not None and not self.transport.is_closing():
            self._flush()
            self._close_reason = self._close_reason or "closed locally"
            self.connection.mark_closed()
            self.transport.close()

    # -- asyncio.BufferedProtocol --

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send our Hello, or refuse the connection."""
        self.transport = cast(asyncio.Transport, transport)
        if hasattr(transport, "set_write_buffer_limits"):
            # Only the kernel buffers what is written; what is queued here can still be withdrawn.
            with contextlib.suppress(NotImplementedError):  # the emulated transport has fixed limits
                self.transport.set_write_buffer_limits(high=0)
        self.connection.received_at = self.connection.opened_at = now_us(self.loop)
        if self.refusal_reason:
            self.fail(self.refusal_reason)
            return
        self.send(self.hello)
        self._heartbeat_timer = self.loop.call_later(HEARTBEAT_INTERVAL_US / 1e6, self._heartbeat)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the frames that the received bytes complete."""
        error: ProtocolError | None = None
        try:
            received = self.connection.receive(self._buffer[:nbytes], now_us(self.loop))
        except ProtocolError as raised:
            received, error = raised.frames_before, raised
        self._limit_rate(len(received))
        for frame in received:
            if self._close_reason:
                break  # closed while an earlier frame was handled
            if self.tap:
                self.tap("in", self, frame)
            if isinstance(frame, frames.Hello):
                self._owner_notified = True
                self.owner.channel_opened(self)
            elif isinstance(frame, frames.Mark):
                self.send(frames.Marked(frame.sequence))
            elif isinstance(frame, frames.Marked):
                self._last_marked = max(self._last_marked, min(frame.sequence, self._last_mark))
            else:
                self.owner.frame_received(self, frame)
        if error:
            self.fail(str(error), notify_peer=error.notify_peer)

    def eof_received(self) -> bool:
        """The other end has closed its side: close ours."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The stream is closed: notify the owner."""
        if self._heartbeat_timer:
            self._heartbeat_timer.cancel()
        self.connection.mark_closed()
        self._unsent.clear()
        reason = self._close_reason or (str(exc) if exc else "closed by the other end")
        if self._owner_notified:
            self._owner_notified = False
            self.owner.channel_closed(self, reason)
        if self._on_closed:
            self._on_closed(reason)

    def pause_writing(self) -> None:
        """The transport's buffer is full: queue frames here."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """The transport accepts data again."""
        self.write_paused = False
        if self._unsent and not self._flush_scheduled:
            self._flush_scheduled = True
            self.loop.call_soon(self._flush)

    # -- limits --

    def _limit_rate(self, received: int) -> None:
        second = now_us(self.loop) // 1_000_000
        if second != self._rate_second:
            self._rate_second, self._frames_in_second = second, 0
        self._frames_in_second += received
        if self._frames_in_second > MAX_FRAMES_PER_S and self.transport is not None:
            self.rate_pauses += 1
            self._frames_in_second = 0
            self.transport.pause_reading()
            self.loop.call_later((1_000_000 - now_us(self.loop) % 1_000_000) / 1e6, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _heartbeat(self) -> None:
        if self.connection.state is ConnectionState.CLOSED:
            return
        if self.connection.timed_out(now_us(self.loop)):
            # Half-open, or the other end reads and sends nothing: the two look the same from here. The other end is
            # not notified, because it would probably not read it.
            no_hello = (
                self.connection.state is ConnectionState.WAITING
                and self.connection.received_at > self.connection.opened_at
            )
            self.fail(
                f"no Hello within {SILENCE_TIMEOUT_US} us" if no_hello else "no data from the other end",
                notify_peer=no_hello,
            )
            return
        self._heartbeat_timer = self.loop.call_later(HEARTBEAT_INTERVAL_US / 1e6, self._heartbeat)
        self.send(frames.Heartbeat(self.owner.circuits_held(self)))


class PersistentChannel:
    """Keeps a connection to an address open until it is closed; reconnects after each loss with `ReconnectBackoff`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: str,
        owner: ChannelOwner,
        hello: frames.Hello,
        accepted_roles: tuple[str, ...],
        rng: random.Random,
        tap: FrameTap | None = None,
    ) -> None:
        self.loop, self.network, self.address, self.owner = loop, network, address, owner
        self.hello, self.accepted_roles, self.tap = hello, accepted_roles, tap
        self.backoff = ReconnectBackoff(rng)
        self.current: Channel | None = None
        self.attempts = 0
        self._closed = False
        self._reconnect_timer: asyncio.TimerHandle | None = None
        self._connect()

    def _connect(self) -> None:
        if not self._closed:
            self.attempts += 1
            self.network.connect(
                self.address, self._make_channel, lambda failure: self._schedule_reconnect(failure.detail)
            )

    def _make_channel(self) -> Channel:
        self.current = Channel(
            self.loop, self, self.hello, self.accepted_roles, self.tap, self._schedule_reconnect
        )
        return self.current

    def _schedule_reconnect(self, reason: str) -> None:
        self.current = None
        if not self._closed:
            self._reconnect_timer = self.loop.call_later(self.backoff.next_wait() / 1e6, self._connect)

    def close(self) -> None:
        """Close the connection and do not reconnect."""
        self._closed = True
        if self._reconnect_timer:
            self._reconnect_timer.cancel()
        if self.current is not None:
            self.current.close()

    # -- ChannelOwner, forwarded to the owner --

    def channel_opened(self, channel: Channel) -> None:
        """The connection is up."""
        if self._closed:
            channel.close()
            return
        self.owner.channel_opened(channel)
        # Not for a connection that the owner refused: it would be tried again at once.
        if channel.connection.state is not ConnectionState.CLOSED:
            self.backoff.reset()

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        """A frame was received."""
        self.owner.frame_received(channel, frame)

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """The connection is closed."""
        self.owner.channel_closed(channel, reason)

    def circuits_held(self, channel: Channel) -> int:
        """Circuits held for dials on this connection."""
        return self.owner.circuits_held(channel)
