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
    extra_delay_us: int = 0
    refuses: bool = False
    times_out: bool = False


class EmulatedTransport(asyncio.Transport):
    """One end of a stream."""

    def __init__(
        self, net: "EmulatedNetwork", here: str, there: str, protocol: asyncio.BufferedProtocol
    ) -> None:
        super().__init__({"peername": there, "sockname": here})
        self.network, self.local_host, self.remote_host, self.protocol = net, here, there, protocol
        self.peer: EmulatedTransport | None = None
        self.closing = False
        self.reading = True
        self.received: list[bytes] = []
        self.silenced: list[bytes] = []  # written while the network was silent
        self.unread_bytes = 0  # bytes written here and not yet read there
        self.writing_paused = False  # the protocol was told to pause
        self.last_arrival = 0.0
        self.loss_reported = False
        self.write_closed = False

    # -- asyncio.Transport --

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes: they arrive there in order after the network's delay."""
        other = self.peer
        if self.closing or self.write_closed or other is None or not data:
            return
        self.unread_bytes += len(data)
        if self.network.link_faults(self.local_host, self.remote_host).silent:
            self.silenced.append(bytes(data))
            self._pressure()
            return
        due = self.network.arrival_time(self)
        if self.network.link_faults(self.local_host, self.remote_host).trickle:
            for byte in bytes(data):
                due += self.network.TRICKLE_S
                self.network.loop.call_at(due, other._arrive, bytes((byte,)))
            self.last_arrival = due
        else:
            self.network.loop.call_at(due, other._arrive, bytes(data))
        self._pressure()

    def close(self) -> None:
        """Close once what was written has arrived."""
        if self.closing:
            return
        self.closing = True
        other = self.peer
        if other is not None and not self.network.link_faults(self.local_host, self.remote_host).silent:
            self.network.loop.call_at(self.network.arrival_time(self), other._lost, None)
        self.network.loop.call_soon(self._gone, None)

    def abort(self) -> None:
        """Close at once; the other end sees a reset."""
        if self.closing:
            return
        self.closing = True
        other = self.peer
        if other is not None and not self.network.link_faults(self.local_host, self.remote_host).silent:
            self.network.loop.call_at(
                self.network.arrival_time(self), other._lost, ConnectionResetError("reset")
            )
        self.network.loop.call_soon(self._gone, None)

    def can_write_eof(self) -> bool:
        """A stream can be closed one way."""
        return True

    def write_eof(self) -> None:
        """Write no more once what was written has arrived; what still comes is read."""
        if self.closing or self.write_closed:
            return
        self.write_closed = True
        other = self.peer
        if other is not None and not self.network.link_faults(self.local_host, self.remote_host).silent:
            self.network.loop.call_at(self.network.arrival_time(self), other._ended)

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
        return self.unread_bytes

    # -- inside --

    def _arrive(self, data: bytes) -> None:
        if not self.closing:
            self.received.append(data)
            self._deliver()

    def _deliver(self) -> None:
        while self.received and self.reading and not self.closing:
            if self.network.defer_if_paused(self.local_host, self._deliver):
                return
            data = memoryview(self.received.pop(0))
            if self.peer is not None:
                self.peer.unread_bytes -= len(data)
                self.peer._pressure()
            while data and not self.closing:  # as asyncio: once closed here, what still comes is not read
                room = self.protocol.get_buffer(len(data))
                taken = min(len(room), len(data))  # type: ignore[arg-type]
                memoryview(room)[:taken] = data[:taken]
                data = data[taken:]
                self.protocol.buffer_updated(taken)

    def _pressure(self) -> None:
        if not self.writing_paused and self.unread_bytes > HIGH_WATER:
            self.writing_paused = True
            self.network.loop.call_soon(self._pause_writing)
        elif self.writing_paused and self.unread_bytes <= LOW_WATER and not self.closing:
            self.writing_paused = False
            self.network.loop.call_soon(self._resume_writing)

    def _pause_writing(self) -> None:
        if not self.network.defer_if_paused(self.local_host, self._pause_writing):
            self.protocol.pause_writing()

    def _resume_writing(self) -> None:
        if not self.network.defer_if_paused(self.local_host, self._resume_writing):
            self.protocol.resume_writing()

    def _ended(self) -> None:
        """The other end writes no more."""
        if self.closing or self.network.defer_if_paused(self.local_host, self._ended):
            return
        if self.reading and not self.protocol.eof_received():
            self.close()

    def _lost(self, why: Exception | None) -> None:
        if self.network.defer_if_paused(self.local_host, self._lost, why):
            return
        if not self.closing:
            self.closing = True
            self._gone(why)

    def _gone(self, why: Exception | None) -> None:
        if not self.loss_reported:
            self.loss_reported = True
            self.network.transports.pop(self, None)
            self.protocol.connection_lost(why)


