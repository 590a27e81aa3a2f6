"""One request for the local backend, and its serialization as HTTP/1.1."""

from __future__ import annotations

from cometdoor.balancing.api import Outcome
from cometdoor.dataplane.backend_responses import classify_response, correlate_response
from cometdoor.dataplane.slots import SlotRequest
from cometdoor.host.body_stream import WINDOW_BYTES, BodyReceiver, BodySender
from cometdoor.host.clock import now_ms
from cometdoor.http.backend_exchange import BackendExchange, RequestBodyWriter
from cometdoor.http.messages import Response, end_to_end_headers
from cometdoor.http.response_parser import ResponseCorrelation
from cometdoor.wire.forwarding import ForwardRequest, StreamedForwardResponse
from cometdoor.wire.frames import Message
from cometdoor.wire.peer_connection import PeerConnection


class InboundRequestBody:
    """The body of a request that goes from the calling proxy to the backend, chunk by chunk."""

    def __init__(self, connection: PeerConnection, call_id: int) -> None:
        self._connection = connection
        self._call_id = call_id
        self._receiver: BodyReceiver | None = None
        self._writer: RequestBodyWriter | None = None
        self.is_complete = False  # all of it was received
        self._unwritten_bytes = 0  # in the buffer of the backend's connection; granted again once written

    def start(self, writer: RequestBodyWriter) -> None:
        """Ask for the body: its request has a slot, and its head was written."""
        self._writer = writer
        self._receiver = self._connection.bodies.receive_with_call(self._call_id, self)
        self._receiver.grant(WINDOW_BYTES)

    def on_drained(self) -> None:
        """Ask for as much as the backend's socket has taken."""
        if self._receiver is not None and self._unwritten_bytes:
            unwritten_bytes, self._unwritten_bytes = self._unwritten_bytes, 0
            self._receiver.grant(unwritten_bytes)

    def on_chunk(self, data: bytes) -> None:
        """Write a chunk to the backend."""
        self._unwritten_bytes += len(data)
        if self._writer is not None and self._writer.write_body(data, is_last=False):
            self.on_drained()

    def on_end(self) -> None:
        """Record that all of the body was written."""
        self.is_complete = True
        writer, self._writer, self._receiver = self._writer, None, None
        if writer is not None:
            writer.write_body(b"", is_last=True)

    def on_failed(self) -> None:
        """Do nothing: the connection to the calling proxy is lost, which cancels its request."""
        self._writer = self._receiver = None


class InboundRequest:
    """One request from an outbound proxy, queued for a slot or in flight at the backend.

    Attributes
    ----------
    expires_at_ms : float
        Deadline of the caller in ms, on the monotonic clock.
    body_bytes : int | None
        Length of the body that follows in chunks; None if the request includes its body.
    body : InboundRequestBody | None
        That body, on its way to the backend.
    connection, call_id : PeerConnection, int
        Connection to the calling proxy, and the id of its call.
    response_sender : BodySender | None
        Sends the body of a response that is streamed; the reply has its head.
    is_over : bool
        True once the reply was sent or the caller no longer waits for one.
    exchange : BackendExchange | None
        Exchange with the backend; None while the request is queued.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "call_id",
        "connection",
        "exchange",
        "expires_at_ms",
        "forward_request",
        "is_over",
        "response_sender",
        "slot_request",
    )

    def __init__(
        self,
        forward_request: ForwardRequest,
        body_bytes: int | None,
        connection: PeerConnection,
        call_id: int,
        slot_request: SlotRequest,
    ) -> None:
        self.forward_request = forward_request
        self.body_bytes = body_bytes
        self.body = None if body_bytes is None else InboundRequestBody(connection, call_id)
        self.connection = connection
        self.call_id = call_id
        self.response_sender: BodySender | None = None
        self.slot_request = slot_request
        self.expires_at_ms = slot_request.expires_at_ms
        self.exchange: BackendExchange | None = None
        self.is_over = False

    def may_be_executed_further(self) -> bool:
        """Return whether the backend has the whole request, and has not begun a response that is streamed."""
        return (self.body is None or self.body.is_complete) and self.response_sender is None

    def respond(self, message: Message) -> None:
        """Send the reply to the calling proxy."""
        self.connection.respond(self.call_id, message)

    def start_streaming(self, head: Response, body_bytes: int | None) -> BodySender | None:
        """Reply with the head of a response that is too large to be held; None unless it is the final one."""
        if self.is_over or classify_response(head) is Outcome.REJECTED:
            return None
        self.is_over = True
        self.response_sender = self.connection.respond_streamed(
            self.call_id,
            StreamedForwardResponse(head.status, end_to_end_headers(head.headers), body_bytes),
        )
        return self.response_sender

    def finish_streaming(self, is_complete: bool) -> None:
        """End a streamed response; an incomplete one is reported to the calling proxy."""
        sender, self.response_sender = self.response_sender, None
        if sender is not None and not is_complete:
            self.connection.abort_body(self.call_id)

    def serialize(self) -> bytes:
        """Return the HTTP/1.1 request for the backend, with the time that remains until its deadline.

        A body that follows in chunks is left out.
        """
        forward_request = self.forward_request
        lines = [b"%s %s HTTP/1.1\r\n" % (forward_request.method, forward_request.target)]
        lines += [b"%s: %s\r\n" % header for header in forward_request.headers]
        lines.append(
            b"Cometdoor-Deadline-Ms: %d\r\nCometdoor-Expected-Instance: %s\r\n"
            % (max(int(self.expires_at_ms - now_ms()), 1), forward_request.instance.encode())
        )
        if self.body_bytes is not None:
            lines.append(b"Content-Length: %d\r\n" % self.body_bytes)
        elif forward_request.body or forward_request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            lines.append(b"Content-Length: %d\r\n" % len(forward_request.body))
        lines.append(b"\r\n")
        lines.append(forward_request.body)
        return b"".join(lines)

    def correlate(self, response: Response) -> ResponseCorrelation:
        """Determine whether a response on the request's connection belongs to this request."""
        return correlate_response(response, self.forward_request.attempt_id)
