"""Clients of one call server on real sockets: usual ones, whose requests are judged, and bad ones that load it."""

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum, auto

from wellhitch.lab.trials.records import Record, Records, Seen
from wellhitch.lab.trials.sockets import Connection, open_connection
from wellhitch.sip import codec as sip
from wellhitch.stand_ins.platform import bodyless_request, invite

IDLE_CLOSE_S = 4.0  # usual clients close a connection that has no call on it
CROSSING_S = 0.05  # a set-up that crosses a close by no more is sent once more on a new connection
MOST_CONNECTIONS = 8
PIECE_GAP_S = 0.005
NAMING_TRIES = 20
NAMING_AGAIN_S = 0.05
CROSSED = "crossed"
NOTHING_SENT = "nothing had been sent on it"


class Manner(Enum):
    """How a usual client writes and waits."""

    PLAIN = auto()
    PIECES = auto()  # the set-up is written in parts some milliseconds apart
    IMPATIENT = auto()  # it cancels some set-ups early
    REPEATS = auto()  # it comes again at once when it is refused


@dataclass(eq=False, slots=True)
class _Request:
    call: str
    sent_at: float
    deadline_s: float
    resent: bool
    message: bytes
    repeats_left: int = 0


@dataclass(eq=False, slots=True)
class _Line:
    """One connection to the call server."""

    connection: Connection
    decoder: sip.Decoder = field(default_factory=sip.Decoder)
    open: dict[str, _Request] = field(default_factory=dict)
    established: set[str] = field(default_factory=set)
    last_used: float = 0.0
    writing: bool = False  # a set-up is being written in pieces
    answered: bool = False  # anything has come on it
    waiting: bytearray = field(default_factory=bytearray)  # messages to be written after it

    def write(self, message: bytes) -> bool:
        """Write a whole message; False where the connection has ended."""
        if self.writing and not self.connection.ended:
            self.waiting += message
            return True
        return self.connection.write(message)

    async def write_pieces(self, message: bytes) -> bool:
        """Write a message in three parts some milliseconds apart; False where the connection has ended."""
        self.writing = True
        third = len(message) // 3
        self.connection.write(message[:third])
        await asyncio.sleep(PIECE_GAP_S)
        self.connection.write(message[third : 2 * third])
        await asyncio.sleep(PIECE_GAP_S)
        written = self.connection.write(message[2 * third :])
        self.writing = False
        waiting, self.waiting = bytes(self.waiting), bytearray()
        if waiting:
            self.connection.write(waiting)
        return written


