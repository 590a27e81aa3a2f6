"""Prints the tables as `docs/design/exchange.md` shows them.

python -m simulation.exchange.print_tables
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from enum import Enum
from typing import Any

from cometdoor.host.exchange.inbound_requests import InboundRequestCell
from cometdoor.host.exchange.keyed_operations import KeyedOperationCell
from cometdoor.host.exchange.table import Conclusion, ConnectionState, Impossible, TableCell
from simulation.exchange.play_tables import TABLES

CONNECTION_LABELS = {
    ConnectionState.IN_USE: "in use",
    ConnectionState.REUSABLE: "reusable",
    ConnectionState.CLOSED: "closed",
}
CONCLUSION_LABELS = {
    Conclusion.PENDING: "",
    Conclusion.EXECUTED: "executed",
    Conclusion.NOT_EXECUTED: "**not executed**",
    Conclusion.MAY_HAVE_EXECUTED: "may have been executed",
}


def _text(
    cell: TableCell | KeyedOperationCell | InboundRequestCell | Impossible, reasons: list[str], state: Enum
) -> str:
    match cell:
        case Impossible():
            if cell.reason not in reasons:
                reasons.append(cell.reason)
            return f"- ({reasons.index(cell.reason) + 1})"
        case TableCell():
            return ", ".join(
                filter(None, [CONCLUSION_LABELS[cell.conclusion], CONNECTION_LABELS[cell.connection]])
            )
        case InboundRequestCell():
            report = "reported" if cell.is_reported else ""
            return ", ".join(filter(None, [CONCLUSION_LABELS[cell.conclusion], cell.slot.value, report]))
        case KeyedOperationCell():
            labels = [action.value for action in cell.actions]
            if cell.reported:
                labels.append(f"reports {cell.reported}")
            if cell.next_state is not state:
                labels.append(f"-> {cell.next_state.value}")
            return ", ".join(labels)


def table(cells: Mapping[tuple[Any, Any], Any]) -> str:
    """Return events by states as text, with the reasons why some combinations are impossible."""
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
        numbered = "; ".join(f"({number}) {reason}" for number, reason in enumerate(reasons, 1))
        lines += ["", f"Can't be: {numbered}."]
    return "\n".join(lines)


def tables() -> dict[str, str]:
    """Return the tables by hop."""
    return {hop: table(cells) for hop, (cells, _) in TABLES.items()}


if __name__ == "__main__":
    for hop, text in tables().items():
        sys.stdout.write(f"{hop}\n\n{text}\n\n")
