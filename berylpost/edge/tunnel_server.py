"""Passes connections of other daemons on to backend servers; see `tunnels`."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Final, cast

from ..logs import log_event
from ..policy.paths import Refusal
from ..policy.server_process import ProbeResult, interpret_error
from ..sockets import count_unread, count_unsent
from .listener import Listener
from .model import Endpoint
from .tunnels import (
    CONNECT_TIMEOUT_S,
    END_OF_HEAD,
    FRAME_HEAD,
    MAX_HEAD_BYTES,
    STATUS_LINES,
    Outcome,
    parse_request,
    reset_connection,
    set_keepalive,
)

LOGGER: Final = logging.getLogger(__name__)

HEAD_TIMEOUT_S: Final = 1.0
# What the asking daemon is told of a connect that failed.
OUTCOMES: Final = {
    ProbeResult.REFUSED: Outcome.REFUSED,
    ProbeResult.RESET: Outcome.RESET,
    ProbeResult.SILENT: Outcome.SILENT,
}


class TunnelEnd(StrEnum):
    """How a connection that another daemon opened has ended.

    Attributes:
        DECLINED: it was not passed on, for a reason of this daemon.
        FAILED: the server was not reached.
        BY_ASKER: the daemon that asked closed it.
        BY_SERVER: the server closed it.
        BY_US: this daemon ended and closed it.
    """

    DECLINED = "declined"
    FAILED = "failed"
    BY_ASKER = "ended_by_asker"
    BY_SERVER = "ended_by_server"
    BY_US = "ended_by_us"


class TunnelServer:
    """Passes connections of other daemons on to backend servers.

    Args:
        decide: returns why a connection is not passed on, or None; called with the IP
            address that asks, the id and the address of the server.
        note_connected: called with the id of a server and whether it was reached.

    Attributes:
        n_opened: connections passed on so far.
        n_refused: connections not passed on.
        n_accepted: connections accepted.
        n_ended: connections that ended, by how they did.
        n_open_bytes: bytes that were neither read nor received when this daemon closed
            connections.
        near_sides: connections from other daemons.
        tunnels: those that are passed on or about to be.
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
        self.n_accepted = 0
        self.n_ended: Counter[TunnelEnd] = Counter()
        self.n_open_bytes = 0
        self.near_sides: set[_NearSide] = set()
        self.tunnels: set[_NearSide] = set()
        self._listener: Listener | None = None

    @property
    def n_open(self) -> int:
        """Number of connections that are passed on now."""
        return len(self.tunnels)

    async def start(self, ip: str, port: int) -> None:
        """Starts listening.

        Raises:
            OSError: the address cannot be bound.
        """
        self._listener = Listener(
            ip=ip, port=port, make_protocol=lambda: _NearSide(server=self)
        )

    def has_unfinished(self) -> bool:
        """Tells whether another daemon may wait for an answer, or for a server's."""
        has_pending = self._listener is not None and self._listener.has_pending()
        return has_pending or bool(self.near_sides)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._listener is not None:
            self._listener.close()
        for side in list(self.near_sides):
            side.close()
        log_event(LOGGER, "tunnels_stopped", **self.export_counts())

    def export_counts(self) -> dict[str, int]:
        """Returns all counts by name."""
        return {
            "accepted": self.n_accepted,
            "opened": self.n_opened,
            **{str(end): self.n_ended[end] for end in TunnelEnd},
            "open_bytes": self.n_open_bytes,
        }


