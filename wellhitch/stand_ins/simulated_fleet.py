"""All stand-ins of one day on one loop: offices, callers, register and centre, with their captures. The call servers
are run elsewhere; `Servers` is the interface to stop and start them."""

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
        """Start a call server, or start it again."""

    def kill(self, number: int) -> None:
        """Kill a call server."""

    def pause(self, number: int) -> None:
        """Pause a call server."""

    def resume(self, number: int) -> None:
        """Resume a paused call server."""


class Addresses(Protocol):
    """The addresses of all hosts."""

    def of(self, host: str, listener: str) -> str:
        """The host:port of a named listener of a host; the same on each call."""


class LinkFaultInjector(Protocol):
    """Injects faults into the connections of a day, if the network supports it."""

    def reset_connections(self, here: str, there: str) -> int:
        """Reset the connections between two hosts."""

    def set_fault(self, here: str, there: str, fault: str, value: bool | int) -> None:
        """Set a field of `LinkFaults` between two hosts, in both directions."""


@dataclass
class SimulatedFleet:
    """The stand-ins of a day. `network(host)` is the network interface of a host."""

    loop: asyncio.AbstractEventLoop
    day: Day
    network: Callable[[str], Network]
    addresses: Addresses
    servers: Servers
    link_faults: LinkFaultInjector | None = None
    folder: Path | None = None
    recorders: dict[str, Recorder] = field(default_factory=dict)
    offices: dict[int, Office] = field(default_factory=dict)
    replaced_offices: list[Office] = field(default_factory=list)
    callers: dict[int, Callers] = field(default_factory=dict)
    trunks: dict[int, Trunks] = field(default_factory=dict)
    generations: dict[int, int] = field(default_factory=dict)
    unavailable_servers: set[int] = field(default_factory=set)  # call servers now killed or paused

    def __post_init__(self) -> None:
        day = self.day
        self.world_recorder = self.new_recorder(
            "world",
            "world",
            drain_grace=duration_us(day.rules.drain_grace),
            release_wait=duration_us(day.rules.release_wait),
            cold_multiple=day.rules.cold_multiple,
            cold_window=duration_us(day.rules.cold_window),
            way=self.network_delays()[0],
            spread=self.network_delays()[1],
            day=day.name,
            seed=day.seed,
            use_cases=[
                {
                    "name": traffic_class.name,
                    "payoff": traffic_class.payoff,
                    "agreed_time": duration_us(traffic_class.agreed_time),
                    "late_share": traffic_class.late_share,
                }
                for traffic_class in day.use_cases
            ],
        )
        self.exchanges = {exchange.number: exchange for exchange in day.exchanges}
        self.zones = {exchange.number: exchange.zone for exchange in day.exchanges}
        for exchange in day.exchanges:
            # A pair without a group gets one with no circuits, so both ends report it and no call server dials over it.
            empty_groups = {other: TrunkGroup(0) for other in self.zones if other != exchange.number}
            self.trunks[exchange.number] = Trunks(exchange.number, empty_groups, day.offices.lines)
        for group in day.groups:
            a, b = group.ends
            self.trunks[a].groups[b] = TrunkGroup(group.size)
            self.trunks[b].groups[a] = TrunkGroup(group.size)
        register_settings = day.register
        delays = {
            "ready": duration_us(register_settings.add),
            "draining": duration_us(register_settings.notice),
            "gone": duration_us(register_settings.silent_notice),
        }
        self.register = Register(
            loop=self.loop,
            network=self.network("register"),
            address=self.addresses.of("register", "list"),
            recorder=self.new_recorder("register", "register"),
            rng=self.random_for("register"),
            update_delay=lambda state: delays[state],
            delay_spread=duration_us(register_settings.spread),
            boot=1,
        )
        for exchange in day.exchanges:
            self.start_office(exchange.number, None)
        self.centre: Centre | None = None
        if day.centre is not None:
            self.centre = Centre(
                self.loop,
                self.network("centre"),
                self.addresses.of("centre", "advice"),
                self.new_recorder("centre", "centre"),
                self.free_circuits,
                sorted(self.trunks),
                duration_us(day.centre.period),
                duration_us(day.centre.late),
                1,
            )

    def network_delays(self) -> tuple[int, int]:
        """The longest one-way delay, and the largest difference between two delays from one call server to offices, in
        us. On real sockets the delays of the day's network do not apply: a delay is then the time a busy loop takes,
        and the runner states it."""
        net = self.day.net
        zones = {exchange.zone for exchange in self.day.exchanges}
        delays = [duration_us(net.same), *([duration_us(net.cross)] if len(zones) > 1 else [])]
        longest = int(max(delays) * (1 + net.jitter)) + 1
        return max(longest, duration_us(net.here)), longest - min(delays)

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def random_for(self, part: str) -> random.Random:
        """A separate random generator for each part, seeded from the day's seed."""
        return random.Random(f"{self.day.seed} {part}")

    def new_recorder(self, party: str, name: str, **facts: Any) -> Recorder:
        """Start the capture of one party."""
        file: BinaryIO | None = None
        if self.folder is not None:
            file = (self.folder / f"{name}.capture").open("wb", buffering=1 << 20)
        recorder = self.recorders[name] = Recorder(self.now, party, name, file, **facts)
        return recorder

    def host_of(self, number: int) -> str:
        """The host of an exchange's current office."""
        return self.offices[number].name

    def start_office(self, number: int, started: int | None) -> Office:
        """Start an exchange's first office or a replacement; the register is notified at once."""
        day, exchange = self.day, self.exchanges[number]
        generation = self.generations[number] = self.generations.get(number, -1) + 1
        name = f"office-{number}" if not generation else f"office-{number}.{generation}"
        cold_start = ColdStart(
            day.offices.cold_share,
            duration_us(day.offices.cold_for),
            day.rules.cold_multiple,
            duration_us(day.rules.cold_window),
        )
        recorder = self.new_recorder(
            "office",
            name,
            number=number,
            started=started,
            warm_after=cold_start.warm_after_us,
            cold_share=cold_start.initial_share,
            setup_us=duration_us(exchange.setup),
        )
        office = Office(
            self.loop,
            self.network(name),
            name,
            self.trunks[number],
            recorder,
            self.random_for(name),
            address=self.addresses.of(name, "trunk"),
            setup_us=duration_us(exchange.setup),
            queue_us=duration_us(day.offices.queue),
            costs=WorkCosts(day.offices.look, day.offices.reject, day.offices.follow, day.offices.word),
            cold=cold_start,
            started=started,
            boot=generation + 1,
            finish_first=day.offices.finish_first,
            cancel_drops=day.offices.cancel_drops,
            tells_wait=day.offices.tells_wait,
            reports=day.offices.reports,
            noise=day.offices.noise,
        )
        office.faults.error_rate = day.offices.error_rate
        if number in self.offices:
            self.replaced_offices.append(self.offices[number])
        self.offices[number] = office
        self.update_register(office, "ready")
        return office

    def update_register(self, office: Office, state: str) -> None:
        """Notify the register of an office's state."""
        number = office.trunks.number
        self.register.update(
            office.name,
            number,
            state,
            office.processor.started,
            office.address,
            self.addresses.of(f"server-{number}", "peers"),
        )

    def start_callers(self) -> None:
        """Start the callers of all exchanges."""
        for exchange in self.day.exchanges:
            callers = self.callers[exchange.number] = self._new_callers(exchange)
            callers.start()

    def _new_callers(self, exchange: ExchangeSettings) -> Callers:
        day, name = self.day, f"callers-{exchange.number}"
        behaviour = CallerBehaviour(
            day.callers.retries,
            day.callers.patience,
            duration_us(day.callers.pause),
            day.callers.doubles,
            day.callers.heeds,
            day.limits.marks_redials,
            early_hang_up_share=day.callers.impatient,
            tenants=tuple(day.callers.tenants),
        )
        return Callers(
            self.loop,
            self.network(name),
            exchange.number,
            self.addresses.of(f"server-{exchange.number}", "callers"),
            self.new_recorder("callers", name, number=exchange.number),
            self.random_for(name),
            TrafficDemand(
                {int(destination): rate for destination, rate in exchange.calls.items() if rate > 0},
                self.traffic_classes(),
                shape=sorted(day.shape),
                drift=(duration_us(day.drift.every), day.drift.cv) if day.drift else None,
                bursts=(duration_us(day.bursts.every), day.bursts.cv) if day.bursts else None,
            ),
            behaviour,
            1,
        )

    def traffic_classes(self) -> list[tuple[TrafficClass, float]]:
        """The traffic classes as the callers know them, with their shares."""
        return [
            (
                TrafficClass(
                    traffic_class.name,
                    traffic_class.payoff,
                    traffic_class.late_share,
                    duration_us(traffic_class.agreed_time),
                    duration_us(traffic_class.outer_limit),
                    traffic_class.width,
                    duration_us(traffic_class.hold),
                    (),
                    traffic_class.repeatable,
                    duration_us(traffic_class.repeat_within),
                ),
                traffic_class.share,
            )
            for traffic_class in self.day.use_cases
        ]

    def free_circuits(self, here: int, there: int) -> int:
        """The number of free circuits of a group, for the centre; -1 if there is no group."""
        group = self.trunks[here].groups.get(there)
        return group.free if group else -1

    def stop_new_calls(self) -> None:
        """Start no new calls."""
        for callers in self.callers.values():
            callers.stop_new_calls()

    @property
    def open_calls(self) -> int:
        """The number of call requests that are not finished."""
        return sum(callers.open_calls for callers in self.callers.values())

    def close(self) -> None:
        """Close the captures."""
        for recorder in self.recorders.values():
            recorder.close()
