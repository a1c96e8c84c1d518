"""Hosts one state of the decision module for each call server and processes batches of wire messages."""

import json
import traceback
from typing import Any, TextIO

from wellhitch.adapter import codec
from wellhitch.interface.actions import Action
from wellhitch.interface.events import Event, ListKind, OfficeListReceived
from wellhitch.interface.state import Exchange
from wellhitch.rules import decide


class InvalidBatch(Exception):
    """An input line is not a valid batch."""


class Host:
    """All instances of this process. They share nothing but the numbered office tables of the wire protocol."""

    def __init__(self) -> None:
        self.exchanges: dict[int, Exchange] = {}
        self.tables: dict[int, list[Any]] = {}

    def process_batch(self, batch: dict[str, Any]) -> list[list[Any]]:
        """Process one batch and return the messages of the reply."""
        now = codec.to_micros(batch["at_time_ns"])
        out: list[list[Any]] = []
        for message in batch["in"]:
            self.process(now, message, out)
        return out

    def process(self, now: int, message: list[Any], out: list[list[Any]]) -> None:
        """Process one message. A message with an unknown name is ignored."""
        name = message[0]
        instance = message[1]
        try:
            if name == "Table":
                self.tables[message[1]] = message[2] or []
                return
            if name == "Create":
                self.exchanges[instance] = Exchange()
            elif name == "PowerOff":
                self.exchanges.pop(instance, None)
            exchange = self.exchanges.get(instance)
            event = self.read_event(message) if exchange else None
            if exchange and event:
                actions: list[Action] = decide(exchange, event, now)
                out.extend(codec.write_action(instance, action) for action in actions)
        except Exception as error:  # the simulator gets the error in a message instead of a closed pipe
            frame = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__}: {error} at {frame.name}:{frame.lineno} while taking {name}"
            out.append(["Bug", instance, text])

    def read_event(self, message: list[Any]) -> Event | None:
        """The event of a message, or None if its name is unknown."""
        name = message[0]
        if name == "Create":
            return codec.read_server_started(message[2], message[3] or {})
        if name == "Fleet":
            list_kind = codec.LIST_KINDS[message[3]]
            rows = [] if list_kind is ListKind.FAILED else self.tables.get(message[2], [])
            return OfficeListReceived(list_kind, tuple(codec.read_entry(row) for row in rows))
        message = [*message, *[None] * (codec.FIELD_COUNTS.get(name, 0) - len(message))]
        reader = codec.READERS.get(name)
        return reader(message) if reader else None


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches line by line until the input ends. Returns the exit status: 1 if a line is not a valid batch or
    the reader of the replies has closed its end."""
    host, last_batch = Host(), "none"
    while True:
        try:
            try:
                line = source.readline()
            except UnicodeDecodeError as error:
                raise InvalidBatch(f"not valid UTF-8 text: {error}") from None
            if not line:
                return 0
            try:
                batch = json.loads(line)
            except (ValueError, RecursionError) as error:
                raise InvalidBatch(f"not JSON: {error}") from None
            if not isinstance(batch, dict) or not isinstance(batch.get("in"), list):
                raise InvalidBatch("not an object with a list in 'in'")
            clock = batch.get("at_time_ns")
            if not isinstance(clock, int) or isinstance(clock, bool) or "n" not in batch:
                raise InvalidBatch("no integer 'at_time_ns' or no 'n'")
            if not all(
                isinstance(message, list) and len(message) > 1 and isinstance(message[1], int)
                for message in batch["in"]
            ):
                raise InvalidBatch(
                    "a message in 'in' is not a list that begins with a name and an instance number"
                )
        except InvalidBatch as error:
            print(f"batch after {last_batch}: {error}", file=errors, flush=True)
            return 1
        last_batch = str(batch["n"])
        reply = {"n": batch["n"], "outbox": host.process_batch(batch)}
        try:
            sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
            sink.flush()
        except BrokenPipeError:
            print(f"batch {last_batch}: the reader of the replies is gone", file=errors, flush=True)
            return 1
