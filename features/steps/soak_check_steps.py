"""Steps for the checks of the soak test itself."""

import asyncio
import random
import socket
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from soak.accounts import find_faults
from soak.faults import FaultSchedule
from soak.periods import Disturbance, PlannedStop, Refusal
from soak.proxy import Proxy
from soak.refusals import list_unreachable
from soak.world import Daemon, World

IP = "127.29.7.1"


@given('a planned stop whose daemon logged "{lines}"')
def log_stop(context, lines):
    folder = tempfile.TemporaryDirectory(prefix="soak-checks-")
    context.add_cleanup(folder.cleanup)
    log = Path(folder.name) / "entry.log"
    before = b"event=request_lost id=of-an-earlier-start\n"
    text = before + lines.replace(";", "\n").encode()
    log.write_bytes(text)
    context.stop = PlannedStop(
        daemon="a",
        started_at=0.0,
        ended_at=5.0,
        status=0,
        log=log,
        log_range=(len(before), len(text)),
    )


@when("its account is checked, {state}")
def check_account(context, state):
    was_disturbed = {"disturbed": True, "undisturbed": False}[state]
    context.faults = list(find_faults(context.stop, was_disturbed=was_disturbed))


@then('the soak reports "{fault}"')
def check_fault(context, fault):
    assert context.faults == [fault], context.faults


@then('the soak reports ""')
def check_no_fault(context):
    assert context.faults == [], context.faults


@given("a proxy of the soak before an address that refuses")
def make_proxy(context):
    with socket.socket() as sock:
        sock.bind((IP, 0))
        port = sock.getsockname()[1]
    context.proxy = Proxy(listen=(IP, port), target=(IP, port + 1))


@when("a client connects through it")
def connect(context):
    async def run():
        await context.proxy.start()
        try:
            _reader, writer = await context.proxy.connect()
            writer.close()
        except OSError as error:
            context.error = error
        await context.proxy.stop()

    context.error = None
    asyncio.run(run())


@then("its connection is refused")
def check_refused(context):
    assert isinstance(context.error, ConnectionRefusedError), context.error
    assert context.proxy.n_refused == 1


@given('daemons "{names}", of which "{stopped}" are in planned stops')
def make_world(context, names, stopped):
    world = World(address_prefix="127.29", folder=Path(), on_run=lambda *_: None)
    world.daemons = [SimpleNamespace(name=name) for name in names.split(", ")]
    began_at = time.monotonic() - 5.0
    world.disturbances = [
        Disturbance(
            kind="stop",
            target=name,
            started_at=began_at,
            ended_at=began_at,
            planned=True,
        )
        for name in stopped.split(", ")
    ]
    context.world = world
    # Each has answered something since it was started.
    context.records = [
        SimpleNamespace(daemon=name, status=200, sent_at=began_at, ended_at=began_at)
        for name in names.split(", ")
    ]


@when('a caller is refused by "{name}"')
def refuse(context, name):
    refusal = Refusal(at=time.monotonic(), daemons=(name,))
    context.world.refusals.append(refusal)
    context.faults = list_unreachable(context.world, context.records)


@given("a schedule of the soak with {n:d} daemons")
def make_schedule(context, n):
    process = SimpleNamespace(returncode=None)
    parts = dict.fromkeys(("front", "store", "cloud", "log", "settings"))
    world = World(address_prefix="127.29", folder=Path(), on_run=lambda *_: None)
    world.daemons = [
        Daemon(name=f"entry-{number}", ip=IP, process=process, **parts)
        for number in range(n)
    ]
    context.world = world
    context.schedule = FaultSchedule(world=world, random_state=random.Random(7))


@when('the soak begins to "{action}"')
def begin_action(context, action):
    """Runs an action until it first waits; the tasks it makes have not begun then."""

    async def run():
        context.stopped = []
        context.world.record_disturbance = lambda kind, name, **_: (
            context.stopped.append(name)
        )
        restart = context.schedule._restart_daemon

        def note_restart(daemon):
            context.stopped.append(daemon.name)
            return restart(daemon)

        context.schedule._restart_daemon = note_restart
        context.schedule.planned_actions[action]().send(None)
        context.up = {d.name for d in context.world.daemons if d.is_up}
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    asyncio.run(run())


@then("each daemon that it stops is not up for other actions")
def check_up(context):
    assert context.stopped
    assert not context.up & set(context.stopped), (context.up, context.stopped)
