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
    ENDINGS,
    STANDINGS,
    DialOut,
    OfficeEnd,
    Recent,
    Step,
    Taken,
    load_of,
    turned_back_reason,
)
from wellhitch.server.hook_runner import TICK, Hooked
from wellhitch.trunk import frames
from wellhitch.trunk.circuits import TrunkGroup, track_disagreement

# Taken off each deadline, so that the answer is there in time although a turn of the loop is late by most of it: a
# collection of garbage or a process that is not scheduled holds a turn up for tens of milliseconds.
ANSWER_MARGIN_US = 50_000
TELL_EVERY = (
    50_000  # us; group counts are told to the own office and the decisions at most so often: a dialogue
)
# changes them four times, and fresher counts than a set-up's way are of no use
STARTED_SLACK = 500_000  # us; two ages of one start differ by their frames' ways; a restart by more
MAX_TEXT = 64  # characters of a number called or a tenant; the longest numbers have fifteen digits


class Outlet(Protocol):
    """The way out: what the shell does for the switch."""

    def to_caller(self, link: Hashable, frame: frames.AnyFrame) -> bool:
        """Send to a caller."""

    def to_office(self, office: str, frame: frames.AnyFrame) -> bool:
        """Send to an office; False where its link is down."""

    def withdraw(self, office: str, which: Callable[[frames.AnyFrame], bool]) -> list[frames.AnyFrame]:
        """Take back frames to an office that wait here."""

    def mark(self, office: str) -> int:
        """Ask how far the office has read."""

    def marked(self, office: str, n: int) -> bool:
        """Whether it has read all that was sent before the mark."""

    def reset(self, office: str, why: str) -> None:
        """Break the link to an office; channel_closed follows."""

    def keep_link(self, office: str, address: str) -> None:
        """Keep a link to an office up."""

    def drop_link(self, office: str) -> None:
        """Let the link to an office go."""

    def tell_peers(self, text: bytes) -> None:
        """Send a word to every other call server."""

    def timer(self, after: int, ring: Callable[[int], None]) -> Timer:
        """Ring after so many us, with the time then."""

    def log(self, event: str, **facts: Any) -> None:
        """One line of the log."""


class Witness(Protocol):
    """What a ledger is told; nothing comes back, and nothing waits for it."""

    def answered(self, facts: DialogueFacts, answer: str) -> None:
        """A dialogue got its answer."""

    def ended(self, side: str, origin: int, dialogue: int, ending: str, dial: int = -1) -> None:
        """A dialogue that stood is over, `released` or `cut`; `dial` as it was asked for here."""

    def local_dialogue_ended(self, facts: DialogueFacts, ending: str, duration: int) -> None:
        """The own office told of one that ended in this exchange."""


