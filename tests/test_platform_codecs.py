"""Codecs of the platform: any bytes in any chunks decode to messages or to one named error; all lengths are bounded."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wellhitch.board import codec as board
from wellhitch.office_lines import codec as lines
from wellhitch.platform.set_up_request import MAX_DESCRIPTION_BYTES, SetUp, read_set_up
from wellhitch.settings.checked import InvalidSettings
from wellhitch.sip import codec as sip
from wellhitch.stand_ins.platform import bodyless_request, invite

CALL_ID = "9b1f03aa5c7e2d41"
TRAFFIC_CLASSES = {"cheap": 0, "dear": 0}


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(position % (len(data) + 1) for position in positions)})
    return [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]


# ---- SIP ----


def decode_sip(chunks: list[bytes]) -> tuple[list[sip.Message], str]:
    decoder, decoded = sip.Decoder(), list[sip.Message]()
    for chunk in chunks:
        try:
            decoded += decoder.feed(chunk)
        except sip.BadSip as error:
            return decoded + error.before, error.reason
    return decoded, ""


SIP_MESSAGES = (
    invite(CALL_ID)
    + bodyless_request("ACK", CALL_ID)
    + b"\r\n\r\n"
    + bodyless_request("BYE", CALL_ID)
    + sip.response(200, "Call-ID: x\r\n", b"abc")
)


@given(st.lists(st.integers(0, 2000), max_size=12))
def test_sip_decoding_does_not_depend_on_chunk_boundaries(positions: list[int]) -> None:
    decoded, reason = decode_sip(split_at(SIP_MESSAGES, positions))
    assert not reason and [getattr(message, "method", 200) for message in decoded] == [
        "INVITE",
        "ACK",
        "BYE",
        200,
    ]
    assert decoded[0].body == b"caller's own\r\n" and decoded[-1].body == b"abc"


@given(st.binary(max_size=600), st.lists(st.integers(0, 600), max_size=5))
def test_arbitrary_bytes_give_sip_messages_or_one_named_error(data: bytes, positions: list[int]) -> None:
    decode_sip(split_at(data, positions))


@given(st.integers(0, len(SIP_MESSAGES) - 1), st.binary(min_size=1, max_size=4))
def test_inserted_bytes_give_sip_messages_or_one_named_error(position: int, extra: bytes) -> None:
    decode_sip([SIP_MESSAGES[:position] + extra + SIP_MESSAGES[position:]])


@pytest.mark.parametrize(
    ("head", "reason"),
    [
        ("Content-Length: -5", "length"),
        ("Content-Length: 12a", "length"),
        ("Content-Length: ²", "length"),
        ("Content-Length: 99999999999999999999", "too_large"),
        ("Content-Length: 62914560", "too_large"),
        ("Content-Length: 3\r\nContent-Length: 3", "header_twice"),
        ("Call-ID: a\r\nCall-ID: b\r\nContent-Length: 0", "header_twice"),
        ("X-Free: yes", "no_length"),
        ("no colon here\r\nContent-Length: 0", "header"),
        ("X-Free: a\x01b\r\nContent-Length: 0", "header"),
        ("\r\n".join(f"X-{n}: 1" for n in range(70)), "too_many_headers"),
        ("X-Free: " + "a" * 9000, "head_too_long"),
    ],
)
def test_head_outside_its_limits_is_a_named_error(head: str, reason: str) -> None:
    data = f"INVITE sip:{CALL_ID}@net SIP/2.0\r\n{head}\r\n\r\n".encode()
    assert decode_sip([data]) == ([], reason)
    assert decode_sip([data[n : n + 1] for n in range(len(data))]) == ([], reason)


@pytest.mark.parametrize(
    "data", [b"\x00\xff" * 400, b"GET / HTTP/1.1\r\n", b"INVITE " + b"a" * 700, b"\xc3\xa9 sip:a SIP/2.0\r\n"]
)
def test_invalid_start_line_is_detected_before_the_line_ends(data: bytes) -> None:
    assert decode_sip([data])[1] == "start_line"


def test_error_carries_the_valid_messages_before_it_and_the_request_to_answer() -> None:
    bad = invite(CALL_ID).replace(b"Content-Length: 14", b"Content-Length: 999999")
    with pytest.raises(sip.BadSip) as caught:
        sip.Decoder().feed(bodyless_request("ACK", CALL_ID) + bad)
    assert [message.method for message in caught.value.before] == ["ACK"]
    assert caught.value.request is not None and caught.value.request.headers["call-id"] == CALL_ID


def test_buffered_head_of_an_endless_message_is_bounded() -> None:
    decoder, fed_bytes = sip.Decoder(), 0
    with pytest.raises(sip.BadSip):
        for _ in range(1000):
            decoder.feed(b"X" * 100 if fed_bytes else f"INVITE sip:{CALL_ID}@net SIP/2.0\r\n".encode())
            fed_bytes += 100
    assert fed_bytes <= sip.MAX_HEAD_BYTES + 200


# ---- set-up requests ----


def read(data: bytes) -> SetUp | str:
    [message] = sip.Decoder().feed(data)
    assert isinstance(message, sip.Request)
    return read_set_up(message, TRAFFIC_CLASSES)


def test_set_up_is_read() -> None:
    set_up = read(invite(CALL_ID, 2, "dear", 671, ";transit:1;again:1"))
    assert isinstance(set_up, SetUp)
    assert (
        set_up.call_id,
        set_up.called_number,
        set_up.traffic_class,
        set_up.time_left,
        set_up.destination,
    ) == (
        CALL_ID,
        "7f3a9c21e0b4d655",
        "dear",
        671_000,
        2,
    )
    assert set_up.transit and set_up.advised_tandem is None and set_up.description == "caller's own\r\n"


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("X-Tier: cheap", "X-Tier: unheard-of", "unknown_use_case"),
        ("X-Deadline: 1000", "X-Deadline: 0", "left"),
        ("X-Deadline: 1000", "X-Deadline: -1", "left"),
        ("X-Deadline: 1000", "X-Deadline: nan", "left"),
        ("X-Deadline: 1000", "X-Deadline: 1e99", "left"),
        ("X-Deadline: 1000", "X-Deadline: 999999999999999999", "left"),
        ("dest:1", "dest:-1", "destination"),
        ("dest:1", "dest:x", "destination"),
        ("dest:1", "dest:65536", "destination"),
        ("dest:1;", "", "destination"),
        ("dest:1;", "dest:1;dest:2;", "attributes"),
        ("dest:1;", "dest;", "attributes"),
        ("width:1", "width:0", "width"),
        ("width:1", "width:inf", "width"),
        ("width:1", "width:5000", "width"),
        ("via:-1", "via:-2", "advised"),
        ("via:-1", "via:-1;transit:7", "transit"),
        ("via:-1", "via:-1;at:elsewhere", "at"),
        (f"Call-ID: {CALL_ID}", "Call-ID: short", "no_id"),
        (f"Call-ID: {CALL_ID}\r\n", "", "no_id"),
        ("sip:7f3a9c21e0b4d655@net", "sip:nobody@net", "number_called"),
        ("CSeq: 1 INVITE", "CSeq: one INVITE", "cseq"),
        ("CSeq: 1 INVITE", "CSeq: 1 BYE", "cseq"),
    ],
)
def test_invalid_set_up_is_a_named_error(old: str, new: str, fault: str) -> None:
    assert read(invite(CALL_ID).replace(old.encode(), new.encode())) == fault


def test_invalid_description_is_a_named_error() -> None:
    assert read(invite(CALL_ID, body=b"\xff\xfe")) == "description_no_text"
    assert read(invite(CALL_ID, body=b"a" * (MAX_DESCRIPTION_BYTES + 1))) == "description_too_long"


@given(st.text(max_size=200).filter(lambda text: "\x00" not in text))
def test_description_reaches_the_office_unchanged_as_one_line(text: str) -> None:
    line = lines.set_up(CALL_ID, "cheap", "7f3a9c21e0b4d655", 1000, text)
    assert line.count(b"\n") == 1 and len(line) < lines.MAX_LINE_BYTES
    assert json.loads(line)["d"] == text
    assert json.loads(line)["f"] == {"class": "cheap", "key": "7f3a9c21e0b4d655", "left": "1000"}


# ---- office lines ----

OFFICE_LINES = (
    b'{"t":"gauge","ref":"0000000000000000","f":{"load":"spare:79;total:79"}}\n'
    b'{"t":"up","ref":"9b1f03aa5c7e2d41","f":{},"d":"9d\\r\\n"}\n{"t":"down","ref":"9b1f03aa5c7e2d41","f":{"n":1},"c":"34"}\n'
)


def decode_lines(chunks: list[bytes]) -> tuple[list[lines.Line], str]:
    decoder, decoded = lines.Decoder(), list[lines.Line]()
    for chunk in chunks:
        try:
            decoded += decoder.feed(chunk)
        except lines.BadLine as error:
            return decoded + error.before, error.reason
    return decoded, ""


@given(st.lists(st.integers(0, 400), max_size=12))
def test_line_decoding_does_not_depend_on_chunk_boundaries(positions: list[int]) -> None:
    decoded, reason = decode_lines(split_at(OFFICE_LINES, positions))
    assert not reason and [line.type for line in decoded] == ["gauge", "up", "down"]
    assert decoded[2].cause == 34 and decoded[1].description == "9d\r\n"  # numbers may come as strings


@given(st.binary(max_size=400), st.lists(st.integers(0, 400), max_size=5))
def test_arbitrary_bytes_give_lines_or_one_named_error(data: bytes, positions: list[int]) -> None:
    decode_lines(split_at(data, positions))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xfe\x00\n", "line_unreadable"),
        (b'{"t":"up"\n', "line_unreadable"),
        (b"[1,2]\n", "line_unreadable"),
        (b'{"ref":"a"}\n', "line_unreadable"),
        (b'{"t":"up","f":{"a":[1]}}\n', "line_unreadable"),
        (b"[" * 5000 + b"\n", "line_unreadable"),
        (b"x" * 17000, "line_too_long"),
        (b'{"t":"' + b"x" * 17000 + b'"}\n', "line_too_long"),
    ],
)
def test_invalid_line_is_a_named_error(data: bytes, reason: str) -> None:
    assert decode_lines([data])[1] == reason


def test_buffered_part_of_an_endless_line_is_bounded() -> None:
    decoder, fed_bytes = lines.Decoder(), 0
    with pytest.raises(lines.BadLine):
        for _ in range(100):
            decoder.feed(b"x" * 1000)
            fed_bytes += 1000
    assert fed_bytes <= lines.MAX_LINE_BYTES + 1000


@pytest.mark.parametrize(
    ("load", "values"),
    [
        ("spare:79;total:80", {"spare": 79.0, "total": 80.0}),
        ("spare:;total:x;q", {}),
        (7, {}),
        (None, {}),
        ("", {}),
    ],
)
def test_load_report_keeps_only_the_valid_numbers(load: object, values: dict[str, float]) -> None:
    assert lines.parse_load(load) == values


# ---- discovery ----

UPDATE_ROWS = (
    board.DiscoveryEntry("s-00c41f7a", "10.1.0.9:2905", board.READY, 2, 0),
    board.DiscoveryEntry("s-00000001", "10.1.0.8:2905", board.REMOVED, 1, 5),
)
UPDATES = [
    board.Update(2, True, UPDATE_ROWS),
    board.Update(2, False, (), True),
    board.Update(3, False, UPDATE_ROWS[:1]),
]
UPDATE_FRAMES = b"".join(board.encode_update(update) for update in UPDATES)


def decode_frames(chunks: list[bytes]) -> tuple[list[board.Update], str]:
    decoder, decoded = board.Decoder(), list[board.Update]()
    for chunk in chunks:
        try:
            decoded += decoder.feed(chunk)
        except board.BadFrame as error:
            return decoded + error.before, str(error)
    return decoded, ""


@given(st.lists(st.integers(0, 200), max_size=12))
def test_frame_decoding_does_not_depend_on_chunk_boundaries(positions: list[int]) -> None:
    assert decode_frames(split_at(UPDATE_FRAMES, positions)) == (UPDATES, "")


@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=5))
def test_arbitrary_bytes_give_frames_or_one_named_error(data: bytes, positions: list[int]) -> None:
    decode_frames(split_at(data, positions))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xff\xff\xff" + b"\0" * 9, "frame_length"),
        (b"\0\0\0\x08" + b"\0" * 9, "frame_length"),
        (b"\0\0\0\x0a" + b"\0" * 8 + b"\x01x", "frame_form"),
        (b"\0\0\0\x09" + b"\0" * 8 + b"\x07", "frame_form"),
        (
            board.encode_update(
                board.Update(2, False, (board.DiscoveryEntry("s-00000001", "10.1.0.8:0", 0, 1, 0),))
            ),
            "record",
        ),
        (
            board.encode_update(
                board.Update(2, False, (board.DiscoveryEntry("s-00000001", "10.1.0.8:1", 3, 1, 0),))
            ),
            "record",
        ),
    ],
)
def test_invalid_frame_is_a_named_error(data: bytes, reason: str) -> None:
    assert decode_frames([data]) == ([], reason)


def test_known_updates_are_read_and_a_wrong_field_is_named() -> None:
    server = {
        "addr": "10.1.0.9:2905",
        "cell": "2",
        "id": "s-00c41f7a",
        "state": "up",
        "weight": 1.0,
        "started_ms": 0,
    }
    value = {"rev": 4, "notices": [{"rev": 4, "pool": {"version": 7, "full": True, "servers": [server]}}]}
    assert board.read_known_updates(value, "file") == (4, [board.Update(4, True, UPDATE_ROWS[:1])])
    server["cell"] = "two"
    with pytest.raises(InvalidSettings, match=r"file: notices\[0\].pool.servers\[0\].cell = 'two'"):
        board.read_known_updates(value, "file")
