"""Measures the slopes on which docs/CAPACITY.md is based, for `make capacity`.

Runs the benchmarks one after the other, for a bounded time, and writes figures.json
and plots. The page cites these figures with the date of their run; nothing here
depends on the page.
"""

import argparse
import datetime
import os
import statistics
import sys
from pathlib import Path
from typing import Any, Final

import msgspec

from .catalogue import load_experiments

ORDER: Final = ("decisions", "gossip", "relay", "bookings", "store")

# Sizes from the users' requirements, and the resulting sizes per daemon and region.
N_DAEMONS: Final = 1_100
DAEMONS_PER_REGION: Final = 122
REPLICAS_PER_REGION: Final = 1_111
REQUESTS_PER_S: Final = 57_000
STREAMS_PER_DAEMON: Final = 492


def fit_slope(points: dict[float, float]) -> tuple[float, float]:
    """Fits a line and returns its slope, per unit of size, and its intercept."""
    fitted = statistics.linear_regression(list(points), list(points.values()))
    return fitted.slope, fitted.intercept


def extrapolate(figures: dict[str, Any]) -> dict[str, float]:
    """Extrapolates the measured slopes to the size that the capacity is planned for."""
    relay = {
        float(n): results["core_at_all_open"]
        for n, results in figures["relay"]["by_streams"].items()
    }
    resident = {
        float(n): float(results["resident_bytes"])
        for n, results in figures["relay"]["by_streams"].items()
    }
    gossip = figures["gossip"]["by_members"]
    sent = {float(n): f["bytes_out_a_member_s"] for n, f in gossip.items()}
    core = {float(n): f["core_a_member"] for n, f in gossip.items()}
    store = figures["store"]["by_daemons"]
    writes = {float(n): f["store_calls_s"]["write"] for n, f in store.items()}
    watches = {float(n): f["store_calls_s"].get("watch", 0.0) for n, f in store.items()}
    idle = {float(n): f["core_a_daemon"] for n, f in store.items()}

    def estimate(points: dict[float, float], size: float) -> float:
        slope, intercept = fit_slope(points)
        return intercept + slope * size

    decisions = figures["decisions"]
    replica = decisions["routing_by_replicas"]["1111"]
    member = decisions["membership_by_members"]["122"]
    return {
        "relay_core_at_492_streams": estimate(relay, STREAMS_PER_DAEMON),
        "relay_core_a_stream": fit_slope(relay)[0],
        "resident_bytes_at_492_streams": estimate(resident, STREAMS_PER_DAEMON),
        "peer_bytes_out_s_at_122_members": estimate(sent, DAEMONS_PER_REGION),
        "peers_core_at_122_members": estimate(core, DAEMONS_PER_REGION),
        "idle_core_a_daemon": statistics.mean(idle.values()),
        "store_writes_s_a_region_idle": statistics.mean(writes.values()),
        "store_write_slope_a_daemon": fit_slope(writes)[0],
        "store_watch_calls_s_a_daemon": fit_slope(watches)[0],
        "replicas_bytes_a_region": replica["bytes_a_replica"] * REPLICAS_PER_REGION,
        "members_bytes_a_region": member["bytes_a_member"] * DAEMONS_PER_REGION,
        "routing_core_at_52_requests_s": decisions["pool_step_by_replicas"]["1111"][
            "us"
        ]
        * REQUESTS_PER_S
        / N_DAEMONS
        / 1e6,
    }


def draw_plots(figures: dict[str, Any], directory: Path) -> None:
    """Plots the quantities that grow with a size, one plot for each."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    plots: dict[str, tuple[str, str, dict[str, Any], str]] = {
        "relay": (
            "open streams",
            "core",
            figures["relay"]["by_streams"],
            "core_at_all_open",
        ),
        "gossip": (
            "members",
            "bytes sent per second",
            figures["gossip"]["by_members"],
            "bytes_out_a_member_s",
        ),
        "routing": (
            "replicas",
            "us per decision",
            figures["decisions"]["pool_step_by_replicas"],
            "us",
        ),
    }
    for name, (x_label, y_label, results, key) in plots.items():
        figure, axes = pyplot.subplots(figsize=(5, 3.5))
        sizes = sorted(results, key=float)
        axes.plot([float(n) for n in sizes], [results[n][key] for n in sizes], "o-")
        axes.set_xlabel(x_label)
        axes.set_ylabel(y_label)
        axes.set_ylim(bottom=0)
        figure.tight_layout()
        figure.savefig(directory / f"{name}.png")
        pyplot.close(figure)


def main() -> int:
    """Runs the benchmarks, extrapolates, writes the results and prints them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, required=True)
    options = parser.parse_args()
    options.output.mkdir(parents=True, exist_ok=True)
    experiments = load_experiments()
    figures: dict[str, Any] = {}
    for name in ORDER:
        print(f"measuring {name} ...", flush=True)
        result = experiments[name](1, 1.0)
        # The JSON round trip turns the sizes into string keys, as in the file.
        figures[name] = msgspec.json.decode(msgspec.json.encode(result.figures))
        figures[name]["passed"] = result.passed
    document = {
        "date": datetime.datetime.now(datetime.UTC).date().isoformat(),
        "machine": {"cores": os.cpu_count(), "python": sys.version.split()[0]},
        "worked_out": extrapolate(figures),
        "measured": figures,
    }
    path = options.output / "figures.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))
    draw_plots(figures, options.output)
    print(msgspec.json.format(msgspec.json.encode(document["worked_out"])).decode())
    print(f"written to {path}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
