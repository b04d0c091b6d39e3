"""Steps for messages without end, and for many large bodies at once."""

import asyncio
import contextlib
import http.client
import io
import itertools
import re
import tracemalloc

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st
from steps.entry_faulty_server_steps import _Transport
from steps.entry_limit_steps import list_daemons
from steps.entry_steps import make_request_line, send_request
from steps.shared import DETERMINISTIC

from berylpost import http_pools
from berylpost.edge.caller_server import CallerServer
from berylpost.edge.callers import CallerConnection
from berylpost.edge.http_channel import _AnswerProtocol
from berylpost.edge.upstream import Connection, Exchange
from berylpost.upstream import Upstream

FLOOD_BYTES = 4 << 20
MB = 1 << 20
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# How each part without end begins after the first line, and what is repeated.
PARTS = {
    "header": (b"X-Long: ", b"x" * 1_000),
    "headers": (b"", b"a:b\r\n"),
    "chunk size": (CHUNKED + b"3\r\nabc\r\n", b"0" * 1_000),
    "chunk extension": (CHUNKED + b"3\r\nabc\r\n3;", b"x" * 1_000),
    "trailer": (CHUNKED + b"3\r\nabc\r\n0\r\nX-Long: ", b"x" * 1_000),
    "trailers": (CHUNKED + b"3\r\nabc\r\n0\r\n", b"a:b\r\n"),
}


class _Flow(_Transport):
    """Records whether the parser closes the connection, or reads no more for now."""

    is_paused = False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def get_write_buffer_size(self):
        return 0

    def close(self):
        self.closing = True


async def deliver(protocol, transport, pieces, is_over):
    """Delivers pieces while the protocol reads, as an event loop does."""
    for piece in pieces:
        while transport.is_paused and not is_over():
            await asyncio.sleep(0.001)
        if not is_over():
            protocol.data_received(piece)


async def feed_connection(pieces):
    connection = Connection(backend_id="r", on_closed=lambda _connection: None)
    transport = _Flow()
    connection.connection_made(transport)
    connection.send(b"request", Exchange(attempt_id=b"", has_body=True))
    await deliver(connection, transport, pieces, lambda: transport.closing)
    return connection


async def feed_channel(pieces):
    protocol = _AnswerProtocol()
    transport = _Flow()
    protocol.connection_made(transport)
    answer = protocol.answer = asyncio.get_running_loop().create_future()
    await deliver(
        protocol,
        transport,
        pieces,
        lambda: protocol.transport is None or answer.done(),
    )
    if protocol.answer.done():
        protocol.answer.exception()
    return protocol


async def feed_upstream(pieces):
    upstream = Upstream(
        address="127.0.0.1:9", path="/", body=b"", request_id="", now=0.0
    )
    upstream.close()

    class _Socket:
        def recv(self, _n):
            return next(pieces)

    upstream.socket = _Socket()
    with contextlib.suppress(StopIteration):
        while not any(hasattr(e, "whole") for e in upstream.on_readable(0.0)):
            pass
    return upstream


async def feed_caller(pieces):
    async def handle(_request, _connection):
        """Nothing is answered."""

    transport = _Flow()
    connection = CallerConnection(server=CallerServer(handler=handle))
    connection.connection_made(transport)
    await deliver(connection, transport, pieces, lambda: transport.closing)
    return connection


class _Pieces(io.RawIOBase):
    """The pieces as a file."""

    def __init__(self, pieces):
        self.pieces = pieces
        self.rest = b""

    def readable(self):
        return True

    def readinto(self, buffer):
        self.rest = self.rest or next(self.pieces, b"")
        data, self.rest = self.rest[: len(buffer)], self.rest[len(buffer) :]
        buffer[: len(data)] = data
        return len(data)


async def feed_pool(pieces):
    class _Socket:
        def makefile(self, _mode):
            return io.BufferedReader(_Pieces(pieces))

    response = http_pools._WholeHeadResponse(_Socket())
    with contextlib.suppress(http.client.HTTPException):
        response.begin()
        response.read()
    return response


PARSERS = {
    feed_pool: b"HTTP/1.1 200 OK\r\n",
    feed_connection: b"HTTP/1.1 200 OK\r\n",
    feed_channel: b"HTTP/1.1 200 OK\r\n",
    feed_upstream: b"HTTP/1.1 200 OK\r\n",
    feed_caller: b"POST /read/x HTTP/1.1\r\nHost: x\r\n",
}


