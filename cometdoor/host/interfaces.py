"""Interfaces between the balancer's host and its requests, clients, transports and observers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from cometdoor.balancing import api
from cometdoor.balancing.api import Outcome
from cometdoor.host.address import Address
from cometdoor.host.attempt_outcome import AttemptResult, AttemptStage

AttemptId = tuple[str, int]
"""The request's id at its host, and the attempt's index."""


class RequestProperties(Protocol):
    """The properties of a request that the balancer uses; a frontend may add others."""

    class_index: int
    """Index in the settings' classes."""
    tenant: int
    arrived_at: float
    """Time at which its last byte was received, in seconds on the monotonic clock."""
    remaining_ms: float
    """Time for which its client waits, counted from its arrival."""
    cost_ms: float | None
    is_retry: bool


RequestT = TypeVar("RequestT", bound=RequestProperties)
ResponseT = TypeVar("ResponseT")
ResponseT_contra = TypeVar("ResponseT_contra", contravariant=True)
ResponseT_co = TypeVar("ResponseT_co", covariant=True)
RequestT_contra = TypeVar("RequestT_contra", contravariant=True)


class ResponseListener(Protocol[ResponseT_contra]):
    """A client that waits for a response.

    Exactly one of the three methods is called for each of its requests, unless it disconnects first.
    """

    def on_response(self, response: ResponseT_contra) -> None:
        """Forward the response."""

    def on_rejected(self, retry_after_ms: float) -> None:
        """Report that the request was not executed or may safely be retried.

        `retry_after_ms`: suggested delay before the retry; 0: no suggestion.
        """

    def on_failed(self) -> None:
        """Report that the request failed and may have been executed."""


class AttemptHandle(Protocol):
    """An attempt in flight."""

    def stage(self) -> AttemptStage:
        """Return how far the attempt has come."""

    def abort(self) -> None:
        """Abort the attempt; its result is not reported."""


class BackendTransport(Protocol[RequestT_contra, ResponseT_co]):
    """Sends attempts to servers."""

    def send(
        self,
        server: str,
        address: Address,
        request: RequestT_contra,
        expires_at_ms: float,
        on_result: Callable[[AttemptResult, ResponseT_co | None], None],
    ) -> AttemptHandle | Outcome:
        """Start an attempt.

        Parameters
        ----------
        server
            Name of the server.
        address
            Its address.
        request
            The request to send.
        expires_at_ms
            When the host abandons the attempt, in ms on its clock.
        on_result
            Called once, possibly before this method returns, unless the attempt is aborted first.

        Returns
        -------
        AttemptHandle | Outcome
            An outcome if no byte was written and none will be; `on_result` is not called in this case.
        """

    def close_idle(self, server: str) -> None:
        """Close idle connections to a server."""

    def retire(self, server: str) -> None:
        """Stop reusing the currently open connections to a server; attempts in flight may complete."""


class AttemptObserver(Protocol):
    """Receives notifications of endpoint lists and attempts, and has no influence on them."""

    def on_endpoints_changed(self, event: api.EndpointsChanged) -> None:
        """Handle a new endpoint list."""

    def on_attempt_sent(
        self, server: str, attempt: AttemptId, latency_target_ms: float, now_ms: float
    ) -> None:
        """Handle an attempt that is being sent; `latency_target_ms` is the latency target of its class."""

    def on_attempt_ended(
        self, server: str, attempt: AttemptId, outcome: Outcome, latency_target_ms: float, now_ms: float
    ) -> None:
        """Handle the end of an attempt, which may never have been reported as sent."""


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one balancer and its host.

    Attributes
    ----------
    balancer : api.Settings
        The balancer's own settings.
    seed : int
        Seed of the balancer's random generator.
    may_send_retry_after : bool
        Whether rejections may include a suggested retry delay.
    """

    balancer: api.Settings
    seed: int
    may_send_retry_after: bool = False
