"""Settings and configurations as mashumaro dataclasses: every fault at once, each with its place.

mashumaro stops at the first fault and takes "5" for a number, so content is walked field by field before it
is converted. Fields that a class does not know are passed by: what is read here may gain new ones.
"""

from __future__ import annotations

import dataclasses
import math
import types
from collections.abc import Callable, Iterable
from functools import cache
from typing import Any, TypeVar, Union, cast, get_args, get_origin, get_type_hints

from mashumaro import DataClassDictMixin
from mashumaro.config import BaseConfig

from cometdoor.host.schema import BadSettings, Problem

Faults = list[tuple[str, str]]  # place and text


class Content(DataClassDictMixin):
    """A part of a file or a body; names are written with hyphens there."""

    class Config(BaseConfig):
        serialize_by_alias = True


ContentT = TypeVar("ContentT", bound=Content)


def name_of(field: dataclasses.Field[Any]) -> str:
    return str(field.metadata.get("alias", field.name))


def named(alias: str, **more: Any) -> Any:
    """A field that is written under another name."""
    return dataclasses.field(metadata={"alias": alias}, **more)


def convert(
    content: object,
    kind: type[ContentT],
    file: str,
    check_meaning: Callable[[ContentT], Iterable[tuple[str, str]]] = lambda whole: (),
) -> ContentT:
    """Raises BadSettings with every fault that there is."""
    faults: Faults = []
    _walk(content, kind, "", faults)
    whole = None
    if not faults:
        whole = kind.from_dict(cast(dict[str, Any], content))
        faults.extend(check_meaning(whole))
    if whole is None or faults:
        raise BadSettings([Problem(file, *fault) for fault in faults])
    return whole


@cache
def _hints(kind: type) -> dict[str, Any]:
    return get_type_hints(kind)


def _walk(value: object, kind: Any, place: str, faults: Faults) -> None:
    origin, arguments = get_origin(kind), get_args(kind)
    if origin in (Union, types.UnionType):
        if value is not None:
            _walk(value, next(one for one in arguments if one is not type(None)), place, faults)
    elif dataclasses.is_dataclass(kind):
        if not isinstance(value, dict):
            faults.append((place, f"a table is needed, not {_kind(value)}"))
            return
        hints = _hints(cast(type, kind))
        for field in dataclasses.fields(kind):
            name = name_of(field)
            there = f"{place}.{name}" if place else name
            if name in value:
                _walk(value[name], hints[field.name], there, faults)
            elif field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
                faults.append((there, "missing"))
    elif origin in (list, tuple):
        if not isinstance(value, list):
            faults.append((place, f"a list is needed, not {_kind(value)}"))
            return
        for index, part in enumerate(value):
            _walk(part, arguments[0], f"{place}.{index}", faults)
    elif origin is dict:
        if not isinstance(value, dict):
            faults.append((place, f"a table is needed, not {_kind(value)}"))
            return
        for key, part in value.items():
            _walk(part, arguments[1], f"{place}.{key}", faults)
    elif kind is float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            faults.append((place, f"a finite number is needed, not {_kind(value)}"))
    elif kind is int:
        if isinstance(value, bool) or not isinstance(value, int):
            faults.append((place, f"a whole number is needed, not {_kind(value)}"))
    elif isinstance(kind, type) and kind is not object and not isinstance(value, kind):
        faults.append((place, f"{'a text' if kind is str else kind.__name__} is needed, not {_kind(value)}"))


def _kind(value: object) -> str:
    return {
        dict: "a table",
        list: "a list",
        str: "a text",
        bool: "a truth value",
        type(None): "nothing",
        int: "a whole number",
        float: "a number",
    }.get(type(value), "that")
