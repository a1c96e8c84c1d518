"""The settings file of a day, one simulated run: the fleet, its traffic, its callers and the injected faults.

The same seed gives the same day.
"""

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
    """A traffic class with its share of the traffic."""

    share: Positive


class ExchangeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One exchange: its zone, how long its office works on one set-up, and how many calls a second its callers make to
    each other exchange, by number."""

    number: Annotated[int, msgspec.Meta(ge=0, lt=MAX_EXCHANGES)]
    setup: Duration
    calls: dict[str, Annotated[float, msgspec.Meta(ge=0)]]
    zone: str = ""


class TrunkGroupSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One trunk group: the two exchanges it connects, and its number of circuits."""

    ends: Annotated[list[int], msgspec.Meta(min_length=2, max_length=2)]
    size: Count


class NetworkSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One-way delays within an exchange, within a zone and between zones. `jitter` is the largest share added."""

    here: Duration = "50us"
    same: Duration = "1ms"
    cross: Duration = "5ms"
    jitter: Share = 0.0


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How callers behave. `patience` is the share of the deadline for which one try is waited for, `pause` the delay
    before the next try, which `doubles` makes exponential. `heeds` is the share of callers that honour a retry-after
    time, and `impatient` the share that hang up at a random time before their patience ends."""

    retries: Count = 2
    patience: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.35
    pause: Duration = "1s"
    doubles: bool = False
    heeds: Share = 0.8
    impatient: Share = 0.0
    tenants: list[str] = []


class OfficeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all offices have in common. Work (`look`, `reject`, `follow`, `word`) is in multiples of the work of one
    set-up. Each piece of work is drawn with `noise` as its coefficient of variation."""

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
    """The delay with which the register reports drains (`notice`), crashes (`silent_notice`) and starts (`add`).
    `spread` is the largest delay added for each call server."""

    notice: Duration = "1s"
    silent_notice: Duration = "5s"
    add: Duration = "1s"
    spread: Duration = "100ms"


class DriftSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A value that is drawn again every `every`, around its usual value with the coefficient of variation `cv`: the
    share of each destination (drift), or the rate of each exchange (bursts)."""

    every: Duration
    cv: Positive


class CentreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How often the centre computes its advice, and how old the advice is on arrival."""

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
"""Every kind of injected fault; docs/operate/call-server.md describes each."""


class FaultSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One injected fault: its kind, start, length, exchanges (without any: all) and size. The meaning of `extra`
    depends on the kind."""

    kind: str
    at: Duration
    length: Duration = "0s"
    on: list[int] = []
    size: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    extra: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    how: Annotated[str, msgspec.Meta(pattern="^(|silence|reset)$")] = ""


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All settings of one day. `shape` is a list of (second, factor): from that second on, the traffic is `factor`
    times the usual one."""

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
    """Check what must hold between fields. Raises InvalidSettings."""
    errors = []
    numbers = [exchange.number for exchange in day.exchanges]
    known = set(numbers)
    names = {str(number) for number in known}
    if not numbers:
        errors.append("exchanges = []: at least one is required")
    errors += traffic_class_errors(day.use_cases)
    errors += [
        f"exchanges: number {number} is used twice" for number in sorted(known) if numbers.count(number) > 1
    ]
    for index, exchange in enumerate(day.exchanges):
        if duration_us(exchange.setup) <= 0:
            errors.append(f"exchanges[{index}].setup = {exchange.setup!r}: must be greater than 0")
        errors += [
            f"exchanges[{index}].calls.{to[:40]} = {rate}: no such exchange"
            for to, rate in exchange.calls.items()
            if to not in names
        ]
    pairs = set()
    for index, group in enumerate(day.groups):
        a, b = sorted(group.ends)
        if a == b or a not in known or b not in known:
            errors.append(f"groups[{index}].ends = {group.ends}: must be two different exchanges of the day")
        elif (a, b) in pairs:
            errors.append(f"groups[{index}].ends = {group.ends}: this pair is listed twice")
        pairs.add((a, b))
    for index, fault in enumerate(day.troubles):
        if fault.kind not in FAULT_KINDS:
            errors.append(f"troubles[{index}].kind = {fault.kind!r}: must be one of {', '.join(FAULT_KINDS)}")
        errors += [
            f"troubles[{index}].on = {number}: no such exchange" for number in fault.on if number not in known
        ]
    if errors:
        raise InvalidSettings(where, errors)
