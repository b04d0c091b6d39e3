"""Connections to backend servers that one daemon passes on for another.

A daemon whose link to a server is cut asks a peer with HTTP's CONNECT (RFC 9110, 9.3.6)
and then speaks to the server over the peer's connection. The peer passes on bytes in
both directions and interprets none of them, so that the daemon that took the request
from its caller makes all decisions about it.

What the server sends comes in frames, of which an empty one marks its orderly close: an
answer without a length must not look complete when the peer itself ends.
"""

import asyncio
import logging
import re
import socket
import struct
from collections.abc import Callable
from enum import StrEnum
from typing import Final, cast

from ..logs import log_event
from ..policy.paths import Refusal
from .model import Endpoint

LOGGER: Final = logging.getLogger(__name__)

CONNECT_TIMEOUT_S: Final = 0.4
HEAD_TIMEOUT_S: Final = 1.0
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
    SILENT = "silent"  # no answer from the server's address
    DECLINED = "declined"  # by the daemon itself


_STATUS_LINES: Final = {
    Outcome.OPENED: b"200 Connection Established",
    Outcome.REFUSED: b"502 Refused",
    Outcome.SILENT: b"504 Silent",
    Outcome.DECLINED: b"503 Declined",
}
_OUTCOMES: Final = {line[:3]: outcome for outcome, line in _STATUS_LINES.items()}


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
        self._request = f"CONNECT {address} HTTP/1.1\r\nHost: {server}\r\n\r\n"
        self._answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        super().connection_made(transport)
        assert self.transport is not None
        set_keepalive(self.transport)
        self.transport.write(self._request.encode("latin-1"))

    def data_received(self, data: bytes) -> None:
        """Reads the answer, after which the server does not speak first."""
        self._answer += data
        head, end, rest = self._answer.partition(END_OF_HEAD)
        self.has_data = bool(rest)
        if self.answered.done() or not (end or len(head) > MAX_HEAD_BYTES):
            return
        self.answered.set_result(_OUTCOMES.get(head[9:12], Outcome.DECLINED))

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


class TunnelServer:
    """Passes connections of other daemons on to backend servers.

    Args:
        decide: returns why a connection is not passed on, or None; called with the IP
            address that asks, the id and the address of the server.
        note_connected: called with the id of a server and whether it was reached.

    Attributes:
        n_opened: connections passed on so far.
        n_refused: connections not passed on.
    """

    def __init__(
        self,
        *,
        decide: Callable[[str, str, Endpoint], Refusal | None],
        note_connected: Callable[[str, bool], None] = lambda _server, _opened: None,
    ) -> None:
        self.decide = decide
        self.note_connected = note_connected
        self.n_opened = 0
        self.n_refused = 0
        self.tunnels: set[_NearSide] = set()
        self._server: asyncio.Server | None = None

    @property
    def n_open(self) -> int:
        """Number of connections that are passed on now."""
        return len(self.tunnels)

    async def start(self, ip: str, port: int) -> None:
        """Starts listening.

        Raises:
            OSError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _NearSide(server=self), ip, port, reuse_address=True
        )

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for tunnel in list(self.tunnels):
            tunnel.reset()


class _Side(asyncio.Protocol):
    """One of the two connections of a tunnel.

    Attributes:
        other: the other one; None until it is open, and after it has ended.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)
        set_keepalive(self.transport)

    def write(self, data: bytes) -> None:
        """Sends bytes that came from the other side."""
        if self.transport is not None:
            self.transport.write(data)

    def end(self) -> None:
        """Sends what is left, then closes."""
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Passes bytes on."""
        if self.other is not None:
            self.other.write(data)

    def pause_writing(self) -> None:
        """Stops reading from the other side while this one is slow."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads from the other side again."""
        other = self.other.transport if self.other is not None else None
        if other is not None and not other.is_closing():
            other.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the other side in the same way: orderly, or by a reset."""
        self.transport = None
        other, self.other = self.other, None
        if other is None:
            return
        other.other = None
        if exc is None:
            other.end()
        else:
            other.reset()

    def reset(self) -> None:
        """Resets this connection and the other one."""
        other, self.other = self.other, None
        if other is not None:
            other.other = None
            other.reset()
        if self.transport is not None:
            reset_connection(self.transport)


class _NearSide(_Side):
    """The connection from the daemon that asked."""

    def __init__(self, *, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self._head = b""
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def write(self, data: bytes) -> None:
        """Sends bytes of the server in one frame."""
        super().write(FRAME_HEAD.pack(len(data)) + data)

    def end(self) -> None:
        """Marks the end of what the server sent, then closes."""
        super().write(FRAME_HEAD.pack(0))
        super().end()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits a limited time for the request."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HEAD_TIMEOUT_S, self.reset)

    def data_received(self, data: bytes) -> None:
        """Reads the request, then passes bytes on."""
        if self.other is not None:
            super().data_received(data)
            return
        self._head += data
        if self._task is not None or len(self._head) > MAX_HEAD_BYTES:
            self.reset()  # it must not speak before the answer
        elif END_OF_HEAD in self._head:
            self._task = asyncio.ensure_future(self._open())

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a connect that is in progress, and the other side."""
        self._cancel_timer()
        if self._task is not None:
            self._task.cancel()
        self._server.tunnels.discard(self)
        super().connection_lost(exc)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    async def _open(self) -> None:
        """Answers the request and connects the two sides."""
        self._cancel_timer()
        assert self.transport is not None
        match = REQUEST_PATTERN.fullmatch(self._head)
        if match is None:
            self.reset()
            return
        address = Endpoint(match[1].decode(), int(match[2]))
        server = match[3].decode()
        asker = self.transport.get_extra_info("peername")[0]
        refusal = self._server.decide(asker, server, address)
        if refusal is not None:
            self._decline(server, asker, refusal)
            return
        self._server.tunnels.add(self)
        outcome, far = await _connect(address)
        self._server.note_connected(server, outcome is Outcome.OPENED)
        if far is None:
            self._server.tunnels.discard(self)
            self._finish(outcome)
            return
        self._server.n_opened += 1
        self.other, far.other = far, self
        self._answer(Outcome.OPENED)

    def _decline(self, server: str, asker: str, refusal: Refusal) -> None:
        self._server.n_refused += 1
        log_event(
            LOGGER, "tunnel_declined", backend=server, asker=asker, reason=refusal
        )
        self._finish(Outcome.DECLINED)

    def _answer(self, outcome: Outcome) -> None:
        super().write(b"HTTP/1.1 " + _STATUS_LINES[outcome] + END_OF_HEAD)

    def _finish(self, outcome: Outcome) -> None:
        self._answer(outcome)
        super().end()


async def _connect(address: Endpoint) -> tuple[Outcome, _Side | None]:
    """Connects to a server; returns no side unless the outcome is `OPENED`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, side = await loop.create_connection(_Side, *address)
    except TimeoutError:
        return Outcome.SILENT, None
    except OSError:
        return Outcome.REFUSED, None
    return Outcome.OPENED, side
