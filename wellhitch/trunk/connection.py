"""The life of one link, sans-I/O: who may say what, in which order, and how silence is found.

waiting --Hello--> up --bad frame, silence, Fault, bytes end--> closed
"""

from enum import Enum, auto

from wellhitch.trunk import codec, frames

HEARTBEAT = 1_000_000  # us; one small frame a second and link is nothing, and three missed ones are no chance
SILENCE = 3_500_000  # us without a byte: three heartbeats and half another for a busy loop

_ALWAYS = (frames.Hello, frames.Heartbeat, frames.Mark, frames.Marked, frames.Fault)
_DIALS = (frames.Setup, frames.Cancel, frames.Release)
_REPLIES = (frames.Answer, frames.Reject, frames.Cut, frames.Released)

MAY_SAY: dict[tuple[str, str], tuple[type, ...]] = {
    ("caller", "call_server"): (frames.Call, frames.HangUp),
    ("call_server", "caller"): (frames.Final, frames.Ended),
    ("call_server", "office"): (
        *_DIALS,
        *_REPLIES,
        frames.ProcessStep,
        frames.DropStep,
        frames.GroupState,
        frames.Probe,
    ),
    ("office", "call_server"): (
        *_DIALS,
        *_REPLIES,
        frames.StepProcessed,
        frames.GroupState,
        frames.LoadReport,
        frames.CarriedDialogue,
    ),
    ("call_server", "call_server"): (frames.PeerMessage, frames.LedgerMessage),
    ("register", "call_server"): (frames.OfficeList,),
    ("call_server", "register"): (),
    ("centre", "call_server"): (frames.Advice,),
    ("call_server", "centre"): (),
}
"""Who may send what to whom, beyond Hello, Heartbeat, Mark, Marked and Fault."""


class LinkFault(Exception):
    """The link is to be closed. `tell` is whether the other end is sent the text as its one error; `before`
    holds the frames that were good."""

    def __init__(self, text: str, tell: bool, before: list[frames.AnyFrame]) -> None:
        super().__init__(text)
        self.tell = tell
        self.before = before


class State(Enum):
    """Where in its life a link is."""

    WAITING = auto()
    UP = auto()
    CLOSED = auto()


class Link:
    """One end's view of a link. `takes`: the roles that this end takes at the other."""

    def __init__(self, role: str, takes: tuple[str, ...], now: int) -> None:
        self.role, self.takes = role, takes
        self.state = State.WAITING
        self.peer: frames.Hello | None = None
        self.heard_at = self.began = now
        self._decoder = codec.Decoder()
        self._may: tuple[type, ...] = _ALWAYS

    def receive(self, data: bytes | memoryview, now: int) -> list[frames.AnyFrame]:
        """Frames to act on. Raises LinkFault."""
        if self.state is State.CLOSED:
            return []
        self.heard_at = now
        fault: codec.BadFrame | None = None
        try:
            got = self._decoder.feed(data)
        except codec.BadFrame as bad:
            got, fault = bad.before, bad
        for at, frame in enumerate(got):
            wrong, tell = self._wrong(frame)
            if wrong:
                self.state = State.CLOSED
                raise LinkFault(wrong, tell, got[:at])
            if isinstance(frame, frames.Hello):
                self.peer, self.state = frame, State.UP
                self._may = _ALWAYS + MAY_SAY.get((frame.role, self.role), ())
        if fault:
            self.state = State.CLOSED
            raise LinkFault(str(fault), True, got)
        return got

    def _wrong(self, frame: frames.AnyFrame) -> tuple[str, bool]:
        """What is wrong with a frame in this state, and whether the other end is told."""
        name = frame.__struct_config__.tag
        if isinstance(frame, frames.Fault):
            return f"told by the other end: {frame.text[:200]}", False
        if self.state is State.WAITING:
            if not isinstance(frame, frames.Hello):
                return f"{name} before Hello", True
            if frame.role not in self.takes:
                return f"role {frame.role[:40]!r} is not taken here, but {' or '.join(self.takes)}", True
        elif isinstance(frame, frames.Hello):
            return "a second Hello", True
        elif not isinstance(frame, self._may):
            return f"{name} is not for a {self.peer.role if self.peer else '?'} to say here", True
        return "", False

    def silent(self, now: int) -> bool:
        """Whether the other end has been silent for too long: half-open, paused or dead. Until it has said who it is,
        nothing but its Hello counts: one that drips a byte now and then would hold its link for ever."""
        if self.state is State.WAITING:
            return now - self.began > SILENCE
        return self.state is not State.CLOSED and now - self.heard_at > SILENCE

    def closed(self) -> None:
        """The bytes have ended."""
        self.state = State.CLOSED
