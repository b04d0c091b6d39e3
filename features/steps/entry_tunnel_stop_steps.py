"""Steps for planned stops of two daemons of which one passes connections on.

`behave -D build=COMMIT` runs them against the daemons of an earlier commit.
"""

import asyncio
import contextlib
import itertools
import socket
import time
from collections import Counter
from dataclasses import dataclass

from behave import given, then, when
from behave.runner import Context
from steps.entry_process import GRACE_S, ROOT
from steps.entry_processes import EntryProcesses
from steps.entry_steps import Caller, make_request_line

from berylpost.edge.model import Endpoint
from berylpost.edge.tunnel_server import TunnelEnd
from berylpost.edge.tunnels import render_request
from berylpost.fakes.entry_world import make_configuration, make_route
from soak.builds import extract_build

ASKING, PASSING, OTHER = range(3)
ZONES = ("a", "a", "b")  # servers are in "a", so the second daemon is asked first
SLOW_S = 3.0  # from a request to its answer, well below the grace
ANSWER_BYTES = 3_900_000
BODY_BYTES = 1_000_000
RECEIVE_BYTES = 4_096
DEADLINE_MS = 12_000
# The shortest time from SIGTERM to the end of a daemon that has nothing to do.
ENDS_AFTER_S = 4.5
PAUSE_S = 0.6  # for which the processor is taken away around that time
N_ASKERS = 20
N_CALLERS = 3  # of each phase
LOAD_PAUSE_S = 0.02
KEPT_PAUSE_S = 0.1
START_S = 10.0
_numbers = itertools.count()


# The attributes of the servers while requests with a late answer are sent.
SLOW = {"work_s": SLOW_S, "first_event_s": SLOW_S}


@dataclass(frozen=True, kw_only=True)
class Phase:
    """What is under way when daemons are stopped.

    Attributes:
        kind: kind of the requests' route.
        servers: attributes of the servers while the requests are sent.
        body_bytes: size of each request's body, of which its answer is an echo.
        answer_bytes: the least size of each answer.
        reads_after_s: how long callers wait before they read.
    """

    kind: str
    servers: dict[str, float]
    body_bytes: int = 1
    answer_bytes: int = 0
    reads_after_s: float = 0.0


PHASES = {
    "sent, no answer": Phase(kind="slow", servers=SLOW),
    "stream begins late": Phase(kind="events", servers=SLOW),
    "large answer comes late": Phase(
        kind="slow", servers=SLOW, body_bytes=BODY_BYTES, answer_bytes=BODY_BYTES
    ),
    "large answer is read late": Phase(
        kind="slow",
        servers={"answer_bytes": ANSWER_BYTES},
        answer_bytes=ANSWER_BYTES,
        reads_after_s=5.0,
    ),
}

ROLL = "all stop and start again in turn"
# Seconds after the first signal, daemon, signal.
ENDINGS = {
    "the passing one stops": ((0.0, PASSING, "TERM"),),
    "the asking one stops": ((0.0, ASKING, "TERM"),),
    "both stop at once": ((0.0, ASKING, "TERM"), (0.0, PASSING, "TERM")),
    "all stop at once": tuple((0.0, n, "TERM") for n in (ASKING, PASSING, OTHER)),
    "the asking one stops 1 s after the passing one": (
        (0.0, PASSING, "TERM"),
        (1.0, ASKING, "TERM"),
    ),
    "the passing one stops 0.5 s after the asking one": (
        (0.0, ASKING, "TERM"),
        (0.5, PASSING, "TERM"),
    ),
    "the passing one stops and is paused around its end": (
        (0.0, PASSING, "TERM"),
        (4.2, PASSING, "STOP"),
        (4.8, PASSING, "CONT"),
    ),
    "the passing one stops while the asking one is paused": (
        (0.0, ASKING, "STOP"),
        (0.02, PASSING, "TERM"),
        (1.5, ASKING, "CONT"),
        (4.2, ASKING, "STOP"),
        (4.8, ASKING, "CONT"),
    ),
}


def make_routes():
    return [
        make_route("read", "idempotent", TimeoutMs=4_000),
        make_route("book", "non_idempotent", MaxAttempts=1, TimeoutMs=4_000),
        make_route("slow", "non_idempotent", MaxAttempts=1, TimeoutMs=10_000),
        make_route("events", "streaming", MaxAttempts=1, TimeoutMs=10_000),
    ]


class NotConnectedError(Exception):
    """A caller got no connection, so that it has sent nothing."""


