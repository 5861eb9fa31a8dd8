#!/usr/bin/env bash
# Build the stand-ins of the cases: they need the standard library of Python 3.11 alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for name in ("fleet.py", *sys.argv[1:]):
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
EOF
