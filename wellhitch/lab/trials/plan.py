"""Draws the plan of a trial from a seed: fleet, settings, traffic, and faults with their times. Without I/O."""

import random
from dataclasses import dataclass, field
from enum import Enum, auto

DURATION_S = 14.0  # of traffic and faults, before the time in which calls end and are reported
SHUTDOWN_ROUND_S = 6.0
REBOOT_AFTER_S = (2.0, 5.0, 12.0)
DEADLINES_S = ((0.4, 0.8), (0.8, 1.3), (1.3, 3.0), (3.0, 9.0))


class FaultKind(Enum):
    """One kind of fault. The lower-case names are the values of `--kinds`; the order of the members determines what a
    seed draws."""

    SHUTDOWN = auto()  # one call server after another: SIGTERM, SIGKILL at the earliest allowed time, restart
    KILL = auto()  # SIGKILL without SIGTERM, then a restart
    VANISH = auto()  # an endpoint's machine disappears; it may return without its calls
    HANG = auto()
    CUT_OFF = auto()  # the network between a call server and an endpoint drops everything; calls continue
    DIE = auto()  # an endpoint's process dies and starts again
    RESETS = auto()  # an endpoint resets its connections repeatedly
    DISCOVERY_DOWN = auto()  # connections are refused or packets dropped, with a drain close to the recovery
    DISCOVERY_SILENT = auto()
    DISCOVERY_BREAKS = auto()
    RECONFIGURED = auto()  # discovery moves to a new address one to three times in quick succession
    DRAIN = auto()  # an endpoint drains, is removed and is replaced
    BAD_CLIENTS = auto()
    SPOILT = auto()  # malformed or missing answers
    RUDE_WAYS = auto()  # writes in fragments; clients also cancel early and retry at once
    CROWD = auto()  # hundreds of connections and a burst of set-ups
    IDLE_CLOSES = auto()  # endpoints close idle connections
    HASTY_CONNECTIONS = auto()  # endpoints serve connections late, or close them right after a write
    # an endpoint is cut off from all call servers, and then ends its calls on whatever connection is open; some set-ups
    # are never answered, so that calls are set up at a second attempt
    PARTITION = auto()
    CLIENTS_CUT_OFF = (
        auto()
    )  # the network between a call server and its clients holds everything back for a while
    CLIENT_RESETS = auto()  # connections of clients are reset, with set-ups and calls on them
    PAUSES = auto()  # call servers are stopped and continued in series
    BATCHES = (
        auto()
    )  # clients write several set-ups at once, some with no time left, and leave releases unanswered


# Drawn by seeds below `FIRST_SEED_OF_ALL_KINDS`, whose plans stay as they are when kinds are added.
FIRST_KINDS = tuple(FaultKind)[: FaultKind.HASTY_CONNECTIONS.value]
FIRST_SEED_OF_ALL_KINDS = 10_000


class Action(Enum):
    """What a step does. `TrialStep.target` is the index of a call server or endpoint, or a count."""

    TERMINATE = auto()  # a call server; SIGKILL and the restart follow automatically
    KILL = auto()
    VANISH = auto()  # an endpoint, like the following ones up to LIST_AGAIN
    REBOOT = auto()
    HANG = auto()
    RESUME = auto()
    CUT_OFF = auto()
    PARTITION = auto()
    HEAL = auto()
    DIE = auto()
    START_AGAIN = auto()
    RESET_CONNECTIONS = auto()
    DRAIN = auto()
    REMOVE = auto()
    REPLACE = auto()
    LIST_AGAIN = auto()  # discovery publishes an endpoint's new start time
    DISCOVERY_REFUSES = auto()
    DISCOVERY_UNREACHABLE = auto()
    DISCOVERY_RETURNS = auto()
    DISCOVERY_SILENT = auto()
    DISCOVERY_BREAKS = auto()
    MOVE_DISCOVERY = auto()  # a new configuration and SIGHUP for every call server
    CUT_OFF_CLIENTS = auto()  # target: a call server, like the following ones up to PAUSE
    RESTORE_CLIENTS = auto()
    RESET_CLIENT = auto()  # one connection
    PAUSE = auto()  # SIGSTOP, and SIGCONT some time later
    BAD_CLIENTS = auto()  # target: number of clients
    CROWD = auto()  # target: number of connections
    # target: number of connections; when the next call server is ready, just before clients report their calls to it
    CROWD_AT_RETURN = auto()


