"""What happened at a stand-in server, request by request.

All times are seconds on the machine's monotonic clock, which processes of one machine share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any


class Fate(StrEnum):
    WAITING = "waiting"  # in the queue: no work was done
    RUNNING = "running"  # its effect has taken place
    RAN = "ran"  # and the server is done with it
    REPEAT = "repeat"  # a key that is remembered: answered without a second effect
    DROPPED = "dropped"  # ended before it ran


@dataclass(slots=True)
class Entry:
    request: str  # the id that the attempt carried
    key: str  # its idempotency key, or empty
    server: str
    cell: int
    first_byte_at: float
    came_at: float  # its last byte
    fate: Fate = Fate.WAITING
    ran_at: float | None = None  # when its effect took place: as early as can be, when work on it begins
    ended_at: float | None = None
    how: str = ""  # how it ended: answered 200, reset, given up ...

    @property
    def has_run(self) -> bool:
        """Whether it took effect, for all that anybody can know."""
        return self.ran_at is not None


@dataclass(slots=True)
class Ledger:
    entries: list[Entry] = field(default_factory=list)
    falls: list[tuple[str, float]] = field(default_factory=list)  # servers that were pushed over, and when

    def effects(self) -> dict[str, list[Entry]]:
        """By request id, the attempts that took effect."""
        found: dict[str, list[Entry]] = {}
        for entry in self.entries:
            if entry.has_run:
                found.setdefault(entry.request, []).append(entry)
        return found

    def of(self, server: str) -> list[Entry]:
        return [entry for entry in self.entries if entry.server == server]

    def dump(self) -> dict[str, Any]:
        return {"entries": [asdict(entry) for entry in self.entries], "falls": self.falls}

    @staticmethod
    def load(content: Iterable[dict[str, Any]]) -> Ledger:
        """Several dumps as one ledger."""
        ledger = Ledger()
        for part in content:
            ledger.entries += [Entry(**{**entry, "fate": Fate(entry["fate"])}) for entry in part["entries"]]
            ledger.falls += [(server, at) for server, at in part["falls"]]
        return ledger
