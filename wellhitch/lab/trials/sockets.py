"""Listening sockets and connections that can hang, vanish, refuse or reset, on loopback and without privileges."""

import asyncio
import socket
import struct
from collections.abc import Callable

LINGER_RESET = struct.pack("ii", 1, 0)  # closing with this socket option sends a reset
QUEUE_FILLERS = 6  # connections that fill an accept queue of nought; the kernel takes one or two
READ_BYTES = 65536
PIECE_GAP_S = 0.01


class Connection:
    """One accepted or opened connection. While `frozen` nothing is read and what is written waits."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.loop, self.sock = loop, sock
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_end: Callable[[], None] = lambda: None
        self.frozen = False
        self.ended = False
        self.piece_bytes = 0  # that are written at once, 0: all
        self._unsent = bytearray()
        self._queued = self._sent = 0  # bytes so far
        self._when_sent: list[tuple[int, Callable[[], None]]] = []
        self._closes_when_sent = False
        self._writing = False
        self._piece_waits = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def local_address(self) -> str:
        """This end's address as the other end's log shows it; empty once the connection has ended."""
        return "" if self.ended else str(self.sock.getsockname())

    def start(self) -> None:
        """Begin to read."""
        if not self.frozen:
            self.loop.add_reader(self.sock.fileno(), self._readable)

    def freeze(self) -> None:
        """Neither read nor write; the other end is told nothing."""
        if not self.frozen and not self.ended:
            self.frozen = True
            self.loop.remove_reader(self.sock.fileno())
            self._stop_writing()

    def thaw(self) -> None:
        """Go on where it stopped."""
        if self.frozen and not self.ended:
            self.frozen = False
            self.start()
            self._flush()

    def write(self, data: bytes, when_sent: Callable[[], None] | None = None) -> bool:
        """Write, or keep while frozen; False where the connection has ended. `when_sent` is called after the last byte
        was handed to the kernel."""
        if self.ended or self._closes_when_sent:
            return False
        self._unsent += data
        self._queued += len(data)
        if when_sent is not None:
            self._when_sent.append((self._queued, when_sent))
        self._flush()
        return not self.ended

    def ended_by_peer(self) -> bool:
        """Whether the other end has closed or reset it, as far as can be seen without reading."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def half_close(self) -> None:
        """Send the end of the stream and go on reading."""
        if not self.ended:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self._end()

    def reset(self) -> None:
        """Close with a reset."""
        if not self.ended:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self._end()

    def close(self) -> None:
        """Close in the ordinary way, once what was written is out."""
        if self._unsent and not self.ended:
            self._closes_when_sent = True
        else:
            self._end()

    def _readable(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.on_data(data)
        else:
            self._end()

    def _flush(self) -> None:
        if self.frozen or self.ended or self._piece_waits:
            return
        try:
            while self._unsent:
                piece = self._unsent[: self.piece_bytes] if self.piece_bytes else self._unsent
                sent = self.sock.send(piece)
                del self._unsent[:sent]
                self._count_sent(sent)
                if self.piece_bytes and self._unsent:
                    self._next_piece_later()
                    return
        except BlockingIOError:
            if not self._writing:
                self._writing = True
                self.loop.add_writer(self.sock.fileno(), self._flush)
            return
        except OSError:
            self._end()
            return
        self._stop_writing()
        if self._closes_when_sent:
            self._end()

    def _count_sent(self, sent: int) -> None:
        self._sent += sent
        while self._when_sent and self._when_sent[0][0] <= self._sent:
            self._when_sent.pop(0)[1]()

    def _next_piece_later(self) -> None:
        if not self._piece_waits:
            self._piece_waits = True
            self.loop.call_later(PIECE_GAP_S, self._next_piece)

    def _next_piece(self) -> None:
        self._piece_waits = False
        self._flush()

    def _stop_writing(self) -> None:
        if self._writing:
            self._writing = False
            self.loop.remove_writer(self.sock.fileno())

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self._stop_writing()
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        self.on_end()


class Listener:
    """A listening socket whose machine can hang, be unreachable or refuse, and come back at the same address."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: str, accepted: Callable[[Connection], None]
    ) -> None:
        self.loop, self.host, self.accepted = loop, host, accepted
        self.port = 0
        self._sock: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self.listen()

    @property
    def address(self) -> str:
        """host:port, the same for the listener's whole life."""
        return f"{self.host}:{self.port}"

    def listen(self) -> None:
        """Accept connections (again)."""
        self._drop_fillers()
        if self._sock is None:
            self._sock = socket.create_server((self.host, self.port), backlog=128)
            self._sock.setblocking(False)
            self.port = self._sock.getsockname()[1]
        else:
            self._sock.listen(128)
        self.loop.add_reader(self._sock.fileno(), self._acceptable)

    def hang(self) -> None:
        """Let the kernel accept connections that nobody serves."""
        if self._sock is not None:
            self.loop.remove_reader(self._sock.fileno())

    def unreachable(self) -> None:
        """Let new connections never come up: the accept queue is full and nobody takes from it."""
        if self._sock is None:
            return
        self.hang()
        self._sock.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)

    def refuse(self) -> None:
        """Refuse connections: nobody listens."""
        self._drop_fillers()
        if self._sock is not None:
            self.loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _drop_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _acceptable(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        self.accepted(Connection(self.loop, sock))


async def open_connection(loop: asyncio.AbstractEventLoop, address: str) -> Connection | None:
    """Open a connection to host:port, or None where that fails within a second."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    try:
        async with asyncio.timeout(1.0):
            await loop.sock_connect(sock, (host, int(port)))
    except (OSError, TimeoutError):
        sock.close()
        return None
    return Connection(loop, sock)
