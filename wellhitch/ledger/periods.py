"""Accounting periods: open, closing, closed. The instances agree on them over messages that may be lost, duplicated or
delayed. Pure.

A period is a month of wall time, named `2026-12`. Once an instance's own clock is past the period's end by
`CLOCK_MARGIN_US`, the instance states, once and finally, how far its chain goes for that period: its statement. It adds
no row for the period after that; a row that belongs there (the clock was set back) counts in the next period and names
the one it was late for.

The content of a period is the list of statements that closes it, and there must be exactly one such list. It is chosen
as a value in single-decree Paxos (Lamport, "Paxos Made Simple", 2001), one decree per period: a majority of the
instances on the roster is enough, and no two lists are ever chosen, whatever is lost. An instance that stated nothing
for `ABSENCE_TIMEOUT_US` after the end is left out of the list; its later rows count as corrections in the next period.

Whatever is promised, accepted or stated must be on disk before the message that announces it is sent: `Outcome.persist`
before `Outcome.send`."""

from dataclasses import dataclass, field
from datetime import UTC, datetime

import msgspec

# Ten minutes after a period's end: more than any clock difference that operators would tolerate.
CLOCK_MARGIN_US = 600_000_000
ABSENCE_TIMEOUT_US = 3 * 86_400_000_000  # a long weekend
RETRY_INTERVAL_US = 5_000_000


def period_at(wall: int) -> str:
    """The period that contains a wall time."""
    moment = datetime.fromtimestamp(wall / 1e6, UTC)
    return f"{moment.year:04}-{moment.month:02}"


