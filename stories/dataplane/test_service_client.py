"""Notifications of callers when the connection of an attempt fails to open or is lost."""

import asyncio
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from ward import each, test

from cometdoor.balancing.api import NOT_EXECUTED, Outcome
from cometdoor.budget.share import BudgetShare
from cometdoor.configuration.document import Route
from cometdoor.dataplane.adaptive_throttling import AdaptiveThrottle
from cometdoor.dataplane.attempt_replies import classify_reply
from cometdoor.dataplane.backend_endpoints import BackendEndpoint
from cometdoor.dataplane.client_exchange import BackendReply, ClientExchange
from cometdoor.dataplane.service_client import ServiceClient
from cometdoor.http.messages import ClientRequest
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.forwarding import AttemptFailed, ForwardResponse
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import Backend
from cometdoor.wire.peer_connection import PeerConnection
from simulation.event_loop import VirtualLoop
from simulation.virtual_transport import Process


class RecordingCaller:
    """A caller that records its notifications."""

    def __init__(self) -> None:
        self.notifications: list[str] = []

    def on_response(self, response: BackendReply) -> None:
        self.notifications.append(f"served {response.status}")

    def on_rejected(self, retry_after_ms: float) -> None:
        self.notifications.append("rejected")

    def on_failed(self) -> None:
        self.notifications.append("failed")


class ServiceClientHarness:
    """A service client on machine `a` and an inbound proxy on `b` that answers with `reply`, if given."""

    def __init__(self, loop: VirtualLoop, reply: Message | None = None) -> None:
        self.loop = loop
        self.received: list[Message] = []
        self.reply = reply
        caller_process, proxy_process = Process("a", "caller"), Process("b", "inbound proxy")
        connections = PeerConnections(self.loop, lambda message, connection, call_id: None)
        self.inbound_proxy = PeerConnections(self.loop, self._receive)
        self.loop.run_as(proxy_process, lambda: self.inbound_proxy.listen("b", 1))
        self.service_client = ServiceClient(
            "tents",
            self.loop,
            connections,
            BudgetShare(0.2, 10.0, 10.0, 0.0),
            caller_service="",
            budget_ratio=0.2,
            window_s=10.0,
            seed=1,
        )
        backend = Backend("i-1", "tents", "b:80", "v1", 4, "ready")
        self.service_client.update_endpoints([BackendEndpoint(backend, "b:1")])
        self._caller_process = caller_process

    def _receive(self, message: Message, connection: PeerConnection, call_id: int) -> None:
        self.received.append(message)
        if self.reply is not None:
            connection.respond(call_id, self.reply)

    def request(self, route_type: str, remaining_ms: float) -> RecordingCaller:
        caller = RecordingCaller()
        route = Route("r", "/", route_type, 2.0, service="tents")
        request = ClientRequest(b"GET", b"/", [], trace=b"t1", remaining_ms=remaining_ms)
        request.route = route
        request.arrived_at = time.monotonic()

        def accept() -> None:
            self.service_client.accept(caller, request, route)

        self.loop.run_as(self._caller_process, accept)
        return caller

    def wait(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))


@contextmanager
def virtual_harness() -> Iterator[ServiceClientHarness]:
    """Yield a harness that uses virtual time from the start.

    If the clock were replaced later, time would jump back for the decision module by the machine's uptime.
    """
    loop = VirtualLoop()
    with mock.patch.object(time, "monotonic", loop.time):
        yield ServiceClientHarness(loop)


@test("{kind}: an attempt that timed out while its connection was being established was not executed")
def _(kind: str = each("idempotent", "non_idempotent")) -> None:
    with virtual_harness() as harness:
        harness.loop.partitions = {("a", "b"), ("b", "a")}
        caller = harness.request(kind, remaining_ms=400.0)
        harness.wait(0.39)
        harness.loop.partitions = set()
        harness.wait(1.0)
    assert caller.notifications == ["rejected"] and not harness.received


@test("{kind}: an attempt that was sent and got no reply may have been executed")
def _(kind: str = each("idempotent", "non_idempotent")) -> None:
    with virtual_harness() as harness:
        caller = harness.request(kind, remaining_ms=400.0)
        harness.wait(1.0)
    assert caller.notifications == ["failed"] and harness.received


@test("a caller notified while the connection is being established learns that nothing was executed, {how}")
def _(how: str = each("rejected", "failed")) -> None:
    loop = VirtualLoop()
    loop.partitions = {("a", "b"), ("b", "a")}
    connections = PeerConnections(loop, lambda message, connection, call_id: None)
    caller = RecordingCaller()
    request = ClientRequest(b"GET", b"/", [], remaining_ms=400.0)
    exchange = ClientExchange(caller, request, AdaptiveThrottle(random.Random(1)))
    response = ForwardResponse(0, [], b"")
    loop.run_as(
        Process("a", "caller"),
        lambda: exchange.pending_calls.append(connections.call("b:1", response, print)),  # type: ignore[arg-type]
    )
    exchange.possible_executions = 1
    loop.run_until_complete(asyncio.sleep(0.1))
    exchange.on_rejected(0.0) if how == "rejected" else exchange.on_failed()
    assert caller.notifications == ["rejected"]
    loop.run_until_complete(asyncio.sleep(1.0))


@test("a failed attempt may have been executed, whatever outcome the reply names")
def _(outcome: str = each("full", "cut", "moot", "connect_failed", "ok", "what", "reset")) -> None:
    result, response = classify_reply(AttemptFailed(outcome, 0.5))
    assert result.outcome not in NOT_EXECUTED and result.outcome is not Outcome.OK and response is None
