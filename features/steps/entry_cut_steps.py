"""Steps for daemons whose links to backend servers are cut."""

import asyncio
import itertools
import time
from collections import Counter
from types import SimpleNamespace

from behave import then, when
from behave.runner import Context
from steps.entry_limit_steps import list_daemons
from steps.entry_steps import make_request_line, send_request

from berylpost.fakes.links import LinkFault

KINDS = ("read", "book", "stream", "stream/once")
RATE_PER_DAEMON = 12  # requests a second
_numbers = itertools.count()


def cut_daemons(context, names, fault, replicas=None):
    async def cut():
        for name in names:
            for replica in replicas or context.world.replicas:
                context.world.loop.cut(name, replica.ip, LinkFault(fault))

    context.world.run(cut())
    context.cut = [*names]


def heal_daemons(context, names):
    async def heal():
        for name in names:
            for replica in context.world.replicas:
                context.world.loop.heal(name, replica.ip)

    context.world.run(heal())


@when('{n:d} daemons are cut off from all servers with the fault "{fault}"')
def step_cut(context: Context, n: int, fault: str) -> None:
    cut_daemons(context, [f"entry-{number}" for number in range(n)], fault)


async def send_all(context, seconds, kinds=KINDS):
    """Sends requests of all kinds to all daemons at an even rate."""
    records = []

    async def send(daemon, kind):
        attempt = f"cut-{next(_numbers)}"
        sent_at = time.monotonic()
        answer = await send_request(daemon, make_request_line(kind), attempt)
        records.append(
            SimpleNamespace(
                daemon=daemon.settings.name,
                kind=kind,
                attempt=attempt,
                answer=answer,
                took_s=time.monotonic() - sent_at,
                ok=answer.status == 200 and answer.complete,
            )
        )

    tasks = []
    daemons = list_daemons(context)
    began_at = time.monotonic()
    for number in range(int(RATE_PER_DAEMON * seconds)):
        for daemon in daemons:
            kind = kinds[number % len(kinds)]
            tasks.append(asyncio.ensure_future(send(daemon, kind)))
        due_s = began_at + (number + 1) / RATE_PER_DAEMON - time.monotonic()
        await asyncio.sleep(max(0.0, due_s))
    await asyncio.gather(*tasks)
    return records


@when("callers send requests of all kinds to all daemons for {n:d} s")
@when("callers send requests of all kinds to all daemons for {n:d} s more")
def step_send(context: Context, n: int) -> None:
    context.earlier = getattr(context, "records", [])
    context.records = context.world.run(send_all(context, n), timeout_s=n + 30)


@then("at the cut daemons at least {n:d} in {m:d} of the latter requests were answered")
def step_check_served(context: Context, n: int, m: int) -> None:
    here = [r for r in context.records if r.daemon in context.cut]
    n_served = sum(record.ok for record in here)
    failed = Counter((r.kind, r.answer.status) for r in here if not r.ok)
    assert n_served >= n / m * len(here), (n_served, len(here), failed)


@then("each answer at a cut daemon came within {seconds:g} s")
def step_check_times(context: Context, seconds: float) -> None:
    late = [
        (r.kind, r.took_s, r.answer.status)
        for r in context.records
        if r.daemon in context.cut and r.ok and r.took_s > seconds
    ]
    assert len(late) <= 0.05 * len(context.records), late


@then("no request ran more often than its kind allows")
def step_check_runs(context: Context) -> None:
    runs = sum((replica.runs for replica in context.world.replicas), Counter())
    for record in [*context.earlier, *context.records]:
        allowed = 1 if record.kind in ("book", "stream/once") else 2
        assert runs[record.attempt] <= allowed, (record, runs[record.attempt])
        if record.answer.status in (408, 421, 429, 503):
            assert not runs[record.attempt], record
