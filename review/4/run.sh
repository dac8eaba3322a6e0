#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
exec python3 review/4/case.py
