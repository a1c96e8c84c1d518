"""Evaluates hooks on the arrivals of a captured day, to compare them with no hooks or with another version."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from wellhitch.hooks.host import Hooks, Version
from wellhitch.hooks.points import HookResult
from wellhitch.trunk import frames
from wellhitch.trunk.capture import Capture, Note

MAX_DIFFERENCES_SHOWN = 10


@dataclass(slots=True)
class Tally:
    """Counts of the hook results for the arrivals of one traffic class."""

    arrivals: int = 0
    rejected: int = 0
    reclassified: int = 0
    favoured: int = 0
    disfavoured: int = 0
    tags: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class HookRun:
    """The results of one version of the hooks for all arrivals."""

    by_traffic_class: dict[str, Tally] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    results: list[tuple[frames.Call, HookResult]] = field(default_factory=list)


def arrivals(captures: list[Capture]) -> list[tuple[int, int, frames.Call]]:
    """Return every Call that callers sent, ordered by time, as (time in us, exchange, call)."""
    calls = [
        (record.time_us, int(capture.facts["number"]), record.frame)
        for capture in captures
        if capture.party == "callers"
        for record in capture.records
        if not isinstance(record, Note)
        and isinstance(record.frame, frames.Call)
        and record.direction == "out"
    ]
    return sorted(calls, key=lambda arrival: (arrival[0], arrival[1], arrival[2].id))


def hook_inputs(call: frames.Call, number: int, time_us: int) -> dict[str, Any]:
    """Return the inputs of an arrive hook for a captured call.

    A capture contains no load: prices are zero and the free capacity is unknown.
    """
    second = time_us // 1_000_000
    return {
        "call": {
            "use_case": call.use_case,
            "destination": call.destination,
            "called": call.called,
            "width": call.width,
            "redialled": call.redialled,
            "transit": False,
            "tenant": call.tenant,
            "left": call.left,
        },
        "clock": {
            "hour": second // 3600 % 24,
            "minute": second // 60 % 60,
            "weekday": 1,
            "date": "2026-01-01",
            "since_start": time_us,
        },
        "load": {"held": 0, "own_price": 0.0, "price_there": 0.0, "free_there": None},
        "place": {"number": number},
    }


def evaluate_arrivals(version: Version, captures: list[Capture]) -> HookRun:
    """Evaluate a version of the hooks on all arrivals, with separate state for each exchange."""
    calls = arrivals(captures)
    traffic_classes = frozenset(call.use_case for _, _, call in calls)
    hook_run = HookRun()
    servers: dict[int, Hooks] = {}
    for time_us, number, call in calls:
        hooks = servers.get(number)
        if hooks is None:
            hooks = servers[number] = Hooks(version, traffic_classes, _discard_log, hook_run.counts)
        result = hooks.evaluate(
            "arrive", hook_inputs(call, number, time_us), call.tenant or call.use_case, time_us
        )
        tally = hook_run.by_traffic_class.setdefault(call.use_case, Tally())
        tally.arrivals += 1
        tally.rejected += result.push_back is not None
        tally.reclassified += result.use_case not in (None, call.use_case)
        tally.favoured += result.favour > 1
        tally.disfavoured += result.favour < 1
        tally.tags.update(result.tags)
        hook_run.results.append((call, result))
    return hook_run


def _discard_log(event: str, **fields: Any) -> None:
    pass


def format_run(hook_run: HookRun) -> str:
    """Format a run as a table."""
    lines = ["use case              arrivals  pushed back  renamed  favoured  disfavoured  tags"]
    for name, tally in sorted(hook_run.by_traffic_class.items()):
        tags = ", ".join(f"{tag} {count}" for tag, count in tally.tags.most_common(4))
        lines.append(
            f"{name:20} {tally.arrivals:9} {tally.rejected:12} {tally.reclassified:8} {tally.favoured:9}"
            f" {tally.disfavoured:12}  {tags}"
        )
    failed = {name: count for name, count in sorted(hook_run.counts.items()) if name != "hooks_run"}
    lines.append(
        f"runs {hook_run.counts['hooks_run']}; "
        + (", ".join(f"{n} {c}" for n, c in failed.items()) or "none failed")
    )
    return "\n".join(lines)


def format_differences(before: HookRun, after: HookRun) -> str:
    """Format the differences between two runs over the same arrivals."""
    differ = [(call, a, b) for (call, a), (_, b) in zip(before.results, after.results, strict=True) if a != b]
    lines = [f"{len(differ)} of {len(before.results)} arrivals would get a different result"]
    lines += [
        f"  {call.use_case} to {call.called}: {format_result(a)} -> {format_result(b)}"
        for call, a, b in differ[:MAX_DIFFERENCES_SHOWN]
    ]
    return "\n".join(lines)


def format_result(result: HookResult) -> str:
    """Format the fields of a hook result that differ from the default."""
    parts: Mapping[str, object] = {
        "use case": result.use_case,
        "favour": result.favour if result.favour != 1.0 else None,
        "tags": list(result.tags) or None,
        "push back": result.push_back,
        "mark": result.mark,
    }
    return ", ".join(f"{name} {value}" for name, value in parts.items() if value is not None) or "nothing"
