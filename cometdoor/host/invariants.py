"""Invariants of a running process, checked where they could be violated; violations are counted.

A violation is logged with the count so far, and the process continues. Tests assert that there were none.
"""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

_invariants: list[Invariant] = []


class Invariant:
    """A condition, described by its text, and the number of its violations in this process."""

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
    """Return the texts of this process's violated invariants, with the number of violations of each."""
    return {invariant.text: invariant.violations for invariant in _invariants if invariant.violations}


def reset() -> None:
    """Set the counts of all violations to 0, for tests."""
    for invariant in _invariants:
        invariant.violations = 0
