"""The platform's call server as a pure state machine: messages and timers come in, its output goes to `ServerIO`.

It translates the platform's messages into events of the decision module and the module's actions into messages. Its own
checks are those for which the decision module lacks the information; each is explained where it is made. Free circuits
are not counted here, as the offices report them.
"""

from collections import Counter
from collections.abc import Hashable, Iterable

from wellhitch.board.codec import Update
from wellhitch.deciding.runner import Runner
from wellhitch.interface import actions as act
from wellhitch.interface import events as ev
from wellhitch.office_lines import codec as lines
from wellhitch.platform.cancelled_set_ups import CancelledSetUps, EarlierDials
from wellhitch.platform.ended_dials import EndedDials, LineOwner, line_owner
from wellhitch.platform.established import CAUSE_CUT, CAUSE_NORMAL, EstablishedCalls
from wellhitch.platform.load_reports import EMPTY_REPORT, load_report
from wellhitch.platform.office_list import EARLIEST_START_US, OfficeList
from wellhitch.platform.pending_calls import PendingCalls
from wellhitch.platform.records import DialState, EstablishedCall, OfficeRecord, PendingCall, PendingDial
from wellhitch.platform.server_io import ServerIO
from wellhitch.platform.set_up_request import SetUp, is_call_id, read_call_id, read_set_up
from wellhitch.sip import codec as sip

# Subtracted from each deadline, so that the answer is in time even if a turn of the loop is late by most of it. The
# operators allow 50 ms more on every limit.
ANSWER_MARGIN_US = 20_000
# After the deadline of a dial, in which an office may still send a line about it.
LATE_LINES_US = 5_000_000

RESULT_BY_CAUSE = {
    34: ev.DialResult.FULL,
    17: ev.DialResult.FAULT,
    47: ev.DialResult.FAULT,
    102: ev.DialResult.NOT_SENT,
}
"""Meaning of the cause of a release before the answer; any other cause is a reset."""
# Meaning of the note of a release before the answer.
RELEASE_CAUSE_BY_NOTE = {
    "no_circuit": ev.ReleaseCause.NO_CIRCUIT,
    "turned_back": ev.ReleaseCause.TURNED_BACK,
    "far_overload": ev.ReleaseCause.FAR_PROCESSOR_FULL,
    "overload": ev.ReleaseCause.PROCESSOR_FULL,
    "lines_busy": ev.ReleaseCause.LINES_BUSY,
}


