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
from wellhitch.server.hook_runner import LOOP_TIME_CLOCK, HookRunner, WallClock
from wellhitch.server.metrics import exposition
from wellhitch.server.switch import ServerIO, Switch
from wellhitch.settings.checked import InvalidSettings
from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel, PersistentChannel

MAX_REQUEST_BYTES = (
    2_000  # bytes of an operator's request: a correction with who and why of 200 characters has up to 1,700
)
REQUEST_TIMEOUT_S = 10.0  # for an operator to ask and to read the answer; over loopback a moment is enough
MAX_CONNECTIONS = (
    500  # from callers and peers together: half of the 1,024 descriptors that a process has by default; the
)
# others are for its own links to offices, guides and peers, and for files
STOP_POLL_INTERVAL_S = 0.02  # s between looks at what is still owed while stopping


class Log(Protocol):
    """Takes one event of the log with its facts."""

    def __call__(self, event: str, **facts: Any) -> None: ...


MakeSettlement = Callable[[asyncio.AbstractEventLoop, Callable[[int, bytes], bool], Log], SettlementService]


@dataclass(frozen=True, slots=True)
class ServerAddresses:
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
        configuration: ev.ServerStarted,
        addresses: ServerAddresses,
        max_open: int,
        boot: int,
        log: Log,
        make_switch: Callable[[ev.ServerStarted, int, ServerIO], Switch] = Switch,
        hooks: Mapping[str, str] | None = None,
        clock: WallClock = LOOP_TIME_CLOCK,
        read_hooks: Callable[[], Mapping[str, str]] | None = None,
        make_settlement: MakeSettlement | None = None,
    ) -> None:
        self.loop, self.network, self.addresses, self.write_log = loop, network, addresses, log
        self.rng = random.Random(configuration.seed ^ boot)
        self.switch = make_switch(configuration, max_open, self)
        self.switch.id_epoch = boot % (1 << 30)
        self.hello = frames.Hello("call_server", self.switch.number, boot)
        self.caller_channels = _CallerChannels(self)
        self.peer_channels = _PeerChannels(self)
        self.control_channels = _ControlChannels(self)
        self.office_channels: dict[str, _OfficeChannel] = {}
        self.peer_connections: dict[str, PersistentChannel] = {}
        self.peer_addresses: dict[int, str] = {}
        self.channels_by_peer: dict[int, Channel] = {}
        self.listeners: dict[str, Listener] = {}
        self.control_connections: list[PersistentChannel] = []
        self.accepted_channels: dict[Channel, None] = {}
        self.operators: dict[asyncio.Transport, None] = {}
        self.read_hooks = read_hooks
        self.parser: Parser | None = None
        self.previous_versions: list[Version] = []
        if hooks:
            self.parser = Parser()
            use_cases = frozenset(use.name for use in configuration.traffic_classes)
            made = Hooks(load_version(hooks, self.parser), use_cases, log, self.switch.counts)
            self.switch.hook_runner = HookRunner(made, self.switch.exchange, self.switch.number, clock)
        self.sends_peer_messages = (
            configuration.permissions.may_message_peers and not configuration.topology.has_centre
        )
        self.stopped = False
        self.settlement = make_settlement(loop, self.send_ledger_message, log) if make_settlement else None
        self.switch.ledger = self.settlement

    def start(self) -> None:
        """Listen, follow the register, begin to decide."""
        self.write_log(
            "started", number=self.switch.number, boot=self.hello.boot, seed=self.switch.configuration.seed
        )
        if self.settlement:
            self.settlement.start()
        self.switch.start(self.now())
        self._listen(
            "callers", self.addresses.callers, lambda: self._make_channel(self.caller_channels, ("caller",))
        )
        if self.addresses.peers:
            self._listen(
                "peers",
                self.addresses.peers,
                lambda: self._make_channel(self.peer_channels, ("call_server",)),
            )
        if self.addresses.operators:
            self._listen("operators", self.addresses.operators, lambda: _OperatorConnection(self))
        for address, role in ((self.addresses.register, "register"), (self.addresses.centre, "centre")):
            if address:
                self.control_connections.append(
                    PersistentChannel(
                        self.loop,
                        self.network,
                        address,
                        self.control_channels,
                        self.hello,
                        (role,),
                        self._fork_rng(address),
                    )
                )

    def ledger_closed(self) -> None:
        """All of the ledger that waited is on disk."""

    def now(self) -> int:
        """The loop's time in us."""
        return now_us(self.loop)

    def _fork_rng(self, name: str) -> random.Random:
        """A generator of its own for each link, so that none disturbs another's draws."""
        return random.Random(f"{self.switch.configuration.seed} {self.hello.boot} {name}")

    def _make_channel(self, owner: Any, accepted_roles: tuple[str, ...]) -> Channel:
        port: Channel
        port = Channel(
            self.loop,
            owner,
            self.hello,
            accepted_roles,
            on_closed=lambda why: self.accepted_channels.pop(port, None),
        )
        if len(self.accepted_channels) >= MAX_CONNECTIONS:
            # Guards the links that stand, and those that this call server itself must open, against one too many.
            port.refusal_reason = f"{MAX_CONNECTIONS} links stand here already"
            self.switch.counts["links_refused"] += 1
        else:
            self.accepted_channels[port] = None
        return port

    def _listen(self, name: str, address: str, factory: Callable[[], asyncio.BufferedProtocol]) -> None:
        def ready(listener: Listener) -> None:
            self.listeners[name] = listener
            self.write_log("listening", what=name, address=listener.address)

        self.network.listen(address, factory, ready)

    def stop(self, timeout: int, on_stopped: Callable[[], None]) -> None:
        """Take nothing more, wait `within` us at most for what is owed, then close all links."""
        owed = self.switch.stop(self.now())
        self.write_log("stopping", owed=owed)
        until = self.now() + timeout

        def look() -> None:
            if self.switch.unanswered and self.now() < until:
                self.loop.call_later(STOP_POLL_INTERVAL_S, look)
                return
            self.write_log("stopped", owed=self.switch.unanswered)
            self.kill()
            on_stopped()

        look()

    def kill(self) -> None:
        """Close everything at once, whatever is owed."""
        self.stopped = self.switch.stopping = True
        if self.settlement:
            self.settlement.close(self.ledger_closed)
        for listener in self.listeners.values():
            listener.close()
        for link in [
            *self.control_connections,
            *self.peer_connections.values(),
            *(office.connection for office in self.office_channels.values()),
        ]:
            link.close()
        for port in list(self.accepted_channels):
            port.close()
        for transport in list(self.operators):
            transport.close()

    # -- Outlet --

    def send_to_caller(self, connection: Hashable, frame: frames.AnyFrame) -> bool:
        """As `Outlet`."""
        return cast(Channel, connection).send(frame)

    def send_to_office(self, office: str, frame: frames.AnyFrame) -> bool:
        """As `Outlet`."""
        port = self._office_channel(office)
        return port.send(frame) if port else False

    def _office_channel(self, office: str) -> Channel | None:
        kept = self.office_channels.get(office)
        return kept.connection.current if kept else None

    def withdraw(self, office: str, matches: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        """As `Outlet`."""
        port = self._office_channel(office)
        return port.withdraw(matches) if port else []

    def send_mark(self, office: str) -> int:
        """As `Outlet`."""
        port = self._office_channel(office)
        return port.send_mark() if port else 0

    def mark_confirmed(self, office: str, sequence: int) -> bool:
        """As `Outlet`."""
        port = self._office_channel(office)
        return port is None or port.mark_confirmed(sequence)

    def reset_connection(self, office: str, reason: str) -> None:
        """As `Outlet`."""
        port = self._office_channel(office)
        if port:
            port.fail(reason, notify_peer=False)

    def keep_connection(self, office: str, address: str) -> None:
        """As `Outlet`."""
        if office not in self.office_channels and not self.stopped:
            self.office_channels[office] = _OfficeChannel(self, office, address)

    def drop_connection(self, office: str) -> None:
        """As `Outlet`."""
        kept = self.office_channels.pop(office, None)
        if kept:
            kept.connection.close()
            self.switch.office_disconnected(office, "gone from the list", self.now())

    def send_to_peers(self, text: bytes) -> None:
        """As `Outlet`."""
        word = frames.PeerMessage(text)
        for kept in self.peer_connections.values():
            if kept.current:
                kept.current.send(word)

    def start_timer(self, delay: int, callback: Callable[[int], None]) -> asyncio.TimerHandle:
        """As `Outlet`."""
        return self.loop.call_later(delay / 1e6, self._run_callback, callback)

    def _run_callback(self, callback: Callable[[int], None]) -> None:
        if not self.stopped:
            callback(self.now())

    def log(self, event: str, **facts: Any) -> None:
        """As `Outlet`."""
        self.write_log(event, **facts)

    # -- what the register names --

    def connect_peers(self, entries: list[frames.OfficeListEntry]) -> None:
        """Keep a link to each peer that the list names, where words are told at all or a ledger is kept."""
        if not self.sends_peer_messages and not self.settlement:
            return
        for line in entries:
            address = line.peer_address
            if address:
                before = self.peer_addresses.get(line.number, address)
                self.peer_addresses[line.number] = address
                if before != address and before in self.peer_connections:
                    # Guards against links to where a peer was, each tried for ever.
                    self.peer_connections.pop(before).close()
            if line.number != self.switch.number and address and address not in self.peer_connections:
                self.peer_connections[address] = PersistentChannel(
                    self.loop,
                    self.network,
                    address,
                    self.peer_channels,
                    self.hello,
                    ("call_server",),
                    self._fork_rng(address),
                )

    def send_ledger_message(self, number: int, payload: bytes) -> bool:
        """Carry a message of the ledger's to another call server; False where no link stands. One that is lost is
        asked for again."""
        kept = self.peer_connections.get(self.peer_addresses.get(number, ""))
        port = (kept.current if kept else None) or self.channels_by_peer.get(number)
        return port.send(frames.LedgerMessage(payload)) if port else False

    def ledger_request(self, request: str) -> str:
        """An operator's word about the ledger: `close PERIOD` states it early, `correct DIALOGUE US WHO WHY` (names and
        reasons without blanks, or quoted), `snapshot NAME`; else how it is."""
        if self.settlement is None:
            return "no ledger: the sheet names none"
        try:
            return self.settlement.run_command(request)
        except ValueError as fault:
            return f"not done: {fault}"

    def dump_hooks_state(self) -> bytes:
        """What hooks remember, for a file."""
        hooked = self.switch.hook_runner
        return encode_state(hooked.hooks.states, self.now()) if hooked else b""

    def restore_hooks_state(self, data: bytes) -> None:
        """Take what an earlier process remembered; what is damaged or too large is dropped with a word in the log."""
        if self.switch.hook_runner:
            kept, words = decode_state(data, self.now())
            self.switch.hook_runner.hooks.states.update(kept)
            for word in words:
                self.switch.counts["hooks_state_dropped"] += 1
                self.write_log("hooks_state_dropped", why=word)

    def hooks_request(self, request: str) -> str:
        """An operator's word about hooks. `reload` takes the files as they are now, as a whole or not at all;
        `shadow` runs them beside; `canary N` lets the shadow decide for N percent of called numbers; `take` makes the
        shadow the version, `drop` lets it go; `back` returns to the version before; else what runs is shown."""
        hooked = self.switch.hook_runner
        if hooked is None or self.parser is None:
            return "no hooks: the sheet names none"
        hooks, word, number = hooked.hooks, request.split(" ")[0], request.partition(" ")[2]
        if word in ("reload", "shadow"):
            try:
                version = load_version(self.read_hooks(), self.parser) if self.read_hooks else hooks.version
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
            if not self.previous_versions:
                return f"nothing before {hooks.version.digest}"
            hooks.swap(self.previous_versions.pop())
            return f"{hooks.version.digest} runs from now on"
        return msgspec.json.format(msgspec.json.encode(self._hooks_status(hooks)), indent=2).decode()

    def _swap_hooks(self, hooks: Hooks, version: Version) -> str:
        self.previous_versions = [*self.previous_versions[-9:], hooks.version]
        hooks.swap(version)
        return f"{version.digest} runs from now on; hooks back returns to {self.previous_versions[-1].digest}"

    def _hooks_status(self, hooks: Hooks) -> dict[str, Any]:
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
            "held": len(switch.calls),
            "owed": switch.unanswered,
            "own_price": round(x.own_price, 4),
            "revision": switch.revision,
            "offices": [
                {
                    "id": end.id,
                    "number": end.number,
                    "standing": end.state.name.lower(),
                    "up": end.connected,
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
            **({"ledger": self.settlement.status()} if self.settlement else {}),
        }


class _ChannelOwnerBase:
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


class _CallerChannels(_ChannelOwnerBase):
    """Links from callers."""

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """A caller says something."""
        now = self.daemon.now()
        if isinstance(frame, frames.Call):
            self.daemon.switch.call_received(port, frame, now)
        elif isinstance(frame, frames.HangUp):
            self.daemon.switch.caller_hung_up(port, frame.id, now)

    def channel_closed(self, port: Channel, why: str) -> None:
        """A caller's link is gone."""
        self.daemon.switch.caller_disconnected(port, self.daemon.now())


class _PeerChannels(_ChannelOwnerBase):
    """Links with other call servers."""

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """A peer says something."""
        if isinstance(frame, frames.PeerMessage):
            self.daemon.switch.peer_message_received(port.peer.number, frame.payload, self.daemon.now())
        elif isinstance(frame, frames.LedgerMessage) and self.daemon.settlement:
            self.daemon.settlement.receive(port.peer.number, frame.payload)

    def channel_opened(self, port: Channel) -> None:
        """A peer is there: either end may have opened the link."""
        self.daemon.channels_by_peer[port.peer.number] = port

    def channel_closed(self, port: Channel, why: str) -> None:
        """It is gone."""
        if port.connection.peer and self.daemon.channels_by_peer.get(port.peer.number) is port:
            del self.daemon.channels_by_peer[port.peer.number]


class _ControlChannels(_ChannelOwnerBase):
    """Links to the register and the centre."""

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """The register or the centre says something."""
        if isinstance(frame, frames.OfficeList):
            if self.daemon.switch.office_list_received(frame, self.daemon.now()):
                self.daemon.connect_peers(frame.entries)
        elif isinstance(frame, frames.Advice):
            self.daemon.switch.set_tandem_advice(frame)


class _OfficeChannel:
    """The link to one office."""

    def __init__(self, daemon: Daemon, office: str, address: str) -> None:
        self.daemon, self.office = daemon, office
        self.connection = PersistentChannel(
            daemon.loop, daemon.network, address, self, daemon.hello, ("office",), daemon._fork_rng(office)
        )

    def channel_opened(self, port: Channel) -> None:
        """The office answers."""
        peer = port.peer
        unwanted = self.daemon.switch.office_connected(self.office, peer.number, peer.boot, self.daemon.now())
        if unwanted:
            port.fail(unwanted)

    def channel_closed(self, port: Channel, why: str) -> None:
        """The office is lost."""
        if self.daemon.office_channels.get(self.office) is self:
            self.daemon.switch.office_disconnected(self.office, why, self.daemon.now())

    def circuits_held(self, port: Channel) -> int:
        """Circuits that our dials hold there."""
        return self.daemon.switch.circuits_held(self.office)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """The office says something."""
        switch, now = self.daemon.switch, self.daemon.now()
        match frame:
            case frames.StepProcessed():
                switch.step_processed(self.office, frame, now)
            case frames.Answer():
                switch.setup_answered(self.office, frame, now)
            case frames.Reject():
                switch.setup_rejected(self.office, frame, now)
            case frames.Cut(ref):
                switch.dial_cut(self.office, ref, now)
            case frames.Released():
                switch.dial_released(self.office, frame, now)
            case frames.Setup():
                switch.transit_setup(self.office, frame, now)
            case frames.Cancel(ref) | frames.Release(ref):
                switch.transit_ended(self.office, ref, now)
            case frames.GroupState():
                switch.group_state_received(self.office, frame, now)
            case frames.LoadReport():
                switch.load_reported(self.office, frame, now)
            case frames.CarriedDialogue():
                switch.carried_dialogue_ended(self.office, frame)
            case frames.Heartbeat(held):
                switch.compare_counts(self.office, held, now)


class _OperatorConnection(asyncio.BufferedProtocol):
    """An operator's line: `status`, `metrics`, `hooks`, `hooks reload` or `hooks back`, answered and closed."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.buffer = bytearray(MAX_REQUEST_BYTES)
        self.filled = 0
        self.transport: asyncio.Transport | None = None
        self.timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Somebody asks."""
        self.transport = cast(asyncio.Transport, transport)
        self.daemon.operators[self.transport] = None
        # Guards against one who asks nothing, or reads no answer: the line was kept for ever.
        self.timeout = self.daemon.loop.call_later(REQUEST_TIMEOUT_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """They left."""
        if self.timeout:
            self.timeout.cancel()
        if self.transport:
            self.daemon.operators.pop(self.transport, None)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Room for the rest of the line."""
        return memoryview(self.buffer)[self.filled :]

    def buffer_updated(self, nbytes: int) -> None:
        """Part of a line came."""
        self.filled += nbytes
        line, newline, _ = bytes(self.buffer[: self.filled]).partition(b"\n")
        if (
            not self.transport
            or self.transport.is_closing()
            or not (newline or self.filled == MAX_REQUEST_BYTES)
        ):
            return
        try:
            said = self._answer(line.strip().decode("utf-8", "replace")) if newline else REQUEST_TOO_LONG
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
            return daemon.hooks_request(rest).encode() + b"\n"
        if what == "ledger":
            return daemon.ledger_request(rest).encode() + b"\n"
        return f"unknown request {asked[:40]!r}: status, metrics, hooks or ledger\n".encode()


REQUEST_TOO_LONG = f"a request over {MAX_REQUEST_BYTES} bytes is not taken\n".encode()
"""What was cut there used to be carried out as it stood."""
