"""The configuration in force and the backend servers, as the store says.

`store_watch` brings lists and changes from the store, and neighbours what they hold. A
configuration never goes back: only a higher revision replaces it. Its confirmation is
the latest time at which the store, asked by this daemon or by a neighbour, showed no
newer one.
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

# Entries lapse after three heartbeats, 3.6 s, and a confirmation may be 2.8 s old where
# watches were deaf for a second and then cut, which is no outage.
OUTAGE_S: Final = 3.4
RETURN_GRACE_S: Final = 2.0  # entries lapsed in an outage are written again by then
OUTAGE_RECHECK_S: Final = 0.25  # between two looks at an outage that has not ended
TRUST_SHARE: Final = 0.95  # of revoke_s; the rest is for clocks that run apart
MAX_REMOVED: Final = 1_000  # ten minutes of a deployment's losses at the large size

Listener = Callable[[], None]


class Catalogue:
    """State of configuration and backend servers.

    Args:
        revoke_s: age at which an unconfirmed configuration's keys are refused.
    """

    def __init__(self, *, revoke_s: float) -> None:
        self.configuration: ServingConfiguration | None = None
        self.configuration_spec: Any = None
        self.backends: dict[str, Backend] = {}
        self.backends_revision = 0  # of the store, as of the last change seen
        self.backends_digest = 0  # of names and revisions of all entries
        self.confirmed_at = -1e9
        self.outage_ended_at = -1e9
        self._trust_s = revoke_s * TRUST_SHARE
        self._entries: dict[str, tuple[int, Any]] = {}
        # Of entries that are gone: their last revision, and that of their end.
        self._removed: dict[str, tuple[int, int]] = {}
        self._forgotten_revision = (
            0  # the end of the newest one that is not kept any more
        )
        self._missing: set[str] = set()
        self._listeners: list[Listener] = []
        self._bad_entries: set[str] = set()

    def add_listener(self, listener: Listener) -> None:
        """Has a function called after each change."""
        self._listeners.append(listener)

    def is_confirmed(self) -> bool:
        """Tells whether keys of the configuration may still be trusted."""
        return read_boottime() - self.confirmed_at < self._trust_s

    def read_confirmation_age(self) -> float:
        """Returns the age of the last confirmation, seconds."""
        return read_boottime() - self.confirmed_at

    def confirm(self, revision: int, confirmed_at: float) -> None:
        """Takes a neighbour's confirmation that `revision` was the newest.

        Args:
            revision: of the configuration that the neighbour holds.
            confirmed_at: of this VM's age clock, not later than the confirmation.
        """
        held = self.configuration.revision if self.configuration else 0
        if revision == held:
            self._confirm(confirmed_at)

    def export_state(
        self, configuration_since: int = 0, backends_since: int = 0
    ) -> dict[str, Any]:
        """Returns what a neighbour lacks that has seen up to these revisions."""
        held = self.configuration
        newer = held is not None and held.revision > configuration_since
        whole = backends_since < self._forgotten_revision or not backends_since
        since = 0 if whole else backends_since
        return {
            "configuration": [held.revision, self.configuration_spec]
            if held is not None and newer
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
        """Takes a neighbour's state where it is ahead; tells whether it had news.

        A whole state of the same revision is taken too: the two may differ in what
        they keep of servers that went while the store was away.
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
        """Takes the list of the configuration's kind, asked for at a time."""
        for item in listing.items:
            if item.name == names.CONFIGURATION_NAME:
                self._set_configuration(item.revision, item.spec, "list")
        self._confirm_own(asked_at)

    def apply_configuration_changes(
        self, changes: Changes, asked_at: float, wait_s: float
    ) -> None:
        """Takes what a watch of `wait_s` brought."""
        for change in changes.changes:
            item = change.item
            if item.name == names.CONFIGURATION_NAME and not change.removed:
                self._set_configuration(item.revision, item.spec, "watch")
        # The answer may have waited in a cut link. It proves that nothing newer was
        # there when it was asked for, and a wait that ended empty so long after that.
        waited_s = read_boottime() - asked_at
        empty = not changes.changes and waited_s >= wait_s
        self._confirm_own(asked_at + (wait_s if empty else 0.0))

    def _confirm_own(self, proven_at: float) -> None:
        if self.configuration is not None:
            self._confirm(proven_at)

    def _confirm(self, proven_at: float) -> None:
        # Never ahead of the clock, whatever a neighbour says.
        proven_at = min(proven_at, read_boottime())
        if proven_at - self.confirmed_at > OUTAGE_S:
            # Nobody has reached the store for so long that entries may have lapsed.
            self.outage_ended_at = read_boottime()
        self.confirmed_at = max(self.confirmed_at, proven_at)

    def _set_configuration(self, revision: int, spec: Any, source: str) -> None:
        if self.configuration is not None and revision <= self.configuration.revision:
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
        """Takes the list of all backend servers."""
        keep = self._is_outage_recent()
        present = {item.name for item in listing.items}
        for name in self._entries.keys() - present:
            self._remove_backend(name, listing.revision, keep=keep)
        for item in listing.items:
            self._set_backend(item.name, item.revision, item.spec)
            # Not the listing's own revision, which changes of other kinds move too.
            self.backends_revision = max(self.backends_revision, item.revision)
        self._notify()

    def apply_backend_changes(self, changes: Changes) -> None:
        """Takes what a watch of the backend servers brought."""
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
        """Takes a neighbour's entries where they are newer."""
        revision = state["revision"]
        present = {name for name, _, _ in state["entries"]}
        if state["whole"]:
            for name in self._entries.keys() - present:
                if self._entries[name][0] <= revision:
                    self._remove_backend(name, revision, keep=False)
        for name, last, end in state["removed"]:
            known = self._entries.get(name)
            if known is not None and known[0] <= last:
                # What the neighbour keeps over an outage is not among these.
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
                spot=backend.spot,
                address=backend.address,
                revision=revision,
            )

    def _remove_backend(self, name: str, revision: int, *, keep: bool) -> None:
        """Drops an entry, or does so once an unsteady store has had its time."""
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
        """Looks again once the store has been back for its grace."""
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
    return hash_text(f"{name}:{revision}") >> 1  # msgpack's integers have 64 bits
