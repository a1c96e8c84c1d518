"""The transport layer of a call server: listeners, connections and timers. All events go to `Switch`, which decides."""

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

# Of an operator's request: a correction whose author and reason have 200 characters each takes up to 1,700 bytes.
MAX_REQUEST_BYTES = 2_000
REQUEST_TIMEOUT_S = (
    10.0  # for an operator to send a request and read the reply; over loopback both are immediate
)
# From callers and peers together: half of the 1,024 descriptors that a process has by default. The others are for
# outgoing connections to offices, register, centre and peers, and for files.
MAX_CONNECTIONS = 500
STOP_POLL_INTERVAL_S = 0.02  # between checks for unanswered dialogues during shutdown


class Log(Protocol):
    """Writes one event with its fields to the log."""

    def __call__(self, event: str, **facts: Any) -> None: ...


MakeSettlement = Callable[[asyncio.AbstractEventLoop, Callable[[int, bytes], bool], Log], SettlementService]


@dataclass(frozen=True, slots=True)
class ServerAddresses:
    """Addresses, as host:port, at which a call server listens (callers, peers, operators) and to which it connects
    (register, centre). An empty one is not used."""

    callers: str
    peers: str
    operators: str
    register: str
    centre: str


class Daemon:
    """One running call server on an event loop and a network, real or emulated."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        configuration: ev.ServerStarted,
        addresses: ServerAddresses,
        max_open: int,
        boot_id: int,
        log: Log,
        make_switch: Callable[[ev.ServerStarted, int, ServerIO], Switch] = Switch,
        hooks: Mapping[str, str] | None = None,
        clock: WallClock = LOOP_TIME_CLOCK,
        read_hooks: Callable[[], Mapping[str, str]] | None = None,
        make_settlement: MakeSettlement | None = None,
    ) -> None:
        self.loop, self.network, self.addresses, self.write_log = loop, network, addresses, log
        self.rng = random.Random(configuration.seed ^ boot_id)
        self.switch = make_switch(configuration, max_open, self)
        self.switch.id_epoch = boot_id % (1 << 30)
        self.hello = frames.Hello("call_server", self.switch.number, boot_id)
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
        self.operator_transports: dict[asyncio.Transport, None] = {}
        self.read_hooks = read_hooks
        self.parser: Parser | None = None
        self.previous_versions: list[Version] = []
        if hooks:
            self.parser = Parser()
            traffic_classes = frozenset(traffic_class.name for traffic_class in configuration.traffic_classes)
            hook_service = Hooks(load_version(hooks, self.parser), traffic_classes, log, self.switch.counts)
            self.switch.hook_runner = HookRunner(
                hook_service, self.switch.exchange, self.switch.number, clock
            )
        self.sends_peer_messages = (
            configuration.permissions.may_message_peers and not configuration.topology.has_centre
        )
        self.stopped = False
        self.settlement = make_settlement(loop, self.send_ledger_message, log) if make_settlement else None
        self.switch.ledger = self.settlement

    def start(self) -> None:
        """Open the listeners, connect to register and centre, start the decision module."""
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
        """Called when all pending ledger writes are on disk. May be replaced before `start`."""

    def now(self) -> int:
        """The event loop's time in us."""
        return now_us(self.loop)

    def _fork_rng(self, name: str) -> random.Random:
        """A separate generator for each connection, so that one does not affect the sequence of another."""
        return random.Random(f"{self.switch.configuration.seed} {self.hello.boot} {name}")

    def _make_channel(self, owner: Any, accepted_roles: tuple[str, ...]) -> Channel:
        channel: Channel
        channel = Channel(
            self.loop,
            owner,
            self.hello,
            accepted_roles,
            on_closed=lambda reason: self.accepted_channels.pop(channel, None),
        )
        if len(self.accepted_channels) >= MAX_CONNECTIONS:
            # Guards against running out of descriptors for the open connections and for those this server must open.
            channel.refusal_reason = f"{MAX_CONNECTIONS} links stand here already"
            self.switch.counts["links_refused"] += 1
        else:
            self.accepted_channels[channel] = None
        return channel

    def _listen(self, name: str, address: str, factory: Callable[[], asyncio.BufferedProtocol]) -> None:
        def ready(listener: Listener) -> None:
            self.listeners[name] = listener
            self.write_log("listening", what=name, address=listener.address)

        self.network.listen(address, factory, ready)

    def stop(self, timeout: int, on_stopped: Callable[[], None]) -> None:
        """Accept no more dialogues, wait up to `timeout` us for the answers still owed, then close everything."""
        owed = self.switch.stop_accepting(self.now())
        self.write_log("stopping", owed=owed)
        deadline = self.now() + timeout

        def check_unanswered() -> None:
            if self.switch.unanswered and self.now() < deadline:
                self.loop.call_later(STOP_POLL_INTERVAL_S, check_unanswered)
                return
            self.write_log("stopped", owed=self.switch.unanswered)
            self.kill()
            on_stopped()

        check_unanswered()

    def kill(self) -> None:
        """Close everything at once, even if answers are owed."""
        self.stopped = self.switch.stopping = True
        if self.settlement:
            self.settlement.close(self.ledger_closed)
        for listener in self.listeners.values():
            listener.close()
        for connection in [
            *self.control_connections,
            *self.peer_connections.values(),
            *(office.connection for office in self.office_channels.values()),
        ]:
            connection.close()
        for channel in list(self.accepted_channels):
            channel.close()
        for transport in list(self.operator_transports):
            transport.close()

    # -- ServerIO --

    def send_to_caller(self, connection: Hashable, frame: frames.AnyFrame) -> bool:
        """See `ServerIO`."""
        return cast(Channel, connection).send(frame)

    def send_to_office(self, office_id: str, frame: frames.AnyFrame) -> bool:
        """See `ServerIO`."""
        channel = self._office_channel(office_id)
        return channel.send(frame) if channel else False

    def _office_channel(self, office_id: str) -> Channel | None:
        office_channel = self.office_channels.get(office_id)
        return office_channel.connection.current if office_channel else None

    def withdraw(self, office_id: str, matches: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        """See `ServerIO`."""
        channel = self._office_channel(office_id)
        return channel.withdraw(matches) if channel else []

    def send_mark(self, office_id: str) -> int:
        """See `ServerIO`."""
        channel = self._office_channel(office_id)
        return channel.send_mark() if channel else 0

    def mark_confirmed(self, office_id: str, sequence: int) -> bool:
        """See `ServerIO`."""
        channel = self._office_channel(office_id)
        return channel is None or channel.mark_confirmed(sequence)

    def reset_connection(self, office_id: str, reason: str) -> None:
        """See `ServerIO`."""
        channel = self._office_channel(office_id)
        if channel:
            channel.fail(reason, notify_peer=False)

    def keep_connection(self, office_id: str, address: str) -> None:
        """See `ServerIO`."""
        if office_id not in self.office_channels and not self.stopped:
            self.office_channels[office_id] = _OfficeChannel(self, office_id, address)

    def drop_connection(self, office_id: str) -> None:
        """See `ServerIO`."""
        office_channel = self.office_channels.pop(office_id, None)
        if office_channel:
            office_channel.connection.close()
            self.switch.office_disconnected(office_id, "removed from the office list", self.now())

    def send_to_peers(self, payload: bytes) -> None:
        """See `ServerIO`."""
        message = frames.PeerMessage(payload)
        for connection in self.peer_connections.values():
            if connection.current:
                connection.current.send(message)

    def start_timer(self, delay: int, callback: Callable[[int], None]) -> asyncio.TimerHandle:
        """See `ServerIO`."""
        return self.loop.call_later(delay / 1e6, self._run_callback, callback)

    def _run_callback(self, callback: Callable[[int], None]) -> None:
        if not self.stopped:
            callback(self.now())

    def log(self, event: str, **facts: Any) -> None:
        """See `ServerIO`."""
        self.write_log(event, **facts)

    # -- peers --

    def connect_peers(self, entries: list[frames.OfficeListEntry]) -> None:
        """Keep a connection to each peer in the office list, if peer messages are sent or a ledger is kept."""
        if not self.sends_peer_messages and not self.settlement:
            return
        for entry in entries:
            address = entry.peer_address
            if address:
                previous_address = self.peer_addresses.get(entry.number, address)
                self.peer_addresses[entry.number] = address
                if previous_address != address and previous_address in self.peer_connections:
                    # Guards against reconnecting forever to a former address of the peer.
                    self.peer_connections.pop(previous_address).close()
            if entry.number != self.switch.number and address and address not in self.peer_connections:
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
        """Send a ledger message to another call server; False where there is no connection. The ledger asks again for
        a message that is lost."""
        connection = self.peer_connections.get(self.peer_addresses.get(number, ""))
        channel = (connection.current if connection else None) or self.channels_by_peer.get(number)
        return channel.send(frames.LedgerMessage(payload)) if channel else False

    def ledger_request(self, request: str) -> str:
        """Run an operator's ledger request: `close PERIOD` states a period early, `correct DIALOGUE US WHO WHY` (names
        and reasons without blanks, or quoted), `snapshot NAME`; any other request returns the ledger's status."""
        if self.settlement is None:
            return "no ledger: the settings file names none"
        try:
            return self.settlement.run_command(request)
        except ValueError as error:
            return f"not done: {error}"

    def dump_hooks_state(self) -> bytes:
        """The state that hooks remember, encoded for a file."""
        hook_runner = self.switch.hook_runner
        return encode_state(hook_runner.hooks.states, self.now()) if hook_runner else b""

    def restore_hooks_state(self, data: bytes) -> None:
        """Restore the hook state of an earlier process; what is damaged or too large is dropped and logged."""
        if self.switch.hook_runner:
            states, problems = decode_state(data, self.now())
            self.switch.hook_runner.hooks.states.update(states)
            for problem in problems:
                self.switch.counts["hooks_state_dropped"] += 1
                self.write_log("hooks_state_dropped", why=problem)

    def hooks_request(self, request: str) -> str:
        """Run an operator's hooks request. `reload` loads all files as they are now, or none if one is invalid;
        `shadow` runs them in parallel without effect; `canary N` lets the shadow decide for N percent of called
        numbers; `take` makes the shadow the active version, `drop` stops it; `back` returns to the previous version;
        any other request returns the status."""
        hook_runner = self.switch.hook_runner
        if hook_runner is None or self.parser is None:
            return "no hooks: the settings file names none"
        hooks, command, argument = hook_runner.hooks, request.split(" ")[0], request.partition(" ")[2]
        if command in ("reload", "shadow"):
            try:
                version = load_version(self.read_hooks(), self.parser) if self.read_hooks else hooks.version
            except (InvalidHooks, InvalidSettings) as error:
                return f"not taken, {hooks.version.digest} runs on\n{error}"
            if version.digest == hooks.version.digest:
                return f"{version.digest} runs already"
            if command == "shadow":
                hooks.start_shadow(version)
                return f"{version.digest} runs beside {hooks.version.digest} and decides nothing"
            return self._swap_hooks(hooks, version)
        if command in ("canary", "take", "drop") and hooks.shadow is None:
            return "no shadow runs: `hooks shadow` starts one"
        if command == "canary":
            if not re.fullmatch("[0-9]{1,3}", argument) or int(argument) > 100:
                return f"canary {argument[:20]!r}: a percentage from 0 to 100"
            hooks.canary = int(argument) * CANARY_BUCKETS // 100
            return f"the shadow decides for {argument}% of called numbers"
        if command == "take" and hooks.shadow is not None:
            return self._swap_hooks(hooks, hooks.shadow.version)
        if command == "drop":
            hooks.drop_shadow()
            return f"{hooks.version.digest} runs alone"
        if command == "back":
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
                name: {"all_until": suspension.all_keys.until, "keys": list(suspension.keys)}
                for name, suspension in hooks.suspensions.items()
                if suspension.all_keys.until or suspension.keys
            },
            "remembered": {name: len(state.values) for name, state in hooks.states.items()},
            "counts": {
                name: count for name, count in sorted(hooks.counts.items()) if name.startswith("hooks")
            },
        }

    def status(self) -> dict[str, Any]:
        """The current state, for operators."""
        switch = self.switch
        exchange = switch.exchange
        return {
            "number": switch.number,
            "held": len(switch.calls),
            "owed": switch.unanswered,
            "own_price": round(exchange.own_price, 4),
            "revision": switch.revision,
            "offices": [
                {
                    "id": office.id,
                    "number": office.number,
                    "standing": office.state.name.lower(),
                    "up": office.connected,
                    "dials": len(office.dials),
                    "price": round(exchange.offices[office.id].price, 4)
                    if office.id in exchange.offices
                    else None,
                }
                for office in switch.offices.values()
            ],
            "groups": {
                str(number): {
                    "size": group.size,
                    "free": group.free,
                    "ours": group.local_count,
                    "theirs": group.remote_count,
                }
                for number, group in sorted(switch.groups.items())
            },
            "counts": dict(sorted(switch.counts.items())),
            **({"ledger": self.settlement.status()} if self.settlement else {}),
        }


