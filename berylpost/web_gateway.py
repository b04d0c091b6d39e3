"""How the own interface's HTTP server reads requests and passes sockets on.

It refuses with problem documents, hands a caller's socket to the relay when a handler
asks for that, and tells `web_workers` what each thread is busy with.
"""

import contextlib
import socket
import ssl
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10

from .edge.request_account import RequestEnd
from .errors import BerylpostError, ErrorKind, render_problem
from .metrics import REFUSALS
from .policy.connection_end import Phase
from .sockets import count_unread, is_readable
from .streams import render_response

HANDOVER_KEY: Final = "berylpost.handover"
CONNECTION_KEY: Final = "berylpost.connection"
# Slow requests have lost their threads by then.
BUSY_RETRY_S: Final = 1.0

STATUS_KINDS: Final = {
    400: ErrorKind.BAD_REQUEST,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.METHOD_NOT_ALLOWED,
    408: ErrorKind.BAD_REQUEST,
    411: ErrorKind.BAD_REQUEST,
    413: ErrorKind.BODY_TOO_LARGE,
    414: ErrorKind.BAD_REQUEST,
    501: ErrorKind.BAD_REQUEST,
    505: ErrorKind.BAD_REQUEST,
}


def make_displaced() -> BerylpostError:
    """Makes the refusal of a request that lost its place to others."""
    return BerylpostError(
        ErrorKind.OVERLOADED, "too much is held at once", retry_after_s=BUSY_RETRY_S
    )


def reject_connection(conn: Any) -> None:
    """Answers a connection that has no place and closes it."""
    REFUSALS.labels(ErrorKind.OVERLOADED).inc()
    with contextlib.suppress(OSError):
        conn.socket.settimeout(0)
        conn.socket.sendall(render_response(*render_problem(make_displaced())))
    conn.close()


def read_body(environment: Mapping[str, Any], source: Any) -> bytes:
    """Reads the whole body of a request.

    Raises:
        BerylpostError: `OVERLOADED` if the request lost its place, `BAD_REQUEST` if the
            caller ended the connection before the end of the body.
    """
    connection = environment[CONNECTION_KEY]
    try:
        body = bytes(source.read())
    except (OSError, ValueError):
        if connection.is_displaced:
            raise make_displaced() from None
        raise
    connection.server.end_reading(connection)
    if connection.is_displaced:
        raise make_displaced()
    if len(body) < int(environment.get("CONTENT_LENGTH") or 0):
        raise BerylpostError(ErrorKind.BAD_REQUEST, "the body ended early")
    return body


class ProblemRequest(HTTPRequest):
    """Uses problem documents also for requests that cheroot itself refuses."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Writes a problem document and closes the connection."""
        kind = STATUS_KINDS.get(int(str(status)[:3]), ErrorKind.INTERNAL)
        error = BerylpostError(kind, msg or str(status))
        if self.conn.is_displaced:
            error = make_displaced()
        problem = render_problem(error)
        REFUSALS.labels(error.kind).inc()
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write(render_response(*problem))

    def read_request_headers(self) -> bool:
        """Reads the headers; refuses a continuation line before the first header."""
        try:
            return bool(super().read_request_headers())  # type: ignore[no-untyped-call]
        except UnboundLocalError:
            # cheroot treats an indented first header as a continuation line.
            self.simple_response("400 Bad Request", "malformed header")
            return False


class ProblemConnection(HTTPConnection):
    """Notes what its thread is busy with, for `BoundedServer`."""

    RequestHandlerClass = ProblemRequest
    is_known = False
    is_long = False
    is_displaced = False
    known_at = 0.0  # when it was accepted, monotonic seconds
    arrived_at: float | None = None  # when its open request began to arrive
    reading_since: float | None = None
    writing_since: float | None = None
    n_expected = 0  # bytes of the body that is being read
    n_answered = 0

    def communicate(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        self.n_expected = 0
        self.server.begin_reading(self)
        try:
            keeps_open = bool(super().communicate())  # type: ignore[no-untyped-call]
            self.n_answered += 1
            return keeps_open and not self.is_displaced
        finally:
            self.server.end_request(self)

    def close(self) -> None:
        """Closes the connection and its descriptor.

        cheroot leaves the writer's reference to the socket, and with it the descriptor,
        to the garbage collector.
        """
        self.server.forget(self)
        if not self.linger:
            n_unread = count_unread(self.socket.fileno())
            if n_unread:
                self.server.account.note_unread(n_unread)
        super().close()
        if not self.linger:
            with contextlib.suppress(OSError, ValueError):
                self.wfile.raw.close()


class HandoverGateway(Gateway_10):
    """Passes the socket on when a handler returns a `SocketHandover`."""

    def respond(self) -> None:
        """Responds, or hands the connection over before the first byte."""
        # A mutable list, since CherryPy gets only a copy of the environment.
        receivers: list[Callable[[socket.socket], None]] = []
        self.env[HANDOVER_KEY] = receivers
        connection = self.req.conn
        self.env[CONNECTION_KEY] = connection
        length = self.env.get("CONTENT_LENGTH") or "0"
        connection.n_expected = int(length) if length.isdigit() else 0
        if not connection.n_expected and not self.req.chunked_read:
            self.req.server.end_reading(connection)
        self.req.server.account.note_read()
        try:
            response = self.req.server.wsgi_app(self.env, self.start_response)
        except BaseException:
            self._note_end(RequestEnd.BROKEN_OFF)
            raise
        if not receivers:
            connection.writing_since = time.monotonic()
            if self.req.server.is_leaving() and not self._expects_more():
                self.req.close_connection = True
            self._write_answer(response)
            return
        if hasattr(response, "close"):
            response.close()
        # From here on cheroot must neither write to the socket nor close it.
        self.req.sent_headers = True
        self.req.chunked_write = False
        self.req.close_connection = True
        connection.linger = True
        receivers[0](_detach_socket(connection))

    def _write_answer(self, response: Any) -> None:
        """Writes an answer and counts how its request ended."""
        end = RequestEnd.BROKEN_OFF
        try:
            try:
                for chunk in filter(None, response):
                    self.write(chunk)
            finally:
                self.req.ensure_headers_sent()
                if hasattr(response, "close"):
                    response.close()
            end = RequestEnd.ANSWERED
        except ConnectionError:
            end = RequestEnd.CALLER_LEFT
            raise
        finally:
            self._note_end(end)

    def _note_end(self, end: RequestEnd) -> None:
        connection = self.req.conn
        caller = f"{connection.remote_addr}:{connection.remote_port}"
        self.req.server.account.note_end(end, caller, Phase.ANSWERING)

    def _expects_more(self) -> bool:
        """Tells whether a close would drop a request, or reset the answer to this one.

        That is so if a part of the body or another request was not read yet.
        """
        if self.req.chunked_read or getattr(self.req.rfile, "remaining", 0):
            return True
        connection = self.req.conn
        if connection.rfile.has_data():
            return True
        return is_readable([connection.socket.fileno()])


def _detach_socket(connection: Any) -> socket.socket:
    sock = connection.socket
    if isinstance(sock, ssl.SSLSocket):
        return sock  # detaching it would lose its TLS session
    return socket.socket(fileno=sock.detach())
