"""Settings of hypothesis, and handling of tests that are known to fail.

Hypothesis generates the same examples in each run, so that results don't change by chance.
"""

import pytest
from hypothesis import settings

from tools.known_red import known_red

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists as expected failures; one that passes fails the run."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are known to fail."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"KNOWN RED, failed: {report.nodeid}")
