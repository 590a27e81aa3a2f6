"""One attempt on a connection to a backend: the request to write and the callback that gets the result."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cometdoor.host.attempt_outcome import AttemptResult, AttemptStage
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


class BackendExchange:
    """One attempt on a connection to a backend; also the balancer host's handle of it.

    ``on_result`` is called once, unless the exchange is aborted first.
    """

    __slots__ = ("connection", "correlate", "max_last_byte_delay_s", "on_result", "request_id", "serialize")

    def __init__(
        self,
        serialize: Callable[[], bytes],
        on_result: OnResult,
        max_last_byte_delay_s: float = 0.0,
        correlate: Callable[[Response], ResponseCorrelation] | None = None,
        request_id: bytes = b"",
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
        """
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
