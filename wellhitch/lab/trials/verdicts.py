"""Checks the rules of a trial, from its records and the call servers' logs only. Imports nothing of the server."""

import json
import re
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from wellhitch.lab.trials.records import EventKind, Record, Records

LIMIT_SLACK_S = 0.05  # added to every limit of the operators, because the trial runs on real sockets
RECORDING_DELAY_S = 0.1  # between the arrival of data at a stand-in and its record, on a busy machine
ANSWER_GRACE_S = 0.5  # after its deadline an answer has no value, but is not lost
RELEASE_REPORT_LIMIT_S = 1.0  # from an endpoint's release to the release at the client
END_REPORT_LIMIT_S = 8.0  # from the end of a call without a release to the release at the client
TERM_GRACE_S = 0.7
ENDS_WITH_RELEASE_WAIT = frozenset(
    ("connection ended", "released by the call server", "malformed answer", "died")
)
CALL_IN_LOG = re.compile(r'"call":"([0-9a-f]{16})"')
DEFECT_EVENTS = frozenset(("loop_fault", "decision_fault", "log_fault"))


@dataclass(frozen=True, slots=True)
class Violation:
    """One violated rule: its name, the time, the call or process concerned, and a description."""

    rule: str
    time_s: float
    subject: str
    description: str


@dataclass(slots=True)
class Verdict:
    """All violations, and the counts for the report."""

    violations: list[Violation] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    @property
    def passed(self) -> bool:
        """Whether no rule was violated."""
        return not self.violations

    def add_violation(self, rule: str, time_s: float, subject: str, description: str) -> None:
        """Add one violation."""
        self.violations.append(Violation(rule, time_s, subject, description))


