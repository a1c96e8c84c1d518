"""All stand-ins of one day on a loop: offices, callers, register, centre, with their captures. The call servers
between them are somebody else's: `Servers` tells how to stop and start them."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO, Protocol

from wellhitch.interface.facts import TrafficClass
from wellhitch.net.transport import Network, now_us
from wellhitch.settings.day import Day, ExchangeSettings
from wellhitch.settings.server import duration_us
from wellhitch.stand_ins.callers import CallerBehaviour, Callers, TrafficDemand
from wellhitch.stand_ins.office import Office, Trunks
from wellhitch.stand_ins.processor import ColdStart, WorkCosts
from wellhitch.stand_ins.recorder import Recorder
from wellhitch.stand_ins.register import Centre, Register
from wellhitch.trunk.circuits import TrunkGroup


class Servers(Protocol):
    """The call servers of a day, by exchange."""

    def start(self, number: int) -> None:
        """Start one, or start it again."""

    def kill(self, number: int) -> None:
        """End one outright."""

    def pause(self, number: int) -> None:
        """Stop one where it is."""

    def resume(self, number: int) -> None:
        """Let it go on."""


class Addresses(Protocol):
    """Where everybody is reached."""

    def of(self, host: str, door: str) -> str:
        """host:port of a door of a host; the same each time."""


class LinkFaultInjector(Protocol):
    """What can be done to the links of a day, where the network allows it."""

    def cut(self, here: str, there: str) -> int:
        """Reset the links between two hosts."""

    def spoil(self, here: str, there: str, what: str, how: bool | int) -> None:
        """`silent`, `trickle` or `broken` between two hosts, on or off; `late`, by so many us."""


@dataclass
class SimulatedFleet:
    """The stand-ins of a day. `network(host)` is each host's own view."""

    loop: asyncio.AbstractEventLoop
    day: Day
    network: Callable[[str], Network]
    addresses: Addresses
    servers: Servers
    wire: LinkFaultInjector | None = None
    folder: Path | None = None
    recorders: dict[str, Recorder] = field(default_factory=dict)
    offices: dict[int, Office] = field(default_factory=dict)
    past: list[Office] = field(default_factory=list)
    callers: dict[int, Callers] = field(default_factory=dict)
    trunks: dict[int, Trunks] = field(default_factory=dict)
    generation: dict[int, int] = field(default_factory=dict)
    down: set[int] = field(default_factory=set)  # call servers that are killed, or paused, now

    def __post_init__(self) -> None:
        day = self.day
        self.world = self.recorder(
            "world",
            "world",
            drain_grace=duration_us(day.rules.drain_grace),
            release_wait=duration_us(day.rules.release_wait),
            cold_multiple=day.rules.cold_multiple,
            cold_window=duration_us(day.rules.cold_window),
            way=self.ways()[0],
            spread=self.ways()[1],
            day=day.name,
            seed=day.seed,
            use_cases=[
                {
                    "name": u.name,
                    "payoff": u.payoff,
                    "agreed_time": duration_us(u.agreed_time),
                    "late_share": u.late_share,
                }
                for u in day.use_cases
            ],
        )
        self.lines = {one.number: one for one in day.exchanges}
        self.zones = {one.number: one.zone for one in day.exchanges}
        for one in day.exchanges:
            # A pair without a group has one of no circuits: both ends tell so, and nobody dials over it.
            none = {other: TrunkGroup(0) for other in self.zones if other != one.number}
            self.trunks[one.number] = Trunks(one.number, none, day.offices.lines)
        for group in day.groups:
            a, b = group.ends
            self.trunks[a].groups[b] = TrunkGroup(group.size)
            self.trunks[b].groups[a] = TrunkGroup(group.size)
        late = day.register
        waits = {
            "ready": duration_us(late.add),
            "draining": duration_us(late.notice),
            "gone": duration_us(late.silent_notice),
        }
        self.register = Register(
            loop=self.loop,
            network=self.network("register"),
            address=self.addresses.of("register", "list"),
            recorder=self.recorder("register", "register"),
            chance=self.chance("register"),
            late=lambda standing: waits[standing],
            spread=duration_us(late.spread),
            boot=1,
        )
        for one in day.exchanges:
            self.new_office(one.number, None)
        self.centre: Centre | None = None
        if day.centre is not None:
            self.centre = Centre(
                self.loop,
                self.network("centre"),
                self.addresses.of("centre", "advice"),
                self.recorder("centre", "centre"),
                self.free,
                sorted(self.trunks),
                duration_us(day.centre.period),
                duration_us(day.centre.late),
                1,
            )

    def ways(self) -> tuple[int, int]:
        """One way at the longest, and by how much two ways from one call server to offices differ, us. On
        real sockets the figures of the day's net do not act, and a way is what a busy loop takes; the runner
        states it there."""
        net = self.day.net
        zones = {one.zone for one in self.day.exchanges}
        ways = [duration_us(net.same), *([duration_us(net.cross)] if len(zones) > 1 else [])]
        longest = int(max(ways) * (1 + net.jitter)) + 1
        return max(longest, duration_us(net.here)), longest - min(ways)

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def chance(self, what: str) -> random.Random:
        """A generator of its own for each part, all from the day's seed."""
        return random.Random(f"{self.day.seed} {what}")

    def recorder(self, party: str, name: str, **facts: Any) -> Recorder:
        """A capture of one party."""
        file: BinaryIO | None = None
        if self.folder is not None:
            file = (self.folder / f"{name}.capture").open("wb", buffering=1 << 20)
        made = self.recorders[name] = Recorder(self.now, party, name, file, **facts)
        return made

    def host_of(self, number: int) -> str:
        """The host of an exchange's present office."""
        return self.offices[number].name

    def new_office(self, number: int, started: int | None) -> Office:
        """An office starts, the first or in place of another; the register hears of it at once."""
        day, line = self.day, self.lines[number]
        again = self.generation[number] = self.generation.get(number, -1) + 1
        name = f"office-{number}" if not again else f"office-{number}.{again}"
        cold = ColdStart(
            day.offices.cold_share,
            duration_us(day.offices.cold_for),
            day.rules.cold_multiple,
            duration_us(day.rules.cold_window),
        )
        recorder = self.recorder(
            "office",
            name,
            number=number,
            started=started,
            warm_after=cold.warm_after,
            cold_share=cold.share,
            setup_us=duration_us(line.setup),
        )
        office = Office(
            self.loop,
            self.network(name),
            name,
            self.trunks[number],
            recorder,
            self.chance(name),
            address=self.addresses.of(name, "trunk"),
            setup_us=duration_us(line.setup),
            queue_us=duration_us(day.offices.queue),
            work=WorkCosts(day.offices.look, day.offices.reject, day.offices.follow, day.offices.word),
            cold=cold,
            started=started,
            boot=again + 1,
            finish_first=day.offices.finish_first,
            cancel_drops=day.offices.cancel_drops,
            tells_wait=day.offices.tells_wait,
            reports=day.offices.reports,
            noise=day.offices.noise,
        )
        office.ills.error_rate = day.offices.error_rate
        if number in self.offices:
            self.past.append(self.offices[number])
        self.offices[number] = office
        self.tell(office, "ready")
        return office

    def tell(self, office: Office, standing: str) -> None:
        """The register hears of an office."""
        number = office.trunks.number
        self.register.change(
            office.name,
            number,
            standing,
            office.processor.started,
            office.address,
            self.addresses.of(f"server-{number}", "peers"),
        )

    def begin(self) -> None:
        """Callers begin."""
        for line in self.day.exchanges:
            callers = self.callers[line.number] = self._callers(line)
            callers.start()

    def _callers(self, line: ExchangeSettings) -> Callers:
        day, name = self.day, f"callers-{line.number}"
        habits = CallerBehaviour(
            day.callers.retries,
            day.callers.patience,
            duration_us(day.callers.pause),
            day.callers.doubles,
            day.callers.heeds,
            day.limits.marks_redials,
            impatient=day.callers.impatient,
            tenants=tuple(day.callers.tenants),
        )
        return Callers(
            self.loop,
            self.network(name),
            line.number,
            self.addresses.of(f"server-{line.number}", "callers"),
            self.recorder("callers", name, number=line.number),
            self.chance(name),
            TrafficDemand(
                {int(to): rate for to, rate in line.calls.items() if rate > 0},
                self.use_cases(),
                shape=sorted(day.shape),
                drift=(duration_us(day.drift.every), day.drift.cv) if day.drift else None,
                bursts=(duration_us(day.bursts.every), day.bursts.cv) if day.bursts else None,
            ),
            habits,
            1,
        )

    def use_cases(self) -> list[tuple[TrafficClass, float]]:
        """Use cases as the callers know them, with their shares."""
        return [
            (
                TrafficClass(
                    u.name,
                    u.payoff,
                    u.late_share,
                    duration_us(u.agreed_time),
                    duration_us(u.outer_limit),
                    u.width,
                    duration_us(u.hold),
                    (),
                    u.repeatable,
                    duration_us(u.repeat_within),
                ),
                u.share,
            )
            for u in self.day.use_cases
        ]

    def free(self, here: int, there: int) -> int:
        """Free circuits of a group, for the centre; -1 where there is none."""
        group = self.trunks[here].groups.get(there)
        return group.free if group else -1

    def finish(self) -> None:
        """No more new dialogues."""
        for callers in self.callers.values():
            callers.finish()

    @property
    def open(self) -> int:
        """Cases that are not over."""
        return sum(callers.open for callers in self.callers.values())

    def close(self) -> None:
        """End the captures."""
        for recorder in self.recorders.values():
            recorder.close()
