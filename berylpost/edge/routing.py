"""Selects the backend server for an attempt and connects to it.

`policy.placement` and `policy.prompt_admission` make the decisions; this module
prepares their inputs and carries out the results.
"""

import asyncio
import logging
import random
from typing import Final

from ..errors import BerylpostError, ErrorKind
from ..logs import log_event
from ..policy.placement import (
    Choice,
    choose_engine,
    choose_server,
    find_home_share,
    rank_homes,
)
from ..policy.prompt_admission import decide_prompt_admission
from .backend_table import N_URGENCIES, BackendRecord, BackendTable
from .clock import read_boottime
from .rollouts import Rollouts
from .server_limits import ServerLimits
from .server_speeds import DEFAULT_WORK_S, ServerSpeeds
from .upstream import Connection, Failure, UpstreamError
from .work import MIN_LEFT_S, RequestContext, make_refusal
from .work_meter import WorkMeter

LOGGER: Final = logging.getLogger(__name__)

# Connections that were idle for longer are not used for a request that must not run
# twice.
NON_RETRYABLE_IDLE_S: Final = 0.5
RETRYABLE_IDLE_S: Final = 3_600.0
# A repeat takes no kept connection, since servers drop those without notice.
REPEAT_IDLE_S: Final = 0.0
MAX_CONNECT_ATTEMPTS: Final = 4  # servers tried for a connection before giving up
NO_BACKEND_RETRY_S: Final = 0.5  # a suspect server is tried again after about this time
MAX_REPEAT_WAIT_S: Final = 0.5  # for a slot of a server that names a rate
FULL_RETRY_S: Final = 0.3  # a full server has room after about one request


