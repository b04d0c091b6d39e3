"""Steps for servers that name how many requests a second they take."""

import asyncio
import itertools
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_steps import make_request_line, send_request, start_world
from steps.entry_version_steps import list_daemons

WINDOW_S = 4.0
CONTACT_S = 3.0  # after it first named a limit a server may count on it
_numbers = itertools.count()


@given("{n:d} entry daemons and {k:d} servers")
def step_start(context: Context, n: int, k: int) -> None:
    start_world(context, n_daemons=n, versions=["v1"] * k)
    context.limited = []


@given("the first server names a limit of {limit} requests a second")
def step_name_limit(context: Context, limit: str) -> None:
    replica = context.world.replicas[0]
    replica.limit = limit
    context.limited.append(replica)


async def send_at_rate(context, rate, kind, seconds, daemons):
    """Sends requests at an even rate to some daemons in turn; returns the answers."""
    answers = []

    async def send(daemon):
        attempt = f"limit-{next(_numbers)}"
        sent_at = time.monotonic()
        answer = await send_request(daemon, make_request_line(kind), attempt)
        answers.append((sent_at, answer))

    tasks = []
    began_at = time.monotonic()
    for number in range(int(rate * seconds)):
        tasks.append(asyncio.ensure_future(send(daemons[number % len(daemons)])))
        due_s = began_at + (number + 1) / rate - time.monotonic()
        await asyncio.sleep(max(0.0, due_s))
    await asyncio.gather(*tasks)
    return answers


@when('callers send {rate:d} requests a second of the kind "{kind}" for {n:d} s')
def step_send(context: Context, rate: int, kind: str, n: int) -> None:
    daemons = list_daemons(context)
    context.sent_at = time.monotonic()
    context.answers = context.world.run(
        send_at_rate(context, rate, kind, n, daemons), timeout_s=n + 20
    )


def count_most(times, window_s=WINDOW_S):
    """Counts the most events in any window."""
    most, first = 0, 0
    for index, at in enumerate(times):
        while at - times[first] > window_s:
            first += 1
        most = max(most, index - first + 1)
    return most


@then("it gets at most one and a half times its limit and 5 requests in any 4 s")
def step_check_limit(context: Context) -> None:
    for replica in context.limited:
        assert replica.received_at, "the server got no request"
        since = replica.received_at[0] + CONTACT_S
        most = count_most([at for at in replica.received_at if at >= since])
        allowed = 1.5 * WINDOW_S * float(replica.limit) + 5
        assert most <= allowed, (most, allowed)


@then("nine in ten requests were answered")
def step_check_answered(context: Context) -> None:
    n_answered = sum(a.status == 200 and a.complete for _, a in context.answers)
    assert n_answered >= 0.9 * len(context.answers), (n_answered, len(context.answers))
