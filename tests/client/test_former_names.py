"""Programs written for the client library before December 2026 run unchanged, with deprecation warnings.

`fixtures` has the three examples as they were then, byte for byte.
"""

import asyncio
import importlib
import random
import subprocess
import sys
import warnings
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

import cometdoor.client
from cometdoor.client import (
    connection,
    deprecated_names,
)
from cometdoor.errors import CometdoorError
from simulation.mesh import SimulatedMesh, simulated_mesh
from standins.mesh_backend import CONTROL_PORT, HOST, OUTBOUND_PORT

CLIENT = Path(cometdoor.client.__file__).parent
# What the package exported, and what users imported from its modules, at that time.
FORMER_EXPORTS = (
    *("Answer", "BackendSide", "CallError", "Client", "Conflict", "HasRun", "Invalid", "Kind", "MayHaveRun"),
    *("NotRun", "Operator", "Rejected", "Unanswered"),
)
FORMER_MODULES = {
    "backend": "ACKNOWLEDGED_WITHIN_S AGAIN_S BackendSide",
    "blocking": "Client",
    "calls": "Client ERRORS KEPT",
    "errors": "CallError HasRun MayHaveRun NotRun Rejected",
    "operator": "Conflict FIRST_PAUSE_S Invalid MOST_PAUSE_S Operator PATIENCE_S REDIRECTS Unanswered",
    "tries": (
        "AT_WORK Budget Ending FIRST_PAUSE_S HEEDED_SHARE Kind Known LEAST_TRY_S MOST_PAUSE_S PROMISES "
        "REJECTIONS Tries"
    ),
    "wire": "Answer Broken CONNECT_S Connection MAX_ANSWER ask_once ending_of request_bytes",
}


def module(name: str) -> Any:
    """Import a module by name: type checkers do not see former names."""
    return importlib.import_module(f"cometdoor.client.{name}")


def former_program(name: str) -> ModuleType:
    fixture = importlib.import_module(f"tests.client.fixtures.{name}")
    with pytest.warns(DeprecationWarning) if name != "change" else warnings.catch_warnings():
        return importlib.reload(fixture)


def former_client(mesh: SimulatedMesh, index: int = 0) -> Any:
    return cometdoor.client.Client(f"{mesh.planes[index]}:{OUTBOUND_PORT}", seed=1)


def test_the_former_booking_program_books_once_and_reports_what_it_knows() -> None:
    booking = former_program("booking")
    with simulated_mesh(seed=31) as mesh:
        mesh.run(mesh.start_configured())
        mesh.kill(mesh.leader())
        outcome = mesh.run(booking.book_and_tell(former_client(mesh), HOST, "/keyed/7", "order-1"))
        assert outcome.startswith("booked, seal "), outcome
        again = mesh.run(booking.book_and_tell(former_client(mesh, 1), HOST, "/keyed/7", "order-1"))
        assert again == outcome and mesh.traffic_log.runs_by_key["order-1"] == 1


def test_the_former_booking_program_tells_failures_apart() -> None:
    booking = former_program("booking")
    with simulated_mesh(seed=32) as mesh:
        mesh.run(mesh.start_configured())
        for backend in mesh.backends.values():
            backend.responses_to_drop = 1
        lost = mesh.run(booking.book_and_tell(former_client(mesh), HOST, "/keyed/7", "order-2"))
        assert lost == "not known yet; we look into order order-2"
        assert mesh.traffic_log.runs_by_key["order-2"] == 1
        for backend in mesh.backends.values():
            backend.responses_to_drop, backend.calls = 0, ["/nowhere/1"]
        failed = mesh.run(booking.book_and_tell(former_client(mesh), HOST, "/keyed/7", "order-3"))
        assert failed == "refused by the booking service: 500"
        for address in mesh.planes:
            mesh.kill(address)
        unsent = mesh.run(booking.book_and_tell(former_client(mesh), HOST, "/keyed/7", "order-4"))
        assert unsent == "not booked, and not charged: please try again"


def test_the_former_change_program_survives_another_operators_change() -> None:
    change = former_program("change")
    with simulated_mesh(seed=36) as mesh:
        mesh.run(mesh.start_configured())
        addresses = [f"{address}:{CONTROL_PORT}" for address in mesh.core]
        with pytest.warns(DeprecationWarning, match="chance"):
            operators: list[Any] = [
                module("operator").Operator(addresses, chance=random.Random(index)) for index in range(2)
            ]

        async def both() -> list[int]:
            return list(
                await asyncio.gather(
                    change.set_timeout(operators[0], "r-idempotent", 1.5),
                    change.set_timeout(operators[1], "r-keyed", 2.5),
                )
            )

        assert sorted(mesh.run(both())) == [2, 3]
        with pytest.warns(DeprecationWarning, match="within_s"):
            now = mesh.run(operators[0].describe(within_s=3.0))
        assert [entry["timeout-s"] for entry in now["hosts"][0]["host-routes"]] == [1.5, 2.5]
        with pytest.warns(DeprecationWarning):
            invalid = module("operator").Invalid
        with pytest.warns(DeprecationWarning, match="within_s"), pytest.raises(invalid):
            mesh.run(operators[0].replace({"revision": 9, "hosts": [{"hostname": ""}]}, base=3, within_s=3.0))


