"""The platform's call server without its sockets: messages and timers in, messages and timers out through `Outlet`.

It turns the platform's messages into the decisions' events and their actions into messages. What it adds are guards
for what the decisions cannot see, each said where it stands. Circuits are told by the offices, not counted here.
"""

from collections import Counter
from collections.abc import Hashable, Iterable
from functools import lru_cache

from wellhitch.adapter.codec import read_report
from wellhitch.board.codec import DRAINING, GONE, Notice, Row
from wellhitch.deciding.runner import Runner
from wellhitch.interface import actions as act
from wellhitch.interface import events as ev
from wellhitch.office_lines import codec as lines
from wellhitch.platform.door import SetUp, dialogue_id, read_set_up
from wellhitch.platform.established import CAUSE_CUT, CAUSE_OVER, EstablishedCalls
from wellhitch.platform.liveness import EndpointLiveness
from wellhitch.platform.outlet import Outlet
from wellhitch.platform.records import Call, DialOut, OfficeEnd, Step, Taken
from wellhitch.sip import codec as sip

# Taken off each deadline, so that the answer is there in time although a turn of the loop is late by most of it. The
# operators allow 50 ms more on every limit.
ANSWER_MARGIN_US = 20_000
# Characters of a load report; with four names it has some sixty.
MAX_LOAD_REPORT = 256
# After the start, in which callers name their calls from before it; they do so once the front takes it in again.
CALLS_NAMED_WITHIN_US = 15_000_000

ENDINGS = {
    34: ev.DialResult.FULL,
    17: ev.DialResult.FAULT,
    47: ev.DialResult.FAULT,
    102: ev.DialResult.NOT_SENT,
}
"""What a release before the answer means; any other cause is a reset."""
BLAMES = {
    "no_circuit": ev.ReleaseCause.NO_CIRCUIT,
    "turned_back": ev.ReleaseCause.TURNED_BACK,
    "far_overload": ev.ReleaseCause.FAR_PROCESSOR_FULL,
    "overload": ev.ReleaseCause.PROCESSOR_FULL,
    "lines_busy": ev.ReleaseCause.LINES_BUSY,
}
STANDINGS = (ev.OfficeState.READY, ev.OfficeState.DRAINING, ev.OfficeState.GONE)  # by the board's states


