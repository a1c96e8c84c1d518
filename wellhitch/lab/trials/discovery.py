"""Discovery service on real sockets, which publishes changes of the endpoint list and has injected faults.

It also records by when each call server must know of each change under the operators' rules, so that the checker can
compare set-ups with it.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from wellhitch.board import codec
from wellhitch.lab.trials.records import EventKind, Record, Records
from wellhitch.lab.trials.sockets import Connection, Listener

HEARTBEAT_S = 1.0
# By when a call server must know of a change, after its connections to discovery had failed or been refused: this long
# after discovery can be reached again.
RECONNECT_LIMIT_S = 6.0
SILENCE_LIMIT_S = 4.0  # the same, after an open watch fell silent
BREAK_LIMIT_S = 2.0  # the same, after a watch was closed
REVISION_BYTES = 8


class EndpointState(Enum):
    """State of an endpoint as published; the values are those of the wire format."""

    UP = codec.READY
    DRAINING = codec.DRAINING
    REMOVED = codec.REMOVED


STATE_NAMES = {EndpointState.UP: "up", EndpointState.DRAINING: "draining", EndpointState.REMOVED: "removed"}


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint in the list; `addresses` holds its address for each call server."""

    endpoint: str
    cell: int
    addresses: dict[str, str]
    state: EndpointState
    started_ms: int = 0


