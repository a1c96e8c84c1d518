"""Derives one billed duration per dialogue from what all ends reported: a fixed rule that gives the same result at each
end, in whatever order and however often the entries arrive. Pure.

The evidence about a dialogue is a set of entries. Joining two sets is their union, so order and repetition cannot
matter, and the result is a function of the set alone:

1. What is billed belongs to the origin's tenant and traffic class. Without an entry of the origin nothing is billed
   (`orphan`).
2. If the origin's answer is not `stands`, nothing is billed: the caller was never told of an established dialogue.
3. An established dialogue that has not ended is `open` and is billed later.
4. An end's entries count only for the dial that was established: the origin names it and the tandem it used, the tandem
   names its onward dial. Guards against a tandem that rejected the first dial, or whose answer was lost, while the
   second was established. The shortest duration that any reporting end saw is billed. An end that answered otherwise
   saw a duration of zero; an end without entries counts neither for the tenant nor against.
5. If several entries of one end differ (an instance that came back with an old disk), one estimated after a restart is
   ignored if another saw the end, and of the rest the shortest counts.
6. Corrections by operators are then added, each once; the result is at least zero.

The shortest duration is used so that a tenant pays for no microsecond that some end did not see. Ends that differ by
more than `DISPUTE_THRESHOLD_US` are listed as a dispute, with the evidence."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wellhitch.ledger.entries import Answered, Corrected, Ended, Entry, encode

# A release that was lost with its connection and taken for a cut is seen by the other end at its next heartbeat or
# set-up, which comes within this time.
DISPUTE_THRESHOLD_US = 2_000_000

DialogueId = tuple[int, int]  # origin and dialogue


@dataclass(frozen=True, slots=True)
class Settled:
    """The result for one dialogue. `state`: `billed`, `not_billed`, `open` or `orphan`. `billed`: the duration in us,
    `corrected` included. `ended`: wall time."""

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
    """All entries known about one dialogue. `add` is a union: order and repetition do not matter."""

    dialogue_id: DialogueId
    answers: set[Answered] = field(default_factory=set)
    ends: set[Ended] = field(default_factory=set)
    corrections: set[Corrected] = field(default_factory=set)

    def add(self, entry: Entry) -> None:
        """Add an entry about this dialogue."""
        if isinstance(entry, Answered):
            self.answers.add(entry)
        elif isinstance(entry, Ended):
            self.ends.add(entry)
        elif isinstance(entry, Corrected):
            self.corrections.add(entry)

    def join(self, other: "DialogueEvidence") -> None:
        """Add all entries known elsewhere."""
        self.answers |= other.answers
        self.ends |= other.ends
        self.corrections |= other.corrections

    def _ends(self, side: str, dial: int) -> list[Ended]:
        """The ends of a dial that one side reported; those estimated after a restart only if there is no other."""
        ends = [end for end in self.ends if end.side == side and end.dial == dial]
        return [end for end in ends if end.ending != "restart"] or ends

    def _durations(self, origin: Answered) -> dict[str, int | None]:
        """For each side, the duration of the dial that the origin says was established."""
        durations = {"origin": self._duration("origin", -1)}
        if origin.tandem < 0:
            durations["destination"] = self._duration("destination", origin.onward_dial)
            return durations
        durations["tandem"] = self._duration("tandem", origin.onward_dial)
        tandem_answers = [
            answer for answer in self.answers if answer.side == "tandem" and answer.dial == origin.onward_dial
        ]
        onward_dials = {answer.onward_dial for answer in tandem_answers if answer.answer == "stands"}
        # Only the tandem's entry tells which of its dials reached the destination.
        if len(onward_dials) == 1:
            durations["destination"] = self._duration("destination", onward_dials.pop())
        return durations

    def _duration(self, side: str, dial: int) -> int | None:
        """The duration of a dial as one side saw it: None without entries, -1 while it is still established."""
        answers = [answer for answer in self.answers if answer.side == side and answer.dial == dial]
        ends = self._ends(side, dial)
        if any(answer.answer != "stands" for answer in answers):
            return 0
        if ends:
            return min(end.duration for end in ends)
        return -1 if answers else None

    def settled(self) -> Settled:
        """Apply the rule to the evidence."""
        # Of two entries that differ the smaller by all fields is used, so that each end picks the same.
        origin = min(
            (answer for answer in self.answers if answer.side == "origin"),
            key=lambda answer: (answer.answer == "stands", encode(answer)),
            default=None,
        )
        if origin is None:
            return Settled(self.dialogue_id, "orphan")
        durations = self._durations(origin)
        change = sum(correction.change for correction in self.corrections)
        ended = min((end.wall_us for end in self._ends("origin", -1)), default=origin.wall_us)
        billed, state, dispute = 0, "not_billed", ""
        if origin.answer == "stands":
            if durations["origin"] == -1:
                return Settled(
                    self.dialogue_id,
                    "open",
                    0,
                    origin.tenant,
                    origin.traffic_class,
                    origin.destination,
                    origin.width,
                )
            # A side where the dialogue is still established has not seen its end yet and sets no bound.
            known = {
                side: duration
                for side, duration in durations.items()
                if duration is not None and duration >= 0
            }
            billed, state = min(known.values()), "billed"
            if max(known.values()) - billed > DISPUTE_THRESHOLD_US:
                dispute = ", ".join(f"{side} {duration}" for side, duration in sorted(known.items()))
        elif any(end.duration > DISPUTE_THRESHOLD_US for end in self.ends if end.side != "origin"):
            dispute = f"origin {origin.answer}, but another end saw it established"
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
    """Group entries by the dialogue that they are about."""
    evidence_by_id: dict[DialogueId, DialogueEvidence] = {} if into is None else into
    for entry in entries:
        if isinstance(entry, (Answered, Ended, Corrected)):
            dialogue_id = (entry.origin, entry.dialogue)
            evidence = evidence_by_id.get(dialogue_id)
            if evidence is None:
                evidence = evidence_by_id[dialogue_id] = DialogueEvidence(dialogue_id)
            evidence.add(entry)
    return evidence_by_id
