"""The call server as a pure state machine: takes frames and timer events, sends frames and starts timers by `ServerIO`.

It feeds events to the decision module (`wellhitch.rules`) one at a time and carries out the actions that the
module returns. It adds guards against conditions that the decision module cannot see, each described where it is
implemented: a set-up that is still queued here when its office starts draining is withdrawn; a second final answer is
never sent; an exception in the decision module fails one dialogue, which still gets its answer.
"""

from collections import Counter
from collections.abc import Callable, Hashable
from typing import Any, Protocol

import msgspec

from wellhitch.deciding.runner import Runner
from wellhitch.hooks.points import HookResult
from wellhitch.interface import actions as act
from wellhitch.interface import events as ev
from wellhitch.ledger.journal import DialogueFacts
from wellhitch.net.transport import Timer
from wellhitch.server.dials import (
    OFFICE_STATES,
    REJECT_OUTCOMES,
    DialState,
    OfficeRecord,
    PendingCall,
    PendingDial,
    RecentIds,
    checked_load,
    upstream_reject_reason,
)
from wellhitch.server.hook_runner import TICK_INTERVAL_US, HookRunner
from wellhitch.trunk import frames
from wellhitch.trunk.circuits import TrunkGroup, track_disagreement

# Subtracted from each deadline, so that the answer arrives in time although an iteration of the event loop is late by
# most of it: garbage collection or a process that is not scheduled delays an iteration by tens of milliseconds.
ANSWER_MARGIN_US = 50_000
# Minimum time between reports of group counts to the own office and the decision module: a dialogue changes the
# counts four times, and counts newer than the transmission time of a set-up are of no use.
GROUP_REPORT_INTERVAL_US = 50_000
# Two reported ages of the same start differ by the transmission times of their frames; those of a restart by more.
START_TOLERANCE_US = 500_000
MAX_TEXT_CHARS = 64  # of a called number or a tenant; the longest numbers have fifteen digits


