"""The checker of trials, on handwritten records: each violated rule is named, and a correct trial passes."""

from pathlib import Path

import pytest

from wellhitch.lab.trials.records import EventKind, Lag, Record, Records
from wellhitch.lab.trials.verdicts import Checker, Verdict, check_log

CALL, SERVER, ENDPOINT, OTHER = "00000000000000aa", "n0", "s-00000001", "s-00000002"


def recorded(time_s: float, kind: EventKind, **overrides: object) -> Record:
    call_id = (
        ""
        if kind.name.startswith(
            ("SERVER", "STATE", "ENDPOINT", "CUT", "RESTORED", "CONNECTED", "DISCONNECTED")
        )
        else CALL
    )
    fields: dict[str, object] = {"call_id": call_id, "server": SERVER, "endpoint": ENDPOINT}
    return Record(time_s, kind, **(fields | overrides))  # type: ignore[arg-type]


ALIVE = [recorded(0, EventKind.SERVER_STARTED), recorded(0.5, EventKind.SERVER_READY)]
SENT = recorded(1, EventKind.REQUEST_SENT, detail="1.0")
REJECTED = recorded(1.1, EventKind.ANSWERED, status=503)
SERVED = [
    SENT,
    recorded(1.01, EventKind.SETUP_RECEIVED),
    recorded(1.02, EventKind.ESTABLISHED),
    recorded(1.03, EventKind.ANSWERED, status=200, detail=f"{ENDPOINT} {CALL}"),
]
CALL_ENDED = recorded(3, EventKind.CALL_ENDED, status=16)
RELEASE = recorded(3, EventKind.RELEASE_SENT, status=16)


def release_received(time_s: float) -> Record:
    return recorded(time_s, EventKind.RELEASE_RECEIVED)


def check(*records: Record, logs: str = "") -> Verdict:
    return Checker(Records([*ALIVE, *records]), 60.0, 0.2, 0.25, logs).check()


CORRECT = {
    "rejected": [SENT, REJECTED],
    "answered, ended and released": [*SERVED, CALL_ENDED, RELEASE, release_received(3.9)],
    "vanished, released within eight seconds": [*SERVED, CALL_ENDED, release_received(10.9)],
    "released by the client": [*SERVED, recorded(2, EventKind.CLIENT_RELEASED), CALL_ENDED],
    "cancelled": [SENT, recorded(1.2, EventKind.CANCELLED)],
    "close race": [SENT, recorded(1.04, EventKind.CONNECTION_ENDED, detail="close race")],
    "call server killed": [
        SENT,
        recorded(1.1, EventKind.SERVER_KILLED),
        recorded(1.1, EventKind.CONNECTION_ENDED),
    ],
    "sent again after the release wait": [
        SENT,
        recorded(1.01, EventKind.SETUP_RECEIVED),
        recorded(1.1, EventKind.ATTEMPT_ENDED, detail="malformed answer"),
        recorded(1.31, EventKind.SETUP_RECEIVED, endpoint=OTHER),
        REJECTED,
    ],
    "an earlier call of the same id ended and was released at the endpoint": [
        SENT,
        recorded(1.01, EventKind.SETUP_RECEIVED),
        recorded(1.02, EventKind.ESTABLISHED),
        recorded(1.2, EventKind.CALL_ENDED, status=16),
        recorded(1.22, EventKind.RELEASED_BY_SERVER, status=16),
        recorded(1.43, EventKind.SETUP_RECEIVED),
        recorded(1.45, EventKind.ESTABLISHED),
        recorded(1.5, EventKind.ANSWERED, status=200, detail=f"{ENDPOINT} {CALL}"),
        recorded(1.6, EventKind.RELEASE_SENT, status=16),
        CALL_ENDED,
        RELEASE,
        release_received(3.9),
    ],
    "released within eight seconds to clients without a connection": [
        *SERVED,
        recorded(2.9, EventKind.DISCONNECTED),
        CALL_ENDED,
        RELEASE,
        recorded(6, EventKind.CONNECTED),
        release_received(10.9),
    ],
    "answer held back by a cut-off of the clients": [
        SENT,
        recorded(1.01, EventKind.CUT_OFF),
        recorded(3, EventKind.RESTORED),
        recorded(3, EventKind.ANSWERED, status=503),
    ],
    "ended after SIGTERM": [recorded(2, EventKind.SERVER_TERMINATED), recorded(3, EventKind.SERVER_ENDED)],
    "set-up to a draining endpoint within the grace": [
        *SERVED,
        recorded(0.8, EventKind.STATE_REPORTED, detail="DRAINING"),
        CALL_ENDED,
        release_received(3.1),
    ],
}


@pytest.mark.parametrize("name", CORRECT)
def test_a_correct_trial_passes(name: str) -> None:
    verdict = check(*CORRECT[name])
    assert verdict.passed, verdict.violations


