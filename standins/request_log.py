"""Log of what happened at stand-in servers, request by request.

All times are seconds on the machine's monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any


class ExecutionState(StrEnum):
    """How far the execution of a request got at a server."""

    QUEUED = "waiting"  # in the queue, not executed
    RUNNING = "running"  # its effect has taken place
    EXECUTED = "ran"  # its effect has taken place, and it has finished
    DEDUPLICATED = "repeat"  # its key had been executed already: answered without a second effect
    DROPPED = "dropped"  # ended before its execution


@dataclass(slots=True)
class RequestLogEntry:
    """One request at a server. Times are in seconds."""

    request: str  # id of the attempt
    key: str  # its idempotency key, or empty
    server: str
    cell: int
    first_byte_at: float
    received_at: float  # when its last byte arrived
    execution_state: ExecutionState = ExecutionState.QUEUED
    executed_at: float | None = None  # when its effect took place: at the start of its execution
    ended_at: float | None = None
    end_reason: str = ""  # why it ended, as text

    @property
    def has_executed(self) -> bool:
        """True if the request took effect, as far as the server's log shows."""
        return self.executed_at is not None


@dataclass(slots=True)
class RequestLog:
    """All requests at the stand-in servers, for the check of the rules."""

    entries: list[RequestLogEntry] = field(default_factory=list)
    overload_crashes: list[tuple[str, float]] = field(
        default_factory=list
    )  # (server, time): servers that crashed from overload

    def effects(self) -> dict[str, list[RequestLogEntry]]:
        """Return the attempts that took effect, by request id."""
        entries_by_request: dict[str, list[RequestLogEntry]] = {}
        for entry in self.entries:
            if entry.has_executed:
                entries_by_request.setdefault(entry.request, []).append(entry)
        return entries_by_request

    def entries_of(self, server: str) -> list[RequestLogEntry]:
        return [entry for entry in self.entries if entry.server == server]

    def dump(self) -> dict[str, Any]:
        return {"entries": [asdict(entry) for entry in self.entries], "falls": self.overload_crashes}

    @staticmethod
    def load(content: Iterable[dict[str, Any]]) -> RequestLog:
        """Merge several dumps into one log."""
        request_log = RequestLog()
        for dumped in content:
            request_log.entries += [
                RequestLogEntry(**{**entry, "execution_state": ExecutionState(entry["execution_state"])})
                for entry in dumped["entries"]
            ]
            request_log.overload_crashes += [(server, at) for server, at in dumped["falls"]]
        return request_log
