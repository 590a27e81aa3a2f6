"""The error by which a simulation reports that an invariant does not hold."""

from __future__ import annotations


class InvariantError(AssertionError):
    """An invariant does not hold; the text names the seed or the steps that led there."""
