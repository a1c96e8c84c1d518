"""Checks the five rules against captures. A pure function from captures to a verdict. Times are whole microseconds.

The parties of one day share one clock. A frame takes at most `way` us to arrive, and two delays differ by at most
`spread`; both are given in the capture `world`, and each rule states how it allows for them. When a call server's
process was killed or paused is also recorded in `world`.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from wellhitch.trunk import frames
from wellhitch.trunk.capture import BadCapture, Capture, CapturedFrame, Note


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule: which rule, when, by which call server, and a description."""

    rule: int
    time_us: int
    server: int
    description: str


@dataclass(slots=True)
class Verdict:
    """All violations, and how many events each rule examined."""

    violations: list[Violation] = field(default_factory=list)
    examined: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """The parameters of the rules. The field names are the keys in the first line of the capture `world`."""

    drain_grace: int
    release_wait: int
    cold_multiple: float
    cold_window: int
    way: int
    spread: int


COLD_SLACK = 2.0  # set-ups beyond the budget that may coincide by chance


@dataclass(slots=True)
class _Outages:
    """When each call server was down or paused: it is not held to its obligations then."""

    intervals: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))

    def overlaps(self, server: int, since: int, until: int) -> bool:
        """Whether an outage of the server overlaps an interval."""
        return any(begin <= until and end >= since for begin, end in self.intervals.get(server, ()))


def judge(captures: list[Capture]) -> Verdict:
    """Check all rules. Raises BadCapture if captures are missing or hold no dialogue."""
    by_party: dict[str, list[Capture]] = defaultdict(list)
    for capture in captures:
        by_party[capture.party].append(capture)
    for party in ("world", "office", "callers", "register"):
        if not by_party[party]:
            raise BadCapture(f"no capture of a party {party!r}")
    world = by_party["world"][0]
    parameters = _parameters(world)
    outages = _outages(world)
    verdict = Verdict()
    for capture in by_party["callers"]:
        _check_answers(capture, parameters, outages, verdict)
    for capture in by_party["office"]:
        _check_transit_answers(capture, parameters, outages, verdict)
        _check_cold_starts(capture, parameters, verdict)
    _check_dials(world, by_party["office"], parameters, verdict)
    _check_drains(by_party["register"], by_party["office"], parameters, outages, verdict)
    if not verdict.examined["dialogues"]:
        raise BadCapture("no dialogue in any capture: nothing to judge")
    verdict.violations.sort(key=lambda found: (found.time_us, found.rule, found.server, found.description))
    return verdict


def _parameters(world: Capture) -> RuleParameters:
    try:
        return RuleParameters(**{name: world.facts[name] for name in RuleParameters.__dataclass_fields__})
    except KeyError as missing_key:
        raise BadCapture(f"{world.name}: first line lacks {missing_key}") from None


def _outages(world: Capture) -> _Outages:
    result = _Outages()
    started: dict[int, int] = {}
    end_time = 0
    for record in world.records:
        end_time = max(end_time, record.time_us)
        if not isinstance(record, Note) or "server" not in record.facts:
            continue
        server = record.facts["server"]
        if record.kind in ("server_killed", "server_paused"):
            started.setdefault(server, record.time_us)
        elif record.kind in ("server_started", "server_resumed") and server in started:
            result.intervals[server].append((started.pop(server), record.time_us))
    for server, time_us in started.items():
        result.intervals[server].append((time_us, 1 << 62))
    return result


# ---- rule 1 ----


@dataclass(slots=True)
class _OpenCall:
    received_at: int
    left: int
    connection: int
    answered_at: int | None = None
    answer: str = ""
    released_at: int | None = None