class Side(asyncio.Protocol):
    """One of the two connections of a tunnel.

    Attributes:
        other: the other one; None until it is open, and after it has ended.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: Side | None = None

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

    def count_open_bytes(self) -> int:
        """Counts the bytes that were not read here, or not received from here."""
        if self.transport is None:
            return 0
        descriptor = self.transport.get_extra_info("socket").fileno()
        n_buffered = self.transport.get_write_buffer_size()
        return n_buffered + count_unsent(descriptor) + count_unread(descriptor)

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


class _NearSide(Side):
    """The connection from the daemon that asked."""

    def __init__(self, *, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self._head = b""
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._has_ended = False

    def write(self, data: bytes) -> None:
        """Sends bytes of the server in one frame."""
        super().write(FRAME_HEAD.pack(len(data)) + data)

    def end(self) -> None:
        """Marks the end of what the server sent, then closes."""
        self._note_end(TunnelEnd.BY_SERVER)
        super().write(FRAME_HEAD.pack(0))
        super().end()

    def reset(self) -> None:
        """Resets both connections."""
        self._note_end(TunnelEnd.BY_SERVER)
        super().reset()

    def close(self) -> None:
        """Closes without the mark of the server's end.

        The asking daemon receives what was sent and takes the rest for a reset.
        """
        self._note_end(TunnelEnd.BY_US)
        self._server.n_open_bytes += self.count_open_bytes()
        far, self.other = self.other, None
        if far is not None:
            self._server.n_open_bytes += far.count_open_bytes()
            far.other = None
            far.reset()
        super().end()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits a limited time for the request."""
        super().connection_made(transport)
        self._server.n_accepted += 1
        self._server.near_sides.add(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HEAD_TIMEOUT_S, self._reject)

    def data_received(self, data: bytes) -> None:
        """Reads the request, then passes bytes on."""
        if self.other is not None:
            super().data_received(data)
            return
        self._head += data
        if self._task is not None or len(self._head) > MAX_HEAD_BYTES:
            self._reject()  # it must not speak before the answer
        elif END_OF_HEAD in self._head:
            self._task = asyncio.ensure_future(self._open())

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a connect that is in progress, and the other side."""
        self._cancel_timer()
        if self._task is not None:
            self._task.cancel()
        self._server.tunnels.discard(self)
        self._server.near_sides.discard(self)
        self._note_end(TunnelEnd.BY_ASKER)
        super().connection_lost(exc)

    def _note_end(self, end: TunnelEnd) -> None:
        """Counts how this connection ended, which is how it ended first."""
        if not self._has_ended:
            self._has_ended = True
            self._server.n_ended[end] += 1

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    async def _open(self) -> None:
        """Answers the request and connects the two sides."""
        self._cancel_timer()
        assert self.transport is not None
        request = parse_request(self._head)
        if request is None:
            self._reject()
            return
        server, address = request
        asker = self.transport.get_extra_info("peername")[0]
        refusal = self._server.decide(asker, server, address)
        if refusal is not None:
            self._decline(server, asker, refusal)
            return
        self._server.tunnels.add(self)
        outcome, far = await _connect(address)
        if far is not None and (far.transport is None or far.transport.is_closing()):
            outcome, far = Outcome.RESET, None  # before the sides are joined
        self._server.note_connected(server, outcome is Outcome.OPENED)
        if far is None:
            self._server.tunnels.discard(self)
            self._note_end(TunnelEnd.FAILED)
            self._finish(outcome)
            return
        self._server.n_opened += 1
        self.other, far.other = far, self
        self._answer(Outcome.OPENED)

    def _reject(self) -> None:
        """Resets a connection whose request is malformed or late."""
        self._note_end(TunnelEnd.DECLINED)
        self.reset()

    def _decline(self, server: str, asker: str, refusal: Refusal) -> None:
        self._server.n_refused += 1
        log_event(
            LOGGER, "tunnel_declined", backend=server, asker=asker, reason=refusal
        )
        self._note_end(TunnelEnd.DECLINED)
        self._finish(Outcome.DECLINED)

    def _answer(self, outcome: Outcome) -> None:
        super().write(b"HTTP/1.1 " + STATUS_LINES[outcome] + END_OF_HEAD)

    def _finish(self, outcome: Outcome) -> None:
        self._answer(outcome)
        super().end()


async def _connect(address: Endpoint) -> tuple[Outcome, Side | None]:
    """Connects to a server; returns no side unless the outcome is `OPENED`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, side = await loop.create_connection(Side, *address)
    except TimeoutError:
        return Outcome.SILENT, None
    except OSError as error:
        return OUTCOMES[interpret_error(error)], None
    return Outcome.OPENED, side
