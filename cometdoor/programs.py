"""The mesh's words of the command line: `cometdoor dataplane`, `cometdoor controlplane`, `cometdoor mesh`."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from cometdoor import daemons

if TYPE_CHECKING:
    from cometdoor.control.offline import Holding

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  rich_markup_mode=None,
                  help="A service mesh: a data plane beside each backend, a control plane on a few machines.")


@app.command()
def dataplane() -> None:
    """The proxy beside a backend; COMETDOOR_NODE_FILE names its settings."""
    raise typer.Exit(daemons.run("dataplane"))


@app.command()
def controlplane() -> None:
    """A member of the core; COMETDOOR_NODE_FILE names its settings."""
    raise typer.Exit(daemons.run("controlplane"))


state = typer.Typer(no_args_is_help=True, rich_markup_mode=None,
                    help="A member's data directory, read without the member; nothing in it is changed.")
app.add_typer(state, name="state")
Folder = Annotated[Path, typer.Argument(help="the member's data-directory")]
AsJson = Annotated[bool, typer.Option("--json", help="one JSON object instead of lines")]


def _read(folder: Path) -> Holding:
    from cometdoor.control.offline import read_holding

    try:
        return read_holding(folder)
    except OSError as problem:
        print(f"cometdoor: {problem}", file=sys.stderr)
        raise typer.Exit(2) from None


@state.command()
def show(folder: Folder, as_json: AsJson = False) -> None:
    """What it holds: whose it is, its promises, how far its log is, the configuration in force."""
    holding = _read(folder)
    held = holding.held
    facts: dict[str, object] = {
        "member": held.id, "term": held.term, "voted-for": held.voted_for, "committed": held.committed,
        "last": holding.last_index, "members": list(holding.members), "revision": holding.state.revision,
        "keys": len(holding.state.keys), "later-revisions": [one.revision for one in holding.later()],
        "file": holding.file, "faults": holding.faults, "notes": holding.notes}
    print(json.dumps(facts) if as_json else "\n".join(
        f"{name:16} {', '.join(map(str, value)) if isinstance(value, list) else value}"
        for name, value in facts.items()))


@state.command()
def verify(folder: Folder) -> None:
    """Whether a member may start on it as the one that it was. Exit status 1: it may not."""
    holding = _read(folder)
    for text in (*holding.faults, *holding.notes):
        print(text)
    if holding.faults:
        raise typer.Exit(1)
    print(f"good: member {holding.held.id or '(none yet)'}, {holding.last_index} entries, "
          f"{holding.held.committed} known to be committed")


@state.command()
def export(folder: Folder) -> None:
    """The newest configuration that it knows to be in force, as it was sent. Exit status 1: there is none."""
    holding = _read(folder)
    if not holding.state.revision:
        print(f"cometdoor: {folder} knows of no configuration in force", file=sys.stderr)
        raise typer.Exit(1)
    sys.stdout.write(holding.state.body.decode() + "\n")
    for one in holding.later():
        print(f"cometdoor: revision {one.revision} lies behind it, in force or not: ask the other members",
              file=sys.stderr)


@app.command()
def members(address: Annotated[str, typer.Argument(help="a control plane's IP:PORT")],
            as_json: AsJson = False) -> None:
    """Who leads the core and who is in it, as one of them sees it."""
    from cometdoor.client.wire import Broken, ask_once

    try:
        answer = asyncio.run(ask_once(address, "GET", "/Core.Describe", {}, b"", 2.0))
        core = json.loads(answer.body)
        lines = [f"{'*' if one['id'] == core['leader'] else ' '} {one['id']}  {one['control-plane']:21}  "
                 f"{one['node']}" for one in core["members"]]
    except (Broken, ValueError, KeyError, TypeError) as problem:
        print(f"cometdoor: no core member answers at {address}: {problem}", file=sys.stderr)
        raise typer.Exit(1) from None
    if as_json:
        print(json.dumps(core))
    else:
        print("\n".join([f"term {core['term']}, {core['committed']} of {core['last']} entries committed, "
                         f"configuration {core['revision']}, {core['keys']} keys", *lines]))


mesh = typer.Typer(no_args_is_help=True, rich_markup_mode=None, help="The whole mesh on this machine.")
app.add_typer(mesh, name="mesh")


@mesh.command()
def demo(seconds: float = 20.0) -> None:
    """Real processes on loopback: requests are served while a core member and a backend are killed."""
    try:
        from standins import mesh as on_this_machine
    except ImportError as problem:
        print(f"cometdoor: the demo runs from the repository: {problem}", file=sys.stderr)
        raise typer.Exit(1) from None
    raise typer.Exit(on_this_machine.run(seconds))
