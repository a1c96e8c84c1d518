"""The wire's messages, read into events and written from actions. Nanoseconds stay on this side."""

from collections.abc import Callable
from typing import Any

from wellhitch.interface import actions, events, facts

NS_PER_US = 1000
ENDINGS = {
    "Ok": events.DialResult.ENDED_WELL,
    "Failed": events.DialResult.FAULT,
    "QueueFull": events.DialResult.FULL,
    "TimedOut": events.DialResult.TIMED_OUT,
    "ConnectError": events.DialResult.UNREACHABLE,
    "ResetByPeer": events.DialResult.RESET,
    "Canceled": events.DialResult.CANCELLED,
    "Ignored": events.DialResult.NOT_SENT,
}
BLAMES = {
    1: events.ReleaseCause.NO_CIRCUIT,
    2: events.ReleaseCause.TURNED_BACK,
    3: events.ReleaseCause.PROCESSOR_FULL,
    4: events.ReleaseCause.LINES_BUSY,
}
NOTE_WAIT = 16
MARK_REDIALLED = 2
MARK_TRANSIT = 8
STANDINGS = {
    "Ready": events.OfficeState.READY,
    "Terminating": events.OfficeState.DRAINING,
    "Gone": events.OfficeState.GONE,
}
LISTS = {
    "Partial": events.ListKind.CHANGES,
    "Complete": events.ListKind.FULL,
    "Persisted": events.ListKind.CACHED,
    "Error": events.ListKind.FAILED,
}


def micros(value: Any) -> int:
    """Whole microseconds of a wire time; an absent one is 0."""
    return int(value or 0) // NS_PER_US


def nanos(value: int) -> int:
    """Wire time of whole microseconds."""
    return value * NS_PER_US


def read_report(values: Any) -> events.OfficeReport:
    """Load report; a value below 0, or no figure, was not told, and keys not known are skipped."""
    if not isinstance(values, dict):
        return events.OfficeReport()

    def told(key: str) -> float | None:
        value = values.get(key)
        # NaN passes JSON's reader and compares with nothing.
        if isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 1e15:
            return float(value)
        return None

    free, size, wait = told("spare"), told("total"), told("lat_ms")
    return events.OfficeReport(
        free_circuits=None if free is None else int(free),
        group_size=None if size is None else int(size),
        utilisation=told("busy"),
        queue_wait=None if wait is None else int(wait * 1000),
        accept_rate_per_s=told("allowed"),
        load_reduction=told("cut_by"),
    )


def read_blame(cause: Any) -> tuple[events.ReleaseCause, int]:
    """Reason of an ending and the wait it names, in microseconds; note 18 is the destination's processor."""
    base, named = int(cause or 0) % NOTE_WAIT, int(cause or 0) // NOTE_WAIT
    if base == 2 and named:
        return events.ReleaseCause.FAR_PROCESSOR_FULL, 0
    return BLAMES.get(base, events.ReleaseCause.NONE), named * 1000


def read_opened(seed: int, told: dict[str, Any]) -> events.ServerStarted:
    """First message of an instance, split into the small records of `interface.facts`."""
    family, limits, rules = (told.get(name) or {} for name in ("family_info", "limits", "rules"))
    widths, holds = family.get("circuits_by_class") or [], family.get("class_hold_ns") or []
    pools = family.get("skilled_pools") or []
    use_cases = []
    for at, row in enumerate(told.get("classes") or []):
        semantics = row.get("semantics", "retryable")
        use_cases.append(
            facts.TrafficClass(
                name=row["name"],
                value=float(row.get("importance", 1.0)),
                late_share=float(row.get("late_value", 0.0)),
                target_latency=micros(row.get("objective_ns")),
                deadline=micros(row.get("deadline_ns")),
                width=int(widths[at]) if at < len(widths) else 1,
                hold=micros(holds[at]) if at < len(holds) else 0,
                pools=tuple(pools[at]) if at < len(pools) and pools[at] else (),
                repeatable=semantics == "retryable" or (semantics == "dedup" and row.get("group") == "all"),
                repeat_within=micros(row.get("memory_span_ns")) if semantics == "dedup" else 0,
            )
        )
    meshed = family.get("topology", "meshed") == "meshed"
    return events.ServerStarted(
        seed=int(seed or 0),
        traffic_classes=tuple(use_cases),
        topology=facts.ServerTopology(
            own_number=int(family.get("self_no", -1)) if meshed else None,
            peer_count=max(0, int(told.get("balancers", 1)) - 1),
            must_subscribe=told.get("discovery") == "ask",
            subscribe_timeout=micros(rules.get("ask_within_ns")),
            has_centre=bool(family.get("centre_advises")),
        ),
        permissions=facts.Permissions(
            max_dials=int(limits.get("most_tries", 1)),
            may_cancel=bool(limits.get("may_cancel")),
            may_probe=bool(limits.get("probes")),
            may_message_peers=bool(limits.get("peer_messages")),
            max_retry_after=micros(limits.get("max_retry_after_ns")) if limits.get("retry_after") else 0,
            callers_mark_redials=bool((told.get("callers") or {}).get("marks_retry")),
        ),
        release=facts.ReleaseRule(
            release_wait=micros(family.get("clear_wait_ns")), drain_grace=micros(rules.get("drain_grace_ns"))
        ),
        cold_start=facts.ColdStartRule(
            start_share=float(rules.get("cold_from", 1.0)),
            warm_after=micros(rules.get("cold_ns")),
            multiple=float(rules.get("fall_multiple", 1.0)),
            window=micros(rules.get("tip_after_ns")),
        ),
    )


