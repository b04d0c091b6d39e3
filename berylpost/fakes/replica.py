"""Fake of a backend server on the platform's protocol, with faults at byte level.

`Replica.fault` is a key of `FAULTS` or `SCENARIO_FAULTS` and decides how the next
requests are handled. Runs are counted by attempt id, so that a test can tell "not run"
from "run twice".
"""

import asyncio
import contextlib
import json
import socket
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from typing import Final
from weakref import WeakKeyDictionary, WeakSet

import httptools

from .resetting_socket import LINGER_NONE, ResettingSocket

READ_BYTES: Final = 65_536
SIGNATURE: Final = "3e1b.07"
N_EVENTS: Final = 8
EVENT_PAUSE_S: Final = 0.03
N_LARGE_EVENTS: Final = 200
LARGE_EVENT_BYTES: Final = 40_000
ENDLESS_BYTES: Final = 16_384
MAX_ENDLESS_BYTES: Final = 256 << 20  # ends a test that would not end otherwise
BODILESS: Final = frozenset({204, 304})  # statuses of answers without a body
SLOW_PAUSE_S: Final = 0.5  # between two parts of an answer that comes slowly
GREETING: Final = "endless greeting"  # fault: bytes before any request
REPEAT_DELAY_S: Final = 0.004  # from a request to a refusal that is written again
CRASH_DELAY_S: Final = 0.05  # from the begin of an answer to the crash
EARLY: Final = "early answer"  # fault: answers before it has read the body
EARLY_CLOSE: Final = "early answer, closes"  # fault: never reads the rest of the body
LATE: Final = "reads late"  # fault: reads the body long after the head, then answers
LATE_READ_S: Final = 4.0
LATE_BUFFER_BYTES: Final = 32_768
READ_ON_DELAY_S: Final = 0.5  # from an early answer to the rest of the body


