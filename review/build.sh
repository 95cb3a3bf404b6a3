#!/bin/bash
# Builds the stand-ins that the scripts start: they are Python and need only the packages of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/standins review/[1-5] || exit 2
PYTHONPATH=target/deps:. python3 -c "from review.standins import deployment"
