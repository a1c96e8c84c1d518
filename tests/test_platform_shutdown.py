"""SIGTERM: what is served, what is refused, when connections close, and that all of it is over before SIGKILL."""

from dataclasses import replace

import pytest
from platform_world import USES, World, told

from wellhitch.net.seam import now_us
from wellhitch.platform.shutdown import Phase, nothing_left, shutdown_schedule
from wellhitch.stand_ins.platform import invite, plain

A, B, C = "00000000000000aa", "00000000000000bb", "00000000000000cc"
S = 1_000_000


def stopping(longest_s: float = 3.0) -> World:
    """A call server whose longest deadline is `longest_s`."""
    uses = tuple(replace(use, deadline=int(longest_s * S)) for use in USES)
    return World(opened=replace(told().opened, traffic_classes=uses))


@pytest.mark.parametrize("longest", [0, 100_000, 300_000, S, 3 * S, 9 * S])
def test_everything_is_over_before_the_earliest_kill(longest: int) -> None:
    schedule = shutdown_schedule(longest)
    kill = min(longest or 3 * S, 3 * S) + 700_000
    assert schedule.drain_at <= schedule.close_at < schedule.end_at < kill
    assert schedule.phase(schedule.drain_at - 1) is Phase.SERVING
    assert schedule.phase(schedule.close_at) is Phase.CLOSING
    if longest >= 500_000:
        assert schedule.phase(schedule.drain_at) is Phase.DRAINING


def test_nothing_is_left_only_without_owed_answers_calls_and_connections() -> None:
    assert nothing_left(0, 0, 0)
    assert not nothing_left(1, 0, 0) and not nothing_left(0, 1, 0) and not nothing_left(0, 0, 1)


@pytest.mark.parametrize("longest_s", [0.3, 1.0, 9.0])
def test_it_ends_by_itself_before_the_earliest_kill_whatever_hangs(longest_s: float) -> None:
    world = stopping(longest_s)
    for office in world.offices.values():
        office.answers = False
    callers = [world.caller() for _ in range(3)]
    for n, caller in enumerate(callers):
        caller.say(invite(f"{n:016x}", left_ms=int(longest_s * 1000)))
    world.run(0.05)
    world.service.stop()
    kill = min(longest_s, 3.0) + 0.7
    sent, answered = 3, 0
    while not world.ended:
        for caller in callers:
            if not caller.closed:
                caller.say(invite(f"{sent:016x}", left_ms=int(longest_s * 1000)))
                sent += 1
        world.run(0.02)
        kill -= 0.02
        assert kill > 0.05
    world.run(0.1)
    answered = sum(len(caller.statuses(f"{n:016x}")) for caller in callers for n in range(sent))
    assert world.core.owed == 0
    # What was sent on a connection that was closing at that moment crosses the close: one a connection at most.
    assert sent - len(callers) * 3 <= answered <= sent


def test_tests_fail_from_the_signal_on_and_set_ups_are_served_for_a_while() -> None:
    world = stopping()
    caller = world.caller()
    world.service.stop()
    caller.say(plain("OPTIONS", A))
    caller.say(invite(B))
    world.run(0.1)
    assert caller.statuses(A, "OPTIONS") == [503] and caller.statuses(B) == [200]


def test_a_draining_connection_stays_for_its_calls_refuses_set_ups_and_closes_with_the_last_end() -> None:
    world = stopping()
    holding, idle = world.standing(A), world.caller()
    idle.say(plain("OPTIONS", C))
    world.run(0.05)
    world.service.stop()
    world.run(0.8)
    assert idle.closed and not holding.closed
    holding.say(invite(B))
    world.run(0.1)
    assert holding.statuses(B) == [503] and not holding.closed
    world.offices[1].down(A, 16)
    world.run(0.1)
    assert len(holding.byes(A)) == 1 and holding.closed
    assert not world.ended or now_us(world.loop) < 2 * S


def test_it_ends_early_where_nothing_is_left() -> None:
    world = stopping(9.0)
    world.service.stop()
    world.run(0.9)
    assert world.ended


def test_a_set_up_in_pieces_is_answered_before_its_connection_closes() -> None:
    world = stopping()
    caller = world.caller()
    world.service.stop()
    world.run(0.69)
    message = invite(A)
    caller.say(message[:40])
    world.run(0.1)
    caller.say(message[40:])
    world.run(0.2)
    assert caller.statuses(A) == [503] and caller.closed


def test_an_end_that_crosses_the_close_of_its_connection_reaches_the_endpoint() -> None:
    world = stopping()
    caller = world.standing(A)
    world.service.stop()
    world.run(3.4005)  # closing has begun; the caller has not read it yet
    caller.say(plain("BYE", A))
    world.run(0.1)
    assert [line.ref for line in world.offices[1].said("down")] == [A]


def test_a_caller_that_never_closes_its_side_holds_nothing_up() -> None:
    world = stopping()
    caller = world.caller(reads=False)
    caller.say(invite(A))
    world.run(0.1)
    world.service.stop()
    world.run(3.65)
    assert world.ended


def test_a_second_signal_and_a_new_configuration_while_stopping_change_nothing() -> None:
    world = stopping()
    world.standing(A)
    world.service.stop()
    world.run(1)
    world.service.stop()
    moved = replace(world.service.told, place=replace(world.service.told.place, board="10.2.0.9:8500"))
    world.service.reconfigured(moved)
    world.run(2.7)
    assert world.ended
    world.service.reconfigured(replace(moved, place=replace(moved.place, board="10.2.0.8:8500")))
    world.run(1)
    assert not [pipe for pipe in world.net.pipes if pipe.here == "10.0.0.1" and pipe.there == "10.2.0.8"]


@pytest.mark.parametrize("trailing", [b"x" * 1000, plain("OPTIONS", B) * 20])
def test_bytes_that_arrive_as_a_connection_closes_do_not_cost_the_answer(trailing: bytes) -> None:
    world = World()
    caller = world.caller()
    caller.say(invite(A, left_ms=0))  # refused, and the connection closed
    caller.say(trailing)
    world.run(0.01)
    caller.say(trailing)
    world.run(0.3)
    assert caller.statuses(A) == [400] and caller.closed


def test_a_slow_writer_does_not_cost_the_set_up_that_it_sent_before() -> None:
    world = World()
    world.offices[1].answers = False
    caller = world.caller()
    caller.say(invite(A, left_ms=2900) + invite(B)[:50])
    world.run(2.6)  # longer than half a message may take
    assert not caller.closed
    world.offices[1].up(A)
    world.run(0.5)
    assert caller.statuses(A) == [200] and caller.closed


def test_noise_after_a_set_up_closes_the_connection_with_the_set_up_answered() -> None:
    world = World()
    world.offices[1].answers = False
    caller = world.caller()
    caller.say(invite(A))
    world.run(0.05)
    caller.say(b"\x00 noise\r\n\r\n")
    world.run(0.02)
    assert not world.core.owed and [line.ref for line in world.offices[1].said("down")] == [A]
    assert not world.core.exchange.dialogues
    world.run(0.1)
    assert caller.statuses(A) == [500] and caller.closed


def test_a_release_that_comes_when_nobody_can_be_told_is_left_for_the_next_process() -> None:
    world = stopping()
    caller = world.standing(A)
    world.service.stop()
    world.run(3.402)  # every caller's connection is closing
    world.offices[1].down(A, 16)
    world.run(0.1)
    assert not caller.byes(A) and A in world.core.calls
    events = [event for event, facts in world.log if facts.get("call") == A]
    assert "call_over" not in events
