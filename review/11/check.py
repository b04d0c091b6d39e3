"""Streams that clients take up again while busy servers reset new connections."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_3 import Answer, Client, Rig, make_route, run_case  # noqa: E402

VERSIONS = ("v1", "v1", "v2", "v2")
SLOTS = 12
N_CALM = 42  # clients, of all slots nine tenths
N_BURST = 121  # 2.9 times as many
BURST_S = 8.0
KILL_AFTER_S = 3.0
MIN_TAKEN_UP = 12  # for which LOST asks
MAX_TRIES = 1


class Crowd:
    """Clients that ask for one stream after the other.

    Attributes:
        new: answers to new streams that began after the kill, at living daemons.
        taken_up: for each stream that was cut, whether it went on.
    """

    def __init__(self, *, rig: Rig, fronts: list[str]) -> None:
        self.rig = rig
        self.fronts = fronts
        self.killed_at = float("inf")
        self.new: list[Answer] = []
        self.taken_up: list[bool] = []
        self.random = random.Random(1)

    async def run(self, front: str, until: float) -> None:
        """Plays one client."""
        client = Client(rig=self.rig, front=front)
        await asyncio.sleep(self.random.uniform(0, 0.5))
        while self.rig.now() < until:
            answer = await client.send("/stream/a")
            is_dead = front not in self.fronts
            if answer.began_at > self.killed_at and not is_dead:
                self.new.append(answer)
            if is_dead:
                events = answer.list_events()
                front = self.random.choice(self.fronts)
                client = Client(rig=self.rig, front=front)
                if answer.status == 200 and not answer.complete and events:
                    await self._take_up(client, answer.id, events[-1]["id"])
            elif answer.status != 200:
                await asyncio.sleep(float(answer.headers.get("retry-after", 0.3)))

    async def _take_up(self, client: Client, attempt: str, last_id: str) -> None:
        headers = {"Resumes": attempt, "Last_Event_Id": last_id}
        for _ in range(MAX_TRIES):
            answer = await client.send("/stream/a", **headers)
            if answer.status == 200 and answer.body:
                break
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.3)))
        goes_on = answer.status == 200 and bool(answer.body)
        self.taken_up.append(goes_on)
        self.rig.note("taken_up", resumes=attempt, after=last_id, goes_on=goes_on)


async def check(rig: Rig, with_trouble: bool) -> bool:
    """Tells whether streams that are taken up begin half as often as new ones."""
    resumes = {"CanResume": True, "MaxAttempts": 2, "GapAimMs": 250}
    await rig.start_store(routes=[make_route("stream", "streaming", **resumes)])
    for number, version in enumerate(VERSIONS):
        await rig.start_server(
            number, version=version, slots=SLOTS, long_queue=6, n_events=40
        )
    fronts = [await rig.start_daemon(number) for number in range(3)]
    await asyncio.sleep(4.0)
    crowd = Crowd(rig=rig, fronts=list(fronts))
    # KILL_ONLY=1 leaves the burst out, for whoever traces the case.
    burst = with_trouble and not os.environ.get("KILL_ONLY")
    count = N_BURST if burst else N_CALM
    until = rig.now() + BURST_S
    rig.note("burst", n_clients=count)
    clients = [
        asyncio.create_task(crowd.run(fronts[n % 3], until)) for n in range(count)
    ]
    await asyncio.sleep(KILL_AFTER_S)
    if with_trouble:
        crowd.fronts.remove(fronts[0])
        crowd.killed_at = rig.now()
        await rig.kill(rig.find_daemon(fronts[0]))
    await asyncio.gather(*clients)
    n_new = len(crowd.new)
    n_begun = sum(a.status == 200 for a in crowd.new)
    n_taken_up = len(crowd.taken_up)
    n_goes_on = sum(crowd.taken_up)
    rig.note(
        "counted",
        n_new=n_new,
        n_begun=n_begun,
        n_taken_up=n_taken_up,
        n_goes_on=n_goes_on,
        n_resets=len(rig.find("connection_reset")),
    )
    if n_taken_up < MIN_TAKEN_UP or not n_new:
        return False
    return n_goes_on / n_taken_up < 0.5 * n_begun / n_new


if __name__ == "__main__":
    sys.exit(run_case(check, FOLDER))
