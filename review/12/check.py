"""Bookings that a server has run and answers with 503."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_3 import Client, Rig, make_route, run_case  # noqa: E402

N_BOOKINGS = 60  # 60 ms each, so that the failures last 4 s
SHARE = 0.45  # of its requests that a failing server fails
PROMISES = {408, 421, 429, 503}


async def check(rig: Rig, with_trouble: bool) -> bool:
    """Tells whether a request that ran was answered as not run."""
    routes = [make_route("book", "non_idempotent", TimeoutMs=1500)]
    await rig.start_store(routes=routes)
    servers = [await rig.start_server(n) for n in range(4)]
    fronts = [await rig.start_daemon(number) for number in range(2)]
    await asyncio.sleep(3.5)
    if with_trouble:
        for server in servers:
            server.order(f"spoil 503 {SHARE}")
    clients = [Client(rig=rig, front=front) for front in fronts]
    answers = []
    for number in range(N_BOOKINGS):
        client = clients[number % 2]
        answers.append(await client.send("/book/a", deadline_ms=1500))
    runs = rig.list_runs()
    untrue = [a for a in answers if a.status in PROMISES and runs[a.id]]
    for answer in untrue:
        rig.note("refused_though_run", id=answer.id, status=answer.status)
    rig.note("counted", n_answers=len(answers), n_untrue=len(untrue))
    return bool(untrue)


if __name__ == "__main__":
    sys.exit(run_case(check, FOLDER))
