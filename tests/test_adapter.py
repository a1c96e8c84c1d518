"""The simulator's wire protocol, in short hand-written batches."""

import io
import json

import pytest

from wellhitch.adapter import codec
from wellhitch.adapter.host import serve
from wellhitch.interface.events import ReleaseCause

CONFIGURATION = {
    "balancers": 2,
    "classes": [{"name": "talk", "importance": 1.0, "objective_ns": 10**9, "deadline_ns": 9 * 10**9}],
    "discovery": "push",
    "family_info": {"topology": "meshed", "self_no": 0, "clear_wait_ns": 10**8},
    "limits": {"most_tries": 3},
    "rules": {},
}
TABLE = ["Table", 0, [["a", "z", "k", 0, "Ready", 1, None], ["b", "z", "k", 1, "Ready", 1, None]]]
START = [["Create", 4, 9, CONFIGURATION], TABLE, ["Fleet", 4, 0, "Persisted", 1]]
CALL = ["Ingress", 4, 77, None, 1, "ff", -1, "talk", 3 * 10**9, None, 1, 0]


def run_batches(*batches):
    lines = "".join(
        json.dumps({"at_time_ns": 10**6 * n, "n": n, "in": batch}) + "\n" for n, batch in enumerate(batches)
    )
    sink, errors = io.StringIO(), io.StringIO()
    status = serve(io.StringIO(lines), sink, errors)
    return status, [json.loads(line)["outbox"] for line in sink.getvalue().splitlines()]


def test_a_dialogue_is_dialled_and_the_end_of_its_dial_is_processed():
    dial_end = ["Verdict", 4, 77, 0, "b", "QueueFull", 1000, False, 3, {"spare": 1, "total": 2, "new": 5}]
    status, replies = run_batches([], START, [CALL], [dial_end])
    assert status == 0
    assert replies[0] == [] and replies[1] == [["Arm", 4, 250_000_000, 0]]
    assert replies[2] == [["Assign", 4, 77, "b", 3 * 10**9]]
    assert replies[3][0][:3] == ["Refuse", 4, 77]


def test_stop_and_start_in_one_batch_clear_the_state():
    status, replies = run_batches(START, [CALL, ["PowerOff", 4], *START, ["Left", 4, 77]])
    assert status == 0 and [message[0] for message in replies[1]] == ["Assign", "Arm"]


def test_a_table_is_read_as_of_the_message_that_names_it():
    other_table = ["Table", 0, [["c", "z", "k", 1, "Ready", 1, None]]]
    _, replies = run_batches(
        [*START, other_table], [CALL], [["Fleet", 4, 0, "Complete", 2], [*CALL[:2], 78, *CALL[3:]]]
    )
    assert replies[1][0][3] == "b" and replies[2][0][3] == "c"


def test_unknown_events_and_instances_are_skipped():
    status, replies = run_batches(
        START, [["Novelty", 4, 1], ["Left", 9, 1], ["HealthResult", 4, "zz", "Ok", 0, None]]
    )
    assert status == 0 and replies[1] == []


def test_an_error_in_a_decision_is_reported_with_its_type():
    _, replies = run_batches(START, [[*CALL[:7], "no such traffic class", *CALL[8:]]])
    assert replies[1][0][:2] == ["Bug", 4] and "KeyError" in replies[1][0][2]


@pytest.mark.parametrize("line", ["{", "[]", '{"n":1}', '{"at_time_ns":1,"n":1,"in":[3]}'])
def test_a_line_that_is_not_a_batch_ends_with_an_error_message(line):
    sink, errors = io.StringIO(), io.StringIO()
    assert serve(io.StringIO(line + "\n"), sink, errors) == 1
    assert sink.getvalue() == "" and errors.getvalue().startswith("batch after none: ")


@pytest.mark.parametrize(
    ("cause", "release_cause", "retry_after"),
    [
        (18, ReleaseCause.FAR_PROCESSOR_FULL, 0),
        (3 + 16 * 40, ReleaseCause.PROCESSOR_FULL, 40_000),
        (None, ReleaseCause.NONE, 0),
    ],
)
def test_cause_codes(cause, release_cause, retry_after):
    assert codec.read_cause(cause) == (release_cause, retry_after)


def test_negative_values_count_as_missing():
    report = codec.read_report({"spare": 3, "total": 5, "busy": -1, "lat_ms": 2.5})
    assert (report.free_circuits, report.utilisation, report.queue_wait) == (3, None, 2500)


@pytest.mark.parametrize(
    ("digits", "expected"), [("0102", b"\x01\x02"), ("010", b""), ("zz", b""), (None, b"")]
)
def test_a_peer_message_that_is_not_hexadecimal_is_read_as_empty(digits, expected):
    assert codec.read_bytes(digits) == expected


@pytest.mark.parametrize(
    "line",
    [
        '{"at_time_ns":1,"n":1,"in":[["Table",0]]}',
        '{"at_time_ns":1,"n":1,"in":[["Table",0,5]]}',
        '{"at_time_ns":1,"n":1,"in":[["Table",0,[]],["Fleet",4,[],"Complete",1]]}',
        '{"at_time_ns":1,"n":1,"in":[[{},4]]}',
        "[" * 100_000,
        '{"at_time_ns":true,"n":1,"in":[]}',
        '{"at_time_ns":' + "9" * 5000 + ',"n":1,"in":[]}',
    ],
)
def test_malformed_lines_end_in_an_error_message_or_a_reply(line):
    sink, errors = io.StringIO(), io.StringIO()
    assert serve(io.StringIO(line + "\n"), sink, errors) in (0, 1)
    assert sink.getvalue().count("\n") + errors.getvalue().count("\n") == 1


def test_invalid_utf8_and_a_closed_reader_end_in_an_error_message():
    sink, errors = io.StringIO(), io.StringIO()
    source = io.TextIOWrapper(io.BytesIO(b'{"n":1}\xff\xfe\n'), encoding="utf-8")
    assert serve(source, sink, errors) == 1 and "not valid UTF-8 text" in errors.getvalue()

    class ClosedReader(io.StringIO):
        def flush(self):
            raise BrokenPipeError

    errors = io.StringIO()
    assert serve(io.StringIO('{"at_time_ns":1,"n":1,"in":[]}\n'), ClosedReader(), errors) == 1
    assert "reader of the replies is gone" in errors.getvalue()


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1, "x", [], True])
def test_a_value_that_is_not_a_number_counts_as_missing(value):
    report = codec.read_report({"spare": value, "total": value, "busy": value, "lat_ms": value})
    assert (
        report.free_circuits is None
        and report.group_size is None
        and report.utilisation is None
        and report.queue_wait is None
    )
