"""Detects whether an office still holds the calls that were established on it. Pure; times in microseconds.

When a machine vanishes, its connections stay open and discovery may report it much later. Its calls have ended all the
same, and their callers must be notified within 8 s. Silence is therefore limited here, whatever its cause: an office
with calls is tested when it has been quiet, and its calls count as lost when nothing confirms within
`SILENCE_LIMIT_US` that it still holds them.

Confirmations are tracked for each incarnation, that is one run of the office's process. Bytes on a connection confirm
the incarnation to which the connection leads. A new connection is assigned to the current incarnation only if that was
confirmed a short time ago; after a longer silence, or a refused connection, it may lead to another process at the same
address, which does not know the calls.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field

# The operators allow 8 s from the end of a call until its caller is notified. The last second is for the
# notification: a release that is not answered is sent four more times within it.
SILENCE_LIMIT_US = 7_000_000
# An office's ordinary traffic confirms it more often than this; a shorter time only adds tests.
QUIET_US = 1_000_000
# A test is answered in milliseconds. After this timeout the other connections are tested too, and one more is opened.
TEST_TIMEOUT_US = 400_000
# Calls are not lost before their office was tested for so long: after a pause of this process all offices seem silent.
TESTED_US = 1_000_000
# A machine does not restart within this time, and a lost connection is replaced within it.
SAME_INCARNATION_US = 2_000_000
# Where tests are not allowed, a connection is opened instead, which may take as long as the connect timeout.
CONNECT_TEST_INTERVAL_US = 600_000
# A call that its caller reports after a restart of this server is kept at least so long for a test, however long the
# office was quiet.
REPORTED_CALL_GRACE_US = 3_000_000
# Bytes that arrive so soon after a connection came up are a greeting.
GREETING_US = 500_000


@dataclass(slots=True, eq=False)
class Incarnation:
    """One run of an office's process. `confirmed_at`: when it was last known to be running; `lost_at`: when its calls
    count as lost unless it is confirmed again."""

    confirmed_at: int
    lost_at: int
    connections: dict[Hashable, int] = field(default_factory=dict)  # and when each came up
    calls: set[Hashable] = field(default_factory=set)
    first_tested_at: int | None = None  # since the last confirmation
    tested_at: int | None = None  # the latest test
    unanswered_since: int | None = None  # the first set-up sent since bytes were received


@dataclass(frozen=True, slots=True)
class LivenessTest:
    """Test the office on these connections, and open one more where `open_another`."""

    connections: tuple[Hashable, ...]
    open_another: bool


@dataclass(frozen=True, slots=True)
class CallsLost:
    """These calls were not confirmed for too long."""

    calls: tuple[Hashable, ...]
    silent_us: int


class OfficeLiveness:
    """The incarnations of one office, identified by its id, with their connections and calls."""

    def __init__(self, tests_allowed: bool, now: int) -> None:
        self._tests_allowed = tests_allowed
        self._received_any = False
        # Connections that came up while no test was unanswered, and how many of them were greeted at once.
        self._opened = self._greeted = 0
        self._not_greeted: set[Hashable] = set()
        self._refused = False
        self.incarnations = [Incarnation(now, now + SILENCE_LIMIT_US)]

    @property
    def current(self) -> Incarnation:
        """The newest incarnation, on which new calls are established."""
        return self.incarnations[-1]

    # ---- connections ----

    def connection_opened(self, connection: Hashable, now: int) -> None:
        """Assign a new connection to an incarnation."""
        current = self.current
        if not any(incarnation.tested_at is not None for incarnation in self.incarnations):
            self._opened += 1
            self._not_greeted.add(connection)
        silent_us = now - current.confirmed_at
        if current.calls and (self._refused or silent_us > SAME_INCARNATION_US):
            current = Incarnation(now, now + SILENCE_LIMIT_US)
            self.incarnations.append(current)
        elif not current.calls:
            self._confirm(current, now)
        elif self._connecting_confirms():
            # An unanswered set-up shows that connecting has confirmed nothing since it was sent.
            unanswered_since = current.unanswered_since
            self._confirm(current, now if unanswered_since is None else min(now, unanswered_since))
        self._refused = False
        current.connections[connection] = now

    def connection_closed(self, connection: Hashable) -> None:
        """Forget a connection."""
        for incarnation in self.incarnations:
            incarnation.connections.pop(connection, None)
        self._not_greeted.discard(connection)
        self._forget_empty()

    def connection_refused(self) -> None:
        """Record that a connection was refused while none was up: no process listens there now."""
        self._refused = True

    def received(self, connection: Hashable, now: int) -> None:
        """Bytes on a connection confirm its incarnation."""
        incarnation = self._of_connection(connection)
        if incarnation is None:
            # Its incarnation was forgotten when the calls were lost. It is running, so it is the current one.
            incarnation = self.current
            incarnation.connections[connection] = now
        self._received_any = True
        if connection in self._not_greeted:
            self._not_greeted.discard(connection)
            self._greeted += now - incarnation.connections[connection] <= GREETING_US
        self._confirm(incarnation, now)
        incarnation.unanswered_since = None
        if incarnation is not self.current:
            self._merge_successors(incarnation)

    def set_up_sent(self, now: int) -> None:
        """Record that a set-up was sent; where tests are not allowed, it serves as one."""
        if self.current.unanswered_since is None:
            self.current.unanswered_since = now

    # ---- calls ----

    def call_established(self, call: Hashable, connection: Hashable | None) -> None:
        """Add a call that was answered on a connection."""
        incarnation = self._of_connection(connection) or self.current
        incarnation.calls.add(call)

    def call_reported(self, call: Hashable, now: int) -> None:
        """Add a call that its caller reports as established before a restart of this server."""
        current = self.current
        if not current.calls:
            current.first_tested_at = current.tested_at = None
            # A connection that came up earlier confirms no call: the kernel accepts it even for a process that hangs.
            lost_at = current.confirmed_at + SILENCE_LIMIT_US if self._received_any else 0
            current.lost_at = max(lost_at, now + REPORTED_CALL_GRACE_US)
            # This only concerns connections: those that come up soon lead to the same process.
            current.confirmed_at = now
        current.calls.add(call)

    def call_mentioned(self, call: Hashable, connection: Hashable | None, now: int) -> None:
        """A line about a call on a connection of another incarnation shows that both are the same process."""
        holder = next((incarnation for incarnation in self.incarnations if call in incarnation.calls), None)
        if holder is not None and holder is not self._of_connection(connection):
            self._confirm(holder, now)
            self._merge_successors(holder)

    def call_ended(self, call: Hashable) -> None:
        """Remove a call."""
        for incarnation in self.incarnations:
            incarnation.calls.discard(call)
        self._forget_empty()

    # ---- tests and losses ----

    def step(self, now: int) -> list[LivenessTest | CallsLost]:
        """The tests and losses that are due; to be called several times a second while there are calls."""
        due: list[LivenessTest | CallsLost] = []
        for incarnation in self.incarnations:
            if not incarnation.calls:
                continue
            silent_us = now - incarnation.confirmed_at
            if now >= incarnation.lost_at and self._tested_long(incarnation, now):
                due.append(CallsLost(tuple(incarnation.calls), silent_us))
            elif silent_us >= QUIET_US and self._test_due(incarnation, now):
                due.append(self._test(incarnation, now))
        return due

    def unconfirmed_calls(self, now: int) -> set[Hashable]:
        """The calls that may be lost already: tests stayed unanswered for longer than a lost connection explains, or
        the office refused a connection while none was up, as it does when its process has died."""
        return {
            call
            for incarnation in self.incarnations
            if self._silent_under_test(incarnation, now) or self._refused_since(incarnation)
            for call in incarnation.calls
        }

    def _silent_under_test(self, incarnation: Incarnation, now: int) -> bool:
        return now - incarnation.confirmed_at >= SAME_INCARNATION_US and self._tested_long(incarnation, now)

    def _refused_since(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation has no connection left and a refusal came after its last one."""
        return not incarnation.connections and (incarnation is not self.current or self._refused)

    def under_test(self, connection: Hashable) -> bool:
        """Whether a connection that has just come up is to be tested at once."""
        incarnation = self._of_connection(connection)
        return self._tests_allowed and incarnation is not None and incarnation.tested_at is not None

    def _tested_long(self, incarnation: Incarnation, now: int) -> bool:
        return incarnation.first_tested_at is not None and now - incarnation.first_tested_at >= TESTED_US

    def _test_due(self, incarnation: Incarnation, now: int) -> bool:
        interval_us = TEST_TIMEOUT_US if self._tests_allowed else CONNECT_TEST_INTERVAL_US
        return incarnation.tested_at is None or now - incarnation.tested_at >= interval_us

    def _test(self, incarnation: Incarnation, now: int) -> LivenessTest:
        first = incarnation.first_tested_at is None
        if first:
            incarnation.first_tested_at = now
        incarnation.tested_at = now
        if not self._tests_allowed:
            return LivenessTest((), incarnation is self.current)
        connections = list(incarnation.connections)
        if first and connections:
            return LivenessTest((connections[-1],), False)
        # Another connection helps only while it is certain to lead to the same incarnation.
        recent = now - incarnation.confirmed_at <= SAME_INCARNATION_US
        return LivenessTest(tuple(connections), incarnation is self.current and (recent or not connections))

    def _connecting_confirms(self) -> bool:
        """Whether a new connection alone confirms the office. Where tests are allowed it does not: the kernel accepts
        connections for a process that hangs. Where they are not, it has to, unless the office sends a greeting on
        most of its connections."""
        greets = 2 * self._greeted > self._opened
        return not (self._tests_allowed or greets)

    def _confirm(self, incarnation: Incarnation, confirmed_at: int) -> None:
        incarnation.confirmed_at = max(incarnation.confirmed_at, confirmed_at)
        incarnation.lost_at = max(incarnation.lost_at, confirmed_at + SILENCE_LIMIT_US)
        incarnation.first_tested_at = incarnation.tested_at = None

    def _of_connection(self, connection: Hashable | None) -> Incarnation | None:
        return next(
            (incarnation for incarnation in self.incarnations if connection in incarnation.connections), None
        )

    def _merge_successors(self, older: Incarnation) -> None:
        """Merge later incarnations into one that was silent and has sent bytes again: they are the same process."""
        index = self.incarnations.index(older)
        for later in self.incarnations[index + 1 :]:
            older.connections.update(later.connections)
            older.calls |= later.calls
        del self.incarnations[index + 1 :]

    def _forget_empty(self) -> None:
        """Keep the newest incarnation and those with calls."""
        self.incarnations = [incarnation for incarnation in self.incarnations[:-1] if incarnation.calls] + [
            self.current
        ]