def _check_answers(capture: Capture, parameters: RuleParameters, outages: _Outages, verdict: Verdict) -> None:
    """Rule 1 at the callers: each Call gets one Final within `left`, followed at most by the end of an established
    call. A caller that hung up or lost its connection is owed no answer; a Final that crossed the Leave is accepted
    for twice the longest delay."""
    server = int(capture.facts["number"])
    open_calls: dict[tuple[int, int], _OpenCall] = {}
    end_time = 0

    def violation(time_us: int, description: str) -> None:
        verdict.violations.append(Violation(1, time_us, server, description))

    def check_missing(call_id: int, open_call: _OpenCall, now: int) -> None:
        due = open_call.received_at + open_call.left
        if (
            open_call.answered_at is None
            and now >= due
            and not outages.overlaps(server, open_call.received_at, due)
        ):
            violation(due, f"call {call_id}: no answer within its {open_call.left} us")

    for record in capture.records:
        end_time = max(end_time, record.time_us)
        if isinstance(record, Note):
            if record.kind == "down":
                for key, open_call in list(open_calls.items()):
                    if key[0] == record.facts["link"]:
                        if open_call.released_at is None:
                            check_missing(key[1], open_call, record.time_us)
                        del open_calls[key]
            continue
        frame = record.frame
        key = (record.connection, getattr(frame, "id", -1))
        if isinstance(frame, frames.Call):
            verdict.examined["dialogues"] += 1
            open_calls[key] = _OpenCall(record.time_us, frame.left, record.connection)
        elif isinstance(frame, frames.HangUp):
            released = open_calls.get(key)
            if released and released.released_at is None:
                check_missing(frame.id, released, record.time_us)
                released.released_at = record.time_us
        elif isinstance(frame, frames.Final):
            answered_call = open_calls.get(key)
            if answered_call is None:
                violation(
                    record.time_us, f"call {frame.id}: a final answer to an unknown call on this connection"
                )
            else:
                _check_final(answered_call, record, frame, parameters, outages, server, violation)
        elif isinstance(frame, frames.Ended):
            ended = open_calls.get(key)
            if ended is None or ended.answer != "stands":
                violation(
                    record.time_us, f"call {frame.id}: its end was reported, but it was never established"
                )
    for (_, call_id), open_call in open_calls.items():
        if open_call.released_at is None:
            check_missing(call_id, open_call, end_time)


def _check_final(
    open_call: _OpenCall,
    record: CapturedFrame,
    frame: frames.Final,
    parameters: RuleParameters,
    outages: _Outages,
    server: int,
    violation: Callable[[int, str], None],
) -> None:
    if open_call.answered_at is not None:
        violation(
            record.time_us, f"call {frame.id}: a second answer, {frame.answer} after {open_call.answer}"
        )
    elif open_call.released_at is not None and record.time_us > open_call.released_at + 2 * parameters.way:
        if not outages.overlaps(server, open_call.released_at, record.time_us):
            violation(
                record.time_us,
                f"call {frame.id}: {frame.answer} {record.time_us - open_call.released_at} us after the caller left",
            )
    elif (
        open_call.released_at is None
        and record.time_us > open_call.received_at + open_call.left
        and not outages.overlaps(server, open_call.received_at, record.time_us)
    ):
        violation(
            record.time_us,
            f"call {frame.id}: {frame.answer} {record.time_us - open_call.received_at - open_call.left} us too late",
        )
    open_call.answered_at, open_call.answer = record.time_us, frame.answer


