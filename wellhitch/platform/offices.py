"""Connections to offices. What arrives on them is passed on as `OfficeEvents`; nothing is decided here.

Each office has a few connections, so that one that fails takes few dials with it: a set-up is sent on a connection
without unanswered dials if there is one, else another connection is opened meanwhile.
"""

import asyncio
from collections import Counter
from collections.abc import Hashable
from typing import Any, Protocol, cast

from wellhitch.net.transport import ConnectFailure, Network
from wellhitch.office_lines import codec as lines
from wellhitch.platform.records import OfficeRecord, PendingDial

READ_BUFFER_BYTES = 64 * 1024  # shared by all connections
# How long an office may pause within a line while dials are unanswered on the connection: answers behind an incomplete
# line are delayed.
PARTIAL_LINE_S = 0.25
# The same without unanswered dials: a slow writer may finish its line, which may be the release of a call.
PARTIAL_LINE_IDLE_S = 1.0
# Written to an office that does not read, on one connection: some eight hundred usual set-ups.
MAX_UNSENT_BYTES = 256 * 1024
RETRY_DELAY_S = 0.1  # doubles with each failure
# Reconnects soon after an office restarts, and costs one attempt a second if it does not.
MAX_RETRY_DELAY_S = 1.0


class OfficeEvents(Protocol):
    """Receives what happens on the connections to offices."""

    def office_bytes_received(self, office: OfficeRecord, connection: "OfficeConnection") -> None:
        """Bytes arrived, valid or not."""

    def office_line_received(
        self, office: OfficeRecord, connection: "OfficeConnection", line: lines.Line
    ) -> None:
        """A complete line arrived."""

    def dial_connection_lost(self, dial: PendingDial, sent: bool) -> None:
        """The connection of a dial was lost after the set-up was `sent`, or none came up."""

    def office_refused_connection(self, office: OfficeRecord) -> None:
        """No connection is up, and a new one was refused."""

    def office_connected(self, office: OfficeRecord, connection: "OfficeConnection") -> None:
        """A connection is up."""

    def office_connection_lost(self, office: OfficeRecord, connection: "OfficeConnection") -> None:
        """A connection is gone."""

    def log(self, event: str, **facts: Any) -> None:
        """Write one line of the log."""


class OfficeConnection(asyncio.BufferedProtocol):
    """One connection to an office."""

    __slots__ = ("pool", "transport", "decoder", "dials", "partial_timer", "connected_at", "__weakref__")

    def __init__(self, pool: "ConnectionPool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.decoder = lines.Decoder()
        self.dials: dict[PendingDial, None] = {}
        self.partial_timer: Any = None
        self.connected_at = 0.0  # in seconds of the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pool.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.owner.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.transport is None:
            return
        if self.partial_timer is not None:
            self.partial_timer.cancel()
            self.partial_timer = None
        pool = self.pool
        pool.owner.events.office_bytes_received(pool.office, self)
        try:
            received = self.decoder.feed(pool.owner.buffer[:nbytes])
        except lines.BadLine as error:
            self._pass_on(error.lines_before)
            self.abort(error.reason)
            return
        self._pass_on(received)
        if self.decoder.pending and self.transport is not None:
            self.partial_timer = pool.owner.loop.call_later(PARTIAL_LINE_S, self._line_stopped_short)

    def _line_stopped_short(self) -> None:
        if self.dials:
            self.abort("line_stopped_short")
        else:
            delay_s = PARTIAL_LINE_IDLE_S - PARTIAL_LINE_S
            self.partial_timer = self.pool.owner.loop.call_later(delay_s, self.abort, "line_stopped_short")

    def _pass_on(self, received: list[lines.Line]) -> None:
        for line in received:
            self.pool.owner.events.office_line_received(self.pool.office, self, line)

    @property
    def writable(self) -> bool:
        """Whether written data may arrive; asyncio reports a lost connection only one turn after it is closing."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def may_carry_dial(self) -> bool:
        """Whether a set-up may be written; not if the office has left too much unread."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() < MAX_UNSENT_BYTES
        )

    def write(self, line: bytes) -> None:
        """Write unless the connection is closed or closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line)

    def pause_reading(self) -> None:
        """Leave what arrives in the kernel until `resume_reading`."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self.transport is not None:
            self.transport.resume_reading()

    def send_test(self, line: bytes) -> None:
        """Send a liveness test, unless earlier data is still unsent."""
        if self.transport is not None and not self.transport.get_write_buffer_size():
            self.write(line)

    def abort(self, limit: str) -> None:
        """Reset the connection after a line that cannot be read: whatever follows cannot be decoded either. Its
        unanswered dials are lost."""
        self.pool.owner.counts[f"office.{limit}"] += 1
        if self.transport is not None:
            self.transport.abort()
        self.detach(limit)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None:
            self.detach("closed by the endpoint", read_to_its_end=True)
        else:
            self.detach(f"ended by the endpoint: {exc!r}")

    def detach(self, why: str, read_to_its_end: bool = False) -> None:
        """Remove the connection from its pool."""
        if self.transport is None:
            return
        self.transport = None
        if self.partial_timer is not None:
            self.partial_timer.cancel()
            self.partial_timer = None
        self.pool.lost(self, why, read_to_its_end)


