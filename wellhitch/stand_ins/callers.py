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
    pause_us: int = 1_000_000
    doubles_pause: bool = False
    heeds_retry_after: float = 0.8
    marks_redials: bool = False
    shortened_patience: list[tuple[float, float]] = field(
        default_factory=list
    )  # troubles: so many callers wait for this
    # share of their usual patience, and do not try again
    tenants: tuple[str, ...] = ()  # a caller is of the one that its number falls to
    early_hang_up_share: float = 0.0  # so many hang up at a chance time before their patience is over

    def tenant_of(self, called: str) -> str | None:
        """Whose caller it is, told by the number called alone: no draw, so that days with and without play alike."""
        return self.tenants[sum(called.encode()) % len(self.tenants)] if self.tenants else None


@dataclass(slots=True)
class TrafficDemand:
    """Who is called how often: dialogues a second to each destination, shares of use cases, and what troubles
    multiply it with. `shape`: from each second on, times the usual. `drift`: (us, cv), how often and how far
    the shares of destinations are drawn anew; `bursts` the same of the whole rate. `hot_number`, of exchange
    `hot_at`, is called by `hot_share` of all."""

    rates: dict[int, float]
    traffic_classes: list[tuple[TrafficClass, float]]
    multiplier: float = 1.0
    shape: list[tuple[float, float]] = field(default_factory=list)
    drift: tuple[int, float] | None = None
    bursts: tuple[int, float] | None = None
    hot_share: float = 0.0
    hot_exchange: int = -1
    hot_number: str = ""


