#!/usr/bin/env bash
# Puts the libraries and the packages of the daemon under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/.libraries
if ! cmp -s "$stamp" deploy/requirements.txt; then
    rm -rf "$deps"
    python3 -m pip install -q -c constraints.txt --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps"/plankspindle_*
cp -r packages/core/src/plankspindle_core packages/daemon/src/plankspindle_daemon \
    platform/plankspindle_platform "$deps"/
find "$deps" -path '*plankspindle_*' -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$deps"
