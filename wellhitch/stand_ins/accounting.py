"""A stand-in accounting side: it takes files over, books each once in a store of its own, and answers with receipts. It
may be slow, answer twice, answer for the wrong file, lose the answer, or take half and die."""

import random
from collections import Counter
from dataclasses import dataclass

import msgspec

from wellhitch.ledger import export
from wellhitch.ledger.export import InvalidFileError
from wellhitch.store.engine import Engine
from wellhitch.store.records import Change

BOOKED, LAST, FILES = "booked", "last", "file"


@dataclass(slots=True)
class AccountingFaults:
    """What is wrong with it, as shares of the files that it is handed."""

    loses_answer: float = 0.0
    answers_twice: float = 0.0
    wrong_file: float = 0.0
    takes_half: float = 0.0


class LastBookedFile(msgspec.Struct, frozen=True, array_like=True):
    """The last file booked of an instance."""

    sequence: int
    mac: bytes


class BookedTotal(msgspec.Struct, frozen=True, array_like=True):
    """What is booked of a dialogue: the sum of its changes, and how many lines spoke of it."""

    tenant: str
    traffic_class: str
    billed: int
    lines: int


class Accounting:
    """One accounting side. Its store outlives it: begin another on the same engine after it died."""

    def __init__(
        self, engine: Engine, keys: dict[int, bytes], ills: AccountingFaults, chance: random.Random
    ) -> None:
        """`keys`: one an instance."""
        self.engine, self.keys, self.ills, self.chance = engine, keys, ills, chance
        self.counts: Counter[str] = Counter()
        self._receipts: list[bytes] = []

    def _last(self, instance: int) -> LastBookedFile:
        found = self.engine.get(LAST, instance.to_bytes(4, "big"))
        return (
            msgspec.msgpack.decode(found[1], type=LastBookedFile)
            if found
            else LastBookedFile(0, export.INITIAL_MAC)
        )

    def _file(self, instance: int, sequence: int) -> bytes | None:
        found = self.engine.get(FILES, _file_key(instance, sequence))
        return found[1] if found else None

    def hand_over(self, instance: int, data: bytes) -> list[bytes]:
        """A file, whole or not; the receipts that are said, in order."""
        if self.chance.random() < self.ills.takes_half:
            data = data[: self.chance.randrange(len(data) + 1)]
            self.counts["took_half"] += 1
        key = self.keys[instance]
        try:
            file = export.read_file(key, data)
        except InvalidFileError:
            self.counts["refused"] += 1
            return []
        if file.manifest.instance != instance:
            self.counts["refused"] += 1
            return []
        last = self._last(instance)
        held = self._file(instance, file.manifest.sequence)
        booked_mac = export.read_file(key, held).mac if held else None
        decision = export.evaluate_file(file, last.sequence, last.mac, booked_mac)
        if decision.action == "refuse":
            self.counts["refused"] += 1
            return []
        if decision.action == "give_back":
            self.counts["gave_back"] += 1
            wanted = range(file.manifest.sequence, last.sequence + 1)
            return [one for n in wanted if (one := self._file(instance, n))]
        receipt = export.make_receipt(key, file)
        if decision.action == "book":
            self._book(file, data)
        return self._answers(receipt)

    def _book(self, file: export.File, data: bytes) -> None:
        """All lines and the mark that they are booked, or nothing."""
        held: dict[bytes, BookedTotal] = {}
        for line in file.lines:
            key = line.origin.to_bytes(4, "big") + (line.dialogue & (1 << 64) - 1).to_bytes(8, "big")
            was = held.get(key)
            if was is None and (found := self.engine.get(BOOKED, key)):
                was = msgspec.msgpack.decode(found[1], type=BookedTotal)
            had, lines = (was.billed, was.lines) if was else (0, 0)
            held[key] = BookedTotal(line.tenant, line.traffic_class, had + line.change, lines + 1)
        changes = [Change(BOOKED, key, msgspec.msgpack.encode(one)) for key, one in held.items()]
        one = file.manifest
        mark = msgspec.msgpack.encode(LastBookedFile(one.sequence, file.mac))
        changes.append(Change(LAST, one.instance.to_bytes(4, "big"), mark))
        changes.append(Change(FILES, _file_key(one.instance, one.sequence), data))
        self.engine.commit(changes)
        self.counts["booked"] += 1

    def _answers(self, receipt: bytes) -> list[bytes]:
        out = [receipt]
        if self.chance.random() < self.ills.answers_twice:
            out.append(receipt)
        if self._receipts and self.chance.random() < self.ills.wrong_file:
            out.insert(0, self.chance.choice(self._receipts))
            self.counts["answered_for_another"] += 1
        if self.chance.random() < self.ills.loses_answer:
            self.counts["lost_answer"] += 1
            out = []
        self._receipts.append(receipt)
        return out

    def booked(self) -> dict[tuple[int, int], BookedTotal]:
        """All that is booked, by dialogue."""
        out = {}
        for one in self.engine.scan(BOOKED):
            assert isinstance(one, tuple)
            dialogue = int.from_bytes(one[0][4:], "big")
            out[int.from_bytes(one[0][:4], "big"), dialogue] = msgspec.msgpack.decode(
                one[2], type=BookedTotal
            )
        return out


def _file_key(instance: int, sequence: int) -> bytes:
    return instance.to_bytes(4, "big") + sequence.to_bytes(8, "big")
