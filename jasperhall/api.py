"""The interface of the decision module: settings, events in, actions out.

A host hands each event with the time in milliseconds to `Balancer.handle` and carries out the
actions that come back, in order. All times are milliseconds on one clock that never runs back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a request may do when it runs more than once."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # carries a key; the servers of one scope drop its repeats for a while
    UNSAFE = "unsafe"  # must not run twice


class Scope(Enum):
    """The servers that know each other's keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    aim_ms: float  # an answer within this time earns the full worth
    deadline_ms: float  # what a client waits in all, over its own retries too
    effect: Effect = Effect.SAFE
    dedup_scope: Scope = Scope.ALL
    key_ttl_ms: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that an answer between aim and deadline earns
    stream: bool = False
    max_runs: int = 0  # attempts that may have run, at most; 0: as many as attempts are allowed

    def __post_init__(self) -> None:
        _positive(self, "aim_ms", "deadline_ms")
        _not_negative(self, "key_ttl_ms", "worth", "late_worth")


@dataclass(frozen=True, slots=True)
class Tenant:
    allowance_per_s: float  # requests a second, over all balancers, within its share

    def __post_init__(self) -> None:
        _not_negative(self, "allowance_per_s")


@dataclass(frozen=True, slots=True)
class AttemptBudget:
    """Attempts past each request's first that one balancer may make in any such span."""

    floor: float = 0.0  # so many in any case
    per_request: float = 0.0  # and this many for each request taken in the span
    span_ms: float = 10_000.0
    counts_unrun: bool = True  # also attempts that are known never to have run

    def __post_init__(self) -> None:
        _not_negative(self, "floor", "per_request")
        _positive(self, "span_ms")


@dataclass(frozen=True, slots=True)
class Settings:
    """What the operator lays down. Defaults are those of a lone balancer with few limits."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1  # balancers in this tier
    position: int = 0  # this one's place among them
    tier: int = 0  # the tier that this balancer sends to, 0 for the clients' entry
    tiers: int = 1
    zone: int = 0
    may_cancel: bool = True
    may_duplicate: bool = True
    max_attempts: int = 4
    attempt_budget: AttemptBudget | None = None  # None: the module's own
    must_ask: bool = False  # the server list comes only when asked for
    ask_within_ms: float = 10_000.0  # without a watch, the list must be asked for this often
    cold_from: float = 1.0  # a server starts with at least this share of its capacity
    warm_up_ms: float = 0.0  # and has all of it after this time
    overload_factor: float = 3.0  # sent this multiple of what it can do at that moment
    fall_ms: float = 3000.0  # for this time, a cold server falls over
    cross_zone_price: float = 0.0
    over_share_worth: float = 1.0  # worth of a request above its tenant's share
    whole_weight: float = 1.0  # what the worth answered in time counts for in the operators' goal
    worst_class_weight: float = 0.0  # and the share of it that the worst-served class has

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts: {self.max_attempts} is not at least 1")
        if not 0 <= self.position < self.balancers:
            raise ValueError(f"position: {self.position} is not below balancers ({self.balancers})")
        if not 0 <= self.tier < self.tiers:
            raise ValueError(f"tier: {self.tier} is not below tiers ({self.tiers})")
        if not 0 < self.cold_from <= 1:
            raise ValueError(f"cold_from: {self.cold_from} is not in (0, 1]")
        _positive(self, "ask_within_ms", "overload_factor", "fall_ms")
        _not_negative(
            self, "warm_up_ms", "cross_zone_price", "over_share_worth", "whole_weight", "worst_class_weight"
        )


def _positive(owner: object, *names: str) -> None:
    for name in names:
        if not getattr(owner, name) > 0:
            raise ValueError(f"{name}: {getattr(owner, name)} is not above 0")


def _not_negative(owner: object, *names: str) -> None:
    for name in names:
        if not getattr(owner, name) >= 0:
            raise ValueError(f"{name}: {getattr(owner, name)} is below 0")


# --- events ---


class State(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list."""

    name: str
    weight: float = 1.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    state: State = State.READY
    started_at: float = 0.0  # 0: long ago


class ListKind(Enum):
    DELTA = "delta"  # changed entries only
    FULL = "full"  # a server left out is gone
    CACHED = "cached"  # as this balancer last held it, perhaps long ago
    FAILED = "failed"  # asking failed, or the watch broke: nothing new


@dataclass(frozen=True, slots=True)
class ListChanged:
    kind: ListKind
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    request: str  # an id that never comes twice
    class_index: int
    left_ms: float  # time until the client gives this try up
    tenant: int = 0
    cost_ms: float | None = None  # expected work, where the client says
    is_retry: bool = False  # a client's repeat, where clients mark them


@dataclass(frozen=True, slots=True)
class ClientGone:
    request: str


class Outcome(Enum):
    """How an attempt ended; `ran` tells whether it can have taken effect."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # turned away unseen
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    CUT = "cut"  # a connection that was open broke before the request's last byte was written
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # never sent


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.CUT, Outcome.MOOT})


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: str
    attempt: int  # 0, 1, 2 ... in the order of the request's sends
    server: str
    outcome: Outcome
    final: bool  # the client has its answer; nothing is owed any more
    latency_ms: float = 0.0
    # What the server said of itself, some time old: util (share of its cores), qps, latency_ms, inflight ...
    load: Mapping[str, float] = field(default_factory=dict)
    # How strongly this end speaks against the server, in [0, 1]; None: as its outcome does on the mean.
    blame: float | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class Advised:
    """Which part of its weight, in (0, 1], each server that is named should keep; all others keep all of it.
    `reach`: over so many times as many ready servers as it would by itself should the balancer rotate, 1 or
    more.

    It takes the place of what was advised before. It shifts weight among ready servers, and nothing else: no
    server becomes ready by it, and no rule on retries, drains or budgets gives way.
    """

    keep: Mapping[str, float] = field(default_factory=dict)
    reach: float = 1.0


@dataclass(frozen=True, slots=True)
class Lent:
    """Sends to a cold server on top of the balancer's own part, good from now on for a time."""

    server: str
    started_at: float  # for this start of it alone
    sends: int
    for_ms: float


@dataclass(frozen=True, slots=True)
class BudgetChanged:
    """From now on `AttemptBudget.floor` is this, below 0 too: then so much less than the ratio gives."""

    floor: float


@dataclass(frozen=True, slots=True)
class ClassAdded:
    """One more class of requests, at the place behind the last one."""

    cls: RequestClass


Event = (
    ClassAdded
    | RequestArrived
    | AttemptEnded
    | TimerFired
    | ListChanged
    | ClientGone
    | StreamStarted
    | Advised
    | Lent
    | BudgetChanged
)


# --- actions ---


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt: the first, a further one or a backup copy."""

    request: str
    server: str
    timeout_ms: float = 0.0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: nothing has run, trying again is harmless."""

    request: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that promises nothing."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class Close:
    """Close the idle connections to a server; those in use stay."""

    server: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask discovery for changes from now on."""


Action = Send | Cancel | Refuse | Fail | SetTimer | Close | Watch
