"""Steps for requests that crash the servers which run them."""

import asyncio
import itertools
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_quarantine_steps import (
    OTHER_ENDS,
    PAUSE_S,
    RESTART_S,
    check_served,
    cut_links,
    heal_links,
    list_quarantines,
    make_prompt_headers,
    send_until,
    send_until_held,
    start_crashing,
)
from steps.entry_steps import make_request_line, send_request
from steps.entry_version_steps import list_daemons, wait_until

from berylpost.edge.clock import read_boottime
from berylpost.edge.daemon import EdgeDaemon
from berylpost.edge.request_quarantine import _BrokenServer
from berylpost.fakes.entry_world import HOST, make_configuration
from berylpost.policy.quarantine import (
    REQUEST_DEPTH,
    Observation,
    PartRecord,
    find_holds,
)
from berylpost.request_holds import Suspects, digest_request

_numbers = itertools.count()


def send_body(daemon, kind, body, **options):
    line = make_request_line(kind)
    return send_request(
        daemon, line, f"c-{next(_numbers)}", body=body.encode(), **options
    )


def make_suspects(kind, body):
    """Makes what the daemons know a request of the customer `one` by."""
    method, target = make_request_line(kind).encode().split()
    digest = digest_request(method, HOST.encode(), target, b"one", body.encode())
    return Suspects((), digest)


def holds(daemon, kind="read", body="bad"):
    return daemon.quarantine.is_held(make_suspects(kind, body))


def list_runs(context, body):
    """Lists when servers received requests with a body."""
    return sorted(
        at
        for replica in context.world.replicas
        for at, incoming in zip(replica.received_at, replica.received, strict=True)
        if incoming.body == body.encode()
    )


@given('{n:d} entry daemons and {k:d} servers that crash on the body "{body}"')
def step_start(context: Context, n: int, k: int, body: str) -> None:
    start_crashing(context, n, k)
    for replica in context.world.replicas:
        replica.crashing_bodies = frozenset({body.encode()})


@given("their addresses accept connections for {seconds:f} s after a crash")
def step_linger(context: Context, seconds: float) -> None:
    for replica in context.world.replicas:
        replica.lingers_s = seconds


async def send_all(context, seconds, send, *bodies):
    """Sends requests with each body at all daemons in turn."""
    context.answers = {body: [] for body in bodies}
    ends_at = time.monotonic() + seconds

    async def send_one(daemon, body):
        sent_at = time.monotonic()
        context.answers[body].append((sent_at, await send(daemon, body)))

    async def send_body_again(body):
        tasks = []
        for number in itertools.count():
            if time.monotonic() >= ends_at:
                break
            daemons = list_daemons(context)
            daemon = daemons[number % len(daemons)]
            tasks.append(asyncio.ensure_future(send_one(daemon, body)))
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)

    await asyncio.gather(*map(send_body_again, bodies))
    context.ended_at = ends_at


@when('callers send "{kind}" requests with the bodies "{a}" and "{b}" for {n:d} s')
def step_send(context: Context, kind: str, a: str, b: str, n: int) -> None:
    work = send_all(context, n, lambda d, body: send_body(d, kind, body), a, b)
    context.world.run(work, timeout_s=n + 20)


@when(
    'callers send streams of the parts "{parts}" with the bodies "{a}" and "{b}" '
    "for {n:d} s"
)
def step_send_prompts(context: Context, parts: str, a: str, b: str, n: int) -> None:
    def send(daemon, body):
        headers = make_prompt_headers(*parts.split(","))
        return send_body(daemon, "stream", body, extra_headers=headers)

    context.world.run(send_all(context, n, send, a, b), timeout_s=n + 20)


@then(
    'at most {n:d} with the body "{body}" reached servers later than {seconds:d} s '
    "after the third crash"
)
def step_check_late(context: Context, n: int, body: str, seconds: int) -> None:
    assert len(context.crashes) >= 3, context.crashes
    received = list_runs(context, body)
    late = [at for at in received if at > context.crashes[2] + seconds]
    assert len(late) <= n, (len(late), len(context.crashes))


