"""A new office's process at the address of one that has gone, which discovery tells of later."""

import pytest
from platform_world import DRAINING, READY, REMOVED, UNIX_START_US, World, invite, row

from wellhitch.board.codec import DiscoveryEntry
from wellhitch.interface.events import OfficeState
from wellhitch.net.transport import now_us

A, B = "00000000000000aa", "00000000000000bb"
OLD, NEW = "s-00000001", "s-00000077"


def successor(state: int = READY, started_ms: int = 0) -> DiscoveryEntry:
    """The entry of a new office at the address of office 1."""
    return row(1, state, 0x77, started_ms, host="10.1.0.1")


def restart_process(world: World) -> None:
    """Office 1's process dies, and another one comes up at its address."""
    world.offices[1].stop_listening()
    world.offices[1].reset_connections()
    world.run(0.4)
    world.offices[1].listen()
    world.run(0.5)


def released_at_office(world: World) -> list[str]:
    return [line.call_id for line in world.offices[1].lines_of_type("down")]


@pytest.mark.parametrize("told", [[successor()], [row(1, REMOVED)], [successor(), row(1, REMOVED)]])
def test_calls_at_a_replaced_office_are_released_there_too(told: list[DiscoveryEntry]) -> None:
    # Guards against cutting calls towards their callers alone that a new process at the address has (review/7).
    world = World()
    restart_process(world)
    caller = world.establish(A)
    for entry in told:
        world.discovery.publish(entry)
        world.run(0.3)
    world.run(1)
    assert len(caller.byes(A)) == 1 and A in released_at_office(world)


def test_calls_are_released_by_their_offices_successor_if_no_connection_to_it_is_up() -> None:
    world = World()
    caller = world.establish(A)
    world.offices[1].stop_listening()
    world.offices[1].reset_connections()
    world.discovery.publish(successor())
    world.run(0.6)
    world.offices[1].listen()
    world.run(2)
    assert len(caller.byes(A)) == 1 and A in released_at_office(world)


def test_new_office_at_an_address_ends_the_one_that_is_still_listed_there() -> None:
    # Guards against dialling the new process as the old office: both entries were used until the removal was told.
    world = World()
    world.discovery.publish(successor())
    world.run(1)
    assert OLD not in world.core.offices
    assert world.core.exchange.offices[OLD].state is OfficeState.GONE
    world.establish(A)
    assert world.core.calls[A].office.id == NEW and len(world.offices[1].lines_of_type("new")) == 1
    world.discovery.publish(row(1, REMOVED))
    world.run(1)
    assert world.core.offices[NEW].state is OfficeState.READY and A in world.core.calls


@pytest.mark.parametrize("state", [DRAINING, REMOVED])
def test_late_news_of_the_old_office_does_not_end_its_successor(state: int) -> None:
    world = World()
    world.discovery.publish(successor())
    world.run(1)
    world.discovery.publish(row(1, state))
    world.run(1)
    world.establish(A)
    assert world.core.calls[A].office.id == NEW


def test_earlier_start_at_an_address_does_not_end_the_later_one() -> None:
    world = World()
    unix_ms = (UNIX_START_US + now_us(world.loop)) // 1000
    world.discovery.publish(successor(started_ms=unix_ms))
    world.run(1)
    world.discovery.publish(row(1, READY, 0x78, unix_ms - 5000, host="10.1.0.1"))
    world.run(1)
    assert world.core.offices[NEW].state is OfficeState.READY


def test_two_offices_told_at_one_address_in_one_update_are_both_kept() -> None:
    world = World()
    world.discovery.publish(successor(), row(1, READY, 0x78, host="10.1.0.1"))
    world.run(1)
    assert {NEW, "s-00000078"} <= set(world.core.offices)


def test_release_that_waited_for_the_old_office_does_not_end_the_call_at_its_successor() -> None:
    # Guards against a release of a lost dial that reaches the new process after the call was set up there again.
    world = World()
    world.offices[1].answers = False
    caller = world.caller()
    caller.send(invite(A, extra_attributes=";transit:1"))
    assert world.run_until(1, lambda: bool(world.offices[1].lines_of_type("new")))
    world.offices[1].stop_listening()
    world.offices[1].reset_connections()
    world.run(0.03)
    world.offices[1].answers = True
    world.offices[1].listen()
    world.discovery.publish(successor())
    world.run(3)
    received = [(line.type, line.call_id) for _, line in world.offices[1].received if line.call_id == A]
    assert received in ([("new", A)], [("new", A), ("new", A)])
    assert caller.statuses(A)[0] in (200, 503)


def test_calls_from_before_an_offices_new_start_are_released_there_too() -> None:
    # Guards against cutting a call towards its caller alone whose office has it: discovery tells a start late.
    world = World()
    caller = world.establish(A)
    started_ms = (UNIX_START_US + now_us(world.loop)) // 1000 + 1
    world.discovery.publish(row(1, READY, started_ms=started_ms))
    world.run(1)
    assert len(caller.byes(A)) == 1 and A in released_at_office(world)


def test_dial_that_is_open_as_its_office_moves_leaves_no_connection_to_the_old_address() -> None:
    # Guards against calls that go to whoever has the old address, for good: the release of the lost dial opened a
    # connection there, which was kept as the office's own.
    world = World()
    world.offices[1].answers = False
    caller = world.caller()
    caller.send(invite(A))
    assert world.run_until(1, lambda: bool(world.offices[1].lines_of_type("new")))
    moved = world.office(3)
    world.discovery.publish(row(1, host="10.1.0.3"))
    world.run(1)
    pool = world.service.office_connections.pools[world.core.offices[OLD]]
    assert pool.address == "10.1.0.3:2905" and not world.net.connections("10.0.0.1", "10.1.0.1")
    world.establish(B)
    assert [line.call_id for line in moved.lines_of_type("new")][-1] == B
    assert B not in [line.call_id for line in world.offices[1].lines_of_type("new")]
