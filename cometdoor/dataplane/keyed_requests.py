"""I/O of the keyed requests at an outbound proxy.

`cometdoor.keys.operations` decides without I/O; this module carries out its decisions: it claims keys at the
control plane, starts executions, and asks the proxies that own keys for outcomes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import structlog

from cometdoor.configuration.document import Route
from cometdoor.dataplane.backend_responses import ATTEMPT_ID_HEADER
from cometdoor.dataplane.client_exchange import BackendReply
from cometdoor.dataplane.outbound_request import OutboundRequest
from cometdoor.dataplane.response_collector import ResponseCollector
from cometdoor.host.interfaces import ResponseListener
from cometdoor.host.memory_account import MemoryAccount
from cometdoor.host.repeating_timer import RepeatingTimer
from cometdoor.http.messages import ClientRequest
from cometdoor.keys import actions as key_actions
from cometdoor.keys.actions import Execute, QueryOwner, SubmitClaim
from cometdoor.keys.claims import ClaimClient
from cometdoor.keys.operations import KeyedOperations
from cometdoor.wire.connections import PeerConnections
from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.frames import Message
from cometdoor.wire.keys import OperationReply, OperationRequest
from cometdoor.wire.log_entries import Claim
from cometdoor.wire.peer_connection import PeerError, StreamedReply

KEY_WAIT_MAX_SHARE = 0.9  # share of its remaining time that an attempt waits for a claim or an execution
KEY_RETRY_AFTER_MS = 150.0  # after a rejection; an election takes a few tenths of a second
STORED_RESPONSES_SHARE = 0.25  # share of the memory for bodies that responses to keyed requests may use
KEY_EXPIRY_INTERVAL_S = 5.0  # interval between removals of expired keys
log = structlog.get_logger()

StartExecution = Callable[[ResponseListener[BackendReply], ClientRequest, Route], None]


class KeyedExecution:
    """Listener of a service client for the execution of a keyed operation.

    It is separate from the listener of the client's attempt, since the execution continues when that client
    disconnects.
    """

    def __init__(self, keyed_requests: KeyedRequests, key: str) -> None:
        self._keyed_requests = keyed_requests
        self._key = key

    def on_response(self, response: BackendReply) -> None:
        """Complete the operation with the backend's response, once all of it has come."""
        if isinstance(response, StreamedReply):
            ResponseCollector(response, self._keyed_requests.memory, self.on_response, self.on_failed)
            return
        self._keyed_requests.carry_out(self._keyed_requests.operations.on_response(self._key, response))

    def on_rejected(self, retry_after_ms: float) -> None:
        """Release the key, since nothing was executed."""
        now = self._keyed_requests.time()
        self._keyed_requests.carry_out(self._keyed_requests.operations.on_not_executed(self._key, now))

    def on_failed(self) -> None:
        """Record that the operation may have been executed."""
        self._keyed_requests.carry_out(self._keyed_requests.operations.on_execution_failed(self._key))


