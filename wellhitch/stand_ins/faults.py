"""Injects the faults of a day into the stand-ins. Each fault kind is a function that starts it and may return one that
ends it.

`FAULT_INJECTORS` has every kind of `settings.day.FAULT_KINDS`; a test compares the two.
"""

import math
import random
from collections.abc import Callable

from wellhitch.settings.day import FaultSettings
from wellhitch.settings.server import duration_us
from wellhitch.stand_ins.simulated_fleet import SimulatedFleet

EndFault = Callable[[], None]
InjectFault = Callable[[SimulatedFleet, FaultSettings], EndFault | None]


class UnsupportedFaultError(Exception):
    """A fault that cannot be injected in this mode of playing the day; the message says why."""


def schedule(simulation: SimulatedFleet) -> None:
    """Schedule all faults of the day, with times relative to now."""
    for fault in simulation.day.troubles:
        if fault.kind in _NEED_EMULATED_NETWORK and simulation.link_faults is None:
            raise UnsupportedFaultError(f"trouble {fault.kind!r} needs the emulated network (--virtual)")
        simulation.loop.call_later(duration_us(fault.at) / 1e6, _start_fault, simulation, fault)


def _start_fault(simulation: SimulatedFleet, fault: FaultSettings) -> None:
    simulation.world_recorder.record_note("trouble", kind=fault.kind, on=fault.on, size=fault.size)
    end_fault = FAULT_INJECTORS[fault.kind](simulation, fault)
    if end_fault is not None:
        simulation.loop.call_later(duration_us(fault.length) / 1e6, _end_fault, simulation, fault, end_fault)


def _end_fault(simulation: SimulatedFleet, fault: FaultSettings, end_fault: EndFault) -> None:
    simulation.world_recorder.record_note("trouble_over", kind=fault.kind)
    end_fault()


def _affected_exchanges(simulation: SimulatedFleet, fault: FaultSettings) -> list[int]:
    return fault.on or sorted(simulation.offices)


def _call_later(
    simulation: SimulatedFleet, seconds: float, callback: Callable[..., object], *args: object
) -> None:
    simulation.loop.call_later(seconds, callback, *args)


# ---- processors ----


def _slow_down(simulation: SimulatedFleet, numbers: list[int], factor: float) -> EndFault:
    affected = [simulation.offices[number].processor for number in numbers]
    for processor in affected:
        processor.slowdown *= factor

    def end_fault() -> None:
        for processor in affected:
            processor.slowdown /= factor

    return end_fault


