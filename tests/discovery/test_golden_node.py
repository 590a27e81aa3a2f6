"""The platform's configuration of its proxy gives the same values as at commit 4033f28.

That commit's code wrote fixtures/node.json, with the values in the order in which fields are declared.
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
