"""Steps for backend servers of several software versions."""

import asyncio
import re
import time

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st
from steps.entry_steps import (
    connect,
    make_events,
    make_request_line,
    send_request,
    start_world,
)
from steps.shared import DETERMINISTIC

from berylpost.edge.stream_origins import MAX_CONFIRMATION_AGE_S
from berylpost.fakes.entry_world import make_configuration
from berylpost.fakes.links import LinkFault
from berylpost.fakes.replica import N_EVENTS, Replica
from berylpost.platform import names
from berylpost.policy.paths import UNREACHED_S
from berylpost.policy.stream_version import merge_versions

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


async def kill_daemons(context, names):
    for name in names:
        context.world.daemons.pop(name).kill()
    await asyncio.sleep(0.1)  # until the sockets are closed


async def restart_daemons(context, names):
    numbers = [int(name.removeprefix("entry-")) for name in names]
    await asyncio.gather(*(context.world.start_daemon(n) for n in numbers))


@when("{n:d} callers lose their streams and {killed} daemons are killed")
def step_kill_daemons(context: Context, n: int, killed: str) -> None:
    async def lose_and_kill() -> None:
        world = context.world
        context.copy = world.store.take_copy()
        await lose_streams(context, n)
        await asyncio.sleep(1.5)  # until the daemons have written their tables
        daemons = list(world.daemons)
        if killed == "each of":
            for name in daemons:
                await kill_daemons(context, [name])
                await restart_daemons(context, [name])
            daemons = []
        context.killed = daemons[: 2 if killed == "2" else len(daemons)]
        await kill_daemons(context, context.killed)

    context.world.run(lose_and_kill())


async def remove_servers(context, version):
    for replica in context.world.replicas:
        if replica.version == version:
            await context.world.store.remove("servers", replica.id)
            await replica.stop()


async def restore_store(context):
    world = context.world
    await world.store.restore(context.copy)
    for replica in world.replicas:
        await world.put_replica(replica, Seq=2)


CHANGES = {
    "nothing changes": (),
    "the store's history is compacted": ("compact",),
    "the servers of v1 leave": ("leave",),
    "the servers of v1 leave and v2 comes": ("leave", "come"),
    "v2 comes": ("come",),
    "the store comes back from a copy": ("restore",),
}


@when("meanwhile {change}")
def step_change(context: Context, change: str) -> None:
    async def compact() -> None:
        context.world.store.compact_history()

    make_change = {
        "compact": compact,
        "leave": lambda: remove_servers(context, "v1"),
        "come": lambda: add_version(context, "v2"),
        "restore": lambda: restore_store(context),
    }
    for name in CHANGES[change]:
        context.world.run(make_change[name]())


@when("the callers take their streams up after the daemons have started again")
def step_take_up_after_start(context: Context) -> None:
    async def start_and_take_up() -> None:
        await restart_daemons(context, context.killed)
        await take_up_streams(context, list_daemons(context)[-1])

    context.world.run(start_and_take_up())


@then("no stream ran at two versions, and those of {whole} are whole")
def step_check_after_start(context: Context, whole: str) -> None:
    n_whole = {}
    for number, body in enumerate(context.lost):
        answer = context.answers[number]
        versions = list_versions(context, f"first-{number}", f"second-{number}")
        assert len(versions) == 1, (number, versions)
        assert answer.status == 503 or is_continued(body, answer), (number, answer)
        counts = n_whole.setdefault(versions[0], [])
        counts.append(answer.status == 200)
    for version, counts in n_whole.items():
        expected = whole in ("both", version)
        assert all(counts) if expected else not any(counts), (version, counts)


