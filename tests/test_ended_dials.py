"""Lines from an office that are about an earlier dial with the same Call-ID: whose they are, and what they change."""

import pytest
from platform_world import World, invite

from wellhitch.platform.ended_dials import LATE_END_US, MAX_ENDED_DIALS, EndedDials, LineOwner, line_owner
from wellhitch.stand_ins.platform import Caller, PlatformOffice, bodyless_request

A = "000000000000000a"
SECOND = 1_000_000


# ---- pure ----


@pytest.mark.parametrize(
    ("arrived_on", "sent_on", "earlier", "open_connections", "may_end_call", "owner"),
    [
        ("first", "first", (), {"first"}, True, LineOwner.CURRENT),
        ("other", "first", (), {"first", "other"}, True, LineOwner.CURRENT),
        ("second", "second", ("first",), {"first", "second"}, True, LineOwner.CURRENT),
        ("first", "second", ("first",), {"first", "second"}, True, LineOwner.EARLIER),
        ("first", "second", ("first",), {"first", "second"}, False, LineOwner.EARLIER),
        # The connection of the earlier set-up is closed: the release of its call may come on any other, but no answer.
        ("second", "second", ("first",), {"second"}, True, LineOwner.UNCERTAIN),
        ("second", "second", ("first",), {"second"}, False, LineOwner.CURRENT),
        # The connection of the current one is closed: the release of its call may come on that of the earlier one.
        ("first", "second", ("first",), {"first"}, True, LineOwner.UNCERTAIN),
        ("other", "second", ("first",), {"first", "second", "other"}, True, LineOwner.UNCERTAIN),
        ("other", None, (None,), {"other"}, True, LineOwner.UNCERTAIN),
    ],
)
def test_connection_tells_which_dial_a_line_is_about(
    arrived_on: str,
    sent_on: str | None,
    earlier: tuple[str | None, ...],
    open_connections: set[str],
    may_end_call: bool,
    owner: LineOwner,
) -> None:
    assert line_owner(arrived_on, sent_on, earlier, open_connections.__contains__, may_end_call) is owner


def test_end_that_comes_too_late_for_an_earlier_dial_may_be_of_the_call_but_a_refusal_is_not() -> None:
    connections = ("first", "second", ("first",), {"first", "second"}.__contains__)
    assert line_owner(*connections, may_end_call=True, earlier_may_end=False) is LineOwner.UNCERTAIN
    assert line_owner(*connections, may_end_call=False, earlier_may_end=False) is LineOwner.EARLIER
    ended = EndedDials(10 * SECOND)
    ended.add("office", A, "first", SECOND)
    assert ended.end_may_arrive("office", A, SECOND + LATE_END_US - 1)
    assert not ended.end_may_arrive("office", A, SECOND + LATE_END_US)
    assert not ended.end_may_arrive("another", A, SECOND)


def test_ended_dials_are_forgotten_by_age_and_by_number() -> None:
    ended = EndedDials(10 * SECOND)
    ended.add("office", A, "first", 0)
    ended.add("office", A, "second", 9 * SECOND)
    ended.add("office", A, "second", 9 * SECOND)
    assert ended.connections("office", A) == {"first", "second"} and not ended.connections("other", A)
    ended.ended_by_office("office", A, "first")
    assert ended.connections("office", A) == {"second"} and ended.contains("office", A)
    ended.add("office", "b", "first", 15 * SECOND)
    assert ended.contains("office", A)
    ended.add("office", "c", "first", 20 * SECOND)
    assert not ended.contains("office", A) and not ended.connections("office", A)
    assert ended.contains("office", "b")
    # Guards against a limit for each office: with many offices, cancelled set-ups filled the memory.
    for number in range(2 * MAX_ENDED_DIALS):
        ended.add(f"office {number % 48}", str(number), "first", 20 * SECOND)
    assert len(ended) == MAX_ENDED_DIALS


# ---- in virtual time ----


def advised_invite(**over: str) -> bytes:
    """A set-up for which office 2 is the advised tandem, where no direct dial is made."""
    return invite(A, **over).replace(b"via:-1", b"via:2")


