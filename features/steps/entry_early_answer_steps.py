"""Steps for calm days: sound servers, kept connections, odd but proper answers."""

import asyncio
import itertools
import socket
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_limit_steps import list_daemons
from steps.entry_steps import (
    DEADLINE_MS,
    Caller,
    connect,
    make_request_line,
    wait_for,
)

from berylpost.edge.request_account import RequestEnd
from berylpost.fakes.entry_world import make_configuration, make_route

# Ends of requests that the daemon itself has lost.
LOST_ENDS = (RequestEnd.UNSENT, RequestEnd.UNSERVED, RequestEnd.UNFINISHED)
SETTLE_S = 3.0
WORK_S = 0.05  # of a request, so that each caller's has a connection of its own
PAUSE_S = 0.02  # between two requests of a caller
STREAM_DEADLINE_MS = 20_000
RECEIVE_BYTES = 65_536
_numbers = itertools.count()


@given('every server behaves as "{fault}"')
def step_set_behaviour(context: Context, fault: str) -> None:
    for replica in context.world.replicas:
        replica.fault = fault


@given('{n_callers:d} callers have sent {n:d} requests "{line}" at once')
def step_fill_pools(context: Context, n_callers: int, n: int, line: str) -> None:
    for replica in context.world.replicas:
        replica.work_s = WORK_S
    context.world.run(send_kept(context, n_callers, n, line))


@given("every server drops its open connections without notice")
def step_drop(context: Context) -> None:
    for replica in context.world.replicas:
        replica.work_s = 0.0
        replica.drop_kept()


async def send_kept(context, n_callers, n, line, body=b"", pause_s=0.0):
    """Sends requests one after the other on one connection a caller."""
    (daemon,) = list_daemons(context)
    deadline_ms = getattr(context, "deadline_ms", DEADLINE_MS)
    context.answers = {}
    context.body = body

    async def send():
        caller = await connect(daemon)
        for _ in range(n):
            attempt = f"calm-{next(_numbers)}"
            deadline = f"X-Berylpost-Deadline-Ms: {deadline_ms}"
            caller.send(line, attempt, body=body, extra_headers=[deadline])
            answer = await caller.read()
            context.answers[attempt] = answer
            if not answer.complete or answer.closes:
                caller.close()
                caller = await connect(daemon)
            await asyncio.sleep(pause_s)
        caller.close()

    await asyncio.gather(*(send() for _ in range(n_callers)))


@when(
    '{n_callers:d} callers send {n:d} "{kind}" requests of {n_bytes:d} bytes '
    "on kept connections"
)
def step_send_long(
    context: Context, n_callers: int, n: int, kind: str, n_bytes: int
) -> None:
    line = make_request_line(kind)
    body = b"b" * n_bytes
    context.world.run(send_kept(context, n_callers, n, line, body), timeout_s=90.0)


@when(
    '{n_callers:d} callers send {n:d} requests "{line}" with {n_bytes:d} bytes '
    "on kept connections"
)
def step_send_line(
    context: Context, n_callers: int, n: int, line: str, n_bytes: int
) -> None:
    body = b"b" * n_bytes
    context.world.run(send_kept(context, n_callers, n, line, body, PAUSE_S))


@when(
    '{n_callers:d} callers send {n:d} requests "{line}" with {n_bytes:d} bytes '
    "on kept connections, {pause_s:f} s apart"
)
def step_send_apart(
    context: Context, n_callers: int, n: int, line: str, n_bytes: int, pause_s: float
) -> None:
    body = b"b" * n_bytes
    context.world.run(send_kept(context, n_callers, n, line, body, pause_s))


def configure(context, **fields):
    (daemon,) = list_daemons(context)
    context.world.run(context.world.put_configuration(make_configuration(2, **fields)))
    wait_for(5.0, lambda: daemon.catalogue.configuration.number == 2)


@given("callers may leave connections idle for {seconds:d} s")
def step_set_idle(context: Context, seconds: int) -> None:
    configure(context, Limits={"IdleTimeoutMs": seconds * 1_000})


@given("each server takes {n:d} connections")
def step_set_connections(context: Context, n: int) -> None:
    service = {"Name": "app", "HealthPath": "/health", "MaxConns": n}
    configure(context, Services=[service])
    (daemon,) = list_daemons(context)
    pools = [record.pool for record in daemon.table.records.values()]
    wait_for(5.0, lambda: all(pool.n_max == n for pool in pools))


@when('{seconds:f} s later {n:d} callers send a request "{line}"')
def step_send_later(context: Context, seconds: float, n: int, line: str) -> None:
    time.sleep(seconds)
    context.world.run(send_kept(context, n, 1, line))


