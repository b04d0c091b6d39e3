"""HTTP/1.1 server for callers: parses their requests and frames the answers.

Each connection serves one request at a time; pipelined requests are queued. A caller
that closes its connection cancels the request in progress and the queued ones.
"""

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Final, cast

import httptools

from ..errors import BerylpostError, ErrorKind, render_problem
from ..logs import log_event
from ..platform import names
from ..platform.headers import MAX_DIGITS, Header, is_number
from ..policy.client_limits import cost_request
from ..policy.connection_end import CloseReason, Phase, may_close
from ..sockets import count_unread, shut_down
from .caller_memory import CallerMemory
from .caller_requests import CallerRequest, find_phrase, render_rejections
from .clock import read_boottime
from .model import CallerLimits
from .paced_reader import PacedReader
from .request_account import RequestEnd

if TYPE_CHECKING:
    from .caller_server import CallerServer

LOGGER: Final = logging.getLogger(__name__)

MAX_PIPELINED: Final = 8  # complete requests queued behind the one in progress
# Parsed at once, so that few requests and header lines arrive beyond a limit.
HEAD_SLICE_BYTES: Final = 4_096
PIPELINE_SLICE_BYTES: Final = 1_024  # of requests behind one that is being served
# In chunks of one byte it takes one or two milliseconds.
BODY_SLICE_BYTES: Final = 16_384
# After the last answer, for what its caller sent before it knew; many round trips.
LINGER_S: Final = 0.5
# Other requests have been answered by then.
BUSY_RETRY_S: Final = 0.5
CONTINUE: Final = b"100-continue"
MAX_ID_CHARS: Final = 256  # of an id that is kept without its request
HEADER_EXTRA_BYTES: Final = 4  # colon, space and line end
# Limits for callers until a configuration sets others.
DEFAULT_LIMITS: Final = CallerLimits(
    header_bytes=16_384,
    body_bytes=4 << 20,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class CallerConnection(asyncio.Protocol):
    """A connection from one caller.

    Args:
        server: the server that accepted the connection.

    Attributes:
        active_at: boot-time clock of the last bytes received or request finished.
        on_writable: called with False when the caller reads too slowly and with True
            when writing can resume or the connection is lost.
        answer_started: whether the head of the current answer was sent.
        has_served: whether a request was answered on it.
        memory: counts what the caller makes the daemon hold.
    """

    def __init__(self, *, server: "CallerServer") -> None:
        self.active_at = read_boottime()
        self.on_writable: Callable[[bool], None] | None = None
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[CallerRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._closing = False
        self._lingers = False
        self._has_ended = False
        self._rejected = False
        self._rejection = b""
        # Ids of whole requests that are refused when the one in progress is answered.
        self._refused_ids: list[str] = []
        self._target = b""
        self._headers: list[Header] = []
        # Bytes of headers, trailer fields and heads of chunks.
        self._overhead_bytes = 0
        self._in_head = True
        self._has_progress = False
        self._is_paused = False
        self._reader = PacedReader(parse=self._parse, find_slice=self._find_slice)
        self.has_served = False
        self.memory = CallerMemory(
            budget=server.buffers,
            reject=self._reject_overload,
            abort=self.abort,
            read_unsent=self._read_unsent,
        )
        self._body = bytearray()
        self._arrived_at = 0.0
        self._chunked = False
        self._request: CallerRequest | None = None
        self._has_begun = False
        # Id of the last request whose answer was completed.
        self._answered_id = ""
        self.answer_started = False
        self._answer_complete = False
        self._aborted = False

    @property
    def phase(self) -> Phase:
        """What the connection is busy with."""
        if self._task is not None:
            return Phase.ANSWERING if self.answer_started else Phase.RUNNING
        if self._queue:
            return Phase.QUEUED
        if self._read_unsent():
            return Phase.UNSENT
        if self._reader.n_unparsed:
            return Phase.UNPARSED
        if self._cost_incomplete():
            return Phase.INCOMPLETE
        return Phase.IDLE if self.has_served else Phase.NEW

    @property
    def is_busy(self) -> bool:
        """Whether a complete request is queued or being served."""
        return self._task is not None or bool(self._queue)

    @property
    def is_running(self) -> bool:
        """Whether a request is being served."""
        return self._task is not None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers with the server."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.account.n_accepted += 1
        self._reader.attach(self._transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self._server.admit(self):
            retry_s = BUSY_RETRY_S
            self._reject(ErrorKind.OVERLOADED, "too many connections", retry_s)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._rejected or self._has_ended:
            return
        self.active_at = self.memory.active_at = read_boottime()
        self._reader.receive(data)
        self._count_held()

    def _find_slice(self) -> int:
        """Returns how many bytes to parse at once; 0 if enough requests are queued."""
        if self._rejected:
            return BODY_SLICE_BYTES  # to be dropped
        if len(self._queue) > MAX_PIPELINED:
            return 0
        if not self._in_head:
            return BODY_SLICE_BYTES
        return PIPELINE_SLICE_BYTES if self.is_busy else HEAD_SLICE_BYTES

    def _parse(self, data: bytes) -> None:
        """Parses a slice of the received bytes."""
        if self._rejected:
            return
        self._has_progress = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(ErrorKind.BAD_REQUEST, "protocol upgrades are not offered")
        except httptools.HttpParserError as error:
            self._reject(ErrorKind.BAD_REQUEST, str(error))
        if not self._has_progress:
            self._count_overhead(len(data))
        self._check_body()
        self._count_held()

    def eof_received(self) -> bool:
        """Closes the connection when the caller has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress and drops the queued ones."""
        self._transport = None
        self._reader.close()
        self.memory.count_unsent(0)
        self._drop_unserved(
            RequestEnd.UNSERVED if self._closing else RequestEnd.CALLER_LEFT
        )
        self._server.remove(self)
        if self._task is not None:
            self._task.cancel()
        if self.on_writable is not None:
            self.on_writable(True)

    def pause_writing(self) -> None:
        """Reports that the caller reads too slowly."""
        self._is_paused = True
        self.memory.count_unsent()
        if self.on_writable is not None:
            self.on_writable(False)

    def resume_writing(self) -> None:
        """Reports that writing can resume."""
        self._is_paused = False
        self.memory.count_unsent()
        if self.on_writable is not None:
            self.on_writable(True)
        self._start_next()

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
        headers = dict(self._headers)
        length = headers.get(b"content-length", b"")
        self.memory.n_expected = int(length[:MAX_DIGITS]) if is_number(length) else 0
        if not self._rejected and headers.get(b"expect", b"").lower() == CONTINUE:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body, which may be a single byte."""
        self._has_progress = True
        if not self._rejected:
            self._body += body

    def _check_body(self) -> None:
        """Rejects a request whose body is too large."""
        limit = self._server.read_limits().body_bytes
        if len(self._body) > limit and not self._rejected:
            self._reject(ErrorKind.BODY_TOO_LARGE, f"more than {limit} bytes")

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        self._has_progress = True
        self._in_head = True
        self._check_body()
        if self._rejected:
            return
        n_held = self._cost_incomplete()
        if not self.memory.take(n_held):
            self._reject_overload()
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=bytes(self._body),
            arrived_at=self._arrived_at,
            keep_alive=self._parser.should_keep_alive(),
            n_held=n_held,
        )
        self._drop_incomplete()
        self.memory.n_expected = 0
        self.memory.complete()
        self._server.account.n_read += 1
        self._queue.append(request)
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
        if self._server.leaving and not self._has_more():
            self._closing = self._lingers = True
        if not request.keep_alive:
            self._closing = True
        phrase = reason or find_phrase(status)
        lines = [b"HTTP/1.1 %d %s" % (status, phrase)]
        lines += [name + b": " + value for name, value in headers]
        if length is None:
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % length)
        if self._closing:
            lines.append(b"Connection: close")
        self._write(b"\r\n".join(lines) + b"\r\n\r\n")

    def _has_more(self) -> bool:
        """Tells whether a part of a further request has arrived."""
        return bool(
            self._queue
            or self._reader.n_unparsed
            or self._cost_incomplete()
            or self._count_waiting()
        )

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
        self._answer_complete = True

    def answer(
        self, status: int, reason: bytes, headers: Iterable[Header], body: bytes
    ) -> None:
        """Sends a complete answer."""
        self.begin(status, reason, headers, length=len(body))
        request = self._request
        if request is None or request.method != b"HEAD":
            self._write(body)
        self._answer_complete = True

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
        if self._transport is not None and not self._aborted:
            if self.phase is Phase.UNSENT and not self._rejected:
                self._server.account.note_unsent(self._answered_id)
            self._count_unread()
            self._transport.abort()
        self._closing = self._aborted = True

    def may_close(self, reason: CloseReason) -> bool:
        """Tells whether the connection may be closed without losing a request."""
        silent_s = read_boottime() - self.active_at
        return may_close(reason, self.phase, silent_s=silent_s)

    def close_unused(self, reason: CloseReason) -> bool:
        """Closes the connection unless that could lose a request.

        Returns:
            Whether it was closed; nothing waited in its socket then.
        """
        if not self.may_close(reason) or self._count_waiting():
            return False
        self.close_when_written()
        return True

    def end_requests(self) -> asyncio.Task[None] | None:
        """Cancels the request in progress, whose handler is still to answer.

        Queued ones begin after it and refuse by themselves.

        Returns:
            The task of the handler; None if no request is in progress.
        """
        # One that is cancelled before it begins never runs; it will refuse by itself.
        if self._task is not None and self._has_begun:
            self._task.cancel()
        return self._task

    def close_when_written(self) -> None:
        """Closes the connection after pending writes and the request in progress."""
        self._closing = True
        if self._transport is not None and self._task is None:
            self._close_transport()

    def list_unfinished(self) -> list[tuple[str, Phase]]:
        """Lists ids and phases of the requests that have not ended."""
        listed = [self._request] if self._request is not None else []
        listed += self._queue
        unfinished = [(r.id, self.phase) for r in listed]
        if self.phase is Phase.UNSENT:
            unfinished.append((self._answered_id, Phase.UNSENT))
        return unfinished

    def read_descriptor(self) -> int:
        """Returns the number of the socket; -1 if the connection is closed."""
        transport = self._transport
        sock = transport.get_extra_info("socket") if transport is not None else None
        return sock.fileno() if sock is not None else -1

    def _close_transport(self) -> None:
        assert self._transport is not None
        if not self._transport.is_closing():
            self._count_unread()
            sock = self._transport.get_extra_info("socket")
            if sock is not None and not self._read_unsent():
                shut_down(sock)
        self._transport.close()

    def _linger(self) -> None:
        """Ends the sending side; drops what comes until the caller closes, too.

        To close a socket in which bytes wait resets the connection, which destroys what
        the caller has not read of its last answer.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not self._has_ended:
            self._has_ended = True
            self._count_unread()
            self._drop_unserved(RequestEnd.UNSERVED)
            self._reader.close()
            transport.resume_reading()
            transport.write_eof()
        elif not self._read_unsent():
            transport.close()
            return
        asyncio.get_running_loop().call_later(LINGER_S, self._linger)

    def _count_waiting(self) -> int:
        """Returns how many received bytes wait in the socket."""
        return count_unread(self.read_descriptor())

    def _count_unread(self) -> None:
        """Counts bytes that wait in the socket of a connection to be closed."""
        n_bytes = self._count_waiting() + self._reader.n_unparsed
        if n_bytes:
            self._server.account.note_unread(n_bytes)

    def _count_overhead(self, n_bytes: int) -> None:
        """Counts bytes of a request besides its body."""
        self._overhead_bytes += n_bytes
        limit = 2 * self._server.read_limits().header_bytes
        if self._overhead_bytes > limit and not self._rejected:
            self._reject(ErrorKind.BAD_REQUEST, f"headers of more than {limit} bytes")

    def _read_unsent(self) -> int:
        transport = self._transport
        return transport.get_write_buffer_size() if transport is not None else 0

    def _cost_incomplete(self) -> int:
        """Returns the memory for the request that is arriving; 0 if there is none."""
        n_bytes = self._overhead_bytes + len(self._target) + len(self._body)
        return cost_request(len(self._headers), n_bytes) if n_bytes else 0

    def _count_held(self) -> None:
        """Counts what has arrived; rejects the request if that is too much."""
        self.memory.arrived_at = self._arrived_at
        n_bytes = self._cost_incomplete() + self._reader.n_unparsed
        if not self._rejected and not self.memory.take(n_bytes):
            self._reject_overload()

    def _drop_incomplete(self) -> None:
        self._target = b""
        self._headers = []
        self._overhead_bytes = 0
        self._body = bytearray()

    def _drop_unserved(self, end: RequestEnd) -> None:
        """Drops the incomplete request and the queued ones, which end as given."""
        self._drop_incomplete()
        self.memory.drop_unserved()
        for request_id in self._refused_ids + [r.id for r in self._queue]:
            self._server.account.note_end(end, request_id, Phase.QUEUED)
        self._refused_ids = []
        self._queue.clear()

    def _reject(
        self, kind: ErrorKind, detail: str, retry_after_s: float | None = None
    ) -> None:
        """Rejects what arrives; the whole requests before it are served first."""
        self._rejected = True
        log_event(LOGGER, "request_unreadable", kind=kind, detail=detail)
        error = BerylpostError(kind, detail, retry_after_s=retry_after_s)
        ids = list(self._refused_ids)
        if self._cost_incomplete() or not ids:
            ids.append("")  # what is incomplete, or no request
        self._rejection = render_rejections(error, ids)
        self._drop_incomplete()
        self.memory.take(0)
        if not self.is_busy:
            self._send_rejection()

    def _reject_overload(self) -> None:
        """Rejects what arrives and refuses the queued requests, which hold memory."""
        ids = [request.id for request in self._queue]
        self._refused_ids += [i if len(i) <= MAX_ID_CHARS else "" for i in ids]
        self._queue.clear()
        self.memory.drop_unserved()
        self._reject(ErrorKind.OVERLOADED, "too much is held at once", BUSY_RETRY_S)

    def _send_rejection(self) -> None:
        # The caller may read the answers before this function returns.
        for request_id in self._refused_ids:
            end, phase = RequestEnd.ANSWERED, Phase.QUEUED
            self._server.account.note_end(end, request_id, phase)
        self._refused_ids = []
        self._write(self._rejection)
        self.close_when_written()

    def _write(self, data: bytes) -> None:
        if self.is_open and not self._has_ended:
            assert self._transport is not None
            self._transport.write(data)
            if self.memory.n_unsent or self._read_unsent():
                self.memory.count_unsent()

    def _start_next(self) -> None:
        if self._task is not None or not self._queue or self._transport is None:
            return
        if self._is_paused:
            return  # the caller is to read its answers first
        self._request = self._queue.popleft()
        self.memory.begin(self._request.n_held)
        self.answer_started = self._answer_complete = self._has_begun = False
        n_held = self._request.n_held
        self._task = asyncio.create_task(self._run(self._request))
        self._task.add_done_callback(lambda task: self._end_task(task, n_held))
        if len(self._queue) == MAX_PIPELINED:
            self._reader.proceed()
            self._count_held()

    def _end_task(self, task: asyncio.Task[None], n_held: int) -> None:
        """Releases a request of `n_held` bytes, also one that was never served."""
        self.memory.release(n_held)
        # Otherwise it has begun, and the next request may be the one in progress.
        if self._task is task and self._request is not None:
            self._note_end(self._request)
            self._task = self._request = None

    async def _run(self, request: CallerRequest) -> None:
        self._has_begun = True
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
            self._note_end(request)
            self._task = None
            self._request = None  # an idle connection must not keep its headers
            self.has_served = True
            self.on_writable = None
            self.active_at = read_boottime()
            if self._transport is not None:
                if self._lingers:
                    self._linger()
                elif self._closing:
                    self._close_transport()
                elif self._rejected and not self._queue:
                    self._send_rejection()
                else:
                    self._start_next()

    def _note_end(self, request: CallerRequest) -> None:
        """Counts how the request in progress has ended."""
        end = RequestEnd.ANSWERED
        if not self._answer_complete:
            has_left = self._transport is None and not self._aborted
            end = RequestEnd.CALLER_LEFT if has_left else RequestEnd.BROKEN_OFF
        self._answered_id = request.id
        self._server.account.note_end(end, self._answered_id, self.phase)
