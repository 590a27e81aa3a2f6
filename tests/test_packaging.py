"""Libraries are declared in pyproject.toml, pinned in constraints.txt, and named nowhere else."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from collections.abc import Iterable
from importlib.metadata import EntryPoint, distribution
from pathlib import Path

import pytest
from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

from cometdoor import __main__ as program
from tools.dependencies import read_dependencies

ROOT = Path(__file__).parent.parent
PYPROJECT = ROOT / "pyproject.toml"
PROJECT = tomllib.loads(PYPROJECT.read_text())["project"]
README = (ROOT / "README.md").read_text()
EXTRAS = PROJECT["optional-dependencies"]
DEPLOY_FILES = {"deploy/system.toml": ["mesh"], "deploy/balancer.toml": []}


def installed_closure(requirements: Iterable[str]) -> dict[str, str]:
    """Return the installed versions of `requirements` and their dependencies, by canonical name."""
    versions: dict[str, str] = {}
    seen: set[tuple[str, str]] = set()
    pending = [(Requirement(requirement), "") for requirement in requirements]
    while pending:
        requirement, for_extra = pending.pop()
        if requirement.marker is not None and not requirement.marker.evaluate({"extra": for_extra}):
            continue
        installed = distribution(requirement.name)
        assert requirement.specifier.contains(installed.version, prereleases=True), requirement
        name = canonicalize_name(requirement.name)
        versions[name] = installed.version
        for extra in ("", *requirement.extras):
            if (name, extra) not in seen:
                seen.add((name, extra))
                pending += [(Requirement(text), extra) for text in installed.requires or ()]
    return versions


def pins() -> dict[str, str]:
    lines = (ROOT / "constraints.txt").read_text().splitlines()
    parts = [line.split("==") for line in lines if line and not line.startswith("#")]
    assert all(len(part) == 2 for part in parts), "each line pins one library by =="
    return {canonicalize_name(name): version for name, version in parts}


def test_constraints_pin_exactly_what_the_declared_libraries_bring() -> None:
    declared = read_dependencies(PYPROJECT, EXTRAS)
    assert pins() == installed_closure(declared)


def test_the_extra_for_developers_brings_all_that_any_other_brings() -> None:
    assert set(read_dependencies(PYPROJECT, ["dev"])) == set(read_dependencies(PYPROJECT, EXTRAS))


def test_an_extra_that_names_others_is_replaced_by_their_libraries(tmp_path: Path) -> None:
    pyproject = tmp_path / "pyproject.toml"
    pyproject.write_text(
        '[project]\nname = "p"\ndependencies = ["a >= 1"]\n'
        '[project.optional-dependencies]\nx = ["b"]\ny = ["c", "a >= 1"]\nall = ["p[x, y]", "d"]\n'
    )
    assert read_dependencies(pyproject) == ["a>=1"]
    assert read_dependencies(pyproject, ["all"]) == ["a>=1", "b", "c", "d"]
    with pytest.raises(KeyError):
        read_dependencies(pyproject, ["z"])


def test_the_command_starts_the_same_program_as_python_m() -> None:
    assert set(PROJECT["scripts"]) == {"cometdoor"}
    command = EntryPoint("cometdoor", PROJECT["scripts"]["cometdoor"], "console_scripts")
    assert command.load() is program.main


@pytest.mark.parametrize("deploy_file", DEPLOY_FILES)
def test_deploy_files_name_the_debian_packages_that_their_builds_call(deploy_file: str) -> None:
    content = tomllib.loads((ROOT / deploy_file).read_text())
    packages, build = content["packages"], content["build"]
    assert packages and packages == sorted(set(packages))
    assert all(re.fullmatch(r"[a-z0-9][a-z0-9+.-]+", package) for package in packages)
    commands_by_package = {
        "python3": "python3",
        "python3-pip": "python3 -m pip",
        "python3-venv": "python3 -m venv",
    }
    for package, command in commands_by_package.items():
        assert package in packages or not re.search(rf"(?<![\w/]){command}\b", build), package
    (command,) = re.findall(r"^apt-get install (?:--\S+ )*(.+)$", README, re.MULTILINE)
    assert set(packages) <= set(command.split())


@pytest.mark.parametrize("deploy_file", DEPLOY_FILES)
def test_builds_install_what_is_declared_by_the_pins(deploy_file: str) -> None:
    build = tomllib.loads((ROOT / deploy_file).read_text())["build"]
    assert "-c constraints.txt" in build
    match = re.search(r"\$\(\S+ tools/dependencies\.py([ \w]*)\)", build)
    assert match is not None and match[1].split() == DEPLOY_FILES[deploy_file]
    printed = subprocess.run(
        [sys.executable, ROOT / "tools" / "dependencies.py", *DEPLOY_FILES[deploy_file]],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    declared = [
        *PROJECT["dependencies"],
        *(requirement for extra in DEPLOY_FILES[deploy_file] for requirement in EXTRAS[extra]),
    ]
    assert printed.stdout.split() == declared


def test_nothing_names_a_list_of_requirements_beside_pyproject() -> None:
    assert not list(ROOT.glob("requirements*"))
    paths = [ROOT / "Makefile", ROOT / "README.md", ROOT / ".ci" / "run", *map(ROOT.joinpath, DEPLOY_FILES)]
    for path in paths:
        assert not re.search(r"requirements[\w-]*\.txt", path.read_text()), path
