"""The shell around a link: one end of a stream, with its buffers, heartbeats and limits."""

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

READ_BUFFER_BYTES = 16 * 1024  # bytes; some 300 frames a read
MAX_UNSENT_FRAMES = 4096  # frames that wait for a reader that has stopped: the link is closed at one more
MAX_FRAMES_PER_S = (
    100_000  # from one link; over it, reading pauses until the second is over. Five times what one
)
# process handles: at 20,000 the own office, with four frames a dialogue, was held at 5,000 dialogues a second

FrameTap = Callable[[str, "Channel", frames.AnyFrame], None]
"""Sees each frame: direction (`in` or `out`), the port, the frame. What is `out` was handed to the transport."""


class ChannelOwner(Protocol):
    """Who is told of a link's life. Between channel_opened and channel_closed the port may be sent to."""

    def channel_opened(self, port: "Channel") -> None:
        """The other end said who it is: `port.peer`."""

    def frame_received(self, port: "Channel", frame: frames.AnyFrame) -> None:
        """A frame came."""

    def channel_closed(self, port: "Channel", why: str) -> None:
        """The link is gone; told once, and only after channel_opened."""

    def circuits_held(self, port: "Channel") -> int:
        """Circuits held for dials of this link, for the heartbeat."""


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
        self.write_paused = False  # the transport takes no more for now
        self.refusal_reason = ""  # why the link is closed as soon as it stands
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
        """Who is at the other end; known from channel_opened on."""
        assert self.connection.peer is not None
        return self.connection.peer

    # -- sending --

    def send(self, frame: frames.AnyFrame) -> bool:
        """Queue a frame; False where the link is closed. It goes out with what else this turn of the loop
        sends. A reader that has stopped costs MAX_UNSENT frames at most, then its link."""
        if self.connection.state is ConnectionState.CLOSED or self.transport is None:
            return False
        if len(self._unsent) >= MAX_UNSENT_FRAMES:
            self.fail(f"the other end reads nothing, {MAX_UNSENT_FRAMES} frames wait", notify_peer=False)
            return False
        self._unsent.append(frame)
        if not self._flush_scheduled and not self.write_paused:
            self._flush_scheduled = True
            self.loop.call_soon(self._flush)
        return True

    def send_mark(self) -> int:
        """Ask how far the other end has read; `marked` tells when it has read all that was sent by now."""
        self._last_mark += 1
        self.send(frames.Mark(self._last_mark))
        return self._last_mark

    def mark_confirmed(self, sequence: int) -> bool:
        """Whether the other end has answered the mark."""
        return self._last_marked >= sequence

    def withdraw(self, matches: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        """Take back frames that were not handed to the transport yet."""
        taken = [frame for frame in self._unsent if matches(frame)]
        if taken:
            self._unsent = deque(frame for frame in self._unsent if not matches(frame))
        return taken

    def _flush(self) -> None:
        self._flush_scheduled = False
        while self._unsent and not self.write_paused and self.transport is not None:
            if self.transport.is_closing():
                return
            # In pieces, so that the transport can say stop between them and what is left can be withdrawn.
            batch = [self._unsent.popleft() for _ in range(min(len(self._unsent), 32))]
            self.transport.write(b"".join([self._encoded(frame) for frame in batch]))

    def _encoded(self, frame: frames.AnyFrame) -> bytes:
        """A frame's bytes, shown to the tap. Guards against one that cannot be sent: it took the others of its batch
        along, answers among them, and nobody was told."""
        try:
            made = codec.encode(frame)
        except codec.BadFrame as fault:
            self.loop.call_exception_handler({"message": "a frame was not sent", "exception": fault})
            return b""
        if self.tap:
            self.tap("out", self, frame)
        return made

    def fail(self, reason: str, notify_peer: bool = True) -> None:
        """Close the link, telling the other end why where `tell`."""
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
        """Send what waits, then close."""
        if self.transport is not None and not self.transport.is_closing():
            self._flush()
            self._close_reason = self._close_reason or "closed here"
            self.connection.mark_closed()
            self.transport.close()

    # -- asyncio.BufferedProtocol --

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Say who we are."""
        self.transport = cast(asyncio.Transport, transport)
        if hasattr(transport, "set_write_buffer_limits"):
            # Nothing waits out of our reach but what the kernel holds: what waits here can be withdrawn.
            with contextlib.suppress(NotImplementedError):  # the emulated transport has limits of its own
                self.transport.set_write_buffer_limits(high=0)
        self.connection.received_at = self.connection.opened_at = now_us(self.loop)
        if self.refusal_reason:
            self.fail(self.refusal_reason)
            return
        self.send(self.hello)
        self._heartbeat_timer = self.loop.call_later(HEARTBEAT_INTERVAL_US / 1e6, self._heartbeat)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Room for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes came."""
        fault: ProtocolError | None = None
        try:
            got = self.connection.receive(self._buffer[:nbytes], now_us(self.loop))
        except ProtocolError as bad:
            got, fault = bad.frames_before, bad
        self._limit_rate(len(got))
        for frame in got:
            if self._close_reason:
                break  # closed by what an earlier frame led to
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
        if fault:
            self.fail(str(fault), notify_peer=fault.notify_peer)

    def eof_received(self) -> bool:
        """The other end says no more: close."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The stream is gone."""
        if self._heartbeat_timer:
            self._heartbeat_timer.cancel()
        self.connection.mark_closed()
        self._unsent.clear()
        why = self._close_reason or (str(exc) if exc else "closed by the other end")
        if self._owner_notified:
            self._owner_notified = False
            self.owner.channel_closed(self, why)
        if self._on_closed:
            self._on_closed(why)

    def pause_writing(self) -> None:
        """The transport is full: hold frames here."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """The transport takes more."""
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
            # Half-open, or the other end reads and says nothing: the same to us. Nothing is told, for nobody
            # would read it.
            dripped = (
                self.connection.state is ConnectionState.WAITING
                and self.connection.received_at > self.connection.opened_at
            )
            self.fail(
                f"no Hello within {SILENCE_TIMEOUT_US} us" if dripped else "silent", notify_peer=dripped
            )
            return
        self._heartbeat_timer = self.loop.call_later(HEARTBEAT_INTERVAL_US / 1e6, self._heartbeat)
        self.send(frames.Heartbeat(self.owner.circuits_held(self)))


class PersistentChannel:
    """Keeps a link to an address up until it is closed; each loss is followed by a try, spread by `Redial`."""

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
        """Let the link go and do not try again."""
        self._closed = True
        if self._reconnect_timer:
            self._reconnect_timer.cancel()
        if self.current is not None:
            self.current.close()

    # -- Owner, passed on --

    def channel_opened(self, port: Channel) -> None:
        """The link stands."""
        if self._closed:
            port.close()
            return
        self.owner.channel_opened(port)
        if (
            port.connection.state is not ConnectionState.CLOSED
        ):  # not one that the owner does not want: it would be tried at once
            self.backoff.reset()

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """A frame came."""
        self.owner.frame_received(port, frame)

    def channel_closed(self, port: Channel, why: str) -> None:
        """The link is gone."""
        self.owner.channel_closed(port, why)

    def circuits_held(self, port: Channel) -> int:
        """Circuits held for dials of this link."""
        return self.owner.circuits_held(port)
