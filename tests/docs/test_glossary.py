"""Each name in the code column of the glossary exists."""

from __future__ import annotations

import ast
import importlib
import inspect
import pkgutil
import re
import textwrap
from pathlib import Path

import msgspec
import pytest

ROOT = Path(__file__).parent.parent.parent
GLOSSARY = ROOT / "docs" / "GLOSSARY.md"
COLUMNS = ["pages' word", "term", "code"]


def read_tables(page: str) -> list[list[str]]:
    """Return the rows of the page's tables, all of which have the glossary's columns."""
    rows: list[list[str]] = []
    for table in re.findall(r"(?:^\|.*\n?)+", page, re.MULTILINE):
        cells = [
            [cell.strip().replace(r"\|", "|") for cell in re.split(r"(?<!\\)\|", line.strip())[1:-1]]
            for line in table.splitlines()
        ]
        assert [cell.lower() for cell in cells[0]] == COLUMNS, f"a table has the columns {cells[0]}"
        assert all(re.fullmatch(r":?-+:?", cell) for cell in cells[1])
        rows += cells[2:]
    return rows


def code_names(row: list[str]) -> list[str]:
    """Return the dotted paths in a code column, separated by commas."""
    assert len(row) == len(COLUMNS), row
    assert all(row), f"an empty cell in {row}"
    names = [re.fullmatch(r"`(\w+(?:\.\w+)*)`", part.strip()) for part in row[2].split(",")]
    assert all(names), f"the code column is not a list of dotted paths in backticks: {row}"
    return [name[1] for name in names if name is not None]


def has_member(owner: object, name: str) -> bool:
    """Return whether a class has a member, including fields without default and attributes set in methods."""
    if hasattr(owner, name):
        return True
    if not inspect.isclass(owner):
        return False
    for cls in owner.__mro__[:-1]:
        if name in inspect.get_annotations(cls):
            return True
        try:
            tree = ast.parse(textwrap.dedent(inspect.getsource(cls)))
        except (OSError, TypeError):
            continue  # a library's class that is not written in Python
        for node in ast.walk(tree):
            match node:
                case ast.Attribute(value=ast.Name(id="self"), attr=attribute, ctx=ast.Store()):
                    if attribute == name:
                        return True
                case _:
                    pass
    return False


def exists(path: str) -> bool:
    """Return whether a path names a module, class, function, attribute or constant of the repository."""
    names = path.split(".")
    if not (ROOT / names[0] / "__init__.py").exists():
        return False
    target: object = importlib.import_module(names[0])
    for depth, name in enumerate(names[1:], 1):
        if inspect.ismodule(target) and hasattr(target, "__path__") and not hasattr(target, name):
            if name not in {module.name for module in pkgutil.iter_modules(target.__path__)}:
                return False
            target = importlib.import_module(".".join(names[: depth + 1]))
        elif depth == len(names) - 1:
            return has_member(target, name)
        elif hasattr(target, name):
            target = getattr(target, name)
        else:
            return False
    return True


def test_each_name_in_the_code_column_exists() -> None:
    rows = read_tables(GLOSSARY.read_text())
    assert rows
    missing = [name for row in rows for name in code_names(row) if not exists(name)]
    assert missing == []


class ExampleMessage(msgspec.Struct, array_like=True):
    field: int


class Example:
    with_default = 1
    without_default: int

    def __init__(self) -> None:
        self.set_by_a_method = 1

    def method(self) -> None: ...


@pytest.mark.parametrize(
    "path",
    [
        "cometdoor",
        "cometdoor.wire",
        "cometdoor.__main__.DAEMON_ROLES",
        "cometdoor.__main__.main",
        "tests.docs.test_glossary.Example.with_default",
        "tests.docs.test_glossary.Example.without_default",
        "tests.docs.test_glossary.Example.set_by_a_method",
        "tests.docs.test_glossary.Example.method",
        "tests.docs.test_glossary.ExampleMessage.field",
    ],
)
def test_modules_classes_functions_attributes_and_constants_are_found(path: str) -> None:
    assert exists(path)


@pytest.mark.parametrize(
    "path",
    [
        "nothing",
        "json.loads",
        "cometdoor.nothing",
        "cometdoor.wire.nothing.Frame",
        "cometdoor.__main__.nothing",
        "tests.docs.test_glossary.Nothing.method",
        "tests.docs.test_glossary.ExampleMessage.nothing",
        "tests.docs.test_glossary.Example.nothing",
    ],
)
def test_what_is_not_there_is_not_found(path: str) -> None:
    assert not exists(path)


@pytest.mark.parametrize(
    "page",
    [
        "| word | code |\n|---|---|\n| a | `cometdoor` |\n",
        "| pages' word | term | code |\n|---|---|---|\n| a | b | cometdoor |\n",
        "| pages' word | term | code |\n|---|---|---|\n| a | b | |\n",
        "| pages' word | term | code |\n|---|---|---|\n| a | `cometdoor` |\n",
        "| pages' word | term | code |\n|---|---|---|\n| a | b | `cometdoor`, and more |\n",
    ],
)
def test_a_table_that_has_no_code_column_of_dotted_paths_is_refused(page: str) -> None:
    with pytest.raises(AssertionError):
        for row in read_tables(page):
            code_names(row)
