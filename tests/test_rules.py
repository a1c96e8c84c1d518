"""The decisions alone: each test builds its state and calls one function."""

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

NOTHING = OfficeReport()


def ended(dialogue, office, ending, blame=ReleaseCause.NONE, over=False, dial=0):
    return DialEnded(dialogue.id, dial, office, ending, blame, 0, over, NOTHING)


# rule 1: one final answer, and nothing after it


def test_given_up_dialogue_is_answered_once_and_forgotten(exchange, new_dialogue):
    dialogue = new_dialogue()
    assert rules.final_answer(exchange, dialogue, SECOND) == [Reject(dialogue.id, CHEAP.target_latency // 4)]
    assert dialogue.id not in exchange.dialogues


def test_time_out_at_the_outer_limit_is_forfeited(exchange, new_dialogue, dial_out):
    dialogue = new_dialogue()
    dial_out(dialogue)
    out = rules.dial_ended(exchange, ended(dialogue, "office-1", DialResult.TIMED_OUT), 3 * SECOND)
    assert out == [Fail(dialogue.id)]


def test_events_without_a_living_dialogue_do_nothing(exchange, new_dialogue):
    gone = new_dialogue()
    exchange.dialogues.clear()
    assert rules.decide(exchange, ended(gone, "office-1", DialResult.RESET), SECOND) == []
    assert rules.decide(exchange, DialogueEstablished(gone.id, 0, 5), SECOND) == []
    assert rules.decide(exchange, CallerLeft(gone.id), SECOND) == []
    assert rules.decide(exchange, TimerFired(gone.id + 1), SECOND) == []
    assert rules.decide(exchange, OfficeReported("nowhere", True, True, NOTHING), SECOND) == []


def test_a_use_case_that_may_have_run_is_not_dialled_again(exchange, new_dialogue, dial_out):
    once = TrafficClass("once", 1.0, 0.2, SECOND, 9 * SECOND, 1, SECOND, (), False, 0)
    dialogue = new_dialogue(once)
    dial_out(dialogue)
    out = rules.dial_ended(exchange, ended(dialogue, "office-1", DialResult.FAULT), SECOND)
    assert out == [Fail(dialogue.id)]


# rules 2 and 5: one dial at a time, and the release wait


@pytest.mark.parametrize("ending", [DialResult.TIMED_OUT, DialResult.RESET, DialResult.CANCELLED])
def test_release_wait_comes_before_the_next_dial(exchange, new_dialogue, dial_out, ending):
    dialogue = new_dialogue()
    dial_out(dialogue)
    out = rules.dial_ended(exchange, ended(dialogue, "office-1", ending), SECOND)
    assert out == [StartTimer(300_000, dialogue.id + 1)]
    assert rules.route_dialogue(exchange, dialogue, SECOND + 299_999) == [StartTimer(1, dialogue.id + 1)]
    assert isinstance(rules.route_dialogue(exchange, dialogue, SECOND + 300_000)[0], Send)


def test_a_timer_does_not_dial_while_a_dial_is_out(exchange, new_dialogue, dial_out):
    dialogue = new_dialogue()
    dial_out(dialogue)
    assert rules.decide(exchange, TimerFired(dialogue.id + 1), SECOND) == []


def test_no_more_dials_than_allowed(exchange, new_dialogue, dial_out):
    dialogue = new_dialogue()
    for _ in range(4):
        dial_out(dialogue)
    dialogue.pending_dial = None
    assert isinstance(rules.route_dialogue(exchange, dialogue, SECOND)[0], Reject)


# rule 3: drains


@pytest.mark.parametrize("standing", [OfficeState.DRAINING, OfficeState.GONE])
def test_nothing_new_to_an_office_that_drains_or_is_gone(exchange, new_dialogue, standing):
    rules.office_list_received(
        exchange, OfficeListReceived(ListKind.CHANGES, (OfficeEntry("office-1", 1, standing, None),))
    )
    assert rules.best_route(exchange, new_dialogue(), 0) is None
    assert rules.best_route(exchange, new_dialogue(destination=2), 0) is exchange.offices["office-2"]


def test_office_missing_from_a_whole_list_is_gone_and_a_new_one_takes_its_number(exchange):
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


def test_cold_office_gets_a_bounded_share_of_what_is_usual(exchange):
    office = exchange.by_number[1]
    office.usual_rate, office.started_at = 10.0, 0
    taken = 0
    for now in range(0, 3 * SECOND, 10_000):
        if rules.has_cold_start_budget(exchange.cold_start, office, now):
            office.budget -= 1
            taken += 1
    assert (
        0 < taken <= exchange.cold_start.multiple * 0.6 * 10.0 * 3
    )  # the share has grown from 0.4 to under 0.6
    assert not rules.is_cold(exchange.cold_start, office, exchange.cold_start.warm_after)


def test_first_dials_of_many_servers_to_a_cold_office_come_spread(exchange):
    offices = [rules.Office(f"o{n}", n, OfficeState.READY, SECOND, initial_budget=n / 60) for n in range(60)]
    at_once = [
        office for office in offices if rules.has_cold_start_budget(exchange.cold_start, office, SECOND)
    ]
    later = [
        office for office in offices if rules.has_cold_start_budget(exchange.cold_start, office, 3 * SECOND)
    ]
    assert len(at_once) == 0 and 15 < len(later) < 45


# prices


def test_price_steps_up_over_the_bound_down_under_it_and_decays_unheard():
    assert rules.adjusted_price(0.0, 1.5, 1.0, 5.0) > 0
    assert 0 < rules.adjusted_price(2.0, 0.5, 1.0, 5.0) < 2.0
    assert rules.adjusted_price(0.05, 0.0, 1.0, 5.0) == 0.0
    assert 0 < rules.adjusted_price(2.0, None, 1.0, 5.0) < 2.0
    assert rules.adjusted_price(3.4, 9.0, 1.0, 5.0) == 3.5


def test_price_of_an_office_seldom_called_outlives_the_pause_between_dials(exchange):
    seldom, busy = exchange.by_number[1], exchange.by_number[2]
    seldom.usual_rate, busy.usual_rate = 0.2, 5.0
    seldom.price = busy.price = 1.0
    for second in range(4):
        rules.interval_elapsed(exchange, second * SECOND)
    assert seldom.price > 0.5 and busy.price == pytest.approx(0.7**4)


def test_load_is_taken_from_reports_first_then_from_delay_and_full_is_over():
    assert rules.relative_load(400_000, 0.45, 9 * SECOND, 9 * SECOND, 0) == pytest.approx(0.5)
    assert rules.relative_load(400_000, None, None, 400_000, 0) == pytest.approx(1.0)
    assert rules.relative_load(400_000, None, None, None, 0) is None
    assert rules.relative_load(400_000, 0.1, None, None, 1) > 1


def test_silence_counts_as_delay_but_one_lost_dial_does_not(exchange, new_dialogue, dial_out):
    office = exchange.by_number[1]
    dial_out(new_dialogue())
    assert rules.office_delay(office, 400_000, 2 * SECOND) is None
    dial_out(new_dialogue())
    assert rules.office_delay(office, 400_000, 2 * SECOND) == 2 * SECOND
    for _ in range(2):
        dial_out(new_dialogue(), sent=2 * SECOND).setup_delay = 60_000
    assert rules.office_delay(office, 400_000, 2 * SECOND + 70_000) == 60_000


def test_delay_is_a_sign_only_while_it_is_new(exchange, new_dialogue, dial_out):
    office = exchange.by_number[1]
    dial_out(new_dialogue()).setup_delay = SECOND
    assert rules.office_delay(office, 400_000, SECOND + rules.INTERVAL_US - 1) == SECOND
    assert rules.office_delay(office, 400_000, SECOND + rules.INTERVAL_US) is None
    assert rules.unexpired_dials(office.recent_dials, 400_000, 2 * SECOND) == []
    waiting = dial_out(new_dialogue())
    assert rules.unexpired_dials([waiting], 400_000, SECOND + 399_999) == [waiting]
    assert rules.unexpired_dials([waiting], 400_000, SECOND + 400_000) == []


def test_answer_overtaking_silence_clears_the_own_processor(exchange, new_dialogue, dial_out):
    silent = [dial_out(new_dialogue()) for _ in range(3)]
    assert rules.own_processor_delay(exchange.recent_dials, 400_000, SECOND) == SECOND
    later = dial_out(new_dialogue(destination=2), 2, sent=SECOND)
    rules.dialogue_established(exchange, DialogueEstablished(later.dialogue.id, 0, 60_000))
    assert exchange.recent_dials == [later] and exchange.by_number[1].recent_dials == silent


def test_lost_answers_of_few_offices_do_not_price_the_own_processor(exchange, new_dialogue, dial_out):
    for number in (1, 2):
        dial_out(new_dialogue(destination=number), number)
    dial_out(new_dialogue(), sent=SECOND).setup_delay = 60_000
    rules.interval_elapsed(exchange, SECOND + 100_000)
    assert exchange.own_price == 0


def test_delay_common_to_all_dials_prices_the_own_processor(exchange, new_dialogue, dial_out):
    for number in (1, 2, 1):
        dial_out(new_dialogue(destination=number), number).setup_delay = SECOND - 1
    rules.interval_elapsed(exchange, SECOND - 1)
    assert exchange.own_price > 0 and exchange.by_number[1].price == 0


def test_delay_of_one_office_prices_that_office(exchange, new_dialogue, dial_out):
    dial_out(new_dialogue()).setup_delay = 2 * SECOND
    dial_out(new_dialogue(destination=2), 2, sent=2 * SECOND).setup_delay = 50_000
    rules.interval_elapsed(exchange, 2 * SECOND + 60_000)
    assert exchange.own_price == 0 and exchange.by_number[1].price > 0 == exchange.by_number[2].price


def test_dial_of_a_caller_who_left_waits_no_longer(exchange, new_dialogue, dial_out):
    early, late = new_dialogue(), new_dialogue()
    dial_out(early), dial_out(late)
    rules.caller_left(exchange, CallerLeft(early.id), exchange.delay_bound)
    rules.caller_left(exchange, CallerLeft(late.id), SECOND)
    assert [dial.setup_delay for dial in exchange.by_number[1].recent_dials] == [
        SECOND
    ] and not exchange.dialogues


@pytest.mark.parametrize(
    ("blame", "blamed"),
    [
        (ReleaseCause.PROCESSOR_FULL, 2),
        (ReleaseCause.FAR_PROCESSOR_FULL, 1),
        (ReleaseCause.TURNED_BACK, None),
    ],
)
def test_blame_goes_to_the_processor_that_was_full(exchange, new_dialogue, dial_out, blame, blamed):
    dialogue = new_dialogue()
    dial_out(dialogue, number=2)
    rules.dial_ended(exchange, ended(dialogue, "office-2", DialResult.FULL, blame), SECOND)
    assert [n for n in (1, 2) if exchange.by_number[n].full_count] == ([blamed] if blamed else [])


def test_silent_dial_is_called_off_in_time_to_dial_again_unless_a_processor_is_priced(
    exchange, new_dialogue, dial_out
):
    dial = dial_out(new_dialogue())  # agreed time 2 s, release wait 0.3 s
    exchange.usual_delay = 100_000
    assert not rules.answer_presumed_lost(exchange, dial, 700_000)
    assert rules.answer_presumed_lost(exchange, dial, 800_000)
    assert not rules.answer_presumed_lost(exchange, dial, 1_600_000)
    exchange.usual_delay = 250_000
    assert not rules.answer_presumed_lost(exchange, dial, 800_000)
    exchange.usual_delay, exchange.by_number[1].price = 100_000, 0.1
    assert not rules.answer_presumed_lost(exchange, dial, 800_000)


def test_interval_calls_off_a_lost_dial_and_leaves_standing_ones(exchange, new_dialogue, dial_out):
    lost, stands = dial_out(new_dialogue()), dial_out(new_dialogue(destination=2), 2)
    exchange.unanswered_dials, stands.setup_delay = [lost, stands], 50_000
    assert Cancel(lost.dialogue.id, 0) in rules.interval_elapsed(exchange, 900_000)
    assert exchange.unanswered_dials == [lost]


def test_fault_prices_its_office_and_is_not_dialled_again(exchange, new_dialogue, dial_out):
    direct, round_about = new_dialogue(), new_dialogue(destination=1)
    dial_out(direct), dial_out(round_about, number=2)
    out = rules.dial_ended(exchange, ended(direct, "office-1", DialResult.FAULT), SECOND)
    assert isinstance(out[0], Reject) and exchange.by_number[1].full_count == 1
    rules.dial_ended(exchange, ended(round_about, "office-2", DialResult.FAULT), SECOND)
    assert exchange.by_number[2].full_count == 0 and 1 in exchange.by_number[2].blocked_destinations


def test_one_fault_after_an_answer_is_its_dialogues_own_and_two_are_the_offices(
    exchange, new_dialogue, dial_out
):
    # On the platform, callers of numbers that nobody has priced whole offices and shut tandems for five seconds; an
    # office that fails most set-ups still shows.
    for number in (1, 2):
        answered = new_dialogue()
        dial_out(answered, number)
        rules.dialogue_established(exchange, DialogueEstablished(answered.id, 0, 40_000))
    pairs = [(new_dialogue(), new_dialogue()) for _ in range(2)]
    for times, (direct, round_about) in enumerate(pairs):
        dial_out(direct), dial_out(round_about, number=2)
        assert isinstance(
            rules.dial_ended(exchange, ended(direct, "office-1", DialResult.FAULT), SECOND)[0], Reject
        )
        rules.dial_ended(exchange, ended(round_about, "office-2", DialResult.FAULT), SECOND)
        assert exchange.by_number[1].full_count == times and bool(
            exchange.by_number[2].blocked_destinations
        ) == bool(times)


def test_tandem_that_turned_back_after_waiting_in_vain_does_not_rest_while_it_leads_on(
    exchange, new_dialogue, dial_out
):
    # On a day of lost answers three such turn-backs shut the only tandem for most of it: 250 dialogues pushed back.
    answered = dial_out(new_dialogue(), 2)
    answered.setup_delay, answered.answered = 40_000, True
    waited, at_once = new_dialogue(), new_dialogue()
    dial_out(waited, number=2, sent=0), dial_out(at_once, number=2, sent=SECOND - 50_000)
    rules.dial_ended(exchange, ended(waited, "office-2", DialResult.FULL, ReleaseCause.TURNED_BACK), SECOND)
    assert not exchange.by_number[2].blocked_destinations
    rules.dial_ended(exchange, ended(at_once, "office-2", DialResult.FULL, ReleaseCause.TURNED_BACK), SECOND)
    assert exchange.by_number[2].blocked_destinations


# routes


def test_dial_not_sent_gives_its_circuits_back_and_goes_another_way(exchange, new_dialogue, dial_out):
    dialogue = new_dialogue()
    dial_out(dialogue)
    exchange.by_number[1].free_circuits = 5
    event = ended(dialogue, "office-1", DialResult.NOT_SENT, ReleaseCause.NO_CIRCUIT)
    assert rules.dial_ended(exchange, event, SECOND)[0].office == "office-2"
    assert exchange.by_number[1].free_circuits == 6


def test_direct_first_then_tandem_then_pushed_back(exchange, new_dialogue):
    dialogue = new_dialogue()
    assert rules.best_route(exchange, dialogue, 0).number == 1
    exchange.by_number[1].free_circuits = 0
    assert rules.best_route(exchange, dialogue, 0).number == 2
    exchange.by_number[2].free_circuits = 1
    assert rules.best_route(exchange, dialogue, 0) is None


def test_reservation_shrinks_where_tandems_are_the_plan(exchange):
    office = exchange.by_number[1]
    assert [rules.reserved_circuits(office, linked) for linked in (1.0, 0.75, 0.5, 0.2)] == [4, 2, 1, 1]
    exchange.by_number[2].group_size = 0
    rules.interval_elapsed(exchange, SECOND)
    assert exchange.direct_share == 0.5


def test_priced_destination_sheds_cheap_dialogues_and_keeps_dear_ones(exchange, new_dialogue):
    exchange.by_number[1].price = 2.0
    assert rules.best_route(exchange, new_dialogue(CHEAP), 0) is None
    assert rules.best_route(exchange, new_dialogue(DEAR), 0) is not None


def test_price_near_the_payoff_admits_a_share(exchange, new_dialogue):
    exchange.by_number[1].price = 1.0
    sent = [rules.best_route(exchange, new_dialogue(chance=i / 100), 0) is not None for i in range(100)]
    assert 10 < sum(sent) < 60


def test_last_circuit_of_a_large_group_is_kept_for_dear_dialogues(exchange, new_dialogue):
    exchange.by_number[1].free_circuits = 1
    exchange.by_number[2].free_circuits = 0
    assert rules.best_route(exchange, new_dialogue(CHEAP), 0) is None
    assert rules.best_route(exchange, new_dialogue(DEAR), 0).number == 1


def test_transit_goes_only_to_its_destination_and_leaves_circuits(exchange, new_dialogue):
    dialogue = new_dialogue(transit=True)
    assert rules.best_route(exchange, dialogue, 0).number == 1
    exchange.by_number[1].free_circuits = 2
    assert rules.best_route(exchange, dialogue, 0) is None


def test_tandem_that_turned_back_rests_and_one_that_led_on_is_preferred(exchange, new_dialogue, dial_out):
    third = rules.Office("office-3", 3, OfficeState.READY, None, free_circuits=20, group_size=30)
    exchange.offices["office-3"] = exchange.by_number[3] = third
    exchange.by_number[1].free_circuits = 0
    assert rules.best_route(exchange, new_dialogue(), 0).number == 2
    third.proven_destinations.add(1)
    assert rules.best_route(exchange, new_dialogue(), 0).number == 3
    dialogue = new_dialogue()
    dial_out(dialogue, number=3)
    out = rules.dial_ended(
        exchange, ended(dialogue, "office-3", DialResult.FULL, ReleaseCause.TURNED_BACK), SECOND
    )
    assert out[0].office == "office-2"
    assert rules.best_route(exchange, new_dialogue(), 2 * SECOND).number == 2


def test_pools_prefer_the_first_choice_and_keep_to_the_use_case(exchange, new_dialogue):
    exchange.topology = ServerTopology(None, 2, False, 0)
    skilled = TrafficClass("skilled", 1.0, 0.2, SECOND, 9 * SECOND, 1, SECOND, (1, 2), True, 0)
    assert rules.best_route(exchange, new_dialogue(skilled), 0).number == 1
    exchange.by_number[1].free_circuits = 0
    assert rules.best_route(exchange, new_dialogue(skilled), 0).number == 2


def test_number_with_all_lines_busy_rests_until_one_stands(exchange, new_dialogue, dial_out):
    dialogue = new_dialogue()
    dial_out(dialogue)
    rules.dial_ended(exchange, ended(dialogue, "office-1", DialResult.FAULT, ReleaseCause.LINES_BUSY), SECOND)
    other = new_dialogue()
    other.called_number = dialogue.called_number
    assert isinstance(rules.route_dialogue(exchange, other, SECOND + 1)[0], Reject)
    again = new_dialogue()
    again.called_number = dialogue.called_number
    assert isinstance(rules.route_dialogue(exchange, again, dialogue.called_number.blocked_until)[0], Send)
    rules.dialogue_established(exchange, DialogueEstablished(again.id, 0, 10))
    assert dialogue.called_number.pause == 0


def test_redial_counts_from_the_first_try_and_late_ones_leave_circuits(exchange, new_dialogue):
    dialogue = new_dialogue()
    assert rules.current_value(exchange, dialogue, CHEAP.target_latency) == CHEAP.value
    exchange.own_price = 0.1
    assert rules.current_value(exchange, dialogue, CHEAP.target_latency) < CHEAP.value
    exchange.by_number[1].free_circuits = exchange.by_number[2].free_circuits = 3
    assert rules.best_route(exchange, dialogue, 0) is not None
    assert rules.best_route(exchange, dialogue, CHEAP.target_latency + 1) is None


def test_unmarked_redial_is_known_by_the_number_called():
    called = rules.CalledNumber()
    assert rules.is_first_try(called, CHEAP, False, False, 0)
    called.first_try_at = 0
    assert not rules.is_first_try(called, CHEAP, False, False, SECOND)
    assert rules.is_first_try(called, CHEAP, False, True, SECOND)
    assert rules.is_first_try(called, CHEAP, False, False, CHEAP.deadline + 1)


# words between call servers


def test_word_of_a_peer_steers_tandems(exchange, new_dialogue):
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
def test_word_that_is_empty_cut_or_unknown_tells_nothing(exchange, text):
    rules.apply_peer_message(exchange, PeerMessageReceived(9, text), SECOND)
    assert not any(office.reported_spare for office in exchange.offices.values())


def test_word_tells_room_beyond_what_is_kept(exchange):
    exchange.by_number[2].free_circuits = 2
    assert rules.encode_peer_message(exchange) == bytes((rules.PEER_MESSAGE_FORMAT, 0, 26, 26, 0))
    exchange.permissions = Permissions(4, True, False, True, 0, True)
    assert any(isinstance(action, SendPeerMessage) for action in rules.interval_elapsed(exchange, SECOND))
    exchange.topology = ServerTopology(256, 300, False, 0)  # a number that no word can name
    assert len(rules.interval_elapsed(exchange, 99 * SECOND)) == 1


# bad or extreme input: a sound answer for every dialogue


def test_office_back_under_its_id_with_a_new_start_is_cold_and_unpriced(exchange):
    office = exchange.by_number[1]
    office.price, office.usual_rate = 2.0, 4.0
    rules.office_list_received(
        exchange,
        OfficeListReceived(ListKind.CHANGES, (OfficeEntry("office-1", 1, OfficeState.READY, SECOND),)),
    )
    assert exchange.by_number[1] is office and office.price == 0.0 and office.usual_rate == 4.0
    assert rules.is_cold(exchange.cold_start, office, 2 * SECOND)
    assert not rules.has_cold_start_budget(exchange.cold_start, office, SECOND)


def test_many_peers_and_no_trunk_groups_push_back_at_once(exchange, new_dialogue):
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
    ("most_dials", "wait", "payoff", "width"),
    [(1, SECOND, 1.0, 1), (4, 60 * SECOND, 1.0, 1), (4, 0, 0.0, 1), (4, 0, 1.0, 99)],
)
def test_extreme_settings_end_in_one_answer(exchange, new_dialogue, most_dials, wait, payoff, width):
    exchange.permissions = Permissions(most_dials, True, False, False, 0, False)
    exchange.release = ReleaseRule(wait, 0)
    dialogue = new_dialogue(TrafficClass("any", payoff, 0.0, SECOND, 3 * SECOND, width, SECOND, (), True, 0))
    dialogue.width = width
    out, dial, now = rules.route_dialogue(exchange, dialogue, 0), 0, 0
    while not isinstance(out[0], Reject | Fail):
        now += out[0].delay if isinstance(out[0], StartTimer) else SECOND // 2
        if isinstance(out[0], StartTimer):
            out = rules.route_dialogue(exchange, dialogue, now)
        else:
            event = ended(dialogue, out[0].office, DialResult.RESET, dial=dial)
            out, dial = rules.dial_ended(exchange, event, now), dial + 1
    assert dialogue.id not in exchange.dialogues and len(out) == 1 and dial <= most_dials


# start, chance and discovery


def test_opening_starts_the_interval_and_asks_where_it_must(exchange):
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


def test_failed_discovery_is_asked_again_where_it_must_be(exchange):
    exchange.topology = ServerTopology(0, 1, True, SECOND)
    rules.office_list_received(exchange, OfficeListReceived(ListKind.FAILED, ()))
    assert SubscribeDiscovery() in rules.interval_elapsed(exchange, SECOND)


def test_same_seed_same_actions(exchange):
    def run():
        x = Exchange()
        facts = (exchange.topology, exchange.permissions, exchange.release, exchange.cold_start)
        rules.decide(x, ServerStarted(11, (CHEAP,), *facts), 0)
        entries = tuple(OfficeEntry(f"o{n}", n, OfficeState.READY, None) for n in range(4))
        rules.decide(x, OfficeListReceived(ListKind.CACHED, entries), 0)
        arrivals = (
            DialogueArrived(n, "cheap", 1 + n % 3, None, SECOND, 1, None, False, False) for n in range(50)
        )
        return [rules.decide(x, arrival, n) for n, arrival in enumerate(arrivals)]

    assert run() == run()


def test_a_shortest_agreed_time_of_nothing_leaves_a_bound(exchange):
    """A quarter of it is the bound of a delay, by which is divided."""
    use = TrafficClass("at-once", 1.0, 0.0, 0, SECOND, 1, SECOND, (), True, 0)
    opened = ServerStarted(
        1, (use,), exchange.topology, exchange.permissions, exchange.release, exchange.cold_start
    )
    x = Exchange()
    rules.decide(x, opened, 0)
    assert x.delay_bound == 1 and rules.relative_load(x.delay_bound, None, 5, None, 0) == 5.0


@pytest.mark.parametrize("told", [[], [3, 3, 3]])
def test_a_destination_under_nought_is_in_nobodys_words(exchange, new_dialogue, told):
    """Counted from the end it would be another's, or none: an IndexError in the middle of a dial."""
    exchange.topology = ServerTopology(None, 2, False, 0)
    use = TrafficClass("any", 1.0, 0.2, SECOND, 9 * SECOND, 1, SECOND, (1,), True, 0)
    exchange.by_number[1].reported_spare, exchange.by_number[1].reported_at = list(told), 0
    dialogue = new_dialogue(use, destination=-1)
    [sent] = rules.route_dialogue(exchange, dialogue, 0)
    assert isinstance(sent, Send) and exchange.by_number[1].reported_spare == told
    assert rules.reported_capacity(exchange, exchange.by_number[1], -1, 0) is None