def _check_transit_answers(
    capture: Capture, parameters: RuleParameters, outages: _Outages, verdict: Verdict
) -> None:
    """Rule 1 for dialogues in transit, at the tandem's office: each Setup sent to the call server gets one Answer or
    PushBack within `left`, unless it was cancelled or the connection was lost."""
    server = int(capture.facts["number"])
    open_setups: dict[tuple[int, int], _OpenCall] = {}
    end_time = 0

    unread = _unread_intervals(capture, parameters.way)

    def violation(time_us: int, description: str) -> None:
        verdict.violations.append(Violation(1, time_us, server, f"{capture.name}: {description}"))

    def check_missing(ref: int, open_call: _OpenCall, now: int) -> None:
        # The Setup reaches the call server one delay later, and the answer takes another.
        due = open_call.received_at + open_call.left + 2 * parameters.way
        if any(begin <= due and end >= open_call.received_at for begin, end in unread):
            return  # an answer may be unread
        if (
            open_call.answered_at is None
            and now > due
            and not outages.overlaps(server, open_call.received_at, due)
        ):
            violation(due, f"transit {ref}: no answer within its {open_call.left} us")

    for record in capture.records:
        end_time = max(end_time, record.time_us)
        if isinstance(record, Note):
            if record.kind == "down":
                for key, open_call in list(open_setups.items()):
                    if key[0] == record.facts["link"]:
                        if open_call.released_at is None:
                            check_missing(key[1], open_call, record.time_us)
                        del open_setups[key]
            continue
        frame = record.frame
        key = (record.connection, getattr(frame, "dial_ref", -1))
        if record.direction == "out":
            if isinstance(frame, frames.Setup):
                verdict.examined["transits"] += 1
                open_setups[key] = _OpenCall(record.time_us, frame.left, record.connection)
            elif isinstance(frame, (frames.Cancel, frames.Release)):
                cancelled = open_setups.get(key)
                if cancelled and cancelled.released_at is None:
                    check_missing(frame.dial_ref, cancelled, record.time_us)
                    cancelled.released_at = record.time_us
        elif isinstance(frame, (frames.Answer, frames.Reject)):
            setup = open_setups.get(key)
            name = str(frame.__struct_config__.tag)
            if setup is None:
                violation(record.time_us, f"transit {frame.dial_ref}: {name} to an unknown Setup")
            elif setup.answered_at is not None:
                violation(
                    record.time_us,
                    f"transit {frame.dial_ref}: a second answer, {name} after {setup.answer}",
                )
            elif (
                setup.released_at is not None
                and _earliest_arrival(unread, record.time_us) > setup.released_at + 2 * parameters.way
                and not outages.overlaps(server, setup.released_at, record.time_us)
            ):
                violation(record.time_us, f"transit {frame.dial_ref}: {name} after it was cancelled")
            if setup is not None:
                setup.answered_at, setup.answer = record.time_us, name
    for (_, ref), open_call in open_setups.items():
        if open_call.released_at is None:
            check_missing(ref, open_call, end_time)


# ---- rules 2 and 5 ----


def _unread_intervals(capture: Capture, max_delay: int) -> list[tuple[int, int]]:
    """Intervals in which a party read nothing, each extended by one delay. Frames read at the end were sent within."""
    result: list[tuple[int, int]] = []
    started: int | None = None
    for record in capture.records:
        if isinstance(record, Note) and record.kind == "reads_nothing":
            started = record.time_us if started is None else started
        elif isinstance(record, Note) and record.kind in ("reads_on", "stopped") and started is not None:
            result.append((started, record.time_us + max_delay))
            started = None
    if started is not None:
        result.append((started, 1 << 62))
    return result


def _silent_intervals(world: Capture, max_delay: int) -> dict[tuple[int, str], list[tuple[int, int]]]:
    """Intervals in which bytes between a call server and an office did not arrive, by server number and office name.
    They arrived at the end of the interval."""
    result: dict[tuple[int, str], list[tuple[int, int]]] = defaultdict(list)
    started: dict[tuple[int, str], int] = {}
    for record in world.records:
        if not isinstance(record, Note) or record.kind not in ("silent", "silent_over"):
            continue
        key = (int(record.facts["here"].rpartition("-")[2]), str(record.facts["there"]))
        if record.kind == "silent":
            started.setdefault(key, record.time_us)
        elif key in started:
            result[key].append((started.pop(key), record.time_us + 2 * max_delay))
    for key, time_us in started.items():
        result[key].append((time_us, 1 << 62))
    return result


def _earliest_arrival(unread: list[tuple[int, int]], time_us: int) -> int:
    """The earliest time at which a frame read at `time_us` may have arrived."""
    return next((begin for begin, end in unread if begin <= time_us <= end), time_us)


HALF_OPEN_US = 1_500_000  # one and a half heartbeat intervals without a frame before the connection was lost


@dataclass(slots=True)
class _Dial:
    """One dial as recorded at the office. `ended_at`: from then on the sender may treat it as over."""

    sender: int
    received_at: int
    office: str
    number: int
    earliest: int  # earliest possible arrival, if it was read or arrived late
    ended_at: int | None = None
    end_reason: str = ""
    established: bool = False


