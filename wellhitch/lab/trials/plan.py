"""A seed -> what a trial plays: fleet, settings, traffic and faults with their times. Pure."""

import random
from dataclasses import dataclass, field
from enum import Enum, auto

SECONDS = 14.0  # of traffic and faults; then calls end and are told
SHUTDOWN_ROUND_S = 6.0
RETURNS_AFTER_S = (2.0, 5.0, 12.0)
DEADLINES_S = ((0.4, 0.8), (0.8, 1.3), (1.3, 3.0), (3.0, 9.0))


class Kind(Enum):
    """One kind of fault."""

    SHUTDOWN = auto()  # SIGTERM, SIGKILL at the earliest, and a start, one call server after another
    KILL = auto()  # SIGKILL outright, and a start
    VANISH = auto()  # an endpoint's machine is gone; it may come back empty
    HANG = auto()
    CUT_OFF = auto()  # the network between a call server and an endpoint is silent, calls go on
    DIE = auto()  # an endpoint's process dies and starts again
    RESETS = auto()  # an endpoint resets its connections again and again
    DISCOVERY_DOWN = auto()  # refused or swallowed, with a drain close to its return
    DISCOVERY_SILENT = auto()
    DISCOVERY_BREAKS = auto()
    RECONFIGURED = auto()  # discovery moves, twice or three times in quick succession
    DRAIN = auto()  # an endpoint drains, goes, and another takes its place
    BAD_CLIENTS = auto()
    SPOILT = auto()  # answers that cannot be read, or that never come
    RUDE_WAYS = auto()  # clients that write in pieces, cancel early and repeat at once
    CROWD = auto()  # hundreds of connections and a burst of set-ups
    IDLE_CLOSES = auto()  # endpoints close idle connections
    HASTY_CONNECTIONS = (
        auto()
    )  # connections to endpoints come up late, or are closed just after something was written


class Act(Enum):
    """One thing that happens at a time; `TrialStep.target` is an index, its meaning the act's."""

    TERMINATE = auto()  # a call server; SIGKILL and the next start follow by themselves
    KILL = auto()
    VANISH = auto()  # an endpoint
    REBOOT = auto()
    HANG = auto()
    RESUME = auto()
    CUT_OFF = auto()
    DIE = auto()
    START_AGAIN = auto()
    RESET_CONNECTIONS = auto()
    DRAIN = auto()
    REMOVE = auto()
    REPLACE = auto()
    LIST_AGAIN = auto()  # discovery tells an endpoint's new start
    DISCOVERY_REFUSES = auto()
    DISCOVERY_UNREACHABLE = auto()
    DISCOVERY_RETURNS = auto()
    DISCOVERY_SILENT = auto()
    DISCOVERY_BREAKS = auto()
    MOVE_DISCOVERY = auto()  # a new configuration and SIGHUP for every call server
    BAD_CLIENTS = auto()  # target: how many
    CROWD = auto()  # target: how many
    CROWD_AT_RETURN = (
        auto()
    )  # target: how many; when the next call server is ready, just before calls are named to it


@dataclass(frozen=True, slots=True, order=True)
class TrialStep:
    """One act at a time in seconds from the start of the traffic."""

    at: float
    act: Act = field(compare=False)
    target: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class TrialPlan:
    """All that a trial plays. Rates are set-ups a second at each call server; `hold` is a call's mean time in s."""

    seed: int
    kinds: tuple[Kind, ...]
    servers: int
    endpoints: int
    deadlines_s: tuple[float, float]
    rate: float
    hold: float
    may_probe: bool
    sockets: int
    seconds: float
    steps: tuple[TrialStep, ...]

    def timeline(self) -> str:
        """The plan for people, one line a step."""
        kinds = "+".join(kind.name.lower() for kind in self.kinds)
        head = (
            f"seed {self.seed}: {kinds}; {self.servers} call servers, {self.endpoints} endpoints, "
            f"deadlines {self.deadlines_s} s, {self.rate:.0f} set-ups/s each, calls of {self.hold:.0f} s, "
            f"probes {'allowed' if self.may_probe else 'forbidden'}, {self.sockets} descriptors"
        )
        return "\n".join(
            [head, *(f"  {step.at:6.2f} {step.act.name.lower()} {step.target}" for step in self.steps)]
        )


def draw_plan(seed: int, kinds: tuple[Kind, ...] | None = None, seconds: float = SECONDS) -> TrialPlan:
    """The plan of a seed. `kinds`: in place of a shutdown in every second trial and two to four kinds drawn."""
    chance = random.Random(seed)
    drawn = tuple(chance.sample(list(Kind), chance.randint(2, 4)))
    if seed % 2 and Kind.SHUTDOWN not in drawn:
        drawn = (Kind.SHUTDOWN, *drawn)
    kinds = drawn if kinds is None else kinds
    servers = chance.choice((1, 2, 2, 3))
    endpoints = max(servers, chance.choice((3, 4)))
    steps: list[TrialStep] = []
    for kind in kinds:
        steps += _steps(kind, chance, servers, endpoints, seconds)
    return TrialPlan(
        seed,
        kinds,
        servers,
        endpoints,
        chance.choice(DEADLINES_S),
        chance.choice((3.0, 10.0, 25.0)),
        chance.choice((2.0, 6.0, 12.0)),
        chance.random() < 0.7,
        chance.choice((160, 256, 512)),
        seconds,
        tuple(sorted(steps)),
    )


