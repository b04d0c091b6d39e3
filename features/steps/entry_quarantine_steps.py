"""Steps for prompt parts that crash the servers which answer them."""

import asyncio
import itertools
import time
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_examples
from hypothesis import strategies as st
from steps.entry_steps import (
    connect,
    make_events,
    make_request_line,
    send_request,
    start_world,
)
from steps.entry_version_steps import list_daemons, wait_until
from steps.shared import DETERMINISTIC

import berylpost.fakes.replica as replica_module
import berylpost.policy.quarantine as quarantine_policy
from berylpost.edge.anti_entropy import INTERVAL_S, STARTUP_S
from berylpost.edge.clock import read_boottime
from berylpost.edge.daemon import EdgeDaemon
from berylpost.edge.members import FAN_OUT
from berylpost.edge.model import Endpoint
from berylpost.edge.request_quarantine import RequestQuarantine, _BrokenServer
from berylpost.edge.store_era import StoreEra
from berylpost.fakes.entry_world import API_KEY, HOST
from berylpost.fakes.replica import N_EVENTS, list_shared_parts
from berylpost.hashing import hash_text
from berylpost.policy.quarantine import (
    Observation,
    PartRecord,
    find_hold,
    find_holds,
    merge_record,
)
from berylpost.request_holds import Suspects

STREAM = make_request_line("stream")
RESTART_S = 0.6  # a crashed server is back after this time
PAUSE_S = 0.05  # between two requests with the same parts
PART_TOKENS = 50
WAIT_S = 15.0
_numbers = itertools.count()


def make_prompt_headers(*shared):
    """Renders a prompt of shared parts and a part of its own."""
    parts = [*shared, f"own{next(_numbers):x}"]
    return [
        "X-Berylpost-Prompt-Prefix: " + ",".join(f"{p}:{PART_TOKENS}" for p in parts)
    ]


def make_suspects(*parts):
    """Makes what the daemons know a prompt by, in a request unlike all others."""
    return Suspects(tuple(map(hash_text, parts)), next(_numbers))


def send_prompt(daemon, request_id, *shared, extra_headers=()):
    """Sends a prompt whose text, the body, is unlike all others."""
    headers = [*make_prompt_headers(*shared), *extra_headers]
    body = f"prompt {next(_numbers)}".encode()
    return send_request(daemon, STREAM, request_id, body=body, extra_headers=headers)


def is_whole(answer):
    return answer.complete and answer.body == make_events(N_EVENTS)


def start_crashing(context, n_daemons, n_servers, *parts):
    start_world(context, n_daemons=n_daemons, versions=["v1"] * n_servers)
    world = context.world
    world.restart_crashed(pause_s=RESTART_S)
    context.crashes = []
    context.received = []

    def note_run(replica):
        def record(headers):
            context.received.append((time.monotonic(), dict(headers), replica))

        return record

    for replica in world.replicas:
        replica.crashing_parts = frozenset(parts)
        replica.on_run = note_run(replica)
        restart = replica.on_crash

        def crash(crashed, restart=restart):
            context.crashes.append(time.monotonic())
            restart(crashed)

        replica.on_crash = crash


def list_received(context, part):
    """Lists when servers began to run requests that share a part."""

    class Incoming:
        def __init__(self, headers):
            self.headers = headers

    return [
        at
        for at, headers, _ in context.received
        if part in list_shared_parts(Incoming(headers))
    ]


@given('{n:d} entry daemons and {k:d} servers that crash on the prompt part "{part}"')
def step_start(context: Context, n: int, k: int, part: str) -> None:
    start_crashing(context, n, k, part)


async def send_for(context, seconds, *prompts):
    """Sends prompts with given shared parts at all daemons in turn."""
    context.answers = {shared: [] for shared in prompts}
    ends_at = time.monotonic() + seconds

    async def send(shared):
        tasks = []
        for number in itertools.count():
            if time.monotonic() >= ends_at:
                break
            daemons = list_daemons(context)
            daemon = daemons[number % len(daemons)]
            tasks.append(asyncio.ensure_future(send_one(daemon, number, shared)))
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)

    async def send_one(daemon, number, shared):
        sent_at = time.monotonic()
        answer = await send_prompt(daemon, f"{'-'.join(shared)}-{number}", *shared)
        context.answers[shared].append((sent_at, answer))

    await asyncio.gather(*(send(shared) for shared in prompts))
    context.ended_at = ends_at


