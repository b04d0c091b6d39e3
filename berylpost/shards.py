"""The ledger shards of one daemon: leases, journals and write batches.

This is the layer below `ledger` and `deferred`, which decide what is written. The
owner of a shard holds its lease and appends to its journal in batches. At most one
write is in flight while further entries are collected, so the number of writes
depends on the number of shards and not on the number of requests. The lease only
says which daemon should own a shard; the conditional write of the journal ensures
that two owners never both write.
"""

import logging
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

import msgspec

from .errors import BerylpostError, PlatformError
from .journal import AppendOutcomeUnknownError, FencedError, Journal
from .kernel import Slot
from .lease import Lease
from .logs import log_event
from .metrics import LEDGER_BATCH, LEDGER_SHARDS
from .platform.objects import Objects
from .policy.ledger import Entry, EntryKind, choose_owner
from .policy.membership import GONE_STATES, Table
from .policy.pacing import Pace, Wait, decide_write
from .settings import LedgerSettings

LOGGER: Final = logging.getLogger(__name__)
N_STORE_THREADS: Final = 4
MAX_BATCH: Final = 200
REOPEN_PAUSE_S: Final = 0.5
COMPACT_INTERVAL_S: Final = 300.0
RENEWALS_PER_LEASE: Final = 3

_ENTRIES: Final = msgspec.msgpack.Decoder(Entry)

PendingWrite = tuple[Entry, Callable[[], None]]
# Nothing waits for entries of these kinds, so they may be written together with the
# next intent.
NOT_URGENT: Final = frozenset({EntryKind.DONE, EntryKind.UNSENT, EntryKind.PROGRESS})


class ShardState(StrEnum):
    """State of a shard on this daemon; it owns the shard when `OPEN`."""

    CLOSED = "closed"
    OPENING = "opening"
    OPEN = "open"


