"""Open requests of a host, and their attempts."""

from __future__ import annotations

from typing import Generic

from cometdoor.host.clock import Timer
from cometdoor.host.interfaces import AttemptHandle, RequestT, ResponseListener, ResponseT


class ActiveRequest(Generic[RequestT, ResponseT]):
    """A request whose client waits for a response, or that has an attempt in flight.

    Attributes
    ----------
    client : ResponseListener | None
        The client that waits for a response; None once it has received one or has disconnected.
    expires_at_ms : float
        When its attempts time out, on the host's clock.
    attempts : list[ActiveAttempt]
        All attempts, in the order in which they were sent.
    timer : Timer | None
        Timer of the host's own failure response shortly before the client's deadline.
    """

    __slots__ = ("attempts", "client", "expires_at_ms", "id", "request", "timer")

    def __init__(
        self, id: str, client: ResponseListener[ResponseT], request: RequestT, expires_at_ms: float
    ) -> None:
        self.id = id
        self.client: ResponseListener[ResponseT] | None = client
        self.request = request
        self.expires_at_ms = expires_at_ms
        self.attempts: list[ActiveAttempt[RequestT, ResponseT]] = []
        self.timer: Timer | None = None

    def is_finished(self) -> bool:
        """Return whether no client waits and no attempt is in flight."""
        return self.client is None and all(attempt.is_ended for attempt in self.attempts)


class ActiveAttempt(Generic[RequestT, ResponseT]):
    """One attempt of a request; its times are in ms on the host's clock."""

    __slots__ = (
        "active_request",
        "expires_at_ms",
        "handle",
        "index",
        "is_ended",
        "sent_at",
        "server",
        "timer",
    )

    def __init__(
        self,
        active_request: ActiveRequest[RequestT, ResponseT],
        index: int,
        server: str,
        sent_at: float,
        expires_at_ms: float,
    ) -> None:
        self.active_request = active_request
        self.index = index
        self.server = server
        self.sent_at = sent_at
        self.expires_at_ms = expires_at_ms
        self.is_ended = False
        self.handle: AttemptHandle | None = None
        self.timer: Timer | None = None