@dataclass(frozen=True, slots=True, order=True)
class TrialStep:
    """One action at a time in seconds from the start of the traffic."""

    time_s: float
    action: Action = field(compare=False)
    target: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class TrialPlan:
    """Everything that a trial runs. `rate_per_s` is the set-ups at each call server, `hold_s` the mean duration of a
    call, `max_descriptors` the limit of each call server process."""

    seed: int
    kinds: tuple[FaultKind, ...]
    servers: int
    endpoints: int
    deadlines_s: tuple[float, float]
    rate_per_s: float
    hold_s: float
    may_probe: bool
    max_descriptors: int
    duration_s: float
    steps: tuple[TrialStep, ...]

    def timeline(self) -> str:
        """The plan as readable text, one line for each step."""
        kinds = "+".join(kind.name.lower() for kind in self.kinds)
        head = (
            f"seed {self.seed}: {kinds}; {self.servers} call servers, {self.endpoints} endpoints, "
            f"deadlines {self.deadlines_s} s, {self.rate_per_s:.0f} set-ups/s each, calls of {self.hold_s:.0f} s, "
            f"probes {'allowed' if self.may_probe else 'forbidden'}, {self.max_descriptors} descriptors"
        )
        return "\n".join(
            [head, *(f"  {step.time_s:6.2f} {step.action.name.lower()} {step.target}" for step in self.steps)]
        )


def draw_plan(
    seed: int, kinds: tuple[FaultKind, ...] | None = None, duration_s: float = DURATION_S
) -> TrialPlan:
    """Draw the plan of a seed. By default it has two to four random kinds of fault, and odd seeds always include a
    shutdown; `kinds` replaces these."""
    rng = random.Random(seed)
    all_kinds = FIRST_KINDS if seed < FIRST_SEED_OF_ALL_KINDS else tuple(FaultKind)
    drawn = tuple(rng.sample(all_kinds, rng.randint(2, 4)))
    if seed % 2 and FaultKind.SHUTDOWN not in drawn:
        drawn = (FaultKind.SHUTDOWN, *drawn)
    kinds = drawn if kinds is None else kinds
    servers = rng.choice((1, 2, 2, 3))
    endpoints = max(servers, rng.choice((3, 4)))
    steps: list[TrialStep] = []
    for kind in kinds:
        steps += _steps(kind, rng, servers, endpoints, duration_s)
    return TrialPlan(
        seed,
        kinds,
        servers,
        endpoints,
        rng.choice(DEADLINES_S),
        rng.choice((3.0, 10.0, 25.0)),
        rng.choice((2.0, 6.0, 12.0)),
        rng.random() < 0.7,
        rng.choice((160, 256, 512)),
        duration_s,
        tuple(sorted(steps)),
    )


def _steps(
    kind: FaultKind, rng: random.Random, servers: int, endpoints: int, duration_s: float
) -> list[TrialStep]:
    """Draw the steps of one kind of fault, which starts at a random time from 2 s to 60 % of the duration."""
    start_s = rng.uniform(2.0, duration_s * 0.6)
    endpoint = rng.randrange(endpoints)
    match kind:
        case FaultKind.SHUTDOWN:
            gap_s = rng.uniform(0.2, 2.0)
            rounds = rng.choice((1, 1, 2))  # in the second round the processes have run for some seconds
            return [
                TrialStep(start_s + gap_s * n + SHUTDOWN_ROUND_S * round_number, Action.TERMINATE, n)
                for round_number in range(rounds)
                for n in range(servers)
            ]
        case FaultKind.KILL:
            return [TrialStep(start_s, Action.KILL, rng.randrange(servers))]
        case FaultKind.VANISH:
            return _vanish(rng, start_s, endpoint)
        case FaultKind.HANG:
            return [
                TrialStep(start_s, Action.HANG, endpoint),
                TrialStep(start_s + rng.uniform(2.0, 11.0), Action.RESUME, endpoint),
            ]
        case FaultKind.CUT_OFF:
            return [
                TrialStep(start_s, Action.CUT_OFF, endpoint),
                TrialStep(start_s + rng.uniform(1.0, 9.0), Action.RESUME, endpoint),
            ]
        case FaultKind.PARTITION:
            return [
                TrialStep(start_s, Action.PARTITION, endpoint),
                TrialStep(start_s + rng.uniform(0.5, 6.5), Action.HEAL, endpoint),
            ]
        case FaultKind.CLIENTS_CUT_OFF:
            return _clients_cut_off(rng, servers, duration_s)
        case FaultKind.CLIENT_RESETS:
            return _at_random_servers(Action.RESET_CLIENT, rng.randint(10, 40), rng, servers, duration_s)
        case FaultKind.PAUSES:
            return _at_random_servers(Action.PAUSE, rng.randint(4, 15), rng, servers, duration_s)
        case FaultKind.DIE:
            back_at_s = start_s + rng.choice((0.3, 1.0, 2.5))
            return [
                TrialStep(start_s, Action.DIE, endpoint),
                TrialStep(back_at_s, Action.START_AGAIN, endpoint),
                TrialStep(back_at_s + rng.uniform(0.3, 5.0), Action.LIST_AGAIN, endpoint),
            ]
        case FaultKind.RESETS:
            times_s = [start_s + n * rng.uniform(0.1, 0.8) for n in range(rng.randint(2, 8))]
            return [TrialStep(time_s, Action.RESET_CONNECTIONS, endpoint) for time_s in times_s]
        case FaultKind.DISCOVERY_DOWN:
            return _discovery_down(rng, start_s, endpoint)
        case FaultKind.DISCOVERY_SILENT:
            return [
                TrialStep(start_s, Action.DISCOVERY_SILENT),
                TrialStep(start_s + rng.uniform(0.1, 3.0), Action.DRAIN, endpoint),
            ]
        case FaultKind.DISCOVERY_BREAKS:
            return [
                TrialStep(start_s, Action.DISCOVERY_BREAKS),
                TrialStep(start_s + rng.uniform(0.0, 1.0), Action.DRAIN, endpoint),
            ]
        case FaultKind.RECONFIGURED:
            gap_s = rng.choice((0.05, 0.3, 1.0))
            return [
                *(TrialStep(start_s + gap_s * n, Action.MOVE_DISCOVERY) for n in range(rng.randint(1, 3))),
                TrialStep(start_s + rng.uniform(0.0, 2.0), Action.DRAIN, endpoint),
            ]
        case FaultKind.DRAIN:
            removed_at_s = start_s + rng.uniform(0.5, 4.0)
            return [
                TrialStep(start_s, Action.DRAIN, endpoint),
                TrialStep(removed_at_s, Action.REMOVE, endpoint),
                TrialStep(removed_at_s + rng.uniform(0.0, 1.0), Action.REPLACE, endpoint),
            ]
        case FaultKind.BAD_CLIENTS:
            times_s = [start_s + n * rng.uniform(0.1, 1.0) for n in range(rng.randint(3, 10))]
            return [TrialStep(time_s, Action.BAD_CLIENTS, rng.randint(3, 20)) for time_s in times_s]
        case FaultKind.CROWD:
            return [TrialStep(start_s + n, Action.CROWD, rng.randint(60, 300)) for n in range(3)]
        case _:
            return []  # applied as traits of clients and endpoints from the start


