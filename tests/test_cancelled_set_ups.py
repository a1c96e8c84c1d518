"""Set-ups whose caller left and that come again under the same Call-ID."""

from dataclasses import replace

import pytest
from platform_world import SECOND, TRAFFIC_CLASSES, World, configuration, invite

from wellhitch.platform.cancelled_set_ups import CancelledSetUps, EarlierDials
from wellhitch.stand_ins.platform import Caller, bodyless_request

A, B = "00000000000000aa", "00000000000000bb"
RELEASE_WAIT_US = 100_000  # of `configuration`


def set_up_and_leave(world: World, answers: bool = False) -> Caller:
    """Send a set-up that reaches its office, and reset its connection."""
    world.offices[1].answers = answers
    caller = world.caller()
    caller.send(invite(A))
    assert world.run_until(1, lambda: bool(world.offices[1].lines_of_type("new")))
    assert caller.connection is not None and caller.connection.transport is not None
    caller.connection.transport.abort()
    return caller


def times_at_office(world: World, kind: str) -> list[int]:
    """When the office received each line of a type about the set-up."""
    return [time_us for time_us, line in world.offices[1].received if line.type == kind and line.call_id == A]


def test_set_up_that_comes_again_is_not_dialled_within_the_release_wait() -> None:
    # Guards against a dial that its office gets milliseconds after the release of the one before (review/10).
    world = World()
    set_up_and_leave(world)
    world.run(0.01)
    world.offices[1].answers = True
    again = world.caller()
    again.send(invite(A))
    world.run(0.5)
    [released_at], [_, dialled_at] = times_at_office(world, "down"), times_at_office(world, "new")
    assert dialled_at - released_at >= RELEASE_WAIT_US
    assert again.statuses(A) == [200] and len(world.core.calls) == 1


def test_set_up_that_comes_again_before_the_end_of_its_connection_is_read_is_served() -> None:
    world = World()
    world.offices[1].answers = False
    first, again = world.caller(), world.caller()
    first.send(invite(A))
    assert world.run_until(1, lambda: bool(world.offices[1].lines_of_type("new")))
    [connection] = world.core.pending_by_connection
    connection.transport.pause_reading()  # type: ignore[attr-defined]
    first.send(bodyless_request("OPTIONS", B))
    world.run(0.01)
    first.close()
    world.run(0.01)
    world.offices[1].answers = True
    again.send(invite(A))
    world.run(0.5)
    assert again.statuses(A) == [200] and len(times_at_office(world, "new")) == 2


def test_call_that_is_answered_as_its_caller_leaves_is_released() -> None:
    # Guards against a call of which nobody knows: the end of its caller's connection had arrived and was not read yet.
    world = World()
    office, caller = world.offices[1], world.caller()
    office.answers = False
    caller.send(invite(A))
    assert world.run_until(1, lambda: A in office.connection_by_call_id)
    [connection] = world.core.pending_by_connection
    connection.transport.pause_reading()  # type: ignore[attr-defined]
    caller.send(bodyless_request("OPTIONS", B))
    world.run(0.01)
    caller.close()
    world.run(0.01)
    office.answer(A)
    world.run(0.05)
    assert not world.core.calls and len(times_at_office(world, "down")) == 1


def test_set_up_that_must_not_run_twice_fails_when_it_comes_again() -> None:
    # Guards against running a call twice whose class does not allow it, as its first dial may have run it.
    classes = tuple(replace(traffic_class, repeatable=False) for traffic_class in TRAFFIC_CLASSES)
    world = World(server_started=replace(configuration().server_started, traffic_classes=classes))
    set_up_and_leave(world)
    world.run(0.01)
    again = world.caller()
    again.send(invite(A))
    world.run(0.5)
    assert again.statuses(A) == [500] and len(times_at_office(world, "new")) == 1


def test_set_up_that_comes_again_with_less_time_than_the_release_wait_is_refused_at_once() -> None:
    world = World()
    set_up_and_leave(world)
    world.run(0.005)
    again = world.caller()
    again.send(invite(A, left_ms=60))
    world.run(0.05)
    assert again.statuses(A) == [503] and len(times_at_office(world, "new")) == 1


def test_set_up_that_comes_again_can_be_cancelled_while_it_waits() -> None:
    world = World()
    set_up_and_leave(world)
    world.run(0.01)
    again = world.caller()
    again.send(invite(A))
    world.run(0.01)
    again.send(bodyless_request("CANCEL", A))
    world.run(0.5)
    assert again.statuses(A) == [487] and len(times_at_office(world, "new")) == 1
    assert not world.core.exchange.dialogues and not world.core.unanswered


def test_set_up_that_is_cancelled_twice_still_waits_for_the_first_release() -> None:
    world = World()
    set_up_and_leave(world)
    world.run(0.01)
    second = world.caller()
    second.send(invite(A))
    world.run(0.01)
    second.close()
    world.run(0.01)
    world.offices[1].answers = True
    third = world.caller()
    third.send(invite(A))
    world.run(0.5)
    [released_at], [_, dialled_at] = times_at_office(world, "down"), times_at_office(world, "new")
    assert dialled_at - released_at >= RELEASE_WAIT_US and third.statuses(A) == [200]


@pytest.mark.parametrize("limit", [1, 10])
def test_only_the_latest_are_remembered_and_each_for_a_time(limit: int) -> None:
    cancelled, dials = CancelledSetUps(SECOND, limit), EarlierDials(5, None)
    for n in range(limit + 1):
        cancelled.add(str(n), dials, n)
    assert len(cancelled) == limit and cancelled.take("0", limit) is None
    assert cancelled.take(str(limit), limit) == dials and cancelled.take(str(limit), limit) is None
    cancelled.add("late", dials, 0)
    assert cancelled.take("late", SECOND + 1) is None
