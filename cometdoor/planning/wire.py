"""Notes between forwarders and planners: sealed, numbered, proven fresh without comparing two clocks. No I/O.

    offset  bytes  content
    0       1      version
    1       1      number of the key
    2       1      kind
    3       2      sender, its number among the forwarders or planners
    5       4      life: drawn at each start of the sender
    9       4      number of the note, in this life and to this receiver, from 1
    13      8      echo: life and number of the last note that the sender had from the receiver; 0: none yet
    21      ..     body (msgpack)
    -12     12     seal: BLAKE2s, keyed, of all before it and of the receiver's number

A note proves itself fresh by its echo: it names a note that the receiver itself sent a known time ago, so
that it was written after that. Replays, notes of former lives and notes that were long under way can't do
so.

Lives are remembered for as long as any of their notes can still prove itself. Else a late note of a former
life and the present one in turn would each open the door to repeats of the other.
"""

from __future__ import annotations

import hmac
import struct
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2s

VERSION = 2
MAX_NOTE = 256  # bytes of a datagram: as many as the platform's proxies may whisper
HEAD = struct.Struct(">BBBHIIII")
SEAL = 12  # bytes: a forger has one chance in 2**96 for each note
MAX_BODY = MAX_NOTE - HEAD.size - SEAL
MIN_KEY, MAX_KEY = 16, 32  # bytes: what BLAKE2s takes as a key, and no fewer than can't be guessed
MAX_LIVES = 16  # of one partner within the time for which notes are remembered
WINDOW = 64  # numbers behind the highest in which a late note is still taken, once


class Kind(IntEnum):
    REPORT = 1  # a forwarder's, to each planner
    ADVICE = 2  # a planner's, to a forwarder
    LOAN = 3  # a planner's, to a forwarder


class Dropped(IntEnum):
    """Why a datagram was not taken."""

    SIZE = 1
    VERSION = 2
    STRANGER = 3  # no such kind, sender or key here
    FORGED = 4
    REPEATED = 5


@dataclass(frozen=True, slots=True)
class Note:
    kind: Kind
    sender: int
    life: int
    number: int
    body: bytes
    age_ms: float | None  # at most so long ago it was written; None: that can't be told

    def is_fresh(self, within_ms: float) -> bool:
        return self.age_ms is not None and self.age_ms <= within_ms


@dataclass(frozen=True, slots=True)
class Keys:
    """While they are changed two are valid: first everybody learns the new one, then it is used to seal, then
    the old one is taken out."""

    known: Mapping[int, bytes]  # by number, 0 to 255
    current: int  # the one to seal with

    def __post_init__(self) -> None:
        if not 1 <= len(self.known) <= 2:
            raise ValueError(f"one key or two are needed, not {len(self.known)}")
        if self.current not in self.known:
            raise ValueError(f"key {self.current} is not among those known")
        for number, key in self.known.items():
            if not 0 <= number <= 255:
                raise ValueError(f"key number {number} is not in 0 to 255")
            if not MIN_KEY <= len(key) <= MAX_KEY:
                raise ValueError(f"key {number} has {len(key)} bytes, not {MIN_KEY} to {MAX_KEY}")


def _seal(key: bytes, content: bytes, to: int) -> bytes:
    """The receiver is sealed in, so that nobody else takes the note for its own."""
    return blake2s(content + to.to_bytes(2), key=key, digest_size=SEAL, person=b"cmtdoor1").digest()