def _office_dials(
    capture: Capture, max_delay: int, silent: dict[tuple[int, str], list[tuple[int, int]]]
) -> Iterator[tuple[tuple[int, int, int], _Dial]]:
    """All set-ups that reached an office, each with its end, as pairs of (sender, origin, dialogue) and dial."""
    result: dict[tuple[int, int], _Dial] = {}
    unread = _unread_intervals(capture, max_delay)
    for record in capture.records:
        if isinstance(record, Note):
            if record.kind == "down":
                last_received_at = record.facts.get("heard", record.time_us)
                late = unread + silent.get((record.facts["number"], capture.name), [])
                half_open = record.time_us - last_received_at > HALF_OPEN_US
                for key in [key for key in result if key[0] == record.facts["link"]]:
                    # The sender lost a half-open connection at a time unknown at this end, but not before the last
                    # frame received here.
                    _end_dial(
                        result.pop(key),
                        max(last_received_at, 0) if half_open else _earliest_arrival(late, record.time_us),
                        "lost" if half_open else "reset",
                    )
            continue
        frame = record.frame
        key = (record.connection, getattr(frame, "dial_ref", -1))
        late = unread + silent.get((record.number, capture.name), [])
        if record.direction == "in" and isinstance(frame, frames.Setup):
            dial = result[key] = _Dial(
                record.number,
                record.time_us,
                capture.name,
                frame.dial,
                _earliest_arrival(late, record.time_us),
            )
            yield (record.number, frame.origin, frame.dialogue), dial
        elif (
            record.direction == "in" and isinstance(frame, (frames.Cancel, frames.Release)) and key in result
        ):
            reason = "cancelled" if isinstance(frame, frames.Cancel) else "released"
            _end_dial(result.pop(key), _earliest_arrival(late, record.time_us), reason)
        elif record.direction == "out" and isinstance(frame, (frames.Reject, frames.Cut)) and key in result:
            reason = "rejected" if isinstance(frame, frames.Reject) else "reset"
            # If the Setup was read late, a Cancel sent long before may follow it in the same read.
            _end_dial(result.pop(key), _earliest_arrival(late, record.time_us), reason)
        elif record.direction == "out" and isinstance(frame, frames.Answer) and key in result:
            result[key].established = True


def _end_dial(dial: _Dial, time_us: int, reason: str) -> None:
    if dial.ended_at is None:
        dial.ended_at, dial.end_reason = time_us, reason


def _check_dials(
    world: Capture, offices: list[Capture], parameters: RuleParameters, verdict: Verdict
) -> None:
    """Rule 2: no dial of a dialogue reaches an office while an earlier one of the same sender is outstanding.
    Rule 5: none arrives within the release wait after one that was cancelled or reset. The sender's delays to two
    offices differ by at most `spread`, which is allowed for."""
    dialled: dict[tuple[int, int, int], list[_Dial]] = defaultdict(list)
    silent = _silent_intervals(world, parameters.way)
    for capture in offices:
        for dialogue_key, dial in _office_dials(capture, parameters.way, silent):
            dialled[dialogue_key].append(dial)
    for (sender, origin, dialogue), dials in dialled.items():
        dials.sort(key=lambda dial: (dial.received_at, dial.number))
        verdict.examined["dials"] += len(dials)
        name = f"dialogue {origin}.{dialogue}"
        for earlier, later in zip(dials, dials[1:], strict=False):
            # The arrival time of a dial that was read late is unknown, and so is its order relative to the other: it is
            # a violation only if it is one for every possible arrival time.
            late = later.earliest < later.received_at
            certainly_out = not late or later.ended_at is None or later.ended_at > later.received_at
            if (
                earlier.ended_at is None or earlier.ended_at > later.received_at + parameters.spread
            ) and certainly_out:
                description = (
                    f"{name}: dial {later.number} at {later.office} while {earlier.number}"
                    f" at {earlier.office} is out"
                )
                verdict.violations.append(Violation(2, later.received_at, sender, description))
            elif (
                earlier.ended_at is not None
                and earlier.end_reason in ("cancelled", "reset")
                and not (late and later.earliest < earlier.ended_at)
            ):
                elapsed = later.received_at - earlier.ended_at
                if elapsed < parameters.release_wait - parameters.spread:
                    description = (
                        f"{name}: dial {later.number} at {later.office} {elapsed} us after {earlier.number} at"
                        f" {earlier.office} was {earlier.end_reason}; the wait is {parameters.release_wait}"
                    )
                    verdict.violations.append(Violation(5, later.received_at, sender, description))


