"""Calls that callers report as established before the start: how many are kept, and which are forgotten first."""

from platform_world import World, invite

from wellhitch.platform.reported_calls import ReportedCalls
from wellhitch.stand_ins.platform import Caller

AT_OFFICE_1 = ";at:s-00000001"


def call_id(n: int) -> str:
    return f"{n:016x}"


# ---- pure ----


def report(calls: ReportedCalls, connection: str, count: int) -> list[str]:
    """Report calls named after the connection, and return those that are forgotten for them."""
    forgotten = [calls.add(f"{connection}{n}", connection) for n in range(count)]
    return [call for call in forgotten if call is not None]


def test_calls_below_the_limit_are_kept_until_they_end() -> None:
    calls = ReportedCalls(10)
    assert not report(calls, "a", 6) and not report(calls, "b", 4) and len(calls) == 10
    calls.remove("a0")
    calls.remove("a0")
    assert not calls.add("b4", "b") and len(calls) == 10 and "a0" not in calls and "b4" in calls


def test_calls_of_closed_connections_are_forgotten_first_those_of_the_largest_before_all() -> None:
    calls = ReportedCalls(10)
    report(calls, "small", 2)
    report(calls, "large", 4)
    report(calls, "open", 4)
    assert calls.connection_closed("small") == ["small0", "small1"]
    assert calls.connection_closed("large") == ["large0", "large1", "large2", "large3"]
    assert calls.connection_closed("never seen") == []
    assert report(calls, "new", 6) == ["large3", "large2", "large1", "large0", "small1", "small0"]


def test_connection_with_the_most_calls_gives_way_to_the_others() -> None:
    calls = ReportedCalls(10)
    assert len(report(calls, "flood", 30)) == 20
    assert report(calls, "sound", 4) == ["flood9", "flood8", "flood7", "flood6"]
    # No connection has more than its own share now: a further call is the one that is forgotten.
    assert report(calls, "sound again", 3) == ["flood5", "flood4", "flood3"]
    assert calls.add("flood30", "flood") == "flood30"


def test_connection_without_calls_left_is_forgotten() -> None:
    calls = ReportedCalls(3)
    for n in range(1000):
        calls.add("x", f"connection {n}")
        calls.remove("x")
        calls.add("y", f"connection {n}")
        calls.connection_closed(f"connection {n}")
        calls.remove("y")
    assert not len(calls) and not calls._open and len(calls._closed) <= 2 * 3 + 1


# ---- in virtual time ----


def flood(world: World, connections: int, calls_on_each: int) -> list[Caller]:
    """Clients that each report calls which no office knows, and close their connection."""
    clients = []
    for connection in range(connections):
        client = world.caller(f"10.9.8.{connection % 250}")
        first = 1_000_000 + connection * calls_on_each
        for n in range(first, first + calls_on_each):
            client.send(invite(call_id(n), extra_attributes=AT_OFFICE_1))
        world.run(0.005)
        client.close()
        clients.append(client)
    return clients


def test_calls_that_no_office_knows_are_not_kept_without_a_limit() -> None:
    # Guards against growing until the memory limit: each reported call was kept for good, and its connection's record.
    world = World()
    flood(world, 50, 400)
    world.run(1)
    assert len(world.core.calls) < 5000 and world.counts["stands_forgotten"] > 15_000
    assert not any(call.connection is not None for call in world.core.calls.values())


def test_sound_callers_calls_are_kept_and_their_ends_told_amid_a_flood_of_reports() -> None:
    world = World()
    before, closed = world.caller("10.9.0.2"), world.caller("10.9.0.3")
    for n in range(20):
        before.send(invite(call_id(n), extra_attributes=AT_OFFICE_1))
        closed.send(invite(call_id(100 + n), extra_attributes=AT_OFFICE_1))
    world.run(0.05)
    closed.close()
    flood(world, 20, 400)
    during = world.caller("10.9.0.4")
    for n in range(20):
        during.send(invite(call_id(200 + n), extra_attributes=AT_OFFICE_1))
    flood(world, 20, 400)
    [connection, *_] = world.offices[1].connections
    for n in range(20):
        for first in (0, 100, 200):
            world.offices[1].end_call(call_id(first + n), 16, connection=connection)
    world.run(0.3)
    for n in range(20):
        assert before.byes(call_id(n)) and during.byes(call_id(200 + n))
        assert before.byes(call_id(100 + n)) or during.byes(call_id(100 + n))


def test_end_of_a_call_that_was_forgotten_is_told_to_the_callers() -> None:
    # The reporter's connection has closed, each client of the flood reports a single call: it is forgotten.
    world = World()
    caller, other = world.caller("10.9.0.2"), world.establish(call_id(1))
    for n in (100, 101):
        caller.send(invite(call_id(n), extra_attributes=AT_OFFICE_1))
    world.run(0.05)
    caller.close()
    world.core.established.reported._limit = 50
    flood(world, 100, 1)
    assert call_id(101) not in world.core.calls
    world.offices[1].end_call(call_id(101), 16, connection=world.offices[1].connections[0])
    world.run(0.3)
    assert [reason for _, reason in other.byes(call_id(101))] == ["Q.850;cause=16"]
