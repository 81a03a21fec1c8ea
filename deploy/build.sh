#!/bin/sh
# Put everything that the entry process needs into target/deps: its libraries,
# pinned by hash and without test or plotting packages, and the project's sources.
set -eu
deps=target/deps
if [ ! "$deps/.libraries" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --no-deps --require-hashes \
        --target "$deps" -r deploy/requirements.txt
    touch "$deps/.libraries"
fi
for package in packages/core/src/plantainloft_core packages/node/src/plantainloft_node \
    platform/src/plantainloft_platform; do
    rm -rf "$deps/${package##*/}"
    cp -R "$package" "$deps/"
done
# Compile to bytecode now, so that no process has to compile when it starts.
python3 -m compileall -q "$deps"
