"""Pools of HTTP connections that take no broken answer for a whole one.

The standard library takes a head that breaks off for a whole one: the answer then has
the status of its first line, no length and, once the server has closed, an empty body.
A faulty server may write a refusal once more on a kept connection. Answers have no ids
by which it could be told from the answer to the next request, so a connection is not
used again after a refusal.
"""

import http.client
from typing import Any, Final

import urllib3
from urllib3.connection import HTTPConnection

# Statuses by which servers refuse a request.
_REFUSALS: Final = frozenset({408, 421, 429, 503})
# What ends a head; the standard library accepts both.
_HEAD_ENDS: Final = frozenset({b"\r\n", b"\n"})


class BrokenHeadError(http.client.HTTPException):
    """The server closed the connection inside the head of its answer."""


class _LineRecorder:
    """A file that remembers the last line that was read."""

    def __init__(self, file: Any) -> None:
        self.file = file
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Reads a line."""
        self.last_line = self.file.readline(limit)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


class _WholeHeadResponse(http.client.HTTPResponse):
    """A response whose head must have arrived whole."""

    def begin(self) -> None:
        """Reads the head.

        Raises:
            BrokenHeadError: the connection was closed before the head ended.
        """
        recorder = _LineRecorder(self.fp)
        self.fp = recorder  # type: ignore[assignment]
        super().begin()
        if recorder.last_line not in _HEAD_ENDS:
            raise BrokenHeadError("connection closed inside the head of the answer")
        if self.fp is not None:  # it is closed if no body follows
            self.fp = recorder.file


class _Connection(HTTPConnection):
    response_class = _WholeHeadResponse
    _has_refused = False

    def request(self, *args: Any, **options: Any) -> None:
        """Sends a request, on a new connection after a refusal."""
        if self._has_refused:
            self.close()
            self._has_refused = False
        super().request(*args, **options)

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Returns the response to the request."""
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
