"""Watches the store for all daemons, or leaves that to others.

Only a few daemons watch; the others learn of changes by gossip, so that the number of
calls to the store does not grow with the number of daemons. Active daemons are ordered
by a hash of their names; standby daemons come after them. A daemon watches while fewer
than `N_WATCHERS` of the daemons before it in that order report that the store answers
their watches.
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
from ..platform.object_wire import (
    Changes,
    HistoryGoneError,
    Reduce,
    StoredObject,
)
from .catalogue import RETURN_GRACE_S, Catalogue
from .clock import read_boottime
from .members import Members
from .model import Endpoint
from .store_era import StoreEra

LOGGER: Final = logging.getLogger(__name__)

# Two watchers may disappear at once; the third still confirms configurations in time.
N_WATCHERS: Final = 3
CONFIGURATION_WAIT_S: Final = 1.5  # two waits stay well below the shortest revoke_s
# A watch that gets no answer any more ends well within a drain time of two seconds.
BACKENDS_WAIT_S: Final = 1.1
RETRY_PAUSE_S: Final = 0.1  # first pause after a failed call; doubles with each failure
# Short enough to find a restored store within its grace period of two seconds.
MAX_RETRY_PAUSE_S: Final = 1.0
MAX_PAUSE_S: Final = 8.0  # longest pause of daemons far back in the order
# Two gossip rounds, in which a new daemon learns which others watch.
STARTUP_DELAY_S: Final = 0.5
# Rounds without a datagram after which a daemon does not count as watching. Covers two
# lost datagrams; at 3% loss a daemon that lives seems silent 0.003 times a second.
SILENT_ROUNDS: Final = 3.5
# Each further group of daemons waits this much longer before it starts to watch.
STAGGER_S: Final = 0.5
# Pause after changes, so that the notices of a whole zone arrive in one answer.
BATCH_DELAY_S: Final = 0.08
# Enough other watches have to be served for this long before this daemon's watch ends.
HANDOVER_DELAY_S: Final = 2.0


class StoreWatch:
    """This daemon's watches of configuration and backend servers.

    Args:
        name: name of this daemon.
        address: address of the store.
        catalogue: gets the listed objects and the changes.
        members: the other daemons.
        era: era of the store.
    """

    def __init__(
        self,
        *,
        name: str,
        address: Endpoint,
        catalogue: Catalogue,
        members: Members,
        era: StoreEra,
    ) -> None:
        self._era = era
        self.n_calls = 0
        self.is_watching = False
        self._name = name
        self._address = address
        self._catalogue = catalogue
        self._members = members
        self._reduce: dict[str, Reduce] = {
            names.KIND_CONFIGURATION: _keep_configuration,
            names.KIND_BACKENDS: catalogue.reduce_entry,
        }
        self._reduce_listed: dict[str, Reduce] = {
            **self._reduce,
            names.KIND_BACKENDS: catalogue.reduce_listed_entry,
        }
        self._should_watch = asyncio.Event()
        self._restart = {kind: asyncio.Event() for kind in _WAITS}
        # Era to which each watch's revision belongs, and watches that must not wait.
        self._eras = dict.fromkeys(_WAITS, era.number)
        self._urgent: set[str] = set()
        self._failing = {kind: False for kind in _WAITS}
        self._served = {kind: False for kind in _WAITS}
        self._began_at = 0.0
        self._too_few_since: float | None = None
        self._enough_since: float | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_served(self) -> bool:
        """Whether this daemon watches and the store answers its watches."""
        return self.is_watching and all(self._served.values())

    def start(self) -> None:
        """Starts the tasks; called from the event loop."""
        self._era.add_listener(self._handle_era)
        self._began_at = read_boottime()
        self._tasks = [asyncio.create_task(self._run_watch(kind)) for kind in _WAITS]

    def stop(self) -> None:
        """Stops the watches."""
        for task in self._tasks:
            task.cancel()

    def update(self) -> None:
        """Decides whether this daemon watches; called periodically."""
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
        """Restarts the watches because a peer has seen changes that they missed."""
        for event in self._restart.values():
            event.set()

    def _handle_era(self, _era: int) -> None:
        """Lists anew, and asks again once answers confirm what they show."""
        self.restart()
        asyncio.get_running_loop().call_later(RETURN_GRACE_S, self._ask_at_once)

    def _ask_at_once(self) -> None:
        self._urgent.add(names.KIND_CONFIGURATION)
        self._restart[names.KIND_CONFIGURATION].set()

    def _count_preceding(self) -> tuple[int, int]:
        """Counts the daemons before this one, and those of them with a served watch.

        An active daemon leaves out those that it has not heard from for a few rounds,
        sooner than they are considered lost: all that watch may end at once, and until
        others do no daemon learns which servers leave.
        """
        own_hash = hash_text(self._name)
        stands_by = not self._members.active
        silence_s = SILENT_ROUNDS * self._members.round_duration_s()
        heard_since = float("-inf") if stands_by else read_boottime() - silence_s
        preceding = [
            member
            for member in self._members.list_alive()
            if not member.leaving
            and (
                stands_by
                or (
                    member.last_received_at >= heard_since
                    and hash_text(member.name) < own_hash
                )
            )
        ]
        return len(preceding), sum(1 for member in preceding if member.watch_served)

    def _set_watching(self, watching: bool) -> None:
        if watching is self.is_watching:
            return
        self.is_watching = watching
        log_event(LOGGER, "watching" if watching else "watching_ended")
        for kind in _WAITS:
            self._failing[kind] = self._served[kind] = False
        if watching:
            self._should_watch.set()
        else:
            self._should_watch.clear()

    async def _run_watch(self, kind: str) -> None:
        """Lists a kind once, then watches it while this daemon is to watch."""
        store = ObjectStore(address=self._address, note_era=self._era.note_answer)
        revision: int | None = None
        was_listed = False
        pause_s = RETRY_PAUSE_S
        while True:
            was_listed = was_listed or revision is not None
            if self._eras[kind] != self._era.number:
                revision = None  # it means something else now
            # After a restore the watching daemons list for all others.
            if was_listed and not self._should_watch.is_set():
                store.close()
                await self._should_watch.wait()
                # State received from peers meanwhile need not be listed again.
                revision = self._read_revision(kind)
            # Without a wait, the first answer shows at once that the store serves
            # this daemon.
            is_urgent = kind in self._urgent or not self._served[kind]
            wait_s = 0.0 if is_urgent else _WAITS[kind]
            self._urgent.discard(kind)
            try:
                revision = await self._list_or_watch(store, kind, revision, wait_s)
                pause_s = RETRY_PAUSE_S
            except HistoryGoneError:
                log_event(LOGGER, "history_gone", kind=kind, revision=revision)
                revision = None
            except PlatformError as error:
                self._record_failure(kind, error)
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                # Daemons further back in the order retry less often, since the first
                # ones that find the store restored tell the others.
                longest_s = MAX_RETRY_PAUSE_S * (
                    1 + self._count_preceding()[0] // N_WATCHERS
                )
                pause_s = min(longest_s, MAX_PAUSE_S, pause_s * 2)
                if not self._should_watch.is_set():
                    # A peer may have sent the state that was to be listed.
                    revision = self._read_revision(kind)
            except Exception:
                LOGGER.exception("event=watch_error kind=%s", kind)
                revision = None
                await asyncio.sleep(MAX_RETRY_PAUSE_S)

    async def _list_or_watch(
        self, store: ObjectStore, kind: str, revision: int | None, wait_s: float
    ) -> int | None:
        """Lists, or watches from a revision; returns the revision to continue from.

        Raises:
            HistoryGoneError: the store no longer keeps the changes since the revision.
            PlatformError: the store did not answer or refused.
        """
        asked_at = read_boottime()
        self.n_calls += 1
        if revision is None:
            listing = await store.list_objects(kind, self._reduce_listed[kind])
            self._eras[kind] = self._era.number
            self._record_answer(kind)
            if kind == names.KIND_CONFIGURATION:
                self._catalogue.apply_configuration_list(listing, asked_at)
            else:
                self._catalogue.apply_backend_list(listing)
            return listing.revision
        changes = await self._watch(store, kind, revision, wait_s)
        if changes is None or self._eras[kind] != self._era.number:
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
        """Waits for a watch's answer; returns None if `restart` ended the watch."""
        restart = self._restart[kind]
        restart.clear()
        watch = asyncio.ensure_future(
            store.watch(kind, revision, wait_s, self._reduce[kind])
        )
        restarted = asyncio.ensure_future(restart.wait())
        try:
            await asyncio.wait((watch, restarted), return_when=asyncio.FIRST_COMPLETED)
            if watch.done():
                return watch.result()
            log_event(LOGGER, "watch_silent", kind=kind, revision=revision)
            return None
        finally:
            restarted.cancel()
            if not watch.done():
                watch.cancel()
                store.close()

    def _read_revision(self, kind: str) -> int | None:
        """Returns the revision to watch from, or None if a list is needed."""
        configuration = self._catalogue.configuration
        if configuration is None or not configuration.revision:
            return None
        if not self._catalogue.backends_revision:
            return None
        self._eras[kind] = self._catalogue.era
        if kind == names.KIND_CONFIGURATION:
            return configuration.revision
        return self._catalogue.backends_revision

    def _record_answer(self, kind: str) -> None:
        self._served[kind] = True
        if self.is_served and not self._members.watch_served:
            # Daemons that would otherwise take over this watch need not start.
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


def _keep_configuration(item: StoredObject) -> StoredObject | None:
    """Keeps the configuration; leaves out what other writers store beside it."""
    return item if item.name == names.CONFIGURATION_NAME else None


_WAITS: Final = {
    names.KIND_CONFIGURATION: CONFIGURATION_WAIT_S,
    names.KIND_BACKENDS: BACKENDS_WAIT_S,
}
