#!/bin/sh
# Builds the stand-ins of review 3. They are Python programs without dependencies,
# so this only checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - harness3.py 1[1-5]/case.py <<'EOF'
import sys
for path in sys.argv[1:]:
    if "[" in path:
        continue
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
EOF
