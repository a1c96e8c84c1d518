"""Translates wire messages into events and actions into wire messages. Times are nanoseconds on the wire and
microseconds inside."""

from collections.abc import Callable
from typing import Any

from wellhitch.interface import actions, events, facts

NS_PER_US = 1000
DIAL_RESULTS = {
    "Ok": events.DialResult.ENDED_WELL,
    "Failed": events.DialResult.FAULT,
    "QueueFull": events.DialResult.FULL,
    "TimedOut": events.DialResult.TIMED_OUT,
    "ConnectError": events.DialResult.UNREACHABLE,
    "ResetByPeer": events.DialResult.RESET,
    "Canceled": events.DialResult.CANCELLED,
    "Ignored": events.DialResult.NOT_SENT,
}
RELEASE_CAUSES = {
    1: events.ReleaseCause.NO_CIRCUIT,
    2: events.ReleaseCause.TURNED_BACK,
    3: events.ReleaseCause.PROCESSOR_FULL,
    4: events.ReleaseCause.LINES_BUSY,
}
NOTE_COUNT = 16  # a wire cause is a note plus 16 times the stated wait in milliseconds
MARK_REDIAL = 2
MARK_TRANSIT = 8
OFFICE_STATES = {
    "Ready": events.OfficeState.READY,
    "Terminating": events.OfficeState.DRAINING,
    "Gone": events.OfficeState.GONE,
}
LIST_KINDS = {
    "Partial": events.ListKind.CHANGES,
    "Complete": events.ListKind.FULL,
    "Persisted": events.ListKind.CACHED,
    "Error": events.ListKind.FAILED,
}


def to_micros(value: Any) -> int:
    """Whole microseconds of a wire time. A missing one is 0."""
    return int(value or 0) // NS_PER_US


def to_nanos(value: int) -> int:
    """Wire time of whole microseconds."""
    return value * NS_PER_US


def read_report(values: Any) -> events.OfficeReport:
    """Read a load report. A value that is negative or not a number counts as missing, and unknown keys are
    ignored."""
    if not isinstance(values, dict):
        return events.OfficeReport()

    def figure(key: str) -> float | None:
        value = values.get(key)
        # Python's JSON parser accepts NaN, which fails this comparison.
        if isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 1e15:
            return float(value)
        return None

    free_circuits, group_size, queue_wait_ms = figure("spare"), figure("total"), figure("lat_ms")
    return events.OfficeReport(
        free_circuits=None if free_circuits is None else int(free_circuits),
        group_size=None if group_size is None else int(group_size),
        utilisation=figure("busy"),
        queue_wait=None if queue_wait_ms is None else int(queue_wait_ms * 1000),
        accept_rate_per_s=figure("allowed"),
        load_reduction=figure("cut_by"),
    )


def read_cause(cause: Any) -> tuple[events.ReleaseCause, int]:
    """Cause of a dial's end and the wait that it states, in microseconds. Note 18 means the destination's
    processor."""
    note, wait_ms = int(cause or 0) % NOTE_COUNT, int(cause or 0) // NOTE_COUNT
    if note == 2 and wait_ms:
        return events.ReleaseCause.FAR_PROCESSOR_FULL, 0
    return RELEASE_CAUSES.get(note, events.ReleaseCause.NONE), wait_ms * 1000


def read_server_started(seed: int, config: dict[str, Any]) -> events.ServerStarted:
    """Read the first message to an instance into the records of `interface.facts`."""
    family, limits, rules = (config.get(name) or {} for name in ("family_info", "limits", "rules"))
    widths, holds = family.get("circuits_by_class") or [], family.get("class_hold_ns") or []
    pools = family.get("skilled_pools") or []
    traffic_classes = []
    for index, row in enumerate(config.get("classes") or []):
        semantics = row.get("semantics", "retryable")
        traffic_classes.append(
            facts.TrafficClass(
                name=row["name"],
                value=float(row.get("importance", 1.0)),
                late_share=float(row.get("late_value", 0.0)),
                target_latency=to_micros(row.get("objective_ns")),
                deadline=to_micros(row.get("deadline_ns")),
                width=int(widths[index]) if index < len(widths) else 1,
                hold=to_micros(holds[index]) if index < len(holds) else 0,
                pools=tuple(pools[index]) if index < len(pools) and pools[index] else (),
                repeatable=semantics == "retryable" or (semantics == "dedup" and row.get("group") == "all"),
                repeat_within=to_micros(row.get("memory_span_ns")) if semantics == "dedup" else 0,
            )
        )
    meshed = family.get("topology", "meshed") == "meshed"
    return events.ServerStarted(
        seed=int(seed or 0),
        traffic_classes=tuple(traffic_classes),
        topology=facts.ServerTopology(
            own_number=int(family.get("self_no", -1)) if meshed else None,
            peer_count=max(0, int(config.get("balancers", 1)) - 1),
            must_subscribe=config.get("discovery") == "ask",
            subscribe_timeout=to_micros(rules.get("ask_within_ns")),
            has_centre=bool(family.get("centre_advises")),
        ),
        permissions=facts.Permissions(
            max_dials=int(limits.get("most_tries", 1)),
            may_cancel=bool(limits.get("may_cancel")),
            may_probe=bool(limits.get("probes")),
            may_message_peers=bool(limits.get("peer_messages")),
            max_retry_after=to_micros(limits.get("max_retry_after_ns")) if limits.get("retry_after") else 0,
            callers_mark_redials=bool((config.get("callers") or {}).get("marks_retry")),
        ),
        release=facts.ReleaseRule(
            release_wait=to_micros(family.get("clear_wait_ns")),
            drain_grace=to_micros(rules.get("drain_grace_ns")),
        ),
        cold_start=facts.ColdStartRule(
            start_share=float(rules.get("cold_from", 1.0)),
            warm_after=to_micros(rules.get("cold_ns")),
            multiple=float(rules.get("fall_multiple", 1.0)),
            window=to_micros(rules.get("tip_after_ns")),
        ),
    )


