"""Steps for prompt parts that crash the servers which answer them."""

import asyncio
import itertools
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_steps import make_events, make_request_line, send_request, start_world
from steps.entry_version_steps import list_daemons

from berylpost.fakes.replica import N_EVENTS, list_shared_parts

STREAM = make_request_line("stream")
RESTART_S = 0.6  # a crashed server is back after this time
PAUSE_S = 0.05  # between two requests with the same parts
PART_TOKENS = 50
_numbers = itertools.count()


def make_prompt_headers(*shared):
    """Renders a prompt of shared parts and a part of its own."""
    parts = [*shared, f"own{next(_numbers):x}"]
    return [
        "X-Berylpost-Prompt-Prefix: " + ",".join(f"{p}:{PART_TOKENS}" for p in parts)
    ]


def send_prompt(daemon, request_id, *shared, extra_headers=()):
    headers = [*make_prompt_headers(*shared), *extra_headers]
    return send_request(daemon, STREAM, request_id, extra_headers=headers)


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
    answers = [
        answer
        for shared, sent in context.answers.items()
        if part in shared
        for sent_at, answer in sent
        if sent_at > context.ended_at - seconds
    ]
    n_whole = sum(is_whole(answer) for answer in answers)
    assert answers and n_whole >= 0.9 * len(answers), (n_whole, len(answers))
