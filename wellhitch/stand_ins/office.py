"""A simulated office: it listens for trunk connections, processes dialogues on a single-server queue, answers those for
its own exchange and forwards those in transit to its call server. The state of the exchange's circuits outlives it: the
office that replaces it continues with the same counts."""

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

REORDER_DELAY_S = 0.5  # the delay of a reordered answer: several others are sent meanwhile
REPORT_INTERVAL_S = 0.05  # minimum interval between reports of group counts to the call server


@dataclass(slots=True, eq=False)
class Trunks:
    """The exchange's end of its trunk groups, and the busy lines of its numbers."""

    number: int
    groups: dict[int, TrunkGroup]
    lines_per_number: int
    busy_lines: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class Leg:
    """One incoming set-up."""

    channel: Channel
    setup: frames.Setup
    arrived_at: int
    job: Job | None = None
    answered: bool = False
    established_at: int = 0
    holds_line: bool = False
    ended: bool = False
    onward_ref: int = 0  # reference on the own call server's connection, if in transit


@dataclass(slots=True)
class OfficeFaults:
    """The present faults of an office, set by fault injection."""

    lost_answers: float = 0.0
    reset_answers: float = 0.0  # share of answers replaced by a reset of the dial
    duplicated_answers: float = 0.0  # share of answers sent twice
    reordered_answers: float = 0.0  # share of answers sent after later ones
    answers_after_release: bool = False  # sends an answer again after the release
    error_rate: float = 0.0
    report_age_us: int = 0
    sends_garbage: bool = False  # sends undecodable bytes in place of the next answer


