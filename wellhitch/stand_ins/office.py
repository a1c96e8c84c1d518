"""A stand-in office: it listens for trunk links, does the work of dialogues on a one-line processor, answers
those for its own number and hands those in transit to its call server. The exchange's circuits outlive it:
a new processor that takes its place counts on."""

import asyncio
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from wellhitch.net.transport import Listener, Network, now_us
from wellhitch.stand_ins.processor import ColdStart, Job, Processor, WorkCosts
from wellhitch.stand_ins.recorder import Recorder
from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel
from wellhitch.trunk.circuits import TrunkGroup

REORDER_S = 0.5  # an answer that comes out of order is so late: several others are said meanwhile
TELL_EVERY_S = 0.05  # group counts to the call server at most so often


@dataclass(slots=True, eq=False)
class Trunks:
    """The exchange's end of its trunk groups, and the lines of the numbers called there."""

    number: int
    groups: dict[int, TrunkGroup]
    lines_per_number: int
    busy_lines: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class Leg:
    """One set-up that came in."""

    channel: Channel
    setup: frames.Setup
    arrived_at: int
    job: Job | None = None
    answered: bool = False
    established_at: int = 0
    holds_line: bool = False
    ended: bool = False
    onward_ref: int = 0  # ref on the home link, where in transit


@dataclass(slots=True)
class OfficeFaults:
    """What is wrong with an office now, as troubles set it."""

    lost_answers: float = 0.0
    reset_answers: float = 0.0  # in place of the answer, the dial is cut
    duplicated_answers: float = 0.0  # share of answers told twice
    reordered_answers: float = 0.0  # share of answers that come after later ones
    answers_after_release: bool = False  # answers again once released
    error_rate: float = 0.0
    report_age_us: int = 0
    sends_garbage: bool = False  # garbage bytes in place of the next answer