class Discovery:
    """The endpoint list, served to each call server at a separate address."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, records: Records, host: str, servers: list[str]
    ) -> None:
        self.loop, self.records, self.host = loop, records, host
        self.updates: list[tuple[EndpointEntry, ...]] = []
        self.listeners = {server: self._listener(server) for server in servers}
        self.watches: dict[Connection, str] = {}
        self.silent: set[Connection] = set()  # open watches on which nothing more is sent
        self.down = False
        self.fault_since = 0.0  # start of the last silence or interruption
        self.recovered_at = -RECONNECT_LIMIT_S  # when discovery last became reachable again
        self._unsent_changes: list[EndpointEntry] = []  # changes made while discovery was unreachable
        self._revisions: dict[Connection, bytes] = {}
        self._heartbeat_timer: asyncio.TimerHandle = loop.call_later(HEARTBEAT_S, self._send_heartbeats)

    def _listener(self, server: str) -> Listener:
        return Listener(
            self.loop, self.host, lambda connection: self._connection_accepted(connection, server)
        )

    def address(self, server: str) -> str:
        """host:port for one call server."""
        return self.listeners[server].address

    def known_updates(self, server: str) -> dict[str, object]:
        """All updates so far, as the configuration file holds them under `known`."""
        updates = [
            {
                "rev": revision,
                "pool": {
                    "version": revision,
                    "full": revision == 1,
                    "servers": [
                        {
                            "id": entry.endpoint,
                            "addr": entry.addresses[server],
                            "zone": "east",
                            "kind": "std",
                            "cell": entry.cell,
                            "state": STATE_NAMES[entry.state],
                            "weight": 1.0,
                            "started_ms": entry.started_ms,
                        }
                        for entry in update
                    ],
                },
            }
            for revision, update in enumerate(self.updates, 1)
        ]
        return {"rev": len(self.updates), "notices": updates}

    def publish(self, *changes: EndpointEntry) -> None:
        """Append an update and send it to every open watch, unless a fault prevents that."""
        self.updates.append(changes)
        revision = len(self.updates)
        for connection, server in self.watches.items():
            if connection not in self.silent and not self.down:
                connection.write(self._update_frame(revision, server))
        if revision == 1:
            return
        if self.down:
            self._unsent_changes.extend(changes)
            return
        for server in self.listeners:
            due = self._report_due(server)
            for entry in changes:
                self._record_reported(server, entry, due)

    # ---- faults ----

    def fall_silent(self) -> None:
        """Send nothing more on the open watches, but leave them open; new ones are served."""
        self.silent, self.fault_since = set(self.watches), self.loop.time()

    def refuse(self) -> None:
        """Reset every watch and refuse new ones."""
        self.down = True
        for listener in self.listeners.values():
            listener.refuse()
        for connection in list(self.watches):
            connection.reset()

    def become_unreachable(self) -> None:
        """Drop all traffic to and from discovery: watches stay open, new connections are never established."""
        self.down = True
        for connection in self.watches:
            connection.freeze()
        for listener in self.listeners.values():
            listener.become_unreachable()

    def recover(self) -> None:
        """Become reachable again; former watches are reset."""
        self.down = False
        self.recovered_at = self.loop.time()
        for connection in list(self.watches):
            connection.reset()
        for listener in self.listeners.values():
            listener.listen()
        for entry in self._unsent_changes:
            for server in self.listeners:
                self._record_reported(server, entry, self.loop.time() + RECONNECT_LIMIT_S)
        self._unsent_changes.clear()

    def break_mid_update(self) -> None:
        """Write half a frame to each watch, then close it."""
        self.fault_since = self.loop.time()
        for connection, server in list(self.watches.items()):
            frame = self._update_frame(len(self.updates), server)
            connection.write(frame[: len(frame) // 2])
            connection.close()

    def move(self, server: str) -> str:
        """Serve one call server at a new address; its former watches fall silent and are closed after 1.5 s."""
        old_listener = self.listeners[server]
        self.listeners[server] = self._listener(server)
        old_listener.refuse()
        for connection, watching_server in list(self.watches.items()):
            if watching_server == server:
                del self.watches[connection]
                self.loop.call_later(1.5, connection.close)
        return self.listeners[server].address

    def stop(self) -> None:
        """Cancel the timer and close all sockets and connections."""
        self._heartbeat_timer.cancel()
        for listener in self.listeners.values():
            listener.refuse()
        for connection in list(self.watches):
            connection.close()

    # ---- connections and updates ----

    def _connection_accepted(self, connection: Connection, server: str) -> None:
        self._revisions[connection] = b""
        connection.on_data = lambda data: self._revision_received(connection, server, data)
        connection.on_end = lambda: self._connection_ended(connection)
        connection.start()

    def _connection_ended(self, connection: Connection) -> None:
        self.watches.pop(connection, None)
        self._revisions.pop(connection, None)
        self.silent.discard(connection)

    def _revision_received(self, connection: Connection, server: str, data: bytes) -> None:
        received = self._revisions.get(connection, b"")
        if len(received) >= REVISION_BYTES:
            return
        self._revisions[connection] = received + data
        if len(received + data) >= REVISION_BYTES:
            self.watches[connection] = server
            if not self.down:
                self._send_missed_updates(connection, server)

    def _send_missed_updates(self, connection: Connection, server: str) -> None:
        known_revision = int.from_bytes(self._revisions.get(connection, b"")[:REVISION_BYTES], "big")
        for revision in range(known_revision + 1, len(self.updates) + 1):
            connection.write(self._update_frame(revision, server))
            if revision > 1:
                for entry in self.updates[revision - 1]:
                    self._record_reported(server, entry, self.loop.time())

    def _update_frame(self, revision: int, server: str) -> bytes:
        entries = tuple(
            codec.DiscoveryEntry(
                entry.endpoint, entry.addresses[server], entry.state.value, entry.cell, entry.started_ms
            )
            for entry in self.updates[revision - 1]
        )
        return codec.encode_update(codec.Update(revision, revision == 1, entries))

    def _send_heartbeats(self) -> None:
        self._heartbeat_timer = self.loop.call_later(HEARTBEAT_S, self._send_heartbeats)
        if self.down:
            return
        for connection in self.watches:
            if connection not in self.silent:
                connection.write(codec.encode_update(codec.Update(len(self.updates), False, (), True)))

    def _report_due(self, server: str) -> float:
        """The time by which a call server must know of a change that is made now."""
        now = self.loop.time()
        watches = [
            connection for connection, watching_server in self.watches.items() if watching_server == server
        ]
        if any(connection not in self.silent for connection in watches):
            return now
        if not watches and now - self.recovered_at < RECONNECT_LIMIT_S:
            return now + RECONNECT_LIMIT_S  # connections failed until recently: counts from now
        limit_s = SILENCE_LIMIT_S if watches else BREAK_LIMIT_S
        return max(now, self.fault_since + limit_s)

    def _record_reported(self, server: str, entry: EndpointEntry, time_s: float) -> None:
        self.records.add(
            Record(time_s, EventKind.STATE_REPORTED, "", server, entry.endpoint, 0, entry.state.name)
        )