class IncomingRequest:
    """One request, filled in by the callbacks of httptools."""

    def __init__(self) -> None:
        self.target = b""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.has_head = False
        self.complete = False

    @property
    def n_missing(self) -> int:
        """Bytes of the body that have not been read."""
        return int(self.headers.get("content-length", "0")) - len(self.body)

    def on_headers_complete(self) -> None:
        """Notes that the head is complete."""
        self.has_head = True

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Notes that the request is complete."""
        self.complete = True


class Replica:
    """One fake backend server.

    Args:
        id: server id that requests have to name; others get 421.
        ip: IP address to listen on.
        port: port to listen on.
        version: version of its software.
        on_run: called with the headers of each request that begins to run.
        on_crash: called when the server has crashed.
        on_fall: called when a brittle server has fallen over.
        on_stop: called with the attempt id of a run that is stopped to be moved.

    Attributes:
        cut_at: share of an answer's head after which the fault "head cut" stops.
        crashing_parts: prompt parts that crash the server when it begins to answer a
            request that shares one of them.
        crashing_bodies: bodies of requests that crash the server when it begins to run
            one of them.
        lingers_s: time for which its address accepts connections after a crash.
        fault: key of `FAULTS` or `SCENARIO_FAULTS` for the next requests.
        resets_new: whether it resets new connections, as with a long queue.
        limit: value of the header that names the requests a second that the server
            takes; empty for none.
        leaving: value of the header that says whether the server leaves; empty for
            none.
        brittle: value of the header that names how many requests the server may turn
            away in a second before it falls over; empty for none.
        load_suffix: what follows the three figures of its load.
        room: requests that it runs at the same time; it turns others away.
        may_fall: whether it falls over then; it says so some time before.
        fall_s: time for which it is gone after it fell over.
        n_falls: how often it fell over.
        born: start of the server, Unix milliseconds; 0 to leave it out of its entry.
        received_at: when requests were received, monotonic seconds.
        work_s: time to run a request that is not a stream.
        first_event_s: time from a request to the first event of its stream.
        event_pause_s: time between two events of a stream.
        answer_bytes: size that its answer is padded to.
        unframed_moves: whether the answer to a move has no length.
        loses_moves: whether to stop the run on a move without answering the call.
        runs: number of runs by attempt id.
        received: requests received, except calls that move a run.
        methods: methods of the received requests.
        stopped: attempt ids of the runs that were moved away.
        n_running: requests being handled now.
        n_connections: connections accepted so far.
    """

    def __init__(
        self,
        *,
        id: str,
        ip: str,
        port: int,
        version: str = "v1",
        on_run: Callable[[Mapping[str, str]], None] = lambda _headers: None,
        on_crash: Callable[["Replica"], None] = lambda _replica: None,
        on_fall: Callable[[], None] = lambda: None,
        on_stop: Callable[[str], None] = lambda _attempt: None,
    ) -> None:
        self.on_fall = on_fall
        self.on_stop = on_stop
        self.on_run = on_run
        self.load_suffix = ""
        self.on_crash = on_crash
        self.crashing_parts: frozenset[str] = frozenset()
        self.crashing_bodies: frozenset[bytes] = frozenset()
        self.lingers_s = 0.0
        self._has_ended = False
        self.id = id
        self.ip = ip
        self.port = port
        self.version = version
        self.fault = "none"
        self.resets_new = False
        self.cut_at = 0.5
        # Refusals to write again, by the connection on which they were sent first.
        self.refusals: WeakKeyDictionary[asyncio.StreamWriter, bytes] = (
            WeakKeyDictionary()
        )
        # Connections that the fault "drop kept" resets.
        self.dropped: WeakSet[asyncio.StreamWriter] = WeakSet()
        self.limit = ""
        self.leaving = ""
        self.brittle = ""
        self.room = 1_000_000
        self.may_fall = False
        self.fall_s = 1.0
        self.n_falls = 0
        self._turned_away_at: deque[float] = deque()
        self.born = 0
        self.received_at: list[float] = []
        self.work_s = 0.0
        self.first_event_s = 0.0
        self.event_pause_s = EVENT_PAUSE_S
        self.answer_bytes = 0
        self.loses_moves = False
        self.unframed_moves = False
        self.runs: Counter[str] = Counter()
        self.received: list[IncomingRequest] = []
        self.methods: list[str] = []
        self.stopped: set[str] = set()
        self.n_running = 0
        self.n_connections = 0
        self.open = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def event_mark(self) -> bytes:
        """Text that ends the data of each event; names a version other than v1."""
        return b"" if self.version == "v1" else b"@" + self.version.encode()

    @property
    def spec(self) -> dict[str, object]:
        """The server's entry in the store, without service, zone and state."""
        return {
            **({"born": self.born} if self.born else {}),
            "Address": f"{self.ip}:{self.port}",
            "Version": self.version,
            "Slots": 8,
            "ColdLeftMs": 0,
            "Seq": 1,
        }

    async def start(self) -> None:
        """Starts listening."""
        self._has_ended = False
        sock = ResettingSocket(lambda: self.resets_new)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.ip, self.port))
        self._server = await asyncio.start_server(self._serve, sock=sock)

    async def stop(self) -> None:
        """Stops listening and aborts every connection."""
        if self._server is not None:
            self._server.close()
        self._abort_connections()

    def stop_listening(self) -> None:
        """Refuses new connections and serves the open ones, as a server that leaves."""
        if self._server is not None:
            self._server.close()

    def drop_kept(self) -> None:
        """Drops all open connections without notice; the next request meets a reset."""
        self.dropped = WeakSet(self._writers)
        self.fault = "drop kept"

    async def crash(self) -> None:
        """Ends as a process that crashes; its address may accept a little longer."""
        self._has_ended = True
        self._abort_connections()
        await asyncio.sleep(self.lingers_s)
        await self.stop()
        self.on_crash(self)

    def end_process(self) -> None:
        """Ends as a process that is killed, whose kernel closes its connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.n_connections += 1
        if self.fault == LATE:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LATE_BUFFER_BYTES)
        if self._has_ended:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            if self.fault == GREETING:
                await _send_endlessly(writer, b"", b"x" * ENDLESS_BYTES)
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, httptools.HttpParserError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        incoming = IncomingRequest()
        parser = httptools.HttpRequestParser(incoming)
        while not incoming.complete:
            data = await reader.read(READ_BYTES)
            if not data:
                return False
            parser.feed_data(data)
            is_early = self.fault in (EARLY, EARLY_CLOSE)
            if is_early and incoming.has_head and incoming.n_missing > 0:
                return await self._answer_early(incoming, reader, writer)
            if self.fault == LATE and incoming.has_head and incoming.n_missing > 0:
                return await self._read_late(incoming, reader, writer)
        if incoming.target == b"/v1/kv-move":
            move_request = json.loads(incoming.body)
            self.stopped.add(move_request["Id"])
            self.on_stop(move_request["Id"])
            if self.loses_moves:
                return _reset_connection(writer)
            body = json.dumps({"Handle": "h1", "CreateRevision": 0}).encode()
            if self.unframed_moves:
                writer.write(b"HTTP/1.1 200 Status\r\n\r\n" + body)
                return False
            _write(writer, 200, {}, body)
            return True
        self.received_at.append(time.monotonic())
        self.methods.append(parser.get_method().decode())
        self.received.append(incoming)
        if incoming.headers.get("x-berylpost-expect-replica") != self.id:
            headers = {"X-Berylpost-Replica-Id": self.id}
            if self.leaving:
                headers["Server-Leaving"] = self.leaving
            _write(writer, 421, headers, b"")
            return True
        if self.n_running >= self.room:
            return await self._turn_away(incoming, writer)
        self.n_running += 1
        handle = FAULTS.get(self.fault) or SCENARIO_FAULTS[self.fault]
        if not self.crashing_parts.isdisjoint(list_shared_parts(incoming)):
            handle = _crash
        elif incoming.body in self.crashing_bodies:
            handle = _crash_silently
        work = asyncio.ensure_future(handle(self, incoming, writer))
        disconnect = asyncio.ensure_future(reader.read(1))
        try:
            # Like a real server, drop a request whose connection closes.
            await asyncio.wait((work, disconnect), return_when=asyncio.FIRST_COMPLETED)
            return work.result() if work.done() else False
        finally:
            self.n_running -= 1
            work.cancel()
            disconnect.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await disconnect

    async def _answer_early(
        self,
        incoming: IncomingRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request whose body is not read, and reads on later, or closes."""
        self.received.append(incoming)
        _record_run(self, incoming)
        headers = _make_headers(self, incoming)
        if self.fault == EARLY_CLOSE:
            headers["Connection"] = "close"
        _write(writer, 200, headers, b"early".ljust(self.answer_bytes))
        await writer.drain()
        if self.fault == EARLY_CLOSE:
            return False
        await asyncio.sleep(READ_ON_DELAY_S)
        incoming.body += await reader.readexactly(incoming.n_missing)
        return True

    async def _read_late(
        self,
        incoming: IncomingRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Reads the body after a long time, in which its buffers are full."""
        await asyncio.sleep(LATE_READ_S)
        incoming.body += await reader.readexactly(incoming.n_missing)
        self.received.append(incoming)
        _record_run(self, incoming)
        _write(writer, 200, _make_headers(self, incoming), b"late")
        return True

    async def _turn_away(
        self, incoming: IncomingRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Refuses a request for want of room; falls over after too many."""
        now = time.monotonic()
        self._turned_away_at.append(now)
        while self._turned_away_at[0] < now - 1.0:
            self._turned_away_at.popleft()
        if self.may_fall and len(self._turned_away_at) > float(self.brittle):
            self._turned_away_at.clear()
            self.n_falls += 1
            self.on_fall()
            await self.stop()
            asyncio.get_running_loop().call_later(
                self.fall_s, lambda: asyncio.ensure_future(self.start())
            )
            return False
        return await _refuse(self, incoming, writer)


def list_shared_parts(incoming: IncomingRequest) -> list[str]:
    """Lists the ids of the parts of a prompt that other requests may share."""
    value = incoming.headers.get("x-berylpost-prompt-prefix", "")
    return [entry.partition(":")[0] for entry in value.split(",")[:-1]]


def _reset_connection(writer: asyncio.StreamWriter) -> bool:
    """Resets the connection instead of closing it gracefully."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    writer.transport.abort()
    return False


Fault = Callable[[Replica, IncomingRequest, asyncio.StreamWriter], Awaitable[bool]]


def _write(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
) -> None:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def _make_headers(replica: Replica, incoming: IncomingRequest) -> dict[str, str]:
    headers = {
        "X-Berylpost-Attempt-Id": incoming.headers.get("x-berylpost-attempt-id", ""),
        "X-Berylpost-Replica-Signature": SIGNATURE,
        "X-Berylpost-Replica-Load": f"1,0,8{replica.load_suffix}",
    }
    if replica.limit:
        headers["Server-Limit"] = replica.limit
    if replica.leaving:
        headers["Server-Leaving"] = replica.leaving
    if replica.brittle:
        headers["Server-Brittle"] = replica.brittle
    return headers


def _record_run(replica: Replica, incoming: IncomingRequest) -> None:
    replica.on_run(incoming.headers)
    replica.runs[incoming.headers.get("x-berylpost-attempt-id", "")] += 1


def _is_stream(incoming: IncomingRequest) -> bool:
    return incoming.target.startswith(b"/stream/")


async def _answer(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Runs the request and sends a complete response."""
    _record_run(replica, incoming)
    return await _send_answer(replica, incoming, writer)


async def _send_answer(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends the complete response to a request that runs."""
    if _is_stream(incoming):
        return await _stream_events(replica, incoming, writer, n_events=N_EVENTS)
    await asyncio.sleep(replica.work_s)
    body = (b"echo:" + incoming.body).ljust(replica.answer_bytes)
    _write(writer, 200, _make_headers(replica, incoming), body)
    return True


class StreamEnd(StrEnum):
    """How a fake server ends a stream."""

    WHOLE = "whole"
    CLOSED = "closed"
    RESET = "reset"
    KILLED = "killed"


async def _stream_events(
    replica: Replica,
    incoming: IncomingRequest,
    writer: asyncio.StreamWriter,
    *,
    n_events: int,
    end: StreamEnd = StreamEnd.WHOLE,
    chunked: bool = True,
    signed: bool = True,
    rest: bytes = b"",
) -> bool:
    """Sends events after the `Last-Event-Id` of the request.

    Args:
        replica: the server.
        incoming: the request.
        writer: where to send the response.
        n_events: number of the last event.
        end: how the stream ends; without chunks a whole one ends with its connection.
        chunked: whether the response has chunks; if not, its end is not marked.
        signed: whether it has the server's signature.
        rest: part of an event to send after the last event.
    """

    def send(data: bytes) -> None:
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n" if chunked else data)

    head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    headers = _make_headers(replica, incoming)
    if not signed:
        del headers["X-Berylpost-Replica-Signature"]
    head += [f"{name}: {value}" for name, value in headers.items()]
    if chunked:
        head.append("Transfer-Encoding: chunked")
    writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
    await asyncio.sleep(replica.first_event_s)
    first = int(incoming.headers.get("last-event-id", "0") or 0) + 1
    for number in range(first, n_events + 1):
        event = b"id: %d\ndata: w%d%s\n\n" % (number, number, replica.event_mark)
        # Each event spans two chunks, since chunks need not end where events do.
        for piece in (event[:9], event[9:]):
            send(piece)
        await writer.drain()
        await asyncio.sleep(replica.event_pause_s)
        if incoming.headers.get("x-berylpost-attempt-id") in replica.stopped:
            writer.close()
            return False
    if rest:
        send(rest)
    if end is StreamEnd.WHOLE and chunked:
        writer.write(b"0\r\n\r\n")
        return True
    await writer.drain()
    if end is StreamEnd.RESET:
        return _reset_connection(writer)
    if end is StreamEnd.KILLED:
        replica.end_process()
    writer.close()
    return False


async def _run_and_reset(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Runs the request and resets the connection."""
    _record_run(replica, incoming)
    return _reset_connection(writer)


async def _cut_response(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Runs the request and breaks off in the middle of the response."""
    _record_run(replica, incoming)
    if _is_stream(incoming):
        rest = b"id: 4\ndata: w"
        return await _stream_events(
            replica, incoming, writer, n_events=3, end=StreamEnd.RESET, rest=rest
        )
    headers = {**_make_headers(replica, incoming), "Content-Length": "500"}
    lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items())]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\nhalf")
    await writer.drain()
    writer.close()
    return False


async def _cut_unnumbered(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Breaks a stream off after an event without an id."""
    _record_run(replica, incoming)
    rest = b"data: more\n\n"
    return await _stream_events(
        replica, incoming, writer, n_events=3, end=StreamEnd.RESET, rest=rest
    )


async def _refuse(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Refuses the request as if full, marked as not executed."""
    headers = {**_make_headers(replica, incoming), "X-Berylpost-Not-Executed": "1"}
    _write(writer, 503, headers, b"")
    return True


def _make_refusal(
    replica: Replica, incoming: IncomingRequest, *, has_id: bool
) -> bytes:
    headers = {**_make_headers(replica, incoming), "X-Berylpost-Not-Executed": "1"}
    if not has_id:
        del headers["X-Berylpost-Attempt-Id"]
    lines = ["HTTP/1.1 503 Status", *(f"{n}: {v}" for n, v in headers.items())]
    return ("\r\n".join(lines) + "\r\nContent-Length: 0\r\n\r\n").encode()


async def _repeat_refusal(
    replica: Replica,
    incoming: IncomingRequest,
    writer: asyncio.StreamWriter,
    *,
    has_id: bool = True,
) -> bool:
    """Refuses every other request of a connection, and repeats that to the next one.

    The repeated refusal comes before the answer to a request that runs.
    """
    earlier = replica.refusals.pop(writer, None)
    if earlier is None:
        replica.refusals[writer] = _make_refusal(replica, incoming, has_id=has_id)
        return await _refuse(replica, incoming, writer)
    _record_run(replica, incoming)
    await asyncio.sleep(REPEAT_DELAY_S)
    writer.write(earlier)
    await writer.drain()
    await asyncio.sleep(REPEAT_DELAY_S)
    return await _send_answer(replica, incoming, writer)


async def _repeat_refusal_without_id(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """As `_repeat_refusal`, but the repeated refusal names no attempt."""
    return await _repeat_refusal(replica, incoming, writer, has_id=False)


async def _refuse_twice(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Refuses every other request of a connection by two answers in one write."""
    if replica.refusals.pop(writer, None) is not None:
        return await _answer(replica, incoming, writer)
    refusal = replica.refusals[writer] = _make_refusal(replica, incoming, has_id=True)
    writer.write(refusal + refusal)
    return True


async def _cut_head(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Runs the request, stops inside the answer's head and closes gracefully."""
    _record_run(replica, incoming)
    headers = {**_make_headers(replica, incoming), "Content-Length": "9"}
    if _is_stream(incoming):
        headers["Content-Type"] = "text/event-stream"
    lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items())]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    writer.write(head[: min(len(head) - 1, int(len(head) * replica.cut_at))])
    await writer.drain()
    writer.close()
    return False


async def _fail_as_stream(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Runs the request and fails by an event stream with status 500."""
    _record_run(replica, incoming)
    headers = _make_headers(replica, incoming)
    headers["Content-Type"] = "text/event-stream"
    _write(writer, 500, headers, b"id: 4\ndata: failed\n\n")
    return True


async def _fail(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Runs the request and responds with status 500."""
    _record_run(replica, incoming)
    _write(writer, 500, _make_headers(replica, incoming), b"failed")
    return True


async def _send_garbage(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Runs the request and sends bytes that are not an HTTP response."""
    _record_run(replica, incoming)
    writer.write(b"\x00\x01 nothing of the kind\r\n\r\n")
    await writer.drain()
    return True


async def _send_extra(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends a complete response and then a second one with another attempt id."""
    _record_run(replica, incoming)
    _write(writer, 200, _make_headers(replica, incoming), b"echo:" + incoming.body)
    headers = {**_make_headers(replica, incoming), "X-Berylpost-Attempt-Id": "0ther"}
    _write(writer, 200, headers, b"not yours")
    return True


async def _send_misdirected_first(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends a response with another attempt id before the right one."""
    headers = {**_make_headers(replica, incoming), "X-Berylpost-Attempt-Id": "0ther"}
    _write(writer, 200, headers, b"not yours")
    return await _answer(replica, incoming, writer)


async def _send_unframed(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends a response without a length and closes the connection gracefully."""
    _record_run(replica, incoming)
    if _is_stream(incoming):
        return await _stream_events(
            replica, incoming, writer, n_events=N_EVENTS, chunked=False
        )
    lines = ["HTTP/1.1 200 OK"]
    lines += [f"{n}: {v}" for n, v in _make_headers(replica, incoming).items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\necho:" + incoming.body)
    await writer.drain()
    writer.close()
    return False


def _send_plain(
    status: int,
    *,
    interim: bytes = b"",
    extra: tuple[tuple[str, str], ...] = (),
    closes: bool = False,
) -> Fault:
    """Makes a behaviour: an answer of some status, after interim answers if any."""

    async def answer(
        replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
    ) -> bool:
        _record_run(replica, incoming)
        writer.write(interim)
        headers = {**_make_headers(replica, incoming), **dict(extra)}
        if status in BODILESS:
            lines = [f"HTTP/1.1 {status} Status"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        else:
            _write(writer, status, headers, b"echo:" + incoming.body)
        await writer.drain()
        return not closes

    return answer


async def _answer_head(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Answers a HEAD request: a length and no body."""
    _record_run(replica, incoming)
    lines = ["HTTP/1.1 200 OK", "Content-Length: 500"]
    lines += [f"{n}: {v}" for n, v in _make_headers(replica, incoming).items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    return True


async def _stream_large_events(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Streams more than all buffers on the way take, as fast as it is read."""
    _record_run(replica, incoming)
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{n}: {v}" for n, v in _make_headers(replica, incoming).items()]
    lines.append("Transfer-Encoding: chunked")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    first = int(incoming.headers.get("last-event-id", "0") or 0) + 1
    for number in range(first, N_LARGE_EVENTS + 1):
        event = b"id: %d\ndata: %s\n\n" % (number, b"w" * LARGE_EVENT_BYTES)
        writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    return True


async def _drop_kept(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Resets a connection that was open when the fault was set; answers on others."""
    if writer in replica.dropped:
        return _reset_connection(writer)
    return await _answer(replica, incoming, writer)


async def _send_unframed_and_reset(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends part of a response without a length and resets the connection."""
    _record_run(replica, incoming)
    lines = ["HTTP/1.1 200 OK"]
    lines += [f"{n}: {v}" for n, v in _make_headers(replica, incoming).items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\necho:")
    await writer.drain()
    await asyncio.sleep(0.05)
    return _reset_connection(writer)


async def _cut_unframed_stream(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Closes a stream without a length gracefully in the middle of an event."""
    return await _close_stream(replica, incoming, writer, n_events=3, chunked=False)


async def _die_unframed(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Ends the process amid an answer without a length, of a stream between events."""
    _record_run(replica, incoming)
    if _is_stream(incoming):
        end = StreamEnd.KILLED
        return await _stream_events(
            replica, incoming, writer, n_events=3, end=end, chunked=False
        )
    lines = ["HTTP/1.1 200 OK"]
    lines += [f"{n}: {v}" for n, v in _make_headers(replica, incoming).items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\necho:")
    await writer.drain()
    replica.end_process()
    return False


async def _close_empty_stream(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Closes a stream without a length gracefully before its first event."""
    return await _close_stream(
        replica, incoming, writer, n_events=0, chunked=False, rest=b""
    )


async def _end_chunks_in_event(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends the last chunk of a stream in the middle of an event."""
    return await _close_stream(replica, incoming, writer, n_events=3, chunked=True)


async def _close_stream(
    replica: Replica,
    incoming: IncomingRequest,
    writer: asyncio.StreamWriter,
    *,
    n_events: int,
    chunked: bool,
    rest: bytes = b"id: 4\ndata: w",
) -> bool:
    if not _is_stream(incoming):
        return await _cut_response(replica, incoming, writer)
    _record_run(replica, incoming)
    return await _stream_events(
        replica,
        incoming,
        writer,
        n_events=n_events,
        end=StreamEnd.WHOLE if chunked else StreamEnd.CLOSED,
        chunked=chunked,
        rest=rest,
    )


async def _send_unsigned(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends a successful response without the server's signature."""
    _record_run(replica, incoming)
    if _is_stream(incoming):
        return await _stream_events(
            replica, incoming, writer, n_events=N_EVENTS, signed=False
        )
    headers = _make_headers(replica, incoming)
    del headers["X-Berylpost-Replica-Signature"]
    _write(writer, 200, headers, b"echo:")
    return True


async def _crash(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Begins to answer and then ends the whole server."""
    _record_run(replica, incoming)
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{n}: {v}" for n, v in _make_headers(replica, incoming).items()]
    lines.append("Transfer-Encoding: chunked")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n8\r\nid: 1\nda\r\n")
    await asyncio.sleep(CRASH_DELAY_S)
    await replica.stop()
    replica.on_crash(replica)
    return False


async def _crash_silently(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Runs the request and ends the whole server before it answers."""
    _record_run(replica, incoming)
    await asyncio.sleep(CRASH_DELAY_S)
    await asyncio.shield(replica.crash())  # goes on when this connection ends
    return False


async def _stay_silent(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Runs the request and sends nothing."""
    _record_run(replica, incoming)
    await asyncio.sleep(60)
    return False


async def _send_endless_status(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends a reason phrase without end."""
    _record_run(replica, incoming)
    return await _send_endlessly(writer, b"HTTP/1.1 200 ", b"x" * ENDLESS_BYTES)


async def _send_endless_header(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends a header whose value has no end."""
    _record_run(replica, incoming)
    head = b"HTTP/1.1 200 OK\r\nX-Long: "
    return await _send_endlessly(writer, head, b"x" * ENDLESS_BYTES)


async def _send_endless_headers(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends headers without end."""
    _record_run(replica, incoming)
    line = b"X-More: and-more\r\n"
    return await _send_endlessly(writer, b"HTTP/1.1 200 OK\r\n", line * 1_000)


async def _send_endless_body(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends a body without a length and without end; a stream has no event in it."""
    _record_run(replica, incoming)
    lines = ["HTTP/1.1 200 OK"]
    if _is_stream(incoming):
        lines.append("Content-Type: text/event-stream")
    lines += [f"{n}: {v}" for n, v in _make_headers(replica, incoming).items()]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    return await _send_endlessly(writer, head, b"x" * ENDLESS_BYTES)


def _render_chunked(replica: Replica, incoming: IncomingRequest) -> bytes:
    """Renders an answer in chunks, up to and without the line of the last one."""
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    body = b"echo:" + incoming.body
    if _is_stream(incoming):
        lines.append("Content-Type: text/event-stream")
        body = b"".join(
            b"id: %d\ndata: w%d\n\n" % (n, n) for n in range(1, N_EVENTS + 1)
        )
    lines += [f"{n}: {v}" for n, v in _make_headers(replica, incoming).items()]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    return head + b"%x\r\n" % len(body) + body + b"\r\n"


def _send_endlessly_after_chunks(
    end: bytes, rest: bytes, *, pause_s: float = 0.0
) -> Fault:
    """Makes a fault: a body in chunks, then `end`, then `rest` again and again."""

    async def answer(
        replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
    ) -> bool:
        _record_run(replica, incoming)
        head = _render_chunked(replica, incoming) + end
        return await _send_endlessly(writer, head, rest, pause_s)

    return answer


def _send_slowly(head: bytes, rest: bytes) -> Fault:
    """Makes a fault: `head`, then `rest` again and again, with pauses."""

    async def answer(
        replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
    ) -> bool:
        _record_run(replica, incoming)
        return await _send_endlessly(writer, head, rest, SLOW_PAUSE_S)

    return answer


async def _send_endlessly_after_answer(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends a complete answer with a length, then bytes that belong to no request."""
    _record_run(replica, incoming)
    _write(writer, 200, _make_headers(replica, incoming), b"echo:" + incoming.body)
    return await _send_endlessly(writer, b"", b"x" * ENDLESS_BYTES)


async def _send_endless_interim_answers(
    replica: Replica, incoming: IncomingRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends interim answers without end in place of an answer."""
    _record_run(replica, incoming)
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    return await _send_endlessly(writer, interim, interim * 400)


async def _send_endlessly(
    writer: asyncio.StreamWriter, head: bytes, rest: bytes, pause_s: float = 0.0
) -> bool:
    """Sends bytes until the caller closes, bounded by `MAX_ENDLESS_BYTES`."""
    writer.write(head)
    for _ in range(MAX_ENDLESS_BYTES // len(rest)):
        writer.write(rest)
        await writer.drain()
        await asyncio.sleep(pause_s)
    return False


FAULTS: Final[dict[str, Fault]] = {
    "none": _answer,
    "reset": _run_and_reset,
    "cut": _cut_response,
    "refuse": _refuse,
    "refusal again": _repeat_refusal,
    "refusal again without id": _repeat_refusal_without_id,
    "refusal twice": _refuse_twice,
    "head cut": _cut_head,
    "fail as stream": _fail_as_stream,
    "fail": _fail,
    "garbage": _send_garbage,
    "extra": _send_extra,
    "late extra": _send_misdirected_first,
    "unframed": _send_unframed,
    "unframed reset": _send_unframed_and_reset,
    "unframed cut": _cut_unframed_stream,
    "unframed empty": _close_empty_stream,
    "chunked cut": _end_chunks_in_event,
    "unsigned": _send_unsigned,
    "endless status": _send_endless_status,
    "endless header": _send_endless_header,
    "endless headers": _send_endless_headers,
    "endless trailers": _send_endlessly_after_chunks(b"0\r\n", b"a:b\r\n" * 13_000),
    "endless trailer": _send_endlessly_after_chunks(
        b"0\r\nX-Long: ", b"x" * ENDLESS_BYTES
    ),
    "endless chunk extension": _send_endlessly_after_chunks(
        b"5;x=", b"x" * ENDLESS_BYTES
    ),
    "endless interim answers": _send_endless_interim_answers,
    "endless body": _send_endless_body,
    "mute": _stay_silent,
}

# Faults that the soak does not draw: its proxies accept connections for a server that
# has ended, and its callers count events instead of reading their ids.
SCENARIO_FAULTS: Final[dict[str, Fault]] = {
    "cut unnumbered": _cut_unnumbered,
    "signed for one hop": _send_plain(
        200, extra=(("Connection", "keep-alive, X-Berylpost-Replica-Signature"),)
    ),
    "unframed killed": _die_unframed,
    "endless extra": _send_endlessly_after_answer,
    GREETING: _answer,
    EARLY: _answer,  # to requests without a body
    EARLY_CLOSE: _answer,
    LATE: _answer,  # to requests without a body
    "interim": _send_plain(200, interim=b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "continue": _send_plain(200, interim=b"HTTP/1.1 100 Continue\r\n\r\n"),
    "no content": _send_plain(204),
    "not modified": _send_plain(304),
    "closing": _send_plain(200, extra=(("Connection", "close"),), closes=True),
    "closing silently": _send_plain(200, closes=True),
    "head": _answer_head,
    "drop kept": _drop_kept,
    "large events": _stream_large_events,
    "slow headers": _send_slowly(b"HTTP/1.1 200 OK\r\n", b"X-More: and-more\r\n"),
    "slow interim answers": _send_slowly(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "slow trailers": _send_endlessly_after_chunks(
        b"0\r\n", b"a:b\r\n", pause_s=SLOW_PAUSE_S
    ),
    "slow chunk extension": _send_endlessly_after_chunks(
        b"5;x=", b"x", pause_s=SLOW_PAUSE_S
    ),
}
