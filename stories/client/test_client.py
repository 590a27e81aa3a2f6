"""The client library and its examples on a simulated mesh."""

import asyncio
import random

from ward import each, raises, test

from cometdoor.client import (
    BackendAgent,
    Client,
    ExecutionFailed,
    InvalidConfiguration,
    NoDefiniteResponse,
    NotExecuted,
    Operator,
    OutcomeUnknown,
    Rejected,
    RequestKind,
)
from cometdoor.client.retry_policy import AttemptResult, CallAttempts, ClientRetryBudget, ExecutionStatus
from examples import booking, change, graceful_shutdown
from simulation.mesh import SimulatedMesh, simulated_mesh
from standins.mesh_backend import CONTROL_PORT, HOST, OUTBOUND_PORT

EXECUTION_STATUSES = {
    200: ExecutionStatus.SUCCEEDED,
    204: ExecutionStatus.SUCCEEDED,
    400: ExecutionStatus.REJECTED,
    404: ExecutionStatus.REJECTED,
    408: ExecutionStatus.NOT_EXECUTED,
    409: ExecutionStatus.UNKNOWN,
    413: ExecutionStatus.REJECTED,
    421: ExecutionStatus.NOT_EXECUTED,
    429: ExecutionStatus.NOT_EXECUTED,
    500: ExecutionStatus.EXECUTED,
    502: ExecutionStatus.UNKNOWN,
    503: ExecutionStatus.NOT_EXECUTED,
    504: ExecutionStatus.UNKNOWN,
}


@test("each status tells what it guarantees, and an attempt of which nothing was sent was not executed")
def _() -> None:
    assert {
        status: AttemptResult(status).execution_status() for status in EXECUTION_STATUSES
    } == EXECUTION_STATUSES
    assert AttemptResult(None, sent=False).execution_status() is ExecutionStatus.NOT_EXECUTED
    assert AttemptResult(None, sent=True).execution_status() is ExecutionStatus.UNKNOWN


@test("only what may be retried is, within its deadline, its attempts and the budget")
def _(kind_value: str = each("repeatable", "keyed", "once"), status: int = each(502, 503, 500)) -> None:
    kind = RequestKind(kind_value)
    attempts = CallAttempts(kind, 10.0, 3, ClientRetryBudget(0.0, 1), random.Random(1))
    delay_s = attempts.next_retry_delay_s(AttemptResult(status, retry_after_s=2.0), 1.0)
    retried = {
        (RequestKind.IDEMPOTENT, 502),
        (RequestKind.IDEMPOTENT, 503),
        (RequestKind.IDEMPOTENT, 500),
        (RequestKind.KEYED, 502),
        (RequestKind.KEYED, 503),
        (RequestKind.NOT_IDEMPOTENT, 503),
    }
    assert delay_s == (2.0 if (kind, status) in retried else None)
    assert (
        delay_s is None or attempts.next_retry_delay_s(AttemptResult(503), 3.0) is None
    )  # the budget allowed one retry


@test("Retry-After is followed up to a third of the remaining time, and no attempt without time is made")
def _() -> None:
    attempts = CallAttempts(RequestKind.IDEMPOTENT, 3.0, 9, ClientRetryBudget(), random.Random(1))
    assert attempts.next_retry_delay_s(AttemptResult(503, retry_after_s=60.0), 0.0) == 1.0
    assert attempts.next_retry_delay_s(AttemptResult(503, retry_after_s=0.001), 2.985) is None


def client_of(mesh: SimulatedMesh, index: int = 0) -> Client:
    return Client(f"{mesh.planes[index]}:{OUTBOUND_PORT}", seed=1)


@test("a booking survives a change of leader, and is made once")
def _() -> None:
    with simulated_mesh(seed=31) as mesh:
        mesh.run(mesh.start_configured())
        mesh.kill(mesh.leader())
        outcome = mesh.run(booking.book_and_report(client_of(mesh), HOST, "/keyed/7", "order-1"))
        assert outcome.startswith("booked, seal "), outcome
        repeated_outcome = mesh.run(booking.book_and_report(client_of(mesh, 1), HOST, "/keyed/7", "order-1"))
        assert repeated_outcome == outcome and mesh.traffic_log.runs_by_key["order-1"] == 1


@test("a booking whose response is lost is not repeated, and the guest is told that it is not known")
def _() -> None:
    with simulated_mesh(seed=32) as mesh:
        mesh.run(mesh.start_configured())
        for backend in mesh.backends.values():
            backend.responses_to_drop = 1
        outcome = mesh.run(booking.book_and_report(client_of(mesh), HOST, "/keyed/7", "order-2"))
        assert (
            outcome == "not known yet; we look into order order-2"
            and mesh.traffic_log.runs_by_key["order-2"] == 1
        )