class Clients:
    """The usual clients of one call server."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        records: Records,
        chance: random.Random,
        server: str,
        address: str,
        classes: dict[str, float],
        destinations: list[int],
    ) -> None:
        """`classes`: the deadline in seconds of each class."""
        self.loop, self.records, self.chance = loop, records, chance
        self.server, self.address = server, address
        self.classes, self.destinations = classes, destinations
        self.manners: set[Manner] = set()
        self.stops_new_connections = False
        self.paused = False
        self.lines: dict[_Line, None] = {}
        self.standing: dict[str, str] = {}  # call -> endpoint that set it up
        self._tasks: set[asyncio.Task[None]] = set()
        self._opening = 0

    # ---- what they do ----

    def call(self) -> None:
        """One new set-up."""
        call = f"{self.chance.getrandbits(64):016x}"
        name = self.chance.choice(sorted(self.classes))
        deadline = self.classes[name] * self.chance.choice((1.0, 1.0, 0.6))
        message = invite(
            call,
            self.chance.choice(self.destinations),
            name,
            int(deadline * 1000),
            body=f"{call}\r\nc=IN IP4 10.4.7.9\r\n".encode(),
            key=f"{self.chance.getrandbits(64):016x}",
        )
        repeats = 3 if Manner.REPEATS in self.manners else 0
        self._spawn(self._send(_Request(call, 0.0, deadline, False, message, repeats)))

    def release_one(self) -> None:
        """A client ends one of its calls, on any connection."""
        if not self.standing:
            return
        call = self.chance.choice(sorted(self.standing))
        line = next((line for line in self.lines if not line.connection.ended), None)
        if line is None or not line.write(bodyless_request("BYE", call)):
            return
        self._forget_call(call)
        self._note(Seen.CLIENT_RELEASED, call)
        if Manner.IMPATIENT in self.manners and not line.open and not line.established:
            line.connection.close()  # the last bytes arrive with the close

    def retell(self) -> None:
        """After a restart: name each call that is still up, on new connections."""
        self._spawn(self._retell())

    def stop(self) -> None:
        """Leave no task or connection behind."""
        for task in self._tasks:
            task.cancel()
        for line in list(self.lines):
            line.connection.on_end = lambda: None
            line.connection.close()
        self.lines.clear()

    def close_idle(self) -> None:
        """Close the connections that have had no call on them for a while."""
        now = self.loop.time()
        for line in list(self.lines):
            if not line.open and not line.established and now - line.last_used > IDLE_CLOSE_S:
                line.connection.close()

    # ---- inside ----

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _line(self) -> _Line | None:
        usable = [line for line in self.lines if not line.connection.ended and not line.writing]
        free = [line for line in usable if not line.open]
        if free and (self.stops_new_connections or self.chance.random() < 0.8):
            return self.chance.choice(free)
        if usable and (self.stops_new_connections or len(usable) + self._opening >= MOST_CONNECTIONS):
            return self.chance.choice(usable)
        if self.stops_new_connections:
            return None
        self._opening += 1
        connection = await open_connection(self.loop, self.address)
        self._opening -= 1
        if connection is None:
            return None
        line = _Line(connection, last_used=self.loop.time())
        connection.on_data = lambda data: self._read(line, data)
        connection.on_end = lambda: self._ended(line)
        self.lines[line] = None
        connection.start()
        return line

    async def _send(self, request: _Request) -> None:
        line = await self._line()
        if line is None:
            return
        if Manner.PIECES in self.manners and not line.open and self.chance.random() < 0.5:
            written = await line.write_pieces(request.message)
        else:
            written = line.write(request.message)
        if not written:
            return
        request.sent_at = line.last_used = self.loop.time()
        line.open[request.call] = request
        self._note(Seen.REQUEST_SENT, request.call, detail=f"{request.deadline_s}")
        if Manner.IMPATIENT in self.manners and self.chance.random() < 0.2:
            wait = request.deadline_s * self.chance.uniform(0.01, 0.5)
            self.loop.call_later(wait, self._give_up, line, request)

    def _give_up(self, line: _Line, request: _Request) -> None:
        if line.open.pop(request.call, None) is not None and line.write(
            bodyless_request("CANCEL", request.call)
        ):
            self._note(Seen.GIVEN_UP, request.call)

    def _read(self, line: _Line, data: bytes) -> None:
        line.answered = True
        line.last_used = self.loop.time()
        for message in line.decoder.feed(data):
            if isinstance(message, sip.Request):
                self._told(line, message)
            elif message.headers.get("cseq", "").endswith("INVITE"):
                self._answered(line, message)

    def _told(self, line: _Line, message: sip.Request) -> None:
        if message.method != "BYE":
            return
        call = message.headers.get("call-id", "")
        line.write(sip.response(200, sip.echo(message)))
        self._note(Seen.TOLD_OVER, call, detail=message.headers.get("reason", ""))
        self._forget_call(call)

    def _answered(self, line: _Line, message: sip.Response) -> None:
        if message.status < 200:
            return
        call = message.headers.get("call-id", "")
        request = line.open.pop(call, None)
        body = message.body.decode("utf-8", "replace").strip()
        self._note(Seen.ANSWERED, call, message.status, body)
        line.write(bodyless_request("ACK", call))
        if message.status == 200 and request is not None:
            self.standing[call] = body.split(" ")[0]
            line.established.add(call)
        elif message.status == 503 and request is not None and request.repeats_left > 0:
            self._repeat(request)

    def _repeat(self, request: _Request) -> None:
        call = f"{self.chance.getrandbits(64):016x}"
        message = request.message.replace(request.call.encode(), call.encode())
        again = _Request(call, 0.0, request.deadline_s, False, message, request.repeats_left - 1)
        self._spawn(self._send(again))

    def _ended(self, line: _Line) -> None:
        self.lines.pop(line, None)
        now = self.loop.time()
        crossed = [request for request in line.open.values() if now - request.sent_at <= CROSSING_S]
        crosses = len(crossed) == len(
            line.open
        )  # a set-up that was open longer shows that this was no idle close
        for request in line.open.values():
            detail = CROSSED if crosses else "" if line.answered else NOTHING_SENT
            self._note(Seen.CONNECTION_ENDED, request.call, detail=detail)
            if crosses and not request.resent:
                again = _Request(request.call, 0.0, request.deadline_s, True, request.message)
                self._spawn(self._send(again))
        line.open.clear()

    def _forget_call(self, call: str) -> None:
        self.standing.pop(call, None)
        for line in self.lines:
            line.established.discard(call)

    async def _retell(self) -> None:
        for call, endpoint in list(self.standing.items()):
            await self._name(call, endpoint)

    async def _name(self, call: str, endpoint: str) -> None:
        """Name one call that is up; where no connection takes the message, again a little later."""
        message = invite(call, self.destinations[0], sorted(self.classes)[0], 1000, f";at:{endpoint}")
        for _ in range(NAMING_TRIES):
            line = await self._line()
            if call not in self.standing:
                return
            if line is not None and line.write(message):
                line.established.add(call)
                self._note(Seen.RETOLD, call, detail=line.connection.local_address)
                return
            await asyncio.sleep(NAMING_AGAIN_S)

    def _note(self, seen: Seen, call: str, status: int = 0, detail: str = "") -> None:
        self.records.add(Record(self.loop.time(), seen, call, self.server, status=status, detail=detail))


BAD_MESSAGES = (
    b"\x00\xff noise \r\n\r\n",
    b"INVITE sip:abc@net SIP/2.0\r\nContent-Length: -5\r\n\r\n",
    b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: zz\r\nContent-Length: 0\r\n\r\n",
    b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nContent-Length: 62914560\r\n\r\n" + b"x" * 200_000,
    b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVI",
)


async def bad_client(
    loop: asyncio.AbstractEventLoop, chance: random.Random, address: str, seconds: float
) -> None:
    """Connect, send what cannot be read or nothing at all, and stay for a while."""
    connection = await open_connection(loop, address)
    if connection is None:
        return
    connection.start()
    if chance.random() < 0.7:
        connection.write(chance.choice(BAD_MESSAGES))
    if chance.random() < 0.3:
        connection.half_close()
    await asyncio.sleep(seconds * chance.random())
    connection.close()
