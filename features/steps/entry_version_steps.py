"""Steps for backend servers of several software versions."""

import asyncio
import re
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_steps import (
    connect,
    make_events,
    make_request_line,
    send_request,
    start_world,
)

from berylpost.edge.stream_origins import MAX_CONFIRMATION_AGE_S
from berylpost.fakes.replica import N_EVENTS, Replica

# A refusal that needs no other daemon's answer, and one that waits for it in vain.
AT_ONCE_S = 0.5
STREAM = make_request_line("stream")


def join_events(*bodies):
    """Joins the events of a stream; fails if they are of two versions."""
    body = b"".join(bodies)
    marks = set(re.findall(rb"data: w\d+(@?\w*)\n", body))
    assert len(marks) <= 1, body
    for mark in marks - {b""}:
        body = body.replace(mark, b"")
    return body


def list_daemons(context):
    return list(context.world.daemons.values())


def list_versions(context, *ids):
    """Lists the versions of the servers that ran one of the attempts."""
    return sorted(
        {
            replica.version
            for replica in context.world.replicas
            for attempt in ids
            if replica.runs[attempt]
        }
    )


def wait_until(check, seconds=5.0):
    deadline = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < deadline, "not within the time"
        time.sleep(0.02)


@given("{n:d} entry daemons and servers of the versions {versions}")
def step_start(context: Context, n: int, versions: str) -> None:
    start_world(context, n_daemons=n, versions=versions.split(","))
    context.lost = []


@given("the servers of version {version} break off every other stream")
def step_cut_other(context: Context, version: str) -> None:
    replicas = [r for r in context.world.replicas if r.version == version]
    replicas[0].fault = "cut"


@given("the servers of version {version} break off every stream")
def step_cut_all(context: Context, version: str) -> None:
    for replica in context.world.replicas:
        if replica.version == version:
            replica.fault = "cut"


@when("callers send {n:d} streams")
def step_send(context: Context, n: int) -> None:
    daemon = list_daemons(context)[0]

    # A few at a time: a daemon that has just started has a small retry budget.
    async def send_all():
        answers = []
        for start in range(0, n, 4):
            ids = [f"id-{number}" for number in range(start, start + 4)]
            sent = [send_request(daemon, STREAM, attempt) for attempt in ids]
            answers += await asyncio.gather(*sent)
        return answers

    context.answers = dict(enumerate(context.world.run(send_all())))
    cut = [r for r in context.world.replicas if r.fault == "cut"]
    assert any(replica.runs for replica in cut), "no stream was broken off"


@then("every answer is whole and no stream ran at two versions")
def step_check_whole(context: Context) -> None:
    for number, answer in context.answers.items():
        versions = list_versions(context, f"id-{number}")
        assert len(versions) == 1, (number, versions)
        whole = join_events(answer.body) == make_events(N_EVENTS)
        assert answer.complete and whole, answer


@then("the streams of version v1 are cut and no stream ran at two versions")
def step_check_cut(context: Context) -> None:
    for number, answer in context.answers.items():
        versions = list_versions(context, f"id-{number}")
        assert len(versions) == 1, (number, versions)
        assert answer.complete == (versions == ["v2"]), (versions, answer)


@when("a stream runs at version v1 and its server announces that it leaves in {s:f} s")
def step_move(context: Context, s: float) -> None:
    world = context.world

    async def send() -> None:
        daemon = list_daemons(context)[0]
        for number in range(20):
            caller = await connect(daemon)
            caller.send(STREAM, f"id-{number}")
            await asyncio.sleep(0.08)
            runs = next(r for r in world.replicas if r.runs[f"id-{number}"])
            if runs.version == "v1":
                await world.put_replica(
                    runs, State="draining", Spot=True, leaves_ms=s * 1_000
                )
                context.answer = await caller.read()
                context.attempt, context.first = f"id-{number}", runs
                return
            caller.close()
        raise AssertionError("no stream ran at version v1")

    world.run(send())


@then(
    "it is whole, and {n:d} other server of version v1 and none of v2 went on with it"
)
def step_check_moved(context: Context, n: int) -> None:
    others = [r for r in context.world.replicas if r is not context.first]
    went_on = [r.version for r in others if r.runs[context.attempt]]
    assert went_on == ["v1"] * n, went_on
    assert context.answer.complete, context.answer
    assert context.answer.body == make_events(N_EVENTS), context.answer


async def lose_stream(daemon, attempt):
    """Begins a stream and closes the connection; returns the events received."""
    caller = await connect(daemon)
    caller.send(STREAM, attempt)
    while caller.answers[0].body.count(b"\n\n") < 2:
        data = await asyncio.wait_for(caller.reader.read(65_536), 5.0)
        assert data, caller.answers
        caller.parser.feed_data(data)
    body = caller.answers[0].body
    caller.close()
    return body[: body.rindex(b"\n\n") + 2]


async def lose_streams(context, n):
    daemon = list_daemons(context)[0]
    received = await asyncio.gather(
        *(lose_stream(daemon, f"first-{number}") for number in range(n))
    )
    context.lost = list(received)
    await asyncio.sleep(0.1)  # until the daemons' messages have arrived


