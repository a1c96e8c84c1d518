"""The shell of a call server: its listeners, links and timers. It decides nothing; `Switch` is told what came."""

import asyncio
import random
import re
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, cast

import msgspec

from wellhitch.hooks.grammar import Parser
from wellhitch.hooks.host import CANARY_BUCKETS, Hooks, Version, load_version
from wellhitch.hooks.state_file import decode_state, encode_state
from wellhitch.hooks.tree import InvalidHooks
from wellhitch.interface import events as ev
from wellhitch.ledger.service import SettlementService
from wellhitch.net.transport import Listener, Network, now_us
from wellhitch.server.hook_runner import NO_CLOCK, Hooked, WallClock
from wellhitch.server.metrics import exposition
from wellhitch.server.switch import Outlet, Switch
from wellhitch.settings.checked import InvalidSettings
from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel, PersistentChannel

MAX_LINE = (
    2_000  # bytes of an operator's request: a correction with who and why of 200 characters has up to 1,700
)
ASK_WITHIN_S = 10.0  # for an operator to ask and to read the answer; over loopback a moment is enough
MOST_LINKS = (
    500  # from callers and peers together: half of the 1,024 descriptors that a process has by default; the
)
# others are for its own links to offices, guides and peers, and for files
STOP_EVERY = 0.02  # s between looks at what is still owed while stopping


class Log(Protocol):
    """Takes one event of the log with its facts."""

    def __call__(self, event: str, **facts: Any) -> None: ...


MakeDesk = Callable[[asyncio.AbstractEventLoop, Callable[[int, bytes], bool], Log], SettlementService]


@dataclass(frozen=True, slots=True)
class Doors:
    """Where a call server listens and whom it follows, as host:port; empty for none."""

    callers: str
    peers: str
    operators: str
    register: str
    centre: str