class Core:
    """One exchange's call server on the platform: the state machine that `service.Service` connects to the network."""

    def __init__(
        self, configuration: ev.ServerStarted, max_open: int, loop_epoch_us: int, io: ServerIO
    ) -> None:
        """`loop_epoch_us`: Unix time in us at which the loop's clock was 0; converts the start times of discovery."""
        self.configuration, self.max_open, self.io = configuration, max_open, io
        self.number = (
            configuration.topology.own_number if configuration.topology.own_number is not None else -1
        )
        self.counts: Counter[str] = Counter()
        self.runner = Runner(self, io.start_timer, io.log, self.counts)
        self.exchange = self.runner.exchange
        self.pending = PendingCalls()
        self.pending_calls = self.pending.by_id
        self.pending_by_call_id = self.pending.by_call_id
        self.pending_by_connection = self.pending.by_connection
        self.office_list = OfficeList(
            self.number,
            configuration.permissions.may_probe,
            loop_epoch_us,
            io,
            self.feed,
            self._withdraw_waiting_dials,
        )
        self.offices = self.office_list.offices
        longest_deadline_us = max(
            (traffic_class.deadline for traffic_class in configuration.traffic_classes), default=0
        )
        self.ended_dials = EndedDials(longest_deadline_us + LATE_LINES_US)
        self.cancelled_set_ups = CancelledSetUps(longest_deadline_us + LATE_LINES_US)
        self.established = EstablishedCalls(
            io,
            self.offices,
            self.counts,
            self.ended_dials,
            self._call_ended,
            self.office_list.release_if_unused,
        )
        self.office_list.calls = self.established
        self.calls, self.releases = self.established.calls, self.established.releases
        # Health checks fail, so that the front end of the callers stops using this call server.
        self.stopping = False
        self.draining = False  # new set-ups are refused
        self._last_dialogue = 0
        self._traffic_classes = {
            traffic_class.name: traffic_class for traffic_class in configuration.traffic_classes
        }

    def start(self, known_updates: Iterable[Update], now: int) -> None:
        """Begin with the settings and the discovery updates known so far."""
        self.established.started_at = max(EARLIEST_START_US, now)
        self.feed(self.configuration, now)
        self.office_list.start(known_updates, now)

    # ---- decision module ----

    def feed(self, event: ev.Event, now: int) -> None:
        """Pass an event to the decision module and carry out its actions."""
        self.runner.feed(event, now)

    def decision_failed(self, dialogue: int, now: int) -> None:
        """Answer a dialogue on which the decision module raised an exception."""
        pending = self.pending_calls.get(dialogue)
        if pending:
            self._send_failure(pending, 500, "forfeited", "", now)

    def execute(self, action: act.Action, now: int) -> None:
        """Carry out one action of the decision module."""
        match action:
            case act.Send(dialogue, office, timeout):
                self._dial(dialogue, office, timeout, now)
            case act.Cancel(dialogue, number):
                pending = self.pending_calls.get(dialogue)
                if pending and pending.dial and pending.dial.number == number:
                    self._abandon_dial(pending.dial, ev.DialResult.CANCELLED, now)
            case act.Reject(dialogue, retry_after):
                if dialogue in self.pending_calls:
                    headers = f"X-Cooldown: {-(-retry_after // 1000)}\r\n" if retry_after else ""
                    self._send_failure(self.pending_calls[dialogue], 503, "pushed_back", headers, now)
            case act.Fail(dialogue):
                if dialogue in self.pending_calls:
                    self._send_failure(self.pending_calls[dialogue], 500, "forfeited", "", now)
            case act.SendPeerMessage(text):
                self.io.send_to_peers(text)
            case act.SubscribeDiscovery():
                pass  # discovery pushes its updates

    # ---- callers ----

    def caller_message(self, connection: Hashable, message: sip.Message, now: int) -> None:
        """Handle a message from a caller."""
        if isinstance(message, sip.Response):
            self.releases.answered(message.headers.get("call-id", ""), connection, message.status)
            return
        self.counts[f"caller.{message.method if message.method in KNOWN_METHODS else 'other'}"] += 1
        match message.method:
            case "INVITE":
                self._handle_invite(connection, message, now)
            case "ACK":
                pass  # not needed: an answer is never resent over a stream
            case "CANCEL":
                self._handle_cancel(connection, message, now)
            case "BYE":
                self._handle_bye(connection, message, now)
            case "OPTIONS":
                status = 503 if self.stopping else 200
                self.io.send_to_caller(connection, sip.response(status, sip.echo(message)))
            case "NOTIFY":
                pass  # only offices report trunk group states, on their own connections; it needs no answer
            case _:
                self.counts["door.method"] += 1
                self.io.send_to_caller(connection, sip.response(501, sip.echo(message)))

    def _reject_request(
        self, connection: Hashable, message: sip.Request, limit: str, status: int = 400
    ) -> None:
        """Refuse a request that was never accepted."""
        self.counts[f"door.{limit}"] += 1
        self.io.log(
            "request_refused",
            call=read_call_id(message),
            status=status,
            why=limit,
            caller=str(connection),
        )
        self.io.send_to_caller(connection, sip.response(status, sip.echo(message)))
        if status == 400 and not self.pending_on(connection) and not self.established_on(connection):
            # Ordinary callers send no invalid requests. Connections that do come by the hundreds and would use up the
            # descriptors.
            self.io.close_caller_connection(connection)

    def _handle_invite(self, connection: Hashable, message: sip.Request, now: int) -> None:
        set_up = read_set_up(message, self._traffic_classes)
        if isinstance(set_up, str):
            self._reject_request(connection, message, set_up)
            return
        if set_up.established_at is not None:
            self.releases.connection_used(connection, now)
            if set_up.call_id in self.pending_by_call_id:
                self.counts["stands_known"] += 1
            else:
                self.established.reported_by_caller(set_up.call_id, set_up.established_at, connection, now)
            return
        pending = self.pending_by_call_id.get(set_up.call_id)
        if pending is not None and pending.connection != connection and self.io.has_left(pending.connection):
            self._cancel(pending, "connection_lost", now)
            pending = None
        if pending is not None and pending.connection == connection:
            # Answers are matched by Call-ID alone: an answer to the second set-up would be taken for one to the first,
            # which would then have two. Neither is served, and the connection is closed.
            self.counts["door.id_twice_on_a_link"] += 1
            self.io.log("request_refused", call=set_up.call_id, status=400, why="id_twice_on_a_link")
            self._cancel(pending, "id_twice_on_a_link", now)
            self.io.send_to_caller(connection, sip.response(400, sip.echo(message)))
            self.io.close_caller_connection(connection)
        elif pending is not None or set_up.call_id in self.calls:
            self._reject_request(connection, message, "id_in_use")
        elif limit := self._limit_reached(connection):
            self._reject_request(connection, message, limit, 503)
        else:
            self.releases.connection_used(connection, now)
            self._accept(connection, message, set_up, now)

    def _limit_reached(self, connection: Hashable) -> str:
        """Why no set-up is accepted on a connection at present; empty if one is."""
        if self.draining:
            return "draining"
        if len(self.pending_calls) >= self.max_open:
            return "max_open"
        if not self.established.may_add(connection):
            return "calls_on_link"
        if not self.pending.may_add(connection, len(self.releases.connections)):
            return "bytes_on_link"
        return ""

    def _accept(self, connection: Hashable, message: sip.Request, set_up: SetUp, now: int) -> None:
        self.releases.forget(set_up.call_id)
        earlier_dials = self.cancelled_set_ups.take(set_up.call_id, now)
        self._last_dialogue += 1
        pending = PendingCall(
            self._last_dialogue,
            set_up.call_id,
            connection,
            sip.echo(message),
            set_up.traffic_class,
            set_up.called_number,
            set_up.description,
            set_up.destination,
            set_up.transit,
        )
        self.pending.add(pending)
        self.counts["taken"] += 1
        # Bounds the time left: an answer after the traffic class's deadline has no value.
        time_left = min(
            set_up.time_left,
            self._traffic_classes[set_up.traffic_class].deadline or set_up.time_left,
        )
        self.feed(
            ev.DialogueArrived(
                dialogue=pending.id,
                traffic_class=set_up.traffic_class,
                destination=set_up.destination,
                called_number=set_up.called_number,
                time_left=max(0, time_left - ANSWER_MARGIN_US),
                width=set_up.width,
                advised_tandem=set_up.advised_tandem,
                is_redial=set_up.is_redial,
                transit=set_up.transit,
                not_before=earlier_dials.not_before if earlier_dials else 0,
                may_have_run_at=earlier_dials.may_have_run_at if earlier_dials else None,
            ),
            now,
        )

    def _handle_cancel(self, connection: Hashable, message: sip.Request, now: int) -> None:
        """A caller cancels its set-up, on the connection on which it came."""
        self.io.send_to_caller(connection, sip.response(200, sip.echo(message)))
        call_id = read_call_id(message) or ""
        pending, call = self.pending_by_call_id.get(call_id), self.calls.get(call_id)
        if pending is not None and pending.connection == connection:
            self.io.send_to_caller(connection, sip.response(487, pending.echo))
            self._cancel(pending, "cancelled", now)
        elif call is not None and call.connection == connection:
            # The answer was already on its way: the caller cancelled before reading it and no longer waits for it.
            self.counts["cancel_crossed_answer"] += 1
            self.established.released_by_caller(call, "cancelled by its caller, across the answer", now)
            self.established.release_to_caller(call_id, CAUSE_NORMAL, connection, now)
        else:
            self.counts["strays.cancel"] += 1
            if pending is not None or call is not None:
                self.io.log("cancel_ignored", call=call_id, caller=str(connection))

    def _handle_bye(self, connection: Hashable, message: sip.Request, now: int) -> None:
        """A caller releases an established call, on any connection."""
        self.io.send_to_caller(connection, sip.response(200, sip.echo(message)))
        call_id = read_call_id(message) or ""
        call, pending = self.calls.get(call_id), self.pending_by_call_id.get(call_id)
        if call is not None:
            self.releases.connection_used(connection, now)
            self.established.released_by_caller(call, "released by its caller", now)
        elif pending is not None and pending.connection == connection:
            self.io.send_to_caller(connection, sip.response(487, pending.echo))
            self._cancel(pending, "released", now)
        else:
            self.counts["strays.bye"] += 1
            self.releases.forget(call_id)  # caller and office released at the same moment

    def caller_closing(self, connection: Hashable, now: int) -> None:
        """Answer each pending set-up on a caller's connection that this server is about to close."""
        for pending in list(self.pending_by_connection.get(connection, {}).values()):
            self._send_failure(pending, 500, "connection_closed", "", now)
            self.feed(ev.CallerLeft(pending.id), now)

    def caller_closed(self, connection: Hashable, now: int) -> None:
        """Cancel the pending set-ups of a caller's connection that is gone. Established calls are not tied to it."""
        for pending in list(self.pending_by_connection.get(connection, {}).values()):
            self._cancel(pending, "connection_lost", now)
        self.established.caller_connection_closed(connection)
        self.releases.connection_closed(connection, now)

    def pending_on(self, connection: Hashable) -> int:
        """How many set-ups are pending on a caller's connection."""
        return len(self.pending_by_connection.get(connection, ()))

    def established_on(self, connection: Hashable) -> int:
        """How many established calls were set up on a caller's connection."""
        return self.established.on_connection(connection)

    def _cancel(self, pending: PendingCall, why: str, now: int) -> None:
        """End a set-up whose caller no longer waits; it gets no answer. `why` is for the log."""
        self.counts["answer.gone"] += 1
        self.io.log(
            "set_up_given_up",
            call=pending.call_id,
            why=why,
            attempts=pending.dial_count,
            caller=str(pending.connection),
        )
        self.pending.remove(pending)
        dial = pending.dial
        self._remember_cancelled(pending, now)
        self.feed(ev.CallerLeft(pending.id), now)
        if dial is not None and dial.state is DialState.PENDING:
            self._end_dial(dial, now)
            self.office_list.release_if_unused(dial.office)

    def _remember_cancelled(self, pending: PendingCall, now: int) -> None:
        """Remember the dials of a set-up that is being cancelled: it may come again on another connection."""
        dialogue = self.exchange.dialogues.get(pending.id)
        if dialogue is None:
            return
        not_before, may_have_run_at = dialogue.not_before, dialogue.may_have_run_at
        if pending.dial is not None and pending.dial.connection is not None:
            not_before = now + self.configuration.release.release_wait
            may_have_run_at = pending.dial.started_at if may_have_run_at is None else may_have_run_at
        if not_before > now or may_have_run_at is not None:
            self.cancelled_set_ups.add(pending.call_id, EarlierDials(not_before, may_have_run_at), now)

    def _send_failure(self, pending: PendingCall, status: int, answer: str, headers: str, now: int) -> None:
        """Send the one final answer of a set-up that is not established, and forget the set-up."""
        self.counts[f"answer.{answer}"] += 1
        self.pending.remove(pending)
        sent = self.io.send_to_caller(
            pending.connection, sip.response(status, pending.echo, extra_headers=headers)
        )
        self.io.log(
            "set_up_refused",
            call=pending.call_id,
            status=status,
            why=answer,
            attempts=pending.dial_count,
            sent=sent,
            caller=str(pending.connection),
        )
        if pending.dial is not None:  # a dial is pending only after a fault in the decision module
            self._end_dial(pending.dial, now)

    # ---- dials ----

    def _dial(self, dialogue: int, office_id: str, timeout: int, now: int) -> None:
        """Dial an office. A dial that must not be sent is reported as not sent at once."""
        pending, office = self.pending_calls.get(dialogue), self.offices.get(office_id)
        if pending is None or pending.dial is not None:
            # Enforces rule 2: a dialogue never has two pending dials.
            self.counts["sends_refused"] += 1
            self.io.log("send_refused", dialogue=dialogue, office=office_id)
            return
        number = pending.dial_count
        pending.dial_count += 1
        self.counts["sends"] += 1
        if (
            office is None
            or office.state is not ev.OfficeState.READY
            or office.number == self.number
            or (pending.transit and office.number != pending.destination)
        ):
            # Enforces rule 3 and two rules of the platform: no dial goes to the own exchange, and a call in transit
            # goes only to its destination.
            self.counts["sends_kept_back"] += 1
            self._report_dial_end(
                pending.id,
                number,
                office_id,
                ev.DialResult.NOT_SENT,
                ev.ReleaseCause.NONE,
                ev.OfficeReport(),
                now,
            )
            return
        dial = pending.dial = PendingDial(
            pending, number, office, now, earlier_connections=self._earlier_connections(pending, office)
        )
        office.dials[pending.call_id] = dial
        dial.timer = self.io.start_timer(
            max(0, timeout), lambda fired_at: self._dial_timed_out(dial, fired_at)
        )
        line = lines.set_up(
            pending.call_id,
            pending.traffic_class,
            pending.called_number,
            max(1, timeout // 1000),
            pending.description,
        )
        if not self.io.send_dial(dial, line):
            self.counts["sends_without_connection"] += 1
            self._forget_dial(dial)
            self._dial_ended(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.NONE, ev.OfficeReport(), now)
        elif dial.connection is not None:
            office.liveness.set_up_sent(now)

    def _dial_timed_out(self, dial: PendingDial, now: int) -> None:
        if dial.state is DialState.PENDING:
            self._abandon_dial(dial, ev.DialResult.TIMED_OUT, now)

    def _abandon_dial(self, dial: PendingDial, result: ev.DialResult, now: int) -> None:
        self._end_dial(dial, now)
        self._dial_ended(dial, result, ev.ReleaseCause.NONE, ev.OfficeReport(), now)

    def _end_dial(self, dial: PendingDial, now: int) -> None:
        """End a dial from this side, and release it at its office if its set-up was sent."""
        connection = dial.connection
        if self._forget_dial(dial) or connection is None:
            return
        self._remember_ended(dial, now)
        self.established.release_dial(dial.office, dial.call.call_id, connection, now)

    def _forget_dial(self, dial: PendingDial) -> bool:
        """Mark a dial as ended; True where its set-up was never sent."""
        dial.end()
        if dial.timer is not None:
            dial.timer.cancel()
            dial.timer = None
        dial.call.dial = None
        if dial.office.dials.get(dial.call.call_id) is dial:
            del dial.office.dials[dial.call.call_id]
        return self.io.withdraw_dial(dial)

    def _remember_ended(self, dial: PendingDial, now: int) -> None:
        self.ended_dials.add(dial.office.id, dial.call.call_id, dial.connection, now)
        dial.call.ended_dials.append(dial)

    def _earlier_connections(self, pending: PendingCall, office: OfficeRecord) -> frozenset[Hashable]:
        """The connections on which lines about earlier dials of a call at an office may still arrive."""
        own = {dial.connection for dial in pending.ended_dials if dial.office is office}
        return self.ended_dials.connections(office.id, pending.call_id) | own

    def dial_connection_lost(self, dial: PendingDial, sent: bool, now: int) -> None:
        """The connection of a dial was lost, or none came up, in which case the set-up was not `sent` and has had no
        effect. If it was sent, its answer may have been lost with the connection: the call that may be established is
        released before the office is dialled again under the same Call-ID."""
        if dial.state is not DialState.PENDING:
            return
        self._forget_dial(dial)
        if sent and dial.office.state is not ev.OfficeState.GONE:
            self._remember_ended(dial, now)
            self.established.release_at_office(dial.office, dial.call.call_id, CAUSE_NORMAL, now)
        if sent:
            result = ev.DialResult.RESET
        else:
            # A dial that only needed another connection than those that are up says nothing about the office.
            result = ev.DialResult.NOT_SENT if dial.earlier_connections else ev.DialResult.UNREACHABLE
        self._dial_ended(dial, result, ev.ReleaseCause.NONE, ev.OfficeReport(), now)

    def _dial_ended(
        self,
        dial: PendingDial,
        result: ev.DialResult,
        cause: ev.ReleaseCause,
        report: ev.OfficeReport,
        now: int,
    ) -> None:
        self._report_dial_end(dial.call.id, dial.number, dial.office.id, result, cause, report, now)
        self.office_list.release_if_unused(dial.office)

    def _report_dial_end(
        self,
        dialogue: int,
        number: int,
        office_id: str,
        result: ev.DialResult,
        cause: ev.ReleaseCause,
        report: ev.OfficeReport,
        now: int,
        dialogue_over: bool = False,
    ) -> None:
        """Report the end of a dial to the decision module; `dialogue_over` where its call was established before."""
        self.counts[f"ending.{result.name.lower()}"] += 1
        if not dialogue_over:
            self.io.log(
                "attempt_ended",
                call=self.pending_calls[dialogue].call_id if dialogue in self.pending_calls else None,
                attempt=number,
                endpoint=office_id,
                ending=result.name.lower(),
                blame=cause.name.lower(),
            )
        if cause is not ev.ReleaseCause.NONE:
            self.counts[f"blame.{cause.name.lower()}"] += 1
        self.feed(ev.DialEnded(dialogue, number, office_id, result, cause, 0, dialogue_over, report), now)

    # ---- offices ----

    def office_bytes_received(self, office: OfficeRecord, connection: Hashable, now: int) -> None:
        """Bytes from an office confirm that it is running."""
        office.liveness.received(connection, now)
        office.received_at[connection] = now

    def office_line_received(
        self, office: OfficeRecord, connection: Hashable, line: lines.Line, now: int
    ) -> None:
        """Handle a complete line from an office."""
        match line.type:
            case "up":
                self._office_answered(office, connection, line, now)
            case "down":
                self._office_released(office, connection, line, now)
            case "gauge":
                report = load_report(line)
                if report != EMPTY_REPORT:
                    self.feed(ev.OfficeReported(office.id, False, True, report), now)
            case "ack":
                office.released.pop(line.call_id, None)
            case "wait" | "hb" | "hb_ok":
                pass
            case _:
                self.counts["strays.line"] += 1

    def _office_answered(
        self, office: OfficeRecord, connection: Hashable, line: lines.Line, now: int
    ) -> None:
        dial = office.dials.get(line.call_id)
        if dial is None or dial.connection is None:
            if not self.ended_dials.contains(office.id, line.call_id) or line.call_id in office.calls:
                self.counts["strays.up"] += 1
            elif line.call_id in self.pending_by_call_id:
                # The dial was released when it ended. Another release might overtake the next set-up with this Call-ID.
                self.counts["late_answers_ignored"] += 1
            else:
                # The dial was ended here while its answer was on the way: the call is released at the office.
                self.counts["late_answers_released"] += 1
                self.established.release_dial(office, line.call_id, connection, now)
            return
        owner = self._line_owner(dial, connection, False, now)
        if owner is LineOwner.EARLIER:
            # The earlier dial was released when it ended. Another release would end the later one too.
            self.counts["late_answers_ignored"] += 1
            return
        if owner is LineOwner.UNCERTAIN:
            self.counts["answers_uncertain"] += 1
            self._abandon_dial(dial, ev.DialResult.RESET, now)
            return
        body = None if line.description is None else line.description.encode("utf-8", "replace")
        if body is None or len(body) + len(dial.call.echo) + 256 > sip.MAX_MESSAGE_BYTES:
            self.counts["answers_unreadable"] += 1
            self._abandon_dial(dial, ev.DialResult.RESET, now)
            return
        pending = dial.call
        self._forget_dial(dial)
        self.pending.remove(pending)
        call = EstablishedCall(
            pending.call_id,
            office,
            pending.connection,
            pending.id,
            dial.number,
            now,
            dial.connection,
            dial.earlier_connections,
        )
        self.established.add(call, connection)
        self.counts["answer.stands"] += 1
        sent = not self.io.has_left(pending.connection) and self.io.send_to_caller(
            pending.connection, sip.response(200, pending.echo, body)
        )
        self.io.log(
            "call_established",
            call=pending.call_id,
            endpoint=office.id,
            attempts=pending.dial_count,
            ms=(now - dial.started_at) // 1000,
            sent=sent,
            caller=str(pending.connection),
        )
        self.feed(ev.DialogueEstablished(pending.id, dial.number, now - dial.started_at), now)
        if not sent:  # the caller's connection ended meanwhile, and nobody would know of the call
            self.established.released_by_caller(call, "its caller left before the answer", now)
            earlier_dials = EarlierDials(now + self.configuration.release.release_wait, dial.started_at)
            self.cancelled_set_ups.add(pending.call_id, earlier_dials, now)
        report = load_report(line)
        if report != EMPTY_REPORT:
            self.feed(ev.OfficeReported(office.id, False, True, report), now)

    def _office_released(
        self, office: OfficeRecord, connection: Hashable, line: lines.Line, now: int
    ) -> None:
        dial, call = office.dials.get(line.call_id), office.calls.get(line.call_id)
        q850_cause = CAUSE_CUT if line.cause is None else line.cause
        current = call if dial is None or dial.connection is None else dial
        if current is None:
            if is_call_id(line.call_id) and not self.ended_dials.contains(office.id, line.call_id):
                self.established.unknown_released(line.call_id, q850_cause, now)
            self.ended_dials.ended_by_office(office.id, line.call_id, connection)
            return
        may_end_call = q850_cause not in RESULT_BY_CAUSE
        owner = self._line_owner(current, connection, may_end_call, now)
        if owner is LineOwner.EARLIER:
            self.counts["late_refusals_ignored"] += 1
            self.io.log(
                "late_refusal",
                call=line.call_id,
                endpoint=office.id,
                cause=q850_cause,
                blame=_release_cause(line).name.lower(),
            )
            current.earlier_connections -= {connection}
            self.ended_dials.ended_by_office(office.id, line.call_id, connection)
            return
        certain = owner is LineOwner.CURRENT
        if isinstance(current, PendingDial):
            self._dial_released(current, line, q850_cause, certain, now)
        elif certain:
            self.established.released_by_office(current, connection, q850_cause, load_report(line), now)
        else:
            self.established.released_by_office_or_earlier(
                current, connection, q850_cause, load_report(line), now
            )

    def _line_owner(
        self, current: PendingDial | EstablishedCall, arrived_on: Hashable, may_end_call: bool, now: int
    ) -> LineOwner:
        """Whether a line is about the pending dial or established call of its Call-ID, or about an earlier dial."""
        earlier = current.earlier_connections
        if isinstance(current, PendingDial):
            return line_owner(arrived_on, current.connection, earlier, self.io.is_open, may_end_call)
        # The caller of an established call waits for its end; a pending dial times out in any case.
        earlier_may_end = self.ended_dials.end_may_arrive(current.office.id, current.call_id, now)
        return line_owner(
            arrived_on, current.office_connection, earlier, self.io.is_open, may_end_call, earlier_may_end
        )

    def _dial_released(
        self, dial: PendingDial, line: lines.Line, q850_cause: int, certain: bool, now: int
    ) -> None:
        """An office released a pending dial, or if that is not `certain`, maybe the call of an earlier one. The office
        may still have the dial then, and is sent a release too."""
        if q850_cause == CAUSE_NORMAL:
            # The call was established and has ended normally, but its answer was lost, so the dialogue is over.
            # Dialling again would establish a second call with the same Call-ID while the caller is owed a release of
            # the first.
            self.counts["answers_lost"] += 1
            if certain:
                self._forget_dial(dial)
            else:
                self._end_dial(dial, now)
            pending = dial.call
            self._report_dial_end(
                pending.id,
                dial.number,
                dial.office.id,
                ev.DialResult.ENDED_WELL,
                ev.ReleaseCause.NONE,
                load_report(line),
                now,
                True,
            )
            self._send_failure(pending, 500, "forfeited", "", now)
        elif certain:
            self._forget_dial(dial)
            result = RESULT_BY_CAUSE.get(q850_cause, ev.DialResult.RESET)
            cause = _release_cause(line)
            self._dial_ended(dial, result, cause, load_report(line), now)
        else:
            self.counts["releases_uncertain"] += 1
            self._abandon_dial(dial, ev.DialResult.RESET, now)

    def office_refused_connection(self, office: OfficeRecord) -> None:
        """An office without a connection refused a new one."""
        self.established.office_refused_connection(office)

    def office_connected(self, office: OfficeRecord, connection: Hashable, now: int) -> None:
        """A connection to an office is up."""
        self.established.connection_opened(office, connection, now)

    def office_connection_lost(
        self, office: OfficeRecord, connection: Hashable, resend: bool, now: int
    ) -> None:
        """A connection to an office is gone; `resend` where others may be used."""
        office.liveness.connection_closed(connection)
        self.established.connection_lost(office, connection, resend, now)

    def _call_ended(
        self, call: EstablishedCall, result: ev.DialResult, report: ev.OfficeReport, now: int
    ) -> None:
        """Report the end of an established call to the decision module, unless it is from before a restart."""
        if call.dialogue is not None:
            self._report_dial_end(
                call.dialogue,
                call.dial_number,
                call.office.id,
                result,
                ev.ReleaseCause.NONE,
                report,
                now,
                True,
            )
        self.office_list.release_if_unused(call.office)

    # ---- discovery ----

    def discovery_update(self, update: Update, now: int) -> None:
        """Apply an update from discovery."""
        self.office_list.update_received(update, now)

    def _withdraw_waiting_dials(self, office: OfficeRecord, now: int) -> None:
        """Enforces rule 3: a set-up that still waits for a connection to an office that drains is not sent."""
        for dial in list(office.dials.values()):
            if dial.connection is None:
                self.counts["kept_back.drained"] += 1
                self._forget_dial(dial)
                self._dial_ended(dial, ev.DialResult.NOT_SENT, ev.ReleaseCause.NONE, EMPTY_REPORT, now)

    # ---- peers and shutdown ----

    def peer_message_received(self, peer: int, text: bytes, now: int) -> None:
        """Pass a message from another call server to the decision module."""
        self.feed(ev.PeerMessageReceived(peer, text), now)

    @property
    def unanswered(self) -> int:
        """How many accepted set-ups have not been answered."""
        return len(self.pending_calls)

    def fail_all(self, now: int) -> None:
        """Before the process ends, answer every pending set-up and release the calls that may be lost."""
        for pending in list(self.pending_calls.values()):
            self._send_failure(pending, 500, "forfeited", "", now)
        self.established.cut_unconfirmed(now)


KNOWN_METHODS = frozenset(("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "NOTIFY"))


def _release_cause(line: lines.Line) -> ev.ReleaseCause:
    return RELEASE_CAUSE_BY_NOTE.get(str(line.fields.get("note", "")), ev.ReleaseCause.NONE)
