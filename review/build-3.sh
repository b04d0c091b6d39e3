#!/bin/sh
# Checks and compiles every stand-in that a script of the cases 11 to 15 starts, the
# project's own too. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/stand_ins_3.py review/1[1-5] berylpost || exit 1
PYTHONPATH=target/deps python3 -c '
import sys
sys.path.insert(0, "review")
import stand_ins_3, berylpost.fakes.objects, berylpost.edge.daemon
'
