"""The operators' file: all errors are reported together, each with its location and what is valid."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.host.settings_validation import SettingsError, SettingsProblem
from cometdoor.services.settings import load_settings, read_settings

EXAMPLE = Path(__file__).parents[2] / "deploy" / "services.example.toml"
VALID_SETTINGS = """
[[listener]]
address = "127.0.0.1:8080"
[[service]]
name = "a"
routes = [{host = "a.org"}]
servers = [{name = "a1", address = "127.0.0.1:1"}]
[service.classes.look]
effect = "safe"
aim_ms = 1
deadline_ms = 2
"""


def problems(text: str | bytes) -> dict[str, str]:
    with pytest.raises(SettingsError) as caught:
        read_settings(text.encode() if isinstance(text, str) else text, "f.toml")
    assert all(
        problem.file == "f.toml" and str(problem).startswith("f.toml: ") for problem in caught.value.problems
    )
    return {problem.path: problem.text for problem in caught.value.problems}


def test_the_example_file_is_valid() -> None:
    settings = load_settings(EXAMPLE)
    assert [service.name for service in settings.service] == ["search", "reserve"]
    assert len(settings.routes()) == 3


def test_ten_errors_of_the_schema_are_reported_together() -> None:
    reported = problems("""
socket = 100
sockets = "many"
[[listener]]
adress = "127.0.0.1:8080"
[[service]]
name = "a b"
routes = [{host = 5}]
servers = [{name = "s", address = "x:1", weight = -1}, {name = "t"}]
retry_after = "yes"
[service.limits]
open = 0
[service.classes.look]
effect = "idempotent"
aim_ms = nan
[service.cold]
from = 2.0
warm_up_ms = 1
""")
    assert reported == {
        "socket": "unknown key; did you mean sockets?",
        "sockets": "expected int, got str; it is 'many'",
        "listener.0.adress": "unknown key; did you mean address?",
        "listener.0.address": "missing; a string is expected",
        "service.0.name": reported["service.0.name"],
        "service.0.routes.0.host": "expected str, got int; it is 5",
        "service.0.servers.0.weight": "expected float > 0.0; it is -1",
        "service.0.servers.1.address": "missing; a string is expected",
        "service.0.retry_after": "expected bool, got str; it is 'yes'",
        "service.0.limits.open": "expected int >= 1; it is 0",
        "service.0.classes.look.effect": "one of safe, keyed, unsafe is expected; it is 'idempotent'",
        "service.0.classes.look.aim_ms": "a finite number is expected",
        "service.0.classes.look.deadline_ms": "missing; a number is expected",
        "service.0.cold.from": "expected float <= 1.0; it is 2.0",
    }


def test_ten_errors_across_values_are_reported_together() -> None:
    reported = problems("""
up = "/health"
sockets = 64
[fleet]
proxies = 2
place = 2
[[listener]]
address = "here"
[[listener]]
address = "here"
[[service]]
name = "a"
routes = [{host = "x.org"}, {host = "X.ORG.", class = "look"},
          {host = "x.org", path = "/health", class = "no"}]
servers = [{name = "s", address = "h:1"}, {name = "s", address = "h:1"}, {name = "t", address = "h"}]
limits = {guaranteed_sockets = 500}
[service.classes.look]
effect = "keyed"
aim_ms = 3
deadline_ms = 2
[service.classes.charge]
effect = "unsafe"
aim_ms = 1
deadline_ms = 2
key_ttl_ms = 5
[[service]]
name = "a"
routes = [{host = "x.org"}]
[service.classes]
""")
    assert set(reported) == {
        "fleet.place",
        "listener.0.address",
        "listener.1.address",
        "service.0.classes.look.aim_ms",
        "service.0.classes.look.key_ttl_ms",
        "service.0.classes.charge.key_ttl_ms",
        "service.0.servers.1",
        "service.0.servers.2.address",
        "service.0.routes.2.class",
        "service.0.routes.2",
        "service.1.name",
        "service.1",
        "service.1.classes",
        "service.1.routes.0",
        "sockets",
    }
    assert reported["service.1.routes.0"] == (
        "x.org / to a matches the same requests as service.0.routes.0, x.org / to a; "
        "one of the two must be more specific"
    )
    assert "500" in reported["sockets"] and reported["service.0.routes.2.class"].endswith(
        "it has look, charge"
    )


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("a = [", "not valid TOML: "),
        ("a = 1\na = 2", "not valid TOML: "),
        (b"\xff", "byte 0 is not UTF-8"),
        ("", "missing"),
    ],
)
def test_invalid_toml_is_one_error_with_its_position(text: str | bytes, expected_text: str) -> None:
    assert all(value.startswith(expected_text) for value in problems(text).values())


def test_an_unreadable_file_is_an_error_of_the_file(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load_settings(tmp_path / "none.toml")
    assert caught.value.problems == (
        SettingsProblem(str(tmp_path / "none.toml"), "", "No such file or directory"),
    )


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ('routes = [{host = "a.org"}]', "service.0.routes"),
        ('host = "a.org"', "service.0.routes.0.host"),
        ('servers = [{name = "a1", address = "127.0.0.1:1"}]', "service.0"),
    ],
)
def test_each_problem_is_reported_at_its_path(change: str, path: str) -> None:
    replaced = {
        "service.0.routes": "routes = []",
        "service.0.routes.0.host": 'host = "a:1"',
        "service.0": 'discovery = "h:1"\n' + change,
    }[path]
    assert path in problems(VALID_SETTINGS.replace(change, replaced))


@given(
    st.recursive(
        st.one_of(st.integers(-5, 5), st.booleans(), st.sampled_from(["a", "safe", "/x", "h:1"])),
        lambda child: st.one_of(
            st.lists(child, max_size=3).map(lambda items: f"[{', '.join(map(str, items))}]"),
            st.dictionaries(st.sampled_from(["name", "routes", "classes", "servers"]), child, max_size=3),
        ),
        max_leaves=6,
    )
)
def test_no_toml_value_raises_another_error(value: object) -> None:
    def text(item: object) -> str:
        if isinstance(item, dict):
            return "{" + ", ".join(f"{key} = {text(child)}" for key, child in item.items()) + "}"
        if isinstance(item, bool):
            return str(item).lower()
        return str(item) if isinstance(item, int) or str(item).startswith("[") else f'"{item}"'

    with pytest.raises(SettingsError):
        read_settings(f"service = {text(value)}\nlistener = {text(value)}".encode(), "f.toml")
