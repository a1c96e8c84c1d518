"""A network of streams and datagrams in virtual time, with delay, ordering, back-pressure and socket faults."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wellhitch.emulator.pausable_loop import PausableLoop
from wellhitch.net.transport import ConnectFailure, DatagramHandler, DatagramSender, Listener, ProtocolFactory

Delay = Callable[[str, str], int]
"""One-way delay in us between two hosts."""

HIGH_WATER_BYTES = 64 * 1024  # asyncio's default
LOW_WATER_BYTES = HIGH_WATER_BYTES // 4


@dataclass(slots=True, eq=False)
class LinkFaults:
    """Present faults between two hosts. `silent`: bytes do not arrive and neither end is notified (half-open); as with
    TCP, none is lost while the connection lives: they arrive when the fault ends. `trickle`: bytes arrive one by one.
    `refuses`: new connections are refused. `times_out`: new connections are never established."""

    silent: bool = False
    trickle: bool = False
    extra_delay_us: int = 0
    refuses: bool = False
    times_out: bool = False


class EmulatedTransport(asyncio.Transport):
    """One end of an emulated stream."""

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
        self.writing_paused = False  # the protocol's pause_writing() is in effect
        self.last_arrival = 0.0
        self.loss_reported = False
        self.write_closed = False
        self.peer_ends_at: float | None = None  # when the peer's close or reset arrives
        self.close_pending = False  # the peer's close arrived behind unread bytes while reading was paused

    # -- asyncio.Transport --

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes. They arrive in order after the network's delay."""
        peer = self.peer
        if self.closing or self.write_closed or peer is None or not data:
            return
        self.unread_bytes += len(data)
        if self.network.link_faults(self.local_host, self.remote_host).silent:
            self.silenced.append(bytes(data))
            self._update_flow_control()
            return
        due = self.network.arrival_time(self)
        if self.network.link_faults(self.local_host, self.remote_host).trickle:
            for byte in bytes(data):
                due += self.network.TRICKLE_S
                self.network.loop.call_at(due, peer._data_arrived, bytes((byte,)))
            self.last_arrival = due
        else:
            self.network.loop.call_at(due, peer._data_arrived, bytes(data))
        self._update_flow_control()

    def close(self) -> None:
        """Close after all written bytes have arrived."""
        if self.closing:
            return
        self.closing = True
        peer = self.peer
        if peer is not None and not self.network.link_faults(self.local_host, self.remote_host).silent:
            peer.peer_ends_at = self.network.arrival_time(self)
            self.network.loop.call_at(peer.peer_ends_at, peer._connection_lost, None)
        self.network.loop.call_soon(self._report_loss, None)

    def abort(self) -> None:
        """Close at once; the other end sees a reset."""
        if self.closing:
            return
        self.closing = True
        peer = self.peer
        if peer is not None and not self.network.link_faults(self.local_host, self.remote_host).silent:
            peer.peer_ends_at = self.network.arrival_time(self)
            self.network.loop.call_at(peer.peer_ends_at, peer._connection_lost, ConnectionResetError("reset"))
        self.network.loop.call_soon(self._report_loss, None)

    def can_write_eof(self) -> bool:
        """A stream can be closed in one direction."""
        return True

    def write_eof(self) -> None:
        """Close the writing direction after all written bytes have arrived; reading continues."""
        if self.closing or self.write_closed:
            return
        self.write_closed = True
        peer = self.peer
        if peer is not None and not self.network.link_faults(self.local_host, self.remote_host).silent:
            peer.peer_ends_at = self.network.arrival_time(self)
            self.network.loop.call_at(peer.peer_ends_at, peer._eof_arrived)

    def is_closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self.closing

    def pause_reading(self) -> None:
        """Buffer arriving bytes."""
        self.reading = False

    def resume_reading(self) -> None:
        """Deliver buffered bytes, and the peer's close if it arrived behind them."""
        self.reading = True
        self._deliver()
        if self.close_pending and self.reading:
            self._connection_lost(None)

    def get_write_buffer_size(self) -> int:
        """Bytes written and not yet read by the peer."""
        return self.unread_bytes

    # -- internal --

    def _data_arrived(self, data: bytes) -> None:
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
                self.peer._update_flow_control()
            while data and not self.closing:  # as asyncio: after closing, arriving bytes are not read
                buffer = self.protocol.get_buffer(len(data))
                count = min(len(buffer), len(data))  # type: ignore[arg-type]
                memoryview(buffer)[:count] = data[:count]
                data = data[count:]
                self.protocol.buffer_updated(count)

    def _update_flow_control(self) -> None:
        if not self.writing_paused and self.unread_bytes > HIGH_WATER_BYTES:
            self.writing_paused = True
            self.network.loop.call_soon(self._pause_writing)
        elif self.writing_paused and self.unread_bytes <= LOW_WATER_BYTES and not self.closing:
            self.writing_paused = False
            self.network.loop.call_soon(self._resume_writing)

    def _pause_writing(self) -> None:
        if not self.network.defer_if_paused(self.local_host, self._pause_writing):
            self.protocol.pause_writing()

    def _resume_writing(self) -> None:
        if not self.network.defer_if_paused(self.local_host, self._resume_writing):
            self.protocol.resume_writing()

    def _eof_arrived(self) -> None:
        """The peer has closed its writing direction."""
        if self.closing or self.network.defer_if_paused(self.local_host, self._eof_arrived):
            return
        if self.reading and not self.protocol.eof_received():
            self.close()

    def _connection_lost(self, error: Exception | None) -> None:
        if self.network.defer_if_paused(self.local_host, self._connection_lost, error):
            return
        if error is None and self.received and not self.reading:
            self.close_pending = True
        elif not self.closing:
            self.closing = True
            self._report_loss(error)

    def _report_loss(self, error: Exception | None) -> None:
        if not self.loss_reported:
            self.loss_reported = True
            self.network.transports.pop(self, None)
            self.protocol.connection_lost(error)


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
    """All hosts of a day; each party uses `for_host(host)`. `delay` is one-way, `jitter` a share of it."""

    loop: asyncio.AbstractEventLoop
    seed: int
    delay: Delay = lambda here, there: 1000
    jitter: float = 0.0
    listeners: dict[str, _EmulatedListener] = field(default_factory=dict)
    transports: dict[EmulatedTransport, None] = field(default_factory=dict)
    faults: dict[tuple[str, str], LinkFaults] = field(default_factory=dict)
    party_loops: dict[str, PausableLoop] = field(default_factory=dict)
    senders: dict[str, "_EmulatedDatagramSender"] = field(default_factory=dict)
    datagram_loss: float = 0.0  # share of datagrams that are lost

    TRICKLE_S = 0.0005
    CONNECT_TIMEOUT_S = 0.5
    _NO_FAULTS = LinkFaults()

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._next_port = 1000

    def for_host(self, host: str) -> "HostNetwork":
        """The network interface of `host`."""
        return HostNetwork(self, host)

    def defer_if_paused(self, host: str, callback: Callable[..., object], *args: object) -> bool:
        """Return whether a host is paused; if so, `callback` is deferred until it resumes."""
        gate = self.party_loops.get(host)
        if gate is None or not gate.paused:
            return False
        gate.run_or_defer(callback, *args)
        return True

    def link_faults(self, here: str, there: str) -> LinkFaults:
        """The faults from one host to another."""
        return self.faults.get((here, there), self._NO_FAULTS) if self.faults else self._NO_FAULTS

    def faults_between(self, here: str, there: str) -> LinkFaults:
        """The faults between two hosts in both directions, to be modified."""
        faults = self.faults.setdefault((here, there), LinkFaults())
        self.faults[there, here] = faults
        return faults

    def arrival_time(self, transport: EmulatedTransport) -> float:
        """The time at which bytes written now arrive, never before those written earlier."""
        delay = (
            self.delay(transport.local_host, transport.remote_host)
            + self.link_faults(transport.local_host, transport.remote_host).extra_delay_us
        ) / 1e6
        if self.jitter:
            delay *= 1 + self.jitter * self._rng.random()
        # Strictly later than earlier bytes, because the loop's timers keep no order among equal times.
        transport.last_arrival = max(self.loop.time() + delay, transport.last_arrival + 1e-8)
        return transport.last_arrival

    def send_datagram(self, here: str, there: str, data: bytes) -> None:
        """Send a datagram, which may arrive late, out of order or not at all, as with UDP."""
        faults = self.link_faults(here.rpartition(":")[0], there.rpartition(":")[0])
        if faults.silent or faults.refuses or self._rng.random() < self.datagram_loss:
            return
        delay = self.delay(here.rpartition(":")[0], there.rpartition(":")[0]) + faults.extra_delay_us
        delay_s = delay / 1e6 * (1 + self.jitter * self._rng.random())
        self.loop.call_later(delay_s, self._datagram_arrived, here, there, data)

    def _datagram_arrived(self, here: str, there: str, data: bytes) -> None:
        sender = self.senders.get(there)
        host = there.rpartition(":")[0]
        if sender is not None and not self.defer_if_paused(host, self._datagram_arrived, here, there, data):
            sender.received(data, here)

    def connections(self, here: str, there: str) -> list[EmulatedTransport]:
        """The open transports at `here` of connections with `there`."""
        return [
            transport
            for transport in self.transports
            if transport.local_host == here and transport.remote_host == there
        ]

    def end_silence(self, here: str, there: str) -> None:
        """End the silence between two hosts: bytes written meanwhile arrive in order; an end whose peer has closed sees
        a reset."""
        for transport in self.connections(here, there) + self.connections(there, here):
            peer = transport.peer
            if peer is None:
                continue
            if peer.closing:
                self.loop.call_at(
                    self.arrival_time(transport), transport._connection_lost, ConnectionResetError("reset")
                )
                continue
            for data in transport.silenced:
                self.loop.call_at(self.arrival_time(transport), peer._data_arrived, data)
            transport.silenced.clear()

    def reset_connections(self, here: str, there: str) -> int:
        """Reset every connection between two hosts; returns their number."""
        found = self.connections(here, there)
        for transport in found:
            if transport.peer is not None:
                transport.peer._connection_lost(ConnectionResetError("cut"))
            transport._connection_lost(ConnectionResetError("cut"))
        return len(found)

    def reset_host(self, host: str) -> None:
        """A host's process has died: the peers of its connections see a reset, its own protocols see nothing."""
        for transport in [transport for transport in self.transports if transport.local_host == host]:
            transport.closing = transport.loss_reported = True
            self.transports.pop(transport, None)
            if transport.peer is not None:
                self.loop.call_at(
                    self.arrival_time(transport),
                    transport.peer._connection_lost,
                    ConnectionResetError("reset"),
                )

    def next_free_port(self) -> int:
        """An unused port."""
        self._next_port += 1
        return self._next_port


