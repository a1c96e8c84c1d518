"""Channels on the emulated network: invalid data, silence, back-pressure, limits."""

import asyncio
from typing import cast

import pytest
from world import ConnectedChannels, RecordingOwner, day

from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.lab.fleet import HostAddresses, server_settings
from wellhitch.server.daemon import MAX_CONNECTIONS, Daemon, ServerAddresses
from wellhitch.settings.server import start_event
from wellhitch.trunk import frames
from wellhitch.trunk.channel import MAX_FRAMES_PER_S, MAX_UNSENT_FRAMES, Channel
from wellhitch.trunk.codec import encode


@pytest.fixture
def pair() -> ConnectedChannels:
    return ConnectedChannels()


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", "version 71"),
        (b"\x01\xff\xff\xff", "length 16777215"),
        (b"\x01\x00\x00\x03\xc1\xc1\xc1", "no frame"),
    ],
)
def test_garbage_gets_one_error_and_closes_only_its_connection(
    pair: ConnectedChannels, data: bytes, expected: str
) -> None:
    unaffected = ConnectedChannels()
    assert pair.server_channel.transport is not None
    pair.server_channel.transport.write(data)
    pair.loop.advance(0.5)
    assert expected in pair.office_owner.close_reasons[0] and len(pair.office_owner.close_reasons) == 1
    assert f"reported by the other end: {expected}" in pair.server_owner.close_reasons[0]
    unaffected.loop.advance(0.5)
    assert not unaffected.server_owner.close_reasons


def test_a_reset_in_mid_frame_closes_the_connection_without_a_frame(pair: ConnectedChannels) -> None:
    assert pair.server_channel.transport is not None
    pair.server_channel.transport.write(b"\x01\x00\x00\x40half")
    pair.server_channel.transport.abort()
    pair.loop.advance(0.5)
    assert pair.office_owner.close_reasons == ["reset"] and not pair.office_owner.received


def test_bytes_one_by_one_make_the_same_frames(pair: ConnectedChannels) -> None:
    pair.net.faults_between("s", "o").trickle = True
    pair.server_channel.send(frames.Cancel(7))
    pair.server_channel.send(frames.Release(8))
    pair.loop.advance(1)
    assert pair.office_owner.received == [frames.Cancel(7), frames.Release(8)]


def test_a_half_open_connection_is_detected_by_both_ends(pair: ConnectedChannels) -> None:
    pair.net.faults_between("s", "o").silent = True
    pair.loop.advance(3)
    assert not pair.server_owner.close_reasons
    pair.loop.advance(2)
    assert pair.server_owner.close_reasons == [
        "no data from the other end"
    ] and pair.office_owner.close_reasons == ["no data from the other end"]


def test_a_peer_that_stops_reading_costs_a_bounded_number_of_frames_then_its_connection(
    pair: ConnectedChannels,
) -> None:
    assert pair.office_channel.transport is not None
    pair.office_channel.transport.pause_reading()
    sent = 0
    for _ in range(40):
        for _ in range(400):
            sent += pair.server_channel.send(frames.Cancel(sent))
        pair.loop.advance(0.01)
        if pair.server_owner.close_reasons:
            break
    assert "does not read" in pair.server_owner.close_reasons[0]
    assert len(pair.server_channel._unsent) <= MAX_UNSENT_FRAMES


def test_a_mark_is_confirmed_once_all_frames_before_it_were_read(pair: ConnectedChannels) -> None:
    assert pair.office_channel.transport is not None
    pair.office_channel.transport.pause_reading()
    pair.server_channel.send(frames.Cancel(1))
    mark = pair.server_channel.send_mark()
    pair.loop.advance(0.3)
    assert not pair.server_channel.mark_confirmed(mark)
    pair.office_channel.transport.resume_reading()
    pair.loop.advance(0.1)
    assert pair.server_channel.mark_confirmed(mark) and pair.office_owner.received == [frames.Cancel(1)]


def test_unsent_frames_can_be_withdrawn(pair: ConnectedChannels) -> None:
    pair.server_channel.pause_writing()
    pair.server_channel.send(frames.Cancel(1))
    pair.server_channel.send(frames.Release(2))
    assert pair.server_channel.withdraw(lambda frame: isinstance(frame, frames.Cancel)) == [frames.Cancel(1)]
    pair.server_channel.resume_writing()
    pair.loop.advance(0.1)
    assert pair.office_owner.received == [frames.Release(2)]


