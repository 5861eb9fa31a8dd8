#!/bin/bash
# Plays the case once: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
cd "$root" || exit 2
export PYTHONPATH="$root/target/deps:$root/review/common-2"
exec python3 "$here/case.py"
