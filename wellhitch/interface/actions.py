"""What the decisions may ask for. Ids leave through here only. Times are whole microseconds from now."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Set the dialogue up by this office; the dial is abandoned after `within`."""

    dialogue: int
    office: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Call one dial off."""

    dialogue: int
    dial: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not taken; `come_back` of 0 names no time."""

    dialogue: int
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up."""

    dialogue: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Ring after `after`."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send every other call server a short message."""

    text: bytes


@dataclass(frozen=True, slots=True)
class SubscribeDiscovery:
    """Ask discovery for changes from now on."""


Action = Send | Cancel | Reject | Fail | StartTimer | SendPeerMessage | SubscribeDiscovery
