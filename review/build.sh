#!/usr/bin/env bash
# The stand-ins of the cases are Python files of the standard library alone, so there is
# nothing to compile: this checks that they are whole.
set -euo pipefail
cd "$(dirname "$0")"
for source in stand_ins.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
