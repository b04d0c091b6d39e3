"""Steps that run entry daemons against fakes of their platform."""

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass, field

import httptools
import msgspec
from behave import given, then, when
from behave.runner import Context

from berylpost.edge.gossip import Gossip
from berylpost.edge.member import BodyKind
from berylpost.explain import explain_request
from berylpost.fakes.entry_world import API_KEY, HOST, EntryWorld, make_configuration
from berylpost.fakes.replica import N_EVENTS, SIGNATURE

DEADLINE_MS = 1_000
ANSWER_TIMEOUT_S = 10.0


@dataclass
class Answer:
    """An answer as the caller received it."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    closes: bool = False


class Caller:
    """A caller's connection to an entry daemon."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.answers = [Answer()]
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name, value):
        headers = self.answers[-1].headers
        headers[name.decode().lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        self.answers[-1].status = self.parser.get_status_code()

    def on_body(self, body):
        self.answers[-1].body += body

    def on_message_complete(self):
        self.answers[-1].complete = True
        self.answers[-1].closes = not self.parser.should_keep_alive()
        self.answers.append(Answer())

    def send(self, line, request_id, *, key=API_KEY, body=b"", extra_headers=()):
        headers = [f"{line} HTTP/1.1", f"Host: {HOST}"]
        headers += [f"X-Berylpost-Attempt-Id: {request_id}"]
        if not any("Deadline-Ms" in header for header in extra_headers):
            headers += [f"X-Berylpost-Deadline-Ms: {DEADLINE_MS}"]
        if key:
            headers.append(f"Authorization: Bearer {key}")
        headers += extra_headers
        headers.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(headers).encode() + b"\r\n\r\n" + body)

    async def read(self):
        """Reads until another answer is complete or the connection closes."""
        n_known = len(self.answers)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while len(self.answers) == n_known:
                try:
                    data = await self.reader.read(65_536)
                except ConnectionError:
                    data = b""
                if not data:
                    return self.answers[-1]
                self.parser.feed_data(data)
        return self.answers[n_known - 1]

    def close(self):
        self.writer.transport.abort()


async def connect(daemon):
    return Caller(*await asyncio.open_connection(*daemon.settings.front))


async def send_request(daemon, line, request_id, **options):
    """Sends one request on a new connection and returns the answer."""
    caller = await connect(daemon)
    try:
        caller.send(line, request_id, **options)
        return await caller.read()
    finally:
        caller.close()


def first_daemon(context):
    return next(iter(context.world.daemons.values()))


def start_world(context, **options):
    context.world = EntryWorld(**options)
    context.world.__enter__()
    context.add_cleanup(context.world.__exit__)


def make_request_line(kind):
    return f"{'GET' if kind in ('read', 'open') else 'POST'} /{kind}/a"


def wait_for(seconds, check):
    """Waits until a check returns True; fails with its last value otherwise."""
    deadline = time.monotonic() + seconds
    while True:
        value = check()
        if value is True:
            return
        assert time.monotonic() < deadline, value
        time.sleep(0.05)


@given("an entry daemon and two backend servers")
def step_start_one(context: Context) -> None:
    start_world(context)


@given("{n:d} entry daemons with duties")
def step_start_many(context: Context, n: int) -> None:
    start_world(context, n_daemons=n, duties=frozenset({"usage_report", "autoscale"}))


@given('every server\'s fault is "{fault}"')
def step_set_fault(context: Context, fault: str) -> None:
    for replica in context.world.replicas:
        replica.fault = fault


@given('one server\'s fault is "{first}" and the other\'s is "{second}"')
def step_set_faults(context: Context, first: str, second: str) -> None:
    for replica, fault in zip(context.world.replicas, (first, second), strict=True):
        replica.fault = fault


@given("the servers stop a run that is to move without answering the call")
def step_lose_moves(context: Context) -> None:
    for replica in context.world.replicas:
        replica.loses_moves = True


@given("the servers answer moves without a length")
def step_unframe_moves(context: Context) -> None:
    for replica in context.world.replicas:
        replica.unframed_moves = True


@given("every server takes {seconds:f} s for a request")
def step_set_work(context: Context, seconds: float) -> None:
    for replica in context.world.replicas:
        replica.work_s = seconds