class Checker:
    """Checks the records of one trial. Times are on the records' clock; events due after `ended_at` are not checked.
    The call servers' `logs` show whether a request was read."""

    def __init__(
        self, records: Records, ended_at: float, release_wait_s: float, drain_grace_s: float, logs: str
    ) -> None:
        self.calls_in_logs = frozenset(CALL_IN_LOG.findall(logs))
        self.records, self.ended_at = records, ended_at
        self.release_wait_s, self.drain_grace_s = release_wait_s, drain_grace_s
        self.verdict = Verdict()
        self.by_call: dict[str, list[Record]] = defaultdict(list)
        for record in sorted(records.entries, key=lambda record: record.time_s):
            if record.call_id:
                self.by_call[record.call_id].append(record)
        self.restarted_endpoints = {
            record.endpoint for record in records.of_kind(EventKind.ENDPOINT_RESTARTED)
        }
        self.cut_offs = self._periods(EventKind.CUT_OFF, EventKind.RESTORED)
        self.without_connection = self._periods(EventKind.DISCONNECTED, EventKind.CONNECTED)
        self.server_events: dict[str, list[Record]] = defaultdict(list)
        for record in records.of_kind(
            EventKind.SERVER_STARTED,
            EventKind.SERVER_READY,
            EventKind.SERVER_TERMINATED,
            EventKind.SERVER_ENDED,
            EventKind.SERVER_KILLED,
        ):
            self.server_events[record.server].append(record)

    def _periods(self, start: EventKind, end: EventKind) -> dict[str, list[tuple[float, float]]]:
        """The periods between two kinds of event, for each call server."""
        started: dict[str, float] = {}
        periods: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for record in self.records.of_kind(start, end):
            if record.kind is start:
                started.setdefault(record.server, record.time_s)
            elif record.server in started:
                periods[record.server].append((started.pop(record.server), record.time_s))
        for server, since in started.items():
            periods[server].append((since, self.ended_at))
        return periods

    def _reaches_client_by(self, server: str, since: float, due_s: float) -> float:
        """When a message due by `due_s` reaches a client at the latest: at the end of a cut-off that is in the way."""
        for start_s, end_s in self.cut_offs[server]:
            if start_s <= due_s and end_s >= since:
                due_s = max(due_s, end_s)
        return due_s

    def check(self) -> Verdict:
        """Check all rules."""
        for call_id, records in self.by_call.items():
            self._check_answers(call_id, records)
            self._check_attempts(call_id, records)
            self._check_releases(call_id, records)
        self._check_drains()
        self._check_processes()
        return self.verdict

    def _slack(self, since: float, until: float) -> float:
        """The tolerance of a limit between two times: the operators' slack, the recording delay, and twice the delay of
        the stand-ins' event loop, which affects both directions."""
        return (
            LIMIT_SLACK_S + RECORDING_DELAY_S + 2 * self.records.max_lag_s(since, until + RECORDING_DELAY_S)
        )

    # ---- one final answer, in time ----

    def _check_answers(self, call_id: str, records: list[Record]) -> None:
        sent = [record for record in records if record.kind is EventKind.REQUEST_SENT]
        if not sent:
            return
        self.verdict.counts["requests"] += 1
        request = sent[-1]
        answers = [record for record in records if record.kind is EventKind.ANSWERED]
        cancelled = any(record.kind is EventKind.CANCELLED for record in records)
        self.verdict.counts[f"answer {answers[0].status if answers else 'none'}"] += 1
        if len(answers) > 1:
            self.verdict.add_violation("lost", answers[1].time_s, call_id, "a second answer came")
        if answers and answers[0].status == 200:
            self._check_answering_endpoint(call_id, records, answers[0])
        if cancelled:
            return
        due_s = request.time_s + float(request.detail) + ANSWER_GRACE_S
        due_s = self._reaches_client_by(request.server, request.time_s, due_s)
        due_s += self._slack(request.time_s, due_s)
        if answers and answers[0].time_s <= due_s:
            return
        if answers:
            self.verdict.add_violation(
                "lost", request.time_s, call_id, f"answered {answers[0].time_s - due_s:.3f} s too late"
            )
            return
        ended = [r for r in records if r.kind is EventKind.CONNECTION_ENDED and r.time_s >= request.time_s]
        failed_at = ended[0].time_s if ended else due_s
        if failed_at > self.ended_at or self._killed_without_term(request.server, request.time_s, failed_at):
            return
        if ended and ended[0].detail == "close race":
            self.verdict.counts["close race"] += 1
            return
        if ended and ended[0].detail and call_id not in self.calls_in_logs:
            # The call server closed the connection without sending anything and never read the request, so the request
            # has failed but is not lost. A request that was read appears in the call server's log.
            self.verdict.counts["closed before reading"] += 1
            return
        description = "its connection ended without an answer" if ended else "no answer came"
        self.verdict.add_violation(
            "lost", request.time_s, call_id, f"{description}{self._since_term(request)}"
        )

    def _since_term(self, request: Record) -> str:
        terms = [
            r.time_s
            for r in self.server_events[request.server]
            if r.kind is EventKind.SERVER_TERMINATED and r.time_s <= request.time_s
        ]
        return f" (sent {request.time_s - terms[-1]:.3f} s after a SIGTERM)" if terms else ""

    def _check_answering_endpoint(self, call_id: str, records: list[Record], answer: Record) -> None:
        established = [r for r in records if r.kind is EventKind.ESTABLISHED and r.time_s <= answer.time_s]
        if not any(answer.detail == f"{record.endpoint} {call_id}" for record in established):
            self.verdict.add_violation(
                "lost",
                answer.time_s,
                call_id,
                "answered 200 with a description that no endpoint sent for this call",
            )

    def _killed_without_term(self, server: str, since: float, until: float) -> bool:
        """Whether the process was killed while the request was unanswered, without an earlier SIGTERM."""
        terminated = False
        for record in self.server_events[server]:
            if record.kind is EventKind.SERVER_STARTED:
                terminated = False
            terminated = terminated or record.kind is EventKind.SERVER_TERMINATED
            if (
                record.kind is EventKind.SERVER_KILLED
                and not terminated
                and since <= record.time_s <= until + 0.1
            ):
                return True
        return False

    # ---- one attempt at a time, and no resend within the release wait ----

    def _check_attempts(self, call_id: str, records: list[Record]) -> None:
        outstanding: Record | None = None
        wait_from: Record | None = None
        for record in records:
            if record.kind is EventKind.SETUP_RECEIVED:
                if outstanding is not None and not record.detail:
                    self.verdict.add_violation(
                        "duplicate", record.time_s, call_id, f"also unanswered at {outstanding.endpoint}"
                    )
                if wait_from is not None and not record.detail:
                    waited_s = record.time_s - wait_from.time_s
                    if waited_s < self.release_wait_s - LIMIT_SLACK_S:
                        self.verdict.add_violation(
                            "release",
                            record.time_s,
                            call_id,
                            f"sent again {waited_s:.3f} s after '{wait_from.detail}'",
                        )
                outstanding = None if record.detail else record
                self.verdict.counts["attempts"] += 1
            elif record.kind in (EventKind.ATTEMPT_ENDED, EventKind.ESTABLISHED):
                outstanding = None
                wait_from = record if record.detail in ENDS_WITH_RELEASE_WAIT else None
            elif record.kind in (EventKind.CANCELLED, EventKind.CONNECTION_ENDED):
                outstanding = None

    # ---- the client gets the release of an ended call in time ----

    def _check_releases(self, call_id: str, records: list[Record]) -> None:
        served = next((r for r in records if r.kind is EventKind.ANSWERED and r.status == 200), None)
        if served is None:
            return
        # An earlier call with this id may have ended before, if its answer was given up.
        established_s = [
            r.time_s for r in records if r.kind is EventKind.ESTABLISHED and r.time_s <= served.time_s
        ]
        since = max(established_s, default=served.time_s - 1)
        ended = next((r for r in records if r.kind is EventKind.CALL_ENDED and r.time_s >= since), None)
        received = [r for r in records if r.kind is EventKind.RELEASE_RECEIVED]
        by_client = next(
            (r for r in records if r.kind in (EventKind.CLIENT_RELEASED, EventKind.CANCELLED)), None
        )
        self.verdict.counts["established"] += 1
        if ended is None:
            if (
                received
                and by_client is None
                and not any(r.kind is EventKind.RELEASED_BY_SERVER for r in records)
            ):
                self.verdict.counts["cut while established, endpoint not informed"] += 1
            elif received and by_client is None:
                self.verdict.counts["cut while established"] += 1
            return
        if by_client is not None and by_client.time_s <= ended.time_s + END_REPORT_LIMIT_S:
            return
        due_s = self._release_due(records, ended)
        reported_at = [r.time_s for r in records if r.kind is EventKind.CALL_REPORTED]
        if not self._ready_throughout(ended.server, ended.time_s, due_s):
            if not reported_at or max(reported_at) < ended.time_s:
                self.verdict.counts["ended while the call server was down"] += 1
                return
            due_s = max(
                due_s,
                max(reported_at) + END_REPORT_LIMIT_S,
                self._restart_reported_at(ended) + END_REPORT_LIMIT_S,
            )
        due_s = self._reaches_client_by(ended.server, ended.time_s, due_s)
        if due_s > self.ended_at:
            return
        if not received or received[0].time_s > due_s + self._slack(ended.time_s, due_s):
            lateness = f"{received[0].time_s - due_s:.3f} s too late" if received else "never"
            limit_s = due_s - ended.time_s
            self.verdict.add_violation(
                "unreported",
                ended.time_s,
                call_id,
                f"ended at {ended.endpoint} ({ended.detail or 'normally'}), released at the client {lateness}; "
                f"due after {limit_s:.1f} s",
            )

    def _restart_reported_at(self, ended: Record) -> float:
        """When discovery reported that the endpoint had restarted. A call server that starts after the end of a call,
        when the endpoint runs again, cannot know of the end earlier."""
        reported = [
            record.time_s
            for record in self.records.of_kind(EventKind.STATE_REPORTED)
            if (record.server, record.endpoint, record.detail) == (ended.server, ended.endpoint, "UP")
            and record.time_s >= ended.time_s
        ]
        restartable = ended.detail in ("vanished", "died")
        return (
            (min(reported) if reported else float("inf"))
            if restartable and ended.endpoint in self.restarted_endpoints
            else 0.0
        )

    def _release_due(self, records: list[Record], ended: Record) -> float:
        release = next(
            (r for r in records if r.kind is EventKind.RELEASE_SENT and r.time_s >= ended.time_s), None
        )
        if release is not None and release.time_s <= ended.time_s + END_REPORT_LIMIT_S:
            due_s = release.time_s + RELEASE_REPORT_LIMIT_S
            if not self._no_connection_during(ended.server, release.time_s, due_s):
                return due_s
        return ended.time_s + END_REPORT_LIMIT_S

    def _no_connection_during(self, server: str, since: float, until: float) -> bool:
        """Whether the clients had no connection at some time of a period, so that no release could be sent then."""
        return any(start_s <= until and end_s >= since for start_s, end_s in self.without_connection[server])

    def _ready_throughout(self, server: str, since: float, until: float) -> bool:
        """Whether a call server was ready during a whole period, without a restart."""
        ready_at = None
        for record in self.server_events[server]:
            if record.kind is EventKind.SERVER_READY and record.time_s <= since:
                ready_at = record.time_s
            if record.kind in (EventKind.SERVER_STARTED, EventKind.SERVER_ENDED, EventKind.SERVER_KILLED):
                if record.time_s <= since:
                    ready_at = None
                elif record.time_s <= until + 0.1:
                    return False
        return ready_at is not None

    # ---- no new set-ups to a draining or removed endpoint ----

    def _check_drains(self) -> None:
        reported: dict[tuple[str, str], float] = {}
        for record in self.records.of_kind(EventKind.STATE_REPORTED):
            if record.detail != "UP":
                key = record.server, record.endpoint
                reported[key] = min(reported.get(key, record.time_s), record.time_s)
        for record in self.records.of_kind(EventKind.SETUP_RECEIVED):
            reported_at = reported.get((record.server, record.endpoint))
            if reported_at is None or record.detail:
                continue
            late_s = record.time_s - reported_at - self.drain_grace_s
            if late_s > self._slack(reported_at, record.time_s):
                self.verdict.add_violation(
                    "drain",
                    record.time_s,
                    record.call_id,
                    f"sent to {record.endpoint} {late_s:.3f} s after the drain grace",
                )

    # ---- processes ----

    def _check_processes(self) -> None:
        for server, records in self.server_events.items():
            terminated = False
            for record in records:
                if record.kind is EventKind.SERVER_STARTED:
                    terminated = False
                elif record.kind is EventKind.SERVER_TERMINATED:
                    terminated = True
                elif record.kind is EventKind.SERVER_KILLED and terminated:
                    self.verdict.counts["ended by SIGKILL after SIGTERM"] += 1
                elif record.kind is EventKind.SERVER_ENDED:
                    self.verdict.counts["ended after SIGTERM"] += terminated
                    if not terminated or record.status != 0:
                        self.verdict.add_violation(
                            "crash", record.time_s, server, f"exited with status {record.status}"
                        )


def check_log(verdict: Verdict, path: Path) -> None:
    """Add the defects found in a call server's log: exceptions in the event loop, in decisions and in logging, and
    tracebacks."""
    for line in path.read_bytes().splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            verdict.add_violation("crash", 0.0, path.stem, f"not a log line: {line[:200]!r}")
            return
        if entry.get("event") in DEFECT_EVENTS:
            verdict.add_violation("crash", entry.get("at", 0.0), path.stem, str(entry)[:300])
