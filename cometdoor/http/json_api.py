"""Helpers of the HTTP APIs for backends and operators: request reader, path segments and JSON errors."""

from __future__ import annotations

import json

from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.messages import ClientRequest, validate_headers
from cometdoor.http.request_target import use_origin_form

BASE_VERSION_HEADER = b"cometdoor-base-version"
JSON_API_SINGLE_VALUE_HEADERS = frozenset(
    {b"host", b"content-length", b"transfer-encoding", BASE_VERSION_HEADER}
)
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class JsonApiReader:
    """Reads the heads of calls to the JSON APIs."""

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes

    def read(self, request: ClientRequest) -> None:
        """Check the headers of a call, and set `trace` to the value of its base version header.

        Raises
        ------
        BadRequestError
            If a header is ambiguous, the body is larger than the limit, or the target is no path or URL.
        """
        use_origin_form(request)
        headers = validate_headers(request, JSON_API_SINGLE_VALUE_HEADERS, self._max_body_bytes)
        request.trace = headers.get(BASE_VERSION_HEADER, b"")


def path_segments(request: ClientRequest) -> tuple[str, ...]:
    """Return the non-empty segments of a request's path."""
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    return tuple(segment for segment in path.split("/") if segment)


def respond_error(
    status: int, message: str, connection: ClientConnection, retry_after_s: float = 0.0
) -> None:
    """Respond with an error in JSON; with `retry_after_s` 0 without a Retry-After."""
    headers = list(JSON_HEADERS)
    if retry_after_s:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    connection.respond(status, headers, json.dumps({"error-message": message}).encode())
