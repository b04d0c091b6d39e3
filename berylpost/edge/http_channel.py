"""A keep-alive HTTP connection to a platform service, for one call at a time.

Distinguishes calls that certainly had no effect from those whose effect is unknown, as
`berylpost.platform.web` does for code that runs in threads.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple, cast

import httptools

from ..answer_framing import AnswerFraming, OversizedAnswerError, check_status
from ..errors import LostAnswerError, PlatformError
from .model import Endpoint
from .open_paths import NotConnectedError, OpenPath
from .paced_reader import PacedReader

MAX_ANSWER_BYTES: Final = 16 << 20  # well above a page of the store, which is 1 MB
# An engine's report takes 50 bytes a run; many engines are called at once.
MAX_ENGINE_ANSWER_BYTES: Final = 256 << 10
# Parsed at once; in chunks of one byte it takes one or two milliseconds.
SLICE_BYTES: Final = 16_384


class OversizedBodyError(LostAnswerError):
    """The body of an answer is larger than the caller accepts."""


class HttpAnswer(NamedTuple):
    """A complete answer, with header names in lower case."""

    status: int
    body: bytes
    headers: Mapping[bytes, bytes] = MappingProxyType({})


class _AnswerProtocol(asyncio.Protocol):
    """Parses one answer at a time from its own connection."""

    def __init__(self, *, max_bytes: int = MAX_ANSWER_BYTES) -> None:
        self._max_bytes = max_bytes
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[HttpAnswer] | None = None
        self.keep_alive = True
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._headers: dict[bytes, bytes] = {}
        self._unframed = False
        self._framing = AnswerFraming()
        self._reader = PacedReader(parse=self._parse, find_slice=lambda: SLICE_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self._reader.attach(self.transport)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self._reader.receive(data)

    def _parse(self, data: bytes) -> None:
        """Parses a slice of the received bytes."""
        if self.transport is None:
            return  # aborted
        try:
            self._parser.feed_data(data)
            self._framing.end_read(len(data))
        except (httptools.HttpParserError, OversizedAnswerError) as error:
            if not self._framing.in_trailers:
                self._fail(LostAnswerError(f"malformed answer: {error}"))
                self.abort()
        if self._framing.in_trailers:
            # The body is complete; the trailer fields may have no end.
            self.keep_alive = False
            self._complete()

    def eof_received(self) -> bool:
        """Completes an answer whose end is marked by an orderly close."""
        self._reader.parse_rest()
        if self._unframed:
            self.keep_alive = False
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the call that is in progress."""
        self._reader.parse_rest()
        self.transport = None
        self._reader.close()
        self._fail(LostAnswerError(f"connection lost: {exc}"))
        # It holds what it has not passed on, in a reference cycle with this protocol.
        del self._parser

    def on_message_begin(self) -> None:
        """Clears the parser state for a new answer."""
        self._body.clear()
        self._headers.clear()
        self._unframed = False
        self._framing.begin_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; ignores a trailer field."""
        if self._framing.add_field():
            self._headers[name.lower()] = value

    def on_chunk_header(self) -> None:
        """Notes the size of a chunk."""
        self._framing.begin_chunk()

    def on_headers_complete(self) -> None:
        """Notes whether the answer ends with its connection."""
        check_status(self._parser.get_status_code())
        if self._parser.get_status_code() >= 200:
            self._framing.end_head()
        self._unframed = (
            b"content-length" not in self._headers
            and b"chunked" not in self._headers.get(b"transfer-encoding", b"").lower()
        )

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self._framing.add_body()
        self._body += body
        if len(self._body) > self._max_bytes:
            detail = f"answer of more than {self._max_bytes} bytes"
            self._fail(OversizedBodyError(detail))
            self.abort()

    def on_message_complete(self) -> None:
        """Completes an answer whose end is marked in its framing."""
        self._unframed = False
        if self._parser.get_status_code() >= 200:
            self._framing.begin_answer()
        self._complete()

    def _complete(self) -> None:
        """Returns the complete answer to the call that waits for it."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        if not self._parser.should_keep_alive():
            self.keep_alive = False
        if self.answer is None or self.answer.done():
            # No call waits for this answer; later ones cannot be matched to calls.
            self.abort()
            return
        self.answer.set_result(
            HttpAnswer(status, bytes(self._body), dict(self._headers))
        )

    def abort(self) -> None:
        """Closes the connection at once and discards unsent bytes."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def _fail(self, error: LostAnswerError) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(error)


def set_socket_options(transport: asyncio.Transport, timeout_s: float) -> None:
    """Disables Nagle's algorithm and limits how long sent bytes stay unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1_000)
        )


class HttpChannel:
    """Calls one address over a keep-alive connection; a failed call closes it.

    Args:
        address: address of the service.
        connect_timeout_s: how long to wait for a connection.
        open_path: opens a connection in another way than directly to the address.
        max_bytes: largest body of an answer.
    """

    def __init__(
        self,
        *,
        address: Endpoint,
        connect_timeout_s: float,
        open_path: Callable[[], Awaitable[OpenPath]] | None = None,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._address = address
        self._max_bytes = max_bytes
        self._open_path = open_path
        self._connect_timeout_s = connect_timeout_s
        self._protocol: _AnswerProtocol | None = None
        self._lock = asyncio.Lock()

    async def call(
        self,
        method: str,
        target: str,
        *,
        timeout_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer:
        """Makes one call; concurrent calls run one after the other.

        Raises:
            PlatformError: no connection could be made; the call had no effect.
            LostAnswerError: sent, but no answer arrived; the effect is unknown.
        """
        async with self._lock:
            protocol = await self._connect()
            answer = asyncio.get_running_loop().create_future()
            protocol.answer = answer
            lines = [
                f"{method} {target} HTTP/1.1",
                f"Host: {self._address}",
                *(f"{name}: {value}" for name, value in (headers or {}).items()),
            ]
            if body:
                lines.append("Content-Type: application/json")
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            assert protocol.transport is not None
            protocol.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            try:
                # `asyncio.wait_for` drops a cancellation that comes with the answer.
                async with asyncio.timeout(timeout_s):
                    result: HttpAnswer = await answer
            except TimeoutError as error:
                self.close()
                raise LostAnswerError(f"{method} {target}: no answer") from error
            except BaseException:
                self.close()
                raise
            protocol.answer = None
            if not protocol.keep_alive:
                self.close()
            return result

    def close(self) -> None:
        """Closes the connection."""
        if self._protocol is not None:
            self._protocol.abort()
            self._protocol = None

    async def _connect(self) -> _AnswerProtocol:
        if self._protocol is not None and self._protocol.transport is not None:
            return self._protocol
        loop = asyncio.get_running_loop()
        protocol = _AnswerProtocol(max_bytes=self._max_bytes)
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                if self._open_path is not None:
                    path = await self._open_path()
                    path.attach(protocol)
                else:
                    await loop.create_connection(lambda: protocol, *self._address)
        except (OSError, TimeoutError, NotConnectedError) as error:
            raise PlatformError(f"{self._address}: not connected: {error}") from error
        if protocol.transport is None:
            raise PlatformError(f"{self._address}: reset at once")
        set_socket_options(protocol.transport, self._connect_timeout_s)
        self._protocol = protocol
        return protocol
