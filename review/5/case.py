"""A daemon freezes just before a new software version of the replicas is listed."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import Answer, CannotRunError, Daemon, Replica, World, run_case

N_STREAMS = 60
N_RETRIES = 2
PAUSE_S = 0.3  # of a client before it tries again, if it isn't told otherwise
GAP_S = 2.0  # without an event, after which a client abandons a stream
DEADLINE_S = 15.0
FREEZE_S = 4.0
NEW_VERSION_AFTER_S = 1.0  # the freeze began
DRAIN_S = 2.0
MIN_TAKEN_UP = 12


class Stream:
    """A stream as its client sees it.

    Attributes:
        taken_up: Whether the client took it up at another machine.
        goes_on: Whether it got a further event after that.
    """

    def __init__(self) -> None:
        self.n_events = 0
        self.last_at = time.monotonic()
        self.taken_up = False
        self.goes_on = False
        self.statuses: list[int] = []


async def follow(
    world: World, stream: Stream, first: Daemon, others: list[Daemon]
) -> None:
    """Sends a request for a stream; takes it up at other machines after a gap."""
    ends_at = time.monotonic() + DEADLINE_S
    first_attempt = world.make_attempt()

    def count(data: bytes) -> None:
        stream.n_events += data.count(b"\n\n")
        stream.last_at = time.monotonic()
        stream.goes_on = stream.taken_up

    def send(daemon: Daemon, attempt: str, headers: dict[str, str]) -> asyncio.Task:
        stream.last_at = time.monotonic()
        request = world.request(
            daemon,
            "/stream/x",
            deadline_ms=int((ends_at - time.monotonic()) * 1000),
            headers=headers,
            attempt=attempt,
            on_event=count,
        )
        return asyncio.ensure_future(request)

    async def receive(task: "asyncio.Task[Answer]") -> Answer:
        while not task.done():
            await asyncio.wait((task,), timeout=0.05)
            if time.monotonic() - stream.last_at > GAP_S:
                task.cancel()
                return Answer()
        return task.result()

    answer = await receive(send(first, first_attempt, {}))
    stream.statuses.append(answer.status)
    for n_try in range(N_RETRIES):
        if (answer.status == 200 and answer.complete) or not stream.n_events:
            return
        stream.taken_up = True
        headers = {"Last-Event-Id": str(stream.n_events), "Resumes": first_attempt}
        daemon = others[n_try % len(others)]
        answer = await receive(send(daemon, world.make_attempt(), headers))
        stream.statuses.append(answer.status)
        if answer.status == 200:
            return
        await asyncio.sleep(float(answer.headers.get("retry-after", PAUSE_S)))


async def replace(replica: Replica) -> None:
    """Drains a replica, which then leaves."""
    await replica.drain()
    await asyncio.sleep(DRAIN_S + 1)
    await replica.leave()


async def play(world: World, trouble: bool) -> bool:
    """Replaces one replica of four; a daemon of three freezes, if `trouble` is set."""
    await world.start(n_daemons=3, versions=("v1",) * 4)
    await asyncio.sleep(3.5)  # all machines are in touch from now on
    frozen, *others = world.daemons
    for replica in world.replicas:
        replica.n_events = 60
    streams = [Stream() for _ in range(N_STREAMS)]
    tasks = []
    for number, stream in enumerate(streams):
        daemon = world.daemons[number % len(world.daemons)]
        rest = [d for d in world.daemons if d is not daemon]
        rest = [d for d in rest if d is not frozen] or others
        tasks.append(world.spawn(follow(world, stream, daemon, rest)))
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    assert frozen.process is not None
    if trouble:
        frozen.process.send_signal(signal.SIGSTOP)
        world.note(f"daemon {frozen.name} freezes")
    await asyncio.sleep(NEW_VERSION_AFTER_S)
    await world.add_replica("v2")
    await asyncio.sleep(0.2)
    world.spawn(replace(world.replicas[0]))
    new = [Stream() for _ in range(N_STREAMS // 3)]
    for number, stream in enumerate(new):
        daemon = others[number % len(others)]
        tasks.append(world.spawn(follow(world, stream, daemon, others)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(FREEZE_S - NEW_VERSION_AFTER_S - 0.2 - len(new) * 0.05)
    if trouble:
        frozen.process.send_signal(signal.SIGCONT)
        world.note(f"daemon {frozen.name} wakes")
    await asyncio.wait(tasks, timeout=DEADLINE_S)
    taken_up = [stream for stream in streams if stream.taken_up]
    for number, stream in enumerate(streams):
        if stream.taken_up:
            world.note(
                f"stream {number} was taken up, answers {stream.statuses}:"
                f" {'goes on' if stream.goes_on else 'does not go on'}"
            )
    n_on = sum(stream.goes_on for stream in taken_up)
    n_begun = sum(stream.n_events > 0 for stream in new)
    world.note(f"{n_on} of {len(taken_up)} streams that were taken up go on")
    world.note(f"{n_begun} of {len(new)} new streams begin")
    if not n_begun or (trouble and len(taken_up) < MIN_TAKEN_UP):
        raise CannotRunError("too few streams")
    if len(taken_up) < MIN_TAKEN_UP:
        return False
    return n_on / len(taken_up) < n_begun / len(new) / 2


run_case(play, trouble=os.environ.get("TROUBLE", "1") != "0")