def slow(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """Processors are `size` times slower."""
    return _slow_down(simulation, _affected_exchanges(simulation, fault), max(fault.size, 0.01))


def hang(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """Processors accept work and complete none."""
    affected = [simulation.offices[number].processor for number in _affected_exchanges(simulation, fault)]
    for processor in affected:
        processor.hung = True

    def end_fault() -> None:
        for processor in affected:
            processor.resume()

    return end_fault


def neighbour(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """Other work takes `size` of the processor, alternately on and off for `extra` seconds."""
    ended = [False]

    def start() -> None:
        if not ended[0]:
            end_fault = _slow_down(
                simulation, _affected_exchanges(simulation, fault), 1 / max(0.01, 1 - fault.size)
            )
            _call_later(simulation, max(0.1, fault.extra), stop, end_fault)

    def stop(end_fault: EndFault) -> None:
        end_fault()
        _call_later(simulation, max(0.1, fault.extra), start)

    start()
    return lambda: ended.__setitem__(0, True)


def ageing(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """Processors slow down gradually, up to `size` times, crash at the end and restart cold `extra` seconds later."""
    numbers, steps = _affected_exchanges(simulation, fault), 20
    step = max(1.0, fault.size) ** (1 / steps)
    for index in range(steps):
        _call_later(
            simulation, duration_us(fault.length) / 1e6 * index / steps, _slow_down, simulation, numbers, step
        )

    def end_fault() -> None:
        for number in numbers:
            _crash(simulation, number, fault.extra)

    return end_fault


def _crash(simulation: SimulatedFleet, number: int, restart_after_s: float) -> None:
    office = simulation.offices[number]
    office.stop("crash")
    simulation.update_register(office, "gone")
    _call_later(simulation, restart_after_s, lambda: simulation.start_office(number, simulation.now()))


def crash(simulation: SimulatedFleet, fault: FaultSettings) -> None:
    """The processor crashes and restarts cold after `length`."""
    for number in _affected_exchanges(simulation, fault):
        _crash(simulation, number, duration_us(fault.length) / 1e6)


def mass_restart(simulation: SimulatedFleet, fault: FaultSettings) -> None:
    """Many processors crash at once and all restart cold after `length`."""
    crash(simulation, fault)


def deploy(simulation: SimulatedFleet, fault: FaultSettings) -> None:
    """New processors replace the old, a share `size` of all at a time; each old one drains for `extra` seconds."""
    numbers = _affected_exchanges(simulation, fault)
    batch = max(1, round(fault.size * len(simulation.offices)))
    batches = [numbers[index : index + batch] for index in range(0, len(numbers), batch)]
    for index, batch_numbers in enumerate(batches):
        _call_later(
            simulation,
            duration_us(fault.length) / 1e6 * index / len(batches),
            _replace,
            simulation,
            batch_numbers,
            fault.extra,
        )


def _replace(simulation: SimulatedFleet, numbers: list[int], drain_s: float) -> None:
    for number in numbers:
        old_office = simulation.offices[number]
        if not old_office.running:
            continue
        simulation.update_register(old_office, "draining")
        simulation.start_office(number, simulation.now())
        _call_later(simulation, drain_s, _stop_old, simulation, old_office)


def _stop_old(simulation: SimulatedFleet, old_office: object) -> None:
    for office in [*simulation.replaced_offices, *simulation.offices.values()]:
        if office is old_office:
            office.stop("replaced")
            simulation.update_register(office, "gone")


def errors(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """A share `size` of all set-ups fails immediately."""
    return _set_office_faults(simulation, fault, "error_rate", fault.size, simulation.day.offices.error_rate)


def answer_lost(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """A share `size` of the answers is lost: silently, or with a reset if `how` is "reset"."""
    return _set_office_faults(
        simulation, fault, "reset_answers" if fault.how == "reset" else "lost_answers", fault.size, 0.0
    )


def answer_twice(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """A share `size` of the answers is sent twice."""
    return _set_office_faults(simulation, fault, "duplicated_answers", fault.size, 0.0)


def answer_after_release(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """An answer is sent again when the dial is released or cancelled."""
    return _set_office_faults(simulation, fault, "answers_after_release", True, False)


def garbage(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """The next answer of each office is an undecodable frame."""
    return _set_office_faults(simulation, fault, "sends_garbage", True, False)


def report_late(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """Load reports are `size` seconds old."""
    return _set_office_faults(simulation, fault, "report_age_us", int(fault.size * 1e6), 0)


def _set_office_faults(
    simulation: SimulatedFleet, fault: FaultSettings, attribute: str, during: object, after: object
) -> EndFault:
    affected = [simulation.offices[number].faults for number in _affected_exchanges(simulation, fault)]
    for office_faults in affected:
        setattr(office_faults, attribute, during)

    def end_fault() -> None:
        for office_faults in affected:
            setattr(office_faults, attribute, after)

    return end_fault


# ---- callers ----


def burst(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """The call rate is multiplied by `size`."""
    return _multiply_demand(simulation, _affected_exchanges(simulation, fault), fault.size)


def _multiply_demand(simulation: SimulatedFleet, numbers: list[int], factor: float) -> EndFault:
    affected = [simulation.callers[number].demand for number in numbers]
    for demand in affected:
        demand.multiplier *= factor

    def end_fault() -> None:
        for demand in affected:
            demand.multiplier /= factor

    return end_fault


def hot_caller(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """Callers of the exchanges add a share `size` of all dialogues to their own."""
    numbers = _affected_exchanges(simulation, fault)
    total = sum(sum(c.demand.rates.values()) for c in simulation.callers.values())
    own = sum(sum(simulation.callers[n].demand.rates.values()) for n in numbers) or 1.0
    return _multiply_demand(simulation, numbers, 1 + fault.size * total / own)


def hot_number(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """A share `size` of all dialogues calls one number of the first exchange named."""
    affected = [callers.demand for callers in simulation.callers.values()]
    for demand in affected:
        demand.hot_share, demand.hot_exchange, demand.hot_number = (
            min(1.0, fault.size),
            _affected_exchanges(simulation, fault)[0],
            "hot",
        )

    def end_fault() -> None:
        for demand in affected:
            demand.hot_share = 0.0

    return end_fault


def give_up(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """A share `size` of the callers waits only `extra` of the usual patience and does not retry."""
    shortened = (min(1.0, fault.size), fault.extra or 0.5)
    for callers in simulation.callers.values():
        callers.behaviour.shortened_patience.append(shortened)

    def end_fault() -> None:
        for callers in simulation.callers.values():
            callers.behaviour.shortened_patience.remove(shortened)

    return end_fault


# ---- groups ----


def origin_slow(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """Groups between the zone of the first exchange named and the other zones are reduced to 1 / sqrt(`size`) of their
    circuits; calls on the removed circuits are cut."""
    zone = simulation.zones[_affected_exchanges(simulation, fault)[0]]
    rng = random.Random(f"{simulation.day.seed} origin_slow")
    pairs = [
        (a, b)
        for a in sorted(simulation.trunks)
        for b in sorted(simulation.trunks[a].groups)
        if a < b and (simulation.zones[a] == zone) != (simulation.zones[b] == zone)
    ]
    sizes = {pair: simulation.trunks[pair[0]].groups[pair[1]].size for pair in pairs}
    for pair in pairs:
        _resize(simulation, pair, int(sizes[pair] / math.sqrt(max(1.0, fault.size))), rng)

    def end_fault() -> None:
        for pair in pairs:
            _resize(simulation, pair, sizes[pair], rng)

    return end_fault


def _resize(simulation: SimulatedFleet, pair: tuple[int, int], size: int, rng: random.Random) -> None:
    a, b = pair
    group_ends = [(simulation.offices[a], b), (simulation.offices[b], a)]
    legs = [(office, leg) for office, other in group_ends for leg in office.legs_from_exchange(other)]
    rng.shuffle(legs)
    held = sum(leg.setup.width for _, leg in legs)
    while held > size and legs:
        office, leg = legs.pop()
        held -= leg.setup.width
        office.cut_leg(leg)
    for office, other in group_ends:
        office.resize(other, size)


# ---- connections, office lists, call servers ----


def _server_office_pairs(simulation: SimulatedFleet, fault: FaultSettings) -> list[tuple[str, str]]:
    return [
        (f"server-{server_number}", simulation.host_of(number))
        for number in _affected_exchanges(simulation, fault)
        for server_number in sorted(simulation.offices)
        if server_number != number
    ]


def link_cut(simulation: SimulatedFleet, fault: FaultSettings) -> None:
    """Every connection to these offices is reset, `size` times, `extra` seconds apart."""
    assert simulation.link_faults is not None
    for index in range(max(1, int(fault.size))):
        for server_host, office_host in _server_office_pairs(simulation, fault):
            _call_later(
                simulation,
                index * fault.extra,
                simulation.link_faults.reset_connections,
                server_host,
                office_host,
            )


def _link_fault_injector(
    fault_name: str,
    select_pairs: Callable[[SimulatedFleet, FaultSettings], list[tuple[str, str]]] = _server_office_pairs,
    value_of: Callable[[FaultSettings], bool | int] = lambda fault: True,
) -> InjectFault:
    def inject(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
        link_faults = simulation.link_faults
        assert link_faults is not None
        pairs = select_pairs(simulation, fault)
        for here, there in pairs:
            link_faults.set_fault(here, there, fault_name, value_of(fault))
            if fault_name != "extra_delay_us":
                simulation.world_recorder.record_note("silent", here=here, there=there)

        def end_fault() -> None:
            for here, there in pairs:
                link_faults.set_fault(here, there, fault_name, False)
                if fault_name != "extra_delay_us":
                    simulation.world_recorder.record_note("silent_over", here=here, there=there)

        return end_fault

    return inject


def _peer_server_pairs(simulation: SimulatedFleet, fault: FaultSettings) -> list[tuple[str, str]]:
    """Host pairs over which the call servers of these exchanges send peer messages."""
    return [
        (f"server-{here}", f"server-{there}")
        for here in _affected_exchanges(simulation, fault)
        for there in sorted(simulation.offices)
        if here != there
    ]


def answer_reordered(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """A share `size` of the answers is delayed so that later ones overtake it."""
    return _set_office_faults(simulation, fault, "reordered_answers", fault.size, 0.0)


def reads_nothing(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """These offices stop reading their connections."""
    affected = [simulation.offices[number] for number in _affected_exchanges(simulation, fault)]
    for office in affected:
        office.set_reading(False)

    def end_fault() -> None:
        for office in affected:
            office.set_reading(True)

    return end_fault


def mid_frame_reset(simulation: SimulatedFleet, fault: FaultSettings) -> None:
    """Each connection of these offices is reset in the middle of a frame."""
    for number in _affected_exchanges(simulation, fault):
        for channel in list(simulation.offices[number].channels):
            if channel.transport is not None:
                channel.transport.write(b"\x01\x00\x00\x40half")
                channel.transport.abort()


def list_goes_back(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """The register sends an old office list after each new one."""
    simulation.register.resends_old_list = True
    return lambda: setattr(simulation.register, "resends_old_list", False)


def register_restart(simulation: SimulatedFleet, fault: FaultSettings) -> None:
    """The register restarts with an office list `size` revisions old."""
    simulation.register.restart(int(fault.size))


def server_killed(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """The call servers are killed and started again after `length`."""
    numbers = [
        number
        for number in _affected_exchanges(simulation, fault)
        if number not in simulation.unavailable_servers
    ]
    simulation.unavailable_servers.update(numbers)
    for number in numbers:
        simulation.world_recorder.record_note("server_killed", server=number)
        simulation.servers.kill(number)

    def end_fault() -> None:
        for number in numbers:
            simulation.unavailable_servers.discard(number)
            simulation.world_recorder.record_note("server_started", server=number)
            simulation.servers.start(number)

    return end_fault


def server_paused(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """The call servers' processes are paused for `length`."""
    numbers = [
        number
        for number in _affected_exchanges(simulation, fault)
        if number not in simulation.unavailable_servers
    ]
    simulation.unavailable_servers.update(numbers)
    for number in numbers:
        simulation.world_recorder.record_note("server_paused", server=number)
        simulation.servers.pause(number)

    def end_fault() -> None:
        for number in numbers:
            simulation.unavailable_servers.discard(number)
            simulation.servers.resume(number)
            simulation.world_recorder.record_note("server_resumed", server=number)

    return end_fault


def server_stalls(simulation: SimulatedFleet, fault: FaultSettings) -> EndFault:
    """The call servers' loops stall for `size` ms, repeatedly, `extra` seconds apart and each at different times. The
    captures do not record it: the rules apply in full during these stalls."""
    ended = [False]
    numbers = _affected_exchanges(simulation, fault)

    def stall(number: int) -> None:
        if ended[0]:
            return
        if number not in simulation.unavailable_servers:
            simulation.servers.pause(number)
        _call_later(simulation, fault.size / 1000, resume, number)

    def resume(number: int) -> None:
        if number not in simulation.unavailable_servers:
            simulation.servers.resume(number)
        _call_later(simulation, max(0.02, fault.extra), stall, number)

    for index, number in enumerate(numbers):
        _call_later(simulation, fault.extra * index / len(numbers), stall, number)
    return lambda: ended.__setitem__(0, True)


FAULT_INJECTORS: dict[str, InjectFault] = {
    "slow": slow,
    "hang": hang,
    "answer_lost": answer_lost,
    "burst": burst,
    "hot_caller": hot_caller,
    "hot_number": hot_number,
    "give_up": give_up,
    "deploy": deploy,
    "neighbour": neighbour,
    "shared_slow": slow,
    "origin_slow": origin_slow,
    "report_late": report_late,
    "balancer_crash": server_killed,
    "ageing": ageing,
    "mass_restart": mass_restart,
    "errors": errors,
    "crash": crash,
    "link_cut": link_cut,
    "half_open": _link_fault_injector("silent"),
    "reads_nothing": reads_nothing,
    "trickle": _link_fault_injector("trickle"),
    "words_lost": _link_fault_injector("silent", _peer_server_pairs),
    "words_late": _link_fault_injector(
        "extra_delay_us", _peer_server_pairs, lambda fault: int(fault.size * 1e6)
    ),
    "answer_reordered": answer_reordered,
    "mid_frame_reset": mid_frame_reset,
    "garbage": garbage,
    "answer_twice": answer_twice,
    "answer_after_release": answer_after_release,
    "list_goes_back": list_goes_back,
    "register_restart": register_restart,
    "server_paused": server_paused,
    "server_killed": server_killed,
    "server_stalls": server_stalls,
}
_NEED_EMULATED_NETWORK = ("link_cut", "half_open", "trickle", "words_lost", "words_late")
