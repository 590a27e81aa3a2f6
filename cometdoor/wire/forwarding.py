"""Messages that forward a request from an outbound proxy to the inbound proxy beside a backend."""

from __future__ import annotations

import msgspec


class ForwardRequest(msgspec.Struct, tag="r", array_like=True):
    """A request for the backend beside the called proxy.

    The reply is a `ForwardResponse`, `StreamedForwardResponse`, `NotExecuted` or `AttemptFailed`.
    """

    attempt_id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # end-to-end headers, without those that the inbound proxy adds itself
    body: bytes
    remaining_ms: float  # until the client's deadline
    latency_target_ms: float
    priority: int
    service: str
    instance: str
    is_not_idempotent: bool  # it may not be executed twice
    admitted_share: float = 1.0  # share of the requests of its kind that the outbound proxy admits, 0 to 1
    group: int = 0  # number of the batch of its kind with which it arrived at the outbound proxy; 0: alone
    group_size: float = 1.0  # mean number of requests in such batches
    is_retry: bool = False  # an earlier attempt of the same request may have arrived


class StreamedForwardRequest(msgspec.Struct, tag="rs", array_like=True):
    """A request whose body follows in chunks once the called proxy grants credit for it."""

    request: ForwardRequest  # with an empty body
    body_bytes: int


class StreamedForwardResponse(msgspec.Struct, tag="as", array_like=True):
    """The head of the backend's response, whose body follows in chunks."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body_bytes: int | None  # None: not known before the end


class ForwardResponse(msgspec.Struct, tag="a", array_like=True):
    """The complete response of the backend."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class NotExecuted(msgspec.Struct, tag="n", array_like=True):
    """The request was not executed and never will be: the inbound proxy rejected it."""

    reason: str
    retry_after_ms: float = 0.0  # time until there may be capacity


class AttemptFailed(msgspec.Struct, tag="b", array_like=True):
    """The backend received the request and sent no complete response: it may have executed the request."""

    outcome: str  # value of cometdoor.balancing.api.Outcome
    blame: float  # weight of the failure against the backend, from -1 to 1
