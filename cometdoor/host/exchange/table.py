"""Types of the exchange tables, and cells that several tables use.

The conclusion of a cell concerns the request: it was executed, it was not executed and never will be, or
neither is proven. A request that is not idempotent may be retried only if it was not executed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar


class Conclusion(Enum):
    """What is known about the request after the event."""

    PENDING = "pending"  # the request is still in flight, or there is no request
    EXECUTED = "executed"
    NOT_EXECUTED = "not executed"  # it was not executed, and never will be
    MAY_HAVE_EXECUTED = "may have been executed"


class ConnectionState(Enum):
    """State of the connection after the event."""

    IN_USE = "in use"  # this exchange, or the next one, continues on it
    REUSABLE = "reusable"  # the next request may use it
    CLOSED = "closed"  # no further request uses it


class RetryPermission(Enum):
    """Which requests may be retried."""

    NOT_YET = "not yet"
    ALL = "all"
    IDEMPOTENT = "idempotent"
    NONE = "none"


RETRY_PERMISSIONS = {
    Conclusion.PENDING: RetryPermission.NOT_YET,
    Conclusion.EXECUTED: RetryPermission.NONE,
    Conclusion.NOT_EXECUTED: RetryPermission.ALL,
    Conclusion.MAY_HAVE_EXECUTED: RetryPermission.IDEMPOTENT,
}


@dataclass(frozen=True, slots=True)
class TableCell:
    """The result of an event for the request and for its connection."""

    conclusion: Conclusion
    connection: ConnectionState

    @property
    def retry_permission(self) -> RetryPermission:
        """Which requests may be retried after the event."""
        return RETRY_PERMISSIONS[self.conclusion]


@dataclass(frozen=True, slots=True)
class Impossible:
    """A cell for an event that can't happen in the state."""

    reason: str


State = TypeVar("State", bound=Enum)
Event = TypeVar("Event", bound=Enum)
Table = Mapping[tuple[State, Event], TableCell | Impossible]

IN_PROGRESS = TableCell(Conclusion.PENDING, ConnectionState.IN_USE)
REUSABLE = TableCell(Conclusion.PENDING, ConnectionState.REUSABLE)
FINISHED = TableCell(Conclusion.PENDING, ConnectionState.CLOSED)
EXECUTED = TableCell(Conclusion.EXECUTED, ConnectionState.REUSABLE)
EXECUTED_CLOSED = TableCell(Conclusion.EXECUTED, ConnectionState.CLOSED)
NOT_EXECUTED = TableCell(Conclusion.NOT_EXECUTED, ConnectionState.REUSABLE)
NOT_EXECUTED_CLOSED = TableCell(Conclusion.NOT_EXECUTED, ConnectionState.CLOSED)
UNKNOWN_CLOSED = TableCell(Conclusion.MAY_HAVE_EXECUTED, ConnectionState.CLOSED)
UNKNOWN_REUSABLE = TableCell(Conclusion.MAY_HAVE_EXECUTED, ConnectionState.REUSABLE)