class _ChannelOwnerBase:
    """Base of channel owners without circuits: their heartbeats report none."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def channel_opened(self, channel: Channel) -> None:
        """A connection is up."""

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """A connection is closed."""

    def circuits_held(self, channel: Channel) -> int:
        """No circuits are held on these connections."""
        return 0


class _CallerChannels(_ChannelOwnerBase):
    """Connections from callers."""

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        """Handle a frame from a caller."""
        now = self.daemon.now()
        if isinstance(frame, frames.Call):
            if self._caller_has_left(channel):
                self.daemon.switch.counts["calls_ignored"] += 1
                return
            self.daemon.switch.call_received(channel, frame, now)
        elif isinstance(frame, frames.HangUp):
            self.daemon.switch.caller_hung_up(channel, frame.id, now)

    def _caller_has_left(self, channel: Channel) -> bool:
        """Whether a caller has closed or reset its connection, behind what is still unread on it: its calls are given
        up."""
        return channel.transport is None or self.daemon.network.peer_has_ended(channel.transport)

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """A caller's connection is closed."""
        self.daemon.switch.caller_disconnected(channel, self.daemon.now())


class _PeerChannels(_ChannelOwnerBase):
    """Connections with other call servers."""

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        """Handle a frame from a peer."""
        if isinstance(frame, frames.PeerMessage):
            self.daemon.switch.peer_message_received(channel.peer.number, frame.payload, self.daemon.now())
        elif isinstance(frame, frames.LedgerMessage) and self.daemon.settlement:
            self.daemon.settlement.receive(channel.peer.number, frame.payload)

    def channel_opened(self, channel: Channel) -> None:
        """A connection with a peer is up; either end may have opened it."""
        self.daemon.channels_by_peer[channel.peer.number] = channel

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """A connection with a peer is closed."""
        if channel.connection.peer and self.daemon.channels_by_peer.get(channel.peer.number) is channel:
            del self.daemon.channels_by_peer[channel.peer.number]


