#!/bin/sh
# Checks that the stand-ins of all cases compile; they need nothing beyond the build of
# the deploy file. Run it at the root of the repository, after that build.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
import pathlib

for path in pathlib.Path("review").rglob("*.py"):
    ast.parse(path.read_text(), str(path))
PY
