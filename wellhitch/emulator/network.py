"""A network of streams in virtual time: delay, order, back-pressure, and the faults of real sockets."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wellhitch.emulator.pausable_loop import PausableLoop
from wellhitch.net.transport import ConnectFailure, DatagramHandler, DatagramSender, Listener, ProtocolFactory

Delay = Callable[[str, str], int]
"""One-way time in us between two hosts."""

HIGH_WATER = 64 * 1024  # asyncio's own default
LOW_WATER = HIGH_WATER // 4


@dataclass(slots=True, eq=False)
class LinkFaults:
    """What is wrong between two hosts now. `silent`: bytes do not arrive and nobody is told (half-open); as with
    TCP none is lost while the link lives: they come once it is over.
    `trickle`: bytes arrive one by one. `late`: us more on the way. `broken`: new links are refused.
    `swallowed`: new links never come up."""

    silent: bool = False
    trickle: bool = False
    late: int = 0
    broken: bool = False
    swallowed: bool = False


class EmulatedTransport(asyncio.Transport):
    """One end of a stream."""

    def __init__(
        self, net: "EmulatedNetwork", here: str, there: str, protocol: asyncio.BufferedProtocol
    ) -> None:
        super().__init__({"peername": there, "sockname": here})
        self.net, self.here, self.there, self.protocol = net, here, there, protocol
        self.other: EmulatedTransport | None = None
        self.closing = False
        self.reading = True
        self.arrived: list[bytes] = []
        self.stalled: list[bytes] = []  # written while the network was silent
        self.unread = 0  # bytes written here and not yet read there
        self.held = False  # the protocol was told to pause
        self.last_due = 0.0
        self.queue_closed = False
        self.half_closed = False

    # -- asyncio.Transport --

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes: they arrive there in order after the network's delay."""
        other = self.other
        if self.closing or self.half_closed or other is None or not data:
            return
        self.unread += len(data)
        if self.net.weather(self.here, self.there).silent:
            self.stalled.append(bytes(data))
            self._pressure()
            return
        due = self.net.due(self)
        if self.net.weather(self.here, self.there).trickle:
            for byte in bytes(data):
                due += self.net.TRICKLE_S
                self.net.loop.call_at(due, other._arrive, bytes((byte,)))
            self.last_due = due
        else:
            self.net.loop.call_at(due, other._arrive, bytes(data))
        self._pressure()

    def close(self) -> None:
        """Close once what was written has arrived."""
        if self.closing:
            return
        self.closing = True
        other = self.other
        if other is not None and not self.net.weather(self.here, self.there).silent:
            self.net.loop.call_at(self.net.due(self), other._lost, None)
        self.net.loop.call_soon(self._gone, None)

    def abort(self) -> None:
        """Close at once; the other end sees a reset."""
        if self.closing:
            return
        self.closing = True
        other = self.other
        if other is not None and not self.net.weather(self.here, self.there).silent:
            self.net.loop.call_at(self.net.due(self), other._lost, ConnectionResetError("reset"))
        self.net.loop.call_soon(self._gone, None)

    def can_write_eof(self) -> bool:
        """A stream can be closed one way."""
        return True

    def write_eof(self) -> None:
        """Write no more once what was written has arrived; what still comes is read."""
        if self.closing or self.half_closed:
            return
        self.half_closed = True
        other = self.other
        if other is not None and not self.net.weather(self.here, self.there).silent:
            self.net.loop.call_at(self.net.due(self), other._ended)

    def is_closing(self) -> bool:
        """Whether the link is closed or closing."""
        return self.closing

    def pause_reading(self) -> None:
        """Let what arrives wait."""
        self.reading = False

    def resume_reading(self) -> None:
        """Take what has waited."""
        self.reading = True
        self._deliver()

    def get_write_buffer_size(self) -> int:
        """Bytes written and not yet read at the other end."""
        return self.unread

    # -- inside --

    def _arrive(self, data: bytes) -> None:
        if not self.closing:
            self.arrived.append(data)
            self._deliver()

    def _deliver(self) -> None:
        while self.arrived and self.reading and not self.closing:
            if self.net.held_up(self.here, self._deliver):
                return
            data = memoryview(self.arrived.pop(0))
            if self.other is not None:
                self.other.unread -= len(data)
                self.other._pressure()
            while data and not self.closing:  # as asyncio: once closed here, what still comes is not read
                room = self.protocol.get_buffer(len(data))
                taken = min(len(room), len(data))  # type: ignore[arg-type]
                memoryview(room)[:taken] = data[:taken]
                data = data[taken:]
                self.protocol.buffer_updated(taken)

    def _pressure(self) -> None:
        if not self.held and self.unread > HIGH_WATER:
            self.held = True
            self.net.loop.call_soon(self._pause_writing)
        elif self.held and self.unread <= LOW_WATER and not self.closing:
            self.held = False
            self.net.loop.call_soon(self._resume_writing)

    def _pause_writing(self) -> None:
        if not self.net.held_up(self.here, self._pause_writing):
            self.protocol.pause_writing()

    def _resume_writing(self) -> None:
        if not self.net.held_up(self.here, self._resume_writing):
            self.protocol.resume_writing()

    def _ended(self) -> None:
        """The other end writes no more."""
        if self.closing or self.net.held_up(self.here, self._ended):
            return
        if self.reading and not self.protocol.eof_received():
            self.close()

    def _lost(self, why: Exception | None) -> None:
        if self.net.held_up(self.here, self._lost, why):
            return
        if not self.closing:
            self.closing = True
            self._gone(why)

    def _gone(self, why: Exception | None) -> None:
        if not self.queue_closed:
            self.queue_closed = True
            self.net.pipes.pop(self, None)
            self.protocol.connection_lost(why)


