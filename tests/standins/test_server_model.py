"""The server model: how it handles requests, and what its request log contains."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.request_log import ExecutionState, RequestLog
from standins.server_model import (
    Behaviour,
    Call,
    KeyStore,
    Reply,
    ServerModel,
    SlowStart,
    exponential,
    fixed,
    lognormal,
)


def model(**behaviour: object) -> ServerModel:
    return ServerModel("s", RequestLog(), behaviour=Behaviour(latency=fixed(1.0), **behaviour))  # type: ignore[arg-type]


def execution_states(server: ServerModel) -> list[ExecutionState]:
    return [entry.execution_state for entry in server.request_log.entries]


def test_requests_run_in_slots_and_others_are_queued() -> None:
    server = model(slots=1, body=b"x")
    first, _ = server.arrive(0.0, "r1", "", 0.0)
    second, _ = server.arrive(0.0, "r2", "", 0.0)
    assert server.advance(0.0) == [] and execution_states(server) == [
        ExecutionState.RUNNING,
        ExecutionState.QUEUED,
    ]
    assert server.next_due() == 1.0 and server.pending_count() == 2
    assert server.advance(1.0) == [(first, Reply(200, b"x"))]
    assert server.advance(2.0) == [(second, Reply(200, b"x"))]
    assert (
        execution_states(server) == [ExecutionState.EXECUTED, ExecutionState.EXECUTED]
        and server.next_due() is None
    )


def test_an_abandoned_request_was_executed_if_it_ran_and_not_if_it_was_queued() -> None:
    server = model(slots=1)
    calls = [server.arrive(0.0, f"r{number}", "", 0.0)[0] for number in range(2)]
    server.advance(0.0)
    for call in calls:
        server.abandon(0.5, call)
        server.abandon(0.6, call)
    assert execution_states(server) == [ExecutionState.EXECUTED, ExecutionState.DROPPED]
    assert list(server.request_log.effects()) == ["r0"]
    assert server.advance(9.0) == []


def test_a_key_takes_effect_once_in_its_group_while_it_is_retained() -> None:
    request_log, keys = RequestLog(), KeyStore(ttl_s=10.0)
    server_1, server_2 = (ServerModel(name, request_log, keys=keys) for name in ("s1", "s2"))
    for server, at in ((server_1, 0.0), (server_2, 1.0), (server_2, 12.0)):
        server.arrive(at, f"r{at}", "k", at)
        server.advance(at)
    assert [entry.has_executed for entry in request_log.entries] == [True, False, True]


def test_a_frozen_server_does_nothing_and_resumes_where_it_stopped() -> None:
    server = model()
    call, _ = server.arrive(0.0, "r", "", 0.0)
    server.advance(0.0)
    server.freeze(0.4)
    server.freeze(0.5)
    assert server.is_frozen and server.next_due() is None and server.advance(5.0) == []
    server.thaw(5.4)
    assert server.next_due() == pytest.approx(6.0)
    assert server.advance(6.0) == [(call, Reply(200, b"ok"))]


@pytest.mark.parametrize(
    ("share", "status", "was_executed"),
    [
        ("error_share", 500, True),
        ("rejected_share", 503, False),
        ("reset_before_share", 0, False),
        ("reset_after_share", 0, True),
    ],
)
def test_each_fault_shows_in_status_and_request_log(share: str, status: int, was_executed: bool) -> None:
    server = model(**{share: 1.0})
    _, reply = server.arrive(0.0, "r", "", 0.0)
    if reply is None:
        ((_, reply),) = [*server.advance(0.0), *server.advance(1.0)]
    assert reply.status == status and reply.not_executed == (status == 503)
    assert server.request_log.entries[0].has_executed is was_executed


def test_a_draining_server_finishes_its_requests_and_rejects_new_ones() -> None:
    server = model()
    call, _ = server.arrive(0.0, "r1", "", 0.0)
    server.behaviour.is_draining = True
    assert server.arrive(0.1, "r2", "", 0.1)[1] == Reply(503, not_executed=True)
    server.advance(0.1)
    assert server.advance(1.2) == [(call, Reply(200, b"ok"))]


def test_a_full_queue_rejects() -> None:
    server = model(slots=1, queue_limit=1)
    replies = []
    for number in range(3):
        replies.append(server.arrive(0.0, f"r{number}", "", 0.0)[1])
        server.advance(0.0)
    assert replies == [None, None, Reply(503, not_executed=True)]


SLOW_START = SlowStart(start=0.5, warm_up_s=10.0, rate=10.0, overload_factor=2.0, window_s=1.0, slack=0.0)


def test_a_starting_server_is_slow_and_crashes_when_overloaded() -> None:
    server = ServerModel(
        "s", RequestLog(), behaviour=Behaviour(latency=fixed(1.0)), slow_start=SLOW_START, started_at=0.0
    )
    server.arrive(0.0, "r", "", 0.0)
    server.advance(0.0)
    assert server.next_due() == 2.0
    replies = [server.arrive(0.1, f"r{number}", "", 0.1)[1] for number in range(10)]
    assert replies[-1] == Reply(0) and replies[:-1] == [None] * 9
    assert server.request_log.overload_crashes == [("s", 0.1)] and server.has_crashed
    server.restart(20.0)
    assert not server.has_crashed and server.capacity_share(20.0) == 0.5 and server.pending_count() == 0
    assert all(entry.ended_at is not None for entry in server.request_log.entries)


def test_a_server_after_slow_start_does_not_crash() -> None:
    server = ServerModel("s", RequestLog(), slow_start=SLOW_START, started_at=-100.0)
    assert all(server.arrive(0.0, f"r{number}", "", 0.0)[1] is None for number in range(200))


@pytest.mark.parametrize("latency", [fixed(0.2), exponential(0.2), lognormal(0.2, 1.0)])
def test_latency_distributions_have_the_stated_mean(latency: object) -> None:
    random = Random(1)
    latencies = [latency(random) for _ in range(20_000)]  # type: ignore[operator]
    assert sum(latencies) / len(latencies) == pytest.approx(0.2, rel=0.05)


def test_request_logs_of_several_processes_are_merged() -> None:
    server = model()
    server.arrive(0.0, "r", "k", 0.0)
    server.request_log.overload_crashes.append(("s", 1.0))
    merged = RequestLog.load([server.request_log.dump(), server.request_log.dump()])
    assert merged.entries == server.request_log.entries * 2 and merged.overload_crashes == [("s", 1.0)] * 2
    assert merged.entries_of("s") == merged.entries and merged.entries_of("t") == []


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "advance", "give up", "freeze", "thaw", "restart"]),
        st.floats(0.0, 2.0),
        st.integers(0, 5),
    ),
    max_size=80,
)


@given(STEPS, st.integers(1, 3), st.integers(0, 2))
def test_each_request_ends_once_and_takes_effect_once_at_most(
    steps: list[tuple[str, float, int]], slots: int, queue_limit: int
) -> None:
    server = ServerModel(
        "s",
        RequestLog(),
        behaviour=Behaviour(
            latency=exponential(0.5),
            slots=slots,
            queue_limit=queue_limit,
            error_share=0.2,
            reset_after_share=0.1,
            rejected_share=0.1,
        ),
        slow_start=SLOW_START,
        started_at=0.0,
    )
    now, pending, ended = 0.0, list[Call](), set[str]()
    for number, (step, wait, choice) in enumerate(steps):
        now += wait
        match step:
            case "arrive":
                call, reply = server.arrive(now, f"r{number}", "k" * (choice == 0), now)
                if reply is None:
                    pending.append(call)
            case "give up" if pending:
                server.abandon(now, pending.pop(choice % len(pending)))
            case "freeze":
                server.freeze(now)
            case "thaw":
                server.thaw(now)
            case "restart":
                server.restart(now)
                pending.clear()
        for call, _ in server.advance(now):
            assert call.entry.request not in ended
            ended.add(call.entry.request)
            pending.remove(call)
        assert server.pending_count() == len(pending)
        assert (
            len(
                [
                    entry
                    for entry in server.request_log.entries
                    if entry.execution_state is ExecutionState.RUNNING
                ]
            )
            <= slots
        )
        assert all(
            (entry.ended_at is None) == any(call.entry is entry for call in pending)
            for entry in server.request_log.entries
        )