class ConnectionPool:
    """The connections to one office, at most `owner.max_per_office`."""

    def __init__(self, owner: "OfficeConnections", office: OfficeRecord) -> None:
        self.owner, self.office, self.address = owner, office, office.address
        self.connected: dict[OfficeConnection, None] = {}
        self.connecting = 0
        self.waiting: dict[PendingDial, tuple[bytes, Any]] = {}
        self.kept_connected = True  # at least one connection is wanted
        self.ended = False  # no connection will be wanted again
        self._retry_timer: Any = None
        self._retry_delay_s = RETRY_DELAY_S

    # -- sending --

    def send_dial(self, dial: PendingDial, line: bytes) -> bool:
        """Send a set-up on the connection with the fewest unanswered dials, or keep it until one is up. False where
        every connection allowed is one of the dial's `earlier_connections`."""
        best = self._least_used(dial)
        if best is None:
            if not self.connecting and self._may_open_for(dial):
                self._connect()
            if not self.connecting:
                return False
            timer = self.owner.loop.call_later(self.owner.connect_timeout_s, self._connect_timed_out, dial)
            self.waiting[dial] = line, timer
            return True
        unanswered = len(best.dials)
        self._write(best, dial, line)
        if unanswered and len(self.connected) + self.connecting < self.owner.max_per_office:
            self._connect()
        return True

    def _least_used(self, dial: PendingDial) -> OfficeConnection | None:
        """The connection with the fewest unanswered dials on which the dial may be sent."""
        usable = (
            connection
            for connection in self.connected
            if connection.may_carry_dial and connection not in dial.earlier_connections
        )
        return min(usable, key=lambda connection: len(connection.dials), default=None)

    def _may_open_for(self, dial: PendingDial) -> bool:
        """Whether a connection may be opened for a dial that no open one can carry."""
        in_use = sum(connection.writable for connection in self.connected)
        return in_use == 0 or in_use < self.owner.max_per_office

    def _write(self, connection: OfficeConnection, dial: PendingDial, line: bytes) -> None:
        dial.connection = connection
        connection.dials[dial] = None
        connection.write(line)

    def _connect_timed_out(self, dial: PendingDial) -> None:
        if self.waiting.pop(dial, None) is not None:
            self.owner.events.dial_connection_lost(dial, False)

    def withdraw_dial(self, dial: PendingDial) -> bool:
        """Forget a dial that has ended; True where its set-up still waited for a connection."""
        waited = self.waiting.pop(dial, None)
        if waited is not None:
            waited[1].cancel()
            return True
        connection = dial.connection
        if isinstance(connection, OfficeConnection):
            connection.dials.pop(dial, None)
        return False

    def send(self, line: bytes, preferred: Hashable | None) -> OfficeConnection | None:
        """Send on `preferred` if it is up, else on any other. Returns the one on which it was written; None where none
        is up, and one is opened if possible."""
        connection = next((connection for connection in self.connected if connection.writable), None)
        if isinstance(preferred, OfficeConnection) and preferred in self.connected and preferred.writable:
            connection = preferred
        if connection is not None:
            connection.write(line)
        elif self.ended:
            self.owner.counts["office.unsent_at_end"] += 1
        elif not self.connecting and self._retry_timer is None:
            self._connect()
        return connection

    # -- connections --

    def keep_connection(self) -> None:
        """Keep at least one connection up."""
        self.kept_connected = True
        if not self.connected and not self.connecting and self._retry_timer is None:
            self._connect()

    def open_another(self) -> None:
        """Open one more connection; where there are many already, it replaces an idle one."""
        if self.connecting or not self.owner.reading:
            return
        if len(self.connected) >= max(2, self.owner.max_per_office // 2):
            idle = next((connection for connection in self.connected if not connection.dials), None)
            if idle is None or idle.transport is None:
                return
            self._connect()
            idle.transport.close()
            idle.detach("replaced by another")
        else:
            self._connect()

    def _connect(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        self.connecting += 1
        self.owner.network.connect(self.address, lambda: OfficeConnection(self), self._connect_failed)

    def opened(self, connection: OfficeConnection) -> None:
        """Send what waited on a connection that has come up."""
        self.connecting -= 1
        if self.ended or (
            not self.kept_connected
            and not self.office.calls
            and not self.waiting
            and not self.office.has_unsent_releases
        ):
            assert connection.transport is not None
            connection.transport.abort()
            connection.transport = None
            return
        self.connected[connection] = None
        if not self.owner.reading:
            connection.pause_reading()
        connection.connected_at = self.owner.loop.time()
        self._retry_delay_s = RETRY_DELAY_S
        self.owner.events.office_connected(self.office, connection)
        for dial, (line, timer) in list(self.waiting.items()):
            timer.cancel()
            self._write(connection, dial, line)
        self.waiting.clear()

    def _connect_failed(self, failure: ConnectFailure) -> None:
        self.connecting -= 1
        self.owner.counts["office.link_failed"] += 1
        self.owner.events.log(
            "endpoint_connection_failed",
            endpoint=self.office.id,
            why=failure.detail,
            left=len(self.connected),
        )
        if self.connecting:
            return
        for dial, (_, timer) in list(self.waiting.items()):
            if not self.connected or dial.earlier_connections:
                timer.cancel()
                self.waiting.pop(dial, None)
                self.owner.events.dial_connection_lost(dial, False)
        if self.connected:
            return
        if failure.refused:
            self.owner.events.office_refused_connection(self.office)
        self._retry_later()

    def _retry_later(self) -> None:
        if self._retry_timer is None and (self.kept_connected or self.office.calls):
            self._retry_timer = self.owner.loop.call_later(self._retry_delay_s, self._retry)
            self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_DELAY_S)

    def _retry(self) -> None:
        self._retry_timer = None
        if self._wants_another(True):
            self._connect()

    def lost(self, connection: OfficeConnection, why: str, read_to_its_end: bool) -> None:
        """Report a lost connection and its unanswered dials, and replace it if another is wanted."""
        was_connected = self.connected.pop(connection, 0) is None
        self.owner.events.office_connection_lost(self.office, connection)
        self.owner.events.log(
            "endpoint_connection_lost",
            endpoint=self.office.id,
            why=why,
            attempts=len(connection.dials),
            left=len(self.connected),
        )
        dials, connection.dials = connection.dials, {}
        for dial in dials:
            self.owner.events.dial_connection_lost(dial, True)
        if was_connected and self._wants_another(read_to_its_end):
            if self.owner.loop.time() - connection.connected_at < RETRY_DELAY_S:
                self._retry_later()  # the office may reset each connection at once; a dial still opens one
            else:
                self._connect()

    def _wants_another(self, read_to_its_end: bool) -> bool:
        """Whether another connection is to be opened. An office with calls needs one after a connection that was not
        read to its end: a release may have been lost with it, and the office sends that again on the next
        connection."""
        if self.connecting or self.ended or not self.owner.reading:
            return False
        if not self.connected:
            return self.kept_connected or bool(self.office.calls)
        return bool(self.office.calls) and not read_to_its_end

    def discard_unsent(self) -> None:
        """Reset the connections that have unsent data."""
        for connection in list(self.connected):
            if connection.transport is not None and connection.transport.get_write_buffer_size():
                self.owner.counts["office.unsent_at_drain"] += 1
                connection.transport.abort()
                connection.detach("unsent at a drain")

    def pause_reading(self) -> None:
        """Read nothing until `resume_reading`. Written data is sent; no connection is opened to replace another."""
        for connection in self.connected:
            connection.pause_reading()

    def resume_reading(self) -> None:
        """Read again, and open a connection if one was lost meanwhile."""
        for connection in self.connected:
            connection.resume_reading()
        if not self.connected and self._retry_timer is None and self._wants_another(True):
            self._connect()

    def stop_reading(self) -> None:
        """Leave what still arrives to the next process. Written data is sent; no new connection is opened."""
        self.kept_connected, self.ended = False, True
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        self.pause_reading()

    def close(self, now: bool) -> None:
        """Close all connections for good `now`, or only those without unanswered dials."""
        self.kept_connected, self.ended = False, now
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        for connection in list(self.connected):
            if connection.transport is not None and (now or not connection.dials):
                if now:
                    connection.transport.abort()
                else:
                    connection.transport.close()
                connection.detach("no longer needed")


class OfficeConnections:
    """The connection pools of all offices."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        events: OfficeEvents,
        connect_timeout_s: float,
        max_descriptors: int,
        counts: Counter[str],
    ) -> None:
        """`max_descriptors`: for the connections to all offices together."""
        self.loop, self.network, self.events, self.connect_timeout_s = (
            loop,
            network,
            events,
            connect_timeout_s,
        )
        self.max_descriptors, self.counts = max_descriptors, counts
        self.reading = True  # False from `pause_reading` to `resume_reading`
        self._stopped = False
        self.buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.pools: dict[OfficeRecord, ConnectionPool] = {}

    @property
    def max_per_office(self) -> int:
        """Connections allowed to one office: its share of the descriptors, at most sixteen. More are seldom needed to
        keep the number of dials low that are lost with one connection."""
        return max(2, min(16, self.max_descriptors // max(1, len(self.pools))))

    def pool(self, office: OfficeRecord) -> ConnectionPool:
        """The connection pool of an office, created on first use."""
        pool = self.pools.get(office)
        if pool is None:
            pool = self.pools[office] = ConnectionPool(self, office)
        return pool

    def pause_reading(self) -> None:
        """Read nothing from any office until `resume_reading`."""
        if self.reading:
            self.reading = False
            for pool in self.pools.values():
                pool.pause_reading()

    def resume_reading(self) -> None:
        """Read from the offices again, unless reading was stopped for good."""
        if not self.reading and not self._stopped:
            self.reading = True
            for pool in self.pools.values():
                pool.resume_reading()

    def stop_reading(self) -> None:
        """Read nothing more from any office."""
        self.reading, self._stopped = False, True
        for pool in self.pools.values():
            pool.stop_reading()

    def drop(self, office: OfficeRecord, now: bool) -> None:
        """Remove an office's pool and close its connections."""
        pool = self.pools.pop(office, None)
        if pool is not None:
            pool.close(now)