def _steps(
    kind: Kind, chance: random.Random, servers: int, endpoints: int, seconds: float
) -> list[TrialStep]:
    """The steps of one kind of fault, from two seconds on."""
    start = chance.uniform(2.0, seconds * 0.6)
    endpoint = chance.randrange(endpoints)
    match kind:
        case Kind.SHUTDOWN:
            gap = chance.uniform(0.2, 2.0)
            rounds = chance.choice((1, 1, 2))  # in the second round the processes are some seconds old
            return [
                TrialStep(start + gap * n + SHUTDOWN_ROUND_S * each, Act.TERMINATE, n)
                for each in range(rounds)
                for n in range(servers)
            ]
        case Kind.KILL:
            return [TrialStep(start, Act.KILL, chance.randrange(servers))]
        case Kind.VANISH:
            return _vanish(chance, start, endpoint)
        case Kind.HANG:
            return [
                TrialStep(start, Act.HANG, endpoint),
                TrialStep(start + chance.uniform(2.0, 11.0), Act.RESUME, endpoint),
            ]
        case Kind.CUT_OFF:
            return [
                TrialStep(start, Act.CUT_OFF, endpoint),
                TrialStep(start + chance.uniform(1.0, 9.0), Act.RESUME, endpoint),
            ]
        case Kind.DIE:
            back = start + chance.choice((0.3, 1.0, 2.5))
            return [
                TrialStep(start, Act.DIE, endpoint),
                TrialStep(back, Act.START_AGAIN, endpoint),
                TrialStep(back + chance.uniform(0.3, 5.0), Act.LIST_AGAIN, endpoint),
            ]
        case Kind.RESETS:
            times = [start + n * chance.uniform(0.1, 0.8) for n in range(chance.randint(2, 8))]
            return [TrialStep(at, Act.RESET_CONNECTIONS, endpoint) for at in times]
        case Kind.DISCOVERY_DOWN:
            return _discovery_down(chance, start, endpoint)
        case Kind.DISCOVERY_SILENT:
            return [
                TrialStep(start, Act.DISCOVERY_SILENT),
                TrialStep(start + chance.uniform(0.1, 3.0), Act.DRAIN, endpoint),
            ]
        case Kind.DISCOVERY_BREAKS:
            return [
                TrialStep(start, Act.DISCOVERY_BREAKS),
                TrialStep(start + chance.uniform(0.0, 1.0), Act.DRAIN, endpoint),
            ]
        case Kind.RECONFIGURED:
            gap = chance.choice((0.05, 0.3, 1.0))
            return [
                *(TrialStep(start + gap * n, Act.MOVE_DISCOVERY) for n in range(chance.randint(1, 3))),
                TrialStep(start + chance.uniform(0.0, 2.0), Act.DRAIN, endpoint),
            ]
        case Kind.DRAIN:
            gone = start + chance.uniform(0.5, 4.0)
            return [
                TrialStep(start, Act.DRAIN, endpoint),
                TrialStep(gone, Act.REMOVE, endpoint),
                TrialStep(gone + chance.uniform(0.0, 1.0), Act.REPLACE, endpoint),
            ]
        case Kind.BAD_CLIENTS:
            times = [start + n * chance.uniform(0.1, 1.0) for n in range(chance.randint(3, 10))]
            return [TrialStep(at, Act.BAD_CLIENTS, chance.randint(3, 20)) for at in times]
        case Kind.CROWD:
            return [TrialStep(start + n, Act.CROWD, chance.randint(60, 300)) for n in range(3)]
        case Kind.SPOILT | Kind.RUDE_WAYS | Kind.IDLE_CLOSES | Kind.HASTY_CONNECTIONS:
            return []  # traits that hold from the start


def _vanish(chance: random.Random, start: float, endpoint: int) -> list[TrialStep]:
    steps = [TrialStep(start, Act.VANISH, endpoint)]
    returns_after = chance.choice((*RETURNS_AFTER_S, None))
    if returns_after is None:
        steps.append(TrialStep(start + chance.uniform(9.0, 12.0), Act.REMOVE, endpoint))
    else:
        back = start + returns_after
        steps.append(TrialStep(back, Act.REBOOT, endpoint))
        steps.append(TrialStep(back + chance.uniform(0.3, 10.0), Act.LIST_AGAIN, endpoint))
    if chance.random() < 0.5:
        steps.append(TrialStep(max(0.5, start - 1.0), Act.DISCOVERY_UNREACHABLE))
        steps.append(TrialStep(start + chance.uniform(4.0, 9.0), Act.DISCOVERY_RETURNS))
    return steps


def _discovery_down(chance: random.Random, start: float, endpoint: int) -> list[TrialStep]:
    down = chance.choice((Act.DISCOVERY_REFUSES, Act.DISCOVERY_UNREACHABLE))
    back = start + chance.uniform(1.0, 8.0)
    return [
        TrialStep(start, down),
        TrialStep(back + chance.uniform(-0.5, 0.5), Act.DRAIN, endpoint),
        TrialStep(back, Act.DISCOVERY_RETURNS),
    ]
