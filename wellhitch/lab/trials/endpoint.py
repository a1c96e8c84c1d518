"""A trunk endpoint on real sockets, which answers and ends calls and has injected faults."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wellhitch.lab.trials.records import EventKind, Record, Records
from wellhitch.lab.trials.sockets import Connection, Listener
from wellhitch.office_lines import codec as lines

CAUSE_NORMAL, CAUSE_NO_CIRCUIT, CAUSE_TEMPORARY_FAILURE = 16, 34, 41
CIRCUITS = 200
DELAYED_READ_S = 0.3  # data read this soon after a silence may have been sent at any time during it
DELAYED_READ = "delayed read"


@dataclass(slots=True)
class EndpointTraits:
    """How an endpoint behaves while no fault is injected; shares are from 0 to 1."""

    answer_after_s: float = 0.02  # mean
    hold_s: float = 4.0  # mean duration of a call
    refuse_share: float = 0.05
    unanswered_share: float = 0.0  # set-ups that are never answered
    malformed_share: float = 0.0  # answers that are malformed
    fragment_bytes: int = 0  # written at once, the rest some milliseconds later; 0: everything at once
    idle_close_s: float = 0.0  # connections without received data for this time are closed; 0: never
    max_serve_delay_s: float = 0.0  # connections are served after a random time of up to this
    close_after_write_share: float = 0.0  # writes after which the connection is closed


@dataclass(eq=False, slots=True)
class _Call:
    call_id: str
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
    # Written on this connection; sent on the next one too once this one has ended.
    releases_of_cut_calls: dict[str, bytes] = field(default_factory=dict)


class Endpoint:
    """One endpoint. Each call server reaches it at a separate address, so that a network cut between the two can be
    distinguished from a fault of the endpoint itself."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        records: Records,
        rng: random.Random,
        endpoint_id: str,
        host: str,
        cell: int,
        servers: list[str],
        traits: EndpointTraits,
    ) -> None:
        self.loop, self.records, self.rng = loop, records, rng
        self.id, self.cell, self.traits = endpoint_id, cell, traits
        self.peers: dict[Connection, _Peer] = {}
        self.calls: dict[str, _Call] = {}
        self.unsent_releases: dict[str, dict[str, bytes]] = {server: {} for server in servers}
        self.frozen: set[str] = set()  # call servers to which nothing is sent
        self.is_down = False  # the machine or process has ended and has not been restarted
        self.resumed_at = -DELAYED_READ_S  # end of the last hang or cut-off; see `DELAYED_READ_S`
        self.listeners = {
            server: Listener(loop, host, lambda conn, server=server: self._accepted(conn, server))  # type: ignore[misc]
            for server in servers
        }

    def address(self, server: str) -> str:
        """host:port for one call server."""
        return self.listeners[server].address

    # ---- faults ----

    def vanish(self) -> None:
        """The machine and its calls disappear: nothing is sent, connections stay open, new ones never come up."""
        for server in self.listeners:
            self.cut_off(server)
        self.is_down = True
        self._end_all_calls("vanished")

    def reboot(self) -> None:
        """A machine that vanished returns; it does not know its former connections and resets them."""
        for peer in list(self.peers.values()):
            peer.connection.reset()
        self._forget_connections()
        self.restart()

    def cut_off(self, server: str) -> None:
        """The network between a call server and the machine drops everything; calls continue."""
        self._freeze(server)
        self.listeners[server].become_unreachable()

    def partition(self) -> None:
        """The network between all call servers and the machine drops everything; calls continue until `heal`."""
        for server in self.listeners:
            self.cut_off(server)

    def heal(self) -> None:
        """End a partition. The calls were cut in it, and their releases go out on the oldest open connection."""
        if self.is_down:
            return
        self.resume()
        for call in [call for call in self.calls.values() if call.answered]:
            self._cut_call(call)

    def _cut_call(self, call: _Call) -> None:
        if call.timer is not None:
            call.timer.cancel()
        self.calls.pop(call.call_id, None)
        self._record(EventKind.CALL_ENDED, call.call_id, call.server, CAUSE_TEMPORARY_FAILURE, "cut")
        release = lines.release(call.call_id, CAUSE_TEMPORARY_FAILURE)
        open_peers = [
            peer
            for peer in self.peers.values()
            if peer.server == call.server and not peer.connection.ended_by_peer()
        ]
        if not open_peers:
            self.unsent_releases[call.server][call.call_id] = release
            return
        open_peers[0].releases_of_cut_calls[call.call_id] = release
        recorder = self._release_recorder(call.call_id, call.server)
        self._write(open_peers[0].connection, release, recorder)

    def hang(self) -> None:
        """The process stops running; the kernel still accepts connections."""
        for server, listener in self.listeners.items():
            self._freeze(server)
            listener.hang()

    def resume(self) -> None:
        """End a hang or cut-off; a machine that vanished in the meantime stays down."""
        if self.is_down:
            return
        self.frozen.clear()
        self.resumed_at = self.loop.time()
        for peer in list(self.peers.values()):
            peer.connection.thaw()
        for listener in self.listeners.values():
            listener.listen()

    def die(self) -> None:
        """The process dies: connections are reset, calls end, and new connections are refused."""
        for listener in self.listeners.values():
            listener.refuse()
        self.is_down = True
        self._end_all_calls("died")
        for peer in list(self.peers.values()):
            peer.connection.reset()
        self._forget_connections()

    def restart(self) -> None:
        """A process that died listens again, without its former calls."""
        self.is_down = False
        self.frozen.clear()
        self._record(EventKind.ENDPOINT_RESTARTED, "", "")
        for listener in self.listeners.values():
            listener.listen()

    def reset_connections(self) -> None:
        """Reset every connection; calls continue."""
        for peer in list(self.peers.values()):
            peer.connection.reset()

    def _forget_connections(self) -> None:
        self.peers.clear()
        for releases in self.unsent_releases.values():
            releases.clear()

    def _freeze(self, server: str) -> None:
        self.frozen.add(server)
        for call in self.calls.values():
            if call.server == server and not call.answered:
                self._record(EventKind.ATTEMPT_ENDED, call.call_id, server, detail="frozen")
        for peer in self.peers.values():
            if peer.server == server:
                peer.connection.freeze()

    def stop(self) -> None:
        """Cancel all timers and close all sockets and connections."""
        for call in self.calls.values():
            if call.timer is not None:
                call.timer.cancel()
        self.calls.clear()
        for listener in self.listeners.values():
            listener.refuse()
        for peer in list(self.peers.values()):
            peer.connection.on_end = lambda: None
            peer.connection.close()

    def _end_all_calls(self, reason: str) -> None:
        for call in list(self.calls.values()):
            if call.timer is not None:
                call.timer.cancel()
            kind = EventKind.CALL_ENDED if call.answered else EventKind.ATTEMPT_ENDED
            self._record(kind, call.call_id, call.server, CAUSE_TEMPORARY_FAILURE, reason)
        self.calls.clear()

    # ---- connections ----

    def _accepted(self, connection: Connection, server: str) -> None:
        if self.traits.max_serve_delay_s:
            delay_s = self.rng.uniform(0, self.traits.max_serve_delay_s)
            self.loop.call_later(delay_s, self._serve, connection, server)
        else:
            self._serve(connection, server)

    def _serve(self, connection: Connection, server: str) -> None:
        if connection.ended_by_peer() or (self.is_down and server not in self.frozen):
            connection.close()
            return
        peer = self.peers[connection] = _Peer(connection, server, self.loop.time(), self.loop.time())
        if server in self.frozen:  # the machine vanished or hung while the connection was being established
            connection.freeze()
        connection.fragment_bytes = self.traits.fragment_bytes
        connection.on_data = lambda data: self._read(peer, data)
        connection.on_end = lambda: self._connection_ended(peer)
        connection.start()
        self._write(
            connection, b'{"t":"gauge","ref":"0000000000000000","f":{"load":"%s"}}\n' % self._load_field()
        )
        unsent = self.unsent_releases[server]
        for call_id, release in list(unsent.items()):
            if not self._write(connection, release, self._release_recorder(call_id, server)):
                break
            del unsent[call_id]
        if self.traits.idle_close_s:
            self.loop.call_later(self.traits.idle_close_s, self._close_idle, peer)

    def _close_idle(self, peer: _Peer) -> None:
        if peer.connection.ended:
            return
        idle_s = self.loop.time() - peer.last_read
        if idle_s >= self.traits.idle_close_s and peer.server not in self.frozen:
            peer.connection.close()
        else:
            self.loop.call_later(max(0.1, self.traits.idle_close_s - idle_s), self._close_idle, peer)

    def _connection_ended(self, peer: _Peer) -> None:
        self.peers.pop(peer.connection, None)
        self.unsent_releases[peer.server].update(peer.releases_of_cut_calls)
        for call in list(self.calls.values()):
            if call.connection is peer.connection and not call.answered:
                self._remove_call(call, "connection ended")

    def _load_field(self) -> bytes:
        return b"spare:%d;total:%d" % (CIRCUITS - len(self.calls), CIRCUITS)

    def _release_recorder(self, call_id: str, server: str) -> Callable[[], None]:
        return lambda: self._record(EventKind.RELEASE_SENT, call_id, server, CAUSE_NORMAL)

    def _write(self, connection: Connection, line: bytes, on_sent: Callable[[], None] | None = None) -> bool:
        written = connection.write(line, on_sent)
        if self.traits.close_after_write_share and self.rng.random() < self.traits.close_after_write_share:
            connection.close()
        return written

    # ---- messages ----

    def _read(self, peer: _Peer, data: bytes) -> None:
        peer.last_read = self.loop.time()
        for line in peer.decoder.feed(data):
            if line.type == "new":
                self._setup_received(peer, line)
            elif line.type == "down":
                self._release_received(peer, line)
            elif line.type == "hb":
                load = self._load_field().decode()
                self._write(
                    peer.connection,
                    f'{{"t":"hb_ok","ref":"{line.call_id}","f":{{"load":"{load}"}},"c":1}}\n'.encode(),
                )

    def _setup_received(self, peer: _Peer, line: lines.Line) -> None:
        detail = DELAYED_READ if self._may_be_delayed(peer) else ""
        self._record(EventKind.SETUP_RECEIVED, line.call_id, peer.server, detail=detail)
        existing = self.calls.get(line.call_id)
        if existing is not None and existing.answered:  # its answer was lost: it is set up again
            self._write(peer.connection, self._answer_line(line.call_id))
            return
        call = self.calls[line.call_id] = _Call(line.call_id, peer.server, peer.connection)
        draw = self.rng.random()
        if draw < self.traits.unanswered_share:
            return
        delay_s = self.traits.answer_after_s * self.rng.uniform(0.5, 1.5)
        refused = draw < self.traits.unanswered_share + self.traits.refuse_share
        call.timer = self.loop.call_later(delay_s, self._refuse if refused else self._answer, call)

    def _refuse(self, call: _Call) -> None:
        if call.server in self.frozen:
            call.timer = self.loop.call_later(0.1, self._refuse, call)
            return
        self._write(call.connection, lines.release(call.call_id, CAUSE_NO_CIRCUIT))
        self._remove_call(call, "no circuit", CAUSE_NO_CIRCUIT)

    def _answer(self, call: _Call) -> None:
        if call.server in self.frozen:
            call.timer = self.loop.call_later(0.1, self._answer, call)
            return
        if self.rng.random() < self.traits.malformed_share:
            call.connection.write(b'{"t":"up","ref":"' + call.call_id.encode() + b'","f":{]\xff\n')
            self._remove_call(call, "malformed answer")
            return
        call.answered = True
        self._record(EventKind.ESTABLISHED, call.call_id, call.server)
        self._write(call.connection, self._answer_line(call.call_id))
        call.timer = self.loop.call_later(
            self.rng.expovariate(1 / self.traits.hold_s) + 0.3, self._end_call, call
        )

    def _answer_line(self, call_id: str) -> bytes:
        return f'{{"t":"up","ref":"{call_id}","f":{{}},"d":"{self.id} {call_id}\\r\\n"}}\n'.encode()

    def _end_call(self, call: _Call) -> None:
        """End a call on this side; its release is sent now, after a cut-off, or on the next connection."""
        self.calls.pop(call.call_id, None)
        self._record(EventKind.CALL_ENDED, call.call_id, call.server, CAUSE_NORMAL)
        self._send_release(call)

    def _send_release(self, call: _Call) -> None:
        if call.server in self.frozen:
            self.loop.call_later(0.05, self._send_release, call)
            return
        release = lines.release(call.call_id, CAUSE_NORMAL)
        self.unsent_releases[call.server][call.call_id] = release  # sent again on the next connection
        other_connections = [peer.connection for peer in self.peers.values() if peer.server == call.server]
        for connection in (call.connection, *other_connections):
            if self._write(connection, release, self._release_recorder(call.call_id, call.server)):
                return

    def _release_received(self, peer: _Peer, line: lines.Line) -> None:
        call = self.calls.get(line.call_id)
        self._record(EventKind.RELEASED_BY_SERVER, line.call_id, peer.server, line.cause or 0)
        if call is not None:
            self._remove_call(
                call, DELAYED_READ if self._may_be_delayed(peer) else "released by the call server"
            )

    def _may_be_delayed(self, peer: _Peer) -> bool:
        """Whether data read now may have been sent much earlier, so that its time tells nothing about the server."""
        since = self.resumed_at if not self.traits.max_serve_delay_s else max(self.resumed_at, peer.served_at)
        return self.loop.time() - since < DELAYED_READ_S

    def _remove_call(self, call: _Call, reason: str, cause: int = 0) -> None:
        if call.timer is not None:
            call.timer.cancel()
        self.calls.pop(call.call_id, None)
        if not call.answered:
            self._record(EventKind.ATTEMPT_ENDED, call.call_id, call.server, cause, reason)

    def _record(self, kind: EventKind, call_id: str, server: str, cause: int = 0, detail: str = "") -> None:
        self.records.add(Record(self.loop.time(), kind, call_id, server, self.id, cause, detail))
