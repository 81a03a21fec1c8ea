#!/bin/sh
# Prepares what the scripts of the cases 4 to 8 start besides the entry instances, which
# deploy/build.sh builds. The stand-ins for the store, the endpoints and the callers are in
# review/lib-2 and need nothing but the standard library of Python, so there is nothing to
# compile or install: this checks the interpreter, and that all files can be parsed.
set -eu
cd "$(dirname "$0")"
python3 -B - lib-2/*.py [4-8]/case.py <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), filename=name)
PYTHON
