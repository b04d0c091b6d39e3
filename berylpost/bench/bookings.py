"""What the ledger costs: store writes a second and latency by booking rate."""

import dataclasses
import time
from typing import Any, Final

from .catalogue import Result
from .fleet import Fleet, FleetSpec
from .loader import BookingLoad, load_bookings, run_elsewhere

RATES: Final = (1, 10, 100, 500)
SECONDS: Final = 8.0
N_SHARDS: Final = 8
# Writes a second that shards may make together at any booking rate: each has one
# write in flight and a write takes at least 2 ms here.
FOLLOWS_SHARDS_SHARE: Final = 0.9


def _count_writes(fleet: Fleet) -> int:
    return int(fleet.read_store_calls().get("write", 0))


def run_bookings(_seed: int, _minutes: float) -> Result:
    """Measures rates in turn on three daemons, reads through the same path beside."""
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
        time.sleep(SECONDS)
        idle_writes_s = (_count_writes(fleet) - before) / SECONDS
        for rate in RATES:
            found = {}
            for idempotent in (True, False):
                load = BookingLoad(
                    addresses=addresses,
                    token="weighbridge-token",
                    rate=float(rate),
                    seconds=SECONDS,
                    idempotent=idempotent,
                )
                before, started = _count_writes(fleet), time.monotonic()
                cpu_before = sum(d.read_cpu_s() for d in fleet.daemons)
                figures = run_elsewhere(load_bookings, load)
                cpu_s = sum(d.read_cpu_s() for d in fleet.daemons) - cpu_before
                writes_s = (_count_writes(fleet) - before) / (
                    time.monotonic() - started
                )
                name = "reads" if idempotent else "bookings"
                found[name] = dataclasses.asdict(figures)
                found[name]["store_writes_s"] = writes_s
                found[name]["cpu_ms_a_request"] = cpu_s / figures.n_sent * 1e3
            bookings, reads = found["bookings"], found["reads"]
            found["added_p50_ms"] = bookings["p50_ms"] - reads["p50_ms"]
            found["added_p95_ms"] = bookings["p95_ms"] - reads["p95_ms"]
            by_rate[rate] = found
        doubled = fleet.count_doubled()
    largest = by_rate[max(RATES)]["bookings"]
    passed = (
        largest["store_writes_s"] <= FOLLOWS_SHARDS_SHARE * 2 * largest["achieved_rate"]
        and doubled == 0
    )
    figures = {
        "n_shards": N_SHARDS,
        "idle_store_writes_s": idle_writes_s,
        "by_rate": by_rate,
        "executed_more_than_once": doubled,
    }
    return Result(figures=figures, passed=passed)
