"""Forwards one caller request to backend servers, with retries, until it is answered.

`admission` accepts the request, `routing` selects a backend server, `stream_relay`
relays streams and `policy.repeat` decides whether a failed attempt may be retried. The
caller is told that the request was not run only if no attempt can have run it.
"""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from ..errors import BerylpostError, ErrorKind
from ..logs import log_event
from ..platform import names
from ..platform.headers import (
    decode_request,
    filter_response_headers,
    is_signed,
    parse_leaving,
    parse_load,
    parse_rate_limit,
    render_request,
)
from ..policy.brittle import find_risk_rate
from ..policy.repeat import AttemptOutcome, may_retry
from .admission import Admission
from .backend_table import N_URGENCIES, BackendRecord, BackendTable
from .buffer_budget import BufferBudget
from .caller_requests import CallerRequest
from .callers import CallerConnection
from .catalogue import Catalogue
from .clock import read_boottime
from .leaving_servers import LeavingServers
from .model import RequestHead, Route, RouteKind
from .quotas import Quotas
from .request_quarantine import RequestQuarantine
from .rollouts import Rollouts
from .routing import Router
from .server_limits import ServerLimits
from .server_speeds import ServerSpeeds
from .stream_origins import StreamOrigins
from .stream_relay import StreamRelay
from .upstream import AnswerHead, Connection, Exchange, Failure, UpstreamError
from .usage import Usage
from .work import (
    MIN_LEFT_S,
    AttemptFailed,
    RequestContext,
    RunMoved,
    make_refusal,
    render_parts,
)
from .work_meter import WorkMeter

LOGGER: Final = logging.getLogger(__name__)

# Answers with this status or a higher one are failures of the backend server itself;
# another server may succeed.
MIN_RETRY_STATUS: Final = 500
# Share of the route's objective to wait for the head of an answer before a repeatable
# request is sent to another server.
HEAD_TIMEOUT_SHARE: Final = 0.7
# Share of the route's objective to wait for the head of a stream before a repeatable
# request is sent to another server; larger than for other answers, because a queue of
# prompts is not a failure.
STREAM_HEAD_TIMEOUT_SHARE: Final = 1.5
# Retry delay told to callers; a full server has capacity after about one request.
OVERLOADED_RETRY_S: Final = 0.3
# Wait for the end of a server whose answer without a length has ended. Callers wait as
# long for it; such an answer is short, so that few are cut by a process that ends.
ANSWER_CLOSING_S: Final = 0.05
MAX_BAD_VALUE_BYTES: Final = 40  # kept and logged of a malformed header
# Failures of an attempt after which the server may have ended.
BREAKS: Final = frozenset({Failure.RESET, Failure.CUT})


