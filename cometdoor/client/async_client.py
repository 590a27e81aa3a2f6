"""Calls through the proxy on this machine: attempt ids, deadlines, idempotency keys and retries."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Required, TypedDict

from cometdoor.client.connection import Connection, ConnectionFailed, Response, encode_request, result_of
from cometdoor.client.deprecated_names import accepts_former_keywords
from cometdoor.client.errors import CallError, ExecutionFailed, NotExecuted, OutcomeUnknown, Rejected
from cometdoor.client.retry_policy import (
    AttemptResult,
    CallAttempts,
    ClientRetryBudget,
    ExecutionStatus,
    RequestKind,
)

ERRORS_BY_EXECUTION_STATUS: dict[ExecutionStatus, type[CallError]] = {
    ExecutionStatus.NOT_EXECUTED: NotExecuted,
    ExecutionStatus.REJECTED: Rejected,
    ExecutionStatus.UNKNOWN: OutcomeUnknown,
    ExecutionStatus.EXECUTED: ExecutionFailed,
}
MAX_IDLE_CONNECTIONS = 8  # per client, to all its proxies together


class CallOptions(TypedDict, total=False):
    """Keyword parameters of `Client.call`, for code that passes them on."""

    deadline_s: Required[float]
    kind: RequestKind
    key: str | None
    headers: Mapping[str, str] | None
    body: bytes


class _AttemptOutcome(NamedTuple):
    """Result of one attempt; `response` is None if no complete response was received."""

    response: Response | None
    result: AttemptResult
    reason: str


class Client:
    """Calls through the mesh, on the running event loop.

    Callers share a client's idle connections and its retry budget.

    Parameters
    ----------
    *addresses
        "host:port" of proxies: the first is tried first, the others in order after failures.
    max_attempts
        Maximum number of attempts per call, at least 1.
    budget
        Limits the retries of all calls together; by default the client has its own budget.
    seed
        Random seed of attempt ids and of the retry jitter; by default unpredictable.

    Raises
    ------
    ValueError
        If there is no address, or `max_attempts` is below 1.
    """

    @accepts_former_keywords(most_tries="max_attempts")
    def __init__(
        self,
        *addresses: str,
        max_attempts: int = 3,
        budget: ClientRetryBudget | None = None,
        seed: int | None = None,
    ) -> None:
        if not addresses:
            raise ValueError("addresses: at least one is needed")
        if max_attempts < 1:
            raise ValueError(f"max_attempts: {max_attempts} is not at least 1")
        self._addresses: Sequence[str] = addresses
        self._max_attempts = max_attempts
        self._budget = budget or ClientRetryBudget()
        self._rng = random.Random(secrets.randbits(64) if seed is None else seed)
        self._idle: list[Connection] = []

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the idle connections; calls in progress continue."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    async def call(
        self,
        method: str,
        host: str,
        path: str,
        *,
        deadline_s: float,
        kind: RequestKind = RequestKind.NOT_IDEMPOTENT,
        key: str | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Response:
        """Make a call and return the backend's 2xx response.

        Parameters
        ----------
        method, host, path
            Method, Host header and path of the HTTP request.
        deadline_s
            Seconds until the call fails, over all attempts.
        kind
            Determines which failures are retried (see `retry_policy`).
        key
            Idempotency key; required if `kind` is KEYED, otherwise not allowed.
        headers, body
            Headers and body of the HTTP request. Attempt id, deadline and key are added to the headers.

        Raises
        ------
        NotExecuted, OutcomeUnknown, ExecutionFailed
            The call failed. The class covers all attempts: NotExecuted means that none of them was executed.
        ValueError
            The arguments are invalid, and nothing was sent: a key is missing or not allowed, the deadline is
            not above 0, or a header or the path is malformed.
        """
        if (kind is RequestKind.KEYED) != (key is not None):
            raise ValueError("key: required for a keyed call, and not allowed for any other")
        if deadline_s <= 0:
            raise ValueError(f"deadline_s: {deadline_s} is not above 0")
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._budget.record_call(now)
        attempts = CallAttempts(kind, now + deadline_s, self._max_attempts, self._budget, self._rng)
        while True:
            peer = self._addresses[attempts.made % len(self._addresses)]
            remaining_s = attempts.remaining_s(loop.time())
            fields = {**(headers or {}), **self._attempt_headers(remaining_s, key)}
            request = encode_request(method, host, path, fields, body)
            response, result, reason = await self._attempt(peer, request, remaining_s)
            if response is not None and result.execution_status() is ExecutionStatus.SUCCEEDED:
                return response
            delay_s = attempts.next_retry_delay_s(result, loop.time())
            if delay_s is None:
                raise ERRORS_BY_EXECUTION_STATUS[attempts.execution_status(result)](
                    reason, peer=peer, status=result.status, attempts=attempts.made
                )
            await asyncio.sleep(delay_s)

    def _attempt_headers(self, remaining_s: float, key: str | None) -> dict[str, str]:
        headers = {
            "Cometdoor-Attempt-Id": f"{self._rng.getrandbits(64):016x}",
            "Cometdoor-Deadline-Ms": str(max(int(remaining_s * 1000), 1)),
        }
        if key is not None:
            headers["Cometdoor-Idempotency-Key"] = key
        return headers

    async def _attempt(self, peer: str, request: bytes, remaining_s: float) -> _AttemptOutcome:
        connection = None
        sent = False
        try:
            async with asyncio.timeout(remaining_s):
                connection = self._acquire_connection(peer)
                if not connection.is_open:
                    await connection.open()
                sent = True
                response = await connection.exchange(request)
        except ConnectionFailed as error:
            return _AttemptOutcome(None, AttemptResult(None, error.sent), str(error))
        except TimeoutError:
            return _AttemptOutcome(None, AttemptResult(None, sent), "no response by the deadline")
        finally:
            if connection is not None:
                self._release_connection(connection)
        reason = response.body[:200].decode("utf-8", "replace")
        return _AttemptOutcome(response, result_of(response), reason or "no reason was given")

    def _acquire_connection(self, peer: str) -> Connection:
        for connection in list(self._idle):
            if connection.address == peer:
                self._idle.remove(connection)
                if not connection.is_closed_by_peer():
                    return connection
                connection.close()
        return Connection(peer)

    def _release_connection(self, connection: Connection) -> None:
        if connection.is_open and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
