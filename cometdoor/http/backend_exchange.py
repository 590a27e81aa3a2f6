"""One attempt on a connection to a backend: the request to write and the callback that gets the result."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cometdoor.host.attempt_outcome import AttemptResult, AttemptStage
from cometdoor.host.body_stream import BodySender
from cometdoor.http.messages import Response
from cometdoor.http.response_parser import ResponseCorrelation

OnResult = Callable[[AttemptResult, Response | None], None]


class ExchangeConnection(Protocol):
    """The part of a backend connection that its exchange uses."""

    exchange: BackendExchange | None

    def stage(self) -> AttemptStage:
        """Return how far the exchange has come."""

    def abort(self) -> None:
        """Close the connection at once."""


class RequestBodyWriter(Protocol):
    """The connection to which a request's body is written in chunks."""

    def write_body(self, data: bytes, is_last: bool) -> bool:
        """Write a chunk; return whether more may be written at once."""


class RequestBodySource(Protocol):
    """Provides the body of a request in chunks once its head was written."""

    def start(self, writer: RequestBodyWriter) -> None:
        """Write the body to `writer` as it comes."""

    def on_drained(self) -> None:
        """Go on: all that was written has left the connection's buffer."""


class BackendExchange:
    """One attempt on a connection to a backend; also the balancer host's handle of it.

    ``on_result`` is called once, unless the exchange is aborted first.
    """

    __slots__ = (
        "connection",
        "correlate",
        "max_last_byte_delay_s",
        "on_result",
        "request_body",
        "request_id",
        "serialize",
        "start_streaming",
    )

    def __init__(
        self,
        serialize: Callable[[], bytes],
        on_result: OnResult,
        max_last_byte_delay_s: float = 0.0,
        *,
        correlate: Callable[[Response], ResponseCorrelation] | None = None,
        request_id: bytes = b"",
        request_body: RequestBodySource | None = None,
        start_streaming: Callable[[Response, int | None], BodySender | None] | None = None,
    ) -> None:
        """Create the attempt; the pool assigns a connection to it.

        Parameters
        ----------
        serialize
            Returns the request's bytes. It is called when they are written, since they contain the remaining
            time.
        on_result
            Called with the result, and with the response where there is one.
        max_last_byte_delay_s
            Maximum delay of the request's last byte; 0 writes the complete request at once. A value above 0
            marks the request as not idempotent.
        correlate
            Returns whether a response belongs to this request, if responses carry ids. With None any response
            does.
        request_id
            The id by which responses identify the request. After a failure its connection is not used for the
            same id again, so that a late response to the first attempt can't be mistaken for the retry's.
        request_body
            The body that follows what `serialize` returns; None: there is none, or it is included.
        start_streaming
            Called with the head of a response that is too large to be held, and with the length of its body
            if that is known; returns the sender to which the body goes. Without this function, or if it
            returns None, such a response is a failure.
        """
        self.request_body = request_body
        self.start_streaming = start_streaming
        self.correlate = correlate
        self.request_id = request_id
        self.serialize = serialize
        self.on_result = on_result
        self.max_last_byte_delay_s = max_last_byte_delay_s
        self.connection: ExchangeConnection | None = None

    def stage(self) -> AttemptStage:
        """Return how far the attempt has come."""
        return AttemptStage.CONNECTED if self.connection is None else self.connection.stage()

    def abort(self) -> None:
        """Close the connection: the backend notices, and no late response can be mistaken for another."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.exchange = None
            connection.abort()