@then('nine in ten with the body "{body}" were answered in the last {seconds:d} s')
def step_check_sound(context: Context, body: str, seconds: int) -> None:
    since = context.ended_at - seconds
    check_served(context.answers[body], since, lambda a: a.status == 200 and a.complete)


async def crash_with(daemons, until, kind="read", body="bad"):
    """Sends a request to some daemons until a condition holds."""
    await send_until(daemons, until, lambda daemon: send_body(daemon, kind, body))


@given("a copy of the store")
def step_copy(context: Context) -> None:
    context.copy = context.world.store.take_copy()


@given('the "{kind}" request with the body "{body}" is held everywhere')
def step_hold(context: Context, kind: str, body: str) -> None:
    daemons = list_daemons(context)

    async def hold():
        await crash_with(daemons, lambda: all(holds(d, kind, body) for d in daemons))
        await asyncio.sleep(RESTART_S + 0.4)  # until all servers are back

    context.world.run(hold())
    context.received.clear()
    context.n_crashes_before = len(context.crashes)


@when('callers send the "{kind}" request with the body "{body}" to all daemons')
def step_send_held(context: Context, kind: str, body: str) -> None:
    async def send():
        return [await send_body(d, kind, body) for d in list_daemons(context)]

    began_at = time.monotonic()
    context.answers = context.world.run(send())
    context.took_s = time.monotonic() - began_at


@when("the servers no longer crash")
def step_mend(context: Context) -> None:
    for replica in context.world.replicas:
        replica.crashing_bodies = frozenset()


TRUST_S = 10.0  # until keys are trusted again after a restore, at most
DIFFERENCES = {
    "body": ("GET /read/a", b"bad2", "key-one"),
    "path": ("GET /read/b", b"bad", "key-one"),
    "query": ("GET /read/a?q", b"bad", "key-one"),
    "method": ("POST /read/a", b"bad", "key-one"),
    "customer": ("GET /read/a", b"bad", "key-two"),
}


@when("callers send the held request with another {difference}")
def step_send_other(context: Context, difference: str) -> None:
    world = context.world
    line, body, key = DIFFERENCES[difference]
    tenants = [
        {"Name": name, "ApiKeys": [f"key-{name}"], "RatePerS": 0, "Burst": 0}
        for name in ("one", "two")
    ]
    world.run(world.put_configuration(make_configuration(2, Tenants=tenants)))
    time.sleep(1.0)

    async def send():
        return [
            await send_request(d, line, f"o-{next(_numbers)}", body=body, key=key)
            for d in list_daemons(context)
        ]

    context.answers = world.run(send())


@then("all of them are answered 200")
def step_check_answered(context: Context) -> None:
    assert context.answers and all(a.status == 200 for a in context.answers)


@when('callers send {n:d} "{kind}" requests with the body "{body}", {pause:f} s apart')
def step_send_slowly(
    context: Context, n: int, kind: str, body: str, pause: float
) -> None:
    daemons = list_daemons(context)
    work = send_until_held(
        context,
        n,
        pause,
        lambda daemon, _number: send_body(daemon, kind, body),
        lambda: all(holds(daemon, kind, body) for daemon in daemons),
    )
    context.world.run(work)


@then(
    'no attempt reaches a server once the "{kind}" request with the body "{body}" '
    "is held"
)
def step_check_attempts(context: Context, kind: str, body: str) -> None:
    late = [at for at in list_runs(context, body) if at > context.held_at]
    assert not late, (late, context.held_at)


@when(
    'another daemon starts and gets the "{kind}" request with the body "{body}" at once'
)
def step_start_another(context: Context, kind: str, body: str) -> None:
    start_and_send(context, 9, kind, body)


