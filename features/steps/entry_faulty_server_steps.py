"""Steps for servers whose answers are repeated, cut or of the wrong kind."""

import asyncio
import contextlib
import gc
import itertools
import re
import socket
import struct
import threading
import time
import weakref
from functools import partial

import urllib3
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st
from steps.entry_limit_steps import list_daemons
from steps.entry_steps import Caller, make_request_line, send_request
from steps.shared import DETERMINISTIC

from berylpost.answer_framing import MAX_INTERIM_ANSWERS, MAX_TRAILER_FIELDS
from berylpost.edge.http_channel import _AnswerProtocol
from berylpost.edge.upstream import Connection, Exchange, UpstreamError
from berylpost.fakes.links import LinkFault
from berylpost.http_pools import make_pool
from berylpost.upstream import Token, Upstream

RECEIVE_BYTES = 4_096
NOT_RUN = {408, 421, 429, 503}
CLOSING_S = 0.02  # in which the sockets of a process that ends are closed
RESTART_S = 0.2  # from the end of a process until the next one listens
_numbers = itertools.count()


@given('every server has the fault "{fault}"')
def step_set_fault(context: Context, fault: str) -> None:
    for replica in context.world.replicas:
        replica.fault = fault


@given("every server stops at each place of the head of its answers in turn")
def step_cut_heads(context: Context) -> None:
    for replica in context.world.replicas:
        places = itertools.cycle([n / 40 for n in range(41)])

        def move(_headers, replica=replica, places=places):
            replica.cut_at = next(places)

        replica.fault = "head cut"
        replica.on_run = move


@given(
    'a server breaks a stream off after {n:d} events and the other answers "{answer}"'
)
def step_break_streams(context: Context, n: int, answer: str) -> None:
    first, second = context.world.replicas
    context.n_events = n

    def prepare(replica, other):
        def take(_headers):
            # Whichever is asked first breaks off.
            other.fault = answer

        replica.fault = "cut"
        replica.on_run = take

    context.prepare = lambda: (prepare(first, second), prepare(second, first))


@when('callers send {n:d} requests of the kind "{kind}" one after the other')
def step_send(context: Context, n: int, kind: str) -> None:
    async def send():
        (daemon,) = list_daemons(context)
        context.answers = {}
        for _ in range(n):
            getattr(context, "prepare", lambda: None)()
            attempt = f"faulty-{next(_numbers)}"
            answer = await send_request(daemon, make_request_line(kind), attempt)
            context.answers[attempt] = answer

    context.world.run(send(), timeout_s=60.0)


def count_runs(context, attempt):
    return sum(replica.runs[attempt] for replica in context.world.replicas)


@then("none of those told as not run has run, and no other more than once")
def step_check_refusals(context: Context) -> None:
    for attempt, answer in context.answers.items():
        n_runs = count_runs(context, attempt)
        if answer.complete and answer.status in NOT_RUN:
            assert n_runs == 0, (attempt, answer, n_runs)
        repeatable = "read" in str(context.scenario.name) or re.search(
            r"of stream$", context.scenario.name.split(" -- ")[0]
        )
        assert n_runs <= (2 if repeatable else 1), (attempt, answer, n_runs)


@then("at least {n:d} of them ran")
def step_check_ran(context: Context, n: int) -> None:
    ran = sum(count_runs(context, attempt) > 0 for attempt in context.answers)
    assert ran >= n, ran


@then("each answer is cut off and holds whole events only")
def step_check_streams(context: Context) -> None:
    for answer in context.answers.values():
        assert answer.status == 200 and not answer.complete, answer
        events = b"".join(
            b"id: %d\ndata: w%d\n\n" % (k, k) for k in range(1, context.n_events + 1)
        )
        assert answer.body == events, answer


@then("no answer is a success")
def step_check_no_success(context: Context) -> None:
    for answer in context.answers.values():
        assert answer.status >= 500 or not answer.status, answer


class _Transport:
    """Takes what a connection sends."""

    def __init__(self):
        self.closing = False
        self.is_paused = False

    def get_extra_info(self, _name):
        return None

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def is_closing(self):
        return self.closing

    def abort(self):
        self.closing = True

    def write(self, _data):
        """Nothing is sent anywhere."""

    def get_write_buffer_size(self):
        return 0


