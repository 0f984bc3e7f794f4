#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python files that use only the
# standard library and are not compiled; the scripts start no stand-in of the
# project itself.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py [1-5]/case.py; do
  if [ -e "$file" ]; then
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
  fi
done
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
