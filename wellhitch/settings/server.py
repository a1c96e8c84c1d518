"""The settings file of one call server, which `wellhitch serve` reads. Durations become whole microseconds."""

import re
from collections.abc import Sequence
from typing import Annotated

import msgspec

from wellhitch.interface import events, facts
from wellhitch.net.transport import is_loopback, split_address
from wellhitch.settings.checked import InvalidSettings
from wellhitch.trunk.frames import MAX_EXCHANGES, MAX_WIDTH

# At most eleven days, whatever the unit: longer ones are of no use, and sums of durations must fit a frame.
Duration = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^([0-9]{1,12}(\.[0-9]{1,18})?us|[0-9]{1,9}(\.[0-9]{1,18})?ms|[0-9]{1,6}(\.[0-9]{1,18})?s)$",
        description="such as 250ms or 1.5s",
    ),
]
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Address = Annotated[str, msgspec.Meta(pattern=r"^$|^.+:[0-9]+$")]

_UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000}


def duration_us(text: str) -> int:
    """Convert a duration such as `1.5s` to whole microseconds. Raises ValueError."""
    match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s)", text)
    if not match:
        raise ValueError(f"{text!r} is not a duration such as 250ms or 1.5s")
    return round(float(match[1]) * _UNITS[match[2]])


class TrafficClassSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One traffic class. `payoff` is its value, `agreed_time` its target latency and `outer_limit` its deadline;
    `interface.facts.TrafficClass` describes the other fields."""

    name: Annotated[str, msgspec.Meta(max_length=64)]
    payoff: Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    agreed_time: Duration
    outer_limit: Duration
    late_share: Share = 0.0
    width: Annotated[int, msgspec.Meta(ge=1, le=MAX_WIDTH)] = 1
    hold: Duration = "10s"
    repeatable: bool = True
    repeat_within: Duration = "0s"


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a call server is permitted to do in this deployment."""

    most_dials: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 5
    may_cancel: bool = True
    may_probe: bool = False
    may_tell_peers: bool = False
    longest_retry_after: Duration = "0s"
    marks_redials: bool = False
    max_open: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 20_000


class RuleSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The parameters of the five rules."""

    release_wait: Duration
    drain_grace: Duration
    cold_share: Annotated[float, msgspec.Meta(gt=0, le=1)]
    cold_for: Duration
    cold_multiple: Annotated[float, msgspec.Meta(gt=0, le=1000)]
    cold_window: Duration


class ListenerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The addresses to listen at (callers, peers, operators) and to connect to (register, centre), as host:port on
    loopback. Port 0 selects a free port."""

    callers: Address
    register: Address
    peers: Address = ""
    operators: Address = ""
    centre: Address = ""


class LedgerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The ledger. `folder` is where it is stored, relative to the folder of the settings file. `roster` has the numbers
    of all call servers with a ledger, which close its periods together. `number_keys` names a file with the keys for
    called numbers, `{"1": "64 hex digits"}`, of which the highest is used for new entries; without it, no called number
    is stored. `export` names the folder shared with the accounting system, and `export_key` a file with the key that
    only both sides have, 64 hex digits; without them, nothing is exported."""

    folder: str
    roster: list[Count]
    number_keys: str = ""
    export: str = ""
    export_key: str = ""


class ServerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one call server. `hooks` has the texts of the hook files, which run in the order of their names.
    `hooks_state` names the file for the state of the hooks, relative to the folder of the settings file; without it,
    the state is lost when the process ends."""

    number: Annotated[int, msgspec.Meta(ge=0, lt=MAX_EXCHANGES)]
    seed: Count
    peers: Count
    use_cases: list[TrafficClassSettings]
    rules: RuleSettings
    doors: ListenerSettings
    limits: LimitSettings = LimitSettings()
    hooks: dict[str, str] = {}
    hooks_state: str = ""
    ledger: LedgerSettings | None = None


