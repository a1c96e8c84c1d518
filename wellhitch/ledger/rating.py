"""Rating: the price of a settled dialogue by a tariff. Pure; whole-number money throughout.

Money is counted in micros, millionths of the currency's unit, per dialogue; only durations are rounded there, up to the
tariff's time step. An invoice's lines are whole cents, rounded so that they add up to the rounded total to the cent:
each line is rounded down and the remaining cents go to the lines with the largest remainders (largest remainder
method, Hamilton), ties by the line's name, so that every end rounds alike."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import UTC, date, datetime

import msgspec

from wellhitch.ledger.settle import Settled

CENT_MICROS = 10_000

Micros = int


class Price(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a traffic class costs from one day on: `set_up` once for each established dialogue and `a_minute` for each
    minute, counted in started steps of `step_s` seconds, each times the width. Both in micros."""

    use_case: str
    from_day: str
    set_up: int = 0
    a_minute: int = 0
    step_s: int = 1
    tenant: str = ""


class Tariff(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All prices, in one currency. A tenant's own price precedes one for all tenants; of several the latest that is in
    force applies."""

    currency: str
    prices: list[Price]


class MissingPriceError(Exception):
    """The tariff has no price for a dialogue."""


def tariff_errors(tariff: Tariff) -> list[str]:
    """The errors of a tariff, one line each."""
    errors, seen = [], set[tuple[str, str, str]]()
    for index, price in enumerate(tariff.prices):
        try:
            # Days are compared as text, so only this one of the ISO formats is valid.
            plain = date.fromisoformat(price.from_day).isoformat() == price.from_day
        except ValueError:
            plain = False
        if not plain:
            errors.append(f"prices[{index}].from_day = {price.from_day!r}: expected a day such as 2026-12-01")
        for name in ("set_up", "a_minute"):
            if not 0 <= getattr(price, name) <= 10**12:
                errors.append(f"prices[{index}].{name} = {getattr(price, name)}: expected 0 to 10^12 micros")
        if not 1 <= price.step_s <= 3600 or 60 % min(price.step_s, 60):
            errors.append(f"prices[{index}].step_s = {price.step_s}: expected a divisor of 60, or 60 to 3600")
        key = (price.tenant, price.use_case, price.from_day)
        if key in seen:
            errors.append(f"prices[{index}]: {price.use_case} from {price.from_day} is given twice")
        seen.add(key)
    return errors


def day_of(wall: int) -> str:
    """The day of a wall time, in UTC."""
    return datetime.fromtimestamp(wall / 1e6, UTC).date().isoformat()


def find_price(tariff: Tariff, dialogue: Settled) -> Price:
    """The price that applies to a settled dialogue, by the day on which it ended. Raises MissingPriceError."""
    day = day_of(dialogue.ended)
    applicable = [
        price
        for price in tariff.prices
        if price.use_case == dialogue.traffic_class
        and price.tenant in ("", dialogue.tenant)
        and price.from_day <= day
    ]
    if not applicable:
        raise MissingPriceError(f"no price for {dialogue.traffic_class} on {day}")
    return max(applicable, key=lambda price: (price.tenant != "", price.from_day))


def dialogue_cost(tariff: Tariff, dialogue: Settled) -> Micros:
    """What a dialogue costs. Raises MissingPriceError."""
    if dialogue.state != "billed" or not dialogue.billed:
        return 0
    price = find_price(tariff, dialogue)
    steps = -(-dialogue.billed // (price.step_s * 1_000_000))
    # Micros per minute times seconds, divided by 60 and rounded up to a whole micro: the only rounding of an amount.
    return dialogue.width * (price.set_up + -(-price.a_minute * steps * price.step_s // 60))


def to_cents(amounts: Mapping[str, Micros]) -> dict[str, int]:
    """Whole cents by name that add up to the rounded total, half a cent rounded up. A credit is a negative amount."""
    total = sum(amounts.values())
    target = (total + CENT_MICROS // 2) // CENT_MICROS
    cents = {name: micros // CENT_MICROS for name, micros in amounts.items()}
    remaining = target - sum(cents.values())
    by_remainder = sorted(amounts, key=lambda name: (-(amounts[name] % CENT_MICROS), name))
    # Rounding down takes less than a cent off each line, so fewer cents than lines are left.
    for name in by_remainder[:remaining]:
        cents[name] += 1
    return cents


@dataclass(slots=True)
class InvoiceLine:
    """One line of an invoice."""

    tenant: str
    traffic_class: str
    dialogues: int = 0
    micros: Micros = 0
    duration_us: int = 0


def invoice(tariff: Tariff, settled: Iterable[Settled]) -> tuple[list[InvoiceLine], list[str]]:
    """Lines by tenant and traffic class, and an error for each dialogue that could not be rated."""
    lines: dict[tuple[str, str], InvoiceLine] = {}
    unrated = []
    for dialogue in settled:
        if dialogue.state != "billed":
            continue
        try:
            micros = dialogue_cost(tariff, dialogue)
        except MissingPriceError as error:
            unrated.append(f"dialogue {dialogue.dialogue_id[0]}/{dialogue.dialogue_id[1]}: {error}")
            continue
        key = (dialogue.tenant, dialogue.traffic_class)
        line = lines.setdefault(key, InvoiceLine(*key))
        line.dialogues += 1
        line.micros += micros
        line.duration_us += dialogue.billed * dialogue.width
    return [lines[key] for key in sorted(lines)], unrated
