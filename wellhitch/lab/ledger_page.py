"""The monthly ledger report: a self-contained HTML page with charts and tables."""

import base64
import html
import io
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime

from matplotlib.figure import Figure

from wellhitch.ledger.rating import InvoiceLine
from wellhitch.ledger.settle import Settled

MAX_DISPUTES_SHOWN = 200  # further disputes are only counted


def month_report(
    period: str,
    currency: str,
    lines: Sequence[InvoiceLine],
    cents: Mapping[str, int],
    settled: Sequence[Settled],
) -> str:
    """Return the page. `cents` are the amounts by `tenant NUL traffic class`."""
    by_tenant: Counter[str] = Counter()
    for line in lines:
        by_tenant[line.tenant or "none"] += cents[f"{line.tenant}\0{line.traffic_class}"]
    by_day: dict[str, Counter[str]] = defaultdict(Counter)
    for dialogue in settled:
        if dialogue.state == "billed":
            day = datetime.fromtimestamp(dialogue.ended / 1e6, UTC).date().isoformat()
            by_day[dialogue.traffic_class][day] += 1
    states = Counter(dialogue.state for dialogue in settled)
    disputes = [dialogue for dialogue in settled if dialogue.dispute]
    corrected = [dialogue for dialogue in settled if dialogue.corrected]
    parts = [
        f"<h1>Ledger, {html.escape(period)}</h1>",
        f"<p>{states['billed']} dialogues billed, {states['open']} open, "
        f"{states['orphan']} without a record of the origin, {len(disputes)} disputed, "
        f"{len(corrected)} corrected. Total: {sum(cents.values()) / 100:.2f} "
        f"{html.escape(currency)}.</p>",
        "<h2>By tenant</h2>",
        _bar_chart({name: count / 100 for name, count in sorted(by_tenant.items())}, currency),
        _table(
            ("tenant", "traffic class", "dialogues", "seconds", currency),
            [
                (
                    line.tenant,
                    line.traffic_class,
                    line.dialogues,
                    f"{line.duration_us / 1e6:.3f}",
                    f"{cents[f'{line.tenant}{chr(0)}{line.traffic_class}'] / 100:.2f}",
                )
                for line in lines
            ],
        ),
        "<h2>By day</h2>",
        _day_chart(by_day),
        _table(
            ("day", *sorted(by_day)),
            [
                (day, *(by_day[traffic_class][day] for traffic_class in sorted(by_day)))
                for day in sorted({day for days in by_day.values() for day in days})
            ],
        ),
        "<h2>Disputed</h2>",
        _table(
            ("dialogue", "billed us", "durations recorded by each end, us"),
            [
                (f"{dialogue.dialogue_id[0]}/{dialogue.dialogue_id[1]}", dialogue.billed, dialogue.dispute)
                for dialogue in disputes[:MAX_DISPUTES_SHOWN]
            ],
        ),
    ]
    if len(disputes) > MAX_DISPUTES_SHOWN:
        parts.append(f"<p>and {len(disputes) - MAX_DISPUTES_SHOWN} more</p>")
    style = "body{font:15px sans-serif;margin:2em;max-width:60em}td,th{padding:.2em .8em;text-align:right}"
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>Ledger, {html.escape(period)}</title>'
        f"<style>{style}</style><body>{''.join(parts)}</body></html>\n"
    )


def _table(head: Sequence[object], rows: Sequence[Sequence[object]]) -> str:
    if not rows:
        return "<p>None.</p>"

    def row_html(cells: Sequence[object], tag: str) -> str:
        return "<tr>" + "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells) + "</tr>"

    return f"<table>{row_html(head, 'th')}{''.join(row_html(row, 'td') for row in rows)}</table>"


def _image(figure: Figure, description: str) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110, bbox_inches="tight")
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="{html.escape(description)}" src="data:image/png;base64,{data}">'


def _bar_chart(values: Mapping[str, float], unit: str) -> str:
    figure = Figure(figsize=(7, 0.6 + 0.4 * max(1, len(values))))
    axes = figure.subplots()
    axes.barh(list(values), list(values.values()), color="#356a9c")
    axes.set_xlabel(unit)
    axes.invert_yaxis()
    return _image(figure, "amount owed by each tenant")


def _day_chart(by_day: Mapping[str, Counter[str]]) -> str:
    figure = Figure(figsize=(7, 3))
    axes = figure.subplots()
    days = sorted({day for counts in by_day.values() for day in counts})
    bottoms = [0] * len(days)
    for traffic_class in sorted(by_day):
        heights = [by_day[traffic_class][day] for day in days]
        axes.bar(days, heights, bottom=bottoms, label=traffic_class)
        bottoms = [a + b for a, b in zip(bottoms, heights, strict=True)]
    axes.set_ylabel("dialogues billed")
    axes.tick_params(axis="x", rotation=60)
    if by_day:
        axes.legend()
    return _image(figure, "dialogues billed by day and traffic class")
