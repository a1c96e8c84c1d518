"""Hooks at the call server: facts of the server for each point, and what was said as facts of the event. Nothing of
a hook's reaches a route, a dial or a time-out."""

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
TICK_INTERVAL_US = SECOND_US  # us between runs of `on tick`


@dataclass(frozen=True, slots=True)
class WallClock:
    """What time people's clocks show, handed in: hooks see it, the decisions do not. `second`: of the local day, with
    the weekday from 1 and the date, at a time of the loop in us."""

    local_time: Callable[[int], tuple[int, int, str]]


LOOP_TIME_CLOCK = WallClock(lambda now: (now // 1_000_000 % 86_400, 1, "2026-01-01"))
"""Where no clock is handed in: the loop's time as if the day began with it, the same on every run."""


@dataclass(slots=True)
class HookRunner:
    """The hooks of one call server with what they are told."""

    hooks: Hooks
    exchange: Exchange
    number: int
    clock: WallClock = LOOP_TIME_CLOCK
    started_at: int = 0
    _shown_second: int = -1
    _shown: tuple[int, int, str] = (0, 1, "")
    _place: Record = field(init=False)

    def __post_init__(self) -> None:
        self._place = Record({"number": self.number}, 1)

    def _clock(self, now: int) -> Record:
        if now // SECOND_US != self._shown_second:
            self._shown_second, self._shown = now // SECOND_US, self.clock.local_time(now)
        second, weekday, date = self._shown
        fields: dict[str, Value] = {
            "hour": second // 3600,
            "minute": second // 60 % 60,
            "weekday": weekday,
            "date": date,
            "since_start": Duration(now - self.started_at),
        }
        return Record(fields, 1)

    def _call(self, call: frames.Call | PendingCall, redialled: bool, left: int) -> Record:
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
        """What is said of a dialogue before it is told to the decisions, and by which version."""
        if not self.hooks.has_hooks("arrive"):
            return HookResult(), self.hooks.deciding_for(call.called).version.digest
        there = self.exchange.by_number.get(call.destination)
        group = groups.get(call.destination)
        load: dict[str, Value] = {
            "held": held,
            "own_price": self.exchange.own_price,
            "price_there": there.price if there else 0.0,
            "free_there": group.free if group else None,
        }
        facts = {
            "call": self._call(call, call.redialled, call.left),
            "clock": self._clock(now),
            "load": Record(load, 1),
            "place": self._place,
        }
        return self.hooks.consult("arrive", facts, call.tenant or call.use_case, now, call.called)

    def call_answered(self, taken: PendingCall, answer: str, left: int, now: int) -> tuple[str, ...]:
        """The tags of a dialogue that gets its final answer."""
        if not self.hooks.has_hooks("answer"):
            return taken.tags
        facts = {
            "call": self._call(taken, False, left),
            "clock": self._clock(now),
            "place": self._place,
            "answer": answer,
            "took": now - taken.arrived_at,
            "tags": taken.tags,
        }
        said, _ = self.hooks.consult("answer", facts, taken.tenant or taken.use_case, now, taken.called)
        return (*taken.tags, *(tag for tag in said.tags if tag not in taken.tags))

    def office_state_changed(self, end: OfficeRecord, now: int) -> str | None:
        """A mark for an office of which the list's line changed."""
        if not self.hooks.has_hooks("list"):
            return None
        facts = {
            "office": {"id": end.id, "number": end.number, "standing": end.state.name.lower()},
            "clock": self._clock(now),
            "place": self._place,
        }
        return self.hooks.consult("list", facts, end.id, now, None)[0].mark

    def tick(self, held: int, now: int) -> None:
        """Once a second."""
        if not self.hooks.has_hooks("tick"):
            return
        facts = {
            "clock": self._clock(now),
            "load": {"held": held, "own_price": self.exchange.own_price},
            "place": self._place,
        }
        self.hooks.consult("tick", facts, "tick", now, None)
