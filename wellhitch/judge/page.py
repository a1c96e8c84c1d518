"""The verdict and the service on one page of text."""

from wellhitch.judge.rules import Verdict
from wellhitch.judge.service import Service

RULES = {
    1: "one final answer, in time",
    2: "never two dials out",
    3: "drains kept",
    4: "no cold office pushed over",
    5: "the release is awaited",
}
SHOWN = 5  # breaks of one rule on the page; the rest is counted


def verdict_page(verdict: Verdict) -> str:
    """The five rules, with the frames that broke them."""
    out = ["rules, by what went over the sockets"]
    for rule, name in RULES.items():
        breaks = [one for one in verdict.violations if one.rule == rule]
        out.append(f"  {rule}  {name:32} {'kept' if not breaks else f'BROKEN {len(breaks)} times'}")
        for one in breaks[:SHOWN]:
            who = f"call server {one.server}: " if one.server >= 0 else ""
            out.append(f"       at {one.time_us / 1e6:.6f} s  {who}{one.description}")
        if len(breaks) > SHOWN:
            out.append(f"       and {len(breaks) - SHOWN} more")
    seen = ", ".join(f"{name.replace('_', ' ')} {count}" for name, count in sorted(verdict.examined.items()))
    out.append(f"  judged: {seen}")
    return "\n".join(out)


def service_page(service: Service) -> str:
    """Service by use case, and the worst 10 s."""
    head = ("use case", "asked", "in time", "late", "cut", "pushed back", "forfeited", "gave up", "service")
    rows: list[tuple[str, ...]] = [head]
    for name, one in service.by_traffic_class.items():
        counts = (one.asked, one.in_time, one.late, one.cut, one.rejected, one.failed, one.abandoned)
        rows.append((name, *(str(count) for count in counts), f"{one.share:.3f}"))
    widths = [max(len(row[at]) for row in rows) for at in range(len(head))]
    out = ["service"]
    for row in rows:
        cells = [
            row[0].ljust(widths[0]),
            *(cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)),
        ]
        out.append("  " + "  ".join(cells))
    worst = f"worst 10 s {service.worst_window:.3f} (from second {service.worst_window_index * 10 + 1})"
    out.append(
        f"  whole day {service.overall:.3f}, {worst}, worst use case {service.worst_traffic_class:.3f}"
    )
    times = sorted(service.setup_times_us)
    if times:
        middle, high = times[len(times) // 2], times[int(len(times) * 0.99)]
        out.append(f"  set-up as callers saw it: median {middle / 1000:.1f} ms, 99th {high / 1000:.1f} ms")
    return "\n".join(out)