@when("all daemons are killed and one starts and gets that request")
def step_kill_all(context: Context) -> None:
    world = context.world
    wait_until(lambda: bool(world.store.kinds.get("berylpost-holds")), 3.0)

    async def kill():
        for name in list(world.daemons):
            world.daemons.pop(name).kill()

    world.run(kill())
    start_and_send(context, 0, "read", "bad")


@when("all daemons are killed and one starts and gets that request when it trusts keys")
def step_kill_and_trust(context: Context) -> None:
    # After a restore, a daemon that starts trusts no key for a while.
    context.waits_for_keys = True
    step_kill_all(context)


def start_and_send(context, number, kind, body):
    """Starts a daemon and sends it a request before it can know what is held."""
    world = context.world

    async def send():
        daemon = EdgeDaemon(settings=world.make_settings(number), log_stream=None)
        world.daemons[daemon.settings.name] = daemon
        await daemon.start()
        while daemon.catalogue.configuration is None or not daemon.table.records:
            await asyncio.sleep(0.0005)
        waits_at = time.monotonic()
        async with asyncio.timeout(TRUST_S):
            while getattr(context, "waits_for_keys", False) and not daemon.is_ready:
                await asyncio.sleep(0.02)
        context.waited_s = time.monotonic() - waits_at
        return await asyncio.gather(*(send_body(daemon, kind, body) for _ in range(6)))

    began_at = time.monotonic()
    context.answers = world.run(send())
    context.took_s = time.monotonic() - began_at - context.waited_s - 0.5


@when(
    "two halves of the daemons are cut from each other and one half holds the "
    '"{kind}" request "{body}"'
)
def step_cut_halves(context: Context, kind: str, body: str) -> None:
    daemons = list_daemons(context)
    first, second = daemons[::2], daemons[1::2]
    cut_links(context, first, second)
    context.world.run(
        crash_with(first, lambda: all(holds(d, kind, body) for d in first))
    )
    assert not any(holds(d, kind, body) for d in second)
    heal_links(context)
    context.second = second


@then(
    'the other half holds the "{kind}" request "{body}" within {seconds:g} s after '
    "the cut"
)
def step_check_halves(context: Context, kind: str, body: str, seconds: float) -> None:
    wait_until(lambda: all(holds(d, kind, body) for d in context.second), seconds)


@when(
    'the last daemon hears from no other and callers send it the "{kind}" request '
    '"{body}"'
)
def step_isolate(context: Context, kind: str, body: str) -> None:
    *others, alone = list_daemons(context)
    cut_links(context, [alone], others)
    context.alone = alone
    context.world.run(crash_with([alone], lambda: holds(alone, kind, body)))


@then(
    'at most {n:d} servers crashed and only that daemon holds the "{kind}" request '
    '"{body}"'
)
def step_check_alone(context: Context, n: int, kind: str, body: str) -> None:
    assert len(context.crashes) <= n, context.crashes
    for daemon in list_daemons(context):
        assert holds(daemon, kind, body) == (daemon is context.alone)


# Servers that end for another reason, under a request that is not at fault.


async def send_same(context, n):
    daemons = list_daemons(context)
    sent = [send_body(daemons[k % len(daemons)], "read", "same") for k in range(n)]
    return await asyncio.gather(*sent)


@when("under one and the same request {cause}")
def step_end_servers(context: Context, cause: str) -> None:
    for replica in context.world.replicas:
        replica.work_s = 0.3
    context.world.run(OTHER_ENDS[cause](context, send_same))


@then("no daemon holds anything")
def step_check_none(context: Context) -> None:
    time.sleep(0.5)  # until reports under way have arrived
    held = [quarantine.n_held for quarantine in list_quarantines(context)]
    assert not any(held), held


@when('callers try the "{kind}" request "{body}" while no server is listed')
def step_try_in_vain(context: Context, kind: str, body: str) -> None:
    world = context.world
    time.sleep(1.0)  # until one may try it

    async def try_in_vain():
        for replica in world.replicas:
            await world.store.remove("servers", replica.id)
        await asyncio.sleep(0.5)
        for daemon in list_daemons(context):
            assert not daemon.table.list_usable("app")
            await send_body(daemon, kind, body)
        for replica in world.replicas:
            await world.put_replica(replica)
        await asyncio.sleep(0.5)

    world.run(try_in_vain())


