"""Export to the accounting side: each settled figure is booked exactly once. Pure.

What 'exactly once' rests on, and on nothing else:

1. Files of one instance carry a sequence without gaps, and the MAC of a key that only the two sides have, over the
   whole file, sequence and the MAC of the file before. A file is never made anew under its number: it is on the store
   before its first byte is handed over, and handed over as it is until its receipt is there.
2. The accounting side books a file and notes its sequence in one transaction of its own, takes only the next of
   each instance, and answers a file it has booked already, by its MAC, with the same receipt. Another file under a
   number that is booked is refused, and the booked ones from there on are given back.
3. The receipt names the file's sequence and MAC, under the key. Only the receipt of the very file ends its handing
   over.

4. An instance that came back with an old disk, or none, learns by 2 what it had exported: it takes the given-back files
   as its own, and settles on from their figures.

So a cut anywhere leaves a file not booked and handed over again, or booked and answered again. What neither side can
mend is a side that loses what it called safe: the receipt's key then shows which."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from blake3 import blake3

from wellhitch.ledger.settle import DialogueId, Settled

MAX_LINES_PER_FILE = 10_000  # of a file: some 1.5 MB, a second of a slow line
MAC_BYTES = 32
RETRY_INTERVAL_US = 5_000_000  # us until a file without a receipt is handed over again
INITIAL_MAC = bytes(MAC_BYTES)


class ExportLine(msgspec.Struct, frozen=True, array_like=True):
    """One dialogue's figure, or the change of one exported before: `billed` is what holds now, `change` what is to be
    added to what was booked. `corrects` names the period in which it was first exported, empty for a new one."""

    origin: int
    dialogue: int
    tenant: str
    traffic_class: str
    destination: int
    width: int
    ended: int
    billed: int
    change: int
    corrects: str = ""
    tags: tuple[str, ...] = ()


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """What a file is. `before`: the MAC of the file before."""

    instance: int
    sequence: int
    period: str
    lines: int
    change: int
    before: bytes


class File(msgspec.Struct, frozen=True, array_like=True):
    """A file: its manifest, its lines, the MAC over both."""

    manifest: Manifest
    lines: tuple[ExportLine, ...]
    mac: bytes


class Receipt(msgspec.Struct, frozen=True, array_like=True):
    """The accounting side has booked a file. `mac` is the file's, `seal` the accounting side's over all of it."""

    instance: int
    sequence: int
    mac: bytes
    seal: bytes


class InvalidFileError(Exception):
    """Bytes that are no file or receipt of this key, with why."""


_ENCODER = msgspec.msgpack.Encoder()
_FILES = msgspec.msgpack.Decoder(File)
_RECEIPTS = msgspec.msgpack.Decoder(Receipt)


def _mac(key: bytes, what: bytes, *parts: object) -> bytes:
    return blake3(what + _ENCODER.encode(parts), key=key).digest(MAC_BYTES)


def make_file(
    key: bytes, instance: int, sequence: int, period: str, lines: Iterable[ExportLine], before: bytes
) -> bytes:
    """A file's bytes."""
    all_lines = tuple(lines)
    change = sum(one.change for one in all_lines)
    manifest = Manifest(instance, sequence, period, len(all_lines), change, before)
    return _ENCODER.encode(File(manifest, all_lines, _mac(key, b"file", manifest, all_lines)))


def read_file(key: bytes, data: bytes) -> File:
    """A file. Raises BadFile; total."""
    try:
        file = _FILES.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as fault:
        raise InvalidFileError(f"no file: {fault}") from None
    if file.mac != _mac(key, b"file", file.manifest, file.lines):
        raise InvalidFileError("its MAC does not fit")
    return file


def make_receipt(key: bytes, file: File) -> bytes:
    """The receipt of a file that is booked: always the same for the same file."""
    one = file.manifest
    seal = _mac(key, b"receipt", one.instance, one.sequence, file.mac)
    return _ENCODER.encode(Receipt(one.instance, one.sequence, file.mac, seal))


def read_receipt(key: bytes, data: bytes) -> Receipt:
    """A receipt. Raises BadFile; total."""
    try:
        one = _RECEIPTS.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as fault:
        raise InvalidFileError(f"no receipt: {fault}") from None
    if one.seal != _mac(key, b"receipt", one.instance, one.sequence, one.mac):
        raise InvalidFileError("its seal does not fit")
    return one


# ---- what goes into a file ----


class ExportedFigure(msgspec.Struct, frozen=True, array_like=True):
    """What was exported of a dialogue: the figure that holds at the accounting side, and the period in which it first
    went."""

    billed: int
    period: str


