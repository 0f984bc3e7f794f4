#!/usr/bin/env bash
# Prepares what the scripts in review/6 to review/10 start beside the program of
# the deploy file. Their stand-ins are in Python (3.11 or newer, its standard
# library only) and need no build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
import harness2  # noqa: F401

for case in sorted(pathlib.Path(".").glob("[6-9]/case.py")) + sorted(
        pathlib.Path(".").glob("10/case.py")):
    compile(case.read_text(), str(case), "exec")
print("stand-ins: ready")
CHECK
