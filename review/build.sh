#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are in Python and need no compiler: this checks that they compile.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null
for f in common/standins.py [0-9]*/case.py; do python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f"; done
