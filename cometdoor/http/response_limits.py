"""Which responses of a backend are accepted: their duration, size and form."""

from __future__ import annotations

from dataclasses import dataclass

from cometdoor.http.messages import MAX_REQUEST_BODY_BYTES, MAX_RESPONSE_BODY_BYTES


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of the responses on the connections of one pool.

    Attributes
    ----------
    has_read_timeout : bool
        Whether a response must be complete soon after its first byte. Otherwise only its request's deadline,
        which the owner of the exchange applies, ends it.
    max_body_bytes : int
        Largest body that is held whole. A larger one is streamed if its exchange allows that, and rejected
        otherwise.
    max_body_bytes_if_full : int
        The same, while the pool's buffer is full.
    may_end_with_connection : bool
        Whether a response without a length is complete when its connection ends (RFC 9112, 6.3).
    """

    has_read_timeout: bool = True
    max_body_bytes: int = MAX_RESPONSE_BODY_BYTES
    max_body_bytes_if_full: int = MAX_REQUEST_BODY_BYTES
    may_end_with_connection: bool = False


PLATFORM_RESPONSE_LIMITS = ResponseLimits()
