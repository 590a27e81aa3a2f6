#!/bin/sh
# Exit status 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
PYTHONPATH=. exec python3 "$folder/case.py"
