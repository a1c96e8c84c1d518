"""The call server without its sockets: frames and timers in, frames and timers out through `Outlet`.

It tells the decisions (`wellhitch.rules.decide`) what occurs, one event at a time, and carries out what they
ask for. What it adds are guards for what the decisions cannot see, each said where it stands:
a frame that waits here while its office drains is taken back; a second answer is never sent; a fault in the
decisions costs the one dialogue its chance, not its answer.
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

# Taken off each deadline, so that the answer is there in time although a turn of the loop is late by most of it: a
# collection of garbage or a process that is not scheduled holds a turn up for tens of milliseconds.
ANSWER_MARGIN_US = 50_000
GROUP_REPORT_INTERVAL_US = (
    50_000  # us; group counts are told to the own office and the decisions at most so often: a dialogue
)
# changes them four times, and fresher counts than a set-up's way are of no use
START_TOLERANCE_US = 500_000  # us; two ages of one start differ by their frames' ways; a restart by more
MAX_TEXT_CHARS = 64  # characters of a number called or a tenant; the longest numbers have fifteen digits


class ServerIO(Protocol):
    """The way out: what the shell does for the switch."""

    def send_to_caller(self, connection: Hashable, frame: frames.AnyFrame) -> bool:
        """Send to a caller."""

    def send_to_office(self, office: str, frame: frames.AnyFrame) -> bool:
        """Send to an office; False where its link is down."""

    def withdraw(self, office: str, matches: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        """Take back frames to an office that wait here."""

    def send_mark(self, office: str) -> int:
        """Ask how far the office has read."""

    def mark_confirmed(self, office: str, sequence: int) -> bool:
        """Whether it has read all that was sent before the mark."""

    def reset_connection(self, office: str, reason: str) -> None:
        """Break the link to an office; channel_closed follows."""

    def keep_connection(self, office: str, address: str) -> None:
        """Keep a link to an office up."""

    def drop_connection(self, office: str) -> None:
        """Let the link to an office go."""

    def send_to_peers(self, text: bytes) -> None:
        """Send a word to every other call server."""

    def start_timer(self, delay: int, callback: Callable[[int], None]) -> Timer:
        """Ring after so many us, with the time then."""

    def log(self, event: str, **facts: Any) -> None:
        """One line of the log."""


class LedgerObserver(Protocol):
    """What a ledger is told; nothing comes back, and nothing waits for it."""

    def answered(self, seen: DialogueFacts, answer: str) -> None:
        """A dialogue got its answer."""

    def ended(self, side: str, origin: int, dialogue: int, how: str, dial: int = -1) -> None:
        """A dialogue that stood is over, `released` or `cut`; `dial` as it was asked for here."""

    def local_dialogue_ended(self, seen: DialogueFacts, how: str, stood: int) -> None:
        """The own office told of one that ended in this exchange."""


class Switch:
    """One exchange's call server."""

    def __init__(self, configuration: ev.Opened, max_open: int, io: ServerIO) -> None:
        self.configuration, self.max_open, self.io = configuration, max_open, io
        self.number = configuration.place.number if configuration.place.number is not None else -1
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
        self.id_epoch = (
            0  # set at each start: what an earlier process called its dialogues must not be called so again
        )
        self._next_id = 0
        self._unreported_groups: set[int] = set()
        self._group_report_timer: Timer | None = None
        self._deadlines = {use.name: use.outer_limit for use in configuration.use_cases}

    # ---- the decisions ----

    def start(self, now: int) -> None:
        """Begin: nothing is known but the facts of the place."""
        self.feed(self.configuration, now)
        if self.hook_runner:
            self.hook_runner.started_at = now
            self.io.start_timer(TICK_INTERVAL_US, self._tick)

    def _tick(self, now: int) -> None:
        if self.hook_runner:
            self.hook_runner.tick(len(self.calls), now)
            self.io.start_timer(TICK_INTERVAL_US, self._tick)

    def feed(self, event: ev.Event, now: int) -> None:
        """Tell the decisions one event; what they ask for is carried out before this returns, but for events that
        come up meanwhile, which wait their turn."""
        self.runner.feed(event, now)

    def rescued(self, dialogue: int, now: int) -> None:
        """The decisions raised on this dialogue: it gets its one final answer."""
        taken = self.calls.get(dialogue)
        if taken and not taken.established:
            self._send_answer(taken, "forfeited", 0, now)

    def carry_out(self, action: act.Action, now: int) -> None:
        """Do one thing that the decisions ask for."""
        match action:
            case act.Send(dialogue, office, within):
                self._send(dialogue, office, within, now)
            case act.Cancel(dialogue, number):
                taken = self.calls.get(dialogue)
                dial = taken.dials[number] if taken and number < len(taken.dials) else None
                if dial and dial.state in (
                    DialState.PROCESSING_SETUP,
                    DialState.SENT,
                    DialState.PROCESSING_ANSWER,
                ):
                    self._cancel_dial(dial, ev.Ending.CANCELLED, now)
            case act.PushBack(dialogue, come_back):
                if dialogue in self.calls:
                    self._send_answer(self.calls[dialogue], "pushed_back", come_back, now)
            case act.Forfeit(dialogue):
                if dialogue in self.calls:
                    self._send_answer(self.calls[dialogue], "forfeited", 0, now)
            case act.TellPeers(text):
                self.io.send_to_peers(text)
            case act.Follow():
                pass  # the register pushes to every link from its Hello on

    # ---- callers ----

    def call_received(self, link: Hashable, call: frames.Call, now: int) -> None:
        """A caller hands a dialogue over."""
        key, heard = (link, call.id), self.recent_call_ids.setdefault(link, RecentIds())
        if key in self.calls_by_caller or call.id in heard:
            # An answer would be taken for the first one's, which then had two: the id is the caller's to keep apart.
            self.counts["strays.Call"] += 1
            return
        heard.add(call.id)
        fault = self._call_error(call)
        if fault:
            # Turned away before it is taken, as the limits of this place say; it still gets its one answer.
            self.counts[f"turned_away.{fault}"] += 1
            self.io.send_to_caller(link, frames.Final(call.id, "pushed_back", 0))
            return
        said, version = HookResult(), ""
        if self.hook_runner:
            said, version = self.hook_runner.call_arrived(call, len(self.calls), self.groups, now)
        if said.push_back is not None:
            self.counts["hooks_pushed_back"] += 1
            self.io.send_to_caller(link, frames.Final(call.id, "pushed_back", 0, version))
            self.io.log("dialogue", id=call.id, answer="pushed_back", why=said.push_back, hooks=version)
            return
        if said.use_case is not None and said.use_case != call.use_case:
            self.counts["hooks_named_use_case"] += 1
            call = msgspec.structs.replace(call, use_case=said.use_case)
        taken = self._accept(call, self.number, 0, now)
        taken.tenant, taken.tags, taken.hooks_version = call.tenant, said.tags, version
        taken.connection, taken.caller_id, taken.origin_id = link, call.id, self.id_epoch << 32 | taken.id
        self.calls_by_caller[key] = taken
        home = self._own_office()
        if home:
            self.io.send_to_office(home.id, frames.ProcessStep(0, "look"))
        advised = (
            self.tandem_advice[call.destination] if 0 <= call.destination < len(self.tandem_advice) else -1
        )
        self._begin(taken, call.left, call.redialled, advised, now, said.favour)

    def _call_error(self, call: frames.Call) -> str:
        if self.stopping:
            return "stopping"
        if len(self.calls) >= self.max_open:
            return "max_open"
        if call.left <= 0:
            return "no_time"
        return self._range_error(call) or ("" if _fits(call.tenant) else "text_too_long")

    def _range_error(self, frame: frames.Call | frames.Setup) -> str:
        """What a caller's and an office's word have in common and is outside its range, or nothing."""
        if frame.use_case not in self._deadlines:
            return "unknown_use_case"
        if not 1 <= frame.width <= frames.MAX_WIDTH:
            return "width"
        if not 0 <= frame.destination < frames.MAX_EXCHANGES:
            return "destination"  # under nought it would be counted from the end of what is told of tandems
        return "" if _fits(frame.called) else "text_too_long"

    def _accept(self, call: frames.Call | frames.Setup, origin: int, origin_id: int, now: int) -> PendingCall:
        self._next_id += 1
        taken = PendingCall(
            self._next_id, call.use_case, call.destination, call.called, call.width, origin, origin_id
        )
        self.calls[taken.id] = taken
        self.counts["taken"] += 1
        return taken

    def _begin(
        self, taken: PendingCall, left: int, redialled: bool, advised: int, now: int, favour: float = 1.0
    ) -> None:
        # Guards against a time without end, in which a dialogue would hold its place and circuits for ever: past the
        # outer limit it is worth nothing to anybody.
        left = min(left, self._deadlines[taken.use_case])
        taken.arrived_at, taken.deadline = now, now + left
        self.feed(
            ev.Arrived(
                dialogue=taken.id,
                use_case=taken.use_case,
                destination=taken.destination,
                called=taken.called,
                left=max(0, left - ANSWER_MARGIN_US),
                width=taken.width,
                advised=None if advised < 0 or taken.own_office else advised,
                redialled=redialled,
                transit=taken.own_office is not None,
                favour=favour,
            ),
            now,
        )

    def caller_hung_up(self, link: Hashable, caller_id: int, now: int) -> None:
        """A caller hung up: before its answer, or to end a dialogue that stood."""
        taken = self.calls_by_caller.get((link, caller_id))
        if taken:
            self._end_upstream(taken, now)

    def caller_disconnected(self, link: Hashable, now: int) -> None:
        """A caller's link is gone: all its dialogues are hung up."""
        for taken in [taken for (key, _), taken in self.calls_by_caller.items() if key == link]:
            self._end_upstream(taken, now)
        self.recent_call_ids.pop(link, None)

    def _end_upstream(self, taken: PendingCall, now: int) -> None:
        """The upstream end is over, whoever it was."""
        stood, dial = taken.established, taken.active_dial
        taken.answer_owed = False
        if dial and stood:
            self._report_end(taken, "released")
            if dial.own_office.connected:
                self.io.send_to_office(dial.own_office.id, frames.ProcessStep(0, "release"))
            self._end_dial(dial, frames.Release(dial.dial_ref), now)
            self._forget(taken)
            self._dial_ended(dial, ev.Ending.ENDED_WELL, ev.Blame.NONE, 0, True, None, now)
            return
        self._report_answer(taken, "gone")
        self._forget(taken)
        self.feed(ev.WentAway(taken.id), now)
        if dial:
            self._end_dial(dial, frames.Cancel(dial.dial_ref), now)

    def _send_answer(self, taken: PendingCall, answer: str, come_back: int, now: int) -> None:
        """The one final answer. Guards against a second one: what was answered owes nothing more."""
        if not taken.answer_owed:
            self.counts["second_answers_kept_back"] += 1
            return
        taken.answer_owed = False
        self.counts[f"answer.{answer}"] += 1
        if taken.connection is not None:
            final = frames.Final(taken.caller_id, answer, come_back, taken.hooks_version)
            self.io.send_to_caller(taken.connection, final)
            if self.hook_runner:
                # After the answer went out: a hook that takes long delays nobody's answer.
                taken.tags = self.hook_runner.call_answered(taken, answer, max(0, taken.deadline - now), now)
                self.io.log(
                    "dialogue",
                    id=taken.id,
                    answer=answer,
                    use_case=taken.use_case,
                    tags=taken.tags,
                    hooks=taken.hooks_version,
                )
        elif taken.own_office is not None:
            if answer == "stands":
                self.io.send_to_office(taken.own_office.id, frames.Answer(taken.own_office_ref))
            else:
                reason = upstream_reject_reason(taken)
                self.io.send_to_office(taken.own_office.id, frames.Reject(taken.own_office_ref, reason))
        self._report_answer(taken, answer)
        if answer != "stands":
            dial = taken.active_dial
            if dial:  # given up while a dial is out: only after a fault in the decisions
                self._end_dial(dial, frames.Cancel(dial.dial_ref), now)
            self._forget(taken)

    def _notify_ledger(self, tell: Callable[..., None], *what: Any) -> None:
        """Tell the ledger. Guards against one that raises: it took the link along on which the frame had come, with
        every dialogue on it."""
        try:
            tell(*what)
        except Exception as fault:
            self.counts["ledger_faults"] += 1
            self.io.log("ledger_fault", fault=f"{type(fault).__name__}: {fault}", told=repr(what))

    def _report_answer(self, taken: PendingCall, answer: str) -> None:
        if self.ledger:
            out = taken.active_dial if answer == "stands" else None
            onward = out.number if out else -1
            via = out.office.number if out and out.office.number != taken.destination else -1
            seen = DialogueFacts(
                _role(taken),
                taken.origin,
                taken.origin_id,
                taken.use_case,
                taken.destination,
                taken.called,
                taken.width,
                taken.tenant,
                taken.tags,
                taken.hooks_version,
                taken.origin_dial,
                onward,
                via,
            )
            self._notify_ledger(self.ledger.answered, seen, answer)

    def _report_end(self, taken: PendingCall, how: str) -> None:
        if self.ledger:
            side, dial = _role(taken), taken.origin_dial
            self._notify_ledger(self.ledger.ended, side, taken.origin, taken.origin_id, how, dial)

    def carried_dialogue_ended(self, office: str, frame: frames.CarriedDialogue) -> None:
        """The own office tells of a dialogue that stood in this exchange and is over."""
        if self.offices[office].number != self.number or frame.ending not in ("released", "cut"):
            self.counts["strays.Carried"] += 1
        elif self.ledger and 0 <= frame.origin < frames.MAX_EXCHANGES and 0 <= frame.duration < 1 << 53:
            seen = DialogueFacts(
                "destination",
                frame.origin,
                frame.dialogue,
                frame.use_case,
                self.number,
                frame.called,
                frame.width,
                dial=frame.dial,
            )
            self._notify_ledger(self.ledger.local_dialogue_ended, seen, frame.ending, frame.duration)

    def _forget(self, taken: PendingCall) -> None:
        self.calls.pop(taken.id, None)
        if taken.connection is not None:
            self.calls_by_caller.pop((taken.connection, taken.caller_id), None)
        elif taken.own_office is not None:
            taken.own_office.transits.pop(taken.own_office_ref, None)

    # ---- dials ----

    def _own_office(self) -> OfficeRecord | None:
        """The own office whose link is up, the newest that the list calls ready first."""
        own = [end for end in self.offices.values() if end.number == self.number and end.connected]
        ready = [end for end in own if end.state is ev.Standing.READY]
        return max(ready or own, key=lambda end: end.started_at or 0, default=None)

    def _send(self, dialogue: int, office: str, within: int, now: int) -> None:
        """Carry out a send: seize the circuits, pass the own processor, then out. What cannot be sent comes
        back as not sent, or unreachable, at once."""
        taken, end = self.calls.get(dialogue), self.offices.get(office)
        if taken is None or end is None or taken.active_dial:
            self.counts["sends_refused"] += 1
            self.io.log("send_refused", dialogue=dialogue, office=office)
            return
        home = self._own_office()
        dial = PendingDial(taken, len(taken.dials), end, home or end, now, now + within)
        taken.dials.append(dial)
        self.counts["sends"] += 1
        group = self.groups.get(end.number)
        if home is None:
            self._not_sent(dial, ev.Ending.NOT_SENT, ev.Blame.PROCESSOR_FULL, now)
        elif not end.connected:
            self._not_sent(dial, ev.Ending.UNREACHABLE, ev.Blame.NONE, now)
        elif group is not None and not group.seize(dial, taken.width):
            self._not_sent(dial, ev.Ending.NOT_SENT, ev.Blame.NO_CIRCUIT, now)
        else:
            self._group_changed(end.number)
            dial.timer = self.io.start_timer(max(0, within), lambda at: self._dial_timed_out(dial, at))
            dial.own_office_ref = home.new_dial_ref()
            home.processing[dial.own_office_ref] = dial
            self.io.send_to_office(home.id, frames.ProcessStep(dial.own_office_ref, "setup"))

    def _not_sent(self, dial: PendingDial, ending: ev.Ending, blame: ev.Blame, now: int) -> None:
        dial.move_to(DialState.FREE)
        self._release_circuits(dial)
        self._dial_ended(dial, ending, blame, 0, False, None, now)

    def _dial_ended(
        self,
        dial: PendingDial,
        ending: ev.Ending,
        blame: ev.Blame,
        wait: int,
        over: bool,
        load: frames.Load | None,
        now: int,
    ) -> None:
        taken = dial.call
        taken.last_blame = blame
        self.counts[f"ending.{ending.name.lower()}"] += 1
        self.counts[f"blame.{blame.name.lower()}"] += 1
        report = self._group_report(dial.office.number, load)
        self.feed(ev.DialEnded(taken.id, dial.number, dial.office.id, ending, blame, wait, over, report), now)

    def step_processed(self, office: str, frame: frames.StepProcessed, now: int) -> None:
        """The own processor is done with a step of a dial."""
        home = self.offices[office]
        dial = home.processing.pop(frame.dial_ref, None)
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
        taken, end = dial.call, dial.office
        if not accepted:
            self._cancel_timer(dial)
            self._not_sent(dial, ev.Ending.NOT_SENT, ev.Blame.PROCESSOR_FULL, now)
            return
        if end.state is not ev.Standing.READY or not end.connected:
            # Guards rule 3: the office drained, or its link was lost, while the set-up waited in the own
            # processor. Nothing was sent, so the decisions may dial elsewhere at once.
            self.counts["kept_back.drained" if end.connected else "kept_back.unreachable"] += 1
            self._cancel_timer(dial)
            ending = ev.Ending.NOT_SENT if end.connected else ev.Ending.UNREACHABLE
            self._not_sent(dial, ending, ev.Blame.NONE, now)
            return
        dial.move_to(DialState.SENT)
        dial.dial_ref = end.new_dial_ref()
        end.dials[dial.dial_ref] = dial
        left = dial.deadline - now
        self.io.send_to_office(
            end.id,
            frames.Setup(
                dial.dial_ref,
                taken.origin,
                taken.origin_id,
                dial.number,
                taken.use_case,
                taken.destination,
                taken.called,
                left,
                taken.width,
            ),
        )

    def _establish(self, dial: PendingDial, now: int) -> None:
        dial.move_to(DialState.ESTABLISHED)
        self._cancel_timer(dial)
        self._send_answer(dial.call, "stands", 0, now)
        self.feed(ev.Stood(dial.call.id, dial.number, now - dial.sent_at), now)

    def _dial_timed_out(self, dial: PendingDial, now: int) -> None:
        if dial.state in (DialState.PROCESSING_SETUP, DialState.SENT, DialState.PROCESSING_ANSWER):
            self._cancel_dial(dial, ev.Ending.TIMED_OUT, now)

    def _cancel_dial(self, dial: PendingDial, ending: ev.Ending, now: int) -> None:
        self._end_dial(dial, frames.Cancel(dial.dial_ref), now)
        self._dial_ended(dial, ending, ev.Blame.NONE, 0, False, None, now)

    def _end_dial(self, dial: PendingDial, word: frames.Cancel | frames.Release, now: int) -> None:
        """End a dial from this end. Where it was sent, the circuits stay taken until the far end confirms or
        the release wait is over; a set-up still waiting here is taken back instead."""
        self._cancel_timer(dial)
        if dial.own_office.processing.pop(dial.own_office_ref, None) is not None:
            self.io.send_to_office(dial.own_office.id, frames.DropStep(dial.own_office_ref))
        if dial.state is DialState.PROCESSING_SETUP:
            dial.move_to(DialState.FREE)
            self._release_circuits(dial)
            return
        ref = dial.dial_ref
        back = self.io.withdraw(
            dial.office.id, lambda frame: isinstance(frame, frames.Setup) and frame.dial_ref == ref
        )
        if back or not dial.office.connected:
            dial.office.dials.pop(ref, None)
            dial.move_to(DialState.FREE)
            self._release_circuits(dial)
            return
        dial.move_to(DialState.RELEASING)
        self.io.send_to_office(dial.office.id, word)
        dial.timer = self.io.start_timer(
            self.configuration.release.release_wait, lambda at: self._finish_release(dial, at)
        )

    def _finish_release(self, dial: PendingDial, now: int) -> None:
        """The far end confirmed, or the release wait is over."""
        dial.office.dials.pop(dial.dial_ref, None)
        if dial.state is DialState.RELEASING:
            dial.move_to(DialState.FREE)
            self._cancel_timer(dial)
            self._release_circuits(dial)

    def _cancel_timer(self, dial: PendingDial) -> None:
        if dial.timer:
            dial.timer.cancel()
            dial.timer = None

    # ---- what an office says ----

    def setup_answered(self, office: str, frame: frames.Answer, now: int) -> None:
        """An office answered a set-up."""
        dial = self.offices[office].dials.get(frame.dial_ref)
        self._feed_load(office, frame.load, now)
        if dial is None or dial.state is not DialState.SENT:
            # Crossed by our cancel, told twice, or after the release: the dial is over, or stands already.
            self.counts["strays.Answer"] += 1
            return
        dial.move_to(DialState.PROCESSING_ANSWER)
        dial.own_office_ref = dial.own_office.new_dial_ref()
        dial.own_office.processing[dial.own_office_ref] = dial
        self.io.send_to_office(dial.own_office.id, frames.ProcessStep(dial.own_office_ref, "answer"))

    def setup_rejected(self, office: str, frame: frames.Reject, now: int) -> None:
        """An office, or a tandem, did not take a set-up."""
        end = self.offices[office]
        dial = end.dials.get(frame.dial_ref)
        if dial is None or dial.state not in (DialState.SENT, DialState.RELEASING):
            self.counts["strays.PushBack"] += 1
            return
        if dial.state is DialState.RELEASING:  # crossed by our cancel: nothing is held there any more
            self._finish_release(dial, now)
            return
        del end.dials[frame.dial_ref]
        self._cancel_timer(dial)
        dial.move_to(DialState.FREE)
        self._release_circuits(dial)
        ending, blame = REJECT_OUTCOMES.get(frame.reason, (ev.Ending.FAULT, ev.Blame.NONE))
        self._dial_ended(dial, ending, blame, max(0, frame.wait), False, frame.load, now)

    def dial_cut(self, office: str, ref: int, now: int) -> None:
        """An office lost a dial."""
        dial = self.offices[office].dials.get(ref)
        if dial is None:
            self.counts["strays.Cut"] += 1
            return
        self._reset_dial(dial, now)

    def _reset_dial(self, dial: PendingDial, now: int) -> None:
        """A dial was lost at the far end or with a link. Its circuits wait out the release wait, for the far
        end may not know yet."""
        dial.office.dials.pop(dial.dial_ref, None)
        dial.own_office.processing.pop(dial.own_office_ref, None)
        if dial.state in (DialState.RELEASING, DialState.FREE):
            self._finish_release(dial, now)
            return
        stood = dial.state is DialState.ESTABLISHED
        taken = dial.call
        self._cancel_timer(dial)
        if dial.state is DialState.PROCESSING_SETUP:
            dial.move_to(DialState.FREE)
            self._release_circuits(dial)
        else:
            dial.move_to(DialState.RELEASING)
            dial.timer = self.io.start_timer(
                self.configuration.release.release_wait, lambda at: self._finish_release(dial, at)
            )
        if stood:
            self.counts["cut"] += 1
            self._report_end(taken, "cut")
            if taken.connection is not None:
                self.io.send_to_caller(taken.connection, frames.Ended(taken.caller_id))
            elif taken.own_office is not None:
                self.io.send_to_office(taken.own_office.id, frames.Cut(taken.own_office_ref))
            self._forget(taken)
        self._dial_ended(dial, ev.Ending.RESET, ev.Blame.NONE, 0, stood, None, now)

    def dial_released(self, office: str, frame: frames.Released, now: int) -> None:
        """An office freed what a dial held there."""
        self._feed_load(office, frame.load, now)
        dial = self.offices[office].dials.get(frame.dial_ref)
        if dial is None or dial.state is not DialState.RELEASING:
            self.counts["strays.Released"] += 1
            return
        self._finish_release(dial, now)

    def transit_setup(self, office: str, setup: frames.Setup, now: int) -> None:
        """The own office hands over a dialogue in transit."""
        home = self.offices[office]
        if setup.dial_ref in home.transits or setup.dial_ref in home.recent_refs:
            # As with a caller's id: an answer to the second would be one more to the first.
            self.counts["strays.Setup"] += 1
            return
        home.recent_refs.add(setup.dial_ref)
        if home.number != self.number or len(self.calls) >= self.max_open or self._setup_out_of_range(setup):
            self.counts["turned_away.transit"] += 1
            self.io.send_to_office(office, frames.Reject(setup.dial_ref, "turned_back"))
            return
        taken = self._accept(setup, setup.origin, setup.dialogue, now)
        taken.own_office, taken.own_office_ref, taken.origin_dial = home, setup.dial_ref, setup.dial
        home.transits[setup.dial_ref] = taken
        self._begin(taken, setup.left, False, -1, now)

    def _setup_out_of_range(self, setup: frames.Setup) -> bool:
        """Whether a figure is outside its range. Guards the ledger too, whose keys have so many bytes and no sign."""
        named = (
            0 <= setup.origin < frames.MAX_EXCHANGES
            and 0 <= setup.dialogue < 1 << 63
            and 0 <= setup.dial < 1 << 16
        )
        return not named or bool(self._range_error(setup))

    def transit_ended(self, office: str, ref: int, now: int) -> None:
        """The own office ends a dialogue in transit: cancelled or released from upstream."""
        taken = self.offices[office].transits.get(ref)
        if taken is None:
            self.counts["strays.transit_over"] += 1
        else:
            self._end_upstream(taken, now)
        self.io.send_to_office(office, frames.Released(ref))

    def load_reported(self, office: str, frame: frames.LoadReport, now: int) -> None:
        """A processor told its figures."""
        end = self.offices[office]
        self.feed(ev.Reported(office, frame.asked, True, self._group_report(end.number, frame.load)), now)

    def _feed_load(self, office: str, load: frames.Load | None, now: int) -> None:
        if load is not None:
            report = self._group_report(self.offices[office].number, load)
            self.feed(ev.Reported(office, False, True, report), now)

    # ---- groups ----

    def group_state_received(self, office: str, frame: frames.GroupState, now: int) -> None:
        """The own office tells what comes in over a group, and the group's size."""
        if self.offices[office].number != self.number or not 0 <= frame.number < frames.MAX_EXCHANGES:
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
            return  # nobody has told of this group yet
        self._unreported_groups.add(number)
        if self._group_report_timer is None:
            self._group_report_timer = self.io.start_timer(GROUP_REPORT_INTERVAL_US, self._report_groups)

    def _report_groups(self, now: int) -> None:
        self._group_report_timer = None
        numbers, self._unreported_groups = sorted(self._unreported_groups), set()
        own = [end for end in self.offices.values() if end.number == self.number and end.connected]
        for number in numbers:
            group = self.groups[number]
            for home in own:
                self.io.send_to_office(home.id, frames.GroupState(number, group.local_count))
            for end in self.offices.values():
                if end.number == number and end.state is not ev.Standing.GONE:
                    self.feed(ev.Reported(end.id, False, True, self._group_report(number, None)), now)

    def _group_report(self, number: int, load: frames.Load | None) -> ev.Report:
        group = self.groups.get(number)
        utilisation, wait, takes, hold_back = checked_load(load)
        return ev.Report(
            free=group.free if group else None,
            size=group.size if group else None,
            utilisation=utilisation,
            wait=wait,
            takes_per_s=takes,
            hold_back=hold_back,
        )

    def circuits_held(self, office: str) -> int:
        """Circuits held for dials of the office's link, as its heartbeat tells."""
        end = self.offices.get(office)
        return sum(dial.call.width for dial in end.dials.values()) if end else 0

    def compare_counts(self, office: str, theirs: int, now: int) -> None:
        """The office told how many circuits it holds for our dials: both ends must agree, frames on the way
        apart."""
        end = self.offices[office]
        allowed = 2 * self.configuration.release.release_wait + 2_000_000  # two heartbeats
        end.counts_differ_since, say = track_disagreement(
            self.circuits_held(office), theirs, end.counts_differ_since, now, allowed
        )
        if say:
            self.counts["circuits_disagree"] += 1
            mine = self.circuits_held(office)
            self.io.log("circuits_disagree", office=office, mine=mine, theirs=theirs)

    # ---- links and the list ----

    def office_connected(self, office: str, number: int, boot: int, now: int) -> str:
        """The link to an office stands; returns why it is not wanted, or nothing. Guards against an address that is
        another office's by now: dialogues would go to the wrong exchange, which hands them on as if in transit."""
        end = self.offices.get(office)
        if end is None:
            return ""
        if number != end.number:
            self.io.log("office_not_as_listed", office=office, number=number)
            return f"office {number}, not {end.number} as listed"
        end.connected, end.boot, end.counts_differ_since, end.recent_refs = True, boot, None, RecentIds()
        if end.number == self.number:
            self._unreported_groups.update(number for number in self.groups if number != self.number)
            if self._unreported_groups and self._group_report_timer is None:
                self._group_report_timer = self.io.start_timer(GROUP_REPORT_INTERVAL_US, self._report_groups)
        return ""

    def office_disconnected(self, office: str, why: str, now: int) -> None:
        """The link to an office is lost, and all its dials with it; what passes the own processor too."""
        end = self.offices.get(office)
        if end is None or not end.connected:
            return
        end.connected = False
        self.counts["links_lost.office"] += 1
        if end.state is ev.Standing.READY and not self.stopping:
            self.io.log("office_lost", office=office, why=why, dials=len(end.dials))
        for dial in list(end.dials.values()):
            self._reset_dial(dial, now)
        if end.number != self.number:
            return
        if self._own_office() is None:
            for number, group in self.groups.items():
                if (
                    group.remote_count
                ):  # what came in over a dead office is gone with it; the next one tells anew
                    group.remote_count = 0
                    self._group_changed(number)
        for other in self.offices.values():
            for dial in [dial for dial in other.dials.values() if dial.own_office is end]:
                # A processor that died takes what passed it along; the far end is told.
                self.io.send_to_office(other.id, frames.Cancel(dial.dial_ref))
                self._reset_dial(dial, now)
        for dial in list(end.processing.values()):
            self._reset_dial(dial, now)
        for taken in list(end.transits.values()):
            self._end_upstream(taken, now)

    def office_list_received(self, frame: frames.OfficeList, now: int) -> bool:
        """The register told the list, or changes to it; returns whether it is followed. A revision that goes back is an
        old list: skipped, but for what it says of offices that drain or are gone.

        Guards rule 3 against a register that restarted with an old count: its news of a drain then comes under a
        revision that was seen before. Keeping back costs a dial elsewhere; not keeping back breaks the rule."""
        fault = office_list_error(frame)
        if fault:
            self.counts["lists_malformed"] += 1
            self.io.log("list_malformed", revision=frame.revision, line=fault)
            return False
        old = frame.revision < self.revision
        if old:
            self.counts["lists_skipped"] += 1
            self.io.log("list_skipped", revision=frame.revision, have=self.revision)
            shut = [line for line in frame.entries if self._makes_unavailable(line, now)]
            if not shut:
                return False
            frame = frames.OfficeList("changes", self.revision, shut)
        self.revision = frame.revision
        before = {end.id: end.state for end in self.offices.values()}
        named = set()
        for line in frame.entries:
            named.add(line.office)
            self._apply_entry(line, now)
        if frame.kind != "changes":
            for end in self.offices.values():
                if end.id not in named:
                    end.state = ev.Standing.GONE
        heard = {"changes": ev.Heard.CHANGES, "whole": ev.Heard.WHOLE, "remembered": ev.Heard.REMEMBERED}
        entries = [self.offices[line.office] for line in frame.entries]
        lines = tuple(ev.Entry(end.id, end.number, end.state, end.started_at) for end in entries)
        self.feed(ev.Listed(heard[frame.kind], lines), now)
        for end in list(self.offices.values()):
            self._apply_state(end, now)
            if self.hook_runner and before.get(end.id) is not end.state:
                end.hook_mark = self.hook_runner.office_state_changed(end, now) or end.hook_mark
            if end.state is ev.Standing.GONE and not (end.dials or end.processing or end.transits):
                del self.offices[end.id]  # replaced processors must not pile up over the weeks
        return not old

    def _makes_unavailable(self, line: frames.OfficeListEntry, now: int) -> bool:
        """Whether a line says of an office held ready that it is not, and not of a processor before the present."""
        end = self.offices.get(line.office)
        if end is None or end.state is not ev.Standing.READY or line.state == "ready":
            return False
        started = None if line.age is None else now - max(0, line.age)  # none starts in the future
        return end.started_at is None or (
            started is not None and started >= end.started_at - START_TOLERANCE_US
        )

    def _apply_entry(self, line: frames.OfficeListEntry, now: int) -> None:
        standing = OFFICE_STATES[line.state]
        started = None if line.age is None else now - max(0, line.age)  # none starts in the future
        end = self.offices.get(line.office)
        if end is None:
            self.offices[line.office] = OfficeRecord(
                line.office, line.number, line.address, standing, started
            )
            return
        same = (
            started is not None
            and end.started_at is not None
            and abs(started - end.started_at) < START_TOLERANCE_US
        )
        if not same:
            end.started_at = started
        end.state, end.number = standing, line.number
        if end.address != line.address:
            self.io.drop_connection(end.id)
            end.address = line.address

    def _apply_state(self, end: OfficeRecord, now: int) -> None:
        if end.state is ev.Standing.GONE:
            self._withdraw_setups(end, now)
            self.io.drop_connection(end.id)
        else:
            self.io.keep_connection(end.id, end.address)
            if end.state is ev.Standing.DRAINING:
                self._withdraw_setups(end, now)

    def _withdraw_setups(self, end: OfficeRecord, now: int) -> None:
        """Guards rule 3: set-ups that wait here for an office that drains are taken back. Those that the link
        has taken may still lie unread, in buffers that are not ours: unless the office tells within the grace
        that it has read them, its link is reset, and nothing reaches it later."""
        back = self.io.withdraw(end.id, lambda frame: isinstance(frame, frames.Setup))
        for frame in back:
            dial = end.dials.pop(getattr(frame, "dial_ref", 0), None)
            if dial and dial.state is DialState.SENT:
                self.counts["kept_back.drained"] += 1
                self._cancel_timer(dial)
                self._not_sent(dial, ev.Ending.NOT_SENT, ev.Blame.NONE, now)
        if not end.connected:
            return
        n, grace = self.io.send_mark(end.id), self.configuration.release.drain_grace

        def look(at: int) -> None:
            if end.connected and end.state is not ev.Standing.READY and not self.io.mark_confirmed(end.id, n):
                self.counts["resets_of_drained"] += 1
                self.io.reset_connection(end.id, "drains and does not read")

        self.io.start_timer(grace * 6 // 10, look)  # the reset is there within the grace

    # ---- others ----

    def set_tandem_advice(self, frame: frames.Advice) -> None:
        """The centre told its latest look."""
        self.tandem_advice = list(frame.tandems)

    def peer_message_received(self, peer: int, text: bytes, now: int) -> None:
        """Another call server said something; its work at the own processor is booked there."""
        home = self._own_office()
        if home:
            self.io.send_to_office(home.id, frames.ProcessStep(0, "word"))
        self.feed(ev.PeerSaid(peer, text), now)

    def stop(self, now: int) -> int:
        """Take nothing more; returns how many answers are still owed."""
        self.stopping = True
        return self.unanswered

    @property
    def unanswered(self) -> int:
        """Dialogues taken that still wait for their answer."""
        return sum(taken.answer_owed for taken in self.calls.values())


def office_list_error(frame: frames.OfficeList) -> str:
    """What is wrong with a list, or nothing."""
    if frame.kind not in ("changes", "whole", "remembered"):
        return f"kind {frame.kind[:40]!r}"
    for line in frame.entries:
        if line.state not in OFFICE_STATES or not 0 <= line.number < frames.MAX_EXCHANGES:
            return repr(line)[:200]
    return ""


def _fits(text: str | None) -> bool:
    """Whether a number called or a tenant is one: they are kept for a minute, and longer ones would fill memory."""
    return text is None or len(text) <= MAX_TEXT_CHARS


def _role(taken: PendingCall) -> str:
    """Where this call server stands in a dialogue."""
    return "tandem" if taken.own_office is not None else "origin"