def test_the_former_backend_program_drains_and_is_removed() -> None:
    leaving = former_program("leaving")
    with simulated_mesh(seed=39, planes=2) as mesh:
        mesh.run(mesh.start_configured())
        address = mesh.planes[0]
        mesh.kill_backend(address)
        with pytest.warns(DeprecationWarning, match="control="):
            side = leaving.BackendSide(
                control=f"{address}:{CONTROL_PORT}",
                service="pitches",
                address=f"{address}:18145",
                zone="here",
                capacity=6,
                heartbeat_s=0.5,
                instance="i-example",
            )
        with pytest.warns(DeprecationWarning, match="health"):
            assert side.health() == (200, {"Cometdoor-Instance-Id": "i-example"})
        stopping = asyncio.Event()
        with pytest.warns(DeprecationWarning, match="beat"):
            task = mesh.loop.create_task(leaving.serve_until(side, stopping, drain_s=2.0))
            mesh.wait(1.0)
        inbound_proxy = mesh.data_plane(address).inbound_proxy
        assert inbound_proxy.backend is not None and inbound_proxy.backend.instance == "i-example"
        stopping.set()
        mesh.wait(1.0)
        assert inbound_proxy.backend.state == "draining"
        mesh.wait(1.5)
        assert task.done() and task.result() is True and inbound_proxy.backend is None


@pytest.mark.parametrize("name", FORMER_EXPORTS)
def test_the_package_serves_each_former_export(name: str) -> None:
    if name in cometdoor.client.__all__:
        assert hasattr(cometdoor.client, name)
        return
    with pytest.warns(DeprecationWarning, match=rf"cometdoor\.client\.{name} is deprecated") as caught:
        former = getattr(cometdoor.client, name)
    assert former is getattr(cometdoor.client, deprecated_names.FORMER_EXPORTS[name])
    assert caught[0].filename == __file__


@pytest.mark.parametrize("name", FORMER_MODULES)
def test_each_former_module_serves_its_names(name: str) -> None:
    imported = module(name)
    for attribute in FORMER_MODULES[name].split():
        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always")
            assert getattr(imported, attribute) is not None
        is_current = attribute in vars(imported)
        assert [item.category for item in caught] == ([] if is_current else [DeprecationWarning])
    with pytest.raises(AttributeError):
        _ = imported.never_was_there


def test_former_modules_are_attributes_of_the_package() -> None:
    package: Any = cometdoor.client
    for name in ("backend", "calls", "tries", "wire"):
        assert getattr(package, name) is module(name)
    with pytest.raises(AttributeError):
        _ = package.never_was_there


def test_importing_the_library_does_not_warn() -> None:
    names = ", ".join(
        f"cometdoor.client.{path.stem}" for path in CLIENT.glob("*.py") if path.stem != "__init__"
    )
    subprocess.run([sys.executable, "-W", "error", "-c", f"import cometdoor.client, {names}"], check=True)


def test_former_modules_hold_nothing_of_their_own() -> None:
    for name in ("backend", "calls", "tries", "wire"):
        assert set(vars(module(name))) - set(vars(ModuleType(""))) <= {
            *("__file__", "__cached__", "__builtins__", "__getattr__", "module_getattr")
        }


def test_members_of_kinds_and_statuses_keep_their_former_names() -> None:
    with pytest.warns(DeprecationWarning):
        tries = module("tries")
        kind, known = tries.Kind, tries.Known
    assert (kind("repeatable"), kind("keyed"), kind("once")) == (kind.REPEATABLE, kind.KEYED, kind.ONCE)
    assert list(kind) == [kind.REPEATABLE, kind.KEYED, kind.ONCE]
    assert list(known) == [known.NOT_RUN, known.REJECTED, known.MAY_HAVE_RUN, known.RAN, known.SERVED]


def test_a_budget_of_the_former_form_is_taken_by_both_clients() -> None:
    with pytest.warns(DeprecationWarning, match="span_s"):
        budget = module("tries").Budget(ratio=0.0, floor=1, span_s=5.0)
    with pytest.warns(DeprecationWarning, match="most_tries"):
        async_form: Any = module("calls").Client("127.0.0.1:1", most_tries=2, budget=budget)
    with (
        pytest.warns(DeprecationWarning, match="most_tries"),
        module("blocking").Client("127.0.0.1:1", most_tries=2, budget=budget) as client,
    ):
        with pytest.warns(DeprecationWarning):
            not_run = module("errors").NotRun
        with pytest.raises(not_run) as caught:
            client.call("GET", "pitches.example", "/search/7", deadline_s=1.0)
    with pytest.warns(DeprecationWarning, match="tries"):
        assert caught.value.tries == 2
    async_form.close()
    budget = module("retry_policy").ClientRetryBudget(0.0, 1)
    with pytest.warns(DeprecationWarning, match="called"):
        budget.called(0.0)
    with pytest.warns(DeprecationWarning, match="take"):
        assert budget.take(0.0) and not budget.take(0.0)


def test_a_former_keyword_beside_the_new_one_is_an_error() -> None:
    with pytest.raises(TypeError, match="most_tries"):
        module("async_client").Client("127.0.0.1:1", most_tries=2, max_attempts=2)


def test_coroutine_functions_with_former_keywords_stay_coroutine_functions() -> None:
    assert asyncio.iscoroutinefunction(cometdoor.client.Operator.describe)
    assert asyncio.iscoroutinefunction(cometdoor.client.BackendAgent.drain)


def test_all_errors_of_the_library_have_the_projects_base() -> None:
    exported = [getattr(cometdoor.client, name) for name in cometdoor.client.__all__]
    raised = [item for item in exported if isinstance(item, type) and issubclass(item, Exception)]
    assert len(raised) == 8
    assert all(issubclass(item, CometdoorError) for item in [*raised, connection.ConnectionFailed])
