"""HTTP/1.1 server for callers: parses their requests and frames the answers.

Each connection serves one request at a time; pipelined requests are queued. A caller
that closes its connection cancels the request in progress and the queued ones.
"""

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, cast

import httptools

from ..errors import BerylpostError, ErrorKind, render_problem
from ..logs import log_event
from ..platform import names
from ..platform.headers import Header
from .buffer_budget import BufferBudget
from .clock import read_boottime
from .model import CallerLimits

LOGGER: Final = logging.getLogger(__name__)

BACKLOG: Final = 1_024  # room for a burst of new connections while the loop is busy
MAX_PIPELINED: Final = 8  # complete requests queued behind the one in progress
# Connections are kept this much longer than callers may leave them idle, so that no
# request is sent while its connection is being closed.
IDLE_MARGIN_S: Final = 2.0
SWEEP_S: Final = 1.0
# Other requests have been answered by then.
BUSY_RETRY_S: Final = 0.5
HEADER_EXTRA_BYTES: Final = 4  # colon, space and line end
# Limits for callers until a configuration sets others.
DEFAULT_LIMITS: Final = CallerLimits(
    header_bytes=16_384,
    body_bytes=4 << 20,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A complete request.

    Attributes:
        headers: headers with names in lower case.
        arrived_at: boot-time clock at which the first bytes arrived.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    keep_alive: bool

    def find(self, name: bytes) -> bytes:
        """Returns the value of a header; empty if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


Handler = Callable[[CallerRequest, "CallerConnection"], Awaitable[None]]


class CallerServer:
    """Listens for callers and passes each complete request to a handler.

    Args:
        handler: serves one request; it must finish or abort the answer.
        read_limits: returns the limits for callers that currently apply.
        buffers: counts the bodies that are held; None for few small ones.

    Attributes:
        leaving: whether to close each connection after its next answer.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        read_limits: Callable[[], CallerLimits] = lambda: DEFAULT_LIMITS,
        buffers: BufferBudget | None = None,
    ) -> None:
        self.handler = handler
        self.buffers = buffers or BufferBudget(memory_bytes=float("inf"))
        self.read_limits = read_limits
        self.leaving = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, ip: str, port: int) -> None:
        """Starts listening.

        Raises:
            OSError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(server=self),
            ip,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self._sweeper = asyncio.create_task(self._close_idle())

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones continue."""
        if self._server is not None:
            self._server.close()

    async def end_requests(self, timeout_s: float) -> None:
        """Ends the requests in progress and waits until their handlers have answered.

        Args:
            timeout_s: how long to wait.
        """
        tasks = [t for c in self.connections if (t := c.end_requests()) is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def count_busy(self) -> int:
        """Counts the connections with an unanswered request."""
        return sum(1 for connection in self.connections if connection.is_busy)

    def close(self) -> None:
        """Stops listening and closes all connections, busy ones after their request."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.close_when_written()

    def kill(self) -> None:
        """Stops listening and aborts all connections, like the end of the process."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.abort()

    async def _close_idle(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            limits = self.read_limits()
            idle_before = read_boottime() - limits.idle_timeout_s - IDLE_MARGIN_S
            for connection in list(self.connections):
                if not connection.is_busy and connection.active_at < idle_before:
                    connection.close_when_written()


class CallerConnection(asyncio.Protocol):
    """A connection from one caller.

    Args:
        server: the server that accepted the connection.

    Attributes:
        active_at: boot-time clock of the last bytes received or request finished.
        on_writable: called with False when the caller reads too slowly and with True
            when writing can resume or the connection is lost.
        answer_started: whether the head of the current answer was sent.
    """

    def __init__(self, *, server: CallerServer) -> None:
        self.active_at = read_boottime()
        self.on_writable: Callable[[bool], None] | None = None
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[CallerRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._closing = False
        self._rejected = False
        self._target = b""
        self._headers: list[Header] = []
        # Bytes of headers, trailer fields and heads of chunks.
        self._overhead_bytes = 0
        self._in_head = True
        self._has_progress = False
        # Bytes counted because the caller reads too slowly.
        self._n_unsent = 0
        self._body = bytearray()
        self._arrived_at = 0.0
        self._chunked = False
        self._request: CallerRequest | None = None
        self.answer_started = False

    @property
    def is_busy(self) -> bool:
        """Whether a complete request is queued or being served."""
        return self._task is not None or bool(self._queue)

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers with the server."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._rejected:
            return
        self.active_at = read_boottime()
        self._has_progress = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(ErrorKind.BAD_REQUEST, "protocol upgrades are not offered")
        except httptools.HttpParserError as error:
            self._reject(ErrorKind.BAD_REQUEST, str(error))
        if not self._has_progress:
            self._count_overhead(len(data))

    def eof_received(self) -> bool:
        """Closes the connection when the caller has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress and drops the queued ones."""
        self._transport = None
        self._count_unsent(0)
        n_held = len(self._body) + sum(len(r.body) for r in self._queue)
        self._server.buffers.adjust(-n_held)
        self._body = bytearray()
        self._queue.clear()
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()
        if self.on_writable is not None:
            self.on_writable(True)

    def pause_writing(self) -> None:
        """Reports that the caller reads too slowly."""
        self._count_unsent()
        if self.on_writable is not None:
            self.on_writable(False)

    def resume_writing(self) -> None:
        """Reports that writing can resume."""
        self._count_unsent(0)
        if self.on_writable is not None:
            self.on_writable(True)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Resets the parser state for a new request."""
        self._target = b""
        self._headers = []
        self._overhead_bytes = 0
        self._in_head = True
        self._body = bytearray()
        self._arrived_at = read_boottime()

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; ignores a trailer field."""
        self._has_progress = True
        self._count_overhead(len(name) + len(value) + HEADER_EXTRA_BYTES)
        if self._in_head and not self._rejected:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Answers `Expect: 100-continue`."""
        self._in_head = False
        if (
            not self._rejected
            and dict(self._headers).get(b"expect", b"").lower() == b"100-continue"
        ):
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self._has_progress = True
        if self._rejected:
            return
        if not self._server.buffers.take(len(body)):
            self._reject(ErrorKind.OVERLOADED, "too many bodies at once", BUSY_RETRY_S)
            return
        self._body += body
        limit = self._server.read_limits().body_bytes
        if len(self._body) > limit:
            self._reject(ErrorKind.BODY_TOO_LARGE, f"more than {limit} bytes")

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        self._has_progress = True
        if self._rejected:
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=bytes(self._body),
            arrived_at=self._arrived_at,
            keep_alive=self._parser.should_keep_alive(),
        )
        self._body = bytearray()
        self._queue.append(request)
        if len(self._queue) > MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._start_next()

    # Called by handlers.

    def begin(
        self,
        status: int,
        reason: bytes,
        headers: Iterable[Header],
        *,
        length: int | None,
    ) -> None:
        """Sends the head of the answer.

        Args:
            status: status code of the answer.
            reason: reason phrase; empty for the standard one.
            headers: headers other than those for framing and the connection.
            length: length of the body; None to send it in chunks.
        """
        request = self._request
        if request is None or self.answer_started:
            return
        self.answer_started = True
        self._chunked = length is None
        if self._server.leaving or not request.keep_alive:
            self._closing = True
        phrase = reason or _find_phrase(status)
        lines = [b"HTTP/1.1 %d %s" % (status, phrase)]
        lines += [name + b": " + value for name, value in headers]
        if length is None:
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % length)
        if self._closing:
            lines.append(b"Connection: close")
        self._write(b"\r\n".join(lines) + b"\r\n\r\n")

    def send(self, data: bytes) -> None:
        """Sends a piece of the body."""
        if not data:
            return
        if self._chunked:
            self._write(b"%x\r\n" % len(data) + data + b"\r\n")
        else:
            self._write(data)

    def finish(self) -> None:
        """Marks the end of a complete answer."""
        if self._chunked:
            self._write(b"0\r\n\r\n")

    def answer(
        self, status: int, reason: bytes, headers: Iterable[Header], body: bytes
    ) -> None:
        """Sends a complete answer."""
        self.begin(status, reason, headers, length=len(body))
        request = self._request
        if request is None or request.method != b"HEAD":
            self._write(body)

    def answer_error(self, error: BerylpostError) -> None:
        """Sends an error of this daemon as a complete answer."""
        status, headers, body = render_problem(error, whole_seconds=False)
        pairs = [(n.lower().encode(), v.encode("latin-1")) for n, v in headers]
        request_id = self._request and self._request.find(names.ATTEMPT_ID)
        if request_id:
            pairs.append((names.ATTEMPT_ID, request_id))
        self.answer(status, b"", pairs, body)

    def abort(self) -> None:
        """Aborts the connection so that the answer cannot be taken as complete."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def end_requests(self) -> asyncio.Task[None] | None:
        """Cancels the request in progress, whose handler is still to answer.

        Returns:
            The task of the handler; None if no request is in progress.
        """
        self._closing = True
        if self._task is not None:
            self._task.cancel()
        return self._task

    def close_when_written(self) -> None:
        """Closes the connection after pending writes and the request in progress."""
        self._closing = True
        if self._transport is not None and self._task is None:
            self._transport.close()

    def _count_overhead(self, n_bytes: int) -> None:
        """Counts bytes of a request besides its body."""
        self._overhead_bytes += n_bytes
        limit = 2 * self._server.read_limits().header_bytes
        if self._overhead_bytes > limit and not self._rejected:
            self._reject(ErrorKind.BAD_REQUEST, f"headers of more than {limit} bytes")

    def _count_unsent(self, n_bytes: int | None = None) -> None:
        """Counts what the caller has not read; by default all that is buffered."""
        if n_bytes is None and self._transport is not None:
            n_bytes = self._transport.get_write_buffer_size()
        before, self._n_unsent = self._n_unsent, n_bytes or 0
        self._server.buffers.adjust(self._n_unsent - before)

    def _reject(
        self, kind: ErrorKind, detail: str, retry_after_s: float | None = None
    ) -> None:
        """Rejects a malformed or too large request and closes the connection."""
        self._rejected = True
        log_event(LOGGER, "request_unreadable", kind=kind, detail=detail)
        if self._task is None and not self._queue:
            status, headers, body = render_problem(
                BerylpostError(kind, detail, retry_after_s=retry_after_s),
                whole_seconds=False,
            )
            lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            self._write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.close_when_written()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if self._n_unsent:
                self._count_unsent()

    def _start_next(self) -> None:
        if self._task is not None or not self._queue or self._transport is None:
            return
        self._request = self._queue.popleft()
        self.answer_started = False
        self._task = asyncio.create_task(self._run(self._request))
        if len(self._queue) == MAX_PIPELINED:
            self._transport.resume_reading()

    async def _run(self, request: CallerRequest) -> None:
        try:
            await self._server.handler(request, self)
        except asyncio.CancelledError:
            pass  # the caller has closed the connection; the handler has logged it
        except Exception:
            LOGGER.exception("event=handler_error")
            if self.answer_started:
                self.abort()
            else:
                kind = ErrorKind.INTERNAL
                self.answer_error(BerylpostError(kind, "see this daemon's log"))
        finally:
            self._server.buffers.adjust(-len(request.body))
            self._task = None
            self.on_writable = None
            self.active_at = read_boottime()
            if self._transport is not None:
                if self._closing or self._rejected:
                    self._transport.close()
                else:
                    self._start_next()


def _find_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
