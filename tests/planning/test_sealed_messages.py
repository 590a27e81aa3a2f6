"""Sealed messages: which are accepted, which are dropped and why, and the age that they prove."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.planning.sealed_messages import (
    MAX_BODY_BYTES,
    MAX_MESSAGE_BYTES,
    REPLAY_WINDOW,
    VERSION,
    DropReason,
    KeyRing,
    Message,
    MessageKind,
    SecureChannel,
)

OLD, NEW = b"o" * 32, b"n" * 16
KEYS = KeyRing({1: OLD}, 1)
FROM_PLANNERS = frozenset({MessageKind.ADVICE, MessageKind.LEASE})


def forwarder(incarnation: int = 7, keys: KeyRing = KEYS, own_number: int = 5) -> SecureChannel:
    return SecureChannel(keys, own_number, incarnation, 3, FROM_PLANNERS)


def planner(incarnation: int = 9, keys: KeyRing = KEYS, own_number: int = 2) -> SecureChannel:
    return SecureChannel(keys, own_number, incarnation, 10, frozenset({MessageKind.REPORT}))


def established_channels(now: float = 0.0) -> tuple[SecureChannel, SecureChannel]:
    """Return a forwarder and a planner that have proven the age of a message to each other."""
    forwarder_channel, planner_channel = forwarder(), planner()
    for _ in range(2):
        assert planner_channel.open(forwarder_channel.seal(MessageKind.REPORT, 2, b"", now), now)
        assert forwarder_channel.open(planner_channel.seal(MessageKind.ADVICE, 5, b"", now), now)
    return forwarder_channel, planner_channel


def test_a_message_is_opened_as_it_was_sealed_and_its_echo_proves_its_age() -> None:
    forwarder_channel, planner_channel = established_channels()
    assert (
        planner_channel.open(forwarder_channel.seal(MessageKind.REPORT, 2, b"report", 100.0), 130.0)
        is not None
    )
    message = forwarder_channel.open(planner_channel.seal(MessageKind.LEASE, 5, b"loan", 150.0), 400.0)
    assert message == Message(MessageKind.LEASE, 2, 9, 3, b"loan", 300.0)
    assert message.is_fresh(300.0) and not message.is_fresh(299.0)


def test_the_first_message_does_not_prove_its_age_and_the_next_one_does() -> None:
    forwarder_channel, planner_channel = forwarder(), planner()
    first = planner_channel.open(forwarder_channel.seal(MessageKind.REPORT, 2, b"", 0.0), 1.0)
    assert first is not None and first.age_ms is None and not first.is_fresh(1e9)
    advice = forwarder_channel.open(planner_channel.seal(MessageKind.ADVICE, 5, b"", 2.0), 3.0)
    assert advice is not None and advice.age_ms == 3.0
    second = planner_channel.open(forwarder_channel.seal(MessageKind.REPORT, 2, b"", 4.0), 5.0)
    assert second is not None and second.age_ms == 3.0


def test_a_duplicate_message_is_accepted_once_and_so_is_a_late_one() -> None:
    forwarder_channel, planner_channel = established_channels()
    messages = [
        planner_channel.seal(MessageKind.ADVICE, 5, b"%d" % number, 1.0)
        for number in range(REPLAY_WINDOW + 2)
    ]
    order = [3, 1, 3, 2, 1, 0]
    accepted = [forwarder_channel.open(messages[number], 2.0) is not None for number in order]
    assert accepted == [True, True, False, True, False, True]
    assert forwarder_channel.open(messages[-1], 2.0) is not None
    assert forwarder_channel.open(messages[1], 2.0) is None  # below the replay window: may be a duplicate
    assert forwarder_channel.dropped == {DropReason.REPLAYED: 3}


def test_messages_of_a_former_incarnation_prove_no_age_and_block_no_peer() -> None:
    forwarder_channel, planner_channel = established_channels()
    old = [planner_channel.seal(MessageKind.LEASE, 5, b"old", 1.0) for _ in range(3)]
    restarted = planner(incarnation=10)
    for _ in range(2):
        restarted.open(forwarder_channel.seal(MessageKind.REPORT, 2, b"", 2.0), 2.0)
        message = forwarder_channel.open(restarted.seal(MessageKind.ADVICE, 5, b"", 3.0), 3.0)
        assert message is not None and message.is_fresh(10.0)
    for datagram in old:
        stale = forwarder_channel.open(datagram, 4.0)
        assert stale is None or not stale.is_fresh(0.5)
    assert restarted.open(forwarder_channel.seal(MessageKind.REPORT, 2, b"", 5.0), 5.0) is not None
    message = forwarder_channel.open(restarted.seal(MessageKind.ADVICE, 5, b"", 6.0), 6.0)
    assert message is not None and message.is_fresh(10.0)


def test_a_restarted_receiver_trusts_no_message_to_its_former_incarnation() -> None:
    _, planner_channel = established_channels()
    lease = planner_channel.seal(MessageKind.LEASE, 5, b"", 1.0)
    message = forwarder(incarnation=8).open(lease, 2.0)
    assert message is not None and message.age_ms is None


def test_a_message_to_another_receiver_has_a_bad_seal() -> None:
    _, planner_channel = established_channels()
    other = forwarder(own_number=6)
    assert other.open(planner_channel.seal(MessageKind.LEASE, 5, b"", 1.0), 1.0) is None
    assert other.dropped == {DropReason.BAD_SEAL: 1}


def test_during_a_key_rotation_both_keys_are_accepted_and_afterwards_only_the_new_one() -> None:
    old, both_old, both_new, new = (
        KEYS,
        KeyRing({1: OLD, 2: NEW}, 1),
        KeyRing({1: OLD, 2: NEW}, 2),
        KeyRing({2: NEW}, 2),
    )
    for sender, receiver in (
        (old, both_old),
        (both_old, old),
        (both_old, both_new),
        (both_new, both_old),
        (both_new, new),
        (new, both_new),
    ):
        sealed = forwarder(keys=sender).seal(MessageKind.REPORT, 2, b"x", 0.0)
        assert planner(keys=receiver).open(sealed, 0.0) is not None
    stale = planner(keys=new)
    assert stale.open(forwarder(keys=old).seal(MessageKind.REPORT, 2, b"x", 0.0), 0.0) is None
    assert stale.dropped == {DropReason.UNKNOWN_SENDER: 1}


@pytest.mark.parametrize(
    ("known", "current", "expected_error"),
    [
        ({}, 1, "one key or two"),
        ({1: OLD, 2: OLD, 3: OLD}, 1, "one key or two"),
        ({1: OLD}, 2, "not among"),
        ({1: b"short"}, 1, "5 bytes"),
        ({256: OLD}, 256, "number 256"),
        ({1: OLD + b"x"}, 1, "33 bytes"),
    ],
)
def test_unusable_keys_are_rejected(known: dict[int, bytes], current: int, expected_error: str) -> None:
    with pytest.raises(ValueError, match=expected_error):
        KeyRing(known, current)


def test_the_longest_body_fits_a_datagram_and_a_longer_one_is_rejected() -> None:
    assert len(forwarder().seal(MessageKind.REPORT, 2, b"x" * MAX_BODY_BYTES, 0.0)) == MAX_MESSAGE_BYTES
    with pytest.raises(ValueError, match="over"):
        forwarder().seal(MessageKind.REPORT, 2, b"x" * (MAX_BODY_BYTES + 1), 0.0)


@pytest.mark.parametrize(
    ("make_datagram", "reason"),
    [
        (lambda: b"", DropReason.SIZE),
        (lambda: b"x" * 257, DropReason.SIZE),
        (
            lambda: bytes([VERSION + 1]) + forwarder().seal(MessageKind.REPORT, 2, b"", 0.0)[1:],
            DropReason.VERSION,
        ),
        (lambda: forwarder().seal(MessageKind.LEASE, 2, b"", 0.0), DropReason.UNKNOWN_SENDER),
        (lambda: forwarder(own_number=10).seal(MessageKind.REPORT, 2, b"", 0.0), DropReason.UNKNOWN_SENDER),
        (
            lambda: forwarder(keys=KeyRing({1: NEW}, 1)).seal(MessageKind.REPORT, 2, b"", 0.0),
            DropReason.BAD_SEAL,
        ),
    ],
)
def test_dropped_datagrams_are_counted_by_reason(make_datagram: object, reason: DropReason) -> None:
    planner_channel = planner()
    assert planner_channel.open(make_datagram(), 0.0) is None  # type: ignore[operator]
    assert planner_channel.dropped == {reason: 1}


@given(st.binary(max_size=MAX_BODY_BYTES), st.integers(0, MAX_MESSAGE_BYTES - 1), st.integers(1, 255))
def test_a_changed_byte_is_detected(body: bytes, position: int, flip: int) -> None:
    sealed = bytearray(forwarder().seal(MessageKind.REPORT, 2, body, 0.0))
    sealed[position % len(sealed)] ^= flip
    assert planner().open(bytes(sealed), 0.0) is None


@given(st.binary(max_size=300))
def test_garbage_is_dropped(garbage: bytes) -> None:
    planner_channel = planner()
    assert planner_channel.open(garbage, 0.0) is None and planner_channel.dropped.total() == 1


@given(st.integers(0, 2**32), st.integers(1, 60))
def test_over_a_bad_network_each_message_is_accepted_at_most_once_and_never_as_younger_than_it_is(
    seed: int, count: int
) -> None:
    """Messages are lost, duplicated, reordered and late; processes restart."""
    random = Random(seed)
    parties = {"forwarder": forwarder(incarnation=1), "planner": planner(incarnation=1)}
    incarnations = {"forwarder": 1, "planner": 1}
    in_flight: list[tuple[float, str, bytes, float, tuple[str, int, int]]] = []
    accepted: set[tuple[str, int, int, int]] = set()
    now, sealed_count = 0.0, 0
    for _ in range(count):
        now += random.uniform(0.0, 50.0)
        action = random.random()
        if action < 0.05:
            name = random.choice(list(parties))
            incarnations[name] += 1
            incarnation = incarnations[name]
            parties[name] = (
                forwarder(incarnation=incarnation)
                if name == "forwarder"
                else planner(incarnation=incarnation)
            )
        elif action < 0.6:
            name, other = random.choice([("forwarder", "planner"), ("planner", "forwarder")])
            sealed_count += 1
            sealed = parties[name].seal(
                *((MessageKind.REPORT, 2) if name == "forwarder" else (MessageKind.LEASE, 5)),
                b"%d" % sealed_count,
                now,
            )
            for _ in range(random.choice([0, 1, 1, 2])):
                in_flight.append(
                    (
                        now + random.expovariate(0.01),
                        other,
                        sealed,
                        now,
                        (name, incarnations[name], sealed_count),
                    )
                )
        for delivery in [delivery for delivery in in_flight if delivery[0] <= now]:
            in_flight.remove(delivery)
            _, to, sealed, sealed_at, message_key = delivery
            message = parties[to].open(sealed, now)
            if message is not None and message.age_ms is not None:
                assert message.age_ms >= now - sealed_at
                assert (*message_key, incarnations[to]) not in accepted
                accepted.add((*message_key, incarnations[to]))
