"""Runs the hooks of a call server: provides the facts for each hook point and returns results as facts of the event.

No hook can affect a route, a dial or a timeout directly.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from wellhitch.hooks.host import Hooks
from wellhitch.hooks.points import HookResult
from wellhitch.hooks.values import Duration, Record, Value
from wellhitch.interface.state import Exchange
from wellhitch.server.dials import OfficeRecord, PendingCall
from wellhitch.trunk import frames
from wellhitch.trunk.circuits import TrunkGroup

SECOND_US = 1_000_000
TICK_INTERVAL_US = SECOND_US  # between runs of `on tick`


@dataclass(frozen=True, slots=True)
class WallClock:
    """Local wall-clock time, which hooks see and the decision module does not. `local_time` turns a time of the event
    loop in us into the second of the day, the weekday (from 1) and the date."""

    local_time: Callable[[int], tuple[int, int, str]]


LOOP_TIME_CLOCK = WallClock(lambda now: (now // 1_000_000 % 86_400, 1, "2026-01-01"))
"""The default: the event loop's time as if its zero were midnight, so that every run is the same."""


@dataclass(slots=True)
class HookRunner:
    """The hooks of one call server and the facts that they get."""

    hooks: Hooks
    exchange: Exchange
    number: int
    clock: WallClock = LOOP_TIME_CLOCK
    started_at: int = 0
    _local_time_second: int = -1
    _local_time: tuple[int, int, str] = (0, 1, "")
    _place_facts: Record = field(init=False)

    def __post_init__(self) -> None:
        self._place_facts = Record({"number": self.number}, 1)

    def _clock_facts(self, now: int) -> Record:
        if now // SECOND_US != self._local_time_second:
            self._local_time_second, self._local_time = now // SECOND_US, self.clock.local_time(now)
        second, weekday, date = self._local_time
        fields: dict[str, Value] = {
            "hour": second // 3600,
            "minute": second // 60 % 60,
            "weekday": weekday,
            "date": date,
            "since_start": Duration(now - self.started_at),
        }
        return Record(fields, 1)

    def _call_facts(self, call: frames.Call | PendingCall, redialled: bool, left: int) -> Record:
        fields: dict[str, Value] = {
            "use_case": call.use_case,
            "destination": call.destination,
            "called": call.called,
            "width": call.width,
            "redialled": redialled,
            "transit": False,
            "tenant": call.tenant,
            "left": Duration(left),
        }
        return Record(fields, 1)

    def call_arrived(
        self, call: frames.Call, held: int, groups: Mapping[int, TrunkGroup], now: int
    ) -> tuple[HookResult, str]:
        """Run `on arrive` for a call before the decision module sees it; returns result and version of the hooks."""
        if not self.hooks.has_hooks("arrive"):
            return HookResult(), self.hooks.deciding_for(call.called).version.digest
        destination = self.exchange.by_number.get(call.destination)
        group = groups.get(call.destination)
        load: dict[str, Value] = {
            "held": held,
            "own_price": self.exchange.own_price,
            "price_there": destination.price if destination else 0.0,
            "free_there": group.free if group else None,
        }
        facts = {
            "call": self._call_facts(call, call.redialled, call.left),
            "clock": self._clock_facts(now),
            "load": Record(load, 1),
            "place": self._place_facts,
        }
        return self.hooks.consult("arrive", facts, call.tenant or call.use_case, now, call.called)

    def call_answered(self, call: PendingCall, answer: str, left: int, now: int) -> tuple[str, ...]:
        """Run `on answer` for a dialogue that got its final answer; returns its tags."""
        if not self.hooks.has_hooks("answer"):
            return call.tags
        facts = {
            "call": self._call_facts(call, False, left),
            "clock": self._clock_facts(now),
            "place": self._place_facts,
            "answer": answer,
            "took": now - call.arrived_at,
            "tags": call.tags,
        }
        result, _ = self.hooks.consult("answer", facts, call.tenant or call.use_case, now, call.called)
        return (*call.tags, *(tag for tag in result.tags if tag not in call.tags))

    def office_state_changed(self, office: OfficeRecord, now: int) -> str | None:
        """Run `on list` for an office whose state changed; returns its mark, if any."""
        if not self.hooks.has_hooks("list"):
            return None
        facts = {
            "office": {"id": office.id, "number": office.number, "standing": office.state.name.lower()},
            "clock": self._clock_facts(now),
            "place": self._place_facts,
        }
        return self.hooks.consult("list", facts, office.id, now, None)[0].mark

    def tick(self, held: int, now: int) -> None:
        """Run `on tick`, once a second."""
        if not self.hooks.has_hooks("tick"):
            return
        facts = {
            "clock": self._clock_facts(now),
            "load": {"held": held, "own_price": self.exchange.own_price},
            "place": self._place_facts,
        }
        self.hooks.consult("tick", facts, "tick", now, None)
