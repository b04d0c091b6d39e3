"""Memory of a daemon whose servers send without end: `python -m soak.floods`.

For each part of an answer and 1, 10 and 100 servers at once: the daemon's peak memory,
and how many of the requests to two sound servers of another service were served.
"""

import argparse
import asyncio
import contextlib
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

from berylpost.fakes.entry_world import HOST, make_configuration, make_route
from berylpost.fakes.replica import FAULTS, SCENARIO_FAULTS

from .streams import end_process
from .world import PORT, ROOT, World

PLAY_S: Final = 6.0
CALLERS_PER_SERVER: Final = 2
N_SOUND: Final = 2
N_SOUND_CALLERS: Final = 4
MEMORY_MB: Final = 300
MAX_CONNECTIONS: Final = 100
DEADLINE_MS: Final = 1_000
# Share of the requests to sound servers that must be served.
MIN_SERVED: Final = 0.95
# First words of the names of the faults.
PARTS: Final = ("endless", "slow")


async def start_servers(
    world: World, service: str, fault: str, n_servers: int
) -> asyncio.subprocess.Process:
    """Starts the servers of a service in one process and stores their entries."""
    net = {"flood": 5, "sound": 6}[service]
    servers = {
        f"{service}-{n}": f"{world.address_prefix}.{net}.{n + 1}"
        for n in range(n_servers)
    }
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "soak.flood_servers", fault, str(PORT)),
        *(f"{id}={ip}" for id, ip in servers.items()),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    await process.stdout.readline()
    for id, ip in servers.items():
        spec = {
            "Service": service,
            "Address": f"{ip}:{PORT}",
            "Zone": "a",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
        }
        await world.store.put("servers", id, spec)
    return process


async def call(ip: str, path: str, number: int) -> bool:
    """Sends one request; returns whether it was answered with success."""
    head = (
        f"POST /{path}/a HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Berylpost-Attempt-Id: {path.replace('/', '-')}-{number}\r\n"
        f"X-Berylpost-Deadline-Ms: {DEADLINE_MS}\r\n"
        "Authorization: Bearer key-one\r\nContent-Length: 0\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(2 * DEADLINE_MS / 1_000):
            reader, writer = await asyncio.open_connection(ip, PORT)
            writer.write(head.encode())
            line = await reader.readline()
            await reader.read(1 << 16)
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.transport.abort()


async def play(fault: str, n_servers: int, kind: str, seed: int) -> bool:
    """Plays one case and prints it; returns whether a bound was kept."""
    folder = Path(tempfile.mkdtemp(prefix="floods-"))
    world = World(
        address_prefix=f"127.{30 + seed % 200}", folder=folder, on_run=lambda *_: None
    )
    processes: list[asyncio.subprocess.Process] = []
    ends_at = float("inf")
    n_sent = n_served = n_flooded = 0
    numbers = iter(range(1 << 30))

    async def flood(ip: str) -> None:
        nonlocal n_flooded
        while time.monotonic() < ends_at:
            await call(ip, f"flood/{kind}", next(numbers))
            n_flooded += 1

    async def ask(ip: str) -> None:
        nonlocal n_sent, n_served
        while time.monotonic() < ends_at:
            is_served = await call(ip, "sound", next(numbers))
            n_sent += 1
            n_served += is_served
            await asyncio.sleep(0.02)

    try:
        await world.store.server.start()
        await world.cloud.server.start()
        document = make_configuration(2)
        document["Routes"] = [
            make_route("flood/read", "idempotent", Service="flood"),
            make_route("flood/stream", "streaming", CanResume=True, Service="flood"),
            make_route("sound", "idempotent", Service="sound"),
        ]
        document["Services"] = [
            {"Name": name, "HealthPath": "/health", "MaxConns": MAX_CONNECTIONS}
            for name in ("flood", "sound")
        ]
        await world.store.put("config", "main", document)
        processes.append(await start_servers(world, "sound", "none", N_SOUND))
        processes.append(await start_servers(world, "flood", fault, n_servers))
        daemon = await world._make_daemon(0)
        world.daemons.append(daemon)
        await world.start_daemon(daemon)
        while not await world.is_ready(daemon):
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        before_mb = world.read_peak_mb(daemon)
        ends_at = time.monotonic() + PLAY_S
        callers = [flood(daemon.ip) for _ in range(CALLERS_PER_SERVER * n_servers)]
        await asyncio.gather(
            *callers, *(ask(daemon.ip) for _ in range(N_SOUND_CALLERS))
        )
        peak_mb = world.read_peak_mb(daemon)
    finally:
        for process in processes:
            await end_process(process)
        with contextlib.suppress(ProcessLookupError):
            await world.stop()
    share = n_served / max(1, n_sent)
    is_kept = 0 < peak_mb < MEMORY_MB and share >= MIN_SERVED
    print(
        f"{fault}, {kind}, {n_servers} servers: {before_mb:.0f} MB before, peak "
        f"{peak_mb:.0f} MB; {n_flooded} requests to them; sound ones "
        f"{n_served} of {n_sent} served{'' if is_kept else ' BROKEN'} logs={folder}",
        flush=True,
    )
    return is_kept


def main() -> int:
    """Plays the cases; returns 1 if a bound was not kept."""
    parser = argparse.ArgumentParser(prog="soak.floods")
    parser.add_argument("--seed", type=int, default=190)
    parser.add_argument("--servers", default="1,10,100")
    parser.add_argument("--kinds", default="read,stream")
    parser.add_argument("--faults", default="")
    arguments = parser.parse_args()
    names = [n for n in {**FAULTS, **SCENARIO_FAULTS} if n.split()[0] in PARTS]
    if arguments.faults:
        names = arguments.faults.split(",")
    kept = [
        asyncio.run(play(fault, int(n_servers), kind, arguments.seed))
        for fault in names
        for kind in arguments.kinds.split(",")
        for n_servers in arguments.servers.split(",")
    ]
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
