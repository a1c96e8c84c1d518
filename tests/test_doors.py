"""The daemon's listeners and connections on the emulated network: operators, peers, offices at wrong addresses."""

import asyncio
import random
import typing
from collections.abc import Callable
from typing import Any, cast

import msgspec
import pytest
from world import RecordingOwner, day

from wellhitch.emulator.disk import EmulatedDisk
from wellhitch.emulator.loop import VirtualLoop
from wellhitch.emulator.network import EmulatedNetwork
from wellhitch.lab.fleet import HostAddresses, server_settings
from wellhitch.ledger.entries import NumberKeys
from wellhitch.ledger.service import SettlementService
from wellhitch.server.daemon import Daemon, ServerAddresses
from wellhitch.settings.server import start_event
from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel
from wellhitch.trunk.connection import ALLOWED_FRAMES


class OperatorClient(asyncio.BufferedProtocol):
    """A client of the operators' listener."""

    def __init__(self) -> None:
        self.reply = b""
        self.closed = False
        self.buffer = bytearray(1 << 16)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.reply += bytes(self.buffer[:nbytes])

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True


class DaemonFixture:
    """A daemon of exchange 0 on an emulated network, with helpers to connect to it."""

    def __init__(self, ledger: bool = False, **over: Any) -> None:
        self.loop = VirtualLoop()
        self.loop_errors: list[str] = []
        self.loop.set_exception_handler(lambda loop, context: self.loop_errors.append(str(context)))
        self.net = EmulatedNetwork(self.loop, 1)
        self.logged: list[str] = []
        configuration = start_event(server_settings(day(**over), 0, HostAddresses()))
        addresses = ServerAddresses("s:1", "s:2", "s:3", "register:1", "")
        hooks = {"a": "on arrive { return none }"}
        self.daemon = Daemon(
            self.loop, self.net.for_host("s"), configuration, addresses, 10, 1,
            lambda event, **facts: self.logged.append(event),
            hooks=hooks, make_settlement=self.make_settlement if ledger else None,
        )  # fmt: skip
        self.daemon.start()
        self.loop.advance(0.1)

    def make_settlement(self, loop: Any, send: Any, log: Any) -> SettlementService:
        keys, wall = NumberKeys({1: b"k" * 32}), 1_796_083_200_000_000
        disk = EmulatedDisk(1, loop)
        return SettlementService(
            loop, disk, 0, (0, 1), keys, lambda now: now + wall, send, log, random.Random(1)
        )

    def connect_operator(self) -> OperatorClient:
        client = OperatorClient()
        self.net.for_host("o").connect("s:3", lambda: client, print)
        self.loop.advance(0.1)
        return client

    def request(self, text: bytes) -> bytes:
        client = self.connect_operator()
        client.transport.write(text)
        self.loop.advance(0.1)
        assert client.closed and not self.loop_errors, self.loop_errors
        return client.reply

    def listen_as(self, address: str, hello: frames.Hello) -> RecordingOwner:
        """Listen at an address, in the role that `hello` names."""
        owner = RecordingOwner()
        self.net.for_host(address.partition(":")[0]).listen(
            address, lambda: Channel(self.loop, owner, hello, ("call_server",)), lambda listener: None
        )
        return owner

    def send_list(self, *entries: frames.OfficeListEntry, kind: str = "whole", revision: int = 1) -> None:
        frame = frames.OfficeList(kind, revision, list(entries))
        self.daemon.control_channels.frame_received(cast(Channel, None), frame)
        self.loop.advance(1.0)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("hooks canary ²\n", "a percentage"),
        ("status" + " " * 5000 + "\n", "over"),
        ("ledger correct 0/1 " + "9" * 5000 + "\n", "over"),
        ("ledger correct 0/1 " + "9" * 150 + " ana why\n", "no ledger"),
        ("\n", "unknown request"),
        ("\udcff\x00\n", "unknown request"),
    ],
)
def test_every_operator_request_gets_a_reply(text: str, expected: str) -> None:
    server = DaemonFixture()
    if text.startswith("hooks canary"):
        server.daemon.switch.hook_runner.hooks.start_shadow(server.daemon.switch.hook_runner.hooks.version)  # type: ignore[union-attr]
    assert expected in server.request(text.encode("utf-8", "surrogateescape")).decode()


def test_operator_connections_without_a_request_time_out() -> None:
    server = DaemonFixture()
    silent, dripping = server.connect_operator(), server.connect_operator()
    for _ in range(12):
        dripping.transport.write(b"s")
        server.loop.advance(1.0)
    assert silent.closed and dripping.closed and not server.daemon.operator_transports


def test_an_office_whose_number_differs_from_the_list_is_not_dialled() -> None:
    """Guards against an address that was reassigned: dialogues for 1 went to 2, which forwarded them."""
    server = DaemonFixture()
    wrong_office = server.listen_as("o1:1", frames.Hello("office", 2, 1))
    server.send_list(frames.OfficeListEntry("o1", 1, "ready", None, "o1:1"))
    assert not server.daemon.switch.offices["o1"].connected
    assert (
        wrong_office.close_reasons
        and "office 2, not 1" in wrong_office.close_reasons[0]
        and "office_not_as_listed" in server.logged
    )