class Calls:
    """Callers of the asking daemon, and how their requests ended.

    Attributes:
        ends: number of requests by phase and how they ended.
    """

    def __init__(self, world):
        self.world = world
        self.front = world.make_settings(ASKING).front
        self.ends = Counter()
        self.ended = False

    async def connect(self, receive_bytes=0):
        """Opens a connection.

        Raises:
            NotConnectedError: it was refused, or reset before anything was sent.
        """
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        try:
            await asyncio.get_running_loop().sock_connect(sock, tuple(self.front))
            return Caller(*await asyncio.open_connection(sock=sock, limit=1_024))
        except (ConnectionRefusedError, ConnectionResetError) as error:
            sock.close()
            raise NotConnectedError from error

    def send(self, caller, kind, n_bytes=1):
        line = f"POST /{kind}/a" if kind == "events" else make_request_line(kind)
        deadline = f"X-Berylpost-Deadline-Ms: {DEADLINE_MS}"
        name = f"tunnel-{next(_numbers)}"
        body = b"x" * n_bytes
        caller.send(line, name, body=body, extra_headers=(deadline,))

    async def read(self, caller, phase, n_bytes=0):
        """Reads an answer; returns whether the connection may be used again."""
        try:
            answer = await caller.read()
        except TimeoutError:
            answer = caller.answers[-1]
        self.ends[phase, describe(answer, n_bytes)] += 1
        return answer.complete and not answer.closes

    async def play(self, name, phase):
        """Sends a request of a phase and reads the answer when it is time."""
        caller = await self.connect(RECEIVE_BYTES if phase.reads_after_s else 0)
        self.send(caller, phase.kind, phase.body_bytes)
        if phase.reads_after_s:
            caller.reader._transport.pause_reading()
            await asyncio.sleep(phase.reads_after_s)
            caller.reader._transport.resume_reading()
        await self.read(caller, name, phase.answer_bytes)
        caller.close()

    async def call_anew(self):
        """Sends requests on new connections, so that new ones are passed on."""
        for kind in itertools.cycle(("read", "book")):
            if self.ended:
                return
            with contextlib.suppress(NotConnectedError):
                caller = await self.connect()
                self.send(caller, kind)
                await self.read(caller, f"new {kind}")
                caller.close()
            await asyncio.sleep(LOAD_PAUSE_S)

    async def call_again(self):
        """Sends requests on a connection that is kept as long as it may be."""
        caller = None
        while not self.ended:
            with contextlib.suppress(NotConnectedError):
                caller = caller or await self.connect()
                self.send(caller, "book")
                if not await self.read(caller, "kept book"):
                    caller.close()
                    caller = None
            await asyncio.sleep(KEPT_PAUSE_S)


def describe(answer, n_bytes):
    """Says how a request ended; refused ones are told to be not run."""
    if not answer.complete:
        return f"no answer (status {answer.status}, {len(answer.body)} bytes)"
    if answer.status == 503 and b'"not_run"' in answer.body:
        return "refused"
    if answer.status == 200 and len(answer.body) >= n_bytes:
        return "answered"
    return f"status {answer.status}, {len(answer.body)} bytes"


@given("3 entry daemon processes, the first cut off from all servers")
def step_start(context: Context) -> None:
    commit = context.config.userdata.get("build")
    context.world = EntryProcesses(
        zones=ZONES,
        configuration=make_configuration(Routes=make_routes()),
        build=extract_build(commit) if commit else ROOT,
    )
    context.add_cleanup(context.world.__exit__)
    context.world.__enter__()
    context.calls = Calls(context.world)
    context.stopped = []
    context.world.cut(ASKING)
    context.world.run(await_served(context.world))


async def await_served(world):
    """Waits until the asking daemon serves its callers through the passing one."""
    calls = Calls(world)
    async with asyncio.timeout(START_S):
        while f"peer=entry-{PASSING}" not in world.logs[ASKING].read_text():
            caller = await calls.connect()
            calls.send(caller, "read")
            await calls.read(caller, "first")
            caller.close()


@when("requests in all phases are passed on by the second one")
def step_begin(context: Context) -> None:
    context.world.run(begin(context))


async def begin(context):
    calls, replicas = context.calls, context.world.replicas
    context.tasks = []
    grouped = itertools.groupby(PHASES.items(), lambda item: item[1].servers)
    for attributes, group in grouped:
        before = [(r, name, getattr(r, name)) for r in replicas for name in attributes]
        for replica, name, _ in before:
            setattr(replica, name, attributes[name])
        plays = [calls.play(*item) for item in group for _ in range(N_CALLERS)]
        context.tasks += [asyncio.ensure_future(play) for play in plays]
        await asyncio.sleep(0.4)
        for replica, name, value in before:
            setattr(replica, name, value)
    loads = [calls.call_anew(), *(calls.call_again() for _ in range(N_CALLERS))]
    context.tasks += [asyncio.ensure_future(load) for load in loads]
    await asyncio.sleep(0.2)


@when("then {ending}")
def step_end(context: Context, ending: str) -> None:
    if ending == ROLL:
        roll(context)
    else:
        play_ending(context, ENDINGS[ending])

    async def end():
        context.calls.ended = True
        await asyncio.gather(*context.tasks)

    context.world.run(end())


def roll(context):
    for number in (OTHER, PASSING, ASKING):
        stop(context, number)
        assert context.world.processes[number].wait(GRACE_S) == 0
        context.world.start_process(number)
        context.world.await_ready(number)