@dataclass(eq=False)
class _EmulatedListener:
    net: "EmulatedNetwork"
    address: str
    factory: ProtocolFactory
    paused: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False
        waiting, self.waiting = self.waiting, []
        for reach in waiting:
            self.net.loop.call_soon(reach)

    def close(self) -> None:
        self.net.listeners.pop(self.address, None)


@dataclass(eq=False)
class _EmulatedDatagramSender:
    net: "EmulatedNetwork"
    address: str
    taken: DatagramHandler

    def send(self, data: bytes, address: str) -> None:
        self.net.datagram(self.address, address, bytes(data))

    def close(self) -> None:
        self.net.senders.pop(self.address, None)


@dataclass(eq=False)
class EmulatedNetwork:
    """All hosts of a day. Give each party `at(host)`, its own view; `delay` is one way, `jitter` a share of it."""

    loop: asyncio.AbstractEventLoop
    seed: int
    delay: Delay = lambda here, there: 1000
    jitter: float = 0.0
    listeners: dict[str, _EmulatedListener] = field(default_factory=dict)
    pipes: dict[EmulatedTransport, None] = field(default_factory=dict)
    bad: dict[tuple[str, str], LinkFaults] = field(default_factory=dict)
    gates: dict[str, PausableLoop] = field(default_factory=dict)
    senders: dict[str, "_EmulatedDatagramSender"] = field(default_factory=dict)
    lost: float = 0.0  # share of datagrams that never arrive

    TRICKLE_S = 0.0005
    CONNECT_TIMEOUT_S = 0.5
    _FINE = LinkFaults()

    def __post_init__(self) -> None:
        self._chance = random.Random(self.seed)
        self._next_port = 1000

    def at(self, host: str) -> "HostNetwork":
        """The network as `host` sees it."""
        return HostNetwork(self, host)

    def held_up(self, host: str, callback: Callable[..., object], *args: object) -> bool:
        """Whether a host is paused; `callback` then waits until it goes on."""
        gate = self.gates.get(host)
        if gate is None or not gate.paused:
            return False
        gate.enter(callback, *args)
        return True

    def weather(self, here: str, there: str) -> LinkFaults:
        """What is wrong from one host to another."""
        return self.bad.get((here, there), self._FINE) if self.bad else self._FINE

    def spoil(self, here: str, there: str) -> LinkFaults:
        """The weather record between two hosts, both ways, to change."""
        weather = self.bad.setdefault((here, there), LinkFaults())
        self.bad[there, here] = weather
        return weather

    def due(self, pipe: EmulatedTransport) -> float:
        """When bytes written now arrive: never before those written earlier."""
        delay = (self.delay(pipe.here, pipe.there) + self.weather(pipe.here, pipe.there).late) / 1e6
        if self.jitter:
            delay *= 1 + self.jitter * self._chance.random()
        # Strictly later than what went before: the loop's timers keep no order among equal times.
        pipe.last_due = max(self.loop.time() + delay, pipe.last_due + 1e-8)
        return pipe.last_due

    def datagram(self, here: str, there: str, data: bytes) -> None:
        """Carry a datagram: late, out of order or not at all, as UDP may."""
        weather = self.weather(here.rpartition(":")[0], there.rpartition(":")[0])
        if weather.silent or weather.broken or self._chance.random() < self.lost:
            return
        delay = self.delay(here.rpartition(":")[0], there.rpartition(":")[0]) + weather.late
        late = delay / 1e6 * (1 + self.jitter * self._chance.random())
        self.loop.call_later(late, self._datagram_there, here, there, data)

    def _datagram_there(self, here: str, there: str, data: bytes) -> None:
        sending = self.senders.get(there)
        host = there.rpartition(":")[0]
        if sending is not None and not self.held_up(host, self._datagram_there, here, there, data):
            sending.taken(data, here)

    def links(self, here: str, there: str) -> list[EmulatedTransport]:
        """The open ends at `here` of links with `there`."""
        return [pipe for pipe in self.pipes if pipe.here == here and pipe.there == there]

    def heal(self, here: str, there: str) -> None:
        """Silence between two hosts is over: what was written arrives now, in order; an end whose other end closed
        meanwhile sees a reset."""
        for pipe in self.links(here, there) + self.links(there, here):
            other = pipe.other
            if other is None:
                continue
            if other.closing:
                self.loop.call_at(self.due(pipe), pipe._lost, ConnectionResetError("reset"))
                continue
            for data in pipe.stalled:
                self.loop.call_at(self.due(pipe), other._arrive, data)
            pipe.stalled.clear()

    def cut(self, here: str, there: str) -> int:
        """Reset every link between two hosts; returns how many."""
        found = self.links(here, there)
        for pipe in found:
            if pipe.other is not None:
                pipe.other._lost(ConnectionResetError("cut"))
            pipe._lost(ConnectionResetError("cut"))
        return len(found)

    def reset_host(self, host: str) -> None:
        """A host's process is gone: the other ends of its links see a reset, itself sees nothing more."""
        for pipe in [pipe for pipe in self.pipes if pipe.here == host]:
            pipe.closing = pipe.queue_closed = True
            self.pipes.pop(pipe, None)
            if pipe.other is not None:
                self.loop.call_at(self.due(pipe), pipe.other._lost, ConnectionResetError("reset"))

    def free_port(self) -> int:
        """A port nobody listens at."""
        self._next_port += 1
        return self._next_port


