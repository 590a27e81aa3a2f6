"""Routing of requests by host, path and class, and requests that are rejected as ambiguous."""

from __future__ import annotations

import string

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.services.request_targets import (
    PLAIN_PATH,
    InvalidPatternError,
    RoutingError,
    lenient_path_segments,
    normalize_host,
    parse_host_pattern,
    parse_path_prefix,
    path_segments,
    split_target,
)
from cometdoor.services.routing_table import MAX_CACHED_HOSTS, Route, RoutingTable, find_ambiguous_routes


def route(service: str, host: str = "", path: str = "/", cls: str | None = None) -> Route:
    return Route(service, parse_host_pattern(host), parse_path_prefix(path), cls, service)


TABLE = RoutingTable(
    [
        route("search", "search.example.org"),
        route("search-v2", "search.example.org", "/v2"),
        route("search-v2-x", "search.example.org", "/v2/x"),
        route("partner", "*.example.org"),
        route("deep", "*.deep.example.org"),
        route("pay", "pay.example.org", "/do", "charge"),
        route("book", "pay.example.org", "/do", "book"),
        route("rest", "pay.example.org", "/only", "charge"),
        route("mixed", "mixed.example.org", "/", "charge"),
        route("mixed-any", "mixed.example.org", "/"),
        route("default", "", "/open"),
    ]
)


def service_or_status(host: str, path: str, cls: str | None = None) -> str | int:
    try:
        return TABLE.find(host.encode("latin-1"), path.encode(), cls).service
    except RoutingError as problem:
        return problem.status


@pytest.mark.parametrize(
    ("host", "path", "cls", "service"),
    [
        ("search.example.org", "/", None, "search"),
        ("SEARCH.Example.ORG:8080", "/any/thing", None, "search"),
        ("search.example.org.", "/v1", None, "search"),
        ("search.example.org:", "/", None, "search"),
        ("search.example.org", "/v2", None, "search-v2"),
        ("search.example.org", "/v2/", None, "search-v2"),
        ("search.example.org", "/v2/x/y", None, "search-v2-x"),
        ("search.example.org", "/v22", None, "search"),
        ("search.example.org", "/%762", None, "search-v2"),  # an unnecessary escape
        ("a.example.org", "/", None, "partner"),
        ("a.b.example.org", "/", None, "partner"),
        ("a.deep.example.org", "/", None, "deep"),
        ("deep.example.org", "/", None, "partner"),  # a wildcard matches at least one label
        ("example.org", "/open/x", None, "default"),
        ("[::1]:80", "/open", None, "default"),
        ("127.0.0.1", "/open", None, "default"),
        ("xn--bcher-kva.example.org", "/", None, "partner"),
        ("pay.example.org", "/do/1", "charge", "pay"),
        ("pay.example.org", "/do/1", "book", "book"),
        ("pay.example.org", "/only", None, "rest"),
        ("mixed.example.org", "/", "charge", "mixed"),
        ("mixed.example.org", "/", "look", "mixed-any"),
        ("mixed.example.org", "/", None, "mixed-any"),
        # Each step is final: there is no fallback to a less specific route.
        ("pay.example.org", "/", None, 404),
        ("pay.example.org", "/do/1", "look", 404),
        ("pay.example.org", "/do/1", None, 400),
        ("elsewhere.org", "/", None, 404),
        ("elsewhere.org", "/opened", None, 404),
    ],
)
def test_the_closest_route_matches(host: str, path: str, cls: str | None, service: str | int) -> None:
    assert service_or_status(host, path, cls) == service


@pytest.mark.parametrize(
    "host",
    [
        "",
        ".",
        "a..b",
        "a b",
        "a/b",
        "user@a",
        "a:b",
        "a:99999",
        "a:1:2",
        "[::1",
        "::1",
        "a%41",
        "bücher.de",
        "-a.org",
        "a" * 64 + ".org",
        "a." * 127 + "org",
        "a\tb",
        "a,b",
        "[zz]",
    ],
)
def test_a_malformed_host_is_400(host: str) -> None:
    assert service_or_status(host, "/open") == 400


@pytest.mark.parametrize(
    "path",
    [
        "/v2/../v1",
        "/v2/%2e%2e/v1",
        "/v2/.%2E/v1",
        "/.",
        "/v2/./x",
        "/v2%2f..%2f..",
        "/v2%2Fx",
        "//v2",
        "/v2//x",
        "/v2\\x",
        "/v2%5Cx",
        "/v2;a=1/x",
        "/x/..;/v2",
        "/%zz",
        "/v2%",
        "/v2%2",
        "/%00/..;/",
        "/%76%32%2f%78",
    ],
)
def test_no_path_with_dot_segments_reaches_another_route(path: str) -> None:
    """Each path has dot segments or malformed escapes, or servers may parse it in different ways."""
    result = service_or_status("search.example.org", path)
    assert result == 400


