"""Periods: open, closing, closed, agreed by the instances over messages that are lost, doubled and late. Pure.

A period is a month of the wall clock, named `2026-12`. When an instance's own clock is past its end by `MARGIN`, it
says once and for ever how far its chain goes for that period: its statement. It adds no row for the period after
that; a row that should have gone there (a clock set back) counts in the next and names the one it was late for.

What a period holds is the list of statements that closes it, and there must be one such list. It is chosen as a value
in single-decree Paxos (Lamport, "Paxos Made Simple", 2001), one decree a period: a majority of the instances on the
roster is enough, and no two lists are ever chosen, whatever is lost. An instance that said nothing for `PATIENCE` after
the end is left out of the list; what it says later comes as corrections in the next period.

Anything promised, accepted or stated must be on disk before the message that says so goes out: `Outcome.keep` before
`Outcome.send`."""

from dataclasses import dataclass, field
from datetime import UTC, datetime

import msgspec

CLOCK_MARGIN_US = (
    600_000_000  # us past a period's end: ten minutes, over any difference of clocks that staff would leave
)
ABSENCE_TIMEOUT_US = 3 * 86_400_000_000  # us for an instance that is away: a long weekend
RETRY_INTERVAL_US = 5_000_000  # us between two tries of whatever was not answered


def period_at(wall: int) -> str:
    """The period of a wall time."""
    moment = datetime.fromtimestamp(wall / 1e6, UTC)
    return f"{moment.year:04}-{moment.month:02}"