def export_lines(
    period: str, settled: Iterable[Settled], before: Mapping[DialogueId, ExportedFigure]
) -> list[ExportLine]:
    """Lines for what is new or differs from what was exported. A dialogue that is open or an orphan waits."""
    out = []
    for one in sorted(settled, key=lambda one: one.dialogue_id):
        was = before.get(one.dialogue_id)
        if one.state in ("open", "orphan") or (was is None and one.state != "billed"):
            continue
        had = was.billed if was else 0
        if was is not None and had == one.billed:
            continue
        out.append(
            ExportLine(
                *one.dialogue_id,
                one.tenant,
                one.traffic_class,
                one.destination,
                one.width,
                one.ended,
                one.billed,
                one.billed - had,
                was.period if was else "",
                one.tags,
            )
        )
    return out


# ---- handing over ----


class ExportProgress(msgspec.Struct, array_like=True):
    """How far an instance's export is, kept on its store: the last sequence made, its MAC, the last one receipted."""

    sequence: int = 0
    mac: bytes = INITIAL_MAC
    receipted: int = 0
    completed_period: str = ""  # the last period of which all is in files


@dataclass(slots=True)
class Sender:
    """Hands over one file after the other. `files`: those without a receipt, by sequence."""

    key: bytes
    instance: int
    progress: ExportProgress
    files: dict[int, bytes]
    last_sent_us: int = -RETRY_INTERVAL_US
    last_error: str = ""

    def next(self, now: int) -> bytes | None:
        """The file to hand over now: the first without a receipt, again after AGAIN."""
        if not self.files or now - self.last_sent_us < RETRY_INTERVAL_US:
            return None
        self.last_sent_us = now
        return self.files[min(self.files)]

    def adopt_returned_file(self, data: bytes) -> tuple[File, list[File]] | None:
        """A file that this instance made, and does not remember: the one that is booked in the place of the first
        without a receipt. It holds from now on; those made here in its place and after, which are returned too, are
        void."""
        try:
            file = read_file(self.key, data)
        except InvalidFileError:
            return None
        one = file.manifest
        first = min(self.files, default=0)
        follows = one.instance == self.instance and one.sequence == first
        if not follows or read_file(self.key, self.files[first]).manifest.before != one.before:
            # Of a later place: it is given back again once this one's turn comes.
            return None
        if read_file(self.key, self.files[first]).mac == file.mac:
            return None
        void = [read_file(self.key, self.files[n]) for n in sorted(self.files)]
        self.files.clear()
        self.progress.sequence = self.progress.receipted = one.sequence
        self.progress.mac = file.mac
        self.last_sent_us = -RETRY_INTERVAL_US
        return file, void

    def accept_receipt(self, data: bytes) -> int | None:
        """A receipt came; the sequence it ends, or None where it changes nothing: doubled, of another file, not
        sealed."""
        try:
            one = read_receipt(self.key, data)
        except InvalidFileError as bad:
            self.last_error = str(bad)
            return None
        if one.instance != self.instance or one.sequence not in self.files:
            self.last_error = f"a receipt for file {one.sequence} of call server {one.instance}"
            return None
        if one.sequence != min(self.files) or read_file(self.key, self.files[one.sequence]).mac != one.mac:
            self.last_error = f"a receipt for another file under number {one.sequence}"
            return None
        del self.files[one.sequence]
        self.progress.receipted = one.sequence
        self.last_sent_us = -RETRY_INTERVAL_US
        return one.sequence


# ---- the accounting side's part, which a stand-in and any real one must keep ----


@dataclass(frozen=True, slots=True)
class FileDecision:
    """What the accounting side does with a file: `book` it and then answer, `answer` again, `give_back` those it has
    booked from that number on, or `refuse`, the last two with why."""

    action: str
    why: str = ""


def evaluate_file(file: File, last: int, last_mac: bytes, booked_mac: bytes | None) -> FileDecision:
    """Whether a file is the next of its instance, by what was booked last; `booked_mac`: of the file that is booked
    under its number, if any."""
    one = file.manifest
    if one.lines != len(file.lines) or one.change != sum(line.change for line in file.lines):
        return FileDecision("refuse", "its manifest does not fit its lines")
    if one.sequence <= last:
        # Guards against a receipt for a file that was never booked: an old disk makes other files under old numbers.
        if booked_mac == file.mac:
            return FileDecision("answer")
        return FileDecision("give_back", f"file {one.sequence} is booked, and is another one")
    if one.sequence != last + 1:
        return FileDecision("refuse", f"file {one.sequence} after {last}: one is missing between")
    if one.before != last_mac:
        return FileDecision("refuse", f"file {one.sequence} does not follow the file {last} that was booked")
    return FileDecision("book")
