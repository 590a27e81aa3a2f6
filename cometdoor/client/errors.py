"""What is known of a call that was not served."""

from __future__ import annotations


class CallError(Exception):
    """`status`: of the last answer, None where none came. `peer`: the proxy that was asked last. `tries`: how
    many were made."""

    def __init__(self, reason: str, *, peer: str, status: int | None = None, tries: int = 1) -> None:
        super().__init__(f"{reason} (by {peer}, status {status or 'none'}, {tries} tries)")
        self.reason, self.peer, self.status, self.tries = reason, peer, status, tries


class NotRun(CallError):
    """It has not run and never will. It may be asked again, as a new call."""


class Rejected(NotRun):
    """Nor would it the next time: no route, malformed, too large."""


class MayHaveRun(CallError):
    """Nobody can tell. A keyed call may be asked again under its key; another must be looked into."""


class HasRun(CallError):
    """The backend worked on it, and says that it failed."""