@dataclass(eq=False)
class _EmulatedListener:
    network: "EmulatedNetwork"
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
            self.network.loop.call_soon(reach)

    def close(self) -> None:
        self.network.listeners.pop(self.address, None)


@dataclass(eq=False)
class _EmulatedDatagramSender:
    network: "EmulatedNetwork"
    address: str
    received: DatagramHandler

    def send(self, data: bytes, address: str) -> None:
        self.network.send_datagram(self.address, address, bytes(data))

    def close(self) -> None:
        self.network.senders.pop(self.address, None)


@dataclass(eq=False)
class EmulatedNetwork:
    """All hosts of a day. Give each party `at(host)`, its own view; `delay` is one way, `jitter` a share of it."""

    loop: asyncio.AbstractEventLoop
    seed: int
    delay: Delay = lambda here, there: 1000
    jitter: float = 0.0
    listeners: dict[str, _EmulatedListener] = field(default_factory=dict)
    transports: dict[EmulatedTransport, None] = field(default_factory=dict)
    faults: dict[tuple[str, str], LinkFaults] = field(default_factory=dict)
    party_loops: dict[str, PausableLoop] = field(default_factory=dict)
    senders: dict[str, "_EmulatedDatagramSender"] = field(default_factory=dict)
    datagram_loss: float = 0.0  # share of datagrams that never arrive

    TRICKLE_S = 0.0005
    CONNECT_TIMEOUT_S = 0.5
    _FINE = LinkFaults()

    def __post_init__(self) -> None:
        self._chance = random.Random(self.seed)
        self._next_port = 1000

    def for_host(self, host: str) -> "HostNetwork":
        """The network as `host` sees it."""
        return HostNetwork(self, host)

    def defer_if_paused(self, host: str, callback: Callable[..., object], *args: object) -> bool:
        """Whether a host is paused; `callback` then waits until it goes on."""
        gate = self.party_loops.get(host)
        if gate is None or not gate.paused:
            return False
        gate.run_or_defer(callback, *args)
        return True

    def link_faults(self, here: str, there: str) -> LinkFaults:
        """What is wrong from one host to another."""
        return self.faults.get((here, there), self._FINE) if self.faults else self._FINE

    def faults_between(self, here: str, there: str) -> LinkFaults:
        """The weather record between two hosts, both ways, to change."""
        weather = self.faults.setdefault((here, there), LinkFaults())
        self.faults[there, here] = weather
        return weather

    def arrival_time(self, pipe: EmulatedTransport) -> float:
        """When bytes written now arrive: never before those written earlier."""
        delay = (
            self.delay(pipe.local_host, pipe.remote_host)
            + self.link_faults(pipe.local_host, pipe.remote_host).extra_delay_us
        ) / 1e6
        if self.jitter:
            delay *= 1 + self.jitter * self._chance.random()
        # Strictly later than what went before: the loop's timers keep no order among equal times.
        pipe.last_arrival = max(self.loop.time() + delay, pipe.last_arrival + 1e-8)
        return pipe.last_arrival

    def send_datagram(self, here: str, there: str, data: bytes) -> None:
        """Carry a datagram: late, out of order or not at all, as UDP may."""
        weather = self.link_faults(here.rpartition(":")[0], there.rpartition(":")[0])
        if weather.silent or weather.refuses or self._chance.random() < self.datagram_loss:
            return
        delay = self.delay(here.rpartition(":")[0], there.rpartition(":")[0]) + weather.extra_delay_us
        late = delay / 1e6 * (1 + self.jitter * self._chance.random())
        self.loop.call_later(late, self._datagram_there, here, there, data)

    def _datagram_there(self, here: str, there: str, data: bytes) -> None:
        sending = self.senders.get(there)
        host = there.rpartition(":")[0]
        if sending is not None and not self.defer_if_paused(host, self._datagram_there, here, there, data):
            sending.received(data, here)

    def connections(self, here: str, there: str) -> list[EmulatedTransport]:
        """The open ends at `here` of links with `there`."""
        return [pipe for pipe in self.transports if pipe.local_host == here and pipe.remote_host == there]

    def end_silence(self, here: str, there: str) -> None:
        """Silence between two hosts is over: what was written arrives now, in order; an end whose other end closed
        meanwhile sees a reset."""
        for pipe in self.connections(here, there) + self.connections(there, here):
            other = pipe.peer
            if other is None:
                continue
            if other.closing:
                self.loop.call_at(self.arrival_time(pipe), pipe._lost, ConnectionResetError("reset"))
                continue
            for data in pipe.silenced:
                self.loop.call_at(self.arrival_time(pipe), other._arrive, data)
            pipe.silenced.clear()

    def reset_connections(self, here: str, there: str) -> int:
        """Reset every link between two hosts; returns how many."""
        found = self.connections(here, there)
        for pipe in found:
            if pipe.peer is not None:
                pipe.peer._lost(ConnectionResetError("cut"))
            pipe._lost(ConnectionResetError("cut"))
        return len(found)

    def reset_host(self, host: str) -> None:
        """A host's process is gone: the other ends of its links see a reset, itself sees nothing more."""
        for pipe in [pipe for pipe in self.transports if pipe.local_host == host]:
            pipe.closing = pipe.loss_reported = True
            self.transports.pop(pipe, None)
            if pipe.peer is not None:
                self.loop.call_at(self.arrival_time(pipe), pipe.peer._lost, ConnectionResetError("reset"))

    def next_free_port(self) -> int:
        """A port nobody listens at."""
        self._next_port += 1
        return self._next_port


