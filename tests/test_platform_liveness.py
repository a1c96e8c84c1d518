"""Calls on endpoints that fall silent, and what counts as proof that an endpoint still holds them."""

from typing import Any

import pytest
from platform_world import DRAINING, READY, UNIX, World, configuration, row

from wellhitch.net.seam import now_us
from wellhitch.platform.liveness import (
    QUIET_US,
    SAME_INCARNATION_US,
    SILENCE_LIMIT_US,
    CallsLost,
    EndpointLiveness,
    LivenessTest,
)
from wellhitch.stand_ins.platform import invite, plain

S = 1_000_000
ENDPOINT = "10.1.0.1"
HERE = "10.0.0.1"
A, B = "00000000000000aa", "00000000000000bb"


def holding(tests_allowed: bool = True, greets: bool = True) -> EndpointLiveness:
    """An endpoint with one call, established on connection 'old' at nought."""
    opened_at = 0 if greets else -S
    endpoint = EndpointLiveness(tests_allowed, opened_at)
    endpoint.connection_opened("old", opened_at)
    endpoint.received("old", 0)
    endpoint.call_established("call", "old")
    return endpoint


def lost_at(endpoint: EndpointLiveness, until: int = 12 * S) -> int | None:
    """When its calls count as lost, if nothing more comes."""
    for now in range(0, until, S // 10):
        if any(isinstance(due, CallsLost) for due in endpoint.step(now)):
            return now
    return None


# ---- the pure part ----


def test_silence_ends_calls_before_their_time_to_be_told_is_over() -> None:
    endpoint = holding()
    assert lost_at(endpoint) == SILENCE_LIMIT_US < 8 * S


def test_a_quiet_endpoint_is_tested_and_each_answer_starts_anew() -> None:
    endpoint = holding()
    assert endpoint.step(QUIET_US - 1) == []
    assert endpoint.step(QUIET_US) == [LivenessTest(("old",), False)]
    endpoint.received("old", QUIET_US + 1000)
    assert endpoint.step(QUIET_US + 2000) == []
    assert endpoint.step(2 * QUIET_US + 1000) == [LivenessTest(("old",), False)]


def test_an_unanswered_test_is_repeated_on_all_connections_and_a_new_one() -> None:
    endpoint = holding()
    endpoint.connection_opened("other", S // 2)
    assert endpoint.step(QUIET_US) == [LivenessTest(("other",), False)]
    assert endpoint.step(QUIET_US + 500_000) == [LivenessTest(("old", "other"), True)]
    endpoint.connection_opened("new", QUIET_US + 510_000)
    assert endpoint.under_test("new")
    endpoint.received("new", QUIET_US + 520_000)  # opened in time: it leads to the same process
    assert lost_at(endpoint, SILENCE_LIMIT_US + S) is None


def test_an_endpoint_without_calls_is_not_tested() -> None:
    endpoint = holding()
    endpoint.call_ended("call")
    assert all(endpoint.step(now) == [] for now in range(0, 20 * S, S))


def test_a_machine_that_came_back_empty_does_not_vouch_for_calls_from_before() -> None:
    endpoint = holding()
    endpoint.connection_closed("old")
    endpoint.connection_opened("new", SAME_INCARNATION_US + 1)
    endpoint.received("new", 3 * S)
    endpoint.call_established("later call", "new")
    for now in range(3 * S, SILENCE_LIMIT_US, S // 2):
        endpoint.received("new", now)
        assert not any(isinstance(due, CallsLost) for due in endpoint.step(now))
    assert endpoint.step(SILENCE_LIMIT_US) == [CallsLost(("call",), SILENCE_LIMIT_US)]
    endpoint.call_ended("call")
    assert lost_at(endpoint, SILENCE_LIMIT_US + S // 2) is None


def test_a_process_that_refused_in_between_is_another() -> None:
    endpoint = holding()
    endpoint.connection_closed("old")
    endpoint.connection_refused()
    endpoint.connection_opened("new", S // 2)
    endpoint.received("new", S // 2)
    assert lost_at(endpoint) == SILENCE_LIMIT_US


@pytest.mark.parametrize("proof", ["old connection speaks", "new connection names a call"])
def test_an_endpoint_that_was_only_cut_off_keeps_all_its_calls(proof: str) -> None:
    endpoint = holding()
    endpoint.connection_opened("new", 5 * S)
    endpoint.received("new", 5 * S)
    endpoint.call_established("later call", "new")
    if proof == "old connection speaks":
        endpoint.received("old", 6 * S)
    else:
        endpoint.call_mentioned("call", "new", 6 * S)
    assert len(endpoint.incarnations) == 1 and endpoint.current.calls == {"call", "later call"}
    for now in range(6 * S, 8 * S + 1, S // 5):
        assert not any(isinstance(due, CallsLost) for due in endpoint.step(now))


def test_after_a_pause_of_this_process_an_endpoint_is_tested_before_its_calls_are_lost() -> None:
    endpoint = holding()
    assert endpoint.step(30 * S) == [LivenessTest(("old",), False)]
    assert not endpoint.unconfirmed_calls(30 * S)
    assert not any(isinstance(due, CallsLost) for due in endpoint.step(30 * S + 900_000))
    answered, silent = endpoint, holding()
    answered.received("old", 31 * S)
    assert not any(isinstance(due, CallsLost) for due in answered.step(31 * S))
    silent.step(30 * S)
    assert any(isinstance(due, CallsLost) for due in silent.step(31 * S))


def test_without_tests_a_connection_is_opened_and_is_proof() -> None:
    endpoint = holding(tests_allowed=False, greets=False)
    assert endpoint.step(QUIET_US) == [LivenessTest((), True)]
    endpoint.connection_opened("new", QUIET_US + 1000)
    assert lost_at(endpoint, SILENCE_LIMIT_US + S) is None


def test_without_tests_a_connection_proves_nothing_past_an_unanswered_set_up() -> None:
    endpoint = holding(tests_allowed=False, greets=False)
    endpoint.set_up_sent(S // 2)
    for second in range(1, 7):
        endpoint.connection_opened(second, second * S)
    assert lost_at(endpoint) == S // 2 + SILENCE_LIMIT_US


def test_without_tests_an_endpoint_that_greets_has_to_greet() -> None:
    endpoint = holding(tests_allowed=False)  # bytes came with the first connection
    for second in range(1, 7):
        assert [type(due) for due in endpoint.step(second * S)] == [LivenessTest]
        endpoint.connection_opened(second, second * S + 1000)
    assert lost_at(endpoint) == SILENCE_LIMIT_US


@pytest.mark.parametrize("accepted_at", [None, 59 * S])
def test_a_call_named_after_a_restart_is_given_time_for_a_test(accepted_at: int | None) -> None:
    endpoint = EndpointLiveness(True, 0)
    if accepted_at is not None:  # by the kernel of a machine whose process hangs
        endpoint.connection_opened("new", accepted_at)
    endpoint.call_reported("call", 60 * S)
    assert [type(due) for due in endpoint.step(61 * S)] == [LivenessTest]
    assert not any(isinstance(due, CallsLost) for due in endpoint.step(62 * S + S // 2))
    assert any(isinstance(due, CallsLost) for due in endpoint.step(63 * S))
    assert endpoint.unconfirmed_calls(63 * S) == {"call"}


def test_one_that_answers_at_once_on_a_new_connection_is_not_taken_for_one_that_greets() -> None:
    endpoint = holding(tests_allowed=False, greets=False)
    endpoint.connection_opened("other", S // 2)
    endpoint.received("other", S // 2 + 20_000)  # a set-up's answer
    assert endpoint.step(2 * S) == [LivenessTest((), True)]
    endpoint.connection_opened("new", 2 * S + 1000)
    assert lost_at(endpoint, SILENCE_LIMIT_US + S) is None


def test_a_connection_from_before_that_speaks_again_vouches_for_the_calls_of_now() -> None:
    endpoint = holding()
    endpoint.connection_opened("new", 3 * S)
    for now in range(0, SILENCE_LIMIT_US + 1, S // 5):
        endpoint.step(now)
    endpoint.call_ended("call")  # lost
    endpoint.received("old", 9 * S)  # it only hung
    endpoint.call_established("later call", "old")
    endpoint.connection_closed("new")
    for now in range(9 * S, 30 * S, S // 5):
        assert not any(isinstance(due, CallsLost) for due in endpoint.step(now))
        endpoint.received("old", now)


@pytest.mark.parametrize("tests_allowed", [True, False])
def test_a_call_named_on_an_endpoint_that_was_quiet_for_long_is_kept(tests_allowed: bool) -> None:
    endpoint = EndpointLiveness(tests_allowed, 0)
    endpoint.connection_opened("old", 0)
    endpoint.call_reported("call", 60 * S)
    for now in range(60 * S, 80 * S, S // 5):
        for due in endpoint.step(now):
            assert isinstance(due, LivenessTest), now
            if tests_allowed:
                endpoint.received("old", now + 1000)
            else:  # it says nothing on a new connection
                endpoint.connection_opened(now, now + 1000)
    assert endpoint.current.calls == {"call"} and len(endpoint.incarnations) == 1


# ---- the call server in virtual time ----


def world(may_probe: bool = True) -> World:
    opened = configuration().opened
    permissions = type(opened.permissions)(5, True, may_probe, True, 0, False)
    return World(opened=type(opened)(**{**_fields(opened), "permissions": permissions}))


def _fields(record: Any) -> dict[str, Any]:
    return {name: getattr(record, name) for name in record.__dataclass_fields__}


def silence(made: World, swallowed: bool = True) -> None:
    weather = made.net.spoil(HERE, ENDPOINT)
    weather.silent, weather.swallowed = True, swallowed


def heal(made: World) -> None:
    weather = made.net.spoil(HERE, ENDPOINT)
    weather.silent = weather.swallowed = False
    made.net.heal(HERE, ENDPOINT)


def answer_tests(made: World) -> None:
    """The stand-in answers tests, as endpoints do."""
    office = made.offices[1]
    came = office._came

    def answering(end: Any, data: bytes) -> None:
        came(end, data)
        if b'"hb"' in data:
            end.write(b'{"t":"hb_ok","ref":"0000000000000000","f":{},"c":1}\n')

    office._came = answering  # type: ignore[method-assign]


@pytest.mark.parametrize("may_probe", [True, False])
@pytest.mark.parametrize("hangs", [False, True])
def test_callers_are_told_when_an_endpoint_falls_silent(may_probe: bool, hangs: bool) -> None:
    made = world(may_probe)
    caller = made.standing(A)
    silence(made, swallowed=not hangs)
    fell_silent = now_us(made.loop)
    made.run(6)
    assert not caller.byes(A)
    made.run(3)
    ((at, reason),) = caller.byes(A)
    assert reason == "Q.850;cause=41" and at - fell_silent < 8 * S


def test_a_quiet_endpoint_that_answers_tests_keeps_its_calls() -> None:
    made = world()
    answer_tests(made)
    made.offices[1].ends.clear()
    made.net.cut(HERE, ENDPOINT)  # so that the links below are those that answer
    made.run(1)
    caller = made.standing(A)
    made.run(60)
    assert A in made.core.calls and not caller.byes(A)
    assert 50 <= made.counts["tests_sent"] <= 70


def test_a_quiet_endpoint_without_tests_keeps_its_calls_and_few_connections() -> None:
    made = world(may_probe=False)
    caller = made.standing(A)
    made.run(60)
    assert A in made.core.calls and not caller.byes(A)
    assert not made.counts["tests_sent"]
    pool = next(pool for end, pool in made.service.office_connections.pools.items() if end.number == 1)
    assert len(pool.connected) <= pool.owner.max_per_office


def test_a_short_cut_ends_no_call() -> None:
    made = world()
    answer_tests(made)
    made.net.cut(HERE, ENDPOINT)
    made.run(1)
    caller = made.standing(A)
    silence(made)
    made.run(5)
    heal(made)
    made.run(10)
    assert A in made.core.calls and not caller.byes(A)


def test_an_endpoint_that_comes_back_with_a_call_given_up_here_is_told_of_it() -> None:
    made = world()
    caller = made.standing(A)
    silence(made)
    made.run(9)
    assert caller.byes(A)
    heal(made)
    made.run(1)
    assert [line.ref for line in made.offices[1].said("down")] == [A]


def test_a_machine_back_at_its_address_after_a_silence_took_its_calls_along() -> None:
    made = world()
    caller = made.standing(A)
    vanished = now_us(made.loop)
    silence(made)
    made.run(4)
    made.net.reset_host(ENDPOINT)
    weather = made.net.spoil(HERE, ENDPOINT)
    weather.silent = weather.swallowed = False
    answer_tests(made)
    made.net.cut(HERE, ENDPOINT)
    made.run(0.5)
    other = made.standing(B, made.caller())
    made.run(4.5)
    ((at, _),) = caller.byes(A)
    assert at - vanished < 8 * S and not other.byes(B)


def test_a_new_start_on_the_list_ends_the_calls_from_before_it_and_no_later_ones() -> None:
    made = world()
    answer_tests(made)
    caller = made.standing(A)
    started_ms = (UNIX + now_us(made.loop)) // 1000 + 1
    made.run(1)
    other = made.standing(B, made.caller())
    made.board.tell(row(1, READY, started_ms=started_ms))
    made.run(0.5)
    assert len(caller.byes(A)) == 1 and not other.byes(B)


def test_connections_to_a_draining_endpoint_are_closed_when_nothing_is_left_on_them() -> None:
    made = world()
    answer_tests(made)
    made.run(16)  # callers have named their calls by now
    made.standing(A)
    made.board.tell(row(1, DRAINING))
    made.run(1)
    assert made.net.links(HERE, ENDPOINT)
    made.offices[1].down(A, 16)
    made.run(0.2)
    assert not made.net.links(HERE, ENDPOINT)
    made.board.tell(row(1, READY))
    made.run(0.2)
    assert made.net.links(HERE, ENDPOINT)


def test_a_release_that_comes_first_after_a_restart_is_kept_though_its_endpoint_drains() -> None:
    made = world()
    made.board.tell(row(1, DRAINING))
    made.run(0.1)
    known = (*configuration().known_updates, *made.board.events)
    made.net.reset_host(HERE)
    made.net.listeners.pop(f"{HERE}:2905")
    made.net.senders.clear()
    service = made.serve(opened=made.service.configuration.opened, known_updates=known, revision=2)
    made.run(0.1)
    office = made.offices[1]
    office.down(A, 16, end=office.ends[-1])
    made.run(0.1)
    caller = made.caller()
    caller.say(invite(A, more=";at:s-00000001"))
    made.run(0.3)
    assert [reason for _, reason in caller.byes(A)] == ["Q.850;cause=16"] and not service.core.calls


def test_a_connection_lost_with_calls_up_is_replaced_though_others_are_up() -> None:
    made = world()
    office = made.offices[1]
    office.answers = False
    caller = made.caller()
    for ref in (A, B):  # two set-ups at once, so that there are two connections
        caller.say(invite(ref))
    made.run(0.1)
    office.up(A)
    office.up(B)
    made.run(0.2)
    before = len(office.ends)
    assert before >= 2
    office.by_ref[A].write(b"\xff noise\n")  # and a release behind it, which is lost with the connection
    office.down(A, 16)
    made.run(0.05)
    assert len(office.ends) == before + 1
    office.down(A, 16, end=office.ends[-1])  # endpoints send it also on the next connection
    made.run(0.1)
    assert len(caller.byes(A)) == 1


def test_a_release_lost_with_a_silent_connection_goes_out_on_the_next() -> None:
    made = world()
    caller = made.standing(A)
    silence(made)
    made.run(0.5)
    caller.say(plain("BYE", A))
    made.run(0.5)
    weather = made.net.spoil(HERE, ENDPOINT)
    weather.silent = weather.swallowed = False
    made.net.cut(HERE, ENDPOINT)  # what was written while it was silent never arrives
    made.run(1)
    assert [line.ref for line in made.offices[1].said("down")] == [A]
    made.run(3)
    made.net.cut(HERE, ENDPOINT)
    made.run(1)
    assert [line.ref for line in made.offices[1].said("down")] == [A]  # bytes came since


def test_connections_that_an_idle_endpoint_closes_are_not_all_opened_again() -> None:
    made = world()
    office = made.offices[1]
    office.answers = False
    caller = made.caller()
    for ref in (A, B):
        caller.say(invite(ref))
    made.run(0.1)
    office.up(A)
    office.up(B)
    made.run(0.2)
    before = office.opened
    for end in office.ends[:-1]:
        assert end.transport is not None
        end.transport.close()
        made.run(0.3)
    assert office.opened == before


def test_a_release_that_is_written_slowly_is_heard_and_a_line_that_stops_holds_up_no_answer() -> None:
    made = world()
    caller = made.standing(A)
    office = made.offices[1]
    line = f'{{"t":"down","ref":"{A}","f":{{}},"c":16}}\n'.encode()
    for at in range(0, len(line), 20):
        office.raw(A, line[at : at + 20])
        made.run(0.4)
    assert [reason for _, reason in caller.byes(A)] == ["Q.850;cause=16"]
    assert not made.counts["office.line_stopped_short"]
    office.answers = False
    caller.say(invite(B))
    made.run(0.05)
    office.raw(B, line[:10])
    made.run(0.3)
    assert made.counts["office.line_stopped_short"] == 1 and made.counts["ending.reset"] == 1


def test_what_an_endpoint_set_up_with_its_answer_lost_is_released_before_the_next_attempt() -> None:
    made = world()
    office = made.offices[1]
    office.answers = False
    caller = made.caller()
    caller.say(invite(A))
    made.run(0.05)
    for end in office.ends:  # it answered, and the answer went with the connection
        assert end.transport is not None
        end.transport.abort()
    made.run(0.5)
    came = [line.t for line in office.said("new") + office.said("down") if line.ref == A]
    assert came == ["new", "new", "down"]
    kinds = [line.t for _, line in office.took if line.ref == A]
    assert kinds == ["new", "down", "new"]
    office.up(A)
    made.run(0.1)
    assert caller.statuses(A) == [200]
