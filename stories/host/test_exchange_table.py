"""The exchange tables: every cell is checked against the code, and the tables against the design page."""

from enum import Enum
from itertools import product
from pathlib import Path

from ward import each, test

from cometdoor.host.exchange.backend_exchanges import (
    BACKEND_EXCHANGE,
    REUSABLE_CELLS,
    BackendExchangeEvent,
    BackendExchangeState,
)
from cometdoor.host.exchange.peer_calls import PEER_CALL, PeerCallEvent, PeerCallState
from cometdoor.host.exchange.table import Conclusion, ConnectionState, RetryPermission, TableCell
from simulation.exchange.fuzz import fuzz
from simulation.exchange.fuzz_backend import play as play_plan
from simulation.exchange.planted_defects import COUNTEREXAMPLES, DEFECTS, find_violation
from simulation.exchange.play_tables import TABLES, cells, play
from simulation.exchange.print_tables import tables

DESIGN_PAGE = Path(__file__).parents[2] / "docs" / "design" / "exchange.md"
EXAMPLES = 150
NOTHING_WRITTEN_STATES = (
    BackendExchangeState.CONNECTING,
    BackendExchangeState.CONNECTED,
    PeerCallState.CONNECTING,
    PeerCallState.QUEUED,
)
REPORTED_NOT_EXECUTED = (BackendExchangeEvent.REJECTED, PeerCallEvent.NOT_EXECUTED)


@test("{hop}: every state meets every event")
def _(hop: str = each(*TABLES)) -> None:
    table = TABLES[hop][0]
    states: type[Enum] = type(next(iter(table))[0])
    events: type[Enum] = type(next(iter(table))[1])
    assert set(table) == set(product(states, events))


@test("{hop}: every possible cell is as the table says, in every form of its event")
def _(hop: str = each(*TABLES)) -> None:
    results = play([hop])
    assert not results.violations and results.passed == results.cells == len(list(cells(hop)))


@test("{hop}: generated plans break no invariant")
def _(hop: str = each("backend", "peer call", "client request")) -> None:
    assert fuzz(hop, EXAMPLES) >= EXAMPLES // 2


@test("a request counts as not executed where no byte was written or the peer says so, and nowhere else")
def _() -> None:
    for (state, event), cell in [*BACKEND_EXCHANGE.items(), *PEER_CALL.items()]:
        if isinstance(cell, TableCell) and cell.conclusion is Conclusion.NOT_EXECUTED:
            assert state in NOTHING_WRITTEN_STATES or event in REPORTED_NOT_EXECUTED, (state, event)
            assert cell.retry_permission is RetryPermission.ALL


@test("a connection is reused only after a complete response to its own complete request")
def _() -> None:
    events = {BackendExchangeEvent.RESPONSE, BackendExchangeEvent.REJECTED}
    assert (
        set(product((BackendExchangeState.WRITTEN, BackendExchangeState.RECEIVING), events)) == REUSABLE_CELLS
    )
    for cell in BACKEND_EXCHANGE.values():
        if isinstance(cell, TableCell) and cell.conclusion is Conclusion.MAY_HAVE_EXECUTED:
            assert (
                cell.connection is ConnectionState.CLOSED
                and cell.retry_permission is RetryPermission.IDEMPOTENT
            )


@test("the planted defect is found: {name}")
def _(name: str = each(*DEFECTS)) -> None:
    assert find_violation(name)


@test("the counterexample of a defect breaks nothing in the correct code: {name}")
def _(name: str = each(*COUNTEREXAMPLES)) -> None:
    play_plan(COUNTEREXAMPLES[name])


@test("docs/design/exchange.md prints the table: {hop}")
def _(hop: str = each(*TABLES)) -> None:
    assert tables()[hop] in DESIGN_PAGE.read_text()
