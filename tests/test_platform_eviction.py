"""Which connection is evicted when descriptors run out."""

from collections import Counter

import pytest
from platform_world import World, invite
from test_platform import A, call_id

from wellhitch.platform.eviction import READ_AFTER_CLOSE_S, ConnectionTable
from wellhitch.platform.service import descriptor_shares
from wellhitch.stand_ins.platform import bodyless_request

NOW = 100.0


class Table:
    """A connection table with named connections; `ago` is how long each has been quiet."""

    def __init__(self) -> None:
        self.set_ups: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.table = ConnectionTable[str](self.set_ups.__getitem__, self.calls.__getitem__)

    def active(self, name: str, ago: float, set_ups: int = 0, calls: int = 0) -> None:
        self.table.opened(name, NOW - ago)
        self.table.message_received(name, NOW - ago)
        self.set_ups[name], self.calls[name] = set_ups, calls

    def silent(self, name: str, ago: float) -> None:
        self.table.opened(name, NOW - ago)

    def eviction_order(self) -> list[str]:
        """All connections in the order of their eviction."""
        out = []
        while (gone := self.table.next_to_evict(NOW)) is not None:
            out.append(gone)
            self.table.forget(gone)
        return out


def test_connections_are_evicted_in_the_order_of_their_cost() -> None:
    table = Table()
    table.active("quiet with a call", 0.9, calls=1)
    table.active("quiet with a set-up", 0.8, set_ups=1)
    table.active("quiet", 0.7)
    table.active("fresh with a call", 0.4, calls=1)
    table.active("fresh", 0.3)
    table.active("fresh with a set-up", 0.2, set_ups=1)
    table.silent("silent for long", 0.25)
    table.silent("silent", 0.1)
    table.active("closing", 0.9)
    table.table.closing_started("closing", NOW)
    assert table.eviction_order() == [
        "silent for long",
        "quiet",
        "quiet with a call",
        "silent",
        "fresh",
        "fresh with a call",
        "fresh with a set-up",
        "quiet with a set-up",
    ]


def test_new_connection_has_time_for_its_first_message() -> None:
    table = Table()
    table.active("with a set-up", 0.7, set_ups=1)
    table.active("fresh", 0.3)
    table.silent("new", 0.001)
    assert table.eviction_order() == []
    table.table.message_received("new", NOW)
    assert table.eviction_order() == ["fresh", "new", "with a set-up"]


def test_closing_connection_is_read_before_it_is_reset() -> None:
    table = Table()
    table.active("first", 0.9)
    table.active("second", 0.9)
    table.table.closing_started("second", NOW - READ_AFTER_CLOSE_S)
    table.table.closing_started("first", NOW)
    assert table.table.next_to_reset(NOW) == "second"
    table.table.forget("second")
    assert table.table.next_to_reset(NOW) is None


@pytest.mark.parametrize("crowd", [0, 20, 200])
def test_data_that_came_with_a_connection_is_read_before_it_can_be_evicted(crowd: int) -> None:
    # Guards against resetting unread connections in a burst: the calls reported on them were unknown, and their callers
    # were not told when they ended.
    world = World()
    max_callers, _, _ = descriptor_shares(256)
    for n in range(max_callers + crowd):
        world.caller(f"10.9.8.{n % 250}").send(bodyless_request("OPTIONS", call_id(n)))
    world.run(0.05)
    naming = [world.caller(f"10.9.7.{n}") for n in range(30)]
    for n, caller in enumerate(naming):
        caller.send(invite(call_id(5000 + n), extra_attributes=";at:s-00000001"))
    world.run(0.1)
    assert set(world.core.calls) == {call_id(5000 + n) for n in range(30)}
    assert not any(caller.closed for caller in naming) and world.service.callers.open <= max_callers
    world.offices[1].end_call(call_id(5007), 16, connection=world.offices[1].connections[0])
    world.run(0.1)
    assert naming[7].byes(call_id(5007))


def test_connection_that_sends_a_message_in_time_is_not_evicted() -> None:
    world = World()
    max_callers, _, _ = descriptor_shares(256)
    first = world.caller()
    first.send(bodyless_request("OPTIONS", call_id(1)))
    world.run(0.01)
    for n in range(max_callers - 1):
        world.caller(f"10.9.8.{n % 250}").send(bodyless_request("OPTIONS", call_id(n)))
    world.run(0.6)
    new = world.caller("10.9.7.1")
    new.send(bodyless_request("OPTIONS", call_id(2)))
    first.send(invite(A, 0))
    world.run(0.1)
    assert first.statuses(A) == [503] and not first.closed and not new.closed
    assert world.service.callers.open == max_callers