def read_entry(row: list[Any]) -> events.OfficeEntry:
    """Read one entry of an office list."""
    office, _zone, _kind, number, state, _hint, started_at = (*row, None, None, None)[:7]
    return events.OfficeEntry(
        office, int(number), OFFICE_STATES[state], to_micros(started_at) if started_at else None
    )


def read_dialogue_arrived(message: list[Any]) -> events.DialogueArrived:
    """Read a dialogue that was handed over."""
    marks, advised_tandem = int(message[11] or 0), message[6]
    return events.DialogueArrived(
        dialogue=message[2],
        traffic_class=message[7],
        destination=int(message[10] if message[10] is not None else -1),
        called_number=message[5],
        time_left=to_micros(message[8]),
        width=int(message[4] or 1),
        advised_tandem=None
        if advised_tandem is None or advised_tandem < 0 or marks & MARK_TRANSIT
        else int(advised_tandem),
        is_redial=bool(marks & MARK_REDIAL),
        transit=bool(marks & MARK_TRANSIT),
    )


def read_dial_ended(message: list[Any]) -> events.DialEnded:
    """Read the end of a dial."""
    release_cause, retry_after = read_cause(message[8])
    result = DIAL_RESULTS.get(message[5], events.DialResult.FAULT)
    return events.DialEnded(
        message[2],
        message[3],
        message[4],
        result,
        release_cause,
        retry_after,
        bool(message[7]),
        read_report(message[9]),
    )


def read_office_reported(message: list[Any]) -> events.OfficeReported:
    """Read a change of a trunk group or the answer to a probe."""
    return events.OfficeReported(message[2], bool(message[4]), message[3] == "Ok", read_report(message[5]))


def read_bytes(digits: Any) -> bytes:
    """Decode a peer's message. Text that is not hexadecimal is read as an empty message."""
    try:
        return bytes.fromhex(digits or "")
    except (TypeError, ValueError):
        return b""


READERS: dict[str, Callable[[list[Any]], events.Event]] = {
    "Ingress": read_dialogue_arrived,
    "Started": lambda message: events.DialogueEstablished(message[2], message[3], to_micros(message[5])),
    "HealthResult": read_office_reported,
    "Verdict": read_dial_ended,
    "Left": lambda message: events.CallerLeft(message[2]),
    "TickDue": lambda message: events.TimerFired(message[2]),
    "Heard": lambda message: events.PeerMessageReceived(message[2], read_bytes(message[3])),
}
FIELD_COUNTS = {
    "Ingress": 12,
    "Started": 6,
    "HealthResult": 6,
    "Left": 3,
    "TickDue": 3,
    "Heard": 4,
    "Verdict": 10,
}


def write_action(instance: int, action: actions.Action) -> list[Any]:
    """Encode one action for the wire."""
    match action:
        case actions.Send(dialogue, office, timeout):
            return ["Assign", instance, dialogue, office, to_nanos(timeout)]
        case actions.Cancel(dialogue, dial):
            return ["AbortAttempt", instance, dialogue, dial]
        case actions.Reject(dialogue, retry_after):
            return ["Refuse", instance, dialogue, to_nanos(retry_after)]
        case actions.Fail(dialogue):
            return ["Fail", instance, dialogue]
        case actions.StartTimer(delay, token):
            return ["Arm", instance, to_nanos(delay), token]
        case actions.SendPeerMessage(text):
            return ["Signal", instance, -1, text.hex()]
        case actions.SubscribeDiscovery():
            return ["StreamChanges", instance, True]
    raise TypeError(f"no wire format for action {action!r}")
