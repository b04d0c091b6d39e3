"""Steps for rollouts with daemons, a store and servers on loopback addresses."""

import asyncio
import itertools
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_steps import make_request_line, send_request, start_world

from berylpost.fakes.replica import Replica

LOAD_INTERVAL_S = 0.02  # between two requests: 50 a second
N_ADDED = 2  # servers of a new version
READ = make_request_line("read")
DUTIES = frozenset({"usage_report"})


def list_daemons(context):
    return list(context.world.daemons.values())


def start(context, n, *, has_rollouts):
    start_world(
        context,
        n_daemons=n,
        versions=("v1", "v1"),
        duties=DUTIES,
        has_rollouts=has_rollouts,
    )
    context.answers = []
    context.numbers = itertools.count()
    context.stop_load = False
    context.world.run(begin_load(context))
    context.add_cleanup(lambda: setattr(context, "stop_load", True))


async def begin_load(context):
    """Sends requests to the daemons in turn until the scenario ends."""
    world = context.world
    sent = set()

    async def send(number):
        daemons = list(world.daemons.values())
        daemon = daemons[number % len(daemons)]
        try:
            answer = await send_request(daemon, READ, f"load-{number}")
            context.answers.append((time.monotonic(), answer.status))
        except (OSError, AssertionError, EOFError):
            context.answers.append((time.monotonic(), 0))

    async def run():
        while not context.stop_load:
            task = asyncio.ensure_future(send(next(context.numbers)))
            sent.add(task)
            task.add_done_callback(sent.discard)
            await asyncio.sleep(LOAD_INTERVAL_S)

    context.load = asyncio.ensure_future(run())


def list_statuses(context):
    return [
        (status["State"], status["To"])
        for kind, _, status in context.world.store.statuses
        if kind == "rollouts"
    ]


def wait_for_end(context, seconds):
    """Waits until a final status of the last order is written."""
    ends_at = context.ordered_at + seconds
    while time.monotonic() < ends_at:
        statuses = list_statuses(context)
        if statuses and statuses[-1][1] == context.to and statuses[-1][0] != "active":
            return statuses
        time.sleep(0.05)
    raise AssertionError((list_statuses(context), describe(context)))


def describe(context):
    """Lists what each daemon knows of the order."""
    return [
        (name, rollout.record, round(rollout.elapsed_s, 1))
        for name, daemon in context.world.daemons.items()
        for rollout in daemon.rollouts.table.rollouts.values()
    ]


def add_servers(context, version, fault="none"):
    """Starts servers of a version beside the others."""
    world = context.world
    first = world.replicas[0]
    network = first.ip.rpartition(".")[0]
    for _ in range(N_ADDED):
        number = len(world.replicas)
        replica = Replica(
            id=f"r-{number}",
            ip=f"{network}.{100 + number}",
            port=first.port,
            version=version,
        )
        replica.fault = fault
        world.replicas.append(replica)
        world.run(replica.start())
        world.run(world.put_replica(replica))


def put_order(context, to, seconds):
    context.to = to
    context.ordered_at = time.monotonic()
    context.order = {"Service": "app", "To": to, "DurationS": seconds}
    context.world.run(context.world.store.put("rollouts", "app", context.order))


def count_received(context, version):
    return sum(
        len(r.received_at) for r in context.world.replicas if r.version == version
    )


@given("{n:d} daemons that hold duties and carry out rollouts")
def step_start(context: Context, n: int) -> None:
    start(context, n, has_rollouts=True)
    time.sleep(2.0)  # until one holds the lease and knows usual answer times


@given("{n:d} daemons that hold duties, without rollouts")
def step_start_without(context: Context, n: int) -> None:
    start(context, n, has_rollouts=False)


@then("they know no orders and call the store for none")
def step_check_disabled(context: Context) -> None:
    put_order(context, "v2", 12)
    add_servers(context, "v2")
    time.sleep(3.0)
    for daemon in list_daemons(context):
        assert not daemon.rollouts.table.rollouts
        assert not daemon.rollouts._tasks
        assert daemon.rollouts.holder is None
    assert not list_statuses(context)
    assert count_received(context, "v2")


@when("without an order servers of {version} start")
def step_add(context: Context, version: str) -> None:
    add_servers(context, version)


@then("callers are answered by both versions, and no status is written")
def step_check_both(context: Context) -> None:
    time.sleep(2.0)
    before = [count_received(context, version) for version in ("v1", "v2")]
    time.sleep(1.0)
    after = [count_received(context, version) for version in ("v1", "v2")]
    for was, now in zip(before, after, strict=True):
        assert now - was > 10, (before, after)
    assert not list_statuses(context)


