"""One operation per key, with two proxies and an in-memory state machine of the control plane."""

from ward import test

from cometdoor.control.state_machine import StateMachine
from cometdoor.keys.actions import (
    Execute,
    QueryOwner,
    Reject,
    ReportInProgress,
    ReportUnknown,
    Respond,
    SubmitClaim,
)
from cometdoor.keys.operations import KeyedOperations
from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.keys import OperationReply
from cometdoor.wire.log_entries import Claim

RESPONSE = ForwardResponse(200, [(b"Cometdoor-Response-Seal", b"s1")], b"done")


class Fleet:
    """Several proxies and one state machine with their claims; an attempt is a string."""

    def __init__(self, *names: str) -> None:
        self.state = StateMachine(60.0)
        self.proxies = {name: KeyedOperations[str](name, 60.0) for name in names}
        self.executions: list[tuple[str, str]] = []  # proxy and attempt
        self.outcomes: dict[str, str] = {}
        self.lost_claim_replies = 0  # number of next replies of the control plane that are lost

    def on_attempt(self, proxy: str, attempt: str, key: str = "k") -> None:
        self.carry_out(proxy, self.proxies[proxy].on_attempt(key, attempt, 0.0))

    def on_response(self, proxy: str, key: str = "k") -> None:
        self.carry_out(proxy, self.proxies[proxy].on_response(key, RESPONSE))

    def on_not_executed(self, proxy: str, key: str = "k") -> None:
        self.carry_out(proxy, self.proxies[proxy].on_not_executed(key))

    def on_execution_failed(self, proxy: str, key: str = "k") -> None:
        self.carry_out(proxy, self.proxies[proxy].on_execution_failed(key))

    def restart(self, proxy: str, incarnation: str) -> None:
        self.proxies[proxy] = KeyedOperations[str](incarnation, 60.0)

    def carry_out(self, proxy: str, actions: list) -> None:  # type: ignore[type-arg]
        for action in actions:
            match action:
                case SubmitClaim():
                    result = self.state.apply(Claim(action.key, action.claim_id, proxy, action.supersedes))
                    if self.lost_claim_replies:
                        self.lost_claim_replies -= 1
                        self.carry_out(proxy, self.proxies[proxy].on_claimed(action.key, "", ""))
                    else:
                        self.carry_out(
                            proxy, self.proxies[proxy].on_claimed(action.key, result.owner, result.claim)
                        )
                case Execute():
                    self.executions.append((proxy, action.waiter))
                case QueryOwner():

                    def on_reply(reply: OperationReply | None, action: QueryOwner = action) -> None:
                        self.carry_out(
                            proxy, self.proxies[proxy].on_owner_reply(action.key, action.claim_id, reply)
                        )

                    if action.owner in self.proxies:
                        self.proxies[action.owner].on_outcome_query(action.key, action.claim_id, on_reply)
                    else:
                        on_reply(None)
                case Respond():
                    self.outcomes[action.waiter] = f"answer {action.response.body.decode()}"
                case Reject():
                    self.outcomes[action.waiter] = "rejected"
                case ReportUnknown():
                    self.outcomes[action.waiter] = "unknown"
                case ReportInProgress():
                    self.outcomes[action.waiter] = "in progress"


@test("a repeated attempt at another proxy gets the response of the first execution, once there is one")
def _() -> None:
    fleet = Fleet("a", "b")
    fleet.on_attempt("a", "first")
    fleet.on_attempt("b", "repeat")
    assert fleet.executions == [("a", "first")] and not fleet.outcomes
    fleet.on_response("a")
    fleet.on_attempt("b", "later")
    assert fleet.executions == [("a", "first")]
    assert fleet.outcomes == dict.fromkeys(["first", "repeat", "later"], "answer done")


@test("an operation whose outcome is unknown is not executed again, and every repeated attempt is told so")
def _() -> None:
    fleet = Fleet("a", "b")
    fleet.on_attempt("a", "first")
    fleet.on_execution_failed("a")
    fleet.on_attempt("a", "here")
    fleet.on_attempt("b", "there")
    assert fleet.executions == [("a", "first")]
    assert fleet.outcomes == dict.fromkeys(["first", "here", "there"], "unknown")


@test("what was not executed is executed for the next attempt, here or at another proxy")
def _() -> None:
    fleet = Fleet("a", "b")
    fleet.on_attempt("a", "first")
    fleet.on_not_executed("a")
    assert fleet.outcomes == {"first": "rejected"}
    fleet.on_attempt("a", "second")
    fleet.on_not_executed("a")
    fleet.on_attempt("b", "third")
    fleet.on_response("b")
    fleet.on_attempt("a", "fourth")
    assert fleet.executions == [("a", "first"), ("a", "second"), ("b", "third")]
    assert fleet.outcomes["third"] == fleet.outcomes["fourth"] == "answer done"


@test("a claim whose owner restarted or died is not executed by another proxy")
def _() -> None:
    fleet = Fleet("a", "b")
    fleet.on_attempt("a", "first")
    fleet.restart("a", "a2")
    fleet.on_attempt("b", "repeat")
    fleet.on_attempt("a", "again")
    assert fleet.executions == [("a", "first")]
    assert fleet.outcomes == {"repeat": "unknown", "again": "unknown"}
    del fleet.proxies["a"]
    fleet.restart("b", "b2")
    fleet.on_attempt("b", "last")
    assert fleet.executions == [("a", "first")] and fleet.outcomes["last"] == "unknown"


@test("an attempt whose claim's reply was lost is rejected, and the next one executes under that claim")
def _() -> None:
    fleet = Fleet("a", "b")
    fleet.lost_claim_replies = 1
    fleet.on_attempt("a", "first")
    assert fleet.outcomes == {"first": "rejected"} and not fleet.executions
    fleet.on_attempt("b", "second")  # a released it without executing, so b may claim it
    fleet.on_attempt("a", "third")
    fleet.on_response("b")
    assert fleet.executions == [("b", "second")]
    assert fleet.outcomes["second"] == fleet.outcomes["third"] == "answer done"


@test("an attempt that times out while claiming is rejected, and one behind an execution is told of that")
def _() -> None:
    operations = KeyedOperations[str]("a", 60.0)
    assert operations.on_attempt("k", "first", 0.0) == [SubmitClaim("k", "a.1")]
    assert operations.abandon("k", "first", is_timed_out=True) == [Reject("first")]
    assert operations.on_claimed("k", "a", "a.1") == []
    assert operations.on_attempt("k", "second", 0.0) == [Execute("k", "second")]
    assert operations.on_attempt("k", "third", 0.0) == []
    assert operations.abandon("k", "third", is_timed_out=True) == [ReportInProgress("third")]


@test("an operation is remembered for the window and then forgotten")
def _() -> None:
    operations = KeyedOperations[str]("a", 60.0)
    operations.on_attempt("k", "first", 0.0)
    operations.on_claimed("k", "a", "a.1")
    operations.on_response("k", RESPONSE)
    operations.expire(64.0)
    assert operations.on_attempt("k", "repeat", 64.0) == [Respond("repeat", RESPONSE)]
    operations.expire(66.0)
    assert len(operations) == 0
