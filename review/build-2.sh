#!/bin/bash
# The stand-ins of cases 6 to 10 are Python modules: review/rig2.py, review/budget2.py, review/callers2.py and the project's own in
# standins/. They need no compiler; this checks that they load with the packages that the deploy file's build has put
# into target/deps, and that their sources are complete.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "target/deps is missing: run the line 'build' of deploy/system.toml first" >&2; exit 1; }
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
python3 -c "import rig2, budget2" || exit 1
python3 -c "import ast; ast.parse(open('review/callers2.py').read())" || exit 1
for case in review/{6,7,8,9,10}/case.py; do
  [ -e "$case" ] || continue
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$case" || exit 1
done
echo "stand-ins of cases 6 to 10 are in place"
