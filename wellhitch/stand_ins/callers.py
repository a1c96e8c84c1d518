"""Simulated callers of one exchange: they call, wait for a share of the deadline, hang up after the call, and retry
when they were not served."""

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
    """How callers behave. `patience`: the share of the deadline that a caller waits in one attempt. `pause_us`: the
    pause before a retry, doubled each time if `doubles_pause`. `heeds_retry_after`: the share of callers that retry at
    the time named in the answer."""

    retries: int = 2
    patience: float = 0.35
    pause_us: int = 1_000_000
    doubles_pause: bool = False
    heeds_retry_after: float = 0.8
    marks_redials: bool = False
    # faults: (share of callers, the share of their usual patience that they wait); these callers do not retry
    shortened_patience: list[tuple[float, float]] = field(default_factory=list)
    tenants: tuple[str, ...] = ()  # the tenant follows from the number called
    early_hang_up_share: float = 0.0  # share that hangs up at a random time before its patience is over

    def tenant_of(self, called: str) -> str | None:
        """The caller's tenant, from the number called: no random draw, so tenants do not change a day's course."""
        return self.tenants[sum(called.encode()) % len(self.tenants)] if self.tenants else None


@dataclass(slots=True)
class TrafficDemand:
    """The traffic: dialogues a second to each destination, shares of the traffic classes, and a multiplier set
    by faults. `shape`: (second, multiplier from then on). `drift`: (us, cv), the period and variation with which the
    shares of destinations are redrawn; `bursts`: the same for the total rate. `hot_number` of `hot_exchange` is
    called by a share `hot_share` of all callers."""

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
    """One caller's request for a call, over all its attempts."""

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
    """All callers of one exchange, on one connection to their call server."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        number: int,
        address: str,
        recorder: Recorder,
        rng: random.Random,
        demand: TrafficDemand,
        habits: CallerBehaviour,
        boot: int,
    ) -> None:
        self.loop, self.number, self.recorder, self.rng = loop, number, recorder, rng
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
            loop, network, address, self, hello, ("call_server",), rng, recorder.record_frame
        )

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def start(self) -> None:
        """Start generating calls."""
        self.generating = True
        self._started_at = self.now()
        self._shares = dict(self.demand.rates)
        if self.demand.drift:
            self._redraw_shares()
        if self.demand.bursts:
            self._redraw_burst()
        self._schedule()

    def stop_new_calls(self) -> None:
        """Start no new calls; calls in progress continue."""
        self.generating = False

    def _redraw_burst(self) -> None:
        """Redraw the burst multiplier of the rate."""
        if self.generating and self.demand.bursts:
            period_us, cv = self.demand.bursts
            self._burst_multiplier = self.rng.gammavariate(1 / (cv * cv), cv * cv)
            self.loop.call_later(period_us / 1e6, self._redraw_burst)

    def _redraw_shares(self) -> None:
        """Redraw the shares of the destinations, keeping the total rate."""
        if not self.generating or not self.demand.drift:
            return
        period_us, cv = self.demand.drift
        sigma = math.sqrt(math.log(1 + cv * cv))
        drawn = {
            destination: rate * self.rng.lognormvariate(0, sigma)
            for destination, rate in self.demand.rates.items()
        }
        total = sum(drawn.values()) or 1.0
        self._shares = {
            destination: rate * sum(self.demand.rates.values()) / total for destination, rate in drawn.items()
        }
        self.loop.call_later(period_us / 1e6, self._redraw_shares)

    def _rate_multiplier(self) -> float:
        """The present multiplier of the usual call rate."""
        shape = self.demand.shape
        if not shape:
            return self.demand.multiplier * self._burst_multiplier
        elapsed_s = (self.now() - self._started_at) / 1e6
        return (
            self.demand.multiplier
            * self._burst_multiplier
            * shape[max(0, bisect_right(shape, (elapsed_s, math.inf)) - 1)][1]
        )

    def _schedule(self) -> None:
        rate = sum(self.demand.rates.values()) * self._rate_multiplier()
        wait = self.rng.expovariate(rate) if rate > 0 else 0.2
        # Checked again after 0.2 s at most, so that a change of the rate takes effect.
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
        demand, rng = self.demand, self.rng
        destination = rng.choices(list(self._shares), list(self._shares.values()))[0]
        traffic_class = rng.choices(
            [traffic_class for traffic_class, _ in demand.traffic_classes],
            [share for _, share in demand.traffic_classes],
        )[0]
        called = f"{rng.getrandbits(40):010x}"
        if demand.hot_share and rng.random() < demand.hot_share and demand.hot_exchange != self.number:
            destination, called = demand.hot_exchange, demand.hot_number
        self.call(traffic_class, destination, called)
        self._schedule()

    def call(self, traffic_class: TrafficClass, destination: int, called: str) -> CallRequest:
        """Start the first attempt of a new call request."""
        self._next_request += 1
        request = CallRequest(self._next_request, traffic_class, destination, called, self.now())
        request.heeds_retry_after = self.rng.random() < self.behaviour.heeds_retry_after
        self.counts["cases"] += 1
        self._attempt(request)
        return request

    def _attempt(self, request: CallRequest) -> None:
        request.timer = None
        self.waiting_to_retry.pop(request, None)
        self._next_call_id += 1
        request.call_id = self._next_call_id
        request.attempts += 1
        traffic_class = request.traffic_class
        patience = self.behaviour.patience
        for share, factor in self.behaviour.shortened_patience:
            if self.rng.random() < share:
                patience *= factor
                request.no_more_attempts = True
        # The deadline counts from the first attempt.
        time_left = min(
            int(traffic_class.deadline * patience), request.started_at + traffic_class.deadline - self.now()
        )
        if time_left <= 0:
            self._finish(request, "out_of_time")
            return
        channel = self.channel.current
        call = frames.Call(
            request.call_id,
            traffic_class.name,
            request.destination,
            request.called,
            time_left,
            traffic_class.width,
            self.behaviour.marks_redials and request.attempts > 1,
            self.behaviour.tenant_of(request.called),
        )
        self.recorder.record_note(
            "try",
            id=request.call_id,
            case=request.number,
            use_case=traffic_class.name,
            began=request.started_at,
        )
        if channel is None or channel.connection.peer is None or not channel.send(call):
            self._retry_or_give_up(request, 0)
            return
        self.calls[request.call_id] = request
        wait_s = time_left / 1e6
        if self.behaviour.early_hang_up_share and self.rng.random() < self.behaviour.early_hang_up_share:
            wait_s *= self.rng.random()
        request.timer = self.loop.call_later(wait_s, self._patience_over, request)

    def _patience_over(self, request: CallRequest) -> None:
        self.counts["gave_up"] += 1
        self._send_hang_up(request)
        self._retry_or_give_up(request, 0)

    def _send_hang_up(self, request: CallRequest) -> None:
        if self.calls.pop(request.call_id, None) and self.channel.current:
            self.channel.current.send(frames.HangUp(request.call_id))

    def _retry_or_give_up(self, request: CallRequest, retry_after: int) -> None:
        """Schedule a retry, or give up."""
        if request.timer:
            request.timer.cancel()
        self.calls.pop(request.call_id, None)
        if request.no_more_attempts or request.attempts > self.behaviour.retries:
            self._finish(request, "unserved")
            return
        pause = self.behaviour.pause_us * (2 ** (request.attempts - 1) if self.behaviour.doubles_pause else 1)
        pause = int(pause * (0.5 + self.rng.random()))
        if retry_after and request.heeds_retry_after:
            pause = retry_after
        self.waiting_to_retry[request] = None
        request.timer = self.loop.call_later(pause / 1e6, self._attempt, request)

    def _finish(self, request: CallRequest, outcome: str) -> None:
        self.counts[outcome] += 1
        self.calls.pop(request.call_id, None)

    def hang_up_all(self) -> None:
        """Hang up all established calls and cancel all retries."""
        for request in [request for request in self.calls.values() if request.established]:
            if request.timer:
                request.timer.cancel()
            self._hang_up(request)
        for request in list(self.waiting_to_retry):
            if request.timer:
                request.timer.cancel()
            self.waiting_to_retry.pop(request)
            self._finish(request, "unserved")

    @property
    def open_calls(self) -> int:
        """The number of call requests that are not finished."""
        return len(self.calls) + len(self.waiting_to_retry)

    # -- Owner --

    def channel_opened(self, channel: Channel) -> None:
        """The call server has answered the handshake."""

    def circuits_held(self, channel: Channel) -> int:
        """Callers hold no circuits."""
        return 0

    def channel_closed(self, channel: Channel, why: str) -> None:
        """The connection is lost: waiting callers retry, established calls are cut."""
        self.recorder.record_connection_down(channel)
        for request in list(self.calls.values()):
            if request.established:
                if request.timer:
                    request.timer.cancel()
                self._finish(request, "cut")
            else:
                self._retry_or_give_up(request, 0)

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        """Handle a frame from the call server."""
        if not isinstance(frame, (frames.Final, frames.Ended)):
            return
        request = self.calls.get(frame.id)
        if request is None:
            self.counts["strays"] += 1
        elif isinstance(frame, frames.Ended):
            if request.timer:
                request.timer.cancel()
            self._finish(request, "cut")
        elif frame.answer == "stands":
            if request.timer:
                request.timer.cancel()
            request.established = True
            self.counts["stood"] += 1
            hold = self.rng.expovariate(1 / max(1, request.traffic_class.hold))
            request.timer = self.loop.call_later(hold / 1e6, self._hang_up, request)
        else:
            self.counts[frame.answer] += 1
            self._retry_or_give_up(request, frame.retry_after)

    def _hang_up(self, request: CallRequest) -> None:
        self._send_hang_up(request)
        self._finish(request, "talked")
