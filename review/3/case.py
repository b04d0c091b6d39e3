"""All daemons are killed while the last replicas of a software version leave."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import CannotRunError, Replica, World, run_case

N_STREAMS = 24
N_TRIES = 3  # of a client, within its deadline
PAUSE_S = 1.0  # of a client before it tries again
DEADLINE_S = 15.0
DRAIN_S = 2.0
EXTRA_S = 0.2  # for which a replica serves longer than it has to
KILL_BEFORE_S = 0.7  # the last replica of the old version leaves
RESTART_S = 1.0
COLD_S = 8.0  # for which a new replica remains slow, as its entry says
MAX_MIXED = 2


class Stream:
    """A stream as its client sees it, over its tries."""

    def __init__(self) -> None:
        self.text = b""
        self.first_attempt = ""
        self.complete = False
        self.statuses: list[int] = []

    def list_events(self) -> list[tuple[int, str]]:
        """Lists number and software version of the complete events."""
        events = []
        for block in self.text.split(b"\n\n")[:-1]:
            _, data = block.split(b"\n", 1)
            version, number = data.decode().removeprefix("data: ").split()
            events.append((int(number), version))
        return events


async def follow(world: World, number: int, stream: Stream) -> None:
    """Sends a request for a stream, and takes it up again where it broke off."""
    ends_at = time.monotonic() + DEADLINE_S
    for n_try in range(N_TRIES):
        daemon = world.daemons[(number + n_try) % len(world.daemons)]
        headers = {}
        events = stream.list_events()
        if events:
            headers["Last-Event-Id"] = str(events[-1][0])
            headers["Resumes"] = stream.first_attempt
        # What came of an event that broke off is dropped.
        whole, end, _ = stream.text.rpartition(b"\n\n")
        stream.text = whole + end
        attempt = world.make_attempt()

        def add(data: bytes, attempt: str = attempt) -> None:
            stream.first_attempt = stream.first_attempt or attempt
            stream.text += data

        answer = await world.request(
            daemon,
            "/stream/x",
            deadline_ms=int((ends_at - time.monotonic()) * 1000),
            headers=headers,
            attempt=attempt,
            on_event=add,
        )
        stream.statuses.append(answer.status)
        if answer.status == 200 and answer.complete:
            stream.complete = True
            return
        pause_s = float(answer.headers.get("retry-after", PAUSE_S))
        await asyncio.sleep(pause_s)


async def replace(replica: Replica) -> None:
    """Drains a replica, which then leaves."""
    await replica.drain()
    await asyncio.sleep(DRAIN_S + EXTRA_S)
    await replica.leave()


async def play(world: World, trouble: bool) -> bool:
    """Plays a release during which all daemons are killed, if `trouble` is set."""
    await world.start(n_daemons=3, versions=("v1", "v1"))
    old = list(world.replicas)
    streams = [Stream() for _ in range(N_STREAMS)]
    tasks = []
    for number, stream in enumerate(streams):
        tasks.append(world.spawn(follow(world, number, stream)))
        await asyncio.sleep(0.02)
    for _ in old:
        await world.add_replica("v2", COLD_S)
    await asyncio.sleep(0.5)
    releases = [world.spawn(replace(replica)) for replica in old]
    await asyncio.sleep(DRAIN_S + EXTRA_S - KILL_BEFORE_S)
    if trouble:
        await asyncio.gather(*(world.kill(daemon) for daemon in world.daemons))
        await asyncio.sleep(RESTART_S)
        await asyncio.gather(*(world.start_daemon(d) for d in world.daemons))
    await asyncio.gather(*releases)
    await asyncio.wait(tasks, timeout=DEADLINE_S + 3)
    n_mixed = 0
    for number, stream in enumerate(streams):
        versions = list(dict.fromkeys(version for _, version in stream.list_events()))
        n_mixed += len(versions) > 1
        world.note(
            f"stream {number}: {len(stream.list_events())} events of"
            f" {' then '.join(versions) or 'no version'}, answers {stream.statuses},"
            f" {'complete' if stream.complete else 'not complete'}"
        )
    if not any(stream.list_events() for stream in streams):
        raise CannotRunError("no stream began")
    world.note(f"{n_mixed} streams hold events of two software versions")
    return n_mixed > MAX_MIXED


run_case(play, trouble=os.environ.get("TROUBLE", "1") != "0")
