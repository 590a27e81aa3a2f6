"""What a planner knows, for its operators: who reports, who is held to be sick and why, what is lent.
No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from cometdoor.planning.planner import Planner
from cometdoor.planning.reports import server_id
from cometdoor.planning.wire import Post

MOST_LINES = 20  # of one list on the page


class Reporting(Struct, frozen=True):
    number: int
    heard_ms_ago: float
    sends_per_s: float
    servers: int  # that its list holds


class Sick(Struct, frozen=True):
    server: str  # its id, in hexadecimal digits
    state: str
    keep: float  # of its weight
    voices: int
    witnesses: int


class Lending(Struct, frozen=True):
    server: str
    sends: int  # that are out


class FleetStatus(Struct, frozen=True):
    service: str
    forwarders: list[Reporting]
    servers: int
    sick: list[Sick]
    lent: list[Lending]
    dropped: dict[str, int]  # notes, by reason
    unreadable: int
    note_bytes_per_s: float  # of all notes heard and answered


class Status(Struct, frozen=True):
    number: int
    planners: int
    fleets: list[FleetStatus]


def fleet_status(service: str, planner: Planner, post: Post, now_ms: float) -> FleetStatus:
    sick = [
        Sick(server.hex(), verdict.state, verdict.factor, verdict.voices, verdict.witnesses)
        for server, verdict in planner.verdicts(now_ms).items()
    ]
    return FleetStatus(
        service,
        [
            Reporting(number, now_ms - heard_ms, sends, servers)
            for number, heard_ms, sends, servers in planner.picture.forwarders()
        ],
        len(planner.picture.servers()),
        sorted(sick, key=lambda one: (one.keep, one.server)),
        [Lending(server.hex(), sends) for server, sends in planner.lent(now_ms).items()],
        {why.name.lower(): count for why, count in post.dropped.items()},
        planner.bad,
        planner.note_bytes_per_s,
    )


def page(status: Status, names: Iterable[str] = ()) -> str:
    """For a terminal. `names`: of servers that may be shown in place of their ids."""
    known = {server_id(name).hex(): name for name in names}
    lines = [f"planner {status.number} of {status.planners}"]
    for fleet in status.fleets:
        lines += [
            "",
            f"service {fleet.service}: {len(fleet.forwarders)} forwarders report on "
            f"{fleet.servers} servers, {fleet.note_bytes_per_s:.0f} bytes of notes a second",
        ]
        late = sorted(fleet.forwarders, key=lambda one: -one.heard_ms_ago)
        lines += _table(
            ("forwarder", "heard", "requests/s", "servers"),
            [
                (
                    str(one.number),
                    f"{one.heard_ms_ago / 1000.0:.1f} s ago",
                    f"{one.sends_per_s:.1f}",
                    str(one.servers),
                )
                for one in late
            ],
        )
        lines += _table(
            ("held to be sick", "as", "keeps", "say so"),
            [
                (
                    known.get(one.server, one.server),
                    one.state,
                    f"{one.keep:.2f}",
                    f"{one.voices} of {one.witnesses}",
                )
                for one in fleet.sick
            ],
        ) or ["  no server is held to be sick"]
        lines += _table(
            ("lent to", "sends"), [(known.get(one.server, one.server), str(one.sends)) for one in fleet.lent]
        )
        if fleet.dropped or fleet.unreadable:
            lines.append(
                "  notes not taken: "
                + ", ".join(f"{why} {count}" for why, count in _counts(fleet.dropped, fleet.unreadable))
            )
    return "\n".join(lines)


def _counts(dropped: Mapping[str, int], unreadable: int) -> list[tuple[str, int]]:
    return [*sorted(dropped.items()), *([("unreadable", unreadable)] if unreadable else [])]


def _table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> list[str]:
    if not rows:
        return []
    shown = [head, *rows[:MOST_LINES]]
    widths = [max(len(row[place]) for row in shown) for place in range(len(head))]
    lines = [
        "  " + "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in shown
    ]
    if len(rows) > MOST_LINES:
        lines.append(f"  and {len(rows) - MOST_LINES} more")
    return lines
