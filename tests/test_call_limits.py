"""The limits on what callers hold together, and who may add more above them."""

import pytest
from platform_world import World, invite

from wellhitch.platform import call_limits, pending_calls
from wellhitch.platform.call_limits import SharedLimit
from wellhitch.platform.offices import MAX_UNSENT_BYTES


def call_id(n: int) -> str:
    return f"{n:016x}"


def test_caller_with_a_small_part_is_served_when_another_has_used_up_the_limit() -> None:
    shared = SharedLimit(1000)
    assert shared.may_add(999, 999, 1)
    assert not shared.may_add(1000, 950, 11)
    assert shared.may_add(1000, 5, 11)
    assert not shared.may_add(2000, 0, 11)


def test_client_that_never_ends_its_calls_does_not_fill_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against keeping ever more calls of one client at full speed: after 45 s they took 168 MB.
    monkeypatch.setattr(call_limits, "CALLS", SharedLimit(40))
    world = World()
    for office in world.offices.values():
        office.connections[0].write(b'{"t":"gauge","ref":"0","f":{"load":"spare:900;total:900"}}\n')
    usual, flooding = world.caller(), world.caller("10.9.0.2")
    world.establish(call_id(1), usual)
    for n in range(100, 200):
        flooding.send(invite(call_id(n)))
        world.run(0.05)
    statuses = [status for n in range(100, 200) for status in flooding.statuses(call_id(n))]
    assert statuses.count(200) == 39 and statuses.count(503) == 61 and len(world.core.calls) == 40
    world.establish(call_id(2), usual)
    assert world.counts["door.calls_on_link"] == 61


def test_clients_with_large_set_ups_do_not_fill_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against keeping all that hundreds of clients send for offices that do not answer: it took 185 MB.
    monkeypatch.setattr(pending_calls, "PENDING_BYTES", SharedLimit(40_000))
    world = World()
    for office in world.offices.values():
        office.answers = False
    usual, flooding = world.caller(), world.caller("10.9.0.2")
    usual.send(invite(call_id(1)))
    for n in range(100, 140):
        flooding.send(invite(call_id(n), body=b"d" * 4000, left_ms=2900))
    world.run(0.1)
    assert world.counts["door.bytes_on_link"] == 30
    usual.send(invite(call_id(2)))
    world.run(0.1)
    assert not usual.statuses(call_id(2)) and call_id(2) in world.core.pending.by_call_id
    flooding.close()
    usual.close()
    world.run(4)
    assert world.core.pending.size_bytes == 0 and not world.core.unanswered


def test_office_that_reads_nothing_gets_no_more_set_ups_than_its_connections_may_hold() -> None:
    # Guards against a buffer that grows with each set-up to an office that hangs.
    world = World()
    connections = world.service.office_connections.pools[world.core.offices["s-00000001"]].connected
    office, caller = world.offices[1], world.caller()
    for connection in office.connections:
        assert connection.transport is not None
        connection.transport.pause_reading()
    for connection in connections:
        connection.write(b"x" * MAX_UNSENT_BYTES)
    caller.send(invite(call_id(1)))
    world.run(0.2)
    assert caller.statuses(call_id(1)) == [200]  # on a new connection
    assert all(
        office.connection_by_call_id[call_id(1)] is not connection for connection in office.connections[:1]
    )