async def take_up_streams(context, daemon):
    """Takes up all lost streams; stores the answers."""

    async def take_up(number, body):
        headers = [
            f"Last-Event-Id: {body.count(b'id: ')}",
            f"Resumes: first-{number}",
        ]
        return await send_request(
            daemon, STREAM, f"second-{number}", extra_headers=headers
        )

    context.answers = await asyncio.gather(
        *(take_up(number, body) for number, body in enumerate(context.lost))
    )


async def kill_first(context):
    name, daemon = next(iter(context.world.daemons.items()))
    daemon.kill()
    del context.world.daemons[name]


@when(
    "{n:d} callers lose their streams at the first daemon and take them up at {place}"
)
def step_take_up(context: Context, n: int, place: str) -> None:
    async def lose_and_take_up() -> None:
        daemons = list_daemons(context)
        await lose_streams(context, n)
        if place.endswith("dead"):
            await kill_first(context)
        await take_up_streams(context, daemons["another" in place])

    context.world.run(lose_and_take_up())


def is_continued(body, answer):
    return answer.complete and join_events(body, answer.body) == make_events(N_EVENTS)


@then("every stream is whole and no stream ran at two versions")
def step_check_taken_up(context: Context) -> None:
    for number, body in enumerate(context.lost):
        answer = context.answers[number]
        versions = list_versions(context, f"first-{number}", f"second-{number}")
        assert len(versions) == 1, (number, versions)
        assert is_continued(body, answer), (number, answer)


async def add_version(context, version):
    """Starts a server of another version, in the place of a new VM."""
    world = context.world
    last = world.replicas[-1]
    network, _, number = last.ip.rpartition(".")
    replica = Replica(
        id=f"r-{number}",
        ip=f"{network}.{int(number) + 1}",
        port=last.port,
        version=version,
    )
    world.replicas.append(replica)
    await replica.start()
    await world.put_replica(replica)
    return replica


@when(
    "{n:d} callers lose their streams and a server of version v2 starts before the "
    "first daemon dies"
)
def step_add_version(context: Context, n: int) -> None:
    async def lose_and_take_up() -> None:
        await lose_streams(context, n)
        replica = await add_version(context, "v2")
        async with asyncio.timeout(5.0):
            while any(
                replica.id not in daemon.table.records
                for daemon in list_daemons(context)
            ):
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        await kill_first(context)
        await take_up_streams(context, list_daemons(context)[0])

    context.world.run(lose_and_take_up())


@then("the streams are whole and ran at version v1 only")
def step_check_old(context: Context) -> None:
    step_check_taken_up(context)
    for number, _ in enumerate(context.lost):
        versions = list_versions(context, f"second-{number}")
        assert versions == ["v1"], versions


@when(
    "{n:d} callers lose their streams and the servers of version v1 leave before they "
    "take them up"
)
def step_leave(context: Context, n: int) -> None:
    async def lose_and_take_up() -> None:
        await lose_streams(context, n)
        for replica in context.world.replicas:
            if replica.version == "v1":
                await context.world.put_replica(replica, State="draining")
        await asyncio.sleep(0.5)
        await take_up_streams(context, list_daemons(context)[1])

    context.world.run(lose_and_take_up())


@then("the streams of version v1 are refused as not run and the others are whole")
def step_check_refused(context: Context) -> None:
    began = set()
    for number, body in enumerate(context.lost):
        answer = context.answers[number]
        (version,) = list_versions(context, f"first-{number}")
        began.add(version)
        if version == "v1":
            assert answer.status == 503, (number, answer)
            assert not list_versions(context, f"second-{number}"), number
        else:
            assert is_continued(body, answer), (number, answer)
    assert began == {"v1", "v2"}, began


def take_up_unknown(context, daemon, *, names_attempt):
    headers = ["Last-Event-Id: 2"]
    if names_attempt:
        headers.append("Resumes: unknown")
    began_at = time.monotonic()
    context.answer = context.world.run(
        send_request(daemon, STREAM, "second-0", extra_headers=headers)
    )
    context.took_s = time.monotonic() - began_at


@when("a caller takes up a stream that {origin}")
def step_take_up_unknown(context: Context, origin: str) -> None:
    daemon = list_daemons(context)[0]
    take_up_unknown(context, daemon, names_attempt=origin == "no daemon knows")


@then("it is {outcome} at once")
def step_check_outcome(context: Context, outcome: str) -> None:
    runs = list_versions(context, "second-0")
    if outcome == "refused":
        assert context.answer.status == 503 and not runs, (context.answer, runs)
        assert context.took_s < AT_ONCE_S, context.took_s
    else:
        assert context.answer.complete and runs == ["v1"], (context.answer, runs)


@when("the second daemon hears from no other while a server of version v2 starts")
def step_isolate(context: Context) -> None:
    async def isolate() -> None:
        daemon = list_daemons(context)[1]
        daemon.watch.stop()
        daemon.members.stop()
        await add_version(context, "v2")
        await asyncio.sleep(MAX_CONFIRMATION_AGE_S + 0.5)

    context.world.run(isolate())


@when("a caller takes up a stream at the second daemon")
def step_take_up_isolated(context: Context) -> None:
    take_up_unknown(context, list_daemons(context)[1], names_attempt=True)