@when('a caller sends "{line}" with a body and reserved headers')
def step_send_full(context: Context, line: str) -> None:
    extra_headers = [
        "X-Berylpost-Tenant: somebody",
        "X-Berylpost-Expect-Replica: r-9",
        "X-Berylpost-Hold: 1",
        "Kv-From: 127.0.0.1:1/2",
        "X-Berylpost-Urgency-Class: 0",
        "Connection: keep-alive, X-Own",
        "X-Own: 1",
        "X-Other: kept",
    ]
    context.answer = context.world.run(
        send_request(
            first_daemon(context),
            line,
            "id-1",
            body=b"payload",
            extra_headers=extra_headers,
        )
    )


@then("the answer is 200 with the server's signature and the complete body")
def step_check_full(context: Context) -> None:
    answer = context.answer
    assert answer.status == 200 and answer.complete, answer
    assert answer.headers["x-berylpost-replica-signature"] == SIGNATURE
    assert answer.body == b"echo:payload", answer


def find_received(context):
    received = [s for replica in context.world.replicas for s in replica.received]
    assert len(received) == 1, received
    return received[0]


@then("the server received the same method, path, query and body")
def step_check_same(context: Context) -> None:
    received = find_received(context)
    methods = [m for replica in context.world.replicas for m in replica.methods]
    assert methods == ["POST"], methods
    assert received.target == b"/read/a/b?q=1" and received.body == b"payload", (
        received.target
    )


@then("the server received the customer, the remaining time and its own id")
def step_check_set(context: Context) -> None:
    headers = find_received(context).headers
    assert headers["x-berylpost-tenant"] == "one", headers
    assert 0 < int(headers["x-berylpost-deadline-ms"]) <= DEADLINE_MS, headers
    assert headers["x-berylpost-expect-replica"] in ("r-0", "r-1"), headers
    assert headers["x-other"] == "kept", headers


@then("the server received neither the caller's key nor its reserved headers")
def step_check_dropped(context: Context) -> None:
    headers = find_received(context).headers
    for name in ("authorization", "x-berylpost-hold", "kv-from", "x-own"):
        assert name not in headers, headers
    assert "x-berylpost-urgency-class" not in headers, headers


@when('a caller sends a "{kind}" request')
def step_send_kind(context: Context, kind: str) -> None:
    context.answer = context.world.run(
        send_request(first_daemon(context), make_request_line(kind), "id-1", body=b"x")
    )


def matches_expectation(answer, expected):
    """Tells whether an answer matches the `answer` column of a scenario table."""
    words = expected.split()
    if answer.status != int(words[0]):
        return False
    details = " ".join(words[1:])
    if details == "cut":
        return not answer.complete
    if not answer.complete:
        return False
    if details == "whole":
        return answer.body == b"echo:x"
    if details == "signed":
        signature = answer.headers.get("x-berylpost-replica-signature")
        return signature == SIGNATURE and answer.body == b"failed"
    if details.startswith("events"):
        return answer.body == make_events(N_EVENTS)
    return "x-berylpost-replica-signature" not in answer.headers


def make_events(n_events):
    return b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in range(1, n_events + 1))


@then('its answer is "{expected}" and it ran "{runs}" times')
def step_check_answer(context: Context, expected: str, runs: str) -> None:
    n_runs = sum(replica.runs.total() for replica in context.world.replicas)
    assert matches_expectation(context.answer, expected), context.answer
    assert n_runs == int(runs), n_runs


@when('callers send "{kind}" requests until the first server receives one')
def step_send_until(context: Context, kind: str) -> None:
    context.answers = []
    for number in range(20):
        answer = context.world.run(
            send_request(first_daemon(context), make_request_line(kind), f"id-{number}")
        )
        context.answers.append(answer)
        if context.world.replicas[0].received:
            return
    raise AssertionError("the first server received no request in 20 attempts")


@then("every answer has the events 1 to 8 once each and is complete")
def step_check_events(context: Context) -> None:
    for answer in context.answers:
        assert answer.complete and answer.body == make_events(N_EVENTS), answer


