"""What a process of the mesh is told at its start: the settings file that COMETDOOR_NODE_FILE names."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from cometdoor.host.checked import Content, convert, named
from cometdoor.host.enums import read_address
from cometdoor.host.schema import BadSettings, Problem, read_bytes, read_content

VARIABLE = "COMETDOOR_NODE_FILE"


@dataclass(frozen=True)
class ListenAddresses(Content):
    inbound: str | None = None
    outbound: str | None = None
    readiness: str | None = None
    control_plane: str | None = named("control-plane", default=None)


@dataclass(frozen=True)
class Limits(Content):
    file_descriptors: int = named("file-descriptors", default=1024)
    memory_mb: float = named("memory-mb", default=256)
    disk_mb: float = named("disk-mb", default=0)


@dataclass(frozen=True)
class FaultTolerance(Content):
    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True)
class Boot(Content):
    node_name: str = named("node-name")
    ip_address: str = named("ip-address")
    zone: str = named("zone")
    internal_ports: list[int] = named("internal-ports")
    seed_nodes: list[str] = named("seed-nodes", default_factory=list)
    initial_start: bool = named("initial-start", default=False)
    data_directory: str | None = named("data-directory", default=None)
    heartbeat_s: float = named("heartbeat-s", default=1.5)
    bounds: list[str] = field(default_factory=list)
    application: str | None = None
    service: str = ""
    zones: dict[str, str] = field(default_factory=dict)  # region of each
    listen_addresses: ListenAddresses = named("listen-addresses", default_factory=ListenAddresses)
    limits: Limits = field(default_factory=Limits)
    fault_tolerance: FaultTolerance = named("fault-tolerance", default_factory=FaultTolerance)

    def bound(self, name: str, default: float) -> float:
        """A figure of `bounds`, by its name there."""
        for text in self.bounds:
            key, _, value = text.partition("=")
            if key.strip() == name:
                return float(value)
        return default

    def zone_place(self, zone: str) -> int:
        """A number for the zone, the same wherever the file names the same zones."""
        known = sorted(self.zones)
        return known.index(zone) if zone in known else len(known)

    def internal(self, role: str) -> str:
        """Where a process of that role is spoken to by the others, on this machine."""
        return f"{self.ip_address}:{self.internal_ports[0] + ROLE_PORTS[role]}"

    def seeds_internal(self) -> list[str]:
        """All machines use the same ports: seeds are named by where they serve control."""
        port = self.internal_ports[0] + ROLE_PORTS["controlplane"]
        return [f"{read_address(seed)[0]}:{port}" for seed in self.seed_nodes]


ROLE_PORTS = {"dataplane": 0, "controlplane": 1}
NEEDED = {"dataplane": ("outbound", "readiness", "control_plane"), "controlplane": ("control_plane",)}


def _check(boot: Boot, role: str) -> Iterator[tuple[str, str]]:
    if len(boot.internal_ports) != 2 or not 0 < boot.internal_ports[0] < boot.internal_ports[1] < 65536:
        yield "internal-ports", f"a first and a last port are needed, not {boot.internal_ports}"
    for index, text in enumerate(boot.bounds):
        name, _, value = text.partition("=")
        try:
            if value.strip() not in ("true", "false"):
                float(value)
        except ValueError:
            yield f"bounds.{index}", f"{text!r} is no NAME=NUMBER"
    addresses = [(f"seed-nodes.{index}", seed) for index, seed in enumerate(boot.seed_nodes)]
    if boot.application is not None:
        addresses.append(("application", boot.application))
    for name in ("inbound", "outbound", "readiness", "control_plane"):
        place, text = f"listen-addresses.{name.replace('_', '-')}", getattr(boot.listen_addresses, name)
        if text is not None:
            addresses.append((place, text))
        elif name in NEEDED[role]:
            yield place, f"missing; the {role} serves there"
    for place, text in addresses:
        try:
            read_address(text)
        except ValueError as problem:
            yield place, str(problem)
    if role == "controlplane" and not boot.data_directory:
        yield "data-directory", "missing; the log is kept there"
    if role == "dataplane" and not boot.service:
        yield "service", "missing; it is named to backends as the caller"


def read_boot(raw: bytes, file: str, role: str) -> Boot:
    """Raises BadSettings with all faults."""
    return convert(read_content(raw, file), Boot, file, lambda boot: _check(boot, role))


def load_boot(role: str) -> Boot:
    """Of the file that the environment names. Raises BadSettings."""
    path = os.environ.get(VARIABLE)
    if not path:
        raise BadSettings([Problem(VARIABLE, "", "the variable is not set; it names the settings file")])
    return read_boot(read_bytes(Path(path)), path, role)
