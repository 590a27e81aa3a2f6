"""Requests and responses of HTTP/1.1, and checks of their headers (RFC 9110, RFC 9112)."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, Protocol

from cometdoor.errors import CometdoorError
from cometdoor.http.large_body import LargeBody

MAX_REQUEST_BODY_BYTES = 64 * 1024
# The platform's limit is 64 KiB, but its servers send up to 380 kB on some days, on which rejecting these
# responses caused nine in ten of all failures.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
MAX_HEAD_BYTES = 32 * 1024  # of a message without its body; includes trailers
# Framing of a chunked body that is accepted for each byte of the body; a chunk of one byte has 5. Trailers
# and extensions of chunks beyond it count as head.
MAX_FRAMING_PER_BODY_BYTE = 8
# Headers that apply to one connection only, or that each hop writes itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"transfer-encoding",
        b"content-length",
        b"expect",
        b"x-expires-in",
    }
)
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Headers that must not be repeated, since this proxy and a backend might use different ones of the values.
PLATFORM_SINGLE_VALUE_HEADERS = FRAMING_HEADERS | {
    b"host",
    b"x-trace-id",
    b"x-expires-in",
    b"x-qos",
    b"x-customer",
    b"x-size-hint",
    b"x-second-try",
    b"idempotency-key",
}
BODILESS_STATUSES = (204, 304)  # RFC 9112, 6.3: these responses have no body, whatever length the head gives
REASON_PHRASES = {
    200: b"OK",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
DECIMAL_NUMBER = re.compile(rb"\d{1,9}(\.\d{0,20})?")

Headers = list[tuple[bytes, bytes]]
"""Names and values of headers, in the order of receipt."""
HeadersByName = dict[bytes, bytes]
"""The last value of each header, by name in lower case."""


class BadRequestError(CometdoorError):
    """A client's input is not a valid request; the response has `status`, and nothing is forwarded."""

    step = "read a request"

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class ClientRequest:
    """A request of a client.

    Attributes
    ----------
    received_bytes : int
        Received size of head and body.
    arrived_at : float
        When its last byte was received, in seconds of the system's monotonic clock. Of a request with a large
        body, when its head was received.
    unread_s : float
        How long it may have lain unread before that, in seconds, since the process stood still.
    rejection : tuple[int, bytes] | None
        Status and body of the error response to invalid input.
    trace : bytes
        Set by its reader: trace id, attempt id, or base version of an API call.
    class_index : int
        Index of its class in the settings.
    remaining_ms : float
        Milliseconds that its client waits for the response, counted from its arrival.
    cost_ms : float | None
        Its client's estimate of the service time; None without an estimate.
    is_retry : bool
        Whether the client marked it as a retry.
    service : Any
        The `HttpService` that serves it, if the frontend serves several.
    route : Any
        The mesh's route. Before the route lookup it is the pair of host and idempotency key.
    exchange : Any
        The service client's `ClientExchange` for it.
    large_body : LargeBody | None
        Its body in place of `body`, if it is too large to be copied.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    keep_alive: bool = True
    is_http_1_0: bool = False
    received_bytes: int = 0
    arrived_at: float = 0.0
    unread_s: float = 0.0
    rejection: tuple[int, bytes] | None = None
    is_health_check: bool = False
    trace: bytes = b""
    class_index: int = 0
    tenant: int = 0
    remaining_ms: float = 0.0
    cost_ms: float | None = None
    is_retry: bool = False
    service: Any = None
    route: Any = None
    exchange: Any = None
    large_body: LargeBody | None = None

    def release_body(self) -> None:
        """Drop a large body on behalf of the client's connection; only the first call has an effect."""
        body, self.large_body = self.large_body, None
        if body is not None:
            body.release()


@dataclass(slots=True)
class Response:
    """A complete final response of a backend."""

    status: int
    headers: Headers
    body: bytes


