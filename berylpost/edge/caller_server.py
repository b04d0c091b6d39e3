"""Listens for callers and bounds how many may be connected.

When callers have as many connections as the process has descriptors and memory for, a
new one takes the place of an idle one. If none is idle, the new one gets 503 with a
time to come back.
"""

import asyncio
import logging
import resource
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final

from ..logs import log_event
from ..policy.client_limits import (
    CONNECTION_BYTES,
    IdleConnection,
    choose_connection,
    limit_connections,
)
from ..policy.connection_end import CloseReason, Phase
from ..sockets import is_readable
from .buffer_budget import BufferBudget
from .caller_requests import CallerRequest
from .callers import DEFAULT_LIMITS, CallerConnection
from .clock import read_boottime
from .listener import Listener
from .model import CallerLimits
from .request_account import RequestAccount, RequestEnd

LOGGER: Final = logging.getLogger(__name__)

# Connections are kept this much longer than callers may leave them idle, so that no
# request is sent while its connection is being closed.
IDLE_MARGIN_S: Final = 2.0
# Part of the callers' connections that each control address may have open.
CONTROL_SHARE: Final = 0.1
SWEEP_S: Final = 1.0
# Idle connections whose sockets are looked at to find one to close for a new one.
MAX_LOOKS: Final = 8
LOG_S: Final = 1.0  # between two log lines about connections; they come in bursts

Handler = Callable[[CallerRequest, CallerConnection], Awaitable[None]]