def make_answer(number, kind, *, has_id=True):
    """Makes a server's answer to the request with a number."""
    body = b"body-%d" % number if kind == "ran" else b""
    lines = ["HTTP/1.1 200 OK" if kind == "ran" else "HTTP/1.1 503 Full"]
    lines += [f"X-Berylpost-Attempt-Id: id-{number}"] if has_id else []
    lines += [] if kind == "ran" else ["X-Berylpost-Not-Executed: 1"]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# What a server writes for a request: earlier answers once more, with or without their
# ids, then its own answer, of which it may send a part only.
EXCHANGES = st.lists(
    st.tuples(
        st.sampled_from(["ran", "refused"]),
        st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=2),
        st.integers(0, 300),
        st.booleans(),
    ),
    min_size=1,
    max_size=6,
)


@then("for {n:d} drawn sequences of answers no refusal is untrue and no body foreign")
def step_check_sequences(context: Context, n: int) -> None:
    @settings(DETERMINISTIC, max_examples=n)
    @draw(EXCHANGES)
    def check(exchanges):
        asyncio.run(play(exchanges))

    check()


async def play(exchanges):
    """Plays the exchanges on one connection for as long as it may be used."""
    connection = Connection(backend_id="r", on_closed=lambda _connection: None)
    transport = _Transport()
    connection.connection_made(transport)
    kinds = []
    for number, (kind, earlier, cut, comes_late) in enumerate(exchanges):
        if not (connection.is_open and connection.reusable):
            return
        exchange = Exchange(attempt_id=b"id-%d" % number, has_body=True)
        connection.send(b"request", exchange)
        kinds.append(kind)
        stale = b"".join(
            make_answer(old, kinds[old], has_id=has_id)
            for old, has_id in earlier
            if old < number
        )
        own = make_answer(number, kind)
        data = stale + own
        is_cut = cut < len(data)
        for start in range(0, min(cut, len(data)), 7):
            if connection.is_open:
                connection.data_received(data[start : min(start + 7, cut)])
            while transport.is_paused:  # a turn of the reader took too long
                await asyncio.sleep(0)
        if is_cut:
            connection.eof_received()
            connection.connection_lost(None)
        check_exchange(exchange, number, kind, is_cut and cut < len(stale))
        if comes_late and connection.is_open:
            # The last answer once more, while no request waits.
            connection.data_received(own)


def check_exchange(exchange, number, kind, lacks_own):
    """Checks that what the exchange tells is true."""
    try:
        head = exchange.head.result() if exchange.head.done() else None
    except UpstreamError:
        return
    if head is None:
        return
    assert not lacks_own, "an earlier answer was taken for the own one"
    refused = bool(head.find(b"x-berylpost-not-executed"))
    assert refused == (kind == "refused"), (number, kind)
    if exchange.end.done() and exchange.end.exception() is None and not refused:
        assert bytes(exchange.body) == b"body-%d" % number


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
# What comes first, and the piece that follows again and again.
SLOW_PARTS = {
    "fields of a head": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "bytes of a field": (b"HTTP/1.1 200 OK\r\na: ", b"b"),
    "trailer fields": (HEAD + b"\r\n2\r\nok\r\n0\r\n", b"a: b\r\n"),
    "bytes of a trailer": (HEAD + b"\r\n2\r\nok\r\n0\r\na: ", b"b"),
    "chunk extensions": (HEAD + b"\r\n2\r\nok\r\n2;a=", b"b"),
}
MAX_PIECES = 200
UPLOAD_BYTES = 8_000_000


@when("a service sends {part} without end, a piece each 0.2 s")
def step_send_slowly(context: Context, part: str) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    first, piece = SLOW_PARTS[part]

    def serve():
        connection, _ = listener.accept()
        with connection:
            try:
                connection.sendall(first)
                for _ in range(MAX_PIECES):
                    time.sleep(0.2)
                    connection.sendall(piece)
            except OSError:
                return  # closed by the caller

    threading.Thread(target=serve, daemon=True).start()
    call_service(context, listener)


