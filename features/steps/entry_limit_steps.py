"""Steps for servers that name how many requests a second they take."""

import asyncio
import itertools
import math
import time
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from steps.entry_quarantine_steps import cut_links, heal_links
from steps.entry_steps import make_request_line, send_request, start_world
from steps.entry_version_steps import list_daemons, wait_until
from steps.shared import make_random

from berylpost.edge.anti_entropy import INTERVAL_S, STARTUP_S
from berylpost.edge.members import FAN_OUT
from berylpost.edge.model import Endpoint
from berylpost.edge.server_limits import ServerLimits
from berylpost.policy.server_limit import Share, count_sharers, find_slot

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
    """Sends requests at an even rate; returns how long each took and its answer."""
    answers = []

    async def send(daemon):
        attempt = f"limit-{next(_numbers)}"
        sent_at = time.monotonic()
        answer = await send_request(daemon, make_request_line(kind), attempt)
        answers.append((time.monotonic() - sent_at, answer))

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


@given("every server names a limit of {limit} requests a second")
def step_name_limits(context: Context, limit: str) -> None:
    for replica in context.world.replicas:
        replica.limit = limit
        context.limited.append(replica)


@given("the first server refuses every request")
def step_refuse(context: Context) -> None:
    context.world.replicas[0].fault = "refuse"


@then("each gets at least half of its limit")
def step_check_used(context: Context) -> None:
    for replica in context.limited:
        since = replica.received_at[0] + CONTACT_S
        n_received = sum(at >= since for at in replica.received_at)
        seconds = replica.received_at[-1] - since
        assert n_received >= 0.5 * float(replica.limit) * seconds, n_received


@then("the others are refused as not run with a time to come back, in {seconds:g} s")
def step_check_refused(context: Context, seconds: float) -> None:
    runs = sum((replica.runs for replica in context.world.replicas), Counter())
    refused = [(took_s, a) for took_s, a in context.answers if a.status == 503]
    assert len(refused) >= 0.5 * len(context.answers), len(refused)
    for took_s, answer in refused:
        assert b'"not_run"' in answer.body, answer
        assert not runs[answer.headers["x-berylpost-attempt-id"]], answer
        assert float(answer.headers["retry-after"]) > 0, answer
        assert took_s < seconds, took_s
    # An attempt that a server did not answer in time has run.
    for _, answer in context.answers:
        attempt = answer.headers["x-berylpost-attempt-id"]
        assert answer.status in (200, 503) or runs[attempt], answer


@when("the first server no longer names a limit")
def step_lift(context: Context) -> None:
    context.world.replicas[0].limit = ""


@when("the first server starts again under its id without a limit")
def step_restart(context: Context) -> None:
    world = context.world
    replica = world.replicas[0]
    replica.limit = ""

    async def restart():
        await replica.stop()
        await replica.start()
        await world.put_replica(replica, born=1_700_000_000_000)
        await asyncio.sleep(0.5)

    world.run(restart())


@then("it gets at least {n:d} requests a second in the last {seconds:d} s")
def step_check_rate(context: Context, n: int, seconds: int) -> None:
    replica = context.world.replicas[0]
    since = time.monotonic() - seconds
    n_received = sum(at >= since for at in replica.received_at)
    assert n_received >= n * seconds * 0.9, n_received


def knows_limit(daemon):
    return daemon.limits.n_limited == 1


@when("one daemon sends it requests until it names its limit")
def step_learn(context: Context) -> None:
    daemon = list_daemons(context)[0]

    async def learn():
        while not knows_limit(daemon):
            await send_at_rate(context, 30, "read", 0.2, [daemon])

    context.world.run(learn())


@when("the last daemon receives nothing while one daemon learns the limit")
def step_deafen(context: Context) -> None:
    *others, deaf = list_daemons(context)
    cut_links(context, [deaf], others)
    step_learn(context)
    time.sleep(0.5)
    assert not knows_limit(deaf)
    heal_links(context)


@then("all daemons know the limit within {seconds:g} s")
def step_check_known(context: Context, seconds: float) -> None:
    wait_until(lambda: all(map(knows_limit, list_daemons(context))), seconds)


