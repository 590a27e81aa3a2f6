"""Operators' files: TOML, one checked schema, all errors at once, each with its place.

A schema is a set of msgspec structs. msgspec stops at the first error, so the file is walked struct by
struct and each value converted by itself (docs/design/services.md has what was weighed).
"""

from __future__ import annotations

import difflib
import math
import tomllib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar, get_args, get_origin

import msgspec
from msgspec import Struct

MAX_FILE = 8 << 20  # bytes; a hundred services with a hundred servers each are under one

StructT = TypeVar("StructT", bound=Struct)


@dataclass(frozen=True, slots=True)
class Problem:
    file: str
    path: str  # of keys, with places in lists counted from 0; empty for the file as a whole
    text: str  # what is wrong and what would be right

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.text}" if self.path else f"{self.file}: {self.text}"


class BadSettings(Exception):
    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)


Errors = list[tuple[str, str]]  # key path and text


def read_bytes(path: Path) -> bytes:
    """Raises BadSettings."""
    try:
        if path.stat().st_size > MAX_FILE:
            raise BadSettings([Problem(str(path), "", f"larger than {MAX_FILE} bytes")])
        return path.read_bytes()
    except OSError as problem:
        raise BadSettings([Problem(str(path), "", problem.strerror or str(problem))]) from problem


def read_content(raw: bytes, file: str) -> dict[str, Any]:
    """Raises BadSettings."""
    try:
        return tomllib.loads(raw.decode())
    except UnicodeDecodeError as problem:
        raise BadSettings([Problem(file, "", f"byte {problem.start} is not UTF-8")]) from problem
    except (tomllib.TOMLDecodeError, RecursionError) as problem:
        raise BadSettings([Problem(file, "", f"no TOML: {problem}")]) from problem


def convert(
    content: dict[str, Any],
    kind: type[StructT],
    file: str,
    check_meaning: Callable[[StructT], Iterable[tuple[str, str]]],
) -> StructT:
    """Raises BadSettings with every problem that the file has."""
    errors: Errors = []
    check_struct(content, kind, "", errors)
    settings = None
    if not errors:
        settings = msgspec.convert(content, kind)
        errors.extend(check_meaning(settings))
    if settings is None or errors:
        raise BadSettings([Problem(file, *error) for error in errors])
    return settings


def check_struct(value: object, kind: type[Struct], path: str, errors: Errors) -> None:
    if not isinstance(value, dict):
        errors.append((path, f"a table is needed, not {_name(value)}"))
        return
    known = {info.encode_name: info for info in msgspec.structs.fields(kind)}
    for key in value.keys() - known.keys():
        near = difflib.get_close_matches(key, known, 1)
        hint = f"did you mean {near[0]}?" if near else f"known here: {', '.join(known)}"
        errors.append((_join(path, key), f"unknown key; {hint}"))
    for key, info in known.items():
        if key in value:
            check_value(value[key], info.type, _join(path, key), errors)
        elif info.required:
            errors.append((_join(path, key), f"missing; {_wanted(info.type)} is needed"))


def check_value(value: object, kind: Any, path: str, errors: Errors) -> None:
    origin, arguments = get_origin(kind), get_args(kind)
    inner = next((part for part in arguments if part is not type(None)), None)
    if inner is not None and type(None) in arguments:
        check_value(value, inner, path, errors)
    elif origin is list:
        if not isinstance(value, list):
            errors.append((path, f"a list is needed, not {_name(value)}"))
            return
        for place, part in enumerate(value):
            check_value(part, arguments[0], f"{path}.{place}", errors)
    elif origin is dict:
        if not isinstance(value, dict):
            errors.append((path, f"a table is needed, not {_name(value)}"))
            return
        for key, part in value.items():
            check_value(part, arguments[1], _join(path, key), errors)
    elif isinstance(kind, type) and issubclass(kind, Struct):
        check_struct(value, kind, path, errors)
    elif origin is Literal:
        if value not in arguments:
            errors.append((path, f"{_wanted(kind)} is needed; it is {value!r}"))
    elif isinstance(value, float) and not math.isfinite(value):
        errors.append((path, "a finite number is needed"))
    else:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as problem:
            errors.append((path, f"{_plain(str(problem))}; it is {value!r}"[:300]))


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _name(value: object) -> str:
    return {dict: "a table", list: "a list", str: "a text", bool: "a truth value"}.get(
        type(value), "a number"
    )


def _wanted(kind: Any) -> str:
    if get_origin(kind) is Literal:
        return "one of " + ", ".join(map(str, get_args(kind)))
    kind = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    if get_origin(kind) is list:
        return "a list"
    return {str: "a text", float: "a number", int: "a whole number", bool: "a truth value"}.get(
        kind, "a table"
    )


def _plain(text: str) -> str:
    return text.replace("`", "").split(" - at ")[0][:1].lower() + text.replace("`", "").split(" - at ")[0][1:]
