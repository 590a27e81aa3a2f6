"""Which responses to keyed requests are kept for repeated attempts, within a limit of their bytes. No I/O."""

from __future__ import annotations

from cometdoor.wire.forwarding import ForwardResponse

RECORD_BYTES = 1024  # of a kept response beside its body: record, headers and objects
DEFAULT_MAX_STORED_BYTES = 32 << 20


class StoredResponses:
    """Sizes of the kept responses by key, the oldest first.

    Attributes
    ----------
    stored_bytes : int
        Bytes of all kept responses together.
    """

    def __init__(self, max_stored_bytes: int) -> None:
        self.stored_bytes = 0
        self._max_stored_bytes = max_stored_bytes
        self._sizes: dict[str, int] = {}

    def add(self, key: str, response: ForwardResponse) -> list[str]:
        """Count a response; return the keys whose responses must be dropped for it, perhaps its own."""
        self.remove(key)
        self._sizes[key] = size = RECORD_BYTES + len(response.body)
        self.stored_bytes += size
        dropped_keys = []
        while self.stored_bytes > self._max_stored_bytes:
            oldest_key = next(iter(self._sizes))
            self.remove(oldest_key)
            dropped_keys.append(oldest_key)
        return dropped_keys

    def remove(self, key: str) -> None:
        """Return the bytes of a response that is no longer kept, if it was."""
        self.stored_bytes -= self._sizes.pop(key, 0)
