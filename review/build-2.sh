#!/bin/bash
# Builds the stand-ins of cases 6 to 10: checks that they compile. They need Python 3.11 or newer
# and nothing beyond its standard library.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPYCACHEPREFIX="$PWD/target/review-2"
exec python3 -m compileall -q review/common-2 review/6 review/7 review/8 review/9 review/10