def cut_pieces(head, unit, n_read_bytes):
    """Cuts a message without end into what single reads bring."""
    repeated = unit * (n_read_bytes // len(unit) + 1)
    yield head
    for _ in range(FLOOD_BYTES // len(repeated)):
        yield repeated


@then("for {n:d} drawn messages without end no parser keeps more than {most:d} MB")
def step_check_parsers(context: Context, n: int, most: int) -> None:
    @settings(DETERMINISTIC, max_examples=n)
    @draw(
        st.sampled_from(sorted(PARTS)),
        st.sampled_from(list(PARSERS)),
        st.sampled_from([1, 1_460, 65_536, 262_144]),
    )
    def check(part, feed, n_read_bytes):
        async def measure():
            head, unit = PARTS[part]
            pieces = cut_pieces(PARSERS[feed] + head, unit, n_read_bytes)
            tracemalloc.start()
            try:
                kept = await feed(pieces)
                n_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert kept and n_bytes <= most * MB, (part, feed, n_read_bytes, n_bytes)

        asyncio.run(measure())

    check()


@then(
    "an answer of {n:d} GB by its length takes at most {most:d} MB in the own interface"
)
def step_check_length(context: Context, n: int, most: int) -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (n << 30)
    pieces = itertools.chain([head], itertools.repeat(b"x" * 65_536))
    tracemalloc.start()
    try:
        assert asyncio.run(feed_pool(pieces))
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes <= most * MB, peak_bytes


CHUNKS = st.tuples(
    st.lists(st.binary(min_size=1, max_size=9), max_size=6),
    st.sampled_from([b"", b";x=1"]),
    st.sampled_from([b"", b"a: b\r\n"]),
    st.lists(st.integers(0, 200), max_size=12),
    st.booleans(),
)


def render_chunks(chunks, extension, trailers):
    """Renders an answer; returns it and the length up to its last chunk's line."""
    head = b"HTTP/1.1 200 OK\r\n" + CHUNKED
    body = b"".join(
        b"%x%s\r\n%s\r\n" % (len(chunk), extension, chunk) for chunk in chunks
    )
    whole = head + body + b"0" + extension + b"\r\n"
    return whole + trailers + b"\r\n", len(whole)


@then("for {n:d} drawn answers in chunks no parser takes a part for the whole")
def step_check_chunks(context: Context, n: int) -> None:
    @settings(DETERMINISTIC, max_examples=n)
    @draw(CHUNKS)
    def check(drawn):
        chunks, extension, trailers, cuts, has_stale = drawn
        data, n_needed = render_chunks(chunks, extension, trailers)
        if has_stale:
            # An answer to an earlier request, in chunks, too.
            stale, _ = render_chunks([b"old"], b"", trailers)
            stale = stale.replace(b"OK\r\n", b"OK\r\nX-Berylpost-Attempt-Id: old\r\n")
            data, n_needed = stale + data, len(stale) + n_needed
            data = data.replace(
                b"OK\r\nTransfer", b"OK\r\nX-Berylpost-Attempt-Id: own\r\nTransfer"
            )
            n_needed += len(b"X-Berylpost-Attempt-Id: own\r\n")
        # Half of the reads end where a line does.
        ends = [match.end() for match in re.finditer(b"\r\n", data)]
        places = {k % len(data) if k % 2 else ends[k // 2 % len(ends)] for k in cuts}
        places = sorted({0, len(data), *places})
        pieces = [data[a:b] for a, b in itertools.pairwise(places)]
        asyncio.run(check_connection(pieces, b"".join(chunks), n_needed, has_stale))
        if not has_stale:
            asyncio.run(check_channel(pieces, b"".join(chunks), n_needed))

    check()


async def feed(protocol, transport, end, pieces, n_needed):
    """Feeds pieces until the answer ends, which must not be before `n_needed` bytes."""
    n_fed = 0
    for piece in pieces:
        if end.done():
            break
        protocol.data_received(piece)
        n_fed += len(piece)
        assert n_fed >= n_needed or not end.done(), (n_fed, n_needed)
        while transport.is_paused and not end.done():
            await asyncio.sleep(0.001)


async def check_connection(pieces, body, n_needed, has_stale):
    connection = Connection(backend_id="r", on_closed=lambda _connection: None)
    transport = _Flow()
    connection.connection_made(transport)
    attempt = b"own" if has_stale else b""
    exchange = Exchange(attempt_id=attempt, has_body=True)
    connection.send(b"request", exchange)
    await feed(connection, transport, exchange.end, pieces, n_needed)
    assert exchange.end.exception() is None and bytes(exchange.body) == body


async def check_channel(pieces, body, n_needed):
    protocol = _AnswerProtocol()
    transport = _Flow()
    protocol.connection_made(transport)
    protocol.answer = asyncio.get_running_loop().create_future()
    await feed(protocol, transport, protocol.answer, pieces, n_needed)
    assert protocol.answer.result().body == body


@given("the daemon may hold {n:d} MB of bodies")
def step_set_budget(context: Context, n: int) -> None:
    (daemon,) = list_daemons(context)
    daemon.buffers.limit = n * MB
    context.most_held = 0


@when("callers exchange {n:d} bodies of {size:d} MB in {kind} at once")
def step_exchange(context: Context, n: int, size: int, kind: str) -> None:
    (daemon,) = list_daemons(context)
    body = b"x" * (size * MB)
    for replica in context.world.replicas:
        replica.work_s = 0.2
        replica.answer_bytes = len(body) if kind == "answers" else 0

    async def watch():
        while True:
            context.most_held = max(context.most_held, daemon.buffers.n_held)
            await asyncio.sleep(0.001)

    async def exchange():
        watcher = asyncio.ensure_future(watch())
        sent = body if kind == "requests" else b""
        answers = await asyncio.gather(
            *(
                send_request(
                    daemon, make_request_line("book"), f"large-{number}", body=sent
                )
                for number in range(n)
            )
        )
        watcher.cancel()
        return {f"large-{k}": answer for k, answer in enumerate(answers)}

    context.answers = context.world.run(exchange())


@then("the daemon held at most {n:d} MB of bodies, and holds none at the end")
def step_check_held(context: Context, n: int) -> None:
    (daemon,) = list_daemons(context)
    assert 0 < context.most_held <= n * MB, context.most_held
    assert daemon.buffers.n_held == 0, daemon.buffers.n_held


@then("some were answered, and those refused did not run")
def step_check_refused(context: Context) -> None:
    replicas = context.world.replicas
    statuses = [answer.status for answer in context.answers.values()]
    assert 200 in statuses and set(statuses) - {200}, statuses
    for attempt, answer in context.answers.items():
        if answer.status == 503:
            assert not any(r.runs[attempt] for r in replicas), attempt
