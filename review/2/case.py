"""A faulty replica ends its answers with trailer fields without end."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import MEMORY_MB, CannotRunError, HttpRequest, World, run_case

N_ENDS = 3  # times that the processes of a machine end by themselves
RESTART_S = 0.5
FLOOD = b"a:b\r\n" * 13_000
PLAY_S = 30.0


async def flood(request: HttpRequest, writer: asyncio.StreamWriter) -> bool:
    """Answers with a complete chunked body and trailer fields until it is closed."""
    attempt = request.headers.get("x-berylpost-attempt-id", "")
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Berylpost-Attempt-Id: "
        + attempt.encode()
        + b"\r\nX-Berylpost-Replica-Signature: s\r\n"
        + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
    )
    while not writer.is_closing():
        writer.write(FLOOD)
        await writer.drain()
    return True


async def enforce_memory(world: World, ends: dict[str, int]) -> None:
    """Kills a process over its memory limit and starts it again, as the platform."""
    while True:
        for daemon in world.daemons:
            memory_mb = world.read_memory_mb(daemon)
            daemon.peak_mb = max(daemon.peak_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                world.note(f"daemon {daemon.name} holds {memory_mb:.0f} MB")
                await world.kill(daemon)
                ends[daemon.name] += 1
                await asyncio.sleep(RESTART_S)
                await world.start_daemon(daemon)
        await asyncio.sleep(0.02)


async def play(world: World, trouble: bool) -> bool:
    """Sends one request after the other to each daemon."""
    await world.start(n_daemons=3, versions=("v1", "v1", "v1"))
    ends = {daemon.name: 0 for daemon in world.daemons}
    world.spawn(enforce_memory(world, ends))
    if trouble:
        world.replicas[0].misbehave = flood
        world.note(f"replica {world.replicas[0].name} is faulty from now on")
    statuses: dict[int, int] = {}

    async def send(number: int) -> None:
        daemon = world.daemons[number % len(world.daemons)]
        while True:
            answer = await world.request(daemon, "/read/x")
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            await asyncio.sleep(0.3)

    for number in range(6):
        world.spawn(send(number))
    for _ in range(int(PLAY_S / 0.5)):
        await asyncio.sleep(0.5)
        if sum(n >= N_ENDS for n in ends.values()) >= 2:
            break
    for daemon in world.daemons:
        world.note(
            f"daemon {daemon.name}: peak {daemon.peak_mb:.0f} MB, over the limit"
            f" {ends[daemon.name]} times"
        )
    world.note(f"answers by status, 0 for none: {statuses}")
    if not statuses.get(200):
        raise CannotRunError("no request was served")
    return sum(n >= N_ENDS for n in ends.values()) >= 2


run_case(play, trouble=os.environ.get("TROUBLE", "1") != "0")
