"""What goes wrong on a day: each kind as a pair of what begins and what ends it, on the stand-ins alone.

`FAULT_INJECTORS` has every kind of `settings.day.FAULT_KINDS`; a test holds the two together.
"""

import math
import random
from collections.abc import Callable

from wellhitch.settings.day import FaultSettings
from wellhitch.settings.server import duration_us
from wellhitch.stand_ins.simulated_fleet import SimulatedFleet

Undo = Callable[[], None]
Begin = Callable[[SimulatedFleet, FaultSettings], Undo | None]


class UnsupportedFaultError(Exception):
    """A trouble that this way of playing the day cannot make; the text says why."""


def schedule(simulation: SimulatedFleet) -> None:
    """Set all troubles of the day, each at its time from now on."""
    for trouble in simulation.day.troubles:
        if trouble.kind in _NEED_WIRE and simulation.wire is None:
            raise UnsupportedFaultError(f"trouble {trouble.kind!r} needs the emulated network (--virtual)")
        simulation.loop.call_later(duration_us(trouble.at) / 1e6, _begin, simulation, trouble)


def _begin(simulation: SimulatedFleet, trouble: FaultSettings) -> None:
    simulation.world.note("trouble", kind=trouble.kind, on=trouble.on, size=trouble.size)
    undo = FAULT_INJECTORS[trouble.kind](simulation, trouble)
    if undo is not None:
        simulation.loop.call_later(duration_us(trouble.length) / 1e6, _end, simulation, trouble, undo)


def _end(simulation: SimulatedFleet, trouble: FaultSettings, undo: Undo) -> None:
    simulation.world.note("trouble_over", kind=trouble.kind)
    undo()


def _on(simulation: SimulatedFleet, trouble: FaultSettings) -> list[int]:
    return trouble.on or sorted(simulation.offices)


def _later(simulation: SimulatedFleet, seconds: float, work: Callable[..., object], *args: object) -> None:
    simulation.loop.call_later(seconds, work, *args)


# ---- processors ----


def _slower(simulation: SimulatedFleet, numbers: list[int], times: float) -> Undo:
    struck = [simulation.offices[number].processor for number in numbers]
    for processor in struck:
        processor.slow *= times

    def undo() -> None:
        for processor in struck:
            processor.slow /= times

    return undo


