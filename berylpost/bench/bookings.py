"""Measures the cost of the ledger: store writes per second and latency by rate."""

import dataclasses
import time
from typing import Any, Final

from .catalogue import Result
from .fleet import Fleet, FleetSpec
from .loader import BookingLoad, run_booking_load, run_in_subprocess

RATES: Final = (1, 10, 100, 500)
DURATION_S: Final = 8.0
N_SHARDS: Final = 8
# Upper bound of the store writes per second, as a share of two writes for each
# booking. The shards limit the writes at any booking rate: each shard has one write
# in flight, and a write takes at least 2 ms here.
MAX_WRITES_SHARE: Final = 0.9


def _count_writes(fleet: Fleet) -> int:
    return int(fleet.read_store_calls().get("write", 0))


def run_bookings(_seed: int, _minutes: float) -> Result:
    """Measures bookings, and reads on the same path, at each rate on three daemons."""
    spec = FleetSpec(
        customers=({"name": "weighbridge", "rate": 5_000, "concurrency": 5_000},),
        overrides={"ledger": {"n_shards": N_SHARDS}, "listen": {"threads": 32}},
        separate_world=True,
    )
    by_rate: dict[int, Any] = {}
    with Fleet(spec=spec) as fleet:
        addresses = tuple(daemon.http for daemon in fleet.daemons)
        time.sleep(3.0)
        before = _count_writes(fleet)
        time.sleep(DURATION_S)
        idle_writes_s = (_count_writes(fleet) - before) / DURATION_S
        for rate in RATES:
            results = {}
            for idempotent in (True, False):
                load = BookingLoad(
                    addresses=addresses,
                    token="weighbridge-token",
                    rate=float(rate),
                    seconds=DURATION_S,
                    idempotent=idempotent,
                )
                before, started = _count_writes(fleet), time.monotonic()
                cpu_before = sum(d.read_cpu_s() for d in fleet.daemons)
                figures = run_in_subprocess(run_booking_load, load)
                cpu_s = sum(d.read_cpu_s() for d in fleet.daemons) - cpu_before
                writes_s = (_count_writes(fleet) - before) / (
                    time.monotonic() - started
                )
                name = "reads" if idempotent else "bookings"
                results[name] = dataclasses.asdict(figures)
                results[name]["store_writes_s"] = writes_s
                results[name]["cpu_ms_a_request"] = cpu_s / figures.n_sent * 1e3
            bookings, reads = results["bookings"], results["reads"]
            results["added_p50_ms"] = bookings["p50_ms"] - reads["p50_ms"]
            results["added_p95_ms"] = bookings["p95_ms"] - reads["p95_ms"]
            by_rate[rate] = results
        n_repeated = fleet.count_repeated_bookings()
    largest = by_rate[max(RATES)]["bookings"]
    passed = (
        largest["store_writes_s"] <= MAX_WRITES_SHARE * 2 * largest["achieved_rate"]
        and n_repeated == 0
    )
    figures = {
        "n_shards": N_SHARDS,
        "idle_store_writes_s": idle_writes_s,
        "by_rate": by_rate,
        "executed_more_than_once": n_repeated,
    }
    return Result(figures=figures, passed=passed)
