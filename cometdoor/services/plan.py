"""From one configuration to the next: which services start, end, are built anew or go on. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from cometdoor.services.settings import ServiceEntry, Settings

# What a running instance can take over; all else needs a new one, which has learned nothing yet.
CARRIED = {"routes", "servers", "limits"}
CARRIED_LIMITS = {"open", "waiting", "connections", "held_bytes", "guaranteed_sockets"}


@dataclass(frozen=True, slots=True)
class Plan:
    start: tuple[str, ...]
    end: tuple[str, ...]
    rebuild: tuple[str, ...]
    go_on: tuple[str, ...]
    need_restart: tuple[str, ...]  # keys that changed and that no running process takes over

    def text(self) -> str:
        parts = [
            f"{word} {', '.join(names)}"
            for word, names in (
                ("starts", self.start),
                ("ends", self.end),
                ("built anew", self.rebuild),
                ("goes on", self.go_on),
            )
            if names
        ]
        return "; ".join(parts)


def plan(old: Settings, new: Settings) -> Plan:
    before = {service.name: service for service in old.service}
    after = {service.name: service for service in new.service}
    both = [name for name in after if name in before]
    anew = {name for name in both if old.fleet != new.fleet or needs_new_instance(before[name], after[name])}
    return Plan(
        start=tuple(name for name in after if name not in before),
        end=tuple(name for name in before if name not in after),
        rebuild=tuple(name for name in both if name in anew),
        go_on=tuple(name for name in both if name not in anew),
        need_restart=tuple(key for key in ("listener", "sockets") if getattr(old, key) != getattr(new, key)),
    )


def needs_new_instance(old: ServiceEntry, new: ServiceEntry) -> bool:
    if (old.servers is None) != (new.servers is None):
        return True
    if any(getattr(old, key) != getattr(new, key) for key in _keys(old) - CARRIED):
        return True
    return any(
        getattr(old.limits, key) != getattr(new.limits, key) for key in _keys(old.limits) - CARRIED_LIMITS
    )


def _keys(entry: msgspec.Struct) -> set[str]:
    return set(entry.__struct_fields__)
