#!/usr/bin/env bash
# The stand-ins are Python programs that use the standard library only: nothing is compiled, and
# this checks that they can be read by the interpreter that runs them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [123]/case.py trials/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