def _at_random_servers(
    action: Action, count: int, rng: random.Random, servers: int, duration_s: float
) -> list[TrialStep]:
    """The same action at random times and call servers, from 1 s after the start to the end of the duration."""
    return [TrialStep(rng.uniform(1.0, duration_s), action, rng.randrange(servers)) for _ in range(count)]


def _clients_cut_off(rng: random.Random, servers: int, duration_s: float) -> list[TrialStep]:
    """One to four interruptions, one after another, each between one call server and its clients."""
    steps = []
    time_s = rng.uniform(1.0, duration_s / 2)
    for _ in range(rng.randint(1, 4)):
        server = rng.randrange(servers)
        restored_s = time_s + rng.choice((0.06, 0.3, 1.0, 2.5))
        steps.append(TrialStep(time_s, Action.CUT_OFF_CLIENTS, server))
        steps.append(TrialStep(restored_s, Action.RESTORE_CLIENTS, server))
        time_s = restored_s + rng.uniform(0.5, 3.0)
    return steps


def _vanish(rng: random.Random, start_s: float, endpoint: int) -> list[TrialStep]:
    steps = [TrialStep(start_s, Action.VANISH, endpoint)]
    reboot_after_s = rng.choice((*REBOOT_AFTER_S, None))
    if reboot_after_s is None:
        steps.append(TrialStep(start_s + rng.uniform(9.0, 12.0), Action.REMOVE, endpoint))
    else:
        back_at_s = start_s + reboot_after_s
        steps.append(TrialStep(back_at_s, Action.REBOOT, endpoint))
        steps.append(TrialStep(back_at_s + rng.uniform(0.3, 10.0), Action.LIST_AGAIN, endpoint))
    if rng.random() < 0.5:
        steps.append(TrialStep(max(0.5, start_s - 1.0), Action.DISCOVERY_UNREACHABLE))
        steps.append(TrialStep(start_s + rng.uniform(4.0, 9.0), Action.DISCOVERY_RETURNS))
    return steps


def _discovery_down(rng: random.Random, start_s: float, endpoint: int) -> list[TrialStep]:
    fault = rng.choice((Action.DISCOVERY_REFUSES, Action.DISCOVERY_UNREACHABLE))
    back_at_s = start_s + rng.uniform(1.0, 8.0)
    return [
        TrialStep(start_s, fault),
        TrialStep(back_at_s + rng.uniform(-0.5, 0.5), Action.DRAIN, endpoint),
        TrialStep(back_at_s, Action.DISCOVERY_RETURNS),
    ]
