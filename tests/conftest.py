"""Fixtures for the tests of the decision module: the state of call server 0 with two neighbours, 1 and 2."""

from collections.abc import Callable

import pytest

from wellhitch.interface.events import OfficeState
from wellhitch.interface.facts import ColdStartRule, Permissions, ReleaseRule, ServerTopology, TrafficClass
from wellhitch.interface.state import CalledNumber, Dial, Dialogue, Exchange, Office

SECOND = 1_000_000
CHEAP = TrafficClass("cheap", 1.0, 0.2, 2 * SECOND, 9 * SECOND, 1, 10 * SECOND, (), True, 0)
DEAR = TrafficClass("dear", 5.0, 0.2, SECOND, 6 * SECOND, 1, 8 * SECOND, (), True, 0)


@pytest.fixture
def exchange() -> Exchange:
    exchange = Exchange(
        rng_state=7,
        traffic_classes={"cheap": CHEAP, "dear": DEAR},
        min_value=1.0,
        max_value=5.0,
        delay_bound=400_000,
    )
    exchange.topology = ServerTopology(0, 2, False, 0)
    exchange.permissions = Permissions(4, True, False, False, 2 * SECOND, True)
    exchange.release = ReleaseRule(300_000, SECOND)
    exchange.cold_start = ColdStartRule(0.4, 10 * SECOND, 2.5, 3 * SECOND)
    for number in (0, 1, 2):
        office = Office(f"office-{number}", number, OfficeState.READY, None, free_circuits=30, group_size=30)
        exchange.offices[office.id] = exchange.by_number[number] = office
    return exchange


@pytest.fixture
def new_dialogue(exchange: Exchange) -> Callable[..., Dialogue]:
    def make(
        traffic_class: TrafficClass = CHEAP,
        destination: int = 1,
        transit: bool = False,
        random_draw: float = 0.5,
    ) -> Dialogue:
        number = len(exchange.dialogues) + 10
        dialogue = Dialogue(
            number, traffic_class, destination, CalledNumber(), 1, 0, 3 * SECOND, None, transit, random_draw
        )
        exchange.dialogues[number] = dialogue
        return dialogue

    return make


@pytest.fixture
def send_dial(exchange: Exchange) -> Callable[..., Dial]:
    def make(dialogue: Dialogue, number: int = 1, sent_at: int = 0) -> Dial:
        office = exchange.by_number[number]
        dial = Dial(dialogue, office, sent_at, number == dialogue.destination)
        dialogue.dials.append(dial)
        dialogue.pending_dial = dial
        exchange.recent_dials.append(dial)
        if dial.direct:
            office.recent_dials.append(dial)
        return dial

    return make
