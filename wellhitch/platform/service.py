"""One running call server on the platform: the core with its shell, on a loop and a network, real or emulated."""

import asyncio
from collections import Counter
from collections.abc import Callable, Hashable
from typing import Any, Protocol

from wellhitch.board.codec import Notice
from wellhitch.net.seam import Network, Sender, Timer, now_us
from wellhitch.office_lines.codec import Line
from wellhitch.platform.callers import CallerConnection, CallerConnections
from wellhitch.platform.configuration import Told
from wellhitch.platform.core import Core
from wellhitch.platform.discovery import DiscoveryClient
from wellhitch.platform.offices import OfficeLink, OfficeLinks
from wellhitch.platform.records import DialOut, OfficeEnd
from wellhitch.platform.shutdown import Phase, nothing_left, shutdown_schedule
from wellhitch.sip.codec import Message

WORD_BYTES = 256  # of a datagram: a longer one is against the platform's rules
STOP_LOOK_S = 0.01  # between looks at what is left while stopping
STATUS_S = 5.0  # between lines of the log on how things stand
SPARE = 16  # descriptors for the listener, the board, datagrams, standard streams, the loop, files read at signals


class Log(Protocol):
    """Takes one event of the log with its facts."""

    def __call__(self, event: str, **facts: Any) -> None: ...


# Connections that may wait to be taken: one of a burst that finds no place is tried again after a second, and what was
# sent on it waits as long. They take no descriptor yet.
WAITING = 1024
# Turns of the loop from taking a connection until no more are taken, or one that it puts out is closed: accept, task,
# made, two to read, choose, lost; and three to spare, since a limit on descriptors that is met once stops the taking of
# connections for a second.
TURNS = 10
TAKEN_A_TURN = 40  # of the descriptors, one in so many may be taken in one turn of the loop
MOST_TAKEN_A_TURN = 32
NEW_SHARE = 16  # of the descriptors, one in so many is for connections that have just come up


def shares(sockets: int) -> tuple[int, int, int]:
    """Of so many descriptors: those for callers, those for links to offices, and how many connections are taken in one
    turn of the loop. An eighth for offices, at most a quarter for what is taken before it is counted or closed after,
    and the room for new ones. Callers of the platform hold no more than a third, and get what is left."""
    offices, at_once = sockets // 8, min(MOST_TAKEN_A_TURN, max(1, sockets // TAKEN_A_TURN))
    return sockets - offices - TURNS * at_once - room_for_new(sockets) - SPARE, offices, at_once


def room_for_new(sockets: int) -> int:
    """How many more connections from callers there may be for the moment in which a new one says its first message."""
    return sockets // NEW_SHARE