def redial(world: World) -> tuple[Caller, PlatformOffice]:
    """A call whose first dial was given up by this server, and whose second is out at the same office."""
    office = world.offices[1]
    office.answers = False
    caller = world.caller()
    caller.send(advised_invite())
    assert world.run_until(0.9, lambda: len(office.lines_of_type("new")) == 2)
    assert [line.cause for line in office.lines_of_type("down")] == [16]
    return caller, office


def dials(world: World) -> int:
    return sum(len(office.lines_of_type("new")) for office in world.offices.values())


def test_late_refusal_of_a_dial_that_was_given_up_does_not_end_the_next() -> None:
    # Guards against a third dial beside the second: the office's refusal of the first was taken for that of the second.
    world = World()
    first_connection = world.offices[1].connections[0]
    caller, office = redial(world)
    office.end_call(A, 34, "turned_back", first_connection)
    world.run(0.02)
    assert dials(world) == 2 and A in world.core.pending_by_call_id
    office.answer(A)
    world.run(0.02)
    assert caller.statuses(A) == [200] and len(office.lines_of_type("down")) == 1 and A in world.core.calls


def test_late_answer_to_a_dial_that_was_given_up_is_not_taken_for_the_next() -> None:
    # Guards against passing on the answer to the first dial, whose call the office ends with our release of it.
    world = World()
    first_connection = world.offices[1].connections[0]
    caller, office = redial(world)
    second_connection = office.connection_by_call_id[A]
    office.connection_by_call_id[A] = first_connection
    office.answer(A, "of the first")
    world.run(0.02)
    assert caller.statuses(A) == [] and len(office.lines_of_type("down")) == 1
    office.connection_by_call_id[A] = second_connection
    office.answer(A, "of the second")
    world.run(0.02)
    assert caller.statuses(A) == [200] and caller.received[-1][1].body == b"of the second"
    assert len(office.lines_of_type("down")) == 1


@pytest.mark.parametrize("cause", [16, 34, 41])
def test_late_end_of_an_earlier_dial_does_not_end_the_established_call(cause: int) -> None:
    # Guards against telling a caller that its call is over while it stands: the line was about the dial before.
    world = World()
    first_connection = world.offices[1].connections[0]
    caller, office = redial(world)
    office.answer(A)
    world.run(0.02)
    office.end_call(A, cause, connection=first_connection)
    world.run(0.5)
    assert caller.statuses(A) == [200] and not caller.byes(A) and A in world.core.calls
    office.end_call(A, 16)
    world.run(0.1)
    assert [reason for _, reason in caller.byes(A)] == ["Q.850;cause=16"]


@pytest.mark.parametrize("cause", [16, 41])
def test_release_of_an_established_call_on_the_connection_of_an_earlier_dial_reaches_its_caller(
    cause: int,
) -> None:
    # Guards against taking the release for the end of a dial that was given up seconds before (incident 0c9322).
    world = World()
    first_connection = world.offices[1].connections[0]
    caller, office = redial(world)
    office.answer(A)
    world.run(6.2)
    office.end_call(A, cause, connection=first_connection)
    world.run(1.0)
    assert len(caller.byes(A)) == 1 and A not in world.core.calls


def test_refusal_of_the_next_dial_is_told_from_that_of_the_earlier_one() -> None:
    world = World()
    first_connection = world.offices[1].connections[0]
    _, office = redial(world)
    assert office.connection_by_call_id[A] is not first_connection
    office.end_call(A, 34, "no_circuit")
    world.run(0.02)
    assert dials(world) == 3 and world.offices[2].lines_of_type("new")


def test_end_that_may_be_of_a_dial_lost_with_its_connection_is_followed_by_a_release() -> None:
    # Guards against a third dial beside the second: after a reset, the release of the first dial's call may come on
    # the connection of the second.
    world = World()
    office = world.offices[1]
    office.answers = False
    caller = world.caller()
    caller.send(advised_invite())
    assert world.run_until(0.2, lambda: A in office.connection_by_call_id)
    office.reset_connections()
    assert world.run_until(0.5, lambda: len(office.lines_of_type("new")) == 2)
    assert len(office.lines_of_type("down")) == 1
    office.end_call(A, 41)
    world.run(0.09)
    assert dials(world) == 2 and [line.cause for line in office.lines_of_type("down")] == [16, 16]
    assert caller.statuses(A) == []


