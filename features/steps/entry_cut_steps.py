"""Steps for daemons whose links to backend servers are cut."""

import asyncio
import itertools
import time
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from steps.entry_limit_steps import list_daemons
from steps.entry_steps import make_events, make_request_line, send_request

from berylpost.edge import paths, tunnel_server
from berylpost.edge.tunnels import attach_to_tunnel
from berylpost.fakes.links import LinkFault
from berylpost.fakes.replica import N_EVENTS

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


async def _cut_started(context, fault):
    """Starts a third daemon anew that cannot reach any server from its start."""
    name = "entry-0"
    context.world.daemons.pop(name).kill()
    for replica in context.world.replicas:
        context.world.loop.cut(name, replica.ip, LinkFault(fault))
    await context.world.start_daemon(0)
    await asyncio.sleep(1.0)


@when('a daemon is {what} with the fault "{fault}"')
def step_cut_one(context: Context, what: str, fault: str) -> None:
    replicas = context.world.replicas
    if "started" in what:
        context.world.run(_cut_started(context, fault))
    else:
        only = "first" in what or "only" in what
        cut_daemons(context, ["entry-0"], fault, replicas[:1] if only else replicas)
    if "killed" in what:
        context.world.run(send_all(context, 1), timeout_s=30)

        async def kill():
            context.world.daemons.pop("entry-1").kill()

        context.world.run(kill())
    context.cut = ["entry-0"]


@then("the requests were refused as not run within {seconds:g} s")
def step_check_refused(context: Context, seconds: float) -> None:
    for record in context.records:
        assert record.answer.status == 503, record
        assert b'"not_run"' in record.answer.body, record
        assert float(record.answer.headers["retry-after"]) > 0, record
        assert record.took_s < seconds, record


@when("the links are healed")
def step_heal(context: Context) -> None:
    heal_daemons(context, context.cut)


def count_relayed(context):
    return sum(d.paths.n_relayed for d in context.world.daemons.values())


@then("the latter requests opened no connection through a peer")
def step_check_home(context: Context) -> None:
    before = count_relayed(context)
    context.world.run(send_all(context, 2), timeout_s=30)
    assert count_relayed(context) == before
    assert not any(d.paths.n_cut for d in context.world.daemons.values())


@when("all servers end")
def step_end_servers(context: Context) -> None:
    async def end():
        for replica in context.world.replicas:
            await replica.stop()

    context.world.run(end())


@then("no daemon takes a link for cut")
def step_check_no_verdict(context: Context) -> None:
    assert context.records and not any(record.ok for record in context.records)
    for daemon in context.world.daemons.values():
        assert not daemon.paths.n_cut and not daemon.members.is_cut_off


@when("all servers reset new connections for {part:d} of each {whole:d} ms")
def step_reset_some(context: Context, part: int, whole: int) -> None:
    world = context.world
    context.cuts, context.resets = [], []

    async def toggle():
        while True:
            for resets, duration_ms in ((True, part), (False, whole - part)):
                for replica in world.replicas:
                    replica.resets_new = resets
                await asyncio.sleep(duration_ms / 1_000)

    async def start():
        for replica in world.replicas:
            replica.fault = "closing"  # each request needs a new connection
        for daemon in world.daemons.values():
            note_race = daemon.paths._note_race

            def note(server, race, path, note_race=note_race, daemon=daemon):
                if path is not None and path.peer:
                    context.resets.append(race.direct_result)
                note_race(server, race, path)
                context.cuts += [server.id] * daemon.paths.is_cut(server.id)

            daemon.paths._note_race = note
        return asyncio.ensure_future(toggle())

    task = world.run(start())
    context.add_cleanup(world.loop.call_soon_threadsafe, task.cancel)


@then("some are reset and opened through a peer, and no link counts as cut")
def step_check_uncut(context: Context) -> None:
    assert paths.ProbeResult.RESET in context.resets, "no reset was followed by a peer"
    assert not context.cuts, len(context.cuts)


async def start_streams(daemon, n):
    tasks = []
    for _ in range(n):
        attempt = f"cut-{next(_numbers)}"
        extra = ["X-Berylpost-Prompt-Prefix: shared:50,own:5"]
        line = make_request_line("stream")
        request = send_request(daemon, line, attempt, extra_headers=extra)
        tasks.append(asyncio.ensure_future(request))
    await asyncio.sleep(0.1)
    return tasks


@when("the links of a daemon are reset while {n:d} streams run")
def step_reset_streams(context: Context, n: int) -> None:
    async def reset():
        tasks = await start_streams(context.world.daemons["entry-0"], n)
        for replica in context.world.replicas:
            context.world.loop.cut("entry-0", replica.ip, LinkFault.RESET)
        return await asyncio.gather(*tasks)

    context.answers = context.world.run(reset())


@then("all streams came whole and in order")
def step_check_whole(context: Context) -> None:
    for answer in context.answers:
        assert answer.status == 200 and answer.complete, answer
        assert answer.body == make_events(N_EVENTS), answer


@then("nothing is held back")
def step_check_holds(context: Context) -> None:
    time.sleep(1.0)
    held = [d.quarantine.n_held for d in context.world.daemons.values()]
    assert not any(held), held


@when("callers of a cut daemon leave in the middle of {n:d} streams")
def step_leave(context: Context, n: int) -> None:
    async def leave():
        tasks = await start_streams(context.world.daemons[context.cut[0]], n)
        assert sum(replica.n_running for replica in context.world.replicas) == n
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        await asyncio.sleep(0.1)

    context.world.run(leave())


