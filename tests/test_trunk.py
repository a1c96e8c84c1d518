"""The trunk protocol without sockets: codec, connection state, circuits, reconnect backoff."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wellhitch.trunk import codec, frames
from wellhitch.trunk.backoff import FIRST_WAIT_US, MAX_WAIT_US, ReconnectBackoff
from wellhitch.trunk.circuits import TrunkGroup, track_disagreement
from wellhitch.trunk.connection import SILENCE_TIMEOUT_US, Connection, ConnectionState, ProtocolError

HELLO = frames.Hello("office", 3, 1)
SAMPLE_FRAMES = [
    HELLO,
    frames.Heartbeat(4),
    frames.Setup(1, 0, 9, 0, "cheap", 3, "0a", 2_000_000, 1),
    frames.Answer(1, frames.Load(queue_wait=20)),
    frames.Reject(2, "processor_full", 300),
    frames.PeerMessage(b"\x01\x00"),
    frames.OfficeList("whole", 3, [frames.OfficeListEntry("office-1", 1, "ready", None, "127.0.0.1:1")]),
]


@given(st.lists(st.sampled_from(SAMPLE_FRAMES), max_size=8), st.lists(st.integers(1, 40), min_size=1))
def test_frames_are_decoded_from_pieces_of_any_size(sent: list[frames.AnyFrame], cuts: list[int]) -> None:
    data = b"".join(codec.encode(frame) for frame in sent)
    decoder, received, index = codec.Decoder(), [], 0
    while index < len(data):
        size = cuts[index % len(cuts)]
        received += decoder.feed(data[index : index + size])
        index += size
    assert received == sent
    assert decoder.buffered_bytes == 0


@given(st.binary(max_size=300))
def test_any_bytes_give_frames_or_one_error(data: bytes) -> None:
    decoder = codec.Decoder()
    try:
        decoder.feed(data)
    except codec.BadFrame:
        assert decoder.feed(data) == []  # all input after the error is ignored
    assert decoder.buffered_bytes <= len(data)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"\x02\x00\x00\x01\x90", "version 2"),
        (b"\x01\xff\xff\xff", "length 16777215"),
        (b"\x01\x00\x00\x01\xc1", "no frame"),
        (b"\x01\x00\x00\x02\x91\xa0", "no frame"),
    ],
)
def test_each_bad_frame_is_described_and_the_frames_before_it_are_kept(data: bytes, expected: str) -> None:
    with pytest.raises(codec.BadFrame, match=expected) as raised:
        codec.Decoder().feed(codec.encode(HELLO) + data)
    assert raised.value.frames_before == [HELLO]


def test_a_frame_over_the_limit_is_not_encoded() -> None:
    with pytest.raises(codec.BadFrame, match="Word of"):
        codec.encode(frames.PeerMessage(bytes(codec.MAX_FRAME_BYTES)))


def connected() -> Connection:
    connection = Connection("call_server", ("office",), 0)
    connection.receive(codec.encode(HELLO), 0)
    return connection


def test_a_connection_is_up_after_the_hello() -> None:
    connection = connected()
    assert connection.state is ConnectionState.UP and connection.peer == HELLO
    assert connection.receive(codec.encode(frames.Answer(1)), 5) == [frames.Answer(1)]


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        ([frames.Answer(1)], "Answer before Hello"),
        ([frames.Hello("centre", 0, 1)], "role 'centre' is not taken"),
        ([HELLO, HELLO], "a second Hello"),
        ([HELLO, frames.Call(1, "cheap", 2, None, 10)], "Call is not for a office to say"),
    ],
)
def test_frames_out_of_order_close_the_connection_with_one_error(
    sent: list[frames.AnyFrame], expected: str
) -> None:
    connection = Connection("call_server", ("office",), 0)
    with pytest.raises(ProtocolError, match=expected) as raised:
        connection.receive(b"".join(codec.encode(frame) for frame in sent), 0)
    assert raised.value.notify_peer and raised.value.frames_before == sent[:-1]
    assert connection.receive(codec.encode(HELLO), 0) == []


def test_a_fault_is_not_answered_with_another() -> None:
    with pytest.raises(ProtocolError) as raised:
        connected().receive(codec.encode(frames.Fault("why")), 0)
    assert not raised.value.notify_peer


def test_silence_is_detected_after_the_timeout_and_not_before() -> None:
    connection = connected()
    assert not connection.timed_out(SILENCE_TIMEOUT_US)
    assert connection.timed_out(SILENCE_TIMEOUT_US + 1)


@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(1, 3), st.booleans()), max_size=60), st.integers(0, 8)
)
def test_circuits_are_held_once_and_all_are_released(steps: list[tuple[int, int, bool]], size: int) -> None:
    group, expected = TrunkGroup(size), {}
    for holder, width, seize in steps:
        if seize:
            if group.seize(holder, width):
                assert holder not in expected
                expected[holder] = width
        else:
            assert group.release(holder) == (expected.pop(holder, None) is not None)
        assert group.local_count == sum(expected.values()) <= size
        assert group.free == size - group.local_count
    for holder in list(expected):
        group.release(holder)
    assert group.free == size


def test_circuits_held_by_the_other_end_are_not_free_and_the_count_is_never_negative() -> None:
    group = TrunkGroup(4, remote_count=3)
    assert group.seize("a", 1) and not group.seize("b", 1)
    group.remote_count = 4  # glare: both ends seized the last circuit
    assert group.free == 0


def test_counts_may_differ_only_for_the_allowed_time() -> None:
    since, report = track_disagreement(1, 0, None, 100, 50)
    assert (since, report) == (100, False)
    assert track_disagreement(1, 0, since, 151, 50) == (100, True)
    assert track_disagreement(1, 1, since, 151, 50) == (None, False)


def test_reconnect_waits_double_up_to_a_limit_with_jitter() -> None:
    waits = [
        [backoff.next_wait() for _ in range(12)]
        for backoff in (ReconnectBackoff(random.Random(n)) for n in range(40))
    ]
    assert all(
        wait <= FIRST_WAIT_US << index and wait <= MAX_WAIT_US
        for waits_of_one in waits
        for index, wait in enumerate(waits_of_one)
    )
    last = sorted(waits_of_one[-1] for waits_of_one in waits)
    assert last[-1] - last[0] > MAX_WAIT_US // 2  # not all at once
