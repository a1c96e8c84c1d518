"""The shell around a link: one end of a stream, with its buffers, heartbeats and limits."""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from wellhitch.net.transport import Network, now_us
from wellhitch.trunk import codec, frames
from wellhitch.trunk.backoff import Redial
from wellhitch.trunk.connection import HEARTBEAT, SILENCE, Link, LinkFault, State

READ_BUFFER = 16 * 1024  # bytes; some 300 frames a read
MAX_UNSENT = 4096  # frames that wait for a reader that has stopped: the link is closed at one more
FRAMES_PER_S = 100_000  # from one link; over it, reading pauses until the second is over. Five times what one
# process handles: at 20,000 the own office, with four frames a dialogue, was held at 5,000 dialogues a second

Tap = Callable[[str, "Port", frames.AnyFrame], None]
"""Sees each frame: direction (`in` or `out`), the port, the frame. What is `out` was handed to the transport."""


class Owner(Protocol):
    """Who is told of a link's life. Between link_up and link_down the port may be sent to."""

    def link_up(self, port: "Port") -> None:
        """The other end said who it is: `port.peer`."""

    def link_frame(self, port: "Port", frame: frames.AnyFrame) -> None:
        """A frame came."""

    def link_down(self, port: "Port", why: str) -> None:
        """The link is gone; told once, and only after link_up."""

    def link_held(self, port: "Port") -> int:
        """Circuits held for dials of this link, for the heartbeat."""


class Port(asyncio.BufferedProtocol):
    """One end of a stream that carries frames."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        owner: Owner,
        hello: frames.Hello,
        takes: tuple[str, ...],
        tap: Tap | None = None,
        down: Callable[[str], None] | None = None,
    ) -> None:
        self.loop, self.owner, self.hello, self.tap = loop, owner, hello, tap
        self.link = Link(hello.role, takes, now_us(loop))
        self.transport: asyncio.Transport | None = None
        self.stuck = False  # the transport takes no more for now
        self.refusal = ""  # why the link is closed as soon as it stands
        self.rate_pauses = 0
        self._down = down
        self._outbox: deque[frames.AnyFrame] = deque()
        self._flushing = False
        self._buffer = memoryview(bytearray(READ_BUFFER))
        self._beat: asyncio.TimerHandle | None = None
        self._why = ""
        self._second = 0
        self._in_second = 0
        self._told_up = False
        self._marks = 0
        self._marked = 0

    @property
    def peer(self) -> frames.Hello:
        """Who is at the other end; known from link_up on."""
        assert self.link.peer is not None
        return self.link.peer

    # -- sending --

    def send(self, frame: frames.AnyFrame) -> bool:
        """Queue a frame; False where the link is closed. It goes out with what else this turn of the loop
        sends. A reader that has stopped costs MAX_UNSENT frames at most, then its link."""
        if self.link.state is State.CLOSED or self.transport is None:
            return False
        if len(self._outbox) >= MAX_UNSENT:
            self.fail(f"the other end reads nothing, {MAX_UNSENT} frames wait", tell=False)
            return False
        self._outbox.append(frame)
        if not self._flushing and not self.stuck:
            self._flushing = True
            self.loop.call_soon(self._flush)
        return True

    def mark(self) -> int:
        """Ask how far the other end has read; `marked` tells when it has read all that was sent by now."""
        self._marks += 1
        self.send(frames.Mark(self._marks))
        return self._marks

    def marked(self, n: int) -> bool:
        """Whether the other end has answered the mark."""
        return self._marked >= n

    def withdraw(self, which: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        """Take back frames that were not handed to the transport yet."""
        taken = [frame for frame in self._outbox if which(frame)]
        if taken:
            self._outbox = deque(frame for frame in self._outbox if not which(frame))
        return taken

    def _flush(self) -> None:
        self._flushing = False
        while self._outbox and not self.stuck and self.transport is not None:
            if self.transport.is_closing():
                return
            # In pieces, so that the transport can say stop between them and what is left can be withdrawn.
            batch = [self._outbox.popleft() for _ in range(min(len(self._outbox), 32))]
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

    def fail(self, text: str, tell: bool = True) -> None:
        """Close the link, telling the other end why where `tell`."""
        if self.link.state is not State.CLOSED or not self._why:
            self._why = self._why or text
            self.link.closed()
            if self.transport is not None and not self.transport.is_closing():
                if tell:
                    self.transport.write(codec.encode(frames.Fault(text[:400])))
                    self.transport.close()
                else:
                    self.transport.abort()

    def close(self) -> None:
        """Send what waits, then close."""
        if self.transport is not None and not self.transport.is_closing():
            self._flush()
            self._why = self._why or "closed here"
            self.link.closed()
            self.transport.close()

    # -- asyncio.BufferedProtocol --

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Say who we are."""
        self.transport = cast(asyncio.Transport, transport)
        if hasattr(transport, "set_write_buffer_limits"):
            # Nothing waits out of our reach but what the kernel holds: what waits here can be withdrawn.
            with contextlib.suppress(NotImplementedError):  # the emulated transport has limits of its own
                self.transport.set_write_buffer_limits(high=0)
        self.link.heard_at = self.link.began = now_us(self.loop)
        if self.refusal:
            self.fail(self.refusal)
            return
        self.send(self.hello)
        self._beat = self.loop.call_later(HEARTBEAT / 1e6, self._heartbeat)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Room for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes came."""
        fault: LinkFault | None = None
        try:
            got = self.link.receive(self._buffer[:nbytes], now_us(self.loop))
        except LinkFault as bad:
            got, fault = bad.before, bad
        self._count(len(got))
        for frame in got:
            if self._why:
                break  # closed by what an earlier frame led to
            if self.tap:
                self.tap("in", self, frame)
            if isinstance(frame, frames.Hello):
                self._told_up = True
                self.owner.link_up(self)
            elif isinstance(frame, frames.Mark):
                self.send(frames.Marked(frame.sequence))
            elif isinstance(frame, frames.Marked):
                self._marked = max(self._marked, min(frame.sequence, self._marks))
            else:
                self.owner.link_frame(self, frame)
        if fault:
            self.fail(str(fault), tell=fault.tell)

    def eof_received(self) -> bool:
        """The other end says no more: close."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The stream is gone."""
        if self._beat:
            self._beat.cancel()
        self.link.closed()
        self._outbox.clear()
        why = self._why or (str(exc) if exc else "closed by the other end")
        if self._told_up:
            self._told_up = False
            self.owner.link_down(self, why)
        if self._down:
            self._down(why)

    def pause_writing(self) -> None:
        """The transport is full: hold frames here."""
        self.stuck = True

    def resume_writing(self) -> None:
        """The transport takes more."""
        self.stuck = False
        if self._outbox and not self._flushing:
            self._flushing = True
            self.loop.call_soon(self._flush)

    # -- limits --

    def _count(self, frames_now: int) -> None:
        second = now_us(self.loop) // 1_000_000
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += frames_now
        if self._in_second > FRAMES_PER_S and self.transport is not None:
            self.rate_pauses += 1
            self._in_second = 0
            self.transport.pause_reading()
            self.loop.call_later((1_000_000 - now_us(self.loop) % 1_000_000) / 1e6, self._read_on)

    def _read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _heartbeat(self) -> None:
        if self.link.state is State.CLOSED:
            return
        if self.link.silent(now_us(self.loop)):
            # Half-open, or the other end reads and says nothing: the same to us. Nothing is told, for nobody
            # would read it.
            dripped = self.link.state is State.WAITING and self.link.heard_at > self.link.began
            self.fail(f"no Hello within {SILENCE} us" if dripped else "silent", tell=dripped)
            return
        self._beat = self.loop.call_later(HEARTBEAT / 1e6, self._heartbeat)
        self.send(frames.Heartbeat(self.owner.link_held(self)))