def test_the_connection_to_a_peers_old_address_is_closed() -> None:
    server = DaemonFixture(limits={"may_tell_peers": True})
    hello = frames.Hello("call_server", 1, 1)
    old_peer, new_peer = server.listen_as("p1:1", hello), server.listen_as("p1:2", hello)
    server.send_list(frames.OfficeListEntry("o1", 1, "ready", None, "o1:1", "p1:1"))
    assert len(old_peer.opened) == 1
    server.send_list(frames.OfficeListEntry("o1", 1, "ready", None, "o1:1", "p1:2"), revision=2)
    assert (
        old_peer.close_reasons
        and len(new_peer.opened) == 1
        and list(server.daemon.peer_connections) == ["p1:2"]
    )


@pytest.mark.parametrize("kind", ["whole", "odd"])
def test_no_connections_are_opened_to_the_peers_of_a_malformed_list(kind: str) -> None:
    server = DaemonFixture(limits={"may_tell_peers": True})
    state = "ready" if kind == "odd" else "broken"
    server.send_list(frames.OfficeListEntry("o1", 1, state, None, "o1:1", "p1:1"), kind=kind)
    assert not server.daemon.peer_connections and server.daemon.switch.counts["lists_malformed"] == 1


INTS = [0, 1, 2, 5, -1, 63, 64, 65, 1 << 16, 1 << 31, 1 << 53, (1 << 63) - 1, -(1 << 63), (1 << 64) - 1]
TEXTS = ["", "cheap", "o0", "o1", "ready", "draining", "gone", "whole", "changes", "setup", "answer", "released", "cut",
         "x" * 3000, "\u00b2", "\x00", "p1:1", "turned_back"]  # fmt: skip
FLOATS = [0.0, 0.5, 1e308, -1.0, float("nan"), float("inf"), float("-inf")]


def random_value(field_type: Any, rng: random.Random) -> Any:
    """A random value of a field, of any that its type allows."""
    origin, args = typing.get_origin(field_type), typing.get_args(field_type)
    if origin is list:
        return [random_value(args[0], rng) for _ in range(rng.choice([0, 1, 3]))]
    if args:  # a union
        return random_value(rng.choice(args), rng)
    if field_type is type(None):
        return None
    if isinstance(field_type, type) and issubclass(field_type, msgspec.Struct):
        return random_frame(field_type, rng)
    choices: dict[Any, Callable[[], Any]] = {
        int: lambda: rng.choice(INTS),
        str: lambda: rng.choice(TEXTS),
        float: lambda: rng.choice(FLOATS),
        bool: lambda: rng.random() < 0.5,
        bytes: lambda: rng.randbytes(rng.choice([0, 1, 2, 40])),
    }
    return choices[field_type]()


def random_frame(kind: type[Any], rng: random.Random) -> Any:
    hints = typing.get_type_hints(kind)
    return kind(
        **{field.name: random_value(hints[field.name], rng) for field in msgspec.structs.fields(kind)}
    )


def valid_frame(kind: type[Any], rng: random.Random) -> Any:
    """A frame as a real peer would send it."""
    dial_ref = rng.randrange(1, 6)
    frames_by_kind: dict[type[Any], Any] = {
        frames.Call: frames.Call(rng.randrange(1 << 20), "cheap", 1, "aa", 2_000_000, 1, False, "north"),
        frames.HangUp: frames.HangUp(dial_ref),
        frames.Setup: frames.Setup(rng.randrange(1 << 20), 2, 77, 0, "cheap", 1, "aa", 2_000_000, 1),
        frames.Answer: frames.Answer(dial_ref, frames.Load(0.5, 1000, 5.0, 0.1)),
        frames.Reject: frames.Reject(dial_ref, "processor_full", 0, frames.Load(0.5, 1000)),
        frames.StepProcessed: frames.StepProcessed(dial_ref, "setup"),
        frames.GroupState: frames.GroupState(1, 0, 20),
        frames.LoadReport: frames.LoadReport(frames.Load(0.5, 1000)),
        frames.CarriedDialogue: frames.CarriedDialogue(1, 7, "cheap", "aa", 1, "released", 5_000),
        frames.PeerMessage: frames.PeerMessage(bytes((1, 1, 5, 5, 5))),
        frames.OfficeList: frames.OfficeList(
            "changes", 2, [frames.OfficeListEntry("o1", 1, "ready", 10**6, "o1:1", "p1:1")]
        ),
        frames.Advice: frames.Advice([-1, 1, 2]),
    }
    return frames_by_kind.get(kind) or random_frame(kind, rng)


