"""Shutdown on SIGTERM: what is served and refused, when connections close, and that it ends before SIGKILL."""

from dataclasses import replace

import pytest
from platform_world import TRAFFIC_CLASSES, World, configuration

from wellhitch.net.transport import now_us
from wellhitch.platform.shutdown import Phase, nothing_left, shutdown_schedule
from wellhitch.stand_ins.platform import Caller, bodyless_request, invite

A, B, C = "00000000000000aa", "00000000000000bb", "00000000000000cc"
SECOND = 1_000_000


def world_with_deadline(longest_s: float = 3.0) -> World:
    """A call server whose longest deadline is `longest_s`."""
    uses = tuple(replace(use, deadline=int(longest_s * SECOND)) for use in TRAFFIC_CLASSES)
    return World(server_started=replace(configuration().server_started, traffic_classes=uses))


@pytest.mark.parametrize("longest", [0, 100_000, 300_000, SECOND, 3 * SECOND, 9 * SECOND])
def test_schedule_ends_before_the_earliest_kill(longest: int) -> None:
    schedule = shutdown_schedule(longest)
    kill = min(longest or 3 * SECOND, 3 * SECOND) + 700_000
    assert schedule.drain_at <= schedule.close_at < schedule.end_at < kill
    assert schedule.phase(schedule.drain_at - 1) is Phase.SERVING
    assert schedule.phase(schedule.close_at) is Phase.CLOSING
    if longest >= 500_000:
        assert schedule.phase(schedule.drain_at) is Phase.DRAINING


def test_nothing_left_requires_no_pending_set_ups_and_connections() -> None:
    assert nothing_left(0, 0)
    assert not nothing_left(1, 0) and not nothing_left(0, 1) and not nothing_left(1, 1)


@pytest.mark.parametrize("longest_s", [0.3, 1.0, 9.0])
def test_process_ends_before_the_earliest_kill_whatever_hangs(longest_s: float) -> None:
    world = world_with_deadline(longest_s)
    for office in world.offices.values():
        office.answers = False
    callers = [world.caller() for _ in range(3)]
    for n, caller in enumerate(callers):
        caller.send(invite(f"{n:016x}", left_ms=int(longest_s * 1000)))
    world.run(0.05)
    world.service.stop()
    kill = min(longest_s, 3.0) + 0.7
    sent, answered = 3, 0
    while not world.stopped:
        for caller in callers:
            if not caller.closed:
                caller.send(invite(f"{sent:016x}", left_ms=int(longest_s * 1000)))
                sent += 1
        world.run(0.02)
        kill -= 0.02
        assert kill > 0.05
    world.run(0.1)
    answered = sum(len(caller.statuses(f"{n:016x}")) for caller in callers for n in range(sent))
    assert world.core.unanswered == 0
    # A set-up that crosses the close of its connection gets no answer: at most one for each connection.
    assert sent - len(callers) * 3 <= answered <= sent


def test_health_checks_fail_from_the_signal_on_while_set_ups_are_still_served() -> None:
    world = world_with_deadline()
    caller = world.caller()
    world.service.stop()
    caller.send(bodyless_request("OPTIONS", A))
    caller.send(invite(B))
    world.run(0.1)
    assert caller.statuses(A, "OPTIONS") == [503] and caller.statuses(B) == [200]


def test_draining_connection_refuses_set_ups_and_closes_with_its_last_call() -> None:
    world = world_with_deadline()
    holding, idle = world.establish(A), world.caller()
    idle.send(bodyless_request("OPTIONS", C))
    world.run(0.05)
    world.service.stop()
    world.run(0.8)
    assert idle.closed and not holding.closed
    holding.send(invite(B))
    world.run(0.1)
    assert holding.statuses(B) == [503] and not holding.closed
    world.offices[1].end_call(A, 16)
    world.run(0.1)
    assert len(holding.byes(A)) == 1 and holding.closed
    assert not world.stopped or now_us(world.loop) < 2 * SECOND


def test_draining_server_keeps_a_connection_on_which_the_ends_of_calls_can_be_told() -> None:
    world = world_with_deadline()
    holding, other = world.establish(A), world.establish(B, world.caller("10.9.0.2"), 2)
    other.send(bodyless_request("BYE", B))
    assert holding.connection is not None and holding.connection.transport is not None
    holding.connection.transport.abort()  # by the network; the call stands
    world.run(0.05)
    world.service.stop()
    world.run(1.0)
    assert not other.closed
    world.offices[1].end_call(A, 16)
    world.run(0.3)
    assert len(other.byes(A)) == 1 and other.closed


def test_shutdown_ends_early_if_nothing_is_left() -> None:
    world = world_with_deadline(9.0)
    world.service.stop()
    world.run(0.9)
    assert world.stopped


def test_partly_received_set_up_is_answered_before_its_connection_closes() -> None:
    world = world_with_deadline()
    caller = world.caller()
    world.service.stop()
    world.run(0.69)
    message = invite(A)
    caller.send(message[:40])
    world.run(0.1)
    caller.send(message[40:])
    world.run(0.2)
    assert caller.statuses(A) == [503] and caller.closed


def test_release_that_crosses_the_close_of_its_connection_reaches_the_office() -> None:
    world = world_with_deadline()
    caller = world.establish(A)
    world.service.stop()
    world.run(3.4005)  # closing has begun; the caller has not read it yet
    caller.send(bodyless_request("BYE", A))
    world.run(0.1)
    assert [line.call_id for line in world.offices[1].lines_of_type("down")] == [A]


