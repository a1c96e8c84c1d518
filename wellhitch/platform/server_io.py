"""The interface through which the call server's core reaches callers, offices, peers, timers and the log."""

from collections.abc import Callable, Hashable
from typing import Any, Protocol

from wellhitch.net.transport import Timer
from wellhitch.platform.records import OfficeRecord, PendingDial


class ServerIO(Protocol):
    """What the core needs done. `service.Service` implements it with real or emulated connections."""

    def send_to_caller(self, connection: Hashable, data: bytes) -> bool:
        """Write to a caller; False where the connection is closed or closing."""

    def has_left(self, connection: Hashable) -> bool:
        """Whether a caller has closed or reset its connection, also where that has not been read yet."""

    def close_caller_connection(self, connection: Hashable) -> None:
        """Close a caller's connection once its written data is sent; `Core.caller_closed` follows."""

    def send_dial(self, dial: PendingDial, line: bytes) -> bool:
        """Send a set-up on a connection to the office that is none of the dial's `earlier_connections`, now or when one
        is up; `Core.dial_connection_lost` follows where none comes up. False where no more may be opened."""

    def withdraw_dial(self, dial: PendingDial) -> bool:
        """Forget a dial that has ended; True where its set-up still waited for a connection and was never sent."""

    def is_connected(self, office: OfficeRecord) -> bool:
        """Whether a connection to an office is up."""

    def is_open(self, connection: Hashable) -> bool:
        """Whether a connection to an office is open."""

    def send_to_office(
        self, office: OfficeRecord, line: bytes, preferred: Hashable | None
    ) -> Hashable | None:
        """Send on the connection `preferred` if it is up, else on any other. Returns the one on which it was written;
        None where none is up, and one is opened if possible."""

    def keep_connection(self, office: OfficeRecord) -> None:
        """Keep at least one connection to an office up."""

    def discard_unsent(self, office: OfficeRecord) -> None:
        """Reset each connection to an office that has unsent data, so that the data never arrives."""

    def close_idle_connections(self, office: OfficeRecord) -> None:
        """Close the connections to an office that have no unanswered dial, until one is needed again."""

    def drop_connections(self, office: OfficeRecord, now: bool) -> None:
        """Close the connections to an office for good: all of them `now`, or only those without an unanswered dial."""

    def send_test(self, office: OfficeRecord, connection: Hashable, line: bytes) -> None:
        """Send a liveness test on one of the office's connections if it is still up."""

    def open_another(self, office: OfficeRecord) -> None:
        """Open one more connection to an office within its share of the descriptors."""

    def send_to_peers(self, text: bytes) -> None:
        """Send a datagram to every other call server."""

    def start_timer(self, delay: int, callback: Callable[[int], None]) -> Timer:
        """Call `callback` with the loop's time in us after `delay`."""

    def log(self, event: str, **facts: Any) -> None:
        """Write one line of the log."""
