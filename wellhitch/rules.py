"""All decisions of a call server: whether a dialogue is dialled, by which route, and when it is dialled
again.

The owner holds one `Exchange` for each call server, blank at start, and passes every event to `decide`, the
only entry point, in order and with the time in whole microseconds. `decide` updates the state and returns the
actions to take, in order. Events, actions, start configuration and state records are types of
`wellhitch.interface`. Ids in events are resolved to records at this entry; the functions below work on the
records. docs/design.md describes the normal case and each exception to it.
"""

from statistics import median_low

from wellhitch.interface import events as ev
from wellhitch.interface.actions import (
    Action,
    Cancel,
    Fail,
    Reject,
    Send,
    SendPeerMessage,
    StartTimer,
    SubscribeDiscovery,
)
from wellhitch.interface.facts import ColdStartRule, TrafficClass
from wellhitch.interface.state import CalledNumber, Dial, Dialogue, Exchange, Office

SECOND_US = 1_000_000
# Between two price steps. The paper gives no figure, and one second reacted too slowly.
INTERVAL_US = SECOND_US // 4
# A call server gets a few hundred dialogues a second at most and remembers a number for a minute.
MAX_CALLED_NUMBERS = 16_384
MAX_GONE_OFFICES = 256  # offices of the list that are gone
INTERVAL_TIMER = 0  # token of the interval timer; the token of a dialogue's timer is its id + 1


def decide(exchange: Exchange, event: ev.Event, now: int) -> list[Action]:
    """Apply one event to the state and return the actions to take, in order."""
    match event:
        case ev.ServerStarted():
            return server_started(exchange, event, now)
        case ev.OfficeListReceived():
            return office_list_received(exchange, event)
        case ev.DialogueArrived():
            return dialogue_arrived(exchange, event, now)
        case ev.DialogueEstablished():
            dialogue_established(exchange, event)
        case ev.DialEnded():
            return dial_ended(exchange, event, now)
        case ev.OfficeReported():
            if event.office in exchange.offices and event.answered:
                apply_report(exchange.offices[event.office], event.report)
        case ev.PeerMessageReceived():
            apply_peer_message(exchange, event, now)
        case ev.CallerLeft():
            caller_left(exchange, event, now)
        case ev.TimerFired(token) if token == INTERVAL_TIMER:
            return interval_elapsed(exchange, now)
        case ev.TimerFired(token):
            dialogue = exchange.dialogues.get(token - 1)
            if dialogue and not dialogue.pending_dial and not dialogue.established:
                return route_dialogue(exchange, dialogue, now)
    return []


# ---- start and office list ----


def server_started(exchange: Exchange, event: ev.ServerStarted, now: int) -> list[Action]:
    """Store the start configuration and start the interval timer."""
    exchange.rng_state = event.seed
    exchange.traffic_classes = {traffic_class.name: traffic_class for traffic_class in event.traffic_classes}
    exchange.topology, exchange.permissions, exchange.release, exchange.cold_start = (
        event.topology,
        event.permissions,
        event.release,
        event.cold_start,
    )
    exchange.min_value = min(
        (traffic_class.value for traffic_class in event.traffic_classes if traffic_class.value > 0),
        default=1.0,
    )
    # Two processors at their bound use half of the shortest target latency; the other half is a margin.
    # At least 1, because it is a divisor.
    exchange.delay_bound = max(
        1,
        min((traffic_class.target_latency for traffic_class in event.traffic_classes), default=SECOND_US)
        // 4,
    )
    exchange.max_value = max((traffic_class.value for traffic_class in event.traffic_classes), default=1.0)
    # A random first time spreads the messages of servers that start together.
    exchange.next_peer_message_at = now + int(
        next_random(exchange) * peer_message_interval(event.topology.peer_count)
    )
    return [
        StartTimer(INTERVAL_US, INTERVAL_TIMER),
        *([SubscribeDiscovery()] if event.topology.must_subscribe else []),
    ]


def office_list_received(exchange: Exchange, event: ev.OfficeListReceived) -> list[Action]:
    """Apply an update of the office list. An office that is missing from a full list is gone; where several
    offices have the same number, the one that started last is used."""
    if event.kind is ev.ListKind.FAILED:
        exchange.resubscribe = exchange.topology.must_subscribe
        return []
    for entry in event.entries:
        update_office(exchange, entry)
    if event.kind is not ev.ListKind.CHANGES:
        listed_ids = {entry.office for entry in event.entries}
        for office in exchange.offices.values():
            if office.id not in listed_ids:
                office.state = ev.OfficeState.GONE
    exchange.by_number = {}
    for office in exchange.offices.values():
        if accepts_new_dials(office):
            current = exchange.by_number.get(office.number)
            if current is None or (office.started_at or 0) >= (current.started_at or 0):
                exchange.by_number[office.number] = office
    forget_gone_offices(exchange)
    return []