@when('callers send prompts with the parts "{first}" and "{second}" for {seconds:d} s')
def step_send(context: Context, first: str, second: str, seconds: int) -> None:
    prompts = [tuple(text.split(",")) for text in (first, second)]
    context.world.run(send_for(context, seconds, *prompts), timeout_s=seconds + 20)


@then(
    'at most {n:d} with the part "{part}" reached servers later than {seconds:d} s '
    "after the fifth crash"
)
def step_check_received(context: Context, n: int, part: str, seconds: int) -> None:
    received = list_received(context, part)
    assert received, "no request with the part reached a server"
    if len(context.crashes) >= 5:
        late = [at for at in received if at > context.crashes[4] + seconds]
        assert len(late) <= n, (len(late), len(context.crashes))


@then('nine in ten with the part "{part}" were answered in the last {seconds:d} s')
def step_check_sound(context: Context, part: str, seconds: int) -> None:
    sent = [
        one
        for shared, of_prompt in context.answers.items()
        if part in shared
        for one in of_prompt
    ]
    check_served(sent, context.ended_at - seconds, is_whole)


def check_served(sent, since, is_served):
    """Checks that nine in ten of the requests sent since a time were served."""
    served = [is_served(answer) for sent_at, answer in sent if sent_at > since]
    assert served and sum(served) >= 0.9 * len(served), (sum(served), len(served))


# States of the running world.


def list_quarantines(context):
    return [daemon.quarantine for daemon in list_daemons(context)]


def is_held(quarantine, part):
    return quarantine.is_held(make_suspects(part))


async def crash_with(context, part, daemons, until):
    """Sends prompts with a part to some daemons until a condition holds."""

    def send(daemon):
        return send_prompt(daemon, f"crash-{next(_numbers)}", "shared", part)

    await send_until(daemons, until, send)


