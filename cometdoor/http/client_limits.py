"""Limits for clients' requests: sizes and timeouts."""

from __future__ import annotations

from dataclasses import dataclass, field

from cometdoor.http.messages import MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES

# From accepting a connection, or from the first byte of a later request, to the request's last byte. The
# platform allows 3 s.
REQUEST_READ_TIMEOUT_S = 2.4
IDLE_TIMEOUT_S = 15.0  # time after which a connection without an open request is closed


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size limits and timeouts of the client connections of one frontend."""

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_REQUEST_BODY_BYTES
    read_timeout_s: float = field(default_factory=lambda: REQUEST_READ_TIMEOUT_S)
    idle_timeout_s: float = field(default_factory=lambda: IDLE_TIMEOUT_S)
