"""Prints the libraries that `pyproject.toml` declares, as arguments for pip.

    pip install -c constraints.txt $(python3 tools/dependencies.py mesh)

installs what the extra `mesh` needs, but not the project itself, which the deploy files run from the root. It
is a script because the pip of Debian 12 (23.0) has no option for that. The standard library suffices.
"""

from __future__ import annotations

import argparse
import re
import tomllib
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def read_dependencies(pyproject: Path, extras: Iterable[str] = ()) -> list[str]:
    """The project's requirements and those of `extras`, in their order and once each.

    An extra may name others of the project (`cometdoor[demo,mesh]`): their requirements replace it.
    Raises `KeyError` for an extra that is not declared.
    """
    project = tomllib.loads(pyproject.read_text())["project"]
    own_extras = re.compile(rf"{re.escape(project['name'])}\[([^]]+)\]")
    collected: dict[str, None] = {}

    def add(requirements: Iterable[str]) -> None:
        for requirement in requirements:
            if own_extra := own_extras.fullmatch(requirement):
                for extra in own_extra[1].split(","):
                    add(project["optional-dependencies"][extra.strip()])
            else:
                collected[requirement.replace(" ", "")] = None

    add(project["dependencies"])
    for extra in extras:
        add(project["optional-dependencies"][extra])
    return list(collected)


def main() -> None:
    parser = argparse.ArgumentParser(description="Prints the libraries that pyproject.toml declares.")
    parser.add_argument("extras", nargs="*", help="extras of the project: mesh, demo, dev")
    try:
        print(*read_dependencies(ROOT / "pyproject.toml", parser.parse_args().extras))
    except KeyError as error:
        parser.error(f"pyproject.toml has no extra {error}")


if __name__ == "__main__":
    main()
