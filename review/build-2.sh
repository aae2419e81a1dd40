#!/usr/bin/env bash
# Prepares what the scripts of cases 6 to 10 start besides the node. The
# stand-ins are Python programs of the standard library, so there is nothing to
# compile; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"

for file in support-2/*.py */case.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
