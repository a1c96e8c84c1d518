"""The limit on established calls, and who may set up more above it."""

import pytest
from platform_world import World, invite

from wellhitch.platform import call_limits
from wellhitch.platform.call_limits import MAX_CALLS, MAX_CALLS_IN_ALL, may_add_call


def call_id(n: int) -> str:
    return f"{n:016x}"


def test_caller_with_a_small_part_of_all_calls_is_served_when_another_has_used_them_up() -> None:
    assert may_add_call(MAX_CALLS - 1, MAX_CALLS - 1, 1)
    assert not may_add_call(MAX_CALLS, MAX_CALLS - 50, 11)
    assert may_add_call(MAX_CALLS, 5, 11)
    assert not may_add_call(MAX_CALLS_IN_ALL, 0, 11)


def test_client_that_never_ends_its_calls_does_not_fill_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against keeping ever more calls of one client at full speed: after 45 s they took 168 MB.
    monkeypatch.setattr(call_limits, "MAX_CALLS", 40)
    monkeypatch.setattr(call_limits, "MAX_CALLS_IN_ALL", 80)
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
