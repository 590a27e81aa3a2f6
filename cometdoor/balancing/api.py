"""The interface of the decision module: settings, events in, actions out.

A host passes each event, with the time, to `Balancer.handle` and executes the actions that come back, in
order. All times are milliseconds on one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """The effect of executing a request more than once."""

    SAFE = "safe"  # idempotent
    KEYED = "keyed"  # carries an idempotency key: servers of one scope deduplicate it for `key_ttl_ms`
    UNSAFE = "unsafe"  # must not be executed twice


class DedupScope(Enum):
    """The servers that share idempotency keys: all, those of one zone, or those of one cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: their latency target, deadline, value, and whether they may be retried."""

    latency_target_ms: float  # a response within this time earns the full value
    deadline_ms: float  # how long a client waits in total, its own retries included
    effect: Effect = Effect.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    key_ttl_ms: float = 0.0  # how long the servers remember an idempotency key
    value: float = 1.0  # of one timely response, relative to the other classes
    late_value: float = 0.0  # share of the value that a response between target and deadline earns
    stream: bool = False  # responses are streamed
    max_executions: int = 0  # attempts that may have been executed; 0: as many as attempts are allowed

    def __post_init__(self) -> None:
        _require_positive(self, "latency_target_ms", "deadline_ms")
        _require_not_negative(self, "key_ttl_ms", "value", "late_value")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A group of clients with a rate limit of its own."""

    allowance_per_s: float  # requests per second, over all balancers

    def __post_init__(self) -> None:
        _require_not_negative(self, "allowance_per_s")


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The number of attempts, beyond each request's first, that one balancer may make in any window."""

    floor: float = 0.0  # attempts that are allowed without any request
    per_request: float = 0.0  # additional attempts for each request that arrived in the window
    window_ms: float = 10_000.0
    counts_not_executed: bool = True  # whether to count attempts that follow only attempts not executed

    def __post_init__(self) -> None:
        _require_not_negative(self, "floor", "per_request")
        _require_positive(self, "window_ms")