def test_frames_over_the_rate_limit_are_read_later_and_none_is_lost(pair: ConnectedChannels) -> None:
    total = MAX_FRAMES_PER_S + 3000
    for number in range(total):
        pair.server_channel.send(frames.Cancel(number))
        if number % 1000 == 0:
            pair.loop.advance(0.002)
    pair.loop.advance(0.3)
    assert pair.office_channel.rate_pauses == 1 and len(pair.office_owner.received) < total
    pair.loop.advance(2)
    assert len(pair.office_owner.received) == total


def test_a_silence_shorter_than_the_timeout_loses_no_frame(pair: ConnectedChannels) -> None:
    pair.net.faults_between("s", "o").silent = True
    pair.server_channel.send(frames.Cancel(1))
    pair.loop.advance(1)
    assert pair.office_owner.received == []
    pair.net.faults_between("s", "o").silent = False
    pair.net.end_silence("s", "o")
    pair.server_channel.send(frames.Cancel(2))
    pair.loop.advance(0.5)
    assert (
        pair.office_owner.received == [frames.Cancel(1), frames.Cancel(2)]
        and not pair.server_owner.close_reasons
    )


def test_a_close_during_a_silence_is_seen_as_a_reset_afterwards(
    pair: ConnectedChannels,
) -> None:
    pair.net.faults_between("s", "o").silent = True
    pair.server_channel.fail("test", notify_peer=False)
    pair.loop.advance(0.5)
    assert pair.office_owner.close_reasons == []
    pair.net.faults_between("s", "o").silent = False
    pair.net.end_silence("s", "o")
    pair.loop.advance(0.5)
    assert pair.office_owner.close_reasons == ["reset"]


@pytest.mark.parametrize("frame", [frames.LedgerMessage(b"x" * 70_000), frames.Final(1 << 70, "stands")])
def test_a_frame_that_cannot_be_encoded_does_not_affect_others(
    pair: ConnectedChannels, frame: frames.AnyFrame
) -> None:
    errors: list[str] = []
    pair.loop.set_exception_handler(lambda loop, context: errors.append(str(context.get("exception"))))
    pair.server_channel.send(frames.Release(1))
    pair.server_channel.send(frame)
    pair.server_channel.send(frames.Release(2))
    pair.loop.advance(0.1)
    assert [
        received.dial_ref for received in pair.office_owner.received if isinstance(received, frames.Release)
    ] == [1, 2]
    assert len(errors) == 1 and str(frame.__struct_config__.tag) in errors[0]


def test_a_connection_without_a_hello_is_closed_even_if_bytes_arrive(pair: ConnectedChannels) -> None:
    """Guards against clients that send a byte now and then: a thousand such connections would stay open forever."""
    closed: list[str] = []
    hello = frames.Hello("call_server", 0, 1)
    channel = Channel(pair.loop, RecordingOwner(), hello, ("caller",), on_closed=closed.append)
    pair.net.for_host("s").listen("s:9", lambda: channel, lambda listener: None)

    class SlowClient(asyncio.BufferedProtocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.transport = cast(asyncio.Transport, transport)

        def get_buffer(self, sizehint: int) -> bytearray:
            return bytearray(1024)

        def buffer_updated(self, nbytes: int) -> None:
            pass

    client = SlowClient()
    pair.loop.advance(0.1)
    pair.net.for_host("d").connect("s:9", lambda: client, closed.append)
    for byte in encode(frames.Hello("caller", 1, 1))[:9]:
        pair.loop.advance(1.0)
        client.transport.write(bytes((byte,)))
    assert closed and closed[0].startswith("no Hello")


def test_connections_over_the_limit_are_refused_and_the_others_stay_open() -> None:
    loop = VirtualLoop()
    net = EmulatedNetwork(loop, 1)
    addresses = ServerAddresses("s:1", "", "", "r:1", "")
    daemon = Daemon(
        loop,
        net.for_host("s"),
        start_event(server_settings(day(), 0, HostAddresses())),
        addresses,
        10,
        1,
        lambda event, **facts: None,
    )
    daemon.start()
    loop.advance(0.1)
    owners = [RecordingOwner() for _ in range(MAX_CONNECTIONS + 20)]
    for number, owner in enumerate(owners):
        hello = frames.Hello("caller", number, 1)
        net.for_host("c").connect(
            "s:1",
            lambda owner=owner, hello=hello: Channel(
                loop, owner, hello, ("call_server",), on_closed=owner.close_reasons.append
            ),
            print,
        )
    loop.advance(1.0)
    assert len(daemon.accepted_channels) == MAX_CONNECTIONS
    assert sum(bool(owner.close_reasons) for owner in owners) == 20
    assert all(
        "links stand here already" in owner.close_reasons[0] for owner in owners if owner.close_reasons
    )
