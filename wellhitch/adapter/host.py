"""Hosts one instance of the decisions for each call server and plays batches through them."""

import json
import traceback
from typing import Any, TextIO

from wellhitch.adapter import codec
from wellhitch.interface.actions import Action
from wellhitch.interface.events import Event, ListKind, OfficeListReceived
from wellhitch.interface.state import Exchange
from wellhitch.rules import decide


class BadBatch(Exception):
    """A line that is no batch."""


class Host:
    """All instances of this process; they share nothing but the numbered tables of the wire."""

    def __init__(self) -> None:
        self.exchanges: dict[int, Exchange] = {}
        self.tables: dict[int, list[Any]] = {}

    def play(self, batch: dict[str, Any]) -> list[list[Any]]:
        """Play one batch and return the messages of its reply."""
        now = codec.micros(batch["at_time_ns"])
        out: list[list[Any]] = []
        for message in batch["in"]:
            self.take(now, message, out)
        return out

    def take(self, now: int, m: list[Any], out: list[list[Any]]) -> None:
        """Take one message; an unknown name is skipped."""
        name = m[0]
        who = m[1]
        try:
            if name == "Table":
                self.tables[m[1]] = m[2] or []
                return
            if name == "Create":
                self.exchanges[who] = Exchange()
            elif name == "PowerOff":
                self.exchanges.pop(who, None)
            exchange = self.exchanges.get(who)
            event = self.read(m) if exchange else None
            if exchange and event:
                wanted: list[Action] = decide(exchange, event, now)
                out.extend(codec.write_action(who, action) for action in wanted)
        except Exception as fault:  # the day must end with a plain word of what broke, not with a dead pipe
            where = traceback.extract_tb(fault.__traceback__)[-1]
            text = f"{type(fault).__name__}: {fault} at {where.name}:{where.lineno} while taking {name}"
            out.append(["Bug", who, text])

    def read(self, m: list[Any]) -> Event | None:
        """The event a message stands for, or None for one that is not known."""
        name = m[0]
        if name == "Create":
            return codec.read_opened(m[2], m[3] or {})
        if name == "Fleet":
            heard = codec.LISTS[m[3]]
            rows = [] if heard is ListKind.FAILED else self.tables.get(m[2], [])
            return OfficeListReceived(heard, tuple(codec.read_entry(row) for row in rows))
        m = [*m, *[None] * (codec.LENGTHS.get(name, 0) - len(m))]
        reader = codec.READERS.get(name)
        return reader(m) if reader else None


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches line by line until the input ends; the return value is the exit status, 1 where the input is no
    batch or nobody reads the replies any more."""
    host, last = Host(), "none"
    while True:
        try:
            try:
                line = source.readline()
            except UnicodeDecodeError as fault:
                raise BadBatch(f"no text: {fault}") from None
            if not line:
                return 0
            try:
                batch = json.loads(line)
            except (ValueError, RecursionError) as fault:
                raise BadBatch(f"not JSON: {fault}") from None
            if not isinstance(batch, dict) or not isinstance(batch.get("in"), list):
                raise BadBatch("not an object with a list 'in'")
            clock = batch.get("at_time_ns")
            if not isinstance(clock, int) or isinstance(clock, bool) or "n" not in batch:
                raise BadBatch("no clock or no number")
            if not all(isinstance(m, list) and len(m) > 1 and isinstance(m[1], int) for m in batch["in"]):
                raise BadBatch("an event is not a list with a name and an instance")
        except BadBatch as fault:
            print(f"batch after {last}: {fault}", file=errors, flush=True)
            return 1
        last = str(batch["n"])
        reply = {"n": batch["n"], "outbox": host.play(batch)}
        try:
            sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
            sink.flush()
        except BrokenPipeError:
            print(f"batch {last}: nobody reads the reply", file=errors, flush=True)
            return 1
