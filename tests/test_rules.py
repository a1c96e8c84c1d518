"""The decision module: each test builds its state and calls one function."""

import pytest
from conftest import CHEAP, DEAR, SECOND

from wellhitch import rules
from wellhitch.interface.actions import (
    Cancel,
    Fail,
    Reject,
    Send,
    SendPeerMessage,
    StartTimer,
    SubscribeDiscovery,
)
from wellhitch.interface.events import (
    CallerLeft,
    DialEnded,
    DialogueArrived,
    DialogueEstablished,
    DialResult,
    ListKind,
    OfficeEntry,
    OfficeListReceived,
    OfficeReport,
    OfficeReported,
    OfficeState,
    PeerMessageReceived,
    ReleaseCause,
    ServerStarted,
    TimerFired,
)
from wellhitch.interface.facts import Permissions, ReleaseRule, ServerTopology, TrafficClass
from wellhitch.interface.state import Exchange

EMPTY_REPORT = OfficeReport()


def dial_end(dialogue, office, result, cause=ReleaseCause.NONE, dialogue_over=False, dial=0):
    return DialEnded(dialogue.id, dial, office, result, cause, 0, dialogue_over, EMPTY_REPORT)


# rule 1: one final answer, and nothing after it


def test_dialogue_that_ends_is_answered_once_and_removed(exchange, new_dialogue):
    dialogue = new_dialogue()
    assert rules.final_answer(exchange, dialogue, SECOND) == [Reject(dialogue.id, CHEAP.target_latency // 4)]
    assert dialogue.id not in exchange.dialogues


def test_time_out_at_the_deadline_fails_the_dialogue(exchange, new_dialogue, send_dial):
    dialogue = new_dialogue()
    send_dial(dialogue)
    actions = rules.dial_ended(exchange, dial_end(dialogue, "office-1", DialResult.TIMED_OUT), 3 * SECOND)
    assert actions == [Fail(dialogue.id)]


def test_events_for_an_unknown_dialogue_do_nothing(exchange, new_dialogue):
    removed = new_dialogue()
    exchange.dialogues.clear()
    assert rules.decide(exchange, dial_end(removed, "office-1", DialResult.RESET), SECOND) == []
    assert rules.decide(exchange, DialogueEstablished(removed.id, 0, 5), SECOND) == []
    assert rules.decide(exchange, CallerLeft(removed.id), SECOND) == []
    assert rules.decide(exchange, TimerFired(removed.id + 1), SECOND) == []
    assert rules.decide(exchange, OfficeReported("nowhere", True, True, EMPTY_REPORT), SECOND) == []


def test_a_dialogue_that_must_not_run_twice_is_not_dialled_again(exchange, new_dialogue, send_dial):
    once_only = TrafficClass("once", 1.0, 0.2, SECOND, 9 * SECOND, 1, SECOND, (), False, 0)
    dialogue = new_dialogue(once_only)
    send_dial(dialogue)
    actions = rules.dial_ended(exchange, dial_end(dialogue, "office-1", DialResult.FAULT), SECOND)
    assert actions == [Fail(dialogue.id)]


# rules 2 and 5: one dial at a time, and the release wait


@pytest.mark.parametrize("result", [DialResult.TIMED_OUT, DialResult.RESET, DialResult.CANCELLED])
def test_release_wait_comes_before_the_next_dial(exchange, new_dialogue, send_dial, result):
    dialogue = new_dialogue()
    send_dial(dialogue)
    actions = rules.dial_ended(exchange, dial_end(dialogue, "office-1", result), SECOND)
    assert actions == [StartTimer(300_000, dialogue.id + 1)]
    assert rules.route_dialogue(exchange, dialogue, SECOND + 299_999) == [StartTimer(1, dialogue.id + 1)]
    assert isinstance(rules.route_dialogue(exchange, dialogue, SECOND + 300_000)[0], Send)


def test_a_timer_does_not_dial_while_a_dial_is_pending(exchange, new_dialogue, send_dial):
    dialogue = new_dialogue()
    send_dial(dialogue)
    assert rules.decide(exchange, TimerFired(dialogue.id + 1), SECOND) == []


def test_no_more_dials_than_allowed(exchange, new_dialogue, send_dial):
    dialogue = new_dialogue()
    for _ in range(4):
        send_dial(dialogue)
    dialogue.pending_dial = None
    assert isinstance(rules.route_dialogue(exchange, dialogue, SECOND)[0], Reject)


# rule 3: drains


@pytest.mark.parametrize("state", [OfficeState.DRAINING, OfficeState.GONE])
def test_nothing_new_goes_to_an_office_that_is_draining_or_gone(exchange, new_dialogue, state):
    rules.office_list_received(
        exchange, OfficeListReceived(ListKind.CHANGES, (OfficeEntry("office-1", 1, state, None),))
    )
    assert rules.best_route(exchange, new_dialogue(), 0) is None
    assert rules.best_route(exchange, new_dialogue(destination=2), 0) is exchange.offices["office-2"]


def test_offices_that_are_gone_are_kept_up_to_a_limit(exchange, new_dialogue):
    # Guards against growing for as long as offices are replaced by new ones under new ids.
    def list_office(id, state):
        entry = OfficeEntry(id, 1, state, None)
        rules.office_list_received(exchange, OfficeListReceived(ListKind.CHANGES, (entry,)))

    list_office("office-1", OfficeState.GONE)
    for n in range(3 * rules.MAX_GONE_OFFICES):
        list_office(f"new-{n}", OfficeState.READY)
        exchange.offices[f"new-{n}"].usual_rate = float(n)
        list_office(f"new-{n}", OfficeState.GONE)
    assert len(exchange.offices) == 2 + rules.MAX_GONE_OFFICES and "office-1" not in exchange.offices
    list_office("the next", OfficeState.READY)
    assert exchange.by_number[1].usual_rate == 3 * rules.MAX_GONE_OFFICES - 1
    dialogue = new_dialogue()
    [send] = rules.route_dialogue(exchange, dialogue, SECOND)
    list_office("the next", OfficeState.GONE)
    rules.dial_ended(exchange, dial_end(dialogue, "never listed", DialResult.RESET), SECOND)
    assert send == Send(dialogue.id, "the next", 2 * SECOND) and dialogue.pending_dial is None


def test_office_missing_from_a_full_list_is_gone_and_a_new_one_takes_its_number(exchange):
    exchange.offices["office-1"].usual_rate = 4.0
    rules.office_list_received(
        exchange,
        OfficeListReceived(ListKind.CHANGES, (OfficeEntry("office-1", 1, OfficeState.DRAINING, None),)),
    )
    entries = (
        OfficeEntry("office-0", 0, OfficeState.READY, None),
        OfficeEntry("fresh", 1, OfficeState.READY, SECOND),
    )
    rules.office_list_received(exchange, OfficeListReceived(ListKind.FULL, entries))
    assert exchange.offices["office-1"].state is OfficeState.GONE
    assert exchange.by_number[1].id == "fresh" and exchange.by_number[1].usual_rate == 4.0
    assert 2 not in exchange.by_number


# rule 4: cold offices


def test_cold_office_gets_a_bounded_share_of_its_usual_rate(exchange):
    office = exchange.by_number[1]
    office.usual_rate, office.started_at = 10.0, 0
    granted = 0
    for now in range(0, 3 * SECOND, 10_000):
        if rules.has_cold_start_budget(exchange.cold_start, office, now):
            office.budget -= 1
            granted += 1
    assert (
        0 < granted <= exchange.cold_start.multiple * 0.6 * 10.0 * 3
    )  # the share has grown from 0.4 to under 0.6
    assert not rules.is_cold(exchange.cold_start, office, exchange.cold_start.warm_after)


def test_first_dials_of_many_servers_to_a_cold_office_are_spread_over_time(exchange):
    offices = [rules.Office(f"o{n}", n, OfficeState.READY, SECOND, initial_budget=n / 60) for n in range(60)]
    immediate = [
        office for office in offices if rules.has_cold_start_budget(exchange.cold_start, office, SECOND)
    ]
    later = [
        office for office in offices if rules.has_cold_start_budget(exchange.cold_start, office, 3 * SECOND)
    ]
    assert len(immediate) == 0 and 15 < len(later) < 45


# prices


def test_price_steps_up_over_the_bound_down_under_it_and_decays_without_signs_of_load():
    assert rules.adjusted_price(0.0, 1.5, 1.0, 5.0) > 0
    assert 0 < rules.adjusted_price(2.0, 0.5, 1.0, 5.0) < 2.0
    assert rules.adjusted_price(0.05, 0.0, 1.0, 5.0) == 0.0
    assert 0 < rules.adjusted_price(2.0, None, 1.0, 5.0) < 2.0
    assert rules.adjusted_price(3.4, 9.0, 1.0, 5.0) == 3.5


def test_price_of_an_office_seldom_called_lasts_until_the_next_dial(exchange):
    seldom, busy = exchange.by_number[1], exchange.by_number[2]
    seldom.usual_rate, busy.usual_rate = 0.2, 5.0
    seldom.price = busy.price = 1.0
    for second in range(4):
        rules.interval_elapsed(exchange, second * SECOND)
    assert seldom.price > 0.5 and busy.price == pytest.approx(0.7**4)


def test_load_is_taken_from_reports_then_from_delay_and_a_full_office_is_over_its_bound():
    assert rules.relative_load(400_000, 0.45, 9 * SECOND, 9 * SECOND, 0) == pytest.approx(0.5)
    assert rules.relative_load(400_000, None, None, 400_000, 0) == pytest.approx(1.0)
    assert rules.relative_load(400_000, None, None, None, 0) is None
    assert rules.relative_load(400_000, 0.1, None, None, 1) > 1


def test_silent_dials_count_as_delay_but_a_single_one_does_not(exchange, new_dialogue, send_dial):
    office = exchange.by_number[1]
    send_dial(new_dialogue())
    assert rules.office_delay(office, 400_000, 2 * SECOND) is None
    send_dial(new_dialogue())
    assert rules.office_delay(office, 400_000, 2 * SECOND) == 2 * SECOND
    for _ in range(2):
        send_dial(new_dialogue(), sent_at=2 * SECOND).setup_delay = 60_000
    assert rules.office_delay(office, 400_000, 2 * SECOND + 70_000) == 60_000


def test_delay_is_a_sign_of_load_only_while_it_is_new(exchange, new_dialogue, send_dial):
    office = exchange.by_number[1]
    send_dial(new_dialogue()).setup_delay = SECOND
    assert rules.office_delay(office, 400_000, SECOND + rules.INTERVAL_US - 1) == SECOND
    assert rules.office_delay(office, 400_000, SECOND + rules.INTERVAL_US) is None
    assert rules.unexpired_dials(office.recent_dials, 400_000, 2 * SECOND) == []
    waiting = send_dial(new_dialogue())
    assert rules.unexpired_dials([waiting], 400_000, SECOND + 399_999) == [waiting]
    assert rules.unexpired_dials([waiting], 400_000, SECOND + 400_000) == []


def test_later_answer_removes_silent_dials_from_the_own_processors_load(exchange, new_dialogue, send_dial):
    silent = [send_dial(new_dialogue()) for _ in range(3)]
    assert rules.own_processor_delay(exchange.recent_dials, 400_000, SECOND) == SECOND
    later = send_dial(new_dialogue(destination=2), 2, sent_at=SECOND)
    rules.dialogue_established(exchange, DialogueEstablished(later.dialogue.id, 0, 60_000))
    assert exchange.recent_dials == [later] and exchange.by_number[1].recent_dials == silent


def test_lost_answers_of_few_offices_do_not_price_the_own_processor(exchange, new_dialogue, send_dial):
    for number in (1, 2):
        send_dial(new_dialogue(destination=number), number)
    send_dial(new_dialogue(), sent_at=SECOND).setup_delay = 60_000
    rules.interval_elapsed(exchange, SECOND + 100_000)
    assert exchange.own_price == 0


def test_delay_common_to_all_dials_prices_the_own_processor(exchange, new_dialogue, send_dial):
    for number in (1, 2, 1):
        send_dial(new_dialogue(destination=number), number).setup_delay = SECOND - 1
    rules.interval_elapsed(exchange, SECOND - 1)
    assert exchange.own_price > 0 and exchange.by_number[1].price == 0


def test_delay_of_one_office_prices_that_office(exchange, new_dialogue, send_dial):
    send_dial(new_dialogue()).setup_delay = 2 * SECOND
    send_dial(new_dialogue(destination=2), 2, sent_at=2 * SECOND).setup_delay = 50_000
    rules.interval_elapsed(exchange, 2 * SECOND + 60_000)
    assert exchange.own_price == 0 and exchange.by_number[1].price > 0 == exchange.by_number[2].price


def test_dial_of_a_caller_that_left_is_no_longer_pending(exchange, new_dialogue, send_dial):
    early, late = new_dialogue(), new_dialogue()
    send_dial(early), send_dial(late)
    rules.caller_left(exchange, CallerLeft(early.id), exchange.delay_bound)
    rules.caller_left(exchange, CallerLeft(late.id), SECOND)
    assert [dial.setup_delay for dial in exchange.by_number[1].recent_dials] == [
        SECOND
    ] and not exchange.dialogues


@pytest.mark.parametrize(
    ("cause", "expected"),
    [
        (ReleaseCause.PROCESSOR_FULL, 2),
        (ReleaseCause.FAR_PROCESSOR_FULL, 1),
        (ReleaseCause.TURNED_BACK, None),
    ],
)
def test_failure_is_attributed_to_the_processor_that_was_full(
    exchange, new_dialogue, send_dial, cause, expected
):
    dialogue = new_dialogue()
    send_dial(dialogue, number=2)
    rules.dial_ended(exchange, dial_end(dialogue, "office-2", DialResult.FULL, cause), SECOND)
    assert [n for n in (1, 2) if exchange.by_number[n].full_count] == ([expected] if expected else [])


def test_silent_dial_is_cancelled_in_time_to_dial_again_unless_a_processor_has_a_price(
    exchange, new_dialogue, send_dial
):
    dial = send_dial(new_dialogue())  # target latency 2 s, release wait 0.3 s
    exchange.usual_delay = 100_000
    assert not rules.answer_presumed_lost(exchange, dial, 700_000)
    assert rules.answer_presumed_lost(exchange, dial, 800_000)
    assert not rules.answer_presumed_lost(exchange, dial, 1_600_000)
    exchange.usual_delay = 250_000
    assert not rules.answer_presumed_lost(exchange, dial, 800_000)
    exchange.usual_delay, exchange.by_number[1].price = 100_000, 0.1
    assert not rules.answer_presumed_lost(exchange, dial, 800_000)


def test_interval_cancels_a_lost_dial_and_leaves_established_ones(exchange, new_dialogue, send_dial):
    lost, established = send_dial(new_dialogue()), send_dial(new_dialogue(destination=2), 2)
    exchange.unanswered_dials, established.setup_delay = [lost, established], 50_000
    assert Cancel(lost.dialogue.id, 0) in rules.interval_elapsed(exchange, 900_000)
    assert exchange.unanswered_dials == [lost]


def test_fault_prices_its_office_and_is_not_dialled_again(exchange, new_dialogue, send_dial):
    direct, via_tandem = new_dialogue(), new_dialogue(destination=1)
    send_dial(direct), send_dial(via_tandem, number=2)
    actions = rules.dial_ended(exchange, dial_end(direct, "office-1", DialResult.FAULT), SECOND)
    assert isinstance(actions[0], Reject) and exchange.by_number[1].full_count == 1
    rules.dial_ended(exchange, dial_end(via_tandem, "office-2", DialResult.FAULT), SECOND)
    assert exchange.by_number[2].full_count == 0 and 1 in exchange.by_number[2].blocked_destinations


def test_one_fault_after_an_answer_counts_for_its_dialogue_and_two_for_the_office(
    exchange, new_dialogue, send_dial
):
    # Callers of unassigned numbers used to raise the price of whole offices and block tandems for five seconds.
    # An office that fails most set-ups must still get a price.
    for number in (1, 2):
        answered = new_dialogue()
        send_dial(answered, number)
        rules.dialogue_established(exchange, DialogueEstablished(answered.id, 0, 40_000))
    pairs = [(new_dialogue(), new_dialogue()) for _ in range(2)]
    for times, (direct, via_tandem) in enumerate(pairs):
        send_dial(direct), send_dial(via_tandem, number=2)
        assert isinstance(
            rules.dial_ended(exchange, dial_end(direct, "office-1", DialResult.FAULT), SECOND)[0], Reject
        )
        rules.dial_ended(exchange, dial_end(via_tandem, "office-2", DialResult.FAULT), SECOND)
        assert exchange.by_number[1].full_count == times and bool(
            exchange.by_number[2].blocked_destinations
        ) == bool(times)


def test_tandem_that_waited_in_vain_is_not_blocked_while_it_connects_others(
    exchange, new_dialogue, send_dial
):
    # With lost answers, three such failures used to block the only tandem for most of the run: 250 dialogues rejected.
    answered = send_dial(new_dialogue(), 2)
    answered.setup_delay, answered.answered = 40_000, True
    waited, immediate = new_dialogue(), new_dialogue()
    send_dial(waited, number=2, sent_at=0), send_dial(immediate, number=2, sent_at=SECOND - 50_000)
    rules.dial_ended(
        exchange, dial_end(waited, "office-2", DialResult.FULL, ReleaseCause.TURNED_BACK), SECOND
    )
    assert not exchange.by_number[2].blocked_destinations
    rules.dial_ended(
        exchange, dial_end(immediate, "office-2", DialResult.FULL, ReleaseCause.TURNED_BACK), SECOND
    )
    assert exchange.by_number[2].blocked_destinations


# routes


def test_dial_not_sent_frees_its_circuits_and_takes_another_route(exchange, new_dialogue, send_dial):
    dialogue = new_dialogue()
    send_dial(dialogue)
    exchange.by_number[1].free_circuits = 5
    event = dial_end(dialogue, "office-1", DialResult.NOT_SENT, ReleaseCause.NO_CIRCUIT)
    assert rules.dial_ended(exchange, event, SECOND)[0].office == "office-2"
    assert exchange.by_number[1].free_circuits == 6


def test_direct_route_first_then_tandem_then_none(exchange, new_dialogue):
    dialogue = new_dialogue()
    assert rules.best_route(exchange, dialogue, 0).number == 1
    exchange.by_number[1].free_circuits = 0
    assert rules.best_route(exchange, dialogue, 0).number == 2
    exchange.by_number[2].free_circuits = 1
    assert rules.best_route(exchange, dialogue, 0) is None


def test_reservation_shrinks_where_tandem_routes_are_the_normal_ones(exchange):
    office = exchange.by_number[1]
    assert [rules.reserved_circuits(office, direct_share) for direct_share in (1.0, 0.75, 0.5, 0.2)] == [
        4,
        2,
        1,
        1,
    ]
    exchange.by_number[2].group_size = 0
    rules.interval_elapsed(exchange, SECOND)
    assert exchange.direct_share == 0.5


def test_price_of_a_destination_sheds_low_value_dialogues_and_keeps_high_value_ones(exchange, new_dialogue):
    exchange.by_number[1].price = 2.0
    assert rules.best_route(exchange, new_dialogue(CHEAP), 0) is None
    assert rules.best_route(exchange, new_dialogue(DEAR), 0) is not None


def test_price_near_the_value_admits_a_share(exchange, new_dialogue):
    exchange.by_number[1].price = 1.0
    admitted = [
        rules.best_route(exchange, new_dialogue(random_draw=i / 100), 0) is not None for i in range(100)
    ]
    assert 10 < sum(admitted) < 60


def test_last_circuit_of_a_large_group_is_reserved_for_high_value_dialogues(exchange, new_dialogue):
    exchange.by_number[1].free_circuits = 1
    exchange.by_number[2].free_circuits = 0
    assert rules.best_route(exchange, new_dialogue(CHEAP), 0) is None
    assert rules.best_route(exchange, new_dialogue(DEAR), 0).number == 1


def test_transit_goes_only_to_its_destination_and_leaves_reserved_circuits(exchange, new_dialogue):
    dialogue = new_dialogue(transit=True)
    assert rules.best_route(exchange, dialogue, 0).number == 1
    exchange.by_number[1].free_circuits = 2
    assert rules.best_route(exchange, dialogue, 0) is None


def test_tandem_that_turned_back_is_blocked_and_a_proven_one_is_preferred(exchange, new_dialogue, send_dial):
    third = rules.Office("office-3", 3, OfficeState.READY, None, free_circuits=20, group_size=30)
    exchange.offices["office-3"] = exchange.by_number[3] = third
    exchange.by_number[1].free_circuits = 0
    assert rules.best_route(exchange, new_dialogue(), 0).number == 2
    third.proven_destinations.add(1)
    assert rules.best_route(exchange, new_dialogue(), 0).number == 3
    dialogue = new_dialogue()
    send_dial(dialogue, number=3)
    actions = rules.dial_ended(
        exchange, dial_end(dialogue, "office-3", DialResult.FULL, ReleaseCause.TURNED_BACK), SECOND
    )
    assert actions[0].office == "office-2"
    assert rules.best_route(exchange, new_dialogue(), 2 * SECOND).number == 2


def test_pools_prefer_the_first_choice_and_keep_to_the_traffic_class(exchange, new_dialogue):
    exchange.topology = ServerTopology(None, 2, False, 0)
    skilled = TrafficClass("skilled", 1.0, 0.2, SECOND, 9 * SECOND, 1, SECOND, (1, 2), True, 0)
    assert rules.best_route(exchange, new_dialogue(skilled), 0).number == 1
    exchange.by_number[1].free_circuits = 0
    assert rules.best_route(exchange, new_dialogue(skilled), 0).number == 2


def test_number_with_all_lines_busy_is_blocked_until_a_dialogue_is_established(
    exchange, new_dialogue, send_dial
):
    dialogue = new_dialogue()
    send_dial(dialogue)
    rules.dial_ended(
        exchange, dial_end(dialogue, "office-1", DialResult.FAULT, ReleaseCause.LINES_BUSY), SECOND
    )
    other = new_dialogue()
    other.called_number = dialogue.called_number
    assert isinstance(rules.route_dialogue(exchange, other, SECOND + 1)[0], Reject)
    again = new_dialogue()
    again.called_number = dialogue.called_number
    assert isinstance(rules.route_dialogue(exchange, again, dialogue.called_number.blocked_until)[0], Send)
    rules.dialogue_established(exchange, DialogueEstablished(again.id, 0, 10))
    assert dialogue.called_number.pause == 0


def test_redial_counts_from_the_first_try_and_late_ones_leave_reserved_circuits(exchange, new_dialogue):
    dialogue = new_dialogue()
    assert rules.current_value(exchange, dialogue, CHEAP.target_latency) == CHEAP.value
    exchange.own_price = 0.1
    assert rules.current_value(exchange, dialogue, CHEAP.target_latency) < CHEAP.value
    exchange.by_number[1].free_circuits = exchange.by_number[2].free_circuits = 3
    assert rules.best_route(exchange, dialogue, 0) is not None
    assert rules.best_route(exchange, dialogue, CHEAP.target_latency + 1) is None


def test_numbers_called_are_kept_up_to_a_limit_those_called_last(exchange, new_dialogue):
    # Guards against growing until the memory limit: clients that call a new number each time added one a request.
    def call(key):
        event = DialogueArrived(len(exchange.dialogues), "cheap", 0, key, SECOND, 1, None, False, False)
        rules.dialogue_arrived(exchange, event, SECOND)

    call("called again")
    call("called once")
    for n in range(rules.MAX_CALLED_NUMBERS - 1):
        call(f"new {n}")
        if n == 0:
            call("called again")
    assert len(exchange.called_numbers) == rules.MAX_CALLED_NUMBERS
    assert "called again" in exchange.called_numbers and "called once" not in exchange.called_numbers
    call("the last")
    assert list(exchange.called_numbers)[-1] == "the last"
    assert (
        len(exchange.called_numbers) == rules.MAX_CALLED_NUMBERS and "called again" in exchange.called_numbers
    )


def test_unmarked_redial_is_recognised_by_the_called_number():
    called = rules.CalledNumber()
    assert rules.is_first_try(called, CHEAP, False, False, 0)
    called.first_try_at = 0
    assert not rules.is_first_try(called, CHEAP, False, False, SECOND)
    assert rules.is_first_try(called, CHEAP, False, True, SECOND)
    assert rules.is_first_try(called, CHEAP, False, False, CHEAP.deadline + 1)


# messages between call servers


def test_peer_message_steers_the_choice_of_tandem(exchange, new_dialogue):
    third = rules.Office("office-3", 3, OfficeState.READY, None, free_circuits=20, group_size=30)
    exchange.offices["office-3"] = exchange.by_number[3] = third
    exchange.by_number[1].free_circuits = 0
    rules.apply_peer_message(
        exchange, PeerMessageReceived(9, bytes((rules.PEER_MESSAGE_FORMAT, 2, 0, 0))), SECOND
    )
    assert rules.best_route(exchange, new_dialogue(), SECOND) is third
    rules.apply_peer_message(
        exchange, PeerMessageReceived(9, bytes((rules.PEER_MESSAGE_FORMAT, 2, 0, 5))), SECOND
    )
    assert rules.best_route(exchange, new_dialogue(), SECOND).number == 2
    assert rules.reported_capacity(exchange, exchange.by_number[2], 1, 9 * SECOND) is None


@pytest.mark.parametrize("text", [b"", b"\x01", b"\x02\x01\x00\x05", b"\x01\x63\x05"])
def test_peer_message_that_is_empty_truncated_or_unknown_is_ignored(exchange, text):
    rules.apply_peer_message(exchange, PeerMessageReceived(9, text), SECOND)
    assert not any(office.reported_spare for office in exchange.offices.values())


def test_peer_message_reports_circuits_beyond_the_reserved_ones(exchange):
    exchange.by_number[2].free_circuits = 2
    assert rules.encode_peer_message(exchange) == bytes((rules.PEER_MESSAGE_FORMAT, 0, 26, 26, 0))
    exchange.permissions = Permissions(4, True, False, True, 0, True)
    assert any(isinstance(action, SendPeerMessage) for action in rules.interval_elapsed(exchange, SECOND))
    exchange.topology = ServerTopology(256, 300, False, 0)  # a number that does not fit into a peer message
    assert len(rules.interval_elapsed(exchange, 99 * SECOND)) == 1


# bad or extreme input: one valid answer for every dialogue


def test_office_with_a_new_start_under_its_id_is_cold_and_has_no_price(exchange):
    office = exchange.by_number[1]
    office.price, office.usual_rate = 2.0, 4.0
    rules.office_list_received(
        exchange,
        OfficeListReceived(ListKind.CHANGES, (OfficeEntry("office-1", 1, OfficeState.READY, SECOND),)),
    )
    assert exchange.by_number[1] is office and office.price == 0.0 and office.usual_rate == 4.0
    assert rules.is_cold(exchange.cold_start, office, 2 * SECOND)
    assert not rules.has_cold_start_budget(exchange.cold_start, office, SECOND)


def test_many_peers_and_no_trunk_groups_reject_at_once(exchange, new_dialogue):
    for number in range(3, 300):
        exchange.by_number[number] = rules.Office(f"o{number}", number, OfficeState.READY, None, group_size=0)
    exchange.by_number[1].free_circuits = exchange.by_number[
        2
    ].free_circuits = -1  # shrunk below what is in use
    for destination in (1, 3, 299, 999, -1):
        dialogue = new_dialogue(destination=destination)
        assert isinstance(rules.route_dialogue(exchange, dialogue, 0)[0], Reject)
    assert len(rules.encode_peer_message(exchange)) == 256


@pytest.mark.parametrize(
    ("max_dials", "release_wait", "value", "width"),
    [(1, SECOND, 1.0, 1), (4, 60 * SECOND, 1.0, 1), (4, 0, 0.0, 1), (4, 0, 1.0, 99)],
)
def test_extreme_settings_end_in_one_answer(exchange, new_dialogue, max_dials, release_wait, value, width):
    exchange.permissions = Permissions(max_dials, True, False, False, 0, False)
    exchange.release = ReleaseRule(release_wait, 0)
    dialogue = new_dialogue(TrafficClass("any", value, 0.0, SECOND, 3 * SECOND, width, SECOND, (), True, 0))
    dialogue.width = width
    actions, dial, now = rules.route_dialogue(exchange, dialogue, 0), 0, 0
    while not isinstance(actions[0], Reject | Fail):
        now += actions[0].delay if isinstance(actions[0], StartTimer) else SECOND // 2
        if isinstance(actions[0], StartTimer):
            actions = rules.route_dialogue(exchange, dialogue, now)
        else:
            event = dial_end(dialogue, actions[0].office, DialResult.RESET, dial=dial)
            actions, dial = rules.dial_ended(exchange, event, now), dial + 1
    assert dialogue.id not in exchange.dialogues and len(actions) == 1 and dial <= max_dials


# start, random numbers and discovery


def test_start_starts_the_interval_and_subscribes_where_required(exchange):
    event = ServerStarted(
        5,
        (CHEAP,),
        ServerTopology(0, 1, True, SECOND),
        exchange.permissions,
        exchange.release,
        exchange.cold_start,
    )
    assert rules.decide(Exchange(), event, 0) == [
        StartTimer(rules.INTERVAL_US, rules.INTERVAL_TIMER),
        SubscribeDiscovery(),
    ]


def test_failed_discovery_is_subscribed_again_where_required(exchange):
    exchange.topology = ServerTopology(0, 1, True, SECOND)
    rules.office_list_received(exchange, OfficeListReceived(ListKind.FAILED, ()))
    assert SubscribeDiscovery() in rules.interval_elapsed(exchange, SECOND)


def test_same_seed_same_actions(exchange):
    def run():
        fresh_exchange = Exchange()
        configuration = (exchange.topology, exchange.permissions, exchange.release, exchange.cold_start)
        rules.decide(fresh_exchange, ServerStarted(11, (CHEAP,), *configuration), 0)
        entries = tuple(OfficeEntry(f"o{n}", n, OfficeState.READY, None) for n in range(4))
        rules.decide(fresh_exchange, OfficeListReceived(ListKind.CACHED, entries), 0)
        arrivals = (
            DialogueArrived(n, "cheap", 1 + n % 3, None, SECOND, 1, None, False, False) for n in range(50)
        )
        return [rules.decide(fresh_exchange, arrival, n) for n, arrival in enumerate(arrivals)]

    assert run() == run()


def test_a_target_latency_of_zero_leaves_a_positive_delay_bound(exchange):
    """The delay bound is a quarter of the shortest target latency, and other values are divided by it."""
    traffic_class = TrafficClass("at-once", 1.0, 0.0, 0, SECOND, 1, SECOND, (), True, 0)
    opened = ServerStarted(
        1, (traffic_class,), exchange.topology, exchange.permissions, exchange.release, exchange.cold_start
    )
    fresh_exchange = Exchange()
    rules.decide(fresh_exchange, opened, 0)
    assert (
        fresh_exchange.delay_bound == 1
        and rules.relative_load(fresh_exchange.delay_bound, None, 5, None, 0) == 5.0
    )


@pytest.mark.parametrize("reported", [[], [3, 3, 3]])
def test_a_negative_destination_is_in_no_peer_report(exchange, new_dialogue, reported):
    """A negative index would address another destination's value, or raise an IndexError during a dial."""
    exchange.topology = ServerTopology(None, 2, False, 0)
    traffic_class = TrafficClass("any", 1.0, 0.2, SECOND, 9 * SECOND, 1, SECOND, (1,), True, 0)
    exchange.by_number[1].reported_spare, exchange.by_number[1].reported_at = list(reported), 0
    dialogue = new_dialogue(traffic_class, destination=-1)
    [action] = rules.route_dialogue(exchange, dialogue, 0)
    assert isinstance(action, Send) and exchange.by_number[1].reported_spare == reported
    assert rules.reported_capacity(exchange, exchange.by_number[1], -1, 0) is None