class Forwarder:
    """Serves callers' requests.

    Args:
        catalogue: source of the configuration in force.
        table: state of the backend servers.
        origins: software versions of the streams that callers take up.
        quarantine: requests and prompt parts that are held back.
        limits: request rates that servers name.
        brittle: rates of what brittle servers may turn away.
        leaving: servers that said that they leave.
        rollouts: orders that move services to new versions.
        quotas: quotas of customers and retry budgets of services.
        usage: counts executed requests by customer.
        work_meter: measures the work that callers' requests cause.
        speeds: learned speeds of the servers.
        buffers: counts the bodies that are held.
        observe: called for metrics with the outcome, the route, the seconds until the
            answer began (negative if it did not) and the total seconds.
    """

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        table: BackendTable,
        origins: StreamOrigins,
        quarantine: RequestQuarantine,
        limits: ServerLimits,
        brittle: ServerLimits,
        leaving: LeavingServers,
        rollouts: Rollouts,
        quotas: Quotas,
        usage: Usage,
        work_meter: WorkMeter,
        speeds: ServerSpeeds,
        buffers: BufferBudget,
        observe: Callable[[str, Route, float, float], None],
    ) -> None:
        self.admission = Admission(
            catalogue=catalogue, quotas=quotas, quarantine=quarantine
        )
        self._router = Router(
            table=table,
            limits=limits,
            brittle=brittle,
            rollouts=rollouts,
            work_meter=work_meter,
            speeds=speeds,
        )
        self._speeds = speeds
        self._relay = StreamRelay(
            table=table, limits=limits, record_origin=origins.record
        )
        self._limits = limits
        self._brittle = brittle
        self._leaving = leaving
        self._rollouts = rollouts
        self._origins = origins
        self._quarantine = quarantine
        self._catalogue = catalogue
        self._table = table
        self._quotas = quotas
        self._usage = usage
        self._observe = observe
        self._buffers = buffers

    async def serve(self, request: CallerRequest, caller: CallerConnection) -> None:
        """Serves one request; sends a complete answer or aborts the connection."""
        head = decode_request(request.method, request.target, request.headers)
        context: RequestContext | None = None
        outcome = "answered"
        detail = ""
        try:
            await self._quarantine.await_start()
            context = self.admission.admit(request, head)
            if context.route.can_resume and head.last_event_id:
                await self._origins.resolve(context)
            elif context.route.can_resume:
                context.first_version = self._origins.choose_first_version(
                    context.service
                )
            await self._run_attempts(context, caller)
        except BerylpostError as error:
            outcome = error.kind.value
            detail = error.detail
            if (
                context is not None
                and not context.may_have_run
                and context.customer is not None
            ):
                self._quotas.refund(context.customer, context.units)
            if caller.answer_started:
                caller.abort()
            else:
                caller.answer_error(error)
        except asyncio.CancelledError:
            if not caller.is_open:
                outcome = "caller_left"
                raise
            told = self._end_unfinished(context, caller)
            outcome, detail = told.kind.value, told.detail
        finally:
            # An attempt that has not ended here, or was answered, was a trial.
            if (
                context is not None
                and context.is_trial
                and context.n_sent == context.n_not_run
            ):
                self._quarantine.cancel_trial(context.suspects)
            self._log_request(head, context, outcome, detail, request.arrived_at)

    def _end_unfinished(
        self, context: RequestContext | None, caller: CallerConnection
    ) -> BerylpostError:
        """Answers a request that is in progress when this daemon has to end.

        Returns:
            The error that the caller is told, unless its answer had begun.
        """
        may_have_run = context is not None and context.n_sent > context.n_not_run
        if may_have_run:
            kind = ErrorKind.OUTCOME_UNKNOWN
            error = BerylpostError(kind, "this daemon has to end")
        else:
            error = make_refusal(ErrorKind.LEAVING, "this daemon is leaving", 0.0)
            if context is not None and context.customer is not None:
                self._quotas.refund(context.customer, context.units)
        if caller.answer_started:
            caller.abort()
        else:
            caller.answer_error(error)
        return error

    async def _run_attempts(
        self, context: RequestContext, caller: CallerConnection
    ) -> None:
        """Tries backend servers until the request is answered.

        Raises:
            BerylpostError: the request could not be answered; the kind says whether it
                may have run.
        """
        while True:
            try:
                record, connection = await self._router.connect(context)
            except BerylpostError as error:
                if context.last_answer is None:
                    raise
                self._give_up(context, caller, error.detail)
                return
            if self._is_held(context):
                record.pool.release(connection)
                refusal = self._quarantine.make_refusal(context.suspects)
                if not context.may_have_run:
                    raise refusal
                self._give_up(context, caller, refusal.detail)
                return
            if context.n_sent and not self._quotas.take_retry(context.service):
                record.pool.release(connection)
                self._give_up(context, caller, "repeat budget is spent")
                return
            began_at = read_boottime()
            try:
                with self._rollouts.measure(context, record):
                    await self._attempt(context, caller, record, connection)
                return
            except RunMoved:
                continue
            except AttemptFailed as failure:
                if failure.may_have_run:
                    context.may_have_run = True
                    context.n_run += 1
                    context.is_trial = False
                else:
                    context.n_not_run += 1
                context.tried.append(record.backend.id)
                self._table.note_failure(
                    record, unreachable=failure.unreachable, began_at=began_at
                )
                log_event(
                    LOGGER,
                    "attempt_failed",
                    id=context.head.id,
                    backend=record.backend.id,
                    version=record.backend.software_version,
                    cause=failure,
                    maybe_run=failure.may_have_run,
                    n_sent=context.n_sent,
                    left_s=context.left_s,
                    request=f"{context.suspects.digest:016x}",
                    parts=render_parts(context.head),
                )
                if not self._may_retry(context):
                    self._give_up(context, caller, str(failure))
                    return
                await self._quarantine.await_check(record)

    def _is_held(self, context: RequestContext) -> bool:
        """Tells whether the request has become held since its admission."""
        return not context.is_trial and self._quarantine.is_held(context.suspects)

    def _may_retry(self, context: RequestContext) -> bool:
        outcome = (
            AttemptOutcome.MAYBE_RUN if context.may_have_run else AttemptOutcome.NOT_RUN
        )
        if context.kv_source:
            outcome = AttemptOutcome.CACHE_MAYBE_TAKEN
            context.kv_source = context.moved_to = ""
        return context.left_s >= MIN_LEFT_S and may_retry(
            outcome,
            repeatable=context.route.repeatable,
            n_sent=context.n_sent - context.n_moves,
            n_run=context.n_run,
            max_attempts=context.route.max_attempts,
        )

    def _give_up(
        self, context: RequestContext, caller: CallerConnection, reason: str
    ) -> None:
        """Answers with the last backend server's error, or raises an error.

        Raises:
            BerylpostError: there is no backend server's answer that can be sent.
        """
        if context.last_answer is not None and not context.head_sent:
            self._send_answer(context, caller, *context.last_answer)
            return
        expired = context.left_s < MIN_LEFT_S
        if not context.may_have_run:
            raise make_refusal(ErrorKind.OVERLOADED, reason, OVERLOADED_RETRY_S)
        kind = ErrorKind.OUTCOME_UNKNOWN if expired else ErrorKind.BACKEND_FAILED
        raise BerylpostError(kind, reason)

    async def _attempt(
        self,
        context: RequestContext,
        caller: CallerConnection,
        record: BackendRecord,
        connection: Connection,
    ) -> None:
        """Sends the request to one backend server and forwards its answer.

        Raises:
            AttemptFailed: the caller has received nothing, or only the beginning of a
                stream that another server can continue.
            RunMoved: the run was stopped and continues on another engine.
            BerylpostError: the answer to the caller cannot be completed.
        """
        uncached = self._table.count_uncached(record, context.head.parts)
        exchange = Exchange(
            attempt_id=context.head.id.encode("latin-1"),
            has_body=context.head.method != b"HEAD",
            buffers=self._buffers,
        )
        data = render_request(
            context.head,
            host=context.request.find(b"host"),
            body=context.request.body,
            backend_id=record.backend.id,
            customer=context.customer.name if context.customer else "",
            deadline_s=context.left_s,
            last_event_id=context.splitter.last_id or context.head.last_event_id,
            urgency=context.urgency if context.head.parts else None,
            kv_source=context.kv_source,
        )
        record.n_outstanding += 1
        urgency = min(N_URGENCIES - 1, context.urgency)
        record.pending_tokens[urgency] += uncached
        pending = uncached
        self._table.note_prompt(record, context.head.parts)
        sent_at = read_boottime()
        context.n_sent += 1
        context.backend_id = record.backend.id
        connection.send(data, exchange, limit_s=context.left_s)
        complete = False
        try:
            head = await self._await_head(context, exchange)
            answer_s = read_boottime() - sent_at
            self._note_limit(record, head)
            if head.status != 421:  # another server answered
                self._note_leaving(record, head)
                self._note_brittle(record, head)
                self._speeds.note_load(
                    record.backend, parse_load(head.find(names.LOAD))
                )
            if head.status == 421 or head.find(names.NOT_EXECUTED):
                await self._await_body(context, exchange)
                complete = True
                if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
                    record.refused_at = read_boottime()
                detail = f"not executed, status {head.status}"
                raise AttemptFailed(
                    detail, may_have_run=False, unreachable=head.status == 421
                )
            self._record_execution(context)
            # First answers, the rest of streams and those that are taken up pass here,
            # directly or through another daemon.
            if head.status < 300 and not is_signed(head.headers):
                raise AttemptFailed(
                    "unsigned answer", may_have_run=True, unreachable=False
                )
            if head.is_stream:
                if not context.route.repeatable:
                    context.may_have_run = True
                first = await self._await_first_event(context, exchange)
                context.on_first_event()
                record.pending_tokens[urgency] -= pending
                pending = 0.0
                if first:
                    self._note_first_token(context, record, uncached, sent_at)
                context.kv_source = context.moved_to = ""
                await self._relay.relay(
                    context, caller, record, connection, exchange, head, first
                )
                complete = True
                self._table.note_success(record, None)
                if context.splitter.n_events:
                    self._quarantine.note_answered(context.suspects)
                return
            await self._await_body(context, exchange)
            pool = record.pool
            if not head.framed and not await pool.is_serving(
                connection, ANSWER_CLOSING_S
            ):
                raise UpstreamError(Failure.CUT, "closed as its server ended")
            complete = True
            self._handle_complete_answer(
                context, caller, record, head, bytes(exchange.body), answer_s
            )
        except (BerylpostError, RunMoved) as error:
            self._note_break(context, record, error.__cause__)
            raise
        except UpstreamError as error:
            record.pool.note_broken(connection)
            self._note_break(context, record, error)
            unreachable = error.kind is not Failure.BAD_ANSWER
            raise AttemptFailed(
                str(error), may_have_run=True, unreachable=unreachable
            ) from error
        except TimeoutError as error:
            record.pool.note_broken(connection)
            raise AttemptFailed(
                "no answer in time", may_have_run=True, unreachable=True
            ) from error
        finally:
            record.n_outstanding -= 1
            record.pending_tokens[urgency] -= pending
            if complete:
                record.pool.release(connection)
            else:
                connection.abort()
            exchange.discard_body()

    def _note_first_token(
        self,
        context: RequestContext,
        record: BackendRecord,
        uncached: float,
        sent_at: float,
    ) -> None:
        """Learns from a stream that has begun on a server, unless it goes on there."""
        parts = context.head.parts
        if (
            not parts
            or context.kv_source
            or context.splitter.last_id
            or context.head.last_event_id
        ):
            return
        # Whether the engine has shared parts that it was not known to have is unknown.
        is_known = uncached <= parts[-1].n_tokens
        context.wait_error_s = self._speeds.note_first_token(
            record.backend,
            n_tokens=uncached if is_known else 0.0,
            n_ahead=context.n_ahead,
            first_s=read_boottime() - sent_at,
            predicted_s=context.predicted_wait_s,
        )

    def _note_limit(self, record: BackendRecord, head: AnswerHead) -> None:
        """Records the request rate that a server names; ignores a malformed one."""
        value = head.find(names.RATE_LIMIT)
        rate = parse_rate_limit(value)
        if rate is not None or not value:
            self._limits.note_answer(record, rate)
        elif record.bad_limit != value[:MAX_BAD_VALUE_BYTES]:
            record.bad_limit = value[:MAX_BAD_VALUE_BYTES]
            log_event(
                LOGGER,
                "bad_limit",
                backend=record.backend.id,
                value=value[:MAX_BAD_VALUE_BYTES],
            )

    def _note_brittle(self, record: BackendRecord, head: AnswerHead) -> None:
        """Records whether a server says that it is brittle."""
        value = head.find(names.BRITTLE)
        n_allowed = parse_rate_limit(value)
        if n_allowed is not None or not value:
            rate = None if n_allowed is None else find_risk_rate(n_allowed)
            self._brittle.note_answer(record, rate)
        elif record.bad_brittle != value[:MAX_BAD_VALUE_BYTES]:
            record.bad_brittle = value[:MAX_BAD_VALUE_BYTES]
            log_event(
                LOGGER,
                "bad_brittle",
                backend=record.backend.id,
                value=value[:MAX_BAD_VALUE_BYTES],
            )

    def _note_leaving(self, record: BackendRecord, head: AnswerHead) -> None:
        """Records whether a server says that it leaves."""
        value = head.find(names.LEAVING)
        leaves = parse_leaving(value)
        if leaves and not self._leaving.is_leaving(record.backend):
            log_event(
                LOGGER,
                "leaving_named",
                backend=record.backend.id,
                state=record.backend.state,
                started_ms=record.backend.started_ms,
            )
            self._leaving.note(record)
        elif leaves is None and record.bad_leaving != value[:MAX_BAD_VALUE_BYTES]:
            record.bad_leaving = value[:MAX_BAD_VALUE_BYTES]
            log_event(
                LOGGER,
                "bad_leaving",
                backend=record.backend.id,
                value=value[:MAX_BAD_VALUE_BYTES],
            )

    def _note_break(
        self,
        context: RequestContext,
        record: BackendRecord,
        error: BaseException | None,
    ) -> None:
        if isinstance(error, UpstreamError) and error.kind in BREAKS:
            self._quarantine.note_broken(record, context.suspects)

    async def _await_head(
        self, context: RequestContext, exchange: Exchange
    ) -> AnswerHead:
        """Waits for the head of the answer, for a shorter time if a retry is possible.

        Raises:
            TimeoutError: the head did not arrive in time.
            UpstreamError: the exchange failed.
        """
        limit_s = context.left_s
        can_retry = (
            context.route.repeatable and context.n_run + 1 < context.route.max_attempts
        )
        if can_retry:
            share = HEAD_TIMEOUT_SHARE
            if context.route.kind is RouteKind.STREAM:
                share = STREAM_HEAD_TIMEOUT_SHARE
            limit_s = min(
                limit_s, share * context.route.objective_s + context.predicted_wait_s
            )
        async with asyncio.timeout(max(0, limit_s)):
            return await asyncio.shield(exchange.head)

    async def _await_first_event(
        self, context: RequestContext, exchange: Exchange
    ) -> bytes:
        """Waits for the first bytes of a stream and removes them from the exchange.

        Raises:
            TimeoutError: no bytes arrived before the request expired.
        """
        first: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def collect(data: bytes) -> None:
            exchange.body += data
            if not first.done():
                first.set_result(None)

        exchange.attach(collect)
        if not exchange.end.done() and not first.done():
            done, _ = await asyncio.wait(
                (first, exchange.end),
                timeout=max(0, context.left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                raise TimeoutError
        data, exchange.body = bytes(exchange.body), bytearray()
        exchange.sink = None
        return data

    async def _await_body(self, context: RequestContext, exchange: Exchange) -> None:
        async with asyncio.timeout(max(0, context.left_s)):
            await asyncio.shield(exchange.end)

    def _record_execution(self, context: RequestContext) -> None:
        """Records the time of the first answer and counts the request as usage once."""
        if context.first_byte_s < 0:
            context.first_byte_s = read_boottime() - context.request.arrived_at
        if not context.usage_counted and context.customer is not None:
            context.usage_counted = True
            self._usage.count(context.customer.name)

    def _handle_complete_answer(
        self,
        context: RequestContext,
        caller: CallerConnection,
        record: BackendRecord,
        head: AnswerHead,
        body: bytes,
        answer_s: float,
    ) -> None:
        """Forwards a complete answer, or keeps an error answer for the last attempt.

        Raises:
            AttemptFailed: the answer is not acceptable; another server may succeed.
        """
        if context.head_sent:
            detail = f"status {head.status} instead of the rest of a stream"
            raise AttemptFailed(detail, may_have_run=True, unreachable=False)
        if head.status >= MIN_RETRY_STATUS:
            context.last_answer = (head, body)
            raise AttemptFailed(
                f"status {head.status}", may_have_run=True, unreachable=False
            )
        load = parse_load(head.find(names.LOAD))
        comparable = load is not None and load.waiting == 0
        self._table.note_success(record, answer_s if comparable else None)
        if comparable:
            self._speeds.note_answer(record.backend, answer_s)
        if head.status < MIN_RETRY_STATUS:
            self._quarantine.note_answered(context.suspects)
        self._send_answer(context, caller, head, body)

    def _send_answer(
        self,
        context: RequestContext,
        caller: CallerConnection,
        head: AnswerHead,
        body: bytes,
    ) -> None:
        caller.answer(
            head.status, head.reason, filter_response_headers(head.headers), body
        )

    def _log_request(
        self,
        head: RequestHead,
        context: RequestContext | None,
        outcome: str,
        detail: str,
        arrived_at: float,
    ) -> None:
        total_s = read_boottime() - arrived_at
        catalogue = self._catalogue
        configuration = catalogue.configuration
        first_s = context.first_byte_s if context is not None else -1.0
        if context is not None:
            self._observe(outcome, context.route, first_s, total_s)
        log_event(
            LOGGER,
            "request",
            id=head.id,
            outcome=outcome,
            detail=detail,
            route=context.route.name if context else "",
            customer=context.customer.name if context and context.customer else "",
            backend=context.backend_id if context else "",
            after=head.last_event_id,
            resumed=head.resumed_id,
            tried=",".join(context.tried) if context else "",
            n_sent=context.n_sent if context else 0,
            predicted_s=context.predicted_wait_s if context else 0.0,
            wait_error_s=context.wait_error_s if context else None,
            first_s=first_s,
            total_s=total_s,
            tokens=head.prompt_tokens,
            configuration=configuration.number if configuration else 0,
            confirmed_s=catalogue.read_confirmation_age(),
        )
