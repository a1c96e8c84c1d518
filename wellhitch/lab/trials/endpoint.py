"""A trunk endpoint on real sockets: it sets calls up, ends them, and fails as it is told to."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wellhitch.lab.trials.records import Record, Records, Seen
from wellhitch.lab.trials.sockets import Connection, Listener
from wellhitch.office_lines import codec as lines

CAUSE_OVER, CAUSE_FULL, CAUSE_RESET = 16, 34, 41
CIRCUITS = 200
LATE_READ_S = 0.3
READ_LATE = "read late"


@dataclass(slots=True)
class EndpointTraits:
    """How an endpoint behaves while well; times in seconds, shares from 0 to 1."""

    answer_after: float = 0.02
    hold: float = 4.0
    refuse_share: float = 0.05
    silent_share: float = 0.0  # set-ups that are never answered
    spoilt_share: float = 0.0  # answers that cannot be read
    piece_bytes: int = 0  # written at once, the next piece some milliseconds later; 0: all
    idle_close: float = 0.0  # connections with nothing read for so long are closed; 0: never
    late: float = 0.0  # connections are served only after up to so long
    closes_share: float = 0.0  # connections that are closed just after something was written on them


@dataclass(eq=False, slots=True)
class _Call:
    call: str
    server: str
    connection: Connection
    answered: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass(eq=False, slots=True)
class _Peer:
    """One connection from a call server."""

    connection: Connection
    server: str
    last_read: float
    served_at: float
    decoder: lines.Decoder = field(default_factory=lines.Decoder)


class Endpoint:
    """One endpoint under its id. Each call server reaches it at an address of its own, so that a network cut between
    the two is known from the endpoint's own troubles."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        records: Records,
        chance: random.Random,
        endpoint_id: str,
        host: str,
        cell: int,
        servers: list[str],
        traits: EndpointTraits,
    ) -> None:
        self.loop, self.records, self.chance = loop, records, chance
        self.id, self.cell, self.traits = endpoint_id, cell, traits
        self.peers: dict[Connection, _Peer] = {}
        self.calls: dict[str, _Call] = {}
        self.unsent_releases: dict[str, dict[str, bytes]] = {server: {} for server in servers}
        self.frozen: set[str] = set()  # call servers that hear nothing from here
        self.gone = False  # vanished or dead, and not back
        self.thawed_at = -LATE_READ_S  # what is read just after was sent at an unknown earlier time
        self.listeners = {
            server: Listener(loop, host, lambda made, server=server: self._accepted(made, server))  # type: ignore[misc]
            for server in servers
        }

    def address(self, server: str) -> str:
        """host:port for one call server."""
        return self.listeners[server].address

    # ---- faults ----

    def vanish(self) -> None:
        """The machine is gone with its calls: nothing is said, connections stay open, new ones never come up."""
        for server in self.listeners:
            self.cut_off(server)
        self.gone = True
        self._end_all("vanished")

    def reboot(self) -> None:
        """A machine that vanished is back: connections from before are unknown to it and reset."""
        for peer in list(self.peers.values()):
            peer.connection.reset()
        self._forget()
        self.start_again()

    def cut_off(self, server: str) -> None:
        """The network between a call server and the machine is silent; calls go on."""
        self._freeze(server)
        self.listeners[server].unreachable()

    def hang(self) -> None:
        """The process stops; the kernel still accepts connections."""
        for server, listener in self.listeners.items():
            self._freeze(server)
            listener.hang()

    def resume(self) -> None:
        """A hang or a cut-off is over; a machine that has vanished meanwhile does not come back by it."""
        if self.gone:
            return
        self.frozen.clear()
        self.thawed_at = self.loop.time()
        for peer in list(self.peers.values()):
            peer.connection.thaw()
        for listener in self.listeners.values():
            listener.listen()

    def die(self) -> None:
        """The process dies: connections are reset, calls are over, and new connections are refused."""
        for listener in self.listeners.values():
            listener.refuse()
        self.gone = True
        self._end_all("died")
        for peer in list(self.peers.values()):
            peer.connection.reset()
        self._forget()

    def start_again(self) -> None:
        """A process that died listens again."""
        self.gone = False
        self.frozen.clear()
        self._note(Seen.CAME_BACK, "", "")
        for listener in self.listeners.values():
            listener.listen()

    def reset_connections(self) -> None:
        """Reset every connection; calls go on."""
        for peer in list(self.peers.values()):
            peer.connection.reset()

    def _forget(self) -> None:
        self.peers.clear()
        for releases in self.unsent_releases.values():
            releases.clear()

    def _freeze(self, server: str) -> None:
        self.frozen.add(server)
        for call in self.calls.values():
            if call.server == server and not call.answered:
                self._note(Seen.ATTEMPT_ENDED, call.call, server, detail="frozen")
        for peer in self.peers.values():
            if peer.server == server:
                peer.connection.freeze()

    def stop(self) -> None:
        """Leave no timer, socket or connection behind."""
        for call in self.calls.values():
            if call.timer is not None:
                call.timer.cancel()
        self.calls.clear()
        for listener in self.listeners.values():
            listener.refuse()
        for peer in list(self.peers.values()):
            peer.connection.on_end = lambda: None
            peer.connection.close()

    def _end_all(self, why: str) -> None:
        for call in list(self.calls.values()):
            if call.timer is not None:
                call.timer.cancel()
            seen = Seen.OVER if call.answered else Seen.ATTEMPT_ENDED
            self._note(seen, call.call, call.server, CAUSE_RESET, why)
        self.calls.clear()

    # ---- connections ----

    def _accepted(self, connection: Connection, server: str) -> None:
        if self.traits.late:
            after = self.chance.uniform(0, self.traits.late)
            self.loop.call_later(after, self._serve, connection, server)
        else:
            self._serve(connection, server)

    def _serve(self, connection: Connection, server: str) -> None:
        if connection.ended_by_peer() or (self.gone and server not in self.frozen):
            connection.close()
            return
        peer = self.peers[connection] = _Peer(connection, server, self.loop.time(), self.loop.time())
        if server in self.frozen:  # the machine went while the connection was coming up
            connection.freeze()
        connection.piece_bytes = self.traits.piece_bytes
        connection.on_data = lambda data: self._read(peer, data)
        connection.on_end = lambda: self._ended(peer)
        connection.start()
        self._write(connection, b'{"t":"gauge","ref":"0000000000000000","f":{"load":"%s"}}\n' % self._load())
        unsent = self.unsent_releases[server]
        for call, release in list(unsent.items()):
            if not self._write(connection, release, self._release_sent(call, server)):
                break
            del unsent[call]
        if self.traits.idle_close:
            self.loop.call_later(self.traits.idle_close, self._close_idle, peer)

    def _close_idle(self, peer: _Peer) -> None:
        if peer.connection.ended:
            return
        quiet = self.loop.time() - peer.last_read
        if quiet >= self.traits.idle_close and peer.server not in self.frozen:
            peer.connection.close()
        else:
            self.loop.call_later(max(0.1, self.traits.idle_close - quiet), self._close_idle, peer)

    def _ended(self, peer: _Peer) -> None:
        self.peers.pop(peer.connection, None)
        for call in list(self.calls.values()):
            if call.connection is peer.connection and not call.answered:
                self._drop(call, "connection ended")

    def _load(self) -> bytes:
        return b"spare:%d;total:%d" % (CIRCUITS - len(self.calls), CIRCUITS)

    def _release_sent(self, call: str, server: str) -> Callable[[], None]:
        return lambda: self._note(Seen.RELEASE_SENT, call, server, CAUSE_OVER)

    def _write(
        self, connection: Connection, line: bytes, when_sent: Callable[[], None] | None = None
    ) -> bool:
        written = connection.write(line, when_sent)
        if self.traits.closes_share and self.chance.random() < self.traits.closes_share:
            connection.close()
        return written

    # ---- messages ----

    def _read(self, peer: _Peer, data: bytes) -> None:
        peer.last_read = self.loop.time()
        for line in peer.decoder.feed(data):
            if line.type == "new":
                self._set_up(peer, line)
            elif line.type == "down":
                self._released(peer, line)
            elif line.type == "hb":
                load = self._load().decode()
                self._write(
                    peer.connection,
                    f'{{"t":"hb_ok","ref":"{line.call_id}","f":{{"load":"{load}"}},"c":1}}\n'.encode(),
                )

    def _set_up(self, peer: _Peer, line: lines.Line) -> None:
        detail = READ_LATE if self._reads_late(peer) else ""
        self._note(Seen.SETUP_RECEIVED, line.call_id, peer.server, detail=detail)
        up = self.calls.get(line.call_id)
        if (
            up is not None and up.answered
        ):  # its answer was lost on the way, and it is set up again under its id
            self._write(peer.connection, self._answer_line(line.call_id))
            return
        call = self.calls[line.call_id] = _Call(line.call_id, peer.server, peer.connection)
        draw = self.chance.random()
        if draw < self.traits.silent_share:
            return
        after = self.traits.answer_after * self.chance.uniform(0.5, 1.5)
        refused = draw < self.traits.silent_share + self.traits.refuse_share
        call.timer = self.loop.call_later(after, self._refuse if refused else self._answer, call)

    def _refuse(self, call: _Call) -> None:
        if call.server in self.frozen:
            call.timer = self.loop.call_later(0.1, self._refuse, call)
            return
        self._write(call.connection, lines.release(call.call, CAUSE_FULL))
        self._drop(call, "full", CAUSE_FULL)

    def _answer(self, call: _Call) -> None:
        if call.server in self.frozen:
            call.timer = self.loop.call_later(0.1, self._answer, call)
            return
        if self.chance.random() < self.traits.spoilt_share:
            call.connection.write(b'{"t":"up","ref":"' + call.call.encode() + b'","f":{]\xff\n')
            self._drop(call, "spoilt")
            return
        call.answered = True
        self._note(Seen.ESTABLISHED, call.call, call.server)
        self._write(call.connection, self._answer_line(call.call))
        call.timer = self.loop.call_later(
            self.chance.expovariate(1 / self.traits.hold) + 0.3, self._over, call
        )

    def _answer_line(self, call: str) -> bytes:
        return f'{{"t":"up","ref":"{call}","f":{{}},"d":"{self.id} {call}\\r\\n"}}\n'.encode()

    def _over(self, call: _Call) -> None:
        """The call ends here; its release goes out now, after a silence, or on the next connection."""
        self.calls.pop(call.call, None)
        self._note(Seen.OVER, call.call, call.server, CAUSE_OVER)
        self._send_release(call)

    def _send_release(self, call: _Call) -> None:
        if call.server in self.frozen:
            self.loop.call_later(0.05, self._send_release, call)
            return
        release = lines.release(call.call, CAUSE_OVER)
        self.unsent_releases[call.server][call.call] = release  # the next connection gets it too
        others = [peer.connection for peer in self.peers.values() if peer.server == call.server]
        for connection in (call.connection, *others):
            if self._write(connection, release, self._release_sent(call.call, call.server)):
                return

    def _released(self, peer: _Peer, line: lines.Line) -> None:
        call = self.calls.get(line.call_id)
        self._note(Seen.RELEASED_BY_SERVER, line.call_id, peer.server, line.cause or 0)
        if call is not None:
            self._drop(call, READ_LATE if self._reads_late(peer) else "released by the call server")

    def _reads_late(self, peer: _Peer) -> bool:
        """Whether what is read now may have been sent a while ago: then its time tells nothing of the call server."""
        since = self.thawed_at if not self.traits.late else max(self.thawed_at, peer.served_at)
        return self.loop.time() - since < LATE_READ_S

    def _drop(self, call: _Call, why: str, cause: int = 0) -> None:
        if call.timer is not None:
            call.timer.cancel()
        self.calls.pop(call.call, None)
        if not call.answered:
            self._note(Seen.ATTEMPT_ENDED, call.call, call.server, cause, why)

    def _note(self, seen: Seen, call: str, server: str, cause: int = 0, detail: str = "") -> None:
        self.records.add(Record(self.loop.time(), seen, call, server, self.id, cause, detail))
