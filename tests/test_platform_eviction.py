"""Which connection is closed for want of descriptors."""

from collections import Counter

import pytest
from platform_world import World, invite
from test_platform import A, ref

from wellhitch.platform.eviction import READ_AFTER_CLOSE_S, ConnectionTable
from wellhitch.platform.service import descriptor_shares
from wellhitch.stand_ins.platform import plain

NOW = 100.0


class Table:
    """Connections by name; `heard` and `silent` say for how long."""

    def __init__(self) -> None:
        self.set_ups: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.table = ConnectionTable[str](self.set_ups.__getitem__, self.calls.__getitem__)

    def heard(self, name: str, ago: float, set_ups: int = 0, calls: int = 0) -> None:
        self.table.opened(name, NOW - ago)
        self.table.message_received(name, NOW - ago)
        self.set_ups[name], self.calls[name] = set_ups, calls

    def silent(self, name: str, ago: float) -> None:
        self.table.opened(name, NOW - ago)

    def order(self) -> list[str]:
        """All, in the order in which they go."""
        out = []
        while (gone := self.table.next_to_evict(NOW)) is not None:
            out.append(gone)
            self.table.forget(gone)
        return out


def test_connections_go_in_the_order_of_what_their_end_costs() -> None:
    table = Table()
    table.heard("quiet with a call", 0.9, calls=1)
    table.heard("quiet with a set-up", 0.8, set_ups=1)
    table.heard("quiet", 0.7)
    table.heard("fresh with a call", 0.4, calls=1)
    table.heard("fresh", 0.3)
    table.heard("fresh with a set-up", 0.2, set_ups=1)
    table.silent("silent for long", 0.25)
    table.silent("silent", 0.1)
    table.heard("closing", 0.9)
    table.table.closing_started("closing", NOW)
    assert table.order() == [
        "silent for long",
        "quiet",
        "quiet with a call",
        "silent",
        "fresh",
        "fresh with a call",
        "fresh with a set-up",
        "quiet with a set-up",
    ]


def test_a_new_connection_has_time_to_say_what_it_wants() -> None:
    table = Table()
    table.heard("with a set-up", 0.7, set_ups=1)
    table.heard("fresh", 0.3)
    table.silent("new", 0.001)
    assert table.order() == []
    table.table.message_received("new", NOW)
    assert table.order() == ["fresh", "new", "with a set-up"]


def test_a_closed_connection_is_read_for_a_while() -> None:
    table = Table()
    table.heard("first", 0.9)
    table.heard("second", 0.9)
    table.table.closing_started("second", NOW - READ_AFTER_CLOSE_S)
    table.table.closing_started("first", NOW)
    assert table.table.next_to_reset(NOW) == "second"
    table.table.forget("second")
    assert table.table.next_to_reset(NOW) is None


@pytest.mark.parametrize("crowd", [0, 20, 200])
def test_what_a_connection_brings_along_is_read_before_it_can_be_put_out(crowd: int) -> None:
    # Guards against calls named into a crowd: their connection was reset unread, and their ends were told to nobody.
    world = World()
    most, _, _ = descriptor_shares(256)
    for n in range(most + crowd):
        world.caller(f"10.9.8.{n % 250}").say(plain("OPTIONS", ref(n)))
    world.run(0.05)
    naming = [world.caller(f"10.9.7.{n}") for n in range(30)]
    for n, caller in enumerate(naming):
        caller.say(invite(ref(5000 + n), more=";at:s-00000001"))
    world.run(0.1)
    assert set(world.core.calls) == {ref(5000 + n) for n in range(30)}
    assert not any(caller.closed for caller in naming) and world.service.callers.open <= most
    world.offices[1].down(ref(5007), 16, end=world.offices[1].ends[0])
    world.run(0.1)
    assert naming[7].byes(ref(5007))


def test_a_connection_that_speaks_after_it_was_chosen_stays() -> None:
    world = World()
    most, _, _ = descriptor_shares(256)
    first = world.caller()
    first.say(plain("OPTIONS", ref(1)))
    world.run(0.01)
    for n in range(most - 1):
        world.caller(f"10.9.8.{n % 250}").say(plain("OPTIONS", ref(n)))
    world.run(0.6)
    new = world.caller("10.9.7.1")
    new.say(plain("OPTIONS", ref(2)))
    first.say(invite(A, 0))
    world.run(0.1)
    assert first.statuses(A) == [503] and not first.closed and not new.closed
    assert world.service.callers.open == most
