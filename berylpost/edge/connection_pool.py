"""The connections that are kept to one backend server.

`upstream` has the connections and the exchanges on them; `server_process` draws
conclusions about the server's process from how they open and end.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Final

from ..logs import log_event
from ..policy.server_process import CLOSING_S, ProbeResult
from .model import Backend
from .open_paths import NotConnectedError, OpenPath
from .paths import BackendPaths
from .server_process import ServerProcess
from .upstream import Connection, Failure, UpstreamError

LOGGER: Final = logging.getLogger(__name__)

# Time limit for a connection that shows whether a server still runs.
SERVING_TIMEOUT_S: Final = 0.5


class ConnectionPool:
    """Pool of kept-alive connections to one backend server.

    Args:
        backend: the server.
        paths: opens connections.
        n_max: maximum number of connections of this daemon to the server.
        clock: returns seconds of the boot-time clock.

    Attributes:
        n_opened: connections that were tried.
        n_timed_out: those that were not established in time.
        n_refused: those that were refused or reset.
        process: what is known of the server's process.
    """

    def __init__(
        self,
        *,
        backend: Backend,
        paths: BackendPaths,
        n_max: int,
        clock: Callable[[], float],
    ) -> None:
        self.n_max = n_max
        self._paths = paths
        self.n_opened = 0
        self.n_timed_out = 0
        self.n_refused = 0
        self.process = ServerProcess(clock=clock)
        self._backend = backend
        self._clock = clock
        self._idle: list[Connection] = []
        self._n_open = 0

    async def acquire(
        self, *, max_idle_s: float, only_known: bool = False
    ) -> Connection:
        """Returns an idle connection, or opens one.

        Args:
            max_idle_s: a connection that was idle for longer is not used.
            only_known: whether the entry must describe the process that it leads to.

        Raises:
            UpstreamError: no connection could be opened; nothing was sent.
        """
        is_fit = self.process.is_known if only_known else _is_any
        connection = self._take_idle(max_idle_s, is_fit)
        if connection is None and self._n_open >= self.n_max:
            connection = self._take_resting(max_idle_s, is_fit)
        if connection is not None:
            return connection
        if self._n_open >= self.n_max and not self._close_idle():
            raise UpstreamError(Failure.NO_ROOM, "all connections in use")
        connection = await self._open()
        if not is_fit(connection):
            self.release(connection)
            detail = "the server may have started again"
            raise UpstreamError(Failure.UNKNOWN_PROCESS, detail)
        return connection

    def may_reach_known(self) -> bool:
        """Tells whether `acquire` may find a connection to the entry's process."""
        process = self.process
        return (
            not process.may_have_restarted()
            or process.accepts_known()
            or any(process.is_known(connection) for connection in self._idle)
        )

    def _take_idle(
        self, max_idle_s: float, is_fit: Callable[[Connection], bool]
    ) -> Connection | None:
        """Takes the rested connection that was used last; closes outdated ones."""
        now = self._clock()
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            if not connection.is_open or self._is_outdated(connection):
                self._idle.pop(index)
                connection.abort()
            elif (
                now - connection.idle_since <= max_idle_s
                and now >= connection.rests_until
                and is_fit(connection)
            ):
                return self._idle.pop(index)
        return None

    def _take_resting(
        self, max_idle_s: float, is_fit: Callable[[Connection], bool]
    ) -> Connection | None:
        """Takes the connection that has rested longest, if its request is sent."""
        used_since = self._clock() - max_idle_s
        for index, connection in enumerate(self._idle):
            is_rested = connection.idle_since >= used_since and connection.is_sent
            if is_rested and is_fit(connection):
                return self._idle.pop(index)
        return None

    def _close_idle(self) -> bool:
        """Closes the connection that was idle longest, in whose place one is opened."""
        for index, connection in enumerate(self._idle):
            if connection.is_sent:
                self._idle.pop(index).abort()
                return True
        return False

    def _is_outdated(self, connection: Connection) -> bool:
        """Tells whether an idle connection is to be closed."""
        if not self._may_reuse(connection):
            return True
        idle_s = self._clock() - connection.idle_since
        # A server that still takes a request is not idle.
        return idle_s > connection.idle_timeout_s and connection.is_sent

    async def _open(self) -> Connection:
        """Opens a connection.

        Raises:
            UpstreamError: no connection could be opened.
        """
        try:
            connection, _ = await self._connect()
            return connection
        except NotConnectedError as error:
            raise UpstreamError(Failure.NOT_CONNECTED, str(error)) from error

    async def _connect(self) -> tuple[Connection, OpenPath]:
        """Opens a connection; returns it with its path.

        Raises:
            NotConnectedError: no path led to the server.
        """
        self._n_open += 1
        self.n_opened += 1
        opened = False
        try:
            path = await self.open_path()
            opened = True
        except NotConnectedError as error:
            self.n_refused += error.refused
            self.n_timed_out += not error.refused
            raise
        finally:
            if not opened:
                self._n_open -= 1
        connection = Connection(
            backend_id=self._backend.id, on_closed=self._remove, peer=path.peer
        )
        self.process.note_opened(connection)
        path.attach(connection)
        return connection, path

    async def is_serving(self, ended: Connection, closing_s: float = CLOSING_S) -> bool:
        """Tells whether the process that has just closed a connection still runs.

        Args:
            ended: the connection.
            closing_s: time in which the connections of a process that ends are closed.
        """
        check = await self.process.check(lambda: self._probe(ended, closing_s))
        if len(check.results) > 1 or not check.is_running:
            log_event(
                LOGGER,
                "process_checked",
                backend=self._backend.id,
                runs=check.is_running,
                results=",".join(check.results),
                witness=check.has_live,
            )
        return check.is_running

    async def _probe(self, ended: Connection, closing_s: float) -> ProbeResult:
        """Opens a connection and returns what becomes of it."""
        try:
            async with asyncio.timeout(SERVING_TIMEOUT_S):
                connection, path = await self._connect()
        except NotConnectedError as error:
            return error.result
        except TimeoutError:
            return ProbeResult.SILENT
        try:
            # Another daemon, which is asked later, may reach the next process.
            if not ended.peer and path.direct_result is ProbeResult.REFUSED:
                self.process.note_not_opened([path.direct_result])
                return path.direct_result
            # A further probe must follow a reset before the server can start again.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(closing_s):
                    await connection.closed.wait()
            return ProbeResult.KEPT if connection.is_open else ProbeResult.RESET
        finally:
            # It takes the place of the connection that has ended, if that is free.
            if self._n_open > self.n_max:
                connection.abort()
            else:
                self.release(connection)

    async def open_path(self) -> OpenPath:
        """Opens a connection that does not belong to the pool.

        Raises:
            NotConnectedError: no path led to the server.
        """
        try:
            return await self._paths.open(self._backend)
        except NotConnectedError as error:
            self.process.note_not_opened(error.results)
            raise

    def note_broken(self, connection: Connection) -> None:
        """Records that an exchange broke or got no answer in time."""
        self._paths.note_peer_failed(connection.peer)

    def release(self, connection: Connection) -> None:
        """Returns a connection after a complete answer, or closes it."""
        connection.idle_since = self._clock()
        if not (
            connection.reusable and connection.is_open and self._may_reuse(connection)
        ):
            connection.abort()
            return
        self._idle.append(connection)

    def sweep(self) -> None:
        """Closes connections that are idle for too long or may not be used again."""
        for connection in list(self._idle):
            if self._is_outdated(connection):
                self._idle.remove(connection)
                connection.abort()

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _may_reuse(self, connection: Connection) -> bool:
        return self._paths.may_reuse(
            self._backend, connection.peer, connection.idle_since
        )

    def _remove(self, connection: Connection) -> None:
        self._n_open -= 1
        self.process.connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)


def _is_any(_connection: Connection) -> bool:
    return True