@when('callers send {n:d} "{kind}" requests one after the other')
def step_send_in_turn(context: Context, n: int, kind: str) -> None:
    daemon, line = first_daemon(context), make_request_line(kind)
    context.answers = [
        context.world.run(send_request(daemon, line, f"id-{number}"))
        for number in range(n)
    ]


@then("no answer is complete")
def step_check_no_end(context: Context) -> None:
    for answer in context.answers:
        assert answer.status == 502 or not answer.complete, answer


@when('a caller sends {n:d} "{kind}" requests on one connection')
def step_send_many(context: Context, n: int, kind: str) -> None:
    async def send_many():
        caller = await connect(first_daemon(context))
        answers = []
        for number in range(n):
            caller.send(make_request_line(kind), f"id-{number}", body=b"%d" % number)
            answers.append(await caller.read())
        caller.close()
        return answers

    context.answers = context.world.run(send_many())


@then("each answer belongs to its own request")
def step_check_own(context: Context) -> None:
    for number, answer in enumerate(context.answers):
        assert answer.status == 200, answer
        assert answer.body == b"echo:%d" % number, answer
        assert answer.headers["x-berylpost-attempt-id"] == f"id-{number}", answer


@when('a caller sends a "{kind}" request and disconnects after {seconds:f} s')
def step_send_and_leave(context: Context, kind: str, seconds: float) -> None:
    async def leave():
        caller = await connect(first_daemon(context))
        caller.send(make_request_line(kind), "id-1")
        await asyncio.sleep(seconds)
        n_running = sum(replica.n_running for replica in context.world.replicas)
        caller.close()
        return n_running

    assert context.world.run(leave()) == 1


@then("no server runs it {seconds:f} s later")
def step_check_idle(context: Context, seconds: float) -> None:
    time.sleep(seconds)
    n_running = [replica.n_running for replica in context.world.replicas]
    assert not any(n_running), n_running


@when('a caller sends {n:d} "{kind}" requests at once on one connection')
def step_send_pipelined(context: Context, n: int, kind: str) -> None:
    async def send_pipelined():
        caller = await connect(first_daemon(context))
        for number in range(n):
            caller.send(make_request_line(kind), f"id-{number}", body=b"%d" % number)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while len(caller.answers) <= n:
                await caller.read()
        caller.close()
        return caller.answers[:n]

    context.answers = context.world.run(send_pipelined())


@then("the answers come in the order of the requests")
def step_check_order(context: Context) -> None:
    step_check_own(context)


@when('a caller sends "{line}" with the key "{key}"')
def step_send_key(context: Context, line: str, key: str) -> None:
    context.answer = context.world.run(
        send_request(first_daemon(context), line, "id-1", key=key)
    )


@when('a caller sends "{line}" with the key ""')
def step_send_no_key(context: Context, line: str) -> None:
    step_send_key(context, line, "")


