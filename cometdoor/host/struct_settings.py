"""Settings of the proxy for services and of the planners as msgspec structs.

Unknown keys are reported as problems. docs/design/services.md has the reasons for this library.
"""

from __future__ import annotations

import difflib
import math
from collections.abc import Callable, Iterable, Iterator
from typing import Annotated, Any, Literal, TypeVar, get_args, get_origin

import msgspec
from msgspec import Meta, Struct

from cometdoor.host.address import parse_address
from cometdoor.host.settings_validation import FieldProblem, ValueChecker, convert_checked, join_path

MAX_PROBLEM_CHARACTERS = 300
VALUE_DESCRIPTIONS: dict[type, str] = {dict: "a table", list: "a list", str: "a string", bool: "a boolean"}
TYPE_DESCRIPTIONS: dict[type, str] = {
    str: "a string",
    float: "a number",
    int: "an integer",
    bool: "a boolean",
}

StructT = TypeVar("StructT", bound=Struct)

Positive = Annotated[float, Meta(gt=0)]
Name = Annotated[str, Meta(pattern=r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")]


class SlowStartEntry(Struct, frozen=True, kw_only=True):
    """Behaviour of servers that have just started; if left out, they can take full load immediately."""

    initial_share: Annotated[float, Meta(gt=0, le=1)] = msgspec.field(name="from")  # share of the capacity
    warm_up_ms: Positive
    # A starting server collapses if it is sent this multiple of its capacity for `overload_tolerance_ms`.
    overload_factor: Positive = 3.0
    overload_tolerance_ms: Positive = msgspec.field(default=3_000.0, name="fall_ms")


def find_address_problems(path: str, text: str, min_port: int = 1) -> Iterator[FieldProblem]:
    """Yield a problem if a string is not a valid HOST:PORT address."""
    try:
        parse_address(text, min_port)
    except ValueError as error:
        yield path, str(error)


def convert(
    content: dict[str, Any],
    expected_type: type[StructT],
    file: str,
    find_problems: Callable[[StructT], Iterable[FieldProblem]],
) -> StructT:
    """Check plain data and convert it to a struct.

    Raises
    ------
    SettingsError
        With every problem found.
    """
    return convert_checked(
        content,
        StructChecker(),
        expected_type,
        lambda checked: msgspec.convert(checked, expected_type),
        file=file,
        find_problems=find_problems,
    )


class StructChecker(ValueChecker):
    """Checks values against structs and the types and constraints of their fields."""

    def describe(self, value: object) -> str:
        """Return a description of a value's type for operators."""
        return VALUE_DESCRIPTIONS.get(type(value), "a number")

    def check(self, value: object, expected_type: Any, path: str) -> None:
        """Add the problems of a value and of all values in it."""
        origin, arguments = get_origin(expected_type), get_args(expected_type)
        inner_type = next((item for item in arguments if item is not type(None)), None)
        if inner_type is not None and type(None) in arguments:
            self.check(value, inner_type, path)
        elif origin is list:
            self.check_list(value, arguments[0], path)
        elif origin is dict:
            self.check_table(value, arguments[1], path)
        elif isinstance(expected_type, type) and issubclass(expected_type, Struct):
            self._check_struct(value, expected_type, path)
        elif origin is Literal:
            if value not in arguments:
                self.problems.append(
                    (path, f"{_describe_type(expected_type)} is expected; it is {value!r}"),
                )
        elif isinstance(value, float) and not math.isfinite(value):
            self.problems.append((path, "a finite number is expected"))
        else:
            try:
                msgspec.convert(value, expected_type)
            except msgspec.ValidationError as error:
                text = f"{_plain_message(str(error))}; it is {value!r}"
                self.problems.append((path, text[:MAX_PROBLEM_CHARACTERS]))

    def _check_struct(self, value: object, expected_type: type[Struct], path: str) -> None:
        if not self.is_table(value, path):
            return
        fields_by_key = {field.encode_name: field for field in msgspec.structs.fields(expected_type)}
        for key in value.keys() - fields_by_key.keys():
            similar_keys = difflib.get_close_matches(key, fields_by_key, 1)
            hint = (
                f"did you mean {similar_keys[0]}?"
                if similar_keys
                else f"valid keys: {', '.join(fields_by_key)}"
            )
            self.problems.append((join_path(path, key), f"unknown key; {hint}"))
        for key, field in fields_by_key.items():
            if key in value:
                self.check(value[key], field.type, join_path(path, key))
            elif field.required:
                self.problems.append(
                    (join_path(path, key), f"missing; {_describe_type(field.type)} is expected"),
                )


def _describe_type(expected_type: Any) -> str:
    if get_origin(expected_type) is Literal:
        return "one of " + ", ".join(map(str, get_args(expected_type)))
    expected_type = get_args(expected_type)[0] if get_origin(expected_type) is Annotated else expected_type
    if get_origin(expected_type) is list:
        return "a list"
    return TYPE_DESCRIPTIONS.get(expected_type, "a table")


def _plain_message(text: str) -> str:
    """Return msgspec's message without quotes and path, starting with a lower-case letter."""
    message = text.replace("`", "").split(" - at ")[0]
    return message[:1].lower() + message[1:]
