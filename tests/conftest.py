"""State for tests, built directly: a call server at exchange 0 with two neighbours, 1 and 2."""

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
    x = Exchange(
        rng_state=7,
        traffic_classes={"cheap": CHEAP, "dear": DEAR},
        min_value=1.0,
        max_value=5.0,
        delay_bound=400_000,
    )
    x.topology = ServerTopology(0, 2, False, 0)
    x.permissions = Permissions(4, True, False, False, 2 * SECOND, True)
    x.release = ReleaseRule(300_000, SECOND)
    x.cold_start = ColdStartRule(0.4, 10 * SECOND, 2.5, 3 * SECOND)
    for number in (0, 1, 2):
        office = Office(f"office-{number}", number, OfficeState.READY, None, free_circuits=30, group_size=30)
        x.offices[office.id] = x.by_number[number] = office
    return x


@pytest.fixture
def new_dialogue(exchange: Exchange) -> Callable[..., Dialogue]:
    def make(
        use: TrafficClass = CHEAP, destination: int = 1, transit: bool = False, chance: float = 0.5
    ) -> Dialogue:
        number = len(exchange.dialogues) + 10
        made = Dialogue(number, use, destination, CalledNumber(), 1, 0, 3 * SECOND, None, transit, chance)
        exchange.dialogues[number] = made
        return made

    return make


@pytest.fixture
def dial_out(exchange: Exchange) -> Callable[..., Dial]:
    def make(dialogue: Dialogue, number: int = 1, sent: int = 0) -> Dial:
        office = exchange.by_number[number]
        dial = Dial(dialogue, office, sent, number == dialogue.destination)
        dialogue.dials.append(dial)
        dialogue.pending_dial = dial
        exchange.recent_dials.append(dial)
        if dial.direct:
            office.recent_dials.append(dial)
        return dial

    return make
