"""Runs trials by seed and reports their outcome."""

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from wellhitch.lab.trials.fleet import Trial
from wellhitch.lab.trials.plan import FaultKind, TrialPlan, draw_plan
from wellhitch.lab.trials.settings import DRAIN_GRACE_S, RELEASE_WAIT_S
from wellhitch.lab.trials.verdicts import Checker, Verdict, check_log


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one trial, with its records as text and the logs by call server."""

    plan: TrialPlan
    verdict: Verdict
    started_at: float
    records: tuple[str, ...]
    logs: dict[str, str]

    def report(self) -> str:
        """One line if the trial passed; otherwise also the plan, the violations and the records of their calls."""
        kinds = "+".join(kind.name.lower() for kind in self.plan.kinds)
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.verdict.counts.items()))
        heading = f"seed {self.plan.seed} {'passed' if self.verdict.passed else 'FAILED'} {kinds}: {counts}"
        if self.verdict.passed:
            return heading
        lines = [heading, self.plan.timeline()]
        for violation in self.verdict.violations[:12]:
            elapsed_s = violation.time_s - self.started_at
            lines.append(f"  {violation.rule} {elapsed_s:.3f} {violation.subject}: {violation.description}")
            lines += [f"      {line}" for line in self.records if violation.subject in line][:14]
        if len(self.verdict.violations) > 12:
            lines.append(f"  and {len(self.verdict.violations) - 12} more")
        return "\n".join(lines)

    def write(self, folder: Path) -> None:
        """Write records and logs to a folder, in files that begin with the seed."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"{self.plan.seed}.records").write_text("\n".join(self.records))
        for name, text in self.logs.items():
            (folder / f"{self.plan.seed}.{name}.log").write_text(text)


async def run_trial(plan: TrialPlan, folder: Path) -> Outcome:
    """Run one trial on the current event loop and check its records."""
    trial = Trial(plan, folder)
    await trial.run()
    logs = {server.name: server.log_path.read_text(errors="replace") for server in trial.servers}
    checker = Checker(trial.records, trial.ended_at, RELEASE_WAIT_S, DRAIN_GRACE_S, "".join(logs.values()))
    verdict = checker.check()
    for server in trial.servers:
        check_log(verdict, server.log_path)
        verdict.counts["peak MB"] = max(verdict.counts["peak MB"], round(server.peak_memory_mb))
        if server.peak_memory_mb > server.memory_limit_mb:
            verdict.add_violation("limits", 0.0, server.name, f"{server.peak_memory_mb:.0f} MB")
    record_lines = tuple(
        f"{record.time_s - trial.started_at:8.3f} {record.kind.name.lower()} {record.call_id} {record.server} "
        f"{record.endpoint} {record.status or ''} {record.detail}"
        for record in sorted(trial.records.entries, key=lambda record: record.time_s)
    )
    return Outcome(plan, verdict, trial.started_at, record_lines, logs)


def run_plan(plan: TrialPlan, folder: Path) -> Outcome:
    """Run one trial in a new event loop. Configurations and logs stay in `folder`."""
    return asyncio.run(run_trial(plan, folder))


def run_seed(seed: int, kinds: tuple[FaultKind, ...] | None = None, keep: Path | None = None) -> Outcome:
    """Run the trial of a seed; records and logs are kept in the folder `keep` if it is given."""
    with tempfile.TemporaryDirectory() as folder:
        outcome = run_plan(draw_plan(seed, kinds), Path(folder))
    if keep is not None:
        outcome.write(keep)
    return outcome
