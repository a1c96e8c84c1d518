"""Links under fire: ports on the emulated network."""

import asyncio
from typing import cast

import pytest
from world import Hand, TwoEnds, day

from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.lab.fleet import HostAddresses, server_settings
from wellhitch.server.daemon import MAX_CONNECTIONS, Daemon, ServerAddresses
from wellhitch.settings.server import start_event
from wellhitch.trunk import frames
from wellhitch.trunk.channel import MAX_FRAMES_PER_S, MAX_UNSENT_FRAMES, Channel
from wellhitch.trunk.codec import encode


@pytest.fixture
def ends() -> TwoEnds:
    return TwoEnds()


@pytest.mark.parametrize(
    ("data", "said"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", "version 71"),
        (b"\x01\xff\xff\xff", "length 16777215"),
        (b"\x01\x00\x00\x03\xc1\xc1\xc1", "no frame"),
    ],
)
def test_garbage_gets_one_clear_error_and_costs_that_link_alone(
    ends: TwoEnds, data: bytes, said: str
) -> None:
    other = TwoEnds()
    assert ends.a.transport is not None
    ends.a.transport.write(data)
    ends.loop.advance(0.5)
    assert said in ends.office.down[0] and len(ends.office.down) == 1
    assert f"reported by the other end: {said}" in ends.server.down[0]
    other.loop.advance(0.5)
    assert not other.server.down


def test_a_reset_in_mid_frame_is_a_lost_link_and_no_frame(ends: TwoEnds) -> None:
    assert ends.a.transport is not None
    ends.a.transport.write(b"\x01\x00\x00\x40half")
    ends.a.transport.abort()
    ends.loop.advance(0.5)
    assert ends.office.down == ["reset"] and not ends.office.got


def test_bytes_one_by_one_make_the_same_frames(ends: TwoEnds) -> None:
    ends.net.spoil("s", "o").trickle = True
    ends.a.send(frames.Cancel(7))
    ends.a.send(frames.Release(8))
    ends.loop.advance(1)
    assert ends.office.got == [frames.Cancel(7), frames.Release(8)]


def test_a_half_open_link_is_found_by_both_ends(ends: TwoEnds) -> None:
    ends.net.spoil("s", "o").silent = True
    ends.loop.advance(3)
    assert not ends.server.down
    ends.loop.advance(2)
    assert ends.server.down == ["no data from the other end"] and ends.office.down == [
        "no data from the other end"
    ]


def test_a_reader_that_stops_costs_a_bounded_number_of_frames_then_its_link(ends: TwoEnds) -> None:
    assert ends.b.transport is not None
    ends.b.transport.pause_reading()
    sent = 0
    for _ in range(40):
        for _ in range(400):
            sent += ends.a.send(frames.Cancel(sent))
        ends.loop.advance(0.01)
        if ends.server.down:
            break
    assert "does not read" in ends.server.down[0]
    assert len(ends.a._unsent) <= MAX_UNSENT_FRAMES


def test_a_mark_is_answered_once_all_before_it_was_read(ends: TwoEnds) -> None:
    assert ends.b.transport is not None
    ends.b.transport.pause_reading()
    ends.a.send(frames.Cancel(1))
    mark = ends.a.send_mark()
    ends.loop.advance(0.3)
    assert not ends.a.mark_confirmed(mark)
    ends.b.transport.resume_reading()
    ends.loop.advance(0.1)
    assert ends.a.mark_confirmed(mark) and ends.office.got == [frames.Cancel(1)]


def test_frames_that_wait_here_can_be_taken_back(ends: TwoEnds) -> None:
    ends.a.pause_writing()
    ends.a.send(frames.Cancel(1))
    ends.a.send(frames.Release(2))
    assert ends.a.withdraw(lambda frame: isinstance(frame, frames.Cancel)) == [frames.Cancel(1)]
    ends.a.resume_writing()
    ends.loop.advance(0.1)
    assert ends.office.got == [frames.Release(2)]


