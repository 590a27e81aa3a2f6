"""Calls of backends and operators: told apart by method and path segments, answered in JSON."""

from __future__ import annotations

import json

from cometdoor.http.caller import ClientConnection
from cometdoor.http.messages import ClientRequest, read_fields

BASE_VERSION = b"cometdoor-base-version"
ONCE = frozenset({b"host", b"content-length", b"transfer-encoding", BASE_VERSION})
JSON = [(b"Content-Type", b"application/json")]


class PathReader:
    """Reads calls by method and path segments, for any interface of ours."""

    def __init__(self, max_body: int) -> None:
        self._max_body = max_body

    def read(self, request: ClientRequest) -> None:
        fields = read_fields(request, ONCE, self._max_body)
        request.trace = fields.get(BASE_VERSION, b"")


def segments(request: ClientRequest) -> tuple[str, ...]:
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    return tuple(part for part in path.split("/") if part)


def problem(status: int, text: str, connection: ClientConnection, pause_s: float = 0.0) -> None:
    headers = list(JSON)
    if pause_s:
        headers.append((b"Retry-After", b"%.3f" % pause_s))
    connection.answer(status, headers, json.dumps({"error-message": text}).encode())
