"""Writes the captures of the stand-ins; `trunk.capture` describes the format."""

from typing import Any, BinaryIO

import msgspec

from wellhitch.trunk import frames
from wellhitch.trunk.channel import Channel


class Recorder:
    """Writes one party's capture to a file or to memory. Pass `record_frame` to the party's channels."""

    def __init__(self, now: Any, party: str, name: str, file: BinaryIO | None = None, **facts: Any) -> None:
        self._now = now
        self._file = file
        self._encoder = msgspec.json.Encoder()
        self.lines: list[bytes] = []
        self._connection_numbers: dict[int, int] = {}
        self._last_connection_number = 0
        self._line_count = 0
        self._closed = False
        self._write_json({"capture": 1, "party": party, "name": name, **facts})
        self._line_count = 0

    def _write_json(self, value: Any) -> None:
        self._write_line(self._encoder.encode(value))

    def _write_line(self, line: bytes) -> None:
        if self._closed:
            return  # connections lost after the end of the day are not recorded
        self._line_count += 1
        if self._file is not None:
            self._file.write(line + b"\n")
        else:
            self.lines.append(line)

    def record_frame(self, way: str, channel: Channel, frame: frames.AnyFrame) -> None:
        """Record a frame. Heartbeats, marks, group states and advice are not judged and are left out."""
        if isinstance(
            frame, (frames.Heartbeat, frames.Mark, frames.Marked, frames.GroupState, frames.Advice)
        ):
            return
        peer = channel.connection.peer
        encoded = self._encoder.encode(frame)
        prefix = [
            self._now(),
            way,
            self._connection_number(channel),
            peer.role if peer else "",
            peer.number if peer else -1,
        ]
        self._write_line(self._encoder.encode(prefix)[:-1] + b"," + encoded[1:])

    def _connection_number(self, channel: Channel) -> int:
        number = self._connection_numbers.get(id(channel))
        if number is None:
            self._last_connection_number += 1
            number = self._connection_numbers[id(channel)] = self._last_connection_number
        return number

    def record_connection_down(self, channel: Channel) -> None:
        """Record that a connection was lost; its number is not used again."""
        peer = channel.connection.peer
        number, role = (peer.number, peer.role) if peer else (-1, "")
        self.record_note(
            "down",
            link=self._connection_number(channel),
            number=number,
            role=role,
            heard=channel.connection.received_at,
        )
        self._connection_numbers.pop(id(channel), None)

    def record_note(self, event: str, **facts: Any) -> None:
        """Record any other event."""
        self._write_json({"t": self._now(), "note": event, **facts})

    def close(self) -> None:
        """Write the last line, which holds the number of lines."""
        self._write_json({"end": self._line_count})
        self._closed = True
        if self._file is not None:
            self._file.close()
