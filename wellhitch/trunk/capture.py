"""Captures: what went over the links, as seen at one party's end. Lines of JSON, each whole in itself.

    {"capture":1,"party":"office","name":"office-3",...}      first line; the rest of it: facts of that party
    [t,"in",link,"call_server",3,"Setup",...]                  one frame: when (us), which way, link, the peer
    {"t":..,"note":"down","link":7,...}                        anything else that happened
    {"end":1234}                                               last line: how many lines stand between

A file without its last line was cut off. `link` is new for each link, also to the same peer.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from wellhitch.trunk import frames


class BadCapture(Exception):
    """A capture that cannot be judged; the text names file and line."""


@dataclass(frozen=True, slots=True)
class CapturedFrame:
    """One frame of a capture."""

    time_us: int
    direction: str
    connection: int
    role: str
    number: int
    frame: frames.AnyFrame


@dataclass(frozen=True, slots=True)
class Note:
    """Something else that happened."""

    time_us: int
    kind: str
    facts: dict[str, Any]


@dataclass(slots=True)
class Capture:
    """All that one party saw."""

    party: str
    name: str
    facts: dict[str, Any]
    records: list[CapturedFrame | Note] = field(default_factory=list)


_frame_decoder = msgspec.json.Decoder(frames.AnyFrame)


def read_capture(lines: Iterable[bytes], where: str) -> Capture:
    """A whole capture. Raises BadCapture where it is empty, cut off or not one."""
    capture: Capture | None = None
    ended = False
    at = 0
    for at, raw in enumerate(lines, 1):
        raw = raw.strip()
        if ended:
            raise BadCapture(f"{where}:{at}: text after the end")
        try:
            value = msgspec.json.decode(raw)
            if capture is None:
                if not isinstance(value, dict) or value.get("capture") != 1:
                    raise BadCapture(f"{where}:{at}: not a capture of form 1")
                facts = {k: v for k, v in value.items() if k not in ("capture", "party", "name")}
                capture = Capture(str(value["party"]), str(value["name"]), facts)
            elif isinstance(value, list):
                t, way, link, role, number = msgspec.convert(value[:5], tuple[int, str, int, str, int])
                frame = _frame_decoder.decode(msgspec.json.encode(value[5:]))
                capture.records.append(CapturedFrame(t, way, link, role, number, frame))
            elif not isinstance(value, dict):
                raise ValueError("no frame, note or end")
            elif "end" in value:
                if value["end"] != len(capture.records):
                    raise BadCapture(f"{where}:{at}: {len(capture.records)} lines, not {value['end']}")
                ended = True
            else:
                facts = {k: v for k, v in value.items() if k not in ("t", "note")}
                capture.records.append(Note(msgspec.convert(value["t"], int), str(value["note"]), facts))
        except (msgspec.DecodeError, KeyError, TypeError, ValueError, RecursionError) as fault:
            raise BadCapture(f"{where}:{at}: {fault}") from None
    if capture is None:
        raise BadCapture(f"{where}: empty")
    if not ended:
        raise BadCapture(f"{where}:{at}: cut off, the end line is missing")
    return capture


def read_folder(folder: Path) -> list[Capture]:
    """All captures of a folder, by name. Raises BadCapture, also where there are none."""
    if not folder.is_dir():
        raise BadCapture(f"{folder}: no such folder")
    files = sorted(folder.glob("*.capture"))
    if not files:
        raise BadCapture(f"{folder}: no captures (*.capture)")
    out = []
    for file in files:
        if not file.is_file():  # a pipe would hold the judge up
            raise BadCapture(f"{file.name}: not a file")
        with file.open("rb") as source:
            out.append(read_capture(source, file.name))
    return out
