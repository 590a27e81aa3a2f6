"""The tables of the exchange, every cell of them, against the code and against the note."""

from enum import Enum
from itertools import product
from pathlib import Path

from ward import each, test

from cometdoor.host.exchange.backend import BACKEND, KEEPS, BackendEvent, BackendState
from cometdoor.host.exchange.cells import Cell, Conclusion, Connection, Resend
from cometdoor.host.exchange.lines import LINE, LineEvent, LineState
from lab.exchange.defects import COURSES, DEFECTS, shows
from lab.exchange.fuzz import fuzz
from lab.exchange.fuzz_backend import play as play_plan
from lab.exchange.note import tables
from lab.exchange.play import TABLES, cells, play

NOTE = Path(__file__).parents[2] / "docs" / "design" / "exchange.md"
EXAMPLES = 150
UNWRITTEN = (BackendState.CONNECTING, BackendState.OPEN, LineState.DIALLING, LineState.QUEUED)
SAID_SO = (BackendEvent.TURNED_AWAY, LineEvent.NOT_RUN)


@test("{hop}: every state meets every event")
def _(hop: str = each(*TABLES)) -> None:
    table = TABLES[hop][0]
    states: type[Enum] = type(next(iter(table))[0])
    events: type[Enum] = type(next(iter(table))[1])
    assert set(table) == set(product(states, events))


@test("{hop}: every cell that can be is as the table says, in every form of its event")
def _(hop: str = each(*TABLES)) -> None:
    played = play([hop])
    assert not played.wrong and played.right == played.cells == len(list(cells(hop)))


@test("{hop}: what drawn peers do breaks no invariant")
def _(hop: str = each("backend", "line", "caller")) -> None:
    assert fuzz(hop, EXAMPLES) >= EXAMPLES // 2


@test("a request has not run where no byte of it was written, or where the peer says so, and nowhere else")
def _() -> None:
    for (state, event), cell in [*BACKEND.items(), *LINE.items()]:
        if isinstance(cell, Cell) and cell.conclusion is Conclusion.NOT_RUN:
            assert state in UNWRITTEN or event in SAID_SO, (state, event)
            assert cell.resend is Resend.ALL


@test("a connection is used again after a whole answer of its own request alone, to a whole request")
def _() -> None:
    events = {BackendEvent.ANSWERED, BackendEvent.TURNED_AWAY}
    assert set(product((BackendState.WRITTEN, BackendState.ANSWERING), events)) == KEEPS
    for cell in BACKEND.values():
        if isinstance(cell, Cell) and cell.conclusion is Conclusion.MAY_HAVE_RUN:
            assert cell.connection is Connection.CLOSED and cell.resend is Resend.REPEATABLE


@test("a defect is found: {name}")
def _(name: str = each(*DEFECTS)) -> None:
    assert shows(name)


@test("the events that show a defect do the sound code no harm: {name}")
def _(name: str = each(*COURSES)) -> None:
    play_plan(COURSES[name])


@test("the note prints the table of the hop as it is: {hop}")
def _(hop: str = each(*TABLES)) -> None:
    assert tables()[hop] in NOTE.read_text()
