"""Established calls: which office holds each, what ends it, and whether its caller is notified. Pure.

A call ends when its caller or its office releases it, when its office is gone, has restarted or refuses every
connection, and when nothing confirms any more that the office still holds it (`liveness.py`). The caller is notified
through `releases.py`, unless it ended the call itself.
"""

from collections import Counter
from collections.abc import Callable, Collection, Hashable

from wellhitch.interface.events import DialResult, OfficeReport, OfficeState
from wellhitch.net.transport import Timer
from wellhitch.office_lines import codec as lines
from wellhitch.platform import call_limits
from wellhitch.platform.ended_dials import EndedDials
from wellhitch.platform.liveness import CallsLost, LivenessTest
from wellhitch.platform.records import (
    MAX_REMEMBERED,
    REMEMBERED_US,
    EstablishedCall,
    OfficeRecord,
    OfficeRelease,
)
from wellhitch.platform.releases import ReleaseQueue
from wellhitch.platform.reported_calls import ReportedCalls
from wellhitch.platform.server_io import ServerIO
from wellhitch.sip import codec as sip

CAUSE_NORMAL, CAUSE_CUT = 16, 41
# `established_at` of a call from before this server started: earlier than any start of its office reported later.
ESTABLISHED_BEFORE_START = 0
# An office that refuses every connection for so long has died with its calls. Replacing a connection after a reset
# takes milliseconds.
REFUSED_US = 1_000_000
# From the report that an office is gone until its calls are cut: releases that it sent before it ended arrive first.
GONE_US = 500_000
# An office that sends something on a connection has read what came on it so long before.
READ_WITHIN_US = 2_000_000
# Between liveness checks; short compared with the second that is left to notify callers.
LIVENESS_STEP_US = 200_000