@when("a service sends an answer without a length and {then}")
def step_send_unframed(context: Context, then: str) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)

    def serve():
        connection, _ = listener.accept()
        connection.recv(65_536)  # unread bytes would make the close a reset
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nok")
        if then == "is killed":
            # An open listener would be the one of a process that runs.
            listener.close()
        connection.close()
        with contextlib.suppress(OSError):  # the listener was closed
            while "resets" in then:
                reset(listener.accept()[0])
                if then.endswith("is killed"):
                    listener.close()

    threading.Thread(target=serve, daemon=True).start()
    call_service(context, listener)


@given("every server sends answers without a length and {then}")
def step_send_unframed_and(context: Context, then: str) -> None:
    for replica in context.world.replicas:

        def begin(_headers, replica=replica):
            replica.resets_new = True

        replica.fault = "unframed killed" if "killed" in then else "unframed"
        replica.on_run = begin
        if then.endswith("starts again"):
            replica.on_run = lambda _headers: None
            replica.end_process = partial(restart_process, replica)


def restart_process(replica):
    """Ends a server's process as its kernel does, and starts it again."""
    loop = asyncio.get_running_loop()
    for writer in list(replica._writers):
        writer.close()
    # The listening socket is closed last; what it has accepted until then is reset.
    for listener in replica._server.sockets:
        loop.remove_reader(listener.fileno())
    loop.call_later(CLOSING_S, replica.stop_listening)
    loop.call_later(RESTART_S, lambda: loop.create_task(replica.start()))


@given("its servers are killed and start again when the second daemon connects to them")
def step_restart_for_second(context: Context) -> None:
    paths = list_daemons(context)[1].paths
    decide = paths.tunnels.decide

    def restart_and_decide(ip, server, address):
        for replica in context.world.replicas:
            if replica.id == server and not replica._server.is_serving():
                listener = socket.create_server((replica.ip, replica.port))
                context.add_cleanup(listener.close)
        return decide(ip, server, address)

    paths.tunnels.decide = restart_and_decide
    for replica in context.world.replicas:
        replica.fault = "unframed killed"


@when("callers have {n:d} streams {how} while servers leave the signature out")
def step_send_unsigned(context: Context, n: int, how: str) -> None:
    world = context.world
    daemon = list_daemons(context)[0]
    for replica in world.replicas:
        replica.fault = "unsigned"
    headers = []
    if how == "continued after a break":
        world.replicas[0].fault = "cut"
    if how == "taken up":
        headers = ["Last-Event-Id: 2", "Resumes: earlier"]
    if how == "begun through another daemon":
        prefix = world.replicas[0].ip.rpartition(".")[0] + ".10"  # of all servers
        world.loop.call_soon_threadsafe(
            world.loop.cut, daemon.settings.name, prefix, LinkFault.RESET
        )
    line = make_request_line("stream")

    async def send() -> None:
        context.answers = [
            await send_request(daemon, line, f"id-{number}", extra_headers=headers)
            for number in range(n)
        ]

    world.run(send())


@then("no stream is complete, though servers ran some")
def step_check_unsigned(context: Context) -> None:
    assert sum(replica.runs.total() for replica in context.world.replicas)
    for answer in context.answers:
        assert not (answer.status == 200 and answer.complete), answer


@given("the first daemon is cut off from every server")
def step_cut_first(context: Context) -> None:
    world = context.world
    name = list_daemons(context)[0].settings.name

    async def cut() -> None:
        for replica in world.replicas:
            world.loop.cut(name, replica.ip, LinkFault.RESET)

    world.run(cut())


