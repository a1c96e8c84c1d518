"""The well-behaved clients of one call server on real sockets, whose requests are checked."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from wellhitch.lab.trials.records import EventKind, Record, Records
from wellhitch.lab.trials.sockets import Connection, open_connection
from wellhitch.sip import codec as sip
from wellhitch.stand_ins.platform import bodyless_request, invite

IDLE_CLOSE_S = 4.0  # well-behaved clients close a connection without calls after this time
CLOSE_RACE_S = 0.05  # set-ups sent this shortly before a close are sent once more on a new connection
MAX_CONNECTIONS = 8
FRAGMENT_GAP_S = 0.005
FRAGMENTED_SHARE = 0.5  # of the set-ups of clients that write in parts
BATCH_SHARE = 0.3  # of the set-ups of clients that write several at once
REPORT_ATTEMPTS = 20
REPORT_RETRY_S = 0.05
CLOSE_RACE = "close race"
NOTHING_RECEIVED = "nothing received on the connection"


class ClientTrait(Enum):
    """How well-behaved clients write and wait."""

    PLAIN = auto()
    FRAGMENTED = auto()  # set-ups are written in parts some milliseconds apart
    CANCELS_EARLY = auto()  # some set-ups are cancelled before their deadline
    RETRIES_AT_ONCE = auto()  # a rejected set-up is retried at once
    BATCHES = auto()  # several set-ups are written at once, the first sometimes with no time left
    SILENT = auto()  # releases are not answered


@dataclass(eq=False, slots=True)
class _Request:
    call_id: str
    sent_at: float
    deadline_s: float
    resent: bool
    message: bytes
    retries_left: int = 0


@dataclass(eq=False, slots=True)
class _Session:
    """One connection to the call server, with its unanswered set-ups and established calls."""

    connection: Connection
    decoder: sip.Decoder = field(default_factory=sip.Decoder)
    pending: dict[str, _Request] = field(default_factory=dict)
    established: set[str] = field(default_factory=set)
    last_used: float = 0.0
    writing_fragments: bool = False  # a set-up is being written in parts
    has_received: bool = False  # data has arrived on the connection
    queued: bytearray = field(default_factory=bytearray)  # messages to be written after the current set-up

    def write(self, message: bytes, on_sent: Callable[[], None] | None = None) -> bool:
        """Write a message, or queue it behind a set-up that is written in parts; False if the connection has ended.
        `on_sent` is called once the last byte of a message that is not queued is on its way."""
        if self.writing_fragments and not self.connection.ended:
            self.queued += message
            return True
        return self.connection.write(message, on_sent)

    async def write_fragments(self, message: bytes, on_sent: Callable[[], None]) -> bool:
        """Write a message in three parts some milliseconds apart; False if the connection has ended."""
        self.writing_fragments = True
        third = len(message) // 3
        self.connection.write(message[:third])
        await asyncio.sleep(FRAGMENT_GAP_S)
        self.connection.write(message[third : 2 * third])
        await asyncio.sleep(FRAGMENT_GAP_S)
        written = self.connection.write(message[2 * third :], on_sent)
        self.writing_fragments = False
        queued, self.queued = bytes(self.queued), bytearray()
        if queued:
            self.connection.write(queued)
        return written


class Clients:
    """The well-behaved clients of one call server."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        records: Records,
        rng: random.Random,
        server: str,
        address: str,
        classes: dict[str, float],
        destinations: list[int],
    ) -> None:
        """`classes` holds the deadline of each traffic class in seconds."""
        self.loop, self.records, self.rng = loop, records, rng
        self.server, self.address = server, address
        self.classes, self.destinations = classes, destinations
        self.traits: set[ClientTrait] = set()
        self.no_new_connections = False
        self.is_cut_off = False
        self.sessions: dict[_Session, None] = {}
        self.established_calls: dict[str, str] = {}  # call id -> id of the endpoint that answered
        self._tasks: set[asyncio.Task[None]] = set()
        self._opening = 0

    # ---- traffic ----

    def start_call(self) -> None:
        """Send one new set-up, or several at once."""
        request = self._new_request((1.0, 1.0, 0.6))
        if ClientTrait.BATCHES in self.traits and self.rng.random() < BATCH_SHARE:
            self._spawn(self._send(self._new_request((0.0, 0.6)), request, self._new_request((1.0,))))
        else:
            self._spawn(self._send(request))

    def _new_request(self, deadline_shares: tuple[float, ...]) -> _Request:
        """A set-up of a random class, with one of some shares of its deadline left."""
        call_id = f"{self.rng.getrandbits(64):016x}"
        class_name = self.rng.choice(sorted(self.classes))
        deadline_s = self.classes[class_name] * self.rng.choice(deadline_shares)
        message = invite(
            call_id,
            self.rng.choice(self.destinations),
            class_name,
            int(deadline_s * 1000),
            body=f"{call_id}\r\nc=IN IP4 10.4.7.9\r\n".encode(),
            key=f"{self.rng.getrandbits(64):016x}",
        )
        retries = 3 if ClientTrait.RETRIES_AT_ONCE in self.traits else 0
        return _Request(call_id, 0.0, deadline_s, False, message, retries)

    def release_random_call(self) -> None:
        """Release one established call, on the first open connection."""
        if not self.established_calls:
            return
        call_id = self.rng.choice(sorted(self.established_calls))
        session = next((session for session in self.sessions if not session.connection.ended), None)
        if session is None or not session.write(bodyless_request("BYE", call_id)):
            return
        self._forget_call(call_id)
        self._record(EventKind.CLIENT_RELEASED, call_id)
        if ClientTrait.CANCELS_EARLY in self.traits and not session.pending and not session.established:
            session.connection.close()  # so that the last bytes arrive together with the close

    def report_established_calls(self) -> None:
        """Report each established call to the call server after its restart."""
        self._spawn(self._report_established_calls())

    def stop(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        for session in list(self.sessions):
            session.connection.on_end = lambda: None
            session.connection.close()
        self.sessions.clear()

    # ---- faults ----

    def cut_off(self) -> None:
        """The network to the call server holds everything back until `restore`."""
        self.is_cut_off = True
        self._record(EventKind.CUT_OFF, "")
        for session in self.sessions:
            session.connection.freeze()

    def restore(self) -> None:
        """The network carries data again; what was held back arrives at once."""
        self.is_cut_off = False
        self._record(EventKind.RESTORED, "")
        for session in list(self.sessions):
            session.connection.thaw(read_first=True)

    def reset_connection(self) -> None:
        """Reset one connection. Its clients give up their pending set-ups; their calls are not tied to it."""
        if not self.sessions or self.is_cut_off:
            return
        session = self.rng.choice(list(self.sessions))
        for request in session.pending.values():
            self._record(EventKind.CANCELLED, request.call_id, detail="reset")
        session.pending.clear()
        session.connection.reset()

    def close_idle(self) -> None:
        """Close the connections that have had no call and no traffic for `IDLE_CLOSE_S`."""
        now = self.loop.time()
        for session in list(self.sessions):
            idle = not session.pending and not session.established and not session.connection.frozen
            if idle and now - session.last_used > IDLE_CLOSE_S:
                session.connection.close()

    # ---- connections and messages ----

    def _spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _usable_session(self) -> _Session | None:
        usable = [
            session
            for session in self.sessions
            if not session.connection.ended and not session.writing_fragments
        ]
        free = [session for session in usable if not session.pending]
        if free and (self.no_new_connections or self.rng.random() < 0.8):
            return self.rng.choice(free)
        if usable and (self.no_new_connections or len(usable) + self._opening >= MAX_CONNECTIONS):
            return self.rng.choice(usable)
        if self.no_new_connections or self.is_cut_off:
            return None
        self._opening += 1
        connection = await open_connection(self.loop, self.address)
        self._opening -= 1
        if connection is None:
            return None
        session = _Session(connection, last_used=self.loop.time())
        connection.on_data = lambda data: self._read(session, data)
        connection.on_end = lambda: self._connection_ended(session)
        if not self.sessions:
            self._record(EventKind.CONNECTED, "")
        self.sessions[session] = None
        if self.is_cut_off:
            connection.freeze()
        connection.start()
        return session

    async def _send(self, *requests: _Request) -> None:
        """Send set-ups in one write, or a single one in parts."""
        session = await self._usable_session()
        if session is None:
            return
        for request in requests:
            session.pending[request.call_id] = request
        message = b"".join(request.message for request in requests)
        if (
            ClientTrait.FRAGMENTED in self.traits
            and len(session.pending) == 1
            and self.rng.random() < FRAGMENTED_SHARE
        ):
            written = await session.write_fragments(message, lambda: self._sent(session, requests))
        else:
            written = session.write(message, lambda: self._sent(session, requests))
        if not written:
            for request in requests:
                session.pending.pop(request.call_id, None)

    def _sent(self, session: _Session, requests: tuple[_Request, ...]) -> None:
        """The last byte of some set-ups is on its way to the call server."""
        for request in requests:
            request.sent_at = session.last_used = self.loop.time()
            self._record(EventKind.REQUEST_SENT, request.call_id, detail=f"{request.deadline_s}")
            if ClientTrait.CANCELS_EARLY in self.traits and self.rng.random() < 0.2:
                delay_s = request.deadline_s * self.rng.uniform(0.01, 0.5)
                self.loop.call_later(delay_s, self._cancel, session, request)

    def _cancel(self, session: _Session, request: _Request) -> None:
        if session.pending.pop(request.call_id, None) is not None and session.write(
            bodyless_request("CANCEL", request.call_id)
        ):
            self._record(EventKind.CANCELLED, request.call_id)

    def _read(self, session: _Session, data: bytes) -> None:
        session.has_received = True
        session.last_used = self.loop.time()
        for message in session.decoder.feed(data):
            if isinstance(message, sip.Request):
                self._request_received(session, message)
            elif message.headers.get("cseq", "").endswith("INVITE"):
                self._response_received(session, message)

    def _request_received(self, session: _Session, message: sip.Request) -> None:
        if message.method != "BYE":
            return
        call_id = message.headers.get("call-id", "")
        if ClientTrait.SILENT not in self.traits:
            session.write(sip.response(200, sip.echo(message)))
        self._record(EventKind.RELEASE_RECEIVED, call_id, detail=message.headers.get("reason", ""))
        self._forget_call(call_id)

    def _response_received(self, session: _Session, message: sip.Response) -> None:
        if message.status < 200:
            return
        call_id = message.headers.get("call-id", "")
        request = session.pending.pop(call_id, None)
        body = message.body.decode("utf-8", "replace").strip()
        self._record(EventKind.ANSWERED, call_id, message.status, body)
        session.write(bodyless_request("ACK", call_id))
        if message.status == 200 and request is not None:
            self.established_calls[call_id] = body.split(" ")[0]
            session.established.add(call_id)
        elif message.status == 503 and request is not None and request.retries_left > 0:
            self._retry(request)

    def _retry(self, request: _Request) -> None:
        call_id = f"{self.rng.getrandbits(64):016x}"
        message = request.message.replace(request.call_id.encode(), call_id.encode())
        retry = _Request(call_id, 0.0, request.deadline_s, False, message, request.retries_left - 1)
        self._spawn(self._send(retry))

    def _connection_ended(self, session: _Session) -> None:
        self.sessions.pop(session, None)
        if not self.sessions:
            self._record(EventKind.DISCONNECTED, "")
        now = self.loop.time()
        sent = [request for request in session.pending.values() if request.sent_at]
        recent = [request for request in sent if now - request.sent_at <= CLOSE_RACE_S]
        # An older unanswered set-up shows that the call server did not close the connection for being idle.
        is_close_race = len(recent) == len(sent)
        for request in sent:
            detail = CLOSE_RACE if is_close_race else "" if session.has_received else NOTHING_RECEIVED
            self._record(EventKind.CONNECTION_ENDED, request.call_id, detail=detail)
            if is_close_race and not request.resent:
                retry = _Request(request.call_id, 0.0, request.deadline_s, True, request.message)
                self._spawn(self._send(retry))
        session.pending.clear()

    def _forget_call(self, call_id: str) -> None:
        self.established_calls.pop(call_id, None)
        for session in self.sessions:
            session.established.discard(call_id)

    async def _report_established_calls(self) -> None:
        for call_id, endpoint in list(self.established_calls.items()):
            await self._report_call(call_id, endpoint)

    async def _report_call(self, call_id: str, endpoint: str) -> None:
        """Report one established call; retry every `REPORT_RETRY_S` while no connection accepts the message."""
        message = invite(call_id, self.destinations[0], sorted(self.classes)[0], 1000, f";at:{endpoint}")
        for _ in range(REPORT_ATTEMPTS):
            while self.is_cut_off:  # a connection may turn out to have ended meanwhile
                await asyncio.sleep(REPORT_RETRY_S)
            session = await self._usable_session()
            if call_id not in self.established_calls:
                return
            if session is not None and session.write(message):
                session.established.add(call_id)
                self._record(EventKind.CALL_REPORTED, call_id, detail=session.connection.local_address)
                return
            await asyncio.sleep(REPORT_RETRY_S)

    def _record(self, kind: EventKind, call_id: str, status: int = 0, detail: str = "") -> None:
        self.records.add(Record(self.loop.time(), kind, call_id, self.server, status=status, detail=detail))
