#!/usr/bin/env bash
# The stand-ins of cases 4 to 6 are Python files without dependencies: this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - fleet_stand_ins.py [4-6]/case.py <<'PY'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text("utf-8"), name, "exec")
PY
