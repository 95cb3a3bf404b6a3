#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: could not run. With TROUBLE=0, without the disruption.
folder=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. exec timeout --kill-after=5 118 python3 "review/$folder/scenario.py"