@pytest.mark.parametrize("path", ["/a%2Fb", "/a;v=1", "/a//b", "/a%20b", "/~a", "/a%7Eb", "/%C3%A9"])
def test_unusual_but_unambiguous_paths_are_routed(path: str) -> None:
    assert service_or_status("search.example.org", path) == "search"


NAMES = st.text(string.ascii_lowercase, min_size=1, max_size=2)
PATH_FRAGMENTS = st.lists(
    st.sampled_from(["a", "b", "/", "..", ".", "%2f", "%2F", "%2e", "%61", ";x", "\\", "%5c", "%"]),
    max_size=8,
).map("".join)


@given(PATH_FRAGMENTS)
def test_strict_and_lenient_servers_agree_on_the_service(path: str) -> None:
    """A lenient server resolves dot segments, escapes, backslashes and parameters.

    The path that results must belong to the service that the request was routed to.
    """
    table = RoutingTable([route("a", "", "/a"), route("ab", "", "/a/b"), route("b", "", "/b"), route("root")])
    try:
        service = table.find(b"h", b"/" + path.encode(), None).service
    except RoutingError:
        return
    resolved: list[bytes] = []
    for segment in lenient_path_segments(b"/" + path.encode()):
        if segment == b"..":
            del resolved[-1:]
        elif segment != b".":
            resolved.append(segment)
    assert table.find(b"h", b"/" + b"/".join(resolved), None).service == service


@given(st.lists(st.sampled_from(["a", "b", ".", "..", "a.b", "", "a-", "~"]), max_size=5).map("/".join))
def test_the_fast_path_reads_plain_paths_as_the_general_one(path: str) -> None:
    raw = b"/" + path.encode()
    if PLAIN_PATH.fullmatch(raw):
        assert path_segments(raw) == lenient_path_segments(raw) == tuple(raw.rstrip(b"/").split(b"/")[1:])


def test_the_cache_of_hosts_is_bounded() -> None:
    table = RoutingTable([route("any", "*.example.org")])
    for number in range(3 * MAX_CACHED_HOSTS):
        assert table.find(b"h%d.example.org" % number, b"/", None).service == "any"
    assert len(table._host_cache) <= MAX_CACHED_HOSTS


@given(st.lists(NAMES, max_size=4), st.lists(st.lists(NAMES, max_size=3), max_size=6))
def test_the_longest_prefix_by_segments_wins(path: list[str], prefixes: list[list[str]]) -> None:
    routes = {
        "/" + "/".join(prefix): route("/" + "/".join(prefix), "", "/" + "/".join(prefix))
        for prefix in prefixes
    }
    matching_prefixes = [prefix for prefix in prefixes if path[: len(prefix)] == prefix]
    try:
        result = RoutingTable(routes.values()).find(b"h", b"/" + "/".join(path).encode(), None).service
    except RoutingError as problem:
        assert problem.status == 404 and not matching_prefixes
    else:
        longest: list[str] = max(matching_prefixes, key=len)
        assert result == "/" + "/".join(longest)


def test_ambiguous_routes_are_found() -> None:
    first, duplicate, with_class = (
        route("a", "X.org", "/p"),
        route("b", "x.ORG.", "/%70/"),
        route("b", "x.org", "/p", "c"),
    )
    assert list(find_ambiguous_routes([first, duplicate, with_class])) == [(first, duplicate)]


@pytest.mark.parametrize("text", ["a b", "*", "*.", "a.*.b", "x:80", "a/b", "*a.org"])
def test_a_host_pattern_that_can_not_be_matched_is_rejected(text: str) -> None:
    with pytest.raises(InvalidPatternError, match="a name"):
        parse_host_pattern(text)


@pytest.mark.parametrize(
    "text", ["", "a", "/a?b", "/a#b", "/a b", "/a/../b", "/a%2fb", "/a;b", "/a//b", "/é", "/a%"]
)
def test_an_ambiguous_path_prefix_is_rejected(text: str) -> None:
    with pytest.raises(InvalidPatternError):
        parse_path_prefix(text)


@pytest.mark.parametrize(
    ("target", "authority", "origin"),
    [
        (b"/a?b", None, b"/a?b"),
        (b"http://h:1/a?b", b"h:1", b"/a?b"),
        (b"HTTPS://h", b"h", b"/"),
        (b"http://h?x", b"h", b"/?x"),
    ],
)
def test_targets_in_origin_and_absolute_form(target: bytes, authority: bytes | None, origin: bytes) -> None:
    assert split_target(target) == (authority, origin)


@pytest.mark.parametrize("target", [b"*", b"h:1", b"ftp://h/", b"/a#b", b"", b"http://h/#f"])
def test_other_targets_are_400(target: bytes) -> None:
    with pytest.raises(RoutingError):
        split_target(target)


def test_normal_forms_are_stable() -> None:
    assert normalize_host("A.org.") == normalize_host(normalize_host("A.org.")) == "a.org"
    assert path_segments(b"/%61/b%2f/") == (b"a", b"b%2F")
