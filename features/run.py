"""Runs behave on the features of this folder and prints the totals.

Scenarios tagged `known_red` are listed in KNOWN-RED.txt; they are skipped, and the list
is printed. The exit status is 1 on any failure and if no scenario ran.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

FEATURES = Path(__file__).parent
KNOWN_RED = FEATURES.parent / "KNOWN-RED.txt"


def count_scenarios(report: str) -> dict[str, int]:
    """Counts the scenarios in behave's JSON report by status."""
    counts: dict[str, int] = {}
    for feature in json.loads(report or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                status = element.get("status", "untested")
                counts[status] = counts.get(status, 0) + 1
    return counts


def main() -> int:
    """Runs the features given on the command line, or all."""
    if KNOWN_RED.exists() and KNOWN_RED.read_text().strip():
        print(f"known red:\n{KNOWN_RED.read_text()}", flush=True)
    features_to_run = sys.argv[1:] or [str(FEATURES)]
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "behave", "--no-color", "--no-summary"]
        command += ["--no-skipped", "--tags", "not @known_red", "--no-capture"]
        # --outfile applies to the first format; the second writes to the console.
        command += ["--format", "json", "--outfile", report.name]
        command += ["--format", "progress2"]
        status = subprocess.run(
            [*command, *features_to_run], cwd=FEATURES.parent
        ).returncode
        counts = count_scenarios(Path(report.name).read_text())
    n_passed = counts.pop("passed", 0)
    counts.pop("skipped", 0)
    n_failed = sum(counts.values())
    print(f"\n{n_passed} passed, {n_failed} failed", flush=True)
    return 0 if n_passed and not n_failed and status == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
