"""The network interface: only loopback, and each attempt ends in a connection or a reported failure."""

import asyncio
import socket
from collections.abc import Callable

import pytest

from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.net.transport import (
    DatagramSender,
    Listener,
    LoopbackNetwork,
    Network,
    is_loopback,
    require_ip_address,
    split_address,
)


@pytest.mark.parametrize("host", ["localhost", "::1", "127.0.0.1", "127.8.9.10"])
def test_loopback_addresses_are_recognised(host: str) -> None:
    assert is_loopback(host)


@pytest.mark.parametrize(
    "host", ["127.evil.example", "127.0.0.1.evil.example", "127.", "10.0.0.1", "", "::", "127.1"]
)
def test_names_that_begin_like_loopback_are_not_loopback(host: str) -> None:
    assert not is_loopback(host)


@pytest.mark.parametrize("port", ["²", "", "65536", "-1", "9" * 5000])
def test_a_port_must_be_a_number_in_range(port: str) -> None:
    with pytest.raises(ValueError, match="host:port"):
        split_address(f"127.0.0.1:{port}")


@pytest.mark.parametrize(
    "address", ["127." + "x" * 70 + ":7000", "127.0.0.1:²", "127.evil.example:7000", "nowhere"]
)
def test_connecting_to_an_invalid_address_reports_a_failure(address: str) -> None:
    async def attempt() -> str:
        loop = asyncio.get_running_loop()
        failure_text: asyncio.Future[str] = loop.create_future()
        LoopbackNetwork(loop).connect(address, asyncio.BufferedProtocol, failure_text.set_result)
        return await asyncio.wait_for(failure_text, 30)

    assert asyncio.run(attempt())


def test_listening_at_an_address_in_use_reports_an_error() -> None:
    async def attempt() -> list[dict[str, object]]:
        loop, errors = asyncio.get_running_loop(), list[dict[str, object]]()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        LoopbackNetwork(loop).listen(f"127.0.0.1:{port}", asyncio.BufferedProtocol, lambda listener: None)
        for _ in range(100):
            await asyncio.sleep(0.01)
            if errors:
                break
        server.close()
        return errors

    [error_context] = asyncio.run(attempt())
    assert isinstance(error_context["exception"], OSError) and "listen" in str(error_context["message"])


def test_nagles_algorithm_is_disabled_at_both_ends_of_a_connection() -> None:
    # Guards against Nagle's algorithm, which delayed answers until the other end's delayed acknowledgement.
    class End(asyncio.BufferedProtocol):
        def __init__(self, came_up: asyncio.Future[asyncio.BaseTransport]) -> None:
            self.came_up = came_up

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.came_up.set_result(transport)

    async def nodelay(host: str) -> list[int]:
        loop = asyncio.get_running_loop()
        network, listener = LoopbackNetwork(loop), loop.create_future()
        ends = [loop.create_future(), loop.create_future()]
        network.listen(f"{host}:0", lambda: End(ends[0]), listener.set_result)
        address = (await asyncio.wait_for(listener, 30)).address
        network.connect(address, lambda: End(ends[1]), lambda failure: ends[1].cancel())
        transports = await asyncio.wait_for(asyncio.gather(*ends), 30)
        no_delay = [
            transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            for transport in transports
        ]
        for transport in transports:
            transport.abort()
        listener.result().close()
        return no_delay

    for host in ("127.0.0.1", "::1"):
        assert all(asyncio.run(nodelay(host)))


class Reader(asyncio.BufferedProtocol):
    """Collects what it reads; writes `greeting` as soon as the connection is up."""

    def __init__(self, read: bytearray, greeting: bytes = b"") -> None:
        self.read, self.greeting, self.buffer = read, greeting, bytearray(100)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.write(self.greeting)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.read += self.buffer[:nbytes]


def paused_listener(network: Network, address: str, advance: Callable[[], None]) -> None:
    read, listeners = bytearray(), list[Listener]()
    network.listen(address, lambda: Reader(read), listeners.append)
    advance()
    [listener] = listeners
    listener.pause()
    network.connect(listener.address, lambda: Reader(bytearray(), b"hello"), lambda failure: None)
    advance()
    assert not read
    listener.resume()
    advance()
    assert read == b"hello"
    listener.close()


def test_connections_that_wait_at_a_paused_listener_are_read_after_resume() -> None:
    loop = asyncio.new_event_loop()
    paused_listener(LoopbackNetwork(loop), "127.0.0.1:0", lambda: loop.run_until_complete(asyncio.sleep(0.1)))
    loop.close()


def test_an_emulated_listener_pauses_like_a_real_one() -> None:
    loop = VirtualLoop()
    paused_listener(EmulatedNetwork(loop, 1).for_host("here"), "here:0", lambda: loop.advance(0.1))


def test_datagrams_are_sent_and_received_on_the_real_event_loop() -> None:
    # asyncio's own datagram transport is not an asyncio.DatagramTransport in Python 3.11: an assertion that it is one
    # failed only on the platform.
    async def attempt() -> tuple[bytes, str]:
        loop = asyncio.get_running_loop()
        network, arrived = LoopbackNetwork(loop), loop.create_future()
        errors: list[dict[str, object]] = []
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.1", 0))
            other.settimeout(30)
            other_address = f"127.0.0.1:{other.getsockname()[1]}"
            sender_ready: asyncio.Future[DatagramSender] = loop.create_future()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused:
                unused.bind(("127.0.0.1", 0))
                port = unused.getsockname()[1]
            network.open_datagrams(
                f"127.0.0.1:{port}",
                lambda data, address: arrived.set_result((data, address)),
                sender_ready.set_result,
            )
            sender = await asyncio.wait_for(sender_ready, 30)
            sender.send(b"to", other_address)
            data, address = await loop.run_in_executor(None, other.recvfrom, 100)
            assert data == b"to" and address[1] == port
            other.sendto(b"fro", address)
            received: tuple[bytes, str] = await asyncio.wait_for(arrived, 30)
            sender.close()
        assert not errors and received[1] == other_address
        return received

    assert asyncio.run(attempt())[0] == b"fro"


@pytest.mark.parametrize("host", ["board.example", "localhost", "", "10.1", "127.0.0.1.example"])
def test_a_host_name_is_not_accepted_as_an_ip_address(host: str) -> None:
    with pytest.raises(ValueError, match="not an IP address"):
        require_ip_address(host)
