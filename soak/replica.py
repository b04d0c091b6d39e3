"""One backend server as a process: `python -m soak.replica ID IP PORT`.

It writes a line `ATTEMPT_ID CUSTOMER` for each run before the run has an effect, and
takes the name of a fault on a line of its input.
"""

import asyncio
import sys
from collections.abc import Mapping

from berylpost.fakes.replica import FAULTS, Replica


def tell_run(headers: Mapping[str, str]) -> None:
    """Writes down that a request begins to run."""
    attempt = headers.get("x-berylpost-attempt-id", "-")
    customer = headers.get("x-berylpost-tenant", "-")
    print(attempt, customer, flush=True)


async def serve(replica_id: str, ip: str, port: int) -> None:
    """Serves until killed."""
    replica = Replica(id=replica_id, ip=ip, port=port, on_run=tell_run)
    replica.work_s = 0.02
    await replica.start()
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        fault = line.decode().strip()
        if fault in FAULTS:
            replica.fault = fault


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2], int(sys.argv[3])))
