#!/bin/sh
# Builds the stand-ins of the cases. They are Python modules without dependencies, so this only
# checks that all of them compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
from pathlib import Path

for path in Path(".").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
END
