"""The operators' files of planners and of forwarders (deploy/planners.example.toml, forwarders.example.toml).

Servers come from discovery or the services' file, as without planning. Keys are in separate files, as
hexadecimal digits. If an attribute's key in the file differs from the attribute's name, it is given as the
field's `name`.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from cometdoor.host.address import Address, parse_address
from cometdoor.host.settings_validation import SettingsError, SettingsProblem, parse_toml, read_bytes
from cometdoor.host.struct_settings import Name, SlowStartEntry, convert, find_address_problems
from cometdoor.planning.capacity_leasing import SlowStartRules
from cometdoor.planning.sealed_messages import MAX_KEY_BYTES, MIN_KEY_BYTES, KeyRing

MAX_PEERS = 65_536  # a message's sender is a number of 16 bits
MAX_PLANNERS = 16  # each forwarder reports to all of them

PeerNumber = Annotated[int, Meta(ge=0, lt=MAX_PEERS)]


class KeyEntry(Struct, frozen=True, kw_only=True):
    """A key of seals."""

    number: Annotated[int, Meta(ge=0, le=255)]
    file: str  # of hexadecimal digits; relative to the directory of the operators' file


class KeysEntry(Struct, frozen=True, kw_only=True):
    """The keys that are valid, and the number of the one for new seals."""

    seal_with: int
    known: list[KeyEntry]


class PlannerEntry(Struct, frozen=True, kw_only=True):
    """Which of the configured planners this process is."""

    number: Annotated[int, Meta(ge=0, lt=MAX_PLANNERS)]  # of this planner, from 0
    planners: Annotated[int, Meta(ge=1, le=MAX_PLANNERS)]  # number of planners configured, alive or not
    status: str | None = None  # HOST:PORT of the status page; no status page if left out


class FleetSlowStartEntry(SlowStartEntry, frozen=True, kw_only=True):
    """How servers that have just started behave; must equal the forwarders' services file."""

    def rules(self) -> SlowStartRules:
        """Return the rules for leases."""
        return SlowStartRules(self.initial_share, self.overload_factor, self.overload_tolerance_ms)


class FleetEntry(Struct, frozen=True, kw_only=True):
    """The forwarders of one service."""

    service: Name
    listen: str  # HOST:PORT, for datagrams and streams
    forwarders: Annotated[int, Meta(ge=1, le=MAX_PEERS)]  # how many; higher numbers are unknown senders
    # if left out, nothing is leased
    slow_start: FleetSlowStartEntry | None = field(default=None, name="cold")


class PlannersFile(Struct, frozen=True, kw_only=True):
    """The operators' file of a planner."""

    planner: PlannerEntry
    keys: KeysEntry
    fleet: list[FleetEntry]


class ForwarderEntry(Struct, frozen=True, kw_only=True):
    """Which of the forwarders this process is."""

    number: PeerNumber  # unique among all forwarders


class AdvisedServiceEntry(Struct, frozen=True, kw_only=True):
    """A service of the services' file, and its planners."""

    name: Name
    planners: list[str]  # HOST:PORT of each, in the order of their numbers
    transport: Literal["udp", "tcp"] = "udp"

    def addresses(self) -> list[Address]:
        """Return the planners' addresses in the order of their numbers."""
        return [parse_address(planner) for planner in self.planners]


class ForwardersFile(Struct, frozen=True, kw_only=True):
    """The operators' file of a forwarder."""

    forwarder: ForwarderEntry
    keys: KeysEntry
    service: list[AdvisedServiceEntry]


def load_planners(path: Path) -> tuple[PlannersFile, KeyRing]:
    """Read a planner's file and its keys; raise SettingsError with all problems."""
    file = convert(parse_toml(read_bytes(path), str(path)), PlannersFile, str(path), _check_planners)
    return file, load_keys(file.keys, path)


def load_forwarders(path: Path) -> tuple[ForwardersFile, KeyRing]:
    """Read a forwarder's file and its keys; raise SettingsError with all problems."""
    file = convert(parse_toml(read_bytes(path), str(path)), ForwardersFile, str(path), _check_forwarders)
    return file, load_keys(file.keys, path)


# --- keys ---


def load_keys(entry: KeysEntry, path: Path) -> KeyRing:
    """Read the keys that a file names.

    Raises
    ------
    SettingsError
        With all problems; no message shows any part of a key.
    """
    known: dict[int, bytes] = {}
    problems = []
    for index, key in enumerate(entry.known):
        try:
            known[key.number] = _read_key(path.parent / key.file)
        except SettingsError as problem:
            problems += [SettingsProblem(str(path), f"keys.known.{index}.file", str(problem))]
    if problems:
        raise SettingsError(problems)
    return KeyRing(known, entry.seal_with)


def _read_key(path: Path) -> bytes:
    raw = read_bytes(path)
    try:
        key = bytes.fromhex(raw.decode("ascii"))
    except ValueError:  # includes UnicodeDecodeError
        raise SettingsError(
            [SettingsProblem(str(path), "", "must contain only hexadecimal digits")]
        ) from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise SettingsError(
            [SettingsProblem(str(path), "", f"{len(key)} bytes, not {MIN_KEY_BYTES} to {MAX_KEY_BYTES}")]
        )
    return key


# --- checks across values ---


def _check_keys(keys: KeysEntry) -> Iterator[tuple[str, str]]:
    if not 1 <= len(keys.known) <= 2:
        yield "keys.known", f"one key is needed, or two while they are changed; there are {len(keys.known)}"
    numbers = [key.number for key in keys.known]
    for index, number in enumerate(numbers):
        if number in numbers[:index]:
            yield f"keys.known.{index}.number", f"{number} is that of another key"
    if keys.seal_with not in numbers:
        yield (
            "keys.seal_with",
            f"{keys.seal_with} is not the number of a known key: {', '.join(map(str, numbers))}",
        )


def _check_unique(values: Sequence[str], path: str) -> Iterator[tuple[str, str]]:
    for index, value in enumerate(values):
        if value in values[:index]:
            yield path.format(index), f"{value} is listed twice"


def _check_planners(file: PlannersFile) -> Iterator[tuple[str, str]]:
    yield from _check_keys(file.keys)
    if file.planner.number >= file.planner.planners:
        yield "planner.number", f"must be below planner.planners ({file.planner.planners})"
    if file.planner.status is not None:
        yield from find_address_problems("planner.status", file.planner.status, 0)
    if not file.fleet:
        yield "fleet", "at least one is needed"
    for index, fleet in enumerate(file.fleet):
        yield from find_address_problems(f"fleet.{index}.listen", fleet.listen, 0)
    yield from _check_unique([fleet.service for fleet in file.fleet], "fleet.{}.service")
    yield from _check_unique(
        [fleet.listen for fleet in file.fleet if not fleet.listen.endswith(":0")], "fleet.{}.listen"
    )


def _check_forwarders(file: ForwardersFile) -> Iterator[tuple[str, str]]:
    yield from _check_keys(file.keys)
    if not file.service:
        yield "service", "at least one is needed"
    for index, service in enumerate(file.service):
        location = f"service.{index}.planners"
        if not 1 <= len(service.planners) <= MAX_PLANNERS:
            yield location, f"1 to {MAX_PLANNERS} are needed; there are {len(service.planners)}"
        for number, planner in enumerate(service.planners):
            yield from find_address_problems(f"{location}.{number}", planner)
        yield from _check_unique(service.planners, location + ".{}")
    yield from _check_unique([service.name for service in file.service], "service.{}.name")