@dataclass(frozen=True)
class HostNetwork:
    """Implements `Network` for one host."""

    network: EmulatedNetwork
    host: str

    def listen(self, address: str, factory: ProtocolFactory, ready: Callable[[Listener], None]) -> None:
        """As `Network.listen`, with host names as addresses."""
        host, _, port = address.rpartition(":")
        full = f"{host}:{port if port != '0' else self.network.next_free_port()}"
        if full in self.network.listeners:
            raise OSError(f"{full} in use")
        listener = self.network.listeners[full] = _EmulatedListener(self.network, full, factory)
        self.network.loop.call_soon(ready, listener)

    def open_datagrams(
        self, address: str, received: DatagramHandler, ready: Callable[[DatagramSender], None]
    ) -> None:
        """As `Network.open_datagrams`."""
        if address in self.network.senders:
            raise OSError(f"{address} in use")
        sender = self.network.senders[address] = _EmulatedDatagramSender(self.network, address, received)
        self.network.loop.call_soon(ready, sender)

    def connect(
        self, address: str, factory: ProtocolFactory, failed: Callable[[ConnectFailure], None]
    ) -> None:
        """As `Network.connect`."""
        there = address.rpartition(":")[0]
        delay_s = self.network.delay(self.host, there) / 1e6

        def reach() -> None:
            listener = self.network.listeners.get(address)
            if listener is None or self.network.link_faults(self.host, there).refuses:
                self.network.loop.call_later(delay_s, failed, ConnectFailure("refused", refused=True))
                return
            if self.network.link_faults(self.host, there).times_out:
                self.network.loop.call_later(
                    self.network.CONNECT_TIMEOUT_S, failed, ConnectFailure("timed out")
                )
                return
            if listener.paused:
                listener.waiting.append(reach)
                return
            far = EmulatedTransport(self.network, there, self.host, listener.factory())
            near = EmulatedTransport(self.network, self.host, there, factory())
            near.peer, far.peer = far, near
            self.network.transports[far] = self.network.transports[near] = None
            # Set before the far end is notified: its first bytes must not arrive before the near end is connected.
            near.last_arrival = far.last_arrival = self.network.loop.time() + delay_s
            if not self.network.defer_if_paused(there, far.protocol.connection_made, far):
                far.protocol.connection_made(far)
            self.network.loop.call_later(delay_s, opened, near)

        def opened(near: EmulatedTransport) -> None:
            if not near.closing and not self.network.defer_if_paused(self.host, opened, near):
                near.protocol.connection_made(near)

        self.network.loop.call_later(delay_s, reach)

    def peer_has_ended(self, transport: asyncio.Transport) -> bool:
        """As `Network.peer_has_ended`."""
        assert isinstance(transport, EmulatedTransport)
        ends_at = transport.peer_ends_at
        return transport.closing or (ends_at is not None and ends_at <= self.network.loop.time())