@given("requests may take {seconds:d} s")
def step_set_request_timeout(context: Context, seconds: int) -> None:
    context.deadline_ms = seconds * 1_000
    fields = {"MaxAttempts": 1, "TimeoutMs": seconds * 1_000}
    configure(context, Routes=[make_route("book", "non_idempotent", **fields)])


@given("streams may take {seconds:d} s")
def step_set_timeout(context: Context, seconds: int) -> None:
    fields = {"CanResume": True, "TimeoutMs": seconds * 1_000, "GapAimMs": 250}
    configure(context, Routes=[make_route("stream", "streaming", **fields)])


@when("{n:d} callers take a stream and read nothing of it for {seconds:d} s")
def step_read_late(context: Context, n: int, seconds: int) -> None:
    (daemon,) = list_daemons(context)
    context.answers = {}

    async def take():
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.connect(tuple(daemon.settings.front))
        reader, writer = await asyncio.open_connection(sock=sock)
        caller = Caller(reader, writer)
        attempt = f"calm-{next(_numbers)}"
        deadline = f"X-Berylpost-Deadline-Ms: {STREAM_DEADLINE_MS}"
        line = make_request_line("stream")
        caller.send(line, attempt, extra_headers=[deadline])
        await asyncio.sleep(seconds)
        context.answers[attempt] = await caller.read()
        caller.close()

    async def take_all():
        await asyncio.gather(*(take() for _ in range(n)))

    context.world.run(take_all(), timeout_s=60.0)


@when("{n:d} callers send a request and close their side at once")
def step_close_side(context: Context, n: int) -> None:
    (daemon,) = list_daemons(context)
    context.n_requests = n

    async def send():
        caller = await connect(daemon)
        caller.send(make_request_line("book"), f"calm-{next(_numbers)}", body=b"b")
        caller.writer.write_eof()
        await caller.read()
        caller.close()

    async def send_all():
        await asyncio.gather(*(send() for _ in range(n)))

    context.world.run(send_all())


@then("each request of them was answered or its caller had left")
def step_check_left(context: Context) -> None:
    (daemon,) = list_daemons(context)
    ends = daemon.front.account.n_ended
    n_ended = ends[RequestEnd.ANSWERED] + ends[RequestEnd.CALLER_LEFT]
    assert n_ended == context.n_requests, ends


def check_answers(context, statuses):
    failed = [
        (attempt, answer.status, answer.complete, answer.body[:200])
        for attempt, answer in context.answers.items()
        if not answer.complete or answer.status not in statuses
    ]
    assert not failed, (len(failed), len(context.answers), failed[:3])


@then("each request has a complete answer of status {status:d}")
def step_check_answers(context: Context, status: int) -> None:
    check_answers(context, {status})


@then("each request has a complete answer of status {status:d} or {other:d}")
def step_check_either(context: Context, status: int, other: int) -> None:
    check_answers(context, {status, other})


@then("none of them ran more than once")
def step_check_no_repeat(context: Context) -> None:
    runs = count_runs(context)
    assert max(runs.values()) <= 1, runs


@then("no server has been taken for unreachable")
def step_check_suspects(context: Context) -> None:
    (daemon,) = list_daemons(context)
    suspects = [
        id
        for id, record in daemon.table.records.items()
        if record.suspect_since > float("-inf")
    ]
    assert not suspects, suspects


def count_runs(context):
    return {
        attempt: sum(replica.runs[attempt] for replica in context.world.replicas)
        for attempt in context.answers
    }


@then("each of them ran once")
def step_check_runs(context: Context) -> None:
    runs = count_runs(context)
    odd = {attempt: n for attempt, n in runs.items() if n != 1}
    assert not odd, (len(odd), sum(runs.values()), len(runs))


@then("each of them ran once, with its whole body")
def step_check_bodies(context: Context) -> None:
    step_check_runs(context)

    def has_bodies():
        return all(
            incoming.body == context.body
            for replica in context.world.replicas
            for incoming in replica.received
        )

    ends_at = time.monotonic() + SETTLE_S
    while not has_bodies():
        assert time.monotonic() < ends_at, [
            len(incoming.body)
            for replica in context.world.replicas
            for incoming in replica.received
            if incoming.body != context.body
        ]
        time.sleep(0.05)


@then("the account of the daemon adds up")
def step_check_account(context: Context) -> None:
    (daemon,) = list_daemons(context)
    account = daemon.front.account
    assert account.n_open == 0, account.export_counts()
    assert not any(account.n_ended[end] for end in LOST_ENDS), account.export_counts()
