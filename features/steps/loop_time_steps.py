"""Steps for senders whose bytes take a daemon long to parse."""

import asyncio
import time

from behave import given, then, when
from behave.runner import Context
from steps.client_limit_steps import answer_at_size
from steps.client_loads import (
    ANSWER_TIMEOUT_S,
    BODY_BYTES,
    LOADS,
    PIECE_BYTES,
    Target,
    ask,
    play_client,
)

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


@when('{n:d} clients play the load "{load}" for {seconds:d} s beside ordinary requests')
def step_play_beside(context: Context, n: int, load: str, seconds: int) -> None:
    loads = dict(LOADS)
    LOADS.update(LOOP_LOADS)
    try:
        context.answers = asyncio.run(play_beside(context.target, load, n, seconds))
    finally:
        LOADS.clear()
        LOADS.update(loads)


@then("all ordinary requests are answered within {seconds:g} s")
def step_check_all_answered(context: Context, seconds: float) -> None:
    assert len(context.answers) >= 10
    late = [a for a in context.answers if b" 200 " not in a[0] or a[1] > seconds]
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
