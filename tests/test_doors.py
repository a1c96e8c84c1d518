"""The daemon's doors on the emulated network: operators, peers, offices that are not who the list says."""

import asyncio
import random
import typing
from collections.abc import Callable
from typing import Any, cast

import msgspec
import pytest
from world import Hand, day

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


class Asking(asyncio.BufferedProtocol):
    """An operator at the door."""

    def __init__(self) -> None:
        self.said = b""
        self.gone = False
        self.buffer = bytearray(1 << 16)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.said += bytes(self.buffer[:nbytes])

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True


class Door:
    """A call server at exchange 0 whose doors are knocked at."""

    def __init__(self, ledger: bool = False, **over: Any) -> None:
        self.loop = VirtualLoop()
        self.faults: list[str] = []
        self.loop.set_exception_handler(lambda loop, context: self.faults.append(str(context)))
        self.net = EmulatedNetwork(self.loop, 1)
        self.said: list[str] = []
        facts = start_event(server_settings(day(**over), 0, HostAddresses()))
        doors = ServerAddresses("s:1", "s:2", "s:3", "register:1", "")
        hooks = {"a": "on arrive { return none }"}
        self.daemon = Daemon(
            self.loop, self.net.at("s"), facts, doors, 10, 1, lambda event, **facts: self.said.append(event),
            hooks=hooks, make_settlement=self.desk if ledger else None,
        )  # fmt: skip
        self.daemon.start()
        self.loop.advance(0.1)

    def desk(self, loop: Any, send: Any, log: Any) -> SettlementService:
        keys, wall = NumberKeys({1: b"k" * 32}), 1_796_083_200_000_000
        disk = EmulatedDisk(1, loop)
        return SettlementService(
            loop, disk, 0, (0, 1), keys, lambda now: now + wall, send, log, random.Random(1)
        )

    def operator(self) -> Asking:
        asking = Asking()
        self.net.at("o").connect("s:3", lambda: asking, print)
        self.loop.advance(0.1)
        return asking

    def ask(self, text: bytes) -> bytes:
        asking = self.operator()
        asking.transport.write(text)
        self.loop.advance(0.1)
        assert asking.gone and not self.faults, self.faults
        return asking.said

    def party(self, address: str, hello: frames.Hello) -> Hand:
        """Somebody who listens at an address."""
        hand = Hand()
        self.net.at(address.partition(":")[0]).listen(
            address, lambda: Channel(self.loop, hand, hello, ("call_server",)), lambda listener: None
        )
        return hand

    def listed(self, *lines: frames.OfficeListEntry, kind: str = "whole", revision: int = 1) -> None:
        frame = frames.OfficeList(kind, revision, list(lines))
        self.daemon.control_channels.frame_received(cast(Channel, None), frame)
        self.loop.advance(1.0)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("hooks canary ²\n", "a percentage"),
        ("status" + " " * 5000 + "\n", "over"),
        ("ledger correct 0/1 " + "9" * 5000 + "\n", "over"),
        ("ledger correct 0/1 " + "9" * 150 + " ana why\n", "no ledger"),
        ("\n", "unknown request"),
        ("\udcff\x00\n", "unknown request"),
    ],
)
def test_whatever_an_operator_says_is_answered_in_one_line(text: str, said: str) -> None:
    door = Door()
    if text.startswith("hooks canary"):
        door.daemon.switch.hook_runner.hooks.start_shadow(door.daemon.switch.hook_runner.hooks.version)  # type: ignore[union-attr]
    assert said in door.ask(text.encode("utf-8", "surrogateescape")).decode()


def test_an_operator_who_says_nothing_or_reads_nothing_is_let_go() -> None:
    door = Door()
    silent, dripping = door.operator(), door.operator()
    for _ in range(12):
        dripping.transport.write(b"s")
        door.loop.advance(1.0)
    assert silent.gone and dripping.gone and not door.daemon.operator_transports


