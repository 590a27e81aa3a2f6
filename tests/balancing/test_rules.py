"""Rules 1 to 5 as properties over generated event sequences."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cometdoor.balancing import api
from cometdoor.balancing.api import EndpointListKind, EndpointState, Outcome
from tests.balancing.harness import (
    KEYED,
    KEYED_ALL,
    SAFE,
    SETTINGS,
    UNSAFE,
    RuleChecker,
    RuleViolation,
    endpoints,
)

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("request"), st.integers(0, 3), st.sampled_from([50.0, 700.0, 3000.0])),
        st.tuples(
            st.just("end"),
            st.integers(0, 1000),
            st.sampled_from([o for o in Outcome if o is not Outcome.CANCELLED]),
        ),
        st.tuples(st.just("advance"), st.sampled_from([1.0, 90.0, 600.0, 2500.0, 20_000.0]), st.none()),
        st.tuples(st.just("state"), st.integers(0, 8), st.sampled_from(list(EndpointState))),
        st.tuples(st.just("restart"), st.integers(0, 8), st.none()),
        st.tuples(st.just("list"), st.sampled_from(list(EndpointListKind)), st.integers(0, 9)),
        st.tuples(st.just("advise"), st.integers(0, 8), st.sampled_from([0.0, 0.02, 0.5, 1.0, 7.0])),
        st.tuples(st.just("lend"), st.integers(0, 8), st.sampled_from([-1, 0, 1, 50])),
        st.tuples(st.just("gone"), st.integers(0, 1000), st.none()),
        st.tuples(st.just("stray"), st.integers(0, 4), st.none()),
    ),
    max_size=60,
)

UNKNOWN_EVENTS: list[api.Event] = [
    api.TimerFired(10**9),
    api.ClientDisconnected("unknown"),
    api.AttemptEnded("unknown", 0, "s0", Outcome.OK, True),
    api.StreamStarted("unknown", 0),
    api.AttemptEnded("r0", 99, "s0", Outcome.ERROR, False),
]


def pending_attempts(checker: RuleChecker) -> list[tuple[str, int]]:
    return [(name, i) for name, request in checker.requests.items() for i in request.outstanding()]


def apply_steps(checker: RuleChecker, steps: list[tuple[str, object, object]]) -> None:
    entries = list(endpoints(9))
    checker.list_servers(*entries, kind=EndpointListKind.CACHED)
    for number, (step, first, second) in enumerate(steps):
        match step, first, second:
            case "request", int(class_index), float(remaining_ms):
                checker.request(f"r{number}", class_index, remaining_ms)
            case "end", int(choice), Outcome() as outcome:
                if pending := pending_attempts(checker):
                    name, attempt = pending[choice % len(pending)]
                    checker.end_attempt(name, attempt, outcome)
            case "advance", float(ms), _:
                checker.advance(ms)
            case "state", int(index), EndpointState() as state:
                entries[index] = replace(entries[index], state=state)
                checker.list_servers(entries[index], entries[index], kind=EndpointListKind.DELTA)
            case "restart", int(index), _:
                entries[index] = replace(entries[index], started_at=checker.now)
                checker.list_servers(entries[index], kind=EndpointListKind.DELTA)
            case "list", EndpointListKind() as kind, int(count):
                listed = [entry for entry in entries[:count] if entry.state is not EndpointState.REMOVED]
                checker.list_servers(*([] if kind is EndpointListKind.FAILED else listed), kind=kind)
            case "advise", int(index), float(keep):
                assert checker.feed(api.AdviceReceived({f"s{index}": keep, "s0": 0.1, "unknown": keep})) == []
            case "lend", int(index), int(leased):
                for started_at in (0.0, entries[index].started_at):
                    assert (
                        checker.feed(api.SlowStartLeaseGranted(f"s{index}", started_at, leased, 500.0)) == []
                    )
            case "gone", int(choice), _:
                if names := [name for name, request in checker.requests.items() if not request.answered]:
                    checker.disconnect(names[choice % len(names)])
            case "stray", int(choice), _:
                assert checker.feed(UNKNOWN_EVENTS[choice]) == []
    checker.advance(10_000.0)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    steps=STEPS,
    seed=st.integers(0, 2**63),
    limits=st.fixed_dictionaries(
        {
            "may_cancel": st.booleans(),
            "may_duplicate": st.booleans(),
            "max_attempts": st.integers(1, 6),
            "tier": st.integers(0, 1),
            "must_watch": st.booleans(),
            "warm_up_ms": st.sampled_from([0.0, 9000.0]),
            "slow_start_initial_share": st.sampled_from([0.1, 1.0]),
            "balancers": st.sampled_from([1, 7, 90]),
            "retry_budget": st.sampled_from(
                [
                    None,
                    api.RetryBudget(),
                    api.RetryBudget(1.0, 0.5, 700.0),
                    api.RetryBudget(2.0, 0.1, 5000.0),
                ]
            ),
        }
    ),
)
def test_rules_one_to_three_and_five_hold_whatever_happens(
    steps: list[tuple[str, object, object]], seed: int, limits: dict[str, object]
) -> None:
    chosen_settings = replace(SETTINGS, tiers=2, **limits)  # type: ignore[arg-type]
    checker = RuleChecker(chosen_settings, seed)
    apply_steps(checker, steps)
    assert all(request.answered for request in checker.requests.values())


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**63), count=st.integers(2, 30), age=st.floats(0.0, 5000.0))
def test_rule_four_a_cold_server_gets_no_more_than_its_part(seed: int, count: int, age: float) -> None:
    chosen_settings = replace(SETTINGS, slow_start_initial_share=0.2, warm_up_ms=10_000.0)
    checker = RuleChecker(chosen_settings, seed)
    servers = endpoints(count)
    checker.list_servers(*servers)
    starting = replace(servers[0], started_at=checker.now - age)
    checker.list_servers(starting, kind=EndpointListKind.DELTA)
    sends, rounds = 0, 20
    for number in range(rounds * count):
        name = f"r{number}"
        for action in checker.request(name):
            sends += isinstance(action, api.Send) and action.server == starting.name
        checker.advance(1.0)
        checker.end_attempt(name, 0, Outcome.OK)
    oldest = age + rounds * count
    capacity = 0.2 + 0.8 * min(oldest / 10_000.0, 1.0)
    assert sends <= 1.5 * capacity * rounds + 2


# --- the checker itself ---

Violation = Callable[[RuleChecker], object]
SEND_S0, SEND_S3 = api.Send("r", "s0"), api.Send("r", "s3")


def send_to_a_draining_server(checker: RuleChecker) -> None:
    checker.list_servers(replace(endpoints(1)[0], state=EndpointState.DRAINING), kind=EndpointListKind.DELTA)
    checker.check(SEND_S0)


def send_after_the_final_answer(checker: RuleChecker) -> None:
    checker.check(api.Fail("r"))
    checker.check(SEND_S0)


def give_no_final_answer(checker: RuleChecker) -> None:
    checker.requests["r"].sent.clear()
    checker.advance(5000.0)


def send_after_the_key_expired(checker: RuleChecker) -> None:
    checker.check(SEND_S0)
    checker.now += KEYED.key_ttl_ms + 1
    checker.check(SEND_S0)


def exceed_the_retry_budget(checker: RuleChecker) -> None:
    checker.settings = replace(SETTINGS, retry_budget=api.RetryBudget(1.0, 0.0, 1000.0))
    for server in ("s0", "s3", "s4"):
        checker.check(api.Send("r", server))


@pytest.mark.parametrize(
    ("cls", "violate"),
    [
        (SAFE, send_to_a_draining_server),
        (SAFE, exceed_the_retry_budget),
        (SAFE, send_after_the_final_answer),
        (SAFE, give_no_final_answer),
        (UNSAFE, lambda c: (c.check(SEND_S0), c.check(SEND_S3))),
        (UNSAFE, lambda c: (c.check(SEND_S0), c.check(api.Reject("r")))),
        (KEYED, lambda c: (c.check(SEND_S0), c.check(SEND_S3))),
        (KEYED, lambda c: (c.check(SEND_S0), c.check(api.Reject("r")))),
        (KEYED_ALL, send_after_the_key_expired),
    ],
)
def test_the_checker_detects_each_violation(cls: api.RequestClass, violate: Violation) -> None:
    checker = RuleChecker()
    checker.list_servers(*endpoints(6))
    checker.request("r", SETTINGS.classes.index(cls))
    checker.requests["r"].sent.clear()
    checker.timers.clear()
    with pytest.raises(RuleViolation):
        violate(checker)
