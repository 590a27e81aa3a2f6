"""Messages between forwarders and planners: authenticated, numbered, of provable age. No I/O.

    offset  bytes  content
    0       1      version
    1       1      number of the key
    2       1      kind
    3       2      sender, its number among the forwarders or planners
    5       4      incarnation: random at each start of the sender
    9       4      number of the message, in this incarnation and to this receiver, from 1
    13      8      echo: incarnation and number of the last message from the receiver; 0: none yet
    21      ..     body (msgpack)
    -12     12     seal: keyed BLAKE2s (RFC 7693) of all before it and of the receiver's number

A message proves an upper bound of its age by its echo: the echo names a message that the receiver itself sent
at a known time, so the message was written after that. Replays, messages of former incarnations and messages
with a long delay can't prove that they are fresh.

Incarnations are remembered for as long as any of their messages can still prove its age. Otherwise late
messages of a former incarnation and of the present one, in turn, would each allow replays of the other.
"""

from __future__ import annotations

import hmac
import struct
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2s
from typing import NamedTuple

VERSION = 2
MAX_MESSAGE_BYTES = 256  # the platform's limit for messages between proxies
HEADER = struct.Struct(">BBBHIIII")
SEAL_BYTES = 12  # a forgery succeeds once in 2**96
MAX_BODY_BYTES = MAX_MESSAGE_BYTES - HEADER.size - SEAL_BYTES
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 32  # the maximum is BLAKE2s's
MAX_INCARNATIONS = 16  # of one peer within the retention time
REPLAY_WINDOW = 64  # message numbers; a late message less than this below the highest is accepted, once


class MessageKind(IntEnum):
    """What a message's body is."""

    REPORT = 1  # from a forwarder to each planner
    ADVICE = 2  # from a planner to a forwarder
    LEASE = 3  # from a planner to a forwarder


class DropReason(IntEnum):
    """Why a datagram was dropped."""

    SIZE = 1
    VERSION = 2
    UNKNOWN_SENDER = 3  # or an unknown kind or key
    BAD_SEAL = 4
    REPLAYED = 5

    @property
    def label(self) -> str:
        """Key under which the status page counts it."""
        labels = {self.UNKNOWN_SENDER: "stranger", self.BAD_SEAL: "forged", self.REPLAYED: "repeated"}
        return labels.get(self, self.name.lower())


@dataclass(frozen=True, slots=True)
class Message:
    """A message with a valid seal."""

    kind: MessageKind
    sender: int
    incarnation: int
    number: int
    body: bytes
    age_ms: float | None  # upper bound; None: not proven

    def is_fresh(self, max_age_ms: float) -> bool:
        """Return whether the message is proven to be no older than `max_age_ms`."""
        return self.age_ms is not None and self.age_ms <= max_age_ms


class OutgoingMessage(NamedTuple):
    """A datagram to send."""

    receiver: int  # number of the forwarder or planner
    datagram: bytes


class MessageId(NamedTuple):
    """Identifies a message of one sender to one receiver."""

    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class KeyRing:
    """Keys of seals.

    During a key rotation two are valid: first every process learns the new one, then it is used for seals,
    then the old one is removed.

    Raises
    ------
    ValueError
        The keys are invalid; the error text contains no part of a key.
    """

    known: Mapping[int, bytes]  # by number, 0 to 255
    current: int  # number of the key for new seals

    def __post_init__(self) -> None:
        if not 1 <= len(self.known) <= 2:
            raise ValueError(f"one key or two are needed, not {len(self.known)}")
        if self.current not in self.known:
            raise ValueError(f"key {self.current} is not among the known keys")
        for number, key in self.known.items():
            if not 0 <= number <= 255:
                raise ValueError(f"key number {number} is not in 0 to 255")
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise ValueError(f"key {number} has {len(key)} bytes, not {MIN_KEY_BYTES} to {MAX_KEY_BYTES}")


def _seal(key: bytes, content: bytes, receiver: int) -> bytes:
    """Return the seal; it covers the receiver's number, so that no other receiver accepts the message."""
    return blake2s(
        content + receiver.to_bytes(2), key=key, digest_size=SEAL_BYTES, person=b"cmtdoor1"
    ).digest()


class _IncarnationState:
    """Message numbers received from one incarnation of a peer, for replay protection."""

    __slots__ = ("highest", "proven_at", "received")

    def __init__(self) -> None:
        self.proven_at = -1.0  # when our newest message that it echoed was sent, in ms
        self.highest = 0
        self.received = 0  # bit set of numbers: bit 0 is the highest, bit 1 the one below

    def accept(self, number: int) -> bool:
        """Record a number and return whether it is new."""
        ahead = number - self.highest
        if ahead > 0:
            self.received = (
                ((self.received << ahead) | 1) & ((1 << REPLAY_WINDOW) - 1) if ahead < REPLAY_WINDOW else 1
            )
            self.highest = number
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW or self.received & bit:
            return False
        self.received |= bit
        return True


