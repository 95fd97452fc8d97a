#!/usr/bin/env bash
# The stand-ins of the cases 6 and up are Python (standard library only): nothing is
# compiled. Checks that the interpreter can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
for file in lib-2/*.py [0-9]*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
