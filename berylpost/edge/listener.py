"""Accepts connections, and tells whether one is not yet attached to its protocol.

A connection that the event loop's own server accepts in the round in which it is closed
gets no transport: it stays open and unread until it is garbage. Here a connection that
was accepted always gets its protocol, and none is accepted after `close`.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Final

from ..logs import log_event
from ..sockets import is_readable

LOGGER: Final = logging.getLogger(__name__)

BACKLOG: Final = 1_024  # room for a burst of new connections while the loop is busy
# Connections accepted in one round of the event loop. They count against the limit only
# some rounds later; more at once could use up reserved descriptors.
ACCEPTED_AT_ONCE: Final = 8
# Pause after an error such as the lack of a descriptor.
RETRY_S: Final = 1.0


class Listener:
    """A listening socket.

    Args:
        ip: IP address to listen on.
        port: port to listen on.
        make_protocol: makes the protocol of a new connection.

    Raises:
        OSError: the address cannot be bound.
    """

    def __init__(
        self, *, ip: str, port: int, make_protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._attaching: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._socket = _bind(ip, port)
        self._socket.listen(BACKLOG)
        self._loop.add_reader(self._socket.fileno(), self._accept)

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self._socket.fileno() >= 0

    def has_pending(self) -> bool:
        """Tells whether a connection waits to be accepted or for its protocol."""
        if self._attaching:
            return True
        return self.is_open and is_readable([self._socket.fileno()])

    def close(self) -> None:
        """Stops listening; the kernel resets the connections that still wait."""
        if self.is_open:
            if self._timer is not None:
                self._timer.cancel()
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                connection, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log_event(LOGGER, "accept_failed", logging.WARNING, error=error)
                self._loop.remove_reader(self._socket.fileno())
                self._timer = self._loop.call_later(RETRY_S, self._resume)
                return
            connection.setblocking(False)
            task = self._loop.create_task(self._attach(connection))
            self._attaching.add(task)
            task.add_done_callback(self._attaching.discard)

    def _resume(self) -> None:
        if self.is_open:
            self._loop.add_reader(self._socket.fileno(), self._accept)

    async def _attach(self, connection: socket.socket) -> None:
        """Connects an accepted socket to a protocol, or closes it after `close`."""
        if not self.is_open:
            connection.close()
            return
        try:
            await self._loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError as error:
            connection.close()
            log_event(LOGGER, "accept_failed", logging.WARNING, error=error)


def _bind(ip: str, port: int) -> socket.socket:
    """Binds a socket to listen on, which does not block."""
    sock = socket.socket(socket.AF_INET6 if ":" in ip else socket.AF_INET)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, port))
    except OSError:
        sock.close()
        raise
    return sock