@then("the answer is {status:d}")
def step_check_status(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer


@when("the first server's entry says that it is leaving")
def step_drain(context: Context) -> None:
    world = context.world
    world.run(world.put_replica(world.replicas[0], State="draining"))
    slots = first_daemon(context).table
    wait_for(2.0, lambda: len(slots.list_usable("app")) == 1 or "still two")


@then("only the second server received requests")
def step_check_second(context: Context) -> None:
    first, second = context.world.replicas
    assert not first.received and len(second.received) == 20, len(second.received)


@when("{seconds:f} s pass")
def step_pass(context: Context, seconds: float) -> None:
    time.sleep(seconds)


@then("the servers accepted {n:d} connections")
def step_check_connections(context: Context, n: int) -> None:
    n_connections = sum(replica.n_connections for replica in context.world.replicas)
    assert n_connections == n, n_connections


@when("invalid entries are written next to the servers' own")
def step_bad_entries(context: Context) -> None:
    world = context.world
    valid_spec = {
        **world.replicas[0].spec,
        "Service": "app",
        "Zone": "a",
        "State": "ready",
    }
    missing = [
        {name: value for name, value in valid_spec.items() if name != left_out}
        for left_out in valid_spec
    ]
    wrong = [
        {**valid_spec, "State": "resting"},
        {**valid_spec, "Service": "nobody"},
        {**valid_spec, "Service": 7},
        {**valid_spec, "Slots": "8"},
        {**valid_spec, "Slots": 0},
        {**valid_spec, "Address": "nowhere"},
        {**valid_spec, "Address": "1.2.3.4:99999"},
        {**valid_spec, "ColdLeftMs": "soon"},
        "bytes",
        None,
        [],
    ]

    async def write():
        for number, spec in enumerate([*missing, *wrong]):
            await world.store.put("servers", f"bad-{number}", spec)

    world.run(write())
    time.sleep(0.3)


@then("the daemon knows {n:d} backend servers")
def step_check_known(context: Context, n: int) -> None:
    known = first_daemon(context).table.records
    assert len(known) == n, sorted(known)


def write_without_keys(context):
    spec = make_configuration(2, Tenants=[{"Name": "one", "ApiKeys": []}])
    context.world.run(context.world.put_configuration(spec))


@when("a configuration without keys is written")
def step_revoke(context: Context) -> None:
    write_without_keys(context)


@when("the store drops its history and a configuration without keys is written")
def step_drop_history(context: Context) -> None:
    context.world.store.server.faults.refuse = 2
    write_without_keys(context)
    context.world.store.compact_history()


def request_status(context, daemon, kind):
    answer = context.world.run(send_request(daemon, make_request_line(kind), "id-9"))
    return answer.status


@then('within {seconds:g} s a caller\'s "{kind}" request is answered {status:d}')
def step_check_within(context: Context, seconds: float, kind: str, status: int) -> None:
    daemon = first_daemon(context)

    def check():
        got = request_status(context, daemon, kind)
        return got == status or got

    wait_for(seconds, check)


@when("the store is down for {seconds:f} s")
def step_store_down(context: Context, seconds: float) -> None:
    context.world.store.server.faults.down = True
    time.sleep(seconds)


@then('a caller\'s "{kind}" request is answered {status:d} in the end')
@then('a caller\'s "{kind}" request is answered {status:d}')
def step_check_kind(context: Context, kind: str, status: int) -> None:
    got = request_status(context, first_daemon(context), kind)
    assert got == status, got


@when('a caller sends a "{kind}" request and the daemon is told to stop meanwhile')
def step_stop_meanwhile(context: Context, kind: str) -> None:
    daemon = first_daemon(context)

    async def send():
        caller = await connect(daemon)
        caller.send(make_request_line(kind), "id-1")
        await asyncio.sleep(0.2)
        leaving = asyncio.create_task(daemon.leave())
        await asyncio.sleep(0)
        context.ready_meanwhile = daemon.is_ready
        answer = await caller.read()
        with contextlib.suppress(asyncio.CancelledError):
            await leaving
        return answer

    context.answer = context.world.run(send())


@then("that answer is 200 and closes the connection")
def step_check_last(context: Context) -> None:
    assert context.answer.status == 200 and context.answer.complete, context.answer
    assert context.answer.closes, context.answer


@then("the daemon is not ready while it leaves")
def step_check_not_ready(context: Context) -> None:
    assert context.ready_meanwhile is False


@when("a caller sends a malformed request")
def step_send_malformed(context: Context) -> None:
    async def send():
        caller = await connect(first_daemon(context))
        caller.writer.write(b"GET /read/a HTTP/1.1\r\nHost: a\r\nBad Header\r\n\r\n")
        return await caller.read()

    context.answer = context.world.run(send())


@then("the servers received no request")
def step_check_nothing(context: Context) -> None:
    assert not any(replica.received for replica in context.world.replicas)


# Steps with several daemons.


@when("the store refuses the first daemon and a configuration without keys is written")
def step_refuse_one(context: Context) -> None:
    refused = first_daemon(context).settings.ip
    context.world.store.server.refused_ips.add(refused)
    write_without_keys(context)


@then(
    'within {seconds:g} s the first daemon answers a "{kind}" request with {status:d}'
)
def step_check_first(context: Context, seconds: float, kind: str, status: int) -> None:
    step_check_within(context, seconds, kind, status)


def count_directory_addresses(context, daemon):
    async def read():
        reader, writer = await asyncio.open_connection(*daemon.settings.directory)
        caller = Caller(reader, writer)
        target = f"/v1/resolve?Name={HOST}&Region=here&Zone=a"
        writer.write(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        answer = await caller.read()
        caller.close()
        return answer.body.count(b":") - 2

    return context.world.run(read())


@then("the directory of each daemon lists {n:d} addresses")
def step_check_directories(context: Context, n: int) -> None:
    for daemon in context.world.daemons.values():

        def check(daemon=daemon):
            found = count_directory_addresses(context, daemon)
            return found == n or found

        wait_for(2.0, check)


@when("the first daemon is told to stop")
def step_stop_first(context: Context) -> None:
    daemon = first_daemon(context)
    asyncio.run_coroutine_threadsafe(daemon.leave(), context.world.loop)


@then("within {seconds:g} s the directory of the second daemon lists {n:d} addresses")
def step_check_directory(context: Context, seconds: float, n: int) -> None:
    daemon = list(context.world.daemons.values())[1]

    def check():
        found = count_directory_addresses(context, daemon)
        return found == n or found

    wait_for(seconds, check)


def find_holder(context):
    found = []

    def check():
        found[:] = [
            number
            for number, daemon in enumerate(context.world.daemons.values())
            if daemon.duties.lease.is_held()
        ]
        return len(found) == 1 or found

    wait_for(10.0, check)
    return list(context.world.daemons.values())[found[0]]


def kill_daemon(context, daemon):
    async def kill():
        daemon.kill()

    context.world.run(kill())
    del context.world.daemons[daemon.settings.name]


@when('each daemon gets {n:d} "{kind}" requests and the duty holder is killed')
def step_use_and_kill(context: Context, n: int, kind: str) -> None:
    holder = find_holder(context)

    async def send_all():
        for daemon in context.world.daemons.values():
            for number in range(n):
                await send_request(
                    daemon, make_request_line(kind), f"{daemon.settings.name}-{number}"
                )
        await asyncio.sleep(0.6)

    context.world.run(send_all())
    kill_daemon(context, holder)


@then(
    "within {seconds:g} s the reports sum to {n:d} requests "
    "and no duty holder breaks a rule"
)
def step_check_reports(context: Context, seconds: float, n: int) -> None:
    checker = context.world.duty_api.checker

    def check():
        total = sum(sum(counts.values()) for counts in checker.reports.values())
        return total == n or checker.reports

    wait_for(seconds, check)
    assert not checker.violations, checker.violations


@when("the duty holder is killed three times")
def step_kill_holders(context: Context) -> None:
    world = context.world
    for _ in range(3):
        holder = find_holder(context)
        number = int(holder.settings.name.rpartition("-")[2])
        time.sleep(0.5)
        kill_daemon(context, holder)
        time.sleep(0.3)
        world.run(world.start_daemon(number))
    find_holder(context)


@then("no duty holder breaks a rule")
def step_check_violations(context: Context) -> None:
    checker = context.world.duty_api.checker
    assert not checker.violations, checker.violations


@when(
    "a customer with {rate:d} requests a second and a burst of {burst:d} "
    "asks for {asked:d} a second for {seconds:d} s"
)
def step_exceed_quota(
    context: Context, rate: int, burst: int, asked: int, seconds: int
) -> None:
    world = context.world
    tenant = {"Name": "one", "ApiKeys": [API_KEY], "RatePerS": rate, "Burst": burst}
    world.run(world.put_configuration(make_configuration(2, Tenants=[tenant])))
    time.sleep(1.0)

    async def send_all():
        daemons = list(world.daemons.values())
        callers = [await connect(daemon) for daemon in daemons]
        began_at = time.monotonic()
        number = 0
        while time.monotonic() - began_at < seconds:
            for caller in callers:
                number += 1
                caller.send(make_request_line("read"), f"q-{number}")
                await caller.read()
            ahead_s = number / asked - (time.monotonic() - began_at)
            await asyncio.sleep(max(0.0, ahead_s))
        for caller in callers:
            caller.close()

    world.run(send_all())


@then("between {least:d} and {most:d} of its requests ran")
def step_check_ran(context: Context, least: int, most: int) -> None:
    n_ran = sum(len(replica.runs) for replica in context.world.replicas)
    assert least <= n_ran <= most, n_ran


@when("the first server's entry is removed")
def step_remove_first(context: Context) -> None:
    world = context.world
    table = first_daemon(context).table
    context.state_before = first_daemon(context).catalogue.export_state()
    world.run(world.store.remove("servers", world.replicas[0].id))
    wait_for(2.0, lambda: len(table.records) == 1 or "still two")


@when("the daemon merges a peer's state from before that, but with a later change")
def step_merge_old_state(context: Context) -> None:
    catalogue = first_daemon(context).catalogue
    before = context.state_before
    later = before["revision"] + 10
    spec = {**context.world.replicas[1].spec, "Service": "app", "Zone": "a"}
    spec |= {"State": "ready", "Address": "127.0.0.1:9"}
    state = {
        **before,
        "revision": later,
        "entries": [*before["entries"], ["r-later", later, spec]],
    }

    async def import_state():
        catalogue.import_state(state)

    context.world.run(import_state())


@then("the daemon knows only the second server and the later one")
def step_check_merged(context: Context) -> None:
    known = sorted(first_daemon(context).table.records)
    assert known == ["r-1", "r-later"], known


@when(
    'a caller\'s "{kind}" request runs and its server announces that it leaves '
    "in {seconds:f} s"
)
def step_reclaim(context: Context, kind: str, seconds: float) -> None:
    world = context.world

    async def send():
        caller = await connect(first_daemon(context))
        caller.send(make_request_line(kind), "id-1")
        await asyncio.sleep(0.08)
        runs = [replica for replica in world.replicas if replica.runs]
        await world.put_replica(
            runs[0], State="draining", Spot=True, leaves_ms=seconds * 1_000
        )
        answer = await caller.read()
        caller.close()
        return answer

    context.answer = world.run(send())


@then("the caller receives the events 1 to 8 once each and the end of the stream")
def step_check_moved(context: Context) -> None:
    answer = context.answer
    assert answer.complete and answer.body == make_events(N_EVENTS), answer


@then("the other server continued from the moved request's cache")
def step_check_cache(context: Context) -> None:
    received = [s for r in context.world.replicas for s in r.received if r.runs]
    kv_sources = [s.headers.get("kv-from", "") for s in received]
    assert sorted(bool(source) for source in kv_sources)[-1], kv_sources
    assert max(kv_sources).endswith("/h1"), kv_sources


@then("a state with the same entries and a higher revision changes nothing")
def step_check_no_change(context: Context) -> None:
    catalogue = first_daemon(context).catalogue
    state = catalogue.export_state()
    state["revision"] += 100

    async def import_state():
        return catalogue.import_state(state)

    assert context.world.run(import_state()) is False


SAMPLE_LOG = """\
time=2026-10-01 03:32:40,000 level=INFO part=a event=backend_gone backend=i-2
time=2026-10-01 03:32:49,000 level=INFO part=a event=backend_gone backend=i-3
time=2026-10-01 03:32:50,000 level=INFO part=a event=backend_leaving backend=i-1 goes_in_s=2
time=2026-10-01 03:32:51,000 level=INFO part=a event=request id=other outcome=answered backend=i-1
time=2026-10-01 03:32:52,204 level=INFO part=a event=request id=9edf outcome=answer_cut detail="stream broke" backend=i-1 tried="" total_s=1.5
not a log line of the daemon
"""  # noqa: E501


@then(
    "in the log of an interrupted stream the id finds the events of the leaving server"
)
def step_check_explained(context: Context) -> None:
    found = explain_request(SAMPLE_LOG.splitlines(), "9edf")
    events = [line.split("event=")[1].split()[0] for line in found]
    assert events == ["backend_leaving", "request"], found


@then("an unknown id finds no events")
def step_check_unexplained(context: Context) -> None:
    assert not explain_request(SAMPLE_LOG.splitlines(), "none")


@when(
    "the daemon is told to stop and a caller on an open connection sends a "
    '"{kind}" request'
)
def step_send_while_leaving(context: Context, kind: str) -> None:
    daemon = first_daemon(context)

    async def send():
        caller = await connect(daemon)
        leaving = asyncio.create_task(daemon.leave())
        # The time left to shut down is then below the route's timeout.
        await asyncio.sleep(1.6)
        caller.send(make_request_line(kind), "id-1")
        answer = await caller.read()
        await leaving
        return answer

    context.answer = context.world.run(send())


@then("no server received a request and the answer closes the connection")
def step_check_refused(context: Context) -> None:
    step_check_nothing(context)
    assert context.answer.closes, context.answer


@when(
    "the store is down for {seconds:f} s and returns without the first server's entry"
)
def step_return_without_entry(context: Context, seconds: float) -> None:
    world = context.world
    world.store.server.faults.down = True
    time.sleep(seconds)
    world.run(world.store.remove("servers", world.replicas[0].id))
    world.store.server.faults.down = False


@when(
    "the store refuses the watching daemons for {seconds:d} s and then the first "
    "server's entry is removed"
)
def step_refuse_watching(context: Context, seconds: int) -> None:
    world = context.world
    time.sleep(3.0)  # until the first watchers no longer change
    watchers = [d for d in world.daemons.values() if d.watch.is_served]
    assert 0 < len(watchers) < len(world.daemons), len(watchers)
    world.store.server.refused_ips = {d.settings.ip for d in watchers}
    time.sleep(seconds)
    world.store.server.refused_ips = set()
    # The refused daemons watch again after this; a grace period of their own would
    # still run.
    time.sleep(1.5)
    world.run(world.store.remove("servers", world.replicas[0].id))


@then("within {seconds:g} s no daemon knows the first server")
def step_check_none_knows(context: Context, seconds: float) -> None:
    removed = context.world.replicas[0].id

    def check():
        left = [
            n for n, d in context.world.daemons.items() if removed in d.table.records
        ]
        return not left or left

    wait_for(seconds, check)


@when("a peer echoes a stamp of the daemon's previous start, far ahead of its clock")
def step_old_stamp(context: Context) -> None:
    daemon = first_daemon(context)
    progress, _ = daemon._read_progress()
    number, configuration = progress.configuration
    gossip = Gossip(
        name="entry-9",
        incarnation=1,
        ip="127.0.0.1",
        zone="a",
        stamp=5.0,
        echo=1e9,
        echo_incarnation=daemon.members.incarnation - 1,
        wall=time.time(),
        leaving=False,
        ready=True,
        configuration_revision=configuration,
        confirmation_age=-1e6,
        backends_revision=progress.backends_revision,
        backends_digest=progress.backends_digest,
        watch_served=False,
        introduced=(),
        body=msgspec.Raw(daemon._encode_gossip_body(BodyKind.WHOLE)),
        configuration_number=number,
        store_era=progress.era,
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        data = msgspec.msgpack.encode(gossip)
        sock.sendto(data, tuple(daemon.settings.peer))
    time.sleep(0.3)
    assert "entry-9" in daemon.members.members


@then("the configuration's confirmation is not in the future")
def step_check_confirmation(context: Context) -> None:
    age_s = first_daemon(context).catalogue.read_confirmation_age()
    assert age_s >= 0, age_s


@then(
    'within {seconds:g} s without the store a caller\'s "{kind}" request is answered '
    "{status:d}"
)
def step_check_unconfirmed(
    context: Context, seconds: float, kind: str, status: int
) -> None:
    context.world.store.server.faults.down = True
    step_check_within(context, seconds, kind, status)


@then("the metrics have 1 answered idempotent request and 2 backends")
def step_check_metrics(context: Context) -> None:
    daemon = first_daemon(context)

    async def read():
        reader, writer = await asyncio.open_connection(*daemon.settings.metrics)
        caller = Caller(reader, writer)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n")
        answer = await caller.read()
        caller.close()
        return answer.body.decode()

    text = context.world.run(read())
    assert 'berylpost_edge_requests{outcome="answered",kind="idempotent"}' in text
    assert "berylpost_edge_backends 2" in text, text


@when("the cloud API is down for {seconds:d} s")
def step_cloud_down(context: Context, seconds: int) -> None:
    context.holder = find_holder(context)
    context.world.duty_api.server.faults.down = True
    # A daemon that gives up its hold when its calls get no answer would do so in this
    # time, and another daemon would then hold the duties.
    time.sleep(seconds)


@then("the same daemon holds the duties as before")
def step_check_holder(context: Context) -> None:
    holder = find_holder(context)
    fences = {d.duties.lease.fence for d in context.world.daemons.values()}
    assert holder is context.holder and len(fences - {0}) == 1, fences
