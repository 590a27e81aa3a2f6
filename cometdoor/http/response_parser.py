"""Parsing of a backend's responses on one connection (RFC 9112), with size limits.

httptools calls the ``on_...`` methods directly: another layer would add a call for every header.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import httptools

from cometdoor.errors import CometdoorError
from cometdoor.http.messages import (
    BODILESS_STATUSES,
    MAX_FRAMING_PER_BODY_BYTE,
    Headers,
    Response,
)
from cometdoor.http.response_limits import ResponseLimits

MAX_INTERIM_RESPONSES = 16  # 1xx responses to one request
MAX_LENGTH_DIGITS = 15  # of a Content-Length
LINE_END_BYTES = b"\r\n"


class MalformedResponseError(CometdoorError):
    """The received bytes are not a valid response. The request may have been executed."""

    step = "read the response"


class ResponseCorrelation(Enum):
    """Which request a response belongs to, if responses carry the request's id."""

    MATCHES = "here"  # the request in progress
    OTHER_REQUEST = "elsewhere"  # by its id; the expected response may still follow
    AMBIGUOUS = "unclear"  # without an id, with several ids, or with contents that contradict the id


class ResponseParser:
    """Parses the responses on one connection, for one exchange at a time.

    Attributes
    ----------
    response : Response | None
        The complete response; None until it is received.
    is_reusable : bool
        Whether the connection may carry another request after this response.
    has_extra_bytes : bool
        Whether an interim response, a response to another request, or line ends came before the response.
    is_in_response : bool
        Whether a response was received in part.
    is_too_large : bool
        Whether the response was rejected for its size.
    is_chunked : bool
        Whether the response in progress has a chunked body.
    needs_end_of_connection : bool
        Whether the response in progress has no length, and ends with the connection.
    body_bytes : int
        Body bytes received so far, without chunk headers.
    announced_bytes : int | None
        Length of the body of the response in progress, if its head says so.
    may_stream : bool
        Set by the exchange in progress: whether a response above the size limit is streamed.
    streamed_head : Response | None
        Head of the response in progress once it is streamed: its body is not collected, see `take_body`.
    correlate : Callable[[Response], ResponseCorrelation] | None
        Set by the exchange in progress; with None any response belongs to it.
    """

    __slots__ = (
        "_body",
        "_headers",
        "_interim_count",
        "_is_buffer_full",
        "_is_discarding",
        "_is_in_head",
        "_limits",
        "_parser",
        "announced_bytes",
        "body_bytes",
        "correlate",
        "has_extra_bytes",
        "is_chunked",
        "is_in_response",
        "is_reusable",
        "is_too_large",
        "may_stream",
        "needs_end_of_connection",
        "response",
        "streamed_head",
    )

    def __init__(self, is_buffer_full: Callable[[], bool], limits: ResponseLimits) -> None:
        """`is_buffer_full`: returns whether the lower limit of `limits` applies to bodies."""
        self.response: Response | None = None
        self.is_reusable = self.has_extra_bytes = self.is_in_response = self.is_too_large = False
        self.is_chunked = self.needs_end_of_connection = False
        self._limits = limits
        self.may_stream = False
        self.announced_bytes: int | None = None
        self.streamed_head: Response | None = None
        self._is_discarding = False  # the large body of a response to another request
        self.body_bytes = 0
        self.correlate: Callable[[Response], ResponseCorrelation] | None = None
        self._is_buffer_full = is_buffer_full
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._interim_count = 0
        self._is_in_head = False

    def reset(self) -> None:
        """Discard the response of the last exchange."""
        self._headers, self._body, self.response, self.correlate = [], [], None, None
        self.body_bytes = self._interim_count = 0
        self.may_stream = False
        self._start_message()

    def _start_message(self) -> None:
        self.is_chunked = self.needs_end_of_connection = self._is_discarding = False
        self.announced_bytes = self.streamed_head = None

    def take_body(self) -> list[bytes]:
        """Return the chunks of a streamed body that were received since the last call."""
        body, self._body = self._body, []
        return body

    def framing_limit(self) -> int:
        """Return how many bytes of the response in progress may be chunk headers."""
        return MAX_FRAMING_PER_BODY_BYTE * self.body_bytes if self.is_chunked else 0

    def close(self) -> None:
        """Break the reference cycle between this object and httptools' parser."""
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        httptools skips line ends before and after a response without a callback. A line end before the
        response is therefore recorded here, and the last line end is fed separately, which shows whether the
        response was complete before it.

        Raises
        ------
        httptools.HttpParserError, httptools.HttpParserUpgrade
            If the bytes are not a valid response. The context is a callback's exception, if one was raised.
        """
        assert self._parser is not None
        if data[0] in LINE_END_BYTES and not self.is_in_response:
            self.has_extra_bytes = True
        if len(data) > 1 and data[-1] in LINE_END_BYTES:
            self._parser.feed_data(data[:-1])
            if self.response is not None:
                self.is_reusable = False
                return
            data = data[-1:]
        self._parser.feed_data(data)

    # --- called by httptools ---

    def on_message_begin(self) -> None:
        """Start a response, or record that bytes follow a complete response."""
        self.is_reusable = False
        if self.response is None:
            self._headers, self._body = [], []
            self._is_in_head = self.is_in_response = True
            self._start_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are discarded."""
        if self._is_in_head:
            self._headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        """Check the framing: a final response must have exactly one length or Transfer-Encoding header.

        Where the limits allow it, it may have neither and end with the connection (RFC 9112, 6.3).
        """
        assert self._parser is not None
        self._is_in_head = False
        if self.response is not None:
            raise MalformedResponseError("a second response follows the complete one")
        if self._parser.get_status_code() in BODILESS_STATUSES:
            return
        framing = [
            (name.lower(), value.strip().lower())
            for name, value in self._headers
            if name.lower() in (b"content-length", b"transfer-encoding")
        ]
        if self._parser.get_status_code() < 200:
            self._interim_count += 1
            if framing or self._interim_count > MAX_INTERIM_RESPONSES:
                raise MalformedResponseError("an interim response has a body, or there are too many")
            return
        if not framing and self._limits.may_end_with_connection:
            self.needs_end_of_connection = True
            return
        if len(framing) != 1:
            raise MalformedResponseError("not exactly one Content-Length or Transfer-Encoding")
        name, value = framing[0]
        if name == b"transfer-encoding":
            if value != b"chunked":
                raise MalformedResponseError("Transfer-Encoding is not chunked")
            self.is_chunked = True
        elif not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:
            raise MalformedResponseError(f"Content-Length is no number of {MAX_LENGTH_DIGITS} digits at most")
        else:
            self.announced_bytes = int(value)
            self._limit_body_size(self.announced_bytes)

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body, up to the size limit."""
        self.body_bytes += len(body)
        if self._is_discarding:
            return
        self._limit_body_size(self.body_bytes)
        self._body.append(body)

    def _limit_body_size(self, body_bytes: int) -> None:
        """Stream or reject a response whose body is above the size limit."""
        is_above_limit = body_bytes > self._limits.max_body_bytes or (
            body_bytes > self._limits.max_body_bytes_if_full and self._is_buffer_full()
        )
        if not is_above_limit or self.streamed_head is not None:
            return
        if not self.may_stream:
            self.is_too_large = True
            raise MalformedResponseError("the body is larger than the limit")
        assert self._parser is not None
        head = Response(self._parser.get_status_code(), self._headers, b"")
        if self._belongs_to_exchange(head):
            self.streamed_head = head
        else:
            self._is_discarding, self._body = True, []

    def feed_end_of_connection(self) -> None:
        """Complete the response in progress, if it ends with the connection.

        Raises
        ------
        MalformedResponseError
            If it can't be assigned to a request.
        """
        if self.needs_end_of_connection and self.response is None:
            self.on_message_complete()

    def _belongs_to_exchange(self, response: Response) -> bool:
        """Return whether a response belongs to the exchange in progress, given its head."""
        if self.correlate is None:
            return True
        correlation = self.correlate(response)
        if correlation is ResponseCorrelation.AMBIGUOUS:
            raise MalformedResponseError("the response can't be assigned to a request")
        return correlation is ResponseCorrelation.MATCHES

    def on_message_complete(self) -> None:
        """Store the complete response, unless it is interim or belongs to another request."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < 200 or self.response is not None:
            self.is_in_response, self.has_extra_bytes = False, True
            return
        response = self.streamed_head or Response(status, self._headers, b"".join(self._body))
        if self._is_discarding or (self.streamed_head is None and not self._belongs_to_exchange(response)):
            # A late response to an earlier request; the expected response may still follow.
            self.is_in_response, self.body_bytes, self.has_extra_bytes = False, 0, True
            return
        self.response = response
        self.is_in_response = False
        self.is_reusable = not self.needs_end_of_connection and self._parser.should_keep_alive()
