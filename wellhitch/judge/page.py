"""Formats the verdict and the service level as text."""

from wellhitch.judge.rules import Verdict
from wellhitch.judge.service import Service

RULES = {
    1: "one final answer, in time",
    2: "never two dials out",
    3: "drains kept",
    4: "no cold office pushed over",
    5: "the release is awaited",
}
MAX_SHOWN = 5  # violations of one rule on the page; the rest are only counted


def verdict_page(verdict: Verdict) -> str:
    """The five rules and their violations."""
    lines = ["rules, by what went over the sockets"]
    for rule, name in RULES.items():
        violations = [violation for violation in verdict.violations if violation.rule == rule]
        lines.append(f"  {rule}  {name:32} {'kept' if not violations else f'BROKEN {len(violations)} times'}")
        for violation in violations[:MAX_SHOWN]:
            server = f"call server {violation.server}: " if violation.server >= 0 else ""
            lines.append(f"       at {violation.time_us / 1e6:.6f} s  {server}{violation.description}")
        if len(violations) > MAX_SHOWN:
            lines.append(f"       and {len(violations) - MAX_SHOWN} more")
    seen = ", ".join(f"{name.replace('_', ' ')} {count}" for name, count in sorted(verdict.examined.items()))
    lines.append(f"  judged: {seen}")
    return "\n".join(lines)


def service_page(service: Service) -> str:
    """The service level by traffic class, and in the worst 10 s."""
    header = ("use case", "asked", "in time", "late", "cut", "pushed back", "forfeited", "gave up", "service")
    rows: list[tuple[str, ...]] = [header]
    for name, outcomes in service.by_traffic_class.items():
        counts = (
            outcomes.asked,
            outcomes.in_time,
            outcomes.late,
            outcomes.cut,
            outcomes.rejected,
            outcomes.failed,
            outcomes.abandoned,
        )
        rows.append((name, *(str(count) for count in counts), f"{outcomes.share:.3f}"))
    widths = [max(len(row[column]) for row in rows) for column in range(len(header))]
    lines = ["service"]
    for row in rows:
        cells = [
            row[0].ljust(widths[0]),
            *(cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)),
        ]
        lines.append("  " + "  ".join(cells))
    worst = f"worst 10 s {service.worst_window:.3f} (from second {service.worst_window_index * 10 + 1})"
    lines.append(
        f"  whole day {service.overall:.3f}, {worst}, worst use case {service.worst_traffic_class:.3f}"
    )
    times = sorted(service.setup_times_us)
    if times:
        median, percentile_99 = times[len(times) // 2], times[int(len(times) * 0.99)]
        lines.append(
            f"  set-up as callers saw it: median {median / 1000:.1f} ms, 99th {percentile_99 / 1000:.1f} ms"
        )
    return "\n".join(lines)