class Switch:
    """One exchange's call server."""

    def __init__(self, opened: ev.ServerStarted, max_open: int, outlet: Outlet) -> None:
        self.opened, self.max_open, self.outlet = opened, max_open, outlet
        self.number = opened.topology.own_number if opened.topology.own_number is not None else -1
        self.counts: Counter[str] = Counter()
        self.runner = Runner(self, outlet.timer, outlet.log, self.counts)
        self.exchange = self.runner.exchange
        self.taken: dict[int, Taken] = {}
        self.by_caller: dict[tuple[Hashable, int], Taken] = {}
        self.heard: dict[Hashable, Recent] = {}
        self.offices: dict[str, OfficeEnd] = {}
        self.groups: dict[int, TrunkGroup] = {}
        self.advice: list[int] = []
        self.revision = -1
        self.stopping = False
        self.hooked: Hooked | None = None
        self.witness: Witness | None = None
        self.life = (
            0  # set at each start: what an earlier process called its dialogues must not be called so again
        )
        self._next_id = 0
        self._untold: set[int] = set()
        self._tell_timer: Timer | None = None
        self._outer_limits = {use.name: use.deadline for use in opened.traffic_classes}

    # ---- the decisions ----

    def start(self, now: int) -> None:
        """Begin: nothing is known but the facts of the place."""
        self.feed(self.opened, now)
        if self.hooked:
            self.hooked.began = now
            self.outlet.timer(TICK, self._tick)

    def _tick(self, now: int) -> None:
        if self.hooked:
            self.hooked.tick(len(self.taken), now)
            self.outlet.timer(TICK, self._tick)

    def feed(self, event: ev.Event, now: int) -> None:
        """Tell the decisions one event; what they ask for is carried out before this returns, but for events that
        come up meanwhile, which wait their turn."""
        self.runner.feed(event, now)

    def decision_failed(self, dialogue: int, now: int) -> None:
        """The decisions raised on this dialogue: it gets its one final answer."""
        taken = self.taken.get(dialogue)
        if taken and not taken.stands:
            self._answer(taken, "forfeited", 0, now)

    def execute(self, action: act.Action, now: int) -> None:
        """Do one thing that the decisions ask for."""
        match action:
            case act.Send(dialogue, office, within):
                self._send(dialogue, office, within, now)
            case act.Cancel(dialogue, number):
                taken = self.taken.get(dialogue)
                dial = taken.dials[number] if taken and number < len(taken.dials) else None
                if dial and dial.step in (Step.PASSING, Step.OUT, Step.ANSWERING):
                    self._give_up_dial(dial, ev.DialResult.CANCELLED, now)
            case act.Reject(dialogue, come_back):
                if dialogue in self.taken:
                    self._answer(self.taken[dialogue], "pushed_back", come_back, now)
            case act.Fail(dialogue):
                if dialogue in self.taken:
                    self._answer(self.taken[dialogue], "forfeited", 0, now)
            case act.SendPeerMessage(text):
                self.outlet.tell_peers(text)
            case act.SubscribeDiscovery():
                pass  # the register pushes to every link from its Hello on

    # ---- callers ----

    def call(self, link: Hashable, call: frames.Call, now: int) -> None:
        """A caller hands a dialogue over."""
        key, heard = (link, call.id), self.heard.setdefault(link, Recent())
        if key in self.by_caller or call.id in heard:
            # An answer would be taken for the first one's, which then had two: the id is the caller's to keep apart.
            self.counts["strays.Call"] += 1
            return
        heard.add(call.id)
        fault = self._call_fault(call)
        if fault:
            # Turned away before it is taken, as the limits of this place say; it still gets its one answer.
            self.counts[f"turned_away.{fault}"] += 1
            self.outlet.to_caller(link, frames.Final(call.id, "pushed_back", 0))
            return
        said, version = HookResult(), ""
        if self.hooked:
            said, version = self.hooked.arrives(call, len(self.taken), self.groups, now)
        if said.push_back is not None:
            self.counts["hooks_pushed_back"] += 1
            self.outlet.to_caller(link, frames.Final(call.id, "pushed_back", 0, version))
            self.outlet.log("dialogue", id=call.id, answer="pushed_back", why=said.push_back, hooks=version)
            return
        if said.use_case is not None and said.use_case != call.use_case:
            self.counts["hooks_named_use_case"] += 1
            call = msgspec.structs.replace(call, use_case=said.use_case)
        taken = self._take(call, self.number, 0, now)
        taken.tenant, taken.tags, taken.version = call.tenant, said.tags, version
        taken.link, taken.caller_id, taken.origin_id = link, call.id, self.life << 32 | taken.id
        self.by_caller[key] = taken
        home = self._home()
        if home:
            self.outlet.to_office(home.id, frames.ProcessStep(0, "look"))
        advised = self.advice[call.destination] if 0 <= call.destination < len(self.advice) else -1
        self._arrived(taken, call.left, call.redialled, advised, now, said.favour)

    def _call_fault(self, call: frames.Call) -> str:
        if self.stopping:
            return "stopping"
        if len(self.taken) >= self.max_open:
            return "max_open"
        if call.left <= 0:
            return "no_time"
        return self._figure_fault(call) or ("" if _short(call.tenant) else "text_too_long")

    def _figure_fault(self, frame: frames.Call | frames.Setup) -> str:
        """What a caller's and an office's word have in common and is outside its range, or nothing."""
        if frame.use_case not in self._outer_limits:
            return "unknown_use_case"
        if not 1 <= frame.width <= frames.MAX_WIDTH:
            return "width"
        if not 0 <= frame.destination < frames.MAX_EXCHANGES:
            return "destination"  # under nought it would be counted from the end of what is told of tandems
        return "" if _short(frame.called) else "text_too_long"

    def _take(self, call: frames.Call | frames.Setup, origin: int, origin_id: int, now: int) -> Taken:
        self._next_id += 1
        taken = Taken(
            self._next_id, call.use_case, call.destination, call.called, call.width, origin, origin_id
        )
        self.taken[taken.id] = taken
        self.counts["taken"] += 1
        return taken

    def _arrived(
        self, taken: Taken, left: int, redialled: bool, advised: int, now: int, favour: float = 1.0
    ) -> None:
        # Guards against a time without end, in which a dialogue would hold its place and circuits for ever: past the
        # outer limit it is worth nothing to anybody.
        left = min(left, self._outer_limits[taken.use_case])
        taken.came, taken.until = now, now + left
        self.feed(
            ev.DialogueArrived(
                dialogue=taken.id,
                traffic_class=taken.use_case,
                destination=taken.destination,
                called_number=taken.called,
                time_left=max(0, left - ANSWER_MARGIN_US),
                width=taken.width,
                advised_tandem=None if advised < 0 or taken.home else advised,
                is_redial=redialled,
                transit=taken.home is not None,
                value_factor=favour,
            ),
            now,
        )

    def leave(self, link: Hashable, caller_id: int, now: int) -> None:
        """A caller hung up: before its answer, or to end a dialogue that stood."""
        taken = self.by_caller.get((link, caller_id))
        if taken:
            self._left(taken, now)

    def caller_lost(self, link: Hashable, now: int) -> None:
        """A caller's link is gone: all its dialogues are hung up."""
        for taken in [taken for (key, _), taken in self.by_caller.items() if key == link]:
            self._left(taken, now)
        self.heard.pop(link, None)

    def _left(self, taken: Taken, now: int) -> None:
        """The upstream end is over, whoever it was."""
        stood, dial = taken.stands, taken.active
        taken.owed = False
        if dial and stood:
            self._told_over(taken, "released")
            if dial.home.up:
                self.outlet.to_office(dial.home.id, frames.ProcessStep(0, "release"))
            self._end_dial(dial, frames.Release(dial.ref), now)
            self._forget(taken)
            self._dial_ended(dial, ev.DialResult.ENDED_WELL, ev.ReleaseCause.NONE, 0, True, None, now)
            return
        self._told_answer(taken, "gone")
        self._forget(taken)
        self.feed(ev.CallerLeft(taken.id), now)
        if dial:
            self._end_dial(dial, frames.Cancel(dial.ref), now)

    def _answer(self, taken: Taken, answer: str, come_back: int, now: int) -> None:
        """The one final answer. Guards against a second one: what was answered owes nothing more."""
        if not taken.owed:
            self.counts["second_answers_kept_back"] += 1
            return
        taken.owed = False
        self.counts[f"answer.{answer}"] += 1
        if taken.link is not None:
            final = frames.Final(taken.caller_id, answer, come_back, taken.version)
            self.outlet.to_caller(taken.link, final)
            if self.hooked:
                # After the answer went out: a hook that takes long delays nobody's answer.
                taken.tags = self.hooked.answered(taken, answer, max(0, taken.until - now), now)
                self.outlet.log(
                    "dialogue",
                    id=taken.id,
                    answer=answer,
                    use_case=taken.use_case,
                    tags=taken.tags,
                    hooks=taken.version,
                )
        elif taken.home is not None:
            if answer == "stands":
                self.outlet.to_office(taken.home.id, frames.Answer(taken.home_ref))
            else:
                reason = turned_back_reason(taken)
                self.outlet.to_office(taken.home.id, frames.Reject(taken.home_ref, reason))
        self._told_answer(taken, answer)
        if answer != "stands":
            dial = taken.active
            if dial:  # given up while a dial is out: only after a fault in the decisions
                self._end_dial(dial, frames.Cancel(dial.ref), now)
            self._forget(taken)

    def _witness(self, tell: Callable[..., None], *what: Any) -> None:
        """Tell the ledger. Guards against one that raises: it took the link along on which the frame had come, with
        every dialogue on it."""
        try:
            tell(*what)
        except Exception as fault:
            self.counts["ledger_faults"] += 1
            self.outlet.log("ledger_fault", fault=f"{type(fault).__name__}: {fault}", told=repr(what))

    def _told_answer(self, taken: Taken, answer: str) -> None:
        if self.witness:
            out = taken.active if answer == "stands" else None
            onward = out.number if out else -1
            via = out.office.number if out and out.office.number != taken.destination else -1
            seen = DialogueFacts(
                _side(taken),
                taken.origin,
                taken.origin_id,
                taken.use_case,
                taken.destination,
                taken.called,
                taken.width,
                taken.tenant,
                taken.tags,
                taken.version,
                taken.asked_dial,
                onward,
                via,
            )
            self._witness(self.witness.answered, seen, answer)

    def _told_over(self, taken: Taken, how: str) -> None:
        if self.witness:
            side, dial = _side(taken), taken.asked_dial
            self._witness(self.witness.ended, side, taken.origin, taken.origin_id, how, dial)

    def carried(self, office: str, frame: frames.CarriedDialogue) -> None:
        """The own office tells of a dialogue that stood in this exchange and is over."""
        if self.offices[office].number != self.number or frame.ending not in ("released", "cut"):
            self.counts["strays.Carried"] += 1
        elif self.witness and 0 <= frame.origin < frames.MAX_EXCHANGES and 0 <= frame.duration < 1 << 53:
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
            self._witness(self.witness.local_dialogue_ended, seen, frame.ending, frame.duration)

    def _forget(self, taken: Taken) -> None:
        self.taken.pop(taken.id, None)
        if taken.link is not None:
            self.by_caller.pop((taken.link, taken.caller_id), None)
        elif taken.home is not None:
            taken.home.transits.pop(taken.home_ref, None)

    # ---- dials ----

    def _home(self) -> OfficeEnd | None:
        """The own office whose link is up, the newest that the list calls ready first."""
        own = [end for end in self.offices.values() if end.number == self.number and end.up]
        ready = [end for end in own if end.standing is ev.OfficeState.READY]
        return max(ready or own, key=lambda end: end.started or 0, default=None)

    def _send(self, dialogue: int, office: str, within: int, now: int) -> None:
        """Carry out a send: seize the circuits, pass the own processor, then out. What cannot be sent comes
        back as not sent, or unreachable, at once."""
        taken, end = self.taken.get(dialogue), self.offices.get(office)
        if taken is None or end is None or taken.active:
            self.counts["sends_refused"] += 1
            self.outlet.log("send_refused", dialogue=dialogue, office=office)
            return
        home = self._home()
        dial = DialOut(taken, len(taken.dials), end, home or end, now, now + within)
        taken.dials.append(dial)
        self.counts["sends"] += 1
        group = self.groups.get(end.number)
        if home is None:
            self._not_sent(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.PROCESSOR_FULL, now)
        elif not end.up:
            self._not_sent(dial, ev.DialResult.UNREACHABLE, ev.ReleaseCause.NONE, now)
        elif group is not None and not group.seize(dial, taken.width):
            self._not_sent(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.NO_CIRCUIT, now)
        else:
            self._changed(end.number)
            dial.timer = self.outlet.timer(max(0, within), lambda at: self._overdue(dial, at))
            dial.home_ref = home.ref()
            home.passing[dial.home_ref] = dial
            self.outlet.to_office(home.id, frames.ProcessStep(dial.home_ref, "setup"))

    def _not_sent(self, dial: DialOut, ending: ev.DialResult, blame: ev.ReleaseCause, now: int) -> None:
        dial.move(Step.FREE)
        self._free(dial)
        self._dial_ended(dial, ending, blame, 0, False, None, now)

    def _dial_ended(
        self,
        dial: DialOut,
        ending: ev.DialResult,
        blame: ev.ReleaseCause,
        wait: int,
        over: bool,
        load: frames.Load | None,
        now: int,
    ) -> None:
        taken = dial.taken
        taken.last_blame = blame
        self.counts[f"ending.{ending.name.lower()}"] += 1
        self.counts[f"blame.{blame.name.lower()}"] += 1
        report = self._report(dial.office.number, load)
        self.feed(ev.DialEnded(taken.id, dial.number, dial.office.id, ending, blame, wait, over, report), now)

    def passed(self, office: str, frame: frames.StepProcessed, now: int) -> None:
        """The own processor is done with a step of a dial."""
        home = self.offices[office]
        dial = home.passing.pop(frame.dial_ref, None)
        if dial is None:
            self.counts["strays.Passed"] += 1
            return
        if frame.step == "setup" and dial.step is Step.PASSING:
            self._passed_setup(dial, frame.accepted, now)
        elif frame.step == "answer" and dial.step is Step.ANSWERING:
            self._stands(dial, now)
        else:
            self.counts["strays.Passed"] += 1

    def _passed_setup(self, dial: DialOut, accepted: bool, now: int) -> None:
        taken, end = dial.taken, dial.office
        if not accepted:
            self._stop_timer(dial)
            self._not_sent(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.PROCESSOR_FULL, now)
            return
        if end.standing is not ev.OfficeState.READY or not end.up:
            # Guards rule 3: the office drained, or its link was lost, while the set-up waited in the own
            # processor. Nothing was sent, so the decisions may dial elsewhere at once.
            self.counts["kept_back.drained" if end.up else "kept_back.unreachable"] += 1
            self._stop_timer(dial)
            ending = ev.DialResult.NOT_SENT if end.up else ev.DialResult.UNREACHABLE
            self._not_sent(dial, ending, ev.ReleaseCause.NONE, now)
            return
        dial.move(Step.OUT)
        dial.ref = end.ref()
        end.dials[dial.ref] = dial
        left = dial.until - now
        self.outlet.to_office(
            end.id,
            frames.Setup(
                dial.ref,
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

    def _stands(self, dial: DialOut, now: int) -> None:
        dial.move(Step.STANDS)
        self._stop_timer(dial)
        self._answer(dial.taken, "stands", 0, now)
        self.feed(ev.DialogueEstablished(dial.taken.id, dial.number, now - dial.sent), now)

    def _overdue(self, dial: DialOut, now: int) -> None:
        if dial.step in (Step.PASSING, Step.OUT, Step.ANSWERING):
            self._give_up_dial(dial, ev.DialResult.TIMED_OUT, now)

    def _give_up_dial(self, dial: DialOut, ending: ev.DialResult, now: int) -> None:
        self._end_dial(dial, frames.Cancel(dial.ref), now)
        self._dial_ended(dial, ending, ev.ReleaseCause.NONE, 0, False, None, now)

    def _end_dial(self, dial: DialOut, word: frames.Cancel | frames.Release, now: int) -> None:
        """End a dial from this end. Where it was sent, the circuits stay taken until the far end confirms or
        the release wait is over; a set-up still waiting here is taken back instead."""
        self._stop_timer(dial)
        if dial.home.passing.pop(dial.home_ref, None) is not None:
            self.outlet.to_office(dial.home.id, frames.DropStep(dial.home_ref))
        if dial.step is Step.PASSING:
            dial.move(Step.FREE)
            self._free(dial)
            return
        ref = dial.ref
        back = self.outlet.withdraw(
            dial.office.id, lambda frame: isinstance(frame, frames.Setup) and frame.dial_ref == ref
        )
        if back or not dial.office.up:
            dial.office.dials.pop(ref, None)
            dial.move(Step.FREE)
            self._free(dial)
            return
        dial.move(Step.FREEING)
        self.outlet.to_office(dial.office.id, word)
        dial.timer = self.outlet.timer(self.opened.release.release_wait, lambda at: self._freed(dial, at))

    def _freed(self, dial: DialOut, now: int) -> None:
        """The far end confirmed, or the release wait is over."""
        dial.office.dials.pop(dial.ref, None)
        if dial.step is Step.FREEING:
            dial.move(Step.FREE)
            self._stop_timer(dial)
            self._free(dial)

    def _stop_timer(self, dial: DialOut) -> None:
        if dial.timer:
            dial.timer.cancel()
            dial.timer = None

    # ---- what an office says ----

    def answered(self, office: str, frame: frames.Answer, now: int) -> None:
        """An office answered a set-up."""
        dial = self.offices[office].dials.get(frame.dial_ref)
        self._heard_load(office, frame.load, now)
        if dial is None or dial.step is not Step.OUT:
            # Crossed by our cancel, told twice, or after the release: the dial is over, or stands already.
            self.counts["strays.Answer"] += 1
            return
        dial.move(Step.ANSWERING)
        dial.home_ref = dial.home.ref()
        dial.home.passing[dial.home_ref] = dial
        self.outlet.to_office(dial.home.id, frames.ProcessStep(dial.home_ref, "answer"))

    def pushed_back(self, office: str, frame: frames.Reject, now: int) -> None:
        """An office, or a tandem, did not take a set-up."""
        end = self.offices[office]
        dial = end.dials.get(frame.dial_ref)
        if dial is None or dial.step not in (Step.OUT, Step.FREEING):
            self.counts["strays.PushBack"] += 1
            return
        if dial.step is Step.FREEING:  # crossed by our cancel: nothing is held there any more
            self._freed(dial, now)
            return
        del end.dials[frame.dial_ref]
        self._stop_timer(dial)
        dial.move(Step.FREE)
        self._free(dial)
        ending, blame = ENDINGS.get(frame.reason, (ev.DialResult.FAULT, ev.ReleaseCause.NONE))
        self._dial_ended(dial, ending, blame, max(0, frame.wait), False, frame.load, now)

    def cut(self, office: str, ref: int, now: int) -> None:
        """An office lost a dial."""
        dial = self.offices[office].dials.get(ref)
        if dial is None:
            self.counts["strays.Cut"] += 1
            return
        self._reset_dial(dial, now)

    def _reset_dial(self, dial: DialOut, now: int) -> None:
        """A dial was lost at the far end or with a link. Its circuits wait out the release wait, for the far
        end may not know yet."""
        dial.office.dials.pop(dial.ref, None)
        dial.home.passing.pop(dial.home_ref, None)
        if dial.step in (Step.FREEING, Step.FREE):
            self._freed(dial, now)
            return
        stood = dial.step is Step.STANDS
        taken = dial.taken
        self._stop_timer(dial)
        if dial.step is Step.PASSING:
            dial.move(Step.FREE)
            self._free(dial)
        else:
            dial.move(Step.FREEING)
            dial.timer = self.outlet.timer(self.opened.release.release_wait, lambda at: self._freed(dial, at))
        if stood:
            self.counts["cut"] += 1
            self._told_over(taken, "cut")
            if taken.link is not None:
                self.outlet.to_caller(taken.link, frames.Ended(taken.caller_id))
            elif taken.home is not None:
                self.outlet.to_office(taken.home.id, frames.Cut(taken.home_ref))
            self._forget(taken)
        self._dial_ended(dial, ev.DialResult.RESET, ev.ReleaseCause.NONE, 0, stood, None, now)

    def released(self, office: str, frame: frames.Released, now: int) -> None:
        """An office freed what a dial held there."""
        self._heard_load(office, frame.load, now)
        dial = self.offices[office].dials.get(frame.dial_ref)
        if dial is None or dial.step is not Step.FREEING:
            self.counts["strays.Released"] += 1
            return
        self._freed(dial, now)

    def transit(self, office: str, setup: frames.Setup, now: int) -> None:
        """The own office hands over a dialogue in transit."""
        home = self.offices[office]
        if setup.dial_ref in home.transits or setup.dial_ref in home.heard:
            # As with a caller's id: an answer to the second would be one more to the first.
            self.counts["strays.Setup"] += 1
            return
        home.heard.add(setup.dial_ref)
        if home.number != self.number or len(self.taken) >= self.max_open or self._setup_fault(setup):
            self.counts["turned_away.transit"] += 1
            self.outlet.to_office(office, frames.Reject(setup.dial_ref, "turned_back"))
            return
        taken = self._take(setup, setup.origin, setup.dialogue, now)
        taken.home, taken.home_ref, taken.asked_dial = home, setup.dial_ref, setup.dial
        home.transits[setup.dial_ref] = taken
        self._arrived(taken, setup.left, False, -1, now)

    def _setup_fault(self, setup: frames.Setup) -> bool:
        """Whether a figure is outside its range. Guards the ledger too, whose keys have so many bytes and no sign."""
        named = (
            0 <= setup.origin < frames.MAX_EXCHANGES
            and 0 <= setup.dialogue < 1 << 63
            and 0 <= setup.dial < 1 << 16
        )
        return not named or bool(self._figure_fault(setup))

    def transit_over(self, office: str, ref: int, now: int) -> None:
        """The own office ends a dialogue in transit: cancelled or released from upstream."""
        taken = self.offices[office].transits.get(ref)
        if taken is None:
            self.counts["strays.transit_over"] += 1
        else:
            self._left(taken, now)
        self.outlet.to_office(office, frames.Released(ref))

    def load_told(self, office: str, frame: frames.LoadReport, now: int) -> None:
        """A processor told its figures."""
        end = self.offices[office]
        self.feed(ev.OfficeReported(office, frame.asked, True, self._report(end.number, frame.load)), now)

    def _heard_load(self, office: str, load: frames.Load | None, now: int) -> None:
        if load is not None:
            report = self._report(self.offices[office].number, load)
            self.feed(ev.OfficeReported(office, False, True, report), now)

    # ---- groups ----

    def group_told(self, office: str, frame: frames.GroupState, now: int) -> None:
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
        self._changed(frame.number)

    def _free(self, dial: DialOut) -> None:
        group = self.groups.get(dial.office.number)
        if group and group.release(dial):
            self._changed(dial.office.number)

    def _changed(self, number: int) -> None:
        if number not in self.groups:
            return  # nobody has told of this group yet
        self._untold.add(number)
        if self._tell_timer is None:
            self._tell_timer = self.outlet.timer(TELL_EVERY, self._tell_groups)

    def _tell_groups(self, now: int) -> None:
        self._tell_timer = None
        numbers, self._untold = sorted(self._untold), set()
        own = [end for end in self.offices.values() if end.number == self.number and end.up]
        for number in numbers:
            group = self.groups[number]
            for home in own:
                self.outlet.to_office(home.id, frames.GroupState(number, group.local_count))
            for end in self.offices.values():
                if end.number == number and end.standing is not ev.OfficeState.GONE:
                    self.feed(ev.OfficeReported(end.id, False, True, self._report(number, None)), now)

    def _report(self, number: int, load: frames.Load | None) -> ev.OfficeReport:
        group = self.groups.get(number)
        utilisation, wait, takes, hold_back = load_of(load)
        return ev.OfficeReport(
            free_circuits=group.free if group else None,
            group_size=group.size if group else None,
            utilisation=utilisation,
            queue_wait=wait,
            accept_rate_per_s=takes,
            load_reduction=hold_back,
        )

    def held_for(self, office: str) -> int:
        """Circuits held for dials of the office's link, as its heartbeat tells."""
        end = self.offices.get(office)
        return sum(dial.taken.width for dial in end.dials.values()) if end else 0

    def counts_compared(self, office: str, theirs: int, now: int) -> None:
        """The office told how many circuits it holds for our dials: both ends must agree, frames on the way
        apart."""
        end = self.offices[office]
        allowed = 2 * self.opened.release.release_wait + 2_000_000  # two heartbeats
        end.differs_since, say = track_disagreement(
            self.held_for(office), theirs, end.differs_since, now, allowed
        )
        if say:
            self.counts["circuits_disagree"] += 1
            mine = self.held_for(office)
            self.outlet.log("circuits_disagree", office=office, mine=mine, theirs=theirs)

    # ---- links and the list ----

    def office_up(self, office: str, number: int, boot: int, now: int) -> str:
        """The link to an office stands; returns why it is not wanted, or nothing. Guards against an address that is
        another office's by now: dialogues would go to the wrong exchange, which hands them on as if in transit."""
        end = self.offices.get(office)
        if end is None:
            return ""
        if number != end.number:
            self.outlet.log("office_not_as_listed", office=office, number=number)
            return f"office {number}, not {end.number} as listed"
        end.up, end.boot, end.differs_since, end.heard = True, boot, None, Recent()
        if end.number == self.number:
            self._untold.update(number for number in self.groups if number != self.number)
            if self._untold and self._tell_timer is None:
                self._tell_timer = self.outlet.timer(TELL_EVERY, self._tell_groups)
        return ""

    def office_down(self, office: str, why: str, now: int) -> None:
        """The link to an office is lost, and all its dials with it; what passes the own processor too."""
        end = self.offices.get(office)
        if end is None or not end.up:
            return
        end.up = False
        self.counts["links_lost.office"] += 1
        if end.standing is ev.OfficeState.READY and not self.stopping:
            self.outlet.log("office_lost", office=office, why=why, dials=len(end.dials))
        for dial in list(end.dials.values()):
            self._reset_dial(dial, now)
        if end.number != self.number:
            return
        if self._home() is None:
            for number, group in self.groups.items():
                if (
                    group.remote_count
                ):  # what came in over a dead office is gone with it; the next one tells anew
                    group.remote_count = 0
                    self._changed(number)
        for other in self.offices.values():
            for dial in [dial for dial in other.dials.values() if dial.home is end]:
                # A processor that died takes what passed it along; the far end is told.
                self.outlet.to_office(other.id, frames.Cancel(dial.ref))
                self._reset_dial(dial, now)
        for dial in list(end.passing.values()):
            self._reset_dial(dial, now)
        for taken in list(end.transits.values()):
            self._left(taken, now)

    def listed(self, frame: frames.OfficeList, now: int) -> bool:
        """The register told the list, or changes to it; returns whether it is followed. A revision that goes back is an
        old list: skipped, but for what it says of offices that drain or are gone.

        Guards rule 3 against a register that restarted with an old count: its news of a drain then comes under a
        revision that was seen before. Keeping back costs a dial elsewhere; not keeping back breaks the rule."""
        fault = list_fault(frame)
        if fault:
            self.counts["lists_malformed"] += 1
            self.outlet.log("list_malformed", revision=frame.revision, line=fault)
            return False
        old = frame.revision < self.revision
        if old:
            self.counts["lists_skipped"] += 1
            self.outlet.log("list_skipped", revision=frame.revision, have=self.revision)
            shut = [line for line in frame.entries if self._less_usable(line, now)]
            if not shut:
                return False
            frame = frames.OfficeList("changes", self.revision, shut)
        self.revision = frame.revision
        before = {end.id: end.standing for end in self.offices.values()}
        named = set()
        for line in frame.entries:
            named.add(line.office)
            self._listed_line(line, now)
        if frame.kind != "changes":
            for end in self.offices.values():
                if end.id not in named:
                    end.standing = ev.OfficeState.GONE
        heard = {"changes": ev.ListKind.CHANGES, "whole": ev.ListKind.FULL, "remembered": ev.ListKind.CACHED}
        entries = [self.offices[line.office] for line in frame.entries]
        lines = tuple(ev.OfficeEntry(end.id, end.number, end.standing, end.started) for end in entries)
        self.feed(ev.OfficeListReceived(heard[frame.kind], lines), now)
        for end in list(self.offices.values()):
            self._follow_standing(end, now)
            if self.hooked and before.get(end.id) is not end.standing:
                end.mark = self.hooked.listed(end, now) or end.mark
            if end.standing is ev.OfficeState.GONE and not (end.dials or end.passing or end.transits):
                del self.offices[end.id]  # replaced processors must not pile up over the weeks
        return not old

    def _less_usable(self, line: frames.OfficeListEntry, now: int) -> bool:
        """Whether a line says of an office held ready that it is not, and not of a processor before the present."""
        end = self.offices.get(line.office)
        if end is None or end.standing is not ev.OfficeState.READY or line.state == "ready":
            return False
        started = None if line.age is None else now - max(0, line.age)  # none starts in the future
        return end.started is None or (started is not None and started >= end.started - STARTED_SLACK)

    def _listed_line(self, line: frames.OfficeListEntry, now: int) -> None:
        standing = STANDINGS[line.state]
        started = None if line.age is None else now - max(0, line.age)  # none starts in the future
        end = self.offices.get(line.office)
        if end is None:
            self.offices[line.office] = OfficeEnd(line.office, line.number, line.address, standing, started)
            return
        same = started is not None and end.started is not None and abs(started - end.started) < STARTED_SLACK
        if not same:
            end.started = started
        end.standing, end.number = standing, line.number
        if end.address != line.address:
            self.outlet.drop_link(end.id)
            end.address = line.address

    def _follow_standing(self, end: OfficeEnd, now: int) -> None:
        if end.standing is ev.OfficeState.GONE:
            self._take_back(end, now)
            self.outlet.drop_link(end.id)
        else:
            self.outlet.keep_link(end.id, end.address)
            if end.standing is ev.OfficeState.DRAINING:
                self._take_back(end, now)

    def _take_back(self, end: OfficeEnd, now: int) -> None:
        """Guards rule 3: set-ups that wait here for an office that drains are taken back. Those that the link
        has taken may still lie unread, in buffers that are not ours: unless the office tells within the grace
        that it has read them, its link is reset, and nothing reaches it later."""
        back = self.outlet.withdraw(end.id, lambda frame: isinstance(frame, frames.Setup))
        for frame in back:
            dial = end.dials.pop(getattr(frame, "dial_ref", 0), None)
            if dial and dial.step is Step.OUT:
                self.counts["kept_back.drained"] += 1
                self._stop_timer(dial)
                self._not_sent(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.NONE, now)
        if not end.up:
            return
        n, grace = self.outlet.mark(end.id), self.opened.release.drain_grace

        def look(at: int) -> None:
            if end.up and end.standing is not ev.OfficeState.READY and not self.outlet.marked(end.id, n):
                self.counts["resets_of_drained"] += 1
                self.outlet.reset(end.id, "drains and does not read")

        self.outlet.timer(grace * 6 // 10, look)  # the reset is there within the grace

    # ---- others ----

    def advised(self, frame: frames.Advice) -> None:
        """The centre told its latest look."""
        self.advice = list(frame.tandems)

    def word(self, peer: int, text: bytes, now: int) -> None:
        """Another call server said something; its work at the own processor is booked there."""
        home = self._home()
        if home:
            self.outlet.to_office(home.id, frames.ProcessStep(0, "word"))
        self.feed(ev.PeerMessageReceived(peer, text), now)

    def stop(self, now: int) -> int:
        """Take nothing more; returns how many answers are still owed."""
        self.stopping = True
        return self.owed

    @property
    def owed(self) -> int:
        """Dialogues taken that still wait for their answer."""
        return sum(taken.owed for taken in self.taken.values())


def list_fault(frame: frames.OfficeList) -> str:
    """What is wrong with a list, or nothing."""
    if frame.kind not in ("changes", "whole", "remembered"):
        return f"kind {frame.kind[:40]!r}"
    for line in frame.entries:
        if line.state not in STANDINGS or not 0 <= line.number < frames.MAX_EXCHANGES:
            return repr(line)[:200]
    return ""


def _short(text: str | None) -> bool:
    """Whether a number called or a tenant is one: they are kept for a minute, and longer ones would fill memory."""
    return text is None or len(text) <= MAX_TEXT


def _side(taken: Taken) -> str:
    """Where this call server stands in a dialogue."""
    return "tandem" if taken.home is not None else "origin"