@dataclass(frozen=True)
class HostNetwork:
    """`Network` for one host."""

    net: EmulatedNetwork
    host: str

    def listen(self, address: str, factory: ProtocolFactory, ready: Callable[[Listener], None]) -> None:
        """As `Network.listen`; hosts are names here."""
        host, _, port = address.rpartition(":")
        full = f"{host}:{port if port != '0' else self.net.free_port()}"
        if full in self.net.listeners:
            raise OSError(f"{full} in use")
        listening = self.net.listeners[full] = _EmulatedListener(self.net, full, factory)
        self.net.loop.call_soon(ready, listening)

    def open_datagrams(
        self, address: str, taken: DatagramHandler, ready: Callable[[DatagramSender], None]
    ) -> None:
        """As `Network.datagrams`."""
        if address in self.net.senders:
            raise OSError(f"{address} in use")
        sending = self.net.senders[address] = _EmulatedDatagramSender(self.net, address, taken)
        self.net.loop.call_soon(ready, sending)

    def connect(
        self, address: str, factory: ProtocolFactory, failed: Callable[[ConnectFailure], None]
    ) -> None:
        """As `Network.connect`."""
        there = address.rpartition(":")[0]
        way = self.net.delay(self.host, there) / 1e6

        def reach() -> None:
            listening = self.net.listeners.get(address)
            if listening is None or self.net.weather(self.host, there).broken:
                self.net.loop.call_later(way, failed, ConnectFailure("refused", refused=True))
                return
            if self.net.weather(self.host, there).swallowed:
                self.net.loop.call_later(self.net.CONNECT_TIMEOUT_S, failed, ConnectFailure("timed out"))
                return
            if listening.paused:
                listening.waiting.append(reach)
                return
            far = EmulatedTransport(self.net, there, self.host, listening.factory())
            near = EmulatedTransport(self.net, self.host, there, factory())
            near.other, far.other = far, near
            self.net.pipes[far] = self.net.pipes[near] = None
            # Before the far end hears of the link: what it writes at once must not arrive before the near end is up.
            near.last_due = far.last_due = self.net.loop.time() + way
            if not self.net.held_up(there, far.protocol.connection_made, far):
                far.protocol.connection_made(far)
            self.net.loop.call_later(way, opened, near)

        def opened(near: EmulatedTransport) -> None:
            if not near.closing and not self.net.held_up(self.host, opened, near):
                near.protocol.connection_made(near)

        self.net.loop.call_later(way, reach)
