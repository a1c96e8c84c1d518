"""The stand-in register of offices, which tells every call server its list, late; and the stand-in centre,
which advises tandems from an old look at the groups."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from wellhitch.net.transport import Listener, Network, now_us
from wellhitch.stand_ins.recorder import Recorder
from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel


@dataclass(slots=True)
class RegisteredOffice:
    """One office in the register."""

    office: str
    number: int
    standing: str
    started: int | None
    address: str
    peer: str


class Register:
    """Knows the truth at once and tells it late: `late(standing)` us after a change, spread over `spread`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: str,
        recorder: Recorder,
        chance: random.Random,
        late: Callable[[str], int],
        spread: int,
        boot: int,
    ) -> None:
        self.loop, self.network, self.recorder, self.chance = loop, network, recorder, chance
        self.late, self.spread = late, spread
        self.hello = frames.Hello("register", -1, boot)
        self.known: dict[str, RegisteredOffice] = {}
        self.revision = 0
        self.told: dict[Channel, int] = {}
        self.goes_back = False  # trouble: an old revision is told after each new one
        self._last: frames.OfficeList | None = None
        self.listener: Listener | None = None
        self.address = address
        network.listen(address, self._port, self._ready)

    def _ready(self, listener: Listener) -> None:
        self.listener = listener

    def _port(self) -> Channel:
        return Channel(self.loop, self, self.hello, ("call_server",), self.recorder.tap)

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def _line(self, known: RegisteredOffice) -> frames.OfficeListEntry:
        age = None if known.started is None else max(0, self.now() - known.started)
        return frames.OfficeListEntry(
            known.office, known.number, known.standing, age, known.address, known.peer
        )

    def change(
        self, office: str, number: int, standing: str, started: int | None, address: str, peer: str = ""
    ) -> None:
        """An office changed; every call server will be told."""
        self.revision += 1
        known = self.known[office] = RegisteredOffice(office, number, standing, started, address, peer)
        wait = self.late(standing)
        revision = self.revision
        for port in list(self.told):
            due = max(self.now() + wait + int(self.chance.random() * self.spread), self.told[port])
            self.told[port] = due + 1
            # What is told is as it was at the change; its age counts on.
            self.loop.call_later((due - self.now()) / 1e6, self._tell, port, known, standing, revision)

    def _tell(self, port: Channel, known: RegisteredOffice, standing: str, revision: int) -> None:
        if port not in self.told:
            return
        line = self._line(
            RegisteredOffice(known.office, known.number, standing, known.started, known.address, known.peer)
        )
        frame = frames.OfficeList("changes", revision, [line])
        port.send(frame)
        if self.goes_back and self._last is not None:
            port.send(self._last)
        self._last = frame

    def restart(self, older_by: int) -> None:
        """The register restarts with a list `older_by` revisions old: all links drop and come back."""
        self.revision = max(0, self.revision - older_by)
        for port in list(self.told):
            port.fail("register restarted", notify_peer=False)

    def channel_opened(self, port: Channel) -> None:
        """A call server came: it is told the whole list at once."""
        self.told[port] = self.now()
        port.send(
            frames.OfficeList("whole", self.revision, [self._line(known) for known in self.known.values()])
        )

    def channel_closed(self, port: Channel, why: str) -> None:
        """It left."""
        self.told.pop(port, None)
        self.recorder.down(port)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """Call servers say nothing here."""

    def circuits_held(self, port: Channel) -> int:
        """No circuits."""
        return 0


class Centre:
    """Looks at all groups each `period` us and tells every call server, `late` us after, for each destination
    the tandem whose two groups had most room."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: str,
        recorder: Recorder,
        free: Callable[[int, int], int],
        numbers: list[int],
        period: int,
        late: int,
        boot: int,
    ) -> None:
        self.loop, self.free, self.numbers = loop, free, numbers
        self.period, self.late, self.recorder = period, late, recorder
        self.hello = frames.Hello("centre", -1, boot)
        self.ports: dict[Channel, None] = {}
        self.lost = False  # trouble: what it says is lost
        network.listen(address, self._port, self._ready)

    def _ready(self, listener: Listener) -> None:
        self.loop.call_later(self.period / 1e6, self._look)

    def _port(self) -> Channel:
        return Channel(self.loop, self, self.hello, ("call_server",), self.recorder.tap)

    def _look(self) -> None:
        self.loop.call_later(self.period / 1e6, self._look)
        free = {
            here: {there: self.free(here, there) for there in self.numbers if there != here}
            for here in self.numbers
        }
        for port in list(self.ports):
            here = port.peer.number
            if here in free:
                self.loop.call_later(self.late / 1e6, self._tell, port, self._best(here, free))

    def _best(self, here: int, free: dict[int, dict[int, int]]) -> list[int]:
        out = []
        for destination in range(max(self.numbers) + 1):
            rooms = [
                (min(free[here][tandem], free[tandem][destination]), tandem)
                for tandem in self.numbers
                if tandem not in (here, destination) and destination in free[tandem]
            ]
            room, tandem = max(rooms, key=lambda pair: (pair[0], -pair[1]), default=(0, -1))
            out.append(tandem if room > 0 and destination != here else -1)
        return out

    def _tell(self, port: Channel, tandems: list[int]) -> None:
        if port in self.ports and not self.lost:
            port.send(frames.Advice(tandems))

    def channel_opened(self, port: Channel) -> None:
        """A call server came."""
        self.ports[port] = None

    def channel_closed(self, port: Channel, why: str) -> None:
        """It left."""
        self.ports.pop(port, None)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """Call servers say nothing here."""

    def circuits_held(self, port: Channel) -> int:
        """No circuits."""
        return 0