@when("a server of version v2 starts, which the store forgets when all daemons die")
def step_forget_version(context: Context) -> None:
    async def forget() -> None:
        world = context.world
        # Streams may live for longer than the daemons take to start.
        configuration = make_configuration(2)
        for route in configuration["Routes"]:
            route["TimeoutMs"] = 10_000
        await world.put_configuration(configuration)
        await asyncio.sleep(1.5)  # until the daemons have written what they know
        copied = world.store.take_copy()
        await add_version(context, "v2")
        await asyncio.sleep(0.5)
        daemons = list(world.daemons)
        await kill_daemons(context, daemons)
        await remove_servers(context, "v2")
        await world.store.restore(copied)
        await restart_daemons(context, daemons)

    context.world.run(forget())


@then("a stream of unknown origin is refused")
def step_check_unknown(context: Context) -> None:
    take_up_unknown(context, list_daemons(context)[0], names_attempt=True)
    assert context.answer.status == 503, context.answer
    assert not list_versions(context, "second-0")


# Which versions serve, and how many seconds pass until the next change.
RELEASES = st.lists(
    st.tuples(
        st.sets(st.sampled_from(["v1", "v2", "v3"]), max_size=2), st.integers(1, 40)
    ),
    min_size=1,
    max_size=12,
)


@then("for {n:d} drawn releases no stored version is dropped before its time")
def step_check_merges(context: Context, n: int) -> None:
    keep_s = 30.0

    @settings(DETERMINISTIC, max_examples=n)
    @draw(RELEASES)
    def check(releases):
        stored, now, served_at = {}, 1e9, {}
        for versions, pause_s in releases:
            served_at.update(dict.fromkeys(versions, now))
            listed = {"app": sorted(versions)} if versions else {}
            stored = merge_versions(stored, listed, now=now, keep_s=keep_s)
            kept = stored.get("app", {})
            assert all(not kept[version] for version in versions), stored
            for version, at in served_at.items():
                assert version in kept or now - at > keep_s, (version, stored)
            now += pause_s
            served_at.update(dict.fromkeys(versions, now))

    check()


@when("{n:d} callers lose their streams at a daemon that falls silent before v2 comes")
def step_fall_silent(context: Context, n: int) -> None:
    async def lose_and_take_up() -> None:
        await lose_streams(context, n)
        await asyncio.sleep(0.5)
        silent, *others = list_daemons(context)
        silent.members.stop()
        await asyncio.sleep(0.5)
        await add_version(context, "v2")
        await asyncio.sleep(1.5)
        await take_up_streams(context, others[-1])

    context.world.run(lose_and_take_up())


async def restart_server(replica, version):
    """Starts a killed server at its address under its id; its entry stays."""
    replica.version = version
    replica.fault = "none"
    await replica.start()


async def send_to(replica, daemon, prefix="first"):
    """Sends streams until a server runs one; returns its caller and attempt."""
    for number in range(20):
        caller = await connect(daemon)
        caller.send(STREAM, f"{prefix}-{number}")
        await asyncio.sleep(0.1)
        if replica.runs[f"{prefix}-{number}"]:
            return caller, f"{prefix}-{number}"
        caller.close()
    raise AssertionError(f"no stream ran at {replica.id}")


async def take_up_stream(context):
    n_events = context.received.count(b"\n\n")
    headers = [f"Last-Event-Id: {n_events}", f"Resumes: {context.attempt}"]
    context.answer = await send_request(
        list_daemons(context)[0], STREAM, "second-0", extra_headers=headers
    )


@when("a stream's server is killed and comes back as v3, but its entry says v1")
def step_kill_server(context: Context) -> None:
    async def lose() -> None:
        replica = context.world.replicas[0]
        caller, context.attempt = await send_to(replica, list_daemons(context)[0])
        replica.end_process()
        answer = await caller.read()
        context.received = answer.body
        assert answer.status == 200 and not answer.complete, answer
        await asyncio.sleep(0.1)
        await restart_server(replica, "v3")

    context.world.run(lose())


