"""What the end of an attempt tells: of the call, of its server, of its connection and of the way there.

No I/O. A carrier says how far an exchange had come and how it ended; the table below says what follows.
That a call never ran is certain or not said: a byte that was not written was not read by anyone (RFC 9112,
9.3.1, and RFC 9110, 9.2.2). How much an end speaks against the server is a weight for jasperhall's
detector, between -1 (an answer as it should be) and 1 (as a sick server ends all it gets); what the way or
an idle connection may have done is nobody's fault.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from jasperhall.api import NEVER_RAN, Outcome


class Stage(Enum):
    """How far an exchange had come, as its own end saw it."""

    CONNECTING = "connecting"
    OPEN = "open"  # connected; no byte of the request was written
    HALF = "half written"  # some bytes were, not the last
    WRITTEN = "written"  # all were; nothing of an answer is in
    ANSWERING = "answering"  # some of the answer is in


class End(Enum):
    REFUSED = "refused"  # nobody listens there
    BROKEN = "broken"  # reset, or no way there
    CLOSED = "closed"  # in order, by the other side
    SILENT = "silent"  # the time was up
    SPOILT = "spoilt"  # what came is no answer
    TOO_LONG = "too long"  # it is one, larger than is carried, or than there is room for


@dataclass(frozen=True, slots=True)
class Reading:
    outcome: Outcome
    blame: float | None = None  # -1 to 1, against the server; None: as the outcome is on the mean
    doubtful: bool = False  # other kept connections to that server may have ended likewise
    way: bool = False  # the way there may be at fault as well

    @property
    def never_ran(self) -> bool:
        return self.outcome in NEVER_RAN


# A fresh connection. An end that is missing here can't be: what is not connected can't be closed, and nothing
# is spoilt or silent before a byte was awaited.
FRESH = {
    (Stage.CONNECTING, End.REFUSED): Reading(Outcome.CONNECT_FAILED, 1.0),
    (Stage.CONNECTING, End.BROKEN): Reading(Outcome.CONNECT_FAILED, 0.5, way=True),
    (Stage.CONNECTING, End.SILENT): Reading(Outcome.CONNECT_FAILED, 0.5, way=True),
    # Something took the connection and ended it before it knew what for: a listener without a process behind
    # it, a full table, a box between.
    (Stage.OPEN, End.BROKEN): Reading(Outcome.CUT, 0.5, way=True),
    (Stage.OPEN, End.CLOSED): Reading(Outcome.CUT, 0.5, way=True),
    (Stage.OPEN, End.SILENT): Reading(Outcome.CUT, 0.0),  # the time was up as it opened
    (Stage.OPEN, End.SPOILT): Reading(Outcome.CUT, 0.5),  # it speaks before it is asked
    (Stage.HALF, End.BROKEN): Reading(Outcome.CUT, 0.7, way=True),
    (Stage.HALF, End.CLOSED): Reading(Outcome.CUT, 0.7),
    (Stage.HALF, End.SILENT): Reading(Outcome.CUT, 1.0),  # it does not read
    (Stage.HALF, End.SPOILT): Reading(Outcome.ERROR, 0.7),  # an answer to half a question
    (Stage.HALF, End.TOO_LONG): Reading(Outcome.ERROR, 0.0),
    (Stage.WRITTEN, End.BROKEN): Reading(Outcome.RESET, 1.0, way=True),
    (Stage.WRITTEN, End.CLOSED): Reading(Outcome.RESET, 1.0),
    (Stage.WRITTEN, End.SILENT): Reading(Outcome.TIMEOUT, 1.0),
    (Stage.WRITTEN, End.SPOILT): Reading(Outcome.ERROR, 0.7),
    (Stage.ANSWERING, End.BROKEN): Reading(Outcome.RESET, 1.0, way=True),
    (Stage.ANSWERING, End.CLOSED): Reading(Outcome.RESET, 1.0),
    (Stage.ANSWERING, End.SILENT): Reading(Outcome.TIMEOUT, 1.0),
    (Stage.ANSWERING, End.SPOILT): Reading(Outcome.ERROR, 0.7),
    (Stage.ANSWERING, End.TOO_LONG): Reading(Outcome.ERROR, 0.0),
}
# A kept one that ends at its next use, before anything is answered, was ended while it was idle, most likely:
# by the server in its own good time, or by a box between that forgot it. The others like it are doubtful.
KEPT = FRESH | {
    (stage, end): Reading(FRESH[stage, end].outcome, 0.0, doubtful=True, way=True)
    for stage in (Stage.OPEN, Stage.HALF, Stage.WRITTEN)
    for end in (End.BROKEN, End.CLOSED)
}


# Where a server may begin on part of a request: all ends of a half-written one count as of a written one.
MAY_RUN_HALF = {
    (Stage.HALF, End.BROKEN): Outcome.RESET,
    (Stage.HALF, End.CLOSED): Outcome.RESET,
    (Stage.HALF, End.SILENT): Outcome.TIMEOUT,
}


def read(stage: Stage, end: End, kept: bool = False, half_may_run: bool = False) -> Reading:
    """KeyError: there is no such end at that stage. `half_may_run`: part of a request may have run."""
    reading = (KEPT if kept else FRESH)[stage, end]
    if half_may_run and (outcome := MAY_RUN_HALF.get((stage, end))) is not None:
        return replace(reading, outcome=outcome)
    return reading


def answered(outcome: Outcome) -> Reading:
    """A whole answer, or none that a carrier knows more of than its outcome. Load that is turned away
    unseen tells of load."""
    return Reading(outcome, {Outcome.OK: -1.0, Outcome.FULL: 0.0, Outcome.ERROR: 0.5}.get(outcome))
