"""One connection to a backend server: how it is opened, and the race between paths."""

import asyncio
from collections.abc import Callable, Collection, Coroutine
from typing import Any

from ..policy.paths import PathKind, Step
from ..policy.server_process import ProbeResult, combine_results, interpret_error
from .model import Endpoint
from .tunnels import PendingConnection, attach_to_tunnel


class NotConnectedError(Exception):
    """No path led to a server.

    Attributes:
        results: those of the paths that were tried.
        result: what they show together.
    """

    def __init__(self, detail: str, *results: ProbeResult) -> None:
        super().__init__(detail)
        self.results = results
        self.result = combine_results(results)

    @property
    def refused(self) -> bool:
        """Whether the address refused or reset the connection."""
        return self.result is not ProbeResult.SILENT


class OpenPath:
    """A new connection that nothing uses yet.

    Attributes:
        transport: the connection.
        peer: daemon that passes it on; empty if it is direct.
        direct_result: that of the direct path if it was tried before and has failed;
            silent if not.
    """

    def __init__(self, *, transport: asyncio.Transport, peer: str = "") -> None:
        self.transport = transport
        self.peer = peer
        self.direct_result = ProbeResult.SILENT

    def attach(self, user: asyncio.Protocol) -> None:
        """Lets a protocol use the connection."""
        if self.peer:
            attach_to_tunnel(self.transport, user)
            return
        self.transport.set_protocol(user)
        user.connection_made(self.transport)


async def open_direct(address: Endpoint, timeout_s: float) -> OpenPath:
    """Connects to an address without asking another daemon.

    Raises:
        NotConnectedError: nothing answered in time, or the address refused.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, pending = await loop.create_connection(
                PendingConnection, *address
            )
    except TimeoutError as error:
        raise NotConnectedError(repr(error), ProbeResult.SILENT) from error
    except OSError as error:
        raise NotConnectedError(repr(error), interpret_error(error)) from error
    if transport.is_closing() or pending.has_data:
        transport.abort()
        raise NotConnectedError("reset at once", ProbeResult.RESET)
    return OpenPath(transport=transport)


class PathRace:
    """Tries paths one after the other, each with a head start before the next one.

    Args:
        steps: the paths in order.
        start: tries one of them.

    Attributes:
        failures: kinds of the paths that led nowhere, and why.
    """

    def __init__(
        self,
        *,
        steps: Collection[Step],
        start: Callable[[PathKind], Coroutine[Any, Any, OpenPath]],
    ) -> None:
        self.failures: list[tuple[PathKind, NotConnectedError]] = []
        self._steps = steps
        self._start = start
        self._running: dict[asyncio.Task[OpenPath], PathKind] = {}

    @property
    def was_direct_tried(self) -> bool:
        """Whether the direct path was tried."""
        failed = (kind for kind, _ in self.failures)
        return PathKind.DIRECT in (*failed, *self._running.values())

    @property
    def direct_result(self) -> ProbeResult:
        """Result of the direct path if it has failed; silent if not."""
        failed = (e.result for kind, e in self.failures if kind is PathKind.DIRECT)
        return next(failed, ProbeResult.SILENT)

    @property
    def results(self) -> list[ProbeResult]:
        """Results of the paths that have failed."""
        return [result for _, error in self.failures for result in error.results]

    def render_failures(self) -> str:
        """Renders the failures for a log line."""
        texts = (f"{kind}: {error}" for kind, error in self.failures)
        return "; ".join(dict.fromkeys(texts))

    async def run(self) -> OpenPath | None:
        """Returns the first path that leads to the server; None if none does."""
        winner: OpenPath | None = None
        try:
            for step in self._steps:
                winner = winner or await self._await_path(step.delay_s)
                if winner is not None:
                    break
                task = asyncio.create_task(self._start(step.kind))
                self._running[task] = step.kind
            while winner is None and self._running:
                winner = await self._await_path(None)
        finally:
            for task in self._running:
                task.add_done_callback(_close_unused)
                task.cancel()
        return winner

    async def _await_path(self, delay_s: float | None) -> OpenPath | None:
        """Waits until a path is open, one has failed or the delay is over."""
        if not self._running:
            return None
        done, _ = await asyncio.wait(
            self._running, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED
        )
        winner: OpenPath | None = None
        for task in done:
            kind = self._running.pop(task)
            error = task.exception()
            if isinstance(error, NotConnectedError):
                self.failures.append((kind, error))
            elif error is not None:
                raise error
            elif winner is None:
                winner = task.result()
            else:
                _close_unused(task)
        return winner


def _close_unused(task: "asyncio.Task[OpenPath]") -> None:
    """Closes a path that was opened after another one was chosen."""
    if not task.cancelled() and task.exception() is None:
        task.result().transport.abort()