@when(
    "a stream's server is killed and comes back as v3 at a daemon that it was cut off "
    "from"
)
def step_kill_cut_server(context: Context) -> None:
    world = context.world

    async def lose() -> None:
        replica = world.replicas[0]
        daemon = list_daemons(context)[0]
        caller, context.attempt = await send_to(replica, daemon)
        world.loop.cut(daemon.settings.name, replica.ip, LinkFault.HANG)
        replica.end_process()
        # Held by the link until the daemon gives the stream up.
        answer = await caller.read()
        context.received = answer.body
        await asyncio.gather(
            *(send_request(daemon, STREAM, f"more-{number}") for number in range(8))
        )
        await restart_server(replica, "v3")
        await asyncio.sleep(UNREACHED_S)  # until other daemons are asked again
        await take_up_stream(context)

    world.run(lose())


@when("the caller takes the stream up while the entry says v1")
def step_take_up_early(context: Context) -> None:
    context.world.run(take_up_stream(context))


@then("no stream of the caller ran at two versions")
def step_check_one_version(context: Context) -> None:
    assert not list_versions(context, "second-0"), context.answer
    assert context.answer.status == 503, context.answer


@when("a stream is lost at a server that resets new connections, then {then}")
def step_reset_new(context: Context, then: str) -> None:
    world = context.world
    replica = world.replicas[0]
    daemon = list_daemons(context)[0]

    async def send_many(prefix, n):
        names_ = (f"{prefix}-{number}" for number in range(n))
        await asyncio.gather(*(send_request(daemon, STREAM, name) for name in names_))

    async def restart() -> None:
        replica.end_process()
        replica.resets_new = False
        await restart_server(replica, "v3")

    async def take_new() -> None:
        replica.resets_new = False

    async def stay() -> None:
        pass

    async def replace() -> None:
        replica.stop_listening()
        await send_many("again", 8)
        address = {"id": replica.id, "ip": replica.ip, "port": replica.port}
        world.replicas.append(Replica(version="v3", **address))
        await world.replicas[-1].start()

    # Whether other streams run there meanwhile, and what happens then.
    runs, change = {
        "has kept ones without a request": (False, stay),
        "takes new ones while streams run": (True, take_new),
        "stops listening and v3 takes its address": (True, replace),
        "is killed and comes back as v3": (False, restart),
        "is killed amid streams and comes back as v3": (True, restart),
    }[then]

    async def lose() -> None:
        caller, context.attempt = await send_to(replica, daemon)
        while caller.answers[0].body.count(b"\n\n") < 2:
            caller.parser.feed_data(await caller.reader.read(65_536))
        body = caller.answers[0].body
        context.received = body[: body.rindex(b"\n\n") + 2]
        caller.close()
        replica.event_pause_s = 0.2 if runs else replica.event_pause_s
        kept, _ = await send_to(replica, daemon, "kept")
        if not runs:
            await kept.read()
        replica.resets_new = True
        pool = daemon.table.records[replica.id].pool
        others = []
        # More at once than there are kept connections, so that some are reset.
        while not pool.n_refused and len(others) < 5:
            batch = send_many(f"more-{len(others)}", 8)
            others.append(asyncio.ensure_future(batch))
            await asyncio.wait(others, timeout=0.3 if runs else None)
        assert pool.n_refused, "no connection was reset"
        await change()
        await take_up_stream(context)
        await asyncio.gather(*others)
        kept.close()

    world.run(lose())


@then("the stream, taken up at once, is whole at its version")
def step_check_whole_at_version(context: Context) -> None:
    assert list_versions(context, "second-0") == ["v1"], context.answer
    assert is_continued(context.received, context.answer), context.answer


@then("the stream, taken up at once, is refused and has not run")
def step_check_refused_unrun(context: Context) -> None:
    step_check_one_version(context)


