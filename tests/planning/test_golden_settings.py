"""Files of planners and forwarders are read to the same values as by commit 4033f28.

`values` are those under the names of the file, `positions` the same in the order in which fields are
declared. fixtures/settings.json was written by that commit's own code; the keys are made up for tests.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from cometdoor.planning.settings import load_forwarders, load_planners
from tests.golden import load, to_plain

FIXTURES = Path(__file__).parent / "fixtures"
DEPLOY = Path(__file__).parents[2] / "deploy"
FIXTURE = load(FIXTURES / "settings.json")
PATHS = {
    "planners-all-keys": FIXTURES / "planners-all-keys.toml",
    "planners example": DEPLOY / "planners.example.toml",
    "forwarders-all-keys": FIXTURES / "forwarders-all-keys.toml",
    "forwarders example": DEPLOY / "forwarders.example.toml",
}


@pytest.mark.parametrize("name", FIXTURE["files"])
def test_a_file_is_read_to_the_same_values(name: str) -> None:
    recorded = FIXTURE["files"][name]
    file: Any
    if name.startswith("planners"):
        file, keys = load_planners(PATHS[name])
        rules = [
            None if fleet.slow_start is None else to_plain(fleet.slow_start.rules()) for fleet in file.fleet
        ]
        assert rules == recorded["cold rules"]
    else:
        file, keys = load_forwarders(PATHS[name])
        assert [to_plain(service.addresses()) for service in file.service] == recorded["addresses"]
    assert msgspec.to_builtins(file) == recorded["values"] and to_plain(file) == recorded["positions"]
    assert {str(number): key.hex() for number, key in keys.known.items()} == recorded["keys"]
    assert keys.current == recorded["current"]
