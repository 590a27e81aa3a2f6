"""Frames of messages on a stream: the length in two bytes, big-endian, and the message. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from cometdoor.errors import CometdoorError
from cometdoor.planning.sealed_messages import MAX_MESSAGE_BYTES

LENGTH_BYTES = 2


class FrameError(CometdoorError):
    """A frame's length is out of range, so that the connection can't be read any further."""


def encode_frame(datagram: bytes) -> bytes:
    """Return the frame of a message."""
    return len(datagram).to_bytes(LENGTH_BYTES) + datagram


class FrameDecoder:
    """Reads frames of one connection."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the messages that are complete; at most one incomplete one is buffered.

        Raises
        ------
        FrameError
            A frame's length is out of range.
        """
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES])
            if not 0 < size <= MAX_MESSAGE_BYTES:
                raise FrameError(f"frame length of {size} bytes is out of range")
            if len(self._buffer) < LENGTH_BYTES + size:
                return
            message = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size])
            del self._buffer[: LENGTH_BYTES + size]
            yield message
