"""How a forwarder uses advice: less with age, the smallest change if planners differ, no flapping."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.planning.advice import (
    ADVICE_TTL_MS,
    FULL_TRUST_MS,
    SUBSET_SCALE_MIN_CHANGE,
    SUBSET_SCALE_MIN_HOLD_MS,
    SUBSET_SCALE_TTL_MS,
    WEIGHT_DOUBLING_MS,
    Advice,
    AdviceCombiner,
    InvalidAdviceError,
    ServerAdvice,
    decode_advice,
    encode_advice,
    make_advice,
)
from cometdoor.planning.health_verdicts import MIN_WEIGHT_SHARE, HealthState, HealthVerdict
from cometdoor.planning.load_reports import server_id
from cometdoor.planning.sealed_messages import MAX_BODY_BYTES

SERVERS = [server_id(f"s{number}") for number in range(10)]


def advice_against(*indexes: int, weight_share: int = 2, is_complete: bool = True) -> Advice:
    return Advice(is_complete, [ServerAdvice(SERVERS[index], weight_share) for index in indexes])


def test_a_single_planner_is_trusted_fully_then_less_and_then_not_at_all() -> None:
    combiner = AdviceCombiner()
    assert combiner.receive(0, advice_against(3), 100.0, 1000.0)
    assert combiner.compute_weight_shares(SERVERS, 1000.0) == {SERVERS[3]: 0.02}
    assert combiner.compute_weight_shares(SERVERS, 900.0 + FULL_TRUST_MS) == {SERVERS[3]: 0.02}
    (later,) = combiner.compute_weight_shares(SERVERS, 900.0 + (FULL_TRUST_MS + ADVICE_TTL_MS) / 2).values()
    assert 0.02 < later < 1.0
    for second in range(8):
        combiner.compute_weight_shares(SERVERS, 1000.0 + ADVICE_TTL_MS + 1000.0 * second)
    assert combiner.compute_weight_shares(SERVERS, 20_000.0) == {}
    assert combiner._received == {}


@pytest.mark.parametrize("age", [None, ADVICE_TTL_MS + 1.0])
def test_advice_that_is_old_or_of_unproven_age_is_not_accepted(age: float | None) -> None:
    combiner = AdviceCombiner()
    assert not combiner.receive(0, advice_against(3), age, 9000.0)
    assert combiner.compute_weight_shares(SERVERS, 9000.0) == {}


def test_old_advice_that_changes_no_weight_has_no_effect() -> None:
    combiner = AdviceCombiner()
    combiner.receive(0, advice_against(3, weight_share=100), FULL_TRUST_MS + 1.0, 0.0)
    assert combiner.compute_weight_shares(SERVERS, 0.0) == {}


def test_late_advice_does_not_replace_newer_advice() -> None:
    combiner = AdviceCombiner()
    assert combiner.receive(0, advice_against(), 10.0, 1000.0)
    assert not combiner.receive(0, advice_against(3), 300.0, 1100.0)
    assert combiner.compute_weight_shares(SERVERS, 1100.0) == {}


def test_of_contradictory_advice_the_smallest_change_applies() -> None:
    combiner = AdviceCombiner()
    combiner.receive(0, advice_against(3, 4), 0.0, 0.0)
    combiner.receive(1, advice_against(3, weight_share=50), 0.0, 0.0)
    assert combiner.compute_weight_shares(SERVERS, 0.0) == {SERVERS[3]: 0.5}
    # Incomplete advice says nothing about servers that it does not name.
    combiner.receive(1, advice_against(3, is_complete=False), 0.0, 1.0)
    assert combiner.compute_weight_shares(SERVERS, 1.0) == {SERVERS[3]: 0.02, SERVERS[4]: 0.02}


def test_advice_against_more_than_half_of_the_servers_is_not_followed() -> None:
    combiner = AdviceCombiner()
    combiner.receive(0, advice_against(*range(6)), 0.0, 0.0)
    assert combiner.compute_weight_shares(SERVERS, 0.0) == {}
    combiner.receive(0, advice_against(*range(5)), 0.0, 1.0)
    assert len(combiner.compute_weight_shares(SERVERS, 1.0)) == 5


def test_weight_is_reduced_immediately_and_restored_gradually() -> None:
    combiner = AdviceCombiner()
    weight_shares = []
    for step in range(20):  # a planner whose advice changes with each message
        combiner.receive(0, advice_against(3) if step % 2 == 0 else advice_against(), 0.0, 500.0 * step)
        weight_shares.append(combiner.compute_weight_shares(SERVERS, 500.0 * step).get(SERVERS[3], 1.0))
    assert max(weight_shares) <= 0.02 * 2.0 ** (500.0 / WEIGHT_DOUBLING_MS) + 1e-9


def test_weight_shares_name_only_servers_of_the_forwarders_own_list() -> None:
    combiner = AdviceCombiner()
    combiner.receive(0, advice_against(3), 0.0, 0.0)
    assert combiner.compute_weight_shares(SERVERS[:3], 0.0) == {}


STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.lists(st.tuples(st.integers(0, 9), st.integers(1, 100)), max_size=10),
        st.booleans(),
        st.one_of(st.none(), st.floats(0.0, 12_000.0)),
        st.floats(0.0, 3000.0),
    ),
    max_size=40,
)


@given(STEPS, st.integers(0, 10))
def test_no_advice_takes_more_weight_than_allowed(
    steps: list[tuple[int, list[tuple[int, int]], bool, float | None, float]], listed: int
) -> None:
    combiner, now = AdviceCombiner(), 20_000.0
    for planner, server_advices, is_complete, age, wait in steps:
        now += wait
        advice = Advice(
            is_complete,
            [ServerAdvice(SERVERS[index], weight_share) for index, weight_share in server_advices],
        )
        combiner.receive(planner, advice, age, now)
        weight_shares = combiner.compute_weight_shares(SERVERS[:listed], now)
        assert weight_shares.keys() <= set(SERVERS[:listed])
        assert all(MIN_WEIGHT_SHARE <= weight_share < 1.0 for weight_share in weight_shares.values())


@given(st.dictionaries(st.integers(0, 500), st.floats(MIN_WEIGHT_SHARE, 0.99), max_size=60))
def test_advice_fits_a_message_and_names_the_worst_servers_where_not_all_fit(
    weight_shares_by_number: dict[int, float],
) -> None:
    verdicts = {
        server_id(f"s{number}"): HealthVerdict(HealthState.SLOW, weight_share, 2, 3)
        for number, weight_share in weight_shares_by_number.items()
    }
    body = encode_advice(make_advice(verdicts))
    assert len(body) <= MAX_BODY_BYTES
    advice = decode_advice(body)
    assert advice.is_complete == (len(advice.server_advices) == len(verdicts))
    assert len(advice.server_advices) >= min(len(verdicts), 15)
    named = {server_advice.server for server_advice in advice.server_advices}
    if not advice.is_complete:
        assert max(verdicts[server].weight_share for server in named) <= min(
            verdict.weight_share for server, verdict in verdicts.items() if server not in named
        )


@pytest.mark.parametrize(
    "invalid",
    [
        Advice(True, [ServerAdvice(b"x", 5)]),
        Advice(True, [ServerAdvice(b"x" * 6, 0)]),
        Advice(True, [ServerAdvice(b"x" * 6, 101)]),
    ],
)
def test_advice_with_values_out_of_range_is_invalid(invalid: Advice) -> None:
    with pytest.raises(InvalidAdviceError):
        decode_advice(msgspec.msgpack.encode(invalid))


@given(st.binary(max_size=MAX_BODY_BYTES))
def test_garbage_is_invalid_advice(body: bytes) -> None:
    with pytest.raises(InvalidAdviceError):
        decode_advice(body)


def test_a_dead_planner_does_not_count_beside_live_ones() -> None:
    """One dead planner found the server healthy; another one advised half as strongly against it."""
    combiner = AdviceCombiner()
    combiner.receive(0, advice_against(), 0.0, 0.0)
    combiner.receive(1, advice_against(3, weight_share=50), 0.0, 0.0)
    for now in (0.0, 1000.0, 2000.0):
        combiner.receive(2, advice_against(3), 0.0, now)
        assert combiner.compute_weight_shares(SERVERS, now) == (
            {SERVERS[3]: 0.02} if now > FULL_TRUST_MS else {}
        )


# --- subset scale: over how many servers a forwarder spreads its requests ---


def subset_advice(subset_scale: float) -> Advice:
    return decode_advice(encode_advice(make_advice({}), subset_scale))


@given(
    st.lists(st.tuples(st.integers(0, 2), st.floats(0.0, 1e6), st.floats(0.0, 20_000.0)), max_size=30),
    st.floats(0.0, 100.0),
)
def test_no_advice_narrows_a_subset_or_widens_it_beyond_the_forwarders_traffic(
    messages: list[tuple[int, float, float]], max_scale: float
) -> None:
    combiner, now = AdviceCombiner(), 0.0
    for planner, subset_scale, pause_ms in messages:
        now += pause_ms
        combiner.receive(planner, subset_advice(subset_scale), 0.0, now)
        assert 1.0 <= combiner.subset_scale(max_scale, now) <= max(max_scale, 1.0)


def test_the_subset_scale_with_the_smallest_change_applies_and_is_retained() -> None:
    combiner = AdviceCombiner()
    combiner.receive(0, subset_advice(8.0), 0.0, 0.0)
    combiner.receive(1, subset_advice(3.0), 0.0, 0.0)
    assert combiner.subset_scale(100.0, 0.0) == 3.0
    combiner.receive(0, subset_advice(8.0), 0.0, 1000.0)
    combiner.receive(1, subset_advice(6.0), 0.0, 1000.0)
    assert combiner.subset_scale(100.0, 1000.0) == 3.0  # changed just now
    assert combiner.subset_scale(100.0, SUBSET_SCALE_MIN_HOLD_MS) == 6.0
    combiner.receive(1, subset_advice(6.0 * SUBSET_SCALE_MIN_CHANGE - 0.5), 0.0, 30_000.0)
    assert combiner.subset_scale(100.0, 30_000.0) == 6.0  # the change is too small


def test_a_subset_scale_outlives_its_planners_for_a_time() -> None:
    combiner = AdviceCombiner()
    combiner.receive(0, subset_advice(4.0), 0.0, 0.0)
    assert combiner.subset_scale(100.0, 0.0) == combiner.subset_scale(100.0, SUBSET_SCALE_TTL_MS) == 4.0
    assert combiner.subset_scale(100.0, SUBSET_SCALE_TTL_MS + 1.0) == 1.0


def test_advice_without_a_subset_scale_does_not_change_it() -> None:
    combiner = AdviceCombiner()
    combiner.receive(0, subset_advice(4.0), 0.0, 0.0)
    assert decode_advice(encode_advice(make_advice({}))).subset_scale == 0
    # A message of an older planner lacks the field.
    combiner.receive(0, decode_advice(msgspec.msgpack.encode([True, []])), 0.0, 1000.0)
    assert combiner.subset_scale(100.0, 20_000.0) == 4.0
    with pytest.raises(InvalidAdviceError, match="a subset scale of 3 tenths is out of range"):
        decode_advice(msgspec.msgpack.encode(Advice(True, [], 3)))
