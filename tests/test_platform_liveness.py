"""Calls on offices that fall silent, and what confirms that an office still holds them."""

from typing import Any

import pytest
from platform_world import DRAINING, READY, UNIX_START_US, World, configuration, row

from wellhitch.net.transport import now_us
from wellhitch.platform.liveness import (
    QUIET_US,
    SAME_INCARNATION_US,
    SILENCE_LIMIT_US,
    CallsLost,
    LivenessTest,
    OfficeLiveness,
)
from wellhitch.stand_ins.platform import bodyless_request, invite

SECOND = 1_000_000
OFFICE_HOST = "10.1.0.1"
SERVER = "10.0.0.1"
A, B = "00000000000000aa", "00000000000000bb"


def liveness_with_a_call(tests_allowed: bool = True, greets: bool = True) -> OfficeLiveness:
    """An office with one call, established on connection 'old' at time 0."""
    opened_at = 0 if greets else -SECOND
    liveness = OfficeLiveness(tests_allowed, opened_at)
    liveness.connection_opened("old", opened_at)
    liveness.received("old", 0)
    liveness.call_established("call", "old")
    return liveness


def lost_at(liveness: OfficeLiveness, until: int = 12 * SECOND) -> int | None:
    """When its calls count as lost if nothing more is received."""
    for now in range(0, until, SECOND // 10):
        if any(isinstance(due, CallsLost) for due in liveness.step(now)):
            return now
    return None


# ---- office liveness ----


def test_silence_ends_calls_in_time_to_tell_their_callers() -> None:
    liveness = liveness_with_a_call()
    assert lost_at(liveness) == SILENCE_LIMIT_US < 8 * SECOND


def test_quiet_office_is_tested_and_each_answer_resets_the_timer() -> None:
    liveness = liveness_with_a_call()
    assert liveness.step(QUIET_US - 1) == []
    assert liveness.step(QUIET_US) == [LivenessTest(("old",), False)]
    liveness.received("old", QUIET_US + 1000)
    assert liveness.step(QUIET_US + 2000) == []
    assert liveness.step(2 * QUIET_US + 1000) == [LivenessTest(("old",), False)]


def test_unanswered_test_is_repeated_on_all_connections_and_a_new_one() -> None:
    liveness = liveness_with_a_call()
    liveness.connection_opened("other", SECOND // 2)
    assert liveness.step(QUIET_US) == [LivenessTest(("other",), False)]
    assert liveness.step(QUIET_US + 500_000) == [LivenessTest(("old", "other"), True)]
    liveness.connection_opened("new", QUIET_US + 510_000)
    assert liveness.under_test("new")
    liveness.received("new", QUIET_US + 520_000)  # opened in time: it leads to the same process
    assert lost_at(liveness, SILENCE_LIMIT_US + SECOND) is None


def test_office_without_calls_is_not_tested() -> None:
    liveness = liveness_with_a_call()
    liveness.call_ended("call")
    assert all(liveness.step(now) == [] for now in range(0, 20 * SECOND, SECOND))


def test_restarted_machine_does_not_confirm_earlier_calls() -> None:
    liveness = liveness_with_a_call()
    liveness.connection_closed("old")
    liveness.connection_opened("new", SAME_INCARNATION_US + 1)
    liveness.received("new", 3 * SECOND)
    liveness.call_established("later call", "new")
    for now in range(3 * SECOND, SILENCE_LIMIT_US, SECOND // 2):
        liveness.received("new", now)
        assert not any(isinstance(due, CallsLost) for due in liveness.step(now))
    assert liveness.step(SILENCE_LIMIT_US) == [CallsLost(("call",), SILENCE_LIMIT_US)]
    liveness.call_ended("call")
    assert lost_at(liveness, SILENCE_LIMIT_US + SECOND // 2) is None


def test_connection_after_a_refusal_leads_to_a_new_incarnation() -> None:
    liveness = liveness_with_a_call()
    liveness.connection_closed("old")
    liveness.connection_refused()
    liveness.connection_opened("new", SECOND // 2)
    liveness.received("new", SECOND // 2)
    assert lost_at(liveness) == SILENCE_LIMIT_US


@pytest.mark.parametrize("proof", ["old connection speaks", "new connection names a call"])
def test_office_that_was_only_disconnected_keeps_all_its_calls(proof: str) -> None:
    liveness = liveness_with_a_call()
    liveness.connection_opened("new", 5 * SECOND)
    liveness.received("new", 5 * SECOND)
    liveness.call_established("later call", "new")
    if proof == "old connection speaks":
        liveness.received("old", 6 * SECOND)
    else:
        liveness.call_mentioned("call", "new", 6 * SECOND)
    assert len(liveness.incarnations) == 1 and liveness.current.calls == {"call", "later call"}
    for now in range(6 * SECOND, 8 * SECOND + 1, SECOND // 5):
        assert not any(isinstance(due, CallsLost) for due in liveness.step(now))


def test_office_is_tested_before_its_calls_are_lost_after_a_pause_of_this_process() -> None:
    liveness = liveness_with_a_call()
    assert liveness.step(30 * SECOND) == [LivenessTest(("old",), False)]
    assert not liveness.unconfirmed_calls(30 * SECOND)
    assert not any(isinstance(due, CallsLost) for due in liveness.step(30 * SECOND + 900_000))
    answered, silent = liveness, liveness_with_a_call()
    answered.received("old", 31 * SECOND)
    assert not any(isinstance(due, CallsLost) for due in answered.step(31 * SECOND))
    silent.step(30 * SECOND)
    assert any(isinstance(due, CallsLost) for due in silent.step(31 * SECOND))


def test_new_connection_confirms_the_office_where_tests_are_not_allowed() -> None:
    liveness = liveness_with_a_call(tests_allowed=False, greets=False)
    assert liveness.step(QUIET_US) == [LivenessTest((), True)]
    liveness.connection_opened("new", QUIET_US + 1000)
    assert lost_at(liveness, SILENCE_LIMIT_US + SECOND) is None


def test_new_connection_confirms_nothing_after_an_unanswered_set_up() -> None:
    liveness = liveness_with_a_call(tests_allowed=False, greets=False)
    liveness.set_up_sent(SECOND // 2)
    for second in range(1, 7):
        liveness.connection_opened(second, second * SECOND)
    assert lost_at(liveness) == SECOND // 2 + SILENCE_LIMIT_US


def test_office_that_sends_greetings_is_confirmed_only_by_a_greeting() -> None:
    liveness = liveness_with_a_call(tests_allowed=False)  # the first connection was greeted
    for second in range(1, 7):
        assert [type(due) for due in liveness.step(second * SECOND)] == [LivenessTest]
        liveness.connection_opened(second, second * SECOND + 1000)
    assert lost_at(liveness) == SILENCE_LIMIT_US


@pytest.mark.parametrize("accepted_at", [None, 59 * SECOND])
def test_call_reported_after_a_restart_is_given_time_for_a_test(accepted_at: int | None) -> None:
    liveness = OfficeLiveness(True, 0)
    if accepted_at is not None:  # by the kernel, while the process hangs
        liveness.connection_opened("new", accepted_at)
    liveness.call_reported("call", 60 * SECOND)
    assert [type(due) for due in liveness.step(61 * SECOND)] == [LivenessTest]
    assert not any(isinstance(due, CallsLost) for due in liveness.step(62 * SECOND + SECOND // 2))
    assert any(isinstance(due, CallsLost) for due in liveness.step(63 * SECOND))
    assert liveness.unconfirmed_calls(63 * SECOND) == {"call"}


def test_calls_from_before_a_refused_connection_are_unconfirmed() -> None:
    # Guards against ending this process without telling their callers: the next one can't know of the refusal.
    liveness = OfficeLiveness(True, 0)
    liveness.connection_opened("first", 0)
    liveness.call_established("call", "first")
    liveness.received("first", 60 * SECOND)
    liveness.connection_closed("first")
    assert not liveness.unconfirmed_calls(60 * SECOND)
    liveness.connection_refused()
    assert liveness.unconfirmed_calls(60 * SECOND) == {"call"}
    liveness.connection_opened("second", 60 * SECOND + 500_000)
    liveness.received("second", 60 * SECOND + 500_000)
    liveness.call_established("later call", "second")
    assert liveness.unconfirmed_calls(60 * SECOND + 600_000) == {"call"}
    # A line about the earlier call on the new connection: the process is the same one after all.
    liveness.call_mentioned("call", "second", 60 * SECOND + 700_000)
    assert not liveness.unconfirmed_calls(60 * SECOND + 800_000)


def test_quick_answer_on_a_new_connection_is_not_taken_for_a_greeting() -> None:
    liveness = liveness_with_a_call(tests_allowed=False, greets=False)
    liveness.connection_opened("other", SECOND // 2)
    liveness.received("other", SECOND // 2 + 20_000)  # a set-up's answer
    assert liveness.step(2 * SECOND) == [LivenessTest((), True)]
    liveness.connection_opened("new", 2 * SECOND + 1000)
    assert lost_at(liveness, SILENCE_LIMIT_US + SECOND) is None


def test_data_on_an_old_connection_confirms_current_calls() -> None:
    liveness = liveness_with_a_call()
    liveness.connection_opened("new", 3 * SECOND)
    for now in range(0, SILENCE_LIMIT_US + 1, SECOND // 5):
        liveness.step(now)
    liveness.call_ended("call")  # lost
    liveness.received("old", 9 * SECOND)  # the process only hung
    liveness.call_established("later call", "old")
    liveness.connection_closed("new")
    for now in range(9 * SECOND, 30 * SECOND, SECOND // 5):
        assert not any(isinstance(due, CallsLost) for due in liveness.step(now))
        liveness.received("old", now)


@pytest.mark.parametrize("tests_allowed", [True, False])
def test_call_reported_on_a_long_quiet_office_is_kept(tests_allowed: bool) -> None:
    liveness = OfficeLiveness(tests_allowed, 0)
    liveness.connection_opened("old", 0)
    liveness.call_reported("call", 60 * SECOND)
    for now in range(60 * SECOND, 80 * SECOND, SECOND // 5):
        for due in liveness.step(now):
            assert isinstance(due, LivenessTest), now
            if tests_allowed:
                liveness.received("old", now + 1000)
            else:  # it sends nothing on a new connection
                liveness.connection_opened(now, now + 1000)
    assert liveness.current.calls == {"call"} and len(liveness.incarnations) == 1


# ---- the call server in virtual time ----


def make_world(may_probe: bool = True) -> World:
    server_started = configuration().server_started
    permissions = type(server_started.permissions)(5, True, may_probe, True, 0, False)
    return World(
        server_started=type(server_started)(**{**_fields(server_started), "permissions": permissions})
    )


def _fields(record: Any) -> dict[str, Any]:
    return {name: getattr(record, name) for name in record.__dataclass_fields__}


def silence(world: World, swallowed: bool = True) -> None:
    conditions = world.net.faults_between(SERVER, OFFICE_HOST)
    conditions.silent, conditions.times_out = True, swallowed


def heal(world: World) -> None:
    conditions = world.net.faults_between(SERVER, OFFICE_HOST)
    conditions.silent = conditions.times_out = False
    world.net.end_silence(SERVER, OFFICE_HOST)


def answer_tests(world: World) -> None:
    """Make the simulated office answer liveness tests."""
    office = world.offices[1]
    came = office._data_received

    def answering(end: Any, data: bytes) -> None:
        came(end, data)
        if b'"hb"' in data:
            end.write(b'{"t":"hb_ok","ref":"0000000000000000","f":{},"c":1}\n')

    office._data_received = answering  # type: ignore[method-assign]


@pytest.mark.parametrize("may_probe", [True, False])
@pytest.mark.parametrize("hangs", [False, True])
def test_callers_are_told_when_an_office_falls_silent(may_probe: bool, hangs: bool) -> None:
    world = make_world(may_probe)
    caller = world.establish(A)
    silence(world, swallowed=not hangs)
    fell_silent = now_us(world.loop)
    world.run(6)
    assert not caller.byes(A)
    world.run(3)
    ((at, reason),) = caller.byes(A)
    assert reason == "Q.850;cause=41" and at - fell_silent < 8 * SECOND


def test_quiet_office_that_answers_tests_keeps_its_calls() -> None:
    world = make_world()
    answer_tests(world)
    world.offices[1].connections.clear()
    world.net.reset_connections(SERVER, OFFICE_HOST)  # so that all later connections answer
    world.run(1)
    caller = world.establish(A)
    world.run(60)
    assert A in world.core.calls and not caller.byes(A)
    assert 50 <= world.counts["tests_sent"] <= 70


def test_quiet_office_without_tests_keeps_its_calls_and_few_connections() -> None:
    world = make_world(may_probe=False)
    caller = world.establish(A)
    world.run(60)
    assert A in world.core.calls and not caller.byes(A)
    assert not world.counts["tests_sent"]
    pool = next(pool for end, pool in world.service.office_connections.pools.items() if end.number == 1)
    assert len(pool.connected) <= pool.owner.max_per_office


def test_short_network_interruption_ends_no_call() -> None:
    world = make_world()
    answer_tests(world)
    world.net.reset_connections(SERVER, OFFICE_HOST)
    world.run(1)
    caller = world.establish(A)
    silence(world)
    world.run(5)
    heal(world)
    world.run(10)
    assert A in world.core.calls and not caller.byes(A)


def test_office_is_told_after_an_outage_that_its_call_was_ended() -> None:
    world = make_world()
    caller = world.establish(A)
    silence(world)
    world.run(9)
    assert caller.byes(A)
    heal(world)
    world.run(1)
    assert [line.call_id for line in world.offices[1].lines_of_type("down")] == [A]


def test_machine_restarted_at_its_address_has_lost_its_calls() -> None:
    world = make_world()
    caller = world.establish(A)
    vanished = now_us(world.loop)
    silence(world)
    world.run(4)
    world.net.reset_host(OFFICE_HOST)
    conditions = world.net.faults_between(SERVER, OFFICE_HOST)
    conditions.silent = conditions.times_out = False
    answer_tests(world)
    world.net.reset_connections(SERVER, OFFICE_HOST)
    world.run(0.5)
    other = world.establish(B, world.caller())
    world.run(4.5)
    ((at, _),) = caller.byes(A)
    assert at - vanished < 8 * SECOND and not other.byes(B)


def test_restart_reported_by_discovery_ends_earlier_calls_only() -> None:
    world = make_world()
    answer_tests(world)
    caller = world.establish(A)
    started_ms = (UNIX_START_US + now_us(world.loop)) // 1000 + 1
    world.run(1)
    other = world.establish(B, world.caller())
    world.discovery.publish(row(1, READY, started_ms=started_ms))
    world.run(0.5)
    assert len(caller.byes(A)) == 1 and not other.byes(B)


def test_idle_connections_to_a_draining_office_are_closed() -> None:
    world = make_world()
    answer_tests(world)
    world.run(16)  # the time for callers to report calls is over
    world.establish(A)
    world.discovery.publish(row(1, DRAINING))
    world.run(1)
    assert world.net.connections(SERVER, OFFICE_HOST)
    world.offices[1].end_call(A, 16)
    world.run(0.2)
    assert not world.net.connections(SERVER, OFFICE_HOST)
    world.discovery.publish(row(1, READY))
    world.run(0.2)
    assert world.net.connections(SERVER, OFFICE_HOST)


def test_early_release_from_a_draining_office_is_kept_after_a_restart() -> None:
    world = make_world()
    world.discovery.publish(row(1, DRAINING))
    world.run(0.1)
    known = (*configuration().known_updates, *world.discovery.updates)
    world.net.reset_host(SERVER)
    world.net.listeners.pop(f"{SERVER}:2905")
    world.net.senders.clear()
    service = world.start_server(
        server_started=world.service.configuration.server_started, known_updates=known, revision=2
    )
    world.run(0.1)
    office = world.offices[1]
    office.end_call(A, 16, connection=office.connections[-1])
    world.run(0.1)
    caller = world.caller()
    caller.send(invite(A, extra_attributes=";at:s-00000001"))
    world.run(0.3)
    assert [reason for _, reason in caller.byes(A)] == ["Q.850;cause=16"] and not service.core.calls


def test_lost_connection_of_an_office_with_calls_is_replaced() -> None:
    world = make_world()
    office = world.offices[1]
    office.answers = False
    caller = world.caller()
    for ref in (A, B):  # two pending set-ups, so that there are two connections
        caller.send(invite(ref))
    world.run(0.1)
    office.answer(A)
    office.answer(B)
    world.run(0.2)
    before = len(office.connections)
    assert before >= 2
    office.connection_by_call_id[A].write(
        b"\xff noise\n"
    )  # the release behind it is lost with the connection
    office.end_call(A, 16)
    world.run(0.05)
    assert len(office.connections) == before + 1
    office.end_call(A, 16, connection=office.connections[-1])  # offices resend it on the next connection
    world.run(0.1)
    assert len(caller.byes(A)) == 1


def test_release_lost_with_a_silent_connection_is_resent_on_the_next() -> None:
    world = make_world()
    caller = world.establish(A)
    silence(world)
    world.run(0.5)
    caller.send(bodyless_request("BYE", A))
    world.run(0.5)
    conditions = world.net.faults_between(SERVER, OFFICE_HOST)
    conditions.silent = conditions.times_out = False
    world.net.reset_connections(SERVER, OFFICE_HOST)  # what was written while it was silent never arrives
    world.run(1)
    assert [line.call_id for line in world.offices[1].lines_of_type("down")] == [A]
    world.run(3)
    world.net.reset_connections(SERVER, OFFICE_HOST)
    world.run(1)
    assert [line.call_id for line in world.offices[1].lines_of_type("down")] == [
        A
    ]  # not again, as bytes were received since


def test_connections_closed_by_an_idle_office_are_not_all_reopened() -> None:
    world = make_world()
    office = world.offices[1]
    office.answers = False
    caller = world.caller()
    for ref in (A, B):
        caller.send(invite(ref))
    world.run(0.1)
    office.answer(A)
    office.answer(B)
    world.run(0.2)
    before = office.connections_opened
    for end in office.connections[:-1]:
        assert end.transport is not None
        end.transport.close()
        world.run(0.3)
    assert office.connections_opened == before


def test_slowly_written_release_is_read_and_an_incomplete_line_delays_no_answer() -> None:
    world = make_world()
    caller = world.establish(A)
    office = world.offices[1]
    line = f'{{"t":"down","ref":"{A}","f":{{}},"c":16}}\n'.encode()
    for at in range(0, len(line), 20):
        office.send_raw(A, line[at : at + 20])
        world.run(0.4)
    assert [reason for _, reason in caller.byes(A)] == ["Q.850;cause=16"]
    assert not world.counts["office.line_stopped_short"]
    office.answers = False
    caller.send(invite(B, extra_attributes=";transit:1"))  # in transit: its dial is not cancelled early
    world.run(0.05)
    office.send_raw(B, line[:10])
    world.run(0.3)
    assert world.counts["office.line_stopped_short"] == 1 and world.counts["ending.reset"] == 1


def test_call_whose_answer_was_lost_is_released_before_the_next_attempt() -> None:
    world = make_world()
    office = world.offices[1]
    office.answers = False
    caller = world.caller()
    caller.send(invite(A))
    world.run(0.05)
    for end in office.connections:  # its answer is lost with the connection
        assert end.transport is not None
        end.transport.abort()
    world.run(0.5)
    came = [
        line.type for line in office.lines_of_type("new") + office.lines_of_type("down") if line.call_id == A
    ]
    assert came == ["new", "new", "down"]
    kinds = [line.type for _, line in office.received if line.call_id == A]
    assert kinds == ["new", "down", "new"]
    office.answer(A)
    world.run(0.1)
    assert caller.statuses(A) == [200]