def with_one_odd_field(frame: Any, rng: random.Random) -> Any:
    """The frame with one field, possibly nested, replaced by any value that its type allows."""
    field = rng.choice(msgspec.structs.fields(frame)) if msgspec.structs.fields(frame) else None
    if field is None:
        return frame
    value = getattr(frame, field.name)
    if isinstance(value, msgspec.Struct):
        new_value = with_one_odd_field(value, rng)
    elif isinstance(value, list) and value and isinstance(value[0], msgspec.Struct):
        new_value = [with_one_odd_field(value[0], rng), *value[1:]]
    else:
        new_value = random_value(typing.get_type_hints(type(frame))[field.name], rng)
    return msgspec.structs.replace(frame, **{field.name: new_value})


@pytest.mark.parametrize("seed", range(12))
def test_any_allowed_frames_raise_no_exception_and_the_server_keeps_running(seed: int) -> None:
    """Frames with any values that their types allow, from all roles at once, in any order."""
    rng = random.Random(seed)
    server = DaemonFixture(limits={"may_tell_peers": True}, ledger=seed % 2 == 0)
    owners = {
        "office": [server.listen_as(f"o{n}:1", frames.Hello("office", n, 1)) for n in range(3)],
        "register": [server.listen_as("register:1", frames.Hello("register", -1, 1))],
        "call_server": [server.listen_as("p1:1", frames.Hello("call_server", 1, 1))],
        "caller": [RecordingOwner()],
    }
    caller = frames.Hello("caller", 0, 1)
    server.net.for_host("c").connect(
        "s:1", lambda: Channel(server.loop, owners["caller"][0], caller, ("call_server",)), print
    )
    server.loop.advance(5.0)
    entries = [
        frames.OfficeListEntry(f"o{n}", n, "ready", None, f"o{n}:1", f"p{n}:1" if n else "") for n in range(3)
    ]
    office_list = frames.OfficeList("whole", 1, entries)
    for _ in range(500):
        role = rng.choice(list(owners))
        channels = [owner.opened[-1] for owner in owners[role] if owner.opened]
        if role == "register" and rng.random() < 0.9:
            # Otherwise an odd list would soon make all offices gone, and all frames from them would be ignored.
            frame: Any = office_list
        else:
            kind = rng.choice(ALLOWED_FRAMES[role, "call_server"])
            frame = random_frame(kind, rng)
            if rng.random() < 0.8:
                frame = valid_frame(kind, rng)
                if rng.random() < 0.7:
                    frame = with_one_odd_field(frame, rng)
        if isinstance(frame, frames.OfficeList):
            frame = msgspec.structs.replace(frame, revision=1)
        if channels:
            (channels[0] if rng.random() < 0.5 else rng.choice(channels)).send(frame)
        server.loop.advance(rng.choice([0.001, 0.01, 0.3]))
    assert not server.loop_errors, server.loop_errors[0][:600]
    assert (
        not server.daemon.switch.counts["decision_faults"]
        and not server.daemon.switch.counts["ledger_faults"]
    )
    assert b'"number": 0' in server.request(b"status\n") and b"wellhitch_held" in server.request(b"metrics\n")


# Known to fail (KNOWN-RED.txt): roles are not verified; only loopback separates peers from other processes.
def test_a_stranger_who_says_he_is_a_call_server_is_let_go() -> None:
    server, stranger = DaemonFixture(limits={"may_tell_peers": True}), RecordingOwner()
    hello = frames.Hello("call_server", 9, 1)
    server.net.for_host("x").connect(
        "s:2", lambda: Channel(server.loop, stranger, hello, ("call_server",)), print
    )
    server.loop.advance(1.0)
    assert stranger.close_reasons


def test_calls_of_a_caller_that_has_left_are_not_set_up() -> None:
    # Guards against dialling for what a caller wrote before it closed its connection: nobody waits for an answer.
    server, caller = DaemonFixture(), RecordingOwner()
    accepted: list[Channel] = []
    opened = server.daemon.caller_channels.channel_opened

    def note_opened(channel: Channel) -> None:
        accepted.append(channel)
        opened(channel)

    server.daemon.caller_channels.channel_opened = note_opened  # type: ignore[method-assign]
    hello = frames.Hello("caller", 0, 1)
    server.net.for_host("c").connect(
        "s:1", lambda: Channel(server.loop, caller, hello, ("call_server",)), print
    )
    server.loop.advance(1.0)
    [at_server], [at_caller] = accepted, caller.opened
    assert at_server.transport is not None and at_caller.transport is not None
    at_server.transport.pause_reading()
    for n in range(20):
        at_caller.send(frames.Call(n, "cheap", 1, "aa", 2_000_000, 1, False, "north"))
    server.loop.advance(0.1)
    at_caller.transport.close()
    server.loop.advance(0.1)
    at_server.transport.resume_reading()
    server.loop.advance(0.1)
    counts = server.daemon.switch.counts
    assert counts["calls_ignored"] == 20 and not counts["event.Arrived"] and not server.loop_errors
