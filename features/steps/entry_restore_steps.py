"""Steps for a store that comes back from an older copy."""

import asyncio
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_steps import kill_daemon, send_request, start_world
from steps.entry_version_steps import list_daemons, wait_until

from berylpost.fakes.entry_world import make_configuration, make_route

N_CHANGES = 4
LAST = 1 + N_CHANGES  # version of the last change before the restore
CALL_S = 1.0


def make_version(version):
    """Makes a configuration whose routes tell its version, and the one before it."""
    configuration = make_configuration(version)
    for number in (version - 1, version):
        configuration["Routes"].append(make_route(f"v{number}", "idempotent"))
    return configuration


async def ask_route(daemon, version):
    """Asks for the route that one version and the next have; returns the status."""
    answer = await send_request(daemon, f"GET /v{version}/a", f"id-{time.monotonic()}")
    return answer.status


def get_number(daemon):
    configuration = daemon.catalogue.configuration
    return configuration.number if configuration is not None else 0


@given(
    "{n:d} entry daemons and a copy of the store before {k:d} changes of the "
    "configuration"
)
def step_start(context: Context, n: int, k: int) -> None:
    start_world(context, n_daemons=n)
    world = context.world
    context.copy = world.store.take_copy()

    async def change():
        for version in range(2, 2 + k):
            await world.put_configuration(make_version(version))
            # Other writes raise the revision as well.
            for number in range(5):
                await world.store.put("other", f"{version}-{number}", {})

    world.run(change())
    wait_until(lambda: all(get_number(d) == 1 + k for d in list_daemons(context)))


async def restore_at_once(context):
    await context.world.store.restore(context.copy)


async def restore_later(context):
    faults = context.world.store.server.faults
    faults.down = True
    await asyncio.sleep(1.0)
    await restore_at_once(context)
    faults.down = False


async def restore_twice(context):
    await restore_at_once(context)
    await restore_at_once(context)


async def restore_in_series(context):
    world = context.world
    for _ in range(2):
        await restore_at_once(context)
        await asyncio.sleep(0.3)
        await world.put_configuration(make_version(LAST))
        await asyncio.sleep(0.3)
    await restore_at_once(context)


async def restore_while_watches_hang(context):
    faults = context.world.store.server.faults
    faults.delay_s = 0.8
    await restore_at_once(context)
    await asyncio.sleep(1.0)
    faults.delay_s = 0.0


async def restore_beside_cut(context):
    server = context.world.store.server
    ip = list_daemons(context)[-1].settings.ip
    server.refused_ips.add(ip)
    await restore_at_once(context)
    context.heal = lambda: server.refused_ips.discard(ip)


async def restore_beside_silence(context):
    members = list_daemons(context)[-1].members
    receive = members._receive
    members._receive = lambda *_: None
    await restore_at_once(context)

    def heal():
        members._receive = receive

    context.heal = heal


async def restore_beside_start(context):
    daemon = list_daemons(context)[-1]
    daemon.kill()
    await restore_at_once(context)
    await context.world.start_daemon(len(list_daemons(context)) - 1)


async def restore_beside_starts(context):
    daemons = list_daemons(context)
    for daemon in daemons:
        daemon.kill()
    await restore_at_once(context)
    await asyncio.gather(
        *(context.world.start_daemon(number) for number in range(len(daemons)))
    )


TROUBLES = {
    "at once": restore_at_once,
    "after 1 s away": restore_later,
    "twice": restore_twice,
    "twice in a row with changes between": restore_in_series,
    "while the watches of the daemons hang": restore_while_watches_hang,
    "while the last daemon is cut from the store": restore_beside_cut,
    "while the last daemon hears from no other": restore_beside_silence,
    "while the last daemon starts again": restore_beside_start,
    "while all daemons start again": restore_beside_starts,
}


@when("the store comes back from the copy {trouble}")
def step_restore(context: Context, trouble: str) -> None:
    context.heal = lambda: None
    context.world.run(TROUBLES[trouble](context))


@when("the store comes back with a new change under a revision that it gave out before")
def step_reuse(context: Context) -> None:
    world = context.world
    store = world.store
    last_revision = store.revision

    async def restore():
        store.server.faults.down = True
        await asyncio.sleep(0.3)
        await store.restore(context.copy)
        await world.put_configuration(make_version(LAST))
        await world.put_configuration(make_version(LAST + 1))
        assert store.revision < last_revision, store.revision
        while store.revision <= last_revision + 3:
            await store.put("other", f"again-{store.revision}", {})
        store.server.faults.down = False

    context.heal = lambda: None
    world.run(restore())
    # A watch that failed is tried again within a second.
    context.changed_at = time.monotonic() + 0.5


@when("the operator writes the last change again and then a new one")
def step_write_again(context: Context) -> None:
    world = context.world

    async def write():
        await world.put_configuration(make_version(LAST))
        await asyncio.sleep(0.2)
        await world.put_configuration(make_version(LAST + 1))

    world.run(write())
    context.changed_at = time.monotonic()


@then(
    "within {seconds:g} s every daemon serves the new route and none of an older "
    "version"
)
def step_check_new(context: Context, seconds: float) -> None:
    daemons = list_daemons(context)

    async def check():
        while time.monotonic() < context.changed_at + seconds:
            await asyncio.sleep(0.02)
        for daemon in daemons:
            async with asyncio.timeout(CALL_S):
                statuses = [
                    await ask_route(daemon, version) for version in (LAST + 1, LAST - 1)
                ]
            assert statuses == [200, 404], (daemon.settings.name, statuses)

    context.world.run(check())
    context.heal()


@when("the last daemon starts again")
def step_start_again(context: Context) -> None:
    daemons = list_daemons(context)
    kill_daemon(context, daemons[-1])
    context.world.run(context.world.start_daemon(len(daemons) - 1))


@then("for {seconds:g} s no daemon serves an older version")
def step_check_no_older(context: Context, seconds: float) -> None:
    async def check():
        began_at = time.monotonic()
        while time.monotonic() < began_at + seconds:
            for daemon in list_daemons(context):
                status = await ask_route(daemon, LAST - 2)
                assert status == 404, (daemon.settings.name, status)
                status = await ask_route(daemon, LAST)
                assert status == 200, (daemon.settings.name, status)
            await asyncio.sleep(0.05)

    context.world.run(check())
