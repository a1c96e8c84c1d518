"""The only way to open transports, `Network`; and the time of the event loop, in whole microseconds."""

import asyncio
import contextlib
import ipaddress
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

ProtocolFactory = Callable[[], asyncio.BufferedProtocol]
DatagramHandler = Callable[[bytes, str], None]
"""Receives a datagram and the address of its sender."""


# What poll() reports of a connection that its peer has closed or reset; the first is known on Linux alone.
PEER_ENDED_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR
ACCEPT_RETRY_S = 1.0  # after a connection could not be accepted for lack of descriptors or memory


def now_us(loop: asyncio.AbstractEventLoop) -> int:
    """The event loop's time in whole microseconds; converted only here."""
    return round(loop.time() * 1_000_000)


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """Why a connection could not be opened. `refused`: the host is up, but nothing listens at the port."""

    detail: str
    refused: bool = False


class Timer(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Do not call the callback."""


class Listener(Protocol):
    """Accepts connections at an address until it is closed."""

    address: str

    def pause(self) -> None:
        """Leave new connections, and data sent on them, waiting until `resume`."""

    def resume(self) -> None:
        """Accept connections again."""

    def close(self) -> None:
        """Accept no more connections."""


class DatagramSender(Protocol):
    """Sends datagrams from one address."""

    def send(self, data: bytes, address: str) -> None:
        """Send one datagram; it may be late or lost."""

    def close(self) -> None:
        """Send and receive no more."""


class Network(Protocol):
    """Opens transports. Addresses are host:port."""

    def listen(self, address: str, factory: ProtocolFactory, on_ready: Callable[[Listener], None]) -> None:
        """Accept connections at `address` (port 0: any free one), each with a new protocol of `factory`."""

    def open_datagrams(
        self, address: str, on_datagram: DatagramHandler, on_ready: Callable[[DatagramSender], None]
    ) -> None:
        """Send and receive datagrams at `address`."""

    def connect(
        self, address: str, factory: ProtocolFactory, on_failure: Callable[[ConnectFailure], None]
    ) -> None:
        """Open a connection; either its protocol's `connection_made` is called, or `on_failure` with the reason."""

    def peer_has_ended(self, transport: asyncio.Transport) -> bool:
        """Whether the peer of a connection is known to have closed or reset it, also while data from before that is
        still unread."""


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port`. Raises ValueError naming the address."""
    host, _, port = address.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= 65535):
        raise ValueError(f"address {address[:80]!r} is not host:port")
    return host, int(port)


def is_loopback(host: str) -> bool:
    """Whether a host is certainly this machine. Guards against names: one that begins with `127.` is looked up, and may
    be anywhere."""
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


class _SocketListener:
    """Accepts a limited number of connections in each iteration of the event loop, and passes each to a callback."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        host: str,
        accepts_per_turn: int,
        on_accept: Callable[[socket.socket], None],
    ) -> None:
        self._loop, self._sock, self._accepts_per_turn, self._on_accept = (
            loop,
            sock,
            accepts_per_turn,
            on_accept,
        )
        self._paused = True
        self._closed = False
        self.address = f"{host}:{sock.getsockname()[1]}"
        self.resume()

    def pause(self) -> None:
        if not self._paused and not self._closed:
            self._paused = True
            self._loop.remove_reader(self._sock.fileno())

    def resume(self) -> None:
        if self._paused and not self._closed:
            self._paused = False
            self._loop.add_reader(self._sock.fileno(), self._accept_ready)

    def close(self) -> None:
        self.pause()
        self._closed = True
        self._sock.close()

    def _accept_ready(self) -> None:
        for _ in range(self._accepts_per_turn):
            if self._paused:  # while the previous connection was handled
                return
            try:
                connection, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._out_of_resources(error)
                return
            connection.setblocking(False)
            self._on_accept(connection)

    def _out_of_resources(self, error: OSError) -> None:
        """No descriptor or memory is left. Without a pause the event loop would retry at once, as the connection stays
        pending."""
        self._loop.call_exception_handler({"message": "cannot accept a connection", "exception": error})
        self.pause()
        self._loop.call_later(ACCEPT_RETRY_S, self.resume)


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: DatagramHandler) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not asserted: asyncio's own implementation is not an asyncio.DatagramTransport in Python 3.11.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Ignored: a datagram may be lost."""

    def send(self, data: bytes, address: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, split_address(address))

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


class LoopNetwork:
    """A network on an asyncio event loop. `check_host` raises ValueError for a host that may not be used; `backlog` is
    the number of new connections that may wait to be accepted."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        check_host: Callable[[str], None],
        connect_timeout_s: float,
        backlog: int = 100,  # asyncio's own default
        accepts_per_turn: int = 100,
    ) -> None:
        """`accepts_per_turn`: how many of those are accepted in one iteration of the event loop."""
        self._loop, self._check_host = loop, check_host
        self._connect_timeout_s, self._backlog, self._accepts_per_turn = (
            connect_timeout_s,
            backlog,
            accepts_per_turn,
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def _spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task: asyncio.Task[None] = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _split(self, address: str) -> tuple[str, int]:
        host, port = split_address(address)
        self._check_host(host)
        return host, port

    def _report_listen_error(self, address: str, error: OSError) -> None:
        self._loop.call_exception_handler(
            {"message": f"cannot listen at {address}", "exception": error, "address": address}
        )

    def listen(self, address: str, factory: ProtocolFactory, on_ready: Callable[[Listener], None]) -> None:
        """See `Network`. If it cannot listen, it calls the event loop's exception handler, with the `address`."""
        host, port = self._split(address)

        async def serve(connection: socket.socket) -> None:
            with contextlib.suppress(OSError):  # it was reset while it waited to be accepted
                await self._loop.connect_accepted_socket(factory, connection)

        def listen() -> None:
            try:
                sock = _listening_socket(host, port, self._backlog)
            except OSError as error:
                self._report_listen_error(address, error)
                return
            on_ready(
                _SocketListener(
                    self._loop,
                    sock,
                    host,
                    self._accepts_per_turn,
                    lambda connection: self._spawn(serve(connection)),
                )
            )

        self._loop.call_soon(listen)

    def open_datagrams(
        self, address: str, on_datagram: DatagramHandler, on_ready: Callable[[DatagramSender], None]
    ) -> None:
        """See `Network`. Errors are handled as by `listen`."""
        local = self._split(address)

        async def open_endpoint() -> None:
            try:
                _, sender = await self._loop.create_datagram_endpoint(
                    lambda: _DatagramProtocol(on_datagram), local_addr=local
                )
            except OSError as error:
                self._report_listen_error(address, error)
                return
            on_ready(sender)

        self._spawn(open_endpoint())

    def connect(
        self, address: str, factory: ProtocolFactory, on_failure: Callable[[ConnectFailure], None]
    ) -> None:
        """See `Network`."""
        try:
            host, port = self._split(address)
        except ValueError as error:
            self._loop.call_soon(on_failure, ConnectFailure(str(error)))
            return

        async def open_connection() -> None:
            try:
                async with asyncio.timeout(self._connect_timeout_s):
                    await self._loop.create_connection(factory, host, port)
            except (OSError, TimeoutError, ValueError) as error:
                # ValueError: a name that cannot be looked up at all. Unless it is reported, the caller never retries.
                refused = isinstance(error, ConnectionRefusedError)
                on_failure(ConnectFailure(str(error) or "timed out", refused))

        self._spawn(open_connection())

    def peer_has_ended(self, transport: asyncio.Transport) -> bool:
        """See `Network`. Where the system does not tell of a close behind unread data, only of a reset."""
        sock = transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), PEER_ENDED_EVENTS)
        try:
            return any(events & PEER_ENDED_EVENTS for _, events in poll.poll(0))
        except OSError:
            return False


class LoopbackNetwork(LoopNetwork):
    """A network that refuses every address but loopback."""

    CONNECT_TIMEOUT_S = 3.0  # loopback connects at once unless the backlog is full

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, _require_loopback, self.CONNECT_TIMEOUT_S)


def _listening_socket(host: str, port: int, backlog: int) -> socket.socket:
    """A non-blocking listening socket. Its protocol is given explicitly: asyncio disables Nagle's algorithm only on
    sockets whose protocol is TCP, and accepted sockets inherit the protocol of their listener."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind((host, port))
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def _require_loopback(host: str) -> None:
    if not is_loopback(host):
        raise ValueError(f"address {host[:80]!r} is not loopback")


def require_ip_address(host: str) -> None:
    """Raise ValueError for a host that is not an IP address: the platform has no DNS, and names must not be looked
    up."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"address {host[:80]!r} is not an IP address") from None
