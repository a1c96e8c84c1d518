"""Callers' connections that this server closes: what has arrived on them, and what still arrives, is not lost."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterator

import pytest
from platform_world import UNIX_START_US, World, configuration, invite, row

from wellhitch.board.codec import Update
from wellhitch.lab.loopback import allocate_loopback_address, process_loopback_host
from wellhitch.net.transport import LoopbackNetwork, now_us, split_address
from wellhitch.office_lines.codec import Line
from wellhitch.platform.callers import CallerConnections
from wellhitch.platform.configuration import Addresses
from wellhitch.platform.service import Service
from wellhitch.sip import codec as sip
from wellhitch.stand_ins.platform import PlatformOffice, bodyless_request

A, B, C = "00000000000000aa", "00000000000000bb", "00000000000000cc"
NOISE = b"\x00 noise\r\n\r\n"


class SocketWorld:
    """A call server and one office on an event loop with real sockets, and a client whose bytes wait in the kernel
    until the loop runs."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        network = LoopbackNetwork(self.loop)
        office_address, self.address = allocate_loopback_address(), allocate_loopback_address()
        self.office = PlatformOffice(self.loop, network, office_address)
        unused = allocate_loopback_address()
        addresses = Addresses("n0", self.address, unused, "", (), "")
        entry = row(1, host=process_loopback_host())
        entry = type(entry)(entry.id, office_address, entry.state, entry.exchange, entry.started_ms)
        self.service = Service(
            self.loop,
            network,
            configuration(addresses=addresses, known_updates=(Update(1, True, (row(0), entry)),)),
            lambda: UNIX_START_US,
            lambda event, **facts: None,
            self.loop.stop,
        )
        self.service.start()
        self.run(0.05)
        self.client = socket.create_connection(split_address(self.address), timeout=1.0)
        self.send(bodyless_request("OPTIONS", C))
        self._decoder = sip.Decoder()
        self.received: list[sip.Message] = []
        self.ended = False
        self.run(0.05)

    def run(self, seconds: float) -> None:
        """Run the event loop."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def send(self, data: bytes) -> None:
        """Write from the client; the server reads it once the loop runs."""
        self.client.sendall(data)

    def read(self) -> None:
        """Read all that has arrived at the client."""
        self.client.settimeout(0.05)
        while not self.ended:
            try:
                data = self.client.recv(65536)
            except TimeoutError:
                return
            self.ended = not data
            self.received += self._decoder.feed(data)

    def statuses(self, call_id: str) -> list[int]:
        """The final answers to one set-up."""
        return [
            message.status
            for message in self.received
            if isinstance(message, sip.Response)
            and message.headers.get("call-id") == call_id
            and message.headers.get("cseq", "").endswith("INVITE")
        ]

    def close(self) -> None:
        """Close all sockets."""
        self.client.close()
        self.service.callers.close()
        self.service.callers.abort_all()
        self.service.office_connections.stop_reading()
        self.service.discovery.stop()
        self.run(0.01)
        self.loop.close()


@pytest.fixture
def sockets() -> Iterator[SocketWorld]:
    world = SocketWorld()
    yield world
    world.close()


CLOSES: dict[str, Callable[[CallerConnections], None]] = {
    "idle": lambda callers: next(iter(callers.table.active)).close("idle"),
    "draining": CallerConnections.close_unused,
    "stopping": CallerConnections.close,
}


@pytest.mark.parametrize("why", CLOSES)
def test_set_up_that_arrived_before_its_connection_closes_is_answered(why: str, sockets: SocketWorld) -> None:
    sockets.send(invite(A) + invite(B))
    CLOSES[why](sockets.service.callers)
    sockets.run(0.1)
    sockets.read()
    assert len(sockets.statuses(A)) == len(sockets.statuses(B)) == 1 and sockets.ended


# ---- in virtual time ----


def is_released_at_office(world: World) -> bool:
    """Whether call A is over for the call server, and its office was sent exactly one release, of this call."""
    releases = [line.call_id for line in world.offices[1].lines_of_type("down")]
    return A not in world.core.calls and releases == [A]


def test_set_up_in_one_chunk_with_a_refused_request_is_answered() -> None:
    world = World()
    caller = world.caller()
    caller.send(invite(A, left_ms=0) + invite(B))
    world.run(0.2)
    assert caller.statuses(A) == [400] and len(caller.statuses(B)) == 1


def test_release_in_one_chunk_with_a_refused_request_ends_its_call() -> None:
    world = World()
    world.establish(A)
    other = world.caller("10.9.0.2")
    other.send(invite(B, left_ms=0) + bodyless_request("BYE", A))
    world.run(0.2)
    assert is_released_at_office(world)


def test_cancel_that_crosses_answer_and_close_releases_the_call_at_its_office() -> None:
    world = World()
    caller = world.establish(A)
    next(iter(world.service.callers.table.active)).close("full")
    caller.send(bodyless_request("CANCEL", A))
    world.run(0.1)
    assert is_released_at_office(world)


def test_release_in_one_chunk_with_invalid_bytes_ends_its_call_on_a_closing_connection() -> None:
    world = World()
    caller = world.establish(A)
    next(iter(world.service.callers.table.active)).close("full")
    caller.send(bodyless_request("BYE", A) + NOISE)
    world.run(0.1)
    assert is_released_at_office(world)


def test_set_up_in_one_chunk_with_invalid_bytes_is_refused_with_an_answer() -> None:
    world = World()
    caller = world.caller()
    caller.send(invite(A) + NOISE)
    world.run(0.2)
    assert caller.statuses(A) == [503] and caller.closed
    assert not world.offices[1].lines_of_type("new")


def test_set_up_that_is_being_written_keeps_an_idle_connection_open() -> None:
    world = World()
    caller = world.establish(A)
    world.offices[1].end_call(A, 16)
    world.run(5.9)
    caller.send(invite(B)[:60])
    world.run(0.4)  # the time without a call is over
    caller.send(invite(B)[60:])
    world.run(0.1)
    assert caller.statuses(B) == [200]


def test_connection_is_not_idle_as_soon_as_its_long_call_ends() -> None:
    world = World()
    caller = world.caller(answers_bye=False)
    world.establish(A, caller)
    world.run(8.0)
    world.offices[1].end_call(A, 16)
    world.run(3.9)  # callers use such a connection for four seconds
    assert not caller.closed
    world.run(3.0)
    assert caller.closed


def test_call_whose_answer_cannot_be_written_is_released_at_its_office() -> None:
    world = World()
    world.offices[1].answers = False
    caller = world.caller()
    caller.send(invite(A))
    assert world.run_until(1, lambda: A in world.offices[1].connection_by_call_id)
    connection = next(iter(world.service.callers.table.active))
    assert connection.transport is not None
    connection.transport.close()  # the end of the stream is read in the same turn, before the answer
    office = world.core.offices["s-00000001"]
    dial = office.dials[A]
    line = Line("up", A, {}, None, "office's own\r\n")
    world.core.office_line_received(office, dial.connection, line, now_us(world.loop))
    world.run(0.1)
    assert is_released_at_office(world)


@pytest.mark.parametrize("by_reset", [False, True])
def test_set_ups_of_a_caller_that_has_left_are_ignored_and_its_releases_are_not(
    by_reset: bool, sockets: SocketWorld
) -> None:
    # Guards against sending on what a caller wrote before it closed its connection: nobody waits for an answer.
    sockets.send(invite(A))
    sockets.run(0.1)
    sockets.read()
    assert sockets.statuses(A) == [200]
    sockets.send(b"".join(invite(f"{n:016x}") for n in range(60)) + bodyless_request("BYE", A))
    if by_reset:
        sockets.client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sockets.client.close()
    sockets.run(0.2)
    assert [line.call_id for line in sockets.office.lines_of_type("new")] == [A]
    if not by_reset:  # a reset discards what is unread
        assert [line.call_id for line in sockets.office.lines_of_type("down")] == [A]
        assert sockets.service.counts["set_ups_ignored"] == 60


def test_half_closed_emulated_connection_is_known_to_have_ended_behind_unread_data() -> None:
    world = World()
    caller = world.caller()
    world.run(0.1)
    [connection] = world.service.callers.table.silent
    assert connection.transport is not None
    assert not world.service.network.peer_has_ended(connection.transport)
    connection.transport.pause_reading()
    caller.send(invite(A))
    caller.close()
    world.run(0.1)
    assert world.service.network.peer_has_ended(connection.transport)
