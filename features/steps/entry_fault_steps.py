"""Steps for regression tests of faults found by the soak test."""

import asyncio
import subprocess
import sys
from typing import Any

from behave import then, when

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
