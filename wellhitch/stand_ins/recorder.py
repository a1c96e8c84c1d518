"""Writes captures at the stand-ins' ends; `trunk.capture` tells their form."""

from typing import Any, BinaryIO

import msgspec

from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel


class Recorder:
    """Writes one party's capture, to a file or to memory. Give `tap` to the party's ports."""

    def __init__(self, now: Any, party: str, name: str, file: BinaryIO | None = None, **facts: Any) -> None:
        self._now = now
        self._file = file
        self._encoder = msgspec.json.Encoder()
        self.lines: list[bytes] = []
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
            self.lines.append(line)

    def record_frame(self, way: str, port: Channel, frame: frames.AnyFrame) -> None:
        """Note a frame. Heartbeats and loads tell nothing that is judged and are left out."""
        if isinstance(
            frame, (frames.Heartbeat, frames.Mark, frames.Marked, frames.GroupState, frames.Advice)
        ):
            return
        peer = port.connection.peer
        shown = self._encoder.encode(frame)
        head = [self._now(), way, self._link(port), peer.role if peer else "", peer.number if peer else -1]
        self._write(self._encoder.encode(head)[:-1] + b"," + shown[1:])

    def _link(self, port: Channel) -> int:
        link = self._links.get(id(port))
        if link is None:
            self._next += 1
            link = self._links[id(port)] = self._next
        return link

    def record_connection_down(self, port: Channel) -> None:
        """Note that a link is gone; its number is not used again."""
        peer = port.connection.peer
        number, role = (peer.number, peer.role) if peer else (-1, "")
        self.record_note(
            "down", link=self._link(port), number=number, role=role, heard=port.connection.received_at
        )
        self._links.pop(id(port), None)

    def record_note(self, what: str, **facts: Any) -> None:
        """Note anything else."""
        self._put({"t": self._now(), "note": what, **facts})

    def close(self) -> None:
        """Write the last line."""
        self._put({"end": self._count})
        self._closed = True
        if self._file is not None:
            self._file.close()
