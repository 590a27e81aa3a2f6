"""The README's example runs as written."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_example_runs_as_written() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    result = subprocess.run([sys.executable, "-c", example], capture_output=True, text=True, cwd=ROOT,
                            timeout=60, check=False)
    assert result.returncode == 0, result.stderr
    assert re.fullmatch(r"send r1 to (ada|bob|cyd), call back in 250 ms\ncancel attempt 0 of r1\n",
                        result.stdout)


def test_ci_runs_the_commands_that_the_readme_gives() -> None:
    commands, = re.findall(r"```sh\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    script = (ROOT / ".ci" / "run").read_text()
    assert all(f"{command}\n" in script for command in commands.splitlines()[1:])
    assert "pip\" -q install -r requirements.txt -r requirements-dev.txt" in script