@when("a stream is sent to a server that came back as v3, before its entry says so")
def step_begin_early(context: Context) -> None:
    async def begin() -> None:
        replica = context.world.replicas[0]
        replica.end_process()
        await restart_server(replica, "v3")
        replica.first_event_s = 0.6
        caller, context.attempt = await send_to(replica, list_daemons(context)[0])
        replica.born = 2
        await context.world.put_replica(replica, Seq=2)
        while caller.answers[0].body.count(b"\n\n") < 2:
            caller.parser.feed_data(await caller.reader.read(65_536))
        context.received = caller.answers[0].body
        context.received = context.received[: context.received.rindex(b"\n\n") + 2]
        caller.close()

    context.world.run(begin())


@when("the caller takes the stream up after the entry says so")
def step_take_up_late(context: Context) -> None:
    context.world.run(take_up_stream(context))


@then("the stream is whole and ran at version v3 only")
def step_check_new_version(context: Context) -> None:
    assert list_versions(context, context.attempt, "second-0") == ["v3"]
    assert is_continued(context.received, context.answer), context.answer


@when(
    "{n:d} callers lose their streams at {which} that fall silent at once before v2 "
    "comes"
)
def step_fall_silent_at_once(context: Context, n: int, which: str) -> None:
    async def lose_and_take_up() -> None:
        *silent, left = list_daemons(context)
        if which == "one":
            silent = silent[:1]
        received = await asyncio.gather(
            *(
                lose_stream(silent[number % len(silent)], f"first-{number}")
                for number in range(n)
            )
        )
        context.lost = list(received)
        for daemon in silent:
            daemon.members.stop()
            daemon.watch.stop()
        await asyncio.sleep(0.5)
        await add_version(context, "v2")
        await asyncio.sleep(1.5)
        await take_up_streams(context, left)

    context.world.run(lose_and_take_up())


@when("a daemon falls silent, v2 comes and it begins {n:d} streams that callers lose")
def step_begin_silently(context: Context, n: int) -> None:
    async def lose_and_take_up() -> None:
        silent, *others = list_daemons(context)
        await lose_stream(silent, "before")
        silent.members.stop()
        await asyncio.sleep(0.5)
        await add_version(context, "v2")
        await asyncio.sleep(1.5)
        await lose_streams(context, n)
        await take_up_streams(context, others[-1])

    context.world.run(lose_and_take_up())


@then("no stream of {n:d} ran at two versions")
def step_check_silent(context: Context, n: int) -> None:
    began = set()
    for number in range(n):
        (first,) = list_versions(context, f"first-{number}")
        began.add(first)
        versions = list_versions(context, f"first-{number}", f"second-{number}")
        assert versions == [first], (number, versions)
    assert "v2" in began, began


@when("a daemon learns of v2 while the store takes no writes")
def step_refuse_writes(context: Context) -> None:
    async def learn() -> None:
        world = context.world
        world.store.refused_kinds.add(names.KIND_STREAMS)
        replica = await add_version(context, "v2")
        daemon = list_daemons(context)[0]
        async with asyncio.timeout(5.0):
            while replica.id not in daemon.table.records:
                await asyncio.sleep(0.02)

    context.world.run(learn())


async def list_begun(context, n, prefix):
    daemon = list_daemons(context)[0]
    ids = [f"{prefix}-{number}" for number in range(n)]
    answers = await asyncio.gather(
        *(send_request(daemon, STREAM, attempt) for attempt in ids)
    )
    assert all(answer.complete for answer in answers), answers
    return list_versions(context, *ids)


@then("{n:d} streams that it begins run at version v1")
def step_check_earlier(context: Context, n: int) -> None:
    versions = context.world.run(list_begun(context, n, "early"))
    assert versions == ["v1"], versions


@then("they run at both versions after the store takes writes again")
def step_check_both(context: Context) -> None:
    async def begin() -> list[str]:
        context.world.store.refused_kinds.clear()
        await asyncio.sleep(2.0)
        return await list_begun(context, 24, "late")

    versions = context.world.run(begin())
    assert versions == ["v1", "v2"], versions