@test("errors say what is known: not executed, rejected, unknown, executed and failed")
def _() -> None:
    with simulated_mesh(seed=33, planes=2) as mesh:
        mesh.run(mesh.start_configured())
        client = client_of(mesh)
        with raises(Rejected):
            mesh.run(client.call("GET", HOST, "/nowhere/1", deadline_s=1.0))
        for backend in mesh.backends.values():
            backend.responses_to_drop = 99
        with raises(OutcomeUnknown) as unknown_outcome:
            mesh.run(client.call("GET", HOST, "/idempotent/1", deadline_s=1.0))
        assert unknown_outcome.raised.attempts == 1
        for backend in mesh.backends.values():
            backend.responses_to_drop, backend.calls = 0, ["/nowhere/1"]
        with raises(ExecutionFailed) as failed_execution:
            mesh.run(
                client.call("POST", HOST, "/keyed/1", deadline_s=1.0, kind=RequestKind.KEYED, key="k-failed")
            )
        assert failed_execution.raised.status == 500 and mesh.traffic_log.runs_by_key["k-failed"] == 1
        for address in mesh.planes:
            mesh.kill(address)
        with raises(NotExecuted):
            mesh.run(client.call("GET", HOST, "/idempotent/1", deadline_s=1.0))


@test("a call that could not be sent as one request is not sent at all")
def _(path: str = each("/a b", "no-slash", "/x\r\nHost: y")) -> None:
    with simulated_mesh(seed=34, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        with raises(ValueError):
            mesh.run(client_of(mesh).call("GET", HOST, path, deadline_s=1.0))
        assert not mesh.traffic_log.runs


@test("calls are served by another proxy where one is down")
def _() -> None:
    with simulated_mesh(seed=35, planes=3) as mesh:
        mesh.run(mesh.start_configured())
        mesh.kill(mesh.planes[0])
        client = Client(*(f"{address}:{OUTBOUND_PORT}" for address in mesh.planes), seed=2)
        response = mesh.run(
            client.call("GET", HOST, "/idempotent/1", deadline_s=2.0, kind=RequestKind.IDEMPOTENT)
        )
        assert (
            response.status == 200 and response.headers["cometdoor-response-seal"] in mesh.traffic_log.seals
        )


@test("simultaneous changes of two operators are both in force in the end")
def _(seed: int = each(36, 37)) -> None:
    with simulated_mesh(seed=seed) as mesh:
        mesh.run(mesh.start_configured())
        operators = [
            Operator([f"{address}:{CONTROL_PORT}" for address in mesh.core], random.Random(index))
            for index in range(2)
        ]

        async def change_concurrently() -> list[int]:
            return list(
                await asyncio.gather(
                    change.set_timeout(operators[0], "r-idempotent", 1.5),
                    change.set_timeout(operators[1], "r-keyed", 2.5),
                )
            )

        assert sorted(mesh.run(change_concurrently())) == [2, 3]
        configuration = mesh.run(operators[0].describe())
        assert [entry["timeout-s"] for entry in configuration["hosts"][0]["host-routes"]] == [1.5, 2.5]
        with raises(InvalidConfiguration):
            mesh.run(operators[0].replace({"revision": 9, "hosts": [{"hostname": ""}]}, 3))


@test("an operator gets no definite response without a leader")
def _() -> None:
    with simulated_mesh(seed=38) as mesh:
        mesh.run(mesh.start_configured())
        for address in mesh.core[:2]:
            mesh.kill(address)
        operator = Operator([f"{address}:{CONTROL_PORT}" for address in mesh.core], random.Random(1))
        with raises(NoDefiniteResponse):
            mesh.run(operator.describe(timeout_s=3.0))


@test("a backend that is stopped drains, deregisters and leaves the endpoint list")
def _() -> None:
    with simulated_mesh(seed=39, planes=2) as mesh:
        mesh.run(mesh.start_configured())
        address = mesh.planes[0]
        mesh.kill_backend(address)
        agent = BackendAgent(
            f"{address}:{CONTROL_PORT}",
            service="pitches",
            address=f"{address}:18145",
            zone="here",
            capacity=6,
            heartbeat_s=0.5,
            instance="i-example",
        )
        stopping = asyncio.Event()
        acknowledged: list[bool] = []

        async def serve_and_drain() -> None:
            acknowledged.append(await graceful_shutdown.serve_until(agent, stopping, drain_s=2.0))

        task = mesh.loop.create_task(serve_and_drain())
        mesh.wait(1.0)
        inbound_proxy = mesh.data_plane(address).inbound_proxy
        assert inbound_proxy.backend is not None and inbound_proxy.backend.instance == "i-example"
        stopping.set()
        mesh.wait(1.0)
        assert inbound_proxy.backend.state == "draining"
        mesh.wait(1.5)
        assert task.done() and acknowledged == [True] and inbound_proxy.backend is None
