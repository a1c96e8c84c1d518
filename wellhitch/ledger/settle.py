"""One figure a dialogue from what all ends saw: a written rule that gives the same at each end, in whatever order the
entries come and however often. Pure.

What is known of a dialogue is a set of entries; joining two sets is their union, so that order and repetition cannot
matter, and the figure is a function of the set alone:

1. What is billed belongs to the origin's tenant and use case; without the origin's word nothing is billed (`orphan`).
2. Where the origin's answer is not `stands`, nothing is billed: the caller was never told that it stands.
3. A dialogue that stood and is not over is `open` and billed later.
4. What an end says counts only of the dial that stood: the origin names it and the tandem it went by, the tandem its
   own onward. Guards against a tandem that turned the first dial back, or lost its answer, while the second stood.
   Else the least that any end present saw it stand is billed. An end that answered it otherwise saw it stand for
   nothing; an end of which no entry came counts for nothing, neither for the tenant nor against.
5. Where several entries of one end differ (an instance that came back with an old disk), one that a restart guessed
   counts for nothing beside one that saw the end, and of the rest the least counts.
6. Corrections by staff are added after that, each once; the whole is not under nought.

The least is taken since a tenant pays for no microsecond that some end did not see. Ends that differ by more than
`SLACK` are listed as a dispute, with the evidence."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wellhitch.ledger.entries import Answered, Corrected, Ended, Entry, encode

# A release that was lost with its connection and taken for a cut is seen by the other end at its next heartbeat or
# set-up, which comes within this time.
DISPUTE_THRESHOLD_US = 2_000_000

DialogueId = tuple[int, int]  # origin and dialogue


@dataclass(frozen=True, slots=True)
class Settled:
    """What is billed of a dialogue. `state`: `billed`, `not_billed`, `open`, `orphan`."""

    dialogue_id: DialogueId
    state: str
    billed: int = 0
    tenant: str = ""
    traffic_class: str = ""
    destination: int = -1
    width: int = 1
    ended: int = 0
    tags: tuple[str, ...] = ()
    dispute: str = ""
    corrected: int = 0


@dataclass(slots=True)
class DialogueEvidence:
    """All entries known of one dialogue. `add` is a union: order and repetition are of no matter."""

    dialogue_id: DialogueId
    answers: set[Answered] = field(default_factory=set)
    overs: set[Ended] = field(default_factory=set)
    corrections: set[Corrected] = field(default_factory=set)

    def add(self, entry: Entry) -> None:
        """One more entry about this dialogue."""
        if isinstance(entry, Answered):
            self.answers.add(entry)
        elif isinstance(entry, Ended):
            self.overs.add(entry)
        elif isinstance(entry, Corrected):
            self.corrections.add(entry)

    def join(self, other: "DialogueEvidence") -> None:
        """All that another end knows too."""
        self.answers |= other.answers
        self.overs |= other.overs
        self.corrections |= other.corrections

    def _ends(self, side: str, dial: int) -> list[Ended]:
        """The ends that one side saw of a dial; those that a restart guessed only where there is no other."""
        overs = [one for one in self.overs if one.side == side and one.dial == dial]
        return [one for one in overs if one.how != "restart"] or overs

    def _spans(self, origin: Answered) -> dict[str, int | None]:
        """How long each side saw the dial stand that the origin says stood."""
        out = {"origin": self._stood("origin", -1)}
        if origin.via < 0:
            out["destination"] = self._stood("destination", origin.onward)
            return out
        out["tandem"] = self._stood("tandem", origin.onward)
        tandems = [one for one in self.answers if one.side == "tandem" and one.dial == origin.onward]
        onward = {one.onward for one in tandems if one.answer == "stands"}
        if (
            len(onward) == 1
        ):  # without the tandem's word it is not known which dial of its reached the destination
            out["destination"] = self._stood("destination", onward.pop())
        return out

    def _stood(self, side: str, dial: int) -> int | None:
        """How long one side saw a dial stand: None where it said nothing, -1 where it stands still."""
        answers = [one for one in self.answers if one.side == side and one.dial == dial]
        overs = self._ends(side, dial)
        if any(one.answer != "stands" for one in answers):
            return 0
        if overs:
            return min(one.stood for one in overs)
        return -1 if answers else None

    def settled(self) -> Settled:
        """What the rule says of what is known."""
        # Two that differ: the lesser by all its fields, so that each end picks the same.
        origin = min(
            (one for one in self.answers if one.side == "origin"),
            key=lambda one: (one.answer == "stands", encode(one)),
            default=None,
        )
        if origin is None:
            return Settled(self.dialogue_id, "orphan")
        spans = self._spans(origin)
        change = sum(one.change for one in self.corrections)
        ended = min((one.at for one in self._ends("origin", -1)), default=origin.at)
        billed, state, dispute = 0, "not_billed", ""
        if origin.answer == "stands":
            if spans["origin"] == -1:
                return Settled(
                    self.dialogue_id,
                    "open",
                    0,
                    origin.tenant,
                    origin.traffic_class,
                    origin.destination,
                    origin.width,
                )
            # An end where it stands still has not seen its end: its span is no bound yet.
            seen = {side: span for side, span in spans.items() if span is not None and span >= 0}
            billed, state = min(seen.values()), "billed"
            if max(seen.values()) - billed > DISPUTE_THRESHOLD_US:
                dispute = ", ".join(f"{side} {span}" for side, span in sorted(seen.items()))
        elif any(one.stood > DISPUTE_THRESHOLD_US for one in self.overs if one.side != "origin"):
            dispute = f"origin {origin.answer}, though another end saw it stand"
        return Settled(
            self.dialogue_id,
            state,
            max(0, billed + change),
            origin.tenant,
            origin.traffic_class,
            origin.destination,
            origin.width,
            ended,
            origin.tags,
            dispute,
            change,
        )


def group_by_dialogue(
    entries: Iterable[Entry], into: dict[DialogueId, DialogueEvidence] | None = None
) -> dict[DialogueId, DialogueEvidence]:
    """Entries by the dialogue they speak of."""
    out: dict[DialogueId, DialogueEvidence] = {} if into is None else into
    for entry in entries:
        if isinstance(entry, (Answered, Ended, Corrected)):
            dialogue_id = (entry.origin, entry.dialogue)
            views = out.get(dialogue_id)
            if views is None:
                views = out[dialogue_id] = DialogueEvidence(dialogue_id)
            views.add(entry)
    return out
