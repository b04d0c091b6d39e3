"""Steps for daemons of several builds, each a process."""

import asyncio
import contextlib
import itertools
import random
import shutil
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from steps.entry_steps import (
    connect,
    make_events,
    make_request_line,
    send_request,
)
from steps.entry_version_steps import join_events

from berylpost.edge.model import Endpoint
from berylpost.fakes.duty_api import DutyCallChecker
from berylpost.fakes.replica import N_EVENTS
from soak.builds import extract_build
from soak.world import PORT, ROOT, World

N_BACKENDS = 4
KINDS = ("read", "book", "stream", "stream/once")
CONFIGURED_S = 2.0
START_S = 12.0
_numbers = itertools.count()
_random = random.Random()


def find_build(name):
    return ROOT if name == "present" else extract_build(name)


class Fleet:
    """A world of processes with its event loop."""

    def __init__(self, builds, n_daemons):
        self.loop = asyncio.new_event_loop()
        self.runs = Counter()
        prefix = f"127.{231 + _random.randrange(20)}"
        self.world = World(
            address_prefix=prefix,
            folder=Path(tempfile.mkdtemp(prefix="builds-")),
            on_run=lambda attempt, _customer, _backend: self.runs.update([attempt]),
            builds=builds,
        )
        self.run(self.world.start(n_daemons=n_daemons, n_backends=N_BACKENDS), 60.0)
        self.run(self.await_members(), START_S)

    def run(self, coroutine, timeout_s=30.0):
        return self.loop.run_until_complete(asyncio.wait_for(coroutine, timeout_s))

    def close(self):
        self.run(self.world.stop())
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()
        shutil.rmtree(self.world.folder)

    def make_target(self, daemon):
        front = Endpoint(daemon.ip, PORT)
        return SimpleNamespace(settings=SimpleNamespace(front=front))

    async def send(self, daemon, kind, **options):
        attempt = f"build-{next(_numbers)}"
        key = self.world.keys[-1]
        line = make_request_line(kind)
        target = self.make_target(daemon)
        options = {"key": key, **options}
        return attempt, await send_request(target, line, attempt, **options)

    async def count_served(self, daemon):
        """Counts what a daemon's directory names."""
        reader, writer = await asyncio.open_connection(daemon.ip, PORT + 2)
        writer.write(b"GET /v1/resolve?Name=site.example HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        body = await reader.readexactly(length)
        writer.close()
        return body.count(b":%d" % PORT)

    async def await_members(self):
        daemons = self.world.daemons
        while True:
            counts = []
            for daemon in daemons:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    counts.append(await self.count_served(daemon))
            if counts == [len(daemons)] * len(daemons):
                return
            await asyncio.sleep(0.1)


def start_fleet(context, builds, n_daemons):
    context.builds = Fleet(builds, n_daemons)
    context.add_cleanup(context.builds.close)


@given("2 daemons of the build {name} and 2 of the present one")
def step_start_both(context: Context, name: str) -> None:
    start_fleet(context, (find_build(name), ROOT), 4)


@given("{n:d} daemons of the build {name}")
def step_start_one(context: Context, n: int, name: str) -> None:
    start_fleet(context, (find_build(name),), n)


def check_answer(fleet, kind, attempt, answer):
    """Tells whether an answer is whole; fails if the request ran too often."""
    most = 2 if kind in ("read", "stream") else 1
    assert fleet.runs[attempt] <= most, (kind, attempt, answer)
    return answer.status == 200 and answer.complete


@when("callers read, book and follow streams at all of them")
def step_call(context: Context) -> None:
    fleet = context.builds

    async def call():
        failed = []
        for _ in range(6):
            for daemon in fleet.world.daemons:
                for kind in KINDS:
                    attempt, answer = await fleet.send(daemon, kind)
                    if not check_answer(fleet, kind, attempt, answer):
                        failed.append((daemon.name, kind, answer))
        return failed

    context.failures = fleet.run(call(), 60.0)


@when("callers take streams up at the other build at all of them")
def step_take_up(context: Context) -> None:
    fleet = context.builds

    async def begin(daemon, other):
        """Leaves a stream after two events; takes it up at another daemon."""
        first = f"build-{next(_numbers)}"
        caller = await connect(fleet.make_target(daemon))
        caller.send(make_request_line("stream"), first, key=fleet.world.keys[-1])
        while caller.answers[0].body.count(b"\n\n") < 2:
            data = await caller.reader.read(65_536)
            assert data, caller.answers
            caller.parser.feed_data(data)
        body = caller.answers[0].body
        body = body[: body.rindex(b"\n\n") + 2]
        caller.close()
        await asyncio.sleep(0.1)
        headers = (f"Last-Event-Id: {body.count(b'id: ')}", f"Resumes: {first}")
        _, answer = await fleet.send(other, "stream", extra_headers=headers)
        is_whole = join_events(body, answer.body) == make_events(N_EVENTS)
        return (answer.complete and is_whole) or (daemon.name, answer)

    async def take_up():
        daemons = fleet.world.daemons
        outcomes = [
            await begin(daemon, daemons[(number + 1) % len(daemons)])
            for _ in range(4)
            for number, daemon in enumerate(daemons)
        ]
        return [outcome for outcome in outcomes if outcome is not True]

    context.failures = fleet.run(take_up(), 60.0)


async def check_routes(fleet, number, expected):
    """Lists the daemons that do not answer a route of a configuration as expected."""
    failed = []
    for daemon in fleet.world.daemons:
        _, answer = await fleet.send(daemon, f"v{number}")
        if answer.status != expected:
            failed.append((daemon.name, number, answer))
    return failed


@when("the operator changes routes and revokes keys at all of them")
def step_configure(context: Context) -> None:
    fleet = context.builds
    world = fleet.world

    async def configure():
        failed = []
        for _ in range(3):
            old_key = world.keys[0]
            await world.revoke_key()
            await asyncio.sleep(CONFIGURED_S)
            number = world.configuration_number
            failed += await check_routes(fleet, number, 200)
            failed += await check_routes(fleet, number - 1, 404)
            for daemon in world.daemons:
                _, answer = await fleet.send(daemon, "read", key=old_key)
                if answer.status != 401:
                    failed.append((daemon.name, "revoked key", answer))
        return failed

    context.failures = fleet.run(configure(), 60.0)


@then("all of it is done, at most once, and every daemon knows the three others")
def step_check_done(context: Context) -> None:
    assert not context.failures, (len(context.failures), context.failures[:3])
    context.builds.run(context.builds.await_members(), START_S)
    assert not context.builds.world.unexpected_exits


@when("they are replaced by the build {name} one after the other, under load")
def step_replace(context: Context, name: str) -> None:
    fleet = context.builds
    build = find_build(name)
    fleet.world.cloud.checker = DutyCallChecker(lease_s=3.0)

    async def call(number, failed):
        while True:
            daemon = _random.choice([d for d in fleet.world.daemons if d.is_up])
            kind = KINDS[number % len(KINDS)]
            try:
                attempt, answer = await fleet.send(daemon, kind)
            except OSError:
                continue  # the daemon does not listen yet, or any more
            check_answer(fleet, kind, attempt, answer)
            was_read = bool(fleet.runs[attempt])
            if answer.status not in (200, 503) or not answer.complete:
                failed.append((daemon.name, kind, was_read, answer))
            await asyncio.sleep(0.02)

    async def replace():
        failed = []
        calls = [asyncio.ensure_future(call(n, failed)) for n in range(8)]
        for daemon in fleet.world.daemons:
            await fleet.world.stop_daemon(daemon, signal.SIGTERM)
            daemon.build = build
            await fleet.world.start_daemon(daemon)
            await asyncio.sleep(2.0)
        for task in calls:
            task.cancel()
        for outcome in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome
        return failed

    context.failures = fleet.run(replace(), 90.0)


@then("no planned stop has lost an answer, and every daemon knows the three others")
def step_check_replaced(context: Context) -> None:
    # A request that reaches a closing connection unread may be sent again.
    lost = [failure for failure in context.failures if failure[2]]
    assert not lost, (len(lost), lost[:3])
    context.builds.run(context.builds.await_members(), START_S)
    assert not context.builds.world.unexpected_exits


@then("usage is reported on without a broken rule")
def step_check_usage(context: Context) -> None:
    fleet = context.builds
    checker = fleet.world.cloud.checker
    n_reports = len(checker.reports)

    async def wait():
        while len(checker.reports) <= n_reports:
            await asyncio.sleep(0.1)

    fleet.run(wait(), 20.0)
    assert not checker.violations, checker.violations


@when("the store comes back from an older copy and a daemon of each build starts again")
def step_restore(context: Context) -> None:
    fleet = context.builds
    world = fleet.world

    async def restore():
        copy = world.store.take_copy()
        context.revoked = world.keys[0]
        await world.revoke_key()
        await asyncio.sleep(CONFIGURED_S)
        context.restored_at = time.monotonic()
        await world.restore_store(copy)
        for daemon in world.daemons[:2]:
            await world.stop_daemon(daemon, signal.SIGKILL)
            await world.start_daemon(daemon)

    fleet.run(restore())


@then("all serve within {seconds:g} s, and a revoked key runs nowhere")
def step_check_restored(context: Context, seconds: float) -> None:
    fleet = context.builds

    async def check():
        while True:
            statuses = []
            for daemon in fleet.world.daemons:
                with contextlib.suppress(OSError):
                    _, answer = await fleet.send(daemon, "read", key=context.revoked)
                    assert answer.status in (401, 503), (daemon.name, answer)
                    _, answer = await fleet.send(daemon, "read")
                    statuses.append(answer.status)
            if statuses == [200] * len(fleet.world.daemons):
                return
            await asyncio.sleep(0.1)

    fleet.run(check(), seconds)
