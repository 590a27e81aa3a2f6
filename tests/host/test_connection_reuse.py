"""How long kept connections live, and which are used."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from cometdoor.host.connection_reuse import FIRST_S, KNOWN, Keeping, Keepings

LIMITS: dict[str, Callable[[Random], float]] = {  # the age in seconds at which a connection is ended unseen
    "a box that forgets after 5 s": lambda random: 5.0,
    "a server that closes between 0.2 and 0.6 s": lambda random: random.uniform(0.2, 0.6),
    "a server that never closes": lambda random: 1e9,
    "one in fifty is lost at any age": lambda random: 0.0 if random.random() < 0.02 else 1e9,
}


@pytest.mark.parametrize("name", LIMITS)
def test_connections_are_kept_for_as_long_as_they_live(name: str) -> None:
    """Played against each kind: of the calls that may be made again at most one in seven meets a dead
    connection, of those that may not one in forty, as soon as thirty ends are known; and connections that
    live are used."""
    met = {True: [0, 0], False: [0, 0]}  # by once: calls on a kept connection, those of them that were lost
    used = 0
    for seed in range(40):
        random, keeping = Random(f"{name}:{seed}"), Keeping()
        for call in range(400):
            idle_s, once, limit_s = random.expovariate(1.0), random.random() < 0.2, LIMITS[name](random)
            if not keeping.is_worth(idle_s, once):
                if limit_s < idle_s and not keeping.is_worth(idle_s, once=False):
                    keeping.died(max(limit_s, FIRST_S))  # it rests there until the other side ends it
                continue
            used += 1
            if idle_s > limit_s:
                keeping.died(idle_s)
            else:
                keeping.outlived(idle_s)
            if call >= 30:
                met[once][0] += 1
                met[once][1] += idle_s > limit_s
    assert met[False][1] <= met[False][0] / 7.0
    assert met[True][1] <= met[True][0] / 40.0
    floor = {"a server that closes between 0.2 and 0.6 s": 0.1, "one in fifty is lost at any age": 0.5}.get(
        name, 0.95
    )
    assert used >= floor * 40 * 400


def test_what_ends_right_after_an_answer_tells_nothing_of_idleness() -> None:
    keeping = Keeping()
    for _ in range(100):
        keeping.died(FIRST_S / 2)
    assert keeping.risk(10.0) == 0.0 and keeping.is_worth(10.0, once=True)


def test_a_server_that_changes_its_mind_is_believed() -> None:
    keeping = Keeping()
    for _ in range(200):
        keeping.died(1.0)
    assert not keeping.is_worth(1.1, once=False)
    for _ in range(1000):
        keeping.outlived(2.0)
    assert keeping.is_worth(1.1, once=False)
    assert 0.0 <= keeping.risk(1e6) <= 1.0


def test_a_server_that_is_new_is_taken_to_be_as_the_others_are_until_it_has_shown_itself() -> None:
    pool = Keepings()
    assert pool.is_worth("new", 5.0, once=True)
    for _ in range(30):
        pool.died("old", 1.0)
    assert not pool.is_worth("new", 1.5, once=False) and pool.is_worth("new", 0.1, once=False)
    for _ in range(int(KNOWN)):
        pool.outlived("new", 5.0)
    assert pool.is_worth("new", 1.5, once=True) and not pool.is_worth("old", 1.5, once=False)
    pool.forget("new")
    assert not pool.is_worth("new", 1.5, once=False)


def test_what_was_believed_of_all_ages_is_disproved_by_trials() -> None:
    """A burst of ends at all ages: without trials every call opened a connection from there on."""
    pool, random = Keepings(), Random(1)
    for _ in range(60):
        pool.died("s", random.uniform(0.06, 1.0))
    refused = 0
    for _ in range(4000):
        if pool.is_worth("s", 0.3, once=False) or pool.is_trial():
            pool.outlived("s", 0.3)
        else:
            refused += 1
    assert refused < 500


def test_where_nobody_is_left_nothing_is_believed_of_who_comes_next() -> None:
    pool = Keepings()
    for _ in range(40):
        pool.died("crashed", 0.2)
    pool.forget("crashed")
    assert pool.is_worth("next", 0.5, once=True)
