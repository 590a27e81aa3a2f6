"""Runs ward, and closes with how many passed and failed, alone on a line."""

import re
import subprocess
import sys

done = subprocess.run(
    [sys.executable, "-m", "ward", "--path", "stories", *sys.argv[1:]],
    stdout=subprocess.PIPE,
    text=True,
    check=False,
)
print(done.stdout, end="")
# The outcomes as ward's own progress lines name them; none of a story that could not even be collected.
outcomes = re.findall(r"^\s*(PASS|FAIL)\b", done.stdout, re.MULTILINE)
passed, failed = outcomes.count("PASS"), outcomes.count("FAIL")
if done.returncode and not failed:
    failed = 1
print(f"{passed} passed, {failed} failed")
sys.exit(1 if failed or not passed else 0)
