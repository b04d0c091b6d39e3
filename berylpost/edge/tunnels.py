"""Connections to backend servers that one daemon passes on for another.

A daemon whose link to a server is cut asks a peer with HTTP's CONNECT (RFC 9110, 9.3.6)
and then speaks to the server over the peer's connection. The peer passes on bytes in
both directions and interprets none of them, so that the daemon that took the request
from its caller makes all decisions about it.

What the server sends comes in frames, of which an empty one marks its orderly close: an
answer without a length must not look complete when the peer itself ends.

This module has the asking side; `tunnel_server` has the other one.
"""

import asyncio
import re
import socket
import struct
from enum import StrEnum
from typing import Final, cast

from .model import Endpoint

# Time limit for one path: a hundred round trips, and well below every route's
# objective.
CONNECT_TIMEOUT_S: Final = 0.4
MAX_HEAD_BYTES: Final = 1_024
# A peer that has lost power is noticed by these probes, since an idle connection sends
# nothing. A TCP_USER_TIMEOUT would replace their count, so none is set.
KEEPALIVE_IDLE_S: Final = 5
KEEPALIVE_INTERVAL_S: Final = 2
KEEPALIVE_COUNT: Final = 3
REQUEST_PATTERN: Final = re.compile(
    rb"CONNECT ([0-9.]{7,15}):([0-9]{1,5}) HTTP/1\.1\r\nHost: ([!-~]{1,200})\r\n\r\n"
)
MAX_FRAME_BYTES: Final = 1 << 20  # a frame holds what one read brings
END_OF_HEAD: Final = b"\r\n\r\n"
FRAME_HEAD: Final = struct.Struct(">I")  # bytes in the frame; 0 for the server's close


class Outcome(StrEnum):
    """What a daemon answers that was asked to pass a connection on."""

    OPENED = "opened"
    REFUSED = "refused"  # by the server's address
    RESET = "reset"  # by the server's address, after it had accepted
    SILENT = "silent"  # no answer from the server's address
    DECLINED = "declined"  # by the daemon itself


STATUS_LINES: Final = {
    Outcome.OPENED: b"200 Connection Established",
    Outcome.REFUSED: b"502 Refused",
    Outcome.RESET: b"502 Reset",  # earlier builds read the code only
    Outcome.SILENT: b"504 Silent",
    Outcome.DECLINED: b"503 Declined",
}
_OUTCOMES: Final = {line: outcome for outcome, line in STATUS_LINES.items()}


class TunnelError(Exception):
    """No connection was opened through a peer."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(f"through a peer: {outcome}")
        self.outcome = outcome


def set_keepalive(transport: asyncio.Transport) -> None:
    """Disables Nagle's algorithm and probes a connection that is idle."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        for option, value in (
            (socket.TCP_NODELAY, 1),
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def reset_connection(transport: asyncio.Transport) -> None:
    """Closes at once so that the other side sees a reset, not an orderly end."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def render_request(server: str, address: Endpoint) -> bytes:
    """Renders the request for a connection to a server."""
    return f"CONNECT {address} HTTP/1.1\r\nHost: {server}\r\n\r\n".encode("latin-1")


def parse_request(data: bytes) -> tuple[str, Endpoint] | None:
    """Parses such a request into id and address; None if it is malformed."""
    match = REQUEST_PATTERN.fullmatch(data)
    if match is None:
        return None
    return match[3].decode(), Endpoint(match[1].decode(), int(match[2]))


class PendingConnection(asyncio.Protocol):
    """Holds a new connection until its user takes it over."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.has_data = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Records that the server spoke before it was asked."""
        self.has_data = True


class _Handshake(PendingConnection):
    """Asks a peer for a connection to a server.

    Attributes:
        answered: the peer's answer.
    """

    def __init__(self, *, server: str, address: Endpoint) -> None:
        super().__init__()
        self.answered: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._request = render_request(server, address)
        self._answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        super().connection_made(transport)
        assert self.transport is not None
        set_keepalive(self.transport)
        self.transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Reads the answer, after which the server does not speak first."""
        self._answer += data
        head, end, rest = self._answer.partition(END_OF_HEAD)
        self.has_data = bool(rest)
        if self.answered.done() or not (end or len(head) > MAX_HEAD_BYTES):
            return
        status_line = head.partition(b"\r\n")[0][9:]
        self.answered.set_result(_OUTCOMES.get(status_line, Outcome.DECLINED))

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes a connection that ends for a refusal by the peer."""
        if not self.answered.done():
            self.answered.set_result(Outcome.DECLINED)


class _Deframer(asyncio.Protocol):
    """Unpacks the frames of a tunnel for the protocol that uses the connection."""

    def __init__(self, user: asyncio.Protocol, transport: asyncio.Transport) -> None:
        self._user = user
        self._transport = transport
        self._buffer = bytearray()
        self._ended = False

    def data_received(self, data: bytes) -> None:
        """Passes on the content of complete frames."""
        self._buffer += data
        while len(self._buffer) >= FRAME_HEAD.size and not self._ended:
            (length,) = FRAME_HEAD.unpack_from(self._buffer)
            end = FRAME_HEAD.size + length
            if length > MAX_FRAME_BYTES:
                self._transport.abort()
                return
            if not length:
                self._ended = True
                if not self._user.eof_received():
                    self._transport.close()
            elif len(self._buffer) < end:
                return
            content = bytes(self._buffer[FRAME_HEAD.size : end])
            del self._buffer[:end]
            if content:
                self._user.data_received(content)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports an end that the server did not make as a reset."""
        if exc is None and not self._ended:
            exc = ConnectionResetError("the tunnel ended")
        self._user.connection_lost(exc)


def attach_to_tunnel(transport: asyncio.Transport, user: asyncio.Protocol) -> None:
    """Lets a protocol use a connection that `open_tunnel` has opened."""
    transport.set_protocol(_Deframer(user, transport))
    user.connection_made(transport)


async def open_tunnel(
    peer: Endpoint, *, own_ip: str, server: str, address: Endpoint, timeout_s: float
) -> asyncio.Transport:
    """Opens a connection to a backend server through another daemon.

    Args:
        peer: address on which the other daemon passes connections on.
        own_ip: IP address by which that daemon knows this one.
        server: id of the server.
        address: address of the server.
        timeout_s: how long to wait for the answer.

    Raises:
        TunnelError: the peer answered that it did not connect.
        OSError: the peer cannot be reached.
        TimeoutError: it did not answer in time.
    """
    loop = asyncio.get_running_loop()
    handshake = _Handshake(server=server, address=address)
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(
                lambda: handshake, *peer, local_addr=(own_ip, 0)
            )
            outcome = await handshake.answered
    except BaseException:
        if handshake.transport is not None:
            handshake.transport.abort()
        raise
    assert handshake.transport is not None
    if outcome is not Outcome.OPENED or handshake.has_data:
        handshake.transport.abort()
        raise TunnelError(outcome)
    return handshake.transport
