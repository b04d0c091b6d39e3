"""Passes a stream on, event by event, and moves its run off a server that is going."""

import asyncio
import logging
from typing import Final

from ..errors import BerylpostError, ErrorKind, PlatformError
from ..logs import log_event
from ..platform.engine_calls import move_run
from ..platform.headers import filter_response_headers
from ..policy.placement import choose_engine
from ..policy.run_move import find_move_delay
from .backend_table import BackendRecord, BackendTable
from .callers import CallerConnection
from .clock import read_boottime
from .http_channel import HttpChannel
from .upstream import AnswerHead, Connection, Exchange, UpstreamError
from .work import MIN_LEFT_S, RunMoved, Work

LOGGER: Final = logging.getLogger(__name__)

STALL_S: Final = 1.5  # pause before a stream goes on elsewhere; callers leave at 2
MAX_MOVES: Final = 2  # of one run; more than two reclaims in its time are rare
MOVE_TIMEOUT_S: Final = 0.8  # within the last moments of a server; a copy takes 0.05
LAST_EVENTS_S: Final = 0.3  # from a stopped run's last event to the end of its stream


class StreamRelay:
    """Relays streams of one daemon.

    Args:
        table: backend servers that may take a moved run.
    """

    def __init__(self, *, table: BackendTable) -> None:
        self._table = table

    async def relay(
        self,
        work: Work,
        caller: CallerConnection,
        record: BackendRecord,
        connection: Connection,
        exchange: Exchange,
        head: AnswerHead,
        first: bytes,
    ) -> None:
        """Passes whole events on as they come.

        Raises:
            RunMoved: the run was stopped and goes on at another server.
            AttemptFailed: it broke and may go on at another server.
            BerylpostError: it broke and the caller's answer ends unfinished.
        """
        splitter = work.splitter
        splitter.drop_rest()
        moved_at = read_boottime()

        def pass_on(data: bytes) -> None:
            nonlocal moved_at
            moved_at = read_boottime()
            events = splitter.feed(data)
            if events:
                caller.send(events)

        if not work.started:
            work.started = True
            headers = filter_response_headers(head.headers)
            caller.begin(head.status, head.reason, headers, length=head.length)
        caller.on_writable = lambda writable: (
            connection.resume_reading() if writable else connection.pause_reading()
        )
        pass_on(first)
        exchange.attach(pass_on)
        may_move = work.route.can_resume and work.n_run + 1 < work.route.max_attempts
        try:
            while not exchange.end.done():
                stall_s = moved_at + STALL_S - read_boottime()
                limit_s = min(work.left_s, stall_s if may_move else work.left_s)
                if limit_s <= 0:
                    break
                await self._await_end(work, record, exchange, head, limit_s)
            if not exchange.end.done():
                raise TimeoutError
            exchange.end.result()
        except (UpstreamError, TimeoutError) as error:
            exchange.sink = None
            splitter.drop_rest()
            if work.kv_source:
                raise RunMoved from error
            if may_move and work.left_s > MIN_LEFT_S and head.length is None:
                raise
            work.maybe_run = True
            kind = ErrorKind.ANSWER_CUT
            raise BerylpostError(kind, f"stream broke: {error!r}") from error
        caller.send(splitter.take_rest())
        caller.finish()

    async def _await_end(
        self,
        work: Work,
        record: BackendRecord,
        exchange: Exchange,
        head: AnswerHead,
        limit_s: float,
    ) -> None:
        """Waits for the stream's end, and moves it when its server is going."""
        may_leave = work.n_moves < MAX_MOVES and head.length is None
        if record.goes_at is not None and may_leave:
            delay_s = find_move_delay(record.goes_at - read_boottime())
            if delay_s is not None:
                await asyncio.wait((exchange.end,), timeout=min(limit_s, delay_s))
                if not exchange.end.done() and delay_s <= limit_s:
                    await self._move_run(work, record)
                    # The engine closes the stream after its last event.
                    limit_s = LAST_EVENTS_S if work.kv_source else limit_s
                    await asyncio.wait((exchange.end,), timeout=limit_s)
                return
            may_leave = False
        if not may_leave:
            await asyncio.wait((exchange.end,), timeout=limit_s)
            return
        leaving = asyncio.ensure_future(record.leaving.wait())
        try:
            await asyncio.wait(
                (exchange.end, leaving),
                timeout=limit_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            leaving.cancel()

    async def _move_run(self, work: Work, record: BackendRecord) -> None:
        """Stops the run at a server that is going and copies its KV cache.

        Sets where the cache lies and who takes it up; changes nothing on failure.
        """
        work.n_moves += 1
        others = self._table.list_usable(work.service, (record.backend.id,))
        loads = self._table.view_loads(others)
        choice = choose_engine(loads, [0.0] * len(loads))
        if choice is None:
            return
        target = self._table.records[choice.id]
        channel = HttpChannel(
            address=record.backend.address, connect_timeout_s=MOVE_TIMEOUT_S
        )
        try:
            moved = await move_run(
                channel, work.head.id, target.backend.address, timeout_s=MOVE_TIMEOUT_S
            )
        except PlatformError as error:
            moved = None
            log_event(LOGGER, "move_failed", id=work.head.id, cause=error)
        finally:
            channel.close()
        if moved is None:
            return
        holder = target if moved.copied else record
        work.kv_source = f"{record.backend.address}/{moved.handle}"
        work.moved_to = holder.backend.id
        log_event(
            LOGGER,
            "run_moved",
            id=work.head.id,
            backend=record.backend.id,
            to=work.moved_to,
            n_events=moved.n_events,
            n_passed=work.splitter.n_events,
            copied=moved.copied,
            goes_in_s=(record.goes_at or 0.0) - read_boottime(),
        )
