"""Captures: the frames on all connections, as seen by one party. One JSON value a line.

    {"capture":1,"party":"office","name":"office-3",...}      first line; its other keys are facts of the party
    [t,"in",link,"call_server",3,"Setup",...]                  a frame: time (us), direction, connection, peer
    {"t":..,"note":"down","link":7,...}                        another event
    {"end":1234}                                               last line: number of lines in between

A file without its last line is truncated. `link` is a new number for each connection, even with the same peer.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from wellhitch.trunk import frames


class BadCapture(Exception):
    """A capture that cannot be read; the text names file and line."""


@dataclass(frozen=True, slots=True)
class CapturedFrame:
    """One frame of a capture; `role` and `number` are the peer's."""

    time_us: int
    direction: str
    connection: int
    role: str
    number: int
    frame: frames.AnyFrame


@dataclass(frozen=True, slots=True)
class Note:
    """Another event of a capture."""

    time_us: int
    kind: str
    facts: dict[str, Any]


@dataclass(slots=True)
class Capture:
    """The capture of one party."""

    party: str
    name: str
    facts: dict[str, Any]
    records: list[CapturedFrame | Note] = field(default_factory=list)


_frame_decoder = msgspec.json.Decoder(frames.AnyFrame)


def read_capture(lines: Iterable[bytes], source: str) -> Capture:
    """Parse a capture. Raises BadCapture if it is empty, truncated or invalid."""
    capture: Capture | None = None
    ended = False
    line_number = 0
    for line_number, raw in enumerate(lines, 1):
        raw = raw.strip()
        if ended:
            raise BadCapture(f"{source}:{line_number}: text after the end")
        try:
            value = msgspec.json.decode(raw)
            if capture is None:
                if not isinstance(value, dict) or value.get("capture") != 1:
                    raise BadCapture(f"{source}:{line_number}: not a capture of version 1")
                facts = {k: v for k, v in value.items() if k not in ("capture", "party", "name")}
                capture = Capture(str(value["party"]), str(value["name"]), facts)
            elif isinstance(value, list):
                time_us, direction, connection, role, number = msgspec.convert(
                    value[:5], tuple[int, str, int, str, int]
                )
                frame = _frame_decoder.decode(msgspec.json.encode(value[5:]))
                capture.records.append(CapturedFrame(time_us, direction, connection, role, number, frame))
            elif not isinstance(value, dict):
                raise ValueError("neither a frame, a note nor the end")
            elif "end" in value:
                if value["end"] != len(capture.records):
                    raise BadCapture(
                        f"{source}:{line_number}: {len(capture.records)} lines, not {value['end']}"
                    )
                ended = True
            else:
                facts = {k: v for k, v in value.items() if k not in ("t", "note")}
                capture.records.append(Note(msgspec.convert(value["t"], int), str(value["note"]), facts))
        except (msgspec.DecodeError, KeyError, TypeError, ValueError, RecursionError) as error:
            raise BadCapture(f"{source}:{line_number}: {error}") from None
    if capture is None:
        raise BadCapture(f"{source}: empty")
    if not ended:
        raise BadCapture(f"{source}:{line_number}: cut off, the end line is missing")
    return capture


def read_folder(folder: Path) -> list[Capture]:
    """Read all captures of a folder, in order of their names. Raises BadCapture, also if there are none."""
    if not folder.is_dir():
        raise BadCapture(f"{folder}: no such folder")
    files = sorted(folder.glob("*.capture"))
    if not files:
        raise BadCapture(f"{folder}: no captures (*.capture)")
    captures = []
    for file in files:
        if not file.is_file():  # reading a pipe would block
            raise BadCapture(f"{file.name}: not a regular file")
        with file.open("rb") as source:
            captures.append(read_capture(source, file.name))
    return captures