class Router:
    """Selects backend servers for the requests of one daemon.

    Args:
        table: state of the backend servers.
        limits: request rates that servers name.
        brittle: rates of what brittle servers may turn away.
        rollouts: orders that move services to new versions.
        work_meter: measures the work that callers' requests cause.
        speeds: learned speeds of the servers.
    """

    def __init__(
        self,
        *,
        table: BackendTable,
        limits: ServerLimits,
        brittle: ServerLimits,
        rollouts: Rollouts,
        work_meter: WorkMeter,
        speeds: ServerSpeeds,
    ) -> None:
        self._rollouts = rollouts
        self._table = table
        self._limits = limits
        self._brittle = brittle
        self._work_meter = work_meter
        self._speeds = speeds
        self._random = random.Random()

    async def connect(
        self, context: RequestContext
    ) -> tuple[BackendRecord, Connection]:
        """Selects a backend server and acquires a connection to it.

        Raises:
            BerylpostError: no server could be reached in time.
        """
        repeatable = context.route.repeatable
        max_idle_s = RETRYABLE_IDLE_S if repeatable else NON_RETRYABLE_IDLE_S
        if context.may_have_run:
            max_idle_s = REPEAT_IDLE_S
        for _ in range(MAX_CONNECT_ATTEMPTS):
            if context.left_s < MIN_LEFT_S:
                break
            record, choice = self._choose_permitted(context)
            context.predicted_wait_s = choice.wait_s
            context.n_ahead = choice.n_ahead
            slot_s = self._limits.find_wait(record)
            self._limits.take(record)
            if not self._has_room(record):
                self._brittle.take(record)
            # The copied KV cache of a moved run does not wait.
            if slot_s and context.moved_to != record.backend.id:
                await asyncio.sleep(slot_s)
            # A new process does not know the KV cache of a moved run.
            is_moved = context.moved_to == record.backend.id
            version = None if is_moved else context.stream_version
            record.n_connecting += 1
            began_at = read_boottime()
            try:
                connection = await record.pool.acquire(
                    max_idle_s=max_idle_s,
                    only_known=self._table.needs_known(record, version),
                )
            except UpstreamError as error:
                context.tried.append(record.backend.id)
                if error.kind is Failure.NOT_CONNECTED:
                    self._table.note_failure(
                        record, unreachable=True, began_at=began_at
                    )
                log_event(
                    LOGGER,
                    "connect_failed",
                    id=context.head.id,
                    backend=record.backend.id,
                    cause=error,
                    n_suspect=self._table.count_suspect(),
                    n_servers=len(self._table.records),
                )
                continue
            finally:
                record.n_connecting -= 1
            if self._table.is_usable(record) or context.moved_to == record.backend.id:
                return record, connection
            record.pool.release(connection)
        if context.may_have_run:
            raise BerylpostError(ErrorKind.BACKEND_FAILED, "no other server answers")
        raise make_refusal(
            ErrorKind.NO_BACKEND, "no server answers", NO_BACKEND_RETRY_S
        )

    def _choose_permitted(
        self, context: RequestContext
    ) -> tuple[BackendRecord, Choice]:
        """Selects a server; one of the old version if those of a canary are full.

        Raises:
            BerylpostError: no backend server is available, or the prompt was refused.
        """
        try:
            return self._choose(context)
        except BerylpostError:
            if not context.takes_new:
                raise
            context.takes_new = False
            return self._choose(context)

    def _choose(self, context: RequestContext) -> tuple[BackendRecord, Choice]:
        """Selects the backend server for the next attempt.

        Raises:
            BerylpostError: no backend server is available, or the prompt was refused.
        """
        if context.moved_to:
            record = self._table.records.get(context.moved_to)
            if record is not None:
                return record, Choice(id=record.backend.id, queue_s=0.0, prefill_s=0.0)
        records = self._table.list_usable(
            context.service, context.tried, context.stream_version
        )
        records = self._rollouts.select(context, records)
        if not records:
            version = context.stream_version
            detail = "" if version is None else f" of version {version}"
            if context.may_have_run:
                kind = ErrorKind.BACKEND_FAILED
                raise BerylpostError(kind, f"no other backend server{detail}")
            raise make_refusal(
                ErrorKind.NO_BACKEND,
                f"no backend server{detail} is ready",
                NO_BACKEND_RETRY_S,
            )
        first = [
            record
            for record in records
            if record.backend.software_version == context.first_version
        ]
        records = self._leave_out_full(context, first or records)
        records = self._prefer_open(context, records)
        loads = self._table.view_loads(records, min(N_URGENCIES - 1, context.urgency))
        loads = self._speeds.add_speeds(context.service, loads)
        parts = context.head.parts
        if parts:
            uncached = [self._table.count_uncached(record, parts) for record in records]
            self._prefer_home(context, records, uncached)
            pick = self._speeds.find_engine_pick(context.service)
            choice = choose_engine(loads, uncached, pick=pick)
        else:
            choice = choose_server(
                loads,
                work_s=DEFAULT_WORK_S,
                tie_breaker=self._random.randrange(len(records)),
                pick=self._speeds.find_server_pick(context.service),
            )
        assert choice is not None
        if parts and not context.n_sent:
            self._check_queue(context, choice)
        chosen = next(record for record in records if record.backend.id == choice.id)
        return chosen, choice

    def _has_room(self, record: BackendRecord) -> bool:
        """Tells whether a server is not brittle, or probably takes a request."""
        if not self._brittle.has_rate(record):
            return True
        return self._table.has_room(record, self._brittle.count_share(record))

    def _leave_out_full(
        self, context: RequestContext, records: list[BackendRecord]
    ) -> list[BackendRecord]:
        """Leaves out brittle servers that might turn the request away.

        Raises:
            BerylpostError: all are left out, so the request is refused or fails.
        """
        left = [
            record
            for record in records
            if self._has_room(record) or self._brittle.has_slot(record)
        ]
        if left:
            return left
        detail = "every server is brittle and full"
        if context.may_have_run:
            raise BerylpostError(ErrorKind.BACKEND_FAILED, detail)
        raise make_refusal(ErrorKind.OVERLOADED, detail, FULL_RETRY_S)

    def _prefer_open(
        self, context: RequestContext, records: list[BackendRecord]
    ) -> list[BackendRecord]:
        """Leaves out servers that take no request now because of their named rate.

        Returns:
            The servers that take one at once; otherwise the one that does so first.

        Raises:
            BerylpostError: none does in time, so the request is refused or fails.
        """
        waits = [self._limits.find_wait(record) for record in records]
        if not any(waits):
            return records
        open_records = [r for r, wait in zip(records, waits, strict=True) if not wait]
        if open_records:
            return open_records
        wait_s = min(waits)
        waited_s = read_boottime() - context.request.arrived_at
        patience_s = min(context.left_s, context.route.objective_s - waited_s)
        if context.n_sent:
            patience_s = min(context.left_s, MAX_REPEAT_WAIT_S)
        if wait_s <= patience_s:
            return [records[waits.index(wait_s)]]
        detail = f"every server is at its named rate for {wait_s:.2f} s"
        if context.may_have_run:
            raise BerylpostError(ErrorKind.BACKEND_FAILED, detail)
        raise make_refusal(ErrorKind.OVERLOADED, detail, wait_s)

    def _check_queue(self, context: RequestContext, choice: Choice) -> None:
        """Refuses a prompt if the queue of its engine is too long.

        Raises:
            BerylpostError: the request is refused and has not run.
        """
        if not context.work_metered:
            context.work_metered = True
            self._work_meter.add(context.service, choice.prefill_s)
        retry_s = decide_prompt_admission(
            queue_s=choice.queue_s,
            prefill_s=choice.prefill_s,
            objective_s=context.route.objective_s,
            waited_s=read_boottime() - context.request.arrived_at,
        )
        if retry_s is not None:
            context.predicted_wait_s = choice.wait_s
            detail = f"the queue is {choice.queue_s:.2f} s long"
            raise make_refusal(ErrorKind.OVERLOADED, detail, retry_s)

    def _prefer_home(
        self,
        context: RequestContext,
        records: list[BackendRecord],
        uncached: list[float],
    ) -> None:
        """Makes all daemons send the same uncached shared parts to the same engine.

        Lowers the count of uncached tokens of the parts' home engine in `uncached`.
        """
        shared_parts = context.head.parts[:-1]
        own_tokens = context.head.parts[-1].n_tokens
        if not shared_parts or min(uncached) <= own_tokens:
            return
        share = find_home_share(self._table.count_daemons())
        home = rank_homes(
            shared_parts[-1].id, [record.backend.id for record in records]
        )[0]
        for index, record in enumerate(records):
            if record.backend.id == home:
                uncached[index] -= share * (uncached[index] - own_tokens)