class _ControlChannels(_ChannelOwnerBase):
    """Connections to the register and the centre."""

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        """Handle a frame from the register or the centre."""
        if isinstance(frame, frames.OfficeList):
            if self.daemon.switch.office_list_received(frame, self.daemon.now()):
                self.daemon.connect_peers(frame.entries)
        elif isinstance(frame, frames.Advice):
            self.daemon.switch.set_tandem_advice(frame)


class _OfficeChannel:
    """The connection to one office."""

    def __init__(self, daemon: Daemon, office_id: str, address: str) -> None:
        self.daemon, self.office_id = daemon, office_id
        self.connection = PersistentChannel(
            daemon.loop, daemon.network, address, self, daemon.hello, ("office",), daemon._fork_rng(office_id)
        )

    def channel_opened(self, channel: Channel) -> None:
        """The connection to the office is up."""
        peer = channel.peer
        refusal = self.daemon.switch.office_connected(
            self.office_id, peer.number, peer.boot, self.daemon.now()
        )
        if refusal:
            channel.fail(refusal)

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """The connection to the office is lost."""
        if self.daemon.office_channels.get(self.office_id) is self:
            self.daemon.switch.office_disconnected(self.office_id, reason, self.daemon.now())

    def circuits_held(self, channel: Channel) -> int:
        """Circuits that our dials hold at the office."""
        return self.daemon.switch.circuits_held(self.office_id)

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        """Handle a frame from the office."""
        switch, now = self.daemon.switch, self.daemon.now()
        match frame:
            case frames.StepProcessed():
                switch.step_processed(self.office_id, frame, now)
            case frames.Answer():
                switch.setup_answered(self.office_id, frame, now)
            case frames.Reject():
                switch.setup_rejected(self.office_id, frame, now)
            case frames.Cut(dial_ref):
                switch.dial_cut(self.office_id, dial_ref, now)
            case frames.Released():
                switch.dial_released(self.office_id, frame, now)
            case frames.Setup():
                switch.transit_setup(self.office_id, frame, now)
            case frames.Cancel(dial_ref) | frames.Release(dial_ref):
                switch.transit_ended(self.office_id, dial_ref, now)
            case frames.GroupState():
                switch.group_state_received(self.office_id, frame, now)
            case frames.LoadReport():
                switch.load_reported(self.office_id, frame, now)
            case frames.CarriedDialogue():
                switch.carried_dialogue_ended(self.office_id, frame)
            case frames.Heartbeat(held):
                switch.compare_counts(self.office_id, held, now)


