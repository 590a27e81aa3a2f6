"""The mesh's words of the command line: `cometdoor dataplane`, `cometdoor controlplane`, `cometdoor mesh`."""

from __future__ import annotations

import sys

import typer

from cometdoor import daemons

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
