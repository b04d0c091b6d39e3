"""Steps for senders whose bytes take a daemon long to parse."""

import asyncio
import contextlib
import itertools
import time

import msgspec
from behave import given, then, when
from behave.runner import Context
from steps.client_limit_steps import READY_TIMEOUT_S, answer_at_size, make_head
from steps.client_loads import (
    ANSWER_TIMEOUT_S,
    BODY_BYTES,
    HEADER_BYTES,
    LOADS,
    PIECE_BYTES,
    Target,
    ask,
    play,
    play_client,
)

from berylpost.edge.clock import read_boottime
from berylpost.fakes.entry_world import make_configuration
from berylpost.fakes.replica import SCENARIO_FAULTS, _make_headers

ASK_PAUSE_S = 0.1
PIECES_PAUSE_S = 0.02
N_PIECES = 200
ENDLESS = "events without end"


def make_chunked_body(target: Target, number: int):
    """Yields a body of the largest legal size in chunks of one byte."""
    yield target.write_head + b"Transfer-Encoding: chunked\r\n\r\n"
    piece = b"1\r\nx\r\n" * (PIECE_BYTES // 6)
    for _ in range(BODY_BYTES // (PIECE_BYTES // 6)):
        yield piece


def make_stream(target: Target, number: int):
    """Yields a request for a stream."""
    head = target.read_head.replace(b"GET /read/a", b"POST /stream/once/a")
    yield (
        head.replace(b": load", b": stream-%d" % number) + b"Content-Length: 0\r\n\r\n"
    )


# Not in LOADS, which one scenario plays one after the other.
LOOP_LOADS = {
    "bodies in chunks of 1 B": make_chunked_body,
    "streams": make_stream,
}


@contextlib.contextmanager
def extended_loads():
    """Adds the loads of this module to those of the clients."""
    loads = dict(LOADS)
    LOADS.update(LOOP_LOADS)
    try:
        yield
    finally:
        LOADS.clear()
        LOADS.update(loads)


@given("the first server sends events without end in pieces of {n:d} bytes")
def step_set_endless(context: Context, n: int) -> None:
    async def answer(replica, incoming, writer):
        if not incoming.target.startswith(b"/stream/"):
            return await answer_at_size(replica, incoming, writer)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{k}: {v}" for k, v in _make_headers(replica, incoming).items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\nc\r\nid: 1\ndata: \r\n")
        piece = b"%x\r\n%b\r\n" % (n, b"w" * n)
        while True:
            writer.write(piece * N_PIECES)
            await writer.drain()
            await asyncio.sleep(PIECES_PAUSE_S)

    SCENARIO_FAULTS[ENDLESS] = answer
    context.world.replicas[0].fault = ENDLESS


@given("its routes allow {seconds:d} s for a request")
def step_allow_time(context: Context, seconds: int) -> None:
    spec = make_configuration(2)
    routes = [route | {"TimeoutMs": seconds * 1_000} for route in spec["Routes"]]
    context.world.run(context.world.put_configuration(spec | {"Routes": routes}))
    in_force = "event=configuration_in_force number=2"
    ends_at = time.monotonic() + READY_TIMEOUT_S
    while in_force not in context.log.read_text():
        assert time.monotonic() < ends_at, context.log.read_text()[-2_000:]
        time.sleep(0.05)


@given("its servers are engines with a KV cache of {n:d} tokens")
def step_set_engines(context: Context, n: int) -> None:
    services = [
        {
            "Name": "app",
            "MaxConns": 100,
            "Engine": {"Slots": 64, "KvCapacity": n},
        }
    ]
    world = context.world
    world.run(world.put_configuration(make_configuration(2, Services=services)))
    for replica in world.replicas:
        replica.fault = "none"
    time.sleep(1.0)


async def send_prompts(target: Target, number: int, n_parts: int) -> None:
    """Sends one prompt after the other, each with parts of its own, until cancelled."""
    parts = itertools.count(number << 24)
    while True:
        prompt = ",".join(f"{next(parts):x}:1" for _ in range(n_parts))
        assert len(prompt) < HEADER_BYTES - 1_000
        head = target.read_head.replace(b": load", b": prompt-%d" % next(parts))
        head += f"X-Berylpost-Token-Counts: {n_parts},5\r\n".encode()
        head += f"X-Berylpost-Prompt-Prefix: {prompt}\r\n\r\n".encode()
        await ask(target, head)


@when("{n:d} clients send prompts of {k:d} parts of one token for {seconds:d} s")
def step_send_prompts(context: Context, n: int, k: int, seconds: int) -> None:
    target = context.target

    async def send():
        tasks = [asyncio.create_task(send_prompts(target, c, k)) for c in range(n)]
        await asyncio.sleep(seconds)
        context.answers = [await ask(target, target.ordinary)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(send())


@given("the servers send events of 1 MiB without an end")
def step_set_large_events(context: Context) -> None:
    async def answer(replica, incoming, writer):
        if not incoming.target.startswith(b"/stream/"):
            return await answer_at_size(replica, incoming, writer)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{k}: {v}" for k, v in _make_headers(replica, incoming).items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\nc\r\nid: 1\ndata: \r\n")
        for _ in range(15):
            writer.write(b"10000\r\n%b\r\n" % (b"w" * 65_536))
            await writer.drain()
            await asyncio.sleep(PIECES_PAUSE_S)
        await asyncio.sleep(60)
        return False

    SCENARIO_FAULTS[ENDLESS] = answer
    for replica in context.world.replicas:
        replica.fault = ENDLESS


@when("{n:d} clients ask for streams for {seconds:d} s")
def step_play_streams(context: Context, n: int, seconds: int) -> None:
    with extended_loads():
        answers = play(context.target, "streams", n, seconds)
        context.answers = asyncio.run(answers)


@when('{n:d} clients play the load "{load}" at the directory for {seconds:d} s')
def step_play_directory(context: Context, n: int, load: str, seconds: int) -> None:
    front = context.target
    directory = context.world.make_settings(0).directory
    target = Target(
        address=tuple(directory),
        ordinary=front.ordinary,
        read_head=front.read_head,
        write_head=front.write_head,
        large_answer=front.large_answer,
    )

    async def run():
        clients = [
            asyncio.create_task(play_client(target, load, number))
            for number in range(n)
        ]
        await asyncio.sleep(seconds)
        context.directory_answer = await ask(
            target, b"GET /v1/resolve?Name=a HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        context.answers = [await ask(front, front.ordinary)]
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    asyncio.run(run())


@then("the directory answers")
def step_check_directory(context: Context) -> None:
    assert b" 200 " in context.directory_answer[:20], context.directory_answer[:200]


@when(
    "clients send for {seconds:g} s streams with ids of {n:d} and {k:d} prompt parts "
    "of {part_chars:d} characters"
)
def step_send_long_ids(
    context: Context, seconds: float, n: int, k: int, part_chars: int
) -> None:
    services = [
        {"Name": "app", "MaxConns": 100, "Engine": {"Slots": 64, "KvCapacity": 10**7}}
    ]
    world = context.world
    world.run(world.put_configuration(make_configuration(2, Services=services)))
    time.sleep(0.5)
    daemons = list(world.daemons.values())
    context.silences = []

    async def send(number: int) -> None:
        parts = ",".join(
            f"{number:x}g{place:x}g".ljust(part_chars, "a") + ":1" for place in range(k)
        )
        head = make_head("POST /stream/a", f"{number}-".ljust(n, "x"))
        head += b"X-Berylpost-Prompt-Prefix: " + parts.encode() + b"\r\n"
        head += b"X-Berylpost-Token-Counts: 9,5\r\nContent-Length: 0\r\n\r\n"
        assert len(head) < HEADER_BYTES
        target = Target(
            address=tuple(daemons[0].settings.front),
            ordinary=head,
            read_head=b"",
            write_head=b"",
            large_answer=b"",
        )
        answer = await ask(target, head)
        assert b" 200 " in answer[:20], answer[:200]

    async def send_all() -> None:
        tasks = []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            tasks.append(asyncio.create_task(send(len(tasks))))
            await asyncio.sleep(0.05)
            context.silences += [
                read_boottime() - member.last_received_at
                for daemon in daemons
                for member in daemon.members.members.values()
            ]
        await asyncio.gather(*tasks)

    asyncio.run(send_all())


@then("meanwhile each daemon heard from the other within {limit:g} s")
def step_check_heard(context: Context, limit: float) -> None:
    assert max(context.silences) < limit, max(context.silences)


@then("no daemon keeps more than {n:d} characters of the id of a stream")
def step_check_ids(context: Context, n: int) -> None:
    known = [
        attempt
        for daemon in context.world.daemons.values()
        for attempt in daemon.origins._origins
    ]
    assert known and max(map(len, known)) <= n, max(map(len, known), default=None)


async def play_beside(target: Target, load: str, n_clients: int, seconds: float):
    """Plays a load; returns answer and seconds of each ordinary request beside it."""
    tasks = [
        asyncio.create_task(play_client(target, load, number))
        for number in range(n_clients)
    ]
    await asyncio.sleep(0.5)
    ends_at = time.monotonic() + seconds
    answers = []

    async def ask_timed() -> None:
        began_at = time.monotonic()
        answer = await ask(target, target.ordinary)
        answers.append((answer[:80], time.monotonic() - began_at))

    requests = []
    while time.monotonic() < ends_at:
        requests.append(asyncio.create_task(ask_timed()))
        await asyncio.sleep(ASK_PAUSE_S)
    await asyncio.gather(*requests)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return answers


ODD_TEXTS = {
    "keys that are numbers": b'{"Extra": {' + b"1:2," * 240_000 + b'"a": 0}}',
    "very deep nesting": b'{"Extra": ' + b"[" * 480_000 + b"]" * 480_000 + b"}",
    "half of surrogate pairs": b'{"Extra": [' + b'"\\ud83d",' * 105_000 + b"0]}",
}


@when(
    "another writer stores 1 MB with {oddity} every {pause:g} s for {seconds:d} s "
    "beside ordinary requests"
)
def step_store_beside(
    context: Context, oddity: str, pause: float, seconds: int
) -> None:
    world = context.world
    text = ODD_TEXTS[oddity]
    assert 900_000 < len(text) < 1 << 20

    async def store():
        for number in range(int(seconds / pause)):
            # The revision changes with the text.
            spec = msgspec.Raw(text[:-1] + b', "n": %d}' % number)
            await world.store.put("servers", "aa-odd", spec)
            await asyncio.sleep(pause)

    writing = asyncio.run_coroutine_threadsafe(store(), world.loop)
    answers = play_beside(context.target, "idle connections", 1, seconds)
    context.answers = asyncio.run(answers)
    writing.result(seconds)


@when('{n:d} clients play the load "{load}" for {seconds:d} s beside ordinary requests')
def step_play_beside(context: Context, n: int, load: str, seconds: int) -> None:
    with extended_loads():
        context.answers = asyncio.run(play_beside(context.target, load, n, seconds))


@then("all ordinary requests are answered within {seconds:g} s")
def step_check_all_answered(context: Context, seconds: float) -> None:
    assert len(context.answers) >= 10
    served = (b" 200 ", b" 201 ")
    late = [
        (answer, took_s)
        for answer, took_s in context.answers
        if took_s > seconds or not any(status in answer for status in served)
    ]
    assert not late, (len(late), len(context.answers), late[:3])


@then("a body of {n:d} bytes in chunks of 1 byte is answered")
def step_check_chunked(context: Context, n: int) -> None:
    target = context.target
    head = target.write_head.replace(b": 1500", b": 8000")
    request = head + b"Transfer-Encoding: chunked\r\n\r\n"
    request += b"1\r\nx\r\n" * n + b"0\r\n\r\n"

    async def send():
        reader, writer = await asyncio.open_connection(*target.address)
        writer.write(request)
        async with asyncio.timeout(4 * ANSWER_TIMEOUT_S):
            answer = await reader.read(PIECE_BYTES)
        writer.transport.abort()
        return answer

    answer = asyncio.run(send())
    assert b" 200 " in answer[:20], answer[:200]
