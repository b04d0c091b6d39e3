"""Steps for how soon daemons know what the store has acknowledged."""

import time

from behave import then, when
from behave.runner import Context
from steps.entry_limit_steps import list_daemons
from steps.entry_version_steps import wait_until

from berylpost.edge.clock import read_boottime
from berylpost.edge.model import BackendState
from berylpost.fakes.entry_world import make_configuration
from berylpost.fakes.links import LinkFault


@when("the links of a daemon that does not watch the store hang to all others but one")
def step_cut_sources(context: Context) -> None:
    daemons = list_daemons(context)
    wait_until(lambda: sum(d.watch.is_watching for d in daemons) == 3, 8)
    late = next(d for d in daemons if not d.watch.is_watching)
    others = [d for d in daemons if d is not late]

    async def cut():
        for other in others[:-1]:
            world = context.world
            world.loop.cut(late.settings.name, other.settings.ip, LinkFault.HANG)

    context.world.run(cut())


def wait_known(context, check, seconds):
    """Waits until each daemon knows; returns the longest time."""
    began_at = time.monotonic()
    left = list_daemons(context)
    while left:
        left = [daemon for daemon in left if not check(daemon)]
        waited_s = time.monotonic() - began_at
        names = [daemon.settings.name for daemon in left]
        assert waited_s < seconds or not left, (names, waited_s)
        time.sleep(0.01)
    return waited_s


@then("each of {n:d} changes of the first server is known everywhere within {s:g} s")
def step_check_changes(context: Context, n: int, s: float) -> None:
    world = context.world
    first = world.replicas[0]
    context.waits = []
    for number in range(n):
        world.run(world.put_replica(first, Slots=10 + number))
        context.waits.append(
            wait_known(
                context,
                lambda d, slots=10 + number: (
                    d.catalogue.backends[first.id].slots == slots
                ),
                s,
            )
        )
        time.sleep(0.2)
    print(f"longest waits: {context.waits}")


def kill_watchers(context):
    """Kills the daemons that watch the store; called in the event loop."""
    watching = [d for d in list_daemons(context) if d.watch.is_watching]
    assert len(watching) == 3, len(watching)
    for daemon in watching:
        context.world.daemons.pop(daemon.settings.name).kill()


@when("the daemons that watch the store die as the first server begins to leave")
def step_kill_as_server_leaves(context: Context) -> None:
    world = context.world

    async def kill():
        kill_watchers(context)
        await world.put_replica(world.replicas[0], State="draining")

    world.run(kill())
    context.left_at = read_boottime()


@when("the daemons that watch the store die as the operator stores configuration 2")
def step_kill_as_configured(context: Context) -> None:
    world = context.world

    async def kill():
        kill_watchers(context)
        await world.put_configuration(make_configuration(2))

    world.run(kill())


@then("every daemon knows within {seconds:g} s that the first server leaves")
def step_check_leaving(context: Context, seconds: float) -> None:
    first = context.world.replicas[0].id
    waited_s = wait_known(
        context,
        lambda d: d.catalogue.backends[first].state is BackendState.LEAVING,
        seconds,
    )
    print(f"longest wait: {waited_s}")


@when("{n:d} of the daemons that are active answer no standby daemon")
def step_silence(context: Context, n: int) -> None:
    def silence(members):
        send_to = members._send_to

        def send(others, *, is_answer=False):
            others = [m for m in others if m.active or not is_answer]
            send_to(others, is_answer=is_answer)

        members._send_to = send

    async def apply():
        active = [
            d
            for d in list_daemons(context)
            if d.members.active and not d.watch.is_watching
        ]
        for daemon in active[:n]:
            silence(daemon.members)

    context.world.run(apply())
