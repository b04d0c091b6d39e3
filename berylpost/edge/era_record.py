"""Keeps in the store when its present era began, for daemons that start later.

A daemon that starts cannot see whether the store came back from an older copy just
before. It reads this record: a record of an earlier era, or none although the era is
not the first, shows a restore that no daemon has noticed. The era then counts as
beginning now.
"""

import asyncio
import logging
import random
from typing import Any, Final

import msgspec

from ..errors import PlatformError
from ..logs import log_event
from ..platform import names
from ..platform.object_store import ObjectStore
from ..platform.object_wire import ConflictError, StoredObject
from .clock import read_boottime
from .members import Members
from .model import Endpoint
from .store_era import LONG_AGO, UNKNOWN_ERA, StoreEra

LOGGER: Final = logging.getLogger(__name__)

RECORD_NAME: Final = "store"
FIRST_ERA: Final = 1
RETRY_DELAY_RANGE_S: Final = (0.3, 0.8)
# Time between the first writes of two daemons, so that one writes in general.
RANK_DELAY_S: Final = 0.5
MAX_RANK: Final = 8
# Daemons that have just started do not know one another, nor their ranks.
FIRST_WRITE_DELAY_S: Final = 0.8
# A clock that jumps is off by seconds.
CLOCK_ERROR_S: Final = 5.0


class _StoredEra(msgspec.Struct, frozen=True):
    """An era and when it began, Unix seconds; 0 for the first one."""

    era: int
    began_at: float


class EraRecord:
    """The record of the present era.

    Args:
        name: name of this daemon.
        address: address of the store.
        era: era of the store, which gets its begin from the record.
        members: the other daemons, and the time of day that they agree on.
    """

    def __init__(
        self, *, name: str, address: Endpoint, era: StoreEra, members: Members
    ) -> None:
        self._name = name
        self._era = era
        self._members = members
        self._store = ObjectStore(address=address, note_era=era.note_answer)
        self._changed = asyncio.Event()
        self._recorded = UNKNOWN_ERA
        era.add_listener(lambda _era: self._changed.set())
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to read and write; called from the event loop."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stops; the record stays."""
        if self._task is not None:
            self._task.cancel()
        self._store.close()

    async def _run(self) -> None:
        delay_s = 0.0
        while True:
            await asyncio.sleep(delay_s)
            try:
                delay_s = await self._update()
            except ConflictError:
                delay_s = 0.0  # another daemon has written it
            except PlatformError as error:
                log_event(LOGGER, "era_record_failed", logging.WARNING, error=error)
                delay_s = random.uniform(*RETRY_DELAY_RANGE_S)
            except Exception:
                LOGGER.exception("event=era_record_error")
                delay_s = max(RETRY_DELAY_RANGE_S)

    async def _update(self) -> float:
        """Reads the record, dates the era by it, and writes it if it is outdated.

        Returns:
            Seconds until the next update.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        if self._era.is_dated and self._recorded == self._era.number:
            self._changed.clear()
            await self._changed.wait()
            rank = sum(m.name < self._name for m in self._members.list_alive())
            return RANK_DELAY_S * min(rank, MAX_RANK)
        stored = await self._store.read(names.KIND_ERAS, RECORD_NAME)
        record = _decode(stored)
        if record is not None and record.era == self._era.number:
            self._recorded = record.era
            self._era.date(self._find_begin(record))
            return 0.0
        if not self._era.is_dated:
            # Daemons of earlier builds have written no record.
            was_restored = stored is not None or self._era.number > FIRST_ERA
            self._era.date(read_boottime() if was_restored else LONG_AGO)
            return FIRST_WRITE_DELAY_S if stored is None else 0.0
        if self._era.number != UNKNOWN_ERA:
            await self._write(stored)
        self._recorded = self._era.number
        return 0.0

    def _find_begin(self, record: _StoredEra) -> float:
        """Returns the latest time at which a recorded era began, boot-time clock."""
        if not record.began_at:
            return LONG_AGO
        age_s = self._members.estimate_wall_clock() - record.began_at - CLOCK_ERROR_S
        return read_boottime() - max(0.0, age_s)

    async def _write(self, known: StoredObject | None) -> None:
        """Writes the present era.

        Raises:
            ConflictError: another daemon has written it.
            PlatformError: the store did not answer or refused.
        """
        age_s = read_boottime() - self._era.began_at
        is_first = self._era.began_at == LONG_AGO
        began_at = 0.0 if is_first else self._members.estimate_wall_clock() - age_s
        spec: Any = msgspec.to_builtins(
            _StoredEra(era=self._era.number, began_at=began_at)
        )
        if known is None:
            await self._store.create(names.KIND_ERAS, RECORD_NAME, spec)
        else:
            await self._store.replace(
                names.KIND_ERAS, RECORD_NAME, spec, revision=known.revision
            )
        log_event(LOGGER, "era_recorded", era=self._era.number, began_at=int(began_at))


def _decode(stored: StoredObject | None) -> _StoredEra | None:
    """Decodes the record; None if it is missing or of another writer."""
    if stored is None:
        return None
    try:
        return msgspec.convert(stored.spec, _StoredEra)
    except msgspec.ValidationError as error:
        log_event(LOGGER, "bad_era_record", logging.WARNING, error=error)
        return None
