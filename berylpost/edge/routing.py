"""Which backend server an attempt goes to, and the connection to it.

The decisions are `policy.placement` and `policy.prompt_admission`; this makes their
views and carries out what they say.
"""

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
from .upstream import Connection, UpstreamError
from .work import MIN_LEFT_S, Work, refuse
from .work_meter import WorkMeter

LOGGER: Final = logging.getLogger(__name__)

FRESH_IDLE_S: Final = 0.5  # a call that may not repeat takes no longer idle connection
ANY_IDLE_S: Final = 3_600.0
CONNECT_TRIES: Final = 4  # servers tried for a connection before giving up
NO_BACKEND_RETRY_S: Final = 0.5  # a suspect server is tried again in about that
DEFAULT_WORK_S: Final = 0.06  # of a plain call until answers have shown it


class Router:
    """Chooses servers for one daemon.

    Args:
        table: backend servers.
        work: meters what callers bring.
    """

    def __init__(self, *, table: BackendTable, work: WorkMeter) -> None:
        self._table = table
        self._work = work
        self._random = random.Random()

    async def connect(self, work: Work) -> tuple[BackendRecord, Connection]:
        """Chooses a server and gets a connection to it.

        Raises:
            BerylpostError: no server could be reached in time.
        """
        repeatable = work.route.repeatable
        max_idle_s = ANY_IDLE_S if repeatable else FRESH_IDLE_S
        for _ in range(CONNECT_TRIES):
            if work.left_s < MIN_LEFT_S:
                break
            record, choice = self._choose(work)
            work.wait_s = choice.wait_s
            try:
                connection = await record.pool.acquire(max_idle_s=max_idle_s)
            except UpstreamError as error:
                work.tried.append(record.backend.id)
                self._table.note_failure(record, gone=True)
                log_event(
                    LOGGER,
                    "connect_failed",
                    id=work.head.id,
                    backend=record.backend.id,
                    cause=error,
                )
                continue
            if self._table.is_usable(record) or work.moved_to == record.backend.id:
                return record, connection
            record.pool.release(connection)
        if work.maybe_run:
            raise BerylpostError(ErrorKind.BACKEND_FAILED, "no other server answers")
        raise refuse(ErrorKind.NO_BACKEND, "no server answers", NO_BACKEND_RETRY_S)

    def _choose(self, work: Work) -> tuple[BackendRecord, Choice]:
        """Chooses the backend server for the next attempt.

        Raises:
            BerylpostError: there is none.
        """
        if work.moved_to:
            record = self._table.records.get(work.moved_to)
            if record is not None:
                return record, Choice(id=record.backend.id, queue_s=0.0, prefill_s=0.0)
        records = self._table.list_usable(work.service, work.tried)
        if not records:
            if work.maybe_run:
                kind = ErrorKind.BACKEND_FAILED
                raise BerylpostError(kind, "no other backend server")
            raise refuse(
                ErrorKind.NO_BACKEND, "no backend server is ready", NO_BACKEND_RETRY_S
            )
        loads = self._table.view_loads(records, min(N_URGENCIES - 1, work.urgency))
        parts = work.head.parts
        if parts:
            uncached = [self._table.count_uncached(record, parts) for record in records]
            self._prefer_home(work, records, uncached)
            choice = choose_engine(loads, uncached)
        else:
            tie_breaker = self._random.randrange(len(records))
            choice = choose_server(
                loads, work_s=DEFAULT_WORK_S, tie_breaker=tie_breaker
            )
        assert choice is not None
        if parts and not work.n_sent:
            self._judge_queue(work, choice)
        chosen = next(record for record in records if record.backend.id == choice.id)
        return chosen, choice

    def _judge_queue(self, work: Work, choice: Choice) -> None:
        """Refuses a prompt whose engine's queue is too long.

        Raises:
            BerylpostError: refused; it has not run.
        """
        if not work.metered:
            work.metered = True
            self._work.add(work.service, choice.prefill_s)
        retry_s = decide_prompt_admission(
            queue_s=choice.queue_s,
            prefill_s=choice.prefill_s,
            objective_s=work.route.objective_s,
            waited_s=read_boottime() - work.request.arrived_at,
        )
        if retry_s is not None:
            work.wait_s = choice.wait_s
            detail = f"the queue is {choice.queue_s:.2f} s long"
            raise refuse(ErrorKind.OVERLOADED, detail, retry_s)

    def _prefer_home(
        self, work: Work, records: list[BackendRecord], uncached: list[float]
    ) -> None:
        """Makes unknown shared parts go to one engine from all daemons."""
        shared = work.head.parts[:-1]
        own = work.head.parts[-1].n_tokens
        if not shared or min(uncached) <= own:
            return
        share = find_home_share(self._table.count_daemons())
        home = rank_homes(shared[-1].id, [record.backend.id for record in records])[0]
        for index, record in enumerate(records):
            if record.backend.id == home:
                uncached[index] -= share * (uncached[index] - own)
