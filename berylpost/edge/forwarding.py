"""Carries one request from a caller through its attempts to an answer.

`admission` takes it, `routing` finds a server, `stream_relay` passes streams on and
`policy.repeat` says what may follow a failed attempt. "Not run" is answered only while
no attempt can have run.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from ..errors import BerylpostError, ErrorKind
from ..logs import log_event
from ..platform import names
from ..platform.headers import (
    decode_request,
    filter_response_headers,
    parse_load,
    render_request,
)
from ..policy.repeat import AttemptOutcome, may_retry
from .admission import Admission
from .backend_table import N_URGENCIES, BackendRecord, BackendTable
from .callers import CallerConnection, CallerRequest
from .catalogue import Catalogue
from .clock import read_boottime
from .model import RequestHead, Route, RouteKind
from .quotas import Quotas
from .routing import Router
from .stream_relay import StreamRelay
from .upstream import AnswerHead, Connection, Exchange, Failure, UpstreamError
from .usage import Usage
from .work import (
    MIN_LEFT_S,
    AttemptFailed,
    RunMoved,
    Work,
    refuse,
)
from .work_meter import WorkMeter

LOGGER: Final = logging.getLogger(__name__)

MAX_STATUS_REPEAT: Final = 500  # own failures from here on are worth another server
SILENCE_SHARE: Final = 0.7  # of the objective, until a repeatable call goes elsewhere
STREAM_SILENCE_SHARE: Final = 1.5  # of the objective; a queue of prompts is no failure
EVENT_STREAM: Final = b"text/event-stream"
FULL_RETRY_S: Final = 0.3  # a full server has free places after about one request


class Forwarder:
    """Serves callers' requests.

    Args:
        catalogue: configuration in force.
        table: backend servers.
        quotas: of customers and repeats.
        usage: counts what began to run.
        work: meters what callers bring.
        observe: called with outcome, route and seconds for metrics.
    """

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        table: BackendTable,
        quotas: Quotas,
        usage: Usage,
        work: WorkMeter,
        observe: Callable[[str, Route, float, float], None],
    ) -> None:
        self.admission = Admission(catalogue=catalogue, quotas=quotas)
        self._router = Router(table=table, work=work)
        self._relay = StreamRelay(table=table)
        self._catalogue = catalogue
        self._table = table
        self._quotas = quotas
        self._usage = usage
        self._observe = observe

    async def serve(self, request: CallerRequest, caller: CallerConnection) -> None:
        """Serves one request; the answer is whole or the connection is broken."""
        head = decode_request(request.method, request.target, request.headers)
        work: Work | None = None
        outcome = "answered"
        detail = ""
        try:
            work = self.admission.admit(request, head)
            await self._run_attempts(work, caller)
        except BerylpostError as error:
            outcome = error.kind.value
            detail = error.detail
            if work is not None and not work.maybe_run and work.customer is not None:
                self._quotas.give_back(work.customer, work.units)
            if caller.answer_started:
                caller.abort()
            else:
                caller.answer_error(error)
        except asyncio.CancelledError:
            outcome = "caller_left"
            raise
        finally:
            self._log_request(head, work, outcome, detail, request.arrived_at)

    async def _run_attempts(self, work: Work, caller: CallerConnection) -> None:
        """Tries backend servers until the request is answered.

        Raises:
            BerylpostError: given up; the kind says whether it may have run.
        """
        while True:
            try:
                record, connection = await self._router.connect(work)
            except BerylpostError as error:
                if work.last_answer is None:
                    raise
                self._give_up(work, caller, error.detail)
                return
            if work.n_sent and not self._quotas.take_retry(work.service):
                record.pool.release(connection)
                self._give_up(work, caller, "repeat budget is spent")
                return
            try:
                await self._attempt(work, caller, record, connection)
                return
            except RunMoved:
                continue
            except AttemptFailed as failure:
                if failure.ran:
                    work.maybe_run = True
                    work.n_run += 1
                work.tried.append(record.backend.id)
                self._table.note_failure(record, gone=failure.gone)
                log_event(
                    LOGGER,
                    "attempt_failed",
                    id=work.head.id,
                    backend=record.backend.id,
                    cause=failure,
                    maybe_run=failure.ran,
                    n_sent=work.n_sent,
                    left_s=work.left_s,
                )
                if not self._may_repeat(work):
                    self._give_up(work, caller, str(failure))
                    return

    def _may_repeat(self, work: Work) -> bool:
        ending = AttemptOutcome.MAYBE_RUN if work.maybe_run else AttemptOutcome.NOT_RUN
        if work.kv_source:
            ending = AttemptOutcome.CACHE_MAYBE_TAKEN
            work.kv_source = work.moved_to = ""
        return work.left_s >= MIN_LEFT_S and may_retry(
            ending,
            repeatable=work.route.repeatable,
            n_sent=work.n_sent - work.n_moves,
            n_run=work.n_run,
            max_attempts=work.route.max_attempts,
        )

    def _give_up(self, work: Work, caller: CallerConnection, reason: str) -> None:
        """Answers with the last failure, or raises what describes it.

        Raises:
            BerylpostError: no backend server's own answer can be told.
        """
        if work.last_answer is not None and not work.started:
            self._answer_whole(work, caller, *work.last_answer)
            return
        expired = work.left_s < MIN_LEFT_S
        if not work.maybe_run:
            raise refuse(ErrorKind.OVERLOADED, reason, FULL_RETRY_S)
        kind = ErrorKind.OUTCOME_UNKNOWN if expired else ErrorKind.BACKEND_FAILED
        raise BerylpostError(kind, reason)

    async def _attempt(
        self,
        work: Work,
        caller: CallerConnection,
        record: BackendRecord,
        connection: Connection,
    ) -> None:
        """Sends the request to one server and passes its answer on.

        Raises:
            AttemptFailed: the caller got nothing of it that cannot be continued.
            BerylpostError: the caller's answer cannot be completed.
        """
        uncached = self._table.count_uncached(record, work.head.parts)
        exchange = Exchange(
            attempt_id=work.head.id.encode("latin-1"),
            has_body=work.head.method != b"HEAD",
        )
        data = render_request(
            work.head,
            host=work.request.find(b"host"),
            body=work.request.body,
            backend_id=record.backend.id,
            customer=work.customer.name if work.customer else "",
            deadline_s=work.left_s,
            last_event_id=work.splitter.last_id or work.head.last_event_id,
            urgency=work.urgency if work.head.parts else None,
            kv_source=work.kv_source,
        )
        record.n_outstanding += 1
        urgency = min(N_URGENCIES - 1, work.urgency)
        record.pending_tokens[urgency] += uncached
        pending = uncached
        self._table.note_prompt(record, work.head.parts)
        sent_at = read_boottime()
        work.n_sent += 1
        work.backend = record.backend.id
        connection.send(data, exchange)
        whole = False
        try:
            head = await self._await_head(work, exchange)
            answer_s = read_boottime() - sent_at
            if head.status == 421 or head.find(names.NOT_EXECUTED):
                await self._finish_body(work, exchange)
                whole = True
                detail = f"not executed, status {head.status}"
                raise AttemptFailed(detail, ran=False, gone=head.status == 421)
            self._count_run(work)
            if EVENT_STREAM in head.find(b"content-type") and head.status < 300:
                if not work.route.repeatable:
                    work.maybe_run = True
                first = await self._await_first_event(work, exchange)
                record.pending_tokens[urgency] -= pending
                pending = 0.0
                work.kv_source = work.moved_to = ""
                await self._relay.relay(
                    work, caller, record, connection, exchange, head, first
                )
                whole = True
                self._table.note_success(record, None)
                return
            await self._finish_body(work, exchange)
            whole = True
            self._take_whole(work, caller, record, head, bytes(exchange.body), answer_s)
        except UpstreamError as error:
            gone = error.kind is not Failure.BAD_ANSWER
            raise AttemptFailed(str(error), ran=True, gone=gone) from error
        except TimeoutError as error:
            raise AttemptFailed("no answer in time", ran=True, gone=True) from error
        finally:
            record.n_outstanding -= 1
            record.pending_tokens[urgency] -= pending
            if whole:
                record.pool.release(connection)
            else:
                connection.abort()

    async def _await_head(self, work: Work, exchange: Exchange) -> AnswerHead:
        """Waits for the answer's head, not as long where another may be asked.

        Raises:
            TimeoutError: it did not come in time.
            UpstreamError: the exchange failed.
        """
        limit_s = work.left_s
        may_retry = work.route.repeatable and work.n_run + 1 < work.route.max_attempts
        if may_retry:
            share = SILENCE_SHARE
            if work.route.kind is RouteKind.STREAM:
                share = STREAM_SILENCE_SHARE
            limit_s = min(limit_s, share * work.route.objective_s + work.wait_s)
        return await asyncio.wait_for(asyncio.shield(exchange.head), max(0, limit_s))

    async def _await_first_event(self, work: Work, exchange: Exchange) -> bytes:
        """Waits until the stream's first bytes, and returns nothing to re-read."""
        first: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def wake(data: bytes) -> None:
            exchange.body += data
            if not first.done():
                first.set_result(None)

        exchange.attach(wake)
        if not exchange.end.done() and not first.done():
            done, _ = await asyncio.wait(
                (first, exchange.end),
                timeout=max(0, work.left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                raise TimeoutError
        data, exchange.body = bytes(exchange.body), bytearray()
        exchange.sink = None
        return data

    async def _finish_body(self, work: Work, exchange: Exchange) -> None:
        await asyncio.wait_for(asyncio.shield(exchange.end), max(0, work.left_s))

    def _count_run(self, work: Work) -> None:
        """Counts the request once for the customer's usage."""
        if work.first_byte_s < 0:
            work.first_byte_s = read_boottime() - work.request.arrived_at
        if not work.counted and work.customer is not None:
            work.counted = True
            self._usage.count(work.customer.name)

    def _take_whole(
        self,
        work: Work,
        caller: CallerConnection,
        record: BackendRecord,
        head: AnswerHead,
        body: bytes,
        answer_s: float,
    ) -> None:
        """Passes a whole answer on, or keeps a failure while another server may do.

        Raises:
            AttemptFailed: another server may do better.
        """
        if work.started:
            detail = f"status {head.status} instead of the rest of a stream"
            raise AttemptFailed(detail, ran=True, gone=False)
        signed = bool(head.find(names.SIGNATURE))
        if head.status < 300 and not signed:
            raise AttemptFailed("unsigned answer", ran=True, gone=False)
        if head.status >= MAX_STATUS_REPEAT:
            work.last_answer = (head, body)
            raise AttemptFailed(f"status {head.status}", ran=True, gone=False)
        load = parse_load(head.find(names.LOAD))
        comparable = load is not None and load.waiting == 0
        self._table.note_success(record, answer_s if comparable else None)
        self._answer_whole(work, caller, head, body)

    def _answer_whole(
        self, work: Work, caller: CallerConnection, head: AnswerHead, body: bytes
    ) -> None:
        caller.answer(
            head.status, head.reason, filter_response_headers(head.headers), body
        )

    def _log_request(
        self,
        head: RequestHead,
        work: Work | None,
        outcome: str,
        detail: str,
        arrived_at: float,
    ) -> None:
        total_s = read_boottime() - arrived_at
        catalogue = self._catalogue
        held = catalogue.configuration
        first_s = work.first_byte_s if work is not None else -1.0
        if work is not None:
            self._observe(outcome, work.route, first_s, total_s)
        log_event(
            LOGGER,
            "request",
            id=head.id,
            outcome=outcome,
            detail=detail,
            route=work.route.name if work else "",
            customer=work.customer.name if work and work.customer else "",
            backend=work.backend if work else "",
            tried=",".join(work.tried) if work else "",
            n_sent=work.n_sent if work else 0,
            predicted_s=work.wait_s if work else 0.0,
            first_s=first_s,
            total_s=total_s,
            tokens=head.prompt_tokens,
            configuration=held.number if held else 0,
            confirmed_s=catalogue.read_confirmation_age(),
        )