@dataclass(frozen=True)
class HostNetwork:
    """`Network` for one host."""

    network: EmulatedNetwork
    host: str

    def listen(self, address: str, factory: ProtocolFactory, ready: Callable[[Listener], None]) -> None:
        """As `Network.listen`; hosts are names here."""
        host, _, port = address.rpartition(":")
        full = f"{host}:{port if port != '0' else self.network.next_free_port()}"
        if full in self.network.listeners:
            raise OSError(f"{full} in use")
        listening = self.network.listeners[full] = _EmulatedListener(self.network, full, factory)
        self.network.loop.call_soon(ready, listening)

    def open_datagrams(
        self, address: str, taken: DatagramHandler, ready: Callable[[DatagramSender], None]
    ) -> None:
        """As `Network.datagrams`."""
        if address in self.network.senders:
            raise OSError(f"{address} in use")
        sending = self.network.senders[address] = _EmulatedDatagramSender(self.network, address, taken)
        self.network.loop.call_soon(ready, sending)

    def connect(
        self, address: str, factory: ProtocolFactory, failed: Callable[[ConnectFailure], None]
    ) -> None:
        """As `Network.connect`."""
        there = address.rpartition(":")[0]
        way = self.network.delay(self.host, there) / 1e6

        def reach() -> None:
            listening = self.network.listeners.get(address)
            if listening is None or self.network.link_faults(self.host, there).refuses:
                self.network.loop.call_later(way, failed, ConnectFailure("refused", refused=True))
                return
            if self.network.link_faults(self.host, there).times_out:
                self.network.loop.call_later(
                    self.network.CONNECT_TIMEOUT_S, failed, ConnectFailure("timed out")
                )
                return
            if listening.paused:
                listening.waiting.append(reach)
                return
            far = EmulatedTransport(self.network, there, self.host, listening.factory())
            near = EmulatedTransport(self.network, self.host, there, factory())
            near.peer, far.peer = far, near
            self.network.transports[far] = self.network.transports[near] = None
            # Before the far end hears of the link: what it writes at once must not arrive before the near end is up.
            near.last_arrival = far.last_arrival = self.network.loop.time() + way
            if not self.network.defer_if_paused(there, far.protocol.connection_made, far):
                far.protocol.connection_made(far)
            self.network.loop.call_later(way, opened, near)

        def opened(near: EmulatedTransport) -> None:
            if not near.closing and not self.network.defer_if_paused(self.host, opened, near):
                near.protocol.connection_made(near)

        self.network.loop.call_later(way, reach)