class EstablishedCalls:
    """All established calls of one call server."""

    def __init__(
        self,
        io: ServerIO,
        offices: dict[str, OfficeRecord],
        counts: Counter[str],
        ended_dials: EndedDials,
        on_ended: Callable[[EstablishedCall, DialResult, OfficeReport, int], None],
        on_unused: Callable[[OfficeRecord], None],
    ) -> None:
        """`on_ended` is called once for each call that ends, `on_unused` for an office that may have no calls left."""
        # When this server started, on the clock of `OfficeRecord.started_at`.
        self.started_at = 0
        self.calls: dict[str, EstablishedCall] = {}
        self.releases = ReleaseQueue(io.send_to_caller, io.start_timer, io.log)
        self._io, self._offices, self._counts = io, offices, counts
        self._ended_dials = ended_dials
        self._on_ended, self._on_unused = on_ended, on_unused
        # Of `calls`, those from before this server's start.
        self.reported = ReportedCalls()
        # Calls for each caller's connection on which their set-up came.
        self._by_connection: Counter[Hashable] = Counter()
        self._released_unknown: dict[str, tuple[int, int]] = {}  # cause and time
        self._liveness_timer: Timer | None = None
        self._last_test = 0

    def on_connection(self, connection: Hashable) -> int:
        """How many calls were set up on a caller's connection."""
        return self._by_connection.get(connection, 0)

    def connections_for_ends(self) -> Collection[Hashable]:
        """The callers' connections on which the end of a call may have to be told whose own connection is gone; none
        if there is no such call."""
        connections = self.releases.connections
        calls_on_open_connections = sum(self._by_connection[connection] for connection in connections)
        if self.releases or calls_on_open_connections < len(self.calls):
            return connections
        return ()

    # ---- new calls ----

    def may_add(self, connection: Hashable) -> bool:
        """Whether a caller may set up another call on its connection."""
        return call_limits.CALLS.may_add(
            len(self.calls), self.on_connection(connection), len(self.releases.connections)
        )

    def add(self, call: EstablishedCall, connection: Hashable) -> None:
        """Add a call that was answered on an office's connection."""
        self._register(call)
        call.office.liveness.call_established(call, connection)

    def reported_by_caller(self, call_id: str, office_id: str, connection: Hashable, now: int) -> None:
        """Add a call that its caller reports as established before a restart of this server; a known one is left as it
        is."""
        if call_id in self.calls:
            self._counts["stands_known"] += 1
            return
        self._counts["stands_told"] += 1
        released = self._released_unknown.pop(call_id, None)
        office = self._offices.get(office_id)
        self._io.log(
            "call_named",
            call=call_id,
            endpoint=office_id,
            listed=office is not None,
            released=released is not None,
        )
        if released is not None:
            self.release_to_caller(call_id, released[0], connection, now)
            return
        if office is None:  # removed, with its calls, while this server was down
            self.release_to_caller(call_id, CAUSE_CUT, connection, now)
            return
        if (office.started_at or 0) > self.started_at:
            # The call is from before this server's start, and the office has lost it with a later start of its own.
            self._counts["stands_before_office_start"] += 1
            self.release_to_caller(call_id, CAUSE_CUT, connection, now)
            return
        call = EstablishedCall(call_id, office, connection, None, 0, ESTABLISHED_BEFORE_START)
        self._register(call)
        office.liveness.call_reported(call, now)
        forgotten = self.reported.add(call_id, connection)
        if forgotten is not None:
            self._forget_reported(self.calls[forgotten])
        if not office.calls:
            return
        if office.state is OfficeState.GONE:
            self.office_gone(office)
        else:
            self._io.keep_connection(office)

    def caller_connection_closed(self, connection: Hashable) -> None:
        """A caller's connection is gone. The calls reported on it no longer refer to it."""
        for call_id in self.reported.connection_closed(connection):
            call = self.calls[call_id]
            self._remove_from_connection(call)
            call.connection = None

    def _forget_reported(self, call: EstablishedCall) -> None:
        """Forget a reported call at the limit. Its caller is not told, as the call may still be established; the end of
        one that is comes as the release of an unknown call."""
        self._counts["stands_forgotten"] += 1
        self._remove(call)
        self._on_unused(call.office)

    # ---- ends ----

    def released_by_caller(self, call: EstablishedCall, why: str, now: int) -> None:
        """End a call that its caller released, and notify its office. `why` is for the log."""
        self._release_at_office(call, CAUSE_NORMAL, now)
        self._end(call, DialResult.CANCELLED, OfficeReport(), now, why)

    def released_by_office(
        self, call: EstablishedCall, connection: Hashable, cause: int, report: OfficeReport, now: int
    ) -> None:
        """End a call that its office released, and notify its caller."""
        call.office.liveness.call_mentioned(call, connection, now)
        normal = cause == CAUSE_NORMAL
        self.release_to_caller(call.call_id, CAUSE_NORMAL if normal else CAUSE_CUT, call.connection, now)
        result = DialResult.ENDED_WELL if normal else DialResult.RESET
        self._end(call, result, report, now, f"released by its endpoint, cause {cause}")

    def released_by_office_or_earlier(
        self, call: EstablishedCall, connection: Hashable, cause: int, report: OfficeReport, now: int
    ) -> None:
        """End a call whose release may be that of an earlier call with its Call-ID. The office may still hold the call
        then, and is sent a release too."""
        self._release_at_office(call, CAUSE_CUT, now)
        self.released_by_office(call, connection, cause, report, now)

    def unknown_released(self, call_id: str, cause: int, now: int) -> None:
        """Remember the release of an unknown call: after a restart it may come before the caller reports the call. Once
        reported calls have been forgotten, it may be of one of these, and the callers are told at once."""
        self._counts["strays.down"] += 1
        if self._counts["stands_forgotten"]:
            self.release_to_caller(call_id, cause, None, now)
        remembered = self._released_unknown
        remembered[call_id] = (cause, now)
        while remembered:
            oldest = next(iter(remembered))
            if len(remembered) <= MAX_REMEMBERED and now - remembered[oldest][1] <= REMEMBERED_US:
                break
            del remembered[oldest]

    def release_to_caller(self, call_id: str, cause: int, connection: Hashable, now: int) -> None:
        """Notify a caller that its call has ended, preferably on `connection`."""
        release = sip.request("BYE", call_id, 2, f"Reason: Q.850;cause={cause}\r\n")
        self.releases.add(call_id, release, connection, now)

    # ---- offices ----

    def office_refused_connection(self, office: OfficeRecord) -> None:
        """An office without a connection refused a new one: unless it accepts one soon, its process has died."""
        office.liveness.connection_refused()
        if office.calls:
            self._cut_later(office, REFUSED_US)

    def office_gone(self, office: OfficeRecord) -> None:
        """Discovery reports that an office is gone: its calls are cut soon."""
        self._cut_later(office, GONE_US)

    def office_restarted(self, office: OfficeRecord, now: int) -> None:
        """Discovery reports a new start of an office: calls from before it have ended."""
        earlier = [call for call in office.calls.values() if call.established_at < (office.started_at or 0)]
        self._release_at_address(office, earlier, now)
        self._cut(office, earlier, "its endpoint started again", now)

    def connection_opened(self, office: OfficeRecord, connection: Hashable, now: int) -> None:
        """A connection to an office is up. Releases that have yet to be written go out on it, and those that were sent
        since the office's last confirmation go out again: their connection may be dead."""
        for call_id, release in office.released.items():
            unconfirmed = (
                not release.dial_only and release.released_at >= office.liveness.current.confirmed_at
            )
            if (release.connection is None or unconfirmed) and not _is_set_up_again(office, call_id):
                self._write_release(office, call_id, release, connection, now)
        office.liveness.connection_opened(connection, now)
        if office.liveness.under_test(connection):
            self._send_test(office, connection)
        if office.cut_timer is not None and office.state is not OfficeState.GONE:
            office.cut_timer.cancel()
            office.cut_timer = None

    def connection_lost(self, office: OfficeRecord, connection: Hashable, resend: bool, now: int) -> None:
        """A connection to an office is gone. The office may not have read the latest releases that were written on it,
        and would keep the calls: they go out on another one, at once if `resend`, else with the next connection."""
        received_at = office.received_at.pop(connection, 0)
        lost = [
            (call_id, release)
            for call_id, release in office.released.items()
            if release.connection == connection
            and (now - release.written_at < READ_WITHIN_US or received_at < release.written_at)
        ]
        for call_id, release in lost:
            release.connection = None
            if resend and not _is_set_up_again(office, call_id):
                self._write_release(office, call_id, release, None, now)

    def release_at_office(self, office: OfficeRecord, call_id: str, cause: int, now: int) -> None:
        """Release a call at its office, again if the release is lost with its connection."""
        release = OfficeRelease(cause, now)
        office.remember_released(call_id, release, now)
        self._write_release(office, call_id, release, None, now)

    def release_dial(self, office: OfficeRecord, call_id: str, connection: Hashable, now: int) -> None:
        """Release a dial at its office, on the connection of its set-up. It may have been answered, and the release is
        sent again if it is lost with its connection."""
        release = OfficeRelease(CAUSE_NORMAL, now, dial_only=True)
        office.remember_released(call_id, release, now)
        self._write_release(office, call_id, release, connection, now)

    def _write_release(
        self, office: OfficeRecord, call_id: str, release: OfficeRelease, preferred: Hashable | None, now: int
    ) -> None:
        release.written_at = now
        release.connection = self._io.send_to_office(office, lines.release(call_id, release.cause), preferred)

    def cut_unconfirmed(self, now: int) -> None:
        """Before this process ends, cut the calls whose office may have vanished: the next process cannot know how long
        it has been silent, and their callers can still be notified. An office that still has them is told too. Without
        a caller's connection nobody could be notified, and the calls are left to the next process."""
        if not self.releases.connections:
            return
        for office in list(self._offices.values()):
            unconfirmed = office.liveness.unconfirmed_calls(now)
            calls = [call for call in office.calls.values() if call in unconfirmed]
            for call in calls:
                self._release_at_office(call, CAUSE_CUT, now)
            self._cut(office, calls, "its endpoint is silent, and this process ends", now)

    # ---- internal ----

    def _register(self, call: EstablishedCall) -> None:
        self.calls[call.call_id] = call.office.calls[call.call_id] = call
        self._by_connection[call.connection] += 1
        self._schedule_liveness_check()

    def _end(
        self, call: EstablishedCall, result: DialResult, report: OfficeReport, now: int, why: str
    ) -> None:
        if call.call_id not in self.calls:
            return  # ended already; each end is reported once
        self._remove(call)
        self._io.log("call_over", call=call.call_id, endpoint=call.office.id, why=why)
        self._on_ended(call, result, report, now)

    def _remove(self, call: EstablishedCall) -> None:
        del self.calls[call.call_id]
        call.office.calls.pop(call.call_id, None)
        call.office.liveness.call_ended(call)
        self._remove_from_connection(call)
        self.reported.remove(call.call_id)

    def _remove_from_connection(self, call: EstablishedCall) -> None:
        if call.connection is None:
            return
        self._by_connection[call.connection] -= 1
        if self._by_connection[call.connection] <= 0:
            del self._by_connection[call.connection]

    def _release_at_office(self, call: EstablishedCall, cause: int, now: int) -> None:
        self._ended_dials.add(call.office.id, call.call_id, call.office_connection, now)
        self.release_at_office(call.office, call.call_id, cause, now)

    def _cut_later(self, office: OfficeRecord, delay: int) -> None:
        if office.cut_timer is None:
            office.cut_timer = self._io.start_timer(delay, lambda now: self._cut_all(office, now))

    def _cut_all(self, office: OfficeRecord, now: int) -> None:
        office.cut_timer = None
        calls = list(office.calls.values())
        self._release_at_address(office, calls, now)
        self._cut(office, calls, "its endpoint is dead or gone", now)
        self._on_unused(office)

    def _release_at_address(self, office: OfficeRecord, calls: list[EstablishedCall], now: int) -> None:
        """Release calls that are about to be cut at the process that now has their office's address, if a connection to
        it is up. It may have them: discovery tells late that another one has taken the office's place, and calls were
        set up there meanwhile."""
        if self._io.is_connected(office):
            for call in calls:
                self._release_at_office(call, CAUSE_CUT, now)
        successor = self._successor(office)
        if successor is None:
            return
        for call in calls:
            if call.call_id in successor.calls or call.call_id in successor.dials:
                continue  # set up there again
            self.release_at_office(successor, call.call_id, CAUSE_CUT, now)

    def _successor(self, office: OfficeRecord) -> OfficeRecord | None:
        """The office that has another one's address now."""
        return next(
            (
                other
                for other in self._offices.values()
                if other is not office
                and other.address == office.address
                and other.state is not OfficeState.GONE
            ),
            None,
        )

    def _cut(self, office: OfficeRecord, calls: list[EstablishedCall], why: str, now: int) -> None:
        if not calls:
            return
        self._counts["calls_cut_with_office"] += len(calls)
        self._io.log("calls_cut", endpoint=office.id, calls=len(calls), why=why)
        for call in calls:
            self.release_to_caller(call.call_id, CAUSE_CUT, call.connection, now)
            self._end(call, DialResult.RESET, OfficeReport(), now, why)

    # ---- liveness of offices with calls ----

    def _schedule_liveness_check(self) -> None:
        if self._liveness_timer is None and self.calls:
            self._liveness_timer = self._io.start_timer(LIVENESS_STEP_US, self._check_liveness)

    def _check_liveness(self, now: int) -> None:
        self._liveness_timer = None
        for office in [office for office in self._offices.values() if office.calls]:
            for due in office.liveness.step(now):
                match due:
                    case LivenessTest(connections, open_another):
                        for connection in connections:
                            self._send_test(office, connection)
                        if open_another:
                            self._io.open_another(office)
                    case CallsLost(calls, silent_us):
                        self._calls_lost(office, frozenset(calls), silent_us, now)
        self._schedule_liveness_check()

    def _send_test(self, office: OfficeRecord, connection: Hashable) -> None:
        self._last_test += 1
        self._counts["tests_sent"] += 1
        self._io.send_test(office, connection, lines.test(f"{self._last_test:016x}"))

    def _calls_lost(self, office: OfficeRecord, lost: frozenset[Hashable], silent_us: int, now: int) -> None:
        """Cut calls that nothing has confirmed for too long, and release them at their office in case it still has
        them."""
        calls = [call for call in office.calls.values() if call in lost]
        for call in calls:
            self._release_at_office(call, CAUSE_CUT, now)
        self._cut(office, calls, f"nothing received for {silent_us // 1000} ms", now)


def _is_set_up_again(office: OfficeRecord, call_id: str) -> bool:
    """Whether a released call's Call-ID was sent to its office in a later set-up, which a release would end."""
    later_dial = office.dials.get(call_id)
    return call_id in office.calls or (later_dial is not None and later_dial.connection is not None)
