"""Transports are opened through `Network` and nothing else; time is the running loop's, in whole microseconds."""

import asyncio
import contextlib
import ipaddress
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

ProtocolFactory = Callable[[], asyncio.BufferedProtocol]
DatagramHandler = Callable[[bytes, str], None]
"""Takes a datagram and the address it came from."""


ACCEPT_RETRY_S = 1.0  # after accepting a connection failed for want of descriptors or memory


def now_us(loop: asyncio.AbstractEventLoop) -> int:
    """The loop's clock in whole microseconds: the one place where it is turned."""
    return round(loop.time() * 1_000_000)


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """Why a connection did not come up. `refused`: the machine is there, and nobody listens."""

    detail: str
    refused: bool = False


class Timer(Protocol):
    """A timer that can be taken back."""

    def cancel(self) -> None:
        """It will not ring."""


class Listener(Protocol):
    """Something that takes links at an address until it is closed."""

    address: str

    def pause(self) -> None:
        """Let new links wait, with what is sent on them, until `resume`."""

    def resume(self) -> None:
        """Take links again."""

    def close(self) -> None:
        """Take no more links."""


class DatagramSender(Protocol):
    """Somewhere to send datagrams from."""

    def send(self, data: bytes, address: str) -> None:
        """Send one; it comes late or not at all."""

    def close(self) -> None:
        """Send and take no more."""


class Network(Protocol):
    """Opens transports. Addresses are host:port."""

    def listen(self, address: str, factory: ProtocolFactory, on_ready: Callable[[Listener], None]) -> None:
        """Take links at `address` (port 0: any free one), a protocol of `factory` for each."""

    def open_datagrams(
        self, address: str, on_datagram: DatagramHandler, on_ready: Callable[[DatagramSender], None]
    ) -> None:
        """Send and take datagrams at `address`."""

    def connect(
        self, address: str, factory: ProtocolFactory, on_failure: Callable[[ConnectFailure], None]
    ) -> None:
        """Open a link; `factory`'s protocol hears connection_made, or `failed` is called with why."""


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port`. Raises ValueError naming the address."""
    host, _, port = address.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= 65535):
        raise ValueError(f"address {address[:80]!r} is not host:port")
    return host, int(port)


def is_loopback(host: str) -> bool:
    """Whether a host is this machine and nothing else. Guards against names: one that begins with `127.` is looked up,
    and may be anywhere."""
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


class _SocketListener:
    """Accepts connections a few a turn of the loop, and hands each to a protocol of its own."""

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
            if self._paused:  # by what came of the one before
                return
            try:
                connection, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:
                self._out_of_resources(fault)
                return
            connection.setblocking(False)
            self._on_accept(connection)

    def _out_of_resources(self, error: OSError) -> None:
        """No descriptor or no memory is left: the connection would be ready to be accepted at once again."""
        self._loop.call_exception_handler({"message": "cannot accept a connection", "exception": error})
        self.pause()
        self._loop.call_later(ACCEPT_RETRY_S, self.resume)


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: DatagramHandler) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not asserted: asyncio's own class for it is no asyncio.DatagramTransport in Python 3.11.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """A datagram may be lost: nobody waits for it."""

    def send(self, data: bytes, address: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, split_address(address))

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


class LoopNetwork:
    """The real thing, on the running asyncio loop. `allowed` raises ValueError for a host that is none of its own;
    `connect_within` is in seconds, `waiting` how many new links may wait to be taken."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        check_host: Callable[[str], None],
        connect_timeout_s: float,
        backlog: int = 100,  # asyncio's own default
        accepts_per_turn: int = 100,
    ) -> None:
        """`at_once`: how many of those are taken in one turn of the loop."""
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
        """As `Network.listen`; where it cannot listen the loop's exception handler is told, with the `address`."""
        host, port = self._split(address)

        async def serve(connection: socket.socket) -> None:
            with contextlib.suppress(OSError):  # it was reset while it waited
                await self._loop.connect_accepted_socket(factory, connection)

        def listen() -> None:
            try:
                sock = _listening_socket(host, port, self._backlog)
            except OSError as fault:
                self._report_listen_error(address, fault)
                return
            on_ready(
                _SocketListener(
                    self._loop, sock, host, self._accepts_per_turn, lambda made: self._spawn(serve(made))
                )
            )

        self._loop.call_soon(listen)

    def open_datagrams(
        self, address: str, on_datagram: DatagramHandler, on_ready: Callable[[DatagramSender], None]
    ) -> None:
        """As `Network.datagrams`; where it cannot, as `listen`."""
        local = self._split(address)

        async def work() -> None:
            try:
                _, made = await self._loop.create_datagram_endpoint(
                    lambda: _DatagramProtocol(on_datagram), local_addr=local
                )
            except OSError as fault:
                self._report_listen_error(address, fault)
                return
            on_ready(made)

        self._spawn(work())

    def connect(
        self, address: str, factory: ProtocolFactory, on_failure: Callable[[ConnectFailure], None]
    ) -> None:
        """As `Network.connect`."""
        try:
            host, port = self._split(address)
        except ValueError as fault:
            self._loop.call_soon(on_failure, ConnectFailure(str(fault)))
            return

        async def work() -> None:
            try:
                async with asyncio.timeout(self._connect_timeout_s):
                    await self._loop.create_connection(factory, host, port)
            except (OSError, TimeoutError, ValueError) as fault:
                # ValueError: a name that cannot be looked up at all; without a word nobody would try again.
                refused = isinstance(fault, ConnectionRefusedError)
                on_failure(ConnectFailure(str(fault) or "timed out", refused))

        self._spawn(work())


class LoopbackNetwork(LoopNetwork):
    """On the running loop; refuses any address that is not loopback."""

    CONNECT_TIMEOUT_S = 3.0  # loopback answers at once; a full backlog is the only wait

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, _require_loopback, self.CONNECT_TIMEOUT_S)


def _listening_socket(host: str, port: int, backlog: int) -> socket.socket:
    """A non-blocking socket that listens. Its protocol is named: asyncio turns Nagle's algorithm off only on sockets of
    the protocol TCP, and accepted ones have that of their listener."""
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
    """Raises ValueError for a host that is a name: the platform has no DNS, and nothing is to be looked up."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"address {host[:80]!r} is not an IP address") from None
