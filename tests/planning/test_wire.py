"""Notes: what is taken, what is dropped and why, and how old a note proves itself to be."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.planning.wire import (
    MAX_BODY,
    MAX_NOTE,
    VERSION,
    WINDOW,
    Dropped,
    Keys,
    Kind,
    Note,
    Post,
)

OLD, NEW = b"o" * 32, b"n" * 16
KEYS = Keys({1: OLD}, 1)
FROM_PLANNERS = frozenset({Kind.ADVICE, Kind.LOAN})


def forwarder(life: int = 7, keys: Keys = KEYS, me: int = 5) -> Post:
    return Post(keys, me, life, 3, FROM_PLANNERS)


def planner(life: int = 9, keys: Keys = KEYS, me: int = 2) -> Post:
    return Post(keys, me, life, 10, frozenset({Kind.REPORT}))


def met(now: float = 0.0) -> tuple[Post, Post]:
    """A forwarder and a planner that have proven themselves to one another."""
    ours, theirs = forwarder(), planner()
    for _ in range(2):
        assert theirs.open(ours.seal(Kind.REPORT, 2, b"", now), now)
        assert ours.open(theirs.seal(Kind.ADVICE, 5, b"", now), now)
    return ours, theirs


def test_a_note_arrives_as_it_was_sealed_and_proves_its_age_by_what_it_echoes() -> None:
    ours, theirs = met()
    assert theirs.open(ours.seal(Kind.REPORT, 2, b"report", 100.0), 130.0) is not None
    note = ours.open(theirs.seal(Kind.LOAN, 5, b"loan", 150.0), 400.0)
    assert note == Note(Kind.LOAN, 2, 9, 3, b"loan", 300.0)
    assert note.is_fresh(300.0) and not note.is_fresh(299.0)


def test_the_first_note_proves_nothing_and_the_next_does() -> None:
    ours, theirs = forwarder(), planner()
    first = theirs.open(ours.seal(Kind.REPORT, 2, b"", 0.0), 1.0)
    assert first is not None and first.age_ms is None and not first.is_fresh(1e9)
    advice = ours.open(theirs.seal(Kind.ADVICE, 5, b"", 2.0), 3.0)
    assert advice is not None and advice.age_ms == 3.0
    second = theirs.open(ours.seal(Kind.REPORT, 2, b"", 4.0), 5.0)
    assert second is not None and second.age_ms == 3.0


def test_a_doubled_note_is_taken_once_and_a_late_one_too() -> None:
    ours, theirs = met()
    notes = [theirs.seal(Kind.ADVICE, 5, b"%d" % number, 1.0) for number in range(WINDOW + 2)]
    order = [3, 1, 3, 2, 1, 0]
    taken = [ours.open(notes[number], 2.0) is not None for number in order]
    assert taken == [True, True, False, True, False, True]
    assert ours.open(notes[-1], 2.0) is not None
    assert ours.open(notes[1], 2.0) is None  # too far behind to be told from a repeat
    assert ours.dropped == {Dropped.REPEATED: 3}


def test_what_a_former_life_sent_proves_nothing_and_shuts_nobody_out() -> None:
    ours, theirs = met()
    old = [theirs.seal(Kind.LOAN, 5, b"old", 1.0) for _ in range(3)]
    reborn = planner(life=10)
    for _ in range(2):
        reborn.open(ours.seal(Kind.REPORT, 2, b"", 2.0), 2.0)
        note = ours.open(reborn.seal(Kind.ADVICE, 5, b"", 3.0), 3.0)
        assert note is not None and note.is_fresh(10.0)
    for datagram in old:
        stale = ours.open(datagram, 4.0)
        assert stale is None or not stale.is_fresh(0.5)
    assert reborn.open(ours.seal(Kind.REPORT, 2, b"", 5.0), 5.0) is not None
    note = ours.open(reborn.seal(Kind.ADVICE, 5, b"", 6.0), 6.0)
    assert note is not None and note.is_fresh(10.0)


def test_a_receiver_that_started_anew_believes_nothing_that_was_written_to_its_former_life() -> None:
    _, theirs = met()
    loan = theirs.seal(Kind.LOAN, 5, b"", 1.0)
    note = forwarder(life=8).open(loan, 2.0)
    assert note is not None and note.age_ms is None


def test_a_note_to_another_is_forged_here() -> None:
    _, theirs = met()
    other = forwarder(me=6)
    assert other.open(theirs.seal(Kind.LOAN, 5, b"", 1.0), 1.0) is None
    assert other.dropped == {Dropped.FORGED: 1}


def test_while_keys_are_changed_both_are_taken_and_then_the_old_one_is_not() -> None:
    old, both_old, both_new, new = (
        KEYS,
        Keys({1: OLD, 2: NEW}, 1),
        Keys({1: OLD, 2: NEW}, 2),
        Keys({2: NEW}, 2),
    )
    for sender, receiver in (
        (old, both_old),
        (both_old, old),
        (both_old, both_new),
        (both_new, both_old),
        (both_new, new),
        (new, both_new),
    ):
        sealed = forwarder(keys=sender).seal(Kind.REPORT, 2, b"x", 0.0)
        assert planner(keys=receiver).open(sealed, 0.0) is not None
    stale = planner(keys=new)
    assert stale.open(forwarder(keys=old).seal(Kind.REPORT, 2, b"x", 0.0), 0.0) is None
    assert stale.dropped == {Dropped.STRANGER: 1}


@pytest.mark.parametrize(
    ("known", "current", "said"),
    [
        ({}, 1, "one key or two"),
        ({1: OLD, 2: OLD, 3: OLD}, 1, "one key or two"),
        ({1: OLD}, 2, "not among"),
        ({1: b"short"}, 1, "5 bytes"),
        ({256: OLD}, 256, "number 256"),
        ({1: OLD + b"x"}, 1, "33 bytes"),
    ],
)
def test_keys_that_can_not_be_used_are_refused(known: dict[int, bytes], current: int, said: str) -> None:
    with pytest.raises(ValueError, match=said):
        Keys(known, current)


def test_the_longest_body_fits_a_datagram_and_a_longer_one_is_refused() -> None:
    assert len(forwarder().seal(Kind.REPORT, 2, b"x" * MAX_BODY, 0.0)) == MAX_NOTE
    with pytest.raises(ValueError, match="over"):
        forwarder().seal(Kind.REPORT, 2, b"x" * (MAX_BODY + 1), 0.0)


@pytest.mark.parametrize(
    ("make", "why"),
    [
        (lambda: b"", Dropped.SIZE),
        (lambda: b"x" * 257, Dropped.SIZE),
        (lambda: bytes([VERSION + 1]) + forwarder().seal(Kind.REPORT, 2, b"", 0.0)[1:], Dropped.VERSION),
        (lambda: forwarder().seal(Kind.LOAN, 2, b"", 0.0), Dropped.STRANGER),
        (lambda: forwarder(me=10).seal(Kind.REPORT, 2, b"", 0.0), Dropped.STRANGER),
        (lambda: forwarder(keys=Keys({1: NEW}, 1)).seal(Kind.REPORT, 2, b"", 0.0), Dropped.FORGED),
    ],
)
def test_what_is_dropped_is_counted_by_its_reason(make: object, why: Dropped) -> None:
    theirs = planner()
    assert theirs.open(make(), 0.0) is None  # type: ignore[operator]
    assert theirs.dropped == {why: 1}


@given(st.binary(max_size=MAX_BODY), st.integers(0, MAX_NOTE - 1), st.integers(1, 255))
def test_no_byte_can_be_changed(body: bytes, place: int, flip: int) -> None:
    sealed = bytearray(forwarder().seal(Kind.REPORT, 2, body, 0.0))
    sealed[place % len(sealed)] ^= flip
    assert planner().open(bytes(sealed), 0.0) is None


@given(st.binary(max_size=300))
def test_garbage_is_dropped(garbage: bytes) -> None:
    theirs = planner()
    assert theirs.open(garbage, 0.0) is None and theirs.dropped.total() == 1


@given(st.integers(0, 2**32), st.integers(1, 60))
def test_over_a_bad_network_each_note_is_taken_once_at_most_and_never_younger_than_it_is(
    seed: int, count: int
) -> None:
    """Notes are lost, doubled, reordered and late; parties start anew."""
    random = Random(seed)
    parties = {"ours": forwarder(life=1), "theirs": planner(life=1)}
    lives = {"ours": 1, "theirs": 1}
    flying: list[tuple[float, str, bytes, float, tuple[str, int, int]]] = []
    taken: set[tuple[str, int, int, int]] = set()
    now, written = 0.0, 0
    for _ in range(count):
        now += random.uniform(0.0, 50.0)
        what = random.random()
        if what < 0.05:
            name = random.choice(list(parties))
            lives[name] += 1
            life = lives[name]
            parties[name] = forwarder(life=life) if name == "ours" else planner(life=life)
        elif what < 0.6:
            name, other = random.choice([("ours", "theirs"), ("theirs", "ours")])
            written += 1
            sealed = parties[name].seal(
                *((Kind.REPORT, 2) if name == "ours" else (Kind.LOAN, 5)), b"%d" % written, now
            )
            for _ in range(random.choice([0, 1, 1, 2])):
                flying.append(
                    (now + random.expovariate(0.01), other, sealed, now, (name, lives[name], written))
                )
        for one in [one for one in flying if one[0] <= now]:
            flying.remove(one)
            _, to, sealed, written_at, mark = one
            note = parties[to].open(sealed, now)
            if note is not None and note.age_ms is not None:
                assert note.age_ms >= now - written_at
                assert (*mark, lives[to]) not in taken
                taken.add((*mark, lives[to]))
