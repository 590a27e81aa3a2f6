"""Who is there, by what each says of itself, and how word of it spreads. No I/O; events and the time come in.

Three habits, each mending what the one before leaves open. What is new and matters is passed on at once to a
few others, who pass it on in turn. Every few tenths of a second one neighbour is sent a digest of versions
and both send what the other lacks (Scuttlebutt: van Renesse et al., LADIS 2008). Neighbours are a partial
view, of which samples are swapped as one goes (HyParView: Leitao et al., DSN 2007); the seeds stay as the
last resort. Only its owner raises a record's version; one that comes back without disk sees its former
record and goes above it, as in SWIM's refutation.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from cometdoor.wire.messages import News, Record

EXCHANGE_S = 0.25  # between digests: two or three of them reach all of a dozen
PULSE_S = 0.75  # between signs of life of its own; they travel with the digests
PASSED_TO = 3  # others that news is passed on to at once
VIEW = 12  # neighbours
SAMPLE = 4  # of them that go with a digest
# Without a sign of life for so long a process counts as silent. Signs are 0.75 s apart and take 0.6 s to
# all; a machine that was cut off for a moment must not vanish from everybody's lists.
SILENT_S = 3.0
FORGOTTEN_S = 600.0  # and after so long its record goes: sooner, others would bring it back as news


class Directory:
    def __init__(self, own: Record, seeds: list[str], chance: random.Random, now: float) -> None:
        self.own = own
        self.records: dict[str, Record] = {own.node: own}
        self.heard_at: dict[str, float] = {}
        self.revision = 0  # of the newest configuration here
        self.changed: Callable[[Record], None] = lambda record: None  # something that matters of another's
        self.outbox: list[tuple[str, News]] = []
        self._seeds: list[str] = []
        self.seeds = seeds
        self._view = list(self._seeds)
        self._chance = chance
        self._exchange_at = now
        self._pulse_at = now + PULSE_S

    @property
    def seeds(self) -> list[str]:
        """Internal addresses that are asked when nobody else is known."""
        return self._seeds

    @seeds.setter
    def seeds(self, seeds: list[str]) -> None:
        self._seeds = [seed for seed in seeds if seed != self.own.address]

    # --- of my own ---

    def say(self, own: Record) -> None:
        """What this process has to say of itself, as it is now."""
        self.own = msgspec.structs.replace(own, version=self.own.version + 1)
        self.records[own.node] = self.own
        self._pass_on([self.own])

    def configured(self, revision: int) -> None:
        """A newer configuration is here: others hear of it at once."""
        self.revision = revision
        self._pass_on([])

    def _pass_on(self, records: list[Record], but: str = "") -> None:
        known = [address for address in self._reachable() if address != but]
        for address in self._chance.sample(known, min(PASSED_TO, len(known))):
            self.outbox.append((address, News(self.own.address, records, self.revision)))

    def _reachable(self) -> list[str]:
        return list(dict.fromkeys([*self._view, *(
            record.address for record in self.records.values() if record.address != self.own.address)]))

    # --- time ---

    def tick(self, now: float) -> None:
        if now >= self._pulse_at:
            self._pulse_at = now + PULSE_S
            self.own = msgspec.structs.replace(self.own, version=self.own.version + 1)
            self.records[self.own.node] = self.own
            for node in [node for node, at in self.heard_at.items() if now - at > FORGOTTEN_S]:
                del self.heard_at[node]
                self.records.pop(node, None)
        if now >= self._exchange_at:
            self._exchange_at = now + EXCHANGE_S * self._chance.uniform(0.8, 1.2)
            partner = self._partner(now)
            if partner:
                self.outbox.append((partner, News(self.own.address, [], self.revision, self._digest(),
                                                  self._sample())))

    def _partner(self, now: float) -> str | None:
        silent = {record.address for record in self.records.values() if self.is_silent(record.node, now)}
        known = [address for address in self._view if address not in silent]
        if not known or self._chance.random() < 0.1:
            known = self._seeds or self._reachable()
        return self._chance.choice(known) if known else None

    def _digest(self) -> dict[str, int]:
        return {node: record.version for node, record in self.records.items()}

    def _sample(self) -> list[str]:
        return self._chance.sample(self._view, min(SAMPLE, len(self._view)))

    def is_silent(self, node: str, now: float) -> bool:
        return node != self.own.node and now - self.heard_at.get(node, now) > SILENT_S

    def alive(self, now: float) -> list[Record]:
        return [record for record in self.records.values() if not self.is_silent(record.node, now)]

    # --- what comes ---

    def receive(self, news: News, now: float) -> None:
        self._meet(news.sender)
        for neighbour in news.neighbours:
            self._meet(neighbour)
        fresh = [record for record in news.records if self._take(record, now)]
        if fresh:
            self._pass_on(fresh, but=news.sender)
        if news.digest is not None:
            theirs = news.digest
            # A record of mine from a former life: go above it.
            if theirs.get(self.own.node, 0) > self.own.version:
                self.own = msgspec.structs.replace(self.own, version=theirs[self.own.node] + 1)
                self.records[self.own.node] = self.own
            newer = [record for node, record in self.records.items() if record.version > theirs.get(node, 0)]
            lacks = any(version > self.records[node].version if node in self.records else True
                        for node, version in theirs.items())
            asks = self._digest() if lacks and not news.answer else None
            if newer or asks is not None or self.revision > news.revision:
                self.outbox.append((news.sender, News(self.own.address, newer, self.revision, asks,
                                                      self._sample(), True)))

    def _take(self, record: Record, now: float) -> bool:
        """Whether it says something new that matters."""
        if record.node == self.own.node:
            if record.life != self.own.life and record.version >= self.own.version:
                self.own = msgspec.structs.replace(self.own, version=record.version + 1)
                self.records[self.own.node] = self.own
            return False
        held = self.records.get(record.node)
        if held is not None and held.version >= record.version:
            return False
        was_silent = self.is_silent(record.node, now)
        self.records[record.node] = record
        self.heard_at[record.node] = now
        matters = held is None or msgspec.structs.replace(held, version=record.version) != record
        if matters or was_silent:
            self.changed(record)
        return matters

    def _meet(self, address: str) -> None:
        if address and address != self.own.address and address not in self._view:
            if len(self._view) < VIEW:
                self._view.append(address)
            else:
                self._view[self._chance.randrange(VIEW)] = address
