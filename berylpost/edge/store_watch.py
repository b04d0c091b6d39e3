"""Follows the store on behalf of all daemons, or leaves that to others.

A few daemons watch; the rest learn from them by gossip, so that calls to the store do
not grow with the daemons. Which ones follows from who says that its watch is served:
a daemon watches while fewer than `N_WATCHERS` before it in the order do.
"""

import asyncio
import logging
import random
from typing import Final

from ..errors import PlatformError
from ..hashing import hash_text
from ..logs import log_event
from ..platform import names
from ..platform.object_store import ObjectStore
from ..platform.object_wire import Changes, HistoryGoneError
from .catalogue import Catalogue
from .clock import read_boottime
from .members import Members
from .model import Endpoint

LOGGER: Final = logging.getLogger(__name__)

N_WATCHERS: Final = 3  # two may go at once and the third still confirms in time
CONFIGURATION_WAIT_S: Final = 1.5  # two waits stay well under the shortest revoke_s
BACKENDS_WAIT_S: Final = 1.1  # a deaf watch ends well within a drain of two seconds
RETRY_PAUSE_S: Final = 0.1  # first pause after a failed call; doubles
MAX_RETRY_PAUSE_S: Final = 1.0  # finds a returned store within its two seconds' grace
MAX_PAUSE_S: Final = 8.0  # for daemons far back in the order
STARTUP_DELAY_S: Final = (
    0.5  # two gossip rounds, in which a daemon hears of those that watch
)
STAGGER_S: Final = 0.5  # each further group of watchers waits longer before it begins
BATCH_DELAY_S: Final = (
    0.08  # after changes, so that a zone's notices come in one answer
)
HANDOVER_DELAY_S: Final = (
    2.0  # others' watches have to be served so long before this one ends
)


