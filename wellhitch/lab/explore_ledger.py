"""Model checking of the agreement on ledger periods.

It explores every interleaving of proposals, crashes and messages within bounds.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wellhitch.lab.explore import ENCODER, Search, SearchResult, SentMessage, Step, World
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
EncodedProposal = tuple[Ballot, Content, list[tuple[int, Promise]], list[int], Content | None]
NODE_DECODER = msgspec.msgpack.Decoder(
    tuple[PeriodRecord, list[tuple[int, Statement]], EncodedProposal | None]
)


def statement(number: int) -> Statement:
    """Return the statement of an instance."""
    return Statement(number, 1, 10 + number, bytes([number]) * 4)


@dataclass(frozen=True, slots=True)
class Bounds:
    """How often each kind of step may occur on one path."""

    instances: int
    proposals: int  # by each instance
    crashes: int  # in total
    proposers: int = 9  # instances that may propose


def explore(
    bounds: Bounds,
    max_states: int,
    make: Callable[[int, tuple[int, ...], PeriodRecord], Agreement] = Agreement,
) -> SearchResult:
    """Explore the agreement; tests pass a faulty one as `make` to check that its fault is found."""
    roster = tuple(range(bounds.instances))

    def load(me: int, data: bytes) -> Agreement:
        record, statements, proposal = NODE_DECODER.decode(data)
        agreement = make(me, roster, record)
        agreement.statements = dict(statements)
        if proposal:
            ballot, content, promises, accepts, accepting = proposal
            agreement.proposal = Proposal(ballot, content, dict(promises), set(accepts), accepting)
        return agreement

    def dump(agreement: Agreement) -> bytes:
        own = agreement.proposal
        proposal: EncodedProposal | None = None
        if own:
            promises = sorted(own.promises.items())
            proposal = (own.ballot, own.content, promises, sorted(own.accepts), own.accepting)
        return ENCODER.encode((agreement.record, sorted(agreement.statements.items()), proposal))

    def successor(
        world: World, me: int, agreement: Agreement, outcome: Outcome, used: tuple[int, ...]
    ) -> World:
        nodes = (*world.nodes[:me], dump(agreement), *world.nodes[me + 1 :])
        new = {(me, to, ENCODER.encode(message)) for to, message in outcome.send}
        return World(nodes, world.sent | new if new - world.sent else world.sent, used)

    def steps(world: World) -> list[Step]:
        possible: list[Step] = []
        for sender, to, data in sorted(world.sent):
            agreement = load(to, world.nodes[to])
            message = MESSAGE_DECODER.decode(data)
            outcome = agreement.receive(sender, message)
            reached = successor(world, to, agreement, outcome, world.used)
            if reached != world:
                possible.append((f"{to} receives {type(message).__name__} from {sender}", reached))
        for me in roster[: bounds.proposers]:
            if world.used[me] < bounds.proposals:
                agreement = load(me, world.nodes[me])
                if agreement.record.closed is None:
                    outcome = agreement.propose(agreement.record.rounds + 1)
                    used = (*world.used[:me], world.used[me] + 1, *world.used[me + 1 :])
                    possible.append((f"{me} proposes", successor(world, me, agreement, outcome, used)))
        if world.used[-1] < bounds.crashes:
            for me in roster:
                agreement = load(me, world.nodes[me])
                if agreement.proposal or len(agreement.statements) > 1:
                    agreement.statements, agreement.proposal = {}, None
                    if agreement.record.statement:
                        agreement.statements[me] = agreement.record.statement
                    used = (*world.used[:-1], world.used[-1] + 1)
                    possible.append((f"{me} crashes", successor(world, me, agreement, Outcome(), used)))
        return possible

    def find_violation(world: World) -> str:
        closed = {load(me, data).record.closed for me, data in enumerate(world.nodes)} - {None}
        if len(closed) > 1:
            return "a period closed in two ways"
        for content in closed:
            if any(stated != statement(stated.number) for stated in content or ()):
                return "a period closed with a statement that its instance did not make"
        return ""

    nodes, sent = [], set[SentMessage]()
    for me in roster:
        agreement = make(me, roster, PeriodRecord(PERIOD))
        outcome = agreement.record_own_statement(statement(me))
        sent |= {(me, to, ENCODER.encode(message)) for to, message in outcome.send}
        nodes.append(dump(agreement))
    start = World(tuple(nodes), frozenset(sent), (0,) * (bounds.instances + 1))
    return Search(steps, find_violation, max_states).run(start)
