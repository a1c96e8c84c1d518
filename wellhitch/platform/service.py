"""One running call server of the platform: the core, its connections and its timers on a real or emulated network."""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Hashable
from typing import Any, Protocol

from wellhitch.board.codec import Update
from wellhitch.net.transport import DatagramSender, Network, Timer, now_us
from wellhitch.office_lines.codec import Line
from wellhitch.platform.caller_connection import CallerConnection
from wellhitch.platform.callers import CallerConnections
from wellhitch.platform.configuration import Configuration
from wellhitch.platform.core import Core
from wellhitch.platform.discovery import DiscoveryClient
from wellhitch.platform.offices import OfficeConnection, OfficeConnections
from wellhitch.platform.records import OfficeRecord, PendingDial
from wellhitch.platform.shutdown import Phase, nothing_left, shutdown_schedule
from wellhitch.sip.codec import Message

MAX_PEER_MESSAGE_BYTES = 256  # of one datagram, set by the platform's rules
SHUTDOWN_POLL_S = 0.01  # between checks whether a shutdown can go on
STATUS_INTERVAL_S = 5.0  # between status lines in the log
# For the listener, discovery, datagrams, standard streams, the event loop and files read on signals.
RESERVED_DESCRIPTORS = 16


class Log(Protocol):
    """Writes one event and its fields to the log."""

    def __call__(self, event: str, **facts: Any) -> None: ...


# Connections the kernel holds until they are accepted; they use no descriptor yet. A connection of a burst that does
# not fit is retried after a second, which delays the data sent on it by as much.
ACCEPT_BACKLOG = 1024
# Turns of the loop from accepting a connection until accepting stops or the connection it displaces is closed: accept,
# task, connection_made, two to read, eviction, connection_lost. Three more are in reserve, because reaching the limit
# on descriptors once stops accepting for a second.
ACCEPT_TURNS = 10
DESCRIPTORS_PER_ACCEPT = 40  # one connection is accepted in one turn of the loop for each so many descriptors
MAX_ACCEPTS_PER_TURN = 32
DESCRIPTORS_PER_NEW_CONNECTION = 16  # one new connection is held above the limit for each so many descriptors