class KeyedRequests:
    """The keyed operations of one proxy and their I/O.

    Parameters
    ----------
    incarnation
        Incarnation of this proxy's process; claims of an earlier incarnation are not its own.
    window_s
        Seconds for which an operation's outcome is kept.
    replica_addresses
        Returns the internal addresses of the control plane's replicas, the probable leader first.
    start_execution
        Passes the only execution of an operation to the client of its route's service; the listener is
        notified when it ends.
    memory
        Account of the bytes that the process holds for bodies.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: PeerConnections,
        *,
        internal_address: str,
        incarnation: str,
        window_s: float,
        replica_addresses: Callable[[], list[str]],
        start_execution: StartExecution,
        memory: MemoryAccount,
    ) -> None:
        self.memory = memory
        self.operations: KeyedOperations[OutboundRequest] = KeyedOperations(
            incarnation, window_s, int(STORED_RESPONSES_SHARE * memory.limit_bytes)
        )
        self._counted_bytes = 0  # of stored responses, in the account
        self._loop = loop
        self._connections = connections
        self._internal_address = internal_address
        self._claim_client = ClaimClient(loop, connections, replica_addresses)
        self._start_execution = start_execution
        RepeatingTimer(loop, KEY_EXPIRY_INTERVAL_S, self._expire).start()

    def time(self) -> float:
        """Return the time in seconds."""
        return self._loop.time()

    def accept(self, outbound_request: OutboundRequest) -> None:
        """Accept an attempt with an idempotency key; it is answered even if no outcome is known in time."""
        outbound_request.timer = self._loop.call_later(
            KEY_WAIT_MAX_SHARE * outbound_request.request.remaining_ms / 1000.0,
            self._on_timeout,
            outbound_request,
        )
        self.carry_out(self.operations.on_attempt(outbound_request.key, outbound_request, self.time()))

    def _on_timeout(self, outbound_request: OutboundRequest) -> None:
        outbound_request.timer = None
        self.carry_out(self.operations.abandon(outbound_request.key, outbound_request, is_timed_out=True))

    def on_client_disconnected(self, outbound_request: OutboundRequest) -> None:
        """Remove an attempt whose client has disconnected; an execution that has started continues."""
        outbound_request.cancel_timer()
        self.carry_out(self.operations.abandon(outbound_request.key, outbound_request))

    def on_operation_request(
        self, message: OperationRequest, respond: Callable[[OperationReply], None]
    ) -> None:
        """Answer another proxy's query for the outcome of an operation, now or once the outcome is known."""
        self.operations.on_outcome_query(message.key, message.claim_id, respond)

    def carry_out(self, actions: Sequence[key_actions.Action[OutboundRequest]]) -> None:
        """Carry out the actions, in order."""
        self._count_stored_responses()
        for action in actions:
            match action:
                case SubmitClaim():
                    self._submit_claim(action)
                case Execute():
                    self._execute(action)
                case QueryOwner():
                    self._query_owner(action)
                case key_actions.Respond():
                    respond_under_own_id(action.waiter, action.response)
                case key_actions.Reject():
                    action.waiter.on_rejected(KEY_RETRY_AFTER_MS)
                case key_actions.ReportUnknown():
                    action.waiter.on_failed()
                case key_actions.ReportInProgress():
                    action.waiter.respond(409, [(b"Retry-After", b"0.2")], b"the key is at work")

    def _execute(self, action: Execute[OutboundRequest]) -> None:
        request = action.waiter.request
        try:
            self._start_execution(KeyedExecution(self, action.key), request, request.route)
        except Exception as error:
            # Without an end of the execution its key would be in progress for good.
            log.error(
                "execution of a keyed request failed to start",
                step="execute",
                peer=request.route.name,
                error=repr(error),
            )
            self.carry_out(self.operations.on_execution_failed(action.key))

    def _submit_claim(self, action: SubmitClaim) -> None:
        key = action.key
        self._claim_client.claim(
            Claim(key, action.claim_id, self._internal_address, action.supersedes),
            lambda owner, claim_id: self.carry_out(
                self.operations.on_claimed(key, owner, claim_id, self.time())
            ),
        )

    def _query_owner(self, action: QueryOwner) -> None:
        def on_reply(reply: Message | PeerError) -> None:
            operation_reply = reply if isinstance(reply, OperationReply) else None
            self.carry_out(
                self.operations.on_owner_reply(action.key, action.claim_id, operation_reply, self.time())
            )

        if action.owner == self._internal_address:
            # A claim that was released here, or one of an earlier incarnation, whose outcome is lost.
            self.operations.on_outcome_query(action.key, action.claim_id, on_reply)
            return
        call = self._connections.call(action.owner, OperationRequest(action.key, action.claim_id), on_reply)
        if isinstance(call, PeerError):
            self._loop.call_soon(on_reply, call)

    def _expire(self) -> None:
        self.operations.expire(self.time())
        self._count_stored_responses()

    def _count_stored_responses(self) -> None:
        stored_bytes = self.operations.stored_bytes()
        if stored_bytes != self._counted_bytes:
            self.memory.add_small(stored_bytes - self._counted_bytes)
            self._counted_bytes = stored_bytes


def respond_under_own_id(waiter: OutboundRequest, response: ForwardResponse) -> None:
    """Answer an attempt with the operation's response; the executed attempt's id is replaced by its own."""
    headers = [(name, value) for name, value in response.headers if name.lower() != ATTEMPT_ID_HEADER]
    headers.append((b"Cometdoor-Attempt-Id", waiter.request.trace))
    waiter.respond(response.status, headers, response.body)
