"""The mesh's commands: `dataplane`, `controlplane`, `state`, `members`, `log` and `mesh`.

Docstrings of commands are their help texts, and therefore part of the interface.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from cometdoor.cli import daemons

if TYPE_CHECKING:
    from cometdoor.control.offline_inspection import DirectoryContents
    from cometdoor.control.rebuild import RebuildResult

LOG_ENTRIES_SHOWN = 20  # entries that `log` shows without --after
MemberReport = dict[str, Any]  # JSON body of Core.Describe and Core.Log, of the control plane's admin API

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="A service mesh: a data plane beside each backend, a control plane on a few machines.",
)


@app.command()
def dataplane() -> None:
    """Run the proxy beside a backend; COMETDOOR_NODE_FILE names its settings."""
    raise typer.Exit(daemons.run("dataplane"))


@app.command()
def controlplane() -> None:
    """Run a member of the core; COMETDOOR_NODE_FILE names its settings."""
    raise typer.Exit(daemons.run("controlplane"))


state = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help="Inspect a member's data directory offline; nothing in it is changed.",
)
app.add_typer(state, name="state")
DataDirectory = Annotated[Path, typer.Argument(help="the member's data-directory")]
JsonOption = Annotated[bool, typer.Option("--json", help="one JSON object instead of lines")]


def _read_data_directory(folder: Path) -> DirectoryContents:
    from cometdoor.control.offline_inspection import read_data_directory

    try:
        return read_data_directory(folder)
    except OSError as error:
        print(f"cometdoor: {error}", file=sys.stderr)
        raise typer.Exit(2) from None


@state.command()
def show(folder: DataDirectory, as_json: JsonOption = False) -> None:
    """Show the member's id, term and vote, how far its log goes, and the configuration in force."""
    contents = _read_data_directory(folder)
    durable_state = contents.durable_state
    facts: dict[str, object] = {
        "member": durable_state.id,
        "term": durable_state.term,
        "voted-for": durable_state.voted_for,
        "committed": durable_state.committed,
        "last": contents.last_index,
        "members": list(contents.members),
        "revision": contents.state.revision,
        "keys": len(contents.state.keys),
        "later-revisions": [entry.revision for entry in contents.uncommitted_configurations()],
        "file": contents.file,
        "faults": contents.faults,
        "notes": contents.warnings,
    }
    print(
        json.dumps(facts)
        if as_json
        else "\n".join(
            f"{name:16} {', '.join(map(str, value)) if isinstance(value, list) else value}"
            for name, value in facts.items()
        )
    )


@state.command()
def verify(folder: DataDirectory) -> None:
    """Check whether the member may start again with this directory. Exit status 1: it may not."""
    contents = _read_data_directory(folder)
    for text in (*contents.faults, *contents.warnings):
        print(text)
    if contents.faults:
        raise typer.Exit(1)
    print(
        f"good: member {contents.durable_state.id or '(none yet)'}, {contents.last_index} entries, "
        f"{contents.durable_state.committed} known to be committed"
    )


@state.command()
def export(folder: DataDirectory) -> None:
    """Print the newest configuration known to be in force, as submitted. Exit status 1: there is none."""
    contents = _read_data_directory(folder)
    if not contents.state.revision:
        print(f"cometdoor: {folder} has no configuration known to be in force", file=sys.stderr)
        raise typer.Exit(1)
    sys.stdout.write(contents.state.body.decode() + "\n")
    for entry in contents.uncommitted_configurations():
        print(
            f"cometdoor: revision {entry.revision} is newer, in force or not: ask the other members",
            file=sys.stderr,
        )


@state.command()
def rebuild(
    settings: Annotated[Path, typer.Argument(help="the new member's settings file")],
    folders: Annotated[list[Path], typer.Argument(help="data directories that are left")],
) -> None:
    """Rebuild a core of one member from the disks that are left, after a majority was lost for good.

    It is written to the data-directory of the settings, which must be empty; others join with empty ones.
    """
    from cometdoor.control.rebuild import RebuildError
    from cometdoor.control.rebuild import rebuild as build
    from cometdoor.host.node_settings import read_node_settings
    from cometdoor.host.settings_validation import SettingsError, read_bytes
    from cometdoor.wire.log_entries import Member

    try:
        node_settings = read_node_settings(read_bytes(settings), str(settings), "controlplane")
        assert (
            node_settings.data_directory is not None
            and node_settings.listen_addresses.control_plane is not None
        )
        own_member = Member(
            "",
            node_settings.internal_address("controlplane"),
            node_settings.listen_addresses.control_plane,
            node_settings.node_name,
            node_settings.zone,
        )
        rebuilt = build(
            folders,
            Path(node_settings.data_directory),
            own_member,
            node_settings.bound_value("idempotency-window-s", 60.0),
        )
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(2) from None
    except (OSError, RebuildError) as error:
        print(f"cometdoor: {error}", file=sys.stderr)
        raise typer.Exit(1) from None
    _print_rebuilt(rebuilt, node_settings.data_directory)


