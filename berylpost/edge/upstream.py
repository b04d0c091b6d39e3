"""Connections to backend servers and the exchanges on them.

A connection carries one exchange at a time. Bytes that belong to no request, an
answer to another request, or an answer that cannot be parsed end its use; what has
not come whole is never told as whole.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, cast

import httptools

from ..logs import log_event
from ..platform import names
from ..platform.headers import Header, parse_keep_alive
from .http_channel import set_socket_options
from .model import Backend

LOGGER: Final = logging.getLogger(__name__)

CONNECT_TIMEOUT_S: Final = 0.4  # a hundred round trips; well inside every objective
UNACKED_TIMEOUT_S: Final = 3.0  # unacknowledged bytes before the kernel gives up
DEFAULT_IDLE_TIMEOUT_S: Final = (
    4.0  # kept when the server does not say how long it keeps
)
IDLE_MARGIN_S: Final = 1.0  # closed before the server does, whose figure is whole
MAX_BUFFERED_BYTES: Final = 4 << 20  # of one answer that is kept until whole


class Failure(StrEnum):
    """How an exchange failed."""

    NOT_CONNECTED = "not_connected"
    RESET = "reset"
    CUT = "cut"
    BAD_ANSWER = "bad_answer"
    TIMEOUT = "timeout"


class UpstreamError(Exception):
    """An exchange failed; `kind` says how."""

    def __init__(self, kind: Failure, detail: str) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Status and headers of an answer, header names in lower case.

    Attributes:
        length: of the body, None when its end is told otherwise.
        framed: whether the end of the body can be told from a broken connection.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    length: int | None
    framed: bool

    def find(self, name: bytes) -> bytes:
        """Returns the value of a header, empty when there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


class Exchange:
    """One request on a connection, from sending to the end of its answer.

    Args:
        attempt_id: the id that the answer must echo.
        has_body: False for an answer that never has one.
    """

    def __init__(self, *, attempt_id: bytes, has_body: bool) -> None:
        loop = asyncio.get_running_loop()
        self.attempt_id = attempt_id
        self.has_body = has_body
        self.head: asyncio.Future[AnswerHead] = loop.create_future()
        self.end: asyncio.Future[None] = loop.create_future()
        self.body = bytearray()
        self.sink: Callable[[bytes], None] | None = None

    def add_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if self.sink is not None:
            self.sink(data)
        else:
            self.body += data

    def attach(self, sink: Callable[[bytes], None]) -> None:
        """Sends the body, with what came already, to a function."""
        self.sink = sink
        if self.body:
            data, self.body = bytes(self.body), bytearray()
            sink(data)

    def finish(self) -> None:
        """Marks the answer whole."""
        if not self.end.done():
            self.end.set_result(None)

    def fail(self, error: UpstreamError) -> None:
        """Marks the exchange failed where it has not ended."""
        for future in (self.head, self.end):
            if not future.done():
                future.set_exception(error)
                future.exception()  # one of the two may have no reader