class KeptLink:
    """Keeps a link to an address up until it is closed; each loss is followed by a try, spread by `Redial`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: str,
        owner: Owner,
        hello: frames.Hello,
        takes: tuple[str, ...],
        chance: random.Random,
        tap: Tap | None = None,
    ) -> None:
        self.loop, self.network, self.address, self.owner = loop, network, address, owner
        self.hello, self.takes, self.tap = hello, takes, tap
        self.redial = Redial(chance)
        self.port: Port | None = None
        self.tries = 0
        self._closed = False
        self._timer: asyncio.TimerHandle | None = None
        self._try()

    def _try(self) -> None:
        if not self._closed:
            self.tries += 1
            self.network.connect(self.address, self._made, lambda failure: self._lost(failure.detail))

    def _made(self) -> Port:
        self.port = Port(self.loop, self, self.hello, self.takes, self.tap, self._lost)
        return self.port

    def _lost(self, why: str) -> None:
        self.port = None
        if not self._closed:
            self._timer = self.loop.call_later(self.redial.wait() / 1e6, self._try)

    def close(self) -> None:
        """Let the link go and do not try again."""
        self._closed = True
        if self._timer:
            self._timer.cancel()
        if self.port is not None:
            self.port.close()

    # -- Owner, passed on --

    def link_up(self, port: Port) -> None:
        """The link stands."""
        if self._closed:
            port.close()
            return
        self.owner.link_up(port)
        if (
            port.link.state is not State.CLOSED
        ):  # not one that the owner does not want: it would be tried at once
            self.redial.came_up()

    def link_frame(self, port: Port, frame: frames.AnyFrame) -> None:
        """A frame came."""
        self.owner.link_frame(port, frame)

    def link_down(self, port: Port, why: str) -> None:
        """The link is gone."""
        self.owner.link_down(port, why)

    def link_held(self, port: Port) -> int:
        """Circuits held for dials of this link."""
        return self.owner.link_held(port)
