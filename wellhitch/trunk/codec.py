"""Bytes <-> frames, sans-I/O. Any bytes give frames or one `BadFrame`.

A frame on the wire: one byte version, three bytes length (big-endian) of what follows, then msgpack.
"""

import msgspec

from wellhitch.trunk import frames

PROTOCOL_VERSION = 1
HEADER_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024  # a list of 500 offices takes some 40 KB; nothing else comes near


class BadFrame(Exception):
    """The other end broke the protocol; the text names what was wrong, and goes to it in a Fault."""

    def __init__(self, text: str, frames_before: list[frames.AnyFrame] | None = None) -> None:
        super().__init__(text)
        self.frames_before = frames_before or []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(frames.AnyFrame)


def encode(frame: frames.AnyFrame) -> bytes:
    """One frame as bytes. Raises BadFrame where it is over MAX_FRAME, or holds what msgpack has no form for, such
    as a number of more than 64 bits: nothing that the other end must refuse is ever sent."""
    try:
        body = _encoder.encode(frame)
    except (OverflowError, ValueError, TypeError) as fault:
        raise BadFrame(f"{frame.__struct_config__.tag}: {fault}") from None
    if len(body) > MAX_FRAME_BYTES:
        raise BadFrame(f"{frame.__struct_config__.tag} of {len(body)} bytes, over {MAX_FRAME_BYTES}")
    return bytes((PROTOCOL_VERSION,)) + len(body).to_bytes(3, "big") + body


class Decoder:
    """Takes bytes as they come, in any pieces, and gives whole frames. After a BadFrame it takes no more.
    Holds at most one frame and one read."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._broken = False

    def feed(self, data: bytes | memoryview) -> list[frames.AnyFrame]:
        """Whole frames that are complete with `data`. Raises BadFrame; the frames before the bad one are in
        its `before`."""
        if self._broken:
            return []
        held = self._buffer
        held += data
        out: list[frames.AnyFrame] = []
        at = 0
        try:
            while len(held) - at >= HEADER_BYTES:
                if held[at] != PROTOCOL_VERSION:
                    raise BadFrame(f"version {held[at]}, not {PROTOCOL_VERSION}")
                length = int.from_bytes(held[at + 1 : at + HEADER_BYTES], "big")
                if length > MAX_FRAME_BYTES:
                    raise BadFrame(f"length {length}, over {MAX_FRAME_BYTES}")
                if len(held) - at - HEADER_BYTES < length:
                    break
                body = held[at + HEADER_BYTES : at + HEADER_BYTES + length]
                at += HEADER_BYTES + length
                try:
                    out.append(_decoder.decode(body))
                except (msgspec.DecodeError, RecursionError) as fault:
                    raise BadFrame(f"no frame: {fault}") from None
        except BadFrame as fault:
            self._broken = True
            held.clear()
            fault.frames_before = out
            raise
        del held[:at]
        return out

    @property
    def buffered_bytes(self) -> int:
        """Bytes held of a frame that is not whole yet."""
        return len(self._buffer)
