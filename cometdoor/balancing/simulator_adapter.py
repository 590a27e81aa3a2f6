"""Runs balancers for the simulator, by its protocol on standard input and output. No decisions are made here.

Each input line is a JSON object with events for many instances, each output line the reply with actions.
Endpoint lists are decoded once for the process and passed to the instances as immutable values; instances
share nothing else. Names in strings are those of the protocol.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from cometdoor.balancing import api
from cometdoor.balancing.balancer import Balancer

EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
DEDUP_SCOPES = {"all": api.DedupScope.ALL, "zone": api.DedupScope.ZONE, "cell": api.DedupScope.CELL}
STATES = {
    "on": api.EndpointState.READY,
    "fading": api.EndpointState.DRAINING,
    "off": api.EndpointState.REMOVED,
}
LIST_KINDS = {
    "Partial": api.EndpointListKind.DELTA,
    "Complete": api.EndpointListKind.FULL,
    "Persisted": api.EndpointListKind.CACHED,
    "Error": api.EndpointListKind.FAILED,
}
OUTCOMES = {
    "completed": api.Outcome.OK,
    "errored": api.Outcome.ERROR,
    "saturated": api.Outcome.REJECTED,
    "overdue": api.Outcome.TIMEOUT,
    "refused_conn": api.Outcome.CONNECT_FAILED,
    "severed": api.Outcome.RESET,
    "recalled": api.Outcome.CANCELLED,
    "superseded": api.Outcome.NOT_SENT,
}
LOAD_METRICS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
COST_IS_VALID, IS_RETRY = 1, 2  # bits of the event "demand"

Values = list[Any]


class MalformedInputError(Exception):
    """A line of the input doesn't follow the simulator's protocol."""


def get_or_default(owner: dict[str, Any], name: str, default: Any) -> Any:
    """Return a value that may be left out; null counts as absent."""
    value = owner.get(name)
    return default if value is None else value


def read_class(class_record: dict[str, Any]) -> api.RequestClass:
    """Decode a request class. Raises KeyError if a mandatory value is missing or unknown."""
    return api.RequestClass(
        latency_target_ms=class_record["aim_ms"],
        deadline_ms=class_record["deadline_ms"],
        effect=EFFECTS[class_record["effect"]],
        dedup_scope=DEDUP_SCOPES[get_or_default(class_record, "dedup_scope", "all")],
        key_ttl_ms=get_or_default(class_record, "key_ttl_ms", 0.0),
        value=get_or_default(class_record, "worth", 1.0),
        late_value=get_or_default(class_record, "late_worth", 0.0),
        stream=get_or_default(class_record, "stream", False),
    )


def read_budget(rules: dict[str, Any]) -> api.RetryBudget | None:
    """Decode the retry budget; return None if the rules give none."""
    keys = {"extra_floor": "floor", "extra_per_request": "per_request", "ratio_span_ms": "window_ms"}
    arguments = {name: rules[key] for key, name in keys.items() if rules.get(key) is not None}
    return api.RetryBudget(**arguments) if arguments.keys() & {"floor", "per_request"} else None


def read_settings(info: dict[str, Any]) -> api.Settings:
    """Decode an instance's settings. Raises ValueError with the name of a setting that is out of range."""
    limits, rules, prices, goal = (
        get_or_default(info, name, {}) for name in ("limits", "obligations", "fees", "goal")
    )
    return api.Settings(
        classes=tuple(read_class(class_record) for class_record in info["lanes"]),
        tenants=tuple(
            api.Tenant(tenant["allowance_per_s"]) for tenant in get_or_default(info, "tenants", ())
        ),
        balancers=get_or_default(info, "group_size", 1),
        position=get_or_default(info, "position", 0),
        tier=get_or_default(info, "stage", 0),
        tiers=len(get_or_default(info, "tiers", ("",))),
        zone=get_or_default(info, "zone", 0),
        may_cancel=get_or_default(limits, "cancel", False),
        may_duplicate=get_or_default(limits, "may_duplicate", False),
        max_attempts=get_or_default(limits, "try_limit", 1),
        retry_budget=read_budget(rules),
        must_watch=info.get("discovery") == "subscribe",
        max_refresh_ms=get_or_default(rules, "ask_within_ms", 10_000.0),
        slow_start_initial_share=get_or_default(rules, "cold_from", 1.0),
        warm_up_ms=get_or_default(rules, "ramp_time_ms", 0.0),
        overload_factor=get_or_default(rules, "overload_factor", 3.0),
        overload_tolerance_ms=get_or_default(rules, "fall_ms", 3000.0),
        cross_zone_price=get_or_default(prices, "cross_zone", 0.0),
        over_share_value=get_or_default(info, "over_share_worth", 1.0),
        total_value_weight=get_or_default(goal, "whole", 1.0),
        worst_class_weight=get_or_default(goal, "worst_class", 0.0),
    )


