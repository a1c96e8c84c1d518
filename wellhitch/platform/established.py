"""Established calls: what holds them, what ends them, and who has to be told. Pure.

A call is over when its caller or its endpoint releases it, when its endpoint is gone, has started again or refuses
every connection, and when nothing proves any more that its endpoint still holds it (`liveness.py`). Whatever ended it,
its caller is told through `releases.py` unless the caller ended it itself.
"""

from collections import Counter
from collections.abc import Callable, Hashable

from wellhitch.interface.events import DialResult, OfficeReport, OfficeState
from wellhitch.net.seam import Timer
from wellhitch.office_lines import codec as lines
from wellhitch.platform.liveness import CallsLost, LivenessTest
from wellhitch.platform.outlet import Outlet
from wellhitch.platform.records import MOST_REMEMBERED, REMEMBERED_US, Call, OfficeEnd
from wellhitch.platform.releases import Releases
from wellhitch.sip import codec as sip

CAUSE_OVER, CAUSE_CUT = 16, 41
SINCE_UNKNOWN = (
    0  # of a call from before the start here: earlier than any start of its endpoint that is told later
)
# That an endpoint refuses every connection before its calls count as cut: its process has died, and they with it.
# Replacing a connection after a reset takes milliseconds.
REFUSED_US = 1_000_000
# From hearing that an endpoint is gone: releases that it sent at its end come before.
GONE_US = 500_000
# Between looks at endpoints that hold calls: short beside the second that is left for telling their callers.
LIVENESS_STEP_US = 200_000


