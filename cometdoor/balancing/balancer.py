"""The balancer: all decisions about requests, without clock or I/O. Types: cometdoor/balancing/api.py.

A request goes to the next endpoint of a smooth weighted rotation. Without a response after a fixed delay it
gets one hedge on another endpoint, if it is idempotent and hedges are still a small share of the recent
attempts; the first response wins and the other attempt is cancelled (docs/design/hedged-requests.md).
"""

from __future__ import annotations

import math
import random
from dataclasses import replace

from cometdoor.balancing import api
from cometdoor.balancing.admission import OVERLOAD_USAGE, Admission, ClientTimeoutEstimate, TenantQuota
from cometdoor.balancing.api import DedupScope, Effect, EndpointListKind, Outcome
from cometdoor.balancing.attempts import (
    HedgeGate,
    IdleConnectionGuard,
    RetryLimiter,
    abandon_at,
    hedge_delay_ms,
    overdue_at,
)
from cometdoor.balancing.endpoint_selection import EndpointSelection
from cometdoor.balancing.latency_estimation import LatencyEstimator
from cometdoor.balancing.outlier_detection import OutlierDetector
from cometdoor.balancing.requests import Attempt, Request
from cometdoor.balancing.slow_start import SlowStart

OVERDUE_CHECK_SHARE = 0.2  # interval of checks for an overdue response, as a share of the latency target
TRIAL_HEDGE_DELAY_FACTOR = 0.5  # multiple of the usual delay, for trials: they rarely get a response
# Used if none is configured. Small, since retries multiply through tiers; random failures need some.
DEFAULT_RETRY_BUDGET = api.RetryBudget(floor=3.0, per_request=0.2, window_ms=10_000.0)
MAX_WATCH_DELAY_SHARE = 0.12  # longest delay before a failed watch is renewed, as a share of `max_refresh_ms`
MIN_IN_FLIGHT_PER_ENDPOINT = 3.0  # requests of all balancers together, admitted before the first response
MAX_QUEUE_WAIT_SHARE = 0.25  # longest wait in the admission queue, as a share of the latency target


