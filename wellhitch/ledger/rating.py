"""Rating: what a settled dialogue costs by a tariff. Pure; whole-number money throughout.

Money is counted in micros, millionths of the currency's unit, per dialogue; nothing is rounded there but up to the
tariff's step of time. An invoice's lines are whole cents, rounded so that they add up to the rounded total to the cent:
each line is rounded down and the cents that are left go to the lines with the largest rests (largest remainder,
Hamilton's method), ties by the line's name, so that every end rounds alike."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import UTC, date, datetime

import msgspec

from wellhitch.ledger.settle import Settled

CENT = 10_000  # micros

Micros = int


class Price(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a use case costs from one day on: `set_up` once a dialogue that stood, `a_minute` for each minute, counted
    in steps of `step_s` seconds begun, each times the width. Both in micros."""

    use_case: str
    from_day: str
    set_up: int = 0
    a_minute: int = 0
    step_s: int = 1
    tenant: str = ""


class Tariff(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All prices of a currency. A price for a tenant goes before one for all; of several the latest that has begun."""

    currency: str
    prices: list[Price]


class MissingPriceError(Exception):
    """A dialogue for which the tariff has no price."""


def tariff_errors(tariff: Tariff) -> list[str]:
    """What is wrong with a tariff, a line each."""
    out, seen = [], set[tuple[str, str, str]]()
    for at, one in enumerate(tariff.prices):
        try:
            # In this one way and no other that a date may be written: days are compared as text.
            plain = date.fromisoformat(one.from_day).isoformat() == one.from_day
        except ValueError:
            plain = False
        if not plain:
            out.append(f"prices[{at}].from_day = {one.from_day!r}: a day such as 2026-12-01")
        for name in ("set_up", "a_minute"):
            if not 0 <= getattr(one, name) <= 10**12:
                out.append(f"prices[{at}].{name} = {getattr(one, name)}: 0 to 10^12 micros")
        if not 1 <= one.step_s <= 3600 or 60 % min(one.step_s, 60):
            out.append(f"prices[{at}].step_s = {one.step_s}: a part of 60, or up to 3600")
        key = (one.tenant, one.use_case, one.from_day)
        if key in seen:
            out.append(f"prices[{at}]: {one.use_case} from {one.from_day} stands twice")
        seen.add(key)
    return out


def day_of(wall: int) -> str:
    """The day of a wall time, UTC."""
    return datetime.fromtimestamp(wall / 1e6, UTC).date().isoformat()


def find_price(tariff: Tariff, one: Settled) -> Price:
    """The price of a settled dialogue, by the day on which it ended. Raises NoPrice."""
    day = day_of(one.ended)
    fit = [
        price
        for price in tariff.prices
        if price.use_case == one.traffic_class and price.tenant in ("", one.tenant) and price.from_day <= day
    ]
    if not fit:
        raise MissingPriceError(f"no price for {one.traffic_class} on {day}")
    return max(fit, key=lambda price: (price.tenant != "", price.from_day))


def dialogue_cost(tariff: Tariff, one: Settled) -> Micros:
    """What it costs. Raises NoPrice."""
    if one.state != "billed" or not one.billed:
        return 0
    price = find_price(tariff, one)
    steps = -(-one.billed // (price.step_s * 1_000_000))
    # Micros a minute times seconds over 60: rounded up to a whole micro, the only rounding of a dialogue.
    return one.width * (price.set_up + -(-price.a_minute * steps * price.step_s // 60))


def to_cents(parts: Mapping[str, Micros]) -> dict[str, int]:
    """Whole cents by name, which add up to the rounded sum of all, half a cent up. A credit is a part under nought."""
    total = sum(parts.values())
    goal = (total + CENT // 2) // CENT
    out = {name: micros // CENT for name, micros in parts.items()}
    left = goal - sum(out.values())
    by_rest = sorted(parts, key=lambda name: (-(parts[name] % CENT), name))
    # Each floor takes less than a cent off its line, so what is left is under one a line.
    for name in by_rest[:left]:
        out[name] += 1
    return out


@dataclass(slots=True)
class InvoiceLine:
    """One line of an invoice."""

    tenant: str
    traffic_class: str
    dialogues: int = 0
    micros: Micros = 0
    span: int = 0


def invoice(tariff: Tariff, settled: Iterable[Settled]) -> tuple[list[InvoiceLine], list[str]]:
    """Lines by tenant and use case, and what could not be rated."""
    lines: dict[tuple[str, str], InvoiceLine] = {}
    unrated = []
    for one in settled:
        if one.state != "billed":
            continue
        try:
            micros = dialogue_cost(tariff, one)
        except MissingPriceError as fault:
            unrated.append(f"dialogue {one.dialogue_id[0]}/{one.dialogue_id[1]}: {fault}")
            continue
        key = (one.tenant, one.traffic_class)
        line = lines.setdefault(key, InvoiceLine(*key))
        line.dialogues += 1
        line.micros += micros
        line.span += one.billed * one.width
    return [lines[key] for key in sorted(lines)], unrated
