#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy
# file: they and the project's own that they use are plain Python on its packages.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD" exec python3 -c '
import importlib

for number in range(6, 11):
    importlib.import_module(f"review.{number}.case")
'
