#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are written in Python with its standard library only, so nothing has to be compiled.
# This checks that they can be loaded.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
for file in lib-2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
