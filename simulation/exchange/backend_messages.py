"""The requests and responses that the scripts of all hops exchange."""

from __future__ import annotations

from cometdoor.wire.forwarding import ForwardRequest

INSTANCE, SERVICE = "i-1", "tents"
TIMEOUT_MS = 1_000.0  # of a request


def forward_request(
    id: str,
    *,
    method: bytes = b"POST",
    target: bytes = b"/a",
    body: bytes = b"",
    timeout_ms: float = TIMEOUT_MS,
    is_not_idempotent: bool,
) -> ForwardRequest:
    """Return a request as a peer forwards it; its latency target is its timeout."""
    return ForwardRequest(
        id.encode(), method, target, [], body, timeout_ms, timeout_ms, 1, SERVICE, INSTANCE, is_not_idempotent
    )


def serialize_head(status: int, *headers: tuple[str, str]) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode()


def serialize_response(
    id: str, status: int = 200, *headers: tuple[str, str], body: bytes = b"body", is_sealed: bool = True
) -> bytes:
    """Return a complete response as a correct backend sends it."""
    id_headers = [("Cometdoor-Attempt-Id", id)] if id else []
    seal_headers = [("Cometdoor-Response-Seal", f"seal-{id}")] if is_sealed else []
    return (
        serialize_head(status, *id_headers, *seal_headers, *headers, ("Content-Length", str(len(body))))
        + body
    )


def serialize_rejection(id: str, status: int = 503, *headers: tuple[str, str]) -> bytes:
    """Return a response that says that the request was not executed."""
    return serialize_response(
        id, status, ("Cometdoor-Not-Executed", "1"), *headers, body=b"", is_sealed=False
    )
