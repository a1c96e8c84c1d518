"""Every decision of a call server: which dialogue goes, by which route, when it is dialled again.

Callers hold one `Exchange` (a blank record at start) for each call server and pass what happens, in order and
with the clock in whole microseconds, to `decide`, the only entry point. It returns what to do, in order.
Events, actions, start facts and state records are types of `wellhitch.interface`. Ids are turned into objects
here at the door and nowhere further in. docs/design.md tells the ordinary path from the exceptions to it.
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

SECOND = 1_000_000
INTERVAL = SECOND // 4  # the paper gives no figure; a second was too slow
TICK = 0  # token of the interval's timer; a dialogue's timer is its id + 1


def decide(x: Exchange, event: ev.Event, now: int) -> list[Action]:
    """Take what happened, return what to do."""
    match event:
        case ev.ServerStarted():
            return opened(x, event, now)
        case ev.OfficeListReceived():
            return listed(x, event)
        case ev.DialogueArrived():
            return arrived(x, event, now)
        case ev.DialogueEstablished():
            stood(x, event)
        case ev.DialEnded():
            return dial_ended(x, event, now)
        case ev.OfficeReported():
            if event.office in x.offices and event.answered:
                take_report(x.offices[event.office], event.report)
        case ev.PeerMessageReceived():
            take_word(x, event, now)
        case ev.CallerLeft():
            went_away(x, event, now)
        case ev.TimerFired(token) if token == TICK:
            return interval_over(x, now)
        case ev.TimerFired(token):
            dialogue = x.dialogues.get(token - 1)
            if dialogue and not dialogue.pending_dial and not dialogue.established:
                return place_dialogue(x, dialogue, now)
    return []


# ---- start and list ----


def opened(x: Exchange, event: ev.ServerStarted, now: int) -> list[Action]:
    """Remember the facts and start the interval."""
    x.rng_state = event.seed
    x.traffic_classes = {use.name: use for use in event.traffic_classes}
    x.topology, x.permissions, x.release, x.cold_start = (
        event.topology,
        event.permissions,
        event.release,
        event.cold_start,
    )
    x.min_value = min((use.value for use in event.traffic_classes if use.value > 0), default=1.0)
    # Two processors at their bound take half the shortest agreed time; the rest is left to chance.
    # One at least: it is divided by.
    x.delay_bound = max(1, min((use.target_latency for use in event.traffic_classes), default=SECOND) // 4)
    x.max_value = max((use.value for use in event.traffic_classes), default=1.0)
    x.next_peer_message_at = now + int(draw(x) * tell_period(event.topology.peer_count))  # not all at once
    return [StartTimer(INTERVAL, TICK), *([SubscribeDiscovery()] if event.topology.must_subscribe else [])]


def listed(x: Exchange, event: ev.OfficeListReceived) -> list[Action]:
    """Follow the list. An office missing from a whole list is gone; a new one at a number takes it over."""
    if event.kind is ev.ListKind.FAILED:
        x.resubscribe = x.topology.must_subscribe
        return []
    for entry in event.entries:
        take_entry(x, entry)
    if event.kind is not ev.ListKind.CHANGES:
        named = {entry.office for entry in event.entries}
        for office in x.offices.values():
            if office.id not in named:
                office.state = ev.OfficeState.GONE
    x.by_number = {}
    for office in x.offices.values():
        if usable(office):
            held = x.by_number.get(office.number)
            if held is None or (office.started_at or 0) >= (held.started_at or 0):
                x.by_number[office.number] = office
    return []


def take_entry(x: Exchange, entry: ev.OfficeEntry) -> None:
    """One line of the list. A fresh start forgets the price and the silence of the processor before it."""
    office = x.offices.get(entry.office)
    if office is None:
        office = x.offices[entry.office] = Office(entry.office, entry.number, entry.state, entry.started_at)
        office.initial_budget = draw(x)
        for before in x.offices.values():  # the one replaced has left `by_number` when it drained
            if before.number == entry.number and before is not office:
                office.usual_rate = max(office.usual_rate, before.usual_rate)
                office.free_circuits, office.group_size = before.free_circuits, before.group_size
    elif entry.started_at != office.started_at:
        office.price, office.recent_dials = 0.0, []
    office.state, office.started_at = entry.state, entry.started_at


def usable(office: Office) -> bool:
    """Rule 3: nothing new goes to an office that drains or is gone, from the moment this is heard."""
    return office.state is ev.OfficeState.READY


# ---- chance ----


def draw(x: Exchange) -> float:
    """Next number in [0, 1): a linear congruential generator (Knuth's MMIX figures), high bits only."""
    x.rng_state = (x.rng_state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
    return (x.rng_state >> 32) / (1 << 32)


# ---- a dialogue's way ----


def arrived(x: Exchange, event: ev.DialogueArrived, now: int) -> list[Action]:
    """Take a dialogue over and decide on it at once."""
    use = x.traffic_classes[event.traffic_class]
    called = x.called_numbers.get(event.called_number or "") or CalledNumber()
    if event.called_number and not event.transit:
        x.called_numbers[event.called_number] = called
        if is_first_try(called, use, event.is_redial, x.permissions.callers_mark_redials, now):
            called.first_try_at = now
    dialogue = Dialogue(
        id=event.dialogue,
        traffic_class=use,
        destination=event.destination,
        called_number=called,
        width=event.width,
        first_try_at=now if called.first_try_at is None or event.transit else called.first_try_at,
        expires_at=now + event.time_left,
        advised_tandem=event.advised_tandem,
        transit=event.transit,
        random_draw=draw(x),
        value_factor=event.value_factor,
    )
    x.dialogues[event.dialogue] = dialogue
    called.last_called_at = now
    return place_dialogue(x, dialogue, now)


def is_first_try(called: CalledNumber, use: TrafficClass, redialled: bool, marked: bool, now: int) -> bool:
    """Whether a dialogue is its caller's first try. Where callers do not mark redials (exception), one to a
    number that was called within the outer limit and has not stood since is taken for a redial: its payoff is
    due only within the agreed time of the first try, or redials would shut first tries out."""
    if called.first_try_at is None or now - called.first_try_at > use.deadline:
        return True
    return marked and not redialled


def payoff_now(x: Exchange, dialogue: Dialogue, now: int) -> float:
    """Payoff if sent now: where it would stand past the agreed time, counting a bound's delay for each
    pressed processor of its ends, only the late share is left."""
    destination = x.by_number.get(dialogue.destination)
    pressed = (x.own_price > 0) + (destination is not None and destination.price > 0)
    late = now + pressed * x.delay_bound - dialogue.first_try_at > dialogue.traffic_class.target_latency
    return (
        dialogue.traffic_class.value
        * dialogue.value_factor
        * (dialogue.traffic_class.late_share if late else 1.0)
    )


def felt(dialogue: Dialogue, price: float) -> float:
    """Price as this dialogue feels it: half to one and a half of it, by chance, so that a price near the
    payoff admits a share, as the paper's programme does, and all-or-nothing swings are spared."""
    return price * (0.5 + dialogue.random_draw)


def leg_cost(x: Exchange, dialogue: Dialogue, payoff: float) -> float:
    """Cost of one leg: a fifth of the least payoff, so that two legs never outweigh a tandem dialogue."""
    return min(x.min_value, payoff) * dialogue.width / 5


def room(x: Exchange, office: Office, dialogue: Dialogue, alternate: bool) -> bool:
    """Whether the trunk group has room, as far as is known; an alternate dialogue leaves some for direct ones
    (trunk reservation, exception), late ones too; a cheap one leaves the last of 20 to dearer ones."""
    if office.group_size is None:
        return True
    kept = kept_back(office, x.direct_share) if alternate else 0
    if dialogue.traffic_class.value * dialogue.value_factor < 2 * x.min_value:
        kept += min(1, office.group_size // 20)
    return office.free_circuits >= dialogue.width + kept


def kept_back(office: Office, linked: float) -> int:
    """Circuits of its group that are kept for direct dialogues: one, and where groups lead to all offices one
    for each 10; by rounds, fewer starved direct ones. Where groups lead to but half of the offices, tandem
    dialogues are the plan and no overflow: one only."""
    return 1 + int((office.group_size or 0) * max(0.0, 2 * linked - 1)) // 10


def best_route(x: Exchange, dialogue: Dialogue, now: int) -> Office | None:
    """First office of the route with the highest positive net payoff and room; ties go direct."""
    payoff = payoff_now(x, dialogue, now)
    late = payoff < x.min_value
    leg = leg_cost(x, dialogue, payoff)
    payoff -= felt(dialogue, x.own_price)
    if x.topology.own_number is None:
        return best_pool(x, dialogue, payoff, leg, late)
    destination = x.by_number.get(dialogue.destination)
    if destination is None or dialogue.destination == x.topology.own_number:
        return None
    payoff -= felt(dialogue, destination.price)
    if payoff - leg <= 0 or not cold_room(x.cold_start, destination, now):
        return None
    if destination not in dialogue.excluded_offices and room(
        x, destination, dialogue, dialogue.transit or late
    ):
        return destination
    if dialogue.transit or late:
        return None
    best, best_rank = None, (0.0, False, 0, False, 0)
    for office in x.by_number.values():
        if (
            office is destination
            or office.number == x.topology.own_number
            or office in dialogue.excluded_offices
        ):
            continue
        if not room(x, office, dialogue, True) or not cold_room(x.cold_start, office, now):
            continue
        if office.blocked_destinations.get(dialogue.destination, 0) > now:
            continue
        net = payoff - felt(dialogue, office.price) - 2 * leg
        proven = dialogue.destination in office.proven_destinations
        told = told_room(x, office, dialogue.destination, now)
        blind = not proven and office.number != dialogue.advised_tandem and not told
        if blind and (len(dialogue.dials) > 1 or dialogue.advised_tandem is not None or told == 0):
            continue
        rank = (
            net,
            office.number == dialogue.advised_tandem,
            min(told or 0, office.free_circuits),
            proven,
            office.free_circuits,
        )
        if rank > best_rank and rank[0] > 0:
            best, best_rank = office, rank
    return best


def best_pool(x: Exchange, dialogue: Dialogue, payoff: float, leg: float, late: bool) -> Office | None:
    """Pools in place of exchanges: the first choice costs one leg, another of the use case's pools two."""
    best, best_rank = None, (0.0, False, 0)
    for office in x.by_number.values():
        first = office.number == dialogue.destination
        if not first and office.number not in dialogue.traffic_class.pools:
            continue
        if office in dialogue.excluded_offices or not room(x, office, dialogue, late):
            continue
        rank = (
            payoff - felt(dialogue, office.price) - (leg if first else 2 * leg),
            first,
            office.free_circuits,
        )
        if rank > best_rank and rank[0] > 0:
            best, best_rank = office, rank
    return best


def place_dialogue(x: Exchange, dialogue: Dialogue, now: int) -> list[Action]:
    """Dial the best route, or answer at once. Rule 2: called only while no dial of the dialogue is out."""
    if now < dialogue.not_before:  # rule 5: the release wait of its last dial is not over
        return [StartTimer(dialogue.not_before - now, dialogue.id + 1)]
    if (
        len(dialogue.dials) >= x.permissions.max_dials
        or now >= dialogue.expires_at
        or not may_repeat(dialogue, now)
    ):
        return give_up(x, dialogue, now)
    office = best_route(x, dialogue, now) if now >= dialogue.called_number.blocked_until else None
    if office is None:
        return give_up(x, dialogue, now)
    direct = office.number == dialogue.destination
    dial = Dial(dialogue, office, now, direct)
    dialogue.dials.append(dial)
    dialogue.pending_dial = dial
    office.free_circuits -= dialogue.width
    if not direct and 0 <= dialogue.destination < len(office.reported_spare):  # else counted from the end
        office.reported_spare[dialogue.destination] = max(
            0, office.reported_spare[dialogue.destination] - dialogue.width
        )
    for crossed in {office.number, dialogue.destination}:
        if crossed in x.by_number:
            x.by_number[crossed].dials_in_interval += 1
            x.by_number[crossed].budget -= 1
    x.recent_dials.append(dial)
    if direct:
        office.recent_dials.append(dial)
    if x.permissions.may_cancel and not dialogue.transit:
        x.unanswered_dials.append(dial)
    return [Send(dialogue.id, office.id, dialogue.expires_at - now)]


def answer_lost(x: Exchange, dial: Dial, now: int) -> bool:
    """Whether a silent dial's answer is taken for lost (exception), to be called off and dialled again: no
    processor crossed is priced, four times the usual delay has passed, and so has half the agreed time that
    the release wait leaves, but enough is left to stand. A pressed processor would get its set-up twice."""
    dialogue = dial.dialogue
    destination = x.by_number.get(dialogue.destination)
    if destination is None or x.own_price or dial.office.price or destination.price:
        return False
    agreed = dialogue.first_try_at + dialogue.traffic_class.target_latency
    half = (agreed - dial.sent_at - x.release.release_wait) // 2
    if now - dial.sent_at < max(4 * x.usual_delay, half - INTERVAL // 2, x.delay_bound):
        return False
    return now + x.release.release_wait + x.usual_delay < min(agreed, dialogue.expires_at)


def may_repeat(dialogue: Dialogue, now: int) -> bool:
    """Whether a use case that must not run twice may be dialled again."""
    use = dialogue.traffic_class
    if dialogue.may_have_run_at is None or (use.repeatable and not use.repeat_within):
        return True
    return use.repeatable and now - dialogue.may_have_run_at < use.repeat_within


def give_up(x: Exchange, dialogue: Dialogue, now: int) -> list[Action]:
    """Rule 1: the one final answer, at once; the dialogue is forgotten with it, so nothing can follow."""
    x.dialogues.pop(dialogue.id, None)
    if now >= dialogue.expires_at or (
        dialogue.may_have_run_at is not None and not dialogue.traffic_class.repeatable
    ):
        return [Fail(dialogue.id)]
    # Come back soon enough that two more tries still fall within the agreed time, where callers heed it.
    return [
        Reject(dialogue.id, min(x.permissions.max_retry_after, dialogue.traffic_class.target_latency // 4))
    ]


def went_away(x: Exchange, event: ev.CallerLeft, now: int) -> None:
    """The caller left: forget the dialogue; its dial must not wait for ever among the load signs."""
    dialogue = x.dialogues.pop(event.dialogue, None)
    if dialogue and dialogue.pending_dial:
        no_answer(x, dialogue.pending_dial, now - dialogue.pending_dial.sent_at)


def no_answer(x: Exchange, dial: Dial, waited: int) -> None:
    """A dial ended unanswered: silence past the bound is a sign of load, anything else is none."""
    if dial.setup_delay is None and waited > x.delay_bound:
        dial.setup_delay = waited
    elif dial.setup_delay is None:
        for dials in (x.recent_dials, dial.office.recent_dials):
            if dial in dials:
                dials.remove(dial)


def stood(x: Exchange, event: ev.DialogueEstablished) -> None:
    """A dial was answered; its delay is a load sign of the processors crossed."""
    dialogue = x.dialogues.get(event.dialogue)
    if not dialogue or event.dial >= len(dialogue.dials):
        return
    dial = dialogue.dials[event.dial]
    dialogue.established = True
    dial.setup_delay, dial.answered = event.setup_delay, True
    dial.office.consecutive_faults = 0
    # The own processor takes set-ups in order: silence that a later answer has overtaken is not its, but a
    # lost answer or a hung office.
    x.recent_dials = [other for other in x.recent_dials if other.answered or other.sent_at >= dial.sent_at]
    x.usual_delay += (event.setup_delay - x.usual_delay) // 16
    dialogue.called_number.pause, dialogue.called_number.first_try_at = 0, None
    if not dial.direct:
        dial.office.proven_destinations.add(dialogue.destination)


def dial_ended(x: Exchange, event: ev.DialEnded, now: int) -> list[Action]:
    """Put the blame where it belongs, then dial again where that can still pay."""
    if event.office in x.offices:
        take_report(x.offices[event.office], event.report)
    dialogue = x.dialogues.get(event.dialogue)
    if not dialogue or event.dial >= len(dialogue.dials):
        return []
    dial = dialogue.dials[event.dial]
    office = dial.office
    if dialogue.pending_dial is dial:
        dialogue.pending_dial = None
    no_answer(
        x,
        dial,
        now - dial.sent_at if event.result in (ev.DialResult.TIMED_OUT, ev.DialResult.CANCELLED) else 0,
    )
    destination = x.by_number.get(dialogue.destination)
    # A processor that fails every set-up answers quickly and its groups look free, so that it would draw all.
    fault = event.result is ev.DialResult.FAULT and event.cause is not ev.ReleaseCause.LINES_BUSY
    # One fault after an answer is its dialogue's own (exception), such as a number that nobody has: a few
    # such callers priced offices and shut tandems. Two in a row are the office's.
    office.consecutive_faults += fault
    blamed = fault and office.consecutive_faults > 1
    full = event.cause is ev.ReleaseCause.PROCESSOR_FULL or event.result is ev.DialResult.UNREACHABLE
    if event.result is ev.DialResult.NOT_SENT:
        x.own_full_count += event.cause is ev.ReleaseCause.PROCESSOR_FULL
        office.free_circuits += dialogue.width  # nothing was taken, and no report need follow
    elif full or (blamed and dial.direct):
        office.full_count += 1
    elif event.cause is ev.ReleaseCause.FAR_PROCESSOR_FULL and destination:
        destination.full_count += 1
    elif blamed or (event.cause is ev.ReleaseCause.TURNED_BACK and not met_silence(x, dial, now)):
        # Five seconds by rounds: two or three waste dials on groups still full, eight misses freed circuits.
        office.blocked_destinations[dialogue.destination] = now + 5 * SECOND
        office.proven_destinations.discard(dialogue.destination)
    if event.dialogue_over:
        x.dialogues.pop(dialogue.id, None)
        return []
    if dialogue.established:
        return give_up(x, dialogue, now)
    if (
        event.result not in (ev.DialResult.FULL, ev.DialResult.UNREACHABLE, ev.DialResult.NOT_SENT)
        and dialogue.may_have_run_at is None
    ):
        dialogue.may_have_run_at = dial.sent_at
    if event.result in (ev.DialResult.TIMED_OUT, ev.DialResult.RESET, ev.DialResult.CANCELLED):
        dialogue.not_before = now + x.release.release_wait
        if dialogue.not_before >= dialogue.expires_at:
            return give_up(x, dialogue, now)
    if event.cause is ev.ReleaseCause.LINES_BUSY:
        lines_busy(dialogue.called_number, now)
    if event.cause in (ev.ReleaseCause.LINES_BUSY, ev.ReleaseCause.FAR_PROCESSOR_FULL) or (
        (full or fault) and (dial.direct or event.result is ev.DialResult.NOT_SENT)
    ):
        return give_up(x, dialogue, now)
    if fault or event.result in (ev.DialResult.FULL, ev.DialResult.UNREACHABLE, ev.DialResult.NOT_SENT):
        dialogue.excluded_offices.append(office)
    return place_dialogue(x, dialogue, now)


def answers_others(x: Exchange, dial: Dial) -> bool:
    """Whether other dials on this route were answered of late."""
    return any(
        other.answered
        and other.office is dial.office
        and other.dialogue.destination == dial.dialogue.destination
        for other in x.recent_dials
    )


def met_silence(x: Exchange, dial: Dial, now: int) -> bool:
    """Whether a tandem turned back only after it had waited in vain (exception), while it leads others on: an
    answer beyond it was lost, and its next group is not full. Full groups turn back in the usual delay."""
    return now - dial.sent_at > max(4 * x.usual_delay, x.delay_bound) and answers_others(x, dial)


def lines_busy(called: CalledNumber, now: int) -> None:
    """Many callers of one number (exception): while its lines are busy, set-ups to it are pushed back unsent,
    for a pause that doubles with each busy answer and ends with the first dialogue that stands. From half a
    second, as a line is seldom free sooner, to four, so that a freed line is found soon."""
    if now >= called.blocked_until:
        called.pause = min(max(2 * called.pause, SECOND // 2), 4 * SECOND)
        called.blocked_until = now + called.pause


# ---- prices ----


def take_report(office: Office, report: ev.OfficeReport) -> None:
    """Free circuits count at once; the processor's figures are load signs of this interval."""
    if report.free_circuits is not None and report.group_size is not None:
        office.free_circuits, office.group_size = report.free_circuits, report.group_size
    if report.utilisation is not None:
        office.utilisation = report.utilisation
    if report.queue_wait is not None:
        office.queue_wait = report.queue_wait


def interval_over(x: Exchange, now: int) -> list[Action]:
    """Step every price once and start the next interval."""
    x.recent_dials = [
        dial
        for dial in x.recent_dials
        if dial.setup_delay is None or now - dial.sent_at - dial.setup_delay < SECOND
    ]
    own_delay = own_delay_seen(x.recent_dials, x.delay_bound, now)
    own_load = load_of(x.delay_bound, None, None, own_delay, x.own_full_count)
    x.own_price, x.own_full_count = stepped(x.own_price, own_load, x.min_value, x.max_value), 0
    for office in x.by_number.values():
        office.recent_dials = fresh(office.recent_dials, x.delay_bound, now)
        delay = delay_seen(office, x.delay_bound, now)
        far = None if delay is None else delay - (own_delay or 0)
        load = load_of(x.delay_bound, office.utilisation, office.queue_wait, far, office.full_count)
        # Unheard, it decays by the signs to be expected: with fewer than one in three intervals the price of
        # a slow office would be gone before the next dial to it. A tenth at least, for one seldom called.
        expected = min(1.0, max(0.1, office.usual_rate * 3 * INTERVAL / SECOND))
        office.price = stepped(office.price, load, x.min_value, x.max_value, expected)
        office.full_count, office.utilisation, office.queue_wait = 0, None, None
        if not cold(x.cold_start, office, now) and not office.price and not x.own_price:
            # A mean over some 32 intervals, long against a burst and short against a day; what a priced
            # processor gets is not usual, and would starve it when it comes back cold.
            office.usual_rate += (office.dials_in_interval * SECOND / INTERVAL - office.usual_rate) / 32
        office.dials_in_interval = 0
    # A number not called for a minute is forgotten; by then its lines have changed hands.
    x.called_numbers = {
        key: called for key, called in x.called_numbers.items() if now - called.last_called_at < 60 * SECOND
    }
    sizes = [
        o.group_size
        for o in x.by_number.values()
        if o.group_size is not None and o.number != x.topology.own_number
    ]
    x.direct_share = sum(size > 0 for size in sizes) / max(1, len(sizes))
    out: list[Action] = [StartTimer(INTERVAL, TICK), *([SubscribeDiscovery()] if x.resubscribe else [])]
    x.resubscribe = False
    x.unanswered_dials = [
        dial for dial in x.unanswered_dials if dial.setup_delay is None and dial.dialogue.pending_dial is dial
    ]
    for dial in x.unanswered_dials:
        if answer_lost(x, dial, now):
            out.append(Cancel(dial.dialogue.id, len(dial.dialogue.dials) - 1))
    tells = (
        x.permissions.may_message_peers and not x.topology.has_centre and (x.topology.own_number or 0) < 256
    )
    if tells and x.topology.peer_count and now >= x.next_peer_message_at:
        x.next_peer_message_at = now + tell_period(x.topology.peer_count)
        out.append(SendPeerMessage(word(x)))
    return out


BOUND_UTILISATION = 0.9  # the design page's starting bound


def fresh(dials: list[Dial], bound: int, now: int) -> list[Dial]:
    """Dials of which the delay became known within the last second, or that have waited past the bound for no
    longer: four intervals, so that few dials to an office still make a sign, yet a few lost answers do not
    shut it, or the whole exchange, until their callers give up."""
    return [
        dial
        for dial in dials
        if now - dial.sent_at - (bound if dial.setup_delay is None else dial.setup_delay) < SECOND
    ]


def news(dials: list[Dial], bound: int, now: int) -> bool:
    """Whether a delay became known in the interval just over, or a dial waits past the bound."""
    ages = ((now - dial.sent_at, dial.setup_delay) for dial in dials)
    return any(age > bound if took is None else age - took < INTERVAL for age, took in ages)


def known_delays(dials: list[Dial], bound: int, now: int) -> list[int]:
    """Delays in the order of sending. A dial that waits past the bound counts with its age: silence is
    evidence, and taking dials as they were sent lets those answered since stand beside it."""
    return [
        now - dial.sent_at if dial.setup_delay is None else dial.setup_delay
        for dial in dials
        if dial.setup_delay is not None or now - dial.sent_at > bound
    ]


def delay_seen(office: Office, bound: int, now: int) -> int | None:
    """Middle of the last three delays, if one is new. One silent dial alone is no sign: its answer may be
    lost, and an office seldom called would be shut for it."""
    if not news(office.recent_dials, bound, now):
        return None
    delays = known_delays(office.recent_dials, bound, now)[-3:]
    if len(delays) == 1 and delays[0] > bound and office.recent_dials[-1].setup_delay is None:
        return None
    return median_low(delays)


def own_delay_seen(dials: list[Dial], bound: int, now: int) -> int | None:
    """What all routes share is the own processor's: the least of the last four delays, silence
    among them for as long as it lasts, for a jammed processor sends few dials."""
    delays = known_delays(dials, bound, now)[-4:]
    return min(delays) if len(delays) > 2 and news(dials, bound, now) else None


def load_of(
    bound: int, utilisation: float | None, wait: int | None, delay: int | None, fulls: int
) -> float | None:
    """Load over its bound by the best fresh sign, or None without one; 'full' is over the bound."""
    if utilisation is not None:
        load: float | None = utilisation / BOUND_UTILISATION
    elif wait is not None:
        load = wait / bound
    else:
        load = None if delay is None else delay / bound
    return max(load or 0.0, 1.5) if fulls else load


def stepped(price: float, load: float | None, unit: float, top: float, expected: float = 1.0) -> float:
    """One step of a price: up over the bound, down toward nought under it, decay unheard. By rounds on
    all three sites, slower decay or a higher cap kept offices shut long after their trouble, and under the
    cap of 0.7 of the highest payoff a dear dialogue can always bring a fresh sign."""
    if load is None:
        return price * 0.7**expected if price > unit / 100 else 0.0
    if load > 1:
        return min(price + unit * 0.8 * min(load - 1, 1.0), 0.7 * top)
    return max(0.0, price - (unit + price) * 0.2 * (1 - load))


# ---- words between call servers (exception: only where a tandem's second group is told by nobody else) ----

FORM = 1  # first byte of a word; another form is skipped


def tell_period(peers: int) -> int:
    """How often to tell: each server hears some ten words a second, whatever their number: they cost work."""
    return max(SECOND, peers * SECOND // 10)


def word(x: Exchange) -> bytes:
    """Form, own number, then for each number how many dialogues in transit its group would take."""
    spare = bytearray(min(max(x.by_number, default=-1) + 1, 254))
    for number, office in x.by_number.items():
        if 0 <= number < len(spare):
            spare[number] = max(0, min(255, office.free_circuits - kept_back(office, x.direct_share)))
    return bytes((FORM, x.topology.own_number or 0)) + spare


def take_word(x: Exchange, event: ev.PeerMessageReceived, now: int) -> None:
    """A peer told its groups' room; what is empty, cut short or of another form tells nothing."""
    if len(event.text) > 1 and event.text[0] == FORM and event.text[1] in x.by_number:
        office = x.by_number[event.text[1]]
        office.reported_spare, office.reported_at = list(event.text[2:]), now


def told_room(x: Exchange, office: Office, destination: int, now: int) -> int | None:
    """Dialogues that the tandem's second group would take, or None where it was not told of late."""
    if not 0 <= destination < len(office.reported_spare) or now - office.reported_at > 3 * tell_period(
        x.topology.peer_count
    ):
        return None
    return office.reported_spare[destination]


# ---- cold offices ----


def cold(rule: ColdStartRule, office: Office, now: int) -> bool:
    """Whether the office's processor started so short a time ago that it may still be cold."""
    return office.started_at is not None and now - office.started_at < rule.warm_after


def cold_room(rule: ColdStartRule, office: Office, now: int) -> bool:
    """Rule 4: a cold office gets no more from here than its share of what this server usually sends it. The
    first allowance is left to chance: however many servers hear at once that it started, and have callers
    waiting, their first dials come at the rate of all, not together."""
    if not cold(rule, office, now):
        office.budget, office.budget_updated_at = 0.0, 0
        return True
    grown = max(0.0, (now - (office.started_at or 0)) / rule.warm_after)
    share = rule.start_share + (1 - rule.start_share) * grown
    # Never under one dial in four seconds, so that an office not used before can still be tried.
    rate = max(office.usual_rate, 0.25) * share * rule.multiple
    grown_by = (
        rate * (now - office.budget_updated_at) / SECOND
        if office.budget_updated_at
        else office.initial_budget
    )
    office.budget = min(office.budget + grown_by, 1.0 + rate)
    office.budget_updated_at = now
    return office.budget >= 1.0
