"""Measures the peer traffic and store calls of idle entry daemons, by their number.

The daemons share one process and event loop with their fakes. Processor time is that of
the whole process, divided by the daemons.
"""

import time
from typing import Final

from ..fakes.entry_world import EntryWorld
from .catalogue import Result

SIZES: Final = (3, 9, 24, 48, 88)
SETTLE_S: Final = 14.0  # the first hand-over between watchers, and choosing roles
DURATION_S: Final = 8.0
DUTIES: Final = frozenset({"usage_report", "autoscale"})


def measure_world(n_daemons: int) -> dict[str, float]:
    """Measures `n_daemons` idle entry daemons."""
    with EntryWorld(n_daemons=n_daemons, versions=("v1",) * 12, duties=DUTIES) as world:
        time.sleep(SETTLE_S)
        calls = world.store.calls.total()
        daemons = list(world.daemons.values())
        standby = [d.members for d in daemons if not d.members.active]
        active = [d.members for d in daemons if d.members.active]
        before = [sum(m.n_bytes for m in members) for members in (active, standby)]
        began_at, worked_s = time.monotonic(), time.process_time()
        time.sleep(DURATION_S)
        took_s = time.monotonic() - began_at
        worked_s = time.process_time() - worked_s
        calls = world.store.calls.total() - calls
        n_bytes = [
            (sum(m.n_bytes for m in members) - n) / max(1, len(members)) / took_s
            for members, n in zip((active, standby), before, strict=True)
        ]
    return {
        "store_calls_s": calls / took_s,
        "cores_a_daemon": worked_s / n_daemons / took_s,
        "n_active": len(active),
        "active_bytes_in_and_out_s": n_bytes[0],
        "standby_bytes_in_and_out_s": n_bytes[1],
    }


def run_entry(_seed: int, _minutes: float) -> Result:
    """Measures every number of daemons in `SIZES`."""
    return Result(figures={f"{n}_daemons": measure_world(n) for n in SIZES})
