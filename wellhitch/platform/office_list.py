"""The list of offices as discovery tells it: a record of each, when it is connected, and when it is forgotten. Pure."""

from collections.abc import Callable, Iterable
from typing import Protocol

from wellhitch.board.codec import DRAINING, REMOVED, DiscoveryEntry, Update
from wellhitch.interface import events as ev
from wellhitch.platform.liveness import OfficeLiveness
from wellhitch.platform.records import OfficeRecord
from wellhitch.platform.server_io import ServerIO

# After the start, in which callers report their calls from before it; they do so once the front end uses this server
# again.
CALLS_REPORTED_WITHIN_US = 15_000_000
# Start times before the loop's clock was 0 count as this one.
EARLIEST_START_US = 1
# Indexed by the states of discovery.
OFFICE_STATES = (ev.OfficeState.READY, ev.OfficeState.DRAINING, ev.OfficeState.GONE)
assert (DRAINING, REMOVED) == (1, 2)


class CallsOfOffices(Protocol):
    """The established calls, which end with their office."""

    def office_gone(self, office: OfficeRecord) -> None:
        """An office is gone: its calls are cut soon."""

    def office_restarted(self, office: OfficeRecord, now: int) -> None:
        """An office has a new start: calls from before it have ended."""


class OfficeList:
    """The records of all offices that are listed, or gone with calls or dials left."""

    calls: CallsOfOffices  # set by the owner before the start

    def __init__(
        self,
        own_number: int,
        tests_allowed: bool,
        loop_epoch_us: int,
        io: ServerIO,
        feed: Callable[[ev.Event, int], None],
        withdraw_waiting_dials: Callable[[OfficeRecord, int], None],
    ) -> None:
        """`feed` passes an event to the decision module. `withdraw_waiting_dials` ends the dials of an office that wait
        for a connection."""
        self.offices: dict[str, OfficeRecord] = {}
        self._own_number, self._tests_allowed, self._loop_epoch_us = own_number, tests_allowed, loop_epoch_us
        self._io, self._feed, self._withdraw_waiting_dials = io, feed, withdraw_waiting_dials
        # Whether callers have had the time to report the calls from before the start.
        self._callers_reported_calls = False

    def start(self, known_updates: Iterable[Update], now: int) -> None:
        """Begin with the updates known so far. Connections are opened after all of them are applied. Draining offices
        are connected too: they may hold calls from before a restart, and send the releases of these on the first
        connection."""
        for update in known_updates:
            self._apply_update(update, ev.ListKind.CACHED, now)
        for office in list(self.offices.values()):
            self._apply_state(office, now)
            if office.state is ev.OfficeState.DRAINING and office.number != self._own_number:
                self._io.keep_connection(office)
        self._io.start_timer(CALLS_REPORTED_WITHIN_US, self._calls_reported)

    def _calls_reported(self, now: int) -> None:
        self._callers_reported_calls = True
        for office in list(self.offices.values()):
            self.release_if_unused(office)

    def update_received(self, update: Update, now: int) -> None:
        """Apply an update from discovery."""
        if update.heartbeat:
            return
        self._apply_update(update, ev.ListKind.FULL, now)
        for office in list(self.offices.values()):
            self._apply_state(office, now)

    def _apply_update(self, update: Update, kind_if_full: ev.ListKind, now: int) -> None:
        """Update the office records and feed the office list to the decision module, a full list as of kind
        `kind_if_full`."""
        taken = self._addresses_taken(update)
        # The record of an office that is gone is removed with its last call, maybe while its entry is applied.
        offices = [self._apply_entry(entry, now) for entry in update.entries]
        offices += self._replaced(taken, {entry.id for entry in update.entries})
        if update.full:
            listed_ids = {entry.id for entry in update.entries}
            for office in self.offices.values():
                if office.id not in listed_ids:
                    office.state = ev.OfficeState.GONE
        entries = tuple(
            ev.OfficeEntry(office.id, office.number, office.state, office.started_at) for office in offices
        )
        self._feed(ev.OfficeListReceived(kind_if_full if update.full else ev.ListKind.CHANGES, entries), now)

    def _addresses_taken(self, update: Update) -> dict[str, str]:
        """The addresses at which an update tells a new office, or one that has moved, and its id."""
        return {
            entry.address: entry.id
            for entry in update.entries
            if OFFICE_STATES[entry.state] is ev.OfficeState.READY
            and (entry.id not in self.offices or self.offices[entry.id].address != entry.address)
        }

    def _replaced(self, taken: dict[str, str], told_ids: set[str]) -> list[OfficeRecord]:
        """Mark the offices as gone whose address another one has taken: discovery may tell of their end later. What
        waits for a connection to them would reach the other one."""
        replaced = []
        for office in self.offices.values():
            successor = self.offices.get(taken.get(office.address, ""))
            if (
                successor is None
                or office.id in told_ids
                or office.state is ev.OfficeState.GONE
                or (office.started_at or 0) > (successor.started_at or office.started_at or 0)
            ):
                continue
            self._io.log("office_replaced", office=office.id, by=successor.id, calls=len(office.calls))
            office.state = ev.OfficeState.GONE
            office.released.clear()
            replaced.append(office)
        return replaced

    def _apply_entry(self, entry: DiscoveryEntry, now: int) -> OfficeRecord:
        state, started_at = OFFICE_STATES[entry.state], self._loop_time(entry.started_ms)
        office = self.offices.get(entry.id)
        if office is None or state is not office.state:
            self._io.log(
                "office", office=entry.id, number=entry.exchange, standing=state.name, started=started_at
            )
        if office is None:
            office = self.offices[entry.id] = OfficeRecord(
                entry.id,
                entry.exchange,
                entry.address,
                state,
                started_at,
                liveness=OfficeLiveness(self._tests_allowed, now),
            )
            return office
        restarted = started_at is not None and started_at != office.started_at
        office.state, office.started_at, office.number = state, started_at, entry.exchange
        if restarted:
            self.calls.office_restarted(office, now)
        if office.address != entry.address:
            # Set first: what is lost with the connections is sent again at the new address.
            office.address = entry.address
            self._io.drop_connections(office, True)
            if office.calls:
                self._io.keep_connection(office)
        return office

    def _loop_time(self, started_ms: int) -> int | None:
        """A start time of discovery in the loop's time, None where there is none. The offset is fixed at this server's
        start, so that the same start time always gives the same loop time."""
        if not started_ms:
            return None
        return max(EARLIEST_START_US, started_ms * 1000 - self._loop_epoch_us)

    def _apply_state(self, office: OfficeRecord, now: int) -> None:
        """Connect to an office that is ready; withdraw what was not sent to one that is draining or gone."""
        if office.number == self._own_number:
            return
        if office.state is ev.OfficeState.READY:
            self._io.keep_connection(office)
            return
        self._io.discard_unsent(office)  # enforces rule 3 for an office that does not read
        self._withdraw_waiting_dials(office, now)
        if office.state is ev.OfficeState.GONE and office.calls:
            self.calls.office_gone(office)
        self.release_if_unused(office)

    def release_if_unused(self, office: OfficeRecord) -> None:
        """Close the connections of an office that is draining or gone once it has no calls and no dials. The record of
        one that is gone is then removed, as records of replaced offices must not accumulate."""
        if office.state is ev.OfficeState.READY or office.calls or office.dials:
            return
        if office.state is ev.OfficeState.DRAINING and self._callers_reported_calls:
            self._io.close_idle_connections(office)
        if office.state is ev.OfficeState.GONE:
            self._io.drop_connections(office, False)
            if office.cut_timer is not None:
                office.cut_timer.cancel()
                office.cut_timer = None
            if self.offices.get(office.id) is office:
                del self.offices[office.id]
