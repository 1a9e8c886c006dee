#!/usr/bin/env bash
# Puts the libraries, at the versions of constraints.txt, and the packages of the daemon under target/deps.
# Building again without a change touches nothing, so that running processes stay whole. Cached bytecode is valid
# whatever the times of the files, which a copy may change: a start that compiles all modules takes nearly twice the
# processor time.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
sources=(packages/core/src/plankspindle_core packages/daemon/src/plankspindle_daemon
    platform/plankspindle_platform)

wanted=$(sha256sum deploy/requirements.txt constraints.txt)
if [ "$(cat target/.libraries 2>/dev/null || true)" != "$wanted" ]; then
    rm -rf "$deps" target/.sources
    python3 -m pip install -q --no-compile -c constraints.txt --target "$deps" -r deploy/requirements.txt
    python3 -m compileall -q --invalidation-mode unchecked-hash "$deps"
    echo "$wanted" > target/.libraries
fi

wanted=$(find "${sources[@]}" -type f ! -name '*.pyc' -print0 | sort -z | xargs -0 sha256sum)
if [ "$(cat target/.sources 2>/dev/null || true)" != "$wanted" ]; then
    rm -rf "$deps"/plankspindle_*
    cp -r "${sources[@]}" "$deps"/
    find "$deps"/plankspindle_* -name __pycache__ -prune -exec rm -rf {} +
    python3 -m compileall -q --invalidation-mode unchecked-hash "$deps"/plankspindle_*
    echo "$wanted" > target/.sources
fi