def slow(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """`size` times slower."""
    return _slower(simulation, _on(simulation, t), max(t.size, 0.01))


def hang(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """Work is taken and nothing comes of it."""
    struck = [simulation.offices[number].processor for number in _on(simulation, t)]
    for processor in struck:
        processor.hung = True

    def undo() -> None:
        for processor in struck:
            processor.resume()

    return undo


def neighbour(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """Other work takes `size` of the processor, on and off every `extra` seconds."""
    over = [False]

    def on() -> None:
        if not over[0]:
            undo = _slower(simulation, _on(simulation, t), 1 / max(0.01, 1 - t.size))
            _later(simulation, max(0.1, t.extra), off, undo)

    def off(undo: Undo) -> None:
        undo()
        _later(simulation, max(0.1, t.extra), on)

    on()
    return lambda: over.__setitem__(0, True)


def ageing(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """Slower and slower, up to `size` times; dead at the end, and back `extra` seconds later, cold."""
    numbers, steps = _on(simulation, t), 20
    step = max(1.0, t.size) ** (1 / steps)
    for at in range(steps):
        _later(simulation, duration_us(t.length) / 1e6 * at / steps, _slower, simulation, numbers, step)

    def undo() -> None:
        for number in numbers:
            _crash(simulation, number, t.extra)

    return undo


def _crash(simulation: SimulatedFleet, number: int, back_after: float) -> None:
    office = simulation.offices[number]
    office.stop("crash")
    simulation.tell(office, "gone")
    _later(simulation, back_after, lambda: simulation.new_office(number, simulation.now()))


def crash(simulation: SimulatedFleet, t: FaultSettings) -> None:
    """The processor dies and comes back after `length`, cold."""
    for number in _on(simulation, t):
        _crash(simulation, number, duration_us(t.length) / 1e6)


def mass_restart(simulation: SimulatedFleet, t: FaultSettings) -> None:
    """Many die at once and are back after `length`, cold, all together."""
    crash(simulation, t)


def deploy(simulation: SimulatedFleet, t: FaultSettings) -> None:
    """New processors take the place of the old, `size` of all at a time; each drains for `extra` seconds."""
    numbers = _on(simulation, t)
    batch = max(1, round(t.size * len(simulation.offices)))
    batches = [numbers[at : at + batch] for at in range(0, len(numbers), batch)]
    for at, lot in enumerate(batches):
        _later(
            simulation, duration_us(t.length) / 1e6 * at / len(batches), _replace, simulation, lot, t.extra
        )


def _replace(simulation: SimulatedFleet, numbers: list[int], drain: float) -> None:
    for number in numbers:
        old = simulation.offices[number]
        if not old.up:
            continue
        simulation.tell(old, "draining")
        simulation.new_office(number, simulation.now())
        _later(simulation, drain, _stop_old, simulation, old)


def _stop_old(simulation: SimulatedFleet, old: object) -> None:
    for office in [*simulation.past, *simulation.offices.values()]:
        if office is old:
            office.stop("replaced")
            simulation.tell(office, "gone")


def errors(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """`size` of all set-ups fail at once."""
    return _ill(simulation, t, "error_rate", t.size, simulation.day.offices.error_rate)


def answer_lost(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """`size` of the answers do not come: silence, or where `how` says so a reset."""
    return _ill(simulation, t, "reset_answers" if t.how == "reset" else "lost_answers", t.size, 0.0)


def answer_twice(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """`size` of the answers come twice."""
    return _ill(simulation, t, "twice", t.size, 0.0)


def answer_after_release(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """An answer comes once more when the dial is released or cancelled."""
    return _ill(simulation, t, "after_release", True, False)


def garbage(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """The next answer of each office is a frame of garbage."""
    return _ill(simulation, t, "garbage", True, False)


def report_late(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """Load reports are `size` seconds older."""
    return _ill(simulation, t, "reports_late", int(t.size * 1e6), 0)


def _ill(simulation: SimulatedFleet, t: FaultSettings, name: str, during: object, after: object) -> Undo:
    struck = [simulation.offices[number].ills for number in _on(simulation, t)]
    for ills in struck:
        setattr(ills, name, during)

    def undo() -> None:
        for ills in struck:
            setattr(ills, name, after)

    return undo


# ---- callers ----


def burst(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """All callers call `size` times as often."""
    return _demand(simulation, _on(simulation, t), t.size)


def _demand(simulation: SimulatedFleet, numbers: list[int], times: float) -> Undo:
    struck = [simulation.callers[number].demand for number in numbers]
    for demand in struck:
        demand.times *= times

    def undo() -> None:
        for demand in struck:
            demand.times /= times

    return undo


def hot_caller(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """A few exchanges get `size` of all dialogues on top of their own."""
    numbers = _on(simulation, t)
    total = sum(sum(c.demand.to.values()) for c in simulation.callers.values())
    mine = sum(sum(simulation.callers[n].demand.to.values()) for n in numbers) or 1.0
    return _demand(simulation, numbers, 1 + t.size * total / mine)


def hot_number(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """`size` of all dialogues call one number of the first exchange named."""
    struck = [callers.demand for callers in simulation.callers.values()]
    for demand in struck:
        demand.hot_share, demand.hot_at, demand.hot_number = min(1.0, t.size), _on(simulation, t)[0], "hot"

    def undo() -> None:
        for demand in struck:
            demand.hot_share = 0.0

    return undo


def give_up(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """`size` of the callers wait for but `extra` of their usual patience, and do not try again."""
    short = (min(1.0, t.size), t.extra or 0.5)
    for callers in simulation.callers.values():
        callers.habits.short.append(short)

    def undo() -> None:
        for callers in simulation.callers.values():
            callers.habits.short.remove(short)

    return undo


# ---- groups ----


def origin_slow(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """Groups between the zone of the first exchange named and the others keep 1 / root(`size`) of their
    circuits; calls on the lost ones are cut."""
    zone = simulation.zones[_on(simulation, t)[0]]
    chance = random.Random(f"{simulation.day.seed} origin_slow")
    pairs = [
        (a, b)
        for a in sorted(simulation.trunks)
        for b in sorted(simulation.trunks[a].groups)
        if a < b and (simulation.zones[a] == zone) != (simulation.zones[b] == zone)
    ]
    sizes = {pair: simulation.trunks[pair[0]].groups[pair[1]].size for pair in pairs}
    for pair in pairs:
        _resize(simulation, pair, int(sizes[pair] / math.sqrt(max(1.0, t.size))), chance)

    def undo() -> None:
        for pair in pairs:
            _resize(simulation, pair, sizes[pair], chance)

    return undo


def _resize(simulation: SimulatedFleet, pair: tuple[int, int], size: int, chance: random.Random) -> None:
    a, b = pair
    ends = [(simulation.offices[a], b), (simulation.offices[b], a)]
    legs = [(office, leg) for office, other in ends for leg in office.legs_from(other)]
    chance.shuffle(legs)
    held = sum(leg.setup.width for _, leg in legs)
    while held > size and legs:
        office, leg = legs.pop()
        held -= leg.setup.width
        office.cut(leg)
    for office, other in ends:
        office.resize(other, size)


# ---- links, lists, call servers ----


def _pairs(simulation: SimulatedFleet, t: FaultSettings) -> list[tuple[str, str]]:
    return [
        (f"server-{server}", simulation.host_of(number))
        for number in _on(simulation, t)
        for server in sorted(simulation.offices)
        if server != number
    ]


def link_cut(simulation: SimulatedFleet, t: FaultSettings) -> None:
    """Every link to these offices is reset, `size` times with `extra` seconds between."""
    assert simulation.wire is not None
    for at in range(max(1, int(t.size))):
        for server, office in _pairs(simulation, t):
            _later(simulation, at * t.extra, simulation.wire.cut, server, office)


def _spoil(
    what: str,
    pairs_of: Callable[[SimulatedFleet, FaultSettings], list[tuple[str, str]]] = _pairs,
    how: Callable[[FaultSettings], bool | int] = lambda t: True,
) -> Begin:
    def begin(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
        wire = simulation.wire
        assert wire is not None
        pairs = pairs_of(simulation, t)
        for here, there in pairs:
            wire.spoil(here, there, what, how(t))
            if what != "late":
                simulation.world.note("silent", here=here, there=there)

        def undo() -> None:
            for here, there in pairs:
                wire.spoil(here, there, what, False)
                if what != "late":
                    simulation.world.note("silent_over", here=here, there=there)

        return undo

    return begin


def _between_servers(simulation: SimulatedFleet, t: FaultSettings) -> list[tuple[str, str]]:
    """Links over which the call servers of these exchanges tell each other words."""
    return [
        (f"server-{here}", f"server-{there}")
        for here in _on(simulation, t)
        for there in sorted(simulation.offices)
        if here != there
    ]


def answer_reordered(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """`size` of the answers come after others that were said later."""
    return _ill(simulation, t, "reordered", t.size, 0.0)


def reads_nothing(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """These offices stop reading."""
    struck = [simulation.offices[number] for number in _on(simulation, t)]
    for office in struck:
        office.read(False)

    def undo() -> None:
        for office in struck:
            office.read(True)

    return undo


def mid_frame_reset(simulation: SimulatedFleet, t: FaultSettings) -> None:
    """Each link of these offices ends in the middle of a frame."""
    for number in _on(simulation, t):
        for port in list(simulation.offices[number].ports):
            if port.transport is not None:
                port.transport.write(b"\x01\x00\x00\x40half")
                port.transport.abort()


def list_goes_back(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """The register tells an old list after each new one."""
    simulation.register.goes_back = True
    return lambda: setattr(simulation.register, "goes_back", False)


def register_restart(simulation: SimulatedFleet, t: FaultSettings) -> None:
    """The register restarts with a list `size` revisions old."""
    simulation.register.restart(int(t.size))


def server_killed(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """The call servers are ended outright, and started again after `length`."""
    numbers = [number for number in _on(simulation, t) if number not in simulation.down]
    simulation.down.update(numbers)
    for number in numbers:
        simulation.world.note("server_killed", server=number)
        simulation.servers.kill(number)

    def undo() -> None:
        for number in numbers:
            simulation.down.discard(number)
            simulation.world.note("server_started", server=number)
            simulation.servers.start(number)

    return undo


def server_paused(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """The call servers' processes stand still for `length`."""
    numbers = [number for number in _on(simulation, t) if number not in simulation.down]
    simulation.down.update(numbers)
    for number in numbers:
        simulation.world.note("server_paused", server=number)
        simulation.servers.pause(number)

    def undo() -> None:
        for number in numbers:
            simulation.down.discard(number)
            simulation.servers.resume(number)
            simulation.world.note("server_resumed", server=number)

    return undo


def server_stalls(simulation: SimulatedFleet, t: FaultSettings) -> Undo:
    """The call servers' loops stand still for `size` ms, again `extra` seconds later, each at times of its own. The
    judge is not told: a call server does what it owes in spite of it."""
    over = [False]
    numbers = _on(simulation, t)

    def stall(number: int) -> None:
        if over[0]:
            return
        if number not in simulation.down:
            simulation.servers.pause(number)
        _later(simulation, t.size / 1000, go_on, number)

    def go_on(number: int) -> None:
        if number not in simulation.down:
            simulation.servers.resume(number)
        _later(simulation, max(0.02, t.extra), stall, number)

    for index, number in enumerate(numbers):
        _later(simulation, t.extra * index / len(numbers), stall, number)
    return lambda: over.__setitem__(0, True)


FAULT_INJECTORS: dict[str, Begin] = {
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
    "half_open": _spoil("silent"),
    "reads_nothing": reads_nothing,
    "trickle": _spoil("trickle"),
    "words_lost": _spoil("silent", _between_servers),
    "words_late": _spoil("late", _between_servers, lambda t: int(t.size * 1e6)),
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
_NEED_WIRE = ("link_cut", "half_open", "trickle", "words_lost", "words_late")
