"""Steps for requests that are under way when the process of their daemon ends.

`behave -D build=COMMIT` runs them against the daemon of an earlier commit.
"""

import asyncio
import itertools
import threading
import time
from dataclasses import dataclass

import httptools
from behave import given, then, when
from behave.runner import Context
from steps.entry_process import EntryProcess
from steps.entry_steps import make_request_line

from berylpost.edge.caller_server import CallerServer
from berylpost.fakes.entry_world import API_KEY, HOST, EntryWorld
from soak.builds import extract_build

# The shortest time from SIGTERM to the end of a daemon that has nothing to do.
ENDS_AFTER_S = 4.5
PAUSE_S = 0.6  # for which the processor is taken away around that time
DEADLINE_MS = 15_000
READ_BYTES = 65_536
# The least that the kernel allows, so that answers wait in the daemon.
RECEIVE_BYTES = 4_096
_numbers = itertools.count()


@dataclass
class Outcome:
    """What a caller received."""

    status: int = 0
    n_complete: int = 0
    error: str = ""

    @property
    def complete(self):
        return self.n_complete > 0


class RawCaller:
    """A caller with a blocking socket, which reads in a thread when it is told to."""

    def __init__(self, sock):
        self.sock = sock
        self.outcome = Outcome()
        self._parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self):
        self.outcome.status = self._parser.get_status_code()

    def on_message_complete(self):
        self.outcome.n_complete += 1

    def send(self, kind, *, body=b"x"):
        self.sock.sendall(render(kind, body))

    def read(self, n=1):
        try:
            while self.outcome.n_complete < n:
                data = self.sock.recv(READ_BYTES)
                if not data:
                    self.outcome.error = "closed"
                    return
                self._parser.feed_data(data)
        except OSError as error:
            self.outcome.error = repr(error)