@when('callers try the "{kind}" request "{body}" while every server does not run it')
def step_try_refused(context: Context, kind: str, body: str) -> None:
    time.sleep(1.0)  # until one may try it

    async def try_refused():
        for replica in context.world.replicas:
            replica.fault = "refuse"
        for daemon in list_daemons(context):
            await send_body(daemon, kind, body)
        assert list_runs(context, body)[-1] > time.monotonic() - 1.0, "not tried"
        for replica in context.world.replicas:
            replica.fault = "none"

    context.world.run(try_refused())


@when('callers try the "{kind}" request "{body}" while the first one does not run it')
def step_try_first(context: Context, kind: str, body: str) -> None:
    time.sleep(1.0)  # until one may try it

    async def try_first():
        real_ids = {replica: replica.id for replica in context.world.replicas}

        for replica in context.world.replicas:
            replica.id = "another"  # answers 421
        n_runs = len(list_runs(context, body))
        sending = [
            asyncio.ensure_future(send_body(daemon, kind, body))
            for daemon in list_daemons(context)
        ]
        while len(list_runs(context, body)) == n_runs:
            await asyncio.sleep(0)
        for replica, real_id in real_ids.items():
            replica.id = real_id
        answers = await asyncio.gather(*sending)
        assert 200 in [answer.status for answer in answers], answers

    context.world.run(try_first())


@when('callers go on with the "{kind}" request "{body}" for {n:d} s')
def step_go_on(context: Context, kind: str, body: str, n: int) -> None:
    work = send_all(context, n, lambda d, text: send_body(d, kind, text), body)
    context.world.run(work, timeout_s=n + 20)


@then("the last of them were answered and no daemon holds anything")
def step_check_released(context: Context) -> None:
    ((_, sent),) = context.answers.items()
    sent.sort(key=lambda pair: pair[0])
    assert all(answer.status == 200 for _, answer in sent[-5:]), sent[-5:]
    step_check_none(context)


@when("{n:d} different requests are on each of three crashes")
def step_invent(context: Context, n: int) -> None:
    daemon = list_daemons(context)[0]
    record = next(iter(daemon.table.records.values()))

    async def crash():
        for _ in range(3):
            broken = _BrokenServer(record=record, broke_at=read_boottime())
            broken.requests += [Suspects((), next(_numbers)) for _ in range(n)]
            daemon.quarantine._record_crash(broken)

    context.world.run(crash())


@then("the daemon keeps at most {n:d} records")
def step_check_records(context: Context, n: int) -> None:
    records = list_daemons(context)[0].quarantine.state.records
    assert len(records) <= n, len(records)


@then('a request on {n:d} crashes {pause:f} s apart is "{state}"')
def step_check_hold(context: Context, n: int, pause: float, state: str) -> None:
    record = PartRecord(
        observations={
            (server, 0): Observation(server * pause, 1, REQUEST_DEPTH)
            for server in range(n)
        }
    )
    last_at = (n - 1) * pause
    hold = find_holds({1: record}, now=last_at).get(1)
    found = "free" if hold is None else f"held for {hold.until - last_at:.0f} s"
    assert found == state, found


@then(
    "of requests on {n:d} crashes with {k:d} sent each and on {m:d} of them with "
    "{j:d} sent each the first is held"
)
def step_check_culprit(context: Context, n: int, k: int, m: int, j: int) -> None:
    def make_record(n_crashes, n_sent):
        return PartRecord(
            observations={
                (server, 0): Observation(server * 5.0, n_sent, REQUEST_DEPTH)
                for server in range(n_crashes)
            }
        )

    records = {1: make_record(n, k), 2: make_record(m, j)}
    held = set(find_holds(records, now=n * 5.0))
    assert held == {1}, held
