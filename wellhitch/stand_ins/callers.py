"""Stand-in callers of one exchange: they call, wait for a share of the outer limit, hang up when they have
talked, and try again when they were not served."""

import asyncio
import math
import random
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field

from wellhitch.interface.facts import TrafficClass
from wellhitch.net.transport import Network, now_us
from wellhitch.stand_ins.recorder import Recorder
from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel, PersistentChannel


@dataclass(slots=True)
class CallerBehaviour:
    """How callers behave. `patience`: share of the outer limit that one try is waited for. `pause`: us before
    the next try, doubling where `doubles`; `heeds`: share of callers that heed a named come-back time."""

    retries: int = 2
    patience: float = 0.35
    pause: int = 1_000_000
    doubles: bool = False
    heeds: float = 0.8
    marks_redials: bool = False
    short: list[tuple[float, float]] = field(default_factory=list)  # troubles: so many callers wait for this
    # share of their usual patience, and do not try again
    tenants: tuple[str, ...] = ()  # a caller is of the one that its number falls to
    impatient: float = 0.0  # so many hang up at a chance time before their patience is over

    def tenant_of(self, called: str) -> str | None:
        """Whose caller it is, told by the number called alone: no draw, so that days with and without play alike."""
        return self.tenants[sum(called.encode()) % len(self.tenants)] if self.tenants else None


@dataclass(slots=True)
class TrafficDemand:
    """Who is called how often: dialogues a second to each destination, shares of use cases, and what troubles
    multiply it with. `shape`: from each second on, times the usual. `drift`: (us, cv), how often and how far
    the shares of destinations are drawn anew; `bursts` the same of the whole rate. `hot_number`, of exchange
    `hot_at`, is called by `hot_share` of all."""

    to: dict[int, float]
    use_cases: list[tuple[TrafficClass, float]]
    times: float = 1.0
    shape: list[tuple[float, float]] = field(default_factory=list)
    drift: tuple[int, float] | None = None
    bursts: tuple[int, float] | None = None
    hot_share: float = 0.0
    hot_at: int = -1
    hot_number: str = ""


@dataclass(slots=True, eq=False)
class CallRequest:
    """One caller's wish, over all its tries."""

    number: int
    use_case: TrafficClass
    destination: int
    called: str
    began: int
    tries: int = 0
    heeds: bool = False
    once: bool = False
    id: int = 0
    timer: asyncio.TimerHandle | None = None
    stood: bool = False


