"""Connections to backend servers and the exchanges on them.

A connection carries one exchange at a time. It is not used again after bytes that
belong to no request, an answer to another request, or an answer that cannot be parsed.
A server may answer before it has read a long body, keep the connection and read on
later. Nothing tells when it has read so far that it would answer another request at
once. So a connection rests after a long request, and for good if the request was not
sent whole when its answer began. A resting one is used only if the pool is full.
An answer that has not arrived completely is never reported as complete.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, cast

import httptools

from ..answer_framing import (
    MAX_REASON_BYTES,
    AnswerFraming,
    OversizedAnswerError,
    check_status,
)
from ..event_stream import CONTENT_TYPE, OversizedEventError
from ..logs import log_event
from ..platform import names
from ..platform.headers import Header, parse_keep_alive
from ..sockets import count_unsent
from .buffer_budget import BufferBudget
from .clock import read_boottime
from .http_channel import set_socket_options
from .paced_reader import PacedReader

LOGGER: Final = logging.getLogger(__name__)

# Time that sent bytes may stay unacknowledged before the kernel closes the connection.
UNACKED_TIMEOUT_S: Final = 3.0
# Parsed at once; in chunks of one byte it takes one or two milliseconds.
SLICE_BYTES: Final = 16_384
# Idle timeout of connections to servers that do not announce their own.
DEFAULT_IDLE_TIMEOUT_S: Final = 4.0
# Idle connections are closed this long before the server closes them; the server
# gives its idle timeout in whole seconds.
IDLE_MARGIN_S: Final = 1.0
# Servers read so much at once; what is longer may wait unread after its answer.
LONG_REQUEST_BYTES: Final = 4_096
# Time from the begin of the answer to a long request in which the connection rests.
REST_S: Final = 1.0
# Maximum size of the body of an answer that is buffered until it is complete.
MAX_BUFFERED_BYTES: Final = 4 << 20
# Incomplete events count in steps of this size, so that ordinary ones cost no time.
EVENT_STEP_BYTES: Final = 4_096


class Failure(StrEnum):
    """How an exchange failed.

    Attributes:
        NOT_CONNECTED: no connection was opened.
        NO_ROOM: the pool has no connection left.
        UNKNOWN_PROCESS: the server may have started again at another version.
        RESET: the connection was reset.
        CUT: the server closed the connection before the end of the answer.
        BAD_ANSWER: the answer cannot be used.
        TIMEOUT: no answer came in time.
    """

    NOT_CONNECTED = "not_connected"
    NO_ROOM = "no_room"
    UNKNOWN_PROCESS = "unknown_process"
    RESET = "reset"
    CUT = "cut"
    BAD_ANSWER = "bad_answer"
    TIMEOUT = "timeout"


class UpstreamError(Exception):
    """An exchange failed in the way given by `kind`."""

    def __init__(self, kind: Failure, detail: str) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Status and headers of an answer, with header names in lower case.

    Attributes:
        length: length of the body; None if its end is marked in another way.
        framed: whether a complete body differs from one cut off by a closed connection.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    length: int | None
    framed: bool

    @property
    def is_stream(self) -> bool:
        """Whether it is a successful answer of server-sent events."""
        content_type = self.find(b"content-type").decode("latin-1").lower()
        return self.status < 300 and CONTENT_TYPE in content_type

    @property
    def framing(self) -> str:
        """How the end of the body is marked, for log lines."""
        if not self.framed:
            return "close"
        return "chunked" if self.length is None else "length"

    def find(self, name: bytes) -> bytes:
        """Returns the value of a header, empty when there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


