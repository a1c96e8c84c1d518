"""The protocol state of one trunk connection, without I/O: who may send which frames when, and the silence timeout.

waiting --Hello--> up --bad frame, silence, Fault, end of stream--> closed
"""

from enum import Enum, auto

from wellhitch.trunk import codec, frames

# One small frame a second costs a connection next to nothing, and three in a row are not missed by chance.
HEARTBEAT_INTERVAL_US = 1_000_000
SILENCE_TIMEOUT_US = 3_500_000  # three heartbeats, and half of one more for a busy event loop

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
"""The frames that one role may send to another, besides Hello, Heartbeat, Mark, Marked and Fault."""


class ProtocolError(Exception):
    """The connection must be closed. With `notify_peer` the other end is sent the text in a Fault; `frames_before` are
    the valid frames before the error."""

    def __init__(self, text: str, notify_peer: bool, frames_before: list[frames.AnyFrame]) -> None:
        super().__init__(text)
        self.notify_peer = notify_peer
        self.frames_before = frames_before


class ConnectionState(Enum):
    """State of a connection."""

    WAITING = auto()
    UP = auto()
    CLOSED = auto()


class Connection:
    """One end of a connection. `accepted_roles`: the roles that the other end may have."""

    def __init__(self, role: str, accepted_roles: tuple[str, ...], now: int) -> None:
        self.role, self.accepted_roles = role, accepted_roles
        self.state = ConnectionState.WAITING
        self.peer: frames.Hello | None = None
        self.received_at = self.opened_at = now
        self._decoder = codec.Decoder()
        self._allowed: tuple[type, ...] = _ALWAYS

    def receive(self, data: bytes | memoryview, now: int) -> list[frames.AnyFrame]:
        """The frames that the data completes. Raises ProtocolError."""
        if self.state is ConnectionState.CLOSED:
            return []
        self.received_at = now
        error: codec.BadFrame | None = None
        try:
            received = self._decoder.feed(data)
        except codec.BadFrame as raised:
            received, error = raised.frames_before, raised
        for index, frame in enumerate(received):
            violation, notify_peer = self._violation(frame)
            if violation:
                self.state = ConnectionState.CLOSED
                raise ProtocolError(violation, notify_peer, received[:index])
            if isinstance(frame, frames.Hello):
                self.peer, self.state = frame, ConnectionState.UP
                self._allowed = _ALWAYS + ALLOWED_FRAMES.get((frame.role, self.role), ())
        if error:
            self.state = ConnectionState.CLOSED
            raise ProtocolError(str(error), True, received)
        return received

    def _violation(self, frame: frames.AnyFrame) -> tuple[str, bool]:
        """What is wrong with a frame in this state, if anything, and whether the other end is notified. It gets the
        text in a Fault frame, so that text is part of the protocol."""
        name = frame.__struct_config__.tag
        if isinstance(frame, frames.Fault):
            return f"reported by the other end: {frame.text[:200]}", False
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
        """Whether the other end has been silent for too long: half-open, paused or dead. Before its Hello, the time
        since the opening counts: a client that sends a byte now and then would keep its connection forever."""
        if self.state is ConnectionState.WAITING:
            return now - self.opened_at > SILENCE_TIMEOUT_US
        return self.state is not ConnectionState.CLOSED and now - self.received_at > SILENCE_TIMEOUT_US

    def mark_closed(self) -> None:
        """Mark the connection as closed."""
        self.state = ConnectionState.CLOSED