def descriptor_shares(max_descriptors: int) -> tuple[int, int, int]:
    """Divide the descriptors: how many are for callers, how many for connections to offices, and how many connections
    are accepted in one turn of the loop.

    Offices get an eighth. At most a quarter is for connections that are accepted before they are counted or are still
    being closed. Callers get the rest less the capacity for new connections; those of the platform need no more than a
    third."""
    offices, accepts_per_turn = (
        max_descriptors // 8,
        min(MAX_ACCEPTS_PER_TURN, max(1, max_descriptors // DESCRIPTORS_PER_ACCEPT)),
    )
    return (
        max_descriptors
        - offices
        - ACCEPT_TURNS * accepts_per_turn
        - new_connection_capacity(max_descriptors)
        - RESERVED_DESCRIPTORS,
        offices,
        accepts_per_turn,
    )


def new_connection_capacity(max_descriptors: int) -> int:
    """How many connections from callers are allowed above the limit until each new one has sent its first message."""
    return max_descriptors // DESCRIPTORS_PER_NEW_CONNECTION


class Service:
    """The call server. `unix_now` is the wall clock in us; `on_stopped` is called once it has stopped."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        configuration: Configuration,
        unix_now: Callable[[], int],
        log: Log,
        on_stopped: Callable[[], None],
    ) -> None:
        self.loop, self.network, self.configuration, self.write_log, self.on_stopped = (
            loop,
            network,
            configuration,
            log,
            on_stopped,
        )
        for_callers, for_offices, _ = descriptor_shares(configuration.max_descriptors)
        self.core = Core(
            configuration.server_started, configuration.max_open, unix_now() - now_us(loop), self
        )
        self.counts: Counter[str] = self.core.counts
        self.callers = CallerConnections(
            loop,
            network,
            self,
            for_callers,
            new_connection_capacity(configuration.max_descriptors),
            self.counts,
        )
        self.office_connections = OfficeConnections(
            loop, network, self, configuration.connect_timeout_us / 1e6, for_offices, self.counts
        )
        self.discovery = DiscoveryClient(
            loop,
            network,
            configuration.addresses.discovery,
            configuration.revision,
            self._discovery_update,
            log,
            self.counts,
        )
        self.peers = {address: index for index, address in enumerate(configuration.addresses.peers)}
        self.sender: DatagramSender | None = None
        self.stopping = False
        self._stop_at = 0
        self._schedule = shutdown_schedule(0)

    # ---- start and shutdown ----

    def start(self) -> None:
        """Load the known offices, connect to them and to discovery, and listen for callers and peers."""
        self.write_log(
            "started",
            name=self.configuration.addresses.name,
            number=self.core.number,
            seed=self.configuration.server_started.seed,
        )
        self.core.start(self.configuration.known_updates, self.now())
        self.discovery.start()
        if self.configuration.addresses.peer_listen:
            self.network.open_datagrams(
                self.configuration.addresses.peer_listen, self._datagram_received, self._sender_ready
            )
        self.callers.listen(
            self.configuration.addresses.listen,
            lambda: self.write_log("listening", address=self.configuration.addresses.listen),
        )
        self.loop.call_later(STATUS_INTERVAL_S, self._log_status)

    def reconfigure(self, configuration: Configuration) -> None:
        """Apply a configuration that was read again on SIGHUP. Only a new address of discovery takes effect; dials and
        calls are not affected."""
        if configuration.addresses.discovery != self.discovery.address:
            self.discovery.change_address(configuration.addresses.discovery)

    def stop(self) -> None:
        """Shut down on SIGTERM: drain, answer every pending set-up, close every connection, and end before SIGKILL can
        come. Established calls are not released."""
        if self.stopping:
            return
        self.stopping = self.core.stopping = True
        longest = max(
            traffic_class.deadline for traffic_class in self.configuration.server_started.traffic_classes
        )
        self._schedule = shutdown_schedule(longest)
        self._stop_at = self.now()
        self.write_log(
            "stopping",
            owed=self.core.unanswered,
            standing=len(self.core.calls),
            ends_by_us=self._schedule.end_at,
        )
        self.loop.call_later(self._schedule.drain_at / 1e6, self._drain)
        self._read_offices_while_callers_can_be_notified()

    def _read_offices_while_callers_can_be_notified(self) -> None:
        """While stopping, leave the releases of offices unread as long as no caller could be notified of them."""
        if not self.stopping:
            return
        if self.core.releases.connections:
            self.office_connections.resume_reading()
        else:
            self.office_connections.pause_reading()

    def _drain(self) -> None:
        if not self.core.draining:
            self.core.draining = True
            self.write_log(
                "draining",
                owed=self.core.unanswered,
                standing=len(self.core.calls),
                callers=self.callers.open,
            )
        closing = self._schedule.phase(self.now() - self._stop_at) is Phase.CLOSING
        if closing or nothing_left(self.core.unanswered, self.callers.open):
            self._close()
            return
        self.callers.close_unused()
        self.loop.call_later(SHUTDOWN_POLL_S, self._drain)

    def _close(self) -> None:
        if self.core.unanswered:
            self.counts["stop.forfeited"] += self.core.unanswered
        self.core.fail_all(self.now())
        # A release read from here on could not be sent to its caller, and would be lost to the next process.
        self.office_connections.stop_reading()
        self.callers.close()
        self._end_when_closed()

    def _end_when_closed(self) -> None:
        if self.callers.open and self.now() - self._stop_at < self._schedule.end_at:
            self.loop.call_later(SHUTDOWN_POLL_S, self._end_when_closed)
            return
        self.write_log(
            "stopped",
            standing=len(self.core.calls),
            releases=len(self.core.releases),
            open=self.callers.open,
            counts=dict(self.counts),
        )
        self.discovery.stop()
        if self.sender is not None:
            self.sender.close()
        self.callers.abort_all()
        self.loop.call_soon(self.on_stopped)

    def now(self) -> int:
        """The loop's time in us."""
        return now_us(self.loop)

    def _log_status(self) -> None:
        self.loop.call_later(STATUS_INTERVAL_S, self._log_status)
        self.write_log("status", **self.status())

    def status(self) -> dict[str, Any]:
        """The current state of calls, offices, connections and counters, for operators."""
        core = self.core
        offices = {
            office.id: {
                "number": office.number,
                "standing": office.state.name.lower(),
                "free": office.free_circuits,
                "size": office.group_size,
                "price": round(office.price, 3),
                "links": len(self.office_connections.pools[record].connected)
                if record in self.office_connections.pools
                else 0,
                "out": len(record.dials),
                "calls": len(record.calls),
            }
            for record in core.offices.values()
            if (office := core.exchange.offices.get(record.id)) is not None
        }
        return {
            "owed": core.unanswered,
            "held": len(core.exchange.dialogues),
            "standing": len(core.calls),
            "callers": self.callers.open,
            "releases": len(core.releases),
            "releases_again": core.releases.resent,
            "releases_dropped": core.releases.dropped,
            "own_price": round(core.exchange.own_price, 3),
            "revision": self.discovery.revision,
            "offices": offices,
            "counts": dict(core.counts),
        }

    # ---- ServerIO: what the core asks for ----

    def send_to_caller(self, connection: Hashable, data: bytes) -> bool:
        """See `ServerIO`."""
        return isinstance(connection, CallerConnection) and connection.write(data)

    def has_left(self, connection: Hashable) -> bool:
        """See `ServerIO`."""
        return not isinstance(connection, CallerConnection) or connection.has_left()

    def close_caller_connection(self, connection: Hashable) -> None:
        """See `ServerIO`."""
        if isinstance(connection, CallerConnection):
            connection.close("refused request")

    def send_dial(self, dial: PendingDial, line: bytes) -> bool:
        """See `ServerIO`."""
        return self.office_connections.pool(dial.office).send_dial(dial, line)

    def withdraw_dial(self, dial: PendingDial) -> bool:
        """See `ServerIO`."""
        pool = self.office_connections.pools.get(dial.office)
        return pool is not None and pool.withdraw_dial(dial)

    def is_connected(self, office: OfficeRecord) -> bool:
        """See `ServerIO`."""
        pool = self.office_connections.pools.get(office)
        return pool is not None and any(connection.writable for connection in pool.connected)

    def is_open(self, connection: Hashable) -> bool:
        """See `ServerIO`."""
        return isinstance(connection, OfficeConnection) and connection.transport is not None

    def send_to_office(
        self, office: OfficeRecord, line: bytes, preferred: Hashable | None
    ) -> Hashable | None:
        """See `ServerIO`."""
        return self.office_connections.pool(office).send(line, preferred)

    def keep_connection(self, office: OfficeRecord) -> None:
        """See `ServerIO`."""
        self.office_connections.pool(office).keep_connection()

    def discard_unsent(self, office: OfficeRecord) -> None:
        """See `ServerIO`."""
        pool = self.office_connections.pools.get(office)
        if pool is not None:
            pool.discard_unsent()

    def close_idle_connections(self, office: OfficeRecord) -> None:
        """See `ServerIO`."""
        pool = self.office_connections.pools.get(office)
        if pool is not None:
            pool.close(False)

    def drop_connections(self, office: OfficeRecord, now: bool) -> None:
        """See `ServerIO`."""
        self.office_connections.drop(office, now)

    def send_test(self, office: OfficeRecord, connection: Hashable, line: bytes) -> None:
        """See `ServerIO`."""
        if isinstance(connection, OfficeConnection):
            connection.send_test(line)

    def open_another(self, office: OfficeRecord) -> None:
        """See `ServerIO`."""
        self.office_connections.pool(office).open_another()

    def send_to_peers(self, text: bytes) -> None:
        """See `ServerIO`."""
        if (
            self.sender is not None
            and self.configuration.addresses.peers_all
            and len(text) <= MAX_PEER_MESSAGE_BYTES
        ):
            self.sender.send(text, self.configuration.addresses.peers_all)
            self.counts["words_sent"] += 1

    def start_timer(self, delay: int, callback: Callable[[int], None]) -> Timer:
        """See `ServerIO`."""
        return self.loop.call_later(delay / 1e6, self._timer_fired, callback)

    def _timer_fired(self, callback: Callable[[int], None]) -> None:
        callback(self.now())

    def log(self, event: str, **facts: Any) -> None:
        """See `ServerIO`."""
        self.write_log(event, **facts)

    # ---- events of connections, discovery and peers ----

    def message_received(self, connection: CallerConnection, message: Message) -> None:
        """See `CallerEvents`."""
        self.core.caller_message(connection, message, self.now())
        self._read_offices_while_callers_can_be_notified()

    def connection_closing(self, connection: CallerConnection) -> None:
        """See `CallerEvents`."""
        self.core.caller_closing(connection, self.now())

    def connection_closed(self, connection: CallerConnection) -> None:
        """See `CallerEvents`."""
        self.core.caller_closed(connection, self.now())
        self._read_offices_while_callers_can_be_notified()

    def set_ups_on(self, connection: CallerConnection) -> int:
        """See `CallerEvents`."""
        return self.core.pending_on(connection)

    def calls_on(self, connection: CallerConnection) -> int:
        """See `CallerEvents`."""
        return self.core.established_on(connection)

    def connections_for_ends(self) -> Collection[Hashable]:
        """See `CallerEvents`."""
        return self.core.established.connections_for_ends()

    def office_bytes_received(self, office: OfficeRecord, connection: OfficeConnection) -> None:
        """See `OfficeEvents`."""
        self.core.office_bytes_received(office, connection, self.now())

    def office_line_received(self, office: OfficeRecord, connection: OfficeConnection, line: Line) -> None:
        """See `OfficeEvents`."""
        self.core.office_line_received(office, connection, line, self.now())

    def dial_connection_lost(self, dial: PendingDial, sent: bool) -> None:
        """See `OfficeEvents`."""
        self.core.dial_connection_lost(dial, sent, self.now())

    def office_refused_connection(self, office: OfficeRecord) -> None:
        """See `OfficeEvents`."""
        self.core.office_refused_connection(office)

    def office_connected(self, office: OfficeRecord, connection: OfficeConnection) -> None:
        """See `OfficeEvents`."""
        self.core.office_connected(office, connection, self.now())

    def office_connection_lost(self, office: OfficeRecord, connection: OfficeConnection) -> None:
        """See `OfficeEvents`."""
        is_listed = self.office_connections.pools.get(office) is connection.pool
        self.core.office_connection_lost(office, connection, is_listed, self.now())

    def _discovery_update(self, update: Update) -> None:
        self.core.discovery_update(update, self.now())

    def _sender_ready(self, sender: DatagramSender) -> None:
        self.sender = sender

    def _datagram_received(self, data: bytes, address: str) -> None:
        peer = self.peers.get(address)
        if peer is None or len(data) > MAX_PEER_MESSAGE_BYTES:
            self.counts["strays.datagram"] += 1
            return
        self.core.peer_message_received(peer, data, self.now())