class Exchange:
    """One request on a connection, from sending it to the end of its answer.

    Args:
        attempt_id: id that the answer must echo if it has an id at all.
        has_body: False for an answer that never has a body.
        buffers: counts the bytes of the body that are held.

    Attributes:
        head: the head of the answer, when it has arrived.
        end: done when the answer is complete, or failed.
        body: bytes of the body that no sink has taken.
        n_held: number of bytes that count as buffered.
        sink: receives the body instead of `body`.
        discard_event: discards the incomplete event that the sink holds.
    """

    def __init__(
        self,
        *,
        attempt_id: bytes,
        has_body: bool,
        buffers: BufferBudget | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.attempt_id = attempt_id
        self.has_body = has_body
        self.head: asyncio.Future[AnswerHead] = loop.create_future()
        self.end: asyncio.Future[None] = loop.create_future()
        self.body = bytearray()
        self.sink: Callable[[bytes], None] | None = None
        self.discard_event: Callable[[], None] = lambda: None
        self.n_held = 0
        self._buffers = buffers or BufferBudget(memory_bytes=float("inf"))

    def add_body(self, data: bytes) -> None:
        """Passes a piece of the body to the sink, or buffers it.

        Raises:
            OversizedAnswerError: the body is too large to be buffered.
        """
        if self.sink is not None:
            self.sink(data)
            return
        if len(self.body) + len(data) > MAX_BUFFERED_BYTES:
            raise OversizedAnswerError(f"body of more than {MAX_BUFFERED_BYTES} bytes")
        if not self.end.done():
            self.body += data
            self._buffers.hold(self, len(data))

    def count_event(self, n_bytes: int) -> None:
        """Counts the bytes of an incomplete event that the sink holds, in steps."""
        n_counted = n_bytes - n_bytes % EVENT_STEP_BYTES
        if n_counted == self.n_held or self.end.done():
            return
        if n_counted < self.n_held:
            self._buffers.release(self)
        self._buffers.hold(self, n_counted - self.n_held)

    def give_up(self) -> None:
        """Fails the exchange since all buffered bodies take too much memory."""
        self.fail(UpstreamError(Failure.BAD_ANSWER, "too many large answers at once"))
        self.sink = None
        self.discard_event()
        self.discard_body()

    def discard_body(self) -> None:
        """Discards the bytes that are buffered."""
        self.body = bytearray()
        self._buffers.release(self)

    def attach(self, sink: Callable[[bytes], None]) -> None:
        """Sends the body to a function, including the bytes already buffered."""
        self.sink = sink
        if self.body:
            data, self.body = bytes(self.body), bytearray()
            self._buffers.release(self)
            sink(data)

    def finish(self) -> None:
        """Marks the answer as complete."""
        self._buffers.keep(self)
        if not self.end.done():
            self.end.set_result(None)

    def fail(self, error: UpstreamError) -> None:
        """Marks the exchange as failed unless it has ended."""
        for future in (self.head, self.end):
            if not future.done():
                future.set_exception(error)
                # Marks the exception as retrieved, as this future may never be awaited.
                future.exception()


class Connection(asyncio.Protocol):
    """A connection to one backend server.

    Args:
        backend_id: id of the server, for log lines.
        peer: daemon through which the connection goes; empty if it is direct.
        on_closed: called once when the connection is closed.

    Attributes:
        idle_since: clock of the pool at which the last exchange ended.
        idle_timeout_s: the connection is closed after it was idle for this long.
        reusable: whether the connection may carry another exchange.
        rests_until: boot-time clock before which another connection is better.
        opened_at: boot-time clock at which it was opened.
        received_at: boot-time clock at which it last brought bytes.
        is_confirmed: whether others showed that the process that accepted it is known.
        closed: set when the connection is closed.
    """

    def __init__(
        self,
        *,
        backend_id: str,
        on_closed: Callable[["Connection"], None],
        peer: str = "",
    ) -> None:
        self.backend_id = backend_id
        self.peer = peer
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.reusable = True
        self.rests_until = 0.0
        self.opened_at = read_boottime()
        self.received_at = float("-inf")
        self.is_confirmed = False
        self.closed = asyncio.Event()
        self.n_exchanges = 0
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._reason = b""
        self._discarding = False
        self._unframed = False
        self._is_aborted = False
        self._is_long = False
        self._unacked_s = UNACKED_TIMEOUT_S
        self._framing = AnswerFraming()
        self._reader = PacedReader(parse=self._parse, find_slice=lambda: SLICE_BYTES)
        # Pieces of the body in the bytes that are being parsed.
        self._pieces: list[bytes] = []
        # Whether the server has named the request that it answered on this connection.
        self._has_echoed = False

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_watched(self) -> bool:
        """Whether it is open and read, so that its end would be seen."""
        return self.is_open and self._reader.is_reading

    @property
    def is_sent(self) -> bool:
        """Whether the other side's kernel has taken all bytes of the last request."""
        transport = self._transport
        if transport is None:
            return True
        sock = transport.get_extra_info("socket")
        n_waiting = count_unsent(sock.fileno()) if sock is not None else 0
        return not transport.get_write_buffer_size() + n_waiting

    def send(self, data: bytes, exchange: Exchange, *, limit_s: float = 0.0) -> None:
        """Sends a request whose answer goes to the exchange.

        Args:
            data: the request.
            exchange: takes the answer.
            limit_s: time in which the request must be answered.
        """
        assert self._transport is not None
        self._exchange = exchange
        self._framing.begin_answer()
        self.n_exchanges += 1
        self.rests_until = 0.0
        self._is_long = len(data) > LONG_REQUEST_BYTES
        # To the kernel a server that reads late is like one that is gone.
        unacked_s = max(UNACKED_TIMEOUT_S, limit_s if self._is_long else 0.0)
        if unacked_s != self._unacked_s:
            self._unacked_s = unacked_s
            set_socket_options(self._transport, unacked_s)
        self._transport.write(data)

    def abort(self) -> None:
        """Closes at once and discards unsent bytes; the server sees a reset."""
        self.reusable = False
        self._is_aborted = True
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Stops reading while the caller is slow."""
        self._reader.hold(is_held=True)

    def resume_reading(self) -> None:
        """Resumes reading."""
        self._reader.hold(is_held=False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the socket options."""
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(self._transport, UNACKED_TIMEOUT_S)
        self._reader.attach(self._transport)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self.received_at = read_boottime()
        self._reader.receive(data)

    def _parse(self, data: bytes) -> None:
        """Parses a slice of the received bytes."""
        if self._is_aborted:
            return
        if self._exchange is None:
            log_event(
                LOGGER, "surplus_bytes", backend=self.backend_id, n_bytes=len(data)
            )
            self.abort()
            return
        try:
            try:
                self._parser.feed_data(data)
            finally:
                self._pass_on()
            self._framing.end_read(len(data))
        except (
            httptools.HttpParserError,
            OversizedAnswerError,
            OversizedEventError,
        ) as error:
            if self._framing.in_trailers:
                self._finish_in_trailers()
            self._fail(Failure.BAD_ANSWER, str(error))
            self.abort()
        if self._framing.in_trailers:
            self._finish_in_trailers()

    def eof_received(self) -> bool:
        """Completes an answer whose end is marked by an orderly close."""
        self._reader.parse_rest()
        if self._unframed and self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            exchange.finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange that is in progress."""
        self.reusable = False
        self._reader.parse_rest()
        self._transport = None
        self._reader.close()
        kind = Failure.CUT if exc is None else Failure.RESET
        self._fail(kind, str(exc or "closed"))
        self._on_closed(self)
        self.closed.set()
        # It holds what it has not passed on, in a reference cycle with this connection.
        del self._parser

    def _finish_in_trailers(self) -> None:
        """Completes an exchange whose body is complete; trailers may have no end."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self.reusable = False
            exchange.finish()

    def on_message_begin(self) -> None:
        """Resets the parser state for a new answer."""
        self._headers = []
        self._reason = b""
        self._framing.begin_message()
        self._discarding = self._exchange is None
        if self._discarding:
            # Bytes after the end of the answer belong to no request.
            self.reusable = False

    def on_status(self, status: bytes) -> None:
        """Appends a piece of the reason phrase."""
        if len(self._reason) < MAX_REASON_BYTES:
            self._reason = (self._reason + status)[:MAX_REASON_BYTES]

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; ignores a trailer field."""
        if self._framing.add_field():
            self._headers.append((name.lower(), value))

    def on_chunk_header(self) -> None:
        """Notes the size of a chunk."""
        self._framing.begin_chunk()

    def on_headers_complete(self) -> None:
        """Checks the head of the answer and passes it to the exchange."""
        status = self._parser.get_status_code()
        check_status(status)
        exchange = self._exchange
        if exchange is None or status < 200:
            self._discarding = True
            return
        headers = dict(self._headers)
        echoed = headers.get(names.ATTEMPT_ID)
        if echoed is not None and echoed != exchange.attempt_id:
            log_event(
                LOGGER,
                "answer_to_other_request",
                backend=self.backend_id,
                wanted=exchange.attempt_id.decode("latin-1"),
                got=echoed.decode("latin-1"),
            )
            self._discarding = True
            self.reusable = False
            return
        if echoed is None and exchange.attempt_id and self._is_suspect(status, headers):
            # It may belong to an earlier request; this one may be running.
            log_event(LOGGER, "answer_without_id", backend=self.backend_id)
            self._discarding = True
            self._fail(Failure.BAD_ANSWER, "answer without an id")
            self.abort()
            return
        self._has_echoed = self._has_echoed or echoed is not None
        if self._is_long:
            rest_s = REST_S if self.is_sent else float("inf")
            self.rests_until = read_boottime() + rest_s
        chunked = b"chunked" in headers.get(b"transfer-encoding", b"").lower()
        length = headers.get(b"content-length")
        bodiless = not exchange.has_body or status in (204, 304)
        self._unframed = not bodiless and not chunked and length is None
        if not self._parser.should_keep_alive() or self._unframed or bodiless:
            self.reusable = False
        idle_timeout_s = parse_keep_alive(headers.get(b"keep-alive", b""))
        if idle_timeout_s is not None:
            self.idle_timeout_s = max(0.3, idle_timeout_s - IDLE_MARGIN_S)
        head = AnswerHead(
            status=status,
            reason=self._reason,
            headers=tuple(self._headers),
            length=int(length) if length is not None and not chunked else None,
            framed=not self._unframed,
        )
        self._framing.end_head()
        if not exchange.head.done():
            exchange.head.set_result(head)
        if bodiless:
            self._exchange = None
            exchange.finish()

    def _is_suspect(self, status: int, headers: dict[bytes, bytes]) -> bool:
        """Tells whether an answer that names no request may belong to another one."""
        refuses = status == 421 or names.NOT_EXECUTED in headers
        return self._has_echoed or (refuses and self.n_exchanges > 1)

    def on_body(self, body: bytes) -> None:
        """Notes a piece of the body; those of one read are passed on together."""
        self._framing.add_body()
        if not self._discarding and self._exchange is not None:
            self._pieces.append(body)

    def _pass_on(self) -> None:
        """Passes the pieces of the body to the exchange.

        Raises:
            OversizedAnswerError: the body is too large to be buffered.
            OversizedEventError: it is a stream with an event that is too large.
        """
        if self._pieces and self._exchange is not None:
            body = b"".join(self._pieces)
            self._pieces.clear()
            self._exchange.add_body(body)

    def on_message_complete(self) -> None:
        """Completes the exchange."""
        if self._discarding or self._unframed:
            return
        self._pass_on()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.finish()

    def _fail(self, kind: Failure, detail: str) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.fail(UpstreamError(kind, detail))
