"""Conditions that must hold at all times in a running process: checked where they could break, and counted.

A violation is logged, with the number so far, and the process goes on. Tests assert that none was counted.
"""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

_invariants: list[Invariant] = []


class Invariant:
    """A condition by its text, and how often it was violated in this process."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.violations = 0
        _invariants.append(self)

    def check(self, holds: bool) -> None:
        """Count and log a violation unless the condition holds."""
        if not holds:
            self.violations += 1
            log.error("invariant violated (%d times): %s", self.violations, self.text)


def violations() -> dict[str, int]:
    """Return the violated invariants of this process, and how often each was violated."""
    return {invariant.text: invariant.violations for invariant in _invariants if invariant.violations}


def reset() -> None:
    """Forget all violations, for tests."""
    for invariant in _invariants:
        invariant.violations = 0