class Core:
    """One exchange's call server on the platform."""

    def __init__(self, opened: ev.ServerStarted, max_open: int, unix_at_zero: int, outlet: Outlet) -> None:
        """`unix_at_zero`: Unix time in us at nought of the loop's clock, by which the board's starts are read."""
        self.opened, self.max_open, self.unix_at_zero, self.outlet = opened, max_open, unix_at_zero, outlet
        self.number = opened.topology.own_number if opened.topology.own_number is not None else -1
        self.counts: Counter[str] = Counter()
        self.runner = Runner(self, outlet.timer, outlet.log, self.counts)
        self.exchange = self.runner.exchange
        self.taken: dict[int, Taken] = {}
        self.by_ref: dict[str, Taken] = {}
        self.by_link: dict[Hashable, dict[str, Taken]] = {}
        self.offices: dict[str, OfficeEnd] = {}
        self.established = EstablishedCalls(outlet, self.offices, self.counts, self._call_ended, self._let_go)
        self.calls, self.releases = self.established.calls, self.established.releases
        self.stopping = False  # tests fail, so that callers' front takes this call server out
        self.draining = False  # new set-ups are refused
        # A while after the start callers have named the calls that were up before it.
        self._callers_named_calls = False
        self._next_id = 0
        self._use_cases = {use.name: use for use in opened.traffic_classes}

    def start(self, known: Iterable[Notice], now: int) -> None:
        """Begin with the facts of the place and the list so far. Connections are opened once all of it is known, and to
        draining offices too: calls from before a restart may be up there, and their releases come on the first one."""
        self.feed(self.opened, now)
        for notice in known:
            self._take_notice(notice, ev.ListKind.CACHED, now)
        for end in list(self.offices.values()):
            self._follow_standing(end, now)
            if end.standing is ev.OfficeState.DRAINING and end.number != self.number:
                self.outlet.keep_links(end)
        self.outlet.timer(CALLS_NAMED_WITHIN_US, self._calls_named)

    def _calls_named(self, now: int) -> None:
        self._callers_named_calls = True
        for end in list(self.offices.values()):
            self._let_go(end)

    # ---- the decisions ----

    def feed(self, event: ev.Event, now: int) -> None:
        """Tell the decisions one event."""
        self.runner.feed(event, now)

    def decision_failed(self, dialogue: int, now: int) -> None:
        """The decisions raised on this dialogue: it gets its one final answer."""
        taken = self.taken.get(dialogue)
        if taken:
            self._refuse(taken, 500, "forfeited", "", now)

    def execute(self, action: act.Action, now: int) -> None:
        """Do one thing that the decisions ask for."""
        match action:
            case act.Send(dialogue, office, within):
                self._send(dialogue, office, within, now)
            case act.Cancel(dialogue, number):
                taken = self.taken.get(dialogue)
                if taken and taken.out and taken.out.number == number:
                    self._give_up_dial(taken.out, ev.DialResult.CANCELLED, now)
            case act.Reject(dialogue, come_back):
                if dialogue in self.taken:
                    more = f"X-Cooldown: {-(-come_back // 1000)}\r\n" if come_back else ""
                    self._refuse(self.taken[dialogue], 503, "pushed_back", more, now)
            case act.Fail(dialogue):
                if dialogue in self.taken:
                    self._refuse(self.taken[dialogue], 500, "forfeited", "", now)
            case act.SendPeerMessage(text):
                self.outlet.tell_peers(text)
            case act.SubscribeDiscovery():
                pass  # the board pushes on its own

    # ---- callers ----

    def caller_said(self, link: Hashable, message: sip.Message, now: int) -> None:
        """A whole message from a caller."""
        if isinstance(message, sip.Response):
            self.releases.heard(message.headers.get("call-id", ""), link)
            return
        self.counts[f"caller.{message.method if message.method in KNOWN else 'other'}"] += 1
        match message.method:
            case "INVITE":
                self._invited(link, message, now)
            case "ACK":
                pass  # nothing waits for it: an answer is never sent twice over a stream
            case "CANCEL":
                self._cancelled(link, message, now)
            case "BYE":
                self._caller_released(link, message, now)
            case "OPTIONS":
                status = 503 if self.stopping else 200
                self.outlet.to_caller(link, sip.response(status, sip.echo(message)))
            case "NOTIFY":
                pass  # a group's state is an office's to tell, on its own link; it wants no answer
            case _:
                self.counts["door.method"] += 1
                self.outlet.to_caller(link, sip.response(501, sip.echo(message)))

    def _turned_away(self, link: Hashable, message: sip.Request, limit: str, status: int = 400) -> None:
        """Refuse at the door what was never taken."""
        self.counts[f"door.{limit}"] += 1
        self.outlet.log("request_refused", call=dialogue_id(message), status=status, why=limit)
        self.outlet.to_caller(link, sip.response(status, sip.echo(message)))
        if status == 400 and not self.open_on(link) and not self.standing_on(link):
            # What no usual caller says: such connections come by the hundreds and would take up all descriptors.
            self.outlet.close_caller(link)

    def _invited(self, link: Hashable, message: sip.Request, now: int) -> None:
        set_up = read_set_up(message, self._use_cases)
        if isinstance(set_up, str):
            self._turned_away(link, message, set_up)
            return
        if set_up.at is not None:
            self.releases.used(link, now)
            if set_up.ref in self.by_ref:
                self.counts["stands_known"] += 1
            else:
                self.established.named(set_up.ref, set_up.at, link, now)
            return
        open_one = self.by_ref.get(set_up.ref)
        if open_one is not None and open_one.link == link:
            # Answers are told apart by the id alone: any to the second would be taken for the first one's, which
            # then had two. Neither is served, and the connection is closed.
            self.counts["door.id_twice_on_a_link"] += 1
            self.outlet.log("request_refused", call=set_up.ref, status=400, why="id_twice_on_a_link")
            self._gone(open_one, now)
            self.outlet.to_caller(link, sip.response(400, sip.echo(message)))
            self.outlet.close_caller(link)
        elif open_one is not None or set_up.ref in self.calls:
            self._turned_away(link, message, "id_in_use")
        elif self.draining:
            self._turned_away(link, message, "draining", 503)
        elif len(self.taken) >= self.max_open:
            self._turned_away(link, message, "max_open", 503)
        else:
            self.releases.used(link, now)
            self._take(link, message, set_up, now)

    def _take(self, link: Hashable, message: sip.Request, set_up: SetUp, now: int) -> None:
        self._next_id += 1
        taken = Taken(
            self._next_id,
            set_up.ref,
            link,
            sip.echo(message),
            set_up.use_case,
            set_up.key,
            set_up.description,
            set_up.destination,
            set_up.transit,
        )
        self.taken[taken.id] = self.by_ref[taken.ref] = taken
        self.by_link.setdefault(link, {})[taken.ref] = taken
        self.counts["taken"] += 1
        # Guards against a time without end: past the outer limit a dialogue is worth nothing to anybody.
        left = min(set_up.left, self._use_cases[set_up.use_case].deadline or set_up.left)
        self.feed(
            ev.DialogueArrived(
                dialogue=taken.id,
                traffic_class=set_up.use_case,
                destination=set_up.destination,
                called_number=set_up.key,
                time_left=max(0, left - ANSWER_MARGIN_US),
                width=set_up.width,
                advised_tandem=set_up.advised,
                is_redial=set_up.redialled,
                transit=set_up.transit,
            ),
            now,
        )

    def _cancelled(self, link: Hashable, message: sip.Request, now: int) -> None:
        """A caller gives up its set-up, on the connection on which it came."""
        self.outlet.to_caller(link, sip.response(200, sip.echo(message)))
        ref = dialogue_id(message) or ""
        taken, call = self.by_ref.get(ref), self.calls.get(ref)
        if taken is not None and taken.link == link:
            self.outlet.to_caller(link, sip.response(487, taken.echo))
            self._gone(taken, now)
        elif call is not None and call.link == link:
            # It crossed the answer: its caller has not seen that and waits no more.
            self.counts["cancel_crossed_answer"] += 1
            self.established.released_by_caller(call, now)
            self.established.tell_over(ref, CAUSE_OVER, link, now)
        else:
            self.counts["strays.cancel"] += 1

    def _caller_released(self, link: Hashable, message: sip.Request, now: int) -> None:
        """A caller ends a call that stands; that may come on any connection."""
        self.outlet.to_caller(link, sip.response(200, sip.echo(message)))
        ref = dialogue_id(message) or ""
        call, taken = self.calls.get(ref), self.by_ref.get(ref)
        if call is not None:
            self.releases.used(link, now)
            self.established.released_by_caller(call, now)
        elif taken is not None and taken.link == link:
            self.outlet.to_caller(link, sip.response(487, taken.echo))
            self._gone(taken, now)
        else:
            self.counts["strays.bye"] += 1
            self.releases.heard(ref, link)  # both ends released at the same moment

    def caller_closing(self, link: Hashable, now: int) -> None:
        """A caller's connection is about to be closed from here: each set-up that is open on it gets its answer."""
        for taken in list(self.by_link.get(link, {}).values()):
            self._refuse(taken, 500, "connection_closed", "", now)
            self.feed(ev.CallerLeft(taken.id), now)

    def caller_closed(self, link: Hashable, now: int) -> None:
        """A caller's connection is gone: its open set-ups are given up; calls that stand belong to no connection."""
        for taken in list(self.by_link.get(link, {}).values()):
            self._gone(taken, now)
        self.by_link.pop(link, None)
        self.releases.closed(link, now)

    def open_on(self, link: Hashable) -> int:
        """How many set-ups are open on a caller's connection."""
        return len(self.by_link.get(link, ()))

    def standing_on(self, link: Hashable) -> int:
        """How many calls stand whose set-up came on a caller's connection."""
        return self.established.on_connection(link)

    def _gone(self, taken: Taken, now: int) -> None:
        """The caller waits no more, and no answer is owed."""
        self.counts["answer.gone"] += 1
        self.outlet.log("set_up_given_up", call=taken.ref, attempts=taken.dials)
        self._forget(taken)
        dial = taken.out
        self.feed(ev.CallerLeft(taken.id), now)
        if dial is not None and dial.step is Step.OUT:
            self._end_dial(dial, now)
            self._let_go(dial.office)

    def _refuse(self, taken: Taken, status: int, answer: str, more: str, now: int) -> None:
        """The one final answer where it is not that the call stands; the dialogue is forgotten with it."""
        self.counts[f"answer.{answer}"] += 1
        self._forget(taken)
        sent = self.outlet.to_caller(taken.link, sip.response(status, taken.echo, more=more))
        self.outlet.log(
            "set_up_refused", call=taken.ref, status=status, why=answer, attempts=taken.dials, sent=sent
        )
        if taken.out is not None:  # given up while a dial is out: only after a fault in the decisions
            self._end_dial(taken.out, now)

    def _forget(self, taken: Taken) -> None:
        self.taken.pop(taken.id, None)
        self.by_ref.pop(taken.ref, None)
        held = self.by_link.get(taken.link)
        if held is not None:
            held.pop(taken.ref, None)
            if not held:
                del self.by_link[taken.link]

    # ---- dials ----

    def _send(self, dialogue: int, office: str, within: int, now: int) -> None:
        """Carry out a send. What cannot be sent comes back as not sent at once."""
        taken, end = self.taken.get(dialogue), self.offices.get(office)
        if taken is None or taken.out is not None:
            # Guards rule 2: never a second dial out for one dialogue.
            self.counts["sends_refused"] += 1
            self.outlet.log("send_refused", dialogue=dialogue, office=office)
            return
        number = taken.dials
        taken.dials += 1
        self.counts["sends"] += 1
        if (
            end is None
            or end.standing is not ev.OfficeState.READY
            or end.number == self.number
            or (taken.transit and end.number != taken.destination)
        ):
            # Guards rule 3, and what the platform calls a fault: the own exchange, or a call in transit to any but its
            # destination.
            self.counts["sends_kept_back"] += 1
            self._ended(
                taken.id, number, office, ev.DialResult.NOT_SENT, ev.ReleaseCause.NONE, ev.OfficeReport(), now
            )
            return
        dial = taken.out = DialOut(taken, number, end, now)
        end.dials[taken.ref] = dial
        dial.timer = self.outlet.timer(max(0, within), lambda at: self._overdue(dial, at))
        line = lines.new(taken.ref, taken.use_case, taken.key, max(1, within // 1000), taken.description)
        self.outlet.dial(dial, line)
        if dial.link is not None:
            end.liveness.set_up_sent(now)

    def _overdue(self, dial: DialOut, now: int) -> None:
        if dial.step is Step.OUT:
            self._give_up_dial(dial, ev.DialResult.TIMED_OUT, now)

    def _give_up_dial(self, dial: DialOut, ending: ev.DialResult, now: int) -> None:
        self._end_dial(dial, now)
        self._dial_ended(dial, ending, ev.ReleaseCause.NONE, ev.OfficeReport(), now)

    def _end_dial(self, dial: DialOut, now: int) -> None:
        """Give a dial up from this end, and tell its office where the set-up went out."""
        link = dial.link
        if self._over(dial) or link is None:
            return
        dial.office.remember_given_up(dial.taken.ref, now)
        self.outlet.to_office(dial.office, lines.down(dial.taken.ref, CAUSE_OVER), link)

    def _over(self, dial: DialOut) -> bool:
        """A dial is out no more; True where its set-up was never sent."""
        dial.end()
        if dial.timer is not None:
            dial.timer.cancel()
            dial.timer = None
        dial.taken.out = None
        if dial.office.dials.get(dial.taken.ref) is dial:
            del dial.office.dials[dial.taken.ref]
        return self.outlet.undial(dial)

    def dial_lost(self, dial: DialOut, reached: bool, now: int) -> None:
        """The link of a dial was lost, or never came up: then nothing ran. Where it went out, its answer may have been
        lost with the link; what stands there is released, before it is dialled again under its id."""
        if dial.step is not Step.OUT:
            return
        self._over(dial)
        if reached and dial.office.standing is not ev.OfficeState.GONE:
            dial.office.remember_given_up(dial.taken.ref, now)
            self.outlet.to_office(dial.office, lines.down(dial.taken.ref, CAUSE_OVER), None)
        ending = ev.DialResult.RESET if reached else ev.DialResult.UNREACHABLE
        self._dial_ended(dial, ending, ev.ReleaseCause.NONE, ev.OfficeReport(), now)

    def _dial_ended(
        self, dial: DialOut, ending: ev.DialResult, blame: ev.ReleaseCause, report: ev.OfficeReport, now: int
    ) -> None:
        self._ended(dial.taken.id, dial.number, dial.office.id, ending, blame, report, now)
        self._let_go(dial.office)

    def _ended(
        self,
        dialogue: int,
        number: int,
        office: str,
        ending: ev.DialResult,
        blame: ev.ReleaseCause,
        report: ev.OfficeReport,
        now: int,
        over: bool = False,
    ) -> None:
        self.counts[f"ending.{ending.name.lower()}"] += 1
        if not over:
            self.outlet.log(
                "attempt_ended",
                call=self.taken[dialogue].ref if dialogue in self.taken else None,
                attempt=number,
                endpoint=office,
                ending=ending.name.lower(),
                blame=blame.name.lower(),
            )
        if blame is not ev.ReleaseCause.NONE:
            self.counts[f"blame.{blame.name.lower()}"] += 1
        self.feed(ev.DialEnded(dialogue, number, office, ending, blame, 0, over, report), now)

    # ---- offices ----

    def office_heard(self, end: OfficeEnd, link: Hashable, now: int) -> None:
        """Bytes came from an office."""
        end.liveness.received(link, now)

    def office_said(self, end: OfficeEnd, link: Hashable, line: lines.Line, now: int) -> None:
        """A whole line from an office."""
        match line.t:
            case "up":
                self._up(end, link, line, now)
            case "down":
                self._down(end, link, line, now)
            case "gauge":
                report = _report(line)
                if report != NOTHING_TOLD:
                    self.feed(ev.OfficeReported(end.id, False, True, report), now)
            case "wait" | "ack" | "hb" | "hb_ok":
                pass
            case _:
                self.counts["strays.line"] += 1

    def _up(self, end: OfficeEnd, link: Hashable, line: lines.Line, now: int) -> None:
        dial = end.dials.get(line.ref)
        if dial is None or dial.link is None:
            if line.ref in end.given_up and line.ref not in end.calls:
                # The dial was given up here while its answer was on the way: what stands there is released.
                self.counts["late_answers_released"] += 1
                self.outlet.to_office(end, lines.down(line.ref, CAUSE_OVER), None)
            else:
                self.counts["strays.up"] += 1
            return
        body = None if line.d is None else line.d.encode("utf-8", "replace")
        if body is None or len(body) + len(dial.taken.echo) + 256 > sip.MAX_MESSAGE:
            self.counts["answers_unreadable"] += 1
            self._give_up_dial(dial, ev.DialResult.RESET, now)
            return
        taken = dial.taken
        self._over(dial)
        self._forget(taken)
        self.established.add(Call(taken.ref, end, taken.link, taken.id, dial.number, now), link)
        self.counts["answer.stands"] += 1
        sent = self.outlet.to_caller(taken.link, sip.response(200, taken.echo, body))
        self.outlet.log(
            "call_established",
            call=taken.ref,
            endpoint=end.id,
            attempts=taken.dials,
            ms=(now - dial.sent) // 1000,
            sent=sent,
        )
        self.feed(ev.DialogueEstablished(taken.id, dial.number, now - dial.sent), now)
        report = _report(line)
        if report != NOTHING_TOLD:
            self.feed(ev.OfficeReported(end.id, False, True, report), now)

    def _down(self, end: OfficeEnd, link: Hashable, line: lines.Line, now: int) -> None:
        dial, call = end.dials.get(line.ref), end.calls.get(line.ref)
        cause = CAUSE_CUT if line.c is None else line.c
        if dial is not None and dial.link is not None and cause == CAUSE_OVER:
            # The call has come to its end, and its answer was lost on the way: it stood, so the dialogue is over.
            # Dialled again it stood a second time under its id, while its caller was owed a release of the first.
            self.counts["answers_lost"] += 1
            self._over(dial)
            taken = dial.taken
            self._ended(
                taken.id,
                dial.number,
                end.id,
                ev.DialResult.ENDED_WELL,
                ev.ReleaseCause.NONE,
                _report(line),
                now,
                True,
            )
            self._refuse(taken, 500, "forfeited", "", now)
        elif dial is not None and dial.link is not None:
            self._over(dial)
            ending = ENDINGS.get(cause, ev.DialResult.RESET)
            blame = BLAMES.get(str(line.f.get("note", "")), ev.ReleaseCause.NONE)
            self._dial_ended(dial, ending, blame, _report(line), now)
        elif call is not None:
            self.established.released_by_endpoint(call, link, cause, _report(line), now)
        elif line.ref not in end.given_up:
            self.established.unknown_released(line.ref, cause, now)

    def office_refuses(self, end: OfficeEnd) -> None:
        """No link to an office is up and it refuses new ones."""
        self.established.endpoint_refuses(end)

    def office_reached(self, end: OfficeEnd, link: Hashable, now: int) -> None:
        """A link to an office is up."""
        self.established.connection_opened(end, link, now)

    def office_lost(self, end: OfficeEnd, link: Hashable) -> None:
        """A link to an office is gone."""
        end.liveness.connection_closed(link)

    def _call_ended(self, call: Call, ending: ev.DialResult, report: ev.OfficeReport, now: int) -> None:
        """An established call is over: the decisions hear of it, unless it is from before a restart."""
        if call.dialogue is not None:
            self._ended(
                call.dialogue, call.dial, call.office.id, ending, ev.ReleaseCause.NONE, report, now, True
            )
        self._let_go(call.office)

    # ---- the list ----

    def listed(self, notice: Notice, now: int) -> None:
        """The board told an event."""
        if notice.empty:
            return
        self._take_notice(notice, ev.ListKind.FULL, now)
        for end in list(self.offices.values()):
            self._follow_standing(end, now)

    def _take_notice(self, notice: Notice, whole: ev.ListKind, now: int) -> None:
        """Take over what an event says; `whole`: what the decisions are told where it is the whole list."""
        for row in notice.rows:
            self._listed_row(row, now)
        if notice.whole:
            named = {row.id for row in notice.rows}
            for end in self.offices.values():
                if end.id not in named:
                    end.standing = ev.OfficeState.GONE
        ends = [self.offices[row.id] for row in notice.rows]
        entries = tuple(ev.OfficeEntry(end.id, end.number, end.standing, end.started) for end in ends)
        self.feed(ev.OfficeListReceived(whole if notice.whole else ev.ListKind.CHANGES, entries), now)

    def _listed_row(self, row: Row, now: int) -> None:
        standing = STANDINGS[row.state]
        # By the offset taken at the start: one start read twice gives the same time, and no other.
        started = max(1, row.started_ms * 1000 - self.unix_at_zero) if row.started_ms else None
        end = self.offices.get(row.id)
        if end is None:
            tests_allowed = self.opened.permissions.may_probe
            self.offices[row.id] = OfficeEnd(
                row.id,
                row.cell,
                row.address,
                standing,
                started,
                liveness=EndpointLiveness(tests_allowed, now),
            )
            self.outlet.log("office", office=row.id, number=row.cell, standing=standing.name, started=started)
            return
        if standing is not end.standing:
            self.outlet.log("office", office=row.id, number=row.cell, standing=standing.name, started=started)
        new_start = started is not None and started != end.started
        end.standing, end.started, end.number = standing, started, row.cell
        if new_start:
            self.established.endpoint_restarted(end, now)
        if end.address != row.address:
            self.outlet.drop_links(end, True)
            end.address = row.address
            if end.calls:
                self.outlet.keep_links(end)

    def _follow_standing(self, end: OfficeEnd, now: int) -> None:
        if end.number == self.number:
            return
        if end.standing is ev.OfficeState.READY:
            self.outlet.keep_links(end)
            return
        self.outlet.unsent_stays(end)  # guards rule 3, against an office that does not read
        for dial in list(end.dials.values()):
            if dial.link is None:
                # Guards rule 3: a set-up that waits here for a link to an office that drains is taken back.
                self.counts["kept_back.drained"] += 1
                self._over(dial)
                self._dial_ended(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.NONE, ev.OfficeReport(), now)
        if end.standing is ev.OfficeState.GONE and end.calls:
            self.established.endpoint_gone(end)
        self._let_go(end)

    def _let_go(self, end: OfficeEnd) -> None:
        """Close the links of an office that drains or is gone once nothing is left there. One that is gone is
        forgotten with that: replaced ones must not pile up."""
        if end.standing is ev.OfficeState.READY or end.calls or end.dials:
            return
        if end.standing is ev.OfficeState.DRAINING and self._callers_named_calls:
            self.outlet.rest_links(end)
        if end.standing is ev.OfficeState.GONE:
            self.outlet.drop_links(end, False)
            if end.cut is not None:
                end.cut.cancel()
                end.cut = None
            if self.offices.get(end.id) is end:
                del self.offices[end.id]

    # ---- others ----

    def word(self, peer: int, text: bytes, now: int) -> None:
        """Another call server said something."""
        self.feed(ev.PeerMessageReceived(peer, text), now)

    @property
    def owed(self) -> int:
        """Dialogues taken that still wait for their answer."""
        return len(self.taken)

    def forfeit_all(self, now: int) -> None:
        """The time to stop is up: what is still owed is answered, and calls that may be gone are told over."""
        for taken in list(self.taken.values()):
            self._refuse(taken, 500, "forfeited", "", now)
        self.established.cut_unproved(now)


KNOWN = frozenset(("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "NOTIFY"))
assert (DRAINING, GONE) == (1, 2)  # STANDINGS is indexed by the board's states


NOTHING_TOLD = ev.OfficeReport()


def _report(line: lines.Line) -> ev.OfficeReport:
    load = line.f.get("load")
    if load is None:
        return NOTHING_TOLD
    return _read_load(load) if isinstance(load, str) and len(load) <= MAX_LOAD_REPORT else NOTHING_TOLD


@lru_cache(maxsize=1024)
def _read_load(load: str) -> ev.OfficeReport:
    """A load report's figures. Kept: offices tell fourteen a dialogue, of few different ones."""
    return read_report(lines.figures(load))
