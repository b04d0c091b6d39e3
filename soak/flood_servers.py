"""Process of faulty servers: `python -m soak.flood_servers FAULT PORT ID=IP...`."""

import asyncio
import sys

from berylpost.fakes.replica import Replica


async def serve(fault: str, port: int, servers: dict[str, str]) -> None:
    """Serves until the process is killed."""
    for id, ip in servers.items():
        replica = Replica(id=id, ip=ip, port=port)
        replica.fault = fault
        await replica.start()
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(
        serve(
            sys.argv[1],
            int(sys.argv[2]),
            dict(argument.split("=") for argument in sys.argv[3:]),
        )
    )
