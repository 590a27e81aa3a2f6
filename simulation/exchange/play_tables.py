"""Plays all cells of all tables."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from cometdoor.host.exchange.backend_exchanges import BACKEND_EXCHANGE
from cometdoor.host.exchange.client_requests import CLIENT_REQUEST
from cometdoor.host.exchange.inbound_requests import INBOUND_REQUEST
from cometdoor.host.exchange.keyed_operations import KEYED_OPERATION
from cometdoor.host.exchange.peer_calls import PEER_CALL
from cometdoor.host.exchange.table import Impossible
from simulation.exchange.backend import play_backend_exchange
from simulation.exchange.client_requests import play_client_request
from simulation.exchange.expectations import ExchangeViolation
from simulation.exchange.inbound_requests import play_inbound_request
from simulation.exchange.keyed_operations import play_keyed_operation
from simulation.exchange.peer_calls import play_peer_call

TABLES: dict[str, tuple[Mapping[tuple[Any, Any], Any], Callable[[Any, Any, Any], None]]] = {
    "backend": (BACKEND_EXCHANGE, play_backend_exchange),
    "peer call": (PEER_CALL, play_peer_call),
    "inbound request": (INBOUND_REQUEST, play_inbound_request),
    "client request": (CLIENT_REQUEST, play_client_request),
    "keyed operation": (KEYED_OPERATION, play_keyed_operation),
}


@dataclass(frozen=True)
class TableResults:
    """Counts of a table's cells, and the violations found."""

    cells: int  # possible cells that were played
    impossible: int  # marked as impossible in the table
    passed: int  # cells in which the code behaves as the table says
    violations: list[str]  # one for each other cell


def cells(hop: str) -> Iterator[tuple[Any, Any, Any]]:
    """Yield state, event and cell of each possible cell."""
    for (state, event), cell in TABLES[hop][0].items():
        if not isinstance(cell, Impossible):
            yield state, event, cell


def play(hops: list[str] | None = None, stop_at_first: bool = False) -> TableResults:
    total = passed = impossible = 0
    violations: list[str] = []
    for hop in hops or list(TABLES):
        impossible += len(TABLES[hop][0]) - len(list(cells(hop)))
        for state, event, cell in cells(hop):
            total += 1
            try:
                TABLES[hop][1](state, event, cell)
                passed += 1
            except ExchangeViolation as problem:
                violations.append(str(problem))
                if stop_at_first:
                    return TableResults(total, impossible, passed, violations)
    return TableResults(total, impossible, passed, violations)
