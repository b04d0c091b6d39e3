"""Measures object API calls, CPU time, memory and peer traffic of idle daemons."""

import time
from typing import Any, Final

from .catalogue import Result
from .fleet import Fleet, FleetSpec

SIZES: Final = (3, 6, 9)
DURATION_S: Final = 15.0
N_SHARDS: Final = 8


def measure_fleet(n_daemons: int) -> dict[str, Any]:
    """Measures an idle fleet of `n_daemons` daemons."""
    spec = FleetSpec(
        n_daemons=n_daemons,
        overrides={"ledger": {"n_shards": N_SHARDS}},
        separate_world=True,
    )
    with Fleet(spec=spec) as fleet:
        time.sleep(5.0)
        calls_before = fleet.read_store_calls()
        cpu_before = [d.read_cpu_s() for d in fleet.daemons]
        name = "berylpost_peer_bytes_total"
        bytes_before = [fleet.read_metric(d, name) for d in fleet.daemons]
        started = time.monotonic()
        time.sleep(DURATION_S)
        took_s = time.monotonic() - started
        calls = fleet.read_store_calls()
        cpu = [d.read_cpu_s() for d in fleet.daemons]
        bytes_after = [fleet.read_metric(d, name) for d in fleet.daemons]
        resident = [d.read_resident_bytes() for d in fleet.daemons]
    return {
        "store_calls_s": {
            kind: (n - calls_before.get(kind, 0)) / took_s for kind, n in calls.items()
        },
        "core_a_daemon": sum(cpu) / n_daemons / took_s
        - sum(cpu_before) / n_daemons / took_s,
        "peer_bytes_in_and_out_s": (sum(bytes_after) - sum(bytes_before))
        / n_daemons
        / took_s,
        "resident_bytes_max": max(resident),
    }


def run_store(_seed: int, _minutes: float) -> Result:
    """Measures every number of daemons in `SIZES`."""
    by_daemons = {n: measure_fleet(n) for n in SIZES}
    return Result(figures={"n_shards": N_SHARDS, "by_daemons": by_daemons})
