"""The tables as `docs/design/exchange.md` prints them.

python -m lab.exchange.note
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from enum import Enum
from typing import Any

from cometdoor.host.exchange.cells import Cell, Conclusion, Connection, Impossible
from cometdoor.host.exchange.keys import KeyCell
from cometdoor.host.exchange.visits import VisitCell
from lab.exchange.play import TABLES

CONNECTIONS = {Connection.IN_USE: "in use", Connection.KEPT: "kept", Connection.CLOSED: "closed"}
CONCLUSIONS = {
    Conclusion.NOTHING: "",
    Conclusion.RAN: "ran",
    Conclusion.NOT_RUN: "**not run**",
    Conclusion.MAY_HAVE_RUN: "may have run",
}


def _text(cell: Cell | KeyCell | VisitCell | Impossible, reasons: list[str], state: Enum) -> str:
    match cell:
        case Impossible():
            if cell.why not in reasons:
                reasons.append(cell.why)
            return f"- ({reasons.index(cell.why) + 1})"
        case Cell():
            return ", ".join(filter(None, [CONCLUSIONS[cell.conclusion], CONNECTIONS[cell.connection]]))
        case VisitCell():
            told = "and says so" if cell.is_told else ""
            return ", ".join(filter(None, [CONCLUSIONS[cell.conclusion], cell.slot.value, told]))
        case KeyCell():
            words = [action.value for action in cell.actions]
            if cell.tells:
                words.append(f"tells {cell.tells}")
            if cell.after is not state:
                words.append(f"-> {cell.after.value}")
            return ", ".join(words)


def table(cells: Mapping[tuple[Any, Any], Any]) -> str:
    """Events by states, with the reasons why some can't meet."""
    states = list(dict.fromkeys(state for state, _ in cells))
    events = list(dict.fromkeys(event for _, event in cells))
    reasons: list[str] = []
    lines = [
        "| event | " + " | ".join(state.value for state in states) + " |",
        "|---|" + "---|" * len(states),
    ]
    for event in events:
        texts = [_text(cells[state, event], reasons, state) for state in states]
        lines.append(f"| {event.value} | " + " | ".join(texts) + " |")
    if reasons:
        numbered = "; ".join(f"({number}) {why}" for number, why in enumerate(reasons, 1))
        lines += ["", f"Can't be: {numbered}."]
    return "\n".join(lines)


def tables() -> dict[str, str]:
    """By hop."""
    return {hop: table(cells) for hop, (cells, _) in TABLES.items()}


if __name__ == "__main__":
    for hop, text in tables().items():
        sys.stdout.write(f"{hop}\n\n{text}\n\n")
