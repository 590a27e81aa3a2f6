"""Settings and configurations of the mesh's processes as mashumaro dataclasses.

mashumaro converts the string "5" to a number, so every value is checked before it is converted. Unknown keys
are ignored, because newer versions of these documents may have more keys.
"""

from __future__ import annotations

import dataclasses
import math
import types
from collections.abc import Callable, Iterable
from functools import cache
from typing import Any, NewType, TypeVar, Union, cast, get_args, get_origin, get_type_hints

from mashumaro import DataClassDictMixin
from mashumaro.config import BaseConfig

from cometdoor.host.settings_validation import (
    MAX_WHOLE_NUMBER,
    MIN_WHOLE_NUMBER,
    FieldProblem,
    ValueChecker,
    convert_checked,
    join_path,
)

UnboundedInt = NewType("UnboundedInt", int)
"""Type of fields with whole numbers of any size; those of type int have 64 bits."""

TYPE_DESCRIPTIONS: dict[type, str] = {
    dict: "a table",
    list: "a list",
    str: "a text",
    bool: "a truth value",
    type(None): "nothing",
    int: "a whole number",
    float: "a number",
}


class CheckedModel(DataClassDictMixin):
    """Base class of dataclasses for a settings file, a request body, or a table in one of these."""

    class Config(BaseConfig):
        """Makes serialization use the keys of the file, which have hyphens."""

        serialize_by_alias = True


ModelT = TypeVar("ModelT", bound=CheckedModel)


def key_of(field: dataclasses.Field[Any]) -> str:
    """Return the key of a dataclass field in the file."""
    return str(field.metadata.get("alias", field.name))


def aliased(alias: str, **options: Any) -> Any:
    """Return a dataclass field with the key `alias`; `options` are passed to `dataclasses.field`."""
    return dataclasses.field(metadata={"alias": alias}, **options)


def convert(
    content: object,
    expected_type: type[ModelT],
    file: str,
    find_problems: Callable[[ModelT], Iterable[FieldProblem]] = lambda model: (),
) -> ModelT:
    """Check plain data and convert it to a dataclass.

    Parameters
    ----------
    content
        Plain data, as TOML and JSON parsers return it.
    expected_type
        The dataclass.
    file
        Name of the file, for the problems.
    find_problems
        Returns the problems of the converted data that its types don't exclude.

    Raises
    ------
    SettingsError
        With every problem found.
    """
    return convert_checked(
        content,
        DataclassChecker(),
        expected_type,
        expected_type.from_dict,
        file=file,
        find_problems=find_problems,
    )


@cache
def _type_hints(expected_type: type) -> dict[str, Any]:
    return get_type_hints(expected_type)


def is_finite_number(value: object) -> bool:
    """Return whether a value is a number that a float can contain."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:  # a whole number beyond the range of floats
        return False


def is_unicode(text: str) -> bool:
    """Return whether a text can be encoded; JSON can contain surrogates that stand alone."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


class DataclassChecker(ValueChecker):
    """Checks values against dataclasses and the types of their fields."""

    def describe(self, value: object) -> str:
        """Return a description of a value's type for operators."""
        return TYPE_DESCRIPTIONS.get(type(value), "a value of another type")

    def check(self, value: object, expected_type: Any, path: str) -> None:
        """Add the problems of a value and of all values in it."""
        origin, arguments = get_origin(expected_type), get_args(expected_type)
        if origin in (Union, types.UnionType):
            if value is not None:
                inner_type = next(argument for argument in arguments if argument is not type(None))
                self.check(value, inner_type, path)
        elif dataclasses.is_dataclass(expected_type):
            self._check_dataclass(value, cast(type, expected_type), path)
        elif origin in (list, tuple):
            self.check_list(value, arguments[0], path)
        elif origin is dict:
            self.check_table(value, arguments[1], path)
        elif expected_type is float:
            if not is_finite_number(value):
                self._add_mismatch(path, "a finite number", value)
        elif expected_type in (int, UnboundedInt):
            if isinstance(value, bool) or not isinstance(value, int):
                self._add_mismatch(path, "a whole number", value)
            elif expected_type is int and not MIN_WHOLE_NUMBER <= value <= MAX_WHOLE_NUMBER:
                self.problems.append((path, f"it is not between {MIN_WHOLE_NUMBER} and {MAX_WHOLE_NUMBER}"))
        elif expected_type is str and isinstance(value, str):
            if not is_unicode(value):
                self.problems.append((path, "it is not Unicode: a surrogate stands alone"))
        elif (
            isinstance(expected_type, type)
            and expected_type is not object
            and not isinstance(value, expected_type)
        ):
            self._add_mismatch(path, "a text" if expected_type is str else expected_type.__name__, value)

    def _check_dataclass(self, value: object, expected_type: type, path: str) -> None:
        if not self.is_table(value, path):
            return
        hints = _type_hints(expected_type)
        for field in dataclasses.fields(expected_type):
            key = key_of(field)
            if key in value:
                self.check(value[key], hints[field.name], join_path(path, key))
            elif field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
                self.problems.append((join_path(path, key), "missing"))

    def _add_mismatch(self, path: str, expected: str, value: object) -> None:
        self.problems.append((path, f"{expected} is needed, not {self.describe(value)}"))
