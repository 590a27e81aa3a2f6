"""Notes on a kept connection: each behind its length, two bytes, the most significant first. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from cometdoor.planning.wire import MAX_NOTE

HEAD = 2  # bytes


class BadFrame(Exception):
    """What comes can't be told apart any more: the connection is of no use."""


def frame(datagram: bytes) -> bytes:
    return len(datagram).to_bytes(HEAD) + datagram


class Unframer:
    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Notes that are whole; never holds more than one that is not. Raises BadFrame."""
        self._rest += data
        while len(self._rest) >= HEAD:
            size = int.from_bytes(self._rest[:HEAD])
            if not 0 < size <= MAX_NOTE:
                raise BadFrame(f"a note of {size} bytes")
            if len(self._rest) < HEAD + size:
                return
            note = bytes(self._rest[HEAD : HEAD + size])
            del self._rest[: HEAD + size]
            yield note