class _OperatorConnection(asyncio.BufferedProtocol):
    """An operator's connection: takes one request line (`status`, `metrics`, `hooks ...`, `ledger ...`), replies and
    closes."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.buffer = bytearray(MAX_REQUEST_BYTES)
        self.filled = 0
        self.transport: asyncio.Transport | None = None
        self.timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the request."""
        self.transport = cast(asyncio.Transport, transport)
        self.daemon.operator_transports[self.transport] = None
        # Guards against clients that send no request or read no reply: their connections were kept forever.
        self.timeout = self.daemon.loop.call_later(REQUEST_TIMEOUT_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        if self.timeout:
            self.timeout.cancel()
        if self.transport:
            self.daemon.operator_transports.pop(self.transport, None)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Buffer space for the rest of the request."""
        return memoryview(self.buffer)[self.filled :]

    def buffer_updated(self, nbytes: int) -> None:
        """Reply once the whole request line is here."""
        self.filled += nbytes
        line, newline, _ = bytes(self.buffer[: self.filled]).partition(b"\n")
        if (
            not self.transport
            or self.transport.is_closing()
            or not (newline or self.filled == MAX_REQUEST_BYTES)
        ):
            return
        try:
            reply = self._reply_to(line.strip().decode("utf-8", "replace")) if newline else REQUEST_TOO_LONG
        except Exception as error:  # every request gets a reply
            self.daemon.write_log("operator_fault", fault=f"{type(error).__name__}: {error}")
            reply = f"not done: {type(error).__name__}: {error}\n".encode()
        self.transport.write(reply)
        self.transport.close()

    def _reply_to(self, request: str) -> bytes:
        daemon, (command, _, argument) = self.daemon, request.partition(" ")
        if request == "status":
            return msgspec.json.format(msgspec.json.encode(daemon.status()), indent=2) + b"\n"
        if request == "metrics":
            return exposition(daemon.switch)
        if command == "hooks":
            return daemon.hooks_request(argument).encode() + b"\n"
        if command == "ledger":
            return daemon.ledger_request(argument).encode() + b"\n"
        return f"unknown request {request[:40]!r}: status, metrics, hooks or ledger\n".encode()


REQUEST_TOO_LONG = f"a request over {MAX_REQUEST_BYTES} bytes is not accepted\n".encode()
"""Guards against carrying out a request that was truncated at the limit."""
