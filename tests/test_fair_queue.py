"""The order in which callers' connections are served while more has arrived than one turn of the loop may take."""

import random

import pytest
from platform_world import World, invite

from wellhitch.platform import callers
from wellhitch.platform.fair_queue import MAX_LEAD_BYTES, FairQueue
from wellhitch.stand_ins.platform import bodyless_request

A, B = "00000000000000aa", "00000000000000bb"
LARGE, SMALL = 4096, 350


def serve(queue: FairQueue[str], size: int, rounds: int) -> list[str]:
    """Serve connections that each have `size` more bytes as soon as they are served."""
    order = []
    for _ in range(rounds):
        connection = queue.pop()
        assert connection is not None
        order.append(connection)
        queue.add(connection, size)
    return order


def test_small_request_waits_for_few_of_many_large_ones() -> None:
    # Guards against a round in which hundreds of clients with long heads are served first.
    queue: FairQueue[str] = FairQueue()
    for n in range(340):
        queue.add(f"large {n}", LARGE)
    serve(queue, LARGE, 1000)
    queue.add("usual", SMALL)
    assert "usual" in serve(queue, LARGE, 2 * 340 * SMALL // LARGE)


def test_connections_that_always_have_more_get_the_same_share() -> None:
    queue: FairQueue[str] = FairQueue()
    for name in "abc":
        queue.add(name, LARGE)
    order = serve(queue, LARGE, 300)
    assert {name: order.count(name) for name in "abc"} == {"a": 100, "b": 100, "c": 100}


def test_connection_that_was_alone_for_long_does_not_wait_for_what_it_had_then() -> None:
    queue: FairQueue[str] = FairQueue()
    for _ in range(1000):
        queue.charge("busy", LARGE)
    queue.add("busy", LARGE)
    queue.add("other", LARGE)
    assert "busy" in serve(queue, LARGE, MAX_LEAD_BYTES // LARGE + 3)


@pytest.mark.parametrize("seed", range(5))
def test_each_added_connection_is_served_once_and_a_forgotten_one_never(seed: int) -> None:
    rng = random.Random(seed)
    queue: FairQueue[int] = FairQueue()
    waiting: set[int] = set()
    for _ in range(2000):
        connection = rng.randrange(50)
        match rng.randrange(4):
            case 0 | 1:
                queue.add(connection, rng.randrange(1, LARGE))
                waiting.add(connection)
            case 2:
                queue.forget(connection)
                waiting.discard(connection)
            case _:
                served = queue.pop()
                assert (served in waiting) if waiting else served is None
                waiting.discard(served or 0) if served is not None else None
        assert len(queue) == len(waiting)


@pytest.fixture
def one_connection_a_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every message waits, and each turn of the loop serves one connection."""
    monkeypatch.setattr(callers, "SERVE_PER_TURN_S", -1.0)


@pytest.mark.usefixtures("one_connection_a_turn")
def test_set_ups_that_waited_are_answered_in_order() -> None:
    world = World()
    caller = world.caller()
    for n in range(60):
        caller.send(invite(f"{n:016x}", 1 + n % 2))
    world.run(0.5)
    assert [len(caller.statuses(f"{n:016x}")) for n in range(60)] == [1] * 60


@pytest.mark.usefixtures("one_connection_a_turn")
def test_release_that_waits_as_its_connection_is_lost_counts() -> None:
    world = World()
    world.establish(A)
    other = world.caller()
    world.run(0.1)
    [connection] = list(world.service.callers.table.silent)
    connection.held = bodyless_request("BYE", A)
    other.close()
    world.run(0.1)
    assert A not in world.core.calls


@pytest.mark.usefixtures("one_connection_a_turn")
def test_set_up_that_waits_as_its_connection_is_closed_is_refused() -> None:
    world = World()
    caller = world.caller()
    world.run(0.1)
    [connection] = list(world.service.callers.table.silent)
    connection.held = invite(B)
    connection.close("draining")
    world.run(0.1)
    assert caller.statuses(B) == [503] and caller.closed


@pytest.mark.usefixtures("one_connection_a_turn")
def test_connection_that_waits_to_be_served_is_not_overdue() -> None:
    # Guards against closing the connections of callers for whom the loop has had no time yet.
    world = World()
    caller = world.caller()
    world.run(0.1)
    [connection] = list(world.service.callers.table.silent)
    connection.held = invite(B)
    world.run(8)
    assert not caller.closed
    connection.serve_held()
    world.run(0.1)
    assert caller.statuses(B) == [200]