class Service:
    """The call server. `unix_now`: the wall clock in us; `ended` is called once it has stopped."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        told: Told,
        unix_now: Callable[[], int],
        log: Log,
        ended: Callable[[], None],
    ) -> None:
        self.loop, self.network, self.told, self.write_log, self.ended = loop, network, told, log, ended
        for_callers, for_offices, _ = shares(told.sockets)
        self.core = Core(told.opened, told.max_open, unix_now() - now_us(loop), self)
        self.counts: Counter[str] = self.core.counts
        self.callers = CallerConnections(
            loop, network, self, for_callers, room_for_new(told.sockets), self.counts
        )
        self.links = OfficeLinks(loop, network, self, told.connect_within / 1e6, for_offices, self.counts)
        self.discovery = DiscoveryClient(
            loop, network, told.place.board, told.number, self._told, log, self.counts
        )
        self.peers = {address: at for at, address in enumerate(told.place.peers)}
        self.sender: Sender | None = None
        self.stopping = False
        self._stop_at = 0
        self._schedule = shutdown_schedule(0)

    # ---- its life ----

    def start(self) -> None:
        """Learn the list, reach the offices, listen, follow the board."""
        self.write_log(
            "started", name=self.told.place.name, number=self.core.number, seed=self.told.opened.seed
        )
        self.core.start(self.told.known, self.now())
        self.discovery.start()
        if self.told.place.peer_listen:
            self.network.datagrams(self.told.place.peer_listen, self._datagram, self._may_send)
        self.callers.listen(
            self.told.place.listen, lambda: self.write_log("listening", address=self.told.place.listen)
        )
        self.loop.call_later(STATUS_S, self._status)

    def reconfigured(self, told: Told) -> None:
        """SIGHUP: the configuration was read again. Only the board's address is followed; nothing in flight is
        touched."""
        if told.place.board != self.discovery.address:
            self.discovery.move(told.place.board)

    def stop(self) -> None:
        """SIGTERM: drain, answer all that is owed, close every connection, and end before SIGKILL can come. Calls that
        are up are not cut."""
        if self.stopping:
            return
        self.stopping = self.core.stopping = True
        longest = max(use_case.deadline for use_case in self.told.opened.traffic_classes)
        self._schedule = shutdown_schedule(longest)
        self._stop_at = self.now()
        self.write_log(
            "stopping", owed=self.core.owed, standing=len(self.core.calls), ends_by_us=self._schedule.end_at
        )
        self.loop.call_later(self._schedule.drain_at / 1e6, self._drain)

    def _drain(self) -> None:
        if not self.core.draining:
            self.core.draining = True
            self.write_log(
                "draining", owed=self.core.owed, standing=len(self.core.calls), callers=self.callers.open
            )
        closing = self._schedule.phase(self.now() - self._stop_at) is Phase.CLOSING
        if closing or nothing_left(self.core.owed, len(self.core.calls), self.callers.open):
            self._close()
            return
        self.callers.close_unused()
        self.loop.call_later(STOP_LOOK_S, self._drain)

    def _close(self) -> None:
        if self.core.owed:
            self.counts["stop.forfeited"] += self.core.owed
        self.core.forfeit_all(self.now())
        # A release that came from here on could be told to nobody, and the next process would not get it again.
        self.links.read_no_more()
        self.callers.close()
        self._end_when_closed()

    def _end_when_closed(self) -> None:
        if self.callers.open and self.now() - self._stop_at < self._schedule.end_at:
            self.loop.call_later(STOP_LOOK_S, self._end_when_closed)
            return
        self.write_log(
            "stopped", standing=len(self.core.calls), open=self.callers.open, counts=dict(self.counts)
        )
        self.discovery.stop()
        if self.sender is not None:
            self.sender.close()
        self.callers.abort_all()
        self.loop.call_soon(self.ended)

    def now(self) -> int:
        """The loop's time in us."""
        return now_us(self.loop)

    def _status(self) -> None:
        self.loop.call_later(STATUS_S, self._status)
        self.write_log("status", **self.status())

    def status(self) -> dict[str, Any]:
        """What is believed now, for people and for holding it against the sockets."""
        core = self.core
        offices = {
            office.id: {
                "number": office.number,
                "standing": office.state.name.lower(),
                "free": office.free_circuits,
                "size": office.group_size,
                "price": round(office.price, 3),
                "links": len(self.links.pools[end].up) if end in self.links.pools else 0,
                "out": len(end.dials),
                "calls": len(end.calls),
            }
            for end in core.offices.values()
            if (office := core.exchange.offices.get(end.id)) is not None
        }
        return {
            "owed": core.owed,
            "held": len(core.exchange.dialogues),
            "standing": len(core.calls),
            "callers": self.callers.open,
            "releases": len(core.releases),
            "releases_again": core.releases.again,
            "releases_dropped": core.releases.dropped,
            "own_price": round(core.exchange.own_price, 3),
            "revision": self.discovery.revision,
            "offices": offices,
            "counts": dict(core.counts),
        }

    # ---- the core's outlet ----

    def to_caller(self, link: Hashable, data: bytes) -> bool:
        """As `core.Outlet`."""
        return isinstance(link, CallerConnection) and link.write(data)

    def close_caller(self, link: Hashable) -> None:
        """As `core.Outlet`."""
        if isinstance(link, CallerConnection):
            link.close("refused request")

    def dial(self, dial: DialOut, line: bytes) -> None:
        """As `core.Outlet`."""
        self.links.pool(dial.office).dial(dial, line)

    def undial(self, dial: DialOut) -> bool:
        """As `core.Outlet`."""
        pool = self.links.pools.get(dial.office)
        return pool is not None and pool.undial(dial)

    def to_office(self, end: OfficeEnd, line: bytes, near: object | None) -> None:
        """As `core.Outlet`."""
        self.links.pool(end).send(line, near)

    def keep_links(self, end: OfficeEnd) -> None:
        """As `core.Outlet`."""
        self.links.pool(end).keep()

    def unsent_stays(self, end: OfficeEnd) -> None:
        """As `core.Outlet`."""
        pool = self.links.pools.get(end)
        if pool is not None:
            pool.unsent_stays()

    def rest_links(self, end: OfficeEnd) -> None:
        """As `core.Outlet`."""
        pool = self.links.pools.get(end)
        if pool is not None:
            pool.drop(False)

    def drop_links(self, end: OfficeEnd, now: bool) -> None:
        """As `core.Outlet`."""
        self.links.drop(end, now)

    def test(self, end: OfficeEnd, link: Hashable, line: bytes) -> None:
        """As `core.Outlet`."""
        if isinstance(link, OfficeLink):
            link.test(line)

    def open_another(self, end: OfficeEnd) -> None:
        """As `core.Outlet`."""
        self.links.pool(end).open_another()

    def tell_peers(self, text: bytes) -> None:
        """As `core.Outlet`."""
        if self.sender is not None and self.told.place.peers_all and len(text) <= WORD_BYTES:
            self.sender.send(text, self.told.place.peers_all)
            self.counts["words_sent"] += 1

    def timer(self, after: int, ring: Callable[[int], None]) -> Timer:
        """As `core.Outlet`."""
        return self.loop.call_later(after / 1e6, self._ring, ring)

    def _ring(self, ring: Callable[[int], None]) -> None:
        ring(self.now())

    def log(self, event: str, **facts: Any) -> None:
        """As `core.Outlet`."""
        self.write_log(event, **facts)

    # ---- what comes ----

    def message_received(self, connection: CallerConnection, message: Message) -> None:
        """As `callers.CallerEvents`."""
        self.core.caller_said(connection, message, self.now())

    def connection_closing(self, connection: CallerConnection) -> None:
        """As `callers.CallerEvents`."""
        self.core.caller_closing(connection, self.now())

    def connection_closed(self, connection: CallerConnection) -> None:
        """As `callers.CallerEvents`."""
        self.core.caller_closed(connection, self.now())

    def set_ups_on(self, connection: CallerConnection) -> int:
        """As `callers.CallerEvents`."""
        return self.core.open_on(connection)

    def calls_on(self, connection: CallerConnection) -> int:
        """As `callers.CallerEvents`."""
        return self.core.standing_on(connection)

    def office_heard(self, end: OfficeEnd, link: OfficeLink) -> None:
        """As `offices.Hears`."""
        self.core.office_heard(end, link, self.now())

    def office_said(self, end: OfficeEnd, link: OfficeLink, line: Line) -> None:
        """As `offices.Hears`."""
        self.core.office_said(end, link, line, self.now())

    def dial_lost(self, dial: DialOut, reached: bool) -> None:
        """As `offices.Hears`."""
        self.core.dial_lost(dial, reached, self.now())

    def office_refuses(self, end: OfficeEnd) -> None:
        """As `offices.Hears`."""
        self.core.office_refuses(end)

    def office_reached(self, end: OfficeEnd, link: OfficeLink) -> None:
        """As `offices.Hears`."""
        self.core.office_reached(end, link, self.now())

    def office_lost(self, end: OfficeEnd, link: OfficeLink) -> None:
        """As `offices.Hears`."""
        self.core.office_lost(end, link)

    def _told(self, notice: Notice) -> None:
        self.core.listed(notice, self.now())

    def _may_send(self, sender: Sender) -> None:
        self.sender = sender

    def _datagram(self, data: bytes, address: str) -> None:
        peer = self.peers.get(address)
        if peer is None or len(data) > WORD_BYTES:
            self.counts["strays.datagram"] += 1
            return
        self.core.word(peer, data, self.now())