def read_entry(row: list[Any]) -> events.OfficeEntry:
    """One line of a list."""
    office, _zone, _kind, number, standing, _hint, started = (*row, None, None, None)[:7]
    return events.OfficeEntry(office, int(number), STANDINGS[standing], micros(started) if started else None)


def read_arrived(m: list[Any]) -> events.DialogueArrived:
    """A dialogue handed over."""
    marks, advised = int(m[11] or 0), m[6]
    return events.DialogueArrived(
        dialogue=m[2],
        traffic_class=m[7],
        destination=int(m[10] if m[10] is not None else -1),
        called_number=m[5],
        time_left=micros(m[8]),
        width=int(m[4] or 1),
        advised_tandem=None if advised is None or advised < 0 or marks & MARK_TRANSIT else int(advised),
        is_redial=bool(marks & MARK_REDIALLED),
        transit=bool(marks & MARK_TRANSIT),
    )


def read_ended(m: list[Any]) -> events.DialEnded:
    """The ending of a dial."""
    blame, wait = read_blame(m[8])
    ending = ENDINGS.get(m[5], events.DialResult.FAULT)
    return events.DialEnded(m[2], m[3], m[4], ending, blame, wait, bool(m[7]), read_report(m[9]))


def read_reported(m: list[Any]) -> events.OfficeReported:
    """A trunk group's change, or a probe's answer."""
    return events.OfficeReported(m[2], bool(m[4]), m[3] == "Ok", read_report(m[5]))


def read_bytes(digits: Any) -> bytes:
    """Bytes of a peer's message; what is no hex is read as an empty one."""
    try:
        return bytes.fromhex(digits or "")
    except (TypeError, ValueError):
        return b""


READERS: dict[str, Callable[[list[Any]], events.Event]] = {
    "Ingress": read_arrived,
    "Started": lambda m: events.DialogueEstablished(m[2], m[3], micros(m[5])),
    "HealthResult": read_reported,
    "Verdict": read_ended,
    "Left": lambda m: events.CallerLeft(m[2]),
    "TickDue": lambda m: events.TimerFired(m[2]),
    "Heard": lambda m: events.PeerMessageReceived(m[2], read_bytes(m[3])),
}
LENGTHS = {"Ingress": 12, "Started": 6, "HealthResult": 6, "Left": 3, "TickDue": 3, "Heard": 4, "Verdict": 10}


def write_action(who: int, action: actions.Action) -> list[Any]:
    """One action as the wire wants it."""
    match action:
        case actions.Send(dialogue, office, within):
            return ["Assign", who, dialogue, office, nanos(within)]
        case actions.Cancel(dialogue, dial):
            return ["AbortAttempt", who, dialogue, dial]
        case actions.Reject(dialogue, come_back):
            return ["Refuse", who, dialogue, nanos(come_back)]
        case actions.Fail(dialogue):
            return ["Fail", who, dialogue]
        case actions.StartTimer(after, token):
            return ["Arm", who, nanos(after), token]
        case actions.SendPeerMessage(text):
            return ["Signal", who, -1, text.hex()]
        case actions.SubscribeDiscovery():
            return ["StreamChanges", who, True]
    raise TypeError(f"no wire form for {action!r}")
