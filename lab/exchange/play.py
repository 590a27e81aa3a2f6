"""All cells of all tables."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from cometdoor.host.exchange.backend import BACKEND
from cometdoor.host.exchange.callers import CALLER
from cometdoor.host.exchange.cells import Impossible
from cometdoor.host.exchange.keys import KEYS
from cometdoor.host.exchange.lines import LINE
from cometdoor.host.exchange.visits import VISIT
from lab.exchange.backend import play_backend
from lab.exchange.callers import play_caller
from lab.exchange.judge import Wrong
from lab.exchange.keys import play_key
from lab.exchange.lines import play_line
from lab.exchange.visits import play_visit

TABLES: dict[str, tuple[Mapping[tuple[Any, Any], Any], Callable[[Any, Any, Any], None]]] = {
    "backend": (BACKEND, play_backend),
    "line": (LINE, play_line),
    "visit": (VISIT, play_visit),
    "caller": (CALLER, play_caller),
    "key": (KEYS, play_key),
}


@dataclass(frozen=True)
class Played:
    cells: int  # that can be
    impossible: int  # that are named as such
    right: int  # did as the table says
    wrong: list[str]  # what the others did


def cells(hop: str) -> Iterator[tuple[Any, Any, Any]]:
    """State, event and cell, of those that can be."""
    for (state, event), cell in TABLES[hop][0].items():
        if not isinstance(cell, Impossible):
            yield state, event, cell


def play(hops: list[str] | None = None, stop_at_first: bool = False) -> Played:
    total = right = impossible = 0
    wrong: list[str] = []
    for hop in hops or list(TABLES):
        impossible += len(TABLES[hop][0]) - len(list(cells(hop)))
        for state, event, cell in cells(hop):
            total += 1
            try:
                TABLES[hop][1](state, event, cell)
                right += 1
            except Wrong as problem:
                wrong.append(str(problem))
                if stop_at_first:
                    return Played(total, impossible, right, wrong)
    return Played(total, impossible, right, wrong)
