"""All frames of the trunk protocol, as types; docs/trunk-protocol.md explains each. Times are whole microseconds.

A field is only ever added at the end, with a default, so that an older version can still read the frame. Where a class
has a `tag`, that is its name on the wire; the field names of Call are also those that hooks and their tools use.

`dial_ref` identifies a dial on one connection: the sender of the Setup chooses it, and never uses it again on that
connection.
"""

import msgspec

MAX_EXCHANGES = 1 << 16  # exchange numbers are below it; the settings check the same limit
MAX_WIDTH = 64  # circuits of one dialogue; the settings check the same limit


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all frames: a msgpack array that begins with the tag of the type."""


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a processor; None for each value that it does not report: share of time busy, queue wait in us, set-ups a
    second that it can accept from all senders, share of set-ups that it asks each sender to hold back."""

    utilisation: float | None = None
    wait: int | None = None
    takes_per_s: float | None = None
    hold_back: float | None = None


class Hello(Frame, frozen=True):
    """First frame of either end: its role, the number of its exchange, and an id that is new with each start."""

    role: str
    number: int
    boot: int


class Heartbeat(Frame, frozen=True):
    """Sent at regular intervals; `held` counts the circuits that the sender holds for dials on this connection."""

    held: int = 0


class Mark(Frame, frozen=True):
    """Asks the other end to reply with Marked once it has read this frame, and so all that was sent before it."""

    sequence: int


class Marked(Frame, frozen=True):
    """The reply to the Mark with the same number."""

    sequence: int


class Fault(Frame, frozen=True):
    """The error for which the sender closes the connection; its last frame."""

    text: str


class Call(Frame, frozen=True):
    """Caller to call server: request a dialogue. The caller waits for the answer for the time `left`."""

    id: int
    use_case: str
    destination: int
    called: str | None
    left: int
    width: int = 1
    redialled: bool = False
    tenant: str | None = None


class Final(Frame, frozen=True):
    """Call server to caller: the final answer to a Call, `stands` (established), `pushed_back` (rejected) or
    `forfeited` (failed), and the version of the hooks that were consulted."""

    id: int
    answer: str
    retry_after: int = 0
    hooks_version: str = ""


class HangUp(Frame, frozen=True, tag="Leave"):
    """Caller to call server: the caller hung up, before the answer or after."""

    id: int


class Ended(Frame, frozen=True):
    """Call server to caller: an established dialogue was cut."""

    id: int


class Setup(Frame, frozen=True):
    """Set up a dialogue: from a call server to an office, or in transit from an office to its own call server."""

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
    """Call server to its own office: have the processor process one step of a dial, `setup`, `answer` or `release`, or
    work that belongs to no dial, with a reference of 0."""

    dial_ref: int
    step: str


class StepProcessed(Frame, frozen=True, tag="Passed"):
    """The own processor has processed a step; not `accepted`: its queue was full."""

    dial_ref: int
    step: str
    accepted: bool = True


class DropStep(Frame, frozen=True, tag="Drop"):
    """Call server to its own office: the step with this reference is not needed any more."""

    dial_ref: int


class Answer(Frame, frozen=True):
    """The set-up was answered; the dialogue is established."""

    dial_ref: int
    load: Load | None = None


class Reject(Frame, frozen=True, tag="PushBack"):
    """The set-up was rejected. `reason` is one of REJECT_REASONS; `wait` is set by some full processors, else 0."""

    dial_ref: int
    reason: str
    wait: int = 0
    load: Load | None = None


class Cancel(Frame, frozen=True):
    """The sender of the Setup cancels it; confirmed by Released."""

    dial_ref: int


class Release(Frame, frozen=True):
    """The sender of the Setup ends an established dialogue; confirmed by Released."""

    dial_ref: int


class Released(Frame, frozen=True):
    """All circuits that the dial held at the sender of this frame are free."""

    dial_ref: int
    load: Load | None = None


class Cut(Frame, frozen=True):
    """The receiver of the Setup lost the dial, answered or not."""

    dial_ref: int


class GroupState(Frame, frozen=True):
    """Between a call server and its own office: circuits of the trunk group to exchange `number` that the dials of the
    sender's side hold. The office also reports the `size`; -1 if the sender does not know it."""

    number: int
    held: int
    size: int = -1


class Probe(Frame, frozen=True):
    """Request a load report."""


class LoadReport(Frame, frozen=True):
    """The load of a processor, requested (`asked`) or not."""

    load: Load
    asked: bool = True


class CarriedDialogue(Frame, frozen=True, tag="Carried"):
    """Office to its own call server, for the ledger: an established dialogue whose destination is this exchange ended,
    `released` or `cut`, after `duration`; `dial` is the number in its Setup."""

    origin: int
    dialogue: int
    use_case: str
    called: str | None
    width: int
    ending: str
    duration: int
    dial: int = -1


class LedgerMessage(Frame, frozen=True, tag="Ledger"):
    """Between call servers: a message from one ledger to another, opaque to the trunk protocol. It may be lost."""

    payload: bytes


class PeerMessage(Frame, frozen=True, tag="Word"):
    """Between call servers: a short message of the decision module."""

    payload: bytes


class OfficeListEntry(msgspec.Struct, frozen=True, array_like=True):
    """One office: `state` is `ready`, `draining` or `gone`; `age` is the time since its start when the frame was sent,
    None if it started long ago; addresses as host:port."""

    office: str
    number: int
    state: str
    age: int | None
    address: str
    peer_address: str = ""


class OfficeList(Frame, frozen=True, tag="List"):
    """Register to call server: `changes` to the office list, or the `whole` list. Revisions never decrease."""

    kind: str
    revision: int
    entries: list[OfficeListEntry]


class Advice(Frame, frozen=True):
    """Centre to call server: for each destination the tandem with the most free circuits; -1 for none."""

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
"""Reasons of a Reject, in this order: no circuit left at the far end (glare); rejected by the tandem; the processor
beyond the tandem is full; this processor is full; all lines of the number are busy; it failed; no such office."""
