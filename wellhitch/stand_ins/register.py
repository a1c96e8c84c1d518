"""The simulated register, which sends the office list to every call server with a delay, and the simulated centre,
which advises tandems from outdated group states."""

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
    state: str
    started: int | None
    address: str
    peer: str


class Register:
    """Learns changes at once and sends them `update_delay(state)` us later, plus a random part of `delay_spread`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: str,
        recorder: Recorder,
        rng: random.Random,
        update_delay: Callable[[str], int],
        delay_spread: int,
        boot: int,
    ) -> None:
        self.loop, self.network, self.recorder, self.rng = loop, network, recorder, rng
        self.update_delay, self.delay_spread = update_delay, delay_spread
        self.hello = frames.Hello("register", -1, boot)
        self.offices: dict[str, RegisteredOffice] = {}
        self.revision = 0
        self.next_update_due: dict[Channel, int] = {}
        self.resends_old_list = False  # fault: an old revision is sent after each new one
        self._last_list: frames.OfficeList | None = None
        self.listener: Listener | None = None
        self.address = address
        network.listen(address, self._new_channel, self._ready)

    def _ready(self, listener: Listener) -> None:
        self.listener = listener

    def _new_channel(self) -> Channel:
        return Channel(self.loop, self, self.hello, ("call_server",), self.recorder.record_frame)

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def _entry(self, office_record: RegisteredOffice) -> frames.OfficeListEntry:
        age = None if office_record.started is None else max(0, self.now() - office_record.started)
        return frames.OfficeListEntry(
            office_record.office,
            office_record.number,
            office_record.state,
            age,
            office_record.address,
            office_record.peer,
        )

    def update(
        self, office: str, number: int, state: str, started: int | None, address: str, peer: str = ""
    ) -> None:
        """Update an office; every call server is sent the change later."""
        self.revision += 1
        office_record = self.offices[office] = RegisteredOffice(office, number, state, started, address, peer)
        wait = self.update_delay(state)
        revision = self.revision
        for channel in list(self.next_update_due):
            due = max(
                self.now() + wait + int(self.rng.random() * self.delay_spread), self.next_update_due[channel]
            )
            self.next_update_due[channel] = due + 1
            # The state sent is that at the change, but the age is the present one.
            self.loop.call_later(
                (due - self.now()) / 1e6, self._send_update, channel, office_record, state, revision
            )

    def _send_update(
        self, channel: Channel, office_record: RegisteredOffice, state: str, revision: int
    ) -> None:
        if channel not in self.next_update_due:
            return
        entry = self._entry(
            RegisteredOffice(
                office_record.office,
                office_record.number,
                state,
                office_record.started,
                office_record.address,
                office_record.peer,
            )
        )
        frame = frames.OfficeList("changes", revision, [entry])
        channel.send(frame)
        if self.resends_old_list and self._last_list is not None:
            channel.send(self._last_list)
        self._last_list = frame

    def restart(self, older_by: int) -> None:
        """Restart with a list `older_by` revisions old: all connections are lost and reopened."""
        self.revision = max(0, self.revision - older_by)
        for channel in list(self.next_update_due):
            channel.fail("register restarted", notify_peer=False)

    def channel_opened(self, channel: Channel) -> None:
        """A call server connected: send it the whole list at once."""
        self.next_update_due[channel] = self.now()
        channel.send(
            frames.OfficeList(
                "whole",
                self.revision,
                [self._entry(office_record) for office_record in self.offices.values()],
            )
        )

    def channel_closed(self, channel: Channel, why: str) -> None:
        """A call server disconnected."""
        self.next_update_due.pop(channel, None)
        self.recorder.record_connection_down(channel)

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        """Call servers send no frames here."""

    def circuits_held(self, channel: Channel) -> int:
        """Always 0: no circuits are held on these connections."""
        return 0


class Centre:
    """Reads all groups every `period` us and sends every call server, `advice_delay` us later, the tandem for each
    destination whose two groups had most free circuits."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: str,
        recorder: Recorder,
        free: Callable[[int, int], int],
        numbers: list[int],
        period: int,
        advice_delay: int,
        boot: int,
    ) -> None:
        self.loop, self.free_circuits, self.numbers = loop, free, numbers
        self.period, self.advice_delay, self.recorder = period, advice_delay, recorder
        self.hello = frames.Hello("centre", -1, boot)
        self.channels: dict[Channel, None] = {}
        self.advice_lost = False  # fault: its advice is lost
        network.listen(address, self._new_channel, self._ready)

    def _ready(self, listener: Listener) -> None:
        self.loop.call_later(self.period / 1e6, self._scan_groups)

    def _new_channel(self) -> Channel:
        return Channel(self.loop, self, self.hello, ("call_server",), self.recorder.record_frame)

    def _scan_groups(self) -> None:
        self.loop.call_later(self.period / 1e6, self._scan_groups)
        free = {
            here: {there: self.free_circuits(here, there) for there in self.numbers if there != here}
            for here in self.numbers
        }
        for channel in list(self.channels):
            here = channel.peer.number
            if here in free:
                self.loop.call_later(
                    self.advice_delay / 1e6, self._send_advice, channel, self._best_tandems(here, free)
                )

    def _best_tandems(self, here: int, free: dict[int, dict[int, int]]) -> list[int]:
        result = []
        for destination in range(max(self.numbers) + 1):
            candidates = [
                (min(free[here][tandem], free[tandem][destination]), tandem)
                for tandem in self.numbers
                if tandem not in (here, destination) and destination in free[tandem]
            ]
            free_count, tandem = max(candidates, key=lambda pair: (pair[0], -pair[1]), default=(0, -1))
            result.append(tandem if free_count > 0 and destination != here else -1)
        return result

    def _send_advice(self, channel: Channel, tandems: list[int]) -> None:
        if channel in self.channels and not self.advice_lost:
            channel.send(frames.Advice(tandems))

    def channel_opened(self, channel: Channel) -> None:
        """A call server connected."""
        self.channels[channel] = None

    def channel_closed(self, channel: Channel, why: str) -> None:
        """A call server disconnected."""
        self.channels.pop(channel, None)

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        """Call servers send no frames here."""

    def circuits_held(self, channel: Channel) -> int:
        """Always 0: no circuits are held on these connections."""
        return 0
