"""What this daemon knows of the process of one backend server.

Every conclusion from connections to a server is drawn here, by the rules of
`policy.server_process`: whether the process runs on after an answer that its connection
has ended, and whether a connection leads to the process that the entry describes.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Protocol

from ..policy.server_process import (
    CLOSING_S,
    NO_WINDOW,
    ProbeResult,
    extend_window,
    find_run_pause,
    is_known,
    is_live,
    is_running,
)


class OpenConnection(Protocol):
    """What is needed of an open connection to a server."""

    opened_at: float
    received_at: float
    is_confirmed: bool

    @property
    def is_watched(self) -> bool:
        """Whether it is open and read, so that its end would be seen."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessCheck:
    """What was found out about a process that has just closed a connection.

    Attributes:
        is_running: whether it runs on.
        has_live: whether an older connection has shown so.
        results: those of the probes, in order.
    """

    is_running: bool
    has_live: bool
    results: tuple[ProbeResult, ...]


class ServerProcess:
    """The process at the address of one server.

    Args:
        clock: returns seconds of the boot-time clock.

    Attributes:
        connections: the open connections to the server.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.connections: set[OpenConnection] = set()
        self._clock = clock
        self._window = NO_WINDOW

    def note_opened(self, connection: OpenConnection) -> None:
        """Adds a connection that was accepted just now."""
        connection.is_confirmed = self.accepts_known()
        self.connections.add(connection)

    def note_not_opened(self, results: Collection[ProbeResult]) -> None:
        """Records a connect that failed, with the results of all paths."""
        self._window = extend_window(self._window, results, now=self._clock())

    def may_have_restarted(self) -> bool:
        """Tells whether the entry may describe an earlier process."""
        return self._clock() < self._window.until

    def is_known(self, connection: OpenConnection) -> bool:
        """Tells whether the entry describes the process behind a connection."""
        return connection.is_confirmed or is_known(
            self._window, opened_at=connection.opened_at, now=self._clock()
        )

    def accepts_known(self) -> bool:
        """Tells whether a connection accepted now leads to the process of the entry.

        An address has one listening socket. So it does if a live connection shows that
        the process runs, and it has not stopped listening.
        """
        now = self._clock()
        return now >= self._window.takeover_until and any(
            self.is_known(connection)
            for connection in self._list_live(before=now, now=now)
        )

    async def check(self, probe: Callable[[], Awaitable[ProbeResult]]) -> ProcessCheck:
        """Finds out whether the process that has just closed a connection runs on.

        Args:
            probe: opens a connection and returns what became of it.
        """
        asked_at = self._clock()
        results: list[ProbeResult] = []
        has_live = False
        pause_s: float | None = 0.0
        while pause_s is not None and not has_live:
            await asyncio.sleep(pause_s)
            results.append(await probe())
            pause_s = find_run_pause(results)
            if results[-1] is not ProbeResult.KEPT:
                has_live = await self._await_live(asked_at)
        return ProcessCheck(
            is_running=has_live or is_running(results),
            has_live=has_live,
            results=tuple(results),
        )

    async def _await_live(self, asked_at: float) -> bool:
        """Tells whether older connections outlive a process that ended at a time."""
        while (left_s := asked_at + CLOSING_S - self._clock()) > 0:
            if not any(self._list_live(before=asked_at, now=asked_at)):
                return False
            await asyncio.sleep(min(left_s, CLOSING_S / 10))
        return any(self._list_live(before=asked_at, now=self._clock()))

    def _list_live(self, *, before: float, now: float) -> Iterator[OpenConnection]:
        return (
            connection
            for connection in self.connections
            if connection.is_watched
            and is_live(
                opened_at=connection.opened_at,
                received_at=connection.received_at,
                before=before,
                now=now,
            )
        )