async def connect_slow(daemon):
    """Connects a caller that does not read and takes little unread."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.connect(daemon.settings.front)
    streams = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
    return Caller(*streams)


@when("its stream ends as it {then}, while slow callers hold its other connections")
def step_fill_pool(context: Context, then: str) -> None:
    world = context.world
    (replica,) = world.replicas
    (daemon,) = list_daemons(context)
    line = make_request_line("stream/once")

    async def run() -> None:
        pool = daemon.table.records[replica.id].pool
        replica.fault = "large events"
        slow = [await connect_slow(daemon) for _ in range(2)]
        for number, caller in enumerate(slow):
            caller.send(line, f"slow-{number}")
        await asyncio.sleep(0.3)
        daemon.table._share_connections = lambda _service: len(slow)

        def fill(_headers):
            pool.n_max = len(slow)

        replica.on_run = fill
        replica.fault = "unframed killed" if "killed" in then else "unframed"
        context.answer = await send_request(daemon, line, "first")
        assert pool._n_open >= len(slow), "the slow callers have read all"
        for caller in slow:
            caller.close()

    world.run(run())


@when("its stream ends after it stopped listening and {then}")
def step_end_unlistened(context: Context, then: str) -> None:
    (replica,) = context.world.replicas
    (daemon,) = list_daemons(context)
    line = make_request_line("stream/once")

    async def run() -> None:
        replica.event_pause_s = 0.1
        replica.fault = "unframed"
        first = asyncio.ensure_future(send_request(daemon, line, "first"))
        await asyncio.sleep(0.4)
        replica.fault = "none"
        second = asyncio.ensure_future(send_request(daemon, line, "second"))
        await asyncio.sleep(0.2)
        replica.stop_listening()
        if then == "is killed":
            replica.end_process()
        context.answer = await first
        await second

    context.world.run(run())


@then("the stream without a length is {verdict}")
def step_check_verdict(context: Context, verdict: str) -> None:
    answer = context.answer
    assert answer.status == 200 and answer.body, answer
    assert answer.complete == (verdict == "whole"), answer


def reset(sock):
    """Closes a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@when(
    "a service answers a long upload at once, without a length, and resets it {n:d} "
    "times"
)
def step_reset_uploads(context: Context, n: int) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)

    def serve():
        for _ in range(n):
            connection, _ = listener.accept()
            connection.recv(100)
            connection.sendall(b"HTTP/1.1 200 OK\r\n\r\npart of a body")
            time.sleep(0.02)
            reset(connection)

    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    context.calls = []
    for _ in range(n):
        try:
            answer = make_pool(retries=False, timeout=5.0).request(
                "POST", f"http://{host}:{port}/", body=b"x" * UPLOAD_BYTES
            )
            context.calls.append((answer.status, answer.data))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            context.calls.append(error)


@then("no call is a success")
def step_check_calls(context: Context) -> None:
    successes = [call for call in context.calls if isinstance(call, tuple)]
    assert not successes, (len(successes), successes[:2])


@given("every server answers a long upload at once, without a length, and resets it")
def step_set_resets(context: Context) -> None:
    def reset_upload(replica):
        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = dict(
                line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
            )
            attempt = {k.lower(): v for k, v in lines.items()}[
                b"x-berylpost-attempt-id"
            ]
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Berylpost-Replica-Signature: s\r\n"
                b"X-Berylpost-Attempt-Id: %b\r\n\r\npart of a body" % attempt
            )
            await asyncio.sleep(0.02)
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        return serve

    async def start():
        for replica in context.world.replicas:
            await replica.stop()
            server = await asyncio.start_server(
                reset_upload(replica), replica.ip, replica.port, limit=65_536
            )
            context.add_cleanup(server.close)

    context.world.run(start())


@when("callers send {n:d} uploads of {size:d} bytes")
def step_send_uploads(context: Context, n: int, size: int) -> None:
    async def send():
        answers = {}
        for number in range(n):
            (daemon,) = list_daemons(context)
            name = f"upload-{number}"
            answers[name] = await send_request(
                daemon, make_request_line("book"), name, body=b"x" * size
            )
        return answers

    context.answers = context.world.run(send(), timeout_s=60)


ANSWER = b"HTTP/1.1 %b Status\r\nContent-Length: 2\r\n\r\nok"
EVENT = b'data: {"choices":[{"text":"word","finish_reason":"stop"}]}\n\n'
EVENTS = (
    b"HTTP/1.1 %b Status\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n" + b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
)


def take_by_connection(data):
    async def receive():
        connection = Connection(backend_id="r", on_closed=lambda _connection: None)
        connection.connection_made(_Transport())
        exchange = Exchange(attempt_id=b"", has_body=True)
        connection.send(b"request", exchange)
        connection.data_received(data)
        assert exchange.head.done() and exchange.end.done(), "no verdict"
        return exchange.head.exception() is None

    return asyncio.run(receive())


