"""The runbook has an entry for each log event at warning or error, and for no other."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
SOURCES = sorted((ROOT / "cometdoor").rglob("*.py"))
RUNBOOK = ROOT / "docs" / "operators" / "runbook.md"
LEVELS = {
    "warning": "warning",
    "warn": "warning",
    "error": "error",
    "exception": "error",
    "critical": "error",
    "fatal": "error",
}
LOGGER_NAMES = {"log", "_log", "logger", "_logger"}
LOGGER_FACTORIES = {"get_logger", "getLogger"}
BELOW_WARNING = {"DEBUG", "INFO"}


@dataclass(frozen=True, order=True)
class LogEvent:
    """A log event with its level."""

    text: str
    level: str


class EventReader(ast.NodeVisitor):
    """Reads the log calls of one source file, and reports calls whose event it can't determine."""

    def __init__(self, source: str) -> None:
        self.events: set[LogEvent] = set()
        self.unreadable: list[str] = []
        tree = ast.parse(source)
        self._loggers = LOGGER_NAMES | {"logging"} | set(self._assigned_loggers(tree))
        self._called: set[ast.expr] = set()
        self.visit(tree)

    def _assigned_loggers(self, tree: ast.Module) -> Iterator[str]:
        for node in ast.walk(tree):
            if isinstance(node, ast.Assign | ast.AnnAssign) and isinstance(node.value, ast.Call):
                function = node.value.func
                factory = (
                    function.attr if isinstance(function, ast.Attribute) else getattr(function, "id", "")
                )
                if factory in LOGGER_FACTORIES:
                    for target in node.targets if isinstance(node, ast.Assign) else [node.target]:
                        yield target.attr if isinstance(target, ast.Attribute) else ast.unparse(target)

    def _is_logger(self, node: ast.expr) -> bool:
        match node:
            case ast.Name(id=name) | ast.Attribute(attr=name):
                return name in self._loggers
            case ast.Call(func=ast.Attribute(attr=method, value=receiver)):
                return method in LOGGER_FACTORIES or self._is_logger(receiver)  # log.bind(...).warning(...)
            case ast.Call(func=ast.Name(id=function)):
                return function in LOGGER_FACTORIES
            case _:
                return False

    def visit_Call(self, node: ast.Call) -> None:
        match node.func:
            case ast.Attribute(attr=method, value=receiver) if self._is_logger(receiver):
                self._called.add(node.func)
                if method in LEVELS:
                    self._add_event(node, node.args[:1], LEVELS[method])
                elif method == "log":
                    self._read_level(node)
            case ast.Name(id="getattr") if node.args and self._is_logger(node.args[0]):
                self._report_unreadable(node)
            case _:
                pass
        self.generic_visit(node)

    def visit_Attribute(self, node: ast.Attribute) -> None:
        if node.attr in LEVELS and self._is_logger(node.value) and node not in self._called:
            self._report_unreadable(node)  # the method is passed on, so its events can't be read here
        self.generic_visit(node)

    def _read_level(self, node: ast.Call) -> None:
        level = node.args[0] if node.args else None
        name = level.attr if isinstance(level, ast.Attribute) else ""
        if name not in BELOW_WARNING:
            self._add_event(node, node.args[1:2], LEVELS.get(name.lower(), ""))

    def _add_event(self, node: ast.Call, event_argument: list[ast.expr], level: str) -> None:
        match event_argument:
            case [ast.Constant(value=str(text))] if level:
                self.events.add(LogEvent(text, level))
            case _:
                self._report_unreadable(node)

    def _report_unreadable(self, node: ast.expr) -> None:
        self.unreadable.append(f"line {node.lineno}: {ast.unparse(node)}")


def read_runbook(page: str) -> list[tuple[LogEvent, str]]:
    """Return the runbook's entries: third-level headings of the form "`event` (level)", and their texts."""
    entries = []
    for section in re.split(r"^### ", page, flags=re.MULTILINE)[1:]:
        heading, _, body = section.partition("\n")
        heading_match = re.fullmatch(r"`(.+)` \((warning|error)\)", heading)
        assert heading_match is not None, f"heading {heading!r} is not of the form `event` (level)"
        entries.append(
            (LogEvent(heading_match[1], heading_match[2]), re.split(r"^#", body, flags=re.MULTILINE)[0])
        )
    return entries


def logged_events() -> set[LogEvent]:
    return {event for path in SOURCES for event in EventReader(path.read_text()).events}


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(ROOT)))
def test_each_warning_and_error_is_logged_by_a_plain_call_with_a_literal_text(path: Path) -> None:
    assert EventReader(path.read_text()).unreadable == []


def test_each_event_at_warning_or_error_has_an_entry_in_the_runbook() -> None:
    described = {event for event, _ in read_runbook(RUNBOOK.read_text())}
    assert sorted(logged_events() - described) == []


def test_the_runbook_describes_no_event_that_is_not_logged() -> None:
    described = {event for event, _ in read_runbook(RUNBOOK.read_text())}
    assert sorted(described - logged_events()) == []


def test_each_entry_of_the_runbook_stands_once_and_says_what_it_means_and_what_to_do() -> None:
    entries = read_runbook(RUNBOOK.read_text())
    assert len({event.text for event, _ in entries}) == len(entries)
    for event, body in entries:
        assert re.search(r"^\*\*Meaning\.\*\* \S", body, re.MULTILINE), event
        assert re.search(r"^\*\*Action\.\*\* \S", body, re.MULTILINE), event


@pytest.mark.parametrize(
    ("source", "events"),
    [
        ("log = structlog.get_logger()\nlog.warning('a', step='b')", {("a", "warning")}),
        ("log = logging.getLogger(__name__)\nlog.exception('a %s', b)", {("a %s", "error")}),
        ("logging.error('a'); logging.info('b')", {("a", "error")}),
        ("import structlog\nstructlog.get_logger().warn('a')", {("a", "warning")}),
        ("class A:\n def b(self):\n  self._log.critical('a')", {("a", "error")}),
        ("journal = get_logger()\njournal.bind(x=1).error('a')", {("a", "error")}),
        ("self.journal = get_logger()\nself.journal.error('a')", {("a", "error")}),
        ("log.log(logging.WARNING, 'a'); log.log(logging.INFO, 'b')", {("a", "warning")}),
        ("parser.error('a'); done.exception(); log.info('b'); log.debug('c')", set()),
    ],
)
def test_log_events_are_read_from_each_form_of_call(source: str, events: set[tuple[str, str]]) -> None:
    reader = EventReader(source)
    assert {(event.text, event.level) for event in reader.events} == events
    assert reader.unreadable == []


@pytest.mark.parametrize(
    "source",
    [
        "log.warning(text)",
        "log.error(f'a {b}')",
        "log.error()",
        "emit = log.warning",
        "getattr(log, level)('a')",
        "log.log(level, 'a')",
        "log.log(logging.ERROR, text)",
    ],
)
def test_log_calls_whose_event_or_level_is_not_literal_are_found(source: str) -> None:
    assert len(EventReader(source).unreadable) == 1
