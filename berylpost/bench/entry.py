"""Measures the peer traffic and store calls of idle entry daemons, by their number.

The daemons share one process and event loop with their fakes, so that only bytes and
calls are meaningful here, not CPU time.
"""

import time
from typing import Final

from ..fakes.entry_world import EntryWorld
from .catalogue import Result

SIZES: Final = (3, 9, 24)
SETTLE_S: Final = 4.0  # longer than the first hand-over between watchers
DURATION_S: Final = 8.0
DUTIES: Final = frozenset({"usage_report", "autoscale"})


def measure_world(n_daemons: int) -> dict[str, float]:
    """Measures `n_daemons` idle entry daemons."""
    with EntryWorld(n_daemons=n_daemons, versions=("v1",) * 12, duties=DUTIES) as world:
        time.sleep(SETTLE_S)
        calls = world.store.calls.total()
        sent = sum(d.members.n_bytes for d in world.daemons.values())
        began_at = time.monotonic()
        time.sleep(DURATION_S)
        took_s = time.monotonic() - began_at
        calls = world.store.calls.total() - calls
        sent = sum(d.members.n_bytes for d in world.daemons.values()) - sent
    return {
        "store_calls_s": calls / took_s,
        "bytes_in_and_out_s": sent / n_daemons / took_s,
    }


def run_entry(_seed: int, _minutes: float) -> Result:
    """Measures every number of daemons in `SIZES`."""
    return Result(figures={f"{n}_daemons": measure_world(n) for n in SIZES})
