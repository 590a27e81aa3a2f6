"""One client request at the outbound proxy: parsing of its header fields, and its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cometdoor.dataplane.backend_responses import ATTEMPT_ID_HEADER
from cometdoor.dataplane.client_exchange import BackendReply, ClientExchange
from cometdoor.dataplane.service_client import ServiceClient
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.messages import BadRequestError, ClientRequest, Headers, parse_decimal, validate_headers
from cometdoor.http.request_target import use_origin_form
from cometdoor.wire.peer_connection import StreamedReply

DEADLINE_HEADER = b"cometdoor-deadline-ms"
IDEMPOTENCY_KEY_HEADER = b"cometdoor-idempotency-key"
MESH_SINGLE_VALUE_HEADERS = frozenset(
    {
        b"host",
        b"content-length",
        b"transfer-encoding",
        ATTEMPT_ID_HEADER,
        DEADLINE_HEADER,
        IDEMPOTENCY_KEY_HEADER,
    }
)
RETRY_AFTER_MIN_MS = 20.0  # shortest Retry-After of a 503 response


class OutboundRequestReader:
    """Parses the mesh's header fields of a client request; the route is looked up once it is complete."""

    def __init__(self) -> None:
        self.max_body_bytes = 64 << 20

    def read(self, request: ClientRequest) -> None:
        """Set the request's fields from its header section.

        `trace` becomes the attempt id, `remaining_ms` the deadline (0 if the client set none), and `route`
        the pair of host and idempotency key, which the outbound proxy replaces by the route.

        Raises
        ------
        BadRequestError
            With status 400 or 413, if a field is missing, malformed, repeated, or announces a body that is
            too long.
        """
        use_origin_form(request)
        fields = validate_headers(request, MESH_SINGLE_VALUE_HEADERS, self.max_body_bytes)
        request.trace = fields.get(ATTEMPT_ID_HEADER, b"")
        if not request.trace:
            raise BadRequestError(400, "Cometdoor-Attempt-Id is missing")
        if not fields.get(b"host"):
            raise BadRequestError(400, "Host is missing")
        try:
            request.remaining_ms = (
                parse_decimal(fields[DEADLINE_HEADER]) if DEADLINE_HEADER in fields else 0.0
            )
        except ValueError:
            raise BadRequestError(400, "Cometdoor-Deadline-Ms is no number") from None
        request.service = None
        request.route = (
            fields[b"host"].decode("latin-1"),
            fields.get(IDEMPOTENCY_KEY_HEADER, b"").decode("latin-1"),
        )


class OutboundRequest:
    """One client request, until it is answered.

    It is the listener of a service client's host, or waits for the outcome of a keyed operation.

    Parameters
    ----------
    key
        The idempotency key; empty if the request is not keyed.
    on_answered
        Called with the client's connection when the request is answered.
    """

    __slots__ = ("_on_answered", "connection", "exchange", "key", "request", "service_client", "timer")

    def __init__(
        self,
        connection: ClientConnection,
        request: ClientRequest,
        key: str,
        on_answered: Callable[[ClientConnection], object],
    ) -> None:
        self._on_answered = on_answered
        self.connection: ClientConnection | None = connection  # None once answered or disconnected
        self.request = request
        self.key = key
        self.service_client: ServiceClient | None = None
        self.exchange: ClientExchange | None = None
        self.timer: asyncio.TimerHandle | None = None  # for the timeout of a keyed attempt

    def cancel_timer(self) -> None:
        """Stop the timer of a keyed attempt, if it has one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer the client; only the first call has an effect, while the connection waits for it."""
        connection = self._take_connection()
        if connection is not None:
            connection.respond(status, headers, body)

    def _take_connection(self) -> ClientConnection | None:
        """Return the connection if it waits for this response, and regard the request as answered."""
        if self.timer is not None:
            self.cancel_timer()
        connection, self.connection = self.connection, None
        self.exchange = None  # breaks a reference cycle
        if connection is None:
            return None
        self._on_answered(connection)
        return connection if connection.request is self.request else None

    # --- called by the host ---

    def on_response(self, response: BackendReply) -> None:
        """Forward the response of a backend, whole or as it comes."""
        if isinstance(response, StreamedReply):
            connection = self._take_connection()
            if connection is not None:
                head = response.head
                connection.respond_streamed(head.status, head.headers, head.body_bytes, response.body)
            return
        self.respond(response.status, response.headers, response.body)

    def on_rejected(self, retry_after_ms: float) -> None:
        """Respond with 503 and Retry-After: nothing was executed."""
        retry_after_s = max(retry_after_ms, RETRY_AFTER_MIN_MS) / 1000.0
        self.respond(503, [(b"Retry-After", b"%.3f" % retry_after_s)], b"")

    def on_failed(self) -> None:
        """Respond with 502: the request may have been executed."""
        self.respond(502, [], b"")
