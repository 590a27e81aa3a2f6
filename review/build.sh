#!/bin/sh
# Builds the stand-ins of the cases. They use Python's standard library only, so that compiling is all.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
