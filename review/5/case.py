"""All daemons restart as the store comes back from a copy older than a revocation."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import BOUNDS, KEY, CannotRunError, World, run_case

OTHER_KEY = "key-two"
COPY_AGE_S = 6.0
AWAY_S = 0.5
REWRITE_S = 1.0  # until operator and replicas have written again
WATCH_S = 6.0


async def play(world: World, trouble: bool) -> bool:
    """Takes a key away; later the power of store and daemons fails for a moment."""
    await world.start(n_daemons=3, versions=("v1", "v1"))
    await world.put_configuration([KEY, OTHER_KEY])
    await asyncio.sleep(2.0)
    world.spawn(world.keep_copies())
    sent: dict[str, float] = {}

    async def send(number: int) -> None:
        daemon = world.daemons[number]
        while True:
            attempt = world.make_attempt()
            sent[attempt] = time.monotonic()
            await world.request(daemon, "/read/x", key=OTHER_KEY, attempt=attempt)
            await asyncio.sleep(0.1)

    for number in range(len(world.daemons)):
        world.spawn(send(number))
    await asyncio.sleep(2.0)
    await world.put_configuration([KEY])
    revoked_at = time.monotonic()
    revoke_s = BOUNDS["RevokeMs"] / 1000
    await asyncio.sleep(revoke_s + 0.2)
    if trouble:
        restore = world.spawn(world.restore(COPY_AGE_S, AWAY_S))
        await asyncio.gather(*(world.kill(daemon) for daemon in world.daemons))
        await restore
        await asyncio.gather(*(world.start_daemon(d) for d in world.daemons))
        await asyncio.sleep(REWRITE_S)
        await world.write_again()
    await asyncio.sleep(WATCH_S)
    runs = [
        (sent[attempt] - revoked_at, replica.name, attempt)
        for replica in world.replicas
        for _, attempt, _ in replica.runs
        if attempt in sent
    ]
    late = sorted(run for run in runs if run[0] > revoke_s)
    for after_s, name, attempt in late:
        world.note(
            f"{attempt} was sent {after_s:.2f} s after its key was taken away and ran"
            f" on {name}"
        )
    if not runs:
        raise CannotRunError("no request ran")
    return bool(late)


run_case(play)
