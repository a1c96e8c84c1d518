"""What the platform's call server asks of its shell: the way out to callers, endpoints, peers and the log."""

from collections.abc import Callable, Hashable
from typing import Any, Protocol

from wellhitch.net.seam import Timer
from wellhitch.platform.records import DialOut, OfficeEnd


class Outlet(Protocol):
    """What the shell does for the core."""

    def to_caller(self, link: Hashable, data: bytes) -> bool:
        """Write to a caller; False where the connection is closed."""

    def close_caller(self, link: Hashable) -> None:
        """Close a caller's connection once what was written is out; the core is told it is closed."""

    def dial(self, dial: DialOut, line: bytes) -> None:
        """Send a set-up on one of the office's links, or when one is up; `dial_lost` follows where none comes up."""

    def undial(self, dial: DialOut) -> bool:
        """A dial is over here; True where its set-up still waited and was never sent."""

    def to_office(self, end: OfficeEnd, line: bytes, near: object | None) -> None:
        """Send on the link `near` if it is up, else on any, else on the next."""

    def keep_links(self, end: OfficeEnd) -> None:
        """Keep links to an office up."""

    def unsent_stays(self, end: OfficeEnd) -> None:
        """Nothing that still waits in a link's buffer may reach the office: a link that holds some is reset."""

    def rest_links(self, end: OfficeEnd) -> None:
        """Close an office's links until they are wanted again: nothing is out on them."""

    def drop_links(self, end: OfficeEnd, now: bool) -> None:
        """Let an office's links go for good: at once, or when nothing is out on them."""

    def test(self, end: OfficeEnd, link: Hashable, line: bytes) -> None:
        """Send a test on one of the office's links, if it is still up."""

    def open_another(self, end: OfficeEnd) -> None:
        """Open one more link to an office, within its share."""

    def tell_peers(self, text: bytes) -> None:
        """Send a word to every other call server."""

    def timer(self, after: int, ring: Callable[[int], None]) -> Timer:
        """Ring after so many us, with the time then."""

    def log(self, event: str, **facts: Any) -> None:
        """One line of the log."""
