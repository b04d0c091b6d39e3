"""Registers this daemon in the store and finds the others there.

The list of daemons is read once at start, and again for as long as no gossip of another
daemon arrives. After that, daemons learn each other's addresses by gossip.
"""

import asyncio
import logging
import random
from typing import Any, Final

from ..errors import PlatformError
from ..logs import log_event
from ..platform import names
from ..platform.object_store import ObjectStore
from ..platform.object_wire import ConflictError, StoredObject
from .members import Members
from .model import EdgeSettings
from .store_era import StoreEra

LOGGER: Final = logging.getLogger(__name__)

# How often a daemon that receives no gossip reads the list again.
RELIST_INTERVAL_S: Final = 5.0
# Drawn at random, so that daemons that start together do not retry together.
RETRY_DELAY_RANGE_S: Final = (0.3, 0.8)


class Registration:
    """This daemon's entry in the store.

    Args:
        settings: settings of this daemon.
        members: gets the listed daemons.
        era: era of the store.
    """

    def __init__(
        self, *, settings: EdgeSettings, members: Members, era: StoreEra
    ) -> None:
        self._era = era
        self._settings = settings
        self._members = members
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the registration; called from the event loop."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stops without removing this daemon's entry from the store."""
        if self._task is not None:
            self._task.cancel()

    async def deregister(self) -> None:
        """Removes this daemon's entry; if that fails, another daemon will do it."""
        self.stop()
        store = ObjectStore(
            address=self._settings.store, note_era=self._era.note_answer
        )
        try:
            await store.delete(names.KIND_MEMBERS, self._settings.name)
        except PlatformError as error:
            log_event(LOGGER, "deregister_failed", logging.WARNING, error=error)
        finally:
            store.close()

    async def remove_lost(self) -> None:
        """Removes the entries of lost daemons; only the duty holder calls this."""
        lost = self._members.list_lost()
        if not lost:
            return
        store = ObjectStore(
            address=self._settings.store, note_era=self._era.note_answer
        )
        try:
            for name in lost:
                await store.delete(names.KIND_MEMBERS, name)
                self._members.forget(name)
                log_event(LOGGER, "member_removed", member=name)
        except PlatformError as error:
            log_event(LOGGER, "remove_member_failed", logging.WARNING, error=error)
        finally:
            store.close()

    async def _run(self) -> None:
        """Writes this daemon's entry, then lists the others until gossip arrives."""
        settings = self._settings
        store = ObjectStore(address=settings.store, note_era=self._era.note_answer)
        spec = {
            "ip": settings.ip,
            "port": settings.peer.port,
            "zone": settings.zone,
            "incarnation": self._members.incarnation,
        }
        entry_era: int | None = None
        while True:
            try:
                if entry_era != self._era.number:
                    await self._write_entry(store, spec)
                    entry_era = self._era.number
                await store.list_objects(names.KIND_MEMBERS, self._introduce)
            except PlatformError as error:
                log_event(LOGGER, "register_failed", logging.WARNING, error=error)
                await asyncio.sleep(random.uniform(*RETRY_DELAY_RANGE_S))
                continue
            await asyncio.sleep(RELIST_INTERVAL_S * random.uniform(0.8, 1.2))
            # The entry may be lost when the store comes back from an older copy.
            while self._members.list_alive() and entry_era == self._era.number:
                await asyncio.sleep(RELIST_INTERVAL_S)

    def _introduce(self, item: StoredObject) -> None:
        """Introduces a listed daemon; nothing of the list is kept."""
        self._members.introduce_entry(item.name, item.spec)

    async def _write_entry(self, store: ObjectStore, spec: Any) -> None:
        name = self._settings.name
        try:
            await store.create(names.KIND_MEMBERS, name, spec)
        except ConflictError as conflict:
            if conflict.current is not None and conflict.current.spec != spec:
                revision = conflict.current.revision
                await store.replace(names.KIND_MEMBERS, name, spec, revision=revision)
