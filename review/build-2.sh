#!/usr/bin/env bash
# Builds the stand-ins of cases 6 and later, after the build of the deploy file. They are Python and need no compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
python3 -m compileall -q review/standins2
PYTHONPATH="target/deps:review" python3 -c "from standins2 import deployment, store, worker"