@dataclass(frozen=True, slots=True)
class Settings:
    """The operator's settings. The defaults are for a single balancer with few limits."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1  # balancers in this tier
    position: int = 0  # index of this balancer among them, from 0
    tier: int = 0  # the tier that this balancer sends to; 0: the first one, which clients send to
    tiers: int = 1
    zone: int = 0
    may_cancel: bool = True
    may_duplicate: bool = True
    max_attempts: int = 4  # of one request, the first one included
    retry_budget: RetryBudget | None = None  # None: `balancer.DEFAULT_RETRY_BUDGET`
    must_watch: bool = False  # discovery sends the endpoint list only to balancers that watch it
    max_refresh_ms: float = 10_000.0  # a watch that failed must be renewed within this time
    slow_start_initial_share: float = 1.0  # an endpoint starts with at least this share of its capacity
    warm_up_ms: float = 0.0  # duration of slow start: after it the endpoint has its full capacity
    overload_factor: float = 3.0  # an endpoint in slow start collapses at this multiple of its capacity
    overload_tolerance_ms: float = 3000.0  # if the overload lasts this long
    cross_zone_price: float = 0.0  # price of sending a request to another zone; 0: zones are ignored
    over_share_value: float = 1.0  # share of its value that a request above its tenant's quota has
    total_value_weight: float = 1.0  # in the operators' goal, weight of the value that is answered in time
    worst_class_weight: float = 0.0  # in that goal, weight of the worst class's earned share of its value

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one class is required")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts: {self.max_attempts} (must be at least 1)")
        if not 0 <= self.position < self.balancers:
            raise ValueError(
                f"position: {self.position} (must be at least 0, below balancers = {self.balancers})"
            )
        if not 0 <= self.tier < self.tiers:
            raise ValueError(f"tier: {self.tier} (must be at least 0, below tiers = {self.tiers})")
        if not 0 < self.slow_start_initial_share <= 1:
            raise ValueError(f"slow_start_initial_share: {self.slow_start_initial_share} (must be in (0, 1])")
        _require_positive(self, "max_refresh_ms", "overload_factor", "overload_tolerance_ms")
        _require_not_negative(
            self,
            "warm_up_ms",
            "cross_zone_price",
            "over_share_value",
            "total_value_weight",
            "worst_class_weight",
        )


def _require_positive(owner: object, *names: str) -> None:
    for name in names:
        if not getattr(owner, name) > 0:
            raise ValueError(f"{name}: {getattr(owner, name)} (must be above 0)")


def _require_not_negative(owner: object, *names: str) -> None:
    for name in names:
        if not getattr(owner, name) >= 0:
            raise ValueError(f"{name}: {getattr(owner, name)} (must be at least 0)")


# --- events ---


class EndpointState(Enum):
    """The state of an endpoint, by which it may or may not be sent requests."""

    READY = "ready"
    DRAINING = "draining"  # no new requests; those in flight may complete
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    name: str
    weight: float = 1.0  # requests that it should get, relative to other endpoints
    zone: int = 0
    cell: int = 0
    kind: int = 0  # endpoints of one kind have similar latencies
    state: EndpointState = EndpointState.READY
    started_at: float = 0.0  # start time of its process in ms; 0: long ago


class EndpointListKind(Enum):
    """How an endpoint list relates to the previous one, or that no list was received."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # endpoints that are missing from it were removed
    CACHED = "cached"  # the last list that this balancer received, perhaps long ago
    FAILED = "failed"  # the request or the watch failed: no list


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """Discovery sent an endpoint list, or failed to send one."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client sent a request."""

    request: str  # a unique id
    class_index: int
    remaining_ms: float  # until the client abandons this request (it may then send a retry)
    tenant: int = 0  # index in `Settings.tenants`; without a tenant of that index there is no quota
    cost_ms: float | None = None  # service time that the client expects; None: not given
    is_retry: bool = False  # whether the client marked this as its own retry


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits for a response."""

    request: str


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"  # rejected before any execution
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    DISCONNECTED = "cut"  # the open connection was lost before the request's last byte was written
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # the attempt was abandoned before anything was sent


NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.DISCONNECTED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended. Each attempt ends exactly once."""

    request: str
    attempt: int  # 0, 1, 2 ... in the order of the request's sends
    server: str  # the endpoint's name
    outcome: Outcome
    is_final: bool  # the client has its final response
    latency_ms: float = 0.0
    # The endpoint's last load report: util (share of its cores), qps, latency_ms, inflight ...
    load: Mapping[str, float] = field(default_factory=dict)
    # How strongly this is evidence against the endpoint, in [0, 1]; None: the average for its outcome.
    blame: float | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed response was sent to the client."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that a `SetTimer` action requested has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class AdviceReceived:
    """Planners advise shifting weight among ready endpoints. Replaces all earlier advice.

    Advice changes weights only: no endpoint becomes ready, and rules on retries, drains and budgets apply.

    `weight_shares`: the share of its weight, in (0, 1], that each named endpoint keeps; the others keep all.
    `subset_scale`: multiple, 1 or more, of the subset size that the balancer would choose by itself.
    """

    weight_shares: Mapping[str, float] = field(default_factory=dict)
    subset_scale: float = 1.0


@dataclass(frozen=True, slots=True)
class SlowStartLeaseGranted:
    """Planners grant sends to an endpoint in slow start, on top of the balancer's own share."""

    server: str  # the endpoint's name
    started_at: float  # valid only while the endpoint's `started_at` has this value
    sends: int  # attempts that are granted
    duration_ms: float  # from now on


@dataclass(frozen=True, slots=True)
class BudgetChanged:
    """Replaces `RetryBudget.floor`; a negative floor reduces what `RetryBudget.per_request` allows."""

    floor: float


@dataclass(frozen=True, slots=True)
class ClassAdded:
    """A request class was added; its index is the next one after those of `Settings.classes`."""

    request_class: RequestClass


Event = (
    ClassAdded
    | RequestArrived
    | AttemptEnded
    | TimerFired
    | EndpointsChanged
    | ClientDisconnected
    | StreamStarted
    | AdviceReceived
    | SlowStartLeaseGranted
    | BudgetChanged
)


# --- actions ---


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt: the first one, a retry or a hedge."""

    request: str
    server: str  # the endpoint's name
    timeout_ms: float = 0.0  # 0: as long as the client waits


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final response: the request may safely be retried."""

    request: str
    retry_after_ms: float = 0.0  # when the client should retry; 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    """Final response: the request may or may not have been executed."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event with this token after `after_ms`."""

    token: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint; those in use stay open."""

    server: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Request the endpoint list and its changes from discovery."""


Action = Send | Cancel | Reject | Fail | SetTimer | CloseIdleConnections | WatchEndpoints
