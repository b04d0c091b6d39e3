"""Steps for servers that say in their answers that they leave."""

import asyncio
import itertools
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_quarantine_steps import cut_links, heal_links
from steps.entry_steps import (
    connect,
    make_events,
    make_request_line,
    send_request,
    start_world,
)
from steps.entry_version_steps import list_daemons, wait_until

from berylpost.edge.daemon import EdgeDaemon
from berylpost.fakes.replica import N_EVENTS

N_REQUESTS = 12  # that every usable server gets one of
BORN_MS = 1_700_000_000_000
_numbers = itertools.count()


def send_one(daemon, kind="read", **options):
    return send_request(
        daemon, make_request_line(kind), f"l-{next(_numbers)}", **options
    )


async def send_many(daemons, kind="read"):
    for daemon in daemons:
        for _ in range(N_REQUESTS):
            await send_one(daemon, kind)


def count_received(context, daemons):
    """Sends requests to some daemons; returns how many reached the first server."""
    first = context.world.replicas[0]
    before = len(first.received)
    context.world.run(send_many(daemons))
    return len(first.received) - before


async def find_leaving(context, kind="read"):
    """Sends requests to the first daemon until the first server answers one."""
    first = context.world.replicas[0]
    before = len(first.received)
    async with asyncio.timeout(5.0):
        while len(first.received) == before:
            await send_one(list_daemons(context)[0], kind)


@given("{n:d} entry daemons and {k:d} servers with a start time")
def step_start(context: Context, n: int, k: int) -> None:
    start_world(context, n_daemons=n, versions=["v1"] * k)
    world = context.world

    async def put_entries():
        for replica in world.replicas:
            replica.born = BORN_MS
            await world.put_replica(replica)

    world.run(put_entries())
    wait_until(
        lambda: all(
            record.backend.started_ms == BORN_MS
            for daemon in list_daemons(context)
            for record in daemon.table.records.values()
        )
    )
    context.copy = world.store.take_copy()


@given("the first server said in an answer that it leaves")
def step_leave(context: Context) -> None:
    context.world.replicas[0].leaving = "1"
    context.world.run(find_leaving(context))
    time.sleep(0.3)


@given("the last daemon hears from no other")
def step_silence(context: Context) -> None:
    *others, alone = list_daemons(context)
    cut_links(context, [alone], others)


@when('the first server says that it leaves in an answer with "{fault}" to "{kind}"')
def step_say(context: Context, fault: str, kind: str) -> None:
    first = context.world.replicas[0]
    first.leaving = "1"
    first.fault = fault
    context.world.run(find_leaving(context, kind))


@then("it gets no request of that daemon later")
def step_check_daemon(context: Context) -> None:
    n_received = count_received(context, list_daemons(context)[:1])
    assert not n_received, n_received


@then("it gets no request of any daemon {seconds:g} s later")
def step_check_all(context: Context, seconds: float) -> None:
    time.sleep(seconds)
    n_received = count_received(context, list_daemons(context))
    assert not n_received, n_received


@when("a daemon that has just started meets it")
def step_start_daemon(context: Context) -> None:
    context.world.run(context.world.start_daemon(len(list_daemons(context))))


@when("another daemon starts and knows a daemon")
def step_start_another(context: Context) -> None:
    world = context.world

    async def start():
        daemon = EdgeDaemon(
            settings=world.make_settings(len(world.daemons)), log_stream=None
        )
        world.daemons[daemon.settings.name] = daemon
        await daemon.start()
        while not daemon.members.list_alive() or not daemon.table.records:
            await asyncio.sleep(0.001)

    world.run(start())


@then("it takes the first server for leaving within {seconds:g} s")
def step_check_taken(context: Context, seconds: float) -> None:
    daemon = list_daemons(context)[-1]
    record = daemon.table.records[context.world.replicas[0].id]
    wait_until(lambda: record.shutdown_at is not None, seconds)


@when("the last daemon receives again")
def step_receive_again(context: Context) -> None:
    heal_links(context)


@when("a daemon cut from the store meets it")
def step_cut_store(context: Context) -> None:
    ip = list_daemons(context)[-1].settings.ip
    context.world.store.server.refused_ips.add(ip)