class RequestReader(Protocol):
    """Fills in the fields of a request from its head."""

    def read(self, request: ClientRequest) -> None:
        """Read the head of a request.

        Raises
        ------
        BadRequestError
            If the request is invalid or can't be served.
        """


def parse_decimal(text: bytes) -> float:
    """Parse a plain decimal number of a header; float() would also accept 1_0, 1e300 and nan.

    Raises
    ------
    ValueError
        If the text is not a plain decimal.
    """
    if not DECIMAL_NUMBER.fullmatch(text):
        raise ValueError(f"{text!r} is not a plain decimal number")
    return float(text)


def connection_options(headers: Headers) -> set[bytes]:
    """Return the options of the Connection headers, in lower case."""
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to the next hop."""
    excluded_names = HOP_BY_HOP_HEADERS | connection_options(headers)
    return [header for header in headers if header[0].lower() not in excluded_names]


def announced_body_bytes(headers: Headers) -> int:
    """Return the Content-Length of a request whose framing was checked; 0 without one."""
    return next((int(value) for name, value in headers if name.lower() == b"content-length"), 0)


def request_head(method: bytes, target: bytes, version: str, headers: Headers) -> bytes:
    """Return the head of a request without an offer to change the protocol (RFC 9110, 7.8)."""
    lines = [b"%s %s HTTP/%s\r\n" % (method, target, version.encode())]
    lines += [b"%s: %s\r\n" % header for header in headers if header[0].lower() != b"upgrade"]
    return b"".join([*lines, b"\r\n"])


def response_head(status: int, headers: Headers, framing: bytes, keep_alive: bool) -> bytes:
    """Return the head of a response to a client; `framing` is the line that delimits its body, if any."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"")), framing]
    lines += [b"%s: %s\r\n" % header for header in end_to_end_headers(headers)]
    lines.append(b"\r\n" if keep_alive else b"Connection: close\r\n\r\n")
    return b"".join(lines)


def check_framing(headers: HeadersByName, max_body_bytes: int = MAX_REQUEST_BODY_BYTES) -> None:
    """Check the length of a body, to prevent request smuggling and bodies above the limit.

    Raises
    ------
    BadRequestError
        If the length is ambiguous or above `max_body_bytes`.
    """
    content_length, transfer_encoding = headers.get(b"content-length"), headers.get(b"transfer-encoding")
    if content_length is not None and transfer_encoding is not None:
        raise BadRequestError(400, "both Content-Length and Transfer-Encoding")
    if transfer_encoding is not None and transfer_encoding.strip().lower() != b"chunked":
        raise BadRequestError(400, "an unknown Transfer-Encoding")
    if content_length is not None and (len(content_length) > 9 or int(content_length) > max_body_bytes):
        raise BadRequestError(413, "the body is too large")


def validate_headers(
    request: ClientRequest,
    single_value: frozenset[bytes] = PLATFORM_SINGLE_VALUE_HEADERS,
    max_body_bytes: int = MAX_REQUEST_BODY_BYTES,
) -> HeadersByName:
    """Check that no header is ambiguous.

    Parameters
    ----------
    request
        The request, with its headers as received.
    single_value
        Names of the headers that must not be repeated, in lower case.
    max_body_bytes
        Limit of Content-Length.

    Returns
    -------
    HeadersByName
        All headers by name in lower case.

    Raises
    ------
    BadRequestError
        If a header of `single_value` is repeated, a framing header is spelled with an underscore, or the
        body's length is ambiguous or too large.
    """
    headers: dict[bytes, bytes] = {}
    for raw_name, value in request.headers:
        name = raw_name.lower()
        if name in headers and name in single_value:
            raise BadRequestError(400, f"{name.decode()} is repeated")
        if b"_" in name and name.replace(b"_", b"-") in FRAMING_HEADERS:
            raise BadRequestError(400, f"{name.decode()} is misspelt")
        headers[name] = value
    check_framing(headers, max_body_bytes)
    if b"connection" in headers and connection_options(request.headers) & single_value:
        raise BadRequestError(400, "Connection names what must go on")
    return headers
