"""The ledger's agreement on periods, explored: every interleaving of proposals, crashes and messages within bounds."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wellhitch.lab.explore import ENCODER, Search, SearchResult, Sent, Step, World
from wellhitch.ledger.periods import (
    MESSAGE_DECODER,
    Agreement,
    Ballot,
    Content,
    Outcome,
    PeriodRecord,
    Promise,
    Proposal,
    Statement,
)

PERIOD = "2026-12"
Tried = tuple[Ballot, Content, list[tuple[int, Promise]], list[int], Content | None]
NODE = msgspec.msgpack.Decoder(tuple[PeriodRecord, list[tuple[int, Statement]], Tried | None])


def statement(number: int) -> Statement:
    """What an instance states."""
    return Statement(number, 1, 10 + number, bytes([number]) * 4)


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much of each kind may happen in one way."""

    instances: int
    proposals: int  # of each instance
    crashes: int  # in all
    proposers: int = 9  # how many instances propose at all


def explore(
    bounds: Bounds, most: int, make: Callable[[int, tuple[int, ...], PeriodRecord], Agreement] = Agreement
) -> SearchResult:
    """Explore; `make` may be a broken agreement, to see that it is caught."""
    roster = tuple(range(bounds.instances))

    def load(me: int, data: bytes) -> Agreement:
        record, statements, tried = NODE.decode(data)
        made = make(me, roster, record)
        made.statements = dict(statements)
        if tried:
            ballot, content, promises, accepts, accepting = tried
            made.proposal = Proposal(ballot, content, dict(promises), set(accepts), accepting)
        return made

    def dump(one: Agreement) -> bytes:
        mine = one.proposal
        tried: Tried | None = None
        if mine:
            promises = sorted(mine.promises.items())
            tried = (mine.ballot, mine.content, promises, sorted(mine.accepts), mine.accepting)
        return ENCODER.encode((one.record, sorted(one.statements.items()), tried))

    def after(world: World, me: int, one: Agreement, out: Outcome, used: tuple[int, ...]) -> World:
        nodes = (*world.nodes[:me], dump(one), *world.nodes[me + 1 :])
        new = {(me, to, ENCODER.encode(message)) for to, message in out.send}
        return World(nodes, world.sent | new if new - world.sent else world.sent, used)

    def steps(world: World) -> list[Step]:
        found: list[Step] = []
        for sender, to, data in sorted(world.sent):
            one = load(to, world.nodes[to])
            message = MESSAGE_DECODER.decode(data)
            out = one.receive(sender, message)
            reached = after(world, to, one, out, world.used)
            if reached != world:
                found.append((f"{to} hears {type(message).__name__} of {sender}", reached))
        for me in roster[: bounds.proposers]:
            if world.used[me] < bounds.proposals:
                one = load(me, world.nodes[me])
                if one.record.closed is None:
                    out = one.propose(one.record.rounds + 1)
                    used = (*world.used[:me], world.used[me] + 1, *world.used[me + 1 :])
                    found.append((f"{me} proposes", after(world, me, one, out, used)))
        if world.used[-1] < bounds.crashes:
            for me in roster:
                one = load(me, world.nodes[me])
                if one.proposal or len(one.statements) > 1:
                    one.statements, one.proposal = {}, None
                    if one.record.statement:
                        one.statements[me] = one.record.statement
                    used = (*world.used[:-1], world.used[-1] + 1)
                    found.append((f"{me} crashes", after(world, me, one, Outcome(), used)))
        return found

    def wrong(world: World) -> str:
        closed = {load(me, data).record.closed for me, data in enumerate(world.nodes)} - {None}
        if len(closed) > 1:
            return "a period closed in two ways"
        for content in closed:
            if any(one != statement(one.number) for one in content or ()):
                return "a statement that nobody made"
        return ""

    nodes, sent = [], set[Sent]()
    for me in roster:
        one = make(me, roster, PeriodRecord(PERIOD))
        out = one.record_own_statement(statement(me))
        sent |= {(me, to, ENCODER.encode(message)) for to, message in out.send}
        nodes.append(dump(one))
    start = World(tuple(nodes), frozenset(sent), (0,) * (bounds.instances + 1))
    return Search(steps, wrong, most).run(start)