class Connection(asyncio.Protocol):
    """A connection to one backend server.

    Args:
        backend_id: for the log.
        on_closed: called once when the connection is gone.
    """

    def __init__(
        self, *, backend_id: str, on_closed: Callable[["Connection"], None]
    ) -> None:
        self.backend_id = backend_id
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.reusable = True
        self.n_exchanges = 0
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._reason = b""
        self._discarding = False
        self._unframed = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry an exchange."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, data: bytes, exchange: Exchange) -> None:
        """Sends a request; the exchange gets what comes back."""
        assert self._transport is not None
        self._exchange = exchange
        self.n_exchanges += 1
        self._transport.write(data)

    def abort(self) -> None:
        """Closes at once, dropping what was not sent; the server sees a reset."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Stops reading while the caller is slow."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads on."""
        if self.is_open and self._transport is not None:
            self._transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(self._transport, UNACKED_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        """Parses what came."""
        if self._exchange is None:
            log_event(
                LOGGER, "surplus_bytes", backend=self.backend_id, n_bytes=len(data)
            )
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(Failure.BAD_ANSWER, str(error))
            self.abort()

    def eof_received(self) -> bool:
        """Ends an answer whose length is told by an orderly close."""
        if self._unframed and self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            exchange.finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells whoever waits on the connection."""
        self.reusable = False
        self._transport = None
        kind = Failure.CUT if exc is None else Failure.RESET
        self._fail(kind, str(exc or "closed"))
        self._on_closed(self)

    def on_message_begin(self) -> None:
        """A message begins."""
        self._headers = []
        self._reason = b""
        self._discarding = self._exchange is None
        if self._discarding:
            # More bytes after the answer; they belong to no request.
            self.reusable = False

    def on_status(self, status: bytes) -> None:
        """Takes a piece of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """All headers have come."""
        status = self._parser.get_status_code()
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
        if not exchange.head.done():
            exchange.head.set_result(head)
        if bodiless:
            self._exchange = None
            exchange.finish()

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        exchange = self._exchange
        if self._discarding or exchange is None:
            return
        exchange.add_body(body)
        if len(exchange.body) > MAX_BUFFERED_BYTES:
            self._fail(Failure.BAD_ANSWER, "answer too large to keep")
            self.abort()

    def on_message_complete(self) -> None:
        """The message is whole."""
        if self._discarding or self._unframed:
            return
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.finish()

    def _fail(self, kind: Failure, detail: str) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.fail(UpstreamError(kind, detail))


class ConnectionPool:
    """Kept connections to one backend server.

    Args:
        backend: the server.
        n_max: most connections of this daemon to it.
        clock: seconds of the age clock.
    """

    def __init__(
        self, *, backend: Backend, n_max: int, clock: Callable[[], float]
    ) -> None:
        self.n_max = n_max
        self.n_opened = 0
        self._backend = backend
        self._clock = clock
        self._idle: list[Connection] = []
        self._n_open = 0

    async def acquire(self, *, max_idle_s: float) -> Connection:
        """Takes an idle connection or opens one.

        Args:
            max_idle_s: a connection that was idle for longer is not used.

        Raises:
            UpstreamError: it could not be connected; nothing was sent.
        """
        now = self._clock()
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            idle_s = now - connection.idle_since
            if not connection.is_open or idle_s > connection.idle_timeout_s:
                self._idle.pop(index)
                connection.abort()
            elif idle_s <= max_idle_s:
                return self._idle.pop(index)
        if self._n_open >= self.n_max:
            raise UpstreamError(Failure.NOT_CONNECTED, "all connections in use")
        return await self._open()

    async def _open(self) -> Connection:
        loop = asyncio.get_running_loop()
        self._n_open += 1
        self.n_opened += 1
        opened = False
        try:
            _, connection = await asyncio.wait_for(
                loop.create_connection(
                    lambda: Connection(
                        backend_id=self._backend.id, on_closed=self._remove
                    ),
                    *self._backend.address,
                ),
                CONNECT_TIMEOUT_S,
            )
            opened = True
        except (OSError, TimeoutError) as error:
            raise UpstreamError(Failure.NOT_CONNECTED, repr(error)) from error
        finally:
            if not opened:
                self._n_open -= 1
        if not connection.is_open:
            # The server reset it before this task went on.
            raise UpstreamError(Failure.NOT_CONNECTED, "reset at once")
        return connection

    def release(self, connection: Connection) -> None:
        """Puts a connection back after a whole answer, or closes it."""
        if not connection.reusable or not connection.is_open:
            connection.abort()
            return
        connection.idle_since = self._clock()
        self._idle.append(connection)

    def sweep(self) -> None:
        """Closes connections that were idle for too long."""
        now = self._clock()
        for connection in list(self._idle):
            if now - connection.idle_since > connection.idle_timeout_s:
                self._idle.remove(connection)
                connection.abort()

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _remove(self, connection: Connection) -> None:
        self._n_open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