@when("{to} is ordered within {seconds:g} s and its servers start")
def step_order(context: Context, to: str, seconds: float) -> None:
    put_order(context, to, seconds)
    time.sleep(0.5)
    add_servers(context, to)


@when("{to} is ordered within {seconds:g} s and its servers fail")
def step_order_bad(context: Context, to: str, seconds: float) -> None:
    put_order(context, to, seconds)
    time.sleep(0.5)
    add_servers(context, to, fault="fail")


@when("{to} is also ordered after {s:g} s, within {seconds:g} s")
def step_order_again(context: Context, to: str, seconds: float, s: float) -> None:
    time.sleep(s)
    step_order(context, to, seconds)


@when("{to} is ordered for its servers within {seconds:g} s")
def step_order_serving(context: Context, to: str, seconds: float) -> None:
    put_order(context, to, seconds)


@when("that version becomes slow after {s:g} s")
def step_slow(context: Context, s: float) -> None:
    time.sleep(s)
    for replica in context.world.replicas:
        if replica.version == context.to:
            replica.work_s = 0.15


@when("the holder is killed after {s:g} s")
def step_kill(context: Context, s: float) -> None:
    time.sleep(s)
    (holder,) = [d for d in list_daemons(context) if d.duties.lease.is_held()]

    async def kill():
        holder.kill()
        del context.world.daemons[holder.settings.name]

    context.world.run(kill())


@when("all daemons are killed after {s:g} s and start again")
def step_kill_all(context: Context, s: float) -> None:
    time.sleep(s)
    world = context.world

    async def restart():
        daemons = list(world.daemons.values())
        for daemon in daemons:
            daemon.kill()
        await asyncio.sleep(1.0)
        for number in range(len(daemons)):
            await world.start_daemon(number)

    world.run(restart())


@when("the store is away for {away:g} s after {s:g} s")
def step_away(context: Context, away: float, s: float) -> None:
    time.sleep(s)
    faults = context.world.store.server.faults
    faults.down = True
    time.sleep(away)
    faults.down = False


@when(
    "the store comes back after {s:g} s from a copy of before, and the order is "
    "written again"
)
def step_restore(context: Context, s: float) -> None:
    store = context.world.store
    stored = store.take_copy()
    for kind in ("rollouts", "berylpost-rollouts"):
        stored.kinds.pop(kind, None)
    time.sleep(s)
    context.n_before_restore = len(list_statuses(context))
    context.world.run(store.restore(stored))
    context.world.run(store.put("rollouts", "app", context.order))


@then("the statuses within {seconds:g} s are {states} of {to}")
def step_check_statuses(context, seconds: float, states: str, to: str) -> None:
    found = wait_for_end(context, seconds)
    expected = [(state, to) for state in states.split(", ")]
    assert found == expected, (found, describe(context))


@then("within {seconds:g} s an active v2 is followed by an active and complete v3")
def step_check_two(context: Context, seconds: float) -> None:
    found = wait_for_end(context, seconds)
    expected = [("active", "v2"), ("active", "v3"), ("complete", "v3")]
    assert found == expected, (found, describe(context))


@then(
    "the last status within {seconds:g} s is complete of {to}, and none was written "
    "twice in an era"
)
def step_check_restored(context: Context, seconds: float, to: str) -> None:
    found = wait_for_end(context, seconds)
    assert found[-1] == ("complete", to), found
    n = context.n_before_restore
    for of_era in (found[:n], found[n:]):
        assert len(set(of_era)) == len(of_era), found


@then("requests go to {to} alone")
def step_check_alone(context: Context, to: str) -> None:
    statuses = list_statuses(context)
    time.sleep(0.8)  # until the decision has reached all daemons
    versions = {r.version for r in context.world.replicas}
    before = {version: count_received(context, version) for version in versions}
    time.sleep(2.0)
    for version in versions:
        n = count_received(context, version) - before[version]
        assert n > 20 if version == to else n == 0, (version, n, describe(context))
    assert list_statuses(context) == statuses, "a status was written twice"


@then("version {version} got fewer than {n:d} requests")
def step_check_few(context: Context, version: str, n: int) -> None:
    assert count_received(context, version) < n, count_received(context, version)


@then("no request failed")
def step_check_answers(context: Context) -> None:
    failed = [status for _, status in context.answers if status != 200]
    assert len(context.answers) > 100 and not failed, (len(context.answers), failed)
