"""Checks of the four rules against the logs of servers and clients, not against reports of the proxy."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from standins.load_generator import ClientAttempt, ClientLog, ClientOutcome
from standins.request_log import RequestLog

NETWORK_SLACK_S = 0.05  # the platform's tolerance for network delay and clock readings
DRAIN_NOTICE_S = 0.25  # within which the proxy must stop sending after it was notified


class RuleViolation(NamedTuple):
    """A violation of a rule, by the rule's number."""

    rule: int
    text: str


def check_rules(
    client_log: ClientLog,
    request_log: RequestLog,
    drained_at: Mapping[str, float] | None = None,
    network_slack_s: float = NETWORK_SLACK_S,
) -> list[RuleViolation]:
    """Return all violations of the four rules.

    `drained_at`: by server, when the proxy was notified that it must send nothing more to it.
    `network_slack_s`: how long bytes that were sent before a response may arrive after it.
    """
    return [
        *find_lost_requests(client_log, request_log, network_slack_s),
        *find_repeated_effects(client_log, request_log),
        *find_drain_violations(request_log, drained_at or {}),
        *find_overloaded_servers(request_log),
    ]


def find_lost_requests(
    client_log: ClientLog, request_log: RequestLog, network_slack_s: float = NETWORK_SLACK_S
) -> list[RuleViolation]:
    """Find attempts without a complete response in time, and sends after the response."""
    violations = []
    attempts_by_id: dict[str, ClientAttempt] = {}
    for attempt in client_log.attempts:
        attempts_by_id[attempt.request] = attempt
        if attempt.outcome in (ClientOutcome.CONNECTION_LOST, ClientOutcome.TIMED_OUT, ClientOutcome.PENDING):
            violations.append(
                RuleViolation(
                    1,
                    f"{attempt.request} ({attempt.cls}) ended: {attempt.outcome}, "
                    f"after {attempt.seconds:.3f} s",
                )
            )
    for entry in request_log.entries:
        matching = attempts_by_id.get(entry.request)
        if matching is None:
            violations.append(
                RuleViolation(1, f"{entry.server} received {entry.request}, which no client sent")
            )
        elif (
            matching.outcome in (ClientOutcome.ANSWERED, ClientOutcome.CANCELLED)
            and entry.first_byte_at > matching.ended_at + network_slack_s
        ):
            violations.append(
                RuleViolation(1, f"{entry.server} received {entry.request} after its final response")
            )
        elif matching.resent_at is not None and entry.first_byte_at < matching.resent_at - NETWORK_SLACK_S:
            violations.append(
                RuleViolation(1, f"{entry.request} had reached a server before its connection was closed")
            )
    return violations


def find_repeated_effects(client_log: ClientLog, request_log: RequestLog) -> list[RuleViolation]:
    """Find operations that took effect more than once though they are not safe to repeat.

    A rejection is allowed only if nothing was executed, or if a repeated execution is deduplicated.
    """
    violations = []
    effects = request_log.effects()
    effects_by_operation: dict[tuple[str, int], int] = {}
    for attempt in client_log.attempts:
        if attempt.effect == "safe":
            continue
        executed = effects.get(attempt.request, [])
        operation = attempt.request.rpartition("-")[0], attempt.operation
        effects_by_operation[operation] = effects_by_operation.get(operation, 0) + len(executed)
        if effects_by_operation[operation] > 1 and executed:
            violations.append(
                RuleViolation(2, f"{attempt.request} ({attempt.effect} {attempt.cls}) took effect again")
            )
        if attempt.effect == "unsafe" and attempt.was_rejected and executed:
            violations.append(
                RuleViolation(
                    2, f"{attempt.request} (unsafe {attempt.cls}) was rejected although it had been executed"
                )
            )
    return violations


def find_drain_violations(request_log: RequestLog, drained_at: Mapping[str, float]) -> list[RuleViolation]:
    return [
        RuleViolation(
            3,
            f"{entry.server} received {entry.request} "
            f"{entry.first_byte_at - drained_at[entry.server]:.3f} s after it was to receive nothing more",
        )
        for entry in request_log.entries
        if entry.first_byte_at > drained_at.get(entry.server, float("inf")) + DRAIN_NOTICE_S + NETWORK_SLACK_S
    ]


def find_overloaded_servers(request_log: RequestLog) -> list[RuleViolation]:
    return [
        RuleViolation(4, f"{server} crashed from overload at {at:.3f}")
        for server, at in request_log.overload_crashes
    ]
