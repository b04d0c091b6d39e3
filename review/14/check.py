"""Streams without the server's signature."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_3 import Client, Rig, make_route, run_case  # noqa: E402

N_ROUNDS = 40
N_CLIENTS = 10
SHARE = 0.03  # of its answers that a faulty server spoils, as in the small sites


async def check(rig: Rig, with_trouble: bool) -> bool:
    """Tells whether a client got a success without a signature."""
    routes = [
        make_route("stream", "streaming", CanResume=True, MaxAttempts=2),
        make_route("stream/once", "streaming"),
    ]
    await rig.start_store(routes=routes)
    servers = [
        await rig.start_server(n, n_events=4, pause_ms=20, slots=16) for n in range(2)
    ]
    fronts = [await rig.start_daemon(number) for number in range(2)]
    await asyncio.sleep(3.5)
    if with_trouble:
        servers[0].order(f"spoil unsigned {SHARE}")
    clients = [Client(rig=rig, front=fronts[n % 2]) for n in range(N_CLIENTS)]
    answers = []
    for number in range(N_ROUNDS):
        path = ("/stream/a", "/stream/once/a")[number % 2]
        answers += await asyncio.gather(*(c.send(path) for c in clients))
    unsigned = [
        a
        for a in answers
        if 200 <= a.status < 300
        and a.complete
        and not a.headers.get("x-berylpost-replica-signature")
    ]
    rig.note("counted", n_answers=len(answers), n_unsigned=len(unsigned))
    return bool(unsigned)


if __name__ == "__main__":
    sys.exit(run_case(check, FOLDER))
