"""Settings of one process of the mesh: the boot file that the variable COMETDOOR_NODE_FILE names."""

from __future__ import annotations

import math
import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from cometdoor.host.address import parse_address
from cometdoor.host.dataclass_settings import CheckedModel, aliased, convert
from cometdoor.host.settings_validation import SettingsError, SettingsProblem, parse_toml, read_bytes

SETTINGS_FILE_VARIABLE = "COMETDOOR_NODE_FILE"


@dataclass(frozen=True)
class ListenAddresses(CheckedModel):
    """Addresses ("ip:port") at which the process listens; None: it doesn't listen. `inbound` has no effect.

    `outbound` is for callers, `readiness` for the platform's checks. `control_plane` is the API of a data
    plane for its backend, and that of a control plane for operators and clients.
    """

    inbound: str | None = None
    outbound: str | None = None
    readiness: str | None = None
    control_plane: str | None = aliased("control-plane", default=None)


@dataclass(frozen=True)
class Limits(CheckedModel):
    """Resources that the process may use."""

    file_descriptors: int = aliased("file-descriptors", default=1024)
    memory_mb: float = aliased("memory-mb", default=256)
    disk_mb: float = aliased("disk-mb", default=0)
    bandwidth_mbps: float = aliased("bandwidth-mbps", default=0)  # of the machine's link; 0: unlimited


@dataclass(frozen=True)
class FaultTolerance(CheckedModel):
    """Number of failure domains that may fail at once without loss of acknowledged data."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True)
class NodeSettings(CheckedModel):
    """Content of the boot file of one process; unknown keys are ignored."""

    node_name: str = aliased("node-name")
    ip_address: str = aliased("ip-address")
    zone: str = aliased("zone")
    internal_ports: list[int] = aliased("internal-ports")
    seed_nodes: list[str] = aliased("seed-nodes", default_factory=list)
    initial_start: bool = aliased("initial-start", default=False)
    data_directory: str | None = aliased("data-directory", default=None)
    heartbeat_s: float = aliased("heartbeat-s", default=1.5)
    bounds: list[str] = field(default_factory=list)
    application: str | None = None
    service: str = ""
    zones: dict[str, str] = field(default_factory=dict)  # region by zone
    listen_addresses: ListenAddresses = aliased("listen-addresses", default_factory=ListenAddresses)
    limits: Limits = field(default_factory=Limits)
    fault_tolerance: FaultTolerance = aliased("fault-tolerance", default_factory=FaultTolerance)

    def bound_value(self, name: str, default: float) -> float:
        """Return a number that `bounds` has as ``NAME=NUMBER``, or `default` if it has none of that name.

        The values of names in `POSITIVE_BOUNDS` and `NONNEGATIVE_BOUNDS` were checked when the file was read.
        """
        for text in self.bounds:
            key, _, value = text.partition("=")
            if key.strip() == name:
                return float(value)
        return default

    def zone_index(self, zone: str) -> int:
        """Return the zone's index, which is equal in all processes whose files have the same zones."""
        zone_names = sorted(self.zones)
        return zone_names.index(zone) if zone in zone_names else len(zone_names)

    def internal_address(self, role: str) -> str:
        """Return the address at which other processes reach the process of a role on this machine."""
        return f"{self.ip_address}:{self.internal_ports[0] + ROLE_PORT_OFFSETS[role]}"

    def seed_internal_addresses(self) -> list[str]:
        """Return the internal addresses of the control planes on the seed nodes.

        The ports are those of this machine, because all machines use the same internal ports.
        """
        port = self.internal_ports[0] + ROLE_PORT_OFFSETS["controlplane"]
        return [f"{parse_address(seed)[0]}:{port}" for seed in self.seed_nodes]


ROLE_PORT_OFFSETS = {"dataplane": 0, "controlplane": 1}
REQUIRED_LISTEN_ADDRESSES = {
    "dataplane": ("outbound", "readiness", "control_plane"),
    "controlplane": ("control_plane",),
}


