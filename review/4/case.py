"""The holder of the duties is killed while the store comes back from an older copy."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import CannotRunError, World, run_case

WARM_UP_S = 18.0  # until windows have been reported
COPY_AGE_S = 6.0
AWAY_S = 0.5
REWRITE_S = 1.0  # until operator and replicas have written again
RESTART_S = 2.0  # from the return of the store until the daemon starts again
WATCH_S = 14.0
N_CLIENTS = 9


async def send(world: World, number: int) -> None:
    """Sends plain requests, one after the other."""
    while True:
        daemon = world.daemons[number % len(world.daemons)]
        await world.request(daemon, "/read/x")
        await asyncio.sleep(random.uniform(0.1, 0.3))


async def await_report(world: World) -> None:
    """Waits for the next usage report."""
    n_before = len(world.cloud.list_reports())
    for _ in range(800):
        await asyncio.sleep(0.01)
        if len(world.cloud.list_reports()) > n_before:
            return
    raise CannotRunError("no usage report came")


async def play(world: World, trouble: bool) -> bool:
    """Restores the store and kills the holder just after a report."""
    await world.start(n_daemons=3, versions=("v1", "v1"))
    world.spawn(world.keep_copies())
    for number in range(N_CLIENTS):
        world.spawn(send(world, number))
    await asyncio.sleep(WARM_UP_S)
    await await_report(world)
    if trouble:
        holder = world.cloud.calls[-1].holder
        daemon = next(d for d in world.daemons if d.name == holder)
        restore = world.spawn(world.restore(COPY_AGE_S, AWAY_S))
        await world.kill(daemon)
        await restore
        await asyncio.sleep(REWRITE_S)
        await world.write_again()
        await asyncio.sleep(RESTART_S - REWRITE_S)
        await world.start_daemon(daemon)
    restored_at = time.monotonic()
    while time.monotonic() - restored_at < WATCH_S:
        await asyncio.sleep(0.1)
    broken = False
    for window, calls in sorted(world.cloud.list_reports().items()):
        counts = {str(c.document["RequestCounts"]) for c in calls}
        world.note(f"window {window}: {len(calls)} reports, counts {sorted(counts)}")
        broken = broken or len(counts) > 1
    return broken


run_case(play, trouble=os.environ.get("TROUBLE", "1") != "0")
