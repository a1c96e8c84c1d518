"""The life of one link, sans-I/O: who may say what, in which order, and how silence is found.

waiting --Hello--> up --bad frame, silence, Fault, bytes end--> closed
"""

from enum import Enum, auto

from wellhitch.trunk import codec, frames

HEARTBEAT_INTERVAL_US = (
    1_000_000  # us; one small frame a second and link is nothing, and three missed ones are no chance
)
SILENCE_TIMEOUT_US = 3_500_000  # us without a byte: three heartbeats and half another for a busy loop

_ALWAYS = (frames.Hello, frames.Heartbeat, frames.Mark, frames.Marked, frames.Fault)
_DIALS = (frames.Setup, frames.Cancel, frames.Release)
_REPLIES = (frames.Answer, frames.Reject, frames.Cut, frames.Released)

ALLOWED_FRAMES: dict[tuple[str, str], tuple[type, ...]] = {
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


class ProtocolError(Exception):
    """The link is to be closed. `tell` is whether the other end is sent the text as its one error; `before`
    holds the frames that were good."""

    def __init__(self, text: str, notify_peer: bool, frames_before: list[frames.AnyFrame]) -> None:
        super().__init__(text)
        self.notify_peer = notify_peer
        self.frames_before = frames_before


class ConnectionState(Enum):
    """Where in its life a link is."""

    WAITING = auto()
    UP = auto()
    CLOSED = auto()


class Connection:
    """One end's view of a link. `takes`: the roles that this end takes at the other."""

    def __init__(self, role: str, accepted_roles: tuple[str, ...], now: int) -> None:
        self.role, self.accepted_roles = role, accepted_roles
        self.state = ConnectionState.WAITING
        self.peer: frames.Hello | None = None
        self.received_at = self.opened_at = now
        self._decoder = codec.Decoder()
        self._allowed: tuple[type, ...] = _ALWAYS

    def receive(self, data: bytes | memoryview, now: int) -> list[frames.AnyFrame]:
        """Frames to act on. Raises LinkFault."""
        if self.state is ConnectionState.CLOSED:
            return []
        self.received_at = now
        fault: codec.BadFrame | None = None
        try:
            got = self._decoder.feed(data)
        except codec.BadFrame as bad:
            got, fault = bad.frames_before, bad
        for at, frame in enumerate(got):
            wrong, tell = self._violation(frame)
            if wrong:
                self.state = ConnectionState.CLOSED
                raise ProtocolError(wrong, tell, got[:at])
            if isinstance(frame, frames.Hello):
                self.peer, self.state = frame, ConnectionState.UP
                self._allowed = _ALWAYS + ALLOWED_FRAMES.get((frame.role, self.role), ())
        if fault:
            self.state = ConnectionState.CLOSED
            raise ProtocolError(str(fault), True, got)
        return got

    def _violation(self, frame: frames.AnyFrame) -> tuple[str, bool]:
        """What is wrong with a frame in this state, and whether the other end is told."""
        name = frame.__struct_config__.tag
        if isinstance(frame, frames.Fault):
            return f"told by the other end: {frame.text[:200]}", False
        if self.state is ConnectionState.WAITING:
            if not isinstance(frame, frames.Hello):
                return f"{name} before Hello", True
            if frame.role not in self.accepted_roles:
                return (
                    f"role {frame.role[:40]!r} is not taken here, but {' or '.join(self.accepted_roles)}",
                    True,
                )
        elif isinstance(frame, frames.Hello):
            return "a second Hello", True
        elif not isinstance(frame, self._allowed):
            return f"{name} is not for a {self.peer.role if self.peer else '?'} to say here", True
        return "", False

    def timed_out(self, now: int) -> bool:
        """Whether the other end has been silent for too long: half-open, paused or dead. Until it has said who it is,
        nothing but its Hello counts: one that drips a byte now and then would hold its link for ever."""
        if self.state is ConnectionState.WAITING:
            return now - self.opened_at > SILENCE_TIMEOUT_US
        return self.state is not ConnectionState.CLOSED and now - self.received_at > SILENCE_TIMEOUT_US

    def mark_closed(self) -> None:
        """The bytes have ended."""
        self.state = ConnectionState.CLOSED
