#!/bin/sh
# Provide what the scripts of the cases need: Python 3.11 with its standard library, for the
# stand-ins in review/lib, and the build of the deploy file for the entry processes.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps/plantainloft_platform || sh deploy/build.sh
python3 -m py_compile review/lib/*.py review/[1-9]/*.py