class StoreWatch:
    """This daemon's watches of configuration and backend servers.

    Args:
        name: of this daemon.
        address: of the store.
        catalogue: takes what the watches bring.
        members: the other daemons.
    """

    def __init__(
        self, *, name: str, address: Endpoint, catalogue: Catalogue, members: Members
    ) -> None:
        self.n_calls = 0
        self.is_watching = False
        self._name = name
        self._address = address
        self._catalogue = catalogue
        self._members = members
        self._should_watch = asyncio.Event()
        self._restart = {kind: asyncio.Event() for kind in _WAITS}
        self._failing = {kind: False for kind in _WAITS}
        self._served = {kind: False for kind in _WAITS}
        self._began_at = 0.0
        self._too_few_since: float | None = None
        self._enough_since: float | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_served(self) -> bool:
        """Whether this daemon watches and the store answers it."""
        return self.is_watching and all(self._served.values())

    def start(self) -> None:
        """Starts; from the event loop."""
        self._began_at = read_boottime()
        self._tasks = [asyncio.create_task(self._run_watch(kind)) for kind in _WAITS]

    def stop(self) -> None:
        """Ends the watches."""
        for task in self._tasks:
            task.cancel()

    def update(self) -> None:
        """Decides whether to watch; called now and then."""
        now = read_boottime()
        if now - self._began_at < STARTUP_DELAY_S:
            return
        rank, n_served_before = self._count_preceding()
        if n_served_before < N_WATCHERS:
            self._enough_since = None
            self._too_few_since = self._too_few_since or now
            stagger_s = STAGGER_S * (rank // N_WATCHERS)
            if now - self._too_few_since >= stagger_s:
                self._set_watching(True)
        else:
            self._too_few_since = None
            self._enough_since = self._enough_since or now
            if now - self._enough_since >= HANDOVER_DELAY_S:
                self._set_watching(False)

    def restart(self) -> None:
        """Drops watches that are silent while a neighbour has seen changes."""
        for event in self._restart.values():
            event.set()

    def _count_preceding(self) -> tuple[int, int]:
        """Counts the daemons before this one, and those whose watch is served."""
        place = hash_text(self._name)
        before = [
            member
            for member in self._members.list_alive()
            if not member.leaving and hash_text(member.name) < place
        ]
        return len(before), sum(1 for member in before if member.watch_served)

    def _set_watching(self, wanted: bool) -> None:
        if wanted is self.is_watching:
            return
        self.is_watching = wanted
        log_event(LOGGER, "watching" if wanted else "watching_ended")
        for kind in _WAITS:
            self._failing[kind] = self._served[kind] = False
        if wanted:
            self._should_watch.set()
        else:
            self._should_watch.clear()

    async def _run_watch(self, kind: str) -> None:
        """Lists a kind once, then watches it whenever this daemon is to."""
        store = ObjectStore(address=self._address)
        revision: int | None = None
        pause_s = RETRY_PAUSE_S
        while True:
            if revision is not None and not self._should_watch.is_set():
                store.close()
                await self._should_watch.wait()
                # What neighbours have brought meanwhile need not be listed again.
                revision = self._read_revision(kind)
            # The first answer comes at once and shows that the store serves this one.
            wait_s = _WAITS[kind] if self._served[kind] else 0.0
            try:
                revision = await self._list_or_watch(store, kind, revision, wait_s)
                pause_s = RETRY_PAUSE_S
            except HistoryGoneError:
                log_event(LOGGER, "history_gone", kind=kind, revision=revision)
                revision = None
            except PlatformError as error:
                self._record_failure(kind, error)
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                # The first to find the store back tell the rest of it.
                longest_s = MAX_RETRY_PAUSE_S * (
                    1 + self._count_preceding()[0] // N_WATCHERS
                )
                pause_s = min(longest_s, MAX_PAUSE_S, pause_s * 2)
                if not self._should_watch.is_set():
                    # A neighbour may have brought what the list would have.
                    revision = self._read_revision(kind)
            except Exception:
                LOGGER.exception("event=watch_error kind=%s", kind)
                revision = None
                await asyncio.sleep(MAX_RETRY_PAUSE_S)

    async def _list_or_watch(
        self, store: ObjectStore, kind: str, revision: int | None, wait_s: float
    ) -> int | None:
        """Lists, or watches from a revision; returns the revision to go on from.

        Raises:
            HistoryGoneError: the changes since the revision are no longer kept.
            PlatformError: the store did not answer or refused.
        """
        asked_at = read_boottime()
        self.n_calls += 1
        if revision is None:
            listing = await store.list_objects(kind)
            self._record_answer(kind)
            if kind == names.KIND_CONFIGURATION:
                self._catalogue.apply_configuration_list(listing, asked_at)
            else:
                self._catalogue.apply_backend_list(listing)
            return listing.revision
        changes = await self._watch(store, kind, revision, wait_s)
        if changes is None:
            return revision
        self._record_answer(kind)
        if kind == names.KIND_CONFIGURATION:
            self._catalogue.apply_configuration_changes(changes, asked_at, wait_s)
        else:
            self._catalogue.apply_backend_changes(changes)
        if changes.changes:
            await asyncio.sleep(BATCH_DELAY_S)
        return changes.revision

    async def _watch(
        self, store: ObjectStore, kind: str, revision: int, wait_s: float
    ) -> Changes | None:
        """Watches until an answer, or None when the watch is to be dropped."""
        restart = self._restart[kind]
        restart.clear()
        watch = asyncio.ensure_future(store.watch(kind, revision, wait_s))
        dropped = asyncio.ensure_future(restart.wait())
        try:
            await asyncio.wait((watch, dropped), return_when=asyncio.FIRST_COMPLETED)
            if watch.done():
                return watch.result()
            log_event(LOGGER, "watch_silent", kind=kind, revision=revision)
            return None
        finally:
            dropped.cancel()
            if not watch.done():
                watch.cancel()
                store.close()

    def _read_revision(self, kind: str) -> int | None:
        """Returns the revision from which a watch can go on, None to list."""
        held = self._catalogue.configuration
        if held is None or not self._catalogue.backends_revision:
            return None
        if kind == names.KIND_CONFIGURATION:
            return held.revision
        return self._catalogue.backends_revision

    def _record_answer(self, kind: str) -> None:
        self._served[kind] = True
        if self.is_served and not self._members.watch_served:
            # Those that would watch in this daemon's place need not begin.
            self._members.watch_served = True
            self._members.announce(everyone=True)
        if self._failing[kind]:
            self._failing[kind] = False
            log_event(LOGGER, "store_regained", kind=kind)

    def _record_failure(self, kind: str, error: PlatformError) -> None:
        self._served[kind] = False
        if not self._failing[kind]:
            self._failing[kind] = True
            log_event(LOGGER, "store_lost", logging.WARNING, kind=kind, error=error)


_WAITS: Final = {
    names.KIND_CONFIGURATION: CONFIGURATION_WAIT_S,
    names.KIND_BACKENDS: BACKENDS_WAIT_S,
}
