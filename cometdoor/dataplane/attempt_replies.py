"""Classification of replies to forwarded attempts, and of lost peer connections, as attempt results."""

from __future__ import annotations

from typing import NamedTuple

from cometdoor.balancing.api import NOT_EXECUTED, Outcome
from cometdoor.host.attempt_outcome import AttemptResult, result_of_response
from cometdoor.wire.forwarding import AttemptFailed, ForwardResponse, NotExecuted
from cometdoor.wire.frames import Message
from cometdoor.wire.peer_connection import PeerError

# Valid outcomes in AttemptFailed, all of which mean that the request may have reached its backend. Any other
# text counts as ERROR, so that a contradictory reply is not taken for "not executed".
POSSIBLY_EXECUTED_OUTCOMES = {
    outcome.value: outcome for outcome in Outcome if outcome is not Outcome.OK and outcome not in NOT_EXECUTED
}


class AttemptReply(NamedTuple):
    """The result of an attempt, and the backend's response if there is one."""

    result: AttemptResult
    response: ForwardResponse | None


def classify_reply(reply: Message | PeerError) -> AttemptReply:
    """Classify the reply to a forwarded attempt; a message of another type counts as a failure."""
    match reply:
        case ForwardResponse():
            outcome = Outcome.OK if reply.status < 500 else Outcome.ERROR
            return AttemptReply(result_of_response(outcome), reply)
        case NotExecuted():
            return AttemptReply(result_of_response(Outcome.REJECTED), None)
        case AttemptFailed():
            outcome = POSSIBLY_EXECUTED_OUTCOMES.get(reply.outcome, Outcome.ERROR)
            return AttemptReply(AttemptResult(outcome, reply.blame), None)
        case PeerError():
            outcome = Outcome.RESET if reply.may_have_arrived else Outcome.CONNECT_FAILED
            return AttemptReply(AttemptResult(outcome, 1.0, may_be_network_fault=True), None)
        case _:
            return AttemptReply(AttemptResult(Outcome.ERROR, 0.5), None)