class Office:
    """One office, from its start until it is stopped."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        name: str,
        trunks: Trunks,
        recorder: Recorder,
        rng: random.Random,
        *,
        address: str,
        setup_us: float,
        queue_us: int,
        costs: WorkCosts,
        cold: ColdStart,
        started: int | None,
        boot: int,
        finish_first: bool = False,
        cancel_drops: bool = False,
        tells_wait: bool = False,
        reports: str = "none",
        noise: float = 0.0,
    ) -> None:
        self.loop, self.name, self.trunks, self.recorder, self.rng = loop, name, trunks, recorder, rng
        self.costs, self.cancel_drops, self.tells_wait, self.reports = (
            costs,
            cancel_drops,
            tells_wait,
            reports,
        )
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
        """The factor of the processing time of a job: log-normal with mean one, or none."""
        if not noise:
            return None
        sigma = math.sqrt(math.log(1 + noise * noise))
        return lambda: self.rng.lognormvariate(-sigma * sigma / 2, sigma)

    def _ready(self, listener: Listener) -> None:
        self.listener = listener
        if not self.running:
            listener.close()

    def _new_channel(self) -> Channel:
        channel: Channel
        channel = Channel(
            self.loop,
            self,
            self.hello,
            ("call_server",),
            self.recorder.record_frame,
            lambda reason: self._forget_channel(channel),
        )
        self.channels[channel] = {}
        return channel

    def _forget_channel(self, channel: Channel) -> None:
        self.channels.pop(channel, None)  # also one lost before the handshake

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def stop(self, reason: str) -> None:
        """Stop the office: every connection breaks, and all dialogues on it are cut."""
        if not self.running:
            return
        self.running = False
        self.recorder.record_note("stopped", why=reason)
        self.processor.dead = True
        if self.listener:
            self.listener.close()
        for channel in list(self.channels):
            channel.fail("office stopped", notify_peer=False)

    def _processor_failed(self) -> None:
        self.counts["fell_over"] += 1
        self.recorder.record_note("fell_over")
        self.loop.call_soon(self.stop, "fell over")

    def own_call_server(self) -> Channel | None:
        """The connection of the exchange's own call server."""
        for channel in self.channels:
            own = channel.connection.peer is not None and channel.peer.number == self.trunks.number
            if own and channel.transport and not channel.transport.is_closing():
                return channel
        return None

    # -- Owner --

    def channel_opened(self, channel: Channel) -> None:
        """A call server connected. An older connection of the same server is half-open and is closed."""
        for other in list(self.channels):
            if other is not channel and other.connection.peer and other.peer.number == channel.peer.number:
                other.fail("a newer connection of the same call server", notify_peer=False)
                self._channel_lost(other)
        if channel.peer.number == self.trunks.number:
            self._unreported_groups.update(self.trunks.groups)
            self._schedule_report()

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """A call server's connection is lost: release what it held."""
        self.recorder.record_connection_down(channel)
        self._channel_lost(channel)

    def _channel_lost(self, channel: Channel) -> None:
        legs = self.channels.pop(channel, None)
        if legs is None:
            return  # already closed in favour of a newer connection of the same call server
        for key in [key for key in self.processing_steps if key[0] is channel]:
            del self.processing_steps[key]
        for leg in list(legs.values()):
            if leg.onward_ref:
                self._send_to_call_server(frames.Cancel(leg.onward_ref))
            self._report_carried(leg, "cut")
            self._end_leg(leg)
        if channel.connection.peer and channel.peer.number == self.trunks.number:
            # The lost call server's circuits are free; its next connection reports its counts anew.
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

    def circuits_held(self, channel: Channel) -> int:
        """Circuits held for this connection's dials."""
        return sum(leg.setup.width for leg in self.channels.get(channel, {}).values())

    def frame_received(self, channel: Channel, frame: frames.AnyFrame) -> None:
        """Handle a frame from a call server."""
        match frame:
            case frames.Setup():
                self._setup(channel, frame)
            case frames.Cancel(dial_ref) | frames.Release(dial_ref):
                self._release_or_cancel(channel, dial_ref, isinstance(frame, frames.Release))
            case frames.ProcessStep():
                self._process_step(channel, frame)
            case frames.DropStep(dial_ref):
                job = self.processing_steps.pop((channel, dial_ref), None)
                if job and self.cancel_drops:
                    self.processor.drop(job)
            case frames.GroupState():
                if channel.peer.number == self.trunks.number and frame.number in self.trunks.groups:
                    self.trunks.groups[frame.number].remote_count = max(0, frame.held)
            case frames.Answer():
                self._transit_answered(frame.dial_ref)
            case frames.Reject() | frames.Cut():
                self._transit_ended(frame)
            case frames.Probe():
                self.processor.submit(
                    self.costs.lookup,
                    lambda: self._send(channel, frames.LoadReport(self.load_report() or frames.Load())),
                )

    def _send(self, channel: Channel, frame: frames.AnyFrame) -> None:
        if self.running:
            channel.send(frame)

    def legs_from_exchange(self, number: int) -> list[Leg]:
        """The set-ups that hold circuits of the group from another exchange."""
        found = [
            legs
            for channel, legs in self.channels.items()
            if channel.connection.peer and channel.peer.number == number
        ]
        return [leg for legs in found for leg in legs.values()]

    def cut_leg(self, leg: Leg) -> None:
        """Cut a set-up or dialogue whose circuit is lost."""
        self.counts["cut"] += 1
        if leg.onward_ref:
            self._send_to_call_server(
                frames.Release(leg.onward_ref) if leg.answered else frames.Cancel(leg.onward_ref)
            )
        self._report_carried(leg, "cut")
        self._end_leg(leg)
        self._send_to_leg(leg, frames.Cut(leg.setup.dial_ref))

    def resize(self, number: int, size: int) -> None:
        """Change the number of circuits of a group."""
        self.trunks.groups[number].size = size
        self._group_changed(number)

    def set_reading(self, enabled: bool) -> None:
        """Stop or resume reading all connections. Noted in the capture: the send time of late frames is unknown."""
        self.recorder.record_note("reads_on" if enabled else "reads_nothing")
        for channel in self.channels:
            if channel.transport is not None and not channel.transport.is_closing():
                (channel.transport.resume_reading if enabled else channel.transport.pause_reading)()

    def load_report(self) -> frames.Load | None:
        """The processor's load report, if it sends reports; an outdated one if a fault says so."""
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
            queue_wait=wait if "wait" in self.reports else None,
            utilisation=min(1.0, wait / 1_000_000) if "utilisation" in self.reports else None,
            accept_rate_per_s=1e6 / unit if "takes" in self.reports else None,
            load_reduction=min(1.0, wait / self.processor.queue_us) if "hold_back" in self.reports else None,
        )

    # -- set-ups --

    def _setup(self, channel: Channel, setup: frames.Setup) -> None:
        now = self.now()
        self.counts["setups"] += 1
        self.processor.count_setup(1.0, now)
        legs = self.channels.get(channel)
        if legs is None or setup.dial_ref in legs:
            return
        leg = Leg(channel, setup, now)
        group = self.trunks.groups.get(channel.peer.number)
        if group is None or not group.seize(leg, setup.width):
            self.counts["no_circuit"] += 1
            self._send(channel, self._rejection(leg, "no_circuit"))
            return
        legs[setup.dial_ref] = leg
        self._group_changed(channel.peer.number)
        if self.processor.is_full(now):
            self.counts["processor_full"] += 1
            self._end_leg(leg)
            wait = self.processor.wait(now) if self.tells_wait else 0
            self.processor.submit(
                self.costs.reject,
                lambda: self._send(channel, self._rejection(leg, "processor_full", wait)),
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
        """The set-up has been processed: answer it, or reject it if all lines of the number are busy."""
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
        answer = frames.Answer(leg.setup.dial_ref, self.load_report())
        if self.faults.reordered_answers and self.rng.random() < self.faults.reordered_answers:
            self.counts["answers_reordered"] += 1
            self.loop.call_later(REORDER_DELAY_S, self._send_to_leg, leg, answer)
            return
        self._send_to_leg(leg, answer)
        if self.faults.duplicated_answers and self.rng.random() < self.faults.duplicated_answers:
            self._send_to_leg(leg, answer)

    def _drop_answer(self, leg: Leg) -> bool:
        """Apply the faults of answers: whether this answer is lost or replaced by a reset."""
        lost, reset = self.faults.lost_answers, self.faults.reset_answers
        if not (lost or reset) or (draw := self.rng.random()) >= lost + reset:
            return False
        self.counts["answers_lost"] += 1
        if draw >= lost:
            self.cut_leg(leg)
        return True

    def _forward_transit(self, leg: Leg) -> None:
        """Forward a set-up in transit to the own call server, which decides on it."""
        call_server = self.own_call_server()
        if leg.ended:
            return
        if call_server is None:
            self._reject(leg, "turned_back")
            return
        self._next_onward_ref += 1
        leg.onward_ref = self._next_onward_ref
        self.transits[leg.onward_ref] = leg
        setup = leg.setup
        time_left = setup.left - (self.now() - leg.arrived_at)
        self._send(
            call_server,
            frames.Setup(
                leg.onward_ref,
                setup.origin,
                setup.dialogue,
                setup.dial,
                setup.use_case,
                setup.destination,
                setup.called,
                max(1, time_left),
                setup.width,
            ),
        )

    def _transit_answered(self, onward_ref: int) -> None:
        leg = self.transits.get(onward_ref)
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

    def _release_or_cancel(self, channel: Channel, dial_ref: int, established: bool) -> None:
        """The sender cancelled or released a set-up."""
        leg = self.channels.get(channel, {}).get(dial_ref)
        if leg is None:
            self._send(channel, frames.Released(dial_ref))
            return
        if leg.onward_ref:
            self._send_to_call_server(
                frames.Release(leg.onward_ref) if established else frames.Cancel(leg.onward_ref)
            )
        if leg.job and self.cancel_drops and not established:
            self.processor.drop(leg.job)
        if established:
            self._report_carried(leg, "released")
        self._end_leg(leg)
        if self.faults.answers_after_release:
            self._send_to_leg(leg, frames.Answer(dial_ref))
        self._send(channel, frames.Released(dial_ref))
        if established:
            self.processor.submit(self.costs.follow_up, lambda: None, True)

    def _send_to_call_server(self, frame: frames.AnyFrame) -> None:
        call_server = self.own_call_server()
        if call_server:
            self._send(call_server, frame)

    def _report_carried(self, leg: Leg, end_reason: str) -> None:
        """Report a finished dialogue that was established here to the own call server, for its ledger."""
        if not leg.ended and leg.answered and not leg.onward_ref:
            setup, duration_us = leg.setup, self.now() - leg.established_at
            self._send_to_call_server(
                frames.CarriedDialogue(
                    setup.origin,
                    setup.dialogue,
                    setup.use_case,
                    setup.called,
                    setup.width,
                    end_reason,
                    duration_us,
                    setup.dial,
                )
            )

    def _end_leg(self, leg: Leg) -> None:
        """Release everything that a set-up holds here."""
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

    # -- processing steps for the own call server --

    def _process_step(self, channel: Channel, step: frames.ProcessStep) -> None:
        if channel.peer.number != self.trunks.number:
            return
        now = self.now()
        dial_ref, step_name = step.dial_ref, step.step
        if step_name == "setup" and self.processor.is_full(now):
            self.counts["own_full"] += 1
            self.processor.submit(
                self.costs.reject,
                lambda: self._send(channel, frames.StepProcessed(dial_ref, step_name, False)),
                True,
            )
            return
        cost = {"setup": 1.0, "look": self.costs.lookup, "word": self.costs.peer_message}.get(
            step_name, self.costs.follow_up
        )
        ahead = step_name in ("answer", "release")
        if step_name in ("setup", "answer"):
            self.processing_steps[channel, dial_ref] = self.processor.submit(
                cost, lambda: self._step_processed(channel, dial_ref, step_name), ahead
            )
        else:
            self.processor.submit(cost, lambda: None, ahead)

    def _step_processed(self, channel: Channel, dial_ref: int, step_name: str) -> None:
        if self.processing_steps.pop((channel, dial_ref), None):
            self._send(channel, frames.StepProcessed(dial_ref, step_name))

    def _group_changed(self, number: int) -> None:
        self._unreported_groups.add(number)
        self._schedule_report()

    def _schedule_report(self) -> None:
        if not self._report_scheduled:
            self._report_scheduled = True
            self.loop.call_later(REPORT_INTERVAL_S, self._report_groups)

    def _report_groups(self) -> None:
        self._report_scheduled = False
        call_server = self.own_call_server()
        if call_server and self.running:
            for number in sorted(self._unreported_groups):
                group = self.trunks.groups[number]
                call_server.send(frames.GroupState(number, group.local_count, group.size))
            self._unreported_groups.clear()
