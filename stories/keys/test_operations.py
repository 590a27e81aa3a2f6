"""One operation per key, with two proxies and an in-memory state machine of the control plane."""

from collections.abc import Callable

from ward import each, test

from cometdoor.control.leader_duties import CLOCK_ADVANCE_INTERVAL_S
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
from cometdoor.keys.stored_responses import RECORD_BYTES
from cometdoor.wire.forwarding import ForwardResponse
from cometdoor.wire.keys import OperationReply
from cometdoor.wire.log_entries import Claim, ClockAdvance
from simulation.keyed_operations import OVERLOADED_EXECUTION_ENDS, run_keyed_schedule

RESPONSE = ForwardResponse(200, [(b"Cometdoor-Response-Seal", b"s1")], b"done")


class Fleet:
    """Several proxies and one state machine with their claims; an attempt is a string."""

    def __init__(self, *names: str) -> None:
        self.state = StateMachine(60.0)
        self.proxies = {name: KeyedOperations[str](name, 60.0) for name in names}
        self.executions: list[tuple[str, str]] = []  # proxy and attempt
        self.outcomes: dict[str, str] = {}
        self.now = 0.0  # seconds
        self.lost_claim_replies = 0  # number of next replies of the control plane that are lost

    def on_attempt(self, proxy: str, attempt: str, key: str = "k") -> None:
        self.carry_out(proxy, self.proxies[proxy].on_attempt(key, attempt, self.now))

    def on_response(self, proxy: str, key: str = "k") -> None:
        self.carry_out(proxy, self.proxies[proxy].on_response(key, RESPONSE))

    def on_not_executed(self, proxy: str, key: str = "k") -> None:
        self.carry_out(proxy, self.proxies[proxy].on_not_executed(key, self.now))

    def on_execution_failed(self, proxy: str, key: str = "k") -> None:
        self.carry_out(proxy, self.proxies[proxy].on_execution_failed(key))

    def wait(self, seconds: float) -> None:
        """Let time pass: the leader advances the state machine's clock, and records expire."""
        until = self.now + seconds
        while self.now < until:
            step_s = min(CLOCK_ADVANCE_INTERVAL_S, until - self.now)
            self.now += step_s
            self.state.apply(ClockAdvance(int(step_s * 1000)))
            for operations in self.proxies.values():
                operations.expire(self.now)

    def restart(self, proxy: str, incarnation: str) -> None:
        self.proxies[proxy] = KeyedOperations[str](incarnation, 60.0)

    def carry_out(self, proxy: str, actions: list) -> None:  # type: ignore[type-arg]
        for action in actions:
            match action:
                case SubmitClaim():
                    result = self.state.apply(Claim(action.key, action.claim_id, proxy, action.supersedes))
                    if self.lost_claim_replies:
                        self.lost_claim_replies -= 1
                        self.carry_out(proxy, self.proxies[proxy].on_claimed(action.key, "", "", self.now))
                    else:
                        self.carry_out(
                            proxy,
                            self.proxies[proxy].on_claimed(action.key, result.owner, result.claim, self.now),
                        )
                case Execute():
                    self.executions.append((proxy, action.waiter))
                case QueryOwner():

                    def on_reply(reply: OperationReply | None, action: QueryOwner = action) -> None:
                        self.carry_out(
                            proxy,
                            self.proxies[proxy].on_owner_reply(action.key, action.claim_id, reply, self.now),
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
    assert operations.on_claimed("k", "a", "a.1", 0.0) == []
    assert operations.on_attempt("k", "second", 0.0) == [SubmitClaim("k", "a.1", supersedes="a.1")]
    assert operations.on_claimed("k", "a", "a.1", 0.0) == [Execute("k", "second")]
    assert operations.on_attempt("k", "third", 0.0) == []
    assert operations.abandon("k", "third", is_timed_out=True) == [ReportInProgress("third")]


@test("an operation is remembered for the window and then forgotten")
def _() -> None:
    operations = KeyedOperations[str]("a", 60.0)
    operations.on_attempt("k", "first", 0.0)
    operations.on_claimed("k", "a", "a.1", 0.0)
    operations.on_response("k", RESPONSE)
    operations.expire(64.0)
    assert operations.on_attempt("k", "repeat", 64.0) == [Respond("repeat", RESPONSE)]
    operations.expire(66.0)
    assert len(operations) == 0


# --- the window counts from the execution (docs/incidents/keys-executed-twice.md) ---


def reject_by_backend(fleet: Fleet) -> None:
    fleet.on_attempt("a", "early")
    fleet.on_not_executed("a")


def lose_claim_reply(fleet: Fleet) -> None:
    fleet.lost_claim_replies = 1
    fleet.on_attempt("a", "early")


def disconnect_while_claiming(fleet: Fleet) -> None:
    operations = fleet.proxies["a"]
    (claim,) = operations.on_attempt("k", "early", fleet.now)
    operations.abandon("k", "early")
    fleet.carry_out("a", [claim])


def release_to_another_proxy(fleet: Fleet) -> None:
    reject_by_backend(fleet)
    fleet.on_attempt("b", "also early")
    fleet.on_not_executed("b")


UNEXECUTED_ATTEMPTS: dict[str, Callable[[Fleet], None]] = {
    "rejected": reject_by_backend,
    "claim reply lost": lose_claim_reply,
    "disconnected": disconnect_while_claiming,
    "released": release_to_another_proxy,
}


# Guards against TWICE: an attempt that ran long after its key was claimed was forgotten with the claim.
@test("a key that runs late in the window of its first attempt runs once in the window of the executed one")
def _(
    leave_unexecuted: str = each("rejected", "claim reply lost", "disconnected", "released"),
    executing: str = each("a", "a", "a", "b"),
    repeats: str = each("b", "b", "b", "a"),
) -> None:
    fleet = Fleet("a", "b")
    UNEXECUTED_ATTEMPTS[leave_unexecuted](fleet)
    fleet.executions.clear()  # the backend rejected them
    fleet.wait(35.0)
    fleet.on_attempt(executing, "executed")
    fleet.on_response(executing)
    for elapsed_s in (37.0, 20.0, 2.9):  # in all 59.9 s
        fleet.wait(elapsed_s)
        fleet.on_attempt(repeats, f"repeat at {fleet.now}")
        fleet.on_attempt(executing, f"repeat there at {fleet.now}")
    assert fleet.executions == [(executing, "executed")]
    assert {outcome for name, outcome in fleet.outcomes.items() if "repeat" in name} == {"answer done"}


# Guards against TWICE: attempts that waited behind rejected ones ran under the claim of the first of them.
@test("an attempt that waited behind a rejected one runs under a claim that is renewed for it")
def _() -> None:
    operations = KeyedOperations[str]("a", 60.0)
    operations.on_attempt("k", "first", 0.0)
    operations.on_claimed("k", "a", "a.1", 0.1)
    operations.on_attempt("k", "second", 20.0)
    assert operations.on_not_executed("k", 40.0) == [
        Reject("first"),
        SubmitClaim("k", "a.1", supersedes="a.1"),
    ]
    assert operations.on_claimed("k", "a", "a.1", 40.1) == [Execute("k", "second")]


# Guards against TWICE: at the end of the window the owner ran a key that another proxy had claimed anew.
@test("the owner of an expired claim does not execute a key that another proxy has claimed since")
def _() -> None:
    fleet = Fleet("a", "b")
    reject_by_backend(fleet)
    fleet.executions.clear()
    fleet.wait(64.0)
    fleet.state.apply(ClockAdvance(2000))  # the claim has expired, the owner's record has not yet
    fleet.proxies["b"].on_attempt("k", "at b", fleet.now)
    fleet.carry_out("b", [SubmitClaim("k", "b.1")])
    fleet.on_attempt("a", "at a")
    fleet.on_response("b")
    assert fleet.executions == [("b", "at b")]
    assert fleet.outcomes["at a"] == fleet.outcomes["at b"] == "answer done"


# Guards against TWICE on random schedules, with a window short enough that its end is met.
@test("keys repeated until after their window run once in it, while replicas and proxies fail")
def _(seed: int = each(1, 29)) -> None:
    counts = run_keyed_schedule(
        seed, 30.0, window_s=6.0, late_repeat_s=16.0, execution_ends=OVERLOADED_EXECUTION_ENDS
    )
    assert counts.executions > counts.keys / 2


# --- released claims, and attempts that nobody ends ---


# Guards against 502 for a key that was executed: the former owner had forgotten that it released the key.
@test("a proxy that was sent to a former owner gets the response from the proxy that has the key now")
def _() -> None:
    fleet = Fleet("a", "b", "c")
    reject_by_backend(fleet)
    (claim,) = fleet.proxies["c"].on_attempt("k", "at c", fleet.now)
    assert isinstance(claim, SubmitClaim)
    # The claim of c names a as the owner; before c asks it, a releases the key to b, which executes it.
    owner = fleet.state.apply(Claim("k", claim.claim_id, "c"))
    queries = fleet.proxies["c"].on_claimed("k", owner.owner, owner.claim, fleet.now)
    fleet.on_attempt("b", "at b")
    fleet.on_response("b")
    fleet.carry_out("c", queries)
    assert fleet.outcomes["at c"] == fleet.outcomes["at b"] == "answer done"


# Guards against 502 for a key that nobody executes: the proxy to which it was released ended.
@test("a key whose new owner ended before claiming it is executed by the one that released it, or another")
def _(proxy: str = each("a", "c")) -> None:
    fleet = Fleet("a", "b", "c")
    reject_by_backend(fleet)
    fleet.executions.clear()
    fleet.proxies["a"].on_outcome_query("k", "a.1", lambda reply: None)  # the reply reached nobody
    fleet.on_attempt(proxy, "later")
    fleet.on_response(proxy)
    assert fleet.executions == [(proxy, "later")] and fleet.outcomes["later"] == "answer done"


# Guards against attempts that are never answered: their record expired while they waited.
@test("an operation with a waiting attempt does not expire")
def _() -> None:
    operations = KeyedOperations[str]("a", 60.0)
    operations.on_attempt("k", "first", 0.0)
    operations.on_claimed("k", "b", "b.1", 0.0)
    operations.on_attempt("k", "second", 64.0)
    operations.expire(66.0)
    response = OperationReply("done", RESPONSE)
    assert operations.on_owner_reply("k", "b.1", response, 66.5) == [
        Respond("first", RESPONSE),
        Respond("second", RESPONSE),
    ]


# Guards against 502 for an order that nobody executed: its record had expired, and its claim had not.
@test("a rejected key that comes again after its window is executed, though its claim still stands")
def _() -> None:
    fleet = Fleet("a")
    reject_by_backend(fleet)
    fleet.executions.clear()
    fleet.now += 70.0  # without a leader, so that the clock of the state machine stands
    fleet.proxies["a"].expire(fleet.now)
    fleet.on_attempt("a", "later")
    fleet.on_response("a")
    assert fleet.executions == [("a", "later")] and fleet.outcomes["later"] == "answer done"
    fleet.proxies["a"].expire(fleet.now + 131.0)
    assert len(fleet.proxies["a"]) == 0


# 62, part 1: the responses of keyed requests were kept for their window without a limit of their bytes.
@test("responses beyond their memory are dropped, the oldest first, and their keys are not executed again")
def _() -> None:
    fleet = Fleet("a", "b")
    fleet.proxies["a"] = KeyedOperations[str](
        "a", 60.0, max_stored_bytes=2 * (len(RESPONSE.body) + RECORD_BYTES)
    )
    for key in ("k1", "k2", "k3"):
        fleet.on_attempt("a", f"{key}, first", key)
        fleet.on_response("a", key)
        assert fleet.outcomes[f"{key}, first"] == "answer done"
    for key, outcome in (("k1", "unknown"), ("k2", "answer done"), ("k3", "answer done")):
        for proxy in ("a", "b"):
            fleet.on_attempt(proxy, f"{key} at {proxy}", key)
            assert fleet.outcomes[f"{key} at {proxy}"] == outcome, (key, proxy, fleet.outcomes)
    assert len(fleet.executions) == 3
    fleet.wait(70.0)
    assert fleet.proxies["a"].stored_bytes() == 0