class ServerIO(Protocol):
    """What the transport layer does for the switch."""

    def send_to_caller(self, connection: Hashable, frame: frames.AnyFrame) -> bool:
        """Send a frame to a caller; False where the connection is closed."""

    def send_to_office(self, office_id: str, frame: frames.AnyFrame) -> bool:
        """Send a frame to an office; False where its connection is down."""

    def withdraw(self, office_id: str, matches: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        """Remove and return matching frames to an office that are still queued here."""

    def send_mark(self, office_id: str) -> int:
        """Send a mark, which the office confirms once it has read all that was sent before; returns its number."""

    def mark_confirmed(self, office_id: str, sequence: int) -> bool:
        """Whether the office has confirmed the mark, or its connection is down."""

    def reset_connection(self, office_id: str, reason: str) -> None:
        """Abort the connection to an office; `Switch.office_disconnected` is called afterwards."""

    def keep_connection(self, office_id: str, address: str) -> None:
        """Connect to an office, and reconnect after each loss."""

    def drop_connection(self, office_id: str) -> None:
        """Close the connection to an office and do not reconnect."""

    def send_to_peers(self, payload: bytes) -> None:
        """Send a peer message to every other call server."""

    def start_timer(self, delay: int, callback: Callable[[int], None]) -> Timer:
        """Call `callback` with the current time after `delay` us."""

    def log(self, event: str, **facts: Any) -> None:
        """Write one event to the log."""


class LedgerObserver(Protocol):
    """Receives the dialogue events that the ledger records. Nothing is returned, and nothing waits for it."""

    def answered(self, facts: DialogueFacts, answer: str) -> None:
        """A dialogue got its final answer."""

    def ended(self, role: str, origin: int, dialogue: int, ending: str, dial: int = -1) -> None:
        """An established dialogue ended, `released` or `cut`; `dial` is the origin's number of the dial in transit."""

    def local_dialogue_ended(self, facts: DialogueFacts, ending: str, duration: int) -> None:
        """The own office reported the end of a dialogue whose destination is this exchange."""


class Switch:
    """One exchange's call server."""

    def __init__(self, configuration: ev.ServerStarted, max_open: int, io: ServerIO) -> None:
        self.configuration, self.max_open, self.io = configuration, max_open, io
        self.number = (
            configuration.topology.own_number if configuration.topology.own_number is not None else -1
        )
        self.counts: Counter[str] = Counter()
        self.runner = Runner(self, io.start_timer, io.log, self.counts)
        self.exchange = self.runner.exchange
        self.calls: dict[int, PendingCall] = {}
        self.calls_by_caller: dict[tuple[Hashable, int], PendingCall] = {}
        self.recent_call_ids: dict[Hashable, RecentIds] = {}
        self.offices: dict[str, OfficeRecord] = {}
        self.groups: dict[int, TrunkGroup] = {}
        self.tandem_advice: list[int] = []
        self.revision = -1
        self.stopping = False
        self.hook_runner: HookRunner | None = None
        self.ledger: LedgerObserver | None = None
        # High bits of dialogue ids, new with each start, so that no id of an earlier process is used again.
        self.id_epoch = 0
        self._next_id = 0
        self._unreported_groups: set[int] = set()
        self._group_report_timer: Timer | None = None
        self._deadlines = {
            traffic_class.name: traffic_class.deadline for traffic_class in configuration.traffic_classes
        }

    # ---- decision module ----

    def start(self, now: int) -> None:
        """Start the decision module with the configuration, and the timer of the tick hooks."""
        self.feed(self.configuration, now)
        if self.hook_runner:
            self.hook_runner.started_at = now
            self.io.start_timer(TICK_INTERVAL_US, self._tick)

    def _tick(self, now: int) -> None:
        if self.hook_runner:
            self.hook_runner.tick(len(self.calls), now)
            self.io.start_timer(TICK_INTERVAL_US, self._tick)

    def feed(self, event: ev.Event, now: int) -> None:
        """Feed one event to the decision module and carry out its actions before returning. Events that arise
        meanwhile are queued."""
        self.runner.feed(event, now)

    def decision_failed(self, dialogue: int, now: int) -> None:
        """The decision module raised an exception for this dialogue: answer it, unless it is established."""
        call = self.calls.get(dialogue)
        if call and not call.established:
            self._send_answer(call, "forfeited", 0, now)

    def execute(self, action: act.Action, now: int) -> None:
        """Carry out one action of the decision module."""
        match action:
            case act.Send(dialogue, office_id, timeout):
                self._dial(dialogue, office_id, timeout, now)
            case act.Cancel(dialogue, number):
                call = self.calls.get(dialogue)
                dial = call.dials[number] if call and number < len(call.dials) else None
                if dial and dial.state in (
                    DialState.PROCESSING_SETUP,
                    DialState.SENT,
                    DialState.PROCESSING_ANSWER,
                ):
                    self._cancel_dial(dial, ev.DialResult.CANCELLED, now)
            case act.Reject(dialogue, retry_after):
                if dialogue in self.calls:
                    self._send_answer(self.calls[dialogue], "pushed_back", retry_after, now)
            case act.Fail(dialogue):
                if dialogue in self.calls:
                    self._send_answer(self.calls[dialogue], "forfeited", 0, now)
            case act.SendPeerMessage(text):
                self.io.send_to_peers(text)
            case act.SubscribeDiscovery():
                pass  # the register pushes its list to every connection after the Hello

    # ---- callers ----

    def call_received(self, connection: Hashable, call: frames.Call, now: int) -> None:
        """A caller requests a dialogue."""
        key, recent_ids = (connection, call.id), self.recent_call_ids.setdefault(connection, RecentIds())
        if key in self.calls_by_caller or call.id in recent_ids:
            # Ids must be unique for each connection: the caller would take an answer to this call for a second answer
            # to the first one.
            self.counts["strays.Call"] += 1
            return
        recent_ids.add(call.id)
        error = self._call_error(call)
        if error:
            # Rejected before it is accepted, because of a limit of this call server; it still gets one answer.
            self.counts[f"turned_away.{error}"] += 1
            self.io.send_to_caller(connection, frames.Final(call.id, "pushed_back", 0))
            return
        hook_result, hooks_version = HookResult(), ""
        if self.hook_runner:
            hook_result, hooks_version = self.hook_runner.call_arrived(
                call, len(self.calls), self.groups, now
            )
        if hook_result.push_back is not None:
            self.counts["hooks_pushed_back"] += 1
            self.io.send_to_caller(connection, frames.Final(call.id, "pushed_back", 0, hooks_version))
            self.io.log(
                "dialogue", id=call.id, answer="pushed_back", why=hook_result.push_back, hooks=hooks_version
            )
            return
        if hook_result.use_case is not None and hook_result.use_case != call.use_case:
            self.counts["hooks_named_use_case"] += 1
            call = msgspec.structs.replace(call, use_case=hook_result.use_case)
        pending = self._accept(call, self.number, 0, now)
        pending.tenant, pending.tags, pending.hooks_version = call.tenant, hook_result.tags, hooks_version
        pending.connection, pending.caller_id, pending.origin_dialogue = (
            connection,
            call.id,
            self.id_epoch << 32 | pending.id,
        )
        self.calls_by_caller[key] = pending
        own_office = self._own_office()
        if own_office:
            self.io.send_to_office(own_office.id, frames.ProcessStep(0, "look"))
        advised_tandem = (
            self.tandem_advice[call.destination] if 0 <= call.destination < len(self.tandem_advice) else -1
        )
        self._begin(pending, call.left, call.redialled, advised_tandem, now, hook_result.favour)

    def _call_error(self, call: frames.Call) -> str:
        if self.stopping:
            return "stopping"
        if len(self.calls) >= self.max_open:
            return "max_open"
        if call.left <= 0:
            return "no_time"
        return self._range_error(call) or ("" if _fits(call.tenant) else "text_too_long")

    def _range_error(self, frame: frames.Call | frames.Setup) -> str:
        """Counter label of the first invalid field that Call and Setup share, or an empty string."""
        if frame.use_case not in self._deadlines:
            return "unknown_use_case"
        if not 1 <= frame.width <= frames.MAX_WIDTH:
            return "width"
        if not 0 <= frame.destination < frames.MAX_EXCHANGES:
            return "destination"  # a negative one would index the tandem advice from its end
        return "" if _fits(frame.called) else "text_too_long"

    def _accept(
        self, call: frames.Call | frames.Setup, origin: int, origin_dialogue: int, now: int
    ) -> PendingCall:
        self._next_id += 1
        pending = PendingCall(
            self._next_id, call.use_case, call.destination, call.called, call.width, origin, origin_dialogue
        )
        self.calls[pending.id] = pending
        self.counts["taken"] += 1
        return pending

    def _begin(
        self,
        call: PendingCall,
        time_left: int,
        is_redial: bool,
        advised_tandem: int,
        now: int,
        value_factor: float = 1.0,
    ) -> None:
        # Guards against a remaining time without bound, in which a dialogue would hold its place and circuits forever.
        # An answer after the deadline has no value.
        time_left = min(time_left, self._deadlines[call.use_case])
        call.arrived_at, call.deadline = now, now + time_left
        self.feed(
            ev.DialogueArrived(
                dialogue=call.id,
                traffic_class=call.use_case,
                destination=call.destination,
                called_number=call.called,
                time_left=max(0, time_left - ANSWER_MARGIN_US),
                width=call.width,
                advised_tandem=None if advised_tandem < 0 or call.own_office else advised_tandem,
                is_redial=is_redial,
                transit=call.own_office is not None,
                value_factor=value_factor,
            ),
            now,
        )

    def caller_hung_up(self, connection: Hashable, caller_id: int, now: int) -> None:
        """A caller hung up: before its answer, or to end an established dialogue."""
        call = self.calls_by_caller.get((connection, caller_id))
        if call:
            self._end_upstream(call, now)

    def caller_disconnected(self, connection: Hashable, now: int) -> None:
        """A caller's connection is closed: all its dialogues end."""
        for call in [call for (key, _), call in self.calls_by_caller.items() if key == connection]:
            self._end_upstream(call, now)
        self.recent_call_ids.pop(connection, None)

    def _end_upstream(self, call: PendingCall, now: int) -> None:
        """End a dialogue from upstream: the caller hung up, or the upstream exchange cancelled or released it."""
        was_established, dial = call.established, call.active_dial
        call.answer_owed = False
        if dial and was_established:
            self._report_end(call, "released")
            if dial.own_office.connected:
                self.io.send_to_office(dial.own_office.id, frames.ProcessStep(0, "release"))
            self._end_dial(dial, frames.Release(dial.dial_ref), now)
            self._forget(call)
            self._dial_ended(dial, ev.DialResult.ENDED_WELL, ev.ReleaseCause.NONE, 0, True, None, now)
            return
        self._report_answer(call, "gone")
        self._forget(call)
        self.feed(ev.CallerLeft(call.id), now)
        if dial:
            self._end_dial(dial, frames.Cancel(dial.dial_ref), now)

    def _send_answer(self, call: PendingCall, answer: str, retry_after: int, now: int) -> None:
        """Send the final answer. Guards against a second one: a dialogue that was answered is owed nothing more."""
        if not call.answer_owed:
            self.counts["second_answers_kept_back"] += 1
            return
        call.answer_owed = False
        self.counts[f"answer.{answer}"] += 1
        if call.connection is not None:
            final = frames.Final(call.caller_id, answer, retry_after, call.hooks_version)
            self.io.send_to_caller(call.connection, final)
            if self.hook_runner:
                # After the answer was sent, so that a slow hook does not delay it.
                call.tags = self.hook_runner.call_answered(call, answer, max(0, call.deadline - now), now)
                self.io.log(
                    "dialogue",
                    id=call.id,
                    answer=answer,
                    use_case=call.use_case,
                    tags=call.tags,
                    hooks=call.hooks_version,
                )
        elif call.own_office is not None:
            if answer == "stands":
                self.io.send_to_office(call.own_office.id, frames.Answer(call.own_office_ref))
            else:
                reason = upstream_reject_reason(call)
                self.io.send_to_office(call.own_office.id, frames.Reject(call.own_office_ref, reason))
        self._report_answer(call, answer)
        if answer != "stands":
            dial = call.active_dial
            if dial:  # answered while a dial is pending: only after an exception in the decision module
                self._end_dial(dial, frames.Cancel(dial.dial_ref), now)
            self._forget(call)

    def _notify_ledger(self, method: Callable[..., None], *arguments: Any) -> None:
        """Call a method of the ledger. Guards against exceptions in it: one would close the connection on which the
        frame came, with every dialogue on it."""
        try:
            method(*arguments)
        except Exception as error:
            self.counts["ledger_faults"] += 1
            self.io.log("ledger_fault", fault=f"{type(error).__name__}: {error}", told=repr(arguments))

    def _report_answer(self, call: PendingCall, answer: str) -> None:
        if self.ledger:
            dial = call.active_dial if answer == "stands" else None
            dial_number = dial.number if dial else -1
            tandem = dial.office.number if dial and dial.office.number != call.destination else -1
            facts = DialogueFacts(
                _role(call),
                call.origin,
                call.origin_dialogue,
                call.use_case,
                call.destination,
                call.called,
                call.width,
                call.tenant,
                call.tags,
                call.hooks_version,
                call.origin_dial,
                dial_number,
                tandem,
            )
            self._notify_ledger(self.ledger.answered, facts, answer)

    def _report_end(self, call: PendingCall, ending: str) -> None:
        if self.ledger:
            role, dial = _role(call), call.origin_dial
            self._notify_ledger(self.ledger.ended, role, call.origin, call.origin_dialogue, ending, dial)

    def carried_dialogue_ended(self, office_id: str, frame: frames.CarriedDialogue) -> None:
        """The own office reports the end of an established dialogue whose destination is this exchange."""
        if self.offices[office_id].number != self.number or frame.ending not in ("released", "cut"):
            self.counts["strays.Carried"] += 1
        elif self.ledger and 0 <= frame.origin < frames.MAX_EXCHANGES and 0 <= frame.duration < 1 << 53:
            facts = DialogueFacts(
                "destination",
                frame.origin,
                frame.dialogue,
                frame.use_case,
                self.number,
                frame.called,
                frame.width,
                dial=frame.dial,
            )
            self._notify_ledger(self.ledger.local_dialogue_ended, facts, frame.ending, frame.duration)

    def _forget(self, call: PendingCall) -> None:
        self.calls.pop(call.id, None)
        if call.connection is not None:
            self.calls_by_caller.pop((call.connection, call.caller_id), None)
        elif call.own_office is not None:
            call.own_office.transits.pop(call.own_office_ref, None)

    # ---- dials ----

    def _own_office(self) -> OfficeRecord | None:
        """The connected own office that started last, preferably one that is ready."""
        candidates = [
            office for office in self.offices.values() if office.number == self.number and office.connected
        ]
        ready = [office for office in candidates if office.state is ev.OfficeState.READY]
        return max(ready or candidates, key=lambda office: office.started_at or 0, default=None)

    def _dial(self, dialogue: int, office_id: str, timeout: int, now: int) -> None:
        """Start a dial: seize the circuits, then have the own processor process the set-up before it is sent. A dial
        that cannot be sent ends at once as not sent or unreachable."""
        call, office = self.calls.get(dialogue), self.offices.get(office_id)
        if call is None or office is None or call.active_dial:
            self.counts["sends_refused"] += 1
            self.io.log("send_refused", dialogue=dialogue, office=office_id)
            return
        own_office = self._own_office()
        dial = PendingDial(call, len(call.dials), office, own_office or office, now, now + timeout)
        call.dials.append(dial)
        self.counts["sends"] += 1
        group = self.groups.get(office.number)
        if own_office is None:
            self._not_sent(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.PROCESSOR_FULL, now)
        elif not office.connected:
            self._not_sent(dial, ev.DialResult.UNREACHABLE, ev.ReleaseCause.NONE, now)
        elif group is not None and not group.seize(dial, call.width):
            self._not_sent(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.NO_CIRCUIT, now)
        else:
            self._group_changed(office.number)
            dial.timer = self.io.start_timer(
                max(0, timeout), lambda fired_at: self._dial_timed_out(dial, fired_at)
            )
            dial.own_office_ref = own_office.new_dial_ref()
            own_office.processing[dial.own_office_ref] = dial
            self.io.send_to_office(own_office.id, frames.ProcessStep(dial.own_office_ref, "setup"))

    def _not_sent(self, dial: PendingDial, result: ev.DialResult, cause: ev.ReleaseCause, now: int) -> None:
        dial.move_to(DialState.FREE)
        self._release_circuits(dial)
        self._dial_ended(dial, result, cause, 0, False, None, now)

    def _dial_ended(
        self,
        dial: PendingDial,
        result: ev.DialResult,
        cause: ev.ReleaseCause,
        retry_after: int,
        dialogue_over: bool,
        load: frames.Load | None,
        now: int,
    ) -> None:
        call = dial.call
        call.last_cause = cause
        self.counts[f"ending.{result.name.lower()}"] += 1
        self.counts[f"blame.{cause.name.lower()}"] += 1
        report = self._group_report(dial.office.number, load)
        self.feed(
            ev.DialEnded(
                call.id, dial.number, dial.office.id, result, cause, retry_after, dialogue_over, report
            ),
            now,
        )

    def step_processed(self, office_id: str, frame: frames.StepProcessed, now: int) -> None:
        """The own processor has processed one step of a dial."""
        own_office = self.offices[office_id]
        dial = own_office.processing.pop(frame.dial_ref, None)
        if dial is None:
            self.counts["strays.Passed"] += 1
            return
        if frame.step == "setup" and dial.state is DialState.PROCESSING_SETUP:
            self._setup_processed(dial, frame.accepted, now)
        elif frame.step == "answer" and dial.state is DialState.PROCESSING_ANSWER:
            self._establish(dial, now)
        else:
            self.counts["strays.Passed"] += 1

    def _setup_processed(self, dial: PendingDial, accepted: bool, now: int) -> None:
        call, office = dial.call, dial.office
        if not accepted:
            self._cancel_timer(dial)
            self._not_sent(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.PROCESSOR_FULL, now)
            return
        if office.state is not ev.OfficeState.READY or not office.connected:
            # Guards rule 3: the office started draining, or its connection was lost, while the set-up was queued in
            # the own processor. Nothing was sent, so the decision module may dial elsewhere at once.
            self.counts["kept_back.drained" if office.connected else "kept_back.unreachable"] += 1
            self._cancel_timer(dial)
            result = ev.DialResult.NOT_SENT if office.connected else ev.DialResult.UNREACHABLE
            self._not_sent(dial, result, ev.ReleaseCause.NONE, now)
            return
        dial.move_to(DialState.SENT)
        dial.dial_ref = office.new_dial_ref()
        office.dials[dial.dial_ref] = dial
        time_left = dial.deadline - now
        self.io.send_to_office(
            office.id,
            frames.Setup(
                dial.dial_ref,
                call.origin,
                call.origin_dialogue,
                dial.number,
                call.use_case,
                call.destination,
                call.called,
                time_left,
                call.width,
            ),
        )

    def _establish(self, dial: PendingDial, now: int) -> None:
        dial.move_to(DialState.ESTABLISHED)
        self._cancel_timer(dial)
        self._send_answer(dial.call, "stands", 0, now)
        self.feed(ev.DialogueEstablished(dial.call.id, dial.number, now - dial.started_at), now)

    def _dial_timed_out(self, dial: PendingDial, now: int) -> None:
        if dial.state in (DialState.PROCESSING_SETUP, DialState.SENT, DialState.PROCESSING_ANSWER):
            self._cancel_dial(dial, ev.DialResult.TIMED_OUT, now)

    def _cancel_dial(self, dial: PendingDial, result: ev.DialResult, now: int) -> None:
        self._end_dial(dial, frames.Cancel(dial.dial_ref), now)
        self._dial_ended(dial, result, ev.ReleaseCause.NONE, 0, False, None, now)

    def _end_dial(self, dial: PendingDial, message: frames.Cancel | frames.Release, now: int) -> None:
        """End a dial from this end. If its set-up was sent, the circuits are held until the far end confirms or
        the release wait is over; a set-up that is still queued here is withdrawn instead."""
        self._cancel_timer(dial)
        if dial.own_office.processing.pop(dial.own_office_ref, None) is not None:
            self.io.send_to_office(dial.own_office.id, frames.DropStep(dial.own_office_ref))
        if dial.state is DialState.PROCESSING_SETUP:
            dial.move_to(DialState.FREE)
            self._release_circuits(dial)
            return
        dial_ref = dial.dial_ref
        withdrawn = self.io.withdraw(
            dial.office.id, lambda frame: isinstance(frame, frames.Setup) and frame.dial_ref == dial_ref
        )
        if withdrawn or not dial.office.connected:
            dial.office.dials.pop(dial_ref, None)
            dial.move_to(DialState.FREE)
            self._release_circuits(dial)
            return
        dial.move_to(DialState.RELEASING)
        self.io.send_to_office(dial.office.id, message)
        dial.timer = self.io.start_timer(
            self.configuration.release.release_wait, lambda fired_at: self._finish_release(dial, fired_at)
        )

    def _finish_release(self, dial: PendingDial, now: int) -> None:
        """Free the circuits: the far end confirmed the release, or the release wait is over."""
        dial.office.dials.pop(dial.dial_ref, None)
        if dial.state is DialState.RELEASING:
            dial.move_to(DialState.FREE)
            self._cancel_timer(dial)
            self._release_circuits(dial)

    def _cancel_timer(self, dial: PendingDial) -> None:
        if dial.timer:
            dial.timer.cancel()
            dial.timer = None

    # ---- frames from offices ----

    def setup_answered(self, office_id: str, frame: frames.Answer, now: int) -> None:
        """An office answered a set-up."""
        dial = self.offices[office_id].dials.get(frame.dial_ref)
        self._feed_load(office_id, frame.load, now)
        if dial is None or dial.state is not DialState.SENT:
            # It crossed our Cancel, is a duplicate, or came after the release: the dial is over or established.
            self.counts["strays.Answer"] += 1
            return
        dial.move_to(DialState.PROCESSING_ANSWER)
        dial.own_office_ref = dial.own_office.new_dial_ref()
        dial.own_office.processing[dial.own_office_ref] = dial
        self.io.send_to_office(dial.own_office.id, frames.ProcessStep(dial.own_office_ref, "answer"))

    def setup_rejected(self, office_id: str, frame: frames.Reject, now: int) -> None:
        """An office, or a tandem, rejected a set-up."""
        office = self.offices[office_id]
        dial = office.dials.get(frame.dial_ref)
        if dial is None or dial.state not in (DialState.SENT, DialState.RELEASING):
            self.counts["strays.PushBack"] += 1
            return
        if dial.state is DialState.RELEASING:  # it crossed our Cancel: the far end holds nothing any more
            self._finish_release(dial, now)
            return
        del office.dials[frame.dial_ref]
        self._cancel_timer(dial)
        dial.move_to(DialState.FREE)
        self._release_circuits(dial)
        result, cause = REJECT_OUTCOMES.get(frame.reason, (ev.DialResult.FAULT, ev.ReleaseCause.NONE))
        self._dial_ended(dial, result, cause, max(0, frame.wait), False, frame.load, now)

    def dial_cut(self, office_id: str, dial_ref: int, now: int) -> None:
        """An office lost a dial of ours."""
        dial = self.offices[office_id].dials.get(dial_ref)
        if dial is None:
            self.counts["strays.Cut"] += 1
            return
        self._reset_dial(dial, now)

    def _reset_dial(self, dial: PendingDial, now: int) -> None:
        """End a dial that was lost at the far end or with a connection. Its circuits are held until the release wait is
        over, because the far end may not know yet."""
        dial.office.dials.pop(dial.dial_ref, None)
        dial.own_office.processing.pop(dial.own_office_ref, None)
        if dial.state in (DialState.RELEASING, DialState.FREE):
            self._finish_release(dial, now)
            return
        was_established = dial.state is DialState.ESTABLISHED
        call = dial.call
        self._cancel_timer(dial)
        if dial.state is DialState.PROCESSING_SETUP:
            dial.move_to(DialState.FREE)
            self._release_circuits(dial)
        else:
            dial.move_to(DialState.RELEASING)
            dial.timer = self.io.start_timer(
                self.configuration.release.release_wait, lambda fired_at: self._finish_release(dial, fired_at)
            )
        if was_established:
            self.counts["cut"] += 1
            self._report_end(call, "cut")
            if call.connection is not None:
                self.io.send_to_caller(call.connection, frames.Ended(call.caller_id))
            elif call.own_office is not None:
                self.io.send_to_office(call.own_office.id, frames.Cut(call.own_office_ref))
            self._forget(call)
        self._dial_ended(dial, ev.DialResult.RESET, ev.ReleaseCause.NONE, 0, was_established, None, now)

    def dial_released(self, office_id: str, frame: frames.Released, now: int) -> None:
        """An office freed the circuits that a dial held there."""
        self._feed_load(office_id, frame.load, now)
        dial = self.offices[office_id].dials.get(frame.dial_ref)
        if dial is None or dial.state is not DialState.RELEASING:
            self.counts["strays.Released"] += 1
            return
        self._finish_release(dial, now)

    def transit_setup(self, office_id: str, setup: frames.Setup, now: int) -> None:
        """The own office hands over a set-up in transit."""
        own_office = self.offices[office_id]
        if setup.dial_ref in own_office.transits or setup.dial_ref in own_office.recent_refs:
            # As with a caller's id: the answer to a duplicate would be a second answer to the first set-up.
            self.counts["strays.Setup"] += 1
            return
        own_office.recent_refs.add(setup.dial_ref)
        if (
            own_office.number != self.number
            or len(self.calls) >= self.max_open
            or self._setup_out_of_range(setup)
        ):
            self.counts["turned_away.transit"] += 1
            self.io.send_to_office(office_id, frames.Reject(setup.dial_ref, "turned_back"))
            return
        call = self._accept(setup, setup.origin, setup.dialogue, now)
        call.own_office, call.own_office_ref, call.origin_dial = own_office, setup.dial_ref, setup.dial
        own_office.transits[setup.dial_ref] = call
        self._begin(call, setup.left, False, -1, now)

    def _setup_out_of_range(self, setup: frames.Setup) -> bool:
        """Whether a field is out of range. Also guards the ledger, whose keys are unsigned and of fixed width."""
        in_range = (
            0 <= setup.origin < frames.MAX_EXCHANGES
            and 0 <= setup.dialogue < 1 << 63
            and 0 <= setup.dial < 1 << 16
        )
        return not in_range or bool(self._range_error(setup))

    def transit_ended(self, office_id: str, dial_ref: int, now: int) -> None:
        """The own office ends a dialogue in transit, which was cancelled or released upstream."""
        call = self.offices[office_id].transits.get(dial_ref)
        if call is None:
            self.counts["strays.transit_over"] += 1
        else:
            self._end_upstream(call, now)
        self.io.send_to_office(office_id, frames.Released(dial_ref))

    def load_reported(self, office_id: str, frame: frames.LoadReport, now: int) -> None:
        """An office reported the load of its processor."""
        office = self.offices[office_id]
        self.feed(
            ev.OfficeReported(office_id, frame.asked, True, self._group_report(office.number, frame.load)),
            now,
        )

    def _feed_load(self, office_id: str, load: frames.Load | None, now: int) -> None:
        if load is not None:
            report = self._group_report(self.offices[office_id].number, load)
            self.feed(ev.OfficeReported(office_id, False, True, report), now)

    # ---- trunk groups ----

    def group_state_received(self, office_id: str, frame: frames.GroupState, now: int) -> None:
        """The own office reports the circuits that incoming dials hold in a group, and the group's size."""
        if self.offices[office_id].number != self.number or not 0 <= frame.number < frames.MAX_EXCHANGES:
            self.counts["strays.GroupState"] += 1
            return
        group = self.groups.get(frame.number)
        if group is None:
            if frame.size < 0:
                return
            group = self.groups[frame.number] = TrunkGroup(frame.size)
        if frame.size >= 0:
            group.size = frame.size
        group.remote_count = max(0, frame.held)
        self._group_changed(frame.number)

    def _release_circuits(self, dial: PendingDial) -> None:
        group = self.groups.get(dial.office.number)
        if group and group.release(dial):
            self._group_changed(dial.office.number)

    def _group_changed(self, number: int) -> None:
        if number not in self.groups:
            return  # the own office has not reported this group yet
        self._unreported_groups.add(number)
        if self._group_report_timer is None:
            self._group_report_timer = self.io.start_timer(GROUP_REPORT_INTERVAL_US, self._report_groups)

    def _report_groups(self, now: int) -> None:
        self._group_report_timer = None
        numbers, self._unreported_groups = sorted(self._unreported_groups), set()
        own = [
            office for office in self.offices.values() if office.number == self.number and office.connected
        ]
        for number in numbers:
            group = self.groups[number]
            for own_office in own:
                self.io.send_to_office(own_office.id, frames.GroupState(number, group.local_count))
            for office in self.offices.values():
                if office.number == number and office.state is not ev.OfficeState.GONE:
                    self.feed(
                        ev.OfficeReported(office.id, False, True, self._group_report(number, None)), now
                    )

    def _group_report(self, number: int, load: frames.Load | None) -> ev.OfficeReport:
        group = self.groups.get(number)
        utilisation, wait, takes_per_s, hold_back = checked_load(load)
        return ev.OfficeReport(
            free_circuits=group.free if group else None,
            group_size=group.size if group else None,
            utilisation=utilisation,
            queue_wait=wait,
            accept_rate_per_s=takes_per_s,
            load_reduction=hold_back,
        )

    def circuits_held(self, office_id: str) -> int:
        """Circuits held for dials on the connection to an office, as our heartbeats report them."""
        office = self.offices.get(office_id)
        return sum(dial.call.width for dial in office.dials.values()) if office else 0

    def compare_counts(self, office_id: str, remote: int, now: int) -> None:
        """Compare our count with the one in an office's heartbeat: they may differ only while frames are in
        flight."""
        office = self.offices[office_id]
        allowed = 2 * self.configuration.release.release_wait + 2_000_000  # two heartbeats
        office.counts_differ_since, report = track_disagreement(
            self.circuits_held(office_id), remote, office.counts_differ_since, now, allowed
        )
        if report:
            self.counts["circuits_disagree"] += 1
            local = self.circuits_held(office_id)
            self.io.log("circuits_disagree", office=office_id, mine=local, theirs=remote)

    # ---- connections and the office list ----

    def office_connected(self, office_id: str, number: int, boot: int, now: int) -> str:
        """The connection to an office is up. Returns why it must be closed, or an empty string. Guards against an
        address that now belongs to another office: dialogues would go to the wrong exchange, which would forward them
        as if they were in transit."""
        office = self.offices.get(office_id)
        if office is None:
            return ""
        if number != office.number:
            self.io.log("office_not_as_listed", office=office_id, number=number)
            return f"office {number}, not {office.number} as listed"
        office.connected, office.boot_id, office.counts_differ_since, office.recent_refs = (
            True,
            boot,
            None,
            RecentIds(),
        )
        if office.number == self.number:
            self._unreported_groups.update(number for number in self.groups if number != self.number)
            if self._unreported_groups and self._group_report_timer is None:
                self._group_report_timer = self.io.start_timer(GROUP_REPORT_INTERVAL_US, self._report_groups)
        return ""

    def office_disconnected(self, office_id: str, reason: str, now: int) -> None:
        """The connection to an office is lost, with all its dials; with the own office, also what its processor has
        queued."""
        office = self.offices.get(office_id)
        if office is None or not office.connected:
            return
        office.connected = False
        self.counts["links_lost.office"] += 1
        if office.state is ev.OfficeState.READY and not self.stopping:
            self.io.log("office_lost", office=office_id, why=reason, dials=len(office.dials))
        for dial in list(office.dials.values()):
            self._reset_dial(dial, now)
        if office.number != self.number:
            return
        if self._own_office() is None:
            for number, group in self.groups.items():
                # The circuits of dials that came in over the lost office are free; its successor reports its own.
                if group.remote_count:
                    group.remote_count = 0
                    self._group_changed(number)
        for other in self.offices.values():
            for dial in [dial for dial in other.dials.values() if dial.own_office is office]:
                # What a failed processor was processing is lost; the far end is told to cancel.
                self.io.send_to_office(other.id, frames.Cancel(dial.dial_ref))
                self._reset_dial(dial, now)
        for dial in list(office.processing.values()):
            self._reset_dial(dial, now)
        for call in list(office.transits.values()):
            self._end_upstream(call, now)

    def office_list_received(self, frame: frames.OfficeList, now: int) -> bool:
        """The register sent the office list, or changes to it. Returns whether the list was applied as a whole. A list
        with an older revision is skipped, except for entries that make an office unavailable.

        Guards rule 3 against a register that restarted with an old revision count: it then reports that an office is
        draining under a revision that was seen before. Applying such an entry costs a dial elsewhere; ignoring it
        breaks the rule."""
        error = office_list_error(frame)
        if error:
            self.counts["lists_malformed"] += 1
            self.io.log("list_malformed", revision=frame.revision, line=error)
            return False
        outdated = frame.revision < self.revision
        if outdated:
            self.counts["lists_skipped"] += 1
            self.io.log("list_skipped", revision=frame.revision, have=self.revision)
            closing_entries = [entry for entry in frame.entries if self._makes_unavailable(entry, now)]
            if not closing_entries:
                return False
            frame = frames.OfficeList("changes", self.revision, closing_entries)
        self.revision = frame.revision
        states_before = {office.id: office.state for office in self.offices.values()}
        listed_ids = set()
        for entry in frame.entries:
            listed_ids.add(entry.office)
            self._apply_entry(entry, now)
        if frame.kind != "changes":
            for office in self.offices.values():
                if office.id not in listed_ids:
                    office.state = ev.OfficeState.GONE
        kinds = {"changes": ev.ListKind.CHANGES, "whole": ev.ListKind.FULL, "remembered": ev.ListKind.CACHED}
        offices = [self.offices[entry.office] for entry in frame.entries]
        reported = tuple(
            ev.OfficeEntry(office.id, office.number, office.state, office.started_at) for office in offices
        )
        self.feed(ev.OfficeListReceived(kinds[frame.kind], reported), now)
        for office in list(self.offices.values()):
            self._apply_state(office, now)
            if self.hook_runner and states_before.get(office.id) is not office.state:
                office.hook_mark = self.hook_runner.office_state_changed(office, now) or office.hook_mark
            if office.state is ev.OfficeState.GONE and not (
                office.dials or office.processing or office.transits
            ):
                del self.offices[
                    office.id
                ]  # else records of replaced processors would accumulate over the weeks
        return not outdated

    def _makes_unavailable(self, entry: frames.OfficeListEntry, now: int) -> bool:
        """Whether an entry takes a ready office out of service, and is not about an earlier processor of it."""
        office = self.offices.get(entry.office)
        if office is None or office.state is not ev.OfficeState.READY or entry.state == "ready":
            return False
        started_at = None if entry.age is None else now - max(0, entry.age)  # a negative age counts as zero
        return office.started_at is None or (
            started_at is not None and started_at >= office.started_at - START_TOLERANCE_US
        )

    def _apply_entry(self, entry: frames.OfficeListEntry, now: int) -> None:
        state = OFFICE_STATES[entry.state]
        started_at = None if entry.age is None else now - max(0, entry.age)  # a negative age counts as zero
        office = self.offices.get(entry.office)
        if office is None:
            self.offices[entry.office] = OfficeRecord(
                entry.office, entry.number, entry.address, state, started_at
            )
            return
        same_start = (
            started_at is not None
            and office.started_at is not None
            and abs(started_at - office.started_at) < START_TOLERANCE_US
        )
        if not same_start:
            office.started_at = started_at
        office.state, office.number = state, entry.number
        if office.address != entry.address:
            self.io.drop_connection(office.id)
            office.address = entry.address

    def _apply_state(self, office: OfficeRecord, now: int) -> None:
        if office.state is ev.OfficeState.GONE:
            self._withdraw_setups(office, now)
            self.io.drop_connection(office.id)
        else:
            self.io.keep_connection(office.id, office.address)
            if office.state is ev.OfficeState.DRAINING:
                self._withdraw_setups(office, now)

    def _withdraw_setups(self, office: OfficeRecord, now: int) -> None:
        """Withdraw the set-ups that are still queued here for an office that is draining: guards rule 3. Those that
        were handed to the transport may still be unread in buffers that we do not control: unless the office confirms
        within the drain grace that it has read them, its connection is reset, and nothing reaches it later."""
        withdrawn = self.io.withdraw(office.id, lambda frame: isinstance(frame, frames.Setup))
        for frame in withdrawn:
            dial = office.dials.pop(getattr(frame, "dial_ref", 0), None)
            if dial and dial.state is DialState.SENT:
                self.counts["kept_back.drained"] += 1
                self._cancel_timer(dial)
                self._not_sent(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.NONE, now)
        if not office.connected:
            return
        mark, grace = self.io.send_mark(office.id), self.configuration.release.drain_grace

        def check_read(fired_at: int) -> None:
            if (
                office.connected
                and office.state is not ev.OfficeState.READY
                and not self.io.mark_confirmed(office.id, mark)
            ):
                self.counts["resets_of_drained"] += 1
                self.io.reset_connection(
                    office.id, "it is draining and did not confirm the mark within the drain grace"
                )

        self.io.start_timer(
            grace * 6 // 10, check_read
        )  # early enough for the reset to arrive within the grace

    # ---- centre, peers and shutdown ----

    def set_tandem_advice(self, frame: frames.Advice) -> None:
        """The centre sent its latest tandem advice."""
        self.tandem_advice = list(frame.tandems)

    def peer_message_received(self, peer: int, payload: bytes, now: int) -> None:
        """Another call server sent a message; the own processor is charged with the work of processing it."""
        own_office = self._own_office()
        if own_office:
            self.io.send_to_office(own_office.id, frames.ProcessStep(0, "word"))
        self.feed(ev.PeerMessageReceived(peer, payload), now)

    def stop_accepting(self, now: int) -> int:
        """Accept no more dialogues; returns how many answers are still owed."""
        self.stopping = True
        return self.unanswered

    @property
    def unanswered(self) -> int:
        """Number of accepted dialogues that still wait for their answer."""
        return sum(call.answer_owed for call in self.calls.values())


def office_list_error(frame: frames.OfficeList) -> str:
    """What is wrong with an office list, or an empty string."""
    if frame.kind not in ("changes", "whole", "remembered"):
        return f"kind {frame.kind[:40]!r}"
    for entry in frame.entries:
        if entry.state not in OFFICE_STATES or not 0 <= entry.number < frames.MAX_EXCHANGES:
            return repr(entry)[:200]
    return ""


def _fits(text: str | None) -> bool:
    """Whether a called number or a tenant is short enough. They are kept for a minute; longer ones would fill
    memory."""
    return text is None or len(text) <= MAX_TEXT_CHARS


def _role(call: PendingCall) -> str:
    """Role of this call server in a dialogue."""
    return "tandem" if call.own_office is not None else "origin"