class _PeerState:
    """Messages sent to one peer, and its incarnations as received messages show them."""

    __slots__ = ("echo_unproven_next", "incarnations", "number", "sent", "unproven")

    def __init__(self) -> None:
        self.number = 0  # of the last message to it
        self.sent: deque[tuple[int, float]] = deque()  # numbers and times of messages to it, the oldest first
        self.incarnations: dict[int, _IncarnationState] = {}  # those that have proven a message's age
        self.unproven: MessageId | None = None  # the last message of an incarnation that has proven none
        self.echo_unproven_next = True  # `unproven` may be a replay: at most every other message echoes it

    def expire(self, before_ms: float) -> None:
        """Forget what was sent or proven before that time."""
        while self.sent and self.sent[0][1] < before_ms:
            self.sent.popleft()
        for incarnation in [
            incarnation for incarnation, state in self.incarnations.items() if state.proven_at < before_ms
        ]:
            del self.incarnations[incarnation]

    def echo(self) -> MessageId:
        """Return the message to echo next: of the incarnation with the newest proof, or an unproven one."""
        unproven = self.unproven if self.echo_unproven_next else None
        self.echo_unproven_next = not self.echo_unproven_next
        if unproven is not None:
            self.unproven = None
            return unproven
        newest = max(self.incarnations.items(), key=lambda item: item[1].proven_at, default=None)
        if newest is not None:
            return MessageId(newest[0], newest[1].highest)
        return self.unproven or MessageId(0, 0)


class SecureChannel:
    """Seals and opens the messages of one process, to and from its peers (forwarders or planners).

    Parameters
    ----------
    keys
        Shared by all processes.
    own_number
        Number of this process among its kind.
    incarnation
        A random number above 0, new with each start.
    peer_count
        Number of peers that are configured; higher numbers are unknown senders.
    kinds
        Kinds of messages that peers may send; others are dropped.
    retention_ms
        How long the times of sent messages are kept, in ms: the largest age that can be proven.

    Attributes
    ----------
    dropped : Counter
        Datagrams that were dropped, by reason.
    """

    def __init__(
        self,
        keys: KeyRing,
        own_number: int,
        incarnation: int,
        peer_count: int,
        kinds: frozenset[MessageKind],
        *,
        retention_ms: float = 10_000.0,
    ) -> None:
        if not 0 < incarnation < 1 << 32:
            raise ValueError(f"incarnation: {incarnation} is not in 1 to 2**32 - 1")
        self.keys = keys
        self.dropped: Counter[DropReason] = Counter()
        self._own_number = own_number
        self._incarnation = incarnation
        self._peer_count = peer_count
        self._kinds = kinds
        self._retention_ms = retention_ms
        self._peers: dict[int, _PeerState] = {}

    def seal(self, kind: MessageKind, receiver: int, body: bytes, now_ms: float) -> bytes:
        """Return a datagram for a peer; raise ValueError if the body is too long."""
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(f"a body of {len(body)} bytes is over the limit of {MAX_BODY_BYTES}")
        peer = self._peer(receiver, now_ms)
        peer.number += 1
        peer.sent.append((peer.number, now_ms))
        echo = peer.echo()
        content = (
            HEADER.pack(
                VERSION, self.keys.current, kind, self._own_number, self._incarnation, peer.number, *echo
            )
            + body
        )
        return content + _seal(self.keys.known[self.keys.current], content, receiver)

    def open(self, datagram: bytes, now_ms: float) -> Message | None:
        """Return the message in a datagram, or None if it is dropped; `dropped` counts these by reason."""
        if not HEADER.size + SEAL_BYTES <= len(datagram) <= MAX_MESSAGE_BYTES:
            return self._drop(DropReason.SIZE)
        version, key_number, kind, sender, incarnation, number, echo_incarnation, echo_number = (
            HEADER.unpack_from(datagram)
        )
        if version != VERSION:
            return self._drop(DropReason.VERSION)
        key = self.keys.known.get(key_number)
        if (
            key is None
            or kind not in self._kinds
            or sender >= self._peer_count
            or not incarnation
            or not number
        ):
            return self._drop(DropReason.UNKNOWN_SENDER)
        content, seal = datagram[:-SEAL_BYTES], datagram[-SEAL_BYTES:]
        if not hmac.compare_digest(seal, _seal(key, content, self._own_number)):
            return self._drop(DropReason.BAD_SEAL)
        peer = self._peer(sender, now_ms)
        sent_at = self._sent_at(peer, echo_incarnation, echo_number)
        if sent_at is not None:
            state = peer.incarnations.get(incarnation)
            if state is None:
                if len(peer.incarnations) >= MAX_INCARNATIONS:
                    return self._drop(DropReason.REPLAYED)
                state = peer.incarnations[incarnation] = _IncarnationState()
            if not state.accept(number):
                return self._drop(DropReason.REPLAYED)
            state.proven_at = max(state.proven_at, sent_at)
        elif (state := peer.incarnations.get(incarnation)) is not None:
            if not state.accept(number):
                return self._drop(DropReason.REPLAYED)
        else:
            peer.unproven = MessageId(incarnation, number)  # our reply's echo lets it prove its age
        return Message(
            MessageKind(kind),
            sender,
            incarnation,
            number,
            content[HEADER.size :],
            None if sent_at is None else now_ms - sent_at,
        )

    def _drop(self, reason: DropReason) -> Message | None:
        self.dropped[reason] += 1
        return None

    def _peer(self, number: int, now_ms: float) -> _PeerState:
        peer = self._peers.get(number)
        if peer is None:
            peer = self._peers[number] = _PeerState()
        peer.expire(now_ms - self._retention_ms)
        return peer

    def _sent_at(self, peer: _PeerState, incarnation: int, number: int) -> float | None:
        """Return when the echoed message was sent; None if it was never sent, or too long ago."""
        if incarnation != self._incarnation or not peer.sent:
            return None
        index = number - peer.sent[0][0]  # numbers are consecutive
        return peer.sent[index][1] if 0 <= index < len(peer.sent) else None
