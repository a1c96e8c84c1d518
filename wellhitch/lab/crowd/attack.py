"""Clients that load a call server. They run in a process of their own, so that they do not delay the usual clients.

python -m wellhitch.lab.crowd.attack KIND HOST:PORT CLIENTS SECONDS SEED
"""

import asyncio
import contextlib
import random
import socket
import struct
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from enum import Enum

SHORT_HEADERS = 56  # of one request; a call server accepts 64
LARGE_HEADER_BYTES, LARGE_DESCRIPTION_BYTES = 7000, 4096
SLOW_PIECE_BYTES, SLOW_PAUSE_S = 12, 0.02
LARGE_BODY_BYTES = 15_000
FLOOD_BATCH = 200  # requests in one write
READ_BYTES = 65536


class Attack(Enum):
    """What the clients do."""

    SLOW = "slow"  # write a large request a few bytes at a time
    HALF = "half"  # write half of a large request, and wait
    HEADERS = "headers"  # requests with many short headers, each after the answer to the one before
    HEADERS_AT_ONCE = "headers_at_once"  # the same at full speed
    LARGE = "large"  # set-ups of nearly the greatest size at full speed
    UNREAD = "unread"  # requests at full speed, whose answers are never read
    SET_UPS = "set_ups"  # set-ups at full speed, each under a new id and to a new number
    OPTIONS = "options"
    BYES = "byes"  # releases of ever new calls that nobody has
    CANCELS = "cancels"
    REPORTS = "reports"  # reports of ever new established calls
    METHODS = "methods"  # requests with ever new methods
    UNSOUND = "unsound"  # what cannot be read, on a new connection each time


def request(method: str, call_id: int, headers: str = "", body: bytes = b"", uri: str = "ping@net") -> bytes:
    """A request with the headers that every request has."""
    return (
        f"{method} sip:{uri} SIP/2.0\r\nVia: SIP/2.0/TCP crowd\r\nCall-ID: {call_id:016x}\r\n"
        f"CSeq: 1 {method}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def set_up(call_id: int, extra_headers: str = "", attributes: str = "", deadline_ms: int = 3000) -> bytes:
    """A valid set-up to exchange 1."""
    headers = f"X-Tier: voice\r\nX-Deadline: {deadline_ms}\r\nX-Attrs: dest:1;width:1;via:-1{attributes}\r\n"
    return request("INVITE", call_id, headers + extra_headers, b"v=0\r\n", f"{call_id:016x}@net")


def large_set_up(call_id: int) -> bytes:
    """A valid set-up with a long Via, which each answer repeats, and a long description, which is sent on."""
    headers = (
        f"Via: {'v' * LARGE_HEADER_BYTES}\r\n"
        "X-Tier: voice\r\nX-Deadline: 3000\r\nX-Attrs: dest:1;width:1;via:-1\r\n"
    )
    return request("INVITE", call_id, headers, b"d" * LARGE_DESCRIPTION_BYTES, f"{call_id:016x}@net")


def _method(number: int) -> str:
    """A method name that differs for each number."""
    letters = "ABCDEFGHIJKLMNOP"
    return "X" + "".join(letters[number >> shift & 15] for shift in range(0, 48, 4))


class Crowd:
    """All clients of one attack."""

    def __init__(self, address: str, seed: int) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._rng = random.Random(seed)

    def new_id(self) -> int:
        """A Call-ID that no usual client has."""
        return 0xC << 60 | self._rng.getrandbits(56)

    @contextlib.asynccontextmanager
    async def _connection(self) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        """A connection that is reset in the end."""
        reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            yield reader, writer
        finally:
            reset(writer)

    async def slow(self) -> None:
        """Write one large request slowly."""
        data = set_up(self.new_id(), "X-Filler: " + "a" * 7000 + "\r\n")
        async with self._connection() as (_, writer):
            for position in range(0, len(data), SLOW_PIECE_BYTES):
                writer.write(data[position : position + SLOW_PIECE_BYTES])
                await writer.drain()
                await asyncio.sleep(SLOW_PAUSE_S)

    async def half(self) -> None:
        """Write half of a large request, and wait for the close."""
        data = request("INVITE", self.new_id(), "", b"x" * LARGE_BODY_BYTES)
        async with self._connection() as (reader, writer):
            writer.write(data[: len(data) // 2])
            await reader.read()

    async def headers(self, at_once: bool) -> None:
        """Write requests with many short headers."""
        async with self._connection() as (reader, writer):
            while True:
                many = "".join(f"a{n}: {self._rng.getrandbits(16):x}\r\n" for n in range(SHORT_HEADERS))
                writer.write(set_up(self.new_id(), many))
                await writer.drain()
                if at_once:
                    await asyncio.sleep(0)
                elif not await reader.read(READ_BYTES):
                    return

    async def flood(self, make: Callable[[int], bytes]) -> None:
        """Write small requests at full speed on one connection, and read what is sent back."""
        async with self._connection() as (reader, writer):
            reading = asyncio.create_task(self._discard(reader))
            try:
                while not reading.done():
                    writer.write(b"".join(make(self.new_id()) for _ in range(FLOOD_BATCH)))
                    await writer.drain()
            finally:
                reading.cancel()

    async def unsound(self) -> None:
        """Write what cannot be read, and connect again once the call server closes."""
        async with self._connection() as (reader, writer):
            writer.write(request(_method(self._rng.getrandbits(48)), self.new_id()) + b"\0 noise\r\n\r\n")
            await reader.read()

    async def unread(self) -> None:
        """Write requests at full speed, and read nothing."""
        async with self._connection() as (reader, writer):
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            while True:
                writer.write(b"".join(request("OPTIONS", self.new_id()) for _ in range(FLOOD_BATCH)))
                await writer.drain()

    async def _discard(self, reader: asyncio.StreamReader) -> None:
        while await reader.read(READ_BYTES):
            pass


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def behaviour(crowd: Crowd, attack: Attack) -> Callable[[], Awaitable[None]]:
    """What one client of an attack does until its connection ends."""
    match attack:
        case Attack.SLOW:
            return crowd.slow
        case Attack.HALF:
            return crowd.half
        case Attack.HEADERS | Attack.HEADERS_AT_ONCE:
            return lambda: crowd.headers(attack is Attack.HEADERS_AT_ONCE)
        case Attack.LARGE:
            return lambda: crowd.flood(large_set_up)
        case Attack.UNREAD:
            return crowd.unread
        case Attack.SET_UPS:
            return lambda: crowd.flood(set_up)
        case Attack.OPTIONS:
            return lambda: crowd.flood(lambda call_id: request("OPTIONS", call_id))
        case Attack.BYES:
            return lambda: crowd.flood(lambda call_id: request("BYE", call_id))
        case Attack.CANCELS:
            return lambda: crowd.flood(lambda call_id: request("CANCEL", call_id))
        case Attack.REPORTS:
            return lambda: crowd.flood(lambda call_id: set_up(call_id, "", ";at:s-00000001"))
        case Attack.METHODS:
            return lambda: crowd.flood(lambda call_id: request(_method(call_id), call_id))
        case Attack.UNSOUND:
            return crowd.unsound


async def keep_connecting(client: Callable[[], Awaitable[None]]) -> None:
    """Be one client, and another one each time its connection ends."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await client()
        await asyncio.sleep(0)


async def run(attack: Attack, address: str, clients: int, seconds: float, seed: int) -> None:
    """Load a call server for some seconds."""
    crowd = Crowd(address, seed)
    tasks = [asyncio.create_task(keep_connecting(behaviour(crowd, attack))) for _ in range(clients)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(run(Attack(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]), int(sys.argv[5])))
