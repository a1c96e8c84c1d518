"""A month's report: one page with charts and the tables beside them, in a file that opens in a browser."""

import base64
import html
import io
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime

from matplotlib.figure import Figure

from wellhitch.ledger.rating import InvoiceLine
from wellhitch.ledger.settle import Settled

SHOWN = 200  # disputes on the page; the rest is counted


def month_report(
    period: str,
    currency: str,
    lines: Sequence[InvoiceLine],
    cents: Mapping[str, int],
    settled: Sequence[Settled],
) -> str:
    """The page. `cents`: by `tenant NUL use case`."""
    by_tenant: Counter[str] = Counter()
    for line in lines:
        by_tenant[line.tenant or "none"] += cents[f"{line.tenant}\0{line.traffic_class}"]
    by_day: dict[str, Counter[str]] = defaultdict(Counter)
    for one in settled:
        if one.state == "billed":
            day = datetime.fromtimestamp(one.ended / 1e6, UTC).date().isoformat()
            by_day[one.traffic_class][day] += 1
    states = Counter(one.state for one in settled)
    disputes = [one for one in settled if one.dispute]
    corrected = [one for one in settled if one.corrected]
    parts = [
        f"<h1>Ledger, {html.escape(period)}</h1>",
        f"<p>{states['billed']} dialogues billed, {states['open']} open, {states['orphan']} without the origin's word, "
        f"{len(disputes)} disputed, {len(corrected)} corrected. Whole: {sum(cents.values()) / 100:.2f} "
        f"{html.escape(currency)}.</p>",
        "<h2>By tenant</h2>",
        _bars({name: count / 100 for name, count in sorted(by_tenant.items())}, currency),
        _table(
            ("tenant", "use case", "dialogues", "seconds", currency),
            [
                (
                    one.tenant,
                    one.traffic_class,
                    one.dialogues,
                    f"{one.duration_us / 1e6:.3f}",
                    f"{cents[f'{one.tenant}{chr(0)}{one.traffic_class}'] / 100:.2f}",
                )
                for one in lines
            ],
        ),
        "<h2>By day</h2>",
        _days(by_day),
        _table(
            ("day", *sorted(by_day)),
            [
                (day, *(by_day[use][day] for use in sorted(by_day)))
                for day in sorted({day for days in by_day.values() for day in days})
            ],
        ),
        "<h2>Disputed</h2>",
        _table(
            ("dialogue", "billed us", "what each end saw, us"),
            [
                (f"{one.dialogue_id[0]}/{one.dialogue_id[1]}", one.billed, one.dispute)
                for one in disputes[:SHOWN]
            ],
        ),
    ]
    if len(disputes) > SHOWN:
        parts.append(f"<p>and {len(disputes) - SHOWN} more</p>")
    style = "body{font:15px sans-serif;margin:2em;max-width:60em}td,th{padding:.2em .8em;text-align:right}"
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>Ledger, {html.escape(period)}</title>'
        f"<style>{style}</style><body>{''.join(parts)}</body></html>\n"
    )


def _table(head: Sequence[object], rows: Sequence[Sequence[object]]) -> str:
    if not rows:
        return "<p>None.</p>"

    def line(cells: Sequence[object], tag: str) -> str:
        return "<tr>" + "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells) + "</tr>"

    return f"<table>{line(head, 'th')}{''.join(line(row, 'td') for row in rows)}</table>"


def _image(figure: Figure, what: str) -> str:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110, bbox_inches="tight")
    data = base64.b64encode(out.getvalue()).decode()
    return f'<img alt="{html.escape(what)}" src="data:image/png;base64,{data}">'


def _bars(values: Mapping[str, float], unit: str) -> str:
    figure = Figure(figsize=(7, 0.6 + 0.4 * max(1, len(values))))
    axes = figure.subplots()
    axes.barh(list(values), list(values.values()), color="#356a9c")
    axes.set_xlabel(unit)
    axes.invert_yaxis()
    return _image(figure, "what each tenant owes")


def _days(by_day: Mapping[str, Counter[str]]) -> str:
    figure = Figure(figsize=(7, 3))
    axes = figure.subplots()
    days = sorted({day for counts in by_day.values() for day in counts})
    below = [0] * len(days)
    for use in sorted(by_day):
        heights = [by_day[use][day] for day in days]
        axes.bar(days, heights, bottom=below, label=use)
        below = [a + b for a, b in zip(below, heights, strict=True)]
    axes.set_ylabel("dialogues billed")
    axes.tick_params(axis="x", rotation=60)
    if by_day:
        axes.legend()
    return _image(figure, "dialogues billed by day and use case")
