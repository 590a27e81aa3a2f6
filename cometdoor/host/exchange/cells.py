"""The types of the exchange's tables, and the cells that several of them share.

A conclusion is about the request: it ran, it did not and never will, or neither is proven. Only the second
lets a request be sent again that may not run twice.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar


class Conclusion(Enum):
    """What is known of the request once the event is over."""

    NOTHING = "nothing yet"  # it is still under way, or there is none
    RAN = "ran"
    NOT_RUN = "not run"  # and never will
    MAY_HAVE_RUN = "may have run"


class Connection(Enum):
    """What becomes of the connection."""

    IN_USE = "in use"  # this exchange, or one behind it, goes on
    KEPT = "kept"  # the next request may use it
    CLOSED = "closed"  # it carries nothing more


class Resend(Enum):
    """Which requests may be sent again."""

    NOT_YET = "not yet"
    ALL = "all"
    REPEATABLE = "repeatable ones"
    NONE = "none"


RESEND = {
    Conclusion.NOTHING: Resend.NOT_YET,
    Conclusion.RAN: Resend.NONE,
    Conclusion.NOT_RUN: Resend.ALL,
    Conclusion.MAY_HAVE_RUN: Resend.REPEATABLE,
}


@dataclass(frozen=True, slots=True)
class Cell:
    conclusion: Conclusion
    connection: Connection

    @property
    def resend(self) -> Resend:
        return RESEND[self.conclusion]


@dataclass(frozen=True, slots=True)
class Impossible:
    """The event can't meet the state."""

    why: str


State = TypeVar("State", bound=Enum)
Event = TypeVar("Event", bound=Enum)
Table = Mapping[tuple[State, Event], Cell | Impossible]

UNDER_WAY = Cell(Conclusion.NOTHING, Connection.IN_USE)
READY = Cell(Conclusion.NOTHING, Connection.KEPT)
OVER = Cell(Conclusion.NOTHING, Connection.CLOSED)
RAN = Cell(Conclusion.RAN, Connection.KEPT)
RAN_LAST = Cell(Conclusion.RAN, Connection.CLOSED)
NOT_RUN = Cell(Conclusion.NOT_RUN, Connection.KEPT)
NOT_RUN_LAST = Cell(Conclusion.NOT_RUN, Connection.CLOSED)
UNCLEAR = Cell(Conclusion.MAY_HAVE_RUN, Connection.CLOSED)
UNCLEAR_KEPT = Cell(Conclusion.MAY_HAVE_RUN, Connection.KEPT)