def _print_rebuilt(rebuilt: RebuildResult, data_directory: str) -> None:
    print(
        f"member {rebuilt.member} in {data_directory}, from {rebuilt.source}, "
        f"the furthest of {rebuilt.source_count}\n"
        f"configuration {rebuilt.revision or 'none'}; {rebuilt.last_index} entries, "
        f"{rebuilt.committed} of them known to be committed\n"
        f"the core was {', '.join(rebuilt.members_before) or 'not known'}\n"
        "entries only on the other disks are lost; no key is accepted until the idempotency window has passed"
    )
    if rebuilt.uncertain_revisions:
        print(
            f"cometdoor: revision {', '.join(map(str, rebuilt.uncertain_revisions))}: "
            "kept, though nobody may have been told that it is in force: ask its operators",
            file=sys.stderr,
        )


@contextmanager
def _control_plane_api(address: str) -> Iterator[Callable[[str], MemberReport]]:
    """Yield a function that fetches a path from the core member at `address`.

    A failed request, or a body that is not as expected, ends the command with status 1.
    """
    from cometdoor.client.connection import ConnectionFailed, request_once

    def fetch(path: str) -> MemberReport:
        return dict(json.loads(asyncio.run(request_once(address, "GET", path, {}, b"", 2.0)).body))

    try:
        yield fetch
    except (ConnectionFailed, ValueError, KeyError, TypeError) as error:
        print(f"cometdoor: no core member answers at {address}: {error}", file=sys.stderr)
        raise typer.Exit(1) from None


def describe_freshness(reported: MemberReport) -> str:
    """Return a line that says whether a majority confirmed a core member's report, or how old it is."""
    contact = reported["contact"]
    if contact["confirmed"]:
        return f"confirmed by a majority in term {reported['term']}, which {reported['id']} leads"
    if contact["as-of-s"] is None:
        return f"NOT CONFIRMED: {reported['id']} has not been in touch with any leader since it started"
    return (
        f"as of {contact['as-of-s']} s ago, when {reported['id']} was last in touch with a leader or majority"
    )


@app.command("log")
def show_log(
    address: Annotated[str, typer.Argument(help="a control plane's IP:PORT")],
    after: Annotated[int, typer.Option(help="only entries after this index")] = -1,
    as_json: JsonOption = False,
) -> None:
    """Show the newest entries of the core's log, as one member holds them: + committed, ? not known to be."""
    with _control_plane_api(address) as fetch:
        reported = fetch(f"/Core.Log/{after if after >= 0 else 1 << 60}")
        if after < 0:
            reported = fetch(f"/Core.Log/{max(reported['last'] - LOG_ENTRIES_SHOWN, 0)}")
        lines = [
            f"{entry['index']:>8} {'+' if entry['committed'] else '?'} term {entry['term']:<4} "
            + " ".join(
                f"{value}" if name == "change" else f"{name}={value}"
                for name, value in entry.items()
                if name not in ("index", "committed", "term") and value != ""
            )
            for entry in reported["entries"]
        ]
    if as_json:
        print(json.dumps(reported))
    else:
        print(
            "\n".join(
                [
                    describe_freshness(reported),
                    f"a snapshot holds all up to {reported['snapshot-index']}; {reported['committed']} of "
                    f"{reported['last']} are committed",
                    *lines,
                ]
            )
        )


@app.command()
def members(
    address: Annotated[str, typer.Argument(help="a control plane's IP:PORT")], as_json: JsonOption = False
) -> None:
    """Show the core's leader and members, as one of them sees them."""
    with _control_plane_api(address) as fetch:
        core = fetch("/Core.Describe")
        lines = [
            f"{'*' if entry['id'] == core['leader'] else ' '} {entry['id']}  {entry['control-plane']:21}  "
            f"{entry['node']}{'' if entry.get('voter', True) else '  (learner)'}"
            + ("" if entry["heard-s"] is None else f"  answered {entry['heard-s']} s ago")
            for entry in core["members"]
        ]
    if as_json:
        print(json.dumps(core))
    else:
        print(
            "\n".join(
                [
                    describe_freshness(core),
                    f"term {core['term']}, {core['committed']} of {core['last']} entries committed, "
                    f"configuration {core['revision']}, {core['keys']} keys"
                    + ("" if core["members-committed"] else ", a change of members under way"),
                    *lines,
                ]
            )
        )


mesh = typer.Typer(no_args_is_help=True, rich_markup_mode=None, help="Run a complete mesh on this machine.")
app.add_typer(mesh, name="mesh")


@mesh.command()
def demo(seconds: float = 20.0) -> None:
    """Run real processes on loopback: requests are served while a core member and a backend are killed."""
    try:
        from standins import mesh as local_mesh
    except ImportError as error:
        print(f"cometdoor: the demo runs from the repository: {error}", file=sys.stderr)
        raise typer.Exit(1) from None
    raise typer.Exit(local_mesh.run(seconds))
