"""Client requests that the outbound proxy keeps until they are answered."""

from types import SimpleNamespace
from typing import Any, cast

from ward import test

from cometdoor.dataplane.outbound_request import OutboundRequest
from cometdoor.http.messages import ClientRequest


class Connection:
    def __init__(self) -> None:
        self.request: ClientRequest | None = ClientRequest(b"GET", b"/", [])
        self.statuses: list[int] = []

    def respond(self, status: int, headers: Any, body: bytes) -> None:
        self.statuses.append(status)


@test("a client gets one response, and its request is dropped with it")
def _() -> None:
    connection = Connection()
    assert connection.request is not None
    outbound_requests: dict[Any, OutboundRequest] = {}
    outbound_request = outbound_requests[connection] = OutboundRequest(
        cast(Any, connection), connection.request, "", outbound_requests.pop
    )
    outbound_request.on_rejected(100.0)
    outbound_request.on_failed()
    assert connection.statuses == [503] and not outbound_requests


@test("a response to a request that the connection no longer has is not sent to its next request")
def _() -> None:
    connection = Connection()
    assert connection.request is not None
    outbound_requests: dict[Any, OutboundRequest] = {}
    outbound_request = outbound_requests[connection] = OutboundRequest(
        cast(Any, connection), connection.request, "", outbound_requests.pop
    )
    connection.request = cast(Any, SimpleNamespace())
    outbound_request.on_failed()
    assert not connection.statuses and not outbound_requests
