"""Encoder and decoder of frames, without I/O. Any input gives frames or one `BadFrame`.

A frame on the wire: one byte of version, three bytes of length (big-endian) of the rest, then msgpack.
"""

import msgspec

from wellhitch.trunk import frames

PROTOCOL_VERSION = 1
HEADER_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024  # a list of 500 offices takes some 40 KB; all other frames are far smaller


class BadFrame(Exception):
    """A frame that cannot be decoded or encoded. The text names the error; a decoding error is sent to the other end in
    a Fault."""

    def __init__(self, text: str, frames_before: list[frames.AnyFrame] | None = None) -> None:
        super().__init__(text)
        self.frames_before = frames_before or []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(frames.AnyFrame)


def encode(frame: frames.AnyFrame) -> bytes:
    """Encode one frame. Raises BadFrame if it is over MAX_FRAME_BYTES or holds a value that msgpack cannot represent,
    such as a number of more than 64 bits: no frame is sent that the other end must refuse."""
    try:
        body = _encoder.encode(frame)
    except (OverflowError, ValueError, TypeError) as error:
        raise BadFrame(f"{frame.__struct_config__.tag}: {error}") from None
    if len(body) > MAX_FRAME_BYTES:
        raise BadFrame(f"{frame.__struct_config__.tag} of {len(body)} bytes, over {MAX_FRAME_BYTES}")
    return bytes((PROTOCOL_VERSION,)) + len(body).to_bytes(3, "big") + body


class Decoder:
    """Decodes a stream of bytes, in pieces of any size, into frames. Ignores all input after a BadFrame. Buffers at
    most one frame and one read."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._broken = False

    def feed(self, data: bytes | memoryview) -> list[frames.AnyFrame]:
        """The frames that `data` completes. Raises BadFrame; the frames before the bad one are in its
        `frames_before`."""
        if self._broken:
            return []
        buffer = self._buffer
        buffer += data
        complete: list[frames.AnyFrame] = []
        position = 0
        try:
            while len(buffer) - position >= HEADER_BYTES:
                if buffer[position] != PROTOCOL_VERSION:
                    raise BadFrame(f"version {buffer[position]}, not {PROTOCOL_VERSION}")
                length = int.from_bytes(buffer[position + 1 : position + HEADER_BYTES], "big")
                if length > MAX_FRAME_BYTES:
                    raise BadFrame(f"length {length}, over {MAX_FRAME_BYTES}")
                if len(buffer) - position - HEADER_BYTES < length:
                    break
                body = buffer[position + HEADER_BYTES : position + HEADER_BYTES + length]
                position += HEADER_BYTES + length
                try:
                    complete.append(_decoder.decode(body))
                except (msgspec.DecodeError, RecursionError) as error:
                    raise BadFrame(f"no frame: {error}") from None
        except BadFrame as error:
            self._broken = True
            buffer.clear()
            error.frames_before = complete
            raise
        del buffer[:position]
        return complete

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes buffered for a frame that is not complete yet."""
        return len(self._buffer)
