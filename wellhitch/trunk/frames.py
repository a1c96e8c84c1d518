"""Every frame of the trunk protocol, as types. Times are whole microseconds. docs/trunk-protocol.md explains
each; a field is only ever added at the end, with a default, so that an older end still reads the frame.

`ref` names a dial on one link: the end that sent the Setup chose it, and never uses it again on that link.
"""

import msgspec

MAX_EXCHANGES = 1 << 16  # exchanges are numbered below it, as sheets say
MAX_WIDTH = 64  # circuits of one dialogue, as sheets say


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all frames: a msgpack array, its type's name first."""


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Figures of a processor, as far as it tells them: share busy, wait in us, set-ups a second that it can
    take from all, share of set-ups that it asks each sender to hold back."""

    utilisation: float | None = None
    wait: int | None = None
    takes_per_s: float | None = None
    hold_back: float | None = None


class Hello(Frame, frozen=True):
    """First frame of either end: what it is, its exchange's number, and a mark that is new with each start."""

    role: str
    number: int
    boot: int


class Heartbeat(Frame, frozen=True):
    """Sent when nothing else was; `held` counts the circuits that the sender holds for dials of this link."""

    held: int = 0


class Mark(Frame, frozen=True):
    """Either end: say Marked(n) once you have read this far. All that was sent before it has been read then."""

    sequence: int


class Marked(Frame, frozen=True):
    """The answer to Mark(n)."""

    sequence: int


class Fault(Frame, frozen=True):
    """The one error before the sender closes the link."""

    text: str


class Call(Frame, frozen=True):
    """Caller to call server: a dialogue. Its answer is awaited for `left`."""

    id: int
    use_case: str
    destination: int
    called: str | None
    left: int
    width: int = 1
    redialled: bool = False
    tenant: str | None = None


class Final(Frame, frozen=True):
    """Call server to caller: the one final answer, `stands`, `pushed_back` or `forfeited`; `by` names the version of
    the hooks that had a say."""

    id: int
    answer: str
    retry_after: int = 0
    hooks_version: str = ""


class HangUp(Frame, frozen=True, tag="Leave"):
    """Caller to call server: hung up, before the answer or after."""

    id: int


class Ended(Frame, frozen=True):
    """Call server to caller: a dialogue that stood was cut."""

    id: int


class Setup(Frame, frozen=True):
    """Set a dialogue up: by a call server to an office, or by an office to its own call server (in transit)."""

    dial_ref: int
    origin: int
    dialogue: int
    dial: int
    use_case: str
    destination: int
    called: str | None
    left: int
    width: int


class ProcessStep(Frame, frozen=True, tag="Pass"):
    """Call server to its own office: one step of a dial passes the processor. `what`: `setup`, `answer` or
    `release`."""

    dial_ref: int
    step: str


class StepProcessed(Frame, frozen=True, tag="Passed"):
    """The own processor is done with a step; `taken` False: its queue was full."""

    dial_ref: int
    step: str
    accepted: bool = True


class DropStep(Frame, frozen=True, tag="Drop"):
    """Call server to its own office: the step of this ref is not needed any more."""

    dial_ref: int


class Answer(Frame, frozen=True):
    """The set-up was answered; the dialogue stands."""

    dial_ref: int
    load: Load | None = None


class Reject(Frame, frozen=True, tag="PushBack"):
    """The set-up was not taken. `reason` as `REASONS`; `wait` is named by some full processors, else 0."""

    dial_ref: int
    reason: str
    wait: int = 0
    load: Load | None = None


class Cancel(Frame, frozen=True):
    """The sender of the Setup gives it up; confirmed by Released."""

    dial_ref: int


class Release(Frame, frozen=True):
    """The sender of the Setup ends a dialogue that stood; confirmed by Released."""

    dial_ref: int


class Released(Frame, frozen=True):
    """All that the dial held at this end is free."""

    dial_ref: int
    load: Load | None = None


class Cut(Frame, frozen=True):
    """The taker of the Setup lost the dial, answered or not."""

    dial_ref: int


class GroupState(Frame, frozen=True):
    """Between a call server and its own office: circuits of the group to `number` that the sender's side
    holds; `size` is told by the office, -1 where the sender does not know it."""

    number: int
    held: int
    size: int = -1


class Probe(Frame, frozen=True):
    """Ask for a load report."""


class LoadReport(Frame, frozen=True):
    """A processor's figures, asked or not."""

    load: Load
    asked: bool = True


class CarriedDialogue(Frame, frozen=True, tag="Carried"):
    """Office to its own call server, for the ledger: a dialogue that stood in this exchange is over, `released` or
    `cut`, after `stood`; `dial` as its Setup said."""

    origin: int
    dialogue: int
    use_case: str
    called: str | None
    width: int
    ending: str
    duration: int
    dial: int = -1


class LedgerMessage(Frame, frozen=True, tag="Ledger"):
    """Between call servers: a message of their ledgers, which alone read it. It may be lost."""

    payload: bytes


class PeerMessage(Frame, frozen=True, tag="Word"):
    """Between call servers: a short message of the decisions."""

    payload: bytes


class OfficeListEntry(msgspec.Struct, frozen=True, array_like=True):
    """One office: `standing` is `ready`, `draining` or `gone`; `started` in us of the register's clock as an
    age when the frame was sent, None for long ago; addresses as host:port."""

    office: str
    number: int
    state: str
    age: int | None
    address: str
    peer_address: str = ""


class OfficeList(Frame, frozen=True, tag="List"):
    """Register to call server: `changes` to the list, or the `whole` of it. Revisions never go back."""

    kind: str
    revision: int
    entries: list[OfficeListEntry]


class Advice(Frame, frozen=True):
    """Centre to call server: for each destination the tandem that had most room; -1 for none."""

    tandems: list[int]


AnyFrame = (
    Hello | Heartbeat | Mark | Marked | Fault | Call | Final | HangUp | Ended | Setup | ProcessStep | StepProcessed
    | DropStep | Answer | Reject | Cancel | Release | Released | Cut | GroupState | Probe | LoadReport | PeerMessage
    | OfficeList | Advice | CarriedDialogue | LedgerMessage
)  # fmt: skip

REJECT_REASONS = (
    "no_circuit",
    "turned_back",
    "far_processor_full",
    "processor_full",
    "lines_busy",
    "fault",
    "unreachable",
)
"""Reasons of a PushBack: no circuit left at the far end (glare); the tandem turned it back; the processor beyond
the tandem was full; this processor is full; all lines of the number are busy; it failed; no such office."""
