"""Pages on log lines name only events that are logged."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from tests.docs.test_architecture import section, table_rows
from tests.docs.test_runbook import LEVELS

ROOT = Path(__file__).parent.parent.parent
OPERATORS = ROOT / "docs" / "operators"
LOGS = (OPERATORS / "logs.md").read_text()
UPGRADES = (OPERATORS / "upgrades.md").read_text()


def logged_texts(levels: set[str]) -> set[str]:
    """Return the first arguments of all log calls at these levels."""
    texts = set()
    for path in (ROOT / "cometdoor").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(func=ast.Attribute(attr=level), args=[ast.Constant(value=str(text)), *_]):
                    if level in levels:
                        texts.add(text)
                case _:
                    pass
    return texts


def named_events(cell: str) -> list[str]:
    """Return the events in backticks, without the keys that follow them in brackets."""
    return re.findall(r"`(.+?)`", re.sub(r"\(.*\)$", "", cell))


def test_each_event_of_the_page_on_logs_is_logged() -> None:
    reports = re.findall(r"^### `(.+)`$", section(LOGS, "Reports of a data plane, every 5 s"), re.MULTILINE)
    single = [event for row in table_rows(section(LOGS, "Single events")) for event in named_events(row[0])]
    assert reports
    assert single
    assert sorted({*reports, *single} - logged_texts({"info"})) == []


def test_of_the_renamed_events_each_present_one_is_logged_and_no_former_one() -> None:
    rows = table_rows(section(UPGRADES, "Log events that were renamed in December 2026"))
    logged = logged_texts({"info", *LEVELS})
    present = [event for row in rows for event in named_events(row[1])]
    former = [event for row in rows for event in named_events(row[0])]
    assert len(present) >= len(rows)
    assert sorted(set(present) - logged) == []
    assert sorted(set(former) & logged) == []
