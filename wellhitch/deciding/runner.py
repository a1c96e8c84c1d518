"""Runs the decision module. Pure state machine: the time comes with each event, and timers and the log are passed in.

A server feeds events. Each is passed to `decide`, and the resulting actions are executed in order before the next
event is, even where executing them feeds further events. Timers are started here. An error in one decision fails no
more than the dialogue concerned, which still gets its answer.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Protocol

from wellhitch.interface import actions as act
from wellhitch.interface import events as ev
from wellhitch.interface.state import Dialogue, Exchange
from wellhitch.rules import decide

# Delay of the interval timer after the decision that restarts it raised an error: the usual interval.
RESTART_INTERVAL_US = 250_000

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
    """The server that owns the runner."""

    def feed(self, event: ev.Event, now: int) -> None:
        """Feed an event by the server's usual way, so that timer events pass the same checks as all others."""

    def execute(self, action: act.Action, now: int) -> None:
        """Execute an action of the decision module, any but `StartTimer`."""

    def decision_failed(self, dialogue: int, now: int) -> None:
        """A decision on this dialogue raised an error, and its record was removed. If it has no answer yet, the
        server must answer it."""


class Runner:
    """Feeds one call server's events to the decision module, whose state it holds."""

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
        self._processing = False

    def feed(self, event: ev.Event, now: int) -> None:
        """Process one event and execute the resulting actions in order, then the events that arose from them."""
        self._events.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                event = self._events.popleft()
                self._counts[f"event.{COUNTER_NAMES[type(event)]}"] += 1
                try:
                    actions = decide(self.exchange, event, now)
                except Exception as error:  # an error in one decision must not end the call server
                    self._handle_error(event, error, now)
                    continue
                for action in actions:
                    if isinstance(action, act.StartTimer):
                        self._start_timer(action)
                    else:
                        self._server.execute(action, now)
        finally:
            self._processing = False

    def _start_timer(self, action: act.StartTimer) -> None:
        fired = ev.TimerFired(action.token)
        self._timer(action.delay, lambda fired_at: self._server.feed(fired, fired_at))

    def _handle_error(self, event: ev.Event, error: Exception, now: int) -> None:
        """Answer for a decision that raised an error: the dialogue concerned gets its one final answer, its dial is
        cancelled, and all other dialogues continue."""
        self._counts["decision_faults"] += 1
        traceback = error.__traceback__
        while traceback and traceback.tb_next:
            traceback = traceback.tb_next
        line = traceback.tb_lineno if traceback else 0
        dialogue_id = getattr(event, "dialogue", event.token - 1 if isinstance(event, ev.TimerFired) else -1)
        dialogue = self.exchange.dialogues.get(dialogue_id)
        self._log(
            "decision_fault",
            fault=f"{type(error).__name__}: {error}",
            line=line,
            told=repr(event),
            own_price=self.exchange.own_price,
            held=len(self.exchange.dialogues),
            dialogue=dialogue and _dialogue_fields(dialogue),
        )
        if isinstance(event, ev.TimerFired) and event.token == 0:
            # The decision that raised an error restarts the interval timer; without it, prices would never change
            # again.
            self._start_timer(act.StartTimer(RESTART_INTERVAL_US, 0))
        self.exchange.dialogues.pop(dialogue_id, None)
        self._server.decision_failed(dialogue_id, now)


def _dialogue_fields(dialogue: Dialogue) -> dict[str, Any]:
    """Fields of a dialogue for the log, without references to other records."""
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
