"""Validation of settings files and configurations: all problems are reported at once, each with its path.

Libraries that convert plain data to typed objects stop at the first problem, so a file's content is checked
field by field before it is converted. The parts that depend on the library are in `dataclass_settings`
(mashumaro, for the mesh) and `struct_settings` (msgspec, for the proxy for services).
"""

from __future__ import annotations

import tomllib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeGuard, TypeVar

from cometdoor.errors import CometdoorError

MAX_FILE_BYTES = 8 << 20  # a hundred services with a hundred servers each are under one MiB

# The range of whole numbers in msgpack (MessagePack specification, "int format family"), in which values are
# stored and sent.
MIN_WHOLE_NUMBER, MAX_WHOLE_NUMBER = -(1 << 63), (1 << 64) - 1

SettingsT = TypeVar("SettingsT")

FieldProblem = tuple[str, str]
"""Path of keys, with positions in lists counted from 0, and a description of the problem."""


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One problem of a settings file.

    Attributes
    ----------
    file : str
        Path of the file, or the name of another source, such as an environment variable.
    path : str
        Path of keys, with positions in lists counted from 0; empty for the file as a whole.
    text : str
        What is wrong, and what is expected.
    """

    file: str
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.text}" if self.path else f"{self.file}: {self.text}"


class SettingsError(CometdoorError):
    """Settings can't be read or are not valid; `problems` has every problem found."""

    step = "read settings"

    def __init__(self, problems: Sequence[SettingsProblem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)
        self.peer = problems[0].file if problems else ""


def read_bytes(path: Path) -> bytes:
    """Read a settings file.

    Raises
    ------
    SettingsError
        If it can't be read or is larger than `MAX_FILE_BYTES`.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise SettingsError([SettingsProblem(str(path), "", f"larger than {MAX_FILE_BYTES} bytes")])
        return path.read_bytes()
    except OSError as problem:
        raise SettingsError([SettingsProblem(str(path), "", problem.strerror or str(problem))]) from problem


def parse_toml(raw: bytes, file: str) -> dict[str, Any]:
    """Parse the content of a settings file.

    Raises
    ------
    SettingsError
        If it is not TOML in UTF-8.
    """
    try:
        return tomllib.loads(raw.decode())
    except UnicodeDecodeError as problem:
        raise SettingsError([SettingsProblem(file, "", f"byte {problem.start} is not UTF-8")]) from problem
    except (tomllib.TOMLDecodeError, RecursionError) as problem:
        raise SettingsError([SettingsProblem(file, "", f"not valid TOML: {problem}")]) from problem


def join_path(path: str, key: str) -> str:
    """Return the path of a key in the table at `path`."""
    return f"{path}.{key}" if path else key


class ValueChecker(ABC):
    """Checks plain data against the types that it will be converted to, and collects the problems."""

    def __init__(self) -> None:
        self.problems: list[FieldProblem] = []

    @abstractmethod
    def check(self, value: object, expected_type: Any, path: str) -> None:
        """Add the problems of a value and of all values in it."""

    @abstractmethod
    def describe(self, value: object) -> str:
        """Return a description of a value's type for operators, such as "a list"."""

    def check_list(self, value: object, item_type: Any, path: str) -> None:
        """Add the problems of a value that must be a list."""
        if not isinstance(value, list):
            self.problems.append((path, f"a list is needed, not {self.describe(value)}"))
            return
        for index, item in enumerate(value):
            self.check(item, item_type, f"{path}.{index}")

    def check_table(self, value: object, item_type: Any, path: str) -> None:
        """Add the problems of a value that must be a table with any keys."""
        if self.is_table(value, path):
            for key, item in value.items():
                self.check(item, item_type, join_path(path, key))

    def is_table(self, value: object, path: str) -> TypeGuard[dict[str, object]]:
        """Return whether a value is a table; add a problem if it is not."""
        if isinstance(value, dict):
            return True
        self.problems.append((path, f"a table is needed, not {self.describe(value)}"))
        return False


def convert_checked(
    content: object,
    checker: ValueChecker,
    expected_type: type[SettingsT],
    build: Callable[[Any], SettingsT],
    *,
    file: str,
    find_problems: Callable[[SettingsT], Iterable[FieldProblem]],
) -> SettingsT:
    """Check plain data and convert it.

    Parameters
    ----------
    content
        Plain data, as TOML and JSON parsers return it.
    checker
        Checks the data against `expected_type`; must be new, because it collects the problems.
    expected_type
        The type of the result.
    build
        Converts the data; called only if the checker found no problems.
    file
        Name of the file, for the problems.
    find_problems
        Returns the problems of the converted settings that their types don't exclude.

    Raises
    ------
    SettingsError
        With every problem found.
    """
    checker.check(content, expected_type, "")
    problems = checker.problems
    settings = None
    if not problems:
        settings = build(content)
        problems.extend(find_problems(settings))
    if settings is None or problems:
        raise SettingsError([SettingsProblem(file, *problem) for problem in problems])
    return settings
