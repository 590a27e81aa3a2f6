"""What a forwarder makes of advice: less with age, the least change where planners differ, no flapping."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.planning.advice import (
    DOUBLE_MS,
    IGNORE_MS,
    REACH_HELD_MS,
    REACH_IGNORE_MS,
    REACH_STEP,
    TRUST_MS,
    Advice,
    BadAdvice,
    Counsel,
    Opinion,
    make_advice,
    read_advice,
    write_advice,
)
from cometdoor.planning.judgement import LEAST, State, Verdict
from cometdoor.planning.reports import server_id
from cometdoor.planning.wire import MAX_BODY

SERVERS = [server_id(f"s{number}") for number in range(10)]


def against(*places: int, keep: int = 2, whole: bool = True) -> Advice:
    return Advice(whole, [Opinion(SERVERS[place], keep) for place in places])


def test_a_lone_planner_is_believed_then_less_and_then_not() -> None:
    counsel = Counsel()
    assert counsel.receive(0, against(3), 100.0, 1000.0)
    assert counsel.follow(SERVERS, 1000.0) == {SERVERS[3]: 0.02}
    assert counsel.follow(SERVERS, 900.0 + TRUST_MS) == {SERVERS[3]: 0.02}
    (later,) = counsel.follow(SERVERS, 900.0 + (TRUST_MS + IGNORE_MS) / 2).values()
    assert 0.02 < later < 1.0
    for second in range(8):
        counsel.follow(SERVERS, 1000.0 + IGNORE_MS + 1000.0 * second)
    assert counsel.follow(SERVERS, 20_000.0) == {}
    assert counsel._heard == {}


@pytest.mark.parametrize("age", [None, IGNORE_MS + 1.0])
def test_advice_that_is_old_or_proves_nothing_is_not_taken(age: float | None) -> None:
    counsel = Counsel()
    assert not counsel.receive(0, against(3), age, 9000.0)
    assert counsel.follow(SERVERS, 9000.0) == {}


def test_old_advice_that_asks_for_nothing_is_nothing() -> None:
    counsel = Counsel()
    counsel.receive(0, against(3, keep=100), TRUST_MS + 1.0, 0.0)
    assert counsel.follow(SERVERS, 0.0) == {}


def test_late_advice_does_not_displace_what_is_newer() -> None:
    counsel = Counsel()
    assert counsel.receive(0, against(), 10.0, 1000.0)
    assert not counsel.receive(0, against(3), 300.0, 1100.0)
    assert counsel.follow(SERVERS, 1100.0) == {}


def test_where_planners_contradict_one_another_the_least_change_counts() -> None:
    counsel = Counsel()
    counsel.receive(0, against(3, 4), 0.0, 0.0)
    counsel.receive(1, against(3, keep=50), 0.0, 0.0)
    assert counsel.follow(SERVERS, 0.0) == {SERVERS[3]: 0.5}
    # A planner that named only some has no opinion of the others.
    counsel.receive(1, against(3, whole=False), 0.0, 1.0)
    assert counsel.follow(SERVERS, 1.0) == {SERVERS[3]: 0.02, SERVERS[4]: 0.02}


def test_advice_against_more_than_half_of_the_servers_is_not_followed() -> None:
    counsel = Counsel()
    counsel.receive(0, against(*range(6)), 0.0, 0.0)
    assert counsel.follow(SERVERS, 0.0) == {}
    counsel.receive(0, against(*range(5)), 0.0, 1.0)
    assert len(counsel.follow(SERVERS, 1.0)) == 5


def test_weight_is_taken_at_once_and_given_back_slowly() -> None:
    counsel = Counsel()
    kept = []
    for step in range(20):  # a planner that changes its mind with every beat
        counsel.receive(0, against(3) if step % 2 == 0 else against(), 0.0, 500.0 * step)
        kept.append(counsel.follow(SERVERS, 500.0 * step).get(SERVERS[3], 1.0))
    assert max(kept) <= 0.02 * 2.0 ** (500.0 / DOUBLE_MS) + 1e-9


def test_only_servers_of_the_own_list_are_spoken_of() -> None:
    counsel = Counsel()
    counsel.receive(0, against(3), 0.0, 0.0)
    assert counsel.follow(SERVERS[:3], 0.0) == {}


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
def test_no_advice_takes_more_than_it_may(
    steps: list[tuple[int, list[tuple[int, int]], bool, float | None, float]], listed: int
) -> None:
    counsel, now = Counsel(), 20_000.0
    for planner, opinions, whole, age, wait in steps:
        now += wait
        advice = Advice(whole, [Opinion(SERVERS[place], keep) for place, keep in opinions])
        counsel.receive(planner, advice, age, now)
        followed = counsel.follow(SERVERS[:listed], now)
        assert followed.keys() <= set(SERVERS[:listed])
        assert all(LEAST <= keep < 1.0 for keep in followed.values())


@given(st.dictionaries(st.integers(0, 500), st.floats(LEAST, 0.99), max_size=60))
def test_advice_fits_a_note_and_names_the_worst_where_not_all_fit(sick: dict[int, float]) -> None:
    verdicts = {server_id(f"s{number}"): Verdict(State.SLOW, factor, 2, 3) for number, factor in sick.items()}
    body = write_advice(make_advice(verdicts))
    assert len(body) <= MAX_BODY
    advice = read_advice(body)
    assert advice.is_whole == (len(advice.opinions) == len(verdicts))
    assert len(advice.opinions) >= min(len(verdicts), 15)
    named = {opinion.server for opinion in advice.opinions}
    if not advice.is_whole:
        assert max(verdicts[server].factor for server in named) <= min(
            verdict.factor for server, verdict in verdicts.items() if server not in named
        )


@pytest.mark.parametrize(
    "bad",
    [
        Advice(True, [Opinion(b"x", 5)]),
        Advice(True, [Opinion(b"x" * 6, 0)]),
        Advice(True, [Opinion(b"x" * 6, 101)]),
    ],
)
def test_what_no_planner_says_is_no_advice(bad: Advice) -> None:
    with pytest.raises(BadAdvice):
        read_advice(msgspec.msgpack.encode(bad))


@given(st.binary(max_size=MAX_BODY))
def test_garbage_is_no_advice(body: bytes) -> None:
    with pytest.raises(BadAdvice):
        read_advice(body)


def test_a_planner_that_died_has_no_say_beside_those_that_live() -> None:
    """Neither the one that thought well of the server, nor the one that thought half as ill of it."""
    counsel = Counsel()
    counsel.receive(0, against(), 0.0, 0.0)
    counsel.receive(1, against(3, keep=50), 0.0, 0.0)
    for now in (0.0, 1000.0, 2000.0):
        counsel.receive(2, against(3), 0.0, now)
        assert counsel.follow(SERVERS, now) == ({SERVERS[3]: 0.02} if now > TRUST_MS else {})


# --- reach: over how many servers a forwarder spreads ---


def told(reach: float) -> Advice:
    return read_advice(write_advice(make_advice({}), reach))


@given(
    st.lists(st.tuples(st.integers(0, 2), st.floats(0.0, 1e6), st.floats(0.0, 20_000.0)), max_size=30),
    st.floats(0.0, 100.0),
)
def test_no_advice_has_a_subset_narrowed_or_widened_beyond_own_traffic(
    notes: list[tuple[int, float, float]], most: float
) -> None:
    counsel, now = Counsel(), 0.0
    for planner, reach, pause_ms in notes:
        now += pause_ms
        counsel.receive(planner, told(reach), 0.0, now)
        assert 1.0 <= counsel.reach(most, now) <= max(most, 1.0)


def test_the_reach_that_changes_least_counts_and_is_held() -> None:
    counsel = Counsel()
    counsel.receive(0, told(8.0), 0.0, 0.0)
    counsel.receive(1, told(3.0), 0.0, 0.0)
    assert counsel.reach(100.0, 0.0) == 3.0
    counsel.receive(0, told(8.0), 0.0, 1000.0)
    counsel.receive(1, told(6.0), 0.0, 1000.0)
    assert counsel.reach(100.0, 1000.0) == 3.0  # changed just now
    assert counsel.reach(100.0, REACH_HELD_MS) == 6.0
    counsel.receive(1, told(6.0 * REACH_STEP - 0.5), 0.0, 30_000.0)
    assert counsel.reach(100.0, 30_000.0) == 6.0  # too little to change for


def test_a_reach_outlives_its_planners_for_a_time() -> None:
    counsel = Counsel()
    counsel.receive(0, told(4.0), 0.0, 0.0)
    assert counsel.reach(100.0, 0.0) == counsel.reach(100.0, REACH_IGNORE_MS) == 4.0
    assert counsel.reach(100.0, REACH_IGNORE_MS + 1.0) == 1.0


def test_advice_without_a_reach_says_nothing_of_it() -> None:
    counsel = Counsel()
    counsel.receive(0, told(4.0), 0.0, 0.0)
    assert read_advice(write_advice(make_advice({}))).reach == 0
    # An older planner's note has no such place at all.
    counsel.receive(0, read_advice(msgspec.msgpack.encode([True, []])), 0.0, 1000.0)
    assert counsel.reach(100.0, 20_000.0) == 4.0
    with pytest.raises(BadAdvice, match="a reach of 3 tenths"):
        read_advice(msgspec.msgpack.encode(Advice(True, [], 3)))
