"""One odd entry of another writer stands among the replicas as all daemons restart."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import BOUNDS, CannotRunError, World, run_case

import msgspec  # isort: skip

# A JSON text by its grammar (RFC 8259, section 7 and 8.2): half of a surrogate pair.
ODD_SPEC = msgspec.Raw(rb'{"Service":"app","Note":"\ud83d"}')
N_CLIENTS = 6
BEFORE_S = 4.0
DOWN_S = 0.5
AFTER_S = 8.0  # for which requests are counted, from `RecoverS` on


async def play(world: World, trouble: bool) -> bool:
    """Kills all daemons, and starts them again while the odd entry is there."""
    await world.start(n_daemons=3, versions=("v1", "v1", "v1"))
    outcomes: list[tuple[float, int]] = []

    async def send(number: int) -> None:
        daemon = world.daemons[number % len(world.daemons)]
        while True:
            sent_at = time.monotonic()
            answer = await world.request(daemon, "/read/x")
            outcomes.append((sent_at, answer.status))
            await asyncio.sleep(0.1)

    def count_served(since: float, until: float) -> tuple[int, int]:
        statuses = [status for at, status in outcomes if since <= at < until]
        return sum(status == 200 for status in statuses), len(statuses)

    for number in range(N_CLIENTS):
        world.spawn(send(number))
    began_at = time.monotonic()
    await asyncio.sleep(BEFORE_S / 2)
    if trouble:
        await world.store.put("servers", "odd", ODD_SPEC)
        world.note(f"another writer has stored an entry: {bytes(ODD_SPEC)!r}")
    await asyncio.sleep(BEFORE_S / 2)
    killed_at = time.monotonic()
    await asyncio.gather(*(world.kill(daemon) for daemon in world.daemons))
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(world.start_daemon(d) for d in world.daemons))
    back_at = time.monotonic()
    recover_s = BOUNDS["RecoverS"]
    await asyncio.sleep(recover_s + AFTER_S)
    n_before, n_sent_before = count_served(began_at, killed_at)
    n_after, n_sent_after = count_served(back_at + recover_s, back_at + 1000)
    world.note(f"before the kill {n_before} of {n_sent_before} requests were served")
    world.note(
        f"later than {recover_s} s after the start {n_after} of {n_sent_after}"
        " requests were served"
    )
    if not n_sent_after or n_before < n_sent_before / 4:
        raise CannotRunError("too few requests")
    return n_after < n_sent_after / 4


run_case(play, trouble=os.environ.get("TROUBLE", "1") != "0")
