"""Rounds of heartbeats: which of them a majority has answered, and when those began. No I/O.

A leader whose round was answered by a majority still led at some moment after the round began: whoever
answered it had not voted in a later term yet, and every later leader needs the vote of one of them (Ongaro's
dissertation, 6.4). What a round proves therefore counts from when it began, on the leader's own steady clock,
and not from when its answers came in: a process that was frozen finds old answers waiting for it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

NEVER = -1e9


@dataclass(frozen=True, slots=True)
class Round:
    number: int
    began_at: float  # seconds on the leader's steady clock


class Rounds:
    def __init__(self) -> None:
        self.last = 0  # the number of the newest; it rises through all terms of this life
        self.confirmed_at = NEVER  # when the newest round of this term began that a majority has answered
        self._open: deque[Round] = deque()  # of this term, and not confirmed

    def copy(self) -> Rounds:
        other = Rounds()
        other.last, other.confirmed_at, other._open = self.last, self.confirmed_at, self._open.copy()
        return other

    def begin_term(self) -> None:
        """What was answered in an earlier term proves nothing."""
        self.confirmed_at = NEVER
        self._open.clear()

    def begin(self, now: float) -> int:
        self.last += 1
        self._open.append(Round(self.last, now))
        return self.last

    def confirm(self, is_answered: Callable[[int], bool]) -> None:
        """`is_answered`: whether a majority has answered that round or a later one."""
        while self._open and is_answered(self._open[0].number):
            self.confirmed_at = self._open.popleft().began_at
