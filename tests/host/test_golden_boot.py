"""The mesh's programs read settings files in the same way as commit 4033f28 did (fixtures/boot.json).

`values` has the values by their keys in the file, `positions` the same values in the order in which fields
are declared. The fixture was written by the code of that commit.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
import structlog

from cometdoor.cli import daemons
from cometdoor.control.process import ControlPlane
from cometdoor.dataplane.process import DataPlane
from cometdoor.host.node_settings import SETTINGS_FILE_VARIABLE, NodeSettings, read_node_settings
from simulation.mesh import SimulatedMesh, simulated_mesh
from tests.golden import load, problem_paths, to_plain

FIXTURES = Path(__file__).parent / "fixtures"
FIXTURE = load(FIXTURES / "boot.json")
# Keys added to the end of `limits` since that commit, with their defaults; its files don't have them.
ADDED_LIMITS = {"bandwidth-mbps": 0}
LIMITS_POSITION = -2
FILES = pytest.mark.parametrize("name", FIXTURE["files"])


@pytest.fixture(autouse=True)
def _quiet() -> Iterator[None]:
    with structlog.testing.capture_logs():
        yield


def read_fixture(name: str) -> bytes:
    return (FIXTURES / f"{name}.toml").read_bytes()


def node_settings(name: str) -> NodeSettings:
    return read_node_settings(read_fixture(name), name, FIXTURE["files"][name]["role"])


@FILES
def test_golden_settings_files_are_read_to_the_same_values(name: str) -> None:
    values, positions = node_settings(name).to_dict(), to_plain(node_settings(name))
    assert [positions[LIMITS_POSITION].pop() for _ in ADDED_LIMITS] == [*reversed(ADDED_LIMITS.values())]
    for key, value in ADDED_LIMITS.items():
        assert values["limits"].pop(key) == value
    assert values == FIXTURE["files"][name]["values"]
    assert positions == FIXTURE["files"][name]["positions"]


@FILES
def test_golden_settings_files_yield_the_same_addresses_and_bounds(name: str) -> None:
    recorded, settings = FIXTURE["files"][name], node_settings(name)
    assert {role: settings.internal_address(role) for role in recorded["internal"]} == recorded["internal"]
    assert settings.seed_internal_addresses() == recorded["seeds_internal"]
    assert {
        bound_name: settings.bound_value(bound_name, -1.0) for bound_name in recorded["bounds"]
    } == recorded["bounds"]
    assert {zone: settings.zone_index(zone) for zone in recorded["zone_places"]} == recorded["zone_places"]


@pytest.mark.parametrize(
    ("name", "role"), [(name, role) for name in FIXTURE["faults"] for role in FIXTURE["faults"][name]]
)
def test_invalid_golden_settings_files_have_the_same_problems(name: str, role: str) -> None:
    assert (
        problem_paths(lambda: read_node_settings(read_fixture(name), name, role))
        == FIXTURE["faults"][name][role]
    )


def test_environment_variable_that_names_the_file_is_unchanged() -> None:
    assert SETTINGS_FILE_VARIABLE == "COMETDOOR_NODE_FILE"


def test_processes_read_the_same_bounds_with_the_same_defaults() -> None:
    defaults: dict[str, float] = {}
    original = NodeSettings.bound_value

    def bound_value(self: NodeSettings, name: str, default: float) -> float:
        defaults[name] = default
        return original(self, name, default)

    with (
        mock.patch.object(NodeSettings, "bound_value", bound_value),
        simulated_mesh(core=3, planes=2) as mesh,
    ):
        mesh.run(mesh.start_configured())
        mesh.run(mesh.run_traffic(1.0, 20.0))
        assert not mesh.find_violations()
    assert defaults == FIXTURE["bounds that the programs ask for"]


# --- reload ---


def reload(mesh: SimulatedMesh, address: str, text: str, monkeypatch: pytest.MonkeyPatch) -> Any:
    """Replace the content of the program's settings file, and reload it as SIGHUP does."""
    role, path = mesh.settings(address)
    path.write_text(text)
    monkeypatch.setenv("COMETDOOR_NODE_FILE", str(path))
    program = mesh.programs[address]
    daemons.reload_settings(program, role)
    return program


@pytest.mark.parametrize("role", ["controlplane", "dataplane"])
def test_reload_applies_seeds_and_leaves_the_rest_for_the_next_start(
    role: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with simulated_mesh(core=1, planes=1) as mesh:
        mesh.run(mesh.start_configured())
        address = (mesh.core if role == "controlplane" else mesh.planes)[0]
        process_type = ControlPlane if role == "controlplane" else DataPlane
        started_with = mesh.programs[address].node_settings
        seeds = mesh.programs[address].directory.seeds
        text = mesh.settings(address)[1].read_text()
        # When the file is invalid, nothing changes
        for broken in ("zone = 1\n" + text, text.replace('zone = "here"', "zone = 7"), "no toml"):
            program = reload(mesh, address, broken, monkeypatch)
            assert (program.node_settings, program.latest_settings, program.directory.seeds) == (
                *(started_with, started_with, seeds),
            )
        # When it is valid, its seed nodes are used
        changed = text.replace("seed-nodes = [", 'seed-nodes = ["127.0.9.9:9", "127.0.9.8:9", ')
        assert changed != text
        program = reload(mesh, address, changed.replace("grace-s=6", "grace-s=5"), monkeypatch)
        assert isinstance(program, process_type)
        assert program.directory.seeds[:2] == ["127.0.9.9:17381", "127.0.9.8:17381"]
        assert program.node_settings == started_with and program.latest_settings != started_with
        assert (
            program.node_settings.bound_value("grace-s", 0.0) == 6.0
            and program.latest_settings.bound_value("grace-s", 0.0) == 5.0
        )
