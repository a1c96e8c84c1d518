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
from typing import Any, BinaryIO

import msgspec

from wellhitch.trunk import frames
from wellhitch.trunk.port import Port


class BadCapture(Exception):
    """A capture that cannot be judged; the text names file and line."""


@dataclass(frozen=True, slots=True)
class Line:
    """One frame of a capture."""

    t: int
    way: str
    link: int
    role: str
    number: int
    frame: frames.Any


@dataclass(frozen=True, slots=True)
class Note:
    """Something else that happened."""

    t: int
    what: str
    facts: dict[str, Any]


@dataclass(slots=True)
class Capture:
    """All that one party saw."""

    party: str
    name: str
    facts: dict[str, Any]
    lines: list[Line | Note] = field(default_factory=list)


class Recorder:
    """Writes one party's capture, to a file or to memory. Give `tap` to the party's ports."""

    def __init__(self, now: Any, party: str, name: str, file: BinaryIO | None = None, **facts: Any) -> None:
        self._now = now
        self._file = file
        self._encoder = msgspec.json.Encoder()
        self.held: list[bytes] = []
        self._links: dict[int, int] = {}
        self._next = 0
        self._count = 0
        self._closed = False
        self._put({"capture": 1, "party": party, "name": name, **facts})
        self._count = 0

    def _put(self, value: Any) -> None:
        self._write(self._encoder.encode(value))

    def _write(self, line: bytes) -> None:
        if self._closed:
            return  # links that go down after the day tell nothing
        self._count += 1
        if self._file is not None:
            self._file.write(line + b"\n")
        else:
            self.held.append(line)

    def tap(self, way: str, port: Port, frame: frames.Any) -> None:
        """Note a frame. Heartbeats and loads tell nothing that is judged and are left out."""
        if isinstance(
            frame, (frames.Heartbeat, frames.Mark, frames.Marked, frames.GroupState, frames.Advice)
        ):
            return
        peer = port.link.peer
        shown = self._encoder.encode(frame)
        head = [self._now(), way, self._link(port), peer.role if peer else "", peer.number if peer else -1]
        self._write(self._encoder.encode(head)[:-1] + b"," + shown[1:])

    def _link(self, port: Port) -> int:
        link = self._links.get(id(port))
        if link is None:
            self._next += 1
            link = self._links[id(port)] = self._next
        return link

    def down(self, port: Port) -> None:
        """Note that a link is gone; its number is not used again."""
        peer = port.link.peer
        number, role = (peer.number, peer.role) if peer else (-1, "")
        self.note("down", link=self._link(port), number=number, role=role, heard=port.link.heard_at)
        self._links.pop(id(port), None)

    def note(self, what: str, **facts: Any) -> None:
        """Note anything else."""
        self._put({"t": self._now(), "note": what, **facts})

    def close(self) -> None:
        """Write the last line."""
        self._put({"end": self._count})
        self._closed = True
        if self._file is not None:
            self._file.close()


_frame_decoder = msgspec.json.Decoder(frames.Any)


def read(lines: Iterable[bytes], where: str) -> Capture:
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
                t, way, link, role, number = value[:5]
                frame = _frame_decoder.decode(msgspec.json.encode(value[5:]))
                capture.lines.append(Line(t, way, link, role, number, frame))
            elif "end" in value:
                if value["end"] != len(capture.lines):
                    raise BadCapture(f"{where}:{at}: {len(capture.lines)} lines, not {value['end']}")
                ended = True
            else:
                facts = {k: v for k, v in value.items() if k not in ("t", "note")}
                capture.lines.append(Note(value["t"], value["note"], facts))
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as fault:
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
        with file.open("rb") as source:
            out.append(read(source, file.name))
    return out
