#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file: they and
# the project's own that they use are plain Python on its packages.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" exec python3 -c '
import ast
import pathlib

import berylpost.edge.daemon
import berylpost.fakes.objects
import stand_ins_3

for number in range(11, 16):
    ast.parse(pathlib.Path(f"review/{number}/check.py").read_text())
'
