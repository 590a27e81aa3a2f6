"""One request for the local backend, and its serialization as HTTP/1.1."""

from __future__ import annotations

from collections.abc import Callable

from cometdoor.dataplane.backend_responses import correlate_response
from cometdoor.dataplane.slots import SlotRequest
from cometdoor.host.clock import now_ms
from cometdoor.http.backend_exchange import BackendExchange
from cometdoor.http.messages import Response
from cometdoor.http.response_parser import ResponseCorrelation
from cometdoor.wire.forwarding import ForwardRequest
from cometdoor.wire.frames import Message


class InboundRequest:
    """One request from an outbound proxy, queued for a slot or in flight at the backend.

    Attributes
    ----------
    expires_at_ms : float
        Deadline of the caller in ms, on the monotonic clock.
    respond : Callable[[Message], None]
        Sends the reply to the calling proxy.
    is_over : bool
        True once the reply was sent or the caller no longer waits for one.
    exchange : BackendExchange | None
        Exchange with the backend; None while the request is queued.
    """

    __slots__ = (
        "exchange",
        "expires_at_ms",
        "forward_request",
        "is_over",
        "respond",
        "slot_request",
    )

    def __init__(
        self,
        forward_request: ForwardRequest,
        respond: Callable[[Message], None],
        slot_request: SlotRequest,
    ) -> None:
        self.forward_request = forward_request
        self.respond = respond
        self.slot_request = slot_request
        self.expires_at_ms = slot_request.expires_at_ms
        self.exchange: BackendExchange | None = None
        self.is_over = False

    def serialize(self) -> bytes:
        """Return the HTTP/1.1 request for the backend, with the time that remains until its deadline."""
        forward_request = self.forward_request
        lines = [b"%s %s HTTP/1.1\r\n" % (forward_request.method, forward_request.target)]
        lines += [b"%s: %s\r\n" % header for header in forward_request.headers]
        lines.append(
            b"Cometdoor-Deadline-Ms: %d\r\nCometdoor-Expected-Instance: %s\r\n"
            % (max(int(self.expires_at_ms - now_ms()), 1), forward_request.instance.encode())
        )
        if forward_request.body or forward_request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            lines.append(b"Content-Length: %d\r\n" % len(forward_request.body))
        lines.append(b"\r\n")
        lines.append(forward_request.body)
        return b"".join(lines)

    def correlate(self, response: Response) -> ResponseCorrelation:
        """Determine whether a response on the request's connection belongs to this request."""
        return correlate_response(response, self.forward_request.attempt_id)
