"""Polls model engines for reclaim notices while the store is unreachable.

During an outage of the store, a reclaim can be seen nowhere else. Only engines with
outstanding requests of this daemon are polled, and only while no daemon reaches the
store.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from ..errors import PlatformError
from ..logs import log_event
from ..platform.engine_calls import read_notice
from .backend_table import BackendRecord, BackendTable
from .http_channel import MAX_ENGINE_ANSWER_BYTES, HttpChannel

LOGGER: Final = logging.getLogger(__name__)

# A notice comes two seconds before the reclaim, and moving a run takes one second.
QUERY_INTERVAL_S: Final = 0.6
QUERY_TIMEOUT_S: Final = 0.4
STORE_SILENCE_S: Final = 2.2  # confirmations are younger while a watch works


class ReclaimNoticePoller:
    """Polls the engines that run requests of this daemon.

    Args:
        table: the backend servers.
        read_store_age: returns the seconds since the store last answered any daemon.
    """

    def __init__(
        self, *, table: BackendTable, read_store_age: Callable[[], float]
    ) -> None:
        self.n_queries = 0
        self._table = table
        self._read_store_age = read_store_age
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts polling; called from the event loop."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stops polling."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(QUERY_INTERVAL_S)
            if self._read_store_age() < STORE_SILENCE_S:
                continue
            serving = [
                record for record in self._table.list_engines() if record.n_outstanding
            ]
            await asyncio.gather(*(self._query(record) for record in serving))

    async def _query(self, record: BackendRecord) -> None:
        self.n_queries += 1
        channel = HttpChannel(
            address=record.backend.address,
            connect_timeout_s=QUERY_TIMEOUT_S,
            open_path=record.pool.open_path,
            max_bytes=MAX_ENGINE_ANSWER_BYTES,
        )
        try:
            notice = await read_notice(channel, timeout_s=QUERY_TIMEOUT_S)
        except PlatformError as error:
            log_event(
                LOGGER, "notice_query_failed", backend=record.backend.id, cause=error
            )
            return
        finally:
            channel.close()
        if notice.leaving:
            self._table.record_leaving_notice(record, notice.leaves_in_s)