class Balancer:
    """One balancer's decisions: events in, actions out. The same seed and events give the same actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._hedge_gate = HedgeGate()
        self._idle_guard = IdleConnectionGuard()
        self._outliers = OutlierDetector(self._rng)
        self._latency = LatencyEstimator(settings)
        self._slow_start = SlowStart(settings, self._rng)
        self._selection = EndpointSelection(
            settings, self._rng, self._latency, self._slow_start, self._outliers
        )
        self._requests: dict[str, Request] = {}
        self._retry_limiter = RetryLimiter(settings.retry_budget or DEFAULT_RETRY_BUDGET)
        self._quotas = [TenantQuota(tenant, settings.balancers) for tenant in settings.tenants]
        self._admission = Admission(settings)
        self._client_timeouts = [ClientTimeoutEstimate() for _ in settings.classes]
        self._timers: dict[int, str | None] = {}  # by token: request id, or None to renew the watch
        self._last_token = 0
        self._watch_scheduled = False
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Handle an event at the time `now`, in milliseconds; return the actions to execute, in order."""
        self._actions = []
        match event:
            case api.RequestArrived():
                self._on_request_arrived(event, now)
            case api.AttemptEnded():
                self._on_attempt_ended(event, now)
            case api.TimerFired():
                self._on_timer_fired(event.token, now)
            case api.EndpointsChanged():
                self._on_endpoints_changed(event, now)
            case api.ClientDisconnected():
                self._finish(event.request, now)
            case api.StreamStarted():
                self._on_stream_started(event)
            case api.ClassAdded(request_class=request_class):
                self._settings = replace(self._settings, classes=(*self._settings.classes, request_class))
                self._latency.add_class()
                self._client_timeouts.append(ClientTimeoutEstimate())
                self._admission.add_class(self._settings)
            case api.AdviceReceived():
                self._selection.apply_advice(event, now)
            case api.BudgetChanged():
                self._retry_limiter.floor = event.floor
            case api.SlowStartLeaseGranted():
                endpoint = self._selection.endpoints.get(event.server)
                if endpoint and endpoint.entry.started_at == event.started_at:
                    endpoint.leases.append([now + event.duration_ms, event.sends])
        while queued := self._admission.next_request(now):
            self._start(queued, now)
        return self._actions

    def ejected_endpoints(self) -> list[str]:
        """Return the names of the endpoints that are ejected, and get trial requests only."""
        endpoints = self._selection.endpoints.items()
        return sorted(name for name, endpoint in endpoints if self._outliers.is_ejected(endpoint.health))

    # --- endpoint list ---

    def _on_endpoints_changed(self, event: api.EndpointsChanged, now: float) -> None:
        settings = self._settings
        is_outdated = event.kind in (EndpointListKind.FAILED, EndpointListKind.CACHED)
        if settings.must_watch and not self._watch_scheduled and is_outdated:
            # A random delay, to spare a slow discovery. No backoff: the watch is due within `max_refresh_ms`.
            self._set_timer(None, self._rng.uniform(0.0, MAX_WATCH_DELAY_SHARE * settings.max_refresh_ms))
            self._watch_scheduled = True
        if event.kind is EndpointListKind.FAILED:
            return
        self._selection.update_endpoints(event, now)
        min_limit = MIN_IN_FLIGHT_PER_ENDPOINT * self._selection.ready_count / settings.balancers
        self._admission.min_limit = max(1.0, min_limit)

    # --- request lifecycle ---

    def _on_request_arrived(self, event: api.RequestArrived, now: float) -> None:
        if not 0 <= event.class_index < len(self._settings.classes):
            raise ValueError(f"class_index: {event.class_index} (must be the index of a request class)")
        cls, tenant = self._settings.classes[event.class_index], event.tenant
        value_share = 1.0
        # A client's own retry has less time left than its first attempt, and no longer earns the full value.
        is_shortened = self._client_timeouts[event.class_index].is_shortened(event.remaining_ms, now)
        if is_shortened and cls.deadline_ms - event.remaining_ms > cls.latency_target_ms:
            value_share = cls.late_value
        # Less value above the quota: otherwise one tenant's surge would displace tenants within theirs.
        elif tenant < len(self._quotas) and not self._quotas[tenant].try_acquire(now):
            value_share = self._settings.over_share_value
        abandon_time = abandon_at(cls, event.remaining_ms, now)
        request = Request(
            event.request, event.class_index, cls, value_share, arrived_at=now, abandon_at=abandon_time
        )
        self._requests[request.id] = request
        self._retry_limiter.on_request(now)
        if self._settings.tier or self._admission.has_capacity(request, now):
            self._start(request, now)
        else:
            self._admission.enqueue(request)
            wait_ms = min(MAX_QUEUE_WAIT_SHARE * cls.latency_target_ms, event.remaining_ms / 2)
            request.timer_token = self._set_timer(request.id, wait_ms)

    def _start(self, request: Request, now: float) -> None:
        self._admission.in_flight += 1
        self._send_attempt(request, now)
        if request.is_open:
            is_trial = self._outliers.is_ejected(request.attempts[0].endpoint.health)
            delay_ms = hedge_delay_ms(request, now) * (TRIAL_HEDGE_DELAY_FACTOR if is_trial else 1.0)
            request.timer_token = self._set_timer(request.id, delay_ms)

    def _counts_as_retry(self, request: Request) -> bool:
        """Return whether the request's next attempt counts against the retry budget.

        An attempt that follows only attempts which were not executed counts if the configured budget says so.
        By default it doesn't: endpoints that reject requests or accept no connection would use up the budget
        that others need. The cost: endpoints for which a rejection is expensive get more requests to reject.
        """
        budget = self._settings.retry_budget
        if budget and budget.counts_not_executed:
            return bool(request.attempts)
        return request.first_execution() is not None

    def _may_send(self, request: Request, now: float) -> bool:
        """Return whether rules 1 (no response yet), 2 (execute once) and 5 (budget) allow an attempt now."""
        if request.is_streaming or not request.is_open or now >= request.abandon_at:
            return False
        if len(request.attempts) >= self._settings.max_attempts:
            return False
        executions = sum(not attempt.not_executed for attempt in request.attempts)
        if request.cls.max_executions and executions >= request.cls.max_executions:
            return False
        if self._counts_as_retry(request) and not self._retry_limiter.allows_retry(now):
            return False
        if request.outstanding() and not self._settings.may_duplicate:
            return False
        first = request.first_execution()
        if first is None or request.cls.effect is Effect.SAFE:
            return True
        return request.cls.effect is Effect.KEYED and now - first.sent_at < request.cls.key_ttl_ms

    def _send_attempt(self, request: Request, now: float) -> bool:
        endpoint = None
        if self._may_send(request, now):
            caution = 1 if request.cls.effect is Effect.SAFE else 2
            while caution >= 0 and not endpoint:
                endpoint = self._selection.pick(request, now, caution)
                caution -= 1
            if endpoint is None and request.cls.effect is Effect.KEYED and not request.outstanding():
                endpoint = self._selection.pick(request, now, 0, repeat=True)
        if endpoint:
            if self._counts_as_retry(request):
                self._retry_limiter.on_retry_sent(now)
            if self._idle_guard.may_be_stale(endpoint, now):
                self._actions.append(api.CloseIdleConnections(endpoint.name))
                endpoint.idle_since = math.inf
            expected_ms = self._latency.expected_ms(request, endpoint, now)
            idle_ms = max(now - endpoint.idle_since, 0.0)
            request.attempts.append(Attempt(endpoint, now, expected_ms, idle_ms))
            endpoint.health.on_sent(expected_ms, now)
            self._outliers.on_sent(endpoint.health, now)
            endpoint.outstanding += 1
            endpoint.locality.outstanding += 1
            self._slow_start.on_sent(endpoint, now)
            self._actions.append(api.Send(request.id, endpoint.name, request.abandon_at - now))
        elif not request.outstanding():
            self._abandon(request, now)
        return endpoint is not None

    def _abandon(self, request: Request, now: float) -> None:
        """Respond at once: with a rejection, which invites a retry, if that is safe (rule 2); else a failure.

        The client is advised to retry after the longest queue wait: earlier the overload would be the same.
        """
        cls = request.cls
        is_retry_safe = request.first_execution() is None or cls.effect is Effect.SAFE
        if is_retry_safe or (cls.effect is Effect.KEYED and cls.dedup_scope is DedupScope.ALL):
            self._actions.append(api.Reject(request.id, MAX_QUEUE_WAIT_SHARE * cls.latency_target_ms))
        else:
            self._actions.append(api.Fail(request.id))
        self._finish(request.id, now)

    def _finish(self, request_id: str, now: float, is_served: bool = False) -> None:
        request = self._requests.get(request_id)
        if request is None or not request.is_open:
            return
        request.is_open = False
        cls, earned = request.cls, 0.0
        if is_served:
            earned = 1.0 if now - request.arrived_at <= cls.latency_target_ms else cls.late_value
        self._admission.class_values.on_request_ended(request.class_index, earned, request.value_share, now)
        if request.is_queued:
            self._admission.dequeue(request)
        elif not request.is_stalled:
            self._admission.in_flight -= 1
        if not request.is_streaming:
            self._cancel_attempts(request)
        if not request.outstanding():
            del self._requests[request.id]

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        request = self._requests.get(event.request)
        if request is None or not request.is_open or not 0 <= event.attempt < len(request.attempts):
            return
        request.is_streaming = True
        request.timer_token = 0
        self._cancel_attempts(request, event.attempt)

    def _cancel_attempts(self, request: Request, kept_index: int = -1) -> None:
        for index, attempt in enumerate(request.attempts):
            if index != kept_index and not attempt.has_ended and self._settings.may_cancel:
                self._actions.append(api.Cancel(request.id, index))

    def _on_timer_fired(self, token: int, now: float) -> None:
        request_id = self._timers.pop(token, "")
        if request_id is None:
            self._watch_scheduled = False
            self._actions.append(api.WatchEndpoints())
            return
        request = self._requests.get(request_id)
        if request is None or not request.is_open or request.timer_token != token:
            return
        if request.is_queued:
            self._abandon(request, now)
            return
        if not request.is_late:
            request.is_late = True
            self._hedge(request, now)
        # No longer counted as in flight: otherwise lost responses fill the limit, and requests are rejected
        # while endpoints are idle (17 lost responses caused 311 rejections).
        elif overdue_at(request) <= now and self._admission.target_usage.mean(0.0, 1.0, now) < OVERLOAD_USAGE:
            request.is_stalled = True
            self._admission.in_flight -= 1
            return
        due_at = max(overdue_at(request), now + OVERDUE_CHECK_SHARE * request.cls.latency_target_ms)
        request.timer_token = self._set_timer(request.id, due_at - now) if due_at < request.abandon_at else 0

    def _hedge(self, request: Request, now: float) -> None:
        for attempt in request.attempts:
            if not attempt.has_ended:
                # Counted as a failure: before the timeout, nothing else shows that an endpoint hangs.
                attempt.endpoint.failures.add(1.0, now)
                self._latency.failures.add(1.0, now)
        # Only once, even if the gate opens later: late hedges overload endpoints that still respond.
        if request.outstanding() == 1 and self._hedge_gate.is_open(now) and self._send_attempt(request, now):
            self._hedge_gate.on_hedge_sent(now)
            request.hedge_index = len(request.attempts) - 1

    def _set_timer(self, request_id: str | None, after_ms: float) -> int:
        self._last_token += 1
        self._timers[self._last_token] = request_id
        self._actions.append(api.SetTimer(self._last_token, after_ms))
        return self._last_token

    def _on_attempt_ended(self, event: api.AttemptEnded, now: float) -> None:
        request = self._requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt, outcome = request.attempts[event.attempt], event.outcome
        if attempt.has_ended:
            return
        attempt.has_ended = True
        attempt.not_executed = outcome in api.NOT_EXECUTED
        endpoint = attempt.endpoint
        endpoint.outstanding -= 1
        endpoint.locality.outstanding -= 1
        if outcome is Outcome.NOT_SENT and event.attempt:
            self._retry_limiter.on_not_sent(attempt.sent_at)
        self._hedge_gate.on_attempt_completed(now)
        if outcome is Outcome.OK and request.is_open and request.hedge_index:
            self._hedge_gate.win_rate.add(float(event.attempt == request.hedge_index), now)
        health, blame, age_ms = endpoint.health, event.blame, now - attempt.sent_at
        if self._idle_guard.is_idle_loss(attempt, outcome, now):
            # Not evidence against the endpoint: the network dropped the connection.
            self._outliers.on_attempt_ended(health, Outcome.NOT_SENT, attempt.expected_ms, age_ms, now)
            self._actions.append(api.CloseIdleConnections(endpoint.name))
        else:
            self._outliers.on_attempt_ended(health, outcome, attempt.expected_ms, age_ms, now, blame=blame)
            self._latency.record_outcome(attempt, request, outcome, now)
        self._latency.record_load(endpoint, event.load, now)
        if outcome in (Outcome.OK, Outcome.ERROR):
            endpoint.idle_since = now
        elif outcome in (Outcome.RESET, Outcome.DISCONNECTED):
            endpoint.idle_since = math.inf
        if request.is_open and outcome is Outcome.OK:
            self._admission.responses.add(1.0, now)
        shows_latency = event.is_final or outcome is Outcome.TIMEOUT
        if request.is_open and not request.is_stalled and shows_latency:
            self._admission.target_usage.add((now - request.arrived_at) / request.cls.latency_target_ms, now)
        if event.is_final or not request.is_open:
            self._finish(request.id, now, is_served=outcome is Outcome.OK)
            if not request.outstanding():
                self._requests.pop(request.id, None)
        elif not request.outstanding():
            self._send_attempt(request, now)
