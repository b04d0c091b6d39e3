#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; what happened is written to record.txt (both in ../stand_ins_3.py).
cd "$(dirname "$0")" || exit 2
python3 -c "import check" || exit 2
exec python3 check.py