def render(kind, body=b"x"):
    """Renders a request of a kind of route."""
    lines = [
        f"{make_request_line(kind)} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Berylpost-Attempt-Id: exit-{next(_numbers)}",
        f"X-Berylpost-Deadline-Ms: {DEADLINE_MS}",
        f"Authorization: Bearer {API_KEY}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_all(callers, n=1):
    threads = [threading.Thread(target=c.read, args=(n,)) for c in callers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def open_callers(context, n, **options):
    callers = [RawCaller(context.world.open_socket(**options)) for _ in range(n)]
    for caller in callers:
        context.add_cleanup(caller.sock.close)
    return callers


def start(context, **options):
    commit = context.config.userdata.get("build")
    if commit:
        options["build"] = extract_build(commit)
    context.world = EntryProcess(**options)
    context.add_cleanup(context.world.__exit__)
    context.world.__enter__()
    context.callers = []


@given("an entry daemon process")
def step_start(context: Context) -> None:
    start(context)


@given("an entry daemon process with {n:d} descriptors")
def step_start_limited(context: Context, n: int) -> None:
    start(context, n_descriptors=n)


@given("every server answers with {n:d} bytes")
def step_set_size(context: Context, n: int) -> None:
    for replica in context.world.replicas:
        replica.answer_bytes = n


@when("it is stopped")
def step_stop(context: Context) -> None:
    context.world.stop()
    context.stopped_at = time.monotonic()


def sleep_until(context, seconds):
    """Sleeps until some seconds after SIGTERM."""
    time.sleep(max(0.0, context.stopped_at + seconds - time.monotonic()))


@when("{n:d} callers connect after {seconds:d} s")
def step_connect(context: Context, n: int, seconds: int) -> None:
    sleep_until(context, seconds)
    context.callers = open_callers(context, n)


@when("the processor is taken away while it is about to end")
def step_pause(context: Context) -> None:
    sleep_until(context, ENDS_AFTER_S - PAUSE_S / 2)
    context.pause = context.world.paused()
    context.pause.__enter__()


def end_pause(context):
    time.sleep(PAUSE_S)
    context.pause.__exit__(None, None, None)
    read_all(context.callers)


@when('{n:d} callers connect and send "{kind}" requests meanwhile')
def step_send_new(context: Context, n: int, kind: str) -> None:
    context.callers = open_callers(context, n)
    for caller in context.callers:
        caller.send(kind)
    end_pause(context)


@when('they send "{kind}" requests meanwhile')
def step_send_kept(context: Context, kind: str) -> None:
    for caller in context.callers:
        caller.send(kind)
    end_pause(context)


@when('{n:d} callers send "{kind}" requests and read nothing')
def step_send_unread(context: Context, n: int, kind: str) -> None:
    context.callers = open_callers(context, n, receive_bytes=RECEIVE_BYTES)
    for caller in context.callers:
        caller.send(kind)
    time.sleep(0.5)  # until the daemon has the answers


def send_pipelined(context, n, k, kind, rest=b""):
    context.callers = open_callers(context, n)
    for caller in context.callers:
        caller.sock.sendall(b"".join(render(kind) for _ in range(k)) + rest)


@when('{n:d} callers send {k:d} "{kind}" requests at once')
def step_send_pipelined(context: Context, n: int, k: int, kind: str) -> None:
    send_pipelined(context, n, k, kind)
    time.sleep(0.2)  # until the first of them is passed on


@when('{n:d} callers send {k:d} "{kind}" requests at once, and then no request')
def step_send_malformed(context: Context, n: int, k: int, kind: str) -> None:
    send_pipelined(context, n, k, kind, rest=b"\0\r\n\r\n")


@when('{n:d} other callers send "{kind}" requests and keep their connections')
def step_send_others(context: Context, n: int, kind: str) -> None:
    for replica in context.world.replicas:
        replica.answer_bytes = 0
    for _ in range(n):
        (caller,) = open_callers(context, 1)
        caller.send(kind)
        caller.read()


@when("they read {seconds:d} s later")
def step_read_later(context: Context, seconds: int) -> None:
    time.sleep(seconds)
    read_all(context.callers)


@when(
    '{n:d} callers send all but the last byte of "{kind}" requests after {first} s, '
    "and that byte {then} s later"
)
def step_send_late(context: Context, n: int, kind: str, first: str, then: str) -> None:
    sleep_until(context, float(first))
    context.callers = open_callers(context, n)
    for caller in context.callers:
        caller.sock.sendall(render(kind)[:-1])
    time.sleep(float(then))
    for caller in context.callers:
        try:
            caller.sock.sendall(b"x")
        except OSError as error:
            caller.outcome.error = repr(error)
    read_all(context.callers)


@when('{n:d} callers connect after {first} s and send "{kind}" requests {then} s later')
def step_connect_early(
    context: Context, n: int, first: str, kind: str, then: str
) -> None:
    sleep_until(context, float(first))
    context.callers = open_callers(context, n)
    time.sleep(float(then))
    for caller in context.callers:
        try:
            caller.send(kind)
        except OSError as error:
            caller.outcome.error = repr(error)
    read_all(context.callers)


@given("a server whose handlers take {seconds} s to end after their caller has left")
def step_make_server(context: Context, seconds: str) -> None:
    async def handle(request, caller):
        try:
            await asyncio.sleep(DEADLINE_MS / 1_000)
        finally:
            await asyncio.sleep(float(seconds))

    context.handle = handle


@when("a caller sends a request and leaves")
def step_leave(context: Context) -> None:
    async def run():
        server = CallerServer(handler=context.handle)
        world = EntryWorld(n_daemons=1)
        ip, port = world.make_settings(0).front
        await server.start(ip, port)
        _, writer = await asyncio.open_connection(ip, port)
        writer.write(render("read", b"x"))
        while not server.account.n_read:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        while server.connections:
            await asyncio.sleep(0.001)
        while server.has_unfinished():
            await asyncio.sleep(0.001)
        context.n_open = server.account.n_open
        server.kill()

    asyncio.run(run())


@then("no request is open once the server has nothing unfinished")
def step_check_open(context: Context) -> None:
    assert context.n_open == 0, context.n_open


@then("each caller gets {k:d} complete answers")
def step_check_many(context: Context, k: int) -> None:
    read_all(context.callers, k)
    lost = [c.outcome for c in context.callers if c.outcome.n_complete < k]
    assert not lost, (len(lost), lost, context.world.log.read_text()[-1_500:])


@then("each caller gets a complete answer")
def step_check(context: Context) -> None:
    lost = [c.outcome for c in context.callers if not c.outcome.complete]
    log = context.world.log.read_text()
    assert not lost, (len(lost), len(context.callers), lost[:3], log[-1_500:])
