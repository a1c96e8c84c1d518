"""The sheet of one call server: what `wellhitch serve` reads. Times are whole microseconds once read."""

import re
from collections.abc import Sequence
from typing import Annotated

import msgspec

from wellhitch.interface import events, facts
from wellhitch.net.transport import is_loopback, split_address
from wellhitch.settings.checked import InvalidSettings
from wellhitch.trunk.frames import MAX_EXCHANGES, MAX_WIDTH

# Up to eleven days, whatever the unit: longer ones mean nothing here, and what they add up to must fit a frame.
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
    """Whole microseconds of a span such as `1.5s`. Raises ValueError."""
    match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s)", text)
    if not match:
        raise ValueError(f"{text!r} is no span of time, such as 250ms or 1.5s")
    return round(float(match[1]) * _UNITS[match[2]])


class TrafficClassSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One use case, as `interface.facts.UseCase` words it."""

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
    """What this deployment lets a call server do."""

    most_dials: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 5
    may_cancel: bool = True
    may_probe: bool = False
    may_tell_peers: bool = False
    longest_retry_after: Duration = "0s"
    marks_redials: bool = False
    max_open: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 20_000


class RuleSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of the five rules."""

    release_wait: Duration
    drain_grace: Duration
    cold_share: Annotated[float, msgspec.Meta(gt=0, le=1)]
    cold_for: Duration
    cold_multiple: Annotated[float, msgspec.Meta(gt=0, le=1000)]
    cold_window: Duration


class ListenerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where to listen and whom to follow, host:port on loopback; port 0 takes a free one."""

    callers: Address
    register: Address
    peers: Address = ""
    operators: Address = ""
    centre: Address = ""


class LedgerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The ledger. `folder`: where it is kept, relative to the sheet's. `roster`: the numbers of all call servers that
    keep one, which close its periods together. `number_keys`: a file of keys for called numbers,
    `{"1": "64 hex digits"}`, the highest in use; empty: no called number is kept. `export`: the folder that the
    accounting side reaches too; `export_key`: a file with the key that only both sides have, 64 hex digits; empty:
    nothing is exported."""

    folder: str
    roster: list[Count]
    number_keys: str = ""
    export: str = ""
    export_key: str = ""


class ServerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All of one call server. `hooks`: files of the hooks' language by name, their order by name the standing.
    `hooks_state`: a file for what they remember, relative to the sheet's; empty: it is lost with the process."""

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


def check(sheet: ServerSettings, where: str) -> None:
    """What holds between fields. Raises InvalidSettings."""
    lines = traffic_class_errors(sheet.use_cases)
    if sheet.ledger:
        roster = sheet.ledger.roster
        lines += [f"ledger.roster = {n}: named twice" for n in sorted(set(roster)) if roster.count(n) > 1]
        if sheet.number not in roster:
            lines.append(f"ledger.roster = {roster}: this call server, {sheet.number}, is not in it")
        if bool(sheet.ledger.export) != bool(sheet.ledger.export_key):
            lines.append("ledger.export and ledger.export_key: both, or neither")
        if not sheet.ledger.folder:
            lines.append("ledger.folder = '': a folder")
        if not sheet.doors.peers and len(roster) > 1:
            lines.append("doors.peers = '': ledgers talk to each other there")
    for name in ("callers", "register", "peers", "operators", "centre"):
        address = getattr(sheet.doors, name)
        if not address:
            if name in ("callers", "register"):
                lines.append(f"doors.{name} = '': an address, host:port")
            continue
        try:
            host, _ = split_address(address)
        except ValueError as fault:
            lines.append(f"doors.{name} = {address!r}: {fault}")
            continue
        if not is_loopback(host):
            lines.append(f"doors.{name} = {address!r}: a loopback address, such as 127.0.0.1:7000")
    if lines:
        raise InvalidSettings(where, lines)


def traffic_class_errors(uses: Sequence[TrafficClassSettings]) -> list[str]:
    """What is wrong with a list of use cases, beyond each field alone."""
    lines = [] if uses else ["use_cases = []: one at least"]
    names = [use.name for use in uses]
    lines += [f"use_cases = {name!r}: named twice" for name in sorted(set(names)) if names.count(name) > 1]
    for at, use in enumerate(uses):
        if duration_us(use.agreed_time) < 1000:
            # The decisions take a quarter of the shortest one as the bound of a delay, and divide by it.
            lines.append(f"use_cases[{at}].agreed_time = {use.agreed_time!r}: 1ms at least")
        if duration_us(use.agreed_time) > duration_us(use.outer_limit):
            lines.append(
                f"use_cases[{at}].agreed_time = {use.agreed_time!r}: over the outer limit {use.outer_limit!r}"
            )
    return lines


def start_event(sheet: ServerSettings) -> events.ServerStarted:
    """The start facts that the decisions are told."""
    limits, rules = sheet.limits, sheet.rules
    return events.ServerStarted(
        seed=sheet.seed,
        traffic_classes=tuple(
            facts.TrafficClass(
                name=use.name,
                value=use.payoff,
                late_share=use.late_share,
                target_latency=duration_us(use.agreed_time),
                deadline=duration_us(use.outer_limit),
                width=use.width,
                hold=duration_us(use.hold),
                pools=(),
                repeatable=use.repeatable,
                repeat_within=duration_us(use.repeat_within),
            )
            for use in sheet.use_cases
        ),
        topology=facts.ServerTopology(sheet.number, sheet.peers, False, 0, bool(sheet.doors.centre)),
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
