"""A planner's status for operators: forwarders that report, unhealthy servers, leases. No I/O.

If an attribute's key in the JSON differs from the attribute's name, it is given as the field's `name`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct, field

from cometdoor.planning.load_reports import server_id
from cometdoor.planning.planner import Planner
from cometdoor.planning.sealed_messages import SecureChannel

MAX_TABLE_ROWS = 20


class ForwarderStatus(Struct, frozen=True):
    """A forwarder that reports."""

    number: int
    last_report_ms_ago: float = field(name="heard_ms_ago")
    sends_per_s: float
    servers: int  # in its endpoint list


class UnhealthyServer(Struct, frozen=True):
    """A server that is slow, failing or unresponsive."""

    server: str  # its id, in hexadecimal digits
    state: str
    weight_share: float = field(name="keep")  # share of its weight that it should keep
    agreeing: int = field(name="voices")  # observers whose evidence supports the state
    observers: int = field(name="witnesses")  # forwarders that sent to the server lately


class LeasedCapacity(Struct, frozen=True):
    """Outstanding leases of attempts to a server in slow start."""

    server: str
    sends: int


class FleetStatus(Struct, frozen=True):
    """The forwarders of one service and what they report."""

    service: str
    forwarders: list[ForwarderStatus]
    servers: int
    unhealthy: list[UnhealthyServer] = field(name="sick")
    leased_sends: list[LeasedCapacity] = field(name="lent")
    dropped: dict[str, int]  # datagrams, by reason
    unreadable: int
    message_bytes_per_s: float = field(name="note_bytes_per_s")  # received and sent


class Status(Struct, frozen=True):
    """The complete status, as served in JSON."""

    number: int
    planners: int
    fleets: list[FleetStatus]


def fleet_status(service: str, planner: Planner, channel: SecureChannel, now_ms: float) -> FleetStatus:
    """Return the status of one service's planner."""
    unhealthy = [
        UnhealthyServer(
            server.hex(), verdict.state, verdict.weight_share, verdict.agreeing, verdict.observers
        )
        for server, verdict in planner.verdicts(now_ms).items()
    ]
    return FleetStatus(
        service,
        [
            ForwarderStatus(number, now_ms - last_report_ms, sends, servers)
            for number, last_report_ms, sends, servers in planner.health_model.forwarders()
        ],
        len(planner.health_model.servers()),
        sorted(unhealthy, key=lambda entry: (entry.weight_share, entry.server)),
        [LeasedCapacity(server.hex(), sends) for server, sends in planner.leased_sends(now_ms).items()],
        {reason.label: count for reason, count in channel.dropped.items()},
        planner.unreadable,
        planner.message_bytes_per_s,
    )


def render_page(status: Status, names: Iterable[str] = ()) -> str:
    """Return the status as text for a terminal.

    Parameters
    ----------
    names
        Names of servers, to show in place of their ids.
    """
    names_by_id = {server_id(name).hex(): name for name in names}
    lines = [f"planner {status.number} of {status.planners}"]
    for fleet in status.fleets:
        lines += ["", *_render_fleet(fleet, names_by_id)]
    return "\n".join(lines)


def _render_fleet(fleet: FleetStatus, names: Mapping[str, str]) -> list[str]:
    lines = [
        f"service {fleet.service}: {len(fleet.forwarders)} forwarders report on "
        f"{fleet.servers} servers, {fleet.message_bytes_per_s:.0f} bytes of messages a second"
    ]
    longest_unreported_first = sorted(fleet.forwarders, key=lambda entry: -entry.last_report_ms_ago)
    lines += _table(
        ("forwarder", "heard", "requests/s", "servers"),
        [
            (
                str(entry.number),
                f"{entry.last_report_ms_ago / 1000.0:.1f} s ago",
                f"{entry.sends_per_s:.1f}",
                str(entry.servers),
            )
            for entry in longest_unreported_first
        ],
    )
    lines += _table(
        ("unhealthy server", "state", "weight share", "observers agreeing"),
        [
            (
                names.get(entry.server, entry.server),
                entry.state,
                f"{entry.weight_share:.2f}",
                f"{entry.agreeing} of {entry.observers}",
            )
            for entry in fleet.unhealthy
        ],
    ) or ["  no unhealthy servers"]
    lines += _table(
        ("leased to", "attempts"),
        [(names.get(entry.server, entry.server), str(entry.sends)) for entry in fleet.leased_sends],
    )
    if fleet.dropped or fleet.unreadable:
        counts = _counts(fleet.dropped, fleet.unreadable)
        lines.append("  dropped messages: " + ", ".join(f"{reason} {count}" for reason, count in counts))
    return lines


def _counts(dropped: Mapping[str, int], unreadable: int) -> list[tuple[str, int]]:
    return [*sorted(dropped.items()), *([("unreadable", unreadable)] if unreadable else [])]


def _table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> list[str]:
    if not rows:
        return []
    shown = [header, *rows[:MAX_TABLE_ROWS]]
    widths = [max(len(row[column]) for row in shown) for column in range(len(header))]
    lines = [
        "  " + "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in shown
    ]
    if len(rows) > MAX_TABLE_ROWS:
        lines.append(f"  and {len(rows) - MAX_TABLE_ROWS} more")
    return lines
