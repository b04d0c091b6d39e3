"""Steps for requests that arrive while their daemon is being stopped."""

import asyncio
import itertools
from collections import Counter

from behave import then, when
from behave.runner import Context
from steps.entry_steps import connect, make_request_line

from berylpost.fakes.entry_world import make_configuration, make_route

INTERVAL_S = 0.1
_numbers = itertools.count()


@when(
    'a daemon is stopped while callers send "{kind}" requests with a deadline of '
    "{deadline:d} s on open connections"
)
def step_stop(context: Context, kind: str, deadline: int) -> None:
    world = context.world
    name = kind.partition("/")[0]
    routes = [
        make_route("read", "idempotent", TimeoutMs=20_000),
        make_route("book", "non_idempotent", MaxAttempts=1, TimeoutMs=20_000),
        make_route("stream/once", "streaming", MaxAttempts=1, TimeoutMs=20_000),
    ]
    assert name in ("read", "book", "stream")
    world.run(world.put_configuration(make_configuration(2, Routes=routes)))
    header = [f"X-Berylpost-Deadline-Ms: {deadline * 1_000}"]

    async def send(daemon, caller, delay_s, answers):
        await asyncio.sleep(delay_s)
        if caller.reader.at_eof():
            return
        attempt = f"stop-{next(_numbers)}"
        caller.send(make_request_line(kind), attempt, extra_headers=header)
        answers[attempt] = await caller.read()

    async def stop():
        daemon = world.daemons["entry-0"]
        while daemon.catalogue.read_rank().number < 2:
            await asyncio.sleep(0.05)
        answers = {}
        grace_s = daemon.settings.bounds.grace_s
        n = int((grace_s + 1) / INTERVAL_S)
        callers = [await connect(daemon) for _ in range(n)]
        sends = [
            asyncio.ensure_future(send(daemon, caller, INTERVAL_S * number, answers))
            for number, caller in enumerate(callers)
        ]
        await asyncio.sleep(0.5)
        await daemon.leave()
        # The process ends here, and with it what is left open.
        for connection in list(daemon.front.connections):
            connection.abort()
        await asyncio.wait(sends, timeout=2.0)
        return answers

    context.answers = world.run(stop())


@then("each request that the daemon has read was answered or refused")
def step_check_answered(context: Context) -> None:
    runs = sum((replica.runs for replica in context.world.replicas), Counter())
    assert len(context.answers) >= 10, len(context.answers)
    for attempt, answer in context.answers.items():
        # One that crossed the close was not passed on.
        assert answer.complete or not runs[attempt], (attempt, answer)
    n_complete = sum(answer.complete for answer in context.answers.values())
    assert n_complete >= len(context.answers) - 2, (n_complete, len(context.answers))


@then("none of those refused as not run has run")
def step_check_not_run(context: Context) -> None:
    runs = sum((replica.runs for replica in context.world.replicas), Counter())
    for attempt, answer in context.answers.items():
        if answer.status in (408, 421, 429, 503):
            assert not runs[attempt], (attempt, answer)