VIOLATIONS: dict[str, tuple[str, list[Record]]] = {
    "the answered call ended just before its answer was read": (
        "unreported",
        [
            SENT,
            recorded(1.02, EventKind.ESTABLISHED),
            recorded(1.03, EventKind.CALL_ENDED, status=16),
            recorded(1.03, EventKind.RELEASE_SENT, status=16),
            recorded(1.04, EventKind.ANSWERED, status=200, detail=f"{ENDPOINT} {CALL}"),
        ],
    ),
    "released too late to clients that were without a connection before": (
        "unreported",
        [
            *SERVED,
            recorded(2, EventKind.DISCONNECTED),
            recorded(2.9, EventKind.CONNECTED),
            CALL_ENDED,
            RELEASE,
            release_received(4.3),
        ],
    ),
    "answered too late after a cut-off of the clients": (
        "lost",
        [
            SENT,
            recorded(1.01, EventKind.CUT_OFF),
            recorded(3, EventKind.RESTORED),
            recorded(3.2, EventKind.ANSWERED, status=503),
        ],
    ),
    "no answer": ("lost", [SENT]),
    "late answer": ("lost", [SENT, recorded(2.8, EventKind.ANSWERED, status=503)]),
    "second answer": ("lost", [SENT, REJECTED, recorded(1.2, EventKind.ANSWERED, status=500)]),
    "connection closed before the answer": ("lost", [SENT, recorded(1.3, EventKind.CONNECTION_ENDED)]),
    "killed after SIGTERM before the answer": (
        "lost",
        [
            recorded(0.9, EventKind.SERVER_TERMINATED),
            SENT,
            recorded(1.3, EventKind.SERVER_KILLED),
            recorded(1.3, EventKind.CONNECTION_ENDED),
        ],
    ),
    "answer of an endpoint without the call": (
        "lost",
        [SENT, recorded(1.1, EventKind.ANSWERED, status=200, detail=f"{OTHER} {CALL}")],
    ),
    "two attempts at once": (
        "duplicate",
        [
            SENT,
            recorded(1.01, EventKind.SETUP_RECEIVED),
            recorded(1.02, EventKind.SETUP_RECEIVED, endpoint=OTHER),
            REJECTED,
        ],
    ),
    "sent again too soon": (
        "release",
        [
            SENT,
            recorded(1.01, EventKind.SETUP_RECEIVED),
            recorded(1.02, EventKind.ATTEMPT_ENDED, detail="connection ended"),
            recorded(1.05, EventKind.SETUP_RECEIVED),
            REJECTED,
        ],
    ),
    "released too late": ("unreported", [*SERVED, CALL_ENDED, RELEASE, release_received(4.3)]),
    "vanished, released too late": ("unreported", [*SERVED, CALL_ENDED, release_received(11.3)]),
    "never released": ("unreported", [*SERVED, CALL_ENDED]),
    "set-up to a draining endpoint": (
        "drain",
        [
            recorded(0.5, EventKind.STATE_REPORTED, detail="DRAINING"),
            *SERVED,
            CALL_ENDED,
            release_received(3.1),
        ],
    ),
    "crashed": ("crash", [recorded(2, EventKind.SERVER_ENDED, status=1)]),
    "exited without SIGTERM": ("crash", [recorded(2, EventKind.SERVER_ENDED)]),
    "exited with an error after SIGTERM": (
        "crash",
        [recorded(2, EventKind.SERVER_TERMINATED), recorded(3, EventKind.SERVER_ENDED, status=1)],
    ),
}


@pytest.mark.parametrize("name", VIOLATIONS)
def test_each_violated_rule_is_named(name: str) -> None:
    rule, records = VIOLATIONS[name]
    assert {violation.rule for violation in check(*records).violations} == {rule}


def test_a_first_request_that_was_never_read_has_failed_and_is_not_lost() -> None:
    ended = recorded(1.3, EventKind.CONNECTION_ENDED, detail="nothing received on the connection")
    assert check(SENT, ended).passed
    assert not check(SENT, ended, logs=f'{{"event":"set_up_given_up","call":"{CALL}"}}').passed


@pytest.mark.parametrize(
    ("line", "passed"),
    [(b'{"event":"status"}', True), (b'{"event":"loop_fault","at":1}', False), (b"Traceback (most", False)],
)
def test_defects_in_a_log_are_crashes(line: bytes, passed: bool, tmp_path: Path) -> None:
    path = tmp_path / "n0.log"
    path.write_bytes(line + b"\n")
    verdict = Verdict()
    check_log(verdict, path)
    assert verdict.passed is passed


def test_only_the_measured_lag_of_the_stand_ins_extends_a_limit() -> None:
    late = [*SERVED, CALL_ENDED, RELEASE, release_received(4.5)]
    records = Records([*ALIVE, *late], [Lag(4.15, 0.2)])
    assert Checker(records, 60.0, 0.2, 0.25, "").check().passed
    for lag in (Lag(4.15, 0.1), Lag(4.4, 0.2), Lag(2.9, 0.2)):
        assert not Checker(Records([*ALIVE, *late], [lag]), 60.0, 0.2, 0.25, "").check().passed
