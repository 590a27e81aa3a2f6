"""Plans a reload: which services a new configuration starts, stops, rebuilds or keeps. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from cometdoor.services.settings import ServiceEntry, Settings

# Keys that a running instance can reload. A change of any other key needs a new instance, which starts
# without the statistics that the old one collected about its servers.
RELOADABLE_KEYS = {"routes", "servers", "limits"}
RELOADABLE_LIMITS = {
    "max_open_requests",
    "max_waiting_requests",
    "max_connections",
    "max_held_bytes",
    "guaranteed_sockets",
}


@dataclass(frozen=True, slots=True)
class ReloadPlan:
    """Names of services, grouped by what a reload does with them."""

    to_start: tuple[str, ...]
    to_stop: tuple[str, ...]
    to_rebuild: tuple[str, ...]
    to_keep: tuple[str, ...]
    requires_restart: tuple[str, ...]  # changed keys that a running process can't apply

    def describe(self) -> str:
        """Return the plan as one line for the log."""
        clauses = [
            f"{verb} {', '.join(names)}"
            for verb, names in (
                ("starts", self.to_start),
                ("ends", self.to_stop),
                ("rebuilds", self.to_rebuild),
                ("keeps", self.to_keep),
            )
            if names
        ]
        return "; ".join(clauses)


def make_reload_plan(old: Settings, new: Settings) -> ReloadPlan:
    """Compare two configurations, and return what a reload does with each service."""
    before = {service.name: service for service in old.service}
    after = {service.name: service for service in new.service}
    both = [name for name in after if name in before]
    rebuilt = {
        name for name in both if old.fleet != new.fleet or needs_new_instance(before[name], after[name])
    }
    return ReloadPlan(
        to_start=tuple(name for name in after if name not in before),
        to_stop=tuple(name for name in before if name not in after),
        to_rebuild=tuple(name for name in both if name in rebuilt),
        to_keep=tuple(name for name in both if name not in rebuilt),
        requires_restart=tuple(
            key for key in ("listener", "sockets") if getattr(old, key) != getattr(new, key)
        ),
    )


def needs_new_instance(old: ServiceEntry, new: ServiceEntry) -> bool:
    """Return whether the change needs a new instance, because a running one can't apply it."""
    if (old.servers is None) != (new.servers is None):
        return True
    if any(getattr(old, key) != getattr(new, key) for key in _keys(old) - RELOADABLE_KEYS):
        return True
    return any(
        getattr(old.limits, key) != getattr(new.limits, key) for key in _keys(old.limits) - RELOADABLE_LIMITS
    )


def _keys(entry: msgspec.Struct) -> set[str]:
    return set(entry.__struct_fields__)