def forget_gone_offices(exchange: Exchange) -> None:
    """Keep the latest offices that are gone: one that takes the place of another inherits its usual rate."""
    gone = [office for office in exchange.offices.values() if office.state is ev.OfficeState.GONE]
    for office in gone[:-MAX_GONE_OFFICES]:
        del exchange.offices[office.id]


def update_office(exchange: Exchange, entry: ev.OfficeEntry) -> None:
    """Apply one entry of the list. An office with a new start time has a new processor: the price and the
    dials of the one before it are dropped."""
    office = exchange.offices.get(entry.office)
    if office is None:
        office = exchange.offices[entry.office] = Office(
            entry.office, entry.number, entry.state, entry.started_at
        )
        office.initial_budget = next_random(exchange)
        for other in exchange.offices.values():  # a replaced office left `by_number` when it began to drain
            if other.number == entry.number and other is not office:
                office.usual_rate = max(office.usual_rate, other.usual_rate)
                office.free_circuits, office.group_size = other.free_circuits, other.group_size
    elif entry.started_at != office.started_at:
        office.price, office.recent_dials = 0.0, []
    office.state, office.started_at = entry.state, entry.started_at


def accepts_new_dials(office: Office) -> bool:
    """Rule 3: from the moment the list says that an office is draining or gone, nothing new is sent to it."""
    return office.state is ev.OfficeState.READY


# ---- random numbers ----


