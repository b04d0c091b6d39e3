"""The active configuration and the backend servers, as read from the store.

`store_watch` supplies lists and changes from the store; other daemons (peers) supply
their own state. A configuration is replaced only by one with a higher revision. Its
confirmation is the latest time at which the store, asked by this daemon or by a peer,
had no newer one.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any, Final

from ..hashing import hash_text
from ..logs import log_event
from ..platform import names
from ..platform.entries import InvalidEntryError, decode_backend, decode_configuration
from ..platform.object_wire import Changes, Listing
from .clock import read_boottime
from .model import Backend, ServingConfiguration

LOGGER: Final = logging.getLogger(__name__)

# Age of the last confirmation above which the store counts as unreachable. Entries
# expire after three missed heartbeats, 3.6 s. Without an outage, a confirmation may be
# 2.8 s old, if watches received nothing for a second and were then cut.
OUTAGE_S: Final = 3.4
# After an outage, backend servers write their expired entries again within this time.
RETURN_GRACE_S: Final = 2.0
OUTAGE_RECHECK_S: Final = 0.25  # between two checks of an outage that has not ended
# Share of revoke_s for which keys are trusted; the rest covers clock drift.
TRUST_SHARE: Final = 0.95
# Removed entries that are remembered: ten minutes of a large deployment's losses.
MAX_REMOVED: Final = 1_000

Listener = Callable[[], None]


class Catalogue:
    """The configuration and the backend servers known to this daemon.

    Args:
        revoke_s: age of the last confirmation at which keys must not be trusted.
    """

    def __init__(self, *, revoke_s: float) -> None:
        self.configuration: ServingConfiguration | None = None
        self.configuration_spec: Any = None
        self.backends: dict[str, Backend] = {}
        self.backends_revision = 0  # store revision of the last known change
        # Digest of the names and revisions of all entries.
        self.backends_digest = 0
        self.confirmed_at = -1e9
        self.outage_ended_at = -1e9
        self._trust_s = revoke_s * TRUST_SHARE
        self._entries: dict[str, tuple[int, Any]] = {}
        # Removed entries: their last revision and the revision of their removal.
        self._removed: dict[str, tuple[int, int]] = {}
        # Revision of the newest removal that is no longer remembered.
        self._forgotten_revision = 0
        self._missing: set[str] = set()
        self._listeners: list[Listener] = []
        self._bad_entries: set[str] = set()

    def add_listener(self, listener: Listener) -> None:
        """Registers a function to call after each change."""
        self._listeners.append(listener)

    def is_confirmed(self) -> bool:
        """Tells whether the configuration's keys may still be trusted."""
        return read_boottime() - self.confirmed_at < self._trust_s

    def read_confirmation_age(self) -> float:
        """Returns the age of the last confirmation, seconds."""
        return read_boottime() - self.confirmed_at

    def confirm(self, revision: int, confirmed_at: float) -> None:
        """Applies a peer's confirmation that `revision` was the newest.

        Args:
            revision: revision of the peer's configuration.
            confirmed_at: boot-time clock of this VM, not later than the confirmation.
        """
        own_revision = self.configuration.revision if self.configuration else 0
        if revision == own_revision:
            self._confirm(confirmed_at)

    def export_state(
        self, configuration_since: int = 0, backends_since: int = 0
    ) -> dict[str, Any]:
        """Returns the state that a peer with these revisions lacks."""
        configuration = self.configuration
        newer = (
            configuration is not None and configuration.revision > configuration_since
        )
        whole = backends_since < self._forgotten_revision or not backends_since
        since = 0 if whole else backends_since
        return {
            "configuration": [configuration.revision, self.configuration_spec]
            if configuration is not None and newer
            else None,
            "revision": self.backends_revision,
            "whole": whole,
            "entries": [
                [name, revision, spec]
                for name, (revision, spec) in self._entries.items()
                if revision > since
            ],
            "removed": [
                [name, last, end]
                for name, (last, end) in self._removed.items()
                if end > since
            ],
        }

    def import_state(self, state: Mapping[str, Any]) -> bool:
        """Merges a peer's state where it is newer; tells whether anything changed.

        A whole state of the same revision is merged too: the two daemons may have kept
        different servers whose entries disappeared during an outage of the store.
        """
        before = (self.configuration, self.backends_digest)
        configuration = state["configuration"]
        if configuration:
            self._set_configuration(configuration[0], configuration[1], "neighbour")
        ahead = state["revision"] - self.backends_revision
        if ahead > 0 or (ahead == 0 and state["whole"]):
            self._merge_backends(state)
        return before != (self.configuration, self.backends_digest)

    def apply_configuration_list(self, listing: Listing, asked_at: float) -> None:
        """Applies a list of configuration objects, requested at `asked_at`."""
        for item in listing.items:
            if item.name == names.CONFIGURATION_NAME:
                self._set_configuration(item.revision, item.spec, "list")
        self._confirm_own(asked_at)

    def apply_configuration_changes(
        self, changes: Changes, asked_at: float, wait_s: float
    ) -> None:
        """Applies the answer of a configuration watch with a wait of `wait_s`."""
        for change in changes.changes:
            item = change.item
            if item.name == names.CONFIGURATION_NAME and not change.removed:
                self._set_configuration(item.revision, item.spec, "watch")
        # The answer may have been delayed by a cut link. It proves that nothing newer
        # existed when it was requested or, if the wait ended without changes, `wait_s`
        # later.
        waited_s = read_boottime() - asked_at
        empty = not changes.changes and waited_s >= wait_s
        self._confirm_own(asked_at + (wait_s if empty else 0.0))

    def _confirm_own(self, proven_at: float) -> None:
        if self.configuration is not None:
            self._confirm(proven_at)

    def _confirm(self, proven_at: float) -> None:
        # A peer's value must not move the confirmation into the future.
        proven_at = min(proven_at, read_boottime())
        if proven_at - self.confirmed_at > OUTAGE_S:
            # No daemon has reached the store for so long that entries may have expired.
            self.outage_ended_at = read_boottime()
        self.confirmed_at = max(self.confirmed_at, proven_at)

    def _set_configuration(self, revision: int, spec: Any, source: str) -> None:
        known = self.configuration
        if known is not None and revision <= known.revision:
            if spec != self.configuration_spec:
                log_event(
                    LOGGER,
                    "configuration_ignored",
                    revision=revision,
                    known_number=known.number,
                    known_revision=known.revision,
                    source=source,
                )
            return
        try:
            configuration = decode_configuration(spec, revision)
        except InvalidEntryError as error:
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

    def apply_backend_list(self, listing: Listing) -> None:
        """Applies a list of all backend servers."""
        keep = self._is_outage_recent()
        present = {item.name for item in listing.items}
        for name in self._entries.keys() - present:
            self._remove_backend(name, listing.revision, keep=keep)
        for item in listing.items:
            self._set_backend(item.name, item.revision, item.spec)
            # The listing's own revision is not used, since changes to other kinds raise
            # it too.
            self.backends_revision = max(self.backends_revision, item.revision)
        self._notify()

    def apply_backend_changes(self, changes: Changes) -> None:
        """Applies the answer of a watch of the backend servers."""
        if not changes.changes:
            return
        for change in changes.changes:
            item = change.item
            if change.removed:
                keep = self._is_outage_recent()
                self._remove_backend(item.name, changes.revision, keep=keep)
            else:
                self._set_backend(item.name, item.revision, item.spec)
        self.backends_revision = max(self.backends_revision, changes.revision)
        self._notify()

    def _merge_backends(self, state: Mapping[str, Any]) -> None:
        """Merges a peer's entries and removals where they are newer."""
        revision = state["revision"]
        present = {name for name, _, _ in state["entries"]}
        if state["whole"]:
            for name in self._entries.keys() - present:
                if self._entries[name][0] <= revision:
                    self._remove_backend(name, revision, keep=False)
        for name, last, end in state["removed"]:
            known = self._entries.get(name)
            if known is not None and known[0] <= last:
                # The list excludes servers that the peer keeps because of an outage.
                self._remove_backend(name, end, keep=False)
        for name, entry_revision, spec in state["entries"]:
            if entry_revision > self._removed.get(name, (-1, 0))[0]:
                self._set_backend(name, entry_revision, spec)
        self.backends_revision = max(self.backends_revision, revision)
        self._notify()

    def _is_outage_recent(self) -> bool:
        recent = read_boottime() - self.outage_ended_at < RETURN_GRACE_S
        return recent or self.read_confirmation_age() > OUTAGE_S

    def _set_backend(self, name: str, revision: int, spec: Any) -> None:
        known = self._entries.get(name)
        if known is not None and known[0] > revision:
            return
        if known is not None:
            self.backends_digest ^= _digest_entry(name, known[0])
        self.backends_digest ^= _digest_entry(name, revision)
        self._entries[name] = (revision, spec)
        self._missing.discard(name)
        try:
            backend = decode_backend(name, spec)
        except InvalidEntryError as error:
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
                version=backend.software_version,
                spot=backend.spot,
                address=backend.address,
                revision=revision,
            )

    def _remove_backend(self, name: str, revision: int, *, keep: bool) -> None:
        """Removes an entry; with `keep`, only after the grace period of an outage."""
        if keep and name in self.backends:
            if name not in self._missing:
                self._missing.add(name)
                self._schedule_removal(name)
            return
        entry = self._entries.pop(name, None)
        if entry is not None:
            self.backends_digest ^= _digest_entry(name, entry[0])
            self._removed.pop(name, None)
            self._removed[name] = (entry[0], revision)
            while len(self._removed) > MAX_REMOVED:
                _, end = self._removed.pop(next(iter(self._removed)))
                self._forgotten_revision = max(self._forgotten_revision, end)
        self._missing.discard(name)
        if self.backends.pop(name, None) is not None:
            log_event(LOGGER, "backend_gone", backend=name)

    def _schedule_removal(self, name: str) -> None:
        """Schedules a check for when the grace period after the outage has ended."""
        passed_s = read_boottime() - self.outage_ended_at
        left_s = RETURN_GRACE_S - passed_s
        delay_s = left_s if left_s > 0 else OUTAGE_RECHECK_S
        asyncio.get_running_loop().call_later(delay_s, self._remove_missing, name)

    def _remove_missing(self, name: str) -> None:
        if name not in self._missing:
            return
        if self._is_outage_recent():
            self._schedule_removal(name)
            return
        self._remove_backend(name, self.backends_revision, keep=False)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _digest_entry(name: str, revision: int) -> int:
    return hash_text(f"{name}:{revision}") >> 1  # fits into a 64-bit integer of msgpack
