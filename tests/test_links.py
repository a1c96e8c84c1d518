"""Links under fire: ports on the emulated network."""

import asyncio
from typing import cast

import pytest
from world import ConnectedChannels, RecordingOwner, day

from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.lab.fleet import HostAddresses, sheet_of
from wellhitch.server.daemon import MAX_CONNECTIONS, Daemon, ServerAddresses
from wellhitch.settings.server import start_event
from wellhitch.trunk import frames
from wellhitch.trunk.channel import MAX_FRAMES_PER_S, MAX_UNSENT_FRAMES, Channel
from wellhitch.trunk.codec import encode


@pytest.fixture
def ends() -> ConnectedChannels:
    return ConnectedChannels()


@pytest.mark.parametrize(
    ("data", "said"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", "version 71"),
        (b"\x01\xff\xff\xff", "length 16777215"),
        (b"\x01\x00\x00\x03\xc1\xc1\xc1", "no frame"),
    ],
)
def test_garbage_gets_one_error_and_closes_only_its_connection(
    ends: ConnectedChannels, data: bytes, said: str
) -> None:
    other = ConnectedChannels()
    assert ends.server_channel.transport is not None
    ends.server_channel.transport.write(data)
    ends.loop.advance(0.5)
    assert said in ends.office_owner.close_reasons[0] and len(ends.office_owner.close_reasons) == 1
    assert f"reported by the other end: {said}" in ends.server_owner.close_reasons[0]
    other.loop.advance(0.5)
    assert not other.server_owner.close_reasons


def test_a_reset_in_mid_frame_closes_the_connection_without_a_frame(ends: ConnectedChannels) -> None:
    assert ends.server_channel.transport is not None
    ends.server_channel.transport.write(b"\x01\x00\x00\x40half")
    ends.server_channel.transport.abort()
    ends.loop.advance(0.5)
    assert ends.office_owner.close_reasons == ["reset"] and not ends.office_owner.received


def test_bytes_one_by_one_make_the_same_frames(ends: ConnectedChannels) -> None:
    ends.net.faults_between("s", "o").trickle = True
    ends.server_channel.send(frames.Cancel(7))
    ends.server_channel.send(frames.Release(8))
    ends.loop.advance(1)
    assert ends.office_owner.received == [frames.Cancel(7), frames.Release(8)]


def test_a_half_open_connection_is_detected_by_both_ends(ends: ConnectedChannels) -> None:
    ends.net.faults_between("s", "o").silent = True
    ends.loop.advance(3)
    assert not ends.server_owner.close_reasons
    ends.loop.advance(2)
    assert ends.server_owner.close_reasons == [
        "no data from the other end"
    ] and ends.office_owner.close_reasons == ["no data from the other end"]


def test_a_peer_that_stops_reading_costs_a_bounded_number_of_frames_then_its_connection(
    ends: ConnectedChannels,
) -> None:
    assert ends.office_channel.transport is not None
    ends.office_channel.transport.pause_reading()
    sent = 0
    for _ in range(40):
        for _ in range(400):
            sent += ends.server_channel.send(frames.Cancel(sent))
        ends.loop.advance(0.01)
        if ends.server_owner.close_reasons:
            break
    assert "does not read" in ends.server_owner.close_reasons[0]
    assert len(ends.server_channel._unsent) <= MAX_UNSENT_FRAMES


def test_a_mark_is_confirmed_once_all_frames_before_it_were_read(ends: ConnectedChannels) -> None:
    assert ends.office_channel.transport is not None
    ends.office_channel.transport.pause_reading()
    ends.server_channel.send(frames.Cancel(1))
    mark = ends.server_channel.send_mark()
    ends.loop.advance(0.3)
    assert not ends.server_channel.mark_confirmed(mark)
    ends.office_channel.transport.resume_reading()
    ends.loop.advance(0.1)
    assert ends.server_channel.mark_confirmed(mark) and ends.office_owner.received == [frames.Cancel(1)]


def test_unsent_frames_can_be_withdrawn(ends: ConnectedChannels) -> None:
    ends.server_channel.pause_writing()
    ends.server_channel.send(frames.Cancel(1))
    ends.server_channel.send(frames.Release(2))
    assert ends.server_channel.withdraw(lambda frame: isinstance(frame, frames.Cancel)) == [frames.Cancel(1)]
    ends.server_channel.resume_writing()
    ends.loop.advance(0.1)
    assert ends.office_owner.received == [frames.Release(2)]


