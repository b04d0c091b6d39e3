"""Process of one backend server: `python -m soak.replica ID IP PORT VERSION`.

It writes a line `ATTEMPT_ID CUSTOMER` to standard output for each run, before the run
has an effect, followed by `moved` if it goes on from the memory of a run that was
stopped, and a line `stopped ATTEMPT_ID` when it stops one. From standard input it reads
the fault to inject, one name a line, `crash NAME` for a prompt part, or a whole body,
that ends the process when it begins to answer it, `limit RATE` for the request rate to
name in answers, `limit` for none, `leaving` to say in all answers that it leaves,
`brittle N` to have little room and to say how many refusals it bears, `fragile` to fall
over beyond that, and `brittle` to be sound again. It writes the line `fell` when it
falls over.
"""

import asyncio
import os
import sys
from collections.abc import Mapping

from berylpost.fakes.replica import FAULTS, Replica

BRITTLE_ROOM = 8  # requests, as many as the slots that its entry names


def print_run(headers: Mapping[str, str]) -> None:
    """Writes a line for a request that starts to run."""
    attempt = headers.get("x-berylpost-attempt-id", "-")
    customer = headers.get("x-berylpost-tenant", "-")
    mark = " moved" if headers.get("kv-from") else ""
    # One write, so that a killed process does not leave half a line.
    sys.stdout.write(f"{attempt} {customer}{mark}\n")
    sys.stdout.flush()


def print_stop(attempt: str) -> None:
    """Writes a line for a run that is stopped to be moved."""
    sys.stdout.write(f"stopped {attempt}\n")
    sys.stdout.flush()


def print_fall() -> None:
    """Writes a line for a fall."""
    print("fell", flush=True)


async def serve(replica_id: str, ip: str, port: int, version: str) -> None:
    """Serves until the process is killed or standard input is closed."""
    replica = Replica(
        id=replica_id,
        ip=ip,
        port=port,
        version=version,
        on_run=print_run,
        on_crash=lambda _replica: os._exit(1),
        on_fall=print_fall,
        on_stop=print_stop,
    )
    unlimited = replica.room
    replica.work_s = 0.02
    await replica.start()
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        order = line.decode().strip()
        if order in FAULTS:
            replica.fault = order
        elif order.startswith("crash "):
            name = order.removeprefix("crash ")
            replica.crashing_parts |= {name}
            replica.crashing_bodies |= {name.encode()}
        elif order == "fragile":
            replica.may_fall = True
        elif order.startswith("brittle"):
            replica.brittle = order.removeprefix("brittle").strip()
            replica.room = BRITTLE_ROOM if replica.brittle else unlimited
            replica.may_fall = False
        elif order == "leaving":
            replica.leaving = "1"
        elif order.startswith("limit"):
            replica.limit = order.removeprefix("limit").strip()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]))