class EstablishedCalls:
    """All established calls of one call server."""

    def __init__(
        self,
        outlet: Outlet,
        endpoints: dict[str, OfficeEnd],
        counts: Counter[str],
        ended: Callable[[Call, DialResult, OfficeReport, int], None],
        let_go: Callable[[OfficeEnd], None],
    ) -> None:
        """`ended` hears of each end once; `let_go` of endpoints on which nothing may be left."""
        self.calls: dict[str, Call] = {}
        self.releases = Releases(outlet.to_caller, outlet.timer, outlet.log)
        self._outlet, self._endpoints, self._counts = outlet, endpoints, counts
        self._ended, self._let_go = ended, let_go
        self._by_connection: Counter[Hashable] = Counter()  # of their set-ups
        self._released_unknown: dict[str, tuple[int, int]] = {}  # cause and when
        self._liveness_timer: Timer | None = None
        self._next_test = 0

    def on_connection(self, connection: Hashable) -> int:
        """How many are up whose set-up came on a caller's connection."""
        return self._by_connection.get(connection, 0)

    # ---- beginnings ----

    def add(self, call: Call, connection: Hashable) -> None:
        """A call was answered on an endpoint's connection."""
        self._hold(call)
        call.office.liveness.call_established(call, connection)

    def named(self, ref: str, endpoint: str, caller: Hashable, now: int) -> None:
        """A caller names a call that was up before a restart here; what is held already is left as it is."""
        if ref in self.calls:
            self._counts["stands_known"] += 1
            return
        self._counts["stands_told"] += 1
        released = self._released_unknown.pop(ref, None)
        end = self._endpoints.get(endpoint)
        self._outlet.log(
            "call_named", call=ref, endpoint=endpoint, listed=end is not None, released=released is not None
        )
        if released is not None:
            self.tell_over(ref, released[0], caller, now)
            return
        if end is None:  # gone while this call server was away, and its calls with it
            self.tell_over(ref, CAUSE_CUT, caller, now)
            return
        call = Call(ref, end, caller, None, 0, SINCE_UNKNOWN)
        self._hold(call)
        end.liveness.call_named(call, now)
        if end.standing is OfficeState.GONE:
            self.endpoint_gone(end)
        else:
            self._outlet.keep_links(end)

    # ---- ends ----

    def released_by_caller(self, call: Call, now: int) -> None:
        """A call is over from the caller's side; its endpoint is told."""
        self._release_at_endpoint(call, CAUSE_OVER, now)
        self._end(call, DialResult.CANCELLED, OfficeReport(), now, "released by its caller")

    def released_by_endpoint(
        self, call: Call, connection: Hashable, cause: int, report: OfficeReport, now: int
    ) -> None:
        """A call is over from the endpoint's side; its caller is told."""
        call.office.liveness.call_mentioned(call, connection, now)
        over = cause == CAUSE_OVER
        self.tell_over(call.ref, CAUSE_OVER if over else CAUSE_CUT, call.link, now)
        ending = DialResult.ENDED_WELL if over else DialResult.RESET
        self._end(call, ending, report, now, f"released by its endpoint, cause {cause}")

    def unknown_released(self, ref: str, cause: int, now: int) -> None:
        """An endpoint released a call not known here: after a restart that may come before its caller names it."""
        self._counts["strays.down"] += 1
        kept = self._released_unknown
        kept[ref] = (cause, now)
        while kept:
            first = next(iter(kept))
            if len(kept) <= MOST_REMEMBERED and now - kept[first][1] <= REMEMBERED_US:
                break
            del kept[first]

    def tell_over(self, ref: str, cause: int, caller: Hashable, now: int) -> None:
        """A caller must hear that its call is over."""
        release = sip.request("BYE", ref, 2, f"Reason: Q.850;cause={cause}\r\n")
        self.releases.add(ref, release, caller, now)

    # ---- endpoints ----

    def endpoint_refuses(self, end: OfficeEnd) -> None:
        """No connection is up and new ones are refused: unless that passes soon, the process has died."""
        end.liveness.connection_refused()
        if end.calls:
            self._cut_later(end, REFUSED_US)

    def endpoint_gone(self, end: OfficeEnd) -> None:
        """Discovery says that an endpoint is gone."""
        self._cut_later(end, GONE_US)

    def endpoint_restarted(self, end: OfficeEnd, now: int) -> None:
        """Discovery tells a new start of an endpoint: what was up there before is over."""
        before = [call for call in end.calls.values() if call.since < (end.started or 0)]
        self._cut(end, before, "its endpoint started again", now)

    def connection_opened(self, end: OfficeEnd, connection: Hashable, now: int) -> None:
        """A connection to an endpoint is up. Releases that nothing was heard after go out on it again: they may have
        been lost with the connection before, and their calls would be left standing."""
        for ref, (cause, released_at) in end.released.items():
            if released_at >= end.liveness.current.proved_at:
                self._outlet.to_office(end, lines.down(ref, cause), connection)
        end.liveness.connection_opened(connection, now)
        if end.liveness.under_test(connection):
            self._test(end, connection)
        if end.cut is not None and end.standing is not OfficeState.GONE:
            end.cut.cancel()
            end.cut = None

    def cut_unproved(self, now: int) -> None:
        """The process ends: the next one cannot know how long an endpoint has been silent. Calls on one that may have
        vanished are over, and their callers hear it while they can."""
        for end in list(self._endpoints.values()):
            unproved = end.liveness.unproved(now)
            calls = [call for call in end.calls.values() if call in unproved]
            self._cut(end, calls, "its endpoint is silent, and this process ends", now)

    # ---- inside ----

    def _hold(self, call: Call) -> None:
        self.calls[call.ref] = call.office.calls[call.ref] = call
        self._by_connection[call.link] += 1
        self._look_later()

    def _end(self, call: Call, ending: DialResult, report: OfficeReport, now: int, why: str) -> None:
        if self.calls.pop(call.ref, None) is None:
            return  # over already: each end is told once
        call.office.calls.pop(call.ref, None)
        call.office.liveness.call_ended(call)
        self._by_connection[call.link] -= 1
        if self._by_connection[call.link] <= 0:
            del self._by_connection[call.link]
        self._outlet.log("call_over", call=call.ref, endpoint=call.office.id, why=why)
        self._ended(call, ending, report, now)

    def _release_at_endpoint(self, call: Call, cause: int, now: int) -> None:
        self._outlet.to_office(call.office, lines.down(call.ref, cause), None)
        call.office.remember_given_up(call.ref, now)
        call.office.remember_released(call.ref, cause, now)

    def _cut_later(self, end: OfficeEnd, after: int) -> None:
        if end.cut is None:
            end.cut = self._outlet.timer(after, lambda now: self._cut_all(end, now))

    def _cut_all(self, end: OfficeEnd, now: int) -> None:
        end.cut = None
        self._cut(end, list(end.calls.values()), "its endpoint is dead or gone", now)
        self._let_go(end)

    def _cut(self, end: OfficeEnd, calls: list[Call], why: str, now: int) -> None:
        if not calls:
            return
        self._counts["calls_cut_with_office"] += len(calls)
        self._outlet.log("calls_cut", endpoint=end.id, calls=len(calls), why=why)
        for call in calls:
            self.tell_over(call.ref, CAUSE_CUT, call.link, now)
            self._end(call, DialResult.RESET, OfficeReport(), now, why)

    # ---- endpoints that fall silent ----

    def _look_later(self) -> None:
        if self._liveness_timer is None and self.calls:
            self._liveness_timer = self._outlet.timer(LIVENESS_STEP_US, self._look)

    def _look(self, now: int) -> None:
        self._liveness_timer = None
        for end in [end for end in self._endpoints.values() if end.calls]:
            for due in end.liveness.step(now):
                match due:
                    case LivenessTest(connections, open_another):
                        for connection in connections:
                            self._test(end, connection)
                        if open_another:
                            self._outlet.open_another(end)
                    case CallsLost(calls, silent_us):
                        self._silent_too_long(end, frozenset(calls), silent_us, now)
        self._look_later()

    def _test(self, end: OfficeEnd, connection: Hashable) -> None:
        self._next_test += 1
        self._counts["tests_sent"] += 1
        self._outlet.test(end, connection, lines.test(f"{self._next_test:016x}"))

    def _silent_too_long(self, end: OfficeEnd, lost: frozenset[Hashable], silent_us: int, now: int) -> None:
        """Nothing proves that these calls are up. Their endpoint hears it too, if it ever comes back with them."""
        calls = [call for call in end.calls.values() if call in lost]
        for call in calls:
            self._release_at_endpoint(call, CAUSE_CUT, now)
        self._cut(end, calls, f"nothing heard for {silent_us // 1000} ms", now)