def test_an_office_of_another_number_than_the_list_says_is_not_dialled() -> None:
    """An address that was given to another office: dialogues for 1 went to 2, which handed them on."""
    door = Door()
    wrong = door.party("o1:1", frames.Hello("office", 2, 1))
    door.listed(frames.OfficeListEntry("o1", 1, "ready", None, "o1:1"))
    assert not door.daemon.switch.offices["o1"].connected
    assert wrong.down and "office 2, not 1" in wrong.down[0] and "office_not_as_listed" in door.said


def test_a_peer_that_moved_keeps_no_old_link() -> None:
    door = Door(limits={"may_tell_peers": True})
    hello = frames.Hello("call_server", 1, 1)
    old, new = door.party("p1:1", hello), door.party("p1:2", hello)
    door.listed(frames.OfficeListEntry("o1", 1, "ready", None, "o1:1", "p1:1"))
    assert len(old.up) == 1
    door.listed(frames.OfficeListEntry("o1", 1, "ready", None, "o1:1", "p1:2"), revision=2)
    assert old.down and len(new.up) == 1 and list(door.daemon.peer_connections) == ["p1:2"]


@pytest.mark.parametrize("kind", ["whole", "odd"])
def test_a_malformed_list_is_not_followed_to_its_peers(kind: str) -> None:
    door = Door(limits={"may_tell_peers": True})
    standing = "ready" if kind == "odd" else "broken"
    door.listed(frames.OfficeListEntry("o1", 1, standing, None, "o1:1", "p1:1"), kind=kind)
    assert not door.daemon.peer_connections and door.daemon.switch.counts["lists_malformed"] == 1


INTS = [0, 1, 2, 5, -1, 63, 64, 65, 1 << 16, 1 << 31, 1 << 53, (1 << 63) - 1, -(1 << 63), (1 << 64) - 1]
TEXTS = ["", "cheap", "o0", "o1", "ready", "draining", "gone", "whole", "changes", "setup", "answer", "released", "cut",
         "x" * 3000, "\u00b2", "\x00", "p1:1", "turned_back"]  # fmt: skip
FLOATS = [0.0, 0.5, 1e308, -1.0, float("nan"), float("inf"), float("-inf")]


def any_value(wanted: Any, chance: random.Random) -> Any:
    """A value of a frame's field, whatever its type lets through."""
    origin, args = typing.get_origin(wanted), typing.get_args(wanted)
    if origin is list:
        return [any_value(args[0], chance) for _ in range(chance.choice([0, 1, 3]))]
    if args:  # a union
        return any_value(chance.choice(args), chance)
    if wanted is type(None):
        return None
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        return any_frame(wanted, chance)
    choices: dict[Any, Callable[[], Any]] = {
        int: lambda: chance.choice(INTS),
        str: lambda: chance.choice(TEXTS),
        float: lambda: chance.choice(FLOATS),
        bool: lambda: chance.random() < 0.5,
        bytes: lambda: chance.randbytes(chance.choice([0, 1, 2, 40])),
    }
    return choices[wanted]()


def any_frame(kind: type[Any], chance: random.Random) -> Any:
    hints = typing.get_type_hints(kind)
    return kind(**{one.name: any_value(hints[one.name], chance) for one in msgspec.structs.fields(kind)})


def a_sound_frame(kind: type[Any], chance: random.Random) -> Any:
    """A frame as a party would say it."""
    ref = chance.randrange(1, 6)
    own: dict[type[Any], Any] = {
        frames.Call: frames.Call(chance.randrange(1 << 20), "cheap", 1, "aa", 2_000_000, 1, False, "north"),
        frames.HangUp: frames.HangUp(ref),
        frames.Setup: frames.Setup(chance.randrange(1 << 20), 2, 77, 0, "cheap", 1, "aa", 2_000_000, 1),
        frames.Answer: frames.Answer(ref, frames.Load(0.5, 1000, 5.0, 0.1)),
        frames.Reject: frames.Reject(ref, "processor_full", 0, frames.Load(0.5, 1000)),
        frames.StepProcessed: frames.StepProcessed(ref, "setup"),
        frames.GroupState: frames.GroupState(1, 0, 20),
        frames.LoadReport: frames.LoadReport(frames.Load(0.5, 1000)),
        frames.CarriedDialogue: frames.CarriedDialogue(1, 7, "cheap", "aa", 1, "released", 5_000),
        frames.PeerMessage: frames.PeerMessage(bytes((1, 1, 5, 5, 5))),
        frames.OfficeList: frames.OfficeList(
            "changes", 2, [frames.OfficeListEntry("o1", 1, "ready", 10**6, "o1:1", "p1:1")]
        ),
        frames.Advice: frames.Advice([-1, 1, 2]),
    }
    return own.get(kind) or any_frame(kind, chance)