def check(settings: ServerSettings, where: str) -> None:
    """Check what must hold between fields. Raises InvalidSettings."""
    errors = traffic_class_errors(settings.use_cases)
    if settings.ledger:
        roster = settings.ledger.roster
        errors += [f"ledger.roster = {n}: named twice" for n in sorted(set(roster)) if roster.count(n) > 1]
        if settings.number not in roster:
            errors.append(f"ledger.roster = {roster}: this call server, {settings.number}, is missing")
        if bool(settings.ledger.export) != bool(settings.ledger.export_key):
            errors.append("ledger.export and ledger.export_key: set both, or neither")
        if not settings.ledger.folder:
            errors.append("ledger.folder = '': must name a folder")
        if not settings.doors.peers and len(roster) > 1:
            errors.append("doors.peers = '': required for the ledgers to exchange messages")
    for name in ("callers", "register", "peers", "operators", "centre"):
        address = getattr(settings.doors, name)
        if not address:
            if name in ("callers", "register"):
                errors.append(f"doors.{name} = '': must be an address, host:port")
            continue
        try:
            host, _ = split_address(address)
        except ValueError as error:
            errors.append(f"doors.{name} = {address!r}: {error}")
            continue
        if not is_loopback(host):
            errors.append(f"doors.{name} = {address!r}: must be a loopback address, such as 127.0.0.1:7000")
    if errors:
        raise InvalidSettings(where, errors)


def traffic_class_errors(traffic_classes: Sequence[TrafficClassSettings]) -> list[str]:
    """The errors of a list of traffic classes that concern more than one field."""
    errors = [] if traffic_classes else ["use_cases = []: at least one is required"]
    names = [traffic_class.name for traffic_class in traffic_classes]
    errors += [f"use_cases = {name!r}: named twice" for name in sorted(set(names)) if names.count(name) > 1]
    for index, traffic_class in enumerate(traffic_classes):
        if duration_us(traffic_class.agreed_time) < 1000:
            # A quarter of the shortest target latency bounds a delay in the decisions, which also divide by it.
            errors.append(
                f"use_cases[{index}].agreed_time = {traffic_class.agreed_time!r}: must be at least 1ms"
            )
        if duration_us(traffic_class.agreed_time) > duration_us(traffic_class.outer_limit):
            errors.append(
                f"use_cases[{index}].agreed_time = {traffic_class.agreed_time!r}: "
                f"longer than outer_limit = {traffic_class.outer_limit!r}"
            )
    return errors


def start_event(settings: ServerSettings) -> events.ServerStarted:
    """Return the event with which the decision module starts."""
    limits, rules = settings.limits, settings.rules
    return events.ServerStarted(
        seed=settings.seed,
        traffic_classes=tuple(
            facts.TrafficClass(
                name=traffic_class.name,
                value=traffic_class.payoff,
                late_share=traffic_class.late_share,
                target_latency=duration_us(traffic_class.agreed_time),
                deadline=duration_us(traffic_class.outer_limit),
                width=traffic_class.width,
                hold=duration_us(traffic_class.hold),
                pools=(),
                repeatable=traffic_class.repeatable,
                repeat_within=duration_us(traffic_class.repeat_within),
            )
            for traffic_class in settings.use_cases
        ),
        topology=facts.ServerTopology(settings.number, settings.peers, False, 0, bool(settings.doors.centre)),
        permissions=facts.Permissions(
            limits.most_dials,
            limits.may_cancel,
            limits.may_probe,
            limits.may_tell_peers,
            duration_us(limits.longest_retry_after),
            limits.marks_redials,
        ),
        release=facts.ReleaseRule(duration_us(rules.release_wait), duration_us(rules.drain_grace)),
        cold_start=facts.ColdStartRule(
            rules.cold_share, duration_us(rules.cold_for), rules.cold_multiple, duration_us(rules.cold_window)
        ),
    )
