"""A captured day's arrivals through hooks, beside no hooks or another version: what would have been said."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from wellhitch.hooks.host import Hooks, Version
from wellhitch.hooks.points import HookResult
from wellhitch.trunk import frames
from wellhitch.trunk.capture import Capture, Note

EXAMPLES = 10  # differences shown in full


@dataclass(slots=True)
class Tally:
    """What hooks said of the arrivals of one use case."""

    arrivals: int = 0
    pushed_back: int = 0
    renamed: int = 0
    favoured: int = 0
    disfavoured: int = 0
    tags: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class HookRun:
    """A whole run."""

    by_use_case: dict[str, Tally] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    said: list[tuple[frames.Call, HookResult]] = field(default_factory=list)


def arrivals(captures: list[Capture]) -> list[tuple[int, int, frames.Call]]:
    """Every Call that callers sent, in the order of time: when, at which exchange, the call."""
    found = [
        (line.time_us, int(capture.facts["number"]), line.frame)
        for capture in captures
        if capture.party == "callers"
        for line in capture.records
        if not isinstance(line, Note) and isinstance(line.frame, frames.Call) and line.direction == "out"
    ]
    return sorted(found, key=lambda one: (one[0], one[1], one[2].id))


def hook_inputs(call: frames.Call, number: int, t: int) -> dict[str, Any]:
    """What an arrive hook is told of a captured call. Load is not in a capture: prices are nought, room unknown."""
    second = t // 1_000_000
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
            "since_start": t,
        },
        "load": {"held": 0, "own_price": 0.0, "price_there": 0.0, "free_there": None},
        "place": {"number": number},
    }


def evaluate_arrivals(version: Version, captures: list[Capture]) -> HookRun:
    """All arrivals through a version, each exchange with state of its own."""
    calls = arrivals(captures)
    use_cases = frozenset(call.use_case for _, _, call in calls)
    out = HookRun()
    servers: dict[int, Hooks] = {}
    for t, number, call in calls:
        hooks = servers.get(number)
        if hooks is None:
            hooks = servers[number] = Hooks(version, use_cases, _silent, out.counts)
        said = hooks.evaluate("arrive", hook_inputs(call, number, t), call.tenant or call.use_case, t)
        tally = out.by_use_case.setdefault(call.use_case, Tally())
        tally.arrivals += 1
        tally.pushed_back += said.push_back is not None
        tally.renamed += said.use_case not in (None, call.use_case)
        tally.favoured += said.favour > 1
        tally.disfavoured += said.favour < 1
        tally.tags.update(said.tags)
        out.said.append((call, said))
    return out


def _silent(event: str, **facts: Any) -> None:
    pass


def format_run(ran: HookRun) -> str:
    """A table of a run."""
    out = ["use case              arrivals  pushed back  renamed  favoured  disfavoured  tags"]
    for name, one in sorted(ran.by_use_case.items()):
        tags = ", ".join(f"{tag} {count}" for tag, count in one.tags.most_common(4))
        out.append(
            f"{name:20} {one.arrivals:9} {one.pushed_back:12} {one.renamed:8} {one.favoured:9}"
            f" {one.disfavoured:12}  {tags}"
        )
    failed = {name: count for name, count in sorted(ran.counts.items()) if name != "hooks_run"}
    out.append(
        f"runs {ran.counts['hooks_run']}; "
        + (", ".join(f"{n} {c}" for n, c in failed.items()) or "none failed")
    )
    return "\n".join(out)


def format_differences(before: HookRun, after: HookRun) -> str:
    """How two runs over the same arrivals differ."""
    differ = [(call, a, b) for (call, a), (_, b) in zip(before.said, after.said, strict=True) if a != b]
    out = [f"{len(differ)} of {len(before.said)} arrivals would be told otherwise"]
    out += [
        f"  {call.use_case} to {call.called}: {format_result(a)} -> {format_result(b)}"
        for call, a, b in differ[:EXAMPLES]
    ]
    return "\n".join(out)


def format_result(said: HookResult) -> str:
    """What was said, without what was not."""
    parts: Mapping[str, object] = {
        "use case": said.use_case,
        "favour": said.favour if said.favour != 1.0 else None,
        "tags": list(said.tags) or None,
        "push back": said.push_back,
        "mark": said.mark,
    }
    return ", ".join(f"{name} {value}" for name, value in parts.items() if value is not None) or "nothing"