class Daemon:
    """One running call server on a loop and a network, real or emulated."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        opened: ev.ServerStarted,
        doors: Doors,
        max_open: int,
        boot: int,
        log: Log,
        make_switch: Callable[[ev.ServerStarted, int, Outlet], Switch] = Switch,
        hooks: Mapping[str, str] | None = None,
        clock: WallClock = NO_CLOCK,
        reread: Callable[[], Mapping[str, str]] | None = None,
        ledger: MakeDesk | None = None,
    ) -> None:
        self.loop, self.network, self.doors, self.write_log = loop, network, doors, log
        self.chance = random.Random(opened.seed ^ boot)
        self.switch = make_switch(opened, max_open, self)
        self.switch.life = boot % (1 << 30)
        self.hello = frames.Hello("call_server", self.switch.number, boot)
        self.callers = _Callers(self)
        self.peers_in = _Peers(self)
        self.guides = _Guides(self)
        self.offices: dict[str, _OfficeLink] = {}
        self.peer_links: dict[str, PersistentChannel] = {}
        self.peer_numbers: dict[int, str] = {}
        self.peers_here: dict[int, Channel] = {}
        self.listeners: dict[str, Listener] = {}
        self.kept: list[PersistentChannel] = []
        self.ports: dict[Channel, None] = {}
        self.operators: dict[asyncio.Transport, None] = {}
        self.reread = reread
        self.parser: Parser | None = None
        self.past: list[Version] = []
        if hooks:
            self.parser = Parser()
            use_cases = frozenset(use.name for use in opened.traffic_classes)
            made = Hooks(load_version(hooks, self.parser), use_cases, log, self.switch.counts)
            self.switch.hooked = Hooked(made, self.switch.exchange, self.switch.number, clock)
        self.tells = opened.permissions.may_message_peers and not opened.topology.has_centre
        self.stopped = False
        self.desk = ledger(loop, self.ledger_send, log) if ledger else None
        self.switch.witness = self.desk

    def start(self) -> None:
        """Listen, follow the register, begin to decide."""
        self.write_log(
            "started", number=self.switch.number, boot=self.hello.boot, seed=self.switch.opened.seed
        )
        if self.desk:
            self.desk.start()
        self.switch.start(self.now())
        self._listen("callers", self.doors.callers, lambda: self._port(self.callers, ("caller",)))
        if self.doors.peers:
            self._listen("peers", self.doors.peers, lambda: self._port(self.peers_in, ("call_server",)))
        if self.doors.operators:
            self._listen("operators", self.doors.operators, lambda: _Operator(self))
        for address, role in ((self.doors.register, "register"), (self.doors.centre, "centre")):
            if address:
                self.kept.append(
                    PersistentChannel(
                        self.loop,
                        self.network,
                        address,
                        self.guides,
                        self.hello,
                        (role,),
                        self._fork(address),
                    )
                )

    def ledger_closed(self) -> None:
        """All of the ledger that waited is on disk."""

    def now(self) -> int:
        """The loop's time in us."""
        return now_us(self.loop)

    def _fork(self, what: str) -> random.Random:
        """A generator of its own for each link, so that none disturbs another's draws."""
        return random.Random(f"{self.switch.opened.seed} {self.hello.boot} {what}")

    def _port(self, owner: Any, takes: tuple[str, ...]) -> Channel:
        port: Channel
        port = Channel(self.loop, owner, self.hello, takes, on_closed=lambda why: self.ports.pop(port, None))
        if len(self.ports) >= MOST_LINKS:
            # Guards the links that stand, and those that this call server itself must open, against one too many.
            port.refusal_reason = f"{MOST_LINKS} links stand here already"
            self.switch.counts["links_refused"] += 1
        else:
            self.ports[port] = None
        return port

    def _listen(self, what: str, address: str, factory: Callable[[], asyncio.BufferedProtocol]) -> None:
        def ready(listener: Listener) -> None:
            self.listeners[what] = listener
            self.write_log("listening", what=what, address=listener.address)

        self.network.listen(address, factory, ready)

    def stop(self, within: int, done: Callable[[], None]) -> None:
        """Take nothing more, wait `within` us at most for what is owed, then close all links."""
        owed = self.switch.stop(self.now())
        self.write_log("stopping", owed=owed)
        until = self.now() + within

        def look() -> None:
            if self.switch.owed and self.now() < until:
                self.loop.call_later(STOP_EVERY, look)
                return
            self.write_log("stopped", owed=self.switch.owed)
            self.kill()
            done()

        look()

    def kill(self) -> None:
        """Close everything at once, whatever is owed."""
        self.stopped = self.switch.stopping = True
        if self.desk:
            self.desk.close(self.ledger_closed)
        for listener in self.listeners.values():
            listener.close()
        for link in [
            *self.kept,
            *self.peer_links.values(),
            *(office.link for office in self.offices.values()),
        ]:
            link.close()
        for port in list(self.ports):
            port.close()
        for transport in list(self.operators):
            transport.close()

    # -- Outlet --

    def to_caller(self, link: Hashable, frame: frames.AnyFrame) -> bool:
        """As `Outlet`."""
        return cast(Channel, link).send(frame)

    def to_office(self, office: str, frame: frames.AnyFrame) -> bool:
        """As `Outlet`."""
        port = self._office_port(office)
        return port.send(frame) if port else False

    def _office_port(self, office: str) -> Channel | None:
        kept = self.offices.get(office)
        return kept.link.current if kept else None

    def withdraw(self, office: str, which: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        """As `Outlet`."""
        port = self._office_port(office)
        return port.withdraw(which) if port else []

    def mark(self, office: str) -> int:
        """As `Outlet`."""
        port = self._office_port(office)
        return port.send_mark() if port else 0

    def marked(self, office: str, n: int) -> bool:
        """As `Outlet`."""
        port = self._office_port(office)
        return port is None or port.mark_confirmed(n)

    def reset(self, office: str, why: str) -> None:
        """As `Outlet`."""
        port = self._office_port(office)
        if port:
            port.fail(why, notify_peer=False)

    def keep_link(self, office: str, address: str) -> None:
        """As `Outlet`."""
        if office not in self.offices and not self.stopped:
            self.offices[office] = _OfficeLink(self, office, address)

    def drop_link(self, office: str) -> None:
        """As `Outlet`."""
        kept = self.offices.pop(office, None)
        if kept:
            kept.link.close()
            self.switch.office_down(office, "gone from the list", self.now())

    def tell_peers(self, text: bytes) -> None:
        """As `Outlet`."""
        word = frames.PeerMessage(text)
        for kept in self.peer_links.values():
            if kept.current:
                kept.current.send(word)

    def timer(self, after: int, ring: Callable[[int], None]) -> asyncio.TimerHandle:
        """As `Outlet`."""
        return self.loop.call_later(after / 1e6, self._ring, ring)

    def _ring(self, ring: Callable[[int], None]) -> None:
        if not self.stopped:
            ring(self.now())

    def log(self, event: str, **facts: Any) -> None:
        """As `Outlet`."""
        self.write_log(event, **facts)

    # -- what the register names --

    def follow_peers(self, lines: list[frames.OfficeListEntry]) -> None:
        """Keep a link to each peer that the list names, where words are told at all or a ledger is kept."""
        if not self.tells and not self.desk:
            return
        for line in lines:
            address = line.peer_address
            if address:
                before = self.peer_numbers.get(line.number, address)
                self.peer_numbers[line.number] = address
                if before != address and before in self.peer_links:
                    # Guards against links to where a peer was, each tried for ever.
                    self.peer_links.pop(before).close()
            if line.number != self.switch.number and address and address not in self.peer_links:
                self.peer_links[address] = PersistentChannel(
                    self.loop,
                    self.network,
                    address,
                    self.peers_in,
                    self.hello,
                    ("call_server",),
                    self._fork(address),
                )

    def ledger_send(self, to: int, data: bytes) -> bool:
        """Carry a message of the ledger's to another call server; False where no link stands. One that is lost is
        asked for again."""
        kept = self.peer_links.get(self.peer_numbers.get(to, ""))
        port = (kept.current if kept else None) or self.peers_here.get(to)
        return port.send(frames.LedgerMessage(data)) if port else False

    def ledger_asked(self, what: str) -> str:
        """An operator's word about the ledger: `close PERIOD` states it early, `correct DIALOGUE US WHO WHY` (names and
        reasons without blanks, or quoted), `snapshot NAME`; else how it is."""
        if self.desk is None:
            return "no ledger: the sheet names none"
        try:
            return self.desk.run_command(what)
        except ValueError as fault:
            return f"not done: {fault}"

    def hooks_state(self) -> bytes:
        """What hooks remember, for a file."""
        hooked = self.switch.hooked
        return encode_state(hooked.hooks.states, self.now()) if hooked else b""

    def take_hooks_state(self, data: bytes) -> None:
        """Take what an earlier process remembered; what is damaged or too large is dropped with a word in the log."""
        if self.switch.hooked:
            kept, words = decode_state(data, self.now())
            self.switch.hooked.hooks.states.update(kept)
            for word in words:
                self.switch.counts["hooks_state_dropped"] += 1
                self.write_log("hooks_state_dropped", why=word)

    def hooks_asked(self, what: str) -> str:
        """An operator's word about hooks. `reload` takes the files as they are now, as a whole or not at all;
        `shadow` runs them beside; `canary N` lets the shadow decide for N percent of called numbers; `take` makes the
        shadow the version, `drop` lets it go; `back` returns to the version before; else what runs is shown."""
        hooked = self.switch.hooked
        if hooked is None or self.parser is None:
            return "no hooks: the sheet names none"
        hooks, word, number = hooked.hooks, what.split(" ")[0], what.partition(" ")[2]
        if word in ("reload", "shadow"):
            try:
                version = load_version(self.reread(), self.parser) if self.reread else hooks.version
            except (InvalidHooks, InvalidSettings) as bad:
                return f"not taken, {hooks.version.digest} runs on\n{bad}"
            if version.digest == hooks.version.digest:
                return f"{version.digest} runs already"
            if word == "shadow":
                hooks.start_shadow(version)
                return f"{version.digest} runs beside {hooks.version.digest} and decides nothing"
            return self._swap_hooks(hooks, version)
        if word in ("canary", "take", "drop") and hooks.shadow is None:
            return "no shadow runs: hooks shadow begins one"
        if word == "canary":
            if not re.fullmatch("[0-9]{1,3}", number) or int(number) > 100:
                return f"canary {number[:20]!r}: a percentage from 0 to 100"
            hooks.canary = int(number) * CANARY_BUCKETS // 100
            return f"the shadow decides for {number}% of called numbers"
        if word == "take" and hooks.shadow is not None:
            return self._swap_hooks(hooks, hooks.shadow.version)
        if word == "drop":
            hooks.drop_shadow()
            return f"{hooks.version.digest} runs alone"
        if word == "back":
            if not self.past:
                return f"nothing before {hooks.version.digest}"
            hooks.swap(self.past.pop())
            return f"{hooks.version.digest} runs from now on"
        return msgspec.json.format(msgspec.json.encode(self._hooks_shown(hooks)), indent=2).decode()

    def _swap_hooks(self, hooks: Hooks, version: Version) -> str:
        self.past = [*self.past[-9:], hooks.version]
        hooks.swap(version)
        return f"{version.digest} runs from now on; hooks back returns to {self.past[-1].digest}"

    def _hooks_shown(self, hooks: Hooks) -> dict[str, Any]:
        return {
            "version": hooks.version.digest,
            "files": [program.file.name for program in hooks.version.programs],
            "shadow": hooks.shadow.version.digest if hooks.shadow else None,
            "canary_percent": hooks.canary * 100 / CANARY_BUCKETS,
            "benched": {
                name: {"all_until": one.all_keys.until, "keys": list(one.keys)}
                for name, one in hooks.suspensions.items()
                if one.all_keys.until or one.keys
            },
            "remembered": {name: len(kept.values) for name, kept in hooks.states.items()},
            "counts": {
                name: count for name, count in sorted(hooks.counts.items()) if name.startswith("hooks")
            },
        }

    def status(self) -> dict[str, Any]:
        """What an operator sees: state as it is."""
        switch = self.switch
        x = switch.exchange
        return {
            "number": switch.number,
            "held": len(switch.taken),
            "owed": switch.owed,
            "own_price": round(x.own_price, 4),
            "revision": switch.revision,
            "offices": [
                {
                    "id": end.id,
                    "number": end.number,
                    "standing": end.standing.name.lower(),
                    "up": end.up,
                    "dials": len(end.dials),
                    "price": round(x.offices[end.id].price, 4) if end.id in x.offices else None,
                }
                for end in switch.offices.values()
            ],
            "groups": {
                str(number): {"size": g.size, "free": g.free, "ours": g.local_count, "theirs": g.remote_count}
                for number, g in sorted(switch.groups.items())
            },
            "counts": dict(sorted(switch.counts.items())),
            **({"ledger": self.desk.status()} if self.desk else {}),
        }


class _Part:
    """What the owners of links share: heartbeats without circuits."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def channel_opened(self, port: Channel) -> None:
        """A link stands."""

    def channel_closed(self, port: Channel, why: str) -> None:
        """A link is gone."""

    def circuits_held(self, port: Channel) -> int:
        """Nothing is held on these links."""
        return 0


class _Callers(_Part):
    """Links from callers."""

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """A caller says something."""
        now = self.daemon.now()
        if isinstance(frame, frames.Call):
            self.daemon.switch.call(port, frame, now)
        elif isinstance(frame, frames.HangUp):
            self.daemon.switch.leave(port, frame.id, now)

    def channel_closed(self, port: Channel, why: str) -> None:
        """A caller's link is gone."""
        self.daemon.switch.caller_lost(port, self.daemon.now())


class _Peers(_Part):
    """Links with other call servers."""

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """A peer says something."""
        if isinstance(frame, frames.PeerMessage):
            self.daemon.switch.word(port.peer.number, frame.payload, self.daemon.now())
        elif isinstance(frame, frames.LedgerMessage) and self.daemon.desk:
            self.daemon.desk.receive(port.peer.number, frame.payload)

    def channel_opened(self, port: Channel) -> None:
        """A peer is there: either end may have opened the link."""
        self.daemon.peers_here[port.peer.number] = port

    def channel_closed(self, port: Channel, why: str) -> None:
        """It is gone."""
        if port.connection.peer and self.daemon.peers_here.get(port.peer.number) is port:
            del self.daemon.peers_here[port.peer.number]


class _Guides(_Part):
    """Links to the register and the centre."""

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """The register or the centre says something."""
        if isinstance(frame, frames.OfficeList):
            if self.daemon.switch.listed(frame, self.daemon.now()):
                self.daemon.follow_peers(frame.entries)
        elif isinstance(frame, frames.Advice):
            self.daemon.switch.advised(frame)


class _OfficeLink:
    """The link to one office."""

    def __init__(self, daemon: Daemon, office: str, address: str) -> None:
        self.daemon, self.office = daemon, office
        self.link = PersistentChannel(
            daemon.loop, daemon.network, address, self, daemon.hello, ("office",), daemon._fork(office)
        )

    def channel_opened(self, port: Channel) -> None:
        """The office answers."""
        peer = port.peer
        unwanted = self.daemon.switch.office_up(self.office, peer.number, peer.boot, self.daemon.now())
        if unwanted:
            port.fail(unwanted)

    def channel_closed(self, port: Channel, why: str) -> None:
        """The office is lost."""
        if self.daemon.offices.get(self.office) is self:
            self.daemon.switch.office_down(self.office, why, self.daemon.now())

    def circuits_held(self, port: Channel) -> int:
        """Circuits that our dials hold there."""
        return self.daemon.switch.held_for(self.office)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """The office says something."""
        switch, now = self.daemon.switch, self.daemon.now()
        match frame:
            case frames.StepProcessed():
                switch.passed(self.office, frame, now)
            case frames.Answer():
                switch.answered(self.office, frame, now)
            case frames.Reject():
                switch.pushed_back(self.office, frame, now)
            case frames.Cut(ref):
                switch.cut(self.office, ref, now)
            case frames.Released():
                switch.released(self.office, frame, now)
            case frames.Setup():
                switch.transit(self.office, frame, now)
            case frames.Cancel(ref) | frames.Release(ref):
                switch.transit_over(self.office, ref, now)
            case frames.GroupState():
                switch.group_told(self.office, frame, now)
            case frames.LoadReport():
                switch.load_told(self.office, frame, now)
            case frames.CarriedDialogue():
                switch.carried(self.office, frame)
            case frames.Heartbeat(held):
                switch.counts_compared(self.office, held, now)


class _Operator(asyncio.BufferedProtocol):
    """An operator's line: `status`, `metrics`, `hooks`, `hooks reload` or `hooks back`, answered and closed."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.buffer = bytearray(MAX_LINE)
        self.filled = 0
        self.transport: asyncio.Transport | None = None
        self.late: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Somebody asks."""
        self.transport = cast(asyncio.Transport, transport)
        self.daemon.operators[self.transport] = None
        # Guards against one who asks nothing, or reads no answer: the line was kept for ever.
        self.late = self.daemon.loop.call_later(ASK_WITHIN_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """They left."""
        if self.late:
            self.late.cancel()
        if self.transport:
            self.daemon.operators.pop(self.transport, None)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Room for the rest of the line."""
        return memoryview(self.buffer)[self.filled :]

    def buffer_updated(self, nbytes: int) -> None:
        """Part of a line came."""
        self.filled += nbytes
        line, newline, _ = bytes(self.buffer[: self.filled]).partition(b"\n")
        if not self.transport or self.transport.is_closing() or not (newline or self.filled == MAX_LINE):
            return
        try:
            said = self._answer(line.strip().decode("utf-8", "replace")) if newline else TOO_LONG
        except Exception as fault:  # one who asks is answered, whatever is wrong
            self.daemon.write_log("operator_fault", fault=f"{type(fault).__name__}: {fault}")
            said = f"not done: {type(fault).__name__}: {fault}\n".encode()
        self.transport.write(said)
        self.transport.close()

    def _answer(self, asked: str) -> bytes:
        daemon, (what, _, rest) = self.daemon, asked.partition(" ")
        if asked == "status":
            return msgspec.json.format(msgspec.json.encode(daemon.status()), indent=2) + b"\n"
        if asked == "metrics":
            return exposition(daemon.switch)
        if what == "hooks":
            return daemon.hooks_asked(rest).encode() + b"\n"
        if what == "ledger":
            return daemon.ledger_asked(rest).encode() + b"\n"
        return f"unknown request {asked[:40]!r}: status, metrics, hooks or ledger\n".encode()


TOO_LONG = f"a request over {MAX_LINE} bytes is not taken\n".encode()
"""What was cut there used to be carried out as it stood."""
