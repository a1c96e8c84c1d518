"""Usual clients beside clients that load a call server on purpose: a real process, a few seconds each. A longer run is
started by hand: `python -m wellhitch.lab.crowd ATTACK CLIENTS SECONDS [SEED]`."""

import asyncio

import pytest

from wellhitch.lab.crowd.attack import Attack
from wellhitch.lab.crowd.play import MEMORY_LIMIT_MB, play

SECONDS = 4.0
SEED = 7


@pytest.mark.parametrize(
    ("attack", "clients"),
    [
        (Attack.HEADERS_AT_ONCE, 340),
        (Attack.HEADERS, 340),
        (Attack.SLOW, 340),
        (Attack.HALF, 340),
        (Attack.SET_UPS, 1),
        (Attack.OPTIONS, 1),
        (Attack.REPORTS, 1),
        (Attack.UNSOUND, 20),
    ],
)
def test_usual_clients_are_answered_in_time_beside(attack: Attack, clients: int) -> None:
    # Guards against serving all that one client, or hundreds, have sent before anybody else, and against memory
    # that such clients fill.
    outcome = asyncio.run(play(attack, clients, SECONDS, SEED))
    assert outcome.survived and outcome.answers.statuses.keys() == {200}, outcome
    assert outcome.answers.missing == 0 and outcome.answers.late == 0, outcome
    assert outcome.peak_memory_mb < MEMORY_LIMIT_MB / 2, outcome
