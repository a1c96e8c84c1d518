"""Actions that the decision module returns. They name dialogues and offices by id. Times are whole microseconds,
relative to now."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Set the dialogue up through this office. The dial is abandoned after `timeout`."""

    dialogue: int
    office: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel one dial of a dialogue."""

    dialogue: int
    dial: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the dialogue is rejected. The caller may retry after `retry_after`; 0 gives no time."""

    dialogue: int
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the dialogue has failed."""

    dialogue: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Start a timer that fires `TimerFired` with the same token after `delay`."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a short message to every other call server."""

    text: bytes


@dataclass(frozen=True, slots=True)
class SubscribeDiscovery:
    """Subscribe to changes of the office list."""


Action = Send | Cancel | Reject | Fail | StartTimer | SendPeerMessage | SubscribeDiscovery
