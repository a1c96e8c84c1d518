"""What runs the module. Pure: time comes with each event, timers and the log are handed in.

A server feeds events; `decide` is told one at a time, and what it asks for is carried out in order before the next,
also where carrying out brings events of its own. Its timers are kept here, and a fault in one decision costs the
dialogue concerned its chance, not its answer.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Protocol

from wellhitch.interface import actions as act
from wellhitch.interface import events as ev
from wellhitch.interface.state import Dialogue, Exchange
from wellhitch.rules import decide

INTERVAL_AGAIN = (
    250_000  # us until the interval rings again where the decision that arms it raised: its own length
)

# Names of the event counters in the metrics; operators' tools match them.
COUNTER_NAMES: dict[type[ev.Event], str] = {
    ev.ServerStarted: "Opened",
    ev.OfficeListReceived: "Listed",
    ev.DialogueArrived: "Arrived",
    ev.DialogueEstablished: "Stood",
    ev.DialEnded: "DialEnded",
    ev.OfficeReported: "Reported",
    ev.CallerLeft: "WentAway",
    ev.TimerFired: "Rang",
    ev.PeerMessageReceived: "PeerSaid",
}


class Server(Protocol):
    """What the runner needs of the server that holds it."""

    def feed(self, event: ev.Event, now: int) -> None:
        """Take an event in where the server's own are taken in, so that a timer's passes the same door."""

    def execute(self, action: act.Action, now: int) -> None:
        """Do what the decisions ask for; Wake never comes here."""

    def decision_failed(self, dialogue: int, now: int) -> None:
        """The decisions raised on this dialogue and have forgotten it: it is owed an answer, if it still waits."""


class Runner:
    """The decisions of one call server and what they know."""

    def __init__(
        self,
        server: Server,
        timer: Callable[[int, Callable[[int], None]], object],
        log: Callable[..., None],
        counts: Counter[str],
    ) -> None:
        self.exchange = Exchange()
        self._server, self._timer, self._log, self._counts = server, timer, log, counts
        self._events: deque[ev.Event] = deque()
        self._feeding = False

    def feed(self, event: ev.Event, now: int) -> None:
        """Tell the decisions one event, carry their actions out in order, then the events that came of them."""
        self._events.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                event = self._events.popleft()
                self._counts[f"event.{COUNTER_NAMES[type(event)]}"] += 1
                try:
                    wanted = decide(self.exchange, event, now)
                except Exception as fault:  # the call server outlives a fault in one decision
                    self._rescue(event, fault, now)
                    continue
                for action in wanted:
                    if isinstance(action, act.StartTimer):
                        self._wake(action)
                    else:
                        self._server.execute(action, now)
        finally:
            self._feeding = False

    def _wake(self, action: act.StartTimer) -> None:
        rang = ev.TimerFired(action.token)
        self._timer(action.delay, lambda at: self._server.feed(rang, at))

    def _rescue(self, event: ev.Event, fault: Exception, now: int) -> None:
        """Guards against a decision that raises: the dialogue concerned gets its one final answer, its dial is
        called off, and all others go on."""
        self._counts["decision_faults"] += 1
        where = fault.__traceback__
        while where and where.tb_next:
            where = where.tb_next
        line = where.tb_lineno if where else 0
        about = getattr(event, "dialogue", event.token - 1 if isinstance(event, ev.TimerFired) else -1)
        known = self.exchange.dialogues.get(about)
        self._log(
            "decision_fault",
            fault=f"{type(fault).__name__}: {fault}",
            line=line,
            told=repr(event),
            own_price=self.exchange.own_price,
            held=len(self.exchange.dialogues),
            dialogue=known and _shown(known),
        )
        if isinstance(event, ev.TimerFired) and event.token == 0:
            # The interval's timer is armed by the decision that raised; without it no price would step again.
            self._wake(act.StartTimer(INTERVAL_AGAIN, 0))
        self.exchange.dialogues.pop(about, None)
        self._server.decision_failed(about, now)


def _shown(dialogue: Dialogue) -> dict[str, Any]:
    """A dialogue's record for the log, without the records that it points to."""
    return {
        "use_case": dialogue.traffic_class.name,
        "destination": dialogue.destination,
        "transit": dialogue.transit,
        "give_up": dialogue.expires_at,
        "not_before": dialogue.not_before,
        "stands": dialogue.established,
        "dials": [(dial.office.id, dial.sent_at, dial.setup_delay) for dial in dialogue.dials],
        "out": dialogue.pending_dial is not None,
    }
