"""Export to the accounting side: each settled duration is booked exactly once. Pure.

This rests on the following, and on nothing else:

1. The files of one instance are numbered without gaps and carry a MAC, under a key that only the two sides have, over
   the whole file, its number and the MAC of the previous file. A file is never made again under the same number: it is
   on the store before its first byte is handed over, and is handed over unchanged until its receipt has arrived.
2. The accounting side books a file and records its number in one transaction. It accepts only the next file of each
   instance, and answers a file that is booked already, recognised by its MAC, with the same receipt. A different file
   under a booked number is refused, and the booked files from that number on are returned.
3. The receipt names the file's number and MAC, under the key. Only the receipt of the very file ends its handing over.
4. An instance that came back with an old disk, or a new one, learns by 2 what it had exported: it adopts the returned
   files and settles on from their figures.

A failure at any point therefore leaves a file that is not booked and is handed over again, or one that is booked and
answered again. Neither side can repair the loss of data that the other side reported as stored; the receipt's MAC then
shows which side lost it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from blake3 import blake3

from wellhitch.ledger.settle import DialogueId, Settled

MAX_LINES_PER_FILE = 10_000  # some 1.5 MB, a second of a slow line
MAC_BYTES = 32
RETRY_INTERVAL_US = 5_000_000  # until a file without a receipt is handed over again
INITIAL_MAC = bytes(MAC_BYTES)  # the previous MAC of the first file


class ExportLine(msgspec.Struct, frozen=True, array_like=True):
    """One dialogue's figure, or the change of a figure exported before: `billed` is the figure that holds now, `change`
    what is to be added to what was booked, both in us. `corrects` names the period in which the dialogue was first
    exported, empty for a new one."""

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
    """Describes a file. `lines`: their number; `change`: the sum of their changes; `previous_mac`: the MAC of the
    previous file."""

    instance: int
    sequence: int
    period: str
    lines: int
    change: int
    previous_mac: bytes


class File(msgspec.Struct, frozen=True, array_like=True):
    """A file: its manifest, its lines, the MAC over both."""

    manifest: Manifest
    lines: tuple[ExportLine, ...]
    mac: bytes


class Receipt(msgspec.Struct, frozen=True, array_like=True):
    """The accounting side has booked a file. `mac` is the file's, `seal` the accounting side's over the receipt."""

    instance: int
    sequence: int
    mac: bytes
    seal: bytes


class InvalidFileError(Exception):
    """Bytes that are not a file or receipt under this key."""


_ENCODER = msgspec.msgpack.Encoder()
_FILE_DECODER = msgspec.msgpack.Decoder(File)
_RECEIPT_DECODER = msgspec.msgpack.Decoder(Receipt)


def _mac(key: bytes, purpose: bytes, *parts: object) -> bytes:
    return blake3(purpose + _ENCODER.encode(parts), key=key).digest(MAC_BYTES)


def make_file(
    key: bytes, instance: int, sequence: int, period: str, lines: Iterable[ExportLine], previous_mac: bytes
) -> bytes:
    """Encode a file."""
    all_lines = tuple(lines)
    change = sum(line.change for line in all_lines)
    manifest = Manifest(instance, sequence, period, len(all_lines), change, previous_mac)
    return _ENCODER.encode(File(manifest, all_lines, _mac(key, b"file", manifest, all_lines)))


def read_file(key: bytes, data: bytes) -> File:
    """Decode a file. Any input gives a file or raises InvalidFileError."""
    try:
        file = _FILE_DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidFileError(f"not an export file: {error}") from None
    if file.mac != _mac(key, b"file", file.manifest, file.lines):
        raise InvalidFileError("export file: its MAC does not match")
    return file


def make_receipt(key: bytes, file: File) -> bytes:
    """Encode the receipt of a booked file; the same file always has the same receipt."""
    manifest = file.manifest
    seal = _mac(key, b"receipt", manifest.instance, manifest.sequence, file.mac)
    return _ENCODER.encode(Receipt(manifest.instance, manifest.sequence, file.mac, seal))


def read_receipt(key: bytes, data: bytes) -> Receipt:
    """Decode a receipt. Any input gives a receipt or raises InvalidFileError."""
    try:
        receipt = _RECEIPT_DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidFileError(f"not a receipt: {error}") from None
    if receipt.seal != _mac(key, b"receipt", receipt.instance, receipt.sequence, receipt.mac):
        raise InvalidFileError("receipt: its seal does not match")
    return receipt


# ---- content of a file ----


class ExportedFigure(msgspec.Struct, frozen=True, array_like=True):
    """What was exported of a dialogue: the figure that holds at the accounting side, and the period in which it was
    first exported."""

    billed: int
    period: str


def export_lines(
    period: str, settled: Iterable[Settled], exported: Mapping[DialogueId, ExportedFigure]
) -> list[ExportLine]:
    """Lines for dialogues that are new or differ from what was exported. Open and orphan dialogues wait."""
    lines = []
    for dialogue in sorted(settled, key=lambda dialogue: dialogue.dialogue_id):
        previous = exported.get(dialogue.dialogue_id)
        if dialogue.state in ("open", "orphan") or (previous is None and dialogue.state != "billed"):
            continue
        previously_billed = previous.billed if previous else 0
        if previous is not None and previously_billed == dialogue.billed:
            continue
        lines.append(
            ExportLine(
                *dialogue.dialogue_id,
                dialogue.tenant,
                dialogue.traffic_class,
                dialogue.destination,
                dialogue.width,
                dialogue.ended,
                dialogue.billed,
                dialogue.billed - previously_billed,
                previous.period if previous else "",
                dialogue.tags,
            )
        )
    return lines


# ---- handing over ----


class ExportProgress(msgspec.Struct, array_like=True):
    """An instance's export as stored: the last file's number and MAC, the last file with a receipt, and the last period
    that is completely in files."""

    sequence: int = 0
    mac: bytes = INITIAL_MAC
    receipted: int = 0
    completed_period: str = ""


@dataclass(slots=True)
class Sender:
    """Hands over one file after the other. `files`: those without a receipt, by number. `last_error`: why the last
    receipt was not accepted."""

    key: bytes
    instance: int
    progress: ExportProgress
    files: dict[int, bytes]
    last_sent_us: int = -RETRY_INTERVAL_US
    last_error: str = ""

    def next_file(self, now: int) -> bytes | None:
        """The file to hand over now: the first without a receipt, again after RETRY_INTERVAL_US."""
        if not self.files or now - self.last_sent_us < RETRY_INTERVAL_US:
            return None
        self.last_sent_us = now
        return self.files[min(self.files)]

    def adopt_returned_file(self, data: bytes) -> tuple[File, list[File]] | None:
        """Adopt a file that this instance made on a disk it lost, and that is booked in place of the first file without
        a receipt. Also returns the files made here in its place and after, which are void. None if `data` is not such a
        file."""
        try:
            file = read_file(self.key, data)
        except InvalidFileError:
            return None
        manifest = file.manifest
        first = min(self.files, default=0)
        follows = manifest.instance == self.instance and manifest.sequence == first
        if (
            not follows
            or read_file(self.key, self.files[first]).manifest.previous_mac != manifest.previous_mac
        ):
            # A file of a later number is returned again once that number is the first.
            return None
        if read_file(self.key, self.files[first]).mac == file.mac:
            return None
        void = [read_file(self.key, self.files[sequence]) for sequence in sorted(self.files)]
        self.files.clear()
        self.progress.sequence = self.progress.receipted = manifest.sequence
        self.progress.mac = file.mac
        self.last_sent_us = -RETRY_INTERVAL_US
        return file, void

    def accept_receipt(self, data: bytes) -> int | None:
        """Handle a receipt. Returns the number of the file it completes, or None if it changes nothing: a duplicate, of
        another file, or invalid."""
        try:
            receipt = read_receipt(self.key, data)
        except InvalidFileError as error:
            self.last_error = str(error)
            return None
        if receipt.instance != self.instance or receipt.sequence not in self.files:
            self.last_error = f"a receipt for file {receipt.sequence} of call server {receipt.instance}"
            return None
        if (
            receipt.sequence != min(self.files)
            or read_file(self.key, self.files[receipt.sequence]).mac != receipt.mac
        ):
            self.last_error = f"a receipt for another file with number {receipt.sequence}"
            return None
        del self.files[receipt.sequence]
        self.progress.receipted = receipt.sequence
        self.last_sent_us = -RETRY_INTERVAL_US
        return receipt.sequence


# ---- the accounting side's part, which the stand-in and any real one must follow ----


@dataclass(frozen=True, slots=True)
class FileDecision:
    """What the accounting side does with a file: `book` it and then answer; `answer` it again; `give_back` the files it
    has booked from that number on; or `refuse` it. `why` gives the reason of the last two."""

    action: str
    why: str = ""


def evaluate_file(file: File, last: int, last_mac: bytes, booked_mac: bytes | None) -> FileDecision:
    """Decide whether a file is the next of its instance. `last`, `last_mac`: the file booked last; `booked_mac`: the
    MAC of the file that is booked under this file's number, if any."""
    manifest = file.manifest
    if manifest.lines != len(file.lines) or manifest.change != sum(line.change for line in file.lines):
        return FileDecision("refuse", "the manifest does not match the lines")
    if manifest.sequence <= last:
        # Guards against a receipt for a file that was never booked: an old disk makes other files under old numbers.
        if booked_mac == file.mac:
            return FileDecision("answer")
        return FileDecision("give_back", f"another file is booked under number {manifest.sequence}")
    if manifest.sequence != last + 1:
        return FileDecision(
            "refuse", f"file {manifest.sequence} arrived after {last}: one between is missing"
        )
    if manifest.previous_mac != last_mac:
        return FileDecision("refuse", f"file {manifest.sequence} does not follow file {last} as booked")
    return FileDecision("book")