@then("the last daemon sends it at most {n:d} request")
def step_check_last(context: Context, n: int) -> None:
    n_received = count_received(context, list_daemons(context)[-1:])
    n_received += count_received(context, list_daemons(context)[-1:])
    assert n_received <= n, n_received


@when("its entry says ready")
def step_say_ready(context: Context) -> None:
    context.world.run(context.world.put_replica(context.world.replicas[0], Slots=9))


@when("its entry is gone and comes back")
def step_come_back(context: Context) -> None:
    world = context.world
    world.run(world.store.remove("servers", world.replicas[0].id))
    time.sleep(0.5)
    world.run(world.put_replica(world.replicas[0]))


@when("the store comes back from a copy of before")
def step_restore(context: Context) -> None:
    context.world.run(context.world.store.restore(context.copy))


@when("it is listed as ready 6 s later")
def step_wait(context: Context) -> None:
    time.sleep(6.0)
    step_say_ready(context)


@when("the first server starts again under its id")
def step_start_again(context: Context) -> None:
    first = context.world.replicas[0]
    first.leaving = ""
    first.born = BORN_MS + 1
    context.world.run(context.world.put_replica(first))


@then("the first server gets requests within {seconds:g} s")
def step_check_used(context: Context, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    for daemon in list_daemons(context):
        while not count_received(context, [daemon]):
            assert time.monotonic() < deadline, "the server gets no request"


@when("the first server becomes known to leave while a request waits for it")
def step_learn_while_waiting(context: Context) -> None:
    world = context.world
    daemon = list_daemons(context)[0]
    first = world.replicas[0]

    async def send():
        record = daemon.table.records[first.id]
        acquire = record.pool.acquire

        async def learn_and_acquire(**options):
            daemon.leaving_servers.note(record)
            return await acquire(**options)

        record.pool.acquire = learn_and_acquire
        return [await send_one(daemon) for _ in range(N_REQUESTS)]

    context.answers = world.run(send())


@then("that request is answered and the first server got none")
def step_check_waited(context: Context) -> None:
    assert all(a.status == 200 for a in context.answers), context.answers
    assert not context.world.replicas[0].received


@when("a stream runs on the first server while another answer says that it leaves")
def step_stream(context: Context) -> None:
    world = context.world
    first = world.replicas[0]

    async def send():
        daemon = list_daemons(context)[0]
        for _ in range(N_REQUESTS):
            caller = await connect(daemon)
            before = len(first.received)
            caller.send(make_request_line("stream/once"), f"s-{next(_numbers)}")
            await asyncio.sleep(0.06)
            if len(first.received) > before:
                first.leaving = "1"
                await find_leaving(context)
                return await caller.read()
            await caller.read()
        raise AssertionError("no stream reached the first server")

    context.answer = world.run(send())


@then("the stream is answered whole")
def step_check_whole(context: Context) -> None:
    answer = context.answer
    assert answer.complete and answer.body == make_events(N_EVENTS), answer


@when('the first server\'s answers say "{value}"')
def step_say_value(context: Context, value: str) -> None:
    context.world.replicas[0].leaving = value
    context.world.run(find_leaving(context))


@when("another server answers 421 at the first one's address and says that it leaves")
def step_misdirect(context: Context) -> None:
    first = context.world.replicas[0]
    real_id, first.id = first.id, "another"
    first.leaving = "1"
    context.world.run(find_leaving(context))
    first.id, first.leaving = real_id, ""


@then("no daemon takes the first server for leaving")
def step_check_not_leaving(context: Context) -> None:
    time.sleep(0.5)
    first = context.world.replicas[0].id
    for daemon in list_daemons(context):
        usable = [r.backend.id for r in daemon.table.list_usable("app")]
        assert first in usable, usable


@then("a request is refused as not run within {seconds:g} s")
def step_check_refused(context: Context, seconds: float) -> None:
    began_at = time.monotonic()
    answer = context.world.run(send_one(list_daemons(context)[0]))
    assert time.monotonic() - began_at < seconds
    assert answer.status == 503 and b'"not_run"' in answer.body, answer
    assert float(answer.headers["retry-after"]) > 0, answer
