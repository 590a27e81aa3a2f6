"""Endpoint lists of several services, and draining states that apply to all of them."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from cometdoor.balancing.api import Endpoint, EndpointListKind, EndpointsChanged, EndpointState
from cometdoor.host.address import Address
from cometdoor.services.endpoint_lists import EndpointLists, EndpointListUpdate

Events = list[EndpointListUpdate[str]]


def full_list(*servers: Endpoint) -> EndpointsChanged:
    return EndpointsChanged(EndpointListKind.FULL, servers)


def addresses(*servers: Endpoint) -> dict[str, Address]:
    return {server.name: ("h", int(server.name[1:])) for server in servers}


def states(events: Events) -> dict[tuple[str, str], EndpointState]:
    return {
        (update.service, server.name): server.state for update in events for server in update.event.endpoints
    }


SERVER_1, SERVER_2 = Endpoint("s1"), Endpoint("s2")
SERVER_1_DRAINING = replace(SERVER_1, state=EndpointState.DRAINING)


def test_a_draining_state_in_one_services_list_applies_to_all_that_share_the_address() -> None:
    endpoint_lists: EndpointLists[str] = EndpointLists()
    endpoint_lists.update("a", full_list(SERVER_1, SERVER_2), addresses(SERVER_1, SERVER_2))
    endpoint_lists.update("b", full_list(SERVER_1), addresses(SERVER_1))
    events = endpoint_lists.update(
        "a", EndpointsChanged(EndpointListKind.DELTA, (SERVER_1_DRAINING,)), addresses(SERVER_1)
    )
    assert states(events) == {("a", "s1"): EndpointState.DRAINING, ("b", "s1"): EndpointState.DRAINING}
    # The server stays draining for b, even if b's own source still lists it as ready.
    assert states(endpoint_lists.update("b", full_list(SERVER_1), addresses(SERVER_1))) == {
        ("b", "s1"): EndpointState.DRAINING
    }
    events = endpoint_lists.update("a", full_list(SERVER_1, SERVER_2), addresses(SERVER_1, SERVER_2))
    assert states(events) == {
        ("a", "s1"): EndpointState.READY,
        ("a", "s2"): EndpointState.READY,
        ("b", "s1"): EndpointState.READY,
    }


def test_draining_states_of_a_removed_service_no_longer_apply() -> None:
    endpoint_lists: EndpointLists[str] = EndpointLists()
    endpoint_lists.update("b", full_list(SERVER_1), addresses(SERVER_1))
    endpoint_lists.update("a", full_list(SERVER_1_DRAINING), addresses(SERVER_1))
    assert states(endpoint_lists.remove_service("a")) == {("b", "s1"): EndpointState.READY}
    assert endpoint_lists.remove_service("b") == [] and endpoint_lists.remove_service("never known") == []


def test_a_failed_endpoint_list_changes_nothing() -> None:
    endpoint_lists: EndpointLists[str] = EndpointLists()
    endpoint_lists.update("a", full_list(SERVER_1_DRAINING), addresses(SERVER_1))
    event = EndpointsChanged(EndpointListKind.FAILED)
    assert endpoint_lists.update("a", event, {}) == [EndpointListUpdate("a", event, {})]
    assert states(endpoint_lists.update("b", full_list(SERVER_1), addresses(SERVER_1))) == {
        ("b", "s1"): EndpointState.DRAINING
    }


STEP = st.tuples(
    st.sampled_from("abc"),
    st.sampled_from(["full", "delta", "forget"]),
    st.lists(st.tuples(st.integers(1, 4), st.sampled_from(list(EndpointState))), max_size=4),
)


@given(st.lists(STEP, max_size=30))
def test_each_instance_is_notified_of_what_all_lists_say_together(
    steps: list[tuple[str, str, list[tuple[int, EndpointState]]]],
) -> None:
    endpoint_lists: EndpointLists[str] = EndpointLists()
    lists: dict[str, dict[str, EndpointState]] = {}
    delivered: dict[str, dict[str, EndpointState]] = {}
    for service, step_kind, entries in steps:
        if step_kind == "forget":
            events = endpoint_lists.remove_service(service)
            lists.pop(service, None)
            delivered.pop(service, None)
        else:
            kind = EndpointListKind.FULL if step_kind == "full" else EndpointListKind.DELTA
            servers = tuple(
                {
                    number: Endpoint(f"s{number}", state=state)
                    for number, state in entries
                    if kind is EndpointListKind.DELTA or state is not EndpointState.REMOVED
                }.values()
            )
            entries_by_name = lists.setdefault(service, {})
            if kind is EndpointListKind.FULL:
                entries_by_name.clear()
            for server in servers:
                entries_by_name[server.name] = server.state
            events = endpoint_lists.update(service, EndpointsChanged(kind, servers), addresses(*servers))
        for update in events:
            delivered_list = delivered.setdefault(update.service, {})
            if update.event.kind is EndpointListKind.FULL:
                delivered_list.clear()
            delivered_list.update({server.name: server.state for server in update.event.endpoints})
        draining_names = {
            name
            for entries_by_name in lists.values()
            for name, state in entries_by_name.items()
            if state is EndpointState.DRAINING
        }
        for name, entries_by_name in lists.items():
            expected = {
                server: EndpointState.DRAINING if server in draining_names else state
                for server, state in entries_by_name.items()
                if state is not EndpointState.REMOVED
            }
            delivered_states = {
                server: state
                for server, state in delivered[name].items()
                if state is not EndpointState.REMOVED
            }
            assert delivered_states == expected
