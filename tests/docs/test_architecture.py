"""The architecture page names existing things, and its table of packages matches the import contract."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

from tests.docs.test_glossary import exists

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
MIN_QUESTIONS = 10
# Pages on the current code; the roadmap and the comparison of readability also name former code.
OTHER_PAGES = [
    ROOT / "README.md",
    *(
        page
        for page in sorted((ROOT / "docs").rglob("*.md"))
        if page.name not in ("ROADMAP.md", "READABILITY.md")
    ),
]
SOURCE_FOLDERS = (
    "benchmarks",
    "cometdoor",
    "examples",
    "simulation",
    "standins",
    "stories",
    "tests",
    "tools",
)


def section(page: str, title: str) -> str:
    """Return the text under a second-level heading."""
    match = re.search(rf"^## {re.escape(title)}\n(.*?)(?=^## |\Z)", page, re.MULTILINE | re.DOTALL)
    assert match is not None, f"no section {title!r}"
    return match[1]


def table_rows(text: str) -> list[list[str]]:
    """Return the cells of the rows of the text's only table, without the header."""
    lines = [line for line in text.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines[2:]]


def dotted_names(text: str) -> list[str]:
    """Return names in backticks that begin with the package's name."""
    return re.findall(r"`(cometdoor\.[^`]*)`", text)


def layers_of_contract() -> list[set[str]]:
    """Return the packages of each layer, the highest layer first."""
    contracts = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["importlinter"]["contracts"]
    (contract,) = [contract for contract in contracts if contract["id"] == "layers"]
    return [set(re.split(r"\s*[|:]\s*", layer)) for layer in contract["layers"]]


def describe_lower_layers(number: int, count: int) -> str:
    if number == count:
        return "nothing"
    return f"layer {count}" if number == count - 1 else f"layers {number + 1} to {count}"


def test_each_dotted_name_on_the_page_exists() -> None:
    names = dotted_names(PAGE)
    assert names
    assert [name for name in names if not exists(name)] == []


@pytest.mark.parametrize("page", OTHER_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_each_dotted_name_on_other_pages_exists(page: Path) -> None:
    assert [name for name in dotted_names(page.read_text()) if not exists(name)] == []


@pytest.mark.parametrize("page", OTHER_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_each_source_file_named_on_other_pages_exists(page: Path) -> None:
    files = {
        str(path.relative_to(ROOT)) for folder in SOURCE_FOLDERS for path in (ROOT / folder).rglob("*.py")
    }
    named = re.findall(r"`([\w/]+\.py)`", page.read_text())
    assert [name for name in named if not any(f"/{file}".endswith(f"/{name}") for file in files)] == []


def test_the_table_of_packages_is_the_contract_of_layers() -> None:
    rows = table_rows(section(PAGE, "Packages"))
    layers = layers_of_contract()
    stated = [
        {row[1].strip("`") for row in rows if row[0] == str(number)} for number in range(1, len(layers) + 1)
    ]
    assert stated == layers
    assert len(rows) == sum(map(len, layers))  # no package is listed twice
    for number, _, responsibility, may_import in rows:
        assert responsibility
        assert may_import == describe_lower_layers(int(number), len(layers))


def test_each_question_is_answered_by_a_module_or_a_function() -> None:
    rows = table_rows(section(PAGE, "Questions on call"))
    assert len(rows) >= MIN_QUESTIONS
    assert [question for question, answer in rows if not dotted_names(answer)] == []


def test_each_program_of_the_deployment_stands_in_the_table_of_programs() -> None:
    commands = " ".join(row[0] for row in table_rows(section(PAGE, "Programs")))
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    assert roles
    assert [role for role in roles if f"cometdoor {role}" not in commands] == []


@pytest.mark.parametrize(
    ("text", "names"),
    [
        (
            "see `cometdoor.wire` and `cometdoor.wire.nothing()`",
            ["cometdoor.wire", "cometdoor.wire.nothing()"],
        ),
        ("the command `cometdoor`, `cometdoor/wire` and `python -m cometdoor`", []),
    ],
)
def test_dotted_names_are_read_as_they_stand_in_backticks(text: str, names: list[str]) -> None:
    assert dotted_names(text) == names
