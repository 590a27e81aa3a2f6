"""Heartbeat rounds, and what a majority's answers to them prove. No I/O.

A leader whose round was answered by a majority still led at some moment after the round began: no voter
that answered had voted in a later term yet, and every later leader needs the vote of one of them (Ongaro's
dissertation, 6.4). A round therefore proves leadership at its start on the leader's own steady clock, not
when the answers are read: a process that was paused may read answers that are as old as the pause.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

NEVER = -1e9  # a time before all others


@dataclass(frozen=True, slots=True)
class ReadRound:
    """A heartbeat round that no majority has answered yet."""

    number: int
    started_at: float  # seconds on the leader's steady clock


class ReadRounds:
    """Heartbeat rounds that one replica starts as a leader, and the newest one that a majority answered."""

    def __init__(self) -> None:
        self.last_number = 0  # number of the newest round; it increases across all terms of this incarnation
        self.confirmed_at = NEVER  # start of the newest confirmed round of this term
        self._unconfirmed: deque[ReadRound] = deque()  # rounds of this term, oldest first

    def copy(self) -> ReadRounds:
        """Return an independent copy."""
        other = ReadRounds()
        other.last_number, other.confirmed_at, other._unconfirmed = (
            self.last_number,
            self.confirmed_at,
            self._unconfirmed.copy(),
        )
        return other

    def start_term(self) -> None:
        """Forget the answers of an earlier term, which prove nothing in this one."""
        self.confirmed_at = NEVER
        self._unconfirmed.clear()

    def start(self, now: float) -> int:
        """Begin a round and return its number."""
        self.last_number += 1
        self._unconfirmed.append(ReadRound(self.last_number, now))
        return self.last_number

    def confirm(self, is_answered: Callable[[int], bool]) -> None:
        """Confirm all rounds, oldest first, that a majority has answered.

        Parameters
        ----------
        is_answered : Callable[[int], bool]
            Returns whether a majority has answered the round of that number or a later one.
        """
        while self._unconfirmed and is_answered(self._unconfirmed[0].number):
            self.confirmed_at = self._unconfirmed.popleft().started_at
