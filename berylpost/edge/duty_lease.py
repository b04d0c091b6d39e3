"""The lease under which one daemon at a time carries out the duties.

The lease is a single object in the store that is replaced only if its revision still
matches. Its spec also holds the last usage reports, written before they are sent, so
that a successor sends identical reports and never contradicts one. The fencing number
is made of the store's era and the revision at which the holder acquired the lease, so
it only increases, also when the store comes back from an older copy.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec

from ..errors import LostAnswerError, PlatformError
from ..logs import log_event
from ..platform import names
from ..platform.object_store import ObjectStore
from ..platform.object_wire import ConflictError, StoredObject
from .clock import read_boottime
from .store_era import UNKNOWN_ERA

LOGGER: Final = logging.getLogger(__name__)

T = TypeVar("T")

LEASE_NAME: Final = "duties"
# How much the term exceeds the platform's minimum, so that renewals are less frequent.
TERM_EXTRA_S: Final = 1.5
# Share of the term during which the holder acts; the rest is a safety margin.
ACTIVE_SHARE: Final = 0.75
# Share of the term after which the holder renews; that leaves time for two attempts.
RENEW_SHARE: Final = 0.35
# Extra wait of a former holder, beyond the platform's minimum, before it may reacquire.
REACQUIRE_MARGIN_S: Final = 0.3
N_KEPT_REPORTS: Final = 3
_Reports = list[tuple[int, dict[str, int | float]]]
# Daemon, its incarnation, and its counts by window and customer.
_Counts = list[tuple[str, int, dict[int, dict[str, int | float]]]]
ERA_FACTOR: Final = 1 << 32  # revisions of one era are lower


@dataclass(frozen=True, slots=True, kw_only=True)
class AnnouncedHold:
    """A hold on the lease as its holder announced it by gossip.

    Attributes:
        holder: name of the holder.
        incarnation: incarnation of the holder.
        sequence: sequence number of the renewal that the holder acts on.
        until: boot-time clock of this VM at which the hold has certainly ended.
    """

    holder: str
    incarnation: int
    sequence: int
    until: float

    def matches(self, stored: StoredObject) -> bool:
        """Tells whether the stored lease shows this same renewal."""
        spec = stored.spec if isinstance(stored.spec, dict) else {}
        return (
            spec.get("holder") == self.holder
            and spec.get("incarnation") == self.incarnation
            and spec.get("sequence") == self.sequence
        )


class DutyLease:
    """One daemon's view of the lease.

    Args:
        store: client of the store that nothing else uses at the same time.
        holder: name of this daemon.
        incarnation: incarnation of this daemon.
        min_lease_s: the platform's minimum time between two holders.
        clock: boot-time clock, seconds.
        export_counts: returns the usage counts to save with each renewal.
        import_counts: called with the counts that the previous holder saved.

    Attributes:
        reports_since: reports on windows that ended earlier may have been sent and
            then lost with the store's older copy; time of the clock.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        holder: str,
        incarnation: int,
        min_lease_s: float,
        export_counts: Callable[[], list[Any]],
        import_counts: Callable[[list[Any]], None],
        clock: Callable[[], float] = read_boottime,
    ) -> None:
        self.fence = 0
        self.is_first = False  # whether nobody held the lease before this hold
        self.held_until = float("-inf")
        self.reports: dict[int, dict[str, int]] = {}
        self._store = store
        self._holder = holder
        self._incarnation = incarnation
        self._export_counts = export_counts
        self._import_counts = import_counts
        self._clock = clock
        self._min_lease_s = min_lease_s
        # After a restart, this daemon may have held the lease until just now.
        self._last_hold_end = clock()
        self._term_s = min_lease_s + TERM_EXTRA_S
        self._sequence = 0
        # Sequence number of the last renewal that is known to be stored.
        self._held_sequence = 0
        self._last_seen: StoredObject | None = None
        self._last_seen_at = 0.0
        self._renew_at = 0.0
        self._era = UNKNOWN_ERA
        # After a restore, only the holder of before may acquire the lease at once.
        self._resume_until = float("-inf")
        self._wait_until = float("-inf")
        self.reports_since = float("-inf")

    def is_held(self) -> bool:
        """Tells whether this daemon may act now."""
        return self._clock() < self.held_until

    def remaining_s(self) -> float:
        """Returns how much longer this daemon may act, seconds."""
        return max(0.0, self.held_until - self._clock())

    def needs_renewal(self) -> bool:
        """Tells whether the lease is due for renewal."""
        return self._clock() >= self._renew_at

    def export_hold(self) -> list[float]:
        """Returns the last stored renewal's sequence number and the seconds left."""
        return [self._held_sequence, round(self.remaining_s(), 2)]

    def begin_era(self, era: int) -> None:
        """Ends this daemon's hold, since the store came back from an older copy.

        The copy may name a former holder, or none. Whoever held the lease may act until
        its hold runs out, so the others wait for a whole term.
        """
        known, self._era = self._era, era
        if known == UNKNOWN_ERA:
            return
        self._resume_until = self.held_until
        self._last_seen = None
        self.abandon()

    def date_era(self, began_at: float) -> None:
        """Sets when the era began, before which reports may have been lost.

        Args:
            began_at: the latest time at which it can have begun, of the clock.
        """
        if began_at > float("-inf"):
            self._wait_until = self.reports_since = began_at + self._term_s

    async def try_acquire(self, ended: AnnouncedHold | None = None) -> bool:
        """Acquires the lease if it is free or its term has expired.

        Args:
            ended: a hold that has ended according to its holder; if the store shows
                no later renewal, its term need not expire first.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        stored = await self._store.read(names.KIND_LEASES, LEASE_NAME)
        now = self._clock()
        resumes = now < self._resume_until
        if resumes:
            return await self._write(stored)
        if now < self._wait_until:
            return False
        if stored is None:
            return await self._write(None)
        if self._last_seen is None or stored.revision != self._last_seen.revision:
            self._last_seen, self._last_seen_at = stored, now
        holder = _read_holder(stored)
        if (
            holder != self._holder
            and now < self._last_hold_end + self._reacquire_delay_s()
        ):
            return False
        expired = now - self._last_seen_at > self._term_s
        if ended is not None and ended.matches(stored):
            expired = True
        if holder not in ("", self._holder) and not expired:
            return False
        return await self._write(stored)

    async def renew(self) -> bool:
        """Renews the lease and leaves its reports unchanged.

        Raises:
            PlatformError: the store did not answer or refused; the hold keeps running
                out.
        """
        if self._last_seen is None:
            return False
        return await self._write(self._last_seen)

    async def record_report(self, window: int, counts: dict[str, int]) -> bool:
        """Stores a report before it is sent.

        Returns:
            Whether the report is stored and this daemon holds the lease.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        if not self.is_held():
            return False
        before = self.reports
        kept = sorted({*before, window})[-N_KEPT_REPORTS:]
        self.reports = {w: before.get(w, counts) for w in kept}
        try:
            if await self._write(self._last_seen):
                return True
        except LostAnswerError:
            # The report may be stored. Whoever acquires the lease next, which may be
            # this daemon, will read it.
            self.abandon()
            raise
        except PlatformError:
            self.reports = before
            raise
        self.reports = before
        return False

    async def release(self) -> None:
        """Releases the lease so that a successor need not wait.

        Raises:
            PlatformError: the store did not answer; the term has to expire.
        """
        if not self.is_held() or self._last_seen is None:
            return
        self.abandon()
        spec = dict(self._make_spec(), holder="")
        revision = self._last_seen.revision
        await self._store.replace(
            names.KIND_LEASES, LEASE_NAME, spec, revision=revision
        )

    def abandon(self) -> None:
        """Ends the hold locally without writing to the store."""
        self._last_hold_end = min(self._last_hold_end, self._clock())
        self.held_until = float("-inf")

    def _reacquire_delay_s(self) -> float:
        """Returns how long a former holder waits before it may acquire the lease.

        Two daemons that alternate within the platform's minimum could not be
        distinguished from two that both believe they hold the lease.
        """
        return self._min_lease_s + REACQUIRE_MARGIN_S

    async def _write(self, previous: StoredObject | None) -> bool:
        """Writes the lease for this daemon if `previous` is still what is stored."""
        asked_at = self._clock()
        acquiring = not self.is_held()
        resumes = asked_at < self._resume_until
        era = self._era
        if acquiring and previous is not None:
            own_reports = self.reports if resumes else {}
            stored_reports: Any = dict(_read_field(previous, "reports", _Reports))
            self.reports = {**stored_reports, **own_reports}
            self._import_counts(_read_field(previous, "counts", _Counts))
        self._sequence += 1
        spec = self._make_spec()
        try:
            stored = await self._send(previous, spec)
        except ConflictError as conflict:
            self.abandon()
            if conflict.current is not None:
                self._last_seen, self._last_seen_at = conflict.current, self._clock()
            return False
        except LostAnswerError:
            found = await self._store.read(names.KIND_LEASES, LEASE_NAME)
            if found is None or not _is_same_write(found.spec, spec):
                self.abandon()
                raise
            stored = found
        if era not in (UNKNOWN_ERA, self._era):
            # The store has lost what this was written on.
            self.abandon()
            return False
        self._last_seen, self._last_seen_at = stored, self._clock()
        if acquiring:
            self.is_first = previous is None and self._wait_until == float("-inf")
            self.reports_since = float("-inf") if resumes else self.reports_since
            self.fence = max(0, self._era) * ERA_FACTOR + stored.revision
            log_event(LOGGER, "duties_taken", fence=self.fence, term_s=self._term_s)
        self.held_until = asked_at + self._term_s * ACTIVE_SHARE
        self._held_sequence = self._sequence
        self._last_hold_end = self.held_until
        self._renew_at = asked_at + self._term_s * RENEW_SHARE
        return self.is_held()

    async def _send(self, previous: StoredObject | None, spec: Any) -> StoredObject:
        if previous is None:
            return await self._store.create(names.KIND_LEASES, LEASE_NAME, spec)
        return await self._store.replace(
            names.KIND_LEASES, LEASE_NAME, spec, revision=previous.revision
        )

    def _make_spec(self) -> dict[str, Any]:
        reports = [[window, counts] for window, counts in sorted(self.reports.items())]
        return {
            "holder": self._holder,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "reports": reports,
            "counts": self._export_counts(),
        }


def _is_same_write(stored: Any, written: dict[str, Any]) -> bool:
    """Tells whether a stored spec comes from the given write."""
    if not isinstance(stored, dict):
        return False
    return all(
        stored.get(f) == written[f] for f in ("holder", "incarnation", "sequence")
    )


def _read_holder(stored: StoredObject) -> str:
    spec = stored.spec
    holder = spec.get("holder") if isinstance(spec, dict) else None
    return holder if isinstance(holder, str) else ""


def _read_field(stored: StoredObject, field: str, field_type: type[T]) -> T:
    """Reads a list of the lease; empty if another writer has changed it."""
    spec = stored.spec
    value = spec.get(field, []) if isinstance(spec, dict) else []
    try:
        return msgspec.convert(value, field_type, str_keys=True)
    except msgspec.ValidationError as error:
        log_event(LOGGER, "bad_lease", logging.WARNING, field=field, error=error)
        return msgspec.convert([], field_type)
