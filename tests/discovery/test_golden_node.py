"""The platform's configuration of its proxy is read to the same values as by commit 4033f28.

fixtures/node.json was written by that commit's own code: values in the order in which fields are declared.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from cometdoor.discovery.config import read_config
from tests.golden import load, to_plain

FIXTURES = Path(__file__).parent / "fixtures"
FIXTURE = load(FIXTURES / "node.json")


@pytest.mark.parametrize("name", FIXTURE["files"])
def test_the_platforms_object_is_read_to_the_same_values(name: str) -> None:
    recorded = FIXTURE["files"][name]
    config = read_config(load(FIXTURES / f"{name}.json"), recorded["environment"])
    assert to_plain(config) == recorded["positions"]
