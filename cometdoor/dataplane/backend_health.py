"""Health checks of an unreachable backend, repeated until one succeeds."""

from __future__ import annotations

import asyncio
from typing import Protocol

import structlog

from cometdoor.dataplane.backend_responses import INSTANCE_ID_HEADER, correlate_probe_response, header_value
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import AttemptResult
from cometdoor.http.backend_exchange import BackendExchange
from cometdoor.http.backend_pool import BackendConnectionPool
from cometdoor.http.messages import Response
from cometdoor.wire.gossip import Backend

# First and longest interval between health checks. The first one is short, since the backend may recover
# before its next heartbeat; then the interval doubles, to limit the checks of a backend that never recovers.
PROBE_INTERVAL_MIN_S, PROBE_INTERVAL_MAX_S = 0.3, 5.0
log = structlog.get_logger()


class BackendHealthListener(Protocol):
    """Callbacks for changes of the backend's reachability."""

    def on_unreachable(self) -> None:
        """Handle a failed connection to the backend."""

    def on_recovered(self) -> None:
        """Handle a successful health check of the backend."""


class BackendHealthProbe:
    """Checks the health of the backend while its state is ``down``, at intervals that double.

    The backend has recovered once it answers 200 with the instance id of its heartbeats. A response of
    another process at its address does not count.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pool: BackendConnectionPool,
        listener: BackendHealthListener | None,
    ) -> None:
        self.path = "/health"
        self._loop = loop
        self._pool = pool
        self._listener = listener
        self._backend: Backend | None = None
        self._address: Address = ("", 0)
        self._interval_s = PROBE_INTERVAL_MIN_S
        self._timer: asyncio.TimerHandle | None = None
        self._last_exchange: BackendExchange | None = None

    def update_backend(self, backend: Backend | None, address: Address) -> None:
        """Apply the backend's current state; `address` is the one at which it listens."""
        is_new = self._backend is None or (backend is not None and backend.instance != self._backend.instance)
        self._backend = backend
        self._address = address
        if backend is None:
            return
        if backend.state == "down":
            self._schedule(0.0 if is_new else self._interval_s)
        else:
            self._interval_s = PROBE_INTERVAL_MIN_S

    def _schedule(self, delay_s: float) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(delay_s, self._probe)

    def _probe(self) -> None:
        self._timer = None
        backend = self._backend
        if backend is None or backend.state != "down":
            return

        def on_response(result: AttemptResult, response: Response | None) -> None:
            if (
                response is not None
                and response.status == 200
                and self._backend is not None
                and header_value(response, INSTANCE_ID_HEADER) == self._backend.instance.encode()
            ):
                log.info("backend recovered", step="probe", peer=backend.instance)
                if self._listener is not None:
                    self._listener.on_recovered()

        payload = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (self.path.encode(), backend.address.encode())
        if self._last_exchange is not None:
            self._last_exchange.abort()  # no response within the interval; has no effect after a response
        self._last_exchange = BackendExchange(
            lambda: payload, on_response, correlate=correlate_probe_response
        )
        self._interval_s = min(2 * self._interval_s, PROBE_INTERVAL_MAX_S)
        self._schedule(self._interval_s)  # before the probe, so that one that fails is not the last
        self._pool.send(backend.instance, self._address, self._last_exchange)