def test_a_sender_over_the_rate_is_read_later_and_loses_nothing(ends: TwoEnds) -> None:
    whole = MAX_FRAMES_PER_S + 3000
    for at in range(whole):
        ends.a.send(frames.Cancel(at))
        if at % 1000 == 0:
            ends.loop.advance(0.002)
    ends.loop.advance(0.3)
    assert ends.b.rate_pauses == 1 and len(ends.office.got) < whole
    ends.loop.advance(2)
    assert len(ends.office.got) == whole


def test_silence_that_ends_in_time_loses_nothing(ends: TwoEnds) -> None:
    ends.net.spoil("s", "o").silent = True
    ends.a.send(frames.Cancel(1))
    ends.loop.advance(1)
    assert ends.office.got == []
    ends.net.spoil("s", "o").silent = False
    ends.net.heal("s", "o")
    ends.a.send(frames.Cancel(2))
    ends.loop.advance(0.5)
    assert ends.office.got == [frames.Cancel(1), frames.Cancel(2)] and not ends.server.down


def test_an_end_whose_other_end_closed_in_the_silence_sees_a_reset_once_it_is_over(ends: TwoEnds) -> None:
    ends.net.spoil("s", "o").silent = True
    ends.a.fail("test", notify_peer=False)
    ends.loop.advance(0.5)
    assert ends.office.down == []
    ends.net.spoil("s", "o").silent = False
    ends.net.heal("s", "o")
    ends.loop.advance(0.5)
    assert ends.office.down == ["reset"]


@pytest.mark.parametrize("frame", [frames.LedgerMessage(b"x" * 70_000), frames.Final(1 << 70, "stands")])
def test_a_frame_that_cannot_be_sent_costs_no_other(ends: TwoEnds, frame: frames.AnyFrame) -> None:
    said: list[str] = []
    ends.loop.set_exception_handler(lambda loop, context: said.append(str(context.get("exception"))))
    ends.a.send(frames.Release(1))
    ends.a.send(frame)
    ends.a.send(frames.Release(2))
    ends.loop.advance(0.1)
    assert [one.dial_ref for one in ends.office.got if isinstance(one, frames.Release)] == [1, 2]
    assert len(said) == 1 and str(frame.__struct_config__.tag) in said[0]


def test_one_that_never_says_who_it_is_is_closed_whatever_it_drips(ends: TwoEnds) -> None:
    """A byte now and then is a sign of life, but of nobody: a thousand such links would stay for ever."""
    closed: list[str] = []
    hello = frames.Hello("call_server", 0, 1)
    port = Channel(ends.loop, Hand(), hello, ("caller",), on_closed=closed.append)
    ends.net.at("s").listen("s:9", lambda: port, lambda listener: None)

    class Dripping(asyncio.BufferedProtocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.transport = cast(asyncio.Transport, transport)

        def get_buffer(self, sizehint: int) -> bytearray:
            return bytearray(1024)

        def buffer_updated(self, nbytes: int) -> None:
            pass

    dripping = Dripping()
    ends.loop.advance(0.1)
    ends.net.at("d").connect("s:9", lambda: dripping, closed.append)
    for byte in encode(frames.Hello("caller", 1, 1))[:9]:
        ends.loop.advance(1.0)
        dripping.transport.write(bytes((byte,)))
    assert closed and closed[0].startswith("no Hello")


def test_links_over_the_limit_are_told_and_closed_and_those_that_stand_go_on() -> None:
    loop = VirtualLoop()
    net = EmulatedNetwork(loop, 1)
    doors = ServerAddresses("s:1", "", "", "r:1", "")
    daemon = Daemon(
        loop,
        net.at("s"),
        start_event(server_settings(day(), 0, HostAddresses())),
        doors,
        10,
        1,
        lambda event, **facts: None,
    )
    daemon.start()
    loop.advance(0.1)
    hands = [Hand() for _ in range(MAX_CONNECTIONS + 20)]
    for at, hand in enumerate(hands):
        hello = frames.Hello("caller", at, 1)
        net.at("c").connect(
            "s:1",
            lambda hand=hand, hello=hello: Channel(
                loop, hand, hello, ("call_server",), on_closed=hand.down.append
            ),
            print,
        )
    loop.advance(1.0)
    assert len(daemon.accepted_channels) == MAX_CONNECTIONS
    assert sum(bool(hand.down) for hand in hands) == 20
    assert all("links" in hand.down[0] for hand in hands if hand.down)
