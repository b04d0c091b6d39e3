"""The active configuration and the backend servers, as read from the store.

`store_watch` supplies lists and changes from the store; other daemons (peers) supply
their own state. A configuration is replaced only by one with a higher number, or with
the same number and a higher revision. Its confirmation is the latest time at which the
store, asked by this daemon or by a peer, had no newer one.

Revisions are compared within one era of the store only. When an era begins, all that
is known is carried over at revision 0, older than whatever the store has.

Of an entry only the fields of a backend server are kept. One that names no server
counts as a removal, so that what other writers store takes no memory here.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, Final

from ..hashing import hash_text
from ..logs import OnceLog, log_event
from ..platform import names
from ..platform.entries import (
    InvalidEntryError,
    decode_backend,
    decode_configuration,
    reduce_backend,
)
from ..platform.object_wire import Changes, Listing, StoredObject
from ..policy.registrations import is_gone
from .clock import read_boottime
from .entry_budget import EntryBudget
from .model import (
    NO_CONFIGURATION,
    Backend,
    BackendState,
    ConfigurationRank,
    ServingConfiguration,
)
from .store_era import UNKNOWN_ERA
from .withdrawals import Withdrawals

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
# The store removes an entry after this many heartbeats that were missed.
EXPIRY_HEARTBEATS: Final = 3
EXPIRY_MARGIN_S: Final = 1.0
CARRIED_OVER: Final = 0  # revision of what is known from an earlier era
# Removed entries that are remembered: ten minutes of a large deployment's losses.
MAX_REMOVED: Final = 1_000
# Stands for the digest of a daemon that had to give up entries; no digest is negative.
PARTIAL_DIGEST: Final = -1

Listener = Callable[[], None]


class Catalogue:
    """The configuration and the backend servers known to this daemon.

    Args:
        revoke_s: age of the last confirmation at which keys must not be trusted.
        heartbeat_s: time between two writes of a backend server's entry.
        memory_bytes: memory that the process may use.

    Attributes:
        era: era of the store to which all revisions belong.
        budget: memory that the entries of backend servers take.
        refused: log of the entries that name no server, and how often one came.
        n_given_up: entries of servers that were given up for their memory.
    """

    def __init__(
        self,
        *,
        revoke_s: float,
        heartbeat_s: float,
        memory_bytes: float = float("inf"),
    ) -> None:
        self.era = UNKNOWN_ERA
        self._expiry_s = EXPIRY_HEARTBEATS * heartbeat_s + EXPIRY_MARGIN_S
        # Until it is known when the era began, the store itself confirms nothing.
        self._era_began_at = float("inf")
        # Latest time that the store has proven meanwhile.
        self._undated_proof = float("-inf")
        self._withdrawals = Withdrawals()
        self.configuration: ServingConfiguration | None = None
        self.configuration_spec: Any = None
        self.backends: dict[str, Backend] = {}
        self.backends_revision = 0  # store revision of the last known change
        self.budget = EntryBudget(memory_bytes=memory_bytes)
        self.refused = OnceLog(logger=LOGGER, event="bad_entry")
        self.n_given_up = 0
        self._is_partial = False
        # Digest of the names and revisions of all entries.
        self._digest = 0
        self.confirmed_at = -1e9
        self.outage_ended_at = -1e9
        self._trust_s = revoke_s * TRUST_SHARE
        # Revision and reduced spec of the entries that name a server.
        self._entries: dict[str, tuple[int, dict[str, Any]]] = {}
        # Removed entries: their last revision and the revision of their removal.
        self._removed: dict[str, tuple[int, int]] = {}
        # Revision of the newest removal that is no longer remembered.
        self._forgotten_revision = 0
        self._missing: set[str] = set()
        self._listeners: list[Listener] = []

    @property
    def backends_digest(self) -> int:
        """Equal for daemons with the same entries; `PARTIAL_DIGEST` if some lack."""
        return PARTIAL_DIGEST if self._is_partial else self._digest

    def add_listener(self, listener: Listener) -> None:
        """Registers a function to call after each change."""
        self._listeners.append(listener)

    def begin_era(self, era: int) -> None:
        """Carries all that is known over to a store that came back from an older copy.

        What is in force stays until its writer has written something newer; servers
        that were withdrawn stay so until they have written their entries again.
        """
        self.era = era
        if self.configuration is None and not self._entries:
            return
        now = read_boottime()
        # Servers write their entries again, as after an outage.
        self.outage_ended_at = now
        if self.configuration is not None:
            self.configuration = replace(self.configuration, revision=CARRIED_OVER)
        self._withdrawals.begin_era(self._list_withdrawn())
        self._carry_over_entries()
        log_event(
            LOGGER,
            "era_began",
            era=era,
            n_backends=len(self.backends),
            n_withdrawn=len(self._withdrawals),
            configuration=self.configuration.number if self.configuration else 0,
        )
        asyncio.get_running_loop().call_later(
            self._expiry_s, self._end_withdrawals, era
        )

    def date_era(self, began_at: float) -> None:
        """Sets when the era began; the store's copy may be outdated for a while then.

        Args:
            began_at: the latest time at which it can have begun, boot-time clock.
        """
        self._era_began_at = began_at
        proof, self._undated_proof = self._undated_proof, float("-inf")
        self._confirm_own(proof)

    def _carry_over_entries(self) -> None:
        """Makes all entries and removals older than whatever the store has."""
        self._entries = {
            name: (CARRIED_OVER, spec) for name, (_, spec) in self._entries.items()
        }
        self._removed = {
            name: (CARRIED_OVER, CARRIED_OVER)
            for name in self._removed
            if name not in self._entries  # others have come back since
        }
        self._forgotten_revision = self.backends_revision = CARRIED_OVER
        self._digest = 0
        for name in self._entries:
            self._digest ^= _digest_entry(name, CARRIED_OVER)

    def is_confirmed(self) -> bool:
        """Tells whether the configuration's keys may still be trusted."""
        return read_boottime() - self.confirmed_at < self._trust_s

    def read_confirmation_age(self) -> float:
        """Returns the age of the last confirmation, seconds."""
        return read_boottime() - self.confirmed_at

    def read_rank(self) -> ConfigurationRank:
        """Returns the rank of the configuration in force."""
        known = self.configuration
        if known is None:
            return NO_CONFIGURATION
        return ConfigurationRank(known.number, known.revision)

    def confirm(self, rank: ConfigurationRank, confirmed_at: float) -> None:
        """Applies a peer's confirmation that a configuration was the newest.

        Args:
            rank: rank of the peer's configuration.
            confirmed_at: boot-time clock of this VM, not later than the confirmation.
        """
        if rank == self.read_rank():
            self._confirm(confirmed_at)

    def export_state(
        self,
        configuration_since: ConfigurationRank = NO_CONFIGURATION,
        backends_since: int = 0,
    ) -> dict[str, Any]:
        """Returns the state that a peer of the same era lacks.

        Args:
            configuration_since: rank of the peer's configuration.
            backends_since: revision up to which the peer knows the backend servers.
        """
        configuration = self.configuration
        newer = configuration is not None and self.read_rank() > configuration_since
        whole = backends_since < self._forgotten_revision or not backends_since
        since = CARRIED_OVER - 1 if whole else backends_since
        return {
            "era": self.era,
            "configuration": [configuration.revision, self.configuration_spec]
            if configuration is not None and newer
            else None,
            "revision": self.backends_revision,
            "whole": whole and not self._is_partial,
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
            # Kept here until the grace period of an outage has ended.
            "missing": [[name, self._entries[name][0]] for name in self._missing],
        }

    def import_state(self, state: Mapping[str, Any]) -> bool:
        """Merges a peer's state where it is newer; tells whether anything changed.

        A whole state of the same revision is merged too: the two daemons may have kept
        different servers whose entries disappeared during an outage of the store.
        State of another era is ignored; gossip tells the daemon that is behind.
        """
        if state["era"] != self.era:
            return False
        before = (self.configuration, self.backends_digest)
        configuration = state["configuration"]
        if configuration:
            self._set_configuration(configuration[0], configuration[1], "neighbour")
        ahead = state["revision"] - self.backends_revision
        if ahead > 0 or (ahead == 0 and state["whole"]):
            self._merge_backends(state)
        return before != (self.configuration, self.backends_digest)

    def reduce_entry(self, item: StoredObject) -> StoredObject:
        """Returns an object of the store with what is used of it.

        One that names no backend server has the spec None.
        """
        try:
            return replace(item, spec=reduce_backend(item.spec), status=None)
        except InvalidEntryError as error:
            self.refused.note(item.name, backend=item.name, error=error)
            return replace(item, spec=None, status=None)

    def reduce_listed_entry(self, item: StoredObject) -> StoredObject | None:
        """Returns the same, but None if it names no backend server, known or new.

        A list has each name once. In the answer to a watch, an entry that names no
        server may follow the one that made it known.
        """
        reduced = self.reduce_entry(item)
        is_known = item.name in self._entries
        return reduced if is_known or reduced.spec is not None else None

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
        if self._era_began_at == float("inf"):
            self._undated_proof = max(self._undated_proof, proven_at)
            return
        # The store's copy proves nothing of the time before it came back.
        if self.configuration is not None and proven_at >= self._era_began_at:
            self._confirm(proven_at)

    def _confirm(self, proven_at: float) -> None:
        if 0 <= proven_at - self._era_began_at < RETURN_GRACE_S:
            # The operator may not yet have written again what the copy lacks.
            return
        # A peer's value must not move the confirmation into the future.
        proven_at = min(proven_at, read_boottime())
        if proven_at - self.confirmed_at > OUTAGE_S:
            # No daemon has reached the store for so long that entries may have expired.
            self.outage_ended_at = read_boottime()
        self.confirmed_at = max(self.confirmed_at, proven_at)

    def _set_configuration(self, revision: int, spec: Any, source: str) -> None:
        known = self.configuration
        if known is not None and spec == self.configuration_spec:
            # The operator has written it again, after the store lost it.
            revision = max(revision, known.revision)
            self.configuration = replace(known, revision=revision)
            return
        try:
            configuration = decode_configuration(spec, revision)
        except InvalidEntryError as error:
            log_event(LOGGER, "bad_configuration", logging.ERROR, error=error)
            return
        rank = ConfigurationRank(configuration.number, revision)
        if known is not None and rank <= self.read_rank():
            log_event(
                LOGGER,
                "configuration_ignored",
                number=configuration.number,
                revision=revision,
                known_number=known.number,
                known_revision=known.revision,
                source=source,
            )
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
            if is_gone(self._entries[name][0], as_of=listing.revision):
                self._remove_backend(name, listing.revision, keep=keep)
        for item in listing.items:
            self._set_backend(item.name, item.revision, item.spec)
            # The listing's own revision is not used, since changes to other kinds raise
            # it too.
            self.backends_revision = max(self.backends_revision, item.revision)
        self._is_partial = False
        self._keep_limit()
        self._notify()

    def apply_backend_changes(self, changes: Changes) -> None:
        """Applies the answer of a watch of the backend servers."""
        if not changes.changes:
            return
        for change in changes.changes:
            item = change.item
            if change.removed:
                known = self._entries.get(item.name)
                # A late answer may tell of a removal before the latest registration.
                if known is None or is_gone(known[0], as_of=item.revision):
                    keep = self._is_outage_recent()
                    self._remove_backend(
                        item.name, changes.revision, keep=keep, last=item.revision
                    )
            else:
                self._set_backend(item.name, item.revision, item.spec)
        self.backends_revision = max(self.backends_revision, changes.revision)
        self._keep_limit()
        self._notify()

    def _merge_backends(self, state: Mapping[str, Any]) -> None:
        """Merges a peer's entries and removals where they are newer."""
        revision = state["revision"]
        present = {name for name, _, _ in state["entries"]}
        if state["whole"]:
            for name in self._entries.keys() - present:
                if is_gone(self._entries[name][0], as_of=revision):
                    # The peer may know the store's copy only.
                    carried_over = self._entries[name][0] == CARRIED_OVER
                    keep = carried_over and self._is_outage_recent()
                    self._remove_backend(name, revision, keep=keep)
        for name, last, end in state["removed"]:
            known = self._entries.get(name)
            if known is not None and is_gone(known[0], as_of=last):
                # The list excludes servers that the peer keeps because of an outage.
                self._remove_backend(name, end, keep=False, last=last)
        for name, last in state.get("missing", ()):  # earlier builds send none
            known = self._entries.get(name)
            if known is not None and known[0] <= last and self._is_outage_recent():
                self._remove_backend(name, revision, keep=True)
        for name, entry_revision, spec in state["entries"]:
            if entry_revision > self._removed.get(name, (-1, 0))[0]:
                self._set_backend(name, entry_revision, spec)
        self.backends_revision = max(self.backends_revision, revision)
        self._keep_limit()
        self._notify()

    def is_outage_recent(self, within_s: float) -> bool:
        """Tells whether the store is unreachable, or was in the last `within_s`."""
        recent = read_boottime() - self.outage_ended_at < within_s
        return recent or self.read_confirmation_age() > OUTAGE_S

    def _is_outage_recent(self) -> bool:
        return self.is_outage_recent(RETURN_GRACE_S)

    def _set_backend(self, name: str, revision: int, spec: Any) -> None:
        known = self._entries.get(name)
        if known is not None and known[0] > revision:
            return
        try:
            backend = decode_backend(name, spec)
            spec = reduce_backend(spec)
        except InvalidEntryError as error:
            self.refused.note(name, backend=name, error=error)
            self._remove_backend(name, revision, keep=False, last=revision)
            return
        if known is not None:
            self._digest ^= _digest_entry(name, known[0])
        self._digest ^= _digest_entry(name, revision)
        self._entries[name] = (revision, spec)
        self.budget.hold(name, spec)
        self._missing.discard(name)
        if revision != CARRIED_OVER and self._withdrawals.withholds(backend, revision):
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

    def _list_withdrawn(self) -> dict[str, int]:
        """Lists the servers that left in this era, and the revisions that say so."""
        withdrawn = {
            name: end
            for name, (_, end) in self._removed.items()
            if name not in self._entries
        }
        withdrawn |= {
            name: self._entries[name][0]
            for name, backend in self.backends.items()
            if backend.state is BackendState.LEAVING
        }
        return {n: r for n, r in withdrawn.items() if r != CARRIED_OVER}

    def _end_withdrawals(self, era: int) -> None:
        """Takes the entries that stand although their servers had time to expire."""
        if era != self.era:
            return
        for name in self._withdrawals.release_all():
            if name in self._entries:
                revision, spec = self._entries[name]
                log_event(LOGGER, "entry_released", backend=name, revision=revision)
                self._set_backend(name, revision, spec)
        self._notify()

    def _remove_backend(
        self, name: str, revision: int, *, keep: bool, last: int = CARRIED_OVER
    ) -> None:
        """Removes an entry; with `keep`, only after the grace period of an outage.

        Args:
            name: name of the entry.
            revision: revision of the removal.
            keep: whether the server may register again soon.
            last: revision of the removed entry, which may be newer than the known one.
        """
        if keep and name in self.backends:
            if name not in self._missing:
                self._missing.add(name)
                self._schedule_removal(name)
            return
        entry = self._entries.pop(name, None)
        if entry is not None:
            self._digest ^= _digest_entry(name, entry[0])
            self.budget.release(name)
            self._removed.pop(name, None)
            self._removed[name] = (max(entry[0], last), revision)
            while len(self._removed) > MAX_REMOVED:
                _, end = self._removed.pop(next(iter(self._removed)))
                self._forgotten_revision = max(self._forgotten_revision, end)
        self._missing.discard(name)
        if self.backends.pop(name, None) is not None:
            log_event(LOGGER, "backend_gone", backend=name)

    def _keep_limit(self) -> None:
        """Gives up entries if all together take too much memory."""
        losers = self.budget.choose_losers(self._is_wanted)
        for name in losers:
            revision, _ = self._entries.pop(name)
            self._digest ^= _digest_entry(name, revision)
            self.budget.release(name)
            self._missing.discard(name)
            self.backends.pop(name, None)
        if losers:
            self._is_partial = True
            self.n_given_up += len(losers)
            log_event(
                LOGGER,
                "entries_given_up",
                logging.ERROR,
                n_entries=len(losers),
                n_kept=len(self._entries),
                limit_bytes=self.budget.limit,
            )

    def _is_wanted(self, name: str) -> bool:
        """Tells whether the configuration names the service of an entry."""
        configuration = self.configuration
        service = self._entries[name][1].get("Service")
        return configuration is None or service in configuration.services

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
