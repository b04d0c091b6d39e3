"""Runs behave on the features of this folder and prints what failed and the totals.

Features run side by side, each in a process of its own: their fakes have addresses and
ports of their own. Those tagged `alone` run after the others, one at a time, since they
load the machine and measure processes. Scenarios tagged `known_red` are listed in
KNOWN-RED.txt; they are skipped, and the list is printed. The exit status is 1 on any
failure and if no scenario ran.
"""

import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

FEATURES = Path(__file__).parent
KNOWN_RED = FEATURES.parent / "KNOWN-RED.txt"
N_WORKERS = 2
ALONE_TAG = "@alone"


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What behave printed for one feature.

    Attributes:
        scenarios: status of each scenario, with its place and name.
        status: exit status of behave.
    """

    output: str
    scenarios: list[tuple[str, str]]
    status: int


def list_scenarios(report: str) -> list[tuple[str, str]]:
    """Lists the scenarios in behave's JSON report: status, and place with name."""
    return [
        (element.get("status", "untested"), f"{element['location']} {element['name']}")
        for feature in json.loads(report or "[]")
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


def run_feature(arguments: list[str]) -> Result:
    """Runs behave with a feature's path and further arguments."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "behave", "--no-color", "--no-summary"]
        command += ["--no-skipped", "--tags", "not @known_red", "--no-capture"]
        # --outfile applies to the first format; the second writes to the console.
        command += ["--format", "json", "--outfile", report.name]
        command += ["--format", "progress2"]
        done = subprocess.run(
            [*command, *arguments],
            cwd=FEATURES.parent,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        scenarios = list_scenarios(Path(report.name).read_text())
    return Result(output=done.stdout, scenarios=scenarios, status=done.returncode)


def list_runs(arguments: list[str]) -> list[list[str]]:
    """Lists the arguments of each run of behave: one for each feature by default."""
    if arguments:
        return [arguments]
    paths = sorted(FEATURES.glob("*.feature"), key=lambda path: -path.stat().st_size)
    return [[str(path)] for path in paths]


def is_alone(run: list[str]) -> bool:
    """Tells whether the feature of a run must not run beside others."""
    return any(
        Path(argument).is_file() and Path(argument).read_text().startswith(ALONE_TAG)
        for argument in run
    )


def run_all(runs: list[list[str]]) -> Iterator[Result]:
    """Runs features side by side, then those that must run alone."""
    with ThreadPoolExecutor(N_WORKERS) as executor:
        yield from executor.map(run_feature, [r for r in runs if not is_alone(r)])
    yield from map(run_feature, [r for r in runs if is_alone(r)])


def main() -> int:
    """Runs the features given on the command line, or all."""
    if KNOWN_RED.exists() and KNOWN_RED.read_text().strip():
        print(f"known red:\n{KNOWN_RED.read_text()}", flush=True)
    n_passed = 0
    failures: list[str] = []
    failed = False
    for result in run_all(list_runs(sys.argv[1:])):
        print(result.output, end="", flush=True)
        failed = failed or result.status != 0
        n_passed += sum(status == "passed" for status, _ in result.scenarios)
        failures += [
            f"{status}: {scenario}"
            for status, scenario in result.scenarios
            if status not in ("passed", "skipped")
        ]
    print("", *failures, f"{n_passed} passed, {len(failures)} failed", sep="\n")
    return 0 if n_passed and not failures and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
