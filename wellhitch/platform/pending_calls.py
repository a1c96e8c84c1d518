"""The accepted set-ups that are not answered yet, by their number, Call-ID and connection. Pure."""

from collections import Counter
from collections.abc import Hashable

from wellhitch.platform.call_limits import PENDING_BYTES
from wellhitch.platform.records import PendingCall


class PendingCalls:
    """All pending set-ups of one call server, and how many bytes they hold."""

    def __init__(self) -> None:
        self.by_id: dict[int, PendingCall] = {}
        self.by_call_id: dict[str, PendingCall] = {}
        self.by_connection: dict[Hashable, dict[str, PendingCall]] = {}
        self.size_bytes = 0
        self._bytes_by_connection: Counter[Hashable] = Counter()

    def may_add(self, connection: Hashable, connections: int) -> bool:
        """Whether a set-up on a connection may be kept, one of `connections` that callers use."""
        return PENDING_BYTES.may_add(
            self.size_bytes, self._bytes_by_connection.get(connection, 0), connections
        )

    def add(self, pending: PendingCall) -> None:
        """Add an accepted set-up."""
        self.by_id[pending.id] = self.by_call_id[pending.call_id] = pending
        self.by_connection.setdefault(pending.connection, {})[pending.call_id] = pending
        self._bytes_by_connection[pending.connection] += pending.size_bytes
        self.size_bytes += pending.size_bytes

    def remove(self, pending: PendingCall) -> None:
        """Remove a set-up that is answered or cancelled."""
        if self.by_id.pop(pending.id, None) is None:
            return
        del self.by_call_id[pending.call_id]
        self.size_bytes -= pending.size_bytes
        on_connection = self.by_connection[pending.connection]
        del on_connection[pending.call_id]
        if on_connection:
            self._bytes_by_connection[pending.connection] -= pending.size_bytes
        else:
            del self.by_connection[pending.connection], self._bytes_by_connection[pending.connection]