@when("the daemons are cut into halves that forget each other")
def step_cut_halves(context: Context) -> None:
    daemons = list_daemons(context)
    halves = daemons[::2], daemons[1::2]
    cut_links(context, *halves)
    for own, others in (halves, halves[::-1]):
        for daemon in own:
            for other in others:
                # As after a long silence.
                daemon.members.members.pop(other.settings.name, None)
    for replica in context.limited:
        replica.received_at.clear()


@then("no server counts as limited")
def step_check_unlimited(context: Context) -> None:
    assert all(a.status == 200 for _, a in context.answers)
    assert not any(d.limits.n_limited for d in list_daemons(context))


# Shares in virtual time.

DURATION_S = 90.0
CLOCK_ERROR_S = 0.05


def stay(_random, n, _at):
    return n, n, 1.0


def join_and_die(random_state, n, at):
    """Up to a quarter of the daemons is missing; each counts within a fifth of it."""
    n_up = n - round(n / 4 * abs(math.sin(at / 7)))
    return n_up, n, random_state.uniform(0.95, 1.0)


def cut_halves(_random, n, at):
    return n, n if at < DURATION_S / 3 else (n + 1) // 2, 1.0


def cut_all(_random, n, at):
    return n, n if at < DURATION_S / 3 else 1, 1.0


CHANGES = {
    "stay": stay,
    "rest and burst": stay,
    "join and die": join_and_die,
    "are cut into halves": cut_halves,
    "are all cut off": cut_all,
}


def simulate(n, rate, change):
    """Returns when a server got requests from daemons that send whenever they may."""
    random_state = make_random(n)
    sent = []
    for number in range(n):
        error_s = random_state.uniform(-CLOCK_ERROR_S, CLOCK_ERROR_S)
        now, last_slot = 0.0, float("-inf")
        while now < DURATION_S:
            n_up, n_known, count = CHANGES[change](random_state, n, now)
            if number >= n_up:
                now += 1.0
                continue
            n_counted = count_sharers(max(1, round(n_known * count)), n)
            share = Share(
                rate=rate, n_daemons=n_counted, phase=number % n_known / n_known
            )
            slot = find_slot(share, now=now + error_s, last_slot=last_slot)
            at = max(now, slot - error_s)
            if change == "rest and burst" and at % 30 > 3:
                now = (at // 30 + 1) * 30
                continue
            if at > now + 1.0:
                # The share is computed anew each second.
                now += 1.0
                continue
            last_slot = slot
            sent.append(at)
            now = at
    return sorted(sent)


@then(
    "{n:d} daemons that always have requests keep a limit of {rate:g} while they "
    "{change}"
)
def step_simulate(context: Context, n: int, rate: float, change: str) -> None:
    sent = simulate(n, rate, change)
    allowed = 1.5 * WINDOW_S * rate + 5
    assert count_most(sent) <= allowed, (count_most(sent), allowed)
    if change == "stay":
        assert len(sent) >= 0.8 * rate * DURATION_S, len(sent)


@then(
    "a daemon of {n:d} that knows {k:d} limits sends at most {limit:d} bytes a second "
    "for them"
)
def step_check_bytes(context: Context, n: int, k: int, limit: int) -> None:
    sent = []
    others = [
        SimpleNamespace(name=f"d-{k}", address=Endpoint("ip", k)) for k in range(n)
    ]
    members = SimpleNamespace(
        active=True,
        bind_messages=lambda *_: None,
        list_alive=lambda: others,
        list_reachable=lambda: others,
        list_serving=lambda: [f"d-{k}" for k in range(n)],
        estimate_wall_clock=time.time,
        send_message=lambda _address, data, mark: sent.append(len(data) + len(mark)),
    )
    limits = ServerLimits(name="d", members=members, table=SimpleNamespace(records={}))
    backends = [
        SimpleNamespace(backend=SimpleNamespace(id=f"r-{number}", started_ms=0))
        for number in range(k)
    ]
    for record in backends:
        limits.note_answer(record, 2.0)
    # Each is told to a few daemons at once, and again only when it changes.
    assert len(sent) <= k * FAN_OUT, len(sent)
    sent.clear()
    for record in backends:
        limits.note_answer(record, 2.0)

    async def ask():
        limits.start()
        await asyncio.sleep(STARTUP_S + 2 * INTERVAL_S)
        limits.stop()

    asyncio.run(ask())
    assert sum(sent) <= limit * (STARTUP_S + 2 * INTERVAL_S), sum(sent)