def next_random(exchange: Exchange) -> float:
    """Next number in [0, 1) of a linear congruential generator (multiplier and increment of Knuth's MMIX).
    Only the high 32 bits are used."""
    exchange.rng_state = (exchange.rng_state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
    return (exchange.rng_state >> 32) / (1 << 32)


# ---- dialogues and routes ----


def dialogue_arrived(exchange: Exchange, event: ev.DialogueArrived, now: int) -> list[Action]:
    """Register a new dialogue and route it at once."""
    traffic_class = exchange.traffic_classes[event.traffic_class]
    called_number = exchange.called_numbers.get(event.called_number or "") or CalledNumber()
    if event.called_number and not event.transit:
        remember_called_number(exchange, event.called_number, called_number)
        if is_first_try(
            called_number, traffic_class, event.is_redial, exchange.permissions.callers_mark_redials, now
        ):
            called_number.first_try_at = now
    dialogue = Dialogue(
        id=event.dialogue,
        traffic_class=traffic_class,
        destination=event.destination,
        called_number=called_number,
        width=event.width,
        first_try_at=now
        if called_number.first_try_at is None or event.transit
        else called_number.first_try_at,
        expires_at=now + event.time_left,
        advised_tandem=event.advised_tandem,
        transit=event.transit,
        random_draw=next_random(exchange),
        value_factor=event.value_factor,
        not_before=event.not_before,
        may_have_run_at=event.may_have_run_at,
    )
    exchange.dialogues[event.dialogue] = dialogue
    called_number.last_called_at = now
    if dialogue.not_before >= dialogue.expires_at:
        return final_answer(exchange, dialogue, now)
    return route_dialogue(exchange, dialogue, now)


def remember_called_number(exchange: Exchange, key: str, called_number: CalledNumber) -> None:
    """Move a number to the end of the numbers called, and drop the one not called for longest over the limit."""
    exchange.called_numbers.pop(key, None)
    exchange.called_numbers[key] = called_number
    if len(exchange.called_numbers) > MAX_CALLED_NUMBERS:
        del exchange.called_numbers[next(iter(exchange.called_numbers))]


def is_first_try(
    called_number: CalledNumber, traffic_class: TrafficClass, is_redial: bool, redials_marked: bool, now: int
) -> bool:
    """Whether a dialogue is its caller's first try. Where callers do not mark redials (exception), a dialogue
    to a number that was called within the deadline and has not been answered since counts as a redial. The
    full value of a redial is due only within the target latency of the first try; otherwise redials would
    displace first tries."""
    if called_number.first_try_at is None or now - called_number.first_try_at > traffic_class.deadline:
        return True
    return redials_marked and not is_redial


def current_value(exchange: Exchange, dialogue: Dialogue, now: int) -> float:
    """Value of the dialogue if it is dialled now. Only the late share is left if it would be answered after
    the target latency. The estimate adds one delay bound for the own processor and one for the destination's,
    where it has a price."""
    destination = exchange.by_number.get(dialogue.destination)
    loaded_processors = (exchange.own_price > 0) + (destination is not None and destination.price > 0)
    is_late = (
        now + loaded_processors * exchange.delay_bound - dialogue.first_try_at
        > dialogue.traffic_class.target_latency
    )
    return (
        dialogue.traffic_class.value
        * dialogue.value_factor
        * (dialogue.traffic_class.late_share if is_late else 1.0)
    )


def randomised_price(dialogue: Dialogue, price: float) -> float:
    """The price times 0.5 to 1.5, fixed at random for each dialogue. A price near the value then admits a
    share of the dialogues, as the optimisation problem in the paper does, instead of all or none in turn."""
    return price * (0.5 + dialogue.random_draw)


def leg_cost(exchange: Exchange, dialogue: Dialogue, value: float) -> float:
    """Cost of one leg: a fifth of the lowest value, so that the cost of two legs never outweighs the value of
    a dialogue through a tandem."""
    return min(exchange.min_value, value) * dialogue.width / 5


def has_capacity(exchange: Exchange, office: Office, dialogue: Dialogue, alternate: bool) -> bool:
    """Whether the trunk group to the office has enough free circuits, as far as is known. Alternate and late
    dialogues leave some for direct ones (trunk reservation, exception). A dialogue of low value leaves the
    last circuit of a group of 20 or more to those of higher value."""
    if office.group_size is None:
        return True
    reserved = reserved_circuits(office, exchange.direct_share) if alternate else 0
    if dialogue.traffic_class.value * dialogue.value_factor < 2 * exchange.min_value:
        reserved += min(1, office.group_size // 20)
    return office.free_circuits >= dialogue.width + reserved


def reserved_circuits(office: Office, direct_share: float) -> int:
    """Circuits of the group that are reserved for direct dialogues: one, plus one for each 10 where there are
    trunk groups to all offices; with a smaller reserve direct dialogues found no circuit in simulation. Where
    there are groups to half of the offices or fewer, tandem routes are the normal ones, and only one circuit
    is reserved."""
    return 1 + int((office.group_size or 0) * max(0.0, 2 * direct_share - 1)) // 10


def best_route(exchange: Exchange, dialogue: Dialogue, now: int) -> Office | None:
    """The first office on the route with the highest positive net value and enough capacity, or None. A
    direct route wins a tie."""
    value = current_value(exchange, dialogue, now)
    is_late = value < exchange.min_value
    cost_per_leg = leg_cost(exchange, dialogue, value)
    value -= randomised_price(dialogue, exchange.own_price)
    if exchange.topology.own_number is None:
        return best_pool(exchange, dialogue, value, cost_per_leg, is_late)
    destination = exchange.by_number.get(dialogue.destination)
    if destination is None or dialogue.destination == exchange.topology.own_number:
        return None
    value -= randomised_price(dialogue, destination.price)
    if value - cost_per_leg <= 0 or not has_cold_start_budget(exchange.cold_start, destination, now):
        return None
    if destination not in dialogue.excluded_offices and has_capacity(
        exchange, destination, dialogue, dialogue.transit or is_late
    ):
        return destination
    if dialogue.transit or is_late:
        return None
    best, best_rank = None, (0.0, False, 0, False, 0)
    for office in exchange.by_number.values():
        if (
            office is destination
            or office.number == exchange.topology.own_number
            or office in dialogue.excluded_offices
        ):
            continue
        if not has_capacity(exchange, office, dialogue, True) or not has_cold_start_budget(
            exchange.cold_start, office, now
        ):
            continue
        if office.blocked_destinations.get(dialogue.destination, 0) > now:
            continue
        net_value = value - randomised_price(dialogue, office.price) - 2 * cost_per_leg
        proven = dialogue.destination in office.proven_destinations
        spare = reported_capacity(exchange, office, dialogue.destination, now)
        unverified = not proven and office.number != dialogue.advised_tandem and not spare
        if unverified and (len(dialogue.dials) > 1 or dialogue.advised_tandem is not None or spare == 0):
            continue
        rank = (
            net_value,
            office.number == dialogue.advised_tandem,
            min(spare or 0, office.free_circuits),
            proven,
            office.free_circuits,
        )
        if rank > best_rank and rank[0] > 0:
            best, best_rank = office, rank
    return best


def best_pool(
    exchange: Exchange, dialogue: Dialogue, value: float, cost_per_leg: float, is_late: bool
) -> Office | None:
    """As `best_route`, where the offices are pools. The first choice costs one leg, and any other pool of the
    traffic class two."""
    best, best_rank = None, (0.0, False, 0)
    for office in exchange.by_number.values():
        is_first_choice = office.number == dialogue.destination
        if not is_first_choice and office.number not in dialogue.traffic_class.pools:
            continue
        if office in dialogue.excluded_offices or not has_capacity(exchange, office, dialogue, is_late):
            continue
        rank = (
            value
            - randomised_price(dialogue, office.price)
            - (cost_per_leg if is_first_choice else 2 * cost_per_leg),
            is_first_choice,
            office.free_circuits,
        )
        if rank > best_rank and rank[0] > 0:
            best, best_rank = office, rank
    return best


def route_dialogue(exchange: Exchange, dialogue: Dialogue, now: int) -> list[Action]:
    """Dial the best route or give the final answer. Rule 2 (one dial at a time): called only while no dial of
    this dialogue is pending."""
    if now < dialogue.not_before:  # rule 5: wait for the release of the last dial
        return [StartTimer(dialogue.not_before - now, dialogue.id + 1)]
    if (
        len(dialogue.dials) >= exchange.permissions.max_dials
        or now >= dialogue.expires_at
        or not may_redial(dialogue, now)
    ):
        return final_answer(exchange, dialogue, now)
    office = best_route(exchange, dialogue, now) if now >= dialogue.called_number.blocked_until else None
    if office is None:
        return final_answer(exchange, dialogue, now)
    direct = office.number == dialogue.destination
    dial = Dial(dialogue, office, now, direct)
    dialogue.dials.append(dial)
    dialogue.pending_dial = dial
    office.free_circuits -= dialogue.width
    # A destination below 0 would index the list from its end.
    if not direct and 0 <= dialogue.destination < len(office.reported_spare):
        office.reported_spare[dialogue.destination] = max(
            0, office.reported_spare[dialogue.destination] - dialogue.width
        )
    for number in {office.number, dialogue.destination}:
        if number in exchange.by_number:
            exchange.by_number[number].dials_in_interval += 1
            exchange.by_number[number].budget -= 1
    exchange.recent_dials.append(dial)
    if direct:
        office.recent_dials.append(dial)
    if exchange.permissions.may_cancel and not dialogue.transit:
        exchange.unanswered_dials.append(dial)
    return [Send(dialogue.id, office.id, dialogue.expires_at - now)]


def answer_presumed_lost(exchange: Exchange, dial: Dial, now: int) -> bool:
    """Whether the answer to a silent dial is presumed lost (exception), so that the dial is cancelled and
    another one sent. All of these must hold: no processor on the route has a price, because a loaded one
    would get the set-up twice; four times the usual delay has passed; half of the time to the target latency,
    less the release wait, has passed; and a second dial can still be answered in time."""
    dialogue = dial.dialogue
    destination = exchange.by_number.get(dialogue.destination)
    if destination is None or exchange.own_price or dial.office.price or destination.price:
        return False
    target_at = dialogue.first_try_at + dialogue.traffic_class.target_latency
    half_remaining = (target_at - dial.sent_at - exchange.release.release_wait) // 2
    if now - dial.sent_at < max(
        4 * exchange.usual_delay, half_remaining - INTERVAL_US // 2, exchange.delay_bound
    ):
        return False
    return now + exchange.release.release_wait + exchange.usual_delay < min(target_at, dialogue.expires_at)


def may_redial(dialogue: Dialogue, now: int) -> bool:
    """Whether the dialogue may be dialled again, given that a dialogue of some traffic classes must not run
    twice."""
    traffic_class = dialogue.traffic_class
    if dialogue.may_have_run_at is None or (traffic_class.repeatable and not traffic_class.repeat_within):
        return True
    return traffic_class.repeatable and now - dialogue.may_have_run_at < traffic_class.repeat_within


def final_answer(exchange: Exchange, dialogue: Dialogue, now: int) -> list[Action]:
    """Rule 1: give the one final answer at once. The dialogue is removed with it, so that no second answer
    can follow."""
    exchange.dialogues.pop(dialogue.id, None)
    if now >= dialogue.expires_at or (
        dialogue.may_have_run_at is not None and not dialogue.traffic_class.repeatable
    ):
        return [Fail(dialogue.id)]
    # Early enough that two more tries still fall within the target latency, where callers respect it.
    return [
        Reject(
            dialogue.id, min(exchange.permissions.max_retry_after, dialogue.traffic_class.target_latency // 4)
        )
    ]


def caller_left(exchange: Exchange, event: ev.CallerLeft, now: int) -> None:
    """Remove the dialogue of a caller that left, and stop counting its pending dial as silent."""
    dialogue = exchange.dialogues.pop(event.dialogue, None)
    if dialogue and dialogue.pending_dial:
        dial_unanswered(exchange, dialogue.pending_dial, now - dialogue.pending_dial.sent_at)


def dial_unanswered(exchange: Exchange, dial: Dial, waited: int) -> None:
    """Record a dial that ended without an answer. Waiting longer than the delay bound is a sign of load; a
    shorter wait is none, and the dial is dropped from the records."""
    if dial.setup_delay is None and waited > exchange.delay_bound:
        dial.setup_delay = waited
    elif dial.setup_delay is None:
        for dials in (exchange.recent_dials, dial.office.recent_dials):
            if dial in dials:
                dials.remove(dial)


def dialogue_established(exchange: Exchange, event: ev.DialogueEstablished) -> None:
    """Record that a dial was answered. Its delay is a sign of the load of the processors on the route."""
    dialogue = exchange.dialogues.get(event.dialogue)
    if not dialogue or event.dial >= len(dialogue.dials):
        return
    dial = dialogue.dials[event.dial]
    dialogue.established = True
    dial.setup_delay, dial.answered = event.setup_delay, True
    dial.office.consecutive_faults = 0
    # The own processor handles set-ups in order: a dial that is still silent after a later one was answered
    # points to a lost answer or a hung office, not to the own processor.
    exchange.recent_dials = [
        other for other in exchange.recent_dials if other.answered or other.sent_at >= dial.sent_at
    ]
    exchange.usual_delay += (event.setup_delay - exchange.usual_delay) // 16
    dialogue.called_number.pause, dialogue.called_number.first_try_at = 0, None
    if not dial.direct:
        dial.office.proven_destinations.add(dialogue.destination)


def dial_ended(exchange: Exchange, event: ev.DialEnded, now: int) -> list[Action]:
    """Attribute a failure to the processor or group that caused it, then dial again if that is still
    worthwhile."""
    if event.office in exchange.offices:
        apply_report(exchange.offices[event.office], event.report)
    dialogue = exchange.dialogues.get(event.dialogue)
    if not dialogue or event.dial >= len(dialogue.dials):
        return []
    dial = dialogue.dials[event.dial]
    office = dial.office
    if dialogue.pending_dial is dial:
        dialogue.pending_dial = None
    dial_unanswered(
        exchange,
        dial,
        now - dial.sent_at if event.result in (ev.DialResult.TIMED_OUT, ev.DialResult.CANCELLED) else 0,
    )
    destination = exchange.by_number.get(dialogue.destination)
    # A processor that fails every set-up answers quickly and its groups look free, so it would attract all
    # calls.
    is_fault = event.result is ev.DialResult.FAULT and event.cause is not ev.ReleaseCause.LINES_BUSY
    # One fault after an answer is attributed to the dialogue (exception), such as an unassigned number: a few
    # such callers raised the price of offices and blocked tandems. Two in a row are attributed to the office.
    office.consecutive_faults += is_fault
    is_office_fault = is_fault and office.consecutive_faults > 1
    is_overloaded = event.cause is ev.ReleaseCause.PROCESSOR_FULL or event.result is ev.DialResult.UNREACHABLE
    if event.result is ev.DialResult.NOT_SENT:
        exchange.own_full_count += event.cause is ev.ReleaseCause.PROCESSOR_FULL
        office.free_circuits += dialogue.width  # no circuit was seized, and a report may never follow
    elif is_overloaded or (is_office_fault and dial.direct):
        office.full_count += 1
    elif event.cause is ev.ReleaseCause.FAR_PROCESSOR_FULL and destination:
        destination.full_count += 1
    elif is_office_fault or (
        event.cause is ev.ReleaseCause.TURNED_BACK and not tandem_waited_in_vain(exchange, dial, now)
    ):
        # Five seconds: in simulation two or three wasted dials on full groups, and eight missed freed
        # circuits.
        office.blocked_destinations[dialogue.destination] = now + 5 * SECOND_US
        office.proven_destinations.discard(dialogue.destination)
    if event.dialogue_over:
        exchange.dialogues.pop(dialogue.id, None)
        return []
    if dialogue.established:
        return final_answer(exchange, dialogue, now)
    if (
        event.result not in (ev.DialResult.FULL, ev.DialResult.UNREACHABLE, ev.DialResult.NOT_SENT)
        and dialogue.may_have_run_at is None
    ):
        dialogue.may_have_run_at = dial.sent_at
    if event.result in (ev.DialResult.TIMED_OUT, ev.DialResult.RESET, ev.DialResult.CANCELLED):
        dialogue.not_before = now + exchange.release.release_wait
        if dialogue.not_before >= dialogue.expires_at:
            return final_answer(exchange, dialogue, now)
    if event.cause is ev.ReleaseCause.LINES_BUSY:
        block_called_number(dialogue.called_number, now)
    if event.cause in (ev.ReleaseCause.LINES_BUSY, ev.ReleaseCause.FAR_PROCESSOR_FULL) or (
        (is_overloaded or is_fault) and (dial.direct or event.result is ev.DialResult.NOT_SENT)
    ):
        return final_answer(exchange, dialogue, now)
    if is_fault or event.result in (ev.DialResult.FULL, ev.DialResult.UNREACHABLE, ev.DialResult.NOT_SENT):
        dialogue.excluded_offices.append(office)
    return route_dialogue(exchange, dialogue, now)


def route_answers_others(exchange: Exchange, dial: Dial) -> bool:
    """Whether another recent dial on the same route was answered."""
    return any(
        other.answered
        and other.office is dial.office
        and other.dialogue.destination == dial.dialogue.destination
        for other in exchange.recent_dials
    )


def tandem_waited_in_vain(exchange: Exchange, dial: Dial, now: int) -> bool:
    """Whether a tandem that turned a dialogue back had first waited for an answer (exception) while other
    dialogues get through on the same route. The answer from beyond the tandem was lost then, and the tandem's
    own group is not full: with a full group, a tandem turns back within the usual delay."""
    return now - dial.sent_at > max(4 * exchange.usual_delay, exchange.delay_bound) and route_answers_others(
        exchange, dial
    )


def block_called_number(called_number: CalledNumber, now: int) -> None:
    """Hold back dialogues to a number whose lines are busy (exception for many callers of one number): they
    are rejected without a dial during a pause that doubles with each busy answer and ends with the first
    established dialogue. The pause starts at half a second, since a line is seldom free sooner, and is four
    seconds at most, so that a free line is found soon."""
    if now >= called_number.blocked_until:
        called_number.pause = min(max(2 * called_number.pause, SECOND_US // 2), 4 * SECOND_US)
        called_number.blocked_until = now + called_number.pause


# ---- prices ----


def apply_report(office: Office, report: ev.OfficeReport) -> None:
    """Apply an office's report. Free circuits take effect at once; the processor's figures are kept until the
    next price step."""
    if report.free_circuits is not None and report.group_size is not None:
        office.free_circuits, office.group_size = report.free_circuits, report.group_size
    if report.utilisation is not None:
        office.utilisation = report.utilisation
    if report.queue_wait is not None:
        office.queue_wait = report.queue_wait


def interval_elapsed(exchange: Exchange, now: int) -> list[Action]:
    """Update every price once and start the next interval."""
    exchange.recent_dials = [
        dial
        for dial in exchange.recent_dials
        if dial.setup_delay is None or now - dial.sent_at - dial.setup_delay < SECOND_US
    ]
    own_delay = own_processor_delay(exchange.recent_dials, exchange.delay_bound, now)
    own_load = relative_load(exchange.delay_bound, None, None, own_delay, exchange.own_full_count)
    exchange.own_price, exchange.own_full_count = (
        adjusted_price(exchange.own_price, own_load, exchange.min_value, exchange.max_value),
        0,
    )
    for office in exchange.by_number.values():
        office.recent_dials = unexpired_dials(office.recent_dials, exchange.delay_bound, now)
        delay = office_delay(office, exchange.delay_bound, now)
        remote_delay = None if delay is None else delay - (own_delay or 0)
        load = relative_load(
            exchange.delay_bound, office.utilisation, office.queue_wait, remote_delay, office.full_count
        )
        # Without a sign of load the price decays more slowly where few signs are expected: with fewer than
        # one in three intervals, the price of a slow office would be gone before the next dial to it. At
        # least a tenth, for an office that is seldom called.
        expected_signals = min(1.0, max(0.1, office.usual_rate * 3 * INTERVAL_US / SECOND_US))
        office.price = adjusted_price(
            office.price, load, exchange.min_value, exchange.max_value, expected_signals
        )
        office.full_count, office.utilisation, office.queue_wait = 0, None, None
        if not is_cold(exchange.cold_start, office, now) and not office.price and not exchange.own_price:
            # Moving average over about 32 intervals: longer than a burst and shorter than a day. The rate to
            # a processor with a price is not its usual one, and would be too low for it after a restart.
            office.usual_rate += (office.dials_in_interval * SECOND_US / INTERVAL_US - office.usual_rate) / 32
        office.dials_in_interval = 0
    # A number not called for a minute is dropped; its lines have been released and seized again by then.
    exchange.called_numbers = {
        key: called_number
        for key, called_number in exchange.called_numbers.items()
        if now - called_number.last_called_at < 60 * SECOND_US
    }
    sizes = [
        office.group_size
        for office in exchange.by_number.values()
        if office.group_size is not None and office.number != exchange.topology.own_number
    ]
    exchange.direct_share = sum(size > 0 for size in sizes) / max(1, len(sizes))
    actions: list[Action] = [
        StartTimer(INTERVAL_US, INTERVAL_TIMER),
        *([SubscribeDiscovery()] if exchange.resubscribe else []),
    ]
    exchange.resubscribe = False
    exchange.unanswered_dials = [
        dial
        for dial in exchange.unanswered_dials
        if dial.setup_delay is None and dial.dialogue.pending_dial is dial
    ]
    for dial in exchange.unanswered_dials:
        if answer_presumed_lost(exchange, dial, now):
            actions.append(Cancel(dial.dialogue.id, len(dial.dialogue.dials) - 1))
    sends_messages = (
        exchange.permissions.may_message_peers
        and not exchange.topology.has_centre
        and (exchange.topology.own_number or 0) < 256
    )
    if sends_messages and exchange.topology.peer_count and now >= exchange.next_peer_message_at:
        exchange.next_peer_message_at = now + peer_message_interval(exchange.topology.peer_count)
        actions.append(SendPeerMessage(encode_peer_message(exchange)))
    return actions


UTILISATION_BOUND = 0.9  # starting value from the design page


def unexpired_dials(dials: list[Dial], delay_bound: int, now: int) -> list[Dial]:
    """Dials that still count for the price of an office: their delay became known within the last second, or
    they have waited for less than a second past the delay bound. One second, four intervals, gives a sign of
    load even with few dials to an office; a longer time would let a few lost answers block the office, or the
    whole exchange, until their callers leave."""
    return [
        dial
        for dial in dials
        if now - dial.sent_at - (delay_bound if dial.setup_delay is None else dial.setup_delay) < SECOND_US
    ]


def has_new_delay(dials: list[Dial], delay_bound: int, now: int) -> bool:
    """Whether a delay became known during the last interval, or a dial has waited past the delay bound."""
    ages = ((now - dial.sent_at, dial.setup_delay) for dial in dials)
    return any(
        age > delay_bound if setup_delay is None else age - setup_delay < INTERVAL_US
        for age, setup_delay in ages
    )


def known_delays(dials: list[Dial], delay_bound: int, now: int) -> list[int]:
    """Delays in the order in which the dials were sent. A dial that has waited past the delay bound counts
    with its age, because silence is a sign of load. In the order of sending, dials that were answered since
    are in the same sample."""
    return [
        now - dial.sent_at if dial.setup_delay is None else dial.setup_delay
        for dial in dials
        if dial.setup_delay is not None or now - dial.sent_at > delay_bound
    ]


def office_delay(office: Office, delay_bound: int, now: int) -> int | None:
    """Median of the last three delays of an office, if one of them is new. A single silent dial gives None:
    its answer may be lost, and an office with few dials would be blocked for it."""
    if not has_new_delay(office.recent_dials, delay_bound, now):
        return None
    delays = known_delays(office.recent_dials, delay_bound, now)[-3:]
    if len(delays) == 1 and delays[0] > delay_bound and office.recent_dials[-1].setup_delay is None:
        return None
    return median_low(delays)


def own_processor_delay(dials: list[Dial], delay_bound: int, now: int) -> int | None:
    """Delay of the own processor, the part common to all routes: the least of the last four delays. Silent
    dials count for as long as they are silent, because an overloaded processor sends few dials."""
    delays = known_delays(dials, delay_bound, now)[-4:]
    return min(delays) if len(delays) > 2 and has_new_delay(dials, delay_bound, now) else None


def relative_load(
    delay_bound: int, utilisation: float | None, queue_wait: int | None, delay: int | None, full_count: int
) -> float | None:
    """Load relative to its bound (1.0 is at the bound) by the best sign of this interval, or None without a
    sign. An office that reported itself full is over its bound, whatever the other signs."""
    if utilisation is not None:
        load: float | None = utilisation / UTILISATION_BOUND
    elif queue_wait is not None:
        load = queue_wait / delay_bound
    else:
        load = None if delay is None else delay / delay_bound
    return max(load or 0.0, 1.5) if full_count else load


def adjusted_price(
    price: float, load: float | None, min_value: float, max_value: float, expected_signals: float = 1.0
) -> float:
    """The price after one step: up when the load is over its bound, down toward 0 when it is under, and
    decaying without a sign of load. At all three simulated sites, slower decay or a higher cap kept offices
    blocked long after their overload had ended. Under the cap of 0.7 of the highest value, a dialogue of that
    value is still sent and brings a new sign."""
    if load is None:
        return price * 0.7**expected_signals if price > min_value / 100 else 0.0
    if load > 1:
        return min(price + min_value * 0.8 * min(load - 1, 1.0), 0.7 * max_value)
    return max(0.0, price - (min_value + price) * 0.2 * (1 - load))


# ---- messages between call servers (exception: only where nothing else reports a tandem's second group) ----

PEER_MESSAGE_FORMAT = 1  # first byte of a message; messages of another format are ignored


def peer_message_interval(peer_count: int) -> int:
    """Time between two messages of one server in us. Each server receives about ten messages a second,
    whatever the number of peers, because processing them costs work."""
    return max(SECOND_US, peer_count * SECOND_US // 10)


def encode_peer_message(exchange: Exchange) -> bytes:
    """Format byte and own number, then for each office number how many transit dialogues the group to it can
    take."""
    spare_circuits = bytearray(min(max(exchange.by_number, default=-1) + 1, 254))
    for number, office in exchange.by_number.items():
        if 0 <= number < len(spare_circuits):
            spare_circuits[number] = max(
                0, min(255, office.free_circuits - reserved_circuits(office, exchange.direct_share))
            )
    return bytes((PEER_MESSAGE_FORMAT, exchange.topology.own_number or 0)) + spare_circuits


def apply_peer_message(exchange: Exchange, event: ev.PeerMessageReceived, now: int) -> None:
    """Store the spare capacity that a peer reports. A message that is empty, truncated or of another format
    is ignored."""
    if len(event.text) > 1 and event.text[0] == PEER_MESSAGE_FORMAT and event.text[1] in exchange.by_number:
        office = exchange.by_number[event.text[1]]
        office.reported_spare, office.reported_at = list(event.text[2:]), now


def reported_capacity(exchange: Exchange, office: Office, destination: int, now: int) -> int | None:
    """Dialogues that the tandem's group to the destination can take, or None without a recent report."""
    if not 0 <= destination < len(
        office.reported_spare
    ) or now - office.reported_at > 3 * peer_message_interval(exchange.topology.peer_count):
        return None
    return office.reported_spare[destination]


# ---- cold offices ----


def is_cold(rule: ColdStartRule, office: Office, now: int) -> bool:
    """Whether the office's processor started so recently that it may still be cold."""
    return office.started_at is not None and now - office.started_at < rule.warm_after


def has_cold_start_budget(rule: ColdStartRule, office: Office, now: int) -> bool:
    """Rule 4: a cold office gets from this server no more than a share of its usual rate. The initial budget
    is random: servers that all learn of the start at once and have dialogues waiting would otherwise send
    their first dials together instead of spread over time."""
    if not is_cold(rule, office, now):
        office.budget, office.budget_updated_at = 0.0, 0
        return True
    warm_up_share = max(0.0, (now - (office.started_at or 0)) / rule.warm_after)
    share = rule.start_share + (1 - rule.start_share) * warm_up_share
    # At least one dial in four seconds, so that an office not used before can still be tried.
    rate = max(office.usual_rate, 0.25) * share * rule.multiple
    increment = (
        rate * (now - office.budget_updated_at) / SECOND_US
        if office.budget_updated_at
        else office.initial_budget
    )
    office.budget = min(office.budget + increment, 1.0 + rate)
    office.budget_updated_at = now
    return office.budget >= 1.0
