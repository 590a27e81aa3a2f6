"""The simulator adapter end to end, as a subprocess with hand-written input lines."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import pytest

LANE = {
    "aim_ms": 1000.0,
    "deadline_ms": 3000.0,
    "dedup_scope": "all",
    "effect": "retryable",
    "key_ttl_ms": 0.0,
    "late_worth": 0.2,
    "name": "read",
    "stream": False,
    "worth": 1.0,
    "a_key_to_come": 1,
}
INFO = {
    "client_habits": {"marks_retry": False},
    "counted_by": "request",
    "discovery": "automatic",
    "extra": {},
    "family": "chain",
    "fees": {"connection": 0.0, "cross_zone": 0.0, "handshake": 0.0, "probe": 0.0, "waste": 0.0},
    "group_size": 3,
    "host_types": ["std"],
    "lanes": [
        LANE,
        {**LANE, "effect": "dedup", "dedup_scope": "cell", "key_ttl_ms": 900.0},
        {**LANE, "effect": "fragile"},
    ],
    "limits": {
        "cancel": True,
        "may_duplicate": True,
        "max_open": 100,
        "max_retry_after_ms": 500.0,
        "multiplex": 1,
        "probes": False,
        "retry_after": True,
        "try_limit": 4,
    },
    "obligations": {
        "ask_within_ms": 10000.0,
        "cold_from": 0.3,
        "fall_ms": 3000.0,
        "overload_factor": 3.0,
        "ramp_time_ms": 9000.0,
    },
    "over_share_worth": 1.0,
    "position": 0,
    "report": {"columns": [], "how": "off"},
    "round_ms": 5.0,
    "stage": 0,
    "tenants": [],
    "tiers": ["front"],
    "weights": "rough",
    "zone": 0,
    "zones": ["a"],
    "a_key_to_come": {},
}
CENSUS = ["census", 0, [[0, 1.0, i // 3, 0, "on", f"backend-{i}", None, "more"] for i in range(6)]]


def opening(position: int = 0, **changes: Any) -> list[Any]:
    return [
        ["open_instance", 7 + position, {**INFO, "position": position, **changes}],
        CENSUS,
        ["membership", "Persisted", 1, 0],
    ]


def batch(at: float, **instances: list[Any]) -> dict[str, Any]:
    return {
        "wall_ms": at,
        "proxys": [{"proxy_id": int(name[1:]), "input": events} for name, events in instances.items()],
    }


def demand(request: str, lane: int = 0, remaining_ms: float = 2000.0) -> list[Any]:
    return ["demand", request, lane, None, "acct/k", 0, 0, remaining_ms, "more"]


def run(*lines: Any, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "cometdoor.balancing.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        check=False,
    )


def orders(result: subprocess.CompletedProcess[str], instance: int = 0) -> list[list[Any]]:
    assert result.returncode == 0, result.stderr
    return [
        order
        for line in result.stdout.splitlines()
        for group in json.loads(line)["proxys"]
        if group["proxy_id"] == instance
        for order in group["orders"]
    ]


def test_each_batch_gets_one_reply() -> None:
    result = run(batch(1.0), batch(2.0, p0=opening()), batch(3.0, p0=[demand("00aa")]))
    assert result.stdout.splitlines()[0] == '{"proxys":[]}'
    assert len(result.stdout.splitlines()) == 3


def test_a_request_is_sent_hedged_and_its_losing_attempt_cancelled() -> None:
    opened = [batch(0.0, p0=opening()), batch(1.0, p0=[demand("00aa")])]
    first, timer = orders(run(*opened))
    assert first[:2] == ["route", "00aa"] and first[2].startswith("backend-")
    assert timer[0] == "set_timer"
    timer_fired = batch(timer[2] + 1.0, p0=[["tick_due", timer[1]], ["tick_due", 10**9]])
    hedge = orders(run(*opened, timer_fired))[-1]
    assert hedge[:2] == ["route", "00aa"] and hedge[2] != first[2]
    hedge_answered = batch(
        timer[2] + 9.0,
        p0=[["outcome", "00aa", hedge[2], 1, "completed", True, 8.0, {"load_share": 0.5}, "more"]],
    )
    assert orders(run(*opened, timer_fired, hedge_answered))[-1] == ["cancel", "00aa", 0]


@pytest.mark.parametrize(("lane", "answer"), [(0, "bounce"), (1, "respond_error"), (2, "respond_error")])
def test_a_request_past_its_deadline_ends_as_its_class_allows(lane: int, answer: str) -> None:
    opened = [batch(0.0, p0=opening()), batch(1.0, p0=[demand("00aa", lane)])]
    server = orders(run(*opened))[0][2]
    timed_out = batch(2001.0, p0=[["outcome", "00aa", server, 0, "overdue", False, 2000.0, None]])
    assert orders(run(*opened, timed_out))[-1][0] == answer


def test_idle_connections_are_closed() -> None:
    single_server = ["census", 0, [[0, 1.0, 0, 0, "on", "backend-0", None]]]
    ok, lost = ("completed", True), ("severed", False)
    lines = [batch(0.0, p0=[["open_instance", 7, INFO], single_server, ["membership", "Persisted", 1, 0]])]
    for request, at, (outcome, final) in [("aa", 10.0, ok), ("bb", 3000.0, lost), ("cc", 3100.0, ok)]:
        lines.append(batch(at, p0=[demand(request, 2)]))
        lines.append(batch(at + 2.0, p0=[["outcome", request, "backend-0", 0, outcome, final, 2.0, None]]))
    lines.append(batch(9000.0, p0=[demand("dd", 2)]))
    assert [order[0] for order in orders(run(*lines)) if order[0] != "set_timer"] == [
        "route",
        "route",
        "hang_up",
        "respond_error",
        "route",
        "hang_up",
        "route",
    ]


def test_list_numbers_are_reused_within_a_batch() -> None:
    drained = ["census", 0, [[0, 1.0, 0, 0, "fading", f"backend-{i}", None] for i in range(6)]]
    other = ["census", 0, [[0, 1.0, 0, 0, "on", "backend-new", None]]]
    result = run(
        batch(0.0, p0=opening()),
        batch(
            1.0,
            p0=[
                drained,
                ["membership", "Partial", 2, 0],
                other,
                ["membership", "Partial", 3, 0],
                demand("00aa"),
            ],
        ),
    )
    assert orders(result)[0][:3] == ["route", "00aa", "backend-new"]


def test_a_closed_instance_sends_nothing_and_may_be_opened_again() -> None:
    result = run(
        batch(0.0, p0=opening()),
        batch(1.0, p0=[["teardown"], demand("00aa")]),
        batch(2.0, p0=[*opening(), demand("00bb")]),
    )
    assert [order[1] for order in orders(result) if order[0] == "route"] == ["00bb"]


def test_unknown_events_and_closed_requests_change_nothing() -> None:
    result = run(
        batch(0.0, p0=opening()),
        batch(
            1.0,
            p0=[
                ["an_event_to_come", 1],
                ["peer_data", 1, "00"],
                ["client_gone", "00ff"],
                ["first", "00ff", 0, "x", 1.0],
                ["checked", 1.0, "backend-0", "completed", None],
                ["outcome", "00ff", "backend-0", 0, "errored", False, 1.0, None],
            ],
        ),
    )
    assert orders(result) == []


@pytest.mark.parametrize(
    "line",
    [
        "not json",
        "[]",
        "{}",
        '{"wall_ms":1}',
        '{"wall_ms":"x","proxys":[]}',
        '{"wall_ms":1,"proxys":[{}]}',
        '{"wall_ms":1,"proxys":[{"proxy_id":0,"input":[[]]}]}',
        '{"wall_ms":1,"proxys":[{"proxy_id":0,"input":[["open_instance",1,{}]]}]}',
    ],
)
def test_malformed_input_ends_with_an_error_message(line: str) -> None:
    result = run(batch(0.0), line)
    assert result.returncode == 2
    assert result.stderr.startswith("simulator_adapter: line 2 is malformed: ")
    assert "Traceback" not in result.stderr


@pytest.mark.parametrize(
    ("rules", "routes"),
    [
        ({"extra_floor": 0.0, "extra_per_request": 0.0, "ratio_span_ms": 5000.0}, 1),
        ({"extra_floor": 1.0}, 2),
        ({"extra_per_request": 1.0, "ratio_span_ms": 2000.0}, 2),
        ({"extra_per_request": 1.0, "ratio_span_ms": 900.0}, 1),
        ({"extra_floor": None, "extra_per_request": None}, 2),
    ],
)
def test_the_retry_budget_is_applied(rules: dict[str, float], routes: int) -> None:
    obligations = {**INFO["obligations"], **rules}  # type: ignore[dict-item]
    opened = [batch(0.0, p0=opening(obligations=obligations)), batch(1.0, p0=[demand("00aa", 2)])]
    server = orders(run(*opened))[0][2]
    failed = batch(1001.0, p0=[["outcome", "00aa", server, 0, "saturated", False, 1000.0, None]])
    assert [order[0] for order in orders(run(*opened, failed))].count("route") == routes


@pytest.mark.parametrize("key", ["extra_floor", "extra_per_request", "ratio_span_ms"])
def test_an_invalid_retry_budget_is_malformed_input(key: str) -> None:
    obligations = {**INFO["obligations"], "extra_floor": 1.0, key: -1.0}  # type: ignore[dict-item]
    result = run(batch(0.0), batch(0.0, p0=opening(obligations=obligations)))
    field = {"extra_floor": "floor", "extra_per_request": "per_request", "ratio_span_ms": "window_ms"}[key]
    assert (result.returncode, result.stderr.count("\n")) == (2, 1)
    assert f"line 2 is malformed: ValueError: {field}: -1.0" in result.stderr


def test_invalid_settings_are_malformed_input() -> None:
    result = run(batch(0.0, p0=opening(position=5)))
    assert result.returncode == 2
    assert "position" in result.stderr


def test_an_internal_error_of_the_balancer_is_reported_to_the_simulator() -> None:
    result = run(batch(0.0, p0=opening()), batch(1.0, p0=[demand("00aa", lane=9)]))
    assert [order[0] for order in orders(result)] == ["give_in"]


def make_batches(*instances: int) -> list[Any]:
    names = [f"p{i}" for i in instances]
    lines = [batch(0.0, **{name: opening(int(name[1:])) for name in names})]
    lines += [batch(1.0 + i, **{name: [demand(f"{name}{i:03}", i % 3)] for name in names}) for i in range(40)]
    return lines


def test_results_do_not_depend_on_hash_seeds_or_process_distribution() -> None:
    together = run(*make_batches(0, 1, 2), hash_seed="1")
    assert together.stdout == run(*make_batches(0, 1, 2), hash_seed="2").stdout
    for instance in range(3):
        assert orders(together, instance) == orders(run(*make_batches(instance)), instance) != []


def test_null_settings_are_read_as_absent() -> None:
    lane = {"aim_ms": 1000.0, "deadline_ms": 3000.0, "effect": "retryable", "worth": None}
    info = {"lanes": [lane], "tenants": None, "fees": None}
    result = run(
        batch(0.0, p0=[["open_instance", 7, info], CENSUS, ["membership", "Persisted", 1, 0], demand("00aa")])
    )
    assert orders(result)[0][:2] == ["route", "00aa"]


def test_orders_of_an_instance_closed_in_the_same_batch_are_dropped() -> None:
    """They are for requests that the newly opened instance never received."""
    result = run(batch(0.0, p0=opening()), batch(1.0, p0=[demand("00aa"), ["teardown"], *opening()]))
    assert not [order for order in orders(result) if order[0] == "route"]


@pytest.mark.parametrize(
    "event",
    [
        ["demand"],
        ["demand", "00aa", "x", None, None, None, None, 9.0],
        ["demand", "00aa", 0],
        ["outcome", "00aa", "b", 0, "odd", True, 1, None],
        ["membership", "Partial", 1, 15],
        ["membership", "odd", 1, 0],
        ["census", 0, [[0, 1, 0]]],
        7,
        "demand",
        None,
    ],
)
def test_an_invalid_event_ends_with_one_error_line_and_no_partial_output(event: Any) -> None:
    result = run(batch(0.0, p0=opening()), batch(1.0, p0=[event]))
    assert result.returncode == 2
    assert len(result.stdout.splitlines()) == 1
    assert (
        result.stderr.startswith("simulator_adapter: line 2 is malformed: ")
        and result.stderr.count("\n") == 1
    )


def test_the_end_of_input_ends_the_adapter() -> None:
    assert run().returncode == 0