def test_caller_that_never_closes_its_side_does_not_delay_the_shutdown() -> None:
    world = world_with_deadline()
    caller = world.caller(reads=False)
    caller.send(invite(A))
    world.run(0.1)
    world.service.stop()
    world.run(3.65)
    assert world.stopped


def test_second_signal_and_new_configuration_while_stopping_change_nothing() -> None:
    world = world_with_deadline()
    world.establish(A)
    world.service.stop()
    world.run(1)
    world.service.stop()
    moved = replace(
        world.service.configuration,
        addresses=replace(world.service.configuration.addresses, discovery="10.2.0.9:8500"),
    )
    world.service.reconfigure(moved)
    world.run(2.7)
    assert world.stopped
    world.service.reconfigure(replace(moved, addresses=replace(moved.addresses, discovery="10.2.0.8:8500")))
    world.run(1)
    assert not [
        pipe
        for pipe in world.net.transports
        if pipe.local_host == "10.0.0.1" and pipe.remote_host == "10.2.0.8"
    ]


@pytest.mark.parametrize("trailing", [b"x" * 1000, bodyless_request("OPTIONS", B) * 20])
def test_bytes_that_arrive_as_a_connection_closes_do_not_lose_the_answer(trailing: bytes) -> None:
    world = World()
    caller = world.caller()
    caller.send(invite(A, left_ms=0))  # refused, and the connection is closed
    caller.send(trailing)
    world.run(0.01)
    caller.send(trailing)
    world.run(0.3)
    assert caller.statuses(A) == [400] and caller.closed


def test_slow_writer_does_not_lose_its_earlier_set_up() -> None:
    world = World()
    world.offices[1].answers = False
    caller = world.caller()
    caller.send(invite(A, left_ms=2900) + invite(B)[:50])
    world.run(2.6)  # longer than a partial message may take
    assert not caller.closed
    world.offices[1].answer(A)
    world.run(0.5)
    assert caller.statuses(A) == [200] and caller.closed


def test_invalid_bytes_after_a_set_up_close_the_connection_with_the_set_up_answered() -> None:
    world = World()
    world.offices[1].answers = False
    caller = world.caller()
    caller.send(invite(A))
    world.run(0.05)
    caller.send(b"\x00 noise\r\n\r\n")
    world.run(0.02)
    assert not world.core.unanswered and [
        line.call_id for line in world.offices[1].lines_of_type("down")
    ] == [A]
    assert not world.core.exchange.dialogues
    world.run(0.1)
    assert caller.statuses(A) == [500] and caller.closed


def test_release_that_cannot_be_forwarded_is_left_for_the_next_process() -> None:
    world = world_with_deadline()
    caller = world.establish(A)
    world.service.stop()
    world.run(3.402)  # every caller connection is closing
    world.offices[1].end_call(A, 16)
    world.run(0.1)
    assert not caller.byes(A) and A in world.core.calls
    events = [event for event, facts in world.log if facts.get("call") == A]
    assert "call_over" not in events


def _reset(caller: Caller) -> None:
    """Reset a caller's connection, as the network does."""
    assert caller.connection is not None and caller.connection.transport is not None
    caller.connection.transport.abort()


@pytest.mark.parametrize("ended_after_s", [0.05, 0.5])
def test_release_that_no_caller_could_be_notified_of_is_not_read_while_stopping(ended_after_s: float) -> None:
    # Guards against a draining process that reads a release when no caller connection is left (review/8): it ended
    # with the release, and the next process never received it.
    world = world_with_deadline()
    caller = world.establish(A)
    world.service.stop()
    world.run(0.4)
    _reset(caller)
    world.run(ended_after_s)
    world.offices[1].end_call(A, 16)
    world.run(0.6)
    assert world.stopped and A in world.core.calls
    assert [event for event, facts in world.log if facts.get("call") == A] == ["call_established"]


def test_stopping_server_opens_no_connection_to_an_office_while_no_caller_could_be_notified() -> None:
    # Guards against taking the repeat of a release from the next process: an office repeats it on one connection only.
    world = world_with_deadline()
    caller = world.establish(A)
    world.service.stop()
    world.run(0.4)
    _reset(caller)
    world.run(0.01)
    opened = world.offices[1].connections_opened
    world.offices[1].reset_connections()
    world.run(0.6)
    assert world.stopped and world.offices[1].connections_opened == opened


def test_caller_that_comes_back_while_stopping_is_notified_of_the_end_of_its_call() -> None:
    world = world_with_deadline()
    caller = world.establish(A)
    world.service.stop()
    world.run(0.2)
    _reset(caller)
    world.run(0.1)
    world.offices[1].end_call(A, 16)
    world.run(0.1)
    assert A in world.core.calls
    back = world.establish(B)
    assert len(back.byes(A)) == 1 and not world.stopped


def test_unconfirmed_calls_are_left_to_the_next_process_if_no_caller_could_be_notified() -> None:
    # Guards against releasing a call at its office alone: its caller would keep it for good.
    world = world_with_deadline()
    caller = world.establish(A)
    world.net.faults_between("10.0.0.1", "10.1.0.1").silent = True
    world.run(4.0)
    office = world.core.offices["s-00000001"]
    assert office.liveness.unconfirmed_calls(now_us(world.loop))
    _reset(caller)
    world.run(0.01)
    world.core.fail_all(now_us(world.loop))
    assert A in world.core.calls and not len(world.core.releases)
