"""Pools of HTTP connections that bear the answers of faulty servers.

No broken answer is taken for a whole one, and no part of an answer takes more memory
than a bound, although the standard library sets none to lines, trailer fields, interim
answers and bodies.

The standard library takes a head that breaks off for a whole one: the answer then has
the status of its first line, no length and, once the server has closed, an empty body.
A server may reset the connection amid its answer while the request is still written.
urllib3 passes over that error. The kernel reports it once, so the next read finds an
orderly end; an answer without a length is then broken off, not whole.

A faulty server may write a refusal once more on a kept connection. Answers have no ids
by which it could be told from the answer to the next request, so a connection is not
used again after a refusal.
"""

import functools
import http.client
import socket
import time
from typing import Any, Final

import urllib3
from urllib3.connection import HTTPConnection

from .answer_framing import InvalidStatusError, check_status
from .policy.server_process import (
    ProbeResult,
    find_run_pause,
    interpret_error,
    is_running,
)

# Statuses by which servers refuse a request.
_REFUSALS: Final = frozenset({408, 421, 429, 503})
# What ends a head; the standard library accepts both.
_HEAD_ENDS: Final = frozenset({b"\r\n", b"\n"})
MAX_ANSWER_BYTES: Final = 16 << 20  # well above a page of the store, which is 1 MB
MAX_LINE_BYTES: Final = 64 << 10  # as the standard library allows in a head
MAX_LINES: Final = 256  # fields of a head, or of the trailers
# From the first byte of a head, or of the trailers, to its end. A timeout of the socket
# bounds only the time between two reads.
MAX_LINES_S: Final = 3.0
# Time limit for a connection that shows whether a server still runs.
SERVING_TIMEOUT_S: Final = 0.5
# Time for which a connection that shows so must stay open.
KEPT_S: Final = 0.05


class BrokenHeadError(http.client.HTTPException):
    """The head of an answer is not whole, or not valid."""


class OversizedPartError(http.client.HTTPException):
    """A part of the answer is larger than the bound given in the message."""


class BrokenBodyError(http.client.HTTPException):
    """The server broke off an answer that ends with its connection."""


class _BoundedFile:
    """What a server sends, with bounds on lines and on the whole.

    Args:
        file: the connection.
        address: address of the server; None if it need not run on after its answer.
        was_reset: whether the connection was reset while the request was written.

    Attributes:
        last_line: the last line that was read.
        ends_with_connection: whether nothing else marks the end of the body.
    """

    def __init__(
        self, file: Any, address: tuple[str, int] | None, *, was_reset: bool
    ) -> None:
        self.file = file
        self._was_reset = was_reset
        self.ends_with_connection = False
        self._address = address
        self.last_line = b""
        self._n_lines = 0  # since the last piece of the body
        self._n_bytes = 0
        self._lines_began_at: float | None = None

    def readline(self, limit: int = -1) -> bytes:
        """Reads a line.

        Raises:
            OversizedPartError: the line, or the number or time of the lines without a
                body, exceeds the bound.
        """
        is_in_trailers = self._is_last_chunk_read()
        self._n_lines += 1
        if self._n_lines > MAX_LINES:
            if is_in_trailers:
                return b""  # the body is complete
            raise OversizedPartError(f"more than {MAX_LINES} lines without a body")
        line = self._read_line(limit if 0 <= limit else MAX_LINE_BYTES + 1)
        if line is None:
            if is_in_trailers:
                return b""
            raise OversizedPartError(f"lines without a body for over {MAX_LINES_S} s")
        if len(line) > MAX_LINE_BYTES and limit < 0:
            if is_in_trailers:
                return b""
            raise OversizedPartError(f"line of more than {MAX_LINE_BYTES} bytes")
        if not is_in_trailers:
            self.last_line = line
        return line

    def _read_line(self, limit: int) -> bytes | None:
        """Reads a line of at most `limit` bytes; None if it does not come in time."""
        line = bytearray()
        while len(line) < limit and not line.endswith(b"\n"):
            ahead = self.file.peek(1)
            now = time.monotonic()
            if self._lines_began_at is None:
                self._lines_began_at = now
            if now - self._lines_began_at > MAX_LINES_S:
                return None
            if not ahead:
                break
            end = ahead.find(b"\n") + 1 or len(ahead)
            line += self.file.read(min(end, limit - len(line)))
        return bytes(line)

    def read(self, n_bytes: int = -1) -> bytes:
        """Reads a part of the body.

        Raises:
            OversizedPartError: the answer exceeds the bound.
            BrokenBodyError: the server has broken the body off.
        """
        most = MAX_ANSWER_BYTES - self._n_bytes + 1
        # The file allocates as much as is asked for, whatever a length promises.
        is_whole = n_bytes is None or n_bytes < 0
        data = self.file.read(most if is_whole else min(n_bytes, most))
        self._count(len(data))
        if is_whole or (n_bytes and not data):
            self._check_end()
        return bytes(data)

    def readinto(self, buffer: Any) -> int:
        """Reads a part of the body into a buffer.

        Raises:
            OversizedPartError: the answer exceeds the bound.
            BrokenBodyError: the server has broken the body off.
        """
        n_bytes = int(self.file.readinto(buffer))
        self._count(n_bytes)
        if not n_bytes:
            self._check_end()
        return n_bytes

    def _check_end(self) -> None:
        """Checks a body that its connection has ended."""
        address = self._address
        if self.ends_with_connection and self._was_reset:
            raise BrokenBodyError("connection reset while the request was written")
        if self.ends_with_connection and address and not _is_serving(address):
            raise BrokenBodyError("connection closed as the server ended")

    def _is_last_chunk_read(self) -> bool:
        """Tells whether the last line that was read is the head of an empty chunk."""
        size = self.last_line.partition(b";")[0].strip()
        return bool(size) and not size.strip(b"0")

    def _count(self, n_bytes: int) -> None:
        self._n_lines = 0
        self._lines_began_at = None
        self._n_bytes += n_bytes
        if self._n_bytes > MAX_ANSWER_BYTES:
            raise OversizedPartError(f"answer of more than {MAX_ANSWER_BYTES} bytes")

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