def read_server(record: Values) -> api.Endpoint:
    """Decode an entry of an endpoint list."""
    kind, weight, cell, zone, state, name, started_at = record[:7]
    return api.Endpoint(name, weight, zone, cell, kind, STATES[state], started_at or 0.0)


def read_arrival(values: Values) -> api.Event:
    """Decode the event "demand"."""
    request, class_index, cost_ms, _key, tenant, bits, remaining_ms = values[1:8]
    bits = bits or 0
    return api.RequestArrived(
        request,
        int(class_index),
        float(remaining_ms),
        int(tenant or 0),
        cost_ms if bits & COST_IS_VALID else None,
        bool(bits & IS_RETRY),
    )


def read_outcome(values: Values) -> api.Event:
    """Decode the event "outcome"."""
    request, server, attempt, outcome, is_final, latency_ms, load = values[1:8]
    return api.AttemptEnded(
        request,
        int(attempt),
        server,
        OUTCOMES[outcome],
        bool(is_final),
        float(latency_ms or 0.0),
        read_load(load),
    )


def read_load(usage: Any) -> dict[str, float]:
    """Decode a load report; its metrics get the names that the platform uses."""
    return {LOAD_METRICS.get(name, name): float(value) for name, value in usage.items()} if usage else {}


EVENT_DECODERS: dict[str, Callable[[Values], api.Event]] = {
    "demand": read_arrival,
    "outcome": read_outcome,
    "tick_due": lambda values: api.TimerFired(values[1]),
    "client_gone": lambda values: api.ClientDisconnected(values[1]),
    "first": lambda values: api.StreamStarted(values[1], values[2]),
}

ACTION_ENCODERS: dict[type[Any], Callable[[Any], Values]] = {
    api.Send: lambda action: ["route", action.request, action.server, action.timeout_ms],
    api.Cancel: lambda action: ["cancel", action.request, action.attempt],
    api.Reject: lambda action: ["bounce", action.request, action.retry_after_ms],
    api.Fail: lambda action: ["respond_error", action.request],
    api.SetTimer: lambda action: ["set_timer", action.token, action.after_ms],
    api.CloseIdleConnections: lambda action: ["hang_up", action.server],
    api.WatchEndpoints: lambda action: ["subscribe", True],
}


class InstanceHost:
    """The balancer instances of one process."""

    def __init__(self) -> None:
        self._instances: dict[int, Balancer] = {}
        self._lists: dict[int, tuple[api.Endpoint, ...]] = {}

    def run_batch(self, line: bytes) -> bytes:
        """Handle the events of one line and return the reply.

        Raises
        ------
        MalformedInputError
            If the line can't be decoded.
        """
        try:
            batch = orjson.loads(line)
            now = float(batch["wall_ms"])
            replies = []
            for group in batch["proxys"]:
                instance = group["proxy_id"]
                orders: list[Values] = []
                for values in group["input"]:
                    self._run_event(instance, values, now, orders)
                if orders:
                    replies.append({"proxy_id": instance, "orders": orders})
        except (
            orjson.JSONDecodeError,
            KeyError,
            IndexError,
            TypeError,
            ValueError,
            AttributeError,
        ) as error:
            raise MalformedInputError(f"{type(error).__name__}: {error}") from error
        return orjson.dumps({"proxys": replies})

    def _run_event(self, instance: int, values: Values, now: float, orders: list[Values]) -> None:
        if not isinstance(values, list):
            raise TypeError(f"an event must be an array, not {type(values).__name__}")
        name = values[0]
        if name == "census":
            self._lists[values[1]] = tuple(read_server(record) for record in values[2])
        elif name == "open_instance":
            settings = read_settings(values[2])
            self._instances[instance] = Balancer(settings, int(values[1]))
        elif name == "teardown":
            self._instances.pop(instance, None)
            orders.clear()  # their requests are unknown to the next instance of that number
        elif instance in self._instances:
            if name == "membership":
                kind = LIST_KINDS[values[1]]
                endpoints = () if kind is api.EndpointListKind.FAILED else self._lists[values[3]]
                event: api.Event = api.EndpointsChanged(kind, endpoints)
            elif name in EVENT_DECODERS:
                event = EVENT_DECODERS[name](values)
            else:
                return
            # An exception from here on is a fault of the decision module, not of the input.
            try:
                actions = self._instances[instance].handle(event, now)
            except Exception as error:
                orders.append(["give_in", f"{type(error).__name__}: {error}"])
                return
            orders.extend(ACTION_ENCODERS[type(action)](action) for action in actions)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer each line of `source` until its end; return the exit status: 2 for a malformed line, else 0."""
    host = InstanceHost()
    for number, line in enumerate(source, 1):
        try:
            reply = host.run_batch(line)
        except MalformedInputError as error:
            print(f"simulator_adapter: line {number} is malformed: {error}", file=sys.stderr)
            return 2
        sink.write(reply + b"\n")
        sink.flush()
    return 0


def main() -> int:
    """Serve standard input and output."""
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