def test_refusal_after_a_lost_connection_is_of_the_next_dial() -> None:
    world = World()
    office = world.offices[1]
    office.answers = False
    world.caller().send(advised_invite())
    assert world.run_until(0.2, lambda: A in office.connection_by_call_id)
    office.reset_connections()
    assert world.run_until(0.5, lambda: len(office.lines_of_type("new")) == 2)
    office.end_call(A, 34, "no_circuit")
    world.run(0.02)
    assert world.offices[2].lines_of_type("new") and len(office.lines_of_type("down")) == 1


def test_call_in_transit_that_is_set_up_again_is_not_ended_by_its_earlier_refusal() -> None:
    # Guards against the same mistake where the exchange before this one gave the call up and set it up again here.
    world = World()
    office = world.offices[1]
    office.answers = False
    first_connection = office.connections[0]
    caller = world.caller()
    caller.send(advised_invite(extra_attributes=";transit:1"))
    world.run(0.1)
    caller.send(bodyless_request("CANCEL", A))
    world.run(0.2)
    again = world.caller("10.9.0.2")
    again.send(advised_invite(extra_attributes=";transit:1"))
    world.run(0.1)
    office.end_call(A, 34, "lines_busy", first_connection)
    world.run(0.05)
    assert again.statuses(A) == [] and A in world.core.pending_by_call_id
    office.answer(A)
    world.run(0.05)
    assert again.statuses(A) == [200] and caller.statuses(A) == [487]


@pytest.mark.parametrize("why", ["refused", "descriptors"])
def test_office_that_takes_no_other_connection_is_not_dialled_again(why: str) -> None:
    # The dial is then counted as not sent, and a route through the other office is used.
    world = World(max_descriptors=256 if why == "refused" else 47)
    office = world.offices[1]
    office.answers = False
    caller = world.caller()
    if why == "refused":
        office.stop_listening()
    else:
        pool = world.service.office_connections.pools[world.core.offices["s-00000001"]]
        pool.open_another()
        world.run(0.05)
        assert len(pool.connected) == world.service.office_connections.max_per_office == 2
        for connection in pool.connected:
            world.core.ended_dials.add("s-00000001", A, connection, world.service.now())
    caller.send(advised_invite())
    assert world.run_until(0.9, lambda: bool(world.offices[2].lines_of_type("new")))
    assert world.counts["ending.not_sent"] == 1 and not world.core.exchange.offices["s-00000001"].price
    assert len(office.lines_of_type("new")) == (1 if why == "refused" else 0)
    world.run(0.1)
    assert caller.statuses(A) == [200]


def test_earlier_dial_of_a_pending_call_is_remembered_amid_a_flood_of_cancelled_ones() -> None:
    world = World()
    first_connection = world.offices[1].connections[0]
    world.core.ended_dials._limit = 0
    caller, office = redial(world)
    assert not len(world.core.ended_dials)
    office.end_call(A, 34, "turned_back", first_connection)
    world.run(0.02)
    assert dials(world) == 2 and A in world.core.pending_by_call_id


def test_release_of_a_lost_dial_is_sent_again_on_the_next_connection() -> None:
    # Guards against a call that stands on at the office beside the next dial: the release was written to a connection
    # that was being reset too.
    world = World()
    office = world.offices[1]
    office.answers = False
    caller = world.caller()
    caller.send(invite("000000000000000b", extra_attributes=";transit:1"))
    world.run(0.01)
    caller.send(invite("000000000000000c", extra_attributes=";transit:1"))
    world.run(0.01)
    caller.send(advised_invite())
    assert world.run_until(0.1, lambda: A in office.connection_by_call_id)
    office.connections.sort(key=lambda connection: connection is not office.connection_by_call_id[A])
    assert len(office.connections) > 1
    for connection in office.connections:
        assert connection.transport is not None
        connection.transport.abort()
        world.run(0.0015)  # the first reset has arrived, and the release is on its way on another connection
    assert world.run_until(0.5, lambda: [line.call_id for line in office.lines_of_type("new")].count(A) == 2)
    world.run(0.01)
    assert [line.type for _, line in office.received if line.call_id == A] == ["new", "down", "new"]
    office.answer(A)
    world.run(0.01)
    assert A in world.core.calls
    world.service.office_connections.pools[world.core.offices["s-00000001"]].open_another()
    world.run(0.1)
    assert [line.type for _, line in office.received if line.call_id == A] == ["new", "down", "new"]
