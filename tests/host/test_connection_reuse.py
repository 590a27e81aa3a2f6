"""The idle time up to which connections are reused, for idempotent and other requests."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from cometdoor.host.connection_reuse import (
    MIN_IDLE_S,
    MIN_OWN_OBSERVATIONS,
    ConnectionReuse,
    ServerConnectionReuse,
)

# By name of the case: the age in seconds at which a connection is closed silently.
CLOSE_AGES: dict[str, Callable[[Random], float]] = {
    "a box that forgets after 5 s": lambda random: 5.0,
    "a server that closes between 0.2 and 0.6 s": lambda random: random.uniform(0.2, 0.6),
    "a server that never closes": lambda random: 1e9,
    "one in fifty is lost at any age": lambda random: 0.0 if random.random() < 0.02 else 1e9,
}


@pytest.mark.parametrize("name", CLOSE_AGES)
def test_connections_are_reused_up_to_the_age_that_they_survive(name: str) -> None:
    """For each kind of server, losses are bounded after the first thirty calls.

    At most one in seven idempotent requests, and one in forty of the others, is sent on a dead connection;
    and connections that are alive are reused.
    """
    reused_and_lost = {
        True: [0, 0],
        False: [0, 0],
    }  # by `is_not_idempotent`: requests on a reused connection, and how many were lost
    reused_count = 0
    for seed in range(40):
        random, reuse = Random(f"{name}:{seed}"), ServerConnectionReuse()
        for call in range(400):
            idle_s, is_not_idempotent, close_age_s = (
                random.expovariate(1.0),
                random.random() < 0.2,
                CLOSE_AGES[name](random),
            )
            if not reuse.is_worth_reusing(idle_s, is_not_idempotent):
                if close_age_s < idle_s and not reuse.is_worth_reusing(idle_s, is_not_idempotent=False):
                    reuse.record_closed(
                        max(close_age_s, MIN_IDLE_S)
                    )  # it stays idle until the other side closes it
                continue
            reused_count += 1
            if idle_s > close_age_s:
                reuse.record_closed(idle_s)
            else:
                reuse.record_reused(idle_s)
            if call >= 30:
                reused_and_lost[is_not_idempotent][0] += 1
                reused_and_lost[is_not_idempotent][1] += idle_s > close_age_s
    assert reused_and_lost[False][1] <= reused_and_lost[False][0] / 7.0
    assert reused_and_lost[True][1] <= reused_and_lost[True][0] / 40.0
    min_reused_share = {
        "a server that closes between 0.2 and 0.6 s": 0.1,
        "one in fifty is lost at any age": 0.5,
    }.get(name, 0.95)
    assert reused_count >= min_reused_share * 40 * 400


def test_close_right_after_a_response_is_not_counted() -> None:
    reuse = ServerConnectionReuse()
    for _ in range(100):
        reuse.record_closed(MIN_IDLE_S / 2)
    assert reuse.closed_probability(10.0) == 0.0 and reuse.is_worth_reusing(10.0, is_not_idempotent=True)


def test_estimate_follows_a_changed_idle_timeout() -> None:
    reuse = ServerConnectionReuse()
    for _ in range(200):
        reuse.record_closed(1.0)
    assert not reuse.is_worth_reusing(1.1, is_not_idempotent=False)
    for _ in range(1000):
        reuse.record_reused(2.0)
    assert reuse.is_worth_reusing(1.1, is_not_idempotent=False)
    assert 0.0 <= reuse.closed_probability(1e6) <= 1.0


def test_new_server_uses_the_pooled_estimate_until_it_has_its_own() -> None:
    connection_reuse = ConnectionReuse()
    assert connection_reuse.is_worth_reusing("new", 5.0, is_not_idempotent=True)
    for _ in range(30):
        connection_reuse.record_closed("old", 1.0)
    assert not connection_reuse.is_worth_reusing(
        "new", 1.5, is_not_idempotent=False
    ) and connection_reuse.is_worth_reusing("new", 0.1, is_not_idempotent=False)
    for _ in range(int(MIN_OWN_OBSERVATIONS)):
        connection_reuse.record_reused("new", 5.0)
    assert connection_reuse.is_worth_reusing(
        "new", 1.5, is_not_idempotent=True
    ) and not connection_reuse.is_worth_reusing("old", 1.5, is_not_idempotent=False)
    connection_reuse.forget_server("new")
    assert not connection_reuse.is_worth_reusing("new", 1.5, is_not_idempotent=False)


def test_trials_correct_an_estimate_that_is_bad_for_all_ages() -> None:
    """After closes at all ages, without trials, every later request would open a new connection."""
    connection_reuse, random = ConnectionReuse(), Random(1)
    for _ in range(60):
        connection_reuse.record_closed("s", random.uniform(0.06, 1.0))
    new_connection_count = 0
    for _ in range(4000):
        if (
            connection_reuse.is_worth_reusing("s", 0.3, is_not_idempotent=False)
            or connection_reuse.is_trial_due()
        ):
            connection_reuse.record_reused("s", 0.3)
        else:
            new_connection_count += 1
    assert new_connection_count < 500


def test_pooled_estimate_is_reset_when_no_server_is_left() -> None:
    connection_reuse = ConnectionReuse()
    for _ in range(40):
        connection_reuse.record_closed("crashed", 0.2)
    connection_reuse.forget_server("crashed")
    assert connection_reuse.is_worth_reusing("next", 0.5, is_not_idempotent=True)
