"""A day as a file: the fleet, its traffic, its callers and what goes wrong. One seed gives one day."""

from typing import Annotated

import msgspec

from wellhitch.settings.checked import InvalidSettings
from wellhitch.settings.server import (
    Count,
    Duration,
    LimitSettings,
    RuleSettings,
    Share,
    TrafficClassSettings,
    duration_us,
    traffic_class_errors,
)
from wellhitch.trunk.frames import MAX_EXCHANGES

Positive = Annotated[float, msgspec.Meta(gt=0)]


class TrafficClassLoad(TrafficClassSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A use case with its share of the traffic."""

    share: Positive


class ExchangeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One exchange: where it stands, how long a set-up takes there, and how often its callers call each other
    exchange, a second, by number."""

    number: Annotated[int, msgspec.Meta(ge=0, lt=MAX_EXCHANGES)]
    setup: Duration
    calls: dict[str, Annotated[float, msgspec.Meta(ge=0)]]
    zone: str = ""


class TrunkGroupSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One trunk group."""

    ends: Annotated[list[int], msgspec.Meta(min_length=2, max_length=2)]
    size: Count


class NetworkSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One-way times: within an exchange, within a zone, between zones; jitter as a share on top."""

    here: Duration = "50us"
    same: Duration = "1ms"
    cross: Duration = "5ms"
    jitter: Share = 0.0


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How callers behave."""

    retries: Count = 2
    patience: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.35
    pause: Duration = "1s"
    doubles: bool = False
    heeds: Share = 0.8
    impatient: Share = 0.0
    tenants: list[str] = []


class OfficeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all processors have in common; work is in set-ups, each piece drawn with the variation `noise`."""

    queue: Duration = "2s"
    look: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    reject: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    follow: Annotated[float, msgspec.Meta(ge=0)] = 0.35
    word: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    cold_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.4
    cold_for: Duration = "12s"
    finish_first: bool = False
    cancel_drops: bool = False
    tells_wait: bool = False
    reports: Annotated[str, msgspec.Meta(pattern="^(none|(wait|utilisation|takes|hold_back)(,|$))")] = "none"
    error_rate: Share = 0.0
    lines: Annotated[int, msgspec.Meta(ge=1)] = 8
    noise: Annotated[float, msgspec.Meta(ge=0, le=3)] = 0.0


class RegisterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How late the register tells: of drains and starts, of deaths; spread over the call servers."""

    notice: Duration = "1s"
    silent_notice: Duration = "5s"
    add: Duration = "1s"
    spread: Duration = "100ms"


class DriftSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something is drawn anew each `every`, around its usual value with this coefficient of variation: of a
    drift each destination's share, of bursts each exchange's rate."""

    every: Duration
    cv: Positive


class CentreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How often the centre looks, and how old its advice is when told."""

    period: Duration = "2s"
    late: Duration = "500ms"


FAULT_KINDS = (
    "slow", "hang", "answer_lost", "burst", "hot_caller", "hot_number", "give_up", "deploy", "neighbour", "shared_slow",
    "origin_slow", "report_late", "balancer_crash", "ageing", "mass_restart", "errors", "crash",
    "link_cut", "half_open", "reads_nothing", "trickle", "mid_frame_reset", "garbage", "answer_twice",
    "answer_after_release",
    "answer_reordered", "words_lost", "words_late", "list_goes_back", "register_restart",
    "server_paused", "server_killed", "server_stalls",
)  # fmt: skip
"""Every kind of trouble that a day may hold; docs/operate/call-server.md tells each."""


class FaultSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One trouble: when, how long, at which exchanges (none: all), how much; `extra` is the kind's own."""

    kind: str
    at: Duration
    length: Duration = "0s"
    on: list[int] = []
    size: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    extra: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    how: Annotated[str, msgspec.Meta(pattern="^(|silence|reset)$")] = ""


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All of one day. `shape`: from each second on, how many times the usual traffic."""

    name: str
    seed: Count
    length: Duration
    tail: Duration = "20s"
    use_cases: list[TrafficClassLoad]
    rules: RuleSettings
    exchanges: list[ExchangeSettings]
    groups: list[TrunkGroupSettings]
    limits: LimitSettings = LimitSettings()
    net: NetworkSettings = NetworkSettings()
    callers: CallerSettings = CallerSettings()
    offices: OfficeSettings = OfficeSettings()
    register: RegisterSettings = RegisterSettings()
    centre: CentreSettings | None = None
    hooks: dict[str, str] = {}
    ledger: bool = False
    drift: DriftSettings | None = None
    bursts: DriftSettings | None = None
    shape: list[tuple[float, float]] = []
    troubles: list[FaultSettings] = []


def check(day: Day, where: str) -> None:
    """What holds between fields. Raises InvalidSettings."""
    lines = []
    numbers = [one.number for one in day.exchanges]
    known = set(numbers)
    names = {str(n) for n in known}
    if not numbers:
        lines.append("exchanges = []: one at least")
    lines += traffic_class_errors(day.use_cases)
    lines += [f"exchanges: number {n} stands twice" for n in sorted(known) if numbers.count(n) > 1]
    for at, one in enumerate(day.exchanges):
        if duration_us(one.setup) <= 0:
            lines.append(f"exchanges[{at}].setup = {one.setup!r}: over 0")
        lines += [
            f"exchanges[{at}].calls.{to[:40]} = {rate}: no such exchange"
            for to, rate in one.calls.items()
            if to not in names
        ]
    pairs = set()
    for at, group in enumerate(day.groups):
        a, b = sorted(group.ends)
        if a == b or a not in known or b not in known:
            lines.append(f"groups[{at}].ends = {group.ends}: two exchanges of the day")
        elif (a, b) in pairs:
            lines.append(f"groups[{at}].ends = {group.ends}: this pair stands twice")
        pairs.add((a, b))
    for at, trouble in enumerate(day.troubles):
        if trouble.kind not in FAULT_KINDS:
            lines.append(f"troubles[{at}].kind = {trouble.kind!r}: one of {', '.join(FAULT_KINDS)}")
        lines += [f"troubles[{at}].on = {n}: no such exchange" for n in trouble.on if n not in known]
    if lines:
        raise InvalidSettings(where, lines)
