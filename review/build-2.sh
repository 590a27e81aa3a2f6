#!/bin/bash
# Builds the stand-ins of the cases 4 to 8: Python without libraries, so it is only checked that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile stand_ins_2.py 4/case.py 5/case.py 6/case.py 7/case.py 8/case.py