class _Life:
    """What was had of one life of a sender."""

    __slots__ = ("highest", "proven_at", "seen")

    def __init__(self) -> None:
        self.proven_at = -1.0  # when the newest own note was sent that one of its notes echoed
        self.highest = 0
        self.seen = 0  # bits: the highest number, and those behind it

    def take(self, number: int) -> bool:
        """Whether this number is new here."""
        ahead = number - self.highest
        if ahead > 0:
            self.seen = ((self.seen << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.highest = number
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


class _Partner:
    """One partner as its notes and ours show it."""

    __slots__ = ("asks", "asks_next", "lives", "number", "sent")

    def __init__(self) -> None:
        self.number = 0  # of the last note to it
        self.sent: deque[tuple[int, float]] = deque()  # numbers and times of notes to it, oldest first
        self.lives: dict[int, _Life] = {}  # by life; such as proved themselves
        self.asks: tuple[int, int] | None = None  # the last note of a life that has not proven itself
        self.asks_next = True  # it is echoed in every other note at most: it may be a replay

    def forget(self, before_ms: float) -> None:
        """What can't be echoed, or prove itself, any more."""
        while self.sent and self.sent[0][1] < before_ms:
            self.sent.popleft()
        for life in [life for life, known in self.lives.items() if known.proven_at < before_ms]:
            del self.lives[life]

    def echo(self) -> tuple[int, int]:
        """Of the life whose proof is the newest."""
        asks, self.asks_next = self.asks if self.asks_next else None, not self.asks_next
        if asks is not None:
            self.asks = None
            return asks
        newest = max(self.lives.items(), key=lambda item: item[1].proven_at, default=None)
        return (newest[0], newest[1].highest) if newest is not None else self.asks or (0, 0)


class Post:
    """One party's side: it seals what it sends and opens what comes, for one kind of partner.

    `life`: a random number above 0, new with each start. `partners`: how many there are, others are
    strangers. `kinds`: what they may send. `remember_ms`: for how long the times of own notes are kept, and
    so how old a provable note can be at most.
    """

    def __init__(
        self,
        keys: Keys,
        me: int,
        life: int,
        partners: int,
        kinds: frozenset[Kind],
        remember_ms: float = 10_000.0,
    ) -> None:
        if not 0 < life < 1 << 32:
            raise ValueError(f"life: {life} is not in 1 to 2**32 - 1")
        self.keys = keys
        self.dropped: Counter[Dropped] = Counter()
        self._me = me
        self._life = life
        self._partners = partners
        self._kinds = kinds
        self._remember_ms = remember_ms
        self._of: dict[int, _Partner] = {}

    def seal(self, kind: Kind, to: int, body: bytes, now_ms: float) -> bytes:
        """A datagram for that partner. Raises ValueError where the body is too long."""
        if len(body) > MAX_BODY:
            raise ValueError(f"a body of {len(body)} bytes, over {MAX_BODY}")
        partner = self._partner(to, now_ms)
        partner.number += 1
        partner.sent.append((partner.number, now_ms))
        echo = partner.echo()
        content = (
            HEAD.pack(VERSION, self.keys.current, kind, self._me, self._life, partner.number, *echo) + body
        )
        return content + _seal(self.keys.known[self.keys.current], content, to)

    def open(self, datagram: bytes, now_ms: float) -> Note | None:
        """None: dropped, and counted by its reason."""
        if not HEAD.size + SEAL <= len(datagram) <= MAX_NOTE:
            return self._drop(Dropped.SIZE)
        version, key_number, kind, sender, life, number, echo_life, echo_number = HEAD.unpack_from(datagram)
        if version != VERSION:
            return self._drop(Dropped.VERSION)
        key = self.keys.known.get(key_number)
        if key is None or kind not in self._kinds or sender >= self._partners or not life or not number:
            return self._drop(Dropped.STRANGER)
        content, seal = datagram[:-SEAL], datagram[-SEAL:]
        if not hmac.compare_digest(seal, _seal(key, content, self._me)):
            return self._drop(Dropped.FORGED)
        partner = self._partner(sender, now_ms)
        sent_at = self._sent_at(partner, echo_life, echo_number)
        if sent_at is not None:
            known = partner.lives.get(life)
            if known is None:
                if len(partner.lives) >= MAX_LIVES:
                    return self._drop(Dropped.REPEATED)
                known = partner.lives[life] = _Life()
            if not known.take(number):
                return self._drop(Dropped.REPEATED)
            known.proven_at = max(known.proven_at, sent_at)
        elif (known := partner.lives.get(life)) is not None:
            if not known.take(number):
                return self._drop(Dropped.REPEATED)
        else:
            partner.asks = life, number  # our answer lets it prove itself
        return Note(
            Kind(kind),
            sender,
            life,
            number,
            content[HEAD.size :],
            None if sent_at is None else now_ms - sent_at,
        )

    def _drop(self, why: Dropped) -> Note | None:
        self.dropped[why] += 1
        return None

    def _partner(self, number: int, now_ms: float) -> _Partner:
        partner = self._of.get(number)
        if partner is None:
            partner = self._of[number] = _Partner()
        partner.forget(now_ms - self._remember_ms)
        return partner

    def _sent_at(self, partner: _Partner, life: int, number: int) -> float | None:
        """When the note was sent that is echoed; None where that can't be told any more, or never was so."""
        if life != self._life or not partner.sent:
            return None
        place = number - partner.sent[0][0]  # numbers follow on one another
        return partner.sent[place][1] if 0 <= place < len(partner.sent) else None
