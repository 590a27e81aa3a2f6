"""Rule checker for the decision module: feeds events to it and rejects any action that breaks a rule.

It has no model of servers: a test passes the events and chooses the outcome of each attempt. The rules are
checked as the operators state them, independently of the module's own records.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from cometdoor.balancing import api
from cometdoor.balancing.api import DedupScope, Effect, EndpointListKind, EndpointState, Outcome
from cometdoor.balancing.balancer import Balancer


class RuleViolation(AssertionError):
    """An action of the decision module breaks a rule."""

    pass


SAFE = api.RequestClass(latency_target_ms=1000, deadline_ms=3000)
KEYED = replace(SAFE, effect=Effect.KEYED, dedup_scope=DedupScope.CELL, key_ttl_ms=1500)
KEYED_ALL = replace(KEYED, dedup_scope=DedupScope.ALL)
UNSAFE = replace(SAFE, effect=Effect.UNSAFE)
SETTINGS = api.Settings(classes=(SAFE, KEYED, KEYED_ALL, UNSAFE))


def endpoints(count: int) -> tuple[api.Endpoint, ...]:
    return tuple(api.Endpoint(f"s{i}", zone=i % 2, cell=i // 3, kind=i % 2) for i in range(count))


@dataclass
class SentAttempt:
    """An attempt that the module has sent."""

    server: api.Endpoint
    sent_at: float
    deadline: float  # time at which it times out
    outcome: Outcome | None = None

    def may_have_executed(self) -> bool:
        return self.outcome not in api.NOT_EXECUTED


@dataclass
class TrackedRequest:
    """A request with its attempts, until it is answered."""

    cls: api.RequestClass
    deadline: float
    sent: list[SentAttempt] = field(default_factory=list)
    answered: str = ""

    def outstanding(self) -> list[int]:
        return [i for i, sent in enumerate(self.sent) if sent.outcome is None]


class RuleChecker:
    """A balancer with a clock, timers and the records that its actions are checked against."""

    def __init__(self, settings: api.Settings = SETTINGS, seed: int = 1) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = 100_000.0
        self.endpoints: dict[str, api.Endpoint] = {}
        self.requests: dict[str, TrackedRequest] = {}
        self.arrivals: list[float] = []
        self.retries: list[SentAttempt] = []  # all attempts but the first of each request
        self.timers: list[tuple[float, int]] = []
        self.log: list[api.Action] = []

    def feed(self, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.EndpointsChanged) and event.kind is not EndpointListKind.FAILED:
            if event.kind is not EndpointListKind.DELTA:
                removed = {n: replace(s, state=EndpointState.REMOVED) for n, s in self.endpoints.items()}
                self.endpoints.update(removed)
            self.endpoints.update({server.name: server for server in event.endpoints})
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self.check(action)
        self.log.extend(actions)
        return actions

    # --- events ---

    def list_servers(
        self, *entries: api.Endpoint, kind: EndpointListKind = EndpointListKind.FULL
    ) -> list[api.Action]:
        return self.feed(api.EndpointsChanged(kind, entries))

    def request(
        self, name: str, class_index: int = 0, remaining_ms: float = 3000.0, tenant: int = 0
    ) -> list[api.Action]:
        self.arrivals.append(self.now)
        self.requests[name] = TrackedRequest(self.settings.classes[class_index], self.now + remaining_ms)
        return self.feed(api.RequestArrived(name, class_index, remaining_ms, tenant))

    def end_attempt(
        self,
        name: str,
        attempt: int,
        outcome: Outcome,
        load: dict[str, float] | None = None,
        blame: float | None = None,
    ) -> list[api.Action]:
        request = self.requests[name]
        sent = request.sent[attempt]
        sent.outcome = outcome
        if outcome is Outcome.OK and not request.answered:
            request.answered = "served"
        return self.feed(
            api.AttemptEnded(
                name,
                attempt,
                sent.server.name,
                outcome,
                bool(request.answered),
                self.now - sent.sent_at,
                load or {},
                blame,
            )
        )

    def disconnect(self, name: str) -> list[api.Action]:
        self.requests[name].answered = self.requests[name].answered or "left"
        return self.feed(api.ClientDisconnected(name))

    def advance(self, ms: float) -> None:
        """Advance the time: timers fire, and attempts end at their clients' deadlines."""
        target = self.now + ms
        while True:
            deadlines = [
                (request.sent[attempt].deadline, name, attempt)
                for name, request in self.requests.items()
                for attempt in request.outstanding()
                if request.sent[attempt].deadline <= target and not request.answered
            ]
            due = min(self.timers, default=(float("inf"), 0))
            deadline = min(deadlines, default=None)
            if deadline and deadline[0] <= due[0]:
                self.now = max(self.now, deadline[0])
                self.end_attempt(deadline[1], deadline[2], Outcome.TIMEOUT)
            elif due[0] <= target:
                self.timers.remove(due)
                self.now = max(self.now, due[0])
                self.feed(api.TimerFired(due[1]))
            else:
                break
        self.now = target
        for name, request in self.requests.items():
            if not request.answered and self.now > request.deadline:
                raise RuleViolation(f"rule 1: {name} has no final answer before its deadline")

    # --- rules ---

    def check(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self.check_send(action)
            case api.Reject() | api.Fail():
                request = self.requests[action.request]
                if isinstance(action, api.Reject) and not request.answered:
                    self.check_rejection(action.request, request)
                request.answered = request.answered or type(action).__name__
            case api.Cancel():
                if not self.settings.may_cancel:
                    raise RuleViolation("an attempt is cancelled although the settings do not permit it")
                if action.attempt >= len(self.requests[action.request].sent):
                    raise RuleViolation("an attempt is cancelled that was never sent")
            case api.SetTimer():
                self.timers.append((self.now + action.after_ms, action.token))

    def check_send(self, action: api.Send) -> None:
        request, server = self.requests[action.request], self.endpoints[action.server]
        if request.answered:
            raise RuleViolation("rule 1: an attempt is sent after the final answer")
        if server.state is not EndpointState.READY:
            raise RuleViolation("rule 3: an attempt is sent to a server that is draining or was removed")
        if request.outstanding() and not self.settings.may_duplicate:
            raise RuleViolation("rule 2: concurrent attempts although the settings do not permit duplicates")
        if len(request.sent) >= self.settings.max_attempts:
            raise RuleViolation("more attempts than `max_attempts`")
        for sent in request.sent:
            if not sent.may_have_executed():
                continue
            if request.cls.effect is Effect.UNSAFE:
                raise RuleViolation("rule 2: an unsafe request that may have been executed is retried")
            if request.cls.effect is Effect.KEYED:
                scope = request.cls.dedup_scope
                if (scope is DedupScope.CELL and server.cell != sent.server.cell) or (
                    scope is DedupScope.ZONE and server.zone != sent.server.zone
                ):
                    raise RuleViolation("rule 2: a keyed request is retried outside its deduplication scope")
                if self.now - sent.sent_at > request.cls.key_ttl_ms:
                    raise RuleViolation("rule 2: a keyed request is retried after its key expired")
        limit_ms = action.timeout_ms or request.deadline - self.now
        sent = SentAttempt(server, self.now, min(request.deadline, self.now + limit_ms))
        request.sent.append(sent)
        if len(request.sent) > 1:
            self.retries.append(sent)
            self.check_budget()

    def check_budget(self) -> None:
        """Check the retry budget by a count over all sends and arrivals, independent of the module's own."""
        budget = self.settings.retry_budget
        if budget is None:
            return
        since = self.now - budget.window_ms
        retries = sum(sent.sent_at >= since and sent.outcome is not Outcome.NOT_SENT for sent in self.retries)
        arrivals = sum(at > since for at in self.arrivals)
        if retries > budget.floor + budget.per_request * arrivals:
            raise RuleViolation(
                f"rule 5: {retries} retries and hedges exceed the budget for {arrivals} requests"
            )

    def check_rejection(self, name: str, request: TrackedRequest) -> None:
        may_have_executed = any(sent.may_have_executed() for sent in request.sent)
        may_be_rejected = request.cls.effect is Effect.SAFE or (
            request.cls.effect is Effect.KEYED and request.cls.dedup_scope is DedupScope.ALL
        )
        if may_have_executed and not may_be_rejected:
            raise RuleViolation(f"rule 2: {name} is rejected although it may have been executed")
