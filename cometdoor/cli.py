"""The operators' command line: `python -m cometdoor check FILE`, `serve FILE`, `demo`."""

from __future__ import annotations

import argparse
import logging
import sys
from collections.abc import Sequence
from pathlib import Path

from cometdoor.core.schema import BadSettings
from cometdoor.settings import Settings, load_settings


def main(arguments: Sequence[str]) -> int:
    """0: done; 1: it could not be done; 2: the file or the command line is wrong."""
    parser = argparse.ArgumentParser(prog="cometdoor", description="Several services behind one proxy.")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (("check", "say everything that is wrong with an operators' file"),
                       ("serve", "serve by an operators' file; SIGHUP has it read again")):
        commands.add_parser(name, help=text).add_argument("file", type=Path)
    demo = commands.add_parser("demo", help="two services on this machine, one of which freezes")
    demo.add_argument("--seconds", type=float, default=20.0)
    demo.add_argument("--plain", action="store_true", help="no live view, only the closing table")
    chosen = parser.parse_args(arguments)
    if chosen.command == "demo":
        return run_demo(chosen.seconds, chosen.plain)
    try:
        settings = load_settings(chosen.file)
    except BadSettings as problem:
        print(problem, file=sys.stderr)
        return 2
    return check(chosen.file, settings) if chosen.command == "check" else serve(chosen.file, settings)


def check(path: Path, settings: Settings) -> int:
    print(f"{path}: good; {len(settings.service)} services, {len(settings.routes())} routes")
    for route in settings.routes():
        print(f"  {route.text()} -> {route.service}")
    return 0


def serve(path: Path, settings: Settings) -> int:
    import uvloop

    from cometdoor.services import serve as serving

    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        uvloop.run(serving.serve(path, settings))
    except OSError as problem:
        print(f"cometdoor: {problem}", file=sys.stderr)
        return 1
    return 0


def run_demo(seconds: float, plain: bool) -> int:
    try:
        from standins import demo
    except ImportError as problem:
        print("cometdoor: the demo runs from the repository, with requirements-demo.txt installed: "
              f"{problem}", file=sys.stderr)
        return 1
    return demo.run(seconds, plain)