def period_end(period: str) -> int:
    """The wall time at which a period ends. Raises ValueError for what is no period."""
    digits = period[:4] + period[5:]
    if len(period) != 7 or period[4] != "-" or not (digits.isascii() and digits.isdigit()):
        raise ValueError(f"period {period[:20]!r}: such as 2026-12")
    year, month = int(period[:4]), int(period[5:])
    if not (1 <= month <= 12 and 1970 <= year < 9999):
        raise ValueError(f"period {period!r}: such as 2026-12")
    after = datetime(year + month // 12, month % 12 + 1, 1, tzinfo=UTC)
    return int(after.timestamp()) * 1_000_000


def next_period(period: str) -> str:
    """The period after."""
    return period_at(period_end(period))


def previous_period(period: str) -> str:
    """The period before."""
    return period_at(period_end(period) - 32 * 86_400_000_000)


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """How far one chain goes for a period: its last row in it, that row's hash."""

    number: int
    mark: int
    seq: int
    hash: bytes


Content = tuple[Statement, ...]
"""What closes a period: statements in order of their instances, one each at most."""

Ballot = tuple[int, int]  # round and instance


class StatementMessage(msgspec.Struct, frozen=True, array_like=True, tag="Say"):
    """An instance's statement; told until it is known closed."""

    period: str
    statement: Statement


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Phase 1: promise me nothing lower."""

    period: str
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Promised, with what was accepted before."""

    period: str
    ballot: Ballot
    accepted: Ballot | None
    content: Content


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Phase 2: accept this."""

    period: str
    ballot: Ballot
    content: Content


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Accepted."""

    period: str
    ballot: Ballot


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A higher ballot was promised."""

    period: str
    promised: Ballot


class Closed(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """It is chosen: this is what closes the period."""

    period: str
    content: Content


Message = StatementMessage | Prepare | Promise | Accept | Accepted | Refused | Closed


class PeriodRecord(msgspec.Struct, array_like=True):
    """What an instance must not forget of one period."""

    period: str
    statement: Statement | None = None
    promised: Ballot | None = None
    accepted: Ballot | None = None
    content: Content = ()
    closed: Content | None = None
    rounds: int = 0


@dataclass(slots=True)
class Outcome:
    """What to do: keep on disk first, then send each message to an instance."""

    persist: bool = False
    send: list[tuple[int, Message]] = field(default_factory=list)


@dataclass(slots=True)
class Proposal:
    """One try of this instance's to close a period."""

    ballot: Ballot
    content: Content
    promises: dict[int, Promise] = field(default_factory=dict)
    accepts: set[int] = field(default_factory=set)
    accepting: Content | None = None


@dataclass(slots=True)
class Agreement:
    """One instance's part in closing one period. `roster`: the numbers of all instances, this one too."""

    me: int
    roster: tuple[int, ...]
    record: PeriodRecord
    statements: dict[int, Statement] = field(default_factory=dict)
    proposal: Proposal | None = None

    @property
    def majority(self) -> int:
        """How many are enough."""
        return len(self.roster) // 2 + 1

    @property
    def state(self) -> str:
        """`open`, `closing` or `closed`."""
        if self.record.closed is not None:
            return "closed"
        return "closing" if self.record.statement else "open"

    def _others(self) -> list[int]:
        return [one for one in self.roster if one != self.me]

    def record_own_statement(self, statement: Statement) -> Outcome:
        """This instance has no more rows for the period. The first word holds."""
        if self.record.statement is None:
            self.record.statement = statement
        self.statements[self.me] = self.record.statement
        return Outcome(
            True,
            [(one, StatementMessage(self.record.period, self.record.statement)) for one in self._others()],
        )

    def retry(self, wall: int) -> Outcome:
        """Time passed without an answer: say it again, or try to close. Called every AGAIN."""
        record = self.record
        if record.closed is not None:
            return Outcome()
        out = Outcome()
        if record.statement is not None:
            self.statements[self.me] = record.statement
            out.send += [(one, StatementMessage(record.period, record.statement)) for one in self._others()]
        over = wall - period_end(record.period)
        whole = all(one in self.statements for one in self.roster)
        # Each stretch of AGAIN is one instance's turn to propose: two that propose at once hold each other up.
        turn = over // RETRY_INTERVAL_US % len(self.roster) == self.roster.index(self.me)
        if (
            record.statement is not None
            and turn
            and over >= (CLOCK_MARGIN_US if whole else ABSENCE_TIMEOUT_US)
        ):
            started = self.propose(record.rounds + 1)
            out.persist, out.send = started.persist, out.send + started.send
        return out

    def propose(self, round_: int) -> Outcome:
        """Try to close the period with what was said."""
        self.record.rounds = max(self.record.rounds, round_)
        content = tuple(sorted(self.statements.values(), key=lambda one: one.number))
        ballot = (self.record.rounds, self.me)
        self.proposal = Proposal(ballot, content)
        out = Outcome(True, [(one, Prepare(self.record.period, ballot)) for one in self._others()])
        return self._with(out, self.receive(self.me, Prepare(self.record.period, ballot)))

    def _with(self, out: Outcome, own: Outcome) -> Outcome:
        """Add what this instance answers itself, at once."""
        out.persist = out.persist or own.persist
        for to, message in own.send:
            if to == self.me:
                out = self._with(out, self.receive(self.me, message))
            else:
                out.send.append((to, message))
        return out

    def receive(self, sender: int, message: Message) -> Outcome:
        """A message came: from an instance on the roster, else it is skipped."""
        record = self.record
        if sender not in self.roster or message.period != record.period:
            return Outcome()
        if record.closed is not None and not isinstance(message, Closed):
            return Outcome(
                False, [(sender, Closed(record.period, record.closed))] if sender != self.me else []
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
                    self.proposal = None  # the next try, after a wait, goes above
                return Outcome()
            case Closed(_, content):
                return self._close(content, tell=False)

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
        mine = self.proposal
        if mine is None or message.ballot != mine.ballot or mine.accepting is not None:
            return Outcome()
        mine.promises[sender] = message
        if len(mine.promises) < self.majority:
            return Outcome()
        # What may have been chosen already must be proposed again: the accepted value of the highest ballot.
        held = [(one.accepted, one.content) for one in mine.promises.values() if one.accepted is not None]
        mine.accepting = max(held)[1] if held else mine.content
        ask = Accept(self.record.period, mine.ballot, mine.accepting)
        out = Outcome(False, [(one, ask) for one in self._others()])
        return self._with(out, self.receive(self.me, ask))

    def _accepted(self, sender: int, ballot: Ballot) -> Outcome:
        mine = self.proposal
        if mine is None or ballot != mine.ballot or mine.accepting is None:
            return Outcome()
        mine.accepts.add(sender)
        if len(mine.accepts) < self.majority:
            return Outcome()
        return self._close(mine.accepting, tell=True)

    def _close(self, content: Content, tell: bool) -> Outcome:
        if self.record.closed is not None:
            return Outcome()
        self.record.closed = content
        self.proposal = None
        sends: list[tuple[int, Message]] = []
        if tell:
            sends = [(one, Closed(self.record.period, content)) for one in self._others()]
        return Outcome(True, sends)


MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)
RECORD_DECODER = msgspec.msgpack.Decoder(PeriodRecord)