@dataclass(slots=True, eq=False)
class CallRequest:
    """One caller's wish, over all its tries."""

    number: int
    traffic_class: TrafficClass
    destination: int
    called: str
    started_at: int
    attempts: int = 0
    heeds_retry_after: bool = False
    no_more_attempts: bool = False
    call_id: int = 0
    timer: asyncio.TimerHandle | None = None
    established: bool = False


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
        self.loop, self.number, self.recorder, self.rng = loop, number, recorder, chance
        self.demand, self.behaviour = demand, habits
        self.counts: Counter[str] = Counter()
        self.calls: dict[int, CallRequest] = {}
        self.waiting_to_retry: dict[CallRequest, None] = {}
        self.generating = False
        self._started_at = 0
        self._burst_multiplier = 1.0
        self._shares: dict[int, float] = {}
        self._next_call_id = 0
        self._next_request = 0
        hello = frames.Hello("caller", number, boot)
        self.channel = PersistentChannel(
            loop, network, address, self, hello, ("call_server",), chance, recorder.record_frame
        )

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def start(self) -> None:
        """Begin to call."""
        self.generating = True
        self._started_at = self.now()
        self._shares = dict(self.demand.rates)
        if self.demand.drift:
            self._redraw_shares()
        if self.demand.bursts:
            self._redraw_burst()
        self._schedule()

    def stop_new_calls(self) -> None:
        """No new dialogues; those that run go on."""
        self.generating = False

    def _redraw_burst(self) -> None:
        """Draw the rate anew."""
        if self.generating and self.demand.bursts:
            every, cv = self.demand.bursts
            self._burst_multiplier = self.rng.gammavariate(1 / (cv * cv), cv * cv)
            self.loop.call_later(every / 1e6, self._redraw_burst)

    def _redraw_shares(self) -> None:
        """Draw the shares of destinations anew, the whole as it was."""
        if not self.generating or not self.demand.drift:
            return
        every, cv = self.demand.drift
        sigma = math.sqrt(math.log(1 + cv * cv))
        drawn = {to: rate * self.rng.lognormvariate(0, sigma) for to, rate in self.demand.rates.items()}
        whole = sum(drawn.values()) or 1.0
        self._shares = {to: rate * sum(self.demand.rates.values()) / whole for to, rate in drawn.items()}
        self.loop.call_later(every / 1e6, self._redraw_shares)

    def _rate_multiplier(self) -> float:
        """How many times the usual traffic now."""
        shape = self.demand.shape
        if not shape:
            return self.demand.multiplier * self._burst_multiplier
        second = (self.now() - self._started_at) / 1e6
        return (
            self.demand.multiplier
            * self._burst_multiplier
            * shape[max(0, bisect_right(shape, (second, math.inf)) - 1)][1]
        )

    def _schedule(self) -> None:
        rate = sum(self.demand.rates.values()) * self._rate_multiplier()
        wait = self.rng.expovariate(rate) if rate > 0 else 0.2
        # Looked at again after a fifth of a second at most, so that a change of rate is followed.
        if wait > 0.2 or rate <= 0:
            self.loop.call_later(0.2, self._check_rate)
        else:
            self.loop.call_later(wait, self._new_call)

    def _check_rate(self) -> None:
        if self.generating:
            self._schedule()

    def _new_call(self) -> None:
        if not self.generating:
            return
        demand, chance = self.demand, self.rng
        destination = chance.choices(list(self._shares), list(self._shares.values()))[0]
        use = chance.choices(
            [u for u, _ in demand.traffic_classes], [share for _, share in demand.traffic_classes]
        )[0]
        called = f"{chance.getrandbits(40):010x}"
        if demand.hot_share and chance.random() < demand.hot_share and demand.hot_exchange != self.number:
            destination, called = demand.hot_exchange, demand.hot_number
        self.call(use, destination, called)
        self._schedule()

    def call(self, use: TrafficClass, destination: int, called: str) -> CallRequest:
        """One caller begins to try."""
        self._next_request += 1
        case = CallRequest(self._next_request, use, destination, called, self.now())
        case.heeds_retry_after = self.rng.random() < self.behaviour.heeds_retry_after
        self.counts["cases"] += 1
        self._attempt(case)
        return case

    def _attempt(self, case: CallRequest) -> None:
        case.timer = None
        self.waiting_to_retry.pop(case, None)
        self._next_call_id += 1
        case.call_id = self._next_call_id
        case.attempts += 1
        use = case.traffic_class
        patience = self.behaviour.patience
        for share, to in self.behaviour.shortened_patience:
            if self.rng.random() < share:
                patience *= to
                case.no_more_attempts = True
        # The outer limit runs from the first try.
        left = min(int(use.deadline * patience), case.started_at + use.deadline - self.now())
        if left <= 0:
            self._finish(case, "out_of_time")
            return
        port = self.channel.current
        call = frames.Call(
            case.call_id,
            use.name,
            case.destination,
            case.called,
            left,
            use.width,
            self.behaviour.marks_redials and case.attempts > 1,
            self.behaviour.tenant_of(case.called),
        )
        self.recorder.record_note(
            "try", id=case.call_id, case=case.number, use_case=use.name, began=case.started_at
        )
        if port is None or port.connection.peer is None or not port.send(call):
            self._retry_or_give_up(case, 0)
            return
        self.calls[case.call_id] = case
        waits = left / 1e6
        if self.behaviour.early_hang_up_share and self.rng.random() < self.behaviour.early_hang_up_share:
            waits *= self.rng.random()
        case.timer = self.loop.call_later(waits, self._patience_over, case)

    def _patience_over(self, case: CallRequest) -> None:
        self.counts["gave_up"] += 1
        self._send_hang_up(case)
        self._retry_or_give_up(case, 0)

    def _send_hang_up(self, case: CallRequest) -> None:
        if self.calls.pop(case.call_id, None) and self.channel.current:
            self.channel.current.send(frames.HangUp(case.call_id))

    def _retry_or_give_up(self, case: CallRequest, come_back: int) -> None:
        """Try again, or not."""
        if case.timer:
            case.timer.cancel()
        self.calls.pop(case.call_id, None)
        if case.no_more_attempts or case.attempts > self.behaviour.retries:
            self._finish(case, "unserved")
            return
        pause = self.behaviour.pause_us * (2 ** (case.attempts - 1) if self.behaviour.doubles_pause else 1)
        pause = int(pause * (0.5 + self.rng.random()))
        if come_back and case.heeds_retry_after:
            pause = come_back
        self.waiting_to_retry[case] = None
        case.timer = self.loop.call_later(pause / 1e6, self._attempt, case)

    def _finish(self, case: CallRequest, how: str) -> None:
        self.counts[how] += 1
        self.calls.pop(case.call_id, None)

    def hang_up_all(self) -> None:
        """Whoever still talks hangs up; whoever waits to try again does not."""
        for case in [case for case in self.calls.values() if case.established]:
            if case.timer:
                case.timer.cancel()
            self._hang_up(case)
        for case in list(self.waiting_to_retry):
            if case.timer:
                case.timer.cancel()
            self.waiting_to_retry.pop(case)
            self._finish(case, "unserved")

    @property
    def open_calls(self) -> int:
        """Cases that are not over."""
        return len(self.calls) + len(self.waiting_to_retry)

    # -- Owner --

    def channel_opened(self, port: Channel) -> None:
        """The call server answers."""

    def circuits_held(self, port: Channel) -> int:
        """Callers hold no circuits."""
        return 0

    def channel_closed(self, port: Channel, why: str) -> None:
        """The call server is gone: whoever waited tries again, whoever talked was cut."""
        self.recorder.record_connection_down(port)
        for case in list(self.calls.values()):
            if case.established:
                if case.timer:
                    case.timer.cancel()
                self._finish(case, "cut")
            else:
                self._retry_or_give_up(case, 0)

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """The call server says something."""
        if not isinstance(frame, (frames.Final, frames.Ended)):
            return
        case = self.calls.get(frame.id)
        if case is None:
            self.counts["strays"] += 1
        elif isinstance(frame, frames.Ended):
            if case.timer:
                case.timer.cancel()
            self._finish(case, "cut")
        elif frame.answer == "stands":
            if case.timer:
                case.timer.cancel()
            case.established = True
            self.counts["stood"] += 1
            hold = self.rng.expovariate(1 / max(1, case.traffic_class.hold))
            case.timer = self.loop.call_later(hold / 1e6, self._hang_up, case)
        else:
            self.counts[frame.answer] += 1
            self._retry_or_give_up(case, frame.retry_after)

    def _hang_up(self, case: CallRequest) -> None:
        self._send_hang_up(case)
        self._finish(case, "talked")