@then("the servers run nothing {seconds:g} s later")
def step_check_idle(context: Context, seconds: float) -> None:
    # The streams would still run for a tenth of a second.
    running = [replica.n_running for replica in context.world.replicas]
    assert not any(running), running


@when("the other daemon is stopped while {n:d} streams run at the cut one")
def step_stop_peer(context: Context, n: int) -> None:
    async def stop():
        daemons = context.world.daemons
        tasks = await start_streams(daemons["entry-0"], n)
        assert daemons["entry-1"].paths.tunnels.n_open
        await daemons.pop("entry-1").leave()
        return await asyncio.gather(*tasks)

    context.answers = context.world.run(stop())


@given("servers reset what a peer connects as soon as it is open")
def step_reset_far(context: Context) -> None:
    connect = tunnel_server._connect

    async def connect_and_reset(address):
        outcome, side = await connect(address)
        side.transport.abort()
        await asyncio.sleep(0.01)
        return outcome, side

    tunnel_server._connect = connect_and_reset
    context.add_cleanup(setattr, tunnel_server, "_connect", connect)


@when("{who} asks a daemon for a connection")
def step_ask(context: Context, who: str) -> None:
    first, second = list_daemons(context)
    replica = context.world.replicas[0]
    address = f"{replica.ip}:{replica.port + ('unknown' in who)}"
    local = None if "stranger" in who else (second.settings.ip, 0)

    async def ask():
        reader, writer = await asyncio.open_connection(
            *first.settings.tunnels, local_addr=local
        )
        head = f"CONNECT {address} HTTP/1.1\r\nHost: {replica.id}\r\n\r\n"
        writer.write(head.encode())
        context.line = (await reader.readline()).decode().strip()
        writer.close()

    context.world.run(ask())


@then('the answer to it begins with "{answer}"')
def step_check_line(context: Context, answer: str) -> None:
    assert context.line.startswith(answer), context.line


class _User(asyncio.Protocol):
    """Records what a tunnel brings."""

    def __init__(self):
        self.data = b""
        self.closed = self.reset = False

    def data_received(self, data):
        self.data += data

    def eof_received(self):
        self.closed = True

    def connection_lost(self, exc):
        self.reset = exc is not None


class _TunnelTransport:
    """Takes the protocol that is set and is closed by it."""

    def set_protocol(self, protocol):
        self.protocol = protocol

    def close(self):
        pass

    abort = close


@then('frames "{text}" of a tunnel that then ends give "{data}" and {end}')
@then('frames "{text}" of a tunnel that then ends give "" and {end}')
def step_check_frames(context: Context, text: str, end: str, data: str = "") -> None:
    received = bytes.fromhex(text if len(text) % 2 == 0 else text + "0")
    for cut_at in range(len(received) + 1):
        user, transport = _User(), _TunnelTransport()
        attach_to_tunnel(transport, user)
        transport.protocol.data_received(received[:cut_at])
        transport.protocol.data_received(received[cut_at:])
        transport.protocol.connection_lost(None)
        assert user.data == data.encode(), (cut_at, user.data)
        assert user.closed == (end == "a close"), (cut_at, end)
        assert user.reset == (end == "a reset"), (cut_at, end)


@when("each connection to a server is reset as soon as it is open")
def step_reset_at_once(context: Context) -> None:
    open_direct = paths.open_direct

    async def open_and_reset(address, timeout_s):
        path = await open_direct(address, timeout_s)
        path.transport.abort()
        await asyncio.sleep(0)
        return path

    paths.open_direct = open_and_reset
    context.add_cleanup(setattr, paths, "open_direct", open_direct)


@then("{n:d} requests at once get no answer with status {status:d}")
def step_check_no_status(context: Context, n: int, status: int) -> None:
    async def send():
        daemons = list_daemons(context)
        requests = [
            send_request(daemons[k % 2], make_request_line("read"), f"reset-{k}")
            for k in range(n)
        ]
        return await asyncio.gather(*requests)

    statuses = Counter(a.status for a in context.world.run(send(), timeout_s=60))
    assert statuses and not statuses[status], statuses


@when('a server is silent for {seconds:g} s while callers send "read"')
def step_silence(context: Context, seconds: float) -> None:
    world = context.world
    replica = world.replicas[0]

    async def play():
        sends = asyncio.ensure_future(send_all(context, seconds + 2.5, ("read",)))
        await asyncio.sleep(0.5)
        world.loop.cut("entry-0", replica.ip, LinkFault.HANG)
        await asyncio.sleep(seconds)
        world.loop.heal("entry-0", replica.ip)
        context.heard_at = time.monotonic()
        return await sends

    context.records = world.run(play(), timeout_s=seconds + 30)


@then("it gets requests again within {seconds:g} s")
def step_check_back(context: Context, seconds: float) -> None:
    # Those that were held back arrive at once.
    since = context.heard_at + 0.1
    times = [at for at in context.world.replicas[0].received_at if at > since]
    assert times and times[0] < context.heard_at + seconds, (times, context.heard_at)


@then("the callers' requests were answered")
def step_check_all_served(context: Context) -> None:
    failed = [r.answer.status for r in context.records if not r.ok]
    assert len(failed) <= 0.05 * len(context.records), failed
