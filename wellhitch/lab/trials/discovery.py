"""Discovery on real sockets: it tells changes of the endpoint list, and fails as it is told to.

It also records when each change counts as told to each call server, by the operators' rules, so that the judge can hold
set-ups against it.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from wellhitch.board import codec
from wellhitch.lab.trials.records import Record, Records, Seen
from wellhitch.lab.trials.sockets import Connection, Listener

HEARTBEAT_S = 1.0
NEWS_LIMIT_S = 6.0  # after a failed or refused call a change counts as told this long after it could be had
SILENCE_LIMIT_S = 4.0  # after an open watch fell silent
BREAK_LIMIT_S = 2.0
REVISION_BYTES = 8


class EndpointState(Enum):
    """What discovery says of an endpoint; the values are the wire's."""

    UP = codec.READY
    DRAINING = codec.DRAINING
    REMOVED = codec.REMOVED


STATE_WORDS = {EndpointState.UP: "up", EndpointState.DRAINING: "draining", EndpointState.REMOVED: "removed"}


@dataclass(frozen=True, slots=True)
class Listed:
    """One endpoint as discovery knows it; `addresses` by call server."""

    endpoint: str
    cell: int
    addresses: dict[str, str]
    state: EndpointState
    started_ms: int = 0


class Discovery:
    """The endpoint list for every call server, each at an address of its own."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, records: Records, host: str, servers: list[str]
    ) -> None:
        self.loop, self.records, self.host = loop, records, host
        self.events: list[tuple[Listed, ...]] = []
        self.listeners = {server: self._listener(server) for server in servers}
        self.watches: dict[Connection, str] = {}
        self.silent: set[Connection] = set()  # watches that are told nothing more
        self.down = False
        self.trouble_since = 0.0  # when the last silence or break began
        self.returned_at = -NEWS_LIMIT_S  # when it could be reached again
        self._untold: list[Listed] = []  # changes made while it could not be reached
        self._revisions: dict[Connection, bytes] = {}
        self._heartbeat: asyncio.TimerHandle = loop.call_later(HEARTBEAT_S, self._beat)

    def _listener(self, server: str) -> Listener:
        return Listener(self.loop, self.host, lambda connection: self._accepted(connection, server))

    def address(self, server: str) -> str:
        """host:port for one call server."""
        return self.listeners[server].address

    def known(self, server: str) -> dict[str, object]:
        """The events so far in the form of the configuration's `known`."""
        notices = [
            {
                "rev": revision,
                "pool": {
                    "version": revision,
                    "full": revision == 1,
                    "servers": [
                        {
                            "id": listed.endpoint,
                            "addr": listed.addresses[server],
                            "zone": "east",
                            "kind": "std",
                            "cell": listed.cell,
                            "state": STATE_WORDS[listed.state],
                            "weight": 1.0,
                            "started_ms": listed.started_ms,
                        }
                        for listed in event
                    ],
                },
            }
            for revision, event in enumerate(self.events, 1)
        ]
        return {"rev": len(self.events), "notices": notices}

    def tell(self, *changes: Listed) -> None:
        """One new event; written to every open watch unless discovery is in trouble."""
        self.events.append(changes)
        revision = len(self.events)
        for connection, server in self.watches.items():
            if connection not in self.silent and not self.down:
                connection.write(self._frame(revision, server))
        if revision == 1:
            return
        if self.down:
            self._untold.extend(changes)
            return
        for server in self.listeners:
            told = self._told_at(server)
            for listed in changes:
                self._count_as_told(server, listed, told)

    # ---- faults ----

    def fall_silent(self) -> None:
        """Open watches stay open and are told nothing more; new ones are served."""
        self.silent, self.trouble_since = set(self.watches), self.loop.time()

    def refuse(self) -> None:
        """Reset every watch and refuse new ones."""
        self.down = True
        for listener in self.listeners.values():
            listener.refuse()
        for connection in list(self.watches):
            connection.reset()

    def unreachable(self) -> None:
        """The network to discovery swallows everything: watches stay open, new ones never come up."""
        self.down = True
        for connection in self.watches:
            connection.freeze()
        for listener in self.listeners.values():
            listener.unreachable()

    def return_(self) -> None:
        """It can be reached again; watches from before are reset."""
        self.down = False
        self.returned_at = self.loop.time()
        for connection in list(self.watches):
            connection.reset()
        for listener in self.listeners.values():
            listener.listen()
        for listed in self._untold:
            for server in self.listeners:
                self._count_as_told(server, listed, self.loop.time() + NEWS_LIMIT_S)
        self._untold.clear()

    def break_in_mid_event(self) -> None:
        """Write half a frame to each watch, then end it."""
        self.trouble_since = self.loop.time()
        for connection, server in list(self.watches.items()):
            frame = self._frame(len(self.events), server)
            connection.write(frame[: len(frame) // 2])
            connection.close()

    def move(self, server: str) -> str:
        """Serve one call server at a new address; the old one goes silent and is closed after 1.5 s."""
        old = self.listeners[server]
        self.listeners[server] = self._listener(server)
        old.refuse()
        for connection, watcher in list(self.watches.items()):
            if watcher == server:
                del self.watches[connection]
                self.loop.call_later(1.5, connection.close)
        return self.listeners[server].address

    def stop(self) -> None:
        """Leave no timer, socket or connection behind."""
        self._heartbeat.cancel()
        for listener in self.listeners.values():
            listener.refuse()
        for connection in list(self.watches):
            connection.close()

    # ---- inside ----

    def _accepted(self, connection: Connection, server: str) -> None:
        self._revisions[connection] = b""
        connection.on_data = lambda data: self._asked(connection, server, data)
        connection.on_end = lambda: self._ended(connection)
        connection.start()

    def _ended(self, connection: Connection) -> None:
        self.watches.pop(connection, None)
        self._revisions.pop(connection, None)
        self.silent.discard(connection)

    def _asked(self, connection: Connection, server: str, data: bytes) -> None:
        asked = self._revisions.get(connection, b"")
        if len(asked) >= REVISION_BYTES:
            return
        self._revisions[connection] = asked + data
        if len(asked + data) >= REVISION_BYTES:
            self.watches[connection] = server
            if not self.down:
                self._catch_up(connection, server)

    def _catch_up(self, connection: Connection, server: str) -> None:
        asked = int.from_bytes(self._revisions.get(connection, b"")[:REVISION_BYTES], "big")
        for revision in range(asked + 1, len(self.events) + 1):
            connection.write(self._frame(revision, server))
            if revision > 1:
                for listed in self.events[revision - 1]:
                    self._count_as_told(server, listed, self.loop.time())

    def _frame(self, revision: int, server: str) -> bytes:
        rows = tuple(
            codec.DiscoveryEntry(
                listed.endpoint, listed.addresses[server], listed.state.value, listed.cell, listed.started_ms
            )
            for listed in self.events[revision - 1]
        )
        return codec.encode_update(codec.Update(revision, revision == 1, rows))

    def _beat(self) -> None:
        self._heartbeat = self.loop.call_later(HEARTBEAT_S, self._beat)
        if self.down:
            return
        for connection in self.watches:
            if connection not in self.silent:
                connection.write(codec.encode_update(codec.Update(len(self.events), False, (), True)))

    def _told_at(self, server: str) -> float:
        """When a change that is made now counts as told to a call server."""
        now = self.loop.time()
        watches = [connection for connection, watcher in self.watches.items() if watcher == server]
        if any(connection not in self.silent for connection in watches):
            return now
        if not watches and now - self.returned_at < NEWS_LIMIT_S:
            return now + NEWS_LIMIT_S  # calls failed until a moment ago; asking again counts from then
        limit = SILENCE_LIMIT_S if watches else BREAK_LIMIT_S
        return max(now, self.trouble_since + limit)

    def _count_as_told(self, server: str, listed: Listed, at: float) -> None:
        self.records.add(Record(at, Seen.STATE_TOLD, "", server, listed.endpoint, 0, listed.state.name))
