"""Transports are opened through `Network` and nothing else; time is the running loop's, in whole microseconds."""

import asyncio
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
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"address {address!r} is not host:port")
    return host, int(port)


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
        """As `Network.listen`; an address in use raises OSError in the loop's exception handler."""
        host, port = _loopback(address)

        async def work() -> None:
            server = await self._loop.create_server(factory, host, port)
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
            except (OSError, TimeoutError) as fault:
                failed(str(fault) or "timed out")

        self._spawn(work())


def _loopback(address: str) -> tuple[str, int]:
    host, port = split(address)
    if not (host == "localhost" or host == "::1" or host.startswith("127.")):
        raise ValueError(f"address {address!r} is not loopback")
    return host, port
