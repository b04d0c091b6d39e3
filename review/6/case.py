"""Another writer stores large entries beside those of the backend servers."""

import asyncio
import itertools
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from berylpost.fakes.objects import Document, ObjectStore
from berylpost.fakes.server import Reply, reply_json
from review.stand_ins_2 import (
    KEY,
    MEMORY_MB,
    Daemon,
    Record,
    Request,
    Site,
    call,
    make_configuration,
    make_route,
    serve,
    write_answer,
)

N_DAEMONS: Final = 3
N_ENDS: Final = 3  # ends of processes by themselves that the rule allows less than
N_MACHINES: Final = 2  # on so many machines
N_ENTRIES: Final = 16
VALUE_BYTES: Final = 1_048_576  # `ValueBytes`, of which an entry takes less
PAGE_BYTES: Final = 1_000_000  # of a list: "about 500 or 1 MB at most"
WRITE_PAUSE_S: Final = 0.3
MAX_RUN_S: Final = 80.0
RESTART_S: Final = 0.5  # the platform's short delay before it starts a process again
POLL_S: Final = 0.02
TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"


class PagedStore(ObjectStore):
    """The project's stand-in of the store, with pages of a megabyte."""

    def _list(self, kind: str, after: str) -> Reply:
        items: list[Document] = []
        n_bytes = 0
        names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
        for name in names:
            document = self.kinds[kind][name]
            n_bytes += len(json.dumps(document))
            if items and n_bytes > PAGE_BYTES:
                break
            items.append(document)
        return reply_json(
            {
                "Items": items,
                "HasMore": len(items) < len(names),
                "StoreRevision": self.revision,
            }
        )


async def book(request: Request, writer: asyncio.StreamWriter) -> bool:
    """Answers a booking at once."""
    write_answer(request, writer, body=b"booked")
    return True


def make_entry(number: int) -> dict[str, Any]:
    """Makes an entry that names no replica: an address and a state are missing."""
    entry: dict[str, Any] = {"Service": "desk", "Zone": "toowoomba", "Host": number}
    if TROUBLE:
        sample = {"t": 1}
        n_samples = 1_000_000 // len(json.dumps(sample, separators=(",", ":")) + ",")
        entry["Samples"] = [sample] * n_samples
    assert len(json.dumps(entry, separators=(",", ":"))) < VALUE_BYTES
    return entry


async def watch(site: Site, daemon: Daemon, ends: list[str]) -> None:
    """Does what the platform does: kills at the limit and starts ended processes."""
    while True:
        await asyncio.sleep(POLL_S)
        memory_mb = daemon.read_memory_mb()
        process = daemon.process
        assert process is not None
        if memory_mb > MEMORY_MB:
            await site.kill_daemon(daemon)
            site.record.note(f"{daemon.name} killed at {memory_mb:.0f} MB")
        elif process.returncode is not None:
            site.record.note(f"{daemon.name} ended with {process.returncode}")
        else:
            continue
        ends.append(daemon.name)
        await asyncio.sleep(RESTART_S)
        await site.start_daemon(daemon)


async def send_bookings(site: Site, daemon: Daemon) -> None:
    """Sends a booking now and then, as an ordinary client does."""
    for number in itertools.count(1):
        attempt = f"{daemon.name}-book-{number}"
        headers = {
            "Authorization": f"Bearer {KEY}",
            "X-Berylpost-Attempt-Id": attempt,
            "X-Berylpost-Deadline-Ms": "1500",
        }
        answer = await call(
            (daemon.ip, site.front),
            "POST",
            "/book/1",
            headers=headers,
            body=b"x",
            timeout_s=1.5,
        )
        site.record.note(f"{attempt} status={answer.status}")
        await asyncio.sleep(0.25)


async def run(folder: Path, record: Record) -> int:
    """Runs the case; returns 1 if the rule was broken, else 0."""
    site = Site(folder=folder, record=record)
    site.store = PagedStore(endpoint=site.store.server.endpoint)
    routes = [make_route("book", "non_idempotent", "desk", MaxAttempts=1)]
    services = [{"Name": "desk", "MaxConns": 600}]
    await serve("desk-1", site.ip(110), site.port, book)
    await site.register("desk-1", site.ip(110), Service="desk")
    ends: list[str] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await site.start(make_configuration(routes, services), n_daemons=N_DAEMONS)
        for daemon in site.daemons:
            tasks.append(asyncio.create_task(watch(site, daemon, ends)))
            tasks.append(asyncio.create_task(send_bookings(site, daemon)))
        await asyncio.sleep(3.0)
        for number in range(N_ENTRIES):
            await site.store.put("servers", f"x-{number}", make_entry(number))
            record.note(f"entry {number + 1} written")
            await asyncio.sleep(WRITE_PAUSE_S)
        began_at = time.monotonic()
        while time.monotonic() - began_at < MAX_RUN_S:
            await asyncio.sleep(1.0)
            for daemon in site.daemons:
                record.note(f"{daemon.name} holds {daemon.read_memory_mb():.0f} MB")
            if all(ends.count(d.name) >= N_ENDS for d in site.daemons):
                break
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()
    often = [d.name for d in site.daemons if ends.count(d.name) >= N_ENDS]
    record.note(f"processes ended {len(ends)} times; {N_ENDS} times each: {often}")
    return int(len(often) >= N_MACHINES)


def main() -> int:
    """Runs the case; returns 2 if it could not run."""
    record = Record(Path(__file__).parent / "record.txt")
    began_at = time.monotonic()
    try:
        with tempfile.TemporaryDirectory() as folder:
            status = asyncio.run(run(Path(folder), record))
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        status = 2
    record.note(f"exit status {status} after {time.monotonic() - began_at:.0f} s")
    return status


if __name__ == "__main__":
    sys.exit(main())
