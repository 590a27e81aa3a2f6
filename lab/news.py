"""Directories in memory that send to one another, in virtual time, for stories and for large fleets.

What is between two that can't reach one another is lost; whoever asked there is told so after as long as a
line takes to give up, or at once where the other is dead.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable

from cometdoor.news.directory import Directory
from cometdoor.news.exchange import TICK_S
from cometdoor.wire.lines import SILENT_S
from cometdoor.wire.messages import Compare, Frame, Message, Reach, Reached, Record, encode

WAY_S = 0.003  # one way
LOSS = 0.01  # of what is passed on: a line may break


class Town:
    """Of data planes `n0` to `n(size - 1)`, the first three of which are the seeds."""

    def __init__(self, size: int, seed: int) -> None:
        self.now = 0.0
        self.bytes_sent = 0
        self.messages_sent = 0
        self.cut: set[str] = set()  # addresses that reach nobody
        self.cut_between: set[frozenset[str]] = set()
        self.sides: set[str] = set()  # these and the others don't reach one another
        self._chance = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._dead: set[str] = set()
        self.nodes = {f"n{place}:1": self._directory(f"n{place}", "life", seed + place)
                      for place in range(size)}

    def _directory(self, node: str, life: str, seed: int) -> Directory:
        record = Record(node, f"{node}:1", "dataplane", "zone", life, 1)
        directory = Directory(record, ["n0:1", "n1:1", "n2:1"], random.Random(seed), self.now)
        directory.say(record)
        return directory

    def up(self) -> Iterable[Directory]:
        return [one for address, one in self.nodes.items() if address not in self._dead]

    def restart(self, node: str) -> None:
        self._dead.discard(f"{node}:1")
        self.nodes[f"{node}:1"] = self._directory(node, "next", 99)

    def kill(self, node: str) -> None:
        self._dead.add(f"{node}:1")

    def add(self, node: str) -> None:
        self.nodes[f"{node}:1"] = self._directory(node, "life", self._chance.getrandbits(32))

    def run(self, seconds: float, step: float = TICK_S) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += step
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for address, directory in list(self.nodes.items()):
                if address not in self._dead:
                    directory.tick(self.now)
                    self._flush(address)

    # --- the network ---

    def reaches(self, one: str, other: str) -> bool:
        return other in self.nodes and not (
            other in self._dead or one in self._dead or one in self.cut or other in self.cut
            or frozenset((one, other)) in self.cut_between or (one in self.sides) != (other in self.sides))

    def _later(self, seconds: float, work: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now + seconds, self._count, work))

    def _weigh(self, message: Message) -> None:
        self.messages_sent += 1
        self.bytes_sent += len(encode(Frame(1, False, message)))

    def _flush(self, address: str) -> None:
        directory = self.nodes[address]
        outbox, directory.outbox = directory.outbox, []
        for to, news in outbox:
            self._weigh(news)
            if self.reaches(address, to) and self._chance.random() > LOSS:
                self._later(WAY_S, lambda to=to, news=news: self._receive(to, news))  # type: ignore[misc]
        asks, directory.asks = directory.asks, []
        for to, ask in asks:
            self._weigh(ask)
            if self.reaches(address, to):
                self._later(WAY_S, lambda to=to, ask=ask: self._asked(address, to, ask))  # type: ignore[misc]
            else:
                self._later(self._patience(to), lambda to=to, ask=ask:  # type: ignore[misc]
                            self._unanswered(address, to, ask))

    def _patience(self, to: str) -> float:
        return WAY_S if to in self._dead or to not in self.nodes else SILENT_S + 0.1

    def _receive(self, to: str, news: Message) -> None:
        if to not in self._dead:
            self.nodes[to].receive(news, self.now)  # type: ignore[arg-type]
            self._flush(to)

    def _asked(self, asker: str, to: str, ask: Compare | Reach) -> None:
        if to in self._dead:
            self._unanswered(asker, to, ask)
            return
        if isinstance(ask, Reach):
            known = self.reaches(to, ask.address)
            self._later(WAY_S if known else self._patience(ask.address),
                        lambda: self._told(asker, to, ask, Reached(known)))
            return
        answer = self.nodes[to].compared(ask, self.now)
        self._flush(to)
        self._later(WAY_S, lambda: self._told(asker, to, ask, answer))

    def _told(self, asker: str, by: str, ask: Compare | Reach, answer: Message) -> None:
        self._weigh(answer)
        if asker in self._dead or not self.reaches(by, asker):
            self._unanswered(asker, by, ask)
            return
        directory = self.nodes[asker]
        if isinstance(ask, Reach):
            directory.reached(ask.address, answer.answers, self.now)  # type: ignore[union-attr]
        else:
            directory.answered(by, answer, self.now)  # type: ignore[arg-type]
        self._flush(asker)

    def _unanswered(self, asker: str, to: str, ask: Compare | Reach) -> None:
        if asker in self._dead:
            return
        directory = self.nodes[asker]
        if isinstance(ask, Reach):
            directory.reached(ask.address, None, self.now)
        else:
            directory.unreached(to, self.now)
        self._flush(asker)