# ---- rule 3 ----


def _check_drains(
    registers: list[Capture],
    offices: list[Capture],
    parameters: RuleParameters,
    outages: _Outages,
    verdict: Verdict,
) -> None:
    """Rule 3: no set-up of a call server reaches an office later than the drain grace, plus the delays, after that call
    server was told that the office is draining or gone."""
    updates: dict[tuple[int, str], list[tuple[int, bool]]] = defaultdict(list)
    for capture in registers:
        last_state: dict[tuple[int, str], bool] = {}
        for record in capture.records:
            if (
                isinstance(record, Note)
                or not isinstance(record.frame, frames.OfficeList)
                or record.direction != "out"
            ):
                continue
            entries = record.frame.entries
            ready_by_office = {entry.office: entry.state == "ready" for entry in entries}
            if record.frame.kind == "whole":
                ready_by_office.update(
                    {
                        office: False
                        for server_number, office in last_state
                        if server_number == record.number and office not in ready_by_office
                    }
                )
            for office, ready in ready_by_office.items():
                last_state[record.number, office] = ready
                updates[record.number, office].append((record.time_us, ready))
    for capture in offices:
        for record in capture.records:
            if (
                isinstance(record, Note)
                or record.direction != "in"
                or not isinstance(record.frame, frames.Setup)
            ):
                continue
            history = updates.get((record.number, capture.name), [])
            index = bisect_right(history, (record.time_us, True)) - 1
            if index < 0 or history[index][1]:
                continue
            while index > 0 and not history[index - 1][1]:
                index -= 1  # back to the first update that said so
            since = history[index][0]
            verdict.examined["setups_after_drain"] += 1
            late = record.time_us - since - parameters.drain_grace - 2 * parameters.way
            if late > 0 and not outages.overlaps(record.number, since, record.time_us):
                description = (
                    f"a set-up reached {capture.name} {record.time_us - since} us"
                    " after it was told that it drains"
                )
                verdict.violations.append(Violation(3, record.time_us, record.number, description))


# ---- rule 4 ----


def _check_cold_starts(capture: Capture, parameters: RuleParameters, verdict: Verdict) -> None:
    """Rule 4: while an office is cold, the set-ups that reach it in any window stay below `cold_multiple` times its
    current capacity times the window; and it never fails by overload."""
    started, warm_after = capture.facts.get("started"), capture.facts.get("warm_after", 0)
    number = int(capture.facts["number"])
    window: list[tuple[int, int]] = []
    first_index = 0
    reported = False
    for record in capture.records:
        if isinstance(record, Note):
            if record.kind == "fell_over":
                verdict.violations.append(Violation(4, record.time_us, -1, f"{capture.name} fell over"))
            continue
        if started is None or record.direction != "in" or not isinstance(record.frame, frames.Setup):
            continue
        age = record.time_us - int(started)
        if age >= warm_after or record.number == number:
            continue
        verdict.examined["cold_setups"] += 1
        share = capture.facts["cold_share"] + (1 - capture.facts["cold_share"]) * max(0, age) / warm_after
        window.append((record.time_us, record.number))
        while window[first_index][0] <= record.time_us - parameters.cold_window:
            first_index += 1
        allowed = (
            parameters.cold_multiple * share * parameters.cold_window / capture.facts["setup_us"] + COLD_SLACK
        )
        if len(window) - first_index > allowed and not reported:
            reported = True
            senders = ", ".join(
                str(server_number)
                for server_number in sorted({server_number for _, server_number in window[first_index:]})
            )
            count = len(window) - first_index
            description = (
                f"{capture.name}: {count} set-ups in a window that allows {allowed:.1f}, from {senders}"
            )
            verdict.violations.append(Violation(4, record.time_us, -1, description))