def read_descriptor_limit() -> float:
    """Returns how many descriptors this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float("inf") if soft == resource.RLIM_INFINITY else soft


class CallerServer:
    """Listens for callers and passes each complete request to a handler.

    Args:
        handler: serves one request; it must finish or abort the answer.
        read_limits: returns the limits for callers that currently apply.
        buffers: counts what callers make the process hold; None for trusted callers.
        connection_share: part of the connections of all callers that this server may
            have open.
        name: name of the address in log lines.

    Attributes:
        leaving: whether to close each connection after its next answer.
        max_connections: connections that callers may have open at once.
        counts: how many connections were closed for new ones, and rejected.
        account: counts connections and requests, and how they ended.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        read_limits: Callable[[], CallerLimits] = lambda: DEFAULT_LIMITS,
        buffers: BufferBudget | None = None,
        connection_share: float = 1.0,
        name: str = "",
    ) -> None:
        self.handler = handler
        self.account = RequestAccount(name=name)
        self.buffers = buffers or BufferBudget(memory_bytes=float("inf"))
        self.read_limits = read_limits
        self.leaving = False
        self.connections: set[CallerConnection] = set()
        self.counts: Counter[str] = Counter()
        n_connections = limit_connections(
            read_descriptor_limit(), self.buffers.request_limit
        )
        self.max_connections = max(1, int(n_connections * connection_share))
        self._listener: Listener | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._logged_at = float("-inf")

    async def start(self, ip: str, port: int) -> None:
        """Starts listening.

        Raises:
            OSError: the address cannot be bound.
        """
        self._listener = Listener(
            ip=ip, port=port, make_protocol=lambda: CallerConnection(server=self)
        )
        self._sweeper = asyncio.create_task(self._close_idle())

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones continue."""
        if self._listener is not None:
            self._listener.close()

    async def end_requests(self, timeout_s: float) -> None:
        """Ends the requests in progress and waits until their handlers have answered.

        Args:
            timeout_s: how long to wait.
        """
        tasks = [t for c in self.connections if (t := c.end_requests()) is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def count_busy(self) -> int:
        """Counts the connections with an unanswered request."""
        return sum(1 for connection in self.connections if connection.is_busy)

    def read_gauges(self) -> dict[str, float]:
        """Returns what callers make the daemon hold, as metrics by name."""
        return {
            "busy_connections": self.count_busy(),
            "caller_requests_open": self.account.n_open,
            "caller_connections": len(self.connections),
            "caller_bytes": self.buffers.n_held + self.buffers.n_connection_bytes,
        }

    def read_counters(self) -> dict[str, float]:
        """Returns who lost a place to others so far, as metrics by name."""
        return {
            "caller_requests_rejected": self.buffers.counts["rejected"],
            "caller_requests_displaced": self.buffers.counts["displaced"],
            "unread_answers_dropped": self.buffers.counts["unread"],
            "caller_connections_displaced": self.counts["closed"],
            "caller_connections_rejected": self.counts["rejected"],
            **{f"caller_{k}": n for k, n in self.account.export_counts().items()},
        }

    def note_unfinished(self) -> None:
        """Counts and names the requests that the end of the process leaves open."""
        for connection in self.connections:
            for request_id, phase in connection.list_unfinished():
                if phase is Phase.UNSENT:
                    self.account.note_unsent(request_id)
                else:
                    self.account.note_end(RequestEnd.UNFINISHED, request_id, phase)

    def close_idle(self, idle_s: float) -> None:
        """Closes the connections of a leaving daemon that were idle for some time."""
        idle_since = read_boottime() - idle_s
        for connection in list(self.connections):
            if connection.active_at < idle_since:
                connection.close_unused(CloseReason.LEAVING)

    def sweep(self) -> None:
        """Closes connections that were idle or did not read an answer for too long."""
        limits = self.read_limits()
        idle_before = read_boottime() - limits.idle_timeout_s - IDLE_MARGIN_S
        for connection in list(self.connections):
            memory = connection.memory
            if memory.n_unsent:
                memory.count_unsent()
            if connection.is_running or connection.active_at >= idle_before:
                continue
            if memory.n_unsent:
                if memory.unread_since < idle_before:
                    connection.abort()
            else:
                connection.close_unused(CloseReason.IDLE_TIMEOUT)

    def has_unfinished(self) -> bool:
        """Tells whether the end of the process would leave a request unanswered.

        Counts what the kernel holds: connections to accept, and bytes to read.
        """
        if self.account.n_open:
            return True  # also one whose caller has just left
        if not all(c.may_close(CloseReason.EXIT) for c in self.connections):
            return True
        descriptors = [c.read_descriptor() for c in self.connections]
        if is_readable(d for d in descriptors if d >= 0):
            return True
        # The last look, since what comes after it is reset.
        return self._listener is not None and self._listener.has_pending()

    def close(self) -> None:
        """Stops listening and closes all connections, busy ones after their request."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.close_when_written()

    def kill(self) -> None:
        """Stops listening and aborts all connections, like the end of the process."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.abort()

    def admit(self, connection: CallerConnection) -> bool:
        """Registers a new connection, in place of an idle one if necessary.

        Returns:
            Whether it may stay; otherwise it is to be rejected.
        """
        admitted = len(self.connections) < self.max_connections or self._close_one()
        self.connections.add(connection)
        self.buffers.n_connection_bytes += CONNECTION_BYTES
        if not admitted:
            self.counts["rejected"] += 1
            self._log_full("connection_rejected")
        return admitted

    def remove(self, connection: CallerConnection) -> None:
        """Removes a connection that was lost or is being closed for another one."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.buffers.n_connection_bytes -= CONNECTION_BYTES

    def _close_one(self) -> bool:
        """Closes the idle connection that matters least, if there is one."""
        idle = [
            IdleConnection(key=c, active_at=c.active_at, has_served=c.has_served)
            for c in self.connections
            if c.may_close(CloseReason.DISPLACED)
        ]
        for _ in range(MAX_LOOKS):
            chosen = choose_connection(idle)
            if chosen is None:
                return False
            connection = chosen.key
            assert isinstance(connection, CallerConnection)
            if connection.close_unused(CloseReason.DISPLACED):
                self.counts["closed"] += 1
                self._log_full("connection_displaced")
                self.remove(connection)
                return True
            idle.remove(chosen)
        return False

    def _log_full(self, event: str) -> None:
        now = read_boottime()
        if now - self._logged_at >= LOG_S:
            self._logged_at = now
            log_event(LOGGER, event, limit=self.max_connections, **self.counts)

    async def _close_idle(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.sweep()
