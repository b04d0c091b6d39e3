"""The configuration in force and the backend servers, as the store says.

Two watches bring changes; a full list is read at the start and when history is gone.
What neighbours hold bridges a store that does not answer this VM. A configuration
never goes back: only a higher revision replaces it. Its confirmation is the latest
time at which the store, asked by this daemon or by a neighbour, showed no newer one.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, Final

from ..errors import PlatformError
from ..logs import log_event
from ..platform import names
from ..platform.entries import EntryError, decode_backend, decode_configuration
from ..platform.object_store import ObjectStore
from ..platform.object_wire import Changes, HistoryGoneError, Listing
from .clock import read_age_clock
from .model import Backend, Endpoint, ServingConfiguration

LOGGER: Final = logging.getLogger(__name__)

CONFIGURATION_WAIT_S: Final = 1.5  # two waits stay well under the shortest revoke_s
BACKENDS_WAIT_S: Final = 4.0  # gossip tells of missed changes sooner
RETRY_PAUSE_S: Final = 0.25  # first pause after a failed call; doubles
MAX_RETRY_PAUSE_S: Final = 1.0  # finds a returned store within its two seconds' grace
MAX_REMOVED: Final = 1_000  # ten minutes of a deployment's losses at the large size
RETURN_GRACE_S: Final = 2.0  # entries lapsed in an outage are written again by then
TRUST_SHARE: Final = 0.95  # of revoke_s; the rest is for clocks that run apart

Listener = Callable[[], None]


class Catalogue:
    """State of configuration and backend servers.

    Args:
        store_address: of the platform's store.
        revoke_s: age at which an unconfirmed configuration's keys are refused.
    """

    def __init__(self, *, store_address: Endpoint, revoke_s: float) -> None:
        self.configuration: ServingConfiguration | None = None
        self.configuration_spec: Any = None
        self.backends: dict[str, Backend] = {}
        self.backends_revision = 0  # of the newest entry seen
        self.confirmed_at = -1e9
        self.store_ok_at = -1e9
        self.store_back_at = -1e9
        self.n_calls = 0
        self._address = store_address
        self._trust_s = revoke_s * TRUST_SHARE
        self._entries: dict[str, tuple[int, Any]] = {}
        self._removed: dict[str, int] = {}  # last revision of an entry that is gone
        self._vanished: set[str] = set()
        self._listeners: list[Listener] = []
        self._watches: dict[str, asyncio.Task[None]] = {}
        self._kicked: dict[str, asyncio.Event] = {}
        self._bad_entries: set[str] = set()
        self._failing = {names.KIND_CONFIGURATION: False, names.KIND_BACKENDS: False}

    def add_listener(self, listener: Listener) -> None:
        """Has a function called after each change."""
        self._listeners.append(listener)

    def is_confirmed(self) -> bool:
        """Tells whether keys of the configuration may still be trusted."""
        return read_age_clock() - self.confirmed_at < self._trust_s

    def read_confirmation_age(self) -> float:
        """Returns the age of the last confirmation, seconds."""
        return read_age_clock() - self.confirmed_at

    def start(self) -> None:
        """Starts the watches; from the event loop."""
        for kind, follow in (
            (names.KIND_CONFIGURATION, self._follow_configuration),
            (names.KIND_BACKENDS, self._follow_backends),
        ):
            self._kicked[kind] = asyncio.Event()
            self._watches[kind] = asyncio.create_task(follow())

    def stop(self) -> None:
        """Ends the watches."""
        for task in self._watches.values():
            task.cancel()

    def confirm(self, revision: int, confirmed_at: float) -> None:
        """Takes a neighbour's confirmation that `revision` was the newest.

        Args:
            revision: of the configuration that the neighbour holds.
            confirmed_at: of this VM's age clock, not later than the confirmation.
        """
        held = self.configuration.revision if self.configuration else 0
        if revision == held and confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def note_neighbour(
        self, configuration_revision: int, backends_revision: int
    ) -> None:
        """Starts a silent watch anew when a neighbour is ahead of it."""
        held = self.configuration.revision if self.configuration else 0
        if configuration_revision > held:
            self._kick(names.KIND_CONFIGURATION)
        if backends_revision > self.backends_revision:
            self._kick(names.KIND_BACKENDS)

    def export_state(self) -> dict[str, Any]:
        """Returns what a neighbour needs to bridge an unreachable store."""
        held = self.configuration
        return {
            "configuration": [held.revision, self.configuration_spec] if held else None,
            "backends_revision": self.backends_revision,
            "backends": [[n, r, spec] for n, (r, spec) in self._entries.items()],
        }

    def import_state(self, state: dict[str, Any]) -> None:
        """Takes a neighbour's state where it is ahead."""
        configuration = state.get("configuration")
        if configuration:
            self._set_configuration(configuration[0], configuration[1], "neighbour")
        if state.get("backends_revision", 0) > self.backends_revision:
            present = {n: (r, spec) for n, r, spec in state["backends"]}
            self._merge_backends(present, state["backends_revision"])

    def _kick(self, kind: str) -> None:
        event = self._kicked.get(kind)
        if event is not None:
            event.set()

    async def _follow_configuration(self) -> None:
        await self._follow(
            names.KIND_CONFIGURATION,
            CONFIGURATION_WAIT_S,
            self._take_configuration_list,
            self._take_configuration_changes,
        )

    async def _follow_backends(self) -> None:
        await self._follow(
            names.KIND_BACKENDS,
            BACKENDS_WAIT_S,
            self._take_backend_list,
            self._take_backend_changes,
        )

    async def _follow(
        self,
        kind: str,
        wait_s: float,
        take_list: Callable[[Listing, float], None],
        take_changes: Callable[[Changes, float], None],
    ) -> None:
        store = ObjectStore(address=self._address)
        revision: int | None = None
        pause_s = RETRY_PAUSE_S
        while True:
            asked_at = read_age_clock()
            self.n_calls += 1
            try:
                if revision is None:
                    listing = await store.list_objects(kind)
                    self._note_answer(kind)
                    take_list(listing, asked_at)
                    revision = listing.revision
                else:
                    changes = await self._watch(store, kind, revision, wait_s)
                    if changes is None:
                        continue
                    self._note_answer(kind)
                    take_changes(changes, asked_at)
                    revision = changes.revision
                pause_s = RETRY_PAUSE_S
            except HistoryGoneError:
                log_event(LOGGER, "history_gone", kind=kind, revision=revision)
                revision = None
            except PlatformError as error:
                self._note_failure(kind, error)
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
            except Exception:
                LOGGER.exception("event=watch_error kind=%s", kind)
                revision = None
                await asyncio.sleep(MAX_RETRY_PAUSE_S)

    async def _watch(
        self, store: ObjectStore, kind: str, revision: int, wait_s: float
    ) -> Changes | None:
        """Watches until an answer, or None when a neighbour was seen ahead."""
        kicked = self._kicked[kind]
        kicked.clear()
        watch = asyncio.ensure_future(store.watch(kind, revision, wait_s))
        kick = asyncio.ensure_future(kicked.wait())
        done, _ = await asyncio.wait((watch, kick), return_when=asyncio.FIRST_COMPLETED)
        kick.cancel()
        if watch in done:
            return watch.result()
        # The change is likely on its way; a watch that is silent is dropped.
        try:
            return await asyncio.wait_for(watch, RETRY_PAUSE_S)
        except TimeoutError:
            log_event(LOGGER, "watch_behind_neighbour", kind=kind, revision=revision)
            store.close()
            return None

    def _note_answer(self, kind: str) -> None:
        now = read_age_clock()
        if self._failing[kind]:
            self._failing[kind] = False
            self.store_back_at = now
            log_event(LOGGER, "store_regained", kind=kind)
        self.store_ok_at = now

    def _note_failure(self, kind: str, error: PlatformError) -> None:
        if not self._failing[kind]:
            self._failing[kind] = True
            log_event(LOGGER, "store_lost", logging.WARNING, kind=kind, error=error)

    def _take_configuration_list(self, listing: Listing, asked_at: float) -> None:
        for item in listing.items:
            if item.name == names.CONFIGURATION_NAME:
                self._set_configuration(item.revision, item.spec, "list")
        self._confirm_own(asked_at)

    def _take_configuration_changes(self, changes: Changes, asked_at: float) -> None:
        for change in changes.changes:
            item = change.item
            if item.name == names.CONFIGURATION_NAME and not change.removed:
                self._set_configuration(item.revision, item.spec, "watch")
        # The answer may have waited in a cut link. It proves that nothing newer was
        # there when it was asked for, and a wait that ended empty so long after that.
        waited_s = read_age_clock() - asked_at
        empty = not changes.changes and waited_s >= CONFIGURATION_WAIT_S
        self._confirm_own(asked_at + (CONFIGURATION_WAIT_S if empty else 0.0))

    def _confirm_own(self, proven_at: float) -> None:
        if self.configuration is not None:
            self.confirmed_at = max(self.confirmed_at, proven_at)

    def _set_configuration(self, revision: int, spec: Any, source: str) -> None:
        if self.configuration is not None and revision <= self.configuration.revision:
            return
        try:
            configuration = decode_configuration(spec, revision)
        except EntryError as error:
            log_event(LOGGER, "bad_configuration", logging.ERROR, error=error)
            return
        self.configuration = configuration
        self.configuration_spec = spec
        log_event(
            LOGGER,
            "configuration_in_force",
            number=configuration.number,
            revision=revision,
            source=source,
        )
        self._notify()

    def _take_backend_list(self, listing: Listing, asked_at: float) -> None:
        for item in listing.items:
            self.backends_revision = max(self.backends_revision, item.revision)
        present = {item.name: (item.revision, item.spec) for item in listing.items}
        self._replace_backends(present, keep_vanished=self._is_store_unsteady())

    def _replace_backends(
        self, present: dict[str, tuple[int, Any]], *, keep_vanished: bool
    ) -> None:
        for name in self._entries.keys() - present.keys():
            self._vanish(name, keep=keep_vanished)
        for name, (revision, spec) in present.items():
            self._set_backend(name, revision, spec)
        self._notify()

    def _merge_backends(
        self, present: dict[str, tuple[int, Any]], revision: int
    ) -> None:
        """Takes a neighbour's entries as of a revision where they are newer."""
        for name in self._entries.keys() - present.keys():
            if self._entries[name][0] <= revision:
                # What the neighbour keeps over an outage would be in its state.
                self._vanish(name, keep=False)
        for name, (entry_revision, spec) in present.items():
            if entry_revision > self._removed.get(name, -1):
                self._set_backend(name, entry_revision, spec)
        self.backends_revision = max(self.backends_revision, revision)
        self._notify()

    def _take_backend_changes(self, changes: Changes, asked_at: float) -> None:
        for change in changes.changes:
            item = change.item
            self.backends_revision = max(self.backends_revision, item.revision)
            if change.removed:
                self._vanish(item.name, keep=self._is_store_unsteady())
            else:
                self._set_backend(item.name, item.revision, item.spec)
        if changes.changes:
            self._notify()

    def _is_store_unsteady(self) -> bool:
        recent = read_age_clock() - self.store_back_at < RETURN_GRACE_S
        return recent or self._failing[names.KIND_BACKENDS]

    def _set_backend(self, name: str, revision: int, spec: Any) -> None:
        known = self._entries.get(name)
        if known is not None and known[0] > revision:
            return
        self._entries[name] = (revision, spec)
        self._vanished.discard(name)
        try:
            backend = decode_backend(name, spec)
        except EntryError as error:
            if name not in self._bad_entries:
                self._bad_entries.add(name)
                log_event(LOGGER, "bad_entry", logging.WARNING, error=error)
            self.backends.pop(name, None)
            return
        known_backend = self.backends.get(name)
        self.backends[name] = backend
        if known_backend is None or known_backend.state is not backend.state:
            log_event(
                LOGGER,
                "backend_state",
                backend=name,
                state=backend.state,
                zone=backend.zone,
                spot=backend.spot,
                address=backend.address,
                revision=revision,
            )

    def _vanish(self, name: str, *, keep: bool) -> None:
        """Drops an entry, or does so once an unsteady store has had its time."""
        if keep and name in self.backends:
            if name not in self._vanished:
                self._vanished.add(name)
                self._schedule_end(name)
            return
        entry = self._entries.pop(name, None)
        if entry is not None:
            self._removed[name] = entry[0]
            while len(self._removed) > MAX_REMOVED:
                del self._removed[next(iter(self._removed))]
        self._vanished.discard(name)
        if self.backends.pop(name, None) is not None:
            log_event(LOGGER, "backend_gone", backend=name)

    def _schedule_end(self, name: str) -> None:
        """Looks again once the store has been back for its grace."""
        passed_s = read_age_clock() - self.store_back_at
        left_s = RETURN_GRACE_S - passed_s
        delay_s = left_s if left_s > 0 else RETRY_PAUSE_S
        asyncio.get_running_loop().call_later(delay_s, self._end_vanished, name)

    def _end_vanished(self, name: str) -> None:
        if name not in self._vanished:
            return
        if self._is_store_unsteady():
            self._schedule_end(name)
            return
        self._vanish(name, keep=False)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
