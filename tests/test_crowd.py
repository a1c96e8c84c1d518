"""Usual clients beside clients that load a call server on purpose: a real process, a few seconds each. A longer run is
started by hand: `python -m wellhitch.lab.crowd ATTACK CLIENTS SECONDS`."""

import asyncio

import pytest

from wellhitch.lab.crowd.attack import Attack
from wellhitch.lab.crowd.leaving import play_leaving
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


@pytest.mark.parametrize("by_reset", [False, True])
@pytest.mark.parametrize("set_ups", [57, 148])
def test_unread_set_ups_of_a_client_that_has_left_are_not_sent_on(set_ups: int, by_reset: bool) -> None:
    # Guards against dialling for nobody: all were sent on. The set-up that comes again on another connection runs once.
    sent = asyncio.run(play_leaving(set_ups, by_reset))
    assert sent.after_leaving == 0 and sent.came_again == 1
