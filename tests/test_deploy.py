"""Deploy files and command line, by which platforms and operators start the programs."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from importlib.util import find_spec
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[1]

OPTIONS: dict[str, set[str]] = {  # by the command after `cometdoor`
    "dataplane": set(),
    "controlplane": set(),
    "state show": {"--json"},
    "state verify": set(),
    "state export": set(),
    "state rebuild": set(),
    "log": {"--json", "--after"},
    "members": {"--json"},
    "mesh demo": {"--seconds"},
    "check": set(),
    "serve": {"--planning"},
    "planner": {"--names"},
    "demo": {"--seconds", "--plain"},
}


def deploy(name: str) -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / name).read_text())


def test_the_meshs_roles_are_started_as_before() -> None:
    assert deploy("system.toml")["roles"] == {
        "dataplane": {"run": "python3 -m cometdoor dataplane", "on": "sidecar", "serves": ["sidecar"]},
        "controlplane": {
            "run": "python3 -m cometdoor controlplane",
            "on": "core",
            "share": 0.5,
            "serves": ["control"],
        },
    }


def test_the_older_proxy_is_started_as_before() -> None:
    file = deploy("balancer.toml")
    assert set(file) == {"build", "run", "sim", "policy", "node", "packages"}
    assert file["run"] == "exec .venv/bin/python -m cometdoor" and file["node"] == ["cometdoor"]


def test_what_the_older_proxys_deploy_file_names_is_there() -> None:
    file = deploy("balancer.toml")
    assert all((ROOT / name).is_file() for name in file["policy"])
    assert all((ROOT / name).is_dir() for name in file["node"])
    (module,) = re.fullmatch(r"exec \.venv/bin/python -m ([\w.]+)", file["sim"]).groups()  # type: ignore[union-attr]
    assert find_spec(module) is not None


@pytest.mark.parametrize("command", OPTIONS)
def test_a_command_has_the_same_words_and_options(command: str) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "cometdoor", *command.split(), "--help"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert set(re.findall(r"(?<![\w-])--[a-z][a-z-]*", result.stdout)) - {"--help"} == OPTIONS[command]
