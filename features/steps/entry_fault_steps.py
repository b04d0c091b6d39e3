"""Steps for regression tests of faults found by the soak test."""

import asyncio
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

from behave import then, when
from steps.entry_steps import (
    DEADLINE_MS,
    first_daemon,
    make_request_line,
    send_request,
    wait_for,
)

# Runs the entry point with a stub in place of the daemon module.
LOAD_DAEMON = """
import runpy, signal, sys, types
def main():
    return 0 if signal.getsignal(signal.SIGHUP) is signal.SIG_IGN else 1
sys.modules["berylpost.edge.daemon"] = types.SimpleNamespace(main=main)
runpy.run_module("berylpost.edge", run_name="__main__")
"""


@when("each new connection to a server is lost before it is used")
def step_lose_connections(context: Any) -> None:
    world = context.world
    create_connection = world.loop.create_connection
    servers = {replica.ip for replica in world.replicas}

    async def create_and_lose(factory: Any, ip: str, port: int) -> Any:
        transport, protocol = await create_connection(factory, ip, port)
        if ip in servers:
            transport.abort()
            await asyncio.sleep(0.01)
        return transport, protocol

    world.loop.create_connection = create_and_lose


@then("SIGHUP is ignored when the daemon's own modules are loaded")
def step_hup_ignored(context: Any) -> None:
    done = subprocess.run([sys.executable, "-c", LOAD_DAEMON], timeout=30)
    assert done.returncode == 0, done


def read_resident_mb() -> float:
    status = Path("/proc/self/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1]) / 1_024


@when('a caller sends a "{kind}" request and the daemon\'s memory is watched')
def step_send_and_watch(context: Any, kind: str) -> None:
    world = context.world
    before_mb = read_resident_mb()
    context.most_mb = 0.0
    stopped = threading.Event()

    def watch() -> None:
        while not stopped.wait(0.005):
            context.most_mb = max(context.most_mb, read_resident_mb() - before_mb)

    watcher = threading.Thread(target=watch)
    watcher.start()
    began_at = time.monotonic()
    try:
        context.answer = world.run(
            send_request(first_daemon(context), make_request_line(kind), "id-1")
        )
    finally:
        context.took_s = time.monotonic() - began_at
        stopped.set()
        watcher.join()


@then("it has an answer within its deadline and the daemon took at most {n:d} MB")
def step_check_bounded(context: Any, n: int) -> None:
    assert context.answer.status in (0, 200, 502, 504), context.answer
    assert context.answer.status != 200 or not context.answer.complete, context.answer
    assert context.took_s <= DEADLINE_MS / 1_000 + 0.5, context.took_s
    assert context.most_mb <= n, context.most_mb


@then(
    "it has the whole answer within its deadline and the daemon took at most {n:d} MB"
)
def step_check_delivered(context: Any, n: int) -> None:
    assert context.answer.status == 200 and context.answer.complete, context.answer
    assert context.answer.body.startswith((b"echo:", b"id: 1\n")), context.answer
    assert context.took_s <= DEADLINE_MS / 1_000 + 0.5, context.took_s
    assert context.most_mb <= n, context.most_mb


@then("the servers' connections are closed")
def step_check_closed(context: Any) -> None:
    wait_for(
        2.0,
        lambda: all(not replica.n_running for replica in context.world.replicas),
    )