@dataclass(slots=True, kw_only=True)
class Shard:
    """The state of one shard on this daemon.

    Attributes:
        batch: entries not yet written, each with a callback for when it is durable.
        in_flight: the entries of the write in progress, with their callbacks.
        batch_since: arrival time of the oldest entry in `batch`, monotonic seconds.
        pace: token bucket that limits the rate of writes.
        closing: whether the shard is being released; it accepts no new entries.
    """

    number: int
    lease: Lease
    journal: Journal
    state: ShardState = ShardState.CLOSED
    closing: bool = False
    batch: list[PendingWrite] = field(default_factory=list)
    in_flight: list[PendingWrite] = field(default_factory=list)
    batch_since: float = 0.0
    pace: Pace = field(default_factory=lambda: Pace(tokens=1.0, filled_at=0.0))
    renewing: bool = False
    renew_at: float = 0.0
    open_at: float = 0.0
    compact_at: float = 0.0

    def is_open(self) -> bool:
        """Tells whether new entries may be written to this shard."""
        return self.state is ShardState.OPEN and not self.closing


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreResult:
    """The end of a store job; `finish` is to run in the thread of the owning task."""

    finish: Callable[[], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardEvents:
    """Callbacks to the owning task; all run in its thread.

    Attributes:
        opened: called with all entries of a shard that this daemon now owns.
        dropped: called when this daemon no longer owns a shard, with the entries
            that are not known to be durable.
        before_release: called before a shard is released; returns the last entries
            to write.
        compacted: called when entries older than the given wall clock time, in
            seconds, may be discarded.
    """

    opened: Callable[[Shard, list[Entry]], None]
    dropped: Callable[[Shard, list[Entry]], None]
    before_release: Callable[[Shard], list[Entry]]
    compacted: Callable[[Shard, float], None]


class ShardManager:
    """Opens, renews, writes and releases shards for one task.

    Args:
        settings: the ledger settings.
        region: region name, part of the lease and journal keys.
        self_id: id of this daemon.
        holder: id of this process, unique across restarts; the part before its first
            dot is the id of the daemon.
        objects: the object API.
        members: slot with the membership table.
        post: puts a message into the mailbox of the owning task.
        schedule_tick: asks the owning task for a tick no later than a time, monotonic
            seconds.
        events: callbacks to the owning task.
    """

    def __init__(
        self,
        *,
        settings: LedgerSettings,
        region: str,
        self_id: str,
        holder: str,
        objects: Objects,
        members: Slot[Table],
        post: Callable[[Any], None],
        schedule_tick: Callable[[float], None],
        events: ShardEvents,
    ) -> None:
        self._settings = settings
        self._self_id = self_id
        self._members = members
        self._post = post
        self._schedule_tick = schedule_tick
        self._events = events
        self._executor = ThreadPoolExecutor(N_STORE_THREADS, "ledger-store")
        self._candidates: list[str] = []
        self._owners: list[str] = []
        self.shards = [
            Shard(
                number=number,
                lease=Lease(
                    objects=objects,
                    key=f"leases/ledger/{region}/{number:04d}",
                    holder=holder,
                    duration_s=settings.lease_s,
                ),
                journal=Journal(
                    objects=objects,
                    prefix=f"ledger/{region}/{number:04d}",
                    writer=holder,
                    segment_bytes=settings.segment_bytes,
                    patience_s=settings.intent_timeout_s / 2,
                ),
            )
            for number in range(settings.n_shards)
        ]

    def close(self) -> None:
        """Releases the leases, so that no new owner has to wait for their expiry."""
        self._executor.shutdown(wait=True, cancel_futures=True)
        for shard in self.shards:
            if shard.state is ShardState.OPEN:
                shard.lease.release()

    def find(self, number: int) -> Shard:
        """Returns a shard by its number."""
        return self.shards[number % len(self.shards)]

    def advance(self) -> None:
        """Opens, renews, writes, compacts and releases shards as needed now."""
        self._choose_owners()
        now = time.monotonic()
        n_open = 0
        for shard, owner in zip(self.shards, self._owners, strict=True):
            is_own = owner == self._self_id
            if is_own and shard.state is ShardState.CLOSED and now >= shard.open_at:
                self._open(shard)
            elif shard.state is ShardState.OPEN:
                n_open += 1
                if not is_own:
                    self._release(shard)
                else:
                    self._maintain(shard, now)
                    self.flush(shard)
        LEDGER_SHARDS.set(n_open)

    def _choose_owners(self) -> None:
        entries = self._members.read().entries.values()
        candidates = sorted(
            e.member.id for e in entries if e.member.state in ("alive", "suspect")
        )
        if candidates != self._candidates or not self._owners:
            self._candidates = candidates
            self._owners = [choose_owner(s.number, candidates) for s in self.shards]

    def _run_store_job(self, job: Callable[[], Callable[[], None]]) -> None:
        """Runs a blocking store job in a thread and its follow-up in the task."""

        def run() -> None:
            try:
                self._post(StoreResult(finish=job()))
            except Exception:
                LOGGER.exception("event=store_job_failed")
                raise

        self._executor.submit(run)

    def _open(self, shard: Shard) -> None:
        shard.state = ShardState.OPENING
        holder = shard.lease.read_holder().partition(".")[0]
        entry = self._members.read().entries.get(holder)
        # A holder that is not in the membership table may be alive on the other
        # side of a partition, so its lease must expire first.
        gone = entry is not None and (
            entry.member.state in GONE_STATES or entry.member.state == "leaving"
        )

        def job() -> Callable[[], None]:
            try:
                if not shard.lease.try_hold(holder_is_gone=gone):
                    return lambda: self._open_failed(shard, "lease not acquired")
                entries = shard.journal.open(epoch=shard.lease.epoch)
            except (BerylpostError, PlatformError) as error:
                text = str(error)
                return lambda: self._open_failed(shard, text)
            return lambda: self._opened(shard, entries)

        self._run_store_job(job)

    def _open_failed(self, shard: Shard, reason: str) -> None:
        shard.state = ShardState.CLOSED
        shard.open_at = time.monotonic() + REOPEN_PAUSE_S
        log_event(
            LOGGER, "shard_not_opened", logging.DEBUG, shard=shard.number, why=reason
        )

    def _opened(self, shard: Shard, entries: list[bytes]) -> None:
        now = time.monotonic()
        shard.state = ShardState.OPEN
        shard.closing = False
        shard.renew_at = now + self._settings.lease_s / RENEWALS_PER_LEASE
        shard.compact_at = now + COMPACT_INTERVAL_S
        log_event(
            LOGGER,
            "shard_opened",
            shard=shard.number,
            epoch=shard.lease.epoch,
            entries=len(entries),
        )
        self._events.opened(shard, [_ENTRIES.decode(data) for data in entries])

    def _maintain(self, shard: Shard, now: float) -> None:
        if now >= shard.renew_at and not shard.renewing:
            shard.renewing = True
            shard.renew_at = now + self._settings.lease_s / RENEWALS_PER_LEASE

            def job() -> Callable[[], None]:
                held = shard.lease.try_hold()
                return lambda: self._renewed(shard, held)

            self._run_store_job(job)
        if now >= shard.compact_at and not shard.in_flight:
            shard.compact_at = now + COMPACT_INTERVAL_S
            self._compact(shard)

    def _renewed(self, shard: Shard, held: bool) -> None:
        shard.renewing = False
        if not held and shard.state is ShardState.OPEN:
            self._drop(shard, "lease was lost")

    def _compact(self, shard: Shard) -> None:
        """Discards keys past the retention and deletes segments with only such keys."""
        keep_from = time.time() - self._settings.retention_s
        self._events.compacted(shard, keep_from)

        def job() -> Callable[[], None]:
            try:
                n_dropped = shard.journal.drop_segments(keep_from=keep_from)
            except PlatformError:
                n_dropped = 0
            return lambda: log_event(
                LOGGER, "shard_compacted", shard=shard.number, segments=n_dropped
            )

        self._run_store_job(job)

    def _release(self, shard: Shard) -> None:
        """Releases a shard to the daemon that should own it now."""
        if not shard.closing:
            for entry in self._events.before_release(shard):
                shard.batch.append((entry, lambda: None))
            shard.closing = True
            self.flush(shard)
        if shard.in_flight or shard.batch or shard.renewing:
            return
        self._drop(shard, "another daemon is the preferred owner")

        def job() -> Callable[[], None]:
            shard.lease.release()
            return lambda: None

        self._run_store_job(job)

    def _drop(self, shard: Shard, reason: str) -> None:
        shard.state = ShardState.CLOSED
        shard.closing = False
        shard.open_at = time.monotonic() + REOPEN_PAUSE_S
        unwritten = [entry for entry, _ in shard.in_flight + shard.batch]
        shard.in_flight, shard.batch = [], []
        log_event(LOGGER, "shard_dropped", shard=shard.number, why=reason)
        self._events.dropped(shard, unwritten)

    def write(self, shard: Shard, entry: Entry, on_durable: Callable[[], None]) -> None:
        """Adds an entry to the next batch; calls `on_durable` once it is durable."""
        if not shard.batch:
            shard.batch_since = time.monotonic()
        shard.batch.append((entry, on_durable))
        self.flush(shard)

    def flush(self, shard: Shard) -> None:
        """Writes the next batch unless a write is in flight."""
        if shard.in_flight or not shard.batch:
            return
        now = time.monotonic()
        decision = decide_write(
            shard.pace,
            urgent=shard.closing
            or any(e.kind not in NOT_URGENT for e, _ in shard.batch),
            oldest_at=shard.batch_since,
            writes_per_s=self._settings.writes_per_s,
            burst=self._settings.write_burst,
            now=now,
        )
        if isinstance(decision, Wait):
            self._schedule_tick(decision.until)
            return
        shard.pace = decision.pace
        shard.batch_since = now
        shard.in_flight = shard.batch[:MAX_BATCH]
        shard.batch = shard.batch[MAX_BATCH:]
        LEDGER_BATCH.observe(len(shard.in_flight))
        data = [msgspec.msgpack.encode(entry) for entry, _ in shard.in_flight]

        def job() -> Callable[[], None]:
            try:
                shard.journal.append(data)
            except (FencedError, AppendOutcomeUnknownError) as error:
                text = str(error)
                return lambda: self._write_failed(shard, text)
            return lambda: self._written(shard)

        self._run_store_job(job)

    def _write_failed(self, shard: Shard, reason: str) -> None:
        if shard.state is ShardState.OPEN:
            self._drop(shard, reason)

    def _written(self, shard: Shard) -> None:
        written, shard.in_flight = shard.in_flight, []
        for _, on_durable in written:
            on_durable()
        self.flush(shard)
