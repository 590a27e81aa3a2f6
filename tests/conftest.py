"""Settings of hypothesis, and tests that are known to fail.

Examples of hypothesis are the same in each run, so that a verdict never changes by chance.
"""

import pytest
from hypothesis import settings

from tools.known_red import known_red

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Pass over just the tests that KNOWN-RED.txt lists; one that passes fails the run."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are known to fail."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"KNOWN RED, failed: {report.nodeid}")
