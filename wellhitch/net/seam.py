"""Transports are opened through `Network` and nothing else; time is the running loop's, in whole microseconds."""

import asyncio
import ipaddress
from collections.abc import Callable
from typing import Protocol

Factory = Callable[[], asyncio.BufferedProtocol]


def now_us(loop: asyncio.AbstractEventLoop) -> int:
    """The loop's clock in whole microseconds: the one place where it is turned."""
    return round(loop.time() * 1_000_000)


class Listener(Protocol):
    """Something that takes links at an address until it is closed."""

    address: str

    def close(self) -> None:
        """Take no more links."""


class Network(Protocol):
    """Opens stream transports. Addresses are host:port."""

    def listen(self, address: str, factory: Factory, ready: Callable[[Listener], None]) -> None:
        """Take links at `address` (port 0: any free one), a protocol of `factory` for each."""

    def connect(self, address: str, factory: Factory, failed: Callable[[str], None]) -> None:
        """Open a link; `factory`'s protocol hears connection_made, or `failed` is called with why."""


def split(address: str) -> tuple[str, int]:
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


class _Listening:
    def __init__(self, server: asyncio.Server, host: str) -> None:
        self._server = server
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        self._server.close()


class LoopbackNetwork:
    """The real thing, on the running asyncio loop. Refuses any address that is not loopback."""

    CONNECT_TIMEOUT_S = 3.0  # loopback answers at once; a full backlog is the only wait

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task: asyncio.Task[None] = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def listen(self, address: str, factory: Factory, ready: Callable[[Listener], None]) -> None:
        """As `Network.listen`; where it cannot listen the loop's exception handler is told, with the `address`."""
        host, port = _loopback(address)

        async def work() -> None:
            try:
                server = await self._loop.create_server(factory, host, port)
            except OSError as fault:
                self._loop.call_exception_handler(
                    {"message": f"cannot listen at {address}", "exception": fault, "address": address}
                )
                return
            ready(_Listening(server, host))

        self._spawn(work())

    def connect(self, address: str, factory: Factory, failed: Callable[[str], None]) -> None:
        """As `Network.connect`."""
        try:
            host, port = _loopback(address)
        except ValueError as fault:
            self._loop.call_soon(failed, str(fault))
            return

        async def work() -> None:
            try:
                async with asyncio.timeout(self.CONNECT_TIMEOUT_S):
                    await self._loop.create_connection(factory, host, port)
            except (OSError, TimeoutError, ValueError) as fault:
                # ValueError: a name that cannot be looked up at all; without a word nobody would try again.
                failed(str(fault) or "timed out")

        self._spawn(work())


def _loopback(address: str) -> tuple[str, int]:
    host, port = split(address)
    if not is_loopback(host):
        raise ValueError(f"address {address[:80]!r} is not loopback")
    return host, port