class Office:
    """One office, from its start until it is stopped."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        name: str,
        trunks: Trunks,
        recorder: Recorder,
        chance: random.Random,
        *,
        address: str,
        setup_us: float,
        queue_us: int,
        work: WorkCosts,
        cold: ColdStart,
        started: int | None,
        boot: int,
        finish_first: bool = False,
        cancel_drops: bool = False,
        tells_wait: bool = False,
        reports: str = "none",
        noise: float = 0.0,
    ) -> None:
        self.loop, self.name, self.trunks, self.recorder, self.rng = loop, name, trunks, recorder, chance
        self.costs, self.cancel_drops, self.tells_wait, self.reports = work, cancel_drops, tells_wait, reports
        self.processor = Processor(
            loop,
            setup_us,
            queue_us,
            cold,
            started,
            finish_first,
            self._processor_failed,
            self._work_noise(noise),
        )
        self.hello = frames.Hello("office", trunks.number, boot)
        self.faults = OfficeFaults()
        self.channels: dict[Channel, dict[int, Leg]] = {}
        self.transits: dict[int, Leg] = {}
        self.processing_steps: dict[tuple[Channel, int], Job] = {}
        self.counts: Counter[str] = Counter()
        self.listener: Listener | None = None
        self.address = address
        self.running = True
        self._next_onward_ref = 0
        self._load_history: deque[tuple[int, frames.Load]] = deque()
        self._unreported_groups: set[int] = set()
        self._report_scheduled = False
        network.listen(address, self._new_channel, self._ready)

    def _work_noise(self, noise: float) -> Callable[[], float] | None:
        """How many times its usual work a piece takes: log-normal around one, or always one."""
        if not noise:
            return None
        sigma = math.sqrt(math.log(1 + noise * noise))
        return lambda: self.rng.lognormvariate(-sigma * sigma / 2, sigma)

    def _ready(self, listener: Listener) -> None:
        self.listener = listener
        if not self.running:
            listener.close()

    def _new_channel(self) -> Channel:
        port: Channel
        port = Channel(
            self.loop,
            self,
            self.hello,
            ("call_server",),
            self.recorder.record_frame,
            lambda why: self._forget_channel(port),
        )
        self.channels[port] = {}
        return port

    def _forget_channel(self, port: Channel) -> None:
        self.channels.pop(port, None)  # also one that was lost before it said who it is

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def stop(self, why: str) -> None:
        """The processor is gone: every link breaks, all dialogues that touch it are cut."""
        if not self.running:
            return
        self.running = False
        self.recorder.record_note("stopped", why=why)
        self.processor.dead = True
        if self.listener:
            self.listener.close()
        for port in list(self.channels):
            port.fail("office stopped", notify_peer=False)

    def _processor_failed(self) -> None:
        self.counts["fell_over"] += 1
        self.recorder.record_note("fell_over")
        self.loop.call_soon(self.stop, "fell over")

    def own_call_server(self) -> Channel | None:
        """The link of the own call server."""
        for port in self.channels:
            own = port.connection.peer is not None and port.peer.number == self.trunks.number
            if own and port.transport and not port.transport.is_closing():
                return port
        return None

    # -- Owner --

    def channel_opened(self, port: Channel) -> None:
        """A call server came. An older link of the same one is half-open and goes."""
        for other in list(self.channels):
            if other is not port and other.connection.peer and other.peer.number == port.peer.number:
                other.fail("a newer link of the same call server", notify_peer=False)
                self._channel_lost(other)
        if port.peer.number == self.trunks.number:
            self._unreported_groups.update(self.trunks.groups)
            self._schedule_report()

    def channel_closed(self, port: Channel, why: str) -> None:
        """A call server's link is gone: what it held is freed."""
        self.recorder.record_connection_down(port)
        self._channel_lost(port)

    def _channel_lost(self, port: Channel) -> None:
        legs = self.channels.pop(port, None)
        if legs is None:
            return  # lost before, when a newer link of the same call server came
        for key in [key for key in self.processing_steps if key[0] is port]:
            del self.processing_steps[key]
        for leg in list(legs.values()):
            if leg.onward_ref:
                self._send_to_call_server(frames.Cancel(leg.onward_ref))
            self._report_carried(leg, "cut")
            self._end_leg(leg)
        if port.connection.peer and port.peer.number == self.trunks.number:
            # What a call server held that is gone is held by nobody; its next one tells anew.
            for number, group in self.trunks.groups.items():
                if group.remote_count:
                    group.remote_count = 0
                    self._group_changed(number)
            for leg in list(self.transits.values()):
                self._send_to_leg(
                    leg,
                    frames.Cut(leg.setup.dial_ref) if leg.answered else self._rejection(leg, "turned_back"),
                )
                self._end_leg(leg)

    def circuits_held(self, port: Channel) -> int:
        """Circuits held for this link's dials."""
        return sum(leg.setup.width for leg in self.channels.get(port, {}).values())

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """A call server says something."""
        match frame:
            case frames.Setup():
                self._setup(port, frame)
            case frames.Cancel(ref) | frames.Release(ref):
                self._release_or_cancel(port, ref, isinstance(frame, frames.Release))
            case frames.ProcessStep():
                self._process_step(port, frame)
            case frames.DropStep(ref):
                job = self.processing_steps.pop((port, ref), None)
                if job and self.cancel_drops:
                    self.processor.drop(job)
            case frames.GroupState():
                if port.peer.number == self.trunks.number and frame.number in self.trunks.groups:
                    self.trunks.groups[frame.number].remote_count = max(0, frame.held)
            case frames.Answer():
                self._transit_answered(frame.dial_ref)
            case frames.Reject() | frames.Cut():
                self._transit_ended(frame)
            case frames.Probe():
                self.processor.submit(
                    self.costs.lookup,
                    lambda: self._send(port, frames.LoadReport(self.load_report() or frames.Load())),
                )

    def _send(self, port: Channel, frame: frames.AnyFrame) -> None:
        if self.running:
            port.send(frame)

    def legs_from_exchange(self, number: int) -> list[Leg]:
        """Set-ups that hold circuits of the group from another exchange."""
        found = [
            legs
            for port, legs in self.channels.items()
            if port.connection.peer and port.peer.number == number
        ]
        return [leg for legs in found for leg in legs.values()]

    def cut_leg(self, leg: Leg) -> None:
        """A circuit is lost, and the dialogue on it."""
        self.counts["cut"] += 1
        if leg.onward_ref:
            self._send_to_call_server(
                frames.Release(leg.onward_ref) if leg.answered else frames.Cancel(leg.onward_ref)
            )
        self._report_carried(leg, "cut")
        self._end_leg(leg)
        self._send_to_leg(leg, frames.Cut(leg.setup.dial_ref))

    def resize(self, number: int, size: int) -> None:
        """A group has another number of circuits."""
        self.trunks.groups[number].size = size
        self._group_changed(number)

    def set_reading(self, on: bool) -> None:
        """Stop reading all links, or go on. The capture tells: what is read then was sent at a time not known."""
        self.recorder.record_note("reads_on" if on else "reads_nothing")
        for port in self.channels:
            if port.transport is not None and not port.transport.is_closing():
                (port.transport.resume_reading if on else port.transport.pause_reading)()

    def load_report(self) -> frames.Load | None:
        """The processor's figures, where it tells them; older where troubles say so."""
        if self.reports == "none":
            return None
        now = self.now()
        self._load_history.append((now, self._current_load(now)))
        while len(self._load_history) > 1 and self._load_history[1][0] <= now - self.faults.report_age_us:
            self._load_history.popleft()
        return self._load_history[0][1]

    def _current_load(self, now: int) -> frames.Load:
        wait = self.processor.wait(now)
        unit = self.processor.unit_us(now)
        return frames.Load(
            wait=wait if "wait" in self.reports else None,
            utilisation=min(1.0, wait / 1_000_000) if "utilisation" in self.reports else None,
            takes_per_s=1e6 / unit if "takes" in self.reports else None,
            hold_back=min(1.0, wait / self.processor.queue_us) if "hold_back" in self.reports else None,
        )

    # -- set-ups --

    def _setup(self, port: Channel, setup: frames.Setup) -> None:
        now = self.now()
        self.counts["setups"] += 1
        self.processor.count_setup(1.0, now)
        legs = self.channels.get(port)
        if legs is None or setup.dial_ref in legs:
            return
        leg = Leg(port, setup, now)
        group = self.trunks.groups.get(port.peer.number)
        if group is None or not group.seize(leg, setup.width):
            self.counts["no_circuit"] += 1
            self._send(port, self._rejection(leg, "no_circuit"))
            return
        legs[setup.dial_ref] = leg
        self._group_changed(port.peer.number)
        if self.processor.is_full(now):
            self.counts["processor_full"] += 1
            self._end_leg(leg)
            wait = self.processor.wait(now) if self.tells_wait else 0
            self.processor.submit(
                self.costs.reject,
                lambda: self._send(port, self._rejection(leg, "processor_full", wait)),
                True,
            )
            return
        if setup.destination == self.trunks.number:
            leg.job = self.processor.submit(1.0, lambda: self._complete_setup(leg))
        else:
            leg.job = self.processor.submit(self.costs.lookup, lambda: self._forward_transit(leg))

    def _rejection(self, leg: Leg, reason: str, wait: int = 0) -> frames.Reject:
        return frames.Reject(leg.setup.dial_ref, reason, wait, self.load_report())

    def _send_to_leg(self, leg: Leg, frame: frames.AnyFrame) -> None:
        self._send(leg.channel, frame)

    def _reject(self, leg: Leg, reason: str) -> None:
        self.counts[reason] += 1
        self._end_leg(leg)
        self._send_to_leg(leg, self._rejection(leg, reason))

    def _complete_setup(self, leg: Leg) -> None:
        """The set-up is worked on: the called line is free, or it is not."""
        if leg.ended:
            return
        called = leg.setup.called
        if self.faults.error_rate and self.rng.random() < self.faults.error_rate:
            self._reject(leg, "fault")
        elif called is not None and self.trunks.busy_lines[called] >= self.trunks.lines_per_number:
            self._reject(leg, "lines_busy")
        else:
            if called is not None:
                self.trunks.busy_lines[called] += 1
                leg.holds_line = True
            leg.job = self.processor.submit(self.costs.follow_up, lambda: self._answer(leg), True)

    def _answer(self, leg: Leg) -> None:
        if leg.ended:
            return
        leg.answered, leg.established_at = True, self.now()
        self.counts["answered"] += 1
        if self.faults.sends_garbage:
            self.faults.sends_garbage = False
            if leg.channel.transport:
                leg.channel.transport.write(b"\x01\x00\x00\x05\xc1\xc1\xc1\xc1\xc1")
            return
        if self._drop_answer(leg):
            return
        said = frames.Answer(leg.setup.dial_ref, self.load_report())
        if self.faults.reordered_answers and self.rng.random() < self.faults.reordered_answers:
            self.counts["answers_reordered"] += 1
            self.loop.call_later(REORDER_S, self._send_to_leg, leg, said)
            return
        self._send_to_leg(leg, said)
        if self.faults.duplicated_answers and self.rng.random() < self.faults.duplicated_answers:
            self._send_to_leg(leg, said)

    def _drop_answer(self, leg: Leg) -> bool:
        """Troubles of the way back: silence in place of the answer, or a reset."""
        lost, reset = self.faults.lost_answers, self.faults.reset_answers
        if not (lost or reset) or (drawn := self.rng.random()) >= lost + reset:
            return False
        self.counts["answers_lost"] += 1
        if drawn >= lost:
            self.cut_leg(leg)
        return True

    def _forward_transit(self, leg: Leg) -> None:
        """A dialogue in transit goes to the own call server, which decides."""
        home = self.own_call_server()
        if leg.ended:
            return
        if home is None:
            self._reject(leg, "turned_back")
            return
        self._next_onward_ref += 1
        leg.onward_ref = self._next_onward_ref
        self.transits[leg.onward_ref] = leg
        setup = leg.setup
        left = setup.left - (self.now() - leg.arrived_at)
        self._send(
            home,
            frames.Setup(
                leg.onward_ref,
                setup.origin,
                setup.dialogue,
                setup.dial,
                setup.use_case,
                setup.destination,
                setup.called,
                max(1, left),
                setup.width,
            ),
        )

    def _transit_answered(self, onward: int) -> None:
        leg = self.transits.get(onward)
        if leg and not leg.ended and not leg.answered:
            leg.answered = True
            if self._drop_answer(leg):
                return
            self._send_to_leg(leg, frames.Answer(leg.setup.dial_ref, self.load_report()))

    def _transit_ended(self, frame: frames.Reject | frames.Cut) -> None:
        leg = self.transits.get(frame.dial_ref)
        if leg is None:
            return
        if isinstance(frame, frames.Cut):
            self._end_leg(leg)
            self._send_to_leg(leg, frames.Cut(leg.setup.dial_ref))
        else:
            self._reject(leg, frame.reason if frame.reason in frames.REJECT_REASONS else "turned_back")

    def _release_or_cancel(self, port: Channel, ref: int, stood: bool) -> None:
        """The sender cancelled or released a set-up."""
        leg = self.channels.get(port, {}).get(ref)
        if leg is None:
            self._send(port, frames.Released(ref))
            return
        if leg.onward_ref:
            self._send_to_call_server(
                frames.Release(leg.onward_ref) if stood else frames.Cancel(leg.onward_ref)
            )
        if leg.job and self.cancel_drops and not stood:
            self.processor.drop(leg.job)
        if stood:
            self._report_carried(leg, "released")
        self._end_leg(leg)
        if self.faults.answers_after_release:
            self._send_to_leg(leg, frames.Answer(ref))
        self._send(port, frames.Released(ref))
        if stood:
            self.processor.submit(self.costs.follow_up, lambda: None, True)

    def _send_to_call_server(self, frame: frames.AnyFrame) -> None:
        home = self.own_call_server()
        if home:
            self._send(home, frame)

    def _report_carried(self, leg: Leg, how: str) -> None:
        """Tell the own call server, for its ledger, of a dialogue that stood here and is over."""
        if not leg.ended and leg.answered and not leg.onward_ref:
            setup, stood = leg.setup, self.now() - leg.established_at
            self._send_to_call_server(
                frames.CarriedDialogue(
                    setup.origin,
                    setup.dialogue,
                    setup.use_case,
                    setup.called,
                    setup.width,
                    how,
                    stood,
                    setup.dial,
                )
            )

    def _end_leg(self, leg: Leg) -> None:
        """Free all that a set-up holds here."""
        if leg.ended:
            return
        leg.ended = True
        self.channels.get(leg.channel, {}).pop(leg.setup.dial_ref, None)
        if leg.onward_ref:
            self.transits.pop(leg.onward_ref, None)
        if leg.holds_line and leg.setup.called is not None:
            self.trunks.busy_lines[leg.setup.called] -= 1
            if not self.trunks.busy_lines[leg.setup.called]:
                del self.trunks.busy_lines[leg.setup.called]
        group = self.trunks.groups.get(leg.channel.peer.number)
        if group and group.release(leg):
            self._group_changed(leg.channel.peer.number)

    # -- the own call server's --

    def _process_step(self, port: Channel, step: frames.ProcessStep) -> None:
        if port.peer.number != self.trunks.number:
            return
        now = self.now()
        ref, what = step.dial_ref, step.step
        if what == "setup" and self.processor.is_full(now):
            self.counts["own_full"] += 1
            self.processor.submit(
                self.costs.reject, lambda: self._send(port, frames.StepProcessed(ref, what, False)), True
            )
            return
        cost = {"setup": 1.0, "look": self.costs.lookup, "word": self.costs.peer_message}.get(
            what, self.costs.follow_up
        )
        ahead = what in ("answer", "release")
        if what in ("setup", "answer"):
            self.processing_steps[port, ref] = self.processor.submit(
                cost, lambda: self._step_processed(port, ref, what), ahead
            )
        else:
            self.processor.submit(cost, lambda: None, ahead)

    def _step_processed(self, port: Channel, ref: int, what: str) -> None:
        if self.processing_steps.pop((port, ref), None):
            self._send(port, frames.StepProcessed(ref, what))

    def _group_changed(self, number: int) -> None:
        self._unreported_groups.add(number)
        self._schedule_report()

    def _schedule_report(self) -> None:
        if not self._report_scheduled:
            self._report_scheduled = True
            self.loop.call_later(TELL_EVERY_S, self._report_groups)

    def _report_groups(self) -> None:
        self._report_scheduled = False
        home = self.own_call_server()
        if home and self.running:
            for number in sorted(self._unreported_groups):
                group = self.trunks.groups[number]
                home.send(frames.GroupState(number, group.local_count, group.size))
            self._unreported_groups.clear()
