"""Configurations are read to the same values as by commit 4033f28 (fixtures/documents.json).

`values` are those under the names of the body, `positions` the same in the order in which fields are
declared. The fixture was written by that commit's own code.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from cometdoor.configuration.document import parse
from cometdoor.configuration.routes import Routes
from tests.golden import load, problem_paths, to_plain

FIXTURES = Path(__file__).parent / "fixtures"
FIXTURE = load(FIXTURES / "documents.json")


def raw(name: str) -> bytes:
    return (FIXTURES / f"{name}.json").read_bytes()


@pytest.mark.parametrize("name", FIXTURE["files"])
def test_a_configuration_is_parsed_to_the_same_values(name: str) -> None:
    document = parse(raw(name))
    assert document.to_dict() == FIXTURE["files"][name]["values"]
    assert to_plain(document) == FIXTURE["files"][name]["positions"]


@pytest.mark.parametrize("name", FIXTURE["faults"])
def test_an_invalid_configuration_has_the_same_problems(name: str) -> None:
    assert problem_paths(lambda: parse(raw(name))) == FIXTURE["faults"][name]


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("a.example", "/x/1", "/x/"),
        ("A.EXAMPLE:8080", "/x/y/1", "/x/y/"),
        ("a.example", "/k/", "/k/"),
        ("a.example", "/k", "/"),
        ("a.example", "/", "/"),
        ("b.example", "/x/", None),
        ("c.example", "/x/", None),
    ],
)
def test_a_request_takes_the_same_route(host: str, path: str, prefix: str | None) -> None:
    route = Routes(parse(raw("all-keys"))).find(host, path)
    assert (None if route is None else route.path_prefix) == prefix