def with_one_odd_figure(frame: Any, chance: random.Random) -> Any:
    """The frame with one field, or one of what stands in it, whatever the type lets through."""
    one = chance.choice(msgspec.structs.fields(frame)) if msgspec.structs.fields(frame) else None
    if one is None:
        return frame
    value = getattr(frame, one.name)
    if isinstance(value, msgspec.Struct):
        new = with_one_odd_figure(value, chance)
    elif isinstance(value, list) and value and isinstance(value[0], msgspec.Struct):
        new = [with_one_odd_figure(value[0], chance), *value[1:]]
    else:
        new = any_value(typing.get_type_hints(type(frame))[one.name], chance)
    return msgspec.structs.replace(frame, **{one.name: new})


@pytest.mark.parametrize("seed", range(12))
def test_any_frames_that_a_party_may_say_raise_nothing_and_stop_nobody(seed: int) -> None:
    """Whatever the types let through, from every party at once, in any order."""
    chance = random.Random(seed)
    door = Door(limits={"may_tell_peers": True}, ledger=seed % 2 == 0)
    hands = {
        "office": [door.party(f"o{n}:1", frames.Hello("office", n, 1)) for n in range(3)],
        "register": [door.party("register:1", frames.Hello("register", -1, 1))],
        "call_server": [door.party("p1:1", frames.Hello("call_server", 1, 1))],
        "caller": [Hand()],
    }
    caller = frames.Hello("caller", 0, 1)
    door.net.at("c").connect(
        "s:1", lambda: Channel(door.loop, hands["caller"][0], caller, ("call_server",)), print
    )
    door.loop.advance(5.0)
    lines = [
        frames.OfficeListEntry(f"o{n}", n, "ready", None, f"o{n}:1", f"p{n}:1" if n else "") for n in range(3)
    ]
    known = frames.OfficeList("whole", 1, lines)
    for _ in range(500):
        role = chance.choice(list(hands))
        ports = [hand.up[-1] for hand in hands[role] if hand.up]
        if role == "register" and chance.random() < 0.9:
            frame: Any = (
                known  # or all offices would soon be gone by an odd list, and nothing said of them heard
            )
        else:
            kind = chance.choice(ALLOWED_FRAMES[role, "call_server"])
            frame = any_frame(kind, chance)
            if chance.random() < 0.8:
                frame = a_sound_frame(kind, chance)
                if chance.random() < 0.7:
                    frame = with_one_odd_figure(frame, chance)
        if isinstance(frame, frames.OfficeList):
            frame = msgspec.structs.replace(frame, revision=1)
        if ports:
            (ports[0] if chance.random() < 0.5 else chance.choice(ports)).send(frame)
        door.loop.advance(chance.choice([0.001, 0.01, 0.3]))
    assert not door.faults, door.faults[0][:600]
    assert not door.daemon.switch.counts["decision_faults"] and not door.daemon.switch.counts["ledger_faults"]
    assert b'"number": 0' in door.ask(b"status\n") and b"wellhitch_held" in door.ask(b"metrics\n")


# Known red (KNOWN-RED.txt): roles are believed; nothing but loopback tells a peer from another process.
def test_a_stranger_who_says_he_is_a_call_server_is_let_go() -> None:
    door, stranger = Door(limits={"may_tell_peers": True}), Hand()
    hello = frames.Hello("call_server", 9, 1)
    door.net.at("x").connect("s:2", lambda: Channel(door.loop, stranger, hello, ("call_server",)), print)
    door.loop.advance(1.0)
    assert stranger.down