class Callers:
    """All callers of one exchange, on one link to their call server."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        number: int,
        address: str,
        recorder: Recorder,
        chance: random.Random,
        demand: TrafficDemand,
        habits: CallerBehaviour,
        boot: int,
    ) -> None:
        self.loop, self.number, self.recorder, self.chance = loop, number, recorder, chance
        self.demand, self.habits = demand, habits
        self.counts: Counter[str] = Counter()
        self.cases: dict[int, CallRequest] = {}
        self.waiting: dict[CallRequest, None] = {}
        self.calling = False
        self._began = 0
        self._burst_times = 1.0
        self._shares: dict[int, float] = {}
        self._next_id = 0
        self._next_case = 0
        hello = frames.Hello("caller", number, boot)
        self.link = PersistentChannel(
            loop, network, address, self, hello, ("call_server",), chance, recorder.tap
        )

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def start(self) -> None:
        """Begin to call."""
        self.calling = True
        self._began = self.now()
        self._shares = dict(self.demand.to)
        if self.demand.drift:
            self._drift()
        if self.demand.bursts:
            self._burst()
        self._schedule()

    def finish(self) -> None:
        """No new dialogues; those that run go on."""
        self.calling = False

    def _burst(self) -> None:
        """Draw the rate anew."""
        if self.calling and self.demand.bursts:
            every, cv = self.demand.bursts
            self._burst_times = self.chance.gammavariate(1 / (cv * cv), cv * cv)
            self.loop.call_later(every / 1e6, self._burst)

    def _drift(self) -> None:
        """Draw the shares of destinations anew, the whole as it was."""
        if not self.calling or not self.demand.drift:
            return
        every, cv = self.demand.drift
        sigma = math.sqrt(math.log(1 + cv * cv))
        drawn = {to: rate * self.chance.lognormvariate(0, sigma) for to, rate in self.demand.to.items()}
        whole = sum(drawn.values()) or 1.0
        self._shares = {to: rate * sum(self.demand.to.values()) / whole for to, rate in drawn.items()}
        self.loop.call_later(every / 1e6, self._drift)

    def _times(self) -> float:
        """How many times the usual traffic now."""
        shape = self.demand.shape
        if not shape:
            return self.demand.times * self._burst_times
        second = (self.now() - self._began) / 1e6
        return (
            self.demand.times
            * self._burst_times
            * shape[max(0, bisect_right(shape, (second, math.inf)) - 1)][1]
        )

    def _schedule(self) -> None:
        rate = sum(self.demand.to.values()) * self._times()
        wait = self.chance.expovariate(rate) if rate > 0 else 0.2
        # Looked at again after a fifth of a second at most, so that a change of rate is followed.
        if wait > 0.2 or rate <= 0:
            self.loop.call_later(0.2, self._again)
        else:
            self.loop.call_later(wait, self._arrive)

    def _again(self) -> None:
        if self.calling:
            self._schedule()

    def _arrive(self) -> None:
        if not self.calling:
            return
        demand, chance = self.demand, self.chance
        destination = chance.choices(list(self._shares), list(self._shares.values()))[0]
        use = chance.choices([u for u, _ in demand.use_cases], [share for _, share in demand.use_cases])[0]
        called = f"{chance.getrandbits(40):010x}"
        if demand.hot_share and chance.random() < demand.hot_share and demand.hot_at != self.number:
            destination, called = demand.hot_at, demand.hot_number
        self.call(use, destination, called)
        self._schedule()

    def call(self, use: TrafficClass, destination: int, called: str) -> CallRequest:
        """One caller begins to try."""
        self._next_case += 1
        case = CallRequest(self._next_case, use, destination, called, self.now())
        case.heeds = self.chance.random() < self.habits.heeds
        self.counts["cases"] += 1
        self._try(case)
        return case

    def _try(self, case: CallRequest) -> None:
        case.timer = None
        self.waiting.pop(case, None)
        self._next_id += 1
        case.id = self._next_id
        case.tries += 1
        use = case.use_case
        patience = self.habits.patience
        for share, to in self.habits.short:
            if self.chance.random() < share:
                patience *= to
                case.once = True
        # The outer limit runs from the first try.
        left = min(int(use.deadline * patience), case.began + use.deadline - self.now())
        if left <= 0:
            self._done(case, "out_of_time")
            return
        port = self.link.current
        call = frames.Call(
            case.id,
            use.name,
            case.destination,
            case.called,
            left,
            use.width,
            self.habits.marks_redials and case.tries > 1,
            self.habits.tenant_of(case.called),
        )
        self.recorder.note("try", id=case.id, case=case.number, use_case=use.name, began=case.began)
        if port is None or port.connection.peer is None or not port.send(call):
            self._unserved(case, 0)
            return
        self.cases[case.id] = case
        waits = left / 1e6
        if self.habits.impatient and self.chance.random() < self.habits.impatient:
            waits *= self.chance.random()
        case.timer = self.loop.call_later(waits, self._impatient, case)

    def _impatient(self, case: CallRequest) -> None:
        self.counts["gave_up"] += 1
        self._leave(case)
        self._unserved(case, 0)

    def _leave(self, case: CallRequest) -> None:
        if self.cases.pop(case.id, None) and self.link.current:
            self.link.current.send(frames.HangUp(case.id))

    def _unserved(self, case: CallRequest, come_back: int) -> None:
        """Try again, or not."""
        if case.timer:
            case.timer.cancel()
        self.cases.pop(case.id, None)
        if case.once or case.tries > self.habits.retries:
            self._done(case, "unserved")
            return
        pause = self.habits.pause * (2 ** (case.tries - 1) if self.habits.doubles else 1)
        pause = int(pause * (0.5 + self.chance.random()))
        if come_back and case.heeds:
            pause = come_back
        self.waiting[case] = None
        case.timer = self.loop.call_later(pause / 1e6, self._try, case)

    def _done(self, case: CallRequest, how: str) -> None:
        self.counts[how] += 1
        self.cases.pop(case.id, None)

    def hang_up(self) -> None:
        """Whoever still talks hangs up; whoever waits to try again does not."""
        for case in [case for case in self.cases.values() if case.stood]:
            if case.timer:
                case.timer.cancel()
            self._hang_up(case)
        for case in list(self.waiting):
            if case.timer:
                case.timer.cancel()
            self.waiting.pop(case)
            self._done(case, "unserved")

    @property
    def open(self) -> int:
        """Cases that are not over."""
        return len(self.cases) + len(self.waiting)

    # -- Owner --

    def channel_opened(self, port: Channel) -> None:
        """The call server answers."""

    def circuits_held(self, port: Channel) -> int:
        """Callers hold no circuits."""
        return 0

    def channel_closed(self, port: Channel, why: str) -> None:
        """The call server is gone: whoever waited tries again, whoever talked was cut."""
        self.recorder.down(port)
        for case in list(self.cases.values()):
            if case.stood:
                if case.timer:
                    case.timer.cancel()
                self._done(case, "cut")
            else:
                self._unserved(case, 0)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """The call server says something."""
        if not isinstance(frame, (frames.Final, frames.Ended)):
            return
        case = self.cases.get(frame.id)
        if case is None:
            self.counts["strays"] += 1
        elif isinstance(frame, frames.Ended):
            if case.timer:
                case.timer.cancel()
            self._done(case, "cut")
        elif frame.answer == "stands":
            if case.timer:
                case.timer.cancel()
            case.stood = True
            self.counts["stood"] += 1
            hold = self.chance.expovariate(1 / max(1, case.use_case.hold))
            case.timer = self.loop.call_later(hold / 1e6, self._hang_up, case)
        else:
            self.counts[frame.answer] += 1
            self._unserved(case, frame.retry_after)

    def _hang_up(self, case: CallRequest) -> None:
        self._leave(case)
        self._done(case, "talked")
