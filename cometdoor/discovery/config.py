"""Configuration of the platform's proxy: the file that NODE_CONFIG names, read at the start and at SIGHUP."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import orjson

from cometdoor.balancing import api
from cometdoor.balancing.simulator_adapter import get_or_default, read_settings
from cometdoor.errors import CometdoorError
from cometdoor.host.address import Address, parse_address


class ConfigError(CometdoorError):
    """The configuration can't be used; the message is for the operator."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """Configuration of the platform's proxy, parsed."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    classes: dict[str, int]  # indexes in settings.classes by class name
    tenants: dict[str, int]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    cached_endpoints: dict[str, Any]  # the last endpoint list of an earlier run, in discovery's form
    sockets: int  # descriptors that the process may have open
    max_open: int  # maximum number of open requests
    idle_close_ms: float
    connect_timeout_ms: float
    may_advise_pause: bool  # a rejection may carry Retry-After
    reports: bool  # responses carry a load report of their backend


def read_config(raw: dict[str, Any], environment: Mapping[str, str]) -> NodeConfig:
    """Parse a configuration; unknown keys are ignored, missing addresses and name come from the environment.

    Raises
    ------
    KeyError, ValueError, TypeError, AttributeError
        A value is missing or invalid.
    """
    info = raw["settings"]
    limits = get_or_default(info, "limits", {})
    seed = raw["seed"]
    settings = read_settings(info)
    return NodeConfig(
        name=str(raw.get("name") or environment.get("NODE_NAME", "")),
        listen=parse_address(raw.get("listen") or environment["NODE_LISTEN"]),
        discovery=parse_address(raw.get("discovery") or environment["NODE_DISCOVERY"]),
        seed=seed if isinstance(seed, int) else int(seed, 16),
        settings=settings,
        classes={lane["name"]: index for index, lane in enumerate(info["lanes"])},
        tenants={tenant["name"]: index for index, tenant in enumerate(get_or_default(info, "tenants", ()))},
        zones=tuple(get_or_default(info, "zones", ())),
        kinds=tuple(get_or_default(info, "host_types", ())),
        cached_endpoints=get_or_default(raw, "known", {}),
        sockets=int(get_or_default(get_or_default(raw, "limits", {}), "sockets", 1024)),
        max_open=int(get_or_default(limits, "max_open", 20_000)),
        idle_close_ms=float(get_or_default(limits, "idle_close_ms", 15_000.0)),
        connect_timeout_ms=float(get_or_default(limits, "connect_timeout_ms", 250.0)),
        may_advise_pause=bool(get_or_default(limits, "retry_after", False)),
        reports=get_or_default(get_or_default(info, "report", {}), "how", "off") == "inline",
    )


def load_config(environment: Mapping[str, str] = os.environ) -> NodeConfig:
    """Read the file that NODE_CONFIG names; raise ConfigError."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        return read_config(orjson.loads(Path(path).read_bytes()), environment)
    except KeyError as problem:
        raise ConfigError(f"{path}: {problem} is missing or has an unknown value") from problem
    except (OSError, ValueError, TypeError, AttributeError) as problem:
        raise ConfigError(f"{path}: {problem}") from problem


def fields_requiring_restart(running: NodeConfig, new: NodeConfig) -> list[str]:
    """Return the changed fields that take effect only after a restart.

    The seed and the cached endpoint list are left out, since only a start uses them.
    """
    reloadable = {"discovery", "seed", "cached_endpoints"}
    return [
        field.name
        for field in fields(NodeConfig)
        if field.name not in reloadable and getattr(running, field.name) != getattr(new, field.name)
    ]
