#!/bin/sh
# Every stand-in of the cases is Python and needs no compiler: check that each parses and that its imports are there
# after the build of the deploy file. Nothing is written.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK' || exit 2
import ast
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
import review.harness
import review.leaf
import standins.platformleaf
import standins.platformstore
CHECK
