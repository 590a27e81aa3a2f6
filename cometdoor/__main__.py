"""`python -m cometdoor` alone is the platform's proxy (cometdoor/discovery/program.py). With a word behind
it, it is the mesh's command line (cometdoor/programs.py) or the operators' (cometdoor/cli.py).

Nothing is imported that the word does not need: starting is paid for, and memory is scarce.
"""

from __future__ import annotations

import sys

DAEMONS = ("dataplane", "controlplane")
MESH = (*DAEMONS, "mesh", "state", "members", "log")


def main() -> int:
    words = sys.argv[1:]
    if not words:
        from cometdoor.discovery import program

        return program.main()
    if words[0] in MESH:
        # A daemon writes to no terminal: without these pages of colours it holds 3 MB less (36.1 to
        # 32.9). typer and structlog do without them where they can't be had.
        sys.modules["rich"] = None  # type: ignore[assignment]
        if len(words) == 1 and words[0] in DAEMONS:
            from cometdoor import daemons

            return daemons.run(words[0])
        from cometdoor.programs import app

        app(prog_name="cometdoor")
    from cometdoor import cli

    return cli.main(words)


if __name__ == "__main__":
    sys.exit(main())
