"""Files of services give the same settings, also of the decision module, as at commit 4033f28.

In fixtures/settings.json, which that commit's code wrote, `values` has the settings by their names in the
file, `positions` the same in the order in which fields are declared, and `modules` the settings of each
service's decision module.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import pytest

from cometdoor.host.interfaces import HostSettings
from cometdoor.services import service_instance
from cometdoor.services.service_manager import ServiceManager
from cometdoor.services.settings import Settings, load_settings
from tests.golden import load, to_plain

FIXTURES = Path(__file__).parent / "fixtures"
FIXTURE = load(FIXTURES / "settings.json")
PATHS = {
    "all-keys": FIXTURES / "all-keys.toml",
    "example": Path(__file__).parents[2] / "deploy" / "services.example.toml",
}
FILES = pytest.mark.parametrize("name", FIXTURE["files"])


def decision_module_settings(settings: Settings) -> dict[str, Any]:
    """Return by service the decision module's settings, and if rejections may have a Retry-After field."""
    module_settings: list[Any] = []

    def record(balancer_settings: Any, seed: int, retry_after: bool) -> HostSettings:
        module_settings.append([to_plain(balancer_settings), retry_after])
        return HostSettings(balancer_settings, seed, retry_after)

    async def set_up() -> None:
        with mock.patch.object(service_instance, HostSettings.__name__, record):
            ServiceManager(settings, asyncio.get_running_loop()).stop()

    asyncio.run(set_up())
    return dict(zip((service.name for service in settings.service), module_settings, strict=True))


@FILES
def test_a_file_of_services_is_read_to_the_same_values(name: str) -> None:
    settings, recorded = load_settings(PATHS[name]), FIXTURE["files"][name]
    assert msgspec.to_builtins(settings) == recorded["values"]
    assert to_plain(settings) == recorded["positions"]
    assert to_plain(settings.listen()) == recorded["listen"]
    assert [f"{route.describe()} -> {route.service}" for route in settings.routes()] == recorded["routes"]


@FILES
def test_the_decision_module_is_set_up_with_the_same_values(name: str) -> None:
    assert decision_module_settings(load_settings(PATHS[name])) == FIXTURE["files"][name]["modules"]
