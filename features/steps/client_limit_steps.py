"""Steps that put client loads on real daemon processes."""

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from steps.client_loads import (
    BODY_BYTES,
    LOADS,
    ProcessWatcher,
    Target,
    ask,
    limited_descriptors,
    make_short_lines,
    play,
)

from berylpost.bench.fleet import Fleet, FleetSpec
from berylpost.fakes.entry_world import API_KEY, HOST, EntryWorld, make_configuration
from berylpost.fakes.replica import (
    SCENARIO_FAULTS,
    IncomingRequest,
    Replica,
    _make_headers,
    _write,
)
from berylpost.platform.names import READINESS_PATH, SETTINGS_VARIABLE

READY_TIMEOUT_S = 20.0
ANSWER_BYTES = 2_097_152  # of a large answer
DEADLINE_MS = 1_500


async def answer_at_size(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Answers any request with a body of the same size, within the limit of answers."""
    _write(writer, 200, _make_headers(replica, incoming), b"x" * ANSWER_BYTES)
    return True


SCENARIO_FAULTS["answer of one size"] = answer_at_size


class Platform(EntryWorld):
    """The fakes of the platform without a daemon in this process."""

    async def _start(self) -> None:
        await self.store.server.start()
        await self.duty_api.server.start()
        for replica in self.replicas:
            await replica.start()
            await self.put_replica(replica)
        await self.put_configuration(make_configuration())

    def write_settings(self, path: Path, memory_mb: int) -> None:
        """Writes the settings file of the daemon."""
        settings = self.make_settings(0)
        document = {
            "Node": settings.name,
            "Ip": settings.ip,
            "Zone": settings.zone,
            "Listen": {
                "Front": str(settings.front),
                "Readiness": str(settings.readiness),
                "Directory": str(settings.directory),
            },
            "PortRange": [settings.peer.port, settings.peer.port + 9],
            "Platform": {"Address": str(settings.store)},
            "Limits": {"MemoryMb": memory_mb},
        }
        path.write_text(json.dumps(document))


def make_head(line: str, name: str) -> bytes:
    """Makes the first lines of a request to an entry daemon."""
    return (
        f"{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Berylpost-Attempt-Id: {name}\r\n"
        f"X-Berylpost-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {API_KEY}\r\n"
    ).encode()


def watch(context: Context, process: subprocess.Popen, log: Path) -> None:
    context.process = process
    context.log = log
    context.answers = []
    context.watcher = ProcessWatcher(pid=process.pid)
    context.add_cleanup(context.watcher.stop)


def is_ready(url: str) -> bool:
    with contextlib.suppress(OSError):
        with urllib.request.urlopen(url, timeout=1.0) as answer:
            return answer.status == 200
    return False


@given(
    "an entry daemon process with {memory:d} MB of memory and {n:d} descriptors",
)
def step_start_entry(context: Context, memory: int, n: int) -> None:
    context.world = world = Platform(n_daemons=1)
    world.__enter__()
    context.add_cleanup(world.__exit__)
    for replica in world.replicas:
        replica.fault = "answer of one size"
    folder = tempfile.TemporaryDirectory(prefix="client-limits-")
    context.add_cleanup(folder.cleanup)
    path, log = Path(folder.name) / "entry.json", Path(folder.name) / "entry.log"
    world.write_settings(path, memory)
    with limited_descriptors(n), log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-m", "berylpost.edge"],
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=output,
            stderr=output,
        )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    settings = world.make_settings(0)
    ends_at = time.monotonic() + READY_TIMEOUT_S
    while not is_ready(f"http://{settings.readiness}{READINESS_PATH}"):
        assert process.poll() is None and time.monotonic() < ends_at, log.read_text()
        time.sleep(0.05)
    context.target = Target(
        address=tuple(settings.front),
        ordinary=make_head("GET /read/a", "ordinary") + b"Content-Length: 0\r\n\r\n",
        read_head=make_head("GET /read/a", "load"),
        write_head=make_head("POST /book/a", "load"),
        large_answer=make_head("GET /read/a", "load") + b"\r\n",
    )
    watch(context, process, log)


@given(
    "a daemon process of the own interface with {threads:d} threads and "
    "{n:d} descriptors"
)
def step_start_own(context: Context, threads: int, n: int) -> None:
    listen = {"threads": threads, "max_body_bytes": BODY_BYTES}
    spec = FleetSpec(
        n_daemons=1, n_engines=1, n_services=1, overrides={"listen": listen}
    )
    fleet = Fleet(spec=spec)
    context.add_cleanup(fleet.__exit__)
    with limited_descriptors(n):
        fleet.__enter__()
    (daemon,) = fleet.daemons
    ip, _, port = daemon.http.rpartition(":")
    line = b"Host: own\r\nAuthorization: Bearer weighbridge-token\r\n"
    booking = b'{"reference": "truck-1"}'
    post = b"POST /v1/services/intake/bookings HTTP/1.1\r\n" + line
    context.target = Target(
        address=(ip, int(port)),
        ordinary=post
        + b"Idempotency-Key: truck-1\r\nContent-Type: application/json\r\n"
        + b"Content-Length: %d\r\n\r\n" % len(booking)
        + booking,
        read_head=b"GET /healthz HTTP/1.1\r\n" + line,
        write_head=post + b"Idempotency-Key: truck-2\r\n",
        large_answer=b"GET /metrics HTTP/1.1\r\n" + line + b"\r\n",
    )
    watch(context, daemon.process, daemon.log_path)


@when('{n:d} clients play the load "{load}" for {seconds:d} s')
def step_play(context: Context, n: int, load: str, seconds: int) -> None:
    context.answers = asyncio.run(play(context.target, load, n, seconds))


@when("{n:d} clients play each load for {seconds:d} s")
def step_play_all(context: Context, n: int, seconds: int) -> None:
    for load in LOADS:
        context.answers = asyncio.run(play(context.target, load, n, seconds))


@then("the process lives and one ordinary request is answered")
def step_check_answered(context: Context) -> None:
    watcher = context.watcher
    print(f"most: {watcher.most_mb:.0f} MB, {watcher.most_descriptors} descriptors")
    print(f"ordinary request: {context.answers}")
    if figures := os.environ.get("CLIENT_LIMIT_FIGURES"):
        with open(figures, "a") as output:
            name = context.scenario.name
            print(
                f"{name}: {watcher.most_mb:.0f} MB, {watcher.most_descriptors} "
                f"descriptors, ordinary {context.answers}",
                file=output,
            )
    assert context.process.poll() is None, context.log.read_text()[-2_000:]
    assert b" 200 " in context.answers[-1] or b" 201 " in context.answers[-1], (
        context.answers
    )


@then("its memory stayed below {n:d} MB")
def step_check_memory(context: Context, n: int) -> None:
    assert 0 < context.watcher.most_mb < n, context.watcher.most_mb


@then("it never held more than three quarters of its {n:d} descriptors")
def step_check_descriptors(context: Context, n: int) -> None:
    n_most = context.watcher.most_descriptors
    assert 0 < n_most <= 0.75 * n, n_most


@then("a body of {n:d} bytes is answered")
def step_check_body(context: Context, n: int) -> None:
    target = context.target
    head = target.write_head + b"Content-Length: %d\r\n\r\n" % n
    answer = asyncio.run(ask(target, head + b"x" * n))
    assert b" 200 " in answer[:20], answer[:200]


@then("a header section of {n:d} bytes with the shortest lines is answered")
def step_check_headers(context: Context, n: int) -> None:
    target = context.target
    request = make_short_lines(target.read_head) + b"\r\n"
    assert n - 4 < len(request) <= n, len(request)
    answer = asyncio.run(ask(target, request))
    assert b" 200 " in answer[:20], answer[:200]
