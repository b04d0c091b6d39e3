"""Streams that end with their connection, while their servers reset new ones."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_3 import Answer, Client, Rig, make_route, run_case  # noqa: E402

N_SERVERS = 2
SLOTS = 6
N_CALM = 10  # streams at once, fewer than all slots
N_BURST = 29  # 2.9 times as many
BURST_S = 3.0
MAX_CUT = 3  # what LOST allows


async def send_for(client: Client, rig: Rig, until: float) -> list[Answer]:
    """Sends one stream after the other until a time."""
    answers = []
    while rig.now() < until:
        answers.append(await client.send("/stream/a"))
        if not answers[-1].complete or answers[-1].status != 200:
            await asyncio.sleep(0.3)
    return answers


async def check(rig: Rig, with_trouble: bool) -> bool:
    """Tells whether more than three streams of sound servers were cut."""
    routes = [make_route("stream", "streaming"), make_route("read", "idempotent")]
    await rig.start_store(routes=routes)
    for number in range(N_SERVERS):
        await rig.start_server(number, slots=SLOTS, long_queue=3, framing="close")
    fronts = [await rig.start_daemon(number) for number in range(2)]
    await asyncio.sleep(3.5)
    clients = [Client(rig=rig, front=fronts[n % 2]) for n in range(N_BURST)]
    # Each client has a kept connection, on which a request was answered.
    for start in range(0, N_BURST, N_CALM):
        part = clients[start : start + N_CALM]
        await asyncio.gather(*(c.send("/read/a", method="GET") for c in part))
    count = N_BURST if with_trouble else N_CALM
    rig.note("burst", n_clients=count)
    until = rig.now() + BURST_S
    sent = await asyncio.gather(*(send_for(c, rig, until) for c in clients[:count]))
    answers = [answer for of_client in sent for answer in of_client]
    whole = {fields["id"] for fields in rig.find("ran")}
    cut = [a for a in answers if a.id in whole and a.kept and not a.complete]
    rig.note(
        "counted",
        n_whole=sum(a.complete and a.status == 200 for a in answers),
        n_kept_cut_though_ended=len(cut),
        n_resets=len(rig.find("connection_reset")),
    )
    return len(cut) > MAX_CUT


if __name__ == "__main__":
    sys.exit(run_case(check, FOLDER))