async def send_until(daemons, until, send):
    """Sends requests to some daemons in turn until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        for number in itertools.count():
            if until():
                return
            await send(daemons[number % len(daemons)])
            await asyncio.sleep(PAUSE_S)


@given('the part "{part}" is held everywhere')
def step_hold(context: Context, part: str) -> None:
    quarantines = list_quarantines(context)

    def all_hold():
        return all(is_held(quarantine, part) for quarantine in quarantines)

    async def hold():
        await crash_with(context, part, list_daemons(context), all_hold)
        await asyncio.sleep(RESTART_S + 0.4)  # until all servers are back

    context.world.run(hold())
    context.received.clear()
    context.n_crashes_before = len(context.crashes)


@given("a held part may be tried after {seconds:d} s")
def step_shorten_hold(context: Context, seconds: int) -> None:
    usual = quarantine_policy.FIRST_HOLD_S
    quarantine_policy.FIRST_HOLD_S = float(seconds)
    context.add_cleanup(setattr, quarantine_policy, "FIRST_HOLD_S", usual)


@given("the servers crash {seconds:f} s after they begin to answer")
def step_delay_crash(context: Context, seconds: float) -> None:
    usual = replica_module.CRASH_DELAY_S
    replica_module.CRASH_DELAY_S = seconds
    context.add_cleanup(setattr, replica_module, "CRASH_DELAY_S", usual)


@when('callers send prompts with the parts "{a}", "{b}", "{c}" and take up one stream')
def step_send_held(context: Context, a: str, b: str, c: str) -> None:
    async def send():
        daemons = list_daemons(context)
        answers = []
        for number, text in enumerate((a, b, c)):
            for daemon in daemons:
                attempt = f"held-{number}-{daemon.settings.name}"
                answers.append(await send_prompt(daemon, attempt, *text.split(",")))
        headers = ["Last-Event-Id: 2", "Resumes: held-first"]
        answers.append(
            await send_prompt(daemons[0], "held-up", "x", "bad", extra_headers=headers)
        )
        return answers

    began_at = time.monotonic()
    context.answers = context.world.run(send())
    context.took_s = time.monotonic() - began_at


@then("all are refused as not run with a time to come back, and reach no server")
def step_check_refused(context: Context) -> None:
    for answer in context.answers:
        assert answer.status == 503 and answer.complete, answer
        assert b'"not_run"' in answer.body and b"quarantined" in answer.body, answer
        assert float(answer.headers["retry-after"]) >= 1, answer
    assert not context.received, context.received
    assert context.took_s < 0.1 * len(context.answers), context.took_s


@when('callers send prompts with the parts "{a}", "{b}" and "{c}" and without parts')
def step_send_sound(context: Context, a: str, b: str, c: str) -> None:
    async def send():
        answers = []
        for daemon in list_daemons(context):
            for text in (a, b, c):
                attempt = f"sound-{next(_numbers)}"
                answers.append(await send_prompt(daemon, attempt, *text.split(",")))
            attempt = f"sound-{next(_numbers)}"
            answers.append(await send_request(daemon, STREAM, attempt))
        return answers

    context.answers = context.world.run(send())


@when('a caller sends a prompt with the last part "{part}"')
def step_send_last(context: Context, part: str) -> None:
    for replica in context.world.replicas:
        replica.crashing_parts = frozenset()
    headers = [f"X-Berylpost-Prompt-Prefix: shared:50,{part}:50"]
    context.answers = [
        context.world.run(
            send_request(list_daemons(context)[0], STREAM, "l", extra_headers=headers)
        )
    ]


@then("all of them are answered")
def step_check_answered(context: Context) -> None:
    assert context.answers
    for answer in context.answers:
        assert is_whole(answer), answer


@when(
    'callers send {n:d} prompts with the part "{part}" that may be repeated, '
    "{pause:f} s apart"
)
def step_send_slowly(context: Context, n: int, part: str, pause: float) -> None:
    quarantines = list_quarantines(context)
    work = send_until_held(
        context,
        n,
        pause,
        lambda daemon, number: send_prompt(daemon, f"slow-{number}", "shared", part),
        lambda: all(is_held(quarantine, part) for quarantine in quarantines),
    )
    context.world.run(work)


async def send_until_held(context, n, pause, send, all_hold):
    """Sends requests at all daemons in turn; notes when all of them hold back."""

    async def note_hold():
        while not all_hold():
            await asyncio.sleep(0.001)
        context.held_at = time.monotonic()

    daemons = list_daemons(context)
    tasks = [asyncio.ensure_future(asyncio.wait_for(note_hold(), WAIT_S))]
    for number in range(n):
        sent = send(daemons[number % len(daemons)], number)
        tasks.append(asyncio.ensure_future(sent))
        await asyncio.sleep(pause)
    await asyncio.gather(*tasks)


@then(
    'no attempt reaches a server once the part "{part}" is held, nor a second one of '
    "some"
)
def step_check_attempts(context: Context, part: str) -> None:
    late = [at for at in list_received(context, part) if at > context.held_at]
    assert not late, (late, context.held_at)
    attempts = Counter(
        headers["x-berylpost-attempt-id"] for _, headers, _ in context.received
    )
    assert set(attempts.values()) == {1, 2}, attempts


@when('the part "{part}" becomes held while a request with it waits for a connection')
def step_hold_while_waiting(context: Context, part: str) -> None:
    daemon = list_daemons(context)[0]

    async def send():
        for record in daemon.table.records.values():
            acquire = record.pool.acquire

            async def hold_and_acquire(acquire=acquire, **options):
                for at in (1.0, 2.0, 3.0):
                    broken = _BrokenServer(
                        record=SimpleNamespace(
                            backend=SimpleNamespace(id=f"gone-{at}", started_ms=0)
                        ),
                        broke_at=read_boottime() - at,
                        requests=[make_suspects("shared", part)],
                    )
                    daemon.quarantine._record_crash(broken)
                return await acquire(**options)

            record.pool.acquire = hold_and_acquire
        return [await send_prompt(daemon, "waiting", "shared", part)]

    began_at = time.monotonic()
    context.answers = context.world.run(send())
    context.took_s = time.monotonic() - began_at


@when("another daemon starts")
def step_start_another(context: Context) -> None:
    number = len(context.world.daemons)
    context.daemon = context.world.run(context.world.start_daemon(number))
    context.since = time.monotonic()


@then('it holds the part "{part}" within {seconds:g} s')
@then('it holds the part "{part}" within {seconds:g} s after it receives again')
def step_check_learned(context: Context, part: str, seconds: float) -> None:
    wait_until(lambda: is_held(context.daemon.quarantine, part), seconds)


@when('another daemon starts and gets prompts with the part "{part}" at once')
def step_start_under_load(context: Context, part: str) -> None:
    world = context.world

    async def start_and_send():
        daemon = EdgeDaemon(settings=world.make_settings(9), log_stream=None)
        world.daemons[daemon.settings.name] = daemon
        hold_store = daemon.quarantine._hold_store
        read = hold_store._read

        async def read_late(store):
            await asyncio.sleep(0.15)
            await read(store)

        hold_store._read = read_late
        await daemon.start()
        while daemon.catalogue.configuration is None or not daemon.table.records:
            await asyncio.sleep(0.0005)
        sent = [send_prompt(daemon, f"new-{n}", "shared", part) for n in range(6)]
        return await asyncio.gather(*sent)

    began_at = time.monotonic()
    context.answers = world.run(start_and_send())
    context.took_s = time.monotonic() - began_at - 0.5


@when("the daemons are stopped and started one after the other")
def step_restart_daemons(context: Context) -> None:
    world = context.world
    kinds = world.store.kinds
    wait_until(lambda: bool(kinds.get("berylpost-holds")), 3.0)
    context.was_missing = False

    async def watch():
        while True:
            context.was_missing |= not kinds.get("berylpost-holds")
            await asyncio.sleep(0.002)

    async def restart():
        watcher = asyncio.ensure_future(watch())
        for number in range(3):
            world.daemons.pop(f"entry-{number}").kill()
            await asyncio.sleep(2.0)  # until the others count it as lost
            await world.start_daemon(number)
            await asyncio.sleep(1.5)
        watcher.cancel()

    world.run(restart())


@then("the store kept the held part all the time")
def step_check_kept(context: Context) -> None:
    assert not context.was_missing


@when("all daemons are killed and one starts")
def step_kill_all(context: Context) -> None:
    world = context.world

    def is_stored():
        return bool(world.store.kinds.get("berylpost-holds"))

    wait_until(is_stored, 3.0)

    async def restart():
        for name in list(world.daemons):
            world.daemons.pop(name).kill()
        await world.store.put("berylpost-holds", "not-a-hash", {"crashes": 1})
        return await world.start_daemon(0)

    context.daemon = world.run(restart())


@then("the store keeps no held part")
def step_check_store(context: Context) -> None:
    kinds = context.world.store.kinds
    wait_until(lambda: not kinds.get("berylpost-holds"), 3.0)


@when(
    'the last daemon receives nothing while the part "{part}" becomes held at the '
    "others"
)
def step_deafen(context: Context, part: str) -> None:
    *others, deaf = list_daemons(context)
    cut_links(context, [deaf], others)

    def others_hold():
        return all(is_held(daemon.quarantine, part) for daemon in others)

    context.world.run(crash_with(context, part, others, others_hold))
    assert not deaf.quarantine.n_held
    heal_links(context)
    context.daemon = deaf


def cut_links(context, first, second):
    """Drops all datagrams between two groups of daemons."""
    context.receivers = []
    for own, others in ((first, second), (second, first)):
        cut = {daemon.settings.peer.ip for daemon in others}
        for daemon in own:
            protocol = daemon.members._transport.get_protocol()
            receive = protocol._receive
            context.receivers.append((protocol, receive))

            def filtered(data, address, *, receive=receive, cut=cut):
                if address[0] not in cut:
                    receive(data, address)

            protocol._receive = filtered


def heal_links(context):
    for protocol, receive in context.receivers:
        protocol._receive = receive


@when('the last daemon hears from no other and callers send it the part "{part}"')
def step_isolate(context: Context, part: str) -> None:
    *others, alone = list_daemons(context)
    cut_links(context, [alone], others)

    async def send():
        # It finds that it is alone.
        async with asyncio.timeout(WAIT_S):
            while alone.members.list_alive():
                await asyncio.sleep(0.1)
        await crash_with(
            context, part, [alone], lambda: is_held(alone.quarantine, part)
        )

    context.world.run(send())
    context.alone = alone


@then('at most {n:d} servers crashed and only that daemon holds the part "{part}"')
def step_check_alone(context: Context, n: int, part: str) -> None:
    assert len(context.crashes) <= n, context.crashes
    for daemon in list_daemons(context):
        held = is_held(daemon.quarantine, part)
        assert held == (daemon is context.alone), daemon.settings.name


@when(
    "two halves of the daemons are cut from each other and one half holds the part "
    '"{part}"'
)
def step_cut_halves(context: Context, part: str) -> None:
    daemons = list_daemons(context)
    first, second = daemons[::2], daemons[1::2]
    cut_links(context, first, second)

    def first_holds():
        return all(is_held(daemon.quarantine, part) for daemon in first)

    context.world.run(crash_with(context, part, first, first_holds))
    assert not any(daemon.quarantine.n_held for daemon in second)
    heal_links(context)
    context.second = second


@then('the other half holds the part "{part}" within {seconds:g} s after the cut')
def step_check_halves(context: Context, part: str, seconds: float) -> None:
    wait_until(
        lambda: all(is_held(d.quarantine, part) for d in context.second), seconds
    )


# Servers that end for another reason.


async def send_sound(context, n):
    """Sends sound prompts with a rare part of their own at all daemons."""
    daemons = list_daemons(context)
    sent = [
        send_prompt(daemons[k % len(daemons)], f"s-{next(_numbers)}", "shared", "rare")
        for k in range(n)
    ]
    return await asyncio.gather(*sent)


async def break_answers(context, send):
    for replica in context.world.replicas:
        replica.fault = "cut"
    for _ in range(6):
        await send(context, 4)


async def break_busy(context, send):
    for replica in context.world.replicas:

        def begin(_headers, replica=replica):
            replica.resets_new = True

        replica.fault = "cut"
        replica.on_run = begin
    for _ in range(6):
        for replica in context.world.replicas:
            replica.resets_new = False
        await send(context, 4)
        await asyncio.sleep(0.3)  # until the daemons have asked the servers


async def end_leaving(context, send):
    world = context.world
    for replica in world.replicas[:3]:
        task = asyncio.ensure_future(send(context, 8))
        await asyncio.sleep(0.1)
        await world.put_replica(replica, State="draining")
        await asyncio.sleep(0.1)
        await replica.stop()
        await task
        await asyncio.sleep(0.3)


async def end_together(context, send):
    task = asyncio.ensure_future(send(context, 12))
    await asyncio.sleep(0.12)
    for replica in context.world.replicas:
        await replica.stop()
    await task


async def end_in_turn(context, send):
    for replica in context.world.replicas[:3]:
        task = asyncio.ensure_future(send(context, 12))
        await asyncio.sleep(0.12)
        await replica.stop()
        await task
        await asyncio.sleep(0.4)


OTHER_ENDS = {
    "servers break answers off without ending": break_answers,
    "servers break answers off and reset new connections": break_busy,
    "servers end that were to leave": end_leaving,
    "all servers end at the same moment": end_together,
    "servers end one by one while others complete their parts": end_in_turn,
}


@when("servers {end}")
def step_end_servers(context: Context, end: str) -> None:
    context.world.run(OTHER_ENDS[f"servers {end}"](context, send_sound))


@when("all servers end at the same moment")
def step_end_all(context: Context) -> None:
    context.world.run(end_together(context, send_sound))


@then("no daemon holds any part")
def step_check_none(context: Context) -> None:
    time.sleep(0.5)  # until reports under way have arrived
    held = [quarantine.n_held for quarantine in list_quarantines(context)]
    assert not any(held), held


# The end of a hold.


@when(
    'the servers no longer crash and callers go on with the part "{part}" for {n:d} s'
)
def step_recover(context: Context, part: str, n: int) -> None:
    for replica in context.world.replicas:
        replica.crashing_parts = frozenset()
    context.world.run(send_for(context, n, ("shared", part)), timeout_s=n + 20)


@then('the last prompts with the part "{part}" were answered')
def step_check_last(context: Context, part: str) -> None:
    ((_, sent),) = context.answers.items()
    sent.sort(key=lambda pair: pair[0])
    assert all(is_whole(answer) for _, answer in sent[-5:]), sent[-5:]


@when('callers go on with the part "{part}" for {n:d} s')
def step_go_on(context: Context, part: str, n: int) -> None:
    context.world.run(send_for(context, n, ("shared", part)), timeout_s=n + 20)


@then("at most {n:d} more server crashed")
def step_check_trials(context: Context, n: int) -> None:
    assert len(context.crashes) - context.n_crashes_before <= n, context.crashes


# Bad values, memory and bytes.


@when('a caller sends the prompt parts "{value}"')
def step_send_malformed(context: Context, value: str) -> None:
    long_values = {
        "300 parts": ",".join(f"p{number}:1" for number in range(300)),
        "5000 digits": f"a:{'9' * 5_000},b:1",
    }
    value = long_values.get(value, value)
    daemon = list_daemons(context)[0]

    async def send():
        caller = await connect(daemon)
        head = f"{STREAM} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {API_KEY}"
        head += f"\r\nX-Berylpost-Prompt-Prefix: {value}\r\nContent-Length: 0\r\n\r\n"
        caller.writer.write(head.encode("latin-1"))
        return await caller.read()

    context.answers = [context.world.run(send())]


@then("it is answered and no daemon holds any part")
def step_check_malformed(context: Context) -> None:
    step_check_answered(context)
    step_check_none(context)


@when("a server crashes under {n:d} requests with {k:d} invented parts each")
def step_invent(context: Context, n: int, k: int) -> None:
    daemon = list_daemons(context)[0]
    context.quarantine = daemon.quarantine
    record = next(iter(daemon.table.records.values()))

    async def crash():
        for _ in range(3):
            broken = _BrokenServer(record=record, broke_at=read_boottime())
            broken.requests += [
                make_suspects(*(f"{next(_numbers):x}" for _ in range(k)))
                for _ in range(n)
            ]
            daemon.quarantine._record_crash(broken)

    context.world.run(crash())


@then('the daemon still holds the part "{part}" and keeps at most {n:d} records')
def step_check_memory(context: Context, part: str, n: int) -> None:
    assert is_held(context.quarantine, part)
    assert len(context.quarantine.state.records) <= n, len(
        context.quarantine.state.records
    )


@then("a daemon that holds {n:d} parts sends at most {limit:d} bytes a second for them")
def step_check_bytes(context: Context, n: int, limit: int) -> None:
    sent = []
    others = [
        SimpleNamespace(name=f"d-{k}", address=Endpoint("ip", k), leaving=False)
        for k in range(1_099)
    ]
    members = SimpleNamespace(
        active=True,
        bind_messages=lambda *_: None,
        list_alive=lambda: others,
        list_reachable=lambda: others,
        send_message=lambda _address, data, mark: sent.append(len(data) + len(mark)),
    )
    records = {}
    quarantine = RequestQuarantine(
        era=StoreEra(),
        name="d",
        store=Endpoint("127.0.0.1", 1),
        members=members,
        table=SimpleNamespace(records={}),
    )
    now = read_boottime()
    for part in range(n):
        records[part] = PartRecord(
            observations={
                (5 * part + k, k): Observation(now - k, 1, 1) for k in range(5)
            }
        )
    quarantine.state.records.update(records)
    quarantine.state.decide("test")
    assert quarantine.n_held == n
    n_told = len(sent)
    assert n_told <= 2 * FAN_OUT, n_told  # each change goes to a few daemons at once
    sent.clear()
    quarantine._hold_store.run = lambda: asyncio.sleep(0)

    async def pull():
        quarantine.start()
        await asyncio.sleep(STARTUP_S + 3 * INTERVAL_S)
        quarantine.stop()

    asyncio.run(pull())
    assert sum(sent) <= limit * (STARTUP_S + 3 * INTERVAL_S), sum(sent)


# The decision.


def make_record(times, *, answered_at=float("-inf"), n_requests=1, depth=1):
    return PartRecord(
        observations={
            (number, 0): Observation(at, n_requests, depth)
            for number, at in enumerate(times)
        },
        answered_at=answered_at,
    )


ANSWERED_AT = {
    "never": lambda _first, _last: float("-inf"),
    "10 s before the first": lambda first, _last: first - 10,
    "40 s before the first": lambda first, _last: first - 40,
    "1 s after the last": lambda _first, last: last + 1,
}


@when("a part was on {n:d} crashes 1 s apart and was answered {answered}")
def step_decide(context: Context, n: int, answered: str) -> None:
    times = [100.0 + number for number in range(n)]
    answered_at = ANSWERED_AT[answered](times[0], times[-1])
    record = make_record(times, answered_at=answered_at)
    context.holds = find_holds({1: record}, now=times[-1] + 2)


@then("it is {state}")
def step_check_state(context: Context, state: str) -> None:
    assert bool(context.holds) == (state == "held"), context.holds


@then("the holds after 3 to 9 crashes are {texts} s")
def step_check_holds(context: Context, texts: str) -> None:
    expected = [float(text) for text in texts.replace(" and", ",").split(", ")]
    assert [find_hold(n, 0.0).until for n in range(3, 10)] == expected


@given(
    'records of crashes with one request of "bad" beside some of "shared" and "good"'
)
def step_make_records(context: Context) -> None:
    times = [100.0, 101.0, 102.0, 103.0]
    context.records = {
        1: make_record(times),
        2: make_record(times, n_requests=4, depth=0),
        3: make_record(times[:3], n_requests=2),
    }


@then('only "bad" is held')
def step_check_culprit(context: Context) -> None:
    assert set(find_holds(context.records, now=104.0)) == {1}


@then("generated records merged in any order give the same holds")
def step_check_order(context: Context) -> None:
    observations = st.dictionaries(
        st.tuples(st.integers(0, 5), st.integers(0, 2)),
        st.builds(
            Observation,
            st.floats(100, 110),
            st.integers(1, 3),
            st.integers(0, 2),
        ),
        max_size=8,
    )
    answers = st.sampled_from([float("-inf"), 60.0, 75.0, 105.0])
    copies = st.lists(st.tuples(observations, answers), min_size=1, max_size=4)

    @DETERMINISTIC
    @given_examples(copies, st.randoms(use_true_random=False))
    def check(parts, random_state):
        def merge(order):
            merged = PartRecord()
            for seen, answered_at in order:
                merge_record(
                    merged,
                    PartRecord(observations=dict(seen), answered_at=answered_at),
                )
            return merged

        # One daemon's report of a server is one fact: the copies agree on it.
        facts = {}
        for seen, _ in parts:
            for key in seen:
                seen[key] = facts.setdefault(key, seen[key])
        shuffled = list(parts)
        random_state.shuffle(shuffled)
        one, other = merge(parts), merge([*shuffled, *parts])
        holds = [find_holds({1: record}, now=112.0) for record in (one, other)]
        assert holds[0] == holds[1], holds

    check()


@then("{n:d} parts with {k:d} crashes each are decided within {seconds:g} s")
def step_check_decision_time(context: Context, n: int, k: int, seconds: float) -> None:
    records = {
        part: PartRecord(
            observations={
                (part * k + number, 0): Observation(100.0 + number, 1, 1)
                for number in range(k)
            }
        )
        for part in range(n)
    }
    began_at = time.process_time()
    holds = find_holds(records, now=100.0 + k)
    took_s = time.process_time() - began_at
    assert holds and took_s < seconds, took_s
