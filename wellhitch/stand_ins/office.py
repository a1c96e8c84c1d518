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
    lines: int
    busy_lines: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class Leg:
    """One set-up that came in."""

    port: Channel
    setup: frames.Setup
    came: int
    job: Job | None = None
    answered: bool = False
    stands_since: int = 0
    counted_line: bool = False
    over: bool = False
    onward: int = 0  # ref on the home link, where in transit


@dataclass(slots=True)
class OfficeFaults:
    """What is wrong with an office now, as troubles set it."""

    lost_answers: float = 0.0
    reset_answers: float = 0.0  # in place of the answer, the dial is cut
    twice: float = 0.0  # share of answers told twice
    reordered: float = 0.0  # share of answers that come after later ones
    after_release: bool = False  # answers again once released
    error_rate: float = 0.0
    reports_late: int = 0
    garbage: bool = False  # garbage bytes in place of the next answer


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
        self.loop, self.name, self.trunks, self.recorder, self.chance = loop, name, trunks, recorder, chance
        self.work, self.cancel_drops, self.tells_wait, self.reports = work, cancel_drops, tells_wait, reports
        self.processor = Processor(
            loop, setup_us, queue_us, cold, started, finish_first, self._fell, self._drawn(noise)
        )
        self.hello = frames.Hello("office", trunks.number, boot)
        self.ills = OfficeFaults()
        self.ports: dict[Channel, dict[int, Leg]] = {}
        self.transits: dict[int, Leg] = {}
        self.passing: dict[tuple[Channel, int], Job] = {}
        self.counts: Counter[str] = Counter()
        self.listener: Listener | None = None
        self.address = address
        self.up = True
        self._next_onward = 0
        self._loads: deque[tuple[int, frames.Load]] = deque()
        self._untold: set[int] = set()
        self._telling = False
        network.listen(address, self._port, self._ready)

    def _drawn(self, noise: float) -> Callable[[], float] | None:
        """How many times its usual work a piece takes: log-normal around one, or always one."""
        if not noise:
            return None
        sigma = math.sqrt(math.log(1 + noise * noise))
        return lambda: self.chance.lognormvariate(-sigma * sigma / 2, sigma)

    def _ready(self, listener: Listener) -> None:
        self.listener = listener
        if not self.up:
            listener.close()

    def _port(self) -> Channel:
        port: Channel
        port = Channel(
            self.loop,
            self,
            self.hello,
            ("call_server",),
            self.recorder.tap,
            lambda why: self._forget_port(port),
        )
        self.ports[port] = {}
        return port

    def _forget_port(self, port: Channel) -> None:
        self.ports.pop(port, None)  # also one that was lost before it said who it is

    def now(self) -> int:
        """Time in us."""
        return now_us(self.loop)

    def stop(self, why: str) -> None:
        """The processor is gone: every link breaks, all dialogues that touch it are cut."""
        if not self.up:
            return
        self.up = False
        self.recorder.note("stopped", why=why)
        self.processor.dead = True
        if self.listener:
            self.listener.close()
        for port in list(self.ports):
            port.fail("office stopped", notify_peer=False)

    def _fell(self) -> None:
        self.counts["fell_over"] += 1
        self.recorder.note("fell_over")
        self.loop.call_soon(self.stop, "fell over")

    def home(self) -> Channel | None:
        """The link of the own call server."""
        for port in self.ports:
            own = port.connection.peer is not None and port.peer.number == self.trunks.number
            if own and port.transport and not port.transport.is_closing():
                return port
        return None

    # -- Owner --

    def channel_opened(self, port: Channel) -> None:
        """A call server came. An older link of the same one is half-open and goes."""
        for other in list(self.ports):
            if other is not port and other.connection.peer and other.peer.number == port.peer.number:
                other.fail("a newer link of the same call server", notify_peer=False)
                self._lost_port(other)
        if port.peer.number == self.trunks.number:
            self._untold.update(self.trunks.groups)
            self._tell_soon()

    def channel_closed(self, port: Channel, why: str) -> None:
        """A call server's link is gone: what it held is freed."""
        self.recorder.down(port)
        self._lost_port(port)

    def _lost_port(self, port: Channel) -> None:
        legs = self.ports.pop(port, None)
        if legs is None:
            return  # lost before, when a newer link of the same call server came
        for key in [key for key in self.passing if key[0] is port]:
            del self.passing[key]
        for leg in list(legs.values()):
            if leg.onward:
                self._onward(frames.Cancel(leg.onward))
            self._carried(leg, "cut")
            self._end(leg)
        if port.connection.peer and port.peer.number == self.trunks.number:
            # What a call server held that is gone is held by nobody; its next one tells anew.
            for number, group in self.trunks.groups.items():
                if group.remote_count:
                    group.remote_count = 0
                    self._changed(number)
            for leg in list(self.transits.values()):
                self._say(
                    leg, frames.Cut(leg.setup.dial_ref) if leg.answered else self._no(leg, "turned_back")
                )
                self._end(leg)

    def circuits_held(self, port: Channel) -> int:
        """Circuits held for this link's dials."""
        return sum(leg.setup.width for leg in self.ports.get(port, {}).values())

    def frame_received(self, port: Channel, frame: frames.AnyFrame) -> None:
        """A call server says something."""
        match frame:
            case frames.Setup():
                self._setup(port, frame)
            case frames.Cancel(ref) | frames.Release(ref):
                self._given_up(port, ref, isinstance(frame, frames.Release))
            case frames.ProcessStep():
                self._pass(port, frame)
            case frames.DropStep(ref):
                job = self.passing.pop((port, ref), None)
                if job and self.cancel_drops:
                    self.processor.drop(job)
            case frames.GroupState():
                if port.peer.number == self.trunks.number and frame.number in self.trunks.groups:
                    self.trunks.groups[frame.number].remote_count = max(0, frame.held)
            case frames.Answer():
                self._transit_answered(frame.dial_ref)
            case frames.Reject() | frames.Cut():
                self._transit_over(frame)
            case frames.Probe():
                self.processor.submit(
                    self.work.look, lambda: self._send(port, frames.LoadReport(self.load() or frames.Load()))
                )

    def _send(self, port: Channel, frame: frames.AnyFrame) -> None:
        if self.up:
            port.send(frame)

    def legs_from(self, number: int) -> list[Leg]:
        """Set-ups that hold circuits of the group from another exchange."""
        found = [
            legs for port, legs in self.ports.items() if port.connection.peer and port.peer.number == number
        ]
        return [leg for legs in found for leg in legs.values()]

    def cut(self, leg: Leg) -> None:
        """A circuit is lost, and the dialogue on it."""
        self.counts["cut"] += 1
        if leg.onward:
            self._onward(frames.Release(leg.onward) if leg.answered else frames.Cancel(leg.onward))
        self._carried(leg, "cut")
        self._end(leg)
        self._say(leg, frames.Cut(leg.setup.dial_ref))

    def resize(self, number: int, size: int) -> None:
        """A group has another number of circuits."""
        self.trunks.groups[number].size = size
        self._changed(number)

    def read(self, on: bool) -> None:
        """Stop reading all links, or go on. The capture tells: what is read then was sent at a time not known."""
        self.recorder.note("reads_on" if on else "reads_nothing")
        for port in self.ports:
            if port.transport is not None and not port.transport.is_closing():
                (port.transport.resume_reading if on else port.transport.pause_reading)()

    def load(self) -> frames.Load | None:
        """The processor's figures, where it tells them; older where troubles say so."""
        if self.reports == "none":
            return None
        now = self.now()
        self._loads.append((now, self._load_now(now)))
        while len(self._loads) > 1 and self._loads[1][0] <= now - self.ills.reports_late:
            self._loads.popleft()
        return self._loads[0][1]

    def _load_now(self, now: int) -> frames.Load:
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
        self.processor.pressed(1.0, now)
        legs = self.ports.get(port)
        if legs is None or setup.dial_ref in legs:
            return
        leg = Leg(port, setup, now)
        group = self.trunks.groups.get(port.peer.number)
        if group is None or not group.seize(leg, setup.width):
            self.counts["no_circuit"] += 1
            self._send(port, self._no(leg, "no_circuit"))
            return
        legs[setup.dial_ref] = leg
        self._changed(port.peer.number)
        if self.processor.full(now):
            self.counts["processor_full"] += 1
            self._end(leg)
            wait = self.processor.wait(now) if self.tells_wait else 0
            self.processor.submit(
                self.work.reject, lambda: self._send(port, self._no(leg, "processor_full", wait)), True
            )
            return
        if setup.destination == self.trunks.number:
            leg.job = self.processor.submit(1.0, lambda: self._terminate(leg))
        else:
            leg.job = self.processor.submit(self.work.look, lambda: self._hand_over(leg))

    def _no(self, leg: Leg, reason: str, wait: int = 0) -> frames.Reject:
        return frames.Reject(leg.setup.dial_ref, reason, wait, self.load())

    def _say(self, leg: Leg, frame: frames.AnyFrame) -> None:
        self._send(leg.port, frame)

    def _turn_back(self, leg: Leg, reason: str) -> None:
        self.counts[reason] += 1
        self._end(leg)
        self._say(leg, self._no(leg, reason))

    def _terminate(self, leg: Leg) -> None:
        """The set-up is worked on: the called line is free, or it is not."""
        if leg.over:
            return
        called = leg.setup.called
        if self.ills.error_rate and self.chance.random() < self.ills.error_rate:
            self._turn_back(leg, "fault")
        elif called is not None and self.trunks.busy_lines[called] >= self.trunks.lines:
            self._turn_back(leg, "lines_busy")
        else:
            if called is not None:
                self.trunks.busy_lines[called] += 1
                leg.counted_line = True
            leg.job = self.processor.submit(self.work.follow, lambda: self._answer(leg), True)

    def _answer(self, leg: Leg) -> None:
        if leg.over:
            return
        leg.answered, leg.stands_since = True, self.now()
        self.counts["answered"] += 1
        if self.ills.garbage:
            self.ills.garbage = False
            if leg.port.transport:
                leg.port.transport.write(b"\x01\x00\x00\x05\xc1\xc1\xc1\xc1\xc1")
            return
        if self._answer_is_lost(leg):
            return
        said = frames.Answer(leg.setup.dial_ref, self.load())
        if self.ills.reordered and self.chance.random() < self.ills.reordered:
            self.counts["answers_reordered"] += 1
            self.loop.call_later(REORDER_S, self._say, leg, said)
            return
        self._say(leg, said)
        if self.ills.twice and self.chance.random() < self.ills.twice:
            self._say(leg, said)

    def _answer_is_lost(self, leg: Leg) -> bool:
        """Troubles of the way back: silence in place of the answer, or a reset."""
        lost, reset = self.ills.lost_answers, self.ills.reset_answers
        if not (lost or reset) or (drawn := self.chance.random()) >= lost + reset:
            return False
        self.counts["answers_lost"] += 1
        if drawn >= lost:
            self.cut(leg)
        return True

    def _hand_over(self, leg: Leg) -> None:
        """A dialogue in transit goes to the own call server, which decides."""
        home = self.home()
        if leg.over:
            return
        if home is None:
            self._turn_back(leg, "turned_back")
            return
        self._next_onward += 1
        leg.onward = self._next_onward
        self.transits[leg.onward] = leg
        setup = leg.setup
        left = setup.left - (self.now() - leg.came)
        self._send(
            home,
            frames.Setup(
                leg.onward,
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
        if leg and not leg.over and not leg.answered:
            leg.answered = True
            if self._answer_is_lost(leg):
                return
            self._say(leg, frames.Answer(leg.setup.dial_ref, self.load()))

    def _transit_over(self, frame: frames.Reject | frames.Cut) -> None:
        leg = self.transits.get(frame.dial_ref)
        if leg is None:
            return
        if isinstance(frame, frames.Cut):
            self._end(leg)
            self._say(leg, frames.Cut(leg.setup.dial_ref))
        else:
            self._turn_back(leg, frame.reason if frame.reason in frames.REJECT_REASONS else "turned_back")

    def _given_up(self, port: Channel, ref: int, stood: bool) -> None:
        """The sender cancelled or released a set-up."""
        leg = self.ports.get(port, {}).get(ref)
        if leg is None:
            self._send(port, frames.Released(ref))
            return
        if leg.onward:
            self._onward(frames.Release(leg.onward) if stood else frames.Cancel(leg.onward))
        if leg.job and self.cancel_drops and not stood:
            self.processor.drop(leg.job)
        if stood:
            self._carried(leg, "released")
        self._end(leg)
        if self.ills.after_release:
            self._say(leg, frames.Answer(ref))
        self._send(port, frames.Released(ref))
        if stood:
            self.processor.submit(self.work.follow, lambda: None, True)

    def _onward(self, frame: frames.AnyFrame) -> None:
        home = self.home()
        if home:
            self._send(home, frame)

    def _carried(self, leg: Leg, how: str) -> None:
        """Tell the own call server, for its ledger, of a dialogue that stood here and is over."""
        if not leg.over and leg.answered and not leg.onward:
            setup, stood = leg.setup, self.now() - leg.stands_since
            self._onward(
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

    def _end(self, leg: Leg) -> None:
        """Free all that a set-up holds here."""
        if leg.over:
            return
        leg.over = True
        self.ports.get(leg.port, {}).pop(leg.setup.dial_ref, None)
        if leg.onward:
            self.transits.pop(leg.onward, None)
        if leg.counted_line and leg.setup.called is not None:
            self.trunks.busy_lines[leg.setup.called] -= 1
            if not self.trunks.busy_lines[leg.setup.called]:
                del self.trunks.busy_lines[leg.setup.called]
        group = self.trunks.groups.get(leg.port.peer.number)
        if group and group.release(leg):
            self._changed(leg.port.peer.number)

    # -- the own call server's --

    def _pass(self, port: Channel, step: frames.ProcessStep) -> None:
        if port.peer.number != self.trunks.number:
            return
        now = self.now()
        ref, what = step.dial_ref, step.step
        if what == "setup" and self.processor.full(now):
            self.counts["own_full"] += 1
            self.processor.submit(
                self.work.reject, lambda: self._send(port, frames.StepProcessed(ref, what, False)), True
            )
            return
        cost = {"setup": 1.0, "look": self.work.look, "word": self.work.word}.get(what, self.work.follow)
        ahead = what in ("answer", "release")
        if what in ("setup", "answer"):
            self.passing[port, ref] = self.processor.submit(
                cost, lambda: self._passed(port, ref, what), ahead
            )
        else:
            self.processor.submit(cost, lambda: None, ahead)

    def _passed(self, port: Channel, ref: int, what: str) -> None:
        if self.passing.pop((port, ref), None):
            self._send(port, frames.StepProcessed(ref, what))

    def _changed(self, number: int) -> None:
        self._untold.add(number)
        self._tell_soon()

    def _tell_soon(self) -> None:
        if not self._telling:
            self._telling = True
            self.loop.call_later(TELL_EVERY_S, self._tell)

    def _tell(self) -> None:
        self._telling = False
        home = self.home()
        if home and self.up:
            for number in sorted(self._untold):
                group = self.trunks.groups[number]
                home.send(frames.GroupState(number, group.local_count, group.size))
            self._untold.clear()