def period_end(period: str) -> int:
    """The wall time at which a period ends. Raises ValueError if it is not a period's name."""
    digits = period[:4] + period[5:]
    if len(period) != 7 or period[4] != "-" or not (digits.isascii() and digits.isdigit()):
        raise ValueError(f"period {period[:20]!r}: expected a month such as 2026-12")
    year, month = int(period[:4]), int(period[5:])
    if not (1 <= month <= 12 and 1970 <= year < 9999):
        raise ValueError(f"period {period!r}: expected a month such as 2026-12")
    after = datetime(year + month // 12, month % 12 + 1, 1, tzinfo=UTC)
    return int(after.timestamp()) * 1_000_000


def next_period(period: str) -> str:
    """The following period."""
    return period_at(period_end(period))


def previous_period(period: str) -> str:
    """The preceding period."""
    return period_at(period_end(period) - 32 * 86_400_000_000)


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """How far one chain goes for a period: the last row in it, and that row's hash."""

    number: int
    mark: int
    seq: int
    hash: bytes


Content = tuple[Statement, ...]
"""What closes a period: statements in order of their instances, at most one of each."""

Ballot = tuple[int, int]  # round and instance


class StatementMessage(msgspec.Struct, frozen=True, array_like=True, tag="Say"):
    """An instance's statement; sent until the period is known to be closed."""

    period: str
    statement: Statement


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Phase 1: asks for a promise to accept nothing below this ballot."""

    period: str
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The promise, with the ballot and content accepted before."""

    period: str
    ballot: Ballot
    accepted: Ballot | None
    content: Content


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Phase 2: asks to accept this content."""

    period: str
    ballot: Ballot
    content: Content


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The content of this ballot was accepted."""

    period: str
    ballot: Ballot


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Not accepted: a higher ballot was promised."""

    period: str
    promised: Ballot


class Closed(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The content was chosen and closes the period."""

    period: str
    content: Content


Message = StatementMessage | Prepare | Promise | Accept | Accepted | Refused | Closed


class PeriodRecord(msgspec.Struct, array_like=True):
    """What an instance stores of one period."""

    period: str
    statement: Statement | None = None
    promised: Ballot | None = None
    accepted: Ballot | None = None
    content: Content = ()
    closed: Content | None = None
    rounds: int = 0


@dataclass(slots=True)
class Outcome:
    """What the caller must do: persist the record first if asked to, then send each message to its instance."""

    persist: bool = False
    send: list[tuple[int, Message]] = field(default_factory=list)


@dataclass(slots=True)
class Proposal:
    """One attempt of this instance to close a period. `content`: what it would propose itself; `accepting`: what it
    asked to accept in phase 2."""

    ballot: Ballot
    content: Content
    promises: dict[int, Promise] = field(default_factory=dict)
    accepts: set[int] = field(default_factory=set)
    accepting: Content | None = None


@dataclass(slots=True)
class Agreement:
    """One instance's part in closing one period. `roster`: the numbers of all instances, including this one."""

    own_number: int
    roster: tuple[int, ...]
    record: PeriodRecord
    statements: dict[int, Statement] = field(default_factory=dict)
    proposal: Proposal | None = None

    @property
    def majority(self) -> int:
        """The number of instances that are a majority."""
        return len(self.roster) // 2 + 1

    @property
    def state(self) -> str:
        """`open`, `closing` or `closed`."""
        if self.record.closed is not None:
            return "closed"
        return "closing" if self.record.statement else "open"

    def _others(self) -> list[int]:
        return [number for number in self.roster if number != self.own_number]

    def record_own_statement(self, statement: Statement) -> Outcome:
        """This instance has no more rows for the period. The first statement is final."""
        if self.record.statement is None:
            self.record.statement = statement
        self.statements[self.own_number] = self.record.statement
        return Outcome(
            True,
            [
                (number, StatementMessage(self.record.period, self.record.statement))
                for number in self._others()
            ],
        )

    def retry(self, wall: int) -> Outcome:
        """Send the statement again, or try to close the period. Called every RETRY_INTERVAL_US."""
        record = self.record
        if record.closed is not None:
            return Outcome()
        outcome = Outcome()
        if record.statement is not None:
            self.statements[self.own_number] = record.statement
            outcome.send += [
                (number, StatementMessage(record.period, record.statement)) for number in self._others()
            ]
        since_end = wall - period_end(record.period)
        complete = all(number in self.statements for number in self.roster)
        # In each RETRY_INTERVAL_US one instance may propose: two that propose at once hold each other up.
        own_turn = since_end // RETRY_INTERVAL_US % len(self.roster) == self.roster.index(self.own_number)
        if (
            record.statement is not None
            and own_turn
            and since_end >= (CLOCK_MARGIN_US if complete else ABSENCE_TIMEOUT_US)
        ):
            started = self.propose(record.rounds + 1)
            outcome.persist, outcome.send = started.persist, outcome.send + started.send
        return outcome

    def propose(self, round_: int) -> Outcome:
        """Try to close the period with the statements received."""
        self.record.rounds = max(self.record.rounds, round_)
        content = tuple(sorted(self.statements.values(), key=lambda statement: statement.number))
        ballot = (self.record.rounds, self.own_number)
        self.proposal = Proposal(ballot, content)
        outcome = Outcome(True, [(number, Prepare(self.record.period, ballot)) for number in self._others()])
        return self._merge(outcome, self.receive(self.own_number, Prepare(self.record.period, ballot)))

    def _merge(self, outcome: Outcome, own: Outcome) -> Outcome:
        """Add this instance's own answers, delivering messages to itself at once."""
        outcome.persist = outcome.persist or own.persist
        for to, message in own.send:
            if to == self.own_number:
                outcome = self._merge(outcome, self.receive(self.own_number, message))
            else:
                outcome.send.append((to, message))
        return outcome

    def receive(self, sender: int, message: Message) -> Outcome:
        """Handle a message; it is ignored unless the sender is on the roster."""
        record = self.record
        if sender not in self.roster or message.period != record.period:
            return Outcome()
        if record.closed is not None and not isinstance(message, Closed):
            return Outcome(
                False, [(sender, Closed(record.period, record.closed))] if sender != self.own_number else []
            )
        match message:
            case StatementMessage(_, statement):
                if statement.number == sender:
                    self.statements.setdefault(sender, statement)
                return Outcome()
            case Prepare(_, ballot):
                return self._prepare(sender, ballot)
            case Accept(_, ballot, content):
                return self._accept(sender, ballot, content)
            case Promise():
                return self._promised(sender, message)
            case Accepted(_, ballot):
                return self._accepted(sender, ballot)
            case Refused(_, promised):
                record.rounds = max(record.rounds, promised[0])
                if self.proposal and self.proposal.ballot < promised:
                    self.proposal = None  # the next attempt uses a higher ballot
                return Outcome()
            case Closed(_, content):
                return self._close(content, announce=False)

    def _prepare(self, sender: int, ballot: Ballot) -> Outcome:
        record = self.record
        if record.promised is not None and ballot < record.promised:
            return Outcome(False, [(sender, Refused(record.period, record.promised))])
        changed = record.promised != ballot
        record.promised = ballot
        return Outcome(changed, [(sender, Promise(record.period, ballot, record.accepted, record.content))])

    def _accept(self, sender: int, ballot: Ballot, content: Content) -> Outcome:
        record = self.record
        if record.promised is not None and ballot < record.promised:
            return Outcome(False, [(sender, Refused(record.period, record.promised))])
        changed = record.accepted != ballot
        record.promised = record.accepted = ballot
        record.content = content
        return Outcome(changed, [(sender, Accepted(record.period, ballot))])

    def _promised(self, sender: int, message: Promise) -> Outcome:
        proposal = self.proposal
        if proposal is None or message.ballot != proposal.ballot or proposal.accepting is not None:
            return Outcome()
        proposal.promises[sender] = message
        if len(proposal.promises) < self.majority:
            return Outcome()
        # A content that may have been chosen already must be proposed again: the one accepted in the highest ballot.
        accepted = [
            (promise.accepted, promise.content)
            for promise in proposal.promises.values()
            if promise.accepted is not None
        ]
        proposal.accepting = max(accepted)[1] if accepted else proposal.content
        request = Accept(self.record.period, proposal.ballot, proposal.accepting)
        outcome = Outcome(False, [(number, request) for number in self._others()])
        return self._merge(outcome, self.receive(self.own_number, request))

    def _accepted(self, sender: int, ballot: Ballot) -> Outcome:
        proposal = self.proposal
        if proposal is None or ballot != proposal.ballot or proposal.accepting is None:
            return Outcome()
        proposal.accepts.add(sender)
        if len(proposal.accepts) < self.majority:
            return Outcome()
        return self._close(proposal.accepting, announce=True)

    def _close(self, content: Content, announce: bool) -> Outcome:
        if self.record.closed is not None:
            return Outcome()
        self.record.closed = content
        self.proposal = None
        sends: list[tuple[int, Message]] = []
        if announce:
            sends = [(number, Closed(self.record.period, content)) for number in self._others()]
        return Outcome(True, sends)


MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)
RECORD_DECODER = msgspec.msgpack.Decoder(PeriodRecord)