# Names in `bounds` that the programs use; their values must be above 0, or not below it.
POSITIVE_BOUNDS = ("idempotency-window-s", "retry-window-s")
NONNEGATIVE_BOUNDS = ("drain-s", "grace-s", "retry-budget-ratio", "retry-slack")


def _find_bound_problem(text: str) -> str:
    """Return what is wrong with an entry of `bounds`; empty if nothing is."""
    name, _, value = (part.strip() for part in text.partition("="))
    is_used = name in POSITIVE_BOUNDS or name in NONNEGATIVE_BOUNDS
    if value in ("true", "false") and not is_used:
        return ""
    try:
        number = float(value)
    except ValueError:
        return f"{text!r} is not in the form NAME=NUMBER"
    if not is_used:
        return ""
    if not math.isfinite(number):
        return f"{text!r} has no finite number"
    if number < 0 or (number == 0 and name in POSITIVE_BOUNDS):
        return f"the value of {text!r} is {'not above' if name in POSITIVE_BOUNDS else 'below'} 0"
    return ""


def _find_range_problems(node_settings: NodeSettings) -> Iterator[tuple[str, str]]:
    limits = node_settings.limits
    if limits.file_descriptors < 1:
        yield "limits.file-descriptors", f"{limits.file_descriptors} is not at least 1"
    for name in ("memory_mb", "disk_mb", "bandwidth_mbps"):
        value = getattr(limits, name)
        if value < 0:
            yield f"limits.{name.replace('_', '-')}", f"{value} is below 0"
    for domain, count in vars(node_settings.fault_tolerance).items():
        if count < 0:
            yield f"fault-tolerance.{domain}", f"{count} is below 0"
    if node_settings.heartbeat_s <= 0:
        yield "heartbeat-s", f"{node_settings.heartbeat_s} is not above 0"
    for name in ("node_name", "ip_address"):
        if not getattr(node_settings, name):
            yield name.replace("_", "-"), "it is empty"


def _find_problems(node_settings: NodeSettings, role: str) -> Iterator[tuple[str, str]]:
    yield from _find_range_problems(node_settings)
    if (
        len(node_settings.internal_ports) != 2
        or not 0 < node_settings.internal_ports[0] < node_settings.internal_ports[1] < 65536
    ):
        yield (
            "internal-ports",
            f"a first and a higher last port are expected, not {node_settings.internal_ports}",
        )
    for index, text in enumerate(node_settings.bounds):
        if problem := _find_bound_problem(text):
            yield f"bounds.{index}", problem
    addresses = [(f"seed-nodes.{index}", seed) for index, seed in enumerate(node_settings.seed_nodes)]
    if node_settings.application is not None:
        addresses.append(("application", node_settings.application))
    for name in ("inbound", "outbound", "readiness", "control_plane"):
        key_path, text = (
            f"listen-addresses.{name.replace('_', '-')}",
            getattr(node_settings.listen_addresses, name),
        )
        if text is not None:
            addresses.append((key_path, text))
        elif name in REQUIRED_LISTEN_ADDRESSES[role]:
            yield key_path, f"missing; the {role} listens at this address"
    for key_path, text in addresses:
        try:
            parse_address(text)
        except ValueError as error:
            yield key_path, str(error)
    if role == "controlplane" and not node_settings.data_directory:
        yield "data-directory", "missing; the log is stored there"
    if role == "dataplane" and not node_settings.service:
        yield "service", "missing; requests to backends name it as the caller"


def read_node_settings(content: bytes, file: str, role: str) -> NodeSettings:
    """Parse and check the content of a boot file.

    Raises
    ------
    SettingsError
        With every problem found.
    """
    return convert(
        parse_toml(content, file),
        NodeSettings,
        file,
        lambda node_settings: _find_problems(node_settings, role),
    )


def load_node_settings(role: str) -> NodeSettings:
    """Read the boot file that the environment variable COMETDOOR_NODE_FILE names.

    Raises
    ------
    SettingsError
        With every problem found, or because the variable is not set.
    """
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(
            [
                SettingsProblem(
                    SETTINGS_FILE_VARIABLE, "", "the variable is not set; it must name the settings file"
                )
            ]
        )
    return read_node_settings(read_bytes(Path(path)), path, role)
