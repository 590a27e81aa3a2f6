"""Commands of the proxy for services: `check FILE`, `serve FILE`, `planner FILE` and `demo`."""

from __future__ import annotations

import argparse
import logging
import sys
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import Any

from cometdoor.host.settings_validation import SettingsError, parse_toml, read_bytes
from cometdoor.services.settings import Settings, load_settings, read_settings


def main(arguments: Sequence[str]) -> int:
    """Run a command; return the exit status: 0, 1 if it failed, or 2 if a file is invalid.

    Raises
    ------
    SystemExit
        With status 2, if the command line is invalid.
    """
    parser = argparse.ArgumentParser(prog="cometdoor", description="Several services behind one proxy.")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser(
        "check", help="validate an operators' file of any kind, and print all its problems"
    ).add_argument("file", type=Path)
    serving = commands.add_parser("serve", help="serve as an operators' file configures; SIGHUP reloads it")
    serving.add_argument("file", type=Path)
    serving.add_argument("--planning", type=Path, metavar="FORWARDERS", help="a file that names planners")
    planner = commands.add_parser(
        "planner", help="advise forwarders; 'planner status FILE' shows the state of a running planner"
    )
    planner.add_argument("operands", nargs="+", metavar="[status] FILE")
    planner.add_argument(
        "--names", type=Path, metavar="SERVICES", help="a services' file: its servers are shown by name"
    )
    demo = commands.add_parser("demo", help="two services on this machine, one of which freezes")
    demo.add_argument("--seconds", type=float, default=20.0)
    demo.add_argument("--plain", action="store_true", help="no live view, only the closing table")
    options = parser.parse_args(arguments)
    try:
        match options.command:
            case "check":
                return check(options.file)
            case "serve":
                return serve(options.file, load_settings(options.file), options.planning)
            case "planner":
                return run_planner(parser, options.operands, options.names)
            case _:
                return run_demo(options.seconds, options.plain)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2


def check(path: Path) -> int:
    """Validate an operators' file of any kind, and print what it configures.

    Raises
    ------
    SettingsError
        With every problem of the file.
    """
    raw = read_bytes(path)
    content = parse_toml(raw, str(path))
    if "planner" in content or "forwarder" in content:
        return check_planning(path, "planner" in content)
    settings = read_settings(raw, str(path))
    print(f"{path}: good; {len(settings.service)} services, {len(settings.routes())} routes")
    for route in settings.routes():
        print(f"  {route.describe()} -> {route.service}")
    return 0


def check_planning(path: Path, is_planner_file: bool) -> int:
    """Validate a file of a planner or of a forwarder, and print what it configures.

    Raises
    ------
    SettingsError
        With every problem of the file.
    """
    from cometdoor.planning.settings import load_forwarders, load_planners

    if is_planner_file:
        planners, keys = load_planners(path)
        print(
            f"{path}: good; planner {planners.planner.number} of {planners.planner.planners}, "
            f"{len(planners.fleet)} fleets, {len(keys.known)} keys"
        )
    else:
        forwarders, keys = load_forwarders(path)
        print(
            f"{path}: good; forwarder {forwarders.forwarder.number}, {len(forwarders.service)} services, "
            f"{len(keys.known)} keys"
        )
    return 0


def serve(path: Path, settings: Settings, planning: Path | None) -> int:
    """Serve as an operators' file configures.

    Parameters
    ----------
    path, settings
        The file and its content.
    planning
        The forwarders' file, which names the planners; None: serve without planners.
    """
    from cometdoor.services import serve as serving

    if planning is None:
        return run(serving.serve(path, settings))
    from cometdoor.planning.settings import load_forwarders
    from cometdoor.planning.transport import PlannerTransports

    file, keys = load_forwarders(planning)
    known = {service.name for service in settings.service}
    if unknown := [service.name for service in file.service if service.name not in known]:
        print(f"{planning}: {path} has no service {', '.join(unknown)}", file=sys.stderr)
        return 2
    return run(serving.serve(path, settings, planning, lambda loop: PlannerTransports(loop, file, keys)))


def run_planner(parser: argparse.ArgumentParser, operands: Sequence[str], names: Path | None) -> int:
    """Run a planner, or print the status page of a running one; return the exit status."""
    if len(operands) == 2 and operands[0] == "status":
        return show_status(Path(operands[1]), names)
    if len(operands) != 1 or names is not None:
        parser.error("planner FILE, or planner status FILE [--names SERVICES]")
    from cometdoor.planning import serve as planning
    from cometdoor.planning.settings import load_planners

    path = Path(operands[0])
    return run(planning.serve(path, *load_planners(path)))


def show_status(path: Path, names: Path | None) -> int:
    """Print the status page of a running planner; return the exit status.

    Parameters
    ----------
    path
        The planner's file, which has the address of the status page.
    names
        A services' file, from which the names of servers are taken; None: servers are shown without names.
    """
    import socket

    import msgspec

    from cometdoor.host.address import parse_address
    from cometdoor.planning.settings import load_planners
    from cometdoor.planning.status import Status, render_page

    address = load_planners(path)[0].planner.status
    if address is None:
        print(f"{path}: planner.status: missing; without it a planner shows no page", file=sys.stderr)
        return 2
    servers = (
        [server.name for service in load_settings(names).service for server in service.servers or ()]
        if names is not None
        else []
    )
    try:
        with (
            socket.create_connection(parse_address(address), timeout=5.0) as connection,
            connection.makefile("rb") as page,
        ):
            status = msgspec.json.decode(page.read(), type=Status)
    except (OSError, msgspec.DecodeError) as error:
        print(f"cometdoor: no status page from the planner at {address}: {error}", file=sys.stderr)
        return 1
    print(render_page(status, servers))
    return 0


def run(program: Coroutine[Any, Any, None]) -> int:
    """Run a program on uvloop, with its log on standard error; return 1 after an OSError, else 0."""
    import uvloop

    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        uvloop.run(program)
    except OSError as error:
        print(f"cometdoor: {error}", file=sys.stderr)
        return 1
    return 0


def run_demo(seconds: float, plain: bool) -> int:
    """Run the stand-ins' demo for `seconds`; if `plain`, without the live view."""
    try:
        from standins import demo
    except ImportError as error:
        print(
            f"cometdoor: the demo runs from the repository, with the extra 'demo' installed: {error}",
            file=sys.stderr,
        )
        return 1
    return demo.run(seconds, plain)