def take_by_channel(data):
    async def receive():
        protocol = _AnswerProtocol()
        protocol.connection_made(_Transport())
        protocol.answer = asyncio.get_running_loop().create_future()
        protocol.data_received(data)
        assert protocol.answer.done(), "no verdict"
        return protocol.answer.exception() is None

    return asyncio.run(receive())


def take_by_relay(data):
    ours, theirs = socket.socketpair()
    upstream = Upstream(
        address="127.0.0.1:9", path="/", body=b"", request_id="", now=0.0
    )
    upstream.close()
    upstream.socket = ours
    with ours, theirs:
        theirs.sendall(data)
        events = upstream.on_readable(0.0)
    assert events, "no verdict"
    return any(isinstance(event, Token) for event in events)


def take_by_pool(data):
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(data)

        threading.Thread(target=serve, daemon=True).start()
        host, port = listener.getsockname()
        try:
            make_pool(retries=False, timeout=5.0).request(
                "GET", f"http://{host}:{port}/"
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return True


@then('no parser takes an answer with the status "{status}" for one')
def step_check_status(context: Context, status: str) -> None:
    takers = {
        take_by_connection: ANSWER,
        take_by_channel: ANSWER,
        take_by_pool: ANSWER,
        take_by_relay: EVENTS,
    }
    for take, data in takers.items():
        assert take(data.replace(b"%b", b"200")), take
        assert not take(data.replace(b"%b", status.encode())), (take, status)


def call_service(context, listener):
    """Calls a service as our own interface does; stores how the call ended."""
    host, port = listener.getsockname()
    began_at = time.monotonic()
    try:
        answer = make_pool(retries=False, timeout=10.0).request(
            "GET", f"http://{host}:{port}/"
        )
        context.ended = "ends" if answer.data == b"ok" else answer.data
    except (urllib3.exceptions.HTTPError, OSError) as error:
        context.ended, context.error = "fails", error
    context.took_s = time.monotonic() - began_at


@then("the call {ends} within {seconds:g} s")
def step_check_slow(context: Context, ends: str, seconds: float) -> None:
    assert context.ended == ends, (context.ended, context)
    assert context.took_s < seconds, context.took_s


PARTS = {
    "interim answers": lambda n: (
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * n + HEAD + b"\r\n2\r\nok\r\n0\r\n\r\n"
    ),
    "trailer fields": lambda n: (
        HEAD + b"\r\n2\r\nok\r\n0\r\n" + b"a: b\r\n" * n + b"\r\n"
    ),
}


@then('a connection takes an answer with {n:d} {parts} as "{verdict}"')
def step_check_parts(context: Context, n: int, parts: str, verdict: str) -> None:
    n_parsed = 0

    class Counted(Connection):
        def on_message_begin(self):
            nonlocal n_parsed
            n_parsed += 1
            super().on_message_begin()

        def on_header(self, name, value):
            nonlocal n_parsed
            n_parsed += 1
            super().on_header(name, value)

    async def receive():
        connection = Counted(backend_id="r", on_closed=lambda _connection: None)
        connection.connection_made(_Transport())
        exchange = Exchange(attempt_id=b"", has_body=True)
        connection.send(b"request", exchange)
        connection.data_received(PARTS[parts](n))
        return exchange

    exchange = asyncio.run(receive())
    is_whole = exchange.end.done() and exchange.end.exception() is None
    assert ("whole" if is_whole else "broken") == verdict, exchange.end
    if is_whole:
        assert bytes(exchange.body) == b"ok", exchange.body
    # What is beyond the bound is not even parsed.
    assert n_parsed <= MAX_INTERIM_ANSWERS + MAX_TRAILER_FIELDS + 10, n_parsed


@then("a connection that is closed amid a field is freed at once")
def step_check_freed(context: Context) -> None:
    async def receive():
        connection = Connection(backend_id="r", on_closed=lambda _connection: None)
        connection.connection_made(_Transport())
        connection.send(b"request", Exchange(attempt_id=b"", has_body=True))
        connection.data_received(b"HTTP/1.1 200 OK\r\na: " + b"b" * 10_000)
        connection.connection_lost(None)
        return weakref.ref(connection)

    gc.disable()
    try:
        freed = asyncio.run(receive())() is None
    finally:
        gc.enable()
    assert freed
