"""Listening sockets and connections on loopback that can be made to hang, drop, refuse or reset, without privileges."""

import asyncio
import select
import socket
import struct
from collections.abc import Callable

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of zero: closing sends a reset
ACCEPT_QUEUE_FILLERS = 6  # connections that fill an accept queue of length 0; the kernel accepts one or two
READ_BYTES = 65536
FRAGMENT_GAP_S = 0.01


class Connection:
    """One accepted or opened connection. While `frozen`, nothing is read and written data is held back."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.loop, self.sock = loop, sock
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_end: Callable[[], None] = lambda: None
        self.frozen = False
        self.ended = False
        self.fragment_bytes = 0  # written at once; 0: everything
        self._unsent = bytearray()
        self._queued_bytes = self._sent_bytes = 0  # totals since the start
        self._sent_callbacks: list[tuple[int, Callable[[], None]]] = []
        self._close_when_sent = False
        self._writing = False
        self._fragment_scheduled = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def local_address(self) -> str:
        """The local address, as the peer's log shows it; empty once the connection has ended."""
        return "" if self.ended else str(self.sock.getsockname())

    def start(self) -> None:
        """Start reading."""
        if not self.frozen:
            self.loop.add_reader(self.sock.fileno(), self._read_ready)

    def freeze(self) -> None:
        """Stop reading and writing, without any sign to the peer."""
        if not self.frozen and not self.ended:
            self.frozen = True
            self.loop.remove_reader(self.sock.fileno())
            self._stop_writing()

    def thaw(self, read_first: bool = False) -> None:
        """Resume reading and writing. With `read_first`, what has arrived is read before anything is written, so that
        nothing goes to a peer that has ended the connection."""
        if self.frozen and read_first:
            self._read_all()
        if self.frozen and not self.ended:
            self.frozen = False
            self.start()
            self._flush()

    def _read_all(self) -> None:
        while not self.ended and select.select([self.sock], [], [], 0)[0]:
            self._read_ready()

    def write(self, data: bytes, on_sent: Callable[[], None] | None = None) -> bool:
        """Write data, or keep it while frozen; False if the connection has ended. `on_sent` is called once the last
        byte was passed to the kernel."""
        if self.ended or self._close_when_sent:
            return False
        self._unsent += data
        self._queued_bytes += len(data)
        if on_sent is not None:
            self._sent_callbacks.append((self._queued_bytes, on_sent))
        self._flush()
        return not self.ended

    def ended_by_peer(self) -> bool:
        """Whether the peer has closed or reset the connection, as far as can be determined without reading."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def half_close(self) -> None:
        """Close the sending direction and continue reading."""
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
        """Close normally, after all written data has been sent."""
        if self._unsent and not self.ended:
            self._close_when_sent = True
        else:
            self._end()

    def _read_ready(self) -> None:
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
        if self.frozen or self.ended or self._fragment_scheduled:
            return
        try:
            while self._unsent:
                fragment = self._unsent[: self.fragment_bytes] if self.fragment_bytes else self._unsent
                sent = self.sock.send(fragment)
                del self._unsent[:sent]
                self._count_sent(sent)
                if self.fragment_bytes and self._unsent:
                    self._schedule_fragment()
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
        if self._close_when_sent:
            self._end()

    def _count_sent(self, sent: int) -> None:
        self._sent_bytes += sent
        while self._sent_callbacks and self._sent_callbacks[0][0] <= self._sent_bytes:
            self._sent_callbacks.pop(0)[1]()

    def _schedule_fragment(self) -> None:
        if not self._fragment_scheduled:
            self._fragment_scheduled = True
            self.loop.call_later(FRAGMENT_GAP_S, self._send_next_fragment)

    def _send_next_fragment(self) -> None:
        self._fragment_scheduled = False
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
    """A listening socket whose host can be made to hang, be unreachable or refuse, and recover at the same address."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: str, on_accept: Callable[[Connection], None]
    ) -> None:
        self.loop, self.host, self.on_accept = loop, host, on_accept
        self.port = 0
        self._sock: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self.listen()

    @property
    def address(self) -> str:
        """host:port, constant for the lifetime of the listener."""
        return f"{self.host}:{self.port}"

    def listen(self) -> None:
        """Accept connections, also after a fault."""
        self._close_fillers()
        if self._sock is None:
            self._sock = socket.create_server((self.host, self.port), backlog=128)
            self._sock.setblocking(False)
            self.port = self._sock.getsockname()[1]
        else:
            self._sock.listen(128)
        self.loop.add_reader(self._sock.fileno(), self._accept_ready)

    def hang(self) -> None:
        """Stop serving; the kernel still accepts connections."""
        if self._sock is not None:
            self.loop.remove_reader(self._sock.fileno())

    def become_unreachable(self) -> None:
        """Prevent new connections from being established, by filling the accept queue."""
        if self._sock is None:
            return
        self.hang()
        self._sock.listen(0)
        for _ in range(ACCEPT_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)

    def refuse(self) -> None:
        """Refuse connections by closing the listening socket."""
        self._close_fillers()
        if self._sock is not None:
            self.loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _accept_ready(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        self.on_accept(Connection(self.loop, sock))


async def open_connection(loop: asyncio.AbstractEventLoop, address: str) -> Connection | None:
    """Open a connection to host:port; None if that fails or takes longer than a second."""
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
