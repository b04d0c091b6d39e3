"""Relays a stream event by event and moves its run off a server that is leaving."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from ..errors import BerylpostError, ErrorKind, LostAnswerError, PlatformError
from ..logs import log_event
from ..platform.engine_calls import move_run
from ..platform.headers import filter_response_headers
from ..policy.placement import choose_engine
from ..policy.run_move import find_move_delay
from ..policy.stream_end import EndedStream, find_missing_end
from .backend_table import BackendRecord, BackendTable
from .callers import CallerConnection
from .clock import read_boottime
from .http_channel import MAX_ENGINE_ANSWER_BYTES, HttpChannel
from .server_limits import ServerLimits
from .upstream import AnswerHead, Connection, Exchange, Failure, UpstreamError
from .work import MIN_LEFT_S, RequestContext, RunMoved, render_parts

LOGGER: Final = logging.getLogger(__name__)

# Time without data after which a stream continues on another server; callers give up
# after 2 s.
STALL_TIMEOUT_S: Final = 1.5
# Maximum number of moves of one run; more than two reclaims during one run are rare.
MAX_MOVES: Final = 2
# Time limit for a move, which must end before the leaving server shuts down; a copy
# takes 0.05 s.
MOVE_TIMEOUT_S: Final = 0.8
# Time from the move of a stopped run to the end of its stream.
FINAL_EVENTS_TIMEOUT_S: Final = 0.3


class StreamRelay:
    """Relays the streams of one daemon.

    Args:
        table: state of the backend servers that may continue a moved run.
        limits: request rates that servers name.
        record_origin: called with the attempt, service and software version of a stream
            that callers may take up, when its first event arrives.
    """

    def __init__(
        self,
        *,
        table: BackendTable,
        limits: ServerLimits,
        record_origin: Callable[[str, str, str], None],
    ) -> None:
        self._table = table
        self._limits = limits
        self._record_origin = record_origin

    async def relay(
        self,
        context: RequestContext,
        caller: CallerConnection,
        record: BackendRecord,
        connection: Connection,
        exchange: Exchange,
        head: AnswerHead,
        first: bytes,
    ) -> None:
        """Forwards complete events as they arrive.

        Raises:
            RunMoved: the run was stopped and continues on another server.
            UpstreamError: the stream failed and may continue on another server.
            TimeoutError: the stream stalled and may continue on another server.
            BerylpostError: the stream failed and the caller's answer stays incomplete.
        """
        splitter = context.splitter
        splitter.discard_partial()
        version = self._table.find_version(record)
        if context.stream_version not in (None, version):
            detail = f"the server has restarted at version {version}"
            raise UpstreamError(Failure.BAD_ANSWER, detail)
        context.may_be_stopped = False
        n_events_before = splitter.n_events
        last_data_at = read_boottime()

        def begin() -> None:
            if not context.head_sent:
                context.head_sent = True
                self._note_begin(context, record)
                headers = filter_response_headers(head.headers)
                caller.begin(head.status, head.reason, headers, length=head.length)

        def forward(data: bytes) -> None:
            nonlocal last_data_at
            last_data_at = read_boottime()
            events = splitter.feed(data)
            exchange.count_event(splitter.n_partial_bytes)
            if events:
                begin()
                caller.send(events)

        is_held = False

        def hold(writable: bool) -> None:
            nonlocal is_held, last_data_at
            is_held = not writable
            last_data_at = read_boottime()
            if writable:
                connection.resume_reading()
            else:
                connection.pause_reading()

        caller.on_writable = hold
        exchange.discard_event = splitter.discard_partial
        forward(first)
        exchange.attach(forward)
        may_resume = (
            context.route.can_resume and context.n_run + 1 < context.route.max_attempts
        )
        try:
            while not exchange.end.done():
                if is_held:  # the caller is slow, and its server is not read
                    last_data_at = read_boottime()
                stall_s = last_data_at + STALL_TIMEOUT_S - read_boottime()
                limit_s = min(context.left_s, stall_s if may_resume else context.left_s)
                if limit_s <= 0:
                    break
                await self._await_end(context, record, exchange, head, limit_s)
            if not exchange.end.done():
                raise TimeoutError
            exchange.end.result()
            has_events = splitter.n_events > n_events_before
            await _check_complete(context, record, connection, head, has_events)
        except (UpstreamError, TimeoutError) as error:
            exchange.sink = None
            _log_end(context, record, head, error)
            splitter.discard_partial()
            if context.kv_source:
                raise RunMoved from error
            may_resume = may_resume and splitter.ends_with_id
            if may_resume and context.left_s > MIN_LEFT_S and head.length is None:
                raise
            context.may_have_run = True
            kind = ErrorKind.ANSWER_CUT
            raise BerylpostError(kind, f"stream broke: {error!r}") from error
        _log_end(context, record, head, None)
        begin()
        # Only line ends can be left here; a declared length counts them.
        caller.send(splitter.take_partial())
        caller.finish()

    def _note_begin(self, context: RequestContext, record: BackendRecord) -> None:
        """Fixes the software version at which the stream may go on."""
        context.stream_version = self._table.find_version(record)
        if context.route.can_resume and not context.head.last_event_id:
            self._record_origin(
                context.head.id, context.service, context.stream_version
            )

    async def _await_end(
        self,
        context: RequestContext,
        record: BackendRecord,
        exchange: Exchange,
        head: AnswerHead,
        limit_s: float,
    ) -> None:
        """Waits for the end of the stream; moves the run if its server is leaving."""
        may_move = context.n_moves < MAX_MOVES and head.length is None
        if record.shutdown_at is not None and may_move:
            delay_s = find_move_delay(record.shutdown_at - read_boottime())
            if delay_s is not None:
                await asyncio.wait((exchange.end,), timeout=min(limit_s, delay_s))
                if not exchange.end.done() and delay_s <= limit_s:
                    await self._move_run(context, record)
                    # The engine closes the stream after its last event.
                    limit_s = FINAL_EVENTS_TIMEOUT_S if context.kv_source else limit_s
                    await asyncio.wait((exchange.end,), timeout=limit_s)
                return
            may_move = False
        if not may_move:
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

    async def _move_run(self, context: RequestContext, record: BackendRecord) -> None:
        """Stops the run on a leaving server and copies its KV cache to another one.

        Sets `kv_source` and `moved_to` of the request; leaves them as they are on
        failure. Sets `may_be_stopped` if the run has ended there or may have.
        """
        context.n_moves += 1
        version = record.backend.software_version
        others = [
            other
            for other in self._table.list_usable(
                context.service, (record.backend.id,), version
            )
            if not self._limits.find_wait(other)
        ]
        loads = self._table.view_loads(others)
        choice = choose_engine(loads, [0.0] * len(loads))
        if choice is None:
            return
        target = self._table.records[choice.id]
        channel = HttpChannel(
            address=record.backend.address,
            connect_timeout_s=MOVE_TIMEOUT_S,
            open_path=record.pool.open_path,
            max_bytes=MAX_ENGINE_ANSWER_BYTES,
        )
        try:
            moved = await move_run(
                channel,
                context.head.id,
                target.backend.address,
                timeout_s=MOVE_TIMEOUT_S,
            )
        except PlatformError as error:
            moved = None
            context.may_be_stopped = isinstance(error, LostAnswerError)
            log_event(LOGGER, "move_failed", id=context.head.id, cause=error)
        finally:
            channel.close()
        if moved is None:
            return
        context.may_be_stopped = True
        # The copied cache, too, fits only the version that wrote it.
        context.stream_version = version
        holder = target if moved.copied else record
        context.kv_source = f"{record.backend.address}/{moved.handle}"
        context.moved_to = holder.backend.id
        log_event(
            LOGGER,
            "run_moved",
            id=context.head.id,
            backend=record.backend.id,
            to=context.moved_to,
            version=version,
            to_version=holder.backend.software_version,
            n_events=moved.n_events,
            n_passed=context.splitter.n_events,
            copied=moved.copied,
            goes_in_s=(record.shutdown_at or 0.0) - read_boottime(),
        )


async def _check_complete(
    context: RequestContext,
    record: BackendRecord,
    connection: Connection,
    head: AnswerHead,
    has_events: bool,
) -> None:
    """Checks a stream that ended without an error.

    Args:
        context: the request.
        record: the server.
        connection: the connection that brought the answer.
        head: head of the server's answer.
        has_events: whether that answer brought any event.

    Raises:
        UpstreamError: the server broke it off.
    """
    ended = EndedStream(
        framed=head.framed,
        inside_event=context.splitter.is_inside_event,
        has_events=has_events,
        may_be_stopped=context.may_be_stopped,
    )
    missing = find_missing_end(ended)
    if not missing and not head.framed:
        is_serving = await record.pool.is_serving(connection)
        missing = find_missing_end(replace(ended, server_ended=not is_serving))
    if missing:
        raise UpstreamError(Failure.CUT, missing)


def _log_end(
    context: RequestContext,
    record: BackendRecord,
    head: AnswerHead,
    error: Exception | None,
) -> None:
    """Logs how a server ended a stream; `error` is None for an orderly end."""
    log_event(
        LOGGER,
        "stream_ended",
        id=context.head.id,
        backend=record.backend.id,
        version=record.backend.software_version,
        cause="end" if error is None else repr(error),
        framing=head.framing,
        n_events=context.splitter.n_events,
        last_id=context.splitter.last_id,
        partial_bytes=context.splitter.n_partial_bytes,
        moved=bool(context.kv_source),
        n_sent=context.n_sent,
        request=f"{context.suspects.digest:016x}",
        parts="" if error is None else render_parts(context.head),
    )
