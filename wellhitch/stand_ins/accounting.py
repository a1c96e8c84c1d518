"""A simulated accounting system: it receives export files, books each once in its own store, and answers with receipts.
It can be made to answer twice, answer for the wrong file, lose the receipt, or receive a truncated file."""

import random
from collections import Counter
from dataclasses import dataclass

import msgspec

from wellhitch.ledger import export
from wellhitch.ledger.export import InvalidFileError
from wellhitch.store.engine import Engine
from wellhitch.store.records import Change

BOOKED, LAST_FILE, FILES = "booked", "last", "file"


@dataclass(slots=True)
class AccountingFaults:
    """Injected faults, as shares of the files received."""

    loses_receipt: float = 0.0
    duplicates_receipt: float = 0.0
    sends_wrong_receipt: float = 0.0
    truncates_file: float = 0.0


class LastBookedFile(msgspec.Struct, frozen=True, array_like=True):
    """The last booked file of an instance."""

    sequence: int
    mac: bytes


class BookedTotal(msgspec.Struct, frozen=True, array_like=True):
    """The bookings of a dialogue: the sum of its changes, and the number of lines about it."""

    tenant: str
    traffic_class: str
    billed: int
    line_count: int


class Accounting:
    """One accounting system. Its store outlives it: after a crash, create another on the same engine."""

    def __init__(
        self, engine: Engine, keys: dict[int, bytes], faults: AccountingFaults, rng: random.Random
    ) -> None:
        """`keys`: the export key of each instance."""
        self.engine, self.keys, self.faults, self.rng = engine, keys, faults, rng
        self.counts: Counter[str] = Counter()
        self._sent_receipts: list[bytes] = []

    def _last_booked(self, instance: int) -> LastBookedFile:
        found = self.engine.get(LAST_FILE, instance.to_bytes(4, "big"))
        return (
            msgspec.msgpack.decode(found[1], type=LastBookedFile)
            if found
            else LastBookedFile(0, export.INITIAL_MAC)
        )

    def _booked_file(self, instance: int, sequence: int) -> bytes | None:
        found = self.engine.get(FILES, _file_key(instance, sequence))
        return found[1] if found else None

    def receive_file(self, instance: int, data: bytes) -> list[bytes]:
        """Receive a file, complete or not; returns the receipts sent, in order."""
        if self.rng.random() < self.faults.truncates_file:
            data = data[: self.rng.randrange(len(data) + 1)]
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
        last_booked = self._last_booked(instance)
        booked_file = self._booked_file(instance, file.manifest.sequence)
        booked_mac = export.read_file(key, booked_file).mac if booked_file else None
        decision = export.evaluate_file(file, last_booked.sequence, last_booked.mac, booked_mac)
        if decision.action == "refuse":
            self.counts["refused"] += 1
            return []
        if decision.action == "give_back":
            self.counts["gave_back"] += 1
            missing = range(file.manifest.sequence, last_booked.sequence + 1)
            return [file_data for n in missing if (file_data := self._booked_file(instance, n))]
        receipt = export.make_receipt(key, file)
        if decision.action == "book":
            self._book(file, data)
        return self._receipts_with_faults(receipt)

    def _book(self, file: export.File, data: bytes) -> None:
        """Book all lines and record the file as booked, in one transaction."""
        totals: dict[bytes, BookedTotal] = {}
        for line in file.lines:
            key = line.origin.to_bytes(4, "big") + (line.dialogue & (1 << 64) - 1).to_bytes(8, "big")
            total = totals.get(key)
            if total is None and (found := self.engine.get(BOOKED, key)):
                total = msgspec.msgpack.decode(found[1], type=BookedTotal)
            billed, lines = (total.billed, total.line_count) if total else (0, 0)
            totals[key] = BookedTotal(line.tenant, line.traffic_class, billed + line.change, lines + 1)
        changes = [Change(BOOKED, key, msgspec.msgpack.encode(entry)) for key, entry in totals.items()]
        manifest = file.manifest
        last_file = msgspec.msgpack.encode(LastBookedFile(manifest.sequence, file.mac))
        changes.append(Change(LAST_FILE, manifest.instance.to_bytes(4, "big"), last_file))
        changes.append(Change(FILES, _file_key(manifest.instance, manifest.sequence), data))
        self.engine.commit(changes)
        self.counts["booked"] += 1

    def _receipts_with_faults(self, receipt: bytes) -> list[bytes]:
        result = [receipt]
        if self.rng.random() < self.faults.duplicates_receipt:
            result.append(receipt)
        if self._sent_receipts and self.rng.random() < self.faults.sends_wrong_receipt:
            result.insert(0, self.rng.choice(self._sent_receipts))
            self.counts["answered_for_another"] += 1
        if self.rng.random() < self.faults.loses_receipt:
            self.counts["lost_answer"] += 1
            result = []
        self._sent_receipts.append(receipt)
        return result

    def booked_totals(self) -> dict[tuple[int, int], BookedTotal]:
        """All bookings, by dialogue."""
        result = {}
        for entry in self.engine.scan(BOOKED):
            assert isinstance(entry, tuple)
            dialogue = int.from_bytes(entry[0][4:], "big")
            result[int.from_bytes(entry[0][:4], "big"), dialogue] = msgspec.msgpack.decode(
                entry[2], type=BookedTotal
            )
        return result


def _file_key(instance: int, sequence: int) -> bytes:
    return instance.to_bytes(4, "big") + sequence.to_bytes(8, "big")