def _is_serving(address: tuple[str, int]) -> bool:
    """Tells whether the process of a server runs on after its answer.

    The kernel closes the connections of a process that is killed in an orderly way, as
    a server does at the end of an answer.
    """
    results: list[ProbeResult] = []
    pause_s: float | None = 0.0
    while pause_s is not None:
        time.sleep(pause_s)
        results.append(_probe(address))
        pause_s = find_run_pause(results)
    return is_running(results)


def _probe(address: tuple[str, int]) -> ProbeResult:
    """Opens a connection and returns what becomes of it."""
    try:
        connection = socket.create_connection(address, SERVING_TIMEOUT_S)
    except OSError as error:
        return interpret_error(error)
    with connection:
        connection.settimeout(KEPT_S)
        try:
            return ProbeResult.KEPT if connection.recv(1) else ProbeResult.RESET
        except TimeoutError:
            return ProbeResult.KEPT
        except OSError:
            return ProbeResult.RESET


class _WholeHeadResponse(http.client.HTTPResponse):
    """A response whose head must have arrived whole.

    Args:
        address: address of the server; None if it need not run on after its answer.
        was_reset: whether the connection was reset while the request was written.
    """

    def __init__(
        self,
        *args: Any,
        address: tuple[str, int] | None = None,
        was_reset: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._address = address
        self._was_reset = was_reset

    def begin(self) -> None:
        """Reads the head.

        Raises:
            BrokenHeadError: the connection was closed before the head ended, or the
                status is none of HTTP's.
        """
        bounded = _BoundedFile(self.fp, self._address, was_reset=self._was_reset)
        self.fp = bounded  # type: ignore[assignment]
        super().begin()
        if bounded.last_line not in _HEAD_ENDS:
            raise BrokenHeadError("connection closed inside the head of the answer")
        try:
            check_status(self.status)
        except InvalidStatusError as error:
            raise BrokenHeadError(str(error)) from error
        bounded.ends_with_connection = self.length is None and not self.chunked


class _Connection(HTTPConnection):
    _has_refused = False
    _was_reset = False

    def request(self, *args: Any, **options: Any) -> None:
        """Sends a request, on a new connection after a refusal.

        Raises:
            OSError: the server has closed or reset the connection; urllib3 reads the
                response all the same.
        """
        if self._has_refused:
            self.close()
            self._has_refused = False
        self._was_reset = False
        try:
            super().request(*args, **options)
        except OSError:
            self._was_reset = True
            raise

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Returns the response to the request."""
        # The address is known to the connection even when the server has reset it.
        self.response_class = functools.partial(  # type: ignore[assignment]
            _WholeHeadResponse,
            address=(self.host, self.port),
            was_reset=self._was_reset,
        )
        response = super().getresponse()
        self._has_refused = response.status in _REFUSALS
        return response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def make_pool(**options: Any) -> urllib3.PoolManager:
    """Makes a pool manager for plain HTTP.

    Args:
        options: options of `urllib3.PoolManager`.
    """
    pool = urllib3.PoolManager(**options)
    pool.pool_classes_by_scheme = {**pool.pool_classes_by_scheme, "http": _Pool}
    return pool
