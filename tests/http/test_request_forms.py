"""Requests in all forms that a client may choose reach their handler unchanged, or are rejected."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.dataplane.outbound_request import OutboundRequestReader
from cometdoor.host.fair_share import DescriptorQuota
from cometdoor.http.client_connection import ClientConnection
from cometdoor.http.frontend import Frontend
from cometdoor.http.messages import BadRequestError, ClientRequest
from simulation.exchange.scripted_transports import ScriptedTransport, scripted_loop

OPTIONAL_HEADERS = [
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
    "Connection: keep-alive, Upgrade",
    "Upgrade: websocket",
    "connection: upgrade",
    "Expect: 100-continue",
    "TE: trailers",
    "Keep-Alive: timeout=5",
    "Proxy-Connection: keep-alive",
    "Accept: */*",
    "Cookie: a=b; c=d",
]


class Handler:
    """Records what reaches it, and answers 200."""

    is_ready = True

    def __init__(self) -> None:
        self.requests: list[tuple[bytes, bytes, bytes]] = []

    def accept(self, connection: ClientConnection, request: ClientRequest) -> None:
        assert (request.trace, request.remaining_ms) == (b"own", 500.0)
        self.requests.append((request.method, request.target, request.body))
        connection.respond(200, [], b"")

    def on_client_disconnected(self, connection: ClientConnection, request: ClientRequest) -> None:
        pass


def deliver(data: bytes, read_bytes: int) -> tuple[list[tuple[bytes, bytes, bytes]], bytes]:
    """Feed bytes to a connection in reads of a size; return the requests and all that was answered."""
    with scripted_loop() as loop:
        handler = Handler()
        frontend = Frontend(loop, OutboundRequestReader(), DescriptorQuota(100), handler)
        connection = ClientConnection(frontend)
        transport = ScriptedTransport(loop)
        transport.attach(connection)
        for start in range(0, len(data), read_bytes):
            transport.feed(data[start : start + read_bytes])
        loop.wait(0.01)
        return handler.requests, bytes(transport.accepted)


def encode(method: str, target: str, headers: list[str], body: bytes, is_chunked: bool) -> bytes:
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
    own = ["Host: a", "Cometdoor-Attempt-Id: own \t", "Cometdoor-Deadline-Ms: 500 "]
    lines = [f"{method} {target} HTTP/1.1", *own, *headers, framing]
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    return "\r\n".join([*lines, "", ""]).encode() + (chunks if is_chunked else body)


# review/4 (UNASKED): a request that offered another protocol was executed with an empty body.
@given(
    st.sampled_from(("POST", "PUT", "GET", "DELETE")),
    st.lists(st.sampled_from(OPTIONAL_HEADERS), unique=True),
    st.binary(max_size=40),
    st.booleans(),
    st.integers(1, 300),
    st.sampled_from(("", "http://other:80", "HTTP://other")),
)
def test_optional_headers_change_neither_method_target_nor_body(
    method: str, headers: list[str], body: bytes, is_chunked: bool, read_bytes: int, origin: str
) -> None:
    first = encode(method, f"{origin}/a/1?b=c&d", headers, body, is_chunked)
    requests, answered = deliver(first + encode("POST", "/next", [], b"more", False), read_bytes)
    assert requests == [(method.encode(), b"/a/1?b=c&d", body), (b"POST", b"/next", b"more")]
    assert answered.count(b"HTTP/1.1 200") == 2


# A target in absolute form got 400; its host takes the place of the Host header (RFC 9112, 3.2.2).
@pytest.mark.parametrize(
    ("target", "host", "origin_form"),
    [
        (b"/a?http://x", b"a", b"/a?http://x"),
        (b"http://Other:81/a?b", b"Other:81", b"/a?b"),
        (b"http://other", b"other", b"/"),
        (b"http://other?b=/c", b"other", b"/?b=/c"),
    ],
)
def test_a_target_in_absolute_form_is_served_with_its_own_host(
    target: bytes, host: bytes, origin_form: bytes
) -> None:
    request = ClientRequest(b"GET", target, [(b"Host", b"a"), (b"Cometdoor-Attempt-Id", b"own")])
    OutboundRequestReader().read(request)
    assert (request.target, request.headers[0], request.route) == (
        origin_form,
        (b"Host", host),
        (host.decode(), ""),
    )


@pytest.mark.parametrize("target", [b"*", b"a", b"http://", b"http:///a", b"http://u:p@h/a", b"ftp://h/a"])
def test_a_target_without_path_or_host_is_rejected(target: bytes) -> None:
    with pytest.raises(BadRequestError, match="no path"):
        OutboundRequestReader().read(
            ClientRequest(b"GET", target, [(b"Host", b"a"), (b"Cometdoor-Attempt-Id", b"x")])
        )


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nCometdoor-Attempt-Id: own\r\n\r\nx", b"400"),
        (b"CONNECT / HTTP/1.1\r\nHost: a\r\nCometdoor-Attempt-Id: own\r\n\r\n", b"400"),
        (
            encode("POST", "/a", ["Connection: upgrade", "Upgrade: h2c"], b"zz", True)[:-9] + b"nonsense",
            b"400",
        ),
    ],
)
def test_what_is_no_request_is_rejected_and_nothing_is_executed(data: bytes, status: bytes) -> None:
    requests, answered = deliver(data, 1000)
    assert not requests and answered.startswith(b"HTTP/1.1 " + status)


def test_an_offer_with_an_incomplete_body_is_not_executed() -> None:
    data = encode("POST", "/a", ["Connection: upgrade", "Upgrade: h2c"], b"order", False)
    requests, answered = deliver(data[:-1], 1000)
    assert not requests and not answered