def test_frames_over_the_rate_limit_are_read_later_and_none_is_lost(ends: ConnectedChannels) -> None:
    whole = MAX_FRAMES_PER_S + 3000
    for at in range(whole):
        ends.server_channel.send(frames.Cancel(at))
        if at % 1000 == 0:
            ends.loop.advance(0.002)
    ends.loop.advance(0.3)
    assert ends.office_channel.rate_pauses == 1 and len(ends.office_owner.received) < whole
    ends.loop.advance(2)
    assert len(ends.office_owner.received) == whole


def test_a_silence_shorter_than_the_timeout_loses_no_frame(ends: ConnectedChannels) -> None:
    ends.net.faults_between("s", "o").silent = True
    ends.server_channel.send(frames.Cancel(1))
    ends.loop.advance(1)
    assert ends.office_owner.received == []
    ends.net.faults_between("s", "o").silent = False
    ends.net.end_silence("s", "o")
    ends.server_channel.send(frames.Cancel(2))
    ends.loop.advance(0.5)
    assert (
        ends.office_owner.received == [frames.Cancel(1), frames.Cancel(2)]
        and not ends.server_owner.close_reasons
    )


def test_a_close_during_a_silence_is_seen_as_a_reset_afterwards(
    ends: ConnectedChannels,
) -> None:
    ends.net.faults_between("s", "o").silent = True
    ends.server_channel.fail("test", notify_peer=False)
    ends.loop.advance(0.5)
    assert ends.office_owner.close_reasons == []
    ends.net.faults_between("s", "o").silent = False
    ends.net.end_silence("s", "o")
    ends.loop.advance(0.5)
    assert ends.office_owner.close_reasons == ["reset"]


@pytest.mark.parametrize("frame", [frames.LedgerMessage(b"x" * 70_000), frames.Final(1 << 70, "stands")])
def test_a_frame_that_cannot_be_encoded_does_not_affect_others(
    ends: ConnectedChannels, frame: frames.AnyFrame
) -> None:
    said: list[str] = []
    ends.loop.set_exception_handler(lambda loop, context: said.append(str(context.get("exception"))))
    ends.server_channel.send(frames.Release(1))
    ends.server_channel.send(frame)
    ends.server_channel.send(frames.Release(2))
    ends.loop.advance(0.1)
    assert [one.dial_ref for one in ends.office_owner.received if isinstance(one, frames.Release)] == [1, 2]
    assert len(said) == 1 and str(frame.__struct_config__.tag) in said[0]


def test_a_connection_without_a_hello_is_closed_even_if_bytes_arrive(ends: ConnectedChannels) -> None:
    """A byte now and then is a sign of life, but of nobody: a thousand such links would stay for ever."""
    closed: list[str] = []
    hello = frames.Hello("call_server", 0, 1)
    port = Channel(ends.loop, RecordingOwner(), hello, ("caller",), on_closed=closed.append)
    ends.net.for_host("s").listen("s:9", lambda: port, lambda listener: None)

    class Dripping(asyncio.BufferedProtocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.transport = cast(asyncio.Transport, transport)

        def get_buffer(self, sizehint: int) -> bytearray:
            return bytearray(1024)

        def buffer_updated(self, nbytes: int) -> None:
            pass

    dripping = Dripping()
    ends.loop.advance(0.1)
    ends.net.for_host("d").connect("s:9", lambda: dripping, closed.append)
    for byte in encode(frames.Hello("caller", 1, 1))[:9]:
        ends.loop.advance(1.0)
        dripping.transport.write(bytes((byte,)))
    assert closed and closed[0].startswith("no Hello")


def test_connections_over_the_limit_are_refused_and_the_others_stay_open() -> None:
    loop = VirtualLoop()
    net = EmulatedNetwork(loop, 1)
    doors = ServerAddresses("s:1", "", "", "r:1", "")
    daemon = Daemon(
        loop,
        net.for_host("s"),
        start_event(sheet_of(day(), 0, HostAddresses())),
        doors,
        10,
        1,
        lambda event, **facts: None,
    )
    daemon.start()
    loop.advance(0.1)
    hands = [RecordingOwner() for _ in range(MAX_CONNECTIONS + 20)]
    for at, hand in enumerate(hands):
        hello = frames.Hello("caller", at, 1)
        net.for_host("c").connect(
            "s:1",
            lambda hand=hand, hello=hello: Channel(
                loop, hand, hello, ("call_server",), on_closed=hand.close_reasons.append
            ),
            print,
        )
    loop.advance(1.0)
    assert len(daemon.accepted_channels) == MAX_CONNECTIONS
    assert sum(bool(hand.close_reasons) for hand in hands) == 20
    assert all("links" in hand.close_reasons[0] for hand in hands if hand.close_reasons)