def play_ending(context, orders):
    began_at = time.monotonic()
    for after_s, number, name in orders:
        time.sleep(max(0.0, began_at + after_s - time.monotonic()))
        if name == "TERM":
            stop(context, number)
        else:
            context.world.send_signal(number, name)
    for number in context.stopped:
        assert context.world.processes[number].wait(GRACE_S) == 0


def stop(context, number):
    context.world.send_signal(number, "TERM")
    context.stopped.append(number)


@then("each request ends with its answer, or is refused as not run")
def step_check(context: Context) -> None:
    ends = context.calls.ends
    lost = {k: n for k, n in ends.items() if k[1] not in ("answered", "refused")}
    logs = [log.read_text()[-1_500:] for log in context.world.logs.values()]
    assert not lost, (lost, dict(ends), *logs)
    for name in PHASES:
        assert ends[name, "answered"] == N_CALLERS, (name, dict(ends), *logs)
    for name in ("kept book", "new read", "new book"):
        assert ends[name, "answered"], dict(ends)


@then("the daemons that were stopped passed nothing on at their end")
def step_check_end(context: Context) -> None:
    for number in context.stopped:
        log = context.world.logs[number].read_text()
        line = next(x for x in log.splitlines() if "event=callers_left" in x)
        assert " n_passed_on=0" in line, log[-1_500:]


def ask(context):
    """Asks the passing daemon for a connection to a server, as the asking one would."""
    world, replica = context.world, context.world.replicas[0]
    peer = world.make_settings(PASSING).peer
    sock = socket.socket()
    context.add_cleanup(sock.close)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.settimeout(GRACE_S + 4.0)
    sock.bind((world.make_settings(ASKING).ip, 0))
    sock.connect((peer.ip, peer.port + 1))
    sock.sendall(render_request(replica.id, Endpoint(replica.ip, replica.port)))
    return sock


def receive(sock):
    """Reads until the connection ends; returns all bytes and an error, if any."""
    data = b""
    try:
        while part := sock.recv(65_536):
            data += part
    except OSError as error:
        return data, repr(error)
    return data, ""


@when("an answer of {n:d} bytes is passed on that the asking daemon does not read")
def step_ask_unread(context: Context, n: int) -> None:
    for replica in context.world.replicas:
        replica.answer_bytes = n
    context.asker = ask(context)
    assert context.asker.recv(1_024).startswith(b"HTTP/1.1 200 ")
    expected = context.world.replicas[0].id.encode()
    head = b"GET /read/a HTTP/1.1\r\nX-Berylpost-Expect-Replica: " + expected
    context.asker.sendall(head + b"\r\n\r\n")
    time.sleep(0.5)  # until the answer has come


@when("the passing daemon is stopped and has ended")
def step_stop_passing(context: Context) -> None:
    stop(context, PASSING)
    assert context.world.processes[PASSING].wait(GRACE_S) == 0


@then("the asking daemon receives all {n:d} bytes")
def step_check_received(context: Context, n: int) -> None:
    data, error = receive(context.asker)
    log = context.world.logs[PASSING].read_text()
    assert len(data) > n, (len(data), error, log[-900:])


@when("daemons ask the passing one for connections while it is about to end")
def step_ask_late(context: Context) -> None:
    stop(context, PASSING)
    time.sleep(ENDS_AFTER_S - PAUSE_S / 2)
    context.world.send_signal(PASSING, "STOP")
    context.askers = [ask(context) for _ in range(N_ASKERS)]
    time.sleep(PAUSE_S)
    context.world.send_signal(PASSING, "CONT")


@then("each of them is told that none is passed on")
def step_check_told(context: Context) -> None:
    answers = [receive(asker) for asker in context.askers]
    odd = [a for a in answers if not a[0].startswith(b"HTTP/1.1 503 ")]
    assert not odd, (len(odd), len(answers), odd[:3])


def read_counts(log):
    """Reads the counts of the last end of a daemon."""
    line = [x for x in log.read_text().splitlines() if "event=tunnels_stopped" in x][-1]
    fields = (x.split("=") for x in line.split("event=tunnels_stopped ")[1].split())
    return {name: int(value) for name, value in fields}


@then("the passing one accounts for all connections that it accepted")
def step_check_counts(context: Context) -> None:
    if PASSING not in context.stopped:
        context.world.send_signal(PASSING, "TERM")
        assert context.world.processes[PASSING].wait(GRACE_S) == 0
    counts = read_counts(context.world.logs[PASSING])
    ends = sum(counts[end] for end in TunnelEnd)
    assert counts["accepted"] == ends and counts["opened"], counts
    assert not counts["ended_by_us"] and not counts["open_bytes"], counts


@then("the passing daemon names {n:d} connection that it ended, with bytes open")
def step_check_open(context: Context, n: int) -> None:
    counts = read_counts(context.world.logs[PASSING])
    assert counts["ended_by_us"] == n and counts["open_bytes"] > 0, counts
